// Package platform serves the object API over HTTP from memory, standing in
// for the platform in tests and in the demo.
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

// Paths of the stand-in beside the object API.
const (
	// PathFaults reads (GET) or replaces (PUT) the fault switches.
	PathFaults = "/admin/v1/faults"
	// PathSnapshot (POST) keeps the present content.
	PathSnapshot = "/admin/v1/snapshot"
	// PathRestore (POST) sets the content back to the snapshot.
	PathRestore = "/admin/v1/restore"
	// PathCounts reads the call counts.
	PathCounts = "/admin/v1/counts"
)

// pathObjects is followed by "kind" or "kind/name".
const pathObjects = "/-/objects/"

// maxBodyBytes bounds an object as it is sent: its value in base64, and names.
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

// Faults is the JSON form of the fault switches.
type Faults struct {
	Down          bool  `json:"down"`
	DelayMS       int64 `json:"delay_ms"`
	LoseResponses int   `json:"lose_answers"`
	LoseRequests  int   `json:"lose_requests"`
	ServeSnapshot bool  `json:"serve_older"`
	InstanceLagMS int64 `json:"instance_lag_ms"`
}

// NewHandler serves store and its fault switches.
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
	answer(w, toWire(obj), err)
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
	answer(w, list, err)
}

func (h *handler) create(w http.ResponseWriter, r *http.Request) {
	if in, ok := readObject(w, r); ok {
		h.put(w, r, platform.Key{Kind: r.PathValue("kind"), Name: in.Metadata.Name}, in, 0)
	}
}

func (h *handler) replace(w http.ResponseWriter, r *http.Request) {
	if in, ok := readObject(w, r); ok {
		h.put(w, r, keyOf(r), in, in.Metadata.Revision)
	}
}

func readObject(w http.ResponseWriter, r *http.Request) (wireObject, bool) {
	var in wireObject
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&in); err != nil {
		refuse(w, http.StatusBadRequest, err)
		return in, false
	}
	return in, true
}

func (h *handler) put(w http.ResponseWriter, r *http.Request, key platform.Key, in wireObject, want uint64) {
	obj, err := h.store.Put(context.WithoutCancel(r.Context()), key, in.Spec.Value, want)
	obj.Value = nil
	answer(w, toWire(obj), err)
}

func (h *handler) delete(w http.ResponseWriter, r *http.Request) {
	want, err := queryNumber(r, "revision")
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	err = h.store.Delete(context.WithoutCancel(r.Context()), keyOf(r), want)
	answer(w, wireObject{}, err)
}

func (h *handler) watch(w http.ResponseWriter, r *http.Request) {
	since, err := queryNumber(r, "watch")
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	wait, err := queryNumber(r, "waitMs")
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	events, err := h.store.Watch(ctx, r.PathValue("kind"), since)
	out := wireEvents{AsOf: events.NextVersion, Events: make([]wireEvent, 0, len(events.Events))}
	for _, ev := range events.Events {
		out.Events = append(out.Events, wireEvent{Object: toWire(ev.Object), Removed: ev.Deleted})
	}
	answer(w, out, err)
}

func (h *handler) getFaults(w http.ResponseWriter, _ *http.Request) {
	f := h.store.Faults()
	answer(w, Faults{
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
		refuse(w, http.StatusBadRequest, err)
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
	answer(w, f, nil)
}

func (h *handler) snapshot(w http.ResponseWriter, _ *http.Request) {
	h.store.TakeSnapshot()
	answer(w, struct{}{}, nil)
}

func (h *handler) restore(w http.ResponseWriter, _ *http.Request) {
	h.store.Restore()
	answer(w, struct{}{}, nil)
}

func (h *handler) counts(w http.ResponseWriter, _ *http.Request) {
	answer(w, h.store.Counts(), nil)
}

// answer writes v, or the error that the store returned.
func answer(w http.ResponseWriter, v any, err error) {
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, v)
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, toWire(platform.Object{Key: conflict.Key, Version: conflict.Have}))
	case errors.Is(err, platform.ErrNotFound):
		refuse(w, http.StatusNotFound, err)
	case errors.Is(err, platform.ErrUnavailable):
		w.Header().Set("Retry-After", "1")
		refuse(w, http.StatusTooManyRequests, err)
	case errors.Is(err, platform.ErrOutcomeUnknown):
		// The connection breaks, as when the answer is lost on the way.
		panic(http.ErrAbortHandler)
	default:
		refuse(w, http.StatusInternalServerError, err)
	}
}

func refuse(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, wireError{Error: err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has gone away needs no answer.
	_ = json.NewEncoder(w).Encode(v)
}

func keyOf(r *http.Request) platform.Key {
	return platform.Key{Kind: r.PathValue("kind"), Name: r.PathValue("name")}
}

func queryNumber(r *http.Request, name string) (uint64, error) {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 63)
	if err != nil {
		return 0, fmt.Errorf("query %s: want a number: %w", name, err)
	}
	return n, nil
}
