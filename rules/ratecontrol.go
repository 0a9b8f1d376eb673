package rules

import (
	"cmp"
	"time"
)

// This file owns the AIMD rate of a lane: what a refusal, an answer and a told wait do to it.

const (
	cutFactor     = 0.7                     // the design's DecreaseFactor
	cutCooldown   = time.Second             // between two cuts
	climbInterval = time.Second             // between two steps up
	climbShare    = 0.1                     // share of the rate before the last cut; fixed by the design
	fewCalls      = 2.5                     // a rate measured over fewer says little: a listed one is better
	minPace       = 1.0                     // calls a second of one sender: traffic is not spread evenly
	paceLapse     = 15 * time.Second        // quiet time after which a pace no longer binds
	crowdMemory   = 12 * time.Second        // span of send and refusal rates in a large fleet
	sendMemory    = 3 * time.Second         // span of send and refusal rates
	refusalStreak = 3                       // refusals in a row without a success: shut rather than full
	refusalSpan   = 5 * time.Second         // and over at least this long
	longWait      = 2500 * time.Millisecond // a told wait beyond a limit's own: shut
)

// onRefusal takes a refusal of a call sent at sentAt. A listed rate seeds the first cut, as the measured
// rate of a short burst may be far off it; half of this sender's part of it is a minimum, as is least.
// Guards against a chain of cuts while a limit was low; too much where the list is long out of date.
func (p *pace) onRefusal(now, sentAt time.Duration, listed float64, senders int, first, least float64) {
	span := rateSpan(senders)
	p.refused.add(now, span, 1)
	p.lastRefusal = now
	if p.rate > 0 && (now-p.lastCut < cutCooldown || sentAt <= p.lastCut) {
		return
	}
	before, gap := p.rate, 1.0
	if before == 0 {
		before = max(p.sent.perSecond(now, span), p.refused.perSecond(now, span))
		if part := listed / float64(max(senders, 1)); listed > 0 && before*span.Seconds() < fewCalls {
			before = part
		} else if listed > 0 {
			before = min(max(before, part), listed)
		}
		gap = first
	}
	p.step = climbShare * before
	p.rate = max(before*cutFactor, least, listed/float64(2*max(senders, 1)))
	p.lastCut, p.lastChange = now, now
	p.next = max(p.next, now+seconds(gap/p.rate))
}

// rateSpan is the span of send and refusal rates: longer in a crowd, whose senders each call seldom.
func rateSpan(senders int) time.Duration {
	if senders > fewSenders {
		return crowdMemory
	}
	return sendMemory
}

// onWait halts the lane for a told wait; the climb clock restarts at its end.
func (p *pace) onWait(until time.Duration) {
	p.haltUntil = max(p.haltUntil, until)
	p.lastChange = max(p.lastChange, p.haltUntil)
}

// onSuccess climbs one step if the interval has passed and a message waited.
func (p *pace) onSuccess(now time.Duration) {
	if p.rate > 0 && p.lastWaited > p.lastChange && now-p.lastChange >= climbInterval {
		p.rate += p.step
		p.lastChange = now
	}
}

// lapse unbinds a pace that has seen no refusal for long, as of the last step's time when next looked at. Not
// while messages wait for it: the backlog would leave in one burst; a limit grown far is found by climbing.
func (p *pace) lapse(now time.Duration) {
	if p.rate > 0 && now-max(p.lastRefusal, p.haltUntil, p.lastWaited) >= paceLapse {
		p.rate, p.next = 0, 0
	}
}

// onSend takes one call from the pace; an idle lane saves up one call and no more.
func (p *pace) onSend(now time.Duration, senders int) {
	p.sent.add(now, rateSpan(senders), 1)
	if p.rate > 0 {
		gap := seconds(1 / p.rate)
		p.next = max(p.next, now-gap) + gap
	}
}

// refused takes a refusal as full: the pace's matter, unless it lasts, which a limit's refusals do not; then
// the destination is shut and comes back cold. In a crowd the first gap is any part of a whole one, so that
// not all resume together, and each refusal starts probation: one may be all that a sparse sender sees of a
// hang, late. The least pace holds for the first refusal in a row only: many at their least would push over
// what returns from a hang. Guards against a crowd refused all along that returns on a cold destination
// together (rule 4); costs a ramp where a limit refuses a sparse sender, whose messages handBack gives away.
func (s *Sender) refused(ep *endpoint, sent, wait time.Duration) {
	l, first := ep.lane, 1.0
	l.pace.lapse(s.lapsedAt)
	if s.set.Senders > fewSenders {
		first = s.rng.Float64()
	}
	least := minPace / float64(1+15*min(l.refusals, 1)) // a sixteenth after the first refusal in a row
	l.pace.onRefusal(s.now, sent, s.listedRate(ep), s.set.Senders, first, least)
	if l.refusals == 0 {
		l.refusedAt = sent
	}
	l.refusals++
	lasting := s.cautious() || l.refusals >= refusalStreak && s.now-l.refusedAt >= refusalSpan
	if wait < longWait && !lasting {
		return
	}
	for _, other := range ep.dest.endpoints {
		if other.lane == l && other.health != probation {
			if other.health == healthy {
				other.failing = l.servedAt // trouble may be as old: a late refusal tells nothing of its age
			}
			s.suspend(other, Full, CauseRefusals)
		}
	}
	if wait < longWait {
		return
	}
	s.opensAt(ep, s.now+wait)
	if s.set.MayTell {
		s.act(Tell{Note{Endpoint: ep.id, Wait: wait}})
	}
}

// listedRate is what the registry or the destination itself told of the lane's limit, 0 if nothing.
func (s *Sender) listedRate(ep *endpoint) float64 { return cmp.Or(ep.lane.reported, ep.rate) }
