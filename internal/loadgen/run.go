package loadgen

import (
	"context"
	"sync"
	"time"

	loadv1 "github.com/marigoldwing/marigoldwing/api/load/v1"
)

// Run sends the requests of an experiment at their scheduled times, regardless
// of whether earlier ones have completed. It then waits for all responses and
// evaluates them. If ctx ends, no further requests are sent.
func Run(ctx context.Context, experiment *loadv1.Experiment) (*Result, error) {
	arrivals := Schedule(experiment)
	startTime := time.Now()
	c, err := newCaller(experiment.GetTargets(), startTime)
	if err != nil {
		return nil, err
	}
	tally := newTally(experiment)
	probeCtx, stopProbe := context.WithCancel(context.WithoutCancel(ctx))
	probeDone := make(chan struct{})
	probe := newProbe(experiment.GetEngines(), startTime)
	go func() {
		defer close(probeDone)
		probe.run(probeCtx)
	}()
	before := readAttempts(probeCtx, experiment.GetTargets())
	sendAll(ctx, c, arrivals, tally)
	after := readAttempts(probeCtx, experiment.GetTargets())
	stopProbe()
	<-probeDone
	auditEffects(context.WithoutCancel(ctx), experiment, tally)
	result := tally.result(probe)
	result.Attempts = after.since(before)
	return result, nil
}

// sendAll sends each request at its scheduled time and returns when all have
// completed.
func sendAll(ctx context.Context, c *caller, arrivals []Arrival, tally *tally) {
	var group sync.WaitGroup
	defer group.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for index, arrival := range arrivals {
		timer.Reset(arrival.At - c.now())
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		group.Go(func() { tally.add(c.send(context.WithoutCancel(ctx), index, arrival)) })
	}
}
