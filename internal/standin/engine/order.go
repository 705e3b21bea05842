package engine

import (
	"fmt"
	"net/http"
	"time"

	enginev1 "github.com/marigoldwing/marigoldwing/api/engine/v1"
	"github.com/marigoldwing/marigoldwing/internal/enginemodel"
)

// order carries out an order and answers when it is complete.
func (e *Engine) order(r *http.Request, order *enginev1.Order) (*enginev1.OrderReply, error) {
	done, crashAfter, reason := e.begin(order)
	if reason != "" {
		return &enginev1.OrderReply{Reason: reason, State: e.state()}, nil
	}
	if crashAfter > 0 {
		time.AfterFunc(crashAfter, e.Crash)
	}
	select {
	case <-done:
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	state := e.state()
	if state.GetRole() != order.GetRole() || state.GetModelVersion() != order.GetModelVersion() {
		return nil, fmt.Errorf("the order was not carried out: %w", enginemodel.ErrDown)
	}
	return &enginev1.OrderReply{Accepted: true, State: state}, nil
}

// begin starts an order. It returns a channel that is closed when the order
// is complete, the time after which the engine is to crash, and why the order
// is refused, if it is.
func (e *Engine) begin(order *enginev1.Order) (<-chan struct{}, time.Duration, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	entry := OrderRecord{
		Fencing:          order.GetFencing(),
		Role:             order.GetRole().String(),
		ModelVersion:     order.GetModelVersion(),
		RunningSequences: len(e.streams),
		Changing:         e.model.State(now).Changing,
	}
	defer func() { e.record.Orders = append(e.record.Orders, entry) }()
	if e.checksFencing() && order.GetFencing() < e.fencing {
		entry.Reason = fmt.Sprintf("fencing number %d is older than %d", order.GetFencing(), e.fencing)
		return nil, 0, entry.Reason
	}
	e.fencing = max(e.fencing, order.GetFencing())
	done := e.changed
	if _, err := e.model.ApplyOrder(now, order.GetRole(), order.GetModel(), order.GetModelVersion()); err != nil {
		entry.Reason = err.Error()
		return nil, 0, entry.Reason
	}
	entry.Accepted = true
	crashAfter := time.Duration(e.faults.CrashDuringOrderMs) * time.Millisecond
	e.faults.CrashDuringOrderMs = 0
	e.poke()
	return done, crashAfter, ""
}

// state returns what the engine serves now.
func (e *Engine) state() *enginev1.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.model.State(e.now())
	return &enginev1.State{
		Role:         state.Role,
		Model:        state.Model,
		ModelVersion: state.ModelVersion,
		Fencing:      e.fencing,
		Changing:     state.Changing,
		Leaving:      e.faults.Leaving,
		Incarnation:  state.Incarnation,
	}
}

// up returns whether the engine answers calls.
func (e *Engine) up() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.State(e.now()).Up
}
