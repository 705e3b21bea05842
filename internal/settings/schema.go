// Package settings reads the settings of each process: an INI file, with
// environment variables and flags over it, checked whole.
package settings

import (
	"math"

	"github.com/marigoldwing/marigoldwing/internal/inischema"
)

// ProcessSection describes the section that every process has.
var ProcessSection = inischema.Section{
	Name: "process",
	Help: "Where the process runs and whom it talks to.",
	Keys: []inischema.Key{
		{Name: "name", Required: true, Allowed: inischema.Name, Help: "Name of the process, unique in the deployment."},
		{Name: "failure_domain", Required: true, Allowed: inischema.Name, Help: "Failure domain in which the process runs."},
		{Name: "region", Required: true, Allowed: inischema.Name, Help: "Region of the failure domain."},
		{Name: "http_address", Required: true, Allowed: inischema.Address{}, Help: "Address of the HTTP listener."},
		{Name: "peer_address", Required: true, Allowed: inischema.Address{}, Help: "Address of the peer listener, as other processes reach it."},
		{Name: "platform_url", Required: true, Allowed: inischema.URL{}, Help: "Base URL of the platform's object API."},
		{Name: "peers", Allowed: inischema.Address{}, Help: "Peer addresses known at start, separated by commas."},
		{Name: "drain_timeout_ms", Unit: "ms", Default: "30000", Allowed: inischema.IntRange{Min: 0, Max: 600_000}, Help: "Time given to requests in flight at a graceful stop."},
		{Name: "log_verbosity", Default: "0", Allowed: inischema.IntRange{Min: 0, Max: 4}, Help: "Log verbosity; 0 logs at level info."},
		{Name: "heartbeat_interval_ms", Unit: "ms", Default: "1000", Allowed: inischema.IntRange{Min: 50, Max: 60_000}, Help: "Interval between heartbeats."},
	},
}

// EntrySection describes the section of marigold-entry.
var EntrySection = inischema.Section{
	Name: "entry",
	Help: "Settings of marigold-entry alone.",
	Keys: []inischema.Key{
		{Name: "connections_per_agent", Default: "2", Allowed: inischema.IntRange{Min: 1, Max: 64}, Help: "Connections kept to each agent."},
		{Name: "planner", Default: "true", Allowed: inischema.Bool, Help: "Whether the process may hold the planner's lease."},
	},
}

// AgentSection describes the section of marigold-agent.
var AgentSection = inischema.Section{
	Name: "agent",
	Help: "Settings of marigold-agent alone.",
	Keys: []inischema.Key{
		{Name: "exclusive_address", Required: true, Allowed: inischema.Address{}, Help: "Local listener that only one agent of an instance can hold."},
		{Name: "load_interval_ms", Unit: "ms", Default: "500", Allowed: inischema.IntRange{Min: 10, Max: math.MaxInt32}, Help: "Interval between reads of what an engine reports."},
	},
}

// GatewaySection describes the section of marigold-gateway.
var GatewaySection = inischema.Section{
	Name: "gateway",
	Help: "Settings of marigold-gateway.",
	Keys: []inischema.Key{
		{Name: "name", Required: true, Allowed: inischema.Name, Help: "Name of the process, unique in the deployment."},
		{Name: "failure_domain", Required: true, Allowed: inischema.Name, Help: "Failure domain in which the process runs."},
		{Name: "callers_address", Required: true, Allowed: inischema.Address{}, Help: "Address of the callers' listener."},
		{Name: "readiness_address", Required: true, Allowed: inischema.Address{}, Help: "Address of the listener for the balancer's readiness checks."},
		{Name: "metrics_address", Required: true, Allowed: inischema.Address{}, Help: "Address of the listener for metrics and the state dump."},
		{Name: "peer_address", Required: true, Allowed: inischema.Address{}, Help: "Address of the peer listener, as other gateways reach it."},
		{Name: "platform_address", Required: true, Allowed: inischema.Address{}, Help: "Address of the platform's store."},
		{Name: "stop_grace_s", Unit: "s", Default: "8", Allowed: inischema.FloatRange{Min: 1, Max: 600}, Help: "Time between SIGTERM and SIGKILL."},
		{Name: "retry_budget_ratio", Default: "0.1", Allowed: inischema.FloatRange{Max: 1}, Help: "Repeated sends allowed to a service as a share of its requests, over all gateways."},
		{Name: "retry_budget_reserve", Default: "10", Allowed: inischema.FloatRange{Max: 1_000_000}, Help: "Repeated sends allowed beside the share, over all gateways."},
		{Name: "order_lease_ms", Unit: "ms", Default: "3000", Allowed: inischema.FloatRange{Min: 100, Max: 600_000}, Help: "Time for which the right to give orders to engines lasts."},
		{Name: "config_apply_ms", Unit: "ms", Default: "15000", Allowed: inischema.FloatRange{Min: 200, Max: 600_000}, Help: "Time within which a configuration must be in force."},
		{Name: "drain_notice_ms", Unit: "ms", Default: "3000", Allowed: inischema.FloatRange{Min: 200, Max: 600_000}, Help: "Time within which a leaving backend server must get no more work."},
		{Name: "memory_mb", Unit: "MB", Default: "0", Allowed: inischema.FloatRange{Max: 1 << 20}, Help: "Memory that the process may use; 0 sets no limit."},
		{Name: "log_verbosity", Default: "0", Allowed: inischema.IntRange{Min: 0, Max: 4}, Help: "Log verbosity; 0 logs at level info."},
	},
}
