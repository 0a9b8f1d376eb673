// This file owns the adaptive limiter: a token bucket for each destination whose rate follows the share of calls that are
// taken, as in client-side throttling of the book "Site Reliability Engineering" (chapter 21, "Handling Overload").

package baseline

import (
	"math"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"eiderhaven/rules"
)

// Adaptive returns the policy of an adaptive limiter for each destination.
func Adaptive(set rules.Settings) *frame {
	return newFrame(set, &adaptive{r: rand.New(rand.NewPCG(set.Seed, 23))})
}

const (
	throttleFactor = 1.5              // calls let out over calls taken, at most
	throttleSpan   = 10 * time.Second // over which both are counted
	leastRate      = 0.5              // calls a second, so that a return is seen
)

type adaptive struct{ r *rand.Rand }

type throttle struct {
	bucket      *rate.Limiter
	sent, taken float64
	last        time.Duration
}

var start = time.Unix(0, 0)

func (s *adaptive) throttle(f *frame, d *dest) *throttle {
	t, ok := d.state.(*throttle)
	if !ok {
		t = &throttle{bucket: rate.NewLimiter(rate.Inf, 2)}
		d.state = t
	}
	fade := math.Exp(-(f.now - t.last).Seconds() / throttleSpan.Seconds())
	t.sent, t.taken, t.last = t.sent*fade, t.taken*fade, f.now
	return t
}

// follow sets the rate: no limit while nearly all is taken, else a multiple of what is.
func (t *throttle) follow(now time.Duration) {
	if t.sent <= throttleFactor*t.taken+2 {
		t.bucket.SetLimitAt(start.Add(now), rate.Inf)
		return
	}
	t.bucket.SetLimitAt(start.Add(now), rate.Limit(max(leastRate, throttleFactor*t.taken/throttleSpan.Seconds())))
}

func (s *adaptive) may(f *frame, _ *msg, ep *endpoint) bool {
	t := s.throttle(f, ep.route)
	t.follow(f.now)
	return t.bucket.AllowN(start.Add(f.now), 1)
}

func (s *adaptive) sent(f *frame, ep *endpoint) { s.throttle(f, ep.route).sent++ }

func (s *adaptive) ended(f *frame, m *msg, ep *endpoint, e rules.AttemptEnded) (bool, time.Duration) {
	if m.leads && e.Outcome == rules.OK {
		s.throttle(f, ep.route).taken++
	}
	return true, time.Duration((0.5 + s.r.Float64()) * float64(time.Second))
}

func (s *adaptive) timeout(m *msg) time.Duration {
	if m.class.Effect == rules.AtMostOnce {
		return 0
	}
	return callTimeout
}
