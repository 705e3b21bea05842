// Command marigold-gateway runs a gateway, which forwards requests of the
// platform's callers to backend servers that have no agent.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	settingsv1 "github.com/marigoldwing/marigoldwing/api/settings/v1"
	"github.com/marigoldwing/marigoldwing/internal/gateway"
	"github.com/marigoldwing/marigoldwing/internal/process"
	"github.com/marigoldwing/marigoldwing/internal/settings"
	"github.com/marigoldwing/marigoldwing/internal/telemetry"
	"github.com/marigoldwing/marigoldwing/platform"
)

func main() {
	// Without a receiver a SIGHUP ends the process, also while it starts and stops.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	run := func(ctx context.Context, s *settingsv1.Gateway, logs telemetry.Logs) error {
		store := platform.NewStore("http://" + s.GetPlatformAddress())
		deps := gateway.Dependencies{
			Source:        store,
			Protocol:      platform.Protocol{},
			StageProtocol: platform.Protocol{},
			Leases:        store,
			Peers:         store,
			Blocks:        store,
			Usage:         store,
			LoadSettings:  reload,
			Hangups:       hangups,
		}
		if s.GetDutyAddress() != "" {
			deps.Duties = platform.NewDuties("http://" + s.GetDutyAddress())
		}
		return gateway.Run(ctx, s, deps, logs)
	}
	process.RunAndExit(settings.LoadGateway, run)
}

// reload loads the settings of this process again.
func reload() (*settingsv1.Gateway, error) {
	s, _, err := settings.LoadGateway(os.Args[1:])
	return s, err
}
