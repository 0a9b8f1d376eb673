package rules

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// heapInUse returns the bytes of live heap after a garbage collection.
func heapInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// completeList returns a complete list of n destinations with one endpoint each.
func completeList(n int) ListUpdate {
	l := ListUpdate{Whole: true, Entries: make([]Entry, n)}
	for i := range l.Entries {
		l.Entries[i] = Entry{
			Endpoint:    EndpointID(i + 1),
			Destination: i,
			Kind:        i % 2,
			Zone:        i % 7,
			ListedRate:  1 + float64(i%50),
		}
	}
	return l
}

// BenchmarkListedMemory measures the memory that the module uses at the size of docs/CAPACITY.md: 210,000 destinations
// listed, 20,000 of which get one message each within a minute. It also reports the longest steps: the first complete
// list, a second one, and the longest step with a message.
func BenchmarkListedMemory(b *testing.B) {
	const listed, used = 210_000, 20_000
	set := testSettings()
	set.Senders, set.RatesListed, set.Slots = 480, true, 400
	milliseconds := func(f func()) float64 {
		start := time.Now()
		f()
		return time.Since(start).Seconds() * 1000
	}
	for b.Loop() {
		before := heapInUse()
		s, now := New(set), 24*time.Hour
		first := milliseconds(func() { s.Step(now, []Event{completeList(listed)}) })
		again := milliseconds(func() { s.Step(now+sec, []Event{completeList(listed)}) })
		idle := heapInUse() - before
		longest := 0.0
		for u := range used {
			now += time.Minute / used
			id := MessageID(fmt.Sprint("u", u))
			longest = max(longest, milliseconds(func() {
				s.Step(now, []Event{Arrived{ID: id, Destination: u * 10, Class: safe, TimeLeft: 16 * sec}})
			}))
			elapsed := 5*ms + time.Duration(u%977)*3191
			s.Step(now+elapsed, []Event{AttemptEnded{
				ID:       id,
				Endpoint: EndpointID(u*10 + 1),
				Outcome:  OK,
				Elapsed:  elapsed,
				Finished: true,
			}})
		}
		if len(s.held) > 0 {
			b.Errorf("%d messages still held", len(s.held))
		}
		full := heapInUse() - before
		b.ReportMetric(idle/listed, "B/listed")
		b.ReportMetric((full-idle)/used, "B/used")
		b.ReportMetric(full/1e6, "MB")
		b.ReportMetric(first, "ms/first")
		b.ReportMetric(again, "ms/again")
		b.ReportMetric(longest, "ms/longest")
		runtime.KeepAlive(s)
	}
}

// BenchmarkActivateAndDeactivate measures how long it takes to activate a destination that was used once and to
// deactivate it again.
func BenchmarkActivateAndDeactivate(b *testing.B) {
	s, now := New(testSettings()), 24*time.Hour
	s.Step(now, []Event{completeList(210_000)})
	id := MessageID("m")
	s.Step(now, []Event{Arrived{ID: id, Destination: 7, Class: safe, TimeLeft: 16 * sec}})
	s.Step(now+7*ms, []Event{AttemptEnded{ID: id, Endpoint: 8, Outcome: OK, Elapsed: 7 * ms, Finished: true}})
	for b.Loop() {
		if !s.deactivate(s.destination(7)) {
			b.Fatal("the destination is not deactivated")
		}
	}
	b.ReportMetric(float64(len(s.packBuffer)), "B/state")
}
