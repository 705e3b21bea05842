package entry

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/platform"
)

// statusTimeout bounds the calls to other processes for one status request, and
// the read of a stored plan.
const statusTimeout = 2 * time.Second

// InForce implements operatorapi.StateSource.
func (e *Entry) InForce() *configv1.AcceptedDeployment { return e.Catalog().Accepted() }

// Plan implements operatorapi.StateSource. The stored plan contains the
// explanations. If the store is unavailable, Plan returns the plan received
// from peers, which lacks them.
func (e *Entry) Plan(service string) *peerv1.Plan {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	object, err := e.opts.Store.Get(ctx, platform.Key{Kind: platform.KindPlan, Name: service})
	if err != nil {
		return e.propagator.Plan(service)
	}
	plan := &peerv1.Plan{}
	if err := proto.Unmarshal(object.Value, plan); err != nil {
		e.log.Write(logevent.PlanMalformed(service, err))
		return e.propagator.Plan(service)
	}
	plan.Service = service
	plan.Version = object.Version
	return plan
}
