// Package dissemination brings each accepted configuration and each plan to every
// process: a few relays in each failure domain watch the store, and processes
// hear from each other by heartbeats and fetch what is newer.
//
// This file and decide.go hold the decisions, which are pure; the others
// carry them out.
package dissemination

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RelaysPerDomain is how many processes of a failure domain watch the store.
const RelaysPerDomain = 4

// Member is one process as others see it.
type Member struct {
	Name          string
	FailureDomain string
	// Address (IP:port) of the peer listener.
	Address string
	// IsEntry is whether the process serves callers. Entries spend their
	// traffic on hearing from agents, and relay only for want of those.
	IsEntry bool
}

// View is what one process knows about the others. It has to be built by
// NewView.
type View struct {
	self Member
	// own holds the processes of the own failure domain, self included,
	// others the processes of each other one; both ordered by name.
	own    []Member
	others [][]Member
	// relays are those of own.
	relays []Member
}

// NewView returns the view of self over the members believed alive, which
// may or may not include self.
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
			v.own = list
			continue
		}
		v.others = append(v.others, list)
	}
	v.relays = Relays(v.own)
	slices.SortFunc(v.others, func(a, b []Member) int { return cmp.Compare(a[0].FailureDomain, b[0].FailureDomain) })
	return v
}

// Relays returns the processes of one failure domain that watch the store,
// chosen by rendezvous hashing, the first choice first.
func Relays(domain []Member) []Member {
	type candidate struct {
		weight uint64
		member Member
	}
	ranked := make([]candidate, 0, len(domain))
	for _, m := range domain {
		ranked = append(ranked, candidate{weight(m), m})
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

// entriesLast compares a member with one of the other kind.
func entriesLast(m Member) int {
	if m.IsEntry {
		return 1
	}
	return -1
}

func weight(m Member) uint64 { return xxhash.Sum64String(m.FailureDomain + "/" + m.Name) }

// IsRelay tells whether the process itself watches the store.
func (v View) IsRelay() bool { return slices.Contains(v.relays, v.self) }

// pick returns the i-th of a list that goes on in circles, or nothing.
func pick(list []Member, i uint64) []Member {
	if len(list) == 0 {
		return nil
	}
	return []Member{list[i%uint64(len(list))]}
}

// without returns the list without one member.
func without(list []Member, m Member) []Member {
	return slices.DeleteFunc(slices.Clone(list), func(other Member) bool { return other.Name == m.Name })
}
