package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	statusv1 "github.com/marigoldwing/marigoldwing/api/status/v1"
	"github.com/marigoldwing/marigoldwing/internal/config"
	"github.com/marigoldwing/marigoldwing/internal/operatorapi"
)

const (
	// unknownRetries is the number of retries of an apply whose outcome is
	// unknown, and retryDelay the delay before each of them.
	unknownRetries = 3
	retryDelay     = 300 * time.Millisecond
	// pollInterval is the interval at which "apply -wait" polls the status.
	pollInterval = 200 * time.Millisecond
)

// readFile returns the content of the deployment file that is the only argument.
func readFile(args []string) (string, error) {
	if len(args) != 1 {
		return "", withExitCode(exitUsage, "expected one deployment file, got %d arguments", len(args))
	}
	data, err := os.ReadFile(args[0])
	if err != nil {
		return "", withExitCode(exitUsage, "%w", err)
	}
	return string(data), nil
}

func newValidate(o *options) *ffcli.Command {
	fs := o.newFlags("validate")
	return o.command("validate", " FILE", "Check a deployment file without sending it anywhere.",
		"  marigoldctl validate examples/servicio.ini", fs,
		func(_ context.Context, args []string) error {
			text, err := readFile(args)
			if err != nil {
				return err
			}
			d, err := config.Parse([]byte(text))
			if err != nil {
				return withExitCode(exitInvalid, "%s:\n%w", args[0], err)
			}
			if o.output == "json" {
				return o.printJSON(d)
			}
			_, err = fmt.Fprintf(o.stdout, "%s: deployment %s, %d services, %d backend servers, %d clients\n",
				args[0], d.GetName(), len(d.GetServices()), len(d.GetBackendServers()), len(d.GetClients()))
			return err
		})
}

// applyFlags are the flags of "apply".
type applyFlags struct {
	base   int64
	id     string
	author string
	wait   time.Duration
}

func newApply(o *options) *ffcli.Command {
	fs := o.newFlags("apply")
	f := &applyFlags{}
	fs.Int64Var(&f.base, "base", -1, "`revision` on which the file is based (-1: the current one)")
	fs.StringVar(&f.id, "apply-id", "", "`ID` of the apply; repeat an apply whose outcome is unknown with the same ID (default: a new one)")
	fs.StringVar(&f.author, "author", os.Getenv("USER"), "name of the operator who applies the file")
	fs.DurationVar(&f.wait, "wait", 0, "maximum time to wait until the file is in force in every failure domain")
	return o.command("apply", " FILE", "Apply a deployment file as a whole.",
		"  marigoldctl apply -wait 15s examples/servicio.ini\n  marigoldctl apply -base 41 examples/servicio.ini", fs,
		func(ctx context.Context, args []string) error {
			text, err := readFile(args)
			if err != nil {
				return err
			}
			client, err := o.client()
			if err != nil {
				return err
			}
			return o.apply(ctx, client, text, f)
		})
}

// apply applies a file and prints the result.
func (o *options) apply(ctx context.Context, client *operatorapi.Client, text string, f *applyFlags) error {
	base, err := baseRevision(ctx, client, f.base)
	if err != nil {
		return err
	}
	req := &statusv1.ApplyRequest{File: text, BaseRevision: base, ApplyId: f.id, Author: f.author}
	if req.ApplyId == "" {
		req.ApplyId = uuid.NewString()
	}
	reply, err := applyUntilKnown(ctx, client, req)
	if err != nil && exitCode(err) == exitUnknown {
		return withExitCode(exitUnknown, "%w\nrepeat with: -base %d -apply-id %s", err, base, req.GetApplyId())
	}
	if err != nil {
		return err
	}
	if err := o.printApply(reply); err != nil {
		return err
	}
	if err := applyOutcome(reply, base); err != nil || f.wait == 0 {
		return err
	}
	return waitInForce(ctx, client, reply.GetRevision(), f.wait)
}

// baseRevision returns the given revision, or the current one if it is negative.
func baseRevision(ctx context.Context, client *operatorapi.Client, given int64) (uint64, error) {
	if given >= 0 {
		return uint64(given), nil
	}
	inForce, err := client.Deployment(ctx)
	var problem *operatorapi.ProblemError
	if errors.As(err, &problem) && problem.Problem.GetStatus() == http.StatusNotFound {
		return 0, nil
	}
	return inForce.GetRevision(), err
}

// applyUntilKnown retries an apply whose outcome is unknown. The apply ID prevents
// the file from being accepted twice.
func applyUntilKnown(ctx context.Context, client *operatorapi.Client, req *statusv1.ApplyRequest) (*statusv1.ApplyReply, error) {
	for try := 0; ; try++ {
		reply, err := client.Apply(ctx, req)
		if mayBeAccepted(err) {
			err = withExitCode(exitUnknown, "%w", err)
		}
		if err == nil || exitCode(err) != exitUnknown || try >= unknownRetries {
			return reply, err
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return nil, err
		}
	}
}

// mayBeAccepted reports whether a file may have been accepted in spite of the error of its
// apply. A failure of the process counts as one that had no effect only if it says so, since
// the rest of the answer may be missing.
func mayBeAccepted(err error) bool {
	var problem *operatorapi.ProblemError
	switch {
	case err == nil:
		return false
	case !errors.As(err, &problem):
		return true
	default:
		return problem.Problem.GetStatus() >= http.StatusInternalServerError && problem.Problem.GetNotRun() != "true"
	}
}

// applyOutcome returns the error with the exit code for a reply, or nil if the file
// was accepted.
func applyOutcome(reply *statusv1.ApplyReply, base uint64) error {
	switch {
	case len(reply.GetErrors()) > 0:
		return withExitCode(exitInvalid, "the file has %d errors", len(reply.GetErrors()))
	case reply.GetConflict():
		return withExitCode(exitConflict, "conflict: the file is based on revision %d, but revision %d is accepted", base, reply.GetRevision())
	case !reply.GetAccepted():
		return withExitCode(exitUnavailable, "not accepted")
	}
	return nil
}

// waitInForce waits until all failure domains have applied a revision.
func waitInForce(ctx context.Context, client *operatorapi.Client, revision uint64, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		status, err := client.Status(ctx)
		if err == nil && inForceEverywhere(status, revision) {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return withExitCode(exitNotInForce, "revision %d is not in force everywhere after %s", revision, wait)
		}
	}
}

// inForceEverywhere reports whether all failure domains have applied a revision.
func inForceEverywhere(status *statusv1.Status, revision uint64) bool {
	for _, domain := range status.GetFailureDomains() {
		if domain.GetOldestRevision() < revision {
			return false
		}
	}
	return len(status.GetFailureDomains()) > 0
}

func newDiff(o *options) *ffcli.Command {
	fs := o.newFlags("diff")
	return o.command("diff", " FILE", "Show what applying a file would change.",
		"  marigoldctl diff examples/servicio.ini", fs,
		func(ctx context.Context, args []string) error {
			text, err := readFile(args)
			if err != nil {
				return err
			}
			client, err := o.client()
			if err != nil {
				return err
			}
			return o.diff(ctx, client, text)
		})
}

// diff prints the result of a dry run against the current revision.
func (o *options) diff(ctx context.Context, client *operatorapi.Client, text string) error {
	base, err := baseRevision(ctx, client, -1)
	if err != nil {
		return err
	}
	reply, err := client.Apply(ctx, &statusv1.ApplyRequest{File: text, BaseRevision: base, ApplyId: uuid.NewString(), DryRun: true})
	if err != nil {
		return err
	}
	if err := o.printApply(reply); err != nil {
		return err
	}
	switch {
	case len(reply.GetErrors()) > 0:
		return withExitCode(exitInvalid, "the file has %d errors", len(reply.GetErrors()))
	case len(reply.GetDiff()) > 0:
		return withExitCode(exitDifferent, "%d differences from revision %d", len(reply.GetDiff()), reply.GetRevision())
	}
	return nil
}
