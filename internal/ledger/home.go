package ledger

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
)

const (
	// HomeChangeDelay is the delay from the acceptance of a configuration until
	// its set of backend servers applies to newly issued keys. Within it each
	// agent either reads the change or, as its confirmed homes expire, stops
	// accepting keys.
	HomeChangeDelay = 20 * time.Second
	// MaxClockSkew is the largest clock difference between two processes for
	// which every key is guaranteed to have one home.
	MaxClockSkew = 5 * time.Second
	// DefaultMaxKeyAge is the age from which a key is refused and its record
	// may be deleted.
	DefaultMaxKeyAge = 2 * time.Hour
)

// HomeSet is the set of backend servers among which keys are divided if they
// were issued at EffectiveFrom or later, until the next set takes effect.
type HomeSet struct {
	EffectiveFrom time.Time
	Servers       []string
}

// Homes is the history of a service's home sets, oldest first. A key belongs to
// the set that was in effect when the key was issued; later changes do not move
// it, so it never has two homes. The zero value has no homes.
type Homes []HomeSet

// HomesOf returns a service's home sets from an accepted configuration.
func HomesOf(accepted *configv1.AcceptedDeployment, service string) Homes {
	var homes Homes
	for _, set := range accepted.GetKeyHomes() {
		if set.GetService() == service {
			homes = append(homes, HomeSet{time.UnixMilli(set.GetFromUnixMs()), set.GetBackendServers()})
		}
	}
	return homes
}

// Home returns the backend server that a key issued at the given time belongs
// to. It reports false if there is none.
func (h Homes) Home(key string, issued time.Time) (string, bool) {
	if len(h) == 0 {
		return "", false
	}
	set := h[0]
	for _, later := range h[1:] {
		if issued.Before(later.EffectiveFrom) {
			break
		}
		set = later
	}
	return rendezvous(key, set.Servers)
}

// Advance returns the history after a configuration with the given servers has
// been accepted. It drops the sets to which only keys older than maxKeyAge
// belong.
func (h Homes) Advance(servers []string, accepted time.Time, maxKeyAge time.Duration) Homes {
	servers = slices.Sorted(slices.Values(servers))
	if len(h) == 0 {
		return Homes{{EffectiveFrom: accepted, Servers: servers}}
	}
	last := h[len(h)-1]
	next := slices.Clone(h)
	if !slices.Equal(last.Servers, servers) {
		from := accepted.Add(HomeChangeDelay)
		if !from.After(last.EffectiveFrom) {
			from = last.EffectiveFrom.Add(time.Millisecond)
		}
		next = append(next, HomeSet{EffectiveFrom: from, Servers: servers})
	}
	oldest := accepted.Add(-maxKeyAge - MaxClockSkew)
	for len(next) > 1 && !next[1].EffectiveFrom.After(oldest) {
		next = next[1:]
	}
	return next
}

// NextKeyHomes returns the key homes to store with a deployment that is
// accepted after prev; prev may be nil.
func NextKeyHomes(prev *configv1.AcceptedDeployment, next *configv1.Deployment, accepted time.Time) []*configv1.KeyHomes {
	var all []*configv1.KeyHomes
	for _, service := range next.GetServices() {
		if service.GetKind() != configv1.ServiceKind_SERVICE_KIND_PLAIN {
			continue
		}
		name := service.GetName()
		homes := HomesOf(prev, name).Advance(serversOf(next, name), accepted, DefaultMaxKeyAge)
		for _, set := range homes {
			all = append(all, &configv1.KeyHomes{Service: name, FromUnixMs: set.EffectiveFrom.UnixMilli(), BackendServers: set.Servers})
		}
	}
	return all
}

// serversOf returns the names of a service's backend servers, without those
// configured to drain.
func serversOf(d *configv1.Deployment, service string) []string {
	var names []string
	for _, server := range d.GetBackendServers() {
		if server.GetService() == service && !server.GetDrain() {
			names = append(names, server.GetName())
		}
	}
	return names
}

// rendezvous returns the server with the highest rendezvous hash for a key.
func rendezvous(key string, servers []string) (string, bool) {
	best := ""
	var bestHash uint64
	for _, server := range servers {
		hash := xxhash.Sum64String(server + "\x00" + key)
		if best == "" || hash > bestHash || hash == bestHash && server < best {
			best, bestHash = server, hash
		}
	}
	return best, best != ""
}
