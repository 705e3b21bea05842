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

// propagationBound is the time after acceptance within which a configuration
// must be in force everywhere.
const propagationBound = 15 * time.Second

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// follower is a process that follows the accepted configuration: a Propagator,
// or the naive follower of propagation_test.go.
type follower interface {
	Run(ctx context.Context)
	InForce() *configv1.AcceptedDeployment
}

// fleet is a set of processes on a simulated network and a fake store.
type fleet struct {
	t           *testing.T
	store       *fake.Store
	members     []Member
	newFollower func(f *fleet, m Member) follower

	mu    sync.Mutex
	procs map[string]*process
	// noStore and noPeers name the processes that cannot reach the store, or
	// any peer.
	noStore, noPeers map[string]bool
	// revisions holds the revisions that each process had in force, in order,
	// across restarts.
	revisions map[string][]uint64
	applies   int
	// trafficBytes counts the bytes that each process has sent and received.
	trafficBytes map[string]int
	wg           sync.WaitGroup
}

// process is one running process.
type process struct {
	follower follower
	stop     context.CancelFunc
}

func newFleet(t *testing.T, domains, perDomain int, newFollower func(*fleet, Member) follower) *fleet {
	f := &fleet{
		t:            t,
		store:        fake.New(fake.Options{ReadsPerSecond: 2000, WritesPerSecond: 400}),
		newFollower:  newFollower,
		procs:        make(map[string]*process),
		noStore:      make(map[string]bool),
		noPeers:      make(map[string]bool),
		revisions:    make(map[string][]uint64),
		trafficBytes: make(map[string]int),
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

func newPropagator(f *fleet, m Member) follower {
	return New(Options{
		Self:              m,
		Members:           f.running,
		Seeds:             []string{f.members[0].Address, f.members[len(f.members)-1].Address},
		Store:             linkedStore{f, m.Name},
		Peers:             linkedPeers{f, m.Name},
		HeartbeatInterval: time.Second,
		OnConfig:          func(a *configv1.AcceptedDeployment) { f.record(m.Name, a.GetRevision()) },
	})
}

// running returns the running processes, in place of a membership service.
func (f *fleet) running() []Member {
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
		one := f.newFollower(f, m)
		f.mu.Lock()
		f.procs[m.Name] = &process{follower: one, stop: cancel}
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

// isolate sets whether the members are cut off from the store and from their
// peers.
func (f *fleet) isolate(store, peers bool, members ...Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range members {
		f.noStore[m.Name] = store
		f.noPeers[m.Name] = peers
	}
}

// apply applies a new deployment file through a process and returns the
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
	if pr, ok := one.(*Propagator); ok {
		a.OnAccepted = pr.PublishConfig
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

// behind returns the running processes whose revision in force is lower than
// the given one.
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

// reverted returns the processes whose revision in force ever decreased,
// restarts included.
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

// linkedStore is the store as reached by one process.
type linkedStore struct {
	f    *fleet
	name string
}

func (l linkedStore) err() error {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	if l.f.noStore[l.name] {
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

func (l linkedStore) Generation() uint64 { return l.f.store.Generation() }

// linkedPeers is the network as reached by one process.
type linkedPeers struct {
	f    *fleet
	name string
}

// networkDelay is the simulated latency of a message.
const networkDelay = 2 * time.Millisecond

// reach simulates the network latency and returns the process at an address. If
// that is unreachable the call blocks until its timeout.
func (l linkedPeers) reach(ctx context.Context, address string, message proto.Message) (*Propagator, error) {
	sleep(ctx, networkDelay)
	l.f.mu.Lock()
	l.f.trafficBytes[l.name] += PeerMessageBytes(message)
	l.f.trafficBytes[address] += PeerMessageBytes(message)
	p, ok := l.f.procs[address]
	ok = ok && !l.f.noPeers[l.name] && !l.f.noPeers[address]
	l.f.mu.Unlock()
	if !ok {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return p.follower.(*Propagator), nil
}

// countReply counts the bytes of a reply at both ends.
func (l linkedPeers) countReply(address string, message proto.Message) {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	l.f.trafficBytes[l.name] += PeerMessageBytes(message)
	l.f.trafficBytes[address] += PeerMessageBytes(message)
}

func (l linkedPeers) Heartbeat(ctx context.Context, address string, hb *peerv1.Heartbeat) (*peerv1.Heartbeat, error) {
	peer, err := l.reach(ctx, address, hb)
	if err != nil {
		return nil, err
	}
	reply := peer.HandleHeartbeat(hb)
	l.countReply(address, reply)
	return reply, nil
}

func (l linkedPeers) FetchConfig(ctx context.Context, address string, fetch *peerv1.FetchConfig) (*peerv1.FetchConfigReply, error) {
	peer, err := l.reach(ctx, address, fetch)
	if err != nil {
		return nil, err
	}
	reply := peer.HandleFetchConfig(fetch)
	l.countReply(address, reply)
	return reply, nil
}

func (l linkedPeers) FetchPlan(ctx context.Context, address string, fetch *peerv1.FetchPlan) (*peerv1.FetchPlanReply, error) {
	peer, err := l.reach(ctx, address, fetch)
	if err != nil {
		return nil, err
	}
	reply := peer.HandleFetchPlan(fetch)
	l.countReply(address, reply)
	return reply, nil
}
