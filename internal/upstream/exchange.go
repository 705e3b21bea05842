package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/bodyend"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/responsecheck"
	"github.com/marigoldwing/marigoldwing/internal/responsehead"
	"github.com/marigoldwing/marigoldwing/internal/sending"
)

// ErrNoResponse is returned if at least a part of the request may have been
// sent and no complete response header was received. The request may have been
// executed.
var ErrNoResponse = errors.New("no answer from the backend server")

// ErrUnidentified is returned if a response names no request, so that it may be one to
// an earlier request. It wraps ErrNoResponse.
var ErrUnidentified = fmt.Errorf("%w: answer names no request", ErrNoResponse)

const (
	// asyncBodyBytes is the body size from which the body is sent concurrently
	// with reading the response, because a server may respond before it has read
	// a long body.
	asyncBodyBytes = 16 << 10
	// maxUnrelatedResponses is how many responses to other requests are
	// discarded before the exchange fails.
	maxUnrelatedResponses = 2
	// maxUnrelatedBytes bounds the body of a discarded response.
	maxUnrelatedBytes = 1 << 20
)

// Request is an HTTP request. Target is written unchanged as the target of the
// request line.
type Request struct {
	// ID is the ID that the server echoes in its response. It is empty for a request
	// whose response names none, such as a health check. That request has a connection
	// of its own, since nothing else distinguishes its response from others.
	ID     string
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Permit reports whether the request may still be sent. It is called once the
	// connection is established. Nil permits all requests.
	Permit func() bool
}

// Exchange is one request and its response on a connection.
//
// Its caller owns the connection until Release or Abort, reads the response, and is
// the only one to close it. A long body is sent by a goroutine of the exchange that
// owns the connection's writer until the sending has ended. The end of an exchange waits
// for it: closing the connection interrupts the write, so that the wait is short,
// and nothing refers to the request afterwards.
type Exchange struct {
	// Response is the response with its header read. Its body returns io.EOF
	// only at the end of a complete body.
	Response *http.Response

	pool   *Pool
	server fleet.Key
	// requestID is the ID of the request.
	requestID string
	// conn is not changed while the exchange lasts; ended is set by Release and Abort.
	conn   *Conn
	beside beside
	ended  bool
	// sending tells how the writing of the request has ended.
	sending   *sending.Tracker
	stopWatch func() bool
	// unrelated is the number of responses to other requests that were discarded.
	unrelated int
	body      io.ReadCloser
	// isUnmarked is set if nothing but the end of the connection ends the body.
	isUnmarked bool
	complete   bool
}

// Do sends a request and returns when the header of its response has been
// received. Responses that name another request are discarded; one that names none is
// ErrUnidentified. If ctx ends, the connection is closed, which cancels the request at
// the server. Errors wrap ErrNotSent or ErrNoResponse.
func (p *Pool) Do(ctx context.Context, server fleet.Key, r Request) (*Exchange, error) {
	conn, err := p.connFor(ctx, server, r.ID)
	if err != nil {
		return nil, err
	}
	if r.Permit != nil && !r.Permit() {
		p.put(server, conn)
		return nil, ErrNotPermitted
	}
	conn.carry(r.ID)
	e := &Exchange{pool: p, server: server, requestID: r.ID, conn: conn, beside: p.besideOf(server), sending: sending.NewTracker()}
	// A deadline in the past interrupts reads and writes in progress.
	e.stopWatch = context.AfterFunc(ctx, func() { _ = conn.netConn.SetDeadline(time.Unix(1, 0)) })
	// The server may have answered before it ended the connection on which sending failed.
	sendErr := e.send(r)
	if err := e.readHeader(r.Method); err != nil {
		e.Abort()
		return nil, noResponse(sendErr, err)
	}
	return e, nil
}

// noResponse returns the error of an exchange without a response, which wraps ErrNoResponse,
// from the errors of sending the request, which may be nil, and of reading the response.
func noResponse(sendErr, readErr error) error {
	switch {
	case errors.Is(readErr, ErrNoResponse):
		return readErr
	case sendErr != nil:
		return fmt.Errorf("%w: send: %w", ErrNoResponse, sendErr)
	default:
		return fmt.Errorf("%w: %w", ErrNoResponse, readErr)
	}
}

// send writes the request; a long body is written in the background, and its error is known
// to the tracker only.
func (e *Exchange) send(r Request) error {
	w, tracker := e.conn.writer, e.sending
	if len(r.Body) < asyncBodyBytes {
		err := r.write(w)
		tracker.End(err)
		return err
	}
	go func() { tracker.End(r.write(w)) }()
	return nil
}

// write writes the request to w, which buffers it, and flushes it.
func (r Request) write(w *bufio.Writer) error {
	// Errors of a bufio.Writer are sticky and are returned by Flush.
	_, _ = w.WriteString(r.Method)
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(r.Target)
	_, _ = w.WriteString(" HTTP/1.1\r\nHost: ")
	_, _ = w.WriteString(r.Host)
	_, _ = w.WriteString("\r\n")
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.Write(w); err != nil {
		return err
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(r.Body)
	return w.Flush()
}

// readHeader reads headers until that of the exchange's own response. Responses to other
// requests are discarded.
func (e *Exchange) readHeader(method string) error {
	request := &http.Request{Method: method}
	for {
		response, err := e.nextResponse(request)
		if err != nil {
			return err
		}
		switch responsecheck.OwnerOf(e.requestID, e.pool.responseID(response.Header)) {
		case responsecheck.Own:
			e.Response, e.body, e.isUnmarked = response, response.Body, bodyend.IsConnectionEnd(response)
			response.Body = (*exchangeBody)(e)
			return nil
		case responsecheck.Unidentified:
			return ErrUnidentified
		}
		if err := e.discard(response); err != nil {
			return err
		}
	}
}

// nextResponse reads the header of the next response that is not an interim one.
func (e *Exchange) nextResponse(request *http.Request) (*http.Response, error) {
	e.conn.head.left = maxHeadBytes
	defer func() { e.conn.head.left = unlimited }()
	return responsehead.Read(e.conn.reader, request)
}

// OtherConnections returns how many of the other connections to the server, which were idle
// when the exchange began, are open, and how many the server has closed since before the end
// of their idle time.
func (e *Exchange) OtherConnections() (open, closed int) { return e.beside.states() }

// errUnrelated is returned if the responses to other requests are too many, or one of
// them does not show where the next response begins.
var errUnrelated = errors.New("answer belongs to another request")

// discard reads the body of a response that belongs to another request.
func (e *Exchange) discard(response *http.Response) error {
	e.unrelated++
	if e.unrelated > maxUnrelatedResponses || response.Close || bodyend.IsConnectionEnd(response) {
		return errUnrelated
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxUnrelatedBytes))
	if err != nil {
		return fmt.Errorf("answer of another request: %w", err)
	}
	if n == maxUnrelatedBytes {
		return errors.New("answer of another request is too long")
	}
	return responsehead.CheckFields(response.Trailer)
}

// Release ends the exchange. The connection is kept if the request has an ID, its response
// was the only one and was read completely, and both sides permit it; otherwise it is
// closed.
func (e *Exchange) Release() {
	if e.ended {
		return
	}
	if !e.reusable() || !e.stopWatch() {
		e.Abort()
		return
	}
	e.ended = true
	if keep := parseKeepAlive(e.Response.Header); keep > 0 {
		e.conn.keepAlive = keep
	}
	e.pool.put(e.server, e.conn)
}

// reusable reports whether another request may be sent on the connection.
func (e *Exchange) reusable() bool {
	if e.requestID == "" || e.unrelated > 0 || e.conn.exhausted() {
		return false
	}
	if !e.complete || e.Response.Close || e.conn.reader.Buffered() > 0 {
		return false
	}
	return e.sending.Sent()
}

// Abort ends the exchange and closes the connection, which cancels the request
// at the server and ends a body that is still being sent.
func (e *Exchange) Abort() {
	if e.ended {
		return
	}
	e.ended = true
	e.stopWatch()
	e.conn.Close()
	<-e.sending.Done()
}

// parseKeepAlive returns how long a connection may be idle according to the
// response's Keep-Alive header, less idleMargin; 0 if the header specifies no
// timeout.
func parseKeepAlive(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return max(time.Duration(seconds)*time.Second-idleMargin, idleMargin/2)
		}
	}
	return 0
}
