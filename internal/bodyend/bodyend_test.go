package bodyend

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOnlyResponsesOfServersThatOutliveThemAreComplete checks the decision for all evidence.
func TestOnlyResponsesOfServersThatOutliveThemAreComplete(t *testing.T) {
	none, open, closed, both := Evidence{}, Evidence{Open: 1}, Evidence{Closed: 1}, Evidence{Open: 1, Closed: 2}
	for server, complete := range map[Server][]bool{
		SameStart: {true, true, true, true},
		SameID:    {true, true, false, true},
		Listening: {true, true, false, true},
		Unclear:   {false, true, false, true},
		Ended:     {false, true, false, true},
	} {
		for i, e := range []Evidence{none, open, closed, both} {
			e.Server = server
			require.Equal(t, complete[i], Complete(e), "%s, %+v", server, e)
		}
	}
}
