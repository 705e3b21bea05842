package eventstream

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestSplittingDoesNotDependOnReads checks that a stream of random events, line
// ends and comments is returned unchanged and in whole events, however it is split
// into reads, and that a cut is noticed exactly inside an event.
func TestSplittingDoesNotDependOnReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text strings.Builder
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n", "\r"})
		// complete maps the offsets at which a stream may end to the last ID.
		complete := map[int]string{0: ""}
		last := ""
		for i := range rapid.IntRange(1, 6).Draw(t, "events") {
			end := lineEnd.Draw(t, "line end")
			if rapid.Bool().Draw(t, "comment") {
				text.WriteString(": still here" + end)
				complete[text.Len()] = last
			}
			last = fmt.Sprint(i + 1)
			text.WriteString("id: " + last + end + "data: x" + end + end)
			complete[text.Len()] = last
		}
		whole := text.String()
		cut := rapid.IntRange(0, len(whole)).Draw(t, "cut")
		s := Splitter{}
		var relayed strings.Builder
		for rest := whole[:cut]; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			events, err := s.Add([]byte(rest[:n]))
			require.NoError(t, err)
			relayed.Write(events)
			rest = rest[n:]
		}
		require.Equal(t, whole[:cut], relayed.String()+string(s.Tail()))
		id, ok := complete[cut]
		// A CR ends a line even if the LF of the same line end is missing.
		if !ok && strings.HasPrefix(whole[cut:], "\n") && strings.HasSuffix(whole[:cut], "\r") {
			id, ok = complete[cut+1]
		}
		require.Equal(t, ok, !s.InsideEvent(), "%q", whole[:cut])
		if ok {
			require.Equal(t, id, s.LastID(""))
		}
	})
}

// TestTooLongEvents checks that an event without end does not take unbounded memory.
func TestTooLongEvents(t *testing.T) {
	s := Splitter{}
	var err error
	for range maxEventBytes/1024 + 1 {
		require.NoError(t, err)
		_, err = s.Add(make([]byte, 1024))
	}
	require.ErrorIs(t, err, ErrEventTooLong)
}

// TestCommentsAreNoEvents checks that a stream of comments has no events.
func TestCommentsAreNoEvents(t *testing.T) {
	s := Splitter{}
	_, err := s.Add([]byte(": hello\n\n: still here\n\n"))
	require.NoError(t, err)
	require.False(t, s.HasEvents())
	require.False(t, s.InsideEvent())
}

// TestValueOfFieldIsThatOfLatestCompleteEvent checks the value of a field that some events
// have, however the stream is split into reads.
func TestValueOfFieldIsThatOfLatestCompleteEvent(t *testing.T) {
	for sent, value := range map[string]string{
		"id: 1\ndata: v: 3\n\n":                          "",
		"v: 2\nid: 1\ndata: x\n\n":                       "2",
		"v:2\r\nid: 1\r\n\r\ndata: x\r\n\r\n":            "2",
		"v: 2\nid: 1\n\nv: 3\nid: 2\n\n":                 "3",
		"v: 2\nid: 1\n\nv: 3\nid: 2\n":                   "2",
		": v: 2\n\nvv: 2\nid: 1\n\nv\nid: 2\n\nV: 1\n\n": "",
	} {
		for size := 1; size <= len(sent); size++ {
			s := Splitter{Field: "v"}
			for part := range slices.Chunk([]byte(sent), size) {
				_, err := s.Add(part)
				require.NoError(t, err)
			}
			require.Equal(t, value, s.Value(), "%q by %d", sent, size)
		}
	}
}

func BenchmarkAdd(b *testing.B) {
	event := []byte("id: 17\ndata: {\"token\":\"some words of an answer\"}\n\n")
	s := Splitter{}
	b.SetBytes(int64(len(event)))
	for b.Loop() {
		if _, err := s.Add(event); err != nil {
			b.Fatal(err)
		}
	}
}
