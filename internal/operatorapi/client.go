package operatorapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	statusv1 "github.com/marigoldwing/marigoldwing/api/status/v1"
	"github.com/marigoldwing/marigoldwing/internal/explanation"
	"github.com/marigoldwing/marigoldwing/internal/httpclient"
	"github.com/marigoldwing/marigoldwing/internal/telemetry"
)

// DefaultTimeout is the timeout of each call of a Client.
const DefaultTimeout = 15 * time.Second

// maxReplyBytes is the maximum size of a response. The rest of a larger one is
// discarded, which makes it fail to decode.
const maxReplyBytes = 64 << 20

// ProblemError is returned when the process has responded with an error.
type ProblemError struct {
	Problem *statusv1.Problem
}

// Error implements error.
func (e *ProblemError) Error() string {
	return fmt.Sprintf("%s: %s", strings.ToLower(e.Problem.GetTitle()), e.Problem.GetDetail())
}

// Client is a client of the operator API of one process.
type Client struct {
	base string
	http *khttp.Client
}

// NewClient returns a client for a base URL such as "http://10.0.0.1:7201". It
// does not connect.
func NewClient(baseURL string) (*Client, error) {
	client, err := khttp.NewClient(context.Background(),
		khttp.WithEndpoint(baseURL),
		khttp.WithTimeout(DefaultTimeout),
		khttp.WithTransport(httpclient.New(http.DefaultTransport.(*http.Transport).Clone())),
		khttp.WithErrorDecoder(func(context.Context, *http.Response) error { return nil }),
	)
	if err != nil {
		return nil, fmt.Errorf("operator: %s: %w", baseURL, err)
	}
	return &Client{base: strings.TrimRight(baseURL, "/"), http: client}, nil
}

// Apply applies a deployment file.
func (c *Client) Apply(ctx context.Context, req *statusv1.ApplyRequest) (*statusv1.ApplyReply, error) {
	body, err := protojson.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("operator: encode request: %w", err)
	}
	reply := &statusv1.ApplyReply{}
	return reply, c.call(ctx, http.MethodPost, PathApply, body, reply)
}

// Deployment returns the configuration that the process has applied, without the
// tokens of client accounts.
func (c *Client) Deployment(ctx context.Context) (*configv1.AcceptedDeployment, error) {
	reply := &configv1.AcceptedDeployment{}
	return reply, c.call(ctx, http.MethodGet, PathDeployment, nil, reply)
}

// Status returns the state of the deployment as the process observes it.
func (c *Client) Status(ctx context.Context) (*statusv1.Status, error) {
	reply := &statusv1.Status{}
	return reply, c.call(ctx, http.MethodGet, PathStatus, nil, reply)
}

// Explain returns the latest plan for a service with its explanations.
func (c *Client) Explain(ctx context.Context, service string) (*peerv1.Plan, error) {
	reply := &peerv1.Plan{}
	path := PathExplain + "?" + QueryService + "=" + url.QueryEscape(service)
	return reply, c.call(ctx, http.MethodGet, path, nil, reply)
}

// DumpState returns the state dump of the process in JSON.
func (c *Client) DumpState(ctx context.Context) ([]byte, error) {
	status, body, err := c.do(ctx, http.MethodGet, telemetry.PathState, nil)
	switch {
	case err != nil:
		return nil, err
	case status != http.StatusOK:
		return nil, decodeProblem(status, body)
	case !json.Valid(body):
		return nil, fmt.Errorf("operator: malformed response from %s", telemetry.PathState)
	}
	return body, nil
}

// ExplainRequest returns what the process, a gateway, would do with a request.
func (c *Client) ExplainRequest(ctx context.Context, q explanation.Question) (*explanation.Explanation, error) {
	status, body, err := c.do(ctx, http.MethodGet, telemetry.PathExplain+"?"+q.Values().Encode(), nil)
	var failed *url.Error
	if errors.As(err, &failed) {
		// Its URL contains the question, in which a key may have been entered by mistake.
		err = fmt.Errorf("operator: %s: %w", telemetry.PathExplain, failed.Err)
	}
	switch {
	case err != nil:
		return nil, err
	case status != http.StatusOK:
		return nil, decodeProblem(status, body)
	}
	reply := &explanation.Explanation{}
	if err := json.Unmarshal(body, reply); err != nil {
		return nil, fmt.Errorf("operator: malformed response from %s: %w", telemetry.PathExplain, err)
	}
	return reply, nil
}

// call sends a request and decodes the response into reply.
func (c *Client) call(ctx context.Context, method, path string, body []byte, reply proto.Message) error {
	status, data, err := c.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return decodeProblem(status, data)
	}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, reply); err != nil {
		return fmt.Errorf("operator: malformed response from %s: %w", path, err)
	}
	return nil
}

// do sends a request and returns the status and body of the response.
func (c *Client) do(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("operator: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("operator: %w", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("operator: read response: %w", err)
	}
	return resp.StatusCode, data, nil
}

// decodeProblem converts an error response to a *ProblemError. If the body is not a
// problem document, it is used as the detail.
func decodeProblem(status int, body []byte) error {
	p := &statusv1.Problem{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, p); err != nil || p.GetStatus() == 0 {
		p = &statusv1.Problem{Title: http.StatusText(status), Status: int32(status), Detail: strings.TrimSpace(string(body))}
	}
	return &ProblemError{Problem: p}
}
