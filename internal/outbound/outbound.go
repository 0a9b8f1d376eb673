// Package outbound is the endpoint side: it makes the calls that the exchange hands out, over connections that it
// keeps while they are worth keeping. It owns those connections, one goroutine each, and the calls' form on the
// wire (call.go). It must never send a call twice, choose an endpoint, or wait longer than it is told.
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

// Config is what a pool starts from.
type Config struct {
	ConnectTimeout time.Duration
	KeepAlive      time.Duration // the endpoints' side closes idle connections after this
	MaxConns       int
	Finish         func(*exchange.Call, exchange.Result)
}

// Pool makes calls.
type Pool struct {
	cfg  Config
	mu   sync.Mutex
	idle map[exchange.Peer][]*conn // the last used last
	open int                       // connections and attempts at one
	shut bool
	wg   sync.WaitGroup

	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	moment time.Duration // before the last byte of a call, at least
	reset  atomic.Int64  // when a connection was last reset under a call, in Unix milliseconds
}

// New returns a pool without connections.
func New(cfg Config) *Pool {
	d := net.Dialer{KeepAlive: -1}
	return &Pool{cfg: cfg, idle: map[exchange.Peer][]*conn{}, dial: d.DialContext, moment: leastMoment}
}

// conn is one connection. Its goroutine reads while it is idle, so that it sees the other side close it; a call is
// handed to it through next, by making that read time out.
type conn struct {
	nc     net.Conn
	br     *bufio.Reader
	buf    []byte
	trip   time.Duration // how long it took to open
	moment time.Duration // before the last byte of a call, at least
	since  time.Time     // idle since
	used   bool          // it has carried a call
	next   *job          // guarded by the pool's lock
}

// job is a call with what is needed to give it up.
type job struct {
	call   *exchange.Call
	mu     sync.Mutex
	given  bool // up
	out    bool // its last byte is written, or is being written
	late   bool // the time in which it had to leave was over before that
	nc     net.Conn
	undial context.CancelFunc
}

// Time limits within a call. The moment before a call's last byte is the time in which its connection was opened, a
// round trip, within bounds.
const (
	answerLimit = 500 * time.Millisecond // for an answer, from its first byte to its last
	leastMoment = time.Millisecond
	mostMoment  = 10 * time.Millisecond
	waryFor     = 30 * time.Second // after a reset under a call, calls hold back their last byte
)

var errEndless = errors.New("too many interim answers")

// longAgo as a deadline ends a blocked read or write at once.
var longAgo = time.Unix(1, 0)

// Cancel gives the call up, wherever it is.
func (j *job) Cancel() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.giveUp()
}

// giveUp ends what the call waits for. Call it with the lock held.
func (j *job) giveUp() {
	j.given = true
	if j.undial != nil {
		j.undial()
	}
	if j.nc != nil {
		j.nc.SetDeadline(longAgo)
	}
}

// Recall gives the call up unless it may have reached the endpoint whole.
func (j *job) Recall() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.out || j.given {
		return false
	}
	j.giveUp()
	return true
}

// attach lets Cancel and Recall reach the connection; it is false if the call has been given up before.
func (j *job) attach(nc net.Conn, undial context.CancelFunc) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.nc, j.undial = nc, undial
	return !j.given
}

// commit is the point of no return, right before the last byte is written; it is false if the call has been given up before, or
// had to leave earlier.
func (j *job) commit() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.late = !j.call.WriteBy.IsZero() && time.Now().After(j.call.WriteBy)
	j.out = !j.given && !j.late
	return j.out
}

// limit ends the reading of an answer after this time, 0 for never, unless the call has been given up.
func (j *job) limit(after time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.given || j.nc == nil {
		return
	}
	var at time.Time
	if after > 0 {
		at = time.Now().Add(after)
	}
	j.nc.SetReadDeadline(at)
}

func (j *job) givenUp() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.given
}

// Start makes a call on the connection used last, or on a new one. It does not wait.
func (p *Pool) Start(call *exchange.Call) exchange.Handle {
	j := &job{call: call}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.pop(call.To); c != nil {
		c.next = j
		c.nc.SetReadDeadline(longAgo)
		return j
	}
	if p.open >= p.cfg.MaxConns {
		p.closeOldest()
	}
	p.open++
	p.wg.Go(func() { p.run(j) })
	return j
}

// pop takes the idle connection to a peer that was used last. Call it with the lock held.
func (p *Pool) pop(to exchange.Peer) *conn {
	list := p.idle[to]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.drop(to, c)
	return c
}

func (p *Pool) drop(to exchange.Peer, c *conn) {
	list := p.idle[to]
	if i := slices.Index(list, c); i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	if p.idle[to] = list; len(list) == 0 {
		delete(p.idle, to)
	}
}

// closeOldest makes room by the connection that has been idle longest. Call it with the lock held.
func (p *Pool) closeOldest() {
	var to exchange.Peer
	var oldest *conn
	for peer, list := range p.idle {
		if oldest == nil || list[0].since.Before(oldest.since) {
			to, oldest = peer, list[0]
		}
	}
	if oldest != nil {
		p.drop(to, oldest)
		oldest.nc.SetReadDeadline(longAgo)
	}
}

// CloseIdle closes the idle connections to a peer.
func (p *Pool) CloseIdle(to exchange.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := p.pop(to); c != nil; c = p.pop(to) {
		c.nc.SetReadDeadline(longAgo)
	}
}

// Close closes all idle connections and waits for the calls that are out, which the caller has given up.
func (p *Pool) Close() {
	p.mu.Lock()
	p.shut = true
	for _, list := range p.idle {
		for _, c := range list {
			c.nc.SetReadDeadline(longAgo)
		}
	}
	clear(p.idle)
	p.mu.Unlock()
	p.wg.Wait()
}

// run is the life of one connection: it makes calls as long as they come and the connection lasts.
func (p *Pool) run(j *job) {
	defer func() {
		p.mu.Lock()
		p.open--
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
		if !p.do(c, j) {
			c.end()
			return
		}
		var sound bool
		if j, sound = p.park(c, to); !sound {
			c.end()
			c = nil // nothing of the next call was written yet: it gets a fresh one
		}
	}
}

// end is the one way in which a connection to an endpoint ends: closed at once, with or without a reset. Nothing is owed to an
// endpoint; a call that is out is given up by it, and what lies unread, half a line or an answer on its way, is lost on purpose
// (answer has looked once more by then). It must not be called before the call that the connection carries has its result.
func (c *conn) end() { c.nc.Close() }

// connect opens a connection for a call; where it cannot, the call ends here.
func (p *Pool) connect(j *job) *conn {
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.ConnectTimeout)
	defer cancel()
	if !j.attach(nil, cancel) {
		cancel()
	}
	begun := time.Now()
	nc, err := p.dial(ctx, "tcp", j.call.To.Addr)
	if err != nil {
		p.finish(j, rules.ConnectError)
		return nil
	}
	return &conn{nc: nc, br: bufio.NewReaderSize(nc, 2048), trip: time.Since(begun), moment: p.moment}
}

// finish ends a call that did not reach the endpoint.
func (p *Pool) finish(j *job, o rules.Outcome) {
	r := exchange.ItemResult{Outcome: o}
	j.mu.Lock()
	switch {
	case j.given:
		r.Outcome = rules.Cancelled
	case j.late:
		r = exchange.ItemResult{Outcome: rules.NotSent, Recalled: true}
	}
	j.mu.Unlock()
	p.cfg.Finish(j.call, exchange.Result{Items: same(j.call, r)})
}

// park keeps a connection while it is idle. It returns the next call, nil if the connection is to be closed, and
// whether the connection can still be used for it.
func (p *Pool) park(c *conn, to exchange.Peer) (next *job, sound bool) {
	c.since = time.Now()
	c.nc.SetReadDeadline(c.since.Add(p.cfg.KeepAlive - p.cfg.KeepAlive/10)) // before the other side does
	p.mu.Lock()
	if p.shut || p.open > p.cfg.MaxConns {
		p.mu.Unlock()
		return nil, false
	}
	p.idle[to] = append(p.idle[to], c)
	p.mu.Unlock()
	_, err := c.br.Peek(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if next, c.next = c.next, nil; next == nil {
		p.drop(to, c)
		return nil, false
	}
	// The read that was made to time out may have left bytes or an end in the kernel: what lies there when a call is
	// written would be taken for its answer. Guards against a second copy of an answer and noise behind one; what
	// arrives later still cannot be told from an answer.
	return next, errors.Is(err, os.ErrDeadlineExceeded) && time.Since(c.since) < p.cfg.KeepAlive && socket.ReadWouldBlock(c.nc)
}

// write sends a call. If connections have lately been reset under calls, its last byte goes after a moment in which the
// other side would break the connection if it has no use for it any more: what breaks before the last byte has never
// run, and may be sent again whatever it is. Guards against peers and what stands between that reset a connection at its
// next bytes; where resets take longer it costs the moment, and some processor time. It is false if the last byte has not
// been written.
func (c *conn) write(j *job, wary bool) bool {
	rest := c.buf
	if last := len(c.buf) - 1; wary {
		if _, err := c.nc.Write(c.buf[:last]); err != nil {
			return false
		}
		j.limit(max(c.moment, min(c.trip, mostMoment)))
		_, err := c.br.Peek(1)
		if early := err == nil && !c.used; !early && !errors.Is(err, os.ErrDeadlineExceeded) {
			return false // broken, or with bytes of what came before; an early answer on a new one is this call's
		}
		j.limit(0)
		rest = c.buf[last:]
	}
	if !j.commit() {
		return false
	}
	_, err := c.nc.Write(rest)
	return err == nil
}

// answer waits for the answer to a call. Once one has begun, the rest must follow soon: a peer that stops halfway, or
// never comes to an end, would otherwise keep a slot until the message is out of time. An interim answer promises
// nothing about when the real one comes. A call given up is looked at once more: an answer that has come and was not read
// yet may tell a wait, which holds from when it was written.
func (c *conn) answer(j *job) (*http1.Response, error) {
	for range http1.MaxInterimResponses + 1 {
		_, err := c.br.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) && j.givenUp() {
			c.nc.SetReadDeadline(time.Now().Add(leastMoment))
			_, err = c.br.Peek(1)
		}
		if err != nil {
			return nil, err
		}
		j.limit(answerLimit)
		if resp, err := http1.ReadOneResponse(c.br, maxAnswer); err != nil || resp.Status >= 200 {
			return resp, err
		}
		j.limit(0)
	}
	return nil, errEndless
}

// do makes one call and hands in its result. It tells whether the connection can be used again.
func (p *Pool) do(c *conn, j *job) bool {
	c.nc.SetDeadline(time.Time{})
	if !j.attach(c.nc, nil) {
		p.finish(j, rules.Cancelled)
		return true
	}
	c.buf = appendCall(c.buf[:0], j.call)
	if !c.write(j, time.Since(time.UnixMilli(p.reset.Load())) < waryFor) {
		j.attach(nil, nil)
		p.finish(j, rules.ConnectError)
		return false
	}
	resp, err := c.answer(j)
	j.attach(nil, nil)
	if resp == nil && errors.Is(err, syscall.ECONNRESET) {
		p.reset.Store(time.Now().UnixMilli())
	}
	lost := rules.Reset
	if j.givenUp() {
		lost = rules.Cancelled
	}
	fresh := !c.used
	c.used = true
	p.cfg.Finish(j.call, exchange.Result{Written: true, Items: outcomes(j.call, resp, err, lost, fresh)})
	if cap(c.buf) > maxKept {
		c.buf = nil
	}
	return err == nil && !resp.Close && c.br.Buffered() == 0
}
