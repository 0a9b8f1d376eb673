package rules

import (
	"cmp"
	"math"
	"time"
)

// This file owns what a sender takes an endpoint for: what outcomes and silence say of it, and how long
// it waits for an answer.

const (
	failStreak    = 4                       // failures in a row that are an outage
	silenceFactor = 3                       // late-answer times of silence that are an outage
	briefTrouble  = 3 * time.Second         // trouble shorter than this leaves nothing cold
	latGain       = 0.125                   // weight of a new latency sample
	firstLate     = 2 * time.Second         // late-answer time before any sample
	mostSlow      = 2                       // times that late grows where all calls are slow
	minLate       = 500 * time.Millisecond  // least late-answer time: service times have long tails
	maxLate       = 8 * time.Second         // most: a slow endpoint must still be found silent in time
	patience      = 5                       // time-out of a repeatable call, in late-answer times
	haste         = 2                       // the same with all slots taken
	minPatience   = 1500 * time.Millisecond // least such time-out: a connect and a service time
	provenOpen    = 60                      // answers since a connect was turned away; then they stay open
	startOpen     = 5                       // the same where none was turned away yet
)

// timeout is how long to wait on a call. Only what may be sent again is timed out; freeSlot frees slots. A
// keyed one among it: its answer may be lost, and meanwhile it holds its key's turn and uses up its window.
func (s *Sender) timeout(m *message, ep *endpoint) time.Duration {
	if m.class.Effect == AtMostOnce {
		return 0
	}
	late := s.lateAfter(ep, m.classNo).Seconds()
	return max(seconds(late*patience*(1+float64(min(ep.fails, 4))/2)), minPatience)
}

// lateAfter is the time after which an answer of the endpoint to a call of the class is unusually late.
// Where all calls take longer than they did, it is no endpoint's fault, and later is usual.
func (s *Sender) lateAfter(ep *endpoint, class int) time.Duration {
	t := &ep.service(class).timing
	if !t.known {
		t = &ep.timing
	}
	if !t.known && s.set.Senders > fewSenders { // it sees little: go by what it sees elsewhere
		t = &s.usual[class]
	}
	if !t.known {
		return firstLate
	}
	return min(max(seconds((t.latency+4*t.spread)*min(max(s.slowness, 1), mostSlow)), minLate), maxLate)
}

func (t *timing) sample(elapsed time.Duration) {
	x := elapsed.Seconds()
	if !t.known {
		t.latency, t.spread, t.known = x, x/2, true
		return
	}
	t.spread += latGain * (math.Abs(x-t.latency) - t.spread)
	t.latency += latGain * (x - t.latency)
}

// judge takes what a call's outcome says of its endpoint and lane.
func (s *Sender) judge(c *call, e Ended) {
	ep := c.ep
	s.idled = append(s.idled, ep)
	if e.Report.Limit > 0 {
		ep.lane.reported = e.Report.Limit
	}
	if e.Outcome == TimedOut || e.Outcome == Cancelled {
		s.act(CloseIdle{Endpoint: ep.id})
	}
	switch o := e.Outcome; {
	case o == OK:
		s.succeeded(c, e.Elapsed)
	case o == Full:
		s.refused(ep, c.sent, e.Wait)
	case e.NoPlace:
		s.connectionLimitReached(ep)
	case o == Cancelled && s.now-c.sent > s.lateAfter(ep, c.class()) && s.alone(ep) && s.cautious():
		s.failed(ep, c.sent, TimedOut) // given up for its slot, or for silence: no more is learned of a hang
	case o == TimedOut && s.now-c.sent < minLate && s.cautious():
		// its message's time was up: nothing is learned of the endpoint
	case o != Cancelled && o != NotSent:
		s.failed(ep, c.sent, o)
	}
	if e.Outcome != OK {
		s.rephase(ep)
	}
	if e.Outcome == Errored || e.Outcome == TimedOut {
		s.shun(c)
		s.publishHint(c)
	}
}

// succeeded takes an answer. In probation only one to a call sent since it began starts the ramp: older ones
// may have been served before the outage. For the same reason one to a call no younger than the last that
// failed takes back no failure, of many senders: they would go on together.
func (s *Sender) succeeded(c *call, elapsed time.Duration) {
	ep, sent, v := c.ep, c.sent, c.service()
	s.proven[ep.kind]++
	if !s.stood { // else the answer may have lain here
		if v.known {
			s.slowness += latGain * (elapsed.Seconds()/max(v.latency, 1e-3) - s.slowness)
		}
		ep.sample(elapsed)
		v.sample(elapsed)
		s.usual[c.class()].sample(elapsed)
	}
	v.ill, v.retryAt = 0, 0
	outlasted := s.outlastedDoubt(ep, sent)
	if ep.fails > 0 && (sent > ep.failedAt || !s.cautious()) {
		ep.fails = 0
	}
	ep.lastAnswer, ep.connectRefusals, ep.connectNotBefore = s.now, 0, 0
	ep.answeredFrom = max(ep.answeredFrom, sent)
	ep.delivered.add(s.now, deliveredMemory, 1)
	ep.lane.refusals, ep.lane.servedAt = 0, s.now
	ep.lane.pace.lapse(s.lapsedAt)
	ep.lane.pace.onSuccess(s.now)
	cures := ep.unanswered() || ep.symptom == Full // silence and refusals ended soon leave nothing cold
	switch {
	case ep.health == probation && sent >= ep.since && sent-ep.failing < briefTrouble && cures:
		s.setHealth(ep, healthy, s.now, CauseShortLoss)
		s.cured.add(s.now, deliveredMemory, 1)
	case ep.health == probation && sent >= ep.since:
		ep.charged = s.now
		s.setHealth(ep, ramping, s.returned(ep, sent), CauseAnswered)
		s.promote(ep)
	case outlasted:
		s.beginAnew(ep, sent)
	case ep.health == ramping && s.now-ep.since >= s.set.WarmUp:
		s.setHealth(ep, healthy, s.now, CauseWarm)
	}
}

// failed takes a failure. A brief pause follows; several, of many senders two, start probation. Guards
// against any outage with a cold return, and many senders each trying once more; a chance run costs a slow
// start.
func (s *Sender) failed(ep *endpoint, sent time.Duration, why Outcome) {
	if why == TimedOut && s.laterAnswered(ep, sent) {
		return // one call lost where others are answered
	}
	if why == ConnectError && s.now-sent < s.set.ConnectTimeout/2 {
		s.proven[ep.kind] = startOpen - provenOpen
	}
	ep.failedAt = max(ep.failedAt, sent)
	if ep.fails++; ep.fails == 1 && ep.health == healthy {
		ep.failing = sent
	}
	late := why == Reset && s.now-sent > handshake || why == ConnectError && s.now-sent > minLate
	if late && s.cautious() {
		ep.fails = max(ep.fails, 2) // a hang or a silence may end for all at once: a brief pause spreads nothing
	}
	if ep.health == ramping && s.cautious() {
		s.notBackYet(ep)
	}
	ep.dest.retryAt = s.now + s.pause(ep)
	if ep.health != probation && (ep.fails >= failStreak || ep.fails > 1 && s.alone(ep) && s.cautious()) {
		s.suspend(ep, why, CauseFailures)
	}
}

// connectionLimitReached takes the word that an endpoint holds all the connections it can, which is no
// failure: it serves who has one, and calls free places. Guards against many senders that try all the time;
// may be late for one.
func (s *Sender) connectionLimitReached(ep *endpoint) {
	s.proven[ep.kind] = startOpen - provenOpen
	ep.connectRefusals = min(ep.connectRefusals+1, failStreak)
	pause := ep.usually() * math.Exp2(float64(ep.connectRefusals)) * (0.5 + s.rng.Float64())
	ep.connectNotBefore = s.now + seconds(pause)
}

// usually is the time to an answer, in seconds, a guess before the first.
func (t *timing) usually() float64 { return cmp.Or(t.latency, firstLate.Seconds()/4) }

// suspend puts an endpoint on probation.
func (s *Sender) suspend(ep *endpoint, why Outcome, cause Cause) {
	if ep.health == healthy {
		ep.base = s.deliveredBefore(ep)
		ep.failedAt = s.now
	}
	ep.symptom, ep.charged = why, s.now
	ep.probeGap = s.shareGap(ep)
	s.setHealth(ep, probation, s.now, cause)
	ep.charged = s.phase(ep)
	if ep.unanswered() && s.set.Senders <= fewSenders { // a probe soon, on a fresh connection
		ep.charged -= s.gap(ep)
		s.act(CloseIdle{Endpoint: ep.id})
	}
}

// unanswered tells whether an endpoint is on probation for silence, not for what it answered.
func (ep *endpoint) unanswered() bool { return ep.symptom == TimedOut || ep.symptom == ConnectError }

// opensAt takes the word that a destination is shut until then: it needs no trials, and is cold from then
// on.
func (s *Sender) opensAt(ep *endpoint, at time.Duration) {
	ep.lane.pace.onWait(at)
	for _, o := range ep.dest.endpoints {
		if o.lane == ep.lane {
			if o.health == healthy {
				s.suspend(o, Full, CauseToldShut)
			}
			s.setHealth(o, ramping, at, CauseToldShut)
			o.charged = at - seconds(s.gap(o).Seconds()*s.rng.Float64())
		}
	}
}

// detectUnresponsive puts endpoints on probation that answer nothing of what they have. A hang never
// refuses. Fresh connections come first, as one answer may be lost, and sooner where they have lately cured
// silence.
func (s *Sender) detectUnresponsive() {
	dying := s.dying()
	s.lapsedAt, s.overdue = s.now, 0
	for _, c := range s.calls {
		out, late := s.now-c.sent, s.lateAfter(c.ep, c.class())
		if out > late {
			s.shun(c)
			s.overdue++
		}
		if out > haste*late {
			s.publishHint(c)
		}
	}
	for _, ep := range s.calling() {
		late, quiet := s.lateAfter(ep, ep.calls[0].class()), s.quiet(ep)
		if ep.health == probation || quiet <= late || quiet <= silenceFactor*late && !dying {
			continue
		}
		if ep.health == healthy {
			ep.failing = max(ep.lastAnswer, ep.calls[0].sent)
		}
		if ep.renewed <= ep.lastAnswer {
			ep.renewed = s.now
			s.withdraw(ep)
		} else if s.now-ep.renewed > late {
			s.withdraw(ep)
			s.suspend(ep, TimedOut, CauseSilence)
		}
	}
}

// dying tells whether fresh connections have lately cured silence, so that old ones are not to be trusted.
func (s *Sender) dying() bool {
	return s.cured.perSecond(s.now, deliveredMemory) > 1/deliveredMemory.Seconds()
}

// yieldConnections closes connections as they fall idle in a crowd, until connects are proven at a kind:
// idle ones fill tables, and holders are never turned away. Costs handshakes. With calls out, one may be in
// use.
func (s *Sender) yieldConnections() {
	for _, ep := range s.idled {
		if s.crowded(ep) && len(ep.calls) == 0 {
			s.act(CloseIdle{Endpoint: ep.id})
		}
	}
	s.idled = s.idled[:0]
}

// withdraw calls off what an endpoint left unanswered and may be sent again, to go out on a fresh
// connection. Guards against connections that died unnoticed; where the endpoint is merely slow it wastes
// work begun.
func (s *Sender) withdraw(ep *endpoint) {
	for _, c := range ep.calls {
		if effect := c.attempts[0].msg.class.Effect; effect == Safe || effect == Keyed && s.dying() {
			s.cancel(c)
		}
	}
	s.act(CloseIdle{Endpoint: ep.id})
}
