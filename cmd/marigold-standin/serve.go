package main

import (
	"context"
	"fmt"
	"net/http"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

// serve serves handler at address (IP:port) until ctx is done.
func serve(ctx context.Context, address string, handler http.Handler) error {
	srv := khttp.NewServer(khttp.Address(address), khttp.Timeout(0))
	srv.HandlePrefix("/", handler)
	failed := make(chan error, 1)
	go func() { failed <- srv.Start(ctx) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve %s: %w", address, err)
	case <-ctx.Done():
		return stop(context.WithoutCancel(ctx), srv)
	}
}

// stop stops the server. It waits up to stopTimeout for requests in flight before
// it closes their connections.
func stop(ctx context.Context, srv *khttp.Server) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := srv.Stop(ctx); err != nil {
		return srv.Close()
	}
	return nil
}
