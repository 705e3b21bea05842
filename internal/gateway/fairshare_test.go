package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/accounts"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/limits"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/placement"
)

// sharing is a gateway with one service, whose requests are placed and not sent.
type sharing struct {
	g *Gateway
	s *service
}

func newSharing(spec *fleet.EngineSpec) sharing {
	g := New(Options{Name: "g", Registerer: prometheus.NewRegistry(), Log: logevent.NewLog(logr.Discard())})
	return sharing{g, g.newService(fleet.Service{Name: "app", Engine: spec})}
}

// arrive lets a request of an account arrive for which the placement predicts the given
// time to the first event. It returns the request, and the response if it was refused.
func (f sharing) arrive(account *accounts.Account, predicted time.Duration) (*request, *httptest.ResponseRecorder) {
	response := httptest.NewRecorder()
	q := &request{
		g: f.g, w: response, r: httptest.NewRequest(http.MethodGet, "/", nil), service: f.s, account: account,
		route: fleet.Route{Name: "r", LatencyObjective: 500 * time.Millisecond}, arrivedAt: f.g.now(), deadline: f.g.now() + 9*time.Second,
	}
	choice := placement.Choice{Server: fleet.Server{ID: "i-1"}, TimeToFirstEvent: predicted}
	if !q.refuseAboveShare(choice) {
		return q, nil
	}
	return q, response
}

// overload makes the account "large" exceed the capacity of the service: it sends 50
// requests per second, and 10 are completed.
func (f sharing) overload(spent func(time.Duration)) (refused []*httptest.ResponseRecorder) {
	large := &accounts.Account{Client: limits.Client{Name: "large"}}
	var waiting []*request
	for i := range 200 {
		q, response := f.arrive(large, time.Duration(len(waiting))*100*time.Millisecond)
		if response != nil {
			refused = append(refused, response)
		} else {
			waiting = append(waiting, q)
		}
		if i%5 == 0 && len(waiting) > 0 {
			waiting[0].completeShare()
			waiting = waiting[1:]
		}
		spent(20 * time.Millisecond)
	}
	return refused
}

func TestRequestAboveShareIsRefused(t *testing.T) {
	f := newSharing(nil)
	f.s.setServers(0, fleet.Service{Name: "app"}, []fleet.Server{{ID: "i-1", Service: "app", Slots: 4}})
	refused := f.overload(func(d time.Duration) { f.g.startTime = f.g.startTime.Add(-d) })
	require.NotEmpty(t, refused)
	for _, response := range refused {
		require.Equal(t, http.StatusServiceUnavailable, response.Code)
		require.Contains(t, response.Body.String(), `"reason":"fair_share"`)
		after, err := strconv.ParseFloat(response.Header().Get("Retry-After"), 64)
		require.NoError(t, err)
		require.Greater(t, after, 0.9)
		require.LessOrEqual(t, after, 3.0, "callers come back within a third of the time that they have left")
	}
	require.InDelta(t, len(refused), testutil.ToFloat64(f.g.metrics.shareRefusals.WithLabelValues("app")), 0)
	require.True(t, f.s.shares.fair.State(f.g.now()).Short)

	for i := range 20 {
		_, response := f.arrive(&accounts.Account{Client: limits.Client{Name: fmt.Sprint("small", i)}}, time.Second)
		require.Nil(t, response, "an account below its share is not refused")
	}
	_, response := f.arrive(&accounts.Account{Client: limits.Client{Name: "large"}}, 20*time.Millisecond)
	require.Nil(t, response, "no request is refused while servers have room")
}

// TestRequestsWithoutAccountAreNotCounted guards against any effect on configurations
// without client accounts.
func TestRequestsWithoutAccountAreNotCounted(t *testing.T) {
	f := newSharing(nil)
	for range 1000 {
		q, response := f.arrive(nil, 8*time.Second)
		require.Nil(t, response)
		q.completeShare()
		q.endShare()
	}
	require.Nil(t, f.s.shares.fair)
}

// TestShareCountsCostOfEngines checks that requests to engines count by the work on their
// prompts, a request counts once, and what has not run is reverted.
func TestShareCountsCostOfEngines(t *testing.T) {
	spec := &fleet.EngineSpec{Slots: 32}
	f := newSharing(spec)
	f.s.setServers(0, fleet.Service{Name: "app", Engine: spec}, []fleet.Server{{ID: "i-1", Service: "app", Stage: fleet.StageDecode}})
	cost := func(uncached int) float64 {
		r := limits.Request{Client: "a"}
		choice := placement.Choice{Server: fleet.Server{ID: "i-1"}, UncachedTokens: uncached}
		f.s.admitShare(0, &r, shareDemand{choice: choice, promptTokens: 20_000, available: time.Second})
		return r.Cost
	}
	require.Greater(t, cost(20_000), 10*cost(200), "cached parts of a prompt cost nothing")
	require.GreaterOrEqual(t, cost(1), initialStreamSeconds/32)

	q, _ := f.arrive(&accounts.Account{Client: limits.Client{Name: "a"}}, 0)
	require.True(t, q.share.counted)
	request := q.share.request
	require.False(t, q.refuseAboveShare(placement.Choice{TimeToFirstEvent: time.Minute}))
	require.Equal(t, request, q.share.request, "a second attempt does not count again")
	q.endShare()
	q.completeShare()
	require.Zero(t, f.s.shares.fair.State(f.g.now()).CompletedPerSecond)
}
