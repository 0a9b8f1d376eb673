// This file owns the real senders: processes, their configuration and folder, and what is handed in to them. It must never
// leave a process running: each is killed when its step ends, and dies with this program whatever ends it.

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

// sender is one real sender.
type realSender struct {
	index     int
	program   string
	dir       string
	listen    string
	gateway   *gateway
	starter   *process.Starter
	idleConns chan net.Conn // to it

	mu         sync.Mutex
	cmd        *exec.Cmd
	done       chan struct{}
	exitErr    error // why it ended, once done is closed
	killed     bool  // it was told to end
	startedAt  time.Time
	readySince time.Time // ready since
	log        logTail
}

// tail keeps the end of a log.
type logTail struct {
	mu           sync.Mutex
	text         []byte
	counterLines int
}

const logTailBytes = 64 << 10

func (t *logTail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, p...)
	if n := len(t.text) - logTailBytes; n > 0 {
		t.text = append(t.text[:0], t.text[n:]...)
	}
	t.counterLines += strings.Count(string(p), "msg=counters")
	return len(p), nil
}

func (t *logTail) contents() (text string, counters int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.text), t.counterLines
}

// lastWord is the last line of a log that warns or ends.
func (t *logTail) lastProblem() string {
	text, _ := t.contents()
	lines := strings.Split(strings.TrimSpace(text), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		if strings.Contains(lines[i], "level=WARN") || strings.Contains(lines[i], "level=ERROR") || !strings.Contains(lines[i], "level=") {
			_, msg, found := strings.Cut(lines[i], "msg=")
			if !found {
				msg = lines[i]
			}
			return strings.ReplaceAll(msg, `"`, "'")
		}
	}
	return ""
}

// Classes of the messages: one that may run twice, one that may not, one that is held for an hour.
const (
	classSafe = "stock"
	classOnce = "payment"
	classHeld = "archive"
)

const holdTime = time.Hour

// settingsFor is the settings object of the senders of a step.
func senderSettings(p *Plan, s setup) map[string]any {
	var names []string
	for z := range zoneCount {
		names = append(names, zoneName(z))
	}
	class := func(name, effect string, aim, deadline time.Duration) map[string]any {
		return map[string]any{"name": name, "effect": effect, "goal_time_us": aim.Microseconds(), "deadline_us": deadline.Microseconds(), "late_worth": 0.4, "worth": 1}
	}
	return map[string]any{
		"allowed": map[string]any{"connect_timeout_us": 1_000_000, "keepalive_us": 10_000_000, "max_attempts": 12, "max_open": p.maxMessages(),
			"max_retry_after_us": 3_000_000, "may_cancel": true, "peers": false, "retry_after": true},
		"az": 0, "balancers": s.real + s.simulated,
		"extra":   map[string]any{"batch_by_kind": []int{1}, "late": "halving", "routes_apart": []bool{false}, "slots": p.Senders.Slots},
		"flavors": []string{"any"}, "over_share_worth": 0.1, "parties": []any{}, "registry_mode": "push",
		"request_classes": []any{class(classSafe, "idempotent", 2500*time.Millisecond, 16*time.Second),
			class(classOnce, "at_most_once", 2500*time.Millisecond, 16*time.Second), class(classHeld, "idempotent", time.Minute, holdTime)},
		"safety": map[string]any{"cold_share": 0.2, "drain_grace_us": 500_000, "fall_us": 2_000_000, "grace_to_answer_us": 20_000,
			"overload_factor": 2.0, "warm_up_us": 10_000_000},
		"tick_us": 5000, "weights": "rough", "zones": names,
	}
}

// newSender writes a sender's configuration; it has not started.
func newRealSender(p *Plan, s setup, n int, starter *process.Starter, program, dir, listen string, g *gateway) (*realSender, error) {
	one := &realSender{index: n, program: program, dir: filepath.Join(dir, fmt.Sprint("s", n)), listen: listen, gateway: g, starter: starter, idleConns: make(chan net.Conn, maxClientConns)}
	text, err := json.Marshal(map[string]any{
		"name": fmt.Sprint("n", n), "listen": listen, "discovery": g.addr, "seed": fmt.Sprintf("%016x", p.Seed*1000+uint64(n)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": p.Senders.MemoryMB, "sockets": 1024, "disk_mb": p.Senders.DiskMB},
		"known":  map[string]any{"seq": 0, "whole": true, "hosts": []any{}}, "settings": senderSettings(p, s),
	})
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(filepath.Join(one.dir, "state"), 0o755); err != nil {
		return nil, err
	}
	return one, os.WriteFile(filepath.Join(one.dir, "config.json"), text, 0o600)
}

// start starts the process; what is in its folder it takes up.
func (s *realSender) start(ctx context.Context) error {
	cmd := exec.Command(s.program)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+filepath.Join(s.dir, "config.json"), "LB_STATE="+filepath.Join(s.dir, "state"),
		"LB_NAME=", "LB_LISTEN=", "LB_DISCOVERY=", "EIDERHAVEN_TEST_PROCESS=1") // the last lets a test binary be the sender
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

// died tells why the process has ended though nobody told it to.
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

// kill ends the process at once and waits for its end.
func (s *realSender) kill() {
	s.mu.Lock()
	cmd, done := s.cmd, s.done
	s.killed = true
	s.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // it may have ended already
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

// since is when the sender was last started, or has been ready since if it was not at once.
func (s *realSender) startTime() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startedAt
}

// backAt is since when it is ready, zero if it is not.
func (s *realSender) readyTime() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readySince
}

// errSlow tells of a sender that did not get there in the plan's time.
var errNotInTime = errors.New("not in time")

// poll asks until f is true, the sender has died, the limit has passed or the run ends.
func (s *realSender) waitUntil(ctx context.Context, what string, limit time.Duration, f func() bool) error {
	end := time.Now().Add(limit)
	for pause := 2 * time.Millisecond; !f(); pause = min(2*pause, 20*time.Millisecond) {
		if err := s.unexpectedExit(); err != nil {
			return err
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s: %w (%v); its last word: %s", what, errNotInTime, limit, s.log.lastProblem())
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(pause):
		}
	}
	return nil
}

// ready waits until the sender serves clients and returns how long after its start that was.
func (s *realSender) waitReady(ctx context.Context, limit time.Duration) (time.Duration, error) {
	err := s.waitUntil(ctx, "not ready", limit, func() bool {
		r, err := s.request(http1.AppendRequest(nil, "GET", "/health/ready", http1.Header{{Name: "Host", Value: s.listen}}, nil), time.Second)
		return err == nil && r.Status == 200
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.readySince = time.Now()
	}
	return time.Since(s.startedAt), err
}

// clientConns are the connections that clients keep to one sender.
const maxClientConns = 128

// ask makes one request on a kept connection, or on a new one.
func (s *realSender) request(request []byte, wait time.Duration) (*http1.Response, error) {
	var nc net.Conn
	var err error
	select {
	case nc = <-s.idleConns:
	default:
		if nc, err = net.DialTimeout("tcp", s.listen, wait); err != nil {
			return nil, err
		}
	}
	if err := nc.SetDeadline(time.Now().Add(wait)); err != nil {
		nc.Close()
		return nil, err
	}
	if _, err = nc.Write(request); err != nil {
		nc.Close()
		return nil, err
	}
	r, err := http1.ReadResponse(bufio.NewReaderSize(nc, 512), 64<<10)
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

// hand hands a message in and returns the status, 0 for no answer.
func (s *realSender) submit(id, class string, dest int, lasts time.Duration) int {
	fields := http1.Header{{Name: "Host", Value: s.listen}, {Name: "Req-Id", Value: id}, {Name: "Req-Kind", Value: class},
		{Name: "Req-Deadline-Ms", Value: strconv.FormatInt(lasts.Milliseconds(), 10)}, {Name: "Envelope", Value: "dest=" + strconv.Itoa(dest)}}
	r, err := s.request(http1.AppendRequest(nil, "POST", "/"+class, fields, []byte("hello")), 2*time.Second)
	if err != nil {
		return 0
	}
	return r.Status
}

// counters asks the process for its counters and returns the line.
func (s *realSender) requestCounters(ctx context.Context, limit time.Duration) (string, error) {
	_, before := s.log.contents()
	s.mu.Lock()
	err := s.cmd.Process.Signal(syscall.SIGUSR1)
	s.mu.Unlock()
	if err != nil {
		return "", err
	}
	if err := s.waitUntil(ctx, "no counters", limit, func() bool { _, n := s.log.contents(); return n > before }); err != nil {
		return "", err
	}
	text, _ := s.log.contents()
	return text[strings.LastIndex(text, "msg=counters"):], nil
}

// counter reads one figure of a line of counters; false if the line has none of that name.
func parseCounter(line, name string) (float64, bool) {
	m := regexp.MustCompile(regexp.QuoteMeta(name) + `=([0-9.]+)`).FindStringSubmatch(line)
	if m == nil {
		return 0, false
	}
	x, err := strconv.ParseFloat(m[1], 64)
	return x, err == nil
}
