// Package clock owns virtual time: the event queue and the order in which events fire. It must never read the
// machine's clock, and the order must never depend on the order of insertion.
//
// Events at the same instant fire by phase, then by actor, then by the actor's own sequence number. Each actor
// numbers the events it schedules, so the same events inserted in any interleaving of the actors fire in the same
// order.
package clock

import (
	"fmt"
	"time"
)

// Phase orders events at the same instant: causes come before their effects, and senders' steps come after everything
// that reaches their inboxes.
type Phase uint8

// The phases, in the order in which they fire.
const (
	Trouble  Phase = iota // an injected fault begins or ends
	Registry              // the endpoint list changes or is delivered to a sender
	Receive               // a call arrives or is served
	Answer                // an outcome arrives at a sender
	Submit                // a client submits a message
	Timer                 // timeouts and wake-ups
	Step                  // senders decide
	Check                 // the judge and the collector sample the run
)

// event is one scheduled callback.
type event struct {
	at    time.Duration
	phase Phase
	actor int32
	seq   uint64
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
	return e.seq < o.seq
}

// Queue holds virtual time and the pending events. The zero value is ready to use and starts at 0. It is not safe for
// concurrent use: one goroutine owns it.
type Queue struct {
	now   time.Duration
	heap  []event
	fired uint64
	late  uint64
}

// Now returns the current model time.
func (q *Queue) Now() time.Duration { return q.now }

// Fired returns the number of events that have fired.
func (q *Queue) Fired() uint64 { return q.fired }

// Late returns the number of events that were scheduled in the past; they fired at the current time instead.
func (q *Queue) Late() uint64 { return q.late }

// Pending returns the number of scheduled events.
func (q *Queue) Pending() int { return len(q.heap) }

// Scheduler schedules the events of one actor in one phase. Its sequence numbers make the order of its events unique.
type Scheduler struct {
	queue *Queue
	phase Phase
	actor int32
	seq   uint64
}

// NewScheduler returns a scheduler for an actor. Two schedulers of one phase must have different actors.
func (q *Queue) NewScheduler(phase Phase, actor int) *Scheduler {
	return &Scheduler{queue: q, phase: phase, actor: int32(actor)}
}

// At schedules f. An instant in the past is moved to the current time and counted by Late, so that a faulty model
// cannot turn time back.
func (s *Scheduler) At(at time.Duration, f func()) {
	if at < s.queue.now {
		at = s.queue.now
		s.queue.late++
	}
	s.seq++
	s.queue.push(event{at: at, phase: s.phase, actor: s.actor, seq: s.seq, fire: f})
}

// After schedules f to fire after d; a negative d counts as 0.
func (s *Scheduler) After(d time.Duration, f func()) { s.At(s.queue.now+max(d, 0), f) }

// EventLimitError reports that a run was ended by its limit of events.
type EventLimitError struct {
	Events uint64
	At     time.Duration
}

func (e *EventLimitError) Error() string {
	return fmt.Sprintf("stopped at the bound of %d events, at %v of model time: raise run.max_events, or look for a "+
		"policy that asks for wake-ups without end", e.Events, e.At.Round(time.Millisecond))
}

// Run fires all events up to and including an instant and leaves the clock there. It returns an *EventLimitError once
// the total number of fired events reaches the limit.
func (q *Queue) Run(until time.Duration, limit uint64) error {
	for len(q.heap) > 0 && q.heap[0].at <= until {
		if q.fired >= limit {
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

// NextAt returns the time of the next event, or false if none is scheduled.
func (q *Queue) NextAt() (time.Duration, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// heapArity is the number of children of a heap node: four make fewer levels than two, and the children of a node
// share cache lines.
const heapArity = 4

func (q *Queue) push(e event) {
	q.heap = append(q.heap, e)
	i := len(q.heap) - 1
	for i > 0 {
		parent := (i - 1) / heapArity
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
		q.siftDown(e)
	}
	return top
}

// siftDown puts e at the root and moves it down to its place.
func (q *Queue) siftDown(e event) {
	i, n := 0, len(q.heap)
	for {
		first := heapArity*i + 1
		if first >= n {
			break
		}
		least := first
		for c := first + 1; c < min(first+heapArity, n); c++ {
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
