package settings

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/reflect/protoreflect"

	settingsv1 "github.com/marigoldwing/marigoldwing/api/settings/v1"
	"github.com/marigoldwing/marigoldwing/internal/inischema"
)

// agentFile is a valid settings file of marigold-agent.
const agentFile = `
[process]
name = agent-1
failure_domain = hall-sur
region = metropolitana
http_address = 127.0.0.1:7301
peer_address = 127.0.0.1:7302
platform_url = http://127.0.0.1:7100
peers = 127.0.0.1:7202, 127.0.0.1:7203

[agent]
exclusive_address = 127.0.0.1:7303
`

// writeFile writes a settings file and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "agent.ini")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestFlagsOverrideEnvironmentAndFile(t *testing.T) {
	t.Setenv("MARIGOLD_REGION", "karoo")
	t.Setenv("MARIGOLD_NAME", "from-environment")
	agent, commandLine, err := LoadAgent([]string{"-config", writeFile(t, agentFile), "-name", "from-flag", "-check"})
	require.NoError(t, err)
	require.True(t, commandLine.CheckOnly)
	p := agent.GetProcess()
	require.Equal(t, "from-flag", p.GetName())
	require.Equal(t, "karoo", p.GetRegion())
	require.Equal(t, "hall-sur", p.GetFailureDomain())
	require.Equal(t, []string{"127.0.0.1:7202", "127.0.0.1:7203"}, p.GetPeers())
	require.Equal(t, int64(30_000), p.GetDrainTimeoutMs())
	require.Equal(t, int64(500), agent.GetLoadIntervalMs())
}

func TestAllErrorsAreReportedAtOnce(t *testing.T) {
	file := writeFile(t, `
stray = 1
[process]
name = Not A Name
http_address = localhost:80
http_address = 127.0.0.1:80
peers = 127.0.0.1:1, nowhere
heartbeat_interval_ms = 5
colour = blue
[agnet]
x = 1
`)
	_, _, err := LoadAgent([]string{"-config", file})
	var errs inischema.Errors
	require.True(t, errors.As(err, &errs))
	require.Equal(t, []string{
		`[] stray = "1": key outside of a section`,
		`[process] http_address: key given twice`,
		`[process] colour: unknown key; allowed: name, failure_domain, region, http_address, peer_address, platform_url, peers, drain_timeout_ms, log_verbosity, heartbeat_interval_ms`,
		`[agnet]: unknown section; allowed: [process], [agent]`,
		`[process] name = "Not A Name": not allowed; allowed: ` + inischema.Name.String(),
		`[process] http_address = "localhost:80": not allowed; allowed: IP:port`,
		`[process] peers = "nowhere": not allowed; allowed: a list, separated by commas, of IP:port`,
		`[process] heartbeat_interval_ms = "5": not allowed; allowed: 50 to 60000`,
		`[process] failure_domain: missing; allowed: ` + inischema.Name.String(),
		`[process] region: missing; allowed: ` + inischema.Name.String(),
		`[process] peer_address: missing; allowed: IP:port`,
		`[process] platform_url: missing; allowed: http://IP:port`,
		`[agent] exclusive_address: missing; allowed: IP:port`,
	}, errs.Lines())
}

// TestListenerAddressesMustDiffer checks that listeners with the same address,
// and a peer address that other processes cannot reach, are rejected.
func TestListenerAddressesMustDiffer(t *testing.T) {
	_, _, err := LoadAgent([]string{
		"-config", writeFile(t, agentFile),
		"-peer-address", "0.0.0.0:7301", "-exclusive-address", "0.0.0.0:7301",
	})
	require.ErrorContains(t, err, "other processes can't reach it")
	require.ErrorContains(t, err, "same as another listener")
}

func TestEntryDefaults(t *testing.T) {
	args := []string{
		"-name", "entry-1", "-failure-domain", "hall-sur", "-region", "metropolitana", "-http-address", "0.0.0.0:80",
		"-peer-address", "10.0.0.1:81", "-platform-url", "http://10.0.0.2:82",
	}
	entry, _, err := LoadEntry(args)
	require.NoError(t, err)
	require.True(t, entry.GetPlanner())
	require.Equal(t, int32(2), entry.GetConnectionsPerAgent())
	entry, _, err = LoadEntry(append(args, "-planner=false"))
	require.NoError(t, err)
	require.False(t, entry.GetPlanner())
}

// TestSchemaCoversAllFields checks that every field of the settings messages
// has a key with a default that can be decoded.
func TestSchemaCoversAllFields(t *testing.T) {
	for _, p := range []part{
		{ProcessSection, &settingsv1.Process{}},
		{EntrySection, &settingsv1.Entry{}},
		{AgentSection, &settingsv1.Agent{}},
	} {
		fields := p.msg.ProtoReflect().Descriptor().Fields()
		for i := range fields.Len() {
			if fields.Get(i).Kind() == protoreflect.MessageKind {
				continue
			}
			key, ok := p.section.Key(string(fields.Get(i).Name()))
			require.True(t, ok, fields.Get(i).FullName())
			require.Equal(t, key.Default, inischema.DefaultText(p.msg.ProtoReflect(), key), key.Name)
		}
	}
}
