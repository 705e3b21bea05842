// Package loadgen sends an open-loop load to entries, verifies that each
// response is complete and belongs to its request, and compares the outcomes
// with the effects that the stand-in services recorded.
package loadgen

import (
	"math"
	"strconv"
	"strings"
	"time"

	loadv1 "github.com/marigoldwing/marigoldwing/api/load/v1"
	"github.com/marigoldwing/marigoldwing/internal/inischema"
)

// Limits of the values in an experiment file.
const (
	maxTokens     = 1 << 20
	maxDurationMs = 24 * 60 * 60 * 1000
	maxRate       = 1e6
	maxSpread     = 3
)

// rateRule accepts a "class requests-per-second" pair.
type rateRule struct{}

// Check implements inischema.Rule.
func (rateRule) Check(text string) bool {
	class, rate, ok := strings.Cut(text, " ")
	limits := inischema.FloatRange{Min: 0, Max: maxRate}
	return ok && inischema.Name.Check(class) && limits.Check(rate)
}

// String implements inischema.Rule.
func (rateRule) String() string { return "\"class requests-per-second\" pairs" }

var (
	tokenRange    = inischema.IntRange{Min: 0, Max: maxTokens}
	spreadRange   = inischema.FloatRange{Min: 0, Max: maxSpread}
	durationRange = inischema.IntRange{Min: 0, Max: maxDurationMs}
)

// ExperimentSection is the schema of the section with the general settings.
var ExperimentSection = inischema.Section{
	Name: "experiment",
	Help: "General settings of the experiment.",
	Keys: []inischema.Key{
		{Name: "name", Required: true, Allowed: inischema.Name, Help: "Name of the experiment."},
		{Name: "variant", Default: "policy", Allowed: inischema.Name, Help: "Variant that a report compares with others, for example policy or baseline."},
		{Name: "seed", Default: "1", Allowed: inischema.IntRange{Min: 0, Max: math.MaxInt64}, Help: "Random seed of arrival times and lengths."},
		{Name: "targets", Required: true, Allowed: inischema.URL{}, Help: "Base URLs of entries, used round robin."},
		{Name: "services", Allowed: inischema.URL{}, Help: "Base URLs of stand-in services whose records are compared with the responses."},
		{Name: "engines", Allowed: inischema.URL{}, Help: "Base URLs of engines whose queues and roles are sampled."},
	},
}

// ClassSection is the schema of a section that defines a class of requests.
var ClassSection = inischema.Section{
	Name:  "class",
	Named: true,
	Help:  "A class of requests.",
	Keys: []inischema.Key{
		{Name: "kind", Required: true, Allowed: inischema.Choice{"model", "plain"}, Help: "Whether requests go to a model or to a plain service."},
		{Name: "target", Required: true, Allowed: inischema.Name, Help: "Name of the model or the plain service."},
		{Name: "client", Default: "load", Allowed: inischema.Name, Help: "Client account."},
		{Name: "token", Allowed: inischema.Token, Help: "Bearer token of the client account, if it requires one."},
		{Name: "deadline_ms", Unit: "ms", Default: "20000", Allowed: durationRange, Help: "Deadline sent with each request; 0 means none."},
		{Name: "first_token_ms", Unit: "ms", Allowed: durationRange, Help: "Maximum time to the first token for a request to count as in time; 0 means no limit."},
		{Name: "prompt_tokens", Unit: "tokens", Default: "100", Allowed: tokenRange, Help: "Mean length of prompts or request bodies."},
		{Name: "prompt_spread", Allowed: spreadRange, Help: "Sigma of the log-normal distribution of prompt lengths; 0 means a fixed length."},
		{Name: "output_tokens", Unit: "tokens", Default: "50", Allowed: tokenRange, Help: "Mean length of outputs."},
		{Name: "output_spread", Allowed: spreadRange, Help: "Sigma of the log-normal distribution of output lengths; 0 means a fixed length."},
		{Name: "prefix_tokens", Unit: "tokens", Allowed: tokenRange, Help: "Number of leading prompt tokens that all requests of the class share."},
		{Name: "stream", Default: "true", Allowed: inischema.Bool, Help: "Whether responses are streamed."},
		{Name: "call", Default: "GET /", Allowed: inischema.MethodPath, Help: "Method and path of calls to a plain service."},
		{Name: "non_idempotent", Default: "false", Allowed: inischema.Bool, Help: "Whether calls carry an idempotency key."},
	},
}

// PhaseSection is the schema of a section that defines a phase with constant
// rates.
var PhaseSection = inischema.Section{
	Name:  "phase",
	Named: true,
	Help:  "A period with constant request rates. Phases run one after the other.",
	Keys: []inischema.Key{
		{Name: "duration_ms", Unit: "ms", Required: true, Allowed: durationRange, Help: "Duration of the phase."},
		{Name: "rates", Required: true, Allowed: rateRule{}, Help: "Requests per second, by class."},
	},
}

// ParseExperiment parses an experiment file. The error is an inischema.Errors
// with all problems found.
func ParseExperiment(data []byte) (*loadv1.Experiment, error) {
	blocks, errs := inischema.ParseSections(data)
	experiment := &loadv1.Experiment{}
	for _, block := range blocks {
		errs = append(errs, readBlock(experiment, block)...)
	}
	errs = append(errs, checkPhases(experiment)...)
	return experiment, errs.Err()
}

func readBlock(experiment *loadv1.Experiment, section inischema.RawSection) inischema.Errors {
	switch section.Type {
	case ExperimentSection.Name:
		return inischema.Decode(ExperimentSection, section, experiment)
	case ClassSection.Name:
		class := &loadv1.Class{}
		experiment.Classes = append(experiment.Classes, class)
		return inischema.Decode(ClassSection, section, class)
	case PhaseSection.Name:
		phase := &loadv1.Phase{}
		experiment.Phases = append(experiment.Phases, phase)
		return inischema.Decode(PhaseSection, section, phase)
	}
	return inischema.Errors{{Section: section.Header(), Problem: "unknown section", Allowed: "experiment, class, phase"}}
}

// checkPhases verifies that the file is not empty and that rates refer to
// defined classes.
func checkPhases(experiment *loadv1.Experiment) inischema.Errors {
	var errs inischema.Errors
	if experiment.GetName() == "" || len(experiment.GetPhases()) == 0 {
		errs = append(errs, &inischema.Error{Section: "file", Problem: "an experiment needs [experiment], [class] and [phase] sections"})
	}
	known := make(map[string]bool)
	for _, class := range experiment.GetClasses() {
		known[class.GetName()] = true
	}
	for _, phase := range experiment.GetPhases() {
		for _, rate := range phase.GetRates() {
			if class, _ := splitRate(rate); !known[class] {
				errs = append(errs, &inischema.Error{Section: "phase " + phase.GetName(), Key: "rates", Value: rate, Problem: "unknown class"})
			}
		}
	}
	return errs
}

// splitRate returns the class and the requests per second of a rate.
func splitRate(rate string) (string, float64) {
	class, text, _ := strings.Cut(rate, " ")
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return class, 0
	}
	return class, perSecond
}

// SendDuration returns the total duration of the phases, during which requests
// are sent.
func SendDuration(experiment *loadv1.Experiment) time.Duration {
	var total time.Duration
	for _, phase := range experiment.GetPhases() {
		total += time.Duration(phase.GetDurationMs()) * time.Millisecond
	}
	return total
}
