// This file owns a call in progress: how it is cancelled or recalled, and the moment from which it counts as written. It
// must never write the last byte of a call that has been cancelled, or of a message that has ended.

package outbound

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"eiderhaven/internal/exchange"
	"eiderhaven/internal/socket"
)

// job is a call in progress, with what is needed to cancel it.
type job struct {
	call       *exchange.Call
	mu         sync.Mutex
	cancelled  bool // by Cancel or Recall
	committed  bool // its last byte has been or is being written
	denied     bool // it could not be written in time, or one of its messages may not be called any more
	nc         net.Conn
	cancelDial context.CancelFunc
}

// pastDeadline, set as a deadline, makes a blocked read or write return at once.
var pastDeadline = time.Unix(1, 0)

// Cancel cancels the call in whatever state it is. Its result still goes to Config.Finish.
func (j *job) Cancel() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.cancelLocked()
}

// cancelLocked interrupts whatever the call waits for. Bytes that have not arrived at the other side's machine are
// dropped: over a way that is cut or slow they could arrive long after the end of the call. It must be called with the
// lock held.
func (j *job) cancelLocked() {
	j.cancelled = true
	if j.cancelDial != nil {
		j.cancelDial()
	}
	if j.nc == nil {
		return
	}
	j.nc.SetDeadline(pastDeadline)
	if j.committed && socket.HasUnsentBytes(j.nc) {
		socket.Reset(j.nc)
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

// progress is how far an attempt to write the rest of a call has come.
type progress int

const (
	stopped progress = iota // the last byte was not written and never will be
	blocked                 // the kernel takes no more bytes for now
	partial                 // some bytes were written, or a signal came first
	written                 // the last byte was written
)

// writeLast writes the rest of a call, with its last byte. It reports whether that byte was written: never after Cancel,
// Recall, the call's WriteBy, or the end of one of its messages. See writeOnce.
func (j *job) writeLast(nc net.Conn, rest []byte) bool {
	raw := socket.Raw(nc)
	if raw == nil { // without a socket, as in tests
		return j.writeOnce(nc.Write, &rest) == written
	}
	state := stopped
	err := raw.Write(func(fd uintptr) (done bool) {
		for state = partial; state == partial; {
			state = j.writeOnce(func(b []byte) (int, error) { return syscall.Write(int(fd), b) }, &rest)
		}
		return state != blocked
	})
	return err == nil && state == written
}

// writeOnce checks whether the call may be written and makes one attempt to write its rest, which must not block. The lock
// is held from the check until the kernel has the bytes: if the thread is held up in between, so is whoever ends the call,
// and nobody hears of the end before the last byte or after it.
func (j *job) writeOnce(write func([]byte) (int, error), rest *[]byte) progress {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.mayWriteLocked() {
		return stopped
	}
	n, err := write(*rest)
	*rest = (*rest)[max(n, 0):]
	switch {
	case len(*rest) == 0:
		j.committed = true
		j.call.NoteWritten()
		return written
	case errors.Is(err, syscall.EAGAIN):
		return blocked
	case err == nil || errors.Is(err, syscall.EINTR):
		return partial
	}
	return stopped
}

// mayWriteLocked reports whether the last byte of the call may be written now. It must be called with the lock held.
func (j *job) mayWriteLocked() bool {
	now := time.Now()
	j.denied = !j.call.WriteBy.IsZero() && now.After(j.call.WriteBy) || !j.call.MayWrite(now)
	return !j.cancelled && !j.denied
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
