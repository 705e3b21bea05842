package gateway

import (
	"time"

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

// observeStatements records what the request's own answer to an attempt, sent at sentAt,
// states about its server. A refusal of a misdirected request states it only if it names the
// server, since another one may have answered.
func (q *request) observeStatements(server fleet.Server, kind answerKind, sentAt time.Duration, response ResponseMeta) {
	if response.Misdirected && response.ServerID != server.ID {
		return
	}
	q.g.observeDeparture(server, kind, q.meta.ID, response)
	if response.LoadMalformed && q.service.firstMalformedLoad(server.ID) {
		q.g.log.Write(logevent.ServerLoadMalformed(server.ID, q.service.name))
	}
	q.observeLimit(server, sentAt, response)
	q.g.observePause(q.service, server, kind, q.meta.ID, response)
	if !response.NotExecuted && q.service.accepted(server, sentAt) {
		q.g.log.Write(logevent.ServerPauseOver(server.ID, q.service.name, q.meta.ID))
	}
}

// observeReport records what the answer to a call for an engine's report states. The
// engine's start identifies it.
func (g *Gateway) observeReport(server fleet.Server, report EngineReport, response callResponse) {
	if report.StartedUnixMs == 0 || report.StartedUnixMs != server.StartedUnixMs {
		return
	}
	meta := g.opts.Protocol.ParseResponse(response.status, response.header)
	meta.Leaving = meta.Leaving || report.Leaving
	g.observeDeparture(server, answerToReport, "", meta)
}

// observeOrderAnswer records what the answer to an order states. Only the engine that
// the order names answers otherwise than that it is misdirected.
func (g *Gateway) observeOrderAnswer(s *service, server fleet.Server, response callResponse) {
	meta := g.opts.Protocol.ParseResponse(response.status, response.header)
	if meta.Misdirected {
		return
	}
	g.observeDeparture(server, answerToOrder, "", meta)
	g.observePause(s, server, answerToOrder, "", meta)
}

// observeHealth records what the answer to a health check states, in which the server
// has named itself.
func (g *Gateway) observeHealth(s *service, server fleet.Server, meta ResponseMeta) {
	g.observeDeparture(server, answerToHealth, "", meta)
	g.observePause(s, server, answerToHealth, "", meta)
}

// observeReportRefusal records the pause that the refusal of a report asks for.
func (g *Gateway) observeReportRefusal(s *service, server fleet.Server, response callResponse) {
	g.observePause(s, server, answerToReport, "", g.opts.Protocol.ParseResponse(response.status, response.header))
}
