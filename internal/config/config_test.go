package config

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"pgregory.net/rapid"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	"github.com/marigoldwing/marigoldwing/internal/inischema"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// example parses a file of the examples directory.
func example(t testing.TB, name string) *configv1.Deployment {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
	require.NoError(t, err)
	d, err := Parse(data)
	require.NoError(t, err)
	return d
}

func count(d *configv1.Deployment, service string) int {
	n := 0
	for _, s := range d.GetBackendServers() {
		if s.GetService() == service {
			n++
		}
	}
	return n
}

// TestParseExamples checks the number of failure domains and backend servers in
// the example files, and that rendering and parsing them loses nothing.
func TestParseExamples(t *testing.T) {
	servicio, trust := example(t, "servicio.ini"), example(t, "trust.ini")
	require.Len(t, servicio.GetFailureDomains(), 4)
	require.Equal(t, 12, count(servicio, "tutor-lm"))
	require.Equal(t, 4, count(servicio, "counter-app"))
	require.Len(t, trust.GetFailureDomains(), 4)
	require.Equal(t, 9, count(trust, "guide-lm"))
	require.Equal(t, 4, count(trust, "passport-app"))
	for _, d := range []*configv1.Deployment{servicio, trust} {
		again, err := Parse(Render(d))
		require.NoError(t, err)
		require.True(t, proto.Equal(d, again))
	}
}

// TestParseReportsEveryError checks that one parse reports every problem of a
// file, and that error messages never contain tokens.
func TestParseReportsEveryError(t *testing.T) {
	_, err := Parse([]byte(`
[defaults]
max_deadline_ms = 1000
[failure_domain d1]
region = r
[failure_domain d2]
region = r
[model m]
version = 1
[service lm]
kind = model
model = other
deadline_ms = 2000
non_idempotent = POST /x
min_decode_per_domain = 2
[service app]
kind = plain
model = m
retry_budget = NaN
[backend_server e1]
service = lm
failure_domain = d1
agent = 10.0.0.1:1
address = http://10.0.0.1:2
[backend_server e2]
service = nope
failure_domain = d3
agent = 10.0.0.1:1
address = http://10.0.0.1:2
role = mixed
[backend_server p1]
service = app
failure_domain = d2
agent = 10.0.0.9:1
address = http://10.0.0.9:2/path
role = decode
max_batch = 1
[client a]
token = secretsecret
requests_per_second = 2
[client b]
token = secretsecret
[client b]
colour = blue
[client c]
token = hidden!!
[gizmo x]
`))
	var errs inischema.Errors
	require.ErrorAs(t, err, &errs)
	var got []string
	for _, e := range errs {
		got = append(got, e.Section+" "+e.Key+": "+e.Problem)
	}
	require.Equal(t, []string{
		"service app retry_budget: not allowed",
		"backend_server p1 address: not allowed",
		"client b : section given twice",
		"client c token: not allowed",
		"gizmo x : unknown section",
		"deployment : missing section",
		"service app model: not for kind plain",
		"service app deadline_ms: too long",
		"service lm model: no such model",
		"service lm non_idempotent: not for kind model",
		"service lm deadline_ms: too long",
		"backend_server e1 prefill_tokens_per_second: required for engines",
		"backend_server e1 decode_tokens_per_second: required for engines",
		"backend_server e1 max_batch: required for engines",
		"backend_server e2 failure_domain: no such failure domain",
		"backend_server e2 service: no such service",
		"backend_server p1 role: for engines only",
		"backend_server p1 max_batch: for engines only",
		"backend_server e2 agent: agent is in another failure domain",
		"backend_server e2 address: address of backend_server e1",
		"service lm min_decode_per_domain: too many",
		"client a burst: no request would be admitted",
		"client b token: token of client a",
	}, got)
	require.NotContains(t, err.Error(), "secretsecret", "tokens are not shown")
	require.NotContains(t, err.Error(), "hidden!!", "tokens are not shown")
}

// TestSchemaCoversAllFields checks that each message field has a key in the
// schema and that each default value is valid.
func TestSchemaCoversAllFields(t *testing.T) {
	for _, section := range Sections() {
		msg := newItem(&configv1.Deployment{}, section.Name).ProtoReflect()
		fields := msg.Descriptor().Fields()
		for i := range fields.Len() {
			name := string(fields.Get(i).Name())
			if fields.Get(i).Kind() == protoreflect.MessageKind || section.Named && name == "name" {
				continue
			}
			key, ok := section.Key(name)
			require.True(t, ok, fields.Get(i).FullName())
			inischema.SetDefault(msg.New().Interface(), key)
		}
	}
}

// genDeployment draws a valid deployment by modifying base.
func genDeployment(t *rapid.T, base *configv1.Deployment) *configv1.Deployment {
	d := proto.CloneOf(base)
	for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(d.GetBackendServers())-1), 0, 5).Draw(t, "drained") {
		d.BackendServers[i].Drain = !d.BackendServers[i].GetDrain()
	}
	d.Services[1].GoodputPrice = rapid.Float64Range(0, maxPrice).Draw(t, "price")
	d.Services[0].RetryBudget = rapid.Float64Range(0, 1).Draw(t, "budget")
	d.Clients = nil
	for _, name := range rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z0-9]{1,3}`), 0, 6, rapid.ID).Draw(t, "clients") {
		weight := rapid.Float64Range(0.001, 1000).Draw(t, "weight")
		d.Clients = append(d.Clients, &configv1.Client{Name: name, Weight: weight, Priority: rapid.Int32Range(0, 9).Draw(t, "priority")})
	}
	sortItems(d)
	return d
}

func accepted(revision uint64, id string, d *configv1.Deployment) *configv1.AcceptedDeployment {
	recent := []*configv1.ApplyRecord{{Revision: revision, ApplyId: id}}
	return &configv1.AcceptedDeployment{Revision: revision, ApplyId: id, Deployment: d, Recent: recent}
}

// TestRenderDiffAndDeltaAreConsistent checks for random deployments that Render
// and Parse are inverse, that Diff is empty only for equal ones, and that a
// delta applies to its base and to nothing else.
func TestRenderDiffAndDeltaAreConsistent(t *testing.T) {
	base := example(t, "servicio.ini")
	rapid.Check(t, func(t *rapid.T) {
		a, b := genDeployment(t, base), genDeployment(t, base)
		again, err := Parse(Render(b))
		require.NoError(t, err)
		require.True(t, proto.Equal(b, again))
		require.Equal(t, proto.Equal(a, b), len(Diff(a, b)) == 0)
		from := accepted(7, "x", a)
		to := successor(from, ApplyRequest{Deployment: b, ID: "y", Author: "ana"}, time.UnixMilli(5))
		delta := NewDelta(from, to)
		got, err := ApplyDelta(from, delta)
		require.NoError(t, err)
		require.True(t, proto.Equal(to, got))
		if !proto.Equal(a, b) {
			_, err = ApplyDelta(accepted(7, "x", b), NewDelta(from, successor(from, ApplyRequest{Deployment: a}, time.Time{})))
			require.ErrorIs(t, err, ErrDeltaMismatch, "a different base must result in a checksum mismatch")
		}
		_, err = ApplyDelta(accepted(6, "x", a), delta)
		require.ErrorIs(t, err, ErrDeltaMismatch)
	})
}

// TestFormatChanges checks the line for each kind of change, without the values
// of tokens.
func TestFormatChanges(t *testing.T) {
	a := example(t, "servicio.ini")
	b := proto.CloneOf(a)
	b.Clients = b.Clients[1:]
	b.Clients[0].Token = "another-token"
	b.Services[1].MaxChanges = 4
	b.Models = append(b.Models, &configv1.Model{Name: "zz", Version: "1"})
	require.Equal(t, []string{
		"+ [model zz]",
		`~ [service tutor-lm] max_changes: "3" -> "4"`,
		"- [client families]",
		"~ [client librarians] token changed",
	}, FormatChanges(Diff(a, b)))
}

// TestEvaluateAdoptsOnlyIncreasingRevisions checks that only valid candidates
// with a higher revision are adopted, and which alarms the others raise.
func TestEvaluateAdoptsOnlyIncreasingRevisions(t *testing.T) {
	d := example(t, "trust.ini")
	bad := proto.CloneOf(d)
	bad.Services[0].Model = "nope"
	table := []struct {
		name      string
		have, got *configv1.AcceptedDeployment
		source    Source
		adopt     bool
		alarm     Alarm
	}{
		{"first", nil, accepted(3, "a", d), FromPeer, true, NoAlarm},
		{"no configuration anywhere", nil, nil, FromStore, false, NoAlarm},
		{"newer", accepted(3, "a", d), accepted(9, "b", d), FromStore, true, NoAlarm},
		{"same", accepted(3, "a", d), accepted(3, "a", d), FromStore, false, NoAlarm},
		{"older store", accepted(3, "a", d), accepted(2, "b", d), FromStore, false, AlarmStoreOlder},
		{"empty store", accepted(3, "a", d), nil, FromStore, false, AlarmStoreOlder},
		{"older peer", accepted(3, "a", d), accepted(2, "b", d), FromPeer, false, NoAlarm},
		{"conflicting applies", accepted(3, "a", d), accepted(3, "b", d), FromPeer, false, AlarmConflictingApplies},
		{"invalid", accepted(3, "a", d), accepted(4, "b", bad), FromStore, false, AlarmInvalid},
	}
	for _, c := range table {
		v := Evaluate(c.have, c.got, c.source)
		require.Equal(t, c.adopt, v.Adopt, c.name)
		require.Equal(t, c.alarm, v.Alarm, c.name)
	}
	require.Equal(t, uint64(9), Newest(accepted(3, "a", d), nil, accepted(9, "b", d), accepted(4, "c", d)).GetRevision())
}

// TestDecideApply covers new, retried, conflicting and empty applies, and
// stores that hold an older revision than the one in force.
func TestDecideApply(t *testing.T) {
	d, other := example(t, "trust.ini"), example(t, "trust.ini")
	other.Clients = nil
	now := time.UnixMilli(1000)
	v := DecideApply(nil, nil, ApplyRequest{Deployment: d, ID: "a"}, now)
	require.Equal(t, uint64(1), v.Next.GetRevision())
	stored := v.Next
	require.Equal(t, uint64(1), DecideApply(stored, nil, ApplyRequest{Deployment: d, ID: "a"}, now).Revision, "a retried apply is recognized")
	v = DecideApply(stored, nil, ApplyRequest{Deployment: other, ID: "b"}, now)
	require.True(t, v.Conflict)
	require.Len(t, v.Changes, 3)
	require.True(t, DecideApply(stored, nil, ApplyRequest{Deployment: d, ID: "c", BaseRevision: 1}, now).NoOp, "the file changes nothing")
	v = DecideApply(stored, nil, ApplyRequest{Deployment: other, ID: "c", BaseRevision: 1}, now)
	require.Equal(t, uint64(2), v.Next.GetRevision())
	require.Equal(t, uint64(1), DecideApply(v.Next, nil, ApplyRequest{ID: "a"}, now).Revision, "a retried apply is recognized after a later one")
	v = DecideApply(stored, accepted(9, "z", d), ApplyRequest{Deployment: other, ID: "c", BaseRevision: 9}, now)
	require.Equal(t, uint64(10), v.Next.GetRevision(), "a store that lost writes must not reset the revision")
	v = DecideApply(stored, accepted(9, "z", d), ApplyRequest{Deployment: d, ID: "c", BaseRevision: 9}, now)
	require.Equal(t, uint64(10), v.Next.GetRevision(), "an older store must be written even if the file changes nothing")
}

// FuzzParse checks that every file that parses can be rendered and parsed again
// without a difference.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"servicio.ini", "trust.ini"} {
		f.Add(string(Render(example(f, name))))
	}
	f.Add("[service x]\nkind = model\nnon_idempotent = POST /a, GET /b\n\"\"\"")
	f.Add("[deployment]\nname = `a`\n[defaults]\nclient_weight = 1e2\n[client a]\ntoken = \"\"\"12345678\"\"\"\nweight = 0x1p-2")
	f.Fuzz(func(t *testing.T, text string) {
		d, err := Parse([]byte(text))
		if err != nil {
			require.NotEmpty(t, strings.TrimSpace(err.Error()))
			return
		}
		again, err := Parse(Render(d))
		require.NoError(t, err, string(Render(d)))
		require.True(t, proto.Equal(d, again))
	})
}
