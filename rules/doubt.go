package rules

import (
	"slices"
	"time"
)

// This file owns doubt: what a sender makes of an endpoint whose last word is a failure, as long as it is
// not taken for out. Few senders go on as if nothing were; of many, each waits briefly and lets one call find
// out. Doubt ends by an answer to a later call or by taking the endpoint for out. It must never let many
// senders go on in one moment.
const (
	retryPause    = 5 * time.Millisecond   // for each sender beyond a few: they must not retry at once
	maxRetryPause = 200 * time.Millisecond // longer ones bring the first retries of an outage to its end
	elsewhere     = 8                      // times as long while another endpoint of the destination serves
	followUp      = 100 * time.Millisecond // from the end of a pause; a failure not followed up counts as two
)

// pause is how long a destination's failed endpoints are left alone while it is in doubt whether they are
// down.
func (s *Sender) pause(ep *endpoint) time.Duration {
	pause := min(retryPause*time.Duration(max(s.set.Senders-fewSenders, 0)), maxRetryPause)
	if slices.ContainsFunc(ep.dest.endpoints, func(o *endpoint) bool { return o.listed && o.fails == 0 }) {
		pause *= elsewhere
	}
	return seconds(pause.Seconds() * (0.5 + s.rng.Float64()))
}

// doubtful tells whether an endpoint that failed has a call out whose outcome will tell more: others wait
// for it. Guards against a backlog that leaves at once when a pause ends; where answers are slow it is late.
func (s *Sender) doubtful(ep *endpoint) bool {
	most := max(1, int((1-s.caution())*float64(s.set.Slots)))
	return most < s.set.Slots && ep.fails > 0 && ep.health == healthy && len(ep.calls) >= most
}

// endDoubts takes endpoints for out whose last word is a failure that no call has followed in time. A brief
// pause spreads the calls that follow failures as they come; those that had to wait, for a slot or for a
// message, would leave many senders in one moment, as slots are freed by what ends for all of them at once.
func (s *Sender) endDoubts() {
	if s.caution() == 0 {
		return
	}
	for _, d := range s.waiting {
		for _, ep := range d.endpoints {
			late := ep.fails > 0 && ep.health == healthy && s.now > d.retryAt+followUp && len(ep.calls) == 0
			if late && s.alone(ep) && s.cautious() {
				s.suspend(ep, TimedOut, CauseFailures)
			}
		}
	}
}

// outlastedDoubt tells whether an answer to a call ends a doubt that is too old for a chance failure, or one
// on slow start: the endpoint may be cold.
func (s *Sender) outlastedDoubt(ep *endpoint, sent time.Duration) bool {
	if ep.fails == 0 || sent <= ep.failedAt || ep.health == probation || !s.cautious() {
		return false
	}
	return ep.health == ramping || sent-ep.failing >= briefTrouble && s.alone(ep)
}

// beginAnew begins the slow start that follows such a doubt.
func (s *Sender) beginAnew(ep *endpoint, sent time.Duration) {
	if ep.health == healthy {
		ep.base, ep.symptom = s.deliveredBefore(ep), TimedOut
	}
	ep.charged = s.now
	s.setHealth(ep, ramping, max(ep.since, s.returned(ep, sent)), CauseAnswered)
}

// copyFailures gives a new endpoint its destination's failures and state, or the whole backlog goes there at
// once.
func (s *Sender) copyFailures(ep *endpoint) {
	if s.set.Senders <= fewSenders {
		return
	}
	for _, other := range ep.dest.endpoints {
		if other.lane != ep.lane || other == ep {
			continue
		}
		ep.fails = max(ep.fails, other.fails)
		if other.health != healthy && ep.health == healthy && !serves(ep.dest, ep) && s.cautious() {
			ep.symptom, ep.failing = other.symptom, other.failing
			s.setHealth(ep, other.health, other.since, CauseInherited)
			ep.charged = s.phase(ep)
		}
	}
}

// inTrouble tells whether a message's attempts before this process speak of an outage.
func (b Before) inTrouble() bool { return b.Failed > 0 || b.MayRun && b.Ago > firstLate }

// serves tells whether a destination has an endpoint, other than this one, that is well as far as known.
func serves(d *destination, but *endpoint) bool {
	return slices.ContainsFunc(d.endpoints, func(o *endpoint) bool {
		return o != but && o.listed && o.health == healthy && o.fails == 0
	})
}

// alone tells whether no other endpoint vouches for an endpoint's destination. Else it may just be gone.
func (s *Sender) alone(ep *endpoint) bool { return s.kind(ep).RoutesApart || !serves(ep.dest, ep) }

// restoreFailures takes over an earlier process's failures at a destination, or a fleet that restarts during
// an outage sends all that it owes as it ends; one may have gone unheard, and a call that was out for long
// may have hung. Too careful where single attempts often fail.
func (s *Sender) restoreFailures(a Arrived) {
	d := s.destination(a.Destination)
	for _, ep := range d.endpoints {
		fails := min(max(a.Before.Failed, 2), failStreak)
		if s.set.Senders > fewSenders && fails > ep.fails {
			ep.fails, ep.failing = fails, s.now
			d.retryAt = max(d.retryAt, s.now+s.pause(ep))
		}
	}
}

// laterAnswered tells whether an answer speaks for an endpoint that left a call unanswered. Of many senders
// only one to a later call does: calls of before an outage may be answered after a call that it swallowed.
func (s *Sender) laterAnswered(ep *endpoint, sent time.Duration) bool {
	if s.cautious() {
		return ep.answeredFrom > sent
	}
	return ep.lastAnswer > sent
}
