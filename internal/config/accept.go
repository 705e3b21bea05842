package config

import (
	"fmt"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	"github.com/marigoldwing/marigoldwing/internal/inischema"
	"github.com/marigoldwing/marigoldwing/internal/ledger"
)

// maxRecent is how many accepted applies a configuration remembers.
const maxRecent = 32

// Source is where a candidate comes from.
type Source int

// Sources of candidates.
const (
	// FromStore is the platform's object API.
	FromStore Source = iota + 1
	// FromPeer is another process.
	FromPeer
)

// String returns the source's name as used in logs.
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

// Alarm is something about a candidate that operators have to look at.
type Alarm int

// Alarms.
const (
	// NoAlarm says that nothing is wrong.
	NoAlarm Alarm = iota
	// AlarmStoreOlder says that the store holds an older revision than the
	// one in force.
	AlarmStoreOlder
	// AlarmConflictingApplies says that two applies have the same revision.
	AlarmConflictingApplies
	// AlarmInvalid says that the candidate fails the checks of the file.
	AlarmInvalid
)

// Alarms returns all alarms but NoAlarm.
func Alarms() []Alarm { return []Alarm{AlarmStoreOlder, AlarmConflictingApplies, AlarmInvalid} }

// String returns the alarm's name as used in conditions and metrics.
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

// Verdict is what to do with a candidate.
type Verdict struct {
	// Adopt says that the candidate is to be put in force.
	Adopt  bool
	Alarm  Alarm
	Reason string
}

// Evaluate decides whether a candidate replaces the configuration in force,
// which is nil before the first. Only a higher revision ever does.
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
	if errs := check(candidate.GetDeployment()); len(errs) > 0 {
		return Verdict{Alarm: AlarmInvalid, Reason: errs[0].Error()}
	}
	return Verdict{Adopt: true, Reason: fmt.Sprintf("revision %d follows %d", got, have)}
}

// Newest returns which of several candidates to start with, or nil.
func Newest(candidates ...*configv1.AcceptedDeployment) *configv1.AcceptedDeployment {
	var newest *configv1.AcceptedDeployment
	for _, c := range candidates {
		if Evaluate(newest, c, FromPeer).Adopt {
			newest = c
		}
	}
	return newest
}

// ApplyRequest is a request to accept a file.
type ApplyRequest struct {
	Deployment *configv1.Deployment
	// BaseRevision is the revision that the file was written against.
	BaseRevision uint64
	ID           string
	Author       string
}

// ApplyDecision is what to do with an apply.
type ApplyDecision struct {
	// NoOp says that the apply has been accepted before, or changes nothing;
	// Revision is the one that holds it.
	NoOp     bool
	Revision uint64
	// Conflict says that BaseRevision is not the newest.
	Conflict bool
	// Next is the value to be stored, when neither of these holds.
	Next *configv1.AcceptedDeployment
	// Changes lead from the newest accepted configuration to the file.
	Changes []Change
}

// DecideApply decides on an apply, given what the store holds and what is in
// force here (nil for none). A store that is older than what is in force
// does not set the revision back: the next one follows the higher of both.
func DecideApply(stored, inForce *configv1.AcceptedDeployment, req ApplyRequest, now time.Time) ApplyDecision {
	for _, known := range []*configv1.AcceptedDeployment{stored, inForce} {
		if revision := acceptedAs(known, req.ID); revision > 0 {
			return ApplyDecision{NoOp: true, Revision: revision}
		}
	}
	newest := stored
	if inForce.GetRevision() > stored.GetRevision() {
		newest = inForce
	}
	verdict := ApplyDecision{Changes: Diff(newest.GetDeployment(), req.Deployment), Revision: newest.GetRevision()}
	switch {
	case req.BaseRevision != newest.GetRevision():
		verdict.Conflict = true
	case newest == stored && newest.GetRevision() > 0 && len(verdict.Changes) == 0:
		verdict.NoOp = true
	default:
		verdict.Next = successor(newest, req, now)
	}
	return verdict
}

// acceptedAs returns the revision at which an apply was accepted, or 0.
func acceptedAs(known *configv1.AcceptedDeployment, id string) uint64 {
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

// appendRecent returns the records with one more, and the oldest left out.
func appendRecent(recent []*configv1.ApplyRecord, revision uint64, id string) []*configv1.ApplyRecord {
	if len(recent) >= maxRecent {
		recent = recent[len(recent)-maxRecent+1:]
	}
	all := make([]*configv1.ApplyRecord, 0, len(recent)+1)
	all = append(all, recent...)
	return append(all, &configv1.ApplyRecord{Revision: revision, ApplyId: id})
}

// Validate returns everything that is wrong between the sections of a
// deployment that did not come from Parse, or nil.
func Validate(d *configv1.Deployment) error { return inischema.Errors(check(d)).Err() }
