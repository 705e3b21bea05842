// Package upstream sends requests to backend servers over HTTP/1.1. It never
// retries a request, and its errors distinguish requests of which no byte was
// sent (ErrNotSent) from those that the server may have received
// (ErrNoResponse).
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldwing/marigoldwing/internal/connstate"
	"github.com/marigoldwing/marigoldwing/internal/dial"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

const (
	// dialTimeout bounds the set-up of a connection. Round trips between
	// instances take milliseconds, and a lost SYN packet is retransmitted only
	// after one second.
	dialTimeout = 400 * time.Millisecond
	// ackTimeout is how long sent data may stay unacknowledged before the
	// connection is closed.
	ackTimeout = time.Second
	// defaultKeepAlive is how long an idle connection is kept if the server
	// specifies no timeout.
	defaultKeepAlive = 5 * time.Second
	// idleMargin is how much earlier than the server this side closes an idle
	// connection, so that no request is sent on a connection that the server is
	// closing.
	idleMargin = time.Second
	// maxRequestsPerConn is how many requests a connection carries before it is
	// replaced, which bounds what it remembers of them.
	maxRequestsPerConn = 512
	// maxIdlePerServer bounds the idle connections kept per server.
	maxIdlePerServer = 64

	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

// ErrNotSent is returned if no byte of the request was sent, so that it cannot
// have been executed.
var ErrNotSent = errors.New("request was not sent")

// ErrNotPermitted is returned if the request was not sent because Request.Permit did not
// permit it any more. It wraps ErrNotSent.
var ErrNotPermitted = fmt.Errorf("%w: no longer permitted", ErrNotSent)

// Pool keeps idle connections to backend servers. It is safe for concurrent
// use.
type Pool struct {
	dialer *net.Dialer
	// responseID returns the ID of the request that a response names.
	responseID func(http.Header) string

	mu      sync.Mutex
	servers map[fleet.Key]*idleConns
	opened  int64
}

// idleConns holds the idle connections to one incarnation of a server, the most
// recently used last.
type idleConns struct {
	mu    sync.Mutex
	conns []*Conn
	// closed is set when the server has been removed; later connections to it
	// are not kept.
	closed bool
}

// NewPool returns an empty Pool. The function responseID returns the ID of the request
// that a response names in its header; empty if it names none.
func NewPool(responseID func(http.Header) string) *Pool {
	return &Pool{
		dialer:     dial.NewDialer(dialTimeout, ackTimeout),
		responseID: responseID,
		servers:    make(map[fleet.Key]*idleConns),
	}
}

// Conn is one connection to a backend server. It carries one exchange at a
// time.
type Conn struct {
	netConn net.Conn
	// head limits what is read from netConn while a header is expected.
	head   *headLimiter
	reader *bufio.Reader
	writer *bufio.Writer
	// idleUntil is the time from which an idle connection must not be used.
	idleUntil time.Time
	// keepAlive is the idle time that the server permits.
	keepAlive time.Duration
	// carried holds the hashes of the IDs of all requests so far. A connection carries no
	// ID twice, since the responses could not be distinguished.
	carried []uint64
}

// connFor returns a connection to a server for a request with an ID: a healthy idle one
// that has not carried the ID if there is one, otherwise a new one. A request without an
// ID gets a new one. Errors wrap ErrNotSent.
func (p *Pool) connFor(ctx context.Context, server fleet.Key, requestID string) (*Conn, error) {
	if requestID == "" {
		return p.open(ctx, server)
	}
	if c := p.takeIdle(server, requestID); c != nil {
		return c, nil
	}
	return p.open(ctx, server)
}

// open opens a connection to a server. Errors wrap ErrNotSent.
func (p *Pool) open(ctx context.Context, server fleet.Key) (*Conn, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", server.Address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	head := &headLimiter{conn: conn, left: unlimited}
	return &Conn{
		netConn:   conn,
		head:      head,
		reader:    bufio.NewReaderSize(head, readBufferBytes),
		writer:    bufio.NewWriterSize(conn, writeBufferBytes),
		keepAlive: defaultKeepAlive,
	}, nil
}

// Probe opens a connection to a server and closes it. Errors wrap ErrNotSent.
func (p *Pool) Probe(ctx context.Context, server fleet.Key) error {
	c, err := p.open(ctx, server)
	if err != nil {
		return err
	}
	c.Close()
	return nil
}

// ConnectionsOpened returns the number of connections opened since the Pool was
// created.
func (p *Pool) ConnectionsOpened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

func (p *Pool) idleConnsOf(server fleet.Key) *idleConns {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.servers[server]
	if conns == nil {
		conns = &idleConns{}
		p.servers[server] = conns
	}
	return conns
}

// takeIdle returns the healthy idle connection to a server that was used last of those
// that have not carried a request ID; nil if there is none.
func (p *Pool) takeIdle(server fleet.Key, requestID string) *Conn {
	id := xxhash.Sum64String(requestID)
	s := p.idleConnsOf(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for i := len(s.conns) - 1; i >= 0; i-- {
		c := s.conns[i]
		if slices.Contains(c.carried, id) {
			continue
		}
		s.conns = slices.Delete(s.conns, i, i+1)
		if now.Before(c.idleUntil) && c.healthy() {
			return c
		}
		c.Close()
	}
	return nil
}

// IdleStates returns how many idle connections to a server are open, and how many the
// server has closed or reset before the end of their idle time.
func (p *Pool) IdleStates(server fleet.Key) (open, closed int) {
	s := p.idleConnsOf(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, c := range s.conns {
		if now.After(c.idleUntil) {
			continue
		}
		switch connstate.Peek(c.netConn) {
		case connstate.Idle:
			open++
		case connstate.Closed:
			closed++
		}
	}
	return open, closed
}

// put keeps a connection for the next exchange.
func (p *Pool) put(server fleet.Key, c *Conn) {
	s := p.idleConnsOf(server)
	c.idleUntil = time.Now().Add(c.keepAlive)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxIdlePerServer {
		c.Close()
		return
	}
	s.conns = append(s.conns, c)
}

// Drop closes the idle connections to a server to which no more requests are sent.
func (p *Pool) Drop(server fleet.Key) {
	p.mu.Lock()
	dropped := p.servers[server]
	delete(p.servers, server)
	p.mu.Unlock()
	if dropped != nil {
		dropped.close()
	}
}

// Retain closes the idle connections to all servers that are not in the list.
func (p *Pool) Retain(servers []fleet.Key) {
	keep := make(map[fleet.Key]bool, len(servers))
	for _, s := range servers {
		keep[s] = true
	}
	p.mu.Lock()
	var removed []*idleConns
	for key, s := range p.servers {
		if !keep[key] {
			removed = append(removed, s)
			delete(p.servers, key)
		}
	}
	p.mu.Unlock()
	for _, s := range removed {
		s.close()
	}
}

func (s *idleConns) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, c := range s.conns {
		c.Close()
	}
	s.conns = nil
}

// carry records that the connection carries a request.
func (c *Conn) carry(requestID string) { c.carried = append(c.carried, xxhash.Sum64String(requestID)) }

// exhausted reports whether the connection can't remember further requests.
func (c *Conn) exhausted() bool { return len(c.carried) >= maxRequestsPerConn }

// Close closes the connection. The error of the underlying connection is
// ignored, as no caller could act on it.
func (c *Conn) Close() { _ = c.netConn.Close() }

// healthy reports whether an idle connection is still open and holds no unread
// bytes, which would belong to no request.
func (c *Conn) healthy() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return connstate.Peek(c.netConn) == connstate.Idle
}
