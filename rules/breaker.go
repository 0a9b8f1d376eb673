package rules

import (
	"math"
	"slices"
	"time"
)

// This file owns the circuit breaker of one class at one endpoint, and the hints about it between senders.

const (
	shunned    = 6 * time.Second  // first pause of a class at an endpoint that failed it
	toldMemory = 5 * time.Second  // span over which what is told of an endpoint counts
	toldEnough = 1.7              // notes within it that make a class shun an endpoint
	maxTold    = 20 * time.Second // longest wait believed from another sender
)

// publishHint tells the other senders of a failed or overdue call, unless enough of them have said so
// already.
func (s *Sender) publishHint(c *call) {
	if c.told || !s.set.MayTell {
		return
	}
	c.told = true
	if !c.service().doubted(s.now) {
		s.act(Tell{Note{Endpoint: c.ep.id, Class: c.class()}})
	}
	s.countHint(c.service())
}

// doubted tells whether enough is said of an endpoint: one call may be slow by itself, two make a class shun
// it.
func (v *service) doubted(now time.Duration) bool {
	return v.told.perSecond(now, toldMemory) >= toldEnough/toldMemory.Seconds()
}

// onHint takes another sender's note. What it names may be unknown here.
func (s *Sender) onHint(n Note) {
	ep := s.endpoint(n.Endpoint)
	switch {
	case ep == nil || n.Class < 0 || n.Class >= len(s.set.Classes):
	case n.Wait > 0:
		s.opensAt(ep, s.now+min(n.Wait, maxTold))
	default:
		s.countHint(ep.service(n.Class))
	}
}

// countHint counts what is said of an endpoint.
func (s *Sender) countHint(v *service) {
	if v.told.add(s.now, toldMemory, 1); v.doubted(s.now) {
		v.retryAt = max(v.retryAt, s.now+seconds(shunned.Seconds()*(1+s.rng.Float64())))
	}
}

// shun holds a failed or overdue call of a class against its endpoint: while another one takes the class, it
// goes there, and here in ever sparser trials. Guards against an endpoint that swallows one class and serves
// others, whose answers hide it; where calls are merely slow the other endpoints get more than their part.
func (s *Sender) shun(c *call) {
	if v := c.service(); !c.overdue {
		c.overdue = true
		pause := min(shunned.Seconds()*math.Exp2(float64(v.ill)), paceLapse.Seconds())
		v.retryAt = s.now + seconds(pause*(0.5+s.rng.Float64()))
		v.ill++
	}
}

// shuns tells whether a class is to stay away from an endpoint, as another one takes it.
func (s *Sender) shuns(ep *endpoint, class int) bool {
	return s.now < ep.service(class).retryAt && slices.ContainsFunc(ep.dest.endpoints, func(o *endpoint) bool {
		return o.listed && o.health != probation && s.now >= o.service(class).retryAt
	})
}
