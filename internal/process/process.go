// Package process runs one of the system's long-lived processes on kratos:
// its HTTP and peer servers, and a graceful stop on SIGTERM or SIGINT.
package process

import (
	"context"
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

// DefaultStopTimeout bounds the closing of listeners after the drain, and then
// the end of the loops, where the options say nothing else.
const DefaultStopTimeout = 5 * time.Second

// Options describe one process.
type Options struct {
	Name string
	Logs telemetry.Logs
	// HTTPAddress is the IP:port of the HTTP listener, and Handler what it
	// serves.
	HTTPAddress string
	Handler     http.Handler
	// Servers run beside the HTTP server, for example the peer listener.
	Servers []transport.Server
	// Loops run until the process stops; each returns when its context ends.
	Loops []func(ctx context.Context)
	// Drain is called first on a stop: it shuts the process to new work,
	// tells the others, and returns when the work in flight has ended or
	// ctx is over.
	Drain func(ctx context.Context)
	// DrainTimeout bounds Drain.
	DrainTimeout time.Duration
	// StopTimeout bounds the closing of listeners after Drain, for which
	// requests in flight have their answers; 0 means DefaultStopTimeout.
	StopTimeout time.Duration
	// LoopTimeout bounds the end of the loops after that; 0 means
	// DefaultStopTimeout.
	LoopTimeout time.Duration
	// ConfigureHTTP sets limits of the HTTP server, which then serves Handler without
	// a router of its own; nil keeps the router.
	ConfigureHTTP func(*kratoshttp.Server)
}

// Run serves until a signal stops the process, and returns after a graceful
// stop. Its error is one of starting or serving, never of being stopped.
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
		kratos.Server(servers(opts)...),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT, os.Interrupt),
		kratos.StopTimeout(opts.StopTimeout),
		kratos.AfterStart(func(context.Context) error { startLoops(loopCtx, &loops, opts.Loops); return nil }),
		kratos.BeforeStop(func(context.Context) error { drain(opts); return nil }),
	)
	err := app.Run()
	stopLoops()
	waitLoops(&loops, opts)
	if err != nil {
		return fmt.Errorf("process: %s: %w", opts.Name, err)
	}
	opts.Logs.Events.Write(logevent.Stopped())
	return nil
}

func servers(opts Options) []transport.Server {
	httpServer := kratoshttp.NewServer(
		kratoshttp.Address(opts.HTTPAddress),
		kratoshttp.Timeout(0),
	)
	httpServer.HandlePrefix("/", opts.Handler)
	if opts.ConfigureHTTP != nil {
		// The router would redirect paths that it finds unclean.
		httpServer.Handler = opts.Handler
		opts.ConfigureHTTP(httpServer)
	}
	return append([]transport.Server{httpServer}, opts.Servers...)
}

func startLoops(ctx context.Context, running *sync.WaitGroup, loops []func(ctx context.Context)) {
	for _, loop := range loops {
		running.Go(func() { loop(ctx) })
	}
}

// waitLoops gives the loops time to end, for example to give up a lease.
func waitLoops(running *sync.WaitGroup, opts Options) {
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

func drain(opts Options) {
	opts.Logs.Events.Write(logevent.Stopping(opts.DrainTimeout))
	ctx, cancel := context.WithTimeout(context.Background(), opts.DrainTimeout)
	defer cancel()
	start := time.Now()
	opts.Drain(ctx)
	opts.Logs.Events.Write(logevent.Drained(time.Since(start), ctx.Err() == nil))
}
