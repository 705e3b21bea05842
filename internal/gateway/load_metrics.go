package gateway

import "github.com/prometheus/client_golang/prometheus"

// loadCollector exports the load of each backend server as known to this
// gateway, the retry budgets and the servers' limits at the time of the scrape.
// It implements prometheus.Collector.
type loadCollector struct{ g *Gateway }

// Values of the whose label.
const (
	ownerSelf   = "own"
	ownerOthers = "others"
)

// Values of the part label.
const (
	slowdownPresent  = "present"
	slowdownLongTerm = "long_term"
)

var (
	serverRequests = prometheus.NewDesc("marigold_gateway_server_requests",
		"Requests at a backend server: this gateway's, and those that others are thought to have.",
		[]string{"service", "server", "whose"}, nil)
	serverQueuedWork = prometheus.NewDesc("marigold_gateway_server_queued_work",
		"Work of prompts that this gateway has sent or placed and that are not prefilled yet, in tokens without a context.",
		[]string{"service", "server"}, nil)
	serverSlowdown = prometheus.NewDesc("marigold_gateway_server_slowdown",
		"Factor by which work takes longer on a backend server than on a usual one: at present, and its long-term part.",
		[]string{"service", "server", "part"}, nil)
	serverLimit = prometheus.NewDesc("marigold_gateway_server_limit",
		"Requests per second that a backend server takes from all gateways together, as it has stated.", []string{"service", "server"}, nil)
	blockedParts = prometheus.NewDesc("marigold_gateway_blocked_parts",
		"Parts of prompts that are kept from the engines of a service, because engines crashed under them.", []string{"service"}, nil)
	capacityShort = prometheus.NewDesc("marigold_gateway_capacity_short",
		"1 while a service with client accounts is short of capacity and its accounts are held to their fair shares.", []string{"service"}, nil)
	retryTokens = prometheus.NewDesc("marigold_gateway_retry_tokens",
		"Retries that this gateway's budget permits at present.", []string{"service"}, nil)
)

// Describe implements prometheus.Collector.
func (loadCollector) Describe(out chan<- *prometheus.Desc) {
	out <- serverRequests
	out <- serverQueuedWork
	out <- serverSlowdown
	out <- retryTokens
	out <- serverLimit
	out <- blockedParts
	out <- capacityShort
}

// Collect implements prometheus.Collector.
func (c loadCollector) Collect(out chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	state := c.g.State()
	for service, tokens := range state.RetryTokens {
		gauge(retryTokens, tokens, service)
	}
	for service, shares := range state.FairShares {
		short := 0.0
		if shares.Short {
			short = 1
		}
		gauge(capacityShort, short, service)
	}
	for service, blocks := range state.BlockedParts {
		gauge(blockedParts, float64(len(blocks)), service)
	}
	for service, limits := range state.ServerLimits {
		for _, l := range limits {
			gauge(serverLimit, l.Rate, service, l.ServerID)
		}
	}
	for service, servers := range state.Services {
		for _, s := range servers {
			gauge(serverRequests, float64(s.OwnRequests), service, s.ID, ownerSelf)
			gauge(serverRequests, s.OtherRequests, service, s.ID, ownerOthers)
			gauge(serverQueuedWork, s.QueuedWork, service, s.ID)
			gauge(serverSlowdown, s.Slowdown, service, s.ID, slowdownPresent)
			gauge(serverSlowdown, s.LongTermSlowdown, service, s.ID, slowdownLongTerm)
		}
	}
}
