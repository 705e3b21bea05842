// Package accounts finds the client account that a key belongs to.
//
// A Directory is built from one configuration and immutable. It holds SHA-256
// digests in place of keys, so that neither a memory dump nor a copy sent to
// another process reveals a key, and so that the time of a lookup depends on the
// digest of what a caller sent and not on how much of it matches a key.
package accounts

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/marigoldwing/marigoldwing/internal/limits"
)

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// KeyIndex holds values by the digests of the keys that they belong to.
type KeyIndex[T any] map[Digest]T

// Find returns the value of a key.
func (x KeyIndex[T]) Find(key string) (T, bool) {
	value, ok := x[DigestOf(key)]
	return value, ok
}

// Account is a client account as callers' requests are served under it.
type Account struct {
	limits.Client
	// Priority is that of the account's requests, 0 the most urgent, if HasPriority is
	// set. It then replaces the priority of their routes.
	Priority    int
	HasPriority bool
}

// Entry is one account of a configuration with the digests of its keys.
type Entry struct {
	Account
	Keys []Digest
}

// maxNameBytes bounds the name of an account, which is sent in a header.
const maxNameBytes = 1024

// Problem is why a part of an account's entry is not used.
type Problem struct {
	// Account is the name of the account, in hexadecimal if it is no header value.
	Account string
	Reason  string
}

// Directory holds the accounts of one configuration.
type Directory struct {
	entries  []Entry
	accounts KeyIndex[*Account]
	problems []Problem
}

// New returns the directory of the given accounts. An account whose name can't be sent
// in a header, or that another entry has already, is not used, and a key of two
// accounts belongs to the first of them, so that no entry takes a key from another.
func New(entries []Entry) *Directory {
	d := &Directory{accounts: make(KeyIndex[*Account])}
	names := make(map[string]bool, len(entries))
	for _, entry := range entries {
		switch {
		case !isHeaderValue(entry.Name):
			d.reject(hex.EncodeToString([]byte(entry.Name[:min(len(entry.Name), maxNameBytes)])), "name is no header value")
		case names[entry.Name]:
			d.reject(entry.Name, "another entry has the same name")
		default:
			names[entry.Name] = true
			d.add(entry)
		}
	}
	return d
}

func (d *Directory) reject(account, reason string) {
	d.problems = append(d.problems, Problem{Account: account, Reason: reason})
}

func (d *Directory) add(entry Entry) {
	d.entries = append(d.entries, entry)
	account := entry.Account
	shared := 0
	for _, key := range entry.Keys {
		if owner, taken := d.accounts[key]; taken {
			if owner.Name != account.Name {
				shared++
			}
			continue
		}
		d.accounts[key] = &account
	}
	if shared > 0 {
		d.reject(account.Name, fmt.Sprintf("%d keys belong to other accounts", shared))
	}
}

// isHeaderValue reports whether a name can be sent as the value of a header: it consists
// of printable ASCII characters and does not begin or end with a space.
func isHeaderValue(name string) bool {
	if name == "" || len(name) > maxNameBytes || name[0] == ' ' || name[len(name)-1] == ' ' {
		return false
	}
	for i := range len(name) {
		if name[i] < ' ' || name[i] > '~' {
			return false
		}
	}
	return true
}

// Authenticate returns the account that a key belongs to. The account must not be
// modified.
func (d *Directory) Authenticate(key string) (*Account, bool) {
	if key == "" {
		return nil, false
	}
	return d.accounts.Find(key)
}

// Named returns the account with a name to which a key belongs. It looks at all keys. The
// account must not be modified.
func (d *Directory) Named(name string) (*Account, bool) {
	for _, account := range d.accounts {
		if account.Name == name {
			return account, true
		}
	}
	return nil, false
}

// Entries returns the accounts in use. They must not be modified.
func (d *Directory) Entries() []Entry { return d.entries }

// Problems returns what is not used of the accounts, in the order of the configuration.
func (d *Directory) Problems() []Problem { return d.problems }
