package serverlimit

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
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

const serverID = "i-1"

var theServer = Server{ID: serverID, StartedUnixMs: 1}

func limited(rate float64) Statement { return Statement{Rate: rate, Limited: true} }

// sendAll sends a request whenever the limit allows it, from one time to another,
// and returns the times.
func sendAll(b *Book, from, until time.Duration) []time.Duration {
	var sent []time.Duration
	for now := from; now < until; now += time.Millisecond {
		if b.Allows(now, serverID) {
			b.Charge(now, serverID)
			sent = append(sent, now)
		}
	}
	return sent
}

func TestUnlimitedServersAreNotPaced(t *testing.T) {
	b := New("a", 1)
	b.Charge(0, serverID)
	require.True(t, b.Allows(0, serverID))
	require.Empty(t, b.Reports(0))
}

// TestShareOfLimit checks the rate that a gateway uses, by the number of gateways
// known, and that it is spaced evenly.
func TestShareOfLimit(t *testing.T) {
	for _, c := range []struct {
		rate          float64
		gateways, min int
		want          int
	}{{10, 1, 1, 100}, {10, 2, 1, 50}, {10, 1, 4, 25}, {0.5, 1, 1, 5}, {0, 1, 1, 1}} {
		b := New("a", c.min)
		b.SetGateways(0, []string{"a", "b"}[:c.gateways])
		change, changed := b.Observe(0, theServer, 0, limited(c.rate))
		require.True(t, changed)
		require.Equal(t, c.gateways, change.Gateways)
		sent := sendAll(b, 0, 10*time.Second)
		require.InDelta(t, c.want, len(sent), 1, "%+v", c)
		for i := range len(sent) - 1 {
			require.Greater(t, sent[i+1]-sent[i], time.Duration(float64(time.Second)/change.Share)-2*time.Millisecond)
		}
	}
}

// TestFewGatewaysSendToSlowServer checks that the number of gateways that send to a
// server is bounded by its limit, and that the whole limit is used.
func TestFewGatewaysSendToSlowServer(t *testing.T) {
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprint("gateway", i))
	}
	share := 0.0
	sending := 0
	for _, name := range names {
		b := New(name, 4)
		b.SetGateways(0, names)
		change, _ := b.Observe(0, theServer, 0, limited(6.6))
		share += change.Share
		if change.Share > 0 {
			sending++
		}
	}
	require.Equal(t, 10, sending)
	require.InDelta(t, 6.6, share, 1e-9)
}

// TestLateAnswerDoesNotWithdrawLimit checks that an answer without a limit
// withdraws it only if the request was sent after the limit had been stated.
func TestLateAnswerDoesNotWithdrawLimit(t *testing.T) {
	b := New("a", 1)
	b.Observe(time.Second, theServer, 0, limited(5))
	_, changed := b.Observe(1100*time.Millisecond, theServer, 900*time.Millisecond, Statement{})
	require.False(t, changed)
	require.True(t, b.Limited(serverID))
	change, changed := b.Observe(1300*time.Millisecond, theServer, 1200*time.Millisecond, Statement{})
	require.True(t, changed)
	require.Equal(t, limited(5), change.Before)
	require.False(t, b.Limited(serverID))
}

// TestNewestReportWins checks that a gateway that has not asked a server learns its
// limit, and its withdrawal, from another one, and that older reports are ignored.
func TestNewestReportWins(t *testing.T) {
	a, b := New("a", 1), New("b", 1)
	a.Observe(time.Second, theServer, 0, limited(5))
	b.Merge(1200*time.Millisecond, a.Reports(1200 * time.Millisecond)[0])
	require.True(t, b.Limited(serverID))
	old := a.Reports(1300 * time.Millisecond)[0]
	a.Observe(2*time.Second, theServer, 1500*time.Millisecond, Statement{})
	b.Merge(2100*time.Millisecond, a.Reports(2100 * time.Millisecond)[0])
	require.False(t, b.Limited(serverID))
	old.Age += 900 * time.Millisecond
	b.Merge(2200*time.Millisecond, old)
	require.False(t, b.Limited(serverID))
	require.Empty(t, b.Reports(2*time.Second+withdrawalTTL))
}

// TestReportsAreBounded checks that the newest limits are reported and that those
// of removed servers are dropped.
func TestReportsAreBounded(t *testing.T) {
	b := New("a", 1)
	for i := range 2 * maxReports {
		b.Observe(time.Duration(i)*time.Second, Server{fmt.Sprint("i-", i), 1}, 0, limited(5))
	}
	reports := b.Reports(time.Minute)
	require.Len(t, reports, maxReports)
	require.Equal(t, fmt.Sprint("i-", 2*maxReports-1), reports[0].ID)
	b.Retain(time.Minute, []Server{{"i-3", 1}})
	require.Len(t, b.Reports(time.Minute), 1)
}

// The bounds that a limited server's owner checks: from notice after the first
// statement, the requests in any window, of the gateways that have been notified
// for some time, are at most factor times the limit, plus slack.
const (
	notice        = 3 * time.Second
	window        = 4 * time.Second
	factor, slack = 1.5, 5
	notifiedFor   = 500 * time.Millisecond
)

// fleet simulates gateways that send to one server as fast as they may.
type fleet struct {
	random   *rand.Rand
	gateways map[string]*gateway
	// statement is what the server states at present.
	statement Statement
	answers   []answer
	arrivals  []arrival
	starts    int
}

// gateway is one gateway with its demand in requests per second.
type gateway struct {
	book      *Book
	demand    float64
	startedAt time.Duration
	// notifiedAt is the time of the first answer with a limit; negative before.
	notifiedAt time.Duration
	// cutUntil is the time until which it exchanges no heartbeats.
	cutUntil time.Duration
}

type answer struct {
	at, sentAt time.Duration
	gateway    *gateway
	statement  Statement
}

type arrival struct {
	at      time.Duration
	gateway *gateway
	// excused is set if the gateway had not been notified for long enough or had
	// just started.
	excused bool
}

// step is the resolution of the simulation.
const step = 10 * time.Millisecond

// start starts or restarts a gateway, which knows only itself at first.
func (f *fleet) start(now time.Duration, name string) {
	f.gateways[name] = &gateway{
		book: New(name, 4), demand: 1 + 40*f.random.Float64(), startedAt: now, notifiedAt: -1,
	}
	f.starts++
}

// advance simulates one step.
func (f *fleet) advance(now time.Duration) {
	names := make([]string, 0, len(f.gateways))
	for name := range f.gateways {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		g := f.gateways[name]
		if now-g.startedAt == 500*time.Millisecond || now%time.Second == 0 && now-g.startedAt > time.Second {
			g.book.SetGateways(now, names)
		}
		if f.random.Float64() < g.demand*step.Seconds() && g.book.Allows(now, serverID) {
			f.send(now, g)
		}
		if f.random.Float64() < step.Seconds()/0.1 {
			f.exchange(now, g, f.gateways[names[f.random.IntN(len(names))]])
		}
	}
	f.answers = slices.DeleteFunc(f.answers, func(a answer) bool {
		if a.at > now {
			return false
		}
		a.gateway.book.Observe(now, theServer, a.sentAt, a.statement)
		if a.statement.Limited && a.gateway.notifiedAt < 0 {
			a.gateway.notifiedAt = now
		}
		return true
	})
}

// send sends a request, which is answered up to a second later.
func (f *fleet) send(now time.Duration, g *gateway) {
	g.book.Charge(now, serverID)
	excused := g.notifiedAt < 0 || now-g.notifiedAt < notifiedFor || g.startedAt > 0 && now-g.startedAt < notice
	f.arrivals = append(f.arrivals, arrival{at: now, gateway: g, excused: excused})
	latency := time.Duration(5+f.random.IntN(300)) * time.Millisecond
	f.answers = append(f.answers, answer{at: now + latency, sentAt: now, gateway: g, statement: f.statement})
}

// exchange exchanges the heartbeats of two gateways unless one is cut off.
func (f *fleet) exchange(now time.Duration, a, b *gateway) {
	if now < a.cutUntil || now < b.cutUntil {
		return
	}
	fromA, fromB := a.book.Reports(now), b.book.Reports(now)
	for _, r := range fromA {
		b.book.Merge(now+5*time.Millisecond, r)
	}
	for _, r := range fromB {
		a.book.Merge(now+5*time.Millisecond, r)
	}
}

// most returns the largest number of counted requests in any window.
func (f *fleet) most(from, until time.Duration) int {
	var times []time.Duration
	for _, a := range f.arrivals {
		if !a.excused && a.at >= from && a.at < until {
			times = append(times, a.at)
		}
	}
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Gateways that learn of a limit at different moments, and are killed, cut off and
// added, must keep to it in sum, and must use the server again once the limit is
// withdrawn.
func TestFleetKeepsToServerLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(rt, "gateways")
		rate := rapid.Float64Range(0.2, 40).Draw(rt, "rate")
		changed := rapid.Float64Range(0.2, 40).Draw(rt, "changed rate")
		f := &fleet{random: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0)), gateways: make(map[string]*gateway)}
		for i := range count {
			f.start(0, fmt.Sprint("gateway", i))
			f.gateways[fmt.Sprint("gateway", i)].startedAt = -time.Minute
			f.gateways[fmt.Sprint("gateway", i)].book.SetGateways(0, namesOf(count))
		}
		const stated, changedAt, withdrawnAt, end = time.Second, 12 * time.Second, 20 * time.Second, 32 * time.Second
		for now := time.Duration(0); now < end; now += step {
			switch now {
			case stated:
				f.statement = limited(rate)
			case changedAt:
				f.statement = limited(changed)
			case withdrawnAt:
				f.statement = Statement{}
			}
			if now%(500*time.Millisecond) == 0 && now < withdrawnAt {
				f.disturb(rt, now)
			}
			f.advance(now)
		}
		require.LessOrEqual(rt, float64(f.most(stated+notice, changedAt)), factor*rate*window.Seconds()+slack, "rate %v", rate)
		require.LessOrEqual(rt, float64(f.most(changedAt+notice, withdrawnAt)), factor*changed*window.Seconds()+slack, "changed rate %v", changed)
		if changed > 1 {
			for name, g := range f.gateways {
				require.False(rt, g.book.Limited(serverID), "%s does not know that the limit was withdrawn", name)
			}
		}
	})
}

func namesOf(count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprint("gateway", i))
	}
	return names
}

// disturb kills, cuts off or adds a gateway.
func (f *fleet) disturb(rt *rapid.T, now time.Duration) {
	name := fmt.Sprint("gateway", rapid.IntRange(0, len(f.gateways)-1).Draw(rt, "which"))
	switch rapid.IntRange(0, 5).Draw(rt, "disturbance") {
	case 0:
		f.start(now, name)
	case 1:
		f.gateways[name].cutUntil = now + time.Duration(rapid.IntRange(1, 5).Draw(rt, "cut seconds"))*time.Second
	case 2:
		f.start(now, fmt.Sprint("gateway", len(f.gateways)))
	}
}

// TestLimitHoldsForOneStart checks missing registrations and a next start.
func TestLimitHoldsForOneStart(t *testing.T) {
	state := func() *Book {
		b := New("a", 1)
		b.Observe(time.Second, theServer, 0, limited(0.5))
		return b
	}
	for name, registered := range map[string][]Server{"registered": {theServer}, "missing": nil, "an earlier start": {{serverID, 0}}} {
		b := state()
		b.Retain(2*time.Second, registered)
		require.True(t, b.Limited(serverID), name)
	}
	b := state()
	b.Retain(2*time.Second, []Server{{ID: serverID, StartedUnixMs: 2}})
	require.False(t, b.Limited(serverID))
}
