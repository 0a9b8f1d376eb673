package rules

import (
	"slices"
	"time"
)

// This file owns doubt: what a sender makes of an endpoint whose last word is a failure, as long as it is
// not taken for out. Few senders go on as if nothing were; of many, each waits briefly and lets one call find
// out. Doubt ends by an answer to a later call or by taking the endpoint for out. It must never let many
// senders go on in one moment.
const (
	pausePerSender = 5 * time.Millisecond // for each sender beyond a few: they must not retry at once
	// longer ones bring the first retries of an outage to its end
	maxFailurePause = 200 * time.Millisecond
	// times as long while another endpoint of the destination serves
	alternativePauseFactor = 8
	// from the end of a pause; a failure not followed up counts as two
	followUpGrace = 100 * time.Millisecond
)

// pause is how long a destination's failed endpoints are left alone while it is in doubt whether they are
// down.
func (s *Sender) failurePause(ep *endpointState) time.Duration {
	pause := min(pausePerSender*time.Duration(max(s.settings.Senders-smallFleet, 0)), maxFailurePause)
	if slices.ContainsFunc(ep.destination.endpoints,
		func(o *endpointState) bool { return o.inService && o.consecutiveFailures == 0 }) {
		pause *= alternativePauseFactor
	}
	return seconds(pause.Seconds() * (0.5 + s.rng.Float64()))
}

// doubtful tells whether an endpoint that failed has a call out whose outcome will tell more: others wait
// for it. Guards against a backlog that leaves at once when a pause ends; where answers are slow it is late.
func (s *Sender) awaitsConfirmation(ep *endpointState) bool {
	most := max(1, int((1-s.failureWeight())*float64(s.settings.Slots)))
	return most < s.settings.Slots && ep.consecutiveFailures > 0 && ep.health == healthy && len(ep.calls) >= most
}

// endDoubts takes endpoints for out whose last word is a failure that no call has followed in time. A brief
// pause spreads the calls that follow failures as they come; those that had to wait, for a slot or for a
// message, would leave many senders in one moment, as slots are freed by what ends for all of them at once.
func (s *Sender) expireSuspicions() {
	if s.failureWeight() == 0 {
		return
	}
	for _, d := range s.backlogged {
		for _, ep := range d.endpoints {
			late := ep.consecutiveFailures > 0 && ep.health == healthy &&
				s.now > d.retryNotBefore+followUpGrace && len(ep.calls) == 0
			if late && s.noAlternative(ep) && s.treatsAsOutage() {
				s.startProbation(ep, TimedOut, CauseFailures)
			}
		}
	}
}

// outlastedDoubt tells whether an answer to a call ends a doubt that is too old for a chance failure, or one
// on slow start: the endpoint may be cold.
func (s *Sender) suspicionOutlasted(ep *endpointState, sent time.Duration) bool {
	if ep.consecutiveFailures == 0 || sent <= ep.lastFailedSentAt || ep.health == probation ||
		!s.treatsAsOutage() {
		return false
	}
	return ep.health == slowStart || sent-ep.failingSince >= maxBriefOutage && s.noAlternative(ep)
}

// beginAnew begins the slow start that follows such a doubt.
func (s *Sender) slowStartAfterSuspicion(ep *endpointState, sent time.Duration) {
	if ep.health == healthy {
		ep.preOutageRate, ep.symptom = s.measurePreOutageRate(ep), TimedOut
	}
	ep.lastCharged = s.now
	s.setHealth(ep, slowStart, max(ep.healthSince, s.estimateReturn(ep, sent)), CauseAnswered)
}

// copyFailures gives a new endpoint its destination's failures and state, or the whole backlog goes there at
// once.
func (s *Sender) inheritFailures(ep *endpointState) {
	if s.settings.Senders <= smallFleet {
		return
	}
	for _, other := range ep.destination.endpoints {
		if other.limitScope != ep.limitScope || other == ep {
			continue
		}
		ep.consecutiveFailures = max(ep.consecutiveFailures, other.consecutiveFailures)
		if other.health != healthy && ep.health == healthy && !hasHealthyEndpoint(ep.destination, ep) &&
			s.treatsAsOutage() {
			ep.symptom, ep.failingSince = other.symptom, other.failingSince
			s.setHealth(ep, other.health, other.healthSince, CauseInherited)
			ep.lastCharged = s.randomPhase(ep)
		}
	}
}

// inTrouble tells whether a message's attempts before this process speak of an outage.
func (b PriorAttempts) indicatesOutage() bool {
	return b.Failed > 0 || b.MayHaveRun && b.Age > initialLateAfter
}

// serves tells whether a destination has an endpoint, other than this one, that is well as far as known.
func hasHealthyEndpoint(d *destinationState, but *endpointState) bool {
	return slices.ContainsFunc(d.endpoints, func(o *endpointState) bool {
		return o != but && o.inService && o.health == healthy && o.consecutiveFailures == 0
	})
}

// alone tells whether no other endpoint vouches for an endpoint's destination. Else it may just be gone.
func (s *Sender) noAlternative(ep *endpointState) bool {
	return s.kind(ep).RoutesApart || !hasHealthyEndpoint(ep.destination, ep)
}

// restoreFailures takes over an earlier process's failures at a destination, or a fleet that restarts during
// an outage sends all that it owes as it ends; one may have gone unheard, and a call that was out for long
// may have hung. Too careful where single attempts often fail.
func (s *Sender) restoreFailures(a Arrived) {
	d := s.destination(a.Destination)
	for _, ep := range d.endpoints {
		fails := min(max(a.Prior.Failed, 2), outageFailures)
		if s.settings.Senders > smallFleet && fails > ep.consecutiveFailures {
			ep.consecutiveFailures, ep.failingSince = fails, s.now
			d.retryNotBefore = max(d.retryNotBefore, s.now+s.failurePause(ep))
		}
	}
}

// laterAnswered tells whether an answer speaks for an endpoint that left a call unanswered. Of many senders
// only one to a later call does: calls of before an outage may be answered after a call that it swallowed.
func (s *Sender) laterAnswered(ep *endpointState, sent time.Duration) bool {
	if s.treatsAsOutage() {
		return ep.lastAnsweredSentAt > sent
	}
	return ep.lastAnsweredAt > sent
}
