package loadgen

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

const (
	metricsPath    = "/metrics"
	metricsTimeout = 5 * time.Second
	// attemptsMetric counts the attempts of an entry by service and kind.
	attemptsMetric = "marigold_attempts_total"
	kindLabel      = "kind"
)

// AttemptCount counts the attempts of one kind that the entries made: "first",
// "retry" or "resume".
type AttemptCount struct {
	Kind  string `json:"kind"`
	Count int    `json:"count"`
}

// attemptCounts are an entry's counters by kind.
type attemptCounts map[string]float64

// readAttempts sums up the counters of all entries; an entry that can't be
// read counts nothing.
func readAttempts(ctx context.Context, targets []string) attemptCounts {
	sum := make(attemptCounts)
	for _, target := range targets {
		counts, err := readEntry(ctx, target)
		if err != nil {
			continue
		}
		for kind, count := range counts {
			sum[kind] += count
		}
	}
	return sum
}

func readEntry(ctx context.Context, target string) (attemptCounts, error) {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target+metricsPath, nil)
	if err != nil {
		return nil, fmt.Errorf("load: metrics: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("load: metrics: %w", err)
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("load: metrics of %s: %w", target, err)
	}
	counts := make(attemptCounts)
	for _, m := range families[attemptsMetric].GetMetric() {
		counts[kindOf(m)] += m.GetCounter().GetValue()
	}
	return counts, nil
}

func kindOf(m *dto.Metric) string {
	for _, label := range m.GetLabel() {
		if label.GetName() == kindLabel {
			return label.GetValue()
		}
	}
	return ""
}

// since returns what has been added since an earlier reading. Counters that
// went back, as after a restart, count from 0.
func (c attemptCounts) since(before attemptCounts) []AttemptCount {
	var out []AttemptCount
	for kind, count := range c {
		added := count - before[kind]
		if added < 0 {
			added = count
		}
		if added > 0 {
			out = append(out, AttemptCount{Kind: kind, Count: int(added)})
		}
	}
	slices.SortFunc(out, func(a, b AttemptCount) int { return cmp.Compare(a.Kind, b.Kind) })
	return out
}
