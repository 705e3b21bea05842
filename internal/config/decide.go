package config

import (
	"fmt"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	"github.com/marigoldwing/marigoldwing/internal/inischema"
	"github.com/marigoldwing/marigoldwing/internal/ledger"
)

// maxRecent is the number of accepted applies that a configuration records, to
// recognize retries.
const maxRecent = 32

// Source is the origin of a candidate configuration.
type Source int

// Sources of candidates.
const (
	// FromStore: the platform's object store.
	FromStore Source = iota + 1
	// FromPeer: another process.
	FromPeer
)

// String returns the source as used in logs.
func (s Source) String() string {
	switch s {
	case FromStore:
		return "store"
	case FromPeer:
		return "peer"
	default:
		return "unknown"
	}
}

// Alarm is a problem with a candidate configuration that an operator has to
// resolve.
type Alarm int

// Alarms.
const (
	// NoAlarm: there is no problem.
	NoAlarm Alarm = iota
	// AlarmStoreOlder: the store holds an older revision than the one in force.
	AlarmStoreOlder
	// AlarmConflictingApplies: two different applies were accepted with the
	// same revision.
	AlarmConflictingApplies
	// AlarmInvalid: the candidate fails validation.
	AlarmInvalid
)

// Alarms returns all alarms except NoAlarm.
func Alarms() []Alarm { return []Alarm{AlarmStoreOlder, AlarmConflictingApplies, AlarmInvalid} }

// String returns the alarm as used in conditions and metrics.
func (a Alarm) String() string {
	switch a {
	case AlarmStoreOlder:
		return "StoreOlder"
	case AlarmConflictingApplies:
		return "TwoApplies"
	case AlarmInvalid:
		return "Invalid"
	default:
		return "None"
	}
}

// Verdict is the decision about a candidate configuration.
type Verdict struct {
	// Adopt is set if the candidate must be put into force.
	Adopt  bool
	Alarm  Alarm
	Reason string
}

// Evaluate decides whether a candidate replaces the configuration in force,
// which is nil before the first. Only a candidate with a higher revision is
// adopted.
func Evaluate(inForce, candidate *configv1.AcceptedDeployment, source Source) Verdict {
	have, got := inForce.GetRevision(), candidate.GetRevision()
	switch {
	case got == 0 && have == 0:
		return Verdict{Reason: "nothing accepted yet"}
	case got < have && source == FromStore:
		return Verdict{Alarm: AlarmStoreOlder, Reason: fmt.Sprintf("store holds revision %d, %d is in force", got, have)}
	case got < have:
		return Verdict{Reason: fmt.Sprintf("peer holds revision %d, %d is in force", got, have)}
	case got == have && candidate.GetApplyId() != inForce.GetApplyId():
		reason := fmt.Sprintf("revision %d of apply %s is in force, got apply %s", have, inForce.GetApplyId(), candidate.GetApplyId())
		return Verdict{Alarm: AlarmConflictingApplies, Reason: reason}
	case got == have:
		return Verdict{Reason: "in force already"}
	}
	if errs := validate(candidate.GetDeployment()); len(errs) > 0 {
		return Verdict{Alarm: AlarmInvalid, Reason: errs[0].Error()}
	}
	return Verdict{Adopt: true, Reason: fmt.Sprintf("revision %d follows %d", got, have)}
}

// Newest returns the candidate to start with, which is the valid one with the
// highest revision, or nil.
func Newest(candidates ...*configv1.AcceptedDeployment) *configv1.AcceptedDeployment {
	var newest *configv1.AcceptedDeployment
	for _, c := range candidates {
		if Evaluate(newest, c, FromPeer).Adopt {
			newest = c
		}
	}
	return newest
}

// ApplyRequest is a request to accept a deployment file.
type ApplyRequest struct {
	Deployment *configv1.Deployment
	// BaseRevision is the revision on which the file is based.
	BaseRevision uint64
	ID           string
	Author       string
}

// ApplyDecision is the decision about an ApplyRequest.
type ApplyDecision struct {
	// NoOp is set if the request has been accepted before or changes nothing.
	// Revision is the revision that contains it.
	NoOp     bool
	Revision uint64
	// Conflict is set if BaseRevision is not the newest revision.
	Conflict bool
	// Next is the configuration to store; nil if NoOp or Conflict is set.
	Next *configv1.AcceptedDeployment
	// Changes are the differences between the newest accepted configuration and
	// the file.
	Changes []Change
}

// DecideApply decides about a request, given the configuration that the store
// holds and the one in force in this process; either may be nil. The next
// revision follows the higher of both, so that a store that was restored from
// an old backup does not reset the revision.
func DecideApply(stored, inForce *configv1.AcceptedDeployment, req ApplyRequest, now time.Time) ApplyDecision {
	for _, known := range []*configv1.AcceptedDeployment{stored, inForce} {
		if revision := acceptedRevision(known, req.ID); revision > 0 {
			return ApplyDecision{NoOp: true, Revision: revision}
		}
	}
	newest := stored
	if inForce.GetRevision() > stored.GetRevision() {
		newest = inForce
	}
	decision := ApplyDecision{Changes: Diff(newest.GetDeployment(), req.Deployment), Revision: newest.GetRevision()}
	switch {
	case req.BaseRevision != newest.GetRevision():
		decision.Conflict = true
	case newest == stored && newest.GetRevision() > 0 && len(decision.Changes) == 0:
		decision.NoOp = true
	default:
		decision.Next = successor(newest, req, now)
	}
	return decision
}

// acceptedRevision returns the revision with which an apply was accepted, or 0.
func acceptedRevision(known *configv1.AcceptedDeployment, id string) uint64 {
	for _, record := range known.GetRecent() {
		if record.GetApplyId() == id {
			return record.GetRevision()
		}
	}
	return 0
}

// successor returns the accepted configuration that follows newest.
func successor(newest *configv1.AcceptedDeployment, req ApplyRequest, now time.Time) *configv1.AcceptedDeployment {
	revision := newest.GetRevision() + 1
	return &configv1.AcceptedDeployment{
		Revision:       revision,
		ApplyId:        req.ID,
		Author:         req.Author,
		AcceptedUnixMs: now.UnixMilli(),
		Deployment:     req.Deployment,
		Recent:         appendRecent(newest.GetRecent(), revision, req.ID),
		KeyHomes:       ledger.NextKeyHomes(newest, req.Deployment, now),
	}
}

// appendRecent returns a copy of the records with one appended, without the
// oldest if there are more than maxRecent.
func appendRecent(recent []*configv1.ApplyRecord, revision uint64, id string) []*configv1.ApplyRecord {
	if len(recent) >= maxRecent {
		recent = recent[len(recent)-maxRecent+1:]
	}
	all := make([]*configv1.ApplyRecord, 0, len(recent)+1)
	all = append(all, recent...)
	return append(all, &configv1.ApplyRecord{Revision: revision, ApplyId: id})
}

// Validate checks a deployment that was not returned by Parse against the rules
// that span several sections or keys. An error is of type inischema.Errors.
func Validate(d *configv1.Deployment) error { return inischema.Errors(validate(d)).Err() }
