package gatewaypeers

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newDomainTables returns the tables of gateways in failure domains, each of which knows
// all of them from the store.
func newDomainTables(domains, perDomain int) map[string]*Table {
	tables := make(map[string]*Table)
	domainOf := make(map[string]string)
	for d := range domains {
		for i := range perDomain {
			domainOf[fmt.Sprintf("front-%d-%d", d, i)] = fmt.Sprintf("hall-%d", d)
		}
	}
	for name, domain := range domainOf {
		table := NewTable(name)
		table.SetFailureDomain(name, domain)
		for peer, peerDomain := range domainOf {
			table.AddPeer(0, peer, "10.0.0.2:1")
			table.SetFailureDomain(peer, peerDomain)
		}
		tables[name] = table
	}
	return tables
}

// TestEachFailureDomainHasItsRelays checks that gateways that know the same others agree
// on the relays, and that the others contact one of them in each round.
func TestEachFailureDomainHasItsRelays(t *testing.T) {
	relays := map[string]int{}
	for _, table := range newDomainTables(6, 17) {
		contacts := table.HeartbeatPeers(time.Second)
		if table.IsRelay() {
			relays[table.domain]++
			continue
		}
		relay := contacts[len(contacts)-1]
		require.Equal(t, table.domain, relay.failureDomain)
		require.Greater(t, ownerHash(table.domain, relay.Name), ownerHash(table.domain, table.self))
	}
	require.Len(t, relays, 6)
	for domain, n := range relays {
		require.Equal(t, relaysPerDomain, n, domain)
	}
}

// TestRelayThatLeavesIsReplaced checks that the next gateway becomes a relay when one
// announces its shutdown, and that peers of unknown domains take no gateway's place.
func TestRelayThatLeavesIsReplaced(t *testing.T) {
	tables := newDomainTables(1, 3)
	for _, table := range tables {
		higher := table.higherInDomain()
		if len(higher) != relaysPerDomain {
			continue
		}
		require.False(t, table.IsRelay())
		table.ObserveHeartbeat(time.Second, higher[0].Name, "10.0.0.2:1", 1, true)
		require.True(t, table.IsRelay())
	}
	alone := NewTable("front-0-0")
	alone.SetFailureDomain("front-0-0", "hall-0")
	for i := range 20 {
		alone.AddPeer(0, fmt.Sprint("unknown-", i), "10.0.0.2:1")
	}
	require.True(t, alone.IsRelay())
	require.Equal(t, 21, alone.KnownCount(0))
}
