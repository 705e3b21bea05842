package agent

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marigoldwing/marigoldwing/internal/logevent"
)

const (
	// announceParallel bounds the entries told at the same time.
	announceParallel = 8
	// announceTimeout bounds one round of telling.
	announceTimeout = 2 * time.Second
	// announcePause gathers changes that come together into one round.
	announcePause = 20 * time.Millisecond
)

// changed notes that a backend server takes new work again, or no longer.
func (a *Agent) changed() {
	select {
	case a.change <- struct{}{}:
	default:
	}
}

// announceLoop tells the entries of changes until ctx ends. It only saves
// refusals: the gate has changed before anyone is told.
func (a *Agent) announceLoop(ctx context.Context) {
	for {
		select {
		case <-a.change:
		case <-ctx.Done():
			return
		}
		select {
		case <-time.After(announcePause):
		case <-ctx.Done():
			return
		}
		a.announce(ctx)
	}
}

// announce sends the agent's state to the entries heard from of late.
func (a *Agent) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	heartbeat := a.spread.Heartbeat()
	var group errgroup.Group
	group.SetLimit(announceParallel)
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
