// Package upstream sends requests to backend servers over HTTP/1.1. It never
// sends a request by itself a second time, and says of every failure whether
// any byte of the request can have reached the server.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/marigoldwing/marigoldwing/internal/dial"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

const (
	// dialTimeout bounds the set-up of a connection; instances are
	// milliseconds apart, and a lost packet is sent again after one second.
	dialTimeout = 400 * time.Millisecond
	// silentTimeout is how long sent data may stay unacknowledged.
	silentTimeout = time.Second
	// defaultIdle is how long a connection is kept when the server names no
	// time.
	defaultIdle = 5 * time.Second
	// idleMargin is how much sooner than the server a connection is closed.
	idleMargin = time.Second
	// maxIdlePerServer bounds the idle connections kept to a server.
	maxIdlePerServer = 64

	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

// ErrNotSent says that no byte of the request has left, so it has not run.
var ErrNotSent = errors.New("request was not sent")

// Pool keeps idle connections to backend servers.
type Pool struct {
	dialer *net.Dialer

	mu      sync.Mutex
	servers map[fleet.Key]*idle
	opened  int64
}

// idle holds the idle connections of one incarnation, newest last.
type idle struct {
	mu    sync.Mutex
	conns []*Conn
	// closed is set when the server is gone.
	closed bool
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		dialer:  dial.NewDialer(dialTimeout, silentTimeout),
		servers: make(map[fleet.Key]*idle),
	}
}

// Conn is one connection to a backend server. It carries one exchange at a
// time.
type Conn struct {
	net    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// idleUntil is when the connection must not be used any more.
	idleUntil time.Time
	// keep is the idle time that the server has named.
	keep time.Duration
}

// Get returns a connection to a server, an idle one if there is one that
// works. Failures wrap ErrNotSent.
func (p *Pool) Get(ctx context.Context, server fleet.Key) (*Conn, error) {
	if c := p.takeIdle(server); c != nil {
		return c, nil
	}
	conn, err := p.dialer.DialContext(ctx, "tcp", server.Address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return &Conn{
		net:    conn,
		reader: bufio.NewReaderSize(conn, readBufferBytes),
		writer: bufio.NewWriterSize(conn, writeBufferBytes),
		keep:   defaultIdle,
	}, nil
}

// ConnectionsOpened returns the number of connections that were set up.
func (p *Pool) ConnectionsOpened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

func (p *Pool) idleOf(server fleet.Key) *idle {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[server]
	if s == nil {
		s = &idle{}
		p.servers[server] = s
	}
	return s
}

func (p *Pool) takeIdle(server fleet.Key) *Conn {
	s := p.idleOf(server)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for len(s.conns) > 0 {
		c := s.conns[len(s.conns)-1]
		s.conns = s.conns[:len(s.conns)-1]
		if now.Before(c.idleUntil) && c.quiet() {
			return c
		}
		c.Close()
	}
	return nil
}

// put keeps a connection for the next exchange.
func (p *Pool) put(server fleet.Key, c *Conn) {
	s := p.idleOf(server)
	c.idleUntil = time.Now().Add(c.keep)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxIdlePerServer {
		c.Close()
		return
	}
	s.conns = append(s.conns, c)
}

// Retain closes the idle connections to all servers but those named.
func (p *Pool) Retain(servers []fleet.Key) {
	keep := make(map[fleet.Key]bool, len(servers))
	for _, s := range servers {
		keep[s] = true
	}
	p.mu.Lock()
	var gone []*idle
	for key, s := range p.servers {
		if !keep[key] {
			gone = append(gone, s)
			delete(p.servers, key)
		}
	}
	p.mu.Unlock()
	for _, s := range gone {
		s.close()
	}
}

func (s *idle) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, c := range s.conns {
		c.Close()
	}
	s.conns = nil
}

// Close closes the connection. The error says nothing that the caller could
// act on.
func (c *Conn) Close() { _ = c.net.Close() }

// quiet tells whether an idle connection is open and holds no unread bytes,
// which would belong to no request.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.net.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return err == nil && open
}
