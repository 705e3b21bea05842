package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldwing/marigoldwing/internal/platform"
	"github.com/marigoldwing/marigoldwing/internal/platform/fake"
)

// member is one participant with at most one store call in flight.
type member struct {
	options     Options
	state       State
	action      Action
	applied     bool
	result      Event
	pausedUntil time.Duration
}

// storedLease is the lease object in the simulated store.
type storedLease struct {
	version uint64
	record  Record
}

func (l *storedLease) apply(a Action) Event {
	if a.Kind == Read {
		return ReadDone{Version: l.version, Record: l.record}
	}
	if a.WantVersion != l.version {
		return WriteDone{Outcome: Conflict}
	}
	l.version++
	l.record = a.Record
	return WriteDone{Outcome: Written, Version: l.version}
}

// advance performs one random event of a member.
func (m *member) advance(t *rapid.T, lease *storedLease, now time.Duration) {
	if m.action.Kind == Wait {
		if now >= m.action.Until {
			m.step(Tick{}, now)
		}
		return
	}
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0: // the request is lost
		m.failCall(now)
	case 1: // the response is lost after the call took effect
		if !m.applied {
			lease.apply(m.action)
		}
		m.failCall(now)
	case 2: // the process is paused while the call is in flight
		m.pausedUntil = now + time.Duration(rapid.IntRange(1, 60).Draw(t, "freeze"))*time.Second
	case 3, 4: // the call takes effect, the response arrives later
		m.applyCall(lease)
	default:
		m.applyCall(lease)
		m.step(m.result, now)
	}
}

// applyCall lets the call in flight take effect at the store, once.
func (m *member) applyCall(lease *storedLease) {
	if !m.applied {
		m.applied, m.result = true, lease.apply(m.action)
	}
}

// failCall ends the call in flight without a response.
func (m *member) failCall(now time.Duration) {
	if m.action.Kind == Read {
		m.step(ReadDone{Failed: true}, now)
		return
	}
	m.step(WriteDone{Outcome: Unknown}, now)
}

func (m *member) step(ev Event, now time.Duration) {
	m.state, m.action = Step(m.state, m.options, ev, now)
	m.applied = false
}

// countOverlaps counts the moments at which two members believe that they hold
// the lease, according to believes.
func countOverlaps(t *rapid.T, believes func(State, time.Duration) bool) int {
	members := make([]*member, 3)
	for i := range members {
		members[i] = &member{options: Options{Self: Identity{string(rune('a' + i)), 1}, Rank: i}}
	}
	lease, now, count := &storedLease{}, time.Duration(0), 0
	for range 300 {
		now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
		m := members[rapid.IntRange(0, 2).Draw(t, "who")]
		if now >= m.pausedUntil {
			m.advance(t, lease, now)
		}
		holders := 0
		for _, m := range members {
			if believes(m.state, now) {
				holders++
			}
		}
		if holders > 1 {
			count++
		}
	}
	return count
}

// TestAtMostOneHolder checks that at most one process has authority at any
// time, through lost requests and responses and paused processes. A variant
// that ignores the expiry must violate this, which shows that the simulation
// can detect it.
func TestAtMostOneHolder(t *testing.T) {
	withoutExpiry := 0
	rapid.Check(t, func(t *rapid.T) {
		require.Zero(t, countOverlaps(t, func(s State, now time.Duration) bool {
			_, ok := s.Authority(now)
			return ok
		}))
		withoutExpiry += countOverlaps(t, func(s State, _ time.Duration) bool { return s.holding })
	})
	require.Positive(t, withoutExpiry, "holders that ignore the expiry must overlap")
}

// runParticipants starts participants in the order of their ranks.
func runParticipants(t *testing.T, store Store, names ...string) ([]*Participant, []context.CancelFunc) {
	participants, cancels := make([]*Participant, len(names)), make([]context.CancelFunc, len(names))
	for i, name := range names {
		ctx, cancel := context.WithCancel(t.Context())
		participants[i] = NewParticipant(store, "tutor-lm", Options{Self: Identity{name, 1}, Rank: i})
		cancels[i] = cancel
		go participants[i].Run(ctx)
		synctest.Wait()
	}
	return participants, cancels
}

// TestLeaseSurvivesLostResponsesAndOutage checks that a holder keeps its term
// when responses to renewals are lost, that nobody has authority during an
// outage longer than the TTL, and that exactly one process has it afterwards.
func TestLeaseSurvivesLostResponsesAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fake.New(fake.Options{})
		participants, _ := runParticipants(t, store, "a", "b")
		a, ok := participants[0].Authority()
		require.True(t, ok)
		_, ok = participants[1].Authority()
		require.False(t, ok)

		store.SetFaults(fake.Faults{LoseResponses: 3})
		time.Sleep(time.Minute)
		again, ok := participants[0].Authority()
		require.True(t, ok, "a write whose response was lost is recognized by its nonce")
		require.Equal(t, a.Term, again.Term)

		store.SetFaults(fake.Faults{Down: true})
		time.Sleep(DefaultTTL)
		for _, p := range participants {
			_, ok = p.Authority()
			require.False(t, ok, "no process may plan during an outage")
		}
		store.SetFaults(fake.Faults{})
		time.Sleep(2 * DefaultTTL)
		_, first := participants[0].Authority()
		_, second := participants[1].Authority()
		require.True(t, first != second)
	})
}

// TestReleasedLeaseIsClaimedByAnother checks that a released lease is claimed
// with the next read of another participant, without waiting for the TTL.
func TestReleasedLeaseIsClaimedByAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fake.New(fake.Options{})
		participants, cancels := runParticipants(t, store, "a", "b")
		old, _ := participants[0].Authority()
		cancels[0]()
		time.Sleep(participants[1].options.readInterval() + time.Millisecond)
		next, ok := participants[1].Authority()
		require.True(t, ok)
		require.Equal(t, old.Term+1, next.Term)
	})
}

// TestStoreCallsPerSecond checks the store load caused by the leases of 27
// services for which each of 350 processes is a candidate.
func TestStoreCallsPerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const services, processes, seconds = 27, 350, 600
		store := fake.New(fake.Options{})
		for i := range processes {
			p := NewParticipant(store, "tutor-lm", Options{Self: Identity{"p", uint64(i + 1)}, Rank: i})
			go p.Run(t.Context())
		}
		time.Sleep(time.Hour)
		before := store.Counts()
		time.Sleep(seconds * time.Second)
		after := store.Counts()
		writes := float64(services*(after.Writes-before.Writes)) / seconds
		reads := float64(services*(after.Reads-before.Reads)) / seconds
		t.Logf("%d services, %d processes: %.1f writes/s, %.1f reads/s", services, processes, writes, reads)
		require.LessOrEqual(t, writes, 6.0)
		require.LessOrEqual(t, reads, 60.0)
	})
}

// TestUnreadableRecordCanBeClaimed checks that a corrupt record does not block
// the lease permanently.
func TestUnreadableRecordCanBeClaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fake.New(fake.Options{})
		key := platform.Key{Kind: platform.KindLease, Name: "tutor-lm"}
		_, err := store.Put(t.Context(), key, []byte{0xff}, 0)
		require.NoError(t, err)
		participants, _ := runParticipants(t, store, "a")
		_, ok := participants[0].Authority()
		require.True(t, ok)
	})
}

func TestRanksArePermutation(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e"}
	seen := make(map[int]bool)
	for _, m := range members {
		seen[Rank("tutor-lm", m, members)] = true
	}
	for i := range members {
		require.True(t, seen[i], "rank %d", i)
	}
	require.Zero(t, Rank("tutor-lm", "a", nil))
}
