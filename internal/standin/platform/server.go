// Package platform serves the platform's object API over HTTP from memory. It
// stands in for the platform in tests and in the demo.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/platform"
	"github.com/marigoldwing/marigoldwing/internal/platform/fake"
)

// Paths of the stand-in in addition to the object API.
const (
	// PathFaults returns the active Faults by GET and replaces them by PUT.
	PathFaults = "/admin/v1/faults"
	// PathSnapshot saves a snapshot of all objects by POST.
	PathSnapshot = "/admin/v1/snapshot"
	// PathRestore restores the snapshot by POST.
	PathRestore = "/admin/v1/restore"
	// PathCounts returns the call counts by GET.
	PathCounts = "/admin/v1/counts"
)

// pathObjects is followed by "{kind}" or "{kind}/{name}".
const pathObjects = "/-/objects/"

// maxBodyBytes limits the size of an encoded object. It leaves room for the
// names and for the base64 encoding of the value.
const maxBodyBytes = 2 * platform.MaxValueBytes

// wireObject is the JSON form of an object.
type wireObject struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"metadata"`
	Spec struct {
		Value []byte `json:"value"`
	} `json:"spec"`
}

type wireList struct {
	Items     []wireObject `json:"items"`
	Truncated bool         `json:"truncated"`
	AsOf      uint64       `json:"asOf"`
}

type wireEvent struct {
	Object  wireObject `json:"object"`
	Removed bool       `json:"removed"`
}

type wireEvents struct {
	Events []wireEvent `json:"events"`
	AsOf   uint64      `json:"asOf"`
}

type wireError struct {
	Error string `json:"error"`
}

func toWire(obj platform.Object) wireObject {
	var w wireObject
	w.Metadata.Name, w.Metadata.Revision = obj.Key.Name, obj.Version
	w.Spec.Value = obj.Value
	return w
}

// Faults is the JSON form of fake.Faults. Delays are in milliseconds.
type Faults struct {
	Down          bool  `json:"down"`
	DelayMS       int64 `json:"delay_ms"`
	LoseResponses int   `json:"lose_answers"`
	LoseRequests  int   `json:"lose_requests"`
	ServeSnapshot bool  `json:"serve_older"`
	InstanceLagMS int64 `json:"instance_lag_ms"`
}

// NewHandler serves the object API of store and the fault injection API.
func NewHandler(store *fake.Store) http.Handler {
	h := &handler{store: store}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathObjects+"{kind}", h.listOrWatch)
	mux.HandleFunc("POST "+pathObjects+"{kind}", h.create)
	mux.HandleFunc("GET "+pathObjects+"{kind}/{name}", h.get)
	mux.HandleFunc("PUT "+pathObjects+"{kind}/{name}", h.replace)
	mux.HandleFunc("DELETE "+pathObjects+"{kind}/{name}", h.delete)
	mux.HandleFunc("GET "+PathFaults, h.getFaults)
	mux.HandleFunc("PUT "+PathFaults, h.putFaults)
	mux.HandleFunc("POST "+PathSnapshot, h.snapshot)
	mux.HandleFunc("POST "+PathRestore, h.restore)
	mux.HandleFunc("GET "+PathCounts, h.counts)
	return mux
}

type handler struct{ store *fake.Store }

func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	obj, err := h.store.Get(r.Context(), keyOf(r))
	writeResult(w, toWire(obj), err)
}

func (h *handler) listOrWatch(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		h.watch(w, r)
		return
	}
	objects, err := h.store.List(r.Context(), r.PathValue("kind"))
	list := wireList{Items: make([]wireObject, 0, len(objects))}
	for _, obj := range objects {
		list.Items = append(list.Items, toWire(obj))
	}
	writeResult(w, list, err)
}

func (h *handler) create(w http.ResponseWriter, r *http.Request) {
	if object, ok := readObject(w, r); ok {
		h.put(w, r, platform.Key{Kind: r.PathValue("kind"), Name: object.Metadata.Name}, object, 0)
	}
}

func (h *handler) replace(w http.ResponseWriter, r *http.Request) {
	if object, ok := readObject(w, r); ok {
		h.put(w, r, keyOf(r), object, object.Metadata.Revision)
	}
}

func readObject(w http.ResponseWriter, r *http.Request) (wireObject, bool) {
	var object wireObject
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&object); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return object, false
	}
	return object, true
}

// put writes an object if its current version is wantVersion; 0 creates it.
// Like a real server, it completes the write even if the caller disconnects.
func (h *handler) put(w http.ResponseWriter, r *http.Request, key platform.Key, object wireObject, wantVersion uint64) {
	obj, err := h.store.Put(context.WithoutCancel(r.Context()), key, object.Spec.Value, wantVersion)
	obj.Value = nil
	writeResult(w, toWire(obj), err)
}

// delete deletes an object if its current version is that of the query. It
// completes even if the caller disconnects.
func (h *handler) delete(w http.ResponseWriter, r *http.Request) {
	wantVersion, err := queryNumber(r, "revision")
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	err = h.store.Delete(context.WithoutCancel(r.Context()), keyOf(r), wantVersion)
	writeResult(w, wireObject{}, err)
}

// watch waits up to waitMs for changes after the version given by the query
// parameter "watch".
func (h *handler) watch(w http.ResponseWriter, r *http.Request) {
	since, err := queryNumber(r, "watch")
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	wait, err := queryNumber(r, "waitMs")
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	events, err := h.store.Watch(ctx, r.PathValue("kind"), since)
	out := wireEvents{AsOf: events.NextVersion, Events: make([]wireEvent, 0, len(events.Events))}
	for _, ev := range events.Events {
		out.Events = append(out.Events, wireEvent{Object: toWire(ev.Object), Removed: ev.Deleted})
	}
	writeResult(w, out, err)
}

func (h *handler) getFaults(w http.ResponseWriter, _ *http.Request) {
	f := h.store.Faults()
	writeResult(w, Faults{
		Down:          f.Down,
		DelayMS:       f.Delay.Milliseconds(),
		LoseResponses: f.LoseResponses,
		LoseRequests:  f.LoseRequests,
		ServeSnapshot: f.ServeSnapshot,
		InstanceLagMS: f.InstanceLag.Milliseconds(),
	}, nil)
}

func (h *handler) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	h.store.SetFaults(fake.Faults{
		Down:          f.Down,
		Delay:         time.Duration(f.DelayMS) * time.Millisecond,
		LoseResponses: f.LoseResponses,
		LoseRequests:  f.LoseRequests,
		ServeSnapshot: f.ServeSnapshot,
		InstanceLag:   time.Duration(f.InstanceLagMS) * time.Millisecond,
	})
	writeResult(w, f, nil)
}

func (h *handler) snapshot(w http.ResponseWriter, _ *http.Request) {
	h.store.TakeSnapshot()
	writeResult(w, struct{}{}, nil)
}

func (h *handler) restore(w http.ResponseWriter, _ *http.Request) {
	h.store.Restore()
	writeResult(w, struct{}{}, nil)
}

func (h *handler) counts(w http.ResponseWriter, _ *http.Request) {
	writeResult(w, h.store.Counts(), nil)
}

// writeResult writes v, or the response for the error that the store returned.
func writeResult(w http.ResponseWriter, v any, err error) {
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, v)
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, toWire(platform.Object{Key: conflict.Key, Version: conflict.Have}))
	case errors.Is(err, platform.ErrNotFound):
		writeError(w, http.StatusNotFound, err)
	case errors.Is(err, platform.ErrUnavailable):
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusTooManyRequests, err)
	case errors.Is(err, platform.ErrOutcomeUnknown):
		// Abort the connection, as if the response had been lost on the way.
		panic(http.ErrAbortHandler)
	default:
		writeError(w, http.StatusInternalServerError, err)
	}
}

func writeError(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, wireError{Error: err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

func keyOf(r *http.Request) platform.Key {
	return platform.Key{Kind: r.PathValue("kind"), Name: r.PathValue("name")}
}

// queryNumber parses a required query parameter.
func queryNumber(r *http.Request, name string) (uint64, error) {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 63)
	if err != nil {
		return 0, fmt.Errorf("query %s: want a number: %w", name, err)
	}
	return n, nil
}
