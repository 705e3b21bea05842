package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstEventTime and eventGap are the times that a server takes for the first and each
	// further event of a stream, and slowFactor is how many times longer a slow one takes.
	firstEventTime = 600 * time.Millisecond
	eventGap       = 20 * time.Millisecond
	streamEvents   = 12
	slowFactor     = 5
	// A server is slow for slowTime in each slowPeriod.
	slowPeriod = 13 * time.Second
	slowTime   = 6500 * time.Millisecond
	// stillWorks is how long after its request has gone on elsewhere a server may work on.
	stillWorks     = 400 * time.Millisecond
	streamTime     = 70 * time.Second
	streamDeadline = 6 * time.Second
)

// streamRun is one run of a stream at one server.
type streamRun struct {
	server     string
	begun, end time.Time
}

// streamServer is a server of streams. One that keepsOn does not drop a request when its
// connection closes.
type streamServer struct {
	id, zone string
	keepsOn  bool
	slow     func() bool
	rec      *record
	address  string

	mu   sync.Mutex
	runs map[string][]streamRun
}

func (s *streamServer) registration() map[string]any {
	return map[string]any{"service": "guide", "address": s.address, "zone": s.zone, "version": "v1", "slots": 64, "state": "ready", "coldLeftMs": 0, "seq": 1}
}

func (s *streamServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Marigoldwing-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Marigoldwing-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Marigoldwing-Instance-Id", s.id)
		return
	}
	id := r.Header.Get("X-Marigoldwing-Request-Id")
	run := streamRun{server: s.id, begun: time.Now()}
	s.rec.log("%s begins %s", s.id, id)
	defer func() {
		run.end = time.Now()
		s.mu.Lock()
		s.runs[id] = append(s.runs[id], run)
		s.mu.Unlock()
		s.rec.log("%s ends %s", s.id, id)
	}()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	factor := time.Duration(1)
	if s.slow() {
		factor = slowFactor
	}
	dropped := r.Context().Done()
	if s.keepsOn {
		dropped = nil
	}
	for n := after + 1; n <= streamEvents; n++ {
		pause := eventGap
		if n == after+1 {
			pause = firstEventTime
		}
		select {
		case <-time.After(factor * pause):
		case <-dropped:
			return
		}
		if n == after+1 {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("X-Marigoldwing-Request-Id", id)
			w.Header().Set("X-Marigoldwing-Response-Seal", "seal."+id)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, s.id)
		_ = http.NewResponseController(w).Flush()
	}
}

// runStream lets one server turn slow at times, which does not drop requests whose
// connections close, and looks for streams that go on elsewhere while it still works on
// them.
func runStream(f *fleet, trouble bool) int {
	zones := []string{"graaff", "nieu", "cradock", "prince"}
	var servers []*streamServer
	for i := range 7 {
		s := &streamServer{id: fmt.Sprintf("i-%08x", 0x7f3a9300+i), zone: zones[i%4], keepsOn: i == 0, rec: f.rec, runs: make(map[string][]streamRun)}
		s.slow = func() bool {
			return trouble && i == 0 && time.Since(f.rec.start)%slowPeriod >= slowPeriod-slowTime
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		s.address = l.Addr().String()
		go func() { _ = http.Serve(l, s) }()
		servers = append(servers, s)
	}
	f.store.write("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "review", "host": "review.example", "prefix": "/review/", "kind": "streaming", "timeoutMs": streamDeadline.Milliseconds(), "sloMs": 800,
			"priority": 1, "service": "guide", "attempts": 2, "resumable": true, "gapSloMs": 300,
		}},
		"services": []any{map[string]any{"name": "guide", "healthCheck": "/health", "maxConnections": 370, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	for _, s := range servers {
		f.store.write("servers", s.id, s.registration())
	}
	for i, zone := range zones {
		f.startGateway(fmt.Sprintf("front-%s-%d", zone, i+1), zone)
	}
	f.awaitReady()
	var sent, answered atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, g := range f.gateways {
		for c := range 12 {
			clients.Go(func() {
				k := &client{address: g.front}
				for n := 0; ; n++ {
					select {
					case <-stop:
						k.close()
						return
					case <-time.After(100 * time.Millisecond):
					}
					id := fmt.Sprintf("%s-%d-%d", g.name, c, n)
					sent.Add(1)
					f.rec.log("%s is sent to %s", id, g.name)
					status, _, _ := k.do(id, http.MethodPost, "/review/"+id, "prompt", streamDeadline)
					f.rec.log("%s is answered %d", id, status)
					if status == http.StatusOK {
						answered.Add(1)
					}
				}
			})
		}
	}
	time.Sleep(streamTime)
	close(stop)
	clients.Wait()
	time.Sleep(4 * time.Second)
	runs := make(map[string][]streamRun)
	for _, s := range servers {
		s.mu.Lock()
		for id, at := range s.runs {
			runs[id] = append(runs[id], at...)
		}
		s.mu.Unlock()
	}
	twice := 0
	for id, at := range runs {
		for _, first := range at {
			for _, next := range at {
				if next.server != first.server && next.begun.After(first.begun) && first.end.Sub(next.begun) > stillWorks {
					twice++
					f.rec.say("%s goes on at %s, and %s still works on it %d ms later", id, next.server, first.server, first.end.Sub(next.begun).Milliseconds())
				}
			}
		}
	}
	f.rec.say("%d streams sent, %d answered 200; TWICE: %d", sent.Load(), answered.Load(), twice)
	if answered.Load() < sent.Load()*8/10 || sent.Load() == 0 {
		f.notRun("the fleet does not serve")
	}
	if twice > 0 {
		return exitBroken
	}
	return exitHeld
}
