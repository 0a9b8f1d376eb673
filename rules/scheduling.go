package rules

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file owns the order of work: which message goes to which endpoint next.

const (
	maxScopeSlotShare   = 0.4                    // of the slots that one lane may fill
	maxOverdueSlotShare = 0.2                    // of the slots
	batchWaitDivisor    = 4                      // of its aim, a message waits for others to share a call: 1/4
	minHorizon          = 250 * time.Millisecond // look-ahead for worth lost by waiting
	maxHorizon          = 3 * time.Second        // and at most: later losses count little
	roundingTolerance   = 1e-14                  // of a worth, that rounding may move a gain
	baseWorthWeight     = 0.05                   // weight of a message's whole worth
	handshakeTime       = 100 * time.Millisecond // latency that a connection likely open saves
	zoneCostSeconds     = 20.0                   // seconds of latency that a route's toll of 1 outweighs
	// messages for each connection to a full table; it takes three calls
	messagesPerConnection = 4
)

// hasRoom tells whether one more call to the endpoint leaves slots for other lanes. Where places are scarce
// a few messages share a connection, one by one: opening one takes as long as several calls.
func (s *Sender) hasRoom(ep *endpointState) bool {
	free := !s.connectionsScarce(ep) || len(ep.calls) <= ep.destination.held/messagesPerConnection
	return free &&
		(ep.health == probation ||
			ep.limitScope.inFlight < max(2, int(maxScopeSlotShare*float64(s.settings.Slots))))
}

// fits tells whether a message suits an endpoint's health: what may not be repeated stays away from one that
// answers late, or may swallow it, and waits for the next process if this one may end before the answer.
func (s *Sender) suits(m *message, ep *endpointState) bool {
	if ep.health == probation && m.attemptCount+1 >= s.settings.MaxAttempts || s.breakerOpen(ep, m.classIndex) {
		return false // its last attempt is for a better time
	}
	v, most := ep.classHealth(m.classIndex), max(1, int(maxOverdueSlotShare*float64(s.settings.Slots)))
	if (v.consecutiveFailures > 0 || s.now < v.openUntil) && s.overdueCalls >= most {
		return false // else calls that nobody answers fill every slot
	}
	if m.class.Effect == Safe || m.class.Effect == Keyed && s.now-ep.failingSince < maxBriefOutage {
		return true
	}
	late := s.lateAfter(ep, m.classIndex)
	return s.now+late < s.shutdownAt && (ep.health == probation || s.unansweredFor(ep) <= late)
}

// dispatch makes calls while there are slots, best first, and frees a slot if a good call finds none.
func (s *Sender) dispatch() {
	s.enqueueResumed()
	s.plans = s.plans[:0]
	useful := len(s.calls) < s.settings.Slots || s.oldestOverdue() != nil // else no plan comes to anything
	for _, d := range s.backlogged {
		s.plans = append(s.plans, s.planFor(d, useful))
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
		*best = s.planFor(best.endpoint.destination, true) // a call changes nothing for the others
	}
}

// planFor finds a destination's best call now: the cheapest endpoint that is ready, and what gains most.
func (s *Sender) planFor(d *destinationState, useful bool) plan {
	var ready []*endpointState
	for _, ep := range d.endpoints {
		if !ep.inService {
			continue
		}
		if s.earliestSend(ep) > s.now {
			if ep.limitScope.controller.nextSend > s.now && d.hasWaiting() {
				ep.limitScope.controller.lastLimited = s.now
			}
			if (ep.health != healthy || ep.consecutiveFailures > 0) && d.hasWaiting() {
				s.observations.Deferred++
			}
		} else if useful && s.hasRoom(ep) {
			ready = append(ready, ep)
		} else if d.hasWaiting() {
			s.resetPhase(ep) // what many were held up by may end for all at once
		}
	}
	slices.SortStableFunc(ready,
		func(a, b *endpointState) int { return cmp.Compare(s.endpointCost(a), s.endpointCost(b)) })
	for _, ep := range ready {
		if p := s.fillCall(d, ep); p.endpoint != nil {
			return p
		}
	}
	return plan{}
}

// price orders endpoints: likely time to the answer, and a route's toll as time.
func (s *Sender) endpointCost(ep *endpointState) float64 {
	t := ep.typicalLatency() * (1 + float64(len(ep.calls))/2)
	if s.settings.Senders > smallFleet {
		t *= 1 + float64(ep.consecutiveFailures) // one pause for all that failed: let them take turns
	}
	if s.now-ep.lastUsed > s.settings.KeepAlive || len(ep.calls) >= ep.peakCalls {
		t += handshakeTime.Seconds()
	}
	if s.kind(ep).RoutesApart && ep.zone < len(s.settings.ZoneCosts) {
		t += zoneCostSeconds * s.settings.ZoneCosts[ep.zone]
	}
	return t
}

// fill picks the messages of one call to an endpoint: those that lose most by waiting.
func (s *Sender) fillCall(d *destinationState, ep *endpointState) plan {
	best, n, trial := []rankedMessage(nil), max(1, s.kind(ep).Batch), ep.health == probation
	best = s.rankMessages(d, ep, n, func(e Effect) bool { return e == Safe || !trial })
	if len(best) == 0 && trial {
		n = 1 // a trial risks least with what may be repeated
		best = s.rankMessages(d, ep, n, func(e Effect) bool { return e != Safe })
	}
	if len(best) < n &&
		!slices.ContainsFunc(best, func(r rankedMessage) bool { return s.waitedForBatch(r.message) }) {
		return plan{}
	}
	p := plan{endpoint: ep}
	for _, r := range best {
		p.messages = append(p.messages, r.message)
		p.score += r.value
	}
	p.score /= max(ep.latency, 0.05)
	return p
}

// rank returns the n messages, or as many as there are, of some effects that gain most at an endpoint.
func (s *Sender) rankMessages(d *destinationState, ep *endpointState, n int,
	of func(Effect) bool) []rankedMessage {
	r := ranking{limit: n, subtrees: &s.subtrees, eligible: func(m *message) bool { return s.maySend(m, ep) }}
	at := s.now + seconds(ep.latency)
	later := at + s.horizon(d)
	for _, g := range d.groups {
		if m := g.root; g.ready && of(m.class.Effect) && s.suits(m, ep) && withinDedupScope(m, ep) {
			weight := s.tenantWeight(m.tenant)
			r.add(g, func(m *message) float64 { return weight * s.gain(m, at, later) },
				roundingTolerance*weight*m.class.Worth, append(breakpoints(m.class, at), breakpoints(m.class, later)...))
		}
	}
	return r.best
}

// ripe tells whether a message has waited its time for company, where calls hold several. Guards against
// small calls that use up a limit; where messages are rare it makes each a little later, at no loss of
// worth.
func (s *Sender) waitedForBatch(m *message) bool {
	return m.attemptCount > 0 || s.now-(m.deadline-m.class.Deadline) >= m.class.Aim/batchWaitDivisor
}

// horizon is how long a destination's backlog takes, which is what a message not sent now waits.
func (s *Sender) horizon(d *destinationState) time.Duration {
	return min(max(seconds(s.backlogSeconds(d)), minHorizon), maxHorizon)
}

// gain is the worth lost if a message comes later and not at a time, plus a little of its whole worth.
func (s *Sender) gain(m *message, at, later time.Duration) float64 {
	v := s.worth(m, at)
	return v - s.worth(m, later) + baseWorthWeight*v
}

// breaks are the first deadlines at which messages of a class are alive, and in their aim, at a time.
// Between them worth stays, rises or falls with the deadline, and gain does: where worth meets its floor
// none turns.
func breakpoints(c *Class, at time.Duration) []time.Duration {
	return []time.Duration{at + 1, at + c.Deadline - c.Aim}
}

// worth is what a message earns if delivered at a time.
func (s *Sender) worth(m *message, at time.Duration) float64 {
	c := m.class
	age := c.Deadline - (m.deadline - at)
	switch {
	case at >= m.deadline:
		return 0
	case age <= c.Aim:
		return c.Worth
	case s.settings.LateHalving:
		return c.Worth * max(c.LateWorth, math.Exp2(-(age-c.Aim).Seconds()/max(c.Aim.Seconds(), 1e-3)))
	}
	return c.Worth * (1 - (1-c.LateWorth)*(age-c.Aim).Seconds()/max((c.Deadline-c.Aim).Seconds(), 1e-3))
}

// tenantWeight discounts a tenant by what seems beyond its share, in proportion to the sender's own traffic.
func (s *Sender) tenantWeight(t int) float64 {
	if len(s.tenantArrivals) == 0 || s.totalQuota <= 0 {
		return 1
	}
	within := 0.0
	if t < len(s.tenantArrivals) { // else no tenant's: it has no share
		mine := s.tenantArrivals[t].perSecond(s.now, trafficSpan)
		all := s.totalArrivals.perSecond(s.now, trafficSpan)
		within = min(1, s.settings.Tenants[t].Quota/s.totalQuota*all/max(mine, 1e-9))
	}
	return within + (1-within)*s.settings.OverShareWorth
}

// cancelOldest gives up the stalest call, if there is one. Guards against calls that are never answered
// filling every slot, each of which could carry ten others; where answers are merely slow, one may have been
// to come.
func (s *Sender) cancelOldest() { s.cancelCall(s.oldestOverdue()) }

// oldestOverdue is the overdue call that has been out longest, nil while a slot is on the way.
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
