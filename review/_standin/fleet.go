// Command standin plays the parts of clients, backend servers and the platform
// for the scripts of the review, and starts the gateways as separate processes.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// exit codes of the scripts.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record writes lines with the time since the start to record.txt.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	return &record{out: bufio.NewWriter(f), start: time.Now()}
}

func (r *record) log(format string, args ...any) {
	r.logAt(time.Now(), format, args...)
}

func (r *record) logAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// notRun ends the script because the case could not run.
func (f *fleet) notRun(format string, args ...any) {
	f.rec.say("the case could not run: "+format, args...)
	f.stop()
	f.rec.flush()
	os.Exit(exitNotRun)
}

// flush writes what has been recorded to the file.
func (r *record) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
}

// object is an object of the platform's store.
type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		CreatedRev uint64   `json:"createdRev"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
}

// store is the platform's store: lists, watches and conditional writes.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
	// maxWait is the time after which a watch that waits is cut off; 0 for never.
	maxWait time.Duration
	cuts    int
}

func newStore() *store {
	return &store{revision: 100, objects: make(map[string]map[string]object), changed: make(chan struct{})}
}

// put writes an object as the operator and the servers do. The caller holds s.mu.
func (s *store) put(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	o, exists := s.objects[kind][name]
	s.revision++
	o.Metadata.Name, o.Metadata.Revision, o.Spec = name, s.revision, spec
	o.Metadata.Finalizers = []string{}
	if !exists {
		o.Metadata.CreatedRev = s.revision
	}
	s.objects[kind][name] = o
	s.notify(event{kind: kind, revision: s.revision, Object: o})
	return o
}

// notify records an event and answers the watches. The caller holds s.mu.
func (s *store) notify(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) write(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, data)
}

// setMaxWait sets the time after which a watch that waits is cut off.
func (s *store) setMaxWait(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxWait = d
}

// remove removes an object and returns when that was done.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.notify(event{kind: kind, revision: s.revision, Object: o, Removed: true})
	return time.Now()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, o)
	default:
		s.change(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	asOf := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	answer(w, http.StatusOK, map[string]any{"items": items, "truncated": false, "asOf": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	s.mu.Lock()
	var cut <-chan time.Time
	if s.maxWait > 0 {
		cut = time.After(s.maxWait)
	}
	for {
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > since {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-cut:
			s.mu.Lock()
			s.cuts++
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
}

// change serves POST, PUT and DELETE.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	want := in.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		want, _ = strconv.ParseUint(text, 10, 64)
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && want != 0 && want != o.Metadata.Revision:
		answer(w, http.StatusConflict, o)
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.revision++
		o.Metadata.Revision = s.revision
		s.notify(event{kind: kind, revision: s.revision, Object: o, Removed: true})
		answer(w, http.StatusOK, o)
	default:
		answer(w, http.StatusOK, s.put(kind, name, in.Spec))
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// gateway is a marigold-gateway process.
type gateway struct {
	name, front, ready string
	command            *exec.Cmd
}

// fleet is a small deployment.
type fleet struct {
	rec      *record
	dir      string
	store    *store
	address  string
	gateways []*gateway
}

// freeAddress returns a free loopback address.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newFleet(rec *record) *fleet {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		panic(err)
	}
	f := &fleet{rec: rec, dir: dir, store: newStore()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	f.address = l.Addr().String()
	go func() { _ = http.Serve(l, f.store) }()
	return f
}

// settings are the fields of deploy/gateway.ini.tmpl with the bounds of kpw-stamp.
const settings = `[gateway]
name = %s
failure_domain = %s
callers_address = %s
readiness_address = %s
metrics_address = %s
peer_address = %s
platform_address = %s
stop_grace_s = 8
retry_budget_ratio = 0.2
retry_budget_reserve = 56
retry_budget_window_s = 10
order_lease_ms = 3000
config_apply_ms = 2000
drain_notice_ms = 2000
memory_mb = 284
`

// startGateway starts one gateway with the command of the deploy file.
func (f *fleet) startGateway(name, zone string) *gateway {
	g := &gateway{name: name, front: freeAddress(), ready: freeAddress()}
	path := filepath.Join(f.dir, name+".ini")
	text := fmt.Sprintf(settings, name, zone, g.front, g.ready, freeAddress(), freeAddress(), f.address)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.notRun("%v", err)
	}
	out, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		f.notRun("%v", err)
	}
	g.command = exec.Command("target/marigold-gateway", "-config", path)
	g.command.Env = append(os.Environ(), "MARIGOLDWING_NODE_FILE="+path)
	g.command.Stdout, g.command.Stderr = out, out
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.command.Start(); err != nil {
		f.notRun("%v", err)
	}
	f.gateways = append(f.gateways, g)
	return g
}

// awaitReady waits until all gateways are ready.
func (f *fleet) awaitReady() {
	deadline := time.Now().Add(15 * time.Second)
	for _, g := range f.gateways {
		for {
			response, err := http.Get("http://" + g.ready + "/-/ready")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				f.notRun("%s is not ready", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// stop ends the gateways and removes the temporary folder.
func (f *fleet) stop() {
	for _, g := range f.gateways {
		_ = g.command.Process.Kill()
		_ = g.command.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// client keeps one connection to a gateway.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// do sends a request and returns the status and body of the answer; status 0 means that
// there was none.
func (c *client) do(id, method, path, body string, timeout time.Duration) (status int, header http.Header, answer string) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return 0, nil, err.Error()
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(timeout + time.Second))
	length := ""
	if method == http.MethodPost {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: review.example\r\nX-Marigoldwing-Request-Id: %s\r\nX-Marigoldwing-Request-Deadline-Ms: %d\r\n%s\r\n%s",
		method, path, id, timeout.Milliseconds(), length, body)
	if err == nil {
		var response *http.Response
		response, err = http.ReadResponse(c.reader, &http.Request{Method: method})
		if err == nil {
			var data []byte
			data, err = io.ReadAll(response.Body)
			if err == nil {
				if response.Close {
					c.close()
				}
				return response.StatusCode, response.Header, string(data)
			}
		}
	}
	c.close()
	return 0, nil, err.Error()
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
