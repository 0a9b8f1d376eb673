package exchange

import (
	"testing"
	"time"

	"eiderhaven/internal/lifecycle"
	"eiderhaven/internal/testkit"
)

// Guards against a client's connection that is closed before the withdrawal of its message stands: the close tells the
// client that the message is its own again.
func TestWithdrawalStandsBeforeItReturns(t *testing.T) {
	h := newHarness(t, t.TempDir(), nil)
	h.Recover()
	h.Exchange.accept(newMessage("a", "payment", 1), make(chan Answer, 1))
	h.advanceClock(time.Second)
	h.step()
	call := testkit.Receive(t, h.endpoints.started, "call")
	if !call.MayWrite(time.Now()) {
		t.Error("an accepted message may not be called")
	}
	done := h.Withdraw("a")
	select {
	case <-done:
		t.Fatal("withdrawn before the exchange has heard of it")
	default:
	}
	h.runQueuedTasks()
	<-done
	if call.MayWrite(time.Now()) {
		t.Error("a withdrawn message may be called")
	}
	if got := h.pendingOnDisk(); len(got) != 0 {
		t.Errorf("%d messages are pending for the next process", len(got))
	}
	h.Exchange.accept(newMessage("a", "payment", 1), make(chan Answer, 1))
	if h.counts.Duplicate != 1 {
		t.Error("a withdrawn ID is accepted again")
	}
	h.ledger.Close()
}

// An end that neither the segments nor the reserve have recorded is told of, as its client must not wait for ever, and
// counts as a violation.
func TestUnrecordedEndIsAViolation(t *testing.T) {
	h := newHarness(t, t.TempDir(), nil)
	h.Recover()
	h.Exchange.accept(newMessage("a", "stock", 1), make(chan Answer, 1))
	h.step()
	h.ledger.Close()
	h.fail(h.held["a"])
	if n := len(h.platform.enqueued); n != 1 || h.Lifecycles().Violations(lifecycle.ToldUnrecorded) != 1 {
		t.Errorf("%d notices, counters %v", n, h.Lifecycles().LogValue())
	}
}

// Guards against a call to the process that took over the address of an endpoint: as the endpoint leaves the list, calls
// that are not written are recalled at once.
func TestCallsToAnAddressThatChangedHandsAreRecalled(t *testing.T) {
	for name, update := range map[string]Host{
		"gone":  {Peer: knownEndpoints.Hosts[0].Peer, Dest: 1, Gone: true},
		"moved": {Peer: Peer{"s-1", "127.0.0.1:1009"}, Dest: 1},
	} {
		h := newHarness(t, t.TempDir(), nil)
		h.Recover()
		h.Exchange.accept(newMessage("a", "payment", 1), make(chan Answer, 1))
		h.advanceClock(time.Second)
		h.step()
		call := testkit.Receive(t, h.endpoints.started, "call")
		h.applyListing(Listing{Hosts: []Host{update}})
		if len(h.endpoints.recalled) != 1 || <-h.endpoints.recalled != call {
			t.Errorf("%s: the call is not recalled", name)
		}
		h.ledger.Close()
	}
}
