package loadgen

import (
	"context"
	"sync"
	"time"

	loadv1 "github.com/marigoldwing/marigoldwing/api/load/v1"
)

// Run sends the arrivals of an experiment at their times, whether or not
// earlier ones have been answered, waits for all answers and judges them. A
// context that ends stops the sending of further arrivals.
func Run(ctx context.Context, experiment *loadv1.Experiment) (*Result, error) {
	arrivals := Schedule(experiment)
	began := time.Now()
	c, err := newCaller(experiment.GetTargets(), began)
	if err != nil {
		return nil, err
	}
	tally := newTally(experiment)
	probeCtx, stopProbe := context.WithCancel(context.WithoutCancel(ctx))
	probed := make(chan struct{})
	probe := newProbe(experiment.GetEngines(), began)
	go func() {
		defer close(probed)
		probe.run(probeCtx)
	}()
	before := readAttempts(probeCtx, experiment.GetTargets())
	sendAll(ctx, c, arrivals, tally)
	after := readAttempts(probeCtx, experiment.GetTargets())
	stopProbe()
	<-probed
	judge(context.WithoutCancel(ctx), experiment, tally)
	result := tally.result(probe)
	result.Attempts = after.since(before)
	return result, nil
}

// sendAll starts each request at its time and returns when all have ended.
func sendAll(ctx context.Context, c *caller, arrivals []Arrival, tally *tally) {
	var group sync.WaitGroup
	defer group.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for number, arrival := range arrivals {
		timer.Reset(arrival.At - c.now())
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		group.Go(func() { tally.add(c.send(context.WithoutCancel(ctx), number, arrival)) })
	}
}
