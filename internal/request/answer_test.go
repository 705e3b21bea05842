package request

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// answerFrames returns the frames of an answer of one-byte tokens, from token
// number from on.
func answerFrames(t *rapid.T, attemptID string, answer []byte, from int) []*peerv1.Frame {
	f := NewFramer(attemptID, int64(from))
	frames := []*peerv1.Frame{f.Started(nil), f.Head(200, "text/plain")}
	for from < len(answer) {
		n := rapid.IntRange(1, len(answer)-from).Draw(t, "piece")
		frames = append(frames, f.Data(answer[from:from+n], int32(n)))
		from += n
	}
	return append(frames, f.End(nil))
}

// spoil breaks a stream of frames in one way.
func spoil(t *rapid.T, frames, foreign []*peerv1.Frame) []*peerv1.Frame {
	i := rapid.IntRange(0, len(frames)-1).Draw(t, "at")
	j := rapid.IntRange(0, len(frames)-1).Draw(t, "and")
	spoiled := append([]*peerv1.Frame{}, frames...)
	switch rapid.SampledFrom([]string{"", "drop", "double", "swap", "cross", "cut", "flip", "mix", "renumber"}).Draw(t, "fault") {
	case "drop":
		return append(spoiled[:i], spoiled[i+1:]...)
	case "double":
		return append(spoiled[:i+1], frames[i:]...)
	case "swap":
		spoiled[i], spoiled[j] = spoiled[j], spoiled[i]
	case "cross":
		return append(append(spoiled[:i:i], foreign...), frames[i:]...)
	case "cut":
		return spoiled[:i]
	case "flip":
		spoiled[i] = changed(spoiled[i], func(f *peerv1.Frame) {
			if len(f.Data) > 0 {
				f.Data = bytes.Clone(f.Data)
				f.Data[0] ^= 1
			}
		})
	case "mix":
		other := foreign[j%len(foreign)]
		spoiled[i] = changed(spoiled[i], func(f *peerv1.Frame) { f.Data = other.Data })
	case "renumber":
		spoiled = append(spoiled[:i], spoiled[i+1:]...)
		for n := range spoiled {
			spoiled[n] = changed(spoiled[n], func(f *peerv1.Frame) { f.Seq = uint64(n) })
		}
	}
	return spoiled
}

func changed(f *peerv1.Frame, change func(*peerv1.Frame)) *peerv1.Frame {
	c := proto.Clone(f).(*peerv1.Frame)
	change(c)
	return c
}

// assembler is an Assembler, or a naive one.
type assembler interface {
	Accept(f *peerv1.Frame) FrameResult
}

// naiveAssembler passes on whatever arrives until something says end.
type naiveAssembler struct{}

func (naiveAssembler) Accept(f *peerv1.Frame) FrameResult {
	return FrameResult{Verdict: FrameAccepted, Data: f.GetData(), Complete: f.GetKind() == peerv1.FrameKind_FRAME_KIND_END}
}

// receive runs attempts over spoiled streams until one is whole, and returns
// what the caller got.
func receive(t *rapid.T, answer []byte, open func(AssemblerOptions) assembler) (got []byte, whole bool) {
	other := []byte("the answer to somebody else's request")
	have := NewProgress()
	resume := rapid.Bool().Draw(t, "resume")
	for n := range rapid.IntRange(1, 5).Draw(t, "attempts") {
		id := testID(epoch, n)
		from := 0
		if resume {
			from = int(have.Tokens)
		}
		foreign := answerFrames(t, testID(epoch, n+100), other, 0)
		frames := spoil(t, answerFrames(t, id, answer, from), foreign)
		a := open(AssemblerOptions{AttemptID: id, Prior: have, Resume: resume})
		for _, f := range frames {
			out := a.Accept(f)
			got = append(got, out.Data...)
			if out.Complete {
				return got, true
			}
		}
		if real, ok := a.(*Assembler); ok {
			have = real.Progress()
		}
	}
	return got, false
}

func TestAssemblerDeliversEachByteOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		answer := rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(t, "answer")
		got, whole := receive(t, answer, func(o AssemblerOptions) assembler { return NewAssembler(o) })
		require.True(t, bytes.HasPrefix(answer, got), "got %q of %q", got, answer)
		if whole {
			require.Equal(t, answer, got)
		}
	})
}

func TestAssemblerNaiveIsSeenToMixUp(t *testing.T) {
	bad := 0
	rapid.Check(t, func(t *rapid.T) {
		answer := rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(t, "answer")
		got, whole := receive(t, answer, func(AssemblerOptions) assembler { return naiveAssembler{} })
		if !bytes.HasPrefix(answer, got) || whole && !bytes.Equal(answer, got) {
			bad++
		}
	})
	require.Positive(t, bad)
}

func TestAssemblerTakesCleanStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		answer := rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(t, "answer")
		have := NewProgress()
		n := rapid.IntRange(0, len(answer)).Draw(t, "have")
		have.add(answer[:n], int64(n))
		resume := rapid.Bool().Draw(t, "resume")
		from := 0
		if resume {
			from = n
		}
		a := NewAssembler(AssemblerOptions{AttemptID: "a", Prior: have, Resume: resume})
		got := append([]byte{}, answer[:n]...)
		var last FrameResult
		for _, f := range answerFrames(t, "a", answer, from) {
			last = a.Accept(f)
			require.Equal(t, FrameAccepted, last.Verdict, last.Detail)
			got = append(got, last.Data...)
		}
		require.True(t, last.Complete)
		require.Equal(t, answer, got)
		require.Equal(t, FrameDuplicate, a.Accept(&peerv1.Frame{AttemptId: "a", Seq: 99}).Verdict)
	})
}

func TestAssemblerRefusesAnotherAnswerOnRetry(t *testing.T) {
	have := NewProgress()
	have.add([]byte("yes"), 1)
	a := NewAssembler(AssemblerOptions{AttemptID: "b", Prior: have})
	out := a.Accept(NewFramer("b", 0).Data([]byte("no, never"), 1))
	require.Equal(t, FrameCorrupt, out.Verdict)
	require.Empty(t, out.Data)
}

func TestAssemblerResumedAtTheWrongToken(t *testing.T) {
	have := NewProgress()
	have.add([]byte("one two"), 2)
	a := NewAssembler(AssemblerOptions{AttemptID: "b", Prior: have, Resume: true})
	out := a.Accept(NewFramer("b", 1).Data([]byte(" two"), 1))
	require.Equal(t, FrameCorrupt, out.Verdict)
}

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
