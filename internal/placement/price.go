package placement

import (
	"time"
)

// queueTurns returns how many services a request waits for at a server with
// this load.
func queueTurns(s *server, load float64) float64 {
	slots := float64(max(1, s.Slots))
	if load < slots {
		// Requests in other slots make a wait likelier that is not seen yet.
		return load / slots / 4
	}
	return (load - slots + 1) / slots
}

// disturbance prices a prefill at a decode engine by the streams that it holds
// up. Callers notice the pauses that a long one makes.
func (t *Table) disturbance(prefill, streams float64) float64 {
	noticed := t.opts.LongInterferenceFactor * max(0, prefill-noticedPrefill)
	return t.opts.InterferenceWeight * (prefill + noticed) * streams
}

// noticedPrefill is the time from which a prefill makes pauses that callers
// notice, in seconds.
const noticedPrefill = 0.05

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// distance prices a server in another failure domain than the request's.
func (t *Table) distance(from string, s *server, bodyBytes int) float64 {
	if s.FailureDomain == from {
		return 0
	}
	return t.opts.CrossDomainPenalty + t.opts.CrossDomainPenaltyPerByte*float64(bodyBytes)
}

// reread prices the shared tokens that are prefilled although others have
// them.
func (t *Table) reread(q *query, held int) float64 {
	return t.opts.RecomputePenaltyPerToken * float64(max(0, q.shared-held))
}

// slotWait returns the seconds that a request waits for a slot at an engine.
func (t *Table) slotWait(s *server, now time.Duration) float64 {
	slots := float64(max(1, t.engine.Slots))
	load := s.load(now) + 1
	fill := min(1, load/slots)
	// A fuller batch makes each step slower.
	wait := fullBatchStep * fill * s.slow(now)
	if load > slots {
		wait += (load - slots) / slots * typicalRun
	}
	return wait
}

// fullBatchStep is how much longer a first step takes in a full batch, in
// seconds.
const fullBatchStep = 0.02

// typicalRun is the time that a request holds a slot, in seconds.
const typicalRun = 0.3

// moveSeconds returns the time of a transfer of KV cache.
func (t *Table) moveSeconds(tokens int) float64 {
	if tokens == 0 || t.engine.LinkMbps <= 0 {
		return 0
	}
	const bitsPerMegabit = 1e6
	bits := float64(tokens) * float64(t.engine.KVBytesPerToken) * 8
	return bits/(t.engine.LinkMbps*bitsPerMegabit) + moveSetup
}

// moveSetup is the time before a transfer begins, in seconds.
const moveSetup = 0.003
