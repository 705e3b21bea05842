package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

// busyTable returns a table of a large fleet in which most servers have load of this gateway
// and of others and have answered before.
func busyTable(b *testing.B, prefills, decodes int) *Table {
	table := newTable(engines(prefills, decodes))
	for i, s := range engines(prefills, decodes) {
		f := table.RecordSend(0, Send{ServerID: s.ID, UncachedTokens: 300, PromptTokens: 300, TimeToFirstEvent: 90 * time.Millisecond})
		require.NotNil(b, f)
		table.RecordPrefilled(time.Duration(60+i%90)*time.Millisecond, f)
		table.RecordLoad(0, s.ID, Load{Running: i % 9, Slots: 16})
	}
	for gateway := range 8 {
		var loads []GatewayLoad
		for i, s := range engines(prefills, decodes) {
			if i%8 == gateway {
				loads = append(loads, GatewayLoad{ServerID: s.ID, Requests: 3, Work: waitingWork(500)})
			}
		}
		table.SetPeerLoads(0, fmt.Sprint("gateway-", gateway), loads)
	}
	return table
}

// BenchmarkChoose measures choices in a large fleet: of an engine for a short prompt, of two
// engines for a long one, and of a plain server.
func BenchmarkChoose(b *testing.B) {
	const start = 200 * time.Millisecond
	direct := short(1)
	direct.NoSplit = true
	for _, c := range []struct {
		name              string
		prefills, decodes int
		request           Request
	}{
		{"short/940", 400, 540, short(1)}, {"short-direct/940", 400, 540, direct}, {"long/940", 400, 540, long(1, 1)},
		{"short/58", 25, 33, short(1)}, {"long/58", 25, 33, long(1, 1)},
	} {
		b.Run(c.name, func(b *testing.B) {
			table := busyTable(b, c.prefills, c.decodes)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, err := table.Choose(start+time.Duration(i%1000), c.request); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
	b.Run("plain/940", func(b *testing.B) {
		table := NewTable(DefaultOptions("here"), nil)
		var servers []fleet.Server
		for i := range 940 {
			servers = append(servers, engine(fmt.Sprint("s", i), fleet.StageWhole, "here"))
		}
		table.SetServers(nil, servers)
		for i, s := range servers {
			f := table.RecordSend(0, Send{ServerID: s.ID, TimeToFirstEvent: 15 * time.Millisecond})
			table.RecordPrefilled(time.Duration(10+i%20)*time.Millisecond, f)
			table.RecordLoad(0, s.ID, Load{Running: i % 9, Slots: 16})
		}
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			if _, err := table.Choose(start+time.Duration(i%1000), Request{}); err != nil {
				b.Fatal(err)
			}
		}
	})
}
