// This file owns what every case shares: the record, the sender's process and its configuration.

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is one run of a case.
type world struct {
	root    string // of the repository
	dir     string // temporary
	trouble string // 1: the disruption, 0: none, else a part of it
	began   time.Time
	random  *rand.Rand // guarded by mu

	mu     sync.Mutex
	record *os.File

	senders []*sender
}

func newWorld(root, recordPath, trouble string, seed uint64) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	return &world{root: root, dir: dir, trouble: trouble, began: time.Now(), record: f,
		random: rand.New(rand.NewPCG(seed, 62))}, nil
}

// close ends all senders and removes the temporary directory.
func (w *world) close() {
	for _, s := range w.senders {
		s.signal(syscall.SIGKILL)
		s.wait()
	}
	os.RemoveAll(w.dir)
	w.record.Close()
}

// draw returns a random number from 0 to 1.
func (w *world) draw() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64()
}

// between draws a time.
func (w *world) between(from, to time.Duration) time.Duration {
	return from + time.Duration(w.draw()*float64(to-from))
}

// workTime draws the time that an endpoint of usual pace takes for a message of stourside-depot.
func (w *world) workTime(id string) time.Duration {
	if id[0] == 'p' {
		return w.between(150*time.Millisecond, 270*time.Millisecond)
	}
	return w.between(92*time.Millisecond, 160*time.Millisecond)
}

// drawClass draws the class of a message by their shares at stourside-depot.
func (w *world) drawClass() string {
	if w.draw() < 0.41 {
		return "order-payment"
	}
	return "stock-status"
}

// note writes a line to the record, with the seconds since the begin.
func (w *world) note(format string, args ...any) {
	w.noteAt(time.Now(), format, args...)
}

func (w *world) noteAt(at time.Time, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", at.Sub(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// freeAddr returns a loopback address with a port that is free now.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// class is a message class of the settings.
type class struct {
	Name     string  `json:"name"`
	Effect   string  `json:"effect"`
	Scope    string  `json:"dedup_scope"`
	Window   int64   `json:"window_us"`
	Goal     int64   `json:"goal_time_us"`
	Deadline int64   `json:"deadline_us"`
	Late     float64 `json:"late_worth"`
	Worth    float64 `json:"worth"`
	Streamed bool    `json:"streamed"`
}

// setup is what differs between the deployments of the cases.
type setup struct {
	senders  int // in the fleet
	slots    int
	maxOpen  int
	attempts int
	classes  []class
	kinds    []string
	batch    []int
	sockets  int
	memoryMB float64
	diskMB   float64
	weights  string
	retry    bool // refusals may carry Retry-After
	late     string
	zone     string
	connect  time.Duration
	idle     time.Duration
	drain    time.Duration
	fall     float64
}

// depot returns the setup of a sender of stourside-depot: one of two, with 24 messages a second at full load.
func depot(deadline time.Duration) setup {
	return setup{
		senders: 2, slots: 8, maxOpen: 140, attempts: 12, classes: depotClasses(deadline),
		kinds: []string{"bulk-partners", "all-partners"}, batch: []int{5, 1}, sockets: 1024, memoryMB: 192, diskMB: 3,
		weights: "rough", retry: true, late: "halving", zone: "brierley-hill", connect: time.Second, idle: 10 * time.Second,
		drain: 500 * time.Millisecond, fall: 2,
	}
}

// ljubljana returns the setup of a sender of asi-ljubljana: one of two, with 24 messages a second at full load.
func ljubljana() setup {
	return setup{
		senders: 2, slots: 14, maxOpen: 140, attempts: 12, classes: []class{
			{Name: "standings", Effect: "idempotent", Scope: "all", Window: 5_000_000, Goal: 800_000, Deadline: 6_000_000,
				Late: 0.1, Worth: 1},
			{Name: "payment", Effect: "at_most_once", Scope: "all", Window: 5_000_000, Goal: 4_000_000, Deadline: 16_000_000,
				Late: 0.3, Worth: 2},
		},
		kinds: []string{"hub", "club"}, batch: []int{10, 1}, sockets: 1024, memoryMB: 192, diskMB: 3,
		weights: "silent", retry: true, late: "linear", zone: "north-hall", connect: 1500 * time.Millisecond,
		idle: 5 * time.Second, drain: 2 * time.Second, fall: 1.5,
	}
}

// depotClasses are the classes of stourside-depot.
func depotClasses(deadline time.Duration) []class {
	return []class{
		{Name: "stock-status", Effect: "idempotent", Scope: "all", Window: 5_000_000, Goal: 2_500_000,
			Deadline: deadline.Microseconds(), Late: 0.4, Worth: 2},
		{Name: "order-payment", Effect: "at_most_once", Scope: "all", Window: 5_000_000, Goal: 2_500_000,
			Deadline: deadline.Microseconds(), Late: 0.4, Worth: 1},
	}
}

func (s setup) config(name, listen, discovery string, known any) []byte {
	apart := make([]bool, len(s.kinds))
	settings := map[string]any{
		"allowed": map[string]any{
			"connect_timeout_us": s.connect.Microseconds(), "keepalive_us": s.idle.Microseconds(), "max_attempts": s.attempts, "max_open": s.maxOpen,
			"max_retry_after_us": 3_000_000, "may_cancel": true, "peers": false, "retry_after": s.retry,
			"second_copies": true,
		},
		"az": 0, "balancers": s.senders,
		"extra": map[string]any{
			"batch_by_kind": s.batch, "late": s.late, "routes_apart": apart, "slots": s.slots, "toll": []float64{0},
		},
		"family": "deliver", "flavors": s.kinds, "over_share_worth": 0.1, "parties": []any{},
		"registry_mode": "push", "request_classes": s.classes,
		"safety": map[string]any{
			"ask_every_us": 10_000_000, "cold_share": 0.17, "drain_grace_us": s.drain.Microseconds(), "fall_us": 2_000_000,
			"grace_to_answer_us": 20_000, "overload_factor": s.fall, "warm_up_us": 9_800_000,
		},
		"tick_us": 5000, "weights": s.weights, "zones": []string{s.zone},
	}
	text, err := json.MarshalIndent(map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": s.memoryMB, "sockets": s.sockets, "disk_mb": s.diskMB},
		"known":  known, "settings": settings,
	}, "", " ")
	if err != nil {
		panic(err) // plain values always encode
	}
	return text
}

// sender is one sender, over its restarts.
type sender struct {
	w          *world
	name       string
	listen     string
	configPath string
	state      string
	logPath    string
	cmd        *exec.Cmd
	exited     chan struct{}
	endedErr   error
	starts     int
	expected   bool // its end was asked for
}

// addSender writes the configuration of a sender. Call start next.
func (w *world) addSender(name string, s setup, discovery string, known any) (*sender, error) {
	listen, err := freeAddr()
	if err != nil {
		return nil, err
	}
	dir := filepath.Join(w.dir, name)
	x := &sender{w: w, name: name, listen: listen, configPath: filepath.Join(dir, "config.json"),
		state: filepath.Join(dir, "state"), logPath: filepath.Join(dir, "log")}
	if err := os.MkdirAll(x.state, 0o700); err != nil {
		return nil, err
	}
	if err := os.WriteFile(x.configPath, s.config(name, listen, discovery, known), 0o600); err != nil {
		return nil, err
	}
	w.senders = append(w.senders, x)
	return x, nil
}

// runCommand returns the command that the deploy file names for a sender.
func (w *world) runCommand() (string, error) {
	text, err := os.ReadFile(filepath.Join(w.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if m == nil {
		return "", errors.New("deploy/balancer.toml: no run line")
	}
	return string(m[1]), nil
}

// start starts a process by the deploy file's command and waits until it is ready.
func (s *sender) start() error {
	run, err := s.w.runCommand()
	if err != nil {
		return err
	}
	logFile, err := os.OpenFile(s.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	s.cmd = exec.Command("/bin/sh", "-c", run)
	s.cmd.Dir = s.w.root
	s.cmd.Env = append(os.Environ(), "LB_CONFIG="+s.configPath, "LB_STATE="+s.state, "LB_NAME="+s.name,
		"LB_LISTEN="+s.listen, "LB_DISCOVERY=", "LB_LOG_LEVEL=debug")
	s.cmd.Stderr = logFile
	// The process ends with this one, whatever ends this one.
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s.expected = false
	if err := s.cmd.Start(); err != nil {
		return err
	}
	s.starts++
	s.exited = make(chan struct{})
	cmd, exited := s.cmd, s.exited
	go func() {
		s.endedErr = cmd.Wait()
		close(exited)
	}()
	s.w.note("sender %s: process %d started", s.name, s.starts)
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		select {
		case <-exited:
			return fmt.Errorf("sender %s ended at its start: %v: %s", s.name, s.endedErr, s.logTail())
		default:
		}
		resp, err := client.Get("http://" + s.listen + "/health/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			s.w.note("sender %s: ready", s.name)
			return nil
		}
	}
	return fmt.Errorf("sender %s was not ready within 10 s: %s", s.name, s.logTail())
}

func (s *sender) logTail() string {
	text, _ := os.ReadFile(s.logPath)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-5):], " | ")
}

// signal sends a signal to the latest process if it runs.
func (s *sender) signal(sig syscall.Signal) {
	if s.cmd == nil || s.cmd.Process == nil {
		return
	}
	select {
	case <-s.exited:
		return
	default:
	}
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		s.expected = true
	}
	s.cmd.Process.Signal(sig)
}

func (s *sender) wait() {
	if s.exited != nil {
		<-s.exited
	}
}

// kill kills the latest process and waits for its end.
func (s *sender) kill() {
	s.signal(syscall.SIGKILL)
	s.wait()
	s.w.note("sender %s: killed", s.name)
}

// logLines returns the lines of the log that match, as an aid in the record.
func (s *sender) logLines(pattern string) []string {
	text, _ := os.ReadFile(s.logPath)
	re := regexp.MustCompile(pattern)
	var found []string
	for line := range strings.Lines(string(text)) {
		if re.MatchString(line) {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}
