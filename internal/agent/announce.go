package agent

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marigoldwing/marigoldwing/internal/logevent"
)

const (
	// maxConcurrentAnnouncements bounds the entries notified concurrently.
	maxConcurrentAnnouncements = 8
	// announceTimeout bounds one round of notifications.
	announceTimeout = 2 * time.Second
	// announceDelay is the wait after a change, so that changes in quick
	// succession share one round.
	announceDelay = 20 * time.Millisecond
)

// notifyStateChange schedules a notification of the entries because a gate has
// opened or closed, or an engine has gone down or recovered. It does not block.
func (a *Agent) notifyStateChange() {
	select {
	case a.stateChanged <- struct{}{}:
	default:
	}
}

// announceLoop notifies entries of changed server states until ctx ends. The
// notifications only avoid refused attempts: a gate changes before any entry is
// notified.
func (a *Agent) announceLoop(ctx context.Context) {
	for {
		select {
		case <-a.stateChanged:
		case <-ctx.Done():
			return
		}
		select {
		case <-time.After(announceDelay):
		case <-ctx.Done():
			return
		}
		a.announce(ctx)
	}
}

// announce sends the agent's heartbeat to the entries whose heartbeats have arrived recently.
func (a *Agent) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	heartbeat := a.propagator.Heartbeat()
	var group errgroup.Group
	group.SetLimit(maxConcurrentAnnouncements)
	for _, address := range a.entries.addresses() {
		group.Go(func() error {
			if _, err := a.opts.Peers.Heartbeat(ctx, address, heartbeat); err != nil {
				a.opts.Log.Write(logevent.EntryNotifyFailed(address, err))
			}
			return nil
		})
	}
	// The functions return no error.
	_ = group.Wait()
}
