package engine

import "context"

type sendCheckKey struct{}

// WithSendCheck returns a context that makes Engine.Order call check
// immediately before it sends the order, after any connection has been
// established. If check returns an error, the order is not sent and Order
// returns an error that wraps it. A caller uses this to verify that the order
// is still valid even if connecting took long.
func WithSendCheck(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, sendCheckKey{}, check)
}

// RunSendCheck runs the check that WithSendCheck attached to ctx, if any.
// Implementations of Engine call it right before they send an order.
func RunSendCheck(ctx context.Context) error {
	check, ok := ctx.Value(sendCheckKey{}).(func() error)
	if !ok {
		return nil
	}
	return check()
}
