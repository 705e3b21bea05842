package registry

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/revision"
)

// downSource is a store that rejects all calls.
type downSource struct {
	Source
	calls atomic.Int64
}

func (s *downSource) Servers(context.Context) ([]fleet.Change, revision.Revision, error) {
	s.calls.Add(1)
	return nil, 0, ErrUnavailable
}

func (s *downSource) Config(context.Context) (*fleet.Config, revision.Revision, error) {
	s.calls.Add(1)
	return nil, 0, ErrUnavailable
}

func (s *downSource) Generation() uint64 { return 1 }
func (s *downSource) Reconnect()         {}

// callsInOutage returns the calls that a gateway makes to a store that is down for 10 s, while
// another gateway states a newer configuration five times a second.
func callsInOutage(t *testing.T, gateways int, isRelay bool) int64 {
	t.Helper()
	source := &downSource{}
	synctest.Test(t, func(t *testing.T) {
		f := NewFollower(source, Bounds{Config: 3 * time.Second, Leaving: 3 * time.Second}, logevent.Log{}, func(*fleet.Config, []fleet.Server) {})
		f.SetRelay(func() (int, bool) { return gateways, isRelay }, f.now)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		go func() {
			for ctx.Err() == nil {
				f.ObservePeerVersions(7, 0)
				sleep(ctx, 200*time.Millisecond)
			}
		}()
		f.Run(ctx)
	})
	return source.calls.Load()
}

// TestOutageOfLargeFleetMakesFewCalls guards against calls to a store that is down which grow
// with the fleet, and against a gateway that calls again at each heartbeat of one with a newer
// configuration.
func TestOutageOfLargeFleetMakesFewCalls(t *testing.T) {
	relay, other := callsInOutage(t, 40, true), callsInOutage(t, 40, false)
	require.Less(t, other, relay*2/3)
	require.Less(t, relay, int64(2*10*5), "two kinds, at most some five calls a second")
	require.InDelta(t, relay, callsInOutage(t, 4, false), float64(relay)/4, "a small fleet has no relays")
}
