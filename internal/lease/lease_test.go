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

// member is one participant with at most one call under way.
type member struct {
	options Options
	state   State
	action  Action
	applied bool
	result  Event
	frozen  time.Duration // until when it neither acts nor hears
}

// cell is the stored lease.
type cell struct {
	version uint64
	record  Record
}

func (c *cell) apply(a Action) Event {
	if a.Kind == Read {
		return ReadDone{Version: c.version, Record: c.record}
	}
	if a.WantVersion != c.version {
		return WriteDone{Outcome: Conflict}
	}
	c.version++
	c.record = a.Record
	return WriteDone{Outcome: Written, Version: c.version}
}

// advance moves a member on by one random event.
func (m *member) advance(t *rapid.T, c *cell, now time.Duration) {
	if m.action.Kind == Wait {
		if now >= m.action.Until {
			m.step(Tick{}, now)
		}
		return
	}
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0: // lost before the store
		m.fail(now)
	case 1: // the answer is lost after the call took effect
		if !m.applied {
			c.apply(m.action)
		}
		m.fail(now)
	case 2: // frozen with the call at any point
		m.frozen = now + time.Duration(rapid.IntRange(1, 60).Draw(t, "freeze"))*time.Second
	case 3, 4: // the call reaches the store, its answer comes later
		m.reach(c)
	default:
		m.reach(c)
		m.step(m.result, now)
	}
}

func (m *member) reach(c *cell) {
	if !m.applied {
		m.applied, m.result = true, c.apply(m.action)
	}
}

func (m *member) fail(now time.Duration) {
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

// overlaps counts the moments at which two members believe in their right,
// by the given notion of right.
func overlaps(t *rapid.T, believes func(State, time.Duration) bool) int {
	members := make([]*member, 3)
	for i := range members {
		members[i] = &member{options: Options{Self: Identity{string(rune('a' + i)), 1}, Rank: i}}
	}
	c, now, count := &cell{}, time.Duration(0), 0
	for range 300 {
		now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
		m := members[rapid.IntRange(0, 2).Draw(t, "who")]
		if now >= m.frozen {
			m.advance(t, c, now)
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

func TestOneHolderAtATime(t *testing.T) {
	naive := 0
	rapid.Check(t, func(t *rapid.T) {
		require.Zero(t, overlaps(t, func(s State, now time.Duration) bool {
			_, ok := s.Authority(now)
			return ok
		}))
		naive += overlaps(t, func(s State, _ time.Duration) bool { return s.holding })
	})
	require.Positive(t, naive, "a holder that ignores its clock must be seen to overlap")
}

func run(t *testing.T, store Store, names ...string) ([]*Participant, []context.CancelFunc) {
	keepers, cancels := make([]*Participant, len(names)), make([]context.CancelFunc, len(names))
	for i, name := range names {
		ctx, cancel := context.WithCancel(t.Context())
		keepers[i] = NewParticipant(store, "tutor-lm", Options{Self: Identity{name, 1}, Rank: i})
		cancels[i] = cancel
		go keepers[i].Run(ctx)
		synctest.Wait()
	}
	return keepers, cancels
}

func TestKeeperThroughOutageAndLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fake.New(fake.Options{})
		keepers, _ := run(t, store, "a", "b")
		a, ok := keepers[0].Authority()
		require.True(t, ok)
		_, ok = keepers[1].Authority()
		require.False(t, ok)

		store.SetFaults(fake.Faults{LoseResponses: 3})
		time.Sleep(time.Minute)
		again, ok := keepers[0].Authority()
		require.True(t, ok, "a lost answer is recognised by its nonce")
		require.Equal(t, a.Term, again.Term)

		store.SetFaults(fake.Faults{Down: true})
		time.Sleep(DefaultTTL)
		for _, k := range keepers {
			_, ok = k.Authority()
			require.False(t, ok, "nobody can plan in an outage")
		}
		store.SetFaults(fake.Faults{})
		time.Sleep(2 * DefaultTTL)
		_, first := keepers[0].Authority()
		_, second := keepers[1].Authority()
		require.True(t, first != second)
	})
}

func TestReleasePassesTheLeaseOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fake.New(fake.Options{})
		keepers, cancels := run(t, store, "a", "b")
		old, _ := keepers[0].Authority()
		cancels[0]()
		time.Sleep(keepers[1].options.readInterval() + time.Millisecond)
		next, ok := keepers[1].Authority()
		require.True(t, ok)
		require.Equal(t, old.Term+1, next.Term)
	})
}

// TestCallsPerSecond counts what the leases of 27 services cost the store
// when each of 350 processes may plan for each of them.
func TestCallsPerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const services, processes, seconds = 27, 350, 600
		store := fake.New(fake.Options{})
		for i := range processes {
			k := NewParticipant(store, "tutor-lm", Options{Self: Identity{"p", uint64(i + 1)}, Rank: i})
			go k.Run(t.Context())
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

func TestUnreadableRecordCanBeClaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fake.New(fake.Options{})
		key := platform.Key{Kind: platform.KindLease, Name: "tutor-lm"}
		_, err := store.Put(t.Context(), key, []byte{0xff}, 0)
		require.NoError(t, err)
		keepers, _ := run(t, store, "a")
		_, ok := keepers[0].Authority()
		require.True(t, ok)
	})
}

func TestRanksAreAPermutation(t *testing.T) {
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
