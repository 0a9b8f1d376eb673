// This file owns what a destination takes from all senders together: a plain rate, a count in each span, or calls at
// once. It must never look at who calls.

package receiver

import (
	"time"

	"golang.org/x/time/rate"

	"eiderhaven/rules"
)

// limit admits calls.
type limit interface {
	// admit tells whether a call may come now, and if not, how long until one may.
	admit(now time.Duration, share float64) (ok bool, wait time.Duration)
	// done tells that an admitted call is over.
	done()
	// scale changes the limit to a part of what it was at first.
	scale(now time.Duration, part float64)
	// perSecond is the calls a second that it allows at full share, 0 for no such figure.
	perSecond() float64
	report(now time.Duration) rules.Report
	// fresh is a limit like this one, unused.
	fresh() limit
}

// epoch turns model time into the time.Time that the token bucket wants.
var epoch = time.Unix(0, 0)

// rateLimit is a token bucket.
type rateLimit struct {
	bucket *rate.Limiter
	first  float64
	part   float64
	usesUp bool
	debt   time.Duration // refused calls push the next free moment out, where they use up the limit
}

func newRateLimit(perSecond, burst float64, usesUp bool) *rateLimit {
	return &rateLimit{bucket: rate.NewLimiter(rate.Limit(perSecond), int(max(1, burst))), first: perSecond, part: 1, usesUp: usesUp}
}

func (l *rateLimit) admit(now time.Duration, share float64) (bool, time.Duration) {
	at := epoch.Add(now)
	want := rate.Limit(l.first * l.part * share)
	if l.bucket.Limit() != want {
		l.bucket.SetLimitAt(at, want)
	}
	gap := time.Duration(float64(time.Second) / max(float64(want), 1e-6))
	if now >= l.debt && l.bucket.AllowN(at, 1) {
		return true, 0
	}
	if l.usesUp { // a refused call costs a token, up to one second's worth of them
		l.debt = min(max(l.debt, now)+gap, now+time.Second)
	}
	missing := 1 - l.bucket.TokensAt(at)
	return false, max(time.Duration(missing*float64(gap)), l.debt-now, time.Millisecond)
}

func (l *rateLimit) done()                               {}
func (l *rateLimit) scale(_ time.Duration, part float64) { l.part = part }
func (l *rateLimit) perSecond() float64                  { return l.first * l.part }
func (l *rateLimit) report(now time.Duration) rules.Report {
	left := l.bucket.TokensAt(epoch.Add(now)) / float64(l.bucket.Burst())
	return rules.Report{Remaining: min(max(left, 0), 1), Limit: l.perSecond()}
}

func (l *rateLimit) fresh() limit {
	return newRateLimit(l.first, float64(l.bucket.Burst()), l.usesUp)
}

// windowLimit is a count in each span; spans follow one another without a gap.
type windowLimit struct {
	first  float64
	part   float64
	span   time.Duration
	usesUp bool
	index  time.Duration // number of the present span
	used   float64
}

func (l *windowLimit) admit(now time.Duration, share float64) (bool, time.Duration) {
	if i := now / l.span; i != l.index {
		l.index, l.used = i, 0
	}
	if l.used+1 <= max(l.first*l.part*share, 1) {
		l.used++
		return true, 0
	}
	if l.usesUp {
		l.used++
	}
	return false, (l.index+1)*l.span - now
}

func (l *windowLimit) done()                               {}
func (l *windowLimit) scale(_ time.Duration, part float64) { l.part = part }
func (l *windowLimit) perSecond() float64                  { return l.first * l.part / l.span.Seconds() }
func (l *windowLimit) report(now time.Duration) rules.Report {
	used := l.used
	if now/l.span != l.index {
		used = 0
	}
	return rules.Report{Remaining: min(max(1-used/max(l.first*l.part, 1), 0), 1), Limit: l.perSecond()}
}

func (l *windowLimit) fresh() limit {
	return &windowLimit{first: l.first, part: 1, span: l.span, usesUp: l.usesUp, index: -1}
}

// concurrentLimit is calls at once.
type concurrentLimit struct {
	first float64
	part  float64
	used  int
}

func (l *concurrentLimit) admit(_ time.Duration, share float64) (bool, time.Duration) {
	if float64(l.used)+1 <= max(l.first*l.part*share, 1) {
		l.used++
		return true, 0
	}
	return false, 50 * time.Millisecond // it cannot know when a call will end
}

func (l *concurrentLimit) done()                               { l.used = max(0, l.used-1) }
func (l *concurrentLimit) scale(_ time.Duration, part float64) { l.part = part }
func (l *concurrentLimit) perSecond() float64                  { return 0 }
func (l *concurrentLimit) report(time.Duration) rules.Report {
	return rules.Report{Remaining: min(max(1-float64(l.used)/max(l.first*l.part, 1), 0), 1)}
}

func (l *concurrentLimit) fresh() limit { return &concurrentLimit{first: l.first, part: 1} }
