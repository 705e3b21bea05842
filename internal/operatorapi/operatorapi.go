// Package operatorapi serves the HTTP that marigoldctl talks to, and holds the
// client for it.
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

// Paths that operators call.
const (
	// PathPrefix begins all paths of this package.
	PathPrefix = "/operator/v1/"
	// PathApply (POST) takes a statusv1.ApplyRequest.
	PathApply = PathPrefix + "apply"
	// PathDeployment (GET) returns the AcceptedDeployment in force, without
	// tokens.
	PathDeployment = PathPrefix + "deployment"
	// PathStatus (GET) returns a statusv1.Status.
	PathStatus = PathPrefix + "status"
	// PathExplain (GET) returns a peerv1.Plan with its explanations.
	PathExplain = PathPrefix + "explain"
	// QueryService names the service of PathExplain.
	QueryService = "service"
)

// maxRequestBytes bounds an apply: a file and its JSON quoting.
const maxRequestBytes = 2*config.MaxFileBytes + 64<<10

// Applier carries out applies; *apply.Applier does.
type Applier interface {
	Apply(ctx context.Context, req *statusv1.ApplyRequest) (*statusv1.ApplyReply, error)
}

// StateSource tells what the process knows.
type StateSource interface {
	// InForce returns the configuration in force, or nil before the first.
	InForce() *configv1.AcceptedDeployment
	// Status returns the state that the process sees.
	Status(ctx context.Context) *statusv1.Status
	// Plan returns the newest plan of a service, or nil.
	Plan(service string) *peerv1.Plan
}

// NewHandler serves the operators' paths.
func NewHandler(applier Applier, source StateSource) http.Handler {
	h := &handler{applier: applier, source: source}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathApply, h.apply)
	mux.HandleFunc("GET "+PathDeployment, h.deployment)
	mux.HandleFunc("GET "+PathStatus, h.status)
	mux.HandleFunc("GET "+PathExplain, h.explain)
	return mux
}

type handler struct {
	applier Applier
	source  StateSource
}

func (h *handler) apply(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		problem(w, http.StatusRequestEntityTooLarge, "true", err.Error())
		return
	}
	req := &statusv1.ApplyRequest{}
	if err := protojson.Unmarshal(body, req); err != nil {
		problem(w, http.StatusBadRequest, "true", err.Error())
		return
	}
	reply, err := h.applier.Apply(r.Context(), req)
	switch {
	case errors.Is(err, apply.ErrNoApplyID):
		problem(w, http.StatusBadRequest, "true", err.Error())
	case errors.Is(err, platform.ErrOutcomeUnknown):
		problem(w, http.StatusServiceUnavailable, "unknown", err.Error())
	case errors.Is(err, platform.ErrUnavailable):
		problem(w, http.StatusServiceUnavailable, "true", err.Error())
	case err != nil:
		problem(w, http.StatusInternalServerError, "unknown", err.Error())
	default:
		write(w, http.StatusOK, "application/json", reply)
	}
}

func (h *handler) deployment(w http.ResponseWriter, _ *http.Request) {
	inForce := h.source.InForce()
	if inForce == nil {
		problem(w, http.StatusNotFound, "", "no configuration is in force")
		return
	}
	write(w, http.StatusOK, "application/json", withoutTokens(inForce))
}

// withoutTokens returns a copy that can be shown.
func withoutTokens(a *configv1.AcceptedDeployment) *configv1.AcceptedDeployment {
	a = proto.CloneOf(a)
	for _, client := range a.GetDeployment().GetClients() {
		client.Token = ""
	}
	return a
}

func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	write(w, http.StatusOK, "application/json", h.source.Status(r.Context()))
}

func (h *handler) explain(w http.ResponseWriter, r *http.Request) {
	service := r.URL.Query().Get(QueryService)
	plan := h.source.Plan(service)
	if plan == nil {
		problem(w, http.StatusNotFound, "", "no plan for service "+service)
		return
	}
	write(w, http.StatusOK, "application/json", plan)
}

func problem(w http.ResponseWriter, status int, notRun, detail string) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	write(w, status, "application/problem+json", &statusv1.Problem{
		Type:   "about:blank",
		Title:  http.StatusText(status),
		Status: int32(status),
		Detail: detail,
		NotRun: notRun,
	})
}

func write(w http.ResponseWriter, status int, contentType string, msg proto.Message) {
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(msg)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	// A caller that has gone away needs no answer.
	_, _ = w.Write(data)
}
