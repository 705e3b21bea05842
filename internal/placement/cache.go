package placement

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
)

// prefixKeys returns one key per part. Each key hashes the part together with
// all parts before it, so equal keys mean equal prefixes.
func prefixKeys(parts []PromptPart) []uint64 {
	keys := make([]uint64, len(parts))
	var d xxhash.Digest
	d.Reset()
	for i, p := range parts {
		_, _ = d.WriteString(p.ID)
		_, _ = d.Write([]byte{0})
		keys[i] = d.Sum64()
	}
	return keys
}

const (
	// promptCacheShare is the share of an engine's KV memory assumed to be
	// available for cached prompt parts. Running requests occupy the rest.
	promptCacheShare = 0.9
	// handoffDelay is the time that a prefilled prompt waits until its decode
	// engine has taken it over. Other requests cannot use the newly computed
	// parts before that.
	handoffDelay = 60 * time.Millisecond
	// defaultCacheTokens is the cache capacity assumed if the configuration does
	// not state the engine's KV memory.
	defaultCacheTokens = 400_000
)

// cache is the gateway's estimate of the prompt parts cached by one engine.
// Like the engine, it evicts the least recently used parts when its memory is
// full.
type cache struct {
	// capacity and tokens are the maximum and present sizes in prompt tokens.
	capacity int
	tokens   int
	// lru holds one *cachedPart per entry, the most recently used first.
	lru     *list.List
	entries map[uint64]*list.Element
}

// cachedPart is a cached prompt part. Its key identifies the whole prefix that
// ends with it.
type cachedPart struct {
	key    uint64
	tokens int
	// availableAt is the time from which other requests can use the part.
	availableAt, lastUsed time.Duration
}

func newCache() *cache {
	return &cache{capacity: defaultCacheTokens, lru: list.New(), entries: make(map[uint64]*list.Element)}
}

// setMemory sets the cache capacity from the engine's KV memory in tokens. Zero
// means that the memory is not known.
func (c *cache) setMemory(tokens int) {
	c.capacity = defaultCacheTokens
	if tokens > 0 {
		c.capacity = int(promptCacheShare * float64(tokens))
	}
}

// recordUse records that a prompt uses the given parts. Parts not cached yet
// are inserted with the given availability time, and their keys are returned.
// The parts of the prompt itself are not evicted, even if they alone exceed the
// capacity.
func (c *cache) recordUse(now, availableAt time.Duration, parts []PromptPart, keys []uint64) (newKeys []uint64) {
	for i, key := range keys {
		if e, ok := c.entries[key]; ok {
			e.Value.(*cachedPart).lastUsed = now
			c.lru.MoveToFront(e)
			continue
		}
		newKeys = append(newKeys, key)
		c.entries[key] = c.lru.PushFront(&cachedPart{key: key, tokens: parts[i].Tokens, availableAt: availableAt, lastUsed: now})
		c.tokens += parts[i].Tokens
	}
	for c.tokens > c.capacity && c.lru.Len() > len(keys) {
		c.remove(c.lru.Back())
	}
	return newKeys
}

// discard removes parts that were never prefilled, because their request ended
// first.
func (c *cache) discard(keys []uint64) {
	for _, key := range keys {
		if e, ok := c.entries[key]; ok {
			c.remove(e)
		}
	}
}

// evictUnused evicts the parts last used before the given time.
func (c *cache) evictUnused(before time.Duration) {
	for e := c.lru.Back(); e != nil && e.Value.(*cachedPart).lastUsed < before; e = c.lru.Back() {
		c.remove(e)
	}
}

func (c *cache) remove(e *list.Element) {
	p := c.lru.Remove(e).(*cachedPart)
	delete(c.entries, p.key)
	c.tokens -= p.tokens
}

// cachedTokens returns the number of tokens in the leading parts that are
// available at the given time.
func (c *cache) cachedTokens(at time.Duration, parts []PromptPart, keys []uint64) int {
	tokens := 0
	for i, part := range parts {
		e, ok := c.entries[keys[i]]
		if !ok || e.Value.(*cachedPart).availableAt > at {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// markAvailable moves the availability of the given parts forward to at, unless
// they are available earlier already.
func (c *cache) markAvailable(at time.Duration, keys []uint64) {
	for _, key := range keys {
		if e, ok := c.entries[key]; ok {
			p := e.Value.(*cachedPart)
			p.availableAt = min(p.availableAt, at)
		}
	}
}
