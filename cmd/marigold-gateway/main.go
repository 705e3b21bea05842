// Command marigold-gateway serves the platform's callers at backend servers
// that have no agent.
package main

import (
	"context"
	"os"

	"github.com/go-logr/logr"

	settingsv1 "github.com/marigoldwing/marigoldwing/api/settings/v1"
	"github.com/marigoldwing/marigoldwing/internal/gateway"
	"github.com/marigoldwing/marigoldwing/internal/process"
	"github.com/marigoldwing/marigoldwing/internal/settings"
	"github.com/marigoldwing/marigoldwing/internal/telemetry"
	"github.com/marigoldwing/marigoldwing/platform"
)

func main() {
	out := telemetry.NewWriter(os.Stdout, telemetry.DefaultLogBuffer)
	run := func(ctx context.Context, s *settingsv1.Gateway, log logr.Logger) error {
		store := platform.NewStore("http://" + s.GetPlatformAddress())
		return gateway.Run(ctx, s, gateway.Wire{
			Source:      store,
			Protocol:    platform.Protocol{},
			Stages:      platform.Protocol{},
			Leases:      store,
			Peers:       store,
			Reload:      reload,
			LogsDropped: out.Dropped,
		}, log)
	}
	code := process.Main(os.Args[1:], settings.LoadGateway, run, out, os.Stderr)
	out.Close()
	os.Exit(code)
}

// reload reads the settings of this process anew.
func reload() (*settingsv1.Gateway, error) {
	s, _, err := settings.LoadGateway(os.Args[1:])
	return s, err
}
