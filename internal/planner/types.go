// Package planner decides which role and model version each engine of a
// service is to have.
//
// The package is pure: Plan depends on its input alone, so that any process
// may plan and a bench can drive it in virtual time. What a planner must
// remember between decisions is part of the assignments, so that it passes to
// the next planner with the plan.
package planner

import (
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// Defaults for the zero fields of Tuning.
const (
	// DefaultHorizon is the time over which a change must pay.
	DefaultHorizon = 3 * time.Minute
	// DefaultReverseWindow is the time within which no change reverses
	// another.
	DefaultReverseWindow = 10 * time.Minute
	// MinReverseWindow is the shortest window that prices give.
	MinReverseWindow = time.Minute
	// reverseWindowPerRequest is the window for each request in time that a
	// role change costs.
	reverseWindowPerRequest = 3 * time.Second
	// DefaultDemandHalfLife is the age at which a period counts half.
	DefaultDemandHalfLife = 10 * time.Second
	// DefaultBacklogWindow is the time in which backlog is to be worked off.
	DefaultBacklogWindow = 30 * time.Second
	// DefaultTargetUtilization is the share of the capacity up to which
	// requests are completed in time.
	DefaultTargetUtilization = 0.85
	// DefaultMixedEfficiency is the share of its rates that an engine keeps
	// while prefill and decode interleave.
	DefaultMixedEfficiency = 0.9
	// DefaultMinGainShare is the least gain of a decision, as a share of the
	// points that the demand is worth over the horizon.
	DefaultMinGainShare = 0.02
)

// Prices weigh goodput against role changes.
type Prices struct {
	// Goodput is the worth of one request completed in time, in points.
	Goodput float64
	// RoleChange is the cost of one role change, in points.
	RoleChange float64
}

// ReverseWindow is the time within which no change reverses another at these
// prices: MinReverseWindow where a role change costs few requests, so that roles
// follow the demand, up to DefaultReverseWindow where it costs many.
func (p Prices) ReverseWindow() time.Duration {
	if p.Goodput <= 0 {
		return DefaultReverseWindow
	}
	window := time.Duration(p.RoleChange / p.Goodput * float64(reverseWindowPerRequest))
	return min(DefaultReverseWindow, max(MinReverseWindow, window))
}

// Limits bound what a decision may do.
type Limits struct {
	// MaxConcurrentChanges is the largest number of engines that change at once.
	MaxConcurrentChanges int
	// MinDecodePerDomain is the least number of engines that can decode in
	// each failure domain.
	MinDecodePerDomain int
}

// Tuning holds the constants of the decision; zero fields take the defaults.
type Tuning struct {
	Horizon           time.Duration
	ReverseWindow     time.Duration
	DemandHalfLife    time.Duration
	BacklogWindow     time.Duration
	TargetUtilization float64
	MixedEfficiency   float64
	MinGainShare      float64
}

// EngineState is whether an engine works.
type EngineState uint8

// States of an engine. Only serving engines are given changes.
const (
	// StateDown engines are unreachable or crashed.
	StateDown EngineState = iota
	// StateServing engines take work.
	StateServing
	// StateChanging engines drain for an order or carry one out.
	StateChanging
	// StateLeaving engines are being withdrawn by their owners.
	StateLeaving
)

// Model names a set of weights.
type Model struct {
	Name    string
	Version string
}

// Assignment is what a plan wants of one engine.
type Assignment struct {
	Engine string
	Role   configv1.Role
	Model  Model
	// RoleChangedAt is when a plan last changed the role; zero means never.
	RoleChangedAt time.Time
	// PreviousRole is the role before that.
	PreviousRole configv1.Role
}

// Engine is one engine as the planner sees it.
type Engine struct {
	Name          string
	FailureDomain string
	State         EngineState
	// StateSince is when State began.
	StateSince time.Time
	// Role and Model are the observed ones. The role is unspecified when it
	// is not known; the model is empty while none is loaded.
	Role  configv1.Role
	Model Model
	// Desired is the assignment in force; its role is unspecified for an
	// engine that no plan has met.
	Desired Assignment
	// PrefillRate is in prompt tokens/s, DecodeRate in output tokens/s over
	// a full batch.
	PrefillRate float64
	DecodeRate  float64
}

// Demand is what was admitted in one period.
type Demand struct {
	Duration     time.Duration
	Requests     float64
	PromptTokens float64
	// OutputTokens is the expected output.
	OutputTokens float64
}

// Backlog is the work admitted and not yet done.
type Backlog struct {
	PromptTokens float64
	OutputTokens float64
}

// Input is all that a decision depends on.
type Input struct {
	Now     time.Time
	Seed    uint64
	Service string
	// Model is what the configuration wants served.
	Model   Model
	Prices  Prices
	Limits  Limits
	Engines []Engine
	// Demand holds the recent periods, oldest first.
	Demand  []Demand
	Backlog Backlog
	// ChangeTime is how long a change takes an engine away, drain included.
	ChangeTime time.Duration
	Tuning     Tuning
}

// ChangeKind tells why an assignment changes.
type ChangeKind uint8

// Kinds of change.
const (
	// KindAdopt takes an engine's observed role as desired; it moves nothing.
	KindAdopt ChangeKind = iota
	// KindModel has an engine load another model or version.
	KindModel
	// KindRepair restores a role that the fleet lacks.
	KindRepair
	// KindGain is worth more than it costs.
	KindGain
)

// String returns the kind as used in explanations.
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

// Change is one difference between the plan in force and the decision.
type Change struct {
	Engine   string
	Kind     ChangeKind
	From, To configv1.Role
}

// Decision is the outcome of Plan.
type Decision struct {
	// Assignments has one entry per engine, in the order of the input.
	Assignments []Assignment
	// Changes lists what differs; when empty, the plan in force stays.
	Changes     []Change
	Explanation *peerv1.Explanation
}

// RoleChanges counts the changes that take an engine to another role.
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
