// Package process starts child processes that cannot outlive this program. It must never leave one running: the kernel ends
// each when the program ends, whatever ends it.
package process

import (
	"context"
	"os/exec"
	"runtime"
	"syscall"
)

// Starter starts processes from one thread, which lives as long as its context: the kernel ends a process whose parent's
// thread has ended, so that not even this program's own death leaves one behind.
type Starter struct{ starts chan func() }

// NewStarter returns a starter that works until the context ends.
func NewStarter(ctx context.Context) *Starter {
	s := &Starter{starts: make(chan func())}
	go func() {
		runtime.LockOSThread() // never unlocked: the thread ends with the goroutine
		for {
			select {
			case f := <-s.starts:
				f()
			case <-ctx.Done():
				return
			}
		}
	}()
	return s
}

// Start starts a command in a process group of its own: a terminal's Ctrl-C is for this program to pass on.
func (s *Starter) Start(ctx context.Context, cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	done := make(chan error, 1)
	select {
	case s.starts <- func() { done <- cmd.Start() }:
		return <-done
	case <-ctx.Done():
		return ctx.Err()
	}
}
