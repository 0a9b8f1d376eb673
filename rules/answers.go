package rules

import (
	"math"
	"slices"
	"time"
)

// This file owns the ends of messages: when one is due, why it ends, and what is shed or evicted early.

const (
	refusalPauseCost = 0.12 // part of its worth once late that a refused message waits a try
	freeRoomDivisor  = 16   // part of the holding room kept free for newcomers: 1/16
)

// end gives the final answer, the only place that does: a refusal where a new try is harmless, else a Fail.
func (s *Sender) finish(m *message, why EndReason) {
	s.recordEnd(m, why)
	if s.mayRefuse(m) {
		s.emit(Refuse{ID: m.id, RetryAfter: s.retryAfterHint(m.destination)})
	} else {
		s.emit(Fail{ID: m.id})
	}
	s.forget(m)
}

func (s *Sender) mayRefuse(m *message) bool {
	ran, c := m.mayHaveRunSince != never || len(m.inFlight) > 0, m.class
	return !ran || c.Effect == Safe || c.Effect == Keyed && c.Scope == DedupDestination
}

// retryAfterHint says when a refused client should come back: when the destination may be sent to again.
func (s *Sender) retryAfterHint(d *destinationState) time.Duration {
	if !s.settings.MaySendRetryAfter {
		return 0
	}
	return min(max(d.earliestOf(s.earliestSend)-s.now, s.horizon(d)), s.settings.MaxRetryAfter)
}

// endDue ends what can earn nothing more: out of time, out of attempts, or past its key's window.
func (s *Sender) finishDue() {
	for _, m := range s.popDue() {
		if !m.done() && (s.now >= s.answerDeadline(m) || len(m.inFlight) == 0 && s.exhausted(m)) {
			s.finish(m, s.endReason(m))
		}
	}
}

// whyOver says why a message that is due or spent ends.
func (s *Sender) endReason(m *message) EndReason {
	switch {
	case s.now >= s.answerDeadline(m):
		return EndDeadline
	case m.attemptCount >= s.settings.MaxAttempts:
		return EndAttempts
	}
	return EndNotRepeatable
}

// due is the last moment for the final answer: the deadline, or earlier where a step may come too late.
func (s *Sender) answerDeadline(m *message) time.Duration {
	return m.deadline - max(0, 2*s.settings.Tick-s.settings.AnswerGrace)
}

// spent tells whether no further attempt can ever be allowed.
func (s *Sender) exhausted(m *message) bool {
	if m.attemptCount >= s.settings.MaxAttempts || m.mayHaveRunSince == never || m.class.Effect == Safe {
		return m.attemptCount >= s.settings.MaxAttempts
	}
	return m.class.Effect != Keyed || s.now+s.settings.Tick >= m.windowEnd()
}

// settle decides about a message after one of its attempts. In a crowd a refused one pauses before it goes
// anywhere. Guards against refusals that feed on each other where they use up the limit; may make it late.
func (s *Sender) settleMessage(m *message, a *attempt, e AttemptEnded) {
	if m.finished || e.Finished {
		if !m.finished && e.Outcome == OK {
			m.destination.servedRate.add(s.now, trafficSpan, 1)
		}
		s.forget(m)
		return
	}
	if e.Outcome == Refused && s.settings.Senders > smallFleet {
		m.notBefore = s.now + seconds(s.refusalPause(m.class)*float64(m.attemptCount)*(0.5+s.rng.Float64()))
	}
	if e.Outcome.MayHaveRun() && a.call.sentAt < m.mayHaveRunSince {
		s.setMayHaveRun(m, a.call.endpoint, a.call.sentAt)
	}
	if len(m.inFlight) == 0 && s.exhausted(m) {
		s.finish(m, s.endReason(m))
		return
	}
	s.enqueue(m)
}

// refusedPause is the seconds in which a late message of the class loses a set part of its worth. Where
// worth falls slowly, patience spares a limit that refused calls use up; where it halves, patience is dear.
func (s *Sender) refusalPause(c *Class) float64 {
	if s.settings.LateHalving {
		return -math.Log2(1-refusalPauseCost) * c.Aim.Seconds()
	}
	return refusalPauseCost / max(1-c.LateWorth, refusalPauseCost) * (c.Deadline - c.Aim).Seconds()
}

// shed answers at once, with when to come again, what cannot be sent in time: a told wait of all listed
// endpoints lasts longer or, in a crowd, all are on probation or ramp here: others may be well there.
// Guards against messages kept for nothing; loses what clients give up.
func (s *Sender) shed() {
	halted := func(ep *endpointState) time.Duration { return ep.limitScope.controller.notBefore }
	for _, d := range slices.Clone(s.backlogged) {
		at := d.earliestOf(func(ep *endpointState) time.Duration {
			if ep.health != healthy && s.settings.Senders > smallFleet && s.settings.MaySendRetryAfter {
				return s.earliestSend(ep)
			}
			return halted(ep)
		})
		if at <= d.firstDue || at == never {
			continue
		}
		shut := d.earliestOf(halted)
		for _, m := range s.dueBefore(d, func(like *message) time.Duration {
			if s.mayRefuse(like) {
				return max(at, shut)
			}
			return shut
		}) {
			s.finish(m, EndShed)
		}
	}
}

// evict refuses messages of the most backed-up destination before newcomers for others find no room.
func (s *Sender) evict() {
	for limit := s.settings.MaxHeld - max(1, s.settings.MaxHeld/freeRoomDivisor); len(s.held) > limit; {
		var worst *destinationState
		for _, d := range s.backlogged {
			if s.leastValuable(d) != nil && (worst == nil || s.backlogSeconds(d) > s.backlogSeconds(worst)) {
				worst = d
			}
		}
		if worst == nil {
			return
		}
		s.finish(s.leastValuable(worst), EndEvicted)
	}
}

// leastValuable is the waiting message of a destination that is worth least, among those that may be
// refused. Of equals it is the newest, which has most time left to come again.
func (s *Sender) leastValuable(d *destinationState) *message {
	r := ranking{limit: 1, newestFirst: true, subtrees: &s.subtrees}
	for _, g := range d.groups {
		if m := g.root; s.mayRefuse(m) {
			value := func(m *message) float64 { return -s.worth(m, s.now) }
			r.add(g, value, roundingTolerance*m.class.Worth, breakpoints(m.class, s.now))
		}
	}
	return r.first()
}
