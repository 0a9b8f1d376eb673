// Tests how a sender treats an endpoint after a failure, as long as it does not consider the endpoint down.

package rules

import (
	"testing"
	"time"
)

// After a failure a single call goes out, and the other held messages wait for its outcome.
func TestOneCallWhileSuspected(t *testing.T) {
	b := largeFleetBench(t)
	id, out := b.submit(safe)
	if len(sends(out)) != 1 {
		t.Fatalf("got %v, want a call", out)
	}
	b.endAttempt(id, 0, 11, ConnectError)
	for range 3 {
		b.submit(safe)
	}
	if n := len(sends(b.wait(2 * sec))); n != 1 {
		t.Errorf("%d calls to a suspected endpoint, want 1", n)
	}
}

// A failure that no call follows up when its pause ends, for want of a slot or a message, counts as an outage, in a
// fleet of any size: otherwise whatever frees the senders at the same moment would let all of them go on at that moment.
// Of several messages one at most finds out.
func TestFailureNotFollowedUpIsOutage(t *testing.T) {
	for _, c := range []struct {
		name    string
		senders int
		idle    time.Duration
		calls   int
		health  health
	}{
		{"followed up in time", 300, 0, 1, healthy},
		{"no message for 4 s", 300, 4 * sec, 0, probation},
		{"two senders, followed up in time", 2, 0, 1, healthy},
		{"two senders, no message for 4 s", 2, 4 * sec, 1, probation}, // the probe
	} {
		b := newBench(t, func(s *Settings) { s.Senders, s.RatesListed, s.RatesExact = c.senders, true, true },
			Entry{Endpoint: 11, Destination: 1, ListedRate: 20})
		id, _ := b.submit(atMostOnce)
		b.now += 10 * ms
		b.endAttempt(id, 0, 11, Errored) // the message may have run, and is not sent again
		b.now = max(b.s.endpoint(11).destination.retryNotBefore, b.now+c.idle)
		_, out := b.submit(safe)
		_, more := b.submit(safe)
		if got := len(sends(append(out, more...))); got != c.calls {
			t.Errorf("%s: %d calls, want %d", c.name, got, c.calls)
		}
		if got := b.s.endpoint(11).health; got != c.health {
			t.Errorf("%s: health %d, want %d", c.name, got, c.health)
		}
	}
}

// Suspicion that lasted as long as an outage ends with a slow start, as the endpoint may have returned from an outage
// meanwhile. So does suspicion during slow start, which then begins at the return that the answer indicates.
func TestLongSuspicionEndsWithSlowStart(t *testing.T) {
	for _, c := range []struct {
		name   string
		before health
		age    time.Duration
		want   health
	}{
		{"brief suspicion", healthy, sec, healthy},
		{"long suspicion", healthy, 8 * sec, slowStart},
		{"during slow start", slowStart, 12 * sec, slowStart},
	} {
		b := largeFleetBench(t)
		ep := b.s.endpoint(11)
		b.s.now = b.now
		ep.health, ep.healthSince = c.before, b.now-20*sec
		b.s.onFailure(ep, b.now-c.age, TimedOut)
		b.now += 100 * ms
		b.step(WakeUp{})
		b.processAnswer(11, safe, 20*ms)
		if ep.health != c.want || c.want == slowStart && b.now-ep.healthSince > c.age/2+sec {
			t.Errorf("%s: health %d for %v, want %d for %v", c.name, ep.health, b.now-ep.healthSince, c.want, c.age/2)
		}
	}
}

// A large fleet that saw an outage must not retry all at once as it ends: the rule against overload during recovery
// counts the calls of all senders.
func TestFailurePauseGrowsWithFleet(t *testing.T) {
	callsWith := func(senders int) int {
		b := newBench(t, func(s *Settings) { s.Senders = senders; s.MaxAttempts = 100 },
			Entry{Endpoint: 11, Destination: 1}, Entry{Endpoint: 12, Destination: 1})
		b.serve(1, safe, 11) // what answered just now cannot be cold
		id, _ := b.submit(safe)
		b.endAttempt(id, 0, b.s.held[id].inFlight[0].call.endpoint.id, ConnectError)
		return len(b.run(2*sec, always(ConnectError, 30*ms)))
	}
	small, large := callsWith(2), callsWith(300)
	if small < 8 || large > 3 {
		t.Errorf("%d calls in 2 s with two senders and %d with 300, want at least 8 and up to 3", small, large)
	}
}

// While another endpoint serves, a failed one is left alone for longer, as trying it gains little.
func TestFailurePauseIsLongerWithAlternative(t *testing.T) {
	largeFleet := func(s *Settings) { s.Senders = 300 }
	pause := func(entries ...Entry) time.Duration {
		b := newBench(t, largeFleet, entries...)
		b.step(Arrived{ID: "m", Destination: 1, Class: safe, TimeLeft: 16 * sec})
		ep := b.s.held["m"].inFlight[0].call.endpoint
		b.endAttempt("m", 0, ep.id, ConnectError)
		return b.s.destination(1).retryNotBefore - b.now
	}
	alone := pause(Entry{Endpoint: 11, Destination: 1})
	withAlternative := pause(Entry{Endpoint: 11, Destination: 1}, Entry{Endpoint: 12, Destination: 1})
	if withAlternative < 2*alone {
		t.Errorf("pause %v with an alternative and %v without, want at least twice as long with one",
			withAlternative, alone)
	}
}

// An endpoint that is added during an outage of its destination must not get the whole backlog.
func TestNewEndpointInheritsFailures(t *testing.T) {
	for _, c := range []struct{ senders, kind, want int }{{300, 0, 1}, {300, 1, 0}, {3, 0, 1}, {3, 1, 0}} {
		b := newBench(t, func(s *Settings) { s.Senders = c.senders },
			Entry{Endpoint: 11, Destination: 1, Kind: c.kind})
		id, _ := b.submit(safe)
		b.endAttempt(id, 0, 11, ConnectError)
		b.step(ListUpdate{Entries: []Entry{{Endpoint: 12, Destination: 1, Kind: c.kind}}})
		if got := b.s.endpoint(12).consecutiveFailures; got != c.want {
			t.Errorf("%d senders, kind %d: the new endpoint has %d failures, want %d", c.senders, c.kind, got, c.want)
		}
	}
}

// A new endpoint of a destination whose endpoints are all on probation is limited as they are; with a healthy one
// among them it is not.
func TestNewEndpointInheritsHealth(t *testing.T) {
	for _, anyHealthy := range []bool{false, true} {
		b := largeFleetBench(t, Entry{Endpoint: 11, Destination: 1, ListedRate: 20},
			Entry{Endpoint: 12, Destination: 1, ListedRate: 20})
		b.s.startProbation(b.s.endpoint(11), ConnectError, CauseFailures)
		if !anyHealthy {
			b.s.startProbation(b.s.endpoint(12), ConnectError, CauseFailures)
		}
		b.step(ListUpdate{Entries: []Entry{{Endpoint: 13, Destination: 1, ListedRate: 20}}})
		if got := b.s.endpoint(13).health; (got == healthy) != anyHealthy {
			t.Errorf("with a healthy endpoint %v: the new one's health is %d", anyHealthy, got)
		}
	}
}
