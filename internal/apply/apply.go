// Package apply carries out operators' applies against the store: it reads,
// lets package config decide, writes by conditional update, and reads back
// when an answer was lost.
package apply

import (
	"context"
	"errors"
	"fmt"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	statusv1 "github.com/marigoldwing/marigoldwing/api/status/v1"
	"github.com/marigoldwing/marigoldwing/internal/config"
	"github.com/marigoldwing/marigoldwing/internal/configstore"
	"github.com/marigoldwing/marigoldwing/internal/inischema"
	"github.com/marigoldwing/marigoldwing/internal/platform"
)

// Times of an apply.
const (
	// DefaultTimeout bounds an apply whose context has no deadline.
	DefaultTimeout = 10 * time.Second
	// firstDelay and maxDelay bound the wait between two tries.
	firstDelay = 100 * time.Millisecond
	maxDelay   = 2 * time.Second
)

// ErrNoApplyID says that a request lacks its apply ID.
var ErrNoApplyID = errors.New("apply: request has no apply ID")

// Applier carries out applies. It is safe for concurrent use.
type Applier struct {
	Store platform.Store
	// InForce returns the configuration in force in this process, or nil.
	InForce func() *configv1.AcceptedDeployment
	// OnAccepted is called with each configuration that this applier found to
	// be accepted, so that it spreads at once; it may be nil.
	OnAccepted func(*configv1.AcceptedDeployment)
}

// Apply carries out one request. The error wraps platform.ErrUnavailable when
// the file was certainly not accepted, and platform.ErrOutcomeUnknown when it
// may have been: the same request, with the same apply ID, then tells.
func (a *Applier) Apply(ctx context.Context, req *statusv1.ApplyRequest) (*statusv1.ApplyReply, error) {
	if req.GetApplyId() == "" {
		return nil, ErrNoApplyID
	}
	deployment, err := config.Parse([]byte(req.GetFile()))
	if err != nil {
		return refused(err), nil
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
	}
	run := run{applier: a, dry: req.GetDryRun(), apply: config.ApplyRequest{
		Deployment:   deployment,
		BaseRevision: req.GetBaseRevision(),
		ID:           req.GetApplyId(),
		Author:       req.GetAuthor(),
	}}
	return run.untilDecided(ctx)
}

// refused is the reply for a file with errors.
func refused(err error) *statusv1.ApplyReply {
	var errs inischema.Errors
	if errors.As(err, &errs) {
		return &statusv1.ApplyReply{Errors: errs.Lines()}
	}
	return &statusv1.ApplyReply{Errors: []string{err.Error()}}
}

// run is one apply under way.
type run struct {
	applier *Applier
	apply   config.ApplyRequest
	dry     bool
	// unknown is set once the outcome of a write was lost.
	unknown bool
}

// untilDecided tries until the outcome is known or ctx is done.
func (r *run) untilDecided(ctx context.Context) (*statusv1.ApplyReply, error) {
	delay := firstDelay
	for {
		reply, err := r.try(ctx)
		if err == nil {
			return reply, nil
		}
		if !again(err) {
			return nil, err
		}
		if !sleep(ctx, delay) {
			return nil, r.gaveUp(err)
		}
		delay = min(2*delay, maxDelay)
	}
}

// gaveUp returns the error of an apply that ran out of time.
func (r *run) gaveUp(last error) error {
	if r.unknown {
		return fmt.Errorf("%w: apply %s may have been accepted: last try: %v", platform.ErrOutcomeUnknown, r.apply.ID, last)
	}
	return fmt.Errorf("%w: apply %s was not accepted: last try: %v", platform.ErrUnavailable, r.apply.ID, last)
}

// try reads, decides and writes once. An error that again accepts means that
// the outcome has to be read back or tried anew.
func (r *run) try(ctx context.Context) (*statusv1.ApplyReply, error) {
	inForce := r.applier.InForce()
	stored, err := configstore.Read(ctx, r.applier.Store, inForce)
	if err != nil {
		return nil, err
	}
	verdict := config.DecideApply(stored.Accepted, inForce, r.apply, time.Now())
	reply := &statusv1.ApplyReply{Revision: verdict.Revision, Diff: config.FormatChanges(verdict.Changes)}
	switch {
	case verdict.Conflict:
		reply.Conflict = true
		return reply, nil
	case r.dry:
		return reply, nil
	case verdict.NoOp:
		reply.Accepted = true
		r.accepted(stored.Accepted)
		return reply, nil
	}
	if err := r.write(ctx, stored, verdict.Next); err != nil {
		return nil, err
	}
	r.accepted(verdict.Next)
	reply.Accepted = true
	reply.Revision = verdict.Next.GetRevision()
	return reply, nil
}

// write stores the next configuration if what was read is still stored.
func (r *run) write(ctx context.Context, before configstore.Stored, next *configv1.AcceptedDeployment) error {
	err := configstore.Write(ctx, r.applier.Store, before, next)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		r.unknown = true
	}
	return err
}

func (r *run) accepted(a *configv1.AcceptedDeployment) {
	if a != nil && r.applier.OnAccepted != nil {
		r.applier.OnAccepted(a)
	}
}

// again tells whether an error leaves room for another try.
func again(err error) bool {
	var conflict *platform.ConflictError
	return errors.As(err, &conflict) || errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOutcomeUnknown)
}

// sleep waits for d and tells whether ctx still stands.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
