package routing

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// Table holds what one entry knows of the engines of one service.
type Table struct {
	opts    Options
	byName  map[string]*engineState
	engines []*engineState
	// singleEngines, prefillEngines and decodeEngines list the serving engines
	// that can run whole requests, prefills and decodes, respectively.
	singleEngines, prefillEngines, decodeEngines []*engineState
	prefixes                                     prefixIndex
	demand                                       demand
}

// engineState is the view of one engine: its backlog as of updatedAt, which
// includes the attempts in unreported.
type engineState struct {
	Engine
	hash      uint64
	state     peerv1.ServerState
	backlog   Backlog
	updatedAt time.Duration
	// reportAsOf is the time that the newest report describes.
	reportAsOf time.Duration
	unreported []unreportedAttempt
	// weight is the fraction of its usual load that the engine should get.
	weight float64
	// removed is set when the engine has left the table. The prefix index can
	// still refer to it.
	removed bool
}

// unreportedAttempt is an attempt sent by this entry that is not covered by the
// newest report yet.
type unreportedAttempt struct {
	Attempt
	sentAt time.Duration
	// finishAt is the predicted time at which the attempt finishes.
	finishAt time.Duration
}

// maxUnreported bounds the number of unreported attempts stored for one engine.
const maxUnreported = 4096

// NewTable returns a table without engines.
func NewTable(opts Options) *Table {
	return &Table{
		opts:     opts,
		byName:   make(map[string]*engineState),
		prefixes: newPrefixIndex(opts.MaxPrefixBlocks),
	}
}

// SetOptions replaces the options, for example when the number of entries has
// changed. MaxPrefixBlocks keeps its original value.
func (t *Table) SetOptions(opts Options) { t.opts = opts }

// SetEngines replaces the engines. Those that remain keep their load and their
// role.
func (t *Table) SetEngines(engines []Engine) {
	old := t.byName
	t.byName = make(map[string]*engineState, len(engines))
	t.engines = t.engines[:0]
	for _, e := range engines {
		s := old[e.Name]
		if s == nil {
			s = &engineState{hash: xxhash.Sum64String(e.Name), weight: 1, state: peerv1.ServerState_SERVER_STATE_SERVING}
		} else {
			e.Role = s.Role
		}
		s.Engine = e
		t.byName[e.Name] = s
		t.engines = append(t.engines, s)
	}
	for name, s := range old {
		s.removed = t.byName[name] == nil
	}
	t.reindex()
}

// reindex rebuilds the lists of serving engines by role.
func (t *Table) reindex() {
	t.singleEngines, t.prefillEngines, t.decodeEngines = nil, nil, nil
	for _, e := range t.engines {
		if e.state != peerv1.ServerState_SERVER_STATE_SERVING {
			continue
		}
		mixed := e.Role == configv1.Role_ROLE_MIXED || e.Role == configv1.Role_ROLE_UNSPECIFIED
		if mixed {
			t.singleEngines = append(t.singleEngines, e)
		}
		if mixed || e.Role == configv1.Role_ROLE_PREFILL {
			t.prefillEngines = append(t.prefillEngines, e)
		}
		if mixed || e.Role == configv1.Role_ROLE_DECODE {
			t.decodeEngines = append(t.decodeEngines, e)
		}
	}
}

// RecordReport updates the load of an engine. Reports older than the newest one
// are ignored. Attempts sent by this entry after the time of the report are
// added to the reported backlog. The error is ErrUnknownEngine.
func (t *Table) RecordReport(r LoadReport) error {
	e := t.byName[r.Engine]
	if e == nil {
		return fmt.Errorf("%w: %q", ErrUnknownEngine, r.Engine)
	}
	if r.AsOf < e.reportAsOf {
		return nil
	}
	e.reportAsOf = r.AsOf
	e.updatedAt = r.AsOf
	e.backlog = r.backlog()
	e.unreported = slices.DeleteFunc(e.unreported, func(a unreportedAttempt) bool { return a.sentAt <= r.AsOf })
	for _, a := range e.unreported {
		e.advance(a.sentAt)
		e.backlog = e.backlog.add(t.opts.OwnSendScale, a.Attempt)
	}
	t.applyState(e, r.Role, r.State)
	return nil
}

// SetState sets the role and state of an engine from a source other than its
// load reports, for example from membership. Unspecified values are ignored.
// The error is ErrUnknownEngine.
func (t *Table) SetState(engine string, role configv1.Role, state peerv1.ServerState) error {
	e := t.byName[engine]
	if e == nil {
		return fmt.Errorf("%w: %q", ErrUnknownEngine, engine)
	}
	t.applyState(e, role, state)
	return nil
}

// applyState updates the role and state unless they are unspecified.
func (t *Table) applyState(e *engineState, role configv1.Role, state peerv1.ServerState) {
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
	t.reindex()
}

// SetWeight sets the fraction of its usual load that an engine should get,
// above 0 and up to 1, for example during slow start or, close to 0, while it
// is ejected. The error is ErrUnknownEngine.
func (t *Table) SetWeight(engine string, weight float64) error {
	e := t.byName[engine]
	if e == nil {
		return fmt.Errorf("%w: %q", ErrUnknownEngine, engine)
	}
	e.weight = min(1, max(minWeight, weight))
	return nil
}

// minWeight is the lowest weight. It is not zero so that an engine is still
// chosen if there is no other.
const minWeight = 1e-6

// RecordSend records an attempt sent to an engine. Its work counts until a
// report covers it, and its prefix is expected in the engine's cache. The error
// is ErrUnknownEngine.
func (t *Table) RecordSend(now time.Duration, a Attempt) error {
	e := t.byName[a.Engine]
	if e == nil {
		return fmt.Errorf("%w: %q", ErrUnknownEngine, a.Engine)
	}
	for _, h := range a.PrefixHashes {
		t.prefixes.add(h, e)
	}
	t.demand.add(now, a)
	a.PrefixHashes = nil
	e.advance(now)
	finish := e.firstTokenSeconds(e.backlog, float64(a.PromptTokens), urgencyLevel(a.Remaining)) + e.decodeSeconds(e.backlog, float64(a.OutputTokens))
	if t.opts.OwnSendScale <= 0 {
		return nil
	}
	e.backlog = e.backlog.add(t.opts.OwnSendScale, a)
	if len(e.unreported) < maxUnreported {
		e.unreported = append(e.unreported, unreportedAttempt{Attempt: a, sentAt: now, finishAt: now + seconds(finish)})
	}
	return nil
}

// RecordEnd records the end of an attempt, whether it completed, failed or was
// cancelled, and subtracts the part of its work that is still counted. The
// error is ErrUnknownEngine.
func (t *Table) RecordEnd(now time.Duration, engine, id string) error {
	e := t.byName[engine]
	if e == nil {
		return fmt.Errorf("%w: %q", ErrUnknownEngine, engine)
	}
	i := slices.IndexFunc(e.unreported, func(a unreportedAttempt) bool { return a.ID == id })
	if i < 0 {
		return nil
	}
	a := e.unreported[i]
	e.unreported = slices.Delete(e.unreported, i, i+1)
	e.advance(now)
	left := 0.0
	if a.finishAt > now {
		left = float64(a.finishAt-now) / float64(a.finishAt-a.sentAt)
	}
	e.backlog = e.backlog.add(-left*t.opts.OwnSendScale, a.Attempt).nonNegative()
	return nil
}

// backlogAt returns the backlog that is left at now.
func (e *engineState) backlogAt(now time.Duration) Backlog {
	return e.drain(e.backlog, (now - e.updatedAt).Seconds())
}

// advance updates the backlog to now.
func (e *engineState) advance(now time.Duration) {
	e.backlog = e.backlogAt(now)
	e.updatedAt = max(e.updatedAt, now)
}

// Backlog returns the expected backlog of an engine at now. The error is
// ErrUnknownEngine.
func (t *Table) Backlog(now time.Duration, engine string) (Backlog, error) {
	e := t.byName[engine]
	if e == nil {
		return Backlog{}, fmt.Errorf("%w: %q", ErrUnknownEngine, engine)
	}
	return e.backlogAt(now), nil
}

// RecordCacheEvent records that an engine has cached or evicted a prefix block.
// Events are only hints: a lost or late one costs time but not correctness. The
// error is ErrUnknownEngine.
func (t *Table) RecordCacheEvent(engine string, prefixHash uint64, evicted bool) error {
	e := t.byName[engine]
	if e == nil {
		return fmt.Errorf("%w: %q", ErrUnknownEngine, engine)
	}
	if evicted {
		t.prefixes.remove(prefixHash, e)
		return nil
	}
	t.prefixes.add(prefixHash, e)
	return nil
}

// ServingCount returns the number of engines that are serving.
func (t *Table) ServingCount() int {
	n := 0
	for _, e := range t.engines {
		if e.state == peerv1.ServerState_SERVER_STATE_SERVING {
			n++
		}
	}
	return n
}
