package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	statusv1 "github.com/marigoldwing/marigoldwing/api/status/v1"
	"github.com/marigoldwing/marigoldwing/internal/config"
	"github.com/marigoldwing/marigoldwing/internal/operatorapi"
)

// revisionMetric finds the revision in a process's metrics. Reading these
// tells the process nothing, unlike asking for the status.
var revisionMetric = regexp.MustCompile(`(?m)^marigold_config_revision (\d+)$`)

// metric returns a value from a process's metrics, or 0.
func metric(m *member, pattern *regexp.Regexp) uint64 {
	resp, err := http.Get(m.url() + "/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	found := pattern.FindSubmatch(text)
	if found == nil {
		return 0
	}
	value, _ := strconv.ParseUint(string(found[1]), 10, 64)
	return value
}

// operatorFleet is a fleet whose files are applied through its entries. The
// last agent is cut off from the store.
type operatorFleet struct {
	*fleet
	applies int
}

func newOperatorFleet(t *testing.T) *operatorFleet {
	f := &operatorFleet{fleet: newFleet(t)}
	for i := range 2 {
		f.entries = append(f.entries, &member{name: fmt.Sprintf("entry-%d", i), host: newHost()})
	}
	for i := range 3 {
		f.agents = append(f.agents, &member{name: fmt.Sprintf("agent-%d", i), host: newHost()})
	}
	for _, m := range append(f.entries, f.agents...) {
		f.run(m)
	}
	for _, agent := range f.agents {
		f.addService(agent)
	}
	return f
}

// run starts a process that knows the entries' addresses.
func (f *operatorFleet) run(m *member) {
	peers := "-peers=" + f.entries[0].peer() + "," + f.entries[1].peer()
	if m == f.entries[0] || m == f.entries[1] {
		m.proc = start(f.t, m.name, "marigold-entry", "-config", f.settings(m, "entry"), peers)
		waitListening(f.t, m.peer())
		return
	}
	exclusive := fmt.Sprintf("exclusive_address = %s:%d", m.host, exclusivePort)
	args := []string{"-config", f.settings(m, "agent", exclusive), peers}
	if m == f.agents[len(f.agents)-1] {
		args = append(args, fmt.Sprintf("-platform-url=http://%s:%d", newHost(), httpPort))
	}
	m.proc = start(f.t, m.name, "marigold-agent", args...)
	waitListening(f.t, m.peer())
}

// file returns a deployment file that differs from all before.
func (f *operatorFleet) file() string {
	f.applies++
	d := f.deployment()
	d.Defaults.MaxDeadlineMs += int64(f.applies)
	for _, s := range d.Services {
		s.MaxBodyBytes, s.DefaultOutputTokens = 1<<20, 256
	}
	return string(config.Render(d))
}

// applyFile applies a file through an entry.
func (f *operatorFleet) applyFile(entry *member, file string, base uint64) (*statusv1.ApplyReply, error) {
	client, err := operatorapi.NewClient(entry.url())
	require.NoError(f.t, err)
	return client.Apply(context.Background(), &statusv1.ApplyRequest{File: file, BaseRevision: base, ApplyId: uuid.NewString()})
}

// accept applies a file that nobody competes with, and waits until it is in
// force everywhere.
func (f *operatorFleet) accept(what string, entry *member, base uint64) {
	f.t.Helper()
	reply, err := f.applyFile(entry, f.file(), base)
	require.NoError(f.t, err)
	require.True(f.t, reply.GetAccepted(), reply.String())
	require.Equal(f.t, base+1, reply.GetRevision())
	f.everywhere(what, reply.GetRevision())
}

// everywhere waits until a revision is in force in every process, and logs
// how long that took.
func (f *operatorFleet) everywhere(what string, revision uint64) {
	f.t.Helper()
	began := time.Now()
	for _, m := range append(f.entries, f.agents...) {
		require.Eventually(f.t, func() bool { return metric(m, revisionMetric) >= revision }, startTimeout, 2*time.Millisecond, "%s: %s", what, m.name)
	}
	f.t.Logf("%s: in force everywhere after %s", what, time.Since(began).Round(time.Millisecond))
}

// alarm returns the alarm that an entry's status shows.
func (f *operatorFleet) alarm(entry *member) string {
	client, err := operatorapi.NewClient(entry.url())
	require.NoError(f.t, err)
	status, err := client.Status(context.Background())
	if err != nil {
		return err.Error()
	}
	for _, c := range status.GetConditions() {
		if c.GetType() == "ConfigurationAlarm" {
			return c.GetReason()
		}
	}
	return ""
}

// admin calls a path of the platform's stand-in.
func (f *operatorFleet) admin(path string) {
	f.t.Helper()
	resp, err := http.Post(f.platformURL+path, "", nil)
	require.NoError(f.t, err)
	require.NoError(f.t, resp.Body.Close())
}

// restart kills processes and starts them again.
func (f *operatorFleet) restart(members ...*member) {
	for _, m := range members {
		m.kill()
	}
	for _, m := range members {
		f.run(m)
	}
}

// TestConfigurationInForceEverywhere applies files while operators race, an
// answer is lost, processes are killed in an outage, and the store is set
// back. What was accepted comes in force everywhere and is never reverted.
func TestConfigurationInForceEverywhere(t *testing.T) {
	f := newOperatorFleet(t)
	f.accept("first", f.entries[0], 0)
	f.accept("quiet", f.entries[1], 1)
	f.admin("/admin/v1/snapshot")

	type outcome struct {
		reply *statusv1.ApplyReply
		err   error
	}
	files := []string{f.file(), f.file()}
	outcomes := make(chan outcome, len(files))
	for i, file := range files {
		go func() {
			reply, err := f.applyFile(f.entries[i], file, 2)
			outcomes <- outcome{reply, err}
		}()
	}
	accepted := 0
	for range files {
		o := <-outcomes
		require.NoError(t, o.err)
		if o.reply.GetAccepted() {
			accepted++
			continue
		}
		require.True(t, o.reply.GetConflict())
		require.NotEmpty(t, o.reply.GetDiff())
	}
	require.Equal(t, 1, accepted, "competing files")
	f.everywhere("operators race", 3)

	f.storeFaults(`{"lose_answers":1}`)
	f.accept("lost answer", f.entries[0], 3)

	f.storeFaults(`{"down":true}`)
	f.restart(f.agents[0], f.agents[2], f.entries[1])
	f.everywhere("restart in an outage", 4)
	_, err := f.applyFile(f.entries[1], f.file(), 4)
	require.Error(t, err, "an apply in an outage is refused")

	f.storeFaults(`{}`)
	f.admin("/admin/v1/restore")
	for _, m := range f.entries {
		require.Eventually(t, func() bool { return f.alarm(m) == "StoreOlder" }, startTimeout, 100*time.Millisecond)
	}
	f.restart(f.agents[1])
	f.everywhere("restart with the store set back", 4)
	f.accept("apply after the store was set back", f.entries[1], 4)
	for _, m := range f.entries {
		require.Eventually(t, func() bool { return f.alarm(m) == "None" }, startTimeout, 100*time.Millisecond)
	}
}
