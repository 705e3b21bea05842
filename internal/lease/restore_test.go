package lease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// restorableStore is a simulated store that holds the lease objects of all
// generations and can be restored from a copy. Versions come from one counter,
// which a restore sets back.
type restorableStore struct {
	generation uint64
	version    uint64
	leases     map[uint64]storedLease
	copies     []restorableStore
}

func newRestorableStore() *restorableStore {
	return &restorableStore{generation: 1, leases: make(map[uint64]storedLease)}
}

// save keeps a copy of the present content.
func (s *restorableStore) save() {
	c := restorableStore{version: s.version, leases: make(map[uint64]storedLease)}
	for generation, lease := range s.leases {
		c.leases[generation] = lease
	}
	s.copies = append(s.copies, c)
}

// restore replaces the content by a copy.
func (s *restorableStore) restore(c restorableStore) {
	s.version, s.leases = c.version, make(map[uint64]storedLease)
	for generation, lease := range c.leases {
		s.leases[generation] = lease
	}
	s.generation++
}

// apply executes a call.
func (s *restorableStore) apply(a Action) Event {
	lease := s.leases[a.Generation]
	if a.Kind == Read {
		return ReadDone{Version: lease.version, Record: lease.record}
	}
	if a.WantVersion != lease.version {
		return WriteDone{Outcome: Conflict}
	}
	s.version++
	s.leases[a.Generation] = storedLease{version: s.version, record: a.Record}
	return WriteDone{Outcome: Written, Version: s.version}
}

// candidate is a participant whose calls and their responses may be delayed,
// lost or executed late.
type candidate struct {
	options     Options
	state       State
	action      Action
	pausedUntil time.Duration
}

// step processes an event, after the generation that came with it.
func (c *candidate) step(ev Event, generation uint64, now time.Duration) {
	if generation > c.state.Generation() {
		ev = GenerationObserved{Generation: generation}
	}
	c.state, c.action = Step(c.state, c.options, ev, now)
}

// act is the use of an authority.
type act struct {
	holder string
	term   uint64
	at     time.Duration
}

// history is a random run of two candidates and a store that is restored.
type history struct {
	t          *rapid.T
	now        time.Duration
	store      *restorableStore
	candidates []*candidate
	// late holds writes that are executed after their callers gave up on them.
	late []Action
	acts []act
}

func (h *history) run(steps int) {
	h.store.save()
	for range steps {
		h.now += time.Duration(rapid.IntRange(0, 2500).Draw(h.t, "ms")) * time.Millisecond
		switch rapid.IntRange(0, 19).Draw(h.t, "event") {
		case 0:
			h.store.restore(h.store.copies[rapid.IntRange(0, len(h.store.copies)-1).Draw(h.t, "copy")])
		case 1, 2:
			h.store.save()
		case 3:
			h.executeLate()
		case 4:
			h.restart(rapid.IntRange(0, len(h.candidates)-1).Draw(h.t, "restarts"))
		default:
			h.advance(h.candidates[rapid.IntRange(0, len(h.candidates)-1).Draw(h.t, "who")])
		}
		h.use()
	}
}

func (h *history) executeLate() {
	if len(h.late) == 0 {
		return
	}
	h.store.apply(h.late[0])
	h.late = h.late[1:]
}

// restart replaces a candidate by its next incarnation.
func (h *history) restart(i int) {
	old := h.candidates[i]
	o := old.options
	o.Self.Incarnation++
	h.candidates[i] = &candidate{options: o}
}

// advance performs one event of a candidate.
func (h *history) advance(c *candidate) {
	if h.now < c.pausedUntil {
		return
	}
	if c.action.Kind == Wait {
		if h.now >= c.action.Until {
			c.step(Tick{}, c.state.Generation(), h.now)
		}
		return
	}
	switch rapid.IntRange(0, 9).Draw(h.t, "call") {
	case 0: // the store is away
		h.fail(c)
	case 1: // no response; the write is executed later
		if c.action.Kind == Write {
			h.late = append(h.late, c.action)
		}
		h.fail(c)
	case 2:
		c.pausedUntil = h.now + time.Duration(rapid.IntRange(1, 30).Draw(h.t, "pause"))*time.Second
	default:
		c.step(h.store.apply(c.action), h.store.generation, h.now)
	}
}

func (h *history) fail(c *candidate) {
	if c.action.Kind == Read {
		c.step(ReadDone{Failed: true}, c.state.Generation(), h.now)
		return
	}
	c.step(WriteDone{Outcome: Unknown}, c.state.Generation(), h.now)
}

// use lets every candidate with authority act.
func (h *history) use() {
	for _, c := range h.candidates {
		if authority, ok := c.state.Authority(h.now); ok {
			holder := fmt.Sprint(c.options.Self)
			h.acts = append(h.acts, act{holder: holder, term: authority.Term, at: h.now})
		}
	}
}

// violation describes the first breach of the lease's guarantees, or is empty.
func (h *history) violation() string {
	holderByTerm := make(map[uint64]string)
	var highest uint64
	for _, a := range h.acts {
		if holder, used := holderByTerm[a.term]; used && holder != a.holder {
			return fmt.Sprintf("term %d is used by %s and %s", a.term, holder, a.holder)
		}
		holderByTerm[a.term] = a.holder
		if a.term < highest {
			return fmt.Sprintf("%s acts in term %d after term %d", a.holder, a.term, highest)
		}
		highest = a.term
	}
	return ""
}

// TestTermsAreUniqueAcrossRestores checks over random histories of writes, lost
// and late calls, pauses, restarts and restores of the store that no two holders
// act in the same term and that nobody acts in a lower term after a higher one.
// Since every acquisition by another holder has a higher term, no two holders
// take turns.
func TestTermsAreUniqueAcrossRestores(t *testing.T) {
	acts := 0
	rapid.Check(t, func(t *rapid.T) {
		h := &history{t: t, store: newRestorableStore()}
		for i := range 2 {
			name := string(rune('a' + i))
			h.candidates = append(h.candidates, &candidate{options: Options{Self: Identity{name, 1}, TTL: 6 * time.Second, Rank: i}})
		}
		h.run(250)
		require.Empty(t, h.violation())
		acts += len(h.acts)
	})
	require.Positive(t, acts)
}

// TestHolderStopsAtRestore checks that a holder loses its authority as soon as
// it observes the next generation, and that no one has authority before a
// holder of the earlier generation that does not observe it has lost its own.
func TestHolderStopsAtRestore(t *testing.T) {
	store := newRestorableStore()
	a := &candidate{options: Options{Self: Identity{"a", 1}, TTL: 6 * time.Second}}
	b := &candidate{options: Options{Self: Identity{"b", 1}, TTL: 6 * time.Second}}
	run := func(c *candidate, now time.Duration) {
		for c.action.Kind != Wait || now >= c.action.Until {
			if c.action.Kind == Wait {
				c.step(Tick{}, store.generation, now)
				continue
			}
			c.step(store.apply(c.action), store.generation, now)
		}
	}
	store.save()
	run(a, 0)
	first, ok := a.state.Authority(0)
	require.True(t, ok)

	store.restore(store.copies[0])
	require.Zero(t, store.leases[1].version, "the copy lacks the lease")
	restored := time.Second
	var moments []time.Duration
	for now := restored; now < restored+8*time.Second; now += 100 * time.Millisecond {
		run(b, now)
		_, held := a.state.Authority(now)
		next, ok := b.state.Authority(now)
		require.False(t, held && ok, "two holders at %v", now)
		if ok {
			require.Greater(t, next.Term, first.Term)
			moments = append(moments, now)
		}
	}
	require.NotEmpty(t, moments)
	require.GreaterOrEqual(t, moments[0], restored+6*time.Second)

	run(a, restored+2*time.Second)
	_, ok = a.state.Authority(restored + 2*time.Second)
	require.False(t, ok)
	require.False(t, slices.Contains(moments, restored))
}
