package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// useOnePart records the use of a prompt that consists of a single part.
func useOnePart(c *cache, now time.Duration, id string, tokens int) []uint64 {
	parts := []PromptPart{{ID: id, Tokens: tokens}}
	return c.recordUse(now, now, parts, prefixKeys(parts))
}

func holds(c *cache, now time.Duration, id string, tokens int) bool {
	parts := []PromptPart{{ID: id, Tokens: tokens}}
	return c.cachedTokens(now, parts, prefixKeys(parts)) == tokens
}

func TestCacheEvictsLeastRecentlyUsedParts(t *testing.T) {
	c := newCache()
	c.setMemory(100)
	useOnePart(c, 1, "a", 40)
	useOnePart(c, 2, "b", 40)
	useOnePart(c, 3, "a", 40)
	useOnePart(c, 4, "c", 40)
	require.True(t, holds(c, 5, "a", 40))
	require.False(t, holds(c, 5, "b", 40), "90 of 100 tokens are available for parts")
	require.True(t, holds(c, 5, "c", 40))
}

// Other requests cannot use a part before its prefill is done, nor after its
// request ended without prefilling it.
func TestPartsCountOnlyAfterPrefill(t *testing.T) {
	c := newCache()
	parts := []PromptPart{{ID: "shared", Tokens: 100}, {ID: "own", Tokens: 10}}
	keys := prefixKeys(parts)
	fresh := c.recordUse(0, time.Second, parts, keys)
	require.Equal(t, keys, fresh)
	require.Zero(t, c.cachedTokens(time.Second-1, parts, keys))
	require.Equal(t, 110, c.cachedTokens(time.Second, parts, keys))
	c.markAvailable(time.Millisecond, fresh)
	require.Equal(t, 110, c.cachedTokens(time.Millisecond, parts, keys))
	require.Empty(t, c.recordUse(time.Second, 2*time.Second, parts, keys), "cached parts are not prefilled again")
	require.Equal(t, 110, c.cachedTokens(time.Second, parts, keys))
	c.discard(fresh)
	require.Zero(t, c.cachedTokens(time.Minute, parts, keys))
	require.Zero(t, c.tokens)
}

func TestCacheStaysWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCache()
		c.setMemory(1000)
		for i := range rapid.IntRange(1, 100).Draw(t, "uses") {
			id := fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "part"))
			useOnePart(c, time.Duration(i), id, 10+50*len(id))
			sum := 0
			for e := c.lru.Front(); e != nil; e = e.Next() {
				sum += e.Value.(*cachedPart).tokens
			}
			if sum != c.tokens || c.lru.Len() != len(c.entries) || c.tokens > c.capacity {
				t.Fatalf("counted %d tokens, found %d; LRU list has %d parts, map has %d", c.tokens, sum, c.lru.Len(), len(c.entries))
			}
		}
		c.evictUnused(time.Hour)
		if c.tokens != 0 {
			t.Fatal("unused parts must be evicted")
		}
	})
}
