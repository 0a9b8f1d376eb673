// This file owns the result folder of an experiment. Each row is appended to rows.jsonl with a single write when its
// run finishes, so an interrupted sweep leaves at most one incomplete line, the last. Once all rows exist, rows.csv and
// rows.json are written in the plan's order. The results of another plan must never be overwritten.

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

// Row is one finished run: its place in the plan and its result.
type Row struct {
	Point
	Result tally.Result
}

// UnmarshalJSON decodes a row from the flat object that MarshalJSON writes. Policy and seed go into both parts.
func (r *Row) UnmarshalJSON(text []byte) error {
	if err := json.Unmarshal(text, &r.Result); err != nil {
		return err
	}
	return json.Unmarshal(text, &r.Point)
}

// MarshalJSON encodes a row as one flat object.
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

// Folder is the result folder of an experiment.
type Folder struct {
	Path        string
	Plan        *Plan
	rowsByIndex map[int]Row // finished runs by Point.Index
	rowLog      *os.File    // rows.jsonl, open for appending; nil if the folder was opened for reading
}

const (
	scenarioFile = "scenario.toml"
	planFile     = "plan.json"
	rowLogFile   = "rows.jsonl"
	csvFile      = "rows.csv"
	jsonFile     = "rows.json"
)

// Create creates a result folder for a plan. With resume, it continues an existing folder, which must hold the same
// plan played by the same build; without, it refuses a folder that already holds an experiment.
func Create(path string, p *Plan, resume bool) (*Folder, error) {
	scenarioText, err := p.Scenario.Encode()
	if err != nil {
		return nil, err
	}
	wantedPlan := p.manifest(scenarioText).encode()
	existingPlan, err := os.ReadFile(filepath.Join(path, planFile))
	switch {
	case err == nil && !resume:
		return nil, fmt.Errorf("%s already holds an experiment: choose another folder, or add --resume to finish it", path)
	case err == nil && !bytes.Equal(existingPlan, wantedPlan):
		return nil, fmt.Errorf("%s holds another plan, or one played by another build, and cannot be resumed with this one; "+
			"compare its %s", path, planFile)
	case err != nil && !errors.Is(err, fs.ErrNotExist):
		return nil, err
	case err != nil && resume:
		return nil, fmt.Errorf("%s holds no experiment to resume", path)
	case err != nil:
		if err := os.MkdirAll(path, 0o755); err != nil {
			return nil, err
		}
		if err := os.WriteFile(filepath.Join(path, scenarioFile), scenarioText, 0o644); err != nil {
			return nil, err
		}
		if err := os.WriteFile(filepath.Join(path, planFile), wantedPlan, 0o644); err != nil {
			return nil, err
		}
	}
	f := &Folder{Path: path, Plan: p, rowsByIndex: map[int]Row{}}
	if err := f.readRowLog(); err != nil {
		return nil, err
	}
	f.rowLog, err = os.OpenFile(filepath.Join(path, rowLogFile), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	return f, err
}

// readRowLog reads the rows of finished runs from rows.jsonl. It truncates the file at the first line that is
// incomplete or not valid, as a crash in the middle of a write leaves it; the runs of the removed lines are played
// again.
func (f *Folder) readRowLog() error {
	path := filepath.Join(f.Path, rowLogFile)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	points := f.Plan.Points()
	validBytes := 0
	for line := range bytes.Lines(text) {
		var r Row
		if !bytes.HasSuffix(line, []byte("\n")) || json.Unmarshal(line, &r) != nil {
			break
		}
		if r.Index < 0 || r.Index >= len(points) {
			return fmt.Errorf("%s: row of run %d, which is not in the plan", path, r.Index)
		}
		validBytes += len(line)
		f.rowsByIndex[r.Index] = r
	}
	if validBytes < len(text) {
		return os.Truncate(path, int64(validBytes))
	}
	return nil
}

// Missing returns the runs that have no row yet.
func (f *Folder) Missing() []Point {
	return slices.DeleteFunc(f.Plan.Points(), func(p Point) bool {
		_, done := f.rowsByIndex[p.Index]
		return done
	})
}

// Add stores a finished run without its time series and log. These would make the results of a grid very large, and
// playing the run again with the same seed reproduces them.
func (f *Folder) Add(p Point, r *tally.Result) error {
	row := Row{Point: p, Result: *r}
	row.Result.Series, row.Result.BusiestDestinations, row.Result.Log = nil, nil, nil
	line, err := json.Marshal(row)
	if err != nil {
		return err
	}
	f.rowsByIndex[p.Index] = row
	_, err = f.rowLog.Write(append(line, '\n'))
	return err
}

// Rows returns the finished runs in the plan's order.
func (f *Folder) Rows() []Row {
	var out []Row
	for _, p := range f.Plan.Points() {
		if r, done := f.rowsByIndex[p.Index]; done {
			out = append(out, r)
		}
	}
	return out
}

// Close closes rows.jsonl and, if all runs are finished, writes rows.json and rows.csv in the plan's order.
func (f *Folder) Close() error {
	if err := f.rowLog.Close(); err != nil {
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
	return os.WriteFile(filepath.Join(f.Path, csvFile), f.encodeCSV(rows), 0o644)
}

// Columns are the metrics of a run in the order of table columns.
var Columns = []struct {
	Name  string
	Value func(*tally.Result) float64
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
	{"recovery_s", recoverySeconds},
	{"outages", func(r *tally.Result) float64 { return float64(r.Outages) }},
	{"units_fallen", func(r *tally.Result) float64 { return float64(r.UnitsOverloaded) }},
	{"rules_broken", func(r *tally.Result) float64 { return float64(r.ViolationCount) }},
	{"events", func(r *tally.Result) float64 { return float64(r.Events) }},
}

// recoverySeconds returns the recovery time after the last outage, or NaN if the run had no outage or ended before it
// had recovered.
func recoverySeconds(r *tally.Result) float64 {
	if r.Recovery < 0 {
		return math.NaN()
	}
	return r.Recovery
}

// encodeCSV returns the rows as CSV, with a column for each axis and metric.
func (f *Folder) encodeCSV(rows []Row) []byte {
	var out bytes.Buffer
	w := csv.NewWriter(&out)
	header := []string{"index"}
	for _, a := range f.Plan.Axes {
		header = append(header, a.Key)
	}
	header = append(header, "policy", "seed")
	for _, c := range Columns {
		header = append(header, c.Name)
	}
	_ = w.Write(append(header, "stopped")) // writing to a buffer cannot fail
	for _, r := range rows {
		line := append([]string{strconv.Itoa(r.Index)}, r.AxisValues...)
		line = append(line, r.Point.Policy, strconv.FormatUint(r.Point.Seed, 10))
		for _, c := range Columns {
			line = append(line, strconv.FormatFloat(c.Value(&r.Result), 'g', 8, 64))
		}
		_ = w.Write(append(line, r.Result.Stopped))
	}
	w.Flush()
	return out.Bytes()
}

// Open reads an existing result folder, which may be unfinished.
func Open(path string) (*Folder, error) {
	text, err := os.ReadFile(filepath.Join(path, planFile))
	if err != nil {
		return nil, fmt.Errorf("%s holds no experiment: %w", path, err)
	}
	var m manifest
	if err := json.Unmarshal(text, &m); err != nil {
		return nil, fmt.Errorf("%s: %s: %w", path, planFile, err)
	}
	f := &Folder{Path: path, Plan: &m.Plan, rowsByIndex: map[int]Row{}}
	if f.Plan.Scenario, err = scenario.Load(filepath.Join(path, scenarioFile)); err != nil {
		return nil, err
	}
	file, err := os.Open(filepath.Join(path, rowLogFile))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	lines := bufio.NewReader(file)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return f, nil // end of the file, or an incomplete last line
		}
		var r Row
		if err := json.Unmarshal(line, &r); err != nil {
			return nil, fmt.Errorf("%s: %s: %w", path, rowLogFile, err)
		}
		f.rowsByIndex[r.Index] = r
	}
}
