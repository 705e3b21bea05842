package gateway

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
)

// TestKeysAreReliedOnForLimitedTime guards against a gateway that serves keys for longer than
// the operator allows though nobody can tell it that they were withdrawn.
func TestKeysAreReliedOnForLimitedTime(t *testing.T) {
	for name, c := range map[string]struct {
		limit, age time.Duration
		withdrawn  bool
	}{
		"no limit":        {0, time.Hour, false},
		"confirmed":       {5 * time.Second, 4 * time.Second, false},
		"too long ago":    {5 * time.Second, 6 * time.Second, true},
		"never confirmed": {5 * time.Second, -1, true},
	} {
		g := New(Options{Name: "gw", Registerer: prometheus.NewRegistry(), RevocationLimit: c.limit})
		g.configAge = func() time.Duration { return c.age }
		require.Equal(t, c.withdrawn, g.keysMayBeWithdrawn(), name)
	}
}
