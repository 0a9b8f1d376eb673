// This file owns the address of discovery, one connection to it and the request on that connection. It must never
// repeat a request by itself: whether to ask again is up to the caller.

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
	"sync/atomic"
	"time"

	"eiderhaven/internal/http1"
	"eiderhaven/internal/socket"
)

// Address is where discovery is. It may change while requests wait there.
type Address struct {
	mu       sync.Mutex
	location *location
}

// location is one period during which discovery stays at an address.
type location struct {
	addr  string
	left  context.Context // done once discovery has moved away
	leave context.CancelFunc
}

func newLocation(addr string) *location {
	l := &location{addr: addr}
	l.left, l.leave = context.WithCancel(context.Background())
	return l
}

// NewAddress returns an address that can be changed by Move.
func NewAddress(addr string) *Address { return &Address{location: newLocation(addr)} }

// Move changes the address and aborts requests that wait at the old one. It reports whether the address is a new one.
func (a *Address) Move(addr string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.location.addr == addr {
		return false
	}
	a.location.leave()
	a.location = newLocation(addr)
	return true
}

func (a *Address) current() *location {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.location
}

// errAddressChanged ends a request at an address that is no longer discovery's. It is not a failure: the request
// should be made at the new address.
var errAddressChanged = errors.New("request aborted: the address of discovery has changed")

// client makes one request at a time over a connection that it keeps open. It must never be used by two goroutines.
//
// Answers are matched to requests by their order alone, so an answer that nobody asked for shifts all later ones on its
// connection by one. A request whose answer does not prove by its content that it belongs to it must be made on a new
// connection: call close before.
type client struct {
	at  *location // of the connection
	nc  net.Conn
	br  *bufio.Reader
	buf []byte

	requests    int       // written on the connection
	answerBegan time.Time // of the latest answer

	unasked *atomic.Int64 // counts connections on which bytes came that nobody asked for; may be nil
}

const (
	connectTimeout   = time.Second
	minBodyRate      = 512 << 10 // bytes per second; an answer that falls behind this rate is abandoned
	maxDiscardedBody = 64 << 10  // bytes of an answer whose content is not used
	readBufferSize   = 4096      // bytes
)

// limits are how long a request may take. firstByte is the time until its answer begins, connecting included. From
// there on the answer may take as long as it is at most stall behind one that arrives at minBodyRate all the time, and
// never pauses for that long.
type limits struct{ firstByte, stall time.Duration }

// pastDeadline, set as a deadline, makes all I/O on a connection fail at once.
var pastDeadline = time.Unix(1, 0)

// errStalled means that an answer began, but then fell behind minBodyRate or stopped.
var errStalled = errors.New("the answer began, but its body stalled or came too slowly")

// unusableAnswerError means that an answer came and cannot be used.
type unusableAnswerError struct{ error }

func (e *unusableAnswerError) Unwrap() error { return e.error }

// requestTimer cancels a request whose time is over. Each part of the answer extends the time, by as long as that part
// may take at minBodyRate. This guards against an answer that trickles in or stops, whatever its Content-Length, and
// lets a long answer arrive. It fails a list over a link to discovery that is slower than minBodyRate, if the list
// is longer than such a link brings within the stall limit.
type requestTimer struct {
	stall  time.Duration
	cancel context.CancelCauseFunc
	timer  *time.Timer
	until  time.Time
}

func newRequestTimer(limit limits, cancel context.CancelCauseFunc) *requestTimer {
	return &requestTimer{
		stall:  limit.stall,
		cancel: cancel,
		timer:  time.AfterFunc(limit.firstByte, func() { cancel(os.ErrDeadlineExceeded) }),
	}
}

// answerBegan switches from the limit for the first byte to the stall limit.
func (t *requestTimer) answerBegan() {
	if t.timer.Stop() {
		t.until = time.Now().Add(t.stall)
		t.timer = time.AfterFunc(t.stall, func() { t.cancel(errStalled) })
	}
}

// received extends the time after n more bytes of the answer.
func (t *requestTimer) received(n int) {
	now := time.Now()
	until := t.until.Add(time.Duration(n) * time.Second / minBodyRate)
	if latest := now.Add(t.stall); until.After(latest) {
		until = latest
	}
	if until.After(t.until) && t.timer.Stop() {
		t.until = until
		t.timer.Reset(until.Sub(now))
	}
}

// body reads the body of an answer.
type body struct {
	source     io.Reader
	left       int // bytes; negative if the body ends with the connection, or with its last chunk
	timer      *requestTimer
	connFailed bool // before the end of the body
}

// Read implements [io.Reader]. If the connection ends before Content-Length bytes it returns io.ErrUnexpectedEOF.
func (b *body) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if b.left > 0 {
		p = p[:min(len(p), b.left)]
	}
	n, err := b.source.Read(p)
	b.timer.received(n)
	if b.left > 0 {
		b.left -= n
		if errors.Is(err, io.EOF) && b.left > 0 {
			err = io.ErrUnexpectedEOF
		}
	}
	b.connFailed = b.connFailed || err != nil && !errors.Is(err, io.EOF)
	return n, err
}

// bodyReader reads the body of an answer: length bytes, or to the end of the connection if length is negative.
type bodyReader func(body io.Reader, length int) error

// do makes a request and waits for its answer until a limit is exceeded, the context ends or the address changes. If
// read is not nil, it gets the body of an answer with status 200. The body of any other answer is discarded.
func (c *client) do(ctx context.Context, at *location, limit limits, method, target string, body []byte,
	read bodyReader) (*http1.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := newRequestTimer(limit, cancel)
	defer context.AfterFunc(at.left, func() { cancel(errAddressChanged) })()
	request := http1.AppendRequest(c.buf[:0], method, target, http1.Header{{Name: "Host", Value: at.addr}}, body)
	resp, err := c.send(ctx, at, timer, request, read)
	timer.timer.Stop()
	if at.left.Err() != nil {
		c.close()
		return nil, errAddressChanged
	}
	if err != nil && ctx.Err() != nil {
		err = fmt.Errorf("%s %s: %w", method, target, context.Cause(ctx))
	}
	return resp, err
}

// send writes the request on the open connection or a new one, and reads the answer.
func (c *client) send(ctx context.Context, at *location, timer *requestTimer, request []byte, read bodyReader) (
	*http1.Response, error) {
	c.buf = request
	if c.at != at || c.nc != nil && !c.isQuiet() {
		c.close()
	}
	if c.nc == nil {
		d := net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
		nc, err := d.DialContext(ctx, "tcp", at.addr)
		if err != nil {
			return nil, err
		}
		c.at, c.nc, c.br = at, nc, bufio.NewReaderSize(nc, readBufferSize)
	}
	c.requests++
	c.nc.SetDeadline(time.Time{})
	nc := c.nc
	stop := context.AfterFunc(ctx, func() { nc.SetDeadline(pastDeadline) })
	defer stop()
	resp, err := c.roundTrip(timer, read)
	if err != nil || resp.Close || !c.isQuiet() || !stop() {
		c.close()
	}
	return resp, err
}

// isQuiet reports whether nothing lies unread on the open connection, neither bytes nor its end.
func (c *client) isQuiet() bool {
	if c.br.Buffered() == 0 && socket.ReadWouldBlock(c.nc) {
		return true
	}
	if c.unasked != nil && (c.br.Buffered() > 0 || socket.HasUnreadBytes(c.nc)) {
		c.unasked.Add(1)
	}
	return false
}

// roundTrip writes the request in buf and reads the answer.
func (c *client) roundTrip(timer *requestTimer, read bodyReader) (*http1.Response, error) {
	if _, err := c.nc.Write(c.buf); err != nil {
		return nil, err
	}
	if _, err := c.br.Peek(1); err != nil {
		return nil, err
	}
	timer.answerBegan()
	c.answerBegan = time.Now()
	resp, length, err := http1.ReadResponseHead(c.br)
	var malformed *http1.Error
	if errors.As(err, &malformed) {
		return resp, &unusableAnswerError{err}
	} else if err != nil {
		return resp, err
	}
	b := &body{source: c.br, left: length, timer: timer}
	if resp.Chunked {
		b.source = http1.NewChunkedReader(c.br)
	}
	if read != nil && resp.Status == 200 {
		if err := read(b, length); err != nil && !b.connFailed {
			return resp, &unusableAnswerError{err}
		} else if err != nil {
			return resp, err
		}
	} else if n, err := io.Copy(io.Discard, io.LimitReader(b, maxDiscardedBody+1)); err != nil || n > maxDiscardedBody {
		return resp, errors.Join(fmt.Errorf("body of an answer with status %d: not read to its end, or longer than %d bytes",
			resp.Status, maxDiscardedBody), err)
	}
	return resp, nil
}

func (c *client) close() {
	if c.nc != nil {
		c.nc.Close()
		c.nc, c.requests = nil, 0
	}
}
