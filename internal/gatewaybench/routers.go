package gatewaybench

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldwing/marigoldwing/internal/placement"
)

// gatewayRouter routes requests with the placement package, as gateways do.
type gatewayRouter struct {
	profile *profile
	tables  []*placement.Table
	// coordinated makes the first gateway, as the coordinator, place all long
	// prompts.
	coordinated   bool
	lastPlacement uint64 // number of the last placement
}

func newGatewayRouter(sim *simulation, coordinated bool) *gatewayRouter {
	g := &gatewayRouter{profile: sim.profile, coordinated: coordinated}
	for i := range sim.profile.gateways {
		opts := placement.DefaultOptions(domainOf(i, sim.profile))
		opts.Gateway = fmt.Sprint("gateway-", i)
		table := placement.NewTable(opts, sim.profile.spec())
		table.SetServers(sim.profile.spec(), sim.servers())
		g.tables = append(g.tables, table)
	}
	return g
}

// maxSpeedReports is the number of reports that a gateway can send to each other one in
// an exchange, with the 40 per second of package gateway.
const maxSpeedReports = 1

// tick implements router.
func (g *gatewayRouter) tick(now time.Duration) {
	for i, from := range g.tables {
		for j, to := range g.tables {
			if i != j {
				to.SetPeerLoads(now, fmt.Sprint("gateway-", i), from.OwnLoads(now))
				to.MergeSpeeds(now, fmt.Sprint("gateway-", i), from.SpeedReports(now, maxSpeedReports))
			}
		}
	}
}

// tableFor returns the placement table that places a request: that of the
// coordinator for a long prompt if coordinated is set, and otherwise that of
// the request's own gateway.
func (g *gatewayRouter) tableFor(now time.Duration, r *request) *placement.Table {
	if !g.coordinated || r.promptTokens < placement.MinCoordinatedTokens {
		return g.tables[r.gateway]
	}
	g.tables[0].SetCoordinatorSince(now, 0)
	return g.tables[0]
}

// send implements router.
func (g *gatewayRouter) send(sim *simulation, now time.Duration, r *request) {
	table := g.tableFor(now, r)
	g.lastPlacement++
	number := g.lastPlacement
	c, err := table.PlaceForPeer(now, "bench", number, r.placementRequest())
	if err != nil {
		return
	}
	recordEnd := func(now time.Duration) { table.RecordPeerPrefillEnd(now, "bench", number, true) }
	first := c.Server.ID
	s := r.sequence()
	if c.Split {
		first, s.PrefillOnly = c.PrefillServer.ID, true
	}
	s.Priority = -c.Priority
	n := sim.byID[first]
	if c.FetchFrom != "" {
		n.model.InsertPrefix(now, r.prefixHashes[:r.sharedBlocks()])
	}
	watch := &watcher{done: func(time.Duration) {}}
	if c.Split {
		watch.done = func(now time.Duration) {
			recordEnd(now)
			g.startDecode(sim, now, r, c)
		}
	} else {
		watch.started = func(now time.Duration) {
			recordEnd(now)
			r.recordFirstEvent(sim, now)
		}
	}
	if !n.submit(now, s, watch) {
		table.RecordPeerPrefillEnd(now, "bench", number, false)
	}
}

// startDecode starts the decoding of a prompt that has been prefilled.
func (g *gatewayRouter) startDecode(sim *simulation, now time.Duration, r *request, c placement.Choice) {
	table := g.tables[r.gateway]
	d, err := table.ChooseDecode(now, r.placementRequest(), c.PrefillServer)
	if err != nil {
		return
	}
	ticket := table.RecordSend(now, placement.Send{ServerID: d.Server.ID, UncachedTokens: 1, PromptTokens: r.promptTokens, Parts: r.parts, TimeToFirstEvent: d.TimeToFirstEvent, Imported: true})
	s := r.sequence()
	s.Imported = true
	sim.byID[c.PrefillServer.ID].model.Release(now, r.id)
	sim.byID[d.Server.ID].submit(now, s, &watcher{
		started: func(now time.Duration) {
			table.RecordPrefilled(now, ticket)
			r.recordFirstEvent(sim, now)
		},
		done: func(now time.Duration) { table.RecordEnd(now, ticket) },
	})
}

// recordFirstEvent records the time to the first event.
func (r *request) recordFirstEvent(sim *simulation, now time.Duration) {
	r.firstEvent = now - r.at + sim.profile.engines.firstEventOverhead
}

// forwarder sends each prompt to the decode engine given by the hash of its
// shared prefix. If the gateway already has as many requests there as its share
// of the slots, it tries the following engines in order.
type forwarder struct {
	// inFlight counts the requests in flight by gateway and engine ID.
	inFlight map[int]map[string]int
}

func newForwarder() *forwarder { return &forwarder{inFlight: make(map[int]map[string]int)} }

// tick implements router. Forwarders do not exchange information.
func (f *forwarder) tick(time.Duration) {}

// send implements router.
func (f *forwarder) send(sim *simulation, now time.Duration, r *request) {
	inFlight := f.inFlight[r.gateway]
	if inFlight == nil {
		inFlight = make(map[string]int)
		f.inFlight[r.gateway] = inFlight
	}
	decodeNodes := sim.nodes[sim.profile.engines.prefillEngines:]
	begin := int(xxhash.Sum64String(r.parts[0].ID) % uint64(len(decodeNodes)))
	chosen := decodeNodes[begin]
	for i := range decodeNodes {
		n := decodeNodes[(begin+i)%len(decodeNodes)]
		if inFlight[n.server.ID] < sim.profile.engines.slots/sim.profile.gateways {
			chosen = n
			break
		}
	}
	id := chosen.server.ID
	inFlight[id]++
	accepted := chosen.submit(now, r.sequence(), &watcher{
		started: func(now time.Duration) { r.recordFirstEvent(sim, now) },
		done:    func(time.Duration) { inFlight[id]-- },
	})
	if !accepted {
		inFlight[id]--
	}
}
