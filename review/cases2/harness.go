// This file owns the processes and files of a case: the record, the temporary folder, and the senders.

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// harness is what a case runs in.
type harness struct {
	dir     string // temporary
	run     string // of the deploy file
	began   time.Time
	mu      sync.Mutex
	record  *os.File
	limits  map[string]any // of the senders
	senders []*sender
	closers []func()

	accepted atomic.Int64 // messages that a client heard were taken on
}

func newHarness(recordPath string) (*harness, error) {
	run, err := deployLine("deploy/balancer.toml", "run")
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "eiderhaven-case-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	limits := map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
	return &harness{dir: dir, run: run, began: time.Now(), record: record, limits: limits}, nil
}

// deployLine returns a text value of the deploy file.
func deployLine(path, key string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, key+" = "); found {
			return strings.Trim(strings.TrimSpace(value), `"`), nil
		}
	}
	return "", fmt.Errorf("%s: no line %q", path, key)
}

// note writes a line to the record, with the seconds since the begin of the case.
func (h *harness) note(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fmt.Fprintf(h.record, "%9.4f  %s\n", time.Since(h.began).Seconds(), fmt.Sprintf(format, args...))
}

// unfit returns why a play without a finding shows nothing: no message was taken on, or a sender has ended by itself.
func (h *harness) unfit() error {
	if h.accepted.Load() == 0 {
		return errors.New("no message was taken on")
	}
	h.mu.Lock()
	senders := h.senders
	h.mu.Unlock()
	for _, s := range senders {
		if ended, how := s.hasEnded(); ended {
			return fmt.Errorf("sender %s has ended: %w", s.name, how)
		}
	}
	return nil
}

// onClose adds something to be done at the end of the case.
func (h *harness) onClose(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closers = append(h.closers, f)
}

// close ends all processes and servers of the case.
func (h *harness) close() {
	h.mu.Lock()
	senders, closers := h.senders, h.closers
	h.mu.Unlock()
	for _, s := range senders {
		s.kill()
	}
	for _, f := range closers {
		f()
	}
	h.record.Close()
	os.RemoveAll(h.dir)
}

// serve starts an HTTP server on a free loopback port and returns its address.
func (h *harness) serve(handler http.Handler) (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go server.Serve(ln) // ends with Close
	h.onClose(func() { server.Close() })
	return ln.Addr().String(), nil
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// sender is one sender process with its folder and configuration.
type sender struct {
	h             *harness
	name, address string
	config, state string
	mu            sync.Mutex
	cmd           *exec.Cmd
	ended         chan struct{} // closed when the present process has ended
	endedHow      error         // why, once ended is closed
}

// newSender prepares a sender. The platform is where it asks for its list, settings is the object of that name in its
// configuration.
func (h *harness) newSender(name, discovery string, known any, settings map[string]any) (*sender, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	s := &sender{
		h: h, name: name, address: address,
		config: filepath.Join(h.dir, name+".json"), state: filepath.Join(h.dir, name+"-state"),
	}
	if err := os.Mkdir(s.state, 0o700); err != nil {
		return nil, err
	}
	text, err := json.MarshalIndent(map[string]any{
		"name": name, "listen": address, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": h.limits, "known": known, "settings": settings,
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(s.config, text, 0o600); err != nil {
		return nil, err
	}
	h.mu.Lock()
	h.senders = append(h.senders, s)
	h.mu.Unlock()
	return s, nil
}

// start starts the sender's process by the deploy file's run line, with its log in a file of the temporary folder, or
// with stderr if that is not nil. It waits until the sender is ready.
func (s *sender) start(stderr *os.File) error {
	cmd := exec.Command("/bin/sh", "-c", s.h.run)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+s.config, "LB_STATE="+s.state)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(s.h.dir, s.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	if stderr != nil {
		cmd.Stderr = stderr
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	s.mu.Lock()
	s.cmd, s.ended = cmd, ended
	s.mu.Unlock()
	go func() {
		err := cmd.Wait()
		s.mu.Lock()
		s.endedHow = err
		s.mu.Unlock()
		close(ended)
	}()
	s.h.note("sender %s started, process %d, address %s", s.name, cmd.Process.Pid, s.address)
	return s.awaitReady()
}

// awaitReady waits until the sender answers /health/ready with 200.
func (s *sender) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + s.address + "/health/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			s.h.note("sender %s is ready", s.name)
			return nil
		}
	}
	log, _ := os.ReadFile(filepath.Join(s.h.dir, s.name+".log"))
	return fmt.Errorf("sender %s is not ready after 30 s; its log: %s", s.name, log)
}

// hasEnded reports whether the present process has ended, and how.
func (s *sender) hasEnded() (ended bool, how error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.ended:
		return true, s.endedHow
	default:
		return false, nil
	}
}

// signal sends a signal to the present process.
func (s *sender) signal(sig syscall.Signal) {
	s.h.note("sender %s gets signal %v", s.name, sig)
	_ = s.cmd.Process.Signal(sig) // fails only for a process that has ended
}

// kill kills the present process, if there is one, and waits for its end.
func (s *sender) kill() {
	if s.cmd == nil {
		return
	}
	_ = s.cmd.Process.Kill() // fails only for a process that has ended
	<-s.ended
}
