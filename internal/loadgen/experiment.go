// Package loadgen sends an open loop of requests to entries, checks that each
// answer is whole and its caller's own, and judges what ran by the records of
// the stand-ins.
package loadgen

import (
	"math"
	"strconv"
	"strings"
	"time"

	loadv1 "github.com/marigoldwing/marigoldwing/api/load/v1"
	"github.com/marigoldwing/marigoldwing/internal/inischema"
)

// Limits of an experiment.
const (
	maxTokens     = 1 << 20
	maxDurationMs = 24 * 60 * 60 * 1000
	maxRate       = 1e6
	maxSpread     = 3
)

// rateRule allows a "class rate" pair.
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
	tokens   = inischema.IntRange{Min: 0, Max: maxTokens}
	spread   = inischema.FloatRange{Min: 0, Max: maxSpread}
	duration = inischema.IntRange{Min: 0, Max: maxDurationMs}
)

// ExperimentSection describes the section of the whole experiment.
var ExperimentSection = inischema.Section{
	Name: "experiment",
	Help: "What is sent where.",
	Keys: []inischema.Key{
		{Name: "name", Required: true, Allowed: inischema.Name, Help: "Name of the experiment."},
		{Name: "variant", Default: "policy", Allowed: inischema.Name, Help: "What is compared in a report, for example policy or baseline."},
		{Name: "seed", Default: "1", Allowed: inischema.IntRange{Min: 0, Max: math.MaxInt64}, Help: "Seed of arrivals and lengths."},
		{Name: "targets", Required: true, Allowed: inischema.URL{}, Help: "Base URLs of entries, used in turn."},
		{Name: "services", Allowed: inischema.URL{}, Help: "Base URLs of stand-in services whose records judge what ran."},
		{Name: "engines", Allowed: inischema.URL{}, Help: "Base URLs of engines, read for queue and roles."},
	},
}

// ClassSection describes a class of requests.
var ClassSection = inischema.Section{
	Name:  "class",
	Named: true,
	Help:  "A kind of request.",
	Keys: []inischema.Key{
		{Name: "kind", Required: true, Allowed: inischema.Choice{"model", "plain"}, Help: "Requests to a model, or calls to a plain service."},
		{Name: "target", Required: true, Allowed: inischema.Name, Help: "Model, or plain service."},
		{Name: "client", Default: "load", Allowed: inischema.Name, Help: "Client account."},
		{Name: "token", Allowed: inischema.Token, Help: "Bearer token of the client, if it needs one."},
		{Name: "deadline_ms", Unit: "ms", Default: "20000", Allowed: duration, Help: "Deadline sent with each request; 0 sends none."},
		{Name: "first_token_ms", Unit: "ms", Allowed: duration, Help: "Time to the first token that still counts as in time; 0 means any."},
		{Name: "prompt_tokens", Unit: "tokens", Default: "100", Allowed: tokens, Help: "Mean length of prompts or bodies."},
		{Name: "prompt_spread", Allowed: spread, Help: "Sigma of the log-normal lengths of prompts."},
		{Name: "output_tokens", Unit: "tokens", Default: "50", Allowed: tokens, Help: "Mean length of outputs."},
		{Name: "output_spread", Allowed: spread, Help: "Sigma of the log-normal lengths of outputs."},
		{Name: "prefix_tokens", Unit: "tokens", Allowed: tokens, Help: "Leading prompt tokens that all requests of the class share."},
		{Name: "stream", Default: "true", Allowed: inischema.Bool, Help: "Whether answers are streamed."},
		{Name: "call", Default: "GET /", Allowed: inischema.MethodPath, Help: "Method and path of calls to a plain service."},
		{Name: "non_idempotent", Default: "false", Allowed: inischema.Bool, Help: "Whether calls carry an idempotency key."},
	},
}

// PhaseSection describes a time with fixed rates.
var PhaseSection = inischema.Section{
	Name:  "phase",
	Named: true,
	Help:  "A time with fixed rates; phases follow each other.",
	Keys: []inischema.Key{
		{Name: "duration_ms", Unit: "ms", Required: true, Allowed: duration, Help: "How long the phase lasts."},
		{Name: "rates", Required: true, Allowed: rateRule{}, Help: "Requests per second of each class."},
	},
}

// ParseExperiment reads an experiment file. The error is inischema.Errors with
// everything that is wrong.
func ParseExperiment(data []byte) (*loadv1.Experiment, error) {
	blocks, errs := inischema.ParseSections(data)
	experiment := &loadv1.Experiment{}
	for _, block := range blocks {
		errs = append(errs, readBlock(experiment, block)...)
	}
	errs = append(errs, checkPhases(experiment)...)
	return experiment, errs.Err()
}

func readBlock(experiment *loadv1.Experiment, block inischema.RawSection) inischema.Errors {
	switch block.Type {
	case ExperimentSection.Name:
		return inischema.Decode(ExperimentSection, block, experiment)
	case ClassSection.Name:
		class := &loadv1.Class{}
		experiment.Classes = append(experiment.Classes, class)
		return inischema.Decode(ClassSection, block, class)
	case PhaseSection.Name:
		phase := &loadv1.Phase{}
		experiment.Phases = append(experiment.Phases, phase)
		return inischema.Decode(PhaseSection, block, phase)
	}
	return inischema.Errors{{Section: block.Header(), Problem: "unknown section", Allowed: "experiment, class, phase"}}
}

// checkPhases checks that there is something to send and that rates name
// classes.
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

// splitRate returns the class of a rate and its requests per second.
func splitRate(rate string) (string, float64) {
	class, text, _ := strings.Cut(rate, " ")
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return class, 0
	}
	return class, perSecond
}

// SendDuration returns how long an experiment sends.
func SendDuration(experiment *loadv1.Experiment) time.Duration {
	var length time.Duration
	for _, phase := range experiment.GetPhases() {
		length += time.Duration(phase.GetDurationMs()) * time.Millisecond
	}
	return length
}
