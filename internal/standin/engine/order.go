package engine

import (
	"fmt"
	"net/http"
	"time"

	enginev1 "github.com/marigoldwing/marigoldwing/api/engine/v1"
	"github.com/marigoldwing/marigoldwing/internal/enginemodel"
)

// order carries out an order and returns the reply once it is complete. It
// returns an error if the caller disconnects first or the engine crashes.
func (e *Engine) order(r *http.Request, order *enginev1.Order) (*enginev1.OrderReply, error) {
	done, crashAfter, reason := e.startOrder(order)
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

// startOrder starts an order. It returns a channel that is closed when the
// order completes or the engine crashes, and the time after which to inject a
// crash, 0 for none. If the order is rejected, it returns the reason.
func (e *Engine) startOrder(order *enginev1.Order) (<-chan struct{}, time.Duration, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	record := OrderRecord{
		FencingToken:     order.GetFencing(),
		Role:             order.GetRole().String(),
		ModelVersion:     order.GetModelVersion(),
		RunningSequences: len(e.streams),
		Changing:         e.model.State(now).Changing,
	}
	defer func() { e.record.Orders = append(e.record.Orders, record) }()
	if e.checksFencing() && order.GetFencing() < e.highestFencingToken {
		record.Reason = fmt.Sprintf("fencing number %d is older than %d", order.GetFencing(), e.highestFencingToken)
		return nil, 0, record.Reason
	}
	e.highestFencingToken = max(e.highestFencingToken, order.GetFencing())
	done := e.changeDone
	if _, err := e.model.ApplyOrder(now, order.GetRole(), order.GetModel(), order.GetModelVersion()); err != nil {
		record.Reason = err.Error()
		return nil, 0, record.Reason
	}
	record.Accepted = true
	crashAfter := time.Duration(e.faults.CrashDuringOrderMs) * time.Millisecond
	e.faults.CrashDuringOrderMs = 0
	e.notifyRun()
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
		Fencing:      e.highestFencingToken,
		Changing:     state.Changing,
		Leaving:      e.faults.Leaving,
		Incarnation:  state.Incarnation,
	}
}

// up reports whether the engine responds to calls.
func (e *Engine) up() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.State(e.now()).Up
}
