// Package engine is an HTTP stand-in for a model engine. It runs an
// enginemodel in real time, marks every answer with the request it is for,
// keeps a record of what it started, and has fault switches.
package engine

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	enginev1 "github.com/marigoldwing/marigoldwing/api/engine/v1"
	"github.com/marigoldwing/marigoldwing/internal/enginemodel"
	"github.com/marigoldwing/marigoldwing/internal/standin/mark"
)

// Estimates by which prompts are counted, as callers of the engine use them.
const (
	bytesPerToken    = 4
	prefixBlockBytes = 1024
	// PrefixBlockTokens is the block size for which the prefix hashes of
	// cache events are those of the system's routing.
	PrefixBlockTokens = prefixBlockBytes / bytesPerToken
)

// Options describe one stand-in.
type Options struct {
	Settings enginemodel.Settings
	// TimeScale is how many seconds of the engine pass in a real second.
	TimeScale float64
	// ChecksFencing has orders with an old fencing number refused.
	ChecksFencing bool
	Seed          uint64
}

// Engine is the stand-in. Run drives it; Handler serves it.
type Engine struct {
	opts  Options
	began time.Time
	wake  chan struct{}

	mu      sync.Mutex
	model   *enginemodel.Model
	streams map[string]*stream
	fencing uint64
	faults  Faults
	record  Record
	bySeq   map[string]int // index into record.Sequences
	kv      map[string]exported
	changed chan struct{} // closed when an order or a restart is complete
}

// exported is what another engine needs to go on with a sequence.
type exported struct {
	prompt   int
	produced int
}

// New returns a stand-in whose time begins now.
func New(opts Options) (*Engine, error) {
	opts.Settings.SingleStep = true
	opts.Settings.BlockTokens = PrefixBlockTokens
	model, err := enginemodel.New(opts.Settings, opts.Seed)
	if err != nil {
		return nil, err
	}
	if opts.TimeScale <= 0 {
		opts.TimeScale = 1
	}
	return &Engine{
		opts:    opts,
		began:   time.Now(),
		wake:    make(chan struct{}, 1),
		model:   model,
		streams: make(map[string]*stream),
		bySeq:   make(map[string]int),
		kv:      make(map[string]exported),
		changed: make(chan struct{}),
	}, nil
}

// now returns the engine's time.
func (e *Engine) now() time.Duration {
	return time.Duration(float64(time.Since(e.began)) * e.opts.TimeScale)
}

// Run drives the engine until ctx is done.
func (e *Engine) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-e.wake:
		}
		timer.Reset(e.step())
	}
}

// idleWait is how long Run sleeps when the engine has nothing to do.
const idleWait = time.Minute

// step takes the events that are due and returns the time to the next.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, event := range e.model.Advance(e.now()) {
		e.take(event)
	}
	next, ok := e.model.NextEvent()
	if !ok {
		return idleWait
	}
	return max(0, time.Duration(float64(next-e.now())/e.opts.TimeScale))
}

// poke has Run look at the engine again.
func (e *Engine) poke() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// take passes one event on. The caller holds the lock.
func (e *Engine) take(event enginemodel.Event) {
	if event.Kind == enginemodel.EventReady {
		close(e.changed)
		e.changed = make(chan struct{})
		return
	}
	s := e.streams[event.ID]
	if s == nil {
		return
	}
	switch event.Kind {
	case enginemodel.EventPrefilled:
		s.cached = event.CachedTokens
	case enginemodel.EventTokens:
		e.noteTokens(event.ID, event.TokenIndex+event.Tokens)
		s.push(s.tokens(event))
	case enginemodel.EventDone:
		e.finish(s, event)
	case enginemodel.EventFailed:
		e.noteOutcome(event.ID, OutcomeFailed)
		delete(e.streams, event.ID)
		s.abort()
	}
}

// finish ends a stream whose sequence is done.
func (e *Engine) finish(s *stream, event enginemodel.Event) {
	out := &enginev1.GenerateEvent{Id: event.ID, Done: true, FinishReason: "length"}
	out.PromptTokens = int32(s.promptTokens)
	out.CachedTokens = int32(s.cached)
	outcome := OutcomeDone
	if event.Reason != enginemodel.FinishedLength {
		out.KvHandle = event.ID
		e.kv[event.ID] = exported{prompt: s.promptTokens, produced: event.TokenIndex}
	}
	switch event.Reason {
	case enginemodel.FinishedMoved:
		out.FinishReason = "moved"
		outcome = OutcomeMoved
	case enginemodel.FinishedPrefill:
		out.FinishReason = "stop"
	}
	e.noteOutcome(event.ID, outcome)
	delete(e.streams, event.ID)
	s.push(out)
}

// promptTokens counts a prompt's tokens, at least one.
func promptTokens(prompt string) int {
	return max(1, (len(prompt)+bytesPerToken-1)/bytesPerToken)
}

// prefixHashes returns the hash of each leading run of whole blocks.
func prefixHashes(prompt string) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	for end := prefixBlockBytes; end <= len(prompt); end += prefixBlockBytes {
		_, _ = digest.WriteString(prompt[end-prefixBlockBytes : end])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// start submits a sequence and returns its stream.
func (e *Engine) start(req *enginev1.GenerateRequest, imported bool) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := newStream(req, mark.Extract(req.GetPrompt(), req.GetRequestId()))
	err := e.model.Submit(e.now(), enginemodel.Sequence{
		ID:           req.GetId(),
		PromptTokens: s.promptTokens,
		PrefixHashes: prefixHashes(req.GetPrompt()),
		OutputTokens: int(req.GetMaxTokens()),
		ResumeFrom:   int(req.GetResumeFromToken()),
		Imported:     imported,
		PrefillOnly:  req.GetPrefillOnly(),
		Priority:     int(req.GetPriority()),
	})
	if err != nil {
		return nil, err
	}
	e.streams[req.GetId()] = s
	e.noteStart(req, s.promptTokens)
	e.poke()
	return s, nil
}

// cancel stops a sequence.
func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.model.Cancel(e.now(), id) {
		return
	}
	e.noteOutcome(id, OutcomeCancelled)
	if s := e.streams[id]; s != nil {
		delete(e.streams, id)
		s.push(&enginev1.GenerateEvent{Id: id, Done: true, FinishReason: "cancelled"})
	}
	e.poke()
}

// export stops a sequence and keeps its KV cache for another engine.
func (e *Engine) export(id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, err := e.model.Export(e.now(), id)
	e.poke()
	return err
}
