// This file owns the textbook policy: exponential backoff, with a circuit breaker for each destination.

package baseline

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sony/gobreaker/v2"

	"eiderhaven/rules"
)

// Backoff returns the policy of exponential backoff and a circuit breaker.
func Backoff(set rules.Settings) *frame {
	return newFrame(set, &backingOff{r: rand.New(rand.NewPCG(set.Seed, 17))})
}

const (
	firstWait    = 200 * time.Millisecond
	longestWait  = 5 * time.Second
	callTimeout  = 3 * time.Second
	tripAfter    = 5
	openFor      = 2 * time.Second
	halfOpenOnly = 1
)

type backingOff struct{ r *rand.Rand }

// circuit is a breaker with its open time kept here, in model time: the library's own timer runs by the machine's clock, so
// it is set to nothing and the breaker is only asked again once openFor has passed in the model.
type circuit struct {
	b     *gobreaker.TwoStepCircuitBreaker[any]
	until time.Duration
	done  []func(error) // of the calls out, oldest first
	trial bool
}

var errCall = errors.New("the call failed")

func (s *backingOff) circuit(d *dest) *circuit {
	if c, ok := d.state.(*circuit); ok {
		return c
	}
	c := &circuit{}
	c.b = gobreaker.NewTwoStepCircuitBreaker[any](gobreaker.Settings{
		MaxRequests: halfOpenOnly,
		Timeout:     1, // a nanosecond: see circuit
		ReadyToTrip: func(n gobreaker.Counts) bool { return n.ConsecutiveFailures >= tripAfter },
	})
	d.state = c
	return c
}

func (s *backingOff) may(f *frame, _ *msg, ep *endpoint) bool {
	c := s.circuit(ep.route)
	return f.now >= c.until && !(c.trial && len(c.done) > 0)
}

func (s *backingOff) sent(f *frame, ep *endpoint) {
	c := s.circuit(ep.route)
	done, err := c.b.Allow()
	if err != nil { // half-open with its trial out: may has kept this from happening
		done = func(error) {}
	}
	c.done = append(c.done, done)
}

func (s *backingOff) ended(f *frame, m *msg, ep *endpoint, e rules.AttemptEnded) (bool, time.Duration) {
	c := s.circuit(ep.route)
	if m.leads && len(c.done) > 0 {
		done := c.done[0]
		c.done = c.done[1:]
		if e.Outcome == rules.OK {
			done(nil)
			c.trial = false
		} else {
			done(errCall)
		}
	}
	if c.b.State() != gobreaker.StateClosed && e.Outcome != rules.OK {
		c.until, c.trial = f.now+openFor, true
	}
	if m.state == nil {
		b := backoff.NewExponentialBackOff()
		b.InitialInterval, b.MaxInterval, b.RandomizationFactor = firstWait, longestWait, 0 // the library draws from a global source
		b.Reset()
		m.state = b
	}
	wait := m.state.(*backoff.ExponentialBackOff).NextBackOff()
	return true, time.Duration(float64(wait) * (0.5 + s.r.Float64()))
}

func (s *backingOff) timeout(m *msg) time.Duration {
	if m.class.Effect == rules.AtMostOnce {
		return 0
	}
	return callTimeout
}
