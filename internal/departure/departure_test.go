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

// registered returns the registration of a server.
func registered(id string, started int64, leaving bool) fleet.Server {
	return fleet.Server{ID: id, Address: "10.0.0.1:80", StartedUnixMs: started, Leaving: leaving}
}

// A statement is reported as new once and holds for one start of a server.
func TestDepartureHoldsForOneStart(t *testing.T) {
	b := New()
	require.True(t, b.Observe(time.Second, key("a", 1)))
	require.False(t, b.Observe(2*time.Second, key("a", 1)))
	require.True(t, b.Leaving(key("a", 1)))
	require.False(t, b.Leaving(key("a", 2)), "the next start under the ID")
	require.False(t, b.Leaving(key("b", 1)), "another server at the address")
}

// A departure lasts as long as the registration, and over its absence.
func TestDepartureDoesNotExpire(t *testing.T) {
	b := New()
	b.Observe(time.Second, key("a", 1))
	b.Retain(2*time.Second, []fleet.Server{registered("a", 1, false)})
	b.Retain(100*time.Hour, []fleet.Server{registered("a", 1, false)})
	require.True(t, b.Leaving(key("a", 1)))
	b.Retain(101*time.Hour, nil)
	b.Retain(101*time.Hour+memory/2, []fleet.Server{registered("a", 1, false)})
	b.Retain(102*time.Hour, []fleet.Server{registered("a", 1, false)})
	require.True(t, b.Leaving(key("a", 1)))
}

// An ID without a start time names one start, whatever becomes of its registration.
func TestDepartureOfUnknownStartOutlivesRegistration(t *testing.T) {
	b := New()
	b.Observe(time.Second, key("a", 0))
	for now := 2 * time.Second; now < memory; now += memory / 10 {
		b.Retain(now, nil)
		require.True(t, b.Leaving(key("a", 0)))
		b.Retain(now+time.Second, []fleet.Server{registered("a", 0, false)})
		require.True(t, b.Leaving(key("a", 0)))
	}
	require.False(t, b.Leaving(key("b", 0)), "another server at the address")
	require.True(t, b.Unclear(key("a", 5)), "it states its start now")
	b.Retain(memory, nil)
	b.Retain(2*memory+time.Second, nil)
	require.Empty(t, b.departures)
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

// A report makes the named start of a server leave, and no other one.
func TestReportNamesOneStart(t *testing.T) {
	b := New()
	report := Report{ServerID: "a", StartedUnixMs: 1, Age: time.Second}
	require.False(t, b.Merge(2*time.Second, key("a", 2), report), "the next start")
	require.False(t, b.Unclear(key("a", 2)))
	require.False(t, b.Merge(2*time.Second, key("b", 1), report), "another server")
	require.False(t, b.Merge(2*time.Second, key("a", 0), Report{ServerID: "a"}), "start unknown")
	require.True(t, b.Merge(2*time.Second, key("a", 1), report))
	require.False(t, b.Merge(3*time.Second, key("a", 1), report), "known")
	require.False(t, b.Observe(3*time.Second, key("a", 1)), "known")
	require.Equal(t, []Report{{ServerID: "a", StartedUnixMs: 1, Age: 2 * time.Second}}, b.Reports(3*time.Second))
}

// Departures are reported while others may not know them.
func TestReportsEndOnceRegistrationStatesDeparture(t *testing.T) {
	b := New()
	b.Observe(time.Second, key("a", 1))
	b.Observe(time.Second, key("b", 1))
	b.Observe(time.Second, key("c", 0))
	servers := []fleet.Server{registered("a", 1, false), registered("b", 1, true), registered("c", 0, false)}
	b.Retain(2*time.Second, servers)
	require.Len(t, b.Reports(2*time.Second), 2, "c does not state its start")
	later := time.Second + reportTTL + time.Millisecond
	require.Equal(t, "a", b.Reports(later)[0].ServerID)
	require.Len(t, b.Reports(later), 1)
	b.Retain(later, nil)
	require.Empty(t, b.Reports(later))
}

// The reports of one heartbeat are bounded, the latest departures go first.
func TestReportsAreBounded(t *testing.T) {
	b := New()
	for i := range 3 * maxReports {
		b.Observe(time.Duration(i)*time.Second, key(fmt.Sprintf("s%02d", i), 1))
	}
	reports := b.Reports(time.Minute)
	require.Len(t, reports, maxReports)
	require.Equal(t, fmt.Sprintf("s%02d", 3*maxReports-1), reports[0].ServerID)
}

// A registration of an earlier start, or of none, is of the server that leaves.
func TestDepartureHoldsForOlderRegistrations(t *testing.T) {
	b := New()
	b.Observe(time.Second, key("a", 5))
	require.True(t, b.Leaving(key("a", 4)))
	require.True(t, b.Leaving(key("a", 0)))
	require.False(t, b.Observe(time.Second, key("a", 4)))
	require.False(t, b.Leaving(key("a", 6)))
	other := New()
	require.True(t, other.Merge(time.Second, key("a", 4), Report{ServerID: "a", StartedUnixMs: 5}), "the registration is older than the report")
	require.True(t, other.Leaving(key("a", 5)))
	require.False(t, other.Leaving(key("a", 6)))
}

// The statement may have been that of the next start.
func TestNextStartIsUnclearUntilAsked(t *testing.T) {
	b := New()
	require.False(t, b.Unclear(key("a", 2)), "nothing was stated")
	b.Observe(time.Second, key("a", 1))
	require.False(t, b.Unclear(key("a", 1)))
	require.True(t, b.Unclear(key("a", 2)))
	b.Stays(key("a", 2))
	require.False(t, b.Unclear(key("a", 2)))
	require.False(t, b.Leaving(key("a", 2)))
	require.True(t, b.Leaving(key("a", 1)))
	require.Empty(t, b.Reports(time.Minute), "nothing to report of an earlier start")
	require.True(t, b.Unclear(key("a", 3)))
	require.True(t, b.Observe(2*time.Second, key("a", 3)), "it was asked and leaves")
	require.True(t, b.Leaving(key("a", 3)))
}
