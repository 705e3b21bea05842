// Package explanation holds the question what a gateway would do with a request, and the
// answer, as they pass between a gateway and marigoldctl.
//
// A question names a client account and never contains a key. Neither the errors of this
// package nor an answer repeat what the question contains but for names that are in the
// configuration, in case a key was entered by mistake.
package explanation

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/placement"
)

// Names of the query parameters of a question.
const (
	paramHost         = "host"
	paramPath         = "path"
	paramMethod       = "method"
	paramAccount      = "account"
	paramRequestID    = "request_id"
	paramPromptTokens = "prompt_tokens"
	paramParts        = "parts"
	paramBodyBytes    = "body_bytes"
	paramTimeout      = "timeout"
)

// Question describes a request.
type Question struct {
	Method, Host, Path string
	// Account is the name of the client account; empty for a request without a key.
	Account string
	// RequestID selects the service of a route with several.
	RequestID string
	// PromptTokens is the number of tokens in the prompt, and Parts are its parts, as
	// "ID:TOKENS,ID:TOKENS".
	PromptTokens int
	Parts        string
	BodyBytes    int
	// Timeout is how long the caller waits; 0 if it does not say.
	Timeout time.Duration
}

// Values returns the question as query parameters.
func (q Question) Values() url.Values {
	values := url.Values{}
	for name, value := range map[string]string{
		paramHost: q.Host, paramPath: q.Path, paramMethod: q.Method, paramAccount: q.Account, paramRequestID: q.RequestID, paramParts: q.Parts,
	} {
		if value != "" {
			values.Set(name, value)
		}
	}
	for name, n := range map[string]int{paramPromptTokens: q.PromptTokens, paramBodyBytes: q.BodyBytes} {
		if n != 0 {
			values.Set(name, strconv.Itoa(n))
		}
	}
	if q.Timeout != 0 {
		values.Set(paramTimeout, q.Timeout.String())
	}
	return values
}

// Request is a question that was found valid.
type Request struct {
	Question
	URL         *url.URL
	PromptParts []placement.PromptPart
}

// Parse reads a question from query parameters.
func Parse(values url.Values) (Request, error) {
	r := Request{Question: Question{Method: http.MethodGet}}
	for name, all := range values {
		if len(all) != 1 {
			return Request{}, fmt.Errorf("a parameter is given %d times", len(all))
		}
		if err := r.set(name, all[0]); err != nil {
			return Request{}, err
		}
	}
	if r.Host == "" {
		return Request{}, errors.New("host is missing")
	}
	if r.URL == nil {
		return Request{}, errors.New("path is missing")
	}
	return r, nil
}

// set sets the value of one parameter.
func (r *Request) set(name, value string) (err error) {
	switch name {
	case paramHost:
		r.Host = value
	case paramMethod:
		r.Method = value
	case paramAccount:
		r.Account = value
	case paramRequestID:
		r.RequestID = value
	case paramPath:
		r.Path = value
		if r.URL, err = url.ParseRequestURI(value); err != nil || !strings.HasPrefix(value, "/") {
			return errors.New("path must begin with a slash and be valid in a URL")
		}
	case paramPromptTokens:
		r.PromptTokens, err = parseCount(name, value)
	case paramBodyBytes:
		r.BodyBytes, err = parseCount(name, value)
	case paramParts:
		r.Parts = value
		r.PromptParts, err = parseParts(value)
	case paramTimeout:
		if r.Timeout, err = time.ParseDuration(value); err != nil || r.Timeout < 0 {
			return errors.New("timeout must be a duration, such as 1.5s")
		}
	default:
		return fmt.Errorf("unknown parameter; allowed: %s", strings.Join([]string{
			paramMethod, paramHost, paramPath, paramAccount, paramRequestID, paramPromptTokens, paramParts, paramBodyBytes, paramTimeout,
		}, ", "))
	}
	return err
}

// maxCount is the largest number of tokens or bytes.
const maxCount = 1 << 30

func parseCount(name, text string) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > maxCount {
		return 0, fmt.Errorf("%s must be a number from 0 to %d", name, maxCount)
	}
	return n, nil
}

// parseParts parses a list of prompt parts, "ID:TOKENS,ID:TOKENS,...".
func parseParts(text string) ([]placement.PromptPart, error) {
	var parts []placement.PromptPart
	for _, field := range strings.Split(text, ",") {
		id, tokens, found := strings.Cut(strings.TrimSpace(field), ":")
		n, err := parseCount(paramParts, tokens)
		if !found || id == "" || err != nil {
			return nil, errors.New("parts must be a list ID:TOKENS,ID:TOKENS")
		}
		parts = append(parts, placement.PromptPart{ID: id, Tokens: n})
	}
	return parts, nil
}

// Explanation is what a gateway would do with a request now, and why.
type Explanation struct {
	Gateway       string `json:"gateway"`
	Leaving       bool   `json:"leaving,omitempty"`
	ConfigVersion int64  `json:"config_version"`
	Ages          Ages   `json:"ages"`
	// Route is the name of the matching route; empty if there is none.
	Route string `json:"route,omitempty"`
	// KeyNeeded is whether the request needs the key of a client account, and Account that
	// for which it would be served.
	KeyNeeded bool   `json:"key_needed"`
	Account   string `json:"account,omitempty"`
	// Priority is that of the request, and PriorityOf where it comes from: "account" or
	// "route".
	Priority   int    `json:"priority"`
	PriorityOf string `json:"priority_of,omitempty"`
	Service    string `json:"service,omitempty"`
	// Services are those of a route with several, among which the ID of a request decides.
	Services []string `json:"services,omitempty"`
	// Refusal is nil if the request would be sent.
	Refusal *Refusal `json:"refusal,omitempty"`
	// WaitMS is how long the request would first wait for a server; 0 if it would not.
	WaitMS float64 `json:"wait_ms,omitempty"`
	// Choice is nil if no server would be chosen.
	Choice     *Choice     `json:"choice,omitempty"`
	Candidates []Candidate `json:"candidates,omitempty"`
	Notes      []string    `json:"notes,omitempty"`
}

// Ages are the ages of what a gateway decides by, in milliseconds; -1 if never confirmed.
type Ages struct {
	ConfigMS        float64 `json:"config_confirmed_ms"`
	RegistrationsMS float64 `json:"registrations_confirmed_ms"`
}

// Refusal is the response of a gateway that does not send a request.
type Refusal struct {
	Status int    `json:"status"`
	Reason string `json:"reason"`
	// RetryAfterMS is the shortest Retry-After, to which up to half is added at random; 0
	// if there is none.
	RetryAfterMS float64 `json:"retry_after_ms,omitempty"`
}

// Choice is the server that a request would be sent to.
type Choice struct {
	Server string `json:"server"`
	// PrefillServer prefills the prompt first; empty if Server does.
	PrefillServer  string  `json:"prefill_server,omitempty"`
	FirstEventMS   float64 `json:"predicted_first_event_ms"`
	PrefilledMS    float64 `json:"predicted_prefilled_ms,omitempty"`
	UncachedTokens int     `json:"uncached_tokens,omitempty"`
	FetchFrom      string  `json:"fetch_from,omitempty"`
	PromptPriority int     `json:"prompt_priority"`
	Deferred       bool    `json:"deferred,omitempty"`
	LoadAgeMS      float64 `json:"load_age_ms"`
	// PlacedBy is the name of the gateway that places the request. If it is another one,
	// Choice is what this gateway chooses if that does not answer.
	PlacedBy string `json:"placed_by"`
}

// Candidate is a registered server of the service.
type Candidate struct {
	Server        string `json:"server"`
	Stage         string `json:"stage"`
	FailureDomain string `json:"failure_domain"`
	Usable        bool   `json:"usable"`
	// Reason is why the server is not usable, or why it can't decode the prompt after the
	// prefill engine.
	Reason string `json:"reason,omitempty"`
	// ForMS is how long the reason remains, as far as is known.
	ForMS       float64 `json:"for_ms,omitempty"`
	Requests    float64 `json:"requests"`
	OwnRequests int     `json:"own_requests"`
	LoadAgeMS   float64 `json:"load_age_ms"`
	// Slowdown is the factor by which the server takes longer than usual, and Weight the
	// part of its usual load that it should get.
	Slowdown float64 `json:"slowdown"`
	Weight   float64 `json:"weight"`
	Uses     []Use   `json:"uses,omitempty"`
}

// Use is what a server was considered for: "direct", to run the whole request, "prefill",
// or "import", to continue after the prefill of another.
type Use struct {
	Step           string  `json:"step"`
	PredictedMS    float64 `json:"predicted_ms"`
	UncachedTokens int     `json:"uncached_tokens,omitempty"`
	// Score is in seconds. The lowest one is chosen; those of a prefill and an import add
	// up.
	Score float64 `json:"score"`
}
