// This file owns the record of what receivers saw, and rule 4, which is judged as it happens. It must never read a sender's
// log, and shares no code with the senders' decisions.

package rig

import (
	"fmt"
	"sync"
	"time"

	"eiderhaven/lab/margin"
	"eiderhaven/lab/model"
	"eiderhaven/lab/receiver"
	"eiderhaven/rules"
)

// call is one call as a receiver saw it.
type call struct {
	Sender       int       `json:"sender"`
	IDs          []string  `json:"ids"`
	Endpoint     int       `json:"endpoint"`
	Unit         int       `json:"unit"`
	ReceivedAt   time.Time `json:"at"`
	EndedAt      time.Time `json:"over"` // zero: it was out to the end
	Outcome      string    `json:"outcome"`
	RetryAfterMs int64     `json:"wait_ms,omitempty"`

	classes []int
	what    rules.Outcome
	silent  bool
}

// fall is a destination that was pushed over as it came back.
type fall struct {
	Unit            int         `json:"unit"`
	OutageBegin     time.Time   `json:"out_from"`
	OutageEnd       time.Time   `json:"out_to"`
	At              time.Time   `json:"at"`
	Calls           float64     `json:"sent"`     // calls within the window
	InformedCalls   float64     `json:"informed"` // of them, from senders that had seen a call fail there during the outage
	RuleBroken      bool        `json:"rule_broken"`
	BySender        map[int]int `json:"by_sender"`
	InformedSenders []int       `json:"informed_senders"`
}

// outage is one outage of a unit, and who saw it.
type outage struct {
	begins, ends time.Time // ends is zero while it lasts
	informed     map[int]bool
	margin       float64 // of the worst window since its end
}

// watcher is told by receivers; its methods run on their goroutine but for those that read.
type watcher struct {
	mu      sync.Mutex
	calls   []*call
	out     map[*model.Call]*call
	outages map[int]*outage
	all     []*outage
	falls   []fall
	drained map[int]time.Time // endpoints that a list has named as draining or gone, since when
	refused int
}

func newWatcher() *watcher {
	return &watcher{out: map[*model.Call]*call{}, outages: map[int]*outage{}, drained: map[int]time.Time{}}
}

// Connected is told of each connection.
func (w *watcher) ConnectionOpened(sender int, ep *receiver.Endpoint, taken bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if taken {
		return
	}
	w.refused++
	if o := w.outages[ep.Unit.Number]; o != nil && o.ends.IsZero() {
		o.informed[sender] = true
	}
}

// Called is told of each call that has come whole.
func (w *watcher) CallReceived(sender int, ep *receiver.Endpoint, c *model.Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	one := &call{Sender: sender, Endpoint: int(ep.ID), Unit: ep.Unit.Number, ReceivedAt: time.Now(), Outcome: "out"}
	for _, m := range c.Messages {
		one.IDs = append(one.IDs, string(m.ID))
		one.classes = append(one.classes, m.Class)
	}
	w.calls = append(w.calls, one)
	w.out[c] = one
}

// Answered is told how a call ended at the receiver.
func (w *watcher) CallAnswered(sender int, ep *receiver.Endpoint, c *model.Call, o model.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	one := w.out[c]
	if one == nil {
		return
	}
	delete(w.out, c)
	one.EndedAt, one.what, one.silent, one.RetryAfterMs = time.Now(), o.Result, o.NoAnswer, o.RetryAfter.Milliseconds()
	one.Outcome = outcomeName(o)
	if o.Result != rules.OK {
		w.learn(sender, ep, one)
	}
}

// GivenUp is told of a call that its sender gave up, or of a connection on which nobody read.
func (w *watcher) CallAbandoned(sender int, ep *receiver.Endpoint, c *model.Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	one := w.out[c]
	if one == nil {
		one = &call{Sender: sender, ReceivedAt: time.Now()}
	} else {
		delete(w.out, c)
		one.EndedAt, one.Outcome, one.what = time.Now(), "given up", rules.TimedOut
	}
	w.learn(sender, ep, one)
}

// learn notes that a sender saw a call fail that it had made before the end of an outage. The caller holds the lock.
func (w *watcher) learn(sender int, ep *receiver.Endpoint, c *call) {
	if o := w.outages[ep.Unit.Number]; o != nil && (o.ends.IsZero() || !c.ReceivedAt.After(o.ends)) {
		o.informed[sender] = true
	}
}

// Listed is told of what discovery tells all senders.
func (w *watcher) ListPublished(e rules.ListUpdate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range e.Entries {
		if _, known := w.drained[int(x.Endpoint)]; (x.Draining || x.Gone) && !known {
			w.drained[int(x.Endpoint)] = time.Now()
		}
	}
}

// Outage is told when an outage of a unit begins and ends.
func (w *watcher) Outage(u *receiver.Unit, begins bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if begins {
		o := &outage{begins: time.Now(), informed: map[int]bool{}}
		w.outages[u.Number], w.all = o, append(w.all, o)
	} else if o := w.outages[u.Number]; o != nil {
		o.ends = time.Now()
	}
}

// Weighed is told of each window of calls that a unit is sent as it returns.
func (w *watcher) WindowMeasured(u *receiver.Unit, window []receiver.Arrival, allowed float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o := w.outages[u.Number]; o != nil {
		o.margin = max(o.margin, margin.Of(window, allowed, func(sender int) bool { return o.informed[sender] }))
	}
}

// margins are those of all returns so far. The caller holds the lock.
func (w *watcher) margins() (margins []float64) {
	for _, o := range w.all {
		if !o.ends.IsZero() {
			margins = append(margins, o.margin)
		}
	}
	return margins
}

// Fell is told of a unit that was pushed over.
func (w *watcher) UnitOverloaded(u *receiver.Unit, by map[int]float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := fall{Unit: u.Number, At: time.Now(), BySender: map[int]int{}}
	o := w.outages[u.Number]
	if o != nil {
		f.OutageBegin, f.OutageEnd = o.begins, o.ends
	}
	for sender, n := range by {
		f.Calls += n
		f.BySender[sender] = int(n)
		if o != nil && o.informed[sender] {
			f.InformedCalls += n
			f.InformedSenders = append(f.InformedSenders, sender)
		}
	}
	f.RuleBroken = f.InformedCalls >= f.Calls*margin.InformedShare
	w.falls = append(w.falls, f)
}

func (f fall) String() string {
	return fmt.Sprintf("unit %d was out for %.2fs, came back and fell %.2fs later: %.0f calls within the window, %.0f of them from senders that had seen the outage",
		f.Unit, f.OutageEnd.Sub(f.OutageBegin).Seconds(), f.At.Sub(f.OutageEnd).Seconds(), f.Calls, f.InformedCalls)
}

func outcomeName(o model.Outcome) string {
	switch {
	case o.NoAnswer:
		return "served, answer lost"
	case o.Result == rules.OK:
		return "served"
	case o.Result == rules.Errored:
		return "error"
	case o.Result == rules.Refused:
		return "refused"
	}
	return "reset"
}
