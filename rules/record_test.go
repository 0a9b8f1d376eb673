package rules

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
	"unsafe"

	"github.com/google/go-cmp/cmp"
)

// TestDormancyDoesNotChangeDecisions guards against dormancy that affects decisions. Over random events, a sender that
// deactivates every destination as soon as it can, one that does so after a second and one that never does must act the
// same in every step, including random draws.
func TestDormancyDoesNotChangeDecisions(t *testing.T) {
	for seed := range uint64(16) {
		n := 2 + int(seed)*4
		var sources []*randomEvents
		var senders []*Sender
		var attempts []map[MessageID]int
		for _, after := range []time.Duration{1e6 * sec, sec, 0} {
			source := newRandomEvents(seed, n)
			s := New(source.settings)
			s.deactivateAfter = after
			sources = append(sources, source)
			senders = append(senders, s)
			attempts = append(attempts, map[MessageID]int{})
			update := ListUpdate{Whole: true, Entries: slices.Clone(source.entries)}
			source.answer(s.Step(source.now, []Event{update}), attempts[len(attempts)-1])
		}
		dormant := 0
		for step := range 2500 {
			for i, source := range sources {
				source.log = source.log[:0]
				source.answer(senders[i].Step(source.now, source.next(n)), attempts[i])
				if diff := cmp.Diff(sources[0].log, source.log); diff != "" {
					t.Fatalf("seed %d, step %d, deactivated after %v: %s", seed, step, senders[i].deactivateAfter, diff)
				}
			}
			dormant = max(dormant, senders[2].records.states.count())
		}
		if len(attempts[0]) < 300 || n > 10 && dormant < n/4 {
			t.Errorf("seed %d: %d messages sent, %d of %d destinations dormant with a state: too few to show anything",
				seed, len(attempts[0]), dormant, n)
		}
	}
}

// count returns how many states are stored.
func (t *packedStates) count() (n int) {
	for _, c := range t {
		if c.size > 0 {
			n += len(c.data)/c.size - len(c.free)
		}
	}
	return n
}

// randomize sets every field reached from v, except those named, to a random value.
func randomize(rng *rand.Rand, v reflect.Value, except map[string]bool) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if name := v.Type().Field(i).Name; !except[name] {
				f := v.Field(i)
				randomize(rng, reflect.NewAt(f.Type(), unsafe.Pointer(f.UnsafeAddr())).Elem(), except)
			}
		}
	case reflect.Int, reflect.Int64:
		v.SetInt([]int64{
			0, 1, rng.Int64N(10), rng.Int64N(1e9), 24*int64(time.Hour) + rng.Int64N(1e12), -rng.Int64N(1e9), math.MaxInt64,
		}[rng.IntN(7)])
	case reflect.Float64:
		v.SetFloat([]float64{
			0, 1, rng.Float64(), -rng.Float64(), 1e300 * rng.Float64(), time.Duration(rng.Int64N(1e10)).Seconds(),
			math.Inf(1), math.Copysign(0, -1), 5e-324,
		}[rng.IntN(9)])
	case reflect.Bool:
		v.SetBool(rng.IntN(2) == 0)
	case reflect.Uint32:
		v.SetUint(uint64(rng.Uint32()))
	default:
		panic(fmt.Sprint("no random value for a ", v.Kind()))
	}
}

// TestDormantStateIsRestoredExactly guards against state that is lost when a destination is deactivated: a field added
// to the state must be packed too. All values must be restored bit by bit.
func TestDormantStateIsRestoredExactly(t *testing.T) {
	notPacked := map[string]bool{
		// of a destination
		"number": true, "endpoints": true, "backlog": true, "pinned": true,
		// of its endpoints, limit scopes and classes
		"id": true, "seq": true, "zone": true, "kind": true, "destination": true, "limitScope": true, "inService": true,
		"gone": true, "goneAt": true, "departureNumber": true, "listedRate": true, "calls": true, "classes": true,
		"inFlight": true, "class": true, "next": true,
	}
	allFields := cmp.Exporter(func(reflect.Type) bool { return true })
	sameBits := cmp.Comparer(func(a, b float64) bool { return math.Float64bits(a) == math.Float64bits(b) })
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 0))
		s := New(testSettings())
		var entries []Entry
		for i := range 1 + rng.IntN(4) {
			entries = append(entries, Entry{Endpoint: EndpointID(100 + i), Destination: 7, Kind: rng.IntN(3), Zone: i})
		}
		s.Step(sec, []Event{ListUpdate{Entries: entries}})
		d := s.destination(7)
		randomize(rng, reflect.ValueOf(d).Elem(), notPacked)
		d.seq = d.endpoints[0].seq - uint32(rng.IntN(2))*rng.Uint32N(50)
		for _, ep := range d.endpoints {
			randomize(rng, reflect.ValueOf(ep).Elem(), notPacked)
			randomize(rng, reflect.ValueOf(ep.limitScope).Elem(), map[string]bool{"inFlight": true})
			randomize(rng, reflect.ValueOf(&ep.limitScope.controller).Elem(), nil)
			for class := range rng.IntN(4) {
				v := ep.classHealth(class)
				randomize(rng, reflect.ValueOf(v).Elem(), notPacked)
				v.latency = 3 // so that it is packed
			}
		}
		got := d
		for range 2 { // each time reverses the list of classes, whose order has no meaning
			if !s.deactivate(got) || s.destinations[7] != nil || len(s.endpoints) > 0 {
				t.Fatalf("seed %d: the destination is not deactivated", seed)
			}
			got = s.destination(7)
			if n := s.records.states.count() + len(s.records.list) - len(s.records.free); n != 0 {
				t.Fatalf("seed %d: %d states and records are left of an active destination", seed, n)
			}
		}
		if diff := cmp.Diff(d, got, allFields, sameBits); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
	}
}

// checkDeactivation has the sender check its only destination now and fails the test unless the destination is dormant,
// or active if want is false.
func checkDeactivation(b *bench, want bool) {
	b.t.Helper()
	b.s.deactivateAfter = 0
	for i := range b.s.active {
		b.s.active[i].checkAt = 0
	}
	b.step(WakeUp{})
	if dormant := len(b.s.destinations) == 0; dormant != want {
		b.t.Fatalf("dormant: %v, want %v", dormant, want)
	}
}

// TestRetryAfterOutlastsDormancy guards against a Retry-After that is lost, or lasts longer, when its destination is
// deactivated, whether it came with an outcome or with a hint.
func TestRetryAfterOutlastsDormancy(t *testing.T) {
	for _, event := range []Event{
		AttemptEnded{ID: "unknown", Endpoint: 11, Outcome: Refused, RetryAfter: 4 * sec},
		HintReceived{Hint{Endpoint: 11, RetryAfter: 4 * sec}},
	} {
		b := newBench(t, func(s *Settings) { s.MaySendRetryAfter, s.MayShareHints = false, true })
		b.step(event)
		checkDeactivation(b, true)
		b.now += sec
		id, out := b.submit(safe)
		if out = append(out, b.wait(2900*ms)...); len(sends(out)) > 0 {
			t.Errorf("%T: sent before the Retry-After ended: %v", event, out)
		}
		if out = b.wait(20 * sec); len(sends(out)) == 0 || sends(out)[0].ID != id {
			t.Errorf("%T: nothing sent after the Retry-After ended: %v", event, out)
		}
	}
}

// TestProbationOutlastsDormancy guards against a destination on probation that is overloaded after it was deactivated:
// it must get calls at the same times as one that stayed active.
func TestProbationOutlastsDormancy(t *testing.T) {
	var calls [2][]time.Duration
	for deactivated := range 2 {
		b := newBench(t, nil)
		b.s.deactivateAfter = 1e6 * sec
		for range 40 {
			b.submit(safe)
		}
		b.run(8*sec, func(EndpointID) reply { return reply{outcome: ConnectError, after: ms} })
		for id := range b.s.held {
			b.step(Withdrawn{ID: id})
		}
		b.run(2*sec, func(EndpointID) reply { return reply{outcome: ConnectError, after: ms} })
		if b.s.endpoint(11).health != probation {
			t.Fatal("the endpoint is not on probation")
		}
		if deactivated == 1 {
			checkDeactivation(b, true)
		} else {
			b.step(WakeUp{})
		}
		b.now += 10 * sec
		for range 40 {
			b.submit(safe)
		}
		if b.s.endpoint(11).health != probation {
			t.Error("the endpoint is not on probation any more")
		}
		calls[deactivated] = b.run(12*sec, func(EndpointID) reply { return reply{outcome: OK, after: 20 * ms} })
	}
	if diff := cmp.Diff(calls[0], calls[1]); diff != "" || len(calls[0]) < 20 {
		t.Errorf("%d calls, want at least 20 and the same after deactivation: %s", len(calls[0]), diff)
	}
}

// TestDestinationWithCallInFlightStaysActive guards against a destination that is deactivated while a call is in flight
// whose message was withdrawn: the outcome of the call must still count.
func TestDestinationWithCallInFlightStaysActive(t *testing.T) {
	b := newBench(t, nil)
	id, out := b.submit(safe)
	if len(sends(out)) != 1 {
		t.Fatalf("got %v, want a call", out)
	}
	b.step(Withdrawn{ID: id})
	checkDeactivation(b, false)
	b.now += 30 * ms
	b.step(AttemptEnded{ID: id, Endpoint: 11, Outcome: OK, Elapsed: 35 * ms})
	checkDeactivation(b, true)
	if ep := b.s.endpoint(11); ep.latency != 0.035 || ep.limitScope.inFlight != 0 {
		t.Errorf("latency %v, %d calls in flight: the outcome does not count", ep.latency, ep.limitScope.inFlight)
	}
}

// TestDestinationReferredToByMessageStaysActive guards against a message whose deduplication zone is lost: it refers to
// an endpoint of another destination, which must not be deactivated.
func TestDestinationReferredToByMessageStaysActive(t *testing.T) {
	b := newBench(t, nil, Entry{Endpoint: 11, Destination: 1}, Entry{Endpoint: 21, Destination: 2})
	b.step(Arrived{ID: "m", Destination: 1, Class: keyedZone, TimeLeft: 16 * sec,
		Prior: PriorAttempts{Count: 1, MayHaveRun: true, Endpoint: 21}})
	b.s.active[0].checkAt = 0
	checkDeactivation(b, false)
	if b.s.destinations[2] == nil {
		t.Error("the destination is dormant")
	}
}

// TestListUpdateAppliesToDormantDestinations guards against list entries without effect on dormant destinations: an
// endpoint that drains gets no calls, one that is gone is forgotten, and one whose zone does not fit in a record is
// activated.
func TestListUpdateAppliesToDormantDestinations(t *testing.T) {
	forgets := func(out []Action) bool { return slices.Contains(out, Action(EndpointForgotten{Endpoint: 11})) }
	for _, c := range []struct {
		name    string
		update  ListUpdate
		sent    EndpointID
		forgot  bool
		dormant bool
	}{
		{"unchanged", ListUpdate{Entries: []Entry{{Endpoint: 11, Destination: 1}}}, 11, false, true},
		{"draining", ListUpdate{Entries: []Entry{{Endpoint: 11, Destination: 1, Draining: true}}}, 0, false, true},
		{"replaced", ListUpdate{Entries: []Entry{{Endpoint: 11, Destination: 1, Gone: true}, {Endpoint: 12, Destination: 1}}},
			12, true, false},
		{"replaced in a complete list", ListUpdate{Whole: true, Entries: []Entry{{Endpoint: 12, Destination: 1}}},
			12, true, false},
		{"complete list empty", ListUpdate{Whole: true}, 0, false, true},
		{"unchanged in a complete list", ListUpdate{Whole: true, Entries: []Entry{{Endpoint: 11, Destination: 1}}},
			11, false, true},
		{"zone too large", ListUpdate{Entries: []Entry{{Endpoint: 11, Destination: 1, Zone: 1 << 20}}}, 11, false, false},
	} {
		for _, used := range []bool{false, true} {
			b := newBench(t, nil)
			if used {
				id, _ := b.submit(safe)
				b.now += 30 * ms
				b.step(AttemptEnded{ID: id, Endpoint: 11, Outcome: OK, Elapsed: 30 * ms, Finished: true})
				checkDeactivation(b, true)
			}
			b.step(c.update)
			if dormant := len(b.s.destinations) == 0; dormant != c.dormant && !(used && !dormant) {
				t.Errorf("%s: dormant: %v", c.name, dormant)
			}
			b.now += goneRetention
			out := b.step(ListUpdate{})
			_, more := b.submit(safe)
			got := sends(more)
			if len(got) > 0 != (c.sent > 0) || len(got) > 0 && got[0].Endpoint != c.sent || forgets(out) != c.forgot {
				t.Errorf("%s, used %v: sent %v, forgotten %v; want a call to %d and %v",
					c.name, used, got, forgets(out), c.sent, c.forgot)
			}
		}
	}
}

// TestReplacedEndpointsLeaveNoState guards against memory that grows as endpoints are replaced: 50,000 endpoints
// replace one another under load and must leave no state behind, neither active nor dormant.
func TestReplacedEndpointsLeaveNoState(t *testing.T) {
	const destinations, rounds = 500, 100
	b := newBench(t, func(s *Settings) { s.Slots = 400 }, Entry{Endpoint: 1, Destination: 0})
	b.s.deactivateAfter = sec
	id := EndpointID(0)
	for round := range rounds {
		l := ListUpdate{Whole: round%10 == 0}
		for d := range destinations {
			if round > 0 && !l.Whole {
				l.Entries = append(l.Entries, Entry{Endpoint: id - destinations + 1, Destination: d, Gone: true})
			}
			id++
			l.Entries = append(l.Entries, Entry{Endpoint: id, Destination: d})
		}
		b.step(l)
		for i := range 40 {
			m := b.newMessageID()
			out := b.step(Arrived{ID: m, Destination: (round*40 + i) % destinations, Class: safe, TimeLeft: 16 * sec})
			b.now += 5 * ms
			for _, send := range sends(out) {
				b.step(AttemptEnded{ID: send.ID, Endpoint: send.Endpoint, Outcome: OK, Elapsed: 5 * ms, Finished: true})
			}
		}
		b.now += 10 * sec
	}
	b.step(ListUpdate{})
	for range 100 {
		b.now += sec
		b.step(WakeUp{})
	}
	b.now += goneRetention
	for range 20 {
		b.step(ListUpdate{})
		b.now += sec
	}
	if n := len(b.s.endpoints) + len(b.s.records.list) - len(b.s.records.free); n != destinations {
		t.Errorf("%d of %d endpoints known, want %d", n, id, destinations)
	}
	if len(b.s.destinations) > 0 || len(b.s.departures) > 0 || len(b.s.active) > 0 || len(b.s.held) > 0 ||
		len(b.s.records.list) > 4*destinations {
		t.Errorf("%d destinations active, %d departures, %d destinations to check, %d messages held, want none; "+
			"%d records, want up to %d", len(b.s.destinations), len(b.s.departures), len(b.s.active), len(b.s.held),
			len(b.s.records.list), 4*destinations)
	}
}

// TestEmptyListActivatesNothing guards against an empty complete list, as discovery sends it just after its own start,
// that activates all destinations: 210,000 of them would take five times the memory. Neither it nor the complete list
// that follows may activate any. Endpoints that are gone get no calls, and get calls again once they are listed.
func TestEmptyListActivatesNothing(t *testing.T) {
	const n = 5000
	s, now := New(testSettings()), 100*sec
	s.Step(now, []Event{completeList(n)})
	send := func(dest int) (got []Action) {
		now += sec
		arrived := Arrived{ID: MessageID(fmt.Sprint("m", now)), Destination: dest, Class: safe, TimeLeft: 16 * sec}
		for _, a := range s.Step(now, []Event{arrived}) {
			if _, ok := a.(Send); ok {
				got = append(got, a)
			}
		}
		return got
	}
	s.Step(now+sec, []Event{ListUpdate{Whole: true}})
	if len(s.destinations) > 0 || len(s.endpoints) > 0 || len(s.absences) != n {
		t.Errorf("after an empty list %d destinations are active and %d absent, want none and %d",
			len(s.destinations), len(s.absences), n)
	}
	if got := send(3); len(got) > 0 {
		t.Errorf("an endpoint that is gone got %v", got)
	}
	now += goneRetention
	s.Step(now, []Event{completeList(n)})
	if len(s.destinations) != 0 || len(s.absences) != 0 || len(s.departures) != 0 {
		t.Errorf("%d destinations active, %d absent, %d departures; want none",
			len(s.destinations), len(s.absences), len(s.departures))
	}
	if got := send(5); len(got) != 1 {
		t.Errorf("an endpoint that is listed again got %v, want one call", got)
	}
}

// listModel is a reference model of the list of endpoints, with plain slices and no dormant destinations.
type listModel struct {
	destinations []*modelDestination
	gone         []*modelEndpoint // in order of departure
}

type modelDestination struct {
	number    int
	endpoints []*modelEndpoint
}

type modelEndpoint struct {
	Entry
	destination *modelDestination
	goneAt      time.Duration
}

func (l *listModel) destination(number int) *modelDestination {
	if i := slices.IndexFunc(l.destinations, func(d *modelDestination) bool { return d.number == number }); i >= 0 {
		return l.destinations[i]
	}
	l.destinations = append(l.destinations, &modelDestination{number: number})
	return l.destinations[len(l.destinations)-1]
}

func (l *listModel) setGone(ep *modelEndpoint, gone bool, now time.Duration) {
	if gone && !ep.Gone {
		ep.goneAt = now
		l.gone = append(l.gone, ep)
	} else if !gone {
		l.gone = without(l.gone, ep)
	}
	ep.Gone = gone
}

// update applies a list and returns the endpoints to be forgotten.
func (l *listModel) update(e ListUpdate, now time.Duration) (forgotten []Action) {
	if e.Whole {
		for _, d := range l.destinations {
			for _, ep := range d.endpoints {
				l.setGone(ep, true, now)
			}
		}
	}
	for _, entry := range e.Entries {
		var ep *modelEndpoint
		for _, d := range l.destinations {
			for _, o := range d.endpoints {
				if o.Endpoint == entry.Endpoint {
					ep = o
				}
			}
		}
		if ep == nil {
			d := l.destination(entry.Destination)
			ep = &modelEndpoint{Entry: Entry{Endpoint: entry.Endpoint}, destination: d}
			d.endpoints = append(d.endpoints, ep)
		}
		ep.Draining = entry.Draining
		l.setGone(ep, entry.Gone, now)
	}
	for _, ep := range slices.Clone(l.gone) {
		if now-ep.goneAt >= goneRetention && len(ep.destination.endpoints) > 1 {
			l.gone = without(l.gone, ep)
			ep.destination.endpoints = without(ep.destination.endpoints, ep)
			forgotten = append(forgotten, EndpointForgotten{Endpoint: ep.Endpoint})
		}
	}
	return forgotten
}

// TestListMatchesReferenceModel guards against lists that have other effects where destinations are dormant. Over
// random lists, the endpoints forgotten, when and in which order, and those in service must be as in listModel.
func TestListMatchesReferenceModel(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 2))
		set := testSettings()
		set.Senders = 40
		s, model, now, forgotten := New(set), &listModel{}, 100*sec, 0
		s.deactivateAfter = time.Duration(seed%3) * sec
		ids, dests := 2+rng.IntN(60), 1+rng.IntN(20)
		for step := range 400 {
			now += time.Duration(rng.IntN(9000)) * ms
			var update ListUpdate
			update.Whole = rng.IntN(5) == 0
			for range rng.IntN(1 + ids/(1+int(seed%8))) {
				id := 1 + rng.IntN(ids)
				update.Entries = append(update.Entries, Entry{
					Endpoint:    EndpointID(id),
					Destination: id % dests,
					Draining:    rng.IntN(6) == 0,
					Gone:        rng.IntN(4) == 0,
				})
			}
			events := []Event{update}
			if d := rng.IntN(2 * dests); rng.IntN(3) == 0 && len(model.destination(d).endpoints) == 0 {
				// the destination is first seen in a message, which has no time left
				arrived := Arrived{ID: MessageID(fmt.Sprint("m", step)), Destination: d, Class: safe}
				events = slices.Insert(events, 0, Event(arrived))
			} else if rng.IntN(3) == 0 {
				events = append(events, HintReceived{Hint{Endpoint: EndpointID(1 + rng.IntN(ids)), Class: safe}})
			}
			want := model.update(update, now)
			forgotten += len(want)
			var got []Action
			for _, a := range s.Step(now, events) {
				if f, ok := a.(EndpointForgotten); ok {
					got = append(got, f)
				}
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Fatalf("seed %d, step %d: %s", seed, step, diff)
			}
			if step%20 > 0 {
				continue
			}
			for _, d := range model.destinations {
				want := 0
				for _, ep := range d.endpoints {
					if !ep.Draining && !ep.Gone {
						want++
					}
				}
				got, inService := s.destination(d.number), 0
				for _, ep := range got.endpoints {
					if ep.inService {
						inService++
					}
				}
				if len(got.endpoints) != len(d.endpoints) || inService != want {
					t.Fatalf("seed %d, step %d: destination %d has %d endpoints, %d in service; want %d and %d",
						seed, step, d.number, len(got.endpoints), inService, len(d.endpoints), want)
				}
			}
		}
		if ids > 20 && forgotten < 20 {
			t.Errorf("seed %d: %d endpoints forgotten, too few to show anything", seed, forgotten)
		}
	}
}

// TestCompleteListTakesLinearTime guards against processing of a complete list that takes quadratic time: removing each
// endpoint from a slice of all took twelve seconds for 210,000 endpoints. It covers lists that change nothing, that
// lack half of the endpoints, and that bring them back.
func TestCompleteListTakesLinearTime(t *testing.T) {
	shortest := func(n int) time.Duration {
		s, now, best := New(testSettings()), 100*sec, time.Hour
		all, half := completeList(n), completeList(n)
		half.Entries = half.Entries[:n/2]
		for i := range 9 {
			start := time.Now()
			now += sec
			s.Step(now, []Event{[]ListUpdate{all, half, all}[i%3], all})
			best = min(best, time.Since(start))
		}
		return best
	}
	few, many := shortest(2000), shortest(40_000)
	if many > 100*few {
		t.Errorf("a list of 20 times the length takes %v, %.0f times %v", many, float64(many)/float64(few), few)
	}
}
