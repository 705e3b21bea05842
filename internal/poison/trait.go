package poison

import (
	"net"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Trait identifies what several requests have in common: a part of their prompts,
// or everything that makes two requests the same one. The highest bits are its kind
// and the others a hash.
type Trait uint64

// Kind is the kind of a trait. A larger kind is more specific.
type Kind uint64

const (
	// KindPart is a part of prompts.
	KindPart Kind = iota
	// KindPath is a request without its query.
	KindPath
	// KindRequest is a request.
	KindRequest
)

// kindShift is the number of bits of the hash in a trait.
const kindShift = 62

// newTrait returns the trait with a kind and a hash.
func newTrait(k Kind, hash uint64) Trait {
	return Trait(uint64(k)<<kindShift | hash&(1<<kindShift-1))
}

// Kind returns the kind of the trait.
func (t Trait) Kind() Kind { return Kind(t >> kindShift) }

// IsRequest reports whether the trait is a request, with or without its query.
func (t Trait) IsRequest() bool { return t.Kind() != KindPart }

// PartOf returns the trait of the prompts that have the part with an ID.
func PartOf(id string) Trait { return PartWithHash(xxhash.Sum64String(id)) }

// PartWithHash returns the trait of a part whose ID has a hash.
func PartWithHash(hash uint64) Trait { return newTrait(KindPart, hash) }

// Request is what makes two requests the same one. IDs, deadlines, the framing of the
// body and the event after which a stream is resumed are not part of it.
type Request struct {
	Method, Host, Path, Query string
	// Caller is the identity that the caller states; empty if it states none.
	Caller string
	Body   []byte
}

// Traits returns the traits of the request: the request itself and, if it has a
// query, the request without it.
func (r Request) Traits() []Trait {
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	body := strconv.FormatUint(xxhash.Sum64(r.Body), 16)
	// No field but the last one may contain the separator.
	path := strings.Join([]string{r.Method, strings.ToLower(host), body, r.Path, r.Caller}, "\x00")
	if r.Query == "" {
		return []Trait{newTrait(KindRequest, xxhash.Sum64String(path))}
	}
	return []Trait{
		newTrait(KindRequest, xxhash.Sum64String(r.Query+"\x00"+path)),
		newTrait(KindPath, xxhash.Sum64String(path)),
	}
}
