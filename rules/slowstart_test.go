// Tests what an endpoint is sent from the first sign of an outage until it is warm again: probes, slow start and the
// budget that the senders of a fleet share.

package rules

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// largeFleetBench returns a bench with a sender of a large fleet, by default with one endpoint of a listed rate.
func largeFleetBench(t *testing.T, entries ...Entry) *bench {
	t.Helper()
	if len(entries) == 0 {
		entries = []Entry{{Endpoint: 11, Destination: 1, ListedRate: 20}}
	}
	return newBench(t, func(s *Settings) { s.Senders, s.RatesListed, s.RatesExact = 300, true, true }, entries...)
}

func TestCallsAfterOutageStayWithinBudget(t *testing.T) {
	for _, o := range []Outcome{Reset, ConnectError, Errored, Refused} {
		b := newBench(t, nil)
		b.serve(100, safe, 11) // ten calls a second
		before := b.s.endpoint(11).deliveredRate.perSecond(b.now, trafficSpan)
		for range 60 {
			b.submit(safe)
		}
		outageEnd := b.now + 8*sec
		script := func(EndpointID) reply {
			if b.now < outageEnd {
				return reply{outcome: o, after: 50 * ms}
			}
			return reply{outcome: OK, after: 50 * ms}
		}
		calls := b.run(18*sec, script)
		for i, from := range calls {
			n := 0
			for _, at := range calls[i:] {
				if at < from+2*sec {
					n++
				}
			}
			warm := 0.2 + 0.8*min(1, (from+2*sec-outageEnd).Seconds()/10)
			if budget := 2*before*warm*2 + 1; from >= outageEnd && float64(n) > budget {
				t.Errorf("outcome %d: %d calls in the 2 s from %v after the return, budget %.1f",
					o, n, from-outageEnd, budget)
			}
		}
		if served := 60 - len(b.s.held); served < 20 {
			t.Errorf("outcome %d: only %d of 60 served 10 s after the return", o, served)
		}
	}
}

func TestProbeIntervalGrowsWithOutage(t *testing.T) {
	b := newBench(t, func(s *Settings) { s.MaxAttempts = 100 })
	b.serve(1, safe, 11) // what answered just now cannot be cold
	b.submit(safe)
	probes := b.run(12*sec, always(ConnectError, 10*ms))
	if len(probes) < 5 {
		t.Fatalf("%d probes in 12 s, want at least 5", len(probes))
	}
	if early := probes[3] - probes[2]; early > sec {
		t.Errorf("early probes are %v apart, want up to 1s", early)
	}
	if late := probes[len(probes)-1] - probes[len(probes)-2]; late < 2*sec {
		t.Errorf("late probes are %v apart, want the full interval of two senders, 2s", late)
	}
}

func TestProbesLeaveTheLastAttempt(t *testing.T) {
	b := newBench(t, nil)
	b.submit(safe)
	b.run(12*sec, always(ConnectError, 10*ms))
	if len(b.s.held) != 1 || b.s.held["m1"].attemptCount != 5 {
		t.Fatal("probes used up the message's last attempt")
	}
	if b.submit(safe); b.s.held["m2"] == nil {
		t.Fatal("the next message is not held")
	}
	b.run(15*sec, always(OK, 10*ms))
	if len(b.s.held) != 0 {
		t.Error("messages were not served after the return")
	}
}

func TestSlowStartAfterLongOutage(t *testing.T) {
	b := newBench(t, nil)
	b.serve(10, safe, 11)
	ep := b.s.endpoint(11)
	ep.failingSince = b.now
	b.s.startProbation(ep, Reset, CauseFailures)
	b.wait(6 * sec)
	b.processAnswer(11, safe, 0)
	if ep.health != slowStart {
		t.Fatalf("health %d after a probe succeeded, want slow start", ep.health)
	}
	ep.healthSince, ep.warmUpCredit = b.s.now, 0 // as if the probe had been answered right behind a failed one
	const delivered = 20
	ep.preOutageRate = delivered // otherwise the interval that the probes of all senders keep is shorter
	checkInterval := func(when string, capacity float64) {
		t.Helper()
		warmCalls := b.s.settings.OverloadFactor * delivered * capacity // of this sender, a second
		budget := warmCalls * float64(b.s.settings.Senders) * b.s.settings.FallWindow.Seconds()
		want, got := 1/(warmCalls*budgetFraction(budget)), b.s.callInterval(ep).Seconds()
		if math.Abs(got/want-1) > 0.01 {
			t.Errorf("interval %.4f s %s, want %.4f", got, when, want)
		}
	}
	// The cold share is 0.2, halfway 0.6, and 0.4 on average until then. Half a fall window on, it is 0.08 more.
	checkInterval("when cold", 0.28)
	b.s.now += 5 * sec
	checkInterval("with no call until halfway", 0.48)
	ep.lastCharged = b.s.now
	checkInterval("from halfway on", 0.68)
	b.s.now += 6 * sec
	b.processAnswer(11, safe, 0)
	if ep.health != healthy {
		t.Errorf("health %d after the warm-up, want healthy", ep.health)
	}
	for range outageFailures { // an endpoint that was in slow start is assessed like any other
		b.s.onFailure(ep, b.s.now, Reset)
	}
	if ep.health != probation {
		t.Error("failures after slow start did not start probation")
	}
}

// In a large fleet, the backlog of a sender that saw two failures waits for a probe, and then leaves at the rate of a
// slow start.
func TestBacklogLeavesAtSlowStartRate(t *testing.T) {
	b := largeFleetBench(t)
	for range 6 {
		b.submit(safe)
	}
	ep := b.s.endpoint(11)
	b.run(sec, always(ConnectError, 5*ms))
	if ep.health != probation {
		t.Fatalf("health %d after failures, want probation", ep.health)
	}
	ep.failingSince = b.now - 8*sec // too long ago for the endpoint to be still warm
	ep.lastCharged = b.now - ep.probeInterval
	ep.destination.retryNotBefore = b.now
	before := len(sends(b.actions))
	for range 6 {
		b.submit(safe)
	}
	b.run(sec, always(OK, 20*ms))
	if n := len(sends(b.actions)) - before; ep.health != slowStart || n < 1 || n > 2 {
		t.Errorf("health %d, %d calls in the second after the return, want slow start with one or two", ep.health, n)
	}
}

// Calls that a hang held up all end at the same moment. The calls that their endpoint's share allowed meanwhile must
// not leave at that moment.
func TestNoCallFollowsAtOnceWhenHangEnds(t *testing.T) {
	for _, outcome := range []Outcome{Reset, TimedOut, Cancelled, ConnectError} {
		b := largeFleetBench(t)
		id, _ := b.submit(safe)
		ep := b.s.endpoint(11)
		b.s.now = b.now
		b.s.startProbation(ep, TimedOut, CauseUnresponsive)
		ep.lastCharged = b.now - 100*sec
		b.now += 20 * sec
		b.endAttempt(id, 0, 11, outcome)
		if at := b.s.slowStartAdmits(ep); at <= b.now {
			t.Errorf("outcome %d: the next call may leave at %v, %v after it", outcome, at, at-b.now)
		}
	}
}

// A share that cannot be used for a while, as when no slot is free, is not saved up.
func TestBlockedShareIsNotSavedUp(t *testing.T) {
	b := newBench(t, func(s *Settings) { s.Senders, s.Slots, s.RatesListed, s.RatesExact = 300, 1, true, true },
		Entry{Endpoint: 11, Destination: 1, ListedRate: 20}, Entry{Endpoint: 12, Destination: 2, ListedRate: 20})
	b.step(Arrived{ID: "slot", Destination: 2, Class: atMostOnce, TimeLeft: 16 * sec})
	ep := b.s.endpoint(11)
	b.s.startProbation(ep, ConnectError, CauseFailures)
	ep.lastCharged = b.now - 100*sec
	b.submit(safe)
	if at := b.s.slowStartAdmits(ep); at <= b.now {
		t.Errorf("the share was saved up while no slot was free: the next call may leave at %v, now is %v", at, b.now)
	}
}

// The estimated return lies half-way between the latest failure and the answer. The other endpoints of the destination
// begin their slow start with it.
func TestEstimatedReturnOfDestination(t *testing.T) {
	b := largeFleetBench(t, Entry{Endpoint: 11, Destination: 1, ListedRate: 20},
		Entry{Endpoint: 12, Destination: 1, ListedRate: 20})
	answering, other := b.s.endpoint(11), b.s.endpoint(12)
	answering.failingSince = b.now - 8*sec
	b.s.startProbation(answering, Reset, CauseFailures)
	b.s.startProbation(other, Reset, CauseFailures)
	b.now += 6 * sec
	b.step(WakeUp{})
	b.processAnswer(11, safe, 0)
	if answering.health != slowStart || b.now-answering.healthSince != 3*sec {
		t.Errorf("health %d for %v, want slow start for 3s", answering.health, b.now-answering.healthSince)
	}
	want := seconds(warmUpCreditShare * 6)
	if answering.warmUpCredit < want-time.Millisecond || answering.warmUpCredit > want+time.Millisecond {
		t.Errorf("%v count as warm-up, want %v", answering.warmUpCredit, want)
	}
	if other.health != slowStart || other.healthSince != answering.healthSince {
		t.Errorf("the other endpoint: health %d since %v, want the same as the first", other.health, other.healthSince)
	}
}

// An endpoint that fails half of its calls has not returned, however many answers come in between.
func TestFailureRestartsSlowStart(t *testing.T) {
	b := largeFleetBench(t)
	ep := b.s.endpoint(11)
	b.s.startProbation(ep, Errored, CauseFailures)
	b.now += 6 * sec
	b.step(WakeUp{})
	b.processAnswer(11, safe, 0)
	b.now += 9 * sec
	b.step(WakeUp{})
	b.s.onFailure(ep, b.now-10*ms, Errored)
	if ep.health != slowStart || ep.healthSince != b.now || ep.warmUpCredit != 0 {
		t.Errorf("health %d since %v with a warm-up credit of %v, want slow start since %v without any",
			ep.health, ep.healthSince, ep.warmUpCredit, b.now)
	}
	b.now += 2 * sec
	b.step(WakeUp{})
	b.processAnswer(11, safe, 0)
	if ep.health != slowStart {
		t.Errorf("health %d two seconds after a failure, want slow start", ep.health)
	}
}

// The fraction of a budget that informed senders may use leaves room for chance below breachShare, at every budget.
func TestBudgetFractionLeavesRoomForChance(t *testing.T) {
	for budget := 1.0; budget < 2000; budget *= 1.1 {
		mean := budget * budgetFraction(budget)
		bears := budget + 2*math.Sqrt(budget) + 2
		if budget < 30 {
			bears = budget + 3*math.Sqrt(budget) + 3
		}
		if limit := breachShare * bears; mean+chanceDeviations*math.Sqrt(mean) > limit+1e-9 {
			t.Errorf("budget %.1f: a mean of %.2f, with chance more than the limit of %.2f", budget, mean, limit)
		}
	}
}

// Where the capacity is listed, the shares of the senders of a large fleet sum to no more than the part of the budget
// that budgetFraction returns, whatever the size, the demand and the age of the outage. Each informed sender estimates
// from its own traffic how many others are informed, so they take up to 1.45 times as much (calculated in
// docs/design.md).
func TestSharesSumToTheBudget(t *testing.T) {
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 9))
		between := func(low, high float64) float64 { return low * math.Pow(high/low, rng.Float64()) }
		senders := int(between(2, 1000))
		capacity, load := between(1, 200), between(0.2, 4)
		outage := time.Duration(between(2, 60) * float64(sec))
		settings := testSettings()
		settings.Senders, settings.RatesListed, settings.RatesExact = senders, true, true
		budget, window := 0.0, settings.FallWindow.Seconds()
		sum := 0.0
		const sampled = 1000 // simulated senders, whose sum is scaled to the fleet
		s := New(settings)
		s.Step(100*sec, []Event{ListUpdate{Whole: true, Entries: []Entry{
			{Endpoint: 11, Destination: 1, ListedRate: capacity},
		}}})
		ep := s.endpoint(11)
		for range sampled {
			ep.destination.arrivalRate = decayingRate{}
			first := time.Duration(rng.ExpFloat64() / (load * capacity / float64(senders)) * float64(sec))
			if first >= outage {
				continue // this sender saw nothing of the outage
			}
			s.now = 100*sec + 60*sec + outage
			ep.failingSince = s.now - outage + first
			for at := 100 * sec; at < s.now; {
				ep.destination.arrivalRate.add(at, trafficSpan, 1)
				at += time.Duration(rng.ExpFloat64() / (load * capacity / float64(senders)) * float64(sec))
			}
			ep.destination.arrivalRate.add(ep.failingSince, trafficSpan, 1)
			ep.health = probation
			budget = settings.OverloadFactor * capacity * s.warmCapacity(ep) * window
			sum += window / s.shareInterval(ep).Seconds() * float64(senders) / sampled
		}
		floor := 1.0 // calls a window that all senders together may always make
		if limit := budget*budgetFraction(budget)*1.45 + floor; sum > limit {
			t.Errorf("seed %d, %d senders, capacity %.1f, load %.2f, outage of %v: %.1f calls a window, want up to %.1f",
				seed, senders, capacity, load, outage, sum, limit)
		}
	}
}

// The warm-up stands still while the latest outcome is a failure: a sender whose call in the first second of a hang was
// lost on slow start counted the rest of the hang as warm-up.
func TestSuspectedSlowStartDoesNotWarmUp(t *testing.T) {
	for _, failed := range []bool{false, true} {
		b := largeFleetBench(t)
		ep := b.s.endpoint(11)
		b.s.now = b.now
		ep.health, ep.healthSince = slowStart, b.now
		if failed {
			b.s.onFailure(ep, b.now-sec, TimedOut)
		}
		ep.lastCharged = b.now
		cold := b.s.callInterval(ep)
		b.s.now += 8 * sec
		if later := b.s.callInterval(ep); (later > cold*9/10) != failed {
			t.Errorf("failed %v: interval %v when cold and %v after 8 s", failed, cold, later)
		}
	}
}

// Deliveries mostly go to the quickest endpoint. The shares of all endpoints that share a limit sum to what a sender
// delivered to them together, or to its part of the listed rate if that is more, and not to both.
func TestSharesOfEndpointsSumToOne(t *testing.T) {
	for _, c := range []struct {
		name      string
		delivered float64 // to endpoint 11, in parts of the listed rate
		want      float64 // sum of the shares, in parts of the listed rate
	}{
		{"nothing delivered", 0, 1}, {"its part", 1, 1}, {"twice its part", 2, 2},
	} {
		b := largeFleetBench(t, twoEndpoints(0)...)
		b.s.now = b.now
		part := 20.0 / 300
		b.s.endpoint(11).preOutageRate = c.delivered * part
		sum := 0.0
		for _, id := range []EndpointID{11, 12} {
			ep := b.s.endpoint(id)
			sum += b.s.warmShare(ep, b.s.shareCount(ep)) / part
		}
		if math.Abs(sum-c.want) > 1e-9 {
			t.Errorf("%s: shares of %.3f times its part, want %.0f", c.name, sum, c.want)
		}
	}
}

// A share that began before the warm-up is not spent at the rate of the warm-up: of many senders with random phases as
// many call in a time as the rate over that time allows. The warm-up's mean rate, taken for the time before it as well,
// let twice as many call in the first two seconds after a told wait.
func TestShareThatBeganBeforeTheWarmUp(t *testing.T) {
	b := largeFleetBench(t)
	ep := b.s.endpoint(11)
	b.s.now = b.now
	ep.health, ep.healthSince, ep.lastCharged = slowStart, b.now, b.now
	rateAt := func(after time.Duration) float64 { // of one sender, just then
		b.s.now, ep.lastCharged = b.now+after, b.now+after
		return 1 / b.s.callInterval(ep).Seconds()
	}
	const span, steps, phases = 2 * sec, 200, 1000
	expected := 0.0
	for i := range steps {
		expected += rateAt(span*time.Duration(i)/steps) * (span / steps).Seconds()
	}
	ep.lastCharged = b.now
	b.s.now = b.now
	interval := b.s.callInterval(ep)
	called := 0.0
	for i := range phases {
		ep.lastCharged, b.s.now = b.now-interval*time.Duration(i)/phases, b.now+span
		if b.s.slowStartAdmits(ep) <= b.s.now {
			called += 1.0 / phases
		}
	}
	// The mean of the capacity stands for the mean of the rate, which does not rise quite as evenly.
	if math.Abs(called-expected) > 0.1*expected {
		t.Errorf("%.3f of the senders call within %v, want the %.3f that the rate allows", called, span, expected)
	}
}

// TestReturnIsNotDatedIntoTheOutage guards against a destination that is taken for warm while it is cold: what held up the
// probes, as all slots were taken, ended with the outage, and half of the time since the latest known failure counted as
// warm-up. A call that is reset, and one without an answer, show that the outage lasted longer.
func TestReturnIsNotDatedIntoTheOutage(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(b *bench, ep *endpointState) // 10 s behind the latest known failure
		latest  time.Duration                     // most that the return may lie before the answered call
	}{
		{"nothing known since", func(*bench, *endpointState) {}, 5*sec + 10*ms},
		{"a call reset just now", func(b *bench, ep *endpointState) { b.s.onFailure(ep, b.s.now-15*sec, Reset) }, 100 * ms},
		{"a probe 2 s ago without an answer", func(b *bench, ep *endpointState) { ep.lastCharged = b.s.now - 2*sec }, sec + 10*ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, nil)
			b.s.now = b.now
			ep := b.s.endpoint(11)
			b.s.startProbation(ep, TimedOut, CauseUnresponsive)
			ep.failingSince = b.now - 10*sec
			ep.lastCharged = b.now
			b.s.now += 10 * sec
			c.prepare(b, ep)
			b.s.now += 10 * ms
			probe := b.s.openCall(ep, []*message{{id: "probe", destination: ep.destination, class: &b.s.settings.Classes[safe]}})
			b.s.chargeCall(ep)
			b.s.onSuccess(probe, 10*ms)
			if before := probe.sentAt - ep.healthSince; ep.health != slowStart || before > c.latest {
				t.Errorf("health %d, return %v before the answered call, want slow start and at most %v", ep.health, before, c.latest)
			}
		})
	}
}
