// Package network owns what lies between senders and receivers: transit times and connections. It must never look
// into a call.
package network

import (
	"math/rand/v2"
	"slices"
	"time"

	"eiderhaven/lab/random"
)

// Network draws transit times.
type Network struct {
	oneWay              random.Distribution
	crossZone           time.Duration // added to each way between zones
	HandshakeRoundTrips float64
	rng                 *rand.Rand
}

// New returns a network.
func New(oneWay random.Distribution, crossZone time.Duration, handshakes float64, r *rand.Rand) *Network {
	return &Network{oneWay: oneWay, crossZone: crossZone, HandshakeRoundTrips: handshakes, rng: r}
}

// OneWayDelay draws the transit time from one zone to another.
func (n *Network) OneWayDelay(from, to int) time.Duration {
	d := n.oneWay.Draw(n.rng)
	if from != to {
		d += n.crossZone
	}
	return d
}

// HandshakeDelay draws the time that opening a connection takes.
func (n *Network) HandshakeDelay(from, to int) time.Duration {
	roundTrip := n.OneWayDelay(from, to) + n.OneWayDelay(to, from)
	return time.Duration(n.HandshakeRoundTrips * float64(roundTrip))
}

// Conn is one connection, from a sender's pool to an endpoint's table.
type Conn struct {
	Pool      *Pool
	Table     *ConnTable
	Busy      bool
	Broken    bool // half-open: the receiver no longer knows it or gets nothing, so calls on it get no answer
	IdleSince time.Duration
	// OnClose, if set, is called when the connection closes; on sockets it closes the real connection.
	OnClose func()
	open    bool
}

// Open reports whether neither side has closed the connection.
func (c *Conn) Open() bool { return c.open }

// Close closes the connection on both sides.
func (c *Conn) Close() {
	if !c.open {
		return
	}
	c.open = false
	c.Table.remove(c)
	if i := slices.Index(c.Pool.idle, c); i >= 0 {
		c.Pool.idle = slices.Delete(c.Pool.idle, i, i+1)
	}
	if c.OnClose != nil {
		c.OnClose()
	}
}

// ConnTable is the receiver's side: the connections that one endpoint holds.
type ConnTable struct {
	MaxConns int // 0: unlimited
	conns    []*Conn
}

// Len returns the number of open connections.
func (t *ConnTable) Len() int { return len(t.conns) }

func (t *ConnTable) remove(c *Conn) {
	if i := slices.Index(t.conns, c); i >= 0 {
		last := len(t.conns) - 1
		t.conns[i], t.conns[last] = t.conns[last], nil
		t.conns = t.conns[:last]
	}
}

// Accept opens a connection, or returns nil if the connection limit is reached and no idle connection has expired.
func (t *ConnTable) Accept(p *Pool, now time.Duration) *Conn {
	if t.MaxConns > 0 && len(t.conns) >= t.MaxConns {
		for _, c := range slices.Clone(t.conns) {
			c.Pool.closeIfExpired(c, now)
		}
		if len(t.conns) >= t.MaxConns {
			return nil
		}
	}
	c := &Conn{Pool: p, Table: t, Busy: true, open: true}
	t.conns = append(t.conns, c)
	return c
}

// BreakAll marks every connection broken: it stays open, and calls on it get no answer.
func (t *ConnTable) BreakAll() {
	for _, c := range t.conns {
		c.Broken = true
	}
}

// CloseAll closes every connection and returns those that were busy.
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

func (p *Pool) closeIfExpired(c *Conn, now time.Duration) {
	if !c.Busy && now-c.IdleSince >= p.KeepAlive {
		c.Close()
	}
}

// Get returns the most recently used idle connection, or nil if there is none. It first closes expired connections.
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

// CloseExpired closes connections that have been idle for the keep-alive time.
func (p *Pool) CloseExpired(now time.Duration) {
	for len(p.idle) > 0 && now-p.idle[0].IdleSince >= p.KeepAlive {
		p.idle[0].Close()
	}
}

// Empty reports whether no connection is idle.
func (p *Pool) Empty() bool { return len(p.idle) == 0 }

// Put returns a connection to the pool after a call.
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
