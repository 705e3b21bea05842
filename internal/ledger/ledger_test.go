package ledger

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	ledgerv1 "github.com/marigoldwing/marigoldwing/api/ledger/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

var epoch = time.UnixMilli(1_800_000_000_000)

// loadedLedger returns a Ledger that has loaded the records, for backend server
// "a", which is the home of all keys.
func loadedLedger(t testing.TB, records ...*ledgerv1.Record) *Ledger {
	l := New(Options{BackendServer: "a", Incarnation: 2, StartTime: epoch})
	l.SetHomes(Homes{{EffectiveFrom: epoch.Add(-time.Hour), Servers: []string{"a"}}}, 1, epoch)
	head := &ledgerv1.Head{Incarnation: 2, First: 1, Open: 2}
	require.NoError(t, l.Load(head, []*ledgerv1.Segment{{Number: 1, Records: records}}))
	return l
}

// TestLedgerBegin checks the decision for each recorded state of a call and for
// invalid keys.
func TestLedgerBegin(t *testing.T) {
	const intent, done = ledgerv1.RecordState_RECORD_STATE_INTENT, ledgerv1.RecordState_RECORD_STATE_DONE
	stored := func(n int, state ledgerv1.RecordState, answer *ledgerv1.Answer) *ledgerv1.Record {
		return &ledgerv1.Record{Client: "c", Key: testKey(epoch, n), CallHash: []byte("h"), State: state, Answer: answer}
	}
	answer := &ledgerv1.Answer{Status: 201}
	l := loadedLedger(t,
		stored(1, intent, nil), stored(2, done, answer), stored(3, done, nil),
		stored(4, intent, nil), stored(4, ledgerv1.RecordState_RECORD_STATE_RELEASED, nil))
	tests := []struct {
		name   string
		key    string
		hash   string
		want   Verdict
		reason peerv1.RefusalReason
		ran    peerv1.Ran
	}{
		{"new", testKey(epoch, 9), "h", VerdictRecord, 0, 0},
		{"new, again", testKey(epoch, 9), "h", VerdictJoin, 0, 0},
		{"same key, other call", testKey(epoch, 9), "x", VerdictRefuse, peerv1.RefusalReason_REFUSAL_REASON_KEY_REUSED, peerv1.Ran_RAN_NO},
		{"intent of an earlier incarnation", testKey(epoch, 1), "h", VerdictRefuse, peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN, peerv1.Ran_RAN_UNKNOWN},
		{"done", testKey(epoch, 2), "h", VerdictReplay, 0, 0},
		{"done, large answer", testKey(epoch, 3), "h", VerdictRefuse, peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN, peerv1.Ran_RAN_YES},
		{"released", testKey(epoch, 4), "h", VerdictRecord, 0, 0},
		{"too old", testKey(epoch.Add(-3*time.Hour), 5), "h", VerdictRefuse, peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN, peerv1.Ran_RAN_UNKNOWN},
		{"issued in the future", testKey(epoch.Add(time.Hour), 6), "h", VerdictRefuse, peerv1.RefusalReason_REFUSAL_REASON_BAD_REQUEST, peerv1.Ran_RAN_NO},
		{"no time of issue", "stamp-7", "h", VerdictRefuse, peerv1.RefusalReason_REFUSAL_REASON_BAD_REQUEST, peerv1.Ran_RAN_NO},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := l.Begin(Call{ID: CallID{"c", test.key}, Hash: test.hash}, epoch)
			require.Equal(t, test.want, d.Verdict, d.Detail)
			require.Equal(t, test.reason, d.Reason)
			require.Equal(t, test.ran, d.Ran)
		})
	}
}

// TestLedgerLookupRecordsNothing checks that Lookup replays a recorded answer
// but does not record an unknown call.
func TestLedgerLookupRecordsNothing(t *testing.T) {
	l := loadedLedger(t, &ledgerv1.Record{
		Client: "c", Key: testKey(epoch, 1), CallHash: []byte("h"),
		State: ledgerv1.RecordState_RECORD_STATE_DONE, Answer: &ledgerv1.Answer{},
	})
	d, known := l.Lookup(Call{ID: CallID{"c", testKey(epoch, 1)}, Hash: "h"})
	require.True(t, known)
	require.Equal(t, VerdictReplay, d.Verdict)
	_, known = l.Lookup(Call{ID: CallID{"c", testKey(epoch, 2)}, Hash: "h"})
	require.False(t, known)
	require.Equal(t, 1, l.Len())
}

// TestKeyHomesExcludeDrainingServers guards against keys whose home refuses
// calls because the configuration drains it.
func TestKeyHomesExcludeDrainingServers(t *testing.T) {
	d := deployment("a", "b")
	d.BackendServers[0].Drain = true
	homes := NextKeyHomes(nil, d, epoch)
	require.Equal(t, []string{"b"}, homes[0].GetBackendServers())
}

// TestLedgerNotLoaded checks the refusals while the records of earlier
// incarnations have not been read: a call may have run only if its key was
// issued before the agent's start.
func TestLedgerNotLoaded(t *testing.T) {
	l := New(Options{BackendServer: "a", Incarnation: 2, StartTime: epoch})
	before := l.Begin(Call{ID: CallID{"c", testKey(epoch.Add(-time.Second), 1)}}, epoch.Add(time.Minute))
	require.Equal(t, peerv1.Ran_RAN_UNKNOWN, before.Ran, "an earlier incarnation may have forwarded it")
	after := l.Begin(Call{ID: CallID{"c", testKey(epoch.Add(time.Minute), 2)}}, epoch.Add(time.Minute))
	require.Equal(t, peerv1.RefusalReason_REFUSAL_REASON_LEDGER_UNAVAILABLE, after.Reason)
	require.Equal(t, peerv1.Ran_RAN_NO, after.Ran)
}

// TestLedgerRefusesWithoutConfirmedHomes checks that keys issued after the
// confirmed time of the homes are refused until a configuration of at least the
// same revision is read.
func TestLedgerRefusesWithoutConfirmedHomes(t *testing.T) {
	l := loadedLedger(t)
	now := epoch.Add(HomeChangeDelay)
	d := l.Begin(Call{ID: CallID{"c", testKey(now, 1)}}, now)
	require.Equal(t, peerv1.RefusalReason_REFUSAL_REASON_LEDGER_UNAVAILABLE, d.Reason)
	l.SetHomes(nil, 0, now)
	d = l.Begin(Call{ID: CallID{"c", testKey(now, 1)}}, now)
	require.Equal(t, peerv1.RefusalReason_REFUSAL_REASON_LEDGER_UNAVAILABLE, d.Reason, "an older revision must not confirm the homes")
	l.SetHomes(Homes{{EffectiveFrom: epoch, Servers: []string{"b"}}}, 2, now)
	d = l.Begin(Call{ID: CallID{"c", testKey(now, 1)}}, now)
	require.Equal(t, peerv1.RefusalReason_REFUSAL_REASON_NOT_CONFIGURED, d.Reason)
}

// configRead is a configuration as read by one agent, and the time of the read.
type configRead struct {
	homes Homes
	read  time.Time
}

// TestKeyHasOneHome offers the same key to agents that have read the
// configuration at different times while it changes: at most one of them may
// record the call.
func TestKeyHasOneHome(t *testing.T) {
	conflicts := 0
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d"}
		var accepted *configv1.AcceptedDeployment
		var views []configRead
		now := epoch
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			now = now.Add(time.Duration(rapid.IntRange(0, 90_000).Draw(t, "ms")) * time.Millisecond)
			servers := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 4, rapid.ID[string]).Draw(t, "servers")
			skew := time.Duration(rapid.Int64Range(-int64(MaxClockSkew)+1, 0).Draw(t, "skew"))
			accepted = &configv1.AcceptedDeployment{KeyHomes: NextKeyHomes(accepted, deployment(servers...), now.Add(skew))}
			views = append(views, configRead{HomesOf(accepted, "app"), now})
		}
		// An agent may have read each configuration until just before the next
		// one was accepted, and use it afterwards.
		issued := epoch.Add(time.Duration(rapid.IntRange(0, 1_200_000).Draw(t, "issued")) * time.Millisecond)
		key := testKey(issued, rapid.IntRange(0, 1000).Draw(t, "key"))
		var recorders, undelayedHomes []string
		for n, v := range views {
			readAt := v.read
			if n+1 < len(views) {
				readAt = views[n+1].read.Add(-time.Millisecond)
			}
			for _, name := range names {
				l := New(Options{BackendServer: name, MaxIssuedAhead: time.Hour})
				l.loaded = true
				l.SetHomes(v.homes, uint64(n), readAt)
				if l.Begin(Call{ID: CallID{"c", key}}, issued).Verdict == VerdictRecord {
					recorders = append(recorders, name)
				}
				if home, _ := rendezvous(key, v.homes[len(v.homes)-1].Servers); home == name {
					undelayedHomes = append(undelayedHomes, name)
				}
			}
		}
		slices.Sort(recorders)
		require.LessOrEqual(t, len(slices.Compact(recorders)), 1)
		slices.Sort(undelayedHomes)
		if len(slices.Compact(undelayedHomes)) > 1 {
			conflicts++
		}
	})
	require.Positive(t, conflicts, "without delayed home sets some key must have two homes")
}

// TestLedgerEvictsExpiredKeys checks that expired keys are evicted from memory
// and their segments dropped from the head.
func TestLedgerEvictsExpiredKeys(t *testing.T) {
	l := New(Options{BackendServer: "a", Incarnation: 2, StartTime: epoch, MaxSegmentBytes: 4 << 10})
	require.NoError(t, l.Load(&ledgerv1.Head{Incarnation: 2, First: 1, Open: 1}, nil))
	homes := Homes{{EffectiveFrom: epoch, Servers: []string{"a"}}}
	most, kept := 0, uint64(0)
	for i := range 24 * 60 {
		now := epoch.Add(time.Duration(i) * time.Minute)
		l.SetHomes(homes, 1, now)
		id := CallID{"c", testKey(now, i)}
		require.Equal(t, VerdictRecord, l.Begin(Call{ID: id}, now).Verdict)
		batch, _ := l.NextBatch()
		if batch.Rollover {
			l.HandleRollover(l.NextHead(now))
			batch, _ = l.NextBatch()
		}
		l.markStored(batch, uint64(i+1))
		l.Finish(id, &ledgerv1.Answer{})
		most = max(most, l.Len())
		kept = max(kept, l.log.head.GetOpen()-l.log.head.GetFirst())
	}
	require.LessOrEqual(t, most, 120+10)
	require.LessOrEqual(t, kept, uint64(8))
}

func BenchmarkCommit(b *testing.B) {
	l := loadedLedger(b)
	b.ReportAllocs()
	for i := range b.N {
		l.Begin(Call{ID: CallID{"c", testKey(epoch, i)}}, epoch)
		batch, _ := l.NextBatch()
		if batch.Rollover {
			l.HandleRollover(l.NextHead(epoch))
			batch, _ = l.NextBatch()
		}
		l.markStored(batch, uint64(i+1))
	}
}
