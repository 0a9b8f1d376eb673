// This file owns the policy with an adaptive rate limiter: a token bucket for each destination, whose rate follows the
// share of calls that are accepted. It is the client-side throttling of the book "Site Reliability Engineering"
// (chapter 21, "Handling Overload").

package baseline

import (
	"math"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"eiderhaven/rules"
)

// Adaptive returns the policy with an adaptive rate limiter for each destination.
func Adaptive(set rules.Settings) *engine {
	return newEngine(set, &adaptive{random: rand.New(rand.NewPCG(set.Seed, adaptiveStream))})
}

const (
	// Second seed of the random stream, beside that of the settings.
	adaptiveStream = 23

	// Calls sent over calls accepted, at most, and the number of calls that may always be sent beyond that.
	throttleFactor = 1.5
	throttleSlack  = 2

	// Time constant of the exponential decay of both counts.
	throttleSpan = 10 * time.Second

	// Lower limit of the rate in calls a second, so that a recovery is noticed.
	minRate = 0.5

	// Burst of the token bucket in calls.
	throttleBurst = 2

	// Mean pause before a message is tried again. The pause is drawn between half and one and a half times as much.
	adaptivePause = time.Second
)

type adaptive struct{ random *rand.Rand }

// throttle is the rate limiter of one limit scope.
type throttle struct {
	bucket         *rate.Limiter
	sent, accepted float64 // calls, with exponential decay
	lastDecay      time.Duration
}

// epoch is the wall-clock time that stands for the start of model time in the token bucket.
var epoch = time.Unix(0, 0)

// throttleOf returns the rate limiter of a limit scope, with its counts as of now.
func (s *adaptive) throttleOf(eng *engine, d *destination) *throttle {
	t, ok := d.strategyState.(*throttle)
	if !ok {
		t = &throttle{bucket: rate.NewLimiter(rate.Inf, throttleBurst)}
		d.strategyState = t
	}
	decay := math.Exp(-(eng.now - t.lastDecay).Seconds() / throttleSpan.Seconds())
	t.sent *= decay
	t.accepted *= decay
	t.lastDecay = eng.now
	return t
}

// updateRate sets the rate of the token bucket: no limit while nearly all calls are accepted, else a multiple of the
// rate of accepted calls.
func (t *throttle) updateRate(now time.Duration) {
	if t.sent <= throttleFactor*t.accepted+throttleSlack {
		t.bucket.SetLimitAt(epoch.Add(now), rate.Inf)
		return
	}
	limit := max(minRate, throttleFactor*t.accepted/throttleSpan.Seconds())
	t.bucket.SetLimitAt(epoch.Add(now), rate.Limit(limit))
}

func (s *adaptive) maySend(eng *engine, _ *message, ep *endpoint) bool {
	t := s.throttleOf(eng, ep.limitScope)
	t.updateRate(eng.now)
	return t.bucket.AllowN(epoch.Add(eng.now), 1)
}

func (s *adaptive) onCallSent(eng *engine, ep *endpoint) {
	s.throttleOf(eng, ep.limitScope).sent++
}

func (s *adaptive) onAttemptEnded(eng *engine, m *message, ep *endpoint, e rules.AttemptEnded) (bool, time.Duration) {
	if m.leadsCall && e.Outcome == rules.OK {
		s.throttleOf(eng, ep.limitScope).accepted++
	}
	return true, time.Duration((minWaitShare + s.random.Float64()) * float64(adaptivePause))
}

func (s *adaptive) timeout(m *message) time.Duration {
	if m.class.Effect == rules.AtMostOnce {
		return 0
	}
	return callTimeout
}
