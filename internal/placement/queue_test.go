package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sendOf returns a send of a prompt without context.
func sendOf(id string, tokens, priority int) Send {
	return Send{ServerID: id, UncachedTokens: tokens, PromptTokens: tokens, Priority: priority}
}

// TestPromptInServiceIsAhead checks that the rest of a started prompt counts as
// ahead of a more urgent one, and that a waiting prompt that is less urgent does
// not.
func TestPromptInServiceIsAhead(t *testing.T) {
	table := newTable(engines(1, 1))
	p0, rate := table.find("p0"), table.prefillRate.perSecond
	started := table.RecordSend(0, sendOf("p0", 30_000, 6))
	table.RecordSend(0, sendOf("p0", 20_000, 6))
	ahead, behind := p0.backlog(0, rate, 0)
	require.InDelta(t, prefillWork(30_000, 30_000), ahead, 1)
	require.InDelta(t, prefillWork(20_000, 20_000), behind, 1)

	later := 200 * time.Millisecond
	ahead, _ = p0.backlog(later, rate, 0)
	require.InDelta(t, prefillWork(30_000, 30_000)-rate*later.Seconds(), ahead, 1)

	urgent := table.RecordSend(later, sendOf("p0", 1000, 0))
	table.RecordPrefilled(later, started)
	require.Equal(t, urgent, p0.queue.inService, "the most urgent prompt is next")
}

// TestPeerReportKeepsPromptInService checks that a gateway that receives the
// load of another one waits for the prompt in service there, which shrinks with
// the age of the report.
func TestPeerReportKeepsPromptInService(t *testing.T) {
	sender, receiver := newTable(engines(1, 1)), newTable(engines(1, 1))
	sender.RecordSend(0, sendOf("p0", 30_000, 6))
	receiver.SetPeerLoads(0, "gw-2", sender.OwnLoads(0))
	p0, rate := receiver.find("p0"), receiver.prefillRate.perSecond
	now := 100 * time.Millisecond
	require.InDelta(t, prefillWork(30_000, 30_000)-rate*now.Seconds(), p0.backlogAhead(now, rate, 0), 1)
}

// TestSmallerPromptIsMoreUrgent checks the priority by the share of the
// objective that a prefill takes, and that a late prompt yields.
func TestSmallerPromptIsMoreUrgent(t *testing.T) {
	q := &query{Request: Request{Priority: 2, Objective: 600 * time.Millisecond}}
	var priorities []int
	for _, prefill := range []float64{0.01, 0.1, 0.2, 0.5, 2} {
		priorities = append(priorities, q.prefillPriority(prefill))
	}
	require.Equal(t, []int{2, 3, 4, 5, 6}, priorities)
	q.deferred = true
	require.Equal(t, 3, q.prefillPriority(0.01))
	q.Priority = 9
	require.Equal(t, PriorityLevels-1, q.prefillPriority(2))
	require.Equal(t, 2, (&query{Request: Request{Priority: 2}}).prefillPriority(2), "without an objective there is no size class")
}

// promptJob is a prompt at a simulated prefill engine.
type promptJob struct {
	send     *InFlightSend
	sentAt   time.Duration
	tokens   int
	left     float64
	priority int
}

// promptMix plays prompts whose lengths are spread widely, as those of service
// histories, at prefill engines that are about as busy as they can be.
// The engines prefill one prompt at a time, the most urgent first, and do not
// interrupt it.
type promptMix struct {
	table  *Table
	random *rand.Rand
	// bySize is whether engines order prompts by their size.
	bySize bool
	queues map[string][]*promptJob
	// ended holds prompts whose end the gateway observes later.
	ended []prefillEnd

	sent, inTime, shortSent, shortInTime int
}

const (
	// mixPerSecond is the rate of prompts, mixLength the length of the load.
	mixPerSecond = 70
	mixLength    = 20 * time.Second
	mixObjective = 600 * time.Millisecond
	// shortPromptTokens is the length below which a prompt counts as short.
	shortPromptTokens = 2000
)

func newPromptMix(bySize bool) *promptMix {
	opts := DefaultOptions("here")
	opts.InterferenceWeight = 1000 // keeps prefills off the busy decode engines
	m := &promptMix{table: NewTable(opts, spec), random: rand.New(rand.NewPCG(3, 4)), bySize: bySize, queues: make(map[string][]*promptJob)}
	m.table.SetServers(spec, engines(5, 6))
	return m
}

// run plays the load.
func (m *promptMix) run() {
	for now := time.Duration(0); now < mixLength; now += time.Millisecond {
		if now%time.Second == 0 {
			for i := range 6 {
				m.table.SetPeerLoads(now, fmt.Sprint("gw-", i), []GatewayLoad{{ServerID: fmt.Sprint("d", i), Requests: 8}})
			}
		}
		m.reportEnds(now)
		if m.random.Float64() < mixPerSecond/1000.0 {
			m.arrive(now)
		}
		for id := range m.queues {
			m.advance(now, id)
		}
	}
}

// reportEnds reports the prefills whose end the gateway observes now.
func (m *promptMix) reportEnds(now time.Duration) {
	for len(m.ended) > 0 && m.ended[0].at <= now {
		m.ended[0].report(now)
		m.ended = m.ended[1:]
	}
}

// arrive places a prompt.
func (m *promptMix) arrive(now time.Duration) {
	tokens := min(60_000, int(1200*(1/(0.02+m.random.Float64()))))
	r := Request{PromptTokens: tokens, FirstEventBudget: mixObjective}
	if m.bySize {
		r.Objective = mixObjective
	}
	c, err := m.table.Choose(now, r)
	if err != nil || !c.Split {
		return
	}
	job := &promptJob{send: recordSend(m.table, now, c, r), sentAt: now, tokens: tokens, left: prefillWork(float64(tokens), float64(tokens))}
	if m.bySize {
		job.priority = c.Priority
	}
	m.queues[c.PrefillServer.ID] = append(m.queues[c.PrefillServer.ID], job)
}

// advance lets an engine work for a millisecond on the first prompt of its
// queue, and start the next one if that is done.
func (m *promptMix) advance(now time.Duration, id string) {
	queue := m.queues[id]
	if len(queue) == 0 {
		return
	}
	if queue[0].left -= engineWorkPerSecond / 1000; queue[0].left > 0 {
		return
	}
	m.count(now, queue[0])
	queue = queue[1:]
	next := 0
	for i, job := range queue {
		if job.priority < queue[next].priority {
			next = i
		}
	}
	for i := next; i > 0; i-- {
		queue[i], queue[i-1] = queue[i-1], queue[i]
	}
	m.queues[id] = queue
}

// count counts a prompt that has been prefilled.
func (m *promptMix) count(now time.Duration, job *promptJob) {
	m.ended = append(m.ended, prefillEnd{at: now + firstEventDelay, report: func(now time.Duration) {
		m.table.RecordPrefilled(now, job.send)
		m.table.RecordEnd(now, job.send)
	}})
	inTime, short := 0, 0
	if now+firstEventDelay-job.sentAt <= mixObjective {
		inTime = 1
	}
	if job.tokens < shortPromptTokens {
		short = 1
	}
	m.sent++
	m.inTime += inTime
	m.shortSent += short
	m.shortInTime += short * inTime
}

// TestSizeOrderServesMorePromptsInTime plays prompts of very different lengths
// at busy engines: if smaller prompts go first, more callers get their first
// event in time, and nearly all with short prompts do.
func TestSizeOrderServesMorePromptsInTime(t *testing.T) {
	bySize, inOrder := newPromptMix(true), newPromptMix(false)
	bySize.run()
	inOrder.run()
	share := func(part, whole int) float64 { return float64(part) / float64(whole) }
	t.Logf("in time: %d of %d by size, %d of %d in order of arrival; short prompts: %d of %d, %d of %d",
		bySize.inTime, bySize.sent, inOrder.inTime, inOrder.sent, bySize.shortInTime, bySize.shortSent, inOrder.shortInTime, inOrder.shortSent)
	require.Greater(t, share(bySize.inTime, bySize.sent), share(inOrder.inTime, inOrder.sent))
	require.Greater(t, share(bySize.shortInTime, bySize.shortSent), 0.95)
	require.Less(t, share(inOrder.shortInTime, inOrder.shortSent), 0.95)
}
