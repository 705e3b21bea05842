package dissemination

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/config"
	"github.com/marigoldwing/marigoldwing/internal/configstore"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/platform"
)

const (
	// startTimeout bounds one attempt to find the configuration in force at
	// start, and each read of a configuration that a watch has reported.
	startTimeout = 3 * time.Second
	// maxConcurrentHeartbeats bounds the concurrent heartbeats to peers during
	// start and notification.
	maxConcurrentHeartbeats = 8
	// relistEvery is the number of responses after which a watch of the
	// configuration is restarted from a list. A store that was restored from a
	// backup and has been written since reports no events after the version
	// known from before the restore, so that a watch alone would never notice.
	relistEvery = 64
	// storeModeInterval is how often a process re-evaluates its store mode. It
	// is independent of the heartbeat interval, so that longer heartbeat
	// intervals do not delay the configuration.
	storeModeInterval = time.Second
)

// Run keeps the process up to date until ctx is done. It must be called once.
func (pr *Propagator) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	pr.mu.Lock()
	pr.ctx = ctx
	pr.mu.Unlock()
	pr.start(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { pr.heartbeatLoop(ctx) })
	wg.Go(func() { pr.notifyLoop(ctx) })
	wg.Go(func() { pr.watchLoop(ctx, platform.KindDeployment, configWatchTimeout) })
	wg.Go(func() { pr.watchLoop(ctx, platform.KindPlan, planWatchTimeout) })
	wg.Go(func() { pr.pollLoop(ctx) })
	wg.Wait()
	// Cancelling under the lock ensures that no handler starts a goroutine
	// after background.Wait has begun.
	pr.mu.Lock()
	cancel()
	pr.mu.Unlock()
	pr.background.Wait()
}

// start finds the configuration in force, which is the highest revision among
// the store and the reachable peers. It retries with backoff until ctx is done.
func (pr *Propagator) start(ctx context.Context) {
	for failures := 1; ctx.Err() == nil; failures++ {
		if pr.tryStart(ctx) {
			pr.mu.Lock()
			pr.started = true
			pr.mu.Unlock()
			return
		}
		sleep(ctx, Backoff(failures, pr.seed))
	}
}

// peerRevision is the configuration revision that a peer reported at start.
type peerRevision struct {
	address  string
	revision uint64
}

// tryStart queries the store and all known peers once and reports whether the
// configuration in force was found, or that there is none yet.
func (pr *Propagator) tryStart(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var stored configstore.Stored
	var storeErr error
	var peers []peerRevision
	var wg sync.WaitGroup
	wg.Go(func() { stored, storeErr = configstore.Read(ctx, pr.opts.Store, nil) })
	wg.Go(func() { peers = pr.queryPeers(ctx) })
	wg.Wait()
	if storeErr == nil {
		pr.recordStoreResponse(time.Now())
	} else {
		pr.opts.Log.Write(logevent.InitialConfigReadFailed(storeErr))
	}
	if len(peers) > 0 && peers[0].revision > stored.Accepted.GetRevision() {
		return pr.startFromPeers(ctx, peers)
	}
	if stored.Accepted != nil {
		pr.considerConfig(stored.Accepted, config.FromStore, nil)
	}
	return storeErr == nil
}

// queryPeers exchanges heartbeats with all peers known at start and returns
// those that have a configuration, highest revision first.
func (pr *Propagator) queryPeers(ctx context.Context) []peerRevision {
	addresses := slices.Clone(pr.opts.Seeds)
	for _, m := range pr.opts.Members() {
		addresses = append(addresses, m.Address)
	}
	slices.Sort(addresses)
	addresses = slices.DeleteFunc(slices.Compact(addresses), func(a string) bool { return a == pr.opts.Self.Address })
	revisions := make([]peerRevision, len(addresses))
	var group errgroup.Group
	group.SetLimit(maxConcurrentHeartbeats)
	for i, address := range addresses {
		group.Go(func() error {
			reply, err := pr.exchange(ctx, address)
			revisions[i] = peerRevision{address: address, revision: reply.GetConfigRevision()}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		pr.opts.Log.Write(logevent.InitialPeerSyncFailed(err))
	}
	revisions = slices.DeleteFunc(revisions, func(r peerRevision) bool { return r.revision == 0 })
	slices.SortStableFunc(revisions, func(a, b peerRevision) int { return cmp.Compare(b.revision, a.revision) })
	return revisions
}

// startFromPeers fetches the configuration from the peers that hold the highest
// revision, one after the other, until one succeeds.
func (pr *Propagator) startFromPeers(ctx context.Context, peers []peerRevision) bool {
	for _, p := range peers {
		if p.revision < peers[0].revision {
			break
		}
		if err := pr.fetchConfig(ctx, p.address); err == nil && pr.InForce().GetRevision() >= p.revision {
			return true
		}
	}
	return false
}

// heartbeatLoop exchanges heartbeats with the peers of each round.
func (pr *Propagator) heartbeatLoop(ctx context.Context) {
	ticker := time.NewTicker(pr.opts.HeartbeatInterval)
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		pr.mu.Lock()
		pr.round++
		round := pr.round
		pr.mu.Unlock()
		for _, m := range pr.view().HeartbeatPeers(round) {
			wg.Go(func() { pr.sendHeartbeat(ctx, m) })
		}
	}
}

// sendHeartbeat exchanges heartbeats with a member and reports whether that
// succeeded.
func (pr *Propagator) sendHeartbeat(ctx context.Context, m Member) bool {
	_, err := pr.exchange(ctx, m.Address)
	if err != nil {
		pr.opts.Log.Write(logevent.PeerNotifyFailed(m.Name, err))
	}
	return err == nil
}

// notifyLoop notifies peers whenever a newer configuration or plan has been
// received.
func (pr *Propagator) notifyLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-pr.wake:
		}
		pr.notifyPending(ctx)
	}
}

// notifyPending sends the pending notifications. A notification is an ordinary
// heartbeat; it carries the new versions.
func (pr *Propagator) notifyPending(ctx context.Context) {
	view := pr.view()
	notifyConfig, firstHand, services := pr.takePending()
	var targets NotifyTargets
	if notifyConfig {
		targets = view.NotifyTargets(firstHand)
	}
	if view.IsRelay() {
		targets.All = append(targets.All, pr.planTargets(view, services, targets.All)...)
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentHeartbeats)
	for _, m := range targets.All {
		group.Go(func() error { pr.sendHeartbeat(ctx, m); return nil })
	}
	for _, list := range targets.AnyOf {
		group.Go(func() error { pr.notifyAnyOf(ctx, list); return nil })
	}
	// The functions never return an error.
	_ = group.Wait()
}

// takePending returns and clears the pending notifications.
func (pr *Propagator) takePending() (notifyConfig, firstHand bool, services []string) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	notifyConfig, firstHand = pr.notifyConfig, pr.firstHand
	services = slices.Sorted(maps.Keys(pr.notifyPlans))
	pr.notifyConfig, pr.firstHand = false, false
	clear(pr.notifyPlans)
	return notifyConfig, firstHand, services
}

// planTargets returns the members assigned to this relay that need a plan of
// one of the services and are not already among those being notified.
func (pr *Propagator) planTargets(view View, services []string, notified []Member) []Member {
	var list []Member
	for _, m := range view.assignedMembers(view.relays) {
		needs := func(service string) bool { return pr.opts.MemberNeedsPlan(m, service) }
		if !containsMember(notified, m) && slices.ContainsFunc(services, needs) {
			list = append(list, m)
		}
	}
	return list
}

// notifyAnyOf notifies the first reachable member of the list.
func (pr *Propagator) notifyAnyOf(ctx context.Context, list []Member) {
	for _, m := range list {
		if pr.sendHeartbeat(ctx, m) || ctx.Err() != nil {
			return
		}
	}
}

// watchLoop watches one kind of object while the process is a relay.
func (pr *Propagator) watchLoop(ctx context.Context, kind string, wait time.Duration) {
	var since uint64
	failures, responses := 0, 0
	for ctx.Err() == nil {
		if pr.storeMode() != Watch {
			sleep(ctx, storeModeInterval)
			continue
		}
		next, err := pr.watchOnce(ctx, kind, since, StoreTimeout(wait, failures))
		if err != nil {
			failures++
			since = 0
			sleep(ctx, Backoff(failures, pr.seed))
			continue
		}
		failures = 0
		responses++
		if next < since {
			// The store's version went backwards: it was restored from a
			// backup.
			sleep(ctx, maxBackoff)
		}
		since = next
		if kind == platform.KindDeployment && responses%relistEvery == 0 {
			since = 0
		}
	}
}

// pollLoop polls the store while the process is not a relay and has not
// received a recent store response from a peer.
func (pr *Propagator) pollLoop(ctx context.Context) {
	var configSince, planSince uint64
	failures := 0
	for ctx.Err() == nil {
		if pr.storeMode() != Poll {
			failures = 0
			sleep(ctx, storeModeInterval)
			continue
		}
		next, err := pr.watchOnce(ctx, platform.KindDeployment, configSince, StoreTimeout(pollTimeout, failures))
		if err != nil {
			failures++
			configSince, planSince = 0, 0
			sleep(ctx, Backoff(failures, pr.seed))
			continue
		}
		failures, configSince = 0, next
		if next, err = pr.watchOnce(ctx, platform.KindPlan, planSince, pollTimeout); err == nil {
			planSince = next
		}
	}
}

// storeMode returns the current store mode. A process that knows of no store
// response counts as stale.
func (pr *Propagator) storeMode() StoreMode {
	age, ok := pr.StoreResponseAge()
	if !ok {
		age = staleAfter + staleJitter
	}
	return pr.view().StoreMode(age)
}

// watchOnce makes one watch call, processes the reported events and returns the
// version to continue from. A deployment object that cannot be processed is an
// error, so that the caller lists again; other objects are logged and skipped.
func (pr *Propagator) watchOnce(ctx context.Context, kind string, since uint64, wait time.Duration) (uint64, error) {
	call, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	events, err := pr.opts.Store.Watch(call, kind, since)
	if err != nil {
		return 0, err
	}
	for _, ev := range events.Events {
		if err := pr.handleEvent(ctx, ev); err != nil {
			pr.opts.Log.Write(logevent.StoredObjectRejected(ev.Object.Key.String(), err))
			if kind == platform.KindDeployment {
				return 0, err
			}
		}
	}
	if kind == platform.KindDeployment {
		if (since == 0 || events.NextVersion < since) && len(events.Events) == 0 {
			// A response without events that starts from a list means that the
			// store holds no configuration.
			pr.considerConfig(nil, config.FromStore, nil)
		}
		pr.recordStoreResponse(time.Now())
	}
	return events.NextVersion, nil
}

func (pr *Propagator) handleEvent(ctx context.Context, ev platform.Event) error {
	concerned := ev.Object.Key == configstore.Key || ev.Object.Key.Kind == platform.KindPlan
	switch {
	case !concerned:
		return nil
	case ev.Object.Key == configstore.Key && ev.Deleted:
		pr.considerConfig(nil, config.FromStore, nil)
	case ev.Object.Err != nil:
		return ev.Object.Err
	case ev.Object.Key == configstore.Key:
		return pr.handleStoredConfig(ctx, ev.Object.Value)
	case !ev.Deleted:
		p := &peerv1.Plan{}
		if err := proto.Unmarshal(ev.Object.Value, p); err != nil {
			return fmt.Errorf("dissemination: decode plan: %w", err)
		}
		p.Service = ev.Object.Key.Name
		p.Version = ev.Object.Version
		pr.considerPlan(p, nil)
	}
	return nil
}

// handleStoredConfig processes the stored form of the configuration. It reads
// the snapshot only for a revision that may come into force; an older one is
// passed on as it is, since it only raises an alarm.
func (pr *Propagator) handleStoredConfig(ctx context.Context, value []byte) error {
	head, err := config.Unmarshal(value)
	if err != nil {
		return err
	}
	inForce := pr.InForce()
	if head.GetRevision() < inForce.GetRevision() {
		pr.considerConfig(head, config.FromStore, nil)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	a, err := configstore.Resolve(ctx, pr.opts.Store, head, inForce)
	if err != nil {
		return err
	}
	pr.considerConfig(a, config.FromStore, nil)
	return nil
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
