package enginemodel

import (
	"sort"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
)

// phase is the lifecycle state of the engine. Sequences run only in phaseUp.
type phase int

const (
	phaseUp       phase = iota
	phaseChanging       // carrying out an order
	phaseStarting       // restarting after a crash
	phaseDown
)

// State describes what the engine serves and whether it is available.
type State struct {
	Role         configv1.Role
	Model        string
	ModelVersion string
	Up           bool
	Changing     bool
	Draining     bool
	// Incarnation increases with each restart.
	Incarnation uint64
}

// assignment is a role and a model version that the engine serves or is to
// serve.
type assignment struct {
	role    configv1.Role
	model   string
	version string
}

// heldExport is an exported KV cache that occupies memory until another engine
// has fetched it or it expires.
type heldExport struct {
	id        string
	tokens    int
	expiresAt time.Duration
}

// Model simulates one engine.
type Model struct {
	settings    Settings
	cache       *prefixCache
	loadHistory loadHistory
	events      []Event // not yet returned by Advance
	spareEvents []Event // buffer of the previous call to Advance, to be reused

	current     assignment
	ordered     assignment // takes effect at phaseEndsAt
	phase       phase
	phaseEndsAt time.Duration // end of phaseChanging or phaseStarting
	draining    bool
	incarnation uint64
	slowdown    float64

	now         time.Duration
	nextStepAt  time.Duration // earliest start of the next step
	steps       stepRun
	byID        map[string]*sequence
	waiting     []*sequence // by priority, then arrival
	running     []*sequence // by priority, then arrival
	exports     []heldExport
	lastArrival uint64

	kvUsed       int   // tokens reserved by the batch and by exports
	queuedPrompt int64 // tokens still to prefill, of all sequences
}

// New returns an engine that is up and idle at time 0. It returns an error if
// the settings are invalid.
func New(settings Settings, seed uint64) (*Model, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	return &Model{
		settings:    settings,
		cache:       newPrefixCache(settings, seed),
		loadHistory: loadHistory{lag: settings.ReportLag},
		current:     assignment{settings.Role, settings.Model, settings.ModelVersion},
		byID:        make(map[string]*sequence),
		incarnation: 1,
		slowdown:    1,
	}, nil
}

// State returns the state of the engine at now.
func (m *Model) State(now time.Duration) State {
	m.advance(now)
	return State{
		Role:         m.current.role,
		Model:        m.current.model,
		ModelVersion: m.current.version,
		Up:           m.phase == phaseUp || m.phase == phaseChanging,
		Changing:     m.phase == phaseChanging,
		Draining:     m.draining,
		Incarnation:  m.incarnation,
	}
}

// Submit queues a sequence. It returns an error, and has no effect, if the
// engine does not accept the sequence.
func (m *Model) Submit(now time.Duration, s Sequence) error {
	m.advance(now)
	if err := m.checkSubmit(s); err != nil {
		return err
	}
	m.lastArrival++
	seq := newSequence(s, m.lastArrival, m.settings.BlockTokens)
	m.byID[s.ID] = seq
	m.waiting = insertSorted(m.waiting, seq)
	m.queuedPrompt += int64(seq.prefillLeft)
	m.replan(now)
	return nil
}

// checkSubmit returns why the engine does not accept a sequence, or nil.
func (m *Model) checkSubmit(s Sequence) error {
	switch {
	case m.phase == phaseChanging:
		return ErrChanging
	case m.phase != phaseUp:
		return ErrDown
	case m.draining:
		return ErrDraining
	case m.byID[s.ID] != nil:
		return ErrDuplicate
	case !roleAccepts(m.current.role, s):
		return ErrWrongRole
	case s.PromptTokens <= 0 || (!s.PrefillOnly && s.OutputTokens <= s.ResumeFrom):
		return ErrInvalid
	case kvReservation(s, m.settings.BlockTokens) > m.settings.KVTokens:
		return ErrTooLarge
	}
	return nil
}

// roleAccepts reports whether an engine with the given role accepts a sequence:
// a prefill engine only prefills, a decode engine only continues from an
// imported KV cache, and a mixed engine does both.
func roleAccepts(role configv1.Role, s Sequence) bool {
	switch role {
	case configv1.Role_ROLE_PREFILL:
		return s.PrefillOnly
	case configv1.Role_ROLE_DECODE:
		return s.Imported && !s.PrefillOnly
	default:
		return true
	}
}

// Cancel stops a sequence and frees its memory. It returns false if no sequence
// has the ID.
func (m *Model) Cancel(now time.Duration, id string) bool {
	m.advance(now)
	seq := m.byID[id]
	if seq == nil {
		return false
	}
	m.remove(seq)
	m.replan(now)
	return true
}

// Export stops a sequence, keeps its KV cache for import by another engine, and
// returns the number of output tokens that exist. It returns ErrNotFound if no
// sequence has the ID, and ErrInvalid, without stopping the sequence, if it is
// not decoding yet.
func (m *Model) Export(now time.Duration, id string) (int, error) {
	m.advance(now)
	seq := m.byID[id]
	if seq == nil {
		return 0, ErrNotFound
	}
	if seq.state != decoding {
		return 0, ErrInvalid
	}
	m.holdExport(now, seq)
	m.remove(seq)
	m.emit(Event{At: now, Kind: EventDone, ID: id, TokenIndex: seq.produced, Reason: FinishedMoved})
	m.replan(now)
	return seq.produced, nil
}

// InsertPrefix adds blocks that were transferred from another engine to the
// prefix cache.
func (m *Model) InsertPrefix(now time.Duration, hashes []uint64) {
	m.advance(now)
	m.cache.insert(now, hashes)
}

// Release frees the memory of an exported KV cache. It returns false if the
// export does not exist or has expired.
func (m *Model) Release(now time.Duration, id string) bool {
	m.advance(now)
	for i, held := range m.exports {
		if held.id == id {
			m.kvUsed -= held.tokens
			m.exports = append(m.exports[:i], m.exports[i+1:]...)
			m.replan(now)
			return true
		}
	}
	return false
}

// ApplyOrder starts changing an empty engine to the given role and model
// version and returns the time at which the change is complete, which
// EventReady then reports. If the engine serves them already, the change is
// complete at once. It returns an error if the engine is not up or still has
// sequences.
func (m *Model) ApplyOrder(now time.Duration, role configv1.Role, model, version string) (time.Duration, error) {
	m.advance(now)
	switch {
	case m.phase == phaseChanging:
		return 0, ErrChanging
	case m.phase != phaseUp:
		return 0, ErrDown
	case len(m.byID) > 0:
		return 0, ErrBusy
	}
	m.ordered = assignment{role, model, version}
	m.phase = phaseChanging
	m.phaseEndsAt = now + m.changeDuration(m.ordered)
	m.advance(now)
	return m.phaseEndsAt, nil
}

// changeDuration returns how long a change takes. A change of both the role and
// the model takes the sum.
func (m *Model) changeDuration(to assignment) time.Duration {
	var duration time.Duration
	if to.role != m.current.role {
		duration += m.settings.RoleChangeTime
	}
	if to.model != m.current.model || to.version != m.current.version {
		duration += m.settings.ModelLoadTime
	}
	return duration
}

// SetDraining sets whether the engine rejects new sequences.
func (m *Model) SetDraining(now time.Duration, on bool) {
	m.advance(now)
	m.draining = on
}

// SetSlowdown sets the factor that multiplies the duration of every step; 1 is
// normal speed.
func (m *Model) SetSlowdown(now time.Duration, factor float64) {
	m.advance(now)
	m.slowdown = factor
	m.replan(now)
}

// SetReportLag sets the minimum age of load reports.
func (m *Model) SetReportLag(lag time.Duration) { m.loadHistory.lag = lag }

// Crash takes the engine down. All sequences fail, the KV cache is lost, and an
// order in progress has no effect.
func (m *Model) Crash(now time.Duration) {
	m.advance(now)
	for _, seq := range append(m.running, m.waiting...) {
		m.emit(Event{At: now, Kind: EventFailed, ID: seq.ID, TokenIndex: seq.produced})
	}
	m.running, m.waiting, m.exports = nil, nil, nil
	clear(m.byID)
	m.cache.clear()
	m.kvUsed, m.queuedPrompt = 0, 0
	m.steps = stepRun{}
	m.phase = phaseDown
	m.loadHistory.record(now, m.load())
}

// Restart starts a crashed engine. It is up again once its model is loaded,
// with the role and the model that it served before the crash. Restart has no
// effect unless the engine is down.
func (m *Model) Restart(now time.Duration) {
	m.advance(now)
	if m.phase != phaseDown {
		return
	}
	m.incarnation++
	m.draining = false
	m.ordered = m.current
	m.phase = phaseStarting
	m.phaseEndsAt = now + m.settings.ModelLoadTime
}

// LoadReport returns the newest load report that is available at now; it is at
// least ReportLag old.
func (m *Model) LoadReport(now time.Duration) LoadReport {
	m.advance(now)
	return m.loadHistory.at(now)
}

// CurrentLoad returns the load at now, without lag.
func (m *Model) CurrentLoad(now time.Duration) LoadReport {
	m.advance(now)
	return m.load()
}

// CacheEvents returns the cache events that are published by now, starting with
// sequence number since, and the sequence number to pass to the next call.
func (m *Model) CacheEvents(now time.Duration, since uint64) ([]CacheEvent, uint64) {
	m.advance(now)
	return m.cache.published(since, now-m.settings.CacheEventLag)
}

func (m *Model) load() LoadReport {
	return LoadReport{
		QueuedPromptTokens: m.queuedPrompt,
		Running:            len(m.running),
		Waiting:            len(m.waiting),
		KVUsed:             float64(m.kvUsed) / float64(m.settings.KVTokens),
	}
}

// remove removes a waiting or running sequence and frees its memory.
func (m *Model) remove(seq *sequence) {
	delete(m.byID, seq.ID)
	m.queuedPrompt -= int64(seq.prefillLeft)
	if seq.state == queued {
		m.waiting = removeSequence(m.waiting, seq)
		return
	}
	m.kvUsed -= seq.kvTokens
	m.running = removeSequence(m.running, seq)
}

// holdExport keeps the sequence's KV cache in memory for another engine.
func (m *Model) holdExport(now time.Duration, seq *sequence) {
	tokens := seq.PromptTokens + seq.produced
	m.exports = append(m.exports, heldExport{seq.ID, tokens, now + m.settings.ExportTTL})
	m.kvUsed += tokens
}

func (m *Model) emit(event Event) { m.events = append(m.events, event) }

func insertSorted(list []*sequence, seq *sequence) []*sequence {
	i := sort.Search(len(list), func(i int) bool { return seq.before(list[i]) })
	list = append(list, nil)
	copy(list[i+1:], list[i:])
	list[i] = seq
	return list
}

func removeSequence(list []*sequence, seq *sequence) []*sequence {
	for i, other := range list {
		if other == seq {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
