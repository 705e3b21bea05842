package upstream

import (
	"errors"
	"io"

	"github.com/marigoldwing/marigoldwing/internal/responsehead"
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

// Framing is how a response delimits its body.
type Framing string

const (
	// FramingLength is a body of a stated length.
	FramingLength Framing = "length"
	// FramingChunked is a body in chunks, the last of which is marked.
	FramingChunked Framing = "chunked"
	// FramingClose is a body that ends with its connection.
	FramingClose Framing = "close"
)

// Framing returns how the response delimits its body.
func (e *Exchange) Framing() Framing {
	switch {
	case e.Response.ContentLength >= 0:
		return FramingLength
	case len(e.Response.TransferEncoding) > 0:
		return FramingChunked
	default:
		return FramingClose
	}
}

// exchangeBody records when the response's body has been read to its end.
type exchangeBody Exchange

// Read implements io.Reader. It returns io.EOF only at the end of a complete body.
func (b *exchangeBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := (*Exchange)(b).confirmEnd(); err != nil {
		return n, err
	}
	b.complete = true
	return n, io.EOF
}

// confirmEnd returns an error if the end of the response's body may be a broken connection, or
// what follows the body is no trailer.
func (e *Exchange) confirmEnd() error {
	if e.isUnmarked {
		return e.sending.Confirm()
	}
	return responsehead.CheckFields(e.Response.Trailer)
}

// Close implements io.Closer.
func (b *exchangeBody) Close() error {
	(*Exchange)(b).Release()
	return nil
}
