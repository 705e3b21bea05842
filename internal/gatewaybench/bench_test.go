package gatewaybench

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// played plays one seed of a profile.
func played(t *testing.T, p *profile, v variant) []*request {
	t.Helper()
	w, err := newWorld(p, 1)
	require.NoError(t, err)
	w.play(v.router(w))
	return w.requests
}

// Load: the two deployments' bursts. Gateways serve each kind of request in
// time at least three times as often as a plain forwarder does.
func TestGatewaysServeEachKindBetterThanAForwarder(t *testing.T) {
	for _, p := range profiles() {
		v := variants()
		gateways, forwarder := played(t, &p, v[0]), played(t, &p, v[len(v)-1])
		for _, c := range []string{p.long.name, p.short.name} {
			ours, theirs := sumUp(c, gateways), sumUp(c, forwarder)
			require.Equal(t, ours.asked, theirs.asked, "the same arrivals")
			require.Greater(t, ours.inAim, 3*theirs.inAim, c)
			require.Greater(t, 2*ours.inAim, ours.asked, c)
		}
	}
}

// The same seed gives the same run.
func TestRunsRepeat(t *testing.T) {
	var first, second bytes.Buffer
	require.NoError(t, Run(&first, io.Discard, Options{Seeds: 1}))
	require.NoError(t, Run(&second, io.Discard, Options{Seeds: 1}))
	require.Equal(t, first.String(), second.String())
}
