package dissemination

import (
	"fmt"
	"testing"
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// BenchmarkHeartbeat measures what one heartbeat costs the process that
// hears it: the answer, what there is to fetch, and the partners of a round.
func BenchmarkHeartbeat(b *testing.B) {
	for _, processes := range []int{50, 150, 350} {
		b.Run(fmt.Sprintf("processes=%d", processes), func(b *testing.B) {
			var members []Member
			for i := range processes {
				name := fmt.Sprintf("10.0.%d.%d:7311", i%7, i)
				members = append(members, Member{Name: name, FailureDomain: fmt.Sprint("domain-", i%7), Address: name})
			}
			s := New(Options{Self: members[0], Members: func() []Member { return members }, HeartbeatInterval: time.Second})
			s.started = true
			for i := range targetServices {
				s.takePlan(targetPlan(i), nil)
			}
			hb := &peerv1.Heartbeat{Sender: "p", FailureDomain: "domain-1", Plans: []*peerv1.PlanVersion{{Service: service(1), Version: 1}}}
			b.ReportAllocs()
			for b.Loop() {
				s.HandleHeartbeat(hb)
				s.learn(b.Context(), hb, "p")
				s.view().HeartbeatPeers(1)
			}
		})
	}
}
