package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slots and queue are the numbers of requests that a busy server runs and queues, and
	// workTime is how long it works on one, on average.
	slots    = 64
	queue    = 192
	workTime = 500 * time.Millisecond
	// A faulty server breaks off or repeats the answers of hiccup in each hiccupInterval,
	// which are 0.03 of those of garbleTime; half of each.
	hiccup         = 50 * time.Millisecond
	hiccupInterval = 2 * time.Second
	// callerDeadline is how long the callers wait.
	callerDeadline = 5 * time.Second
	// In each period there is a burst, in which all callers call, and otherwise only those
	// of usualShare. For garbleTime of it the faulty servers garble their answers.
	period      = 20 * time.Second
	burstTime   = 14 * time.Second
	usualShare  = 0.53
	garbleStart = 6 * time.Second
	garbleTime  = 5 * time.Second
	periods     = 4
	// callers is the number of callers of each gateway in a burst.
	callers = 1600
)

// busyServer is a server of the counter service with a queue.
type busyServer struct {
	id, zone string
	faulty   bool
	rec      *record
	listener net.Listener
	free     chan struct{}

	mu      sync.Mutex
	waiting int
	running int
	runs    map[string]int
	garbled int
	extra   int
}

func newBusyServer(rec *record, id, zone string, faulty bool) *busyServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &busyServer{id: id, zone: zone, faulty: faulty, rec: rec, listener: l, free: make(chan struct{}, slots), runs: make(map[string]int)}
	for range slots {
		s.free <- struct{}{}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *busyServer) registration() map[string]any {
	return map[string]any{"service": "counter", "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "slots": slots, "state": "ready", "coldLeftMs": 0, "seq": 1}
}

func (s *busyServer) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", s.running, s.waiting, slots)
}

// serve answers one request after the other on a connection.
func (s *busyServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	// late is a second answer to an earlier request, which comes at the point where the
	// next answer is expected.
	late := ""
	more := make(chan struct{})
	close(more)
	for {
		<-more
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if late != "" {
			s.rec.log("%s sends a second answer before that to %s %s %s", s.id, r.Method, r.URL.Path, r.Header.Get("X-Marigoldwing-Request-Id"))
			_, _ = io.WriteString(conn, late)
			late = ""
		}
		// more is closed when the next request begins or the caller leaves.
		more = make(chan struct{})
		left := make(chan struct{})
		go func(more chan struct{}) {
			if _, err := reader.Peek(1); err != nil {
				close(left)
			}
			close(more)
		}(more)
		text, cut := s.handle(r, left)
		if text == "" {
			return
		}
		if cut {
			_, _ = io.WriteString(conn, text[:len(text)-300])
			return
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		if r.URL.Path != "/health" && s.garbles() && strings.HasPrefix(text, "HTTP/1.1 200") {
			late = text
			s.mu.Lock()
			s.extra++
			s.mu.Unlock()
		}
	}
}

// garbles reports whether an answer is repeated, or broken off.
func (s *busyServer) garbles() bool {
	at := time.Since(s.rec.start)
	return s.faulty && s.faultyNow(at) && at%hiccupInterval < hiccup && rand.IntN(2) == 0
}

// faultyNow reports whether the faulty servers garble answers at a time.
func (s *busyServer) faultyNow(at time.Duration) bool {
	in := at % period
	return in >= garbleStart && in < garbleStart+garbleTime
}

func response(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\nKeep-Alive: timeout=5\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
}

// handle returns the answer to a request, and whether it is to be broken off; no answer if
// the caller has left.
func (s *busyServer) handle(r *http.Request, left <-chan struct{}) (text string, cut bool) {
	id := r.Header.Get("X-Marigoldwing-Request-Id")
	echo := ""
	if id != "" {
		echo = "X-Marigoldwing-Request-Id: " + id + "\r\n"
	}
	if expected := r.Header.Get("X-Marigoldwing-Expect-Instance"); expected != "" && expected != s.id {
		return response(http.StatusMisdirectedRequest, echo+"X-Marigoldwing-Instance-Id: "+s.id+"\r\n", ""), false
	}
	if r.URL.Path != "/health" && id == "" {
		return response(http.StatusBadRequest, "X-Marigoldwing-Not-Executed: 1\r\n", ""), false
	}
	deadline := 10 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get("X-Marigoldwing-Request-Deadline-Ms")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	refusal := func(why string) string {
		if r.URL.Path == "/health" {
			s.rec.log("%s rejects a health check: %s", s.id, why)
		}
		return response(http.StatusServiceUnavailable, echo+"X-Marigoldwing-Not-Executed: 1\r\nX-Marigoldwing-Instance-Load: "+s.load()+"\r\n", "")
	}
	if !s.await(deadline, left) {
		select {
		case <-left:
			return "", false
		default:
		}
		return refusal("full, or its deadline has passed in the queue"), false
	}
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
		s.free <- struct{}{}
	}()
	if r.URL.Path == "/health" {
		return response(http.StatusOK, "X-Marigoldwing-Instance-Id: "+s.id+"\r\nX-Marigoldwing-Instance-Load: "+s.load()+"\r\n", ""), false
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.rec.log("%s runs %s", s.id, id)
	select {
	case <-time.After(workTime/2 + time.Duration(rand.Int64N(int64(workTime)))):
	case <-left:
		return "", false
	}
	body := fmt.Sprintf("%s ran %s", s.id, id)
	body += strings.Repeat(".", 800-len(body))
	cut = s.garbles()
	if cut {
		s.mu.Lock()
		s.garbled++
		s.mu.Unlock()
	}
	return response(http.StatusOK, echo+"X-Marigoldwing-Response-Seal: seal."+id+"\r\nX-Marigoldwing-Instance-Load: "+s.load()+"\r\n", body), cut
}

// await waits for a slot. It reports false if the server is full, the deadline passes or
// the caller leaves.
func (s *busyServer) await(deadline time.Duration, left <-chan struct{}) bool {
	s.mu.Lock()
	if len(s.free) == 0 && s.waiting >= queue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	got := false
	select {
	case <-s.free:
		got = true
	case <-time.After(deadline):
	case <-left:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	if got {
		s.running++
	}
	return got
}

// runTwice lets more callers come than the servers bear, while some servers break off some
// answers and send a second answer to others, and looks for non-idempotent requests that
// have run twice, or are said not to have run.
func runTwice(f *fleet, trouble bool) int {
	zones := []string{"graaff", "nieu", "cradock", "prince"}
	var servers []*busyServer
	for i := range 10 {
		servers = append(servers, newBusyServer(f.rec, fmt.Sprintf("i-%08x", 0x7f3a9200+i), zones[i%4], trouble && i < 6))
	}
	config := counterConfig()
	for _, r := range config["routes"].([]any) {
		route := r.(map[string]any)
		route["timeoutMs"], route["sloMs"] = callerDeadline.Milliseconds(), 2000
	}
	f.store.write("config", "main", config)
	for _, s := range servers {
		f.store.write("servers", s.id, s.registration())
	}
	for i, zone := range zones[:2] {
		f.startGateway(fmt.Sprintf("front-%s-%d", zone, i+1), zone)
	}
	f.awaitReady()
	var mu sync.Mutex
	statuses := make(map[int]int)
	refused := make(map[string]int)
	var sent atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, g := range f.gateways {
		for c := range callers {
			clients.Go(func() {
				k := &client{address: g.front}
				for n := 0; ; n++ {
					select {
					case <-stop:
						k.close()
						return
					case <-time.After(time.Duration(rand.IntN(100)) * time.Millisecond):
					}
					usual := float64(c) < usualShare*callers
					if !usual && !(trouble && time.Since(f.rec.start)%period < burstTime) {
						continue
					}
					id := fmt.Sprintf("%s-%d-%d", g.name, c, n)
					sent.Add(1)
					f.rec.log("%s is sent to %s", id, g.name)
					status, header, _ := k.do(id, http.MethodPost, "/stamp/"+id, strings.Repeat("b", 600), callerDeadline)
					f.rec.log("%s is answered %d", id, status)
					mu.Lock()
					statuses[status]++
					if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
						refused[id] = status
					}
					mu.Unlock()
					if status == http.StatusServiceUnavailable {
						seconds, _ := strconv.ParseFloat(header.Get("Retry-After"), 64)
						time.Sleep(time.Duration(seconds * float64(time.Second)))
					}
				}
			})
		}
	}
	time.Sleep(periods * period)
	close(stop)
	clients.Wait()
	time.Sleep(2 * time.Second)
	runs := make(map[string][]string)
	garbled, extra, total := 0, 0, 0
	for _, s := range servers {
		s.mu.Lock()
		for id, n := range s.runs {
			total += n
			for range n {
				runs[id] = append(runs[id], s.id)
			}
		}
		garbled, extra = garbled+s.garbled, extra+s.extra
		s.mu.Unlock()
	}
	twice, falsely := 0, 0
	for id, at := range runs {
		if len(at) > 1 {
			twice++
			f.rec.say("%s has run at %s", id, strings.Join(at, " and "))
		}
		if refused[id] != 0 {
			falsely++
			f.rec.say("%s is answered %d and has run at %s", id, refused[id], strings.Join(at, " and "))
		}
	}
	f.rec.say("%d requests sent, answered by status %v; %d runs, %d answers broken off, %d sent twice", sent.Load(), statuses, total, garbled, extra)
	f.rec.say("TWICE: %d, REFUSED: %d", twice, falsely)
	if statuses[http.StatusOK] < 1000 {
		f.notRun("the fleet does not serve")
	}
	if twice+falsely > 0 {
		return exitBroken
	}
	return exitHeld
}
