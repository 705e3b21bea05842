package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store stands in for the platform's store: objects by kind and name, conditional
// writes, lists and watches. It never forgets history.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedRev uint64   `json:"createdRev"`
	Finalizers []string `json:"finalizers,omitempty"`
}

type event struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
}

func newStore() *store {
	return &store{revision: 1, objects: make(map[string]map[string]object), changed: make(chan struct{})}
}

// put writes an object, as the operator and the servers do.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, object{Metadata: metadata{Name: name}, Spec: data})
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

// write stores an object. The caller holds s.mu.
func (s *store) write(kind string, o object) object {
	s.revision++
	before, exists := s.objects[kind][o.Metadata.Name]
	o.Metadata.Revision, o.Metadata.CreatedRev = s.revision, s.revision
	if exists {
		o.Metadata.CreatedRev = before.Metadata.CreatedRev
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][o.Metadata.Name] = o
	s.notify(event{kind: kind, revision: s.revision, Object: o})
	return o
}

// delete removes an object. The caller holds s.mu.
func (s *store) delete(kind, name string) {
	o, exists := s.objects[kind][name]
	if !exists {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	o.Metadata.Revision = s.revision
	s.notify(event{kind: kind, revision: s.revision, Object: o, Removed: true})
}

// notify wakes the watches. The caller holds s.mu.
func (s *store) notify(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// door is one way to the store. While it is silent, it reads calls and answers none of
// them, then or later; new calls on new connections are answered again afterwards.
type door struct {
	store   *store
	address string

	mu     sync.Mutex
	silent bool
	// outages counts the silences, so that a call that has been waiting in one is known.
	outages int
}

// open lets the store be called at a free port of a host.
func (s *store) open(ip string) (*door, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	d := &door{store: s, address: listener.Addr().String()}
	go func() { _ = http.Serve(listener, d) }()
	return d, nil
}

func (d *door) setSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
	if silent {
		d.outages++
	}
}

func (d *door) state() (silent bool, outages int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.silent, d.outages
}

// answerDelay is how long an answer of the store takes.
const answerDelay = 4 * time.Millisecond

// ServeHTTP implements http.Handler.
func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	silent, outages := d.state()
	var body []byte
	if r.Body != nil {
		body, _ = io.ReadAll(r.Body)
	}
	if silent {
		neverAnswer(r)
	}
	status, answer := d.store.call(r, body)
	time.Sleep(answerDelay)
	if _, now := d.state(); now != outages {
		neverAnswer(r)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

// neverAnswer keeps the connection until the caller closes it.
func neverAnswer(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

type listAnswer struct {
	Items     []object `json:"items"`
	Truncated bool     `json:"truncated"`
	AsOf      uint64   `json:"asOf"`
}

type watchAnswer struct {
	Events []event `json:"events"`
	AsOf   uint64  `json:"asOf"`
}

// call makes one call.
func (s *store) call(r *http.Request, body []byte) (int, any) {
	path := strings.Split(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	kind, name := path[0], ""
	if len(path) > 1 {
		name = path[1]
	}
	if r.Method == http.MethodGet && name == "" {
		if since := r.URL.Query().Get("watch"); since != "" {
			return s.watch(r, kind, since)
		}
		return s.list(kind)
	}
	var in object
	_ = json.Unmarshal(body, &in)
	want := in.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		want, _ = strconv.ParseUint(text, 10, 64)
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	have, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && want != 0 && want != have.Metadata.Revision:
		return http.StatusConflict, have
	case r.Method == http.MethodPost:
		in.Metadata.Name = name
		return http.StatusCreated, s.write(kind, in)
	case !exists:
		return http.StatusNotFound, map[string]string{}
	case r.Method == http.MethodGet:
		return http.StatusOK, have
	case r.Method == http.MethodDelete:
		s.delete(kind, name)
		return http.StatusOK, have
	}
	in.Metadata.Name = name
	if len(path) > 2 {
		in.Spec = have.Spec
	}
	return http.StatusOK, s.write(kind, in)
}

func (s *store) list(kind string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := listAnswer{Items: []object{}, AsOf: s.revision}
	for _, o := range s.objects[kind] {
		answer.Items = append(answer.Items, o)
	}
	sort.Slice(answer.Items, func(i, j int) bool { return answer.Items[i].Metadata.Name < answer.Items[j].Metadata.Name })
	return http.StatusOK, answer
}

// watch waits for events of a kind after a revision.
func (s *store) watch(r *http.Request, kind, text string) (int, any) {
	since, _ := strconv.ParseUint(text, 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		answer := watchAnswer{Events: []event{}, AsOf: s.revision}
		for _, e := range s.events {
			if e.kind == kind && e.revision > since {
				answer.Events = append(answer.Events, e)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(answer.Events) > 0 {
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-end:
			return http.StatusOK, answer
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}
