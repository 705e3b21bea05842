package gatewaypeers

import (
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/logevent"
	"github.com/marigoldwing/marigoldwing/internal/peerrpc"
)

// Incarnation implements peerrpc.IncarnationReporter.
func (h *Heartbeater) Incarnation() uint64 { return h.opts.Incarnation }

// Heartbeat implements peerrpc.Handler.
func (h *Heartbeater) Heartbeat(hb *peerv1.Heartbeat) *peerv1.Heartbeat {
	h.processHeartbeat(hb)
	return h.heartbeat()
}

// Submit implements peerrpc.Handler. Gateways do not execute attempts for
// others.
func (h *Heartbeater) Submit(_ peerrpc.FrameSender, s *peerv1.Submit) {
	h.opts.Log.Write(logevent.AttemptMisdirected(s.GetAttemptId()))
}

// Withdraw implements peerrpc.Handler.
func (h *Heartbeater) Withdraw(w *peerv1.Withdraw) *peerv1.WithdrawReply {
	return &peerv1.WithdrawReply{AttemptId: w.GetAttemptId()}
}

// Place implements peerrpc.Placer.
func (h *Heartbeater) Place(p *peerv1.Place) *peerv1.PlaceReply {
	if h.opts.Placer == nil {
		return &peerv1.PlaceReply{}
	}
	return h.opts.Placer.Place(p)
}

// PlaceEnded implements peerrpc.Placer.
func (h *Heartbeater) PlaceEnded(p *peerv1.PlaceEnded) {
	if h.opts.Placer != nil {
		h.opts.Placer.PlaceEnded(p)
	}
}

// StreamOrigins implements peerrpc.StreamKeeper.
func (h *Heartbeater) StreamOrigins(origins *peerv1.StreamOrigins) {
	if h.opts.Streams != nil {
		h.opts.Streams.StreamOrigins(origins)
	}
}

// FindStream implements peerrpc.StreamKeeper.
func (h *Heartbeater) FindStream(find *peerv1.FindStream) *peerv1.FindStreamReply {
	if h.opts.Streams == nil {
		return &peerv1.FindStreamReply{}
	}
	return h.opts.Streams.FindStream(find)
}

// BeginTrial implements peerrpc.TrialKeeper.
func (h *Heartbeater) BeginTrial(begin *peerv1.BeginTrial) *peerv1.BeginTrialReply {
	if h.opts.Trials == nil {
		return &peerv1.BeginTrialReply{}
	}
	return h.opts.Trials.BeginTrial(begin)
}

// EndTrial implements peerrpc.TrialKeeper.
func (h *Heartbeater) EndTrial(end *peerv1.EndTrial) {
	if h.opts.Trials != nil {
		h.opts.Trials.EndTrial(end)
	}
}

// CollectUsage implements peerrpc.UsageCounter.
func (h *Heartbeater) CollectUsage(collect *peerv1.CollectUsage) *peerv1.CollectUsageReply {
	if h.opts.Usage == nil {
		return &peerv1.CollectUsageReply{}
	}
	return h.opts.Usage.CollectUsage(collect)
}

// FetchConfig implements peerrpc.Handler.
func (h *Heartbeater) FetchConfig(fetch *peerv1.FetchConfig) *peerv1.FetchConfigReply {
	if h.opts.FetchConfig == nil {
		return &peerv1.FetchConfigReply{}
	}
	return h.opts.FetchConfig(fetch)
}

// FetchPlan implements peerrpc.Handler. The reply is empty, since gateways use
// no plans of peers.
func (h *Heartbeater) FetchPlan(*peerv1.FetchPlan) *peerv1.FetchPlanReply {
	return &peerv1.FetchPlanReply{}
}
