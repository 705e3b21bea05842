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

// Figures by which calls of plain services are routed as if they were short
// sequences, since their work is not known in tokens.
const (
	plainTokens      = 1
	plainRate        = 100
	plainConcurrency = 64
)

// place is where an entry runs, and how many entries there are.
type place struct {
	failureDomain string
	region        string
	entries       int
}

// pool is what an entry knows and remembers of one service: the shard of its
// state that requests to that service share.
type pool struct {
	mu       sync.Mutex
	service  *configv1.Service
	table    *routing.Table
	health   *retry.HealthTracker
	budget   *retry.Budget
	limiter  *limits.Limiter
	refusals admission.RetryAfterEstimator
	options  admission.Options
	// blocked holds the backend servers that membership takes out.
	blocked map[string]bool
}

func newPool(service *configv1.Service, entries int) *pool {
	return &pool{
		service: service,
		table:   routing.NewTable(routing.DefaultOptions(entries)),
		health:  retry.NewHealthTracker(retry.DefaultHealthOptions()),
		budget:  retry.NewBudget(retry.DefaultOptions(service.GetRetryBudget())),
		options: admission.DefaultOptions(),
		blocked: make(map[string]bool),
	}
}

// configure takes over a configuration.
func (p *pool) configure(c *catalog.Catalog, service *configv1.Service, at place) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service = service
	p.table.SetOptions(routing.DefaultOptions(at.entries))
	p.budget.SetOptions(retry.DefaultOptions(service.GetRetryBudget()))
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

func (p *pool) setLimits(c *catalog.Catalog, at place) {
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

// setCapacity tells the limiter what the pool can do. What plain services can
// do is not known, so that they have no fair share; and while nothing serves
// there is nothing to share.
func (p *pool) setCapacity() {
	if p.service.GetKind() == configv1.ServiceKind_SERVICE_KIND_PLAIN {
		p.limiter.SetCapacity(math.Inf(1))
		return
	}
	if serving := p.table.ServingCount(); serving > 0 {
		p.limiter.SetCapacity(float64(serving))
	}
}

// maxUnlistedClients bounds the unlisted clients that a pool remembers.
const maxUnlistedClients = 4096

func routingEngine(c *catalog.Catalog, service *configv1.Service, b *configv1.BackendServer, at place) routing.Engine {
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

// distance is 0 in the entry's failure domain, 1 in its region, 2 beyond.
func distance(c *catalog.Catalog, b *configv1.BackendServer, at place) int {
	if b.GetFailureDomain() == at.failureDomain {
		return 0
	}
	if c.Region(b.GetFailureDomain()) == at.region {
		return 1
	}
	return 2
}

// choice is the backend server of an attempt.
type choice struct {
	server *configv1.BackendServer
	// prefill is the engine that reads the prompt if that is another one.
	prefill *configv1.BackendServer
	// cached is the prompt tokens expected in the prefix cache.
	cached int
	// predicted is the time until the whole answer.
	predicted time.Duration
}

// admit decides whether a request is taken in at all.
func (p *pool) admit(now time.Duration, q *request) *refusal {
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

// cost is the request's work in seconds of one backend server.
func (p *pool) cost(q *request) float64 {
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

// choose returns the backend server on which the request is predicted to
// finish first, if it is predicted to finish in time.
func (p *pool) choose(now time.Duration, q *request, attempt int, exclude []string) (choice, *refusal) {
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

// refresh tells the table which backend servers may be given work, and how
// much.
func (p *pool) refresh(now time.Duration, c *catalog.Catalog, routable func(server string) membership.Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range c.BackendServers(p.service.GetName()) {
		name := b.GetName()
		p.setBlocked(now, name, routable(name))
		_ = p.table.SetWeight(name, max(p.health.Weight(now, name), minWeight))
	}
	p.setCapacity()
}

// serving returns the number of backend servers that can be given work.
func (p *pool) serving() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.ServingCount()
}

// refreshOne is refresh for one backend server.
func (p *pool) refreshOne(now time.Duration, name string, reason membership.Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setBlocked(now, name, reason)
}

// setBlocked takes a backend server out of the choice, or back into it.
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

// minWeight stands for an ejected backend server in the table, which takes
// only weights above 0.
const minWeight = 1e-3

func (p *pool) routingRequest(q *request, attempt int, exclude []string) routing.Request {
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

// sent counts an attempt that is on its way to a chosen backend server.
func (p *pool) sent(now time.Duration, q *request, c choice, attemptID string) {
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

// ended takes in the end of an attempt; ref is nil for a whole answer.
func (p *pool) ended(now time.Duration, server, attemptID string, ref *refusal) {
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

// isServerFault tells failures of a backend server, or of the way to it,
// from refusals for load or deadline.
func isServerFault(reason peerv1.RefusalReason) bool {
	return reason == peerv1.RefusalReason_REFUSAL_REASON_BACKEND_FAILED ||
		reason == peerv1.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN
}

// report takes in the load of one backend server. One that is taken out stays
// so until refresh takes it back.
func (p *pool) report(now time.Duration, load *peerv1.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blocked[load.GetBackendServer()] {
		return
	}
	_ = p.table.RecordReport(routing.NewLoadReport(load, now))
}

// retry decides what follows a failed attempt.
func (p *pool) retry(a retry.Attempt) retry.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Decide(a)
}

// attempted counts a first attempt.
func (p *pool) attempted() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.RecordFirstAttempt()
}
