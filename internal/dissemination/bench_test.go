package dissemination

import (
	"fmt"
	"testing"
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// BenchmarkHeartbeat measures the cost of one received heartbeat: building the
// reply, finding what to fetch, and selecting the heartbeat peers of a round.
func BenchmarkHeartbeat(b *testing.B) {
	for _, processes := range []int{50, 150, 350} {
		b.Run(fmt.Sprintf("processes=%d", processes), func(b *testing.B) {
			var members []Member
			for i := range processes {
				name := fmt.Sprintf("10.0.%d.%d:7311", i%7, i)
				members = append(members, Member{Name: name, FailureDomain: fmt.Sprint("domain-", i%7), Address: name})
			}
			pr := New(Options{Self: members[0], Members: func() []Member { return members }, HeartbeatInterval: time.Second})
			pr.started = true
			for i := range targetServices {
				pr.considerPlan(targetPlan(i), nil)
			}
			hb := &peerv1.Heartbeat{Sender: "p", FailureDomain: "domain-1", Plans: []*peerv1.PlanVersion{{Service: service(1), Version: 1}}}
			b.ReportAllocs()
			for b.Loop() {
				pr.HandleHeartbeat(hb)
				pr.processHeartbeat(b.Context(), hb, "p")
				pr.view().HeartbeatPeers(1)
			}
		})
	}
}
