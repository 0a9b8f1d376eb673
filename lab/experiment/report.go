// This file owns which tables and charts are made of an experiment or of a run. Every chart shows figures that rows or
// series hold; a bar or point without an interval rests on one run.

package experiment

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"eiderhaven/lab/chart"
	"eiderhaven/lab/tally"
)

// figures are those of the summary table and of the charts over an axis.
var figures = []struct {
	name, axis string
	of         func(*tally.Result) float64
	zero, log  bool
}{
	{"G", "G, share of the worth asked for", func(r *tally.Result) float64 { return r.G }, true, false},
	{"served", "share of first tries served", func(r *tally.Result) float64 { return per(r.Served, r.Submitted) }, true, false},
	{"served a second", "messages served a second", func(r *tally.Result) float64 { return float64(r.Served) / max(r.ModelSeconds, 1e-9) }, true, false},
	{"calls refused", "calls turned away for each first try", func(r *tally.Result) float64 { return per(r.RefusedByLimit+r.RefusedOtherwise, r.Submitted) }, true, false},
	{"calls", "calls for each first try", func(r *tally.Result) float64 { return per(r.Calls, r.Submitted) }, true, false},
	{"p50, ms", "median time to delivery, ms", func(r *tally.Result) float64 { return r.P50 }, false, true},
	{"p99, ms", "99th percentile of the time to delivery, ms", func(r *tally.Result) float64 { return r.P99 }, false, true},
	{"recovery, s", "recovery after the last outage, s", recoveryOf, true, false},
	{"rules broken", "breaks of rules", func(r *tally.Result) float64 { return float64(r.ViolationCount) }, true, false},
}

func per(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// Summary is the table of all cells: means and half widths of 95 % intervals over seeds.
func (f *Folder) Summary() chart.Table {
	t := chart.Table{Title: "Results", Head: nil}
	for _, a := range f.Plan.Axes {
		t.Head = append(t.Head, a.Key)
	}
	t.Head = append(t.Head, "policy", "runs")
	for _, x := range figures {
		t.Head = append(t.Head, x.name)
	}
	bound := f.bound()
	if bound != nil {
		t.Head = append(t.Head, "G / oracle")
	}
	for _, c := range f.Cells() {
		row := append(append([]string{}, c.AxisValues...), c.Policy, strconv.Itoa(len(c.Rows)))
		for _, x := range figures {
			row = append(row, c.Estimate(x.of).String())
		}
		if bound != nil {
			row = append(row, f.share(c, bound).String())
		}
		t.Rows = append(t.Rows, row)
	}
	return t
}

// bound maps parameters and seed to the oracle's G, nil where the plan has no oracle.
func (f *Folder) bound() map[string]float64 {
	var of map[string]float64
	for _, r := range f.Rows() {
		if r.Point.Policy == "oracle" {
			if of == nil {
				of = map[string]float64{}
			}
			of[pairKey(r)] = r.Result.G
		}
	}
	return of
}

func pairKey(r Row) string {
	return strings.Join(r.AxisValues, "\x00") + "\x00" + strconv.FormatUint(r.Point.Seed, 10)
}

// share estimates the part of the oracle's G that a cell reaches, run by run.
func (f *Folder) share(c Cell, bound map[string]float64) Estimate {
	var xs []float64
	for _, r := range c.Rows {
		if b, ok := bound[pairKey(r)]; ok && b > 0 {
			xs = append(xs, r.Result.G/b)
		}
	}
	return EstimateMean(xs)
}

// Charts are the charts of a grid: each figure over the first axis, a line for each policy and value of the other axes, or
// bars by policy where there is no axis.
func (f *Folder) Charts() []*chart.Chart {
	cells := f.Cells()
	if len(cells) == 0 {
		return nil
	}
	var charts []*chart.Chart
	for _, x := range figures {
		if len(f.Plan.Axes) == 0 {
			charts = append(charts, f.bars(cells, x.name, x.axis, x.of))
			continue
		}
		c := f.overAxis(cells, x.of)
		c.Title, c.YLabel, c.YFromZero, c.LogY = f.Plan.Scenario.Name+": "+x.name, x.axis, x.zero, x.log
		if !c.Empty() {
			charts = append(charts, c)
		}
	}
	return charts
}

func (f *Folder) bars(cells []Cell, name, axis string, of func(*tally.Result) float64) *chart.Chart {
	c := &chart.Chart{Title: f.Plan.Scenario.Name + ": " + name + " by policy", YLabel: axis, YFromZero: true}
	var l chart.Line
	for i, cell := range cells {
		e := cell.Estimate(of)
		c.BarLabels = append(c.BarLabels, cell.Policy)
		l.X, l.Y = append(l.X, float64(i)), append(l.Y, e.Mean)
		l.Low, l.High = append(l.Low, e.Mean-e.HalfWidth), append(l.High, e.Mean+e.HalfWidth)
	}
	c.Lines = []chart.Line{l}
	return c
}

// overAxis draws a figure over the first axis. Values that are numbers or durations stand at their place, others in order.
func (f *Folder) overAxis(cells []Cell, of func(*tally.Result) float64) *chart.Chart {
	axis := f.Plan.Axes[0]
	c := &chart.Chart{XLabel: axis.Key}
	place := map[string]float64{}
	low, high, numbers := math.Inf(1), math.Inf(-1), true
	for i, v := range axis.Values {
		x, ok := number(v)
		if !ok {
			numbers, x = false, float64(i)
		}
		place[v] = x
		low, high = min(low, x), max(high, x)
	}
	c.LogX = numbers && low > 0 && high/low >= 30
	index := map[string]int{}
	for _, cell := range cells {
		name := f.lineName(cell)
		i, known := index[name]
		if !known {
			i = len(c.Lines)
			index[name] = i
			c.Lines = append(c.Lines, chart.Line{Name: name, Dashed: cell.Policy == "oracle"})
		}
		l, e := &c.Lines[i], cell.Estimate(of)
		l.X, l.Y = append(l.X, place[cell.AxisValues[0]]), append(l.Y, e.Mean)
		l.Low, l.High = append(l.Low, e.Mean-e.HalfWidth), append(l.High, e.Mean+e.HalfWidth)
	}
	return c
}

func (f *Folder) lineName(c Cell) string {
	parts := []string{c.Policy}
	for i, v := range c.AxisValues[1:] {
		key := f.Plan.Axes[i+1].Key
		parts = append(parts, key[strings.LastIndex(key, ".")+1:]+"="+v)
	}
	return strings.Join(parts, ", ")
}

func number(text string) (float64, bool) {
	if x, err := strconv.ParseFloat(text, 64); err == nil {
		return x, true
	}
	if d, err := time.ParseDuration(text); err == nil {
		return d.Seconds(), true
	}
	return 0, false
}

// Report writes summary.md, charts and report.html into the folder.
func (f *Folder) Report() error {
	t := f.Summary()
	charts := f.Charts()
	page := &chart.Page{Title: f.Plan.Scenario.Name, About: f.about(), Tables: []chart.Table{t}, Charts: charts}
	return write(f.Path, page, charts, t)
}

func (f *Folder) about() string {
	return fmt.Sprintf("%s. Simulated, by the project's own model: %d runs, seeds %v, 95 %% confidence intervals over seeds. Program %s, %s.",
		strings.TrimSuffix(f.Plan.Scenario.About, "."), len(f.Rows()), seedText(f.Plan.Seeds), ThisBuild().Program, ThisBuild().Go)
}

func seedText(seeds []uint64) string {
	if len(seeds) > 1 && seeds[len(seeds)-1]-seeds[0] == uint64(len(seeds)-1) {
		return fmt.Sprintf("%d to %d", seeds[0], seeds[len(seeds)-1])
	}
	return fmt.Sprint(seeds)
}

func write(path string, page *chart.Page, charts []*chart.Chart, t chart.Table) error {
	html, err := page.HTML()
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(path, "report.html"), html, 0o644); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(path, "summary.md"), []byte(page.About+"\n\n"+t.Markdown()), 0o644); err != nil {
		return err
	}
	for _, c := range charts {
		if err := c.Save(filepath.Join(path, "charts"), chart.FileName(c.Title)); err != nil {
			return err
		}
	}
	return nil
}

// RunTable is the table of single runs of one scenario.
func RunTable(results []*tally.Result) chart.Table {
	t := chart.Table{Title: "Results", Head: []string{"figure"}}
	for _, r := range results {
		t.Head = append(t.Head, r.Policy)
	}
	add := func(name string, of func(*tally.Result) string) {
		row := []string{name}
		for _, r := range results {
			row = append(row, of(r))
		}
		t.Rows = append(t.Rows, row)
	}
	for _, c := range Columns {
		add(c.Name, func(r *tally.Result) string { return short(c.Of(r)) })
	}
	return t
}

// RunCharts are the charts over time of single runs of one scenario.
func RunCharts(results []*tally.Result, bands []chart.Band) []*chart.Chart {
	if len(results) == 0 || len(results[0].Series) == 0 {
		return nil
	}
	name := results[0].Scenario
	over := func(title, y string, zero, logY bool, of func(*tally.Window) float64, per bool) *chart.Chart {
		c := &chart.Chart{Title: name + ": " + title, XLabel: "model time, s", YLabel: y, YFromZero: zero, LogY: logY, Bands: bands}
		for _, r := range results {
			c.Lines = append(c.Lines, binned(r.Policy, len(r.Series), r.WindowSeconds, per, func(i int) float64 { return of(&r.Series[i]) }))
		}
		return c
	}
	flow := over("throughput", "messages served a second", true, false, func(w *tally.Window) float64 { return float64(w.Served) }, true)
	first := results[0]
	asked := binned("handed in", len(first.Series), first.WindowSeconds, true, func(i int) float64 { return float64(first.Series[i].Submitted) })
	asked.Dashed = true
	flow.Lines = append(flow.Lines, asked)
	charts := []*chart.Chart{flow,
		over("calls turned away", "calls turned away a second", true, false, func(w *tally.Window) float64 { return float64(w.RefusedByLimit + w.RefusedOtherwise) }, true),
		over("messages refused or failed", "messages a second", true, false, func(w *tally.Window) float64 { return float64(w.Refused + w.Failed + w.TurnedAway) }, true),
		over("median time to delivery", "ms", false, true, func(w *tally.Window) float64 { return w.P50 }, false),
		over("99th percentile of the time to delivery", "ms", false, true, func(w *tally.Window) float64 { return w.P99 }, false),
	}
	charts = append(charts, over("messages held", "messages held by all senders", true, false, func(w *tally.Window) float64 { return w.Held }, false))
	return append(charts, laneCharts(results[0], bands)...)
}

// points is about how many points a line over time has; longer series are averaged over neighbours.
const points = 60

// binned makes a line of n steps. With per, a value is a count and becomes a rate; without, it is a level, and steps that
// have none (0) are left out of the mean.
func binned(name string, n int, step float64, per bool, of func(int) float64) chart.Line {
	l := chart.Line{Name: name}
	size := max(1, (n+points-1)/points)
	for from := 0; from < n; from += size {
		sum, count := 0.0, 0
		for i := from; i < min(from+size, n); i++ {
			v := of(i)
			sum += v
			if per || v != 0 {
				count++
			}
		}
		mean := sum / float64(max(count, 1))
		if per {
			mean /= step
		}
		l.X, l.Y = append(l.X, float64(from)*step), append(l.Y, mean)
	}
	return l
}

// laneCharts show what the busiest destinations were sent, beside what they take: the paces as seen from outside.
func laneCharts(r *tally.Result, bands []chart.Band) []*chart.Chart {
	var charts []*chart.Chart
	for _, lane := range r.BusiestDestinations[:min(3, len(r.BusiestDestinations))] {
		c := &chart.Chart{Title: fmt.Sprintf("%s: calls to destination %d by %s", r.Scenario, lane.Dest, r.Policy),
			XLabel: "model time, s", YLabel: "calls a second", YFromZero: true, Bands: bands}
		n := len(lane.Calls)
		best := binned("taken at its best", n, r.WindowSeconds, false, func(int) float64 { return lane.Capacity })
		best.Dashed = true
		c.Lines = []chart.Line{binned("sent", n, r.WindowSeconds, true, func(i int) float64 { return float64(lane.Calls[i]) }),
			binned("turned away", n, r.WindowSeconds, true, func(i int) float64 { return float64(lane.Refusals[i]) }), best}
		charts = append(charts, c)
	}
	return charts
}

// SaveRuns writes the folder of single runs: scenario, results whole, table, charts and page.
func SaveRuns(path string, text []byte, results []*tally.Result, bands []chart.Band) error {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(path, scenarioFile), text, 0o644); err != nil {
		return err
	}
	for _, r := range results {
		out, err := json.MarshalIndent(struct {
			Build Build `json:"build"`
			*tally.Result
		}{ThisBuild(), r}, "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(path, fmt.Sprintf("%s-%d.json", r.Policy, r.Seed)), append(out, '\n'), 0o644); err != nil {
			return err
		}
	}
	t := RunTable(results)
	page := &chart.Page{Title: results[0].Scenario, Tables: []chart.Table{t}, Charts: RunCharts(results, bands),
		About: fmt.Sprintf("Simulated, by the project's own model; seed %d. Shaded: something goes wrong.", results[0].Seed),
		Notes: []string{strings.Join(results[0].Log, "\n")}}
	return write(path, page, page.Charts, t)
}

// ReadRuns reads the results of a folder that SaveRuns wrote.
func ReadRuns(path string) ([]*tally.Result, error) {
	files, err := filepath.Glob(filepath.Join(path, "*-*.json"))
	if err != nil {
		return nil, err
	}
	var results []*tally.Result
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		r := &tally.Result{}
		if err := json.Unmarshal(text, r); err != nil {
			return nil, fmt.Errorf("%s: %w", f, err)
		}
		results = append(results, r)
	}
	if len(results) == 0 {
		return nil, fmt.Errorf("%s holds no results of runs", path)
	}
	return results, nil
}
