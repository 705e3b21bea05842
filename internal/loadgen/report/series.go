// Package report draws the results of experiments as one HTML page.
package report

import (
	"encoding/json"
	"fmt"
	"io"
)

// Plots that a page shows, in this order; others follow by name.
const (
	PlotGoodput     = "goodput"
	PlotRoleChanges = "role changes"
	PlotQueue       = "queue"
	PlotRoles       = "roles"
)

// Point is one value of a series.
type Point struct {
	// Seconds since the start of the run.
	Seconds float64 `json:"t"`
	Value   float64 `json:"v"`
}

// Series is one line of a plot over time.
type Series struct {
	// Plot names the plot that the line belongs to, Name the line; Name is
	// empty when the plot has one line for each run.
	Plot   string  `json:"plot"`
	Name   string  `json:"name,omitempty"`
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
}

// Add adds a point.
func (s *Series) Add(seconds, value float64) {
	s.Points = append(s.Points, Point{Seconds: seconds, Value: value})
}

// Run is what a page needs of one run. It is a part of the results that the
// load tool and the policy bench write.
type Run struct {
	// Name of the experiment or profile; runs with the same name share plots.
	Name string `json:"name"`
	// Variant is what is compared, for example "policy" or "baseline".
	Variant string `json:"variant"`
	Seed    int64  `json:"seed"`
	// Goodput is in requests completed in time per second.
	Goodput     float64  `json:"goodput"`
	RoleChanges int      `json:"role_changes"`
	Series      []Series `json:"series"`
}

// Read reads one run, or a list of runs, in JSON. Other members are ignored.
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
		return nil, fmt.Errorf("report: neither a run nor a list of runs: %w", err)
	}
	return []Run{run}, nil
}
