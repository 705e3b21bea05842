// Package operatorapi implements the HTTP API for operators, which marigoldctl
// uses, and a client for it.
package operatorapi

import (
	"context"
	"errors"
	"io"
	"net/http"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	statusv1 "github.com/marigoldwing/marigoldwing/api/status/v1"
	"github.com/marigoldwing/marigoldwing/internal/apply"
	"github.com/marigoldwing/marigoldwing/internal/config"
	"github.com/marigoldwing/marigoldwing/internal/platform"
)

// Paths of the API. All messages are in the JSON encoding of protobuf.
const (
	// PathPrefix is the prefix of all paths of the API.
	PathPrefix = "/operator/v1/"
	// PathApply (POST) applies a deployment file. The request is a
	// statusv1.ApplyRequest and the response a statusv1.ApplyReply.
	PathApply = PathPrefix + "apply"
	// PathDeployment (GET) returns the configuration that the process has
	// applied as a configv1.AcceptedDeployment without tokens.
	PathDeployment = PathPrefix + "deployment"
	// PathStatus (GET) returns a statusv1.Status.
	PathStatus = PathPrefix + "status"
	// PathExplain (GET) returns the latest plan for a service as a peerv1.Plan
	// with its explanations.
	PathExplain = PathPrefix + "explain"
	// QueryService is the query parameter of PathExplain with the name of the
	// service.
	QueryService = "service"
)

// maxRequestBytes is the maximum size of an apply request: a file, which JSON
// escaping may enlarge, and the other fields.
const maxRequestBytes = 2*config.MaxFileBytes + 64<<10

// Applier applies deployment files. It is implemented by *apply.Applier.
type Applier interface {
	Apply(ctx context.Context, req *statusv1.ApplyRequest) (*statusv1.ApplyReply, error)
}

// StateSource provides the state that the API returns.
type StateSource interface {
	// InForce returns the configuration that the process has applied, or nil
	// if there is none yet.
	InForce() *configv1.AcceptedDeployment
	// Status returns the state of the deployment as the process observes it.
	Status(ctx context.Context) *statusv1.Status
	// Plan returns the latest plan for a service, or nil if there is none.
	Plan(service string) *peerv1.Plan
}

// NewHandler returns a handler for all paths of the API.
func NewHandler(applier Applier, source StateSource) http.Handler {
	h := &handler{applier: applier, source: source}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathApply, h.apply)
	mux.HandleFunc("GET "+PathDeployment, h.deployment)
	mux.HandleFunc("GET "+PathStatus, h.status)
	mux.HandleFunc("GET "+PathExplain, h.explain)
	return mux
}

// handler holds what the handlers of the paths need.
type handler struct {
	applier Applier
	source  StateSource
}

// apply serves PathApply. Its error responses say whether the file may have been
// accepted nevertheless.
func (h *handler) apply(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		writeProblem(w, http.StatusRequestEntityTooLarge, "true", err.Error())
		return
	}
	req := &statusv1.ApplyRequest{}
	if err := protojson.Unmarshal(body, req); err != nil {
		writeProblem(w, http.StatusBadRequest, "true", err.Error())
		return
	}
	reply, err := h.applier.Apply(r.Context(), req)
	switch {
	case errors.Is(err, apply.ErrNoApplyID):
		writeProblem(w, http.StatusBadRequest, "true", err.Error())
	case errors.Is(err, platform.ErrOutcomeUnknown):
		writeProblem(w, http.StatusServiceUnavailable, "unknown", err.Error())
	case errors.Is(err, platform.ErrUnavailable):
		writeProblem(w, http.StatusServiceUnavailable, "true", err.Error())
	case err != nil:
		writeProblem(w, http.StatusInternalServerError, "unknown", err.Error())
	default:
		writeMessage(w, http.StatusOK, "application/json", reply)
	}
}

func (h *handler) deployment(w http.ResponseWriter, _ *http.Request) {
	inForce := h.source.InForce()
	if inForce == nil {
		writeProblem(w, http.StatusNotFound, "", "no configuration is in force")
		return
	}
	writeMessage(w, http.StatusOK, "application/json", withoutTokens(inForce))
}

// withoutTokens returns a copy of a without the tokens of client accounts, which
// are secret.
func withoutTokens(a *configv1.AcceptedDeployment) *configv1.AcceptedDeployment {
	a = proto.CloneOf(a)
	for _, client := range a.GetDeployment().GetClients() {
		client.Token = ""
	}
	return a
}

func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	writeMessage(w, http.StatusOK, "application/json", h.source.Status(r.Context()))
}

func (h *handler) explain(w http.ResponseWriter, r *http.Request) {
	service := r.URL.Query().Get(QueryService)
	plan := h.source.Plan(service)
	if plan == nil {
		writeProblem(w, http.StatusNotFound, "", "no plan for service "+service)
		return
	}
	writeMessage(w, http.StatusOK, "application/json", plan)
}

// writeProblem writes an error response. The argument notRun is "true" if the
// request certainly had no effect, "unknown" if it may have had one, and empty
// for reads.
func writeProblem(w http.ResponseWriter, status int, notRun, detail string) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeMessage(w, status, "application/problem+json", &statusv1.Problem{
		Type:   "about:blank",
		Title:  http.StatusText(status),
		Status: int32(status),
		Detail: detail,
		NotRun: notRun,
	})
}

// writeMessage writes a message in JSON.
func writeMessage(w http.ResponseWriter, status int, contentType string, msg proto.Message) {
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(msg)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_, _ = w.Write(data)
}
