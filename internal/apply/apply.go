// Package apply applies deployment files to the stored configuration. It reads
// the configuration, lets package config decide whether the file is accepted,
// writes it by a conditional update, and reads the configuration back if the
// response to the write was lost.
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

const (
	// DefaultTimeout is the timeout of an apply whose context has no deadline.
	DefaultTimeout = 10 * time.Second
	// minRetryDelay is the delay before the first retry. It doubles with every
	// further retry up to maxRetryDelay.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// ErrNoApplyID is returned for requests without an apply ID.
var ErrNoApplyID = errors.New("apply: request has no apply ID")

// Applier applies deployment files. It is safe for concurrent use.
type Applier struct {
	Store platform.Store
	// InForce returns the configuration that this process has applied, or nil
	// if there is none yet.
	InForce func() *configv1.AcceptedDeployment
	// OnAccepted is called with every configuration that the applier finds to
	// be accepted, so that it is propagated immediately. It may be nil.
	OnAccepted func(*configv1.AcceptedDeployment)
}

// Apply applies the file of a request. A file with errors, and one that conflicts
// with a concurrent apply, are reported in the reply.
//
// The error wraps platform.ErrUnavailable if the file was certainly not accepted,
// and platform.ErrOutcomeUnknown if it may have been. In the latter case, the
// caller can learn the outcome by repeating the request with the same apply ID.
func (a *Applier) Apply(ctx context.Context, req *statusv1.ApplyRequest) (*statusv1.ApplyReply, error) {
	if req.GetApplyId() == "" {
		return nil, ErrNoApplyID
	}
	deployment, err := config.Parse([]byte(req.GetFile()))
	if err != nil {
		return invalidReply(err), nil
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
	}
	run := run{applier: a, dryRun: req.GetDryRun(), apply: config.ApplyRequest{
		Deployment:   deployment,
		BaseRevision: req.GetBaseRevision(),
		ID:           req.GetApplyId(),
		Author:       req.GetAuthor(),
	}}
	return run.retryUntilDecided(ctx)
}

// invalidReply returns the reply for a file with errors.
func invalidReply(err error) *statusv1.ApplyReply {
	var errs inischema.Errors
	if errors.As(err, &errs) {
		return &statusv1.ApplyReply{Errors: errs.Lines()}
	}
	return &statusv1.ApplyReply{Errors: []string{err.Error()}}
}

// run is the state of one apply.
type run struct {
	applier *Applier
	apply   config.ApplyRequest
	dryRun  bool
	// outcomeUnknown is true if the outcome of at least one write is unknown.
	outcomeUnknown bool
}

// retryUntilDecided retries until the outcome is known or ctx is done.
func (r *run) retryUntilDecided(ctx context.Context) (*statusv1.ApplyReply, error) {
	delay := minRetryDelay
	for {
		reply, err := r.attempt(ctx)
		if err == nil {
			return reply, nil
		}
		if !isRetryable(err) {
			return nil, err
		}
		if !sleep(ctx, delay) {
			return nil, r.timeoutError(err)
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// timeoutError returns the error of an apply that has timed out. The argument
// is the error of the last attempt.
func (r *run) timeoutError(last error) error {
	if r.outcomeUnknown {
		return fmt.Errorf("%w: apply %s may have been accepted: last try: %v", platform.ErrOutcomeUnknown, r.apply.ID, last)
	}
	return fmt.Errorf("%w: apply %s was not accepted: last try: %v", platform.ErrUnavailable, r.apply.ID, last)
}

// attempt makes one attempt: it reads the stored configuration, decides and writes.
// After an error for which isRetryable returns true, the next attempt either finds
// that the write has taken effect or repeats it.
func (r *run) attempt(ctx context.Context) (*statusv1.ApplyReply, error) {
	inForce := r.applier.InForce()
	stored, err := configstore.Read(ctx, r.applier.Store, inForce)
	if err != nil {
		return nil, err
	}
	decision := config.DecideApply(stored.Accepted, inForce, r.apply, time.Now())
	reply := &statusv1.ApplyReply{Revision: decision.Revision, Diff: config.FormatChanges(decision.Changes)}
	switch {
	case decision.Conflict:
		reply.Conflict = true
		return reply, nil
	case r.dryRun:
		return reply, nil
	case decision.NoOp:
		reply.Accepted = true
		r.notifyAccepted(stored.Accepted)
		return reply, nil
	}
	if err := r.write(ctx, stored, decision.Next); err != nil {
		return nil, err
	}
	r.notifyAccepted(decision.Next)
	reply.Accepted = true
	reply.Revision = decision.Next.GetRevision()
	return reply, nil
}

// write stores the next configuration on the condition that the stored one has
// not changed since it was read.
func (r *run) write(ctx context.Context, before configstore.Stored, next *configv1.AcceptedDeployment) error {
	err := configstore.Write(ctx, r.applier.Store, before, next)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		r.outcomeUnknown = true
	}
	return err
}

func (r *run) notifyAccepted(a *configv1.AcceptedDeployment) {
	if a != nil && r.applier.OnAccepted != nil {
		r.applier.OnAccepted(a)
	}
}

// isRetryable reports whether an attempt that failed with err can be retried.
func isRetryable(err error) bool {
	var conflict *platform.ConflictError
	return errors.As(err, &conflict) || errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOutcomeUnknown)
}

// sleep waits for d. It returns false if ctx is done first.
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
