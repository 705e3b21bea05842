package bench

import (
	"slices"
	"sort"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/enginemodel"
)

// boundBucket is the time resolution of the bound. Windows are widened to whole
// buckets, which can only raise the bound.
const boundBucket = 2 * time.Second

// goodputBound returns an upper bound on the number of requests that any policy
// can complete in time. Only requests for which selects returns true count.
//
// The fleet is relaxed to a single engine with the total capacity of all
// engines that are serving at each moment. It works at the highest rates of the
// model: prefill without interruption, decode in full batches, a cache hit for
// every prompt block that an earlier request had, and no transfers, role
// changes or report delays. Work can be divided and preempted arbitrarily, and
// a request of which only a fraction fits counts as that fraction. The sets of
// work that can be done within the windows then form a polymatroid, so the
// greedy choice by least work is optimal.
//
// Charging a block to the first request that arrives with it is valid even if a
// later request of the class runs first and fills the cache: that work is done
// after the arrival and before the deadline of the first request, so it can be
// attributed to the first request.
func goodputBound(p *profile, requests []*request, selects func(*request) bool) float64 {
	capacity := newCapacityTable(p, requests)
	jobs := boundJobs(p, requests, selects)
	sort.SliceStable(jobs, func(i, j int) bool { return jobs[i].work < jobs[j].work })
	total := 0.0
	for _, j := range jobs {
		total += capacity.accept(j) / j.work
	}
	return total
}

// job is the minimum work of a request, in engine-seconds, and the buckets in
// which it can be done, both ends included.
type job struct {
	first, last int
	work        float64
}

// boundJobs returns the jobs of the requests for which selects returns true.
// Requests that cannot meet their deadline on an idle engine are left out.
func boundJobs(p *profile, requests []*request, selects func(*request) bool) []job {
	seen := make(map[uint64]bool)
	var jobs []job
	for _, r := range requests {
		cached := 0
		for _, h := range r.prefixHashes {
			if !seen[h] {
				break
			}
			cached += blockTokens
		}
		for _, h := range r.prefixHashes {
			seen[h] = true
		}
		work := minWork(p.settings, r.promptTokens-min(cached, r.promptTokens-1), r.outputTokens)
		if selects(r) && r.at+minDecodeTime(p.settings, r.outputTokens) <= r.deadline {
			jobs = append(jobs, job{int(r.at / boundBucket), int(r.deadline / boundBucket), work})
		}
	}
	return jobs
}

// minWork returns the minimum engine-seconds that a request needs.
func minWork(s enginemodel.Settings, prompt, output int) float64 {
	full := s.DecodeStep + time.Duration(s.MaxBatch-1)*s.DecodeStepPerSequence
	perToken := full.Seconds() / float64(s.MaxBatch)
	return float64(prompt)/s.PrefillRate + float64(output-1)*perToken
}

// minDecodeTime returns the minimum time to generate the output of a request.
func minDecodeTime(s enginemodel.Settings, output int) time.Duration {
	return time.Duration(output-1) * s.DecodeStep
}

// capacityTable holds, for every interval of buckets, the remaining
// engine-seconds: the capacity of the interval minus the work of the accepted
// jobs whose windows lie within it.
type capacityTable struct {
	buckets   int
	remaining [][]float64
}

// newCapacityTable returns a table without accepted jobs. It extends to the
// last deadline.
func newCapacityTable(p *profile, requests []*request) *capacityTable {
	last := time.Duration(0)
	for _, r := range requests {
		last = max(last, r.deadline)
	}
	n := int(last/boundBucket) + 1
	capacity := bucketCapacity(p, n)
	t := &capacityTable{buckets: n, remaining: make([][]float64, n)}
	for i := range n {
		t.remaining[i] = make([]float64, n)
		sum := 0.0
		for j := i; j < n; j++ {
			sum += capacity[j]
			t.remaining[i][j] = sum
		}
	}
	return t
}

// bucketCapacity returns the fleet's engine-seconds in each bucket. A drained
// engine counts until the last deadline of the work that it had accepted. An
// engine that fails its attempts counts in full, which can only raise the
// bound.
func bucketCapacity(p *profile, n int) []float64 {
	capacity := make([]float64, n)
	for e := range p.engines {
		up := make([]bool, n)
		for i := range up {
			up[i] = true
		}
		for _, f := range p.faults {
			applyFault(up, f, e, p.longestDeadline())
		}
		for i := range capacity {
			if up[i] {
				capacity[i] += boundBucket.Seconds()
			}
		}
	}
	return capacity
}

// applyFault updates the buckets in which an engine is up, if the fault affects
// it.
func applyFault(up []bool, f fault, engine int, longest time.Duration) {
	if f.kind == faultFail || !slices.Contains(f.engines, engine) {
		return
	}
	from := f.at
	switch f.kind {
	case faultDrain:
		from += longest + boundBucket
	case faultCrash:
		from += boundBucket
	}
	for i := int(from / boundBucket); i < len(up); i++ {
		up[i] = f.kind == faultReturn
	}
}

// accept accepts as much of a job as fits, and returns the accepted work.
func (t *capacityTable) accept(j job) float64 {
	fits := j.work
	for i := 0; i <= j.first; i++ {
		for _, left := range t.remaining[i][j.last:] {
			if left < fits {
				fits = left
			}
		}
	}
	if fits <= 0 {
		return 0
	}
	for i := 0; i <= j.first; i++ {
		row := t.remaining[i][j.last:]
		for k := range row {
			row[k] -= fits
		}
	}
	return fits
}
