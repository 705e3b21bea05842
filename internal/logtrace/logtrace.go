// Package logtrace finds the lines that concern one request in the logs of
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

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Line is one log line that concerns a request.
type Line struct {
	Time    time.Time
	Process string
	Message string
	// Fields are the others, in the form in which they were written.
	Fields map[string]json.RawMessage
}

// ReadRequest returns the lines of a log that name the request. Lines may have text
// before their JSON object; what is no JSON object is passed over.
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

func parse(text []byte, requestID string) (Line, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 || !bytes.Contains(text, []byte(requestID)) {
		return Line{}, false
	}
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(text[begin:], &fields); err != nil {
		return Line{}, false
	}
	if textOf(fields[logevent.KeyRequestID]) != requestID {
		return Line{}, false
	}
	line := Line{Process: textOf(fields["process"]), Message: textOf(fields["msg"]), Fields: fields}
	// A line without a readable time sorts first.
	line.Time, _ = time.Parse(time.RFC3339Nano, textOf(fields["time"]))
	for _, name := range []string{"time", "level", "msg", "process", logevent.KeyRequestID} {
		delete(fields, name)
	}
	return line, true
}

// textOf returns the text of a JSON string, and nothing for other values.
func textOf(value json.RawMessage) string {
	var text string
	if json.Unmarshal(value, &text) != nil {
		return ""
	}
	return text
}

// Sort orders lines by time; lines of one moment keep their order.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// Write prints lines, each with the time since the first.
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
