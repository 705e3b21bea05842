package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// plainServer is a sound server of the counter service.
type plainServer struct {
	id, zone string
	rec      *record
	http     *httptest.Server
	mu       sync.Mutex
	arrivals []arrival
}

type arrival struct {
	at time.Time
	id string
}

func (p *plainServer) address() string { return strings.TrimPrefix(p.http.URL, "http://") }

// registration is the server's entry in the store.
func (p *plainServer) registration(seq int) map[string]any {
	return map[string]any{"service": "counter", "address": p.address(), "zone": p.zone, "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0, "seq": seq}
}

func (p *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	w.Header().Set("Keep-Alive", "timeout=5")
	if expected := r.Header.Get("X-Marigoldwing-Expect-Instance"); expected != "" && expected != p.id {
		w.Header().Set("X-Marigoldwing-Instance-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Marigoldwing-Instance-Id", p.id)
		return
	}
	id := r.Header.Get("X-Marigoldwing-Request-Id")
	p.mu.Lock()
	p.arrivals = append(p.arrivals, arrival{at, id})
	p.mu.Unlock()
	p.rec.logAt(at, "%s runs %s", p.id, id)
	time.Sleep(15 * time.Millisecond)
	w.Header().Set("X-Marigoldwing-Request-Id", id)
	w.Header().Set("X-Marigoldwing-Response-Seal", "seal."+id)
	fmt.Fprintf(w, "%s ran %s", p.id, id)
}

// counterConfig is a configuration with one idempotent and one non-idempotent route.
func counterConfig() map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{"name": name, "host": "review.example", "prefix": prefix, "kind": kind, "timeoutMs": 1000, "sloMs": 100, "priority": 2, "service": "counter", "attempts": attempts}
	}
	return map[string]any{
		"version": 7, "routes": []any{route("look", "/look/", "idempotent", 2), route("stamp", "/stamp/", "non_idempotent", 1)},
		"services": []any{map[string]any{"name": "counter", "healthCheck": "/health", "maxConnections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

const (
	drainMs   = 2000
	contactMs = 3000
	// maxWatchWait is the time after which the store cuts off a watch.
	maxWatchWait = 500 * time.Millisecond
	// removals is the number of servers that leave, one each removalGap.
	removals   = 16
	removalGap = 1100 * time.Millisecond
)

// runRemoval removes the registration of one server after the other, each of which goes
// on serving, and looks for requests that reach it later than drainMs after that.
func runRemoval(f *fleet, trouble bool) int {
	zones := []string{"graaff", "nieu", "cradock", "prince"}
	var servers []*plainServer
	for i := range 20 {
		p := &plainServer{id: fmt.Sprintf("i-%08x", 0x7f3a9100+i), zone: zones[i%4], rec: f.rec}
		p.http = httptest.NewServer(p)
		servers = append(servers, p)
	}
	f.store.write("config", "main", counterConfig())
	for _, p := range servers {
		f.store.write("servers", p.id, p.registration(1))
	}
	for i, zone := range zones {
		f.startGateway(fmt.Sprintf("front-%s-%d", zone, i+1), zone)
	}
	f.awaitReady()
	var sent, answered, other atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, g := range f.gateways {
		for c := range 6 {
			clients.Go(func() {
				k := &client{address: g.front}
				for n := 0; ; n++ {
					select {
					case <-stop:
						k.close()
						return
					case <-time.After(20 * time.Millisecond):
					}
					id := fmt.Sprintf("%s-%d-%d", g.name, c, n)
					sent.Add(1)
					f.rec.log("%s is sent to %s", id, g.name)
					status, _, _ := k.do(id, http.MethodGet, "/look/"+id, "", time.Second)
					f.rec.log("%s is answered %d", id, status)
					if status == http.StatusOK {
						answered.Add(1)
					} else {
						other.Add(1)
					}
				}
			})
		}
	}
	if trouble {
		f.rec.log("from now on the store cuts off each watch that has waited for %v", maxWatchWait)
		f.store.setMaxWait(maxWatchWait)
	}
	time.Sleep(contactMs*time.Millisecond + time.Second)
	removedAt := make(map[*plainServer]time.Time)
	for _, p := range servers[:removals] {
		at := f.store.remove("servers", p.id)
		removedAt[p] = at
		f.rec.logAt(at, "the store acknowledges the removal of %s", p.id)
		time.Sleep(removalGap)
	}
	time.Sleep(4 * time.Second)
	late := 0
	for _, p := range servers[:removals] {
		late += f.lateArrivals(p, removedAt[p])
	}
	close(stop)
	clients.Wait()
	f.rec.say("%d requests sent, %d answered 200, %d otherwise; %d reached a server too late", sent.Load(), answered.Load(), other.Load(), late)
	if sent.Load() == 0 || answered.Load() < sent.Load()*9/10 {
		f.notRun("the fleet does not serve")
	}
	if late > 0 {
		f.rec.say("DRAIN is broken")
		return exitBroken
	}
	return exitHeld
}

// lateArrivals records the requests that reach a server later than drainMs after the store
// has acknowledged its removal, and returns their number.
func (f *fleet) lateArrivals(p *plainServer, removedAt time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	last, n := time.Duration(0), 0
	for _, a := range p.arrivals {
		after := a.at.Sub(removedAt)
		last = max(last, after)
		if after > drainMs*time.Millisecond {
			n++
			f.rec.logAt(a.at, "%s reaches %s %d ms after the removal", a.id, p.id, after.Milliseconds())
		}
	}
	f.rec.say("%s: last request %d ms after the removal, %d requests later than %d ms", p.id, last.Milliseconds(), n, drainMs)
	return n
}
