// This file owns the folder of an experiment: what is written when, and what a broken-off one leaves. Rows go into
// rows.jsonl as runs finish, each with one write; when all are there, rows.csv and rows.json are written in the plan's
// order. It must never write over a folder of another plan.

package experiment

import (
	"bufio"
	"bytes"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"eiderhaven/lab/scenario"
	"eiderhaven/lab/tally"
)

// Row is one finished run.
type Row struct {
	Point
	Result tally.Result
}

// UnmarshalJSON reads a row; both parts hold a policy and a seed, which are the same.
func (r *Row) UnmarshalJSON(text []byte) error {
	if err := json.Unmarshal(text, &r.Result); err != nil {
		return err
	}
	return json.Unmarshal(text, &r.Point)
}

// MarshalJSON writes a row as one flat object.
func (r Row) MarshalJSON() ([]byte, error) {
	point, err := json.Marshal(r.Point)
	if err != nil {
		return nil, err
	}
	result := r.Result
	result.Policy, result.Seed = r.Point.Policy, r.Point.Seed
	rest, err := json.Marshal(result)
	if err != nil {
		return nil, err
	}
	return append(append(point[:len(point)-1], ','), rest[1:]...), nil
}

// Folder is an experiment's folder.
type Folder struct {
	Path string
	Plan *Plan
	rows map[int]Row
	file *os.File
}

const (
	scenarioFile = "scenario.toml"
	planFile     = "plan.json"
	partFile     = "rows.jsonl"
	csvFile      = "rows.csv"
	jsonFile     = "rows.json"
)

// Create makes a folder for a plan. One that is there already is refused, unless resume is set and it holds the same plan
// played by the same build.
func Create(path string, p *Plan, resume bool) (*Folder, error) {
	text, err := p.Scenario.Encode()
	if err != nil {
		return nil, err
	}
	want := p.manifest(text).text()
	have, err := os.ReadFile(filepath.Join(path, planFile))
	switch {
	case err == nil && !resume:
		return nil, fmt.Errorf("%s holds an experiment already: name another folder, or add --resume to finish it", path)
	case err == nil && !bytes.Equal(have, want):
		return nil, fmt.Errorf("%s holds another plan, or one played by another build: it cannot be finished with this one; see its %s", path, planFile)
	case err != nil && !errors.Is(err, fs.ErrNotExist):
		return nil, err
	case err != nil && resume:
		return nil, fmt.Errorf("%s holds no experiment to resume", path)
	case err != nil:
		if err := os.MkdirAll(path, 0o755); err != nil {
			return nil, err
		}
		if err := os.WriteFile(filepath.Join(path, scenarioFile), text, 0o644); err != nil {
			return nil, err
		}
		if err := os.WriteFile(filepath.Join(path, planFile), want, 0o644); err != nil {
			return nil, err
		}
	}
	f := &Folder{Path: path, Plan: p, rows: map[int]Row{}}
	if err := f.readPart(); err != nil {
		return nil, err
	}
	f.file, err = os.OpenFile(filepath.Join(path, partFile), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	return f, err
}

// readPart reads the rows of runs that have finished. A last line that was torn is cut off, and its run played again.
func (f *Folder) readPart() error {
	path := filepath.Join(f.Path, partFile)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	points := f.Plan.Points()
	whole := 0
	for line := range bytes.Lines(text) {
		var r Row
		if !bytes.HasSuffix(line, []byte("\n")) || json.Unmarshal(line, &r) != nil {
			break
		}
		if r.Index < 0 || r.Index >= len(points) {
			return fmt.Errorf("%s: a row of run %d, of which the plan knows nothing", path, r.Index)
		}
		whole += len(line)
		f.rows[r.Index] = r
	}
	if whole < len(text) {
		return os.Truncate(path, int64(whole))
	}
	return nil
}

// Missing lists the runs that have no row yet.
func (f *Folder) Missing() []Point {
	return slices.DeleteFunc(f.Plan.Points(), func(p Point) bool {
		_, done := f.rows[p.Index]
		return done
	})
}

// Add keeps a finished run. The series over time stay out: a grid would drown in them, and replay brings any back.
func (f *Folder) Add(p Point, r *tally.Result) error {
	row := Row{Point: p, Result: *r}
	row.Result.Series, row.Result.BusiestDestinations, row.Result.Log = nil, nil, nil
	line, err := json.Marshal(row)
	if err != nil {
		return err
	}
	f.rows[p.Index] = row
	_, err = f.file.Write(append(line, '\n'))
	return err
}

// Rows returns the finished runs in the plan's order.
func (f *Folder) Rows() []Row {
	var out []Row
	for _, p := range f.Plan.Points() {
		if r, done := f.rows[p.Index]; done {
			out = append(out, r)
		}
	}
	return out
}

// Close ends writing; with all runs there it writes the tables, in an order that does not depend on who finished first.
func (f *Folder) Close() error {
	if err := f.file.Close(); err != nil {
		return err
	}
	if len(f.Missing()) > 0 {
		return nil
	}
	rows := f.Rows()
	text, err := json.MarshalIndent(rows, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(f.Path, jsonFile), append(text, '\n'), 0o644); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(f.Path, csvFile), f.csv(rows), 0o644)
}

// Columns are the figures of a run that tables hold, in order.
var Columns = []struct {
	Name string
	Of   func(*tally.Result) float64
}{
	{"g", func(r *tally.Result) float64 { return r.G }},
	{"whole", func(r *tally.Result) float64 { return r.Whole }},
	{"worst", func(r *tally.Result) float64 { return r.Worst }},
	{"worst_class", func(r *tally.Result) float64 { return r.WorstClass }},
	{"asked", func(r *tally.Result) float64 { return float64(r.Submitted) }},
	{"served", func(r *tally.Result) float64 { return float64(r.Served) }},
	{"in_aim", func(r *tally.Result) float64 { return float64(r.InAim) }},
	{"refused", func(r *tally.Result) float64 { return float64(r.Refused) }},
	{"failed", func(r *tally.Result) float64 { return float64(r.Failed) }},
	{"turned_away", func(r *tally.Result) float64 { return float64(r.TurnedAway) }},
	{"calls", func(r *tally.Result) float64 { return float64(r.Calls) }},
	{"attempts", func(r *tally.Result) float64 { return float64(r.Attempts) }},
	{"connections_opened", func(r *tally.Result) float64 { return float64(r.ConnectionsOpened) }},
	{"calls_limited", func(r *tally.Result) float64 { return float64(r.RefusedByLimit) }},
	{"calls_full", func(r *tally.Result) float64 { return float64(r.RefusedOtherwise) }},
	{"timed_out", func(r *tally.Result) float64 { return float64(r.TimedOut) }},
	{"mean_ms", func(r *tally.Result) float64 { return r.Mean }},
	{"p50_ms", func(r *tally.Result) float64 { return r.P50 }},
	{"p99_ms", func(r *tally.Result) float64 { return r.P99 }},
	{"recovery_s", recoveryOf},
	{"outages", func(r *tally.Result) float64 { return float64(r.Outages) }},
	{"units_fallen", func(r *tally.Result) float64 { return float64(r.UnitsOverloaded) }},
	{"rules_broken", func(r *tally.Result) float64 { return float64(r.ViolationCount) }},
	{"events", func(r *tally.Result) float64 { return float64(r.Events) }},
}

// recoveryOf is NaN for a run that had no outage, or was not over it by its end.
func recoveryOf(r *tally.Result) float64 {
	if r.Recovery < 0 {
		return math.NaN()
	}
	return r.Recovery
}

func (f *Folder) csv(rows []Row) []byte {
	var out bytes.Buffer
	w := csv.NewWriter(&out)
	head := []string{"index"}
	for _, a := range f.Plan.Axes {
		head = append(head, a.Key)
	}
	head = append(head, "policy", "seed")
	for _, c := range Columns {
		head = append(head, c.Name)
	}
	_ = w.Write(append(head, "stopped")) // a buffer takes everything
	for _, r := range rows {
		line := append([]string{strconv.Itoa(r.Index)}, r.AxisValues...)
		line = append(line, r.Point.Policy, strconv.FormatUint(r.Point.Seed, 10))
		for _, c := range Columns {
			line = append(line, strconv.FormatFloat(c.Of(&r.Result), 'g', 8, 64))
		}
		_ = w.Write(append(line, r.Result.Stopped))
	}
	w.Flush()
	return out.Bytes()
}

// Open reads a folder that has been finished, or as far as it goes.
func Open(path string) (*Folder, error) {
	text, err := os.ReadFile(filepath.Join(path, planFile))
	if err != nil {
		return nil, fmt.Errorf("%s holds no experiment: %w", path, err)
	}
	var m manifest
	if err := json.Unmarshal(text, &m); err != nil {
		return nil, fmt.Errorf("%s: %s: %w", path, planFile, err)
	}
	f := &Folder{Path: path, Plan: &m.Plan, rows: map[int]Row{}}
	if f.Plan.Scenario, err = scenario.Load(filepath.Join(path, scenarioFile)); err != nil {
		return nil, err
	}
	file, err := os.Open(filepath.Join(path, partFile))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	lines := bufio.NewReader(file)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return f, nil // the end, or a torn last line
		}
		var r Row
		if err := json.Unmarshal(line, &r); err != nil {
			return nil, fmt.Errorf("%s: %s: %w", path, partFile, err)
		}
		f.rows[r.Index] = r
	}
}
