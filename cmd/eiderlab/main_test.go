package main

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// runCommand executes a command line in this process and returns its standard output with the error, and its exit code.
func runCommand(t *testing.T, args ...string) (string, int) {
	t.Helper()
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	old := os.Stdout
	os.Stdout = write
	done := make(chan string)
	go func() {
		var b bytes.Buffer
		_, _ = io.Copy(&b, read) // ends when the write end is closed
		done <- b.String()
	}()
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(write)
	root.SetErr(write)
	err = root.Execute()
	code := reportError(err)
	os.Stdout = old
	write.Close()
	out := <-done
	if err != nil {
		out += err.Error()
	}
	return out, code
}

func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.toml")
	if err := os.WriteFile(bad, []byte("version = 1\nnmae = \"x\"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	const calm = "../../lab/scenarios/calm.toml"
	for _, row := range []struct {
		args       string
		code       int
		wantOutput string
	}{
		{"--help", 0, "eiderlab sweep lab/scenarios/fleet.toml"},
		{"run --help", 0, "--policy"},
		{"run " + calm + " --set run.length=3s --strict", 0, "rules_broken"},
		{"run " + calm + " --set run.length=3s --out " + filepath.Join(dir, "run"), 0, "report.html"},
		{"plot " + filepath.Join(dir, "run"), 0, "report.html"},
		{"run " + calm + " --set run.length=3", 1, `expected a number with a unit`},
		{"run " + calm + " --set length", 2, "expected KEY=VALUE"},
		{"run " + calm + " --policy nonsense", 1, "expected one of"},
		{"run", 2, "run takes 1 arguments, got 0"},
		{"run nowhere.toml", 1, "no such file"},
		{"run " + calm + " --bogus", 2, "unknown flag: --bogus; see 'eiderlab run --help'"},
		{"run " + calm + " --set run.max_events=1000", 1, "stopped at the bound of 1000 events"},
		{"sweep " + calm, 2, "needs --out FOLDER"},
		{"sweep " + calm + " --set run.length=2s --vary senders.count=1,2 --seeds 2 --policy rules,oracle --out " + filepath.Join(dir, "s"), 0, "G / oracle"},
		{"sweep " + calm + " --set run.length=2s --vary senders.count=1,2 --seeds 2 --policy rules,oracle --out " + filepath.Join(dir, "s"), 1, "--resume"},
		{"sweep " + calm + " --vary senders.count --out x", 2, "expected KEY=VALUE,VALUE"},
		{"compare " + filepath.Join(dir, "s") + " --a rules --b oracle", 0, "4 pairs"},
		{"compare " + filepath.Join(dir, "s"), 2, "--a and --b must name two policies"},
		{"compare " + dir + " " + dir, 1, "holds no experiment"},
		{"replay " + calm + " --set run.length=2s --message m3", 0, "served"},
		{"scenario check " + calm + " " + bad, 1, "1 of 2 files are refused"},
		{"scenario show " + calm, 0, "max_held = 300"},
		{"hunt " + calm + " --set run.length=8s --days 3 --keep 1 --out " + filepath.Join(dir, "found"), 0, ""},
		{"troubles", 0, "broken_connections"},
		{"policies", 0, "sees the true state"},
		{"load " + calm + " --target 192.0.2.1:80", 2, "expected a loopback address"},
		{"receivers " + calm + " --discovery 127.0.0.1:0 --for 100ms --config " + filepath.Join(dir, "c.json"), 0, "messages that took effect"},
	} {
		t.Run(row.args[:min(len(row.args), 40)], func(t *testing.T) {
			out, code := runCommand(t, strings.Fields(row.args)...)
			if code != row.code || !strings.Contains(out, row.wantOutput) {
				t.Errorf("eiderlab %s: code %d, want %d and output with %q:\n%s", row.args, code, row.code, row.wantOutput, out)
			}
		})
	}
}

// TestScenarioKeysPageIsUpToDate fails if docs/lab-scenario.md differs from what the declarations in the code produce.
func TestScenarioKeysPageIsUpToDate(t *testing.T) {
	have, err := os.ReadFile("../../docs/lab-scenario.md")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(have), scenarioDoc()); diff != "" {
		t.Errorf("docs/lab-scenario.md is out of date: run 'eiderlab scenario keys > docs/lab-scenario.md'\n%s", diff)
	}
}
