package outbound

import (
	"bufio"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"eiderhaven/internal/exchange"
	"eiderhaven/internal/http1"
	"eiderhaven/internal/testkit"
	"eiderhaven/rules"
	"eiderhaven/standin/platform"
)

const refusalResponse = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"

// scriptedEndpoint is an endpoint whose test writes what it sends. It closes a connection when a request asks for it and
// the test says so.
type scriptedEndpoint struct {
	*platform.Server
	requests chan scriptedRequest
}

// scriptedRequest is a request and the connection on which it came.
type scriptedRequest struct {
	t    *testing.T
	nc   net.Conn
	head *http1.Request
}

func (r scriptedRequest) write(text string) {
	r.t.Helper()
	if _, err := io.WriteString(r.nc, text); err != nil {
		r.t.Fatal(err)
	}
}

func listenScripted(t *testing.T) *scriptedEndpoint {
	t.Helper()
	ep := &scriptedEndpoint{requests: make(chan scriptedRequest, 10)}
	srv, err := platform.ListenRaw("127.0.0.1:0", func(nc net.Conn) {
		br := bufio.NewReader(nc)
		for {
			head, err := http1.ReadRequest(br)
			if err != nil {
				return
			}
			if _, err := http1.ReadBody(br, head.ContentLength); err != nil {
				return
			}
			ep.requests <- scriptedRequest{t, nc, head}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(srv.Close)
	ep.Server = srv
	return ep
}

// call makes a call with the given IDs, answers it, and returns the request and the result.
func (ep *scriptedEndpoint) call(p *testPool, response string, change func(*exchange.Call), ids ...string) (
	scriptedRequest, callResult) {
	p.t.Helper()
	c := callTo(ep.Addr(), ids...)
	if change != nil {
		change(c)
	}
	p.Start(c)
	r := testkit.Receive(p.t, ep.requests, "request")
	r.write(response)
	return r, testkit.Receive(p.t, p.results, "result")
}

// firstCall makes a first call that succeeds, and waits until its connection is idle.
func (ep *scriptedEndpoint) firstCall(p *testPool) scriptedRequest {
	p.t.Helper()
	r, got := ep.call(p, okResponse, nil, "first")
	if got.Unconfirmed || got.Items[0].Outcome != rules.OK {
		p.t.Errorf("the first call on a connection: %+v, want it delivered and proven", got.Result)
	}
	p.waitIdleAt(ep.Addr(), 1)
	return r
}

func (p *testPool) waitIdleAt(addr string, n int) {
	p.t.Helper()
	testkit.Eventually(p.t, "idle", func() bool { return p.idleAt(addr) == n })
}

func (p *testPool) wantConfirmation(want confirmedCall) {
	p.t.Helper()
	if got := testkit.Receive(p.t, p.confirmations, "confirmation"); got != want {
		p.t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestLaterResponseIsConfirmedWhenNothingMoreComes(t *testing.T) {
	ep := listenScripted(t)
	p := newTestPool(t, nil)
	p.quietTime = 0 // the calls that hold a message up follow at once
	ep.firstCall(p)
	begun := time.Now()
	for _, heldUp := range []bool{false, true} {
		_, got := ep.call(p, refusalResponse, func(c *exchange.Call) { c.ConfirmSoon = heldUp }, "a")
		if !got.Unconfirmed || got.Items[0].Outcome != rules.Refused {
			t.Errorf("got %+v, want an unconfirmed refusal", got.Result)
		}
		p.wantConfirmation(confirmedCall{id: "a", confirmed: true})
		least := minConfirmationTime
		if heldUp {
			least *= heldUpFactor
		}
		if took := time.Since(begun); took < least {
			t.Errorf("held up %v: confirmed after %v, want at least %v", heldUp, took, least)
		}
		begun = time.Now()
	}
	if n := p.idleAt(ep.Addr()); n != 1 || ep.AcceptedConnections() != 1 {
		t.Errorf("%d idle connections of %d, want the one kept", n, ep.AcceptedConnections())
	}
}

// Guards against the incident in which a copy of the response before was taken for that of the call which was out.
func TestCopyOfAnEarlierResponseIsContradicted(t *testing.T) {
	for name, c := range map[string]struct {
		copied, own string
		want        confirmedCall
	}{
		"a 200, then a refusal":    {okResponse, refusalResponse, confirmedCall{id: "a"}},
		"a refusal, then a 200":    {refusalResponse, okResponse, confirmedCall{id: "a"}},
		"a 200 twice":              {okResponse, okResponse, confirmedCall{id: "a", confirmed: true}},
		"a refusal twice":          {refusalResponse, refusalResponse, confirmedCall{id: "a", confirmed: true}},
		"a refusal, then noise":    {refusalResponse, "noise", confirmedCall{id: "a"}},
		"a refusal, then half one": {refusalResponse, "HTTP/1.1 50", confirmedCall{id: "a"}},
		"a refusal, then a 100":    {refusalResponse, "HTTP/1.1 100 C\r\n\r\n", confirmedCall{id: "a"}},
		"a 200, then a wait": {okResponse, "HTTP/1.1 429 No\r\nWait-Ms: 700\r\nContent-Length: 0\r\n\r\n",
			confirmedCall{id: "a", retryAfter: 700 * time.Millisecond}},
	} {
		t.Run(name, func(t *testing.T) {
			ep := listenScripted(t)
			p := newTestPool(t, nil)
			ep.firstCall(p)
			r, got := ep.call(p, c.copied, nil, "a")
			if !got.Unconfirmed {
				t.Errorf("got %+v, want it unconfirmed", got.Result)
			}
			p.waitIdleAt(ep.Addr(), 1)
			r.write(c.own)
			p.wantConfirmation(c.want)
			testkit.Eventually(t, "closed", func() bool { return ep.OpenConnections() == 0 })
			if n := p.Counts.Distrusted.Load(); n != 1 {
				t.Errorf("distrusted %d times, want once", n)
			}
		})
	}
}

// A copy shifts all later responses on its connection by one call, until one is left over.
func TestShiftedResponsesAreContradicted(t *testing.T) {
	ep := listenScripted(t)
	p := newTestPool(t, nil)
	ep.firstCall(p)
	ep.call(p, okResponse, nil, "a") // a copy
	p.waitIdleAt(ep.Addr(), 1)
	ep.call(p, refusalResponse, nil, "b") // a's own
	p.waitIdleAt(ep.Addr(), 1)
	r, _ := ep.call(p, okResponse, nil, "c") // b's own
	p.waitIdleAt(ep.Addr(), 1)
	r.write(okResponse) // c's own
	p.wantConfirmation(confirmedCall{id: "c", confirmed: true})
	p.wantConfirmation(confirmedCall{id: "b"})
	p.wantConfirmation(confirmedCall{id: "a"})
}

func TestEndOfAConnectionContradictsItsResponses(t *testing.T) {
	ep := listenScripted(t)
	p := newTestPool(t, nil)
	ep.firstCall(p)
	ep.call(p, refusalResponse, nil, "a")
	ep.CloseConnections()
	p.wantConfirmation(confirmedCall{id: "a"})
}

func TestLostCallContradictsEarlierResponses(t *testing.T) {
	ep := listenScripted(t)
	p := newTestPool(t, nil)
	ep.firstCall(p)
	ep.call(p, okResponse, nil, "a")
	p.waitIdleAt(ep.Addr(), 1)
	p.Start(callTo(ep.Addr(), "b"))
	testkit.Receive(t, ep.requests, "request")
	ep.CloseConnections()
	if got := testkit.Receive(t, p.results, "result"); got.Items[0].Outcome != rules.Reset {
		t.Errorf("got %+v, want a reset", got.Result)
	}
	p.wantConfirmation(confirmedCall{id: "a"})
}

// Responses are confirmed while the next call waits for its own, however long that takes.
func TestResponsesAreConfirmedDuringTheNextCall(t *testing.T) {
	ep := listenScripted(t)
	p := newTestPool(t, nil)
	ep.firstCall(p)
	ep.call(p, okResponse, nil, "a")
	p.waitIdleAt(ep.Addr(), 1)
	p.Start(callTo(ep.Addr(), "b"))
	r := testkit.Receive(t, ep.requests, "request")
	p.wantConfirmation(confirmedCall{id: "a", confirmed: true})
	r.write(okResponse)
	if got := testkit.Receive(t, p.results, "result"); got.Items[0].Outcome != rules.OK {
		t.Errorf("got %+v", got.Result)
	}
}

// A response that names its messages proves itself and those before it. A copy of one, to a call with the same messages,
// does not, and one that names other messages is another call's.
func TestNamedResponsesProveThemselves(t *testing.T) {
	named := func(lines string) string {
		return string(http1.AppendResponse(nil, 200, nil, []byte(lines)))
	}
	ep := listenScripted(t)
	p := newTestPool(t, nil)
	ep.firstCall(p)
	ep.call(p, refusalResponse, nil, "a", "b")
	p.waitIdleAt(ep.Addr(), 1)
	if _, got := ep.call(p, named("a deferred\r\nb deferred\r\n"), nil, "a", "b"); got.Unconfirmed {
		t.Errorf("got %+v, want it proven", got.Result)
	}
	p.wantConfirmation(confirmedCall{id: "a", confirmed: true})
	p.waitIdleAt(ep.Addr(), 1)
	if _, got := ep.call(p, named("a deferred\r\nb deferred\r\n"), nil, "a", "b"); !got.Unconfirmed {
		t.Errorf("the same again: %+v, want it unconfirmed", got.Result)
	}
	p.waitIdleAt(ep.Addr(), 1)
	if _, got := ep.call(p, named("a deferred\r\nb deferred\r\n"), nil, "c", "d"); got.Items[0].Outcome != rules.Reset {
		t.Errorf("names of another call: %+v, want a reset", got.Result)
	}
	p.wantConfirmation(confirmedCall{id: "c"})
	p.wantConfirmation(confirmedCall{id: "a"})
	testkit.Eventually(t, "closed", func() bool { return ep.OpenConnections() == 0 })
}

// An invalid 200 proves a delivery on a new connection alone: on a later call it may be a part of a copy.
func TestInvalidResponseOnALaterUse(t *testing.T) {
	ep := listenScripted(t)
	p := newTestPool(t, nil)
	ep.firstCall(p)
	if _, got := ep.call(p, "HTTP/1.1 200 OK\r\n\x00bad\r\n\r\n", nil, "a"); got.Items[0].Outcome != rules.Reset {
		t.Errorf("got %+v, want a reset", got.Result)
	}
}

// An endpoint that has sent more than it was asked for gets one call on each connection, until it is trusted again.
func TestDistrustedEndpointGetsOneCallAConnection(t *testing.T) {
	ep := listenScripted(t)
	p := newTestPool(t, nil)
	r := ep.firstCall(p)
	r.write(okResponse)
	testkit.Eventually(t, "closed", func() bool { return ep.OpenConnections() == 0 })
	for range 3 {
		if _, got := ep.call(p, okResponse, nil, "a"); got.Unconfirmed {
			t.Errorf("got %+v, want it proven", got.Result)
		}
		testkit.Eventually(t, "closed", func() bool { return ep.OpenConnections() == 0 })
	}
	p.mu.Lock()
	p.peers.records[peerAt(ep.Addr())].distrustedUntil = time.Now()
	p.mu.Unlock()
	ep.firstCall(p)
}

// Once two endpoints have sent responses that nobody asked for, connections to no endpoint are reused. Bytes that are no
// whole response tell of their endpoint alone.
func TestCopiersAreDistrustedTogether(t *testing.T) {
	for text, reused := range map[string]bool{okResponse: false, "HTTP/1.1 40": true} {
		p := newTestPool(t, nil)
		other := listenScripted(t)
		other.firstCall(p)
		for range distrustedCopiers {
			ep := listenScripted(t)
			r := ep.firstCall(p)
			r.write(text)
			testkit.Eventually(t, "closed", func() bool { return ep.OpenConnections() == 0 })
		}
		other.call(p, okResponse, nil, "a")
		if n := other.AcceptedConnections(); (n == 1) != reused {
			t.Errorf("after %q from %d endpoints: %d connections to another, reused should be %v",
				text, distrustedCopiers, n, reused)
		}
	}
}

// With WatchFirst a connection is not used again until it has brought nothing for a while, so that a copy is seen before it
// can be taken for another call's response, until enough of them have brought nothing.
func TestConnectionsAreWatchedFirst(t *testing.T) {
	ep := listenScripted(t)
	p := newTestPool(t, func(c *Config) { c.WatchFirst = true })
	ep.firstCall(p)
	if _, got := ep.call(p, okResponse, nil, "at once"); got.Unconfirmed || ep.AcceptedConnections() != 2 {
		t.Errorf("got %+v on %d connections, want a new one", got.Result, ep.AcceptedConnections())
	}
	p.waitIdleAt(ep.Addr(), 2)
	time.Sleep(minConfirmationTime)
	ep.call(p, okResponse, nil, "a")
	if n := ep.AcceptedConnections(); n != 2 {
		t.Errorf("%d connections after a quiet time, want 2", n)
	}
	p.wantConfirmation(confirmedCall{id: "a", confirmed: true})
	p.mu.Lock()
	quiet := p.quietUses
	p.quietUses = trustedQuietUses
	p.mu.Unlock()
	if quiet != 1 {
		t.Errorf("%d quiet uses counted, want 1", quiet)
	}
	for range 3 {
		ep.call(p, okResponse, nil, "b")
		p.waitIdleAt(ep.Addr(), 2)
	}
	if n := ep.AcceptedConnections(); n != 2 {
		t.Errorf("%d connections to a trusted endpoint, want 2", n)
	}
	p.distrust(peerAt(ep.Addr()), false)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.trustsEndpoints() {
		t.Error("still trusted after unasked bytes")
	}
}

// A refusal that holds a message up keeps its connection from being used until it is confirmed; any other response does
// so only once the first one has been unconfirmed for long.
func TestConnectionsRest(t *testing.T) {
	now := time.Now()
	at := func(age time.Duration) unconfirmedResponse { return unconfirmedResponse{at: now.Add(-age)} }
	for name, c := range map[string]struct {
		confirmation confirmation
		want         bool
	}{
		"nothing unconfirmed":       {confirmation{}, false},
		"unconfirmed":               {confirmation{unconfirmed: []unconfirmedResponse{at(time.Millisecond)}}, false},
		"a message held up":         {confirmation{unconfirmed: []unconfirmedResponse{at(0)}, soon: true}, true},
		"unconfirmed for too long":  {confirmation{unconfirmed: []unconfirmedResponse{at(maxUnconfirmedTime + 1), at(0)}}, true},
		"for less than that":        {confirmation{unconfirmed: []unconfirmedResponse{at(maxUnconfirmedTime / 2), at(0)}}, false},
		"held up, but confirmed by": {confirmation{soon: true}, false},
	} {
		if got := c.confirmation.mustRest(now); got != c.want {
			t.Errorf("%s: rests %v, want %v", name, got, c.want)
		}
	}
	ep := listenScripted(t)
	p := newTestPool(t, nil)
	p.quietTime = 0 // the calls that hold a message up follow at once
	ep.firstCall(p)
	ep.call(p, refusalResponse, func(c *exchange.Call) { c.ConfirmSoon = true }, "a")
	p.waitIdleAt(ep.Addr(), 1)
	if _, got := ep.call(p, okResponse, nil, "b"); got.Unconfirmed || ep.AcceptedConnections() != 2 {
		t.Errorf("got %+v on %d connections, want a new one", got.Result, ep.AcceptedConnections())
	}
	p.wantConfirmation(confirmedCall{id: "a", confirmed: true})
}

// Where the connection is not needed after a call, the request asks the endpoint to close it, and the end of the
// connection confirms the response at once. A response that is left over still contradicts it.
func TestLastUseIsConfirmedByTheEndOfTheConnection(t *testing.T) {
	last := func(c *exchange.Call) { c.LastUse = true }
	for _, copied := range []bool{false, true} {
		ep := listenScripted(t)
		p := newTestPool(t, nil)
		if r, _ := ep.call(p, okResponse, last, "first"); r.head.Close {
			t.Error("the first call on a connection asks to close it")
		}
		p.waitIdleAt(ep.Addr(), 1)
		r, got := ep.call(p, okResponse, last, "a")
		if !r.head.Close || !got.Unconfirmed {
			t.Errorf("asked to close: %v, got %+v", r.head.Close, got.Result)
		}
		if copied {
			r.write(refusalResponse)
		}
		r.nc.Close()
		p.wantConfirmation(confirmedCall{id: "a", confirmed: !copied})
	}
}

// An endpoint that says that it closes the connection has answered the call, unless a response before is unconfirmed.
func TestResponseThatClosesProvesItself(t *testing.T) {
	const closing = "HTTP/1.1 503 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	ep := listenScripted(t)
	p := newTestPool(t, nil)
	ep.firstCall(p)
	if _, got := ep.call(p, closing, nil, "a"); got.Unconfirmed || got.Items[0].Outcome != rules.Refused {
		t.Errorf("got %+v, want a proven refusal", got.Result)
	}
	ep.firstCall(p)
	ep.call(p, okResponse, nil, "b")
	p.waitIdleAt(ep.Addr(), 1)
	if _, got := ep.call(p, closing, nil, "c"); !got.Unconfirmed {
		t.Errorf("got %+v, want it unconfirmed", got.Result)
	}
}

// A connection that is to be closed stays open until its response is confirmed: half as long at the exchange's request,
// but for the whole time if it holds a payment up. A soak found a payment that was sent again while it ran: an injected
// refusal was confirmed after half the time, at an endpoint whose calls queued.
func TestClosingWaitsForConfirmation(t *testing.T) {
	for _, heldUp := range []bool{false, true} {
		ep := listenScripted(t)
		p := newTestPool(t, nil)
		p.quietTime = 0 // the calls that hold a message up follow at once
		ep.firstCall(p)
		begun := time.Now()
		r, _ := ep.call(p, refusalResponse, func(c *exchange.Call) { c.ConfirmSoon = heldUp }, "a")
		p.waitIdleAt(ep.Addr(), 1)
		p.CloseIdle(peerAt(ep.Addr()))
		if !heldUp {
			r.write(okResponse)
		}
		p.wantConfirmation(confirmedCall{id: "a", confirmed: heldUp})
		testkit.Eventually(t, "closed", func() bool { return ep.OpenConnections() == 0 })
		if took := time.Since(begun); heldUp && took < heldUpFactor*minConfirmationTime {
			t.Errorf("closed after %v, want at least %v", took, heldUpFactor*minConfirmationTime)
		}
	}
}

func TestConfirmationTimeFollowsResponseTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(t, nil)
		to := peerAt("x")
		for _, c := range []struct {
			after, took, want time.Duration
		}{
			{0, 10 * time.Millisecond, minConfirmationTime},
			{0, 200 * time.Millisecond, 400 * time.Millisecond},
			{0, 5 * time.Second, maxConfirmationTime},
			{responseTimePeriod + 1, time.Millisecond, maxConfirmationTime}, // of the period before
			{responseTimePeriod + 1, time.Millisecond, minConfirmationTime},
			{0, 300 * time.Millisecond, 600 * time.Millisecond},
			{2*responseTimePeriod + 1, time.Millisecond, minConfirmationTime},
		} {
			time.Sleep(c.after)
			p.noteResponseTime(to, c.took)
			if got := p.confirmationTime(to); got != c.want {
				t.Errorf("after %v and a response in %v: %v, want %v", c.after, c.took, got, c.want)
			}
		}
	})
}

// What is remembered of endpoints does not grow with all that were ever called.
func TestOldEndpointsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(t, nil)
		const endpoints = 10 * minPeersKept
		for i := range endpoints {
			if i == endpoints/2 {
				p.distrust(peerAt("distrusted"), false)
			}
			p.noteResponseTime(exchange.Peer{Name: string(rune('a' + i))}, time.Millisecond)
			time.Sleep(time.Second)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		kept := int(peerRetention / time.Second)
		if n := len(p.peers.records); n > 2*kept+minPeersKept || !p.distrusts(peerAt("distrusted")) {
			t.Errorf("%d endpoints remembered, the distrusted one among them: %v", n, p.distrusts(peerAt("distrusted")))
		}
	})
}

// Guards against a payment that ran twice, and one that was lost: it was called on a connection right behind an answer whose
// second copy came a little later, and the copy was taken for its own answer.
func TestUnrepeatableCallNeedsAQuietConnection(t *testing.T) {
	ep := listenScripted(t)
	p := newTestPool(t, nil)
	first := ep.firstCall(p)
	heldUp := func(c *exchange.Call) { c.ConfirmSoon = true }
	r, got := ep.call(p, okResponse, heldUp, "payment")
	if r.nc == first.nc || got.Unconfirmed {
		t.Errorf("got %+v, want it proven on a connection of its own", got.Result)
	}
	testkit.Eventually(t, "the other connection made room", func() bool { return ep.OpenConnections() == 1 })
	p.waitIdleAt(ep.Addr(), 1)
	time.Sleep(unsafeQuietTime)
	if again, _ := ep.call(p, okResponse, heldUp, "payment 2"); again.nc != r.nc {
		t.Error("a connection that has been quiet is not used")
	}
}

// Guards against a message that is ended as delivered by a copy: an endpoint that has sent copies is not believed because
// its connection stays silent until this side closes it.
func TestSilenceProvesNothingWhereCopiesCame(t *testing.T) {
	ep := listenScripted(t)
	p := newTestPool(t, nil)
	ep.firstCall(p)
	ep.call(p, okResponse, nil, "a")
	p.waitIdleAt(ep.Addr(), 1)
	p.distrust(peerAt(ep.Addr()), true) // by what came on another connection
	p.wantConfirmation(confirmedCall{id: "a", confirmed: false})
}
