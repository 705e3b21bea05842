package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/poison"
	"github.com/marigoldwing/marigoldwing/internal/upstream"
)

const (
	// reasonPoisonous is the reason of a refusal for a blocked part.
	reasonPoisonous = "poisonous_prompt"
	// minBlockedRetryAfter is the shortest Retry-After of such a refusal.
	minBlockedRetryAfter = time.Second
	// provenAfter is how long after its first event a stream that still yields events
	// shows that its prompt is sound.
	provenAfter = time.Second
	// poisonInterval is how often evidence is judged that has only grown older, and the
	// least time between two notifications of other gateways of new evidence. Each of
	// many gateways that have lost requests with an engine has something new.
	poisonInterval = 200 * time.Millisecond
	// An engine that ends connections without an answer is asked engineChecks times,
	// engineCheckInterval apart, because a live one does so at times.
	engineChecks        = 3
	engineCheckInterval = 50 * time.Millisecond
)

// Sources of what a gateway learns about crashes and blocked parts.
const (
	// poisonFromSelf: this gateway's own evidence and decision.
	poisonFromSelf = "own"
	// poisonFromPeer: another gateway, as a metric label. Logs name it.
	poisonFromPeer = "peer"
	// poisonFromStore: a block that was stored.
	poisonFromStore = "store"
)

// engineName names a start of an engine among all gateways.
func engineName(server fleet.Server) string {
	return fmt.Sprintf("%s@%d", server.ID, server.StartedUnixMs)
}

// poisonParts returns the parts of the prompt that other prompts may share; nil if
// the request is for no engine.
func (q *request) poisonParts() []poison.Trait {
	if !q.service.isEngineService() {
		return nil
	}
	shared := sharedParts(q.meta.Parts)
	parts := make([]poison.Trait, 0, len(shared))
	for _, p := range shared {
		parts = append(parts, poison.PartOf(p.ID))
	}
	return parts
}

// requestTraits returns the traits of the request as a whole, the most specific one
// first.
func (q *request) requestTraits() []poison.Trait {
	return poison.Request{
		Method: q.r.Method, Host: q.r.Host, Path: q.r.URL.EscapedPath(), Query: q.r.URL.RawQuery, Caller: q.meta.Caller, Body: q.body,
	}.Traits()
}

// recordEvidence records what the end of an attempt says about the parts of its
// prompt.
func (q *request) recordEvidence(out outcome, server fleet.Server) {
	switch {
	case out.connectionLost:
		q.recordLoss(server)
	case out.result == delivered && (out.response == nil || out.response.status < http.StatusMultipleChoices):
		q.recordSound()
	}
}

// recordLoss records that the connection of an attempt at an engine was lost, and
// has the engine checked.
func (q *request) recordLoss(server fleet.Server) {
	if len(q.traits) == 0 {
		return
	}
	if q.service.recordLoss(q.g.now(), engineName(server), q.traits) {
		go q.g.checkEngine(q.service, server)
	}
}

// recordSound records that the engine answers the prompt.
func (q *request) recordSound() {
	if len(q.traits) == 0 || q.proven {
		return
	}
	q.proven = true
	q.service.recordSound(xxhash.Sum64String(q.meta.ID), q.sentAt, q.traits)
}

// checkEngine finds out whether an engine that has lost a connection has ended.
func (g *Gateway) checkEngine(s *service, server fleet.Server) {
	result := g.engineState(server)
	crash, ended := s.endCheck(g.now(), engineName(server), result)
	if ended {
		g.crashObserved(s, crash, poisonFromSelf)
	}
}

// engineState asks an engine for its report.
func (g *Gateway) engineState(server fleet.Server) poison.Check {
	if g.opts.StageProtocol == nil {
		return poison.CheckUnclear
	}
	request := upstream.Request{Method: http.MethodGet, Target: g.opts.StageProtocol.ReportTarget(), Host: server.Address, Header: http.Header{}}
	for range engineChecks {
		status, body, err := g.engineCall(context.Background(), server, request)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return poison.CheckEnded
		case err != nil && !endedWithoutAnswer(err):
			return poison.CheckUnclear
		case err == nil:
			return g.reportedState(server, status, body)
		}
		time.Sleep(engineCheckInterval)
	}
	return poison.CheckEnded
}

// reportedState compares the report of an engine with its registration.
func (g *Gateway) reportedState(server fleet.Server, status int, body []byte) poison.Check {
	if status != http.StatusOK {
		return poison.CheckUnclear
	}
	report, err := g.opts.StageProtocol.ParseReport(body)
	if err != nil {
		g.log.Write(logevent.EngineReportFailed(server.ID, err))
		return poison.CheckUnclear
	}
	if report.StartedUnixMs != 0 && server.StartedUnixMs != 0 && report.StartedUnixMs != server.StartedUnixMs {
		return poison.CheckEnded
	}
	return poison.CheckAlive
}

// endedWithoutAnswer reports whether a connection ended without an answer.
func endedWithoutAnswer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// crashObserved logs a crash, has other gateways notified soon and judges the
// evidence.
func (g *Gateway) crashObserved(s *service, crash poison.Crash, source string) {
	seenBy := poisonFromSelf
	if source != poisonFromSelf {
		seenBy = poisonFromPeer
	}
	g.metrics.engineCrashes.WithLabelValues(s.name, seenBy).Inc()
	g.log.Write(logevent.EngineCrashed(s.name, crash.Engine, source, len(crash.Traits), g.now()-crash.At))
	g.evidenceChanged.Store(true)
	g.judgePoison(s)
}

// judgePoison blocks the parts against which there is enough evidence.
func (g *Gateway) judgePoison(s *service) {
	for _, b := range s.decidePoison(g.now()) {
		g.blockChanged(s, b, poisonFromSelf)
	}
}

// blockChanged logs that a part is now blocked, or no longer so, and notifies other
// gateways.
func (g *Gateway) blockChanged(s *service, b poison.Block, source string) {
	now := g.now()
	g.log.Write(logevent.PartBlocked(logevent.BlockedPart{
		Service: s.name, Part: traitText(b.Trait), Blocked: !b.Lifted, Source: source, Engines: b.Engines,
		Crashes: b.Crashes, Answered: b.Answered, LastCrashAge: now - b.LastCrash, FailedTrials: b.FailedTrials, Until: b.NextTrial() - now,
	}))
	g.notifyPeers()
}

// traitText returns a trait as written to logs.
func traitText(t poison.Trait) string { return fmt.Sprintf("%016x", uint64(t)) }

func (g *Gateway) notifyPeers() {
	if g.peers != nil {
		g.peers.NotifyPeers()
	}
}

// owns reports whether this gateway is the one that is responsible for a key.
func (g *Gateway) owns(key string) bool {
	if g.peers == nil {
		return true
	}
	_, address := g.peers.Owner(key)
	return address == ""
}

// runPoison judges the evidence regularly, and notifies other gateways of new evidence,
// until ctx ends.
func (g *Gateway) runPoison(ctx context.Context) {
	runEvery(ctx, poisonInterval, func() {
		if g.evidenceChanged.Swap(false) {
			g.notifyPeers()
		}
		for _, s := range g.state.Load().services {
			if s.isEngineService() {
				g.judgePoison(s)
			}
		}
	})
}

// refuseBlocked refuses a request whose prompt has a blocked part, unless it is sent
// to try the part again. It reports whether the request has its final response.
func (q *request) refuseBlocked(last *outcome) bool {
	block, blocked := q.service.blockedBy(q.traits)
	if !blocked || q.beginTrial(block) {
		return false
	}
	for i, p := range q.traits {
		if p == block.Trait {
			q.blockedPart = q.meta.Parts[i].ID
		}
	}
	out := lastOutcomeOr(last, reasonPoisonous)
	if q.possibleExecutions == 0 {
		out = outcome{result: notExecuted, reason: reasonPoisonous}
	}
	q.fail(out, max(minBlockedRetryAfter, block.NextTrial()-q.g.now()))
	return true
}

// beginTrial reports whether this request tries a blocked part again.
func (q *request) beginTrial(b poison.Block) bool {
	if q.trial != nil {
		return q.trial.Trait == b.Trait
	}
	now := q.g.now()
	if now < b.NextTrial() || !q.g.owns("trial/"+q.service.name+"/"+traitText(b.Trait)) || !q.service.beginTrial(now, q.traits) {
		return false
	}
	q.trial = &b
	q.g.log.Write(logevent.PartTrialBegun(q.meta.ID, q.service.name, traitText(b.Trait), b.FailedTrials))
	return true
}

// endTrial records the result of a trial.
func (q *request) endTrial() {
	if q.trial == nil {
		return
	}
	if block, lifted := q.service.endTrial(q.g.now(), q.trial.Trait, q.proven); lifted {
		q.g.blockChanged(q.service, block, poisonFromSelf)
	}
}

// isEngineService reports whether the service's servers are engines.
func (s *service) isEngineService() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine != nil
}

// The following methods forward to the detector under the service's lock.

func (s *service) recordLoss(now time.Duration, engine string, parts []poison.Trait) (check bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.RecordLoss(now, engine, parts)
}

func (s *service) recordSound(request uint64, sentAt time.Duration, parts []poison.Trait) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poison.RecordSound(request, sentAt, parts)
}

func (s *service) endCheck(now time.Duration, engine string, result poison.Check) (poison.Crash, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.EndCheck(now, engine, result)
}

func (s *service) decidePoison(now time.Duration) []poison.Block {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.Decide(now)
}

func (s *service) blockedBy(parts []poison.Trait) (poison.Block, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.Blocked(parts)
}

func (s *service) beginTrial(now time.Duration, parts []poison.Trait) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.BeginTrial(now, parts)
}

func (s *service) endTrial(now time.Duration, p poison.Trait, answered bool) (poison.Block, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.EndTrial(now, p, answered)
}

func (s *service) mergePoison(now time.Duration, r poison.Report) poison.Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.Merge(now, r)
}

func (s *service) poisonReport(now time.Duration) poison.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.Report(now)
}

func (s *service) blocks() []poison.Block {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.Blocks()
}
