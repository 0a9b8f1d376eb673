// This file owns the order of work: which message goes to which endpoint next. It must never send a message
// without the approval of maySend, and never use more than Settings.Slots calls at once.

package rules

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	maxScopeSlotShare   = 0.4 // of the slots that the calls to one limit scope may use
	maxOverdueSlotShare = 0.2 // of the slots that overdue calls may use before unhealthy classes get no more

	// A message waits up to 1/4 of its aim for others to share a call with.
	batchWaitDivisor = 4

	// Bounds of the horizon within which the worth lost by waiting is counted.
	minHorizon = 250 * time.Millisecond
	maxHorizon = 3 * time.Second // losses later than this count little

	// Rounding may move a gain by this share of a message's worth.
	roundingTolerance = 1e-14

	baseWorthWeight  = 0.05 // weight of a message's whole worth in its gain
	minScoredLatency = 0.05 // seconds; plans of faster endpoints score no higher

	handshakeTime   = 100 * time.Millisecond // latency saved by a connection that is probably open
	zoneCostSeconds = 20.0                   // seconds of latency that outweigh a zone cost of 1

	// Messages for each connection to an endpoint whose connection limit may be reached: opening a
	// connection takes as long as three calls.
	messagesPerConnection = 4

	minArrivalRate = 1e-9 // messages a second; least divisor
)

// hasRoom reports whether one more call to an endpoint leaves slots for other limit scopes. Where
// connections are scarce, a few messages share one connection, one after another: opening one takes as long
// as several calls.
func (s *Sender) hasRoom(endpoint *endpointState) bool {
	mayConnect := !s.connectionsScarce(endpoint) ||
		len(endpoint.calls) <= endpoint.destination.held/messagesPerConnection
	scopeSlots := max(2, int(maxScopeSlotShare*float64(s.settings.Slots)))
	return mayConnect && (endpoint.health == probation || endpoint.limitScope.inFlight < scopeSlots)
}

// suits reports whether an endpoint's health permits a message to be sent there. A message that may not be
// repeated is kept away from an endpoint that answers late or may leave it unanswered, and waits for the
// next process if this one may end before the answer.
func (s *Sender) suits(message *message, endpoint *endpointState) bool {
	if endpoint.health == probation && message.attemptCount+1 >= s.settings.MaxAttempts ||
		s.breakerOpen(endpoint, message.classIndex) {
		return false // the last attempt is not spent on a probe
	}
	health := endpoint.classHealth(message.classIndex)
	overdueSlots := max(1, int(maxOverdueSlotShare*float64(s.settings.Slots)))
	if (health.consecutiveFailures > 0 || s.now < health.openUntil) && s.overdueCalls >= overdueSlots {
		return false // otherwise unanswered calls would use up all slots
	}
	if message.class.Effect == Safe ||
		message.class.Effect == Keyed && s.now-endpoint.failingSince < maxBriefOutage {
		return true
	}
	late := s.lateAfter(endpoint, message.classIndex)
	return s.now+late < s.shutdownAt && (endpoint.health == probation || s.unansweredFor(endpoint) <= late)
}

// dispatch makes calls while there are free slots, the best first. If a call finds no slot, it cancels an
// overdue call.
func (s *Sender) dispatch() {
	s.enqueueResumed()
	s.plans = s.plans[:0]
	slotsPossible := len(s.calls) < s.settings.Slots || s.oldestOverdue() != nil
	for _, d := range s.backlogged {
		s.plans = append(s.plans, s.planFor(d, slotsPossible))
	}
	for {
		best := &plan{}
		for i := range s.plans {
			if p := &s.plans[i]; p.endpoint != nil && (best.endpoint == nil || p.score > best.score) {
				best = p
			}
		}
		if best.endpoint == nil {
			return
		}
		if len(s.calls) >= s.settings.Slots {
			s.cancelOldest()
			return
		}
		s.send(best.endpoint, best.messages)
		*best = s.planFor(best.endpoint.destination, true) // a call does not change the plans of other destinations
	}
}

// planFor returns the best call to a destination now: to the endpoint of least cost that is ready, with the
// messages of most gain. Without slotsPossible there is no plan, only the bookkeeping.
func (s *Sender) planFor(destination *destinationState, slotsPossible bool) plan {
	var ready []*endpointState
	for _, ep := range destination.endpoints {
		if !ep.inService {
			continue
		}
		if s.earliestSend(ep) > s.now {
			if ep.limitScope.controller.nextSend > s.now && destination.hasWaiting() {
				ep.limitScope.controller.lastLimited = s.now
			}
			if (ep.health != healthy || ep.mustWait()) && destination.hasWaiting() {
				s.observations.Deferred++
			}
		} else if slotsPossible && s.hasRoom(ep) {
			ready = append(ready, ep)
		} else if destination.hasWaiting() {
			s.resetPhase(ep) // what holds up many senders may end for all of them at once
		}
	}
	slices.SortStableFunc(ready, func(a, b *endpointState) int {
		return cmp.Compare(s.endpointCost(a), s.endpointCost(b))
	})
	for _, ep := range ready {
		if p := s.fillCall(destination, ep); p.endpoint != nil {
			return p
		}
	}
	return plan{}
}

// endpointCost orders endpoints by the likely seconds to an answer, with the cost of a route's zone as
// seconds.
func (s *Sender) endpointCost(endpoint *endpointState) float64 {
	cost := endpoint.typicalLatency() * (1 + float64(len(endpoint.calls))/2)
	if s.settings.Senders > SmallFleet {
		// All failed endpoints have the same pause; with this they are tried in turn.
		cost *= 1 + float64(endpoint.consecutiveFailures)
	}
	if s.now-endpoint.lastUsed > s.settings.KeepAlive || len(endpoint.calls) >= endpoint.peakCalls {
		cost += handshakeTime.Seconds()
	}
	if s.kind(endpoint).RoutesApart && endpoint.zone < len(s.settings.ZoneCosts) {
		cost += zoneCostSeconds * s.settings.ZoneCosts[endpoint.zone]
	}
	return cost
}

// fillCall picks the messages of one call to an endpoint: those that lose most by waiting. A probe carries
// safe messages or, if there are none, a single other one, as it should risk little.
func (s *Sender) fillCall(destination *destinationState, endpoint *endpointState) plan {
	batch := max(1, s.kind(endpoint).Batch)
	probe := endpoint.health == probation || endpoint.limitScope.unproven
	best := s.rankMessages(destination, endpoint, batch, func(e Effect) bool { return e == Safe || !probe })
	if len(best) == 0 && probe {
		batch = 1
		best = s.rankMessages(destination, endpoint, batch, func(e Effect) bool { return e != Safe })
	}
	fitting := fitInCall(best)
	cutShort := len(fitting) < len(best)
	best = fitting
	anyWaited := func() bool {
		return slices.ContainsFunc(best, func(r rankedMessage) bool { return s.waitedForBatch(r.message) })
	}
	if len(best) < batch && !cutShort && !anyWaited() {
		return plan{}
	}
	p := plan{endpoint: endpoint}
	for _, r := range best {
		p.messages = append(p.messages, r.message)
		p.score += r.value
	}
	p.score /= max(endpoint.latency, minScoredLatency)
	return p
}

// fitInCall returns the first of the ranked messages that fit in the body of one call together: all up to the
// first that does not. A single message always fits.
func fitInCall(ranked []rankedMessage) []rankedMessage {
	bytes := 0
	for i, r := range ranked {
		if bytes += r.message.bytes; bytes > MaxCallBytes && i > 0 {
			return ranked[:i]
		}
	}
	return ranked
}

// rankMessages returns the waiting messages of certain effects that gain most at an endpoint, up to a limit.
func (s *Sender) rankMessages(destination *destinationState, endpoint *endpointState, limit int,
	permits func(Effect) bool) []rankedMessage {
	eligible := func(m *message) bool { return s.maySend(m, endpoint) }
	r := ranking{limit: limit, subtrees: &s.subtrees, eligible: eligible}
	at := s.now + seconds(endpoint.latency)
	later := at + s.horizon(destination)
	for _, g := range destination.groups {
		m := g.root // stands for its group: the others differ in nothing that is checked here
		if !g.ready || !permits(m.class.Effect) || !s.suits(m, endpoint) || !withinDedupScope(m, endpoint) {
			continue
		}
		weight := s.tenantWeight(m.tenant)
		gain := func(m *message) float64 { return weight * s.gain(m, at, later) }
		tolerance := roundingTolerance * weight * m.class.Worth
		r.add(g, gain, tolerance, append(breakpoints(m.class, at), breakpoints(m.class, later)...))
	}
	return r.best
}

// waitedForBatch reports whether a message has waited long enough for others to share a call with. The wait
// guards against small calls that use up a limit. Where messages are rare, each comes a little later, but
// within its aim and so without loss of worth.
func (s *Sender) waitedForBatch(message *message) bool {
	arrivedAt := message.deadline - message.class.Deadline
	return message.attemptCount > 0 || s.now-arrivedAt >= message.class.Aim/batchWaitDivisor
}

// horizon returns how long a destination's backlog takes, which is how long a message waits that is not
// sent now.
func (s *Sender) horizon(destination *destinationState) time.Duration {
	return min(max(seconds(s.backlogSeconds(destination)), minHorizon), maxHorizon)
}

// gain returns the worth that is lost if a message is delivered later rather than at the given time, plus a
// little of its whole worth.
func (s *Sender) gain(message *message, at, later time.Duration) float64 {
	worth := s.worth(message, at)
	return worth - s.worth(message, later) + baseWorthWeight*worth
}

// breakpoints returns the first deadlines at which messages of a class are alive, and within their aim, at
// a given time. Between breakpoints worth is constant or monotonic in the deadline, and so is gain: where
// worth reaches its floor the direction of gain does not change.
func breakpoints(class *Class, at time.Duration) []time.Duration {
	return []time.Duration{at + 1, at + class.Deadline - class.Aim}
}

// worth returns what a message earns if delivered at the given time.
func (s *Sender) worth(message *message, at time.Duration) float64 {
	class := message.class
	age := class.Deadline - (message.deadline - at)
	switch {
	case at >= message.deadline:
		return 0
	case age <= class.Aim:
		return class.Worth
	}
	late := (age - class.Aim).Seconds()
	if s.settings.LateHalving {
		return class.Worth * max(class.LateWorth, math.Exp2(-late/max(class.Aim.Seconds(), minDivisor)))
	}
	return class.Worth * (1 - (1-class.LateWorth)*late/max((class.Deadline-class.Aim).Seconds(), minDivisor))
}

// tenantWeight discounts the messages of a tenant by what seems to exceed its share of this sender's traffic.
func (s *Sender) tenantWeight(tenant int) float64 {
	if len(s.tenantArrivals) == 0 || s.totalQuota <= 0 {
		return 1
	}
	within := 0.0 // messages of no tenant have no share
	if tenant < len(s.tenantArrivals) {
		own := s.tenantArrivals[tenant].perSecond(s.now, trafficSpan)
		all := s.totalArrivals.perSecond(s.now, trafficSpan)
		within = min(1, s.settings.Tenants[tenant].Quota/s.totalQuota*all/max(own, minArrivalRate))
	}
	return within + (1-within)*s.settings.OverShareWorth
}

// cancelOldest cancels the oldest overdue call in flight, if there is one. This guards against calls that
// are never answered and use up every slot, each of which could carry ten others. Where answers are merely
// slow, the cost is an answer that may have been about to come.
func (s *Sender) cancelOldest() { s.cancelCall(s.oldestOverdue()) }

// oldestOverdue returns the long overdue call that has been in flight longest, nil if there is none or a
// cancelled call is about to free its slot.
func (s *Sender) oldestOverdue() (oldest *call) {
	for _, c := range s.calls {
		if c.cancelled {
			return nil
		}
		if s.now-c.sentAt > longOverdueFactor*s.lateAfter(c.endpoint, c.class()) &&
			(oldest == nil || c.sentAt < oldest.sentAt) {
			oldest = c
		}
	}
	return oldest
}
