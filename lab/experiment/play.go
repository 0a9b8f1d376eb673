// This file owns the parallel execution of a plan. It must never store the result of a run that was interrupted.

package experiment

import (
	"context"
	"runtime"

	"golang.org/x/sync/errgroup"

	"eiderhaven/lab/tally"
	"eiderhaven/lab/world"
)

// Play plays the runs that are missing from the folder, up to jobs of them at once, and calls done, if it is not nil,
// after each. If jobs is not positive, it uses all cores. When ctx ends, runs in progress are interrupted and
// discarded, finished ones stay in the folder, and Play returns the context's error.
func Play(ctx context.Context, f *Folder, jobs int, done func(finished, total int)) error {
	if jobs <= 0 {
		jobs = runtime.GOMAXPROCS(0)
	}
	missing := f.Missing()
	total := len(f.Plan.Points())
	type finishedRun struct {
		point  Point
		result *tally.Result
	}
	results := make(chan finishedRun)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(jobs + 1)

	// The goroutine below starts the runs; this one writes their rows to the folder one at a time.
	g.Go(func() error {
		defer close(results)
		runs, runsCtx := errgroup.WithContext(ctx)
		runs.SetLimit(jobs)
		for _, p := range missing {
			if runsCtx.Err() != nil {
				break
			}
			runs.Go(func() error {
				s, err := f.Plan.ScenarioFor(p.AxisValues)
				if err != nil {
					return err
				}
				r, err := world.Run(s, world.Options{Seed: p.Seed, Policy: p.Policy, Workers: 1, Stop: runsCtx.Done()})
				if err != nil || runsCtx.Err() != nil {
					return err
				}
				results <- finishedRun{p, r}
				return nil
			})
		}
		if err := runs.Wait(); err != nil {
			return err
		}
		return ctx.Err()
	})
	var addErr error
	for run := range results {
		if addErr == nil {
			addErr = f.Add(run.point, run.result)
		}
		if done != nil {
			done(total-len(f.Missing()), total)
		}
	}
	if err := g.Wait(); err != nil {
		return err
	}
	return addErr
}
