package outbound

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"eiderhaven/internal/exchange"
	"eiderhaven/internal/http1"
	"eiderhaven/internal/message"
	"eiderhaven/internal/socket"
	"eiderhaven/internal/testkit"
	"eiderhaven/rules"
	"eiderhaven/standin/platform"
)

// callResult is a call with its result.
type callResult struct {
	call *exchange.Call
	exchange.Result
}

// testPool is a pool whose results the test reads.
type testPool struct {
	*Pool
	t             *testing.T
	results       chan callResult
	confirmations chan confirmedCall
}

// confirmedCall is a call whose unconfirmed response was confirmed or contradicted.
type confirmedCall struct {
	id         string // of its first message
	confirmed  bool
	retryAfter time.Duration
}

func newTestPool(t *testing.T, change func(*Config)) *testPool {
	p := &testPool{t: t, results: make(chan callResult, 100), confirmations: make(chan confirmedCall, 100)}
	cfg := Config{ConnectTimeout: 10 * time.Second, KeepAlive: time.Minute, MaxConns: 10,
		Finish: func(c *exchange.Call, r exchange.Result) { p.results <- callResult{c, r} },
		Confirm: func(c *exchange.Call, confirmed bool, retryAfter time.Duration) {
			p.confirmations <- confirmedCall{c.Items[0].ID, confirmed, retryAfter}
		}}
	if change != nil {
		change(&cfg)
	}
	p.Pool = New(cfg)
	t.Cleanup(p.Close)
	return p
}

// peerAt returns the endpoint at an address.
func peerAt(addr string) exchange.Peer { return exchange.Peer{Name: "s", Addr: addr} }

// callTo returns a call to an address with a message for each ID.
func callTo(addr string, ids ...string) *exchange.Call {
	c := &exchange.Call{To: peerAt(addr), Timeout: 1500 * time.Millisecond}
	for _, id := range ids {
		c.Items = append(c.Items, &message.Message{ID: id, Body: []byte("body of " + id + "\r\n\x00")})
	}
	return c
}

// deliverOne makes a call with one message and returns its result, and whether the call was written.
func (p *testPool) deliverOne(addr string) (result exchange.ItemResult, written bool) {
	p.t.Helper()
	p.Start(callTo(addr, "a"))
	d := testkit.Receive(p.t, p.results, "result")
	if len(d.Items) != 1 {
		p.t.Fatalf("%d results for one message", len(d.Items))
	}
	return d.Items[0], d.Written
}

func listen(t *testing.T, h platform.Handler) *platform.Server {
	t.Helper()
	srv, err := platform.Listen("127.0.0.1:0", h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(srv.Close)
	return srv
}

func TestItemResults(t *testing.T) {
	field := func(name, value string) http1.Header { return http1.Header{{Name: name, Value: value}} }
	for name, c := range map[string]struct {
		resp *http1.Response // nil: the endpoint closes the connection instead
		want exchange.ItemResult
	}{
		"delivered":               {&http1.Response{Status: 200, Body: []byte("whatever")}, exchange.ItemResult{Outcome: rules.OK}},
		"error":                   {&http1.Response{Status: 500}, exchange.ItemResult{Outcome: rules.Errored}},
		"retry-after":             {&http1.Response{Status: 429, Header: field("Wait-Ms", "250")}, exchange.ItemResult{Outcome: rules.Refused, RetryAfter: 250 * time.Millisecond}},
		"no retry-after":          {&http1.Response{Status: 429}, exchange.ItemResult{Outcome: rules.Refused}},
		"unavailable":             {&http1.Response{Status: 503}, exchange.ItemResult{Outcome: rules.Refused}},
		"slots taken":             {&http1.Response{Status: 503, Header: field("slots-taken", "1")}, exchange.ItemResult{Outcome: rules.NotSent, NoFreeSlot: true}},
		"attempts used":           {&http1.Response{Status: 504}, exchange.ItemResult{Outcome: rules.NotSent}},
		"message finished":        {&http1.Response{Status: 410}, exchange.ItemResult{Outcome: rules.NotSent, Finished: true}},
		"unknown status":          {&http1.Response{Status: 404}, exchange.ItemResult{Outcome: rules.Errored}},
		"load report":             {&http1.Response{Status: 200, Header: field("Srv-Load", `{"x0":0.4,"x1":25}`)}, exchange.ItemResult{Outcome: rules.OK, Report: rules.Report{Remaining: 0.4, Limit: 25}}},
		"negative load report":    {&http1.Response{Status: 200, Header: field("Srv-Load", `{"x0":0.4,"x1":-25}`)}, exchange.ItemResult{Outcome: rules.OK}},
		"load report with a text": {&http1.Response{Status: 200, Header: field("Srv-Load", `{"x1":25,"x0":"a"}`)}, exchange.ItemResult{Outcome: rules.OK}},
		"malformed load report":   {&http1.Response{Status: 200, Header: field("Srv-Load", `[`)}, exchange.ItemResult{Outcome: rules.OK}},
		"no response":             {nil, exchange.ItemResult{Outcome: rules.Reset}},
	} {
		srv := listen(t, func(*http1.Request, []byte) *http1.Response { return c.resp })
		if got, written := newTestPool(t, nil).deliverOne(srv.Addr()); got != c.want || !written {
			t.Errorf("%s: got %+v, written %v, want %+v", name, got, written, c.want)
		}
	}
}

// A 503 that closes a connection with its first response refuses the connection, even if the connection was idle
// before. A 503 on a connection that has served a call, or that stays open, refuses the call. Without this
// distinction an endpoint at its connection limit would look like one that limits calls.
func TestConnectionRefusalIsNotACallRefusal(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	refusal := func(status, fields string) string {
		return "HTTP/1.1 " + status + " No\r\nContent-Length: 0\r\n" + fields + "\r\n"
	}
	for name, c := range map[string]struct {
		responses []string // on one connection
		ids       []string
		want      rules.Outcome
		kept      bool // the connection was opened for a call cancelled before its first byte, and kept idle
	}{
		"first response, closes":        {[]string{refusal("503", "Connection: close\r\n")}, []string{"a"}, rules.ConnectError, false},
		"the same, kept unused before":  {[]string{refusal("503", "Connection: close\r\n")}, []string{"a"}, rules.ConnectError, true},
		"the same to two messages":      {[]string{refusal("503", "Connection: close\r\n")}, []string{"a", "b"}, rules.ConnectError, false},
		"first response, stays open":    {[]string{refusal("503", "")}, []string{"a"}, rules.Refused, false},
		"second response, closes":       {[]string{ok, refusal("503", "Connection: close\r\n")}, []string{"a"}, rules.Refused, false},
		"retry-after, closes":           {[]string{refusal("429", "Wait-Ms: 5\r\nConnection: close\r\n")}, []string{"a"}, rules.Refused, false},
		"slots taken, closes":           {[]string{refusal("503", "Slots-Taken: 1\r\nConnection: close\r\n")}, []string{"a"}, rules.NotSent, false},
		"invalid after the status line": {[]string{"HTTP/1.1 503 No\r\nConnection: close\r\n?\r\n\r\n"}, []string{"a"}, rules.Reset, false},
	} {
		srv := listenRaw(t, func(call int) string { return c.responses[min(call, len(c.responses))-1] })
		p := newTestPool(t, nil)
		if c.kept {
			dialing, proceed := p.holdDials()
			h := p.Start(callTo(srv.Addr(), "cancelled"))
			testkit.Receive(t, dialing, "connect")
			h.Cancel()
			proceed <- true
			testkit.Receive(t, p.results, "result of the cancelled call")
			testkit.Eventually(t, "kept", func() bool { return p.idleAt(srv.Addr()) == 1 })
		}
		var got callResult
		for range c.responses {
			p.Start(callTo(srv.Addr(), c.ids...))
			got = testkit.Receive(t, p.results, "result")
			if got.Items[0].Outcome == rules.OK {
				testkit.Eventually(t, "idle", func() bool { return p.idleAt(srv.Addr()) == 1 })
			}
		}
		for i, r := range got.Items {
			if r.Outcome != c.want || r.ConnectionLimitReached != (c.want == rules.ConnectError) {
				t.Errorf("%s, message %d: outcome %v, connection limit reached: %v; want outcome %v",
					name, i, r.Outcome, r.ConnectionLimitReached, c.want)
			}
		}
	}
}

func TestCallFormat(t *testing.T) {
	srv := listen(t, func(req *http1.Request, body []byte) *http1.Response {
		if req.Method != "POST" || req.Target != "/receive" || req.Header.Get("Req-Id") != "a" ||
			req.Header.Get("Req-Deadline-Ms") != "1500" || req.Header.Get("Host") == "" || string(body) != "body of a\r\n\x00" {
			return &http1.Response{Status: 500}
		}
		return &http1.Response{Status: 200}
	})
	if got, _ := newTestPool(t, nil).deliverOne(srv.Addr()); got.Outcome != rules.OK {
		t.Errorf("the endpoint did not get the expected request: %+v", got)
	}
}

// An idempotency key is sent unchanged, with one message or several; a message without a key is sent without one.
func TestIdempotencyKeysAreForwarded(t *testing.T) {
	call := callTo("x", "a")
	if text := string(appendCall(nil, call, false)); strings.Contains(text, "Idempotency-Key") {
		t.Errorf("a message without a key: %q", text)
	}
	call.Items[0].IdempotencyKey = "k1"
	if text := string(appendCall(nil, call, false)); !strings.Contains(text, "\r\nIdempotency-Key: k1\r\n") {
		t.Errorf("a message with a key: %q", text)
	}
	call = callTo("x", "a", "b")
	call.Items[1].IdempotencyKey = "k2"
	text := string(appendCall(nil, call, false))
	if !strings.Contains(text, "\r\na - 12\r\n") || !strings.Contains(text, "\r\nb k2 12\r\n") {
		t.Errorf("several messages: %q", text)
	}
}

func TestBatchCall(t *testing.T) {
	ep, err := platform.NewEndpoint("127.0.0.1:0", func(id string, _ int) *http1.Response {
		if id == "b" {
			return &http1.Response{Status: 500}
		}
		return &http1.Response{Status: 200}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer ep.Close()
	p := newTestPool(t, nil)
	p.Start(callTo(ep.Addr(), "a", "b", "c"))
	d := testkit.Receive(t, p.results, "result")
	for i, want := range []rules.Outcome{rules.OK, rules.Errored, rules.OK} {
		if d.Items[i].Outcome != want {
			t.Errorf("message %d: outcome %v, want %v", i, d.Items[i].Outcome, want)
		}
	}
	if got := fmt.Sprint(ep.ReceivedIDs()); got != "[a b c]" {
		t.Errorf("received %s", got)
	}
}

func TestBatchResponses(t *testing.T) {
	all := func(o rules.Outcome) []rules.Outcome { return []rules.Outcome{o, o, o, o, o, o} }
	for name, c := range map[string]struct {
		status int
		body   string
		want   []rules.Outcome
	}{
		"each message its own": {200, "a accepted\r\nb fault\r\nc deferred\nd expired\r\ne no_more\r\nf accepted\r\n",
			[]rules.Outcome{rules.OK, rules.Errored, rules.Refused, rules.NotSent, rules.NotSent, rules.OK}},
		"unreadable":          {200, "a perhaps\r\nhello", all(rules.Reset)},
		"one line missing":    {200, "a accepted\nb accepted\nc accepted\nd accepted\ne accepted\n", all(rules.Reset)},
		"one line too many":   {200, "a accepted\nb accepted\nc accepted\nd accepted\ne accepted\nf accepted\ng accepted\n", all(rules.Reset)},
		"one ID twice":        {200, "a accepted\nb accepted\nc accepted\nd accepted\ne accepted\nf accepted\nf fault\n", all(rules.Reset)},
		"last line truncated": {200, "a accepted\nb accepted\nc accepted\nd accepted\ne accepted\nf acce", all(rules.Reset)},
		"all refused":         {429, "", all(rules.Refused)},
		"all failed":          {500, "", all(rules.Errored)},
		"too large":           {413, "", all(rules.NotSent)},
		"bad request":         {400, "", all(rules.NotSent)},
	} {
		srv := listen(t, func(*http1.Request, []byte) *http1.Response {
			return &http1.Response{Status: c.status, Body: []byte(c.body), Header: http1.Header{{Name: "Wait-Ms", Value: "70"}}}
		})
		p := newTestPool(t, nil)
		p.Start(callTo(srv.Addr(), "a", "b", "c", "d", "e", "f"))
		d := testkit.Receive(t, p.results, "result")
		for i, want := range c.want {
			if d.Items[i].Outcome != want || d.Items[i].RetryAfter != 70*time.Millisecond || d.Items[i].Finished != (name == "each message its own" && i == 3) {
				t.Errorf("%s, message %d: got %+v, want outcome %v", name, i, d.Items[i], want)
			}
		}
	}
}

// A truncated response to several messages proves nothing. To a call with one message, a status line with 200 does.
func TestTruncatedResponses(t *testing.T) {
	for ids, want := range map[string]rules.Outcome{"a": rules.OK, "a b": rules.Reset} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		go func() {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			nc.Read(make([]byte, 4096))
			nc.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\na accepted\r\n"))
			nc.Close()
		}()
		p := newTestPool(t, nil)
		p.Start(callTo(ln.Addr().String(), strings.Fields(ids)...))
		if got := testkit.Receive(t, p.results, "result").Items[0].Outcome; got != want {
			t.Errorf("messages %s: outcome %v, want %v", ids, got, want)
		}
	}
}

// listenRaw starts an endpoint that reads each call completely, writes what respond returns for it, byte for byte, and
// leaves the connection open. Calls are numbered from 1.
func listenRaw(t *testing.T, respond func(call int) string) *platform.Server {
	t.Helper()
	var mu sync.Mutex
	calls := 0
	srv, err := platform.ListenRaw("127.0.0.1:0", func(nc net.Conn) {
		br := bufio.NewReader(nc)
		for {
			req, err := http1.ReadRequest(br)
			if err != nil {
				return
			}
			if _, err := http1.ReadBody(br, req.ContentLength); err != nil {
				return
			}
			mu.Lock()
			calls++
			n := calls
			mu.Unlock()
			if _, err := io.WriteString(nc, respond(n)); err != nil {
				return
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(srv.Close)
	return srv
}

// After an invalid response the call may have run, whatever the status line says; the one exception is a 200 to a call
// with one message. Such a call must not occupy its slot until the message's deadline, and its connection must not be
// used again.
func TestInvalidResponses(t *testing.T) {
	for name, c := range map[string]struct {
		response   string
		single     rules.Outcome // of a call with one message; with two it is always Reset
		retryAfter time.Duration // if the header was received completely
	}{
		"garbage":                        {"\x00\xff\x16\x03 nothing of the kind\r\n\r\n", rules.Reset, 0},
		"garbage without a line end":     {"\x00\xff\x16", rules.Reset, 0},
		"no status":                      {"HTTP/1.1 abc\r\n\r\n", rules.Reset, 0},
		"invalid header field":           {"HTTP/1.1 200 OK\r\nno colon here\r\n\r\n", rules.OK, 0},
		"garbage in the reason phrase":   {"HTTP/1.1 200 \x00\r\x01\r\n\r\n", rules.OK, 0},
		"truncated head":                 {"HTTP/1.1 200 OK\r\nContent-Le", rules.OK, 0},
		"endless head":                   {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", 10000), rules.OK, 0},
		"endless status line":            {"HTTP/1.1 200 " + strings.Repeat("O", 20<<10), rules.Reset, 0},
		"truncated body":                 {"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhi", rules.OK, 0},
		"negative length":                {"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", rules.OK, 0},
		"two lengths":                    {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nhi", rules.OK, 0},
		"no length":                      {"HTTP/1.1 200 OK\r\n\r\nhi", rules.OK, 0},
		"huge body":                      {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<20), rules.OK, 0},
		"chunked":                        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", rules.OK, 0},
		"empty transfer coding":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\nContent-Length: 0\r\n\r\n", rules.OK, 0},
		"endless interim responses":      {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000), rules.Reset, 0},
		"refusal without its body":       {"HTTP/1.1 429 Too Many Requests\r\nWait-Ms: 100\r\nContent-Length: 9\r\n\r\n", rules.Reset, 100 * time.Millisecond},
		"refusal, truncated body":        {"HTTP/1.1 429 Too Many Requests\r\nWait-Ms: 100\r\nContent-Length: 9\r\n\r\nno", rules.Reset, 100 * time.Millisecond},
		"refusal, truncated retry-after": {"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\nWait-Ms: 1", rules.Reset, 0},
		"refusal, invalid field":         {"HTTP/1.1 429 Too Many Requests\r\nWait-Ms: 100\r\nno colon here\r\n\r\n", rules.Reset, 0},
		"delivered, truncated body":      {"HTTP/1.1 200 OK\r\nWait-Ms: 100\r\nContent-Length: 50\r\n\r\nhi", rules.OK, 100 * time.Millisecond},
		"slots taken, invalid field":     {"HTTP/1.1 503 Service Unavailable\r\nSlots-Taken: 1\r\n?\r\n\r\n", rules.Reset, 0},
		"attempts used, no body":         {"HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 1\r\n\r\n", rules.Reset, 0},
		"message finished, no body":      {"HTTP/1.1 410 Gone\r\nContent-Length: 1\r\n\r\n", rules.Reset, 0},
		"error, no body":                 {"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 1\r\n\r\n", rules.Reset, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			srv := listenRaw(t, func(int) string { return c.response })
			p := newTestPool(t, nil)
			for _, ids := range [][]string{{"a"}, {"a", "b"}} {
				p.Start(callTo(srv.Addr(), ids...))
				d := testkit.Receive(t, p.results, "result")
				want := exchange.ItemResult{Outcome: rules.Reset, RetryAfter: c.retryAfter}
				if len(ids) == 1 {
					want.Outcome = c.single
				}
				if d.Items[0] != want || !d.Written {
					t.Errorf("%d messages: got %+v, written %v, want %+v", len(ids), d.Items[0], d.Written, want)
				}
			}
			if n := srv.AcceptedConnections(); n != 2 {
				t.Errorf("%d connections for two invalid responses, want 2", n)
			}
		})
	}
}

// Wait-Ms holds whole or decimal milliseconds, limited to an hour. Of several fields the longest counts; a field that
// is not such a number is ignored.
func TestRetryAfter(t *testing.T) {
	for values, want := range map[string]time.Duration{
		"": 0, "0": 0, "250": 250 * time.Millisecond, "0.5": 500 * time.Microsecond, "3600001": time.Hour, strings.Repeat("9", 400): time.Hour,
		"-250": 0, "+250": 0, "NaN": 0, "Inf": 0, "1e3": 0, "0x10": 0, ".": 0, "1.2.3": 0, "250 ms": 0, "soon": 0,
		"100|300": 300 * time.Millisecond, "300|100": 300 * time.Millisecond, "x|300": 300 * time.Millisecond, "300|-1": 300 * time.Millisecond,
	} {
		h := http1.Header{{Name: "Other", Value: "9"}}
		for v := range strings.SplitSeq(values, "|") {
			h = append(h, http1.Field{Name: "wait-ms", Value: v})
		}
		if got := retryAfter(h); got != want {
			t.Errorf("%q: got %v, want %v", values, got, want)
		}
	}
}

// A response that has already arrived when its call is cancelled still counts, and so does its retry-after.
func TestCancelledCallReadsReceivedResponse(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	p := newTestPool(t, nil)
	j := &job{call: callTo("x", "a")}
	go func() {
		if req, err := http1.ReadRequest(bufio.NewReader(far)); err != nil || req.Header.Get("Req-Id") != "a" {
			t.Errorf("the endpoint read %+v, %v", req, err)
		}
		j.Cancel()
		io.WriteString(far, "HTTP/1.1 429 No\r\nWait-Ms: 700\r\nContent-Length: 0\r\n\r\n")
	}()
	c := &conn{nc: patientConn{near}, br: bufio.NewReader(near)}
	p.roundTrip(c, j)
	want := exchange.ItemResult{Outcome: rules.Refused, RetryAfter: 700 * time.Millisecond}
	if d := testkit.Receive(t, p.results, "result"); d.Items[0] != want {
		t.Errorf("got %+v, want %+v", d.Items[0], want)
	}
}

// patientConn is a connection on which a read with a deadline waits until the response is there.
type patientConn struct{ net.Conn }

func (c patientConn) SetReadDeadline(at time.Time) error {
	if at.After(time.Now()) {
		at = time.Time{}
	}
	return c.Conn.SetReadDeadline(at)
}

// A final response after interim ones is valid, however late it comes, and its connection is kept.
func TestInterimResponses(t *testing.T) {
	srv := listenRaw(t, func(int) string {
		return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
	})
	p := newTestPool(t, nil)
	for range 2 {
		if got, _ := p.deliverOne(srv.Addr()); got.Outcome != rules.Refused {
			t.Errorf("got %+v", got)
		}
		testkit.Eventually(t, "idle", func() bool { return p.idleAt(srv.Addr()) == 1 })
	}
	if n := srv.AcceptedConnections(); n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
}

// Bytes that follow a response must not be taken for the response to the next call, even if they are still unread
// when that call starts.
func TestExtraBytesAreNotTheNextResponse(t *testing.T) {
	const ok, refusal = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
	srv := listenRaw(t, func(call int) string {
		if call == 1 {
			return ok + ok
		}
		return refusal
	})
	p := newTestPool(t, nil)
	if got, _ := p.deliverOne(srv.Addr()); got.Outcome != rules.OK {
		t.Errorf("first call: %+v", got)
	}
	if got, _ := p.deliverOne(srv.Addr()); got.Outcome != rules.Refused {
		t.Errorf("second call: %+v, want its own response", got)
	}
}

// timedOutConn is a connection whose reads fail without looking at the socket, as Go's do past their deadline.
type timedOutConn struct{ *net.TCPConn }

func (timedOutConn) Read([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

func TestUnreadBytesMakeIdleConnectionUnusable(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	p := newTestPool(t, nil)
	nc := timedOutConn{client.(*net.TCPConn)}
	c := &conn{nc: nc, br: bufio.NewReader(nc)}
	for _, usable := range []bool{true, false} {
		c.next = &job{call: callTo("x", "a")}
		if next, got := p.waitIdle(c, peerAt("x")); next == nil || got != usable {
			t.Errorf("got call %v, usable %v, want %v", next, got, usable)
		}
		p.mu.Lock()
		clear(p.idle)
		p.mu.Unlock()
		if _, err := io.WriteString(server, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		testkit.Eventually(t, "bytes received", func() bool { return !socket.ReadWouldBlock(client) })
	}
}

func TestConnectionRefusedByHost(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	if got, written := newTestPool(t, nil).deliverOne(addr); got.Outcome != rules.ConnectError || written {
		t.Errorf("a closed port: %+v, written %v", got, written)
	}
}

// A call whose connection breaks before its last byte was written has not run.
func TestConnectionBrokenDuringWrite(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		nc.Read(make([]byte, 10))
		nc.Close() // with unread bytes: a reset
	}()
	p := newTestPool(t, nil)
	c := callTo(ln.Addr().String(), "a")
	c.Items[0].Body = make([]byte, 64<<20) // more than the kernel buffers
	p.Start(c)
	if d := testkit.Receive(t, p.results, "result"); d.Written || d.Items[0].Outcome != rules.ConnectError {
		t.Errorf("got %+v", d.Result)
	}
}

func respondOK(*http1.Request, []byte) *http1.Response { return &http1.Response{Status: 200} }

// idleAt returns the number of idle connections to an address.
func (p *testPool) idleAt(addr string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[peerAt(addr)])
}

func TestConnectionsAreReused(t *testing.T) {
	srv := listen(t, respondOK)
	p := newTestPool(t, nil)
	for range 5 {
		if got, _ := p.deliverOne(srv.Addr()); got.Outcome != rules.OK {
			t.Fatalf("outcome %v", got.Outcome)
		}
		testkit.Eventually(t, "idle", func() bool { return p.idleAt(srv.Addr()) == 1 })
	}
	if n := srv.AcceptedConnections(); n != 1 {
		t.Errorf("%d connections for five calls, want 1", n)
	}
}

// Calls are sent at once (TCP_NODELAY): their last byte, which may be written on its own, is not delayed by the kernel.
func TestCallsUseNoDelay(t *testing.T) {
	srv := listen(t, respondOK)
	p := newTestPool(t, nil)
	p.deliverOne(srv.Addr())
	testkit.Eventually(t, "idle", func() bool { return p.idleAt(srv.Addr()) == 1 })
	p.mu.Lock()
	defer p.mu.Unlock()
	testkit.RequireNoDelay(t, p.idle[peerAt(srv.Addr())][0].nc)
}

// A connection carries one call at a time.
func TestOneCallPerConnection(t *testing.T) {
	release := make(chan struct{})
	srv := listen(t, func(*http1.Request, []byte) *http1.Response {
		<-release
		return &http1.Response{Status: 200}
	})
	p := newTestPool(t, nil)
	for range 3 {
		p.Start(callTo(srv.Addr(), "a"))
	}
	testkit.Eventually(t, "three connections", func() bool { return srv.AcceptedConnections() == 3 })
	close(release)
	for range 3 {
		if d := testkit.Receive(t, p.results, "result"); d.Items[0].Outcome != rules.OK {
			t.Errorf("got %+v", d.Result)
		}
	}
}

// After the endpoint closed an idle connection, the next call gets a new one and is sent once.
func TestEndpointClosesIdleConnection(t *testing.T) {
	ep, err := platform.NewEndpoint("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer ep.Close()
	p := newTestPool(t, nil)
	p.deliverOne(ep.Addr())
	testkit.Eventually(t, "idle", func() bool { return p.idleAt(ep.Addr()) == 1 })
	ep.CloseConnections()
	testkit.Eventually(t, "the close noticed", func() bool { return p.idleAt(ep.Addr()) == 0 })
	if got, _ := p.deliverOne(ep.Addr()); got.Outcome != rules.OK {
		t.Errorf("outcome %v", got.Outcome)
	}
	if n := len(ep.ReceivedIDs()); n != 2 {
		t.Errorf("%d calls arrived, want 2", n)
	}
}

// A connection is not used again after a response with Connection: close.
func TestConnectionCloseIsHonored(t *testing.T) {
	srv := listen(t, func(*http1.Request, []byte) *http1.Response {
		return &http1.Response{Status: 200, Header: http1.Header{{Name: "Connection", Value: "close"}}}
	})
	p := newTestPool(t, nil)
	for range 2 {
		p.deliverOne(srv.Addr())
	}
	if n := srv.AcceptedConnections(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

func TestIdleConnectionsCloseBeforeKeepAlive(t *testing.T) {
	srv := listen(t, respondOK)
	p := newTestPool(t, func(c *Config) { c.KeepAlive = 200 * time.Millisecond })
	p.deliverOne(srv.Addr())
	testkit.Eventually(t, "idle", func() bool { return p.idleAt(srv.Addr()) == 1 })
	testkit.Eventually(t, "closed", func() bool { return p.idleAt(srv.Addr()) == 0 && srv.OpenConnections() == 0 })
}

func TestCloseIdle(t *testing.T) {
	srv := listen(t, respondOK)
	p := newTestPool(t, nil)
	p.deliverOne(srv.Addr())
	testkit.Eventually(t, "idle", func() bool { return p.idleAt(srv.Addr()) == 1 })
	p.CloseIdle(peerAt("127.0.0.1:1"))
	if n := p.idleAt(srv.Addr()); n != 1 {
		t.Errorf("after closing those to another address, %d are idle, want 1", n)
	}
	p.CloseIdle(peerAt(srv.Addr()))
	testkit.Eventually(t, "closed", func() bool { return srv.OpenConnections() == 0 })
}

// A new endpoint at the address of one that has gone is another peer: it gets no connection that was opened to the old
// one, and closing the old one's connections leaves its own open.
func TestEndpointsSharingAnAddressShareNoConnections(t *testing.T) {
	srv := listen(t, respondOK)
	p := newTestPool(t, nil)
	old := exchange.Peer{Name: "old", Addr: srv.Addr()}
	fresh := exchange.Peer{Name: "new", Addr: srv.Addr()}
	idle := func(to exchange.Peer) int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.idle[to])
	}
	for _, to := range []exchange.Peer{old, fresh} {
		c := callTo(srv.Addr(), "a")
		c.To = to
		p.Start(c)
		if d := testkit.Receive(t, p.results, "result"); d.Items[0].Outcome != rules.OK {
			t.Errorf("%s: %+v", to.Name, d.Result)
		}
		testkit.Eventually(t, "idle", func() bool { return idle(to) == 1 })
	}
	if n := srv.AcceptedConnections(); n != 2 {
		t.Errorf("%d connections, want one for each endpoint", n)
	}
	p.CloseIdle(old)
	testkit.Eventually(t, "one closed", func() bool { return srv.OpenConnections() == 1 })
	if idle(fresh) != 1 || idle(old) != 0 {
		t.Errorf("%d idle at the new endpoint, %d at the old one", idle(fresh), idle(old))
	}
}

// At the limit the connection that has been idle longest is closed, and the limit holds again once calls have finished.
func TestConnectionLimit(t *testing.T) {
	p := newTestPool(t, func(c *Config) { c.MaxConns = 2 })
	var servers []*platform.Server
	for range 4 {
		srv := listen(t, func(*http1.Request, []byte) *http1.Response {
			// a connection that gives way to another counts until its goroutine has closed it
			testkit.Eventually(t, "idle connection closed", func() bool {
				p.mu.Lock()
				defer p.mu.Unlock()
				return p.openConns <= 2
			})
			return &http1.Response{Status: 200}
		})
		servers = append(servers, srv)
		if got, _ := p.deliverOne(srv.Addr()); got.Outcome != rules.OK {
			t.Fatalf("outcome %v", got.Outcome)
		}
		testkit.Eventually(t, "idle", func() bool { return p.idleAt(srv.Addr()) == 1 })
	}
	testkit.Eventually(t, "within the limit", func() bool {
		open := 0
		for _, srv := range servers {
			open += srv.OpenConnections()
		}
		return open <= 2
	})
	if servers[3].OpenConnections() != 1 {
		t.Error("the most recently used connection was closed")
	}
}

// listenResetting starts an endpoint that answers a number of calls on each connection and resets it at the next byte.
func listenResetting(t *testing.T, responses int) *platform.Server {
	t.Helper()
	srv, err := platform.ListenRaw("127.0.0.1:0", func(nc net.Conn) {
		br := bufio.NewReader(nc)
		for range responses {
			req, err := http1.ReadRequest(br)
			if err != nil {
				return
			}
			if _, err := http1.ReadBody(br, req.ContentLength); err != nil {
				return
			}
			io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
		br.ReadByte()
		nc.(*net.TCPConn).SetLinger(0) // closing resets
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(srv.Close)
	return srv
}

// A connection that is reset at a call's first bytes has not received the last one, which is held back: the call has
// not run. Where nothing resets the connection, the last byte is sent after the pause.
func TestResetWhileLastByteIsHeldBack(t *testing.T) {
	for responses := range 2 {
		srv := listenResetting(t, responses)
		p := newTestPool(t, nil)
		p.minHoldBack = 200 * time.Millisecond // longer than a reset takes
		p.lastReset.Store(time.Now().UnixMilli())
		for range responses {
			p.Start(callTo(srv.Addr(), "a"))
			if d := testkit.Receive(t, p.results, "result"); d.Items[0].Outcome != rules.OK {
				t.Errorf("first call: %+v", d.Result)
			}
			testkit.Eventually(t, "idle", func() bool { return p.idleAt(srv.Addr()) == 1 })
		}
		p.Start(callTo(srv.Addr(), "b"))
		if d := testkit.Receive(t, p.results, "result"); d.Written || d.Items[0].Outcome != rules.ConnectError {
			t.Errorf("after %d responses: %+v", responses, d.Result)
		}
	}
}

// The first reset during a call is reported as a reset, and makes later calls hold back their last byte.
func TestResetEnablesHoldBack(t *testing.T) {
	srv := listenResetting(t, 0)
	p := newTestPool(t, nil)
	p.minHoldBack = 200 * time.Millisecond
	for i := range 2 {
		p.Start(callTo(srv.Addr(), "a"))
		if d := testkit.Receive(t, p.results, "result"); d.Written != (i == 0) {
			t.Errorf("call %d: %+v", i, d.Result)
		}
	}
}

// Cancelling a call that awaits its response closes the connection. The call was written, so it may have run, and it
// cannot be recalled.
func TestCancelAwaitingResponse(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	srv := listen(t, func(*http1.Request, []byte) *http1.Response {
		close(received)
		<-release
		return nil
	})
	defer close(release)
	p := newTestPool(t, nil)
	h := p.Start(callTo(srv.Addr(), "a"))
	testkit.Receive(t, received, "call")
	if h.Recall() {
		t.Error("recalled after its last byte")
	}
	h.Cancel()
	if d := testkit.Receive(t, p.results, "result"); !d.Written || d.Items[0].Outcome != rules.Cancelled {
		t.Errorf("got %+v", d.Result)
	}
	if n := p.idleAt(srv.Addr()); n != 0 {
		t.Errorf("%d connections kept", n)
	}
}

// A call that is cancelled or recalled before any byte was written has not run, and its connection stays usable.
func TestCancelBeforeWrite(t *testing.T) {
	ep, err := platform.NewEndpoint("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer ep.Close()
	for _, cancel := range []func(*job){(*job).Cancel, func(j *job) { j.Recall() }} {
		p := newTestPool(t, nil)
		nc, err := net.Dial("tcp", ep.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		connected, dialing := &job{call: callTo(ep.Addr(), "a")}, &job{call: callTo(ep.Addr(), "a")}
		cancel(connected)
		if !p.roundTrip(&conn{nc: nc}, connected) || connected.writeLast(nc, []byte("x")) {
			t.Error("the connection cannot be used again, or the call may still be written")
		}
		cancel(dialing)
		if c := p.connect(dialing); c != nil {
			t.Error("a connection was opened for a cancelled call")
		}
		for range 2 {
			if d := testkit.Receive(t, p.results, "result"); d.Written || d.Items[0].Outcome != rules.Cancelled {
				t.Errorf("got %+v", d.Result)
			}
		}
	}
	if n := len(ep.ReceivedIDs()); n != 0 {
		t.Errorf("%d calls arrived", n)
	}
}

// holdDials makes each dial send to dialing and wait for proceed. Cancelling does not end it before.
func (p *testPool) holdDials() (dialing, proceed chan bool) {
	dialing, proceed = make(chan bool, 9), make(chan bool, 9)
	dial := p.dial
	p.dial = func(_ context.Context, network, address string) (net.Conn, error) {
		dialing <- true
		<-proceed
		return dial(context.Background(), network, address)
	}
	return dialing, proceed
}

// A call that is recalled before its last byte is written never reaches the endpoint, even if its connection opens
// afterwards. Nor does a call whose WriteBy has passed, which finishes as not sent and costs no attempt.
func TestRecallAndWriteBy(t *testing.T) {
	for name, c := range map[string]struct{ idle, holdBack, late bool }{
		"connecting":                        {},
		"idle connection expired":           {idle: true},
		"last byte held back":               {holdBack: true},
		"connecting, too late":              {late: true},
		"idle connection expired, too late": {idle: true, late: true},
		"last byte held back, too late":     {holdBack: true, late: true},
	} {
		ep, err := platform.NewEndpoint("127.0.0.1:0", nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(ep.Close)
		p := newTestPool(t, nil)
		dialing, proceed := p.holdDials()
		if c.idle {
			proceed <- true
			p.deliverOne(ep.Addr())
			testkit.Receive(t, dialing, "connect")
			testkit.Eventually(t, "idle", func() bool { return p.idleAt(ep.Addr()) == 1 })
			p.mu.Lock()
			p.idle[peerAt(ep.Addr())][0].idleSince = time.Time{} // long expired
			p.mu.Unlock()
		}
		call, want := callTo(ep.Addr(), "b"), exchange.ItemResult{Outcome: rules.Cancelled}
		if c.holdBack {
			p.minHoldBack = time.Hour
			p.lastReset.Store(time.Now().UnixMilli())
		}
		if c.late {
			p.minHoldBack = 100 * time.Millisecond
			call.WriteBy = time.Now().Add(50 * time.Millisecond)
			want = exchange.ItemResult{Outcome: rules.NotSent, Recalled: true}
		}
		h := p.Start(call)
		testkit.Receive(t, dialing, "connect")
		if c.holdBack {
			proceed <- true
			testkit.Eventually(t, "connected", func() bool {
				j := h.(*job)
				j.mu.Lock()
				defer j.mu.Unlock()
				return j.nc != nil
			})
		}
		if c.late {
			testkit.Eventually(t, "too late", func() bool { return time.Now().After(call.WriteBy) })
		} else if !h.Recall() {
			t.Errorf("%s: not recalled", name)
		}
		proceed <- true
		if d := testkit.Receive(t, p.results, "result"); d.Written || d.Items[0] != want {
			t.Errorf("%s: %+v, want %+v", name, d.Result, want)
		}
		p.lastReset.Store(0)
		proceed <- true
		if got, _ := p.deliverOne(ep.Addr()); got.Outcome != rules.OK || strings.Contains(fmt.Sprint(ep.ReceivedIDs()), "b") {
			t.Errorf("%s: received %v, the next call %+v", name, ep.ReceivedIDs(), got)
		}
	}
}

// Whatever an endpoint sends, an invalid response never proves that a message has not run, and it proves that one has
// only by a status line with 200 to a call with one message.
func FuzzInvalidResponse(f *testing.F) {
	for _, text := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n", "HTTP/1.1 503 No\r\n\x00", "HTTP/1.1 410 Gone\r\n",
		"HTTP/1.1 100 C\r\n\r\nHTTP/1.1 429 No\r\nWait-Ms: 9\r\nContent-Length: 1\r\n\r\n", "noise", "",
		"HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\na accepted\r\nb accepted\r\n"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		for _, call := range []*exchange.Call{callTo("x", "a"), callTo("x", "a", "b")} {
			resp, err := http1.ReadResponse(bufio.NewReader(bytes.NewReader(text)), maxResponseBytes)
			later, _ := itemResults(call, resp, err, rules.Reset, false)
			first, _ := itemResults(call, resp, err, rules.Reset, true)
			for _, r := range later {
				if err != nil && r.Outcome != rules.Reset {
					t.Fatalf("invalid response (%v) on a connection that was used before: %+v", err, r)
				}
			}
			for _, r := range append(later, first...) {
				delivered := r.Outcome == rules.OK && resp != nil && resp.Status == 200
				wrongOutcome := r.Outcome != rules.Reset && !(delivered && len(call.Items) == 1)
				if err != nil && (wrongOutcome || r.Finished || r.NoFreeSlot || r.ConnectionLimitReached) {
					t.Fatalf("invalid response (%v): %+v", err, r)
				}
				if r.Outcome == rules.OK && !delivered {
					t.Fatalf("delivered without a 200: %+v", r)
				}
			}
		}
	})
}

// A complete response gives a result for each message, no negative retry-after, and a delivery only with status 200.
func FuzzItemResults(f *testing.F) {
	f.Add(200, "a accepted\r\nb fault\r\n", "7", `{"x0":1}`)
	f.Add(429, "", "-1", "{")
	f.Fuzz(func(t *testing.T, status int, body, wait, load string) {
		resp := &http1.Response{Status: status, Body: []byte(body),
			Header: http1.Header{{Name: "Wait-Ms", Value: wait}, {Name: "Srv-Load", Value: load}}}
		for _, call := range []*exchange.Call{callTo("x", "a"), callTo("x", "a", "b")} {
			results, _ := itemResults(call, resp, nil, rules.Reset, false)
			if len(results) != len(call.Items) {
				t.Fatalf("%d results for %d messages", len(results), len(call.Items))
			}
			for _, r := range results {
				if r.RetryAfter < 0 || r.Outcome == rules.OK && status != 200 {
					t.Fatalf("status %d: %+v", status, r)
				}
			}
		}
	})
}
