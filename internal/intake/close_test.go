package intake

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"eiderhaven/internal/testkit"
)

// readToEnd reads to the end of the stream. The connection must not be reset: a reset can destroy a response in
// transit.
func (p *testClient) readToEnd() (text string) {
	p.t.Helper()
	rest, err := io.ReadAll(p.br)
	if err != nil {
		p.t.Errorf("the connection does not end in order: %v", err)
	}
	return string(rest)
}

// Bytes that a client sends after its last request are dropped, and must not cost it its last response: closing a
// connection with unread bytes resets it, and the client would read an error. The last request asks for closing, cannot
// be parsed or is too slow; what follows it may exceed any buffer.
func TestLastResponseArrivesDespiteUnreadBytes(t *testing.T) {
	extra := strings.Repeat("x", 200<<10)
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"asks to close":          {strings.Replace(requestWithID("a"), "Host: app.svc", "Connection: close", 1) + requestWithID("extra"), 202},
		"followed by many bytes": {strings.Replace(requestWithID("b"), "Host: app.svc", "Connection: close", 1) + extra, 202},
		"malformed":              {"POST /stock\r\n\r\n" + extra, 400},
		"body too large":         {strings.Replace(requestWithID("c"), "Content-Length: 2", "Content-Length: 300000", 1) + extra, 413},
		"too slow":               {requestWithID("d")[:80], 408},
		"transfer coding":        {strings.Replace(requestWithID("e"), "Content-Length: 2", "Transfer-Encoding: chunked", 1) + extra, 501},
		"health check":           {"GET /health/live HTTP/1.1\r\nConnection: close\r\n\r\n" + requestWithID("f"), 200},
	} {
		s := newTestServer(t, nil, func(cfg *Config) {
			if c.status == 408 {
				cfg.RequestTimeout = 100 * time.Millisecond
			}
		})
		p := s.dial()
		written := make(chan error, 1)
		go func() { _, err := io.WriteString(p, c.text); written <- err }()
		if r := p.readResponse(); r.Status != c.status || !r.Close {
			t.Errorf("%s: %+v", name, r)
		}
		if err := testkit.Receive(t, written, "end of the write"); err != nil {
			t.Errorf("%s: writing the request and what follows it: %v", name, err)
		}
		if rest := p.readToEnd(); rest != "" {
			t.Errorf("%s: %q after the last response", name, rest)
		}
		if n := s.exchange.Counts().Submitted; n > 1 {
			t.Errorf("%s: a message after the last request was accepted", name)
		}
	}
}

// A request that is written to an idle connection just when the server closes it is not accepted and does not reset the
// connection: the client reads the end of the stream, and can send the request elsewhere.
func TestRequestSentWhileClosingIsDropped(t *testing.T) {
	s := newTestServer(t, nil, nil)
	p := s.dial()
	p.send(requestWithID("a"))
	p.readResponse()
	s.ln.Close()
	closed := make(chan struct{})
	go func() { s.Close(context.Background()); close(closed) }()
	if !p.closedByServer() { // the server has shut down its sending side and still reads
		t.Fatal("the idle connection stays open")
	}
	for i := range 20 { // a write to a closed socket is answered by a reset, which makes the next one fail
		p.send(requestWithID(fmt.Sprint("late-", i)))
	}
	if rest := p.readToEnd(); rest != "" {
		t.Errorf("answered after the end of the stream: %q", rest)
	}
	p.Conn.Close()
	<-closed
	if n := s.exchange.Counts().Submitted; n != 1 {
		t.Errorf("%d messages submitted, want the first alone", n)
	}
}

// Close returns by its context's deadline, whether clients are idle, stop in the middle of a request or go on sending.
func TestCloseEndsByItsDeadline(t *testing.T) {
	s := newTestServer(t, nil, nil)
	largeBody := strings.Replace(requestWithID("y"), "Content-Length: 2", "Content-Length: 60000", 1)
	for i, text := range []string{"", requestWithID("x")[:40], largeBody} {
		p := s.dial()
		p.send(requestWithID(fmt.Sprint("m", i)))
		p.readResponse()
		p.send(text)
		if i == 2 {
			stop := make(chan struct{})
			defer close(stop)
			go func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Millisecond):
						p.Write([]byte("z")) // even after the connection was closed
					}
				}
			}()
		}
	}
	testkit.Eventually(t, "three connections accepted", func() bool { return s.OpenConns() == 3 })
	s.ln.Close()
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	s.Close(ctx)
	if took := time.Since(start); took > time.Second {
		t.Errorf("Close took %v with a deadline of 0.1 s", took)
	}
	if n := s.OpenConns(); n != 0 {
		t.Errorf("%d connections are still open", n)
	}
}

// An evicted connection first answers a request that has been received completely, even if its goroutine has not read
// it yet, and refuses an incomplete one. Neither goes without a response, and the new connection is served.
func TestEvictionAnswersReceivedRequests(t *testing.T) {
	for name, c := range map[string]struct {
		sent   string
		races  bool // it arrives just before the eviction, while the server still takes the connection for an idle one
		status int
	}{
		"complete":                       {requestWithID("b"), true, 202},
		"part of a head":                 {requestWithID("c")[:70], true, 503},
		"head without its body":          {requestWithID("d")[:len(validRequest)-2], true, 503},
		"part of a head, received early": {requestWithID("e")[:70], false, 503},
	} {
		s := newTestServer(t, nil, func(c *Config) { c.MaxConns = 1 })
		old := s.dial()
		old.send(requestWithID("a"))
		old.readResponse()
		testkit.Eventually(t, "idle", func() bool { return s.idleConns() == 1 })
		if c.races {
			s.mu.Lock()
			old.send(c.sent)
			for conn := range s.conns {
				conn.drain(time.Now().Add(evictionGrace)) // as acquireToken does
			}
			s.mu.Unlock()
		} else {
			old.send(c.sent)
			testkit.Eventually(t, "request begun", func() bool { return s.idleConns() == 0 })
		}
		fresh := s.dial()
		fresh.send(requestWithID("fresh"))
		if r := old.readResponse(); r.Status != c.status || !r.Close {
			t.Errorf("%s: %+v, want %d", name, r, c.status)
		}
		old.readToEnd()
		if r := fresh.readResponse(); r.Status != 202 {
			t.Errorf("%s: the new connection got %+v", name, r)
		}
	}
}

// Connections that linger do not block new ones: some linger besides those that are served, the others are closed at
// once.
func TestLingeringConnectionsDoNotBlockNewOnes(t *testing.T) {
	s := newTestServer(t, nil, func(c *Config) { c.MaxConns = 16 })
	for range 100 {
		s.dial().send(requestWithID("x")[:40]) // evicted by those that follow; the client never closes it
	}
	start := time.Now()
	p := s.dial()
	p.send(requestWithID("fresh"))
	if r := p.readResponse(); r.Status != 202 {
		t.Errorf("a new connection got %+v", r)
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("a new connection waited %v", took)
	}
	if n := s.OpenConns(); n > 16 {
		t.Errorf("%d connections open, limit 16", n)
	}
}

// A request may arrive in fragments of any size, and many may arrive at once (pipelining): each is read completely,
// accepted once and answered in order.
func TestFragmentedAndPipelinedRequests(t *testing.T) {
	for _, size := range []int{1, 7, 64} {
		s := newTestServer(t, nil, nil)
		p, id := s.dial(), fmt.Sprint("cut-", size)
		for text := requestWithID(id); text != ""; {
			n := min(size, len(text))
			p.send(text[:n])
			text = text[n:]
		}
		if r := p.readResponse(); r.Status != 202 {
			t.Errorf("in fragments of %d bytes: %+v", size, r)
		}
		if r := s.roundTrip(requestWithID(id)); r.Status != 409 {
			t.Errorf("in fragments of %d bytes: its ID again got status %d, want 409", size, r.Status)
		}
	}
	s := newTestServer(t, nil, nil)
	p, all, want := s.dial(), "", []int{}
	for i := range 20 {
		if i%4 == 3 { // the previous one, repeated
			all, want = all+requestWithID(fmt.Sprint("m", i-1)), append(want, 409)
			continue
		}
		all, want = all+requestWithID(fmt.Sprint("m", i)), append(want, 202)
	}
	p.send(all)
	for i, status := range want {
		if r := p.readResponse(); r.Status != status || r.Close {
			t.Errorf("request %d of 20 sent at once: %+v, want status %d", i, r, status)
		}
	}
}

// Clients that send a lot at once and disconnect, orderly or by a reset, leave no open connection, and other clients
// are served meanwhile.
func TestFloodThenDisconnectLeavesNoConnections(t *testing.T) {
	s := newTestServer(t, nil, func(c *Config) { c.MaxConns = 8 })
	old := s.dial()
	old.send(requestWithID("first"))
	if r := old.readResponse(); r.Status != 202 {
		t.Fatalf("status %d", r.Status)
	}
	for name, text := range map[string]string{
		"requests":     strings.Repeat(requestWithID("same"), 2000),
		"binary noise": strings.Repeat("\x00\xff\r\n", 100<<10),
		"part of a body": strings.Replace(validRequest, "Content-Length: 2", "Content-Length: 65536", 1) +
			strings.Repeat("x", 60<<10),
	} {
		for i := range 12 {
			nc := s.dial().Conn.(*net.TCPConn)
			if i%2 == 0 {
				nc.SetLinger(0)
			}
			// no response is read, so the server stops reading at some point
			nc.SetWriteDeadline(time.Now().Add(20 * time.Millisecond))
			io.WriteString(nc, text)
			nc.Close()
		}
		fresh := s.dial()
		fresh.send(requestWithID("after-" + strings.ReplaceAll(name, " ", "-")))
		if r := fresh.readResponse(); r.Status != 202 {
			t.Errorf("%s: a new connection got status %d", name, r.Status)
		}
		fresh.Close()
		testkit.Eventually(t, name+": connections closed", func() bool { return s.OpenConns() == 1 })
	}
	old.send(requestWithID("last"))
	if r := old.readResponse(); r.Status != 202 {
		t.Errorf("the connection from before got status %d", r.Status)
	}
}

// Responses are sent at once (TCP_NODELAY): bytes that the kernel delays would be lost if the connection is then reset.
func TestResponsesUseNoDelay(t *testing.T) {
	s := newTestServer(t, nil, nil)
	p := s.dial()
	p.send(requestWithID("a"))
	p.readResponse()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		testkit.RequireNoDelay(t, c.nc)
	}
	if len(s.conns) != 1 {
		t.Errorf("%d connections, want one", len(s.conns))
	}
}

// Close is not delayed by a client that goes on sending and reads no response: the write that waits for the client ends
// at the deadline of Close.
func TestCloseInterruptsBlockedWrite(t *testing.T) {
	s := newTestServer(t, nil, nil) // 20 s to write a response
	p := s.dial()
	p.Conn.(*net.TCPConn).SetReadBuffer(4096)
	requests := strings.Repeat("GET /health/live HTTP/1.1\r\n\r\n", 1000)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for {
			if _, err := io.WriteString(p, requests); err != nil {
				return
			}
		}
	}()
	// A count of requests that stays the same for 100 checks shows that unread responses fill the kernel's buffers.
	stuck, last := 0, int64(-1)
	testkit.Eventually(t, "a write that blocks", func() bool {
		n := s.Counts.Requests.Load()
		if n == last && n > 0 {
			stuck++
		} else {
			stuck, last = 0, n
		}
		return stuck > 100
	})
	s.ln.Close()
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	s.Close(ctx)
	if took := time.Since(start); took > 5*time.Second { // otherwise it would take what is left of the 20 s
		t.Errorf("Close took %v with a deadline of 0.1 s", took)
	}
	p.Close()
	<-sent
}
