package poison

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRequestTraits checks which requests are the same one.
func TestRequestTraits(t *testing.T) {
	request := func(change func(r *Request)) []Trait {
		r := Request{Method: "POST", Host: "h.example", Path: "/a/b", Caller: "me", Body: []byte("body")}
		change(&r)
		return r.Traits()
	}
	same := request(func(*Request) {})
	require.Len(t, same, 1)
	require.Equal(t, KindRequest, same[0].Kind())
	require.Equal(t, same, request(func(r *Request) { r.Host = "H.example:8080" }))
	others := map[string]func(r *Request){
		"method": func(r *Request) { r.Method = "PUT" },
		"host":   func(r *Request) { r.Host = "other.example" },
		"path":   func(r *Request) { r.Path = "/a/c" },
		"caller": func(r *Request) { r.Caller = "you" },
		"body":   func(r *Request) { r.Body = nil },
	}
	for name, change := range others {
		require.NotEqual(t, same, request(change), name)
	}
	one := request(func(r *Request) { r.Query = "page=1" })
	two := request(func(r *Request) { r.Query = "page=2" })
	require.Len(t, one, 2)
	require.NotEqual(t, one[0], two[0])
	require.Equal(t, one[1], two[1])
	require.Equal(t, KindPath, one[1].Kind())
	require.False(t, PartOf("a").IsRequest())
}
