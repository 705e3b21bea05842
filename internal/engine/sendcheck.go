package engine

import "context"

type sendCheckKey struct{}

// WithSendCheck has implementations of Order call check right before they
// write the order, after any connection has been set up. If it returns an
// error they write nothing and return an error that wraps it.
func WithSendCheck(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, sendCheckKey{}, check)
}

// RunSendCheck runs the check that WithSendCheck put into ctx, if there is one.
func RunSendCheck(ctx context.Context) error {
	check, ok := ctx.Value(sendCheckKey{}).(func() error)
	if !ok {
		return nil
	}
	return check()
}
