package request

import (
	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// Progress is what a caller has of an answer, over all attempts.
type Progress struct {
	// Bytes and Tokens that the caller has.
	Bytes  uint64
	Tokens int64
	digest xxhash.Digest
}

// NewProgress returns the state of a caller that has nothing yet.
func NewProgress() Progress {
	var d Progress
	d.digest.Reset()
	return d
}

// add counts data as delivered.
func (d *Progress) add(data []byte, tokens int64) {
	d.Bytes += uint64(len(data))
	d.Tokens += tokens
	_, _ = d.digest.Write(data)
}

// FrameVerdict is what an Assembler makes of one frame.
type FrameVerdict int

// Verdicts on a frame.
const (
	// FrameAccepted says that the frame continues the answer.
	FrameAccepted FrameVerdict = iota + 1
	// FrameWrongAttempt says that it belongs to another attempt and was dropped.
	FrameWrongAttempt
	// FrameDuplicate says that it was seen before or came after the end, and
	// was dropped.
	FrameDuplicate
	// FrameCorrupt says that the stream has a gap or fails its checksum. No
	// later frame of the attempt is accepted.
	FrameCorrupt
)

// FrameResult answers one frame.
type FrameResult struct {
	Verdict FrameVerdict
	// Data and Tokens that the caller does not have yet and must be given
	// now. The Assembler counts them as delivered.
	Data   []byte
	Tokens int64
	// Complete is set by the end frame of a whole answer.
	Complete bool
	// Failed is set by the frame that closes an attempt without one.
	Failed bool
	// Detail says what is wrong with a broken stream.
	Detail string
}

// AssemblerOptions describes the attempt whose answer is awaited.
type AssemblerOptions struct {
	AttemptID string
	// Prior is what the caller has from earlier attempts.
	Prior Progress
	// Resume is set if the attempt was asked to go on after Have.Tokens;
	// otherwise its answer starts over and the part the caller has is
	// compared and left out.
	Resume bool
}

// Assembler puts the frames of one attempt together, so that the caller gets
// each byte of its own answer once and in order. It is not safe for
// concurrent use.
type Assembler struct {
	opts   AssemblerOptions
	have   Progress
	stream Progress
	next   uint64
	head   bool
	closed bool
	broken bool
}

// NewAssembler returns an Assembler that has seen no frame.
func NewAssembler(opts AssemblerOptions) *Assembler {
	return &Assembler{opts: opts, have: opts.Prior, stream: NewProgress()}
}

// Progress returns what the caller has, this attempt's part included.
func (a *Assembler) Progress() Progress { return a.have }

// Accept takes the next frame that arrived.
func (a *Assembler) Accept(f *peerv1.Frame) FrameResult {
	switch {
	case f.GetAttemptId() != a.opts.AttemptID:
		return FrameResult{Verdict: FrameWrongAttempt}
	case a.broken || a.closed || f.GetSeq() < a.next:
		return FrameResult{Verdict: FrameDuplicate}
	case f.GetSeq() > a.next:
		return a.fail("frames are missing")
	}
	a.next++
	switch f.GetKind() {
	case peerv1.FrameKind_FRAME_KIND_STARTED:
		return FrameResult{Verdict: FrameAccepted}
	case peerv1.FrameKind_FRAME_KIND_HEAD:
		return a.acceptHead()
	case peerv1.FrameKind_FRAME_KIND_DATA:
		return a.acceptData(f)
	case peerv1.FrameKind_FRAME_KIND_END:
		return a.acceptEnd(f)
	case peerv1.FrameKind_FRAME_KIND_FAILED:
		a.closed = true
		return FrameResult{Verdict: FrameAccepted, Failed: true}
	}
	return a.fail("unknown kind of frame")
}

// acceptHead lets one head through, before any data.
func (a *Assembler) acceptHead() FrameResult {
	if a.head || a.stream.Bytes > 0 {
		return a.fail("head out of order")
	}
	a.head = true
	return FrameResult{Verdict: FrameAccepted}
}

// acceptData checks one piece of the answer and returns what is new in it.
func (a *Assembler) acceptData(f *peerv1.Frame) FrameResult {
	if f.GetTokenIndex() != a.tokenIndex() {
		return a.fail("tokens out of order")
	}
	before := a.stream
	a.stream.add(f.GetData(), int64(f.GetTokens()))
	if !a.checks(f) {
		return a.fail("checksum of data does not match")
	}
	if a.opts.Resume {
		return a.deliver(f.GetData(), int64(f.GetTokens()))
	}
	return a.deliverNew(f, before)
}

// tokenIndex is the index that the next token of the answer must have.
func (a *Assembler) tokenIndex() int64 {
	if a.opts.Resume {
		return a.opts.Prior.Tokens + a.stream.Tokens
	}
	return a.stream.Tokens
}

// checks reports whether a frame's byte count and checksum are those of the
// stream so far.
func (a *Assembler) checks(f *peerv1.Frame) bool {
	return f.GetBytes() == a.stream.Bytes && f.GetChecksum() == a.stream.digest.Sum64()
}

// deliverNew leaves out what the caller has from an earlier attempt, after
// comparing it.
func (a *Assembler) deliverNew(f *peerv1.Frame, before Progress) FrameResult {
	data := f.GetData()
	have := a.opts.Prior.Bytes
	switch {
	case before.Bytes >= have:
		return a.deliver(data, int64(f.GetTokens()))
	case a.stream.Bytes < have:
		return FrameResult{Verdict: FrameAccepted}
	}
	known := have - before.Bytes
	_, _ = before.digest.Write(data[:known])
	if before.digest.Sum64() != a.opts.Prior.digest.Sum64() {
		return a.fail("answer differs from the part the caller has")
	}
	return a.deliver(data[known:], a.stream.Tokens-a.opts.Prior.Tokens)
}

// deliver counts data as the caller's.
func (a *Assembler) deliver(data []byte, tokens int64) FrameResult {
	a.have.add(data, tokens)
	return FrameResult{Verdict: FrameAccepted, Data: data, Tokens: tokens}
}

// acceptEnd tells a whole answer from a truncated one.
func (a *Assembler) acceptEnd(f *peerv1.Frame) FrameResult {
	if !a.checks(f) {
		return a.fail("answer is truncated or its checksum does not match")
	}
	if !a.opts.Resume && a.stream.Bytes < a.opts.Prior.Bytes {
		return a.fail("answer is shorter than the part the caller has")
	}
	a.closed = true
	return FrameResult{Verdict: FrameAccepted, Complete: true}
}

// fail marks the stream as broken.
func (a *Assembler) fail(detail string) FrameResult {
	a.broken = true
	return FrameResult{Verdict: FrameCorrupt, Detail: detail}
}
