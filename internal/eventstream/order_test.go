package eventstream

import (
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestRelayedNumbersIncrease checks random streams of several servers: what is accepted
// increases, nothing is accepted after the first error of a server, and a sound
// continuation is accepted.
func TestRelayedNumbersIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		order := Order{}
		last := 0
		for range rapid.IntRange(1, 4).Draw(t, "servers") {
			order.Join(false)
			splitter := Splitter{Order: &order}
			for _, id := range rapid.SliceOfN(rapid.IntRange(1, 6), 0, 6).Draw(t, "ids") {
				sent := "id: " + strconv.Itoa(id) + "\r\ndata: x\r\n\r\n"
				relayed, err := splitter.Add([]byte(sent))
				if err != nil {
					require.ErrorIs(t, err, ErrOutOfOrder)
					require.NotContains(t, string(relayed), "id:")
					break
				}
				require.Greater(t, id, last)
				require.Equal(t, sent, string(relayed))
				last = id
			}
		}
		order.Join(false)
		require.NoError(t, order.Next(strconv.Itoa(last+1)))
	})
}

// TestRepeatedEventIsNotReturned checks that what is returned ends before the event that is
// out of order, however the stream is split into reads.
func TestRepeatedEventIsNotReturned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
		before := strings.ReplaceAll("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "\n", end)
		rest := before + strings.ReplaceAll("id: 2\ndata: c\n\nid: 3\ndata: d\n\n", "\n", end)
		splitter := Splitter{Order: &Order{}}
		relayed, err := strings.Builder{}, error(nil)
		for rest != "" && err == nil {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			var events []byte
			events, err = splitter.Add([]byte(rest[:n]))
			relayed.Write(events)
			rest = rest[n:]
		}
		require.ErrorIs(t, err, ErrOutOfOrder)
		require.Equal(t, before, relayed.String())
		require.Equal(t, 2, splitter.Events())
	})
}

// TestMissingEventsAreNoticedWhereServersChange checks gaps at the change of servers, which
// show only in streams that have left no number out before.
func TestMissingEventsAreNoticedWhereServersChange(t *testing.T) {
	for name, c := range map[string]struct {
		order  Order
		before []string
		gaps   bool
		next   string
		sound  bool
	}{
		"event is missing":          {next: "4", before: []string{"1", "2"}},
		"goes on":                   {next: "3", before: []string{"1", "2"}, sound: true},
		"numbers were left out":     {next: "9", before: []string{"1", "3"}, sound: true},
		"numbering begins at three": {next: "9", before: []string{"3", "4"}},
		"taken up by the caller":    {order: OrderAfter("2"), next: "4"},
		"servers leave numbers out": {order: OrderAfter("2"), next: "4", gaps: true, sound: true},
		"begins at the first event": {next: "7", sound: true},
		"IDs are no numbers":        {next: "c", before: []string{"a"}, sound: true},
	} {
		for _, id := range c.before {
			require.NoError(t, c.order.Next(id), name)
		}
		c.order.Join(c.gaps)
		require.Equal(t, c.sound, c.order.Next(c.next) == nil, name)
	}
}
