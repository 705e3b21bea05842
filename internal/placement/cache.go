package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// chain returns a key for each part together with all before it.
func chain(parts []Part) []uint64 {
	keys := make([]uint64, len(parts))
	var d xxhash.Digest
	d.Reset()
	for i, p := range parts {
		_, _ = d.WriteString(p.ID)
		_, _ = d.Write([]byte{0})
		keys[i] = d.Sum64()
	}
	return keys
}

// held returns the tokens of the leading parts that a server is thought to
// have cached.
func (s *server) held(now time.Duration, parts []Part, keys []uint64) int {
	tokens := 0
	for i, part := range parts {
		used, ok := s.parts[keys[i]]
		if !ok || now-used > partLife {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}
