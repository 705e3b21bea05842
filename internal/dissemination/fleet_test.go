package dissemination

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	statusv1 "github.com/marigoldwing/marigoldwing/api/status/v1"
	"github.com/marigoldwing/marigoldwing/internal/apply"
	"github.com/marigoldwing/marigoldwing/internal/config"
	"github.com/marigoldwing/marigoldwing/internal/platform"
	"github.com/marigoldwing/marigoldwing/internal/platform/fake"
)

// bound is the time from acceptance within which a configuration has to be
// in force everywhere.
const bound = 15 * time.Second

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// follower is a process that follows the accepted configuration: a Spreader,
// or the naive one of naive_test.go.
type follower interface {
	Run(ctx context.Context)
	InForce() *configv1.AcceptedDeployment
}

// fleet is a set of processes on a fake network and a fake store.
type fleet struct {
	t       *testing.T
	store   *fake.Store
	members []Member
	newOne  func(f *fleet, m Member) follower

	mu    sync.Mutex
	procs map[string]*proc
	// cutStore and cutPeers name processes without a way to the store, or
	// to any peer.
	cutStore, cutPeers map[string]bool
	// revisions holds each process's revisions in the order of being in
	// force, over restarts.
	revisions map[string][]uint64
	applies   int
	// sent counts the bytes that each process has sent and received.
	sent map[string]int
	wg   sync.WaitGroup
}

// proc is one running process.
type proc struct {
	follower follower
	stop     context.CancelFunc
}

func newFleet(t *testing.T, domains, perDomain int, newOne func(*fleet, Member) follower) *fleet {
	f := &fleet{
		t:         t,
		store:     fake.New(fake.Options{ReadsPerSecond: 2000, WritesPerSecond: 400}),
		newOne:    newOne,
		procs:     make(map[string]*proc),
		cutStore:  make(map[string]bool),
		cutPeers:  make(map[string]bool),
		revisions: make(map[string][]uint64),
		sent:      make(map[string]int),
	}
	for d := range domains {
		for i := range perDomain {
			name := fmt.Sprintf("agent-%d-%02d", d, i)
			f.members = append(f.members, Member{Name: name, FailureDomain: fmt.Sprintf("domain-%d", d), Address: name})
		}
	}
	t.Cleanup(f.stopAll)
	return f
}

func newSpreader(f *fleet, m Member) follower {
	return New(Options{
		Self:              m,
		Members:           f.alive,
		Seeds:             []string{f.members[0].Address, f.members[len(f.members)-1].Address},
		Store:             linkedStore{f, m.Name},
		Peers:             linkedPeers{f, m.Name},
		HeartbeatInterval: time.Second,
		OnConfig:          func(a *configv1.AcceptedDeployment) { f.record(m.Name, a.GetRevision()) },
	})
}

// alive returns the processes that are running, as a membership would.
func (f *fleet) alive() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Member
	for _, m := range f.members {
		if _, ok := f.procs[m.Name]; ok {
			list = append(list, m)
		}
	}
	return list
}

func (f *fleet) record(name string, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revisions[name] = append(f.revisions[name], revision)
}

func (f *fleet) start(members ...Member) {
	for _, m := range members {
		ctx, cancel := context.WithCancel(f.t.Context())
		one := f.newOne(f, m)
		f.mu.Lock()
		f.procs[m.Name] = &proc{follower: one, stop: cancel}
		f.mu.Unlock()
		f.wg.Go(func() { one.Run(ctx) })
	}
}

func (f *fleet) kill(m Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.procs[m.Name].stop()
	delete(f.procs, m.Name)
}

func (f *fleet) stopAll() {
	f.mu.Lock()
	for _, p := range f.procs {
		p.stop()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

func (f *fleet) cut(store, peers bool, members ...Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range members {
		f.cutStore[m.Name] = store
		f.cutPeers[m.Name] = peers
	}
}

// apply has an operator apply a new file through a process, and returns the
// accepted revision.
func (f *fleet) apply(through Member) uint64 {
	f.t.Helper()
	revision, err := f.tryApply(through)
	require.NoError(f.t, err)
	return revision
}

func (f *fleet) tryApply(through Member) (uint64, error) {
	f.mu.Lock()
	f.applies++
	n := f.applies
	one := f.procs[through.Name].follower
	f.mu.Unlock()
	a := &apply.Applier{Store: linkedStore{f, through.Name}, InForce: one.InForce}
	if s, ok := one.(*Propagator); ok {
		a.OnAccepted = s.PublishConfig
	}
	reply, err := a.Apply(f.t.Context(), &statusv1.ApplyRequest{
		File:         string(config.Render(deployment(n))),
		BaseRevision: one.InForce().GetRevision(),
		ApplyId:      fmt.Sprint("apply-", n),
	})
	if err != nil {
		return 0, err
	}
	if !reply.GetAccepted() {
		return 0, errors.New("conflict")
	}
	return reply.GetRevision(), nil
}

// deployment returns a small valid deployment that differs for each n.
func deployment(n int) *configv1.Deployment {
	text := fmt.Sprintf("[deployment]\nname = test\n[defaults]\nmax_deadline_ms = %d\n", 600_000+n)
	d, err := config.Parse([]byte(text))
	if err != nil {
		panic(err)
	}
	return d
}

// behind returns the running processes that have less than a revision.
func (f *fleet) behind(revision uint64) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for _, m := range f.members {
		if p, ok := f.procs[m.Name]; ok && p.follower.InForce().GetRevision() < revision {
			list = append(list, m.Name)
		}
	}
	return list
}

// reverted returns the processes, restarts included, whose revision fell.
func (f *fleet) reverted() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for name, revisions := range f.revisions {
		for i := 1; i < len(revisions); i++ {
			if revisions[i] < revisions[i-1] {
				list = append(list, fmt.Sprint(name, revisions[i-1:i+1]))
			}
		}
	}
	return list
}

// linkedStore is the store as one process reaches it.
type linkedStore struct {
	f    *fleet
	name string
}

func (l linkedStore) err() error {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	if l.f.cutStore[l.name] {
		return fmt.Errorf("%w: cut off", platform.ErrUnavailable)
	}
	return nil
}

func (l linkedStore) Get(ctx context.Context, key platform.Key) (platform.Object, error) {
	if err := l.err(); err != nil {
		return platform.Object{}, err
	}
	return l.f.store.Get(ctx, key)
}

func (l linkedStore) List(ctx context.Context, kind string) ([]platform.Object, error) {
	if err := l.err(); err != nil {
		return nil, err
	}
	return l.f.store.List(ctx, kind)
}

func (l linkedStore) Put(ctx context.Context, key platform.Key, value []byte, want uint64) (platform.Object, error) {
	if err := l.err(); err != nil {
		return platform.Object{}, err
	}
	return l.f.store.Put(ctx, key, value, want)
}

func (l linkedStore) Delete(ctx context.Context, key platform.Key, want uint64) error {
	if err := l.err(); err != nil {
		return err
	}
	return l.f.store.Delete(ctx, key, want)
}

func (l linkedStore) Watch(ctx context.Context, kind string, since uint64) (platform.WatchResult, error) {
	if err := l.err(); err != nil {
		return platform.WatchResult{}, err
	}
	events, err := l.f.store.Watch(ctx, kind, since)
	if cut := l.err(); cut != nil {
		return platform.WatchResult{}, cut
	}
	return events, err
}

// linkedPeers is the network as one process reaches it.
type linkedPeers struct {
	f    *fleet
	name string
}

// networkDelay is the time a message takes.
const networkDelay = 2 * time.Millisecond

// reach waits for the network and returns the process at an address; a
// process that can't be reached costs the caller its timeout.
func (l linkedPeers) reach(ctx context.Context, address string, message proto.Message) (*Propagator, error) {
	sleep(ctx, networkDelay)
	l.f.mu.Lock()
	l.f.sent[l.name] += PeerMessageBytes(message)
	l.f.sent[address] += PeerMessageBytes(message)
	p, ok := l.f.procs[address]
	ok = ok && !l.f.cutPeers[l.name] && !l.f.cutPeers[address]
	l.f.mu.Unlock()
	if !ok {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return p.follower.(*Propagator), nil
}

func (l linkedPeers) answered(address string, message proto.Message) {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	l.f.sent[l.name] += PeerMessageBytes(message)
	l.f.sent[address] += PeerMessageBytes(message)
}

func (l linkedPeers) Heartbeat(ctx context.Context, address string, hb *peerv1.Heartbeat) (*peerv1.Heartbeat, error) {
	s, err := l.reach(ctx, address, hb)
	if err != nil {
		return nil, err
	}
	reply := s.HandleHeartbeat(hb)
	l.answered(address, reply)
	return reply, nil
}

func (l linkedPeers) FetchConfig(ctx context.Context, address string, fetch *peerv1.FetchConfig) (*peerv1.FetchConfigReply, error) {
	s, err := l.reach(ctx, address, fetch)
	if err != nil {
		return nil, err
	}
	reply := s.HandleFetchConfig(fetch)
	l.answered(address, reply)
	return reply, nil
}

func (l linkedPeers) FetchPlan(ctx context.Context, address string, fetch *peerv1.FetchPlan) (*peerv1.FetchPlanReply, error) {
	s, err := l.reach(ctx, address, fetch)
	if err != nil {
		return nil, err
	}
	reply := s.HandleFetchPlan(fetch)
	l.answered(address, reply)
	return reply, nil
}
