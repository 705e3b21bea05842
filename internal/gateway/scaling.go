package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/autoscale"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
)

// scaleInterval is how often the number of servers of each service is decided.
const scaleInterval = 500 * time.Millisecond

// scaledDomain is a service in a failure domain, for which a number of servers is ordered.
type scaledDomain struct {
	service, failureDomain string
}

// scaling is the state of a scaledDomain at the holder of the duty.
type scaling struct {
	state autoscale.State
	// ordered is the number that the platform has accepted last from this holder; 0 if
	// there is none.
	ordered int
}

// scaler orders the number of servers of the services whose configuration bounds it, while this
// gateway holds the duty.
type scaler struct {
	g      *Gateway
	caller *dutyCaller
	// fence is the fencing token of the tenure to which domains belongs; 0 if this gateway
	// does not hold the duty.
	fence   uint64
	domains map[scaledDomain]scaling
}

// run decides and orders until ctx ends.
func (s *scaler) run(ctx context.Context) {
	runEvery(ctx, scaleInterval, func() { s.tick(ctx) })
}

func (s *scaler) tick(ctx context.Context) {
	token, held := s.caller.duty.Token()
	if !held {
		s.fence = 0
		return
	}
	if token.Fence != s.fence {
		s.fence, s.domains = token.Fence, make(map[scaledDomain]scaling)
	}
	current := s.g.state.Load()
	for name, service := range current.services {
		spec, _ := current.config.Service(name)
		if spec.Scaling == nil {
			continue
		}
		for domain, demand := range service.demands(s.g.now()) {
			s.scale(ctx, scaledDomain{name, domain}, *spec.Scaling, demand)
		}
	}
}

// scale decides on one failure domain, and orders the number of servers if it is another one
// than before. An order that fails is repeated with what is decided then.
func (s *scaler) scale(ctx context.Context, d scaledDomain, bounds fleet.Scaling, demand autoscale.Demand) {
	now := s.domains[d]
	var desired int
	now.state, desired = autoscale.Decide(now.state, autoscale.Options(bounds), s.g.now(), demand)
	if desired != 0 && desired != now.ordered {
		err := s.caller.call(ctx, s.fence, dutyScaling, func(ctx context.Context, c DutyCall) error {
			return s.caller.platform.SetDesired(ctx, c, d.service, d.failureDomain, desired)
		})
		if !errors.Is(err, errNotHolder) {
			s.g.log.Write(logevent.ServersOrdered(d.service, d.failureDomain, desired, demand.Registered, demand.Running+demand.Waiting, s.fence, err))
		}
		if err == nil || errors.Is(err, ErrDutyRefused) {
			now.ordered = desired
		}
	}
	s.domains[d] = now
}

// demands returns the demand for the service in each failure domain in which it has servers.
func (s *service) demands(now time.Duration) map[string]autoscale.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	demands := make(map[string]autoscale.Demand)
	slots := make(map[string]int)
	for _, server := range s.registered {
		demand := demands[server.FailureDomain]
		demand.Known = true
		if !server.Leaving {
			demand.Registered++
			slots[server.FailureDomain] += server.Slots
		}
		demand.Running += int(s.table.Requests(now, server.ID))
		demands[server.FailureDomain] = demand
	}
	for domain, demand := range demands {
		if demand.Registered > 0 {
			demand.Slots = float64(slots[domain]) / float64(demand.Registered)
		}
		demands[domain] = demand
	}
	return demands
}
