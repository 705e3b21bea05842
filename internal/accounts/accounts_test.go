package accounts

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/limits"
)

// entry returns an account with keys.
func entry(name string, keys ...string) Entry {
	e := Entry{Account: Account{Client: limits.Client{Name: name}}}
	for _, key := range keys {
		e.Keys = append(e.Keys, DigestOf(key))
	}
	return e
}

// owner returns the name of the account of a key, empty if there is none.
func owner(d *Directory, key string) string {
	account, ok := d.Authenticate(key)
	if !ok {
		return ""
	}
	return account.Name
}

func TestKeysBelongToTheirAccounts(t *testing.T) {
	d := New([]Entry{entry("a", "k1", "k2"), entry("b", "k3"), entry("none")})
	require.Equal(t, []string{"a", "a", "b"}, []string{owner(d, "k1"), owner(d, "k2"), owner(d, "k3")})
	for _, unknown := range []string{"", "k", "K1", "k1 ", strings.Repeat("k", 8<<10), "\xff\x00"} {
		require.Empty(t, owner(d, unknown), "%.20q", unknown)
	}
	require.Empty(t, d.Problems())
}

// TestOddEntriesHarmNoOtherAccount guards against an entry that takes keys from
// another account, or that makes the rest of the list unusable.
func TestOddEntriesHarmNoOtherAccount(t *testing.T) {
	many := entry("many")
	for i := range 10_000 {
		many.Keys = append(many.Keys, DigestOf(fmt.Sprint("key ", i)))
	}
	d := New([]Entry{
		entry("a", "shared", "a-only"), entry("b", "shared", "b-only", "b-only"), entry("", "nameless"),
		entry("line\nbreak", "broken"), entry("a", "second"), entry("é", "accent"), many, entry("last", "last-key"),
	})
	require.Equal(t, "a", owner(d, "shared"))
	require.Equal(t, "a", owner(d, "a-only"))
	require.Equal(t, "b", owner(d, "b-only"))
	require.Equal(t, "last", owner(d, "last-key"))
	require.Equal(t, "many", owner(d, "key 9999"))
	for _, key := range []string{"nameless", "broken", "second", "accent"} {
		require.Empty(t, owner(d, key), key)
	}
	require.Len(t, d.Problems(), 5)
}

// BenchmarkAuthenticate looks up a key among 12,000 accounts of three keys each.
func BenchmarkAuthenticate(b *testing.B) {
	entries := make([]Entry, 0, 12_000)
	for i := range 12_000 {
		entries = append(entries, entry(fmt.Sprint("account-", i), fmt.Sprint(i, "-1"), fmt.Sprint(i, "-2"), fmt.Sprint(i, "-3")))
	}
	d := New(entries)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := d.Authenticate("6000-2"); !ok {
			b.Fatal("key not found")
		}
	}
}
