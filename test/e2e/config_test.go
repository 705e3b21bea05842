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

// revisionMetric matches the metric with the revision of the configuration that
// a process has applied. The tests read metrics rather than the status, because
// a status request may itself make the process learn of a new revision.
var revisionMetric = regexp.MustCompile(`(?m)^marigold_config_revision (\d+)$`)

// metric returns the value of a process's metric, or 0 if it cannot be read.
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

// operatorFleet is a fleet to which deployment files are applied through its
// entries. The last agent cannot reach the store and depends on its peers.
type operatorFleet struct {
	*fleet
	// fileCount is the number of files generated so far.
	fileCount int
}

// newOperatorFleet starts two entries and three agents with a plain service
// each.
func newOperatorFleet(t *testing.T) *operatorFleet {
	f := &operatorFleet{fleet: newFleet(t)}
	for i := range 2 {
		f.entries = append(f.entries, &member{name: fmt.Sprintf("entry-%d", i), host: newHost()})
	}
	for i := range 3 {
		f.agents = append(f.agents, &member{name: fmt.Sprintf("agent-%d", i), host: newHost()})
	}
	for _, m := range append(f.entries, f.agents...) {
		f.startMember(m)
	}
	for _, agent := range f.agents {
		f.addService(agent)
	}
	return f
}

// startMember starts a process with the entries as its initial peers.
func (f *operatorFleet) startMember(m *member) {
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

// newFile returns a deployment file that differs from all previous ones.
func (f *operatorFleet) newFile() string {
	f.fileCount++
	d := f.deployment()
	d.Defaults.MaxDeadlineMs += int64(f.fileCount)
	for _, s := range d.Services {
		s.MaxBodyBytes, s.DefaultOutputTokens = 1<<20, 256
	}
	return string(config.Render(d))
}

// applyFile applies a file based on revision base through an entry.
func (f *operatorFleet) applyFile(entry *member, file string, base uint64) (*statusv1.ApplyReply, error) {
	client, err := operatorapi.NewClient(entry.url())
	require.NoError(f.t, err)
	return client.Apply(context.Background(), &statusv1.ApplyRequest{File: file, BaseRevision: base, ApplyId: uuid.NewString()})
}

// applyAndWait applies a new file based on the current revision, and waits
// until all processes have applied it.
func (f *operatorFleet) applyAndWait(what string, entry *member, base uint64) {
	f.t.Helper()
	reply, err := f.applyFile(entry, f.newFile(), base)
	require.NoError(f.t, err)
	require.True(f.t, reply.GetAccepted(), reply.String())
	require.Equal(f.t, base+1, reply.GetRevision())
	f.waitAppliedEverywhere(what, reply.GetRevision())
}

// waitAppliedEverywhere waits until all processes have applied a revision, and
// logs how long that took.
func (f *operatorFleet) waitAppliedEverywhere(what string, revision uint64) {
	f.t.Helper()
	began := time.Now()
	for _, m := range append(f.entries, f.agents...) {
		require.Eventually(f.t, func() bool { return metric(m, revisionMetric) >= revision }, startTimeout, 2*time.Millisecond, "%s: %s", what, m.name)
	}
	f.t.Logf("%s: applied by all processes after %s", what, time.Since(began).Round(time.Millisecond))
}

// alarm returns the reason of the configuration alarm in an entry's status, the
// error if the status cannot be read, or "" if there is no such condition.
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

// postAdmin sends a POST request to an administration path of the stand-in
// platform.
func (f *operatorFleet) postAdmin(path string) {
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
		f.startMember(m)
	}
}

// TestConfigReachesAllProcesses applies files while two operators race, the
// response to a write is lost, processes are restarted during an outage of the
// store, and the store is restored from an old snapshot. It checks that every
// accepted configuration reaches all processes and is never reverted.
func TestConfigReachesAllProcesses(t *testing.T) {
	f := newOperatorFleet(t)
	f.applyAndWait("first", f.entries[0], 0)
	f.applyAndWait("no fault", f.entries[1], 1)
	f.postAdmin("/admin/v1/snapshot")

	type outcome struct {
		reply *statusv1.ApplyReply
		err   error
	}
	files := []string{f.newFile(), f.newFile()}
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
	require.Equal(t, 1, accepted, "exactly one of the competing files must be accepted")
	f.waitAppliedEverywhere("concurrent applies", 3)

	f.storeFaults(`{"lose_answers":1}`)
	f.applyAndWait("lost response", f.entries[0], 3)

	f.storeFaults(`{"down":true}`)
	f.restart(f.agents[0], f.agents[2], f.entries[1])
	f.waitAppliedEverywhere("restart during an outage", 4)
	_, err := f.applyFile(f.entries[1], f.newFile(), 4)
	require.Error(t, err, "an apply during an outage must fail")

	f.storeFaults(`{}`)
	f.postAdmin("/admin/v1/restore")
	for _, m := range f.entries {
		require.Eventually(t, func() bool { return f.alarm(m) == "StoreOlder" }, startTimeout, 100*time.Millisecond)
	}
	f.restart(f.agents[1])
	f.waitAppliedEverywhere("restart with a reverted store", 4)
	f.applyAndWait("apply to a reverted store", f.entries[1], 4)
	for _, m := range f.entries {
		require.Eventually(t, func() bool { return f.alarm(m) == "None" }, startTimeout, 100*time.Millisecond)
	}
}
