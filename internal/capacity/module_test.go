// This file measures the decision module alone, in simulated time and without sockets.

package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"eiderhaven/rules"
)

const (
	fleetSize  = 480 // senders
	senderTick = 5 * time.Millisecond
	answerTime = 5 * time.Millisecond // of an endpoint that is up
	deadline   = time.Hour            // of all messages
	startTime  = 24 * time.Hour       // simulated time at which a sender starts
)

// senderSettings returns settings for a sender of production size, with one class that has the longest deadline that
// settings allow.
func senderSettings(senders int) rules.Settings {
	return rules.Settings{
		Seed:              1,
		Senders:           senders,
		Tick:              senderTick,
		Slots:             400,
		MaxHeld:           1_000_000,
		MaxAttempts:       1_000_000,
		ConnectTimeout:    time.Second,
		KeepAlive:         10 * time.Second,
		MaxRetryAfter:     3 * time.Second,
		MaySendRetryAfter: true,
		MayCancel:         true,
		AnswerGrace:       20 * time.Millisecond,
		DrainGrace:        500 * time.Millisecond,
		ColdShare:         0.2,
		WarmUp:            10 * time.Second,
		FallWindow:        2 * time.Second,
		OverloadFactor:    2,
		LateHalving:       true,
		OverShareWorth:    0.1,
		Kinds:             []rules.Kind{{Batch: 1}},
		Classes: []rules.Class{{
			Effect:    rules.Safe,
			Aim:       2500 * time.Millisecond,
			Deadline:  deadline,
			Worth:     1,
			LateWorth: 0.4,
		}},
	}
}

// moduleDriver runs a sender in simulated time. Endpoints that are down refuse connections, the others answer after
// answerTime.
type moduleDriver struct {
	sender        *rules.Sender
	now           time.Duration
	wakeAt        time.Duration
	lastMessage   int // number of the latest message
	downEndpoints int // the endpoints 1 to downEndpoints are down
	failedCalls   int // calls to endpoints that are down
	held          int // messages without a final answer
	attempts      map[rules.MessageID]int
	pendingEvents []rules.Event // of the next step
}

// wholeList returns a list of n destinations with one endpoint each. The endpoint IDs start at 1.
func wholeList(n int) rules.ListUpdate {
	list := rules.ListUpdate{Whole: true}
	for i := range n {
		list.Entries = append(list.Entries, rules.Entry{Endpoint: rules.EndpointID(i + 1), Destination: i})
	}
	return list
}

// newModuleDriver returns a driver whose sender has the list of all destinations, of which the first down are down.
func newModuleDriver(destinations, down, senders int) *moduleDriver {
	m := &moduleDriver{
		sender:        rules.New(senderSettings(senders)),
		now:           startTime,
		downEndpoints: down,
		attempts:      map[rules.MessageID]int{},
	}
	m.step(wholeList(destinations))
	return m
}

// step runs one step of the sender with the pending events and these ones, and carries out its actions.
func (m *moduleDriver) step(events ...rules.Event) {
	const never = time.Duration(1 << 62)
	pending := m.pendingEvents
	m.pendingEvents = nil
	m.wakeAt = never
	for _, action := range m.sender.Step(m.now, append(pending, events...)) {
		switch a := action.(type) {
		case rules.Send:
			ended := rules.AttemptEnded{
				ID:       a.ID,
				Attempt:  m.attempts[a.ID],
				Endpoint: a.Endpoint,
				Outcome:  rules.OK,
				Elapsed:  answerTime,
				Finished: true,
			}
			if int(a.Endpoint) <= m.downEndpoints {
				ended.Outcome = rules.ConnectError
				ended.Finished = false
				m.attempts[a.ID]++
				m.failedCalls++
			} else {
				m.held--
			}
			m.pendingEvents = append(m.pendingEvents, ended)
		case rules.Refuse, rules.Fail:
			m.held--
		case rules.WakeAfter:
			m.wakeAt = min(m.wakeAt, m.now+a.After)
		}
	}
}

// advance lets simulated time pass. Like the exchange, it runs a step one tick later if events are pending, otherwise
// at the time for which the sender requested a wake-up.
func (m *moduleDriver) advance(d time.Duration) {
	for end := m.now + d; ; {
		next := m.now + senderTick
		if len(m.pendingEvents) == 0 {
			next = max(next, m.wakeAt)
		}
		if next > end {
			m.now = end
			return
		}
		m.now = next
		if len(m.pendingEvents) > 0 {
			m.step()
		} else {
			m.step(rules.WakeUp{})
		}
	}
}

// submit submits a message for each of these destinations, all in one step.
func (m *moduleDriver) submit(destinations ...int) {
	var events []rules.Event
	for _, destination := range destinations {
		m.lastMessage++
		m.held++
		id := rules.MessageID(fmt.Sprintf("m%09d", m.lastMessage))
		events = append(events, rules.Arrived{ID: id, Destination: destination, TimeLeft: deadline})
	}
	m.now += senderTick
	m.step(events...)
}

// BenchmarkModuleDestinations measures the memory for a destination that is only listed, the memory for one that was
// used once and is idle since, and the time for a whole list that changes nothing.
func BenchmarkModuleDestinations(b *testing.B) {
	measure(b, 3, "destinations", []int{5000, 10_000, 20_000, 40_000}, func(n int) map[string]float64 {
		before := liveHeapBytes()
		m := newModuleDriver(n, 0, fleetSize)
		listed := liveHeapBytes()
		for destination := range n {
			m.submit(destination)
		}
		m.advance(time.Minute)
		used := liveHeapBytes()
		sameList := wholeList(n)
		m.now += time.Second
		start := time.Now()
		m.step(sameList)
		listTime := time.Since(start)
		start = time.Now()
		m.now += time.Second
		m.step(rules.ListUpdate{Entries: sameList.Entries[n/2 : n/2+1]})
		changeTime := time.Since(start)
		runtime.KeepAlive(m)
		return map[string]float64{
			"a: bytes, listed only":       listed - before,
			"b: bytes, used once":         used - before,
			"c: ms, the whole list again": listTime.Seconds() * 1000,
			"d: us, one change":           changeTime.Seconds() * 1e6,
		}
	})
}

// BenchmarkModuleListed measures the memory for destinations that are only listed, up to the number of a production
// fleet, and the time for the first list.
func BenchmarkModuleListed(b *testing.B) {
	measure(b, 3, "destinations", []int{26_250, 52_500, 105_000, 210_000}, func(n int) map[string]float64 {
		before := liveHeapBytes()
		start := time.Now()
		m := newModuleDriver(n, 0, fleetSize)
		listTime := time.Since(start)
		after := liveHeapBytes()
		runtime.KeepAlive(m)
		return map[string]float64{
			"a: bytes, listed only": after - before,
			"b: ms, the first list": listTime.Seconds() * 1000,
		}
	})
}

// BenchmarkModuleHeld measures what messages held for one destination that refuses connections cost, while the sender
// makes no calls but probes.
func BenchmarkModuleHeld(b *testing.B) {
	measure(b, 3, "messages held", []int{1000, 3000, 10_000, 30_000, 100_000}, func(n int) map[string]float64 {
		return measureHeld(b, 1, n)
	})
}

// BenchmarkModuleDown measures the same for several destinations that refuse connections, with six messages held for
// each.
func BenchmarkModuleDown(b *testing.B) {
	const heldForEach = 6 // messages
	measure(b, 2, "destinations down", []int{100, 300, 1000, 3150}, func(n int) map[string]float64 {
		return measureHeld(b, n, heldForEach*n)
	})
}

// measureHeld fills a sender with n messages for destinations that are down, lets idleTime pass, and then submits
// messages for a destination that is up.
func measureHeld(b *testing.B, down, n int) map[string]float64 {
	const (
		fillStep   = 500 // messages submitted in one step before those that are timed
		timedStep  = 20  // timed messages submitted in one step
		timedCount = 400 // messages that are timed: the last ones, when the sender is almost full
		idleTime   = 10 * time.Second
		upCount    = 20 // messages for the destination that is up
	)
	m := newModuleDriver(down+1, down, fleetSize)
	before := liveHeapBytes()
	var submitTime time.Duration
	for i := 0; i < n; {
		timed := i >= n-timedCount
		size := max(1, min(fillStep, n-timedCount-i))
		if timed {
			size = timedStep
		}
		destinations := make([]int, size)
		for j := range destinations {
			destinations[j] = (i + j) % down
		}
		start := time.Now()
		m.submit(destinations...)
		if timed {
			submitTime += time.Since(start)
		}
		i += size
	}
	after := liveHeapBytes()
	m.failedCalls = 0
	start := time.Now()
	m.advance(idleTime)
	idleCost := time.Since(start)
	probes := m.failedCalls
	fastestStep := time.Hour
	for range upCount {
		start := time.Now()
		m.submit(down) // the destinations are numbered from 0: this one is up
		fastestStep = min(fastestStep, time.Since(start))
	}
	runtime.KeepAlive(m)
	if m.held < n*9/10 {
		b.Errorf("%d messages held, want %d: the measured load is too small", m.held, n)
	}
	return map[string]float64{
		"a: bytes":                                     after - before,
		"b: us an arrival, 20 a step":                  submitTime.Seconds() * 1e6 / timedCount,
		"c: % of a core, no traffic":                   idleCost.Seconds() / idleTime.Seconds() * 100,
		"d: trial calls a second":                      float64(probes) / idleTime.Seconds(),
		"e: us a step that serves another destination": fastestStep.Seconds() * 1e6,
	}
}
