// Tests attempts whose response may be another call's.

package rules

import "testing"

// unconfirmed makes an attempt's end unconfirmed.
func unconfirmed(e *AttemptEnded) { e.Unconfirmed = true }

// Guards against the incident in which a refusal that belonged to another call freed a payment that was running.
func TestUnconfirmedRefusalIsNotRetriedUntilItIsConfirmed(t *testing.T) {
	for _, class := range []int{atMostOnce, keyed, keyedZone} {
		b := newBench(t, nil)
		id, _ := b.submit(class)
		b.endAttempt(id, 0, 11, Refused, unconfirmed)
		if out := b.wait(2 * sec); len(sends(out))+countFinalAnswers(out) != 0 {
			t.Errorf("class %d: %v before the refusal is confirmed, want neither a send nor an end", class, out)
		}
		out := append(b.step(AttemptConfirmed{ID: id, Endpoint: 11}), b.wait(2*sec)...)
		if len(sends(out)) != 1 {
			t.Errorf("class %d: %v after the refusal is confirmed, want a send", class, out)
		}
	}
}

func TestContradictedRefusalCountsAsMayHaveRun(t *testing.T) {
	b := newBench(t, nil)
	id, _ := b.submit(atMostOnce)
	b.endAttempt(id, 0, 11, Refused, unconfirmed)
	out := b.step(AttemptConfirmed{ID: id, Endpoint: 11, MayHaveRun: true})
	if len(actionsOf[Fail](out)) != 1 || len(sends(out)) != 0 {
		t.Errorf("%v, want the message failed", out)
	}
	if out := b.wait(17 * sec); len(sends(out))+countFinalAnswers(out) != 0 {
		t.Errorf("%v after its end", out)
	}
}

// At its deadline a message whose refusal is still unconfirmed is failed, not refused, and what comes later changes
// nothing.
func TestUnconfirmedRefusalAtTheDeadline(t *testing.T) {
	b := newBench(t, nil)
	id, _ := b.submit(atMostOnce)
	b.endAttempt(id, 0, 11, Refused, unconfirmed)
	out := b.wait(17 * sec)
	if len(actionsOf[Fail](out)) != 1 || countFinalAnswers(out) != 1 {
		t.Errorf("%v, want the message failed once", out)
	}
	if out := b.step(AttemptConfirmed{ID: id, Endpoint: 11}); len(sends(out))+countFinalAnswers(out) != 0 {
		t.Errorf("%v after its end", out)
	}
}

// The call is over with its response: an unconfirmed one takes no slot and lowers the rate at once.
func TestUnconfirmedRefusalFreesItsSlot(t *testing.T) {
	b := newBench(t, func(s *Settings) { s.Slots = 1 })
	id, _ := b.submit(atMostOnce)
	b.endAttempt(id, 0, 11, Refused, unconfirmed)
	if len(b.s.calls) != 0 || b.s.endpoint(11).limitScope.inFlight != 0 {
		t.Errorf("%d calls in flight, want none", len(b.s.calls))
	}
	if _, out := b.submit(safe); len(sends(append(out, b.wait(2*sec)...))) == 0 {
		t.Error("the only slot is not free")
	}
}

func TestRetryAfterOfAResponseThatBelongsToNoCall(t *testing.T) {
	b := newBench(t, nil)
	b.step(AttemptConfirmed{ID: "unknown", Endpoint: 11, RetryAfter: sec})
	if _, out := b.submit(safe); len(sends(append(out, b.wait(900*ms)...))) != 0 {
		t.Error("sent before the end of the wait")
	}
	if out := b.wait(500 * ms); len(sends(out)) != 1 {
		t.Errorf("%v after the wait, want a send", out)
	}
}

// A message that comes back because its delivery was another call's is no sign of an outage, however old its attempt.
func TestRevivedMessageIndicatesNoOutage(t *testing.T) {
	b := newBench(t, nil)
	b.serve(3, safe, 11)
	prior := PriorAttempts{Count: 1, MayHaveRun: true, Answered: true, Age: 3 * sec, Endpoint: 11}
	out := b.step(Arrived{ID: "back", Destination: 1, Class: safe, TimeLeft: 8 * sec, Prior: prior})
	if b.s.endpoint(11).health != healthy || len(sends(out)) != 1 {
		t.Errorf("health %v, %v: want a healthy endpoint and a send", b.s.endpoint(11).health, out)
	}
}
