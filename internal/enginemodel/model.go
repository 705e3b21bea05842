package enginemodel

import (
	"sort"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
)

// phase is whether the engine runs sequences.
type phase int

const (
	phaseUp phase = iota
	phaseChanging
	phaseStarting
	phaseDown
)

// State is what the engine serves at a moment.
type State struct {
	Role         configv1.Role
	Model        string
	ModelVersion string
	Up           bool
	Changing     bool
	Draining     bool
	// Incarnation rises with each restart.
	Incarnation uint64
}

// target is what an order has the engine take.
type target struct {
	role    configv1.Role
	model   string
	version string
}

// export is KV memory held for another engine.
type export struct {
	id      string
	tokens  int
	expires time.Duration
}

// Model is one engine.
type Model struct {
	settings Settings
	cache    *prefixCache
	reports  reports
	events   []Event
	spare    []Event

	serving     target
	ordered     target
	phase       phase
	phaseEnds   time.Duration
	draining    bool
	incarnation uint64
	slowdown    float64

	now      time.Duration
	free     time.Duration // when the next step may start
	run      run
	byID     map[string]*sequence
	waiting  []*sequence // by priority, then arrival
	running  []*sequence // by priority, then arrival
	exports  []export
	arrivals uint64

	kvUsed       int
	queuedPrompt int64
}

// New returns an engine that is up and idle at time 0.
func New(settings Settings, seed uint64) (*Model, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	return &Model{
		settings:    settings,
		cache:       newPrefixCache(settings, seed),
		reports:     reports{lag: settings.ReportLag},
		serving:     target{settings.Role, settings.Model, settings.ModelVersion},
		byID:        make(map[string]*sequence),
		incarnation: 1,
		slowdown:    1,
	}, nil
}

// State returns what the engine serves at now.
func (m *Model) State(now time.Duration) State {
	m.advance(now)
	return State{
		Role:         m.serving.role,
		Model:        m.serving.model,
		ModelVersion: m.serving.version,
		Up:           m.phase == phaseUp || m.phase == phaseChanging,
		Changing:     m.phase == phaseChanging,
		Draining:     m.draining,
		Incarnation:  m.incarnation,
	}
}

// Submit queues a sequence, or returns why the engine does not take it.
func (m *Model) Submit(now time.Duration, s Sequence) error {
	m.advance(now)
	if err := m.accepts(s); err != nil {
		return err
	}
	m.arrivals++
	seq := newSequence(s, m.arrivals, m.settings.BlockTokens)
	m.byID[s.ID] = seq
	m.waiting = insertSorted(m.waiting, seq)
	m.queuedPrompt += int64(seq.prefillLeft)
	m.disturb(now)
	return nil
}

func (m *Model) accepts(s Sequence) error {
	switch {
	case m.phase == phaseChanging:
		return ErrChanging
	case m.phase != phaseUp:
		return ErrDown
	case m.draining:
		return ErrDraining
	case m.byID[s.ID] != nil:
		return ErrDuplicate
	case !roleTakes(m.serving.role, s):
		return ErrWrongRole
	case s.PromptTokens <= 0 || (!s.PrefillOnly && s.OutputTokens <= s.ResumeFrom):
		return ErrInvalid
	case kvNeed(s, m.settings.BlockTokens) > m.settings.KVTokens:
		return ErrTooLarge
	}
	return nil
}

func roleTakes(role configv1.Role, s Sequence) bool {
	switch role {
	case configv1.Role_ROLE_PREFILL:
		return s.PrefillOnly
	case configv1.Role_ROLE_DECODE:
		return s.Imported && !s.PrefillOnly
	default:
		return true
	}
}

// Cancel stops a sequence and frees its memory; it reports whether there was
// one.
func (m *Model) Cancel(now time.Duration, id string) bool {
	m.advance(now)
	seq := m.byID[id]
	if seq == nil {
		return false
	}
	m.drop(seq)
	m.disturb(now)
	return true
}

// Export stops a sequence, holds its KV cache for import and returns the
// number of output tokens that exist. A sequence whose prefill is not done
// gives ErrInvalid and goes on.
func (m *Model) Export(now time.Duration, id string) (int, error) {
	m.advance(now)
	seq := m.byID[id]
	if seq == nil {
		return 0, ErrNotFound
	}
	if seq.state != decoding {
		return 0, ErrInvalid
	}
	m.hold(now, seq)
	m.drop(seq)
	m.emit(Event{At: now, Kind: EventDone, ID: id, TokenIndex: seq.produced, Reason: FinishedMoved})
	m.disturb(now)
	return seq.produced, nil
}

// InsertPrefix puts blocks that another engine has handed over into the prefix cache.
func (m *Model) InsertPrefix(now time.Duration, hashes []uint64) {
	m.advance(now)
	m.cache.insert(now, hashes)
}

// Release frees the memory of an exported KV cache; it reports whether it
// was still held.
func (m *Model) Release(now time.Duration, id string) bool {
	m.advance(now)
	for i, held := range m.exports {
		if held.id == id {
			m.kvUsed -= held.tokens
			m.exports = append(m.exports[:i], m.exports[i+1:]...)
			m.disturb(now)
			return true
		}
	}
	return false
}

// ApplyOrder has the empty engine take a role and a model version, and returns
// when that will be complete; a Changed event tells of it. An order for what
// is served already is complete at once.
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
	m.ordered = target{role, model, version}
	m.phase = phaseChanging
	m.phaseEnds = now + m.changeTime(m.ordered)
	m.advance(now)
	return m.phaseEnds, nil
}

func (m *Model) changeTime(to target) time.Duration {
	var took time.Duration
	if to.role != m.serving.role {
		took += m.settings.RoleChangeTime
	}
	if to.model != m.serving.model || to.version != m.serving.version {
		took += m.settings.ModelLoadTime
	}
	return took
}

// SetDraining sets whether the engine refuses new sequences.
func (m *Model) SetDraining(now time.Duration, on bool) {
	m.advance(now)
	m.draining = on
}

// SetSlowdown sets the factor by which all steps are longer; 1 is normal.
func (m *Model) SetSlowdown(now time.Duration, factor float64) {
	m.advance(now)
	m.slowdown = factor
	m.disturb(now)
}

// SetReportLag sets the least age of load reports.
func (m *Model) SetReportLag(lag time.Duration) { m.reports.lag = lag }

// Crash takes the engine down. All sequences fail, memory is lost, and an
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
	m.run = run{}
	m.phase = phaseDown
	m.reports.add(now, m.load())
}

// Restart starts a crashed engine, which is up after loading its model. It
// serves what it served before the crash.
func (m *Model) Restart(now time.Duration) {
	m.advance(now)
	if m.phase != phaseDown {
		return
	}
	m.incarnation++
	m.draining = false
	m.ordered = m.serving
	m.phase = phaseStarting
	m.phaseEnds = now + m.settings.ModelLoadTime
}

// LoadReport returns the load report that a reader gets at now.
func (m *Model) LoadReport(now time.Duration) LoadReport {
	m.advance(now)
	return m.reports.at(now)
}

// CurrentLoad returns the load at now without lag, as an observer beside the
// engine could count it.
func (m *Model) CurrentLoad(now time.Duration) LoadReport {
	m.advance(now)
	return m.load()
}

// CacheEvents returns the cache events published at now from sequence number
// since on, and the number to read from next.
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

// drop removes a sequence and frees its memory.
func (m *Model) drop(seq *sequence) {
	delete(m.byID, seq.ID)
	m.queuedPrompt -= int64(seq.prefillLeft)
	if seq.state == queued {
		m.waiting = removeSequence(m.waiting, seq)
		return
	}
	m.kvUsed -= seq.kvTokens
	m.running = removeSequence(m.running, seq)
}

// hold keeps the sequence's KV cache for another engine.
func (m *Model) hold(now time.Duration, seq *sequence) {
	tokens := seq.PromptTokens + seq.produced
	m.exports = append(m.exports, export{seq.ID, tokens, now + m.settings.ExportTTL})
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
