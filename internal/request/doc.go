// Package request implements the state machines that decide about one request:
// whether an attempt may be executed (Gate), whether a stream of frames is the
// complete response to it (Assembler), and which step follows an event, up to
// the final result for the caller (Next).
//
// All of them are pure: they map state, event and time to a result. Nothing in
// this package blocks, logs, reads a clock, starts a goroutine or takes a lock;
// the caller guards values that are shared between goroutines.
package request
