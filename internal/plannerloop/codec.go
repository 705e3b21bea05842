package plannerloop

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/planner"
	"github.com/marigoldwing/marigoldwing/internal/platform"
)

// maxExplanations bounds the decisions that a plan remembers.
const maxExplanations = 20

// PlanKey returns the key of a service's plan.
func PlanKey(service string) platform.Key {
	return platform.Key{Kind: platform.KindPlan, Name: service}
}

// DecodePlan reads a stored plan and gives it the version of its object, which
// is also that of the assignments that it changed itself.
func DecodePlan(obj platform.Object) (*peerv1.Plan, error) {
	plan := new(peerv1.Plan)
	if err := proto.Unmarshal(obj.Value, plan); err != nil {
		return nil, fmt.Errorf("plannerloop: plan %s at version %d: %w", obj.Key, obj.Version, err)
	}
	plan.Version = obj.Version
	for _, a := range plan.GetAssignments() {
		if a.GetChangedVersion() == 0 {
			a.ChangedVersion = obj.Version
		}
	}
	return plan, nil
}

// encode returns the stored form. The version is that of the object and is
// not known before the write.
func encode(plan *peerv1.Plan) ([]byte, error) {
	stored := proto.CloneOf(plan)
	stored.Version = 0
	value, err := proto.Marshal(stored)
	if err != nil {
		return nil, fmt.Errorf("plannerloop: plan of %s: %w", plan.GetService(), err)
	}
	return value, nil
}

// fillDesired gives each engine what the plan in force wants of it.
func fillDesired(engines []planner.Engine, plan *peerv1.Plan) {
	byName := make(map[string]*peerv1.Assignment, len(plan.GetAssignments()))
	for _, a := range plan.GetAssignments() {
		byName[a.GetBackendServer()] = a
	}
	for i := range engines {
		engines[i].Desired = fromWire(byName[engines[i].Name])
	}
}

func fromWire(a *peerv1.Assignment) planner.Assignment {
	out := planner.Assignment{
		Engine:       a.GetBackendServer(),
		Role:         a.GetRole(),
		Model:        planner.Model{Name: a.GetModel(), Version: a.GetModelVersion()},
		PreviousRole: a.GetPreviousRole(),
	}
	if ms := a.GetChangedUnixMs(); ms != 0 {
		out.RoleChangedAt = time.UnixMilli(ms)
	}
	return out
}

func toWire(a planner.Assignment) *peerv1.Assignment {
	out := &peerv1.Assignment{
		BackendServer: a.Engine,
		Role:          a.Role,
		Model:         a.Model.Name,
		ModelVersion:  a.Model.Version,
		PreviousRole:  a.PreviousRole,
	}
	if !a.RoleChangedAt.IsZero() {
		out.ChangedUnixMs = a.RoleChangedAt.UnixMilli()
	}
	return out
}

// apply returns the plan that a decision makes of the one in force.
func apply(old *peerv1.Plan, d planner.Decision) *peerv1.Plan {
	before := make(map[string]*peerv1.Assignment, len(old.GetAssignments()))
	for _, a := range old.GetAssignments() {
		before[a.GetBackendServer()] = a
	}
	next := &peerv1.Plan{Service: old.GetService(), Term: old.GetTerm()}
	for _, a := range d.Assignments {
		if a.Role == configv1.Role_ROLE_UNSPECIFIED {
			continue
		}
		wire := toWire(a)
		if b := before[a.Engine]; sameWish(b, wire) {
			wire.ChangedVersion = b.GetChangedVersion()
		}
		next.Assignments = append(next.Assignments, wire)
	}
	next.Explanations = append(next.Explanations, old.GetExplanations()...)
	if len(d.Changes) > 0 {
		next.Explanations = append(next.Explanations, d.Explanation)
	}
	if extra := len(next.Explanations) - maxExplanations; extra > 0 {
		next.Explanations = next.Explanations[extra:]
	}
	return next
}

func sameWish(a, b *peerv1.Assignment) bool {
	return a != nil && a.GetRole() == b.GetRole() && a.GetModel() == b.GetModel() &&
		a.GetModelVersion() == b.GetModelVersion()
}

// sameWishes reports whether two plans want the same of the same engines.
func sameWishes(a, b *peerv1.Plan) bool {
	if len(a.GetAssignments()) != len(b.GetAssignments()) {
		return false
	}
	for i, x := range a.GetAssignments() {
		y := b.GetAssignments()[i]
		if x.GetBackendServer() != y.GetBackendServer() || !sameWish(x, y) {
			return false
		}
	}
	return true
}
