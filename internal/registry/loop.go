package registry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/logevent"
)

// feed is one kind of object that is followed. Both functions take in what
// they read and return the revision that it shows.
type feed struct {
	kind  string
	list  func(ctx context.Context) (uint64, error)
	watch func(ctx context.Context, since uint64) (uint64, error)
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	feeds := []feed{
		{kindConfig, f.listConfig, f.watchConfig},
		{kindServers, f.listServers, f.watchServers},
	}
	var loops sync.WaitGroup
	for _, one := range feeds {
		loops.Go(func() { f.follow(ctx, one) })
	}
	loops.Go(func() { f.expire(ctx) })
	loops.Wait()
}

// follow lists once and then watches; it lists again when history is gone or
// a call has failed.
func (f *Follower) follow(ctx context.Context, from feed) {
	var revision uint64
	pause := minPause
	lost := false
	for ctx.Err() == nil {
		next, err := f.step(ctx, from, revision)
		switch {
		case err == nil:
			if lost {
				f.log.Write(logevent.StoreRecovered(from.kind, next))
			}
			if revision != 0 && next != revision {
				sleep(ctx, eventPause)
			}
			revision, pause, lost = next, minPause, false
			continue
		case errors.Is(err, errNews):
			f.log.Write(logevent.PeerHasNewerRevision(from.kind, revision))
			revision = 0
			continue
		case errors.Is(err, ErrCompacted):
			f.log.Write(logevent.WatchHistoryCompacted(from.kind, revision))
			revision = 0
			continue
		case ctx.Err() != nil:
			return
		}
		f.failed(err, from.kind, revision, &lost)
		revision = 0
		sleep(ctx, pause/2+rand.N(pause/2))
		pause = min(2*pause, maxPause)
	}
}

// errNews says that a watch was ended since another gateway knows news.
var errNews = errors.New("another gateway knows news")

// newsDelay is how long the own watch has to tell news by itself.
const newsDelay = 150 * time.Millisecond

// step makes one call: a list without a revision to go on from, else a watch.
func (f *Follower) step(ctx context.Context, from feed, revision uint64) (uint64, error) {
	f.storeCalls.Add(1)
	if revision == 0 {
		return from.list(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go f.endOnNews(ctx, cancel, from.kind)
	next, err := from.watch(ctx, revision)
	if err != nil && errors.Is(context.Cause(ctx), errNews) {
		return 0, errNews
	}
	return next, err
}

// endOnNews ends a watch when another gateway knows news that does not come
// through it. It returns when ctx ends.
func (f *Follower) endOnNews(ctx context.Context, end context.CancelCauseFunc, kind string) {
	select {
	case <-f.relist[kind]:
	case <-ctx.Done():
		return
	}
	sleep(ctx, newsDelay)
	f.mu.Lock()
	behind := f.behind(kind)
	f.mu.Unlock()
	if behind {
		end(errNews)
	}
}

// failed notes a call that failed. What is known stays in force.
func (f *Follower) failed(err error, kind string, revision uint64, lost *bool) {
	f.storeFailed.Add(1)
	f.source.Reconnect()
	if errors.Is(err, ErrNoConfig) {
		return
	}
	f.mu.Lock()
	f.view.StoreLost()
	f.mu.Unlock()
	if !*lost {
		f.log.Write(logevent.StoreUnavailable(kind, revision, err))
	}
	*lost = true
}

// wait returns how long a watch may wait under a bound. Where many gateways
// tell each other of news, one whose watch has just ended finds what the
// others' watches do not hear.
func (f *Follower) wait(bound time.Duration) time.Duration {
	alone := waitShare * float64(bound)
	together := togetherShare * float64(bound) * float64(f.companions())
	wait := min(max(alone, together), float64(longestWait))
	return time.Duration(wait * (1 - waitSpread*rand.Float64()))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
