package rules

import (
	"math"
	"slices"
	"time"
)

// This file owns the circuit breaker of one class at one endpoint, and the hints about it between senders.

const (
	breakerPause      = 6 * time.Second  // first pause of a class at an endpoint that failed it
	hintSpan          = 5 * time.Second  // span over which what is told of an endpoint counts
	hintThreshold     = 1.7              // notes within it that make a class shun an endpoint
	maxHintRetryAfter = 20 * time.Second // longest wait believed from another sender
)

// publishHint tells the other senders of a failed or overdue call, unless enough of them have said so
// already.
func (s *Sender) publishHint(c *call) {
	if c.hintPublished || !s.settings.MayShareHints {
		return
	}
	c.hintPublished = true
	if !c.classHealth().suspectedByOthers(s.now) {
		s.emit(PublishHint{Hint{Endpoint: c.endpoint.id, Class: c.class()}})
	}
	s.countHint(c.classHealth())
}

// doubted tells whether enough is said of an endpoint: one call may be slow by itself, two make a class shun
// it.
func (v *classHealth) suspectedByOthers(now time.Duration) bool {
	return v.hints.perSecond(now, hintSpan) >= hintThreshold/hintSpan.Seconds()
}

// onHint takes another sender's note. What it names may be unknown here.
func (s *Sender) onHint(n Hint) {
	ep := s.endpoint(n.Endpoint)
	switch {
	case ep == nil || n.Class < 0 || n.Class >= len(s.settings.Classes):
	case n.RetryAfter > 0:
		s.markUnavailableUntil(ep, s.now+min(n.RetryAfter, maxHintRetryAfter))
	default:
		s.countHint(ep.classHealth(n.Class))
	}
}

// countHint counts what is said of an endpoint.
func (s *Sender) countHint(v *classHealth) {
	if v.hints.add(s.now, hintSpan, 1); v.suspectedByOthers(s.now) {
		v.openUntil = max(v.openUntil, s.now+seconds(breakerPause.Seconds()*(1+s.rng.Float64())))
	}
}

// shun holds a failed or overdue call of a class against its endpoint: while another one takes the class, it
// goes there, and here in ever sparser trials. Guards against an endpoint that swallows one class and serves
// others, whose answers hide it; where calls are merely slow the other endpoints get more than their part.
func (s *Sender) openBreaker(c *call) {
	if v := c.classHealth(); !c.openedBreaker {
		c.openedBreaker = true
		pause := min(breakerPause.Seconds()*math.Exp2(float64(v.consecutiveFailures)), limitExpiry.Seconds())
		v.openUntil = s.now + seconds(pause*(0.5+s.rng.Float64()))
		v.consecutiveFailures++
	}
}

// shuns tells whether a class is to stay away from an endpoint, as another one takes it.
func (s *Sender) breakerOpen(ep *endpointState, class int) bool {
	return s.now < ep.classHealth(class).openUntil &&
		slices.ContainsFunc(ep.destination.endpoints, func(o *endpointState) bool {
			return o.inService && o.health != probation && s.now >= o.classHealth(class).openUntil
		})
}
