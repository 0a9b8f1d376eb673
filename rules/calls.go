package rules

import (
	"slices"
	"time"
)

// This file owns the bookkeeping of calls and their attempts: how they are opened, closed, cancelled and recalled. It
// must make no decisions.

// openCall records a call with the given messages to an endpoint.
func (s *Sender) openCall(ep *endpointState, msgs []*message) *call {
	c := &call{endpoint: ep, sentAt: s.now, chargedBefore: ep.lastCharged, openAttempts: len(msgs)}
	for _, m := range msgs {
		a := &attempt{id: m.id, number: m.attemptCount + m.recalls, call: c, message: m}
		m.attemptCount++
		if m.group != nil {
			s.dequeue(m)
		}
		if m.inFlight = append(m.inFlight, a); len(m.inFlight) == 1 {
			m.destination.inFlight++
		}
		if m.orderQueue != nil {
			m.orderQueue.inFlight++
		}
		c.attempts = append(c.attempts, a)
		s.attempts[attemptKey{a.id, a.number}] = a
	}
	if s.now-ep.lastUsed > s.settings.KeepAlive {
		ep.peakCalls = 0
	}
	ep.calls = append(ep.calls, c)
	ep.limitScope.inFlight++
	s.calls = append(s.calls, c)
	ep.peakCalls, ep.lastUsed = max(ep.peakCalls, len(ep.calls)), s.now
	return c
}

// closeAttempt records the outcome of an attempt and returns the attempt. It returns nil if the attempt is not known or
// already has an outcome.
func (s *Sender) closeAttempt(e AttemptEnded) *attempt {
	key := attemptKey{e.ID, e.Attempt}
	a := s.attempts[key]
	if a == nil {
		return nil
	}
	delete(s.attempts, key)
	if e.Unconfirmed && !a.message.finished {
		s.unconfirmed[key] = unconfirmedAttempt{a, e}
	} else {
		s.closeForMessage(a, e)
	}
	c := a.call
	if c.openAttempts--; c.openAttempts == 0 {
		c.endpoint.calls = without(c.endpoint.calls, c)
		c.endpoint.limitScope.inFlight--
		s.calls = without(s.calls, c)
	}
	return a
}

// closeForMessage records for the message of an attempt that it has ended. Until then the message is in flight.
func (s *Sender) closeForMessage(a *attempt, e AttemptEnded) {
	m := a.message
	if m.inFlight = without(m.inFlight, a); len(m.inFlight) == 0 && !m.finished {
		m.destination.inFlight--
	}
	if e.Recalled {
		m.attemptCount--
		m.recalls++
	}
	if m.orderQueue != nil {
		m.orderQueue.inFlight--
		if e.Outcome == TimedOut || e.Outcome == Reset || e.Outcome == Cancelled {
			m.orderQueue.pausedUntil, m.orderQueue.pausedBy = s.now+s.settings.OrderPause, m
		}
	}
}

// takeUnconfirmed returns the attempt of an event that was unconfirmed, and removes it; false if there is none.
func (s *Sender) takeUnconfirmed(e AttemptConfirmed) (unconfirmedAttempt, bool) {
	key := attemptKey{e.ID, e.Attempt}
	u, found := s.unconfirmed[key]
	delete(s.unconfirmed, key)
	return u, found
}

// cancelCall cancels the attempts of a call that are in flight; c may be nil.
func (s *Sender) cancelCall(c *call) {
	if c == nil || c.cancelled || !s.settings.MayCancel {
		return
	}
	c.cancelled = true
	s.emitForOpenAttempts(c, func(id MessageID, number int) Action { return Cancel{ID: id, Attempt: number} })
}

// recallCall recalls a call. It does so once for each call.
func (s *Sender) recallCall(c *call) {
	if !c.recalled {
		c.recalled = true
		s.emitForOpenAttempts(c, func(id MessageID, number int) Action { return Recall{ID: id, Attempt: number} })
	}
}

// emitForOpenAttempts emits an action for each attempt of a call that is in flight and whose answer has not begun.
func (s *Sender) emitForOpenAttempts(c *call, action func(MessageID, int) Action) {
	for _, a := range c.attempts {
		if s.attempts[attemptKey{a.id, a.number}] == a && !a.message.streamed {
			s.emit(action(a.id, a.number))
		}
	}
}

// endpointsWithCalls returns the endpoints that have calls in flight, in the order of compareEndpoints. The result is
// valid until the next call.
func (s *Sender) endpointsWithCalls() []*endpointState {
	s.callEndpoints = s.callEndpoints[:0]
	for _, c := range s.calls {
		if c.endpoint.calls[0] == c {
			s.callEndpoints = append(s.callEndpoints, c.endpoint)
		}
	}
	slices.SortFunc(s.callEndpoints, compareEndpoints)
	return s.callEndpoints
}

// unansweredFor returns how long an endpoint with calls in flight has not answered, and 0 for one without.
func (s *Sender) unansweredFor(ep *endpointState) time.Duration {
	if len(ep.calls) == 0 {
		return 0
	}
	return s.now - max(ep.lastAnsweredAt, ep.calls[0].sentAt)
}
