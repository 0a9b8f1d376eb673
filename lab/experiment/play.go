// This file owns playing a plan over all cores. It must never keep a run that was broken off.

package experiment

import (
	"context"
	"runtime"

	"golang.org/x/sync/errgroup"

	"eiderhaven/lab/tally"
	"eiderhaven/lab/world"
)

// Play plays the runs that a folder lacks. done is told after each one. When ctx ends, runs that are under way are broken
// off and dropped; the finished ones are kept, and Play returns the context's error.
func Play(ctx context.Context, f *Folder, jobs int, done func(finished, all int)) error {
	if jobs <= 0 {
		jobs = runtime.GOMAXPROCS(0)
	}
	missing := f.Missing()
	all := len(f.Plan.Points())
	type finished struct {
		point  Point
		result *tally.Result
	}
	results := make(chan finished)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(jobs + 1)
	g.Go(func() error {
		defer close(results)
		inner, stopped := errgroup.WithContext(ctx)
		inner.SetLimit(jobs)
		for _, p := range missing {
			if stopped.Err() != nil {
				break
			}
			inner.Go(func() error {
				s, err := f.Plan.ScenarioFor(p.AxisValues)
				if err != nil {
					return err
				}
				r, err := world.Run(s, world.Options{Seed: p.Seed, Policy: p.Policy, Workers: 1, Stop: stopped.Done()})
				if err != nil || stopped.Err() != nil {
					return err
				}
				results <- finished{p, r}
				return nil
			})
		}
		if err := inner.Wait(); err != nil {
			return err
		}
		return ctx.Err()
	})
	var failed error
	for r := range results {
		if failed == nil {
			failed = f.Add(r.point, r.result)
		}
		if done != nil {
			done(all-len(f.Missing()), all)
		}
	}
	if err := g.Wait(); err != nil {
		return err
	}
	return failed
}
