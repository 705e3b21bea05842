package ledger

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	ledgerv1 "github.com/marigoldwing/marigoldwing/api/ledger/v1"
	"github.com/marigoldwing/marigoldwing/internal/platform/fake"
)

// TestLedgerCost measures, in virtual time, the writes per second of one ledger
// and the delay that it adds to calls, for several numbers of ledgers that
// share the write budget. Each store call takes 3 ms.
func TestLedgerCost(t *testing.T) {
	for _, writers := range []int{4, 40, 320, 940} {
		for _, rate := range []int{1, 10, 50} {
			t.Run(fmt.Sprintf("writers=%d calls=%d", writers, rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { measureCost(t, writers, rate) })
			})
		}
	}
}

// measureCost runs one ledger for 30 s at a rate of calls per second, with its
// share of a write budget that the given number of ledgers divide.
func measureCost(t *testing.T, writers, rate int) {
	const seconds = 30
	interval := MinWriteInterval(writers, WriteBudget)
	ctx, cancel := context.WithCancel(t.Context())
	sim := newSimulation(t, ctx, 1, startWriterEvery(interval))
	sim.store.SetFaults(fake.Faults{Delay: 3 * time.Millisecond})
	sim.startAgent()
	time.Sleep(2 * time.Second)
	before, began := sim.store.Counts().Writes, time.Now()
	var mu sync.Mutex
	var total, worst time.Duration
	var group sync.WaitGroup
	for n := range seconds * rate {
		group.Go(func() {
			id := CallID{"c", testKey(time.Now(), n)}
			offered := time.Now()
			verdict := sim.ledgers[0].Begin(ctx, Call{ID: id}).Verdict
			took := time.Since(offered)
			mu.Lock()
			defer mu.Unlock()
			if verdict != VerdictRecord {
				t.Errorf("call %d: verdict %d", n, verdict)
			}
			total += took
			worst = max(worst, took)
			sim.ledgers[0].Finish(id, &ledgerv1.Answer{Status: 200, Body: make([]byte, 100)})
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	group.Wait()
	writes := float64(sim.store.Counts().Writes-before) / time.Since(began).Seconds()
	t.Logf("interval %v: %.2f writes/s, delay mean %v worst %v", interval, writes, total/time.Duration(seconds*rate), worst)
	require.LessOrEqual(t, writes*float64(writers), float64(WriteBudget)*1.1)
	cancel()
	time.Sleep(time.Minute)
}
