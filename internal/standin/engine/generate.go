package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	enginev1 "github.com/marigoldwing/marigoldwing/api/engine/v1"
	api "github.com/marigoldwing/marigoldwing/internal/engine"
	"github.com/marigoldwing/marigoldwing/internal/enginemodel"
)

// importTimeout limits the transfer of a KV cache from another engine.
const importTimeout = 5 * time.Second

// serveGenerate starts a sequence and streams its events. The sequence
// continues if the caller disconnects.
func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	req := &enginev1.GenerateRequest{}
	if !readMessage(w, r, req) {
		return
	}
	imported, err := e.importKV(r.Context(), req)
	if err != nil {
		writeModelError(w, err)
		return
	}
	s, err := e.start(req, imported)
	if err != nil {
		writeModelError(w, err)
		return
	}
	faults := e.currentFaults()
	if faults.WrongSequenceID {
		req = e.withWrongID(req)
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	out := &streamWriter{w: w, sequenceID: req.GetId(), truncateAfter: faults.TruncateAfterEvents}
	if !sleep(r.Context(), time.Duration(faults.FirstEventDelayMs)*time.Millisecond) || !out.copy(r.Context(), s) {
		panic(http.ErrAbortHandler)
	}
}

// withWrongID returns a request with the ID of the sequence that was started
// before req, or with the ID "none" if req is the first. It simulates an engine
// that mixes up its responses.
func (e *Engine) withWrongID(req *enginev1.GenerateRequest) *enginev1.GenerateRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := e.recordIndex[req.GetId()]
	if i == 0 {
		return &enginev1.GenerateRequest{Id: "none"}
	}
	return &enginev1.GenerateRequest{Id: e.record.Sequences[i-1].ID}
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// streamWriter writes events, one per line.
type streamWriter struct {
	w             http.ResponseWriter
	sequenceID    string
	written       int
	truncateAfter int
}

// copy writes a stream up to its last event. It returns false if the response
// must be aborted.
func (o *streamWriter) copy(ctx context.Context, s *stream) bool {
	for {
		events, aborted := s.drain()
		for _, event := range events {
			if !o.write(event) {
				return false
			}
			if event.GetDone() {
				return true
			}
		}
		if aborted {
			return false
		}
		select {
		case <-s.ready:
		case <-ctx.Done():
			return false
		}
	}
}

// write writes one event. It returns false if writing failed or the stream is
// to be truncated.
func (o *streamWriter) write(event *enginev1.GenerateEvent) bool {
	if o.truncateAfter > 0 && o.written >= o.truncateAfter {
		return false
	}
	o.written++
	event.Id = o.sequenceID
	line, err := protojson.Marshal(event)
	if err != nil {
		return false
	}
	if _, err := o.w.Write(append(line, '\n')); err != nil {
		return false
	}
	return http.NewResponseController(o.w).Flush() == nil
}

// importKV transfers the KV cache that a request names, if any. It reports
// whether the sequence can continue from a transferred KV cache.
func (e *Engine) importKV(ctx context.Context, req *enginev1.GenerateRequest) (bool, error) {
	if req.GetKvHandle() == "" || req.GetKvSource() == "" {
		return false, nil
	}
	if err := fetchKV(ctx, req); err != nil {
		if e.state().GetRole().String() == "ROLE_DECODE" {
			return false, fmt.Errorf("%w: %w", enginemodel.ErrWrongRole, err)
		}
		return false, nil // a mixed engine prefills the prompt again
	}
	return true, nil
}

// fetchKV transfers an exported KV cache from its engine and releases it there.
func fetchKV(ctx context.Context, req *enginev1.GenerateRequest) error {
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	target := req.GetKvSource() + api.PathKV + url.PathEscape(req.GetKvHandle())
	if err := doRequest(ctx, http.MethodGet, target); err != nil {
		return err
	}
	return doRequest(ctx, http.MethodDelete, target)
}

func doRequest(ctx context.Context, method, target string) error {
	req, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %s", method, target, resp.Status)
	}
	return nil
}

// serveImport transfers a KV cache without starting a sequence.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	req := &enginev1.GenerateRequest{}
	if !readMessage(w, r, req) {
		return
	}
	if err := fetchKV(r.Context(), req); err != nil {
		writeModelError(w, fmt.Errorf("%w: %w", enginemodel.ErrNotFound, err))
		return
	}
	writeMessage(w, req)
}

// serveKV returns an exported KV cache to another engine.
func (e *Engine) serveKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	held, ok := e.exports[r.PathValue("handle")]
	e.mu.Unlock()
	if !ok {
		writeModelError(w, enginemodel.ErrNotFound)
		return
	}
	writeMessage(w, &enginev1.GenerateEvent{
		KvHandle:     r.PathValue("handle"),
		PromptTokens: int32(held.promptTokens),
		TokenIndex:   int32(held.outputTokens),
	})
}

// serveRelease frees an exported KV cache.
func (e *Engine) serveRelease(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	handle := r.PathValue("handle")
	delete(e.exports, handle)
	if !e.model.Release(e.now(), handle) {
		writeModelError(w, enginemodel.ErrNotFound)
		return
	}
	e.notifyRun()
	writeMessage(w, &enginev1.GenerateEvent{KvHandle: handle})
}
