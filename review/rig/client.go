// This file owns the stand-in for the clients: each hands in a message with one request and waits 400 ms for its answer.

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const clientPatience = 400 * time.Millisecond

// message is one message and what its client saw.
type message struct {
	id       string
	class    string
	dest     int
	deadline time.Duration
	sentAt   time.Time
	over     time.Time // when the answer came, or the client stopped waiting
	status   int       // 0: none came
	written  bool
	problem  string
}

// due is when the message's time is up.
func (m *message) due() time.Time { return m.sentAt.Add(m.deadline) }

func (m *message) taken() bool { return m.status == 202 || m.status == 200 }

// clients hand messages in to one sender.
type clients struct {
	w    *world
	addr string

	mu       sync.Mutex
	idle     []net.Conn
	messages []*message
	number   int
	wg       sync.WaitGroup
}

func (w *world) newClients(addr string) *clients { return &clients{w: w, addr: addr} }

// submit hands in a message and waits for the answer.
func (c *clients) submit(class string, dest int, deadline time.Duration, body []byte) *message {
	c.mu.Lock()
	c.number++
	prefix := "s"
	if strings.HasSuffix(class, "payment") {
		prefix = "p"
	}
	m := &message{id: fmt.Sprintf("%s%d-%05d", prefix, dest, c.number), class: class, dest: dest, deadline: deadline}
	c.messages = append(c.messages, m)
	var nc net.Conn
	if n := len(c.idle); n > 0 {
		nc, c.idle = c.idle[n-1], c.idle[:n-1]
	}
	c.mu.Unlock()
	m.sentAt = time.Now()
	if nc == nil {
		var err error
		if nc, err = net.DialTimeout("tcp", c.addr, clientPatience); err != nil {
			m.over, m.problem = time.Now(), err.Error()
			c.w.note("client: %s not handed in: %v", m.id, err)
			return m
		}
	}
	nc.SetDeadline(m.sentAt.Add(clientPatience))
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /%s HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Deadline-Ms: %d\r\n"+
		"Content-Length: %d\r\nEnvelope: dest=%d\r\n\r\n", class, m.id, class, deadline.Milliseconds(), len(body), dest)
	b.Write(body)
	if _, err := nc.Write(b.Bytes()); err != nil {
		m.over, m.problem = time.Now(), err.Error()
		nc.Close()
		c.w.note("client: %s not written: %v", m.id, err)
		return m
	}
	m.written = true
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	m.over = time.Now()
	if err != nil {
		m.problem = err.Error()
		nc.Close()
		c.w.note("client: %s (dest %d, %d ms) got no answer: %v", m.id, dest, deadline.Milliseconds(), err)
		return m
	}
	io.Copy(io.Discard, resp.Body)
	m.status = resp.StatusCode
	if resp.Close {
		nc.Close()
	} else {
		c.mu.Lock()
		c.idle = append(c.idle, nc)
		c.mu.Unlock()
	}
	c.w.noteAt(m.sentAt, "client: %s handed in (dest %d, %d ms): %d after %d ms", m.id, dest, deadline.Milliseconds(),
		m.status, m.over.Sub(m.sentAt).Milliseconds())
	return m
}

// start is submit without waiting for it.
func (c *clients) start(class string, dest int, deadline time.Duration, body []byte) {
	c.wg.Go(func() { c.submit(class, dest, deadline, body) })
}

// closeIdle closes the connections that rest.
func (c *clients) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, nc := range c.idle {
		nc.Close()
	}
	c.idle = nil
}

func (c *clients) all() []*message {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*message(nil), c.messages...)
}
