package loadgen

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"
)

// maxLineBytes bounds one line of a stream.
const maxLineBytes = 4 << 20

var (
	dataPrefix = []byte("data: ")
	doneData   = []byte("[DONE]")
	nullJSON   = []byte("null")
)

// readStream takes an answer that comes as server-sent events. Only [DONE]
// makes it whole; an error event is a refusal.
func (c *caller) readStream(body io.Reader, out *Outcome) {
	scan := bufio.NewScanner(body)
	scan.Buffer(nil, maxLineBytes)
	reader := &streamReader{out: out}
	for scan.Scan() {
		data, ok := bytes.CutPrefix(scan.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if bytes.Equal(data, doneData) {
			out.Latency = c.now() - out.Arrival.At
			reader.finish()
			return
		}
		if !reader.take(data, c.now()) {
			return
		}
	}
	out.Verdict, out.Reason = Unknown, "stream broke off"
}

// streamReader collects the events of one stream.
type streamReader struct {
	out  *Outcome
	text strings.Builder
	last time.Duration
}

// take adds an event; it reports false when the answer is over.
func (r *streamReader) take(data []byte, now time.Duration) bool {
	event := chatAnswer{}
	if err := json.Unmarshal(data, &event); err != nil {
		r.out.Verdict, r.out.Reason = Unknown, "malformed event"
		return false
	}
	if len(event.Error) > 0 && !bytes.Equal(event.Error, nullJSON) {
		setProblem(event.Error, r.out)
		return false
	}
	if len(event.Choices) != 1 || event.Choices[0].Delta.Content == "" {
		return true
	}
	r.text.WriteString(event.Choices[0].Delta.Content)
	if r.last == 0 {
		r.out.TimeToFirstToken = now - r.out.Arrival.At
	} else {
		r.out.TokenGaps = append(r.out.TokenGaps, now-r.last)
	}
	r.last = now
	return true
}

func (r *streamReader) finish() {
	r.out.Verdict = Mismatched
	if r.text.String() == wanted(r.out) {
		r.out.Verdict = Answered
	}
}
