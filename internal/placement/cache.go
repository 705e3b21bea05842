package placement

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
)

// chain returns a key for each part together with all before it.
func chain(parts []PromptPart) []uint64 {
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
	// cacheShare of an engine's memory is taken to be there for parts of
	// prompts; running requests have the rest.
	cacheShare = 0.9
	// takeTime is how long a prefilled prompt waits for its decode engine, until
	// which others can't use what was read of it.
	takeTime = 60 * time.Millisecond
	// defaultCapacity is assumed where the memory is not told, in tokens.
	defaultCapacity = 400_000
)

// cache is what one engine is thought to have cached. Like the engine, it lets
// the least recently used parts yield when its memory is full.
type cache struct {
	capacity int
	tokens   int
	// order has a *cachedPart for each part, the most recently used in front.
	order   *list.List
	entries map[uint64]*list.Element
}

// cachedPart is one part of a prompt, with all before it.
type cachedPart struct {
	key    uint64
	tokens int
	// readAt is when it has been read, usedAt when it was used last.
	readAt, usedAt time.Duration
}

func newCache() *cache {
	return &cache{capacity: defaultCapacity, order: list.New(), entries: make(map[uint64]*list.Element)}
}

// setMemory takes in the engine's memory in tokens; 0 if it is not known.
func (c *cache) setMemory(tokens int) {
	c.capacity = defaultCapacity
	if tokens > 0 {
		c.capacity = int(cacheShare * float64(tokens))
	}
}

// use takes in that parts of a prompt are used, and that those which are not
// cached yet will have been read at a time. It returns the keys of those.
func (c *cache) use(now, readAt time.Duration, parts []PromptPart, keys []uint64) (fresh []uint64) {
	for i, key := range keys {
		if e, ok := c.entries[key]; ok {
			e.Value.(*cachedPart).usedAt = now
			c.order.MoveToFront(e)
			continue
		}
		fresh = append(fresh, key)
		c.entries[key] = c.order.PushFront(&cachedPart{key: key, tokens: parts[i].Tokens, readAt: readAt, usedAt: now})
		c.tokens += parts[i].Tokens
	}
	for c.tokens > c.capacity && c.order.Len() > len(keys) {
		c.remove(c.order.Back())
	}
	return fresh
}

// forget drops parts that have not been read after all.
func (c *cache) forget(keys []uint64) {
	for _, key := range keys {
		if e, ok := c.entries[key]; ok {
			c.remove(e)
		}
	}
}

// expire drops parts that have not been used for a time.
func (c *cache) expire(before time.Duration) {
	for e := c.order.Back(); e != nil && e.Value.(*cachedPart).usedAt < before; e = c.order.Back() {
		c.remove(e)
	}
}

func (c *cache) remove(e *list.Element) {
	p := c.order.Remove(e).(*cachedPart)
	delete(c.entries, p.key)
	c.tokens -= p.tokens
}

// held returns the tokens of the leading parts that are cached at a time.
func (c *cache) held(at time.Duration, parts []PromptPart, keys []uint64) int {
	tokens := 0
	for i, part := range parts {
		e, ok := c.entries[keys[i]]
		if !ok || e.Value.(*cachedPart).readAt > at {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// wasRead takes in that parts can be used from a time on.
func (c *cache) wasRead(at time.Duration, keys []uint64) {
	for _, key := range keys {
		if e, ok := c.entries[key]; ok {
			p := e.Value.(*cachedPart)
			p.readAt = min(p.readAt, at)
		}
	}
}
