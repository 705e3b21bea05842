package placement

import (
	"time"
)

// expectedServiceWaits returns the expected number of service times that a new
// request waits at a server with the given number of requests.
func queueTurns(s *server, load float64) float64 {
	slots := float64(max(1, s.Slots))
	if load < slots {
		// No slot shortage is known yet, but the fuller the server, the more
		// likely there is one by the time the request arrives.
		return load / slots / 4
	}
	return (load - slots + 1) / slots
}

// interferenceCost returns the cost, in seconds, of a prefill on a decode
// engine with the given number of streams, all of which it delays. Long
// prefills cost more because they cause noticeable pauses.
func (t *Table) disturbance(prefill, streams float64) float64 {
	noticed := t.opts.LongDisturbance * max(0, prefill-noticedPrefill)
	return t.opts.Disturbance * (prefill + noticed) * streams
}

// noticeablePrefillSeconds is the duration from which a prefill causes
// noticeable pauses in the streams of a decode engine.
const noticedPrefill = 0.05

// seconds converts seconds to a time.Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// domainCost returns the cost, in seconds, of a server outside the request's
// failure domain.
func (t *Table) distance(from string, s *server, bodyBytes int) float64 {
	if s.FailureDomain == from {
		return 0
	}
	return t.opts.CrossDomain + t.opts.CrossDomainByte*float64(bodyBytes)
}

// recomputeCost returns the cost, in seconds, of prefilling shared tokens that
// are cached elsewhere.
func (t *Table) reread(q *query, held int) float64 {
	return t.opts.RereadToken * float64(max(0, q.shared-held))
}

// slotWaitSeconds returns the expected time that a request waits for a slot of
// an engine.
func (t *Table) slotWait(s *server, now time.Duration) float64 {
	slots := float64(max(1, t.engine.Slots))
	load := s.load(now) + 1
	fill := min(1, load/slots)
	// Steps take longer in a fuller batch.
	wait := fullBatchStep * fill * s.slow(now)
	if load > slots {
		wait += (load - slots) / slots * typicalRun
	}
	return wait
}

// fullBatchDelaySeconds is how much longer the first step takes in a full
// batch.
const fullBatchStep = 0.02

// typicalSlotSeconds is the time that a request typically occupies a slot.
const typicalRun = 0.3

// transferSeconds returns the duration of a transfer of KV cache.
func (t *Table) moveSeconds(tokens int) float64 {
	if tokens == 0 || t.engine.LinkMbps <= 0 {
		return 0
	}
	const bitsPerMegabit = 1e6
	bits := float64(tokens) * float64(t.engine.BytesPerToken) * 8
	return bits/(t.engine.LinkMbps*bitsPerMegabit) + moveSetup
}

// transferSetupSeconds is the time before a KV transfer starts.
const moveSetup = 0.003
