package entry

import (
	"net/http"
	"strings"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
)

// Handler returns the HTTP handler for callers.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.completions(w, r, true) })
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.completions(w, r, false) })
	mux.HandleFunc("GET /v1/models", e.models)
	mux.HandleFunc("/services/{service}/{path...}", e.services)
	return e.closeWhenDraining(mux)
}

// completions serves model services.
func (e *Entry) completions(w http.ResponseWriter, r *http.Request, chat bool) {
	q, ref := newRequest(r, e.Catalog())
	if ref == nil {
		ref = e.readCompletion(w, r, q, chat)
	}
	if ref != nil {
		e.refuseEarly(w, q, ref)
		return
	}
	w.Header().Set(headerRequestID, q.id)
	render := &renderer{request: q, model: q.service.GetModel(), chat: chat, created: time.Now()}
	var out sink = &bufferedSink{w: w, requestID: q.id, render: render.complete}
	if q.stream {
		out = &streamSink{w: w, requestID: q.id, event: render.event}
	}
	e.serve(r.Context(), q, out)
}

// readCompletion reads the body, which names the model and thereby the service.
// Limits of the service are applied once it is known.
func (e *Entry) readCompletion(w http.ResponseWriter, r *http.Request, q *callerRequest, chat bool) *refusal {
	q.service = &configv1.Service{MaxBodyBytes: q.catalog.MaxBodyBytes()}
	if ref := q.readBody(w, r); ref != nil {
		return ref
	}
	body, ref := parseCompletion(q.body, chat)
	if ref != nil {
		return ref
	}
	service, ok := q.catalog.ServiceForModel(body.Model)
	if !ok {
		return refuse(peerv1.RefusalReason_REFUSAL_REASON_UNKNOWN_MODEL, "model %q is not served here", body.Model)
	}
	if limit := service.GetMaxBodyBytes(); limit > 0 && int64(len(q.body)) > limit {
		return refuse(peerv1.RefusalReason_REFUSAL_REASON_BODY_TOO_LARGE, "the body is over %d bytes", limit)
	}
	q.service = service
	q.setCompletion(body)
	if ref := q.setDeadline(r, time.Now()); ref != nil {
		return ref
	}
	return q.checkKey()
}

// models lists the models served.
func (e *Entry) models(w http.ResponseWriter, r *http.Request) {
	q, ref := newRequest(r, e.Catalog())
	if ref != nil {
		e.refuseEarly(w, q, ref)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range q.catalog.Deployment().GetModels() {
		list.Data = append(list.Data, modelItem{ID: m.GetName(), Object: "model", OwnedBy: q.catalog.Deployment().GetName()})
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(mustJSON(list))
}

// services serves plain services.
func (e *Entry) services(w http.ResponseWriter, r *http.Request) {
	q, ref := newRequest(r, e.Catalog())
	if ref == nil {
		ref = e.readPlain(w, r, q)
	}
	if ref != nil {
		e.refuseEarly(w, q, ref)
		return
	}
	w.Header().Set(headerRequestID, q.id)
	e.serve(r.Context(), q, &bufferedSink{w: w, requestID: q.id})
}

func (e *Entry) readPlain(w http.ResponseWriter, r *http.Request, q *callerRequest) *refusal {
	name := r.PathValue("service")
	service, ok := q.catalog.Service(name)
	if !ok || service.GetKind() != configv1.ServiceKind_SERVICE_KIND_PLAIN {
		return refuse(peerv1.RefusalReason_REFUSAL_REASON_UNKNOWN_SERVICE, "there is no plain service %q", name)
	}
	q.service = service
	q.path = strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+name)
	q.idempotent = !isNonIdempotent(service, r.Method, q.path)
	if r.URL.RawQuery != "" {
		q.path += "?" + r.URL.RawQuery
	}
	if ref := q.setDeadline(r, time.Now()); ref != nil {
		return ref
	}
	if ref := q.checkKey(); ref != nil {
		return ref
	}
	return q.readBody(w, r)
}

// isNonIdempotent reports whether one of the service's "METHOD /path-prefix"
// rules matches.
func isNonIdempotent(service *configv1.Service, method, path string) bool {
	for _, rule := range service.GetNonIdempotent() {
		ruleMethod, prefix, _ := strings.Cut(rule, " ")
		if ruleMethod == method && strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// refuseEarly responds to a request that failed its validation.
func (e *Entry) refuseEarly(w http.ResponseWriter, q *callerRequest, ref *refusal) {
	id := ""
	if q != nil {
		id = q.id
	}
	e.metrics.observeRefusal(ref)
	e.log.Write(logevent.RequestRefused(logevent.EntryRequest{RequestID: id}, reasonName(ref.reason), ref.notRun(), ref.detail))
	ref.write(w, id)
}
