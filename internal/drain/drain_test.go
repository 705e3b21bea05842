package drain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// graces draws grace periods that the settings allow.
func graces(t *rapid.T) time.Duration {
	return time.Duration(rapid.Int64Range(int64(time.Second), int64(600*time.Second)).Draw(t, "grace"))
}

func requests(t *rapid.T, grace time.Duration) Request {
	return Request{
		Deadline:   time.Duration(rapid.Int64Range(0, 2*int64(grace)).Draw(t, "deadline")),
		Usual:      time.Duration(rapid.Int64Range(0, 2*int64(grace)).Draw(t, "usual")),
		MayHaveRun: rapid.Bool().Draw(t, "may have run"),
	}
}

func TestScheduleEndsWithinGracePeriod(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := graces(t)
		s := NewSchedule(grace)
		require.Positive(t, s.AcceptUntil)
		require.Less(t, s.AcceptUntil, s.AnswerUntil)
		require.Less(t, s.AnswerUntil, s.CloseUntil)
		require.Less(t, s.CloseUntil, s.ExitUntil)
		require.Less(t, s.ExitUntil, grace)
		require.GreaterOrEqual(t, s.AnswerUntil+time.Nanosecond, grace*5/6, "requests at work are ended early")
	})
}

// A request that can't end in time is never sent, and one that surely ends always is.
func TestDecisionKeepsToWhatIsLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := graces(t)
		s, r := NewSchedule(grace), requests(t, grace)
		at := time.Duration(rapid.Int64Range(0, int64(grace)).Draw(t, "at"))
		left := s.AnswerUntil - at
		action := s.Decide(at, r)
		if left <= 0 {
			require.NotEqual(t, Send, action)
		} else if r.Deadline <= s.AnswerUntil || r.Usual < left {
			require.Equal(t, Send, action)
		} else {
			require.NotEqual(t, Send, action)
		}
		require.False(t, action == Refuse && r.MayHaveRun, "refused after it may have run")
		require.False(t, action == End && !r.MayHaveRun, "ended without a refusal")
	})
}

// What was refused once stays refused.
func TestDecisionDoesNotReturnToSend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := graces(t)
		s, r := NewSchedule(grace), requests(t, grace)
		first := time.Duration(rapid.Int64Range(0, int64(grace)).Draw(t, "first"))
		second := time.Duration(rapid.Int64Range(int64(first), int64(grace)).Draw(t, "second"))
		if s.Decide(first, r) != Send {
			require.Equal(t, s.Decide(first, r), s.Decide(second, r))
		}
	})
}

func TestDecisions(t *testing.T) {
	s := NewSchedule(8 * time.Second)
	long := time.Minute
	for name, c := range map[string]struct {
		at   time.Duration
		r    Request
		want Action
	}{
		"usual answer three seconds after the beginning": {3 * time.Second, Request{Deadline: long, Usual: time.Second}, Send},
		"answer that takes longer than the whole stop":   {0, Request{Deadline: long, Usual: 10 * time.Second}, Refuse},
		"slow answer with a deadline in time":            {0, Request{Deadline: 6 * time.Second, Usual: 10 * time.Second}, Send},
		"usual answer shortly before the end":            {6500 * time.Millisecond, Request{Deadline: long, Usual: time.Second}, Refuse},
		"retry shortly before the end":                   {6500 * time.Millisecond, Request{Deadline: long, Usual: time.Second, MayHaveRun: true}, End},
		"fast answer shortly before the end":             {6500 * time.Millisecond, Request{Deadline: long, Usual: 100 * time.Millisecond}, Send},
		"any answer at the end":                          {7 * time.Second, Request{Deadline: long}, Refuse},
	} {
		require.Equal(t, c.want, s.Decide(c.at, c.r), name)
	}
}

func TestDurationsOfLatestAnswers(t *testing.T) {
	var d Durations
	for i := range minDurations {
		_, known := d.Quantile(0.5)
		require.False(t, known, "%d answers", i)
		d.Record(time.Hour)
	}
	for i := 1; i <= keptDurations; i++ {
		d.Record(time.Duration(i) * time.Millisecond)
	}
	half, known := d.Quantile(0.5)
	require.True(t, known)
	require.Equal(t, keptDurations/2*time.Millisecond, half)
	all, _ := d.Quantile(1)
	require.Equal(t, keptDurations*time.Millisecond, all)
}
