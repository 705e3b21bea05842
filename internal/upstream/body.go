package upstream

import (
	"errors"
	"io"
)

// ErrBodyTooLong is returned for a response body beyond the permitted size, of
// which a part must not be taken for the whole.
var ErrBodyTooLong = errors.New("answer is too long")

// firstBodyBytes is the size of the first buffer for a body of unknown length.
const firstBodyBytes = 16 << 10

// ReadBody reads the complete body of the response, at most limit bytes, up to its
// end, so that the connection can be reused. The memory is taken from the
// reservation.
func (e *Exchange) ReadBody(limit int, memory *Reservation) ([]byte, error) {
	length := e.Response.ContentLength
	if length > int64(limit) {
		return nil, ErrBodyTooLong
	}
	size := firstBodyBytes
	if length >= 0 && length < firstBodyBytes {
		// One more byte leaves room for the read that returns io.EOF.
		size = int(length) + 1
	}
	buffer := make([]byte, 0, size)
	for {
		if len(buffer) == cap(buffer) {
			size := min(2*cap(buffer), limit+1)
			if !memory.Resize(size) {
				return nil, ErrBuffersFull
			}
			buffer = append(make([]byte, 0, size), buffer...)
		}
		n, err := e.Response.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case len(buffer) > limit:
			return nil, ErrBodyTooLong
		case err == io.EOF:
			return buffer, nil
		case err != nil:
			return nil, err
		}
	}
}
