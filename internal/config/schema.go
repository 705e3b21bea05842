// Package config holds the decisions about the deployment file: parsing and
// checking it, rendering it, comparing two of them, and deciding which
// accepted configuration is in force. It does no I/O.
package config

import (
	"google.golang.org/protobuf/proto"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	"github.com/marigoldwing/marigoldwing/internal/inischema"
)

// Limits of the deployment file.
const (
	// MaxFileBytes is the largest deployment file.
	MaxFileBytes = 4 << 20
	// maxPrice is the largest price, in points.
	maxPrice = 1_000_000
	// maxRate is the largest rate, in units per second.
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
	Help: "What holds where other sections say nothing.",
	Keys: []inischema.Key{
		{Name: "client_weight", Default: "1", Allowed: inischema.FloatRange{Min: 0.001, Max: 1000}, Help: "Weight in the fair share of clients that are not listed."},
		{Name: "allow_unlisted_clients", Default: "false", Allowed: inischema.Bool, Help: "Whether clients that are not listed are served."},
		{Name: "max_deadline_ms", Unit: "ms", Default: "600000", Allowed: inischema.IntRange{Min: 1, Max: 3_600_000}, Help: "Longest deadline that a caller may ask for."},
	},
}

var failureDomainSection = inischema.Section{
	Name: "failure_domain", Named: true,
	Help: "A set of instances that may be lost together.",
	Keys: []inischema.Key{
		{Name: "region", Required: true, Allowed: inischema.Name, Help: "Region of the failure domain."},
	},
}

var modelSection = inischema.Section{
	Name: "model", Named: true,
	Help: "A set of weights in one version.",
	Keys: []inischema.Key{
		{Name: "version", Required: true, Allowed: inischema.Version, Help: "Version of the weights."},
	},
}

var serviceSection = inischema.Section{
	Name: "service", Named: true,
	Help: "What clients call.",
	Keys: []inischema.Key{
		{Name: "kind", Required: true, Allowed: inischema.Choice{"model", "plain"}, Help: "Whether engines or plain HTTP servers serve it."},
		{Name: "model", Allowed: inischema.Name, Help: "Model served; required for kind model, not allowed for kind plain."},
		{Name: "deadline_ms", Unit: "ms", Default: "30000", Allowed: inischema.IntRange{Min: 1, Max: 3_600_000}, Help: "Deadline of a request that names none."},
		{Name: "goodput_price", Unit: "points", Default: "1", Allowed: inischema.FloatRange{Max: maxPrice}, Help: "Price of one request completed in time."},
		{Name: "role_change_price", Unit: "points", Default: "10", Allowed: inischema.FloatRange{Max: maxPrice}, Help: "Price of one role change."},
		{Name: "min_decode_per_domain", Unit: "engines", Default: "0", Allowed: inischema.IntRange{Max: 1000}, Help: "Least number of engines that can decode in each failure domain."},
		{Name: "max_changes", Unit: "engines", Default: "1", Allowed: inischema.IntRange{Max: 1000}, Help: "Largest number of role changes in progress at once."},
		{Name: "retry_budget", Default: "0.1", Allowed: inischema.FloatRange{Max: 1}, Help: "Retries allowed as a share of first attempts."},
		{Name: "non_idempotent", Allowed: inischema.MethodPath, Help: "Rules, separated by commas, for calls that must not run twice and need an Idempotency-Key; kind plain only."},
		{Name: "max_body_bytes", Unit: "bytes", Default: "1048576", Allowed: inischema.IntRange{Min: 1, Max: 16 << 20}, Help: "Largest request body."},
		{Name: "default_output_tokens", Unit: "tokens", Default: "256", Allowed: inischema.IntRange{Min: 1, Max: 1_000_000}, Help: "Output tokens assumed for a request that sets no limit."},
	},
}

var backendServerSection = inischema.Section{
	Name: "backend_server", Named: true,
	Help: "One server, with the agent that stands before it.",
	Keys: []inischema.Key{
		{Name: "service", Required: true, Allowed: inischema.Name, Help: "Service that the server is for."},
		{Name: "failure_domain", Required: true, Allowed: inischema.Name, Help: "Failure domain of the server and its agent."},
		{Name: "agent", Required: true, Allowed: inischema.Address{}, Help: "Peer address of the agent that is the only path to the server."},
		{Name: "address", Required: true, Allowed: inischema.URL{}, Help: "Base URL of the server as its agent reaches it."},
		{Name: "checks_fencing", Default: "false", Allowed: inischema.Bool, Help: "Whether the server refuses orders with an old fencing number."},
		{Name: "role", Allowed: inischema.Choice{"mixed", "prefill", "decode"}, Help: "Role at first start; engines only, mixed when left out."},
		{Name: "drain", Default: "false", Allowed: inischema.Bool, Help: "Whether the server is to be emptied."},
		{Name: "prefill_tokens_per_second", Unit: "tokens/s", Default: "0", Allowed: inischema.FloatRange{Max: maxRate}, Help: "Prefill rate; required for engines, engines only."},
		{Name: "decode_tokens_per_second", Unit: "tokens/s", Default: "0", Allowed: inischema.FloatRange{Max: maxRate}, Help: "Decode rate over a full batch; required for engines, engines only."},
		{Name: "max_batch", Unit: "sequences", Default: "0", Allowed: inischema.IntRange{Max: 65_536}, Help: "Largest number of sequences decoded together; required for engines, engines only."},
	},
}

var clientSection = inischema.Section{
	Name: "client", Named: true,
	Help: "An account with limits.",
	Keys: []inischema.Key{
		{Name: "token", Allowed: inischema.Token, Help: "Bearer token; when left out, the account header suffices.", Secret: true},
		{Name: "weight", Default: "1", Allowed: inischema.FloatRange{Min: 0.001, Max: 1000}, Help: "Weight in the fair share."},
		{Name: "requests_per_second", Unit: "requests/s", Default: "0", Allowed: inischema.FloatRange{Max: 1_000_000}, Help: "Sustained rate; 0 means no limit of its own."},
		{Name: "burst", Unit: "requests", Default: "0", Allowed: inischema.IntRange{Max: 1_000_000}, Help: "Requests admitted at once above the sustained rate; at least 1 when there is a rate."},
		{Name: "priority", Default: "0", Allowed: inischema.IntRange{Max: 9}, Help: "Priority of its requests, 0 is the lowest."},
	},
}

// Sections lists all sections of a deployment file in their canonical order.
func Sections() []inischema.Section {
	return []inischema.Section{
		deploymentSection, defaultsSection, failureDomainSection, modelSection,
		serviceSection, backendServerSection, clientSection,
	}
}

// items returns the messages of one section in a deployment.
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

// newItem adds an empty message of a section to a deployment.
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
