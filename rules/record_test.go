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

// What is decided does not hang on what rests: over random events, a sender that lays every destination down as soon as it can, one that
// does so after a second, and one that never does act the same in every step, draws included.
func TestWhatRestsDecidesTheSame(t *testing.T) {
	for seed := range uint64(16) {
		n := 2 + int(seed)*4
		var fleets []*fleet
		var senders []*Sender
		var tries []map[MessageID]int
		for _, after := range []time.Duration{1e6 * sec, sec, 0} {
			f := newFleet(seed, n)
			s := New(f.set)
			s.deactivateAfter = after
			fleets, senders, tries = append(fleets, f), append(senders, s), append(tries, map[MessageID]int{})
			f.answer(s.Step(f.now, []Event{ListUpdate{Whole: true, Entries: slices.Clone(f.list)}}), tries[len(tries)-1])
		}
		rested, sends := 0, 0
		for step := range 2500 {
			for i, f := range fleets {
				f.log = f.log[:0]
				f.answer(senders[i].Step(f.now, f.events(n)), tries[i])
				if diff := cmp.Diff(fleets[0].log, f.log); diff != "" {
					t.Fatalf("seed %d, step %d, rest after %v: %s", seed, step, senders[i].deactivateAfter, diff)
				}
			}
			sends += len(tries[0])
			rested = max(rested, senders[2].records.states.count())
		}
		if len(tries[0]) < 300 || n > 10 && rested < n/4 {
			t.Errorf("seed %d: %d messages sent, %d destinations of %d at rest with a state: too few to tell", seed, len(tries[0]), rested, n)
		}
	}
}

// count is how many states are kept.
func (t *packedStates) count() (n int) {
	for _, c := range t {
		if c.size > 0 {
			n += len(c.data)/c.size - len(c.free)
		}
	}
	return n
}

// scramble sets every field that is reached from v, but for those named, to a random value.
func scramble(rng *rand.Rand, v reflect.Value, but map[string]bool) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if name := v.Type().Field(i).Name; !but[name] {
				f := v.Field(i)
				scramble(rng, reflect.NewAt(f.Type(), unsafe.Pointer(f.UnsafeAddr())).Elem(), but)
			}
		}
	case reflect.Int, reflect.Int64:
		n := []int64{0, 1, rng.Int64N(10), rng.Int64N(1e9), 24*int64(time.Hour) + rng.Int64N(1e12), -rng.Int64N(1e9), math.MaxInt64}[rng.IntN(7)]
		v.SetInt(n)
	case reflect.Float64:
		v.SetFloat([]float64{0, 1, rng.Float64(), -rng.Float64(), 1e300 * rng.Float64(), time.Duration(rng.Int64N(1e10)).Seconds(), math.Inf(1), math.Copysign(0, -1), 5e-324}[rng.IntN(9)])
	case reflect.Bool:
		v.SetBool(rng.IntN(2) == 0)
	case reflect.Uint32:
		v.SetUint(uint64(rng.Uint32()))
	default:
		panic(fmt.Sprint("no random value for a ", v.Kind()))
	}
}

// All that is known of a destination comes back to the last bit, whatever it is: each field of it that is new has to be packed too.
func TestRestLosesNothing(t *testing.T) {
	apart := map[string]bool{"number": true, "endpoints": true, "backlog": true, "pinned": true, // of a destination
		"id": true, "seq": true, "zone": true, "kind": true, "destination": true, "limitScope": true, "inService": true, "gone": true, "goneAt": true,
		"departureNumber": true, "listedRate": true, "calls": true, "classes": true, "inFlight": true, "class": true, "next": true}
	all, bits := cmp.Exporter(func(reflect.Type) bool { return true }), cmp.Comparer(func(a, b float64) bool { return math.Float64bits(a) == math.Float64bits(b) })
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 0))
		s := New(testSettings())
		var entries []Entry
		for i := range 1 + rng.IntN(4) {
			entries = append(entries, Entry{Endpoint: EndpointID(100 + i), Destination: 7, Kind: rng.IntN(3), Zone: i})
		}
		s.Step(sec, []Event{ListUpdate{Entries: entries}})
		d := s.destination(7)
		scramble(rng, reflect.ValueOf(d).Elem(), apart)
		d.seq = d.endpoints[0].seq - uint32(rng.IntN(2))*rng.Uint32N(50)
		for _, ep := range d.endpoints {
			scramble(rng, reflect.ValueOf(ep).Elem(), apart)
			scramble(rng, reflect.ValueOf(ep.limitScope).Elem(), map[string]bool{"inFlight": true})
			scramble(rng, reflect.ValueOf(&ep.limitScope.controller).Elem(), nil)
			for class := range rng.IntN(4) {
				v := ep.classHealth(class)
				scramble(rng, reflect.ValueOf(v).Elem(), apart)
				v.latency = 3 // something is known of it
			}
		}
		got := d
		for range 2 { // after one rest services are in the other order, which is of no matter
			if !s.deactivate(got) || s.destinations[7] != nil || len(s.endpoints) > 0 {
				t.Fatalf("seed %d: it does not rest", seed)
			}
			got = s.destination(7)
			if n := s.records.states.count() + len(s.records.list) - len(s.records.free); n != 0 {
				t.Fatalf("seed %d: %d states and records are kept of what is awake", seed, n)
			}
		}
		if diff := cmp.Diff(d, got, all, bits); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
	}
}

// restNow lets a sender of one destination lay it down now, or not at all.
func restNow(b *bench, want bool) {
	b.t.Helper()
	b.s.deactivateAfter = 0
	for i := range b.s.active {
		b.s.active[i].checkAt = 0
	}
	b.step(WakeUp{})
	if rests := len(b.s.destinations) == 0; rests != want {
		b.t.Fatalf("at rest: %v, want %v", rests, want)
	}
}

// A wait told binds a destination that went to rest, until it is over and not longer, whoever told of it.
func TestAWaitHoldsAtADestinationThatRested(t *testing.T) {
	for _, told := range []Event{AttemptEnded{ID: "nobody's", Endpoint: 11, Outcome: Refused, RetryAfter: 4 * sec}, HintReceived{Hint{Endpoint: 11, RetryAfter: 4 * sec}}} {
		b := newBench(t, func(s *Settings) { s.MaySendRetryAfter, s.MayShareHints = false, true })
		b.step(told)
		restNow(b, true)
		b.now += sec
		id, out := b.take(safe)
		if out = append(out, b.wait(2900*ms)...); len(sends(out)) > 0 {
			t.Errorf("%T: sent within the wait: %v", told, out)
		}
		if out = b.wait(20 * sec); len(sends(out)) == 0 || sends(out)[0].ID != id {
			t.Errorf("%T: nothing sent after the wait: %v", told, out)
		}
	}
}

// A destination that failed, went to rest and is asked for again is on probation as before, and is not pushed as it comes back: its
// trials are as far apart as those at one that stayed awake.
func TestAFailureIsKnownOfADestinationThatRested(t *testing.T) {
	var calls [2][]time.Duration
	for rested := range 2 {
		b := newBench(t, nil)
		b.s.deactivateAfter = 1e6 * sec
		for range 40 {
			b.take(safe)
		}
		b.run(8*sec, func(EndpointID) reply { return reply{o: ConnectError, after: ms} })
		for id := range b.s.held {
			b.step(Withdrawn{ID: id})
		}
		b.run(2*sec, func(EndpointID) reply { return reply{o: ConnectError, after: ms} })
		if b.s.endpoint(11).health != probation {
			t.Fatal("it is not on probation")
		}
		if rested == 1 {
			restNow(b, true)
		} else {
			b.step(WakeUp{})
		}
		b.now += 10 * sec
		for range 40 {
			b.take(safe)
		}
		if b.s.endpoint(11).health != probation {
			t.Error("probation is forgotten")
		}
		calls[rested] = b.run(12*sec, func(EndpointID) reply { return reply{o: OK, after: 20 * ms} })
	}
	if diff := cmp.Diff(calls[0], calls[1]); diff != "" || len(calls[0]) < 20 {
		t.Errorf("%d calls; after a rest they come otherwise: %s", len(calls[0]), diff)
	}
}

// Nothing rests while a call is out there, also where its message is over or was withdrawn; its outcome counts.
func TestNothingRestsWithACallOut(t *testing.T) {
	b := newBench(t, nil)
	id, out := b.take(safe)
	if len(sends(out)) != 1 {
		t.Fatalf("got %v, want a call", out)
	}
	b.step(Withdrawn{ID: id})
	restNow(b, false)
	b.now += 30 * ms
	b.step(AttemptEnded{ID: id, Endpoint: 11, Outcome: OK, Elapsed: 35 * ms})
	restNow(b, true)
	if ep := b.s.endpoint(11); ep.latency != 0.035 || ep.limitScope.inFlight != 0 {
		t.Errorf("latency %v, %d out: the outcome does not count", ep.latency, ep.limitScope.inFlight)
	}
}

// A destination of which an endpoint is named in a message for another one stays awake: the zone that it had is the one that counts.
func TestWhatAMessageElsewhereNamesStaysAwake(t *testing.T) {
	b := newBench(t, nil, Entry{Endpoint: 11, Destination: 1}, Entry{Endpoint: 21, Destination: 2})
	b.step(Arrived{ID: "m", Destination: 1, Class: keyedZone, TimeLeft: 16 * sec, Prior: PriorAttempts{Count: 1, MayHaveRun: true, Endpoint: 21}})
	b.s.active[0].checkAt = 0
	restNow(b, false)
	if b.s.destinations[2] == nil {
		t.Error("it rests")
	}
}

// A list says the same of what rests as of what is awake: what drains gets nothing, what is gone is forgotten, and what has no place
// in a record stays awake.
func TestAListReachesWhatRests(t *testing.T) {
	forgets := func(out []Action) bool { return slices.Contains(out, Action(EndpointForgotten{Endpoint: 11})) }
	for _, c := range []struct {
		name    string
		l       ListUpdate
		sent    EndpointID
		forgot  bool
		resting bool
	}{
		{"unchanged", ListUpdate{Entries: []Entry{{Endpoint: 11, Destination: 1}}}, 11, false, true},
		{"drains", ListUpdate{Entries: []Entry{{Endpoint: 11, Destination: 1, Draining: true}}}, 0, false, true},
		{"is gone", ListUpdate{Entries: []Entry{{Endpoint: 11, Destination: 1, Gone: true}, {Endpoint: 12, Destination: 1}}}, 12, true, false},
		{"is gone from the whole", ListUpdate{Whole: true, Entries: []Entry{{Endpoint: 12, Destination: 1}}}, 12, true, false},
		{"is gone with all", ListUpdate{Whole: true}, 0, false, true},
		{"is there in the whole", ListUpdate{Whole: true, Entries: []Entry{{Endpoint: 11, Destination: 1}}}, 11, false, true},
		{"is far away", ListUpdate{Entries: []Entry{{Endpoint: 11, Destination: 1, Zone: 1 << 20}}}, 11, false, false},
	} {
		for _, used := range []bool{false, true} {
			b := newBench(t, nil)
			if used {
				id, _ := b.take(safe)
				b.now += 30 * ms
				b.step(AttemptEnded{ID: id, Endpoint: 11, Outcome: OK, Elapsed: 30 * ms, Finished: true})
				restNow(b, true)
			}
			b.step(c.l)
			if resting := len(b.s.destinations) == 0; resting != c.resting && !(used && !resting) {
				t.Errorf("%s: at rest %v", c.name, resting)
			}
			b.now += goneRetention
			out := b.step(ListUpdate{})
			_, more := b.take(safe)
			got := sends(more)
			if len(got) > 0 != (c.sent > 0) || len(got) > 0 && got[0].Endpoint != c.sent || forgets(out) != c.forgot {
				t.Errorf("%s, used %v: sent %v, forgotten %v; want a call to %d and %v", c.name, used, got, forgets(out), c.sent, c.forgot)
			}
		}
	}
}

// Fifty thousand endpoints that replace one another under load leave nothing behind, awake or at rest.
func TestEndpointsReplacedUnderLoadLeaveNothing(t *testing.T) {
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
			name := b.arrive(safe)
			out := b.step(Arrived{ID: name, Destination: (round*40 + i) % destinations, Class: safe, TimeLeft: 16 * sec})
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
		t.Errorf("%d endpoints known of %d; want %d", n, id, destinations)
	}
	if len(b.s.destinations) > 0 || len(b.s.departures) > 0 || len(b.s.active) > 0 || len(b.s.held) > 0 || len(b.s.records.list) > 4*destinations {
		t.Errorf("left awake: %d destinations, %d gone, %d to look at, %d held; %d records", len(b.s.destinations), len(b.s.departures), len(b.s.active), len(b.s.held), len(b.s.records.list))
	}
}

// A whole list that names nobody, as of a discovery that has just started, and the one after it, wake nothing: at 210,000 destinations
// that would take five times the memory. What was gone meanwhile got nothing and is back.
func TestAListThatIsLostAndFoundAgainWakesNothing(t *testing.T) {
	const n = 5000
	s, now := New(testSettings()), 100*sec
	s.Step(now, []Event{whole(n)})
	send := func(dest int) (got []Action) {
		now += sec
		for _, a := range s.Step(now, []Event{Arrived{ID: MessageID(fmt.Sprint("m", now)), Destination: dest, Class: safe, TimeLeft: 16 * sec}}) {
			if _, ok := a.(Send); ok {
				got = append(got, a)
			}
		}
		return got
	}
	s.Step(now+sec, []Event{ListUpdate{Whole: true}})
	if len(s.destinations) > 0 || len(s.endpoints) > 0 || len(s.absences) != n {
		t.Errorf("an empty list leaves %d destinations awake and %d absent, want none and %d", len(s.destinations), len(s.absences), n)
	}
	if got := send(3); len(got) > 0 {
		t.Errorf("what is gone got %v", got)
	}
	now += goneRetention
	s.Step(now, []Event{whole(n)})
	if len(s.destinations) != 0 || len(s.absences) != 0 || len(s.departures) != 0 {
		t.Errorf("%d destinations awake, %d absent, %d gone; want none", len(s.destinations), len(s.absences), len(s.departures))
	}
	if got := send(5); len(got) != 1 {
		t.Errorf("what is back got %v, want one call", got)
	}
}

// plainList keeps what is listed as a list of destinations with their endpoints and a list of what is gone, and nothing at rest.
type plainList struct {
	order []*plainDest
	gone  []*plainEndpoint
}

type plainDest struct {
	no  int
	eps []*plainEndpoint
}

type plainEndpoint struct {
	Entry
	d      *plainDest
	goneAt time.Duration
}

func (p *plainList) dest(no int) *plainDest {
	if i := slices.IndexFunc(p.order, func(d *plainDest) bool { return d.no == no }); i >= 0 {
		return p.order[i]
	}
	p.order = append(p.order, &plainDest{no: no})
	return p.order[len(p.order)-1]
}

func (p *plainList) setGone(ep *plainEndpoint, gone bool, now time.Duration) {
	if gone && !ep.Gone {
		ep.goneAt = now
		p.gone = append(p.gone, ep)
	} else if !gone {
		p.gone = without(p.gone, ep)
	}
	ep.Gone = gone
}

// list takes a list in and returns what is forgotten.
func (p *plainList) list(e ListUpdate, now time.Duration) (forgot []Action) {
	if e.Whole {
		for _, d := range p.order {
			for _, ep := range d.eps {
				p.setGone(ep, true, now)
			}
		}
	}
	for _, entry := range e.Entries {
		var ep *plainEndpoint
		for _, d := range p.order {
			for _, o := range d.eps {
				if o.Endpoint == entry.Endpoint {
					ep = o
				}
			}
		}
		if ep == nil {
			d := p.dest(entry.Destination)
			ep = &plainEndpoint{Entry: Entry{Endpoint: entry.Endpoint}, d: d}
			d.eps = append(d.eps, ep)
		}
		ep.Draining = entry.Draining
		p.setGone(ep, entry.Gone, now)
	}
	for _, ep := range slices.Clone(p.gone) {
		if now-ep.goneAt >= goneRetention && len(ep.d.eps) > 1 {
			p.gone, ep.d.eps = without(p.gone, ep), without(ep.d.eps, ep)
			forgot = append(forgot, EndpointForgotten{Endpoint: ep.Endpoint})
		}
	}
	return forgot
}

// Over random lists, what is forgotten, when and in which order, and what counts as listed, is as with plain lists in which nothing rests.
func TestWhatRestsIsListedAndForgottenAsInPlainLists(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 2))
		set := testSettings()
		set.Senders = 40
		s, plain, now, forgotten := New(set), &plainList{}, 100*sec, 0
		s.deactivateAfter = time.Duration(seed%3) * sec
		ids, dests := 2+rng.IntN(60), 1+rng.IntN(20)
		for step := range 400 {
			now += time.Duration(rng.IntN(9000)) * ms
			var l ListUpdate
			l.Whole = rng.IntN(5) == 0
			for range rng.IntN(1 + ids/(1+int(seed%8))) {
				id := 1 + rng.IntN(ids)
				l.Entries = append(l.Entries, Entry{Endpoint: EndpointID(id), Destination: id % dests, Draining: rng.IntN(6) == 0, Gone: rng.IntN(4) == 0})
			}
			events := []Event{l}
			if d := rng.IntN(2 * dests); rng.IntN(3) == 0 && len(plain.dest(d).eps) == 0 { // first heard of by a message, whose time is over
				events = slices.Insert(events, 0, Event(Arrived{ID: MessageID(fmt.Sprint("m", step)), Destination: d, Class: safe}))
			} else if rng.IntN(3) == 0 {
				events = append(events, HintReceived{Hint{Endpoint: EndpointID(1 + rng.IntN(ids)), Class: safe}})
			}
			want := plain.list(l, now)
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
			for _, d := range plain.order {
				listed := 0
				for _, ep := range d.eps {
					if !ep.Draining && !ep.Gone {
						listed++
					}
				}
				if got := s.destination(d.no); len(got.endpoints) != len(d.eps) || len(slices.DeleteFunc(slices.Clone(got.endpoints), func(ep *endpointState) bool { return !ep.inService })) != listed {
					t.Fatalf("seed %d, step %d: destination %d has %d endpoints, want %d, %d of them listed", seed, step, d.no, len(got.endpoints), len(d.eps), listed)
				}
			}
		}
		if ids > 20 && forgotten < 20 {
			t.Errorf("seed %d: %d forgotten, too few to tell", seed, forgotten)
		}
	}
}

// A whole list that is known already costs what its length says: cutting each endpoint out of a list of all took twelve seconds for
// 210,000. Also where half of it is gone, or back.
func TestAWholeListCostsWhatItsLengthSays(t *testing.T) {
	quickest := func(n int) time.Duration {
		s, now, best := New(testSettings()), 100*sec, time.Hour
		all, half := whole(n), whole(n)
		half.Entries = half.Entries[:n/2]
		for i := range 9 {
			began := time.Now()
			now += sec
			s.Step(now, []Event{[]ListUpdate{all, half, all}[i%3], all})
			best = min(best, time.Since(began))
		}
		return best
	}
	few, many := quickest(2000), quickest(40_000)
	if many > 100*few {
		t.Errorf("20 times the list takes %v, %.0f times %v", many, float64(many)/float64(few), few)
	}
}
