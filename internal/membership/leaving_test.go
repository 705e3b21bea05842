package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/platform"
	"github.com/marigoldwing/marigoldwing/internal/platform/fake"
)

const (
	// heartbeatPeriod is the period of heartbeats, list reads and engine state
	// reads.
	heartbeatPeriod = time.Second
	listLag         = 4 * time.Second        // staleness of the platform's list
	sendPeriod      = 100 * time.Millisecond // period of sends
)

// leaveScenario simulates one entry that sends to one backend server through
// its agent.
type leaveScenario struct {
	t     *testing.T
	start time.Time
	store *fake.Store
	table *Table
	// cutOff is set if the entry cannot read the platform's list.
	cutOff, agentPaused bool
	admission           AdmissionState
	fileDrain, notice   bool
	seq                 uint64
}

func newLeaveScenario(t *testing.T, cutOff bool) *leaveScenario {
	s := &leaveScenario{t: t, start: time.Now(), store: fake.New(fake.Options{}), table: newTable(), cutOff: cutOff}
	s.store.SetFaults(fake.Faults{InstanceLag: listLag})
	s.runPeriod()
	return s
}

func (s *leaveScenario) now() time.Duration { return time.Since(s.start) }

func (s *leaveScenario) listLeaving() {
	key := platform.Key{Kind: platform.KindInstance, Name: "i-1"}
	_, err := s.store.Put(s.t.Context(), key, []byte(`{"address":"10.0.0.1","leaving":true}`), 0)
	require.NoError(s.t, err)
}

// runPeriod simulates one heartbeat period: the entry reads the platform's
// list, and the agent reads its backend server, the deployment file and the
// list, updates its admission and sends a heartbeat.
func (s *leaveScenario) runPeriod() {
	list, err := s.store.List(s.t.Context(), platform.KindInstance)
	require.NoError(s.t, err)
	leaving := LeavingAddresses(list)
	if !s.cutOff {
		s.table.SetListedLeaving(leaving)
	}
	if s.agentPaused {
		return
	}
	s.admission = AdmissionState{LeaveNotice: s.notice, Drain: s.fileDrain, ListedLeaving: len(leaving) > 0}
	s.seq++
	s.table.ObserveHeartbeat(heartbeat(1, s.seq, Admit(s.admission) != Routable, peerv1.ServerState_SERVER_STATE_SERVING), s.now())
}

// lastNewWork sends for 30 s after the leave, which happens right after a
// heartbeat, and returns when the last new work was admitted; -1 if none was.
func (s *leaveScenario) lastNewWork(admits func() bool) time.Duration {
	begin, last := time.Now(), time.Duration(-1)
	for i := range 300 {
		if i > 0 && time.Since(begin)%heartbeatPeriod == 0 {
			s.runPeriod()
		}
		if admits() {
			last = time.Since(begin)
		}
		time.Sleep(sendPeriod)
	}
	return last
}

// admitsNewWork reports whether the entry routes to the backend server and the
// agent admits the work.
func (s *leaveScenario) admitsNewWork() bool {
	return s.table.Reason("e1", s.now()) == Routable && Admit(s.admission) == Routable
}

// naiveAdmits is a naive policy: it routes to every backend server that the list
// does not show as leaving, and the agent admits all work.
func (s *leaveScenario) naiveAdmits() bool { return !s.table.ListedLeaving(agentAddress) }

// TestLeavingServerGetsNoNewWork checks, for each way in which a backend server
// can leave, how long it still receives new work, also if the entry cannot read
// the platform's list. The naive policy must fail in every case in which the
// list alone does not show the leave in time.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	list := func(s *leaveScenario) { s.listLeaving() }
	for _, c := range []struct {
		name   string
		cutOff bool
		leave  func(*leaveScenario)
		within time.Duration
		// naiveExceeds is set if the naive policy exceeds the limit.
		naiveExceeds bool
	}{
		{"own notice", false, func(s *leaveScenario) { s.notice = true }, heartbeatPeriod, true},
		{"own notice, entry cut off from the list", true, func(s *leaveScenario) { s.notice = true }, heartbeatPeriod, true},
		{"platform list", false, list, listLag + heartbeatPeriod, false},
		{"platform list, entry cut off from the list", true, list, listLag + heartbeatPeriod, true},
		{"drain in the deployment file", false, func(s *leaveScenario) { s.fileDrain = true }, heartbeatPeriod, true},
		{"drain in the deployment file, entry cut off from the list", true, func(s *leaveScenario) { s.fileDrain = true }, heartbeatPeriod, true},
		{"agent paused", false, func(s *leaveScenario) { s.agentPaused = true }, DefaultSuspectAfter, true},
		{"agent paused, entry cut off from the list", true, func(s *leaveScenario) { s.agentPaused = true }, DefaultSuspectAfter, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newLeaveScenario(t, c.cutOff)
				c.leave(s)
				lastAdmitted := s.lastNewWork(s.admitsNewWork)
				t.Logf("last new work %v after the leave", lastAdmitted)
				require.LessOrEqual(t, lastAdmitted, c.within)
			})
			synctest.Test(t, func(t *testing.T) {
				s := newLeaveScenario(t, c.cutOff)
				c.leave(s)
				lastAdmitted := s.lastNewWork(s.naiveAdmits)
				require.Equal(t, c.naiveExceeds, lastAdmitted > c.within, "naive policy: last new work after %v", lastAdmitted)
			})
		})
	}
}
