package gateway

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/accounts"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/limits"
)

// TestKeysAreReliedOnForLimitedTime guards against a gateway that serves keys for longer than
// the operator allows while it has no source from which it learns of withdrawn keys.
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

// TestAccountIdentityIsNoHeaderValue guards against a caller of a public route that states the
// identity of an account in its Authorization header, and continues streams of that account.
func TestAccountIdentityIsNoHeaderValue(t *testing.T) {
	config := fleet.NewConfig(1, 0, nil, nil)
	config.Accounts = accounts.New([]accounts.Entry{{
		Account: accounts.Account{Client: limits.Client{Name: "acme"}}, Keys: []accounts.Digest{accounts.DigestOf("key")},
	}})
	q := &request{meta: RequestMeta{Caller: "Bearer key", Key: "key"}}
	require.NoError(t, q.authenticate(config))
	require.Equal(t, "acme", q.accountName())
	require.Contains(t, q.meta.Caller, "\x00", "no header value contains a NUL")
}
