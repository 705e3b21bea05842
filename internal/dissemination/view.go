// Package dissemination delivers each accepted configuration and each plan to
// every process. A few relays in each failure domain watch the store; all other
// processes learn of newer versions from peer heartbeats and fetch them from
// the peer that advertised them.
//
// This file and decide.go hold the decisions as pure functions; the other files
// execute them.
package dissemination

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RelaysPerDomain is the number of processes per failure domain that watch the
// store.
const RelaysPerDomain = 4

// Member identifies one process to its peers.
type Member struct {
	Name          string
	FailureDomain string
	// Address (IP:port) of the peer listener.
	Address string
	// IsEntry is set if the process is an entry, that is, serves callers.
	// An entry spends its control traffic on receiving heartbeats from agents,
	// so it becomes a relay only if its failure domain has too few agents.
	IsEntry bool
}

// View is the set of live processes as seen by one of them, grouped by failure
// domain. It must be built by NewView.
type View struct {
	self Member
	// ownDomain holds the members of the process's own failure domain, self
	// included; otherDomains holds one slice for each other failure domain.
	// Each slice is ordered by name.
	ownDomain    []Member
	otherDomains [][]Member
	// relays are the relays of the own failure domain.
	relays []Member
}

// NewView returns the view of self over the members believed alive, which may
// or may not include self.
func NewView(self Member, members []Member) View {
	domains := map[string][]Member{self.FailureDomain: {self}}
	for _, m := range members {
		if m.Name != self.Name {
			domains[m.FailureDomain] = append(domains[m.FailureDomain], m)
		}
	}
	v := View{self: self}
	for domain, list := range domains {
		slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
		if domain == self.FailureDomain {
			v.ownDomain = list
			continue
		}
		v.otherDomains = append(v.otherDomains, list)
	}
	v.relays = Relays(v.ownDomain)
	slices.SortFunc(v.otherDomains, func(a, b []Member) int { return cmp.Compare(a[0].FailureDomain, b[0].FailureDomain) })
	return v
}

// Relays returns the members of one failure domain that watch the store,
// highest rendezvous weight first. Agents rank before entries.
func Relays(domain []Member) []Member {
	type candidate struct {
		weight uint64
		member Member
	}
	ranked := make([]candidate, 0, len(domain))
	for _, m := range domain {
		ranked = append(ranked, candidate{rendezvousWeight(m), m})
	}
	slices.SortFunc(ranked, func(a, b candidate) int {
		if a.member.IsEntry != b.member.IsEntry {
			return entriesLast(a.member)
		}
		return cmp.Compare(b.weight, a.weight)
	})
	relays := make([]Member, 0, RelaysPerDomain)
	for _, c := range ranked[:min(RelaysPerDomain, len(ranked))] {
		relays = append(relays, c.member)
	}
	return relays
}

// entriesLast is the comparison result for m against a member of the other
// kind: agents sort before entries.
func entriesLast(m Member) int {
	if m.IsEntry {
		return 1
	}
	return -1
}

// rendezvousWeight returns a hash of a member. It ranks the members for the
// choice of relays, assigns members to relays and spreads jitter.
func rendezvousWeight(m Member) uint64 { return xxhash.Sum64String(m.FailureDomain + "/" + m.Name) }

// IsRelay reports whether this process is a relay of its failure domain.
func (v View) IsRelay() bool { return slices.Contains(v.relays, v.self) }

// pick returns the element at index i modulo the length of the list, or nil for
// an empty list.
func pick(list []Member, i uint64) []Member {
	if len(list) == 0 {
		return nil
	}
	return []Member{list[i%uint64(len(list))]}
}

// without returns a copy of the list without the given member.
func without(list []Member, m Member) []Member {
	return slices.DeleteFunc(slices.Clone(list), func(other Member) bool { return other.Name == m.Name })
}
