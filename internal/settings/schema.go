// Package settings loads the settings of a process from command line flags,
// environment variables and an INI file, in this order of precedence, and
// validates them. All errors are reported at once.
package settings

import (
	"math"

	"github.com/marigoldwing/marigoldwing/internal/inischema"
)

// ProcessSection describes the section that entries and agents have in common.
var ProcessSection = inischema.Section{
	Name: "process",
	Help: "Location and addresses of the process.",
	Keys: []inischema.Key{
		{Name: "name", Required: true, Allowed: inischema.Name, Help: "Name of the process, unique in the deployment."},
		{Name: "failure_domain", Required: true, Allowed: inischema.Name, Help: "Failure domain in which the process runs."},
		{Name: "region", Required: true, Allowed: inischema.Name, Help: "Region of the failure domain."},
		{Name: "http_address", Required: true, Allowed: inischema.Address{}, Help: "Address of the HTTP listener."},
		{Name: "peer_address", Required: true, Allowed: inischema.Address{}, Help: "Address of the peer listener, as other processes reach it."},
		{Name: "platform_url", Required: true, Allowed: inischema.URL{}, Help: "Base URL of the platform's object API."},
		{Name: "peers", Allowed: inischema.Address{}, Help: "Addresses of the peers to contact at startup, separated by commas."},
		{Name: "drain_timeout_ms", Unit: "ms", Default: "30000", Allowed: inischema.IntRange{Min: 0, Max: 600_000}, Help: "Time that requests in flight have to finish at a graceful stop."},
		{Name: "log_verbosity", Default: "0", Allowed: inischema.IntRange{Min: 0, Max: 4}, Help: "Log verbosity; 0 logs at level info."},
		{Name: "heartbeat_interval_ms", Unit: "ms", Default: "1000", Allowed: inischema.IntRange{Min: 50, Max: 60_000}, Help: "Interval between heartbeats."},
	},
}

// EntrySection describes the section that only marigold-entry has.
var EntrySection = inischema.Section{
	Name: "entry",
	Help: "Settings of marigold-entry only.",
	Keys: []inischema.Key{
		{Name: "connections_per_agent", Default: "2", Allowed: inischema.IntRange{Min: 1, Max: 64}, Help: "Number of connections to each agent for requests."},
		{Name: "planner", Default: "true", Allowed: inischema.Bool, Help: "Whether the process may hold the planner's lease."},
	},
}

// AgentSection describes the section that only marigold-agent has.
var AgentSection = inischema.Section{
	Name: "agent",
	Help: "Settings of marigold-agent only.",
	Keys: []inischema.Key{
		{Name: "exclusive_address", Required: true, Allowed: inischema.Address{}, Help: "Address of a local listener that serves as a lock: only one agent of an instance can bind it."},
		{Name: "load_interval_ms", Unit: "ms", Default: "500", Allowed: inischema.IntRange{Min: 10, Max: math.MaxInt32}, Help: "Interval between two reads of an engine's state."},
	},
}

// GatewaySection describes the only section of marigold-gateway.
var GatewaySection = inischema.Section{
	Name: "gateway",
	Help: "Settings of marigold-gateway.",
	Keys: []inischema.Key{
		{Name: "name", Required: true, Allowed: inischema.Name, Help: "Name of the process, unique in the deployment."},
		{Name: "failure_domain", Required: true, Allowed: inischema.Name, Help: "Failure domain in which the process runs."},
		{Name: "callers_address", Required: true, Allowed: inischema.Address{}, Help: "Address of the listener for callers."},
		{Name: "readiness_address", Required: true, Allowed: inischema.Address{}, Help: "Address of the listener for the load balancer's readiness checks."},
		{Name: "metrics_address", Required: true, Allowed: inischema.Address{}, Help: "Address of the listener for metrics and the state dump."},
		{Name: "peer_address", Required: true, Allowed: inischema.Address{}, Help: "Address of the peer listener, as other gateways reach it."},
		{Name: "platform_address", Required: true, Allowed: inischema.Address{}, Help: "Address of the platform's store."},
		{Name: "stop_grace_s", Unit: "s", Default: "8", Allowed: inischema.FloatRange{Min: 1, Max: 600}, Help: "Time between SIGTERM and SIGKILL."},
		{Name: "retry_budget_ratio", Default: "0.1", Allowed: inischema.FloatRange{Max: 1}, Help: "Retry budget of a service as a ratio of its requests, over all gateways."},
		{Name: "retry_budget_reserve", Default: "10", Allowed: inischema.FloatRange{Max: 1_000_000}, Help: "Retries per window allowed in addition to the ratio, over all gateways."},
		{Name: "retry_budget_window_s", Unit: "s", Default: "10", Allowed: inischema.FloatRange{Min: 1, Max: 3600}, Help: "Window in which the retry budget holds."},
		{Name: "order_lease_ms", Unit: "ms", Default: "3000", Allowed: inischema.FloatRange{Min: 100, Max: 600_000}, Help: "Duration of the lease that allows a gateway to send orders to engines."},
		{Name: "config_apply_ms", Unit: "ms", Default: "15000", Allowed: inischema.FloatRange{Min: 200, Max: 600_000}, Help: "Time within which a new configuration must be applied."},
		{Name: "drain_notice_ms", Unit: "ms", Default: "3000", Allowed: inischema.FloatRange{Min: 200, Max: 600_000}, Help: "Time after which a draining backend server must get no new requests."},
		{Name: "memory_mb", Unit: "MB", Default: "0", Allowed: inischema.FloatRange{Max: 1 << 20}, Help: "Memory limit of the process; 0 means no limit."},
		{Name: "revocation_limit_ms", Unit: "ms", Default: "0", Allowed: inischema.FloatRange{Max: 600_000}, Help: "Time without confirmation of the configuration after which requests that need a key are refused; 0 means never."},
		{Name: "duty_address", Allowed: inischema.Address{}, Help: "Address of the platform's API for duties that one gateway performs for all; without it none is performed."},
		{Name: "duties", Allowed: inischema.Name, Help: "Duties to perform, separated by commas: usage_report, autoscale. Others are ignored with a log line."},
		{Name: "duty_fenced", Default: "false", Allowed: inischema.Bool, Help: "Whether the platform rejects duty calls with a lower fencing token than it has seen."},
		{Name: "duty_rate", Unit: "1/s", Default: "50", Allowed: inischema.FloatRange{Min: 0.1, Max: 1_000_000}, Help: "Duty calls per second that the platform accepts from all gateways together."},
		{Name: "usage_window_s", Unit: "s", Default: "60", Allowed: inischema.FloatRange{Min: 1, Max: 86_400}, Help: "Length of the windows for which usage is reported."},
		{Name: "usage_due_s", Unit: "s", Default: "60", Allowed: inischema.FloatRange{Min: 1, Max: 86_400}, Help: "Time after the end of a window at which its report is due."},
		{Name: "log_verbosity", Default: "0", Allowed: inischema.IntRange{Min: 0, Max: 4}, Help: "Log verbosity; 0 logs at level info."},
	},
}
