package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/catalog"
)

// Headers of the callers' API.
const (
	headerClient         = "X-Client"
	headerDeadline       = "X-Deadline-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "X-Request-Id"
)

// Limits of a caller's request.
const (
	// defaultMaxBodyBytes applies to services that set no limit.
	defaultMaxBodyBytes = 4 << 20
	// defaultDeadline applies to services that set none.
	defaultDeadline = 60 * time.Second
	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 64
)

// callerRequest is a validated request of a caller.
type callerRequest struct {
	id      string
	catalog *catalog.Catalog
	service *configv1.Service
	client  *configv1.Client

	deadline   time.Time
	idempotent bool
	key        string

	method      string
	path        string
	contentType string
	body        []byte

	// lastAttempt is the ID of the latest attempt, for logs.
	lastAttempt string

	// The following fields are set for model services only.
	stream       bool
	promptTokens int
	outputTokens int
	prefixHashes []uint64
}

// newRequest reads the properties common to all requests. The body is read by
// readBody once the service is known.
func newRequest(r *http.Request, c *catalog.Catalog) (*callerRequest, *refusal) {
	if c.Revision() == 0 {
		ref := refuse(peerv1.RefusalReason_REFUSAL_REASON_NOT_CONFIGURED, "no configuration is in force yet")
		ref.retryAfter = time.Second
		return nil, ref
	}
	client, ref := clientOf(r, c)
	if ref != nil {
		return nil, ref
	}
	return &callerRequest{
		id:          uuid.NewString(),
		catalog:     c,
		client:      client,
		method:      r.Method,
		contentType: r.Header.Get("Content-Type"),
		key:         r.Header.Get(headerIdempotencyKey),
	}, nil
}

// clientOf returns the client identified by the bearer token or the client
// header.
func clientOf(r *http.Request, c *catalog.Catalog) (*configv1.Client, *refusal) {
	if token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		client, found := c.ClientByToken(token)
		if !found {
			return nil, refuse(peerv1.RefusalReason_REFUSAL_REASON_UNKNOWN_CLIENT, "the bearer token belongs to no client")
		}
		return client, nil
	}
	name := r.Header.Get(headerClient)
	client, found := c.Client(name)
	if !found || client.GetToken() != "" {
		return nil, refuse(peerv1.RefusalReason_REFUSAL_REASON_UNKNOWN_CLIENT, "client %q is not known, or needs its token", name)
	}
	return client, nil
}

// setDeadline sets the deadline requested by the caller, or else the service's,
// bounded by the deployment's maximum.
func (q *callerRequest) setDeadline(r *http.Request, now time.Time) *refusal {
	limit := time.Duration(q.catalog.Deployment().GetDefaults().GetMaxDeadlineMs()) * time.Millisecond
	wait := time.Duration(q.service.GetDeadlineMs()) * time.Millisecond
	if wait <= 0 {
		wait = defaultDeadline
	}
	if header := r.Header.Get(headerDeadline); header != "" {
		ms, err := strconv.ParseInt(header, 10, 64)
		if err != nil {
			return refuse(peerv1.RefusalReason_REFUSAL_REASON_BAD_REQUEST, "%s must be a number of milliseconds, got %q", headerDeadline, header)
		}
		if ms <= 0 {
			return refuse(peerv1.RefusalReason_REFUSAL_REASON_DEADLINE_EXPIRED, "%s is %d", headerDeadline, ms)
		}
		wait = time.Duration(min(ms, maxDeadlineMS)) * time.Millisecond
	}
	if limit > 0 {
		wait = min(wait, limit)
	}
	q.deadline = now.Add(wait)
	return nil
}

// readBody reads the body up to the service's limit.
func (q *callerRequest) readBody(w http.ResponseWriter, r *http.Request) *refusal {
	limit := q.service.GetMaxBodyBytes()
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refuse(peerv1.RefusalReason_REFUSAL_REASON_BODY_TOO_LARGE, "the body is over %d bytes", limit)
	}
	if err != nil {
		return refuse(peerv1.RefusalReason_REFUSAL_REASON_BAD_REQUEST, "the body could not be read: %v", err)
	}
	q.body = body
	return nil
}

// checkKey requires a valid idempotency key for a request that is not
// idempotent.
func (q *callerRequest) checkKey() *refusal {
	if len(q.key) > maxKeyBytes {
		return refuse(peerv1.RefusalReason_REFUSAL_REASON_BAD_REQUEST, "%s is over %d bytes", headerIdempotencyKey, maxKeyBytes)
	}
	if q.idempotent {
		return nil
	}
	if q.key == "" {
		return refuse(peerv1.RefusalReason_REFUSAL_REASON_KEY_MISSING, "this call needs %s, a UUIDv7", headerIdempotencyKey)
	}
	id, err := uuid.Parse(q.key)
	if err != nil || id.Version() != uuidVersion {
		return refuse(peerv1.RefusalReason_REFUSAL_REASON_BAD_REQUEST, "%s must be a UUIDv7, got %q", headerIdempotencyKey, q.key)
	}
	q.key = id.String()
	return nil
}

const (
	// uuidVersion is the UUID version of idempotency keys, which contains their
	// time of issue.
	uuidVersion = 7
	// maxDeadlineMS bounds a caller's deadline, so that it fits time.Duration.
	maxDeadlineMS = int64(24 * time.Hour / time.Millisecond)
)
