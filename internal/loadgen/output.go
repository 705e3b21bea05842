package loadgen

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
)

// WriteJSON writes the complete result as JSON.
func (r *Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes a human-readable summary of the result.
func (r *Result) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "%s (%s), seed %d, %.0f s of sending\n", r.Name, r.Variant, r.Seed, r.Seconds)
	fmt.Fprintf(w, "goodput %.2f requests/s in time, %d role changes\n\n", r.Goodput, r.RoleChanges)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "class\tsent\tanswered\tin time\trefused\tunknown\tmixed up\tfirst token ms p50/p95\tinter-token ms p50/p95\tlatency ms p50/p95")
	for _, c := range r.Classes {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", c.Name,
			c.Counts.Sent, c.Counts.Answered, c.Counts.InTime, c.Counts.Refused, c.Counts.Unknown, c.Counts.Mismatched,
			c.TimeToFirstToken.medianAndP95(), c.InterTokenLatency.medianAndP95(), c.Latency.medianAndP95())
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, c := range r.Classes {
		for _, unanswered := range c.Unanswered {
			fmt.Fprintf(w, "%s: %d requests not answered: %s, not_run %s\n", c.Name, unanswered.Count, unanswered.Reason, unanswered.NotRun)
		}
	}
	for _, a := range r.Attempts {
		fmt.Fprintf(w, "attempts: %d %s\n", a.Count, a.Kind)
	}
	audit := r.Audit
	fmt.Fprintf(w, "records: %d requests checked, %d duplicate effects, %d run though reported as not run, %d answered without an effect, %d records unreadable\n",
		audit.Checked, audit.Duplicates, audit.FalseRefusals, audit.MissingEffects, audit.UnreadableRecords)
	_, err := fmt.Fprintln(w, r.Summary())
	return err
}

// medianAndP95 returns the 50th and the 95th percentile, or "-" if there are no
// values.
func (q Quantiles) medianAndP95() string {
	if q.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f/%.1f", q.P50, q.P95)
}

// Summary returns the totals in one line.
func (r *Result) Summary() string {
	return fmt.Sprintf("%d sent, %d answered, %d refused, %d unknown, %d doubled, %d mixed up",
		r.Total.Sent, r.Total.Answered, r.Total.Refused, r.Total.Unknown, r.Audit.Duplicates, r.Total.Mismatched)
}

// WriteCSV writes one row per class.
func (r *Result) WriteCSV(w io.Writer) error {
	out := csv.NewWriter(w)
	rows := [][]string{{
		"name", "variant", "seed", "class", "sent", "answered", "in_time", "refused", "unknown", "mixed_up",
		"first_token_p50_ms", "first_token_p95_ms", "between_p50_ms", "between_p95_ms", "whole_p50_ms", "whole_p95_ms",
	}}
	for _, c := range r.Classes {
		rows = append(rows, r.csvRow(c))
	}
	return out.WriteAll(rows)
}

func (r *Result) csvRow(c ClassResult) []string {
	row := []string{r.Name, r.Variant, strconv.FormatInt(r.Seed, 10), c.Name}
	n := c.Counts
	for _, count := range []int{n.Sent, n.Answered, n.InTime, n.Refused, n.Unknown, n.Mismatched} {
		row = append(row, strconv.Itoa(count))
	}
	for _, q := range []Quantiles{c.TimeToFirstToken, c.InterTokenLatency, c.Latency} {
		row = append(row, strconv.FormatFloat(q.P50, 'f', 3, 64), strconv.FormatFloat(q.P95, 'f', 3, 64))
	}
	return row
}
