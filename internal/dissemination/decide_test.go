package dissemination

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// genMembers draws the members of a few failure domains.
func genMembers(t *rapid.T) []Member {
	var list []Member
	for d := range rapid.IntRange(1, 4).Draw(t, "domains") {
		for i := range rapid.IntRange(1, 12).Draw(t, "members") {
			name := fmt.Sprintf("p-%d-%d", d, i)
			list = append(list, Member{Name: name, FailureDomain: fmt.Sprint("d-", d), Address: name})
		}
	}
	return list
}

// TestNotificationReachesAllMembers propagates a notification from its first
// holder, each notified member notifying its own targets, and checks that every
// member is reached, or, if the first holder is a relay, every member of its
// failure domain.
func TestNotificationReachesAllMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := genMembers(t)
		first := rapid.SampledFrom(members).Draw(t, "first")
		notified := map[string]bool{first.Name: true}
		type step struct {
			m         Member
			firstHand bool
		}
		queue := []step{{first, true}}
		for len(queue) > 0 {
			v := NewView(queue[0].m, members)
			targets := v.NotifyTargets(queue[0].firstHand)
			for _, list := range targets.AnyOf {
				targets.All = append(targets.All, list[0])
			}
			queue = queue[1:]
			for _, m := range targets.All {
				if !notified[m.Name] {
					notified[m.Name] = true
					queue = append(queue, step{m: m})
				}
			}
		}
		if v := NewView(first, members); v.IsRelay() {
			// Relays of other failure domains watch the store themselves.
			require.Len(t, notified, len(v.ownDomain))
			return
		}
		require.Len(t, notified, len(members))
	})
}

// TestHeartbeatPeersCoverAllMembers checks that over many rounds a process
// exchanges heartbeats with every member of its failure domain, and a relay
// with all relays of other failure domains.
func TestHeartbeatPeersCoverAllMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := genMembers(t)
		self := rapid.SampledFrom(members).Draw(t, "self")
		v := NewView(self, members)
		contacted := make(map[string]bool)
		for round := range uint64(1000) {
			for _, m := range v.HeartbeatPeers(round) {
				require.NotEqual(t, self, m)
				contacted[m.Name] = true
			}
		}
		for _, m := range without(v.ownDomain, self) {
			require.True(t, contacted[m.Name], "%s never contacted %s", self.Name, m.Name)
		}
		for _, domain := range v.otherDomains {
			for _, relay := range Relays(domain) {
				require.True(t, contacted[relay.Name] || !v.IsRelay())
			}
		}
	})
}

// TestRelaysAreStableWhenMembersLeave checks that the departure of one member
// leaves the other relays of the failure domain in place.
func TestRelaysAreStableWhenMembersLeave(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		own := NewView(Member{Name: "p-0-0", FailureDomain: "d-0"}, genMembers(t)).ownDomain
		before := Relays(own)
		gone := rapid.SampledFrom(own).Draw(t, "gone")
		after := Relays(without(own, gone))
		for _, m := range without(before, gone) {
			require.Contains(t, after, m)
		}
	})
}

// TestStoreMode checks that exactly RelaysPerDomain members of a failure domain
// watch the store, and that the others poll only once the newest known store
// response is stale.
func TestStoreMode(t *testing.T) {
	members := []Member{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}, {Name: "e"}, {Name: "f"}}
	watchers := 0
	for _, m := range members {
		v := NewView(m, members)
		if v.StoreMode(0) == Watch {
			watchers++
			continue
		}
		require.Equal(t, Passive, v.StoreMode(staleAfter-1))
		require.Equal(t, Poll, v.StoreMode(staleAfter+staleJitter))
	}
	require.Equal(t, RelaysPerDomain, watchers)
	require.Equal(t, Watch, NewView(members[0], nil).StoreMode(0), "a process without peers watches the store itself")
}

func TestBackoffIsBoundedAndJittered(t *testing.T) {
	require.Zero(t, Backoff(0, 1))
	waits := make(map[time.Duration]bool)
	for seed := range uint64(50) {
		for failures := 1; failures < 60; failures++ {
			d := Backoff(failures, seed)
			require.Positive(t, d)
			require.Less(t, d, maxBackoff)
		}
		waits[Backoff(9, seed)] = true
	}
	require.Greater(t, len(waits), 45)
}

func TestStoreTimeoutGrowsWithFailures(t *testing.T) {
	require.Equal(t, configWatchTimeout, StoreTimeout(configWatchTimeout, 0))
	require.Equal(t, maxStoreTimeout, StoreTimeout(configWatchTimeout, 1))
	require.Equal(t, 4*pollTimeout, StoreTimeout(pollTimeout, 2))
	require.Equal(t, maxStoreTimeout, StoreTimeout(pollTimeout, 100))
	require.Equal(t, planWatchTimeout, StoreTimeout(planWatchTimeout, 100))
}

// TestAdvertisedPlansIncludeRecentAndRotateOthers checks that within 14 rounds
// the heartbeats advertise all 27 plans, and that a recent change is advertised
// at once.
func TestAdvertisedPlansIncludeRecentAndRotateOthers(t *testing.T) {
	var plans []PlanState
	for i := range 27 {
		plans = append(plans, PlanState{Service: fmt.Sprintf("s-%02d", i), Version: uint64(i + 1)})
	}
	plans[9].Round = 100
	seen := make(map[string]bool)
	for round := uint64(100); round < 100+14; round++ {
		advertised := AdvertisedPlans(plans, round)
		require.LessOrEqual(t, len(advertised), rotatedPlans+1)
		for _, p := range advertised {
			seen[p.GetService()] = true
		}
	}
	require.Len(t, seen, 27)
	require.Contains(t, AdvertisedPlans(plans, 101), &peerv1.PlanVersion{Service: "s-09", Version: 10})
}

func TestNeededFetchesSkipKnownAndUnneededVersions(t *testing.T) {
	local := LocalVersions{Revision: 5, Plans: []PlanState{{Service: "a", Version: 3}}}
	hb := &peerv1.Heartbeat{ConfigRevision: 6, Plans: []*peerv1.PlanVersion{
		{Service: "a", Version: 4}, {Service: "b", Version: 1}, {Service: "c", Version: 9},
	}}
	needsPlan := func(service string) bool { return service != "c" }
	require.Equal(t, []Fetch{{Version: 6}, {Service: "a", Version: 4}, {Service: "b", Version: 1}}, NeededFetches(local, hb, needsPlan))
	hb = &peerv1.Heartbeat{ConfigRevision: 5, Plans: []*peerv1.PlanVersion{{Service: "a", Version: 3}}}
	require.Empty(t, NeededFetches(local, hb, needsPlan))
}

// TestEntriesRelayOnlyIfAgentsAreTooFew checks that entries become relays only
// where a failure domain has fewer than RelaysPerDomain agents.
func TestEntriesRelayOnlyIfAgentsAreTooFew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := rapid.IntRange(0, 5).Draw(t, "agents")
		entries := rapid.IntRange(0, 5).Draw(t, "entries")
		var domain []Member
		for i := range agents + entries {
			domain = append(domain, Member{Name: fmt.Sprint(i), IsEntry: i >= agents})
		}
		relaying := 0
		for _, m := range Relays(domain) {
			if m.IsEntry {
				relaying++
			}
		}
		require.Equal(t, min(entries, max(0, RelaysPerDomain-agents)), relaying)
	})
}
