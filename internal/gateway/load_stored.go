package gateway

import (
	"context"
	"time"
)

const (
	// loadInterval is how often a gateway that starts looks whether it has a
	// configuration, which it needs before it can use what is stored for its services.
	loadInterval = 10 * time.Millisecond
	// loadRetryInterval is the time between two attempts to read what is stored.
	loadRetryInterval = 500 * time.Millisecond
)

// loadOnce calls load as soon as this gateway is configured, until it succeeds or ctx
// ends. failed is called with the error of each attempt that fails.
func (g *Gateway) loadOnce(ctx context.Context, load func(context.Context) error, failed func(error)) {
	for wait := loadInterval; ctx.Err() == nil; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		if g.state.Load().config == nil {
			continue
		}
		err := load(ctx)
		if err == nil {
			return
		}
		failed(err)
		wait = loadRetryInterval
	}
}
