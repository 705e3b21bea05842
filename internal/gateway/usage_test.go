package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/accounts"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/gatewaypeers"
	"github.com/marigoldwing/marigoldwing/internal/limits"
	"github.com/marigoldwing/marigoldwing/internal/platform"
	"github.com/marigoldwing/marigoldwing/internal/platform/fake"
)

const (
	testWindow = 5 * time.Second
	testDue    = 10 * time.Second
	testLease  = 3 * time.Second
)

// usageCall is a report that the platform got.
type usageCall struct {
	DutyCall
	window int64
	counts string
	at     time.Time
}

// fakeDutyPlatform records the reports that it gets, and answers with err.
type fakeDutyPlatform struct {
	mu    sync.Mutex
	calls []usageCall
	err   error
}

func (p *fakeDutyPlatform) setError(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.err = err
}

func (p *fakeDutyPlatform) ReportUsage(_ context.Context, c DutyCall, window int64, counts map[string]int64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	text, err := json.Marshal(counts)
	if err != nil {
		return err
	}
	p.calls = append(p.calls, usageCall{c, window, string(text), time.Now()})
	return p.err
}

func (p *fakeDutyPlatform) SetDesired(context.Context, DutyCall, string, string, int) error {
	return nil
}

// reports returns the counts reported for each window, and an error text if a window was
// reported with different counts.
func (p *fakeDutyPlatform) reports() (map[int64]string, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	byWindow := make(map[int64]string)
	for _, call := range p.calls {
		if before, ok := byWindow[call.window]; ok && before != call.counts {
			return nil, fmt.Sprintf("window %d: %s and %s", call.window, before, call.counts)
		}
		byWindow[call.window] = call.counts
	}
	return byWindow, ""
}

// usageFleet is a set of gateways that share a store and a platform.
type usageFleet struct {
	ctx      context.Context
	store    *fake.Store
	platform *fakeDutyPlatform
	fenced   bool
	mu       sync.Mutex
	gateways map[string]*Gateway
	stops    map[string]context.CancelFunc
	starts   uint64
}

func newUsageFleet(ctx context.Context, names ...string) *usageFleet {
	f := &usageFleet{
		ctx: ctx, store: fake.New(fake.Options{}), platform: &fakeDutyPlatform{}, fenced: true,
		gateways: make(map[string]*Gateway), stops: make(map[string]context.CancelFunc),
	}
	for _, name := range names {
		f.start(name)
		synctest.Wait()
	}
	return f
}

func (f *usageFleet) start(name string) {
	f.starts++
	// lease.BootTime does not follow the virtual time of the test.
	start := time.Now()
	g := New(Options{
		Name: name, FailureDomain: "here", Registerer: prometheus.NewRegistry(), RetryBudget: RetryBudget{Ratio: 1},
		BootTime: func() time.Duration { return time.Since(start) },
	})
	config := fleet.NewConfig(1, 0, nil, nil)
	config.Accounts = accounts.New([]accounts.Entry{{Account: accounts.Account{Client: limits.Client{Name: "a"}}}})
	g.Update(config, nil)
	g.EnableUsage(f.starts, testWindow)
	g.EnableDuties(
		DutyOptions{Platform: f.platform, Leases: f.store, LeaseDuration: testLease, Fenced: f.fenced, CallsPerSecond: 50},
		&UsageOptions{Store: f.store, Client: f, Peers: func() []gatewaypeers.Peer { return f.peersOf(name) }, Window: testWindow, Due: testDue},
		false,
	)
	ctx, stop := context.WithCancel(f.ctx)
	f.mu.Lock()
	f.gateways[name], f.stops[name] = g, stop
	f.mu.Unlock()
	go g.RunDuties(ctx)
}

func (f *usageFleet) peersOf(name string) []gatewaypeers.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var peers []gatewaypeers.Peer
	for other := range f.gateways {
		if other != name {
			peers = append(peers, gatewaypeers.Peer{Name: other, Address: other})
		}
	}
	return peers
}

// CollectUsage implements UsageClient.
func (f *usageFleet) CollectUsage(_ context.Context, address string, collect *peerv1.CollectUsage) (*peerv1.CollectUsageReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.gateways[address]
	if g == nil {
		return nil, fmt.Errorf("%s is down", address)
	}
	return g.usage.CollectUsage(collect), nil
}

// stop stops a gateway in order.
func (f *usageFleet) stop(name string) {
	f.stops[name]()
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.gateways, name)
}

// record counts runs of an account at all gateways, one every 100 ms, for a time.
func (f *usageFleet) record(account string, d time.Duration) int {
	n := 0
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		f.mu.Lock()
		for _, g := range f.gateways {
			g.usage.counter.Record(windowOf(time.Now(), testWindow), account)
			n++
		}
		f.mu.Unlock()
	}
	return n
}

// TestUsageOfAllGatewaysIsReportedInTime guards against a window that is reported late, more
// than once with different counts, or without the counts of a gateway.
func TestUsageOfAllGatewaysIsReportedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newUsageFleet(t.Context(), "gw-1", "gw-2", "gw-3")
		f.record("a", 62*time.Second)
		reports, problem := f.platform.reports()
		require.Empty(t, problem)
		require.GreaterOrEqual(t, len(reports), 11)
		full := 0
		for _, counts := range reports {
			if counts == `{"a":150}` {
				full++
			}
		}
		require.GreaterOrEqual(t, full, 10, "%v", reports)
		for _, call := range f.platform.calls {
			require.Less(t, call.at.Sub(endOf(call.window, testWindow)), time.Second)
		}
	})
}

// TestSuccessorGoesOnFromStoredLedger guards against windows that are missing, late or reported
// anew after the holder of the duty has changed.
func TestSuccessorGoesOnFromStoredLedger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newUsageFleet(t.Context(), "gw-1", "gw-2", "gw-3")
		f.record("a", 17*time.Second)
		holder := f.platform.calls[0].Holder
		f.stop(holder)
		f.record("a", 30*time.Second)
		reports, problem := f.platform.reports()
		require.Empty(t, problem)
		first, last := f.platform.calls[0].window, f.platform.calls[len(f.platform.calls)-1]
		for window := first; window <= last.window; window++ {
			require.Contains(t, reports, window)
		}
		require.NotEqual(t, holder, last.Holder)
		require.Greater(t, last.Fence, f.platform.calls[0].Fence)
		for _, call := range f.platform.calls {
			require.Less(t, call.at.Sub(endOf(call.window, testWindow)), testDue)
		}
	})
}

// TestReportIsRepeatedWithSameCounts guards against a second report with other counts after
// calls without an answer.
func TestReportIsRepeatedWithSameCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newUsageFleet(t.Context(), "gw-1", "gw-2")
		f.platform.setError(ErrDutyNoAnswer)
		f.record("a", 22*time.Second)
		f.platform.setError(nil)
		f.record("a", 10*time.Second)
		reports, problem := f.platform.reports()
		require.Empty(t, problem)
		require.GreaterOrEqual(t, len(reports), 5)
	})
}

// TestFencedHolderStops guards against a holder that repeats a token which the platform has
// rejected.
func TestFencedHolderStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newUsageFleet(t.Context(), "gw-1", "gw-2")
		f.platform.setError(ErrDutyFenced)
		f.record("a", 8*time.Second)
		f.platform.setError(nil)
		f.record("a", 20*time.Second)
		uses := make(map[uint64]int)
		for _, call := range f.platform.calls {
			uses[call.Fence]++
		}
		require.Equal(t, 1, uses[f.platform.calls[0].Fence], "the rejected token")
		require.Greater(t, len(uses), 1)
	})
}

// TestUnfencedSuccessorWaitsForLateCalls guards against a call of a successor before one of its
// predecessor that had no answer, where the platform does not check fencing tokens.
func TestUnfencedSuccessorWaitsForLateCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &usageFleet{
			ctx: t.Context(), store: fake.New(fake.Options{}), platform: &fakeDutyPlatform{},
			gateways: make(map[string]*Gateway), stops: make(map[string]context.CancelFunc),
		}
		f.start("gw-1")
		synctest.Wait()
		f.start("gw-2")
		f.platform.setError(ErrDutyNoAnswer)
		f.record("a", 14*time.Second)
		last := f.platform.calls[len(f.platform.calls)-1]
		f.stop(last.Holder)
		f.platform.setError(nil)
		f.record("a", 30*time.Second)
		for _, call := range f.platform.calls {
			if call.Holder != last.Holder {
				require.GreaterOrEqual(t, call.at.Sub(last.at), lateCallTimeout)
				return
			}
		}
		t.Fatal("the successor has not reported")
	})
}

// TestRenewedTenureDoesNotWaitAgain guards against a holder whose lease expires for a moment
// while the store is down, and which then waits for late calls of a predecessor once more.
func TestRenewedTenureDoesNotWaitAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &usageFleet{
			ctx: t.Context(), store: fake.New(fake.Options{}), platform: &fakeDutyPlatform{},
			gateways: make(map[string]*Gateway), stops: make(map[string]context.CancelFunc),
		}
		f.start("gw-1")
		f.record("a", 12*time.Second)
		f.platform.setError(ErrDutyNoAnswer)
		f.record("a", 6*time.Second)
		f.platform.setError(nil)
		f.store.SetFaults(fake.Faults{Down: true})
		f.record("a", 8*time.Second)
		f.store.SetFaults(fake.Faults{})
		back := time.Now()
		f.record("a", 6*time.Second)
		last := f.platform.calls[len(f.platform.calls)-1]
		require.True(t, last.at.After(back), "no report within 6 s")
		require.Equal(t, f.platform.calls[0].Fence, last.Fence)
	})
}

// TestUnreadableLedgerIsReplaced guards against an odd object of another writer that ends all
// reports.
func TestUnreadableLedgerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fake.New(fake.Options{})
		_, err := store.Put(t.Context(), platform.Key{Kind: KindUsage, Name: nameUsageLedger}, []byte("no message"), 0)
		require.NoError(t, err)
		f := &usageFleet{
			ctx: t.Context(), store: store, platform: &fakeDutyPlatform{}, fenced: true,
			gateways: make(map[string]*Gateway), stops: make(map[string]context.CancelFunc),
		}
		f.start("gw-1")
		f.record("a", 20*time.Second)
		reports, problem := f.platform.reports()
		require.Empty(t, problem)
		require.GreaterOrEqual(t, len(reports), 2)
	})
}
