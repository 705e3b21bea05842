package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

// ErrNoResponse says that the request was sent at least in part and that no
// whole head of its answer came back; it may have run.
var ErrNoResponse = errors.New("no answer from the backend server")

const (
	// asyncBodyBytes is the size from which a body is sent while the answer
	// is awaited, as a server may answer before it has read a long body.
	asyncBodyBytes = 16 << 10
	// maxStrayAnswers is how many answers to other requests are passed over.
	maxStrayAnswers = 2
	// maxStrayBytes bounds the body of an answer that is passed over.
	maxStrayBytes = 1 << 20
)

// Request is what is sent. The target is the request line's, unchanged.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Exchange is one request with its answer on a connection.
type Exchange struct {
	// Response has the head; its body ends with io.EOF only when it is whole.
	Response *http.Response

	pool   *Pool
	server fleet.Key
	conn   *Conn
	// sent is closed when the request has been written, with sendErr set.
	sent    chan struct{}
	sendErr error
	stop    func() bool
	body    io.ReadCloser
	whole   bool
}

// Do sends a request and returns with the head of its answer. Answers for
// which mine is false belong to another request and are passed over. When ctx
// ends the connection is closed, which cancels the request. Failures wrap
// ErrNotSent or ErrNoResponse.
func (p *Pool) Do(ctx context.Context, server fleet.Key, r Request, mine func(http.Header) bool) (*Exchange, error) {
	conn, err := p.Get(ctx, server)
	if err != nil {
		return nil, err
	}
	e := &Exchange{pool: p, server: server, conn: conn, sent: make(chan struct{})}
	// A deadline in the past ends reads and writes under way.
	e.stop = context.AfterFunc(ctx, func() { _ = conn.net.SetDeadline(time.Unix(1, 0)) })
	if err := e.send(r); err != nil {
		e.Abort()
		return nil, fmt.Errorf("%w: send: %w", ErrNoResponse, err)
	}
	if err := e.readHead(r.Method, mine); err != nil {
		e.Abort()
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	return e, nil
}

// send writes the request; long bodies are written in the background.
func (e *Exchange) send(r Request) error {
	if len(r.Body) < asyncBodyBytes {
		e.sendErr = e.write(r)
		close(e.sent)
		return e.sendErr
	}
	go func() {
		e.sendErr = e.write(r)
		close(e.sent)
	}()
	return nil
}

func (e *Exchange) write(r Request) error {
	w := e.conn.writer
	// Errors of a bufio.Writer stay and are returned by Flush.
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

func (e *Exchange) readHead(method string, mine func(http.Header) bool) error {
	asked := &http.Request{Method: method}
	for stray := 0; ; {
		answer, err := http.ReadResponse(e.conn.reader, asked)
		if err != nil {
			return err
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		if mine(answer.Header) {
			e.Response, e.body = answer, answer.Body
			answer.Body = (*exchangeBody)(e)
			return nil
		}
		if stray++; stray > maxStrayAnswers || answer.Close || !framed(answer) {
			return errors.New("answer belongs to another request")
		}
		if err := passOver(answer); err != nil {
			return err
		}
	}
}

// framed tells whether the end of an answer can be told without the end of its
// connection.
func framed(answer *http.Response) bool {
	return answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
}

// passOver reads the body of an answer that belongs to another request.
func passOver(answer *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxStrayBytes))
	if err != nil {
		return fmt.Errorf("answer of another request: %w", err)
	}
	if n == maxStrayBytes {
		return errors.New("answer of another request is too long")
	}
	return nil
}

// exchangeBody notes when the answer's body has been read to its end.
type exchangeBody Exchange

// Read implements io.Reader.
func (b *exchangeBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == io.EOF {
		b.whole = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *exchangeBody) Close() error {
	(*Exchange)(b).Release()
	return nil
}

// Release ends the exchange. The connection is kept if the answer was read
// whole and both sides allow it, and closed otherwise.
func (e *Exchange) Release() {
	if e.conn == nil {
		return
	}
	if !e.reusable() {
		e.Abort()
		return
	}
	if !e.stop() {
		e.Abort()
		return
	}
	conn := e.conn
	e.conn = nil
	if keep := keepAlive(e.Response.Header); keep > 0 {
		conn.keep = keep
	}
	e.pool.put(e.server, conn)
}

// reusable tells whether another request may follow on the connection.
func (e *Exchange) reusable() bool {
	if !e.whole || e.Response.Close || e.conn.reader.Buffered() > 0 {
		return false
	}
	select {
	case <-e.sent:
		return e.sendErr == nil
	default:
		return false
	}
}

// Abort ends the exchange and closes the connection, which cancels the
// request at the server.
func (e *Exchange) Abort() {
	if e.conn == nil {
		return
	}
	e.stop()
	e.conn.Close()
	e.conn = nil
}

// keepAlive returns how long a connection may be idle by the answer's
// Keep-Alive header, less a margin; 0 if it names no time.
func keepAlive(h http.Header) time.Duration {
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
