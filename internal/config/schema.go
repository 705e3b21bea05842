// Package config implements the deployment file without I/O: parsing,
// validating, rendering and comparing it, and deciding which accepted
// configuration comes into force.
package config

import (
	"google.golang.org/protobuf/proto"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	"github.com/marigoldwing/marigoldwing/internal/inischema"
)

// Limits of the deployment file.
const (
	// MaxFileBytes is the maximum size of a deployment file.
	MaxFileBytes = 4 << 20
	// maxPrice is the maximum price in points.
	maxPrice = 1_000_000
	// maxRate is the maximum rate in units per second.
	maxRate = 1_000_000_000
)

var deploymentSection = inischema.Section{
	Name: "deployment",
	Help: "The deployment as a whole.",
	Keys: []inischema.Key{
		{Name: "name", Required: true, Allowed: inischema.Name, Help: "Name of the deployment."},
	},
}

var defaultsSection = inischema.Section{
	Name: "defaults",
	Help: "Defaults for clients and deadlines.",
	Keys: []inischema.Key{
		{Name: "client_weight", Default: "1", Allowed: inischema.FloatRange{Min: 0.001, Max: 1000}, Help: "Weight in the fair share of clients that are not listed."},
		{Name: "allow_unlisted_clients", Default: "false", Allowed: inischema.Bool, Help: "Whether clients that are not listed are served."},
		{Name: "max_deadline_ms", Unit: "ms", Default: "600000", Allowed: inischema.IntRange{Min: 1, Max: 3_600_000}, Help: "Maximum deadline that a caller may request."},
	},
}

var failureDomainSection = inischema.Section{
	Name: "failure_domain", Named: true,
	Help: "A set of instances that may fail together.",
	Keys: []inischema.Key{
		{Name: "region", Required: true, Allowed: inischema.Name, Help: "Region of the failure domain."},
	},
}

var modelSection = inischema.Section{
	Name: "model", Named: true,
	Help: "A model, that is, a set of weights in one version.",
	Keys: []inischema.Key{
		{Name: "version", Required: true, Allowed: inischema.Version, Help: "Version of the weights."},
	},
}

var serviceSection = inischema.Section{
	Name: "service", Named: true,
	Help: "A service that clients call.",
	Keys: []inischema.Key{
		{Name: "kind", Required: true, Allowed: inischema.Choice{"model", "plain"}, Help: "Whether engines or plain HTTP servers serve it."},
		{Name: "model", Allowed: inischema.Name, Help: "Model served; required for kind model, not allowed for kind plain."},
		{Name: "deadline_ms", Unit: "ms", Default: "30000", Allowed: inischema.IntRange{Min: 1, Max: 3_600_000}, Help: "Deadline of a request that sets none."},
		{Name: "goodput_price", Unit: "points", Default: "1", Allowed: inischema.FloatRange{Max: maxPrice}, Help: "Price of one request completed in time."},
		{Name: "role_change_price", Unit: "points", Default: "10", Allowed: inischema.FloatRange{Max: maxPrice}, Help: "Price of one role change."},
		{Name: "min_decode_per_domain", Unit: "engines", Default: "0", Allowed: inischema.IntRange{Max: 1000}, Help: "Minimum number of engines that can decode in each failure domain."},
		{Name: "max_changes", Unit: "engines", Default: "1", Allowed: inischema.IntRange{Max: 1000}, Help: "Maximum number of concurrent role changes."},
		{Name: "retry_budget", Default: "0.1", Allowed: inischema.FloatRange{Max: 1}, Help: "Maximum ratio of retries to first attempts."},
		{Name: "non_idempotent", Allowed: inischema.MethodPath, Help: "Comma-separated rules for calls that must run at most once and require an Idempotency-Key; kind plain only."},
		{Name: "max_body_bytes", Unit: "bytes", Default: "1048576", Allowed: inischema.IntRange{Min: 1, Max: 16 << 20}, Help: "Maximum size of a request body."},
		{Name: "default_output_tokens", Unit: "tokens", Default: "256", Allowed: inischema.IntRange{Min: 1, Max: 1_000_000}, Help: "Output tokens assumed for a request that sets no limit."},
	},
}

var backendServerSection = inischema.Section{
	Name: "backend_server", Named: true,
	Help: "One backend server and its agent.",
	Keys: []inischema.Key{
		{Name: "service", Required: true, Allowed: inischema.Name, Help: "Service that the server belongs to."},
		{Name: "failure_domain", Required: true, Allowed: inischema.Name, Help: "Failure domain of the server and its agent."},
		{Name: "agent", Required: true, Allowed: inischema.Address{}, Help: "Peer address of the agent that is the only path to the server."},
		{Name: "address", Required: true, Allowed: inischema.URL{}, Help: "Base URL at which the agent reaches the server."},
		{Name: "checks_fencing", Default: "false", Allowed: inischema.Bool, Help: "Whether the server refuses orders with an old fencing token."},
		{Name: "role", Allowed: inischema.Choice{"mixed", "prefill", "decode"}, Help: "Role at first start; engines only, mixed if omitted."},
		{Name: "drain", Default: "false", Allowed: inischema.Bool, Help: "Whether to drain the server."},
		{Name: "prefill_tokens_per_second", Unit: "tokens/s", Default: "0", Allowed: inischema.FloatRange{Max: maxRate}, Help: "Prefill rate; required for engines, engines only."},
		{Name: "decode_tokens_per_second", Unit: "tokens/s", Default: "0", Allowed: inischema.FloatRange{Max: maxRate}, Help: "Decode rate over a full batch; required for engines, engines only."},
		{Name: "max_batch", Unit: "sequences", Default: "0", Allowed: inischema.IntRange{Max: 65_536}, Help: "Maximum number of sequences decoded in one batch; required for engines, engines only."},
	},
}

var clientSection = inischema.Section{
	Name: "client", Named: true,
	Help: "A client account with its limits.",
	Keys: []inischema.Key{
		{Name: "token", Allowed: inischema.Token, Help: "Bearer token; if omitted, the account header suffices.", Secret: true},
		{Name: "weight", Default: "1", Allowed: inischema.FloatRange{Min: 0.001, Max: 1000}, Help: "Weight in the fair share."},
		{Name: "requests_per_second", Unit: "requests/s", Default: "0", Allowed: inischema.FloatRange{Max: 1_000_000}, Help: "Sustained rate limit; 0 means no limit for this client."},
		{Name: "burst", Unit: "requests", Default: "0", Allowed: inischema.IntRange{Max: 1_000_000}, Help: "Requests admitted at once above the sustained rate; at least 1 if requests_per_second is set."},
		{Name: "priority", Default: "0", Allowed: inischema.IntRange{Max: 9}, Help: "Priority of its requests; 0 is the lowest."},
	},
}

// Sections returns all sections of a deployment file in canonical order.
func Sections() []inischema.Section {
	return []inischema.Section{
		deploymentSection, defaultsSection, failureDomainSection, modelSection,
		serviceSection, backendServerSection, clientSection,
	}
}

// items returns the messages of one section of a deployment.
func items(d *configv1.Deployment, section string) []proto.Message {
	switch section {
	case failureDomainSection.Name:
		return messages(d.GetFailureDomains())
	case modelSection.Name:
		return messages(d.GetModels())
	case serviceSection.Name:
		return messages(d.GetServices())
	case backendServerSection.Name:
		return messages(d.GetBackendServers())
	case clientSection.Name:
		return messages(d.GetClients())
	case defaultsSection.Name:
		return []proto.Message{d.GetDefaults()}
	case deploymentSection.Name:
		return []proto.Message{d}
	}
	return nil
}

func messages[M proto.Message](list []M) []proto.Message {
	out := make([]proto.Message, 0, len(list))
	for _, m := range list {
		out = append(out, m)
	}
	return out
}

// newItem adds an empty message to a section of a deployment and returns it.
func newItem(d *configv1.Deployment, section string) proto.Message {
	switch section {
	case failureDomainSection.Name:
		return add(&d.FailureDomains, &configv1.FailureDomain{})
	case modelSection.Name:
		return add(&d.Models, &configv1.Model{})
	case serviceSection.Name:
		return add(&d.Services, &configv1.Service{})
	case backendServerSection.Name:
		return add(&d.BackendServers, &configv1.BackendServer{})
	case clientSection.Name:
		return add(&d.Clients, &configv1.Client{})
	case defaultsSection.Name:
		d.Defaults = &configv1.Defaults{}
		return d.Defaults
	case deploymentSection.Name:
		return d
	}
	return nil
}

func add[M proto.Message](list *[]M, m M) proto.Message {
	*list = append(*list, m)
	return m
}
