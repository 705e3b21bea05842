package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/accounts"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
)

// Reasons why a request is not authorized. Their texts are metric labels.
var (
	errKeyMissing = errors.New("key_missing")
	errKeyUnknown = errors.New("key_unknown")
)

// reasonKeyWithdrawn is the reason of requests that had an account when they arrived, and
// whose key is unknown to the configuration that is in force when they are to be sent.
const reasonKeyWithdrawn = "key_withdrawn"

// needsKey reports whether requests to a route need the key of a client account.
func needsKey(config *fleet.Config, route fleet.Route) bool {
	return config.Accounts != nil && !route.Public
}

// authenticate finds the client account of the request in a configuration, by its key.
func (q *request) authenticate(config *fleet.Config) error {
	return q.identify(config, q.meta.Key, (*accounts.Directory).Authenticate)
}

// identify finds the client account of the request in a configuration: that which find
// returns for what identifies it.
func (q *request) identify(config *fleet.Config, id string, find func(*accounts.Directory, string) (*accounts.Account, bool)) error {
	q.authConfig, q.account = config, nil
	if !needsKey(config, q.route) {
		return nil
	}
	if id == "" {
		return errKeyMissing
	}
	account, ok := find(config.Accounts, id)
	if !ok {
		return errKeyUnknown
	}
	q.account = account
	// The account remains the same caller when its keys change. No header contains a NUL, so
	// that a caller without an account can't state the identity of one.
	q.meta.Caller = "account\x00" + account.Name
	return nil
}

// reasonKeysUnconfirmed is the reason of requests that need a key and reach a gateway whose
// configuration has not been confirmed to be the newest one for longer than RevocationLimit.
const reasonKeysUnconfirmed = "keys_unconfirmed"

// unconfirmedKeysRetryAfter is the Retry-After of such a refusal. It is short, because another
// gateway may serve the request.
const unconfirmedKeysRetryAfter = 500 * time.Millisecond

// keysMayBeWithdrawn reports whether the keys of the configuration in force must not be used,
// because the configuration has not been confirmed for too long.
func (g *Gateway) keysMayBeWithdrawn() bool {
	limit := g.opts.RevocationLimit
	if limit == 0 || g.configAge == nil {
		return false
	}
	age := g.configAge()
	return age < 0 || age > limit
}

// unconfirmed reports whether the request needs a key and the keys may be withdrawn.
func (q *request) unconfirmed() bool { return q.account != nil && q.g.keysMayBeWithdrawn() }

// unauthorized returns the refusal of a request that lacks the key of a client account.
func unauthorized(err error) refusal {
	return refusal{status: http.StatusUnauthorized, reason: err.Error()}
}

// isAuthorized reports whether the request has the same client account in the
// configuration in force as when it was authenticated.
func (q *request) isAuthorized() bool {
	config := q.g.state.Load().config
	switch {
	case config == q.authConfig || q.route.Public:
		return true
	case config.Accounts == nil || q.account == nil:
		return config.Accounts == nil && q.account == nil
	}
	account, ok := config.Accounts.Authenticate(q.meta.Key)
	return ok && account.Name == q.account.Name
}

// endUnauthorized authenticates the request anew if its account is another one in the
// configuration in force, because keys may have been withdrawn while it waited. It reports
// whether it has ended the request, whose last attempt had the given outcome.
func (q *request) endUnauthorized(last *outcome) bool {
	if q.isAuthorized() {
		return false
	}
	err := q.authenticate(q.g.state.Load().config)
	switch {
	case err == nil:
		return false
	case q.possibleExecutions > 0 || q.headerSent:
		q.fail(lastOutcomeOr(last, reasonKeyWithdrawn), 0)
	default:
		q.refuse(unauthorized(errors.New(reasonKeyWithdrawn)))
	}
	return true
}

// accountName returns the name of the client account; empty if the request has none.
func (q *request) accountName() string {
	if q.account == nil {
		return ""
	}
	return q.account.Name
}

// basePriority returns the priority of the account if it has one, and otherwise that of
// the route.
func (q *request) basePriority() int {
	if q.account != nil && q.account.HasPriority {
		return q.account.Priority
	}
	return q.route.Priority
}
