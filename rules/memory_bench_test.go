package rules

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// inUse is what is in use after a collection.
func inUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func whole(n int) ListUpdate {
	l := ListUpdate{Whole: true, Entries: make([]Entry, n)}
	for i := range l.Entries {
		l.Entries[i] = Entry{Endpoint: EndpointID(i + 1), Destination: i, Kind: i % 2, Zone: i % 7, ListedRate: 1 + float64(i%50)}
	}
	return l
}

// BenchmarkListedMemory is what the module keeps at the size of docs/CAPACITY.md: 210,000 destinations listed, of which 20,000 are
// used within a minute, one message each. Beside it stand the longest steps: those that take the whole list in.
func BenchmarkListedMemory(b *testing.B) {
	const listed, used = 210_000, 20_000
	set := testSettings()
	set.Senders, set.RatesListed, set.Slots = 480, true, 400
	timed := func(f func()) float64 {
		began := time.Now()
		f()
		return time.Since(began).Seconds() * 1000
	}
	for b.Loop() {
		start := inUse()
		s, now := New(set), 24*time.Hour
		first := timed(func() { s.Step(now, []Event{whole(listed)}) })
		again := timed(func() { s.Step(now+sec, []Event{whole(listed)}) })
		idle := inUse() - start
		longest := 0.0
		for u := range used {
			now += time.Minute / used
			id := MessageID(fmt.Sprint("u", u))
			longest = max(longest, timed(func() { s.Step(now, []Event{Arrived{ID: id, Destination: u * 10, Class: safe, TimeLeft: 16 * sec}}) }))
			elapsed := 5*ms + time.Duration(u%977)*3191
			s.Step(now+elapsed, []Event{AttemptEnded{ID: id, Endpoint: EndpointID(u*10 + 1), Outcome: OK, Elapsed: elapsed, Finished: true}})
		}
		if len(s.held) > 0 {
			b.Errorf("%d messages still held", len(s.held))
		}
		full := inUse() - start
		b.ReportMetric(idle/listed, "B/listed")
		b.ReportMetric((full-idle)/used, "B/used")
		b.ReportMetric(full/1e6, "MB")
		b.ReportMetric(first, "ms/first")
		b.ReportMetric(again, "ms/again")
		b.ReportMetric(longest, "ms/longest")
		runtime.KeepAlive(s)
	}
}

// BenchmarkWakeAndRest is what it costs that a destination used once wakes for a message and rests again.
func BenchmarkWakeAndRest(b *testing.B) {
	s, now := New(testSettings()), 24*time.Hour
	s.Step(now, []Event{whole(210_000)})
	id := MessageID("m")
	s.Step(now, []Event{Arrived{ID: id, Destination: 7, Class: safe, TimeLeft: 16 * sec}})
	s.Step(now+7*ms, []Event{AttemptEnded{ID: id, Endpoint: 8, Outcome: OK, Elapsed: 7 * ms, Finished: true}})
	for b.Loop() {
		if !s.deactivate(s.destination(7)) {
			b.Fatal("it does not rest")
		}
	}
	b.ReportMetric(float64(len(s.packBuffer)), "B/state")
}
