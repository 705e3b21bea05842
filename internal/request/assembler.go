package request

import (
	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/responsehead"
)

// Progress is the part of a response that the caller has received, over all
// attempts.
type Progress struct {
	// Bytes and Tokens count what the caller has received.
	Bytes  uint64
	Tokens int64
	digest xxhash.Digest
}

// NewProgress returns the Progress of a caller that has received nothing.
func NewProgress() Progress {
	var p Progress
	p.digest.Reset()
	return p
}

// add counts data as received by the caller.
func (p *Progress) add(data []byte, tokens int64) {
	p.Bytes += uint64(len(data))
	p.Tokens += tokens
	_, _ = p.digest.Write(data)
}

// FrameVerdict classifies a frame received by an Assembler.
type FrameVerdict int

// Verdicts on a frame.
const (
	// FrameAccepted: the frame continues the response.
	FrameAccepted FrameVerdict = iota + 1
	// FrameWrongAttempt: the frame belongs to another attempt and was dropped.
	FrameWrongAttempt
	// FrameDuplicate: the frame was received before, or came after the last frame
	// or after FrameCorrupt, and was dropped.
	FrameDuplicate
	// FrameCorrupt: the stream has a gap, a wrong checksum or a status that is none. No
	// later frame of the attempt is accepted.
	FrameCorrupt
)

// FrameResult is the result of accepting one frame.
type FrameResult struct {
	Verdict FrameVerdict
	// Data and Tokens are to be passed to the caller now. The Assembler counts
	// them as received by the caller.
	Data   []byte
	Tokens int64
	// Complete is set by the end frame of a complete response.
	Complete bool
	// Failed is set by the last frame of an attempt without a complete response.
	Failed bool
	// Detail explains FrameCorrupt.
	Detail string
}

// AssemblerOptions describes the attempt whose response is assembled.
type AssemblerOptions struct {
	AttemptID string
	// Prior is what the caller has received from earlier attempts.
	Prior Progress
	// Resume is set if the attempt was asked to continue after Prior.Tokens.
	// Otherwise its response starts from the beginning, and the part that the
	// caller already has is compared and skipped.
	Resume bool
}

// Assembler verifies the frames of one attempt and assembles them, so that the
// caller receives each byte of its own response exactly once and in order. It
// is not safe for concurrent use.
type Assembler struct {
	opts AssemblerOptions
	// progress is what the caller has received; stream is the response of this
	// attempt as far as it has been verified.
	progress     Progress
	stream       Progress
	nextSeq      uint64
	headReceived bool
	closed       bool
	corrupt      bool
}

// NewAssembler returns an Assembler for the first frame of an attempt.
func NewAssembler(opts AssemblerOptions) *Assembler {
	return &Assembler{opts: opts, progress: opts.Prior, stream: NewProgress()}
}

// Progress returns what the caller has received, this attempt included.
func (a *Assembler) Progress() Progress { return a.progress }

// Accept processes the next frame received.
func (a *Assembler) Accept(f *peerv1.Frame) FrameResult {
	switch {
	case f.GetAttemptId() != a.opts.AttemptID:
		return FrameResult{Verdict: FrameWrongAttempt}
	case a.corrupt || a.closed || f.GetSeq() < a.nextSeq:
		return FrameResult{Verdict: FrameDuplicate}
	case f.GetSeq() > a.nextSeq:
		return a.fail("frames are missing")
	}
	a.nextSeq++
	switch f.GetKind() {
	case peerv1.FrameKind_FRAME_KIND_STARTED:
		return FrameResult{Verdict: FrameAccepted}
	case peerv1.FrameKind_FRAME_KIND_HEAD:
		return a.acceptHead(f)
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

// acceptHead accepts a single head frame before any data.
func (a *Assembler) acceptHead(f *peerv1.Frame) FrameResult {
	if a.headReceived || a.stream.Bytes > 0 {
		return a.fail("head out of order")
	}
	if err := responsehead.CheckFinalStatus(int(f.GetStatus())); err != nil {
		return a.fail(err.Error())
	}
	a.headReceived = true
	return FrameResult{Verdict: FrameAccepted}
}

// acceptData verifies one piece of the response and returns the part of it that
// the caller does not have yet.
func (a *Assembler) acceptData(f *peerv1.Frame) FrameResult {
	if f.GetTokenIndex() != a.tokenIndex() {
		return a.fail("tokens out of order")
	}
	before := a.stream
	a.stream.add(f.GetData(), int64(f.GetTokens()))
	if !a.checksumMatches(f) {
		return a.fail("checksum of data does not match")
	}
	if a.opts.Resume {
		return a.deliver(f.GetData(), int64(f.GetTokens()))
	}
	return a.deliverBeyondPrior(f, before)
}

// tokenIndex returns the index that the next token of the response must have.
func (a *Assembler) tokenIndex() int64 {
	if a.opts.Resume {
		return a.opts.Prior.Tokens + a.stream.Tokens
	}
	return a.stream.Tokens
}

// checksumMatches reports whether byte count and checksum of a frame match the
// stream so far.
func (a *Assembler) checksumMatches(f *peerv1.Frame) bool {
	return f.GetBytes() == a.stream.Bytes && f.GetChecksum() == a.stream.digest.Sum64()
}

// deliverBeyondPrior skips what the caller has from earlier attempts, after
// verifying that the new response begins with the same bytes.
func (a *Assembler) deliverBeyondPrior(f *peerv1.Frame, before Progress) FrameResult {
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

// deliver counts data as received by the caller.
func (a *Assembler) deliver(data []byte, tokens int64) FrameResult {
	a.progress.add(data, tokens)
	return FrameResult{Verdict: FrameAccepted, Data: data, Tokens: tokens}
}

// acceptEnd distinguishes a complete response from a truncated one.
func (a *Assembler) acceptEnd(f *peerv1.Frame) FrameResult {
	if !a.checksumMatches(f) {
		return a.fail("answer is truncated or its checksum does not match")
	}
	if !a.opts.Resume && a.stream.Bytes < a.opts.Prior.Bytes {
		return a.fail("answer is shorter than the part the caller has")
	}
	a.closed = true
	return FrameResult{Verdict: FrameAccepted, Complete: true}
}

// fail marks the stream as corrupt.
func (a *Assembler) fail(detail string) FrameResult {
	a.corrupt = true
	return FrameResult{Verdict: FrameCorrupt, Detail: detail}
}
