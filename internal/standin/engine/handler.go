package engine

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	enginev1 "github.com/marigoldwing/marigoldwing/api/engine/v1"
	api "github.com/marigoldwing/marigoldwing/internal/engine"
	"github.com/marigoldwing/marigoldwing/internal/enginemodel"
)

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 16 << 20

// Handler serves the engine API and the fault injection API.
func (e *Engine) Handler() http.Handler {
	calls := http.NewServeMux()
	calls.HandleFunc("POST "+api.PathGenerate, e.serveGenerate)
	calls.HandleFunc("DELETE "+api.PathSequences+"{id}", func(w http.ResponseWriter, r *http.Request) {
		e.cancel(r.PathValue("id"))
		writeMessage(w, &enginev1.GenerateEvent{Id: r.PathValue("id")})
	})
	calls.HandleFunc("POST "+api.PathSequences+"{id}"+api.PathExport, e.serveExport)
	calls.HandleFunc("GET "+api.PathLoad, func(w http.ResponseWriter, _ *http.Request) { writeMessage(w, e.load()) })
	calls.HandleFunc("GET "+api.PathState, func(w http.ResponseWriter, _ *http.Request) { writeMessage(w, e.state()) })
	calls.HandleFunc("GET "+api.PathCacheEvents, e.serveCacheEvents)
	calls.HandleFunc("POST "+api.PathOrder, e.serveOrder)
	calls.HandleFunc("POST "+api.PathImport, e.serveImport)
	calls.HandleFunc("GET "+api.PathKV+"{handle}", e.serveKV)
	calls.HandleFunc("DELETE "+api.PathKV+"{handle}", e.serveRelease)

	mux := http.NewServeMux()
	mux.Handle("/v1/", e.whenUp(calls))
	mux.HandleFunc("PUT "+PathFaults, e.serveFaults)
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.currentFaults()) })
	mux.HandleFunc("POST "+PathCrash, func(http.ResponseWriter, *http.Request) { e.Crash() })
	mux.HandleFunc("POST "+PathRestart, func(http.ResponseWriter, *http.Request) { e.Restart() })
	mux.HandleFunc("GET "+PathRecord, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Snapshot()) })
	return mux
}

// whenUp rejects calls while the engine is down, and blocks them until the
// caller disconnects while Faults.Hung is set.
func (e *Engine) whenUp(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.currentFaults().Hung {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if !e.up() {
			http.Error(w, enginemodel.ErrDown.Error(), http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// writeModelError writes the response for a call that the model rejected.
func writeModelError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, enginemodel.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, enginemodel.ErrInvalid), errors.Is(err, enginemodel.ErrDuplicate):
		status = http.StatusConflict
	case errors.Is(err, enginemodel.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(w, err.Error(), status)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if err := e.export(id); err != nil {
		writeModelError(w, err)
		return
	}
	w.Header().Set(api.HeaderKVHandle, id)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	order := &enginev1.Order{}
	if !readMessage(w, r, order) {
		return
	}
	reply, err := e.order(r, order)
	if err != nil {
		panic(http.ErrAbortHandler) // a crashed engine does not respond
	}
	writeMessage(w, reply)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	e.mu.Lock()
	events, next := e.model.CacheEvents(e.now(), since)
	e.mu.Unlock()
	out := &enginev1.CacheEvents{NextSeq: next}
	for _, event := range events {
		out.Events = append(out.Events, &enginev1.CacheEvent{
			Seq:        event.Seq,
			PrefixHash: event.PrefixHash,
			Evicted:    event.Evicted,
		})
	}
	writeMessage(w, out)
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(faults)
}

// load returns the delayed load report, with its age in real time.
func (e *Engine) load() *enginev1.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := e.model.LoadReport(e.now())
	age := time.Duration(float64(report.Age) / e.opts.TimeScale)
	return &enginev1.LoadReport{
		QueuedPromptTokens: report.QueuedPromptTokens,
		Running:            int32(report.Running),
		Waiting:            int32(report.Waiting),
		KvUsed:             report.KVUsed,
		AgeMs:              age.Milliseconds(),
	}
}

// readMessage decodes the request body. If that fails, it writes an error
// response and returns false.
func readMessage(w http.ResponseWriter, r *http.Request, message proto.Message) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = protojson.Unmarshal(body, message)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeMessage(w http.ResponseWriter, message proto.Message) {
	body, err := protojson.Marshal(message)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
