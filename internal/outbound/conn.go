// This file owns one connection between its opening and its close: the calls that it carries one after another, and the
// time between them. It must never take bytes that lay unread before a call was written for that call's response.

package outbound

import (
	"bufio"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"eiderhaven/internal/exchange"
	"eiderhaven/internal/http1"
	"eiderhaven/internal/socket"
	"eiderhaven/rules"
)

// conn is one connection. While it is idle, its goroutine reads, so that it notices when the endpoint closes it. To
// give it a call, set next and make that read time out.
type conn struct {
	number      int64 // in the order in which this process opened them, from 1
	nc          net.Conn
	br          *bufio.Reader
	buf         []byte        // for the next request, reused
	connectTime time.Duration // how long it took to connect: about a round trip
	minHoldBack time.Duration // shortest time for which the last byte of a call is held back, see writeCall
	idleSince   time.Time     // when it last became idle
	calls       int           // written so far
	saidClose   bool          // the latest call asked the endpoint to close the connection
	lastStatus  int           // of the latest valid response
	answeredAt  time.Time     // when that came
	next        *job          // guarded by the pool's lock

	confirmation confirmation // while it is idle, guarded by the pool's lock
	closeReason  closeReason  // while it is idle, guarded by the pool's lock
}

// used reports whether the connection has carried a call.
func (c *conn) used() bool { return c.calls > 0 }

// endIdle makes an idle connection close. It must be called with the pool's lock held, after removeIdle.
func (c *conn) endIdle(reason closeReason) {
	c.closeReason = reason
	c.nc.SetReadDeadline(pastDeadline)
}

// Time limits within a call.
const (
	responseTimeout = 500 * time.Millisecond // for a response, from its first byte to its last
	finalCheckTime  = time.Millisecond       // for a response that has arrived when its call is cancelled
)

// For holdBackAfterReset after a reset during a call, calls hold back their last byte, see writeCall. They do so for
// the time that connecting took, which is about a round trip, but within the two limits.
const (
	defaultMinHoldBack = time.Millisecond
	maxHoldBack        = 10 * time.Millisecond
	holdBackAfterReset = 30 * time.Second
)

const (
	keepAliveDivisor = 10   // idle connections are closed 1/10 of Config.KeepAlive before endpoints close them
	readBufferBytes  = 2048 // of a connection
)

var errTooManyInterim = errors.New("too many interim responses")

// close closes a connection at once, with or without a reset, and is the only function that does. Unread bytes, such
// as a part of a response or a late one, are dropped on purpose: an endpoint expects nothing more, and for a cancelled
// call readResponse has checked once more by then. The call that the connection carries must have its result before.
func (p *Pool) close(c *conn, to exchange.Peer) {
	p.logClose(c, to)
	c.nc.Close()
}

// waitIdle keeps a connection idle until its next call. It returns that call, nil if the connection is to be closed,
// and whether the connection can still be used for it.
func (p *Pool) waitIdle(c *conn, to exchange.Peer) (next *job, usable bool) {
	c.idleSince = time.Now()
	// Close it before the endpoint does, so that no call meets a connection that is being closed.
	keepUntil := c.idleSince.Add(p.cfg.KeepAlive - p.cfg.KeepAlive/keepAliveDivisor)
	if !p.addIdle(c, to, keepUntil) {
		return nil, false
	}
	next, err := p.awaitCall(c, to, keepUntil)
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded):
		p.onIdleEnd(c, to, err)
		return next, false
	case next == nil:
		return nil, false
	}
	// The read that was made to time out may have left bytes or the end of the stream in the kernel. Bytes that are
	// there before a call is written, such as a duplicate response or garbage after one, must not be taken for its
	// response. Bytes that arrive later cannot be told from a response, see confirm.go.
	if !p.checkUnread(c, to) {
		return next, false
	}
	p.noteQuietUse(c)
	return next, time.Since(c.idleSince) < p.cfg.KeepAlive
}

// addIdle adds a connection to the idle ones, with a read deadline. It returns false if it must be closed instead.
func (p *Pool) addIdle(c *conn, to exchange.Peer, keepUntil time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
		c.closeReason = closedForShutdown
	case p.openConns > p.cfg.MaxConns:
		c.closeReason = closedForLimit
	case p.distrusts(to):
		c.closeReason = closedForDistrust
	default:
		c.closeReason = closedForKeepAlive
		c.nc.SetReadDeadline(c.idleDeadline(keepUntil))
		p.idle[to] = append(p.idle[to], c)
		return true
	}
	return false
}

// idleDeadline returns until when an idle connection reads: until its responses are confirmed, or its end.
func (c *conn) idleDeadline(keepUntil time.Time) time.Time {
	if !c.confirmation.pending() || keepUntil.Before(c.confirmation.dueAt()) {
		return keepUntil
	}
	return c.confirmation.dueAt()
}

// awaitCall reads on an idle connection until it is given a call, is to be closed or brings something, and confirms its
// responses meanwhile. It returns the call, nil if there is none, and how the read ended.
func (p *Pool) awaitCall(c *conn, to exchange.Peer, keepUntil time.Time) (next *job, err error) {
	for {
		_, err = c.br.Peek(1)
		p.mu.Lock()
		next, c.next = c.next, nil
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		if next != nil || c.closeReason != closedForKeepAlive || !timedOut || !time.Now().Before(keepUntil) {
			if next == nil {
				p.removeIdle(to, c)
			}
			p.mu.Unlock()
			return next, err
		}
		c.nc.SetReadDeadline(keepUntil)
		p.mu.Unlock()
		if socket.ReadWouldBlock(c.nc) { // else the next read returns at once
			p.confirm(c)
		}
	}
}

// writeCall writes a call and reports whether its last byte has been written. With holdBack it writes all but the
// last byte, and the last one only after a pause in which a peer that no longer wants the connection would reset it.
// A call whose connection breaks before the last byte has not run, so its messages may be sent again whatever their
// effect. This guards against endpoints, and middleboxes on the way, that reset an idle connection when the next bytes
// arrive. Where the reset takes longer than the pause it does not help, and costs the pause and some processor time.
func (c *conn) writeCall(j *job, holdBack bool) bool {
	rest := c.buf
	if last := len(c.buf) - 1; holdBack {
		if _, err := c.nc.Write(c.buf[:last]); err != nil {
			return false
		}
		j.setReadTimeout(max(c.minHoldBack, min(c.connectTime, maxHoldBack)))
		_, err := c.br.Peek(1)
		// Bytes on a new connection are an early response to this call. On a used one they belong to an earlier call.
		early := err == nil && !c.used()
		if !early && !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		j.setReadTimeout(0)
		rest = c.buf[last:]
	}
	return j.writeLast(c.nc, rest)
}

// readResponse waits for the final response to a call. Once a response has begun, the rest must follow within
// responseTimeout: an endpoint that stops halfway, or sends without end, would otherwise occupy a slot until the
// message's deadline. After an interim response the wait for the next one is not limited. When a call is cancelled,
// it checks once more for a response that has arrived unread: that one may carry a retry-after, which applies from
// when it was written.
func (p *Pool) readResponse(c *conn, j *job) (*http1.Response, error) {
	p.confirmWhileWaiting(c, j)
	for range http1.MaxInterimResponses + 1 {
		_, err := c.br.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) && j.isCancelled() {
			c.nc.SetReadDeadline(time.Now().Add(finalCheckTime))
			_, err = c.br.Peek(1)
		}
		if err != nil {
			return nil, err
		}
		j.setReadTimeout(responseTimeout)
		if resp, err := http1.ReadOneResponse(c.br, maxResponseBytes); err != nil || resp.Status >= 200 {
			return resp, err
		}
		j.setReadTimeout(0)
	}
	return nil, errTooManyInterim
}

// confirmWhileWaiting confirms the earlier responses of a connection if it brings nothing for long enough while a call
// waits for its own. It returns as soon as something comes or the call is cancelled.
func (p *Pool) confirmWhileWaiting(c *conn, j *job) {
	if !c.confirmation.pending() {
		return
	}
	j.setReadTimeout(max(time.Until(c.confirmation.dueAt()), finalCheckTime))
	if _, err := c.br.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) && socket.ReadWouldBlock(c.nc) {
		p.confirm(c)
	}
	j.setReadTimeout(0)
}

// roundTrip makes one call and passes its result to Config.Finish. It reports whether the connection can be used again.
func (p *Pool) roundTrip(c *conn, j *job) bool {
	c.nc.SetDeadline(time.Time{})
	if !j.attach(c.nc, nil) {
		p.finishUnsent(j, rules.Cancelled)
		return true
	}
	c.saidClose = c.used() && j.call.LastUse
	c.buf = appendCall(c.buf[:0], j.call, c.saidClose)
	holdBack := time.Since(time.UnixMilli(p.lastReset.Load())) < holdBackAfterReset
	if !c.writeCall(j, holdBack) {
		c.closeReason = closedInWrite
		j.attach(nil, nil)
		p.finishUnsent(j, rules.ConnectError)
		p.settleBroken(c, j.call.To)
		return false
	}
	writtenAt := time.Now()
	resp, err := p.readResponse(c, j)
	j.attach(nil, nil)
	if resp == nil && errors.Is(err, syscall.ECONNRESET) {
		p.lastReset.Store(time.Now().UnixMilli())
	}
	first := !c.used()
	if err == nil {
		p.noteResponseTime(j.call.To, time.Since(writtenAt))
	}
	named := p.finishWritten(c, j, resp, err, writtenAt)
	p.logCall(c, j, statusOf(resp), err)
	if cap(c.buf) > maxKeptBufferBytes {
		c.buf = nil
	}
	if err != nil {
		c.closeReason = closedWithoutResponse
		p.contradict(c, nil)
		return false
	}
	c.lastStatus, c.answeredAt = resp.Status, time.Now()
	if !first && !named && len(j.call.Items) > 1 && resp.Status == statusOK { // it names another call's messages
		p.onUnasked(c, j.call.To, false)
		return false
	}
	return p.keepsAfter(c, j.call.To, resp)
}

// settleBroken settles the responses of a connection on which a call could not be written.
func (p *Pool) settleBroken(c *conn, to exchange.Peer) {
	if c.br.Buffered() > 0 && c.used() {
		p.onUnasked(c, to, false)
		return
	}
	p.contradict(c, nil)
}

// finishWritten passes the result of a call that was written to Config.Finish, and notes whether its response proves
// itself. One that does confirms those before it, as an endpoint answers the calls on a connection in their order. It
// reports whether the response names each message of a call with several.
func (p *Pool) finishWritten(c *conn, j *job, resp *http1.Response, err error, writtenAt time.Time) (named bool) {
	first := !c.used()
	p.countUse(c)
	c.confirmation.within = p.confirmationTime(j.call.To)
	lost := rules.Reset
	if j.isCancelled() {
		lost = rules.Cancelled
	}
	items, named := itemResults(j.call, resp, err, lost, first)
	proven := err != nil || c.confirmation.provesItself(resp, first, named)
	p.cfg.Finish(j.call, exchange.Result{Written: true, Items: items, Unconfirmed: !proven})
	switch {
	case err != nil:
	case proven:
		p.confirm(c)
	default:
		p.noteUnconfirmed(c, j, resp, writtenAt)
	}
	return named
}

// keepsAfter reports whether a connection can be used again after a call that ended with this response.
func (p *Pool) keepsAfter(c *conn, to exchange.Peer, resp *http1.Response) bool {
	switch {
	case c.br.Buffered() > 0:
		p.onUnasked(c, to, false)
	case resp.Close || c.saidClose:
		c.closeReason = closedByResponse
	default:
		return true
	}
	return false
}

// countUse counts a call that was written on a connection.
func (p *Pool) countUse(c *conn) {
	if c.used() {
		p.Counts.LaterUses.Add(1)
	} else {
		p.Counts.FirstUses.Add(1)
	}
	c.calls++
}

// statusOf returns the status of a response, 0 if there is none.
func statusOf(resp *http1.Response) int {
	if resp == nil {
		return 0
	}
	return resp.Status
}
