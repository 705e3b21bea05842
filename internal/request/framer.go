package request

import (
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// Framer builds the frames of one attempt's response, with the sequence
// numbers, byte counts and checksums that an Assembler verifies. It is not safe
// for concurrent use.
type Framer struct {
	attemptID   string
	stream      Progress
	resumeToken int64
	nextSeq     uint64
}

// NewFramer returns a Framer for an attempt whose response continues after the
// first resumeToken output tokens; 0 starts at the beginning.
func NewFramer(attemptID string, resumeToken int64) *Framer {
	return &Framer{attemptID: attemptID, stream: NewProgress(), resumeToken: resumeToken}
}

// Started returns the frame stating that the attempt was started.
func (f *Framer) Started(load *peerv1.Load) *peerv1.Frame {
	frame := f.frame(peerv1.FrameKind_FRAME_KIND_STARTED)
	frame.Load = load
	return frame
}

// Head returns the frame with the HTTP status and content type.
func (f *Framer) Head(status int32, contentType string) *peerv1.Frame {
	frame := f.frame(peerv1.FrameKind_FRAME_KIND_HEAD)
	frame.Status = status
	frame.ContentType = contentType
	return frame
}

// Data returns a frame with a piece of the response that contains the given
// number of output tokens. The frame retains data.
func (f *Framer) Data(data []byte, tokens int32) *peerv1.Frame {
	frame := f.frame(peerv1.FrameKind_FRAME_KIND_DATA)
	frame.TokenIndex = f.resumeToken + f.stream.Tokens
	f.stream.add(data, int64(tokens))
	frame.Data = data
	frame.Tokens = tokens
	f.addChecksum(frame)
	return frame
}

// End returns the last frame of a complete response.
func (f *Framer) End(load *peerv1.Load) *peerv1.Frame {
	frame := f.frame(peerv1.FrameKind_FRAME_KIND_END)
	frame.Load = load
	f.addChecksum(frame)
	return frame
}

// Failed returns the last frame of an attempt without a complete response.
func (f *Framer) Failed(reason peerv1.RefusalReason, ran peerv1.Ran, detail string) *peerv1.Frame {
	frame := f.frame(peerv1.FrameKind_FRAME_KIND_FAILED)
	frame.Reason = reason
	frame.Ran = ran
	frame.Detail = detail
	return frame
}

// frame returns a frame with the next sequence number.
func (f *Framer) frame(kind peerv1.FrameKind) *peerv1.Frame {
	frame := &peerv1.Frame{AttemptId: f.attemptID, Seq: f.nextSeq, Kind: kind}
	f.nextSeq++
	return frame
}

// addChecksum sets byte count and checksum of the stream so far.
func (f *Framer) addChecksum(frame *peerv1.Frame) {
	frame.Bytes = f.stream.Bytes
	frame.Checksum = f.stream.digest.Sum64()
}
