package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/httpclient"
)

// Headers sent to a plain service with each call.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerClient         = "X-Client"
)

// plainRunner executes attempts at a plain HTTP service.
type plainRunner struct {
	client  *http.Client
	baseURL string
	ends    endsSeen
}

// newPlainClient returns a client for calls to plain services. Each call has a connection
// of its own: services need not name the call in their answers, so that a late answer to
// an earlier call on a kept connection could be taken for that to a later one. The
// transport never sends a call on such a connection again.
func newPlainClient() *http.Client {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	// Decompression by the transport would hide the length of an answer.
	transport := &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}
	return &http.Client{Transport: httpclient.New(transport), CheckRedirect: returnRedirect}
}

// returnRedirect passes redirects on to the caller instead of following them.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (r *plainRunner) run(ctx context.Context, submit *peerv1.Submit, out *emitter) {
	p := r.ends.newProbe()
	defer p.close()
	req, err := r.request(withProbe(ctx, p), submit)
	if err != nil {
		out.fail(notExecuted(peerv1.RefusalReason_REFUSAL_REASON_BAD_REQUEST, err.Error()))
		return
	}
	resp, err := r.client.Do(req)
	if err != nil {
		out.fail(plainFailure(err))
		return
	}
	defer resp.Body.Close()
	body, err := r.body(ctx, submit, resp, p)
	if err != nil {
		out.fail(brokenResponse(err))
		return
	}
	relay(resp, body, out)
}

func (r *plainRunner) request(ctx context.Context, submit *peerv1.Submit) (*http.Request, error) {
	body := io.NopCloser(bytes.NewReader(submit.GetBody()))
	req, err := http.NewRequestWithContext(ctx, submit.GetMethod(), r.baseURL+submit.GetPath(), body)
	if err != nil {
		return nil, fmt.Errorf("agent: build request: %w", err)
	}
	req.ContentLength = int64(len(submit.GetBody()))
	if req.ContentLength == 0 {
		req.Body = http.NoBody
	}
	req.Header.Set("Content-Type", submit.GetContentType())
	req.Header.Set(headerRequestID, submit.GetRequestId())
	req.Header.Set(headerClient, submit.GetClient())
	if submit.GetIdempotencyKey() != "" {
		req.Header.Set(headerIdempotencyKey, submit.GetIdempotencyKey())
	}
	return req, nil
}

// body returns the body of a response. It fails unless the response is complete and does
// not name another request.
func (r *plainRunner) body(ctx context.Context, submit *peerv1.Submit, resp *http.Response, p *probe) ([]byte, error) {
	if id := resp.Header.Get(headerRequestID); id != "" && id != submit.GetRequestId() {
		return nil, fmt.Errorf("answer is for request %q", id)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxResponseBytes {
		return nil, fmt.Errorf("answer is over %d bytes", maxResponseBytes)
	}
	end := bodyEndOf(submit.GetMethod(), resp)
	r.ends.record(end)
	if end != endOfConnection {
		return body, nil
	}
	return body, p.confirm(ctx)
}

// relay emits a complete response.
func relay(resp *http.Response, body []byte, out *emitter) {
	out.head(resp.StatusCode, resp.Header.Get("Content-Type"))
	for chunk := range chunks(body, frameBytes) {
		out.data(chunk, 0)
	}
	out.end("")
}

// chunks yields consecutive parts of b of at most size bytes.
func chunks(b []byte, size int) func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(b) > 0 {
			n := min(size, len(b))
			if !yield(b[:n]) {
				return
			}
			b = b[n:]
		}
	}
}

func brokenResponse(err error) failure {
	return failure{
		reason: peerv1.RefusalReason_REFUSAL_REASON_BACKEND_FAILED,
		ran:    peerv1.Ran_RAN_YES,
		detail: err.Error(),
	}
}

// plainFailure distinguishes a call that was not sent from one that may have
// been executed.
func plainFailure(err error) failure {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return notExecuted(peerv1.RefusalReason_REFUSAL_REASON_BACKEND_FAILED, err.Error())
	}
	return failure{
		reason: peerv1.RefusalReason_REFUSAL_REASON_BACKEND_FAILED,
		ran:    peerv1.Ran_RAN_UNKNOWN,
		detail: err.Error(),
	}
}
