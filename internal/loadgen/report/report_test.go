package report

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// newTestRun returns a run with a goodput series and a role series.
func newTestRun(variant string, seed int64, goodput float64) Run {
	r := Run{Name: "swing", Variant: variant, Seed: seed, Goodput: goodput, RoleChanges: int(seed)}
	goodputs := Series{Plot: PlotGoodput, Name: "in time", Unit: "requests/s"}
	roles := Series{Plot: PlotRoles, Name: "prefill", Unit: "engines"}
	for i := range 20 {
		goodputs.Add(float64(i), goodput+float64(i%3))
		roles.Add(float64(i), float64(i/5))
	}
	r.Series = []Series{roles, goodputs}
	return r
}

// A page has one plot for each series name, escapes its title, and compares
// each variant with the baseline.
func TestPageComparesVariantsWithBaseline(t *testing.T) {
	runs := []Run{newTestRun("policy", 1, 30), newTestRun("policy", 2, 34), newTestRun("baseline", 1, 20), newTestRun("baseline", 2, 12)}
	var out bytes.Buffer
	require.NoError(t, Write(&out, "Trial <1>", runs))
	page := out.String()
	require.Equal(t, 2, strings.Count(page, "<svg"))
	require.Contains(t, page, "Trial &lt;1&gt;")
	require.Contains(t, page, "<td>policy</td><td>2</td><td>32.00</td><td>30.00</td><td>2.00</td><td>1.5</td><td>2</td>")
	require.NotContains(t, page, "<?xml")
}

// Read accepts a single run as well as a list and rejects anything else.
func TestReadAcceptsRunOrList(t *testing.T) {
	one, err := Read(strings.NewReader(`{"name":"a","variant":"policy","total":{"sent":1}}`))
	require.NoError(t, err)
	require.Equal(t, []Run{{Name: "a", Variant: "policy"}}, one)
	two, err := Read(strings.NewReader(`[{"name":"a"},{"name":"b"}]`))
	require.NoError(t, err)
	require.Len(t, two, 2)
	_, err = Read(strings.NewReader(`<html>`))
	require.Error(t, err)
}
