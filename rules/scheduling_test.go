// Tests the order of work: the use of slots and batches, order keys, and which message goes where first.

package rules

import (
	"math"
	"testing"
	"time"
)

func TestMessagesOfOrderKeyAreSentInOrder(t *testing.T) {
	b := newBench(t, nil)
	submit := func(id MessageID, key string) []Action {
		return b.step(Arrived{ID: id, Destination: 1, Class: ordered, OrderKey: key, TimeLeft: 16 * sec})
	}
	if len(sends(submit("a", "k"))) != 1 || len(sends(submit("b", "k"))) != 0 ||
		len(sends(submit("c", "l"))) != 1 || len(sends(submit("d", ""))) != 1 {
		t.Fatal("want the first message of each key and the one without a key sent, and no other")
	}
	b.endAttempt("c", 0, 11, OK) // otherwise their outcomes are waited for after the failure
	b.endAttempt("d", 0, 11, OK)
	out := append(b.endAttempt("a", 0, 11, Errored), b.wait(50*ms)...)
	if len(sends(out)) != 1 || sends(out)[0].ID != "a" {
		t.Fatalf("got %v, want the first message of the key sent again", out)
	}
	out = b.endAttempt("a", 1, 11, OK)
	if len(sends(out)) != 1 || sends(out)[0].ID != "b" {
		t.Fatalf("got %v, want the next message of the key sent", out)
	}
}

func TestOrderKeyPausesAfterAttemptThatMayStillRun(t *testing.T) {
	b := newBench(t, nil)
	for _, id := range []MessageID{"a", "b"} {
		b.step(Arrived{ID: id, Destination: 1, Class: ordered, OrderKey: "k", TimeLeft: 16 * sec})
	}
	b.step(Withdrawn{ID: "a"}) // finished, with its attempt still in flight
	if got := sends(b.wait(sec)); len(got) != 0 {
		t.Fatal("sent while an attempt of an earlier message is in flight")
	}
	b.endAttempt("a", 0, 11, TimedOut, func(e *AttemptEnded) { e.Finished = true })
	if got := sends(b.wait(490 * ms)); len(got) != 0 {
		t.Error("sent before the pause of the order key ended")
	}
	if got := sends(b.wait(300 * ms)); len(got) != 1 {
		t.Errorf("%d sends after the pause, want 1", len(got))
	}
}

func TestLimitScopeLeavesSlotsToOthers(t *testing.T) {
	b := newBench(t, nil, Entry{Endpoint: 11, Destination: 1}, Entry{Endpoint: 21, Destination: 2})
	n := 0
	for range 20 {
		_, out := b.submit(safe)
		n += len(sends(out))
	}
	if want := int(maxScopeSlotShare * 10); n != want {
		t.Errorf("%d calls in flight to one limit scope, want %d with 10 slots", n, want)
	}
	if out := b.step(Arrived{ID: "x", Destination: 2, TimeLeft: 16 * sec}); len(sends(out)) != 1 {
		t.Error("no slot left for another destination")
	}
}

func TestOldestOverdueCallIsCancelledForItsSlot(t *testing.T) {
	b := newBench(t, func(s *Settings) { s.Slots = 2 }, Entry{Endpoint: 11, Destination: 1},
		Entry{Endpoint: 21, Destination: 2})
	b.submit(atMostOnce)
	b.submit(atMostOnce)
	b.wait(timeoutFactor*initialLateAfter + sec)
	out := b.step(Arrived{ID: "x", Destination: 2, TimeLeft: 16 * sec})
	if got := actionsOf[Cancel](out); len(got) != 1 {
		t.Fatalf("cancelled %v, want the oldest overdue call", got)
	}
	out = b.endAttempt("m1", 0, 11, Cancelled)
	if len(actionsOf[Fail](out)) != 1 || len(sends(out)) != 1 {
		t.Errorf("got %v, want the cancelled message failed and the waiting one sent", out)
	}
}

func TestMessageThatLosesMostWorthGoesFirst(t *testing.T) {
	b := newBench(t, func(s *Settings) { s.Slots = 1 })
	b.submit(safe)
	b.step(Arrived{ID: "old", Destination: 1, TimeLeft: 6 * sec})         // long late: its worth is at its floor
	b.step(Arrived{ID: "due", Destination: 1, TimeLeft: 14*sec + 200*ms}) // about to pass its aim: loses most
	b.step(Arrived{ID: "fresh", Destination: 1, TimeLeft: 16 * sec})      // can wait
	if out := sends(b.endAttempt("m1", 0, 11, OK)); len(out) != 1 || out[0].ID != "due" {
		t.Errorf("sent %v, want the message that is about to be late", out)
	}
}

func TestWorthOverTime(t *testing.T) {
	b := newBench(t, nil)
	m := &message{class: &Class{Aim: 2 * sec, Deadline: 16 * sec, Worth: 2, LateWorth: 0.4}, deadline: 16 * sec}
	for _, c := range []struct {
		at              time.Duration
		halving, linear float64
	}{
		{0, 2, 2},
		{2 * sec, 2, 2},
		{4 * sec, 1, 2 * (1 - 0.6*2/14)},
		{15 * sec, 0.8, 2 * (1 - 0.6*13/14)},
		{16 * sec, 0, 0},
	} {
		for _, halving := range []bool{true, false} {
			b.s.settings.LateHalving = halving
			want := c.linear
			if halving {
				want = c.halving
			}
			if got := b.s.worth(m, c.at); math.Abs(got-want) > 1e-9 {
				t.Errorf("worth at %v (halving %v) is %.3f, want %.3f", c.at, halving, got, want)
			}
		}
	}
}

// A message of a tenant that the settings do not list has no share, and takes nothing from the first tenant's share.
// Where the settings list no tenants, all messages have the same weight.
func TestTenantOverItsShareHasLowerWeight(t *testing.T) {
	b := newBench(t, func(s *Settings) { s.Tenants = []Tenant{{Quota: 10}, {Quota: 10}} })
	for i := range 12 {
		b.step(Arrived{ID: b.newMessageID(), Destination: 1, Tenant: min(i%4, 1), TimeLeft: 16 * sec})
	}
	if over, within := b.s.tenantWeight(1), b.s.tenantWeight(0); over >= within || within != 1 || over < 0.2 {
		t.Errorf("weights %.2f within the share and %.2f over it", within, over)
	}
	b.step(Arrived{ID: b.newMessageID(), Destination: 1, Tenant: 2, TimeLeft: 16 * sec})
	unlisted, noTenants := b.s.tenantWeight(2), newBench(t, nil).s.tenantWeight(0)
	if unlisted != b.s.settings.OverShareWorth || noTenants != 1 {
		t.Errorf("weights %.2f of an unlisted tenant and %.2f without tenants, want %.2f and 1",
			unlisted, noTenants, b.s.settings.OverShareWorth)
	}
}

func TestProbePrefersSafeMessage(t *testing.T) {
	b := newBench(t, nil)
	b.s.startProbation(b.s.endpoint(11), Errored, CauseFailures)
	b.s.endpoint(11).lastCharged = b.now
	b.s.endpoint(11).failingSince = b.now - 10*sec
	b.submit(atMostOnce)
	id, _ := b.submit(safe)
	if out := sends(b.wait(b.s.callInterval(b.s.endpoint(11)) + 5*ms)); len(out) != 1 || out[0].ID != id {
		t.Errorf("probe %v, want one with the safe message", out)
	}
}

// Where an endpoint's connections are scarce, a few messages share one connection, and a long backlog gets more.
func TestScarceConnectionsAreShared(t *testing.T) {
	for _, c := range []struct{ senders, messages, want int }{
		{300, 1, 1},
		{300, messagesPerConnection - 1, 1},
		{300, messagesPerConnection, 2},
		{3, messagesPerConnection - 1, messagesPerConnection - 1},
	} {
		b := newBench(t, func(s *Settings) { s.Senders = c.senders })
		b.s.onConnectionLimit(b.s.endpoint(11))
		b.wait(10 * sec)
		var events []Event
		for range c.messages {
			events = append(events, Arrived{ID: b.newMessageID(), Destination: 1, TimeLeft: 16 * sec})
		}
		out := b.step(events...)
		if n := len(sends(out)); n != c.want {
			t.Errorf("%d senders, %d messages: %d calls at once, want %d", c.senders, c.messages, n, c.want)
		}
		if c.messages == messagesPerConnection-1 && c.senders > SmallFleet {
			// The connection carries the next message before it is closed.
			out = b.endAttempt("m1", 0, 11, OK)
			if len(sends(out)) != 1 || len(actionsOf[CloseIdle](out)) != 0 {
				t.Errorf("after an answer: %d calls, %d closes of connections, want 1 call on the same connection",
					len(sends(out)), len(actionsOf[CloseIdle](out)))
			}
		}
	}
}

// Where answers are lost, calls that will never be answered soon use all slots, in a large fleet too. So a message
// that may not be repeated does not keep its slot for longer than others there (incident i2b2ba7 of deployment
// linen-hub-ebene).
func TestLongOverdueCallIsCancelledInAnyFleet(t *testing.T) {
	for _, c := range []struct {
		senders, class int
		want           bool // cancelled after longOverdueFactor times lateAfter
	}{
		{300, safe, true},
		{300, keyed, true},
		{300, atMostOnce, true},
		{3, safe, true},
		{3, keyed, true},
		{3, atMostOnce, true},
	} {
		b := newBench(t, func(s *Settings) { s.Senders, s.Slots = c.senders, 3 }, Entry{Endpoint: 11, Destination: 1},
			Entry{Endpoint: 21, Destination: 2})
		b.serve(5, safe, 11)
		b.serve(1, safe, 11)
		late := b.s.lateAfter(b.s.endpoint(11), safe)
		overdue, _ := b.submit(c.class)
		b.submit(c.class)
		id := b.newMessageID()
		b.step(Arrived{ID: id, Destination: 2, Class: atMostOnce, TimeLeft: 16 * sec})
		id = b.newMessageID()
		b.step(Arrived{ID: id, Destination: 2, Class: safe, TimeLeft: 16 * sec})
		cancels := actionsOf[Cancel](b.wait(longOverdueFactor*late + late/2))
		if got := len(cancels) > 0 && cancels[0].ID == overdue; got != c.want {
			t.Errorf("%d senders, class %d: cancelled %v; %s first %v, want %v",
				c.senders, c.class, cancels, overdue, got, c.want)
		}
	}
}

// Calls that get no answer must not use up all slots, however many destinations they go to.
func TestOverdueCallsLeaveSlots(t *testing.T) {
	var entries []Entry
	for d := range 10 {
		entries = append(entries, Entry{Endpoint: EndpointID(10 + d), Destination: d})
	}
	b := newBench(t, func(s *Settings) { s.Senders, s.MayShareHints = 200, true }, entries...)
	expectCalls := func(why string, destination, want int) {
		t.Helper()
		id := b.newMessageID()
		out := b.step(Arrived{ID: id, Destination: destination, Class: atMostOnce, TimeLeft: 16 * sec})
		if n := len(sends(out)); n != want {
			t.Errorf("%s: %d calls, want %d", why, n, want)
		}
	}
	expectCalls("healthy", 0, 1)
	expectCalls("healthy", 1, 1)
	b.wait(initialLateAfter + 10*ms)
	b.step(HintReceived{Hint{Endpoint: 17, Class: atMostOnce}}, HintReceived{Hint{Endpoint: 17, Class: atMostOnce}})
	expectCalls("unhealthy, with overdue calls in a fifth of the slots", 0, 0)
	expectCalls("unhealthy by hints of other senders", 7, 0)
	expectCalls("healthy", 5, 1)
}

// Before the process ends, a message that must not run twice is not sent if its answer may come too late. It is kept
// for the next process. A repeatable message is still sent.
func TestShutdownHoldsBackUnrepeatableMessages(t *testing.T) {
	b := newBench(t, nil)
	b.serve(3, safe, 11) // answers after 100 ms, so lateAfter is half a second
	b.step(ShuttingDown{After: 2 * sec})
	if _, out := b.submit(atMostOnce); len(sends(out)) != 1 {
		t.Errorf("with enough time: got %v, want the message sent", out)
	}
	b.wait(1600 * ms)
	_, out := b.submit(atMostOnce)
	out = append(out, b.wait(300*ms)...)
	if len(sends(out)) != 0 || countFinalAnswers(out) != 0 {
		t.Errorf("just before the end: got %v, want the message held", out)
	}
	if _, out := b.submit(safe); len(sends(out)) != 1 {
		t.Errorf("just before the end, repeatable: got %v, want the message sent", out)
	}
}

// Where a call can carry several messages, a message waits for others: for a quarter of its aim, until there are
// enough for a full call, or not at all if it has been sent before. Elsewhere it is sent at once.
func TestMessagesWaitForBatch(t *testing.T) {
	batched := Entry{Endpoint: 11, Destination: 1, Kind: 2}
	b := newBench(t, nil, batched)
	_, out := b.submit(safe)
	wait := b.s.settings.Classes[safe].Aim / batchWaitDivisor
	if got := append(sends(out), sends(b.wait(wait-10*ms))...); len(got) != 0 {
		t.Fatalf("%d sends of a single message before its wait ended", len(got))
	}
	got := sends(b.wait(pollInterval + 10*ms))
	if len(got) != 1 {
		t.Fatalf("%d sends of a single message after its wait, want 1", len(got))
	}
	if again := sends(b.endAttempt(got[0].ID, 0, 11, Errored)); len(again) != 1 {
		t.Error("a message that has been sent before waits again")
	}

	b = newBench(t, nil, batched)
	for i := range 4 {
		_, out = b.submit(safe)
		if want := []int{0, 0, 0, 4}[i]; len(sends(out)) != want {
			t.Errorf("%d sends with %d messages waiting, want %d", len(sends(out)), i+1, want)
		}
	}

	b = newBench(t, nil)
	if _, out := b.submit(safe); len(sends(out)) != 1 {
		t.Error("a message waits where a call carries one message")
	}
}

// Of two routes apart that are otherwise alike, the one whose zone has no cost gets the message.
func TestZoneCostSteersToOtherRoute(t *testing.T) {
	for _, costs := range [][]float64{{0.06, 0}, {0, 0.06}} {
		b := newBench(t, func(s *Settings) { s.ZoneCosts = costs },
			Entry{Endpoint: 11, Destination: 1, Kind: 1, Zone: 0},
			Entry{Endpoint: 12, Destination: 1, Kind: 1, Zone: 1})
		_, out := b.submit(safe)
		want := EndpointID(12)
		if costs[0] == 0 {
			want = 11
		}
		if got := sends(out); len(got) != 1 || got[0].Endpoint != want {
			t.Errorf("zone costs %v: sent %v, want one to endpoint %d", costs, got, want)
		}
	}
}

// TestLongMessagesDoNotShareACall guards against a call whose body is longer than the protocol allows: it is refused as a
// whole each time, and its messages are never delivered.
func TestLongMessagesDoNotShareACall(t *testing.T) {
	const batches = 2 // kind with calls of up to four messages
	for _, c := range []struct {
		bytes int // of each of four messages
		want  int // messages of the first call
	}{
		{0, 4}, {MaxCallBytes / 4, 4}, {MaxCallBytes/4 + 1, 3}, {30 << 10, 2}, {MaxCallBytes, 1}, {2 * MaxCallBytes, 1},
	} {
		b := newBench(t, nil, Entry{Endpoint: 11, Destination: 1, Kind: batches})
		var arrived []Event
		for range 4 {
			arrived = append(arrived, Arrived{ID: b.newMessageID(), Destination: 1, Class: safe, Bytes: c.bytes, TimeLeft: 16 * sec})
		}
		b.step(arrived...)
		b.wait(sec)
		if got := len(b.s.calls[0].attempts); got != c.want {
			t.Errorf("messages of %d bytes: the first call has %d, want %d", c.bytes, got, c.want)
		}
		if got := len(sends(b.actions)); got != 4 {
			t.Errorf("messages of %d bytes: %d were sent, want all 4", c.bytes, got)
		}
	}
}
