package report

import (
	"bytes"
	"fmt"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Layout of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	lineWidth  = vg.Length(1.5)
	// legendPadding is the space between the rows of the legend.
	legendPadding = vg.Length(2)
	// headroom is the space above the highest value, and rowHeadroom the
	// additional space for each row of the legend, as fractions of that value.
	headroom    = 0.1
	rowHeadroom = 0.08
	// rightMargin leaves room for the last label of the time axis.
	rightMargin = 4 * vg.Millimeter
)

// newPlot draws one plot with the series of all runs. Colours distinguish the
// variants, dash patterns the series of one variant.
func newPlot(name string, runs []Run) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = name
	p.X.Label.Text = "seconds"
	p.Legend.Top = true
	// The legend is on the left: browsers may render its text wider than it was
	// measured, and on the right it would overlap the lines.
	p.Legend.Left = true
	p.Legend.Padding = legendPadding
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	highest, rows := 0.0, 0
	for colour, run := range runs {
		dash := 0
		for _, s := range run.Series {
			if s.Plot != name || len(s.Points) == 0 {
				continue
			}
			line, top, err := newLine(s, colour, dash)
			if err != nil {
				return nil, err
			}
			if s.Name != "" && top == 0 {
				// Omit a named series that is always zero.
				continue
			}
			p.Add(line)
			p.Legend.Add(strings.TrimSpace(run.Variant+" "+s.Name), line)
			p.Y.Label.Text = s.Unit
			highest = max(highest, top)
			dash++
			rows++
		}
	}
	p.Y.Max = max(1, highest*(1+headroom+rowHeadroom*float64(rows)))
	return p, nil
}

// newLine returns the line for a series and the highest value of the series.
func newLine(s Series, colour, dash int) (*plotter.Line, float64, error) {
	points := make(plotter.XYs, len(s.Points))
	highest := 0.0
	for i, point := range s.Points {
		points[i].X, points[i].Y = point.Seconds, point.Value
		highest = max(highest, point.Value)
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return nil, 0, fmt.Errorf("report: plot %s: %w", s.Plot, err)
	}
	line.Color = plotutil.Color(colour)
	line.Dashes = plotutil.Dashes(dash)
	line.Width = lineWidth
	return line, highest, nil
}

// drawSVG renders a plot as an SVG element, without an XML declaration.
func drawSVG(name string, runs []Run) (string, error) {
	p, err := newPlot(name, runs)
	if err != nil {
		return "", err
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.Crop(draw.New(canvas), 0, -rightMargin, 0, 0))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", fmt.Errorf("report: plot %s: %w", name, err)
	}
	text := out.String()
	return text[max(0, strings.Index(text, "<svg")):], nil
}
