// Package entry implements marigold-entry, the process that serves callers and
// operators. It converts a caller's HTTP request into a typed request, admits
// it, chooses backend servers, sends attempts to their agents, and returns one
// result: the complete response of a backend server or a typed refusal.
package entry
