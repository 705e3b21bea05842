package slopes

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const output = `
goos: linux
BenchmarkChoose/engines=100-12   1000  250 ns/op  16 B/op
BenchmarkChoose/engines=200-12   1000  450 ns/op  16 B/op
BenchmarkChoose/engines=400-12   1000  850 ns/op  16 B/op
BenchmarkChoose/engines=400-12   1000  850 ns/op  16 B/op
BenchmarkPlain-12                1000  3 ns/op
BenchmarkPairs/engines=10-12     1000  100 ns/op
BenchmarkPairs/engines=20-12     1000  400 ns/op
BenchmarkPairs/engines=40-12     1000  1600 ns/op
PASS
`

// Linear and quadratic growth are recovered from benchmark output, and lines
// without a size are ignored.
func TestFitsLinesAndPowers(t *testing.T) {
	metrics, err := Read(strings.NewReader(output))
	require.NoError(t, err)
	require.Len(t, metrics, 3)
	fit, err := FitMetric(metrics[0])
	require.NoError(t, err)
	require.InDelta(t, 50, fit.Intercept, 1e-6)
	require.InDelta(t, 2, fit.Slope, 1e-9)
	require.InDelta(t, 1, fit.R2, 1e-9)
	require.InDelta(t, 1930, fit.At(940), 1e-6)
	fit, err = FitMetric(metrics[2])
	require.NoError(t, err)
	require.InDelta(t, 2, fit.Exponent, 1e-9, "quadratic growth has exponent 2")

	var out strings.Builder
	require.NoError(t, Write(&out, metrics, map[string]float64{"engines": 940}))
	require.Contains(t, out.String(), "1930 at 940")
}

// A fit requires three sizes, and a metric that is always zero has slope 0 and
// no exponent.
func TestFitRequiresThreeSizesAndAcceptsZeros(t *testing.T) {
	_, err := FitMetric(Metric{Points: []Point{{1, 1}, {2, 2}}})
	require.Error(t, err)
	fit, err := FitMetric(Metric{Points: []Point{{1, 0}, {2, 0}, {3, 0}}})
	require.NoError(t, err)
	require.Zero(t, fit.Slope)
	require.True(t, math.IsNaN(fit.Exponent))
}
