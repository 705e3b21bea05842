package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"

	"github.com/marigoldwing/marigoldwing/internal/upstream"
)

const (
	// maxPrealloc is the largest buffer in bytes that is allocated from a
	// Content-Length header alone, before any of the body has been received.
	maxPrealloc = 1 << 20
	// firstBodyBytes is the size of the first buffer of other bodies.
	firstBodyBytes = 16 << 10
)

// reasonBodyMemoryFull is the reason of a request for whose body there is no memory.
const reasonBodyMemoryFull = "body_memory_full"

// bodyTooLarge is the refusal of a request whose body exceeds the limit of the configuration.
var bodyTooLarge = refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}

// readBody reads the request's body. It reports whether it is there; if not, it has sent
// the response.
func (q *request) readBody(limit int64) bool {
	if q.r.Body == nil || q.r.Body == http.NoBody {
		return true
	}
	body := io.Reader(q.r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(q.w, q.r.Body, limit)
	}
	unlimit := q.limitBodyRead()
	data, err := readAll(body, q.r.ContentLength, q.bodyMemory)
	unlimit()
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		q.body = data
		return true
	case errors.As(err, &tooLarge):
		q.refuse(bodyTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.refuseForStop()
	case errors.Is(err, upstream.ErrBuffersFull):
		q.refuse(refusal{status: http.StatusServiceUnavailable, reason: reasonBodyMemoryFull, retryAfter: bodyMemoryRetryAfter})
	default:
		q.finish("caller_left", "body was not sent whole: "+err.Error(), 0)
		q.abort()
	}
	return false
}

// readAll reads a body of a length, or of an unknown one if it is negative, into memory
// that is taken from a reservation. If there is not enough, it reads the body to its end
// all the same, so that the caller receives the refusal, and returns
// upstream.ErrBuffersFull.
func readAll(body io.Reader, length int64, memory *upstream.Reservation) ([]byte, error) {
	size := firstBodyBytes
	if length >= 0 && length <= maxPrealloc {
		size = int(length)
	}
	var data []byte
	for int64(len(data)) != length {
		if len(data) == cap(data) {
			if !memory.Resize(size) {
				memory.Release()
				return nil, discardAll(body)
			}
			data = append(make([]byte, 0, size), data...)
			size = nextSize(size, length)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF && length < 0 {
			return data, nil
		}
		if err != nil && int64(len(data)) != length {
			return nil, err
		}
	}
	return data, nil
}

// nextSize returns the size of the buffer after one of a size, for a body of a length.
func nextSize(size int, length int64) int {
	if length < 0 {
		return 2 * size
	}
	return int(min(2*int64(size), length))
}

// discardAll reads a body to its end and returns upstream.ErrBuffersFull, or the error of
// the body.
func discardAll(body io.Reader) error {
	if _, err := io.Copy(io.Discard, body); err != nil {
		return err
	}
	return upstream.ErrBuffersFull
}
