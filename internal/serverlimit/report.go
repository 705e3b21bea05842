package serverlimit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// withdrawalTTL is how long a withdrawn limit is reported to other gateways.
	withdrawalTTL = 10 * time.Second
	// reportMargin is how much newer a report of another gateway must be to
	// replace what is known. Reports seem newer than they are by the time of their
	// transmission, and gateways would otherwise renew each other's.
	reportMargin = 100 * time.Millisecond
	// maxReports bounds the reports in one heartbeat.
	maxReports = 8
)

// Report is what one gateway reports to others about a server.
type Report struct {
	Server
	Statement
	// Age is the time since the server's answer.
	Age time.Duration
}

// Reports returns what other gateways need to know, the newest first.
func (b *Book) Reports(now time.Duration) []Report {
	var reports []Report
	for id, s := range b.servers {
		age := now - s.statedAt
		isWithdrawal := s.hasStated && age < withdrawalTTL
		if s.registered && (s.statement.Limited || isWithdrawal) {
			reports = append(reports, Report{Server: Server{id, s.startedUnixMs}, Statement: s.statement, Age: age})
		}
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.ID, b.ID))
	})
	return reports[:min(len(reports), maxReports)]
}

// Merge records a report of another gateway. It reports whether the limit has
// changed.
func (b *Book) Merge(now time.Duration, r Report) (Change, bool) {
	s := b.servers[r.ID]
	statedAt := now - r.Age
	hasStated := s != nil && s.startedUnixMs == r.StartedUnixMs && s.hasStated
	known := hasStated && statedAt <= s.statedAt+reportMargin
	if known || !hasStated && !r.Limited {
		return Change{}, false
	}
	return b.set(now, r.Server, normalize(r.Statement), statedAt)
}
