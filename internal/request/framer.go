package request

import (
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// Framer numbers and sums the frames of one attempt's answer, as an Assembler
// expects them. It is not safe for concurrent use.
type Framer struct {
	attemptID string
	stream    Progress
	from      int64
	next      uint64
}

// NewFramer returns a Framer for an attempt whose answer goes on after from
// output tokens.
func NewFramer(attemptID string, from int64) *Framer {
	return &Framer{attemptID: attemptID, stream: NewProgress(), from: from}
}

// Started returns the frame that says the attempt passed the gate.
func (f *Framer) Started(load *peerv1.Load) *peerv1.Frame {
	frame := f.frame(peerv1.FrameKind_FRAME_KIND_STARTED)
	frame.Load = load
	return frame
}

// Head returns the frame with HTTP status and content type.
func (f *Framer) Head(status int32, contentType string) *peerv1.Frame {
	frame := f.frame(peerv1.FrameKind_FRAME_KIND_HEAD)
	frame.Status = status
	frame.ContentType = contentType
	return frame
}

// Data returns the frame of a piece of the answer with its output tokens. The
// frame keeps data.
func (f *Framer) Data(data []byte, tokens int32) *peerv1.Frame {
	frame := f.frame(peerv1.FrameKind_FRAME_KIND_DATA)
	frame.TokenIndex = f.from + f.stream.Tokens
	f.stream.add(data, int64(tokens))
	frame.Data = data
	frame.Tokens = tokens
	f.sum(frame)
	return frame
}

// End returns the frame that closes a whole answer.
func (f *Framer) End(load *peerv1.Load) *peerv1.Frame {
	frame := f.frame(peerv1.FrameKind_FRAME_KIND_END)
	frame.Load = load
	f.sum(frame)
	return frame
}

// Failed returns the frame that closes an attempt without a whole answer.
func (f *Framer) Failed(reason peerv1.RefusalReason, ran peerv1.Ran, detail string) *peerv1.Frame {
	frame := f.frame(peerv1.FrameKind_FRAME_KIND_FAILED)
	frame.Reason = reason
	frame.Ran = ran
	frame.Detail = detail
	return frame
}

// frame returns the next frame of a kind.
func (f *Framer) frame(kind peerv1.FrameKind) *peerv1.Frame {
	frame := &peerv1.Frame{AttemptId: f.attemptID, Seq: f.next, Kind: kind}
	f.next++
	return frame
}

// sum adds byte count and checksum of the stream so far.
func (f *Framer) sum(frame *peerv1.Frame) {
	frame.Bytes = f.stream.Bytes
	frame.Checksum = f.stream.digest.Sum64()
}
