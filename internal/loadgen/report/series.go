// Package report renders the results of experiments as an HTML page.
package report

import (
	"encoding/json"
	"fmt"
	"io"
)

// Names of the predefined plots, in the order in which a page shows them.
const (
	PlotGoodput     = "goodput"
	PlotRoleChanges = "role changes"
	PlotQueue       = "queue"
	PlotRoles       = "roles"
)

// Point is one value of a series.
type Point struct {
	// Seconds is the time since the start of the run.
	Seconds float64 `json:"t"`
	Value   float64 `json:"v"`
}

// Series is one line of a plot over time.
type Series struct {
	// Plot is the name of the plot that the line belongs to. Name is the name
	// of the line; it is empty if the plot has a single line per run.
	Plot   string  `json:"plot"`
	Name   string  `json:"name,omitempty"`
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
}

// Add appends a point.
func (s *Series) Add(seconds, value float64) {
	s.Points = append(s.Points, Point{Seconds: seconds, Value: value})
}

// Run is the result of one run. It is a subset of the results that
// marigold-load run and marigold-load bench write.
type Run struct {
	// Name is the name of the experiment or profile. Runs with the same name
	// share their plots.
	Name string `json:"name"`
	// Variant distinguishes the runs that are compared, for example "policy" or
	// "baseline".
	Variant string `json:"variant"`
	Seed    int64  `json:"seed"`
	// Goodput is the number of requests completed in time per second.
	Goodput     float64  `json:"goodput"`
	RoleChanges int      `json:"role_changes"`
	Series      []Series `json:"series"`
}

// Read decodes a run, or a list of runs, from JSON. Unknown members are
// ignored.
func Read(r io.Reader) ([]Run, error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	var runs []Run
	if json.Unmarshal(data, &runs) == nil {
		return runs, nil
	}
	var run Run
	if err := json.Unmarshal(data, &run); err != nil {
		return nil, fmt.Errorf("report: input is neither a run nor a list of runs: %w", err)
	}
	return []Run{run}, nil
}
