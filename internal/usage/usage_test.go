package usage

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// collect lets a ledger collect a counter once and stores it.
func collect(l *Ledger, gateway string, c *Counter) {
	known := l.Acknowledged(gateway)
	l.Apply(gateway, c.Collect(known, l.Next()))
	l.Stored()
}

func TestCountsAreReportedByWindow(t *testing.T) {
	c, l := NewCounter(1), NewLedger(State{})
	l.Begin(10)
	c.Record(10, "a")
	collect(l, "gw", c)
	c.Record(10, "a")
	c.Record(11, "b")
	collect(l, "gw", c)
	l.Close(11)
	require.Equal(t, []Window{{10, Counts{"a": 2}}}, l.Unsent())
	l.Answered(10)
	l.Close(13)
	require.Equal(t, []Window{{11, Counts{"b": 1}}, {12, Counts{}}}, l.Unsent(), "a window without runs is reported too")
}

// TestLateCountsChangeNoClosedWindow guards against two reports of one window with
// different counts.
func TestLateCountsChangeNoClosedWindow(t *testing.T) {
	c, l := NewCounter(1), NewLedger(State{})
	l.Begin(10)
	l.Close(11)
	c.Record(10, "a")
	c.Record(11, "a")
	collect(l, "gw", c)
	l.Close(12)
	require.Equal(t, []Window{{10, Counts{}}, {11, Counts{"a": 1}}}, l.Unsent())
	require.EqualValues(t, 1, l.Late())
}

// TestAnsweredDuringIterationSkipsNoWindow guards against a window that is skipped, or reported
// without number and counts, if several windows are reported one after the other.
func TestAnsweredDuringIterationSkipsNoWindow(t *testing.T) {
	l := NewLedger(State{})
	l.Begin(10)
	l.Close(13)
	var reported []int64
	for _, w := range l.Unsent() {
		reported = append(reported, w.Number)
		l.Answered(w.Number)
	}
	require.Equal(t, []int64{10, 11, 12}, reported)
	require.Empty(t, l.Unsent())
}

// TestSkippedWindowsChangeTheLedger guards against a ledger that is not stored after windows were
// skipped because another gateway states that they are final.
func TestSkippedWindowsChangeTheLedger(t *testing.T) {
	l := NewLedger(State{})
	l.Begin(10)
	require.True(t, l.Apply("gw", Batch{Next: 12}))
	require.EqualValues(t, 12, l.Next())
	require.False(t, l.Apply("gw", Batch{Next: 12}), "nothing is new")
}

// fleet is a model of gateways whose counters a holder collects.
type fleet struct {
	ledger      *Ledger
	stored      State
	counters    map[string]*Counter
	incarnation uint64
	// recorded is the number of runs, lost that of those whose gateway died with them.
	recorded, lost int64
	// atRisk is the number of runs by gateway that the stored ledger does not contain.
	atRisk map[string]int64
	// applied is the part of them that the present ledger contains.
	applied map[string]int64
}

func (f *fleet) start(gateway string) {
	f.incarnation++
	f.counters[gateway] = NewCounter(f.incarnation)
}

func (f *fleet) record(gateway, account string, window int64) {
	f.counters[gateway].Record(window, account)
	f.recorded++
	f.atRisk[gateway]++
}

func (f *fleet) collect(gateway string) {
	known := f.ledger.Acknowledged(gateway)
	if f.ledger.Apply(gateway, f.counters[gateway].Collect(known, 0)) {
		f.applied[gateway] = f.atRisk[gateway]
	}
}

func (f *fleet) store() {
	f.stored = f.ledger.State()
	f.ledger.Stored()
	for gateway, n := range f.applied {
		f.atRisk[gateway] -= n
	}
	clear(f.applied)
}

// replaceHolder lets another process go on from the stored ledger.
func (f *fleet) replaceHolder() {
	f.ledger = NewLedger(f.stored)
	clear(f.applied)
}

// kill ends a gateway. What the present ledger contains of it is not lost, unless the
// ledger is.
func (f *fleet) kill(gateway string) {
	f.store()
	f.lost += f.atRisk[gateway]
	f.atRisk[gateway] = 0
	f.start(gateway)
}

// TestEachRunIsReportedOnce covers answers that are lost, holders that are replaced with and
// without having stored what they collected, and gateways that are killed: a run is reported
// exactly once, unless its gateway died before the run was stored.
func TestEachRunIsReportedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{ledger: NewLedger(State{Next: 1}), stored: State{Next: 1}, counters: make(map[string]*Counter), atRisk: make(map[string]int64), applied: make(map[string]int64)}
		gateways := []string{"gw-1", "gw-2", "gw-3"}
		for _, gateway := range gateways {
			f.start(gateway)
		}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			gateway := rapid.SampledFrom(gateways).Draw(t, "gateway")
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				f.record(gateway, fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "account")), rapid.Int64Range(1, 4).Draw(t, "window"))
			case 2:
				f.collect(gateway)
			case 3: // The answer to a collection is lost.
				known := f.ledger.Acknowledged(gateway)
				f.counters[gateway].Collect(known, 0)
			case 4:
				f.store()
			case 5:
				f.replaceHolder()
			case 6:
				f.kill(gateway)
			}
		}
		f.store()
		for _, gateway := range gateways {
			f.collect(gateway)
		}
		f.ledger.Close(5)
		reported := int64(0)
		for _, w := range f.ledger.Unsent() {
			for _, n := range w.Counts {
				reported += n
			}
		}
		if reported != f.recorded-f.lost {
			t.Fatalf("%d runs reported, %d of %d lost with their gateways", reported, f.lost, f.recorded)
		}
	})
}

// TestRestoredLedgerReportsNoWindowAgain guards against a second report of a window with
// other counts after the store came back from an older copy.
func TestRestoredLedgerReportsNoWindowAgain(t *testing.T) {
	c, l := NewCounter(1), NewLedger(State{})
	l.Begin(10)
	copied := l.State()
	c.Record(10, "a")
	collect(l, "gw", c)
	l.Close(12)
	collect(l, "gw", c)
	restored := NewLedger(copied)
	c.Record(11, "a")
	c.Record(12, "a")
	collect(restored, "gw", c)
	restored.Close(13)
	require.Equal(t, []Window{{12, Counts{"a": 1}}}, restored.Unsent())
}

// TestCountsStayExact guards against numbers that JSON decoders do not read exactly.
func TestCountsStayExact(t *testing.T) {
	c := Counts{"a": maxCount - 1}
	c.add(Counts{"a": 5, "b": -3})
	require.Equal(t, Counts{"a": maxCount, "b": 0}, c)
}

// TestLongOutageKeepsMemoryBounded guards against a ledger that grows without bound while
// nothing can be reported.
func TestLongOutageKeepsMemoryBounded(t *testing.T) {
	l := NewLedger(State{})
	l.Begin(1)
	l.Close(1 << 40)
	require.Len(t, l.Unsent(), maxUnsent)
	require.EqualValues(t, 1<<40-1, l.Unsent()[maxUnsent-1].Number)
}

// BenchmarkRecord counts runs of 12,000 accounts.
func BenchmarkRecord(b *testing.B) {
	accounts := make([]string, 12_000)
	for i := range accounts {
		accounts[i] = fmt.Sprint("account-", i)
	}
	c := NewCounter(1)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c.Record(7, accounts[i%len(accounts)])
	}
}
