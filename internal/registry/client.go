// This file owns where discovery is, one connection to it and the request on it. It must never repeat a request by
// itself: whether to ask again is for its user.

package registry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"eiderhaven/internal/http1"
)

// Address is where discovery is. It may move while requests wait there.
type Address struct {
	mu    sync.Mutex
	place *place
}

// place is one stay at an address.
type place struct {
	addr string
	stay context.Context // done once discovery has moved
	end  context.CancelFunc
}

func newPlace(addr string) *place {
	p := &place{addr: addr}
	p.stay, p.end = context.WithCancel(context.Background())
	return p
}

// NewAddress returns an address that may move.
func NewAddress(addr string) *Address { return &Address{place: newPlace(addr)} }

// Move makes another address discovery's and breaks off what waits at the old one. It is false if there is nothing
// to move.
func (a *Address) Move(addr string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.place.addr == addr {
		return false
	}
	a.place.end()
	a.place = newPlace(addr)
	return true
}

func (a *Address) now() *place {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.place
}

// errMoved ends a request at an address that is no longer discovery's. Nothing has failed: the new one is to be asked.
var errMoved = errors.New("discovery has moved")

// client makes one request at a time over a connection that it keeps. It must never be used by two goroutines.
type client struct {
	at  *place // of the connection
	nc  net.Conn
	br  *bufio.Reader
	buf []byte

	began time.Time // when the last answer began
}

const (
	connectLimit = time.Second
	leastRate    = 512 << 10 // bytes a second that an answer brings, else it is given up
	maxPlain     = 64 << 10  // bytes of an answer that is not read for what it says
)

// limits are how long a request may take: until its answer begins, the connecting included, and from there on as long as the
// answer lags by no more than rest behind one that brings leastRate all along, and never rests so long.
type limits struct{ begin, rest time.Duration }

// errSlow tells of an answer that began and then lagged or fell silent.
var errSlow = errors.New("the answer takes too long")

// answerError tells of an answer that came and cannot be used.
type answerError struct{ error }

func (e *answerError) Unwrap() error { return e.error }

// lease is the time that a request still has. What comes of its answer extends it, by the time in which that must come at the
// least. Guards against an answer that dribbles or falls silent, whatever length it tells, and lets a long one arrive; it hurts
// where the link to discovery is slower than leastRate, and a list longer than rest times that.
type lease struct {
	rest   time.Duration
	cancel context.CancelCauseFunc
	timer  *time.Timer
	until  time.Time
}

func newLease(limit limits, cancel context.CancelCauseFunc) *lease {
	return &lease{rest: limit.rest, cancel: cancel, timer: time.AfterFunc(limit.begin, func() { cancel(os.ErrDeadlineExceeded) })}
}

// begun tells that the answer begins.
func (l *lease) begun() {
	if l.timer.Stop() {
		l.until = time.Now().Add(l.rest)
		l.timer = time.AfterFunc(l.rest, func() { l.cancel(errSlow) })
	}
}

// came tells that so many bytes of it have come.
func (l *lease) came(n int) {
	now := time.Now()
	until := l.until.Add(time.Duration(n) * time.Second / leastRate)
	if last := now.Add(l.rest); until.After(last) {
		until = last
	}
	if until.After(l.until) && l.timer.Stop() {
		l.until = until
		l.timer.Reset(until.Sub(now))
	}
}

// body is what follows an answer's head.
type body struct {
	br    *bufio.Reader
	left  int // bytes, negative if it ends with the connection
	lease *lease
	cut   bool // the connection failed before its end
}

// Read implements [io.Reader]. A connection that ends before the told length is io.ErrUnexpectedEOF.
func (b *body) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if b.left > 0 {
		p = p[:min(len(p), b.left)]
	}
	n, err := b.br.Read(p)
	b.lease.came(n)
	if b.left > 0 {
		b.left -= n
		if errors.Is(err, io.EOF) && b.left > 0 {
			err = io.ErrUnexpectedEOF
		}
	}
	b.cut = b.cut || err != nil && !errors.Is(err, io.EOF)
	return n, err
}

// taker reads the body of an answer: so many bytes, or to the end of the connection if the length is negative.
type taker func(from io.Reader, length int) error

// do makes a request at a place and waits for its answer until a limit has passed, the context ends or discovery
// moves. The body of an answer with status 200 goes to take, if there is one; of any other nothing is kept.
func (c *client) do(ctx context.Context, at *place, limit limits, method, target string, body []byte, take taker) (
	*http1.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	lease := newLease(limit, cancel)
	defer context.AfterFunc(at.stay, func() { cancel(errMoved) })()
	resp, err := c.send(ctx, at, lease, http1.AppendRequest(c.buf[:0], method, target, http1.Header{{Name: "Host", Value: at.addr}}, body), take)
	lease.timer.Stop()
	if at.stay.Err() != nil {
		c.close()
		return nil, errMoved
	}
	if err != nil && ctx.Err() != nil {
		err = fmt.Errorf("%s %s: %w", method, target, context.Cause(ctx))
	}
	return resp, err
}

// send writes the request on the connection kept, or on a new one.
func (c *client) send(ctx context.Context, at *place, lease *lease, request []byte, take taker) (*http1.Response, error) {
	c.buf = request
	if c.at != at {
		c.close()
	}
	if c.nc == nil {
		d := net.Dialer{Timeout: connectLimit, KeepAlive: -1}
		nc, err := d.DialContext(ctx, "tcp", at.addr)
		if err != nil {
			return nil, err
		}
		c.at, c.nc, c.br = at, nc, bufio.NewReaderSize(nc, 4096)
	}
	c.nc.SetDeadline(time.Time{})
	nc := c.nc
	stop := context.AfterFunc(ctx, func() { nc.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	resp, err := c.exchange(lease, take)
	if err != nil || resp.Close || c.br.Buffered() > 0 || !stop() {
		c.close()
	}
	return resp, err
}

func (c *client) exchange(lease *lease, take taker) (*http1.Response, error) {
	if _, err := c.nc.Write(c.buf); err != nil {
		return nil, err
	}
	if _, err := c.br.Peek(1); err != nil {
		return nil, err
	}
	lease.begun()
	c.began = time.Now()
	resp, length, err := http1.ReadResponseHead(c.br)
	var malformed *http1.Error
	if errors.As(err, &malformed) {
		return resp, &answerError{err}
	} else if err != nil {
		return resp, err
	}
	b := &body{br: c.br, left: length, lease: lease}
	if take != nil && resp.Status == 200 {
		if err := take(b, length); err != nil && !b.cut {
			return resp, &answerError{err}
		} else if err != nil {
			return resp, err
		}
	} else if n, err := io.Copy(io.Discard, io.LimitReader(b, maxPlain+1)); err != nil || n > maxPlain {
		return resp, errors.Join(errors.New("an answer that does not end"), err)
	}
	return resp, nil
}

func (c *client) close() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}
