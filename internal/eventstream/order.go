package eventstream

import (
	"errors"
	"fmt"
	"strconv"
)

// ErrOutOfOrder is returned for an event that does not follow those before it: its ID is
// not greater, or events are missing where a server continues the stream.
var ErrOutOfOrder = errors.New("event out of order")

// Order checks that the IDs of a stream's events increase, across all servers that bring a
// part of it. IDs that are decimal numbers are compared as such. Of other IDs only a
// repetition of the latest one can be recognized. Events without an ID have no order. One
// server may leave numbers out; where a server continues the stream none may be missing,
// unless numbers are known to be left out. The zero Order is at the beginning of a stream.
type Order struct {
	// last is the latest ID; empty if there was none.
	last string
	// number is the greatest number among the IDs, if hasNumber is set.
	number    uint64
	hasNumber bool
	// gaps is set once numbers are known to be left out.
	gaps bool
	// joined is set until the first event of a server that continues the stream.
	joined bool
}

// OrderAfter returns the order of a stream whose caller has the events up to the one with
// an ID; empty if it has none.
func OrderAfter(id string) Order {
	o := Order{last: id}
	o.number, o.hasNumber = parseID(id)
	return o
}

// Join records that the next event comes from a server that continues the stream. AllowGaps
// is set if such servers are known to leave numbers out.
func (o *Order) Join(allowGaps bool) {
	o.joined = true
	o.gaps = o.gaps || allowGaps
}

// HasGaps reports whether numbers are known to be left out.
func (o *Order) HasGaps() bool { return o.gaps }

// Next records the ID of the next event. It returns an error that wraps ErrOutOfOrder, and
// records nothing, if the event does not follow.
func (o *Order) Next(id string) error {
	number, isNumber := parseID(id)
	areNumbers := isNumber && o.hasNumber
	isGap := areNumbers && number != o.number+1
	switch {
	case id == o.last || areNumbers && number <= o.number:
		return fmt.Errorf("%w: ID %q after %q", ErrOutOfOrder, id, o.last)
	case isGap && o.joined && !o.gaps:
		return fmt.Errorf("%w: ID %q after %q, events are missing", ErrOutOfOrder, id, o.last)
	}
	if isNumber {
		o.gaps = o.gaps || isGap
		o.number, o.hasNumber = number, true
	}
	o.last, o.joined = id, false
	return nil
}

// Comparable reports whether the order of a continuation could be checked: the latest ID is
// a number, or there is none.
func (o *Order) Comparable() bool {
	_, isNumber := parseID(o.last)
	return o.last == "" || isNumber
}

// parseID parses an ID that is a decimal number.
func parseID(id string) (uint64, bool) {
	number, err := strconv.ParseUint(id, 10, 64)
	return number, err == nil
}
