package rig

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"eiderhaven/lab/scale"
	"eiderhaven/lab/scenario"
)

var buildOnce = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "eiderlab-rig-test-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "eiderhaven")
	out, err := exec.Command("go", "build", "-o", path, "eiderhaven/cmd/eiderhaven").CombinedOutput()
	if err != nil {
		return "", errors.New(string(out))
	}
	return path, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := buildOnce(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// play runs a plan with a seed and fails the test for whatever is broken.
func play(t *testing.T, plan string, seed uint64) *Result {
	t.Helper()
	program, err := buildOnce()
	if err != nil {
		t.Fatal(err)
	}
	p, s, err := Load(plan)
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(context.Background(), p, s, Options{Program: program, Seed: seed, RecordsDir: t.ArtifactDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d: %d handed in, %d taken, %d outages, %d fallen, signals %v, clients late by %.1f ms, receivers by %.1f", seed, r.Submitted, r.Accepted, r.Outages, len(r.Overloads), r.Signals, r.ClientDelayP99Ms, r.ReceiverLagMs)
	for _, b := range r.Violations {
		t.Errorf("seed %d: %s rule %s, sender %d, message %s: %s", seed, b.At.Format("15:04:05.000"), b.Rule, b.Sender, b.ID, b.Text)
	}
	if r.Accepted < 500 || r.Outages == 0 {
		t.Errorf("seed %d: %d taken, %d outages: too few to tell anything", seed, r.Accepted, r.Outages)
	}
	return r
}

// TestAFleetMeetsColdReturns is the incident on real processes: forty-one senders, and destinations that come back cold after a
// crash (seed 2) and after a hang (seed 3).
func TestAFleetMeetsColdReturns(t *testing.T) {
	for _, seed := range []uint64{2, 3} {
		play(t, "../plans/rig-short.toml", seed)
	}
}

// TestASoak plays one seed of the soak: drawn outages, and signals in series while clients use the connections that stay open.
func TestASoak(t *testing.T) {
	r := play(t, "../plans/rig-soak.toml", 1001)
	if r.Signals["kill"] == 0 || r.Signals["term"] == 0 || r.Signals["hangup"] == 0 {
		t.Errorf("signals %v: want some of each that the seed draws", r.Signals)
	}
}

// TestSoakSeedsThatBroke plays the three seeds of the first 56 on which rule 4 was broken: errors of a part of the calls (1005),
// a hang of several endpoints whose calls were given up for their slots (1020), and answers that are lost (1064).
func TestSoakSeedsThatBroke(t *testing.T) {
	for _, seed := range []uint64{1005, 1020, 1064} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			play(t, "../plans/rig-soak.toml", seed)
		})
	}
}

// TestAnInterruptedRigLeavesNothing ends a run in its first seconds: no process and no folder of it is left.
func TestAnInterruptedRigLeavesNothing(t *testing.T) {
	program, err := buildOnce()
	if err != nil {
		t.Fatal(err)
	}
	p, s, err := Load("../plans/rig-soak.toml")
	if err != nil {
		t.Fatal(err)
	}
	s.Senders.Count = 5
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.Draw.Faults = 0
	p.Faults = []scenario.Trouble{{Kind: "crash", At: 1, For: 2, Part: 0.1, By: "destination"}} // back at once
	var pids []int
	var folder string
	r, err := Run(ctx, p, s, Options{Program: program, Seed: 1, started: func(pid int, dir string) {
		if pids, folder = append(pids, pid), dir; len(pids) == 5 {
			time.AfterFunc(time.Second, cancel)
		}
	}})
	if r == nil || r.Outages != 4 || len(r.Margins) != 4 {
		t.Errorf("%+v, want the margins of four returns", r)
	}
	if !errors.Is(err, context.Canceled) || len(pids) != 5 {
		t.Fatalf("%v, %d processes", err, len(pids))
	}
	for _, pid := range pids {
		if err := syscall.Kill(pid, 0); !errors.Is(err, syscall.ESRCH) {
			t.Errorf("process %d: %v, want it gone", pid, err)
		}
	}
	if _, err := os.Stat(folder); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("folder %s: %v, want it gone", folder, err)
	}
}

func TestBadPlans(t *testing.T) {
	good, err := os.ReadFile("../plans/rig-slow-start.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`part = 0.33`, "part = 0.33\nwidth = 3", "fault.width: no such key"},
		{`for = "7190ms"`, `for = "0s"`, "fault.0.for: 0s: a fault needs an end"},
		{`kind = "crash"`, `kind = "earthquake"`, `fault.0.kind: "earthquake" is none`},
		{`kind = "kill"`, `kind = "term"`, "signal.0.for: 0s: the kill comes 3.7s after SIGTERM at the earliest"},
		{`kind = "kill"`, "kind = \"stop\"\nfor = \"2s\"", "signal.0.for: 2s: more than 0 and at most 150ms"},
		{`"senders.count" = "41"`, `"senders.count" = "4100"`, "senders.count: 4100: 1 to 200 processes are expected"},
		{`"senders.count" = "41"`, `"senders.cuont" = "41"`, "set.senders.cuont"},
	} {
		path := filepath.Join(t.TempDir(), "plan.toml")
		text := strings.Replace(strings.Replace(string(good), c.old, c.new, 1), "../scenarios", must(t, filepath.Abs, "../scenarios"), 1)
		text = strings.Replace(text, `scenario = "`, `scenario = "`+strings.Repeat("../", strings.Count(path, "/")-1)+"..", 1)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := Load(path); !errors.Is(err, ErrInvalidPlan) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.new, err, c.want)
		}
	}
}

func must(t *testing.T, f func(string) (string, error), arg string) string {
	t.Helper()
	out, err := f(arg)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// TestAPlanThatDoesNotFitIsRefused names the key and the reason before anything starts.
func TestAPlanThatDoesNotFitIsRefused(t *testing.T) {
	p, s, err := Load("../plans/rig-slow-start.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		m    scale.Machine
		want string
	}{
		{scale.Machine{Memory: 1 << 30, Descriptors: 20_000}, "senders.count: 41, which needs some 1968 MB; half of this machine's memory is 512 MB"},
		{scale.Machine{Memory: 64 << 30, Descriptors: 1024}, "senders.count: 41 before 40 endpoints, which needs 5320 descriptors; the limit is 1024"},
	} {
		if err := p.CheckResources(s, c.m); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v, want %q", err, c.want)
		}
	}
	if err := p.CheckResources(s, scale.Machine{Memory: 24 << 30, Descriptors: 20_000}); err != nil {
		t.Error(err)
	}
}
