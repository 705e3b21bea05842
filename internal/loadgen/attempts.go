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
	// attemptsMetric is an entry's counter of attempts by service and kind.
	attemptsMetric = "marigold_attempts_total"
	kindLabel      = "kind"
)

// AttemptCount is the number of attempts of one kind made by the entries. The
// kind is "first", "retry" or "resume".
type AttemptCount struct {
	Kind  string `json:"kind"`
	Count int    `json:"count"`
}

// attemptCounts are the values of the attempt counters by kind.
type attemptCounts map[string]float64

// readAttempts sums the counters of all entries. Entries that cannot be read
// are ignored.
func readAttempts(ctx context.Context, targets []string) attemptCounts {
	sum := make(attemptCounts)
	for _, target := range targets {
		counts, err := readEntryAttempts(ctx, target)
		if err != nil {
			continue
		}
		for kind, count := range counts {
			sum[kind] += count
		}
	}
	return sum
}

// readEntryAttempts reads the counters of one entry.
func readEntryAttempts(ctx context.Context, target string) (attemptCounts, error) {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target+metricsPath, nil)
	if err != nil {
		return nil, fmt.Errorf("loadgen: metrics: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("loadgen: metrics: %w", err)
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("loadgen: metrics of %s: %w", target, err)
	}
	counts := make(attemptCounts)
	for _, m := range families[attemptsMetric].GetMetric() {
		counts[attemptKind(m)] += m.GetCounter().GetValue()
	}
	return counts, nil
}

func attemptKind(m *dto.Metric) string {
	for _, label := range m.GetLabel() {
		if label.GetName() == kindLabel {
			return label.GetValue()
		}
	}
	return ""
}

// since returns the increase of the counters since an earlier reading. A
// counter that decreased was reset by a restart and counts from 0.
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
