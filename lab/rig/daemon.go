// This file owns the sender processes. It must never leave one running, nor signal one that it did not start.

package rig

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"eiderhaven/lab/process"
)

// Bounds of a start, by the standing test's page.
const (
	firstStart = 30 * time.Second
	laterStart = 10 * time.Second
)

// daemon is one sender under one name; its processes follow one another on the same folder.
type daemon struct {
	n       int
	program string
	dir     string
	listen  string
	starter *process.Starter

	restarting sync.Mutex // held from the signal to the next start

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	told  bool // to end
	spans []span
	log   bytes.Buffer
}

// span is the life of one process.
type span struct {
	started, ready time.Time
	asked          time.Time // to end, zero if it was not
	ended          time.Time // zero while it runs
}

// lockedWriter serialises what a process writes.
type lockedWriter struct{ d *daemon }

func (w lockedWriter) Write(p []byte) (int, error) {
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	return w.d.log.Write(p)
}

// start starts a process and waits until it is ready.
func (d *daemon) start(ctx context.Context, limit time.Duration) error {
	cmd := exec.Command(d.program)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+filepath.Join(d.dir, "config.json"), "LB_STATE="+filepath.Join(d.dir, "state"),
		"LB_NAME=", "LB_LISTEN=", "LB_DISCOVERY=")
	cmd.Stderr = lockedWriter{d}
	if err := d.starter.Start(ctx, cmd); err != nil {
		return fmt.Errorf("sender %d: %w", d.n, err)
	}
	ended := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.ended, d.told = cmd, ended, false
	d.spans = append(d.spans, span{started: time.Now()})
	mine := len(d.spans) - 1
	d.mu.Unlock()
	go func() {
		_ = cmd.Wait() // how it ended does not matter where it was told to, and is a crash where it was not
		d.mu.Lock()
		d.spans[mine].ended = time.Now()
		d.mu.Unlock()
		close(ended)
	}()
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if d.answers() {
			d.mu.Lock()
			d.spans[mine].ready = time.Now()
			d.mu.Unlock()
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ended:
			return fmt.Errorf("sender %d ended at its start", d.n)
		default:
		}
	}
	return fmt.Errorf("sender %d was not ready within %v", d.n, limit)
}

func (d *daemon) answers() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + d.listen + "/health/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// signal sends a signal to the process that runs now.
func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil || !d.spans[len(d.spans)-1].ended.IsZero() {
		return
	}
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		d.told = true
		if s := &d.spans[len(d.spans)-1]; s.asked.IsZero() {
			s.asked = time.Now()
		}
	}
	_ = d.cmd.Process.Signal(sig) // it may have ended meanwhile
}

// kill ends the process and waits for its end.
func (d *daemon) kill() {
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	if ended == nil {
		return
	}
	d.signal(syscall.SIGKILL)
	<-ended
}

// crashed tells whether the process that runs now has ended though nobody told it to.
func (d *daemon) crashed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.spans) > 0 && !d.told && !d.spans[len(d.spans)-1].ended.IsZero()
}

// life returns the spans of all processes so far.
func (d *daemon) life() []span {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]span(nil), d.spans...)
}

// text is all that its processes wrote.
func (d *daemon) text() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.log.String()
}

// runs counts the runs of this process: several may go on at once.
var runs atomic.Int32

// address is where a sender of a run listens: an address of its own, which no outgoing connection of this machine is given as
// its own.
func address(run int32, n int) string {
	return fmt.Sprintf("127.%d.%d.%d:9000", 1+run%250, 1+n%250, 1+os.Getpid()%250)
}
