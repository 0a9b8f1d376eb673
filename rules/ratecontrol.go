// This file owns the rate controller (AIMD) of a limit scope: what a refusal, an answer and a Retry-After
// do to its rate. Until a refusal it must not limit the rate, and it must never let a call leave before a
// Retry-After ends.

package rules

import (
	"cmp"
	"time"
)

const (
	// Multiplicative decrease and additive increase.
	decreaseFactor   = 0.7         // of the rate that a decrease keeps; DecreaseFactor in the design
	decreaseCooldown = time.Second // between two decreases
	increaseInterval = time.Second // between two increases
	increaseShare    = 0.1         // of the rate before the latest decrease; fixed by the design

	// A rate measured over fewer calls says little: a listed one is better.
	minMeasuredCalls = 2.5

	// Least rate of one sender in calls a second, as traffic is not spread evenly over the senders. After the
	// first refusal in a row it is 1/16 of that.
	minRate               = 1.0
	repeatedRefusalFactor = 1.0 / 16

	// A rate no longer applies after this long without a refusal, a Retry-After or a message that waits for it.
	// A breaker stays open for at most as long.
	limitExpiry = 15 * time.Second

	// Time constants of the rates of sends and refusals.
	largeFleetRateSpan = 12 * time.Second
	smallFleetRateSpan = 3 * time.Second

	// From this number of senders on a sender makes so few calls that a single refusal may be all it sees of an
	// outage.
	sparseFleet = 12

	// Refusals come from an outage, and not from a limit, if there are this many in a row without an
	// answer, over at least this time, or if a Retry-After is longer than a limit's own.
	outageRefusals    = 2
	outageRefusalSpan = 2 * time.Second // longer than the gap that follows a first refusal
	longRetryAfter    = 2500 * time.Millisecond
)

// onRefusal processes the refusal of a call that was sent at sentAt. The first decrease starts from a
// listed rate, as the measured rate of a short burst may be far off the limit. The rate stays at or above
// half of this sender's part of the listed rate, and at or above leastRate. This guards against repeated
// decreases while a limit was temporarily low. Where the list is long out of date the rate is too high.
// firstGap is the part of a full gap until the next call after the first decrease.
func (c *rateController) onRefusal(now, sentAt time.Duration, listed float64, senders int,
	firstGap, leastRate float64) {
	span := rateSpan(senders)
	c.refusedRate.add(now, span, 1)
	c.lastRefusal = now
	if c.rate > 0 && (now-c.lastDecrease < decreaseCooldown || sentAt <= c.lastDecrease) {
		return
	}
	before, gap := c.rate, 1.0
	if before == 0 {
		before = max(c.sentRate.perSecond(now, span), c.refusedRate.perSecond(now, span))
		part := listed / float64(max(senders, 1))
		if listed > 0 && before*span.Seconds() < minMeasuredCalls {
			before = part
		} else if listed > 0 {
			before = min(max(before, part), listed)
		}
		gap = firstGap
	}
	c.increase = increaseShare * before
	c.rate = max(before*decreaseFactor, leastRate, listed/float64(2*max(senders, 1)))
	c.lastDecrease, c.lastChange = now, now
	c.nextSend = max(c.nextSend, now+seconds(gap/c.rate))
}

// rateSpan returns the time constant of the rates of sends and refusals. It is longer in a large fleet, whose
// senders each call seldom.
func rateSpan(senders int) time.Duration {
	if senders > SmallFleet {
		return largeFleetRateSpan
	}
	return smallFleetRateSpan
}

// onRetryAfter holds all calls of the limit scope until the given time. The interval between increases
// restarts at its end.
func (c *rateController) onRetryAfter(until time.Duration) {
	c.notBefore = max(c.notBefore, until)
	c.lastChange = max(c.lastChange, c.notBefore)
}

// onSuccess increases the rate by one step if the interval has passed and the rate has held back a message
// since the latest change.
func (c *rateController) onSuccess(now time.Duration) {
	if c.rate > 0 && c.lastLimited > c.lastChange && now-c.lastChange >= increaseInterval {
		c.rate += c.increase
		c.lastChange = now
	}
}

// expire drops a rate that has seen no refusal for limitExpiry. The time is that of the latest step,
// whenever the controller is looked at next. A rate does not expire while messages wait for it, as the
// backlog would leave in one burst. If the limit has grown a lot, the rate finds it by increases.
func (c *rateController) expire(now time.Duration) {
	if c.rate > 0 && now-max(c.lastRefusal, c.notBefore, c.lastLimited) >= limitExpiry {
		c.rate, c.nextSend = 0, 0
	}
}

// onSend counts a call against the rate. An idle limit scope saves up a single call.
func (c *rateController) onSend(now time.Duration, senders int) {
	c.sentRate.add(now, rateSpan(senders), 1)
	if c.rate > 0 {
		gap := seconds(1 / c.rate)
		c.nextSend = max(c.nextSend, now-gap) + gap
	}
}

// onRefusal processes a refused call. A refusal concerns the rate alone, unless refusals last, which those
// of a limit do not: then the destination has an outage and is cold when it returns.
//
// In a large fleet the gap after the first decrease is a random part of a full one, so that the senders do
// not all go on together. Each refusal there starts probation, as it may be all that a sender with little
// traffic sees of a hang, and late. minRate holds for the first refusal in a row only: with many senders at
// that rate, an endpoint that returns from a hang would be overloaded.
//
// This guards against a large fleet that was refused all along and returns to a cold destination together:
// a destination that recovers must not be overloaded by senders that knew of the outage. The cost is a slow
// start where a limit refuses a sender with little traffic, whose messages shed then refuses.
func (s *Sender) onRefusal(endpoint *endpointState, sentAt, retryAfter time.Duration) {
	scope := endpoint.limitScope
	scope.controller.expire(s.expiryCheckedAt)
	firstGap := 1.0
	if s.settings.Senders > SmallFleet {
		firstGap = s.rng.Float64()
	}
	leastRate := minRate
	if scope.consecutiveRefusals > 0 {
		leastRate = minRate * repeatedRefusalFactor
	}
	scope.controller.onRefusal(s.now, sentAt, s.knownLimit(endpoint), s.settings.Senders, firstGap, leastRate)
	if scope.consecutiveRefusals == 0 {
		scope.firstRefusedAt = sentAt
	}
	scope.consecutiveRefusals++
	lasting := s.settings.Senders >= sparseFleet ||
		scope.consecutiveRefusals >= outageRefusals && s.now-scope.firstRefusedAt >= outageRefusalSpan
	if retryAfter < longRetryAfter && !lasting {
		return
	}
	scope.lastFailedSentAt = max(scope.lastFailedSentAt, sentAt)
	for other := range endpoint.scopeEndpoints() {
		if other.health == probation {
			continue
		}
		if other.health == healthy {
			// The outage may be as old as that: a late refusal does not show when it began.
			other.failingSince = scope.lastAnsweredAt
		}
		s.startProbation(other, Refused, CauseRefusals)
	}
	if retryAfter < longRetryAfter {
		return
	}
	s.markUnavailableUntil(endpoint, s.now+retryAfter)
	if s.settings.MayShareHints {
		s.emit(PublishHint{Hint{Endpoint: endpoint.id, RetryAfter: retryAfter}})
	}
}

// knownLimit returns the limit that the destination itself reported, or else the listed rate; 0 if neither is
// known.
func (s *Sender) knownLimit(endpoint *endpointState) float64 {
	return cmp.Or(endpoint.limitScope.reportedLimit, endpoint.listedRate)
}
