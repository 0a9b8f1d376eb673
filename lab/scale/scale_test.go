package scale

import (
	"context"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

var buildDaemon = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "eiderlab-scale-test")
	if err != nil {
		return "", err
	}
	daemon := filepath.Join(dir, "eiderhaven")
	if out, err := exec.Command("go", "build", "-o", daemon, "eiderhaven/cmd/eiderhaven").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return daemon, nil
})

// daemon returns the path of the sender, built without the race detector, which would distort the measured figures.
func daemon(t *testing.T) string {
	t.Helper()
	path, err := buildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	return path
}

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := buildDaemon(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// machine is large enough for every valid plan here.
var machine = Machine{Memory: 64 << 30, Descriptors: 20_000, Cores: 8}

// play checks a plan against the variable machine and runs it on m.
func play(t *testing.T, ctx context.Context, p *Plan, o Options, m Machine) ([]Row, error) {
	t.Helper()
	if err := Check(p, &o, machine); err != nil {
		t.Fatal(err)
	}
	o.Log = func(line string) { t.Log(line) }
	return Run(ctx, p, o, m)
}

// rowsBySubject returns the rows of a point of an axis, or of the events.
func rowsBySubject(rows []Row, axis string, value int) map[string]Row {
	out := map[string]Row{}
	for _, r := range rows {
		if r.Axis == axis && r.Value == value {
			out[r.Subject] = r
		}
	}
	return out
}

// hasExited reports whether a process has ended and been reaped.
func hasExited(pid int) bool { return syscall.Kill(pid, 0) == syscall.ESRCH }

// The small plan as a whole: every point and every event has its rows, none failed; the judge finds no lost or
// duplicated messages and no stale calls; and the figures grow as expected, within bounds that a busy machine does not
// exceed.
func TestSmallPlan(t *testing.T) {
	path := daemon(t)
	text, err := os.ReadFile("../plans/scale-small.toml")
	if err != nil {
		t.Fatal(err)
	}
	p, err := Parse("small", text)
	if err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	rows, err := play(t, t.Context(), p, Options{Program: path}, machine)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("took %v", time.Since(started).Round(100*time.Millisecond))
	for _, r := range rows {
		if r.Failure != "" {
			t.Errorf("%s %d, %s: failed: %s", r.Axis, r.Value, r.Subject, r.Failure)
		}
	}
	for _, axis := range axisNames {
		for _, v := range p.axisValues(axis) {
			have := rowsBySubject(rows, axis, v)
			for _, who := range []string{"r0", "hollow", "discovery"} {
				if _, ok := have[who]; !ok {
					t.Errorf("%s %d: no row of %s", axis, v, who)
				}
			}
		}
	}
	for _, r := range rows {
		f := r.Figures
		if r.Subject == "r0" && (f["resident"] <= 0 || f["heap"] <= 0 || f["resident"] < f["heap_live"]) {
			t.Errorf("%s %d: implausible memory of a real sender: %v", r.Axis, r.Value, f)
		}
	}
	events := rowsBySubject(rows, EventsAxis, 0)
	for _, name := range eventNames {
		r, ok := events[name]
		f := r.Figures
		violations := f["lost"] + f["doubled"] + f["stale"] + f["force_late"]
		if !ok || f["taken"] == 0 || f["changes"] == 0 || violations > 0 || f["ended_late"] > f["taken"]/20 {
			t.Errorf("%s: %s, %v", name, r.Verdict, f)
		}
	}
	checkRange := func(what string, x, least, most float64) {
		t.Helper()
		if !(x >= least && x <= most) {
			t.Errorf("%s: %.4g, want %.4g to %.4g", what, x, least, most)
		}
	}
	growth := func(axis, subject, figure string) float64 {
		xs, ys := samples(rows, axis, subject, figure)
		if len(xs) == 0 {
			t.Errorf("%s: no %s of %s", axis, figure, subject)
			return math.NaN()
		}
		return ys[len(ys)-1] / ys[0]
	}
	const axisGrowth = 8 // from the first point of an axis to its last
	checkRange("control at a start over destinations",
		growth("destinations", "real", "start_control"), axisGrowth/1.5, axisGrowth*1.5)
	checkRange("memory of simulated senders over destinations",
		growth("destinations", "hollow", "heap"), axisGrowth/4, axisGrowth*2)
	// The resident size of 7 MB varies by 0.3 MB from page effects, as much as 2,000 destinations take. So only the
	// heap shows the growth.
	checkRange("resident size of real senders over destinations",
		growth("destinations", "real", "resident"), 0.9, axisGrowth*2)
	checkRange("heap of real senders over destinations", growth("destinations", "real", "heap"), 1.2, axisGrowth)
	checkRange("memory over messages held", growth("held", "real", "resident"), 1.1, axisGrowth*2)
	checkRange("intake over messages held", growth("held", "real", "intake"), 0.1, 10)
	checkRange("watches over simulated senders", growth("hollow", "discovery", "watches"), axisGrowth/2, axisGrowth)
	checkRange("control over simulated senders",
		growth("hollow", "discovery", "control_busy"), axisGrowth/4, axisGrowth*2)
	checkRange("control over changes", growth("changes", "real", "control_busy"), axisGrowth/4, axisGrowth*2)
	checkRange("memory over unfinished messages", growth("owed", "real", "restart_resident"), 1, axisGrowth*2)
	f, ok := findFit(FitRows(rows), "destinations", "real", "start_control")
	if !ok || f.Shape != Linear || math.Abs(f.RelativeError()) > 0.1 {
		t.Errorf("prediction of the control traffic of the largest list: %+v", f)
	}
	folder := &Folder{Path: t.TempDir(), Plan: p, PlanText: text}
	folder.ReplaceRows(p.playedAxes(), rows)
	if err := folder.Save(); err != nil {
		t.Error(err)
	}
	for _, name := range []string{
		"summary.md", "report.html", "rows.csv", "plan.toml", "charts/destinations--memory.svg",
	} {
		if info, err := os.Stat(filepath.Join(folder.Path, name)); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func findFit(fits []Fit, axis, subject, figure string) (Fit, bool) {
	i := slices.IndexFunc(fits, func(f Fit) bool {
		return f.Axis == axis && f.Subject == subject && f.Figure == figure
	})
	if i < 0 {
		return Fit{}, false
	}
	return fits[i], true
}

// shortPlan returns a plan of one axis with steps as short as possible.
func shortPlan(axis string) *Plan {
	p := Default()
	p.Settle, p.Window, p.Within = 0, duration(100*time.Millisecond), duration(time.Second)
	p.Base.Destinations, p.Base.Simulated, p.Base.Changes = 50, 2, 600
	p.Axes.Destinations = []int{50, 60, 70, 80}
	if axis == EventsAxis {
		p.Axes.Destinations, p.Events.Play = nil, []string{"cut_off"}
		p.Events.Real, p.Events.Simulated, p.Events.Destinations = 2, 2, 50
		p.Events.Before = duration(500 * time.Millisecond)
		p.Events.Cut = duration(500 * time.Millisecond)
		p.Events.Deadline = duration(500 * time.Millisecond)
	}
	return p
}

// A process that exits during a run gives a failed row with the reason. The rows of other senders and of later points
// are not affected.
func TestProcessExitFailsItsRow(t *testing.T) {
	killed := 0
	killFirst := func(s *realSender) {
		if s.index == 1 && killed == 0 {
			killed = s.pid()
			syscall.Kill(killed, syscall.SIGKILL)
		}
	}
	o := Options{Program: daemon(t), onSenderReady: killFirst}
	rows, err := play(t, t.Context(), shortPlan("destinations"), o, machine)
	if err != nil {
		t.Fatal(err)
	}
	first := rowsBySubject(rows, "destinations", 50)
	if r := first["r1"]; !strings.Contains(r.Failure, "the process died: signal: killed") {
		t.Errorf("the row of the killed process: %+v", r)
	}
	if r := first["r0"]; r.Failure != "" || r.Figures["resident"] == 0 {
		t.Errorf("the row of the other: %+v", r)
	}
	for _, v := range []int{60, 70, 80} {
		if r := rowsBySubject(rows, "destinations", v)["r1"]; r.Failure != "" || r.Figures["resident"] == 0 {
			t.Errorf("the row of a later point: %+v", r)
		}
	}
	// During an event it fails the event's row.
	killDuringEvent := func(s *realSender) {
		if s.index == 1 {
			time.AfterFunc(700*time.Millisecond, func() { syscall.Kill(s.pid(), syscall.SIGKILL) })
		}
	}
	o = Options{Program: daemon(t), onSenderReady: killDuringEvent}
	rows, err = play(t, t.Context(), shortPlan(EventsAxis), o, machine)
	r := rowsBySubject(rows, EventsAxis, 0)["cut_off"]
	if err != nil || !strings.Contains(r.Failure, "the process died") || r.Verdict != "not judged" {
		t.Errorf("%v, %+v", err, r)
	}
}

// A program that is not the daemon, or one that never becomes ready, fails its rows within the plan's time limit, with
// the last problem in its log.
func TestInvalidProgramFailsRows(t *testing.T) {
	for script, want := range map[string]string{
		"echo what is that >&2; exit 3":        "exit status 3",
		"echo what is that >&2; exec sleep 60": "not ready: not in time (1s); last problem in its log: what is that",
	} {
		path := filepath.Join(t.TempDir(), "daemon")
		if err := os.WriteFile(path, []byte("#!/bin/sh\n"+script+"\n"), 0o755); err != nil {
			t.Fatal(err)
		}
		p := shortPlan("destinations")
		p.Base.Simulated = 0
		rows, err := play(t, t.Context(), p, Options{Program: path}, machine)
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range p.Axes.Destinations {
			if r := rowsBySubject(rows, "destinations", v)["r0"]; !strings.Contains(r.Failure, want) {
				t.Errorf("%s, %d: %+v, want %q", script, v, r, want)
			}
		}
	}
}

// With too little memory no step is started, and each leaves a failed row with the reason.
func TestStepWithoutMemoryIsNotStarted(t *testing.T) {
	rows, err := play(t, t.Context(), shortPlan("destinations"), Options{Program: daemon(t)}, Machine{Memory: 64 << 20})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range []int{50, 60, 70, 80} {
		r := rowsBySubject(rows, "destinations", v)["step"]
		if !strings.Contains(r.Failure, "given up: ") ||
			!strings.Contains(r.Failure, "half of this machine's memory is 32 MB") {
			t.Errorf("%d: %+v", v, r)
		}
	}
}

// A cancelled run ends all of its processes and returns the cancellation.
func TestCancelledRunLeavesNoProcess(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var mu sync.Mutex
	var pids []int
	var cancelledAt time.Time
	cancelAtSecond := func(s *realSender) {
		mu.Lock()
		defer mu.Unlock()
		if pids = append(pids, s.pid()); len(pids) == 2 {
			cancelledAt = time.Now()
			cancel()
		}
	}
	o := Options{Program: daemon(t), onSenderReady: cancelAtSecond}
	_, err := play(t, ctx, shortPlan("destinations"), o, machine)
	if err != context.Canceled || len(pids) < 2 {
		t.Errorf("%v, %d processes", err, len(pids))
	}
	if took := time.Since(cancelledAt); took > 10*time.Second {
		t.Errorf("it ended after %v", took)
	}
	for _, pid := range pids {
		if !hasExited(pid) {
			t.Errorf("process %d is still running", pid)
		}
	}
}

// Invalid plans are rejected before anything starts, with an error of one line that names the key and the value.
func TestInvalidPlans(t *testing.T) {
	const axis = "[axes]\nheld = [1, 2, 3, 4]\n"
	for _, c := range []struct{ text, want string }{
		{"[axes]\nheight = [1, 2, 3, 4]\n", "bad.toml:2: axes.height: unknown key"},
		{"nmae = 'x'\n" + axis, "bad.toml:1: nmae: unknown key"},
		{"[axes]\nheld = 'many'\n", "bad.toml:2: axes.held: "},
		{"[axes\n", "bad.toml:1: "},
		{"", "axes: no points and no events"},
		{"[axes]\nheld = []\n", "axes.held: [], expected 4 points at least"},
		{"[axes]\nheld = [1, 2, 3]\n", "axes.held: [1 2 3], expected 4 points at least"},
		{"[axes]\nheld = [1, 2, 2, 4]\n", "axes.held: 2, expected rising points"},
		{"[axes]\nheld = [1, 2, 3, 2000000]\n", "axes.held: 2000000, expected rising points from 1 to 1000000"},
		{"[axes]\ndestinations = [1, 20, 30, 40]\n", "axes.destinations: 1, expected 10 at least"},
		{"[axes]\ndown = [1, 20, 30, 600]\n", "axes.down: 600, expected half of base.destinations (1000) at most"},
		{"[events]\nplay = ['flood']\n", `events.play: "flood", expected one of restart_half`},
		{"[base]\nlisted_rate = -1.0\n" + axis, "base.listed_rate: -1, expected 0 to 1000000"},
		{"window = '5ms'\n" + axis, "window: 5ms, expected 100ms to 1m0s"},
		{"window = 5\n" + axis, "window"},
		{"[events]\nplay = ['cut_off']\ndeadline = '1h'\n", "events.deadline: 1h0m0s, expected 500ms to 16s"},
		{"[senders]\nslots = 0\n" + axis, "senders.slots: 0, expected 1 to 300"},
		{"[senders]\nreal = 300\n" + axis, "senders.real: 300, which needs 301 processes; a run may have 200"},
		{
			"[events]\nplay = ['cut_off']\nreal = 300\n",
			"events.real: 300, which needs 301 processes; a run may have 200",
		},
		{"[axes]\nhollow = [1, 2, 3, 100000]\n", "axes.hollow: 100000, which needs some"},
		{
			"[base]\nhollow = 480\n[axes]\ndestinations = [10, 20, 30, 210000]\n",
			"axes.destinations: 210000, which needs some 155030 MB; half of this machine's memory is 32768 MB",
		},
		{
			"[axes]\nhollow = [1, 2, 3, 4000]\n",
			"axes.hollow: 4000, which needs 24700 descriptors; the limit is 20000 (ulimit -n)",
		},
	} {
		p, err := Parse("bad.toml", []byte(c.text))
		if err == nil {
			err = Check(p, &Options{Program: os.Args[0]}, machine)
		}
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %q in one line", c.text, err, c.want)
		}
	}
	p, err := Parse("good.toml", []byte(axis))
	if err != nil {
		t.Fatal(err)
	}
	for want, o := range map[string]Options{
		`axis "down": the plan plays held`: {Program: os.Args[0], Axes: []string{"down"}},
		"no such file":                     {Program: "/nowhere"},
		"is no program":                    {Program: "."},
	} {
		if err := Check(p, &o, machine); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v, want %q", o, err, want)
		}
	}
	for _, name := range []string{"scale-small.toml", "scale-large.toml", "scale-held.toml"} {
		p, err := Load("../plans/" + name)
		if err == nil {
			err = p.CheckResources(Machine{Memory: 20 << 30, Descriptors: 20_000, Cores: 8}, p.playedAxes())
		}
		if err != nil {
			t.Error(err)
		}
	}
}

// Fits classify figures and predict the largest point of linear and flat ones.
func TestFit(t *testing.T) {
	xs := []float64{1, 2, 4, 8, 16}
	fitOf := func(f func(float64) float64) Fit {
		var ys []float64
		for _, x := range xs {
			ys = append(ys, f(x))
		}
		return fit("a", "real", "f", xs, ys)
	}
	f := fitOf(func(x float64) float64 { return 5 + 3*x })
	if f.Shape != Linear || math.Abs(f.Slope-3) > 1e-9 || math.Abs(f.Intercept-5) > 1e-9 ||
		math.Abs(f.RelativeError()) > 1e-9 || f.HeldOut != 16 || f.Measured != 53 {
		t.Errorf("a line: %+v", f)
	}
	f = fitOf(func(x float64) float64 { return math.Exp(x) })
	if f.Shape != Nonlinear || !math.IsNaN(f.Predicted) {
		t.Errorf("an exponential function is extrapolated: %+v", f)
	}
	f = fitOf(func(x float64) float64 { return 100 + 0.9*x + map[float64]float64{2: 2, 4: -3, 8: 1}[x] })
	if f.Shape != Nonlinear || f.MaxResidual > maxLinearResidual {
		t.Errorf("a trend in noise: %+v", f)
	}
	f = fitOf(func(float64) float64 { return 0 })
	if f.Shape != Flat || f.Predicted != 0 || !math.IsNaN(f.RelativeError()) {
		t.Errorf("zeros: %+v", f)
	}
	f = fitOf(func(x float64) float64 { return 100 + 5*math.Mod(x, 3) })
	if f.Shape != Flat || f.Slope != 0 || f.Predicted < 100 || f.Predicted > 110 {
		t.Errorf("noise: %+v", f)
	}
	f = fitOf(func(x float64) float64 {
		if x == 16 {
			return 100
		}
		return x
	})
	if f.Shape != Linear || math.Abs(f.RelativeError()+0.84) > 1e-9 {
		t.Errorf("a line with a step at the point held out: %+v", f)
	}
	f = fit("a", "real", "f", []float64{1, 1, 2, 3}, []float64{1, 1, 2, 3})
	if f.Shape != TooFewPoints || !math.IsNaN(f.Predicted) {
		t.Errorf("three points: %+v", f)
	}
	var rows []Row
	for _, v := range []int{40, 10, 30, 20} {
		for n := range 2 {
			rows = append(rows, Row{
				Axis: "held", Value: v, Subject: fmt.Sprint("r", n), Figures: map[string]float64{"intake": float64(v)},
			})
		}
		rows = append(rows, Row{
			Axis: "held", Value: v + 1, Subject: "r0", Failure: "why", Figures: map[string]float64{"intake": 1e9},
		})
	}
	f, ok := findFit(FitRows(rows), "held", "real", "intake")
	if !ok || f.Points != 4 || f.Samples != 8 || f.Predicted != 40 {
		t.Errorf("the fit of rows: %+v", f)
	}
}

// A folder returns the rows as they were saved, replaces those of an axis that is played again, and rejects another
// plan or daemon.
func TestFolder(t *testing.T) {
	dir, text := t.TempDir(), []byte("[axes]\nheld = [1, 2, 3, 4]\n")
	p, err := Parse("p", text)
	if err != nil {
		t.Fatal(err)
	}
	f, err := OpenFolder(dir, p, text, os.Args[0])
	if err != nil {
		t.Fatal(err)
	}
	f.ReplaceRows([]string{EventsAxis}, []Row{
		{Axis: EventsAxis, Subject: "cut_off", Verdict: "kept", Figures: map[string]float64{"lost": 0, "taken": 12}},
	})
	f.ReplaceRows([]string{"held"}, []Row{
		{Axis: "held", Value: 1, Subject: "r0", Figures: map[string]float64{"intake": 1.5}},
		{Axis: "held", Value: 2, Subject: "r0", Failure: "a, \"b\"", Figures: map[string]float64{}},
	})
	if err := f.Save(); err != nil {
		t.Fatal(err)
	}
	again, err := OpenFolder(dir, p, text, os.Args[0])
	if err != nil {
		t.Fatal(err)
	}
	if len(again.Rows) != 3 || again.Rows[0].Axis != "held" || again.Rows[0].Figures["intake"] != 1.5 ||
		again.Rows[1].Failure != "a, \"b\"" || again.Rows[2].Verdict != "kept" {
		t.Errorf("read back: %+v", again.Rows)
	}
	again.ReplaceRows([]string{"held"}, []Row{{Axis: "held", Value: 9, Subject: "r0", Figures: map[string]float64{}}})
	if len(again.Rows) != 2 || again.Rows[0].Value != 9 {
		t.Errorf("played again: %+v", again.Rows)
	}
	_, err = OpenFolder(dir, p, []byte("name = 'other'\n"+string(text)), os.Args[0])
	if err == nil || !strings.Contains(err.Error(), "another plan") {
		t.Errorf("another plan: %v", err)
	}
	_, err = OpenFolder(dir, p, text, "scale_test.go")
	if err == nil || !strings.Contains(err.Error(), "another daemon") {
		t.Errorf("another daemon: %v", err)
	}
}
