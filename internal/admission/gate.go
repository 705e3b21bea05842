package admission

import "time"

// GateOptions describe the backend server behind a gate.
type GateOptions struct {
	// MaxSequences is the largest number of attempts that run at once.
	MaxSequences int
	// PromptWindow is the number of prompt tokens handed to an engine and not
	// yet prefilled, from which on further attempts wait at the gate, where
	// they can still be put in order and withdrawn; 0 means no bound.
	PromptWindow int
	// QueueLimit is the largest number of attempts that wait.
	QueueLimit int
	// PrefillRate in prompt tokens per second; 0 for plain services.
	PrefillRate float64
	// MinDecodeStep is the least time between two output tokens of one sequence,
	// and FullBatchStep the time in a full batch.
	MinDecodeStep, FullBatchStep time.Duration
	// Admission compares predictions with deadlines.
	Admission Options
}

const (
	// defaultPromptWindow keeps an engine prefilling without a pause.
	defaultPromptWindow = 8192
	// defaultQueueLimit is the number of attempts that wait at a gate.
	defaultQueueLimit = 4096
	// spareSequences are handed to an engine beyond its batch, so that it can
	// fill a place in the batch at once.
	spareSequences = 4
	// minStepShare is the time of a decode step with one sequence, as a share
	// of the time with a full batch.
	minStepShare = 0.4
)

// DefaultGateOptions returns the usual options for an engine, with rates in
// tokens per second, that of decoding over a full batch.
func DefaultGateOptions(prefillRate, decodeRate float64, maxBatch int) GateOptions {
	opts := GateOptions{
		MaxSequences: maxBatch + spareSequences,
		PromptWindow: defaultPromptWindow,
		QueueLimit:   defaultQueueLimit,
		PrefillRate:  prefillRate,
		Admission:    DefaultOptions(),
	}
	if decodeRate > 0 {
		opts.FullBatchStep = time.Duration(float64(maxBatch) / decodeRate * float64(time.Second))
		opts.MinDecodeStep = time.Duration(minStepShare * float64(opts.FullBatchStep))
	}
	return opts
}

// Gate decides, for one backend server, which attempts start when. The agent's
// use:
//
//   - Arrive for each submitted attempt; if it is refused, it has not run;
//   - then, and after every other call, Next until it returns false: each item
//     is started at the backend server with EnginePriority;
//   - RecordPrefilled when an attempt's prompt has been prefilled, Tokens as output
//     is generated, Finished when the attempt ended in whatever way;
//   - Withdraw for a withdrawn attempt that is not to start;
//   - Expire at NextExpiry: each item is refused at once and has not run.
//
// A Gate is not safe for concurrent use.
type Gate struct {
	opts     GateOptions
	queue    *Queue
	refusals RetryAfterEstimator
	running  map[string]*running
	// prefilling is the prompt tokens started and not yet prefilled.
	prefilling int
	// queuedPrompt and queuedOutput are the tokens of what waits.
	queuedPrompt, queuedOutput int
	runningOutput              int
}

// running is an attempt that has started.
type running struct {
	Attempt
	prefilled bool
	// priority that the engine was given.
	priority int
	// left is the expected output tokens not yet generated.
	left int
}

// NewGate returns a gate at which nothing waits or runs.
func NewGate(opts GateOptions) *Gate {
	return &Gate{
		opts:    opts,
		queue:   NewQueue(opts.QueueLimit),
		running: make(map[string]*running),
	}
}

// Submit takes an attempt in, or refuses it at once if it cannot finish in
// time behind what goes before it or if the queue is full.
func (g *Gate) Submit(now time.Duration, item Attempt, seed uint64) Decision {
	item = g.withTimes(item)
	request := Request{
		Remaining:       item.Deadline - now,
		PredictedFinish: g.wait(item) + item.MinServiceTime,
		Priority:        item.Priority,
		Seed:            seed,
	}
	out := Decide(now, request, &g.refusals, g.opts.Admission)
	if !out.Admitted {
		return out
	}
	if !g.queue.Push(item) {
		return RefuseQueueFull(now, seed, &g.refusals, g.opts.Admission)
	}
	g.queuedPrompt += item.PromptTokens
	g.queuedOutput += item.OutputTokens
	return out
}

// withTimes returns the item with the times that an engine needs for it.
func (g *Gate) withTimes(item Attempt) Attempt {
	if g.opts.PrefillRate <= 0 {
		return item
	}
	prefill := g.prefillTime(item.PromptTokens)
	item.MinServiceTime = prefill + time.Duration(item.OutputTokens)*g.opts.MinDecodeStep
	item.TypicalServiceTime = prefill + time.Duration(item.OutputTokens)*g.opts.FullBatchStep
	return item
}

func (g *Gate) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / g.opts.PrefillRate * float64(time.Second))
}

// wait returns the time that the prompts ahead of an attempt need.
func (g *Gate) wait(item Attempt) time.Duration {
	if g.opts.PrefillRate <= 0 {
		return 0
	}
	tokens := 0
	for _, e := range g.queue.order {
		if e.Priority > item.Priority || e.Priority == item.Priority && e.due() <= item.due() {
			tokens += e.PromptTokens
		}
	}
	for _, r := range g.running {
		if !r.prefilled && r.Deadline <= item.Deadline {
			tokens += r.PromptTokens
		}
	}
	return g.prefillTime(tokens)
}

// StartNext returns the attempt that is to start now, if there is room.
func (g *Gate) StartNext(now time.Duration) (Attempt, bool) {
	item, waits := g.queue.Peek()
	if !waits || len(g.running) >= g.opts.MaxSequences {
		return Attempt{}, false
	}
	if !g.withinWindow(now, item) {
		return Attempt{}, false
	}
	g.queue.Pop()
	g.unqueue(item)
	g.refusals.RecordAdmitted(now)
	g.running[item.ID] = &running{
		Attempt:  item,
		priority: EnginePriority(item.Priority, item.Deadline-now),
		left:     item.OutputTokens,
	}
	g.prefilling += item.PromptTokens
	g.runningOutput += item.OutputTokens
	return item, true
}

// withinWindow reports whether the engine may be handed the attempt's prompt.
// Prompts that the engine puts behind it do not hold it back.
func (g *Gate) withinWindow(now time.Duration, item Attempt) bool {
	if g.opts.PromptWindow <= 0 {
		return true
	}
	priority := EnginePriority(item.Priority, item.Deadline-now)
	ahead := 0
	for _, r := range g.running {
		if !r.prefilled && r.priority >= priority {
			ahead += r.PromptTokens
		}
	}
	return ahead < g.opts.PromptWindow
}

func (g *Gate) unqueue(item Attempt) {
	g.queuedPrompt -= item.PromptTokens
	g.queuedOutput -= item.OutputTokens
}

// RecordPrefilled takes in that an attempt's prompt has been prefilled.
func (g *Gate) RecordPrefilled(id string) {
	if r := g.running[id]; r != nil && !r.prefilled {
		r.prefilled = true
		g.prefilling -= r.PromptTokens
	}
}

// RecordTokens takes in that a started attempt has generated further tokens.
func (g *Gate) RecordTokens(id string, tokens int) {
	if r := g.running[id]; r != nil {
		done := min(tokens, r.left)
		r.left -= done
		g.runningOutput -= done
	}
}

// RecordEnd takes in the end of a started attempt.
func (g *Gate) RecordEnd(id string) {
	r := g.running[id]
	if r == nil {
		return
	}
	g.RecordPrefilled(id)
	g.runningOutput -= r.left
	delete(g.running, id)
}

// Withdraw takes out an attempt that waits; it reports whether it did. An
// attempt that it took out has not run.
func (g *Gate) Withdraw(id string) bool {
	e := g.queue.byID[id]
	if e == nil {
		return false
	}
	g.unqueue(e.Attempt)
	return g.queue.Remove(id)
}

// WithdrawAll takes out all that waits, for example before a role change.
func (g *Gate) WithdrawAll() []Attempt {
	var items []Attempt
	for {
		item, ok := g.queue.Pop()
		if !ok {
			return items
		}
		g.unqueue(item)
		items = append(items, item)
	}
}

// Expire takes out the attempts that can no longer finish in time.
func (g *Gate) Expire(now time.Duration) []Attempt {
	items := g.queue.Expire(now)
	for _, item := range items {
		g.unqueue(item)
	}
	return items
}

// NextExpiry returns the time after which Expire has something to return, or
// false if nothing waits.
func (g *Gate) NextExpiry() (time.Duration, bool) { return g.queue.NextExpiry() }

// GateLoad is what waits and runs at a gate.
type GateLoad struct {
	// PromptTokens accepted and not yet prefilled.
	PromptTokens int
	// PromptTokensByUrgency has the same prompt tokens by Urgency.
	PromptTokensByUrgency [UrgencyLevels]int
	// OutputTokens still expected of what waits and runs.
	OutputTokens int
	Running      int
	Waiting      int
}

// Load returns what waits and runs.
func (g *Gate) Load(now time.Duration) GateLoad {
	return GateLoad{
		PromptTokensByUrgency: g.byUrgency(now),
		PromptTokens:          g.queuedPrompt + g.prefilling,
		OutputTokens:          g.queuedOutput + g.runningOutput,
		Running:               len(g.running),
		Waiting:               g.queue.Len(),
	}
}

func (g *Gate) byUrgency(now time.Duration) [UrgencyLevels]int {
	var tokens [UrgencyLevels]int
	for _, e := range g.queue.order {
		tokens[Urgency(e.Deadline-now)] += e.PromptTokens
	}
	for _, r := range g.running {
		if !r.prefilled {
			tokens[Urgency(r.Deadline-now)] += r.PromptTokens
		}
	}
	return tokens
}
