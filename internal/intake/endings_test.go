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

// end reads to the end of the connection, which must be an orderly one: a reset takes an answer along that is on its way.
func (p *peer) end() (text string) {
	p.t.Helper()
	rest, err := io.ReadAll(p.br)
	if err != nil {
		p.t.Errorf("the connection does not end in order: %v", err)
	}
	return string(rest)
}

// What a client has sent behind its last request is dropped, and its last answer is read whole, to an orderly end: after a
// request that closes, after one that cannot be read, after one that is too slow, and with more behind it than fits a buffer.
func TestLastAnswerOutlivesWhatIsBehindIt(t *testing.T) {
	more := strings.Repeat("x", 200<<10)
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"closes":       {strings.Replace(request("a"), "Host: app.svc", "Connection: close", 1) + request("behind"), 202},
		"much behind":  {strings.Replace(request("b"), "Host: app.svc", "Connection: close", 1) + more, 202},
		"unreadable":   {"POST /stock\r\n\r\n" + more, 400},
		"too long":     {strings.Replace(request("c"), "Content-Length: 2", "Content-Length: 300000", 1) + more, 413},
		"too slow":     {request("d")[:80], 408},
		"coded":        {strings.Replace(request("e"), "Content-Length: 2", "Transfer-Encoding: chunked", 1) + more, 501},
		"health, ends": {"GET /health/live HTTP/1.1\r\nConnection: close\r\n\r\n" + request("f"), 200},
	} {
		s := newSite(t, nil, func(cfg *Config) {
			if c.status == 408 {
				cfg.RequestTimeout = 100 * time.Millisecond
			}
		})
		p := s.dial()
		written := make(chan error, 1)
		go func() { _, err := io.WriteString(p, c.text); written <- err }()
		if r := p.answer(); r.Status != c.status || !r.Close {
			t.Errorf("%s: %+v", name, r)
		}
		if err := testkit.Receive(t, written, "end of the writing"); err != nil {
			t.Errorf("%s: what lies behind the request: %v", name, err)
		}
		if rest := p.end(); rest != "" {
			t.Errorf("%s: %q behind the last answer", name, rest)
		}
		if in := s.x.Counts().Submitted; in > 1 {
			t.Errorf("%s: what came behind the last request was taken on", name)
		}
	}
}

// A request that is written to a resting connection in the moment in which the server ends it is neither taken on nor does
// it reset the connection: the client reads the end, and goes elsewhere.
func TestRequestCrossesTheEnd(t *testing.T) {
	s := newSite(t, nil, nil)
	p := s.dial()
	p.send(request("a"))
	p.answer()
	s.ln.Close()
	closed := make(chan struct{})
	go func() { s.Close(context.Background()); close(closed) }()
	if !p.closed() { // the server has shut its sending side, and reads on
		t.Fatal("the resting connection stays open")
	}
	for i := range 20 { // a write to what has been closed is answered by a reset, which fails the next
		p.send(request(fmt.Sprint("late-", i)))
	}
	if rest := p.end(); rest != "" {
		t.Errorf("answered after the end: %q", rest)
	}
	p.Conn.Close()
	<-closed
	if in := s.x.Counts().Submitted; in != 1 {
		t.Errorf("%d messages handed on, want the first alone", in)
	}
}

// The end is over when the time handed down is, whatever clients do: rest, stop within a request, or go on sending.
func TestEndInTime(t *testing.T) {
	s := newSite(t, nil, nil)
	for i, text := range []string{"", request("x")[:40], strings.Replace(request("y"), "Content-Length: 2", "Content-Length: 60000", 1)} {
		p := s.dial()
		p.send(request(fmt.Sprint("m", i)))
		p.answer()
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
						p.Write([]byte("z")) // until it is closed, and after
					}
				}
			}()
		}
	}
	testkit.Eventually(t, "all accepted", func() bool { return s.OpenConns() == 3 })
	s.ln.Close()
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	s.Close(ctx)
	if took := time.Since(begun); took > time.Second {
		t.Errorf("the end took %v, allowed were 0.1 s", took)
	}
	if n := s.OpenConns(); n != 0 {
		t.Errorf("%d connections are still open", n)
	}
}

// A connection that has to make room answers first what has come whole, also what its goroutine has not read yet, and refuses half
// a request. Neither is left without an answer, and the newcomer is served.
func TestRoomIsMadeByAnswering(t *testing.T) {
	for name, c := range map[string]struct {
		sent    string
		crosses bool // it is sent in the very moment: the server's goroutine stands before the word that a request has begun
		status  int
	}{
		"whole": {request("b"), true, 202}, "a part": {request("c")[:70], true, 503}, "half a body": {request("d")[:len(good)-2], true, 503},
		"a part, long since": {request("e")[:70], false, 503},
	} {
		s := newSite(t, nil, func(c *Config) { c.MaxConns = 1 })
		old := s.dial()
		old.send(request("a"))
		old.answer()
		testkit.Eventually(t, "resting", func() bool { return s.between() == 1 })
		if c.crosses {
			s.mu.Lock()
			old.send(c.sent)
			for side := range s.conns {
				side.leave(time.Now().Add(lastLook)) // as makeRoom does
			}
			s.mu.Unlock()
		} else {
			old.send(c.sent)
			testkit.Eventually(t, "begun", func() bool { return s.between() == 0 })
		}
		fresh := s.dial()
		fresh.send(request("fresh"))
		if r := old.answer(); r.Status != c.status || !r.Close {
			t.Errorf("%s: %+v, want %d", name, r, c.status)
		}
		old.end()
		if r := fresh.answer(); r.Status != 202 {
			t.Errorf("%s: the newcomer got %+v", name, r)
		}
	}
}

// Clients that linger hold up no newcomer: beside those that are served there is room for a part of them, the rest is closed.
func TestLingerersHoldUpNobody(t *testing.T) {
	s := newSite(t, nil, func(c *Config) { c.MaxConns = 16 })
	for range 100 {
		s.dial().send(request("x")[:40]) // made to go by those that follow, and never closing by itself
	}
	begun := time.Now()
	p := s.dial()
	p.send(request("fresh"))
	if r := p.answer(); r.Status != 202 {
		t.Errorf("a newcomer got %+v", r)
	}
	if took := time.Since(begun); took > 5*time.Second {
		t.Errorf("a newcomer waited %v", took)
	}
	if n := s.OpenConns(); n > 16 {
		t.Errorf("%d connections open, cap 16", n)
	}
}

// A request may come in pieces of any size, and many may come at once: each is read whole, taken on once and answered in its turn.
func TestRequestsInPiecesAndAtOnce(t *testing.T) {
	for _, size := range []int{1, 7, 64} {
		s := newSite(t, nil, nil)
		p, id := s.dial(), fmt.Sprint("cut-", size)
		for text := request(id); text != ""; {
			n := min(size, len(text))
			p.send(text[:n])
			text = text[n:]
		}
		if r := p.answer(); r.Status != 202 {
			t.Errorf("in pieces of %d: %+v", size, r)
		}
		if r := s.ask(request(id)); r.Status != 409 {
			t.Errorf("in pieces of %d: its name again is answered %d, want that it is held", size, r.Status)
		}
	}
	s := newSite(t, nil, nil)
	p, all, want := s.dial(), "", []int{}
	for i := range 20 {
		if i%4 == 3 { // the one before, once more
			all, want = all+request(fmt.Sprint("m", i-1)), append(want, 409)
			continue
		}
		all, want = all+request(fmt.Sprint("m", i)), append(want, 202)
	}
	p.send(all)
	for i, status := range want {
		if r := p.answer(); r.Status != status || r.Close {
			t.Errorf("request %d of 20 at once: %+v, want %d", i, r, status)
		}
	}
}

// Clients that send much at once and go, in order or by a reset, leave no connection behind, and who stays is served meanwhile.
func TestMuchAtOnceAndGone(t *testing.T) {
	s := newSite(t, nil, func(c *Config) { c.MaxConns = 8 })
	old := s.dial()
	old.send(request("first"))
	if r := old.answer(); r.Status != 202 {
		t.Fatalf("status %d", r.Status)
	}
	for name, text := range map[string]string{
		"requests": strings.Repeat(request("same"), 2000), "noise": strings.Repeat("\x00\xff\r\n", 100<<10),
		"a body": strings.Replace(good, "Content-Length: 2", "Content-Length: 65536", 1) + strings.Repeat("x", 60<<10),
	} {
		for i := range 12 {
			nc := s.dial().Conn.(*net.TCPConn)
			if i%2 == 0 {
				nc.SetLinger(0)
			}
			nc.SetWriteDeadline(time.Now().Add(20 * time.Millisecond)) // no answer is read: the server stops reading at some point
			io.WriteString(nc, text)
			nc.Close()
		}
		fresh := s.dial()
		fresh.send(request("after-" + strings.ReplaceAll(name, " ", "-")))
		if r := fresh.answer(); r.Status != 202 {
			t.Errorf("%s: a newcomer got %d", name, r.Status)
		}
		fresh.Close()
		testkit.Eventually(t, name+" gone", func() bool { return s.OpenConns() == 1 })
	}
	old.send(request("last"))
	if r := old.answer(); r.Status != 202 {
		t.Errorf("who was there before got %d", r.Status)
	}
}

// What is written leaves at once: bytes that the system held back for more would go with a close over unread ones.
func TestAnswersAreNotHeldBack(t *testing.T) {
	s := newSite(t, nil, nil)
	p := s.dial()
	p.send(request("a"))
	p.answer()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		testkit.RequireNoDelay(t, c.nc)
	}
	if len(s.conns) != 1 {
		t.Errorf("%d connections, want one", len(s.conns))
	}
}

// Nor does a client hold up the end that sends on and on and reads no answer: the write that waits for it ends with the time handed down.
func TestEndOutlivesAClientThatReadsNothing(t *testing.T) {
	s := newSite(t, nil, nil) // 20 s to write an answer
	p := s.dial()
	p.Conn.(*net.TCPConn).SetReadBuffer(4096)
	many := strings.Repeat("GET /health/live HTTP/1.1\r\n\r\n", 1000)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for {
			if _, err := io.WriteString(p, many); err != nil {
				return
			}
		}
	}()
	stuck, last := 0, int64(-1)
	testkit.Eventually(t, "a write that waits", func() bool { // no answer for 100 looks: what the client has not read fills the system's buffers
		n := s.Counts.Requests.Load()
		if n == last && n > 0 {
			stuck++
		} else {
			stuck, last = 0, n
		}
		return stuck > 100
	})
	s.ln.Close()
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	s.Close(ctx)
	if took := time.Since(begun); took > 5*time.Second { // it would take what is left of the 20 s
		t.Errorf("the end took %v, allowed were 0.1 s", took)
	}
	p.Close()
	<-sent
}
