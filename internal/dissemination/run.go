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
	// startWait is how long a start waits for the answers of store and peers.
	startWait = 3 * time.Second
	// maxTelling bounds the peers that are told at the same time.
	maxTelling = 8
	// wholeEvery is after how many answers a watch of the configuration starts
	// anew, as it does after a failure. A store that was set back and has been
	// written since reports nothing after the version known from before.
	wholeEvery = 64
	// dutyInterval is how often a process looks whether it owes the store a
	// call. It does not depend on the interval between heartbeats, so that
	// longer ones don't delay the configuration.
	dutyInterval = time.Second
)

// Run keeps the process up to date until ctx is done. It is called once.
func (s *Propagator) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	s.start(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { s.rounds(ctx) })
	wg.Go(func() { s.tellLoop(ctx) })
	wg.Go(func() { s.watchLoop(ctx, platform.KindDeployment, watchWait) })
	wg.Go(func() { s.watchLoop(ctx, platform.KindPlan, planWatchWait) })
	wg.Go(func() { s.pollLoop(ctx) })
	wg.Wait()
	// No handler starts a goroutine once the context has ended.
	s.mu.Lock()
	cancel()
	s.mu.Unlock()
	s.background.Wait()
}

// start learns which configuration is in force: the highest revision among
// the store and the peers that can be reached.
func (s *Propagator) start(ctx context.Context) {
	for failures := 1; ctx.Err() == nil; failures++ {
		if s.tryStart(ctx) {
			s.mu.Lock()
			s.started = true
			s.mu.Unlock()
			return
		}
		sleep(ctx, Backoff(failures, s.seed))
	}
}

// heard is what one peer said at the start.
type heard struct {
	address  string
	revision uint64
}

// tryStart asks everyone once and tells whether it found what is in force.
func (s *Propagator) tryStart(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	var stored configstore.Stored
	var storeErr error
	var peers []heard
	var wg sync.WaitGroup
	wg.Go(func() { stored, storeErr = configstore.Read(ctx, s.opts.Store, nil) })
	wg.Go(func() { peers = s.askPeers(ctx) })
	wg.Wait()
	if storeErr == nil {
		s.storeAnswered(time.Now())
	} else {
		s.opts.Log.Write(logevent.InitialConfigReadFailed(storeErr))
	}
	if len(peers) > 0 && peers[0].revision > stored.Accepted.GetRevision() {
		return s.startFromPeers(ctx, peers)
	}
	if stored.Accepted != nil {
		s.takeConfig(stored.Accepted, config.FromStore, nil)
	}
	return storeErr == nil
}

// askPeers exchanges heartbeats with all peers known at the start and
// returns those that have a configuration, the newest first.
func (s *Propagator) askPeers(ctx context.Context) []heard {
	addresses := slices.Clone(s.opts.Seeds)
	for _, m := range s.opts.Members() {
		addresses = append(addresses, m.Address)
	}
	slices.Sort(addresses)
	addresses = slices.DeleteFunc(slices.Compact(addresses), func(a string) bool { return a == s.opts.Self.Address })
	answers := make([]heard, len(addresses))
	var group errgroup.Group
	group.SetLimit(maxTelling)
	for i, address := range addresses {
		group.Go(func() error {
			reply, err := s.exchange(ctx, address)
			answers[i] = heard{address: address, revision: reply.GetConfigRevision()}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		s.opts.Log.Write(logevent.InitialPeerSyncFailed(err))
	}
	answers = slices.DeleteFunc(answers, func(h heard) bool { return h.revision == 0 })
	slices.SortStableFunc(answers, func(a, b heard) int { return cmp.Compare(b.revision, a.revision) })
	return answers
}

// startFromPeers takes the configuration of the peer with the newest one
// that can be fetched.
func (s *Propagator) startFromPeers(ctx context.Context, peers []heard) bool {
	for _, p := range peers {
		if p.revision < peers[0].revision {
			break
		}
		if err := s.fetchConfig(ctx, p.address); err == nil && s.InForce().GetRevision() >= p.revision {
			return true
		}
	}
	return false
}

// rounds exchanges heartbeats with the partners of each round.
func (s *Propagator) rounds(ctx context.Context) {
	ticker := time.NewTicker(s.opts.HeartbeatInterval)
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		s.round++
		round := s.round
		s.mu.Unlock()
		for _, m := range s.view().HeartbeatPeers(round) {
			wg.Go(func() { s.tellOne(ctx, m) })
		}
	}
}

// tellOne exchanges heartbeats with a member and tells whether it worked.
func (s *Propagator) tellOne(ctx context.Context, m Member) bool {
	_, err := s.exchange(ctx, m.Address)
	if err != nil {
		s.opts.Log.Write(logevent.PeerNotifyFailed(m.Name, err))
	}
	return err == nil
}

// tellLoop tells others at once when something newer has come.
func (s *Propagator) tellLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		s.tellNews(ctx)
	}
}

// tellNews tells once all that has come since the last time.
func (s *Propagator) tellNews(ctx context.Context) {
	view := s.view()
	tellConfig, firstHand, services := s.takeNews()
	var news NotifyTargets
	if tellConfig {
		news = view.NotifyTargets(firstHand)
	}
	if view.IsRelay() {
		news.All = append(news.All, s.planReaders(view, services, news.All)...)
	}
	var group errgroup.Group
	group.SetLimit(maxTelling)
	for _, m := range news.All {
		group.Go(func() error { s.tellOne(ctx, m); return nil })
	}
	for _, list := range news.AnyOf {
		group.Go(func() error { s.tellFirstOf(ctx, list); return nil })
	}
	// The functions return no error.
	_ = group.Wait()
}

// takeNews returns what there is to tell, and forgets it.
func (s *Propagator) takeNews() (tellConfig, firstHand bool, services []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tellConfig, firstHand = s.tellConfig, s.firstHand
	services = slices.Sorted(maps.Keys(s.tellPlans))
	s.tellConfig, s.firstHand = false, false
	clear(s.tellPlans)
	return tellConfig, firstHand, services
}

// planReaders returns the members that this relay tells of newer plans, and
// that are not told anyway.
func (s *Propagator) planReaders(view View, services []string, told []Member) []Member {
	var list []Member
	for _, m := range view.share(view.relays) {
		needs := func(service string) bool { return s.opts.MemberNeedsPlan(m, service) }
		if !isIn(told, m) && slices.ContainsFunc(services, needs) {
			list = append(list, m)
		}
	}
	return list
}

// tellFirstOf tells the first member of a list that can be reached.
func (s *Propagator) tellFirstOf(ctx context.Context, list []Member) {
	for _, m := range list {
		if s.tellOne(ctx, m) || ctx.Err() != nil {
			return
		}
	}
}

// watchLoop watches one kind of objects while the process is a relay.
func (s *Propagator) watchLoop(ctx context.Context, kind string, wait time.Duration) {
	var since uint64
	failures, answers := 0, 0
	for ctx.Err() == nil {
		if s.duty() != Watch {
			sleep(ctx, dutyInterval)
			continue
		}
		next, err := s.watch(ctx, kind, since, StoreTimeout(wait, failures))
		if err != nil {
			failures++
			since = 0
			sleep(ctx, Backoff(failures, s.seed))
			continue
		}
		failures = 0
		answers++
		if next < since {
			// The store is older than what it answered before.
			sleep(ctx, maxBackoff)
		}
		since = next
		if kind == platform.KindDeployment && answers%wholeEvery == 0 {
			since = 0
		}
	}
}

// pollLoop asks the store when the process is no relay and nobody else seems
// to bring it the store's answers.
func (s *Propagator) pollLoop(ctx context.Context) {
	var configSince, planSince uint64
	failures := 0
	for ctx.Err() == nil {
		if s.duty() != Poll {
			failures = 0
			sleep(ctx, dutyInterval)
			continue
		}
		next, err := s.watch(ctx, platform.KindDeployment, configSince, StoreTimeout(pollWait, failures))
		if err != nil {
			failures++
			configSince, planSince = 0, 0
			sleep(ctx, Backoff(failures, s.seed))
			continue
		}
		failures, configSince = 0, next
		if next, err = s.watch(ctx, platform.KindPlan, planSince, pollWait); err == nil {
			planSince = next
		}
	}
}

func (s *Propagator) duty() StoreMode {
	age, ok := s.StoreResponseAge()
	if !ok {
		age = staleAfter + staleSpread
	}
	return s.view().StoreMode(age)
}

// watch makes one call and takes what it reports.
func (s *Propagator) watch(ctx context.Context, kind string, since uint64, wait time.Duration) (uint64, error) {
	call, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	events, err := s.opts.Store.Watch(call, kind, since)
	if err != nil {
		return 0, err
	}
	for _, ev := range events.Events {
		if err := s.takeEvent(ctx, ev); err != nil {
			s.opts.Log.Write(logevent.StoredObjectRejected(ev.Object.Key.String(), err))
			if kind == platform.KindDeployment {
				return 0, err
			}
		}
	}
	if kind == platform.KindDeployment {
		if (since == 0 || events.NextVersion < since) && len(events.Events) == 0 {
			// Such an answer tells all there is: the store holds nothing.
			s.takeConfig(nil, config.FromStore, nil)
		}
		s.storeAnswered(time.Now())
	}
	return events.NextVersion, nil
}

func (s *Propagator) takeEvent(ctx context.Context, ev platform.Event) error {
	switch {
	case ev.Object.Key == configstore.Key && ev.Deleted:
		s.takeConfig(nil, config.FromStore, nil)
	case ev.Object.Key == configstore.Key:
		return s.takeHead(ctx, ev.Object.Value)
	case ev.Object.Key.Kind == platform.KindPlan && !ev.Deleted:
		p := &peerv1.Plan{}
		if err := proto.Unmarshal(ev.Object.Value, p); err != nil {
			return fmt.Errorf("spread: decode plan: %w", err)
		}
		p.Service = ev.Object.Key.Name
		p.Version = ev.Object.Version
		s.takePlan(p, nil)
	}
	return nil
}

// takeHead takes the stored form of the configuration.
func (s *Propagator) takeHead(ctx context.Context, value []byte) error {
	head, err := config.Unmarshal(value)
	if err != nil {
		return err
	}
	inForce := s.InForce()
	if head.GetRevision() < inForce.GetRevision() {
		s.takeConfig(head, config.FromStore, nil)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	a, err := configstore.Resolve(ctx, s.opts.Store, head, inForce)
	if err != nil {
		return err
	}
	s.takeConfig(a, config.FromStore, nil)
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
