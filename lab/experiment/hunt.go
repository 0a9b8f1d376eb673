// This file owns the hunt: days drawn at random on which the module falls far behind the yardstick, or breaks a rule, cut
// down to the troubles that matter. It must never change the day's settings, only what goes wrong and the seed.

package experiment

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"eiderhaven/lab/random"
	"eiderhaven/lab/scenario"
	"eiderhaven/lab/tally"
	"eiderhaven/lab/world"
)

// Found is a day that the hunt brought home.
type Finding struct {
	Scenario *scenario.Scenario
	Seed     uint64
	Module   *tally.Result
	Oracle   *tally.Result
	Loss     float64 // what the module lost against the yardstick; 1 and more for a broken rule
}

// Why says in a few words what is wrong with the day.
func (f Finding) Reason() string {
	if f.Module.ViolationCount > 0 {
		var names []string
		for name := range f.Module.ByRule {
			names = append(names, name)
		}
		slices.Sort(names)
		return "breaks " + strings.Join(names, ", ")
	}
	return fmt.Sprintf("G %.3f, oracle %.3f", f.Module.G, f.Oracle.G)
}

// Kinds says in a few words what goes wrong on the day.
func (f Finding) TroubleKinds() string {
	var names []string
	for _, t := range f.Scenario.Troubles {
		names = append(names, t.Kind)
	}
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, "+")
}

// Hunt draws so many days and returns the worst, at most keep, each cut down. The same first seed finds the same days.
func Hunt(ctx context.Context, s *scenario.Scenario, first uint64, days, keep, jobs int, done func(played int)) ([]Finding, error) {
	results := make([]*Finding, days)
	g, playing := errgroup.WithContext(ctx)
	g.SetLimit(max(jobs, 1))
	progress := make(chan struct{}, days)
	for i := range days {
		g.Go(func() error {
			defer func() { progress <- struct{}{} }()
			seed := first + uint64(i)
			f, err := judgeDay(playing, drawTroubles(s, seed), seed)
			results[i] = f
			return err
		})
	}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for n := 1; n <= days; n++ {
			select {
			case <-progress:
				if done != nil {
					done(n)
				}
			case <-playing.Done():
				return
			}
		}
	}()
	err := g.Wait()
	<-finished
	var found []Finding
	for _, f := range results {
		if f != nil {
			found = append(found, *f)
		}
	}
	if err != nil && len(found) == 0 {
		return nil, err
	}
	slices.SortStableFunc(found, func(a, b Finding) int { return cmp.Compare(b.Loss, a.Loss) })
	found = pickDifferent(found, keep)
	for i := range found {
		if ctx.Err() != nil {
			break // as they were drawn is better than nothing
		}
		if cut, err := cutDown(ctx, found[i]); err == nil {
			found[i] = cut
		}
	}
	return found, nil
}

// pickDifferent keeps the worst day of each set of troubles.
func pickDifferent(found []Finding, keep int) []Finding {
	seen := map[string]bool{}
	var out []Finding
	for _, f := range found {
		var kinds []string
		for _, t := range f.Scenario.Troubles {
			kinds = append(kinds, t.Kind)
		}
		slices.Sort(kinds)
		key := strings.Join(kinds, "+")
		if len(out) < keep && !seen[key] && f.Loss > 0 {
			seen[key] = true
			out = append(out, f)
		}
	}
	return out
}

func judgeDay(ctx context.Context, s *scenario.Scenario, seed uint64) (*Finding, error) {
	module, err := world.Run(s, world.Options{Seed: seed, Workers: 1, Stop: ctx.Done()})
	if err != nil || ctx.Err() != nil {
		return nil, err
	}
	ideal, err := world.Run(s, world.Options{Seed: seed, Policy: "oracle", Workers: 1, Stop: ctx.Done()})
	if err != nil || ctx.Err() != nil {
		return nil, err
	}
	f := &Finding{Scenario: s, Seed: seed, Module: module, Oracle: ideal, Loss: ideal.G - module.G}
	if module.ViolationCount > 0 {
		f.Loss = 1 + float64(min(module.ViolationCount, 100))/100
	}
	return f, nil
}

// cutDown leaves out each trouble without which the day is nearly as bad.
func cutDown(ctx context.Context, f Finding) (Finding, error) {
	for i := 0; i < len(f.Scenario.Troubles); {
		s := *f.Scenario
		s.Troubles = slices.Delete(slices.Clone(s.Troubles), i, i+1)
		less, err := judgeDay(ctx, &s, f.Seed)
		if err != nil || less == nil {
			return f, cmp.Or(err, ctx.Err())
		}
		if less.Loss >= 0.8*f.Loss || f.Loss >= 1 && less.Loss >= 1 {
			f = *less
		} else {
			i++
		}
	}
	return f, nil
}

// drawTroubles replaces a scenario's troubles by two to five drawn ones that overlap.
func drawTroubles(s *scenario.Scenario, seed uint64) *scenario.Scenario {
	r := random.Stream(seed, "hunt", 0)
	out := *s
	out.Troubles = nil
	kinds := scenario.TroubleKinds()
	start := between(r, 0.1, 0.4) * s.Run.Length.D().Seconds()
	for range 2 + r.IntN(4) {
		out.Troubles = append(out.Troubles, drawTrouble(r, kinds[r.IntN(len(kinds))], start))
	}
	return &out
}

func drawTrouble(r *rand.Rand, kind string, start float64) scenario.Trouble {
	seconds := func(x float64) scenario.Duration {
		return scenario.Duration(time.Duration(x*1000) * time.Millisecond)
	}
	t := scenario.Trouble{Kind: kind, At: seconds(start + between(r, 0, 15)), For: seconds(between(r, 4, 20)),
		Part: round(between(r, 0.05, 0.6)), Busy: r.Float64() < 0.4, By: "destination"}
	switch kind {
	case "errors", "lost_answers":
		t.Size = round(between(r, 0.2, 1))
	case "slow":
		t.Size = round(between(r, 2, 15))
	case "limit_cut":
		t.Size = round(between(r, 0.2, 0.8))
	case "surge":
		t.Size = round(between(r, 1.3, 2.5))
	case "hot":
		t.Size, t.Part = round(between(r, 0.05, 0.3)), 0.05
	case "clump":
		t.Size = float64(int(between(r, 10, 150)))
	case "pauses":
		t.Size, t.Extra = round(between(r, 1, 4)), seconds(between(r, 0.1, 0.8))
	case "restart":
		t.Size, t.Extra, t.Part = float64(r.IntN(2)), seconds(between(r, 0.3, 2)), round(between(r, 0.3, 1))
	case "drain":
		t.Extra, t.By = seconds(between(r, 2, 6)), "endpoint"
	case "registry_lag":
		t.Extra = seconds(between(r, 1, 8))
	}
	return t
}

func between(r *rand.Rand, low, high float64) float64 { return low + (high-low)*r.Float64() }

func round(x float64) float64 { return float64(int(x*100+0.5)) / 100 }
