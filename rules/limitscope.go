// This file owns what the endpoints of a limit scope have in common beside its rate: suspicion, and the
// beginning of probation and slow start. An outage mostly takes all endpoints of a destination, the calls
// that it left unanswered end together as it ends, and from then on the endpoints share one budget. So a call
// that one of them leaves unanswered is evidence about all, until one of them answers a later call. It must
// never take an endpoint for a healthy alternative that has shown nothing since. A limit scope of a kind with
// RoutesApart is a single endpoint.

package rules

import "time"

// Failures in a row at a limit scope that are an outage of all its endpoints.
const outageFailuresOfScope = 2

// suspected reports whether the latest outcome at a limit scope is a call that was left unanswered.
func (scope *limitScope) suspected() bool { return scope.consecutiveFailures > 0 }

// mustWait reports whether calls to an endpoint wait for the pause after the latest failure at its
// destination: it has failed itself, or its limit scope has left a call unanswered.
func (ep *endpointState) mustWait() bool {
	return ep.consecutiveFailures > 0 || ep.limitScope.suspected()
}

// scopeAnsweredSince reports whether an endpoint of a limit scope has answered a call that was made after the
// given time, and so lately that the scope cannot have become cold since then.
func (s *Sender) scopeAnsweredSince(scope *limitScope, sentAt time.Duration) bool {
	return scope.lastAnsweredSentAt > sentAt && s.now-scope.lastAnsweredAt < maxBriefOutage
}

// suspectScope counts a call that an endpoint left unanswered, and that was sent at sentAt, against its limit
// scope. asOutage says that it is an outage by itself.
func (s *Sender) suspectScope(failed *endpointState, sentAt time.Duration, asOutage bool) {
	scope := failed.limitScope
	if s.scopeAnsweredSince(scope, sentAt) {
		return
	}
	failures := scope.consecutiveFailures + 1
	if asOutage {
		failures = max(failures, outageFailuresOfScope)
	}
	scope.setFailures(failures, sentAt, s.now)
}

// setFailures sets the number of calls in a row that a limit scope left unanswered. The latest was sent at
// sentAt.
func (scope *limitScope) setFailures(n int, sentAt, now time.Duration) {
	if !scope.suspected() {
		scope.failingSince = sentAt
	}
	scope.consecutiveFailures = n
	scope.lastFailedSentAt, scope.lastFailureAt = max(scope.lastFailedSentAt, sentAt), now
}

// countScopeAnswer ends the suspicion of a limit scope if the call that was answered was made after the
// latest failed one. It reports whether the scope was suspected until now.
func (scope *limitScope) countScopeAnswer(sentAt time.Duration) (wasSuspected bool) {
	wasSuspected = scope.suspected()
	scope.unproven, scope.unansweredSince = false, 0
	if sentAt > scope.lastFailedSentAt {
		scope.consecutiveFailures = 0
	}
	scope.lastAnsweredSentAt = max(scope.lastAnsweredSentAt, sentAt)
	return wasSuspected
}

// followUpCalls returns the number of calls in flight to the endpoint's limit scope that were made since its
// latest failure.
func (ep *endpointState) followUpCalls() (n int) {
	for other := range ep.scopeEndpoints() {
		for _, c := range other.calls {
			if c.sentAt >= ep.limitScope.lastFailureAt {
				n++
			}
		}
	}
	return n
}

// startScopeProbation puts all endpoints of a limit scope on probation that are not.
func (s *Sender) startScopeProbation(endpoint *endpointState, outcome Outcome, cause Cause) {
	for other := range endpoint.scopeEndpoints() {
		if other.health != probation {
			other.inheritFailingSince()
			s.startProbation(other, outcome, cause)
		}
	}
}

// inheritFailingSince dates the failures of a healthy endpoint that has none of its own by those of its limit
// scope.
func (ep *endpointState) inheritFailingSince() {
	if ep.health == healthy && ep.consecutiveFailures == 0 {
		ep.failingSince = ep.limitScope.failingSince
	}
}

// promoteScope lets the other endpoints that share a limit with one that has returned begin their slow
// start with it: an outage mostly concerns a whole destination and ends for all of it. An endpoint that is
// still down soon fails again.
func (s *Sender) promoteScope(returned *endpointState) {
	for other := range returned.scopeEndpoints() {
		if other.health == probation {
			s.inheritSlowStart(other, returned)
		}
	}
}

// inheritSlowStart begins the slow start of an endpoint with that of another one.
func (s *Sender) inheritSlowStart(endpoint, from *endpointState) {
	endpoint.warmUpCredit = from.warmUpCredit
	s.setHealth(endpoint, slowStart, from.healthSince, CauseInherited)
	endpoint.lastCharged = s.randomPhase(endpoint)
}

// restartWarmUps processes a failure during slow start, for all endpoints of the limit scope if it is
// suspected. An endpoint that answers some calls and fails others is still in its outage. One that leaves a
// call unanswered may have a new outage, and is cold when that ends. The cost of a chance failure is the
// warm-up so far.
func (s *Sender) restartWarmUps(failed *endpointState) {
	if failed.health == slowStart {
		failed.restartWarmUp(s.now)
	}
	if !failed.limitScope.suspected() {
		return
	}
	for endpoint := range failed.scopeEndpoints() {
		if endpoint.health == slowStart {
			endpoint.restartWarmUp(s.now)
			s.touch(endpoint)
		}
	}
}

func (ep *endpointState) restartWarmUp(now time.Duration) {
	ep.healthSince = max(ep.healthSince, now)
	ep.warmUpCredit = 0
}

// resetSiblingPhases gives up the shares that the other endpoints of a limit scope have saved up, as a call
// to one of them ended that was left unanswered. All calls that a hang held up end at the same moment, and
// what they carried may go to another endpoint.
func (s *Sender) resetSiblingPhases(ended *endpointState) {
	for endpoint := range ended.scopeEndpoints() {
		if endpoint != ended && s.now >= endpoint.lastCharged+s.callInterval(endpoint) {
			s.resetPhase(endpoint)
		}
	}
}
