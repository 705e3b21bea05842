package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// DefaultLogBufferBytes is the maximum size of buffered log lines before
	// further lines are dropped. A busy process produces this much within a few
	// seconds.
	DefaultLogBufferBytes = 1 << 20
	// flushInterval is the maximum time for which a line is buffered. Writing
	// several lines at once takes fewer system calls.
	flushInterval = 50 * time.Millisecond
	// maxReusedBytes is the maximum capacity of a buffer that is reused; larger
	// ones are released.
	maxReusedBytes = 64 << 10
	// maxWriteBytes is the largest number of bytes that a pipe takes as a whole.
	maxWriteBytes = 4 << 10
	// dropReportInterval is the minimum interval between reports of dropped lines.
	dropReportInterval = time.Second
)

// AsyncWriter writes log lines to out in the background, so that callers never
// block on it. Lines that exceed the buffer limit are dropped and counted. It is
// safe for concurrent use.
type AsyncWriter struct {
	out io.Writer
	// limit is the maximum number of buffered bytes.
	limit int

	mu sync.Mutex
	// pending holds the lines that have not been written yet.
	pending []byte
	// spare is the buffer of the previous flush, which is reused for pending.
	spare []byte
	// dropped is the number of lines dropped so far, and unreported the number
	// of those that have not been reported in the log yet. The last report was
	// at reportedAt.
	dropped    int64
	unreported int64
	reportedAt time.Time

	wake chan struct{}
	stop chan struct{}
	done chan struct{}
}

// NewAsyncWriter returns a writer that buffers at most limit bytes. It must be
// closed to write the lines that are still buffered.
func NewAsyncWriter(out io.Writer, limit int) *AsyncWriter {
	w := &AsyncWriter{
		out: out, limit: limit,
		wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It buffers one line, or drops it if the buffer is
// full, and never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.pending)+len(line) > w.limit {
		w.dropped++
		w.unreported++
		w.mu.Unlock()
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// DroppedLines returns the number of lines dropped so far.
func (w *AsyncWriter) DroppedLines() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close writes the buffered lines and stops the writer. Lines written after that
// are lost.
func (w *AsyncWriter) Close() {
	close(w.stop)
	<-w.done
}

// run flushes the buffer until Close is called.
func (w *AsyncWriter) run() {
	defer close(w.done)
	for {
		select {
		case <-w.stop:
			w.flush()
			return
		case <-w.wake:
		}
		select {
		case <-w.stop:
		case <-time.After(flushInterval):
		}
		w.flush()
	}
}

// flush writes the buffered lines, followed by a report of dropped lines if one
// is due.
func (w *AsyncWriter) flush() {
	w.mu.Lock()
	lines := w.pending
	w.pending = w.spare[:0]
	if w.unreported > 0 && time.Since(w.reportedAt) >= dropReportInterval {
		lines = append(lines, dropReport(w.unreported)...)
		w.unreported = 0
		w.reportedAt = time.Now()
	}
	w.mu.Unlock()
	w.writeLines(lines)
	if cap(lines) > maxReusedBytes {
		lines = nil
	}
	w.mu.Lock()
	w.spare = lines
	w.mu.Unlock()
}

// writeLines writes whole lines, up to maxWriteBytes at a time, so that no line
// is cut where a pipe takes only a part of a larger write. A longer line is
// written alone.
func (w *AsyncWriter) writeLines(lines []byte) {
	for len(lines) > 0 {
		n := wholeLines(lines)
		// There is no other place to which the error could be logged.
		_, _ = w.out.Write(lines[:n])
		lines = lines[n:]
	}
}

// wholeLines returns the length of the first lines that fit into maxWriteBytes,
// at least one.
func wholeLines(lines []byte) int {
	if len(lines) <= maxWriteBytes {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:maxWriteBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return end + 1
	}
	return len(lines)
}

// dropReport returns the log line that reports dropped lines.
func dropReport(lines int64) string {
	return fmt.Sprintf("{\"time\":%q,\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n",
		time.Now().Format(time.RFC3339Nano), lines)
}
