package telemetry

import (
	"bytes"
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
