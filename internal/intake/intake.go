// Package intake is the client side: it accepts connections, reads the messages handed in and writes the
// exchange's answers. It owns those connections, one goroutine each, and the form of requests (request.go). It must
// never judge a message by more than its form, leave a request that it has read without an answer, or let clients that
// send nothing of use keep out others.
package intake

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"eiderhaven/internal/exchange"
	"eiderhaven/internal/http1"
	"eiderhaven/internal/socket"
)

// Limits towards clients.
const (
	clientPatience = 400 * time.Millisecond // a client goes away when it has waited so long (the protocol's figure)
	lingering      = 200 * time.Millisecond // for a client to read its last answer and close, or to end a request at the end
	lastLook       = 5 * time.Millisecond   // for a client that makes room, to end a request
	maxLinger      = 1 << 20                // bytes read meanwhile
	lingerPart     = 8                      // of the connections: 1/8 may linger beside those that are served
)

// Config is what a server starts from.
type Config struct {
	Exchange       *exchange.Exchange
	Ready          func() bool
	Classes        []string
	MaxConns       int
	RequestTimeout time.Duration // for a client to send one request; for the first, from its connecting
	IdleTimeout    time.Duration // between two requests
	Log            *slog.Logger
}

// Counts is what the server has answered itself, without the exchange.
type Counts struct {
	Requests     atomic.Int64 // heads read whole, health checks too
	HealthChecks atomic.Int64
	Submitted    atomic.Int64 // given to the exchange
	Rejected     atomic.Int64 // answered as not well formed
	ClientsGone  atomic.Int64 // clients that left before their answer
}

// Server serves clients.
type Server struct {
	cfg     Config
	Counts  Counts
	classes map[string]bool
	room    chan struct{} // a token for each connection that is served
	linger  chan struct{} // and for each that lingers beside them; both together are the cap
	mu      sync.Mutex
	conns   map[*client]bool
	closing bool
	endBy   time.Time // with closing: when all connections must have ended
	wg      sync.WaitGroup
}

// New returns a server without connections.
func New(cfg Config) *Server {
	beside := cfg.MaxConns / lingerPart
	s := &Server{cfg: cfg, classes: map[string]bool{}, room: make(chan struct{}, cfg.MaxConns-beside),
		linger: make(chan struct{}, beside), conns: map[*client]bool{}}
	for _, c := range cfg.Classes {
		s.classes[c] = true
	}
	return s
}

// Serve accepts connections until the listener is closed. Running out of descriptors only makes it wait.
func (s *Server) Serve(ln net.Listener) {
	s.wg.Add(1) // so that Close waits for what is accepted last, too
	defer s.wg.Done()
	pause := time.Millisecond
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.cfg.Log.Warn("a connection could not be accepted", "err", err)
			time.Sleep(pause)
			pause = min(2*pause, time.Second)
			continue
		}
		pause = time.Millisecond
		s.makeRoom()
		now := time.Now()
		c := &client{nc: nc, br: bufio.NewReaderSize(nc, 4096), opened: now, since: now}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		s.wg.Go(func() { s.serve(c) })
	}
}

// makeRoom waits until one more connection is allowed, which is soon: one that is not being answered goes for it, and
// answers do not take long. It goes by its own hand, so that what it has sent whole by then is still answered.
func (s *Server) makeRoom() {
	select {
	case s.room <- struct{}{}:
		return
	default:
	}
	s.mu.Lock()
	var worst *client
	for c := range s.conns {
		if c.state != busy && !c.leaving && (worst == nil || c.before(worst)) {
			worst = c
		}
	}
	if worst != nil {
		worst.leave(time.Now().Add(lastLook))
	}
	s.mu.Unlock()
	s.room <- struct{}{}
}

// leave lets a connection serve what has come whole by then, and end. Call it with the server's lock held.
func (c *client) leave(by time.Time) {
	c.leaving = true
	if c.state == idle {
		by = longAgo // await looks once more
	}
	c.nc.SetReadDeadline(by)
}

// before tells whether c makes room rather than d: first those that have not sent a request worth an answer yet, the
// oldest of them; then those between two requests, the one idle longest; last those within one. Guards against crowds
// that connect and say nothing, or nothing that can be read, whoever they are. It hurts a client that is slow with its
// first request while a crowd pushes.
func (c *client) before(d *client) bool {
	if c.proven != d.proven {
		return d.proven
	}
	if c.proven && c.state != d.state {
		return c.state == idle
	}
	return c.since.Before(d.since)
}

// Open is the number of connections.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close ends every connection between two requests and waits until the context ends at most: for the answers still to be
// written, for requests that have begun, and for clients to close. The listener must have been closed before.
func (s *Server) Close(ctx context.Context) {
	s.mu.Lock()
	s.closing, s.endBy = true, time.Now().Add(2*lingering)
	if end, bounded := ctx.Deadline(); bounded {
		s.endBy = end
	}
	for c := range s.conns {
		c.leave(s.soon(time.Now()))
		c.nc.SetWriteDeadline(s.endBy) // a client that sends on and reads nothing has an answer waiting
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// soon is when a request that has begun must be whole, at the end. Call it with the lock held.
func (s *Server) soon(now time.Time) time.Time {
	if at := now.Add(lingering); at.Before(s.endBy) {
		return at
	}
	return s.endBy
}

// state is what a connection is at.
type state int

const (
	idle    state = iota // between two requests
	reading              // within a request
	busy                 // a request is whole and owed its answer, or the connection is ending
)

// client is one connection. What the server's lock guards is read by others than its own goroutine.
type client struct {
	nc     net.Conn
	br     *bufio.Reader
	buf    []byte
	opened time.Time

	state   state     // guarded by the server's lock, as are the three below
	since   time.Time // when it connected or last fell idle
	proven  bool      // it has sent a request that the exchange or a health check answered
	leaving bool      // it makes room for another, or the server ends: nothing is read any more but what has come
}

// enter changes a connection's state.
func (s *Server) enter(c *client, to state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.state = to
}

// longAgo as a deadline ends a blocked read at once.
var longAgo = time.Unix(1, 0)

// serve is the life of a connection.
func (s *Server) serve(c *client) {
	for s.await(c) && s.request(c) {
	}
	s.end(c)
}

// end is the one way in which a connection ends: half-close, linger, close. The sending side is shut first, so that the client
// reads its last answer and then the end; what it has sent meanwhile is read and dropped, never taken on, as a close over
// unread bytes would reset the connection and take the last answer along. A request that crossed the end goes out again on a
// new connection, by the protocol. It lasts until the client closes, a fifth of a second at most, or the end of
// Close; at the room of another client, until no place to linger is left. It hurts by the descriptor held so long.
func (s *Server) end(c *client) {
	s.mu.Lock()
	c.state = busy
	by := time.Now().Add(lingering)
	if s.closing {
		by = s.soon(time.Now())
	}
	s.mu.Unlock()
	held := s.room
	if s.pressed(c) {
		select {
		case s.linger <- struct{}{}:
			<-s.room
			held = s.linger
		default:
			by = longAgo
		}
	}
	c.half(by)
	c.nc.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	<-held
}

// half shuts the sending side and drops what comes until the client ends, the time is over or much has come.
func (c *client) half(by time.Time) {
	tcp, ok := c.nc.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	c.nc.SetReadDeadline(by)
	for n := 0; n < maxLinger; {
		k, err := c.br.Discard(c.br.Size())
		if n += k; err != nil {
			return
		}
	}
}

// await waits for the first byte of a request. It is false when the connection is to be closed. What has come as the
// time ends is still read, so that closing crosses few requests.
func (s *Server) await(c *client) bool {
	s.mu.Lock()
	c.state = idle
	limit := c.opened.Add(s.cfg.RequestTimeout)
	if c.proven {
		c.since = time.Now()
		limit = c.since.Add(s.cfg.IdleTimeout)
	}
	if s.closing || c.leaving {
		limit = longAgo
	}
	c.nc.SetReadDeadline(limit)
	s.mu.Unlock()
	_, err := c.br.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && !socket.ReadWouldBlock(c.nc) {
		err = nil
	}
	s.enter(c, reading)
	return err == nil
}

// begin limits the time for a request whose first byte has come.
func (s *Server) begin(c *client, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := now.Add(s.cfg.RequestTimeout)
	if first := c.opened.Add(s.cfg.RequestTimeout); !c.proven && first.Before(end) {
		end = first
	}
	if soon := s.soon(now); s.closing && soon.Before(end) {
		end = soon
	}
	if last := now.Add(lastLook); c.leaving && !s.closing && last.Before(end) {
		end = last
	}
	c.nc.SetDeadline(end)
}

// request reads one request and answers it. It tells whether another may follow.
func (s *Server) request(c *client) bool {
	arrived := time.Now()
	s.begin(c, arrived)
	req, err := http1.ReadRequest(c.br)
	if err != nil {
		return s.reject(c, err)
	}
	if req.ExpectContinue && req.ContentLength > 0 {
		c.nc.Write(http1.AppendResponse(nil, 100, nil, nil))
	}
	body, err := http1.ReadBody(c.br, req.ContentLength)
	if err != nil {
		return s.reject(c, err)
	}
	s.enter(c, busy)
	s.Counts.Requests.Add(1)
	a, taken := s.handle(c, req, body, arrived)
	if a.status == 0 {
		s.Counts.ClientsGone.Add(1)
		return false
	}
	ends := s.prove(c, a.proves) || req.Close
	if ends {
		a.fields = append(a.fields, http1.Field{Name: "Connection", Value: "close"})
	}
	s.limitWrite(c)
	c.buf = http1.AppendResponse(c.buf[:0], a.status, a.fields, []byte(a.text))
	if _, err := c.nc.Write(c.buf); err != nil {
		if taken != "" {
			s.cfg.Exchange.Withdraw(taken)
		}
		s.Counts.ClientsGone.Add(1)
		return false
	}
	return !ends
}

// prove notes that a client has sent something of use, and tells whether its connection is to end.
func (s *Server) prove(c *client, proves bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.proven = c.proven || proves
	return s.closing || c.leaving
}

// limitWrite sets when an answer must be written, under the lock, so that Close may set it earlier.
func (s *Server) limitWrite(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := time.Now().Add(s.cfg.RequestTimeout)
	if s.closing {
		end = s.endBy
	}
	c.nc.SetDeadline(end)
}

// pressed tells whether a connection ends to make room for another.
func (s *Server) pressed(c *client) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.leaving && !s.closing
}

// reject answers what is not a request, or not whole in its time, and ends the connection. Who had to make room is refused,
// which makes it harmless to come again.
func (s *Server) reject(c *client, err error) bool {
	status := 0
	var fault *http1.Error
	switch {
	case errors.As(err, &fault):
		status = fault.Status
	case errors.Is(err, os.ErrDeadlineExceeded) && s.pressed(c):
		status = 503
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = 408
	default:
		return false // it has gone
	}
	s.Counts.Rejected.Add(1)
	c.nc.SetDeadline(time.Now().Add(lingering))
	fields := http1.Header{{Name: "Connection", Value: "close"}}
	c.nc.Write(http1.AppendResponse(nil, status, fields, []byte(err.Error()+"\n")))
	return false
}

// gone tells whether the client has closed its connection.
func (c *client) gone() bool {
	c.nc.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.br.Peek(1)
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}
