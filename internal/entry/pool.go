package entry

import (
	"errors"
	"math"
	"sync"
	"time"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/admission"
	"github.com/marigoldwing/marigoldwing/internal/catalog"
	"github.com/marigoldwing/marigoldwing/internal/limits"
	"github.com/marigoldwing/marigoldwing/internal/membership"
	"github.com/marigoldwing/marigoldwing/internal/retry"
	"github.com/marigoldwing/marigoldwing/internal/routing"
)

// Calls of plain services are routed as if they were short sequences with these
// values, because their work in tokens is unknown. plainConcurrency is the
// number of calls that an agent executes at once (internal/agent).
const (
	plainTokens      = 1
	plainRate        = 100
	plainConcurrency = 64
)

// location is where an entry runs, and how many entries there are.
type location struct {
	failureDomain string
	region        string
	entries       int
}

// pool holds an entry's state of one service. Requests to the same service
// share one pool and its lock.
type pool struct {
	mu       sync.Mutex
	service  *configv1.Service
	table    *routing.Table
	health   *retry.HealthTracker
	budget   *retry.Budget
	limiter  *limits.Limiter
	refusals admission.RetryAfterEstimator
	options  admission.Options
	// blocked holds the backend servers that membership has taken out of
	// routing.
	blocked map[string]bool
}

func newPool(now time.Duration, service *configv1.Service, entries int) *pool {
	return &pool{
		service: service,
		table:   routing.NewTable(routing.DefaultOptions(entries)),
		health:  retry.NewHealthTracker(retry.DefaultHealthOptions()),
		budget:  retry.NewBudget(now, retry.DefaultOptions(service.GetRetryBudget())),
		options: admission.DefaultOptions(),
		blocked: make(map[string]bool),
	}
}

// configure applies a configuration.
func (p *pool) configure(now time.Duration, c *catalog.Catalog, service *configv1.Service, at location) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service = service
	p.table.SetOptions(routing.DefaultOptions(at.entries))
	p.budget.SetOptions(now, retry.DefaultOptions(service.GetRetryBudget()))
	engines := make([]routing.Engine, 0)
	names := make([]string, 0)
	for _, b := range c.BackendServers(service.GetName()) {
		engines = append(engines, routingEngine(c, service, b, at))
		names = append(names, b.GetName())
	}
	p.table.SetEngines(engines)
	p.health.SetServers(names)
	p.setLimits(c, at)
}

func (p *pool) setLimits(c *catalog.Catalog, at location) {
	d := c.Deployment()
	if p.limiter == nil {
		p.limiter = limits.New(limits.Options{
			AllowUnlisted:  d.GetDefaults().GetAllowUnlistedClients(),
			UnlistedWeight: d.GetDefaults().GetClientWeight(),
			MaxUnlisted:    maxUnlistedClients,
		})
	}
	p.limiter.SetClients(func(name string) (limits.Client, bool) { return limitsOf(c, name) })
	p.limiter.SetShare(1 / float64(max(at.entries, 1)))
	p.setCapacity()
}

// limitsOf returns the limits of a listed client.
func limitsOf(c *catalog.Catalog, name string) (limits.Client, bool) {
	client, ok := c.ListedClient(name)
	if !ok {
		return limits.Client{}, false
	}
	return limits.Client{
		Name:              name,
		Weight:            client.GetWeight(),
		RequestsPerSecond: client.GetRequestsPerSecond(),
		Burst:             int(client.GetBurst()),
	}, true
}

// setCapacity sets the capacity that the limiter divides among clients. The
// capacity of plain services is unknown, so they have no fair shares. While no
// backend server is serving, the last capacity stays.
func (p *pool) setCapacity() {
	if p.service.GetKind() == configv1.ServiceKind_SERVICE_KIND_PLAIN {
		p.limiter.SetCapacity(math.Inf(1))
		return
	}
	if serving := p.table.ServingCount(); serving > 0 {
		p.limiter.SetCapacity(float64(serving))
	}
}

// maxUnlistedClients bounds the number of unlisted clients that a pool tracks.
const maxUnlistedClients = 4096

func routingEngine(c *catalog.Catalog, service *configv1.Service, b *configv1.BackendServer, at location) routing.Engine {
	e := routing.Engine{
		Name:        b.GetName(),
		Distance:    distance(c, b, at),
		PrefillRate: b.GetPrefillTokensPerSecond(),
		DecodeRate:  b.GetDecodeTokensPerSecond(),
		MaxBatch:    int(b.GetMaxBatch()),
		Role:        b.GetRole(),
	}
	if service.GetKind() == configv1.ServiceKind_SERVICE_KIND_PLAIN {
		e.PrefillRate = plainRate
		e.DecodeRate = plainRate * plainConcurrency
		e.MaxBatch = plainConcurrency
		e.Role = configv1.Role_ROLE_MIXED
	}
	return e
}

// distance returns 0 within the entry's failure domain, 1 within its region and
// 2 otherwise.
func distance(c *catalog.Catalog, b *configv1.BackendServer, at location) int {
	if b.GetFailureDomain() == at.failureDomain {
		return 0
	}
	if c.Region(b.GetFailureDomain()) == at.region {
		return 1
	}
	return 2
}

// choice is the backend server chosen for an attempt.
type choice struct {
	server *configv1.BackendServer
	// prefill is the engine that prefills the prompt, if it is a different one;
	// otherwise nil.
	prefill *configv1.BackendServer
	// cached is the number of prompt tokens expected in the prefix cache.
	cached int
	// predicted is the predicted time to the complete response.
	predicted time.Duration
}

// admit applies the client's limits to a request.
func (p *pool) admit(now time.Duration, q *callerRequest) *refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	outcome, err := p.limiter.Admit(now, limits.Request{Client: q.client.GetName(), Cost: p.cost(q), Seed: q.seed()})
	if err != nil {
		return refuse(peerv1.RefusalReason_REFUSAL_REASON_UNKNOWN_CLIENT, "client %q is not known", q.client.GetName())
	}
	if !outcome.Admitted {
		ref := refuse(peerv1.RefusalReason_REFUSAL_REASON_CLIENT_LIMIT, "the client is above its limit or its fair share")
		ref.retryAfter = outcome.RetryAfter
		return ref
	}
	return nil
}

// cost returns the request's work in seconds of one backend server.
func (p *pool) cost(q *callerRequest) float64 {
	if p.service.GetKind() == configv1.ServiceKind_SERVICE_KIND_PLAIN {
		return 1.0 / plainRate
	}
	servers := q.catalog.BackendServers(p.service.GetName())
	if len(servers) == 0 {
		return 0
	}
	b := servers[0]
	prefill := float64(q.promptTokens) / max(b.GetPrefillTokensPerSecond(), 1)
	decode := float64(q.outputTokens) / max(b.GetDecodeTokensPerSecond(), 1)
	return prefill + decode
}

// choose returns the backend server with the earliest predicted finish, or a
// refusal if that is after the deadline.
func (p *pool) choose(now time.Duration, q *callerRequest, attempt int, exclude []string) (choice, *refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	picked, err := p.table.Choose(now, p.routingRequest(q, attempt, exclude))
	if errors.Is(err, routing.ErrNoEngine) {
		ref := refuse(peerv1.RefusalReason_REFUSAL_REASON_NO_BACKEND_SERVER, "no backend server takes work")
		ref.retryAfter = p.options.MinRetryAfter
		return choice{}, ref
	}
	if err != nil {
		return choice{}, refuse(peerv1.RefusalReason_REFUSAL_REASON_NO_BACKEND_SERVER, "%v", err)
	}
	outcome := admission.Decide(now, admission.Request{
		Remaining:       time.Until(q.deadline),
		PredictedFinish: picked.TimeToFinish,
		Priority:        int(q.client.GetPriority()),
		Seed:            q.seed() + uint64(attempt),
	}, &p.refusals, p.options)
	if !outcome.Admitted {
		return choice{}, admissionRefusal(outcome)
	}
	server, _ := q.catalog.BackendServer(picked.DecodeEngine)
	c := choice{server: server, cached: picked.CachedTokens, predicted: picked.TimeToFinish}
	if picked.Split() {
		c.prefill, _ = q.catalog.BackendServer(picked.PrefillEngine)
	}
	return c, nil
}

// refresh updates which backend servers are routable, and their health weights.
func (p *pool) refresh(now time.Duration, c *catalog.Catalog, reasonOf func(server string) membership.Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range c.BackendServers(p.service.GetName()) {
		name := b.GetName()
		p.setBlocked(now, name, reasonOf(name))
		_ = p.table.SetWeight(name, max(p.health.Weight(now, name), minWeight))
	}
	p.setCapacity()
}

// serving returns the number of backend servers available for requests.
func (p *pool) serving() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.ServingCount()
}

// refreshServer updates whether one backend server is routable.
func (p *pool) refreshServer(now time.Duration, name string, reason membership.Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setBlocked(now, name, reason)
}

// setBlocked takes a backend server out of routing or returns it.
func (p *pool) setBlocked(now time.Duration, name string, reason membership.Reason) {
	blocked := reason != membership.Routable
	if blocked {
		_ = p.table.SetState(name, configv1.Role_ROLE_UNSPECIFIED, peerv1.ServerState_SERVER_STATE_DOWN)
	}
	if p.blocked[name] && !blocked {
		_ = p.table.SetState(name, configv1.Role_ROLE_UNSPECIFIED, peerv1.ServerState_SERVER_STATE_SERVING)
		p.health.RecordRecovery(now, name)
	}
	p.blocked[name] = blocked
}

// minWeight is the weight of an ejected backend server; the routing table
// accepts only positive weights.
const minWeight = 1e-3

func (p *pool) routingRequest(q *callerRequest, attempt int, exclude []string) routing.Request {
	r := routing.Request{
		PromptTokens: q.promptTokens,
		OutputTokens: q.outputTokens,
		Remaining:    time.Until(q.deadline),
		PrefixHashes: q.prefixHashes,
		Exclude:      exclude,
		Seed:         q.seed() + uint64(attempt),
	}
	if p.service.GetKind() == configv1.ServiceKind_SERVICE_KIND_PLAIN {
		r.PromptTokens = plainTokens
		r.OutputTokens = plainTokens
	}
	return r
}

func admissionRefusal(outcome admission.Decision) *refusal {
	reason := peerv1.RefusalReason_REFUSAL_REASON_OVERLOADED
	detail := "the answer is not expected before the deadline"
	if outcome.Reason == admission.ReasonExpired {
		reason = peerv1.RefusalReason_REFUSAL_REASON_DEADLINE_EXPIRED
		detail = "the deadline has passed"
	}
	ref := refuse(reason, "%s", detail)
	ref.retryAfter = outcome.RetryAfter
	return ref
}

// recordSend counts an attempt sent to the chosen backend server.
func (p *pool) recordSend(now time.Duration, q *callerRequest, c choice, attemptID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.routingRequest(q, 0, nil)
	_ = p.table.RecordSend(now, routing.Attempt{
		ID:           attemptID,
		Engine:       c.server.GetName(),
		PromptTokens: max(r.PromptTokens-c.cached, 0),
		OutputTokens: r.OutputTokens,
		Remaining:    r.Remaining,
		PrefixHashes: r.PrefixHashes,
	})
}

// recordEnd processes the end of an attempt; ref is nil if the response is
// complete.
func (p *pool) recordEnd(now time.Duration, server, attemptID string, ref *refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.table.RecordEnd(now, server, attemptID)
	switch {
	case ref == nil:
		p.health.RecordSuccess(server)
		p.refusals.RecordAdmitted(now)
	case isServerFault(ref.reason):
		p.health.RecordFailure(now, server)
		_ = p.table.SetWeight(server, max(p.health.Weight(now, server), minWeight))
	}
}

// isServerFault reports whether a reason is a failure of the backend server or
// of the path to it, rather than a refusal for load or deadline.
func isServerFault(reason peerv1.RefusalReason) bool {
	return reason == peerv1.RefusalReason_REFUSAL_REASON_BACKEND_FAILED ||
		reason == peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN
}

// report processes the load report of one backend server. A blocked server
// stays blocked until refresh returns it to routing.
func (p *pool) report(now time.Duration, load *peerv1.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blocked[load.GetBackendServer()] {
		return
	}
	_ = p.table.RecordReport(routing.NewLoadReport(load, now))
}

// retry decides what follows a failed attempt.
func (p *pool) retry(now time.Duration, a retry.Attempt) retry.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Decide(now, a)
}

// recordRequest counts a request for the retry budget.
func (p *pool) recordRequest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.RecordFirstAttempt()
}
