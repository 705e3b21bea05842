// Package planner decides which role and model version each engine of a service
// should have.
//
// Plan depends on its input alone, so that any process can plan and a benchmark
// can run it in virtual time. What a planner has to remember between decisions
// is part of the assignments, so that it is handed over to the next planner
// with the plan.
package planner

import (
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// Defaults for zero fields of Tuning, and bounds of the reverse window.
const (
	// DefaultHorizon is the time over which a change must pay off.
	DefaultHorizon = 3 * time.Minute
	// DefaultReverseWindow is the time within which no change may reverse
	// another.
	DefaultReverseWindow = 10 * time.Minute
	// MinReverseWindow is the shortest reverse window derived from prices.
	MinReverseWindow = time.Minute
	// reverseWindowPerRequest is the reverse window for each request completed
	// in time that a role change costs.
	reverseWindowPerRequest = 3 * time.Second
	// DefaultDemandHalfLife is the age at which a period's demand counts half.
	DefaultDemandHalfLife = 10 * time.Second
	// DefaultBacklogWindow is the time in which the backlog should be worked
	// off.
	DefaultBacklogWindow = 30 * time.Second
	// DefaultTargetUtilization is the utilization up to which requests are
	// completed in time.
	DefaultTargetUtilization = 0.85
	// DefaultMixedEfficiency is the share of its rates that an engine retains
	// while it interleaves prefill and decode.
	DefaultMixedEfficiency = 0.9
	// DefaultMinGainShare is the least gain of a decision, as a share of the
	// value of the whole demand over the horizon.
	DefaultMinGainShare = 0.02
)

// Prices weigh goodput against role changes. Points are an arbitrary unit.
type Prices struct {
	// Goodput is the value of one request completed in time, in points.
	Goodput float64
	// RoleChange is the cost of one role change, in points.
	RoleChange float64
}

// ReverseWindow returns the time within which no change may reverse another at
// these prices. It is MinReverseWindow if a role change costs only a few
// requests, so that roles follow the demand, and rises to DefaultReverseWindow
// as the cost increases.
func (p Prices) ReverseWindow() time.Duration {
	if p.Goodput <= 0 {
		return DefaultReverseWindow
	}
	window := time.Duration(p.RoleChange / p.Goodput * float64(reverseWindowPerRequest))
	return min(DefaultReverseWindow, max(MinReverseWindow, window))
}

// Limits restrict the changes of a decision.
type Limits struct {
	// MaxConcurrentChanges is the largest number of engines that may be
	// changing at once.
	MaxConcurrentChanges int
	// MinDecodePerDomain is the least number of engines that can decode in each
	// failure domain.
	MinDecodePerDomain int
}

// Tuning holds the constants of the decision. Zero fields take the defaults, at
// which their meaning is described.
type Tuning struct {
	Horizon           time.Duration
	ReverseWindow     time.Duration
	DemandHalfLife    time.Duration
	BacklogWindow     time.Duration
	TargetUtilization float64
	MixedEfficiency   float64
	MinGainShare      float64
}

// EngineState is whether an engine is available.
type EngineState uint8

// States of an engine. Only serving engines are changed.
const (
	// StateDown engines are unreachable or have crashed.
	StateDown EngineState = iota
	// StateServing engines take requests.
	StateServing
	// StateChanging engines are draining for an order or executing one.
	StateChanging
	// StateLeaving engines are being removed by their owners.
	StateLeaving
)

// Model identifies a set of weights.
type Model struct {
	Name    string
	Version string
}

// Assignment is the desired state of one engine.
type Assignment struct {
	Engine string
	Role   configv1.Role
	Model  Model
	// RoleChangedAt is when a plan last changed the role. Zero means never.
	RoleChangedAt time.Time
	// PreviousRole is the role before that change.
	PreviousRole configv1.Role
}

// Engine is the planner's view of one engine.
type Engine struct {
	Name          string
	FailureDomain string
	State         EngineState
	// StateSince is when State began.
	StateSince time.Time
	// Role and Model are the observed ones. The role is unspecified if it is
	// unknown, and the model is empty while none is loaded.
	Role  configv1.Role
	Model Model
	// Desired is the assignment in force. Its role is unspecified for an engine
	// that is not in the plan yet.
	Desired Assignment
	// PrefillRate is in prompt tokens/s, DecodeRate in output tokens/s with a
	// full batch.
	PrefillRate float64
	DecodeRate  float64
}

// Demand is the demand admitted in one period.
type Demand struct {
	Duration     time.Duration
	Requests     float64
	PromptTokens float64
	// OutputTokens is the expected number of output tokens.
	OutputTokens float64
}

// Backlog is the work admitted and not done yet.
type Backlog struct {
	PromptTokens float64
	OutputTokens float64
}

// Input holds everything that a decision depends on.
type Input struct {
	Now     time.Time
	Seed    uint64
	Service string
	// Model is the model in the configuration.
	Model   Model
	Prices  Prices
	Limits  Limits
	Engines []Engine
	// Demand holds the recent periods, oldest first.
	Demand  []Demand
	Backlog Backlog
	// ChangeTime is how long a change makes an engine unavailable, including
	// its drain.
	ChangeTime time.Duration
	Tuning     Tuning
}

// ChangeKind is the reason for changing an assignment.
type ChangeKind uint8

// Kinds of changes.
const (
	// KindAdopt makes the observed role of an engine the desired one. The
	// engine itself does not change.
	KindAdopt ChangeKind = iota
	// KindModel changes the model or its version.
	KindModel
	// KindRepair restores a role that the fleet or a failure domain lacks.
	KindRepair
	// KindGain gains more than it costs.
	KindGain
)

// String returns the name of the kind used in explanations.
func (k ChangeKind) String() string {
	switch k {
	case KindAdopt:
		return "adopt"
	case KindModel:
		return "model"
	case KindRepair:
		return "repair"
	default:
		return "gain"
	}
}

// Change is a difference between the plan in force and the decision.
type Change struct {
	Engine   string
	Kind     ChangeKind
	From, To configv1.Role
}

// Decision is the result of Plan.
type Decision struct {
	// Assignments has one entry per engine, in the order of the input.
	Assignments []Assignment
	// Changes lists the differences to the plan in force, which stays in force
	// if there are none.
	Changes     []Change
	Explanation *peerv1.Explanation
}

// RoleChanges returns the number of changes that make an engine change its
// role.
func (d Decision) RoleChanges() int {
	n := 0
	for _, c := range d.Changes {
		if c.Kind == KindGain || c.Kind == KindRepair {
			n++
		}
	}
	return n
}

func (t Tuning) withDefaults() Tuning {
	setDuration(&t.Horizon, DefaultHorizon)
	setDuration(&t.ReverseWindow, DefaultReverseWindow)
	setDuration(&t.DemandHalfLife, DefaultDemandHalfLife)
	setDuration(&t.BacklogWindow, DefaultBacklogWindow)
	setFloat(&t.TargetUtilization, DefaultTargetUtilization)
	setFloat(&t.MixedEfficiency, DefaultMixedEfficiency)
	setFloat(&t.MinGainShare, DefaultMinGainShare)
	return t
}

func setDuration(v *time.Duration, def time.Duration) {
	if *v == 0 {
		*v = def
	}
}

func setFloat(v *float64, def float64) {
	if *v == 0 {
		*v = def
	}
}

func canPrefill(r configv1.Role) bool {
	return r == configv1.Role_ROLE_PREFILL || r == configv1.Role_ROLE_MIXED
}

func canDecode(r configv1.Role) bool {
	return r == configv1.Role_ROLE_DECODE || r == configv1.Role_ROLE_MIXED
}
