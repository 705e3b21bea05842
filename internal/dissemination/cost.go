package dissemination

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// Sizes of a message on the wire beside its protobuf content, which JSON-RPC
// and the object API carry in base64.
const (
	// envelopeBytes is the JSON-RPC envelope.
	envelopeBytes = 72
	// storeCallBytes is one call of the object API and its answer without
	// values: HTTP headers, JSON and packets.
	storeCallBytes = 550
	// heldShare is the share of a watch's time for which the server holds it.
	heldShare = 0.75
	// packetBytes is the IP and TCP header of one packet.
	packetBytes = 52
	// packetContentBytes is what one packet holds.
	packetContentBytes = 1400
)

// PeerMessageBytes returns the bytes that a message to a peer takes on the wire.
func PeerMessageBytes(message proto.Message) int {
	return withPackets(envelopeBytes + (proto.Size(message)+2)/3*4)
}

func withPackets(content int) int {
	packets := (content + packetContentBytes - 1) / packetContentBytes
	return content + packets*packetBytes
}

// StoreBytes returns the bytes of one call of the object API that carries a
// value of the given size, or none.
func StoreBytes(value int) int { return storeCallBytes + withPackets((value+2)/3*4) - withPackets(0) }

// TrafficModel is a deployment for which the control traffic is worked out.
type TrafficModel struct {
	Processes, Domains, Services int
	// ServicesPerProcess is how many services' plans a process needs.
	ServicesPerProcess int
	// HeartbeatInterval between heartbeats.
	HeartbeatInterval time.Duration
	// ConfigInterval is the mean time between accepted configurations, and
	// PlanInterval that between the plans of one service.
	ConfigInterval, PlanInterval time.Duration
	// Messages of the typical sizes. Head is the stored form.
	Heartbeat    *peerv1.Heartbeat
	Delta        *configv1.DeploymentDelta
	StoredConfig *configv1.AcceptedDeployment
	Plan         *peerv1.Plan
	// NeededBackendServers are the backend servers of a process in one plan.
	PlanServers []string
}

// TrafficItem is one part of a process's control traffic, sent and received.
type TrafficItem struct {
	Label          string
	BytesPerSecond float64
}

// String returns the line as a page shows it.
func (l TrafficItem) String() string {
	return fmt.Sprintf("%-44s %7.1f B/s", l.Label, l.BytesPerSecond)
}

// TotalBytesPerSecond returns the bytes a second of all lines.
func TotalBytesPerSecond(lines []TrafficItem) float64 {
	sum := 0.0
	for _, l := range lines {
		sum += l.BytesPerSecond
	}
	return sum
}

// Estimate returns the control traffic of a process that is no relay, and of a
// relay.
func (s TrafficModel) Estimate() (member, relay []TrafficItem) {
	r := s.rates()
	exchange := 2 * float64(PeerMessageBytes(s.Heartbeat))
	fetchConfig := float64(PeerMessageBytes(&peerv1.FetchConfig{HaveRevision: 1 << 20}) +
		PeerMessageBytes(&peerv1.FetchConfigReply{Deltas: []*configv1.DeploymentDelta{s.Delta}}))
	ask := &peerv1.FetchPlan{Service: s.Plan.GetService(), HaveVersion: 1, BackendServers: s.PlanServers}
	holder := &Propagator{plans: map[string]*plan{s.Plan.GetService(): {plan: s.Plan}}}
	fetchPlan := float64(PeerMessageBytes(ask) + PeerMessageBytes(holder.HandleFetchPlan(ask)))
	plans := float64(s.ServicesPerProcess) * r.plan
	member = []TrafficItem{
		{"heartbeats with members and relays", r.memberExchanges * exchange},
		{"told of configurations", r.config * exchange},
		{"fetched configurations", r.config * fetchConfig},
		{"told of plans", plans * exchange},
		{"fetched plans", plans * fetchPlan},
	}
	head := StoreBytes(proto.Size(s.StoredConfig)) - storeCallBytes
	answers := r.config + 1/(watchWait.Seconds()*heldShare)
	plan := StoreBytes(proto.Size(s.Plan)) - storeCallBytes
	relay = []TrafficItem{
		{"heartbeats with members and relays", r.relayExchanges * exchange},
		{"configurations told", r.config * r.told * exchange},
		{"configurations handed out", r.config * r.share * fetchConfig},
		{"plans told", r.share * plans * exchange},
		{"plans handed out", r.share * plans * fetchPlan},
		{"watch of the configuration", storeCallBytes*answers + (r.config+answers/wholeEvery)*float64(head)},
		{"watch of the plans", storeCallBytes/(planWatchWait.Seconds()*heldShare) + float64(s.Services)*r.plan*float64(plan+storeCallBytes)},
	}
	return member, relay
}

// rates are events a second, and numbers of members.
type rates struct {
	config, plan                    float64
	memberExchanges, relayExchanges float64
	// share is how many members a relay tells, told all whom it tells or is
	// told by.
	share, told float64
}

func (s TrafficModel) rates() rates {
	rounds := 1 / s.HeartbeatInterval.Seconds()
	perDomain := float64(s.Processes) / float64(s.Domains)
	members := perDomain - RelaysPerDomain
	// What each of the members sends to a given other in a round.
	direct := (1 - 1.0/relayRounds - 1.0/crossRounds) / (perDomain - 1)
	fromMembers := members * direct
	fromRelays := RelaysPerDomain * 1.0 / relayCrossRounds / (perDomain - 1)
	toRelay := members / relayRounds / RelaysPerDomain
	cross, own := 1.0/relayCrossRounds, 1.0/relayCrossRounds
	share := members / RelaysPerDomain
	return rates{
		config:          1 / s.ConfigInterval.Seconds(),
		plan:            1 / s.PlanInterval.Seconds(),
		memberExchanges: rounds * (1 + fromMembers + fromRelays + 1.0/crossRounds),
		relayExchanges:  rounds * (2*cross + own + fromMembers + fromRelays + toRelay + 1.0/crossRounds),
		share:           share,
		told:            share + 2*(RelaysPerDomain-1),
	}
}
