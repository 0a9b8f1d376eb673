// This file owns the health that a sender ascribes to an endpoint: what outcomes and missing answers show
// about it, and how long the sender waits for an answer. It must never treat an endpoint that may be
// cold as healthy without a slow start.

package rules

import (
	"cmp"
	"math"
	"time"
)

const (
	outageFailures     = 4 // failures in a row that are an outage
	unresponsiveFactor = 3 // an endpoint that answers nothing for this many times lateAfter has an outage

	// An endpoint is not cold after an outage shorter than this.
	maxBriefOutage = 3 * time.Second

	// Smoothing of latency and its deviation, as in the retransmission timer of TCP (RFC 6298), except that a
	// new sample has a weight of 1/8 for the deviation too, where the RFC has 1/4.
	latencyGain             = 0.125 // weight of a new sample
	lateDeviations          = 4     // deviations above the mean at which an answer is late
	initialDeviationDivisor = 2     // the deviation starts as this part of the first sample: 1/2

	// Bounds of lateAfter.
	initialLateAfter = 2 * time.Second        // before any sample
	maxSlowness      = 2                      // it grows by at most this factor where all calls are slow
	minLateAfter     = 500 * time.Millisecond // service times have long tails
	maxLateAfter     = 8 * time.Second        // an unresponsive endpoint must be found in time even if slow

	// Time to an answer that is assumed before any sample.
	initialLatency = initialLateAfter / 4

	// Timeout of a repeatable call.
	timeoutFactor         = 5                       // in times of lateAfter
	timeoutGrowthFailures = 4                       // it grows by half for each failure in a row, up to this
	minTimeout            = 1500 * time.Millisecond // leaves time for a connect and for the service

	// After this many times lateAfter a hint is published, and the call may be cancelled if all slots
	// are in use.
	longOverdueFactor = 2

	// In a large fleet, idle connections to a kind of destination stay open once it has given this many answers:
	keepOpenAnswers             = 5  // where no connect has been refused yet
	keepOpenAnswersAfterRefusal = 60 // since a connect was refused
)

// timeout returns how long to wait for the answer to a message, 0 for no limit. Only repeatable messages
// time out; slots of the others are freed by cancelOldest. Keyed messages are among the repeatable ones: an
// answer may be lost, and the message would meanwhile block its order key and use up its deduplication
// window.
func (s *Sender) timeout(message *message, endpoint *endpointState) time.Duration {
	if message.class.Effect == AtMostOnce {
		return 0
	}
	late := s.lateAfter(endpoint, message.classIndex).Seconds()
	growth := 1 + float64(min(endpoint.consecutiveFailures, timeoutGrowthFailures))/2
	return max(seconds(late*timeoutFactor*growth), minTimeout)
}

// lateAfter returns the time after which an endpoint's answer to a call of the class is unusually late.
// Where all calls take longer than before no endpoint is at fault, and the time is longer.
func (s *Sender) lateAfter(endpoint *endpointState, class int) time.Duration {
	t := &endpoint.classHealth(class).timing
	if !t.known {
		t = &endpoint.timing
	}
	if !t.known && s.settings.Senders > SmallFleet {
		// A sender of a large fleet sees little of each endpoint, so the other endpoints stand in.
		t = &s.classTimings[class]
	}
	if !t.known {
		return initialLateAfter
	}
	slowness := min(max(s.slowness, 1), maxSlowness)
	late := seconds((t.latency + lateDeviations*t.deviation) * slowness)
	return min(max(late, minLateAfter), maxLateAfter)
}

func (t *timing) addSample(elapsed time.Duration) {
	sample := elapsed.Seconds()
	if !t.known {
		t.latency = sample
		t.deviation = sample / initialDeviationDivisor
		t.known = true
		return
	}
	t.deviation += latencyGain * (math.Abs(sample-t.latency) - t.deviation)
	t.latency += latencyGain * (sample - t.latency)
}

// assessOutcome processes what a call's outcome shows about its endpoint and limit scope.
func (s *Sender) assessOutcome(call *call, e AttemptEnded) {
	endpoint := call.endpoint
	s.endedCallEndpoints = append(s.endedCallEndpoints, endpoint)
	if e.Report.Limit > 0 {
		endpoint.limitScope.reportedLimit = e.Report.Limit
	}
	if e.Outcome == TimedOut || e.Outcome == Cancelled {
		s.emit(CloseIdle{Endpoint: endpoint.id})
	}
	switch outcome := e.Outcome; {
	case outcome == OK:
		s.onSuccess(call, e.Elapsed)
	case outcome == Refused:
		s.onRefusal(endpoint, call.sentAt, e.RetryAfter)
	case e.ConnectionLimitReached:
		s.onConnectionLimit(endpoint)
	case outcome == Cancelled && s.now-call.sentAt > s.lateAfter(endpoint, call.class()) &&
		(s.noAlternative(endpoint) || !s.scopeAnsweredSince(endpoint.limitScope, call.sentAt)):
		// Cancelled to free its slot, or as the endpoint was unresponsive: a hang shows in no other way.
		s.onFailure(endpoint, call.sentAt, TimedOut)
	case outcome == TimedOut && s.now-call.sentAt < minLateAfter:
		// The message ran out of time: this shows nothing about the endpoint.
	case outcome != Cancelled && outcome != NotSent:
		s.onFailure(endpoint, call.sentAt, outcome)
	}
	if e.Outcome != OK {
		s.resetPhase(endpoint)
	}
	if e.Outcome != OK && s.now-call.sentAt > handshakeTime {
		s.resetSiblingPhases(endpoint)
	}
	if e.Outcome == Errored || e.Outcome == TimedOut {
		s.openBreaker(call)
		s.publishHint(call)
	}
}

// onSuccess processes an answer. On probation only the answer to a call sent since probation began starts
// the slow start: an older call may have been served before the outage. For the same reason the answer to a
// call sent before the latest failed one clears no failures, or the senders would go on together.
func (s *Sender) onSuccess(call *call, elapsed time.Duration) {
	endpoint, sentAt := call.endpoint, call.sentAt
	health := call.classHealth()
	s.answersSinceConnectRefusal[endpoint.kind]++
	if !s.stalled { // after a stall the answer may have waited in this process
		s.learnLatency(call, elapsed)
	}
	health.consecutiveFailures, health.openUntil = 0, 0
	outlasted := s.suspicionOutlasted(endpoint, sentAt)
	scope := endpoint.limitScope
	acrossRestart := endpoint.outageAcrossRestart(sentAt)
	scopeSuspected := scope.countScopeAnswer(sentAt)
	if endpoint.consecutiveFailures > 0 && sentAt > endpoint.lastFailedSentAt {
		endpoint.consecutiveFailures = 0
	}
	endpoint.lastAnsweredAt, endpoint.connectRefusals, endpoint.connectNotBefore = s.now, 0, 0
	endpoint.lastAnsweredSentAt = max(endpoint.lastAnsweredSentAt, sentAt)
	endpoint.deliveredRate.add(s.now, trafficSpan, 1)
	scope.consecutiveRefusals, scope.lastAnsweredAt = 0, s.now
	scope.controller.expire(s.expiryCheckedAt)
	scope.controller.onSuccess(s.now)

	afterProbation := endpoint.health == probation && sentAt >= endpoint.healthSince
	// An endpoint that only refused, or left calls unanswered, for a brief time is not cold.
	staysWarm := endpoint.unresponsive() || endpoint.symptom == Refused
	switch {
	case afterProbation && sentAt-endpoint.failingSince < maxBriefOutage && staysWarm:
		s.setHealth(endpoint, healthy, s.now, CauseBriefOutage)
		s.brokenConnections.add(s.now, trafficSpan, 1)
	case afterProbation:
		endpoint.lastCharged = s.now
		s.setHealth(endpoint, slowStart, s.estimateReturn(call), CauseAnswered)
		s.promoteScope(endpoint)
	case outlasted || acrossRestart:
		s.slowStartAfterSuspicion(call, scopeSuspected || acrossRestart)
	case endpoint.health == slowStart && s.now-endpoint.healthSince >= s.settings.WarmUp:
		s.setHealth(endpoint, healthy, s.now, CauseWarm)
	}
}

// learnLatency adds the time to an answer to the timings of its endpoint and class.
func (s *Sender) learnLatency(call *call, elapsed time.Duration) {
	health := call.classHealth()
	if health.known {
		s.slowness += latencyGain * (elapsed.Seconds()/max(health.latency, minDivisor) - s.slowness)
	}
	call.endpoint.addSample(elapsed)
	health.addSample(elapsed)
	s.classTimings[call.class()].addSample(elapsed)
}

// onFailure processes a failed call that was sent at sentAt. A brief pause follows. Several failures in a
// row start probation, two where no other endpoint serves. This guards against any outage after which the
// endpoint is cold, and against senders that each try once more. The cost of two failures in a row by chance
// is a slow start.
func (s *Sender) onFailure(endpoint *endpointState, sentAt time.Duration, outcome Outcome) {
	if outcome == TimedOut && endpoint.answeredSince(sentAt) {
		return // a single call was lost while others are answered
	}
	// A connect that fails well before its timeout was refused.
	if outcome == ConnectError && s.now-sentAt < s.settings.ConnectTimeout/2 {
		s.answersSinceConnectRefusal[endpoint.kind] = keepOpenAnswers - keepOpenAnswersAfterRefusal
	}
	endpoint.lastFailedSentAt = max(endpoint.lastFailedSentAt, sentAt)
	if outcome == Reset {
		endpoint.lastFailedSentAt = s.now // its process has ended just now, so it was out until now
	}
	endpoint.consecutiveFailures++
	if endpoint.consecutiveFailures == 1 {
		s.recordSuspicion(endpoint, outcome, sentAt)
	}
	if endpoint.consecutiveFailures == 1 && endpoint.health == healthy {
		endpoint.failingSince = sentAt
	}
	failedLate := outcome == Reset && s.now-sentAt > handshakeTime ||
		outcome == ConnectError && s.now-sentAt > minLateAfter
	if failedLate {
		// A hang, or a time without any answer, may end for all senders at once, and a brief pause would not spread
		// out their retries.
		endpoint.consecutiveFailures = max(endpoint.consecutiveFailures, 2)
	}
	if outcome == TimedOut || failedLate {
		// Calls are also cut off as a single endpoint ends, so only one that was out for long is an outage of all.
		s.suspectScope(endpoint, sentAt, failedLate && s.now-sentAt > minLateAfter)
	}
	s.restartWarmUps(endpoint)
	s.pauseFailedEndpoints(endpoint)
	if endpoint.limitScope.consecutiveFailures >= outageFailuresOfScope {
		s.startScopeProbation(endpoint, outcome, CauseFailures)
		return
	}
	if endpoint.health != probation &&
		(endpoint.consecutiveFailures >= outageFailures ||
			endpoint.consecutiveFailures > 1 && s.noAlternative(endpoint)) {
		s.startProbation(endpoint, outcome, CauseFailures)
	}
}

// pauseFailedEndpoints begins the pause that follows a failure, for all failed endpoints of the destination.
// Each reports it, as the one that failed last may leave the list.
func (s *Sender) pauseFailedEndpoints(failed *endpointState) {
	failed.destination.retryNotBefore = s.now + s.failurePause(failed)
	for _, other := range failed.destination.endpoints {
		if other.mustWait() {
			s.touch(other)
		}
	}
}

// onConnectionLimit processes the report that an endpoint holds all the connections it can. This is no
// failure: it serves the senders that have one, and calls that end make room. The pause guards against many
// senders that keep trying. The cost is that a single sender may come late.
func (s *Sender) onConnectionLimit(endpoint *endpointState) {
	s.answersSinceConnectRefusal[endpoint.kind] = keepOpenAnswers - keepOpenAnswersAfterRefusal
	endpoint.connectRefusals = min(endpoint.connectRefusals+1, outageFailures)
	pause := endpoint.typicalLatency() * math.Exp2(float64(endpoint.connectRefusals)) * s.jitter()
	endpoint.connectNotBefore = s.now + seconds(pause)
}

// typicalLatency returns the usual time to an answer in seconds, an assumption before the first answer.
func (t *timing) typicalLatency() float64 { return cmp.Or(t.latency, initialLatency.Seconds()) }

// leaveHealthy records what is known of a healthy endpoint as a suspicion ends its health.
func (s *Sender) leaveHealthy(endpoint *endpointState, symptom Outcome) {
	if endpoint.health == healthy {
		endpoint.preOutageRate = s.measurePreOutageRate(endpoint)
		endpoint.symptom = symptom
	}
}

// startProbation puts an endpoint on probation.
func (s *Sender) startProbation(endpoint *endpointState, outcome Outcome, cause Cause) {
	s.leaveHealthy(endpoint, outcome)
	endpoint.symptom, endpoint.lastCharged, endpoint.lastFailedSentAt = outcome, s.now, s.now
	endpoint.probeInterval = s.shareInterval(endpoint)
	s.setHealth(endpoint, probation, s.now, cause)
	endpoint.lastCharged = s.randomPhase(endpoint)
	if endpoint.unresponsive() && s.settings.Senders <= SmallFleet { // probe soon, on a fresh connection
		endpoint.lastCharged -= s.callInterval(endpoint)
		s.emit(CloseIdle{Endpoint: endpoint.id})
	}
}

// unresponsive reports whether an endpoint is on probation for not answering, rather than for what it
// answered.
func (ep *endpointState) unresponsive() bool {
	return ep.symptom == TimedOut || ep.symptom == ConnectError
}

// markUnavailableUntil processes a Retry-After that is too long for a limit: the limit scope is unavailable
// until a known time, needs no probes, and is cold from then on.
func (s *Sender) markUnavailableUntil(endpoint *endpointState, until time.Duration) {
	endpoint.limitScope.controller.onRetryAfter(until)
	for other := range endpoint.scopeEndpoints() {
		if other.health == healthy {
			s.startProbation(other, Refused, CauseRetryAfter)
		}
		other.warmUpCredit = 0
		s.setHealth(other, slowStart, until, CauseRetryAfter)
		other.lastCharged = until - seconds(s.callInterval(other).Seconds()*s.rng.Float64())
	}
}

// detectUnresponsive puts endpoints on probation that answer none of the calls they have. A hang refuses
// nothing, so it shows in no other way. Fresh connections are tried first, as a single answer may have been
// lost, and they are tried sooner if fresh connections have lately brought unresponsive endpoints back.
func (s *Sender) detectUnresponsive() {
	unreliable := s.connectionsUnreliable()
	s.expiryCheckedAt = s.now
	s.overdueCalls = 0
	for _, c := range s.calls {
		inFlightFor := s.now - c.sentAt
		late := s.lateAfter(c.endpoint, c.class())
		if inFlightFor > late {
			s.openBreaker(c)
			s.overdueCalls++
		}
		if inFlightFor > longOverdueFactor*late {
			s.publishHint(c)
		}
	}
	for _, ep := range s.endpointsWithCalls() {
		late := s.lateAfter(ep, ep.calls[0].class())
		unanswered := s.unansweredFor(ep)
		if ep.health == probation || unanswered <= late || unanswered <= unresponsiveFactor*late && !unreliable {
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
			if s.scopeAnsweredSince(ep.limitScope, s.now-unanswered) {
				s.startProbation(ep, TimedOut, CauseUnresponsive)
			} else {
				s.startScopeProbation(ep, TimedOut, CauseUnresponsive)
			}
		}
	}
}

// connectionsUnreliable reports whether fresh connections have lately brought unresponsive endpoints back,
// so that old connections may be broken.
func (s *Sender) connectionsUnreliable() bool {
	return s.brokenConnections.perSecond(s.now, trafficSpan) > 1/trafficSpan.Seconds()
}

// closeIdleConnections closes connections as they become idle, in a large fleet and until a kind of
// destination has shown that it accepts new ones. Idle connections use up an endpoint's connection limit, and
// the senders that hold them are never refused. The cost is handshakes. Nothing is closed while calls to the
// endpoint are in flight.
func (s *Sender) closeIdleConnections() {
	for _, ep := range s.endedCallEndpoints {
		if s.connectionsScarce(ep) && len(ep.calls) == 0 {
			s.emit(CloseIdle{Endpoint: ep.id})
		}
	}
	s.endedCallEndpoints = s.endedCallEndpoints[:0]
}

// renewConnections cancels the calls that an endpoint left unanswered and that may be sent again, so that
// they go out on a fresh connection. This guards against broken connections that went unnoticed. Where the
// endpoint is merely slow, the cost is the work it has begun.
func (s *Sender) renewConnections(endpoint *endpointState) {
	for _, c := range endpoint.calls {
		effect := c.attempts[0].message.class.Effect
		if effect == Safe || effect == Keyed && s.connectionsUnreliable() {
			s.cancelCall(c)
		}
	}
	s.emit(CloseIdle{Endpoint: endpoint.id})
}
