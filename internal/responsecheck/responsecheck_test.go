package responsecheck

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// statuses are one of each group of statuses that are treated alike, and their neighbours.
var statuses = []int{200, 201, 204, 206, 299, 300, 302, 304, 400, 404, 408, 410, 421, 429, 431, 499, 500, 502, 503, 504, 599}

// forEach calls check for the whole product of attempts and responses.
func forEach(t *testing.T, check func(t *testing.T, s Sent, r Response, v Verdict)) {
	t.Helper()
	for _, s := range allSent() {
		for _, r := range allResponses() {
			check(t, s, r, Judge(s, r))
		}
	}
}

func allSent() []Sent {
	var all []Sent
	for _, id := range []string{"", "mine"} {
		for _, prefill := range []bool{false, true} {
			all = append(all,
				Sent{RequestID: id, Prefill: prefill},
				Sent{RequestID: id, Prefill: prefill, Streaming: true},
				Sent{RequestID: id, Prefill: prefill, Streaming: true, Begun: true},
				Sent{RequestID: id, Prefill: prefill, Streaming: true, Begun: true, Weights: "1"})
		}
	}
	return all
}

func allResponses() []Response {
	var all []Response
	for _, id := range []string{"", "mine", "other"} {
		for _, status := range statuses {
			for _, sealed := range []bool{false, true} {
				for _, notExecuted := range []bool{false, true} {
					for _, content := range []Content{Unstated, Events, Different} {
						for _, weights := range []string{"", "1", "2"} {
							all = append(all, Response{RequestID: id, Status: status, Sealed: sealed, NotExecuted: notExecuted, Weights: weights, Content: content})
						}
					}
				}
			}
		}
	}
	return all
}

// reachesCaller reports whether anything of a response is relayed.
func reachesCaller(v Verdict) bool { return v == Stream || v == Whole || v == Failure }

// isSuccess reports whether a response claims success.
func (r Response) isSuccess() bool { return r.Status/100 == 2 }

// TestOwnerOf checks whose a response is for each ID that it may name.
func TestOwnerOf(t *testing.T) {
	for _, c := range []struct {
		sent, named string
		owner       Owner
	}{
		{"mine", "mine", Own}, {"mine", "other", Other}, {"mine", "", Unidentified},
		{"", "", Own}, {"", "other", Own},
	} {
		require.Equal(t, c.owner, OwnerOf(c.sent, c.named), "%+v", c)
	}
}

// TestForeignResponsesAreUnusable guards against answers of other requests that reach a
// caller, and against refusals of other requests that are believed.
func TestForeignResponsesAreUnusable(t *testing.T) {
	forEach(t, func(t *testing.T, s Sent, r Response, v Verdict) {
		if OwnerOf(s.RequestID, r.RequestID) != Own {
			require.Equal(t, Unusable, v, "%+v %+v", s, r)
		}
	})
}

// TestOtherWeightsDoNotReachCaller guards against streams that go on with other weights, and
// against weights that make a difference to the rest.
func TestOtherWeightsDoNotReachCaller(t *testing.T) {
	forEach(t, func(t *testing.T, s Sent, r Response, v Verdict) {
		same := r
		same.Weights = s.Weights
		if s.Weights == "1" && r.Weights == "2" {
			require.False(t, reachesCaller(v), "%+v %+v", s, r)
			return
		}
		require.Equal(t, Judge(s, same), v, "%+v %+v", s, r)
	})
}

// TestOnlyStatedRefusalsAreNotExecuted guards against requests that are called not
// executed, and executed again, on the word of a status alone.
func TestOnlyStatedRefusalsAreNotExecuted(t *testing.T) {
	forEach(t, func(t *testing.T, s Sent, r Response, v Verdict) {
		stated := r.NotExecuted && !r.isSuccess() && OwnerOf(s.RequestID, r.RequestID) == Own
		require.Equal(t, stated, v == NotExecuted, "%+v %+v", s, r)
	})
}

// TestCallersGetNoFalsePromise guards against statuses that promise that the request was
// not executed, and against successes without a seal or of a server that denies them.
func TestCallersGetNoFalsePromise(t *testing.T) {
	forEach(t, func(t *testing.T, s Sent, r Response, v Verdict) {
		if reachesCaller(v) {
			require.False(t, ImpliesNotExecuted(r.Status) || r.NotExecuted || r.isSuccess() && !r.Sealed, "%+v %+v", s, r)
		}
	})
}

// TestPrefillsDoNotReachCallers guards against handles of KV caches in answers.
func TestPrefillsDoNotReachCallers(t *testing.T) {
	forEach(t, func(t *testing.T, s Sent, r Response, v Verdict) {
		require.False(t, s.Prefill && reachesCaller(v), "%+v %+v", s, r)
		require.False(t, v == Prefilled && (!s.Prefill || r.Status != 200), "%+v %+v", s, r)
	})
}

// TestOnlyEventsFollowEvents guards against other responses in the middle of a stream.
func TestOnlyEventsFollowEvents(t *testing.T) {
	forEach(t, func(t *testing.T, s Sent, r Response, v Verdict) {
		if s.Begun && reachesCaller(v) {
			require.True(t, v == Stream && r.Status == 200 && r.Content == Events, "%+v %+v", s, r)
		}
		require.False(t, v == Stream && r.Status != 200, "the caller of a stream gets status 200: %+v %+v", s, r)
	})
}

// TestOwnCompleteResponsesAreRelayed guards against sound responses that are withheld.
func TestOwnCompleteResponsesAreRelayed(t *testing.T) {
	forEach(t, func(t *testing.T, s Sent, r Response, v Verdict) {
		if s.Prefill || s.Begun || r.NotExecuted || OwnerOf(s.RequestID, r.RequestID) != Own || ImpliesNotExecuted(r.Status) {
			return
		}
		switch {
		case r.Status >= 500:
			require.Equal(t, Failure, v, "%+v %+v", s, r)
		case !r.isSuccess():
			require.Equal(t, Whole, v, "%+v %+v", s, r)
		case r.Sealed:
			require.True(t, v == Whole || v == Stream, "%+v %+v", s, r)
		}
	})
}
