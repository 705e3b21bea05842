package gatewaybench

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// simulateRequests runs one seed of a profile and returns its requests.
func simulateRequests(t *testing.T, p *profile, v variant) []*request {
	t.Helper()
	sim, err := newSimulation(p, 1)
	require.NoError(t, err)
	sim.simulate(v.router(sim))
	return sim.requests
}

// Under the bursts of both deployments, gateways serve at least three times as
// many requests of each class within their objective as a plain forwarder does,
// and more than half of all.
func TestGatewaysOutperformForwarder(t *testing.T) {
	for _, p := range profiles() {
		v := variants()
		gateways, forwarder := simulateRequests(t, &p, v[0]), simulateRequests(t, &p, v[len(v)-1])
		for _, c := range []string{p.long.name, p.short.name} {
			ours, theirs := summarize(c, gateways), summarize(c, forwarder)
			require.Equal(t, ours.arrived, theirs.arrived, "both variants must receive the same arrivals")
			require.Greater(t, ours.withinObjective, 3*theirs.withinObjective, c)
			require.Greater(t, 2*ours.withinObjective, ours.arrived, c)
		}
	}
}

// The same seeds give the same output.
func TestRunIsReproducible(t *testing.T) {
	var first, second bytes.Buffer
	require.NoError(t, Run(&first, io.Discard, Options{Seeds: 1}))
	require.NoError(t, Run(&second, io.Discard, Options{Seeds: 1}))
	require.Equal(t, first.String(), second.String())
}
