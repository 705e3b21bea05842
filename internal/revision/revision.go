// Package revision defines the revisions of the platform's store.
//
// The store counts its changes. When it is restored from an older copy the
// count goes back, and the same numbers are given out again for other changes.
// The store therefore also counts its restores: all revisions between two
// restores belong to one generation.
package revision

import "log/slog"

// numberBits is the number of low bits of a Revision that hold the number. The
// remaining 20 bits hold the generation.
const numberBits = 44

// Revision is a revision of the store together with its generation. Revisions
// compare by generation first, with the ordinary operators. 0 is before all
// revisions.
type Revision uint64

// Join returns the revision with a number in a generation.
func Join(generation, number uint64) Revision {
	return Revision(generation<<numberBits | number&(1<<numberBits-1))
}

// Generation returns the generation, 0 if the store does not report it.
func (r Revision) Generation() uint64 { return uint64(r) >> numberBits }

// Number returns the number, which is unique within the generation.
func (r Revision) Number() uint64 { return uint64(r) & (1<<numberBits - 1) }

// LogValue implements slog.LogValuer.
func (r Revision) LogValue() slog.Value {
	if r.Generation() == 0 {
		return slog.Uint64Value(r.Number())
	}
	return slog.GroupValue(slog.Uint64("generation", r.Generation()), slog.Uint64("number", r.Number()))
}
