package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
)

// sink sends a response to the caller in the format that the caller requested.
type sink interface {
	// head sets status and content type; it precedes all data.
	head(status int, contentType string)
	// data adds bytes of the response, which contain the given number of output
	// tokens.
	data(b []byte, tokens int) error
	// end finishes a complete response.
	end() error
	// refuse ends the request without a complete response.
	refuse(r *refusal)
	// reset discards the buffered part of a response.
	reset()
	// begun reports whether the caller has received any part of the response.
	begun() bool
}

// bufferedSink buffers a response until it is complete.
type bufferedSink struct {
	w           http.ResponseWriter
	requestID   string
	status      int
	contentType string
	body        bytes.Buffer
	tokens      int
	// render converts the buffered response into the caller's body and content
	// type; nil sends it unchanged.
	render func(text []byte, tokens int) ([]byte, string)
}

func (s *bufferedSink) head(status int, contentType string) {
	s.status = status
	s.contentType = contentType
}

func (s *bufferedSink) data(b []byte, tokens int) error {
	s.body.Write(b)
	s.tokens += tokens
	return nil
}

func (s *bufferedSink) end() error {
	body := s.body.Bytes()
	if s.render != nil {
		body, s.contentType = s.render(body, s.tokens)
	}
	header := s.w.Header()
	if s.contentType != "" {
		header.Set("Content-Type", s.contentType)
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	s.w.WriteHeader(s.status)
	_, err := s.w.Write(body)
	return err
}

func (s *bufferedSink) refuse(r *refusal) { r.write(s.w, s.requestID) }

func (s *bufferedSink) reset() {
	s.body.Reset()
	s.tokens = 0
}

func (s *bufferedSink) begun() bool { return false }

// streamSink sends tokens as server-sent events as they arrive.
type streamSink struct {
	w         http.ResponseWriter
	requestID string
	started   bool
	// event returns the JSON of one event; final marks the last one.
	event func(text string, final bool) []byte
}

func (s *streamSink) head(int, string) {}

func (s *streamSink) data(b []byte, _ int) error {
	return s.send(s.event(string(b), false))
}

func (s *streamSink) end() error {
	if err := s.send(s.event("", true)); err != nil {
		return err
	}
	return s.send([]byte("[DONE]"))
}

// refuse sends the problem as the complete response, or as an error event if
// the stream has begun. The missing [DONE] shows the caller that the stream is
// incomplete.
func (s *streamSink) refuse(r *refusal) {
	if !s.started {
		r.write(s.w, s.requestID)
		return
	}
	event, err := json.Marshal(errorEvent{Error: r.json(s.requestID)})
	if err != nil {
		panic(fmt.Sprintf("entry: an error event does not marshal: %v", err))
	}
	_ = s.send(event)
}

func (s *streamSink) reset() {}

func (s *streamSink) begun() bool { return s.started }

func (s *streamSink) send(event []byte) error {
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-cache")
		s.w.WriteHeader(http.StatusOK)
	}
	if _, err := fmt.Fprintf(s.w, "data: %s\n\n", event); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// errorEvent is the last event of an incomplete stream.
type errorEvent struct {
	Error json.RawMessage `json:"error"`
}
