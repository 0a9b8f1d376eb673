// Package clock owns virtual time: a queue of things to do, and the order in which they are done. It must never read
// the machine's clock, and never let the order in which things were put in decide anything.
//
// Events at the same instant fire by phase, then by actor, then by the actor's own count. Each actor numbers what it
// schedules, so the order follows from what the actors did, not from who was asked first: putting the same events in
// by any order fires them alike.
package clock

import (
	"fmt"
	"time"
)

// Phase orders what happens at the same instant: causes before what sees them, and senders' steps after all that
// reaches their inboxes.
type Phase uint8

// The phases, in the order in which they fire.
const (
	Trouble  Phase = iota // something breaks or recovers
	Registry              // the list changes or is told
	Receive               // a call arrives or is served
	Answer                // an outcome arrives at a sender
	Submit                // a client hands in a message
	Timer                 // time-outs and wake-ups
	Step                  // senders decide
	Check                 // the judge and the tally look
)

// event is one thing to do.
type event struct {
	at    time.Duration
	phase Phase
	actor int32
	count uint64
	fire  func()
}

func (e *event) before(o *event) bool {
	switch {
	case e.at != o.at:
		return e.at < o.at
	case e.phase != o.phase:
		return e.phase < o.phase
	case e.actor != o.actor:
		return e.actor < o.actor
	}
	return e.count < o.count
}

// Queue is virtual time and what is to happen in it. The zero value is ready and stands at 0. It is not safe for
// concurrent use: one goroutine owns it.
type Queue struct {
	now   time.Duration
	heap  []event
	fired uint64
	late  uint64
}

// Now is the present instant.
func (q *Queue) Now() time.Duration { return q.now }

// Fired is how many events have fired.
func (q *Queue) Fired() uint64 { return q.fired }

// Late is how many events were asked for in the past; they fired at the present instant instead.
func (q *Queue) Late() uint64 { return q.late }

// Pending is how many events wait.
func (q *Queue) Pending() int { return len(q.heap) }

// Line is one actor's way to schedule in one phase. Its count makes each of its events unique.
type Scheduler struct {
	q     *Queue
	phase Phase
	actor int32
	count uint64
}

// Line returns a line for an actor. Two lines of one phase must have different actors.
func (q *Queue) NewScheduler(phase Phase, actor int) *Scheduler {
	return &Scheduler{q: q, phase: phase, actor: int32(actor)}
}

// At schedules f. An instant that has passed counts as the present one, and is counted by Late: it guards against a
// model that would turn time back.
func (l *Scheduler) At(at time.Duration, f func()) {
	if at < l.q.now {
		at = l.q.now
		l.q.late++
	}
	l.count++
	l.q.push(event{at: at, phase: l.phase, actor: l.actor, count: l.count, fire: f})
}

// After schedules f a while from now.
func (l *Scheduler) After(d time.Duration, f func()) { l.At(l.q.now+max(d, 0), f) }

// ErrTooMany tells that a run was ended by its bound of events.
type EventLimitError struct {
	Events uint64
	At     time.Duration
}

func (e *EventLimitError) Error() string {
	return fmt.Sprintf("stopped at the bound of %d events, at %v of model time: raise run.max_events, or look for a "+
		"policy that asks for wake-ups without end", e.Events, e.At.Round(time.Millisecond))
}

// Run fires events up to and including an instant, then stands there. It stops with an *ErrTooMany at the bound.
func (q *Queue) Run(until time.Duration, bound uint64) error {
	for len(q.heap) > 0 && q.heap[0].at <= until {
		if q.fired >= bound {
			return &EventLimitError{Events: q.fired, At: q.now}
		}
		e := q.pop()
		q.now = e.at
		q.fired++
		e.fire()
	}
	q.now = max(q.now, until)
	return nil
}

// Next is the instant of the next event, false if none waits.
func (q *Queue) NextAt() (time.Duration, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// The heap has four children a node: fewer levels, and the children of a node share cache lines.
const arity = 4

func (q *Queue) push(e event) {
	q.heap = append(q.heap, e)
	i := len(q.heap) - 1
	for i > 0 {
		parent := (i - 1) / arity
		if !e.before(&q.heap[parent]) {
			break
		}
		q.heap[i] = q.heap[parent]
		i = parent
	}
	q.heap[i] = e
}

func (q *Queue) pop() event {
	top := q.heap[0]
	last := len(q.heap) - 1
	e := q.heap[last]
	q.heap[last] = event{}
	q.heap = q.heap[:last]
	if last > 0 {
		q.sink(e)
	}
	return top
}

// sink puts e at the root and lets it down to its place.
func (q *Queue) sink(e event) {
	i, n := 0, len(q.heap)
	for {
		first := arity*i + 1
		if first >= n {
			break
		}
		least := first
		for c := first + 1; c < min(first+arity, n); c++ {
			if q.heap[c].before(&q.heap[least]) {
				least = c
			}
		}
		if !q.heap[least].before(&e) {
			break
		}
		q.heap[i] = q.heap[least]
		i = least
	}
	q.heap[i] = e
}
