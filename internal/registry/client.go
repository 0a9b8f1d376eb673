// This file owns where discovery is, one connection to it and the request on it. It must never repeat a request by
// itself: whether to ask again is for its user.

package registry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
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
}

const (
	connectLimit = time.Second
	maxList      = 4 << 20 // bytes of the longest list that is read
)

// limits are how long a request may take: until its answer begins, the connecting included, and from there to its end.
type limits struct{ begin, rest time.Duration }

// errSlow tells of an answer that began and did not end in its time.
var errSlow = errors.New("the answer takes too long")

// do makes a request at a place and waits for its answer until a limit has passed, the context ends or discovery
// moves.
func (c *client) do(ctx context.Context, at *place, limit limits, method, target string, body []byte) (
	*http1.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(limit.begin, func() { cancel(os.ErrDeadlineExceeded) })
	defer context.AfterFunc(at.stay, func() { cancel(errMoved) })()
	begun := func() {
		if timer.Stop() {
			timer = time.AfterFunc(limit.rest, func() { cancel(errSlow) })
		}
	}
	resp, err := c.send(ctx, at, begun, http1.AppendRequest(c.buf[:0], method, target, http1.Header{{Name: "Host", Value: at.addr}}, body))
	timer.Stop()
	if at.stay.Err() != nil {
		c.close()
		return nil, errMoved
	}
	if err != nil && ctx.Err() != nil {
		err = fmt.Errorf("%s %s: %w", method, target, context.Cause(ctx))
	}
	return resp, err
}

// send writes the request on the connection kept, or on a new one. It calls begun when the answer begins.
func (c *client) send(ctx context.Context, at *place, begun func(), request []byte) (*http1.Response, error) {
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
	resp, err := c.exchange(begun)
	if err != nil || resp.Close || c.br.Buffered() > 0 || !stop() {
		c.close()
	}
	return resp, err
}

func (c *client) exchange(begun func()) (*http1.Response, error) {
	if _, err := c.nc.Write(c.buf); err != nil {
		return nil, err
	}
	if _, err := c.br.Peek(1); err != nil {
		return nil, err
	}
	begun()
	return http1.ReadResponse(c.br, maxList)
}

func (c *client) close() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}
