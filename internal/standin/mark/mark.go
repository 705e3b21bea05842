// Package mark generates response texts that are unique to a request. The
// stand-in backend servers respond with them, and test callers compare them
// byte for byte, so a response that was delivered to the wrong request is
// detected.
package mark

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Delimiters of a mark within a prompt or a body.
const (
	openDelimiter  = "[[mark:"
	closeDelimiter = "]]"
)

// Wrap returns the mark for key, for a caller to include in its prompt or body.
func Wrap(key string) string { return openDelimiter + key + closeDelimiter }

// Extract returns the key of the first mark in text, or fallback if there is
// none.
func Extract(text, fallback string) string {
	_, rest, ok := strings.Cut(text, openDelimiter)
	if !ok {
		return fallback
	}
	key, _, ok := strings.Cut(rest, closeDelimiter)
	if !ok {
		return fallback
	}
	return key
}

// TokenText returns the text of the output token with the given index in the
// response for key. All tokens have the same length.
func TokenText(key string, index int) string {
	return fmt.Sprintf("%08x ", uint32(xxhash.Sum64String(fmt.Sprintf("%s#%d", key, index))))
}

// OutputText returns the text of n output tokens in the response for key,
// starting with index first.
func OutputText(key string, first, n int) string {
	var text strings.Builder
	for i := range n {
		text.WriteString(TokenText(key, first+i))
	}
	return text.String()
}
