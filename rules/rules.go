// This file owns the step of a sender, the order of its parts, and maySend, the one guard that every call
// passes. It must never let a call bypass maySend. The interface (settings, events, actions) is in api.go.
//
// The other decisions are split by subject: the AIMD rate in ratecontrol.go, slow start in slowstart.go, what
// a single failure means in suspicion.go and for endpoints that share a limit in limitscope.go, health in
// health.go and breaker.go, the order of work in scheduling.go, and the ends of messages in answers.go.

package rules

import (
	"math"
	"time"
)

// Tuned values that hold for every deployment. What differs between deployments is in Settings.
const (
	// Time constant of the decaying rates of arrivals, deliveries and broken connections; about as long as an
	// outage lasts.
	trafficSpan = 10 * time.Second

	// What is known of an endpoint is dropped this long after discovery has removed it.
	goneRetention = 30 * time.Second

	pollInterval = 250 * time.Millisecond // longest time between steps while messages are held
	never        = time.Duration(math.MaxInt64)

	minDivisor = 1e-3 // seconds, or calls a second; smaller divisors are raised to it, to keep quotients finite

	// No call is made for a message with less time left: over a slow way it could arrive after the end.
	lateCallMargin = 50 * time.Millisecond

	// A failed watch is retried after this part of the watch interval, with jitter.
	watchRetryDivisor = 8
)

// Step processes the events that have come in and returns the actions to take now.
func (s *Sender) Step(now time.Duration, events []Event) []Action {
	s.now = now
	s.actions = nil
	s.stalled = now-s.wakeAt > minLateAfter
	s.startedAt = min(s.startedAt, now)
	if now >= s.wakeAt {
		s.wakeAt = never
	}
	for _, e := range events {
		s.handleEvent(e)
	}
	// Only after all events, as what follows from restored failures holds for all messages that arrive together.
	// Set by the first of them alone, it could outlast the deadlines of the others in a large fleet.
	for _, e := range events {
		if a, arrived := e.(Arrived); arrived {
			s.restorePriorAttempts(a)
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
	s.reportHardStates()
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
	case AttemptConfirmed:
		s.onAttemptConfirmed(e)
	case StreamStarted:
		s.onStreamStarted(e)
	case ListUpdate:
		s.onListUpdate(e)
	case HintReceived:
		s.onHint(e.Hint)
	case RestoredState:
		s.restoreHardState(e.HardState)
	case DiscoveryFailed:
		if s.settings.WatchesRegistry { // the watch may have failed for all senders at once, hence the jitter
			s.watchAt = s.now + seconds(s.settings.WatchInterval.Seconds()/watchRetryDivisor*s.jitter())
		}
	}
}

// jitter returns a random factor from 0.5 to 1.5, so that senders which wait for the same reason do not all
// go on at once.
func (s *Sender) jitter() float64 { return 0.5 + s.rng.Float64() }

// maySend is the guard that every send passes. It enforces the rules whatever the plan proposes.
func (s *Sender) maySend(message *message, endpoint *endpointState) bool {
	mayNow := s.now >= message.notBefore && !message.done() && len(message.inFlight) == 0 &&
		s.now < s.answerDeadline(message)-lateCallMargin && !s.exhausted(message)
	return mayNow && !s.unavailable(endpoint) && endpoint.destination == message.destination &&
		withinDedupScope(message, endpoint) && (message.orderQueue == nil || s.nextInOrder(message))
}

// unavailable reports whether no call may reach an endpoint: it drains, is gone, or a Retry-After holds for
// its limit scope.
func (s *Sender) unavailable(endpoint *endpointState) bool {
	return !endpoint.inService || s.now < endpoint.limitScope.controller.notBefore
}

// recallUnavailable recalls earlier calls to endpoints that have become unavailable, as far as they are not
// fully written: their connection may only be established after the time that a drain or a Retry-After allows
// for calls on the way. The cost is connections that are opened for nothing.
func (s *Sender) recallUnavailable() {
	for _, c := range s.calls {
		if s.unavailable(c.endpoint) {
			s.recallCall(c)
		}
	}
}

// withinDedupScope reports whether a message that may have run is within the scope of its deduplication
// key at an endpoint. The time window of the key is checked by exhausted.
func withinDedupScope(message *message, endpoint *endpointState) bool {
	// Nil if an earlier process sent the message to an endpoint that is no longer listed.
	mayHaveRunOn := message.mayHaveRunOn
	scope := message.class.Scope
	return message.class.Effect != Keyed || message.mayHaveRunSince == never || scope == DedupDestination ||
		mayHaveRunOn == endpoint ||
		scope == DedupZone && mayHaveRunOn != nil && mayHaveRunOn.zone == endpoint.zone
}

// nextInOrder reports whether a message is the first of its order key and no earlier one of the key is
// still in flight or may still run.
func (s *Sender) nextInOrder(message *message) bool {
	queue := message.orderQueue
	return queue.messages[0] == message && queue.inFlight == len(message.inFlight) &&
		(s.now >= queue.pausedUntil || queue.pausedBy == message)
}

// send makes one call that carries the messages.
func (s *Sender) send(endpoint *endpointState, messages []*message) {
	attempts := s.openCall(endpoint, messages).attempts
	lastUse := s.connectionsScarce(endpoint) && !endpoint.destination.hasWaiting()
	for _, a := range attempts {
		s.emit(Send{ID: a.id, Endpoint: endpoint.id, Timeout: s.timeout(a.message, endpoint),
			WriteWithin: s.windowLeft(a.message), LastUse: lastUse})
	}
	s.recordLimitedCall(endpoint)
	endpoint.limitScope.controller.onSend(s.now, s.settings.Senders)
	s.chargeCall(endpoint)
	s.touch(endpoint)
}

// onAttemptEnded processes an outcome: for its endpoint only the first of each call, for its message every
// one. A Retry-After binds the limit scope that returned it, also if a later outcome of the same call
// brings it.
func (s *Sender) onAttemptEnded(e AttemptEnded) {
	s.onRetryAfter(e.Endpoint, e.RetryAfter)
	a := s.closeAttempt(e)
	if a == nil {
		return
	}
	if !a.call.assessed {
		a.call.assessed = true
		s.assessOutcome(a.call, e)
		s.touch(a.call.endpoint)
	}
	if _, unconfirmed := s.unconfirmed[attemptKey{e.ID, e.Attempt}]; !unconfirmed {
		s.settleMessage(a.message, a, e)
	}
}

// onRetryAfter makes a Retry-After, 0 for none, bind the limit scope of the endpoint that returned it.
func (s *Sender) onRetryAfter(id EndpointID, retryAfter time.Duration) {
	if endpoint := s.endpoint(id); endpoint != nil && retryAfter > 0 {
		endpoint.limitScope.controller.expire(s.expiryCheckedAt)
		endpoint.limitScope.controller.onRetryAfter(s.now + retryAfter)
	}
}

// onAttemptConfirmed decides what happens to a message whose attempt was unconfirmed. If its response was
// perhaps another call's, the attempt counts as one without a response: it may have run.
func (s *Sender) onAttemptConfirmed(e AttemptConfirmed) {
	s.onRetryAfter(e.Endpoint, e.RetryAfter)
	u, found := s.takeUnconfirmed(e)
	if !found {
		return
	}
	if e.MayHaveRun {
		u.ended.Outcome = Reset
	}
	s.closeForMessage(u.attempt, u.ended)
	s.settleMessage(u.attempt.message, u.attempt, u.ended)
}

func (s *Sender) onStreamStarted(e StreamStarted) {
	if a := s.attempts[attemptKey{e.ID, e.Attempt}]; a != nil && !a.message.finished {
		a.message.streamed = true
		s.onSuccess(a.call, s.now-a.call.sentAt)
		s.touch(a.call.endpoint)
		a.call.assessed = true
	}
}

// scheduleWakeUp asks for a wake-up when the next thing falls due.
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
		// Rounded up to a whole microsecond, or the wake-up would come too early.
		s.wakeAt = (max(next, s.now+s.settings.Tick) + time.Microsecond - 1).Truncate(time.Microsecond)
		s.emit(WakeAfter{After: s.wakeAt - s.now})
	}
}
