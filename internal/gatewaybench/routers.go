package gatewaybench

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldwing/marigoldwing/internal/placement"
)

// gateways place by the product's decisions.
type gateways struct {
	profile *profile
	tables  []*placement.Table
	// coordinated has the first gateway place all long prompts.
	coordinated bool
	number      uint64
}

func newGateways(w *world, coordinated bool) *gateways {
	g := &gateways{profile: w.profile, coordinated: coordinated}
	for i := range w.profile.gateways {
		table := placement.NewTable(placement.DefaultOptions(domainOf(i, w.profile)), w.profile.spec())
		table.SetServers(w.profile.spec(), w.servers())
		g.tables = append(g.tables, table)
	}
	return g
}

// tick implements router.
func (g *gateways) tick(now time.Duration) {
	for i, from := range g.tables {
		for j, to := range g.tables {
			if i != j {
				to.SetPeerLoads(now, fmt.Sprint("gateway-", i), from.OwnLoads())
			}
		}
	}
}

// placer returns the table that places a request.
func (g *gateways) placer(now time.Duration, r *request) *placement.Table {
	if !g.coordinated || r.prompt < placement.MinCoordinatedTokens {
		return g.tables[r.gateway]
	}
	g.tables[0].SetCoordinatorSince(now, 0)
	return g.tables[0]
}

// send implements router.
func (g *gateways) send(w *world, now time.Duration, r *request) {
	table := g.placer(now, r)
	g.number++
	number := g.number
	c, err := table.PlaceForPeer(now, "bench", number, r.wanted())
	if err != nil {
		return
	}
	placed := func(now time.Duration) { table.RecordPlacedEnd(now, "bench", number, true) }
	first := c.Server.ID
	s := r.sequence()
	if c.Split {
		first, s.PrefillOnly = c.PrefillServer.ID, true
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
			g.decode(w, now, r, c)
		}
	} else {
		watch.started = func(now time.Duration) {
			placed(now)
			r.begun(w, now)
		}
	}
	if !n.submit(now, s, watch) {
		table.RecordPlacedEnd(now, "bench", number, false)
	}
}

// decode goes on with a prompt that has been prefilled.
func (g *gateways) decode(w *world, now time.Duration, r *request, c placement.Choice) {
	table := g.tables[r.gateway]
	d, err := table.ChooseDecode(now, r.wanted(), c.PrefillServer)
	if err != nil {
		return
	}
	ticket := table.RecordSend(now, placement.Send{ServerID: d.Server.ID, UncachedTokens: 1, PromptTokens: r.prompt, Parts: r.parts, TimeToFirstEvent: d.TimeToFirstEvent})
	s := r.sequence()
	s.Imported = true
	w.byID[c.PrefillServer.ID].model.Release(now, r.id)
	w.byID[d.Server.ID].submit(now, s, &watcher{
		started: func(now time.Duration) {
			table.RecordPrefilled(now, ticket)
			r.begun(w, now)
		},
		done: func(time.Duration) { table.RecordEnd(ticket) },
	})
}

// begun notes the first event.
func (r *request) begun(w *world, now time.Duration) {
	r.firstEvent = now - r.at + w.profile.engines.firstEvent
}

// forwarder sends each prompt to the decode engine that its first part hashes
// to, and to the next one while that has more of its requests than it has
// slots.
type forwarder struct {
	own map[int]map[string]int
}

func newForwarder() *forwarder { return &forwarder{own: make(map[int]map[string]int)} }

// tick implements router; forwarders tell each other nothing.
func (f *forwarder) tick(time.Duration) {}

// send implements router.
func (f *forwarder) send(w *world, now time.Duration, r *request) {
	own := f.own[r.gateway]
	if own == nil {
		own = make(map[string]int)
		f.own[r.gateway] = own
	}
	decodes := w.nodes[w.profile.engines.prefills:]
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
		started: func(now time.Duration) { r.begun(w, now) },
		done:    func(time.Duration) { own[id]-- },
	})
	if !taken {
		own[id]--
	}
}
