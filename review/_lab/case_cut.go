package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

const (
	// lossRate is the share of packets that the links of one zone lose for lossTime: the
	// site's dose, 0.025 for 5.5 s. One zone after the other has such links.
	lossRate = 0.025
	lossTime = 5500 * time.Millisecond
	// In each such time, the one server of the zone, of four (share 0.25 of at most 0.25),
	// crashes at crashTimes and is down for downTime, of at most 2 s in the site's days.
	downTime = time.Second
	// lapseTime is three heartbeat intervals of silence, after which an entry is removed.
	lapseTime   = 3600 * time.Millisecond
	cutRounds   = 18
	serverCount = 4
)

// crashTimes are when the server of a zone crashes, from the beginning of the loss.
var crashTimes = []time.Duration{500 * time.Millisecond, 2200 * time.Millisecond, 3900 * time.Millisecond}

// place is where one server after the other runs, each a process of its own.
type place struct {
	l       *lab
	st      *store
	number  int
	starts  int
	link    *link
	current *process
	id      string
}

func (p *place) start() error {
	p.starts++
	p.id = fmt.Sprintf("i-%02x%06x", p.number, p.starts)
	process, err := p.l.run(p.id, os.Args[0], "server", p.id, p.link.target)
	if err != nil {
		return err
	}
	p.current = process
	time.Sleep(50 * time.Millisecond)
	if err := p.link.open(); err != nil {
		return err
	}
	p.st.register(p.id, p.link.address, "ready")
	return nil
}

// crash kills the server. Its entry lapses a little later.
func (p *place) crash() {
	p.link.shut()
	p.current.kill()
	p.l.record("%s was killed", p.id)
	id := p.id
	time.AfterFunc(lapseTime, func() { p.st.remove("servers", id) })
}

// cutAnswers kills servers while they send answers that have no length and end with
// their connections, on links that lose packets. No caller may get a part of an answer as
// a complete one.
func cutAnswers(l *lab) (bool, error) {
	st := newStore()
	st.configure(nil)
	var places []*place
	for n := range serverCount {
		target, err := freeAddress("127.0.0.1")
		if err != nil {
			return false, err
		}
		k, err := newLink(target)
		if err != nil {
			return false, err
		}
		p := &place{l: l, st: st, number: n, link: k}
		if err := p.start(); err != nil {
			return false, err
		}
		places = append(places, p)
	}
	d, err := st.open("127.0.0.1")
	if err != nil {
		return false, err
	}
	var gateways []*gateway
	for i, zone := range []string{"graaff", "nieu"} {
		g, err := l.prepareGateway(21+i, zone, d.address)
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
	c := l.newCallers(time.Second)
	c.sendFor(begun+cutRounds*lossTime, 120, 12, gateways...)
	for round := range cutRounds {
		from := begun + time.Duration(round)*lossTime
		p := places[round%len(places)]
		time.Sleep(from - l.now())
		if !l.trouble {
			continue
		}
		p.link.setLoss(lossRate)
		for _, at := range crashTimes {
			time.Sleep(from + at - l.now())
			p.crash()
			time.Sleep(downTime)
			if err := p.start(); err != nil {
				return false, err
			}
		}
		time.Sleep(from + lossTime - l.now())
		p.link.setLoss(0)
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
	l.record("successes whose body is not the server's whole body: %d", wrong)
	return wrong > 0, nil
}
