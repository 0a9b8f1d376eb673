// Package process starts child processes that cannot outlive this program: the kernel kills each of them when the
// program ends, for whatever reason. It must never leave a child running.
package process

import (
	"context"
	"os/exec"
	"runtime"
	"syscall"
)

// Starter starts processes from a single OS thread that lives as long as its context. The kernel signals a child when
// the thread that started it ends, so children die even if this program is killed.
type Starter struct{ requests chan func() }

// NewStarter returns a starter that works until the context ends.
func NewStarter(ctx context.Context) *Starter {
	s := &Starter{requests: make(chan func())}
	go func() {
		runtime.LockOSThread() // never unlocked: the thread ends with the goroutine
		for {
			select {
			case start := <-s.requests:
				start()
			case <-ctx.Done():
				return
			}
		}
	}()
	return s
}

// Start starts a command in its own process group, so that Ctrl-C in a terminal reaches only this program, which
// decides what to pass on.
func (s *Starter) Start(ctx context.Context, cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	done := make(chan error, 1)
	select {
	case s.requests <- func() { done <- cmd.Start() }:
		return <-done
	case <-ctx.Done():
		return ctx.Err()
	}
}
