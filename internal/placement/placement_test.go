package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

var spec = &fleet.EngineSpec{Slots: 16, KVBytesPerToken: 100_000, LinkMbps: 740_000}

func engine(id string, stage fleet.Stage, domain string) fleet.Server {
	return fleet.Server{ID: id, Address: "10.0.0.1:1", Stage: stage, FailureDomain: domain, Slots: 16}
}

// engines returns engines of each stage, all in the same failure domain.
func engines(prefills, decodes int) []fleet.Server {
	var list []fleet.Server
	for i := range prefills {
		list = append(list, engine(fmt.Sprintf("p%d", i), fleet.StagePrefill, "here"))
	}
	for i := range decodes {
		list = append(list, engine(fmt.Sprintf("d%d", i), fleet.StageDecode, "here"))
	}
	return list
}

// waitingWork returns waiting work of the most urgent priority.
func waitingWork(work float64) QueuedWork {
	return QueuedWork{Waiting: [PriorityLevels]float64{work}}
}

func newTable(servers []fleet.Server) *Table {
	t := NewTable(DefaultOptions("here"), spec)
	t.SetServers(spec, servers)
	return t
}

// long returns a request whose prompt consists mostly of a shared part.
func long(part, own int) Request {
	return Request{
		Parts:        []PromptPart{{ID: fmt.Sprintf("part%d", part), Tokens: 13_000}, {ID: fmt.Sprintf("own%d", own), Tokens: 4000}},
		PromptTokens: 17_000, BodyBytes: 34_000, Objective: 600 * time.Millisecond, FirstEventBudget: 600 * time.Millisecond,
	}
}

func short(own int) Request {
	return Request{
		Parts:        []PromptPart{{ID: "s", Tokens: 50}, {ID: fmt.Sprintf("own%d", own), Tokens: 300}},
		PromptTokens: 350, BodyBytes: 800, Objective: 300 * time.Millisecond, FirstEventBudget: 300 * time.Millisecond,
	}
}

func recordSend(t *Table, now time.Duration, c Choice, r Request) *InFlightSend {
	id, first := c.Server.ID, c.TimeToFirstEvent
	if c.Split {
		id, first = c.PrefillServer.ID, c.TimeToPrefilled
	}
	return t.RecordSend(now, Send{ServerID: id, UncachedTokens: c.UncachedTokens, PromptTokens: r.PromptTokens, Parts: r.Parts, Priority: c.Priority, TimeToFirstEvent: first})
}

func TestOnlyLongPromptsAreSplit(t *testing.T) {
	table := newTable(engines(3, 6))
	c, err := table.Choose(0, long(1, 1))
	require.NoError(t, err)
	require.True(t, c.Split)
	require.Equal(t, fleet.StagePrefill, c.PrefillServer.Stage)
	require.Equal(t, fleet.StageDecode, c.Server.Stage)
	c, err = table.Choose(0, short(1))
	require.NoError(t, err)
	require.False(t, c.Split)
}

// Gateways that do not know each other's requests must send prompts with the
// same shared part to the same engine. Otherwise several engines would prefill
// the part.
func TestGatewaysAgreeOnTheHomeEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := engines(5, 7)
		a, b := newTable(servers), newTable(rapid.Permutation(servers).Draw(t, "order"))
		part := rapid.IntRange(0, 1000).Draw(t, "part")
		ca, errA := a.Choose(0, long(part, 1))
		cb, errB := b.Choose(0, long(part, 2))
		if errA != nil || errB != nil || ca.PrefillServer.ID != cb.PrefillServer.ID {
			t.Fatalf("prompts with part %d are sent to %s by one gateway and to %s by another", part, ca.PrefillServer.ID, cb.PrefillServer.ID)
		}
	})
}

// The removal of an engine must move only the prompts whose home it was.
// Otherwise the remaining engines would prefill shared parts that are cached
// elsewhere.
func TestHomeChangesOnlyWhenItsEngineIsRemoved(t *testing.T) {
	all, fewer := newTable(engines(5, 7)), newTable(engines(5, 7)[1:])
	for part := range 200 {
		before, err := all.Choose(0, long(part, 1))
		require.NoError(t, err)
		after, err := fewer.Choose(0, long(part, 1))
		require.NoError(t, err)
		if before.PrefillServer.ID != "p0" {
			require.Equal(t, before.PrefillServer.ID, after.PrefillServer.ID)
		}
	}
}

// An engine may fetch parts only from an engine known to have prefilled them.
func TestFetchRequiresAKnownSource(t *testing.T) {
	table := newTable(engines(2, 2))
	home, err := table.Choose(0, long(1, 1))
	require.NoError(t, err)
	require.Empty(t, home.FetchFrom)
	elsewhere := long(1, 2)
	elsewhere.Exclude = []string{home.PrefillServer.ID}
	c, err := table.Choose(0, elsewhere)
	require.NoError(t, err)
	require.Empty(t, c.FetchFrom)
	require.Equal(t, 17_000, c.UncachedTokens)
	send := recordSend(table, 0, home, long(1, 1))
	table.RecordPrefilled(100*time.Millisecond, send)
	table.RecordEnd(100*time.Millisecond, send)
	c, err = table.Choose(time.Second, elsewhere)
	require.NoError(t, err)
	require.NotEmpty(t, c.FetchFrom)
	require.Equal(t, 4000, c.UncachedTokens)
	c, err = table.Choose(time.Second+2*partTTL, elsewhere)
	require.NoError(t, err)
	require.Empty(t, c.FetchFrom, "cached parts expire")
}

func TestLoadsOfOtherGatewaysCount(t *testing.T) {
	table := newTable(engines(0, 2))
	first, err := table.Choose(0, short(1))
	require.NoError(t, err)
	busy := []GatewayLoad{{ServerID: first.Server.ID, Requests: 12, Work: waitingWork(30_000)}}
	table.SetPeerLoads(0, "gateway-2", busy)
	c, err := table.Choose(0, short(2))
	require.NoError(t, err)
	require.NotEqual(t, first.Server.ID, c.Server.ID)
	table.SetPeerLoads(time.Millisecond, "gateway-2", nil)
	c, err = table.Choose(time.Millisecond, short(1))
	require.NoError(t, err)
	require.Equal(t, first.Server.ID, c.Server.ID, "an empty report clears the load of a gateway")
	table.SetPeerLoads(time.Second, "gateway-2", busy)
	c, err = table.Choose(time.Second+2*peerLoadTTL, short(1))
	require.NoError(t, err)
	require.Equal(t, first.Server.ID, c.Server.ID, "old loads are ignored")
}

func TestRefusalBackoff(t *testing.T) {
	table := newTable(engines(0, 2))
	first, err := table.Choose(0, short(1))
	require.NoError(t, err)
	table.RecordRefusal(0, first.Server.ID, 0)
	c, err := table.Choose(time.Millisecond, short(1))
	require.NoError(t, err)
	require.NotEqual(t, first.Server.ID, c.Server.ID)
	c, err = table.Choose(minRefusalBackoff, short(1))
	require.NoError(t, err)
	require.Equal(t, first.Server.ID, c.Server.ID)
}

func TestChooseWithoutUsableServer(t *testing.T) {
	leaving := engine("d", fleet.StageDecode, "here")
	leaving.Leaving = true
	// A server of stage whole is not an engine.
	for _, servers := range [][]fleet.Server{nil, {leaving}, {engine("w", fleet.StageWhole, "here")}, engines(3, 0)} {
		_, err := newTable(servers).Choose(0, short(1))
		require.ErrorIs(t, err, ErrNoServer)
	}
}

func TestPlainServersPreferOwnDomain(t *testing.T) {
	table := NewTable(DefaultOptions("here"), nil)
	near, far := engine("near", fleet.StageWhole, "here"), engine("far", fleet.StageWhole, "there")
	near.Slots, far.Slots = 4, 4
	table.SetServers(nil, []fleet.Server{far, near})
	c, err := table.Choose(0, Request{})
	require.NoError(t, err)
	require.Equal(t, "near", c.Server.ID)
	for range 16 {
		table.RecordSend(0, Send{ServerID: "near"})
	}
	c, err = table.Choose(0, Request{})
	require.NoError(t, err)
	require.Equal(t, "far", c.Server.ID)
}

// A server that has restarted has lost its requests and its cache, so that those
// of its earlier incarnation must not count.
func TestNewIncarnationStartsWithoutState(t *testing.T) {
	servers := engines(1, 1)
	table := newTable(servers)
	recordSend(table, 0, Choice{Server: servers[1]}, short(1))
	require.Equal(t, 1, table.find("d0").ownRequests)
	servers[1].StartedUnixMs = 5
	table.SetServers(spec, servers)
	require.Zero(t, table.find("d0").ownRequests)
	require.Empty(t, table.find("d0").cache.entries)
}

// If the end of a request is recorded twice, or its prefill after its end, the
// request must be subtracted from the load of the server only once.
func TestRecordEndIsIdempotent(t *testing.T) {
	table := newTable(engines(0, 1))
	send := recordSend(table, 0, Choice{Server: engine("d0", fleet.StageDecode, "here"), UncachedTokens: 500}, short(1))
	table.RecordEnd(0, send)
	table.RecordEnd(0, send)
	table.RecordPrefilled(0, send)
	require.Zero(t, table.find("d0").ownRequests)
	require.Zero(t, table.find("d0").queue.work(0, initialPrefillRate, false).total())
	table.RecordEnd(0, nil)
}

// simulateOverload sends three times as many long prompts as two engines can
// prefill and returns how many are prefilled in time. Like real engines, the
// simulated ones prefill urgent prompts first, in arrival order.
func simulateOverload(withDeferring bool) (inTime int) {
	const (
		rate     = 60.0 // prompt tokens per millisecond
		budgetMS = 600
		endMS    = 10_000
	)
	type job struct {
		send     *InFlightSend
		sentAt   int
		left     float64
		priority int
	}
	opts := DefaultOptions("here")
	// Keeps prefills off the busy decode engines, so that long prompts are
	// split.
	opts.InterferenceWeight = 1000
	table := NewTable(opts, spec)
	table.SetServers(spec, engines(2, 8))
	queues := map[string][]*job{}
	for ms := range endMS {
		now := time.Duration(ms) * time.Millisecond
		if ms%1000 == 0 {
			for _, s := range table.servers[2:] {
				table.SetPeerLoads(now, "gateway-"+s.ID, []GatewayLoad{{ServerID: s.ID, Requests: 8}})
			}
		}
		if ms%11 == 0 {
			r := long(ms%37, ms)
			r.Parts = nil
			r.PromptTokens, r.NoSplit = 4000, false
			if !withDeferring {
				r.FirstEventBudget = 0
			}
			c, err := table.Choose(now, r)
			if err == nil && c.Split {
				j := &job{send: recordSend(table, now, c, r), sentAt: ms, left: float64(c.UncachedTokens), priority: c.Priority}
				queues[c.PrefillServer.ID] = append(queues[c.PrefillServer.ID], j)
			}
		}
		for id, queue := range queues {
			next := -1
			for i, j := range queue {
				if next < 0 || j.priority < queue[next].priority {
					next = i
				}
			}
			if next < 0 {
				continue
			}
			if queue[next].left -= rate; queue[next].left > 0 {
				continue
			}
			done := queue[next]
			table.RecordPrefilled(now, done.send)
			table.RecordEnd(now, done.send)
			if ms-done.sentAt <= budgetMS {
				inTime++
			}
			queues[id] = append(queue[:next:next], queue[next+1:]...)
		}
	}
	return inTime
}

// At three times the capacity of the prefill engines, deferring late requests
// must keep a large share of the capacity for requests that are still in time.
// Without it the queue makes nearly all requests late.
func TestDeferringKeepsCapacityUnderOverload(t *testing.T) {
	// capacity is the number of prompts of 4000 tokens that two engines can
	// prefill in 10 s at 60 tokens per millisecond.
	const capacity = 2 * 10_000 * 60 / 4000
	with, without := simulateOverload(true), simulateOverload(false)
	t.Logf("in time: %d with deferring, %d without, capacity of both engines %d", with, without, capacity)
	require.Greater(t, with, capacity/2)
	require.Less(t, without, capacity/2)
}

func BenchmarkChoose40(b *testing.B) {
	table := newTable(engines(18, 22))
	r := long(1, 1)
	for i := 0; b.Loop(); i++ {
		if _, err := table.Choose(time.Duration(i), r); err != nil {
			b.Fatal(err)
		}
	}
}

// A long prompt would interrupt the streams of a busy decode engine and is
// prefilled elsewhere. For a short one the detour over a second engine costs
// more.
func TestLongPromptsAvoidBusyDecodeEngines(t *testing.T) {
	for _, c := range []struct {
		tokens int
		split  bool
	}{{30, false}, {17_000, true}} {
		table := newTable(engines(2, 4))
		for i := range 4 {
			table.SetPeerLoads(0, fmt.Sprint("gw-", i), []GatewayLoad{{ServerID: fmt.Sprint("d", i), Requests: 3}})
		}
		r := Request{PromptTokens: c.tokens, FirstEventBudget: 600 * time.Millisecond}
		got, err := table.Choose(0, r)
		require.NoError(t, err)
		require.Equal(t, c.split, got.Split, "%d tokens", c.tokens)
	}
}

// A backlog reported by another gateway must count in full until the next
// report or until it expires, because that gateway keeps sending.
func TestPeerBacklogStaysUntilItExpires(t *testing.T) {
	table := newTable(engines(1, 1))
	table.SetPeerLoads(0, "gw-2", []GatewayLoad{{ServerID: "p0", Requests: 1, Work: waitingWork(9000)}})
	p0 := table.find("p0")
	require.Equal(t, 9000.0, p0.backlogAhead(peerLoadTTL-1, table.prefillRate.perSecond, 0))
	require.Zero(t, p0.backlogAhead(peerLoadTTL, table.prefillRate.perSecond, 0))
	table.RecordSend(0, Send{ServerID: "p0", UncachedTokens: 9000, PromptTokens: 9000})
	require.Less(t, p0.backlogAhead(50*time.Millisecond, table.prefillRate.perSecond, 0), 9000+prefillWork(9000, 9000), "the own prompt in service shrinks")
}
