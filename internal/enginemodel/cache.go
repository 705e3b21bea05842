package enginemodel

import (
	"container/list"
	"math/rand/v2"
	"sort"
	"time"
)

// retainedCacheEvents is the minimum number of recent cache events that remain
// readable.
const retainedCacheEvents = 8192

// CacheEvent is an insertion into, or an eviction from, the prefix cache. Lost
// events leave gaps in the sequence numbers.
type CacheEvent struct {
	Seq        uint64
	PrefixHash uint64
	Evicted    bool
	At         time.Duration
}

// prefixCache is an LRU cache of block hashes.
type prefixCache struct {
	capacity int
	loss     float64
	rand     *rand.Rand
	lru      *list.List // of uint64, most recently used first
	blocks   map[uint64]*list.Element
	events   []CacheEvent
	nextSeq  uint64
}

func newPrefixCache(s Settings, seed uint64) *prefixCache {
	return &prefixCache{
		capacity: s.PrefixCacheBlocks,
		loss:     s.CacheEventLoss,
		rand:     rand.New(rand.NewPCG(seed, seed)),
		lru:      list.New(),
		blocks:   make(map[uint64]*list.Element),
		nextSeq:  1,
	}
}

// lookup returns the number of leading blocks that are cached, and marks these
// as recently used.
func (c *prefixCache) lookup(hashes []uint64) int {
	for i, hash := range hashes {
		block, ok := c.blocks[hash]
		if !ok {
			return i
		}
		c.lru.MoveToFront(block)
	}
	return len(hashes)
}

// insert adds blocks and evicts the least recently used ones to make room.
func (c *prefixCache) insert(now time.Duration, hashes []uint64) {
	for _, hash := range hashes[:min(len(hashes), c.capacity)] {
		if block, ok := c.blocks[hash]; ok {
			c.lru.MoveToFront(block)
			continue
		}
		if c.lru.Len() >= c.capacity {
			c.evict(now)
		}
		c.blocks[hash] = c.lru.PushFront(hash)
		c.record(now, hash, false)
	}
}

func (c *prefixCache) evict(now time.Duration) {
	last := c.lru.Back()
	hash := c.lru.Remove(last).(uint64)
	delete(c.blocks, hash)
	c.record(now, hash, true)
}

// clear removes all blocks and events. A crash publishes no eviction events.
func (c *prefixCache) clear() {
	c.lru.Init()
	clear(c.blocks)
	c.events = c.events[:0]
}

// record adds an event, unless it is to be lost. A lost event uses up a
// sequence number as well.
func (c *prefixCache) record(now time.Duration, hash uint64, evicted bool) {
	seq := c.nextSeq
	c.nextSeq++
	if c.rand.Float64() < c.loss {
		return
	}
	if len(c.events) >= 2*retainedCacheEvents {
		kept := copy(c.events, c.events[retainedCacheEvents:])
		c.events = c.events[:kept]
	}
	c.events = append(c.events, CacheEvent{Seq: seq, PrefixHash: hash, Evicted: evicted, At: now})
}

// published returns the events from sequence number since on that occurred no
// later than until, and the sequence number to read from next.
func (c *prefixCache) published(since uint64, until time.Duration) ([]CacheEvent, uint64) {
	next := since
	var out []CacheEvent
	first := sort.Search(len(c.events), func(i int) bool { return c.events[i].Seq >= since })
	for _, event := range c.events[first:] {
		if event.At > until {
			break
		}
		out = append(out, event)
		next = event.Seq + 1
	}
	return out, next
}
