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
	beat = time.Second            // between heartbeats, and between reads of the list or the engine
	lag  = 4 * time.Second        // of the platform's list
	step = 100 * time.Millisecond // between sends
)

// scene is one entry that sends to one backend server through its agent.
type scene struct {
	t     *testing.T
	start time.Time
	store *fake.Store
	table *Table
	// cutOff: the entry reads no list. frozen: the agent does not run.
	cutOff, frozen    bool
	own               AdmissionState
	fileDrain, notice bool
	seq               uint64
}

func newScene(t *testing.T, cutOff bool) *scene {
	s := &scene{t: t, start: time.Now(), store: fake.New(fake.Options{}), table: newTable(), cutOff: cutOff}
	s.store.SetFaults(fake.Faults{InstanceLag: lag})
	s.beat()
	return s
}

func (s *scene) now() time.Duration { return time.Since(s.start) }

func (s *scene) listLeaving() {
	key := platform.Key{Kind: platform.KindInstance, Name: "i-1"}
	_, err := s.store.Put(s.t.Context(), key, []byte(`{"address":"10.0.0.1","leaving":true}`), 0)
	require.NoError(s.t, err)
}

// beat has the agent read its backend server, the file and the list, close
// its gate and then tell, and the entry read the list.
func (s *scene) beat() {
	list, err := s.store.List(s.t.Context(), platform.KindInstance)
	require.NoError(s.t, err)
	leaving := LeavingAddresses(list)
	if !s.cutOff {
		s.table.SetListedLeaving(leaving)
	}
	if s.frozen {
		return
	}
	s.own = AdmissionState{LeaveNotice: s.notice, Drain: s.fileDrain, ListedLeaving: len(leaving) > 0}
	s.seq++
	s.table.ObserveHeartbeat(heartbeat(1, s.seq, Admit(s.own) != Routable, peerv1.ServerState_SERVER_STATE_SERVING), s.now())
}

// lastNewWork sends for half a minute after the leave, which comes right
// after a beat, and returns when new work was last sent on.
func (s *scene) lastNewWork(passes func() bool) time.Duration {
	begin, last := time.Now(), time.Duration(-1)
	for i := range 300 {
		if i > 0 && time.Since(begin)%beat == 0 {
			s.beat()
		}
		if passes() {
			last = time.Since(begin)
		}
		time.Sleep(step)
	}
	return last
}

// passes: the entry routes to the backend server and the gate is open.
func (s *scene) passes() bool {
	return s.table.Reason("e1", s.now()) == Routable && Admit(s.own) == Routable
}

// naive routes to whatever the list does not show as leaving, with no gate.
func (s *scene) naive() bool { return !s.table.ListedLeaving(agentAddress) }

func TestLeavingServerGetsNoNewWork(t *testing.T) {
	list := func(s *scene) { s.listLeaving() }
	for _, c := range []struct {
		name   string
		cutOff bool
		leave  func(*scene)
		within time.Duration
		naive  bool // whether the naive rule goes on for good
	}{
		{"its own notice", false, func(s *scene) { s.notice = true }, beat, true},
		{"its own notice, entry cut off", true, func(s *scene) { s.notice = true }, beat, true},
		{"the platform's list", false, list, lag + beat, false},
		{"the platform's list, entry cut off", true, list, lag + beat, true},
		{"a drain in the file", false, func(s *scene) { s.fileDrain = true }, beat, true},
		{"a drain in the file, entry cut off", true, func(s *scene) { s.fileDrain = true }, beat, true},
		{"a failed heartbeat", false, func(s *scene) { s.frozen = true }, DefaultSuspectAfter, true},
		{"a failed heartbeat, entry cut off", true, func(s *scene) { s.frozen = true }, DefaultSuspectAfter, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newScene(t, c.cutOff)
				c.leave(s)
				last := s.lastNewWork(s.passes)
				t.Logf("last new work %v after the leave", last)
				require.LessOrEqual(t, last, c.within)
			})
			synctest.Test(t, func(t *testing.T) {
				s := newScene(t, c.cutOff)
				c.leave(s)
				last := s.lastNewWork(s.naive)
				require.Equal(t, c.naive, last > c.within, "naive: last new work after %v", last)
			})
		})
	}
}
