package loadgen

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	loadv1 "github.com/marigoldwing/marigoldwing/api/load/v1"
)

// Arrival is a scheduled request. At counts from the start of the run.
type Arrival struct {
	At           time.Duration
	Class        *loadv1.Class
	PromptTokens int
	OutputTokens int
}

// Schedule returns the arrivals of an experiment in order of time. Each class
// is a Poisson process with the rates of the phases. The result is
// deterministic, and the arrivals of a class do not depend on the other
// classes.
func Schedule(experiment *loadv1.Experiment) []Arrival {
	var all []Arrival
	for _, class := range experiment.GetClasses() {
		all = append(all, scheduleClass(experiment, class)...)
	}
	sort.SliceStable(all, func(i, k int) bool { return all[i].At < all[k].At })
	return all
}

// scheduleClass returns the arrivals of one class. Its random generator is
// seeded with the class name, which makes it independent of the other classes.
func scheduleClass(experiment *loadv1.Experiment, class *loadv1.Class) []Arrival {
	nameHash := fnv.New64a()
	_, _ = nameHash.Write([]byte(class.GetName()))
	rng := rand.New(rand.NewPCG(uint64(experiment.GetSeed()), nameHash.Sum64()))
	var out []Arrival
	var begin time.Duration
	for _, phase := range experiment.GetPhases() {
		end := begin + time.Duration(phase.GetDurationMs())*time.Millisecond
		rate := classRate(phase, class.GetName())
		at := begin + interarrivalTime(rng, rate)
		for at < end {
			out = append(out, Arrival{
				At:           at,
				Class:        class,
				PromptTokens: drawLength(rng, class.GetPromptTokens(), class.GetPromptSpread()),
				OutputTokens: drawLength(rng, class.GetOutputTokens(), class.GetOutputSpread()),
			})
			at += interarrivalTime(rng, rate)
		}
		begin = end
	}
	return out
}

// classRate returns the requests per second of a class in a phase.
func classRate(phase *loadv1.Phase, class string) float64 {
	for _, rate := range phase.GetRates() {
		if name, perSecond := splitRate(rate); name == class {
			return perSecond
		}
	}
	return 0
}

// interarrivalTime draws the time to the next arrival from an exponential
// distribution. A rate of 0 gives the maximum duration of a phase, so that no
// request arrives.
func interarrivalTime(rng *rand.Rand, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return maxDurationMs * time.Millisecond
	}
	return time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
}

// drawLength draws from a log-normal distribution with the given mean. The
// result is at least 1.
func drawLength(rng *rand.Rand, mean int32, sigma float64) int {
	if sigma == 0 {
		return max(1, int(mean))
	}
	drawn := float64(mean) * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
	return min(max(1, int(math.Round(drawn))), maxTokens)
}
