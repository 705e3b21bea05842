package bench

import (
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
)

// result is the result of one run.
type result struct {
	profile *profile
	// offered, inTime and refused count requests by class.
	offered, inTime, refused []int
	retries                  int
	// reversed counts role changes that were reversed within reversalWindow.
	roleChanges, reversed int
	// unknown counts requests without an outcome; duplicates counts requests
	// that completed more than once.
	unknown, duplicates int
	// firstTokenP95 and interTokenP95 are the 95th percentiles of the time to
	// the first token and of the time between tokens.
	firstTokenP95, interTokenP95 time.Duration
	// firstToken and interToken record the latencies of interactive requests,
	// in microseconds.
	firstToken, interToken *hdrhistogram.Histogram
	lastChanges            map[string]roleChange // by engine name
}

// roleChange is the last role change of an engine.
type roleChange struct {
	at   time.Duration
	from configv1.Role
}

// Histograms record microseconds, up to ten minutes, with three significant
// digits.
const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

func newResult(p *profile) *result {
	n := len(p.classes)
	return &result{
		profile:     p,
		offered:     make([]int, n),
		inTime:      make([]int, n),
		refused:     make([]int, n),
		firstToken:  hdrhistogram.New(1, histogramMax, histogramDigits),
		interToken:  hdrhistogram.New(1, histogramMax, histogramDigits),
		lastChanges: make(map[string]roleChange),
	}
}

// recordGap records the time between output tokens of a request, n times.
func (r *result) recordGap(req *request, gap time.Duration, n int) {
	if r.profile.classes[req.class].interactive {
		must(r.interToken.RecordValues(max(1, gap.Microseconds()), int64(n)))
	}
}

// recordRoleChange counts a role change, and a reversal if it restores the
// previous role within reversalWindow.
func (r *result) recordRoleChange(now time.Duration, n *node, to configv1.Role) {
	r.roleChanges++
	if last, ok := r.lastChanges[n.name]; ok && last.from == to && now-last.at < reversalWindow {
		r.reversed++
	}
	r.lastChanges[n.name] = roleChange{at: now, from: n.role}
}

// recordRequests counts the requests at the end of the run.
func (r *result) recordRequests(requests []*request) {
	for _, req := range requests {
		if req.completions > 1 {
			r.duplicates++
		}
		if !req.finished {
			r.unknown++
		}
		if !measured(r.profile, req) {
			continue
		}
		r.offered[req.class]++
		if req.refused {
			r.refused[req.class]++
		}
		if req.inTime() {
			r.inTime[req.class]++
		}
		if req.firstToken > 0 && r.profile.classes[req.class].interactive {
			must(r.firstToken.RecordValue(max(1, (req.firstToken - req.at).Microseconds())))
		}
	}
}

// summarize computes the percentiles and releases the histograms, which are
// large.
func (r *result) summarize() {
	r.firstTokenP95, r.interTokenP95 = percentile95(r.firstToken), percentile95(r.interToken)
	r.firstToken, r.interToken, r.lastChanges = nil, nil, nil
}

// measured reports whether the request counts in the results.
func measured(p *profile, r *request) bool { return r.at >= p.measureFrom }

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// goodput returns the number of requests completed in time.
func (r *result) goodput() float64 { return float64(sum(r.inTime)) }

func percentile95(h *hdrhistogram.Histogram) time.Duration {
	return time.Duration(h.ValueAtQuantile(95)) * time.Microsecond
}
