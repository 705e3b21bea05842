package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// releases servers are replaced, one each releaseInterval.
	releases        = 5
	releaseInterval = 10 * time.Second
	// servesBefore is how long a leaving server takes new connections after the store has
	// accepted that it is draining: drainMs and a little longer. Then it refuses them,
	// ends what it runs, and exits.
	servesBefore = drainTime + 500*time.Millisecond
	// maxLost is how often the rule allows it.
	maxLost = 3
)

// leavingStreams replaces servers as planned. A server that leaves refuses connections
// before it exits, and ends its running streams before. They have no length and end with
// their connections. No caller may lose one.
func leavingStreams(l *lab) (bool, error) {
	st := newStore()
	st.configure(map[string]any{"kind": "streaming", "timeoutMs": 8000, "sloMs": 300, "gapSloMs": gapSloMs, "priority": 1})
	var mu sync.Mutex
	whole := make(map[string]bool)
	type running struct {
		h           *http.Server
		id, address string
	}
	start := func(number int) (running, error) {
		id := fmt.Sprintf("i-%08x", 0xa0+number)
		address, err := freeAddress("127.0.0.1")
		if err != nil {
			return running{}, err
		}
		s := &server{id: id, streams: true, sentWhole: func(request string) {
			mu.Lock()
			defer mu.Unlock()
			whole[request] = true
		}}
		h := &http.Server{Addr: address, Handler: s}
		go func() { _ = h.ListenAndServe() }()
		time.Sleep(20 * time.Millisecond)
		st.register(id, address, "ready")
		l.record("server %s registered", id)
		return running{h, id, address}, nil
	}
	var servers []running
	for n := range 3 {
		s, err := start(n)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	d, err := st.open("127.0.0.1")
	if err != nil {
		return false, err
	}
	var gateways []*gateway
	for i, zone := range []string{"be-central-a", "be-central-b"} {
		g, err := l.prepareGateway(41+i, zone, d.address)
		if err != nil {
			return false, err
		}
		if err := l.startGateway(g); err != nil {
			return false, err
		}
		gateways = append(gateways, g)
	}
	time.Sleep(contactTime)
	begun := l.now()
	c := l.newCallers(8 * time.Second)
	c.sendFor(begun+(releases+1)*releaseInterval, 4, 1, gateways...)
	for n := range releases {
		time.Sleep(begun + time.Duration(n+1)*releaseInterval - l.now())
		if !l.trouble {
			continue
		}
		s, err := start(3 + n)
		if err != nil {
			return false, err
		}
		leaving := servers[0]
		servers = append(servers[1:], s)
		time.Sleep(500 * time.Millisecond)
		st.register(leaving.id, leaving.address, "draining")
		l.record("%s is draining", leaving.id)
		time.AfterFunc(servesBefore, func() {
			l.record("%s refuses connections from now on", leaving.id)
			// Shutdown does not know of connections that were taken over; the streams on
			// them run to their ends.
			_ = leaving.h.Shutdown(context.Background())
		})
		time.AfterFunc(streamEvents*eventPause+servesBefore, func() {
			st.remove("servers", leaving.id)
			l.record("%s has exited", leaving.id)
		})
	}
	answers := c.wait()
	mu.Lock()
	defer mu.Unlock()
	lost := 0
	for _, a := range answers {
		var all strings.Builder
		for number := range streamEvents {
			all.WriteString(eventOf(a.id, number+1))
		}
		if a.kept && whole[a.id] && (a.status != http.StatusOK || a.body != all.String()) {
			lost++
			l.record("stream %s sent at %.3f to %s: its server sent all of it, its caller lost its connection after %.3f s", a.id, a.sentAt.Seconds(), a.gateway.name, a.tookTime.Seconds())
		}
	}
	l.record("streams on kept connections, sent whole by sound servers, that their callers lost: %d of %d", lost, len(answers))
	return lost > maxLost, nil
}
