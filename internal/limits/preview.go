package limits

import (
	"maps"
	"slices"
	"time"
)

// Preview returns what Admit would return, and counts nothing.
func (f *FairShare) Preview(now time.Duration, d Demand) Decision {
	preview, limiter := *f, *f.limiter
	limiter.fair = slices.Clone(limiter.fair)
	limiter.overflow.offeredRates = slices.Clone(limiter.overflow.offeredRates)
	limiter.accounts = maps.Clone(limiter.accounts)
	if a := limiter.accounts[d.Client]; a != nil {
		copied := *a
		copied.offeredRates = slices.Clone(a.offeredRates)
		limiter.accounts[d.Client] = &copied
	}
	preview.limiter = &limiter
	return preview.Admit(now, d)
}
