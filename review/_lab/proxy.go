package main

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// retransmission is the time after which a lost packet is sent again, the least one of
// common TCP implementations. It doubles with each further loss of the same packet.
const retransmission = 200 * time.Millisecond

// link is a link to a server on which packets are lost. Each piece of data that a side
// sends, and the end of a connection, is a packet of its connection. A lost packet
// arrives when it is sent again, and what follows it on the same connection waits for it.
type link struct {
	address, target string

	mu       sync.Mutex
	listener net.Listener
	// loss is the share of packets that are lost.
	loss float64
}

func newLink(target string) (*link, error) {
	address, err := freeAddress("127.0.0.1")
	if err != nil {
		return nil, err
	}
	return &link{address: address, target: target}, nil
}

// open accepts connections, while the server listens.
func (k *link) open() error {
	listener, err := net.Listen("tcp", k.address)
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.listener = listener
	k.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go k.carry(conn)
		}
	}()
	return nil
}

// shut refuses connections, as the address of a server does that has ended.
func (k *link) shut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.listener != nil {
		_ = k.listener.Close()
		k.listener = nil
	}
}

// carry connects a caller with the server.
func (k *link) carry(caller net.Conn) {
	defer caller.Close()
	server, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer server.Close()
	var both sync.WaitGroup
	both.Go(func() { k.copy(server, caller) })
	both.Go(func() { k.copy(caller, server) })
	both.Wait()
}

// copy carries one direction until its end.
func (k *link) copy(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		k.transmit()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			// A reset is passed on as one.
			_ = to.(*net.TCPConn).SetLinger(0)
			_ = to.Close()
			return
		}
	}
}

// transmit waits for as long as a packet takes.
func (k *link) transmit() {
	for wait := retransmission; rand.Float64() < k.lossNow(); wait *= 2 {
		time.Sleep(wait)
	}
}

func (k *link) lossNow() float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.loss
}

// setLoss changes the share of packets that are lost.
func (k *link) setLoss(loss float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.loss = loss
}
