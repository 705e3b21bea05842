package gateway

import (
	"net/http"
	"time"

	"github.com/marigoldwing/marigoldwing/internal/accounts"
	"github.com/marigoldwing/marigoldwing/internal/drain"
	"github.com/marigoldwing/marigoldwing/internal/explanation"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/placement"
	"github.com/marigoldwing/marigoldwing/internal/telemetry"
)

// serveExplain serves telemetry.PathExplain. It reads no header, so that a key in one is
// neither used nor logged.
func (g *Gateway) serveExplain(w http.ResponseWriter, r *http.Request) {
	request, err := explanation.Parse(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	telemetry.WriteState(w, g.Explain(request))
}

// Explain returns what the gateway would do with a request, without sending it. It calls
// the functions that decide on requests, in their order, and changes nothing by which
// requests are decided or counted.
func (g *Gateway) Explain(r explanation.Request) explanation.Explanation {
	current := g.state.Load()
	q := &request{
		g: g, arrivedAt: g.now(), explainedBodyBytes: r.BodyBytes,
		r:    &http.Request{Method: r.Method, Host: r.Host, URL: r.URL},
		meta: RequestMeta{ID: r.RequestID, Timeout: r.Timeout, Parts: r.PromptParts, PromptTokens: r.PromptTokens},
	}
	x := &explainer{q: q, e: explanation.Explanation{Gateway: g.opts.Name, Leaving: g.stop.hasBegun(), Ages: g.ages()}}
	byName := func(config *fleet.Config) error { return q.identify(config, r.Account, (*accounts.Directory).Named) }
	refused, ok := q.match(current, byName)
	x.describeMatch()
	if !ok {
		x.refuse(refused)
	} else {
		x.explainService()
	}
	return x.e
}

// ages returns the ages of the configuration and the registrations.
func (g *Gateway) ages() explanation.Ages {
	age := func(read func() time.Duration) float64 {
		if read == nil {
			return unknownAge
		}
		return ageMS(read())
	}
	return explanation.Ages{ConfigMS: age(g.configAge), RegistrationsMS: age(g.serversAge)}
}

// unknownAge is the age in milliseconds of what was never seen.
const unknownAge = -1

func ageMS(age time.Duration) float64 {
	if age < 0 {
		return unknownAge
	}
	return inMS(age)
}

func inMS(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// explainer builds the explanation of one request.
type explainer struct {
	q *request
	e explanation.Explanation
}

func (x *explainer) refuse(r refusal) {
	x.e.Refusal = &explanation.Refusal{Status: r.status, Reason: r.reason, RetryAfterMS: inMS(r.retryAfter)}
}

func (x *explainer) note(text string) { x.e.Notes = append(x.e.Notes, text) }

// describeMatch describes the route and the account of the request.
func (x *explainer) describeMatch() {
	q := x.q
	if q.config == nil {
		return
	}
	x.e.ConfigVersion = q.config.Version
	if q.authConfig == nil {
		return // without a route
	}
	x.e.Route, x.e.KeyNeeded, x.e.Account = q.route.Name, needsKey(q.config, q.route), q.accountName()
	x.e.Priority, x.e.PriorityOf = q.basePriority(), "route"
	if q.account != nil && q.account.HasPriority {
		x.e.PriorityOf = "account"
	}
	x.e.Service = q.route.Target(q.meta.ID)
	if len(q.route.Targets) > 1 {
		for _, t := range q.route.Targets {
			x.e.Services = append(x.e.Services, t.Service)
		}
	}
}

// explainService explains how a valid request would be handled, as
// request.readBody and request.serve decide it.
func (x *explainer) explainService() {
	q := x.q
	if limit := q.config.MaxBodyBytes; limit > 0 && int64(q.bodyBytes()) > limit {
		x.refuse(bodyTooLarge)
		return
	}
	if q.service == nil {
		x.refuse(unknownService)
		return
	}
	q.traits = q.allTraits()
	if q.bodyBytes() > 0 {
		q.traits = q.traits[:len(sharedParts(q.meta.Parts))]
		x.note("the body is not known, so that a block of the request as a whole is not seen")
	}
	choice, chosen := x.explainChoice()
	x.explainRefusal(choice, chosen)
}

// explainRefusal determines whether the request would be refused, in the order of
// request.serve.
func (x *explainer) explainRefusal(choice placement.Choice, chosen bool) {
	q := x.q
	if q.stopAction() != drain.Send {
		x.refuse(notExecutedRefusal(outcome{reason: reasonStopping}, stoppingRetryAfter))
		return
	}
	if block, blocked := q.service.blockedBy(q.traits); blocked {
		if q.service.trialDue(q.g.now(), q.traits) {
			x.note("the request may be sent in spite of the block, to try whether engines still crash")
		}
		x.refuse(notExecutedRefusal(outcome{reason: q.noteBlock(block)}, q.blockedRetryAfter(block)))
		return
	}
	if !chosen {
		if wait, bearable := q.serverWait(); bearable {
			x.e.WaitMS = inMS(wait)
			return
		}
		x.refuse(notExecutedRefusal(q.noServerOutcome(nil)))
		return
	}
	if q.account != nil {
		// The seed is that of the next request.
		decision := q.service.previewShare(q.g.now(), q.shareRequest(q.g.seed.Load()+1), q.shareDemand(choice))
		if !decision.Admitted {
			x.refuse(aboveShare(decision))
			return
		}
	}
	if !q.meetsDeadline(choice) {
		x.refuse(notExecutedRefusal(outcome{reason: reasonOverloaded}, overloadRetryAfter(choice, q.route)))
	}
}

// explainChoice describes the choice and its candidates, and returns the choice if there
// is one.
func (x *explainer) explainChoice() (placement.Choice, bool) {
	q := x.q
	now := q.g.now()
	name, address, coordinated := q.coordinator()
	prepare := func(table *placement.Table) {
		q.service.setWeightsIn(table, now, q.service.limits.Allows)
		if coordinated {
			table.SetCoordinatorSince(now, q.service.sinceCoordinator(now, address == ""))
		}
	}
	choice, candidates, err := q.service.explain(now, q.placementRequest(), prepare)
	for _, c := range candidates {
		x.e.Candidates = append(x.e.Candidates, q.service.describe(now, c))
	}
	if err != nil {
		return choice, false
	}
	placedBy := q.g.opts.Name
	if address != "" && q.g.coordination.backoff.elapsed(now, name) {
		placedBy = name
		x.note("gateway " + name + " places the prompt; the choice shown is that of this gateway if the other does not answer")
	}
	x.e.Choice = &explanation.Choice{
		Server: choice.Server.ID, PrefillServer: choice.PrefillServer.ID,
		FirstEventMS: inMS(choice.TimeToFirstEvent), PrefilledMS: inMS(choice.TimeToPrefilled),
		UncachedTokens: choice.UncachedTokens, FetchFrom: choice.FetchFrom, PromptPriority: choice.Priority, Deferred: choice.Deferred,
		LoadAgeMS: ageMS(choice.LoadAge), PlacedBy: placedBy,
	}
	return choice, true
}

// explain returns what choose would choose, and from what. prepare prepares the copy of
// the placement table that is used and may use the service's state.
func (s *service) explain(now time.Duration, r placement.Request, prepare func(*placement.Table)) (placement.Choice, []placement.Candidate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Explain(now, r, prepare)
}

// describe describes a candidate. Of a server without weight, it says why that is.
func (s *service) describe(now time.Duration, c placement.Candidate) explanation.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	described := explanation.Candidate{
		Server: c.Server.ID, Stage: c.Server.Stage.String(), FailureDomain: c.Server.FailureDomain,
		Usable: c.Unusable == "", Reason: c.Unusable,
		Requests: c.Requests, OwnRequests: c.OwnRequests, LoadAgeMS: ageMS(c.LoadAge), Slowdown: c.Slowdown, Weight: c.Weight,
	}
	for _, u := range c.Uses {
		described.Uses = append(described.Uses, explanation.Use{
			Step: u.Step, PredictedMS: inMS(u.TimeToFirstEvent), UncachedTokens: u.UncachedTokens, Score: u.Score,
		})
	}
	switch {
	case c.Unusable == placement.UnusableBackoff:
		described.ForMS = inMS(c.Backoff)
	case c.Unusable == placement.UnusableWeight:
		described.Reason, described.ForMS = s.whyNoWeight(now, c.Server.ID)
	case c.OtherWeights:
		described.Reason = "other_weights"
	}
	return described
}

// whyNoWeight returns why a server has no weight, and for how many milliseconds as far as
// is known. The caller holds s.mu.
func (s *service) whyNoWeight(now time.Duration, id string) (string, float64) {
	if s.limits.Allows(now, id) {
		return "ejected", 0
	}
	wait, shared := s.limits.Wait(now, id)
	switch {
	case !shared:
		return "limited_no_share", 0
	case s.limits.Limited(id) && !s.limits.Paused(now, id):
		return "limited", inMS(wait)
	}
	return "paused", inMS(wait)
}
