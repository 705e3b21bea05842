// Package slopes reads the output of Go benchmarks that were run at several
// sizes and fits each metric to a linear function and to a power of the size.
package slopes

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// minSizes is the minimum number of sizes that a fit requires.
const minSizes = 3

// Point is the value of a metric at one size.
type Point struct {
	Size, Value float64
}

// Metric is one metric of a benchmark at all sizes.
type Metric struct {
	// Benchmark is the name of the benchmark without its size. Dimension is
	// what the size counts, for example "engines". Unit is the unit of the
	// values, for example "ns/op".
	Benchmark, Dimension, Unit string
	Points                     []Point
}

// Fit is the result of fitting a metric.
type Fit struct {
	// Intercept and Slope describe the least-squares line, and R2 is its
	// coefficient of determination.
	Intercept, Slope, R2 float64
	// Exponent is the exponent of the fitted power of the size; it is 1 for a
	// metric that grows in proportion to the size. It is NaN if any value is 0
	// or negative.
	Exponent float64
}

// At returns the value of the fitted line at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

// benchmarkName matches "BenchmarkName/dimension=size-procs", as printed by go
// test -bench.
var benchmarkName = regexp.MustCompile(`^Benchmark([^\s=]+)/([a-z-]+)=([0-9]+)(?:-[0-9]+)?$`)

// Read parses the output of benchmarks into metrics. It ignores lines whose
// benchmark name contains no size, and takes the median of repeated runs.
func Read(r io.Reader) ([]Metric, error) {
	var metrics []Metric
	scan := bufio.NewScanner(r)
	for scan.Scan() {
		fields := strings.Fields(scan.Text())
		if len(fields) < 4 {
			continue
		}
		name := benchmarkName.FindStringSubmatch(fields[0])
		if name == nil {
			continue
		}
		size, err := strconv.ParseFloat(name[3], 64)
		if err != nil {
			return nil, fmt.Errorf("slopes: %s: %w", fields[0], err)
		}
		for i := 2; i+1 < len(fields); i += 2 {
			value, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, fmt.Errorf("slopes: %s: %w", fields[0], err)
			}
			metrics = addPoint(metrics, Metric{Benchmark: name[1], Dimension: name[2], Unit: fields[i+1]}, Point{size, value})
		}
	}
	if err := scan.Err(); err != nil {
		return nil, fmt.Errorf("slopes: %w", err)
	}
	for i := range metrics {
		metrics[i].Points = medians(metrics[i].Points)
	}
	return metrics, nil
}

// addPoint adds a point to the metric that it belongs to.
func addPoint(metrics []Metric, key Metric, p Point) []Metric {
	for i, m := range metrics {
		if m.Benchmark == key.Benchmark && m.Dimension == key.Dimension && m.Unit == key.Unit {
			metrics[i].Points = append(m.Points, p)
			return metrics
		}
	}
	key.Points = []Point{p}
	return append(metrics, key)
}

// medians returns the median value for each size, ordered by size.
func medians(points []Point) []Point {
	bySize := make(map[float64][]float64)
	for _, p := range points {
		bySize[p.Size] = append(bySize[p.Size], p.Value)
	}
	out := make([]Point, 0, len(bySize))
	for size, values := range bySize {
		slices.Sort(values)
		n := len(values)
		out = append(out, Point{size, (values[(n-1)/2] + values[n/2]) / 2})
	}
	slices.SortFunc(out, func(a, b Point) int { return int(a.Size - b.Size) })
	return out
}

// FitMetric fits a metric. It returns an error if the metric has fewer than
// three sizes.
func FitMetric(m Metric) (Fit, error) {
	if len(m.Points) < minSizes {
		return Fit{}, fmt.Errorf("slopes: %s %s has %d sizes, need at least %d", m.Benchmark, m.Unit, len(m.Points), minSizes)
	}
	var fit Fit
	fit.Intercept, fit.Slope, fit.R2 = fitLine(m.Points)
	logs := make([]Point, len(m.Points))
	for i, p := range m.Points {
		if p.Value <= 0 {
			fit.Exponent = math.NaN()
			return fit, nil
		}
		logs[i] = Point{math.Log(p.Size), math.Log(p.Value)}
	}
	_, fit.Exponent, _ = fitLine(logs)
	return fit, nil
}

// fitLine fits a line by least squares.
func fitLine(points []Point) (intercept, slope, r2 float64) {
	n := float64(len(points))
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.Size / n
		meanY += p.Value / n
	}
	var xx, xy, yy float64
	for _, p := range points {
		dx, dy := p.Size-meanX, p.Value-meanY
		xx += dx * dx
		xy += dx * dy
		yy += dy * dy
	}
	slope = xy / xx
	r2 = 1.0
	if yy > 0 {
		r2 = xy * xy / (xx * yy)
	}
	return meanY - slope*meanX, slope, r2
}

// Write prints a table with one row per metric. targets maps a dimension to the
// size at which to extrapolate the fitted line.
func Write(w io.Writer, metrics []Metric, targets map[string]float64) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "benchmark\tunit\tsizes\tvalues\tfixed\tslope\tR2\tpower\tat target")
	for _, m := range metrics {
		fit, err := FitMetric(m)
		if err != nil {
			sizes, values := formatPoints(m.Points)
			fmt.Fprintf(table, "%s\t%s\t%s %s\t%s\ttoo few sizes\n", m.Benchmark, m.Unit, m.Dimension, sizes, values)
			continue
		}
		at := "-"
		if size, ok := targets[m.Dimension]; ok {
			at = fmt.Sprintf("%.4g at %g", fit.At(size), size)
		}
		sizes, values := formatPoints(m.Points)
		fmt.Fprintf(table, "%s\t%s\t%s %s\t%s\t%.4g\t%.4g\t%.3f\t%.2f\t%s\n",
			m.Benchmark, m.Unit, m.Dimension, sizes, values, fit.Intercept, fit.Slope, fit.R2, fit.Exponent, at)
	}
	return table.Flush()
}

// formatPoints returns the sizes and the values as comma-separated lists.
func formatPoints(points []Point) (sizes, values string) {
	var s, v []string
	for _, p := range points {
		s = append(s, strconv.FormatFloat(p.Size, 'g', -1, 64))
		v = append(v, strconv.FormatFloat(p.Value, 'g', 5, 64))
	}
	return strings.Join(s, ","), strings.Join(v, ",")
}
