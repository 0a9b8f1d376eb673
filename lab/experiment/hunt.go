// This file owns the hunt, a randomized search for days on which the decision module breaks a rule or serves far less
// worth than the oracle policy. A day is one run of the scenario with drawn troubles (injected faults) and a seed of
// its own. Each day found is minimized to the troubles that cause its loss. The hunt must never change settings of the
// scenario other than its troubles.

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

const (
	// ruleViolationLoss is the loss of a day on which the module breaks a rule, plus up to 1 for the number of
	// violations. It ranks such days before all others, whose loss is a difference of two scores.
	ruleViolationLoss = 1

	// maxCountedViolations is the number of violations beyond which the loss of a day grows no further.
	maxCountedViolations = 100

	// minimizedLossShare is the share of a day's loss that must remain for a trouble to be removed from it.
	minimizedLossShare = 0.8
)

// Ranges of the troubles that a hunt draws. A day has minTroubles to maxTroubles of them. They start within
// startSpreadSeconds after one moment, which lies between two shares of the run's length, and last minTroubleSeconds to
// maxTroubleSeconds each.
const (
	minTroubles        = 2
	maxTroubles        = 5
	minStartShare      = 0.1
	maxStartShare      = 0.4
	startSpreadSeconds = 15
	minTroubleSeconds  = 4
	maxTroubleSeconds  = 20
	busyChance         = 0.4 // that a trouble affects the busiest destinations
)

// Finding is a day on which the decision module did badly.
type Finding struct {
	Scenario *scenario.Scenario
	Seed     uint64
	Module   *tally.Result
	Oracle   *tally.Result
	Loss     float64 // the oracle's score G less the module's; above 1 if the module broke a rule
}

// Reason describes in a few words why the day is bad: the broken rules, or both scores.
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

// TroubleKinds returns the kinds of the day's troubles, joined by "+", or "none".
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

// Hunt plays the given number of randomly drawn days, up to jobs of them at once, and returns up to keep of the worst,
// each minimized, worst first. It calls done, if it is not nil, after each day. The same first seed always finds the
// same days.
func Hunt(
	ctx context.Context, s *scenario.Scenario, firstSeed uint64, days, keep, jobs int, done func(played int),
) ([]Finding, error) {
	results := make([]*Finding, days)
	g, groupCtx := errgroup.WithContext(ctx)
	g.SetLimit(max(jobs, 1))
	dayDone := make(chan struct{}, days)
	for i := range days {
		g.Go(func() error {
			defer func() { dayDone <- struct{}{} }()
			seed := firstSeed + uint64(i)
			f, err := playDay(groupCtx, drawTroubles(s, seed), seed)
			results[i] = f
			return err
		})
	}
	reporterDone := make(chan struct{})
	go func() {
		defer close(reporterDone)
		for n := 1; n <= days; n++ {
			select {
			case <-dayDone:
				if done != nil {
					done(n)
				}
			case <-groupCtx.Done():
				return
			}
		}
	}()
	err := g.Wait()
	<-reporterDone
	var found []Finding
	for _, finding := range results {
		if finding != nil {
			found = append(found, *finding)
		}
	}
	if err != nil && len(found) == 0 {
		return nil, err
	}
	slices.SortStableFunc(found, func(a, b Finding) int { return cmp.Compare(b.Loss, a.Loss) })
	found = worstPerTroubleSet(found, keep)
	for i := range found {
		if ctx.Err() != nil {
			break // return the remaining days as drawn, not minimized
		}
		if minimized, err := minimize(ctx, found[i]); err == nil {
			found[i] = minimized
		}
	}
	return found, nil
}

// worstPerTroubleSet returns up to keep days with a loss: of days sorted worst first, the first one for each set of
// trouble kinds.
func worstPerTroubleSet(found []Finding, keep int) []Finding {
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

// playDay plays a scenario with the decision module and with the oracle. It returns nil without an error if ctx ended
// before both runs were finished.
func playDay(ctx context.Context, s *scenario.Scenario, seed uint64) (*Finding, error) {
	module, err := world.Run(s, world.Options{Seed: seed, Workers: 1, Stop: ctx.Done()})
	if err != nil || ctx.Err() != nil {
		return nil, err
	}
	oracle, err := world.Run(s, world.Options{Seed: seed, Policy: oraclePolicy, Workers: 1, Stop: ctx.Done()})
	if err != nil || ctx.Err() != nil {
		return nil, err
	}
	f := &Finding{Scenario: s, Seed: seed, Module: module, Oracle: oracle, Loss: oracle.G - module.G}
	if module.ViolationCount > 0 {
		f.Loss = ruleViolationLoss + float64(min(module.ViolationCount, maxCountedViolations))/maxCountedViolations
	}
	return f, nil
}

// minimize removes each trouble without which the day stays nearly as bad or still breaks a rule.
func minimize(ctx context.Context, f Finding) (Finding, error) {
	for i := 0; i < len(f.Scenario.Troubles); {
		s := *f.Scenario
		s.Troubles = slices.Delete(slices.Clone(s.Troubles), i, i+1)
		reduced, err := playDay(ctx, &s, f.Seed)
		if err != nil || reduced == nil {
			return f, cmp.Or(err, ctx.Err())
		}
		nearlyAsBad := reduced.Loss >= minimizedLossShare*f.Loss
		stillBreaksRule := f.Loss >= ruleViolationLoss && reduced.Loss >= ruleViolationLoss
		if nearlyAsBad || stillBreaksRule {
			f = *reduced
		} else {
			i++
		}
	}
	return f, nil
}

// drawTroubles returns the scenario with its troubles replaced by two to five drawn ones. All start within 15 s after
// one moment, which is drawn between a tenth and four tenths of the run's length, so that most of them overlap in time.
func drawTroubles(s *scenario.Scenario, seed uint64) *scenario.Scenario {
	r := random.Stream(seed, "hunt", 0)
	out := *s
	out.Troubles = nil
	kinds := scenario.TroubleKinds()
	startSeconds := uniform(r, minStartShare, maxStartShare) * s.Run.Length.D().Seconds()
	for range minTroubles + r.IntN(maxTroubles-minTroubles+1) {
		out.Troubles = append(out.Troubles, drawTrouble(r, kinds[r.IntN(len(kinds))], startSeconds))
	}
	return &out
}

// drawTrouble draws a trouble of the given kind that starts up to 15 s after startSeconds and lasts 4 s to 20 s. What
// Size and Extra mean depends on the kind; the command "eiderlab troubles" describes it.
func drawTrouble(r *rand.Rand, kind string, startSeconds float64) scenario.Trouble {
	seconds := func(x float64) scenario.Duration {
		return scenario.Duration(time.Duration(x*1000) * time.Millisecond)
	}
	t := scenario.Trouble{
		Kind: kind,
		At:   seconds(startSeconds + uniform(r, 0, startSpreadSeconds)),
		For:  seconds(uniform(r, minTroubleSeconds, maxTroubleSeconds)),
		Part: roundToHundredth(uniform(r, 0.05, 0.6)),
		Busy: r.Float64() < busyChance,
		By:   "destination",
	}
	switch kind {
	case "errors", "lost_answers":
		t.Size = roundToHundredth(uniform(r, 0.2, 1))
	case "slow":
		t.Size = roundToHundredth(uniform(r, 2, 15))
	case "limit_cut":
		t.Size = roundToHundredth(uniform(r, 0.2, 0.8))
	case "surge":
		t.Size = roundToHundredth(uniform(r, 1.3, 2.5))
	case "hot":
		t.Size = roundToHundredth(uniform(r, 0.05, 0.3))
		t.Part = 0.05
	case "clump":
		t.Size = float64(int(uniform(r, 10, 150)))
	case "pauses":
		t.Size = roundToHundredth(uniform(r, 1, 4))
		t.Extra = seconds(uniform(r, 0.1, 0.8))
	case "restart":
		t.Size = float64(r.IntN(2))
		t.Extra = seconds(uniform(r, 0.3, 2))
		t.Part = roundToHundredth(uniform(r, 0.3, 1))
	case "drain":
		t.Extra = seconds(uniform(r, 2, 6))
		t.By = "endpoint"
	case "registry_lag":
		t.Extra = seconds(uniform(r, 1, 8))
	}
	return t
}

// uniform draws a value between low and high.
func uniform(r *rand.Rand, low, high float64) float64 { return low + (high-low)*r.Float64() }

// roundToHundredth rounds a positive value to two decimal places.
func roundToHundredth(x float64) float64 { return float64(int(x*100+0.5)) / 100 }
