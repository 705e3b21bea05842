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

// engines returns so many engines of each stage in one failure domain.
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

func newTable(servers []fleet.Server) *Table {
	t := NewTable(DefaultOptions("here"), spec)
	t.SetServers(spec, servers)
	return t
}

// long is a prompt of which most is shared.
func long(part, own int) Request {
	return Request{
		Parts:        []PromptPart{{ID: fmt.Sprintf("part%d", part), Tokens: 13_000}, {ID: fmt.Sprintf("own%d", own), Tokens: 4000}},
		PromptTokens: 17_000, BodyBytes: 34_000, FirstEventBudget: 600 * time.Millisecond,
	}
}

func short(own int) Request {
	return Request{
		Parts:        []PromptPart{{ID: "s", Tokens: 50}, {ID: fmt.Sprintf("own%d", own), Tokens: 300}},
		PromptTokens: 350, BodyBytes: 800, FirstEventBudget: 300 * time.Millisecond,
	}
}

func sentTo(t *Table, now time.Duration, c Choice, r Request) *InFlightSend {
	id, first := c.Server.ID, c.TimeToFirstEvent
	if c.Split {
		id, first = c.PrefillServer.ID, c.TimeToPrefilled
	}
	return t.RecordSend(now, Send{ServerID: id, UncachedTokens: c.UncachedTokens, PromptTokens: r.PromptTokens, Parts: r.Parts, Deferred: c.Deferred, TimeToFirstEvent: first})
}

func TestLongPromptsAreSplitAndShortOnesAreNot(t *testing.T) {
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

func TestGatewaysAgreeOnAPromptsHome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := engines(5, 7)
		a, b := newTable(servers), newTable(rapid.Permutation(servers).Draw(t, "order"))
		part := rapid.IntRange(0, 1000).Draw(t, "part")
		ca, errA := a.Choose(0, long(part, 1))
		cb, errB := b.Choose(0, long(part, 2))
		if errA != nil || errB != nil || ca.PrefillServer.ID != cb.PrefillServer.ID {
			t.Fatalf("prompts with part %d go to %s and %s", part, ca.PrefillServer.ID, cb.PrefillServer.ID)
		}
	})
}

func TestHomesMoveOnlyWithTheirEngine(t *testing.T) {
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

// An engine fetches only what its source is known to have read.
func TestFetchNeedsAKnownSource(t *testing.T) {
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
	k := sentTo(table, 0, home, long(1, 1))
	table.RecordPrefilled(100*time.Millisecond, k)
	table.RecordEnd(k)
	c, err = table.Choose(time.Second, elsewhere)
	require.NoError(t, err)
	require.NotEmpty(t, c.FetchFrom)
	require.Equal(t, 4000, c.UncachedTokens)
	c, err = table.Choose(time.Second+2*partLife, elsewhere)
	require.NoError(t, err)
	require.Empty(t, c.FetchFrom, "parts do not stay in a cache for ever")
}

func TestOtherGatewaysLoadsCount(t *testing.T) {
	table := newTable(engines(0, 2))
	first, err := table.Choose(0, short(1))
	require.NoError(t, err)
	busy := []GatewayLoad{{ServerID: first.Server.ID, Requests: 12, UrgentWork: 30_000}}
	table.SetPeerLoads(0, "gateway-2", busy)
	c, err := table.Choose(0, short(2))
	require.NoError(t, err)
	require.NotEqual(t, first.Server.ID, c.Server.ID)
	table.SetPeerLoads(time.Millisecond, "gateway-2", nil)
	c, err = table.Choose(time.Millisecond, short(1))
	require.NoError(t, err)
	require.Equal(t, first.Server.ID, c.Server.ID, "a gateway that names no load has none")
	table.SetPeerLoads(time.Second, "gateway-2", busy)
	c, err = table.Choose(time.Second+2*peerLife, short(1))
	require.NoError(t, err)
	require.Equal(t, first.Server.ID, c.Server.ID, "old loads count no more")
}

func TestServersThatRefuseAreLeftAloneForAWhile(t *testing.T) {
	table := newTable(engines(0, 2))
	first, err := table.Choose(0, short(1))
	require.NoError(t, err)
	table.RecordRefusal(0, first.Server.ID)
	c, err := table.Choose(time.Millisecond, short(1))
	require.NoError(t, err)
	require.NotEqual(t, first.Server.ID, c.Server.ID)
	c, err = table.Choose(leastRefusedPause, short(1))
	require.NoError(t, err)
	require.Equal(t, first.Server.ID, c.Server.ID)
}

func TestNoServer(t *testing.T) {
	leaving := engine("d", fleet.StageDecode, "here")
	leaving.Leaving = true
	// A server of engines without a stage is no engine.
	for _, servers := range [][]fleet.Server{nil, {leaving}, {engine("w", fleet.StageWhole, "here")}, engines(3, 0)} {
		_, err := newTable(servers).Choose(0, short(1))
		require.ErrorIs(t, err, ErrNoServer)
	}
}

func TestPlainServersOfTheOwnDomainFirst(t *testing.T) {
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

func TestALaterIncarnationKnowsNothing(t *testing.T) {
	servers := engines(1, 1)
	table := newTable(servers)
	sentTo(table, 0, Choice{Server: servers[1]}, short(1))
	require.Equal(t, 1, table.find("d0").own)
	servers[1].StartedUnixMs = 5
	table.SetServers(spec, servers)
	require.Zero(t, table.find("d0").own)
	require.Empty(t, table.find("d0").cache.entries)
}

// Tickets of an incarnation that is gone must not count at the next one.
func TestEndsAreCountedOnce(t *testing.T) {
	table := newTable(engines(0, 1))
	k := sentTo(table, 0, Choice{Server: engine("d0", fleet.StageDecode, "here"), UncachedTokens: 500}, short(1))
	table.RecordEnd(k)
	table.RecordEnd(k)
	table.RecordPrefilled(0, k)
	require.Zero(t, table.find("d0").own)
	require.Zero(t, table.find("d0").ownWork.urgent)
	table.RecordEnd(nil)
}

// playOverload sends three times as many long prompts as two engines can
// prefill, and returns how many come in time. Engines take urgent prompts
// first, and among these the oldest, as the platform's do.
func playOverload(deferring bool) (inTime int) {
	const (
		rate     = 60.0 // prompt tokens in a millisecond
		objectMS = 600
		endMS    = 10_000
	)
	type job struct {
		ticket   *InFlightSend
		sentAt   int
		left     float64
		deferred bool
	}
	opts := DefaultOptions("here")
	// Decode engines are busy, so that long prompts are prefilled apart.
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
			if !deferring {
				r.FirstEventBudget = 0
			}
			c, err := table.Choose(now, r)
			if err == nil && c.Split {
				j := &job{ticket: sentTo(table, now, c, r), sentAt: ms, left: float64(c.UncachedTokens), deferred: c.Deferred}
				queues[c.PrefillServer.ID] = append(queues[c.PrefillServer.ID], j)
			}
		}
		for id, queue := range queues {
			next := -1
			for i, j := range queue {
				if next < 0 || queue[next].deferred && !j.deferred {
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
			table.RecordPrefilled(now, done.ticket)
			table.RecordEnd(done.ticket)
			if ms-done.sentAt <= objectMS {
				inTime++
			}
			queues[id] = append(queue[:next:next], queue[next+1:]...)
		}
	}
	return inTime
}

// Load: long prompts at three times what the prefill engines can carry.
// Callers get answers in time from what they carry; without deferring, the
// queue makes nearly all late.
func TestOverloadStillServesInTimeWhatFits(t *testing.T) {
	const carried = 2 * 10_000 * 60 / 4000
	with, without := playOverload(true), playOverload(false)
	t.Logf("in time with deferring %d, without %d, of %d that two engines carry", with, without, carried)
	require.Greater(t, with, carried/2)
	require.Less(t, without, carried/2)
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

// A long prompt is kept from decode engines whose streams it would make pause;
// a short one is not worth the way over two engines there.
func TestLongPromptsAreKeptFromBusyDecodeEngines(t *testing.T) {
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

// What another gateway told of its queues stands until it tells anew or the
// news is old: it goes on sending.
func TestToldQueuesStand(t *testing.T) {
	table := newTable(engines(1, 1))
	table.SetPeerLoads(0, "gw-2", []GatewayLoad{{ServerID: "p0", Requests: 1, UrgentWork: 9000}})
	p0 := table.find("p0")
	require.Equal(t, 9000.0, p0.queued(peerLife-1, table.rate.perSecond, false))
	require.Zero(t, p0.queued(peerLife, table.rate.perSecond, false))
	table.RecordSend(0, Send{ServerID: "p0", UncachedTokens: 9000, PromptTokens: 9000})
	require.Less(t, p0.queued(50*time.Millisecond, table.rate.perSecond, false), 9000+p0.ownWork.urgent, "own work is being done")
}
