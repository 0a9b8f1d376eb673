// This file owns suspicion: how a sender treats an endpoint whose latest outcome is a failure, as long as
// it does not consider the endpoint down. Each waits briefly and then lets a single call find out. Suspicion
// ends with an answer to a later call, or with probation. It must never let the senders go on at the same
// moment, however few they are.

package rules

import (
	"slices"
	"time"
)

const (
	// Pause after a failure for each sender beyond a small fleet: the senders must not all retry at once.
	pausePerSender = 5 * time.Millisecond

	// A longer pause would move the first retries of an outage to the moment at which it ends.
	maxFailurePause = 200 * time.Millisecond

	// The pause is longer by this factor while another endpoint of the destination serves.
	alternativePauseFactor = 8

	// A failure that no call has followed up this long after its pause counts as two.
	followUpGrace = 100 * time.Millisecond
)

// failurePause returns how long the failed endpoints of a destination are left alone while it is not known
// whether they are down.
func (s *Sender) failurePause(endpoint *endpointState) time.Duration {
	pause := min(pausePerSender*time.Duration(max(s.settings.Senders-SmallFleet, 0)), maxFailurePause)
	alternative := slices.ContainsFunc(endpoint.destination.endpoints, func(other *endpointState) bool {
		return other.inService && !other.mustWait()
	})
	if alternative {
		pause *= alternativePauseFactor
	}
	return seconds(pause.Seconds() * s.jitter())
}

// awaitsConfirmation reports whether a suspected endpoint, or its limit scope, has a call in flight whose
// outcome will show whether it is down, so that others wait for it. This keeps a backlog from leaving all at
// once when a pause ends. Where answers are slow, the cost is that the backlog leaves late.
func (s *Sender) awaitsConfirmation(endpoint *endpointState) bool {
	if endpoint.health != healthy {
		return false
	}
	return endpoint.consecutiveFailures > 0 && len(endpoint.calls) > 0 ||
		endpoint.limitScope.suspected() && endpoint.followUpCalls() > 0
}

// expireSuspicions puts endpoints on probation whose latest outcome is a failure that no call has followed
// up in time. A brief pause spreads out calls that follow failures as these happen. It does not spread out
// calls that had to wait for a slot or a message: they would leave from many senders at the same moment, as
// slots become free by what ends for all senders at once.
func (s *Sender) expireSuspicions() {
	for _, d := range s.backlogged {
		for _, ep := range d.endpoints {
			notFollowedUp := ep.mustWait() && ep.health == healthy &&
				s.now > d.retryNotBefore+followUpGrace && len(ep.calls) == 0 && ep.followUpCalls() == 0
			if notFollowedUp && s.noAlternative(ep) {
				ep.inheritFailingSince()
				s.startProbation(ep, TimedOut, CauseFailures)
			}
		}
	}
}

// suspicionOutlasted reports whether the answer to a call sent at sentAt ends a suspicion that lasted too
// long for a chance failure, or one during slow start. The endpoint may then be cold.
func (s *Sender) suspicionOutlasted(endpoint *endpointState, sentAt time.Duration) bool {
	failingSince, lastFailedSentAt := never, time.Duration(0)
	if endpoint.consecutiveFailures > 0 {
		failingSince, lastFailedSentAt = endpoint.failingSince, endpoint.lastFailedSentAt
	}
	if scope := endpoint.limitScope; scope.suspected() {
		failingSince = min(failingSince, scope.failingSince)
		lastFailedSentAt = max(lastFailedSentAt, scope.lastFailedSentAt)
	}
	if !endpoint.mustWait() || sentAt <= lastFailedSentAt || endpoint.health == probation {
		return false
	}
	return endpoint.health == slowStart || sentAt-failingSince >= maxBriefOutage && s.noAlternative(endpoint)
}

// slowStartAfterSuspicion begins the slow start that follows such a suspicion, anew if one is under way. If
// the limit scope was suspected, all its endpoints begin theirs.
func (s *Sender) slowStartAfterSuspicion(answered *call, scopeSuspected bool) {
	endpoint := answered.endpoint
	if scopeSuspected {
		endpoint.lastFailedSentAt = max(endpoint.lastFailedSentAt, endpoint.limitScope.lastFailedSentAt)
	}
	s.leaveHealthy(endpoint, TimedOut)
	endpoint.lastCharged = s.now
	since := max(endpoint.healthSince, s.estimateReturn(answered))
	s.setHealth(endpoint, slowStart, since, CauseAnswered)
	if !scopeSuspected {
		return
	}
	for other := range endpoint.scopeEndpoints() {
		if other != endpoint {
			s.leaveHealthy(other, TimedOut)
			s.inheritSlowStart(other, endpoint)
		}
	}
}

// inheritFailures gives a new endpoint the failures and the health of its destination's other endpoints.
// Otherwise the whole backlog would go to the new endpoint at once.
func (s *Sender) inheritFailures(endpoint *endpointState) {
	for _, other := range endpoint.destination.endpoints {
		if other.limitScope != endpoint.limitScope || other == endpoint {
			continue
		}
		endpoint.consecutiveFailures = max(endpoint.consecutiveFailures, other.consecutiveFailures)
		s.touch(endpoint)
		if other.health != healthy && endpoint.health == healthy &&
			!hasHealthyEndpoint(endpoint.destination, endpoint) {
			endpoint.symptom, endpoint.failingSince = other.symptom, other.failingSince
			s.setHealth(endpoint, other.health, other.healthSince, CauseInherited)
			endpoint.lastCharged = s.randomPhase(endpoint)
		}
	}
}

// hasHealthyEndpoint reports whether a destination has an endpoint, other than except, that is healthy as
// far as this sender knows.
func hasHealthyEndpoint(destination *destinationState, except *endpointState) bool {
	return slices.ContainsFunc(destination.endpoints, func(other *endpointState) bool {
		return other != except && other.inService && other.health == healthy && other.consecutiveFailures == 0
	})
}

// noAlternative reports whether no other endpoint shows that an endpoint's destination is up, so that a
// failure may be an outage of the destination. With a healthy alternative the endpoint may just have been
// removed. One that has answered nothing since a failure at the limit scope is no alternative.
func (s *Sender) noAlternative(endpoint *endpointState) bool {
	return s.kind(endpoint).RoutesApart || endpoint.limitScope.suspected() ||
		!hasHealthyEndpoint(endpoint.destination, endpoint)
}

// answeredSince reports whether an answer shows that an endpoint which left a call unanswered is up. Only the
// answer to a later call does: calls from before an outage may be answered after one that the outage left
// unanswered.
func (ep *endpointState) answeredSince(sentAt time.Duration) bool {
	return ep.lastAnsweredSentAt > sentAt
}
