// Package e2e contains end-to-end tests that run the system as separate
// processes. It builds the binaries, starts each process on a loopback address
// of its own, and kills, pauses and disconnects processes while callers send
// requests.
package e2e
