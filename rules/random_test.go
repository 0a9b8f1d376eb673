// Random events for a sender, for tests that compare the actions of several senders.

package rules

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// randomEvents generates random events for a sender and answers its sends. Its destinations have one to four endpoints
// of all kinds that serve, fail, hang, refuse with and without a Retry-After, drain, leave and come back. Other events
// are lists whole and in part, hints, and messages of an earlier process.
type randomEvents struct {
	rng          *rand.Rand
	now          time.Duration
	messageCount int
	settings     Settings
	entries      []Entry            // as discovery lists them now
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

func newRandomEvents(seed uint64, destinations int) *randomEvents {
	r := &randomEvents{rng: rand.New(rand.NewPCG(seed, 1)), settings: testSettings(), faults: map[EndpointID]int{}}
	if seed%2 == 0 {
		r.settings.Senders, r.settings.MayShareHints = 40, true
	}
	r.settings.Slots, r.settings.MaxHeld = 60, 500
	r.settings.RatesListed, r.settings.WatchesRegistry, r.settings.WatchInterval = seed%3 == 0, seed%5 == 0, 4*sec
	r.now = time.Duration(seed%4) * 50 * sec
	for d := range destinations {
		for range 1 + r.rng.IntN(4)*r.rng.IntN(2) {
			r.addEndpoint(d)
		}
	}
	return r
}

func (r *randomEvents) addEndpoint(destination int) {
	r.lastEndpoint++
	r.entries = append(r.entries, Entry{
		Endpoint:    r.lastEndpoint*7919%100_003 + 1,
		Destination: destination,
		Kind:        r.rng.IntN(4),
		Zone:        r.rng.IntN(3),
		ListedRate:  float64(r.rng.IntN(40)) / 3,
	})
}

// changeEntry changes, removes, adds or replaces a random entry and returns the entries of the list update for it.
func (r *randomEvents) changeEntry() []Entry {
	i := r.rng.IntN(len(r.entries))
	e := &r.entries[i]
	switch r.rng.IntN(6) {
	case 0:
		e.Draining = !e.Draining
	case 1:
		e.Zone, e.ListedRate = r.rng.IntN(3), float64(r.rng.IntN(40))/3
	case 2, 3:
		gone := *e
		gone.Gone = true
		r.entries = append(r.entries[:i], r.entries[i+1:]...)
		if r.rng.IntN(4) > 0 {
			r.addEndpoint(gone.Destination)
			return []Entry{gone, r.entries[len(r.entries)-1]}
		}
		r.removed = append(r.removed, gone)
		return []Entry{gone}
	case 4:
		r.addEndpoint(e.Destination)
		return r.entries[len(r.entries)-1:]
	case 5:
		if len(r.removed) > 0 { // the entry removed first comes back
			e := r.removed[0]
			r.removed, e.Gone = r.removed[1:], false
			r.entries = append(r.entries, e)
			return []Entry{e}
		}
	}
	return []Entry{*e}
}

// next lets some time pass and returns the events of the next step.
func (r *randomEvents) next(destinations int) []Event {
	r.now += time.Duration(1+r.rng.IntN(40)) * ms / 2
	if r.rng.IntN(200) == 0 {
		r.now += time.Duration(r.rng.IntN(30)) * sec
	}
	var out []Event
	rest := r.pending[:0]
	for _, p := range r.pending {
		if p.at <= r.now {
			out = append(out, p.event)
		} else {
			rest = append(rest, p)
		}
	}
	r.pending = rest
	if r.rng.IntN(3) > 0 {
		r.messageCount++
		a := Arrived{
			ID:          MessageID(fmt.Sprint("m", r.messageCount)),
			Destination: r.rng.IntN(1 + r.rng.IntN(destinations+1)),
			Class:       r.rng.IntN(5),
			TimeLeft:    time.Duration(1+r.rng.IntN(16)) * sec,
		}
		if a.Class == ordered {
			a.OrderKey = fmt.Sprint("k", r.rng.IntN(20))
		}
		if r.rng.IntN(10) == 0 {
			a.Prior = PriorAttempts{
				Count:      r.rng.IntN(4),
				Failed:     r.rng.IntN(5),
				MayHaveRun: r.rng.IntN(2) == 0,
				Age:        time.Duration(r.rng.IntN(5)) * sec,
				Endpoint:   r.randomEndpoint(),
			}
		}
		out = append(out, a)
	}
	switch r.rng.IntN(300) {
	case 0, 1, 2, 3, 4, 5:
		var update ListUpdate
		for range 1 + r.rng.IntN(4) {
			update.Entries = append(update.Entries, r.changeEntry()...)
		}
		out = append(out, update)
	case 6:
		for range r.rng.IntN(8) {
			r.changeEntry()
		}
		update := ListUpdate{Whole: true, Entries: append([]Entry{}, r.entries...)}
		if r.rng.IntN(3) == 0 { // in another order
			r.rng.Shuffle(len(update.Entries), func(i, j int) {
				update.Entries[i], update.Entries[j] = update.Entries[j], update.Entries[i]
			})
		}
		for range r.rng.IntN(3) { // with entries that are listed twice, or as gone
			e := update.Entries[r.rng.IntN(len(update.Entries))]
			e.Gone = r.rng.IntN(2) == 0
			update.Entries = append(update.Entries, e)
		}
		out = append(out, update)
	case 7, 8, 9:
		out = append(out, HintReceived{Hint{Endpoint: r.randomEndpoint(), Class: r.rng.IntN(6)}})
	case 10:
		out = append(out, HintReceived{Hint{
			Endpoint:   r.randomEndpoint(),
			RetryAfter: time.Duration(r.rng.IntN(30)) * sec,
		}})
	case 11:
		out = append(out, DiscoveryFailed{})
	case 12:
		out = append(out, Withdrawn{MessageID(fmt.Sprint("m", r.messageCount-r.rng.IntN(5)))})
	case 13:
		out = append(out, AttemptEnded{
			ID:         "nobody's",
			Endpoint:   r.randomEndpoint(),
			Outcome:    Refused,
			RetryAfter: time.Duration(r.rng.IntN(8)) * sec,
		})
	case 14, 15, 16, 17:
		r.faults[r.randomEndpoint()] = r.rng.IntN(7)
	case 18, 19, 20, 21, 22, 23, 24, 25:
		clear(r.faults)
	}
	return append(out, WakeUp{})
}

func (r *randomEvents) randomEndpoint() EndpointID {
	return r.entries[r.rng.IntN(len(r.entries))].Endpoint
}

// answer logs the sender's actions and schedules the outcomes of what it sends. attempts counts the attempts of each
// message so far.
func (r *randomEvents) answer(actions []Action, attempts map[MessageID]int) {
	for _, a := range actions {
		r.log = append(r.log, fmt.Sprintf("%v %T%+v", r.now, a, a))
		if c, ok := a.(Cancel); ok {
			r.pending = append(r.pending,
				pendingEvent{r.now, AttemptEnded{ID: c.ID, Attempt: c.Attempt, Outcome: Cancelled}})
		}
		send, ok := a.(Send)
		if !ok {
			continue
		}
		e := AttemptEnded{
			ID:       send.ID,
			Attempt:  attempts[send.ID],
			Endpoint: send.Endpoint,
			Elapsed:  time.Duration(5+r.rng.IntN(300)) * ms,
		}
		attempts[send.ID]++
		switch r.faults[send.Endpoint] {
		case 1:
			e.Outcome = Errored
		case 2:
			e.Outcome, e.Elapsed = TimedOut, max(send.Timeout, 5*sec)
		case 3:
			e.Outcome, e.Elapsed = ConnectError, time.Duration(1+r.rng.IntN(900))*ms
		case 4:
			e.Outcome, e.RetryAfter = Refused, time.Duration(r.rng.IntN(5))*sec
		case 5:
			e.Outcome = Refused
		case 6:
			e.Outcome, e.ConnectionLimitReached = ConnectError, true
		}
		e.Finished = e.Outcome == OK
		if r.rng.IntN(10) == 0 {
			e.Report = Report{Remaining: 0.5, Limit: float64(1 + r.rng.IntN(20))}
		}
		r.pending = append(r.pending, pendingEvent{r.now + e.Elapsed, e})
	}
}
