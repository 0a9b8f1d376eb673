package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"eiderhaven/internal/http1"
	"eiderhaven/internal/testkit"
	"eiderhaven/standin/platform"
)

// TestMain lets the test binary be the sender itself, so that processes can be killed.
func TestMain(m *testing.M) {
	if os.Getenv("EIDERHAVEN_TEST_PROCESS") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// place is what surrounds one sender: discovery, an endpoint for destination 7, and a folder that lasts.
type place struct {
	t      testing.TB
	disc   *platform.Discovery
	ep     *platform.Endpoint
	listen string
	state  string
	config string
}

func newPlace(t testing.TB, answer func(id string, call int) *http1.Response) *place {
	t.Helper()
	ep, err := platform.NewEndpoint("127.0.0.1:0", answer)
	if err != nil {
		t.Fatal(err)
	}
	disc, err := platform.NewDiscovery("127.0.0.1:0", platform.Entry{Host: "s-1", Dial: ep.Addr(), Site: "here", Class: "any", Block: 7,
		Health: "Ready"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ep.Close(); disc.Close() })
	p := placeAt(t, disc)
	p.ep = ep
	return p
}

// placeAt is a place for one more sender before the same discovery, with the example's configuration.
func placeAt(t testing.TB, disc *platform.Discovery) *place {
	t.Helper()
	p := &place{t: t, disc: disc, state: t.TempDir(), config: filepath.Join(t.TempDir(), "config.json")}
	p.listen = testkit.UniqueAddress()
	text, err := os.ReadFile("../../example/config.json")
	if err == nil {
		err = os.WriteFile(p.config, text, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	p.configure(func(c map[string]any) {
		c["listen"], c["discovery"], c["known"] = p.listen, disc.Addr(), json.RawMessage(disc.ListJSON())
	})
	return p
}

// configure changes the configuration.
func (p *place) configure(change func(map[string]any)) {
	p.t.Helper()
	var c map[string]any
	text, err := os.ReadFile(p.config)
	if err == nil {
		err = json.Unmarshal(text, &c)
	}
	if err == nil {
		change(c)
		text, err = json.Marshal(c)
	}
	if err == nil {
		err = os.WriteFile(p.config, text, 0o600)
	}
	if err != nil {
		p.t.Fatal(err)
	}
}

// process is a running sender.
type process struct {
	*exec.Cmd
	t    testing.TB
	mu   sync.Mutex
	log  bytes.Buffer
	done chan error
}

func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func (p *process) said() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// launch starts a sender and waits until it is ready.
func (p *place) launch() *process {
	p.t.Helper()
	return p.launchBy(os.Args[0])
}

// launchBy does so by a command that becomes the sender.
func (p *place) launchBy(command ...string) *process {
	p.t.Helper()
	proc := p.startBy(command...)
	testkit.Eventually(p.t, "ready", func() bool {
		r, err := p.ask("GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n")
		return err == nil && r.Status == 200
	})
	return proc
}

// startBy starts a sender and does not wait for it.
func (p *place) startBy(command ...string) *process {
	p.t.Helper()
	proc := &process{Cmd: exec.Command(command[0], command[1:]...), t: p.t, done: make(chan error, 1)}
	proc.Env = append(os.Environ(), "EIDERHAVEN_TEST_PROCESS=1", "GORACE=atexit_sleep_ms=0", "LB_CONFIG="+p.config, "LB_STATE="+p.state)
	proc.Stderr = proc
	if err := proc.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() { proc.done <- proc.Wait() }()
	p.t.Cleanup(func() { proc.Process.Kill() })
	return proc
}

// exit waits for the end of the process and returns its code.
func (p *process) exit() int {
	p.t.Helper()
	select {
	case err := <-p.done:
		var failed *exec.ExitError
		if errors.As(err, &failed) {
			return failed.ExitCode()
		}
		if err != nil {
			p.t.Fatal(err)
		}
		return 0
	case <-time.After(30 * time.Second):
		p.t.Fatal("the sender does not end")
		return 0
	}
}

// ask makes one request on a connection of its own.
func (p *place) ask(text string) (*http1.Response, error) {
	nc, err := net.Dial("tcp", p.listen)
	if err != nil {
		return nil, err
	}
	defer nc.Close()
	if _, err := io.WriteString(nc, text); err != nil {
		return nil, err
	}
	return http1.ReadResponse(bufio.NewReader(nc), 1<<16)
}

// handIn is the request that hands in a message.
func handIn(id, class string, ms int) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Deadline-Ms: %d\r\nEnvelope: dest=7\r\n"+
		"Content-Length: 2\r\n\r\nhi", class, id, class, ms)
}

func (p *place) handIn(id, class string, ms int) {
	p.t.Helper()
	r, err := p.ask(handIn(id, class, ms))
	if err != nil || r.Status != 202 {
		p.t.Fatalf("handing in %s: %+v, %v", id, r, err)
	}
}

func (p *place) notice(id string) string {
	for _, line := range p.disc.Notices() {
		if strings.Contains(line, `"`+id+`"`) {
			return line
		}
	}
	return ""
}

func (p *place) calls(id string) int {
	return strings.Count(" "+strings.Join(p.ep.ReceivedIDs(), "  ")+" ", " "+id+" ")
}

func TestDelivers(t *testing.T) {
	p := newPlace(t, nil)
	proc := p.launch()
	p.handIn("a", "stock", 16000)
	p.handIn("b", "payment", 16000)
	testkit.Eventually(t, "delivered", func() bool { return p.calls("a") == 1 && p.calls("b") == 1 })
	testkit.Eventually(t, "counted", func() bool {
		proc.Process.Signal(syscall.SIGUSR1)
		return strings.Contains(proc.said(), "delivered=2") && strings.Contains(proc.said(), "taken=2")
	})
	if strings.Contains(proc.said(), "phase is=draining") {
		t.Error("SIGUSR1 ends the sender")
	}
}

// Killed with calls out, the sender comes back with what it owes: a repeatable message is sent again, one that must
// not run twice ends as dead, one out of time is bounced. A ledger means the same to either shape of settings.
func TestKilledAndRestarted(t *testing.T) {
	asIs := func(map[string]any) {}
	for name, shapes := range map[string][2]func(map[string]any){
		"as before": {asIs, asIs}, "moved": {asIs, newShape}, "moved back": {newShape, oldShape},
	} {
		t.Run(name, func(t *testing.T) { killedAndRestarted(t, shapes[0], shapes[1]) })
	}
}

func killedAndRestarted(t *testing.T, first, second func(map[string]any)) {
	release := make(chan struct{})
	var once sync.Once
	free := func() { once.Do(func() { close(release) }) }
	p := newPlace(t, func(string, int) *http1.Response {
		<-release
		return &http1.Response{Status: 200}
	})
	defer free()
	p.configure(first)
	proc := p.launch()
	p.handIn("safe", "stock", 16000)
	p.handIn("once", "payment", 16000)
	p.handIn("late", "stock", 300)
	given := time.Now()
	testkit.Eventually(t, "out", func() bool { return p.calls("safe") == 1 && p.calls("once") == 1 && p.calls("late") == 1 })
	proc.Process.Kill()
	proc.exit()
	testkit.Eventually(t, "out of time", func() bool { return time.Since(given) > 300*time.Millisecond })
	free()
	p.configure(second)
	p.launch()
	testkit.Eventually(t, "told", func() bool {
		return p.notice("once") != "" && p.notice("late") != "" || p.notice("late") == "" && p.notice("once") != ""
	})
	if n := p.notice("once"); !strings.Contains(n, `"dead"`) {
		t.Errorf("notice %s, want dead", n)
	}
	if n := p.notice("late"); !strings.Contains(n, `"bounced"`) {
		t.Errorf("notice %s, want bounced", n)
	}
	testkit.Eventually(t, "sent again", func() bool { return p.calls("safe") == 2 })
	if n := p.calls("once"); n != 1 {
		t.Errorf("an at-most-once message was sent %d times", n)
	}
}

// Told to end, the sender goes on taking and delivering, exits with 0 in time, and leaves the rest in the folder.
func TestPlannedRestart(t *testing.T) {
	gate := make(chan int, 1)
	gate <- 503
	p := newPlace(t, func(id string, _ int) *http1.Response {
		status := <-gate
		gate <- status
		return &http1.Response{Status: status}
	})
	proc := p.launch()
	p.handIn("before", "stock", 60000)
	nc, err := net.Dial("tcp", p.listen) // keeps the sender from ending early
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	told := time.Now()
	proc.Process.Signal(syscall.SIGTERM)
	testkit.Eventually(t, "draining", func() bool { return strings.Contains(proc.said(), "is=draining") })
	p.handIn("during", "stock", 60000)
	if code := proc.exit(); code != 0 {
		t.Errorf("exit code %d\n%s", code, proc.said())
	}
	if took := time.Since(told); took > 3700*time.Millisecond {
		t.Errorf("the exit took %v, the platform kills after 3.7 s", took)
	}
	if said := proc.said(); !strings.Contains(said, "held=2") || !strings.Contains(said, "is=stopped") {
		t.Errorf("the last words: %s", said)
	}
	delivered := map[string]int{"before": p.calls("before"), "during": p.calls("during")}
	<-gate
	gate <- 200
	p.launch()
	testkit.Eventually(t, "delivered after the restart", func() bool {
		return p.calls("before") > delivered["before"] && p.calls("during") > delivered["during"]
	})
}

// With nothing held and nobody connected, a sender told to end does not wait out its time.
func TestIdleSenderEndsSoon(t *testing.T) {
	p := newPlace(t, nil)
	proc := p.launch()
	told := time.Now()
	proc.Process.Signal(syscall.SIGTERM)
	if code := proc.exit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	if took := time.Since(told); took >= drainFor {
		t.Errorf("the exit took %v", took)
	}
}

func TestBadConfig(t *testing.T) {
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	good := string(text)
	for name, change := range map[string][2]string{
		"not JSON":        {"{", "["},
		"bad listen":      {"127.0.0.1:9000", "nowhere"},
		"bad seed":        {"8c1f30d27a5be964", "xyz"},
		"no limits":       {`"sockets": 1024`, `"sockets": 0`},
		"no disk":         {`"disk_mb": 3`, `"disk_mb": 0`},
		"bad list":        {`"hosts": []`, `"hosts": [{}]`},
		"no list":         {`"known"`, `"unknown"`},
		"no classes":      {`"request_classes"`, `"classes"`},
		"unknown effect":  {`"idempotent"`, `"sometimes"`},
		"no slots":        {`"slots": 10`, `"slots": 0`},
		"cold over one":   {`"cold_share": 0.2`, `"cold_share": 1.2`},
		"state not there": {"", ""},
	} {
		dir := t.TempDir()
		path := filepath.Join(dir, "config.json")
		bad := strings.Replace(good, change[0], change[1], 1)
		if bad == good && name != "state not there" {
			t.Fatalf("%s: nothing to change", name)
		}
		if err := os.WriteFile(path, []byte(bad), 0o600); err != nil {
			t.Fatal(err)
		}
		state := dir
		if name == "state not there" {
			state = filepath.Join(dir, "none")
		}
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "EIDERHAVEN_TEST_PROCESS=1", "GORACE=atexit_sleep_ms=0", "LB_CONFIG="+path, "LB_STATE="+state)
		var stderr bytes.Buffer
		cmd.Stderr = &stderr
		var failed *exec.ExitError
		if err := cmd.Run(); !errors.As(err, &failed) || failed.ExitCode() == 0 {
			t.Errorf("%s: ended with %v", name, err)
		}
		if out := stderr.String(); strings.Count(out, "\n") != 1 || !strings.HasPrefix(out, "eiderhaven: ") {
			t.Errorf("%s: stderr %q, want one line", name, out)
		}
	}
}

func TestEnvironmentWins(t *testing.T) {
	env := map[string]string{"LB_CONFIG": "../../example/config.json", "LB_STATE": "x", "LB_NAME": "other", "LB_LISTEN": "127.0.0.1:1"}
	c, err := loadConfig(func(name string) string { return env[name] })
	if err != nil {
		t.Fatal(err)
	}
	if c.name != "other" || c.listen != "127.0.0.1:1" || c.discovery != "127.0.0.1:8500" || c.state != "x" {
		t.Errorf("got %+v", c)
	}
}

// Killed again and again at whatever byte it has reached, the sender loses nothing that it took on: each message
// reaches the endpoint or is ended by a notice, and none that must not run twice arrives twice.
func TestKilledAgainAndAgain(t *testing.T) {
	p := newPlace(t, nil)
	taken := map[string]bool{}
	var mu sync.Mutex
	for round := range 5 {
		proc := p.launch()
		var wg sync.WaitGroup
		for i := range 20 {
			class := []string{"stock", "payment"}[i%2]
			id := fmt.Sprintf("%s-%d-%d", class, round, i)
			wg.Go(func() {
				r, err := p.ask(handIn(id, class, 16000))
				if err == nil && r.Status == 202 {
					mu.Lock()
					taken[id] = true
					mu.Unlock()
				}
			})
		}
		want := len(p.ep.ReceivedIDs()) + round*4 // a different moment each time
		testkit.Eventually(t, "under way", func() bool { return len(p.ep.ReceivedIDs()) >= want })
		proc.Process.Kill()
		proc.exit()
		wg.Wait()
	}
	p.launch()
	testkit.Eventually(t, "all at their end", func() bool {
		for id := range taken {
			if p.calls(id) == 0 && p.notice(id) == "" {
				return false
			}
		}
		return true
	})
	if len(taken) < 10 {
		t.Errorf("only %d messages taken on: the test shows little", len(taken))
	}
	for _, id := range p.ep.ReceivedIDs() {
		if n := p.calls(id); strings.HasPrefix(id, "payment") && n > 1 {
			t.Errorf("%s arrived %d times", id, n)
		}
	}
}

// With no descriptor left the sender serves who is connected, and everybody again once there are some.
func TestOutOfDescriptors(t *testing.T) {
	p := newPlace(t, nil)
	proc := p.launchBy("/bin/sh", "-c", `ulimit -n 24; exec "$0"`, os.Args[0])
	var conns []net.Conn
	defer func() {
		for _, nc := range conns {
			nc.Close()
		}
	}()
	for range 40 {
		nc, err := net.Dial("tcp", p.listen)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, nc)
	}
	testkit.Eventually(t, "short of descriptors", func() bool { return strings.Contains(proc.said(), "could not be accepted") })
	if _, err := io.WriteString(conns[0], handIn("early", "stock", 16000)); err != nil {
		t.Fatal(err)
	}
	if r, err := http1.ReadResponse(bufio.NewReader(conns[0]), 1<<16); err != nil || r.Status != 202 {
		t.Errorf("a connected client: %+v, %v", r, err)
	}
	for _, nc := range conns {
		nc.Close()
	}
	testkit.Eventually(t, "served again", func() bool {
		r, err := p.ask(handIn("late", "stock", 16000))
		return err == nil && (r.Status == 202 || r.Status == 409)
	})
	testkit.Eventually(t, "delivered", func() bool { return p.calls("early") > 0 && p.calls("late") > 0 })
}

// A client that goes on handing in over a kept connection while the sender ends gets an answer to each request, until
// the connection is closed between two; what was taken on is delivered by the sender or by the next process.
func TestEndingUnderLoad(t *testing.T) {
	p := newPlace(t, nil)
	proc := p.launch()
	nc, err := net.Dial("tcp", p.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	br := bufio.NewReader(nc)
	var taken []string
	late := 0 // of them, after the signal
	for n := 0; ; n++ {
		if n == 20 {
			proc.Process.Signal(syscall.SIGTERM)
		}
		id := fmt.Sprintf("load-%d", n)
		if _, err := io.WriteString(nc, handIn(id, "payment", 60000)); err != nil {
			break
		}
		r, err := http1.ReadResponse(br, 1<<16)
		if err != nil {
			if r != nil {
				t.Errorf("request %d: half an answer: %v", n, err)
			}
			break // the closing crossed the request
		}
		if r.Status == 202 {
			taken = append(taken, id)
			if n >= 20 {
				late++
			}
		} else if r.Status != 429 {
			t.Errorf("request %d: status %d", n, r.Status)
		}
		if r.Close {
			break
		}
		time.Sleep(5 * time.Millisecond) // only paces the load
	}
	if code := proc.exit(); code != 0 {
		t.Errorf("exit code %d\n%s", code, proc.said())
	}
	if late == 0 {
		t.Errorf("of %d messages taken on none came after the signal", len(taken))
	}
	p.launch()
	for _, id := range taken {
		testkit.Eventually(t, id+" at its end", func() bool { return p.calls(id) > 0 || p.notice(id) != "" })
		if got := p.calls(id); got > 1 {
			t.Errorf("%s, which must not run twice, arrived %d times", id, got)
		}
	}
}

// Told to read its configuration again, the sender follows the discovery named there, though the environment names
// the one at its start; calls and notices go by the new one, also while it drains. A bad file changes nothing.
func TestConfigurationReadAgain(t *testing.T) {
	p := newPlace(t, nil)
	t.Setenv("LB_DISCOVERY", p.disc.Addr())
	ep, err := platform.NewEndpoint("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer ep.Close()
	entry := platform.Entry{Host: "s-2", Dial: ep.Addr(), Site: "here", Class: "any", Block: 7, Health: "Ready"}
	second, err := platform.NewDiscovery("127.0.0.1:0", entry)
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	proc := p.launch()
	p.handIn("before", "stock", 16000)
	testkit.Eventually(t, "delivered by the first list", func() bool { return p.calls("before") == 1 })

	text, err := os.ReadFile(p.config)
	if err != nil {
		t.Fatal(err)
	}
	for _, bad := range []struct{ text, says string }{
		{string(text[:len(text)/2]), "unexpected end"},
		{strings.NewReplacer(p.disc.Addr(), second.Addr(), `"weights":"rough"`, `"weights":"exact"`).Replace(string(text)), "weights is"},
	} {
		if err := os.WriteFile(p.config, []byte(bad.text), 0o600); err != nil {
			t.Fatal(err)
		}
		proc.Process.Signal(syscall.SIGHUP)
		testkit.Eventually(t, "told of the bad file", func() bool {
			return strings.Contains(proc.said(), "cannot be used") && strings.Contains(proc.said(), bad.says)
		})
		id := "still-" + bad.says[:6]
		p.handIn(id, "stock", 16000)
		testkit.Eventually(t, "delivered by the old list", func() bool { return p.calls(id) == 1 })
	}

	if err := os.WriteFile(p.config, text, 0o600); err != nil {
		t.Fatal(err)
	}
	mute, err := platform.ListenRaw("127.0.0.1:0", func(nc net.Conn) { io.Copy(io.Discard, nc) }) // never answers
	if err != nil {
		t.Fatal(err)
	}
	defer mute.Close()
	p.configure(func(c map[string]any) { c["discovery"] = mute.Addr() })
	proc.Process.Signal(syscall.SIGHUP)
	testkit.Eventually(t, "asks where nobody answers", func() bool { return mute.OpenConnections() > 0 })
	p.handIn("meanwhile", "stock", 16000)
	testkit.Eventually(t, "delivered by the old list", func() bool { return p.calls("meanwhile") == 1 })
	p.configure(func(c map[string]any) { c["discovery"] = second.Addr() })
	proc.Process.Signal(syscall.SIGHUP)
	proc.Process.Signal(syscall.SIGHUP)
	testkit.Eventually(t, "gone from the old address", func() bool { return second.AcceptedConnections() > 0 && p.disc.OpenConnections() == 0 })
	testkit.Eventually(t, "delivered by the new list", func() bool {
		p.handIn(fmt.Sprint("after-", time.Now().UnixNano()), "stock", 16000)
		return len(ep.ReceivedIDs()) > 0
	})
	second.SetList() // nobody serves the destination any more
	p.handIn("late", "stock", 300)
	testkit.Eventually(t, "notice to the new address", func() bool { return strings.Contains(fmt.Sprint(second.Notices()), `"late"`) })

	nc, err := net.Dial("tcp", p.listen) // keeps the sender from ending early
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	proc.Process.Signal(syscall.SIGTERM)
	testkit.Eventually(t, "draining", func() bool { return strings.Contains(proc.said(), "is=draining") })
	p.configure(func(c map[string]any) { c["discovery"] = p.disc.Addr() })
	proc.Process.Signal(syscall.SIGHUP)
	testkit.Eventually(t, "back at the first address", func() bool { return p.disc.OpenConnections() > 0 })
	if code := proc.exit(); code != 0 {
		t.Errorf("exit code %d\n%s", code, proc.said())
	}
}
