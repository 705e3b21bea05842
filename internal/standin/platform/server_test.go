package platform_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/platform"
	"github.com/marigoldwing/marigoldwing/internal/platform/fake"
	standin "github.com/marigoldwing/marigoldwing/internal/standin/platform"
	client "github.com/marigoldwing/marigoldwing/platform"
)

var key = platform.Key{Kind: "ledger", Name: "agent-1/segment 2"}

// eachStore runs a test against the fake store directly, and against the fake
// store behind this HTTP server and the real client.
func eachStore(t *testing.T, opts fake.Options, test func(t *testing.T, f *fake.Store, s platform.Store)) {
	t.Run("fake", func(t *testing.T) {
		f := fake.New(opts)
		test(t, f, f)
	})
	t.Run("http", func(t *testing.T) {
		f := fake.New(opts)
		srv := httptest.NewServer(standin.NewHandler(f))
		defer srv.Close()
		test(t, f, client.NewStore(srv.URL))
	})
}

// Writes and deletions with an outdated version fail with the current version.
func TestConditionalWrites(t *testing.T) {
	eachStore(t, fake.Options{}, func(t *testing.T, _ *fake.Store, s platform.Store) {
		ctx := t.Context()
		_, err := s.Get(ctx, key)
		require.ErrorIs(t, err, platform.ErrNotFound)
		first, err := s.Put(ctx, key, []byte("one"), 0)
		require.NoError(t, err)
		_, err = s.Put(ctx, key, []byte("two"), 0)
		var conflict *platform.ConflictError
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, platform.ConflictError{Key: key, Want: 0, Have: first.Version}, *conflict)
		second, err := s.Put(ctx, key, []byte("two"), first.Version)
		require.NoError(t, err)
		require.Greater(t, second.Version, first.Version)
		got, err := s.Get(ctx, key)
		require.NoError(t, err)
		require.Equal(t, second, got)
		list, err := s.List(ctx, "ledger")
		require.NoError(t, err)
		require.Equal(t, []platform.Object{second}, list)
		require.ErrorAs(t, s.Delete(ctx, key, first.Version), &conflict)
		require.NoError(t, s.Delete(ctx, key, second.Version))
		_, err = s.Get(ctx, key)
		require.ErrorIs(t, err, platform.ErrNotFound)
	})
}

// A watch blocks until the next change, and returns at once if the caller has
// seen a newer version than the store has.
func TestWatchReportsChangesAndDeletions(t *testing.T) {
	eachStore(t, fake.Options{}, func(t *testing.T, _ *fake.Store, s platform.Store) {
		ctx := t.Context()
		obj, err := s.Put(ctx, key, []byte("one"), 0)
		require.NoError(t, err)
		events, err := s.Watch(ctx, "ledger", 0)
		require.NoError(t, err)
		require.Equal(t, platform.WatchResult{Events: []platform.Event{{Object: obj}}, NextVersion: obj.Version}, events)
		got := make(chan platform.WatchResult, 1)
		go func() {
			ev, _ := s.Watch(ctx, "ledger", events.NextVersion)
			got <- ev
		}()
		require.NoError(t, s.Delete(ctx, key, obj.Version))
		ev := <-got
		require.Len(t, ev.Events, 1)
		require.True(t, ev.Events[0].Deleted)
		older, err := s.Watch(ctx, "ledger", ev.NextVersion+100)
		require.NoError(t, err)
		require.Equal(t, ev.NextVersion, older.NextVersion, "a store with older data than the caller responds at once")
	})
}

// A lost response leaves the outcome unknown whether or not the write took
// effect, and an outage is reported as ErrUnavailable.
func TestLostResponsesAndOutage(t *testing.T) {
	eachStore(t, fake.Options{}, func(t *testing.T, f *fake.Store, s platform.Store) {
		ctx := t.Context()
		f.SetFaults(fake.Faults{LoseResponses: 1})
		_, err := s.Put(ctx, key, []byte("one"), 0)
		require.ErrorIs(t, err, platform.ErrOutcomeUnknown)
		obj, err := s.Get(ctx, key)
		require.NoError(t, err, "the write took effect although its response was lost")
		f.SetFaults(fake.Faults{LoseRequests: 1})
		require.ErrorIs(t, s.Delete(ctx, key, obj.Version), platform.ErrOutcomeUnknown)
		_, err = s.Get(ctx, key)
		require.NoError(t, err, "the delete had no effect because its request was lost")
		f.SetFaults(fake.Faults{Down: true})
		_, err = s.Get(ctx, key)
		require.ErrorIs(t, err, platform.ErrUnavailable)
		_, err = s.Put(ctx, key, nil, obj.Version)
		require.ErrorIs(t, err, platform.ErrUnavailable)
		_, err = s.Watch(ctx, "ledger", 0)
		require.ErrorIs(t, err, platform.ErrUnavailable)
	})
}

// Watches count against the read limit, and calls above the limits fail with
// ErrUnavailable.
func TestReadLimitCountsWatches(t *testing.T) {
	eachStore(t, fake.Options{ReadsPerSecond: 2, WritesPerSecond: 1}, func(t *testing.T, f *fake.Store, s platform.Store) {
		ctx := t.Context()
		_, err := s.Put(ctx, key, []byte("one"), 0)
		require.NoError(t, err)
		_, err = s.Put(ctx, key, []byte("two"), 1)
		require.ErrorIs(t, err, platform.ErrUnavailable)
		_, err = s.Watch(ctx, "ledger", 0)
		require.NoError(t, err)
		_, err = s.Get(ctx, key)
		require.NoError(t, err)
		_, err = s.Get(ctx, key)
		require.ErrorIs(t, err, platform.ErrUnavailable)
		require.Equal(t, fake.Counts{Reads: 3, Watches: 1, Writes: 2, Limited: 2}, f.Counts())
	})
}

// The fake store can serve objects from before its last write, hide new
// instances for a while, and be restored from a snapshot.
func TestStaleReadsAndInstanceLag(t *testing.T) {
	eachStore(t, fake.Options{}, func(t *testing.T, f *fake.Store, s platform.Store) {
		ctx := t.Context()
		one, err := s.Put(ctx, key, []byte("one"), 0)
		require.NoError(t, err)
		f.TakeSnapshot()
		two, err := s.Put(ctx, key, []byte("two"), one.Version)
		require.NoError(t, err)
		f.SetFaults(fake.Faults{ServeSnapshot: true})
		got, err := s.Get(ctx, key)
		require.NoError(t, err)
		require.Equal(t, one, got)
		f.SetFaults(fake.Faults{InstanceLag: time.Hour})
		got, err = s.Get(ctx, key)
		require.NoError(t, err)
		require.Equal(t, two, got)
		_, err = s.Put(ctx, platform.Key{Kind: platform.KindInstance, Name: "i-1"}, nil, 0)
		require.NoError(t, err)
		list, err := s.List(ctx, platform.KindInstance)
		require.NoError(t, err)
		require.Empty(t, list)
		f.SetFaults(fake.Faults{})
		list, err = s.List(ctx, platform.KindInstance)
		require.NoError(t, err)
		require.Len(t, list, 1)
		f.Restore()
		got, err = s.Get(ctx, key)
		require.NoError(t, err)
		require.Equal(t, one, got)
	})
}

// Values larger than MaxValueBytes are rejected.
func TestValueSizeLimit(t *testing.T) {
	eachStore(t, fake.Options{}, func(t *testing.T, _ *fake.Store, s platform.Store) {
		_, err := s.Put(t.Context(), key, make([]byte, platform.MaxValueBytes), 0)
		require.NoError(t, err)
		_, err = s.Put(t.Context(), key, make([]byte, platform.MaxValueBytes+1), 1)
		require.ErrorContains(t, err, "at most")
	})
}

// Faults set over HTTP reach the fake store, and unknown members are rejected.
func TestFaultsOverHTTP(t *testing.T) {
	f := fake.New(fake.Options{})
	srv := httptest.NewServer(standin.NewHandler(f))
	defer srv.Close()
	put := func(body string) int {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodPut, srv.URL+standin.PathFaults, bytes.NewBufferString(body))
		require.NoError(t, err)
		resp, err := srv.Client().Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	require.Equal(t, http.StatusOK, put(`{"down":true,"delay_ms":5,"lose_answers":3}`))
	require.Equal(t, fake.Faults{Down: true, Delay: 5 * time.Millisecond, LoseResponses: 3}, f.Faults())
	require.Equal(t, http.StatusBadRequest, put(`{"downn":true}`))
}

// A call that was certainly not sent fails with ErrUnavailable, not with
// ErrOutcomeUnknown.
func TestUnreachableServer(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	srv.Close()
	for _, url := range []string{srv.URL, "::bad"} {
		s := client.NewStore(url)
		_, err := s.Put(t.Context(), key, nil, 0)
		require.ErrorIs(t, err, platform.ErrUnavailable, "nothing was sent")
		_, err = s.List(t.Context(), "ledger")
		require.ErrorIs(t, err, platform.ErrUnavailable)
	}
}
