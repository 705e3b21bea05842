// Package mark makes answers that can be told to be for one request: the
// stand-ins write them and test callers check them byte for byte.
package mark

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	open  = "[[mark:"
	close = "]]"
)

// Wrap returns the text by which a caller puts its own mark into a prompt or
// body.
func Wrap(key string) string { return open + key + close }

// Extract returns the mark in a text, or fallback if there is none.
func Extract(text, fallback string) string {
	_, rest, ok := strings.Cut(text, open)
	if !ok {
		return fallback
	}
	key, _, ok := strings.Cut(rest, close)
	if !ok {
		return fallback
	}
	return key
}

// TokenText returns the text of one output token of the answer for key.
func TokenText(key string, index int) string {
	return fmt.Sprintf("%08x ", uint32(xxhash.Sum64String(fmt.Sprintf("%s#%d", key, index))))
}

// OutputText returns the text of the tokens from first on, n of them.
func OutputText(key string, first, n int) string {
	var text strings.Builder
	for i := range n {
		text.WriteString(TokenText(key, first+i))
	}
	return text.String()
}
