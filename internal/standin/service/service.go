// Package service is an HTTP stand-in for a plain service. It echoes each
// request with its ID, counts non-idempotent calls by their key, and has
// fault switches.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Paths of the stand-in's own switches.
const (
	// PathFaults takes Faults by PUT, which replace those in force, and
	// returns them by GET.
	PathFaults = "/admin/faults"
	// PathRecord returns by GET the number of times that each idempotency key
	// had its effect.
	PathRecord = "/record"
)

// Headers of calls.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerClient         = "X-Client"
)

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 16 << 20

// Faults are the faults in force. The zero value has none.
type Faults struct {
	// DelayBeforeEffectMs delays the effect of each call, in milliseconds.
	DelayBeforeEffectMs int64 `json:"slow_ms,omitempty"`
	// DelayAfterEffectMs delays the answer after the effect, in milliseconds.
	DelayAfterEffectMs int64 `json:"late_ms,omitempty"`
	// DropAfterEffect breaks the connection off between effect and answer.
	DropAfterEffect bool `json:"drop_after_effect,omitempty"`
	// DropBeforeEffect breaks the connection off before the effect.
	DropBeforeEffect bool `json:"drop_before_effect,omitempty"`
	// Truncate breaks each answer off in the middle of its body.
	Truncate bool `json:"truncate,omitempty"`
	// ReplyPrevious answers each call with the answer to the call before it.
	ReplyPrevious bool `json:"crossed,omitempty"`
}

// Response is the body of an answer: what the stand-in saw of the call.
type Response struct {
	RequestID string `json:"request_id"`
	Key       string `json:"idempotency_key,omitempty"`
	Client    string `json:"client,omitempty"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Body      string `json:"body,omitempty"`
}

// EffectCounts counts effects by idempotency key.
type EffectCounts map[string]int

// Service is the stand-in. The zero value is ready.
type Service struct {
	mu     sync.Mutex
	faults Faults
	record EffectCounts
	last   Response
}

// Handler returns the service and the stand-in's switches.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serve)
	mux.HandleFunc("GET "+PathRecord, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Snapshot()) })
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.currentFaults()) })
	mux.HandleFunc("PUT "+PathFaults, s.serveFaults)
	return mux
}

// Snapshot returns a copy of the record.
func (s *Service) Snapshot() EffectCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := make(EffectCounts, len(s.record))
	for key, count := range s.record {
		record[key] = count
	}
	return record
}

// SetFaults replaces the faults in force.
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

// serve answers one call. Once the body has been read the effect takes
// place, whether or not the caller still waits.
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
	answer := s.effect(r, body, faults.ReplyPrevious)
	time.Sleep(time.Duration(faults.DelayAfterEffectMs) * time.Millisecond)
	if faults.DropAfterEffect {
		panic(http.ErrAbortHandler)
	}
	send(w, answer, faults.Truncate)
}

// effect records a call and returns its answer.
func (s *Service) effect(r *http.Request, body []byte, crossed bool) Response {
	answer := Response{
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
		if s.record == nil {
			s.record = make(EffectCounts)
		}
		s.record[answer.Key]++
	}
	last := s.last
	s.last = answer
	if crossed {
		return last
	}
	return answer
}

// send writes an answer, or its first half and then nothing.
func send(w http.ResponseWriter, answer Response, truncate bool) {
	body, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(headerRequestID, answer.RequestID)
	if !truncate {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
