package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"eiderhaven/internal/testkit"
)

// TestMain lets the test binary be the program itself, so that it can be told to end and be killed.
func TestMain(m *testing.M) {
	if os.Getenv("EIDERLAB_TEST_PROCESS") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// children are the processes whose parent is the one given, by the kernel's word.
func children(pid int) (out []int) {
	stats, _ := filepath.Glob("/proc/[0-9]*/stat") // the pattern is good
	for _, path := range stats {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // it has just ended
		}
		_, rest, _ := strings.Cut(string(text), ") ")
		f := strings.Fields(rest)
		child, _ := strconv.Atoi(filepath.Base(filepath.Dir(path)))
		if len(f) > 1 && f[1] == strconv.Itoa(pid) {
			out = append(out, child)
		}
	}
	return out
}

// However a scale run ends within a step, at Ctrl-C, told to end or killed itself, none of its processes is left. Told, it says so by its
// exit code.
func TestAScaleRunLeavesNoProcess(t *testing.T) {
	dir := t.TempDir()
	daemon := filepath.Join(dir, "eiderhaven")
	if out, err := exec.Command("go", "build", "-o", daemon, "eiderhaven/cmd/eiderhaven").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	plan := filepath.Join(dir, "plan.toml")
	if err := os.WriteFile(plan, []byte("window = '1m'\n[senders]\nreal = 3\n[axes]\nchanges = [1, 2, 3, 4]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, sig := range map[string]syscall.Signal{"Ctrl-C": syscall.SIGINT, "told to end": syscall.SIGTERM, "killed": syscall.SIGKILL} {
		cmd := exec.Command(os.Args[0], "scale", plan, "--program", daemon, "--out", filepath.Join(dir, strings.ReplaceAll(name, " ", "-")))
		cmd.Env = append(os.Environ(), "EIDERLAB_TEST_PROCESS=1", "GORACE=atexit_sleep_ms=0", "TMPDIR="+dir)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		done := make(chan error, 1)
		go func() { done <- cmd.Wait() }()
		var pids []int
		testkit.Eventually(t, name+": three senders", func() bool { pids = children(cmd.Process.Pid); return len(pids) == 3 })
		if err := cmd.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
		err := testkit.Receive(t, done, name+": end of the program")
		var exit *exec.ExitError
		if sig != syscall.SIGKILL && (!errors.As(err, &exit) || exit.ExitCode() != exitBroken) {
			t.Errorf("%s: %v, want exit code %d", name, err, exitBroken)
		}
		for _, pid := range pids {
			testkit.Eventually(t, fmt.Sprintf("%s: end of process %d", name, pid), func() bool { return syscall.Kill(pid, 0) == syscall.ESRCH || isDead(pid) })
		}
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "eiderlab-scale*")); len(left) > 1 { // the killed one could not tidy up
		t.Errorf("folders left: %q", left)
	}
}

// isDead tells whether a process has ended and only waits for somebody to ask how.
func isDead(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return err == nil && strings.Contains(string(text), ") Z ")
}

// A bad plan ends the command with one line that names key and value, before a process is started or a folder made.
func TestABadScalePlanStartsNothing(t *testing.T) {
	dir := t.TempDir()
	marker := filepath.Join(dir, "started")
	daemon := filepath.Join(dir, "daemon")
	if err := os.WriteFile(daemon, []byte("#!/bin/sh\ntouch "+marker+"\n"), 0o755); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ text, want string }{
		"unknown key":   {"[axes]\nheight = [1, 2, 3, 4]\n", ":2: axes.height: unknown key"},
		"no points":     {"[axes]\nheld = []\n", "axes.held: [], expected 4 points at least"},
		"too large":     {"[base]\nhollow = 900000\n[axes]\ndestinations = [10, 20, 30, 900000]\n", "axes.destinations: 10, which needs "},
		"no such event": {"[events]\nplay = ['flood']\n", `events.play: "flood"`},
	} {
		plan := filepath.Join(dir, strings.ReplaceAll(name, " ", "-")+".toml")
		if err := os.WriteFile(plan, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		out := filepath.Join(dir, "out")
		said, code := call(t, "scale", plan, "--program", daemon, "--out", out)
		lines := 0
		for s := bufio.NewScanner(strings.NewReader(said)); s.Scan(); {
			lines++
		}
		if code == 0 || lines != 1 || !strings.Contains(said, c.want) {
			t.Errorf("%s: code %d, %q, want one line with %q", name, code, said, c.want)
		}
		if _, err := os.Stat(out); err == nil {
			t.Errorf("%s: a folder was made", name)
		}
	}
	if _, err := os.Stat(marker); err == nil {
		t.Error("a process was started")
	}
	if said, code := call(t, "scale"); code != exitUsage {
		t.Errorf("without a plan: code %d, %q", code, said)
	}
}
