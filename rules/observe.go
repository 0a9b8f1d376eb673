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
	SlowStart State = State(ramping)   // back from an outage, and cold
)

func (s State) String() string {
	return [...]string{"healthy", "probation", "slow start"}[s]
}

// Cause says what changed an endpoint's state.
type Cause string

// The causes.
const (
	CauseFailures  Cause = "failures"   // calls failed in a row
	CauseSilence   Cause = "silence"    // calls are out and nothing is answered
	CauseRefusals  Cause = "refusals"   // refusals that no limit explains
	CauseToldShut  Cause = "told shut"  // a told wait longer than a limit's
	CauseAnswered  Cause = "answered"   // a probe was answered
	CauseShortLoss Cause = "short loss" // a probe was answered before anything can have gone cold
	CauseInherited Cause = "inherited"  // its destination's other endpoints are in that state
	CauseRestored  Cause = "restored"   // an earlier process had seen calls fail
	CauseWarm      Cause = "warm"       // the warm-up is over
)

// Transition is a change of an endpoint's state.
type Transition struct {
	At       time.Duration
	Endpoint EndpointID
	From, To State
	Cause    Cause
	Failures int           // in a row
	Failing  time.Duration // since when, by what this sender saw
	Rate     float64       // calls a second delivered there before the outage
	Gap      time.Duration // to the next call that its share of the slow start budget allows
}

// EndReason says why a message ended undelivered.
type EndReason string

// The reasons.
const (
	EndDeadline EndReason = "deadline"  // its time is up
	EndAttempts EndReason = "attempts"  // no attempt is left
	EndRepeat   EndReason = "no_repeat" // it may have run, and may not be repeated any more
	EndShed     EndReason = "shed"      // it could not be sent before its deadline
	EndEvicted  EndReason = "evicted"   // its room was needed
)

// EndReasons lists all.
var EndReasons = []EndReason{EndDeadline, EndAttempts, EndRepeat, EndShed, EndEvicted}

// End is a message that the sender ended undelivered.
type End struct {
	ID     MessageID
	Reason EndReason
}

// Observations are what a sender has to tell since it was last asked.
type Observations struct {
	Transitions []Transition
	Ends        []End
	Deferred    int // looks at an endpoint that slow start, probation or a pause after a failure kept from a waiting message
}

// mostObservations bounds what is kept for nobody.
const mostObservations = 4096

// Observe returns what has been noted since the last call, and forgets it.
func (s *Sender) Observe() Observations {
	o := s.observations
	s.observations = Observations{}
	return o
}

// setHealth changes an endpoint's state and notes it.
func (s *Sender) setHealth(ep *endpoint, to health, since time.Duration, cause Cause) {
	from := ep.health
	ep.health, ep.since = to, since
	if from == to || len(s.observations.Transitions) >= mostObservations {
		return
	}
	t := Transition{At: s.now, Endpoint: ep.id, From: State(from), To: State(to), Cause: cause, Failures: ep.fails, Failing: ep.failing, Rate: ep.base}
	if to != healthy {
		t.Gap = s.gap(ep)
	}
	s.observations.Transitions = append(s.observations.Transitions, t)
}

// noteEnd notes why a message ends.
func (s *Sender) noteEnd(m *message, why EndReason) {
	if len(s.observations.Ends) < mostObservations {
		s.observations.Ends = append(s.observations.Ends, End{m.id, why})
	}
}
