// Package registry owns the simulated discovery service: the list of endpoints and how much of it each sender has
// received. It must never report an endpoint's health, unless the scenario asks for health checks.
package registry

import (
	"math/rand/v2"
	"time"

	"eiderhaven/lab/clock"
	"eiderhaven/lab/random"
	"eiderhaven/rules"
)

// Registry holds the endpoint list and delivers its changes to the senders.
type Registry struct {
	entries       []rules.Entry // the current list, in the order of insertion
	index         map[rules.EndpointID]int
	lag           random.Distribution
	rng           *rand.Rand
	scheduler     *clock.Scheduler
	queue         *clock.Queue
	watchRequired bool // a sender gets changes only after it has called Watch
	deliver       func(sender int, e rules.ListUpdate)
	subscriptions []subscription // by sender
	initialCount  int            // entries in the list when the run started
	changes       []rules.Entry  // since the start of the run

	Unreachable int           // number of active faults during which nothing is delivered and calls fail
	ExtraLag    time.Duration // added to the lag of every delivery
}

// subscription is the state of one sender's updates.
type subscription struct {
	watching     bool
	delivered    int           // number of changes delivered so far
	lastDelivery time.Duration // a later update never arrives before this
	scheduled    bool          // an update is on its way
}

// New returns a registry for a number of senders; deliver puts an update into a sender's inbox.
func New(senders int, watchRequired bool, lag random.Distribution, q *clock.Queue, rng *rand.Rand,
	deliver func(int, rules.ListUpdate)) *Registry {
	return &Registry{
		index:         map[rules.EndpointID]int{},
		lag:           lag,
		rng:           rng,
		queue:         q,
		scheduler:     q.NewScheduler(clock.Registry, 0),
		watchRequired: watchRequired,
		deliver:       deliver,
		subscriptions: make([]subscription, senders),
	}
}

// AddInitial adds an entry before the run starts.
func (r *Registry) AddInitial(e rules.Entry) {
	r.index[e.Endpoint] = len(r.entries)
	r.entries = append(r.entries, e)
}

// Set adds or changes an entry and schedules its delivery to every sender.
func (r *Registry) Set(e rules.Entry) {
	if i, known := r.index[e.Endpoint]; known {
		r.entries[i] = e
	} else {
		r.AddInitial(e)
	}
	r.changes = append(r.changes, e)
	for sender := range r.subscriptions {
		r.schedule(sender)
	}
}

// Entry returns the current entry of an endpoint.
func (r *Registry) Entry(id rules.EndpointID) (rules.Entry, bool) {
	i, known := r.index[id]
	if !known {
		return rules.Entry{}, false
	}
	return r.entries[i], true
}

// schedule delivers the outstanding changes to a sender after the lag.
func (r *Registry) schedule(sender int) {
	sub := &r.subscriptions[sender]
	if sub.scheduled || r.watchRequired && !sub.watching || r.Unreachable > 0 || sub.delivered == len(r.changes) {
		return
	}
	sub.scheduled = true
	at := max(r.queue.Now()+r.lag.Draw(r.rng)+r.ExtraLag, sub.lastDelivery)
	sub.lastDelivery = at
	upTo := len(r.changes)
	r.scheduler.At(at, func() {
		sub.scheduled = false
		if sub.delivered < upTo && r.Unreachable == 0 {
			entries := r.changes[sub.delivered:upTo]
			sub.delivered = upTo
			r.deliver(sender, rules.ListUpdate{Entries: entries})
		}
		r.schedule(sender)
	})
}

// ResumeUpdates schedules the changes that were missed while the registry was unreachable.
func (r *Registry) ResumeUpdates() {
	for sender := range r.subscriptions {
		r.schedule(sender)
	}
}

// Watch subscribes a sender to changes. While the registry is unreachable it calls failed instead, after the lag.
func (r *Registry) Watch(sender int, failed func()) {
	if r.Unreachable > 0 {
		r.scheduler.After(r.lag.Draw(r.rng), failed)
		return
	}
	r.subscriptions[sender].watching = true
	r.schedule(sender)
}

// SenderStarted returns the list that a starting sender holds: the one it last received, without later changes.
func (r *Registry) SenderStarted(sender int) rules.ListUpdate {
	sub := &r.subscriptions[sender]
	sub.watching, sub.scheduled = false, false
	if sub.delivered == 0 && len(r.changes) == 0 {
		return rules.ListUpdate{Whole: true, Entries: r.listed()}
	}
	// Replay what the sender had received: the initial list, then its changes.
	known := map[rules.EndpointID]rules.Entry{}
	var order []rules.EndpointID
	put := func(e rules.Entry) {
		if _, seen := known[e.Endpoint]; !seen {
			order = append(order, e.Endpoint)
		}
		known[e.Endpoint] = e
	}
	changed := map[rules.EndpointID]bool{}
	for _, e := range r.changes {
		changed[e.Endpoint] = true
	}
	for _, e := range r.entries {
		if !changed[e.Endpoint] {
			put(e)
		}
	}
	for _, e := range r.initialOf(changed) {
		put(e)
	}
	for _, e := range r.changes[:sub.delivered] {
		put(e)
	}
	var entries []rules.Entry
	for _, id := range order {
		if e := known[id]; !e.Gone {
			entries = append(entries, e)
		}
	}
	r.schedule(sender)
	return rules.ListUpdate{Whole: true, Entries: entries}
}

// initialOf returns the initial entries that have changed since, with the state that they had at the start.
func (r *Registry) initialOf(changed map[rules.EndpointID]bool) []rules.Entry {
	var out []rules.Entry
	for _, e := range r.entries[:min(r.initialCount, len(r.entries))] {
		if changed[e.Endpoint] {
			e.Draining, e.Gone = false, false
			out = append(out, e)
		}
	}
	return out
}

// SealInitial ends the setup: the current entries are the initial list.
func (r *Registry) SealInitial() { r.initialCount = len(r.entries) }

// listed returns the entries that are not gone.
func (r *Registry) listed() []rules.Entry {
	var out []rules.Entry
	for _, e := range r.entries {
		if !e.Gone {
			out = append(out, e)
		}
	}
	return out
}

// UpdateInitial changes an entry before the run starts, without a delivery.
func (r *Registry) UpdateInitial(e rules.Entry) { r.entries[r.index[e.Endpoint]] = e }
