package departure

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

func key(id string, started int64) fleet.Key {
	return fleet.Key{ID: id, Address: "10.0.0.1:80", StartedUnixMs: started}
}

// A statement is news once and holds for one start of a server.
func TestDepartureHoldsForOneStart(t *testing.T) {
	b := New()
	require.True(t, b.Observe(time.Second, key("a", 1)))
	require.False(t, b.Observe(2*time.Second, key("a", 1)))
	require.True(t, b.Leaving(key("a", 1)))
	require.False(t, b.Leaving(key("a", 2)), "the next start under the ID")
	require.False(t, b.Leaving(key("b", 1)), "another server at the address")
}

// A registered server leaves for as long as it is registered, and one whose
// registration was missing for a while is still the same start.
func TestDepartureDoesNotExpire(t *testing.T) {
	b := New()
	b.Observe(time.Second, key("a", 1))
	b.Retain(2*time.Second, []fleet.Key{key("a", 1)})
	b.Retain(100*time.Hour, []fleet.Key{key("a", 1)})
	require.True(t, b.Leaving(key("a", 1)))
	b.Retain(101*time.Hour, nil)
	b.Retain(101*time.Hour+memory/2, []fleet.Key{key("a", 1)})
	b.Retain(102*time.Hour, []fleet.Key{key("a", 1)})
	require.True(t, b.Leaving(key("a", 1)))
}

// A server that does not state its start may be another one when it is registered
// again.
func TestDepartureOfUnknownStartEndsWithRegistration(t *testing.T) {
	b := New()
	b.Observe(time.Second, key("a", 0))
	b.Retain(2*time.Second, []fleet.Key{key("a", 0)})
	require.True(t, b.Leaving(key("a", 0)))
	b.Retain(3*time.Second, nil)
	require.False(t, b.Leaving(key("a", 0)))
}

// Servers that come and go for days take bounded memory.
func TestDeparturesAreForgotten(t *testing.T) {
	b := New()
	now := time.Second
	for i := range 3 * maxUnregistered {
		now += time.Millisecond
		b.Observe(now, key(fmt.Sprint(i), 1))
		if i%100 == 0 {
			b.Retain(now, nil)
		}
	}
	now += time.Second
	b.Retain(now, nil)
	require.Len(t, b.departures, maxUnregistered)
	require.True(t, b.Leaving(key(fmt.Sprint(3*maxUnregistered-1), 1)), "the latest is kept")
	b.Retain(now+memory+time.Second, nil)
	require.Empty(t, b.departures)
}
