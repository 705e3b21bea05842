package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

func TestPlacedPromptsCountUntilTheirEndIsTold(t *testing.T) {
	table := newTable(engines(2, 4))
	first, err := table.PlaceForPeer(0, "gw-2", 1, long(1, 1))
	require.NoError(t, err)
	require.True(t, first.Split)
	require.Positive(t, table.find(first.PrefillServer.ID).ownWork.urgent)
	loads := table.OwnPrefillLoads()
	require.Len(t, loads, 1, "others are told of it")
	require.Equal(t, first.PrefillServer.ID, loads[0].ServerID)
	table.RecordPlacedEnd(100*time.Millisecond, "gw-3", 1, true)
	require.Equal(t, 1, table.find(first.PrefillServer.ID).own, "another gateway's number")
	table.RecordPlacedEnd(100*time.Millisecond, "gw-2", 1, true)
	table.RecordPlacedEnd(100*time.Millisecond, "gw-2", 1, true)
	require.Zero(t, table.find(first.PrefillServer.ID).own)
	require.Zero(t, table.find(first.PrefillServer.ID).ownWork.urgent)
}

func TestPlacedPromptsOfALostGatewayExpire(t *testing.T) {
	table := newTable(engines(2, 4))
	first, err := table.PlaceForPeer(0, "gw-2", 1, long(1, 1))
	require.NoError(t, err)
	_, err = table.PlaceForPeer(placedLife, "gw-2", 2, long(2, 1))
	require.NoError(t, err)
	require.Len(t, table.placed, 1)
	require.LessOrEqual(t, table.find(first.PrefillServer.ID).own, 1)
}

// The gateway that asked is nearer to some engines than the one that places.
func TestPlacingCountsTheAskersFailureDomain(t *testing.T) {
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

// What a coordinator has placed is told by it alone, so that it is not counted
// twice where both are heard.
func TestCoordinatedWorkIsToldByTheCoordinator(t *testing.T) {
	table := newTable(engines(1, 1))
	r := long(1, 1)
	table.RecordSend(0, Send{ServerID: "p0", UncachedTokens: 9000, PromptTokens: r.PromptTokens, Parts: r.Parts, Coordinated: true})
	loads := table.OwnLoads()
	require.Len(t, loads, 1)
	require.Zero(t, loads[0].UrgentWork)
	p0 := table.find("p0")
	own := p0.queued(0, table.rate.perSecond, false)
	require.Positive(t, own, "the sender itself counts it")
	table.SetPeerPrefillLoads(0, "coordinator", []GatewayLoad{{ServerID: "p0", Requests: 1, UrgentWork: int(p0.ownWork.urgent)}})
	require.InDelta(t, own, p0.queued(0, table.rate.perSecond, false), 1)
}

// prefillEngine is a prefill engine of the load test: one prompt after the
// other, urgent ones first, what it has read once is read no more.
type prefillEngine struct {
	free time.Duration
	read map[string]bool
}

const (
	engineRate = 93_000.0
	firstToken = 90 * time.Millisecond
)

func (e *prefillEngine) run(now time.Duration, r Request, fetched bool) (done time.Duration) {
	fresh := r.PromptTokens
	if shared := r.Parts[0]; fetched || e.read[shared.ID] {
		fresh -= shared.Tokens
	}
	e.read[r.Parts[0].ID] = true
	e.free = max(e.free, now) + seconds(prefillWork(float64(fresh), float64(r.PromptTokens))/engineRate)
	return e.free + firstToken
}

// ending is a prefill whose end a gateway will see.
type ending struct {
	at  time.Duration
	end func(now time.Duration)
}

// playBurst has gateways that each see few of them send long prompts, and
// returns the share whose prompt is prefilled in time. Gateways without a
// coordinator hear of each other's loads a second late.
func playBurst(coordinated bool) float64 {
	const gateways, perSecond, length = 24, 130, 6
	random := rand.New(rand.NewPCG(1, 2))
	fleetEngines := map[string]*prefillEngine{}
	var tables []*Table
	for range gateways {
		tables = append(tables, newTable(engines(20, 25)))
	}
	for _, s := range tables[0].servers {
		fleetEngines[s.ID] = &prefillEngine{read: map[string]bool{}}
	}
	var endings []ending
	inTime, sent := 0, 0
	const step = time.Second / perSecond
	for now := time.Duration(0); now < length*time.Second; now += step {
		for i := 0; i < len(endings); i++ {
			if e := endings[i]; e.at <= now {
				e.end(now)
				endings = append(endings[:i], endings[i+1:]...)
				i--
			}
		}
		if now%time.Second < step {
			for i, from := range tables {
				for j, to := range tables {
					if i != j {
						to.SetPeerLoads(now, fmt.Sprint("gw-", i), from.OwnLoads())
					}
				}
			}
		}
		gateway := random.IntN(gateways)
		r := long(random.IntN(37), sent)
		r.NoSplit = false
		table := tables[gateway]
		if coordinated {
			table = tables[0]
		}
		c, err := table.PlaceForPeer(now, fmt.Sprint("gw-", gateway), uint64(sent), r)
		if err != nil || !c.Split {
			continue
		}
		done := fleetEngines[c.PrefillServer.ID].run(now, r, c.FetchFrom != "")
		number := uint64(sent)
		endings = append(endings, ending{at: done, end: func(now time.Duration) {
			table.RecordPlacedEnd(now, fmt.Sprint("gw-", gateway), number, true)
		}})
		sent++
		if done-now <= 450*time.Millisecond {
			inTime++
		}
	}
	return float64(inTime) / float64(sent)
}

// Load: a burst of long prompts, 130 a second at 24 gateways, which 20 prefill
// engines can carry if none has too many. With one gateway that places them,
// more callers get their first event in time.
func TestACoordinatorSpreadsABurst(t *testing.T) {
	with, without := playBurst(true), playBurst(false)
	t.Logf("prefilled in time: %.2f with a coordinator, %.2f without", with, without)
	require.Greater(t, with, 0.8)
	require.Greater(t, with, without+0.1)
}
