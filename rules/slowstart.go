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
	leastPart = 0.3 // calls a second of a cold budget, for any sender of a few

	soloSenders  = 7               // up to so many see enough each to tell an outage by themselves
	fewSenders   = 12              // up to so many share connections and limits with no care for others
	manySenders  = 12              // from so many on, one sign of an outage is taken for one
	roughRate    = 1.1             // a listed rate that is not exact may be so many times the true one
	brokenPart   = 0.67            // of the calls of a fall: the rule is broken from here on
	usualLoad    = 0.85            // of its capacity that an endpoint delivers in good times, at most
	longestPrior = 30.0            // seconds in which a sender has a message, if it knows no better
	unheardPart  = 0.25            // of the demand, where nothing is listed or delivered yet
	chanceRoots  = 2.0             // roots of the mean kept free for chance; see budgetPart
	foundPart    = 0.8             // of the time between two probes that counts as warm-up at once
	youngDoubt   = 8 * time.Second // added to an outage's age: others may have seen it so much longer
)

// caution is how far one sign of trouble counts as an outage: not at all with few senders, wholly with many.
// Between them the two ways of reckoning blend, so that no size is a step.
func (s *Sender) caution() float64 {
	return min(1, max(0, float64(s.set.Senders-soloSenders)/(manySenders-soloSenders)))
}

// cautious draws whether this sender takes one sign of trouble for an outage.
func (s *Sender) cautious() bool {
	caution := s.caution()
	return caution > 0 && s.rng.Float64() < caution
}

// restore takes over an outage that an earlier process had seen: it may last, or the endpoint may be cold. A
// few senders find out by themselves what holds now.
func (s *Sender) restore(e Remembered) {
	ep := s.endpoint(e.Endpoint)
	if ep == nil || ep.health != healthy || !s.cautious() {
		return
	}
	ep.failing = s.now - max(0, e.Ago)
	s.suspend(ep, Reset, CauseRestored)
	ep.base = max(ep.base, e.Rate)
}

// phase is when the last call of an endpoint's share may have been: any part of a gap ago, so that senders
// which begin to hold back together do not go on together.
func (s *Sender) phase(ep *endpoint) time.Duration {
	ep.probeGap = s.shareGap(ep)
	if caution := s.caution(); caution > 0 {
		return s.now - seconds(caution*s.rng.Float64()*ep.probeGap.Seconds())
	}
	return s.now
}

// rephase takes a call that ended with no answer while its endpoint was held back. What the share allowed
// meanwhile is lost: all that a hang held up ends in one moment, and would be followed in that moment.
func (s *Sender) rephase(ep *endpoint) {
	if ep.health != healthy && s.caution() > 0 {
		ep.charged = max(ep.charged, s.phase(ep))
	}
}

// spend books a call of an endpoint's share.
func (s *Sender) spend(ep *endpoint) {
	ep.charged = s.now
	if ep.health == probation {
		ep.probeGap = s.shareGap(ep)
	}
}

// returned is when an endpoint that has answered a probe came back, by what this sender can tell: with its
// last failure before and this answer after it, half-way between. The mean over the fleet is right, as each
// sender's probes fall anywhere; counted from the answer, the slow start of senders that seldom probe would
// never end. While other senders still look for it with their next probe, those that have found it may take
// most of the time between probes for warm-up: as many of them have found it as the endpoint has warmed up.
func (s *Sender) returned(ep *endpoint, answered time.Duration) time.Duration {
	between := s.caution() * max(0, answered-ep.failedAt).Seconds()
	ep.credit = seconds(foundPart * between)
	return s.now - seconds(between/2)
}

// promote lets the other endpoints that share a limit with one that is back begin their slow start with it:
// an outage mostly takes all of a destination, and comes to its end for all. One that is still down fails
// again soon.
func (s *Sender) promote(back *endpoint) {
	for _, other := range back.dest.endpoints {
		if other.lane == back.lane && other.health == probation && s.cautious() {
			other.credit = back.credit
			s.setHealth(other, ramping, back.since, CauseInherited)
			other.charged = s.phase(other)
		}
	}
}

// notBackYet takes a failure on slow start: what answers some calls and fails others has an outage that goes
// on, what leaves one unanswered may have a new one, and is cold when that ends. The warm-up begins anew; a
// chance failure costs what was gained of it.
func (s *Sender) notBackYet(ep *endpoint) {
	ep.since, ep.credit = max(ep.since, s.now), 0
}

// deliveredBefore is the rate that this sender delivered to an endpoint before an outage. Right after an
// answer a sparse sender's rate is too high, as it has just delivered something: of many senders that one
// does not count.
func (s *Sender) deliveredBefore(ep *endpoint) float64 {
	rate := ep.delivered.perSecond(ep.delivered.last, deliveredMemory)
	return max(0, rate-s.caution()/deliveredMemory.Seconds())
}

// warmth is the share of capacity that must be back at an endpoint for the next call. A budget is for a
// window of calls, of which the last counts the capacity that is back by then: half a window on, for calls
// at an even rate.
func (s *Sender) warmth(ep *endpoint) float64 {
	elapsed := 0.0
	if ep.health == ramping {
		mid := (s.now + max(ep.charged, ep.since)) / 2 // as the rate rises evenly since the last call
		elapsed = max(0, mid-ep.since, ep.credit).Seconds()
	}
	elapsed += s.caution() * s.set.FallWindow.Seconds() / 2
	warm := min(1, elapsed/max(s.set.WarmUp.Seconds(), 1e-3))
	return s.set.ColdShare + (1-s.set.ColdShare)*warm
}

// peers is how many shares an endpoint's capacity has: one for each sender and endpoint that shares it.
func (s *Sender) peers(ep *endpoint) float64 {
	peers := float64(max(s.set.Senders, 1))
	if !s.kind(ep).RoutesApart {
		peers *= float64(ep.dest.width())
	}
	return peers
}

// fewShare is the calls a second of a warm endpoint that one of a few senders may count on: what it
// delivered, its part of a listed rate or a least part, whichever is most.
func (s *Sender) fewShare(ep *endpoint, peers float64) float64 {
	part := ep.rate / peers
	if !s.set.RatesExact {
		part /= 2 // it may be half too high
	}
	// no more than its own traffic: after a long outage all sparse senders have something to send
	least := min(leastPart, ep.dest.wanted.perSecond(s.now, deliveredMemory)/float64(ep.dest.width()))
	return max(ep.base, part, least)
}

// capacityShare is the calls a second of a warm endpoint that one of many senders may count on: its part of
// the listed rate, or what it delivered itself before the outage, if that is more. Equal parts of a listed
// rate sum to the capacity, and deliveries to no more than it. Where no rate is listed, a part of what it is
// asked for stands in for that: demand of four times the capacity is within it.
func (s *Sender) capacityShare(ep *endpoint, peers float64) float64 {
	if ep.rate == 0 {
		wanted := ep.dest.wanted.perSecond(s.now, deliveredMemory) / float64(ep.dest.width())
		return max(ep.base, unheardPart*wanted)
	}
	listed := ep.rate / peers
	if s.set.RatesExact {
		return max(listed, ep.base)
	}
	return max(listed/roughRate, ep.base/usualLoad)
}

// settled is how much of a rate a process knows that has measured it for so long.
func settled(measured time.Duration) float64 {
	return 1 - math.Exp(-max(0, measured).Seconds()/deliveredMemory.Seconds())
}

// informedPart is the part of all senders that must have seen an outage by now: those that had a message for
// its destination since. Shares of the others lie idle, so each of these may have so much more. Demand is
// estimated from what came to this sender, and where that is little from the listed rate, as if every sender
// had its part.
func (s *Sender) informedPart(ep *endpoint, share float64) float64 {
	known := deliveredMemory.Seconds() * settled(s.now-s.startedAt)
	seen := ep.dest.wanted.perSecond(s.now, deliveredMemory) * deliveredMemory.Seconds()
	prior := deliveredMemory.Seconds()
	if ep.rate > 0 {
		prior = min(1/max(share*float64(ep.dest.width()), 1e-3), longestPrior)
	}
	demand := (1 + seen) / (prior + known)
	return 1 - math.Exp(-demand*(s.now-ep.failing+youngDoubt).Seconds())
}

// budgetPart is the part of a budget of so many calls that informed senders may use in the mean: with
// chanceRoots roots of it on top they stay under the part that breaks the rule of what a cold endpoint
// bears.
func budgetPart(budget float64) float64 {
	budget = max(budget, 1)
	root := math.Sqrt(budget)
	bears := budget + 2*root + 2
	if budget < 30 {
		bears = budget + 3*root + 3
	}
	meanRoot := (math.Sqrt(chanceRoots*chanceRoots+4*brokenPart*bears) - chanceRoots) / 2
	return meanRoot * meanRoot / budget
}

// shareGap is the time between calls that this sender's share of an endpoint's slow start budget allows. A
// share below a call a window is a gap longer than the window. All senders together may always make a call
// or two.
func (s *Sender) shareGap(ep *endpoint) time.Duration {
	peers, warmth, caution := s.peers(ep), s.warmth(ep), s.caution()
	window := s.set.FallWindow.Seconds()
	share := 0.0
	if caution < 1 {
		share += (1 - caution) * s.fewShare(ep, peers)
	}
	if caution > 0 {
		part := s.capacityShare(ep, peers)
		budget := s.set.OverloadFactor * part * peers * warmth * window
		share += caution * part * budgetPart(budget) / s.informedPart(ep, part)
	}
	rate := s.set.OverloadFactor * share * warmth
	return seconds(min(window*peers/(2-caution), 1/max(rate, 1e-3)))
}

// gap is the time between calls to an endpoint on probation or on its slow start.
func (s *Sender) gap(ep *endpoint) time.Duration {
	gap := s.shareGap(ep)
	if ep.health == probation { // young trouble cannot have left anything cold
		gap = min(gap, max(s.now-ep.failing, minLate)*time.Duration(max(s.set.Senders, 3))/6)
		if ep.symptom == Full && s.now-ep.failing < briefTrouble {
			return 0 // what refuses answers: the pace spaces the trials
		}
		// The share shrinks with the age of an outage; what was begun under a larger one is not put off again.
		if caution := s.caution(); caution > 0 {
			gap = seconds(caution*ep.probeGap.Seconds() + (1-caution)*gap.Seconds())
		}
	}
	return gap
}

// admitted is the earliest time at which slow start lets a call go to an endpoint: every call passes here.
func (s *Sender) admitted(ep *endpoint) time.Duration {
	at := time.Duration(0)
	if ep.health != healthy {
		at = ep.charged + s.gap(ep)
	}
	if ep.fails > 0 {
		at = max(at, ep.dest.retryAt)
	}
	if s.doubtful(ep) {
		at = max(at, s.now+pollEvery)
	}
	return at
}

// gate is the earliest time at which pace and health let a call go to an endpoint.
func (s *Sender) gate(ep *endpoint) time.Duration {
	ep.lane.pace.lapse(s.lapsedAt)
	return max(ep.lane.pace.haltUntil, ep.lane.pace.next, ep.connectNotBefore, s.admitted(ep))
}
