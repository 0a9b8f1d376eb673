// This file owns the real senders: their processes, configurations and state directories, and the clients that submit
// messages to them. It must never leave a process running: each is killed when its step ends, and dies with this
// program whatever ends it.

package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"eiderhaven/internal/http1"
	"eiderhaven/lab/process"
)

// realSender is a sender daemon and its clients.
type realSender struct {
	index     int
	program   string
	dir       string // of its configuration and state
	listen    string // address of the process
	gateway   *gateway
	starter   *process.Starter
	idleConns chan net.Conn // connections of clients to the process, to be used again

	mu         sync.Mutex
	cmd        *exec.Cmd
	done       chan struct{}
	exitErr    error // why the process ended, set before done is closed
	killed     bool  // by this program
	startedAt  time.Time
	readySince time.Time // zero while it is not ready
	log        logTail
}

// logTail keeps the end of a process's log.
type logTail struct {
	mu           sync.Mutex
	text         []byte
	counterLines int // in the whole log
}

const (
	logTailBytes = 64 << 10

	// countersMessage marks the log lines with a daemon's counters.
	countersMessage = "msg=counters"
)

func (t *logTail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, p...)
	if n := len(t.text) - logTailBytes; n > 0 {
		t.text = append(t.text[:0], t.text[n:]...)
	}
	t.counterLines += strings.Count(string(p), countersMessage)
	return len(p), nil
}

// contents returns the end of the log, and how many lines with counters the whole log has had.
func (t *logTail) contents() (text string, counters int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.text), t.counterLines
}

// lastProblem returns the message of the last line that is a warning, an error or not a log line at all, such as a
// panic.
func (t *logTail) lastProblem() string {
	text, _ := t.contents()
	lines := strings.Split(strings.TrimSpace(text), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		line := lines[i]
		isProblem := strings.Contains(line, "level=WARN") || strings.Contains(line, "level=ERROR")
		if isProblem || !strings.Contains(line, "level=") {
			_, msg, found := strings.Cut(line, "msg=")
			if !found {
				msg = line
			}
			return strings.ReplaceAll(msg, `"`, "'")
		}
	}
	return ""
}

// Classes of the messages.
const (
	classSafe = "stock"   // may be delivered twice
	classOnce = "payment" // must not be delivered twice
	classHeld = "archive" // may be held for holdTime
)

const holdTime = time.Hour

// realSeedFactor keeps the seeds of real senders of plans with different seeds apart.
const realSeedFactor = 1000

// senderSettings returns the settings object of the senders of a step.
func senderSettings(p *Plan, s setup) map[string]any {
	var names []string
	for z := range zoneCount {
		names = append(names, zoneName(z))
	}
	class := func(name, effect string, aim, deadline time.Duration) map[string]any {
		return map[string]any{
			"name": name, "effect": effect,
			"goal_time_us": aim.Microseconds(), "deadline_us": deadline.Microseconds(),
			"late_worth": 0.4, "worth": 1,
		}
	}
	return map[string]any{
		"allowed": map[string]any{
			"connect_timeout_us": 1_000_000, "keepalive_us": 10_000_000, "max_attempts": 12,
			"max_open": p.maxMessages(), "max_retry_after_us": 3_000_000,
			"may_cancel": true, "peers": false, "retry_after": true,
		},
		"az":        0,
		"balancers": s.real + s.simulated,
		"extra": map[string]any{
			"batch_by_kind": []int{1}, "late": "halving", "routes_apart": []bool{false}, "slots": p.Senders.Slots,
		},
		"flavors":          []string{"any"},
		"over_share_worth": 0.1,
		"parties":          []any{},
		"registry_mode":    "push",
		"request_classes": []any{
			class(classSafe, "idempotent", 2500*time.Millisecond, 16*time.Second),
			class(classOnce, "at_most_once", 2500*time.Millisecond, 16*time.Second),
			class(classHeld, "idempotent", time.Minute, holdTime),
		},
		"safety": map[string]any{
			"cold_share": 0.2, "drain_grace_us": 500_000, "fall_us": 2_000_000, "grace_to_answer_us": 20_000,
			"overload_factor": 2.0, "warm_up_us": 10_000_000,
		},
		"tick_us": 5000,
		"weights": "rough",
		"zones":   names,
	}
}

// newRealSender writes a sender's configuration. It does not start the process.
func newRealSender(p *Plan, st setup, index int, starter *process.Starter, program, dir, listen string,
	g *gateway) (*realSender, error) {
	s := &realSender{
		index: index, program: program, dir: filepath.Join(dir, fmt.Sprint("s", index)), listen: listen,
		gateway: g, starter: starter, idleConns: make(chan net.Conn, maxClientConns),
	}
	config, err := json.Marshal(map[string]any{
		"name": fmt.Sprint("n", index), "listen": listen, "discovery": g.addr,
		"seed": fmt.Sprintf("%016x", p.Seed*realSeedFactor+uint64(index)),
		"limits": map[string]any{
			"cores": 1.0, "memory_mb": p.Senders.MemoryMB, "sockets": 1024, "disk_mb": p.Senders.DiskMB,
		},
		"known":    map[string]any{"seq": 0, "whole": true, "hosts": []any{}},
		"settings": senderSettings(p, st),
	})
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(s.stateDir(), 0o755); err != nil {
		return nil, err
	}
	return s, os.WriteFile(s.configPath(), config, 0o600)
}

func (s *realSender) stateDir() string   { return filepath.Join(s.dir, "state") }
func (s *realSender) configPath() string { return filepath.Join(s.dir, "config.json") }

// start starts the process, which recovers what is in its state directory.
func (s *realSender) start(ctx context.Context) error {
	cmd := exec.Command(s.program)
	cmd.Env = append(os.Environ(),
		"LB_CONFIG="+s.configPath(),
		"LB_STATE="+s.stateDir(),
		"LB_NAME=", "LB_LISTEN=", "LB_DISCOVERY=", // the configuration has these
		"EIDERHAVEN_TEST_PROCESS=1", // lets a test binary act as the sender
	)
	cmd.Stderr = &s.log
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedAt, s.readySince = time.Now(), time.Time{}
	if err := s.starter.Start(ctx, cmd); err != nil {
		return fmt.Errorf("%s: %w", s.program, err)
	}
	done := make(chan struct{})
	s.cmd, s.done, s.killed, s.exitErr = cmd, done, false, nil
	go func() {
		err := cmd.Wait()
		s.mu.Lock()
		if s.cmd == cmd {
			s.exitErr = errors.New("ended")
			if err != nil {
				s.exitErr = err
			}
		}
		s.mu.Unlock()
		close(done)
	}()
	return nil
}

// unexpectedExit returns why the process has ended without being killed by this program, nil if it has not.
func (s *realSender) unexpectedExit() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.exitErr == nil || s.killed {
		return nil
	}
	return fmt.Errorf("the process died: %w", s.exitErr)
}

func (s *realSender) pid() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cmd.Process.Pid
}

// kill ends the process with SIGKILL and waits for its end.
func (s *realSender) kill() {
	s.mu.Lock()
	cmd, done := s.cmd, s.done
	s.killed = true
	s.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // the process may have ended already
	<-done
	for {
		select {
		case nc := <-s.idleConns:
			nc.Close()
		default:
			return
		}
	}
}

// startTime returns when the process was last started.
func (s *realSender) startTime() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startedAt
}

// readyTime returns since when the process is ready, zero if it is not.
func (s *realSender) readyTime() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readySince
}

// errNotInTime is the error of a sender that exceeded a time limit.
var errNotInTime = errors.New("not in time")

// Pauses between two checks of a condition. They double from the first to the last.
const (
	minPollPause = 2 * time.Millisecond
	maxPollPause = 20 * time.Millisecond
)

// waitUntil waits until the condition holds, the process has exited, the limit has passed or the run ends. problem
// describes the unmet condition in the error.
func (s *realSender) waitUntil(ctx context.Context, problem string, limit time.Duration, condition func() bool) error {
	end := time.Now().Add(limit)
	for pause := minPollPause; !condition(); pause = min(2*pause, maxPollPause) {
		if err := s.unexpectedExit(); err != nil {
			return err
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s: %w (%v); last problem in its log: %s",
				problem, errNotInTime, limit, s.log.lastProblem())
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(pause):
		}
	}
	return nil
}

// waitReady waits until the process serves clients, and returns how long after its start that was.
func (s *realSender) waitReady(ctx context.Context, limit time.Duration) (time.Duration, error) {
	err := s.waitUntil(ctx, "not ready", limit, func() bool {
		header := http1.Header{{Name: "Host", Value: s.listen}}
		r, err := s.request(http1.AppendRequest(nil, "GET", "/health/ready", header, nil), healthTimeout)
		return err == nil && r.Status == statusOK
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.readySince = time.Now()
	}
	return time.Since(s.startedAt), err
}

// maxClientConns is how many connections clients keep open to one sender.
const maxClientConns = 128

// HTTP statuses of a sender's answers.
const (
	statusOK       = 200
	statusAccepted = 202 // the sender will deliver the message or send a notice
)

const (
	healthTimeout = time.Second     // of a request for the process's health
	submitTimeout = 2 * time.Second // of a request that submits a message

	responseBuffer  = 512      // bytes
	maxResponseBody = 64 << 10 // bytes
)

// request sends one request over an idle connection, or over a new one.
func (s *realSender) request(request []byte, timeout time.Duration) (*http1.Response, error) {
	var nc net.Conn
	var err error
	select {
	case nc = <-s.idleConns:
	default:
		if nc, err = net.DialTimeout("tcp", s.listen, timeout); err != nil {
			return nil, err
		}
	}
	if err := nc.SetDeadline(time.Now().Add(timeout)); err != nil {
		nc.Close()
		return nil, err
	}
	if _, err = nc.Write(request); err != nil {
		nc.Close()
		return nil, err
	}
	r, err := http1.ReadResponse(bufio.NewReaderSize(nc, responseBuffer), maxResponseBody)
	if err != nil || r.Close {
		nc.Close()
		return r, err
	}
	select {
	case s.idleConns <- nc:
	default:
		nc.Close()
	}
	return r, nil
}

// submit submits a message and returns the status, 0 if there was no answer.
func (s *realSender) submit(id, class string, dest int, lifetime time.Duration) int {
	header := http1.Header{
		{Name: "Host", Value: s.listen},
		{Name: "Req-Id", Value: id},
		{Name: "Req-Kind", Value: class},
		{Name: "Req-Deadline-Ms", Value: strconv.FormatInt(lifetime.Milliseconds(), 10)},
		{Name: "Envelope", Value: "dest=" + strconv.Itoa(dest)},
	}
	r, err := s.request(http1.AppendRequest(nil, "POST", "/"+class, header, []byte("hello")), submitTimeout)
	if err != nil {
		return 0
	}
	return r.Status
}

// requestCounters makes the process log its counters, which SIGUSR1 does, and returns the line.
func (s *realSender) requestCounters(ctx context.Context, limit time.Duration) (string, error) {
	_, before := s.log.contents()
	s.mu.Lock()
	err := s.cmd.Process.Signal(syscall.SIGUSR1)
	s.mu.Unlock()
	if err != nil {
		return "", err
	}
	logged := func() bool {
		_, lines := s.log.contents()
		return lines > before
	}
	if err := s.waitUntil(ctx, "no counters", limit, logged); err != nil {
		return "", err
	}
	text, _ := s.log.contents()
	return text[strings.LastIndex(text, countersMessage):], nil
}

// parseCounter returns one counter of a log line with counters; false if the line has none of that name.
func parseCounter(line, name string) (float64, bool) {
	match := regexp.MustCompile(regexp.QuoteMeta(name) + `=([0-9.]+)`).FindStringSubmatch(line)
	if match == nil {
		return 0, false
	}
	value, err := strconv.ParseFloat(match[1], 64)
	return value, err == nil
}
