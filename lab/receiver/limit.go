// This file owns the limit on the calls that a unit admits from all senders together: a rate, a count per window, or
// a number of concurrent calls. It must never look at who calls.

package receiver

import (
	"time"

	"golang.org/x/time/rate"

	"eiderhaven/rules"
)

// limit decides which calls are admitted.
type limit interface {
	// admit reports whether a call is admitted now, and if not, how long until one may be. share is the unit's
	// present share of its capacity.
	admit(now time.Duration, share float64) (ok bool, wait time.Duration)
	// release reports that an admitted call has finished.
	release()
	// setFactor changes the limit to a multiple of its base value.
	setFactor(now time.Duration, factor float64)
	// perSecond returns the calls per second allowed at full capacity, 0 if the limit is not a rate.
	perSecond() float64
	// report returns what an answer states about the limit.
	report(now time.Duration) rules.Report
	// unusedCopy returns a limit with the same base value and nothing used.
	unusedCopy() limit
}

const (
	minRate        = 1e-6                  // calls per second; avoids a division by zero
	minRateWait    = time.Millisecond      // shortest wait that a rate limit returns
	maxRateDebt    = time.Second           // refused calls block a rate limit for at most this time
	concurrentWait = 50 * time.Millisecond // a concurrency limit cannot know when a call will end
)

// bucketEpoch is the time.Time of model time 0, for the token bucket.
var bucketEpoch = time.Unix(0, 0)

// rateLimit is a token bucket.
type rateLimit struct {
	bucket        *rate.Limiter
	base          float64 // calls per second
	factor        float64
	countsRefused bool          // refused calls use up the limit too
	blockedUntil  time.Duration // refused calls postpone the next admission, if countsRefused
}

func newRateLimit(perSecond, burst float64, countsRefused bool) *rateLimit {
	bucket := rate.NewLimiter(rate.Limit(perSecond), int(max(1, burst)))
	return &rateLimit{bucket: bucket, base: perSecond, factor: 1, countsRefused: countsRefused}
}

func (l *rateLimit) admit(now time.Duration, share float64) (bool, time.Duration) {
	at := bucketEpoch.Add(now)
	want := rate.Limit(l.base * l.factor * share)
	if l.bucket.Limit() != want {
		l.bucket.SetLimitAt(at, want)
	}
	gap := time.Duration(float64(time.Second) / max(float64(want), minRate))
	if now >= l.blockedUntil && l.bucket.AllowN(at, 1) {
		return true, 0
	}
	if l.countsRefused { // a refused call costs a token, up to maxRateDebt
		l.blockedUntil = min(max(l.blockedUntil, now)+gap, now+maxRateDebt)
	}
	missing := 1 - l.bucket.TokensAt(at)
	return false, max(time.Duration(missing*float64(gap)), l.blockedUntil-now, minRateWait)
}

func (l *rateLimit) release()                                  {}
func (l *rateLimit) setFactor(_ time.Duration, factor float64) { l.factor = factor }
func (l *rateLimit) perSecond() float64                        { return l.base * l.factor }
func (l *rateLimit) report(now time.Duration) rules.Report {
	left := l.bucket.TokensAt(bucketEpoch.Add(now)) / float64(l.bucket.Burst())
	return rules.Report{Remaining: min(max(left, 0), 1), Limit: l.perSecond()}
}

func (l *rateLimit) unusedCopy() limit {
	return newRateLimit(l.base, float64(l.bucket.Burst()), l.countsRefused)
}

// noWindow is the value of windowLimit.index before the first call.
const noWindow = -1

// windowLimit admits a count of calls in each window; windows follow one another without a gap.
type windowLimit struct {
	base          float64 // calls per window
	factor        float64
	span          time.Duration // length of a window
	countsRefused bool          // refused calls use up the limit too
	index         time.Duration // number of the current window
	used          float64
}

func (l *windowLimit) admit(now time.Duration, share float64) (bool, time.Duration) {
	if i := now / l.span; i != l.index {
		l.index, l.used = i, 0
	}
	if l.used+1 <= max(l.base*l.factor*share, 1) {
		l.used++
		return true, 0
	}
	if l.countsRefused {
		l.used++
	}
	return false, (l.index+1)*l.span - now
}

func (l *windowLimit) release()                                  {}
func (l *windowLimit) setFactor(_ time.Duration, factor float64) { l.factor = factor }
func (l *windowLimit) perSecond() float64                        { return l.base * l.factor / l.span.Seconds() }
func (l *windowLimit) report(now time.Duration) rules.Report {
	used := l.used
	if now/l.span != l.index {
		used = 0
	}
	return rules.Report{Remaining: min(max(1-used/max(l.base*l.factor, 1), 0), 1), Limit: l.perSecond()}
}

func (l *windowLimit) unusedCopy() limit {
	return &windowLimit{base: l.base, factor: 1, span: l.span, countsRefused: l.countsRefused, index: noWindow}
}

// concurrentLimit admits a number of concurrent calls.
type concurrentLimit struct {
	base   float64
	factor float64
	used   int
}

func (l *concurrentLimit) admit(_ time.Duration, share float64) (bool, time.Duration) {
	if float64(l.used)+1 <= max(l.base*l.factor*share, 1) {
		l.used++
		return true, 0
	}
	return false, concurrentWait
}

func (l *concurrentLimit) release()                                  { l.used = max(0, l.used-1) }
func (l *concurrentLimit) setFactor(_ time.Duration, factor float64) { l.factor = factor }
func (l *concurrentLimit) perSecond() float64                        { return 0 }
func (l *concurrentLimit) report(time.Duration) rules.Report {
	return rules.Report{Remaining: min(max(1-float64(l.used)/max(l.base*l.factor, 1), 0), 1)}
}

func (l *concurrentLimit) unusedCopy() limit { return &concurrentLimit{base: l.base, factor: 1} }
