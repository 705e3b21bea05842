package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	statusv1 "github.com/marigoldwing/marigoldwing/api/status/v1"
	"github.com/marigoldwing/marigoldwing/internal/inischema"
	"github.com/marigoldwing/marigoldwing/internal/telemetry"
)

func newStatus(o *options) *ffcli.Command {
	fs := o.newFlags("status")
	return o.command("status", "", "Show the state of the deployment.",
		"  marigoldctl status\n  marigoldctl status -output json", fs,
		func(ctx context.Context, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			status, err := client.Status(ctx)
			if err != nil {
				return err
			}
			if o.output == "json" {
				return o.printJSON(status)
			}
			return printStatus(o.stdout, status)
		})
}

func newExplain(o *options) *ffcli.Command {
	fs := o.newFlags("explain")
	return o.command("explain", " SERVICE", "Show the latest plan for a service with the reasons for its decisions.",
		"  marigoldctl explain tutor-lm", fs,
		func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return withExitCode(exitUsage, "expected one service, got %d arguments", len(args))
			}
			client, err := o.client()
			if err != nil {
				return err
			}
			plan, err := client.Explain(ctx, args[0])
			if err != nil {
				return err
			}
			if o.output == "json" {
				return o.printJSON(plan)
			}
			return printPlan(o.stdout, plan)
		})
}

func newDump(o *options) *ffcli.Command {
	fs := o.newFlags("dump")
	return o.command("dump", "", "Print the state dump of the process given by -server in JSON.",
		"  marigoldctl dump -server http://127.0.0.1:7331", fs,
		func(ctx context.Context, _ []string) error {
			client, err := o.client()
			if err != nil {
				return err
			}
			dump, err := client.DumpState(ctx)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(o.stdout, string(dump))
			return err
		})
}

// printJSON prints a message in JSON.
func (o *options) printJSON(msg proto.Message) error {
	data, err := telemetry.MarshalJSON(msg)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(o.stdout, string(data))
	return err
}

// printApply prints the reply to an apply or a dry run.
func (o *options) printApply(reply *statusv1.ApplyReply) error {
	if o.output == "json" {
		return o.printJSON(reply)
	}
	for _, line := range reply.GetErrors() {
		fmt.Fprintln(o.stdout, line)
	}
	for _, line := range reply.GetDiff() {
		fmt.Fprintln(o.stdout, line)
	}
	if reply.GetAccepted() {
		fmt.Fprintf(o.stdout, "accepted as revision %d\n", reply.GetRevision())
	}
	return nil
}

func printStatus(out io.Writer, s *statusv1.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "deployment\t%s\naccepted revision\t%d\n", s.GetDeployment(), s.GetAcceptedRevision())
	fmt.Fprintf(w, "\nFAILURE DOMAIN\tPROCESSES\tOLDEST REVISION\n")
	for _, d := range s.GetFailureDomains() {
		fmt.Fprintf(w, "%s\t%d\t%d\n", d.GetFailureDomain(), d.GetProcesses(), d.GetOldestRevision())
	}
	fmt.Fprintf(w, "\nBACKEND SERVER\tSERVICE\tFAILURE DOMAIN\tSTATE\tROLE\tVERSION\tRUNNING\tWAITING\tROUTABLE\tREASON\n")
	for _, b := range s.GetBackendServers() {
		l := b.GetLoad()
		state := inischema.EnumText(l.GetState().Descriptor().Values(), l.GetState().Number())
		role := inischema.EnumText(l.GetRole().Descriptor().Values(), l.GetRole().Number())
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%t\t%s\n", b.GetName(), b.GetService(), b.GetFailureDomain(),
			state, role, l.GetModelVersion(), l.GetRunning(), l.GetWaiting(), b.GetRoutable(), b.GetReason())
	}
	fmt.Fprintf(w, "\nPLAN\tVERSION\n")
	for _, p := range s.GetPlans() {
		fmt.Fprintf(w, "%s\t%d\n", p.GetService(), p.GetVersion())
	}
	fmt.Fprintf(w, "\nCONDITION\tSTATUS\tREASON\tMESSAGE\n")
	for _, c := range s.GetConditions() {
		fmt.Fprintf(w, "%s\t%t\t%s\t%s\n", c.GetType(), c.GetStatus(), c.GetReason(), c.GetMessage())
	}
	return w.Flush()
}

func printPlan(out io.Writer, p *peerv1.Plan) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "service\t%s\nplan version\t%d\nterm\t%d\nplanner\t%s\n", p.GetService(), p.GetVersion(), p.GetTerm(), p.GetPlanner())
	fmt.Fprintf(w, "\nBACKEND SERVER\tROLE\tMODEL\tVERSION\tSINCE PLAN\n")
	for _, a := range p.GetAssignments() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", a.GetBackendServer(), roleText(a.GetRole()), a.GetModel(), a.GetModelVersion(), a.GetChangedVersion())
	}
	for _, e := range p.GetExplanations() {
		printExplanation(w, e)
	}
	return w.Flush()
}

// roleText returns the name of a role as it is written in deployment files.
func roleText(role configv1.Role) string {
	return inischema.EnumText(role.Descriptor().Values(), role.Number())
}

// printExplanation prints a decision with its reason, inputs and alternatives.
func printExplanation(w io.Writer, e *peerv1.Explanation) {
	at := time.UnixMilli(e.GetUnixMs()).UTC().Format(time.RFC3339)
	fmt.Fprintf(w, "\n%s\t%s: %s\n", at, e.GetSubject(), e.GetDecision())
	fmt.Fprintf(w, "  reason\t%s\n", e.GetReason())
	for _, in := range e.GetInputs() {
		fmt.Fprintf(w, "  input %s\t%s %s\n", in.GetName(), decimal(in.GetValue()), in.GetUnit())
	}
	for _, alt := range e.GetAlternatives() {
		fmt.Fprintf(w, "  alternative %s\t%s points\n", alt.GetName(), decimal(alt.GetScore()))
	}
}

// decimal formats a number with up to three decimal places.
func decimal(v float64) string {
	const thousandths = 1000
	return strconv.FormatFloat(math.Round(v*thousandths)/thousandths, 'f', -1, 64)
}
