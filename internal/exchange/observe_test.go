package exchange

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"eiderhaven/rules"
)

// failStartedCall ends one of the started calls, if there is one, with an error of the endpoint.
func (h *harness) failStartedCall() {
	select {
	case c := <-h.endpoints.started:
		h.onCallFinished(c.inFlight, Result{Written: true, Items: []ItemResult{{Outcome: rules.Errored}}})
	default:
	}
}

// TestTraceFollowsAMessage lets a message fail until its endpoint is on probation, and checks the log lines on the
// way.
func TestTraceFollowsAMessage(t *testing.T) {
	h := newHarness(t, t.TempDir(), func(s *rules.Settings) { s.MaxAttempts = 2 })
	var log bytes.Buffer
	h.cfg.Log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	h.Recover()
	h.Exchange.accept(newMessage("m1", "stock", 1), make(chan Answer, 1))
	for deadline := time.Now().Add(10 * time.Second); h.counts.Ended[rules.EndAttempts] == 0; {
		if time.Now().After(deadline) {
			t.Fatalf("message has not ended; counters %+v\n%s", h.counts, &log)
		}
		h.advanceClock(500 * time.Millisecond)
		h.step()
		h.failStartedCall()
	}
	for _, want := range []string{
		"msg=taken id=m1",
		"msg=call ids=[m1] attempts=[0] endpoint=s-1 dest=1",
		"msg=outcome id=m1 attempt=1",
		"outcome=errored",
		`msg="endpoint state" endpoint=s-1 dest=1 from=healthy to=probation cause=failures failures=2`,
		`msg="limited call" endpoint=s-1 dest=1 state=healthy gate=confirmation failures=1`,
		"msg=ended id=m1 reason=attempts",
	} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("no %q in\n%s", want, &log)
		}
	}
	counters := h.snapshot().LogValue().String()
	if !strings.Contains(counters, "ended_attempts=1") || h.counts.Transitions != 1 {
		t.Errorf("counters %s", counters)
	}
}

// TestFirstFailureIsLogged guards against a sender of a large fleet that saw an outage and has no line about it: a single
// failure changes no state, so what such a sender knew could not be told from its log.
func TestFirstFailureIsLogged(t *testing.T) {
	h := newHarness(t, t.TempDir(), func(s *rules.Settings) { s.Senders = 300 })
	var log bytes.Buffer
	h.cfg.Log = slog.New(slog.NewTextHandler(&log, nil))
	h.Recover()
	h.Exchange.accept(newMessage("m1", "stock", 1), make(chan Answer, 1))
	const want = `msg="endpoint suspected" endpoint=s-1 dest=1 outcome=errored called_for=`
	for deadline := time.Now().Add(10 * time.Second); !strings.Contains(log.String(), want); {
		if time.Now().After(deadline) {
			t.Fatalf("no %q in\n%s", want, &log)
		}
		h.advanceClock(100 * time.Millisecond)
		h.step()
		h.failStartedCall()
	}
}

// TestRestartRemembersOutage lets one of many senders detect that an endpoint is down. Its next process must hold
// messages for that endpoint back, and only those.
func TestRestartRemembersOutage(t *testing.T) {
	manySenders := func(s *rules.Settings) { s.Senders = 300 }
	dir := t.TempDir()
	h := newHarness(t, dir, manySenders)
	h.Recover()
	h.Exchange.accept(newMessage("m1", "stock", 1), make(chan Answer, 1))
	for deadline := time.Now().Add(10 * time.Second); h.counts.Transitions == 0; {
		if time.Now().After(deadline) {
			t.Fatalf("the endpoint still counts as healthy; counters %+v", h.counts)
		}
		h.advanceClock(100 * time.Millisecond)
		h.step()
		h.failStartedCall()
	}
	h.ledger.Close()
	for _, c := range []struct {
		host string
		dest int
		held bool
	}{{"s-1", 1, true}, {"s-2", 2, false}} {
		next := newHarness(t, dir, manySenders)
		next.Recover()
		next.Exchange.accept(newMessage("new for "+c.host, "stock", c.dest), make(chan Answer, 1))
		next.step()
		next.advanceClock(time.Second)
		next.step()
		held := true
		for more := true; more; {
			select {
			case call := <-next.endpoints.started:
				held = held && call.To.Name != c.host
			default:
				more = false
			}
		}
		if held != c.held {
			t.Errorf("%s: held back %v, want %v", c.host, held, c.held)
		}
		next.ledger.Close()
	}
}
