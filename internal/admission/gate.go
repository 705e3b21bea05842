package admission

import "time"

// GateOptions describe the backend server behind a gate.
type GateOptions struct {
	// MaxSequences is the largest number of attempts that run at once.
	MaxSequences int
	// PromptWindow limits the prompt tokens that are sent to an engine and not
	// prefilled yet. Once the limit is reached, further attempts wait at the
	// gate, where they can still be reordered and withdrawn. Zero means no limit.
	PromptWindow int
	// QueueLimit is the largest number of waiting attempts.
	QueueLimit int
	// PrefillRate is in prompt tokens per second. It is zero for plain
	// services.
	PrefillRate float64
	// MinDecodeStep is the shortest time between two output tokens of a
	// sequence, FullBatchStep the time in a full batch.
	MinDecodeStep, FullBatchStep time.Duration
	// Admission configures the comparison of predictions with deadlines.
	Admission Options
}

const (
	// defaultPromptWindow is enough to keep an engine prefilling without
	// pauses.
	defaultPromptWindow = 8192
	defaultQueueLimit   = 4096
	// spareSequences is the number of sequences sent to an engine beyond its
	// batch, so that it can refill the batch at once.
	spareSequences = 4
	// minStepShare is the duration of a decode step with one sequence, as a
	// share of that with a full batch.
	minStepShare = 0.4
)

// DefaultGateOptions returns the default options for an engine. Rates are in
// tokens per second, the decode rate with a full batch.
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

// Gate decides which attempts start at one backend server, and when. The agent
// must call:
//
//   - Submit for each received attempt, which has not been executed if it is
//     refused;
//   - StartNext after Submit and every other call, until it returns false, and
//     start each returned attempt at the backend server with EnginePriority;
//   - RecordPrefilled when the prompt of an attempt has been prefilled,
//     RecordTokens as output is generated, and RecordEnd when the attempt has
//     ended, regardless of its outcome;
//   - Withdraw for an attempt that was withdrawn and must not start;
//   - Expire at NextExpiry, and refuse each returned attempt at once, which has
//     not been executed.
//
// A Gate is not safe for concurrent use.
type Gate struct {
	opts       GateOptions
	queue      *Queue
	retryAfter RetryAfterEstimator
	running    map[string]*runningAttempt
	// prefilling is the number of prompt tokens started and not prefilled yet.
	prefilling int
	// queuedPrompt and queuedOutput are the prompt and output tokens of waiting
	// attempts.
	queuedPrompt, queuedOutput int
	runningOutput              int
}

// runningAttempt is an attempt that has started.
type runningAttempt struct {
	Attempt
	prefilled bool
	// priority is the priority given to the engine.
	priority int
	// outputLeft is the number of expected output tokens not generated yet.
	outputLeft int
}

// NewGate returns a gate without attempts.
func NewGate(opts GateOptions) *Gate {
	return &Gate{
		opts:    opts,
		queue:   NewQueue(opts.QueueLimit),
		running: make(map[string]*runningAttempt),
	}
}

// Submit queues an attempt. It refuses the attempt if it is predicted to miss
// its deadline because of the work ahead of it, or if the queue is full.
func (g *Gate) Submit(now time.Duration, a Attempt, seed uint64) Decision {
	a = g.withServiceTimes(a)
	request := Request{
		Remaining:       a.Deadline - now,
		PredictedFinish: g.prefillWait(a) + a.MinServiceTime,
		Priority:        a.Priority,
		Seed:            seed,
	}
	decision := Decide(now, request, &g.retryAfter, g.opts.Admission)
	if !decision.Admitted {
		return decision
	}
	if !g.queue.Push(a) {
		return RefuseQueueFull(now, seed, &g.retryAfter, g.opts.Admission)
	}
	g.queuedPrompt += a.PromptTokens
	g.queuedOutput += a.OutputTokens
	return decision
}

// withServiceTimes returns the attempt with its service times at the engine
// filled in.
func (g *Gate) withServiceTimes(a Attempt) Attempt {
	if g.opts.PrefillRate <= 0 {
		return a
	}
	prefill := g.prefillTime(a.PromptTokens)
	a.MinServiceTime = prefill + time.Duration(a.OutputTokens)*g.opts.MinDecodeStep
	a.TypicalServiceTime = prefill + time.Duration(a.OutputTokens)*g.opts.FullBatchStep
	return a
}

func (g *Gate) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / g.opts.PrefillRate * float64(time.Second))
}

// prefillWait returns the time to prefill the prompts ahead of an attempt.
func (g *Gate) prefillWait(a Attempt) time.Duration {
	if g.opts.PrefillRate <= 0 {
		return 0
	}
	tokens := 0
	for _, e := range g.queue.byStart {
		if e.Priority > a.Priority || e.Priority == a.Priority && e.dueAt() <= a.dueAt() {
			tokens += e.PromptTokens
		}
	}
	for _, r := range g.running {
		if !r.prefilled && r.Deadline <= a.Deadline {
			tokens += r.PromptTokens
		}
	}
	return g.prefillTime(tokens)
}

// StartNext returns the next attempt to start, or false if none is waiting or
// the backend server has no room.
func (g *Gate) StartNext(now time.Duration) (Attempt, bool) {
	a, waiting := g.queue.Peek()
	if !waiting || len(g.running) >= g.opts.MaxSequences {
		return Attempt{}, false
	}
	if !g.withinWindow(now, a) {
		return Attempt{}, false
	}
	g.queue.Pop()
	g.unqueue(a)
	g.retryAfter.RecordAdmitted(now)
	g.running[a.ID] = &runningAttempt{
		Attempt:    a,
		priority:   EnginePriority(a.Priority, a.Deadline-now),
		outputLeft: a.OutputTokens,
	}
	g.prefilling += a.PromptTokens
	g.runningOutput += a.OutputTokens
	return a, true
}

// withinWindow reports whether the attempt's prompt may be sent to the engine.
// Prompts with a lower engine priority do not count towards the window.
func (g *Gate) withinWindow(now time.Duration, a Attempt) bool {
	if g.opts.PromptWindow <= 0 {
		return true
	}
	priority := EnginePriority(a.Priority, a.Deadline-now)
	ahead := 0
	for _, r := range g.running {
		if !r.prefilled && r.priority >= priority {
			ahead += r.PromptTokens
		}
	}
	return ahead < g.opts.PromptWindow
}

// unqueue subtracts the tokens of an attempt that left the queue.
func (g *Gate) unqueue(a Attempt) {
	g.queuedPrompt -= a.PromptTokens
	g.queuedOutput -= a.OutputTokens
}

// RecordPrefilled records that the prompt of a started attempt has been
// prefilled.
func (g *Gate) RecordPrefilled(id string) {
	if r := g.running[id]; r != nil && !r.prefilled {
		r.prefilled = true
		g.prefilling -= r.PromptTokens
	}
}

// RecordTokens records further output tokens of a started attempt.
func (g *Gate) RecordTokens(id string, tokens int) {
	if r := g.running[id]; r != nil {
		done := min(tokens, r.outputLeft)
		r.outputLeft -= done
		g.runningOutput -= done
	}
}

// RecordEnd records the end of a started attempt, regardless of its
// outcome.
func (g *Gate) RecordEnd(id string) {
	r := g.running[id]
	if r == nil {
		return
	}
	g.RecordPrefilled(id)
	g.runningOutput -= r.outputLeft
	delete(g.running, id)
}

// Withdraw removes a waiting attempt, which has then not been executed. It
// reports whether the attempt was waiting.
func (g *Gate) Withdraw(id string) bool {
	e := g.queue.byID[id]
	if e == nil {
		return false
	}
	g.unqueue(e.Attempt)
	return g.queue.Remove(id)
}

// WithdrawAll removes and returns all waiting attempts, for example before a
// role change.
func (g *Gate) WithdrawAll() []Attempt {
	var attempts []Attempt
	for {
		a, ok := g.queue.Pop()
		if !ok {
			return attempts
		}
		g.unqueue(a)
		attempts = append(attempts, a)
	}
}

// Expire removes and returns the waiting attempts that can no longer meet their
// deadline.
func (g *Gate) Expire(now time.Duration) []Attempt {
	attempts := g.queue.Expire(now)
	for _, a := range attempts {
		g.unqueue(a)
	}
	return attempts
}

// NextExpiry returns the time after which Expire returns an attempt, or false
// if none is waiting.
func (g *Gate) NextExpiry() (time.Duration, bool) { return g.queue.NextExpiry() }

// GateLoad is the load of waiting and running attempts at a gate.
type GateLoad struct {
	// PromptTokens is the number of prompt tokens accepted and not prefilled
	// yet.
	PromptTokens int
	// PromptTokensByUrgency splits PromptTokens by urgency level.
	PromptTokensByUrgency [UrgencyLevels]int
	// OutputTokens is the number of output tokens expected and not generated
	// yet.
	OutputTokens int
	Running      int
	Waiting      int
}

// Load returns the load at now.
func (g *Gate) Load(now time.Duration) GateLoad {
	return GateLoad{
		PromptTokensByUrgency: g.promptTokensByUrgency(now),
		PromptTokens:          g.queuedPrompt + g.prefilling,
		OutputTokens:          g.queuedOutput + g.runningOutput,
		Running:               len(g.running),
		Waiting:               g.queue.Len(),
	}
}

// promptTokensByUrgency returns the prompt tokens not prefilled yet, by urgency
// level.
func (g *Gate) promptTokensByUrgency(now time.Duration) [UrgencyLevels]int {
	var tokens [UrgencyLevels]int
	for _, e := range g.queue.byStart {
		tokens[UrgencyLevel(e.Deadline-now)] += e.PromptTokens
	}
	for _, r := range g.running {
		if !r.prefilled {
			tokens[UrgencyLevel(r.Deadline-now)] += r.PromptTokens
		}
	}
	return tokens
}
