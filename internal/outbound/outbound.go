// Package outbound is the endpoint side: it makes the calls that the exchange starts, over connections that it keeps
// for reuse. It owns those connections, with one goroutine each, and the format of calls on the wire (call.go). It
// must never send a call twice, choose an endpoint, or wait longer than its timeouts and the exchange allow.
package outbound

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"eiderhaven/internal/exchange"
	"eiderhaven/internal/http1"
	"eiderhaven/internal/socket"
	"eiderhaven/rules"
)

// Config holds the limits of a pool, and where it delivers results.
type Config struct {
	ConnectTimeout time.Duration
	KeepAlive      time.Duration // after which endpoints close idle connections
	MaxConns       int
	Finish         func(*exchange.Call, exchange.Result) // receives the result of each call
}

// Pool makes calls over a set of connections. Create it with New.
type Pool struct {
	cfg       Config
	mu        sync.Mutex
	idle      map[exchange.Peer][]*conn // most recently used last
	openConns int                       // open connections and those being opened
	closed    bool
	wg        sync.WaitGroup

	dial        func(ctx context.Context, network, address string) (net.Conn, error)
	minHoldBack time.Duration // initial minHoldBack of each connection
	lastReset   atomic.Int64  // when a connection was last reset during a call, in Unix milliseconds
}

// New returns a pool without connections.
func New(cfg Config) *Pool {
	d := net.Dialer{KeepAlive: -1}
	return &Pool{cfg: cfg, idle: map[exchange.Peer][]*conn{}, dial: d.DialContext, minHoldBack: defaultMinHoldBack}
}

// conn is one connection. While it is idle, its goroutine reads, so that it notices when the endpoint closes it. To
// give it a call, set next and make that read time out.
type conn struct {
	nc          net.Conn
	br          *bufio.Reader
	buf         []byte        // for the next request, reused
	connectTime time.Duration // how long it took to connect: about a round trip
	minHoldBack time.Duration // shortest time for which the last byte of a call is held back, see writeCall
	idleSince   time.Time     // when it last became idle
	used        bool          // it has carried a call
	next        *job          // guarded by the pool's lock
}

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

// Start makes a call, on the most recently used idle connection to its endpoint or on a new one. It does not wait.
func (p *Pool) Start(call *exchange.Call) exchange.Handle {
	j := &job{call: call}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.popIdle(call.To); c != nil {
		c.next = j
		c.nc.SetReadDeadline(pastDeadline)
		return j
	}
	if p.openConns >= p.cfg.MaxConns {
		p.closeOldestIdle()
	}
	p.openConns++
	p.wg.Go(func() { p.serveConn(j) })
	return j
}

// popIdle removes and returns the most recently used idle connection to a peer, nil if there is none. It must be called
// with the lock held.
func (p *Pool) popIdle(to exchange.Peer) *conn {
	list := p.idle[to]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.removeIdle(to, c)
	return c
}

// removeIdle removes a connection from the idle ones. It must be called with the lock held.
func (p *Pool) removeIdle(to exchange.Peer, c *conn) {
	list := p.idle[to]
	if i := slices.Index(list, c); i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	if p.idle[to] = list; len(list) == 0 {
		delete(p.idle, to)
	}
}

// closeOldestIdle closes the connection that has been idle longest, if any. It must be called with the lock held.
func (p *Pool) closeOldestIdle() {
	var to exchange.Peer
	var oldest *conn
	for peer, list := range p.idle {
		if oldest == nil || list[0].idleSince.Before(oldest.idleSince) {
			to, oldest = peer, list[0]
		}
	}
	if oldest != nil {
		p.removeIdle(to, oldest)
		oldest.nc.SetReadDeadline(pastDeadline)
	}
}

// CloseIdle closes all idle connections to a peer.
func (p *Pool) CloseIdle(to exchange.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := p.popIdle(to); c != nil; c = p.popIdle(to) {
		c.nc.SetReadDeadline(pastDeadline)
	}
}

// Close closes all idle connections and waits for the calls in flight, which the caller must have cancelled.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			c.nc.SetReadDeadline(pastDeadline)
		}
	}
	clear(p.idle)
	p.mu.Unlock()
	p.wg.Wait()
}

// serveConn opens a connection for a call and makes calls on it for as long as it can be used.
func (p *Pool) serveConn(j *job) {
	defer func() {
		p.mu.Lock()
		p.openConns--
		p.mu.Unlock()
	}()
	var c *conn
	for j != nil {
		if c == nil {
			if c = p.connect(j); c == nil {
				return
			}
		}
		to := j.call.To
		if !p.roundTrip(c, j) {
			c.close()
			return
		}
		var usable bool
		if j, usable = p.waitIdle(c, to); !usable {
			c.close()
			c = nil // no byte of the next call, if any, has been written: it gets a new connection
		}
	}
}

// close closes a connection at once, with or without a reset, and is the only function that does. Unread bytes, such
// as a part of a response or a late one, are dropped on purpose: an endpoint expects nothing more, and for a cancelled
// call readResponse has checked once more by then. The call that the connection carries must have its result before.
func (c *conn) close() { c.nc.Close() }

// connect opens a connection for a call. If that fails, it finishes the call and returns nil.
func (p *Pool) connect(j *job) *conn {
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.ConnectTimeout)
	defer cancel()
	if !j.attach(nil, cancel) {
		cancel()
	}
	start := time.Now()
	nc, err := p.dial(ctx, "tcp", j.call.To.Addr)
	if err != nil {
		p.finishUnsent(j, rules.ConnectError)
		return nil
	}
	return &conn{nc: nc, br: bufio.NewReaderSize(nc, readBufferBytes), connectTime: time.Since(start),
		minHoldBack: p.minHoldBack}
}

// finishUnsent finishes a call that was not written completely. A call that was cancelled or missed its WriteBy gets
// the outcome for that instead of the given one.
func (p *Pool) finishUnsent(j *job, outcome rules.Outcome) {
	r := exchange.ItemResult{Outcome: outcome}
	j.mu.Lock()
	switch {
	case j.cancelled:
		r.Outcome = rules.Cancelled
	case j.missedWriteBy:
		r = exchange.ItemResult{Outcome: rules.NotSent, Recalled: true}
	}
	j.mu.Unlock()
	p.cfg.Finish(j.call, exchange.Result{Items: sameResults(j.call, r)})
}

// waitIdle keeps a connection idle until its next call. It returns that call, nil if the connection is to be closed,
// and whether the connection can still be used for it.
func (p *Pool) waitIdle(c *conn, to exchange.Peer) (next *job, usable bool) {
	c.idleSince = time.Now()
	// Close it before the endpoint does, so that no call meets a connection that is being closed.
	c.nc.SetReadDeadline(c.idleSince.Add(p.cfg.KeepAlive - p.cfg.KeepAlive/keepAliveDivisor))
	p.mu.Lock()
	if p.closed || p.openConns > p.cfg.MaxConns {
		p.mu.Unlock()
		return nil, false
	}
	p.idle[to] = append(p.idle[to], c)
	p.mu.Unlock()
	_, err := c.br.Peek(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if next, c.next = c.next, nil; next == nil {
		p.removeIdle(to, c)
		return nil, false
	}
	// The read that was made to time out may have left bytes or the end of the stream in the kernel. Bytes that are
	// there before a call is written, such as a duplicate response or garbage after one, must not be taken for its
	// response. Bytes that arrive later cannot be told from a response.
	idleTimedOut := errors.Is(err, os.ErrDeadlineExceeded)
	return next, idleTimedOut && time.Since(c.idleSince) < p.cfg.KeepAlive && socket.ReadWouldBlock(c.nc)
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
		early := err == nil && !c.used
		if !early && !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		j.setReadTimeout(0)
		rest = c.buf[last:]
	}
	if !j.commit() {
		return false
	}
	_, err := c.nc.Write(rest)
	return err == nil
}

// readResponse waits for the final response to a call. Once a response has begun, the rest must follow within
// responseTimeout: an endpoint that stops halfway, or sends without end, would otherwise occupy a slot until the
// message's deadline. After an interim response the wait for the next one is not limited. When a call is cancelled,
// it checks once more for a response that has arrived unread: that one may carry a retry-after, which applies from
// when it was written.
func (c *conn) readResponse(j *job) (*http1.Response, error) {
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

// roundTrip makes one call and passes its result to Config.Finish. It reports whether the connection can be used again.
func (p *Pool) roundTrip(c *conn, j *job) bool {
	c.nc.SetDeadline(time.Time{})
	if !j.attach(c.nc, nil) {
		p.finishUnsent(j, rules.Cancelled)
		return true
	}
	c.buf = appendCall(c.buf[:0], j.call)
	holdBack := time.Since(time.UnixMilli(p.lastReset.Load())) < holdBackAfterReset
	if !c.writeCall(j, holdBack) {
		j.attach(nil, nil)
		p.finishUnsent(j, rules.ConnectError)
		return false
	}
	resp, err := c.readResponse(j)
	j.attach(nil, nil)
	if resp == nil && errors.Is(err, syscall.ECONNRESET) {
		p.lastReset.Store(time.Now().UnixMilli())
	}
	lost := rules.Reset
	if j.isCancelled() {
		lost = rules.Cancelled
	}
	first := !c.used
	c.used = true
	p.cfg.Finish(j.call, exchange.Result{Written: true, Items: itemResults(j.call, resp, err, lost, first)})
	if cap(c.buf) > maxKeptBufferBytes {
		c.buf = nil
	}
	return err == nil && !resp.Close && c.br.Buffered() == 0
}
