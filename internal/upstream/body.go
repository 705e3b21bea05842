package upstream

import (
	"errors"
	"io"
)

// ErrBodyTooLong is returned for a response body beyond the permitted size, of
// which a part must not be taken for the whole.
var ErrBodyTooLong = errors.New("answer is too long")

// maxPrealloc is the largest buffer in bytes that is allocated from a
// Content-Length header alone, before any of the body has been received.
const maxPrealloc = 1 << 20

// ReadBody reads the complete body of the response, at most limit bytes, up to its
// end, so that the connection can be reused.
func (e *Exchange) ReadBody(limit int64) ([]byte, error) {
	length := e.Response.ContentLength
	if length > limit {
		return nil, ErrBodyTooLong
	}
	if length < 0 || length > maxPrealloc {
		return readUpTo(e.Response.Body, limit)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(e.Response.Body, body); err != nil {
		return nil, err
	}
	// This read returns io.EOF, since the body has the stated length.
	_, _ = e.Response.Body.Read(make([]byte, 1))
	return body, nil
}

// readUpTo reads a body of unknown length.
func readUpTo(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, ErrBodyTooLong
	}
	return body, nil
}
