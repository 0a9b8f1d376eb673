package rules

import (
	"cmp"
	"time"
)

// This file owns the AIMD rate of a lane: what a refusal, an answer and a told wait do to it.

const (
	decreaseFactor   = 0.7         // the design's DecreaseFactor
	decreaseCooldown = time.Second // between two cuts
	increaseInterval = time.Second // between two steps up
	increaseShare    = 0.1         // share of the rate before the last cut; fixed by the design
	// a rate measured over fewer says little: a listed one is better
	minMeasuredCalls   = 2.5
	minRate            = 1.0                     // calls a second of one sender: traffic is not spread evenly
	limitExpiry        = 15 * time.Second        // quiet time after which a pace no longer binds
	largeFleetRateSpan = 12 * time.Second        // span of send and refusal rates in a large fleet
	smallFleetRateSpan = 3 * time.Second         // span of send and refusal rates
	outageRefusals     = 3                       // refusals in a row without a success: shut rather than full
	outageRefusalSpan  = 5 * time.Second         // and over at least this long
	longRetryAfter     = 2500 * time.Millisecond // a told wait beyond a limit's own: shut
)

// onRefusal takes a refusal of a call sent at sentAt. A listed rate seeds the first cut, as the measured
// rate of a short burst may be far off it; half of this sender's part of it is a minimum, as is least.
// Guards against a chain of cuts while a limit was low; too much where the list is long out of date.
func (p *rateController) onRefusal(now, sentAt time.Duration, listed float64, senders int,
	first, least float64) {
	span := rateSpan(senders)
	p.refusedRate.add(now, span, 1)
	p.lastRefusal = now
	if p.rate > 0 && (now-p.lastDecrease < decreaseCooldown || sentAt <= p.lastDecrease) {
		return
	}
	before, gap := p.rate, 1.0
	if before == 0 {
		before = max(p.sentRate.perSecond(now, span), p.refusedRate.perSecond(now, span))
		if part := listed / float64(max(senders, 1)); listed > 0 && before*span.Seconds() < minMeasuredCalls {
			before = part
		} else if listed > 0 {
			before = min(max(before, part), listed)
		}
		gap = first
	}
	p.increase = increaseShare * before
	p.rate = max(before*decreaseFactor, least, listed/float64(2*max(senders, 1)))
	p.lastDecrease, p.lastChange = now, now
	p.nextSend = max(p.nextSend, now+seconds(gap/p.rate))
}

// rateSpan is the span of send and refusal rates: longer in a crowd, whose senders each call seldom.
func rateSpan(senders int) time.Duration {
	if senders > smallFleet {
		return largeFleetRateSpan
	}
	return smallFleetRateSpan
}

// onWait halts the lane for a told wait; the climb clock restarts at its end.
func (p *rateController) onRetryAfter(until time.Duration) {
	p.notBefore = max(p.notBefore, until)
	p.lastChange = max(p.lastChange, p.notBefore)
}

// onSuccess climbs one step if the interval has passed and a message waited.
func (p *rateController) onSuccess(now time.Duration) {
	if p.rate > 0 && p.lastLimited > p.lastChange && now-p.lastChange >= increaseInterval {
		p.rate += p.increase
		p.lastChange = now
	}
}

// lapse unbinds a pace that has seen no refusal for long, as of the last step's time when next looked at. Not
// while messages wait for it: the backlog would leave in one burst; a limit grown far is found by climbing.
func (p *rateController) expire(now time.Duration) {
	if p.rate > 0 && now-max(p.lastRefusal, p.notBefore, p.lastLimited) >= limitExpiry {
		p.rate, p.nextSend = 0, 0
	}
}

// onSend takes one call from the pace; an idle lane saves up one call and no more.
func (p *rateController) onSend(now time.Duration, senders int) {
	p.sentRate.add(now, rateSpan(senders), 1)
	if p.rate > 0 {
		gap := seconds(1 / p.rate)
		p.nextSend = max(p.nextSend, now-gap) + gap
	}
}

// refused takes a refusal as full: the pace's matter, unless it lasts, which a limit's refusals do not; then
// the destination is shut and comes back cold. In a crowd the first gap is any part of a whole one, so that
// not all resume together, and each refusal starts probation: one may be all that a sparse sender sees of a
// hang, late. The least pace holds for the first refusal in a row only: many at their least would push over
// what returns from a hang. Guards against a crowd refused all along that returns on a cold destination
// together (rule 4); costs a ramp where a limit refuses a sparse sender, whose messages handBack gives away.
func (s *Sender) onRefusal(ep *endpointState, sent, wait time.Duration) {
	l, first := ep.limitScope, 1.0
	l.controller.expire(s.expiryCheckedAt)
	if s.settings.Senders > smallFleet {
		first = s.rng.Float64()
	}
	// a sixteenth after the first refusal in a row
	least := minRate / float64(1+15*min(l.consecutiveRefusals, 1))
	l.controller.onRefusal(s.now, sent, s.knownLimit(ep), s.settings.Senders, first, least)
	if l.consecutiveRefusals == 0 {
		l.firstRefusedAt = sent
	}
	l.consecutiveRefusals++
	lasting := s.treatsAsOutage() ||
		l.consecutiveRefusals >= outageRefusals && s.now-l.firstRefusedAt >= outageRefusalSpan
	if wait < longRetryAfter && !lasting {
		return
	}
	for _, other := range ep.destination.endpoints {
		if other.limitScope == l && other.health != probation {
			if other.health == healthy {
				other.failingSince = l.lastAnsweredAt // trouble may be as old: a late refusal tells nothing of its age
			}
			s.startProbation(other, Refused, CauseRefusals)
		}
	}
	if wait < longRetryAfter {
		return
	}
	s.markUnavailableUntil(ep, s.now+wait)
	if s.settings.MayShareHints {
		s.emit(PublishHint{Hint{Endpoint: ep.id, RetryAfter: wait}})
	}
}

// listedRate is what the registry or the destination itself told of the lane's limit, 0 if nothing.
func (s *Sender) knownLimit(ep *endpointState) float64 {
	return cmp.Or(ep.limitScope.reportedLimit, ep.listedRate)
}
