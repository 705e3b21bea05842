package routing

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// Table is what one entry knows of the engines of one service.
type Table struct {
	opts    Options
	byName  map[string]*engineState
	engines []*engineState
	// singles, prefills and decodes list the serving engines that can run
	// whole requests, prefills and decodes.
	singles, prefills, decodes []*engineState
	hints                      hints
	demand                     demand
}

// engineState is the view of one engine: work as of a time, and the own sends
// since the newest report.
type engineState struct {
	Engine
	key    uint64
	state  peerv1.ServerState
	work   Backlog
	at     time.Duration
	asOf   time.Duration
	sends  []ownSend
	weight float64
	gone   bool
}

// ownSend is an attempt that the newest report does not yet count.
type ownSend struct {
	Attempt
	at       time.Duration
	finishes time.Duration
}

// maxOwnSends bounds the sends remembered for one engine between reports.
const maxOwnSends = 4096

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	return &Table{
		opts:   opts,
		byName: make(map[string]*engineState),
		hints:  newHints(opts.MaxPrefixBlocks),
	}
}

// SetOptions replaces the options, for example when the number of entries has
// changed. What is remembered of prefixes keeps its limit.
func (t *Table) SetOptions(opts Options) { t.opts = opts }

// SetEngines makes the given engines the table's. Engines that remain keep
// their load; those that are missing are forgotten.
func (t *Table) SetEngines(engines []Engine) {
	old := t.byName
	t.byName = make(map[string]*engineState, len(engines))
	t.engines = t.engines[:0]
	for _, e := range engines {
		s := old[e.Name]
		if s == nil {
			s = &engineState{key: xxhash.Sum64String(e.Name), weight: 1, state: peerv1.ServerState_SERVER_STATE_SERVING}
		} else {
			e.Role = s.Role
		}
		s.Engine = e
		t.byName[e.Name] = s
		t.engines = append(t.engines, s)
	}
	for name, s := range old {
		s.gone = t.byName[name] == nil
	}
	t.index()
}

// index rebuilds the lists of serving engines by what they can run.
func (t *Table) index() {
	t.singles, t.prefills, t.decodes = nil, nil, nil
	for _, e := range t.engines {
		if e.state != peerv1.ServerState_SERVER_STATE_SERVING {
			continue
		}
		mixed := e.Role == configv1.Role_ROLE_MIXED || e.Role == configv1.Role_ROLE_UNSPECIFIED
		if mixed {
			t.singles = append(t.singles, e)
		}
		if mixed || e.Role == configv1.Role_ROLE_PREFILL {
			t.prefills = append(t.prefills, e)
		}
		if mixed || e.Role == configv1.Role_ROLE_DECODE {
			t.decodes = append(t.decodes, e)
		}
	}
}

// RecordReport takes in the load of one engine. A report that describes an earlier
// time than the newest one is ignored. Own sends later than the report's time
// stay added to it.
func (t *Table) RecordReport(r LoadReport) error {
	e := t.byName[r.Engine]
	if e == nil {
		return fmt.Errorf("%w: %q", ErrUnknownEngine, r.Engine)
	}
	if r.AsOf < e.asOf {
		return nil
	}
	e.asOf = r.AsOf
	e.at = r.AsOf
	e.work = r.work()
	e.sends = slices.DeleteFunc(e.sends, func(s ownSend) bool { return s.at <= r.AsOf })
	for _, s := range e.sends {
		e.advance(s.at)
		e.work = e.work.add(t.opts.OwnSendScale, s.Attempt)
	}
	t.setState(e, r.Role, r.State)
	return nil
}

// SetState takes in the state of one engine from another source than its
// load report, for example from membership.
func (t *Table) SetState(engine string, role configv1.Role, state peerv1.ServerState) error {
	e := t.byName[engine]
	if e == nil {
		return fmt.Errorf("%w: %q", ErrUnknownEngine, engine)
	}
	t.setState(e, role, state)
	return nil
}

// setState updates role and state where they are given.
func (t *Table) setState(e *engineState, role configv1.Role, state peerv1.ServerState) {
	if role == configv1.Role_ROLE_UNSPECIFIED {
		role = e.Role
	}
	if state == peerv1.ServerState_SERVER_STATE_UNSPECIFIED {
		state = e.state
	}
	if role == e.Role && state == e.state {
		return
	}
	e.Role, e.state = role, state
	t.index()
}

// SetWeight sets the share of its usual work that an engine is to get, above 0
// and up to 1, for example during slow start or, near 0, while ejected.
func (t *Table) SetWeight(engine string, weight float64) error {
	e := t.byName[engine]
	if e == nil {
		return fmt.Errorf("%w: %q", ErrUnknownEngine, engine)
	}
	e.weight = min(1, max(minWeight, weight))
	return nil
}

// minWeight keeps an engine choosable when no other is left.
const minWeight = 1e-6

// RecordSend takes in an attempt that is on its way to an engine: its work counts
// until a report covers it, and its prefix is expected in the engine's cache.
func (t *Table) RecordSend(now time.Duration, s Attempt) error {
	e := t.byName[s.Engine]
	if e == nil {
		return fmt.Errorf("%w: %q", ErrUnknownEngine, s.Engine)
	}
	for _, h := range s.PrefixHashes {
		t.hints.add(h, e)
	}
	t.demand.add(now, s)
	s.PrefixHashes = nil
	e.advance(now)
	finish := e.firstToken(e.work, float64(s.PromptTokens), levelOf(s.Remaining)) + e.decodeSeconds(e.work, float64(s.OutputTokens))
	if t.opts.OwnSendScale <= 0 {
		return nil
	}
	e.work = e.work.add(t.opts.OwnSendScale, s)
	if len(e.sends) < maxOwnSends {
		e.sends = append(e.sends, ownSend{Attempt: s, at: now, finishes: now + seconds(finish)})
	}
	return nil
}

// RecordEnd takes in the end of an attempt, whether it completed, failed or was
// cancelled. What the table still counts of its work is taken off.
func (t *Table) RecordEnd(now time.Duration, engine, id string) error {
	e := t.byName[engine]
	if e == nil {
		return fmt.Errorf("%w: %q", ErrUnknownEngine, engine)
	}
	i := slices.IndexFunc(e.sends, func(s ownSend) bool { return s.ID == id })
	if i < 0 {
		return nil
	}
	s := e.sends[i]
	e.sends = slices.Delete(e.sends, i, i+1)
	e.advance(now)
	left := 0.0
	if s.finishes > now {
		left = float64(s.finishes-now) / float64(s.finishes-s.at)
	}
	e.work = e.work.add(-left*t.opts.OwnSendScale, s.Attempt).atLeastZero()
	return nil
}

// ahead returns the work that is left of the engine's at now.
func (e *engineState) ahead(now time.Duration) Backlog {
	return e.drain(e.work, (now - e.at).Seconds())
}

// advance moves the engine's work on to now.
func (e *engineState) advance(now time.Duration) {
	e.work = e.ahead(now)
	e.at = max(e.at, now)
}

// Backlog returns the work that the table expects at an engine now.
func (t *Table) Backlog(now time.Duration, engine string) (Backlog, error) {
	e := t.byName[engine]
	if e == nil {
		return Backlog{}, fmt.Errorf("%w: %q", ErrUnknownEngine, engine)
	}
	return e.ahead(now), nil
}

// RecordCacheEvent takes in a cache event of one engine. Events are hints: a missing
// or late one costs time, never correctness.
func (t *Table) RecordCacheEvent(engine string, prefixHash uint64, evicted bool) error {
	e := t.byName[engine]
	if e == nil {
		return fmt.Errorf("%w: %q", ErrUnknownEngine, engine)
	}
	if evicted {
		t.hints.remove(prefixHash, e)
		return nil
	}
	t.hints.add(prefixHash, e)
	return nil
}

// ServingCount returns the number of engines that can take work now.
func (t *Table) ServingCount() int {
	n := 0
	for _, e := range t.engines {
		if e.state == peerv1.ServerState_SERVER_STATE_SERVING {
			n++
		}
	}
	return n
}
