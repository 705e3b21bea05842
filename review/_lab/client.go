package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a caller has got for one request.
type answer struct {
	id       string
	gateway  *gateway
	sentAt   time.Duration
	tookTime time.Duration
	// status is 0 if the connection ended without a complete answer.
	status int
	sealed bool
	body   string
	err    error
}

// callers send requests over kept connections and record the answers.
type callers struct {
	l        *lab
	client   *http.Client
	deadline time.Duration
	// prefix begins the paths of requests, and kind their IDs.
	prefix, kind string
	number       atomic.Int64
	sending      sync.WaitGroup

	mu      sync.Mutex
	answers []answer
}

func (l *lab) newCallers(deadline time.Duration) *callers {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second, DisableCompression: true}
	return &callers{l: l, deadline: deadline, prefix: servicePrefix, client: &http.Client{Transport: transport}}
}

// send sends one request and records its answer.
func (c *callers) send(g *gateway) {
	id := c.kind + fmt.Sprintf("%016x", c.number.Add(1))
	a := answer{id: id, gateway: g, sentAt: c.l.now()}
	body := bytes.NewReader([]byte("stamp " + id))
	// Without GetBody net/http sends nothing twice.
	r, err := http.NewRequest(http.MethodPost, "http://"+g.callers+c.prefix+id, io.NopCloser(body))
	if err != nil {
		panic(err)
	}
	r.ContentLength = body.Size()
	r.Host = serviceHost
	r.Header.Set(headerID, id)
	r.Header.Set(headerDeadline, fmt.Sprint(c.deadline.Milliseconds()))
	resp, err := c.client.Do(r)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			a.status, a.sealed, a.body = resp.StatusCode, resp.Header.Get(headerSeal) != "", string(data)
		}
	}
	a.err, a.tookTime = err, c.l.now()-a.sentAt
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
}

// sendFor sends requests at a rate to each of the gateways, until a time, several at once.
func (c *callers) sendFor(until time.Duration, perSecond float64, atOnce int, gateways ...*gateway) {
	interval := time.Duration(float64(time.Second) * float64(atOnce) / perSecond)
	for _, g := range gateways {
		c.sending.Go(func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for c.l.now() < until {
				<-ticker.C
				for range atOnce {
					c.sending.Go(func() { c.send(g) })
				}
			}
		})
	}
}

// wait waits for all answers and records how many there were of each status.
func (c *callers) wait() []answer {
	c.sending.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[int]int)
	for _, a := range c.answers {
		counts[a.status]++
		if a.status != http.StatusOK {
			c.l.record("request %s sent at %.3f to %s: status %d after %.0f ms, error %v", a.id, a.sentAt.Seconds(), a.gateway.name, a.status, float64(a.tookTime.Milliseconds()), a.err)
		}
	}
	c.l.record("answers by status (0: none): %v", counts)
	return c.answers
}
