// Package registry owns the list of endpoints and what each sender has heard of it. It must never tell of health, unless
// the scenario has it call the endpoints' health itself.
package registry

import (
	"math/rand/v2"
	"time"

	"eiderhaven/lab/clock"
	"eiderhaven/lab/random"
	"eiderhaven/rules"
)

// Registry is the list.
type Registry struct {
	entries []rules.Entry // the list as it stands, in the order of adding
	index   map[rules.EndpointID]int
	lag     random.Distribution
	r       *rand.Rand
	line    *clock.Scheduler
	q       *clock.Queue
	ask     bool
	tell    func(sender int, e rules.ListUpdate)
	told    []tale
	version int
	changes []rules.Entry // since the start; a version is a position behind it

	Unreachable int           // it tells nobody anything
	ExtraLag    time.Duration // added to every telling
}

// tale is what one sender has been told.
type tale struct {
	watches bool
	version int           // told up to here
	last    time.Duration // tellings keep their order
	pending bool
}

// New returns a registry for so many senders; tell carries a telling to a sender's inbox.
func New(senders int, ask bool, lag random.Distribution, q *clock.Queue, r *rand.Rand, tell func(int, rules.ListUpdate)) *Registry {
	return &Registry{index: map[rules.EndpointID]int{}, lag: lag, r: r, q: q, line: q.NewScheduler(clock.Registry, 0), ask: ask,
		tell: tell, told: make([]tale, senders)}
}

// Seed adds an entry before the run starts.
func (g *Registry) AddInitial(e rules.Entry) {
	g.index[e.Endpoint] = len(g.entries)
	g.entries = append(g.entries, e)
}

// Set adds or changes an entry, and tells it.
func (g *Registry) Set(e rules.Entry) {
	if i, known := g.index[e.Endpoint]; known {
		g.entries[i] = e
	} else {
		g.AddInitial(e)
	}
	g.changes = append(g.changes, e)
	for s := range g.told {
		g.schedule(s)
	}
}

// Entry returns an entry as it stands.
func (g *Registry) Entry(id rules.EndpointID) (rules.Entry, bool) {
	i, known := g.index[id]
	if !known {
		return rules.Entry{}, false
	}
	return g.entries[i], true
}

// schedule tells a sender of what is new, after the lag.
func (g *Registry) schedule(s int) {
	t := &g.told[s]
	if t.pending || g.ask && !t.watches || g.Unreachable > 0 || t.version == len(g.changes) {
		return
	}
	t.pending = true
	at := max(g.q.Now()+g.lag.Draw(g.r)+g.ExtraLag, t.last)
	t.last = at
	upTo := len(g.changes)
	g.line.At(at, func() {
		t.pending = false
		if t.version < upTo && g.Unreachable == 0 {
			entries := g.changes[t.version:upTo]
			t.version = upTo
			g.tell(s, rules.ListUpdate{Entries: entries})
		}
		g.schedule(s)
	})
}

// Speak tells everybody what was missed while the registry was silent.
func (g *Registry) ResumeUpdates() {
	for s := range g.told {
		g.schedule(s)
	}
}

// Watch is a sender's wish to hear changes from now on. It hears at once that the call failed while all is silent.
func (g *Registry) Watch(s int, failed func()) {
	if g.Unreachable > 0 {
		g.line.After(g.lag.Draw(g.r), failed)
		return
	}
	g.told[s].watches = true
	g.schedule(s)
}

// Start returns the list as a sender that starts holds it: as it was last told, and nothing later.
func (g *Registry) SenderStarted(s int) rules.ListUpdate {
	t := &g.told[s]
	t.watches, t.pending = false, false
	if t.version == 0 && len(g.changes) == 0 {
		return rules.ListUpdate{Whole: true, Entries: g.live()}
	}
	// Replay what it had heard: the first list, then its changes.
	known := map[rules.EndpointID]rules.Entry{}
	var order []rules.EndpointID
	put := func(e rules.Entry) {
		if _, seen := known[e.Endpoint]; !seen {
			order = append(order, e.Endpoint)
		}
		known[e.Endpoint] = e
	}
	changed := map[rules.EndpointID]bool{}
	for _, e := range g.changes {
		changed[e.Endpoint] = true
	}
	for _, e := range g.entries {
		if !changed[e.Endpoint] {
			put(e)
		}
	}
	for _, e := range g.first(changed) {
		put(e)
	}
	for _, e := range g.changes[:t.version] {
		put(e)
	}
	var entries []rules.Entry
	for _, id := range order {
		if e := known[id]; !e.Gone {
			entries = append(entries, e)
		}
	}
	g.schedule(s)
	return rules.ListUpdate{Whole: true, Entries: entries}
}

// first returns the entries that have changed since, as they were at the start: those that were seeded then.
func (g *Registry) first(changed map[rules.EndpointID]bool) []rules.Entry {
	var out []rules.Entry
	for _, e := range g.entries[:min(g.version, len(g.entries))] {
		if changed[e.Endpoint] {
			e.Draining, e.Gone = false, false
			out = append(out, e)
		}
	}
	return out
}

// Seal ends the seeding: what is in the list now is its first version.
func (g *Registry) SealInitial() { g.version = len(g.entries) }

func (g *Registry) live() []rules.Entry {
	var out []rules.Entry
	for _, e := range g.entries {
		if !e.Gone {
			out = append(out, e)
		}
	}
	return out
}

// Amend changes an entry before the run starts, untold.
func (g *Registry) UpdateInitial(e rules.Entry) { g.entries[g.index[e.Endpoint]] = e }
