// Package logtrace extracts the log lines about one request from the logs of
// several processes.
package logtrace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/logevent"
)

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// Line is a log line about a request.
type Line struct {
	Time    time.Time
	Process string
	Message string
	// Fields holds the remaining fields with their JSON values.
	Fields map[string]json.RawMessage
}

// ReadRequest returns the lines of a log whose request ID equals requestID. The
// JSON object of a line may be preceded by other text; lines without a JSON
// object are ignored. On a read error it returns the lines found so far.
func ReadRequest(r io.Reader, requestID string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parse(scanner.Bytes(), requestID); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return lines, fmt.Errorf("logtrace: %w", err)
	}
	return lines, nil
}

// parse decodes a log line. It returns false unless the line has the request
// ID.
func parse(text []byte, requestID string) (Line, bool) {
	objectStart := bytes.IndexByte(text, '{')
	if objectStart < 0 || !bytes.Contains(text, []byte(requestID)) {
		return Line{}, false
	}
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(text[objectStart:], &fields); err != nil {
		return Line{}, false
	}
	if stringValue(fields[logevent.KeyRequestID]) != requestID {
		return Line{}, false
	}
	line := Line{Process: stringValue(fields["process"]), Message: stringValue(fields["msg"]), Fields: fields}
	// A line without a valid time keeps the zero time and sorts first.
	line.Time, _ = time.Parse(time.RFC3339Nano, stringValue(fields["time"]))
	for _, name := range []string{"time", "level", "msg", "process", logevent.KeyRequestID} {
		delete(fields, name)
	}
	return line, true
}

// stringValue decodes a JSON string. It returns an empty string for other
// values.
func stringValue(value json.RawMessage) string {
	var text string
	if json.Unmarshal(value, &text) != nil {
		return ""
	}
	return text
}

// Sort sorts lines by time and keeps the order of lines with the same time.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// Write prints lines, each with the time elapsed since the first one.
func Write(w io.Writer, lines []Line) error {
	for _, line := range lines {
		var text strings.Builder
		for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
			fmt.Fprintf(&text, " %s=%s", name, line.Fields[name])
		}
		_, err := fmt.Fprintf(w, "+%8.3fs  %-20s %s%s\n", line.Time.Sub(lines[0].Time).Seconds(), line.Process, line.Message, text.String())
		if err != nil {
			return err
		}
	}
	return nil
}
