// Tests the health that a sender ascribes to an endpoint, its timeouts, and how it uses connections.

package rules

import (
	"testing"
	"time"
)

// Where no other endpoint serves, two failures in a row are an outage, in a fleet of any size.
func TestOutcomesThatStartProbation(t *testing.T) {
	for _, c := range []struct {
		name     string
		after    time.Duration // from a call to its outcome
		outcomes []Outcome
		want     health
	}{
		{"one error is chance", 5 * ms, []Outcome{Errored}, healthy},
		{"one reset at once is chance", 5 * ms, []Outcome{Reset}, healthy},
		{"a late reset is an outage", sec, []Outcome{Reset}, probation},
		{"errors in a row", 5 * ms, []Outcome{Errored, Errored}, probation},
		{"resets in a row", 5 * ms, []Outcome{Reset, Reset}, probation},
		{"connect errors in a row", 5 * ms, []Outcome{ConnectError, ConnectError}, probation},
		{"one time-out may be a lost answer", sec, []Outcome{TimedOut}, healthy},
		{"time-outs in a row", sec, []Outcome{TimedOut, TimedOut}, probation},
		{"calls given up in a row", 3 * sec, []Outcome{Cancelled, Cancelled}, probation},
		{"calls called off early", 5 * ms, []Outcome{Cancelled, Cancelled, Cancelled, Cancelled}, healthy},
		{"an answer between", 5 * ms, []Outcome{Errored, OK, Errored, OK, Errored}, healthy},
		{"refusals concern the rate", 5 * ms, []Outcome{Refused, Refused}, healthy},
	} {
		b := newBench(t, nil)
		b.serve(2, safe, 11)
		ep := b.s.endpoint(11)
		for _, o := range c.outcomes {
			b.now += 10*ms + c.after
			b.s.now = b.now
			b.s.assessOutcome(b.callSentAt(11, safe, b.now-c.after), AttemptEnded{Outcome: o, Elapsed: c.after})
		}
		if ep.health != c.want {
			t.Errorf("%s: health %d, want %d", c.name, ep.health, c.want)
		}
	}
}

func TestUnresponsiveEndpointGetsFreshConnections(t *testing.T) {
	b := newBench(t, nil)
	b.serve(10, safe, 11)
	b.submit(safe)
	out := b.wait(2 * sec)
	if len(actionsOf[Cancel](out)) != 1 || len(actionsOf[CloseIdle](out)) == 0 {
		t.Fatalf("unresponsive: got %v, want the repeatable call cancelled and idle connections closed", out)
	}
	b.endAttempt("m11", 0, 11, Cancelled)
	calls := b.run(sec, always(OK, 50*ms))
	if len(b.s.held) != 0 {
		t.Fatalf("%d calls, %d messages held: want the message sent again and served", len(calls), len(b.s.held))
	}
	if got := b.s.endpoint(11).health; got != healthy {
		t.Errorf("health %d after it was briefly unresponsive, want healthy at once", got)
	}
}

func TestConnectionsAreRenewedEarlyOnlyIfUnreliable(t *testing.T) {
	for _, broken := range []int{0, 1, 4} {
		b := newBench(t, nil)
		b.serve(20, safe, 11)
		for range broken {
			b.s.brokenConnections.add(b.now, trafficSpan, 1)
		}
		b.submit(safe)
		out := b.wait(minLateAfter + 200*ms)
		if got, want := len(actionsOf[Cancel](out)) > 0, broken > 1; got != want {
			t.Errorf("after %d broken connections: renewed at the first late answer %v, want %v", broken, got, want)
		}
		if b.s.endpoint(11).health != healthy {
			t.Errorf("after %d broken connections: health %d, want healthy still", broken, b.s.endpoint(11).health)
		}
	}
}

// A keyed call whose answer is lost blocks its order key and uses up its deduplication window. So it must time out
// while the window still allows another attempt. Seen in the recorded incident i28b6e2 of deployment
// kl-head-office, where a third of the answers is lost.
func TestKeyedCallTimesOutWithinDedupWindow(t *testing.T) {
	b := newBench(t, nil)
	b.serve(20, safe, 11)
	_, out := b.submit(keyed)
	if got := sends(out)[0].Timeout; got <= 0 || got > b.s.settings.Classes[keyed].Window/2 {
		t.Errorf("timeout %v, want a time in the first half of the deduplication window", got)
	}
	if got := actionsOf[Cancel](b.wait(time.Second)); len(got) > 0 {
		t.Errorf("cancelled early: %v", got)
	}
}

// One lost answer is no outage: a sender with little traffic would keep away from an endpoint that serves the others.
func TestOneLostAnswerIsNoOutage(t *testing.T) {
	for _, c := range []struct {
		lost int
		want health
	}{{1, healthy}, {100, probation}} {
		b := newBench(t, func(s *Settings) { s.Senders = 57 })
		b.serve(10, safe, 11)
		calls := 0
		loseFirst := func(EndpointID) reply {
			if calls++; calls <= c.lost {
				return reply{outcome: OK, after: time.Minute}
			}
			return reply{outcome: OK, after: 50 * ms}
		}
		id := b.newMessageID()
		b.now += 5 * ms
		b.step(Arrived{ID: id, Destination: 1, Class: safe, TimeLeft: 16 * sec})
		b.run(8*sec, loseFirst)
		if got := b.s.endpoint(11).health; got != c.want {
			t.Errorf("health %d after %d lost answers, want %d", got, c.lost, c.want)
		}
	}
}

func TestUnansweredAtMostOnceCallIsNotCancelled(t *testing.T) {
	b := newBench(t, nil)
	b.serve(10, safe, 11)
	b.submit(atMostOnce)
	if out := b.wait(10 * sec); len(actionsOf[Cancel](out)) != 0 {
		t.Error("an at-most-once call was cancelled while slots were free")
	}
}

func TestAnswerToCallBeforeProbationDoesNotEndIt(t *testing.T) {
	b := newBench(t, nil)
	ep := b.s.endpoint(11)
	b.s.startProbation(ep, Reset, CauseFailures)
	b.processAnswer(11, safe, sec)
	if ep.health != probation {
		t.Error("the answer to a call sent before probation ended it")
	}
}

func TestMissingSlotIsNoFailure(t *testing.T) {
	b := newBench(t, nil)
	id, _ := b.submit(atMostOnce)
	out := b.endAttempt(id, 0, 11, NotSent, func(e *AttemptEnded) { e.NoFreeSlot = true })
	if b.s.endpoint(11).consecutiveFailures != 0 || countFinalAnswers(out) != 0 {
		t.Error("a call that was never sent counted against its endpoint or its message")
	}
}

// Hundreds of senders share an endpoint's few connections. Only a refused connect shows that the connection limit is
// reached; one that gets no reply shows an outage. Senders that hold a connection are never refused, so at first none
// keeps one.
func TestLargeFleetClosesIdleConnections(t *testing.T) {
	for _, c := range []struct {
		name      string
		senders   int
		failAfter time.Duration // first a connect fails after this time; 0: none fails
		answers   int           // from the kind of destination since then
		want      int           // times that idle connections are closed after one more
	}{
		{"large fleet, at its start", 300, 0, keepOpenAnswers - 2, 1},
		{"large fleet, never refused", 300, 0, keepOpenAnswers - 1, 0},
		{"large fleet, connect timed out", 300, sec, keepOpenAnswers - 1, 0},
		{"large fleet, refused", 300, 50 * ms, 0, 1},
		{"large fleet, nearly enough answers since", 300, 50 * ms, keepOpenAnswersAfterRefusal - 2, 1},
		{"large fleet, enough answers since", 300, 50 * ms, keepOpenAnswersAfterRefusal - 1, 0},
		{"small fleet", 3, 50 * ms, 0, 0},
	} {
		b := newBench(t, func(s *Settings) { s.Senders = c.senders })
		if c.failAfter > 0 {
			b.s.onFailure(b.s.endpoint(11), b.now-c.failAfter, ConnectError)
			b.s.endpoint(11).consecutiveFailures = 0 // suspicion has its own tests
		}
		for range c.answers {
			b.processAnswer(11, safe, 50*ms)
		}
		b.wait(3 * sec)
		id, _ := b.submit(safe)
		if got := len(actionsOf[CloseIdle](b.endAttempt(id, 0, 11, OK))); got != c.want {
			t.Errorf("%s: closed %d times, want %d", c.name, got, c.want)
		}
	}
}

// An endpoint at its connection limit serves the senders that have a connection. A sender that gets none retries
// with backoff, does not count this as an outage, and sends as soon as it is connected.
func TestConnectionLimitIsRetriedWithBackoff(t *testing.T) {
	b := newBench(t, func(s *Settings) { s.Senders = 300; s.MaxAttempts = 100 })
	b.serve(1, safe, 11)
	b.submit(safe)
	limitReached := true
	script := func(EndpointID) reply {
		if limitReached {
			return reply{outcome: ConnectError, after: 20 * ms, connectionLimitReached: true}
		}
		return reply{outcome: OK, after: 100 * ms}
	}
	b.endAttempt("m2", 0, 11, ConnectError, func(e *AttemptEnded) { e.ConnectionLimitReached = true })
	connects := b.run(6*sec, script)
	if len(connects) < 4 || len(connects) > 12 {
		t.Errorf("%d connects in 6 s, with answers after 0.1 s, want 4 to 12", len(connects))
	}
	if ep := b.s.endpoint(11); ep.health != healthy || ep.consecutiveFailures != 0 {
		t.Errorf("health %v after %d failures, want no outage", ep.health, ep.consecutiveFailures)
	}
	limitReached = false
	b.run(3*sec, script)
	if n := len(b.s.held); n != 0 {
		t.Errorf("%d messages held 3 s after connections became free, want none", n)
	}
	if got := sends(b.step(Arrived{ID: "next", Destination: 1, TimeLeft: 16 * sec})); len(got) != 1 {
		t.Errorf("%d calls for a message after the connect succeeded, want one at once", len(got))
	}
}

// All calls may become slow at once, and then no single endpoint is late. Seen on day h4ae20d of deployment
// kl-head-office, which "eiderlab hunt" found.
func TestLateAfterAllowsForGeneralSlowness(t *testing.T) {
	var entries []Entry
	for i := range EndpointID(10) {
		entries = append(entries, Entry{Endpoint: 11 + i, Destination: int(i)})
	}
	b := newBench(t, nil, entries...)
	var late []time.Duration
	for _, elapsed := range []time.Duration{sec, 2 * sec, sec} {
		for i := range EndpointID(50) {
			if ep := 11 + i%10; ep != 11 || elapsed == sec && len(late) == 0 {
				b.processAnswer(ep, safe, elapsed)
			}
		}
		late = append(late, b.s.lateAfter(b.s.endpoint(11), safe))
	}
	if late[1] < late[0]*5/4 || late[2] != late[0] {
		t.Errorf("lateAfter is %v with all calls as usual, slow, and as usual again", late)
	}
}

// After a stall a sender finds answers that have waited in its own process: their times show nothing about the
// endpoint.
func TestLatencyIsNotLearnedAfterStall(t *testing.T) {
	for _, stall := range []time.Duration{0, 2 * sec} {
		b := newBench(t, nil)
		b.serve(3, safe, 11)
		before := b.s.endpoint(11).latency
		id, _ := b.submit(safe)
		b.now = b.s.wakeAt + stall
		b.endAttempt(id, 0, 11, OK, func(e *AttemptEnded) { e.Elapsed = 300*ms + stall })
		if learned := b.s.endpoint(11).latency != before; learned != (stall == 0) {
			t.Errorf("stall of %v: latency learned %v, want %v", stall, learned, stall == 0)
		}
	}
}

// An overdue call that is cancelled to free its slot counts as a failure, as a time-out does, in a fleet of any size. A
// call that was not overdue shows nothing.
func TestCancelledOverdueCallIsFailure(t *testing.T) {
	for _, c := range []struct {
		senders  int
		inFlight time.Duration
		failures int
	}{{300, 5 * sec, 1}, {300, 100 * ms, 0}, {2, 5 * sec, 1}, {2, 100 * ms, 0}} {
		b := newBench(t, func(s *Settings) { s.Senders = c.senders })
		id, _ := b.submit(atMostOnce)
		b.now += c.inFlight
		b.endAttempt(id, 0, 11, Cancelled)
		if got := b.s.endpoint(11).consecutiveFailures; got != c.failures {
			t.Errorf("%d senders, cancelled after %v: %d failures, want %d", c.senders, c.inFlight, got, c.failures)
		}
	}
}

// A call cut short by its message's deadline shows nothing about its endpoint; one that was in flight for long does.
func TestCallCutShortByDeadlineIsNoFailure(t *testing.T) {
	for _, c := range []struct {
		inFlight time.Duration
		failures int
	}{{20 * ms, 0}, {sec, 1}} {
		b := largeFleetBench(t)
		b.s.now = b.now
		b.s.assessOutcome(b.callSentAt(11, safe, b.now-c.inFlight),
			AttemptEnded{Outcome: TimedOut, Elapsed: c.inFlight})
		if got := b.s.endpoint(11).consecutiveFailures; got != c.failures {
			t.Errorf("timed out after %v: %d failures, want %d", c.inFlight, got, c.failures)
		}
	}
}

// Calls sent before an outage, or at the same time as the call that failed, may be answered after the failure. Such an answer clears no failure, and does not turn a time-out into a single lost answer. Seen in the
// soak of the lab's rig with seed 1005: nine of the fifteen calls that overloaded a destination during its recovery
// came from four senders whose latest outcomes there had been a failure and then an answer to an older call.
func TestAnswerToOlderCallClearsNoFailure(t *testing.T) {
	for _, c := range []struct {
		senders   int
		sentAfter time.Duration // when the answered call was sent, relative to the failed one
		failures  int
	}{{300, -sec, 1}, {300, 0, 1}, {300, 10 * ms, 0}, {2, -sec, 1}, {2, 0, 1}, {2, 10 * ms, 0}} {
		b := newBench(t, func(s *Settings) { s.Senders = c.senders })
		ep := b.s.endpoint(11)
		b.s.now = b.now
		b.s.onFailure(ep, b.now-2*sec, Errored)
		b.s.onSuccess(b.callSentAt(11, safe, b.now-2*sec+c.sentAfter), sec)
		if ep.consecutiveFailures != c.failures {
			t.Errorf("%d senders, a call sent %v after the failed one was answered: %d failures, want %d",
				c.senders, c.sentAfter, ep.consecutiveFailures, c.failures)
		}
	}
	for _, c := range []struct {
		senders   int
		sentAfter time.Duration
		failures  int
	}{{300, -sec, 1}, {300, sec, 0}, {2, -sec, 1}, {2, sec, 0}} {
		b := newBench(t, func(s *Settings) { s.Senders = c.senders })
		ep := b.s.endpoint(11)
		b.s.now = b.now
		b.s.onSuccess(b.callSentAt(11, safe, b.now-6*sec+c.sentAfter), 3*sec)
		b.s.onFailure(ep, b.now-6*sec, TimedOut)
		if ep.consecutiveFailures != c.failures {
			t.Errorf("%d senders, a time-out after the answer to a call sent %v after it: %d failures, want %d",
				c.senders, c.sentAfter, ep.consecutiveFailures, c.failures)
		}
	}
}
