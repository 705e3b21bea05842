package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedOutput is an output that blocks writes until open is closed.
type blockedOutput struct {
	open chan struct{}
	mu   sync.Mutex
	out  bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.open
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.out.Write(p)
}

// TestWriterReportsDroppedLinesWithoutBlocking checks that writes succeed while the
// output is blocked, and that the lines dropped meanwhile are counted and
// reported in the log.
func TestWriterReportsDroppedLinesWithoutBlocking(t *testing.T) {
	out := &blockedOutput{open: make(chan struct{})}
	w := NewAsyncWriter(out, 100)
	line := []byte(strings.Repeat("x", 39) + "\n")
	for range 50 {
		n, err := w.Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	require.Positive(t, w.DroppedLines())
	close(out.open)
	w.Close()
	text := out.out.String()
	require.Contains(t, text, "log lines dropped")
	require.Equal(t, int64(50), int64(strings.Count(text, "xxx\n"))+w.DroppedLines())
}

// TestWriterReusesBuffersWithoutCorruption writes lines of increasing length
// over several flushes, and checks that reusing buffers does not corrupt them.
func TestWriterReusesBuffersWithoutCorruption(t *testing.T) {
	var out bytes.Buffer
	w := &AsyncWriter{out: &out, limit: 1 << 20, wake: make(chan struct{}, 1)}
	want := ""
	for i := range 50 {
		line := strings.Repeat(string(rune('a'+i%26)), 1+i*i) + "\n"
		_, err := w.Write([]byte(line))
		require.NoError(t, err)
		want += line
		if i%3 == 0 {
			w.flush()
		}
	}
	w.flush()
	require.Equal(t, want, out.String())
}

// recordedWrites keeps the writes that it receives.
type recordedWrites struct{ writes []string }

func (r *recordedWrites) Write(p []byte) (int, error) {
	r.writes = append(r.writes, string(p))
	return len(p), nil
}

// TestWritesHoldWholeLines checks that every write ends with a complete line and
// holds at most maxWriteBytes unless it is a single longer line. A pipe may
// accept a part of a larger write, which cut 54 of 31,984 lines in one run.
func TestWritesHoldWholeLines(t *testing.T) {
	out := &recordedWrites{}
	w := NewAsyncWriter(out, DefaultLogBufferBytes)
	var sent strings.Builder
	for i := range 200 {
		line := fmt.Sprintf("%d %s\n", i, strings.Repeat("x", i*i%700))
		if i == 100 {
			line = strings.Repeat("y", 2*maxWriteBytes) + "\n"
		}
		sent.WriteString(line)
		_, _ = w.Write([]byte(line))
	}
	w.Close()
	require.Equal(t, sent.String(), strings.Join(out.writes, ""))
	for _, write := range out.writes {
		require.True(t, strings.HasSuffix(write, "\n"))
		require.True(t, len(write) <= maxWriteBytes || strings.Count(write, "\n") == 1)
	}
}
