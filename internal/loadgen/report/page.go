package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"slices"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// page is the data of the page template.
type page struct {
	Title       string
	Experiments []experiment
}

// experiment is the section of one experiment.
type experiment struct {
	Name  string
	Rows  []row
	Plots []template.HTML
}

// row summarizes the runs of one variant.
type row struct {
	Variant      string
	Runs         int
	Goodput      string
	WorstGoodput string
	RoleChanges  string
	MostChanges  int
	Relative     string
}

// Write writes an HTML page with all runs. Its tables aggregate all seeds of a
// variant; its plots show the run with the lowest seed of each variant.
func Write(w io.Writer, title string, runs []Run) error {
	p := page{Title: title}
	for _, name := range distinct(runs, func(r Run) string { return r.Name }) {
		experimentRuns := slices.DeleteFunc(slices.Clone(runs), func(r Run) bool { return r.Name != name })
		section, err := newExperiment(name, experimentRuns)
		if err != nil {
			return err
		}
		p.Experiments = append(p.Experiments, section)
	}
	if err := pageTemplate.Execute(w, p); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// distinct returns the distinct values of a member of the runs, in order of
// first appearance.
func distinct(runs []Run, member func(Run) string) []string {
	var out []string
	for _, r := range runs {
		if name := member(r); !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

// newExperiment returns the section of one experiment, with a row for each
// variant.
func newExperiment(name string, runs []Run) (experiment, error) {
	section := experiment{Name: name}
	var plotted []Run
	for _, variant := range distinct(runs, func(r Run) string { return r.Variant }) {
		variantRuns := slices.DeleteFunc(slices.Clone(runs), func(r Run) bool { return r.Variant != variant })
		section.Rows = append(section.Rows, newRow(variant, variantRuns))
		plotted = append(plotted, slices.MinFunc(variantRuns, func(a, b Run) int { return int(a.Seed - b.Seed) }))
	}
	setRelativeGoodput(section.Rows, runs)
	for _, plotName := range plotNames(plotted) {
		svg, err := drawSVG(plotName, plotted)
		if err != nil {
			return section, err
		}
		section.Plots = append(section.Plots, template.HTML(svg))
	}
	return section, nil
}

// newRow aggregates the runs of a variant.
func newRow(variant string, runs []Run) row {
	goodputs, changes := make([]float64, 0, len(runs)), make([]int, 0, len(runs))
	for _, r := range runs {
		goodputs = append(goodputs, r.Goodput)
		changes = append(changes, r.RoleChanges)
	}
	return row{
		Variant:      variant,
		Runs:         len(runs),
		Goodput:      fmt.Sprintf("%.2f", median(goodputs)),
		WorstGoodput: fmt.Sprintf("%.2f", slices.Min(goodputs)),
		RoleChanges:  fmt.Sprint(medianInt(changes)),
		MostChanges:  slices.Max(changes),
	}
}

// setRelativeGoodput sets the goodput of each variant relative to the last
// variant, which is the baseline.
func setRelativeGoodput(rows []row, runs []Run) {
	medianGoodput := func(variant string) float64 {
		var goodputs []float64
		for _, r := range runs {
			if r.Variant == variant {
				goodputs = append(goodputs, r.Goodput)
			}
		}
		return median(goodputs)
	}
	base := medianGoodput(rows[len(rows)-1].Variant)
	for i := range rows {
		rows[i].Relative = "-"
		if base > 0 {
			rows[i].Relative = fmt.Sprintf("%.2f", medianGoodput(rows[i].Variant)/base)
		}
	}
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

func medianInt(values []int) float64 {
	floats := make([]float64, len(values))
	for i, v := range values {
		floats[i] = float64(v)
	}
	return median(floats)
}

// plotNames returns the names of the plots of the runs: first the predefined
// ones, then any others in order of appearance.
func plotNames(runs []Run) []string {
	var found []string
	for _, r := range runs {
		for _, s := range r.Series {
			if !slices.Contains(found, s.Plot) {
				found = append(found, s.Plot)
			}
		}
	}
	known := []string{PlotGoodput, PlotRoleChanges, PlotQueue, PlotRoles}
	rank := func(name string) int {
		if i := slices.Index(known, name); i >= 0 {
			return i
		}
		return len(known)
	}
	slices.SortStableFunc(found, func(a, b string) int { return rank(a) - rank(b) })
	return found
}
