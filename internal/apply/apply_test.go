package apply

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	statusv1 "github.com/marigoldwing/marigoldwing/api/status/v1"
	"github.com/marigoldwing/marigoldwing/internal/config"
	"github.com/marigoldwing/marigoldwing/internal/configstore"
	"github.com/marigoldwing/marigoldwing/internal/platform"
	"github.com/marigoldwing/marigoldwing/internal/platform/fake"
)

// deploymentFile returns a valid deployment file that is different for each n.
func deploymentFile(t *testing.T, n int) string {
	t.Helper()
	data, err := os.ReadFile("../../examples/trust.ini")
	require.NoError(t, err)
	return strings.Replace(string(data), "max_deadline_ms = 300000", fmt.Sprintf("max_deadline_ms = %d", 300_000+n), 1)
}

// noConfig is the Applier.InForce of a process without a configuration.
func noConfig() *configv1.AcceptedDeployment { return nil }

// TestConcurrentAppliesUnderFaults applies competing files with the same base
// revision while requests to the store and responses of it are lost. Exactly one
// file must be accepted, and all operators must get the correct result.
func TestConcurrentAppliesUnderFaults(t *testing.T) {
	for seed := range 20 {
		synctest.Test(t, func(t *testing.T) {
			store := fake.New(fake.Options{})
			store.SetFaults(fake.Faults{Delay: time.Duration(seed) * time.Millisecond, LoseResponses: seed % 4, LoseRequests: seed % 3})
			const operators = 8
			replies := make([]*statusv1.ApplyReply, operators)
			var wg sync.WaitGroup
			for i := range operators {
				wg.Go(func() {
					a := &Applier{Store: store, InForce: noConfig}
					reply, err := a.Apply(t.Context(), &statusv1.ApplyRequest{File: deploymentFile(t, i), ApplyId: fmt.Sprint(i)})
					require.NoError(t, err)
					replies[i] = reply
				})
			}
			wg.Wait()
			stored, err := configstore.Read(t.Context(), store, nil)
			require.NoError(t, err)
			require.Equal(t, uint64(1), stored.Accepted.GetRevision())
			for i, reply := range replies {
				won := stored.Accepted.GetApplyId() == fmt.Sprint(i)
				require.Equal(t, won, reply.GetAccepted())
				require.Equal(t, !won, reply.GetConflict())
				if !won {
					require.NotEmpty(t, reply.GetDiff(), "a conflict must include the diff")
				}
			}
		})
	}
}

// naiveApply is a naive implementation for comparison: it reads and writes once,
// and treats a lost response as a failure.
func naiveApply(ctx context.Context, store platform.Store, text, id string) (bool, error) {
	d, err := config.Parse([]byte(text))
	if err != nil {
		return false, err
	}
	before, err := configstore.Read(ctx, store, nil)
	if err != nil {
		return false, err
	}
	data, err := config.Marshal(&configv1.AcceptedDeployment{Revision: 1, ApplyId: id, Deployment: d})
	if err != nil {
		return false, err
	}
	_, err = store.Put(ctx, configstore.Key, data, before.Version)
	return err == nil, nil
}

// TestLostResponseIsResolved checks that an apply whose response from the store
// was lost is reported as accepted. The naive implementation reports a failure
// although the write has taken effect.
func TestLostResponseIsResolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		naiveStore := fake.New(fake.Options{})
		naiveStore.SetFaults(fake.Faults{LoseResponses: 1})
		accepted, err := naiveApply(t.Context(), naiveStore, deploymentFile(t, 1), "a")
		require.NoError(t, err)
		stored, err := configstore.Read(t.Context(), naiveStore, nil)
		require.NoError(t, err)
		require.False(t, accepted, "the naive implementation reports a failure")
		require.Equal(t, "a", stored.Accepted.GetApplyId(), "the write has taken effect")

		store := fake.New(fake.Options{})
		store.SetFaults(fake.Faults{LoseResponses: 1})
		var propagated *configv1.AcceptedDeployment
		a := &Applier{Store: store, InForce: noConfig, OnAccepted: func(d *configv1.AcceptedDeployment) { propagated = d }}
		reply, err := a.Apply(t.Context(), &statusv1.ApplyRequest{File: deploymentFile(t, 1), ApplyId: "a"})
		require.NoError(t, err)
		require.True(t, reply.GetAccepted())
		require.Equal(t, "a", propagated.GetApplyId())
	})
}

// interleavedStore is a store that calls afterPut after each write, before the
// caller can read the outcome.
type interleavedStore struct {
	platform.Store
	afterPut func()
}

func (s *interleavedStore) Put(ctx context.Context, key platform.Key, value []byte, want uint64) (platform.Object, error) {
	obj, err := s.Store.Put(ctx, key, value, want)
	s.afterPut()
	return obj, err
}

// TestLostResponseIsResolvedAfterOtherApplies checks that an apply whose
// response was lost is reported as accepted even if another file has been
// accepted before the configuration is read back.
func TestLostResponseIsResolvedAfterOtherApplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fake.New(fake.Options{})
		store.SetFaults(fake.Faults{LoseResponses: 1})
		other := &Applier{Store: store, InForce: noConfig}
		interleaved := &interleavedStore{Store: store, afterPut: func() {
			reply, err := other.Apply(t.Context(), &statusv1.ApplyRequest{File: deploymentFile(t, 2), ApplyId: "b", BaseRevision: 1})
			require.NoError(t, err)
			require.True(t, reply.GetAccepted())
		}}
		a := &Applier{Store: interleaved, InForce: noConfig}
		reply, err := a.Apply(t.Context(), &statusv1.ApplyRequest{File: deploymentFile(t, 1), ApplyId: "a"})
		require.NoError(t, err)
		require.True(t, reply.GetAccepted())
		require.Equal(t, uint64(1), reply.GetRevision())
	})
}

// TestOutageIsReportedCorrectly checks which error an apply returns during an
// outage: unavailable if no write can have taken effect, and unknown otherwise.
// Repeating the request after the outage resolves the unknown outcome.
func TestOutageIsReportedCorrectly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fake.New(fake.Options{})
		a := &Applier{Store: store, InForce: noConfig}
		req := &statusv1.ApplyRequest{File: deploymentFile(t, 1), ApplyId: "a"}
		store.SetFaults(fake.Faults{Down: true})
		_, err := a.Apply(t.Context(), req)
		require.ErrorIs(t, err, platform.ErrUnavailable)
		store.SetFaults(fake.Faults{LoseRequests: 1000})
		_, err = a.Apply(t.Context(), req)
		require.ErrorIs(t, err, platform.ErrOutcomeUnknown)
		store.SetFaults(fake.Faults{})
		reply, err := a.Apply(t.Context(), req)
		require.NoError(t, err)
		require.True(t, reply.GetAccepted(), "repeating the request must resolve the outcome")
	})
}

func TestDryRunInvalidFileAndMissingID(t *testing.T) {
	store := fake.New(fake.Options{})
	a := &Applier{Store: store, InForce: noConfig}
	reply, err := a.Apply(t.Context(), &statusv1.ApplyRequest{File: deploymentFile(t, 1), ApplyId: "a", DryRun: true})
	require.NoError(t, err)
	require.False(t, reply.GetAccepted())
	require.NotEmpty(t, reply.GetDiff())
	reply, err = a.Apply(t.Context(), &statusv1.ApplyRequest{File: "[x]", ApplyId: "a"})
	require.NoError(t, err)
	require.Len(t, reply.GetErrors(), 2)
	_, err = a.Apply(t.Context(), &statusv1.ApplyRequest{})
	require.True(t, errors.Is(err, ErrNoApplyID))
	require.Zero(t, store.Counts().Writes)
}
