package intake

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"eiderhaven/internal/exchange"
	"eiderhaven/internal/http1"
	"eiderhaven/internal/ledger"
	"eiderhaven/internal/testkit"
	"eiderhaven/rules"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// void is an endpoint side that never ends a call, and a platform that takes every notice.
type void struct{}

func (void) Start(*exchange.Call) exchange.Handle { return void{} }
func (void) CloseIdle(exchange.Peer)              {}
func (void) Cancel()                              {}
func (void) Recall() bool                         { return false }
func (void) EnqueueNotice(ledger.Notice)          {}
func (void) Watch()                               {}

// site is a server before an exchange whose calls never end.
type site struct {
	*Server
	t    testing.TB
	ln   net.Listener
	x    *exchange.Exchange
	down atomic.Bool // not ready
}

func newSite(t testing.TB, set func(*rules.Settings), change func(*Config)) *site {
	t.Helper()
	led, err := ledger.Open(t.TempDir(), 2<<20, quiet)
	if err != nil {
		t.Fatal(err)
	}
	settings := &rules.Settings{Tick: time.Millisecond, Senders: 1, Slots: 4, MaxHeld: 100, MaxAttempts: 4, MaySendRetryAfter: true,
		MaxRetryAfter: 3 * time.Second, Kinds: []rules.Kind{{Batch: 1}},
		Classes: []rules.Class{{Effect: rules.Safe, Aim: time.Second, Deadline: 16 * time.Second, Worth: 1}}}
	if set != nil {
		set(settings)
	}
	x := exchange.New(exchange.Config{Settings: settings, Classes: []string{"stock"}, Ledger: led, Caller: void{},
		Platform: void{}, Log: quiet, InitialListing: exchange.Listing{Whole: true,
			Hosts: []exchange.Host{{Peer: exchange.Peer{Name: "s", Addr: "127.0.0.1:1"}, Dest: 7}}}})
	x.Recover()
	go x.Run()
	s := &site{t: t, x: x}
	cfg := Config{Exchange: x, Ready: func() bool { return !s.down.Load() }, Classes: []string{"stock"}, MaxConns: 10,
		RequestTimeout: 20 * time.Second, IdleTimeout: 20 * time.Second, Log: quiet}
	if change != nil {
		change(&cfg)
	}
	s.Server = New(cfg)
	if s.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() { s.Serve(s.ln); close(served) }()
	t.Cleanup(func() {
		s.ln.Close()
		<-served
		s.Close(context.Background())
		x.Stop()
		led.Close()
	})
	return s
}

// peer is a client's connection.
type peer struct {
	net.Conn
	t  testing.TB
	br *bufio.Reader
}

func (s *site) dial() *peer {
	s.t.Helper()
	nc, err := net.Dial("tcp", s.ln.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	return &peer{nc, s.t, bufio.NewReader(nc)}
}

func (p *peer) send(text string) {
	p.t.Helper()
	if _, err := io.WriteString(p, text); err != nil {
		p.t.Fatal(err)
	}
}

func (p *peer) answer() *http1.Response {
	p.t.Helper()
	r, err := http1.ReadResponse(p.br, 1<<16)
	if err != nil {
		p.t.Fatalf("no answer: %v", err)
	}
	return r
}

// closed tells whether the server has closed the connection.
func (p *peer) closed() bool {
	_, err := p.br.ReadByte()
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

const good = "POST /stock HTTP/1.1\r\nHost: app.svc\r\nReq-Id: ID\r\nReq-Kind: stock\r\nReq-Deadline-Ms: 16000\r\n" +
	"Content-Length: 2\r\nEnvelope: dest=7\r\n\r\nhi"

// request is the good request under another name.
func request(id string) string { return strings.Replace(good, "ID", id, 1) }

func TestTakesOn(t *testing.T) {
	s := newSite(t, nil, nil)
	p := s.dial()
	for i := range 3 { // on one connection
		p.send(request(fmt.Sprint("m", i)))
		if r := p.answer(); r.Status != 202 || r.Close {
			t.Fatalf("message %d: %+v", i, r)
		}
	}
	p.send(strings.Replace(request("last"), "Host: app.svc", "Connection: close", 1))
	if r := p.answer(); r.Status != 202 || !r.Close || !p.closed() {
		t.Errorf("a request that closes: %+v", r)
	}
	if c := s.x.Counts(); c.Accepted != 4 || c.Held != 4 {
		t.Errorf("counters: %+v", c)
	}
}

func TestRefusalTellsWhenToComeBack(t *testing.T) {
	s := newSite(t, func(set *rules.Settings) { set.MaxHeld, set.Slots = 8, 20 }, nil)
	p := s.dial()
	refused := 0
	for i := range 20 {
		p.send(request(fmt.Sprint("m", i)))
		r := p.answer()
		if r.Status != 429 {
			continue
		}
		refused++
		if v := r.Header.Get("Retry-After"); v == "" || strings.HasPrefix(v, "-") || v == "0.000" {
			t.Errorf("Retry-After: %q", v)
		}
	}
	if refused == 0 {
		t.Error("nothing was refused with no room left")
	}
}

func TestBadInput(t *testing.T) {
	change := func(old, new string) string { return strings.Replace(request("x"), old, new, 1) }
	s := newSite(t, nil, nil)
	for name, c := range map[string]struct {
		text   string
		status int
		closes bool
	}{
		"malformed head":     {"POST /stock\r\n\r\n", 400, true},
		"bad header line":    {change("Host: app.svc", "no colon"), 400, true},
		"body over 64 KiB":   {change("Content-Length: 2", "Content-Length: 65537"), 413, true},
		"chunked":            {change("Content-Length: 2", "Transfer-Encoding: chunked"), 501, true},
		"unknown path":       {change("POST /stock", "POST /nothing"), 404, false},
		"root":               {change("POST /stock", "POST /"), 404, false},
		"other method":       {change("POST /stock", "PUT /stock"), 405, false},
		"health by POST":     {change("POST /stock", "POST /health/ready"), 405, false},
		"unknown class":      {change("Req-Kind: stock", "Req-Kind: paper"), 400, false},
		"no class":           {change("Req-Kind: stock\r\n", ""), 400, false},
		"no name":            {change("Req-Id: x\r\n", ""), 400, false},
		"name with a space":  {change("Req-Id: x", "Req-Id: x y"), 400, false},
		"name too long":      {change("Req-Id: x", "Req-Id: "+strings.Repeat("x", 300)), 400, false},
		"no deadline":        {change("Req-Deadline-Ms: 16000\r\n", ""), 400, false},
		"deadline of 0":      {change("16000", "0"), 400, false},
		"deadline below 0":   {change("16000", "-5"), 400, false},
		"deadline no number": {change("16000", "soon"), 400, false},
		"deadline too far":   {change("16000", "99999999999999999999"), 400, false},
		"unknown dest":       {change("dest=7", "dest=8"), 400, false},
		"no dest":            {change("dest=7", "to=7"), 400, false},
		"dest no number":     {change("dest=7", "dest=7x"), 400, false},
		"dest below 0":       {change("dest=7", "dest=-7"), 400, false},
		"key with a space":   {change("Host: app.svc", "Idempotency-Key: a b"), 400, false},
		"no envelope":        {change("Envelope: dest=7\r\n", ""), 400, false},
	} {
		p := s.dial()
		p.send(c.text)
		r := p.answer()
		if r.Status != c.status || r.Close != c.closes {
			t.Errorf("%s: status %d, closes %v; want %d, %v", name, r.Status, r.Close, c.status, c.closes)
		}
		if c.status == 405 && r.Header.Get("Allow") == "" {
			t.Errorf("%s: no Allow", name)
		}
		if c.closes {
			if !p.closed() {
				t.Errorf("%s: the connection stays open", name)
			}
			continue
		}
		p.send(request(strings.ReplaceAll("after-"+name, " ", "-")))
		if r := p.answer(); r.Status != 202 {
			t.Errorf("%s: the next request got %d", name, r.Status)
		}
	}
}

// A message keeps its key and who handed it in.
func TestKeyAndTenant(t *testing.T) {
	s := &Server{}
	req := &http1.Request{Header: http1.Header{{Name: "Req-Id", Value: "x"}, {Name: "Req-Kind", Value: "stock"},
		{Name: "Req-Deadline-Ms", Value: "5"}, {Name: "Envelope", Value: "dest=7"}, {Name: "Req-Owner", Value: "till"},
		{Name: "idempotency-key", Value: "k1"}}}
	m, err := s.message("stock", req, nil, time.Now())
	if err != nil || m.IdempotencyKey != "k1" || m.Tenant != "till" {
		t.Errorf("got %+v, %v", m, err)
	}
}

func TestSameNameTwice(t *testing.T) {
	p := newSite(t, nil, nil).dial()
	p.send(request("x"))
	p.answer()
	p.send(request("x"))
	if r := p.answer(); r.Status != 409 {
		t.Errorf("status %d, want 409", r.Status)
	}
}

func TestHealth(t *testing.T) {
	s := newSite(t, nil, nil)
	p := s.dial()
	for _, c := range []struct {
		path   string
		down   bool
		status int
	}{{"/health/ready", true, 503}, {"/health/live", true, 200}, {"/health/ready", false, 200}} {
		s.down.Store(c.down)
		p.send("GET " + c.path + " HTTP/1.1\r\nHost: x\r\n\r\n")
		if r := p.answer(); r.Status != c.status {
			t.Errorf("%s, not ready %v: status %d, want %d", c.path, c.down, r.Status, c.status)
		}
	}
}

// A client that sends its request too slowly is told so and cut off; one that is idle too long is cut off.
func TestSlowClients(t *testing.T) {
	s := newSite(t, nil, func(c *Config) { c.RequestTimeout, c.IdleTimeout = 50*time.Millisecond, 50*time.Millisecond })
	for _, part := range []string{"POST /sto", good[:len(good)-1]} {
		p := s.dial()
		p.send(part)
		if r := p.answer(); r.Status != 408 || !r.Close || !p.closed() {
			t.Errorf("after %d bytes: %+v", len(part), r)
		}
	}
	p := s.dial()
	p.send(request("x"))
	if r := p.answer(); r.Status != 202 || !p.closed() {
		t.Errorf("a client that falls idle: %+v", r)
	}
}

// The time for a first request runs from the connecting, whatever comes meanwhile: a client that says nothing is cut
// off by it, and so is one that keeps sending a byte at a time or requests of no use.
func TestFirstRequestHasItsTime(t *testing.T) {
	s := newSite(t, nil, func(c *Config) { c.RequestTimeout = 100 * time.Millisecond })
	if p := s.dial(); !p.closed() {
		t.Error("a silent client stays")
	}
	for name, text := range map[string]string{"drip": "X", "of no use": strings.Replace(good, "dest=7", "dest=x", 1)} {
		p := s.dial()
		for begun := time.Now(); ; {
			if _, err := io.WriteString(p, text); err != nil {
				break // closed
			}
			if time.Since(begun) > 10*time.Second {
				t.Fatalf("%s: still open", name)
			}
		}
	}
}

func TestContinue(t *testing.T) {
	p := newSite(t, nil, nil).dial()
	head, body, _ := strings.Cut(strings.Replace(request("x"), "Host: app.svc", "Expect: 100-continue", 1), "\r\n\r\n")
	p.send(head + "\r\n\r\n")
	line, err := p.br.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "HTTP/1.1 100") {
		t.Fatalf("got %q, %v", line, err)
	}
	p.br.ReadString('\n')
	p.send(body)
	if r := p.answer(); r.Status != 202 {
		t.Errorf("status %d", r.Status)
	}
}

// At the end connections are closed between requests only: a request that has begun gets its answer.
func TestCloseBetweenRequests(t *testing.T) {
	s := newSite(t, nil, nil)
	idle, busy := s.dial(), s.dial()
	idle.send(request("a"))
	idle.answer()
	whole := request("b")
	busy.send(whole[:30])
	testkit.Eventually(t, "begun", func() bool { return s.between() == 1 })
	s.ln.Close()
	closed := make(chan struct{})
	go func() { s.Close(context.Background()); close(closed) }()
	if !idle.closed() {
		t.Error("the idle connection stays open")
	}
	busy.send(whole[30:])
	if r := busy.answer(); r.Status != 202 || !r.Close {
		t.Errorf("the begun request got %+v", r)
	}
	<-closed
}

// A client that stops in the middle of a request does not hold up the end.
func TestCloseOutlivesAStuckClient(t *testing.T) {
	s := newSite(t, nil, nil) // 20 s for a request
	p := s.dial()
	p.send(request("x")[:30])
	testkit.Eventually(t, "begun", func() bool { return s.OpenConns() == 1 && s.between() == 0 })
	begun := time.Now()
	s.ln.Close()
	s.Close(context.Background())
	if took := time.Since(begun); took > 5*time.Second {
		t.Errorf("the end took %v", took)
	}
	if r := p.answer(); r.Status != 408 {
		t.Errorf("the stuck request got %d, want 408", r.Status)
	}
}

// between is the number of connections between two requests.
func (s *site) between() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		if c.state == idle {
			n++
		}
	}
	return n
}

// A client that has gone before it heard is a client whose message is withdrawn.
func TestClientGone(t *testing.T) {
	s := newSite(t, nil, nil)
	ours, theirs := net.Pipe()
	theirs.Close()
	c := &client{nc: ours, br: bufio.NewReader(io.MultiReader(strings.NewReader(request("x")), ours))}
	if s.request(c) {
		t.Error("the connection goes on")
	}
	testkit.Eventually(t, "withdrawn", func() bool { return s.x.Counts().Withdrawn == 1 })
	if s.Counts.ClientsGone.Load() != 1 {
		t.Error("not counted")
	}
}

// Past the cap the connection idle longest makes room for the new one.
func TestConnectionCap(t *testing.T) {
	s := newSite(t, nil, func(c *Config) { c.MaxConns = 2 })
	var peers []*peer
	for i := range 4 {
		p := s.dial()
		p.send(request(fmt.Sprint("m", i)))
		if r := p.answer(); r.Status != 202 {
			t.Fatalf("connection %d: status %d", i, r.Status)
		}
		peers = append(peers, p)
		if n := s.OpenConns(); n > 2 {
			t.Errorf("%d connections open, cap 2", n)
		}
	}
	if !peers[0].closed() || !peers[1].closed() {
		t.Error("the oldest connections stay open")
	}
	peers[2].send(request("again"))
	if r := peers[2].answer(); r.Status != 202 {
		t.Errorf("a connection within the cap: status %d", r.Status)
	}
}

// A crowd that connects and says nothing, or stops within a head, or sends what is no use, closes nobody who has sent
// a message, and whoever comes is still served.
func TestCrowdKeepsNobodyOut(t *testing.T) {
	for name, text := range map[string]string{
		"silent": "", "half a head": "POST /st", "half a body": good[:len(good)-1], "no use": strings.Replace(good, "dest=7", "dest=x", 1),
	} {
		s := newSite(t, nil, func(c *Config) { c.MaxConns = 8 })
		old := s.dial()
		old.send(request("first"))
		if r := old.answer(); r.Status != 202 {
			t.Fatalf("%s: status %d", name, r.Status)
		}
		for range 30 {
			io.WriteString(s.dial(), text) // it may have been closed by now
		}
		fresh := s.dial()
		fresh.send(request("fresh"))
		if r := fresh.answer(); r.Status != 202 {
			t.Errorf("%s: a client that came among the crowd: status %d", name, r.Status)
		}
		old.send(request("second"))
		if r := old.answer(); r.Status != 202 {
			t.Errorf("%s: a client from before the crowd: status %d", name, r.Status)
		}
		if n := s.OpenConns(); n > 8 {
			t.Errorf("%s: %d connections open, cap 8", name, n)
		}
	}
}

// short is a listener that runs out of descriptors a few times.
type short struct {
	net.Listener
	fails atomic.Int32
}

func (l *short) Accept() (net.Conn, error) {
	if l.fails.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

func TestNoDescriptorsLeft(t *testing.T) {
	s := newSite(t, nil, func(c *Config) { c.MaxConns = 2 })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &short{Listener: ln}
	l.fails.Store(5)
	served := make(chan struct{})
	go func() { s.Serve(l); close(served) }()
	defer func() { ln.Close(); <-served }()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	p := &peer{nc, t, bufio.NewReader(nc)}
	p.send(request("x"))
	if r := p.answer(); r.Status != 202 {
		t.Errorf("status %d", r.Status)
	}
}

// Whatever a client sends, it is answered or closed once it has ended, by answers that can be read, and no message is
// taken on whose form is wrong.
func FuzzClient(f *testing.F) {
	s := newSite(f, nil, func(c *Config) { c.RequestTimeout = 2 * time.Second })
	for _, text := range []string{
		request("a") + request("b"), "\x00\xff\r\n\r\n", "GET /health/ready HTTP/1.1\r\n\r\n",
		"POST /stock HTTP/1.1\r\nX: " + strings.Repeat("y", http1.MaxHeadBytes),
		strings.Replace(request("c"), "Content-Length: 2", "Content-Length: -2", 1),
		strings.Replace(request("d"), "Content-Length: 2", "Content-Length: 60000000", 1) + strings.Repeat("x", 100<<10),
		strings.Replace(request("e"), "Content-Length: 2", "Content-Length: 2\r\nTransfer-Encoding:", 1) + request("hidden"),
		request("f")[:60], strings.Repeat(strings.Replace(good, "Req-Id: ID\r\n", "", 1), 100),
	} {
		f.Add([]byte(text))
	}
	known := map[int]bool{200: true, 202: true, 400: true, 404: true, 405: true, 408: true, 409: true, 413: true, 429: true,
		500: true, 501: true, 503: true}
	f.Fuzz(func(t *testing.T, text []byte) {
		nc, err := net.Dial("tcp", s.ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		nc.SetDeadline(time.Now().Add(20 * time.Second))
		go func() {
			nc.Write(text) // it may be closed before all is written
			nc.(*net.TCPConn).CloseWrite()
		}()
		br := bufio.NewReader(nc)
		for {
			r, err := http1.ReadOneResponse(br, 1<<16)
			if errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatal("neither answered nor closed")
			}
			if err != nil {
				break
			}
			if r.Status != 100 && !known[r.Status] {
				t.Fatalf("answered %d", r.Status)
			}
		}
	})
}

// ask makes one request on a connection of its own.
func (s *site) ask(text string) *http1.Response {
	s.t.Helper()
	p := s.dial()
	p.send(text)
	return p.answer()
}

// A request that could hide another in its body is refused and its connection closed, whichever way the coding is told.
func TestHiddenRequests(t *testing.T) {
	s := newSite(t, nil, nil)
	for i, coding := range []string{"Transfer-Encoding: chunked", "Transfer-Encoding:", "Transfer-Encoding:\r\nTransfer-Encoding: chunked",
		"transfer-encoding: identity"} {
		hidden := request(fmt.Sprint("hidden-", i))
		for _, length := range []string{"0", fmt.Sprint(len(hidden))} {
			p := s.dial()
			p.send(strings.Replace(good, "Content-Length: 2", coding+"\r\nContent-Length: "+length, 1) + hidden)
			if r := p.answer(); r.Status != 501 || !r.Close || !p.closed() {
				t.Errorf("%q: %+v", coding, r)
			}
		}
		if r := s.ask(hidden); r.Status != 202 {
			t.Errorf("%q: the hidden request was taken on: it is answered %d now", coding, r.Status)
		}
	}
}

func FuzzRequest(f *testing.F) {
	s := &Server{classes: map[string]bool{"stock": true}}
	f.Add("x", "stock", "16000", "dest=7")
	f.Add("x y", "", "-1", "a=b; dest=99999999999")
	f.Fuzz(func(t *testing.T, id, kind, deadline, envelope string) {
		req := &http1.Request{Method: "POST", Target: "/stock", Header: http1.Header{{Name: "Req-Id", Value: id},
			{Name: "Req-Kind", Value: kind}, {Name: "Req-Deadline-Ms", Value: deadline}, {Name: "Envelope", Value: envelope}}}
		now := time.Now()
		m, err := s.message("stock", req, nil, now)
		if err != nil {
			return
		}
		if strings.ContainsAny(m.ID, " \r\n\t") || m.ID == "" || m.Dest < 0 || !m.Deadline.After(now) {
			t.Fatalf("accepted %+v", m)
		}
	})
}
