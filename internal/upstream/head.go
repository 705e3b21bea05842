package upstream

import (
	"errors"
	"io"
	"math"
)

// maxHeadBytes bounds the header of a response together with the interim responses
// before it.
const maxHeadBytes = 64 << 10

// unlimited is what a headLimiter permits while no header is expected.
const unlimited = math.MaxInt64

// errHeadTooLong is returned for a response whose header does not end.
var errHeadTooLong = errors.New("header of the answer is too long")

// headLimiter limits the number of bytes read from a connection.
type headLimiter struct {
	conn io.Reader
	left int64
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.conn.Read(p)
	l.left -= int64(n)
	return n, err
}
