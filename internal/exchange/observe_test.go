package exchange

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"eiderhaven/rules"
)

// TestAMessageIsFollowedByItsID plays a message that fails until its endpoint is on probation, and reads what the log says.
func TestAMessageIsFollowedByItsID(t *testing.T) {
	w := newHarness(t, t.TempDir(), func(s *rules.Settings) { s.MaxAttempts = 4 })
	var text bytes.Buffer
	w.cfg.Log = slog.New(slog.NewTextHandler(&text, &slog.HandlerOptions{Level: slog.LevelDebug}))
	w.Recover()
	w.Exchange.accept(newMessage("m1", "stock", 1), make(chan Answer, 1))
	for deadline := time.Now().Add(10 * time.Second); w.counts.Ended[rules.EndAttempts] == 0; {
		if time.Now().After(deadline) {
			t.Fatalf("not ended; counters %+v\n%s", w.counts, &text)
		}
		w.advanceClock(500 * time.Millisecond)
		w.step()
		select {
		case c := <-w.endpoints.started:
			w.onCallFinished(c.inFlight, Result{Written: true, Items: []ItemResult{{Outcome: rules.Errored}}})
		default:
		}
	}
	for _, want := range []string{"msg=taken id=m1", "msg=call ids=[m1] attempts=[0] endpoint=s-1 dest=1", "msg=outcome id=m1 attempt=3",
		"outcome=errored", `msg="endpoint state" endpoint=s-1 dest=1 from=healthy to=probation cause=failures failures=4`,
		"msg=ended id=m1 reason=attempts"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %q in\n%s", want, &text)
		}
	}
	if line := w.snapshot().LogValue().String(); !strings.Contains(line, "ended_attempts=1") || w.counts.Transitions != 1 {
		t.Errorf("counters %s", line)
	}
}

// TestARestartRemembersAnOutage lets one of many senders find an endpoint out, and its next process hold a message back there.
func TestARestartRemembersAnOutage(t *testing.T) {
	many := func(s *rules.Settings) { s.Senders = 300 }
	dir := t.TempDir()
	w := newHarness(t, dir, many)
	w.Recover()
	w.Exchange.accept(newMessage("m1", "stock", 1), make(chan Answer, 1))
	for deadline := time.Now().Add(10 * time.Second); w.counts.Transitions == 0; {
		if time.Now().After(deadline) {
			t.Fatalf("the endpoint is still well; counters %+v", w.counts)
		}
		w.advanceClock(100 * time.Millisecond)
		w.step()
		select {
		case c := <-w.endpoints.started:
			w.onCallFinished(c.inFlight, Result{Written: true, Items: []ItemResult{{Outcome: rules.Errored}}})
		default:
		}
	}
	w.ledger.Close()
	for _, c := range []struct {
		host string
		dest int
		held bool
	}{{"s-1", 1, true}, {"s-2", 2, false}} {
		next := newHarness(t, dir, many)
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
