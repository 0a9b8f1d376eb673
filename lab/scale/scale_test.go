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

var buildOnce = sync.OnceValues(func() (string, error) {
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

// daemon is the sender, built without the race detector: its figures are what is measured here.
func daemon(t *testing.T) string {
	t.Helper()
	path, err := buildOnce()
	if err != nil {
		t.Fatal(err)
	}
	return path
}

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := buildOnce(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

var machine = Machine{Memory: 64 << 30, Descriptors: 20_000, Cores: 8}

func play(t *testing.T, ctx context.Context, p *Plan, o Options, m Machine) ([]Row, error) {
	t.Helper()
	if err := Check(p, &o, machine); err != nil {
		t.Fatal(err)
	}
	o.Log = func(line string) { t.Log(line) }
	return Run(ctx, p, o, m)
}

// one returns the rows of a point of an axis, or of an event, by who they are of.
func one(rows []Row, axis string, value int) map[string]Row {
	out := map[string]Row{}
	for _, r := range rows {
		if r.Axis == axis && r.Value == value {
			out[r.Subject] = r
		}
	}
	return out
}

// gone tells whether a process has ended and left nothing.
func gone(pid int) bool { return syscall.Kill(pid, 0) == syscall.ESRCH }

// The small plan, whole: every point of every axis and every event has its rows, none failed; the judge finds nothing lost, doubled
// or gone the old way; and the figures grow as they must, within bounds that a busy machine does not reach.
func TestTheSmallPlan(t *testing.T) {
	path := daemon(t)
	text, err := os.ReadFile("../plans/scale-small.toml")
	if err != nil {
		t.Fatal(err)
	}
	p, err := Parse("small", text)
	if err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	rows, err := play(t, t.Context(), p, Options{Program: path}, machine)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("took %v", time.Since(begun).Round(100*time.Millisecond))
	for _, r := range rows {
		if r.Failure != "" {
			t.Errorf("%s %d, %s: failed: %s", r.Axis, r.Value, r.Subject, r.Failure)
		}
	}
	for _, axis := range axisNames {
		for _, v := range p.axisValues(axis) {
			have := one(rows, axis, v)
			for _, who := range []string{"r0", "hollow", "discovery"} {
				if _, ok := have[who]; !ok {
					t.Errorf("%s %d: no row of %s", axis, v, who)
				}
			}
		}
	}
	for _, r := range rows {
		if f := r.Figures; r.Subject == "r0" && (f["resident"] <= 0 || f["heap"] <= 0 || f["resident"] < f["heap_live"]) {
			t.Errorf("%s %d: a real sender without its memory: %v", r.Axis, r.Value, f)
		}
	}
	events := one(rows, EventsAxis, 0)
	for _, name := range eventNames {
		r, ok := events[name]
		f := r.Figures
		if !ok || f["taken"] == 0 || f["changes"] == 0 || f["lost"]+f["doubled"]+f["stale"]+f["force_late"] > 0 || f["ended_late"] > f["taken"]/20 {
			t.Errorf("%s: %s, %v", name, r.Verdict, f)
		}
	}
	within := func(what string, x, least, most float64) {
		t.Helper()
		if !(x >= least && x <= most) {
			t.Errorf("%s: %.4g, want %.4g to %.4g", what, x, least, most)
		}
	}
	ratio := func(axis, who, figure string) float64 {
		xs, ys := samples(rows, axis, who, figure)
		if len(xs) == 0 {
			t.Errorf("%s: no %s of %s", axis, figure, who)
			return math.NaN()
		}
		return ys[len(ys)-1] / ys[0]
	}
	const grows = 8 // from the first point of an axis to its last
	within("control at a start over destinations", ratio("destinations", "real", "start_control"), grows/1.5, grows*1.5)
	within("memory of hollow senders over destinations", ratio("destinations", "hollow", "heap"), grows/4, grows*2)
	// Pages make the resident size of 7 MB uneven by 0.3, as much as 2,000 destinations take: the heap tells that it grows.
	within("resident size of real senders over destinations", ratio("destinations", "real", "resident"), 0.9, grows*2)
	within("heap of real senders over destinations", ratio("destinations", "real", "heap"), 1.2, grows)
	within("memory over messages held", ratio("held", "real", "resident"), 1.1, grows*2)
	within("intake over messages held", ratio("held", "real", "intake"), 0.1, 10)
	within("watches over hollow senders", ratio("hollow", "discovery", "watches"), grows/2, grows)
	within("control over hollow senders", ratio("hollow", "discovery", "control_busy"), grows/4, grows*2)
	within("control over changes", ratio("changes", "real", "control_busy"), grows/4, grows*2)
	within("memory over messages owed", ratio("owed", "real", "restart_resident"), 1, grows*2)
	if f, ok := find(FitRows(rows), "destinations", "real", "start_control"); !ok || f.Shape != Linear || math.Abs(f.RelativeError()) > 0.1 {
		t.Errorf("the control of the largest list is not predicted: %+v", f)
	}
	out := &Folder{Path: t.TempDir(), Plan: p, PlanText: text}
	out.ReplaceRows(p.playedAxes(), rows)
	if err := out.Save(); err != nil {
		t.Error(err)
	}
	for _, name := range []string{"summary.md", "report.html", "rows.csv", "plan.toml", "charts/destinations--memory.svg"} {
		if info, err := os.Stat(filepath.Join(out.Path, name)); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func find(fits []Fit, axis, who, figure string) (Fit, bool) {
	i := slices.IndexFunc(fits, func(f Fit) bool { return f.Axis == axis && f.Subject == who && f.Figure == figure })
	if i < 0 {
		return Fit{}, false
	}
	return fits[i], true
}

// tiny is a plan of one axis with the shortest steps.
func tiny(axis string) *Plan {
	p := Default()
	p.Settle, p.Window, p.Within = 0, duration(100*time.Millisecond), duration(time.Second)
	p.Base.Destinations, p.Base.Simulated, p.Base.Changes = 50, 2, 600
	p.Axes.Destinations = []int{50, 60, 70, 80}
	if axis == EventsAxis {
		p.Axes.Destinations, p.Events.Play = nil, []string{"cut_off"}
		p.Events.Real, p.Events.Simulated, p.Events.Destinations = 2, 2, 50
		p.Events.Before, p.Events.Cut, p.Events.Deadline = duration(500*time.Millisecond), duration(500*time.Millisecond), duration(500*time.Millisecond)
	}
	return p
}

// A process that dies within a run makes a failed row with the reason; the other senders' rows and the later points stand.
func TestAProcessThatDiesIsAFailedRow(t *testing.T) {
	killed := 0
	rows, err := play(t, t.Context(), tiny("destinations"), Options{Program: daemon(t), onSenderReady: func(s *realSender) {
		if s.index == 1 && killed == 0 {
			killed = s.pid()
			syscall.Kill(killed, syscall.SIGKILL)
		}
	}}, machine)
	if err != nil {
		t.Fatal(err)
	}
	first := one(rows, "destinations", 50)
	if r := first["r1"]; !strings.Contains(r.Failure, "the process died: signal: killed") {
		t.Errorf("the row of the one that died: %+v", r)
	}
	if r := first["r0"]; r.Failure != "" || r.Figures["resident"] == 0 {
		t.Errorf("the row of the other: %+v", r)
	}
	for _, v := range []int{60, 70, 80} {
		if r := one(rows, "destinations", v)["r1"]; r.Failure != "" || r.Figures["resident"] == 0 {
			t.Errorf("the row of a later point: %+v", r)
		}
	}
	// In an event too, where the row is the event's.
	rows, err = play(t, t.Context(), tiny(EventsAxis), Options{Program: daemon(t), onSenderReady: func(s *realSender) {
		if s.index == 1 {
			time.AfterFunc(700*time.Millisecond, func() { syscall.Kill(s.pid(), syscall.SIGKILL) })
		}
	}}, machine)
	if r := one(rows, EventsAxis, 0)["cut_off"]; err != nil || !strings.Contains(r.Failure, "the process died") || r.Verdict != "not judged" {
		t.Errorf("%v, %+v", err, r)
	}
}

// A program that is no daemon, or one that never gets ready, fails its rows in the plan's time, with its last word.
func TestAProgramThatIsNoDaemon(t *testing.T) {
	for script, want := range map[string]string{"echo what is that >&2; exit 3": "exit status 3", "echo what is that >&2; exec sleep 60": "not ready: not in time (1s); its last word: what is that"} {
		path := filepath.Join(t.TempDir(), "daemon")
		if err := os.WriteFile(path, []byte("#!/bin/sh\n"+script+"\n"), 0o755); err != nil {
			t.Fatal(err)
		}
		p := tiny("destinations")
		p.Base.Simulated = 0
		rows, err := play(t, t.Context(), p, Options{Program: path}, machine)
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range p.Axes.Destinations {
			if r := one(rows, "destinations", v)["r0"]; !strings.Contains(r.Failure, want) {
				t.Errorf("%s, %d: %+v, want %q", script, v, r, want)
			}
		}
	}
}

// With too little memory each step is given up before it starts, and leaves a row that says so.
func TestAStepWithoutMemoryIsGivenUp(t *testing.T) {
	rows, err := play(t, t.Context(), tiny("destinations"), Options{Program: daemon(t)}, Machine{Memory: 64 << 20})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range []int{50, 60, 70, 80} {
		if r := one(rows, "destinations", v)["step"]; !strings.Contains(r.Failure, "given up: ") || !strings.Contains(r.Failure, "half of this machine's memory is 32 MB") {
			t.Errorf("%d: %+v", v, r)
		}
	}
}

// A run that is told to end ends all of its processes, and says that it was told.
func TestACancelledRunLeavesNothing(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var mu sync.Mutex
	var pids []int
	var toldAt time.Time
	_, err := play(t, ctx, tiny("destinations"), Options{Program: daemon(t), onSenderReady: func(s *realSender) {
		mu.Lock()
		defer mu.Unlock()
		if pids = append(pids, s.pid()); len(pids) == 2 {
			toldAt = time.Now()
			cancel()
		}
	}}, machine)
	if err != context.Canceled || len(pids) < 2 {
		t.Errorf("%v, %d processes", err, len(pids))
	}
	if took := time.Since(toldAt); took > 10*time.Second {
		t.Errorf("it ended after %v", took)
	}
	for _, pid := range pids {
		if !gone(pid) {
			t.Errorf("process %d is left", pid)
		}
	}
}

// Bad plans are refused in one line that names key and value, before anything starts.
func TestBadPlans(t *testing.T) {
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
		{"[events]\nplay = ['cut_off']\nreal = 300\n", "events.real: 300, which needs 301 processes; a run may have 200"},
		{"[axes]\nhollow = [1, 2, 3, 100000]\n", "axes.hollow: 100000, which needs some"},
		{"[base]\nhollow = 480\n[axes]\ndestinations = [10, 20, 30, 210000]\n", "axes.destinations: 210000, which needs some 155030 MB; half of this machine's memory is 32768 MB"},
		{"[axes]\nhollow = [1, 2, 3, 4000]\n", "axes.hollow: 4000, which needs 24700 descriptors; the limit is 20000 (ulimit -n)"},
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
		`axis "down": the plan plays held`: {Program: os.Args[0], Axes: []string{"down"}}, "no such file": {Program: "/nowhere"}, "is no program": {Program: "."},
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

func TestFits(t *testing.T) {
	xs := []float64{1, 2, 4, 8, 16}
	at := func(f func(float64) float64) Fit {
		var ys []float64
		for _, x := range xs {
			ys = append(ys, f(x))
		}
		return fit("a", "real", "f", xs, ys)
	}
	if f := at(func(x float64) float64 { return 5 + 3*x }); f.Shape != Linear || math.Abs(f.Slope-3) > 1e-9 || math.Abs(f.Intercept-5) > 1e-9 || math.Abs(f.RelativeError()) > 1e-9 || f.HeldOut != 16 || f.Measured != 53 {
		t.Errorf("a line: %+v", f)
	}
	if f := at(func(x float64) float64 { return math.Exp(x) }); f.Shape != Nonlinear || !math.IsNaN(f.Predicted) {
		t.Errorf("what is no line is extended: %+v", f)
	}
	if f := at(func(x float64) float64 { return 100 + 0.9*x + map[float64]float64{2: 2, 4: -3, 8: 1}[x] }); f.Shape != Nonlinear || f.MaxResidual > maxLinearResidual {
		t.Errorf("a trend in noise: %+v", f)
	}
	if f := at(func(float64) float64 { return 0 }); f.Shape != Flat || f.Predicted != 0 || !math.IsNaN(f.RelativeError()) {
		t.Errorf("nothing at all: %+v", f)
	}
	if f := at(func(x float64) float64 { return 100 + 5*math.Mod(x, 3) }); f.Shape != Flat || f.Slope != 0 || f.Predicted < 100 || f.Predicted > 110 {
		t.Errorf("noise: %+v", f)
	}
	if f := at(func(x float64) float64 { // a line up to the point that is held out, and then a step
		if x == 16 {
			return 100
		}
		return x
	}); f.Shape != Linear || math.Abs(f.RelativeError()+0.84) > 1e-9 {
		t.Errorf("a prediction that is off: %+v", f)
	}
	if f := fit("a", "real", "f", []float64{1, 1, 2, 3}, []float64{1, 1, 2, 3}); f.Shape != TooFewPoints || !math.IsNaN(f.Predicted) {
		t.Errorf("three points: %+v", f)
	}
	var rows []Row
	for _, v := range []int{40, 10, 30, 20} {
		for n := range 2 {
			rows = append(rows, Row{Axis: "held", Value: v, Subject: fmt.Sprint("r", n), Figures: map[string]float64{"intake": float64(v)}})
		}
		rows = append(rows, Row{Axis: "held", Value: v + 1, Subject: "r0", Failure: "why", Figures: map[string]float64{"intake": 1e9}})
	}
	if f, ok := find(FitRows(rows), "held", "real", "intake"); !ok || f.Points != 4 || f.Samples != 8 || f.Predicted != 40 {
		t.Errorf("the rows' fit: %+v", f)
	}
}

// A folder keeps rows as they were, takes an axis played again in place of its rows, and refuses another plan or daemon.
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
	f.ReplaceRows([]string{EventsAxis}, []Row{{Axis: EventsAxis, Subject: "cut_off", Verdict: "kept", Figures: map[string]float64{"lost": 0, "taken": 12}}})
	f.ReplaceRows([]string{"held"}, []Row{{Axis: "held", Value: 1, Subject: "r0", Figures: map[string]float64{"intake": 1.5}}, {Axis: "held", Value: 2, Subject: "r0", Failure: "a, \"b\"", Figures: map[string]float64{}}})
	if err := f.Save(); err != nil {
		t.Fatal(err)
	}
	again, err := OpenFolder(dir, p, text, os.Args[0])
	if err != nil {
		t.Fatal(err)
	}
	if len(again.Rows) != 3 || again.Rows[0].Axis != "held" || again.Rows[0].Figures["intake"] != 1.5 || again.Rows[1].Failure != "a, \"b\"" || again.Rows[2].Verdict != "kept" {
		t.Errorf("read back: %+v", again.Rows)
	}
	again.ReplaceRows([]string{"held"}, []Row{{Axis: "held", Value: 9, Subject: "r0", Figures: map[string]float64{}}})
	if len(again.Rows) != 2 || again.Rows[0].Value != 9 {
		t.Errorf("played again: %+v", again.Rows)
	}
	if _, err := OpenFolder(dir, p, []byte("name = 'other'\n"+string(text)), os.Args[0]); err == nil || !strings.Contains(err.Error(), "another plan") {
		t.Errorf("another plan: %v", err)
	}
	if _, err := OpenFolder(dir, p, text, "scale_test.go"); err == nil || !strings.Contains(err.Error(), "another daemon") {
		t.Errorf("another daemon: %v", err)
	}
}
