// This file owns a call in progress: how it is cancelled or recalled, and the moment from which it counts as written. It
// must never write to a connection.

package outbound

import (
	"context"
	"net"
	"sync"
	"time"

	"eiderhaven/internal/exchange"
)

// job is a call in progress, with what is needed to cancel it.
type job struct {
	call          *exchange.Call
	mu            sync.Mutex
	cancelled     bool // by Cancel or Recall
	committed     bool // its last byte has been or is being written
	missedWriteBy bool // the call's WriteBy had passed before that
	nc            net.Conn
	cancelDial    context.CancelFunc
}

// pastDeadline, set as a deadline, makes a blocked read or write return at once.
var pastDeadline = time.Unix(1, 0)

// Cancel cancels the call in whatever state it is. Its result still goes to Config.Finish.
func (j *job) Cancel() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.cancelLocked()
}

// cancelLocked interrupts whatever the call waits for. It must be called with the lock held.
func (j *job) cancelLocked() {
	j.cancelled = true
	if j.cancelDial != nil {
		j.cancelDial()
	}
	if j.nc != nil {
		j.nc.SetDeadline(pastDeadline)
	}
}

// Recall cancels the call unless its last byte may have been written. It reports whether the call was cancelled.
func (j *job) Recall() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.committed || j.cancelled {
		return false
	}
	j.cancelLocked()
	return true
}

// attach sets the connection and the dial that Cancel and Recall interrupt. It returns false if the call has already
// been cancelled.
func (j *job) attach(nc net.Conn, cancelDial context.CancelFunc) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.nc, j.cancelDial = nc, cancelDial
	return !j.cancelled
}

// commit marks the call as written, right before its last byte is. It returns false if the call has been cancelled or
// its WriteBy has passed; the last byte must then not be written.
func (j *job) commit() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.missedWriteBy = !j.call.WriteBy.IsZero() && time.Now().After(j.call.WriteBy)
	j.committed = !j.cancelled && !j.missedWriteBy
	return j.committed
}

// setReadTimeout makes reads fail after this time, or never if it is 0. It changes nothing on a cancelled call.
func (j *job) setReadTimeout(timeout time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.cancelled || j.nc == nil {
		return
	}
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	j.nc.SetReadDeadline(deadline)
}

// isCancelled reports whether the call has been cancelled or recalled.
func (j *job) isCancelled() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.cancelled
}
