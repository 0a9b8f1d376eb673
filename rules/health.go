package rules

import (
	"cmp"
	"math"
	"time"
)

// This file owns what a sender takes an endpoint for: what outcomes and silence say of it, and how long
// it waits for an answer.

const (
	outageFailures     = 4               // failures in a row that are an outage
	unresponsiveFactor = 3               // late-answer times of silence that are an outage
	maxBriefOutage     = 3 * time.Second // trouble shorter than this leaves nothing cold
	latencyGain        = 0.125           // weight of a new latency sample
	initialLateAfter   = 2 * time.Second // late-answer time before any sample
	maxSlowness        = 2               // times that late grows where all calls are slow
	// least late-answer time: service times have long tails
	minLateAfter = 500 * time.Millisecond
	// most: a slow endpoint must still be found silent in time
	maxLateAfter      = 8 * time.Second
	timeoutFactor     = 5                       // time-out of a repeatable call, in late-answer times
	longOverdueFactor = 2                       // the same with all slots taken
	minTimeout        = 1500 * time.Millisecond // least such time-out: a connect and a service time
	// answers since a connect was turned away; then they stay open
	keepOpenAnswersAfterRefusal = 60
	keepOpenAnswers             = 5 // the same where none was turned away yet
)

// timeout is how long to wait on a call. Only what may be sent again is timed out; freeSlot frees slots. A
// keyed one among it: its answer may be lost, and meanwhile it holds its key's turn and uses up its window.
func (s *Sender) timeout(m *message, ep *endpointState) time.Duration {
	if m.class.Effect == AtMostOnce {
		return 0
	}
	late := s.lateAfter(ep, m.classIndex).Seconds()
	return max(seconds(late*timeoutFactor*(1+float64(min(ep.consecutiveFailures, 4))/2)), minTimeout)
}

// lateAfter is the time after which an answer of the endpoint to a call of the class is unusually late.
// Where all calls take longer than they did, it is no endpoint's fault, and later is usual.
func (s *Sender) lateAfter(ep *endpointState, class int) time.Duration {
	t := &ep.classHealth(class).timing
	if !t.known {
		t = &ep.timing
	}
	if !t.known && s.settings.Senders > smallFleet { // it sees little: go by what it sees elsewhere
		t = &s.classTimings[class]
	}
	if !t.known {
		return initialLateAfter
	}
	return min(max(seconds((t.latency+4*t.spread)*min(max(s.slowness, 1), maxSlowness)), minLateAfter),
		maxLateAfter)
}

func (t *timing) addSample(elapsed time.Duration) {
	x := elapsed.Seconds()
	if !t.known {
		t.latency, t.spread, t.known = x, x/2, true
		return
	}
	t.spread += latencyGain * (math.Abs(x-t.latency) - t.spread)
	t.latency += latencyGain * (x - t.latency)
}

// judge takes what a call's outcome says of its endpoint and lane.
func (s *Sender) assessOutcome(c *call, e AttemptEnded) {
	ep := c.endpoint
	s.endedCallEndpoints = append(s.endedCallEndpoints, ep)
	if e.Report.Limit > 0 {
		ep.limitScope.reportedLimit = e.Report.Limit
	}
	if e.Outcome == TimedOut || e.Outcome == Cancelled {
		s.emit(CloseIdle{Endpoint: ep.id})
	}
	switch o := e.Outcome; {
	case o == OK:
		s.onSuccess(c, e.Elapsed)
	case o == Refused:
		s.onRefusal(ep, c.sentAt, e.RetryAfter)
	case e.ConnectionLimitReached:
		s.onConnectionLimit(ep)
	case o == Cancelled && s.now-c.sentAt > s.lateAfter(ep, c.class()) && s.noAlternative(ep) &&
		s.treatsAsOutage():
		s.onFailure(ep, c.sentAt, TimedOut) // given up for its slot, or for silence: no more is learned of a hang
	case o == TimedOut && s.now-c.sentAt < minLateAfter && s.treatsAsOutage():
		// its message's time was up: nothing is learned of the endpoint
	case o != Cancelled && o != NotSent:
		s.onFailure(ep, c.sentAt, o)
	}
	if e.Outcome != OK {
		s.resetPhase(ep)
	}
	if e.Outcome == Errored || e.Outcome == TimedOut {
		s.openBreaker(c)
		s.publishHint(c)
	}
}

// succeeded takes an answer. In probation only one to a call sent since it began starts the ramp: older ones
// may have been served before the outage. For the same reason one to a call no younger than the last that
// failed takes back no failure, of many senders: they would go on together.
func (s *Sender) onSuccess(c *call, elapsed time.Duration) {
	ep, sent, v := c.endpoint, c.sentAt, c.classHealth()
	s.answersSinceConnectRefusal[ep.kind]++
	if !s.stalled { // else the answer may have lain here
		if v.known {
			s.slowness += latencyGain * (elapsed.Seconds()/max(v.latency, 1e-3) - s.slowness)
		}
		ep.addSample(elapsed)
		v.addSample(elapsed)
		s.classTimings[c.class()].addSample(elapsed)
	}
	v.consecutiveFailures, v.openUntil = 0, 0
	outlasted := s.suspicionOutlasted(ep, sent)
	if ep.consecutiveFailures > 0 && (sent > ep.lastFailedSentAt || !s.treatsAsOutage()) {
		ep.consecutiveFailures = 0
	}
	ep.lastAnsweredAt, ep.connectRefusals, ep.connectNotBefore = s.now, 0, 0
	ep.lastAnsweredSentAt = max(ep.lastAnsweredSentAt, sent)
	ep.deliveredRate.add(s.now, trafficSpan, 1)
	ep.limitScope.consecutiveRefusals, ep.limitScope.lastAnsweredAt = 0, s.now
	ep.limitScope.controller.expire(s.expiryCheckedAt)
	ep.limitScope.controller.onSuccess(s.now)
	cures := ep.unresponsive() || ep.symptom == Refused // silence and refusals ended soon leave nothing cold
	switch {
	case ep.health == probation && sent >= ep.healthSince && sent-ep.failingSince < maxBriefOutage && cures:
		s.setHealth(ep, healthy, s.now, CauseBriefOutage)
		s.brokenConnections.add(s.now, trafficSpan, 1)
	case ep.health == probation && sent >= ep.healthSince:
		ep.lastCharged = s.now
		s.setHealth(ep, slowStart, s.estimateReturn(ep, sent), CauseAnswered)
		s.promoteScope(ep)
	case outlasted:
		s.slowStartAfterSuspicion(ep, sent)
	case ep.health == slowStart && s.now-ep.healthSince >= s.settings.WarmUp:
		s.setHealth(ep, healthy, s.now, CauseWarm)
	}
}

// failed takes a failure. A brief pause follows; several, of many senders two, start probation. Guards
// against any outage with a cold return, and many senders each trying once more; a chance run costs a slow
// start.
func (s *Sender) onFailure(ep *endpointState, sent time.Duration, why Outcome) {
	if why == TimedOut && s.laterAnswered(ep, sent) {
		return // one call lost where others are answered
	}
	if why == ConnectError && s.now-sent < s.settings.ConnectTimeout/2 {
		s.answersSinceConnectRefusal[ep.kind] = keepOpenAnswers - keepOpenAnswersAfterRefusal
	}
	ep.lastFailedSentAt = max(ep.lastFailedSentAt, sent)
	if ep.consecutiveFailures++; ep.consecutiveFailures == 1 && ep.health == healthy {
		ep.failingSince = sent
	}
	late := why == Reset && s.now-sent > handshakeTime || why == ConnectError && s.now-sent > minLateAfter
	if late && s.treatsAsOutage() {
		// a hang or a silence may end for all at once: a brief pause spreads nothing
		ep.consecutiveFailures = max(ep.consecutiveFailures, 2)
	}
	if ep.health == slowStart && s.treatsAsOutage() {
		s.restartWarmUp(ep)
	}
	ep.destination.retryNotBefore = s.now + s.failurePause(ep)
	if ep.health != probation &&
		(ep.consecutiveFailures >= outageFailures ||
			ep.consecutiveFailures > 1 && s.noAlternative(ep) && s.treatsAsOutage()) {
		s.startProbation(ep, why, CauseFailures)
	}
}

// connectionLimitReached takes the word that an endpoint holds all the connections it can, which is no
// failure: it serves who has one, and calls free places. Guards against many senders that try all the time;
// may be late for one.
func (s *Sender) onConnectionLimit(ep *endpointState) {
	s.answersSinceConnectRefusal[ep.kind] = keepOpenAnswers - keepOpenAnswersAfterRefusal
	ep.connectRefusals = min(ep.connectRefusals+1, outageFailures)
	pause := ep.typicalLatency() * math.Exp2(float64(ep.connectRefusals)) * (0.5 + s.rng.Float64())
	ep.connectNotBefore = s.now + seconds(pause)
}

// usually is the time to an answer, in seconds, a guess before the first.
func (t *timing) typicalLatency() float64 { return cmp.Or(t.latency, initialLateAfter.Seconds()/4) }

// suspend puts an endpoint on probation.
func (s *Sender) startProbation(ep *endpointState, why Outcome, cause Cause) {
	if ep.health == healthy {
		ep.preOutageRate = s.measurePreOutageRate(ep)
		ep.lastFailedSentAt = s.now
	}
	ep.symptom, ep.lastCharged = why, s.now
	ep.probeInterval = s.shareInterval(ep)
	s.setHealth(ep, probation, s.now, cause)
	ep.lastCharged = s.randomPhase(ep)
	if ep.unresponsive() && s.settings.Senders <= smallFleet { // a probe soon, on a fresh connection
		ep.lastCharged -= s.callInterval(ep)
		s.emit(CloseIdle{Endpoint: ep.id})
	}
}

// unanswered tells whether an endpoint is on probation for silence, not for what it answered.
func (ep *endpointState) unresponsive() bool {
	return ep.symptom == TimedOut || ep.symptom == ConnectError
}

// opensAt takes the word that a destination is shut until then: it needs no trials, and is cold from then
// on.
func (s *Sender) markUnavailableUntil(ep *endpointState, at time.Duration) {
	ep.limitScope.controller.onRetryAfter(at)
	for _, o := range ep.destination.endpoints {
		if o.limitScope == ep.limitScope {
			if o.health == healthy {
				s.startProbation(o, Refused, CauseRetryAfter)
			}
			s.setHealth(o, slowStart, at, CauseRetryAfter)
			o.lastCharged = at - seconds(s.callInterval(o).Seconds()*s.rng.Float64())
		}
	}
}

// detectUnresponsive puts endpoints on probation that answer nothing of what they have. A hang never
// refuses. Fresh connections come first, as one answer may be lost, and sooner where they have lately cured
// silence.
func (s *Sender) detectUnresponsive() {
	dying := s.connectionsUnreliable()
	s.expiryCheckedAt, s.overdueCalls = s.now, 0
	for _, c := range s.calls {
		out, late := s.now-c.sentAt, s.lateAfter(c.endpoint, c.class())
		if out > late {
			s.openBreaker(c)
			s.overdueCalls++
		}
		if out > longOverdueFactor*late {
			s.publishHint(c)
		}
	}
	for _, ep := range s.endpointsWithCalls() {
		late, quiet := s.lateAfter(ep, ep.calls[0].class()), s.unansweredFor(ep)
		if ep.health == probation || quiet <= late || quiet <= unresponsiveFactor*late && !dying {
			continue
		}
		if ep.health == healthy {
			ep.failingSince = max(ep.lastAnsweredAt, ep.calls[0].sentAt)
		}
		if ep.connectionsRenewedAt <= ep.lastAnsweredAt {
			ep.connectionsRenewedAt = s.now
			s.renewConnections(ep)
		} else if s.now-ep.connectionsRenewedAt > late {
			s.renewConnections(ep)
			s.startProbation(ep, TimedOut, CauseUnresponsive)
		}
	}
}

// dying tells whether fresh connections have lately cured silence, so that old ones are not to be trusted.
func (s *Sender) connectionsUnreliable() bool {
	return s.brokenConnections.perSecond(s.now, trafficSpan) > 1/trafficSpan.Seconds()
}

// yieldConnections closes connections as they fall idle in a crowd, until connects are proven at a kind:
// idle ones fill tables, and holders are never turned away. Costs handshakes. With calls out, one may be in
// use.
func (s *Sender) closeIdleConnections() {
	for _, ep := range s.endedCallEndpoints {
		if s.connectionsScarce(ep) && len(ep.calls) == 0 {
			s.emit(CloseIdle{Endpoint: ep.id})
		}
	}
	s.endedCallEndpoints = s.endedCallEndpoints[:0]
}

// withdraw calls off what an endpoint left unanswered and may be sent again, to go out on a fresh
// connection. Guards against connections that died unnoticed; where the endpoint is merely slow it wastes
// work begun.
func (s *Sender) renewConnections(ep *endpointState) {
	for _, c := range ep.calls {
		effect := c.attempts[0].message.class.Effect
		if effect == Safe || effect == Keyed && s.connectionsUnreliable() {
			s.cancelCall(c)
		}
	}
	s.emit(CloseIdle{Endpoint: ep.id})
}
