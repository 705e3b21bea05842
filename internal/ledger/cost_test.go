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

// TestLedgerCost measures, in virtual time, the writes per second and the
// delay that one ledger adds, for fleets of several sizes that share the write
// budget. The store answers in 3 ms.
func TestLedgerCost(t *testing.T) {
	for _, writers := range []int{4, 40, 320, 940} {
		for _, rate := range []int{1, 10, 50} {
			t.Run(fmt.Sprintf("writers=%d calls=%d", writers, rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { measureCost(t, writers, rate) })
			})
		}
	}
}

func measureCost(t *testing.T, writers, rate int) {
	const seconds = 30
	interval := MinWriteInterval(writers, WriteBudget)
	ctx, cancel := context.WithCancel(t.Context())
	tr := newTrial(t, ctx, 1, startWriterEvery(interval))
	tr.store.SetFaults(fake.Faults{Delay: 3 * time.Millisecond})
	tr.startAgent()
	time.Sleep(2 * time.Second)
	before, began := tr.store.Counts().Writes, time.Now()
	var mu sync.Mutex
	var total, worst time.Duration
	var group sync.WaitGroup
	for n := range seconds * rate {
		group.Go(func() {
			id := CallID{"c", testKey(time.Now(), n)}
			offered := time.Now()
			verdict := tr.ledgers[0].Begin(ctx, Call{ID: id}).Verdict
			took := time.Since(offered)
			mu.Lock()
			defer mu.Unlock()
			if verdict != VerdictRecord {
				t.Errorf("call %d: verdict %d", n, verdict)
			}
			total += took
			worst = max(worst, took)
			tr.ledgers[0].Finish(id, &ledgerv1.Answer{Status: 200, Body: make([]byte, 100)})
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	group.Wait()
	writes := float64(tr.store.Counts().Writes-before) / time.Since(began).Seconds()
	t.Logf("interval %v: %.2f writes/s, delay mean %v worst %v", interval, writes, total/time.Duration(seconds*rate), worst)
	require.LessOrEqual(t, writes*float64(writers), float64(WriteBudget)*1.1)
	cancel()
	time.Sleep(time.Minute)
}
