// This file owns the results folder of a run: the plan, the rows, and the tables, charts and page made from them. When
// an axis is played again, its new rows replace the old ones. A folder must never mix results of different plans or
// daemons.

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

// Folder is the results folder of a run.
type Folder struct {
	Path        string
	Plan        *Plan
	PlanText    []byte // the plan file as it was read
	Environment string // daemon and machine, described for the page
	Rows        []Row
	buildText   string // identifies the daemon; the content of buildFile
}

// OpenFolder opens the results folder of a plan and a daemon, or prepares a new one. A folder with another plan or with
// rows of another daemon is an error.
func OpenFolder(path string, p *Plan, text []byte, program string) (*Folder, error) {
	daemon, err := os.ReadFile(program)
	if err != nil {
		return nil, err
	}
	f := &Folder{
		Path: path, Plan: p, PlanText: text,
		buildText: fmt.Sprintf("daemon, SHA-256: %x\n", sha256.Sum256(daemon)),
	}
	oldPlan, err := os.ReadFile(filepath.Join(path, planFile))
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return f, nil
	case err != nil:
		return nil, err
	case !bytes.Equal(oldPlan, text):
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

// ReplaceRows replaces the rows of the axes that were played by new ones.
func (f *Folder) ReplaceRows(axes []string, rows []Row) {
	f.Rows = slices.DeleteFunc(f.Rows, func(r Row) bool { return slices.Contains(axes, r.Axis) })
	f.Rows = append(f.Rows, rows...)
	order := append(slices.Clone(axisNames), EventsAxis)
	slices.SortStableFunc(f.Rows, func(a, b Row) int {
		return slices.Index(order, a.Axis) - slices.Index(order, b.Axis)
	})
}

// Save writes all files of the folder.
func (f *Folder) Save() error {
	if err := os.MkdirAll(filepath.Join(f.Path, "charts"), 0o755); err != nil {
		return err
	}
	rows, err := encodeRows(f.Rows)
	if err != nil {
		return err
	}
	charts := f.Charts()
	page := &chart.Page{
		Title: "Scale run: " + f.Plan.Name, About: f.Environment,
		Tables: f.Tables(), Charts: charts, Notes: []string{string(f.PlanText)},
	}
	html, err := page.HTML()
	if err != nil {
		return err
	}
	for _, file := range []struct {
		name string
		text []byte
	}{
		{planFile, f.PlanText},
		{buildFile, []byte(f.buildText)},
		{rowsFile, rows},
		{"summary.md", []byte(f.Summary())},
		{"report.html", html},
	} {
		if err := os.WriteFile(filepath.Join(f.Path, file.name), file.text, 0o644); err != nil {
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

// fixedColumns are the columns before those of the figures.
var fixedColumns = []string{"axis", "value", "who", "failed", "verdict"}

func encodeRows(rows []Row) ([]byte, error) {
	var out bytes.Buffer
	w := csv.NewWriter(&out)
	head := slices.Clone(fixedColumns)
	for _, f := range Figures {
		head = append(head, f.Name)
	}
	_ = w.Write(head) // writing to a buffer cannot fail
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
		r := Row{
			Axis: line[0], Value: value, Subject: line[2], Failure: line[3], Verdict: line[4],
			Figures: map[string]float64{},
		}
		names := lines[0][len(fixedColumns):]
		for i, cell := range line[len(fixedColumns):] {
			if cell == "" {
				continue
			}
			if r.Figures[names[i]], err = strconv.ParseFloat(cell, 64); err != nil {
				return nil, err
			}
		}
		out = append(out, r)
	}
	return out, nil
}

// unitOf returns the unit of a figure.
func unitOf(name string) string {
	if i := slices.IndexFunc(Figures, func(f figure) bool { return f.Name == name }); i >= 0 {
		return Figures[i].Unit
	}
	return ""
}

// Tables returns the tables of fits, events, failed rows and points.
func (f *Folder) Tables() []chart.Table {
	tables := []chart.Table{f.fitTable()}
	events, failed := f.eventTable(), f.failureTable()
	if len(events.Rows) > 0 {
		tables = append(tables, events)
	}
	if len(failed.Rows) > 0 {
		tables = append(tables, failed)
	}
	return append(tables, f.pointTables()...)
}

func (f *Folder) fitTable() chart.Table {
	fits := chart.Table{Title: "Fits", Head: []string{
		"axis", "of", "figure", "shape", "points", "at 0", "for each more", "residual", "R²", "held out",
		"predicted", "measured", "off",
	}}
	for _, x := range FitRows(f.Rows) {
		unit := unitOf(x.Figure)
		relativeError := "-"
		if e := x.RelativeError(); !math.IsNaN(e) && !math.IsInf(e, 0) {
			relativeError = fmt.Sprintf("%+.0f %%", 100*e)
		}
		measured := formatValue(x.Measured, unit)
		if x.Min != x.Max && !math.IsNaN(x.Min) {
			measured += fmt.Sprintf(" (%s to %s)", formatValue(x.Min, unit), formatValue(x.Max, unit))
		}
		slope, intercept := formatValue(x.Slope, unit), formatValue(x.Intercept, unit)
		if x.Shape == Nonlinear {
			slope, intercept = "-", "-"
		}
		residual := "-"
		if !math.IsNaN(x.MaxResidual) {
			residual = fmt.Sprintf("%.0f %%", 100*x.MaxResidual)
		}
		fits.Rows = append(fits.Rows, []string{
			x.Axis, x.Subject, x.Figure, string(x.Shape), fmt.Sprintf("%d (%d)", x.Points, x.Samples),
			intercept, slope, residual, formatNumber(x.R2),
			formatNumber(x.HeldOut), formatValue(x.Predicted, unit), measured, relativeError,
		})
	}
	return fits
}

func (f *Folder) failureTable() chart.Table {
	failed := chart.Table{Title: "Failed rows", Head: []string{"axis", "point", "of", "why"}}
	for _, r := range f.Rows {
		if r.Failure != "" {
			failed.Rows = append(failed.Rows, []string{r.Axis, strconv.Itoa(r.Value), r.Subject, r.Failure})
		}
	}
	return failed
}

func (f *Folder) eventTable() chart.Table {
	events := chart.Table{Title: "Events", Head: []string{
		"event", "rules", "taken", "delivered", "told", "lost", "doubled", "late", "stale",
		"changes", "p50", "p99", "longest", "over 13 s",
		"to normal", "bytes of discovery", "whole lists", "most calls in 2 s",
	}}
	for _, r := range f.Rows {
		if r.Axis != EventsAxis {
			continue
		}
		row := []string{r.Subject, r.Verdict}
		for _, name := range []string{
			"taken", "delivered", "told", "lost", "doubled", "ended_late", "stale",
			"changes", "force_p50", "force_p99", "force_max", "force_late",
			"normal", "event_bytes", "event_wholes", "burst",
		} {
			x, ok := r.Figures[name]
			if !ok {
				x = math.NaN()
			}
			row = append(row, formatValue(x, unitOf(name)))
		}
		events.Rows = append(events.Rows, row)
	}
	return events
}

// subjectTitles are the titles of subjects in tables.
var subjectTitles = map[string]string{
	realSubject:      "a real sender (mean)",
	simulatedSubject: "hollow senders",
	discoverySubject: "discovery",
}

// pointTables returns the measured values, a table for each axis and subject. The values of real senders are means.
func (f *Folder) pointTables() []chart.Table {
	var out []chart.Table
	for _, axis := range axisNames {
		for _, subject := range []string{realSubject, simulatedSubject, discoverySubject} {
			t := chart.Table{Title: axis + ", " + subjectTitles[subject], Head: []string{axis}}
			byPoint := map[int][]string{}
			var points []int
			for _, fig := range Figures {
				xs, ys := samples(f.Rows, axis, subject, fig.Name)
				if len(xs) == 0 {
					continue
				}
				t.Head = append(t.Head, fig.Name)
				means := map[int]string{}
				for start := 0; start < len(xs); {
					end := start
					total := 0.0
					for ; end < len(xs) && xs[end] == xs[start]; end++ {
						total += ys[end]
					}
					means[int(xs[start])] = formatValue(total/float64(end-start), fig.Unit)
					start = end
				}
				for v := range means {
					if !slices.Contains(points, v) {
						points = append(points, v)
						byPoint[v] = slices.Repeat([]string{"-"}, len(t.Head)-2) // the earlier columns are empty
					}
				}
				for _, v := range points {
					cell, ok := means[v]
					if !ok {
						cell = "-"
					}
					byPoint[v] = append(byPoint[v], cell)
				}
			}
			slices.Sort(points)
			for _, v := range points {
				t.Rows = append(t.Rows, append([]string{strconv.Itoa(v)}, byPoint[v]...))
			}
			if len(t.Rows) > 0 {
				out = append(out, t)
			}
		}
	}
	return out
}

// chartSpecs are the charts: figures of one unit over one axis.
var chartSpecs = []struct {
	axis, title, unit string
	logScale          bool
	lines             []subjectFigures
}{
	{"destinations", "memory", "bytes", false, []subjectFigures{
		{realSubject, []string{"resident", "heap_live"}}, {simulatedSubject, []string{"heap"}}}},
	{"destinations", "time from a start to the list", "s", false, []subjectFigures{
		{realSubject, []string{"list", "restart_list"}}, {simulatedSubject, []string{"list"}}}},
	{"destinations", "control bytes at a start, a restart and a failure", "bytes", false, []subjectFigures{
		{realSubject, []string{"start_control", "restart_control", "failure_control"}}}},
	{"held", "memory", "bytes", false, []subjectFigures{{realSubject, []string{"resident", "heap_live"}}}},
	{"held", "processor", "cores", false, []subjectFigures{{realSubject, []string{"cpu_rest", "cpu_busy"}}}},
	{"held", "intake", "messages a second", false, []subjectFigures{{realSubject, []string{"intake"}}}},
	{"hollow", "control through discovery", "bytes a second", false, []subjectFigures{
		{discoverySubject, []string{"control_rest", "control_busy"}}}},
	{"hollow", "change to in force", "ms", true, []subjectFigures{
		{simulatedSubject, []string{"force_p50", "force_p99", "force_max"}}, {realSubject, []string{"force_p99"}}}},
	{"changes", "control of a real sender", "bytes a second", false, []subjectFigures{
		{realSubject, []string{"control_busy"}}}},
	{"changes", "change to in force", "ms", true, []subjectFigures{
		{realSubject, []string{"force_p50", "force_p99", "force_max"}}, {simulatedSubject, []string{"force_p99"}}}},
	{"down", "processor", "cores", false, []subjectFigures{{realSubject, []string{"cpu_rest", "cpu_busy"}}}},
	{"down", "change to in force", "ms", true, []subjectFigures{
		{realSubject, []string{"force_p50", "force_p99", "force_max"}}}},
	{"owed", "time to ready after a restart", "s", false, []subjectFigures{
		{realSubject, []string{"restart_ready", "restart_list"}}}},
}

// Charts returns the figures over their axes: means with the least and greatest sample and, for linear figures, the
// fitted line up to the point held out.
func (f *Folder) Charts() []*chart.Chart {
	fits := FitRows(f.Rows)
	var out []*chart.Chart
	for _, spec := range chartSpecs {
		c := &chart.Chart{
			Title: spec.axis + ": " + spec.title, XLabel: spec.axis, YLabel: spec.unit,
			LogY: spec.logScale, YFromZero: !spec.logScale,
		}
		for _, group := range spec.lines {
			for _, figure := range group.figures {
				xs, ys := samples(f.Rows, spec.axis, group.subject, figure)
				if len(xs) == 0 {
					continue
				}
				c.Lines = append(c.Lines, meanLine(group.subject+" "+figure, xs, ys))
				isFit := func(fit Fit) bool {
					return fit.Axis == spec.axis && fit.Subject == group.subject && fit.Figure == figure &&
						fit.Shape == Linear
				}
				if at := slices.IndexFunc(fits, isFit); at >= 0 && !spec.logScale {
					c.Lines = append(c.Lines, fitLine(fits[at], xs[0]))
				}
			}
		}
		if len(c.Lines) > 0 && !c.Empty() {
			out = append(out, c)
		}
	}
	return out
}

// meanLine returns the line of the means at each point, with the least and greatest sample. Points must rise.
func meanLine(name string, xs, ys []float64) chart.Line {
	line := chart.Line{Name: name}
	for start := 0; start < len(xs); {
		end := start
		low, high, total := math.Inf(1), math.Inf(-1), 0.0
		for ; end < len(xs) && xs[end] == xs[start]; end++ {
			low = min(low, ys[end])
			high = max(high, ys[end])
			total += ys[end]
		}
		line.X = append(line.X, xs[start])
		line.Y = append(line.Y, total/float64(end-start))
		line.Low = append(line.Low, low)
		line.High = append(line.High, high)
		start = end
	}
	return line
}

// fitLine returns the line of a linear fit from a point to the point held out.
func fitLine(fit Fit, from float64) chart.Line {
	return chart.Line{
		Name: fit.Figure + ", fitted without the largest", Dashed: true,
		X: []float64{from, fit.HeldOut},
		Y: []float64{fit.Intercept + fit.Slope*from, fit.Predicted},
	}
}

// Summary returns the page in Markdown.
func (f *Folder) Summary() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Scale run: %s\n\n%s\n\n", f.Plan.Name, f.Environment)
	fmt.Fprintf(&b, "How it is played, what the columns mean and what it cannot show:"+
		" [docs/lab.md](%sdocs/lab.md#the-scale-run).", f.pathToRoot())
	fmt.Fprintf(&b, " A fit is a line by least squares through all points\n"+
		"but the largest, which it then predicts. `residual` is the largest one over the largest fitted value;"+
		" over %.0f %%, or with R² under %.1f, it is no line and not extended.\n", 100*maxLinearResidual, minR2)
	fmt.Fprintf(&b, "Flat: the rise over the fitted points is no more than twice the largest residual,"+
		" or under %.0f %%; then the mean is extended.\n", 100*minRelativeRise)
	for _, t := range f.Tables() {
		fmt.Fprintf(&b, "\n## %s\n\n%s", t.Title, t.Markdown())
	}
	return b.String()
}

// pathToRoot returns the relative path from the folder to the project's root if the folder is below docs, otherwise "".
func (f *Folder) pathToRoot() string {
	parts := strings.Split(filepath.ToSlash(filepath.Clean(f.Path)), "/")
	if i := slices.Index(parts, "docs"); i >= 0 {
		return strings.Repeat("../", len(parts)-i)
	}
	return ""
}
