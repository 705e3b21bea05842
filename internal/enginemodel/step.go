package enginemodel

import (
	"math"
	"time"
)

// sequenceState is the stage that a sequence has reached.
type sequenceState int

const (
	queued sequenceState = iota
	importing
	prefilling
	decoding
)

// sequence is a submitted Sequence with its progress.
type sequence struct {
	Sequence
	state       sequenceState
	arrival     uint64        // order of submission
	kvTokens    int           // reserved KV cache memory
	prefillLeft int           // tokens still to prefill
	chunk       int           // tokens prefilled in each of the planned steps
	produced    int           // output tokens so far, including ResumeFrom
	cached      int           // prompt tokens found in the prefix cache
	readyAt     time.Duration // end of the KV cache import
}

// newSequence returns a queued sequence. An imported one needs no prefill; a
// resumed one without an imported KV cache also prefills its existing output.
func newSequence(s Sequence, arrival uint64, blockTokens int) *sequence {
	seq := &sequence{
		Sequence: s,
		arrival:  arrival,
		kvTokens: kvReservation(s, blockTokens),
		produced: s.ResumeFrom,
	}
	if !s.Imported {
		seq.prefillLeft = s.PromptTokens + s.ResumeFrom
	}
	return seq
}

// before reports whether s is served before other: by priority, then by
// arrival.
func (s *sequence) before(other *sequence) bool {
	if s.Priority != other.Priority {
		return s.Priority > other.Priority
	}
	return s.arrival < other.arrival
}

// kvReservation returns the KV cache memory that a sequence reserves, in
// tokens. It is rounded up to whole blocks.
func kvReservation(s Sequence, blockTokens int) int {
	tokens := s.PromptTokens + s.OutputTokens
	if s.PrefillOnly {
		tokens = s.PromptTokens
	}
	blocks := (tokens + blockTokens - 1) / blockTokens
	return blocks * blockTokens
}

// stepRun is a series of identical consecutive steps.
type stepRun struct {
	start     time.Duration // start of the next step
	duration  time.Duration
	remaining int
}

// NextEvent returns the time of the next event that occurs without a call to
// the engine. It returns false if there is none.
func (m *Model) NextEvent() (time.Duration, bool) {
	switch {
	case len(m.events) > 0:
		return m.now, true
	case m.phase == phaseChanging || m.phase == phaseStarting:
		return m.phaseEndsAt, true
	case m.steps.remaining > 0 && m.settings.SingleStep:
		return m.steps.start + m.steps.duration, true
	case m.steps.remaining > 0:
		return m.steps.start + time.Duration(m.steps.remaining)*m.steps.duration, true
	}
	return m.nextWakeup()
}

// Advance simulates the engine up to now and returns the events since the last
// call, in order of time. The slice is reused: it is valid until the second
// call to Advance after this one.
func (m *Model) Advance(now time.Duration) []Event {
	m.advance(now)
	out := m.events
	m.events, m.spareEvents = m.spareEvents[:0], out
	return out
}

// advance simulates the engine up to now. A step that is still running at now
// is not completed.
func (m *Model) advance(now time.Duration) {
	m.now = max(m.now, now)
	m.finishPhase(now)
	for m.phase == phaseUp {
		if m.steps.remaining == 0 && !m.startSteps(now) {
			break
		}
		steps := min(m.steps.remaining, int((now-m.steps.start)/m.steps.duration))
		if steps <= 0 {
			break
		}
		m.finishSteps(steps)
	}
}

// finishPhase completes an order or a restart that is due at now.
func (m *Model) finishPhase(now time.Duration) {
	if m.phase != phaseChanging && m.phase != phaseStarting {
		return
	}
	if m.phaseEndsAt > now {
		return
	}
	m.phase = phaseUp
	m.current = m.ordered
	m.nextStepAt = m.phaseEndsAt
	m.emit(Event{At: m.phaseEndsAt, Kind: EventReady})
}

// replan truncates the planned steps after the current one, because the
// conditions that they were planned for have changed. If the engine is idle, it
// plans new steps at once.
func (m *Model) replan(now time.Duration) {
	m.steps.remaining = min(m.steps.remaining, 1)
	if m.steps.remaining == 0 {
		m.startSteps(now)
	}
	m.loadHistory.record(now, m.load())
}

// startSteps plans the next steps. They start at the earliest time up to now at
// which there is work. It reports whether there is any work.
func (m *Model) startSteps(now time.Duration) bool {
	for {
		m.expireExports()
		m.admit()
		if m.planSteps() {
			return true
		}
		wakeup, ok := m.nextWakeup()
		if !ok || wakeup > now {
			m.nextStepAt = max(m.nextStepAt, now)
			return false
		}
		m.nextStepAt = wakeup
	}
}

// nextWakeup returns when an idle engine gets work without a call: when an
// import completes, or when the memory of an expired export becomes free for
// waiting sequences.
func (m *Model) nextWakeup() (time.Duration, bool) {
	wakeup := time.Duration(math.MaxInt64)
	for _, seq := range m.running {
		if seq.state == importing {
			wakeup = min(wakeup, seq.readyAt)
		}
	}
	if len(m.waiting) > 0 && len(m.exports) > 0 {
		wakeup = min(wakeup, m.exports[0].expiresAt)
	}
	return wakeup, wakeup != math.MaxInt64
}

func (m *Model) expireExports() {
	for len(m.exports) > 0 && m.exports[0].expiresAt <= m.nextStepAt {
		m.kvUsed -= m.exports[0].tokens
		m.exports = m.exports[1:]
	}
}

// admit moves waiting sequences into the batch while there is memory for them.
// Sequences are admitted strictly in order: one that does not fit blocks those
// behind it.
func (m *Model) admit() {
	admitted := 0
	for admitted < len(m.waiting) && len(m.running) < m.settings.MaxBatch {
		seq := m.waiting[admitted]
		if m.kvUsed+seq.kvTokens > m.settings.KVTokens {
			break
		}
		admitted++
		m.kvUsed += seq.kvTokens
		m.startSequence(seq)
		m.running = insertSorted(m.running, seq)
	}
	m.waiting = m.waiting[admitted:]
}

// startSequence sets the initial state of a sequence that enters the batch.
func (m *Model) startSequence(seq *sequence) {
	if seq.Imported {
		tokens := seq.PromptTokens + seq.ResumeFrom
		seq.state = importing
		seq.readyAt = m.nextStepAt + time.Duration(tokens)*m.settings.ImportTimePerToken
		return
	}
	seq.state = prefilling
	hit := m.cache.lookup(seq.PrefixHashes) * m.settings.BlockTokens
	seq.cached = min(hit, seq.PromptTokens-1)
	seq.prefillLeft -= seq.cached
	m.queuedPrompt -= int64(seq.cached)
}

// planSteps divides the token budget of a step: one token for each decoding
// sequence, and the rest for prefill in order of priority. It plans as many
// identical steps as possible and reports whether there is any work.
func (m *Model) planSteps() bool {
	decoders := 0
	uniformSteps := math.MaxInt // steps until the plan changes
	importReady := time.Duration(math.MaxInt64)
	for _, seq := range m.running {
		if seq.state == importing && seq.readyAt <= m.nextStepAt {
			seq.state = decoding
		}
		switch seq.state {
		case importing:
			importReady = min(importReady, seq.readyAt)
		case decoding:
			decoders++
			uniformSteps = min(uniformSteps, seq.OutputTokens-seq.produced)
		}
	}
	prefill, repeat := m.shareBudget(m.settings.StepTokenBudget - decoders)
	if decoders+prefill == 0 {
		return false
	}
	step := m.stepDuration(prefill, decoders)
	uniformSteps = min(uniformSteps, repeat)
	if importReady != math.MaxInt64 {
		uniformSteps = min(uniformSteps, int((importReady-m.nextStepAt+step-1)/step))
	}
	m.steps = stepRun{start: m.nextStepAt, duration: step, remaining: max(uniformSteps, 1)}
	return true
}

// shareBudget assigns prefill chunks to the prefilling sequences. It returns
// the number of tokens prefilled per step and the number of steps for which the
// chunks stay the same.
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

// stepDuration returns the duration of a step that prefills the given number of
// tokens and decodes the given number of sequences.
func (m *Model) stepDuration(prefill, decoders int) time.Duration {
	seconds := float64(prefill) / m.settings.PrefillRate
	step := time.Duration(seconds * float64(time.Second))
	if decoders > 0 {
		further := time.Duration(decoders - 1)
		step += m.settings.DecodeStep + further*m.settings.DecodeStepPerSequence
	}
	return max(time.Duration(float64(step)*m.slowdown), time.Nanosecond)
}

// finishSteps completes the given number of planned steps.
func (m *Model) finishSteps(steps int) {
	end := m.steps.start + time.Duration(steps)*m.steps.duration
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
	m.steps.start = end
	m.steps.remaining -= steps
	m.nextStepAt = end
	m.loadHistory.record(end, m.load())
}

// finishPrefill records the prefill progress of a sequence. The step that
// completes the prefill also generates the first output token. finishPrefill
// reports whether the sequence ended.
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
		m.endSequence(seq, end, FinishedPrefill)
		return true
	}
	return m.finishDecode(seq, 1, end)
}

// finishDecode records the output tokens of a sequence, one per step, and
// reports whether the sequence ended.
func (m *Model) finishDecode(seq *sequence, steps int, end time.Duration) bool {
	m.emit(Event{At: end, Kind: EventTokens, ID: seq.ID, TokenIndex: seq.produced, Tokens: steps, TokenInterval: m.steps.duration})
	seq.produced += steps
	if seq.produced < seq.OutputTokens {
		return false
	}
	m.endSequence(seq, end, FinishedLength)
	return true
}

// endSequence completes a sequence. It stays in the batch until removeEnded is
// called, so that callers can iterate over the batch.
func (m *Model) endSequence(seq *sequence, at time.Duration, reason FinishReason) {
	m.kvUsed -= seq.kvTokens
	delete(m.byID, seq.ID)
	if reason == FinishedPrefill {
		m.holdExport(at, seq)
	}
	m.emit(Event{At: at, Kind: EventDone, ID: seq.ID, TokenIndex: seq.produced, Reason: reason})
}

// removeEnded removes completed sequences from the batch and keeps the order of
// the others.
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
