package rules

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// fleet makes up events for a sender, and answers its sends: destinations of one to four endpoints of all kinds that serve, fail, hang,
// refuse with and without a wait, drain, leave and come back, lists whole and in part, notes, and messages of an earlier process.
type fleet struct {
	rng    *rand.Rand
	now    time.Duration
	n      int
	set    Settings
	list   []Entry
	next   EndpointID
	mood   map[EndpointID]int
	due    []arrival
	log    []string
	listed []Entry
}

// arrival is an event to come.
type arrival struct {
	at time.Duration
	e  Event
}

func newFleet(seed uint64, destinations int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), set: testSettings(), mood: map[EndpointID]int{}}
	if seed%2 == 0 {
		f.set.Senders, f.set.MayShareHints = 40, true
	}
	f.set.Slots, f.set.MaxHeld = 60, 500
	f.set.RatesListed, f.set.WatchesRegistry, f.set.WatchInterval = seed%3 == 0, seed%5 == 0, 4*sec
	f.now = time.Duration(seed%4) * 50 * sec
	for d := range destinations {
		for range 1 + f.rng.IntN(4)*f.rng.IntN(2) {
			f.add(d)
		}
	}
	return f
}

func (f *fleet) add(dest int) {
	f.next++
	f.list = append(f.list, Entry{Endpoint: f.next*7919%100_003 + 1, Destination: dest, Kind: f.rng.IntN(4), Zone: f.rng.IntN(3), ListedRate: float64(f.rng.IntN(40)) / 3})
}

// change makes one entry other, or two, and returns what the list says of it.
func (f *fleet) change() []Entry {
	i := f.rng.IntN(len(f.list))
	e := &f.list[i]
	switch f.rng.IntN(6) {
	case 0:
		e.Draining = !e.Draining
	case 1:
		e.Zone, e.ListedRate = f.rng.IntN(3), float64(f.rng.IntN(40))/3
	case 2, 3:
		gone := *e
		gone.Gone = true
		f.list = append(f.list[:i], f.list[i+1:]...)
		if f.rng.IntN(4) > 0 {
			f.add(gone.Destination)
			return []Entry{gone, f.list[len(f.list)-1]}
		}
		f.listed = append(f.listed, gone)
		return []Entry{gone}
	case 4:
		f.add(e.Destination)
		return f.list[len(f.list)-1:]
	case 5:
		if len(f.listed) > 0 { // back again
			e := f.listed[0]
			f.listed, e.Gone = f.listed[1:], false
			f.list = append(f.list, e)
			return []Entry{e}
		}
	}
	return []Entry{*e}
}

// events are those of one step, some time after the one before.
func (f *fleet) events(destinations int) []Event {
	f.now += time.Duration(1+f.rng.IntN(40)) * ms / 2
	if f.rng.IntN(200) == 0 {
		f.now += time.Duration(f.rng.IntN(30)) * sec
	}
	var out []Event
	rest := f.due[:0]
	for _, a := range f.due {
		if a.at <= f.now {
			out = append(out, a.e)
		} else {
			rest = append(rest, a)
		}
	}
	f.due = rest
	if f.rng.IntN(3) > 0 {
		f.n++
		a := Arrived{ID: MessageID(fmt.Sprint("m", f.n)), Destination: f.rng.IntN(1 + f.rng.IntN(destinations+1)), Class: f.rng.IntN(5), TimeLeft: time.Duration(1+f.rng.IntN(16)) * sec}
		if a.Class == ordered {
			a.OrderKey = fmt.Sprint("k", f.rng.IntN(20))
		}
		if f.rng.IntN(10) == 0 {
			a.Prior = PriorAttempts{Count: f.rng.IntN(4), Failed: f.rng.IntN(5), MayHaveRun: f.rng.IntN(2) == 0, Age: time.Duration(f.rng.IntN(5)) * sec, Endpoint: f.any()}
		}
		out = append(out, a)
	}
	switch f.rng.IntN(300) {
	case 0, 1, 2, 3, 4, 5:
		var l ListUpdate
		for range 1 + f.rng.IntN(4) {
			l.Entries = append(l.Entries, f.change()...)
		}
		out = append(out, l)
	case 6:
		for range f.rng.IntN(8) {
			f.change()
		}
		l := ListUpdate{Whole: true, Entries: append([]Entry{}, f.list...)}
		if f.rng.IntN(3) == 0 { // in another order
			f.rng.Shuffle(len(l.Entries), func(i, j int) { l.Entries[i], l.Entries[j] = l.Entries[j], l.Entries[i] })
		}
		for range f.rng.IntN(3) { // and some of it twice, or gone, or never heard of
			e := l.Entries[f.rng.IntN(len(l.Entries))]
			e.Gone = f.rng.IntN(2) == 0
			l.Entries = append(l.Entries, e)
		}
		out = append(out, l)
	case 7, 8, 9:
		out = append(out, HintReceived{Hint{Endpoint: f.any(), Class: f.rng.IntN(6)}})
	case 10:
		out = append(out, HintReceived{Hint{Endpoint: f.any(), RetryAfter: time.Duration(f.rng.IntN(30)) * sec}})
	case 11:
		out = append(out, DiscoveryFailed{})
	case 12:
		out = append(out, Withdrawn{MessageID(fmt.Sprint("m", f.n-f.rng.IntN(5)))})
	case 13:
		out = append(out, AttemptEnded{ID: "nobody's", Endpoint: f.any(), Outcome: Refused, RetryAfter: time.Duration(f.rng.IntN(8)) * sec})
	case 14, 15, 16, 17:
		f.mood[f.any()] = f.rng.IntN(7)
	case 18, 19, 20, 21, 22, 23, 24, 25:
		clear(f.mood)
	}
	return append(out, WakeUp{})
}

func (f *fleet) any() EndpointID { return f.list[f.rng.IntN(len(f.list))].Endpoint }

// answer books what the sender did and makes up the outcomes of what it sends.
func (f *fleet) answer(actions []Action, tries map[MessageID]int) {
	for _, a := range actions {
		f.log = append(f.log, fmt.Sprintf("%v %T%+v", f.now, a, a))
		if c, ok := a.(Cancel); ok {
			f.due = append(f.due, arrival{f.now, AttemptEnded{ID: c.ID, Attempt: c.Attempt, Outcome: Cancelled}})
		}
		send, ok := a.(Send)
		if !ok {
			continue
		}
		e := AttemptEnded{ID: send.ID, Attempt: tries[send.ID], Endpoint: send.Endpoint, Elapsed: time.Duration(5+f.rng.IntN(300)) * ms}
		tries[send.ID]++
		switch f.mood[send.Endpoint] {
		case 1:
			e.Outcome = Errored
		case 2:
			e.Outcome, e.Elapsed = TimedOut, max(send.Timeout, 5*sec)
		case 3:
			e.Outcome, e.Elapsed = ConnectError, time.Duration(1+f.rng.IntN(900))*ms
		case 4:
			e.Outcome, e.RetryAfter = Refused, time.Duration(f.rng.IntN(5))*sec
		case 5:
			e.Outcome = Refused
		case 6:
			e.Outcome, e.ConnectionLimitReached = ConnectError, true
		}
		e.Finished = e.Outcome == OK
		if f.rng.IntN(10) == 0 {
			e.Report = Report{Remaining: 0.5, Limit: float64(1 + f.rng.IntN(20))}
		}
		f.due = append(f.due, arrival{f.now + e.Elapsed, e})
	}
}
