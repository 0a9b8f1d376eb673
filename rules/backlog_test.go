package rules

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The ranking of all that is held, as it was before what waits was kept in groups: the choices must come to the same.

// messages are those held for a destination, in order of arrival.
func (s *Sender) messages(d *destinationState) (list []*message) {
	for _, m := range s.held {
		if m.destination == d {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, compareArrivals)
	return list
}

func (s *Sender) fillOfAll(d *destinationState, ep *endpointState) plan {
	var fit []rankedMessage
	horizon := s.horizon(d)
	for _, m := range s.messages(d) {
		if s.suits(m, ep) && s.maySend(m, ep) {
			at := s.now + seconds(ep.latency)
			v := s.worth(m, at)
			fit = append(fit, rankedMessage{m, s.tenantWeight(m.tenant) * (v - s.worth(m, at+horizon) + baseWorthWeight*v)})
		}
	}
	if len(fit) == 0 {
		return plan{}
	}
	slices.SortStableFunc(fit, func(a, b rankedMessage) int { return cmp.Compare(b.value, a.value) })
	n := max(1, s.kind(ep).Batch)
	if ep.health == probation {
		if slices.ContainsFunc(fit, func(r rankedMessage) bool { return r.message.class.Effect == Safe }) {
			fit = slices.DeleteFunc(fit, func(r rankedMessage) bool { return r.message.class.Effect != Safe })
		} else {
			n = 1
		}
	}
	if len(fit) < n && !slices.ContainsFunc(fit, func(r rankedMessage) bool { return s.waitedForBatch(r.message) }) {
		return plan{}
	}
	p := plan{endpoint: ep}
	for _, r := range fit[:min(n, len(fit))] {
		p.messages = append(p.messages, r.message)
		p.score += r.value
	}
	p.score /= max(ep.latency, 0.05)
	return p
}

func (s *Sender) cheapestOfAll(d *destinationState) *message {
	var least *message
	for _, m := range s.messages(d) {
		if len(m.inFlight) == 0 && !m.streamed && s.mayRefuse(m) &&
			(least == nil || s.worth(m, s.now) <= s.worth(least, s.now)) {
			least = m
		}
	}
	return least
}

func (s *Sender) dueBeforeOfAll(d *destinationState, at, shut time.Duration) (list []*message) {
	for _, m := range s.messages(d) {
		due := s.answerDeadline(m)
		if mayEnd := at > due && s.mayRefuse(m) || shut > due; mayEnd && len(m.inFlight) == 0 && !m.streamed {
			list = append(list, m)
		}
	}
	return list
}

// choices counts what was compared, so that a test in which nothing is chosen does not pass for one.
type choices struct{ fills, batches, groups, lasts int }

// compare holds the choices for all destinations against those of the ranking, as of the sender's time.
func (c *choices) compare(t *rapid.T, s *Sender) {
	for _, d := range byNumber(s.destinations) {
		all := s.messages(d)
		idle := 0
		for _, m := range all {
			if len(m.inFlight) == 0 {
				idle++
			}
			if waits := len(m.inFlight) == 0 && !m.streamed; waits != (m.group != nil) {
				t.Fatalf("%s waits: %v, is in a group: %v", m.id, waits, m.group != nil)
			}
			if m.group != nil && s.answerDeadline(m) < d.firstDue {
				t.Fatalf("%s is due at %v, the first of them is said to be at %v", m.id, s.answerDeadline(m), d.firstDue)
			}
		}
		if d.held != len(all) || d.hasWaiting() != (idle > 0) {
			t.Fatalf("%d counted as held, %d are; any waits: %v, %d do", d.held, len(all), d.hasWaiting(), idle)
		}
		for _, ep := range d.endpoints {
			if at := slices.ContainsFunc(all, func(m *message) bool { return m.mayHaveRunOn == ep }); at != (s.mayHaveRunCounts[ep] > 0) {
				t.Fatalf("messages that may have run at %d: %v, counted %d", ep.id, at, s.mayHaveRunCounts[ep])
			}
			got, want := s.fillCall(d, ep), s.fillOfAll(d, ep)
			if got.endpoint != want.endpoint || got.score != want.score || !slices.Equal(got.messages, want.messages) {
				t.Fatalf("at %v, endpoint %d in health %d: chosen %v (%v), the ranking of all has %v (%v)", s.now, ep.id, ep.health,
					names(got.messages), got.score, names(want.messages), want.score)
			}
			if want.endpoint != nil && idle > len(want.messages) {
				c.fills++
				c.batches += min(1, len(want.messages)-1)
				c.groups += min(1, len(d.groups)-1)
			}
		}
		got, want := s.leastValuable(d), s.cheapestOfAll(d)
		if got != want {
			t.Fatalf("at %v: worth least are %v, of all %v", s.now, names([]*message{got}), names([]*message{want}))
		}
		if want != nil && idle > 1 {
			c.lasts++
		}
	}
}

func names(list []*message) (out []string) {
	for _, m := range list {
		if m == nil {
			out = append(out, "none")
		} else {
			out = append(out, fmt.Sprintf("%s of class %d, tenant %d, %d tries, due %v", m.id, m.classIndex, m.tenant, m.attemptCount, m.deadline))
		}
	}
	return out
}

func drawSettings(t *rapid.T) Settings {
	set := testSettings()
	set.LateHalving = rapid.Bool().Draw(t, "halving")
	set.Senders = rapid.SampledFrom([]int{1, 2, 40}).Draw(t, "senders")
	set.Slots = rapid.IntRange(1, 12).Draw(t, "slots")
	set.MaxAttempts = rapid.IntRange(1, 5).Draw(t, "attempts")
	set.MaxHeld = rapid.IntRange(20, 400).Draw(t, "room")
	set.OverShareWorth = rapid.SampledFrom([]float64{0, 0.2, 1}).Draw(t, "over share")
	set.Kinds = []Kind{{Batch: 1}, {Batch: rapid.IntRange(2, 9).Draw(t, "batch"), RoutesApart: true}, {Batch: 4}}
	set.Tenants = make([]Tenant, rapid.IntRange(0, 3).Draw(t, "tenants"))
	for i := range set.Tenants {
		set.Tenants[i].Quota = rapid.Float64Range(0, 20).Draw(t, "quota")
	}
	set.Classes = make([]Class, rapid.IntRange(1, 4).Draw(t, "classes"))
	for i := range set.Classes {
		deadline := time.Duration(rapid.IntRange(1, 20_000).Draw(t, "deadline")) * ms
		set.Classes[i] = Class{
			Effect: rapid.SampledFrom([]Effect{Safe, Keyed, AtMostOnce}).Draw(t, "effect"),
			Scope:  rapid.SampledFrom([]DedupScope{DedupDestination, DedupZone, DedupEndpoint}).Draw(t, "scope"),
			Window: time.Duration(rapid.IntRange(100, 9000).Draw(t, "window")) * ms,
			Aim:    time.Duration(rapid.IntRange(0, int(deadline/ms)).Draw(t, "aim")) * ms, Deadline: deadline,
			Worth:     rapid.SampledFrom([]float64{1, 1, 0, 3.7}).Draw(t, "worth"),
			LateWorth: rapid.SampledFrom([]float64{0, 0.4, 1, 0.031}).Draw(t, "late worth"),
			KeepOrder: rapid.IntRange(0, 3).Draw(t, "order") == 0,
		}
	}
	return set
}

// Whatever comes, goes and fails: of what waits the same messages are chosen as a ranking of all of them would, in the same
// order, and the same ones are given up. Deadlines lie apart, close together and are equal; trials, pauses, keys that keep order,
// attempts that may have run and calls of many come up.
func TestChoiceIsThatOfARankingOfAll(t *testing.T) {
	var c choices
	rapid.Check(t, func(t *rapid.T) {
		set := drawSettings(t)
		s, now := New(set), 100*sec
		var entries []Entry
		for ep := range 6 {
			entries = append(entries, Entry{Endpoint: EndpointID(ep + 1), Destination: ep / 3, Kind: rapid.IntRange(0, 2).Draw(t, "kind"), Zone: ep % 2})
		}
		type out struct {
			key attemptKey
			ep  EndpointID
		}
		var calls []out
		nums, taken := map[MessageID]int{}, 0
		step := func(events ...Event) {
			for _, a := range s.Step(now, events) {
				if a, ok := a.(Send); ok {
					calls = append(calls, out{attemptKey{a.ID, nums[a.ID]}, a.Endpoint})
					nums[a.ID]++
				}
			}
			for _, m := range s.held {
				if !m.streamed && (s.now >= s.answerDeadline(m) || len(m.inFlight) == 0 && s.exhausted(m)) {
					t.Fatalf("%s is due at %v, or spent, and still held at %v", m.id, s.answerDeadline(m), s.now)
				}
			}
		}
		step(ListUpdate{Whole: true, Entries: entries})
		ahead := rapid.Bool().Draw(t, "looks ahead")
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			now += time.Duration(rapid.SampledFrom([]int{5, 5, 5, 40, 700}).Draw(t, "passes")) * ms
			var events []Event
			for range rapid.IntRange(0, 60).Draw(t, "arrivals") {
				taken++
				class := rapid.IntRange(0, len(set.Classes)-1).Draw(t, "class")
				left := set.Classes[class].Deadline
				switch rapid.IntRange(0, 3).Draw(t, "age") {
				case 0:
					left -= time.Duration(rapid.IntRange(0, int(left)).Draw(t, "older"))
				case 1:
					left -= min(left, time.Duration(rapid.IntRange(0, 3).Draw(t, "a little older")))
				case 2:
					left /= 2
				}
				e := Arrived{ID: MessageID(fmt.Sprint("m", taken)), Destination: rapid.IntRange(0, 1).Draw(t, "destination"), Class: class,
					Tenant: rapid.IntRange(0, 3).Draw(t, "tenant"), TimeLeft: left}
				if set.Classes[class].KeepOrder {
					e.OrderKey = rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "key")
				}
				if rapid.IntRange(0, 9).Draw(t, "earlier process") == 0 {
					e.Prior = PriorAttempts{Count: rapid.IntRange(1, 3).Draw(t, "attempts before"), MayHaveRun: rapid.Bool().Draw(t, "may have run"),
						Age: time.Duration(rapid.IntRange(0, 4000).Draw(t, "ago")) * ms, Endpoint: EndpointID(3*e.Destination + rapid.IntRange(1, 3).Draw(t, "at"))}
					if rapid.IntRange(0, 3).Draw(t, "unlisted") == 0 {
						e.Prior.Endpoint = 99
					}
					nums[e.ID] = e.Prior.Count
				}
				events = append(events, e)
			}
			for i := len(calls) - 1; i >= 0; i-- {
				if rapid.IntRange(0, 2).Draw(t, "ends") > 0 {
					continue
				}
				e := AttemptEnded{ID: calls[i].key.id, Attempt: calls[i].key.number, Endpoint: calls[i].ep, Elapsed: 30 * ms,
					Outcome: rapid.SampledFrom([]Outcome{OK, OK, Errored, Refused, Refused, TimedOut, ConnectError, Reset, NotSent}).Draw(t, "outcome")}
				e.Finished = e.Outcome == OK
				e.Recalled = e.Outcome == NotSent
				if e.Outcome == Refused && rapid.IntRange(0, 4).Draw(t, "tells a wait") == 0 {
					e.RetryAfter = 3 * sec
				}
				events = append(events, e)
				calls = slices.Delete(calls, i, i+1)
			}
			if taken > 0 && rapid.IntRange(0, 4).Draw(t, "withdrawn") == 0 {
				events = append(events, Withdrawn{MessageID(fmt.Sprint("m", rapid.IntRange(1, taken).Draw(t, "which")))})
			}
			if len(calls) > 0 && rapid.IntRange(0, 9).Draw(t, "streams") == 0 {
				events = append(events, StreamStarted{calls[0].key.id, calls[0].key.number})
			}
			if rapid.IntRange(0, 9).Draw(t, "drains") == 0 {
				e := entries[rapid.IntRange(0, 5).Draw(t, "endpoint")]
				e.Draining = rapid.Bool().Draw(t, "draining")
				events = append(events, ListUpdate{Entries: []Entry{e}})
			}
			step(events...)
			c.compare(t, s)
			if ahead { // which also ends pauses, so that in other plays they are left to the steps
				s.now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "later")) * ms
				s.enqueueResumed()
				c.compare(t, s)
			}
			for _, d := range byNumber(s.destinations) {
				at, shut := s.now+time.Duration(rapid.IntRange(-3000, 9000).Draw(t, "open"))*ms, s.now
				first := d.firstDue
				want := s.dueBeforeOfAll(d, at, shut)
				got := s.dueBefore(d, func(m *message) time.Duration {
					if s.mayRefuse(m) {
						return max(at, shut)
					}
					return shut
				})
				if !slices.Equal(got, want) {
					t.Fatalf("due before it opens: %v, of all %v", names(got), names(want))
				}
				d.firstDue = first // what was found is not ended here
			}
			s.now = now
		}
	})
	if !t.Failed() && (c.fills < 1000 || c.batches < 100 || c.groups < 1000 || c.lasts < 1000) {
		t.Errorf("too little was compared: %+v", c)
	}
	t.Logf("compared: %+v", c)
}

// byNumber is the destinations that are awake, in an order that repeats.
func byNumber(all map[int]*destinationState) []*destinationState {
	var list []*destinationState
	for _, n := range slices.Sorted(maps.Keys(all)) {
		list = append(list, all[n])
	}
	return list
}
