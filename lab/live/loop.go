// Package live owns the lab on sockets: receivers and discovery that play a scenario in real time for a running daemon, and
// clients that hand messages in by an open-loop schedule. It uses the model's own receivers and clients; only time and the
// network are real. Everything listens on loopback addresses alone.
package live

import (
	"context"
	"math"
	"time"

	"eiderhaven/lab/clock"
)

// Loop plays a queue in real time. One goroutine owns the queue and all that hangs on it; others come in through Do.
type Loop struct {
	Queue clock.Queue
	start time.Time
	do    chan func()
	done  chan struct{}
}

// NewLoop returns a loop that has not started.
func NewLoop() *Loop { return &Loop{do: make(chan func()), done: make(chan struct{})} }

// Do runs f on the loop's goroutine and waits for it; false if the loop has ended.
func (l *Loop) Do(f func()) bool {
	ran := make(chan struct{})
	select {
	case l.do <- func() { f(); close(ran) }:
		<-ran
		return true
	case <-l.done:
		return false
	}
}

// At is the real time of a model instant.
func (l *Loop) RealTime(t time.Duration) time.Time { return l.start.Add(t) }

// Elapsed is the time since the loop began.
func (l *Loop) Elapsed() time.Duration { return time.Since(l.start) }

// Run plays until the context ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	l.start = time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		_ = l.Queue.Run(time.Since(l.start), math.MaxUint64) // no bound of events: real time is the bound
		wait := time.Hour
		if next, any := l.Queue.NextAt(); any {
			wait = max(0, next-time.Since(l.start))
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case f := <-l.do:
			_ = l.Queue.Run(time.Since(l.start), math.MaxUint64)
			f()
		case <-timer.C:
		}
	}
}
