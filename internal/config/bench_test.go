package config

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
)

// sized returns a deployment with the given numbers of clients and engines.
func sized(clients, engines int) *configv1.Deployment {
	d := &configv1.Deployment{
		Name:           "large",
		Defaults:       &configv1.Defaults{ClientWeight: 1, MaxDeadlineMs: 600_000},
		FailureDomains: []*configv1.FailureDomain{{Name: "d-0", Region: "r"}},
		Models:         []*configv1.Model{{Name: "m", Version: "1"}},
		Services:       []*configv1.Service{{Name: "m", Kind: configv1.ServiceKind_SERVICE_KIND_MODEL, Model: "m", DeadlineMs: 1000}},
	}
	for i := range clients {
		d.Clients = append(d.Clients, &configv1.Client{Name: fmt.Sprintf("client-%05d", i), Token: fmt.Sprintf("%032d", i), Weight: 1})
	}
	for i := range engines {
		d.BackendServers = append(d.BackendServers, &configv1.BackendServer{
			Name: fmt.Sprintf("engine-%04d", i), Service: "m", FailureDomain: "d-0",
			Agent: fmt.Sprintf("10.0.%d.%d:7311", i/600, i/3%200), Address: fmt.Sprintf("http://10.1.%d.%d:80", i/200, i%200),
			PrefillTokensPerSecond: 8000, DecodeTokensPerSecond: 1600, MaxBatch: 32, Role: configv1.Role_ROLE_MIXED,
		})
	}
	return d
}

// BenchmarkAdoptDelta measures the cost of one change received from a peer:
// applying the delta, and validating and adopting the result.
func BenchmarkAdoptDelta(b *testing.B) {
	for _, size := range []struct{ clients, engines int }{{1500, 120}, {6000, 470}, {12000, 940}} {
		b.Run(fmt.Sprintf("clients=%d/engines=%d", size.clients, size.engines), func(b *testing.B) {
			d := sized(size.clients, size.engines)
			require.NoError(b, Validate(d))
			from := accepted(7, "x", d)
			changed := proto.CloneOf(d)
			changed.Clients[3].Priority = 4
			delta := NewDelta(from, successor(from, ApplyRequest{Deployment: changed, ID: "y"}, time.UnixMilli(1)))
			b.ReportMetric(float64(proto.Size(d)), "deployment-bytes")
			b.ReportMetric(float64(proto.Size(delta)), "delta-bytes")
			b.ReportAllocs()
			for b.Loop() {
				next, err := ApplyDelta(from, delta)
				if err != nil || !Evaluate(from, next, FromPeer).Adopt {
					b.Fatal("not adopted")
				}
			}
		})
	}
}
