package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxDescriptors is the limit of a front machine. Of these 200 are reserved for files,
	// which this case leaves to sockets too.
	maxDescriptors = 4100
	// usersPerSecond is the traffic of each front machine: less than the 70 requests per
	// second of prestatextos (279 at 4 machines). Each user has a connection of its own.
	usersPerSecond = 50
	// One of the two gateways is removed for good at removeAt, and another one added with
	// a new address at addAt.
	removeAt       = 20 * time.Second
	addAt          = 58 * time.Second
	descriptorTime = 75 * time.Second
	// contactGrown is contactMs of the grown sites, whose page names the rule, and
	// minTries the number of clients that must have tried.
	contactGrown = 4 * time.Second
	minTries     = 7
)

// users are callers that send one request each, on a connection of their own that they
// leave open and idle.
type users struct {
	l      *lab
	number atomic.Int64
	open   atomic.Int64

	mu sync.Mutex
	// tried and answered are when users came and when their requests were answered, as
	// arrived at the watched gateway.
	tried, answered []time.Duration
}

// come sends one user's request and waits for the end of its connection.
func (u *users) come(g *gateway, watched bool, end <-chan struct{}) {
	id := fmt.Sprintf("%016x", 1<<32+u.number.Add(1))
	conn, err := net.DialTimeout("tcp", g.callers, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	if watched {
		u.mu.Lock()
		u.tried = append(u.tried, u.l.now())
		u.mu.Unlock()
		u.open.Add(1)
		defer u.open.Add(-1)
	}
	body := "stamp " + id
	fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 1000\r\nContent-Length: %d\r\n\r\n%s",
		servicePrefix, id, serviceHost, headerID, id, headerDeadline, len(body), body)
	// Clients abandon an attempt that has no answer by its deadline.
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil || resp.StatusCode != http.StatusOK {
		return
	}
	if watched {
		u.mu.Lock()
		u.answered = append(u.answered, u.l.now())
		u.mu.Unlock()
	}
	_ = conn.SetReadDeadline(time.Time{})
	closed := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	}()
	select {
	case <-closed:
	case <-end:
	}
}

// counts returns how many users came to the watched gateway and how many were answered.
func (u *users) counts() (tried, answered int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.tried), len(u.answered)
}

// readiness asks a gateway once a second whether it is ready, on one kept connection.
type readiness struct {
	mu sync.Mutex
	// notReady are the moments at which the answer was not 200.
	notReady []time.Duration
}

func (r *readiness) run(l *lab, g *gateway, until time.Duration) {
	client := http.Client{Timeout: time.Second}
	fresh := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	ready := func(c *http.Client) bool {
		resp, err := c.Get("http://" + g.ready + "/-/ready")
		if err != nil {
			return false
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
	for l.now() < until && !g.hasEnded() {
		kept := ready(&client)
		if !kept {
			r.mu.Lock()
			r.notReady = append(r.notReady, l.now())
			r.mu.Unlock()
		}
		l.record("%s is ready: %v on a kept connection, %v on a new one", g.name, kept, ready(&fresh))
		time.Sleep(time.Second)
	}
}

// longestClosed returns the longest time without an answered user, while the gateway said
// that it is ready and at least minTries users tried.
func (u *users) longestClosed(r *readiness, until time.Duration) (from, longest time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	moments := append(slices.Concat(u.answered, r.notReady), until)
	slices.Sort(moments)
	for i := range len(moments) - 1 {
		a, b := moments[i], moments[i+1]
		tries := 0
		for _, t := range u.tried {
			if t > a && t < b {
				tries++
			}
		}
		if b-a > longest && tries >= minTries {
			from, longest = a, b-a
		}
	}
	return from, longest
}

// descriptors removes one of two gateways for good and adds another one, while users leave
// idle connections open for longer than the configuration allows. The remaining gateway
// must take new connections while it says that it is ready, and must not end by itself.
func descriptors(l *lab) (bool, error) {
	st := newStore()
	st.configure(nil)
	address, err := freeAddress("127.0.0.1")
	if err != nil {
		return false, err
	}
	app := &server{id: "i-000000a0", work: 15 * time.Millisecond}
	go func() { _ = http.ListenAndServe(address, app) }()
	st.register(app.id, address, "ready")
	d, err := st.open("127.0.0.1")
	if err != nil {
		return false, err
	}
	start := func(number int, zone string) (*gateway, error) {
		g, err := l.prepareGateway(number, zone, d.address)
		if err != nil {
			return nil, err
		}
		limited := fmt.Sprintf("ulimit -n %d && exec %s", maxDescriptors, strings.Join(gatewayCommand(g.settings), " "))
		return g, l.startGateway(g, "/bin/sh", "-c", limited)
	}
	watched, err := start(31, "graaff")
	if err != nil {
		return false, err
	}
	removed, err := start(32, "nieu")
	if err != nil {
		return false, err
	}
	begun := l.now()
	until := begun + descriptorTime
	u, r := &users{l: l}, &readiness{}
	end := make(chan struct{})
	var coming sync.WaitGroup
	coming.Go(func() { r.run(l, watched, until) })
	for _, g := range []*gateway{watched, removed} {
		coming.Go(func() {
			ticker := time.NewTicker(time.Second / usersPerSecond)
			defer ticker.Stop()
			for l.now() < until {
				<-ticker.C
				to := g
				if to.hasEnded() {
					// The platform sends new connections to the other one.
					to = watched
				}
				coming.Go(func() { u.come(to, to == watched, end) })
			}
		})
	}
	failed := make(chan error, 1)
	if l.trouble {
		time.AfterFunc(removeAt, func() {
			removed.signal(syscall.SIGKILL)
			l.record("%s is removed for good", removed.name)
		})
		time.AfterFunc(addAt, func() {
			l.record("another gateway is added")
			if _, err := start(33, "nieu"); err != nil {
				failed <- err
			}
		})
	}
	report := time.NewTicker(5 * time.Second)
	defer report.Stop()
	ended := time.Duration(0)
	for l.now() < until && ended == 0 {
		select {
		case <-watched.ended:
			ended = l.now()
			l.record("%s has ended by itself, %v: %s", watched.name, watched.cmd.ProcessState, lastLine(l.logOf(watched.name)))
		case err := <-failed:
			return false, err
		case <-report.C:
			tried, answered := u.counts()
			l.record("users of %s: %d tried, %d answered, %d connections open", watched.name, tried, answered, u.open.Load())
		}
	}
	close(end)
	coming.Wait()
	if ended > 0 {
		until = ended
	}
	from, closed := u.longestClosed(r, until)
	tried, answered := u.counts()
	l.record("users of %s: %d tried, %d answered", watched.name, tried, answered)
	l.record("longest time for which it said that it was ready and took no new connection: %.1f s, from %.1f", closed.Seconds(), from.Seconds())
	return ended > 0 || closed >= contactGrown, nil
}

// lastLine returns the last line of a log.
func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}
