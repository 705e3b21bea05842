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
	// coordinated makes the first gateway place all long prompts, as the
	// coordinator does.
	coordinated   bool
	lastPlacement uint64
}

func newGatewayRouter(w *simulation, coordinated bool) *gatewayRouter {
	g := &gatewayRouter{profile: w.profile, coordinated: coordinated}
	for i := range w.profile.gateways {
		table := placement.NewTable(placement.DefaultOptions(domainOf(i, w.profile)), w.profile.spec())
		table.SetServers(w.profile.spec(), w.servers())
		g.tables = append(g.tables, table)
	}
	return g
}

// tick implements router.
func (g *gatewayRouter) tick(now time.Duration) {
	for i, from := range g.tables {
		for j, to := range g.tables {
			if i != j {
				to.SetPeerLoads(now, fmt.Sprint("gateway-", i), from.OwnLoads())
			}
		}
	}
}

// tableFor returns the table that places a request.
func (g *gatewayRouter) tableFor(now time.Duration, r *request) *placement.Table {
	if !g.coordinated || r.prompt < placement.MinCoordinatedTokens {
		return g.tables[r.gateway]
	}
	g.tables[0].SetCoordinatorSince(now, 0)
	return g.tables[0]
}

// send implements router.
func (g *gatewayRouter) send(w *simulation, now time.Duration, r *request) {
	table := g.tableFor(now, r)
	g.lastPlacement++
	number := g.lastPlacement
	c, err := table.PlaceForPeer(now, "bench", number, r.placementRequest())
	if err != nil {
		return
	}
	placed := func(now time.Duration) { table.RecordPlacedEnd(now, "bench", number, true) }
	first := c.Server.ID
	s := r.sequence()
	if c.Split {
		first, s.PrefillOnly = c.Prefill.ID, true
	}
	if c.Deferred {
		s.Priority--
	}
	n := w.byID[first]
	if c.FetchFrom != "" {
		n.model.InsertPrefix(now, r.hashes[:r.sharedBlocks()])
	}
	watch := &watcher{done: func(time.Duration) {}}
	if c.Split {
		watch.done = func(now time.Duration) {
			placed(now)
			g.startDecode(w, now, r, c)
		}
	} else {
		watch.started = func(now time.Duration) {
			placed(now)
			r.recordFirstEvent(w, now)
		}
	}
	if !n.submit(now, s, watch) {
		table.RecordPlacedEnd(now, "bench", number, false)
	}
}

// startDecode starts the decoding of a prompt that has been prefilled.
func (g *gatewayRouter) startDecode(w *simulation, now time.Duration, r *request, c placement.Choice) {
	table := g.tables[r.gateway]
	d, err := table.ChooseDecode(now, r.placementRequest(), c.Prefill)
	if err != nil {
		return
	}
	ticket := table.RecordSend(now, placement.Send{Server: d.Server.ID, UncachedTokens: 1, PromptTokens: r.prompt, Parts: r.parts, TimeToFirstEvent: d.TimeToFirstEvent})
	s := r.sequence()
	s.Imported = true
	w.byID[c.Prefill.ID].model.Release(now, r.id)
	w.byID[d.Server.ID].submit(now, s, &watcher{
		started: func(now time.Duration) {
			table.RecordPrefilled(now, ticket)
			r.recordFirstEvent(w, now)
		},
		done: func(time.Duration) { table.RecordEnd(ticket) },
	})
}

// recordFirstEvent records the time to the first event.
func (r *request) recordFirstEvent(w *simulation, now time.Duration) {
	r.firstEvent = now - r.at + w.profile.engines.firstEventOverhead
}

// forwarder sends each prompt to the decode engine given by the hash of its
// shared prefix. If the gateway already has as many requests there as its share
// of the slots, it tries the following engines in order.
type forwarder struct {
	inFlight map[int]map[string]int
}

func newForwarder() *forwarder { return &forwarder{inFlight: make(map[int]map[string]int)} }

// tick implements router. Forwarders do not exchange information.
func (f *forwarder) tick(time.Duration) {}

// send implements router.
func (f *forwarder) send(w *simulation, now time.Duration, r *request) {
	own := f.inFlight[r.gateway]
	if own == nil {
		own = make(map[string]int)
		f.inFlight[r.gateway] = own
	}
	decodes := w.nodes[w.profile.engines.prefillEngines:]
	begin := int(xxhash.Sum64String(r.parts[0].ID) % uint64(len(decodes)))
	chosen := decodes[begin]
	for i := range decodes {
		n := decodes[(begin+i)%len(decodes)]
		if own[n.server.ID] < w.profile.engines.slots/w.profile.gateways {
			chosen = n
			break
		}
	}
	id := chosen.server.ID
	own[id]++
	taken := chosen.submit(now, r.sequence(), &watcher{
		started: func(now time.Duration) { r.recordFirstEvent(w, now) },
		done:    func(time.Duration) { own[id]-- },
	})
	if !taken {
		own[id]--
	}
}
