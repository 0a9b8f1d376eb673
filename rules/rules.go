// The step of a sender, and the one guard that every call passes (maySend). The interface (settings, events,
// actions) is in api.go. Decisions stand by subject: the AIMD rate in ratecontrol.go, slow start in
// slowstart.go, what one failure means in doubt.go, health in health.go and breaker.go, the order of work in
// scheduling.go, the ends of messages in answers.go.
package rules

import (
	"math"
	"time"
)

// Tuned values. Each holds for every deployment; what differs between them comes with the settings.
const (
	deliveredMemory = 10 * time.Second       // span of delivered rates, shares and cures; an outage's length
	goneMemory      = 30 * time.Second       // an endpoint gone this long: nothing known of it counts any more
	pollEvery       = 250 * time.Millisecond // wake-ups while anything waits
	never           = time.Duration(math.MaxInt64)
)

// Step takes what has come in and returns what to do about it now.
func (s *Sender) Step(now time.Duration, events []Event) []Action {
	s.now, s.actions, s.stood = now, nil, now-s.wakeAt > minLate
	s.startedAt = min(s.startedAt, now)
	if now >= s.wakeAt {
		s.wakeAt = never
	}
	for _, e := range events {
		s.handle(e)
	}
	for _, e := range events {
		if a, arrived := e.(Arrived); arrived && a.Before.inTrouble() {
			s.restoreFailures(a) // by all that has come: the first alone makes a rate that outlasts the others
		}
	}
	if s.now >= s.watchAt {
		s.watchAt = never
		s.act(Watch{})
	}
	s.callBack()
	s.endDue()
	s.detectUnresponsive()
	s.endDoubts()
	s.dispatch()
	s.shed()
	s.yieldConnections()
	s.evict()
	s.scheduleWake()
	s.restIdle()
	return s.actions
}

func (s *Sender) handle(e Event) {
	switch e := e.(type) {
	case Arrived:
		s.take(e)
	case Withdrawn:
		s.forget(s.held[e.ID])
	case Ending:
		s.endsAt = s.now + e.After
	case Ended:
		s.attemptEnded(e)
	case StreamStarted:
		s.streamStarted(e)
	case Listed:
		s.list(e)
	case Told:
		s.onHint(e.Note)
	case Remembered:
		s.restore(e)
	case ListFailed:
		if s.set.AskRegistry { // ask again soon, spread out: all senders may have failed at once
			s.watchAt = s.now + seconds(s.set.AskEvery.Seconds()/8*(0.5+s.rng.Float64()))
		}
	}
}

// maySend is the guard that every send passes; it holds the rules, whatever the plan says.
func (s *Sender) maySend(m *message, ep *endpoint) bool {
	mayNow := s.now >= m.notBefore && !m.ended() && len(m.out) == 0 && s.now < s.due(m) && !s.spent(m)
	return mayNow && !s.closed(ep) && ep.dest == m.dest && keyHolds(m, ep) && (m.order == nil || s.hasTurn(m))
}

// closed tells whether nothing may reach an endpoint: it drains, is gone, or its lane was told to wait.
func (s *Sender) closed(ep *endpoint) bool { return !ep.listed || s.now < ep.lane.pace.haltUntil }

// callBack holds that for calls decided before, as far as they are not written yet: a connection may come up
// later than the slack of a drain or a wait. Costs those that come up for nothing.
func (s *Sender) callBack() {
	for _, c := range s.calls {
		if s.closed(c.ep) {
			s.turnBack(c)
		}
	}
}

// keyHolds tells whether a message that may have run is in the scope of its key at ep; spent has the window.
func keyHolds(m *message, ep *endpoint) bool {
	at, scope := m.mayRunAt, m.class.Scope // at is nil if a process before this one sent it and it is unlisted
	return m.class.Effect != Keyed || m.mayRun == never || scope == ScopeDestination || at == ep ||
		scope == ScopeZone && at != nil && at.zone == ep.zone
}

// hasTurn tells whether a message is first of its key, with nothing of an earlier one still about.
func (s *Sender) hasTurn(m *message) bool {
	t := m.order
	return t.queue[0] == m && t.out == len(m.out) && (s.now >= t.rest || t.restBy == m)
}

// send makes one call of the messages.
func (s *Sender) send(ep *endpoint, msgs []*message) {
	for _, a := range s.open(ep, msgs).attempts {
		s.act(Send{ID: a.id, Endpoint: ep.id, Timeout: s.timeout(a.msg, ep), Within: s.windowLeft(a.msg)})
	}
	ep.lane.pace.onSend(s.now, s.set.Senders)
	s.spend(ep)
}

// attemptEnded takes an outcome: for its endpoint once a call, for the message always. A wait binds whoever
// it was told to, also by the later outcomes of one call.
func (s *Sender) attemptEnded(e Ended) {
	if ep := s.endpoint(e.Endpoint); ep != nil && e.Wait > 0 {
		ep.lane.pace.lapse(s.lapsedAt)
		ep.lane.pace.onWait(s.now + e.Wait)
	}
	a := s.close(e)
	if a == nil {
		return
	}
	if !a.call.judged {
		a.call.judged = true
		s.judge(a.call, e)
	}
	s.settle(a.msg, a, e)
}

func (s *Sender) streamStarted(e StreamStarted) {
	if a := s.attempts[attemptKey{e.ID, e.Attempt}]; a != nil && !a.msg.over {
		a.msg.streamed = true
		s.succeeded(a.call, s.now-a.call.sent)
		a.call.judged = true
	}
}

// scheduleWake asks to be woken when the next thing falls due.
func (s *Sender) scheduleWake() {
	next := min(s.watchAt, s.earliestDue())
	for _, d := range s.waiting {
		next = min(next, s.now+pollEvery)
		for _, ep := range d.endpoints {
			if at := s.gate(ep); ep.listed && at > s.now {
				next = min(next, at)
			}
		}
	}
	if next < s.wakeAt {
		s.wakeAt = (max(next, s.now+s.set.Tick) + time.Microsecond - 1).Truncate(time.Microsecond)
		s.act(WakeAfter{After: s.wakeAt - s.now})
	}
}
