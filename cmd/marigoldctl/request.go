package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/marigoldwing/marigoldwing/internal/explanation"
)

func newExplainRequest(o *options) *ffcli.Command {
	fs := o.newFlags("explain-request")
	var q explanation.Question
	fs.StringVar(&q.Host, "host", "", "`host` of the request")
	fs.StringVar(&q.Path, "path", "/", "`path` of the request")
	fs.StringVar(&q.Method, "method", "GET", "`method` of the request")
	fs.StringVar(&q.Account, "account", "", "`name` of the client account whose key the request has; never a key")
	fs.StringVar(&q.RequestID, "request-id", "", "`ID` of the request, which selects the service of a route with several")
	fs.IntVar(&q.PromptTokens, "prompt-tokens", 0, "`number` of tokens in the prompt")
	fs.StringVar(&q.Parts, "parts", "", "parts of the prompt, as `ID:TOKENS,...`; the last one is the request's own")
	fs.IntVar(&q.BodyBytes, "body-bytes", 0, "`size` of the body")
	fs.DurationVar(&q.Timeout, "timeout", 0, "`time` that the caller waits; 0 if it does not say")
	return o.command("explain-request", "", "Show what the gateway given by -server would do with a request now, and why. Nothing is sent.",
		"  marigoldctl explain-request -server http://127.0.0.1:7331 -host app.example -path /v1/ -account acme", fs,
		func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return withExitCode(exitUsage, "expected no arguments, got %d", len(args))
			}
			if _, err := explanation.Parse(q.Values()); err != nil {
				return withExitCode(exitUsage, "%w", err)
			}
			client, err := o.client()
			if err != nil {
				return err
			}
			e, err := client.ExplainRequest(ctx, q)
			if err != nil {
				return err
			}
			if o.output == "json" {
				encoder := json.NewEncoder(o.stdout)
				encoder.SetIndent("", "  ")
				return encoder.Encode(e)
			}
			return printRequest(o.stdout, e)
		})
}

// printRequest prints what a gateway would do with a request.
func printRequest(out io.Writer, e *explanation.Explanation) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) { fmt.Fprintf(w, name+"\t"+format+"\n", args...) }
	row("gateway", "%s", e.Gateway)
	if e.Leaving {
		row("state", "leaving")
	}
	row("configuration", "version %d, confirmed %s", e.ConfigVersion, ago(e.Ages.ConfigMS))
	row("registrations", "confirmed %s", ago(e.Ages.RegistrationsMS))
	if e.Route != "" {
		row("route", "%s", e.Route)
		row("key needed", "%t", e.KeyNeeded)
		row("account", "%s", orNone(e.Account))
		row("priority", "%d, of the %s", e.Priority, e.PriorityOf)
		row("service", "%s", e.Service)
	}
	if len(e.Services) > 0 {
		row("services", "%s; the request ID decides", strings.Join(e.Services, ", "))
	}
	switch {
	case e.Refusal != nil:
		row("outcome", "refused: %d %s%s", e.Refusal.Status, e.Refusal.Reason, retryAfter(e.Refusal))
	case e.Choice == nil:
		row("outcome", "waits %s ms for a server and is decided on again", decimal(e.WaitMS))
	default:
		row("outcome", "sent to %s", e.Choice.Server)
	}
	if e.Choice != nil {
		printChoice(row, e.Choice)
	}
	for _, note := range e.Notes {
		row("note", "%s", note)
	}
	if len(e.Candidates) > 0 {
		fmt.Fprintf(w, "\nSERVER\tSTAGE\tFAILURE DOMAIN\tUSABLE\tREASON\tREQUESTS\tOWN\tLOAD REPORT\tSLOWDOWN\tWEIGHT\tUSE: FIRST EVENT, SCORE\n")
	}
	for _, c := range e.Candidates {
		reason := orNone(c.Reason)
		if c.ForMS > 0 {
			reason += fmt.Sprintf(" for %s ms", decimal(c.ForMS))
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%s\t%s\t%d\t%s\t%s\t%s\t%s\n", c.Server, c.Stage, c.FailureDomain, c.Usable, reason,
			decimal(c.Requests), c.OwnRequests, ago(c.LoadAgeMS), decimal(c.Slowdown), decimal(c.Weight), usesText(c.Uses))
	}
	return w.Flush()
}

// printChoice prints the choice of servers, which remains of interest if the request is
// refused all the same.
func printChoice(row func(name, format string, args ...any), c *explanation.Choice) {
	row("server", "%s", c.Server)
	if c.PrefillServer != "" {
		row("prefill server", "%s, prefilled in %s ms", c.PrefillServer, decimal(c.PrefilledMS))
	}
	row("predicted first event", "in %s ms", decimal(c.FirstEventMS))
	if c.UncachedTokens > 0 {
		row("uncached tokens", "%d", c.UncachedTokens)
		row("fetched from", "%s", orNone(c.FetchFrom))
		row("priority of the prompt", "%d, deferred %t", c.PromptPriority, c.Deferred)
	}
	row("load report", "%s", ago(c.LoadAgeMS))
	row("placed by", "%s", c.PlacedBy)
}

// usesText returns what a server was considered for in one line.
func usesText(uses []explanation.Use) string {
	texts := make([]string, 0, len(uses))
	for _, u := range uses {
		texts = append(texts, fmt.Sprintf("%s: %s ms, %s", u.Step, decimal(u.PredictedMS), decimal(u.Score)))
	}
	return orNone(strings.Join(texts, "; "))
}

func retryAfter(r *explanation.Refusal) string {
	if r.RetryAfterMS == 0 {
		return ""
	}
	return fmt.Sprintf(", Retry-After from %s ms", decimal(r.RetryAfterMS))
}

// ago returns an age in milliseconds as text.
func ago(ms float64) string {
	if ms < 0 {
		return "never"
	}
	return decimal(ms) + " ms ago"
}

func orNone(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
