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

// file returns a valid file that differs for each n.
func file(t *testing.T, n int) string {
	t.Helper()
	data, err := os.ReadFile("../../examples/trust.ini")
	require.NoError(t, err)
	return strings.Replace(string(data), "max_deadline_ms = 300000", fmt.Sprintf("max_deadline_ms = %d", 300_000+n), 1)
}

func nothing() *configv1.AcceptedDeployment { return nil }

// TestRaceOfOperatorsUnderFaults lets operators apply competing files against
// one base while answers and requests are lost. Exactly one wins, and nobody
// is told otherwise.
func TestRaceOfOperatorsUnderFaults(t *testing.T) {
	for seed := range 20 {
		synctest.Test(t, func(t *testing.T) {
			store := fake.New(fake.Options{})
			store.SetFaults(fake.Faults{Delay: time.Duration(seed) * time.Millisecond, LoseResponses: seed % 4, LoseRequests: seed % 3})
			const operators = 8
			replies := make([]*statusv1.ApplyReply, operators)
			var wg sync.WaitGroup
			for i := range operators {
				wg.Go(func() {
					a := &Applier{Store: store, InForce: nothing}
					reply, err := a.Apply(t.Context(), &statusv1.ApplyRequest{File: file(t, i), ApplyId: fmt.Sprint(i)})
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
					require.NotEmpty(t, reply.GetDiff(), "a conflict shows the difference")
				}
			}
		})
	}
}

// applyOnce is the naive version: one read, one write, and a lost answer
// taken for a failure.
func applyOnce(ctx context.Context, store platform.Store, text, id string) (bool, error) {
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

func TestLostAnswerIsRecognised(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		naive := fake.New(fake.Options{})
		naive.SetFaults(fake.Faults{LoseResponses: 1})
		said, err := applyOnce(t.Context(), naive, file(t, 1), "a")
		require.NoError(t, err)
		stored, err := configstore.Read(t.Context(), naive, nil)
		require.NoError(t, err)
		require.False(t, said, "the naive version says it was not accepted")
		require.Equal(t, "a", stored.Accepted.GetApplyId(), "but it was")

		store := fake.New(fake.Options{})
		store.SetFaults(fake.Faults{LoseResponses: 1})
		var spread *configv1.AcceptedDeployment
		a := &Applier{Store: store, InForce: nothing, OnAccepted: func(d *configv1.AcceptedDeployment) { spread = d }}
		reply, err := a.Apply(t.Context(), &statusv1.ApplyRequest{File: file(t, 1), ApplyId: "a"})
		require.NoError(t, err)
		require.True(t, reply.GetAccepted())
		require.Equal(t, "a", spread.GetApplyId())
	})
}

// lateRead lets others apply right after each write.
type lateRead struct {
	platform.Store
	afterPut func()
}

func (s *lateRead) Put(ctx context.Context, key platform.Key, value []byte, want uint64) (platform.Object, error) {
	obj, err := s.Store.Put(ctx, key, value, want)
	s.afterPut()
	return obj, err
}

func TestLostAnswerIsRecognisedAfterOthersFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fake.New(fake.Options{})
		store.SetFaults(fake.Faults{LoseResponses: 1})
		other := &Applier{Store: store, InForce: nothing}
		late := &lateRead{Store: store, afterPut: func() {
			reply, err := other.Apply(t.Context(), &statusv1.ApplyRequest{File: file(t, 2), ApplyId: "b", BaseRevision: 1})
			require.NoError(t, err)
			require.True(t, reply.GetAccepted())
		}}
		a := &Applier{Store: late, InForce: nothing}
		reply, err := a.Apply(t.Context(), &statusv1.ApplyRequest{File: file(t, 1), ApplyId: "a"})
		require.NoError(t, err)
		require.True(t, reply.GetAccepted())
		require.Equal(t, uint64(1), reply.GetRevision())
	})
}

func TestOutageIsSaidAsItIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fake.New(fake.Options{})
		a := &Applier{Store: store, InForce: nothing}
		req := &statusv1.ApplyRequest{File: file(t, 1), ApplyId: "a"}
		store.SetFaults(fake.Faults{Down: true})
		_, err := a.Apply(t.Context(), req)
		require.ErrorIs(t, err, platform.ErrUnavailable)
		store.SetFaults(fake.Faults{LoseRequests: 1000})
		_, err = a.Apply(t.Context(), req)
		require.ErrorIs(t, err, platform.ErrOutcomeUnknown)
		store.SetFaults(fake.Faults{})
		reply, err := a.Apply(t.Context(), req)
		require.NoError(t, err)
		require.True(t, reply.GetAccepted(), "the same request tells")
	})
}

func TestDryRunBadFileAndMissingID(t *testing.T) {
	store := fake.New(fake.Options{})
	a := &Applier{Store: store, InForce: nothing}
	reply, err := a.Apply(t.Context(), &statusv1.ApplyRequest{File: file(t, 1), ApplyId: "a", DryRun: true})
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
