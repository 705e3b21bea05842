package configstore

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	"github.com/marigoldwing/marigoldwing/internal/config"
	"github.com/marigoldwing/marigoldwing/internal/platform"
	"github.com/marigoldwing/marigoldwing/internal/platform/fake"
)

// largeDeployment returns a deployment that is too large to be stored inline,
// and that differs for each n.
func largeDeployment(n int) *configv1.Deployment {
	d := &configv1.Deployment{Name: "large", Defaults: &configv1.Defaults{ClientWeight: 1, MaxDeadlineMs: int64(600_000 + n)}}
	for i := range 800 {
		d.Clients = append(d.Clients, &configv1.Client{Name: fmt.Sprintf("client-%05d", i), Token: fmt.Sprintf("token-%020d", i), Weight: 1})
	}
	d.Clients[n%800].Priority = 5
	return d
}

// nextAccepted returns the accepted configuration that follows before.
func nextAccepted(t *testing.T, before Stored, n int) *configv1.AcceptedDeployment {
	t.Helper()
	req := config.ApplyRequest{Deployment: largeDeployment(n), BaseRevision: before.Accepted.GetRevision(), ID: fmt.Sprint("apply-", n)}
	decision := config.DecideApply(before.Accepted, nil, req, time.UnixMilli(int64(n)))
	require.NotNil(t, decision.Next)
	return decision.Next
}

// TestLargeDeploymentsAreStoredAsDeltas writes many changes to a large
// deployment, some with lost responses, and checks that the last one can be
// read by processes that have any earlier configuration or none, while the
// watched object stays small and old snapshots are deleted.
func TestLargeDeploymentsAreStoredAsDeltas(t *testing.T) {
	const changes = 40
	ctx := t.Context()
	store := fake.New(fake.Options{})
	var before Stored
	var history []*configv1.AcceptedDeployment
	for n := range changes {
		if n%7 == 3 {
			store.SetFaults(fake.Faults{LoseResponses: 1})
		}
		want := nextAccepted(t, before, n)
		err := Write(ctx, store, before, want)
		if err != nil {
			require.NotErrorIs(t, err, platform.ErrNotFound)
		}
		after, err := Read(ctx, store, before.Accepted)
		require.NoError(t, err)
		if after.Accepted.GetRevision() != want.GetRevision() {
			// Only the snapshot was written; the retry reuses it.
			require.NoError(t, Write(ctx, store, before, want))
			after, err = Read(ctx, store, before.Accepted)
			require.NoError(t, err)
		}
		require.True(t, proto.Equal(want, after.Accepted))
		before = after
		history = append(history, want)
	}
	last := history[changes-1]
	for _, have := range append(history, nil) {
		got, err := Read(ctx, store, have)
		require.NoError(t, err)
		require.True(t, proto.Equal(last, got.Accepted), "from revision %d", have.GetRevision())
	}
	obj, err := store.Get(ctx, Key)
	require.NoError(t, err)
	require.Less(t, len(obj.Value), 8<<10, "the watched object stays small")
	snapshots, err := store.List(ctx, platform.KindSnapshot)
	require.NoError(t, err)
	require.LessOrEqual(t, len(snapshots), 3)
}

// TestSmallDeploymentsAreStoredInline checks that a small deployment is stored
// inline with one write, that a conflicting write fails, and that the
// deployment may outgrow the inline limit.
func TestSmallDeploymentsAreStoredInline(t *testing.T) {
	ctx := t.Context()
	store := fake.New(fake.Options{})
	d := &configv1.Deployment{Name: "small", Defaults: &configv1.Defaults{}}
	want := &configv1.AcceptedDeployment{Revision: 1, ApplyId: "a", Deployment: d}
	require.NoError(t, Write(ctx, store, Stored{}, want))
	got, err := Read(ctx, store, nil)
	require.NoError(t, err)
	require.True(t, proto.Equal(want, got.Accepted))
	require.Equal(t, 1, store.Counts().Writes)
	var conflict *platform.ConflictError
	require.ErrorAs(t, Write(ctx, store, Stored{}, want), &conflict)
	require.NoError(t, Write(ctx, store, got, nextAccepted(t, got, 1)), "a small deployment may become large")
	grown, err := Read(ctx, store, want)
	require.NoError(t, err)
	require.Len(t, grown.Accepted.GetDeployment().GetClients(), 800)
}
