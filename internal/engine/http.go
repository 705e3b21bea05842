package engine

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	enginev1 "github.com/marigoldwing/marigoldwing/api/engine/v1"
	"github.com/marigoldwing/marigoldwing/internal/httpclient"
)

// Settings of the HTTP client.
const (
	// dialTimeout limits the time to establish a connection.
	dialTimeout = 2 * time.Second
	// maxResponseBytes limits the size of a response that is not a stream.
	maxResponseBytes = 8 << 20
	// maxErrorBytes limits how much of an error response is quoted.
	maxErrorBytes = 512
)

// httpEngine implements Engine over HTTP.
type httpEngine struct {
	baseURL   string
	client    *khttp.Client
	configErr error
}

// NewHTTP returns an Engine that calls the HTTP API at baseURL, for example
// "http://10.0.0.2:8000". If baseURL cannot be parsed, every call fails with
// ErrUnreachable. Calls have no timeout except the deadline of their context. Each
// has a connection of its own, since responses name no call: on a kept connection, a late
// response to an earlier call could be taken for that to a later one.
func NewHTTP(baseURL string) Engine {
	transport := &http.Transport{
		DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives: true,
	}
	client, err := khttp.NewClient(context.Background(),
		khttp.WithEndpoint(baseURL),
		khttp.WithTransport(httpclient.New(transport)),
		khttp.WithTimeout(0),
		khttp.WithErrorDecoder(func(context.Context, *http.Response) error { return nil }),
	)
	return &httpEngine{baseURL: strings.TrimRight(baseURL, "/"), client: client, configErr: err}
}

// Generate implements Engine.
func (e *httpEngine) Generate(ctx context.Context, req *enginev1.GenerateRequest) (Stream, error) {
	resp, err := e.do(ctx, http.MethodPost, PathGenerate, req)
	if err != nil {
		return nil, err
	}
	return newStream(req.GetId(), resp.Body), nil
}

// Cancel implements Engine.
func (e *httpEngine) Cancel(ctx context.Context, id string) error {
	return e.call(ctx, http.MethodDelete, PathSequences+url.PathEscape(id), nil, nil)
}

// Load implements Engine.
func (e *httpEngine) Load(ctx context.Context) (*enginev1.LoadReport, error) {
	report := &enginev1.LoadReport{}
	return report, e.call(ctx, http.MethodGet, PathLoad, nil, report)
}

// State implements Engine.
func (e *httpEngine) State(ctx context.Context) (*enginev1.State, error) {
	state := &enginev1.State{}
	return state, e.call(ctx, http.MethodGet, PathState, nil, state)
}

// CacheEvents implements Engine.
func (e *httpEngine) CacheEvents(ctx context.Context, since uint64) (*enginev1.CacheEvents, error) {
	events := &enginev1.CacheEvents{}
	path := PathCacheEvents + "?since=" + strconv.FormatUint(since, 10)
	return events, e.call(ctx, http.MethodGet, path, nil, events)
}

// ExportKV implements Engine.
func (e *httpEngine) ExportKV(ctx context.Context, id string) (string, error) {
	resp, err := e.do(ctx, http.MethodPost, PathSequences+url.PathEscape(id)+PathExport, nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	return resp.Header.Get(HeaderKVHandle), nil
}

// ImportKV implements Engine.
func (e *httpEngine) ImportKV(ctx context.Context, sourceURL, handle string) error {
	req := &enginev1.GenerateRequest{KvSource: sourceURL, KvHandle: handle}
	return e.call(ctx, http.MethodPost, PathImport, req, nil)
}

// Order implements Engine. The check of WithSendCheck runs when the request
// body is written, that is, after the connection has been established.
func (e *httpEngine) Order(ctx context.Context, order *enginev1.Order) (*enginev1.OrderReply, error) {
	reply := &enginev1.OrderReply{}
	return reply, e.call(ctx, http.MethodPost, PathOrder, order, reply)
}

// call makes a call and decodes its result into response. A nil response
// discards the result.
func (e *httpEngine) call(ctx context.Context, method, path string, request, response proto.Message) error {
	resp, err := e.do(ctx, method, path, request)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrInterrupted, path, err)
	}
	if response == nil {
		return nil
	}
	if err := protojson.Unmarshal(body, response); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrInterrupted, path, err)
	}
	return nil
}

// do sends a call and returns the response if its status is 2xx. The caller
// must close the response body.
func (e *httpEngine) do(ctx context.Context, method, path string, request proto.Message) (*http.Response, error) {
	if e.configErr != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, e.configErr)
	}
	body, err := newBody(ctx, request)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, e.baseURL+path, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	body.attach(req)
	resp, err := e.client.Do(req)
	if err != nil {
		return nil, callError(path, body, err)
	}
	if resp.StatusCode/100 != 2 {
		return nil, statusError(path, resp)
	}
	return resp, nil
}

// callError converts a transport error. It wraps ErrUnreachable if the call was
// certainly not sent, and ErrInterrupted otherwise.
func callError(path string, body *callBody, err error) error {
	if checkErr := body.checkErr.Load(); checkErr != nil {
		return fmt.Errorf("%w: %s not sent: pre-send check: %w", ErrUnreachable, path, *checkErr)
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %s: %w", ErrUnreachable, path, err)
	}
	return fmt.Errorf("%w: %s: %w", ErrInterrupted, path, err)
}

// statusError returns ErrRefused with the status and the body of resp, and
// closes the body.
func statusError(path string, resp *http.Response) error {
	defer resp.Body.Close()
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	text := string(bytes.TrimSpace(detail))
	return fmt.Errorf("%w: %s: %s: %s", ErrRefused, path, resp.Status, text)
}
