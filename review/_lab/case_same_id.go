package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"
)

const (
	// In each round one of three gateways (count 1) stands still for freezeTime, of at most
	// 4 s, and one of four servers (share 0.25 of at most 0.25) crashes meanwhile and starts
	// again restartTime later, under the ID that it had.
	freezeTime  = 600 * time.Millisecond
	crashAfter  = 50 * time.Millisecond
	restartTime = 150 * time.Millisecond
	sameRounds  = 14
	sameRound   = 6 * time.Second
	// gradeDeadline is that of grade-write.
	gradeDeadline = 1200 * time.Millisecond
)

// sameServer is a server that starts again under its ID, as a process of its own.
type sameServer struct {
	l       *lab
	st      *store
	id      string
	address string
	current *process
	starts  int
}

func (s *sameServer) start() error {
	born := time.Now().UnixMilli()
	s.starts++
	process, err := s.l.run(fmt.Sprintf("%s-%d", s.id, s.starts), os.Args[0], "server", s.id, s.address, strconv.FormatInt(born, 10))
	if err != nil {
		return err
	}
	s.current = process
	s.l.record("%s starts, born %d", s.id, born)
	s.st.put("servers", s.id, map[string]any{
		"service": serviceName, "address": s.address, "zone": "leoben-a", "version": "v1", "slots": serverSlots,
		"state": "ready", "coldLeftMs": 0, "seq": s.starts, "born": born,
	})
	return nil
}

// sameID kills servers while they send answers that end with their connections to a
// gateway that stands still. When that goes on, the next starts have the IDs of the killed
// ones. No caller may get a part of an answer as a complete one.
func sameID(l *lab) (bool, error) {
	st := newStore()
	st.configure(map[string]any{"timeoutMs": gradeDeadline.Milliseconds(), "sloMs": 200})
	var servers []*sameServer
	for n := range serverCount {
		address, err := freeAddress("127.0.0.1")
		if err != nil {
			return false, err
		}
		s := &sameServer{l: l, st: st, id: fmt.Sprintf("i-%08x", 0xa0+n), address: address}
		if err := s.start(); err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	d, err := st.open("127.0.0.1")
	if err != nil {
		return false, err
	}
	var gateways []*gateway
	for i, zone := range []string{"leoben-a", "leoben-b", "bruck-c"} {
		g, err := l.prepareGateway(61+i, zone, d.address)
		if err != nil {
			return false, err
		}
		if err := l.startGateway(g); err != nil {
			return false, err
		}
		gateways = append(gateways, g)
	}
	time.Sleep(time.Second)
	begun := l.now()
	c := l.newCallers(gradeDeadline)
	c.sendFor(begun+(sameRounds+1)*sameRound, 15, 1, gateways...)
	for round := range sameRounds {
		time.Sleep(begun + time.Duration(round+1)*sameRound - l.now())
		if !l.trouble {
			continue
		}
		g, s := gateways[round%len(gateways)], servers[round%len(servers)]
		g.signal(syscall.SIGSTOP)
		l.record("%s stands still", g.name)
		time.Sleep(crashAfter)
		s.current.kill()
		l.record("%s was killed", s.id)
		time.Sleep(restartTime)
		if err := s.start(); err != nil {
			return false, err
		}
		time.Sleep(freezeTime - crashAfter - restartTime)
		g.signal(syscall.SIGCONT)
		l.record("%s goes on", g.name)
	}
	answers := c.wait()
	wrong := 0
	for _, a := range answers {
		if a.status == http.StatusOK && (!a.sealed || a.body != bodyOf(a.id)) {
			wrong++
			l.record("request %s sent at %.3f to %s: 200, seal %v, complete to its caller with %d of %d bytes", a.id, a.sentAt.Seconds(), a.gateway.name, a.sealed, len(a.body), bodyBytes)
		}
	}
	for _, g := range gateways {
		if g.hasEnded() {
			return false, fmt.Errorf("%s has ended:\n%s", g.name, l.logOf(g.name))
		}
	}
	l.record("successes whose body is not the server's whole body: %d of %d", wrong, len(answers))
	return wrong > 0, nil
}
