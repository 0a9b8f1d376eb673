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

type done struct {
	call *exchange.Call
	exchange.Result
}

// side is a pool whose results the test reads.
type side struct {
	*Pool
	t    *testing.T
	done chan done
}

func newSide(t *testing.T, change func(*Config)) *side {
	s := &side{t: t, done: make(chan done, 100)}
	cfg := Config{ConnectTimeout: 10 * time.Second, KeepAlive: time.Minute, MaxConns: 10,
		Finish: func(c *exchange.Call, r exchange.Result) { s.done <- done{c, r} }}
	if change != nil {
		change(&cfg)
	}
	s.Pool = New(cfg)
	t.Cleanup(s.Close)
	return s
}

// peer is the endpoint that stands at an address.
func peer(addr string) exchange.Peer { return exchange.Peer{Name: "s", Addr: addr} }

func callTo(addr string, ids ...string) *exchange.Call {
	c := &exchange.Call{To: peer(addr), Timeout: 1500 * time.Millisecond}
	for _, id := range ids {
		c.Items = append(c.Items, &message.Message{ID: id, Body: []byte("body of " + id + "\r\n\x00")})
	}
	return c
}

// outcome makes a call with one message and returns how it ended.
func (s *side) outcome(addr string) (exchange.ItemResult, bool) {
	s.t.Helper()
	s.Start(callTo(addr, "a"))
	d := testkit.Receive(s.t, s.done, "result")
	if len(d.Items) != 1 {
		s.t.Fatalf("%d results for one message", len(d.Items))
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

func TestOutcomes(t *testing.T) {
	field := func(name, value string) http1.Header { return http1.Header{{Name: name, Value: value}} }
	for name, c := range map[string]struct {
		answer *http1.Response
		want   exchange.ItemResult
	}{
		"delivered":       {&http1.Response{Status: 200, Body: []byte("whatever")}, exchange.ItemResult{Outcome: rules.OK}},
		"error":           {&http1.Response{Status: 500}, exchange.ItemResult{Outcome: rules.Errored}},
		"wait":            {&http1.Response{Status: 429, Header: field("Wait-Ms", "250")}, exchange.ItemResult{Outcome: rules.Refused, RetryAfter: 250 * time.Millisecond}},
		"no wait told":    {&http1.Response{Status: 429}, exchange.ItemResult{Outcome: rules.Refused}},
		"turned away":     {&http1.Response{Status: 503}, exchange.ItemResult{Outcome: rules.Refused}},
		"slots taken":     {&http1.Response{Status: 503, Header: field("slots-taken", "1")}, exchange.ItemResult{Outcome: rules.NotSent, NoFreeSlot: true}},
		"attempts used":   {&http1.Response{Status: 504}, exchange.ItemResult{Outcome: rules.NotSent}},
		"message over":    {&http1.Response{Status: 410}, exchange.ItemResult{Outcome: rules.NotSent, Finished: true}},
		"something else":  {&http1.Response{Status: 404}, exchange.ItemResult{Outcome: rules.Errored}},
		"report":          {&http1.Response{Status: 200, Header: field("Srv-Load", `{"x0":0.4,"x1":25}`)}, exchange.ItemResult{Outcome: rules.OK, Report: rules.Report{Remaining: 0.4, Limit: 25}}},
		"negative report": {&http1.Response{Status: 200, Header: field("Srv-Load", `{"x0":0.4,"x1":-25}`)}, exchange.ItemResult{Outcome: rules.OK}},
		"half a report":   {&http1.Response{Status: 200, Header: field("Srv-Load", `{"x1":25,"x0":"a"}`)}, exchange.ItemResult{Outcome: rules.OK}},
		"odd report":      {&http1.Response{Status: 200, Header: field("Srv-Load", `[`)}, exchange.ItemResult{Outcome: rules.OK}},
		"broken after it": {nil, exchange.ItemResult{Outcome: rules.Reset}},
	} {
		srv := listen(t, func(*http1.Request, []byte) *http1.Response { return c.answer })
		if got, written := newSide(t, nil).outcome(srv.Addr()); got != c.want || !written {
			t.Errorf("%s: got %+v, written %v, want %+v", name, got, written, c.want)
		}
	}
}

// A 503 that ends a fresh connection, also one kept unused, turns away the connection; on one that has served, or that stays
// open, the call.
func TestAFullTableIsNoLimitOnCalls(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	refusal := func(status, fields string) string {
		return "HTTP/1.1 " + status + " No\r\nContent-Length: 0\r\n" + fields + "\r\n"
	}
	for name, c := range map[string]struct {
		answers []string // of one connection
		ids     []string
		want    rules.Outcome
		kept    bool // the connection was, after its first call was given up before a byte of it was written
	}{
		"first answer, closes":         {[]string{refusal("503", "Connection: close\r\n")}, []string{"a"}, rules.ConnectError, false},
		"the same on one kept unused":  {[]string{refusal("503", "Connection: close\r\n")}, []string{"a"}, rules.ConnectError, true},
		"the same to several":          {[]string{refusal("503", "Connection: close\r\n")}, []string{"a", "b"}, rules.ConnectError, false},
		"first answer, stays open":     {[]string{refusal("503", "")}, []string{"a"}, rules.Refused, false},
		"second answer, closes":        {[]string{ok, refusal("503", "Connection: close\r\n")}, []string{"a"}, rules.Refused, false},
		"a told wait, closes":          {[]string{refusal("429", "Wait-Ms: 5\r\nConnection: close\r\n")}, []string{"a"}, rules.Refused, false},
		"slots taken, closes":          {[]string{refusal("503", "Slots-Taken: 1\r\nConnection: close\r\n")}, []string{"a"}, rules.NotSent, false},
		"spoilt behind its first line": {[]string{"HTTP/1.1 503 No\r\nConnection: close\r\n?\r\n\r\n"}, []string{"a"}, rules.Reset, false},
	} {
		srv := raw(t, func(call int) string { return c.answers[min(call, len(c.answers))-1] })
		s := newSide(t, nil)
		if c.kept {
			begun, up := s.holdDials()
			h := s.Start(callTo(srv.Addr(), "given up"))
			testkit.Receive(t, begun, "connect")
			h.Cancel()
			up <- true
			testkit.Receive(t, s.done, "result of the call given up")
			testkit.Eventually(t, "kept", func() bool { return s.idleAt(srv.Addr()) == 1 })
		}
		var got done
		for range c.answers {
			s.Start(callTo(srv.Addr(), c.ids...))
			got = testkit.Receive(t, s.done, "result")
			if got.Items[0].Outcome == rules.OK {
				testkit.Eventually(t, "idle", func() bool { return s.idleAt(srv.Addr()) == 1 })
			}
		}
		for i, r := range got.Items {
			if r.Outcome != c.want || r.ConnectionLimitReached != (c.want == rules.ConnectError) {
				t.Errorf("%s, message %d: outcome %v, no place %v, want %v", name, i, r.Outcome, r.ConnectionLimitReached, c.want)
			}
		}
	}
}

func TestFormOfACall(t *testing.T) {
	srv := listen(t, func(req *http1.Request, body []byte) *http1.Response {
		if req.Method != "POST" || req.Target != "/receive" || req.Header.Get("Req-Id") != "a" ||
			req.Header.Get("Req-Deadline-Ms") != "1500" || req.Header.Get("Host") == "" || string(body) != "body of a\r\n\x00" {
			return &http1.Response{Status: 500}
		}
		return &http1.Response{Status: 200}
	})
	if got, _ := newSide(t, nil).outcome(srv.Addr()); got.Outcome != rules.OK {
		t.Errorf("the endpoint did not find what it should: %+v", got)
	}
}

// A key goes on unchanged, alone or among several messages; without one there is none.
func TestKeysGoOn(t *testing.T) {
	call := callTo("x", "a")
	if text := string(appendCall(nil, call)); strings.Contains(text, "Idempotency-Key") {
		t.Errorf("a message without a key: %q", text)
	}
	call.Items[0].IdempotencyKey = "k1"
	if text := string(appendCall(nil, call)); !strings.Contains(text, "\r\nIdempotency-Key: k1\r\n") {
		t.Errorf("a message with a key: %q", text)
	}
	call = callTo("x", "a", "b")
	call.Items[1].IdempotencyKey = "k2"
	text := string(appendCall(nil, call))
	if !strings.Contains(text, "\r\na - 12\r\n") || !strings.Contains(text, "\r\nb k2 12\r\n") {
		t.Errorf("several messages: %q", text)
	}
}

func TestSeveralMessages(t *testing.T) {
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
	s := newSide(t, nil)
	s.Start(callTo(ep.Addr(), "a", "b", "c"))
	d := testkit.Receive(t, s.done, "result")
	for i, want := range []rules.Outcome{rules.OK, rules.Errored, rules.OK} {
		if d.Items[i].Outcome != want {
			t.Errorf("message %d: outcome %v, want %v", i, d.Items[i].Outcome, want)
		}
	}
	if got := fmt.Sprint(ep.ReceivedIDs()); got != "[a b c]" {
		t.Errorf("received %s", got)
	}
}

func TestAnswersToSeveral(t *testing.T) {
	all := func(o rules.Outcome) []rules.Outcome { return []rules.Outcome{o, o, o, o, o, o} }
	for name, c := range map[string]struct {
		status int
		body   string
		want   []rules.Outcome
	}{
		"each its own": {200, "a accepted\r\nb fault\r\nc deferred\nd expired\r\ne no_more\r\nf accepted\r\n",
			[]rules.Outcome{rules.OK, rules.Errored, rules.Refused, rules.NotSent, rules.NotSent, rules.OK}},
		"unreadable":    {200, "a perhaps\r\nhello", all(rules.Reset)},
		"one missing":   {200, "a accepted\nb accepted\nc accepted\nd accepted\ne accepted\n", all(rules.Reset)},
		"one too many":  {200, "a accepted\nb accepted\nc accepted\nd accepted\ne accepted\nf accepted\ng accepted\n", all(rules.Reset)},
		"one twice":     {200, "a accepted\nb accepted\nc accepted\nd accepted\ne accepted\nf accepted\nf fault\n", all(rules.Reset)},
		"one cut short": {200, "a accepted\nb accepted\nc accepted\nd accepted\ne accepted\nf acce", all(rules.Reset)},
		"all full":      {429, "", all(rules.Refused)},
		"all failed":    {500, "", all(rules.Errored)},
		"too many":      {413, "", all(rules.NotSent)},
		"bad form":      {400, "", all(rules.NotSent)},
	} {
		srv := listen(t, func(*http1.Request, []byte) *http1.Response {
			return &http1.Response{Status: c.status, Body: []byte(c.body), Header: http1.Header{{Name: "Wait-Ms", Value: "70"}}}
		})
		s := newSide(t, nil)
		s.Start(callTo(srv.Addr(), "a", "b", "c", "d", "e", "f"))
		d := testkit.Receive(t, s.done, "result")
		for i, want := range c.want {
			if d.Items[i].Outcome != want || d.Items[i].RetryAfter != 70*time.Millisecond || d.Items[i].Finished != (name == "each its own" && i == 3) {
				t.Errorf("%s, message %d: got %+v, want outcome %v", name, i, d.Items[i], want)
			}
		}
	}
}

// An answer to several messages that breaks off proves nothing; to one, its first line does.
func TestCutAnswers(t *testing.T) {
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
		s := newSide(t, nil)
		s.Start(callTo(ln.Addr().String(), strings.Fields(ids)...))
		if got := testkit.Receive(t, s.done, "result").Items[0].Outcome; got != want {
			t.Errorf("messages %s: outcome %v, want %v", ids, got, want)
		}
	}
}

// raw is an endpoint that reads each call whole, writes what answer gives for it, byte for byte, and leaves the
// connection open.
func raw(t *testing.T, answer func(call int) string) *platform.Server {
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
			if _, err := io.WriteString(nc, answer(n)); err != nil {
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

// A spoilt answer counts as what may have run, whatever its first line says, but for a 200 to a call with one message.
// It neither keeps its slot until the message is out of time nor is its connection used again.
func TestSpoiltAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		one    rules.Outcome // to a call with one message; with two it is always a reset
		wait   time.Duration // what came whole of it tells
	}{
		"noise":                {"\x00\xff\x16\x03 nothing of the kind\r\n\r\n", rules.Reset, 0},
		"noise without a line": {"\x00\xff\x16", rules.Reset, 0},
		"no status":            {"HTTP/1.1 abc\r\n\r\n", rules.Reset, 0},
		"unreadable head":      {"HTTP/1.1 200 OK\r\nno colon here\r\n\r\n", rules.OK, 0},
		"noise in the reason":  {"HTTP/1.1 200 \x00\r\x01\r\n\r\n", rules.OK, 0},
		"head that stops":      {"HTTP/1.1 200 OK\r\nContent-Le", rules.OK, 0},
		"head without end":     {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", 10000), rules.OK, 0},
		"line without end":     {"HTTP/1.1 200 " + strings.Repeat("O", 20<<10), rules.Reset, 0},
		"body that stops":      {"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhi", rules.OK, 0},
		"negative length":      {"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", rules.OK, 0},
		"two lengths":          {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nhi", rules.OK, 0},
		"no length":            {"HTTP/1.1 200 OK\r\n\r\nhi", rules.OK, 0},
		"huge body":            {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<20), rules.OK, 0},
		"chunked":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", rules.OK, 0},
		"coding without name":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\nContent-Length: 0\r\n\r\n", rules.OK, 0},
		"interim for ever":     {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000), rules.Reset, 0},
		"refusal, cut":         {"HTTP/1.1 429 Too Many Requests\r\nWait-Ms: 100\r\nContent-Length: 9\r\n\r\n", rules.Reset, 100 * time.Millisecond},
		"refusal, cut short":   {"HTTP/1.1 429 Too Many Requests\r\nWait-Ms: 100\r\nContent-Length: 9\r\n\r\nno", rules.Reset, 100 * time.Millisecond},
		"refusal, number cut":  {"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\nWait-Ms: 1", rules.Reset, 0},
		"refusal, bad line":    {"HTTP/1.1 429 Too Many Requests\r\nWait-Ms: 100\r\nno colon here\r\n\r\n", rules.Reset, 0},
		"delivered, body cut":  {"HTTP/1.1 200 OK\r\nWait-Ms: 100\r\nContent-Length: 50\r\n\r\nhi", rules.OK, 100 * time.Millisecond},
		"shut, no head":        {"HTTP/1.1 503 Service Unavailable\r\nSlots-Taken: 1\r\n?\r\n\r\n", rules.Reset, 0},
		"no more, cut":         {"HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 1\r\n\r\n", rules.Reset, 0},
		"over, cut":            {"HTTP/1.1 410 Gone\r\nContent-Length: 1\r\n\r\n", rules.Reset, 0},
		"error, cut":           {"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 1\r\n\r\n", rules.Reset, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			srv := raw(t, func(int) string { return c.answer })
			s := newSide(t, nil)
			for _, ids := range [][]string{{"a"}, {"a", "b"}} {
				s.Start(callTo(srv.Addr(), ids...))
				d := testkit.Receive(t, s.done, "result")
				want := exchange.ItemResult{Outcome: rules.Reset, RetryAfter: c.wait}
				if len(ids) == 1 {
					want.Outcome = c.one
				}
				if d.Items[0] != want || !d.Written {
					t.Errorf("%d messages: got %+v, written %v, want %+v", len(ids), d.Items[0], d.Written, want)
				}
			}
			if n := srv.AcceptedConnections(); n != 2 {
				t.Errorf("%d connections for two spoilt answers, want 2", n)
			}
		})
	}
}

// What is told of a wait: whole and decimal milliseconds, the longest of several, an hour at most. What is no such number
// tells none, and takes nothing from another.
func TestToldWait(t *testing.T) {
	for values, want := range map[string]time.Duration{
		"": 0, "0": 0, "250": 250 * time.Millisecond, "0.5": 500 * time.Microsecond, "3600001": time.Hour, strings.Repeat("9", 400): time.Hour,
		"-250": 0, "+250": 0, "NaN": 0, "Inf": 0, "1e3": 0, "0x10": 0, ".": 0, "1.2.3": 0, "250 ms": 0, "soon": 0,
		"100|300": 300 * time.Millisecond, "300|100": 300 * time.Millisecond, "x|300": 300 * time.Millisecond, "300|-1": 300 * time.Millisecond,
	} {
		h := http1.Header{{Name: "Other", Value: "9"}}
		for v := range strings.SplitSeq(values, "|") {
			h = append(h, http1.Field{Name: "wait-ms", Value: v})
		}
		if got := told(h); got != want {
			t.Errorf("%q: told %v, want %v", values, got, want)
		}
	}
}

// An answer that had come when its call was given up counts, and so does the wait that it tells.
func TestAnswerThatLiesThereWhenGivenUp(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	s := newSide(t, nil)
	j := &job{call: callTo("x", "a")}
	go func() {
		if req, err := http1.ReadRequest(bufio.NewReader(far)); err != nil || req.Header.Get("Req-Id") != "a" {
			t.Errorf("the call: %+v, %v", req, err)
		}
		j.Cancel()
		io.WriteString(far, "HTTP/1.1 429 No\r\nWait-Ms: 700\r\nContent-Length: 0\r\n\r\n")
	}()
	c := &conn{nc: answerWins{near}, br: bufio.NewReader(near)}
	s.do(c, j)
	want := exchange.ItemResult{Outcome: rules.Refused, RetryAfter: 700 * time.Millisecond}
	if d := testkit.Receive(t, s.done, "result"); d.Items[0] != want {
		t.Errorf("got %+v, want %+v", d.Items[0], want)
	}
}

// answerWins is a connection whose last look lasts until the answer is there.
type answerWins struct{ net.Conn }

func (c answerWins) SetReadDeadline(at time.Time) error {
	if at.After(time.Now()) {
		at = time.Time{}
	}
	return c.Conn.SetReadDeadline(at)
}

// An answer with interim ones ahead of it is good, however late it comes after them, and its connection is kept.
func TestInterimAnswers(t *testing.T) {
	srv := raw(t, func(int) string {
		return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
	})
	s := newSide(t, nil)
	for range 2 {
		if got, _ := s.outcome(srv.Addr()); got.Outcome != rules.Refused {
			t.Errorf("got %+v", got)
		}
		testkit.Eventually(t, "idle", func() bool { return s.idleAt(srv.Addr()) == 1 })
	}
	if n := srv.AcceptedConnections(); n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
}

// What follows an answer is never taken for the next one, even if it lies unread when the next call is handed over.
func TestNothingBehindAnAnswerIsTakenForTheNext(t *testing.T) {
	const good, full = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
	srv := raw(t, func(call int) string {
		if call == 1 {
			return good + good
		}
		return full
	})
	s := newSide(t, nil)
	if got, _ := s.outcome(srv.Addr()); got.Outcome != rules.OK {
		t.Errorf("first call: %+v", got)
	}
	if got, _ := s.outcome(srv.Addr()); got.Outcome != rules.Refused {
		t.Errorf("second call: %+v, want its own answer", got)
	}
}

// deaf is a connection whose reads time out without looking, as the runtime's do past their deadline.
type deaf struct{ *net.TCPConn }

func (deaf) Read([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

func TestUnreadBytesSpoilAnIdleConnection(t *testing.T) {
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
	s := newSide(t, nil)
	nc := deaf{client.(*net.TCPConn)}
	c := &conn{nc: nc, br: bufio.NewReader(nc)}
	for _, sound := range []bool{true, false} {
		c.next = &job{call: callTo("x", "a")}
		if next, got := s.park(c, peer("x")); next == nil || got != sound {
			t.Errorf("got call %v, sound %v, want %v", next, got, sound)
		}
		s.mu.Lock()
		clear(s.idle)
		s.mu.Unlock()
		if _, err := io.WriteString(server, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		testkit.Eventually(t, "bytes there", func() bool { return !socket.ReadWouldBlock(client) })
	}
}

func TestNoConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	if got, written := newSide(t, nil).outcome(addr); got.Outcome != rules.ConnectError || written {
		t.Errorf("a closed port: %+v, written %v", got, written)
	}
}

// A call that breaks before its last byte was written has never run.
func TestBrokenWhileWritten(t *testing.T) {
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
	s := newSide(t, nil)
	c := callTo(ln.Addr().String(), "a")
	c.Items[0].Body = make([]byte, 64<<20) // more than the kernel buffers
	s.Start(c)
	if d := testkit.Receive(t, s.done, "result"); d.Written || d.Items[0].Outcome != rules.ConnectError {
		t.Errorf("got %+v", d.Result)
	}
}

func ok(*http1.Request, []byte) *http1.Response { return &http1.Response{Status: 200} }

// idleAt is the number of idle connections to an address.
func (s *side) idleAt(addr string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.idle[peer(addr)])
}

func TestConnectionsAreKept(t *testing.T) {
	srv := listen(t, ok)
	s := newSide(t, nil)
	for range 5 {
		if got, _ := s.outcome(srv.Addr()); got.Outcome != rules.OK {
			t.Fatalf("outcome %v", got.Outcome)
		}
		testkit.Eventually(t, "idle", func() bool { return s.idleAt(srv.Addr()) == 1 })
	}
	if n := srv.AcceptedConnections(); n != 1 {
		t.Errorf("%d connections for five calls, want 1", n)
	}
}

// A call's last byte, which may go after the others, is not held back by the system.
func TestCallsAreNotHeldBack(t *testing.T) {
	srv := listen(t, ok)
	s := newSide(t, nil)
	s.outcome(srv.Addr())
	testkit.Eventually(t, "idle", func() bool { return s.idleAt(srv.Addr()) == 1 })
	s.mu.Lock()
	defer s.mu.Unlock()
	testkit.RequireNoDelay(t, s.idle[peer(srv.Addr())][0].nc)
}

// One call at a time travels on a connection.
func TestOneCallAConnection(t *testing.T) {
	release := make(chan struct{})
	srv := listen(t, func(*http1.Request, []byte) *http1.Response {
		<-release
		return &http1.Response{Status: 200}
	})
	s := newSide(t, nil)
	for range 3 {
		s.Start(callTo(srv.Addr(), "a"))
	}
	testkit.Eventually(t, "three connections", func() bool { return srv.AcceptedConnections() == 3 })
	close(release)
	for range 3 {
		if d := testkit.Receive(t, s.done, "result"); d.Items[0].Outcome != rules.OK {
			t.Errorf("got %+v", d.Result)
		}
	}
}

// The endpoint closes its side of an idle connection: the next call gets a fresh one and is sent once.
func TestClosedWhileIdle(t *testing.T) {
	ep, err := platform.NewEndpoint("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer ep.Close()
	s := newSide(t, nil)
	s.outcome(ep.Addr())
	testkit.Eventually(t, "idle", func() bool { return s.idleAt(ep.Addr()) == 1 })
	ep.CloseConnections()
	testkit.Eventually(t, "seen closed", func() bool { return s.idleAt(ep.Addr()) == 0 })
	if got, _ := s.outcome(ep.Addr()); got.Outcome != rules.OK {
		t.Errorf("outcome %v", got.Outcome)
	}
	if n := len(ep.ReceivedIDs()); n != 2 {
		t.Errorf("%d calls arrived, want 2", n)
	}
}

// A connection that answers what nobody asked, or says that it closes, is not used again.
func TestUnfitConnections(t *testing.T) {
	srv := listen(t, func(*http1.Request, []byte) *http1.Response {
		return &http1.Response{Status: 200, Header: http1.Header{{Name: "Connection", Value: "close"}}}
	})
	s := newSide(t, nil)
	for range 2 {
		s.outcome(srv.Addr())
	}
	if n := srv.AcceptedConnections(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

func TestIdleEndsBeforeTheOtherSideCloses(t *testing.T) {
	srv := listen(t, ok)
	s := newSide(t, func(c *Config) { c.KeepAlive = 200 * time.Millisecond })
	s.outcome(srv.Addr())
	testkit.Eventually(t, "idle", func() bool { return s.idleAt(srv.Addr()) == 1 })
	testkit.Eventually(t, "closed", func() bool { return s.idleAt(srv.Addr()) == 0 && srv.OpenConnections() == 0 })
}

func TestCloseIdle(t *testing.T) {
	srv := listen(t, ok)
	s := newSide(t, nil)
	s.outcome(srv.Addr())
	testkit.Eventually(t, "idle", func() bool { return s.idleAt(srv.Addr()) == 1 })
	s.CloseIdle(peer("127.0.0.1:1"))
	if n := s.idleAt(srv.Addr()); n != 1 {
		t.Errorf("closing another address left %d idle", n)
	}
	s.CloseIdle(peer(srv.Addr()))
	testkit.Eventually(t, "closed", func() bool { return srv.OpenConnections() == 0 })
}

// A new endpoint at the address of one that has gone is another peer: it gets no connection that was opened to the old
// one, and closing the old one's leaves its own alone.
func TestNewEndpointAtAnOldAddress(t *testing.T) {
	srv := listen(t, ok)
	s := newSide(t, nil)
	old, fresh := exchange.Peer{Name: "old", Addr: srv.Addr()}, exchange.Peer{Name: "new", Addr: srv.Addr()}
	idle := func(to exchange.Peer) int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.idle[to])
	}
	for _, to := range []exchange.Peer{old, fresh} {
		c := callTo(srv.Addr(), "a")
		c.To = to
		s.Start(c)
		if d := testkit.Receive(t, s.done, "result"); d.Items[0].Outcome != rules.OK {
			t.Errorf("%s: %+v", to.Name, d.Result)
		}
		testkit.Eventually(t, "idle", func() bool { return idle(to) == 1 })
	}
	if n := srv.AcceptedConnections(); n != 2 {
		t.Errorf("%d connections, want one for each endpoint", n)
	}
	s.CloseIdle(old)
	testkit.Eventually(t, "one closed", func() bool { return srv.OpenConnections() == 1 })
	if idle(fresh) != 1 || idle(old) != 0 {
		t.Errorf("%d idle at the new endpoint, %d at the old one", idle(fresh), idle(old))
	}
}

// At the cap the connection idle longest makes room, and the cap holds again once calls are over.
func TestConnectionCap(t *testing.T) {
	s := newSide(t, func(c *Config) { c.MaxConns = 2 })
	var servers []*platform.Server
	for range 4 {
		srv := listen(t, func(*http1.Request, []byte) *http1.Response {
			// the place of the one that made room is free once it has closed
			testkit.Eventually(t, "room made", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.open <= 2 })
			return &http1.Response{Status: 200}
		})
		servers = append(servers, srv)
		if got, _ := s.outcome(srv.Addr()); got.Outcome != rules.OK {
			t.Fatalf("outcome %v", got.Outcome)
		}
		testkit.Eventually(t, "idle", func() bool { return s.idleAt(srv.Addr()) == 1 })
	}
	testkit.Eventually(t, "within the cap", func() bool {
		open := 0
		for _, srv := range servers {
			open += srv.OpenConnections()
		}
		return open <= 2
	})
	if servers[3].OpenConnections() != 1 {
		t.Error("the connection used last was closed")
	}
}

// breaking is an endpoint that answers the first call on a connection and resets it at the next bytes; with none it
// does so at the first.
func breaking(t *testing.T, answers int) *platform.Server {
	t.Helper()
	srv, err := platform.ListenRaw("127.0.0.1:0", func(nc net.Conn) {
		br := bufio.NewReader(nc)
		for range answers {
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

// A connection that breaks at a call's first bytes has not had its last one: the call never ran. The bytes held back go out for a call that nothing breaks.
func TestBrokenAtTheFirstBytes(t *testing.T) {
	for answers := range 2 {
		srv := breaking(t, answers)
		s := newSide(t, nil)
		s.moment = 200 * time.Millisecond // a reset comes sooner
		s.reset.Store(time.Now().UnixMilli())
		for range answers {
			s.Start(callTo(srv.Addr(), "a"))
			if d := testkit.Receive(t, s.done, "result"); d.Items[0].Outcome != rules.OK {
				t.Errorf("first call: %+v", d.Result)
			}
			testkit.Eventually(t, "idle", func() bool { return s.idleAt(srv.Addr()) == 1 })
		}
		s.Start(callTo(srv.Addr(), "b"))
		if d := testkit.Receive(t, s.done, "result"); d.Written || d.Items[0].Outcome != rules.ConnectError {
			t.Errorf("after %d answers: %+v", answers, d.Result)
		}
	}
}

// The first reset under a call is told as one, and makes the calls after it hold back their last byte.
func TestResetMakesWary(t *testing.T) {
	srv := breaking(t, 0)
	s := newSide(t, nil)
	s.moment = 200 * time.Millisecond
	for i := range 2 {
		s.Start(callTo(srv.Addr(), "a"))
		if d := testkit.Receive(t, s.done, "result"); d.Written != (i == 0) {
			t.Errorf("call %d: %+v", i, d.Result)
		}
	}
}

// Giving a call up closes its connection; it was written, so it may have run, and cannot be called back.
func TestCancelWhileWaiting(t *testing.T) {
	got, release := make(chan struct{}), make(chan struct{})
	srv := listen(t, func(*http1.Request, []byte) *http1.Response {
		close(got)
		<-release
		return nil
	})
	defer close(release)
	s := newSide(t, nil)
	h := s.Start(callTo(srv.Addr(), "a"))
	testkit.Receive(t, got, "call")
	if h.Recall() {
		t.Error("called back after its last byte")
	}
	h.Cancel()
	if d := testkit.Receive(t, s.done, "result"); !d.Written || d.Items[0].Outcome != rules.Cancelled {
		t.Errorf("got %+v", d.Result)
	}
	if n := s.idleAt(srv.Addr()); n != 0 {
		t.Errorf("%d connections kept", n)
	}
}

// A call given up or called back before it was written never ran, and leaves its connection usable.
func TestGivenUpBeforeTheCall(t *testing.T) {
	ep, err := platform.NewEndpoint("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer ep.Close()
	for _, give := range []func(*job){(*job).Cancel, func(j *job) { j.Recall() }} {
		s := newSide(t, nil)
		nc, err := net.Dial("tcp", ep.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		connected, dialling := &job{call: callTo(ep.Addr(), "a")}, &job{call: callTo(ep.Addr(), "a")}
		give(connected)
		if !s.do(&conn{nc: nc}, connected) || connected.commit() {
			t.Error("the connection is given up, or the call may still be written")
		}
		give(dialling)
		if c := s.connect(dialling); c != nil {
			t.Error("a connection for a call given up")
		}
		for range 2 {
			if d := testkit.Receive(t, s.done, "result"); d.Written || d.Items[0].Outcome != rules.Cancelled {
				t.Errorf("got %+v", d.Result)
			}
		}
	}
	if n := len(ep.ReceivedIDs()); n != 0 {
		t.Errorf("%d calls arrived", n)
	}
}

// holdDials makes connections come up at the test's word alone, whoever gives them up meanwhile. Each tells that it has begun.
func (s *side) holdDials() (begun, up chan bool) {
	begun, up = make(chan bool, 9), make(chan bool, 9)
	dial := s.dial
	s.dial = func(_ context.Context, network, address string) (net.Conn, error) {
		begun <- true
		<-up
		return dial(context.Background(), network, address)
	}
	return begun, up
}

// A call called back until its last byte is written never reaches the endpoint, though its connection comes up afterwards; nor does
// one that had to leave earlier, which ends as not sent, at no cost of an attempt.
func TestCalledBack(t *testing.T) {
	for name, c := range map[string]struct{ idle, wary, late bool }{
		"connecting": {}, "its idle connection is dead": {idle: true}, "before the last byte": {wary: true},
		"connecting, too late": {late: true}, "its idle connection is dead, too late": {idle: true, late: true},
		"before the last byte, too late": {wary: true, late: true},
	} {
		ep, err := platform.NewEndpoint("127.0.0.1:0", nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(ep.Close)
		s := newSide(t, nil)
		begun, up := s.holdDials()
		if c.idle {
			up <- true
			s.outcome(ep.Addr())
			testkit.Receive(t, begun, "connect")
			testkit.Eventually(t, "idle", func() bool { return s.idleAt(ep.Addr()) == 1 })
			s.mu.Lock()
			s.idle[peer(ep.Addr())][0].since = time.Time{} // long past its time
			s.mu.Unlock()
		}
		call, want := callTo(ep.Addr(), "b"), exchange.ItemResult{Outcome: rules.Cancelled}
		if c.wary {
			s.moment = time.Hour
			s.reset.Store(time.Now().UnixMilli())
		}
		if c.late {
			s.moment = 100 * time.Millisecond
			call.WriteBy, want = time.Now().Add(50*time.Millisecond), exchange.ItemResult{Outcome: rules.NotSent, Recalled: true}
		}
		h := s.Start(call)
		testkit.Receive(t, begun, "connect")
		if c.wary {
			up <- true
			testkit.Eventually(t, "connected", func() bool { j := h.(*job); j.mu.Lock(); defer j.mu.Unlock(); return j.nc != nil })
		}
		if c.late {
			testkit.Eventually(t, "too late", func() bool { return time.Now().After(call.WriteBy) })
		} else if !h.Recall() {
			t.Errorf("%s: not called back", name)
		}
		up <- true
		if d := testkit.Receive(t, s.done, "result"); d.Written || d.Items[0] != want {
			t.Errorf("%s: %+v, want %+v", name, d.Result, want)
		}
		s.reset.Store(0)
		up <- true
		if got, _ := s.outcome(ep.Addr()); got.Outcome != rules.OK || strings.Contains(fmt.Sprint(ep.ReceivedIDs()), "b") {
			t.Errorf("%s: received %v, the next call %+v", name, ep.ReceivedIDs(), got)
		}
	}
}

// Whatever an endpoint answers, a spoilt answer never proves that a message did not run, and only a first line with 200
// to a call with one message proves that it did.
func FuzzSpoiltAnswer(f *testing.F) {
	for _, text := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n", "HTTP/1.1 503 No\r\n\x00", "HTTP/1.1 410 Gone\r\n",
		"HTTP/1.1 100 C\r\n\r\nHTTP/1.1 429 No\r\nWait-Ms: 9\r\nContent-Length: 1\r\n\r\n", "noise", "",
		"HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\na accepted\r\nb accepted\r\n"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		for _, call := range []*exchange.Call{callTo("x", "a"), callTo("x", "a", "b")} {
			resp, err := http1.ReadResponse(bufio.NewReader(bytes.NewReader(text)), maxAnswer)
			for _, r := range append(outcomes(call, resp, err, rules.Reset, false), outcomes(call, resp, err, rules.Reset, true)...) {
				delivered := r.Outcome == rules.OK && resp != nil && resp.Status == 200
				if err != nil && (r.Outcome != rules.Reset && !(delivered && len(call.Items) == 1) || r.Finished || r.NoFreeSlot || r.ConnectionLimitReached) {
					t.Fatalf("spoilt (%v): %+v", err, r)
				}
				if r.Outcome == rules.OK && !delivered {
					t.Fatalf("not delivered: %+v", r)
				}
			}
		}
	})
}

func FuzzOutcomes(f *testing.F) {
	f.Add(200, "a accepted\r\nb fault\r\n", "7", `{"x0":1}`)
	f.Add(429, "", "-1", "{")
	f.Fuzz(func(t *testing.T, status int, body, wait, load string) {
		resp := &http1.Response{Status: status, Body: []byte(body),
			Header: http1.Header{{Name: "Wait-Ms", Value: wait}, {Name: "Srv-Load", Value: load}}}
		for _, call := range []*exchange.Call{callTo("x", "a"), callTo("x", "a", "b")} {
			got := outcomes(call, resp, nil, rules.Reset, false)
			if len(got) != len(call.Items) {
				t.Fatalf("%d results for %d messages", len(got), len(call.Items))
			}
			for _, r := range got {
				if r.RetryAfter < 0 || r.Outcome == rules.OK && status != 200 {
					t.Fatalf("status %d: %+v", status, r)
				}
			}
		}
	})
}
