// Tests the circuit breaker of one class at one endpoint, and the hints that senders share about it.

package rules

import (
	"testing"
	"time"
)

// An endpoint may leave one class unanswered and serve the others: its answers to these must not draw the class back.
// Each class has timings of its own, so that a slow class does not make a fast one late.
func TestBreakerOpensForUnansweredClassOnly(t *testing.T) {
	b := newBench(t, nil, Entry{Endpoint: 11, Destination: 1}, Entry{Endpoint: 12, Destination: 1})
	b.processAnswer(11, safe, 100*ms) // of lower cost, so that cost alone would choose it
	b.processAnswer(12, safe, sec)
	first, _ := b.submit(safe)
	ep := b.s.endpoint(11)
	b.wait(b.s.lateAfter(ep, safe) + 10*ms)
	b.processAnswer(11, ordered, 3*sec)
	if _, out := b.submit(safe); len(sends(out)) != 1 || sends(out)[0].Endpoint != 12 {
		t.Errorf("sent %v, want one to the endpoint that answers the class", sends(out))
	}
	if b.s.breakerOpen(ep, ordered) || !b.s.breakerOpen(ep, safe) ||
		b.s.lateAfter(ep, safe) >= b.s.lateAfter(ep, ordered) {
		t.Error("want the breaker open for the unanswered class only, and lateAfter shorter for that class")
	}
	if b.endAttempt(first, 0, 11, OK); b.s.breakerOpen(ep, safe) {
		t.Error("the breaker is still open after an answer")
	}
}

// A single hint is not enough, as one call may be slow by chance. No hint ends a Retry-After or a drain, the
// Retry-After in a hint is bounded, and a hint may name an endpoint or a class that is unknown.
func TestHintsOfOtherSenders(t *testing.T) {
	failing := HintReceived{Hint{Endpoint: 11, Class: safe}}
	draining := ListUpdate{Entries: []Entry{{Endpoint: 12, Destination: 1, Draining: true}}}
	for _, c := range []struct {
		name   string
		events []Event
		want   EndpointID // of the next message, 0 for none
	}{
		{"none", nil, 11},
		{"one", []Event{failing}, 11},
		{"two", []Event{failing, failing}, 12},
		{"two about an endpoint whose alternative drains", []Event{draining, failing, failing}, 11},
		{"about an unknown endpoint or class", []Event{
			HintReceived{Hint{Endpoint: 99}},
			HintReceived{Hint{Endpoint: 11, Class: 77}},
			HintReceived{Hint{Endpoint: 11, Class: -1}},
		}, 11},
		{"with a Retry-After", []Event{HintReceived{Hint{Endpoint: 11, RetryAfter: time.Hour}}}, 0},
	} {
		b := newBench(t, func(s *Settings) { s.MayShareHints, s.Senders = true, 50 },
			Entry{Endpoint: 11, Destination: 1}, Entry{Endpoint: 12, Destination: 1})
		b.processAnswer(11, safe, 100*ms)
		b.processAnswer(12, safe, sec)
		b.step(c.events...)
		var got EndpointID
		if _, out := b.submit(safe); len(sends(out)) == 1 {
			got = sends(out)[0].Endpoint
		}
		if got != c.want {
			t.Errorf("%s: sent to endpoint %d, want %d", c.name, got, c.want)
		}
		if until := b.s.endpoint(11).limitScope.controller.notBefore; until > b.now+maxHintRetryAfter {
			t.Errorf("%s: a hint holds the limit scope for %v", c.name, until-b.now)
		}
	}
}

// Overdue calls are published as hints where the settings permit it, but not again while there are enough hints.
func TestOverdueCallsArePublishedAsHints(t *testing.T) {
	for _, c := range []struct {
		allowed        bool
		received, want int
	}{{true, 0, 1}, {true, 1, 1}, {true, 2, 0}, {false, 0, 0}} {
		b := newBench(t, func(s *Settings) { s.MayShareHints = c.allowed })
		b.submit(safe)
		early := len(actionsOf[PublishHint](b.wait(longOverdueFactor * initialLateAfter)))
		for range c.received {
			b.step(HintReceived{Hint{Endpoint: 11, Class: safe}})
		}
		got := actionsOf[PublishHint](b.wait(sec))
		if early > 0 || len(got) != c.want || c.want == 1 && got[0] != (PublishHint{Hint{Endpoint: 11, Class: safe}}) {
			t.Errorf("allowed %v, %d received: published %d early and then %v, want none early and then %d",
				c.allowed, c.received, early, got, c.want)
		}
	}
}

// When one sender gets a long Retry-After, the destination is cold for all senders that learn of it: many that each
// try once as it opens overload it, all the more as each has seen a single refusal. Seen on a random day of deployment
// tas-members, with faults fast_errors and heavy_tail.
func TestRetryAfterHintStartsSlowStart(t *testing.T) {
	shareHints := func(s *Settings) { s.MayShareHints, s.Senders, s.RatesListed, s.RatesExact = true, 200, true, true }
	entry := Entry{Endpoint: 11, Destination: 1, ListedRate: 10}
	b := newBench(t, shareHints, entry)
	id, _ := b.submit(safe)
	hints := actionsOf[PublishHint](b.endAttempt(id, 0, 11, Refused, withRetryAfter(8*sec)))
	if want := (PublishHint{Hint{Endpoint: 11, RetryAfter: 8 * sec}}); len(hints) != 1 || hints[0] != want {
		t.Fatalf("published %v, want %v", hints, want)
	}
	early, calls := 0, 0
	const others = 100
	for i := range others {
		other := newBench(t, func(s *Settings) { shareHints(s); s.Seed = uint64(i) }, entry)
		other.step(HintReceived{hints[0].Hint})
		_, out := other.submit(safe)
		early += len(sends(append(out, other.wait(8*sec-10*ms)...)))
		calls += len(sends(other.wait(sec)))
	}
	// Overload factor 2 x cold share 0.2 x least share 0.3 is one call in 8 s, and more as the destination warms up.
	// Without slow start all senders call at once.
	if early > 0 || calls > others*2/5 {
		t.Errorf("%d calls before the Retry-After ended, %d calls of %d senders in the first second after it",
			early, calls, others)
	}
}
