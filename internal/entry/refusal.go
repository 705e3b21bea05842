package entry

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	statusv1 "github.com/marigoldwing/marigoldwing/api/status/v1"
)

// problemType is the media type of refusals (RFC 9457).
const problemType = "application/problem+json"

// refusal is the error response to a request without a complete response of a
// backend server.
type refusal struct {
	reason peerv1.RefusalReason
	// ran states whether the request was executed.
	ran    peerv1.Ran
	detail string
	// retryAfter is when the caller may retry; 0 if a retry does not help.
	retryAfter time.Duration
}

// Error implements error.
func (r *refusal) Error() string {
	return fmt.Sprintf("refused: %s: %s", reasonName(r.reason), r.detail)
}

// refuse returns a refusal of a request that was not executed.
func refuse(reason peerv1.RefusalReason, format string, args ...any) *refusal {
	return &refusal{reason: reason, ran: peerv1.Ran_RAN_NO, detail: fmt.Sprintf(format, args...)}
}

// reasonName returns the reason as shown to callers, for example
// "deadline_expired".
func reasonName(reason peerv1.RefusalReason) string {
	return strings.ToLower(strings.TrimPrefix(reason.String(), "REFUSAL_REASON_"))
}

// statusOf returns the HTTP status for a reason.
func statusOf(reason peerv1.RefusalReason) int {
	switch reason {
	case peerv1.RefusalReason_REFUSAL_REASON_BAD_REQUEST,
		peerv1.RefusalReason_REFUSAL_REASON_KEY_MISSING:
		return http.StatusBadRequest
	case peerv1.RefusalReason_REFUSAL_REASON_UNKNOWN_MODEL,
		peerv1.RefusalReason_REFUSAL_REASON_UNKNOWN_SERVICE:
		return http.StatusNotFound
	case peerv1.RefusalReason_REFUSAL_REASON_UNKNOWN_CLIENT:
		return http.StatusUnauthorized
	case peerv1.RefusalReason_REFUSAL_REASON_BODY_TOO_LARGE:
		return http.StatusRequestEntityTooLarge
	case peerv1.RefusalReason_REFUSAL_REASON_DEADLINE_EXPIRED:
		return http.StatusGatewayTimeout
	case peerv1.RefusalReason_REFUSAL_REASON_KEY_REUSED:
		return http.StatusUnprocessableEntity
	case peerv1.RefusalReason_REFUSAL_REASON_CLIENT_LIMIT:
		return http.StatusTooManyRequests
	case peerv1.RefusalReason_REFUSAL_REASON_BACKEND_FAILED,
		peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// notRun returns the value of the problem's not_run member.
func (r *refusal) notRun() string {
	switch r.ran {
	case peerv1.Ran_RAN_NO:
		return "true"
	case peerv1.Ran_RAN_YES:
		return "false"
	}
	return "unknown"
}

// problem returns the problem details of the refusal.
func (r *refusal) problem(requestID string) *statusv1.Problem {
	name := reasonName(r.reason)
	return &statusv1.Problem{
		Type:      "urn:marigoldwing:refusal:" + name,
		Title:     strings.ReplaceAll(name, "_", " "),
		Status:    int32(statusOf(r.reason)),
		Detail:    r.detail,
		Reason:    name,
		NotRun:    r.notRun(),
		RequestId: requestID,
	}
}

// write sends the refusal as a complete HTTP response.
func (r *refusal) write(w http.ResponseWriter, requestID string) {
	body := r.json(requestID)
	w.Header().Set("Content-Type", problemType)
	if r.retryAfter > 0 {
		seconds := int64(math.Ceil(r.retryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(statusOf(r.reason))
	_, _ = w.Write(body)
}

// json returns the problem details as JSON.
func (r *refusal) json(requestID string) []byte {
	options := protojson.MarshalOptions{UseProtoNames: true}
	body, err := options.Marshal(r.problem(requestID))
	if err != nil {
		panic(fmt.Sprintf("entry: a problem does not marshal: %v", err))
	}
	return body
}
