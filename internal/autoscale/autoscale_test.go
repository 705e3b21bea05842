package autoscale

import (
	"flag"
	"math"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// options are bounds with a period of 40 s.
var options = Options{Min: 1, Max: 12, StartTime: 10 * time.Second}

const (
	slots = 10
	// interval is the time between decisions.
	interval = 500 * time.Millisecond
)

// simulation is a failure domain whose platform carries out the orders: servers register
// one start time after their order, and leave at once.
type simulation struct {
	state      State
	options    Options
	now        time.Duration
	registered int
	// ordered is the latest order, 0 without one; due are the times at which servers that
	// it has added register.
	ordered int
	due     []time.Duration
	// raises and reductions are the numbers of orders that changed the number of servers.
	raises, reductions int
	// unknown is set while there are no reports.
	unknown bool
}

func newSimulation(o Options, registered int) *simulation {
	return &simulation{options: o, registered: registered}
}

// run decides for a time under a load, and returns what was decided last.
func (s *simulation) run(duration time.Duration, load func(now time.Duration) int) int {
	desired := 0
	for end := s.now + duration; s.now < end; s.now += interval {
		for len(s.due) > 0 && s.due[0] <= s.now {
			s.due = s.due[1:]
			s.registered++
		}
		s.state, desired = Decide(s.state, s.options, s.now, s.demand(load(s.now)))
		s.order(desired)
	}
	return desired
}

func (s *simulation) demand(load int) Demand {
	if s.unknown {
		return Demand{}
	}
	running := min(load, s.registered*slots)
	return Demand{Known: true, Running: running, Waiting: load - running, Slots: slots, Registered: s.registered}
}

func (s *simulation) order(desired int) {
	if desired == 0 || desired == s.ordered {
		return
	}
	current := s.registered + len(s.due)
	switch {
	case desired > current:
		s.raises++
		for ; current < desired; current++ {
			s.due = append(s.due, s.now+s.options.StartTime)
		}
	case desired < current:
		s.reductions++
		starting := max(0, len(s.due)-(current-desired))
		s.due = s.due[:starting]
		s.registered = min(s.registered, desired-starting)
	}
	s.ordered = desired
}

func steady(load int) func(time.Duration) int { return func(time.Duration) int { return load } }

// TestSwingingLoadChangesNothing guards against servers that are ordered and given up
// while a load swings between 5 and 60 requests every few seconds, at start times from
// a second to 30 s, and shows that the load of the moment orders a change each time.
func TestSwingingLoadChangesNothing(t *testing.T) {
	for _, start := range []time.Duration{time.Second, 10 * time.Second, 30 * time.Second} {
		for _, half := range []time.Duration{time.Second, 3 * time.Second, 7 * time.Second} {
			swing := func(now time.Duration) int {
				if now/half%2 == 0 {
					return 5
				}
				return 60
			}
			o := Options{Min: 1, Max: 12, StartTime: start}
			s := newSimulation(o, 2)
			require.Equal(t, 9, s.run(10*time.Minute, swing))
			require.Equal(t, 1, s.raises)
			require.Zero(t, s.reductions)

			changes, before := 0, 0
			for now := time.Duration(0); now < 10*time.Minute; now += interval {
				naive := o.bounded(State{slots: slots}.serversFor(o, float64(swing(now))))
				if naive != before {
					changes++
				}
				before = naive
			}
			require.Greater(t, changes, 80)
		}
	}
}

// TestPeaksThatDifferSlightlyChangeNothing guards against a change in each period of a
// load whose peaks are not quite equal: 54 requests need eight servers, and 58 nine.
func TestPeaksThatDifferSlightlyChangeNothing(t *testing.T) {
	s := newSimulation(options, 9)
	s.run(15*time.Minute, func(now time.Duration) int { return 54 + int(now/options.period())%3*2 })
	require.Equal(t, 9, s.ordered)
	require.Zero(t, s.raises+s.reductions)
}

// TestStepUpIsOrderedAtOnce checks that a load that needs more servers orders all of them
// with the next decision, and that nothing more is ordered while they start.
func TestStepUpIsOrderedAtOnce(t *testing.T) {
	s := newSimulation(options, 2)
	s.run(time.Minute, steady(10))
	require.Equal(t, 2, s.ordered)
	require.Equal(t, 9, s.run(interval, steady(63)))
	require.Equal(t, 9, s.run(5*time.Minute, steady(63)))
	require.Equal(t, 9, s.registered)
	require.Equal(t, 1, s.raises)
	require.Zero(t, s.reductions)
}

// TestStepDownWaitsForWholePeriod checks that servers are given up once the highest load of
// a period allows it, not before, and that a peak within the period delays that.
func TestStepDownWaitsForWholePeriod(t *testing.T) {
	period := options.period()
	part := period / partsPerPeriod
	for delay := time.Duration(0); delay < part; delay += interval {
		s := newSimulation(options, 9)
		s.run(2*time.Minute+delay, steady(63))
		require.Equal(t, 9, s.run(period/2, steady(7)))
		require.Equal(t, 9, s.run(interval, steady(63)))
		require.Equal(t, 9, s.run(period-interval, steady(7)), "peak %v into a part", delay)
		require.Equal(t, 2, s.run(part+2*interval, steady(7)), "7.7 requests with the margin")
		require.Equal(t, 1, s.run(2*period, steady(0)))
		require.Equal(t, 2, s.reductions)
	}
}

// TestBoundsHold checks that the number of servers is within the bounds whatever the load
// is, also after they have changed, and that nothing is decided without bounds.
func TestBoundsHold(t *testing.T) {
	o := Options{Min: 2, Max: 4, StartTime: time.Second}
	s := newSimulation(o, 1)
	require.Equal(t, 2, s.run(time.Second, steady(0)), "below the lower bound at the takeover")
	require.Equal(t, 4, s.run(time.Second, steady(math.MaxInt32)))
	s.options.Max = 3
	require.Equal(t, 3, s.run(interval, steady(1000)))
	require.Equal(t, 3, newSimulation(s.options, 8).run(interval, steady(0)), "above the upper bound at the takeover")
	s.options.Min, s.options.Max = 6, 8
	require.Equal(t, 6, s.run(interval, steady(0)))

	for _, o := range []Options{{}, {Max: 3}, {Min: 1}, {Min: 3, Max: 2}, {Min: -1, Max: 3}, {Min: -3, Max: -1}} {
		state, desired := Decide(s.state, o, s.now, s.demand(60))
		require.Zero(t, desired, "%+v", o)
		require.Equal(t, State{}, state)
	}
}

// TestNewHolderStartsFromRegistered guards against servers that a new holder gives up
// because it has not seen the load that they are for: registered ones before a whole
// period, and ones that its predecessor ordered and that register later.
func TestNewHolderStartsFromRegistered(t *testing.T) {
	s := newSimulation(options, 5)
	require.Zero(t, s.run(options.StartTime, steady(1)), "no order: the predecessor's may be in progress")
	require.Equal(t, 5, s.run(interval, steady(1)))
	s.registered = 7
	require.Equal(t, 7, s.run(options.period()-options.StartTime-interval, steady(1)))
	require.Zero(t, s.reductions)
	require.Equal(t, 1, s.run(options.period(), steady(1)))

	s = newSimulation(options, 2)
	s.due = []time.Duration{options.StartTime / 2, options.StartTime / 2}
	require.Equal(t, 4, s.run(options.StartTime+interval, steady(1)))
	require.Equal(t, 4, s.registered, "a predecessor's order of four is not withdrawn")

	s = newSimulation(options, 2)
	s.run(interval, steady(1))
	s.unknown = true
	require.Zero(t, s.run(options.StartTime-interval, steady(1)), "no order without reports either")

	s = newSimulation(options, 2)
	require.Equal(t, 9, s.run(interval, steady(63)), "what the load needs is ordered at once")
}

// TestNothingIsGivenUpWithoutReports guards against servers that are given up because
// nobody reports their load, and against orders before the first report.
func TestNothingIsGivenUpWithoutReports(t *testing.T) {
	s := newSimulation(options, 9)
	s.unknown = true
	require.Zero(t, s.run(time.Minute, steady(0)))
	s.unknown = false
	s.run(2*time.Minute, steady(63))
	s.unknown = true
	require.Equal(t, 9, s.run(10*time.Minute, steady(0)))
	s.unknown = false
	require.Equal(t, 9, s.run(options.period()-interval, steady(0)), "a period with a gap is not whole")
	require.Equal(t, 1, s.run(options.period()/partsPerPeriod+2*interval, steady(0)))

	// One report that is missing does not begin the period anew.
	s = newSimulation(options, 9)
	for range 200 {
		s.run(interval, steady(0))
		s.unknown = !s.unknown
	}
	require.Equal(t, 1, s.ordered)
}

// TestServersWithoutSlots checks that servers are neither ordered by a division by zero
// nor missing below the lower bound while no server states its slots.
func TestServersWithoutSlots(t *testing.T) {
	state, desired := Decide(State{}, options, 0, Demand{Known: true, Waiting: 50})
	require.Equal(t, 1, desired)
	state, desired = Decide(state, options, time.Second, Demand{Known: true, Waiting: 50, Slots: slots, Registered: 1})
	require.Equal(t, 8, desired)
	_, desired = Decide(state, options, 2*time.Second, Demand{Known: true, Waiting: 57, Registered: 1})
	require.Equal(t, 9, desired, "the latest known slots")
}

// TestLoadThatFitsExactlyNeedsNoMore guards against a further server because of a rounding
// error: 0.7 of three slots is slightly less than 2.1 in floating point.
func TestLoadThatFitsExactlyNeedsNoMore(t *testing.T) {
	_, desired := Decide(State{}, options, 0, Demand{Known: true, Running: 21, Slots: 3, Registered: 7})
	require.Equal(t, 10, desired)
}

// TestDecisionsHoldForAnyDemand checks the rules for any sequence of demands, gaps and
// bounds: the bounds hold, the need of the moment is met, and the number falls only if all
// loads of the period before are known and leave the servers idle, or the bounds require it.
func TestDecisionsHoldForAnyDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Options{
			Min: rapid.IntRange(1, 4).Draw(t, "min"), StartTime: time.Duration(rapid.IntRange(0, 20).Draw(t, "start")) * time.Second,
		}
		o.Max = o.Min + rapid.IntRange(0, 12).Draw(t, "spread")
		type seen struct {
			at   time.Duration
			load float64
		}
		var history []seen
		var state State
		now, before := time.Duration(0), 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(100, 3000).Draw(t, "step")) * time.Millisecond
			d := Demand{
				Known: rapid.IntRange(0, 9).Draw(t, "known") > 0, Running: rapid.IntRange(-1, 60).Draw(t, "running"),
				Waiting: rapid.IntRange(-1, 20).Draw(t, "waiting"), Slots: slots, Registered: rapid.IntRange(0, 20).Draw(t, "registered"),
			}
			var desired int
			state, desired = Decide(state, o, now, d)
			if d.Known {
				history = append(history, seen{now, d.load()})
			}
			if desired == 0 {
				if before > 0 {
					t.Fatalf("no order after an order of %d", before)
				}
				continue
			}
			if desired < o.Min || desired > o.Max {
				t.Fatalf("%d servers, bounds %d and %d", desired, o.Min, o.Max)
			}
			if d.Known && float64(min(desired, o.Max))*slots*targetUtilization < d.load()-1e-6 && desired < o.Max {
				t.Fatalf("%d servers for a load of %v", desired, d.load())
			}
			if desired < before {
				if history[0].at > now-o.period() {
					t.Fatalf("fell from %d to %d before a whole period was seen", before, desired)
				}
				for _, h := range history {
					if h.at > now-o.period() && h.load > float64(desired)*slots*targetUtilization+1e-6 {
						t.Fatalf("fell from %d to %d, load was %v at %v of %v", before, desired, h.load, h.at, now)
					}
				}
			}
			before = desired
		}
	})
}
