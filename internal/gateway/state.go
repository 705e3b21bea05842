package gateway

import (
	"time"

	"github.com/marigoldwing/marigoldwing/internal/limits"
	"github.com/marigoldwing/marigoldwing/internal/placement"
	"github.com/marigoldwing/marigoldwing/internal/poison"
	"github.com/marigoldwing/marigoldwing/internal/serverlimit"
)

// StateDump is the state of a gateway as shown on its debug endpoint.
type StateDump struct {
	Name          string                            `json:"name"`
	FailureDomain string                            `json:"failure_domain"`
	Leaving       bool                              `json:"leaving"`
	ConfigVersion int64                             `json:"config_version"`
	Services      map[string][]placement.ServerDump `json:"services"`
	// RetryTokens is the number of retries that the budget of each service
	// permits at present.
	RetryTokens map[string]float64 `json:"retry_tokens"`
	// ServerLimits are the limits that servers of each service have stated.
	ServerLimits map[string][]serverlimit.Dump `json:"server_limits"`
	// Pauses are the servers of each service that have asked for a pause and have not
	// accepted a request since.
	Pauses map[string][]serverlimit.PauseDump `json:"pauses"`
	// BlockedParts are the parts of prompts that are kept from the engines of each
	// service.
	BlockedParts map[string][]BlockDump `json:"blocked_parts"`
	// Duties are the calls to the platform that one gateway makes for all.
	Duties []DutyDump `json:"duties,omitempty"`
	// FairShares are the fair shares of the accounts of each service that has had requests
	// of accounts.
	FairShares map[string]limits.FairShareState `json:"fair_shares,omitempty"`
}

// BlockDump is a blocked part of prompts as shown in the state of a gateway.
type BlockDump struct {
	// Part is the hash of the part's ID, in hexadecimal.
	Part           string `json:"part"`
	Crashes        int    `json:"crashes"`
	LastCrashAgeMS int64  `json:"last_crash_age_ms"`
	FailedTrials   int    `json:"failed_trials"`
	UntilTrialMS   int64  `json:"until_trial_ms"`
}

func dumpBlocks(now time.Duration, blocks []poison.Block) []BlockDump {
	var dump []BlockDump
	for _, b := range blocks {
		if b.Lifted {
			continue
		}
		dump = append(dump, BlockDump{
			Part: traitText(b.Trait), Crashes: b.Crashes, LastCrashAgeMS: (now - b.LastCrash).Milliseconds(),
			FailedTrials: b.FailedTrials, UntilTrialMS: (b.NextTrial() - now).Milliseconds(),
		})
	}
	return dump
}

// State returns the current state for the debug endpoint.
func (g *Gateway) State() StateDump {
	current := g.state.Load()
	dump := StateDump{
		Name:          g.opts.Name,
		FailureDomain: g.opts.FailureDomain,
		Leaving:       g.stop.hasBegun(),
		Duties:        g.duties.dump(),
		Services:      make(map[string][]placement.ServerDump, len(current.services)),
		RetryTokens:   make(map[string]float64, len(current.services)),
		ServerLimits:  make(map[string][]serverlimit.Dump, len(current.services)),
		Pauses:        make(map[string][]serverlimit.PauseDump, len(current.services)),
		BlockedParts:  make(map[string][]BlockDump, len(current.services)),
		FairShares:    make(map[string]limits.FairShareState),
	}
	if current.config != nil {
		dump.ConfigVersion = current.config.Version
	}
	now := g.now()
	for name, s := range current.services {
		s.mu.Lock()
		dump.Services[name] = s.table.Dump(now)
		dump.RetryTokens[name] = s.budget.Tokens(now)
		dump.ServerLimits[name] = s.limits.Dump(now)
		dump.Pauses[name] = s.limits.DumpPauses(now)
		dump.BlockedParts[name] = dumpBlocks(now, s.poison.Blocks())
		if s.shares.fair != nil {
			dump.FairShares[name] = s.shares.fair.State(now)
		}
		s.mu.Unlock()
	}
	return dump
}
