package gateway

import (
	"sync"

	"github.com/marigoldwing/marigoldwing/internal/departure"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
)

// answerKind is what a server has answered, as written to logs.
type answerKind string

const (
	// answerToRun and answerToPrefill: a caller's request, refusals included.
	answerToRun     answerKind = "run"
	answerToPrefill answerKind = "prefill"
	// answerToReport, answerToOrder and answerToHealth: a call of the gateway's own.
	answerToReport answerKind = "report"
	answerToOrder  answerKind = "order"
	answerToHealth answerKind = "health"
)

// departures are the departures that servers have stated in their answers.
type departures struct {
	mu   sync.Mutex
	book *departure.Book
}

// observe records that a server has stated that it leaves. It reports whether this
// was not known.
func (d *departures) observe(g *Gateway, server fleet.Key) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.Observe(g.now(), server)
}

// retain updates which servers are registered.
func (d *departures) retain(g *Gateway, registered []fleet.Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.Retain(g.now(), registered)
}

// observeDeparture records the departure that an answer of a server states. The
// caller has made sure that the answer is the server's own. requestID is empty for
// a call of the gateway's own.
func (g *Gateway) observeDeparture(server fleet.Server, kind answerKind, requestID string, response ResponseMeta) {
	if !response.Leaving || !g.departures.observe(g, server.Key()) {
		return
	}
	g.metrics.departures.WithLabelValues(server.Service, string(kind)).Inc()
	g.log.Write(logevent.ServerLeaves(logevent.Departure{
		Server: server.ID, StartedUnixMs: server.StartedUnixMs, Service: server.Service,
		AnswerTo: string(kind), RequestID: requestID, RegisteredLeaving: server.Leaving,
	}))
}

// observeReport records the departure that an engine's report states. The engine's
// start identifies it.
func (g *Gateway) observeReport(server fleet.Server, report EngineReport, response callResponse) {
	if report.StartedUnixMs == 0 || report.StartedUnixMs != server.StartedUnixMs {
		return
	}
	g.observeDeparture(server, answerToReport, "", g.opts.Protocol.ParseResponse(response.status, response.header))
}

// observeOrderAnswer records the departure that the answer to an order states. Only
// the engine that the order names answers otherwise than that it is misdirected.
func (g *Gateway) observeOrderAnswer(server fleet.Server, response callResponse) {
	if meta := g.opts.Protocol.ParseResponse(response.status, response.header); !meta.Misdirected {
		g.observeDeparture(server, answerToOrder, "", meta)
	}
}
