// This file owns the stand-in for an endpoint. It reads calls as PROTOCOL.md describes them and leaves each answer to the
// case.

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// link is a connection to a sender, with the way of its bytes: they come in the order in which they were written, and a
// part that the network holds back holds back what is behind it.
type link struct {
	net.Conn
	out chan segment
}

type segment struct {
	bytes []byte
	delay time.Duration // for which the network holds it back
}

func newLink(nc net.Conn) *link {
	l := &link{nc, make(chan segment, 64)}
	go func() {
		for s := range l.out {
			time.Sleep(s.delay)
			l.Conn.Write(s.bytes)
		}
	}()
	return l
}

// call is one call that an endpoint has read whole.
type call struct {
	endpoint *endpoint
	link     *link
	connNo   int
	first    bool // of its connection
	at       time.Time
	ids      []string
	body     []byte
	gone     <-chan struct{} // closed when the sender has given the call up
}

// answer writes an answer with no body, or with the results of a call of several messages.
func (c *call) answer(status int, fields ...string) {
	var body string
	if status == 200 && len(c.ids) > 1 {
		for _, id := range c.ids {
			body += id + " accepted\r\n"
		}
	}
	c.link.out <- segment{bytes: response(status, body, fields...)}
}

// copyBehind writes a second copy of an answer without a body directly behind it. The network holds the copy back.
func (c *call) copyBehind(status int, heldBack time.Duration) {
	c.endpoint.w.note("endpoint %s conn %d: a second copy of the %d to %s directly behind; the network holds it back for %v",
		c.endpoint.name, c.connNo, status, strings.Join(c.ids, ","), heldBack)
	c.link.out <- segment{response(status, ""), heldBack}
}

func response(status int, body string, fields ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, f := range fields {
		b.WriteString(f + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.Bytes()
}

// endpoint is one endpoint of a destination.
type endpoint struct {
	w     *world
	name  string
	dest  int
	ln    net.Listener
	serve func(*call) // answers a call, or returns without one: then the connection stays open and silent

	mu    sync.Mutex
	conns int
	runs  map[string][]time.Time // when each message took effect
	calls map[string][]time.Time // when each message came
	okAt  map[string]time.Time   // when a first line with 200 was written for it
}

func (w *world) startEndpoint(name string, dest int, serve func(*call)) (*endpoint, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{w: w, name: name, dest: dest, ln: ln, serve: serve, runs: map[string][]time.Time{},
		calls: map[string][]time.Time{}, okAt: map[string]time.Time{}}
	go e.accept()
	return e, nil
}

func (e *endpoint) entry(zone, kind string, rate float64) entry {
	return entry{Host: e.name, Dial: e.ln.Addr().String(), Site: zone, Class: kind, Block: e.dest,
		Health: "Ready", Share: rate}
}

func (e *endpoint) accept() {
	for {
		nc, err := e.ln.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns++
		number := e.conns
		e.mu.Unlock()
		go e.serveConn(nc, number)
	}
}

func (e *endpoint) serveConn(nc net.Conn, number int) {
	defer nc.Close()
	requests := make(chan *call)
	gone := make(chan struct{})
	done := make(chan struct{})
	defer close(done)
	l := newLink(nc)
	defer close(l.out)
	go func() {
		defer close(gone)
		br := bufio.NewReader(nc)
		for first := true; ; first = false {
			c, err := readCall(br)
			if err != nil {
				return
			}
			c.endpoint, c.link, c.connNo, c.first, c.at, c.gone = e, l, number, first, time.Now(), gone
			select {
			case requests <- c:
			case <-done:
				return
			}
		}
	}()
	for {
		select {
		case <-gone:
			return
		case c := <-requests:
			e.mu.Lock()
			for _, id := range c.ids {
				e.calls[id] = append(e.calls[id], c.at)
			}
			e.mu.Unlock()
			e.w.noteAt(c.at, "endpoint %s conn %d: call %s", e.name, number, strings.Join(c.ids, ","))
			if c.ids == nil {
				c.answer(400)
				return
			}
			e.serve(c)
		}
	}
}

func readCall(br *bufio.Reader) (*call, error) {
	req, err := http.ReadRequest(br)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	c := &call{body: body}
	switch req.URL.Path {
	case "/receive":
		c.ids = []string{req.Header.Get("Req-Id")}
	case "/receive-many":
		for rest := body; len(rest) > 0; {
			line, after, ok := bytes.Cut(rest, []byte("\r\n"))
			words := strings.Fields(string(line))
			if !ok || len(words) != 3 {
				return c, nil
			}
			n, err := strconv.Atoi(words[2])
			if err != nil || n < 0 || n+2 > len(after) {
				return c, nil
			}
			c.ids = append(c.ids, words[0])
			rest = after[n+2:]
		}
	}
	return c, nil
}

// run notes that the messages of a call took effect.
func (c *call) run() {
	now := time.Now()
	e := c.endpoint
	e.mu.Lock()
	for _, id := range c.ids {
		e.runs[id] = append(e.runs[id], now)
	}
	e.mu.Unlock()
	e.w.noteAt(now, "endpoint %s conn %d: %s took effect", e.name, c.connNo, strings.Join(c.ids, ","))
}

// deliver runs the messages and answers 200. If the sender has ended the connection meanwhile, nothing is answered.
func (c *call) deliver() {
	c.run()
	select {
	case <-c.gone:
		c.endpoint.w.note("endpoint %s conn %d: no connection left to answer %s", c.endpoint.name, c.connNo, strings.Join(c.ids, ","))
		return
	default:
	}
	now := time.Now()
	e := c.endpoint
	e.mu.Lock()
	for _, id := range c.ids {
		if _, known := e.okAt[id]; !known {
			e.okAt[id] = now
		}
	}
	e.mu.Unlock()
	c.answer(200)
	e.w.noteAt(now, "endpoint %s conn %d: %s answered 200", e.name, c.connNo, strings.Join(c.ids, ","))
}

// refuse answers that the messages were turned away and have not run.
func (c *call) refuse(fields ...string) {
	c.answer(503, fields...)
	c.endpoint.w.note("endpoint %s conn %d: %s answered 503", c.endpoint.name, c.connNo, strings.Join(c.ids, ","))
}

// rest waits until the sender has given the call up, or the time is over. It reports whether the call still stands.
func (c *call) rest(d time.Duration) bool {
	select {
	case <-c.gone:
		return false
	case <-time.After(d):
		return true
	}
}
