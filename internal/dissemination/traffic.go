package dissemination

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// Overhead of a message on the wire in addition to its protobuf content, which
// both JSON-RPC and the object API carry in base64.
const (
	// rpcEnvelopeBytes is the size of the JSON-RPC envelope.
	rpcEnvelopeBytes = 72
	// storeCallOverheadBytes is the size of one object API request and its
	// response without values: HTTP headers, JSON and packet headers.
	storeCallOverheadBytes = 550
	// watchHeldFraction is the average fraction of the watch timeout for which
	// the server holds a watch open.
	watchHeldFraction = 0.75
	// packetHeaderBytes is the size of the IP and TCP headers of one packet.
	packetHeaderBytes = 52
	// packetPayloadBytes is the payload capacity of one packet.
	packetPayloadBytes = 1400
)

// PeerMessageBytes returns the size of a peer message on the wire in bytes,
// envelope and packet headers included.
func PeerMessageBytes(message proto.Message) int {
	return withPacketHeaders(rpcEnvelopeBytes + (proto.Size(message)+2)/3*4)
}

// withPacketHeaders adds the packet headers for the given number of payload
// bytes.
func withPacketHeaders(content int) int {
	packets := (content + packetPayloadBytes - 1) / packetPayloadBytes
	return content + packets*packetHeaderBytes
}

// StoreCallBytes returns the size in bytes of one object API call that carries
// a value of the given size; 0 means no value.
func StoreCallBytes(value int) int {
	return storeCallOverheadBytes + withPacketHeaders((value+2)/3*4) - withPacketHeaders(0)
}

// TrafficModel estimates the control traffic per process of a deployment.
type TrafficModel struct {
	Processes, Domains, Services int
	// ServicesPerProcess is the number of services whose plans a process needs.
	ServicesPerProcess int
	// HeartbeatInterval is the time between heartbeat rounds.
	HeartbeatInterval time.Duration
	// ConfigInterval is the mean time between accepted configurations, and
	// PlanInterval the mean time between plans of one service.
	ConfigInterval, PlanInterval time.Duration
	// Sample messages of typical size. StoredConfig is the stored form of a
	// configuration, which each configuration change sends to every relay.
	Heartbeat    *peerv1.Heartbeat
	Delta        *configv1.DeploymentDelta
	StoredConfig *configv1.AcceptedDeployment
	Plan         *peerv1.Plan
	// PlanServers are the backend servers of one process in one plan.
	PlanServers []string
}

// TrafficItem is one component of a process's control traffic, sent and
// received together.
type TrafficItem struct {
	Label          string
	BytesPerSecond float64
}

// String returns the item as one line of a table.
func (i TrafficItem) String() string {
	return fmt.Sprintf("%-44s %7.1f B/s", i.Label, i.BytesPerSecond)
}

// TotalBytesPerSecond returns the sum of all items.
func TotalBytesPerSecond(items []TrafficItem) float64 {
	sum := 0.0
	for _, item := range items {
		sum += item.BytesPerSecond
	}
	return sum
}

// Estimate returns the control traffic of a process that is not a relay, and of
// a relay.
func (m TrafficModel) Estimate() (member, relay []TrafficItem) {
	r := m.rates()
	exchange := 2 * float64(PeerMessageBytes(m.Heartbeat))
	fetchConfig := float64(PeerMessageBytes(&peerv1.FetchConfig{HaveRevision: 1 << 20}) +
		PeerMessageBytes(&peerv1.FetchConfigReply{Deltas: []*configv1.DeploymentDelta{m.Delta}}))
	fetch := &peerv1.FetchPlan{Service: m.Plan.GetService(), HaveVersion: 1, BackendServers: m.PlanServers}
	server := &Propagator{plans: map[string]*heldPlan{m.Plan.GetService(): {plan: m.Plan}}}
	fetchPlan := float64(PeerMessageBytes(fetch) + PeerMessageBytes(server.HandleFetchPlan(fetch)))
	plans := float64(m.ServicesPerProcess) * r.plan
	member = []TrafficItem{
		{"heartbeats with members and relays", r.memberExchanges * exchange},
		{"configuration notifications received", r.config * exchange},
		{"configuration fetches", r.config * fetchConfig},
		{"plan notifications received", plans * exchange},
		{"plan fetches", plans * fetchPlan},
	}
	storedConfigBytes := StoreCallBytes(proto.Size(m.StoredConfig)) - storeCallOverheadBytes
	responses := r.config + 1/(configWatchTimeout.Seconds()*watchHeldFraction)
	storedPlanBytes := StoreCallBytes(proto.Size(m.Plan)) - storeCallOverheadBytes
	relay = []TrafficItem{
		{"heartbeats with members and relays", r.relayExchanges * exchange},
		{"configuration notifications", r.config * r.configExchanges * exchange},
		{"configuration fetches served", r.config * r.membersPerRelay * fetchConfig},
		{"plan notifications sent", r.membersPerRelay * plans * exchange},
		{"plan fetches served", r.membersPerRelay * plans * fetchPlan},
		{"watch of the configuration", storeCallOverheadBytes*responses + (r.config+responses/relistEvery)*float64(storedConfigBytes)},
		{"watch of the plans", storeCallOverheadBytes/(planWatchTimeout.Seconds()*watchHeldFraction) + float64(m.Services)*r.plan*float64(storedPlanBytes+storeCallOverheadBytes)},
	}
	return member, relay
}

// rates holds event rates per second and member counts.
type rates struct {
	config, plan                    float64
	memberExchanges, relayExchanges float64
	// membersPerRelay is the number of members assigned to each relay.
	// configExchanges is the number of exchanges that one new configuration
	// causes at a relay: with its assigned members, and with the other relays
	// in both directions.
	membersPerRelay, configExchanges float64
}

// rates derives the event rates from the heartbeat schedule (see
// HeartbeatPeers) and the notification fan-out (see NotifyTargets).
func (m TrafficModel) rates() rates {
	rounds := 1 / m.HeartbeatInterval.Seconds()
	perDomain := float64(m.Processes) / float64(m.Domains)
	members := perDomain - RelaysPerDomain
	// Rate at which each member contacts a given other member in a round.
	direct := (1 - 1.0/relayEvery - 1.0/crossDomainEvery) / (perDomain - 1)
	fromMembers := members * direct
	fromRelays := RelaysPerDomain * 1.0 / relayCrossDomainEvery / (perDomain - 1)
	toRelay := members / relayEvery / RelaysPerDomain
	// Heartbeats per round that a relay sends to relays of other failure
	// domains, and to members of its own.
	cross, own := 1.0/relayCrossDomainEvery, 1.0/relayCrossDomainEvery
	share := members / RelaysPerDomain
	return rates{
		config:          1 / m.ConfigInterval.Seconds(),
		plan:            1 / m.PlanInterval.Seconds(),
		memberExchanges: rounds * (1 + fromMembers + fromRelays + 1.0/crossDomainEvery),
		relayExchanges:  rounds * (2*cross + own + fromMembers + fromRelays + toRelay + 1.0/crossDomainEvery),
		membersPerRelay: share,
		configExchanges: share + 2*(RelaysPerDomain-1),
	}
}
