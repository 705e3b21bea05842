package loadgen

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/google/uuid"
	"google.golang.org/protobuf/encoding/protojson"

	loadv1 "github.com/marigoldwing/marigoldwing/api/load/v1"
	statusv1 "github.com/marigoldwing/marigoldwing/api/status/v1"
)

// Headers of the caller API.
const (
	headerClient         = "X-Client"
	headerDeadline       = "X-Deadline-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	headerRetryAfter     = "Retry-After"
)

const (
	problemType = "application/problem+json"
	// maxResponseBytes limits the size of one response.
	maxResponseBytes = 64 << 20
	// deadlineGrace is how long a caller waits for a response beyond the
	// deadline of its request.
	deadlineGrace = 10 * time.Second
	// maxIdleConns is the number of idle connections kept to one entry.
	maxIdleConns = 1024
	// reasonUnreached is the reason of requests that could not be sent to any
	// entry.
	reasonUnreached = "unreached"
)

// caller sends requests to the entries round robin.
type caller struct {
	targets   []string
	client    *khttp.Client
	startTime time.Time
}

// newCaller returns a caller whose time starts at startTime.
func newCaller(targets []string, startTime time.Time) (*caller, error) {
	client, err := khttp.NewClient(context.Background(),
		khttp.WithEndpoint(targets[0]),
		khttp.WithTimeout(0),
		khttp.WithTransport(&http.Transport{MaxIdleConnsPerHost: maxIdleConns}),
		khttp.WithErrorDecoder(func(context.Context, *http.Response) error { return nil }),
	)
	if err != nil {
		return nil, fmt.Errorf("loadgen: %w", err)
	}
	return &caller{targets: targets, client: client, startTime: startTime}, nil
}

func (c *caller) now() time.Duration { return time.Since(c.startTime) }

// send sends the request of an arrival and returns its outcome. If no
// connection to an entry can be established, it tries the next one, as a load
// balancer would.
func (c *caller) send(ctx context.Context, index int, arrival Arrival) Outcome {
	out := Outcome{Arrival: arrival, Sent: c.now(), Key: uuid.Must(uuid.NewV7()).String()}
	class := arrival.Class
	if class.GetDeadlineMs() > 0 {
		limit := time.Duration(class.GetDeadlineMs())*time.Millisecond + deadlineGrace
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	for i := range c.targets {
		target := c.targets[(index+i)%len(c.targets)]
		resp, err := c.do(ctx, target, &out)
		if isDialError(err) {
			out.Verdict, out.Reason, out.NotRun = Refused, reasonUnreached, "true"
			continue
		}
		if err != nil {
			out.Verdict, out.Reason = Unknown, "connection: "+err.Error()
			return out
		}
		c.readResponse(resp, &out)
		return out
	}
	return out
}

// isDialError reports whether no connection could be established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *caller) do(ctx context.Context, target string, out *Outcome) (*http.Response, error) {
	request := newHTTPRequest(out)
	req, err := http.NewRequestWithContext(ctx, request.method, target+request.path, strings.NewReader(request.body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot retry a request by itself.
	req.GetBody = nil
	setHeaders(req, out)
	return c.client.Do(req)
}

func setHeaders(req *http.Request, out *Outcome) {
	class := out.Arrival.Class
	req.Header.Set("Content-Type", "application/json")
	if class.GetToken() != "" {
		req.Header.Set("Authorization", "Bearer "+class.GetToken())
	} else {
		req.Header.Set(headerClient, class.GetClient())
	}
	if class.GetDeadlineMs() > 0 {
		req.Header.Set(headerDeadline, strconv.FormatInt(class.GetDeadlineMs(), 10))
	}
	if class.GetNonIdempotent() {
		req.Header.Set(headerIdempotencyKey, out.Key)
	}
}

// readResponse reads the response and sets the outcome.
func (c *caller) readResponse(resp *http.Response, out *Outcome) {
	defer resp.Body.Close()
	switch {
	case strings.HasPrefix(resp.Header.Get("Content-Type"), problemType):
		readProblem(resp, out)
	case resp.StatusCode/100 != 2:
		out.Verdict, out.Reason = Unknown, "status "+resp.Status
	case out.Arrival.Class.GetKind() == loadv1.ClassKind_CLASS_KIND_MODEL && out.Arrival.Class.GetStream():
		c.readStream(resp.Body, out)
	default:
		c.readBody(resp.Body, out)
	}
}

// readProblem reads an error response.
func readProblem(resp *http.Response, out *Outcome) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		out.Verdict, out.Reason = Unknown, "error response truncated"
		return
	}
	setProblem(body, out)
	out.HasRetryAfter = resp.Header.Get(headerRetryAfter) != ""
}

// setProblem sets the outcome from the body of an error response. The verdict
// is Refused only if the response states that the request was not run.
func setProblem(body []byte, out *Outcome) {
	problem := &statusv1.Problem{}
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := options.Unmarshal(body, problem); err != nil {
		out.Verdict, out.Reason = Unknown, "malformed error response"
		return
	}
	out.Reason, out.NotRun = problem.GetReason(), problem.GetNotRun()
	out.Verdict = Unknown
	if out.NotRun == "true" {
		out.Verdict = Refused
	}
}

// readBody reads a response that is not streamed.
func (c *caller) readBody(body io.Reader, out *Outcome) {
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	if err != nil {
		out.Verdict, out.Reason = Unknown, "response truncated"
		return
	}
	out.Latency = c.now() - out.Arrival.At
	out.TimeToFirstToken = out.Latency
	verifyResponse(data, out)
}
