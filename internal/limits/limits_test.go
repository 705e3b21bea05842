package limits

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// listed returns a lookup of the given clients.
func listed(clients ...Client) ClientLookup {
	byName := make(map[string]Client, len(clients))
	for _, c := range clients {
		byName[c.Name] = c
	}
	return func(name string) (Client, bool) {
		c, ok := byName[name]
		return c, ok
	}
}

func TestAccountsAreCreatedAtTheFirstRequest(t *testing.T) {
	l := New(Options{AllowUnlisted: true, MaxUnlisted: 10})
	limited := Client{Name: "one", RequestsPerSecond: 1}
	l.SetClients(listed(limited, Client{Name: "two"}, Client{Name: "three"}))
	admit := func(name string) bool {
		out, err := l.Admit(0, Request{Client: name})
		require.NoError(t, err)
		return out.Admitted
	}
	require.Empty(t, l.accounts)
	require.True(t, admit("one"))
	require.True(t, admit("two"))
	require.True(t, admit("guest"))
	require.Len(t, l.accounts, 3)
	require.Equal(t, 1, l.unlisted)

	l.SetClients(listed(limited, Client{Name: "guest", RequestsPerSecond: 1}))
	require.False(t, admit("one"), "the usage of a client that stays is kept")
	require.True(t, admit("guest"))
	require.False(t, admit("guest"), "the client is listed now and has a rate limit")
	require.NotContains(t, l.accounts, "two")
	require.Zero(t, l.unlisted)
}

// leakyBucket is a reference implementation of the rate limit, updated from
// request to request.
type leakyBucket struct {
	level, rate, burst float64
	at                 time.Duration
}

func (b *leakyBucket) admit(now time.Duration) bool {
	b.level = max(0, b.level-(now-b.at).Seconds()*b.rate)
	b.at = now
	if b.level > b.burst+1e-6 {
		return false
	}
	b.level++
	return true
}

func TestRateMatchesLeakyBucket(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := float64(rapid.SampledFrom([]int{1, 2, 4, 5, 10}).Draw(rt, "rate"))
		burst := rapid.IntRange(0, 5).Draw(rt, "burst")
		l := New(Options{})
		l.SetClients(listed(Client{Name: "c", RequestsPerSecond: rate, Burst: burst}))
		bucket := &leakyBucket{rate: rate, burst: float64(burst)}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(rt, "requests") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(rt, "gap")) * time.Millisecond
			out, err := l.Admit(now, Request{Client: "c", Cost: 1})
			require.NoError(rt, err)
			require.Equal(rt, bucket.admit(now), out.Admitted)
			require.Equal(rt, !out.Admitted, out.RetryAfter > 0)
		}
	})
}

// demand is the load that one client offers to all entries together.
type demand struct {
	name   string
	weight float64
	rate   float64 // cost per second
}

// maxMinShares computes the max-min fair share of each client by progressive
// filling of the capacity.
func maxMinShares(demands []demand, capacity float64) map[string]float64 {
	shares := make(map[string]float64)
	unsatisfied := slices.Clone(demands)
	for len(unsatisfied) > 0 {
		weights := 0.0
		for _, d := range unsatisfied {
			weights += d.weight
		}
		level := capacity / weights
		remaining := slices.DeleteFunc(slices.Clone(unsatisfied), func(d demand) bool { return d.rate <= level*d.weight })
		if len(remaining) == len(unsatisfied) {
			for _, d := range unsatisfied {
				shares[d.name] = level * d.weight
			}
			return shares
		}
		for _, d := range unsatisfied {
			if d.rate <= level*d.weight {
				shares[d.name] = d.rate
				capacity -= d.rate
			}
		}
		unsatisfied = remaining
	}
	return shares
}

// admittedRates distributes the demand over entries that share no state. It
// returns the cost per second admitted for each client over all entries,
// measured after the levels have settled.
func admittedRates(t *testing.T, demands []demand, capacity float64, entries int) map[string]float64 {
	const settle, measure = 30 * time.Second, 60 * time.Second
	limiters := make([]*Limiter, entries)
	for i := range limiters {
		limiters[i] = New(Options{})
		limiters[i].SetShare(1 / float64(entries))
		limiters[i].SetCapacity(capacity)
		var clients []Client
		for _, d := range demands {
			clients = append(clients, Client{Name: d.name, Weight: d.weight})
		}
		limiters[i].SetClients(listed(clients...))
	}
	const tick, cost = 10 * time.Millisecond, 0.05
	admitted := make(map[string]float64)
	credit := make(map[string]float64)
	seed := uint64(0)
	for now := time.Duration(0); now < settle+measure; now += tick {
		for _, d := range demands {
			for credit[d.name] += d.rate * tick.Seconds(); credit[d.name] >= cost; credit[d.name] -= cost {
				seed++
				entry := int(uniform(seed) * float64(entries))
				out, err := limiters[entry].Admit(now, Request{Client: d.name, Cost: cost, Seed: seed * 7919})
				require.NoError(t, err)
				if out.Admitted && now >= settle {
					admitted[d.name] += cost / measure.Seconds()
				}
			}
		}
	}
	return admitted
}

// Entries without shared state must together give each client its max-min fair
// share of an overloaded service.
func TestFairShareAcrossEntries(t *testing.T) {
	demands := []demand{{"greedy", 1, 30}, {"small", 1, 1}, {"middle", 1, 5}, {"heavy", 2, 30}}
	const capacity = 12
	want := maxMinShares(demands, capacity)
	got := admittedRates(t, demands, capacity, 4)
	for _, d := range demands {
		require.InEpsilon(t, want[d.name], got[d.name], 0.15, "%s: want %v, got %v", d.name, want, got)
	}
	// With unlimited capacity the greedy clients get all that they ask for,
	// which exceeds the capacity: without fair levels the small client would
	// get only a share of 12/66 of its demand.
	unlimited := admittedRates(t, demands, 1e9, 4)
	require.InEpsilon(t, 30, unlimited["greedy"], 0.01)
	require.Greater(t, unlimited["greedy"]+unlimited["heavy"], capacity*4.0)
}

func TestUnknownClient(t *testing.T) {
	l := New(Options{})
	_, err := l.Admit(0, Request{Client: "nobody"})
	require.ErrorIs(t, err, ErrUnknownClient)
	l = New(Options{AllowUnlisted: true, MaxUnlisted: 10})
	for i := range 1000 {
		now := time.Duration(i) * time.Second
		out, err := l.Admit(now, Request{Client: fmt.Sprint(i), Cost: 1})
		require.NoError(t, err)
		require.True(t, out.Admitted)
	}
	require.LessOrEqual(t, len(l.accounts), 10)
}

func TestMemoryFor12000Accounts(t *testing.T) {
	const accounts, budget = 12_000, 32 << 20
	clients := make([]Client, accounts)
	for i := range clients {
		clients[i] = Client{Name: fmt.Sprintf("client-%08d", i), RequestsPerSecond: 10, Burst: 5}
	}
	lookup := listed(clients...)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := New(Options{})
	l.SetClients(lookup)
	for _, c := range clients {
		_, err := l.Admit(0, Request{Client: c.Name})
		require.NoError(t, err)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d accounts use %d bytes, %d each", accounts, used, used/accounts)
	require.Less(t, used, int64(budget)/4)
	runtime.KeepAlive(l)
	runtime.KeepAlive(clients)
}

func BenchmarkAdmit12000(b *testing.B) {
	const accounts = 12_000
	clients := make([]Client, accounts)
	for i := range clients {
		clients[i] = Client{Name: fmt.Sprintf("client-%08d", i), RequestsPerSecond: 10, Burst: 5}
	}
	l := New(Options{})
	l.SetClients(listed(clients...))
	l.SetCapacity(100)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		_, err := l.Admit(time.Duration(i)*time.Microsecond, Request{Client: clients[i%accounts].Name, Cost: 0.1, Seed: uint64(i)})
		if err != nil {
			b.Fatal(err)
		}
	}
}
