package gateway

import (
	"context"
	"os"
	"time"

	"google.golang.org/protobuf/proto"

	settingsv1 "github.com/marigoldwing/marigoldwing/api/settings/v1"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/registry"
)

// reloadInterval is how often the settings are read again, because the file may
// change without a signal.
const reloadInterval = 5 * time.Second

// reloader applies settings that change while the process runs.
type reloader struct {
	g        *Gateway
	follower *registry.Follower
	// load reads the settings.
	load    func() (*settingsv1.Gateway, error)
	current *settingsv1.Gateway
	// hangups receives a value for each SIGHUP.
	hangups <-chan os.Signal
}

// run reloads the settings at each SIGHUP and at each reloadInterval, until ctx
// ends.
func (r *reloader) run(ctx context.Context) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hangups:
			r.reload("signal")
		case <-ticker.C:
			r.reload("file")
		}
	}
}

// reload applies the settings if they have changed. Invalid settings are logged
// and change nothing; changed addresses take effect at the next start.
func (r *reloader) reload(cause string) {
	next, err := r.load()
	if err != nil {
		r.g.log.Write(logevent.SettingsRejected(cause, err))
		return
	}
	if proto.Equal(next, r.current) {
		return
	}
	r.current = next
	r.g.setRetryBudget(retryBudget(next))
	r.follower.SetBounds(bounds(next))
	r.g.log.Write(logevent.SettingsReloaded(cause, logevent.Settings{
		RetryBudgetRatio:   next.GetRetryBudgetRatio(),
		RetryBudgetReserve: next.GetRetryBudgetReserve(),
		RetryBudgetWindow:  seconds(next.GetRetryBudgetWindowS()),
		ConfigApply:        bounds(next).Config,
		DrainNotice:        bounds(next).Leaving,
	}))
}
