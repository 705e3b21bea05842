package baseline

import (
	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
)

// Thresholds of the planner, as means over the serving engines.
const (
	// PrefillThresholdTokens is the number of queued prompt tokens above which
	// an engine is changed to prefill.
	PrefillThresholdTokens = 8000
	// DecodeThresholdSequences is the number of sequences above which an engine
	// is changed to decode.
	DecodeThresholdSequences = 24
)

// EngineLoad is the latest load report of a serving engine.
type EngineLoad struct {
	Engine             string
	Role               configv1.Role
	QueuedPromptTokens int64
	Sequences          int
}

// RoleChange is an order to change the role of an engine.
type RoleChange struct {
	Engine string
	Role   configv1.Role
}

// Plan applies the thresholds to the latest load reports. Many queued prompt
// tokens change the least busy other engine to prefill, and many sequences
// change one to decode; otherwise a specialized engine changes back to mixed.
// Plan returns false if no change is needed or possible.
func Plan(loads []EngineLoad) (RoleChange, bool) {
	if len(loads) == 0 {
		return RoleChange{}, false
	}
	prompt, sequences := 0.0, 0.0
	for _, l := range loads {
		prompt += float64(l.QueuedPromptTokens) / float64(len(loads))
		sequences += float64(l.Sequences) / float64(len(loads))
	}
	switch {
	case prompt > PrefillThresholdTokens:
		return changeLeastBusy(loads, configv1.Role_ROLE_PREFILL)
	case sequences > DecodeThresholdSequences:
		return changeLeastBusy(loads, configv1.Role_ROLE_DECODE)
	default:
		return changeLeastBusy(loads, configv1.Role_ROLE_MIXED)
	}
}

// changeLeastBusy changes the engine with the fewest sequences that does not
// have the role yet, provided that at least one engine remains for each stage.
func changeLeastBusy(loads []EngineLoad, role configv1.Role) (RoleChange, bool) {
	best := -1
	for i, l := range loads {
		if l.Role == role || !bothStagesServed(loads, i, role) {
			continue
		}
		if best < 0 || l.Sequences < loads[best].Sequences {
			best = i
		}
	}
	if best < 0 {
		return RoleChange{}, false
	}
	return RoleChange{Engine: loads[best].Engine, Role: role}, true
}

// bothStagesServed reports whether at least one engine can prefill and one can
// decode after engine i has changed to the role.
func bothStagesServed(loads []EngineLoad, i int, role configv1.Role) bool {
	prefill, decode := 0, 0
	for j, l := range loads {
		r := l.Role
		if i == j {
			r = role
		}
		if r != configv1.Role_ROLE_DECODE {
			prefill++
		}
		if r != configv1.Role_ROLE_PREFILL {
			decode++
		}
	}
	return prefill > 0 && decode > 0
}
