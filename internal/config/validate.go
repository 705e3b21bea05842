package config

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	"github.com/marigoldwing/marigoldwing/internal/inischema"
	"github.com/marigoldwing/marigoldwing/internal/platform"
)

// storedMarginBytes is the part of the store's maximum value size that is
// reserved for the fields stored next to the deployment.
const storedMarginBytes = 8 << 10

// validator collects violations of the rules that span several sections or keys
// of a deployment.
type validator struct {
	d     *configv1.Deployment
	kinds map[string]configv1.ServiceKind
	errs  inischema.Errors
}

// validate returns all violations of the rules that span several sections or
// keys.
func validate(d *configv1.Deployment) inischema.Errors {
	v := &validator{d: d, kinds: serviceKinds(d)}
	for _, s := range d.GetServices() {
		v.service(s)
	}
	for _, s := range d.GetBackendServers() {
		v.backendServer(s)
	}
	v.agents()
	v.minDecodeEngines()
	v.clients()
	if size := proto.Size(d); size > platform.MaxValueBytes-storedMarginBytes {
		allowed := fmt.Sprintf("at most %d bytes", platform.MaxValueBytes-storedMarginBytes)
		v.add("file", "", "", fmt.Sprintf("deployment takes %d bytes in the store", size), allowed)
	}
	return v.errs
}

func (v *validator) add(section, key, value, problem, allowed string) {
	v.errs = append(v.errs, &inischema.Error{Section: section, Key: key, Value: value, Problem: problem, Allowed: allowed})
}

func (v *validator) service(s *configv1.Service) {
	section := "service " + s.GetName()
	switch s.GetKind() {
	case configv1.ServiceKind_SERVICE_KIND_MODEL:
		if !hasName(v.d.GetModels(), s.GetModel()) {
			v.add(section, "model", s.GetModel(), "no such model", names(v.d.GetModels()))
		}
		if len(s.GetNonIdempotent()) > 0 {
			v.add(section, "non_idempotent", strings.Join(s.GetNonIdempotent(), ", "), "not for kind model", "leave it out")
		}
	case configv1.ServiceKind_SERVICE_KIND_PLAIN:
		if s.GetModel() != "" {
			v.add(section, "model", s.GetModel(), "not for kind plain", "leave it out")
		}
	}
	if s.GetDeadlineMs() > v.d.GetDefaults().GetMaxDeadlineMs() {
		allowed := fmt.Sprintf("at most max_deadline_ms of [defaults], %d", v.d.GetDefaults().GetMaxDeadlineMs())
		v.add(section, "deadline_ms", fmt.Sprint(s.GetDeadlineMs()), "too long", allowed)
	}
}

func (v *validator) backendServer(s *configv1.BackendServer) {
	section := "backend_server " + s.GetName()
	if !hasName(v.d.GetFailureDomains(), s.GetFailureDomain()) {
		v.add(section, "failure_domain", s.GetFailureDomain(), "no such failure domain", names(v.d.GetFailureDomains()))
	}
	kind, ok := v.kinds[s.GetService()]
	if !ok {
		v.add(section, "service", s.GetService(), "no such service", names(v.d.GetServices()))
		return
	}
	if kind == configv1.ServiceKind_SERVICE_KIND_PLAIN {
		v.plainServer(section, s)
		return
	}
	v.engineServer(section, s)
}

func (v *validator) plainServer(section string, s *configv1.BackendServer) {
	const problem, allowed = "for engines only", "leave it out"
	if s.GetRole() != configv1.Role_ROLE_UNSPECIFIED {
		v.add(section, "role", "", problem, allowed)
	}
	if s.GetPrefillTokensPerSecond() != 0 {
		v.add(section, "prefill_tokens_per_second", "", problem, allowed)
	}
	if s.GetDecodeTokensPerSecond() != 0 {
		v.add(section, "decode_tokens_per_second", "", problem, allowed)
	}
	if s.GetMaxBatch() != 0 {
		v.add(section, "max_batch", "", problem, allowed)
	}
}

func (v *validator) engineServer(section string, s *configv1.BackendServer) {
	const problem, allowed = "required for engines", "more than 0"
	if s.GetPrefillTokensPerSecond() == 0 {
		v.add(section, "prefill_tokens_per_second", "", problem, allowed)
	}
	if s.GetDecodeTokensPerSecond() == 0 {
		v.add(section, "decode_tokens_per_second", "", problem, allowed)
	}
	if s.GetMaxBatch() == 0 {
		v.add(section, "max_batch", "", problem, allowed)
	}
}

// agents checks that all backend servers of an agent are in one failure domain
// and that no two backend servers have the same address.
func (v *validator) agents() {
	domains := make(map[string]string)
	owners := make(map[string]string)
	for _, s := range v.d.GetBackendServers() {
		section := "backend_server " + s.GetName()
		domain, ok := domains[s.GetAgent()]
		if ok && domain != s.GetFailureDomain() {
			v.add(section, "agent", s.GetAgent(), "agent is in another failure domain", domain)
		}
		domains[s.GetAgent()] = s.GetFailureDomain()
		if owner, ok := owners[s.GetAddress()]; ok {
			v.add(section, "address", s.GetAddress(), "address of backend_server "+owner, "an address of its own")
		}
		owners[s.GetAddress()] = s.GetName()
	}
}

// minDecodeEngines checks that each failure domain has at least as many engines
// of a service as the service's min_decode_per_domain. Failure domains without
// any engine of the service are exempt.
func (v *validator) minDecodeEngines() {
	type serviceDomain struct{ service, domain string }
	engines := make(map[serviceDomain]int32)
	for _, s := range v.d.GetBackendServers() {
		engines[serviceDomain{s.GetService(), s.GetFailureDomain()}]++
	}
	for _, s := range v.d.GetServices() {
		for _, domain := range v.d.GetFailureDomains() {
			have := engines[serviceDomain{s.GetName(), domain.GetName()}]
			if have > 0 && have < s.GetMinDecodePerDomain() {
				allowed := fmt.Sprintf("at most %d, the backend servers in %s", have, domain.GetName())
				v.add("service "+s.GetName(), "min_decode_per_domain", fmt.Sprint(s.GetMinDecodePerDomain()), "too many", allowed)
			}
		}
	}
}

func (v *validator) clients() {
	owners := make(map[string]string)
	for _, client := range v.d.GetClients() {
		section := "client " + client.GetName()
		if client.GetRequestsPerSecond() > 0 && client.GetBurst() == 0 {
			v.add(section, "burst", "0", "no request would be admitted", "at least 1 with requests_per_second")
		}
		if client.GetToken() == "" {
			continue
		}
		if owner, ok := owners[client.GetToken()]; ok {
			v.add(section, "token", "", "token of client "+owner, "a token of its own")
		}
		owners[client.GetToken()] = client.GetName()
	}
}

// hasName reports whether the list contains a message with the given name.
func hasName[M named](list []M, name string) bool {
	for _, m := range list {
		if m.GetName() == name {
			return true
		}
	}
	return false
}

// names returns the names in the list as the allowed values of an error.
func names[M named](list []M) string {
	all := make([]string, 0, len(list))
	for _, m := range list {
		all = append(all, m.GetName())
	}
	return "one of " + strings.Join(all, ", ")
}
