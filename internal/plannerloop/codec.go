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

// maxExplanations bounds the number of decisions whose explanations are kept in
// a plan.
const maxExplanations = 20

// PlanKey returns the key under which the plan of a service is stored.
func PlanKey(service string) platform.Key {
	return platform.Key{Kind: platform.KindPlan, Name: service}
}

// DecodePlan decodes a stored plan. It sets the plan's version to that of the
// object, also in assignments that were changed by this version.
func DecodePlan(obj platform.Object) (*peerv1.Plan, error) {
	plan := new(peerv1.Plan)
	if err := proto.Unmarshal(obj.Value, plan); err != nil {
		return nil, fmt.Errorf("plannerloop: decoding plan %s at version %d: %w", obj.Key, obj.Version, err)
	}
	plan.Version = obj.Version
	for _, a := range plan.GetAssignments() {
		if a.GetChangedVersion() == 0 {
			a.ChangedVersion = obj.Version
		}
	}
	return plan, nil
}

// encode returns the stored form of a plan. It omits the version, which is that
// of the object and not known before the write.
func encode(plan *peerv1.Plan) ([]byte, error) {
	stored := proto.CloneOf(plan)
	stored.Version = 0
	value, err := proto.Marshal(stored)
	if err != nil {
		return nil, fmt.Errorf("plannerloop: encoding plan of service %s: %w", plan.GetService(), err)
	}
	return value, nil
}

// fillDesired sets the desired assignment of each engine from the plan in
// force.
func fillDesired(engines []planner.Engine, plan *peerv1.Plan) {
	byName := make(map[string]*peerv1.Assignment, len(plan.GetAssignments()))
	for _, a := range plan.GetAssignments() {
		byName[a.GetBackendServer()] = a
	}
	for i := range engines {
		engines[i].Desired = assignmentFromProto(byName[engines[i].Name])
	}
}

// assignmentFromProto converts an assignment of a stored plan. A nil assignment
// gives the zero value.
func assignmentFromProto(a *peerv1.Assignment) planner.Assignment {
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

func assignmentToProto(a planner.Assignment) *peerv1.Assignment {
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

// nextPlan returns the plan that results from applying a decision to the plan
// in force.
func nextPlan(old *peerv1.Plan, d planner.Decision) *peerv1.Plan {
	before := make(map[string]*peerv1.Assignment, len(old.GetAssignments()))
	for _, a := range old.GetAssignments() {
		before[a.GetBackendServer()] = a
	}
	next := &peerv1.Plan{Service: old.GetService(), Term: old.GetTerm()}
	for _, a := range d.Assignments {
		if a.Role == configv1.Role_ROLE_UNSPECIFIED {
			continue
		}
		wire := assignmentToProto(a)
		if b := before[a.Engine]; sameAssignment(b, wire) {
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

// sameAssignment reports whether two assignments have the same role and model.
func sameAssignment(a, b *peerv1.Assignment) bool {
	return a != nil && a.GetRole() == b.GetRole() && a.GetModel() == b.GetModel() &&
		a.GetModelVersion() == b.GetModelVersion()
}

// sameAssignments reports whether two plans assign the same roles and models to
// the same engines.
func sameAssignments(a, b *peerv1.Plan) bool {
	if len(a.GetAssignments()) != len(b.GetAssignments()) {
		return false
	}
	for i, x := range a.GetAssignments() {
		y := b.GetAssignments()[i]
		if x.GetBackendServer() != y.GetBackendServer() || !sameAssignment(x, y) {
			return false
		}
	}
	return true
}
