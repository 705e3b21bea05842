// Package engine is an HTTP stand-in for a model engine. It runs an
// enginemodel.Model in real time, marks each response with the request that it
// belongs to, records the sequences and orders that it received, and can inject
// faults.
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

// Parameters for counting and hashing prompts.
const (
	// bytesPerToken is the estimated size of a token; prompts are not
	// tokenized.
	bytesPerToken    = 4
	prefixBlockBytes = 1024
	// PrefixBlockTokens is the block size, in tokens, at which the prefix
	// hashes of cache events equal those that routing computes.
	PrefixBlockTokens = prefixBlockBytes / bytesPerToken
)

// Options configures a stand-in.
type Options struct {
	Settings enginemodel.Settings
	// TimeScale is the number of seconds simulated per real second. Values of 0
	// or below mean 1.
	TimeScale float64
	// ChecksFencing makes the engine reject orders whose fencing token is
	// lower than the highest one seen.
	ChecksFencing bool
	Seed          uint64
}

// Engine is the stand-in. Run must be running while Handler serves requests.
type Engine struct {
	opts      Options
	startTime time.Time
	wake      chan struct{} // makes Run check for new events

	mu                  sync.Mutex
	model               *enginemodel.Model
	streams             map[string]*stream // unfinished sequences, by ID
	highestFencingToken uint64
	faults              Faults
	record              Record
	// recordIndex is the index into record.Sequences by sequence ID.
	recordIndex map[string]int
	// exports are the KV caches held for other engines, by handle.
	exports map[string]exportedSequence
	// changeDone is closed, and then replaced, when an order or a restart
	// completes or the engine crashes.
	changeDone chan struct{}
}

// exportedSequence is the state that another engine needs to continue a
// sequence.
type exportedSequence struct {
	promptTokens int
	outputTokens int
}

// New returns a stand-in whose simulated time starts now.
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
		opts:        opts,
		startTime:   time.Now(),
		wake:        make(chan struct{}, 1),
		model:       model,
		streams:     make(map[string]*stream),
		recordIndex: make(map[string]int),
		exports:     make(map[string]exportedSequence),
		changeDone:  make(chan struct{}),
	}, nil
}

// now returns the simulated time.
func (e *Engine) now() time.Duration {
	return time.Duration(float64(time.Since(e.startTime)) * e.opts.TimeScale)
}

// Run drives the simulation until ctx is done.
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

// idleWait is how long Run sleeps when no event is due.
const idleWait = time.Minute

// step processes the events that are due and returns the real time until the
// next one.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, event := range e.model.Advance(e.now()) {
		e.handleEvent(event)
	}
	next, ok := e.model.NextEvent()
	if !ok {
		return idleWait
	}
	return max(0, time.Duration(float64(next-e.now())/e.opts.TimeScale))
}

// notifyRun makes Run check for new events.
func (e *Engine) notifyRun() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// handleEvent processes one event of the model. The caller must hold mu.
func (e *Engine) handleEvent(event enginemodel.Event) {
	if event.Kind == enginemodel.EventReady {
		close(e.changeDone)
		e.changeDone = make(chan struct{})
		return
	}
	s := e.streams[event.ID]
	if s == nil {
		return
	}
	switch event.Kind {
	case enginemodel.EventPrefilled:
		s.cachedTokens = event.CachedTokens
	case enginemodel.EventTokens:
		e.recordTokens(event.ID, event.TokenIndex+event.Tokens)
		s.push(s.tokensEvent(event))
	case enginemodel.EventDone:
		e.finish(s, event)
	case enginemodel.EventFailed:
		e.recordOutcome(event.ID, OutcomeFailed)
		delete(e.streams, event.ID)
		s.abort()
	}
}

// finish ends the stream of a completed sequence. The caller must hold mu.
func (e *Engine) finish(s *stream, event enginemodel.Event) {
	last := &enginev1.GenerateEvent{Id: event.ID, Done: true, FinishReason: "length"}
	last.PromptTokens = int32(s.promptTokens)
	last.CachedTokens = int32(s.cachedTokens)
	outcome := OutcomeDone
	if event.Reason != enginemodel.FinishedLength {
		last.KvHandle = event.ID
		e.exports[event.ID] = exportedSequence{promptTokens: s.promptTokens, outputTokens: event.TokenIndex}
	}
	switch event.Reason {
	case enginemodel.FinishedMoved:
		last.FinishReason = "moved"
		outcome = OutcomeMoved
	case enginemodel.FinishedPrefill:
		last.FinishReason = "stop"
	}
	e.recordOutcome(event.ID, outcome)
	delete(e.streams, event.ID)
	s.push(last)
}

// promptTokens estimates the number of tokens in a prompt; it is at least one.
func promptTokens(prompt string) int {
	return max(1, (len(prompt)+bytesPerToken-1)/bytesPerToken)
}

// prefixHashes returns a hash for each whole leading block of the prompt. Each
// covers the prompt from its start to the end of the block.
func prefixHashes(prompt string) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	for end := prefixBlockBytes; end <= len(prompt); end += prefixBlockBytes {
		_, _ = digest.WriteString(prompt[end-prefixBlockBytes : end])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// start submits a sequence to the model and returns its stream.
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
	e.recordStart(req, s.promptTokens)
	e.notifyRun()
	return s, nil
}

// cancel stops a sequence. It has no effect if the sequence does not exist.
func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.model.Cancel(e.now(), id) {
		return
	}
	e.recordOutcome(id, OutcomeCancelled)
	if s := e.streams[id]; s != nil {
		delete(e.streams, id)
		s.push(&enginev1.GenerateEvent{Id: id, Done: true, FinishReason: "cancelled"})
	}
	e.notifyRun()
}

// export stops a sequence and keeps its KV cache for another engine.
func (e *Engine) export(id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, err := e.model.Export(e.now(), id)
	e.notifyRun()
	return err
}
