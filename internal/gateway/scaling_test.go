package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/placement"
	"github.com/marigoldwing/marigoldwing/internal/platform/fake"
)

// scalePlatform records the orders for servers.
type scalePlatform struct {
	fakeDutyPlatform
	mu     sync.Mutex
	orders []string
}

func (p *scalePlatform) SetDesired(_ context.Context, _ DutyCall, service, failureDomain string, desired int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders = append(p.orders, fmt.Sprintf("%s %s %d", service, failureDomain, desired))
	return nil
}

func (p *scalePlatform) last() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.orders) == 0 {
		return ""
	}
	return p.orders[len(p.orders)-1]
}

// TestServersAreOrderedForLoad guards against a service with bounds that is not scaled with its
// load in a failure domain, and against orders for one without bounds.
func TestServersAreOrderedForLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		platform := &scalePlatform{}
		g := New(Options{Name: "gw-1", FailureDomain: "d1", Registerer: prometheus.NewRegistry(), RetryBudget: RetryBudget{Ratio: 1},
			BootTime: func() time.Duration { return time.Since(start) }})
		g.EnableDuties(DutyOptions{Platform: platform, Leases: fake.New(fake.Options{}), LeaseDuration: testLease, Fenced: true, CallsPerSecond: 50}, nil, true)
		go g.RunDuties(t.Context())
		server := func(id, service string) fleet.Server {
			return fleet.Server{ID: id, Service: service, Address: "10.0.0.1:80", FailureDomain: "d1", Slots: 4}
		}
		servers := []fleet.Server{server("s1", "app"), server("s2", "app"), server("s3", "fixed")}
		g.Update(fleet.NewConfig(1, 0, nil, []fleet.Service{{Name: "app"}, {Name: "fixed"}}), servers)
		time.Sleep(20 * time.Second)
		require.Empty(t, platform.last(), "no service has bounds")
		scaling := &fleet.Scaling{Min: 1, Max: 8, StartTime: 2 * time.Second}
		g.Update(fleet.NewConfig(2, 0, nil, []fleet.Service{{Name: "app", Scaling: scaling}, {Name: "fixed"}}), servers)
		app := g.state.Load().services["app"]
		for range 12 {
			app.recordSend(g.now(), placement.Send{ServerID: "s1"})
		}
		time.Sleep(20 * time.Second)
		require.Equal(t, "app d1 5", platform.last(), "12 requests at 0.7 of 4 slots")
	})
}
