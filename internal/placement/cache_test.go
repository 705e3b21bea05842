package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// useAll uses a prompt of one part.
func useAll(c *cache, now time.Duration, id string, tokens int) []uint64 {
	parts := []PromptPart{{ID: id, Tokens: tokens}}
	return c.use(now, now, parts, chain(parts))
}

func holds(c *cache, now time.Duration, id string, tokens int) bool {
	parts := []PromptPart{{ID: id, Tokens: tokens}}
	return c.held(now, parts, chain(parts)) == tokens
}

func TestTheLeastRecentlyUsedPartsYield(t *testing.T) {
	c := newCache()
	c.setMemory(100)
	useAll(c, 1, "a", 40)
	useAll(c, 2, "b", 40)
	useAll(c, 3, "a", 40)
	useAll(c, 4, "c", 40)
	require.True(t, holds(c, 5, "a", 40))
	require.False(t, holds(c, 5, "b", 40), "90 of 100 tokens are for parts")
	require.True(t, holds(c, 5, "c", 40))
}

// Others can't use what is being read, nor what was not read after all.
func TestPartsCountOnceTheyHaveBeenRead(t *testing.T) {
	c := newCache()
	parts := []PromptPart{{ID: "shared", Tokens: 100}, {ID: "own", Tokens: 10}}
	keys := chain(parts)
	fresh := c.use(0, time.Second, parts, keys)
	require.Equal(t, keys, fresh)
	require.Zero(t, c.held(time.Second-1, parts, keys))
	require.Equal(t, 110, c.held(time.Second, parts, keys))
	c.wasRead(time.Millisecond, fresh)
	require.Equal(t, 110, c.held(time.Millisecond, parts, keys))
	require.Empty(t, c.use(time.Second, 2*time.Second, parts, keys), "known parts are not read again")
	require.Equal(t, 110, c.held(time.Second, parts, keys))
	c.forget(fresh)
	require.Zero(t, c.held(time.Minute, parts, keys))
	require.Zero(t, c.tokens)
}

func TestMemoryIsNotExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCache()
		c.setMemory(1000)
		for i := range rapid.IntRange(1, 100).Draw(t, "uses") {
			id := fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "part"))
			useAll(c, time.Duration(i), id, 10+50*len(id))
			sum := 0
			for e := c.order.Front(); e != nil; e = e.Next() {
				sum += e.Value.(*cachedPart).tokens
			}
			if sum != c.tokens || c.order.Len() != len(c.entries) || c.tokens > c.capacity {
				t.Fatalf("%d tokens counted, %d there, %d entries of %d", c.tokens, sum, c.order.Len(), len(c.entries))
			}
		}
		c.expire(time.Hour)
		if c.tokens != 0 {
			t.Fatal("parts do not stay for ever")
		}
	})
}
