package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The limits that the pages set for the disruption and the rule.
const (
	// outage is how long the store turns one of three gateways away: share 0.33 of at
	// most 0.35, for 2.6 s of at most 9 s.
	outage = 2600 * time.Millisecond
	// drainMs and contactMs are those of the small sites.
	drainTime   = 2000 * time.Millisecond
	contactTime = 3000 * time.Millisecond
	// removedBefore is how long before the end of the outage a server's entry is removed,
	// and servesOn how long the server serves on after that: drainMs and a little longer.
	removedBefore = 1000 * time.Millisecond
	servesOn      = 4500 * time.Millisecond
	// rounds of roundTime are played.
	rounds    = 6
	roundTime = 10 * time.Second
)

// removal is a server whose entry was removed while one gateway was turned away.
type removal struct {
	server    string
	removedAt time.Duration
	// away was turned away from outageFrom until outageUntil; nil without disruption.
	away                    *gateway
	outageFrom, outageUntil time.Duration
}

// arrival is a request that reached a server.
type arrival struct {
	id, server string
	at         time.Duration
}

// removedServer removes servers from the store that do not report draining, while the
// store is silent for one gateway. Once the gateway has been in touch again, it must not
// send requests to a server that the store has removed more than drainMs ago.
func removedServer(l *lab) (bool, error) {
	st := newStore()
	st.configure(nil)
	var mu sync.Mutex
	var arrivals []arrival
	start := func(number int) (*http.Server, string, string, error) {
		id := fmt.Sprintf("i-%08x", 0xa0+number)
		address, err := freeAddress("127.0.0.1")
		if err != nil {
			return nil, "", "", err
		}
		s := &server{id: id, work: 15 * time.Millisecond, arrived: func(request string) {
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, arrival{request, id, l.now()})
		}}
		h := &http.Server{Addr: address, Handler: s}
		go func() { _ = h.ListenAndServe() }()
		time.Sleep(20 * time.Millisecond)
		st.register(id, address, "ready")
		l.record("server %s registered", id)
		return h, id, address, nil
	}
	type running struct {
		h  *http.Server
		id string
	}
	var servers []running
	for n := range 4 {
		h, id, _, err := start(n)
		if err != nil {
			return false, err
		}
		servers = append(servers, running{h, id})
	}
	var gateways []*gateway
	doors := make(map[*gateway]*door)
	for i, zone := range []string{"graaff", "nieu", "prince"} {
		d, err := st.open("127.0.0.1")
		if err != nil {
			return false, err
		}
		g, err := l.prepareGateway(11+i, zone, d.address)
		if err != nil {
			return false, err
		}
		if err := l.startGateway(g); err != nil {
			return false, err
		}
		gateways, doors[g] = append(gateways, g), d
	}
	time.Sleep(contactTime)
	begun := l.now()
	c := l.newCallers(time.Second)
	c.sendFor(begun+rounds*roundTime, 40, 1, gateways...)
	var removals []removal
	for round := range rounds {
		from := begun + time.Duration(round)*roundTime
		away := gateways[round%len(gateways)]
		time.Sleep(from - l.now())
		r := removal{outageFrom: l.now()}
		if l.trouble {
			r.away = away
			doors[away].setSilent(true)
			l.record("the store is silent for %s", away.name)
		}
		// Planned: another server takes the place of the one that leaves.
		time.Sleep(from + outage - removedBefore - 500*time.Millisecond - l.now())
		h, id, _, err := start(4 + round)
		if err != nil {
			return false, err
		}
		time.Sleep(from + outage - removedBefore - l.now())
		leaving := servers[0]
		servers = append(servers[1:], running{h, id})
		st.remove("servers", leaving.id)
		r.server, r.removedAt = leaving.id, l.now()
		l.record("entry of %s removed; it serves on for %.1f s", leaving.id, servesOn.Seconds())
		time.AfterFunc(servesOn, func() {
			_ = leaving.h.Close()
			l.record("%s has exited", leaving.id)
		})
		time.Sleep(from + outage - l.now())
		if l.trouble {
			doors[away].setSilent(false)
			l.record("the store answers %s again", away.name)
		}
		r.outageUntil = l.now()
		removals = append(removals, r)
	}
	answers := c.wait()
	for _, g := range gateways {
		if g.hasEnded() {
			return false, fmt.Errorf("%s has ended:\n%s", g.name, l.logOf(g.name))
		}
	}
	mu.Lock()
	defer mu.Unlock()
	return judgeRemovals(l, removals, arrivals, answers), nil
}

// judgeRemovals reports whether a request reached a server later than drainMs after its
// removal, taken from the caller and sent on by a gateway in touch.
func judgeRemovals(l *lab, removals []removal, arrivals []arrival, answers []answer) bool {
	sent := make(map[string]answer, len(answers))
	for _, a := range answers {
		sent[a.id] = a
	}
	late, lost := 0, 0
	for _, r := range removals {
		lateHere := 0
		for _, a := range arrivals {
			request := sent[a.id]
			// A gateway that was turned away is in touch contactMs after the end of that.
			inTouch := request.gateway != r.away || request.sentAt >= r.outageUntil+contactTime || a.at < r.outageFrom
			if a.server != r.server || a.at <= r.removedAt+drainTime || !inTouch {
				continue
			}
			lateHere++
			if request.status != http.StatusOK {
				lost++
			}
			l.record("request %s sent at %.3f to %s reached %s at %.3f, %.0f ms after its removal, %.0f ms after the end of the outage: status %d",
				a.id, request.sentAt.Seconds(), request.gateway.name, a.server, a.at.Seconds(),
				float64((a.at - r.removedAt).Milliseconds()), float64((a.at - r.outageUntil).Milliseconds()), request.status)
		}
		l.record("%s removed at %.3f: %d requests too late", r.server, r.removedAt.Seconds(), lateHere)
		late += lateHere
	}
	l.record("requests that reached a removed server too late: %d, of which %d were lost when it exited", late, lost)
	return late > 0
}
