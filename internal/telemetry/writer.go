package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// DefaultLogBufferBytes is the number of bytes of log lines that wait to be
	// written before further ones are dropped: some seconds of a busy process.
	DefaultLogBufferBytes = 1 << 20
	// flushInterval is how long a line waits at most; lines written together
	// cost fewer system calls.
	flushInterval = 50 * time.Millisecond
	// keptBytes is the largest buffer that is kept for the next lines.
	keptBytes = 64 << 10
	// lossInterval is how often dropped lines are told of at most.
	lossInterval = time.Second
)

// AsyncWriter writes log lines in the background, so that no caller waits for the
// standard output. Lines that find its buffer full are dropped and counted.
type AsyncWriter struct {
	out   io.Writer
	limit int

	mu      sync.Mutex
	pending []byte
	// written is the buffer of the last flush, for the next lines.
	written []byte
	dropped int64
	untold  int64
	toldAt  time.Time

	wake chan struct{}
	stop chan struct{}
	done chan struct{}
}

// NewAsyncWriter returns a writer that keeps at most limit bytes waiting.
func NewAsyncWriter(out io.Writer, limit int) *AsyncWriter {
	w := &AsyncWriter{
		out: out, limit: limit,
		wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer for one line. It never blocks on the output.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.pending)+len(line) > w.limit {
		w.dropped++
		w.untold++
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

// DroppedLines returns the number of lines that were dropped.
func (w *AsyncWriter) DroppedLines() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close writes what waits and ends the writer. Lines written later are lost.
func (w *AsyncWriter) Close() {
	close(w.stop)
	<-w.done
}

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

func (w *AsyncWriter) flush() {
	w.mu.Lock()
	lines := w.pending
	w.pending = w.written[:0]
	if w.untold > 0 && time.Since(w.toldAt) >= lossInterval {
		lines = append(lines, lossLine(w.untold)...)
		w.untold = 0
		w.toldAt = time.Now()
	}
	w.mu.Unlock()
	if len(lines) > 0 {
		// There is nowhere else to tell of an output that fails.
		_, _ = w.out.Write(lines)
	}
	if cap(lines) > keptBytes {
		lines = nil
	}
	w.mu.Lock()
	w.written = lines
	w.mu.Unlock()
}

// lossLine tells how many lines are missing.
func lossLine(lines int64) string {
	return fmt.Sprintf("{\"time\":%q,\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n",
		time.Now().Format(time.RFC3339Nano), lines)
}
