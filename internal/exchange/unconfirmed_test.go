package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"eiderhaven/internal/testkit"
	"eiderhaven/rules"
)

// finishUnconfirmed ends a call with a response that may be another call's.
func (h *harness) finishUnconfirmed(c *Call, o rules.Outcome) {
	h.Finish(c, Result{Written: true, Unconfirmed: true, Items: []ItemResult{{Outcome: o}}})
}

func TestUnconfirmedDeliveryEndsOnceItIsConfirmed(t *testing.T) {
	h := startHarness(t, nil)
	h.mustAccept(newMessage("a", "stock", 1))
	c := testkit.Receive(t, h.endpoints.started, "call")
	h.finishUnconfirmed(c, rules.OK)
	h.waitForCounts("unconfirmed", func(c Counts) bool { return c.Unconfirmed == 1 && c.Held == 1 && c.Delivered == 0 })
	if a := h.Submit(newMessage("a", "stock", 1)); a.Verdict != Duplicate {
		t.Errorf("the same message again: verdict %v, want duplicate", a.Verdict)
	}
	h.Confirm(c, true, 0)
	h.waitForCounts("delivered", func(c Counts) bool { return c.Held == 0 && c.Delivered == 1 })
	h.stopAndClose()
	if pending := h.pendingOnDisk(); len(pending) != 0 || len(h.endpoints.started) != 0 || len(h.platform.enqueued) != 0 {
		t.Errorf("%d messages in the ledger, %d calls, %d notices, want none",
			len(pending), len(h.endpoints.started), len(h.platform.enqueued))
	}
}

// Guards against two incidents: a message was lost, as a 200 that belonged to another call ended it; and one that had been
// delivered was sent on, as the connection ended before its 200 was confirmed. It is returned, and not called again.
func TestContradictedDeliveryOfARepeatableMessageIsReturned(t *testing.T) {
	h := startHarness(t, nil)
	h.mustAccept(newMessage("a", "stock", 1))
	c := testkit.Receive(t, h.endpoints.started, "call")
	h.finishUnconfirmed(c, rules.OK)
	h.Confirm(c, false, 0)
	if n := testkit.Receive(t, h.platform.enqueued, "notice"); n.ID != "a" || n.Dead {
		t.Errorf("notice %+v, want it bounced", n)
	}
	got := h.waitForCounts("ended", func(c Counts) bool { return c.Held == 0 && c.Bounced == 1 })
	if got.Contradicted != 1 || got.Attempts != 1 || len(h.endpoints.started) != 0 {
		t.Errorf("%d calls, counters %+v", len(h.endpoints.started), got)
	}
}

func TestContradictedDeliveryOfAPaymentEndsWithANotice(t *testing.T) {
	h := startHarness(t, nil)
	h.mustAccept(newMessage("a", "payment", 1))
	c := testkit.Receive(t, h.endpoints.started, "call")
	h.finishUnconfirmed(c, rules.OK)
	h.Confirm(c, false, 0)
	if n := testkit.Receive(t, h.platform.enqueued, "notice"); n.ID != "a" || !n.Dead {
		t.Errorf("notice %+v, want it dead", n)
	}
	h.waitForCounts("ended", func(c Counts) bool { return c.Held == 0 && c.Dead == 1 })
	if len(h.endpoints.started) != 0 {
		t.Error("sent again although it may have run")
	}
}

// Guards against the incident in which a payment ran twice: a refusal that belonged to another call let it be sent again
// while it ran.
func TestUnconfirmedRefusalOfAPayment(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		h := startHarness(t, nil)
		h.mustAccept(newMessage("a", "payment", 1))
		c := testkit.Receive(t, h.endpoints.started, "call")
		if !c.ConfirmSoon {
			t.Error("the call of a payment does not ask for a confirmation soon")
		}
		h.finishUnconfirmed(c, rules.Refused)
		h.waitForCounts("answered", func(c Counts) bool { return c.Outcomes[rules.Refused] == 1 })
		if len(h.endpoints.started) != 0 || len(h.platform.enqueued) != 0 {
			t.Error("sent again or ended before the refusal is confirmed")
		}
		if pending := h.ledger.Pending(); len(pending) != 1 || !pending[0].MayHaveRun {
			t.Errorf("in the ledger: %+v, want one that may have run", pending)
		}
		h.Confirm(c, confirmed, 0)
		if confirmed {
			h.finishCall(testkit.Receive(t, h.endpoints.started, "second call"), rules.OK)
		} else if n := testkit.Receive(t, h.platform.enqueued, "notice"); !n.Dead {
			t.Errorf("notice %+v, want it dead", n)
		}
		h.waitForCounts("ended", func(c Counts) bool { return c.Held == 0 })
		if !confirmed && len(h.endpoints.started) != 0 {
			t.Error("sent again although it may have run")
		}
	}
}

// A refusal of a message that may be repeated needs no confirmation: whatever became of the call, a repeat is harmless.
func TestUnconfirmedRefusalOfARepeatableMessage(t *testing.T) {
	h := startHarness(t, nil)
	h.mustAccept(newMessage("a", "stock", 1))
	c := testkit.Receive(t, h.endpoints.started, "call")
	if c.ConfirmSoon {
		t.Error("the call asks for a confirmation soon")
	}
	h.finishUnconfirmed(c, rules.Refused)
	h.finishCall(testkit.Receive(t, h.endpoints.started, "second call"), rules.OK)
	h.waitForCounts("ended", func(c Counts) bool { return c.Held == 0 })
}

// A message whose end is still unconfirmed as its time runs out gets a notice in time.
func TestUnconfirmedEndAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, item := range []ItemResult{{Outcome: rules.OK}, {Outcome: rules.NotSent, Finished: true}} {
			for _, left := range []time.Duration{200 * time.Millisecond, deadlineSlack / 2} {
				h := newHarness(t, t.TempDir(), nil)
				h.Recover()
				m := newMessage("a", "payment", 1)
				h.Exchange.accept(m, make(chan Answer, 1))
				h.step()
				c := testkit.Receive(t, h.endpoints.started, "call")
				m.Deadline = time.Now().Add(left)
				h.onCallFinished(c.inFlight, Result{Written: true, Unconfirmed: true, Items: []ItemResult{item}})
				h.step()
				time.Sleep(left)
				h.step()
				if n := len(h.platform.enqueued); n != 1 {
					t.Errorf("%+v with %v left: %d notices at the deadline, want 1", item, left, n)
				}
				h.onConfirmed(c.inFlight, false, 0)
				h.step()
				if got := h.snapshot(); got.Held != 0 || len(h.endpoints.started) != 0 {
					t.Errorf("%+v with %v left: counters %+v", item, left, got)
				}
				h.checkSums(h.snapshot())
				h.ledger.Close()
			}
		}
	})
}

// Guards against a delivered message that is sent on behind a kill: one with an unconfirmed end gets a notice from the
// next process, and no call.
func TestRestartWithUnconfirmedEnds(t *testing.T) {
	dir := t.TempDir()
	h := newHarness(t, dir, nil).start()
	for _, class := range []string{"stock", "payment"} {
		h.mustAccept(newMessage(class, class, 1))
		h.finishUnconfirmed(testkit.Receive(t, h.endpoints.started, "call"), rules.OK)
	}
	h.waitForCounts("unconfirmed", func(c Counts) bool { return c.Unconfirmed == 2 })
	h.stopAndClose()

	next := newHarness(t, dir, nil).start()
	for _, class := range []string{"stock", "payment"} {
		if n := testkit.Receive(t, next.platform.enqueued, "notice"); n.ID != class || n.Dead != (class == "payment") {
			t.Errorf("notice %+v, want one of %s, dead if it is the payment", n, class)
		}
	}
	next.waitForCounts("started", func(c Counts) bool { return c.Held == 0 })
	if len(next.endpoints.started) != 0 {
		t.Error("a message is called after a 200")
	}
}

func TestWithdrawnWhileUnconfirmed(t *testing.T) {
	h := startHarness(t, nil)
	h.mustAccept(newMessage("a", "stock", 1))
	c := testkit.Receive(t, h.endpoints.started, "call")
	h.finishUnconfirmed(c, rules.OK)
	h.waitForCounts("unconfirmed", func(c Counts) bool { return c.Unconfirmed == 1 })
	h.Withdraw("a")
	h.Confirm(c, false, 0)
	got := h.waitForCounts("ended", func(c Counts) bool { return c.Held == 0 })
	if got.Withdrawn != 1 || len(h.endpoints.started) != 0 {
		t.Errorf("counters %+v", got)
	}
}
