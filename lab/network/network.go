// Package network owns what lies between senders and receivers: the time that things take to cross, and connections. It
// must never know what a call says.
package network

import (
	"math/rand/v2"
	"slices"
	"time"

	"eiderhaven/lab/random"
)

// Network draws crossing times.
type Network struct {
	oneWay              random.Distribution
	crossZone           time.Duration
	HandshakeRoundTrips float64
	r                   *rand.Rand
}

// New returns a network.
func New(oneWay random.Distribution, crossZone time.Duration, handshakes float64, r *rand.Rand) *Network {
	return &Network{oneWay: oneWay, crossZone: crossZone, HandshakeRoundTrips: handshakes, r: r}
}

// Cross draws the time from one zone to another.
func (n *Network) OneWayDelay(from, to int) time.Duration {
	d := n.oneWay.Draw(n.r)
	if from != to {
		d += n.crossZone
	}
	return d
}

// Handshake draws the time that opening a connection takes.
func (n *Network) HandshakeDelay(from, to int) time.Duration {
	return time.Duration(n.HandshakeRoundTrips * float64(n.OneWayDelay(from, to)+n.OneWayDelay(to, from)))
}

// Conn is one connection, from a sender's pool to an endpoint's table.
type Conn struct {
	Pool      *Pool
	Table     *ConnTable
	Busy      bool
	Broken    bool // the other side does not know of it any more, or hears nothing: calls on it get no answer
	IdleSince time.Duration
	// OnClose, if set, is told when it closes; on sockets the real connection goes with it.
	OnClose func()
	open    bool
}

// Open tells whether neither side has closed it.
func (c *Conn) Open() bool { return c.open }

// Close closes it on both sides.
func (c *Conn) Close() {
	if !c.open {
		return
	}
	c.open = false
	c.Table.drop(c)
	if i := slices.Index(c.Pool.idle, c); i >= 0 {
		c.Pool.idle = slices.Delete(c.Pool.idle, i, i+1)
	}
	if c.OnClose != nil {
		c.OnClose()
	}
}

// Table is an endpoint's side: the connections that it holds.
type ConnTable struct {
	MaxConns int // 0: no bound
	conns    []*Conn
}

// Len is how many connections are open.
func (t *ConnTable) Len() int { return len(t.conns) }

func (t *ConnTable) drop(c *Conn) {
	if i := slices.Index(t.conns, c); i >= 0 {
		last := len(t.conns) - 1
		t.conns[i], t.conns[last] = t.conns[last], nil
		t.conns = t.conns[:last]
	}
}

// Accept opens a connection if there is room, after closing those that have been idle too long.
func (t *ConnTable) Accept(p *Pool, now time.Duration) *Conn {
	if t.MaxConns > 0 && len(t.conns) >= t.MaxConns {
		for _, c := range slices.Clone(t.conns) {
			c.Pool.expire(c, now)
		}
		if len(t.conns) >= t.MaxConns {
			return nil
		}
	}
	c := &Conn{Pool: p, Table: t, Busy: true, open: true}
	t.conns = append(t.conns, c)
	return c
}

// Kill marks every connection dead: it stays open and silent.
func (t *ConnTable) BreakAll() {
	for _, c := range t.conns {
		c.Broken = true
	}
}

// Reset closes every connection and returns those that were busy.
func (t *ConnTable) CloseAll() (busy []*Conn) {
	for _, c := range slices.Clone(t.conns) {
		if c.Busy {
			busy = append(busy, c)
		}
		c.Close()
	}
	return busy
}

// Pool is a sender's side: its idle connections to one endpoint, most recently used last.
type Pool struct {
	KeepAlive time.Duration
	idle      []*Conn
}

func (p *Pool) expire(c *Conn, now time.Duration) {
	if !c.Busy && now-c.IdleSince >= p.KeepAlive {
		c.Close()
	}
}

// Take returns an idle connection, nil if there is none, closing those that have been idle too long.
func (p *Pool) Get(now time.Duration) *Conn {
	p.CloseExpired(now)
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	c.Busy = true
	return c
}

// Expire closes connections that have been idle too long.
func (p *Pool) CloseExpired(now time.Duration) {
	for len(p.idle) > 0 && now-p.idle[0].IdleSince >= p.KeepAlive {
		p.idle[0].Close()
	}
}

// Empty tells whether no connection is idle.
func (p *Pool) Empty() bool { return len(p.idle) == 0 }

// Put returns a connection after a call.
func (p *Pool) Put(c *Conn, now time.Duration) {
	if !c.open {
		return
	}
	c.Busy, c.IdleSince = false, now
	if p.KeepAlive <= 0 {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	for len(p.idle) > 0 {
		p.idle[len(p.idle)-1].Close()
	}
}
