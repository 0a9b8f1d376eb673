// This file owns the tables and charts of an experiment and of single runs. A chart must never show values that the
// stored rows or time series don't contain. A bar or point without an interval is based on one run.

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

const (
	// minLogAxisRatio is the ratio of the largest to the smallest value from which an axis is logarithmic.
	minLogAxisRatio = 30

	// maxDestinationCharts is the number of destinations that get a chart of their own.
	maxDestinationCharts = 3
)

// reportMetrics are the metrics of the summary table and of the charts over an axis.
var reportMetrics = []struct {
	name      string // column of the summary table, and part of chart titles
	yLabel    string
	value     func(*tally.Result) float64
	yFromZero bool
	logY      bool
}{
	{
		name:   "G",
		yLabel: "G, share of the worth asked for",
		value: func(r *tally.Result) float64 {
			return r.G
		},
		yFromZero: true,
	},
	{
		name:   "served",
		yLabel: "share of first tries served",
		value: func(r *tally.Result) float64 {
			return ratio(r.Served, r.Submitted)
		},
		yFromZero: true,
	},
	{
		name:   "served a second",
		yLabel: "messages served a second",
		value: func(r *tally.Result) float64 {
			return float64(r.Served) / max(r.ModelSeconds, 1e-9)
		},
		yFromZero: true,
	},
	{
		name:   "calls refused",
		yLabel: "calls turned away for each first try",
		value: func(r *tally.Result) float64 {
			return ratio(r.RefusedByLimit+r.RefusedOtherwise, r.Submitted)
		},
		yFromZero: true,
	},
	{
		name:   "calls",
		yLabel: "calls for each first try",
		value: func(r *tally.Result) float64 {
			return ratio(r.Calls, r.Submitted)
		},
		yFromZero: true,
	},
	{
		name:   "p50, ms",
		yLabel: "median time to delivery, ms",
		value: func(r *tally.Result) float64 {
			return r.P50
		},
		logY: true,
	},
	{
		name:   "p99, ms",
		yLabel: "99th percentile of the time to delivery, ms",
		value: func(r *tally.Result) float64 {
			return r.P99
		},
		logY: true,
	},
	{
		name:      "recovery, s",
		yLabel:    "recovery after the last outage, s",
		value:     recoverySeconds,
		yFromZero: true,
	},
	{
		name:   "rules broken",
		yLabel: "breaks of rules",
		value: func(r *tally.Result) float64 {
			return float64(r.ViolationCount)
		},
		yFromZero: true,
	},
}

// ratio returns a / b, or 0 if b is 0.
func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// Summary returns a table of all cells: means and half widths of 95 % confidence intervals over seeds.
func (f *Folder) Summary() chart.Table {
	t := chart.Table{Title: "Results", Head: nil}
	for _, a := range f.Plan.Axes {
		t.Head = append(t.Head, a.Key)
	}
	t.Head = append(t.Head, "policy", "runs")
	for _, metric := range reportMetrics {
		t.Head = append(t.Head, metric.name)
	}
	oracleG := f.oracleScores()
	if oracleG != nil {
		t.Head = append(t.Head, "G / oracle")
	}
	for _, c := range f.Cells() {
		row := append(append([]string{}, c.AxisValues...), c.Policy, strconv.Itoa(len(c.Rows)))
		for _, metric := range reportMetrics {
			row = append(row, c.Estimate(metric.value).String())
		}
		if oracleG != nil {
			row = append(row, f.oracleShare(c, oracleG).String())
		}
		t.Rows = append(t.Rows, row)
	}
	return t
}

// oracleScores maps axis values and seed (see pairKey) to the G that the oracle policy reached, which serves as the
// reference. It returns nil if no run of the oracle is finished.
func (f *Folder) oracleScores() map[string]float64 {
	var scores map[string]float64
	for _, r := range f.Rows() {
		if r.Point.Policy == oraclePolicy {
			if scores == nil {
				scores = map[string]float64{}
			}
			scores[pairKey(r)] = r.Result.G
		}
	}
	return scores
}

// pairKey identifies the runs of different policies that share axis values and seed.
func pairKey(r Row) string {
	return strings.Join(r.AxisValues, "\x00") + "\x00" + strconv.FormatUint(r.Point.Seed, 10)
}

// oracleShare estimates the share of the oracle's G that the runs of a cell reach, each compared with the oracle's run
// of the same axis values and seed.
func (f *Folder) oracleShare(cell Cell, oracleG map[string]float64) Estimate {
	var xs []float64
	for _, r := range cell.Rows {
		if best, ok := oracleG[pairKey(r)]; ok && best > 0 {
			xs = append(xs, r.Result.G/best)
		}
	}
	return EstimateMean(xs)
}

// Charts returns a chart of each metric over the plan's first axis, with a line for each policy and each combination of
// values of the other axes. A plan without axes gets bar charts with a bar for each policy.
func (f *Folder) Charts() []*chart.Chart {
	cells := f.Cells()
	if len(cells) == 0 {
		return nil
	}
	var charts []*chart.Chart
	for _, metric := range reportMetrics {
		if len(f.Plan.Axes) == 0 {
			charts = append(charts, f.barChart(cells, metric.name, metric.yLabel, metric.value))
			continue
		}
		c := f.chartOverAxis(cells, metric.value)
		c.Title = f.Plan.Scenario.Name + ": " + metric.name
		c.YLabel = metric.yLabel
		c.YFromZero = metric.yFromZero
		c.LogY = metric.logY
		if !c.Empty() {
			charts = append(charts, c)
		}
	}
	return charts
}

// barChart returns a chart of one metric with a bar for each cell, labelled by policy.
func (f *Folder) barChart(cells []Cell, name, yLabel string, metric func(*tally.Result) float64) *chart.Chart {
	c := &chart.Chart{Title: f.Plan.Scenario.Name + ": " + name + " by policy", YLabel: yLabel, YFromZero: true}
	var line chart.Line
	for i, cell := range cells {
		c.BarLabels = append(c.BarLabels, cell.Policy)
		addEstimate(&line, float64(i), cell.Estimate(metric))
	}
	c.Lines = []chart.Line{line}
	return c
}

// chartOverAxis returns a chart of one metric over the first axis. Values that are numbers or durations are placed to
// scale, others at their position in the list.
func (f *Folder) chartOverAxis(cells []Cell, metric func(*tally.Result) float64) *chart.Chart {
	axis := f.Plan.Axes[0]
	c := &chart.Chart{XLabel: axis.Key}
	positions := map[string]float64{}
	low, high, allNumbers := math.Inf(1), math.Inf(-1), true
	for i, v := range axis.Values {
		x, ok := parseNumber(v)
		if !ok {
			allNumbers, x = false, float64(i)
		}
		positions[v] = x
		low, high = min(low, x), max(high, x)
	}
	c.LogX = allNumbers && low > 0 && high/low >= minLogAxisRatio
	lineIndex := map[string]int{}
	for _, cell := range cells {
		name := f.lineName(cell)
		i, known := lineIndex[name]
		if !known {
			i = len(c.Lines)
			lineIndex[name] = i
			c.Lines = append(c.Lines, chart.Line{Name: name, Dashed: cell.Policy == oraclePolicy})
		}
		addEstimate(&c.Lines[i], positions[cell.AxisValues[0]], cell.Estimate(metric))
	}
	return c
}

// addEstimate adds a point with its confidence interval to a line.
func addEstimate(line *chart.Line, x float64, estimate Estimate) {
	line.X = append(line.X, x)
	line.Y = append(line.Y, estimate.Mean)
	line.Low = append(line.Low, estimate.Mean-estimate.HalfWidth)
	line.High = append(line.High, estimate.Mean+estimate.HalfWidth)
}

// lineName returns the legend of a cell's line: its policy and its values of all axes but the first.
func (f *Folder) lineName(c Cell) string {
	parts := []string{c.Policy}
	for i, v := range c.AxisValues[1:] {
		key := f.Plan.Axes[i+1].Key
		parts = append(parts, key[strings.LastIndex(key, ".")+1:]+"="+v)
	}
	return strings.Join(parts, ", ")
}

// parseNumber parses a number or a duration, which becomes seconds.
func parseNumber(text string) (float64, bool) {
	if x, err := strconv.ParseFloat(text, 64); err == nil {
		return x, true
	}
	if d, err := time.ParseDuration(text); err == nil {
		return d.Seconds(), true
	}
	return 0, false
}

// Report writes summary.md, the charts and report.html to the folder.
func (f *Folder) Report() error {
	t := f.Summary()
	charts := f.Charts()
	page := &chart.Page{
		Title:  f.Plan.Scenario.Name,
		About:  f.description(),
		Tables: []chart.Table{t},
		Charts: charts,
	}
	return writeReport(f.Path, page, charts, t)
}

// description returns the introduction of the report: the scenario's purpose, the runs, and the running program.
func (f *Folder) description() string {
	build := ThisBuild()
	return fmt.Sprintf("%s. Simulated, by the project's own model: %d runs, seeds %v, 95 %% confidence intervals over seeds. "+
		"Program %s, %s.", strings.TrimSuffix(f.Plan.Scenario.About, "."), len(f.Rows()), formatSeeds(f.Plan.Seeds),
		build.Program, build.Go)
}

// formatSeeds formats consecutive seeds as a range and others as a list.
func formatSeeds(seeds []uint64) string {
	if len(seeds) > 1 && seeds[len(seeds)-1]-seeds[0] == uint64(len(seeds)-1) {
		return fmt.Sprintf("%d to %d", seeds[0], seeds[len(seeds)-1])
	}
	return fmt.Sprint(seeds)
}

// writeReport writes report.html, summary.md and the charts to the folder at path.
func writeReport(path string, page *chart.Page, charts []*chart.Chart, table chart.Table) error {
	html, err := page.HTML()
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(path, "report.html"), html, 0o644); err != nil {
		return err
	}
	summary := page.About + "\n\n" + table.Markdown()
	if err := os.WriteFile(filepath.Join(path, "summary.md"), []byte(summary), 0o644); err != nil {
		return err
	}
	for _, c := range charts {
		if err := c.Save(filepath.Join(path, "charts"), chart.FileName(c.Title)); err != nil {
			return err
		}
	}
	return nil
}

// RunTable returns a table with a column for each of several runs of one scenario and a row for each metric.
func RunTable(results []*tally.Result) chart.Table {
	t := chart.Table{Title: "Results", Head: []string{"figure"}}
	for _, r := range results {
		t.Head = append(t.Head, r.Policy)
	}
	addRow := func(name string, format func(*tally.Result) string) {
		row := []string{name}
		for _, r := range results {
			row = append(row, format(r))
		}
		t.Rows = append(t.Rows, row)
	}
	for _, c := range Columns {
		addRow(c.Name, func(r *tally.Result) string { return formatMetric(c.Value(r)) })
	}
	return t
}

// RunCharts returns charts over time that compare several runs of one scenario. bands are the shaded spans of time.
func RunCharts(results []*tally.Result, bands []chart.Band) []*chart.Chart {
	if len(results) == 0 || len(results[0].Series) == 0 {
		return nil
	}
	name := results[0].Scenario

	newChart := func(title, yLabel string) *chart.Chart {
		return &chart.Chart{Title: name + ": " + title, XLabel: "model time, s", YLabel: yLabel, Bands: bands}
	}
	addLines := func(c *chart.Chart, perSecond bool, value func(*tally.Window) float64) {
		for _, r := range results {
			windowValue := func(i int) float64 { return value(&r.Series[i]) }
			c.Lines = append(c.Lines, binnedLine(r.Policy, len(r.Series), r.WindowSeconds, perSecond, windowValue))
		}
	}
	// rateOverTime returns a chart of how many events a window counts, as a rate.
	rateOverTime := func(title, yLabel string, count func(*tally.Window) int) *chart.Chart {
		c := newChart(title, yLabel)
		c.YFromZero = true
		addLines(c, true, func(w *tally.Window) float64 { return float64(count(w)) })
		return c
	}
	// latencyOverTime returns a chart of a latency in milliseconds on a logarithmic axis.
	latencyOverTime := func(title string, milliseconds func(*tally.Window) float64) *chart.Chart {
		c := newChart(title, "ms")
		c.LogY = true
		addLines(c, false, milliseconds)
		return c
	}

	throughput := rateOverTime("throughput", "messages served a second", func(w *tally.Window) int { return w.Served })
	first := results[0]
	submitted := binnedLine("handed in", len(first.Series), first.WindowSeconds, true, func(i int) float64 {
		return float64(first.Series[i].Submitted)
	})
	submitted.Dashed = true
	throughput.Lines = append(throughput.Lines, submitted)

	held := newChart("messages held", "messages held by all senders")
	held.YFromZero = true
	addLines(held, false, func(w *tally.Window) float64 { return w.Held })

	charts := []*chart.Chart{
		throughput,
		rateOverTime("calls turned away", "calls turned away a second", func(w *tally.Window) int {
			return w.RefusedByLimit + w.RefusedOtherwise
		}),
		rateOverTime("messages refused or failed", "messages a second", func(w *tally.Window) int {
			return w.Refused + w.Failed + w.TurnedAway
		}),
		latencyOverTime("median time to delivery", func(w *tally.Window) float64 { return w.P50 }),
		latencyOverTime("99th percentile of the time to delivery", func(w *tally.Window) float64 { return w.P99 }),
		held,
	}
	return append(charts, destinationCharts(first, bands)...)
}

// maxLinePoints is the number of points that a line over time has at most. Neighbouring values of longer series are
// averaged.
const maxLinePoints = 60

// binnedLine returns a line over n windows of stepSeconds each. With perSecond, values are counts and are converted to
// rates. Without, they are levels, and windows whose value is 0, which means none, are left out of the average.
func binnedLine(name string, n int, stepSeconds float64, perSecond bool, value func(int) float64) chart.Line {
	line := chart.Line{Name: name}
	binSize := max(1, (n+maxLinePoints-1)/maxLinePoints)
	for from := 0; from < n; from += binSize {
		sum, count := 0.0, 0
		for i := from; i < min(from+binSize, n); i++ {
			v := value(i)
			sum += v
			if perSecond || v != 0 {
				count++
			}
		}
		mean := sum / float64(max(count, 1))
		if perSecond {
			mean /= stepSeconds
		}
		line.X = append(line.X, float64(from)*stepSeconds)
		line.Y = append(line.Y, mean)
	}
	return line
}

// destinationCharts returns, for the busiest destinations, charts of the calls sent and refused over time beside the
// destination's capacity. They show the effect of the senders' rate controllers.
func destinationCharts(r *tally.Result, bands []chart.Band) []*chart.Chart {
	var charts []*chart.Chart
	for _, destination := range r.BusiestDestinations[:min(maxDestinationCharts, len(r.BusiestDestinations))] {
		n := len(destination.Calls)
		sent := binnedLine("sent", n, r.WindowSeconds, true, func(i int) float64 {
			return float64(destination.Calls[i])
		})
		refused := binnedLine("turned away", n, r.WindowSeconds, true, func(i int) float64 {
			return float64(destination.Refusals[i])
		})
		capacity := binnedLine("taken at its best", n, r.WindowSeconds, false, func(int) float64 {
			return destination.Capacity
		})
		capacity.Dashed = true
		charts = append(charts, &chart.Chart{
			Title:     fmt.Sprintf("%s: calls to destination %d by %s", r.Scenario, destination.Dest, r.Policy),
			XLabel:    "model time, s",
			YLabel:    "calls a second",
			YFromZero: true,
			Bands:     bands,
			Lines:     []chart.Line{sent, refused, capacity},
		})
	}
	return charts
}

// SaveRuns writes a folder of single runs: the scenario, the complete results, a summary table, charts and the page
// that shows them all.
func SaveRuns(path string, scenarioText []byte, results []*tally.Result, bands []chart.Band) error {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(path, scenarioFile), scenarioText, 0o644); err != nil {
		return err
	}
	for _, r := range results {
		encoded, err := json.MarshalIndent(struct {
			Build Build `json:"build"`
			*tally.Result
		}{ThisBuild(), r}, "", " ")
		if err != nil {
			return err
		}
		name := fmt.Sprintf("%s-%d.json", r.Policy, r.Seed)
		if err := os.WriteFile(filepath.Join(path, name), append(encoded, '\n'), 0o644); err != nil {
			return err
		}
	}
	t := RunTable(results)
	page := &chart.Page{
		Title:  results[0].Scenario,
		About:  fmt.Sprintf("Simulated, by the project's own model; seed %d. Shaded: something goes wrong.", results[0].Seed),
		Tables: []chart.Table{t},
		Charts: RunCharts(results, bands),
		Notes:  []string{strings.Join(results[0].Log, "\n")},
	}
	return writeReport(path, page, page.Charts, t)
}

// ReadRuns reads the results from a folder that SaveRuns wrote.
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
		return nil, fmt.Errorf("%s contains no results of runs", path)
	}
	return results, nil
}
