package rules

import (
	"math"
	"slices"
	"time"
)

// This file owns the ends of messages: when one is due, why it ends, and what is shed or evicted early.

const (
	refusedCost = 0.12 // part of its worth once late that a refused message waits a try
	roomMargin  = 16   // part of the holding room kept free for newcomers: 1/16
)

// end gives the final answer, the only place that does: a refusal where a new try is harmless, else a Fail.
func (s *Sender) end(m *message, why EndReason) {
	s.noteEnd(m, why)
	if s.mayRefuse(m) {
		s.act(Refuse{ID: m.id, RetryAfter: s.retryAfterHint(m.dest)})
	} else {
		s.act(Fail{ID: m.id})
	}
	s.forget(m)
}

func (s *Sender) mayRefuse(m *message) bool {
	ran, c := m.mayRun != never || len(m.out) > 0, m.class
	return !ran || c.Effect == Safe || c.Effect == Keyed && c.Scope == ScopeDestination
}

// retryAfterHint says when a refused client should come back: when the destination may be sent to again.
func (s *Sender) retryAfterHint(d *destination) time.Duration {
	if !s.set.MayAdvise {
		return 0
	}
	return min(max(d.soonest(s.gate)-s.now, s.horizon(d)), s.set.MaxRetryAfter)
}

// endDue ends what can earn nothing more: out of time, out of attempts, or past its key's window.
func (s *Sender) endDue() {
	for _, m := range s.fallen() {
		if !m.ended() && (s.now >= s.due(m) || len(m.out) == 0 && s.spent(m)) {
			s.end(m, s.whyOver(m))
		}
	}
}

// whyOver says why a message that is due or spent ends.
func (s *Sender) whyOver(m *message) EndReason {
	switch {
	case s.now >= s.due(m):
		return EndDeadline
	case m.tries >= s.set.MaxAttempts:
		return EndAttempts
	}
	return EndRepeat
}

// due is the last moment for the final answer: the deadline, or earlier where a step may come too late.
func (s *Sender) due(m *message) time.Duration {
	return m.deadline - max(0, 2*s.set.Tick-s.set.AnswerGrace)
}

// spent tells whether no further attempt can ever be allowed.
func (s *Sender) spent(m *message) bool {
	if m.tries >= s.set.MaxAttempts || m.mayRun == never || m.class.Effect == Safe {
		return m.tries >= s.set.MaxAttempts
	}
	return m.class.Effect != Keyed || s.now+s.set.Tick >= m.windowEnd()
}

// settle decides about a message after one of its attempts. In a crowd a refused one pauses before it goes
// anywhere. Guards against refusals that feed on each other where they use up the limit; may make it late.
func (s *Sender) settle(m *message, a *attempt, e Ended) {
	if m.over || e.Over {
		if !m.over && e.Outcome == OK {
			m.dest.served.add(s.now, deliveredMemory, 1)
		}
		s.forget(m)
		return
	}
	if e.Outcome == Full && s.set.Senders > fewSenders {
		m.notBefore = s.now + seconds(s.refusedPause(m.class)*float64(m.tries)*(0.5+s.rng.Float64()))
	}
	if e.Outcome.MayRun() && a.call.sent < m.mayRun {
		s.ranAt(m, a.call.ep, a.call.sent)
	}
	if len(m.out) == 0 && s.spent(m) {
		s.end(m, s.whyOver(m))
		return
	}
	s.file(m)
}

// refusedPause is the seconds in which a late message of the class loses a set part of its worth. Where
// worth falls slowly, patience spares a limit that refused calls use up; where it halves, patience is dear.
func (s *Sender) refusedPause(c *Class) float64 {
	if s.set.LateHalving {
		return -math.Log2(1-refusedCost) * c.Aim.Seconds()
	}
	return refusedCost / max(1-c.LateWorth, refusedCost) * (c.Deadline - c.Aim).Seconds()
}

// shed answers at once, with when to come again, what cannot be sent in time: a told wait of all listed
// endpoints lasts longer or, in a crowd, all are on probation or ramp here: others may be well there.
// Guards against messages kept for nothing; loses what clients give up.
func (s *Sender) shed() {
	halted := func(ep *endpoint) time.Duration { return ep.lane.pace.haltUntil }
	for _, d := range slices.Clone(s.waiting) {
		at := d.soonest(func(ep *endpoint) time.Duration {
			if ep.health != healthy && s.set.Senders > fewSenders && s.set.MayAdvise {
				return s.gate(ep)
			}
			return halted(ep)
		})
		if at <= d.firstDue || at == never {
			continue
		}
		shut := d.soonest(halted)
		for _, m := range s.dueBefore(d, func(like *message) time.Duration {
			if s.mayRefuse(like) {
				return max(at, shut)
			}
			return shut
		}) {
			s.end(m, EndShed)
		}
	}
}

// evict refuses messages of the most backed-up destination before newcomers for others find no room.
func (s *Sender) evict() {
	for limit := s.set.MaxHeld - max(1, s.set.MaxHeld/roomMargin); len(s.held) > limit; {
		var worst *destination
		for _, d := range s.waiting {
			if s.leastValuable(d) != nil && (worst == nil || s.backlog(d) > s.backlog(worst)) {
				worst = d
			}
		}
		if worst == nil {
			return
		}
		s.end(s.leastValuable(worst), EndEvicted)
	}
}

// leastValuable is the waiting message of a destination that is worth least, among those that may be
// refused. Of equals it is the newest, which has most time left to come again.
func (s *Sender) leastValuable(d *destination) *message {
	r := ranking{n: 1, last: true, parts: &s.parts}
	for _, g := range d.groups {
		if m := g.root; s.mayRefuse(m) {
			value := func(m *message) float64 { return -s.worth(m, s.now) }
			r.add(g, value, slack*m.class.Worth, breaks(m.class, s.now))
		}
	}
	return r.first()
}
