package loadgen

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"
)

// maxLineBytes limits the size of one line of a stream.
const maxLineBytes = 4 << 20

var (
	dataPrefix = []byte("data: ")
	doneData   = []byte("[DONE]")
	nullJSON   = []byte("null")
)

// readStream reads a response of server-sent events. Only the [DONE] event
// completes it; an error event ends it like an error response.
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
		if !reader.add(data, c.now()) {
			return
		}
	}
	out.Verdict, out.Reason = Unknown, "stream ended without [DONE]"
}

// streamReader accumulates the events of one stream.
type streamReader struct {
	out       *Outcome
	text      strings.Builder
	lastEvent time.Duration
}

// add processes one event. It returns false if the stream must not be read
// further because the outcome has been decided.
func (r *streamReader) add(data []byte, now time.Duration) bool {
	event := chatResponse{}
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
	if r.lastEvent == 0 {
		r.out.TimeToFirstToken = now - r.out.Arrival.At
	} else {
		r.out.TokenGaps = append(r.out.TokenGaps, now-r.lastEvent)
	}
	r.lastEvent = now
	return true
}

// finish sets the verdict of a complete stream.
func (r *streamReader) finish() {
	r.out.Verdict = Mismatched
	if r.text.String() == expectedOutput(r.out) {
		r.out.Verdict = Answered
	}
}
