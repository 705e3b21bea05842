// Package ledger guarantees that non-idempotent calls run at most once.
//
// Each idempotency key belongs to one backend server, its home, which is a
// function of the key and the time at which it was issued (Homes). The agent of
// that server records the intent to forward a call before it forwards it
// (Ledger decides, Writer stores). Records are kept in segments; only one
// incarnation of the agent can write them at a time. A call without a record
// has not run; a call with a recorded intent but no recorded answer may have
// run.
//
// Homes and Ledger are pure: they take the time as an argument and never block.
// Writer runs a Ledger against the platform's store.
package ledger
