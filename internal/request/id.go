package request

import (
	"time"

	"github.com/google/uuid"
)

// timeOrderedVersion is the UUID version that begins with the time of issue.
const timeOrderedVersion = 7

// IssuedAt returns the time of issue contained in a UUID of version 7, with a
// resolution of one millisecond. It reports false for any other string.
func IssuedAt(id string) (time.Time, bool) {
	parsed, err := uuid.Parse(id)
	if err != nil || parsed.Version() != timeOrderedVersion {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range parsed[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// NewID returns a UUID of version 7 with the given time of issue and its other
// bits taken from random.
func NewID(issued time.Time, random [10]byte) string {
	var id uuid.UUID
	ms := issued.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	copy(id[6:], random[:])
	id[6] = id[6]&0x0f | timeOrderedVersion<<4
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}
