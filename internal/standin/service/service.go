// Package service is an HTTP stand-in for a plain service. It echoes each
// request, counts the effects of non-idempotent calls by idempotency key, and
// can inject faults.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Paths of the stand-in's fault injection API.
const (
	// PathFaults returns the active Faults by GET and replaces them by PUT.
	PathFaults = "/admin/faults"
	// PathRecord returns the EffectCounts by GET.
	PathRecord = "/record"
)

// Headers of forwarded calls.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerClient         = "X-Client"
)

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 16 << 20

// Faults are the injected faults. The zero value injects none.
type Faults struct {
	// DelayBeforeEffectMs delays the effect of each call, in milliseconds.
	DelayBeforeEffectMs int64 `json:"slow_ms,omitempty"`
	// DelayAfterEffectMs delays the response after the effect, in milliseconds.
	DelayAfterEffectMs int64 `json:"late_ms,omitempty"`
	// DropAfterEffect closes the connection after the effect, without a
	// response.
	DropAfterEffect bool `json:"drop_after_effect,omitempty"`
	// DropBeforeEffect closes the connection before the effect.
	DropBeforeEffect bool `json:"drop_before_effect,omitempty"`
	// Truncate closes the connection in the middle of each response body.
	Truncate bool `json:"truncate,omitempty"`
	// OmitLength sends responses with neither length nor chunks, which end with their
	// connection.
	OmitLength bool `json:"omit_length,omitempty"`
	// ReplyPrevious responds to each call with the response to the previous
	// one.
	ReplyPrevious bool `json:"crossed,omitempty"`
}

// Response is the body of a response. It echoes the call as the stand-in
// received it.
type Response struct {
	RequestID string `json:"request_id"`
	Key       string `json:"idempotency_key,omitempty"`
	Client    string `json:"client,omitempty"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Body      string `json:"body,omitempty"`
}

// EffectCounts is the number of effects by idempotency key.
type EffectCounts map[string]int

// Service is the stand-in. The zero value is ready to use.
type Service struct {
	mu       sync.Mutex
	faults   Faults
	effects  EffectCounts
	previous Response
}

// Handler serves the plain service and the fault injection API.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serve)
	mux.HandleFunc("GET "+PathRecord, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Snapshot()) })
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.currentFaults()) })
	mux.HandleFunc("PUT "+PathFaults, s.serveFaults)
	return mux
}

// Snapshot returns a copy of the effect counts.
func (s *Service) Snapshot() EffectCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(EffectCounts, len(s.effects))
	for key, count := range s.effects {
		counts[key] = count
	}
	return counts
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Service) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

// serve handles one call. Once the body has been read, the effect takes place
// even if the caller disconnects.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := s.currentFaults()
	time.Sleep(time.Duration(faults.DelayBeforeEffectMs) * time.Millisecond)
	if faults.DropBeforeEffect {
		panic(http.ErrAbortHandler)
	}
	response := s.applyEffect(r, body, faults.ReplyPrevious)
	time.Sleep(time.Duration(faults.DelayAfterEffectMs) * time.Millisecond)
	if faults.DropAfterEffect {
		panic(http.ErrAbortHandler)
	}
	if faults.OmitLength {
		writeWithoutLength(w, response)
		return
	}
	writeResponse(w, response, faults.Truncate)
}

// applyEffect performs the effect of a call and returns the response.
func (s *Service) applyEffect(r *http.Request, body []byte, replyPrevious bool) Response {
	response := Response{
		RequestID: r.Header.Get(headerRequestID),
		Key:       r.Header.Get(headerIdempotencyKey),
		Client:    r.Header.Get(headerClient),
		Method:    r.Method,
		Path:      r.URL.RequestURI(),
		Body:      string(body),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		if s.effects == nil {
			s.effects = make(EffectCounts)
		}
		s.effects[response.Key]++
	}
	previous := s.previous
	s.previous = response
	if replyPrevious {
		return previous
	}
	return response
}

// writeResponse writes a response. If truncate is set, it writes only the first
// half of the body and aborts the connection.
func writeResponse(w http.ResponseWriter, response Response, truncate bool) {
	body, err := json.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(headerRequestID, response.RequestID)
	if !truncate {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// writeWithoutLength writes a response and closes the connection. If this fails, the caller
// notices the missing response.
func writeWithoutLength(w http.ResponseWriter, response Response) {
	body, err := json.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%s: %s\r\n\r\n%s", headerRequestID, response.RequestID, body)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
