package gateway

import (
	"time"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/poison"
)

// poisonReports returns what other gateways may not know about requests that crash
// servers.
func (g *Gateway) poisonReports() []*peerv1.PoisonReport {
	var reports []*peerv1.PoisonReport
	for _, s := range g.state.Load().services {
		now := g.now()
		r := s.poisonReport(now)
		if len(r.Crashes)+len(r.Sounds)+len(r.Answered)+len(r.Contrast)+len(r.Blocks) > 0 {
			reports = append(reports, poisonToProto(now, s.name, r))
		}
	}
	return reports
}

// mergePoison merges the reports of another gateway and judges the evidence.
func (g *Gateway) mergePoison(sender string, reports []*peerv1.PoisonReport) {
	for _, message := range reports {
		s := g.state.Load().services[message.GetService()]
		if s == nil {
			continue
		}
		now := g.now()
		changes := s.mergePoison(now, poisonFromProto(now, message))
		for _, b := range changes.Blocks {
			g.blockChanged(s, b, sender)
		}
		for _, crash := range changes.Crashes {
			g.crashObserved(s, crash, sender)
		}
		if changes.Evidence {
			g.evidenceChanged.Store(true)
		}
	}
}

func poisonToProto(now time.Duration, service string, r poison.Report) *peerv1.PoisonReport {
	message := &peerv1.PoisonReport{Service: service}
	for _, c := range r.Crashes {
		crash := &peerv1.EngineCrash{Engine: c.Engine, AgeMs: (now - c.At).Milliseconds()}
		for _, p := range c.Traits {
			crash.Parts = append(crash.Parts, uint64(p))
		}
		message.Crashes = append(message.Crashes, crash)
	}
	for _, s := range r.Sounds {
		message.SoundPrompts = append(message.SoundPrompts, &peerv1.SoundPrompt{
			Part: uint64(s.Trait), Request: s.Request, AgeMs: (now - s.SentAt).Milliseconds(),
		})
	}
	for _, a := range r.Answered {
		message.Answered = append(message.Answered, &peerv1.PartCount{Part: uint64(a.Trait), Count: int64(a.Count)})
	}
	for _, c := range r.Contrast {
		answered := &peerv1.AnsweredRequest{Request: c.Request, AgeMs: (now - c.SentAt).Milliseconds()}
		for _, t := range c.Traits {
			answered.Traits = append(answered.Traits, uint64(t))
		}
		message.Contrast = append(message.Contrast, answered)
	}
	for _, b := range r.Blocks {
		message.BlockedParts = append(message.BlockedParts, blockToProto(now, b))
	}
	return message
}

func blockToProto(now time.Duration, b poison.Block) *peerv1.BlockedPart {
	return &peerv1.BlockedPart{
		Part: uint64(b.Trait), Crashes: int32(b.Crashes), LastCrashAgeMs: (now - b.LastCrash).Milliseconds(),
		IsTrait: true, FailedTrials: int32(b.FailedTrials), Lifted: b.Lifted, ChangedAgeMs: (now - b.ChangedAt).Milliseconds(),
	}
}

func poisonFromProto(now time.Duration, message *peerv1.PoisonReport) poison.Report {
	var r poison.Report
	for _, c := range message.GetCrashes() {
		crash := poison.Crash{Engine: c.GetEngine(), At: timeOfAge(now, c.GetAgeMs())}
		for _, p := range c.GetParts() {
			crash.Traits = append(crash.Traits, poison.Trait(p))
		}
		r.Crashes = append(r.Crashes, crash)
	}
	for _, s := range message.GetSoundPrompts() {
		r.Sounds = append(r.Sounds, poison.SoundRequest{
			Trait: poison.Trait(s.GetPart()), Request: s.GetRequest(), SentAt: timeOfAge(now, s.GetAgeMs()),
		})
	}
	for _, a := range message.GetAnswered() {
		r.Answered = append(r.Answered, poison.TraitCount{Trait: poison.Trait(a.GetPart()), Count: int(a.GetCount())})
	}
	for _, c := range message.GetContrast() {
		answered := poison.AnsweredRequest{Request: c.GetRequest(), SentAt: timeOfAge(now, c.GetAgeMs())}
		for _, t := range c.GetTraits() {
			answered.Traits = append(answered.Traits, poison.Trait(t))
		}
		r.Contrast = append(r.Contrast, answered)
	}
	for _, b := range message.GetBlockedParts() {
		r.Blocks = append(r.Blocks, blockFromProto(now, b))
	}
	return r
}

func blockFromProto(now time.Duration, b *peerv1.BlockedPart) poison.Block {
	trait := poison.Trait(b.GetPart())
	if !b.GetIsTrait() {
		trait = poison.PartWithHash(b.GetPart())
	}
	return poison.Block{
		Trait: trait, Crashes: int(b.GetCrashes()), LastCrash: timeOfAge(now, b.GetLastCrashAgeMs()),
		FailedTrials: int(b.GetFailedTrials()), Lifted: b.GetLifted(), ChangedAt: timeOfAge(now, b.GetChangedAgeMs()),
	}
}

// timeOfAge returns the time of an event with an age, which is not in the future.
func timeOfAge(now time.Duration, ageMs int64) time.Duration {
	return now - time.Duration(max(0, ageMs))*time.Millisecond
}
