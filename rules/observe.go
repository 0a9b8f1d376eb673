package rules

import "time"

// This file owns what a sender reports about its decisions: changes of endpoint states and why messages ended. It
// must make no decisions, no decision may read it, and what is kept between two calls of Observe must stay bounded.

// State is how a sender assesses the health of an endpoint.
type State int

// The states of an endpoint. The zero value is Healthy.
const (
	Healthy   State = State(healthy)
	Probation State = State(probation) // ejected: it gets occasional probes only
	SlowStart State = State(slowStart) // back from an outage: its share of calls grows as it warms up
)

func (s State) String() string {
	return [...]string{"healthy", "probation", "slow start"}[s]
}

// Cause is the reason for a transition. Its values are written to logs.
type Cause string

// The causes.
const (
	CauseFailures     Cause = "failures"   // calls failed in a row
	CauseUnresponsive Cause = "silence"    // calls are in flight and none is answered
	CauseRefusals     Cause = "refusals"   // refusals that a rate limit does not explain
	CauseRetryAfter   Cause = "told shut"  // a Retry-After longer than a rate limit's
	CauseAnswered     Cause = "answered"   // a probe was answered
	CauseBriefOutage  Cause = "short loss" // a probe was answered before the endpoint can have become cold
	CauseInherited    Cause = "inherited"  // taken over from another endpoint that shares its rate limit
	CauseRestored     Cause = "restored"   // an earlier process of this sender saw calls fail
	CauseWarm         Cause = "warm"       // the warm-up is over
)

// Transition is a change of an endpoint's state.
type Transition struct {
	At                  time.Duration // time of the step, as passed to Sender.Step
	Endpoint            EndpointID
	From, To            State
	Cause               Cause
	ConsecutiveFailures int
	FailingSince        time.Duration // when the failures began as this sender saw it, in the time of Sender.Step
	PreOutageRate       float64       // calls a second delivered there before the outage
	CallInterval        time.Duration // to the next call that the slow start budget allows; 0 for a healthy endpoint
}

// Suspicion is the first failure at an endpoint since its latest answer. Until probation it is all that is known of an
// outage.
type Suspicion struct {
	At             time.Duration // time of the step, as passed to Sender.Step
	Endpoint       EndpointID
	Outcome        Outcome
	SentAt         time.Duration // send time of the failed call
	LastAnsweredAt time.Duration // 0 for no answer yet
}

// Gate is the limit that a call to an endpoint in trouble had to pass, the strictest that was in force. Its values are
// written to logs.
type Gate string

// The gates.
const (
	GateProbe        Gate = "probe"        // the endpoint is on probation
	GateShare        Gate = "share"        // this sender's share of a slow start
	GateConfirmation Gate = "confirmation" // the latest outcome is a failure, and one call finds out
	GateRate         Gate = "rate"         // the rate controller, since the latest outcome is a refusal
	GateNone         Gate = "none"         // nothing; the endpoint failed a call lately
)

// LimitedCall is a call to an endpoint that may be cold, as this sender has seen it fail or refuse one lately. It tells
// what was known of the endpoint and which limit let the call through.
type LimitedCall struct {
	At             time.Duration // time of the step, as passed to Sender.Step
	Endpoint       EndpointID
	State          State
	Gate           Gate
	Failures       int           // in a row at the endpoint
	ScopeFailures  int           // calls in a row that its limit scope left unanswered
	Refusals       int           // since the limit scope's latest answer
	LastFailedSent time.Duration // send time of the latest call known to have failed
	InFlight       int           // calls to the limit scope, this one included
}

// EndReason is why a message ended undelivered. Its values are written to logs and counters.
type EndReason string

// The reasons.
const (
	EndDeadline      EndReason = "deadline"  // its deadline passed
	EndAttempts      EndReason = "attempts"  // it had no attempts left
	EndNotRepeatable EndReason = "no_repeat" // it may have run and must not be repeated any more
	EndShed          EndReason = "shed"      // it could not be sent before its deadline
	EndEvicted       EndReason = "evicted"   // it was dropped to make room for other messages
)

// EndReasons lists all reasons.
var EndReasons = []EndReason{EndDeadline, EndAttempts, EndNotRepeatable, EndShed, EndEvicted}

// Undelivered is a message that the sender ended without delivering it.
type Undelivered struct {
	ID     MessageID
	Reason EndReason
}

// Observations are what a sender recorded since the last call of Observe.
type Observations struct {
	Transitions []Transition
	Suspicions  []Suspicion
	Undelivered []Undelivered

	// LimitedCalls are calls to endpoints that may be cold.
	LimitedCalls []LimitedCall

	// HardStates are the changed ones, at most one of each endpoint. See HardState for what must be done with them.
	HardStates []HardState

	// Deferred counts how often slow start, probation or the pause after a failure kept waiting messages from an
	// endpoint.
	Deferred int
}

// maxObservations limits each list of Observations if nobody calls Observe; later entries are dropped.
const maxObservations = 4096

// Observe returns what was recorded since the last call and clears it.
func (s *Sender) Observe() Observations {
	o := s.observations
	s.observations = Observations{}
	return o
}

// setHealth changes an endpoint's state and records the transition.
func (s *Sender) setHealth(ep *endpointState, to health, since time.Duration, cause Cause) {
	from := ep.health
	ep.health, ep.healthSince = to, since
	s.touch(ep)
	if from == to || len(s.observations.Transitions) >= maxObservations {
		return
	}
	t := Transition{
		At:                  s.now,
		Endpoint:            ep.id,
		From:                State(from),
		To:                  State(to),
		Cause:               cause,
		ConsecutiveFailures: ep.consecutiveFailures,
		FailingSince:        ep.failingSince,
		PreOutageRate:       ep.preOutageRate,
	}
	if to != healthy {
		t.CallInterval = s.callInterval(ep)
	}
	s.observations.Transitions = append(s.observations.Transitions, t)
}

// recordSuspicion records the first failure at an endpoint since its latest answer.
func (s *Sender) recordSuspicion(ep *endpointState, outcome Outcome, sentAt time.Duration) {
	if len(s.observations.Suspicions) >= maxObservations {
		return
	}
	s.observations.Suspicions = append(s.observations.Suspicions, Suspicion{
		At:             s.now,
		Endpoint:       ep.id,
		Outcome:        outcome,
		SentAt:         sentAt,
		LastAnsweredAt: ep.lastAnsweredAt,
	})
}

// recordLimitedCall records a call that is about to be made if its endpoint may be cold.
func (s *Sender) recordLimitedCall(ep *endpointState) {
	gate := s.gateOf(ep)
	lastFailed := max(ep.lastFailedSentAt, ep.limitScope.lastFailedSentAt)
	failedLately := lastFailed > 0 && s.now-lastFailed < s.settings.WarmUp
	if gate == GateNone && !failedLately || len(s.observations.LimitedCalls) >= maxObservations {
		return
	}
	s.observations.LimitedCalls = append(s.observations.LimitedCalls, LimitedCall{
		At:             s.now,
		Endpoint:       ep.id,
		State:          State(ep.health),
		Gate:           gate,
		Failures:       ep.consecutiveFailures,
		ScopeFailures:  ep.limitScope.consecutiveFailures,
		Refusals:       ep.limitScope.consecutiveRefusals,
		LastFailedSent: lastFailed,
		InFlight:       ep.limitScope.inFlight,
	})
}

// gateOf returns the strictest limit in force for calls to an endpoint.
func (s *Sender) gateOf(ep *endpointState) Gate {
	switch {
	case ep.health == probation:
		return GateProbe
	case ep.health == slowStart:
		return GateShare
	case ep.mustWait():
		return GateConfirmation
	case ep.limitScope.consecutiveRefusals > 0:
		return GateRate
	}
	return GateNone
}

// recordEnd records why a message ends.
func (s *Sender) recordEnd(m *message, reason EndReason) {
	if len(s.observations.Undelivered) < maxObservations {
		s.observations.Undelivered = append(s.observations.Undelivered, Undelivered{m.id, reason})
	}
}
