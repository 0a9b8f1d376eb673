// Package lifecycle decides what may still happen to a message: whether it may be started, called, called again, ended,
// and told of as ended. Every path of the sender asks here, and nowhere else. It owns the state of each message, counts
// what it denies, and counts and logs each violation: something that happened although the state forbids it. It must never
// do I/O beyond that log, nor wait.
//
// The order that it enforces: an end is decided, then every call for the message is stopped, then the end is recorded,
// then whoever waits for it hears of it. So nobody hears of an end that a call on its way, the next process or the same ID
// again does not know of.
package lifecycle

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// LateCallMargin is the time left of a message below which no call is made for it. A call that is written later could
// reach an endpoint over a slow way only after the message's end.
const LateCallMargin = 50 * time.Millisecond

// State is what has become of a message.
type State int32

// The states, in the order in which a message passes them. Not every message is ever unconfirmed.
const (
	Accepted    State = iota // recorded; calls may be made
	Unconfirmed              // over by a response that may be another call's: no call any more
	Ending                   // its end is decided: no call any more, and nobody may hear of it yet
	Ended                    // its end is recorded
)

func (s State) String() string {
	return [...]string{"accepted", "unconfirmed", "ending", "ended"}[s]
}

// Denial is why a call may not be made.
type Denial int

// The denials.
const (
	NotDenied         Denial = iota
	DeniedUnconfirmed        // the message may have been delivered already
	DeniedEnded              // its end is decided
	DeniedLate               // less than LateCallMargin is left of its time
	denials
)

func (d Denial) String() string {
	return [...]string{"not denied", "unconfirmed", "ended", "late"}[d]
}

// Violation is something that happened although a message's state forbids it.
type Violation int

// The violations.
const (
	SentAfterEnd   Violation = iota // the last byte of a call was written after the message's end
	ToldUnrecorded                  // somebody hears of an end that is not recorded
	EndedTwice                      // a message has two ends
	RevivedAfter                    // a message goes back to be called though it is not unconfirmed
	StartedAgain                    // an ID is accepted that is held or has ended
	violations
)

var violationNames = [violations]string{"sent_after_end", "told_unrecorded", "ended_twice", "revived_after", "started_again"}

func (v Violation) String() string { return violationNames[v] }

// History knows the IDs of messages that are held or have ended.
type History interface{ Knows(id string) bool }

// Guard decides for all messages of a process, and counts. Create it with New.
type Guard struct {
	history    History
	log        *slog.Logger
	denied     [denials]atomic.Int64
	violations [violations]atomic.Int64
}

// New returns a guard that starts no message whose ID is in the history.
func New(history History, log *slog.Logger) *Guard { return &Guard{history: history, log: log} }

// MayStart reports whether a message with this ID may be accepted: none is held, and none has ended lately.
func (g *Guard) MayStart(id string) bool { return !g.history.Knows(id) }

// Start returns the lifecycle of a message whose acceptance is recorded.
func (g *Guard) Start(id string, deadline time.Time) *Message {
	return &Message{guard: g, id: id, deadline: deadline}
}

// violated counts and logs a violation.
func (g *Guard) violated(v Violation, m *Message) {
	g.violations[v].Add(1)
	g.log.Error("lifecycle violated", "rule", v, "id", m.id, "state", m.State())
}

// Violations returns how often a rule was violated.
func (g *Guard) Violations(v Violation) int64 { return g.violations[v].Load() }

// LogValue returns the counters under their names in the log.
func (g *Guard) LogValue() slog.Value {
	var attrs []slog.Attr
	for d := NotDenied + 1; d < denials; d++ {
		attrs = append(attrs, slog.Int64("denied_"+d.String(), g.denied[d].Load()))
	}
	for v := range violations {
		attrs = append(attrs, slog.Int64(v.String(), g.violations[v].Load()))
	}
	return slog.GroupValue(attrs...)
}

// Message is the lifecycle of one message. Its methods may be called by several goroutines; those that change the state
// must be called by the goroutine that owns the message.
type Message struct {
	guard    *Guard
	id       string
	deadline time.Time
	state    atomic.Int32
}

// State returns the present state.
func (m *Message) State() State { return State(m.state.Load()) }

// MayCall returns why no call may be made, or its last byte be written, for the message now.
func (m *Message) MayCall(now time.Time) Denial {
	denial := NotDenied
	switch state := m.State(); {
	case state == Unconfirmed:
		denial = DeniedUnconfirmed
	case state != Accepted:
		denial = DeniedEnded
	case m.deadline.Sub(now) < LateCallMargin:
		denial = DeniedLate
	}
	if denial != NotDenied {
		m.guard.denied[denial].Add(1)
	}
	return denial
}

// NoteCalled checks that a call whose last byte has just been written was allowed.
func (m *Message) NoteCalled() {
	if m.State() == Ended {
		m.guard.violated(SentAfterEnd, m)
	}
}

// Suspend notes that the message is over by an unconfirmed response.
func (m *Message) Suspend() { m.state.CompareAndSwap(int32(Accepted), int32(Unconfirmed)) }

// BeginEnd decides the end of the message: no call may be made from now on. It reports whether it has no other end.
func (m *Message) BeginEnd() bool {
	if m.State() >= Ending {
		m.guard.violated(EndedTwice, m)
		return false
	}
	m.state.Store(int32(Ending))
	return true
}

// End notes that the end is recorded, and that every call that was not written has been stopped.
func (m *Message) End() { m.state.Store(int32(Ended)) }

// MayTell reports whether the end may be told of. It is told of even so where it could not be recorded, as whoever waits
// for it must not wait for ever; then it is a violation.
func (m *Message) MayTell() bool {
	if m.State() == Ended {
		return true
	}
	m.guard.violated(ToldUnrecorded, m)
	return false
}
