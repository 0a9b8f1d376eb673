// This file owns the ends of messages: when the final answer is due, why a message ends, and which messages
// are shed or evicted early. A message must never get more than one final answer, and none that invites a
// repeat which could take effect twice.

package rules

import (
	"math"
	"slices"
	"time"
)

const (
	// Share of its worth that a message which is already late may lose by the pause after a refusal, for each
	// attempt so far.
	refusalPauseCost = 0.12

	// 1/16 of the messages that may be held is kept free for new ones.
	freeRoomDivisor = 16
)

// finish gives a message its final answer and is the only place that does: Refuse where a repeat is harmless,
// else Fail.
func (s *Sender) finish(message *message, reason EndReason) {
	s.recordEnd(message, reason)
	if s.mayRefuse(message) {
		s.emit(Refuse{ID: message.id, RetryAfter: s.retryAfterHint(message.destination)})
	} else {
		s.emit(Fail{ID: message.id})
	}
	s.forget(message)
}

// mayRefuse reports whether a client may submit a message again without the risk that it takes effect twice.
func (s *Sender) mayRefuse(message *message) bool {
	mayHaveRun := message.mayHaveRunSince != never || len(message.inFlight) > 0
	class := message.class
	return !mayHaveRun || class.Effect == Safe || class.Effect == Keyed && class.Scope == DedupDestination
}

// retryAfterHint returns how long a refused client should wait: until the destination may be sent to again.
func (s *Sender) retryAfterHint(destination *destinationState) time.Duration {
	if !s.settings.MaySendRetryAfter {
		return 0
	}
	wait := max(destination.earliestOf(s.earliestSend)-s.now, s.horizon(destination))
	return min(wait, s.settings.MaxRetryAfter)
}

// finishDue finishes messages that cannot be delivered any more: out of time, out of attempts, or past the
// window of their deduplication key.
func (s *Sender) finishDue() {
	for _, m := range s.popDue() {
		if !m.done() && (s.now >= s.answerDeadline(m) || len(m.inFlight) == 0 && s.exhausted(m)) {
			s.finish(m, s.endReason(m))
		}
	}
}

// endReason returns why a message that is due or exhausted ends.
func (s *Sender) endReason(message *message) EndReason {
	switch {
	case s.now >= s.answerDeadline(message):
		return EndDeadline
	case message.attemptCount >= s.settings.MaxAttempts:
		return EndAttempts
	}
	return EndNotRepeatable
}

// answerDeadline is the last moment for the final answer: the deadline, or earlier where the answer grace is
// shorter than two ticks, as the step after the deadline may come too late.
func (s *Sender) answerDeadline(message *message) time.Duration {
	return message.deadline - max(0, 2*s.settings.Tick-s.settings.AnswerGrace)
}

// exhausted reports whether no further attempt of a message can ever be allowed.
func (s *Sender) exhausted(message *message) bool {
	if message.attemptCount >= s.settings.MaxAttempts || message.mayHaveRunSince == never ||
		message.class.Effect == Safe {
		return message.attemptCount >= s.settings.MaxAttempts
	}
	return message.class.Effect != Keyed || s.now+s.settings.Tick >= message.windowEnd()
}

// settleMessage decides what happens to a message after one of its attempts. In a large fleet a refused
// message pauses before its next attempt at any endpoint. This keeps refusals from feeding on each other
// where refused calls use up the limit too; the cost is that the message may become late.
func (s *Sender) settleMessage(message *message, attempt *attempt, e AttemptEnded) {
	if message.finished || e.Finished {
		if !message.finished && e.Outcome == OK {
			message.destination.servedRate.add(s.now, trafficSpan, 1)
		}
		s.forget(message)
		return
	}
	if e.Outcome == Refused && s.settings.Senders > SmallFleet {
		pause := s.refusalPause(message.class) * float64(message.attemptCount) * s.jitter()
		message.notBefore = s.now + seconds(pause)
	}
	if e.Outcome.MayHaveRun() && attempt.call.sentAt < message.mayHaveRunSince {
		s.setMayHaveRun(message, attempt.call.endpoint, attempt.call.sentAt)
	}
	if len(message.inFlight) == 0 && s.exhausted(message) {
		s.finish(message, s.endReason(message))
		return
	}
	s.enqueue(message)
}

// refusalPause returns the seconds in which a late message of the class loses refusalPauseCost of its worth.
// Where worth falls slowly a long pause spares a limit that refused calls use up; where it halves with each
// further aim a long pause would cost too much.
func (s *Sender) refusalPause(class *Class) float64 {
	if s.settings.LateHalving {
		return -math.Log2(1-refusalPauseCost) * class.Aim.Seconds()
	}
	return refusalPauseCost / max(1-class.LateWorth, refusalPauseCost) * (class.Deadline - class.Aim).Seconds()
}

// shed refuses at once, with a Retry-After, what cannot be sent in time because a Retry-After holds longer
// at all listed endpoints. In a large fleet it also sheds where all of them are on probation or slow start
// here, as other senders may see them healthy. This keeps messages from being held for nothing; the cost is
// messages that their clients do not submit again.
func (s *Sender) shed() {
	retryAfterEnd := func(ep *endpointState) time.Duration { return ep.limitScope.controller.notBefore }
	for _, d := range slices.Clone(s.backlogged) {
		reachableAt := d.earliestOf(func(ep *endpointState) time.Duration {
			if ep.health != healthy && s.settings.Senders > SmallFleet && s.settings.MaySendRetryAfter {
				return s.earliestSend(ep)
			}
			return retryAfterEnd(ep)
		})
		if reachableAt <= d.firstDue || reachableAt == never {
			continue
		}
		allowedAt := d.earliestOf(retryAfterEnd)
		// A message that can only be failed is shed for a Retry-After alone.
		limit := func(like *message) time.Duration {
			if s.mayRefuse(like) {
				return max(reachableAt, allowedAt)
			}
			return allowedAt
		}
		for _, m := range s.dueBefore(d, limit) {
			s.finish(m, EndShed)
		}
	}
}

// evict refuses messages of the destination with the longest backlog before there is no room left for new
// messages to others. What an earlier process has accepted and not tried goes last: its client has been told
// that it is taken care of, while a new message can be refused in the answer to its client. The cost is that
// new messages wait for room while such messages wait for a destination that is out.
func (s *Sender) evict() {
	for limit := s.settings.MaxHeld - max(1, s.settings.MaxHeld/freeRoomDivisor); len(s.held) > limit; {
		victim := s.evictionVictim(func(g *group) bool { return !g.untriedSinceRestart })
		if victim == nil {
			victim = s.evictionVictim(func(*group) bool { return true })
		}
		if victim == nil {
			return
		}
		s.finish(victim, EndEvicted)
	}
}

// evictionVictim returns the least valuable message in the longest backlog that has one in the given groups.
func (s *Sender) evictionVictim(among func(*group) bool) *message {
	var longest *destinationState
	for _, d := range s.backlogged {
		if s.leastValuable(d, among) != nil &&
			(longest == nil || s.backlogSeconds(d) > s.backlogSeconds(longest)) {
			longest = d
		}
	}
	if longest == nil {
		return nil
	}
	return s.leastValuable(longest, among)
}

// leastValuable returns the waiting message of a destination that is worth least, among those in the given
// groups that may be refused. Of equals it is the newest, as its client has most time left to submit it
// again.
func (s *Sender) leastValuable(destination *destinationState, among func(*group) bool) *message {
	r := ranking{limit: 1, newestFirst: true, subtrees: &s.subtrees}
	for _, g := range destination.groups {
		if m := g.root; among(g) && s.mayRefuse(m) {
			value := func(m *message) float64 { return -s.worth(m, s.now) }
			r.add(g, value, roundingTolerance*m.class.Worth, breakpoints(m.class, s.now))
		}
	}
	return r.first()
}
