package loadgen

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	loadv1 "github.com/marigoldwing/marigoldwing/api/load/v1"
)

// Arrival is one request that is going to be sent.
type Arrival struct {
	At           time.Duration
	Class        *loadv1.Class
	PromptTokens int
	OutputTokens int
}

// Schedule returns the arrivals of an experiment in order of time: for each
// class a Poisson process with the rates of the phases. The same experiment
// gives the same arrivals, and a class's arrivals don't depend on the others.
func Schedule(experiment *loadv1.Experiment) []Arrival {
	var all []Arrival
	for _, class := range experiment.GetClasses() {
		all = append(all, scheduleClass(experiment, class)...)
	}
	sort.SliceStable(all, func(i, k int) bool { return all[i].At < all[k].At })
	return all
}

func scheduleClass(experiment *loadv1.Experiment, class *loadv1.Class) []Arrival {
	name := fnv.New64a()
	_, _ = name.Write([]byte(class.GetName()))
	chance := rand.New(rand.NewPCG(uint64(experiment.GetSeed()), name.Sum64()))
	var out []Arrival
	var begin time.Duration
	for _, phase := range experiment.GetPhases() {
		end := begin + time.Duration(phase.GetDurationMs())*time.Millisecond
		rate := rateOf(phase, class.GetName())
		at := begin + gap(chance, rate)
		for at < end {
			out = append(out, Arrival{
				At:           at,
				Class:        class,
				PromptTokens: length(chance, class.GetPromptTokens(), class.GetPromptSpread()),
				OutputTokens: length(chance, class.GetOutputTokens(), class.GetOutputSpread()),
			})
			at += gap(chance, rate)
		}
		begin = end
	}
	return out
}

func rateOf(phase *loadv1.Phase, class string) float64 {
	for _, rate := range phase.GetRates() {
		if name, perSecond := splitRate(rate); name == class {
			return perSecond
		}
	}
	return 0
}

// gap draws the time to the next arrival.
func gap(chance *rand.Rand, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return maxDurationMs * time.Millisecond
	}
	return time.Duration(chance.ExpFloat64() / perSecond * float64(time.Second))
}

// length draws from a log-normal distribution with the given mean, at least 1.
func length(chance *rand.Rand, mean int32, sigma float64) int {
	if sigma == 0 {
		return max(1, int(mean))
	}
	drawn := float64(mean) * math.Exp(sigma*chance.NormFloat64()-sigma*sigma/2)
	return min(max(1, int(math.Round(drawn))), maxTokens)
}
