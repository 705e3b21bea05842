package departure

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/gatewaypeers"
)

// spreadFleet is a fleet of gateways in virtual time that know a server as ready.
type spreadFleet struct {
	books  []*Book
	tables []*gatewaypeers.Table
}

func newSpreadFleet(gateways int, servers []fleet.Server) *spreadFleet {
	f := &spreadFleet{}
	for i := range gateways {
		b := New()
		b.Retain(0, servers)
		table := gatewaypeers.NewTable(fmt.Sprint(i))
		for peer := range gateways {
			table.ObserveHeartbeat(0, fmt.Sprint(peer), fmt.Sprint(peer), 1, false)
		}
		f.books, f.tables = append(f.books, b), append(f.tables, table)
	}
	return f
}

// round lets every gateway exchange heartbeats with the peers whose turn it is. They exchange
// what they knew before the round.
func (f *spreadFleet) round(now time.Duration, servers []fleet.Server) {
	var reports [][]Report
	for _, b := range f.books {
		reports = append(reports, b.Reports(now))
	}
	for i, table := range f.tables {
		for _, p := range table.HeartbeatPeers(now) {
			var peer int
			_, _ = fmt.Sscan(p.Name, &peer)
			f.merge(now, servers, peer, reports[i])
			f.merge(now, servers, i, reports[peer])
			table.ObserveHeartbeat(now, p.Name, p.Address, 1, false)
			f.tables[peer].ObserveHeartbeat(now, fmt.Sprint(i), fmt.Sprint(i), 1, false)
		}
	}
}

func (f *spreadFleet) merge(now time.Duration, servers []fleet.Server, gateway int, reports []Report) {
	for _, r := range reports {
		for _, s := range servers {
			if s.ID == r.ServerID {
				f.books[gateway].Merge(now, s.Key(), r)
			}
		}
	}
}

// knowing returns how many gateways know that a server leaves.
func (f *spreadFleet) knowing(server fleet.Server) int {
	n := 0
	for _, b := range f.books {
		if b.Leaving(server.Key()) {
			n++
		}
	}
	return n
}

// At the target's size all gateways know within two seconds, while eight servers leave.
func TestDepartureSpreadsThroughLargeFleet(t *testing.T) {
	const gateways = 350
	var servers []fleet.Server
	for i := range maxReports {
		servers = append(servers, registered(fmt.Sprint("s", i), 1, false))
	}
	f := newSpreadFleet(gateways, servers)
	now := time.Second
	for i, s := range servers {
		f.books[i*gateways/len(servers)].Observe(now, s.Key())
	}
	for f.knowing(servers[0]) < gateways {
		now += gatewaypeers.HeartbeatInterval
		f.round(now, servers)
		t.Logf("%v: %d of %d gateways", now-time.Second, f.knowing(servers[0]), gateways)
		require.LessOrEqual(t, now-time.Second, 2*time.Second)
	}
	for _, s := range servers {
		require.Equal(t, gateways, f.knowing(s), s.ID)
	}
}
