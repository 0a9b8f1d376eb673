package rules

import "time"

// This file owns what a sender tells of its decisions: changes of an endpoint's state and why messages ended. It decides
// nothing, no decision reads it, and what nobody takes is bounded.

// State is what a sender takes an endpoint for.
type State int

// The states of an endpoint.
const (
	Healthy   State = State(healthy)
	Probation State = State(probation) // sparse probes only
	SlowStart State = State(slowStart) // back from an outage, and cold
)

func (s State) String() string {
	return [...]string{"healthy", "probation", "slow start"}[s]
}

// Cause says what changed an endpoint's state.
type Cause string

// The causes.
const (
	CauseFailures     Cause = "failures"   // calls failed in a row
	CauseUnresponsive Cause = "silence"    // calls are out and nothing is answered
	CauseRefusals     Cause = "refusals"   // refusals that no limit explains
	CauseRetryAfter   Cause = "told shut"  // a told wait longer than a limit's
	CauseAnswered     Cause = "answered"   // a probe was answered
	CauseBriefOutage  Cause = "short loss" // a probe was answered before anything can have gone cold
	CauseInherited    Cause = "inherited"  // its destination's other endpoints are in that state
	CauseRestored     Cause = "restored"   // an earlier process had seen calls fail
	CauseWarm         Cause = "warm"       // the warm-up is over
)

// Transition is a change of an endpoint's state.
type Transition struct {
	At                  time.Duration
	Endpoint            EndpointID
	From, To            State
	Cause               Cause
	ConsecutiveFailures int           // in a row
	FailingSince        time.Duration // since when, by what this sender saw
	PreOutageRate       float64       // calls a second delivered there before the outage
	CallInterval        time.Duration // to the next call that its share of the slow start budget allows
}

// EndReason says why a message ended undelivered.
type EndReason string

// The reasons.
const (
	EndDeadline      EndReason = "deadline"  // its time is up
	EndAttempts      EndReason = "attempts"  // no attempt is left
	EndNotRepeatable EndReason = "no_repeat" // it may have run, and may not be repeated any more
	EndShed          EndReason = "shed"      // it could not be sent before its deadline
	EndEvicted       EndReason = "evicted"   // its room was needed
)

// EndReasons lists all.
var EndReasons = []EndReason{EndDeadline, EndAttempts, EndNotRepeatable, EndShed, EndEvicted}

// End is a message that the sender ended undelivered.
type Undelivered struct {
	ID     MessageID
	Reason EndReason
}

// Observations are what a sender has to tell since it was last asked.
type Observations struct {
	Transitions []Transition
	Undelivered []Undelivered
	Deferred    int // looks at an endpoint that slow start, probation or a pause after a failure kept from a waiting message
}

// mostObservations bounds what is kept for nobody.
const maxObservations = 4096

// Observe returns what has been noted since the last call, and forgets it.
func (s *Sender) Observe() Observations {
	o := s.observations
	s.observations = Observations{}
	return o
}

// setHealth changes an endpoint's state and notes it.
func (s *Sender) setHealth(ep *endpointState, to health, since time.Duration, cause Cause) {
	from := ep.health
	ep.health, ep.healthSince = to, since
	if from == to || len(s.observations.Transitions) >= maxObservations {
		return
	}
	t := Transition{At: s.now, Endpoint: ep.id, From: State(from), To: State(to), Cause: cause, ConsecutiveFailures: ep.consecutiveFailures, FailingSince: ep.failingSince, PreOutageRate: ep.preOutageRate}
	if to != healthy {
		t.CallInterval = s.callInterval(ep)
	}
	s.observations.Transitions = append(s.observations.Transitions, t)
}

// noteEnd notes why a message ends.
func (s *Sender) recordEnd(m *message, why EndReason) {
	if len(s.observations.Undelivered) < maxObservations {
		s.observations.Undelivered = append(s.observations.Undelivered, Undelivered{m.id, why})
	}
}
