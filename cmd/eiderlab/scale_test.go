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

// TestMain runs the test binary as eiderlab itself if EIDERLAB_TEST_PROCESS is set, so that tests can send it signals.
func TestMain(m *testing.M) {
	if os.Getenv("EIDERLAB_TEST_PROCESS") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// childProcesses returns the IDs of a process's children, as listed in /proc.
func childProcesses(pid int) (out []int) {
	stats, _ := filepath.Glob("/proc/[0-9]*/stat") // the pattern is valid
	for _, path := range stats {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the process has ended meanwhile
		}
		_, rest, _ := strings.Cut(string(text), ") ")
		fields := strings.Fields(rest)
		child, _ := strconv.Atoi(filepath.Base(filepath.Dir(path)))
		if len(fields) > 1 && fields[1] == strconv.Itoa(pid) {
			out = append(out, child)
		}
	}
	return out
}

// TestScaleRunLeavesNoProcess ends a scale run in the middle of a step by SIGINT, SIGTERM and SIGKILL. None of its
// daemons may survive, not even if the run itself is killed. After the first two it must exit with exitInterrupted.
func TestScaleRunLeavesNoProcess(t *testing.T) {
	dir := t.TempDir()
	daemon := filepath.Join(dir, "eiderhaven")
	if out, err := exec.Command("go", "build", "-o", daemon, "eiderhaven/cmd/eiderhaven").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	plan := filepath.Join(dir, "plan.toml")
	if err := os.WriteFile(plan, []byte("window = '1m'\n[senders]\nreal = 3\n[axes]\nchanges = [1, 2, 3, 4]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	signals := map[string]syscall.Signal{"Ctrl-C": syscall.SIGINT, "terminated": syscall.SIGTERM, "killed": syscall.SIGKILL}
	for name, sig := range signals {
		out := filepath.Join(dir, strings.ReplaceAll(name, " ", "-"))
		cmd := exec.Command(os.Args[0], "scale", plan, "--program", daemon, "--out", out)
		cmd.Env = append(os.Environ(), "EIDERLAB_TEST_PROCESS=1", "GORACE=atexit_sleep_ms=0", "TMPDIR="+dir)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		done := make(chan error, 1)
		go func() { done <- cmd.Wait() }()
		var pids []int
		testkit.Eventually(t, name+": three senders", func() bool {
			pids = childProcesses(cmd.Process.Pid)
			return len(pids) == 3
		})
		if err := cmd.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
		err := testkit.Receive(t, done, name+": end of the program")
		var exit *exec.ExitError
		if sig != syscall.SIGKILL && (!errors.As(err, &exit) || exit.ExitCode() != exitInterrupted) {
			t.Errorf("%s: %v, want exit code %d", name, err, exitInterrupted)
		}
		for _, pid := range pids {
			testkit.Eventually(t, fmt.Sprintf("%s: end of process %d", name, pid), func() bool {
				return syscall.Kill(pid, 0) == syscall.ESRCH || isZombie(pid)
			})
		}
	}

	// Only the killed run could not remove its temporary folder.
	if remaining, _ := filepath.Glob(filepath.Join(dir, "eiderlab-scale*")); len(remaining) > 1 {
		t.Errorf("folders left: %q", remaining)
	}
}

// isZombie reports whether a process has ended and waits for its parent to collect its exit status.
func isZombie(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return err == nil && strings.Contains(string(text), ") Z ")
}

// TestBadScalePlanStartsNothing checks that an invalid plan ends the command with a one-line error that names the key
// and the value, before a process is started or a folder created.
func TestBadScalePlanStartsNothing(t *testing.T) {
	dir := t.TempDir()
	marker := filepath.Join(dir, "started")
	daemon := filepath.Join(dir, "daemon")
	if err := os.WriteFile(daemon, []byte("#!/bin/sh\ntouch "+marker+"\n"), 0o755); err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct{ text, want string }{
		"unknown key":   {"[axes]\nheight = [1, 2, 3, 4]\n", ":2: axes.height: unknown key"},
		"no points":     {"[axes]\nheld = []\n", "axes.held: [], expected 4 points at least"},
		"too large":     {"[base]\nhollow = 900000\n[axes]\ndestinations = [10, 20, 30, 900000]\n", "axes.destinations: 10, which needs "},
		"no such event": {"[events]\nplay = ['flood']\n", `events.play: "flood"`},
	} {
		plan := filepath.Join(dir, strings.ReplaceAll(name, " ", "-")+".toml")
		if err := os.WriteFile(plan, []byte(test.text), 0o600); err != nil {
			t.Fatal(err)
		}
		out := filepath.Join(dir, "out")
		output, code := runCommand(t, "scale", plan, "--program", daemon, "--out", out)
		lines := 0
		for s := bufio.NewScanner(strings.NewReader(output)); s.Scan(); {
			lines++
		}
		if code == 0 || lines != 1 || !strings.Contains(output, test.want) {
			t.Errorf("%s: code %d, %q, want one line with %q", name, code, output, test.want)
		}
		if _, err := os.Stat(out); err == nil {
			t.Errorf("%s: a folder was created", name)
		}
	}
	if _, err := os.Stat(marker); err == nil {
		t.Error("a process was started")
	}
	if output, code := runCommand(t, "scale"); code != exitUsage {
		t.Errorf("without a plan: code %d, %q", code, output)
	}
}
