package rules

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// crowded is a sender that knows so many destinations and holds so many messages for twenty of them, which have asked for a
// wait. One further destination is well: each step brings it a message, and the answer to the one before.
type crowded struct {
	s      *Sender
	now    time.Duration
	n      int
	events []Event
}

func newCrowded(destinations, held int) *crowded {
	set := testSettings()
	set.Senders, set.MaxHeld, set.Slots = 2, 2*held+100, 40
	c := &crowded{s: New(set), now: 100 * sec}
	var entries []Entry
	for d := range destinations + 1 {
		entries = append(entries, Entry{Endpoint: EndpointID(d + 1), Destination: d})
	}
	c.step(ListUpdate{Whole: true, Entries: entries})
	for d := range 20 {
		id := MessageID(fmt.Sprintf("first%d", d))
		c.step(Arrived{ID: id, Destination: d, Class: safe, TimeLeft: 1e6 * sec})
		c.step(AttemptEnded{ID: id, Endpoint: EndpointID(d + 1), Outcome: Refused, RetryAfter: 5e5 * sec})
	}
	for h := range held - 20 {
		c.step(Arrived{ID: MessageID(fmt.Sprintf("held%d", h)), Destination: h % 20, Class: safe, TimeLeft: 1e6*sec + time.Duration(h)*ms})
	}
	c.events = nil
	return c
}

func (c *crowded) step(events ...Event) {
	c.now += 5 * ms
	next := c.events
	c.events = nil
	for _, a := range c.s.Step(c.now, append(next, events...)) {
		if a, ok := a.(Send); ok && a.Endpoint > 20 {
			c.events = append(c.events, AttemptEnded{ID: a.ID, Endpoint: a.Endpoint, Outcome: OK, Elapsed: 5 * ms, Finished: true})
		}
	}
}

// serve is one step with a message for a destination that is well.
func (c *crowded) serve() {
	c.n++
	c.step(Arrived{ID: MessageID(fmt.Sprintf("m%d", c.n)), Destination: 20, Class: safe, TimeLeft: 16 * sec})
}

// BenchmarkStep is the cost of a step over what is known and what is held.
func BenchmarkStep(b *testing.B) {
	for _, x := range []struct{ destinations, held int }{{21, 30}, {1000, 30}, {10_000, 30}, {100_000, 30}, {21, 1000}, {21, 10_000}} {
		b.Run(fmt.Sprintf("%d destinations, %d held", x.destinations, x.held), func(b *testing.B) {
			c := newCrowded(x.destinations, x.held)
			for b.Loop() {
				c.serve()
			}
			if got := len(c.s.held); got < x.held || got > x.held+2 {
				b.Errorf("%d messages held, want %d", got, x.held)
			}
		})
	}
}

// TestWhatIsOnlyKnownCostsNothing guards against walks over all destinations or all held messages in a step: they made a step
// with 100,000 idle destinations cost five hundred times one with 20. The bounds leave room for a noisy machine.
func TestWhatIsOnlyKnownCostsNothing(t *testing.T) {
	quickest := func(destinations, held int) time.Duration {
		c, best := newCrowded(destinations, held), time.Hour
		for range 300 {
			began := time.Now()
			c.serve()
			best = min(best, time.Since(began))
		}
		if got := len(c.s.held); got < held {
			t.Errorf("%d messages held, want %d: the steps had less to do", got, held)
		}
		return best
	}
	small := quickest(21, 30)
	if idle := quickest(50_000, 30); idle > 20*small {
		t.Errorf("a step with 50,000 idle destinations takes %v, with 20 %v", idle, small)
	}
	if full := quickest(21, 5000); full > 20*small {
		t.Errorf("a step with 5,000 held takes %v, with 30 %v", full, small)
	}
}

// BenchmarkIdleMemory is what the module keeps for a destination that was used once and went idle.
func BenchmarkIdleMemory(b *testing.B) {
	const destinations = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := newCrowded(destinations, 30)
		for d := range destinations {
			id := MessageID(fmt.Sprintf("u%d", d))
			c.step(Arrived{ID: id, Destination: d, Class: safe, TimeLeft: 16 * sec})
		}
		c.step(WakeUp{})
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/destinations, "B/destination")
		runtime.KeepAlive(c)
	}
}
