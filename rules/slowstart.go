// This file owns what an endpoint may be sent from the first sign of an outage until it is warm again. One
// check, slowStartAdmits, applies to every call: first attempts, retries, probes, backlog, and what an
// earlier process left unfinished. No call may go around it.
//
// An informed sender is one that made a call before the end of an outage and saw it fail, be refused, or go
// unanswered until it was given up. Invariant: whatever the number of senders, the demand, the age of a
// process and the kind and length of an outage, the calls that informed senders make in a fall window have a
// mean of at most the part of the budget that budgetFraction returns. It holds because shares never sum to
// more than the capacity over the fleet (warmShare), because a share is spent evenly from a random
// phase (randomPhase), and because a single failure that is not followed up at once limits its sender to its
// share (suspicion.go, limitscope.go). docs/design.md derives it and says what senders that saw nothing may
// add.

package rules

import (
	"math"
	"time"
)

// SmallFleet is the number of senders up to which they use connections and limits without care for the
// others. What a sender does after a failure, and its share of a cold endpoint, do not depend on it.
const SmallFleet = 12

const (
	// Unless listed rates are exact, one may be higher than the true rate by this factor.
	listedRateError = 1.1

	// Share of its capacity that an endpoint delivers in normal operation, at most.
	maxUsualLoad = 0.85

	// Share of a sender's demand that stands in for a rate that is neither listed nor measured yet.
	unlistedDemandShare = 0.25

	// Longest time in seconds in which a sender is assumed to get one message, before it has measured
	// its traffic.
	maxPriorSeconds = 30.0

	// Added to the age of an outage, as other senders may have seen it that much earlier.
	outageAgeMargin = 8 * time.Second

	// Share of the time between two probes that counts as warm-up at once.
	warmUpCreditShare = 0.8

	// While a destination cannot be cold yet, all senders together make up to this many probes in a time as long
	// as has passed since this sender's latest answered call. A sender of a smaller fleet probes as one of a
	// fleet of minProbingSenders.
	probesPerOutageAge = 6
	minProbingSenders  = 3
)

// Budget of a cold endpoint; see budgetFraction.
const (
	// Share of the calls at which a cold endpoint collapses. The rule that a destination which recovers
	// must not be overloaded counts as broken from here on.
	breachShare = 0.67

	// Standard deviations of the number of calls that are kept free for chance. The deviation is the
	// root of the mean.
	chanceDeviations = 2.0

	// A cold endpoint withstands the calls of its budget and, for chance, two roots of the budget and two
	// calls. For a budget of less than smallBudget calls it is three roots and three calls.
	chanceAllowance      = 2
	smallBudget          = 30
	smallBudgetAllowance = 3
)

// randomPhase returns a time at which the latest call of an endpoint's share may have been, a random part
// of an interval ago, so that senders which are limited from the same moment on do not send at the same
// moment.
func (s *Sender) randomPhase(endpoint *endpointState) time.Duration {
	endpoint.probeInterval = s.shareInterval(endpoint)
	return s.now - seconds(s.rng.Float64()*endpoint.probeInterval.Seconds())
}

// resetPhase gives up the calls that the share has allowed since the latest one. It follows a call that ended
// without an answer while its endpoint was limited: all calls that a hang held up end at the same moment, and
// would be followed by others at that moment.
func (s *Sender) resetPhase(endpoint *endpointState) {
	if endpoint.health != healthy {
		endpoint.lastCharged = max(endpoint.lastCharged, s.randomPhase(endpoint))
		s.touch(endpoint)
	}
}

// chargeCall counts a call against the share of its endpoint.
func (s *Sender) chargeCall(endpoint *endpointState) {
	endpoint.lastCharged = s.now
	if endpoint.health == probation {
		endpoint.probeInterval = s.shareInterval(endpoint)
	}
}

// estimateReturn returns when an endpoint that answered a probe is likely to have come back: half-way
// between this sender's latest call before that is known to have failed or has no answer yet, and the
// answer. Over the fleet the mean of these estimates is right, as each sender's probes fall at random
// times. Counted from the answer, the slow start of senders that probe seldom would never end.
//
// A probe that waits for a slot does not fall at a random time: a slot comes free as the outage ends. The
// time since the latest failure would then count as warm-up in part, though none of it was.
//
// Other senders only find the endpoint with their next probes. Meanwhile those that have found it may count
// most of the time between probes as warm-up: the share of senders that have found the endpoint grows as it
// warms up.
func (s *Sender) estimateReturn(answered *call) time.Duration {
	endpoint := answered.endpoint
	outUntil := max(endpoint.lastFailedSentAt, endpoint.limitScope.lastFailedSentAt, answered.chargedBefore)
	between := max(0, answered.sentAt-outUntil).Seconds()
	endpoint.warmUpCredit = seconds(warmUpCreditShare * between)
	return s.now - seconds(between/2)
}

// measurePreOutageRate returns the rate that this sender delivered to an endpoint before an outage. Right
// after an answer the measured rate of a sender with little traffic is too high, so that answer does not
// count.
func (s *Sender) measurePreOutageRate(endpoint *endpointState) float64 {
	rate := endpoint.deliveredRate.perSecond(endpoint.deliveredRate.last, trafficSpan)
	return max(0, rate-1/trafficSpan.Seconds())
}

// warmCapacity returns the share of its capacity that an endpoint must have regained for the next call. One
// whose latest outcome is a failure may be out, and has regained nothing. A budget covers the calls of a fall
// window, of which the last meets the capacity that is regained by then. For calls at an even rate that is
// half a window later on average.
func (s *Sender) warmCapacity(endpoint *endpointState) float64 {
	elapsed := 0.0
	if endpoint.health == slowStart && !endpoint.mustWait() {
		elapsed = max(s.meanWarmUp(endpoint), endpoint.warmUpCredit).Seconds()
	}
	elapsed += s.settings.FallWindow.Seconds() / 2
	warm := min(1, elapsed/max(s.settings.WarmUp.Seconds(), minDivisor))
	return s.settings.ColdShare + (1-s.settings.ColdShare)*warm
}

// meanWarmUp returns for how long an endpoint has warmed up, in the mean over the time since its latest call.
// It rises evenly from the begin of the warm-up on, and is zero before.
func (s *Sender) meanWarmUp(endpoint *endpointState) time.Duration {
	warmUp, sinceCall := s.now-endpoint.healthSince, s.now-endpoint.lastCharged
	switch {
	case warmUp <= 0:
		return 0
	case sinceCall <= warmUp:
		return warmUp - sinceCall/2
	}
	return seconds(warmUp.Seconds() * warmUp.Seconds() / 2 / sinceCall.Seconds())
}

// shareCount returns into how many shares an endpoint's capacity is divided: one for each sender and each
// endpoint that it shares its limit with.
func (s *Sender) shareCount(endpoint *endpointState) float64 {
	shares := float64(max(s.settings.Senders, 1))
	if !s.kind(endpoint).RoutesApart {
		shares *= float64(endpoint.destination.endpointCount())
	}
	return shares
}

// warmShare returns the calls a second that this sender may count on at a warm endpoint: its part of the
// listed rate or, if that is more, what it delivered itself before the outage. Equal parts of a listed rate
// sum to the capacity, and deliveries to no more than it. Where no rate is listed, a share of this sender's
// demand stands in for its part. That is within the capacity up to a demand of four times the capacity.
func (s *Sender) warmShare(endpoint *endpointState, shares float64) float64 {
	if endpoint.listedRate == 0 {
		demand := endpoint.destination.arrivalRate.perSecond(s.now, trafficSpan) /
			float64(endpoint.destination.endpointCount())
		return max(s.deliveredBefore(endpoint), unlistedDemandShare*demand)
	}
	part := endpoint.listedRate / shares
	if s.settings.RatesExact {
		return max(part, s.deliveredBefore(endpoint))
	}
	return max(part/listedRateError, s.deliveredBefore(endpoint)/maxUsualLoad)
}

// deliveredBefore returns an endpoint's part of the calls a second that this sender delivered to its limit
// scope before the outage. Deliveries may all have gone to one endpoint; the parts of all endpoints sum to
// what was delivered.
func (s *Sender) deliveredBefore(endpoint *endpointState) float64 {
	if s.kind(endpoint).RoutesApart {
		return endpoint.preOutageRate
	}
	delivered := 0.0
	for other := range endpoint.scopeEndpoints() {
		delivered += other.preOutageRate
	}
	return delivered / float64(endpoint.destination.endpointCount())
}

// measuredFraction returns how much of a rate a process knows after measuring it for the given time, from 0
// to 1.
func measuredFraction(measured time.Duration) float64 {
	return 1 - math.Exp(-max(0, measured).Seconds()/trafficSpan.Seconds())
}

// informedFraction returns the fraction of all senders that must have seen an outage by now: those that
// have had a message for its destination since it began. The shares of the others are not used, so each
// informed sender may use more. Demand is estimated from the messages that this sender got and, where these
// are few, from the listed rate, as if every sender had its part.
func (s *Sender) informedFraction(endpoint *endpointState, share float64) float64 {
	measuredSeconds := trafficSpan.Seconds() * measuredFraction(s.now-s.startedAt)
	messages := endpoint.destination.arrivalRate.perSecond(s.now, trafficSpan) * trafficSpan.Seconds()
	priorSeconds := trafficSpan.Seconds()
	if endpoint.listedRate > 0 {
		partOfDestination := share * float64(endpoint.destination.endpointCount())
		priorSeconds = min(1/max(partOfDestination, minDivisor), maxPriorSeconds)
	}
	demand := (1 + messages) / (priorSeconds + measuredSeconds)
	return 1 - math.Exp(-demand*(s.now-endpoint.failingSince+outageAgeMargin).Seconds())
}

// budgetFraction returns the fraction of a budget, in calls, that informed senders may use on average: with
// chanceDeviations standard deviations on top they stay below breachShare of the calls that a cold endpoint
// withstands.
func budgetFraction(budget float64) float64 {
	budget = max(budget, 1)
	root := math.Sqrt(budget)
	withstands := budget + chanceAllowance*root + chanceAllowance
	if budget < smallBudget {
		withstands = budget + smallBudgetAllowance*root + smallBudgetAllowance
	}
	// Solves mean + chanceDeviations*sqrt(mean) = breachShare*withstands for sqrt(mean).
	meanRoot := (math.Sqrt(chanceDeviations*chanceDeviations+4*breachShare*withstands) - chanceDeviations) / 2
	return meanRoot * meanRoot / budget
}

// shareInterval returns the time between calls that this sender's share of an endpoint's slow start budget
// allows. A share of less than a call in a fall window gives an interval longer than the window. All
// senders together may always make one call in a window.
func (s *Sender) shareInterval(endpoint *endpointState) time.Duration {
	shares := s.shareCount(endpoint)
	capacity := s.warmCapacity(endpoint)
	window := s.settings.FallWindow.Seconds()
	part := s.warmShare(endpoint, shares)
	budget := s.settings.OverloadFactor * part * shares * capacity * window
	share := part * budgetFraction(budget) / s.informedFraction(endpoint, part)
	rate := s.settings.OverloadFactor * share * capacity
	return seconds(min(window*shares, 1/max(rate, minDivisor)))
}

// callInterval returns the time between calls to an endpoint on probation or slow start.
func (s *Sender) callInterval(endpoint *endpointState) time.Duration {
	if endpoint.health != probation {
		return s.shareInterval(endpoint)
	}
	if endpoint.symptom == Refused && s.now-endpoint.failingSince < maxBriefOutage {
		return 0 // an endpoint that refuses does answer: the rate controller spaces the probes
	}
	// What answered a call just now cannot be cold, so a few senders may probe more often than their share
	// allows. In a large fleet the probes of those that have no such answer come beside.
	age := max(s.now-endpoint.limitScope.lastAnsweredSentAt, minLateAfter)
	if s.settings.Senders <= SmallFleet && age < maxBriefOutage {
		senders := time.Duration(max(s.settings.Senders, minProbingSenders))
		return min(endpoint.probeInterval, age*senders/probesPerOutageAge)
	}
	// The share shrinks as an outage gets older. An interval that began under a larger share is not extended.
	return endpoint.probeInterval
}

// slowStartAdmits returns the earliest time at which slow start permits a call to an endpoint. Every call
// is subject to it.
func (s *Sender) slowStartAdmits(endpoint *endpointState) time.Duration {
	at := time.Duration(0)
	if endpoint.health != healthy {
		at = endpoint.lastCharged + s.callInterval(endpoint)
	}
	if endpoint.mustWait() {
		at = max(at, endpoint.destination.retryNotBefore)
	}
	if s.awaitsConfirmation(endpoint) || s.awaitsProof(endpoint) {
		at = max(at, s.now+pollInterval)
	}
	return at
}

// earliestSend returns the earliest time at which rate controller and health permit a call to an endpoint.
func (s *Sender) earliestSend(endpoint *endpointState) time.Duration {
	controller := &endpoint.limitScope.controller
	controller.expire(s.expiryCheckedAt)
	return max(controller.notBefore, controller.nextSend, endpoint.connectNotBefore, s.slowStartAdmits(endpoint))
}
