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
	trafficSpan   = 10 * time.Second       // span of delivered rates, shares and cures; an outage's length
	goneRetention = 30 * time.Second       // an endpoint gone this long: nothing known of it counts any more
	pollInterval  = 250 * time.Millisecond // wake-ups while anything waits
	never         = time.Duration(math.MaxInt64)
)

// Step takes what has come in and returns what to do about it now.
func (s *Sender) Step(now time.Duration, events []Event) []Action {
	s.now, s.actions, s.stalled = now, nil, now-s.wakeAt > minLateAfter
	s.startedAt = min(s.startedAt, now)
	if now >= s.wakeAt {
		s.wakeAt = never
	}
	for _, e := range events {
		s.handleEvent(e)
	}
	for _, e := range events {
		if a, arrived := e.(Arrived); arrived && a.Prior.indicatesOutage() {
			s.restoreFailures(a) // by all that has come: the first alone makes a rate that outlasts the others
		}
	}
	if s.now >= s.watchAt {
		s.watchAt = never
		s.emit(Watch{})
	}
	s.recallUnavailable()
	s.finishDue()
	s.detectUnresponsive()
	s.expireSuspicions()
	s.dispatch()
	s.shed()
	s.closeIdleConnections()
	s.evict()
	s.scheduleWakeUp()
	s.deactivateIdle()
	return s.actions
}

func (s *Sender) handleEvent(e Event) {
	switch e := e.(type) {
	case Arrived:
		s.accept(e)
	case Withdrawn:
		s.forget(s.held[e.ID])
	case ShuttingDown:
		s.shutdownAt = s.now + e.After
	case AttemptEnded:
		s.onAttemptEnded(e)
	case StreamStarted:
		s.onStreamStarted(e)
	case ListUpdate:
		s.onListUpdate(e)
	case HintReceived:
		s.onHint(e.Hint)
	case RememberedOutage:
		s.restoreOutage(e)
	case DiscoveryFailed:
		if s.settings.WatchesRegistry { // ask again soon, spread out: all senders may have failed at once
			s.watchAt = s.now + seconds(s.settings.WatchInterval.Seconds()/8*(0.5+s.rng.Float64()))
		}
	}
}

// maySend is the guard that every send passes; it holds the rules, whatever the plan says.
func (s *Sender) maySend(m *message, ep *endpointState) bool {
	mayNow := s.now >= m.notBefore && !m.done() && len(m.inFlight) == 0 && s.now < s.answerDeadline(m) &&
		!s.exhausted(m)
	return mayNow && !s.unavailable(ep) && ep.destination == m.destination && withinDedupScope(m, ep) &&
		(m.orderQueue == nil || s.nextInOrder(m))
}

// closed tells whether nothing may reach an endpoint: it drains, is gone, or its lane was told to wait.
func (s *Sender) unavailable(ep *endpointState) bool {
	return !ep.inService || s.now < ep.limitScope.controller.notBefore
}

// callBack holds that for calls decided before, as far as they are not written yet: a connection may come up
// later than the slack of a drain or a wait. Costs those that come up for nothing.
func (s *Sender) recallUnavailable() {
	for _, c := range s.calls {
		if s.unavailable(c.endpoint) {
			s.recallCall(c)
		}
	}
}

// keyHolds tells whether a message that may have run is in the scope of its key at ep; spent has the window.
func withinDedupScope(m *message, ep *endpointState) bool {
	// at is nil if a process before this one sent it and it is unlisted
	at, scope := m.mayHaveRunOn, m.class.Scope
	return m.class.Effect != Keyed || m.mayHaveRunSince == never || scope == DedupDestination || at == ep ||
		scope == DedupZone && at != nil && at.zone == ep.zone
}

// hasTurn tells whether a message is first of its key, with nothing of an earlier one still about.
func (s *Sender) nextInOrder(m *message) bool {
	t := m.orderQueue
	return t.messages[0] == m && t.inFlight == len(m.inFlight) && (s.now >= t.pausedUntil || t.pausedBy == m)
}

// send makes one call of the messages.
func (s *Sender) send(ep *endpointState, msgs []*message) {
	for _, a := range s.openCall(ep, msgs).attempts {
		s.emit(Send{ID: a.id, Endpoint: ep.id, Timeout: s.timeout(a.message, ep),
			WriteWithin: s.windowLeft(a.message)})
	}
	ep.limitScope.controller.onSend(s.now, s.settings.Senders)
	s.chargeCall(ep)
}

// attemptEnded takes an outcome: for its endpoint once a call, for the message always. A wait binds whoever
// it was told to, also by the later outcomes of one call.
func (s *Sender) onAttemptEnded(e AttemptEnded) {
	if ep := s.endpoint(e.Endpoint); ep != nil && e.RetryAfter > 0 {
		ep.limitScope.controller.expire(s.expiryCheckedAt)
		ep.limitScope.controller.onRetryAfter(s.now + e.RetryAfter)
	}
	a := s.closeAttempt(e)
	if a == nil {
		return
	}
	if !a.call.assessed {
		a.call.assessed = true
		s.assessOutcome(a.call, e)
	}
	s.settleMessage(a.message, a, e)
}

func (s *Sender) onStreamStarted(e StreamStarted) {
	if a := s.attempts[attemptKey{e.ID, e.Attempt}]; a != nil && !a.message.finished {
		a.message.streamed = true
		s.onSuccess(a.call, s.now-a.call.sentAt)
		a.call.assessed = true
	}
}

// scheduleWake asks to be woken when the next thing falls due.
func (s *Sender) scheduleWakeUp() {
	next := min(s.watchAt, s.earliestDue())
	for _, d := range s.backlogged {
		next = min(next, s.now+pollInterval)
		for _, ep := range d.endpoints {
			if at := s.earliestSend(ep); ep.inService && at > s.now {
				next = min(next, at)
			}
		}
	}
	if next < s.wakeAt {
		s.wakeAt = (max(next, s.now+s.settings.Tick) + time.Microsecond - 1).Truncate(time.Microsecond)
		s.emit(WakeAfter{After: s.wakeAt - s.now})
	}
}
