// Random events for a sender, for tests that compare the actions of several senders.

package rules

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// fleet generates random events for a sender and answers its sends. Its destinations have one to four endpoints of all
// kinds that serve, fail, hang, refuse with and without a Retry-After, drain, leave and come back. Other events are
// lists whole and in part, hints, and messages of an earlier process.
type fleet struct {
	rng          *rand.Rand
	now          time.Duration
	messageCount int
	set          Settings
	list         []Entry            // as discovery lists them now
	removed      []Entry            // removed from the list without a replacement; they may come back
	lastEndpoint EndpointID         // number of the endpoint added last
	faults       map[EndpointID]int // how an endpoint fails, see answer; 0: it serves
	pending      []pendingEvent
	log          []string // the sender's actions with their times
}

type pendingEvent struct {
	at    time.Duration
	event Event
}

func newFleet(seed uint64, destinations int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), set: testSettings(), faults: map[EndpointID]int{}}
	if seed%2 == 0 {
		f.set.Senders, f.set.MayShareHints = 40, true
	}
	f.set.Slots, f.set.MaxHeld = 60, 500
	f.set.RatesListed, f.set.WatchesRegistry, f.set.WatchInterval = seed%3 == 0, seed%5 == 0, 4*sec
	f.now = time.Duration(seed%4) * 50 * sec
	for d := range destinations {
		for range 1 + f.rng.IntN(4)*f.rng.IntN(2) {
			f.addEndpoint(d)
		}
	}
	return f
}

func (f *fleet) addEndpoint(destination int) {
	f.lastEndpoint++
	f.list = append(f.list, Entry{
		Endpoint:    f.lastEndpoint*7919%100_003 + 1,
		Destination: destination,
		Kind:        f.rng.IntN(4),
		Zone:        f.rng.IntN(3),
		ListedRate:  float64(f.rng.IntN(40)) / 3,
	})
}

// changeEntry changes, removes, adds or replaces a random entry and returns the entries of the list update for it.
func (f *fleet) changeEntry() []Entry {
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
			f.addEndpoint(gone.Destination)
			return []Entry{gone, f.list[len(f.list)-1]}
		}
		f.removed = append(f.removed, gone)
		return []Entry{gone}
	case 4:
		f.addEndpoint(e.Destination)
		return f.list[len(f.list)-1:]
	case 5:
		if len(f.removed) > 0 { // the entry removed first comes back
			e := f.removed[0]
			f.removed, e.Gone = f.removed[1:], false
			f.list = append(f.list, e)
			return []Entry{e}
		}
	}
	return []Entry{*e}
}

// events lets some time pass and returns the events of the next step.
func (f *fleet) events(destinations int) []Event {
	f.now += time.Duration(1+f.rng.IntN(40)) * ms / 2
	if f.rng.IntN(200) == 0 {
		f.now += time.Duration(f.rng.IntN(30)) * sec
	}
	var out []Event
	rest := f.pending[:0]
	for _, p := range f.pending {
		if p.at <= f.now {
			out = append(out, p.event)
		} else {
			rest = append(rest, p)
		}
	}
	f.pending = rest
	if f.rng.IntN(3) > 0 {
		f.messageCount++
		a := Arrived{
			ID:          MessageID(fmt.Sprint("m", f.messageCount)),
			Destination: f.rng.IntN(1 + f.rng.IntN(destinations+1)),
			Class:       f.rng.IntN(5),
			TimeLeft:    time.Duration(1+f.rng.IntN(16)) * sec,
		}
		if a.Class == ordered {
			a.OrderKey = fmt.Sprint("k", f.rng.IntN(20))
		}
		if f.rng.IntN(10) == 0 {
			a.Prior = PriorAttempts{
				Count:      f.rng.IntN(4),
				Failed:     f.rng.IntN(5),
				MayHaveRun: f.rng.IntN(2) == 0,
				Age:        time.Duration(f.rng.IntN(5)) * sec,
				Endpoint:   f.randomEndpoint(),
			}
		}
		out = append(out, a)
	}
	switch f.rng.IntN(300) {
	case 0, 1, 2, 3, 4, 5:
		var update ListUpdate
		for range 1 + f.rng.IntN(4) {
			update.Entries = append(update.Entries, f.changeEntry()...)
		}
		out = append(out, update)
	case 6:
		for range f.rng.IntN(8) {
			f.changeEntry()
		}
		update := ListUpdate{Whole: true, Entries: append([]Entry{}, f.list...)}
		if f.rng.IntN(3) == 0 { // in another order
			f.rng.Shuffle(len(update.Entries), func(i, j int) {
				update.Entries[i], update.Entries[j] = update.Entries[j], update.Entries[i]
			})
		}
		for range f.rng.IntN(3) { // with entries that are listed twice, or as gone
			e := update.Entries[f.rng.IntN(len(update.Entries))]
			e.Gone = f.rng.IntN(2) == 0
			update.Entries = append(update.Entries, e)
		}
		out = append(out, update)
	case 7, 8, 9:
		out = append(out, HintReceived{Hint{Endpoint: f.randomEndpoint(), Class: f.rng.IntN(6)}})
	case 10:
		out = append(out, HintReceived{Hint{
			Endpoint:   f.randomEndpoint(),
			RetryAfter: time.Duration(f.rng.IntN(30)) * sec,
		}})
	case 11:
		out = append(out, DiscoveryFailed{})
	case 12:
		out = append(out, Withdrawn{MessageID(fmt.Sprint("m", f.messageCount-f.rng.IntN(5)))})
	case 13:
		out = append(out, AttemptEnded{
			ID:         "nobody's",
			Endpoint:   f.randomEndpoint(),
			Outcome:    Refused,
			RetryAfter: time.Duration(f.rng.IntN(8)) * sec,
		})
	case 14, 15, 16, 17:
		f.faults[f.randomEndpoint()] = f.rng.IntN(7)
	case 18, 19, 20, 21, 22, 23, 24, 25:
		clear(f.faults)
	}
	return append(out, WakeUp{})
}

func (f *fleet) randomEndpoint() EndpointID { return f.list[f.rng.IntN(len(f.list))].Endpoint }

// answer logs the sender's actions and schedules the outcomes of what it sends. attempts counts the attempts of each
// message so far.
func (f *fleet) answer(actions []Action, attempts map[MessageID]int) {
	for _, a := range actions {
		f.log = append(f.log, fmt.Sprintf("%v %T%+v", f.now, a, a))
		if c, ok := a.(Cancel); ok {
			f.pending = append(f.pending,
				pendingEvent{f.now, AttemptEnded{ID: c.ID, Attempt: c.Attempt, Outcome: Cancelled}})
		}
		send, ok := a.(Send)
		if !ok {
			continue
		}
		e := AttemptEnded{
			ID:       send.ID,
			Attempt:  attempts[send.ID],
			Endpoint: send.Endpoint,
			Elapsed:  time.Duration(5+f.rng.IntN(300)) * ms,
		}
		attempts[send.ID]++
		switch f.faults[send.Endpoint] {
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
		f.pending = append(f.pending, pendingEvent{f.now + e.Elapsed, e})
	}
}
