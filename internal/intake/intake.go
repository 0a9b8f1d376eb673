// Package intake is the client side: it accepts connections, reads the messages that clients submit and writes the
// exchange's answers. It owns those connections, with one goroutine each, and the format of requests (request.go). It
// must never reject a message for anything but its format, leave a request that it has read without a response, or let
// clients that send nothing useful keep others out.
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

// Limits that apply to clients.
const (
	clientTimeout = 400 * time.Millisecond // after which clients stop waiting for a response, by the protocol

	// lingerTimeout is the time for a client to read its last response and close, and to complete a request that has
	// begun when the server closes.
	lingerTimeout = 200 * time.Millisecond

	evictionGrace  = 5 * time.Millisecond // for a client that is evicted to complete a request
	maxLingerBytes = 1 << 20              // read and dropped while a connection lingers
	lingerDivisor  = 8                    // 1/8 of MaxConns may linger while the others are served
)

// Settings of the server itself.
const (
	minAcceptPause      = time.Millisecond // after a failed accept
	maxAcceptPause      = time.Second
	disconnectCheckTime = time.Millisecond // how long a read waits to notice that a client has disconnected
	readBufferBytes     = 4096
)

// Config holds the dependencies and limits of a server.
type Config struct {
	Exchange       *exchange.Exchange
	Ready          func() bool // whether /health/ready answers 200
	Classes        []string    // names of the message classes, which are the paths served
	MaxConns       int
	RequestTimeout time.Duration // for a client to send one request; the first is timed from the connect
	IdleTimeout    time.Duration // between two requests
	Log            *slog.Logger
}

// Counts counts requests and how they were handled.
type Counts struct {
	Requests     atomic.Int64 // read completely, health checks included
	HealthChecks atomic.Int64
	Submitted    atomic.Int64 // passed to the exchange
	Rejected     atomic.Int64 // answered with an error before they reached the exchange
	ClientsGone  atomic.Int64 // clients that disconnected before their response
}

// Server serves clients' connections. Create it with New.
type Server struct {
	cfg           Config
	Counts        Counts
	classes       map[string]bool
	servedTokens  chan struct{} // one token for each connection that is served
	lingerTokens  chan struct{} // one for each that lingers; both together hold MaxConns tokens
	mu            sync.Mutex
	conns         map[*client]bool
	closing       bool
	closeDeadline time.Time // while closing: when all connections must have ended
	wg            sync.WaitGroup
}

// New returns a server without connections. Call Serve to accept some.
func New(cfg Config) *Server {
	lingerers := cfg.MaxConns / lingerDivisor
	s := &Server{
		cfg:          cfg,
		classes:      map[string]bool{},
		servedTokens: make(chan struct{}, cfg.MaxConns-lingerers),
		lingerTokens: make(chan struct{}, lingerers),
		conns:        map[*client]bool{},
	}
	for _, c := range cfg.Classes {
		s.classes[c] = true
	}
	return s
}

// Serve accepts connections until the listener is closed. Other errors of the listener, such as running out of file
// descriptors, are retried after a pause that doubles up to a second.
func (s *Server) Serve(ln net.Listener) {
	s.wg.Add(1) // so that Close also waits for the last connection accepted
	defer s.wg.Done()
	pause := minAcceptPause
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.cfg.Log.Warn("a connection could not be accepted", "err", err)
			time.Sleep(pause)
			pause = min(2*pause, maxAcceptPause)
			continue
		}
		pause = minAcceptPause
		s.acquireToken()
		now := time.Now()
		c := &client{nc: nc, br: bufio.NewReaderSize(nc, readBufferBytes), connectedAt: now, idleSince: now}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		s.wg.Go(func() { s.serveConn(c) })
	}
}

// acquireToken waits until one more connection may be served. At the limit it evicts a connection that is not being
// answered; as responses do not take long, the wait is short. The evicted connection's own goroutine closes it, so that
// a request that has been received completely is still answered.
func (s *Server) acquireToken() {
	select {
	case s.servedTokens <- struct{}{}:
		return
	default:
	}
	s.mu.Lock()
	var victim *client
	for c := range s.conns {
		if c.state != busy && !c.draining && (victim == nil || c.evictBefore(victim)) {
			victim = c
		}
	}
	if victim != nil {
		victim.drain(time.Now().Add(evictionGrace))
	}
	s.mu.Unlock()
	s.servedTokens <- struct{}{}
}

// drain makes a connection answer what it has received completely by the deadline, and then close. It must be called
// with the server's lock held.
func (c *client) drain(deadline time.Time) {
	c.draining = true
	if c.state == idle {
		deadline = pastDeadline // awaitRequest still checks for bytes that have arrived
	}
	c.nc.SetReadDeadline(deadline)
}

// evictBefore reports whether c is evicted rather than d. Clients that are not trusted yet go first, the oldest of them
// before the others; then clients between two requests, the one idle longest first; then clients within a request. This
// guards against many clients that connect and send nothing, or nothing that can be parsed. Its cost: while many such
// clients connect, a legitimate client that is slow to send its first request may be evicted.
func (c *client) evictBefore(d *client) bool {
	if c.trusted != d.trusted {
		return d.trusted
	}
	if c.trusted && c.state != d.state {
		return c.state == idle
	}
	return c.idleSince.Before(d.idleSince)
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close ends every connection between two requests. Up to the context's deadline (without one, 2*lingerTimeout) it
// waits for responses that are still to be written, for requests that have begun to arrive, and for clients to close.
// The listener must have been closed before.
func (s *Server) Close(ctx context.Context) {
	s.mu.Lock()
	s.closing, s.closeDeadline = true, time.Now().Add(2*lingerTimeout)
	if deadline, ok := ctx.Deadline(); ok {
		s.closeDeadline = deadline
	}
	for c := range s.conns {
		c.drain(s.requestDeadlineOnClose(time.Now()))
		c.nc.SetWriteDeadline(s.closeDeadline) // ends a write that blocks because the client reads nothing
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// requestDeadlineOnClose returns when a request that has begun must be complete while the server closes. It must be
// called with the lock held.
func (s *Server) requestDeadlineOnClose(now time.Time) time.Time {
	if deadline := now.Add(lingerTimeout); deadline.Before(s.closeDeadline) {
		return deadline
	}
	return s.closeDeadline
}

// state is the state of a connection.
type state int

const (
	idle    state = iota // between two requests
	reading              // in the middle of a request
	busy                 // a request was read and awaits its response, or the connection is being closed
)

// client is a client's connection. One goroutine serves it; the fields guarded by the server's lock are also read or
// set by others.
type client struct {
	nc          net.Conn
	br          *bufio.Reader
	buf         []byte // for responses, reused
	connectedAt time.Time
	leavesMore  bool // it has ended its sending with several requests unanswered

	state     state     // guarded by the server's lock, as are the next three fields
	idleSince time.Time // when it connected or, once it is trusted, last became idle
	trusted   bool      // one of its requests has earned trust, see response.earnsTrust
	draining  bool      // it is evicted or the server closes: only what has arrived is still answered
}

// setState changes a connection's state.
func (s *Server) setState(c *client, next state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.state = next
}

// pastDeadline, set as a deadline, makes a blocked read return at once.
var pastDeadline = time.Unix(1, 0)

// serveConn answers the requests of one connection, then closes it.
func (s *Server) serveConn(c *client) {
	for s.awaitRequest(c) && s.serveRequest(c) {
	}
	s.closeConn(c)
}

// closeConn closes a connection, and is the only function that does: half-close, linger, close. The sending side is
// shut down first, so that the client reads its last response and then the end of the stream. What the client sends
// meanwhile is read and dropped, never accepted: closing with unread bytes would reset the connection, and the reset
// could destroy the last response before the client has read it (RFC 9112, 9.6). By the protocol, a client sends a
// request that was dropped this way again on a new connection.
//
// It lingers until the client closes, but no longer than lingerTimeout and the deadline of Close. An evicted
// connection passes its token on and lingers only if a linger token is free. The cost of lingering is a file
// descriptor held for that time.
func (s *Server) closeConn(c *client) {
	s.mu.Lock()
	c.state = busy
	deadline := time.Now().Add(lingerTimeout)
	if s.closing {
		deadline = s.requestDeadlineOnClose(time.Now())
	}
	s.mu.Unlock()
	tokens := s.servedTokens
	if s.evicted(c) {
		select {
		case s.lingerTokens <- struct{}{}:
			<-s.servedTokens
			tokens = s.lingerTokens
		default:
			deadline = pastDeadline
		}
	}
	c.closeWriteAndLinger(deadline)
	c.nc.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	<-tokens
}

// closeWriteAndLinger shuts down the sending side and drops what arrives, until the client closes, the deadline
// passes or maxLingerBytes have been read.
func (c *client) closeWriteAndLinger(deadline time.Time) {
	tcp, ok := c.nc.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	c.nc.SetReadDeadline(deadline)
	for dropped := 0; dropped < maxLingerBytes; {
		n, err := c.br.Discard(c.br.Size())
		if dropped += n; err != nil {
			return
		}
	}
}

// awaitRequest waits for the first byte of a request. It returns false if the connection is to be closed. Bytes that
// have arrived when the time is over still count, so that few requests meet a connection that is being closed.
func (s *Server) awaitRequest(c *client) bool {
	s.mu.Lock()
	c.state = idle
	deadline := c.connectedAt.Add(s.cfg.RequestTimeout)
	if c.trusted {
		c.idleSince = time.Now()
		deadline = c.idleSince.Add(s.cfg.IdleTimeout)
	}
	if s.closing || c.draining {
		deadline = pastDeadline
	}
	c.nc.SetReadDeadline(deadline)
	s.mu.Unlock()
	_, err := c.br.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && !socket.ReadWouldBlock(c.nc) {
		err = nil
	}
	s.setState(c, reading)
	return err == nil
}

// setRequestDeadline limits the time for a request whose first byte has arrived.
func (s *Server) setRequestDeadline(c *client, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	deadline := now.Add(s.cfg.RequestTimeout)
	if first := c.connectedAt.Add(s.cfg.RequestTimeout); !c.trusted && first.Before(deadline) {
		deadline = first
	}
	if onClose := s.requestDeadlineOnClose(now); s.closing && onClose.Before(deadline) {
		deadline = onClose
	}
	if onEviction := now.Add(evictionGrace); c.draining && !s.closing && onEviction.Before(deadline) {
		deadline = onEviction
	}
	c.nc.SetDeadline(deadline)
}

// serveRequest reads one request and answers it. It reports whether another one may follow on the connection.
func (s *Server) serveRequest(c *client) bool {
	arrived := time.Now()
	s.setRequestDeadline(c, arrived)
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
	s.setState(c, busy)
	s.Counts.Requests.Add(1)
	resp, acceptedID := s.handle(c, req, body, arrived)
	if resp.status == 0 {
		s.Counts.ClientsGone.Add(1)
		return false
	}
	closes := s.updateTrust(c, resp.earnsTrust) || req.Close
	if closes {
		resp.fields = append(resp.fields, http1.Field{Name: "Connection", Value: "close"})
	}
	s.setWriteDeadline(c)
	c.buf = http1.AppendResponse(c.buf[:0], resp.status, resp.fields, []byte(resp.body))
	if _, err := c.nc.Write(c.buf); err != nil {
		if acceptedID != "" {
			<-s.cfg.Exchange.Withdraw(acceptedID)
		}
		s.Counts.ClientsGone.Add(1)
		return false
	}
	return !closes
}

// updateTrust records whether a request earned its client trust, and reports whether the connection is to be closed.
func (s *Server) updateTrust(c *client, earned bool) (closes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.trusted = c.trusted || earned
	return s.closing || c.draining
}

// setWriteDeadline sets when a response must be written. It holds the lock, so that it cannot replace an earlier
// deadline that Close sets at the same time.
func (s *Server) setWriteDeadline(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	deadline := time.Now().Add(s.cfg.RequestTimeout)
	if s.closing {
		deadline = s.closeDeadline
	}
	c.nc.SetDeadline(deadline)
}

// evicted reports whether a connection closes to make room for another.
func (s *Server) evicted(c *client) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.draining && !s.closing
}

// reject answers a request that is malformed or was not complete in time; the connection is closed after it. It always
// returns false. An evicted client gets a 503, which tells it that sending the request again is harmless.
func (s *Server) reject(c *client, err error) bool {
	status := 0
	var httpErr *http1.Error
	switch {
	case errors.As(err, &httpErr):
		status = httpErr.Status
	case errors.Is(err, os.ErrDeadlineExceeded) && s.evicted(c):
		status = 503
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = 408
	default:
		return false // the client has disconnected
	}
	s.Counts.Rejected.Add(1)
	c.nc.SetDeadline(time.Now().Add(lingerTimeout))
	fields := http1.Header{{Name: "Connection", Value: "close"}}
	c.nc.Write(http1.AppendResponse(nil, status, fields, []byte(err.Error()+"\n")))
	return false
}

// departure is whether a client has left before its request was passed on.
type departure int

const (
	stays      departure = iota
	hasGone              // it has reset the connection: nobody reads an answer
	leavesMore           // it has ended its sending behind several requests
)

// departureOf tells whether a client has left. A client that writes several requests at once and closes the connection does
// not learn what becomes of them, so they must not be accepted. The kernel cannot tell it from one that still reads, so
// each is refused, which is harmless to both. A single request with the end of the sending behind it is served.
func (s *Server) departureOf(c *client) departure {
	switch socket.Peer(c.nc) {
	case socket.PeerGone:
		return hasGone
	case socket.PeerClosed:
		c.leavesMore = c.leavesMore || c.br.Buffered() > 0 || socket.HasUnreadBytes(c.nc)
	}
	if c.leavesMore {
		return leavesMore
	}
	return stays
}

// disconnected reports whether the client has closed its connection.
func (c *client) disconnected() bool {
	c.nc.SetReadDeadline(time.Now().Add(disconnectCheckTime))
	_, err := c.br.Peek(1)
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}
