// Package agent implements marigold-agent, the process that runs beside the
// backend servers of one instance and is the only path to them. It serves
// entries over the peer protocol, admits attempts through a gate, and forwards
// them to the backend servers.
package agent
