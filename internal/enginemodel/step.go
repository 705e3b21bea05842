package enginemodel

import (
	"math"
	"time"
)

// sequenceState is how far a sequence has come.
type sequenceState int

const (
	queued sequenceState = iota
	importing
	prefilling
	decoding
)

// sequence is a Sequence in the engine.
type sequence struct {
	Sequence
	state       sequenceState
	arrival     uint64
	kvTokens    int
	prefillLeft int           // tokens still to prefill
	chunk       int           // tokens prefilled in each step of the run
	produced    int           // output tokens, those resumed from included
	cached      int           // prompt tokens found in the prefix cache
	readyAt     time.Duration // when the import is complete
}

func newSequence(s Sequence, arrival uint64, blockTokens int) *sequence {
	seq := &sequence{
		Sequence: s,
		arrival:  arrival,
		kvTokens: kvNeed(s, blockTokens),
		produced: s.ResumeFrom,
	}
	if !s.Imported {
		seq.prefillLeft = s.PromptTokens + s.ResumeFrom
	}
	return seq
}

// before orders sequences by priority, then arrival.
func (s *sequence) before(other *sequence) bool {
	if s.Priority != other.Priority {
		return s.Priority > other.Priority
	}
	return s.arrival < other.arrival
}

// kvNeed returns the KV memory that a sequence reserves, in tokens.
func kvNeed(s Sequence, blockTokens int) int {
	tokens := s.PromptTokens + s.OutputTokens
	if s.PrefillOnly {
		tokens = s.PromptTokens
	}
	blocks := (tokens + blockTokens - 1) / blockTokens
	return blocks * blockTokens
}

// run is a number of equal steps that follow each other.
type run struct {
	at   time.Duration // start of the first step that is left
	step time.Duration
	left int
}

// NextEvent returns the next time at which the engine changes by itself, or
// false if nothing will happen without a call.
func (m *Model) NextEvent() (time.Duration, bool) {
	switch {
	case len(m.events) > 0:
		return m.now, true
	case m.phase == phaseChanging || m.phase == phaseStarting:
		return m.phaseEnds, true
	case m.run.left > 0 && m.settings.SingleStep:
		return m.run.at + m.run.step, true
	case m.run.left > 0:
		return m.run.at + time.Duration(m.run.left)*m.run.step, true
	}
	return m.wake()
}

// Advance moves the engine to now and returns the events up to then, in
// order of time. The slice is valid until the second following call.
func (m *Model) Advance(now time.Duration) []Event {
	m.advance(now)
	out := m.events
	m.events, m.spare = m.spare[:0], out
	return out
}

func (m *Model) advance(now time.Duration) {
	m.now = max(m.now, now)
	m.finishPhase(now)
	for m.phase == phaseUp {
		if m.run.left == 0 && !m.startRun(now) {
			break
		}
		steps := min(m.run.left, int((now-m.run.at)/m.run.step))
		if steps <= 0 {
			break
		}
		m.finishSteps(steps)
	}
}

// finishPhase completes an order or a restart that is due.
func (m *Model) finishPhase(now time.Duration) {
	if m.phase != phaseChanging && m.phase != phaseStarting {
		return
	}
	if m.phaseEnds > now {
		return
	}
	m.phase = phaseUp
	m.serving = m.ordered
	m.free = m.phaseEnds
	m.emit(Event{At: m.phaseEnds, Kind: EventReady})
}

// disturb ends a run after its current step, because what it was planned for
// has changed, and starts an idle engine.
func (m *Model) disturb(now time.Duration) {
	m.run.left = min(m.run.left, 1)
	if m.run.left == 0 {
		m.startRun(now)
	}
	m.reports.add(now, m.load())
}

// startRun plans the next steps. It starts at the first moment up to now at
// which there is work, and reports whether there is any.
func (m *Model) startRun(now time.Duration) bool {
	for {
		m.expireExports()
		m.admit()
		if m.plan() {
			return true
		}
		wake, ok := m.wake()
		if !ok || wake > now {
			m.free = max(m.free, now)
			return false
		}
		m.free = wake
	}
}

// wake returns when an idle engine gets work by itself: an import is complete
// or held memory becomes free.
func (m *Model) wake() (time.Duration, bool) {
	wake := time.Duration(math.MaxInt64)
	for _, seq := range m.running {
		if seq.state == importing {
			wake = min(wake, seq.readyAt)
		}
	}
	if len(m.waiting) > 0 && len(m.exports) > 0 {
		wake = min(wake, m.exports[0].expires)
	}
	return wake, wake != math.MaxInt64
}

func (m *Model) expireExports() {
	for len(m.exports) > 0 && m.exports[0].expires <= m.free {
		m.kvUsed -= m.exports[0].tokens
		m.exports = m.exports[1:]
	}
}

// admit moves waiting sequences into the batch while memory lasts. A
// sequence that does not fit holds back those behind it.
func (m *Model) admit() {
	taken := 0
	for taken < len(m.waiting) && len(m.running) < m.settings.MaxBatch {
		seq := m.waiting[taken]
		if m.kvUsed+seq.kvTokens > m.settings.KVTokens {
			break
		}
		taken++
		m.kvUsed += seq.kvTokens
		m.begin(seq)
		m.running = insertSorted(m.running, seq)
	}
	m.waiting = m.waiting[taken:]
}

// begin sets out a sequence that enters the batch.
func (m *Model) begin(seq *sequence) {
	if seq.Imported {
		tokens := seq.PromptTokens + seq.ResumeFrom
		seq.state = importing
		seq.readyAt = m.free + time.Duration(tokens)*m.settings.ImportTimePerToken
		return
	}
	seq.state = prefilling
	hit := m.cache.lookup(seq.PrefixHashes) * m.settings.BlockTokens
	seq.cached = min(hit, seq.PromptTokens-1)
	seq.prefillLeft -= seq.cached
	m.queuedPrompt -= int64(seq.cached)
}

// plan shares the step budget: one token for each decoding sequence, the rest
// for prefill in order. It reports whether there is anything to do.
func (m *Model) plan() bool {
	decoders := 0
	same := math.MaxInt // steps until the plan changes
	importReady := time.Duration(math.MaxInt64)
	for _, seq := range m.running {
		if seq.state == importing && seq.readyAt <= m.free {
			seq.state = decoding
		}
		switch seq.state {
		case importing:
			importReady = min(importReady, seq.readyAt)
		case decoding:
			decoders++
			same = min(same, seq.OutputTokens-seq.produced)
		}
	}
	prefill, repeat := m.shareBudget(m.settings.StepTokenBudget - decoders)
	if decoders+prefill == 0 {
		return false
	}
	step := m.stepTime(prefill, decoders)
	same = min(same, repeat)
	if importReady != math.MaxInt64 {
		same = min(same, int((importReady-m.free+step-1)/step))
	}
	m.run = run{at: m.free, step: step, left: max(same, 1)}
	return true
}

// shareBudget gives prefilling sequences their chunks, and returns the tokens
// of a step and for how many steps the chunks stay the same.
func (m *Model) shareBudget(budget int) (tokens, repeat int) {
	repeat = math.MaxInt
	for _, seq := range m.running {
		if seq.state != prefilling {
			continue
		}
		seq.chunk = min(seq.prefillLeft, budget-tokens)
		if seq.chunk > 0 {
			tokens += seq.chunk
			repeat = min(repeat, seq.prefillLeft/seq.chunk)
		}
	}
	return tokens, repeat
}

// stepTime returns how long a step takes.
func (m *Model) stepTime(prefill, decoders int) time.Duration {
	seconds := float64(prefill) / m.settings.PrefillRate
	step := time.Duration(seconds * float64(time.Second))
	if decoders > 0 {
		further := time.Duration(decoders - 1)
		step += m.settings.DecodeStep + further*m.settings.DecodeStepPerSequence
	}
	return max(time.Duration(float64(step)*m.slowdown), time.Nanosecond)
}

// finishSteps takes the result of a number of steps of the run.
func (m *Model) finishSteps(steps int) {
	end := m.run.at + time.Duration(steps)*m.run.step
	ended := false
	for _, seq := range m.running {
		switch seq.state {
		case prefilling:
			ended = m.finishPrefill(seq, steps, end) || ended
		case decoding:
			ended = m.finishDecode(seq, steps, end) || ended
		}
	}
	if ended {
		m.removeEnded()
	}
	m.run.at = end
	m.run.left -= steps
	m.free = end
	m.reports.add(end, m.load())
}

// finishPrefill takes prefill progress; the step that ends it also gives the
// first token. It reports whether the sequence ended.
func (m *Model) finishPrefill(seq *sequence, steps int, end time.Duration) bool {
	tokens := steps * seq.chunk
	seq.prefillLeft -= tokens
	m.queuedPrompt -= int64(tokens)
	if seq.prefillLeft > 0 {
		return false
	}
	m.cache.insert(end, seq.PrefixHashes)
	m.emit(Event{At: end, Kind: EventPrefilled, ID: seq.ID, CachedTokens: seq.cached})
	seq.state = decoding
	if seq.PrefillOnly {
		m.end(seq, end, FinishedPrefill)
		return true
	}
	return m.finishDecode(seq, 1, end)
}

func (m *Model) finishDecode(seq *sequence, steps int, end time.Duration) bool {
	m.emit(Event{At: end, Kind: EventTokens, ID: seq.ID, TokenIndex: seq.produced, Tokens: steps, TokenInterval: m.run.step})
	seq.produced += steps
	if seq.produced < seq.OutputTokens {
		return false
	}
	m.end(seq, end, FinishedLength)
	return true
}

// end finishes a sequence, which stays in the batch until removeEnded.
func (m *Model) end(seq *sequence, at time.Duration, reason FinishReason) {
	m.kvUsed -= seq.kvTokens
	delete(m.byID, seq.ID)
	if reason == FinishedPrefill {
		m.hold(at, seq)
	}
	m.emit(Event{At: at, Kind: EventDone, ID: seq.ID, TokenIndex: seq.produced, Reason: reason})
}

// removeEnded takes ended sequences out of the batch, keeping its order.
func (m *Model) removeEnded() {
	kept := m.running[:0]
	for _, seq := range m.running {
		if m.byID[seq.ID] == seq {
			kept = append(kept, seq)
		}
	}
	clear(m.running[len(kept):])
	m.running = kept
}
