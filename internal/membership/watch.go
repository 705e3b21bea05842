package membership

import (
	"context"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/platform"
)

// DefaultListInterval is the minimum time between two reads of the platform's
// list.
const DefaultListInterval = time.Second

// ListStore is the part of the object API needed to follow the platform's list.
type ListStore interface {
	List(ctx context.Context, kind string) ([]platform.Object, error)
	Watch(ctx context.Context, kind string, since uint64) (platform.WatchResult, error)
}

// WatchLeaving calls set with the addresses of the leaving instances each time
// the platform's list has changed, until ctx is done. It reads the list at most
// once per interval; 0 means DefaultListInterval. While reads fail, set is not
// called, so that the last list stays in effect.
func WatchLeaving(ctx context.Context, store ListStore, interval time.Duration, set func(addresses []string)) {
	if interval == 0 {
		interval = DefaultListInterval
	}
	var since uint64
	known := false
	for ctx.Err() == nil {
		events, err := store.Watch(ctx, platform.KindInstance, since)
		if err == nil && (!known || len(events.Events) > 0 || events.NextVersion < since) {
			var list []platform.Object
			if list, err = store.List(ctx, platform.KindInstance); err == nil {
				set(LeavingAddresses(list))
				known = true
			}
		}
		if err == nil {
			since = events.NextVersion
		}
		sleep(ctx, interval)
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ContainsInstance reports whether the addresses (IP, or IP:port) include the
// instance of an address (IP:port).
func ContainsInstance(addresses []string, address string) bool {
	host := hostOf(address)
	for _, a := range addresses {
		if a == address || a == host {
			return true
		}
	}
	return false
}
