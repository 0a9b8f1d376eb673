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

// Limits of the time until a process is ready, as the platform's standing test has them.
const (
	initialStartTimeout = 30 * time.Second
	restartTimeout      = 10 * time.Second
)

const (
	readyPollInterval = 5 * time.Millisecond
	readyPollTimeout  = time.Second
)

// daemon is one sender. When its process is killed and started again, the new process has the same name, address and
// state directory.
type daemon struct {
	index      int
	program    string
	dir        string
	listen     string
	clientAddr string // where clients connect: listen, or a proxy before it
	starter    *process.Starter

	restarting sync.Mutex // held from the signal until the next process is ready

	mu            sync.Mutex
	cmd           *exec.Cmd
	exited        chan struct{} // closed when the latest process has exited
	stopRequested bool          // of the latest process
	processes     []processSpan // in the order of their starts
	log           bytes.Buffer
}

// processSpan is the lifetime of one process.
type processSpan struct {
	started, ready time.Time
	stopRequested  time.Time // when it was sent SIGTERM or SIGKILL; zero if it was not
	exited         time.Time // zero while it runs
}

// logWriter appends a process's output to the daemon's log.
type logWriter struct{ daemon *daemon }

func (w logWriter) Write(p []byte) (int, error) {
	w.daemon.mu.Lock()
	defer w.daemon.mu.Unlock()
	return w.daemon.log.Write(p)
}

// start starts a process and waits until it is ready.
func (d *daemon) start(ctx context.Context, timeout time.Duration) error {
	started, err := d.launch(ctx)
	if err != nil {
		return err
	}
	ready, err := d.awaitReady(ctx, started, started.at.Add(timeout))
	if err == nil && !ready {
		err = fmt.Errorf("sender %d was not ready within %v", d.index, timeout)
	}
	return err
}

// runFor starts a process and kills it after a time, whether or not it is ready by then. An end before that is an error.
func (d *daemon) runFor(ctx context.Context, span time.Duration) error {
	started, err := d.launch(ctx)
	if err != nil {
		return err
	}
	end := started.at.Add(span)
	if _, err := d.awaitReady(ctx, started, end); err != nil {
		return err
	}
	if sleepContext(ctx, time.Until(end)) {
		d.kill()
	}
	return nil
}

// startedProcess is a process that may not be ready yet.
type startedProcess struct {
	number int // index in daemon.processes
	at     time.Time
	exited <-chan struct{}
}

// launch starts a process and waits for nothing.
func (d *daemon) launch(ctx context.Context) (startedProcess, error) {
	cmd := exec.Command(d.program)
	cmd.Env = append(os.Environ(),
		"LB_CONFIG="+filepath.Join(d.dir, "config.json"),
		"LB_STATE="+filepath.Join(d.dir, "state"),
		"LB_NAME=", "LB_LISTEN=", "LB_DISCOVERY=")
	cmd.Stderr = logWriter{d}
	if err := d.starter.Start(ctx, cmd); err != nil {
		return startedProcess{}, fmt.Errorf("sender %d: %w", d.index, err)
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.exited, d.stopRequested = cmd, exited, false
	started := startedProcess{number: len(d.processes), at: time.Now(), exited: exited}
	d.processes = append(d.processes, processSpan{started: started.at})
	d.mu.Unlock()
	go func() {
		_ = cmd.Wait() // the exit status does not matter: an exit that was not requested counts as a crash, see crashed
		d.mu.Lock()
		d.processes[started.number].exited = time.Now()
		d.mu.Unlock()
		close(exited)
	}()
	return started, nil
}

// awaitReady waits until a process is ready, and reports whether it is by the deadline.
func (d *daemon) awaitReady(ctx context.Context, started startedProcess, deadline time.Time) (bool, error) {
	for ; time.Now().Before(deadline); time.Sleep(readyPollInterval) {
		if d.isReady() {
			d.mu.Lock()
			d.processes[started.number].ready = time.Now()
			d.mu.Unlock()
			return true, nil
		}
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case <-started.exited:
			return false, fmt.Errorf("sender %d ended at its start", d.index)
		default:
		}
	}
	return false, nil
}

func (d *daemon) isReady() bool {
	client := http.Client{Timeout: readyPollTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + d.listen + "/health/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// signal sends a signal to the latest process, if it is running.
func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil || !d.processes[len(d.processes)-1].exited.IsZero() {
		return
	}
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		d.stopRequested = true
		if p := &d.processes[len(d.processes)-1]; p.stopRequested.IsZero() {
			p.stopRequested = time.Now()
		}
	}
	_ = d.cmd.Process.Signal(sig) // fails if the process has just exited, which is fine
}

// kill kills the latest process and waits until it has exited.
func (d *daemon) kill() {
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	if exited == nil {
		return
	}
	d.signal(syscall.SIGKILL)
	<-exited
}

// crashed reports whether the latest process exited without being sent SIGTERM or SIGKILL.
func (d *daemon) crashed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.processes) > 0 && !d.stopRequested && !d.processes[len(d.processes)-1].exited.IsZero()
}

// processSpans returns the lifetimes of all processes so far.
func (d *daemon) processSpans() []processSpan {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]processSpan(nil), d.processes...)
}

// logText returns the output of all processes so far.
func (d *daemon) logText() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.log.String()
}

// runCount numbers the runs of this program, which may overlap.
var runCount atomic.Int32

const (
	// listenPort is the port of all senders.
	listenPort = 9000

	// addressBytes is how many values listenAddress uses of each byte of an address, 1 to 250.
	addressBytes = 250
)

// listenAddress returns the address of one sender of a run. It has an IP address of its own, which the system does not
// use as the source of outgoing connections, so that none of these can occupy its port.
func listenAddress(run int32, sender int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d",
		1+run%addressBytes, 1+sender%addressBytes, 1+os.Getpid()%addressBytes, listenPort)
}
