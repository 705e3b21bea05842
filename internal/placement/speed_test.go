package placement

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

// speedFleet simulates gateways that share servers of different speeds, in virtual
// time, with the heartbeats by which the gateways learn of each other.
type speedFleet struct {
	random  *rand.Rand
	tables  []*Table
	servers []*simServer
	// spec is nil for a plain service.
	spec *fleet.EngineSpec
	// unlearned makes the gateways take all servers for equally fast, and alone keeps
	// them from reporting speeds.
	unlearned, alone bool
	events           simEvents
	outcomes         []simOutcome
}

// simServer is a simulated server. An engine does the work of one prompt after the other
// and streams to many callers at once.
type simServer struct {
	fleet.Server
	freeAt  time.Duration
	running int
	// slowdown is the factor by which work takes longer at a time, with a share of its
	// slots taken.
	slowdown func(now time.Duration, utilization float64) float64
	// states is set if the server states its slowdown.
	states bool
}

// simOutcome is what a caller has got.
type simOutcome struct {
	arrived, took time.Duration
	server        string
}

type simEvent struct {
	at time.Duration
	do func(now time.Duration)
}

// simEvents implements heap.Interface.
type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	// simStep and simWorkPerSecond are the time of a first step and the prefill rate of a
	// usual decode engine, simPrompt the length of a prompt, simStream the time for which
	// a usual engine streams, simPlain the time of a call of a plain server.
	simStep          = 40 * time.Millisecond
	simWorkPerSecond = 46_000.0
	simPrompt        = 2000
	simStream        = 300 * time.Millisecond
	simPlain         = 15 * time.Millisecond
	simObjective     = 300 * time.Millisecond
	simRoundTrip     = 2 * time.Millisecond
)

func constantly(slowdown float64) func(time.Duration, float64) float64 {
	return func(time.Duration, float64) float64 { return slowdown }
}

// newSpeedFleet returns a fleet with one engine for each slowdown.
func newSpeedFleet(gateways int, slowdowns ...func(time.Duration, float64) float64) *speedFleet {
	f := &speedFleet{random: rand.New(rand.NewPCG(3, uint64(gateways))), spec: spec}
	for i, slowdown := range slowdowns {
		f.servers = append(f.servers, &simServer{Server: engine(fmt.Sprintf("d%02d", i), fleet.StageDecode, "here"), slowdown: slowdown})
	}
	f.addGateways(gateways)
	return f
}

func (f *speedFleet) addGateways(gateways int) {
	f.tables = nil
	for i := range gateways {
		opts := DefaultOptions("here")
		opts.Gateway = fmt.Sprint("gateway-", i)
		f.tables = append(f.tables, NewTable(opts, f.spec))
	}
	f.register()
}

// register registers all servers with all gateways.
func (f *speedFleet) register() {
	for _, table := range f.tables {
		var list []fleet.Server
		for _, s := range f.servers {
			list = append(list, s.Server)
		}
		table.SetServers(f.spec, list)
	}
}

func (f *speedFleet) at(at time.Duration, do func(now time.Duration)) {
	heap.Push(&f.events, simEvent{at, do})
}

// usualSeconds is the time that a request keeps a usual server busy.
func (f *speedFleet) usualSeconds() float64 {
	if f.spec == nil {
		return simPlain.Seconds()
	}
	return prefillWork(simPrompt, simPrompt) / simWorkPerSecond
}

// capacity returns the requests per second that the servers can handle when none has
// other requests.
func (f *speedFleet) capacity() float64 {
	sum := 0.0
	for _, s := range f.servers {
		parallel := 1.0
		if f.spec == nil {
			parallel = float64(s.Slots)
		}
		sum += parallel / (s.slowdown(0, 0) * f.usualSeconds())
	}
	return sum
}

// run sends the given number of requests per second for some time.
func (f *speedFleet) run(perSecond float64, length time.Duration) {
	var arrive func(now time.Duration)
	arrive = func(now time.Duration) {
		f.request(now, f.random.IntN(len(f.tables)))
		f.at(now+seconds(f.random.ExpFloat64()/perSecond), arrive)
	}
	f.at(0, arrive)
	const rounds = 400 * time.Millisecond
	for i := range f.tables {
		var round func(now time.Duration)
		round = func(now time.Duration) {
			for range min(4, len(f.tables)-1) {
				other := f.random.IntN(len(f.tables))
				f.heartbeat(now, i, other)
				f.heartbeat(now, other, i)
			}
			f.at(now+rounds, round)
		}
		f.at(time.Duration(f.random.Int64N(int64(rounds))), round)
	}
	for f.events[0].at < length {
		e := heap.Pop(&f.events).(simEvent)
		e.do(e.at)
	}
}

// heartbeat sends the loads and speeds that one gateway knows to another.
func (f *speedFleet) heartbeat(now time.Duration, from, to int) {
	if from == to {
		return
	}
	name := f.tables[from].opts.Gateway
	f.tables[to].SetPeerLoads(now, name, f.tables[from].OwnLoads(now))
	if !f.alone {
		f.tables[to].MergeSpeeds(now, name, f.tables[from].SpeedReports(now, 2))
	}
}

func (f *speedFleet) request(now time.Duration, gateway int) {
	table := f.tables[gateway]
	if f.unlearned {
		for _, s := range table.servers {
			s.speed = speed{}
		}
	}
	r := Request{NoSplit: true}
	if f.spec != nil {
		r.PromptTokens, r.Objective, r.FirstEventBudget = simPrompt, simObjective, simObjective
	}
	c, err := table.Choose(now, r)
	if err != nil {
		f.outcomes = append(f.outcomes, simOutcome{now, time.Hour, ""})
		return
	}
	var s *simServer
	for _, candidate := range f.servers {
		if candidate.ID == c.Server.ID {
			s = candidate
		}
	}
	send := table.RecordSend(now, Send{ServerID: s.ID, UncachedTokens: c.UncachedTokens, PromptTokens: r.PromptTokens, TimeToFirstEvent: c.TimeToFirstEvent})
	first, end := s.serve(f, now)
	f.outcomes = append(f.outcomes, simOutcome{now, first - now, s.ID})
	f.at(first, func(now time.Duration) {
		load := Load{Running: s.running, Slots: s.Slots}
		if s.states {
			load.WorkPercent = 100 * s.slowdown(now, 0)
		}
		table.RecordLoad(now, s.ID, load)
		table.RecordPrefilled(now, send)
	})
	f.at(end, func(now time.Duration) {
		s.running--
		table.RecordEnd(now, send)
	})
}

// serve returns when a request gets its first event and when it ends.
func (s *simServer) serve(f *speedFleet, now time.Duration) (first, end time.Duration) {
	slowdown := s.slowdown(now, float64(s.running)/float64(s.Slots))
	s.running++
	noise := func() float64 { return slowdown * math.Exp(0.25*f.random.NormFloat64()) }
	if f.spec == nil {
		// The slots of a plain server share the work.
		busy := seconds(simPlain.Seconds() * noise())
		s.freeAt = max(s.freeAt, now) + busy/time.Duration(s.Slots)
		first = max(now+busy, s.freeAt) + simRoundTrip
		return first, first
	}
	s.freeAt = max(s.freeAt, now) + seconds(f.usualSeconds()*noise())
	first = s.freeAt + seconds(simStep.Seconds()*noise()) + simRoundTrip
	return first, first + seconds(simStream.Seconds()*noise())
}

// inTime returns the share of the requests that arrived in an interval and got their first
// event within an objective.
func (f *speedFleet) inTime(from, to, objective time.Duration) float64 {
	met, all := 0, 0
	for _, o := range f.outcomes {
		if o.arrived >= from && o.arrived < to {
			all++
			if o.took <= objective {
				met++
			}
		}
	}
	return float64(met) / float64(max(1, all))
}

// share returns the share of the requests that arrived in an interval and were sent to a
// server.
func (f *speedFleet) share(from, to time.Duration, server string) float64 {
	sent, all := 0, 0
	for _, o := range f.outcomes {
		if o.arrived >= from && o.arrived < to {
			all++
			if o.server == server {
				sent++
			}
		}
	}
	return float64(sent) / float64(max(1, all))
}

// mixedSpeeds returns n slowdowns of 0.6, 1.0 and 1.6 in turn.
func mixedSpeeds(n int) []func(time.Duration, float64) float64 {
	var list []func(time.Duration, float64) float64
	for i := range n {
		list = append(list, constantly([]float64{0.6, 1, 1.6}[i%3]))
	}
	return list
}

func equalSpeeds(n int) []func(time.Duration, float64) float64 {
	var list []func(time.Duration, float64) float64
	for range n {
		list = append(list, constantly(1))
	}
	return list
}

// TestLearnedSpeedsServeMoreInTime guards against engines that all count as equally fast: at
// 70 % of the capacity of engines with slowdowns of 0.6, 1.0 and 1.6, the slow ones get
// more prompts than they can prefill in time.
func TestLearnedSpeedsServeMoreInTime(t *testing.T) {
	for _, gateways := range []int{8, 32} {
		late := func(unlearned bool) float64 {
			f := newSpeedFleet(gateways, mixedSpeeds(18)...)
			f.unlearned = unlearned
			f.run(0.7*f.capacity(), 40*time.Second)
			return 1 - f.inTime(10*time.Second, 39*time.Second, simObjective)
		}
		learned, unlearned := late(false), late(true)
		t.Logf("%d gateways: late are %.3f with learned speeds, %.3f without", gateways, learned, unlearned)
		require.Less(t, learned, 0.6*unlearned)
	}
}

// TestEquallyFastServersAreServedAsWithoutSpeeds guards against noise that counts as a
// difference of speed, and against gateways that all go to the engine that seems fastest.
func TestEquallyFastServersAreServedAsWithoutSpeeds(t *testing.T) {
	for _, gateways := range []int{1, 8, 32} {
		f := newSpeedFleet(gateways, equalSpeeds(18)...)
		f.run(0.7*f.capacity(), 40*time.Second)
		unlearned := newSpeedFleet(gateways, equalSpeeds(18)...)
		unlearned.unlearned = true
		unlearned.run(0.7*f.capacity(), 40*time.Second)
		with, without := f.inTime(10*time.Second, 39*time.Second, simObjective), unlearned.inTime(10*time.Second, 39*time.Second, simObjective)
		t.Logf("%d gateways: in time are %.3f with learned speeds, %.3f without", gateways, with, without)
		require.Greater(t, with, without-0.015)
		for _, table := range f.tables {
			for _, s := range table.servers {
				long := s.speed.estimate.LongTerm() / table.conditions[fleet.StageDecode].Usual()
				require.InDelta(t, 1, long, 0.25, "a usual server")
			}
		}
		// No engine gets much more than its share in any second.
		for second := 10 * time.Second; second < 39*time.Second; second += time.Second {
			for _, s := range f.servers {
				require.Less(t, f.share(second, second+time.Second, s.ID), 3.0/18)
			}
		}
	}
}

// slowSpell is what callers get of 12 engines of which one turns slow for 10 s, at 60 % of
// their capacity.
type slowSpell struct {
	// before, during and after are the shares of the engine, from 2 s after the changes.
	before, during, after float64
	// lateBefore, late and lateUnlearned are the shares of late prompts before the spell, and
	// in it with and without learned speeds.
	lateBefore, late, lateUnlearned float64
}

// simulateSlowSpell returns the mean of several runs.
func simulateSlowSpell(t *testing.T, gateways int) (r slowSpell) {
	const begin, end, seeds = 20 * time.Second, 30 * time.Second, 8
	spell := func(now time.Duration, _ float64) float64 {
		if now >= begin && now < end {
			return 4
		}
		return 1
	}
	for seed := range uint64(seeds) {
		run := func(unlearned bool) *speedFleet {
			speeds := equalSpeeds(12)
			speeds[0] = spell
			f := newSpeedFleet(gateways, speeds...)
			f.random = rand.New(rand.NewPCG(seed, 1))
			f.unlearned = unlearned
			f.run(0.6*f.capacity(), 50*time.Second)
			return f
		}
		f, unlearned := run(false), run(true)
		r.before += f.share(10*time.Second, begin, "d00") / seeds
		r.during += f.share(begin+2*time.Second, end, "d00") / seeds
		r.after += f.share(end+2*time.Second, 49*time.Second, "d00") / seeds
		r.lateBefore += (1 - f.inTime(10*time.Second, begin, simObjective)) / seeds
		r.late += (1 - f.inTime(begin+2*time.Second, end, simObjective)) / seeds
		r.lateUnlearned += (1 - unlearned.inTime(begin+2*time.Second, end, simObjective)) / seeds
	}
	t.Logf("%d gateways: %+v", gateways, r)
	return r
}

// TestSlowSpellIsFollowedAndForgotten guards against an engine that gets more than it can do
// when it turns slow, and against one that gets nothing any more when it has recovered.
func TestSlowSpellIsFollowedAndForgotten(t *testing.T) {
	for _, gateways := range []int{8, 32} {
		r := simulateSlowSpell(t, gateways)
		require.InDelta(t, 1.0/12, r.before, 0.02)
		require.Less(t, r.during, r.before/2.5, "it can do a quarter")
		require.Positive(t, r.during, "it is still tried")
		require.Greater(t, r.after, r.before*0.75, "the spell is no property of the engine")
		require.Less(t, r.late, r.lateBefore+0.05, "11 engines have more to do")
		if gateways == 8 {
			require.Less(t, r.late, 0.7*r.lateUnlearned, "the others are not crowded instead")
		}
	}
}

// TestSlowSpellMakesFewerLateAtManyGateways guards against gateways that avoid a slow engine
// and crowd the others instead, because they know each other's requests only after 2 s.
func TestSlowSpellMakesFewerLateAtManyGateways(t *testing.T) {
	r := simulateSlowSpell(t, 32)
	require.Less(t, r.late, 0.7*r.lateUnlearned)
}

// TestServerThatWasSlowDoesNotStarve guards against an engine that was slow for long and has
// recovered, but whose factor nobody finds out because nobody uses it.
func TestServerThatWasSlowDoesNotStarve(t *testing.T) {
	const recovery = 60 * time.Second
	speeds := equalSpeeds(12)
	speeds[0] = func(now time.Duration, _ float64) float64 {
		if now < recovery {
			return 4
		}
		return 1
	}
	f := newSpeedFleet(16, speeds...)
	f.run(0.6*12/f.usualSeconds(), 100*time.Second)
	slow, recovered := f.share(20*time.Second, recovery, "d00"), f.share(recovery+20*time.Second, 99*time.Second, "d00")
	t.Logf("share %.3f while slow, %.3f after", slow, recovered)
	require.Less(t, slow, 0.045)
	require.Positive(t, slow)
	require.Greater(t, recovered, 0.6/12)
}

// TestNewStartIsTriedWithLittleLoad guards against a new server of unknown speed that all
// gateways choose at once because it has nothing to do, and against one that never gets
// anything.
func TestNewStartIsTriedWithLittleLoad(t *testing.T) {
	const start = 15 * time.Second
	for _, slowdown := range []float64{1, 4} {
		f := newSpeedFleet(32, equalSpeeds(11)...)
		perSecond := 0.6 * f.capacity()
		f.at(start, func(time.Duration) {
			added := &simServer{Server: engine("new", fleet.StageDecode, "here"), slowdown: constantly(slowdown)}
			added.StartedUnixMs = 7
			f.servers = append(f.servers, added)
			f.register()
		})
		f.run(perSecond, 50*time.Second)
		first := f.share(start, start+time.Second, "new")
		later := f.share(start+10*time.Second, 49*time.Second, "new")
		t.Logf("slowdown %.0f: share %.3f in the first second, %.3f later, in time at first %.3f", slowdown, first, later, f.inTime(start, start+3*time.Second, simObjective))
		require.Less(t, first, 1.5/12)
		if slowdown == 1 {
			require.Greater(t, later, 0.7/12)
		} else {
			require.Less(t, later, 0.5/12)
			require.Positive(t, later)
		}
	}
}

// TestGatewaysLearnFromEachOther guards against gateways that know nothing of an engine
// because each of them sends it few prompts: a gateway that starts knows the speeds of the
// others after a few seconds, without requests of its own.
func TestGatewaysLearnFromEachOther(t *testing.T) {
	f := newSpeedFleet(9, mixedSpeeds(9)...)
	idle := f.tables[8]
	f.tables = f.tables[:8]
	f.at(10*time.Second, func(now time.Duration) {
		var hear func(now time.Duration)
		hear = func(now time.Duration) {
			from := f.tables[f.random.IntN(len(f.tables))]
			idle.MergeSpeeds(now, from.opts.Gateway, from.SpeedReports(now, 2))
			f.at(now+100*time.Millisecond, hear)
		}
		hear(now)
	})
	f.run(0.5*f.capacity(), 20*time.Second)
	var means [3]float64
	for i, s := range idle.servers {
		require.True(t, s.speed.estimate.Known(), s.ID)
		means[i%3] += s.speed.estimate.LongTerm() / 3
	}
	t.Logf("learned slowdowns %.2f", means)
	require.Greater(t, means[1]/means[0], 1.3)
	require.Greater(t, means[2]/means[1], 1.3)
}

// TestCrowdedServerIsNotFilled guards against an engine that slows down long before its slots
// are taken and gets as many requests as the others.
func TestCrowdedServerIsNotFilled(t *testing.T) {
	speeds := equalSpeeds(6)
	speeds[0] = func(_ time.Duration, utilization float64) float64 {
		if utilization >= 0.25 {
			return 3
		}
		return 1
	}
	run := func(unlearned bool) *speedFleet {
		f := newSpeedFleet(4, speeds...)
		f.unlearned = unlearned
		f.run(0.75*f.capacity(), 90*time.Second)
		return f
	}
	learned, unlearned := run(false), run(true)
	with, without := learned.inTime(30*time.Second, 89*time.Second, simObjective), unlearned.inTime(30*time.Second, 89*time.Second, simObjective)
	crowding := 0.0
	for _, table := range learned.tables {
		crowding = max(crowding, table.find("d00").speed.crowding.Factor(0.4))
	}
	t.Logf("in time %.3f with, %.3f without; share of the engine %.3f and %.3f; crowding %.2f", with, without,
		learned.share(30*time.Second, 89*time.Second, "d00"), unlearned.share(30*time.Second, 89*time.Second, "d00"), crowding)
	require.Greater(t, with, without+0.02)
	require.Greater(t, crowding, 1.3)
}

// TestStatedFactorIsUsedWhileFresh guards against a server whose instance is busy with other
// work and gets requests as if it were not, and against a statement that counts long after
// it was made.
func TestStatedFactorIsUsedWhileFresh(t *testing.T) {
	table := NewTable(DefaultOptions("here"), nil)
	a, b := engine("a", fleet.StageWhole, "here"), engine("b", fleet.StageWhole, "here")
	table.SetServers(nil, []fleet.Server{a, b})
	now := time.Second
	for range 200 {
		now += 100 * time.Millisecond
		table.RecordLoad(now, "a", Load{Slots: 16, WorkPercent: 100})
		table.RecordLoad(now, "b", Load{Slots: 16, WorkPercent: 110})
	}
	chosen := func(now time.Duration) string {
		c, err := table.Choose(now, Request{})
		require.NoError(t, err)
		return c.Server.ID
	}
	require.Equal(t, "a", chosen(now+time.Second), "its work usually takes less time")
	table.RecordLoad(now, "a", Load{Slots: 16, WorkPercent: 300})
	require.Equal(t, "b", chosen(now+50*time.Millisecond), "busy at the moment")
	require.Equal(t, "a", chosen(now+time.Second), "the statement has aged")
	table.RecordLoad(now, "a", Load{Slots: 16, WorkPercent: math.NaN()})
	table.RecordLoad(now, "a", Load{Slots: 16, WorkPercent: -5})
	require.Equal(t, "a", chosen(now+time.Second), "faulty statements are ignored")
}

// TestPlainServersOfBusyInstances checks calls of plain servers whose instances are three times
// as slow for a part of each second, and of which one is always slow.
func TestPlainServersOfBusyInstances(t *testing.T) {
	run := func(unlearned bool) float64 {
		f := newSpeedFleet(4)
		f.spec = nil
		for i := range 4 {
			server := engine(fmt.Sprint("s", i), fleet.StageWhole, "here")
			server.Slots = 4
			usual := []float64{1, 1, 1, 1.6}[i]
			f.servers = append(f.servers, &simServer{Server: server, states: true, slowdown: func(now time.Duration, _ float64) float64 {
				if (now/(300*time.Millisecond)+time.Duration(i))%4 == 0 {
					return 3 * usual
				}
				return usual
			}})
		}
		f.addGateways(4)
		f.unlearned = unlearned
		f.run(500, 30*time.Second)
		return f.inTime(5*time.Second, 29*time.Second, 40*time.Millisecond)
	}
	with, without := run(false), run(true)
	t.Logf("in time %.3f with the stated factors, %.3f without", with, without)
	require.Greater(t, with, without+0.03)
}
