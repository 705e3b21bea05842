// Package process runs a long-running process of the system on the kratos
// framework: its HTTP and peer servers, its background loops, and the graceful
// stop on SIGTERM or SIGINT.
package process

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/telemetry"
)

// DefaultStopTimeout is the default of Options.StopTimeout and
// Options.LoopTimeout.
const DefaultStopTimeout = 5 * time.Second

// Options are the options of Run. A process stops in three steps: it drains, it
// closes its servers, and it ends its loops. Each step has its own timeout.
type Options struct {
	Name string
	Logs telemetry.Logs
	// HTTPAddress is the address (IP:port) of the HTTP listener.
	HTTPAddress string
	// Handler serves all requests of the HTTP listener.
	Handler http.Handler
	// Servers run in addition to the HTTP server, for example the peer server.
	Servers []transport.Server
	// Loops are background tasks. They must return when their context is done.
	Loops []func(ctx context.Context)
	// Drain is called when the process begins to stop. It must stop accepting
	// new requests, notify other processes, and return when all requests in
	// flight have finished or ctx is done.
	Drain func(ctx context.Context)
	// DrainTimeout is the timeout of Drain.
	DrainTimeout time.Duration
	// StopTimeout is the timeout for closing the servers after Drain, during
	// which requests in flight can still finish; 0 means DefaultStopTimeout.
	StopTimeout time.Duration
	// LoopTimeout is the timeout for the end of the loops after that; 0 means
	// DefaultStopTimeout.
	LoopTimeout time.Duration
	// ConfigureHTTP configures the HTTP server before it starts. If it is set,
	// the server passes requests to Handler directly rather than through the
	// router of kratos.
	ConfigureHTTP func(*kratoshttp.Server)
}

// Run runs a process until a signal stops it or ctx is done, and returns nil after
// a graceful stop. An error means that the process could not start or serve.
func Run(ctx context.Context, opts Options) error {
	telemetry.RedirectKratosLogs(opts.Logs.Logger)
	if opts.StopTimeout == 0 {
		opts.StopTimeout = DefaultStopTimeout
	}
	if opts.LoopTimeout == 0 {
		opts.LoopTimeout = DefaultStopTimeout
	}
	loopCtx, stopLoops := context.WithCancel(ctx)
	defer stopLoops()
	var loops sync.WaitGroup
	app := kratos.New(
		kratos.Name(opts.Name),
		kratos.Context(ctx),
		kratos.Server(newServers(opts)...),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT, os.Interrupt),
		kratos.StopTimeout(opts.StopTimeout),
		kratos.AfterStart(func(context.Context) error { startLoops(loopCtx, &loops, opts.Loops); return nil }),
		kratos.BeforeStop(func(context.Context) error { drain(opts); return nil }),
	)
	err := app.Run()
	stopLoops()
	waitForLoops(&loops, opts)
	if err != nil {
		return fmt.Errorf("process: %s: %w", opts.Name, err)
	}
	opts.Logs.Events.Write(logevent.Stopped())
	return nil
}

// newServers returns the servers of a process, the HTTP server first.
func newServers(opts Options) []transport.Server {
	httpServer := kratoshttp.NewServer(
		kratoshttp.Address(opts.HTTPAddress),
		kratoshttp.Timeout(0),
	)
	httpServer.HandlePrefix("/", opts.Handler)
	if opts.ConfigureHTTP != nil {
		// The router would redirect requests whose path is not in canonical
		// form.
		httpServer.Handler = opts.Handler
		opts.ConfigureHTTP(httpServer)
	}
	servers := append([]transport.Server{httpServer}, opts.Servers...)
	for i, server := range servers {
		if s, ok := server.(*kratoshttp.Server); ok {
			servers[i] = closingServer{s, opts.Logs.Events}
		}
	}
	return servers
}

// closingServer is an HTTP server that closes the connections that are still open at the
// end of its stop. The shutdown alone waits in vain for connections without a request, and
// notices the end of the last request up to half a second later.
type closingServer struct {
	*kratoshttp.Server
	log logevent.Log
}

// Stop implements transport.Server.
func (s closingServer) Stop(ctx context.Context) error {
	err := s.Server.Stop(ctx)
	if !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	s.log.Write(logevent.ConnectionsClosed())
	return s.Close()
}

func startLoops(ctx context.Context, running *sync.WaitGroup, loops []func(ctx context.Context)) {
	for _, loop := range loops {
		running.Go(func() { loop(ctx) })
	}
}

// waitForLoops waits until the loops have returned or LoopTimeout has passed. Loops
// may need time to clean up, for example to release a lease.
func waitForLoops(running *sync.WaitGroup, opts Options) {
	ended := make(chan struct{})
	go func() {
		running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(opts.LoopTimeout):
		opts.Logs.Events.Write(logevent.LoopsStillRunning())
	}
}

// drain calls Options.Drain with its timeout and logs the result.
func drain(opts Options) {
	opts.Logs.Events.Write(logevent.Stopping(opts.DrainTimeout))
	ctx, cancel := context.WithTimeout(context.Background(), opts.DrainTimeout)
	defer cancel()
	start := time.Now()
	opts.Drain(ctx)
	opts.Logs.Events.Write(logevent.Drained(time.Since(start), ctx.Err() == nil))
}
