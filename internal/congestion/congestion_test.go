package congestion

import (
	"flag"
	"math/rand/v2"
	"os"
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

// unlimited are options that never hold a request back.
func unlimited() Options { return Options{MinLimit: 1 << 20, MaxLimit: 1 << 20, MaxDelay: time.Hour} }

// process simulates a process whose processor is shared by all requests in progress.
// A request that takes longer than its attempt's timeout fails and its caller comes back.
type process struct {
	limiter *Limiter
	random  *rand.Rand
	// work is the processor time of a request.
	work time.Duration
	// remaining is the processor time that each request in progress still needs, and
	// startedAt when it started.
	remaining, startedAt []time.Duration
	// returns holds when callers come back.
	returns  []time.Duration
	answered int
	refused  int
}

const (
	step           = 10 * time.Millisecond
	attemptTimeout = 3 * time.Second
	deadline       = 60 * time.Second
	// turn is how long a goroutine that is ready waits for each request in progress.
	turn = time.Millisecond
)

// arrive lets a caller send its request.
func (p *process) arrive(now time.Duration) {
	switch a := p.limiter.Arrive(now, now+deadline); a.Verdict {
	case Started:
		p.start(now)
	case Refused:
		p.refused++
		p.returns = append(p.returns, now+a.RetryAfter+time.Duration(p.random.Int64N(int64(a.RetryAfter/2))))
	}
}

func (p *process) start(now time.Duration) {
	p.remaining = append(p.remaining, p.work)
	p.startedAt = append(p.startedAt, now)
}

// advance simulates one step.
func (p *process) advance(now time.Duration) {
	share := step / time.Duration(max(1, len(p.remaining)))
	for i := len(p.remaining) - 1; i >= 0; i-- {
		p.remaining[i] -= share
		switch {
		case p.remaining[i] <= 0:
			p.answered++
		case now-p.startedAt[i] > attemptTimeout:
			p.returns = append(p.returns, now+300*time.Millisecond)
		default:
			continue
		}
		p.remaining = append(p.remaining[:i], p.remaining[i+1:]...)
		p.startedAt = append(p.startedAt[:i], p.startedAt[i+1:]...)
		p.limiter.Finish(now)
	}
	if now%(50*time.Millisecond) == 0 {
		p.limiter.Observe(turn * time.Duration(len(p.remaining)))
	}
	for _, ok := p.limiter.StartNext(); ok; _, ok = p.limiter.StartNext() {
		p.start(now)
	}
	var later []time.Duration
	for _, at := range p.returns {
		if at > now {
			later = append(later, at)
			continue
		}
		p.arrive(now)
	}
	p.returns = later
}

// burst simulates a burst of callers who come back until they are answered, and
// returns how long that takes; limit if it takes longer.
func burst(opts Options, callers int, work, limit time.Duration) (time.Duration, *process) {
	p := &process{limiter: New(opts), random: rand.New(rand.NewPCG(1, 1)), work: work}
	for range callers {
		p.arrive(0)
	}
	for now := step; now < limit; now += step {
		p.advance(now)
		if p.answered == callers {
			return now, p
		}
	}
	return limit, p
}

// TestBurstIsAnswered checks that a burst of requests for which the processor needs much
// longer than the timeout of an attempt is answered in little more than that time.
func TestBurstIsAnswered(t *testing.T) {
	const callers, work, limit = 2000, 20 * time.Millisecond, 10 * time.Minute
	_, p := burst(unlimited(), callers, work, limit)
	require.Zero(t, p.answered, "without a bound each request times out")
	took, p := burst(DefaultOptions(), callers, work, limit)
	t.Logf("%d of %d answered in %v, %d refused", p.answered, callers, took, p.refused)
	require.Less(t, took, 2*callers*work)
}

// TestRequestsAreRefusedThatWouldNotBeReached checks that callers learn at once that the
// line is too long, and when it is worked off.
func TestRequestsAreRefusedThatWouldNotBeReached(t *testing.T) {
	l := New(Options{MinLimit: 1, MaxLimit: 1, MaxDelay: time.Hour})
	require.Equal(t, Started, l.Arrive(0, time.Second).Verdict)
	for range 3 {
		require.Equal(t, Waiting, l.Arrive(0, time.Second).Verdict, "nothing is known yet")
	}
	l.Finish(500 * time.Millisecond)
	id, ok := l.StartNext()
	require.True(t, ok)
	require.False(t, l.Abandon(id))
	require.Equal(t, Waiting, l.Arrive(900*time.Millisecond, time.Second).Verdict, "too little is known")
	// One request a second finishes, and three wait.
	require.Equal(t, Arrival{Verdict: Refused, RetryAfter: 4 * time.Second}, l.Arrive(time.Second, 5*time.Second))
	waiting := l.Arrive(time.Second, 5*time.Second+1)
	require.Equal(t, Waiting, waiting.Verdict)
	require.Equal(t, Arrival{Verdict: Refused, RetryAfter: 5 * time.Second}, l.Arrive(time.Second, 5*time.Second))
	require.True(t, l.Abandon(waiting.ID))
	require.Equal(t, Counts{Limit: 1, InProgress: 1, Waiting: 3}, l.Counts())
}

// TestLimitFollowsDelay checks the bound while the processor is behind and afterwards.
func TestLimitFollowsDelay(t *testing.T) {
	opts := Options{MinLimit: 10, MaxLimit: 100, MaxDelay: 100 * time.Millisecond}
	l := New(opts)
	for range 50 {
		require.Equal(t, Started, l.Arrive(0, time.Minute).Verdict)
	}
	require.False(t, l.Observe(opts.MaxDelay))
	require.True(t, l.Observe(opts.MaxDelay+1))
	require.Equal(t, 40, l.Counts().Limit, "of the requests in progress")
	require.Equal(t, Waiting, l.Arrive(0, time.Minute).Verdict)
	for range 10 {
		l.Observe(time.Second)
	}
	require.Equal(t, opts.MinLimit, l.Counts().Limit)
	for range opts.MaxLimit - opts.MinLimit - 1 {
		require.False(t, l.Observe(0))
	}
	require.True(t, l.Observe(0))
	require.False(t, l.Limited())
}

// TestLineKeepsItsOrder checks random histories: requests start in the order of their
// arrival, never more than the bound, and none is lost.
func TestLineKeepsItsOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := New(Options{MinLimit: 2, MaxLimit: 8, MaxDelay: time.Second})
		var line []uint64
		inProgress := 0
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(rt, "events") {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(rt, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0:
				a := l.Arrive(now, now+time.Hour)
				switch a.Verdict {
				case Started:
					require.Empty(rt, line)
					inProgress++
				case Waiting:
					line = append(line, a.ID)
				}
			case 1:
				if inProgress > 0 {
					l.Finish(now)
					inProgress--
				}
			case 2:
				l.Observe(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "delay")) * time.Millisecond)
			case 3:
				if len(line) > 0 {
					i := rapid.IntRange(0, len(line)-1).Draw(rt, "who")
					require.True(rt, l.Abandon(line[i]))
					line = append(line[:i:i], line[i+1:]...)
				}
			}
			for id, ok := l.StartNext(); ok; id, ok = l.StartNext() {
				require.Equal(rt, line[0], id)
				line = line[1:]
				inProgress++
				require.LessOrEqual(rt, inProgress, l.Counts().Limit)
			}
			require.Equal(rt, Counts{Limit: l.Counts().Limit, InProgress: inProgress, Waiting: len(line)}, l.Counts())
		}
	})
}
