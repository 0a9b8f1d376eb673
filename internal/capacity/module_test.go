// This file measures the decision module alone, without a socket.

package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"eiderhaven/rules"
)

// senderSettings are those of a sender of the operators' size, one class with the longest deadline that settings allow.
func senderSettings(senders int) rules.Settings {
	return rules.Settings{Seed: 1, Senders: senders, Tick: 5 * time.Millisecond, Slots: 400, MaxHeld: 1_000_000, MaxAttempts: 1_000_000,
		ConnectTimeout: time.Second, KeepAlive: 10 * time.Second, MaxRetryAfter: 3 * time.Second, MaySendRetryAfter: true, MayCancel: true,
		AnswerGrace: 20 * time.Millisecond, DrainGrace: 500 * time.Millisecond, ColdShare: 0.2, WarmUp: 10 * time.Second,
		FallWindow: 2 * time.Second, OverloadFactor: 2, LateHalving: true, OverShareWorth: 0.1, Kinds: []rules.Kind{{Batch: 1}},
		Classes: []rules.Class{{Effect: rules.Safe, Aim: 2500 * time.Millisecond, Deadline: time.Hour, Worth: 1, LateWorth: 0.4}}}
}

// module drives a sender in model time. Down endpoints refuse connections, the others answer in 5 ms.
type module struct {
	s      *rules.Sender
	now    time.Duration
	wake   time.Duration
	n      int
	down   int // endpoints up to this one
	calls  int // to those that are down
	held   int // given up ones are taken off
	tries  map[rules.MessageID]int
	events []rules.Event
}

func list(n int) rules.ListUpdate {
	l := rules.ListUpdate{Whole: true}
	for i := range n {
		l.Entries = append(l.Entries, rules.Entry{Endpoint: rules.EndpointID(i + 1), Destination: i})
	}
	return l
}

func newModule(destinations, down, senders int) *module {
	m := &module{s: rules.New(senderSettings(senders)), now: 24 * time.Hour, down: down, tries: map[rules.MessageID]int{}}
	m.step(list(destinations))
	return m
}

func (m *module) step(events ...rules.Event) {
	next := m.events
	m.events, m.wake = nil, time.Duration(1<<62)
	for _, a := range m.s.Step(m.now, append(next, events...)) {
		switch a := a.(type) {
		case rules.Send:
			end := rules.AttemptEnded{ID: a.ID, Attempt: m.tries[a.ID], Endpoint: a.Endpoint, Outcome: rules.OK, Elapsed: 5 * time.Millisecond, Finished: true}
			if int(a.Endpoint) <= m.down {
				end.Outcome, end.Finished = rules.ConnectError, false
				m.tries[a.ID]++
				m.calls++
			} else {
				m.held--
			}
			m.events = append(m.events, end)
		case rules.Refuse, rules.Fail:
			m.held--
		case rules.WakeAfter:
			m.wake = min(m.wake, m.now+a.After)
		}
	}
}

// pass lets time pass as the exchange would: a step a tick later if something has happened, else when the module asks.
func (m *module) pass(d time.Duration) {
	for end := m.now + d; ; {
		next := m.now + 5*time.Millisecond
		if len(m.events) == 0 {
			next = max(next, m.wake)
		}
		if next > end {
			m.now = end
			return
		}
		m.now = next
		if len(m.events) > 0 {
			m.step()
		} else {
			m.step(rules.WakeUp{})
		}
	}
}

func (m *module) arrive(destinations ...int) {
	var events []rules.Event
	for _, d := range destinations {
		m.n++
		m.held++
		events = append(events, rules.Arrived{ID: rules.MessageID(fmt.Sprintf("m%09d", m.n)), Destination: d, TimeLeft: time.Hour})
	}
	m.now += 5 * time.Millisecond
	m.step(events...)
}

// BenchmarkModuleDestinations is what the module keeps for a destination that is only listed, for one that was used once and went
// idle, and what a whole list costs that names the same again.
func BenchmarkModuleDestinations(b *testing.B) {
	measure(b, 3, "destinations", []int{5000, 10_000, 20_000, 40_000}, func(n int) map[string]float64 {
		before := heap()
		m := newModule(n, 0, 480)
		listed := heap()
		for d := range n {
			m.arrive(d)
		}
		m.pass(time.Minute)
		used := heap()
		again := list(n)
		m.now += time.Second
		began := time.Now()
		m.step(again)
		took := time.Since(began)
		began = time.Now()
		m.now += time.Second
		m.step(rules.ListUpdate{Entries: again.Entries[n/2 : n/2+1]})
		change := time.Since(began)
		runtime.KeepAlive(m)
		return map[string]float64{"a: bytes, listed only": listed - before, "b: bytes, used once": used - before,
			"c: ms, the whole list again": took.Seconds() * 1000, "d: us, one change": change.Seconds() * 1e6}
	})
}

// BenchmarkModuleListed is the same for the size itself, of what is only listed.
func BenchmarkModuleListed(b *testing.B) {
	measure(b, 3, "destinations", []int{26_250, 52_500, 105_000, 210_000}, func(n int) map[string]float64 {
		before := heap()
		began := time.Now()
		m := newModule(n, 0, 480)
		took := time.Since(began)
		after := heap()
		runtime.KeepAlive(m)
		return map[string]float64{"a: bytes, listed only": after - before, "b: ms, the first list": took.Seconds() * 1000}
	})
}

// BenchmarkModuleHeld is what messages held for one destination that refuses connections cost, the sender idle but for its trials.
func BenchmarkModuleHeld(b *testing.B) {
	measure(b, 3, "messages held", []int{1000, 3000, 10_000, 30_000, 100_000}, func(n int) map[string]float64 { return heldFor(b, 1, n) })
}

// BenchmarkModuleDown is the same for six messages held for each of so many destinations that refuse connections.
func BenchmarkModuleDown(b *testing.B) {
	measure(b, 2, "destinations down", []int{100, 300, 1000, 3150}, func(n int) map[string]float64 { return heldFor(b, n, 6*n) })
}

// heldFor fills a sender with so many messages for destinations that are down, and lets 10 s pass.
func heldFor(b *testing.B, down, n int) map[string]float64 {
	m := newModule(down+1, down, 480)
	before := heap()
	const last = 400 // arrivals that are timed, after the others came in large steps
	var spent time.Duration
	for i := 0; i < n; {
		size := max(1, min(500, n-last-i))
		if i >= n-last {
			size = 20
		}
		to := make([]int, size)
		for j := range to {
			to[j] = (i + j) % down
		}
		began := time.Now()
		m.arrive(to...)
		if i >= n-last {
			spent += time.Since(began)
		}
		i += size
	}
	after := heap()
	m.calls = 0
	began := time.Now()
	m.pass(10 * time.Second)
	idle := time.Since(began)
	calls := m.calls
	served := time.Hour
	for range 20 {
		began := time.Now()
		m.arrive(down)
		served = min(served, time.Since(began))
	}
	runtime.KeepAlive(m)
	if m.held < n*9/10 {
		b.Errorf("%d messages held, want %d: there was less to do", m.held, n)
	}
	return map[string]float64{"a: bytes": after - before, "b: us an arrival, 20 a step": spent.Seconds() * 1e6 / last,
		"c: % of a core, no traffic": idle.Seconds() * 10, "d: trial calls a second": float64(calls) / 10,
		"e: us a step that serves another destination": served.Seconds() * 1e6}
}
