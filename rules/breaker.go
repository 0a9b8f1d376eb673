// This file owns the circuit breaker of one class at one endpoint, and the hints that senders share about
// it. No rule may depend on a hint, which can be late, repeated or lost. An open breaker must never keep a
// class from the only endpoint that would take it.

package rules

import (
	"math"
	"slices"
	"time"
)

const (
	// How long a breaker stays open at first. It doubles with each failure in a row, up to limitExpiry.
	breakerPause = 6 * time.Second

	hintSpan          = 5 * time.Second  // time constant of the rate of hints about a class at an endpoint
	hintThreshold     = 1.7              // hints within hintSpan that open the breaker: two, but not one
	maxHintRetryAfter = 20 * time.Second // longest Retry-After accepted in a hint
)

// publishHint publishes a failed or overdue call to the other senders, unless enough of them have already
// published hints about the same class and endpoint.
func (s *Sender) publishHint(call *call) {
	if call.hintPublished || !s.settings.MayShareHints {
		return
	}
	call.hintPublished = true
	if !call.classHealth().suspectedByOthers(s.now) {
		s.emit(PublishHint{Hint{Endpoint: call.endpoint.id, Class: call.class()}})
	}
	s.countHint(call.classHealth())
}

// suspectedByOthers reports whether there are enough hints to open the breaker: one call may be slow by
// chance, two count.
func (h *classHealth) suspectedByOthers(now time.Duration) bool {
	return h.hints.perSecond(now, hintSpan) >= hintThreshold/hintSpan.Seconds()
}

// onHint processes a hint of another sender. Its endpoint or class may be unknown here.
func (s *Sender) onHint(hint Hint) {
	endpoint := s.endpoint(hint.Endpoint)
	switch {
	case endpoint == nil || hint.Class < 0 || hint.Class >= len(s.settings.Classes):
		// unknown: ignored
	case hint.RetryAfter > 0:
		s.markUnavailableUntil(endpoint, s.now+min(hint.RetryAfter, maxHintRetryAfter))
	default:
		s.countHint(endpoint.classHealth(hint.Class))
	}
}

// countHint counts a hint about a class at an endpoint, and opens the breaker if there are enough of them.
func (s *Sender) countHint(health *classHealth) {
	health.hints.add(s.now, hintSpan, 1)
	if health.suspectedByOthers(s.now) {
		pause := seconds(breakerPause.Seconds() * (1 + s.rng.Float64()))
		health.openUntil = max(health.openUntil, s.now+pause)
	}
}

// openBreaker counts a failed or overdue call against its class at its endpoint, once per call. While
// another endpoint takes the class its messages go there, and here only as ever rarer probes. This guards
// against an endpoint that leaves one class unanswered while its answers to other classes make it look
// healthy. Where calls are merely slow, the cost is that the other endpoints get more than their share.
func (s *Sender) openBreaker(call *call) {
	health := call.classHealth()
	if call.openedBreaker {
		return
	}
	call.openedBreaker = true
	pause := min(breakerPause.Seconds()*math.Exp2(float64(health.consecutiveFailures)), limitExpiry.Seconds())
	health.openUntil = s.now + seconds(pause*s.jitter())
	health.consecutiveFailures++
}

// breakerOpen reports whether a class must stay away from an endpoint, as another one takes it.
func (s *Sender) breakerOpen(endpoint *endpointState, class int) bool {
	return s.now < endpoint.classHealth(class).openUntil &&
		slices.ContainsFunc(endpoint.destination.endpoints, func(other *endpointState) bool {
			return other.inService && other.health != probation && s.now >= other.classHealth(class).openUntil
		})
}
