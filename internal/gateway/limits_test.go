package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/placement"
	"github.com/marigoldwing/marigoldwing/internal/serverlimit"
)

// fakePeers are the names of the gateways of a fleet.
type fakePeers []string

func (p fakePeers) LiveCount() int         { return len(p) }
func (p fakePeers) SharingNames() []string { return p }

func (p fakePeers) Owner(string) (name, address string) { return "", "" }
func (fakePeers) Keepers(string, int) []string          { return nil }

func (p fakePeers) NotifyPeers() {}

// TestPauseWithoutShareOfLimit checks that of many gateways before one server with a
// low limit a single one waits for it, and that the others know that only the limit
// excludes the server.
func TestPauseWithoutShareOfLimit(t *testing.T) {
	var names fakePeers
	for i := range 40 {
		names = append(names, fmt.Sprint("gateway", i))
	}
	waiting := 0
	for _, name := range names {
		g := New(Options{Name: name, Registerer: prometheus.NewRegistry()})
		g.peers = names
		spec := fleet.Service{Name: "app"}
		s := g.newService(spec)
		s.setServers(0, spec, []fleet.Server{{ID: "i-1", Service: "app"}, {ID: "i-2", Service: "app", Leaving: true}})
		require.Equal(t, hold{free: true}, s.hold(time.Second, placement.Request{}))
		_, changed := s.observeLimit(time.Second, fleet.Server{ID: "i-1"}, 0, serverlimit.Statement{Rate: 0.5, Limited: true})
		require.True(t, changed)
		h := s.hold(time.Second, placement.Request{})
		require.True(t, h.held)
		require.False(t, h.free)
		require.False(t, h.paused)
		require.Equal(t, []string{"i-1"}, s.heldServers(time.Second))
		if h.ends {
			waiting++
			require.Equal(t, 2*time.Second, h.wait)
		}
	}
	require.Equal(t, 1, waiting)
}
