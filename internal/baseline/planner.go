package baseline

import (
	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
)

// Thresholds of the planner, as means over the engines that serve.
const (
	// PrefillThresholdTokens queued at which an engine turns to prefill.
	PrefillThresholdTokens = 8000
	// DecodeThresholdSequences running at which an engine turns to decode.
	DecodeThresholdSequences = 24
)

// EngineLoad is the last load report of a serving engine.
type EngineLoad struct {
	Engine             string
	Role               configv1.Role
	QueuedPromptTokens int64
	Sequences          int
}

// RoleChange is an order to one engine.
type RoleChange struct {
	Engine string
	Role   configv1.Role
}

// Plan looks at the last load reports: many queued prompt tokens turn the least
// busy other engine to prefill, many running sequences turn one to decode, and
// otherwise a specialised engine returns to mixed.
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
		return turn(loads, configv1.Role_ROLE_PREFILL)
	case sequences > DecodeThresholdSequences:
		return turn(loads, configv1.Role_ROLE_DECODE)
	default:
		return turn(loads, configv1.Role_ROLE_MIXED)
	}
}

// turn gives the role to the engine with fewest sequences that has another,
// as long as each stage keeps an engine.
func turn(loads []EngineLoad, role configv1.Role) (RoleChange, bool) {
	best := -1
	for i, l := range loads {
		if l.Role == role || !spare(loads, i, role) {
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

// spare reports whether both stages keep an engine when one takes a role.
func spare(loads []EngineLoad, i int, role configv1.Role) bool {
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
