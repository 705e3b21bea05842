package logtrace

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/logevent"
)

// Cause is why a request of a gateway was not served within its objective.
type Cause string

// Causes of requests that were not served within their objective. Other
// outcomes have the cause "OUTCOME: REASON".
const (
	// CausePredictedLate: the first event was predicted to be late when the
	// server was chosen. The load exceeded the capacity.
	CausePredictedLate Cause = "late: predicted when it was placed"
	// CauseRetried: the request needed more than one attempt.
	CauseRetried Cause = "late: retried"
	// CausePrefill and CauseDecode: the prefill at another engine, or everything
	// after it, took longer than predicted.
	CausePrefill Cause = "late: prefill took longer than predicted"
	CauseDecode  Cause = "late: server took longer than predicted"
	// CauseLeftBefore and CauseLeftAfter: the caller disconnected before or after
	// its first event.
	CauseLeftBefore Cause = "caller left before the first event"
	CauseLeftAfter  Cause = "caller left before the end of the stream"
)

// summaryLine is a line of a gateway's log about a request.
type summaryLine struct {
	Time             time.Time `json:"time"`
	Message          string    `json:"msg"`
	RequestID        string    `json:"request_id"`
	Route            string    `json:"route"`
	Outcome          string    `json:"outcome"`
	Reason           string    `json:"reason"`
	Server           string    `json:"server"`
	PrefillServer    string    `json:"prefill_server"`
	Deferred         bool      `json:"deferred"`
	Attempts         int       `json:"attempts"`
	ElapsedMS        int64     `json:"elapsed_ms"`
	FirstEventMS     int64     `json:"first_event_ms"`
	ObjectiveMS      int64     `json:"objective_ms"`
	PrefillElapsedMS int64     `json:"prefill_elapsed_ms"`
	PrefillPredicted int64     `json:"prefill_predicted_ms"`
}

// Summary counts the requests of a gateway's logs that were not served within
// their objective.
type Summary struct {
	// Window is the length of the intervals by which rows are grouped; 0 groups
	// the whole log.
	Window time.Duration
	// Requests counts all ended requests by route, in order of the routes.
	Requests map[string]int
	rows     map[summaryKey]int
	// attempts holds the last attempt of requests that have not ended yet.
	attempts map[string]summaryLine
	start    time.Time
}

// summaryKey is what rows are grouped by.
type summaryKey struct {
	interval      int64
	route, server string
	cause         Cause
}

// Row is a group of requests that were not served within their objective.
type Row struct {
	// From is the start of the interval, measured from the first line.
	From   time.Duration
	Route  string
	Cause  Cause
	Server string
	Count  int
}

// NewSummary returns an empty summary with rows per interval of the given
// length.
func NewSummary(window time.Duration) *Summary {
	return &Summary{Window: window, Requests: make(map[string]int), rows: make(map[summaryKey]int), attempts: make(map[string]summaryLine)}
}

// Read adds a log. Text before the JSON object of a line is skipped; other lines
// are ignored.
func (s *Summary) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		begin := bytes.IndexByte(text, '{')
		if begin < 0 || !bytes.Contains(text, []byte(logevent.KeyRequestID)) {
			continue
		}
		var line summaryLine
		if json.Unmarshal(text[begin:], &line) == nil {
			s.add(line)
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("logtrace: %w", err)
	}
	return nil
}

// add counts a line.
func (s *Summary) add(line summaryLine) {
	if s.start.IsZero() {
		s.start = line.Time
	}
	switch line.Message {
	case "attempt":
		s.attempts[line.RequestID] = line
	case "request ended":
		attempt := s.attempts[line.RequestID]
		delete(s.attempts, line.RequestID)
		s.Requests[line.Route]++
		if cause, server := causeOf(line, attempt); cause != "" {
			s.rows[summaryKey{interval: s.interval(line.Time), route: line.Route, server: server, cause: cause}]++
		}
	}
}

func (s *Summary) interval(at time.Time) int64 {
	if s.Window <= 0 {
		return 0
	}
	return int64(at.Sub(s.start) / s.Window)
}

// causeOf returns why a request was not served within its objective, and at
// which server; an empty cause if it was.
func causeOf(ended, attempt summaryLine) (Cause, string) {
	took := ended.ElapsedMS
	if ended.FirstEventMS > 0 {
		took = ended.FirstEventMS
	}
	switch {
	case ended.Outcome == "caller_left" && ended.FirstEventMS > 0:
		return CauseLeftAfter, ended.Server
	case ended.Outcome == "caller_left":
		return CauseLeftBefore, cmp.Or(ended.Server, attempt.PrefillServer)
	case ended.Outcome != "answered":
		return Cause(ended.Outcome + ": " + ended.Reason), ended.Server
	case ended.ObjectiveMS == 0 || took <= ended.ObjectiveMS:
		return "", ""
	case ended.Attempts > 1:
		return CauseRetried, ended.Server
	case attempt.Deferred:
		return CausePredictedLate, cmp.Or(attempt.PrefillServer, ended.Server)
	case attempt.PrefillElapsedMS-attempt.PrefillPredicted > (took-attempt.PrefillElapsedMS)/2:
		return CausePrefill, attempt.PrefillServer
	default:
		return CauseDecode, ended.Server
	}
}

// Rows returns the counts, by interval and then the most frequent first.
func (s *Summary) Rows() []Row {
	rows := make([]Row, 0, len(s.rows))
	for k, count := range s.rows {
		rows = append(rows, Row{From: time.Duration(k.interval) * s.Window, Route: k.route, Cause: k.cause, Server: k.server, Count: count})
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Route, b.Route),
			cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Server, b.Server))
	})
	return rows
}

// Write prints the rows as a table.
func (s *Summary) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(table, "FROM\tROUTE\tREQUESTS\tOF\tSERVER\tCAUSE"); err != nil {
		return err
	}
	for _, row := range s.Rows() {
		if _, err := fmt.Fprintf(table, "%v\t%s\t%d\t%d\t%s\t%s\n", row.From, row.Route, row.Count, s.Requests[row.Route], row.Server, row.Cause); err != nil {
			return err
		}
	}
	return table.Flush()
}
