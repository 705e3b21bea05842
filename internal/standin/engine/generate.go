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

// importTimeout bounds the fetch of a KV cache from another engine.
const importTimeout = 5 * time.Second

// serveGenerate streams a sequence, which goes on when its reader goes away.
func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	req := &enginev1.GenerateRequest{}
	if !readMessage(w, r, req) {
		return
	}
	imported, err := e.importFor(r.Context(), req)
	if err != nil {
		refuse(w, err)
		return
	}
	s, err := e.start(req, imported)
	if err != nil {
		refuse(w, err)
		return
	}
	faults := e.currentFaults()
	if faults.WrongSequenceID {
		req = e.crossed(req)
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	out := &streamWriter{w: w, id: req.GetId(), truncateAfter: faults.TruncateAfterEvents}
	if !sleep(r.Context(), time.Duration(faults.FirstEventDelayMs)*time.Millisecond) || !out.copy(r.Context(), s) {
		panic(http.ErrAbortHandler)
	}
}

// crossed names the sequence started before req, as an engine that mixes up
// its answers would.
func (e *Engine) crossed(req *enginev1.GenerateRequest) *enginev1.GenerateRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := e.bySeq[req.GetId()]
	if i == 0 {
		return &enginev1.GenerateRequest{Id: "none"}
	}
	return &enginev1.GenerateRequest{Id: e.record.Sequences[i-1].ID}
}

// sleep waits and reports whether ctx is still live.
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

// streamWriter writes events, one a line.
type streamWriter struct {
	w             http.ResponseWriter
	id            string
	written       int
	truncateAfter int
}

// copy writes a stream to its end. It reports false if the stream has to
// break off.
func (o *streamWriter) copy(ctx context.Context, s *stream) bool {
	for {
		events, aborted := s.take()
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

func (o *streamWriter) write(event *enginev1.GenerateEvent) bool {
	if o.truncateAfter > 0 && o.written >= o.truncateAfter {
		return false
	}
	o.written++
	event.Id = o.id
	line, err := protojson.Marshal(event)
	if err != nil {
		return false
	}
	if _, err := o.w.Write(append(line, '\n')); err != nil {
		return false
	}
	return http.NewResponseController(o.w).Flush() == nil
}

// importFor fetches the KV cache that a request names, if it names one.
func (e *Engine) importFor(ctx context.Context, req *enginev1.GenerateRequest) (bool, error) {
	if req.GetKvHandle() == "" || req.GetKvSource() == "" {
		return false, nil
	}
	if err := fetchKV(ctx, req); err != nil {
		if e.state().GetRole().String() == "ROLE_DECODE" {
			return false, fmt.Errorf("%w: %w", enginemodel.ErrWrongRole, err)
		}
		return false, nil // a mixed engine prefills again
	}
	return true, nil
}

// fetchKV reads the exported KV cache from its engine and releases it there.
func fetchKV(ctx context.Context, req *enginev1.GenerateRequest) error {
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	target := req.GetKvSource() + api.PathKV + url.PathEscape(req.GetKvHandle())
	if err := call(ctx, http.MethodGet, target); err != nil {
		return err
	}
	return call(ctx, http.MethodDelete, target)
}

func call(ctx context.Context, method, target string) error {
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

// serveImport fetches a KV cache without starting a sequence.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	req := &enginev1.GenerateRequest{}
	if !readMessage(w, r, req) {
		return
	}
	if err := fetchKV(r.Context(), req); err != nil {
		refuse(w, fmt.Errorf("%w: %w", enginemodel.ErrNotFound, err))
		return
	}
	writeMessage(w, req)
}

// serveKV lets another engine read an exported KV cache.
func (e *Engine) serveKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	held, ok := e.kv[r.PathValue("handle")]
	e.mu.Unlock()
	if !ok {
		refuse(w, enginemodel.ErrNotFound)
		return
	}
	writeMessage(w, &enginev1.GenerateEvent{
		KvHandle:     r.PathValue("handle"),
		PromptTokens: int32(held.prompt),
		TokenIndex:   int32(held.produced),
	})
}

// serveRelease frees an exported KV cache.
func (e *Engine) serveRelease(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	handle := r.PathValue("handle")
	delete(e.kv, handle)
	if !e.model.Release(e.now(), handle) {
		refuse(w, enginemodel.ErrNotFound)
		return
	}
	e.poke()
	writeMessage(w, &enginev1.GenerateEvent{KvHandle: handle})
}
