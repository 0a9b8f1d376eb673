package rules

import (
	"math"
	"time"
)

// This file owns what an endpoint may be sent from the first sign of an outage until it is warm again. One
// check, admitted, stands before every call: first tries, retries, probes, backlog and what an earlier
// process left.
//
// Informed is a sender that made a call before the end of an outage and saw it fail, be refused, or go
// unanswered until it was given up. Invariant: whatever the number of senders, the demand, the age of a
// process and the kind and length of an outage, the calls that informed senders make in a fall window have a
// mean of at most the part of the budget that budgetPart gives. It holds as shares never sum to more than
// the capacity over the fleet (capacityShare), as a share is spent evenly from a random phase (phase), and as
// a single failure brings its sender under this share as soon as it is not followed up at once (doubt.go).
// docs/design.md derives it and says what senders that saw nothing may add.
const (
	minShareRate = 0.3 // calls a second of a cold budget, for any sender of a few

	independentFleet    = 7               // up to so many see enough each to tell an outage by themselves
	smallFleet          = 12              // up to so many share connections and limits with no care for others
	largeFleet          = 12              // from so many on, one sign of an outage is taken for one
	listedRateError     = 1.1             // a listed rate that is not exact may be so many times the true one
	breachShare         = 0.67            // of the calls of a fall: the rule is broken from here on
	maxUsualLoad        = 0.85            // of its capacity that an endpoint delivers in good times, at most
	maxPriorSeconds     = 30.0            // seconds in which a sender has a message, if it knows no better
	unlistedDemandShare = 0.25            // of the demand, where nothing is listed or delivered yet
	chanceDeviations    = 2.0             // roots of the mean kept free for chance; see budgetPart
	warmUpCreditShare   = 0.8             // of the time between two probes that counts as warm-up at once
	outageAgeMargin     = 8 * time.Second // added to an outage's age: others may have seen it so much longer
)

// caution is how far one sign of trouble counts as an outage: not at all with few senders, wholly with many.
// Between them the two ways of reckoning blend, so that no size is a step.
func (s *Sender) failureWeight() float64 {
	return min(1, max(0, float64(s.settings.Senders-independentFleet)/(largeFleet-independentFleet)))
}

// cautious draws whether this sender takes one sign of trouble for an outage.
func (s *Sender) treatsAsOutage() bool {
	caution := s.failureWeight()
	return caution > 0 && s.rng.Float64() < caution
}

// restore takes over an outage that an earlier process had seen: it may last, or the endpoint may be cold. A
// few senders find out by themselves what holds now.
func (s *Sender) restoreOutage(e RememberedOutage) {
	ep := s.endpoint(e.Endpoint)
	if ep == nil || ep.health != healthy || !s.treatsAsOutage() {
		return
	}
	ep.failingSince = s.now - max(0, e.Age)
	s.startProbation(ep, Reset, CauseRestored)
	ep.preOutageRate = max(ep.preOutageRate, e.Rate)
}

// phase is when the last call of an endpoint's share may have been: any part of a gap ago, so that senders
// which begin to hold back together do not go on together.
func (s *Sender) randomPhase(ep *endpointState) time.Duration {
	ep.probeInterval = s.shareInterval(ep)
	if caution := s.failureWeight(); caution > 0 {
		return s.now - seconds(caution*s.rng.Float64()*ep.probeInterval.Seconds())
	}
	return s.now
}

// rephase takes a call that ended with no answer while its endpoint was held back. What the share allowed
// meanwhile is lost: all that a hang held up ends in one moment, and would be followed in that moment.
func (s *Sender) resetPhase(ep *endpointState) {
	if ep.health != healthy && s.failureWeight() > 0 {
		ep.lastCharged = max(ep.lastCharged, s.randomPhase(ep))
	}
}

// spend books a call of an endpoint's share.
func (s *Sender) chargeCall(ep *endpointState) {
	ep.lastCharged = s.now
	if ep.health == probation {
		ep.probeInterval = s.shareInterval(ep)
	}
}

// returned is when an endpoint that has answered a probe came back, by what this sender can tell: with its
// last failure before and this answer after it, half-way between. The mean over the fleet is right, as each
// sender's probes fall anywhere; counted from the answer, the slow start of senders that seldom probe would
// never end. While other senders still look for it with their next probe, those that have found it may take
// most of the time between probes for warm-up: as many of them have found it as the endpoint has warmed up.
func (s *Sender) estimateReturn(ep *endpointState, answered time.Duration) time.Duration {
	between := s.failureWeight() * max(0, answered-ep.lastFailedSentAt).Seconds()
	ep.warmUpCredit = seconds(warmUpCreditShare * between)
	return s.now - seconds(between/2)
}

// promote lets the other endpoints that share a limit with one that is back begin their slow start with it:
// an outage mostly takes all of a destination, and comes to its end for all. One that is still down fails
// again soon.
func (s *Sender) promoteScope(back *endpointState) {
	for _, other := range back.destination.endpoints {
		if other.limitScope == back.limitScope && other.health == probation && s.treatsAsOutage() {
			other.warmUpCredit = back.warmUpCredit
			s.setHealth(other, slowStart, back.healthSince, CauseInherited)
			other.lastCharged = s.randomPhase(other)
		}
	}
}

// notBackYet takes a failure on slow start: what answers some calls and fails others has an outage that goes
// on, what leaves one unanswered may have a new one, and is cold when that ends. The warm-up begins anew; a
// chance failure costs what was gained of it.
func (s *Sender) restartWarmUp(ep *endpointState) {
	ep.healthSince, ep.warmUpCredit = max(ep.healthSince, s.now), 0
}

// deliveredBefore is the rate that this sender delivered to an endpoint before an outage. Right after an
// answer a sparse sender's rate is too high, as it has just delivered something: of many senders that one
// does not count.
func (s *Sender) measurePreOutageRate(ep *endpointState) float64 {
	rate := ep.deliveredRate.perSecond(ep.deliveredRate.last, trafficSpan)
	return max(0, rate-s.failureWeight()/trafficSpan.Seconds())
}

// warmth is the share of capacity that must be back at an endpoint for the next call. A budget is for a
// window of calls, of which the last counts the capacity that is back by then: half a window on, for calls
// at an even rate.
func (s *Sender) warmCapacity(ep *endpointState) float64 {
	elapsed := 0.0
	if ep.health == slowStart {
		mid := (s.now + max(ep.lastCharged, ep.healthSince)) / 2 // as the rate rises evenly since the last call
		elapsed = max(0, mid-ep.healthSince, ep.warmUpCredit).Seconds()
	}
	elapsed += s.failureWeight() * s.settings.FallWindow.Seconds() / 2
	warm := min(1, elapsed/max(s.settings.WarmUp.Seconds(), 1e-3))
	return s.settings.ColdShare + (1-s.settings.ColdShare)*warm
}

// peers is how many shares an endpoint's capacity has: one for each sender and endpoint that shares it.
func (s *Sender) shareCount(ep *endpointState) float64 {
	peers := float64(max(s.settings.Senders, 1))
	if !s.kind(ep).RoutesApart {
		peers *= float64(ep.destination.endpointCount())
	}
	return peers
}

// fewShare is the calls a second of a warm endpoint that one of a few senders may count on: what it
// delivered, its part of a listed rate or a least part, whichever is most.
func (s *Sender) smallFleetShare(ep *endpointState, peers float64) float64 {
	part := ep.listedRate / peers
	if !s.settings.RatesExact {
		part /= 2 // it may be half too high
	}
	// no more than its own traffic: after a long outage all sparse senders have something to send
	least := min(minShareRate,
		ep.destination.arrivalRate.perSecond(s.now, trafficSpan)/float64(ep.destination.endpointCount()))
	return max(ep.preOutageRate, part, least)
}

// capacityShare is the calls a second of a warm endpoint that one of many senders may count on: its part of
// the listed rate, or what it delivered itself before the outage, if that is more. Equal parts of a listed
// rate sum to the capacity, and deliveries to no more than it. Where no rate is listed, a part of what it is
// asked for stands in for that: demand of four times the capacity is within it.
func (s *Sender) largeFleetShare(ep *endpointState, peers float64) float64 {
	if ep.listedRate == 0 {
		wanted := ep.destination.arrivalRate.perSecond(s.now, trafficSpan) / float64(ep.destination.endpointCount())
		return max(ep.preOutageRate, unlistedDemandShare*wanted)
	}
	listed := ep.listedRate / peers
	if s.settings.RatesExact {
		return max(listed, ep.preOutageRate)
	}
	return max(listed/listedRateError, ep.preOutageRate/maxUsualLoad)
}

// settled is how much of a rate a process knows that has measured it for so long.
func measuredFraction(measured time.Duration) float64 {
	return 1 - math.Exp(-max(0, measured).Seconds()/trafficSpan.Seconds())
}

// informedPart is the part of all senders that must have seen an outage by now: those that had a message for
// its destination since. Shares of the others lie idle, so each of these may have so much more. Demand is
// estimated from what came to this sender, and where that is little from the listed rate, as if every sender
// had its part.
func (s *Sender) informedFraction(ep *endpointState, share float64) float64 {
	known := trafficSpan.Seconds() * measuredFraction(s.now-s.startedAt)
	seen := ep.destination.arrivalRate.perSecond(s.now, trafficSpan) * trafficSpan.Seconds()
	prior := trafficSpan.Seconds()
	if ep.listedRate > 0 {
		prior = min(1/max(share*float64(ep.destination.endpointCount()), 1e-3), maxPriorSeconds)
	}
	demand := (1 + seen) / (prior + known)
	return 1 - math.Exp(-demand*(s.now-ep.failingSince+outageAgeMargin).Seconds())
}

// budgetPart is the part of a budget of so many calls that informed senders may use in the mean: with
// chanceRoots roots of it on top they stay under the part that breaks the rule of what a cold endpoint
// bears.
func budgetFraction(budget float64) float64 {
	budget = max(budget, 1)
	root := math.Sqrt(budget)
	bears := budget + 2*root + 2
	if budget < 30 {
		bears = budget + 3*root + 3
	}
	meanRoot := (math.Sqrt(chanceDeviations*chanceDeviations+4*breachShare*bears) - chanceDeviations) / 2
	return meanRoot * meanRoot / budget
}

// shareGap is the time between calls that this sender's share of an endpoint's slow start budget allows. A
// share below a call a window is a gap longer than the window. All senders together may always make a call
// or two.
func (s *Sender) shareInterval(ep *endpointState) time.Duration {
	peers, warmth, caution := s.shareCount(ep), s.warmCapacity(ep), s.failureWeight()
	window := s.settings.FallWindow.Seconds()
	share := 0.0
	if caution < 1 {
		share += (1 - caution) * s.smallFleetShare(ep, peers)
	}
	if caution > 0 {
		part := s.largeFleetShare(ep, peers)
		budget := s.settings.OverloadFactor * part * peers * warmth * window
		share += caution * part * budgetFraction(budget) / s.informedFraction(ep, part)
	}
	rate := s.settings.OverloadFactor * share * warmth
	return seconds(min(window*peers/(2-caution), 1/max(rate, 1e-3)))
}

// gap is the time between calls to an endpoint on probation or on its slow start.
func (s *Sender) callInterval(ep *endpointState) time.Duration {
	gap := s.shareInterval(ep)
	if ep.health == probation { // young trouble cannot have left anything cold
		gap = min(gap, max(s.now-ep.failingSince, minLateAfter)*time.Duration(max(s.settings.Senders, 3))/6)
		if ep.symptom == Refused && s.now-ep.failingSince < maxBriefOutage {
			return 0 // what refuses answers: the pace spaces the trials
		}
		// The share shrinks with the age of an outage; what was begun under a larger one is not put off again.
		if caution := s.failureWeight(); caution > 0 {
			gap = seconds(caution*ep.probeInterval.Seconds() + (1-caution)*gap.Seconds())
		}
	}
	return gap
}

// admitted is the earliest time at which slow start lets a call go to an endpoint: every call passes here.
func (s *Sender) slowStartAdmits(ep *endpointState) time.Duration {
	at := time.Duration(0)
	if ep.health != healthy {
		at = ep.lastCharged + s.callInterval(ep)
	}
	if ep.consecutiveFailures > 0 {
		at = max(at, ep.destination.retryNotBefore)
	}
	if s.awaitsConfirmation(ep) {
		at = max(at, s.now+pollInterval)
	}
	return at
}

// gate is the earliest time at which pace and health let a call go to an endpoint.
func (s *Sender) earliestSend(ep *endpointState) time.Duration {
	ep.limitScope.controller.expire(s.expiryCheckedAt)
	return max(ep.limitScope.controller.notBefore, ep.limitScope.controller.nextSend, ep.connectNotBefore,
		s.slowStartAdmits(ep))
}
