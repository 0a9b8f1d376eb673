// Package live runs the lab on sockets: receivers and discovery that play a scenario in real time for a running daemon,
// and clients that submit messages on an open-loop schedule. Receivers and clients are those of the simulation model;
// only time and the network are real. Every listener binds a loopback address, and load goes to loopback addresses
// only.
package live

import (
	"context"
	"math"
	"time"

	"eiderhaven/lab/clock"
)

// Loop runs an event queue in real time. One goroutine owns the queue and everything that its events use; other
// goroutines reach them through Do.
type Loop struct {
	Queue clock.Queue
	start time.Time
	calls chan func()
	done  chan struct{}
}

// NewLoop returns a loop that has not started.
func NewLoop() *Loop { return &Loop{calls: make(chan func()), done: make(chan struct{})} }

// Do runs f on the loop's goroutine and waits for it. It returns false if the loop has ended.
func (l *Loop) Do(f func()) bool {
	ran := make(chan struct{})
	call := func() {
		f()
		close(ran)
	}
	select {
	case l.calls <- call:
		<-ran
		return true
	case <-l.done:
		return false
	}
}

// RealTime converts a model time into a real time.
func (l *Loop) RealTime(t time.Duration) time.Time { return l.start.Add(t) }

// Elapsed returns the time since the loop started.
func (l *Loop) Elapsed() time.Duration { return time.Since(l.start) }

// Run runs the queue's events as they become due, until the context ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	l.start = time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		l.runDue()
		wait := time.Hour
		if next, scheduled := l.Queue.NextAt(); scheduled {
			wait = max(0, next-time.Since(l.start))
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case f := <-l.calls:
			l.runDue()
			f()
		case <-timer.C:
		}
	}
}

// runDue runs the events that are due. Their number is not limited, as it is in a simulation: real time limits it.
func (l *Loop) runDue() {
	_ = l.Queue.Run(time.Since(l.start), math.MaxUint64)
}
