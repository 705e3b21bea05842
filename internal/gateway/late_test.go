package gateway

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/limits"
)

// lateRule is what happens to a request that is predicted to be late.
type lateRule struct {
	name string
	// refuse is whether it is refused with a Retry-After, if it is predicted to be late by
	// more than margin and its caller comes back by the time at which there is room.
	refuse bool
	margin time.Duration
	// fair is whether client accounts are held to their fair shares first.
	fair bool
}

// lateResult counts requests by what their callers got. inTime and inTimeAtLast differ
// for those that came back: their first event is late as seen from the first send.
type lateResult struct{ inTime, inTimeAfterReturn, late, inVain, all int }

// value returns what callers got per request, if late answers are worth late and those to
// callers that came back returned.
func (r lateResult) value(late, returned float64) float64 {
	const inVain = -0.2
	return (float64(r.inTime) + returned*float64(r.inTimeAfterReturn) + late*float64(r.late) + inVain*float64(r.inVain)) / float64(r.all)
}

// simulateBurst returns what callers get of servers with a capacity of 100 requests per
// second, at a load of base that is twice the capacity for two seconds. With deferral,
// servers start requests that are predicted to be late after the others.
func simulateBurst(rule lateRule, deferral bool, base float64, timeout, staleness time.Duration, seed uint64) (r lateResult) {
	const (
		rate, objective   = 100.0, 500 * time.Millisecond
		burst, burstEnd   = 5 * time.Second, 7 * time.Second
		measured, end     = 15 * time.Second, 60 * time.Second
		work, tick        = time.Duration(float64(time.Second) / rate), time.Millisecond
		minRetry, thirdOf = 50 * time.Millisecond, 3
		accounts          = 70
	)
	type job struct {
		first, sent time.Duration
		returned    bool
	}
	random := rand.New(rand.NewPCG(3, seed))
	var queues [2][]job // in time, and deferred
	var freeAt, promised time.Duration
	shares := limits.NewFairShare(1000, 1)
	var queueLengths []int
	returns := make(map[time.Duration][]job)
	for now := time.Duration(0); now < end; now += tick {
		for ; freeAt <= now; freeAt += work {
			q := &queues[0]
			if len(*q) == 0 {
				q = &queues[1]
			}
			if len(*q) == 0 {
				freeAt = now
				break
			}
			j := (*q)[0]
			*q = (*q)[1:]
			done := freeAt + work
			shares.Completed(now, 1)
			switch {
			case j.first < burst || j.first >= measured:
			case done-j.sent > objective:
				r.late++
			case j.returned:
				r.inTimeAfterReturn++
			default:
				r.inTime++
			}
		}
		queueLengths = append(queueLengths, len(queues[0]))
		arrivals := returns[now]
		load := base
		if now >= burst && now < burstEnd {
			load = 2
		}
		for p := load * rate * tick.Seconds(); random.Float64() < p; p-- {
			arrivals = append(arrivals, job{first: now})
			if now >= burst && now < measured {
				r.all++
			}
		}
		for _, j := range arrivals {
			j.sent = now
			known := queueLengths[max(0, len(queueLengths)-1-int(staleness/tick))]
			wait := max(0, freeAt-now) + time.Duration(known+1)*work
			queue := 0
			if wait > objective {
				queue = 1
			}
			if rule.fair {
				remaining := j.first + timeout - now
				d := shares.Admit(now, limits.Demand{
					Request: limits.Request{Client: strconv.Itoa(random.IntN(accounts)), Cost: 1, Seed: random.Uint64()},
					Wait:    wait, Spare: objective - work, MaxRetryAfter: remaining * 2 / 9,
				})
				if !d.Admitted && j.returned {
					if j.first >= burst && j.first < measured {
						r.inVain++
					}
					continue
				}
				if !d.Admitted {
					j.returned = true
					at := (now + d.RetryAfter + time.Duration(random.Float64()*float64(d.RetryAfter)/2)).Truncate(tick) + tick
					returns[at] = append(returns[at], j)
					continue
				}
			}
			if rule.refuse && wait > objective+rule.margin {
				// There is room for one more per work at the part of the capacity that the
				// usual load leaves.
				at := max(promised, now+wait-objective/2) + time.Duration(float64(work)/(1-base))
				pause := max(minRetry, at-now)
				jittered := pause + time.Duration(random.Float64()*float64(pause)/2)
				if pause*3/2 <= (j.first+timeout-now)/thirdOf {
					promised = at
					if j.returned {
						if j.first >= burst && j.first < measured {
							r.inVain++
						}
						continue
					}
					j.returned = true
					returns[(now+jittered).Truncate(tick)+tick] = append(returns[(now+jittered).Truncate(tick)+tick], j)
					continue
				}
			}
			if !deferral {
				queue = 0
			}
			queues[queue] = append(queues[queue], j)
		}
	}
	return r
}

// lateSum returns what callers get in three bursts.
func lateSum(rule lateRule, deferral bool, base float64, timeout, staleness time.Duration) lateResult {
	var sum lateResult
	for seed := range uint64(3) {
		r := simulateBurst(rule, deferral, base, timeout, staleness, seed)
		sum.inTime += r.inTime
		sum.inTimeAfterReturn += r.inTimeAfterReturn
		sum.late += r.late
		sum.inVain += r.inVain
		sum.all += r.all
	}
	return sum
}

// TestRefusalOfLateRequests is the analysis behind the decision that requests that are
// predicted to be late, but before their deadline, are not refused by a rule of their own
// (docs/design/fair-share.md). A late answer counts 0.3 of one in time here.
//
// At servers that work in the order of arrival the fair share of 70 like accounts keeps
// more requests in time than sending all of them, and a further rule adds nothing. At
// servers that defer late requests, such a rule helps only if an answer to a caller that
// was sent away and came back counts as in time.
func TestRefusalOfLateRequests(t *testing.T) {
	const late = 0.3
	gain := make(map[float64]float64) // of the further rule, summed up by what a return is worth
	cases := 0
	send, refuse, fair := lateRule{name: "send"}, lateRule{name: "refuse", refuse: true}, lateRule{name: "fair", fair: true}
	both := lateRule{name: "both", refuse: true, fair: true}
	for _, base := range []float64{0.5, 0.7, 0.85} {
		for _, timeout := range []time.Duration{3 * time.Second, 10 * time.Second, 30 * time.Second} {
			for _, staleness := range []time.Duration{0, 300 * time.Millisecond} {
				get := func(rule lateRule, deferral bool) lateResult {
					r := lateSum(rule, deferral, base, timeout, staleness)
					t.Logf("load %.2f, timeout %v, queue known %v late, deferral %v, %s: %+v, value %.3f, %.3f if returns count as late",
						base, timeout, staleness, deferral, rule.name, r, r.value(late, 1), r.value(late, late))
					return r
				}
				shared, sharedAndRefused, sentInOrder := get(fair, false), get(both, false), get(send, false)
				sent, refused := get(send, true), get(refuse, true)
				cases++
				for _, returned := range []float64{late, 1} {
					require.Greater(t, shared.value(late, returned), sentInOrder.value(late, returned))
					gain[returned] += sharedAndRefused.value(late, returned) - shared.value(late, returned)
					require.Equal(t, returned == 1, refused.value(late, returned) > sent.value(late, returned))
				}
			}
		}
	}
	// Bursts of one case differ by 0.02 from each other.
	for returned, sum := range gain {
		t.Logf("returns worth %.1f: the further rule gains %.4f", returned, sum/float64(cases))
		require.InDelta(t, 0, sum/float64(cases), 0.01)
	}
}

// TestRefusalWithMarginHelpsNobody is why a margin beyond the objective is no way out: a
// queue that is held at the objective and the margin makes every request late.
func TestRefusalWithMarginHelpsNobody(t *testing.T) {
	with := lateSum(lateRule{refuse: true, margin: 250 * time.Millisecond}, false, 0.7, 10*time.Second, 0)
	without := lateSum(lateRule{refuse: true}, false, 0.7, 10*time.Second, 0)
	require.Less(t, with.value(0.3, 1), without.value(0.3, 1)-0.1)
	require.InDelta(t, lateSum(lateRule{}, false, 0.7, 10*time.Second, 0).value(0.3, 1), with.value(0.3, 1), 0.02)
}
