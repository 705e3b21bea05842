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
	unread := 0
	for _, url := range experiment.GetServices() {
		record, err := readRecord(ctx, url)
		if err != nil {
			unread++
			continue
		}
		for key, count := range record {
			effects[key] += count
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.audit = EffectAudit{UnreadableRecords: unread}
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
func (j *EffectAudit) add(out Outcome, effects int) {
	j.Checked++
	j.Duplicates += max(0, effects-1)
	if out.Verdict == Refused && effects > 0 {
		j.FalseRefusals++
	}
	if out.Verdict == Answered && effects == 0 {
		j.MissingEffects++
	}
}

func readRecord(ctx context.Context, base string) (service.EffectCounts, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+service.PathRecord, nil)
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
	record := service.EffectCounts{}
	if err := json.Unmarshal(body, &record); err != nil {
		return nil, fmt.Errorf("loadgen: record of %s: %w", base, err)
	}
	return record, nil
}
