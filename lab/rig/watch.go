// This file owns the record of what receivers observed, and rule 4, which is checked as a run goes on. It must never
// read a sender's log, and shares no code with the senders' decisions.

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

// call is one call as a receiver observed it.
type call struct {
	Sender       int       `json:"sender"`
	IDs          []string  `json:"ids"`
	Endpoint     int       `json:"endpoint"`
	Unit         int       `json:"unit"`
	ArrivedAt    time.Time `json:"arrived"` // its last byte
	ReceivedAt   time.Time `json:"at"`      // the model received it
	EndedAt      time.Time `json:"over"`    // zero: it was still in flight at the end of the run
	Outcome      string    `json:"outcome"`
	RetryAfterMs int64     `json:"wait_ms,omitempty"`
	ConnEndedAt  time.Time `json:"conn_over"` // if it was the last call on its connection; zero while that is open

	result rules.Outcome
}

// overload is a unit that was sent too much during its recovery from an outage, and collapsed.
type overload struct {
	Unit            int         `json:"unit"`
	OutageBegin     time.Time   `json:"out_from"`
	OutageEnd       time.Time   `json:"out_to"`
	At              time.Time   `json:"at"`
	Calls           float64     `json:"sent"`     // within the window
	InformedCalls   float64     `json:"informed"` // of these, from senders that had seen a call fail during the outage
	RuleBroken      bool        `json:"rule_broken"`
	BySender        map[int]int `json:"by_sender"`
	InformedSenders []int       `json:"informed_senders"`
}

// outage is one outage of a unit.
type outage struct {
	begin, end time.Time    // end is zero while it lasts
	informed   map[int]bool // senders that saw a call fail
	margin     float64      // largest margin of a window since its end, see package margin
}

// watcher records what receivers observe. It implements live.Watcher.
type watcher struct {
	mu            sync.Mutex
	calls         []*call
	inFlight      map[*model.Call]*call
	answered      map[*model.Call]*call
	latestOutages map[int]*outage // by unit
	outages       []*outage
	overloads     []overload
	drainedSince  map[int]time.Time // by endpoint: when it was first listed as draining or gone
}

func newWatcher() *watcher {
	return &watcher{
		inFlight:      map[*model.Call]*call{},
		answered:      map[*model.Call]*call{},
		latestOutages: map[int]*outage{},
		drainedSince:  map[int]time.Time{},
	}
}

// ConnectionOpened records a connection that was refused.
func (w *watcher) ConnectionOpened(sender int, ep *receiver.Endpoint, accepted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if accepted {
		return
	}
	if o := w.latestOutages[ep.Unit.Number]; o != nil && o.end.IsZero() {
		o.informed[sender] = true
	}
}

// CallReceived records a call that was received whole.
func (w *watcher) CallReceived(sender int, ep *receiver.Endpoint, modelCall *model.Call, arrivedAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := &call{
		Sender:     sender,
		Endpoint:   int(ep.ID),
		Unit:       ep.Unit.Number,
		ArrivedAt:  arrivedAt,
		ReceivedAt: time.Now(),
		Outcome:    "out",
	}
	for _, m := range modelCall.Messages {
		c.IDs = append(c.IDs, string(m.ID))
	}
	w.calls = append(w.calls, c)
	w.inFlight[modelCall] = c
}

// CallAnswered records how a call ended at the receiver.
func (w *watcher) CallAnswered(sender int, ep *receiver.Endpoint, modelCall *model.Call, o model.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.inFlight[modelCall]
	if c == nil {
		return
	}
	delete(w.inFlight, modelCall)
	w.answered[modelCall] = c
	c.EndedAt = time.Now()
	c.result = o.Result
	c.RetryAfterMs = o.RetryAfter.Milliseconds()
	c.Outcome = outcomeName(o)
	if o.Result != rules.OK {
		w.markInformed(sender, ep, c)
	}
}

// CallAbandoned records a call that its sender abandoned, or a connection whose requests were never read.
func (w *watcher) CallAbandoned(sender int, ep *receiver.Endpoint, modelCall *model.Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.inFlight[modelCall]
	if c == nil {
		c = &call{Sender: sender, ArrivedAt: time.Now(), ReceivedAt: time.Now()}
	} else {
		delete(w.inFlight, modelCall)
		c.EndedAt = time.Now()
		c.Outcome = "given up"
		c.result = rules.TimedOut
	}
	w.markInformed(sender, ep, c)
}

// ConnectionEnded records when the connection of an answered call ended, if it carried no later call.
func (w *watcher) ConnectionEnded(last *model.Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c := w.answered[last]; c != nil {
		c.ConnEndedAt = time.Now()
	}
}

// markInformed records that a sender knows of the unit's latest outage, from a failed call that it made before the
// outage's end. The caller holds the lock.
func (w *watcher) markInformed(sender int, ep *receiver.Endpoint, c *call) {
	if o := w.latestOutages[ep.Unit.Number]; o != nil && (o.end.IsZero() || !c.ReceivedAt.After(o.end)) {
		o.informed[sender] = true
	}
}

// ListPublished records the endpoints that discovery lists as draining or gone.
func (w *watcher) ListPublished(e rules.ListUpdate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, entry := range e.Entries {
		if _, known := w.drainedSince[int(entry.Endpoint)]; (entry.Draining || entry.Gone) && !known {
			w.drainedSince[int(entry.Endpoint)] = time.Now()
		}
	}
}

// Outage records that an outage of a unit began or ended.
func (w *watcher) Outage(u *receiver.Unit, begins bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if begins {
		o := &outage{begin: time.Now(), informed: map[int]bool{}}
		w.latestOutages[u.Number] = o
		w.outages = append(w.outages, o)
	} else if o := w.latestOutages[u.Number]; o != nil {
		o.end = time.Now()
	}
}

// WindowMeasured updates the outage's margin with the latest window of calls to a recovering unit.
func (w *watcher) WindowMeasured(u *receiver.Unit, window []receiver.Arrival, allowed float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o := w.latestOutages[u.Number]; o != nil {
		o.margin = max(o.margin, margin.Of(window, allowed, func(sender int) bool { return o.informed[sender] }))
	}
}

// margins returns the margins of all outages that have ended. The caller holds the lock.
func (w *watcher) margins() (margins []float64) {
	for _, o := range w.outages {
		if !o.end.IsZero() {
			margins = append(margins, o.margin)
		}
	}
	return margins
}

// UnitOverloaded records a unit that collapsed during its recovery. Rule 4 is broken if at least the share
// margin.InformedShare of the calls in the window came from senders that knew of the outage.
func (w *watcher) UnitOverloaded(u *receiver.Unit, callsBySender map[int]float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	event := overload{Unit: u.Number, At: time.Now(), BySender: map[int]int{}}
	o := w.latestOutages[u.Number]
	if o != nil {
		event.OutageBegin, event.OutageEnd = o.begin, o.end
	}
	for sender, calls := range callsBySender {
		event.Calls += calls
		event.BySender[sender] = int(calls)
		if o != nil && o.informed[sender] {
			event.InformedCalls += calls
			event.InformedSenders = append(event.InformedSenders, sender)
		}
	}
	event.RuleBroken = event.InformedCalls >= event.Calls*margin.InformedShare
	w.overloads = append(w.overloads, event)
}

func (o overload) String() string {
	return fmt.Sprintf("unit %d was out for %.2fs, came back and fell %.2fs later: "+
		"%.0f calls within the window, %.0f of them from senders that had seen the outage",
		o.Unit, o.OutageEnd.Sub(o.OutageBegin).Seconds(), o.At.Sub(o.OutageEnd).Seconds(), o.Calls, o.InformedCalls)
}

// outcomeName returns the outcome as it is written to the records of a run.
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
