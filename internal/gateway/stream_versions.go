package gateway

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/platform"
)

// keepVersionsInterval is how often the software versions of the services are compared
// with what is stored.
const keepVersionsInterval = 500 * time.Millisecond

// KindSoftwareVersions is the kind of the objects that hold the software versions at
// which streams of a service may have begun, so that they outlive the gateways.
const KindSoftwareVersions = "softwareversions"

// versionKeeper keeps the software versions of the services in the store.
type versionKeeper struct {
	g     *Gateway
	store BlockStore
	// generation is the generation of the store to which stored belongs, and stored
	// what it is known to hold, by service.
	generation uint64
	stored     map[string]storedVersions
}

// storedVersions is an object in the store; the zero value is one that does not exist.
type storedVersions struct {
	object   uint64
	versions []string
}

// KeepSoftwareVersions reads the stored software versions once, and stores those of the
// services of which this gateway is in charge, until ctx ends. Until they are read,
// streams that this gateway does not know are refused.
func (g *Gateway) KeepSoftwareVersions(ctx context.Context, store BlockStore) {
	k := &versionKeeper{g: g, store: store, stored: make(map[string]storedVersions)}
	g.loadOnce(ctx, k.load, func(err error) { g.log.Write(logevent.SoftwareVersionsNotStored("read", err)) })
	if ctx.Err() == nil {
		g.versionsLoaded.Store(true)
	}
	runEvery(ctx, keepVersionsInterval, func() { k.reconcile(ctx) })
}

// load merges the stored versions of the services in the configuration.
func (k *versionKeeper) load(ctx context.Context) error {
	objects, err := k.store.List(ctx, KindSoftwareVersions)
	if err != nil {
		return err
	}
	k.generation = k.store.Generation()
	services := k.g.state.Load().services
	for _, o := range objects {
		message := &peerv1.SoftwareVersions{}
		if err := cmp.Or(o.Err, proto.Unmarshal(o.Value, message)); err != nil {
			k.g.log.Write(logevent.SoftwareVersionsNotStored("decode", err))
			continue
		}
		k.stored[message.GetService()] = storedVersions{o.Version, message.GetVersions()}
		if s := services[message.GetService()]; s != nil {
			s.rememberVersions(k.g.now(), message.GetVersions())
		}
	}
	return nil
}

// reconcile makes one pass.
func (k *versionKeeper) reconcile(ctx context.Context) {
	if generation := k.store.Generation(); generation != k.generation {
		k.generation = generation
		clear(k.stored)
	}
	for name, s := range k.g.state.Load().services {
		versions := s.streamVersions(k.g.now())
		if len(versions) == 0 || slices.Equal(versions, k.stored[name].versions) || !k.g.owns(KindSoftwareVersions+"/"+name) {
			continue
		}
		if err := k.write(ctx, name, versions); err != nil {
			k.g.log.Write(logevent.SoftwareVersionsNotStored("write", err))
		}
	}
}

// write stores the versions of a service. If another gateway has stored others meanwhile,
// these are remembered too and the next pass stores all of them.
func (k *versionKeeper) write(ctx context.Context, service string, versions []string) error {
	value, err := proto.Marshal(&peerv1.SoftwareVersions{Service: service, Versions: versions})
	if err != nil {
		return err
	}
	key := platform.Key{Kind: KindSoftwareVersions, Name: service[:min(len(service), maxBlockName)]}
	written, err := k.store.Put(ctx, key, value, k.stored[service].object)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		delete(k.stored, service)
		return k.load(ctx)
	}
	if err != nil {
		return err
	}
	k.stored[service] = storedVersions{written.Version, versions}
	return nil
}

// rememberVersions records versions whose servers may have left a moment ago.
func (s *service) rememberVersions(now time.Duration, versions []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.origins.Remember(now, versions)
}

// streamVersions returns the versions at which streams may have begun.
func (s *service) streamVersions(now time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.origins.Versions(now)
}
