package rules

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// loadedSender drives a sender that knows many destinations and holds messages for twenty of them, which have sent a
// Retry-After. One further destination is healthy.
type loadedSender struct {
	s      *Sender
	now    time.Duration
	n      int     // messages for the healthy destination so far
	events []Event // outcomes for the next step
}

// newLoadedSender returns one that knows the given number of destinations, besides the healthy one, and holds the
// given number of messages.
func newLoadedSender(destinations, held int) *loadedSender {
	set := testSettings()
	set.Senders, set.MaxHeld, set.Slots = 2, 2*held+100, 40
	l := &loadedSender{s: New(set), now: 100 * sec}
	var entries []Entry
	for d := range destinations + 1 {
		entries = append(entries, Entry{Endpoint: EndpointID(d + 1), Destination: d})
	}
	l.step(ListUpdate{Whole: true, Entries: entries})
	for d := range 20 {
		id := MessageID(fmt.Sprintf("first%d", d))
		l.step(Arrived{ID: id, Destination: d, Class: safe, TimeLeft: 1e6 * sec})
		l.step(AttemptEnded{ID: id, Endpoint: EndpointID(d + 1), Outcome: Refused, RetryAfter: 5e5 * sec})
	}
	for h := range held - 20 {
		l.step(Arrived{
			ID:          MessageID(fmt.Sprintf("held%d", h)),
			Destination: h % 20,
			Class:       safe,
			TimeLeft:    1e6*sec + time.Duration(h)*ms,
		})
	}
	l.events = nil
	return l
}

// step makes a step. Calls to the healthy destination end in the next one.
func (l *loadedSender) step(events ...Event) {
	l.now += 5 * ms
	next := l.events
	l.events = nil
	for _, a := range l.s.Step(l.now, append(next, events...)) {
		if a, ok := a.(Send); ok && a.Endpoint > 20 {
			l.events = append(l.events, AttemptEnded{
				ID:       a.ID,
				Endpoint: a.Endpoint,
				Outcome:  OK,
				Elapsed:  5 * ms,
				Finished: true,
			})
		}
	}
}

// serve makes a step with a message for the healthy destination.
func (l *loadedSender) serve() {
	l.n++
	l.step(Arrived{ID: MessageID(fmt.Sprintf("m%d", l.n)), Destination: 20, Class: safe, TimeLeft: 16 * sec})
}

// BenchmarkStep measures a step by the number of known destinations and of messages held.
func BenchmarkStep(b *testing.B) {
	for _, x := range []struct{ destinations, held int }{
		{21, 30}, {1000, 30}, {10_000, 30}, {100_000, 30}, {21, 1000}, {21, 10_000},
	} {
		b.Run(fmt.Sprintf("%d destinations, %d held", x.destinations, x.held), func(b *testing.B) {
			l := newLoadedSender(x.destinations, x.held)
			for b.Loop() {
				l.serve()
			}
			if got := len(l.s.held); got < x.held || got > x.held+2 {
				b.Errorf("%d messages held, want %d", got, x.held)
			}
		})
	}
}

// TestStepTimeDoesNotGrowWithState guards against loops over all destinations or all messages in a step: they made a
// step with 100,000 idle destinations take 500 times as long as one with 20. The limits leave room for a noisy machine.
func TestStepTimeDoesNotGrowWithState(t *testing.T) {
	shortest := func(destinations, held int) time.Duration {
		l, best := newLoadedSender(destinations, held), time.Hour
		for range 300 {
			start := time.Now()
			l.serve()
			best = min(best, time.Since(start))
		}
		if got := len(l.s.held); got < held {
			t.Errorf("%d messages held, want at least %d: the steps had less to do", got, held)
		}
		return best
	}
	small := shortest(21, 30)
	if idle := shortest(50_000, 30); idle > 20*small {
		t.Errorf("a step with 50,000 idle destinations takes %v, with 20 %v", idle, small)
	}
	if full := shortest(21, 5000); full > 20*small {
		t.Errorf("a step with 5,000 messages held takes %v, with 30 %v", full, small)
	}
}

// BenchmarkIdleMemory measures the memory that the module uses for a destination that was used once and is idle.
func BenchmarkIdleMemory(b *testing.B) {
	const destinations = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := newLoadedSender(destinations, 30)
		for d := range destinations {
			id := MessageID(fmt.Sprintf("u%d", d))
			l.step(Arrived{ID: id, Destination: d, Class: safe, TimeLeft: 16 * sec})
		}
		l.step(WakeUp{})
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/destinations, "B/destination")
		runtime.KeepAlive(l)
	}
}
