package usage

import (
	"cmp"
	"maps"
	"slices"
)

// Source is a counter whose batches are contained in a ledger.
type Source struct {
	Gateway     string
	Incarnation uint64
	// Number of the latest batch that is contained.
	Number uint64
}

// Window is a window with its counts.
type Window struct {
	Number int64
	Counts Counts
}

// maxUnsent is the number of closed windows that are kept until they are reported.
const maxUnsent = 4096

// Ledger holds the sums of all gateways. Its zero value is that of a fleet that has never
// counted.
type Ledger struct {
	// next is the next window to close; 0 before the first one is known.
	next int64
	// sources are the latest batches contained, and stored those of them that the stored
	// ledger contains.
	sources, stored map[string]Source
	open            Windows
	// closed are the windows whose counts are final and that are not reported, in order.
	closed []Window
	// late counts runs that came after their window was closed.
	late int64
}

// State is the content of a ledger, as it is stored.
type State struct {
	Next    int64
	Sources []Source
	Open    []Window
	Closed  []Window
}

// NewLedger returns a ledger with stored content.
func NewLedger(s State) *Ledger {
	l := &Ledger{next: s.Next, sources: make(map[string]Source), stored: make(map[string]Source), open: make(Windows), closed: s.Closed}
	for _, source := range s.Sources {
		l.sources[source.Gateway], l.stored[source.Gateway] = source, source
	}
	for _, w := range s.Open {
		l.open.add(w.Number, w.Counts)
	}
	return l
}

// State returns a copy of the content to be stored, in a fixed order.
func (l *Ledger) State() State {
	s := State{Next: l.next, Closed: slices.Clone(l.closed)}
	for _, source := range l.sources {
		s.Sources = append(s.Sources, source)
	}
	slices.SortFunc(s.Sources, func(a, b Source) int { return cmp.Compare(a.Gateway, b.Gateway) })
	for number, counts := range l.open.clone() {
		s.Open = append(s.Open, Window{Number: number, Counts: counts})
	}
	slices.SortFunc(s.Open, func(a, b Window) int { return cmp.Compare(a.Number, b.Number) })
	return s
}

// Begin makes a window the first to be reported, unless an earlier one is due already.
func (l *Ledger) Begin(window int64) {
	if l.next == 0 {
		l.next = window
	}
}

// Next returns the next window to close; 0 before Begin.
func (l *Ledger) Next() int64 { return l.next }

// Acknowledged returns the latest batch of a gateway that the stored ledger contains, which
// the gateway may discard. It is the zero value for an unknown gateway.
func (l *Ledger) Acknowledged(gateway string) Source { return l.stored[gateway] }

// Stored records that the ledger, as it is, has been stored.
func (l *Ledger) Stored() { l.stored = maps.Clone(l.sources) }

// Apply adds a batch of a gateway and reports whether that changed the ledger. The batch must
// be the answer to a collection that acknowledged what Acknowledged returns. Until the ledger
// is stored, further batches of the gateway are not added, because they contain the first one
// again. Incarnations are not ordered, since the time of day from which they come may go back.
//
// A batch may state that more windows are final than the ledger knows, because the store was
// restored from an older copy. Their reports may have been sent with counts that nobody has
// any more, so that they are not reported again.
func (l *Ledger) Apply(gateway string, b Batch) bool {
	skipped := b.Next > l.next && l.next > 0
	if skipped {
		l.skipTo(b.Next)
	}
	known := l.stored[gateway]
	if l.sources[gateway] != known || b.Incarnation == known.Incarnation && b.Number <= known.Number {
		return skipped
	}
	l.sources[gateway] = Source{Gateway: gateway, Incarnation: b.Incarnation, Number: b.Number}
	for window, counts := range b.Windows {
		if window < l.next {
			for _, n := range counts {
				l.late += n
			}
			continue
		}
		l.open.add(window, counts)
	}
	return true
}

// Close makes the counts of all windows before the given one final.
func (l *Ledger) Close(before int64) {
	if l.next == 0 {
		return
	}
	// After a very long outage the oldest windows are dropped, which bounds the memory.
	if oldest := before - maxUnsent; l.next < oldest {
		l.next = oldest
	}
	for ; l.next < before; l.next++ {
		counts := l.open[l.next]
		if counts == nil {
			counts = make(Counts)
		}
		l.closed = append(l.closed, Window{Number: l.next, Counts: counts})
	}
	l.skipTo(l.next)
	l.closed = l.closed[max(0, len(l.closed)-maxUnsent):]
}

// skipTo makes a window the next one to close and drops the open ones before it.
func (l *Ledger) skipTo(window int64) {
	l.next = window
	maps.DeleteFunc(l.open, func(number int64, _ Counts) bool { return number < window })
}

// Unsent returns a copy of the list of closed windows that are not known to be reported, oldest
// first. Answered may be called while the caller iterates over it.
func (l *Ledger) Unsent() []Window { return slices.Clone(l.closed) }

// Answered removes a closed window, because its report was accepted.
func (l *Ledger) Answered(window int64) {
	l.closed = slices.DeleteFunc(l.closed, func(w Window) bool { return w.Number == window })
}

// Late returns the number of runs that came after their window was closed, and are in no
// report.
func (l *Ledger) Late() int64 { return l.late }
