package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

// queuedAt returns the work that the table has queued at a server.
func queuedAt(table *Table, id string) float64 {
	return table.find(id).queue.work(0, table.prefillRate.perSecond, false).total()
}

func TestPeerSendsCountUntilTheirEnd(t *testing.T) {
	table := newTable(engines(2, 4))
	first, err := table.PlaceForPeer(0, "gw-2", 1, long(1, 1))
	require.NoError(t, err)
	require.True(t, first.Split)
	require.Positive(t, queuedAt(table, first.PrefillServer.ID))
	loads := table.OwnPrefillLoads(0)
	require.Len(t, loads, 1, "other gateways receive the placed load")
	require.Equal(t, first.PrefillServer.ID, loads[0].ServerID)
	table.RecordPeerPrefillEnd(100*time.Millisecond, "gw-3", 1, true)
	require.Equal(t, 1, table.find(first.PrefillServer.ID).ownRequests, "numbers of different gateways are independent")
	table.RecordPeerPrefillEnd(100*time.Millisecond, "gw-2", 1, true)
	table.RecordPeerPrefillEnd(100*time.Millisecond, "gw-2", 1, true)
	require.Zero(t, table.find(first.PrefillServer.ID).ownRequests)
	require.Zero(t, queuedAt(table, first.PrefillServer.ID))
}

// A gateway that is lost never reports the end of its prompts. They must not
// count as load forever.
func TestPeerSendsOfALostGatewayExpire(t *testing.T) {
	table := newTable(engines(2, 4))
	first, err := table.PlaceForPeer(0, "gw-2", 1, long(1, 1))
	require.NoError(t, err)
	_, err = table.PlaceForPeer(peerSendTTL, "gw-2", 2, long(2, 1))
	require.NoError(t, err)
	require.Len(t, table.peerSends, 1)
	require.LessOrEqual(t, table.find(first.PrefillServer.ID).ownRequests, 1)
}

// The coordinator must count the distance to the failure domain of the gateway
// that asked, not to its own.
func TestPlaceForPeerUsesTheOriginDomain(t *testing.T) {
	var servers []fleet.Server
	for _, domain := range []string{"here", "there"} {
		servers = append(servers, engine("p-"+domain, fleet.StagePrefill, domain), engine("d-"+domain, fleet.StageDecode, domain))
	}
	for _, domain := range []string{"here", "there"} {
		r := long(1, 1)
		r.Parts, r.OriginDomain = nil, domain
		c, err := newTable(servers).PlaceForPeer(0, "gw-2", 1, r)
		require.NoError(t, err)
		require.Equal(t, "p-"+domain, c.PrefillServer.ID)
	}
}

// Work placed by a coordinator is reported by the coordinator alone. Gateways
// that receive the loads of both would count it twice otherwise.
func TestCoordinatedWorkIsReportedOnlyByTheCoordinator(t *testing.T) {
	table := newTable(engines(1, 1))
	r := long(1, 1)
	table.RecordSend(0, Send{ServerID: "p0", UncachedTokens: 9000, PromptTokens: r.PromptTokens, Parts: r.Parts, Coordinated: true})
	loads := table.OwnLoads(0)
	require.Len(t, loads, 1)
	require.Zero(t, loads[0].Work.total())
	p0 := table.find("p0")
	own := p0.backlogAhead(0, table.prefillRate.perSecond, 0)
	require.Positive(t, own, "the sender itself counts the work")
	table.SetPeerPrefillLoads(0, "coordinator", []GatewayLoad{{ServerID: "p0", Requests: 1, Work: p0.queue.work(0, table.prefillRate.perSecond, false)}})
	require.InDelta(t, own, p0.backlogAhead(0, table.prefillRate.perSecond, 0), 1)
}

// prefillEngine simulates a prefill engine. It prefills one prompt at a time in
// arrival order and caches shared parts forever.
type prefillEngine struct {
	freeAt      time.Duration
	cachedParts map[string]bool
}

const (
	// engineWorkPerSecond is the prefill rate of a simulated engine,
	// firstEventDelay the time from the end of a prefill to the first event.
	engineWorkPerSecond = 93_000.0
	firstEventDelay     = 90 * time.Millisecond
)

func (e *prefillEngine) run(now time.Duration, r Request, fetched bool) (done time.Duration) {
	uncached := r.PromptTokens
	if shared := r.Parts[0]; fetched || e.cachedParts[shared.ID] {
		uncached -= shared.Tokens
	}
	e.cachedParts[r.Parts[0].ID] = true
	e.freeAt = max(e.freeAt, now) + seconds(prefillWork(float64(uncached), float64(r.PromptTokens))/engineWorkPerSecond)
	return e.freeAt + firstEventDelay
}

// prefillEnd is the end of a simulated prefill, as the gateway observes it.
type prefillEnd struct {
	at     time.Duration
	report func(now time.Duration)
}

// simulateBurst sends long prompts from 24 gateways, each of which sees only a
// few of them, and returns the share that is prefilled in time. Without a
// coordinator the gateways exchange their loads once a second.
func simulateBurst(withCoordinator bool) float64 {
	const gateways, perSecond, length = 24, 130, 6
	random := rand.New(rand.NewPCG(1, 2))
	fleetEngines := map[string]*prefillEngine{}
	var tables []*Table
	for range gateways {
		tables = append(tables, newTable(engines(20, 25)))
	}
	for _, s := range tables[0].servers {
		fleetEngines[s.ID] = &prefillEngine{cachedParts: map[string]bool{}}
	}
	var endings []prefillEnd
	inTime, sent := 0, 0
	const step = time.Second / perSecond
	for now := time.Duration(0); now < length*time.Second; now += step {
		for i := 0; i < len(endings); i++ {
			if e := endings[i]; e.at <= now {
				e.report(now)
				endings = append(endings[:i], endings[i+1:]...)
				i--
			}
		}
		if now%time.Second < step {
			for i, from := range tables {
				for j, to := range tables {
					if i != j {
						to.SetPeerLoads(now, fmt.Sprint("gw-", i), from.OwnLoads(now))
					}
				}
			}
		}
		gateway := random.IntN(gateways)
		r := long(random.IntN(37), sent)
		r.NoSplit = false
		table := tables[gateway]
		if withCoordinator {
			table = tables[0]
		}
		c, err := table.PlaceForPeer(now, fmt.Sprint("gw-", gateway), uint64(sent), r)
		if err != nil || !c.Split {
			continue
		}
		done := fleetEngines[c.PrefillServer.ID].run(now, r, c.FetchFrom != "")
		number := uint64(sent)
		endings = append(endings, prefillEnd{at: done, report: func(now time.Duration) {
			table.RecordPeerPrefillEnd(now, fmt.Sprint("gw-", gateway), number, true)
		}})
		sent++
		if done-now <= 450*time.Millisecond {
			inTime++
		}
	}
	return float64(inTime) / float64(sent)
}

// A burst of 130 long prompts a second at 24 gateways is within the capacity of
// 20 prefill engines only if the prompts are spread evenly. With a coordinator
// more callers must get their first event in time than with loads exchanged
// once a second.
func TestCoordinatorSpreadsABurst(t *testing.T) {
	with, without := simulateBurst(true), simulateBurst(false)
	t.Logf("prefilled in time: %.2f with a coordinator, %.2f without", with, without)
	require.Greater(t, with, 0.8)
	require.Greater(t, with, without+0.1)
}
