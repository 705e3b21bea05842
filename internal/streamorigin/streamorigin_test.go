package streamorigin

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDecide checks how streams may go on.
func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		versions []string
		answers  []Answer
		decision Decision
		version  string
	}{
		"one version":                     {[]string{"v1"}, nil, AnyVersion, ""},
		"no version is known":             {nil, nil, AnyVersion, ""},
		"known here or elsewhere":         {[]string{"v1", "v2"}, []Answer{{}, {Version: "v2", Known: true}}, SameVersion, "v2"},
		"known elsewhere, one seen here":  {[]string{"v1"}, []Answer{{Version: "v2", Known: true}}, SameVersion, "v2"},
		"several versions, known nowhere": {[]string{"v1", "v2"}, []Answer{{}}, Nowhere, ""},
		"another one was seen elsewhere":  {[]string{"v1"}, []Answer{{Versions: []string{"v1", "v2"}}}, Nowhere, ""},
		"the same was seen elsewhere":     {[]string{"v1"}, []Answer{{Versions: []string{"v1"}}, {}}, AnyVersion, ""},
	} {
		decision, origin := Decide(Seen{Versions: c.versions}, c.answers, true)
		require.Equal(t, c.decision, decision, name)
		if c.decision == AnyVersion {
			c.decision = Unconfirmed
		}
		unconfirmed, _ := Decide(Seen{Versions: c.versions}, c.answers, false)
		require.Equal(t, c.decision, unconfirmed, name)
		require.Equal(t, c.version, origin.Version, name)
	}
}

// TestStreamsOfUnknownWeightsGoNowhere guards against streams that go on with any of several
// versions of the weights.
func TestStreamsOfUnknownWeightsGoNowhere(t *testing.T) {
	for name, c := range map[string]struct {
		versions []string
		answers  []Answer
		mixed    bool
		decision Decision
		weights  string
	}{
		"known":                              {[]string{"v1"}, []Answer{{Known: true, Version: "v1", Weights: "2"}}, true, SameVersion, "2"},
		"known, one version of the weights":  {[]string{"v1"}, []Answer{{Known: true, Version: "v1", Weights: "2"}}, false, SameVersion, "2"},
		"not known":                          {[]string{"v1"}, []Answer{{}}, true, Nowhere, ""},
		"not known, no version of software":  {nil, nil, true, Nowhere, ""},
		"known elsewhere, without weights":   {[]string{"v1", "v2"}, []Answer{{}, {Known: true, Version: "v1"}}, true, Nowhere, ""},
		"not known, one version of weights":  {[]string{"v1"}, []Answer{{}}, false, AnyVersion, ""},
		"known, of servers that state none":  {[]string{"v1"}, []Answer{{Known: true, Version: "v1"}}, false, SameVersion, ""},
		"one version here, another answered": {[]string{"v1"}, []Answer{{}, {Versions: []string{"v2"}}}, false, Nowhere, ""},
	} {
		decision, origin := Decide(Seen{Versions: c.versions, MixedWeights: c.mixed}, c.answers, true)
		require.Equal(t, c.decision, decision, name)
		require.Equal(t, c.weights, origin.Weights, name)
	}
}

// TestWeightsAreRememberedAsLongAsTheirStreams checks when streams may have been made with
// several versions of the weights.
func TestWeightsAreRememberedAsLongAsTheirStreams(t *testing.T) {
	o := New(0)
	require.False(t, o.MixedWeights(0))
	o.SeeWeights(0, "1")
	require.False(t, o.MixedWeights(0))
	o.SeeWeights(time.Second, "2")
	require.True(t, o.MixedWeights(Memory))
	require.False(t, o.MixedWeights(Memory+time.Millisecond))
	for i := range 100 {
		o.SeeWeights(time.Duration(i)*Memory, fmt.Sprint(i))
	}
	require.LessOrEqual(t, len(o.seenWeights), 2)
}

// TestStreamsFromBeforeSecondVersionAreAnnounced checks that other gateways learn of the
// streams that were in progress when servers of a second version came.
func TestStreamsFromBeforeSecondVersionAreAnnounced(t *testing.T) {
	o := New(0)
	require.Empty(t, o.SetVersions(0, []string{"v1"}))
	early := Origin{Stream: StreamOf("me", "r1"), Version: "v1"}
	require.False(t, o.Begin(time.Second, early), "one version")
	require.Equal(t, []Origin{early}, o.SetVersions(2*time.Second, []string{"v1", "v2"}))
	require.Empty(t, o.SetVersions(3*time.Second, []string{"v2", "v1"}), "announced once")
	require.True(t, o.Begin(3*time.Second, Origin{Stream: StreamOf("me", "r2"), Version: "v2"}))
}

// TestVersionIsRememberedAsLongAsItsStreams checks that streams of servers that have
// left are not thought to be of the version that remains.
func TestVersionIsRememberedAsLongAsItsStreams(t *testing.T) {
	o := New(0)
	o.SetVersions(0, []string{"v1"})
	o.SetVersions(time.Minute, []string{"v2"})
	require.True(t, o.Mixed(time.Minute+Memory))
	require.False(t, o.Mixed(time.Minute+Memory+time.Second))
	require.Equal(t, []string{"v2"}, o.Versions(2*time.Minute))
}

// TestStreamsAreKeyedByCaller checks that a caller can't take up another one's stream.
func TestStreamsAreKeyedByCaller(t *testing.T) {
	o := New(0)
	o.Begin(0, Origin{Stream: StreamOf("me", "r1"), Version: "v1"})
	_, known := o.Find(StreamOf("you", "r1"))
	require.False(t, known)
	origin, known := o.Find(StreamOf("me", "r1"))
	require.True(t, known)
	require.Equal(t, "v1", origin.Version)
}

// TestMemoryIsBounded checks that streams are forgotten, but not too soon.
func TestMemoryIsBounded(t *testing.T) {
	o := New(0)
	for i := range 5 * maxStreams {
		o.Begin(time.Duration(i)*time.Microsecond, Origin{Stream: Stream(i), Version: "v1"})
	}
	require.LessOrEqual(t, len(o.recent)+len(o.older), 2*maxStreams)
	require.LessOrEqual(t, len(o.ownRecent)+len(o.ownOlder), 2*maxStreams)
	o.Begin(time.Minute, Origin{Stream: 1, Version: "v1"})
	o.Begin(time.Minute+Memory, Origin{Stream: 2, Version: "v1"})
	_, known := o.Find(1)
	require.True(t, known)
	o.Begin(time.Minute+2*Memory, Origin{Stream: 3, Version: "v1"})
	_, known = o.Find(1)
	require.False(t, known)
}
