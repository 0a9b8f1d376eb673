// Tests when a sender drops what it knows of endpoints that discovery has removed.

package rules

import (
	"slices"
	"testing"
)

// Endpoints that are replaced, and order keys that are new, over a long time leave no state behind.
func TestEndpointChurnLeavesNoState(t *testing.T) {
	b := newBench(t, nil)
	forgotten := 0
	for i := range 3000 {
		removed, added := EndpointID(11+i), EndpointID(12+i)
		id := b.newMessageID()
		for _, a := range b.step(
			Arrived{ID: id, Destination: 1, Class: ordered, OrderKey: string(id), TimeLeft: 16 * sec},
			ListUpdate{Entries: []Entry{
				{Endpoint: added, Destination: 1},
				{Endpoint: removed, Destination: 1, Gone: true},
			}},
		) {
			switch a := a.(type) {
			case Send:
				if a.Endpoint != added {
					t.Fatalf("sent to endpoint %d, which is gone", a.Endpoint)
				}
				b.step(AttemptEnded{ID: id, Endpoint: added, Outcome: OK, Finished: true})
			case EndpointForgotten:
				forgotten++
			}
		}
		b.now += sec
	}
	if n := len(b.s.endpoints); n > 40 || forgotten != 3001-n {
		t.Errorf("%d of 3001 endpoints kept, %d forgotten", n, forgotten)
	}
	if n := len(b.s.destination(1).endpoints) + len(b.s.departures); n > 80 {
		t.Errorf("%d endpoints kept in lists", n)
	}
	if n := len(b.s.orderQueues); n > 200 {
		t.Errorf("%d of 3000 order keys kept", n)
	}
	if n := len(b.s.held) + len(b.s.attempts) + len(b.s.calls); n != 0 {
		t.Errorf("%d messages, attempts and calls kept", n)
	}
}

// A removed endpoint is kept while a call to it is in flight, while a held message may have run there, and while it is
// the last endpoint of its destination, whose limit scope a new one takes over.
func TestGoneEndpointInUseIsKept(t *testing.T) {
	other := Entry{Endpoint: 12, Destination: 1, Zone: 1}
	removal := ListUpdate{Entries: []Entry{{Endpoint: 11, Destination: 1, Gone: true}}}
	forgets := func(actions []Action) bool {
		return slices.Contains(actions, Action(EndpointForgotten{Endpoint: 11}))
	}

	b := newBench(t, nil)
	id, _ := b.submit(atMostOnce)
	b.step(removal)
	b.wait(goneRetention)
	if forgets(b.step(ListUpdate{Entries: []Entry{other}})) {
		t.Error("forgotten with a call in flight")
	}
	b.step(AttemptEnded{ID: id, Endpoint: 11, Outcome: OK, Finished: true})
	if !forgets(b.step(ListUpdate{})) {
		t.Error("not forgotten after its call ended")
	}

	b = newBench(t, nil, Entry{Endpoint: 11, Destination: 1}, other)
	b.s.settings.Classes[keyedZone].Deadline = 100 * sec
	b.step(Arrived{ID: "k", Destination: 1, Class: keyedZone, TimeLeft: 100 * sec,
		Prior: PriorAttempts{Count: 1, MayHaveRun: true, Endpoint: 11}})
	b.step(removal)
	b.s.held["k"].mayHaveRunSince = never - sec // so that its window does not end it
	b.now += goneRetention
	if forgets(b.step(ListUpdate{})) {
		t.Error("forgotten while a held message may have run there")
	}

	b = newBench(t, nil)
	scope := b.s.endpoint(11).limitScope
	b.step(removal)
	b.now += 2 * goneRetention
	if forgets(b.step(ListUpdate{})) {
		t.Error("the last endpoint of a destination is forgotten")
	}
	if !forgets(b.step(ListUpdate{Entries: []Entry{other}})) || b.s.endpoint(12).limitScope != scope {
		t.Error("a new endpoint does not take over the limit scope of the last one")
	}
	if b.step(ListUpdate{Entries: []Entry{{Endpoint: 11, Destination: 1}}}); !b.s.endpoint(11).inService {
		t.Error("an endpoint that is listed again is not in service")
	}
}

// Replaced endpoints do not count as endpoints of their destination: the time between probes depends on those that are
// still listed.
func TestGoneEndpointsAreNotCounted(t *testing.T) {
	b := newBench(t, nil)
	for i := range 5 {
		b.step(ListUpdate{Entries: []Entry{
			{Endpoint: EndpointID(12 + i), Destination: 1},
			{Endpoint: EndpointID(11 + i), Gone: true},
		}})
	}
	if n := b.s.destination(1).endpointCount(); n != 1 {
		t.Errorf("a destination with one listed endpoint counts %d", n)
	}
}
