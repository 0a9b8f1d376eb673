// Tests the rate controller (AIMD) of a limit scope and how a sender processes refusals.

package rules

import (
	"math"
	"testing"
	"time"
)

func TestFirstMultiplicativeDecrease(t *testing.T) {
	for _, c := range []struct {
		name          string
		senders       int
		sent, refused int
		listed, want  float64
	}{
		{"from the rate of sends", 2, 30, 1, 0, 0.7 * 10},
		{"from the rate of refusals", 10, 0, 8, 0, 0.7 * 8 / 3},
		{"a large fleet measures over a longer time", 200, 40, 1, 0, 0.7 * 40 / largeFleetRateSpan.Seconds()},
		{"not below minRate in a large fleet, as traffic is not spread evenly", 200, 1, 1, 4, minRate},
		{"a listed rate corrects a burst down", 2, 40, 1, 6, 0.7 * 6},
		{"a listed rate corrects a trickle up", 2, 1, 1, 8, 0.7 * 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			var controller rateController
			for range c.sent {
				controller.onSend(0, c.senders)
			}
			if max(controller.notBefore, controller.nextSend) != 0 {
				t.Error("the rate is limited before any refusal")
			}
			controller.refusedRate.add(0, rateSpan(c.senders), float64(c.refused-1))
			controller.onRefusal(0, 0, c.listed, c.senders, 1, minRate)
			if math.Abs(controller.rate-c.want) > 0.01 {
				t.Errorf("rate %.2f, want %.2f", controller.rate, c.want)
			}
		})
	}
}

func TestLaterMultiplicativeDecreases(t *testing.T) {
	start := rateController{rate: 10, lastDecrease: 10 * sec, lastChange: 10 * sec}
	for _, c := range []struct {
		name      string
		now, sent time.Duration
		want      float64
	}{
		{"within the cooldown", 10900 * ms, 10500 * ms, 10},
		{"sent before the latest decrease", 12 * sec, 9 * sec, 10},
		{"sent at the latest decrease", 12 * sec, 10 * sec, 10},
		{"after both", 11 * sec, 10001 * ms, 7},
	} {
		controller := start
		controller.onRefusal(c.now, c.sent, 0, 2, 1, minRate)
		if math.Abs(controller.rate-c.want) > 1e-9 {
			t.Errorf("%s: rate %.2f, want %.2f", c.name, controller.rate, c.want)
		}
	}
	controller := start
	for i := range 100 {
		controller.onRefusal(time.Duration(20+2*i)*sec, time.Duration(19+2*i)*sec, 0, 2, 1, minRate)
	}
	if controller.rate != minRate {
		t.Errorf("rate %.3f after many decreases, want minRate", controller.rate)
	}
	controller.onRefusal(500*sec, 499*sec, 12, 2, 1, minRate)
	if controller.rate != 3 {
		t.Errorf("rate %.3f with a listed rate of 12 for two senders, want half of this sender's part", controller.rate)
	}
}

func TestAdditiveIncrease(t *testing.T) {
	decreased := rateController{rate: 10}
	decreased.onRefusal(10*sec, 9*sec, 0, 2, 1, minRate)
	for _, c := range []struct {
		name       string
		limited    bool          // a message waited for the rate
		retryAfter time.Duration // returned with the refusal
		now        time.Duration
		want       float64
	}{
		{"a tenth of the rate before the decrease", true, 0, 10*sec + increaseInterval, 8},
		{"not before the interval", true, 0, 10*sec + increaseInterval - ms, 7},
		{"not without a message that waits", false, 0, 20 * sec, 7},
		{"the interval restarts at the end of a Retry-After", true, sec, 11*sec + increaseInterval - ms, 7},
		{"and runs from there", true, sec, 11*sec + increaseInterval, 8},
	} {
		controller := decreased
		if c.limited {
			controller.lastLimited = c.now
		}
		if c.retryAfter > 0 {
			controller.onRetryAfter(10*sec + c.retryAfter)
		}
		controller.onSuccess(c.now)
		if math.Abs(controller.rate-c.want) > 1e-9 {
			t.Errorf("%s: rate %.2f, want %.2f", c.name, controller.rate, c.want)
		}
		if controller.onSuccess(c.now + 10*sec); c.want > 7 && controller.rate != c.want {
			t.Errorf("%s: increased again, though no message has waited since", c.name)
		}
	}
}

func TestRateExpires(t *testing.T) {
	controller := rateController{rate: 5, lastRefusal: 10 * sec, nextSend: 30 * sec}
	controller.expire(10*sec + limitExpiry - ms)
	if controller.rate == 0 {
		t.Error("the rate expired early")
	}
	controller.lastLimited = 20 * sec
	controller.expire(10*sec + limitExpiry)
	if controller.rate == 0 {
		t.Error("the rate expired while messages wait for it: the backlog would leave in one burst")
	}
	controller.expire(20*sec + limitExpiry)
	if controller.rate != 0 || controller.nextSend != 0 {
		t.Error("the rate has not expired after limitExpiry")
	}
}

func TestRateCountsCallsNotMessages(t *testing.T) {
	b := newBench(t, nil, Entry{Endpoint: 11, Destination: 1, Kind: 2})
	controller := &b.s.endpoint(11).limitScope.controller
	controller.rate, controller.nextSend, controller.lastRefusal = 2, b.now+sec, b.now
	for range 6 {
		b.submit(safe)
	}
	out := b.wait(sec)
	if len(sends(out)) != 4 {
		t.Fatalf("%d messages in the first call, want a full batch of 4", len(sends(out)))
	}
	if len(b.s.calls) != 1 {
		t.Errorf("%d slots in use for one call", len(b.s.calls))
	}
	if got := sends(b.wait(490 * ms)); len(got) != 0 {
		t.Error("a second call before half a second, with a rate of 2 calls a second")
	}
	if got := sends(b.wait(20 * ms)); len(got) != 2 {
		t.Errorf("%d messages in the second call, want 2", len(got))
	}
	if controller.lastLimited == 0 {
		t.Error("messages waited for the rate, and lastLimited was not set")
	}
}

func TestListedRateDoesNotLimitBeforeRefusal(t *testing.T) {
	b := newBench(t, func(s *Settings) { s.RatesListed = true }, Entry{Endpoint: 11, Destination: 1, ListedRate: 0.5})
	n := 0
	for range 4 {
		_, out := b.submit(safe)
		n += len(sends(out))
	}
	if n != 4 {
		t.Errorf("%d of 4 messages sent at once, want all: a listed rate alone is no limit", n)
	}
}

func TestLastingRefusalsCountAsOutage(t *testing.T) {
	b := newBench(t, nil)
	b.serve(3, safe, 11)
	id, _ := b.submit(safe)
	b.endAttempt(id, 0, 11, Refused, withRetryAfter(longRetryAfter+sec))
	if ep := b.s.endpoint(11); ep.health != slowStart || ep.healthSince != b.now+longRetryAfter+sec {
		t.Errorf("health %d since %v: a Retry-After longer than a limit's own did not count as an outage until its end",
			ep.health, ep.healthSince)
	}
	b = newBench(t, nil)
	b.serve(3, safe, 11)
	b.submit(safe)
	b.run(outageRefusalSpan+4*sec, always(Refused, 10*ms))
	if b.s.endpoint(11).health != probation {
		t.Error("nothing but refusals over seconds did not count as an outage")
	}
}

// The senders of a large fleet must not all pause and go on together.
func TestFirstGapIsRandomInLargeFleet(t *testing.T) {
	for _, senders := range []int{3, 300} {
		b := newBench(t, func(s *Settings) { s.Senders = senders })
		id, _ := b.submit(safe)
		b.endAttempt(id, 0, 11, Refused)
		controller := b.s.endpoint(11).limitScope.controller
		gap := seconds(1 / controller.rate)
		if (controller.nextSend < b.now+gap) != (senders > SmallFleet) {
			t.Errorf("%d senders: first gap %v of %v, want a full one in a small fleet, a part of it in a large one",
				senders, controller.nextSend-b.now, gap)
		}
	}
}

// Where everything is refused, as in a hang with a full queue, hundreds of senders that each kept to minRate would
// overload the endpoint as it returns. Seen on day h520c76 of deployment kl-head-office, which "eiderlab hunt" found.
func TestMinRateHoldsForFirstRefusalInARow(t *testing.T) {
	b := newBench(t, func(s *Settings) { s.Senders = 261 })
	for i, want := range []float64{minRate, 0.7, 0.49, 0.343, minRate} {
		if i == 4 {
			b.processAnswer(11, safe, 0)
		}
		b.s.now += 2 * sec
		b.s.onRefusal(b.s.endpoint(11), b.s.now-10*ms, 0)
		if got := b.s.endpoint(11).limitScope.controller.rate; math.Abs(got-want) > 0.001 {
			t.Errorf("rate %.3f after refusal %d, want %.3f", got, i+1, want)
		}
	}
}

// During a hang with a full queue a destination refuses all calls. The senders of a large fleet that have little
// traffic have each seen a refusal or two when it returns, and all of them at their rates would overload it. Seen in
// deployments kernarchiv-hochdorf (the standard overload day) and dudley-yard-later (day big-1), both after a hang of
// about 19 s. The case in which each sender's first refusal comes in the last seconds of the hang was seen on day
// h5c6921 of dudley-yard-later, which "eiderlab hunt" found.
func TestLargeFleetStartsSlowAfterOutageOfRefusals(t *testing.T) {
	const senders, outage, span = 100, 15 * sec, 2 * sec
	for _, c := range []struct {
		name         string
		firstMessage func(i int) time.Duration // when a sender's first message to the destination comes
	}{
		{"early refusals", func(i int) time.Duration { return time.Duration(i) * outage / senders / 2 }},
		{"late refusals", func(i int) time.Duration { return outage - 2500*ms + time.Duration(i)*2*sec/senders }},
	} {
		calls := 0
		for i := range senders {
			b := newBench(t, func(s *Settings) {
				s.Senders, s.Seed, s.RatesListed, s.RatesExact, s.MaySendRetryAfter =
					2*senders, uint64(i), true, true, false
			}, Entry{Endpoint: 11, Destination: 1, ListedRate: 10})
			b.serve(1, safe, 11)
			start := b.now
			hang := func(EndpointID) reply {
				if b.now-start < outage {
					return reply{outcome: Refused, after: 50 * ms}
				}
				return reply{outcome: OK, after: 50 * ms}
			}
			b.run(c.firstMessage(i), hang)
			b.submit(safe)
			if left := outage - 500*ms - (b.now - start); left > 0 {
				b.run(left, hang)
			}
			b.submit(safe)
			for _, at := range b.run(outage+span-(b.now-start), hang) {
				if at >= start+outage {
					calls++
				}
			}
		}
		// Budget of the return: overload factor 2 x cold share 0.2 x 10 calls a second x 2 s, half of it for these
		// senders.
		if budget := 2 * 0.2 * 10 * span.Seconds() / 2; float64(calls) > budget {
			t.Errorf("%s: senders that were refused made %d calls in the first %v after the return, want up to %.0f",
				c.name, calls, span, budget)
		}
	}
}

// TestRefusalsInARowAreAnOutage guards against a few senders that are refused throughout an outage and call on at the rate
// that a limit would leave them: on its return a small destination got more from them than it can bear cold.
func TestRefusalsInARowAreAnOutage(t *testing.T) {
	for _, c := range []struct {
		name     string
		apart    time.Duration
		answered bool // between the refusals
		want     health
	}{
		{"at once", 10 * ms, false, healthy},
		{"within the gap that follows a refusal", sec, false, healthy},
		{"behind that gap", outageRefusalSpan, false, probation},
		{"answered between", outageRefusalSpan, true, healthy},
	} {
		b := newBench(t, func(s *Settings) { s.Senders = 10 })
		b.serve(1, safe, 11)
		b.s.now = b.now
		b.s.onRefusal(b.s.endpoint(11), b.s.now, 0)
		b.s.now += c.apart
		if c.answered {
			b.processAnswer(11, safe, 5*ms)
		}
		b.s.onRefusal(b.s.endpoint(11), b.s.now, 0)
		if got := b.s.endpoint(11).health; got != c.want {
			t.Errorf("%s: health %d, want %d", c.name, got, c.want)
		}
	}
}
