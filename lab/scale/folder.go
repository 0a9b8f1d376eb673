// This file owns a run's folder: the plan, the rows, and the tables, charts and page made of them. A folder belongs to one plan;
// axes that are played again take the place of their rows.

package scale

import (
	"bytes"
	"crypto/sha256"
	"encoding/csv"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"eiderhaven/lab/chart"
)

const (
	planFile  = "plan.toml"
	rowsFile  = "rows.csv"
	buildFile = "build.txt"
)

// Folder is where a run's results lie.
type Folder struct {
	Path        string
	Plan        *Plan
	PlanText    []byte // of the plan
	Environment string // of program and machine, for the page
	Rows        []Row
	buildText   string
}

// OpenFolder makes or opens a folder for a plan and a daemon. One that holds another plan, or rows of another daemon, is refused.
func OpenFolder(path string, p *Plan, text []byte, program string) (*Folder, error) {
	daemon, err := os.ReadFile(program)
	if err != nil {
		return nil, err
	}
	f := &Folder{Path: path, Plan: p, PlanText: text, buildText: fmt.Sprintf("daemon, SHA-256: %x\n", sha256.Sum256(daemon))}
	have, err := os.ReadFile(filepath.Join(path, planFile))
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return f, nil
	case err != nil:
		return nil, err
	case !bytes.Equal(have, text):
		return nil, fmt.Errorf("%s holds a run of another plan: name another folder", path)
	}
	build, err := os.ReadFile(filepath.Join(path, buildFile))
	if err != nil || string(build) != f.buildText {
		return nil, fmt.Errorf("%s holds a run of another daemon: name another folder", path)
	}
	rows, err := os.ReadFile(filepath.Join(path, rowsFile))
	if errors.Is(err, fs.ErrNotExist) {
		return f, nil
	}
	if err == nil {
		f.Rows, err = decodeRows(rows)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", filepath.Join(path, rowsFile), err)
	}
	return f, nil
}

// Add takes rows in, in place of those of the axes that were played.
func (f *Folder) ReplaceRows(axes []string, rows []Row) {
	f.Rows = slices.DeleteFunc(f.Rows, func(r Row) bool { return slices.Contains(axes, r.Axis) })
	f.Rows = append(f.Rows, rows...)
	place := func(axis string) int { return slices.Index(append(slices.Clone(axisNames), EventsAxis), axis) }
	slices.SortStableFunc(f.Rows, func(a, b Row) int { return place(a.Axis) - place(b.Axis) })
}

// Save writes everything.
func (f *Folder) Save() error {
	if err := os.MkdirAll(filepath.Join(f.Path, "charts"), 0o755); err != nil {
		return err
	}
	rows, err := encodeRows(f.Rows)
	if err != nil {
		return err
	}
	charts := f.Charts()
	page := &chart.Page{Title: "Scale run: " + f.Plan.Name, About: f.Environment, Tables: f.Tables(), Charts: charts, Notes: []string{string(f.PlanText)}}
	html, err := page.HTML()
	if err != nil {
		return err
	}
	for _, one := range []struct {
		name string
		text []byte
	}{{planFile, f.PlanText}, {buildFile, []byte(f.buildText)}, {rowsFile, rows}, {"summary.md", []byte(f.Summary())}, {"report.html", html}} {
		if err := os.WriteFile(filepath.Join(f.Path, one.name), one.text, 0o644); err != nil {
			return err
		}
	}
	for _, c := range charts {
		if err := c.Save(filepath.Join(f.Path, "charts"), chart.FileName(c.Title)); err != nil {
			return err
		}
	}
	return nil
}

func encodeRows(rows []Row) ([]byte, error) {
	var out bytes.Buffer
	w := csv.NewWriter(&out)
	head := []string{"axis", "value", "who", "failed", "verdict"}
	for _, f := range Figures {
		head = append(head, f.Name)
	}
	_ = w.Write(head) // a buffer takes everything
	for _, r := range rows {
		line := []string{r.Axis, strconv.Itoa(r.Value), r.Subject, r.Failure, r.Verdict}
		for _, f := range Figures {
			text := ""
			if x, ok := r.Figures[f.Name]; ok {
				text = strconv.FormatFloat(x, 'g', 7, 64)
			}
			line = append(line, text)
		}
		_ = w.Write(line)
	}
	w.Flush()
	return out.Bytes(), w.Error()
}

func decodeRows(text []byte) ([]Row, error) {
	lines, err := csv.NewReader(bytes.NewReader(text)).ReadAll()
	if err != nil || len(lines) == 0 {
		return nil, fmt.Errorf("no rows: %w", err)
	}
	var out []Row
	for _, line := range lines[1:] {
		value, err := strconv.Atoi(line[1])
		if err != nil {
			return nil, err
		}
		r := Row{Axis: line[0], Value: value, Subject: line[2], Failure: line[3], Verdict: line[4], Figures: map[string]float64{}}
		for i, cell := range line[5:] {
			if cell == "" {
				continue
			}
			if r.Figures[lines[0][5+i]], err = strconv.ParseFloat(cell, 64); err != nil {
				return nil, err
			}
		}
		out = append(out, r)
	}
	return out, nil
}

func unitOf(name string) string {
	if i := slices.IndexFunc(Figures, func(f figure) bool { return f.Name == name }); i >= 0 {
		return Figures[i].Unit
	}
	return ""
}

// Tables are the fits, the events, and what failed.
func (f *Folder) Tables() []chart.Table {
	fits := chart.Table{Title: "Fits", Head: []string{"axis", "of", "figure", "shape", "points", "at 0", "for each more", "residual", "R²", "held out", "predicted", "measured", "off"}}
	for _, x := range FitRows(f.Rows) {
		unit := unitOf(x.Figure)
		off := "-"
		if o := x.RelativeError(); !math.IsNaN(o) && !math.IsInf(o, 0) {
			off = fmt.Sprintf("%+.0f %%", 100*o)
		}
		measured := formatValue(x.Measured, unit)
		if x.Min != x.Max && !math.IsNaN(x.Min) {
			measured += fmt.Sprintf(" (%s to %s)", formatValue(x.Min, unit), formatValue(x.Max, unit))
		}
		slope, base, residual := formatValue(x.Slope, unit), formatValue(x.Intercept, unit), "-"
		if x.Shape == Nonlinear {
			slope, base = "-", "-"
		}
		if !math.IsNaN(x.MaxResidual) {
			residual = fmt.Sprintf("%.0f %%", 100*x.MaxResidual)
		}
		fits.Rows = append(fits.Rows, []string{x.Axis, x.Subject, x.Figure, string(x.Shape), fmt.Sprintf("%d (%d)", x.Points, x.Samples), base, slope, residual, formatNumber(x.R2),
			formatNumber(x.HeldOut), formatValue(x.Predicted, unit), measured, off})
	}
	tables := []chart.Table{fits}
	events := chart.Table{Title: "Events", Head: []string{"event", "rules", "taken", "delivered", "told", "lost", "doubled", "late", "stale", "changes", "p50", "p99", "longest", "over 13 s",
		"to normal", "bytes of discovery", "whole lists", "most calls in 2 s"}}
	failed := chart.Table{Title: "Failed rows", Head: []string{"axis", "point", "of", "why"}}
	for _, r := range f.Rows {
		if r.Failure != "" {
			failed.Rows = append(failed.Rows, []string{r.Axis, strconv.Itoa(r.Value), r.Subject, r.Failure})
		}
		if r.Axis != EventsAxis {
			continue
		}
		row := []string{r.Subject, r.Verdict}
		for _, name := range []string{"taken", "delivered", "told", "lost", "doubled", "ended_late", "stale", "changes", "force_p50", "force_p99", "force_max", "force_late", "normal",
			"event_bytes", "event_wholes", "burst"} {
			x, ok := r.Figures[name]
			if !ok {
				x = math.NaN()
			}
			row = append(row, formatValue(x, unitOf(name)))
		}
		events.Rows = append(events.Rows, row)
	}
	if len(events.Rows) > 0 {
		tables = append(tables, events)
	}
	if len(failed.Rows) > 0 {
		tables = append(tables, failed)
	}
	return append(tables, f.pointTables()...)
}

// points are tables of what was measured, one for each axis; real senders by their mean.
func (f *Folder) pointTables() []chart.Table {
	var out []chart.Table
	for _, axis := range axisNames {
		for _, who := range []string{"real", "hollow", "discovery"} {
			t := chart.Table{Title: axis + ", " + map[string]string{"real": "a real sender (mean)", "hollow": "hollow senders", "discovery": "discovery"}[who], Head: []string{axis}}
			byPoint := map[int][]string{}
			var order []int
			for _, fig := range Figures {
				xs, ys := samples(f.Rows, axis, who, fig.Name)
				if len(xs) == 0 {
					continue
				}
				t.Head = append(t.Head, fig.Name)
				means := map[int]string{}
				for i := 0; i < len(xs); {
					j := i
					total := 0.0
					for ; j < len(xs) && xs[j] == xs[i]; j++ {
						total += ys[j]
					}
					means[int(xs[i])] = formatValue(total/float64(j-i), fig.Unit)
					i = j
				}
				for v := range means {
					if !slices.Contains(order, v) {
						order = append(order, v)
						byPoint[v] = slices.Repeat([]string{"-"}, len(t.Head)-2)
					}
				}
				for _, v := range order {
					cell, ok := means[v]
					if !ok {
						cell = "-"
					}
					byPoint[v] = append(byPoint[v], cell)
				}
			}
			slices.Sort(order)
			for _, v := range order {
				t.Rows = append(t.Rows, append([]string{strconv.Itoa(v)}, byPoint[v]...))
			}
			if len(t.Rows) > 0 {
				out = append(out, t)
			}
		}
	}
	return out
}

// drawn are the charts: by axis, figures of one unit together.
var chartSpecs = []struct {
	axis, title, y string
	log            bool
	lines          []struct{ who, figure string }
}{
	{"destinations", "memory", "bytes", false, figureList("real", "resident", "real", "heap_live", "hollow", "heap")},
	{"destinations", "time from a start to the list", "s", false, figureList("real", "list", "real", "restart_list", "hollow", "list")},
	{"destinations", "control bytes at a start, a restart and a failure", "bytes", false, figureList("real", "start_control", "real", "restart_control", "real", "failure_control")},
	{"held", "memory", "bytes", false, figureList("real", "resident", "real", "heap_live")},
	{"held", "processor", "cores", false, figureList("real", "cpu_rest", "real", "cpu_busy")},
	{"held", "intake", "messages a second", false, figureList("real", "intake")},
	{"hollow", "control through discovery", "bytes a second", false, figureList("discovery", "control_rest", "discovery", "control_busy")},
	{"hollow", "change to in force", "ms", true, figureList("hollow", "force_p50", "hollow", "force_p99", "hollow", "force_max", "real", "force_p99")},
	{"changes", "control of a real sender", "bytes a second", false, figureList("real", "control_busy")},
	{"changes", "change to in force", "ms", true, figureList("real", "force_p50", "real", "force_p99", "real", "force_max", "hollow", "force_p99")},
	{"down", "processor", "cores", false, figureList("real", "cpu_rest", "real", "cpu_busy")},
	{"down", "change to in force", "ms", true, figureList("real", "force_p50", "real", "force_p99", "real", "force_max")},
	{"owed", "time to ready after a restart", "s", false, figureList("real", "restart_ready", "real", "restart_list")},
}

func figureList(names ...string) (out []struct{ who, figure string }) {
	for i := 0; i < len(names); i += 2 {
		out = append(out, struct{ who, figure string }{names[i], names[i+1]})
	}
	return out
}

// Charts are the figures over their axes: means with the least and most of the real senders, and the fitted line up to the held-out point.
func (f *Folder) Charts() []*chart.Chart {
	fits := FitRows(f.Rows)
	var out []*chart.Chart
	for _, d := range chartSpecs {
		c := &chart.Chart{Title: d.axis + ": " + d.title, XLabel: d.axis, YLabel: d.y, LogY: d.log, YFromZero: !d.log}
		for _, l := range d.lines {
			xs, ys := samples(f.Rows, d.axis, l.who, l.figure)
			if len(xs) == 0 {
				continue
			}
			line := chart.Line{Name: l.who + " " + l.figure}
			for i := 0; i < len(xs); {
				j := i
				low, high, total := math.Inf(1), math.Inf(-1), 0.0
				for ; j < len(xs) && xs[j] == xs[i]; j++ {
					low, high, total = min(low, ys[j]), max(high, ys[j]), total+ys[j]
				}
				line.X, line.Y = append(line.X, xs[i]), append(line.Y, total/float64(j-i))
				line.Low, line.High = append(line.Low, low), append(line.High, high)
				i = j
			}
			c.Lines = append(c.Lines, line)
			if at := slices.IndexFunc(fits, func(x Fit) bool {
				return x.Axis == d.axis && x.Subject == l.who && x.Figure == l.figure && x.Shape == Linear
			}); at >= 0 && !d.log {
				x := fits[at]
				c.Lines = append(c.Lines, chart.Line{Name: l.figure + ", fitted without the largest", Dashed: true, X: []float64{xs[0], x.HeldOut},
					Y: []float64{x.Intercept + x.Slope*xs[0], x.Predicted}})
			}
		}
		if len(c.Lines) > 0 && !c.Empty() {
			out = append(out, c)
		}
	}
	return out
}

// Summary is the page in Markdown.
func (f *Folder) Summary() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Scale run: %s\n\n%s\n\nHow it is played, what the columns mean and what it cannot show: [docs/lab.md](%sdocs/lab.md#the-scale-run). A fit is a line by least squares through all points\n"+
		"but the largest, which it then predicts. `residual` is the largest one over the largest fitted value; over %.0f %%, or with R² under %.1f, it is no line and not extended.\n"+
		"Flat: the rise over the fitted points is no more than twice the largest residual, or under %.0f %%; then the mean is extended.\n",
		f.Plan.Name, f.Environment, f.pathToRoot(), 100*maxLinearResidual, minR2, 100*minRelativeRise)
	for _, t := range f.Tables() {
		fmt.Fprintf(&b, "\n## %s\n\n%s", t.Title, t.Markdown())
	}
	return b.String()
}

// up is the way from the folder to the project's root where it lies within the project's docs, else nothing.
func (f *Folder) pathToRoot() string {
	parts := strings.Split(filepath.ToSlash(filepath.Clean(f.Path)), "/")
	if i := slices.Index(parts, "docs"); i >= 0 {
		return strings.Repeat("../", len(parts)-i)
	}
	return ""
}
