package limits

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// caller is one client's load on the simulated service.
type caller struct {
	name     string
	rate     float64
	priority int
	// from is when its load begins; until is when it ends, 0 for never.
	from, until time.Duration
	// retriesAtOnce is how often it repeats a refused request without a wait. Other
	// callers come back once, after Retry-After.
	retriesAtOnce int
	// gateway is the only gateway that gets its requests, from 1; 0 if they are spread.
	gateway int
}

// scarcity is a service of the given capacity (requests of cost 1 per second), served
// in the order of arrival, behind gateways that see a queue that is staleness old.
type scarcity struct {
	capacity  float64
	gateways  int
	staleness time.Duration
	callers   []caller
	// naive leaves out the fair share.
	naive    bool
	seed     uint64
	measured func(now time.Duration) bool
	// minPause and maxPause are the shortest and the longest time after which refused
	// callers have come back.
	minPause, maxPause time.Duration
}

// got is what one client got in the measured time.
type got struct{ requests, sends, inTime, late, refused, returned, returnedInVain int }

// ofInTime returns the part of its requests that was answered in time.
func (g got) ofInTime() float64 { return float64(g.inTime) / float64(max(1, g.requests)) }

const (
	simObjective = 500 * time.Millisecond
	simDeadline  = 10 * time.Second
	simWork      = 20 * time.Millisecond
	simTick      = time.Millisecond
)

// arrival is a request on its way to a gateway.
type arrival struct {
	client         int
	first          time.Duration // when the caller sent it first
	retries        int
	pausesTaken    int
	requestMatters bool
}

// run simulates the service in virtual time.
func (s *scarcity) run(length time.Duration) map[string]*got {
	random := rand.New(rand.NewPCG(1, s.seed))
	shares := make([]*FairShare, s.gateways)
	for i := range shares {
		shares[i] = NewFairShare(1000, 10)
	}
	results := make(map[string]*got)
	for _, c := range s.callers {
		results[c.name] = &got{}
	}
	type work struct {
		gateway int
		done    time.Duration
	}
	var (
		freeAt   time.Duration // when the servers have done all that they were sent
		running  []work
		history  []time.Duration // queue at each tick
		returns  = make(map[time.Duration][]arrival)
		seed     uint64
		service  = time.Duration(float64(time.Second) / s.capacity)
		pauseMin = time.Duration(math.MaxInt64)
	)
	for now := time.Duration(0); now < length; now += simTick {
		for len(running) > 0 && running[0].done <= now {
			shares[running[0].gateway].Completed(now, 1)
			running = running[1:]
		}
		history = append(history, max(0, freeAt-now))
		batch := returns[now]
		delete(returns, now)
		for i, c := range s.callers {
			if now >= c.from && (c.until == 0 || now < c.until) {
				for p := c.rate * simTick.Seconds(); p > 0 && random.Float64() < p; p-- {
					batch = append(batch, arrival{client: i, first: now, requestMatters: s.measured(now)})
				}
			}
		}
		for len(batch) > 0 {
			r := batch[0]
			batch = batch[1:]
			c := s.callers[r.client]
			g := results[c.name]
			if r.requestMatters {
				g.sends++
				switch {
				case r.pausesTaken > 0:
					g.returned++
				case r.retries == 0:
					g.requests++
				}
			}
			gateway := random.IntN(s.gateways)
			if c.gateway > 0 {
				gateway = c.gateway - 1
			}
			seed++
			wait := history[max(0, len(history)-1-int(s.staleness/simTick))]
			remaining := r.first + simDeadline - now
			d := Decision{Admitted: true}
			if !s.naive {
				d = shares[gateway].Admit(now, Demand{
					Request: Request{Client: c.name, Cost: 1, Priority: c.priority, Seed: seed * 7919},
					Wait:    wait, Spare: simObjective - simWork, MaxRetryAfter: remaining * 2 / 9,
				})
			}
			if !d.Admitted {
				switch pause := (d.RetryAfter + time.Duration(random.Float64()*float64(d.RetryAfter)/2)).Truncate(simTick) + simTick; {
				case r.retries < c.retriesAtOnce:
					r.retries++
					batch = append(batch, r)
				case c.retriesAtOnce == 0 && r.pausesTaken == 0 && pause <= remaining/3:
					r.pausesTaken++
					returns[now+pause] = append(returns[now+pause], r)
					pauseMin, s.maxPause = min(pauseMin, pause), max(s.maxPause, pause)
				case r.requestMatters:
					g.refused++
					if r.pausesTaken > 0 {
						g.returnedInVain++
					}
				}
				continue
			}
			freeAt = max(freeAt, now) + service
			running = append(running, work{gateway, freeAt})
			switch {
			case !r.requestMatters:
			case freeAt+simWork-now <= simObjective:
				g.inTime++
			default:
				g.late++
			}
		}
	}
	s.minPause = pauseMin
	return results
}

// sum adds up what clients got.
func sum(results map[string]*got, names ...string) got {
	var total got
	for _, name := range names {
		g := results[name]
		total.requests += g.requests
		total.sends += g.sends
		total.inTime += g.inTime
		total.late += g.late
		total.refused += g.refused
		total.returned += g.returned
		total.returnedInVain += g.returnedInVain
	}
	return total
}

// smallClients returns n clients that offer rate together, and their names.
func smallClients(n int, rate float64) (callers []caller, names []string) {
	for i := range n {
		name := fmt.Sprint("small", i)
		callers = append(callers, caller{name: name, rate: rate / float64(n)})
		names = append(names, name)
	}
	return callers, names
}

func between(from, until time.Duration) func(time.Duration) bool {
	return func(now time.Duration) bool { return now >= from && now < until }
}

// TestLargeClientDoesNotStarveSmallOnes guards against one client with 60 % of a load of
// 1.5 times the capacity making the requests of 70 small ones late. Without fair shares
// everybody's are.
func TestLargeClientDoesNotStarveSmallOnes(t *testing.T) {
	const capacity, measured = 200.0, 30.0
	for _, gateways := range []int{1, 8, 32} {
		for _, staleness := range []time.Duration{0, 300 * time.Millisecond} {
			small, names := smallClients(70, 0.6*capacity)
			load := scarcity{
				capacity: capacity, gateways: gateways, staleness: staleness, measured: between(5*time.Second, 35*time.Second),
				callers: append(small, caller{name: "large", rate: 0.9 * capacity}),
			}
			results := load.run(45 * time.Second)
			all, large := sum(results, names...), *results["large"]
			t.Logf("%d gateways, queue known %v late: small %+v, large %+v, returns after %v to %v", gateways, staleness, all, large, load.minPause, load.maxPause)
			require.Greater(t, all.ofInTime(), 0.95, "small clients are answered in time")
			require.Greater(t, float64(large.inTime), 0.9*0.4*capacity*measured, "the large client gets what the small ones leave")
			require.Greater(t, float64(all.inTime+all.late+large.inTime+large.late), 0.95*capacity*measured, "the servers are busy")
			require.Greater(t, load.minPause, 500*time.Millisecond)
			load.naive = true
			naive := load.run(45 * time.Second)
			require.Less(t, sum(naive, names...).ofInTime(), 0.1)
		}
	}
}

// TestBurstOfLargeClientIsHeldBack guards against the requests of small clients being late
// until the level has been found, in a burst of twice the capacity for two seconds.
func TestBurstOfLargeClientIsHeldBack(t *testing.T) {
	const capacity = 200.0
	small, names := smallClients(70, 0.7*capacity)
	load := scarcity{
		capacity: capacity, gateways: 8, staleness: 100 * time.Millisecond, measured: between(10*time.Second, 14*time.Second),
		callers: append(small, caller{name: "large", rate: 1.3 * capacity, from: 10 * time.Second, until: 12 * time.Second}),
	}
	results := load.run(30 * time.Second)
	all := sum(results, names...)
	t.Logf("small %+v, large %+v", all, *results["large"])
	require.Greater(t, all.ofInTime(), 0.95)
	load.naive = true
	require.Less(t, sum(load.run(30*time.Second), names...).ofInTime(), 0.5)
}

// TestImmediateRetriesGainNothing guards against a client that repeats each refused
// request at once ten times getting more than one that comes back after its Retry-After.
func TestImmediateRetriesGainNothing(t *testing.T) {
	const capacity = 200.0
	small, names := smallClients(70, 0.6*capacity)
	load := scarcity{
		capacity: capacity, gateways: 8, staleness: 100 * time.Millisecond, measured: between(5*time.Second, 35*time.Second),
		callers: append(small, caller{name: "patient", rate: 0.45 * capacity}, caller{name: "impatient", rate: 0.45 * capacity, retriesAtOnce: 10}),
	}
	results := load.run(45 * time.Second)
	all, patient, impatient := sum(results, names...), *results["patient"], *results["impatient"]
	t.Logf("small %+v, patient %+v, impatient %+v", all, patient, impatient)
	require.Greater(t, impatient.sends, 2*patient.sends)
	require.Less(t, float64(impatient.inTime+impatient.late), 1.1*float64(patient.inTime+patient.late))
	require.Greater(t, all.ofInTime(), 0.95)
}

// TestIdleClientIsNotPenalized guards against a client that used nothing for a minute of
// scarcity being refused when it comes with less than its share.
func TestIdleClientIsNotPenalized(t *testing.T) {
	const capacity = 200.0
	small, _ := smallClients(20, 0.4*capacity)
	load := scarcity{
		capacity: capacity, gateways: 8, staleness: 100 * time.Millisecond, measured: between(time.Minute, 90*time.Second),
		callers: append(small, caller{name: "large", rate: 1.1 * capacity}, caller{name: "idle", rate: 0.2 * capacity, from: time.Minute}),
	}
	results := load.run(100 * time.Second)
	t.Logf("idle %+v, large %+v", *results["idle"], *results["large"])
	require.Greater(t, results["idle"].ofInTime(), 0.97)
}

// TestUrgentRequestsAreNotRefusedForOthers guards against refusing urgent requests, though
// their client is large, while less urgent ones are admitted; and, once the urgent ones
// alone exceed the capacity, against less urgent ones taking a part of it.
func TestUrgentRequestsAreNotRefusedForOthers(t *testing.T) {
	const capacity, measured = 200.0, 30.0
	run := func(urgent float64) (first, others got) {
		small, names := smallClients(70, 0.6*capacity)
		for i := range small {
			small[i].priority = 5
		}
		load := scarcity{
			capacity: capacity, gateways: 8, staleness: 100 * time.Millisecond, measured: between(10*time.Second, 40*time.Second),
			callers: append(small, caller{name: "urgent", rate: urgent * capacity, from: 5 * time.Second}),
		}
		results := load.run(50 * time.Second)
		first, others = *results["urgent"], sum(results, names...)
		t.Logf("urgent load %v: urgent %+v, others %+v", urgent, first, others)
		return first, others
	}
	first, others := run(0.8)
	require.Greater(t, first.ofInTime(), 0.98)
	require.Greater(t, float64(others.inTime), 0.8*0.2*capacity*measured)
	first, others = run(1.3)
	require.Greater(t, float64(first.inTime+first.late), 0.9*capacity*measured)
	require.Less(t, float64(others.inTime+others.late), 0.1*capacity*measured)
}

// TestNobodyIsRefusedWithoutScarcity guards against refusing requests of a large client
// while there is room for all of them.
func TestNobodyIsRefusedWithoutScarcity(t *testing.T) {
	const capacity = 200.0
	small, names := smallClients(70, 0.25*capacity)
	load := scarcity{
		capacity: capacity, gateways: 8, staleness: 300 * time.Millisecond, measured: between(0, time.Minute),
		callers: append(small, caller{name: "large", rate: 0.55 * capacity}, caller{name: "idle", rate: 0.05 * capacity, from: 30 * time.Second}),
	}
	results := load.run(time.Minute)
	all := sum(results, append(names, "large", "idle")...)
	t.Logf("all %+v", all)
	require.Equal(t, all.requests, all.sends, "no request is refused and comes back")
	require.Zero(t, all.refused)
}

// TestClientAtOneGateway measures what a client gets that sends all its requests to one of
// eight gateways: the others must still get most of theirs in time.
func TestClientAtOneGateway(t *testing.T) {
	const capacity = 200.0
	small, names := smallClients(70, 0.6*capacity)
	load := scarcity{
		capacity: capacity, gateways: 8, staleness: 100 * time.Millisecond, measured: between(5*time.Second, 35*time.Second),
		callers: append(small, caller{name: "large", rate: 0.9 * capacity, gateway: 1}),
	}
	results := load.run(45 * time.Second)
	t.Logf("small %+v, large %+v", sum(results, names...), *results["large"])
	require.Greater(t, sum(results, names...).ofInTime(), 0.8)
}

// TestFairShareMemory guards against memory that grows with clients beyond the bound, and
// against more than a part of the 32 MB of a process at 12,000 accounts.
func TestFairShareMemory(t *testing.T) {
	const clients, bound = 50_000, 12_000
	var before, after runtime.MemStats
	names := make([]string, clients)
	for i := range names {
		names[i] = fmt.Sprintf("client-%08d", i)
	}
	runtime.GC()
	runtime.ReadMemStats(&before)
	f := NewFairShare(bound, 10)
	for _, name := range names {
		f.Admit(0, Demand{Request: Request{Client: name, Cost: 1}})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	t.Logf("%d bytes", after.HeapAlloc-before.HeapAlloc)
	require.Less(t, after.HeapAlloc-before.HeapAlloc, uint64(6<<20))
	require.Len(t, f.limiter.accounts, bound)
	d := Demand{Request: Request{Client: names[7], Cost: 1}, Wait: time.Second, Spare: time.Second, MaxRetryAfter: time.Second}
	require.Zero(t, testing.AllocsPerRun(1000, func() { f.Admit(time.Second, d) }), "no allocation after the first request")
	runtime.KeepAlive(names)
}

func BenchmarkFairShareAdmit12000(b *testing.B) {
	const clients = 12_000
	names := make([]string, clients)
	for i := range names {
		names[i] = fmt.Sprintf("client-%08d", i)
	}
	f := NewFairShare(clients, 10)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		now := time.Duration(i) * 100 * time.Microsecond
		f.Admit(now, Demand{
			Request: Request{Client: names[i%clients], Cost: 1, Priority: i % 10, Seed: uint64(i)},
			Wait:    400 * time.Millisecond, Spare: 500 * time.Millisecond, MaxRetryAfter: time.Second,
		})
		f.Completed(now, 0.5)
	}
}
