package rules

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file owns the order of work: which message goes to which endpoint next.

const (
	laneShare   = 0.4                    // of the slots that one lane may fill
	illShare    = 0.2                    // of the slots
	lingerPart  = 4                      // of its aim, a message waits for others to share a call: 1/4
	minHorizon  = 250 * time.Millisecond // look-ahead for worth lost by waiting
	maxHorizon  = 3 * time.Second        // and at most: later losses count little
	slack       = 1e-14                  // of a worth, that rounding may move a gain
	baseUrgency = 0.05                   // weight of a message's whole worth
	handshake   = 100 * time.Millisecond // latency that a connection likely open saves
	tollTime    = 20.0                   // seconds of latency that a route's toll of 1 outweighs
	perPlace    = 4                      // messages for each connection to a full table; it takes three calls
)

// hasRoom tells whether one more call to the endpoint leaves slots for other lanes. Where places are scarce
// a few messages share a connection, one by one: opening one takes as long as several calls.
func (s *Sender) hasRoom(ep *endpoint) bool {
	free := !s.crowded(ep) || len(ep.calls) <= ep.dest.held/perPlace
	return free && (ep.health == probation || ep.lane.inflight < max(2, int(laneShare*float64(s.set.Slots))))
}

// fits tells whether a message suits an endpoint's health: what may not be repeated stays away from one that
// answers late, or may swallow it, and waits for the next process if this one may end before the answer.
func (s *Sender) fits(m *message, ep *endpoint) bool {
	if ep.health == probation && m.tries+1 >= s.set.MaxAttempts || s.shuns(ep, m.classNo) {
		return false // its last attempt is for a better time
	}
	v, most := ep.service(m.classNo), max(1, int(illShare*float64(s.set.Slots)))
	if (v.ill > 0 || s.now < v.retryAt) && s.overdue >= most {
		return false // else calls that nobody answers fill every slot
	}
	if m.class.Effect == Safe || m.class.Effect == Keyed && s.now-ep.failing < briefTrouble {
		return true
	}
	late := s.lateAfter(ep, m.classNo)
	return s.now+late < s.endsAt && (ep.health == probation || s.quiet(ep) <= late)
}

// dispatch makes calls while there are slots, best first, and frees a slot if a good call finds none.
func (s *Sender) dispatch() {
	s.resume()
	s.plans = s.plans[:0]
	useful := len(s.calls) < s.set.Slots || s.oldestOverdue() != nil // else no plan comes to anything
	for _, d := range s.waiting {
		s.plans = append(s.plans, s.planFor(d, useful))
	}
	for {
		best := &plan{}
		for i := range s.plans {
			if p := &s.plans[i]; p.ep != nil && (best.ep == nil || p.score > best.score) {
				best = p
			}
		}
		if best.ep == nil {
			return
		}
		if len(s.calls) >= s.set.Slots {
			s.cancelOldest()
			return
		}
		s.send(best.ep, best.msgs)
		*best = s.planFor(best.ep.dest, true) // a call changes nothing for the others
	}
}

// planFor finds a destination's best call now: the cheapest endpoint that is ready, and what gains most.
func (s *Sender) planFor(d *destination, useful bool) plan {
	var ready []*endpoint
	for _, ep := range d.endpoints {
		if !ep.listed {
			continue
		}
		if s.gate(ep) > s.now {
			if ep.lane.pace.next > s.now && d.anyWaits() {
				ep.lane.pace.lastWaited = s.now
			}
			if (ep.health != healthy || ep.fails > 0) && d.anyWaits() {
				s.observations.Deferred++
			}
		} else if useful && s.hasRoom(ep) {
			ready = append(ready, ep)
		} else if d.anyWaits() {
			s.rephase(ep) // what many were held up by may end for all at once
		}
	}
	slices.SortStableFunc(ready, func(a, b *endpoint) int { return cmp.Compare(s.price(a), s.price(b)) })
	for _, ep := range ready {
		if p := s.fill(d, ep); p.ep != nil {
			return p
		}
	}
	return plan{}
}

// price orders endpoints: likely time to the answer, and a route's toll as time.
func (s *Sender) price(ep *endpoint) float64 {
	t := ep.usually() * (1 + float64(len(ep.calls))/2)
	if s.set.Senders > fewSenders {
		t *= 1 + float64(ep.fails) // one pause for all that failed: let them take turns
	}
	if s.now-ep.lastUse > s.set.KeepAlive || len(ep.calls) >= ep.peak {
		t += handshake.Seconds()
	}
	if s.kind(ep).RoutesApart && ep.zone < len(s.set.ZoneTolls) {
		t += tollTime * s.set.ZoneTolls[ep.zone]
	}
	return t
}

// fill picks the messages of one call to an endpoint: those that lose most by waiting.
func (s *Sender) fill(d *destination, ep *endpoint) plan {
	best, n, trial := []ranked(nil), max(1, s.kind(ep).Batch), ep.health == probation
	if best = s.rank(d, ep, n, func(e Effect) bool { return e == Safe || !trial }); len(best) == 0 && trial {
		n = 1 // a trial risks least with what may be repeated
		best = s.rank(d, ep, n, func(e Effect) bool { return e != Safe })
	}
	if len(best) < n && !slices.ContainsFunc(best, func(r ranked) bool { return s.ripe(r.m) }) {
		return plan{}
	}
	p := plan{ep: ep}
	for _, r := range best {
		p.msgs = append(p.msgs, r.m)
		p.score += r.value
	}
	p.score /= max(ep.latency, 0.05)
	return p
}

// rank returns the n messages, or as many as there are, of some effects that gain most at an endpoint.
func (s *Sender) rank(d *destination, ep *endpoint, n int, of func(Effect) bool) []ranked {
	r := ranking{n: n, parts: &s.parts, passes: func(m *message) bool { return s.maySend(m, ep) }}
	at := s.now + seconds(ep.latency)
	later := at + s.horizon(d)
	for _, g := range d.groups {
		if m := g.root; g.ready && of(m.class.Effect) && s.fits(m, ep) && keyHolds(m, ep) {
			weight := s.tenantWeight(m.tenant)
			r.add(g, func(m *message) float64 { return weight * s.gain(m, at, later) },
				slack*weight*m.class.Worth, append(breaks(m.class, at), breaks(m.class, later)...))
		}
	}
	return r.best
}

// ripe tells whether a message has waited its time for company, where calls hold several. Guards against
// small calls that use up a limit; where messages are rare it makes each a little later, at no loss of
// worth.
func (s *Sender) ripe(m *message) bool {
	return m.tries > 0 || s.now-(m.deadline-m.class.Deadline) >= m.class.Aim/lingerPart
}

// horizon is how long a destination's backlog takes, which is what a message not sent now waits.
func (s *Sender) horizon(d *destination) time.Duration {
	return min(max(seconds(s.backlog(d)), minHorizon), maxHorizon)
}

// gain is the worth lost if a message comes later and not at a time, plus a little of its whole worth.
func (s *Sender) gain(m *message, at, later time.Duration) float64 {
	v := s.worth(m, at)
	return v - s.worth(m, later) + baseUrgency*v
}

// breaks are the first deadlines at which messages of a class are alive, and in their aim, at a time.
// Between them worth stays, rises or falls with the deadline, and gain does: where worth meets its floor
// none turns.
func breaks(c *Class, at time.Duration) []time.Duration {
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
	case s.set.LateHalving:
		return c.Worth * max(c.LateWorth, math.Exp2(-(age-c.Aim).Seconds()/max(c.Aim.Seconds(), 1e-3)))
	}
	return c.Worth * (1 - (1-c.LateWorth)*(age-c.Aim).Seconds()/max((c.Deadline-c.Aim).Seconds(), 1e-3))
}

// tenantWeight discounts a tenant by what seems beyond its share, in proportion to the sender's own traffic.
func (s *Sender) tenantWeight(t int) float64 {
	if len(s.arrivals) == 0 || s.quotas <= 0 {
		return 1
	}
	within := 0.0
	if t < len(s.arrivals) { // else no tenant's: it has no share
		mine, all := s.arrivals[t].perSecond(s.now, deliveredMemory), s.total.perSecond(s.now, deliveredMemory)
		within = min(1, s.set.Tenants[t].Quota/s.quotas*all/max(mine, 1e-9))
	}
	return within + (1-within)*s.set.OverShareWorth
}

// cancelOldest gives up the stalest call, if there is one. Guards against calls that are never answered
// filling every slot, each of which could carry ten others; where answers are merely slow, one may have been
// to come.
func (s *Sender) cancelOldest() { s.cancel(s.oldestOverdue()) }

// oldestOverdue is the overdue call that has been out longest, nil while a slot is on the way.
func (s *Sender) oldestOverdue() (oldest *call) {
	for _, c := range s.calls {
		if c.cancelled {
			return nil
		}
		if s.now-c.sent > haste*s.lateAfter(c.ep, c.class()) && (oldest == nil || c.sent < oldest.sent) {
			oldest = c
		}
	}
	return oldest
}
