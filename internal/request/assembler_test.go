package request

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// responseFrames returns the frames of a response with one-byte tokens, from
// the given token on.
func responseFrames(t *rapid.T, attemptID string, response []byte, token int) []*peerv1.Frame {
	f := NewFramer(attemptID, int64(token))
	frames := []*peerv1.Frame{f.Started(nil), f.Head(200, "text/plain")}
	for token < len(response) {
		n := rapid.IntRange(1, len(response)-token).Draw(t, "piece")
		frames = append(frames, f.Data(response[token:token+n], int32(n)))
		token += n
	}
	return append(frames, f.End(nil))
}

// corruptFrames injects one fault, or none, into a stream of frames.
func corruptFrames(t *rapid.T, frames, foreign []*peerv1.Frame) []*peerv1.Frame {
	i := rapid.IntRange(0, len(frames)-1).Draw(t, "at")
	j := rapid.IntRange(0, len(frames)-1).Draw(t, "and")
	corrupted := append([]*peerv1.Frame{}, frames...)
	switch rapid.SampledFrom([]string{"", "drop", "double", "swap", "cross", "cut", "flip", "mix", "renumber"}).Draw(t, "fault") {
	case "drop":
		return append(corrupted[:i], corrupted[i+1:]...)
	case "double":
		return append(corrupted[:i+1], frames[i:]...)
	case "swap":
		corrupted[i], corrupted[j] = corrupted[j], corrupted[i]
	case "cross":
		return append(append(corrupted[:i:i], foreign...), frames[i:]...)
	case "cut":
		return corrupted[:i]
	case "flip":
		corrupted[i] = changed(corrupted[i], func(f *peerv1.Frame) {
			if len(f.Data) > 0 {
				f.Data = bytes.Clone(f.Data)
				f.Data[0] ^= 1
			}
		})
	case "mix":
		other := foreign[j%len(foreign)]
		corrupted[i] = changed(corrupted[i], func(f *peerv1.Frame) { f.Data = other.Data })
	case "renumber":
		corrupted = append(corrupted[:i], corrupted[i+1:]...)
		for n := range corrupted {
			corrupted[n] = changed(corrupted[n], func(f *peerv1.Frame) { f.Seq = uint64(n) })
		}
	}
	return corrupted
}

func changed(f *peerv1.Frame, change func(*peerv1.Frame)) *peerv1.Frame {
	c := proto.Clone(f).(*peerv1.Frame)
	change(c)
	return c
}

// frameAccepter is implemented by Assembler and by faultyAssembler.
type frameAccepter interface {
	Accept(f *peerv1.Frame) FrameResult
}

// faultyAssembler verifies nothing and passes on the data of every frame until
// an end frame.
type faultyAssembler struct{}

func (faultyAssembler) Accept(f *peerv1.Frame) FrameResult {
	return FrameResult{Verdict: FrameAccepted, Data: f.GetData(), Complete: f.GetKind() == peerv1.FrameKind_FRAME_KIND_END}
}

// receive runs attempts over corrupted streams until one is complete, and
// returns what the caller received.
func receive(t *rapid.T, response []byte, open func(AssemblerOptions) frameAccepter) (got []byte, complete bool) {
	other := []byte("the answer to somebody else's request")
	have := NewProgress()
	resume := rapid.Bool().Draw(t, "resume")
	for n := range rapid.IntRange(1, 5).Draw(t, "attempts") {
		id := testID(epoch, n)
		from := 0
		if resume {
			from = int(have.Tokens)
		}
		foreign := responseFrames(t, testID(epoch, n+100), other, 0)
		frames := corruptFrames(t, responseFrames(t, id, response, from), foreign)
		a := open(AssemblerOptions{AttemptID: id, Prior: have, Resume: resume})
		for _, f := range frames {
			out := a.Accept(f)
			got = append(got, out.Data...)
			if out.Complete {
				return got, true
			}
		}
		if assembler, ok := a.(*Assembler); ok {
			have = assembler.Progress()
		}
	}
	return got, false
}

// TestAssemblerDeliversEachByteOnce checks that, regardless of the faults, the
// caller receives a prefix of its own response, and all of it if the response is
// reported as complete.
func TestAssemblerDeliversEachByteOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		response := rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(t, "answer")
		got, complete := receive(t, response, func(o AssemblerOptions) frameAccepter { return NewAssembler(o) })
		require.True(t, bytes.HasPrefix(response, got), "got %q of %q", got, response)
		if complete {
			require.Equal(t, response, got)
		}
	})
}

// TestFaultyAssemblerIsDetected checks that the injected faults defeat an
// assembler without verification.
func TestFaultyAssemblerIsDetected(t *testing.T) {
	bad := 0
	rapid.Check(t, func(t *rapid.T) {
		response := rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(t, "answer")
		got, complete := receive(t, response, func(AssemblerOptions) frameAccepter { return faultyAssembler{} })
		if !bytes.HasPrefix(response, got) || complete && !bytes.Equal(response, got) {
			bad++
		}
	})
	require.Positive(t, bad)
}

// TestAssemblerAcceptsIntactStreams checks that a stream without faults is
// delivered completely, both resumed and from its start.
func TestAssemblerAcceptsIntactStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		response := rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(t, "answer")
		have := NewProgress()
		n := rapid.IntRange(0, len(response)).Draw(t, "have")
		have.add(response[:n], int64(n))
		resume := rapid.Bool().Draw(t, "resume")
		from := 0
		if resume {
			from = n
		}
		a := NewAssembler(AssemblerOptions{AttemptID: "a", Prior: have, Resume: resume})
		got := append([]byte{}, response[:n]...)
		var last FrameResult
		for _, f := range responseFrames(t, "a", response, from) {
			last = a.Accept(f)
			require.Equal(t, FrameAccepted, last.Verdict, last.Detail)
			got = append(got, last.Data...)
		}
		require.True(t, last.Complete)
		require.Equal(t, response, got)
		require.Equal(t, FrameDuplicate, a.Accept(&peerv1.Frame{AttemptId: "a", Seq: 99}).Verdict)
	})
}

// TestAssemblerRejectsDifferentResponseOnRetry guards against a response that
// is composed of parts of two different ones.
func TestAssemblerRejectsDifferentResponseOnRetry(t *testing.T) {
	have := NewProgress()
	have.add([]byte("yes"), 1)
	a := NewAssembler(AssemblerOptions{AttemptID: "b", Prior: have})
	out := a.Accept(NewFramer("b", 0).Data([]byte("no, never"), 1))
	require.Equal(t, FrameCorrupt, out.Verdict)
	require.Empty(t, out.Data)
}

// TestAssemblerRejectsResumeAtWrongToken guards against an engine that repeats
// tokens which the caller already has.
func TestAssemblerRejectsResumeAtWrongToken(t *testing.T) {
	have := NewProgress()
	have.add([]byte("one two"), 2)
	a := NewAssembler(AssemblerOptions{AttemptID: "b", Prior: have, Resume: true})
	out := a.Accept(NewFramer("b", 1).Data([]byte(" two"), 1))
	require.Equal(t, FrameCorrupt, out.Verdict)
}

// BenchmarkAssembler measures building and verifying one data frame.
func BenchmarkAssembler(b *testing.B) {
	f := NewFramer("a", 0)
	a := NewAssembler(AssemblerOptions{AttemptID: "a", Prior: NewProgress()})
	data := make([]byte, 32)
	b.ReportAllocs()
	b.SetBytes(int64(len(data)))
	for range b.N {
		a.Accept(f.Data(data, 8))
	}
}

// TestHeadWithoutStatusIsCorrupt checks that a response whose status is none, or one of an
// interim response, is not relayed.
func TestHeadWithoutStatusIsCorrupt(t *testing.T) {
	for status, want := range map[int32]FrameVerdict{
		-1: FrameCorrupt, 0: FrameCorrupt, 99: FrameCorrupt, 100: FrameCorrupt, 150: FrameCorrupt, 199: FrameCorrupt, 1000: FrameCorrupt,
		200: FrameAccepted, 404: FrameAccepted, 500: FrameAccepted, 599: FrameAccepted, 999: FrameAccepted,
	} {
		f := NewFramer("a", 0)
		a := NewAssembler(AssemblerOptions{AttemptID: "a", Prior: NewProgress()})
		require.Equal(t, FrameAccepted, a.Accept(f.Started(nil)).Verdict)
		require.Equal(t, want, a.Accept(f.Head(status, "text/plain")).Verdict, status)
		require.Equal(t, want == FrameAccepted, a.Accept(f.End(nil)).Complete, status)
	}
}
