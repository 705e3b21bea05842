package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// plain is a plain service of four servers before which one request crashes them all,
// again and again.
var plain = options{gateways: 5, engines: 4, soundRate: 50, firstParts: 1, secondParts: 1, poisonFrom: 5 * time.Second,
	harmful: 1, harmfulRate: 1.5, popularRate: 5, sends: 4}

const (
	// maxRepeats is how many requests that are the same may be sent later than notice
	// after the third crash under them.
	maxRepeats = 3
	// simulatedRepeats is for how long harmful requests come.
	simulatedRepeats = 25 * time.Second
)

// runRepeats runs a simulation and checks that the harmful requests, and only these, are
// kept from the servers in time.
func runRepeats(t *testing.T, opts options, msg string) {
	t.Helper()
	s := newSimulation(opts)
	s.run(opts.poisonFrom + simulatedRepeats)
	var harmful []string
	for i := range opts.harmful {
		whole := fmt.Sprint("harmful-", i)
		harmful = append(harmful, whole)
		crashes := s.crashes[whole]
		if len(crashes) >= minCrashes {
			sends := s.sendsAfter(whole, crashes[minCrashes-1]+notice)
			require.LessOrEqual(t, sends, maxRepeats, "%s: %s: %d crashes", msg, whole, len(crashes))
		}
	}
	for trait := range s.blocked {
		known := false
		for _, whole := range harmful {
			known = known || trait == wholeTrait(whole)
		}
		require.True(t, known, "%s: blocked %x, popular is %x", msg, trait, wholeTrait("popular"))
	}
}

// TestRepeatedRequestIsBlockedByAllGateways checks that requests that crash servers
// are found at different rates, alone or several at once, however many gateways see
// their crashes.
func TestRepeatedRequestIsBlockedByAllGateways(t *testing.T) {
	for _, harmful := range []int{1, 2, 5} {
		for _, rate := range []float64{0.3, 1.5, 6} {
			for _, gateways := range []int{1, 5} {
				for seed := range uint64(3) {
					opts := plain
					opts.seed, opts.gateways, opts.harmful, opts.harmfulRate = seed, gateways, harmful, rate
					runRepeats(t, opts, fmt.Sprintf("%d harmful, rate %v, %d gateways, seed %d", harmful, rate, gateways, seed))
				}
			}
		}
	}
	opts := plain
	opts.gateways = 30
	runRepeats(t, opts, "30 gateways")
}

// TestSoundRequestIsNotBlamedForOtherCrashes checks that a popular request is not
// blamed that is lost whenever a server ends.
func TestSoundRequestIsNotBlamedForOtherCrashes(t *testing.T) {
	blackouts := []time.Duration{6 * time.Second, 7 * time.Second, 9 * time.Second, 11 * time.Second, 13 * time.Second, 15 * time.Second}
	for name, change := range map[string]func(o *options){
		"kills":                func(o *options) { o.kills = 1 },
		"all at once":          func(o *options) { o.blackouts, o.blackoutShare = blackouts, 1 },
		"half at once":         func(o *options) { o.blackouts, o.blackoutShare = blackouts, 0.5 },
		"popular with kills":   func(o *options) { o.kills, o.popularRate = 2, 60 },
		"little else":          func(o *options) { o.kills, o.popularRate, o.soundRate = 1, 20, 2 },
		"beside harmful":       func(o *options) { o.harmful, o.popularRate = 1, 60 },
		"beside five harmful":  func(o *options) { o.harmful, o.popularRate = 5, 60 },
		"kills beside harmful": func(o *options) { o.harmful, o.kills, o.popularRate = 1, 1, 20 },
	} {
		for seed := range uint64(2) {
			opts := plain
			opts.seed, opts.harmful = seed, 0
			change(&opts)
			runRepeats(t, opts, fmt.Sprintf("%s, seed %d", name, seed))
		}
	}
}

// blockedRequest returns a detector that has blocked a request, and its trait.
func blockedRequest(t *testing.T) (*Detector, Trait) {
	d, whole := New(), wholeTrait("harmful")
	for i := range minCrashes {
		now := time.Duration(i) * 100 * time.Millisecond
		engine := fmt.Sprint("engine-", i)
		d.RecordLoss(now, engine, []Trait{whole, wholeTrait(fmt.Sprint("once-", i))})
		d.EndCheck(now, engine, CheckEnded)
	}
	require.Empty(t, d.Decide(time.Second), "before others could report")
	require.Len(t, d.Decide(2*time.Second), 1)
	return d, whole
}

// TestBlockedRequestIsLiftedByOneAnswer checks that a request that was blocked by
// mistake, or has become sound, is served again after its first trial.
func TestBlockedRequestIsLiftedByOneAnswer(t *testing.T) {
	d, whole := blockedRequest(t)
	require.False(t, d.BeginTrial(50*time.Second, []Trait{whole}))
	now := 62 * time.Second
	require.True(t, d.BeginTrial(now, []Trait{whole}))
	_, lifted := d.EndTrial(now, whole, true)
	require.True(t, lifted)
	require.False(t, d.isBlocked(whole))
}

// TestRequestIsTriedThreeTimesInAll checks that crashes that came too late to be
// prevented count as trials.
func TestRequestIsTriedThreeTimesInAll(t *testing.T) {
	for late := range 4 {
		d, whole := New(), wholeTrait("harmful")
		crash := func(now time.Duration) {
			engine := fmt.Sprint("engine-", now)
			d.RecordLoss(now, engine, []Trait{whole})
			d.EndCheck(now, engine, CheckEnded)
		}
		for i := range minCrashes {
			crash(time.Duration(i) * time.Second)
		}
		for i := range late {
			crash(time.Minute + time.Duration(i)*time.Second)
		}
		now := 2 * time.Minute
		for i := range minContrast {
			d.RecordSound(now, uint64(i), now, []Trait{wholeTrait(fmt.Sprint("other-", i))})
		}
		require.Len(t, d.Decide(now), 1)
		trials := 0
		for ; now < blockAge; now += 10 * time.Second {
			if d.BeginTrial(now, []Trait{whole}) {
				trials++
				crash(now)
				d.EndTrial(now, whole, false)
			}
		}
		require.Equal(t, 3-late, trials, "%d late crashes", late)
	}
}

// TestRequestWithoutOthersIsNotBlamed checks that nothing is blamed where only one
// request is known: its servers may end by themselves.
func TestRequestWithoutOthersIsNotBlamed(t *testing.T) {
	d, whole := New(), wholeTrait("only")
	for i := range 2 * manyCrashes {
		now := time.Duration(i) * time.Second
		engine := fmt.Sprint("engine-", i)
		d.RecordLoss(now, engine, []Trait{whole})
		d.EndCheck(now, engine, CheckEnded)
		require.Empty(t, d.Decide(now))
	}
}
