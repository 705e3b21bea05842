package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	loadv1 "github.com/marigoldwing/marigoldwing/api/load/v1"
	"github.com/marigoldwing/marigoldwing/internal/standin/service"
)

// recordTimeout limits the time to read one record.
const recordTimeout = 10 * time.Second

// auditEffects compares the outcomes of non-idempotent requests with the
// effects that the stand-in services recorded.
func auditEffects(ctx context.Context, experiment *loadv1.Experiment, t *tally) {
	effects := make(service.EffectCounts)
	unreadable := 0
	for _, url := range experiment.GetServices() {
		counts, err := readRecord(ctx, url)
		if err != nil {
			unreadable++
			continue
		}
		for key, count := range counts {
			effects[key] += count
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.audit = EffectAudit{UnreadableRecords: unreadable}
	if len(experiment.GetServices()) == 0 {
		return
	}
	for _, out := range t.outcomes {
		if out.Arrival.Class.GetNonIdempotent() {
			t.audit.add(out, effects[out.Key])
		}
	}
}

// add audits one non-idempotent request, given the number of its effects.
func (a *EffectAudit) add(out Outcome, effects int) {
	a.Checked++
	a.Duplicates += max(0, effects-1)
	if out.Verdict == Refused && effects > 0 {
		a.FalseRefusals++
	}
	if out.Verdict == Answered && effects == 0 {
		a.MissingEffects++
	}
}

// readRecord reads the effect counts of a stand-in service.
func readRecord(ctx context.Context, baseURL string) (service.EffectCounts, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL+service.PathRecord, nil)
	if err != nil {
		return nil, fmt.Errorf("loadgen: record: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("loadgen: record: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("loadgen: record: %w", err)
	}
	counts := service.EffectCounts{}
	if err := json.Unmarshal(body, &counts); err != nil {
		return nil, fmt.Errorf("loadgen: record of %s: %w", baseURL, err)
	}
	return counts, nil
}
