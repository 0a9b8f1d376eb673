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

// testPlan returns a plan of twelve short runs: two values of one axis, two policies and three seeds.
func testPlan(t *testing.T) *Plan {
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

// readFolder returns the contents of the files that a finished sweep writes, by name.
func readFolder(t *testing.T, path string) map[string]string {
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

// TestResumedSweepWritesTheSameBytes guards against results that depend on an interruption: it interrupts a sweep after
// some runs, truncates its last row, resumes it with another number of jobs, and compares the folder with that of an
// uninterrupted sweep.
func TestResumedSweepWritesTheSameBytes(t *testing.T) {
	uninterrupted := filepath.Join(t.TempDir(), "uninterrupted")
	f, err := Create(uninterrupted, testPlan(t), false)
	if err != nil {
		t.Fatal(err)
	}
	if err := Play(context.Background(), f, 4, nil); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}

	interrupted := filepath.Join(t.TempDir(), "interrupted")
	ctx, stop := context.WithCancel(context.Background())
	if f, err = Create(interrupted, testPlan(t), false); err != nil {
		t.Fatal(err)
	}
	err = Play(ctx, f, 2, func(n, _ int) {
		if n == 5 {
			stop()
		}
	})
	if !errors.Is(err, context.Canceled) || len(f.Missing()) == 0 {
		t.Fatalf("%v, %d runs missing: want an interrupted sweep", err, len(f.Missing()))
	}
	missing := len(f.Missing()) // varies with the runs in progress at the interruption
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	rowLog := filepath.Join(interrupted, rowLogFile)
	text, err := os.ReadFile(rowLog)
	if err != nil {
		t.Fatal(err)
	}
	const truncatedBytes = 20 // less than a row, so that the last one is incomplete
	if err := os.WriteFile(rowLog, text[:len(text)-truncatedBytes], 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := Create(interrupted, testPlan(t), false); err == nil || !strings.Contains(err.Error(), "--resume") {
		t.Errorf("%v: want an existing folder refused with a hint at --resume", err)
	}
	if f, err = Create(interrupted, testPlan(t), true); err != nil {
		t.Fatal(err)
	}
	if len(f.Missing()) != missing+1 {
		t.Errorf("%d runs to play, want %d and that of the truncated row", len(f.Missing()), missing)
	}
	if err := Play(context.Background(), f, 3, nil); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(readFolder(t, uninterrupted), readFolder(t, interrupted)); diff != "" {
		t.Errorf("the resumed sweep differs:\n%s", diff)
	}
	if err := f.Report(); err != nil { // also covers a metric that has no point on a numeric axis
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(interrupted, "report.html"))
	wantCharts := len(reportMetrics) - 1 // a run without outages has no recovery time
	if err != nil || strings.Count(string(page), "<svg") != wantCharts || strings.Contains(string(page), "src=") {
		t.Errorf("%v: want a page with %d embedded charts and no reference to other files", err, wantCharts)
	}
}

func TestResumeRefusesAnotherPlan(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x")
	f, err := Create(path, testPlan(t), false)
	if err != nil {
		t.Fatal(err)
	}
	f.Close()
	other := testPlan(t)
	other.Seeds = Seeds(1, 4)
	if _, err := Create(path, other, true); err == nil || !strings.Contains(err.Error(), "another plan") {
		t.Errorf("%v: want it refused", err)
	}
}

func TestValidateRefusesBadPlans(t *testing.T) {
	for _, row := range []struct {
		change    func(*Plan)
		wantError string
	}{
		{func(p *Plan) { p.Policies = []string{"nonsense"} }, `policy "nonsense" is unknown: expected one of`},
		{func(p *Plan) { p.Axes[0].Key = "senders.cuont" }, "there is no key"},
		{func(p *Plan) { p.Axes[0].Values = []string{"1", "-4"} }, "out of range"},
		{func(p *Plan) { p.Seeds = nil }, "needs at least one seed"},
	} {
		p := testPlan(t)
		row.change(p)
		if err := p.Validate(); err == nil || !strings.Contains(err.Error(), row.wantError) {
			t.Errorf("%v, want an error that contains %q", err, row.wantError)
		}
	}
}

// TestEstimateMeanGivesStudentTInterval compares an interval with one computed by hand.
func TestEstimateMeanGivesStudentTInterval(t *testing.T) {
	e := EstimateMean([]float64{1, 2, 3, 4, 5})
	if math.Abs(e.Mean-3) > 1e-12 || math.Abs(e.HalfWidth-1.9632) > 1e-3 { // 2.776 * 1.5811 / sqrt 5
		t.Errorf("%v, want 3 ± 1.963", e)
	}
	if !math.IsNaN(EstimateMean([]float64{1}).HalfWidth) {
		t.Error("want no interval from a single run")
	}
}

func TestComparePairsBySeed(t *testing.T) {
	row := func(seed uint64, g float64) Row {
		return Row{Point: Point{Seed: seed, Policy: "rules"}, Result: tally.Result{G: g}}
	}
	a := []Row{row(1, 0.5), row(2, 0.9), row(3, 0.1)}
	b := []Row{row(2, 0.95), row(1, 0.56), row(9, 0)}
	diffs, pairs, unmatched := Compare(a, b, pairKey)
	if d := diffs[0]; pairs != 2 || unmatched != 2 || d.Name != "g" || math.Abs(d.Diff.Mean-0.055) > 1e-9 || d.Higher != 2 {
		t.Errorf("%d pairs, %d unmatched, %+v; want 2, 2, +0.055", pairs, unmatched, diffs[0])
	}
}

// TestHuntIsReproducible runs two hunts from the same first seed with different numbers of jobs. Both must find the
// same days and minimize at least one.
func TestHuntIsReproducible(t *testing.T) {
	s, err := scenario.Load("../scenarios/outage.toml")
	if err == nil {
		s, err = s.Set("run.length", "20s")
	}
	if err != nil {
		t.Fatal(err)
	}
	var descriptions [2][]string
	for i := range descriptions {
		found, err := Hunt(context.Background(), s, 1, 12, 3, 2+i, nil)
		if err != nil || len(found) == 0 {
			t.Fatal(err, "nothing found")
		}
		anyMinimized := false
		for _, f := range found {
			anyMinimized = anyMinimized || len(f.Scenario.Troubles) < len(drawTroubles(s, f.Seed).Troubles)
		}
		if !anyMinimized {
			t.Error("no day was minimized")
		}
		for _, f := range found {
			descriptions[i] = append(descriptions[i], f.TroubleKinds()+" "+f.Reason())
			if len(f.Scenario.Troubles) > 5 || f.Loss <= 0 {
				t.Errorf("%s: loss %.3f", f.TroubleKinds(), f.Loss)
			}
		}
	}
	if diff := cmp.Diff(descriptions[0], descriptions[1]); diff != "" {
		t.Errorf("two hunts from one seed differ:\n%s", diff)
	}
}

func TestCancelledHuntEnds(t *testing.T) {
	s, err := scenario.Load("../scenarios/outage.toml")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer stop()
	if _, err := Hunt(ctx, s, 1, 1000, 3, 2, nil); err == nil {
		t.Log("some days were played before the cancellation")
	}
}
