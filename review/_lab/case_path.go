package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// archiveName is the service to which the new version sends a part of the paths, and
	// archivePrefix that part.
	archiveName   = "archive-app"
	archivePrefix = servicePrefix + "KPW/"
	// changeAt is when the operator writes the new version.
	changeAt = 5 * time.Second
	pathTime = 15 * time.Second
)

// encodedPath adds a route for a longer prefix, while callers send requests whose paths
// have an encoded slash in a segment. The longer prefix does not begin those paths, so that
// no configuration sends them to its service.
func encodedPath(l *lab) (bool, error) {
	st := newStore()
	services := []any{
		map[string]any{"name": serviceName, "healthCheck": healthPath, "maxConnections": 110, "protocol": "h1", "tls": false},
		map[string]any{"name": archiveName, "healthCheck": healthPath, "maxConnections": 110, "protocol": "h1", "tls": false},
	}
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{
			"name": name, "host": serviceHost, "prefix": prefix, "kind": "non_idempotent", "timeoutMs": 1000, "sloMs": 100,
			"priority": 2, "service": service, "attempts": 1, "resumable": false,
		}
	}
	limits := map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
	first := route("stamps", servicePrefix, serviceName)
	st.put("config", "main", map[string]any{"version": 1, "routes": []any{first}, "services": services, "limits": limits})

	var mu sync.Mutex
	ranBy := make(map[string]string)
	for i, service := range []string{serviceName, archiveName} {
		address, err := freeAddress("127.0.0.1")
		if err != nil {
			return false, err
		}
		s := &server{id: fmt.Sprintf("i-%08x", 0xa0+i), work: 15 * time.Millisecond, arrived: func(id string) {
			mu.Lock()
			defer mu.Unlock()
			ranBy[id] = service
		}}
		go func() { _ = http.ListenAndServe(address, s) }()
		time.Sleep(20 * time.Millisecond)
		st.registerFor(service, s.id, address, "ready")
	}
	d, err := st.open("127.0.0.1")
	if err != nil {
		return false, err
	}
	var gateways []*gateway
	for i, zone := range []string{"graaff", "nieu"} {
		g, err := l.prepareGateway(51+i, zone, d.address)
		if err != nil {
			return false, err
		}
		if err := l.startGateway(g); err != nil {
			return false, err
		}
		gateways = append(gateways, g)
	}
	begun := l.now()
	// A segment that names a passport KPW/NUMBER; in a path its slash is encoded. Every
	// second request is for the path of the longer prefix itself.
	encoded := newPathCallers(l, servicePrefix+"KPW%2F")
	plain := newPathCallers(l, archivePrefix)
	encoded.sendFor(begun+pathTime, 20, 1, gateways...)
	plain.sendFor(begun+pathTime, 20, 1, gateways...)
	time.Sleep(begun + changeAt - l.now())
	if l.trouble {
		st.put("config", "main", map[string]any{
			"version": 2, "routes": []any{first, route("archive", archivePrefix, archiveName)}, "services": services, "limits": limits,
		})
		l.record("version 2 has a route for %s to %s", archivePrefix, archiveName)
	}
	answers := encoded.wait()
	plain.wait()
	mu.Lock()
	defer mu.Unlock()
	counts := make(map[string]int)
	for id, service := range ranBy {
		counts[strings.SplitN(id, "-", 2)[0]+" at "+service]++
	}
	l.record("runs by kind of path and service: %v", counts)
	wrong := 0
	for _, a := range answers {
		if ranBy[a.id] == archiveName {
			wrong++
			l.record("request %s for %s, sent at %.3f, was run by %s: status %d", a.id, encoded.prefix+a.id, a.sentAt.Seconds(), archiveName, a.status)
		}
	}
	l.record("requests run by a service to which no configuration sends them: %d of %d", wrong, len(answers))
	return wrong > 0, nil
}

// newPathCallers returns callers whose paths begin with a prefix.
func newPathCallers(l *lab, prefix string) *callers {
	c := l.newCallers(time.Second)
	c.prefix, c.kind = prefix, "plain-"
	if strings.Contains(prefix, "%") {
		c.kind = "encoded-"
	}
	return c
}
