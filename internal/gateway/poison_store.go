package gateway

import (
	"cmp"
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/platform"
	"github.com/marigoldwing/marigoldwing/internal/poison"
)

const (
	// keepBlocksInterval is how often blocks are compared with what is stored.
	keepBlocksInterval = 500 * time.Millisecond
	// maxBlockName bounds the names of services in the names of stored blocks.
	maxBlockName = 128
)

// KindBlockedPart is the kind of the objects that hold the blocked parts of prompts,
// so that they outlive the gateways.
const KindBlockedPart = "blockedpart"

// BlockStore is the part of the object API in which blocked parts are kept.
type BlockStore interface {
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
	List(ctx context.Context, kind string) ([]platform.Object, error)
	Put(ctx context.Context, key platform.Key, value []byte, want uint64) (platform.Object, error)
	// Generation returns the newest known generation of the store, 0 if unknown.
	Generation() uint64
}

// blockKeeper keeps the blocked parts of all services in the store.
type blockKeeper struct {
	g     *Gateway
	store BlockStore
	// generation is the generation of the store to which stored belongs, and stored
	// what it holds, by name.
	generation uint64
	stored     map[string]storedBlock
}

// storedBlock is what must be written again when it changes.
type storedBlock struct {
	failedTrials int
	lifted       bool
}

// KeepBlocks reads the stored blocks once, and stores those of which this gateway is
// in charge, until ctx ends.
func (g *Gateway) KeepBlocks(ctx context.Context, store BlockStore) {
	k := &blockKeeper{g: g, store: store, stored: make(map[string]storedBlock)}
	g.loadOnce(ctx, k.load, func(err error) { g.log.Write(logevent.BlockNotStored("read", err)) })
	runEvery(ctx, keepBlocksInterval, func() { k.reconcile(ctx) })
}

// reconcile makes one pass.
func (k *blockKeeper) reconcile(ctx context.Context) {
	if generation := k.store.Generation(); generation != k.generation {
		k.generation = generation
		clear(k.stored)
	}
	for _, s := range k.g.state.Load().services {
		for _, b := range s.blocks() {
			name := blockName(s.name, b.Trait)
			stored, known := k.stored[name]
			unchanged := known && stored == (storedBlock{b.FailedTrials, b.Lifted})
			if unchanged || !k.g.owns(KindBlockedPart+"/"+name) {
				continue
			}
			if err := k.write(ctx, s.name, b); err != nil {
				k.g.log.Write(logevent.BlockNotStored("write", err))
			}
		}
	}
}

// blockName returns the name of the object of a blocked part.
func blockName(service string, p poison.Trait) string {
	return service[:min(len(service), maxBlockName)] + "." + traitText(p)
}

// load merges the stored blocks of the services in the configuration.
func (k *blockKeeper) load(ctx context.Context) error {
	current := k.g.state.Load()
	objects, err := k.store.List(ctx, KindBlockedPart)
	if err != nil {
		return err
	}
	k.generation = k.store.Generation()
	for _, o := range objects {
		message := &peerv1.BlockedPart{}
		if err := cmp.Or(o.Err, proto.Unmarshal(o.Value, message)); err != nil {
			k.g.log.Write(logevent.BlockNotStored("decode", err))
			continue
		}
		s := current.services[message.GetService()]
		if s == nil {
			continue
		}
		now := k.g.now()
		block := blockFromProto(now, withAge(message, time.Now()))
		k.stored[o.Key.Name] = storedBlock{block.FailedTrials, block.Lifted}
		for _, b := range s.mergePoison(now, poison.Report{Blocks: []poison.Block{block}}).Blocks {
			k.g.blockChanged(s, b, poisonFromStore)
		}
	}
	return nil
}

// withAge adds the time since a stored block was written to its ages.
func withAge(message *peerv1.BlockedPart, now time.Time) *peerv1.BlockedPart {
	stored := max(0, now.UnixMilli()-message.GetWrittenUnixMs())
	message.LastCrashAgeMs += stored
	message.ChangedAgeMs += stored
	return message
}

// write stores a block.
func (k *blockKeeper) write(ctx context.Context, service string, b poison.Block) error {
	message := blockToProto(k.g.now(), b)
	message.Service, message.WrittenUnixMs = service, time.Now().UnixMilli()
	value, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	key := platform.Key{Kind: KindBlockedPart, Name: blockName(service, b.Trait)}
	_, err = k.store.Put(ctx, key, value, 0)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		var stored platform.Object
		if stored, err = k.store.Get(ctx, key); err != nil {
			return err
		}
		_, err = k.store.Put(ctx, key, value, stored.Version)
	}
	if err != nil {
		return err
	}
	k.stored[key.Name] = storedBlock{b.FailedTrials, b.Lifted}
	return nil
}
