package bench

import "time"

// profiles returns all profiles in the order of the report.
func profiles() []profile {
	lag5 := servicioMorning("report-lag-5s")
	lag5.reportLag = 5 * time.Second
	lag15 := servicioMorning("report-lag-15s")
	lag15.reportLag = 15 * time.Second
	return []profile{
		servicioMorning("servicio-morning"),
		trustSeasonEnd("trust-season-end"),
		shiftingMix(),
		shiftingMixSplit(),
		domainLost(),
		drainedEngines(),
		failingEngine(),
		lag5,
		lag15,
		cacheGaps(),
	}
}

// servicioMorning models the morning load of the Servicio deployment: a steady
// rate of short questions, and a batch of renewals with long prompts and short
// outputs.
func servicioMorning(name string) profile {
	return profile{
		name:    name,
		engines: 12,
		domains: domainCount,
		classes: []class{
			{name: "question", prompt: tokenRange{150, 600}, output: tokenRange{40, 140}, deadline: 10 * time.Second, sharedPrompt: 128, interactive: true},
			{name: "renewal", prompt: tokenRange{4000, 9000}, output: tokenRange{15, 45}, deadline: 45 * time.Second, sharedPrompt: 2048, repeatFraction: 0.15},
		},
		phases: []phase{
			{120 * time.Second, []float64{40, 1}},
			{270 * time.Second, []float64{40, 13}},
			{420 * time.Second, []float64{40, 1}},
		},
		reportLag: time.Second,
		settings:  engineSettings(),
		prices:    prices{goodput: 10, roleChange: 5},
	}
}

// trustSeasonEnd models the load of the Trust deployment at the end of the
// season: a backlog of dossiers with long prompts on top of short questions.
func trustSeasonEnd(name string) profile {
	return profile{
		name:    name,
		engines: 9,
		domains: domainCount,
		classes: []class{
			{name: "question", prompt: tokenRange{100, 400}, output: tokenRange{50, 150}, deadline: 10 * time.Second, sharedPrompt: 64, interactive: true},
			{name: "dossier", prompt: tokenRange{6000, 12000}, output: tokenRange{250, 500}, deadline: 90 * time.Second, sharedPrompt: 512},
		},
		phases: []phase{
			{120 * time.Second, []float64{25, 0.5}},
			{300 * time.Second, []float64{25, 4.5}},
			{480 * time.Second, []float64{25, 0.5}},
		},
		reportLag: time.Second,
		settings:  engineSettings(),
		prices:    prices{goodput: 1, roleChange: 200},
	}
}

// shiftingMix keeps the total work constant while the share of prefill,
// initially 44%, first rises by half and then drops to half.
func shiftingMix() profile {
	return profile{
		name:    "half-swing",
		engines: 12,
		domains: domainCount,
		classes: []class{
			{name: "chat", prompt: tokenRange{200, 400}, output: tokenRange{200, 400}, deadline: 25 * time.Second, interactive: true},
			{name: "reading", prompt: tokenRange{2000, 4000}, output: tokenRange{30, 70}, deadline: 20 * time.Second},
		},
		phases: []phase{
			{120 * time.Second, []float64{39.2, 8.4}},
			{300 * time.Second, []float64{21.9, 16.3}},
			{480 * time.Second, []float64{56.4, 0.6}},
		},
		reportLag: time.Second,
		settings:  engineSettings(),
		prices:    prices{goodput: 10, roleChange: 5},
	}
}

// shiftingMixSplit is shiftingMix with a fleet in which no engine is mixed
// initially. The split matches the initial load.
func shiftingMixSplit() profile {
	p := shiftingMix()
	p.name = "half-swing-split"
	p.prefill, p.decode = 6, 6
	return p
}

// lostAt is when the failure domain is lost, in the middle of the batch of
// renewals.
const lostAt = 200 * time.Second

// recoveryTime is the time allowed for recovery before requests count.
const recoveryTime = 30 * time.Second

// domainLost is servicioMorning with the loss of one failure domain. Only
// requests that arrive after recoveryTime has passed count.
func domainLost() profile {
	p := servicioMorning("domain-lost")
	p.faults = []fault{{at: lostAt, kind: faultCrash, engines: []int{0, 4, 8}}}
	p.measureFrom = lostAt + recoveryTime
	return p
}

// drainedEngines is servicioMorning with two engines that are drained without
// notice, and one that is removed together with its running work.
func drainedEngines() profile {
	p := servicioMorning("drained-unannounced")
	p.faults = []fault{
		{at: 140 * time.Second, kind: faultDrain, engines: []int{1}},
		{at: 170 * time.Second, kind: faultDrain, engines: []int{6}},
		{at: 200 * time.Second, kind: faultCrash, engines: []int{11}},
		{at: 260 * time.Second, kind: faultReturn, engines: []int{1, 6}},
	}
	return p
}

// failingEngine is servicioMorning with an engine that fails every attempt
// during the whole batch.
func failingEngine() profile {
	p := servicioMorning("failing-engine")
	p.faults = []fault{
		{at: 100 * time.Second, kind: faultFail, engines: []int{5}},
		{at: 300 * time.Second, kind: faultReturn, engines: []int{5}},
	}
	return p
}

// cacheGaps is servicioMorning with many repeated prompts. Half of the cache
// events are lost and the others are delayed.
func cacheGaps() profile {
	p := servicioMorning("cache-gaps")
	p.classes[1].repeatFraction = 0.5
	p.phases[1].rates = []float64{40, 18}
	p.settings.CacheEventLag = 10 * time.Second
	p.settings.CacheEventLoss = 0.5
	return p
}
