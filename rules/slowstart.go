package rules

import (
	"math"
	"slices"
	"time"
)

// This file owns what a destination may be sent after failures and during its slow start.

const (
	retryPause    = 5 * time.Millisecond   // for each sender beyond a crowd: they must not retry at once
	maxRetryPause = 200 * time.Millisecond // longer ones bring the first retries of an outage to its end
	restPart      = 0.7                    // of what a budget would give; 1 serves less, 0.5 pushes over
	leastPart     = 0.3                    // calls a second of a cold budget, for any sender
)

// pause is how long a destination's failed endpoints are left alone: briefly at first, then up to the time in
// which this sender's own traffic there would use its part of a cold destination's budget.
func (s *Sender) pause(ep *endpoint) time.Duration {
	own := ep.dest.wanted.perSecond(s.now, deliveredMemory)
	if s.kind(ep).RoutesApart {
		own /= float64(ep.dest.width())
	}
	share := restPart / max(s.set.OverloadFactor*s.set.ColdShare*own, 1e-3)
	steps := 6 * min(ep.fails-1, failStreak)
	if slices.ContainsFunc(ep.dest.endpoints, func(o *endpoint) bool { return o.listed && o.fails == 0 }) {
		steps += 3 // others can serve meanwhile
	}
	first := min(retryPause*time.Duration(max(s.set.Senders-crowd, 0)), maxRetryPause)
	return seconds(min(first.Seconds()*math.Exp2(float64(steps)), share) * (0.5 + s.rng.Float64()))
}

// inherit gives a new endpoint its destination's failures, or a crowd's whole backlog goes there at once.
func (s *Sender) inherit(ep *endpoint) {
	for _, other := range ep.dest.endpoints {
		if s.set.Senders > crowd && other.lane == ep.lane {
			ep.fails = max(ep.fails, other.fails)
		}
	}
}

// recall takes over an earlier process's failures at a destination, or a crowd that restarts during an outage
// sends all that it owes as it ends; one may have gone unheard. Too careful where single attempts often fail.
func (s *Sender) recall(a Arrived) {
	d := s.destination(a.Destination)
	for _, ep := range d.endpoints {
		if fails := min(max(a.Before.Failed, 2), failStreak); s.set.Senders > crowd && fails > ep.fails {
			ep.fails = fails
			d.retryAt = max(d.retryAt, s.now+s.pause(ep))
		}
	}
}

// gap is the time between calls to an endpoint on probation or on its ramp. A sender keeps to its own part of
// a cold destination's budget: what it delivered before, its part of a listed rate or a least part, as few of
// many senders have anything to send at once, times the share of capacity that must be back by now.
func (s *Sender) gap(ep *endpoint) time.Duration {
	peers, warm := float64(max(s.set.Senders, 1)), 0.0
	longest := s.set.FallWindow.Seconds() * peers / 2
	if !s.kind(ep).RoutesApart {
		peers *= float64(ep.dest.width())
		longest *= float64(ep.dest.width())
	}
	if ep.health == ramping {
		mid := (s.now + max(ep.charged, ep.since)) / 2 // as the rate rises evenly since the last call
		warm = min(1, max(0, mid-ep.since).Seconds()/max(s.set.WarmUp.Seconds(), 1e-3))
	}
	part := ep.rate / peers
	if !s.set.RatesExact {
		part /= 2 // it may be half too high
	}
	// no more than its own traffic: after a long outage all of a crowd's sparse senders have something to send
	least := min(leastPart, ep.dest.wanted.perSecond(s.now, deliveredMemory)/float64(ep.dest.width()))
	rate := s.set.OverloadFactor * max(ep.base, part, least) * (s.set.ColdShare + (1-s.set.ColdShare)*warm)
	gap := seconds(min(longest, 1/max(rate, 1e-3)))
	if ep.health == probation { // young trouble cannot have left anything cold
		gap = min(gap, max(s.now-ep.failing, minLate)*time.Duration(max(s.set.Senders, 3))/6)
		if ep.symptom == Full && s.now-ep.failing < briefTrouble {
			gap = 0 // what refuses answers: the pace spaces the trials
		}
	}
	return gap
}

// gate is the earliest time at which pace and health let a call go to an endpoint.
func (s *Sender) gate(ep *endpoint) time.Duration {
	ep.lane.pace.lapse(s.lapsedAt)
	at := max(ep.lane.pace.haltUntil, ep.lane.pace.next, ep.knockAt)
	if ep.health != healthy {
		at = max(at, ep.charged+s.gap(ep))
	}
	if ep.fails > 0 {
		at = max(at, ep.dest.retryAt)
	}
	return at
}
