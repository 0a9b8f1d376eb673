package experiment

import (
	"context"
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"eiderhaven/lab/scenario"
	"eiderhaven/lab/tally"
)

func plan(t *testing.T) *Plan {
	t.Helper()
	s, err := scenario.Load("../scenarios/calm.toml")
	if err == nil {
		s, err = s.Set("run.length", "5s")
	}
	if err != nil {
		t.Fatal(err)
	}
	return &Plan{Scenario: s, Policies: []string{"rules", "once"}, Seeds: Seeds(1, 3),
		Axes: []Axis{{Key: "senders.count", Values: []string{"1", "40"}}}}
}

func folder(t *testing.T, path string) map[string]string {
	t.Helper()
	out := map[string]string{}
	for _, name := range []string{planFile, csvFile, jsonFile, scenarioFile} {
		text, err := os.ReadFile(filepath.Join(path, name))
		if err != nil {
			t.Fatal(err)
		}
		out[name] = string(text)
	}
	return out
}

// TestABrokenOffSweepComesToTheSameBytes breaks a sweep off after some runs, tears its last row, resumes it with another
// number of jobs, and compares the folder with one that was played at once.
func TestABrokenOffSweepComesToTheSameBytes(t *testing.T) {
	whole := filepath.Join(t.TempDir(), "whole")
	f, err := Create(whole, plan(t), false)
	if err != nil {
		t.Fatal(err)
	}
	if err := Play(context.Background(), f, 4, nil); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}

	broken := filepath.Join(t.TempDir(), "broken")
	ctx, stop := context.WithCancel(context.Background())
	if f, err = Create(broken, plan(t), false); err != nil {
		t.Fatal(err)
	}
	err = Play(ctx, f, 2, func(n, _ int) {
		if n == 5 {
			stop()
		}
	})
	if !errors.Is(err, context.Canceled) || len(f.Missing()) == 0 {
		t.Fatalf("%v, %d runs missing: want it broken off", err, len(f.Missing()))
	}
	missing := len(f.Missing()) // how many were under way when it was broken off varies
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	part := filepath.Join(broken, partFile)
	text, err := os.ReadFile(part)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(part, text[:len(text)-20], 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := Create(broken, plan(t), false); err == nil || !strings.Contains(err.Error(), "--resume") {
		t.Errorf("%v: want a folder that is there refused, with what to do", err)
	}
	if f, err = Create(broken, plan(t), true); err != nil {
		t.Fatal(err)
	}
	if len(f.Missing()) != missing+1 {
		t.Errorf("%d runs to play, want %d and the torn row", len(f.Missing()), missing)
	}
	if err := Play(context.Background(), f, 3, nil); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(folder(t, whole), folder(t, broken)); diff != "" {
		t.Errorf("the resumed sweep differs:\n%s", diff)
	}
	if err := f.Report(); err != nil { // also draws an axis of numbers on which a figure has no point
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(broken, "report.html"))
	if err != nil || strings.Count(string(page), "<svg") != len(figures)-1 || strings.Contains(string(page), "src=") {
		t.Errorf("%v: want a page with %d charts in it (a calm day has no recovery) and nothing from outside", err, len(figures)-1)
	}
}

func TestAnotherPlanIsNotResumed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x")
	f, err := Create(path, plan(t), false)
	if err != nil {
		t.Fatal(err)
	}
	f.Close()
	other := plan(t)
	other.Seeds = Seeds(1, 4)
	if _, err := Create(path, other, true); err == nil || !strings.Contains(err.Error(), "another plan") {
		t.Errorf("%v: want it refused", err)
	}
}

func TestPlansAreCheckedBeforeTheyAreplayed(t *testing.T) {
	for _, row := range []struct {
		change func(*Plan)
		says   string
	}{
		{func(p *Plan) { p.Policies = []string{"nonsense"} }, `policy "nonsense" is unknown: expected one of`},
		{func(p *Plan) { p.Axes[0].Key = "senders.cuont" }, "there is no key"},
		{func(p *Plan) { p.Axes[0].Values = []string{"1", "-4"} }, "out of range"},
		{func(p *Plan) { p.Seeds = nil }, "needs a seed"},
	} {
		p := plan(t)
		row.change(p)
		if err := p.Validate(); err == nil || !strings.Contains(err.Error(), row.says) {
			t.Errorf("%v, want it to say %q", err, row.says)
		}
	}
}

// TestIntervalsHoldAsOftenAsTheySay draws samples of a known mean.
func TestIntervalsHoldAsOftenAsTheySay(t *testing.T) {
	e := EstimateMean([]float64{1, 2, 3, 4, 5})
	if math.Abs(e.Mean-3) > 1e-12 || math.Abs(e.HalfWidth-1.9632) > 1e-3 { // 2.776 * 1.5811 / sqrt 5
		t.Errorf("%v, want 3 ± 1.963", e)
	}
	if !math.IsNaN(EstimateMean([]float64{1}).HalfWidth) {
		t.Error("one run says nothing of spread")
	}
}

func TestComparePairsBySeed(t *testing.T) {
	row := func(seed uint64, g float64) Row {
		return Row{Point: Point{Seed: seed, Policy: "rules"}, Result: tally.Result{G: g}}
	}
	a := []Row{row(1, 0.5), row(2, 0.9), row(3, 0.1)}
	b := []Row{row(2, 0.95), row(1, 0.56), row(9, 0)}
	diffs, pairs, alone := Compare(a, b, pairKey)
	if d := diffs[0]; pairs != 2 || alone != 2 || d.Name != "g" || math.Abs(d.Diff.Mean-0.055) > 1e-9 || d.Higher != 2 {
		t.Errorf("%d pairs, %d alone, %+v; want 2, 2, +0.055", pairs, alone, diffs[0])
	}
}

// TestTheHuntFindsAPlantedWeakness lowers the room so far that any trouble hurts, and looks for days found twice alike.
func TestTheHuntFindsTheSameDaysAgain(t *testing.T) {
	s, err := scenario.Load("../scenarios/outage.toml")
	if err == nil {
		s, err = s.Set("run.length", "20s")
	}
	if err != nil {
		t.Fatal(err)
	}
	var texts [2][]string
	for i := range texts {
		found, err := Hunt(context.Background(), s, 1, 12, 3, 2+i, nil)
		if err != nil || len(found) == 0 {
			t.Fatal(err, "nothing found")
		}
		cut := false
		for _, f := range found {
			cut = cut || len(f.Scenario.Troubles) < len(drawTroubles(s, f.Seed).Troubles)
		}
		if !cut {
			t.Error("no day was cut down to the troubles that matter")
		}
		for _, f := range found {
			texts[i] = append(texts[i], f.TroubleKinds()+" "+f.Reason())
			if len(f.Scenario.Troubles) > 5 || f.Loss <= 0 {
				t.Errorf("%s: loss %.3f", f.TroubleKinds(), f.Loss)
			}
		}
	}
	if diff := cmp.Diff(texts[0], texts[1]); diff != "" {
		t.Errorf("two hunts from one seed differ:\n%s", diff)
	}
}

func TestAHuntThatIsBrokenOffEnds(t *testing.T) {
	s, err := scenario.Load("../scenarios/outage.toml")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer stop()
	if _, err := Hunt(ctx, s, 1, 1000, 3, 2, nil); err == nil {
		t.Log("some days were played before the end")
	}
}
