package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/platform"
)

const agentAddress = "10.0.0.1:7001"

func newTable() *Table {
	t := NewTable(0)
	t.SetConfigured([]ConfiguredServer{{Name: "e1", Agent: agentAddress}})
	return t
}

func heartbeat(incarnation, seq uint64, leaving bool, state peerv1.ServerState) *peerv1.Heartbeat {
	return &peerv1.Heartbeat{
		Address: agentAddress, Incarnation: incarnation, Leaving: leaving,
		Loads: []*peerv1.Load{{BackendServer: "e1", Seq: seq, State: state}},
	}
}

// TestReason checks the reason that results from short sequences of evidence.
func TestReason(t *testing.T) {
	const serving = peerv1.ServerState_SERVER_STATE_SERVING
	s := time.Second
	for _, c := range []struct {
		name string
		do   func(*Table)
		at   time.Duration
		want Reason
	}{
		{"not configured", func(t *Table) { t.SetConfigured(nil) }, s, NotConfigured},
		{"no heartbeat yet", func(*Table) {}, s, HeartbeatMissing},
		{"heartbeat received", func(t *Table) { t.ObserveHeartbeat(heartbeat(1, 1, false, serving), s) }, 2 * s, Routable},
		{"heartbeat without a load report of the server", func(t *Table) {
			t.ObserveHeartbeat(&peerv1.Heartbeat{Address: agentAddress, Incarnation: 1}, s)
		}, s, HeartbeatMissing},
		{"heartbeat timeout", func(t *Table) { t.ObserveHeartbeat(heartbeat(1, 1, false, serving), s) }, 4 * s, HeartbeatMissing},
		{"leaving", func(t *Table) { t.ObserveHeartbeat(heartbeat(1, 1, true, serving), s) }, s, Leaving},
		{"leaving is not revoked within an incarnation", func(t *Table) {
			t.ObserveHeartbeat(heartbeat(1, 1, true, serving), s)
			t.ObserveHeartbeat(heartbeat(1, 2, false, serving), s)
		}, s, Leaving},
		{"new incarnation after leaving", func(t *Table) {
			t.ObserveHeartbeat(heartbeat(1, 1, true, serving), s)
			t.ObserveHeartbeat(heartbeat(2, 1, false, serving), s)
		}, s, Routable},
		{"late heartbeat of an earlier incarnation", func(t *Table) {
			t.ObserveHeartbeat(heartbeat(2, 1, false, serving), s)
			t.ObserveHeartbeat(heartbeat(1, 9, true, serving), s)
		}, s, Routable},
		{"listed by address", func(t *Table) {
			t.ObserveHeartbeat(heartbeat(1, 1, false, serving), s)
			t.SetListedLeaving([]string{"10.0.0.1"})
		}, s, ListedLeaving},
		{"the platform list alone does not make it routable", func(t *Table) { t.SetListedLeaving(nil) }, s, HeartbeatMissing},
		{"drained", func(t *Table) {
			t.ObserveHeartbeat(heartbeat(1, 1, false, serving), s)
			t.SetConfigured([]ConfiguredServer{{Name: "e1", Agent: agentAddress, Drain: true}})
		}, s, DrainConfigured},
		{"changing", func(t *Table) {
			t.ObserveHeartbeat(heartbeat(1, 1, false, peerv1.ServerState_SERVER_STATE_CHANGING), s)
		}, s, Changing},
		{"older load report", func(t *Table) {
			t.ObserveHeartbeat(heartbeat(1, 5, false, serving), s)
			t.ObserveLoad(1, heartbeat(1, 4, false, peerv1.ServerState_SERVER_STATE_DOWN).Loads[0])
		}, s, Routable},
		{"send failed", func(t *Table) {
			t.ObserveHeartbeat(heartbeat(1, 1, false, serving), s)
			t.Observe(agentAddress, Event{Kind: SendFailed}, s)
		}, 2 * s, Unreachable},
		{"send failed, relayed heartbeat", func(t *Table) {
			t.ObserveHeartbeat(heartbeat(1, 1, false, serving), s)
			t.Observe(agentAddress, Event{Kind: SendFailed}, 2*s)
			t.Observe(agentAddress, Event{Kind: Relayed, Incarnation: 1}, 3*s)
		}, 4 * s, Unreachable},
		{"direct heartbeat after a failed send", func(t *Table) {
			t.Observe(agentAddress, Event{Kind: SendFailed}, s)
			t.ObserveHeartbeat(heartbeat(1, 1, false, serving), 2*s)
		}, 2 * s, Routable},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newTable()
			c.do(table)
			require.Equal(t, c.want, table.Reason("e1", c.at))
		})
	}
}

// timedEvent is one event with its time.
type timedEvent struct {
	at time.Duration
	ev Event
}

// evaluateLog is the reference implementation of Evaluate: it scans the whole
// event log each time.
func evaluateLog(log []timedEvent, reported bool, now time.Duration) Reason {
	var newest uint64
	for _, l := range log {
		newest = max(newest, l.ev.Incarnation)
	}
	lastSeen, lastDirect, leaving := time.Duration(-1<<62), time.Duration(-1<<62), false
	for _, l := range log {
		if l.ev.Kind == SendFailed || l.ev.Incarnation < newest {
			continue
		}
		leaving = leaving || l.ev.Leaving
		lastSeen = max(lastSeen, l.at-l.ev.Age)
		if l.ev.Kind == Heartbeat {
			lastDirect = max(lastDirect, l.at)
		}
	}
	if leaving {
		return Leaving
	}
	if newest == 0 || now-lastSeen >= DefaultSuspectAfter || !reported {
		return HeartbeatMissing
	}
	for i, l := range log {
		if l.ev.Kind == SendFailed && l.at >= lastDirect && now-l.at < DefaultSuspectAfter && hasHeartbeat(log[:i], newest) {
			return Unreachable
		}
	}
	return Routable
}

// hasHeartbeat reports whether the log contains a heartbeat of an incarnation,
// direct or relayed.
func hasHeartbeat(log []timedEvent, incarnation uint64) bool {
	for _, l := range log {
		if l.ev.Kind != SendFailed && l.ev.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// TestEvaluateMatchesEventLogScan compares the incrementally updated evidence
// with the reference implementation over random events.
func TestEvaluateMatchesEventLogScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p ProcessEvidence
		var log []timedEvent
		now := 10 * time.Second
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
			ev := Event{Kind: EventKind(rapid.IntRange(0, 2).Draw(t, "kind"))}
			if ev.Kind != SendFailed {
				ev.Incarnation = rapid.Uint64Range(1, 4).Draw(t, "incarnation")
				ev.Leaving = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
			}
			if ev.Kind == Relayed {
				ev.Age = time.Duration(rapid.IntRange(0, 4000).Draw(t, "age")) * time.Millisecond
			}
			log = append(log, timedEvent{now, ev})
			p = p.Apply(ev, now)
			at := now + time.Duration(rapid.IntRange(0, 4000).Draw(t, "later"))*time.Millisecond
			var server ServerEvidence
			reported := rapid.Bool().Draw(t, "reported")
			if reported {
				server = server.Apply(1, &peerv1.Load{Seq: 1})
			}
			got := Evaluate(Evidence{Configured: true, Process: p, Server: server}, DefaultSuspectAfter, at)
			require.Equal(t, evaluateLog(log, reported, at), got)
		}
	})
}

func TestLeavingAddresses(t *testing.T) {
	require.Equal(t, []string{"10.0.0.2"}, LeavingAddresses([]platform.Object{
		{Value: []byte(`{"address":"10.0.0.1"}`)},
		{Value: []byte(`{"address":"10.0.0.2","leaving":true,"zone":"x"}`)},
		{Value: []byte(`broken`)},
	}))
}

func benchTable(n int) *Table {
	t := NewTable(0)
	configured := make([]ConfiguredServer, n)
	for i := range configured {
		configured[i] = ConfiguredServer{Name: fmt.Sprintf("e%d", i), Agent: fmt.Sprintf("10.0.%d.%d:7001", i/3/250, i/3%250)}
	}
	t.SetConfigured(configured)
	for i, c := range configured {
		t.ObserveHeartbeat(&peerv1.Heartbeat{Address: c.Agent, Incarnation: 1,
			Loads: []*peerv1.Load{{BackendServer: c.Name, Seq: uint64(i + 1)}}}, time.Second)
	}
	t.SetListedLeaving([]string{"10.9.9.9"})
	return t
}

func BenchmarkRoutable(b *testing.B) {
	for _, n := range []int{94, 470, 940} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := benchTable(n)
			b.ReportAllocs()
			for b.Loop() {
				for i := range n {
					if t.Reason(names[i], 2*time.Second) != Routable {
						b.Fatal("not routable")
					}
				}
			}
		})
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{94, 470, 940} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := benchTable(n)
			hb := &peerv1.Heartbeat{Address: "10.0.0.0:7001", Incarnation: 1, Loads: []*peerv1.Load{
				{BackendServer: "e0"}, {BackendServer: "e1"}, {BackendServer: "e2"}}}
			b.ReportAllocs()
			for b.Loop() {
				for _, l := range hb.Loads {
					l.Seq++
				}
				t.ObserveHeartbeat(hb, time.Second)
			}
		})
	}
}

var names = func() []string {
	all := make([]string, 940)
	for i := range all {
		all[i] = fmt.Sprintf("e%d", i)
	}
	return all
}()
