package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/connstate"
)

// callerConnKey is the context key of the connection of a caller.
type callerConnKey struct{}

// ConnContext is the ConnContext of the HTTP server that calls the gateway. It lets the
// gateway see that a caller has closed its connection.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// reasonLeftBeforeSend is the reason of attempts that were not sent because the caller had
// left.
const reasonLeftBeforeSend = "caller left before the send"

// abort ends the request and its connection without a complete response; it does not
// return. The end of the connection delimits responses of HTTP/1.0, so that such a
// connection is reset.
func (q *request) abort() {
	conn, ok := q.r.Context().Value(callerConnKey{}).(interface{ SetLinger(seconds int) error })
	if ok && !q.r.ProtoAtLeast(1, 1) {
		// An error means that the connection has ended already.
		_ = conn.SetLinger(0)
	}
	panic(http.ErrAbortHandler)
}

// watchCaller records when the close of the caller's connection is seen, until the
// returned function is called.
func (q *request) watchCaller() (stop func() bool) {
	return context.AfterFunc(q.r.Context(), func() { q.leftAt.Store(int64(q.g.now())) })
}

// callerLeftAfter returns the time from the arrival of the request until the close of the
// caller's connection was seen.
func (q *request) callerLeftAfter() time.Duration {
	seen := time.Duration(q.leftAt.Load())
	if seen == 0 {
		seen = q.g.now()
	}
	return max(1, seen-q.arrivedAt)
}

// callerLeft reports whether the caller of a request has left. The HTTP server ends the
// request's context once it has read the close of the connection. If requests are read
// late, a caller may leave before, and its request must not be sent any more.
func callerLeft(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	conn, ok := r.Context().Value(callerConnKey{}).(net.Conn)
	return ok && connstate.Peek(conn) == connstate.Closed
}
