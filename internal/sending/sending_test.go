package sending

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestConfirm checks that only a request that was sent completely confirms the end of its
// response, and that the sending may end shortly after the response.
func TestConfirm(t *testing.T) {
	errWrite := errors.New("write failed")
	for name, c := range map[string]struct {
		end  func(*Tracker)
		want error
		took time.Duration
	}{
		"sent":             {end: func(s *Tracker) { s.End(nil) }},
		"sent shortly":     {end: func(s *Tracker) { time.AfterFunc(confirmTimeout/2, func() { s.End(nil) }) }, took: confirmTimeout / 2},
		"failed":           {end: func(s *Tracker) { s.End(errWrite) }, want: errWrite},
		"failed at first":  {end: func(s *Tracker) { s.End(errWrite); s.End(nil) }, want: errWrite},
		"fails shortly":    {end: func(s *Tracker) { time.AfterFunc(confirmTimeout/2, func() { s.End(errWrite) }) }, want: errWrite, took: confirmTimeout / 2},
		"still being sent": {end: func(*Tracker) {}, want: ErrIncomplete, took: confirmTimeout},
	} {
		synctest.Test(t, func(t *testing.T) {
			tracker, begun := NewTracker(), time.Now()
			c.end(tracker)
			err := tracker.Confirm()
			require.Equal(t, c.took, time.Since(begun), name)
			if c.want == nil {
				require.NoError(t, err, name)
				require.True(t, tracker.Sent(), name)
				return
			}
			require.ErrorIs(t, err, c.want, name)
			require.ErrorIs(t, err, ErrIncomplete, name)
			require.False(t, tracker.Sent(), name)
		})
	}
}
