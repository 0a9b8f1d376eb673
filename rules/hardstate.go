// This file owns the hard state: what a sender knows of others' safety and must not lose with its process. It
// says when that is reported, and restores it in the next process, in a fleet of any size. What the old
// process was not allowed to send, the new one must not be allowed either. Two limits end with the process: a
// Retry-After, by the protocol, and a rate, which tells of a limit and not of a server in danger, and which
// the next refusal finds anew.

package rules

import (
	"slices"
	"time"
)

// HardState is what limits the calls to one endpoint, as of a step. The contract, for whoever runs a Sender:
//
//   - Step reports each change in Observations.HardStates. It must be recorded before an action of that
//     step is carried out.
//   - The latest of each endpoint is passed to the first step of the next process as RestoredState, behind
//     the list of endpoints and before any message. One whose endpoint is not listed yet is kept, and passed
//     on as soon as it is.
//   - A HardState that is Clean needs no record, and ends an earlier one.
//
// Times are those of Sender.Step; 0 stands for none.
type HardState struct {
	Endpoint EndpointID
	At       time.Duration // of the step

	Health           State
	Symptom          Outcome       // the failure by which the latest outage was detected
	Failures         int           // in a row
	FailingSince     time.Duration // start of these failures, or of the outage
	HealthSince      time.Duration // start of the health; may lie in the future
	LastFailedSentAt time.Duration // send time of the latest call known to have failed
	LastCharged      time.Duration // time of the last call, as the slow start budget counts it
	ProbeInterval    time.Duration // on probation: from LastCharged to the next probe
	WarmUpCredit     time.Duration // on slow start: time that counts as warm-up at least
	Delivered        float64       // calls a second delivered before the trouble
	Demand           float64       // messages a second for the destination
	RetryNotBefore   time.Duration // end of the pause of the failed endpoints of the destination

	Scope ScopeHardState // zero unless this endpoint stands for its limit scope
}

// ScopeHardState is the part of the hard state that all endpoints of a limit scope share. It is reported with
// the first of them.
type ScopeHardState struct {
	Failures         int           // calls in a row that were left unanswered
	FailingSince     time.Duration // send time of the first of these
	LastFailedSentAt time.Duration // send time of the latest of these, or of one refused in an outage

	// UnansweredSince is the send time of the oldest call that the end of an earlier process cut off, as long as
	// no later call was answered.
	UnansweredSince time.Duration

	Refusals       int // since the last answer
	FirstRefusedAt time.Duration
}

// RestoredState passes on what an earlier process of the same sender reported, with its times in those of
// this process.
type RestoredState struct{ HardState }

func (RestoredState) event() {}

// Clean reports whether nothing limits the calls to the endpoint.
func (h HardState) Clean() bool {
	return h.Health == Healthy && h.Failures == 0 && h.Scope == (ScopeHardState{})
}

// isClean reports whether nothing that a limit scope must remember limits its calls.
func (scope *limitScope) isClean() bool {
	return scope.consecutiveFailures == 0 && scope.consecutiveRefusals == 0 && scope.unansweredSince == 0
}

// scopeReporter returns the endpoint with which the hard state of a limit scope is reported: the first that
// is listed, as the next process restores no other, or else the first.
func (ep *endpointState) scopeReporter() *endpointState {
	var first *endpointState
	for other := range ep.scopeEndpoints() {
		if !other.gone {
			return other
		}
		if first == nil {
			first = other
		}
	}
	return first
}

// scopeHardState returns the hard state of a limit scope, zero if it is clean.
func (ep *endpointState) scopeHardState() ScopeHardState {
	scope := ep.limitScope
	if scope.isClean() {
		return ScopeHardState{}
	}
	h := ScopeHardState{
		Failures:         scope.consecutiveFailures,
		LastFailedSentAt: scope.lastFailedSentAt,
		UnansweredSince:  scope.unansweredSince,
		Refusals:         scope.consecutiveRefusals,
	}
	if h.Failures > 0 {
		h.FailingSince = scope.failingSince
	}
	if h.Refusals > 0 {
		h.FirstRefusedAt = scope.firstRefusedAt
	}
	return h
}

// hardState returns the hard state of an endpoint.
func (s *Sender) hardState(ep *endpointState) HardState {
	h := HardState{Endpoint: ep.id, At: s.now, Health: State(ep.health), Failures: ep.consecutiveFailures}
	if ep.scopeReporter() == ep {
		h.Scope = ep.scopeHardState()
	}
	if h.Clean() {
		return h
	}
	h.Symptom, h.FailingSince, h.LastFailedSentAt = ep.symptom, ep.failingSince, ep.lastFailedSentAt
	h.RetryNotBefore = ep.destination.retryNotBefore
	h.Demand = ep.destination.arrivalRate.perSecond(s.now, trafficSpan)
	h.Delivered = s.measurePreOutageRate(ep)
	if ep.health != healthy {
		h.Delivered = ep.preOutageRate
		h.HealthSince, h.LastCharged = ep.healthSince, ep.lastCharged
		h.ProbeInterval, h.WarmUpCredit = ep.probeInterval, ep.warmUpCredit
	}
	return h
}

// nothingToReport reports whether no hard state of a limit scope or of its endpoints is recorded or limits
// anything, as far as one of them, ep, shows. It keeps changes of the list cheap where many endpoints are
// well.
func (ep *endpointState) nothingToReport() bool {
	return ep.limitScope.keptStates == 0 && ep.limitScope.isClean() && ep.health == healthy &&
		ep.consecutiveFailures == 0
}

// touch notes that the hard state of an endpoint or of its limit scope may have changed.
func (s *Sender) touch(ep *endpointState) {
	if ep.nothingToReport() {
		return
	}
	if ep.hardStateKept || ep.health != healthy || ep.consecutiveFailures > 0 {
		s.touched[ep] = true
	}
	if reporter := ep.scopeReporter(); reporter != nil && (reporter.hardStateKept || !ep.limitScope.isClean()) {
		s.touched[reporter] = true
	}
}

// touchDemand notes that the demand of a destination has grown, by which the senders of a large fleet reckon
// their shares. It is reported with the first endpoint that is limited.
func (s *Sender) touchDemand(d *destinationState) {
	if len(d.endpoints) == 0 || d.endpoints[0].nothingToReport() && !s.kind(d.endpoints[0]).RoutesApart {
		return
	}
	i := slices.IndexFunc(d.endpoints, func(ep *endpointState) bool { return ep.health != healthy && !ep.gone })
	if i >= 0 {
		s.touch(d.endpoints[i])
	}
}

// touchScope notes that another endpoint may report the hard state of a limit scope from now on.
func (s *Sender) touchScope(ep *endpointState) {
	if ep.nothingToReport() {
		return
	}
	for other := range ep.scopeEndpoints() {
		if other.hardStateKept {
			s.touched[other] = true
		}
	}
	s.touch(ep)
}

// keepHardState notes whether the hard state of an endpoint is recorded.
func (ep *endpointState) keepHardState(kept bool) {
	if ep.hardStateKept == kept {
		return
	}
	ep.hardStateKept = kept
	if kept {
		ep.limitScope.keptStates++
	} else {
		ep.limitScope.keptStates--
	}
}

// reportHardStates reports the hard states that may have changed in this step.
func (s *Sender) reportHardStates() {
	if len(s.touched) == 0 {
		return
	}
	endpoints := make([]*endpointState, 0, len(s.touched))
	for ep := range s.touched {
		endpoints = append(endpoints, ep)
	}
	clear(s.touched)
	slices.SortFunc(endpoints, compareEndpoints)
	for _, ep := range endpoints {
		h := s.hardState(ep)
		if s.endpoints[ep.id] == ep && (ep.hardStateKept || !h.Clean()) {
			ep.keepHardState(!h.Clean())
			s.observeHardState(h)
		}
	}
}

// observeHardState adds a hard state to the observations, in the place of an earlier one that nobody has
// read.
func (s *Sender) observeHardState(h HardState) {
	states := s.observations.HardStates
	if i := slices.IndexFunc(states, func(x HardState) bool { return x.Endpoint == h.Endpoint }); i >= 0 {
		states[i] = h
		return
	}
	s.observations.HardStates = append(states, h)
}

// forgetHardState ends the record of an endpoint that is forgotten. Another one stands for its limit scope
// from now on.
func (s *Sender) forgetHardState(ep *endpointState) {
	delete(s.touched, ep)
	if ep.hardStateKept {
		s.observeHardState(HardState{Endpoint: ep.id, At: s.now})
		ep.keepHardState(false)
	}
	for _, other := range ep.destination.endpoints {
		if other.limitScope == ep.limitScope {
			s.touchScope(other)
			return
		}
	}
}

// restoreHardState takes over what an earlier process knew of an endpoint. What this process knows already
// stands beside it: the more careful of both holds.
func (s *Sender) restoreHardState(h HardState) {
	ep := s.endpoint(h.Endpoint)
	if ep == nil || h.Clean() {
		return
	}
	ep.keepHardState(true)
	if demand := &ep.destination.arrivalRate; h.At > demand.last {
		*demand = decayingRate{sum: h.Demand * trafficSpan.Seconds(), last: h.At}
	}
	ep.destination.retryNotBefore = max(ep.destination.retryNotBefore, h.RetryNotBefore)
	if ep.health == healthy {
		s.restoreEndpoint(ep, h)
	}
	s.restoreScope(ep, h.Scope)
	s.touch(ep)
}

// restoreEndpoint restores an endpoint's own part.
func (s *Sender) restoreEndpoint(ep *endpointState, h HardState) {
	ep.limitScope.unproven = true
	ep.consecutiveFailures = max(ep.consecutiveFailures, h.Failures)
	ep.symptom, ep.failingSince = h.Symptom, h.FailingSince
	ep.lastFailedSentAt = max(ep.lastFailedSentAt, h.LastFailedSentAt)
	if h.Health == Healthy {
		if ep.deliveredRate.sum == 0 {
			ep.deliveredRate = decayingRate{sum: h.Delivered * trafficSpan.Seconds(), last: h.At}
		}
		return
	}
	ep.preOutageRate = h.Delivered
	ep.lastCharged, ep.probeInterval, ep.warmUpCredit = h.LastCharged, h.ProbeInterval, h.WarmUpCredit
	s.setHealth(ep, health(h.Health), h.HealthSince, CauseRestored)
	s.restorePhase(ep)
}

// restorePhase spaces the first call to an endpoint that is not healthy. If it came due while no process ran,
// it did so for every sender that restarts now, and each draws a new phase.
func (s *Sender) restorePhase(ep *endpointState) {
	interval := s.callInterval(ep)
	if ep.lastCharged+interval > s.now {
		return
	}
	ep.lastCharged = s.now - seconds(s.rng.Float64()*interval.Seconds())
}

// restoreScope restores the part that the endpoints of a limit scope share.
func (s *Sender) restoreScope(ep *endpointState, h ScopeHardState) {
	scope := ep.limitScope
	if h == (ScopeHardState{}) {
		return
	}
	scope.unproven = true
	if h.Failures > scope.consecutiveFailures {
		scope.consecutiveFailures, scope.failingSince = h.Failures, h.FailingSince
		scope.lastFailureAt = max(scope.lastFailureAt, h.LastFailedSentAt)
	}
	scope.lastFailedSentAt = max(scope.lastFailedSentAt, h.LastFailedSentAt)
	if h.Refusals > scope.consecutiveRefusals {
		scope.consecutiveRefusals, scope.firstRefusedAt = h.Refusals, h.FirstRefusedAt
	}
	scope.noteUnanswered(h.UnansweredSince)
}

// noteUnanswered notes that a call sent at a time, 0 for none, was cut off by the end of its process.
func (scope *limitScope) noteUnanswered(sentAt time.Duration) {
	if sentAt > 0 && (scope.unansweredSince == 0 || sentAt < scope.unansweredSince) {
		scope.unansweredSince = sentAt
	}
}

// restorePriorAttempts takes over what a message of an earlier process shows about the limit scope of its
// destination: the end of that process cut off a call that had no answer yet. Most such calls were just under
// way. If none was answered for longer than answers take, maybe over several processes that each ended too
// soon to notice, it is an outage.
func (s *Sender) restorePriorAttempts(arrived Arrived) {
	cutOff := arrived.Prior.CutOff
	if cutOff.InFlightFor <= 0 {
		return
	}
	sentAt := s.now - cutOff.Age
	for _, ep := range s.destination(arrived.Destination).endpoints {
		if at := s.endpoint(cutOff.Endpoint); at != nil && at.limitScope != ep.limitScope {
			continue
		}
		scope := ep.limitScope
		scope.unproven = true
		scope.noteUnanswered(sentAt)
		processEndedAt := sentAt + cutOff.InFlightFor
		if processEndedAt-scope.unansweredSince > initialLateAfter && ep.health == healthy {
			s.restoreUnnoticedOutage(ep)
		}
		s.touch(ep)
	}
}

// restoreUnnoticedOutage puts an endpoint on probation for an outage that no process lived to notice.
func (s *Sender) restoreUnnoticedOutage(ep *endpointState) {
	if ep.consecutiveFailures == 0 {
		ep.failingSince = ep.limitScope.unansweredSince
	}
	ep.consecutiveFailures = max(ep.consecutiveFailures, 1)
	s.startProbation(ep, TimedOut, CauseRestored)
}

// outageAcrossRestart reports whether the call sent at sentAt, the first that this process has an answer to,
// ends an outage which the end of a process kept from being noticed: the limit scope has refused everything
// for as long as an outage does, or has left calls of both processes unanswered or failed for longer than a
// server stays warm.
func (ep *endpointState) outageAcrossRestart(sentAt time.Duration) bool {
	scope := ep.limitScope
	if ep.health != healthy || !scope.unproven {
		return false
	}
	refused := scope.consecutiveRefusals >= outageRefusals && sentAt-scope.firstRefusedAt >= outageRefusalSpan
	failed := ep.consecutiveFailures > 0 && scope.unansweredSince > 0
	return refused || failed && sentAt-scope.unansweredSince >= maxBriefOutage
}

// awaitsProof reports whether an endpoint has to wait as another call is out to its limit scope, of which an
// earlier process saw trouble and this one no answer yet. Otherwise all that is owed would leave at once. A
// call that is unanswered for long is waited for no more: its answer may be lost.
func (s *Sender) awaitsProof(ep *endpointState) bool {
	if !ep.limitScope.unproven || ep.health != healthy {
		return false
	}
	for other := range ep.scopeEndpoints() {
		for _, c := range other.calls {
			if s.now-c.sentAt < initialLateAfter {
				return true
			}
		}
	}
	return false
}
