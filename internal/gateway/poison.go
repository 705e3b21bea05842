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
	"github.com/marigoldwing/marigoldwing/internal/retry"
	"github.com/marigoldwing/marigoldwing/internal/upstream"
)

const (
	// reasonPoisonousPrompt and reasonPoisonousRequest are the reasons of a refusal for
	// a blocked part of the prompt, and for a request that is blocked as a whole.
	reasonPoisonousPrompt  = "poisonous_prompt"
	reasonPoisonousRequest = "poisonous_request"
	// reasonServerEnded is the reason of the ejection of a server that has ended.
	reasonServerEnded = "the server has ended"
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
	// suspicionTime bounds the time for which a server is avoided whose answers have not
	// shown whether it has ended. It exceeds the time of engineChecks short answers.
	suspicionTime = 300 * time.Millisecond
	// maxCheckTime is the longest time that engineChecks questions take. A server is avoided
	// while it is asked: with suspicionTime only, further prompts were lost at crashed
	// engines on a machine under load.
	maxCheckTime = engineChecks * (engineCallTimeout + engineCheckInterval)
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

// allTraits returns what the request may have in common with others: the shared parts
// of its prompt, in order, and then the request as a whole.
func (q *request) allTraits() []poison.Trait {
	shared := sharedParts(q.meta.Parts)
	traits := make([]poison.Trait, 0, len(shared)+maxRequestTraits)
	for _, p := range shared {
		traits = append(traits, poison.PartOf(p.ID))
	}
	return append(traits, q.requestTraits()...)
}

// maxRequestTraits is the largest number of traits of a request as a whole.
const maxRequestTraits = 2

// requestTraits returns the traits of the request as a whole, the most specific one
// first.
func (q *request) requestTraits() []poison.Trait {
	return poison.Request{
		Method: q.r.Method, Host: q.r.Host, Path: q.r.URL.EscapedPath(), Query: q.r.URL.RawQuery, Caller: q.meta.Caller, Body: q.body,
	}.Traits()
}

// recordEvidence records what the end of an attempt says about the traits of its
// request.
func (q *request) recordEvidence(out outcome, server fleet.Server) {
	switch {
	case out.connectionLost:
		q.recordLoss(server)
	case out.result == delivered && (out.response == nil || out.response.status < http.StatusMultipleChoices):
		q.recordSound()
	}
}

// recordLoss records that the connection of an attempt at a server was lost, and has
// the server checked.
func (q *request) recordLoss(server fleet.Server) {
	q.lost = true
	if q.service.recordLoss(q.g.now(), server, q.traits) {
		go q.g.checkServer(q.service, server)
	}
}

// recordSound records that a server answers the request.
func (q *request) recordSound() {
	if q.proven {
		return
	}
	q.proven = true
	if q.service.recordSound(q.g.now(), xxhash.Sum64String(q.meta.ID), q.sentAt, q.traits) {
		q.g.evidenceChanged.Store(true)
	}
}

// checkServer finds out whether a server that has lost a connection has ended.
func (g *Gateway) checkServer(s *service, server fleet.Server) {
	begun := g.now()
	result := g.serverState(context.Background(), s, server)
	crash, ended := s.endCheck(begun, g.now(), server, result.check)
	if ended {
		g.crashObserved(s, crash, poisonFromSelf)
	}
}

// serverState is what the answer to the question for a server's state shows.
type serverState struct {
	check poison.Check
	// startConfirmed is set if the server has stated the start with which it is registered.
	startConfirmed bool
	// listening is set if something listens at the server's address that was not asked, or
	// whose answer does not show what it is.
	listening bool
	// closes is set if connections are accepted and closed without an answer.
	closes bool
}

// serverState asks an engine for its report, and other servers for their health.
func (g *Gateway) serverState(ctx context.Context, s *service, server fleet.Server) serverState {
	request, stateOf := g.stateRequest(s, server)
	if request.Target == "" {
		return g.unaskedState(ctx, server)
	}
	for range engineChecks {
		response, err := g.engineCall(ctx, server, request)
		switch {
		case errors.Is(err, errServerPaused):
			return g.unaskedState(ctx, server)
		case errors.Is(err, syscall.ECONNREFUSED):
			return serverState{check: poison.CheckEnded}
		case err != nil && !endedWithoutAnswer(err):
			return serverState{check: poison.CheckUnclear}
		case err == nil:
			return stateOf(server, response)
		}
		time.Sleep(engineCheckInterval)
	}
	return serverState{check: poison.CheckEnded, closes: true}
}

// unaskedState finds out whether anything listens at the address of a server that can't be
// asked.
func (g *Gateway) unaskedState(ctx context.Context, server fleet.Server) serverState {
	err := g.pool.Probe(ctx, server.Key())
	if errors.Is(err, syscall.ECONNREFUSED) {
		return serverState{check: poison.CheckEnded}
	}
	return serverState{check: poison.CheckUnclear, listening: err == nil}
}

// stateRequest returns the request that asks a server for its state, without a target
// if it can't be asked, and the function that judges the response.
func (g *Gateway) stateRequest(s *service, server fleet.Server) (upstream.Request, func(fleet.Server, callResponse) serverState) {
	request := upstream.Request{Method: http.MethodGet, Host: server.Address}
	request.Header = g.opts.Protocol.RequestHeader(http.Header{}, AttemptMeta{ServerID: server.ID, Remaining: engineCallTimeout})
	if s.engineSpec() == nil {
		request.Target = s.healthTarget()
		return request, func(server fleet.Server, response callResponse) serverState {
			check := g.healthState(s, server, response)
			return serverState{check: check, listening: check == poison.CheckUnclear}
		}
	}
	if g.opts.StageProtocol != nil {
		request.Target = g.opts.StageProtocol.ReportTarget()
	}
	return request, g.reportedState
}

// reportedState compares the report of an engine with its registration.
func (g *Gateway) reportedState(server fleet.Server, response callResponse) serverState {
	if g.opts.Protocol.ParseResponse(response.status, response.header).Misdirected {
		return serverState{check: poison.CheckEnded}
	}
	if response.status != http.StatusOK {
		return serverState{check: poison.CheckUnclear, listening: true}
	}
	report, err := g.opts.StageProtocol.ParseReport(response.body)
	if err != nil {
		g.log.Write(logevent.EngineReportFailed(server.ID, err))
		return serverState{check: poison.CheckUnclear}
	}
	g.observeReport(server, report, response)
	if report.StartedUnixMs == 0 || server.StartedUnixMs == 0 {
		return serverState{check: poison.CheckAlive}
	}
	if report.StartedUnixMs != server.StartedUnixMs {
		return serverState{check: poison.CheckEnded}
	}
	return serverState{check: poison.CheckAlive, startConfirmed: true}
}

// healthState compares the server that answers a health check with the one that lost
// the connection.
func (g *Gateway) healthState(s *service, server fleet.Server, response callResponse) poison.Check {
	meta := g.opts.Protocol.ParseResponse(response.status, response.header)
	switch {
	case meta.Misdirected || meta.ServerID != "" && meta.ServerID != server.ID:
		return poison.CheckEnded
	case meta.ServerID == server.ID:
		g.observeHealth(s, server, meta)
		return poison.CheckAlive
	}
	return poison.CheckUnclear
}

// endedWithoutAnswer reports whether a connection ended without an answer.
func endedWithoutAnswer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// crashObserved logs a crash, has the engine left alone, other gateways notified soon and
// the evidence judged.
func (g *Gateway) crashObserved(s *service, crash poison.Crash, source string) {
	if server, ejection := s.leaveAlone(g.now(), crash.Engine); ejection != retry.NotEjected {
		g.log.Write(logevent.ServerEjected("", s.name, server, reasonServerEnded, ejection == retry.Avoided))
	}
	seenBy := poisonFromSelf
	if source != poisonFromSelf {
		seenBy = poisonFromPeer
	}
	g.metrics.engineCrashes.WithLabelValues(s.name, seenBy).Inc()
	g.log.Write(logevent.EngineCrashed(s.name, crash.Engine, source, len(crash.Traits), g.now()-crash.At))
	g.evidenceChanged.Store(true)
	g.judgePoison(s)
}

// judgePoison blocks the traits against which there is enough evidence.
func (g *Gateway) judgePoison(s *service) {
	for _, b := range s.decidePoison(g.now()) {
		g.blockChanged(s, b, poisonFromSelf)
	}
}

// blockChanged logs that a trait is now blocked, or no longer so, and notifies other
// gateways.
func (g *Gateway) blockChanged(s *service, b poison.Block, source string) {
	now := g.now()
	g.log.Write(logevent.TraitBlocked(logevent.BlockedTrait{
		Service: s.name, Trait: traitText(b.Trait), IsRequest: b.Trait.IsRequest(), Blocked: !b.Lifted, Source: source, Engines: b.Engines,
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
			g.judgePoison(s)
		}
	})
}

// refuseBlocked refuses a request that has a blocked trait, unless it is sent to try
// the trait again. It reports whether the request has its final response.
func (q *request) refuseBlocked(ctx context.Context, last *outcome) bool {
	block, blocked := q.service.blockedBy(q.traits)
	if !blocked || q.beginTrial(ctx, block) {
		return false
	}
	reason := q.noteBlock(block)
	out := lastOutcomeOr(last, reason)
	if q.possibleExecutions == 0 {
		out = outcome{result: notExecuted, reason: reason}
	}
	q.fail(out, q.blockedRetryAfter(block))
	return true
}

// blockedRetryAfter returns when the caller of a request with a blocked trait may come back.
func (q *request) blockedRetryAfter(block poison.Block) time.Duration {
	return max(minBlockedRetryAfter, block.NextTrial()-q.g.now())
}

// noteBlock notes what the request is refused for, for the log, and returns the
// reason.
func (q *request) noteBlock(block poison.Block) string {
	if block.Trait.IsRequest() {
		q.blockedRequest = traitText(block.Trait)
		return reasonPoisonousRequest
	}
	for i, p := range sharedParts(q.meta.Parts) {
		if q.traits[i] == block.Trait {
			q.blockedPart = p.ID
		}
	}
	return reasonPoisonousPrompt
}

// beginTrial reports whether this request tries a blocked trait again. A trial that
// has lost its server is not sent to another one.
func (q *request) beginTrial(ctx context.Context, b poison.Block) bool {
	if q.trial != nil {
		return q.trial.Trait == b.Trait && !q.lost
	}
	if !q.service.trialDue(q.g.now(), q.traits) || !q.g.trials.begin(ctx, q.service, b.Trait) {
		return false
	}
	q.trial = &b
	q.g.log.Write(logevent.TraitTrialBegun(q.meta.ID, q.service.name, traitText(b.Trait), b.Trait.IsRequest(), b.FailedTrials))
	return true
}

// endTrial records the result of a trial.
func (q *request) endTrial() {
	if q.trial == nil {
		return
	}
	q.g.trials.end(q.service, q.trial.Trait, q.proven)
}

// healthTarget returns the target of health checks; empty if the service has none.
func (s *service) healthTarget() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.healthPath
}

// The following methods forward to the detector under the service's lock.

// recordLoss also lets the server be avoided while it is checked.
func (s *service) recordLoss(now time.Duration, server fleet.Server, traits []poison.Trait) (check bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	check = s.poison.RecordLoss(now, engineName(server), traits)
	if check {
		s.health.Suspect(server.ID, now+maxCheckTime)
	}
	return check
}

// leaveAlone lets a registered engine that has ended get nothing for a while. It returns
// the ID of its server and whether that has just been ejected.
func (s *service) leaveAlone(now time.Duration, engine string) (string, retry.Ejection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.registered {
		if engineName(server) == engine {
			return server.ID, s.health.RecordEnd(now, server.ID)
		}
	}
	return "", retry.NotEjected
}

func (s *service) recordSound(now time.Duration, request uint64, sentAt time.Duration, traits []poison.Trait) (exonerated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.RecordSound(now, request, sentAt, traits)
}

func (s *service) endCheck(begun, now time.Duration, server fleet.Server, result poison.Check) (poison.Crash, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if result == poison.CheckAlive {
		s.health.Trust(server.ID)
	} else {
		s.health.EndSuspicion(server.ID, begun+suspicionTime)
	}
	return s.poison.EndCheck(now, engineName(server), result)
}

func (s *service) decidePoison(now time.Duration) []poison.Block {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.Decide(now)
}

func (s *service) blockedBy(traits []poison.Trait) (poison.Block, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.Blocked(traits)
}

func (s *service) trialDue(now time.Duration, traits []poison.Trait) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.TrialDue(now, traits)
}

func (s *service) beginTrial(now time.Duration, trait poison.Trait) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poison.BeginTrial(now, []poison.Trait{trait})
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
