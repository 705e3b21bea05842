package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// Names on the wire.
const (
	headerID       = "X-Marigoldwing-Request-Id"
	headerDeadline = "X-Marigoldwing-Request-Deadline-Ms"
	headerSeal     = "X-Marigoldwing-Response-Seal"
	headerExpect   = "X-Marigoldwing-Expect-Instance"
	headerInstance = "X-Marigoldwing-Instance-Id"
	healthPath     = "/health"
	serviceHost    = "app.example"
	servicePrefix  = "/stamps/"
	serviceName    = "passport-app"
	serverSlots    = 6
	bodyBytes      = 800
)

// bodyOf returns the body of a server's answer to a request, which is different for each.
func bodyOf(id string) string {
	sum := sha256.Sum256([]byte(id))
	text := hex.EncodeToString(sum[:])
	return strings.Repeat(text, bodyBytes/len(text)+1)[:bodyBytes]
}

// server stands in for one start of a server of a plain service.
type server struct {
	id string
	// born is the start that the server states in its health, in Unix milliseconds; empty if
	// it states none.
	born string
	// work is how long a request runs. An unframed answer is sent in two halves, pause
	// apart, and has neither a length nor chunks: its connection ends it.
	work, pause time.Duration
	unframed    func(id string) bool
	// arrived is called with each request before it runs.
	arrived func(id string)

	mu      sync.Mutex
	running int
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get(headerID)
	if id != "" {
		h.Set(headerID, id)
	}
	if expected := r.Header.Get(headerExpect); expected != "" && expected != s.id {
		h.Set(headerInstance, s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.running++
	h.Set("X-Marigoldwing-Instance-Load", fmt.Sprintf("%d,0,%d", s.running, serverSlots))
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	if r.URL.Path == healthPath {
		h.Set(headerInstance, s.id)
		if s.born != "" {
			h.Set("Content-Type", "application/json")
			fmt.Fprintf(w, `{"born":%s}`, s.born)
		}
		return
	}
	if s.arrived != nil {
		s.arrived(id)
	}
	time.Sleep(s.work)
	h.Set("Content-Type", "text/plain")
	h.Set(headerSeal, "seal-"+id)
	body := bodyOf(id)
	if s.unframed == nil || !s.unframed(id) {
		h.Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = w.Write([]byte(body))
		return
	}
	s.answerUnframed(w, id, body)
}

// answerUnframed sends an answer that ends with its connection.
func (s *server) answerUnframed(w http.ResponseWriter, id, body string) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	half := len(body) / 2
	fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n%s: %s\r\n%s: seal-%s\r\n\r\n%s",
		headerID, id, headerSeal, id, body[:half])
	_ = buffered.Flush()
	time.Sleep(s.pause)
	_, _ = buffered.WriteString(body[half:])
	_ = buffered.Flush()
}

// isUnframed chooses every twentieth answer by the request's ID.
func isUnframed(id string) bool { return sha256.Sum256([]byte(id))[0]%20 == 0 }

// serve runs a server as a process of its own, which the case kills: server ID ADDRESS [BORN].
func serve(args []string) {
	listener, err := net.Listen("tcp", args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	s := &server{id: args[0], work: 20 * time.Millisecond, pause: 800 * time.Millisecond, unframed: isUnframed}
	if len(args) > 2 {
		// A server that states its start, and none of whose answers has a length.
		s.born, s.pause, s.unframed = args[2], 300*time.Millisecond, func(string) bool { return true }
	}
	_ = http.Serve(listener, s)
}

// register writes the registration of a server.
func (s *store) register(id, address, state string) { s.registerFor(serviceName, id, address, state) }

// registerFor writes the registration of a server of a service.
func (s *store) registerFor(service, id, address, state string) {
	s.put("servers", id, map[string]any{
		"service": service, "address": address, "zone": "graaff", "version": "v1", "slots": serverSlots,
		"state": state, "coldLeftMs": 0, "seq": 1,
	})
}

// configure writes a configuration with one route, of requests that run once at most.
func (s *store) configure(route map[string]any) {
	whole := map[string]any{
		"name": "stamps", "host": serviceHost, "prefix": servicePrefix, "kind": "non_idempotent", "timeoutMs": 1000,
		"sloMs": 100, "priority": 2, "service": serviceName, "attempts": 1, "resumable": false,
	}
	for name, value := range route {
		whole[name] = value
	}
	s.put("config", "main", map[string]any{
		"version":  1,
		"routes":   []any{whole},
		"services": []any{map[string]any{"name": serviceName, "healthCheck": healthPath, "maxConnections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}
