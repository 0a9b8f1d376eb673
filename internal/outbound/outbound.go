// Package outbound is the endpoint side: it makes the calls that the exchange starts, over connections that it keeps
// for reuse. It owns those connections, with one goroutine each, and the format of calls on the wire (call.go). It
// must never send a call twice, choose an endpoint, or wait longer than its timeouts and the exchange allow.
package outbound

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"eiderhaven/internal/exchange"
	"eiderhaven/rules"
)

// Config holds the limits of a pool, and where it delivers results.
type Config struct {
	ConnectTimeout time.Duration
	KeepAlive      time.Duration // after which endpoints close idle connections
	MaxConns       int
	Finish         func(*exchange.Call, exchange.Result) // receives the result of each call

	// WatchFirst keeps a connection that has just answered from being used at once until the endpoints have shown that they
	// send nothing unasked. Set it where endpoints have room for the connections that this takes.
	WatchFirst bool

	// Confirm receives, after an unconfirmed result, whether its response was the call's own, and what a response that
	// belonged to no call asked for.
	Confirm func(call *exchange.Call, confirmed bool, retryAfter time.Duration)

	Log *slog.Logger // nil: nothing is logged
}

// Pool makes calls over a set of connections. Create it with New.
type Pool struct {
	cfg       Config
	mu        sync.Mutex
	idle      map[exchange.Peer][]*conn // most recently used last
	openConns int                       // open connections and those being opened
	peers     peerRecords
	quietUses int // in a row: connections that brought nothing for the confirmation time before their next call
	closed    bool
	wg        sync.WaitGroup

	dial        func(ctx context.Context, network, address string) (net.Conn, error)
	minHoldBack time.Duration // initial minHoldBack of each connection
	quietTime   time.Duration // unsafeQuietTime, but in tests
	Counts      Counts
	lastReset   atomic.Int64 // when a connection was last reset during a call, in Unix milliseconds
}

// New returns a pool without connections.
func New(cfg Config) *Pool {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	d := net.Dialer{KeepAlive: -1}
	return &Pool{
		cfg:         cfg,
		idle:        map[exchange.Peer][]*conn{},
		peers:       peerRecords{records: map[exchange.Peer]*peerRecord{}},
		dial:        d.DialContext,
		minHoldBack: defaultMinHoldBack,
		quietTime:   unsafeQuietTime,
	}
}

// Start makes a call, on the most recently used idle connection to its endpoint or on a new one. It does not wait.
func (p *Pool) Start(call *exchange.Call) exchange.Handle {
	j := &job{call: call}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.popIdle(call); c != nil {
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

// popIdle removes and returns the most recently used idle connection on which a call may be made, nil if there is none.
// It must be called with the lock held.
//
// A call with a message that must not be repeated needs a connection on which nothing has come for a while since its last
// response: a copy of that one, which may be late, could be taken for the answer to the call. If there are only others, one
// of them makes room for a new connection. This costs handshakes where such messages are frequent.
func (p *Pool) popIdle(call *exchange.Call) *conn {
	now := time.Now()
	var busyLately *conn
	for _, c := range slices.Backward(p.idle[call.To]) {
		switch {
		case c.confirmation.mustRest(now) || !p.trustsEndpoints() && !c.wasQuiet(now):
		case call.ConfirmSoon && now.Sub(c.answeredAt) < p.quietTime:
			busyLately = c
		default:
			p.removeIdle(call.To, c)
			return c
		}
	}
	if busyLately != nil {
		p.removeIdle(call.To, busyLately)
		busyLately.endIdle(closedForQuiet)
	}
	return nil
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
		oldest.endIdle(closedForLimit)
	}
}

// CloseIdle closes all idle connections to a peer.
func (p *Pool) CloseIdle(to exchange.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(to, closedOnRequest)
}

// closeIdle closes all idle connections to a peer, each as soon as its responses are confirmed. It must be called with
// the lock held.
func (p *Pool) closeIdle(to exchange.Peer, reason closeReason) {
	for _, c := range p.idle[to] {
		c.endIdle(reason)
	}
	delete(p.idle, to)
}

// Close closes all idle connections and waits for the calls in flight, which the caller must have cancelled.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			c.endIdle(closedForShutdown)
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
			p.awaitConfirmation(c, to)
			p.close(c, to)
			return
		}
		var usable bool
		if j, usable = p.waitIdle(c, to); !usable {
			p.awaitConfirmation(c, to)
			p.close(c, to)
			c = nil // no byte of the next call, if any, has been written: it gets a new connection
		}
	}
}

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
	return &conn{
		number:      p.Counts.Opened.Add(1),
		nc:          nc,
		br:          bufio.NewReaderSize(nc, readBufferBytes),
		connectTime: time.Since(start),
		minHoldBack: p.minHoldBack,
	}
}

// finishUnsent finishes a call that was not written completely. A call that was cancelled or denied gets
// the outcome for that instead of the given one.
func (p *Pool) finishUnsent(j *job, outcome rules.Outcome) {
	r := exchange.ItemResult{Outcome: outcome}
	j.mu.Lock()
	switch {
	case j.cancelled:
		r.Outcome = rules.Cancelled
	case j.denied:
		r = exchange.ItemResult{Outcome: rules.NotSent, Recalled: true}
	}
	j.mu.Unlock()
	p.cfg.Finish(j.call, exchange.Result{Items: sameResults(j.call, r)})
}
