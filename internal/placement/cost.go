package placement

import (
	"time"

	"github.com/marigoldwing/marigoldwing/internal/serverspeed"
)

// expectedServiceWaits returns the expected number of service times that a new
// request waits at a server with the given number of requests.
func expectedServiceWaits(s *server, requests float64) float64 {
	slots := float64(max(1, s.Slots))
	if requests < slots {
		// No slot shortage is known yet, but the fuller the server, the more
		// likely there is one by the time the request arrives.
		return requests / slots / 4
	}
	return (requests - slots + 1) / slots
}

// interferenceCost returns the cost, in seconds, of a prefill on a decode
// engine with the given number of streams, all of which it delays. Long
// prefills cost more because they cause noticeable pauses.
func (t *Table) interferenceCost(prefill, streams float64) float64 {
	noticeable := t.opts.LongInterferenceFactor * max(0, prefill-noticeablePrefillSeconds)
	return t.opts.InterferenceWeight * (prefill + noticeable) * streams
}

// noticeablePrefillSeconds is the duration from which a prefill causes
// noticeable pauses in the streams of a decode engine.
const noticeablePrefillSeconds = 0.05

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// domainCost returns the cost, in seconds, of a server outside the request's
// failure domain.
func (t *Table) domainCost(from string, s *server, bodyBytes int) float64 {
	if s.FailureDomain == from {
		return 0
	}
	return t.opts.CrossDomainPenalty + t.opts.CrossDomainPenaltyPerByte*float64(bodyBytes)
}

// recomputeCost returns the cost, in seconds, of prefilling shared tokens that
// are cached elsewhere.
func (t *Table) recomputeCost(q *query, cached int) float64 {
	return t.opts.RecomputePenaltyPerToken * float64(max(0, q.shared-cached))
}

// slotWaitSeconds returns the expected time that a request waits for a slot of
// an engine that has the given number of requests and takes the given factor
// longer than a usual one.
func (t *Table) slotWaitSeconds(requests, factor float64) float64 {
	slots := float64(max(1, t.engine.Slots))
	requests++
	fill := min(1, requests/slots)
	// Steps take longer in a fuller batch.
	wait := fullBatchDelaySeconds * fill * factor
	if requests > slots {
		wait += (requests - slots) / slots * typicalSlotSeconds * factor
	}
	return wait
}

// fullBatchDelaySeconds is how much longer the first step takes in a full
// batch.
const fullBatchDelaySeconds = 0.02

// typicalSlotSeconds is the time that a request typically occupies a slot.
const typicalSlotSeconds = 0.3

// transferSeconds returns the duration of a transfer of KV cache.
func (t *Table) transferSeconds(tokens int) float64 {
	if tokens == 0 || t.engine.LinkMbps <= 0 {
		return 0
	}
	const bitsPerMegabit = 1e6
	bits := float64(tokens) * float64(t.engine.KVBytesPerToken) * 8
	return bits/(t.engine.LinkMbps*bitsPerMegabit) + transferSetupSeconds
}

// transferSetupSeconds is the time before a KV transfer starts.
const transferSetupSeconds = 0.003

// loadCostFactor returns the factor by which a gateway weighs the cost of other requests
// at a server, between 1 and 1+loadCostSpread. Gateways know each other's requests only
// after a delay. With the same weights all of them would choose the same server
// meanwhile.
func loadCostFactor(gateway, server string) float64 {
	if gateway == "" {
		return 1
	}
	return 1 + loadCostSpread*serverspeed.Position(gateway, server)
}

// loadCostSpread is the spread of the weights. With a larger one, few gateways serve fewer
// requests in time.
const loadCostSpread = 1
