package live

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"eiderhaven/internal/settings"
	"eiderhaven/internal/testkit"
	"eiderhaven/lab/scenario"
	"eiderhaven/lab/world"
)

func loadScenario(t *testing.T, path string, set ...string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Load(path)
	for i := 0; i < len(set) && err == nil; i += 2 {
		s, err = s.Set(set[i], set[i+1])
	}
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// The daemon decodes the configuration into the same settings that the model gives its senders.
func TestConfigMatchesModelSettings(t *testing.T) {
	for _, name := range []string{"mixed", "calm", "fleet"} {
		s := loadScenario(t, "../scenarios/"+name+".toml")
		text, err := Config(s, "n1", "127.0.0.1:1", "127.0.0.1:2")
		if err != nil {
			t.Fatal(err)
		}
		var file struct{ Settings json.RawMessage }
		if err := json.Unmarshal(text, &file); err != nil {
			t.Fatal(err)
		}
		got, names, err := settings.Decode(file.Settings, 0)
		if err != nil {
			t.Fatal(err)
		}
		want := world.Settings(s, 0)
		if diff := cmp.Diff(want, *got); diff != "" {
			t.Errorf("%s: settings differ:\n%s", name, diff)
		}
		if len(names.Zones) != s.Senders.Zones || len(names.Classes) != len(s.Classes) {
			t.Errorf("%s: names %+v", name, names)
		}
	}
}

// The real daemon runs between load and receivers while endpoints crash, refuse, lose answers and are replaced: every
// accepted message finishes, and no message of an at-most-once class takes effect twice.
func TestDaemonUnderLoad(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "eiderhaven")
	if out, err := exec.Command("go", "build", "-o", binary, "eiderhaven/cmd/eiderhaven").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	s, err := scenario.Parse("live", []byte(daemonScenario))
	if err != nil {
		t.Fatal(err)
	}
	receivers, err := NewReceivers(s, 4, "127.0.0.1:0", func(line string) { t.Log(line) })
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); receivers.Run(ctx) }()
	t.Cleanup(func() { stop(); testkit.Receive(t, ended, "end of the receivers") })
	addr := startDaemon(t, binary, s, receivers.DiscoveryAddr())

	load, err := NewLoad(s, LoadOptions{
		Targets: []string{addr}, Seed: 4, IDPrefix: "t", BodyBytes: 64, AnswerTimeout: 2 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	r := load.Run(context.Background())
	if r.Accepted < r.FirstTries/2 || r.FirstTries < 200 {
		t.Fatalf("%d of %d messages accepted: too few for this test", r.Accepted, r.FirstTries)
	}
	testkit.Eventually(t, "did every accepted message finish", func() bool {
		finished := receivers.FinishedIDs()
		for _, id := range r.AcceptedIDs {
			if !finished[id] {
				return false
			}
		}
		return true
	})
	n := receivers.Counts()
	failures := n.Outcomes["turned away"] + n.Outcomes["reset"] + n.Outcomes["served, answer lost"]
	if n.DuplicateEffects > 0 || n.Messages == 0 || failures == 0 {
		t.Errorf("%+v: payments took effect twice, or no fault was met", n)
	}
	t.Logf("load %+v\nreceivers %+v", r.ByStatus, n)
}

// startDaemon runs the daemon until the test ends and returns its address once it is ready.
func startDaemon(t *testing.T, binary string, s *scenario.Scenario, discovery string) string {
	t.Helper()
	addr := testkit.UniqueAddress()
	text, err := Config(s, "n1", addr, discovery)
	if err != nil {
		t.Fatal(err)
	}
	config := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	daemon := exec.Command(binary)
	daemon.Env = append(os.Environ(), "LB_CONFIG="+config, "LB_STATE="+t.TempDir())
	daemon.Stderr = &log
	if err := daemon.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = daemon.Process.Signal(syscall.SIGTERM) // Wait reports if it did not exit cleanly
		if err := daemon.Wait(); err != nil {
			t.Errorf("daemon: %v\n%s", err, &log)
		}
	})
	testkit.Eventually(t, "was the daemon ready", func() bool {
		resp, err := http.Get("http://" + addr + "/health/ready")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		_, _ = io.Copy(io.Discard, resp.Body) // only the status matters
		return resp.StatusCode == 200
	})
	return addr
}

const daemonScenario = `
version = 1
name = "live"
[run]
length = "5s"
[senders]
count = 1
slots = 60
max_held = 500
[traffic]
rate = 120
zipf = 0.3
[[class]]
name = "status"
aim = "500ms"
deadline = "5s"
[[class]]
name = "payment"
effect = "once"
aim = "500ms"
deadline = "5s"
[[kind]]
name = "limited"
destinations = 3
endpoints = [1, 2]
batch = 4
limit = { type = "window", span = "1s", count = 8, tells = 0.7 }
service = { dist = "exponential", mean = "20ms" }
[[kind]]
name = "plain"
destinations = 5
endpoints = [2, 2]
connections = 20
service = { dist = "exponential", mean = "20ms" }
[[trouble]]
kind = "crash"
on = "plain"
at = "1s"
for = "1s"
part = 0.5
[[trouble]]
kind = "lost_answers"
on = "limited"
at = "2s"
for = "2s"
part = 0.4
size = 0.5
[[trouble]]
kind = "drain"
by = "endpoint"
at = "2500ms"
for = "1s"
part = 0.3
extra = "500ms"
[[trouble]]
kind = "surge"
at = "3s"
for = "1s"
size = 2
`

// A sender that answers nothing for 700 ms does not delay the requests that are planned meanwhile, and their latency
// counts from their planned time, so that the stall shows in the figures.
func TestLatencyIncludesSenderStall(t *testing.T) {
	const stallEnd = 700 * time.Millisecond // after the server's start
	started := time.Now()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if elapsed := time.Since(started); elapsed < stallEnd {
			time.Sleep(stallEnd - elapsed)
		}
		w.WriteHeader(http.StatusAccepted)
	})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(ln) }() // ends with Close
	t.Cleanup(func() { server.Close() })
	s := loadScenario(t, "../scenarios/calm.toml", "run.length", "1s", "traffic.rate", "200", "traffic.clumps", "0")
	load, err := NewLoad(s, LoadOptions{
		Targets: []string{ln.Addr().String()}, Seed: 1, MaxConns: 4, AnswerTimeout: 3 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	r := load.Run(context.Background())
	if r.FirstTries < 120 || r.NoAnswer > 0 || r.Accepted != r.FirstTries {
		t.Fatalf("%d submitted, %d accepted, %d without an answer; want about 200, all of them accepted",
			r.FirstTries, r.Accepted, r.NoAnswer)
	}
	// A closed loop over four connections would have stalled only four requests, and the median would not show it.
	if r.P50 < 20 {
		t.Errorf("median %.1f ms: the stall of 700 ms does not show", r.P50)
	}
}

func TestLoadRefusesNonLoopbackTargets(t *testing.T) {
	s := loadScenario(t, "../scenarios/calm.toml")
	for _, addr := range []string{"192.0.2.1:80", "example.org:80", "127.0.0.1"} {
		_, err := NewLoad(s, LoadOptions{Targets: []string{addr}})
		if err == nil || !strings.Contains(err.Error(), "expected") {
			t.Errorf("target %s: %v, want it refused", addr, err)
		}
	}
}
