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

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// stubBackend is an endpoint side that never ends a call, and a platform that accepts every notice.
type stubBackend struct{}

func (stubBackend) Start(*exchange.Call) exchange.Handle { return stubBackend{} }
func (stubBackend) CloseIdle(exchange.Peer)              {}
func (stubBackend) Cancel()                              {}
func (stubBackend) Recall() bool                         { return false }
func (stubBackend) EnqueueNotice(ledger.Notice)          {}
func (stubBackend) Watch()                               {}

// testServer is a server with an exchange whose calls never end.
type testServer struct {
	*Server
	t        testing.TB
	ln       net.Listener
	exchange *exchange.Exchange
	notReady atomic.Bool
}

// newTestServer starts a server. If not nil, changeSettings and changeConfig change its defaults.
func newTestServer(t testing.TB, changeSettings func(*rules.Settings), changeConfig func(*Config)) *testServer {
	t.Helper()
	led, err := ledger.Open(t.TempDir(), 2<<20, exchange.IDRetention(nil), discardLog)
	if err != nil {
		t.Fatal(err)
	}
	settings := &rules.Settings{Tick: time.Millisecond, Senders: 1, Slots: 4, MaxHeld: 100, MaxAttempts: 4,
		MaySendRetryAfter: true, MaxRetryAfter: 3 * time.Second, Kinds: []rules.Kind{{Batch: 1}},
		Classes: []rules.Class{{Effect: rules.Safe, Aim: time.Second, Deadline: 16 * time.Second, Worth: 1}}}
	if changeSettings != nil {
		changeSettings(settings)
	}
	x := exchange.New(exchange.Config{Settings: settings, Classes: []string{"stock"}, Ledger: led, Caller: stubBackend{},
		Platform: stubBackend{}, Log: discardLog, InitialListing: exchange.Listing{Whole: true,
			Hosts: []exchange.Host{{Peer: exchange.Peer{Name: "s", Addr: "127.0.0.1:1"}, Dest: 7}}}})
	x.Recover()
	go x.Run()
	s := &testServer{t: t, exchange: x}
	cfg := Config{
		Exchange:       x,
		Ready:          func() bool { return !s.notReady.Load() },
		Classes:        []string{"stock"},
		MaxConns:       10,
		RequestTimeout: 20 * time.Second,
		IdleTimeout:    20 * time.Second,
		Log:            discardLog,
	}
	if changeConfig != nil {
		changeConfig(&cfg)
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

// testClient is a client's connection.
type testClient struct {
	net.Conn
	t  testing.TB
	br *bufio.Reader
}

// dial connects a client.
func (s *testServer) dial() *testClient {
	s.t.Helper()
	nc, err := net.Dial("tcp", s.ln.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(20 * time.Second))
	return &testClient{nc, s.t, bufio.NewReader(nc)}
}

func (p *testClient) send(text string) {
	p.t.Helper()
	if _, err := io.WriteString(p, text); err != nil {
		p.t.Fatal(err)
	}
}

// readResponse reads a final response.
func (p *testClient) readResponse() *http1.Response {
	p.t.Helper()
	r, err := http1.ReadResponse(p.br, 1<<16)
	if err != nil {
		p.t.Fatalf("no response: %v", err)
	}
	return r
}

// closedByServer reports whether the server has closed the connection.
func (p *testClient) closedByServer() bool {
	_, err := p.br.ReadByte()
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

const validRequest = "POST /stock HTTP/1.1\r\nHost: app.svc\r\nReq-Id: ID\r\nReq-Kind: stock\r\nReq-Deadline-Ms: 16000\r\n" +
	"Content-Length: 2\r\nEnvelope: dest=7\r\n\r\nhi"

// requestWithID returns validRequest with another ID.
func requestWithID(id string) string { return strings.Replace(validRequest, "ID", id, 1) }

func TestAcceptsMessages(t *testing.T) {
	s := newTestServer(t, nil, nil)
	p := s.dial()
	for i := range 3 { // all on one connection
		p.send(requestWithID(fmt.Sprint("m", i)))
		if r := p.readResponse(); r.Status != 202 || r.Close {
			t.Fatalf("message %d: %+v", i, r)
		}
	}
	p.send(strings.Replace(requestWithID("last"), "Host: app.svc", "Connection: close", 1))
	if r := p.readResponse(); r.Status != 202 || !r.Close || !p.closedByServer() {
		t.Errorf("a request with Connection: close: %+v", r)
	}
	if c := s.exchange.Counts(); c.Accepted != 4 || c.Held != 4 {
		t.Errorf("counters: %+v", c)
	}
}

func TestRefusalCarriesRetryAfter(t *testing.T) {
	s := newTestServer(t, func(settings *rules.Settings) { settings.MaxHeld, settings.Slots = 8, 20 }, nil)
	p := s.dial()
	refused := 0
	for i := range 20 {
		p.send(requestWithID(fmt.Sprint("m", i)))
		r := p.readResponse()
		if r.Status != 429 {
			continue
		}
		refused++
		if v := r.Header.Get("Retry-After"); v == "" || strings.HasPrefix(v, "-") || v == "0.000" {
			t.Errorf("Retry-After: %q", v)
		}
	}
	if refused == 0 {
		t.Error("no message was refused although more were sent than may be held")
	}
}

func TestInvalidRequests(t *testing.T) {
	change := func(old, new string) string { return strings.Replace(requestWithID("x"), old, new, 1) }
	s := newTestServer(t, nil, nil)
	for name, c := range map[string]struct {
		text   string
		status int
		closes bool
	}{
		"malformed head":           {"POST /stock\r\n\r\n", 400, true},
		"bad header line":          {change("Host: app.svc", "no colon"), 400, true},
		"body over 64 KiB":         {change("Content-Length: 2", "Content-Length: 65537"), 413, true},
		"chunked":                  {change("Content-Length: 2", "Transfer-Encoding: chunked"), 501, true},
		"unknown path":             {change("POST /stock", "POST /nothing"), 404, false},
		"root":                     {change("POST /stock", "POST /"), 404, false},
		"other method":             {change("POST /stock", "PUT /stock"), 405, false},
		"health check by POST":     {change("POST /stock", "POST /health/ready"), 405, false},
		"kind unlike the path":     {change("Req-Kind: stock", "Req-Kind: paper"), 400, false},
		"no kind":                  {change("Req-Kind: stock\r\n", ""), 400, false},
		"no ID":                    {change("Req-Id: x\r\n", ""), 400, false},
		"ID with a space":          {change("Req-Id: x", "Req-Id: x y"), 400, false},
		"ID too long":              {change("Req-Id: x", "Req-Id: "+strings.Repeat("x", 300)), 400, false},
		"no deadline":              {change("Req-Deadline-Ms: 16000\r\n", ""), 400, false},
		"deadline of 0":            {change("16000", "0"), 400, false},
		"negative deadline":        {change("16000", "-5"), 400, false},
		"deadline not a number":    {change("16000", "soon"), 400, false},
		"deadline too far":         {change("16000", "99999999999999999999"), 400, false},
		"unknown destination":      {change("dest=7", "dest=8"), 400, false},
		"no destination":           {change("dest=7", "to=7"), 400, false},
		"destination not a number": {change("dest=7", "dest=7x"), 400, false},
		"negative destination":     {change("dest=7", "dest=-7"), 400, false},
		"key with a space":         {change("Host: app.svc", "Idempotency-Key: a b"), 400, false},
		"no envelope":              {change("Envelope: dest=7\r\n", ""), 400, false},
	} {
		p := s.dial()
		p.send(c.text)
		r := p.readResponse()
		if r.Status != c.status || r.Close != c.closes {
			t.Errorf("%s: status %d, close %v; want %d, %v", name, r.Status, r.Close, c.status, c.closes)
		}
		if c.status == 405 && r.Header.Get("Allow") == "" {
			t.Errorf("%s: no Allow field", name)
		}
		if c.closes {
			if !p.closedByServer() {
				t.Errorf("%s: the connection stays open", name)
			}
			continue
		}
		p.send(requestWithID(strings.ReplaceAll("after-"+name, " ", "-")))
		if r := p.readResponse(); r.Status != 202 {
			t.Errorf("%s: the next request got status %d", name, r.Status)
		}
	}
}

// A message keeps its idempotency key and its tenant.
func TestParsesKeyAndTenant(t *testing.T) {
	s := &Server{}
	req := &http1.Request{Header: http1.Header{{Name: "Req-Id", Value: "x"}, {Name: "Req-Kind", Value: "stock"},
		{Name: "Req-Deadline-Ms", Value: "5"}, {Name: "Envelope", Value: "dest=7"}, {Name: "Req-Owner", Value: "till"},
		{Name: "idempotency-key", Value: "k1"}}}
	m, err := s.parseMessage("stock", req, nil, time.Now())
	if err != nil || m.IdempotencyKey != "k1" || m.Tenant != "till" {
		t.Errorf("got %+v, %v", m, err)
	}
}

func TestDuplicateID(t *testing.T) {
	p := newTestServer(t, nil, nil).dial()
	p.send(requestWithID("x"))
	p.readResponse()
	p.send(requestWithID("x"))
	if r := p.readResponse(); r.Status != 409 {
		t.Errorf("status %d, want 409", r.Status)
	}
}

func TestHealthChecks(t *testing.T) {
	s := newTestServer(t, nil, nil)
	p := s.dial()
	for _, c := range []struct {
		path   string
		down   bool
		status int
	}{{"/health/ready", true, 503}, {"/health/live", true, 200}, {"/health/ready", false, 200}} {
		s.notReady.Store(c.down)
		p.send("GET " + c.path + " HTTP/1.1\r\nHost: x\r\n\r\n")
		if r := p.readResponse(); r.Status != c.status {
			t.Errorf("%s, not ready %v: status %d, want %d", c.path, c.down, r.Status, c.status)
		}
	}
}

// A client that sends its request too slowly gets a 408 and is disconnected; one that is idle too long is disconnected.
func TestSlowClients(t *testing.T) {
	s := newTestServer(t, nil, func(c *Config) { c.RequestTimeout, c.IdleTimeout = 50*time.Millisecond, 50*time.Millisecond })
	for _, part := range []string{"POST /sto", validRequest[:len(validRequest)-1]} {
		p := s.dial()
		p.send(part)
		if r := p.readResponse(); r.Status != 408 || !r.Close || !p.closedByServer() {
			t.Errorf("after %d bytes: %+v", len(part), r)
		}
	}
	p := s.dial()
	p.send(requestWithID("x"))
	if r := p.readResponse(); r.Status != 202 || !p.closedByServer() {
		t.Errorf("a client that becomes idle: %+v", r)
	}
}

// The time limit of the first request is counted from the connect. It must not start anew with each byte or useless
// request: a client that sends nothing is disconnected, and so is one that goes on sending single bytes or requests
// that earn no trust.
func TestFirstRequestTimeoutRunsFromConnect(t *testing.T) {
	s := newTestServer(t, nil, func(c *Config) { c.RequestTimeout = 100 * time.Millisecond })
	if p := s.dial(); !p.closedByServer() {
		t.Error("a client that sends nothing stays connected")
	}
	for name, text := range map[string]string{
		"single bytes": "X", "useless requests": strings.Replace(validRequest, "dest=7", "dest=x", 1)} {
		p := s.dial()
		for start := time.Now(); ; {
			if _, err := io.WriteString(p, text); err != nil {
				break // closed
			}
			if time.Since(start) > 10*time.Second {
				t.Fatalf("%s: the connection is still open", name)
			}
		}
	}
}

func TestExpectContinue(t *testing.T) {
	p := newTestServer(t, nil, nil).dial()
	head, body, _ := strings.Cut(strings.Replace(requestWithID("x"), "Host: app.svc", "Expect: 100-continue", 1), "\r\n\r\n")
	p.send(head + "\r\n\r\n")
	line, err := p.br.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "HTTP/1.1 100") {
		t.Fatalf("got %q, %v", line, err)
	}
	p.br.ReadString('\n')
	p.send(body)
	if r := p.readResponse(); r.Status != 202 {
		t.Errorf("status %d", r.Status)
	}
}

// Close ends connections only between two requests: a request that has begun gets its response.
func TestCloseBetweenRequests(t *testing.T) {
	s := newTestServer(t, nil, nil)
	idleClient, busyClient := s.dial(), s.dial()
	idleClient.send(requestWithID("a"))
	idleClient.readResponse()
	text := requestWithID("b")
	busyClient.send(text[:30])
	testkit.Eventually(t, "request begun", func() bool { return s.idleConns() == 1 })
	s.ln.Close()
	closed := make(chan struct{})
	go func() { s.Close(context.Background()); close(closed) }()
	if !idleClient.closedByServer() {
		t.Error("the idle connection stays open")
	}
	busyClient.send(text[30:])
	if r := busyClient.readResponse(); r.Status != 202 || !r.Close {
		t.Errorf("the request that had begun got %+v", r)
	}
	<-closed
}

// A client that stops in the middle of a request does not delay Close.
func TestCloseInterruptsStalledRequest(t *testing.T) {
	s := newTestServer(t, nil, nil) // 20 s for a request
	p := s.dial()
	p.send(requestWithID("x")[:30])
	testkit.Eventually(t, "request begun", func() bool { return s.OpenConns() == 1 && s.idleConns() == 0 })
	start := time.Now()
	s.ln.Close()
	s.Close(context.Background())
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("Close took %v", took)
	}
	if r := p.readResponse(); r.Status != 408 {
		t.Errorf("the stalled request got status %d, want 408", r.Status)
	}
}

// idleConns returns the number of connections between two requests.
func (s *testServer) idleConns() int {
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

// The message of a client that disconnects before it gets the response is withdrawn.
func TestClientDisconnectWithdrawsMessage(t *testing.T) {
	s := newTestServer(t, nil, nil)
	near, far := net.Pipe()
	far.Close()
	c := &client{nc: near, br: bufio.NewReader(io.MultiReader(strings.NewReader(requestWithID("x")), near))}
	if s.serveRequest(c) {
		t.Error("the connection stays open")
	}
	testkit.Eventually(t, "withdrawn", func() bool { return s.exchange.Counts().Withdrawn == 1 })
	if s.Counts.ClientsGone.Load() != 1 {
		t.Error("the disconnected client is not counted")
	}
}

// At the limit a new connection evicts the one that has been idle longest.
func TestConnectionLimit(t *testing.T) {
	s := newTestServer(t, nil, func(c *Config) { c.MaxConns = 2 })
	var clients []*testClient
	for i := range 4 {
		p := s.dial()
		p.send(requestWithID(fmt.Sprint("m", i)))
		if r := p.readResponse(); r.Status != 202 {
			t.Fatalf("connection %d: status %d", i, r.Status)
		}
		clients = append(clients, p)
		if n := s.OpenConns(); n > 2 {
			t.Errorf("%d connections open, limit 2", n)
		}
	}
	if !clients[0].closedByServer() || !clients[1].closedByServer() {
		t.Error("the oldest connections stay open")
	}
	clients[2].send(requestWithID("again"))
	if r := clients[2].readResponse(); r.Status != 202 {
		t.Errorf("a connection within the limit: status %d", r.Status)
	}
}

// Many clients that connect and send nothing, stop in the middle of a request or send useless requests must not get a
// client evicted that has sent a message, and new clients are still served.
func TestUselessConnectionsDoNotBlockOthers(t *testing.T) {
	for name, text := range map[string]string{
		"nothing":         "",
		"part of a head":  "POST /st",
		"part of a body":  validRequest[:len(validRequest)-1],
		"useless request": strings.Replace(validRequest, "dest=7", "dest=x", 1),
	} {
		s := newTestServer(t, nil, func(c *Config) { c.MaxConns = 8 })
		old := s.dial()
		old.send(requestWithID("first"))
		if r := old.readResponse(); r.Status != 202 {
			t.Fatalf("%s: status %d", name, r.Status)
		}
		for range 30 {
			io.WriteString(s.dial(), text) // it may have been closed by now
		}
		fresh := s.dial()
		fresh.send(requestWithID("fresh"))
		if r := fresh.readResponse(); r.Status != 202 {
			t.Errorf("%s: a new client got status %d", name, r.Status)
		}
		old.send(requestWithID("second"))
		if r := old.readResponse(); r.Status != 202 {
			t.Errorf("%s: the client from before got status %d", name, r.Status)
		}
		if n := s.OpenConns(); n > 8 {
			t.Errorf("%s: %d connections open, limit 8", name, n)
		}
	}
}

// failingListener is a listener whose first calls of Accept fail for lack of file descriptors.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

func TestAcceptRetriesWhenOutOfDescriptors(t *testing.T) {
	s := newTestServer(t, nil, func(c *Config) { c.MaxConns = 2 })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &failingListener{Listener: ln}
	l.failures.Store(5)
	served := make(chan struct{})
	go func() { s.Serve(l); close(served) }()
	defer func() { ln.Close(); <-served }()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	p := &testClient{nc, t, bufio.NewReader(nc)}
	p.send(requestWithID("x"))
	if r := p.readResponse(); r.Status != 202 {
		t.Errorf("status %d", r.Status)
	}
}

// Whatever a client sends, it gets well-formed responses with known statuses, and its connection is closed once the
// client has closed its side.
func FuzzClient(f *testing.F) {
	s := newTestServer(f, nil, func(c *Config) { c.RequestTimeout = 2 * time.Second })
	for _, text := range []string{
		requestWithID("a") + requestWithID("b"), "\x00\xff\r\n\r\n", "GET /health/ready HTTP/1.1\r\n\r\n",
		"POST /stock HTTP/1.1\r\nX: " + strings.Repeat("y", http1.MaxHeadBytes),
		strings.Replace(requestWithID("c"), "Content-Length: 2", "Content-Length: -2", 1),
		strings.Replace(requestWithID("d"), "Content-Length: 2", "Content-Length: 60000000", 1) + strings.Repeat("x", 100<<10),
		strings.Replace(requestWithID("e"), "Content-Length: 2", "Content-Length: 2\r\nTransfer-Encoding:", 1) + requestWithID("hidden"),
		requestWithID("f")[:60], strings.Repeat(strings.Replace(validRequest, "Req-Id: ID\r\n", "", 1), 100),
	} {
		f.Add([]byte(text))
	}
	known := map[int]bool{200: true, 202: true, 400: true, 404: true, 405: true, 408: true, 409: true, 413: true,
		429: true, 500: true, 501: true, 503: true}
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
				t.Fatal("neither a response nor the end of the connection")
			}
			if err != nil {
				break
			}
			if r.Status != 100 && !known[r.Status] {
				t.Fatalf("unknown status %d", r.Status)
			}
		}
	})
}

// roundTrip makes one request on a connection of its own.
func (s *testServer) roundTrip(text string) *http1.Response {
	s.t.Helper()
	p := s.dial()
	p.send(text)
	return p.readResponse()
}

// A request with Transfer-Encoding, in whichever form, is refused and its connection closed, as its body could hide
// another request (request smuggling).
func TestRequestSmuggling(t *testing.T) {
	s := newTestServer(t, nil, nil)
	for i, coding := range []string{"Transfer-Encoding: chunked", "Transfer-Encoding:",
		"Transfer-Encoding:\r\nTransfer-Encoding: chunked",
		"transfer-encoding: identity"} {
		hidden := requestWithID(fmt.Sprint("hidden-", i))
		for _, length := range []string{"0", fmt.Sprint(len(hidden))} {
			p := s.dial()
			p.send(strings.Replace(validRequest, "Content-Length: 2", coding+"\r\nContent-Length: "+length, 1) + hidden)
			if r := p.readResponse(); r.Status != 501 || !r.Close || !p.closedByServer() {
				t.Errorf("%q: %+v", coding, r)
			}
		}
		if r := s.roundTrip(hidden); r.Status != 202 {
			t.Errorf("%q: the hidden request was accepted: sent on its own it got status %d, want 202", coding, r.Status)
		}
	}
}

// A message that is accepted has a valid ID and destination, and a deadline that lies ahead.
func FuzzParseMessage(f *testing.F) {
	s := &Server{classes: map[string]bool{"stock": true}}
	f.Add("x", "stock", "16000", "dest=7")
	f.Add("x y", "", "-1", "a=b; dest=99999999999")
	f.Fuzz(func(t *testing.T, id, kind, deadline, envelope string) {
		req := &http1.Request{Method: "POST", Target: "/stock", Header: http1.Header{{Name: "Req-Id", Value: id},
			{Name: "Req-Kind", Value: kind}, {Name: "Req-Deadline-Ms", Value: deadline}, {Name: "Envelope", Value: envelope}}}
		now := time.Now()
		m, err := s.parseMessage("stock", req, nil, now)
		if err != nil {
			return
		}
		if strings.ContainsAny(m.ID, " \r\n\t") || m.ID == "" || m.Dest < 0 || !m.Deadline.After(now) {
			t.Fatalf("accepted %+v", m)
		}
	})
}
