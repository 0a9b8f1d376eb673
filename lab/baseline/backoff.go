// This file owns the policy with exponential backoff and a circuit breaker for each destination.

package baseline

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sony/gobreaker/v2"

	"eiderhaven/rules"
)

// Backoff returns the policy with exponential backoff for each message and a circuit breaker for each destination.
func Backoff(set rules.Settings) *engine {
	return newEngine(set, &backoffWithBreaker{random: rand.New(rand.NewPCG(set.Seed, backoffStream))})
}

const (
	// Second seed of the random stream, beside that of the settings.
	backoffStream = 17

	// Mean backoff after the first failure of a message, and its upper limit.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 5 * time.Second

	// Timeout of an attempt, here and in the adaptive policy. Messages that must not be repeated have none.
	callTimeout = 3 * time.Second

	// Circuit breaker: consecutive failures that open it, the time it stays open, and the calls in the half-open state.
	failuresToOpen = 5
	openDuration   = 2 * time.Second
	halfOpenCalls  = 1
)

type backoffWithBreaker struct{ random *rand.Rand }

// circuitBreaker is a circuit breaker in model time. The timer of the library follows the wall clock, so it is set to
// one nanosecond, and the breaker is consulted again only when openDuration has passed in model time.
type circuitBreaker struct {
	breaker   *gobreaker.TwoStepCircuitBreaker[any]
	openUntil time.Duration
	onDone    []func(error) // of the calls in flight, oldest first
	probing   bool          // half-open: one call at a time
}

var errCallFailed = errors.New("the call failed")

func (s *backoffWithBreaker) circuitOf(d *destination) *circuitBreaker {
	if c, ok := d.strategyState.(*circuitBreaker); ok {
		return c
	}
	c := &circuitBreaker{}
	c.breaker = gobreaker.NewTwoStepCircuitBreaker[any](gobreaker.Settings{
		MaxRequests: halfOpenCalls,
		Timeout:     1, // see circuitBreaker
		ReadyToTrip: func(n gobreaker.Counts) bool { return n.ConsecutiveFailures >= failuresToOpen },
	})
	d.strategyState = c
	return c
}

func (s *backoffWithBreaker) maySend(eng *engine, _ *message, ep *endpoint) bool {
	c := s.circuitOf(ep.limitScope)
	return eng.now >= c.openUntil && !(c.probing && len(c.onDone) > 0)
}

func (s *backoffWithBreaker) onCallSent(eng *engine, ep *endpoint) {
	c := s.circuitOf(ep.limitScope)
	done, err := c.breaker.Allow()
	if err != nil { // half-open with a call in flight, which maySend excludes
		done = func(error) {}
	}
	c.onDone = append(c.onDone, done)
}

func (s *backoffWithBreaker) onAttemptEnded(
	eng *engine, m *message, ep *endpoint, e rules.AttemptEnded,
) (bool, time.Duration) {
	c := s.circuitOf(ep.limitScope)
	if m.leadsCall && len(c.onDone) > 0 {
		done := c.onDone[0]
		c.onDone = c.onDone[1:]
		if e.Outcome == rules.OK {
			done(nil)
			c.probing = false
		} else {
			done(errCallFailed)
		}
	}
	if c.breaker.State() != gobreaker.StateClosed && e.Outcome != rules.OK {
		c.openUntil, c.probing = eng.now+openDuration, true
	}
	if m.strategyState == nil {
		b := backoff.NewExponentialBackOff()
		b.InitialInterval = initialBackoff
		b.MaxInterval = maxBackoff
		b.RandomizationFactor = 0 // the library draws from a global source, so a random factor is applied below
		b.Reset()
		m.strategyState = b
	}
	meanWait := m.strategyState.(*backoff.ExponentialBackOff).NextBackOff()
	return true, time.Duration(float64(meanWait) * (minWaitShare + s.random.Float64()))
}

func (s *backoffWithBreaker) timeout(m *message) time.Duration {
	if m.class.Effect == rules.AtMostOnce {
		return 0
	}
	return callTimeout
}
