// Package tally owns the figures of a run: what was asked for and earned, calls and their outcomes, latencies, and the same
// over time. It must never look into a policy, and holds no wall-clock time: the same run gives the same bytes.
package tally

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"eiderhaven/lab/judge"
	"eiderhaven/lab/model"
	"eiderhaven/lab/receiver"
	"eiderhaven/lab/scenario"
	"eiderhaven/rules"
)

// Window is one step of the series over time. Counts are of that step; latencies are of messages served in it.
type Window struct {
	At               float64 `json:"at_s"`
	Submitted        int     `json:"asked"`
	Served           int     `json:"served"`
	Refused          int     `json:"refused"` // by senders
	Failed           int     `json:"failed"`
	TurnedAway       int     `json:"turned_away"`
	Calls            int     `json:"calls"`
	RefusedByLimit   int     `json:"limited"` // calls turned away by a limit
	RefusedOtherwise int     `json:"full"`    // calls turned away otherwise
	Errors           int     `json:"errors"`  // errors, resets, failed connects
	TimedOut         int     `json:"timed_out"`
	Held             float64 `json:"held"` // by all senders, the mean over the step
	P50              float64 `json:"p50_ms"`
	P99              float64 `json:"p99_ms"`
	looked           int     // at what is held
}

// Lane is one of the busiest destinations over time: what it was sent, and what it took.
type DestinationSeries struct {
	Dest     int     `json:"destination"`
	Capacity float64 `json:"rate"` // calls a second that it takes at its best
	Calls    []int   `json:"calls"`
	Refusals []int   `json:"refusals"`
}

// Result is what a run came to.
type Result struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`

	G          float64 `json:"g"`           // the figure of the day, by the scenario's goal
	Whole      float64 `json:"whole"`       // worth earned over worth asked for
	Worst      float64 `json:"worst"`       // the same in the worst ten seconds
	WorstClass float64 `json:"worst_class"` // the same of the worst-served class

	Submitted   int `json:"asked"` // first tries
	Served      int `json:"served"`
	InAim       int `json:"in_aim"`
	Refused     int `json:"refused"` // answers by senders, later tries counted
	Failed      int `json:"failed"`
	TurnedAway  int `json:"turned_away"` // no room
	Resubmitted int `json:"again"`       // later tries handed in

	Calls             int `json:"calls"`
	Attempts          int `json:"attempts"`
	ConnectionsOpened int `json:"connections_opened"`
	RefusedByLimit    int `json:"calls_limited"`
	RefusedOtherwise  int `json:"calls_full"`
	Errors            int `json:"errors"`
	Resets            int `json:"resets"`
	ConnectsFailed    int `json:"connects_failed"`
	TimedOut          int `json:"timed_out"`
	Cancelled         int `json:"cancelled"`
	NotSent           int `json:"not_sent"`
	EffectsRun        int `json:"ran"`          // messages that took effect, repeats counted
	DuplicateEffects  int `json:"doubled_once"` // effects of what must not be repeated beyond the first
	RepeatsDropped    int `json:"repeats_dropped"`
	Outages           int `json:"outages"`
	UnitsOverloaded   int `json:"units_fallen"`

	Margins []float64 `json:"margins,omitempty"` // of each cold return, see package margin

	// Recovery is how long after the end of the last outage what all senders hold was back at its level before the first:
	// one and a half times the mean there, and two messages more. -1 if it was not by the end, or there was no outage.
	Recovery float64 `json:"recovery_s"`

	Mean float64 `json:"mean_ms"` // of the time from first hand-in to delivery, as are the percentiles
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`

	ViolationCount int               `json:"rules_broken"` // breaks in all
	ByRule         map[string]int    `json:"by_rule,omitempty"`
	Violations     []judge.Violation `json:"breaks,omitempty"`
	InvalidActions map[string]int    `json:"faults,omitempty"` // what a policy asked for that cannot be
	Stopped        string            `json:"stopped,omitempty"`
	Events         uint64            `json:"events"`
	ModelSeconds   float64           `json:"model_s"`
	PeakHeld       int               `json:"peak_held"`

	WindowSeconds       float64             `json:"window_s"`
	Series              []Window            `json:"series,omitempty"`
	BusiestDestinations []DestinationSeries `json:"lanes,omitempty"`
	Log                 []string            `json:"log,omitempty"`
}

// Books keeps the figures while a run goes on.
type Collector struct {
	Result
	s       *scenario.Scenario
	step    time.Duration
	first   []bool // by first try: served
	once    []bool // by first try: took effect
	spans   []span // of ten seconds, by when the first try came
	classes []span
	all     *hdrhistogram.Histogram
	now     *hdrhistogram.Histogram // of the present window
	lane    map[int]int             // by destination
	took    float64                 // seconds, of all served
	held    recovery
}

type span struct{ asked, earned float64 }

const (
	worstSpan = 10 * time.Second
	lanes     = 6
	longest   = int64(time.Hour / time.Microsecond)
)

// New returns empty books.
func New(s *scenario.Scenario) *Collector {
	return &Collector{s: s, step: s.Run.Window.D(), classes: make([]span, len(s.Classes)), lane: map[int]int{},
		all: hdrhistogram.New(1, longest, 3), now: hdrhistogram.New(1, longest, 2)}
}

// Watch adds a destination to the lanes that are kept over time, while there is room.
func (b *Collector) TrackDestination(dest int, rate float64) {
	if len(b.BusiestDestinations) < lanes {
		b.lane[dest] = len(b.BusiestDestinations)
		b.BusiestDestinations = append(b.BusiestDestinations, DestinationSeries{Dest: dest, Capacity: rate})
	}
}

// recovery follows what is held before, during and after outages.
type recovery struct {
	sum, n  float64 // before the first outage
	lasting int     // outages now
	began   bool
	ended   time.Duration // of the last one
	back    time.Duration // 0: not yet
}

// Outage books that an outage began or ended.
func (b *Collector) Outage(now time.Duration, begins bool) {
	h := &b.held
	if begins {
		b.Outages++
		h.began = true
		h.lasting++
		h.back = 0
		return
	}
	h.lasting--
	h.ended = now
}

// Held books what all senders hold at a look.
func (b *Collector) HeldSampled(now time.Duration, n int) {
	w := b.window(now)
	h := &b.held
	if w.looked++; w.looked == 1 {
		w.Held = 0
	}
	w.Held += (float64(n) - w.Held) / float64(w.looked)
	switch {
	case !h.began:
		h.sum, h.n = h.sum+float64(n), h.n+1
	case h.lasting == 0 && h.back == 0 && float64(n) <= 1.5*h.sum/max(h.n, 1)+2:
		h.back = now
	}
}

// window returns the series' present step, closing those before it.
func (b *Collector) window(now time.Duration) *Window {
	for i := int(now / b.step); len(b.Series) <= i; {
		b.closeWindow()
		b.Series = append(b.Series, Window{At: float64(len(b.Series)) * b.step.Seconds()})
		for l := range b.BusiestDestinations {
			b.BusiestDestinations[l].Calls = append(b.BusiestDestinations[l].Calls, 0)
			b.BusiestDestinations[l].Refusals = append(b.BusiestDestinations[l].Refusals, 0)
		}
	}
	return &b.Series[len(b.Series)-1]
}

func (b *Collector) closeWindow() {
	if len(b.Series) == 0 || b.now.TotalCount() == 0 {
		return
	}
	w := &b.Series[len(b.Series)-1]
	w.P50, w.P99 = ms(b.now.ValueAtQuantile(50)), ms(b.now.ValueAtQuantile(99))
	b.now.Reset()
}

func ms(us int64) float64 { return float64(us) / 1000 }

// Asked books a first try.
func (b *Collector) MessageSubmitted(now time.Duration, m *model.Message) {
	b.Result.Submitted++
	b.window(now).Submitted++
	b.first, b.once = append(b.first, false), append(b.once, false)
	worth := b.s.Classes[m.Class].Worth
	b.span(now).asked += worth
	b.classes[m.Class].asked += worth
}

func (b *Collector) span(at time.Duration) *span {
	for len(b.spans) <= int(at/worstSpan) {
		b.spans = append(b.spans, span{})
	}
	return &b.spans[at/worstSpan]
}

// TurnedOff books a message that found no room.
func (b *Collector) MessageTurnedAway(now time.Duration, _ *model.Message) {
	b.TurnedAway++
	b.window(now).TurnedAway++
}

// Again books a later try.
func (b *Collector) MessageResubmitted(time.Duration, *model.Message) { b.Result.Resubmitted++ }

// Called books a call.
func (b *Collector) CallSent(now time.Duration, c *model.Call, u *receiver.Unit, opened bool) {
	b.Calls++
	b.Attempts += len(c.Messages)
	if opened {
		b.ConnectionsOpened++
	}
	w := b.window(now)
	w.Calls++
	if i, kept := b.lane[u.Dest]; kept {
		b.BusiestDestinations[i].Calls[len(b.Series)-1]++
	}
}

// Outcome books how an attempt ended.
func (b *Collector) AttemptEnded(now time.Duration, _ int, o rules.Outcome) {
	w := b.window(now)
	switch o {
	case rules.Errored:
		b.Errors++
		w.Errors++
	case rules.Reset:
		b.Resets++
		w.Errors++
	case rules.ConnectError:
		b.ConnectsFailed++
		w.Errors++
	case rules.TimedOut:
		b.TimedOut++
		w.TimedOut++
	case rules.Cancelled:
		b.Cancelled++
	case rules.NotSent:
		b.NotSent++
	}
}

// Refusal books a call that a receiver turned away.
func (b *Collector) CallRefused(now time.Duration, u *receiver.Unit, limit bool) {
	w := b.window(now)
	if limit {
		b.RefusedByLimit++
		w.RefusedByLimit++
	} else {
		b.RefusedOtherwise++
		w.RefusedOtherwise++
	}
	if i, kept := b.lane[u.Dest]; kept {
		b.BusiestDestinations[i].Refusals[len(b.Series)-1]++
	}
}

// Ran books that a message took effect, or that a repeat was dropped by its key.
func (b *Collector) MessageTookEffect(m *model.Message, repeat bool) {
	if repeat {
		b.RepeatsDropped++
		return
	}
	b.EffectsRun++
	if b.s.Classes[m.Class].Effect == "once" {
		if b.once[m.FirstTry] {
			b.DuplicateEffects++
		}
		b.once[m.FirstTry] = true
	}
}

// Ended books the end of a message at a sender.
func (b *Collector) MessageEnded(now time.Duration, _ int, m *model.Message, end model.End) {
	w := b.window(now)
	switch end {
	case model.Refused:
		b.Refused++
		w.Refused++
	case model.Failed:
		b.Failed++
		w.Failed++
	case model.Served:
		if b.first[m.FirstTry] {
			return // a repeat of what was served before
		}
		b.first[m.FirstTry] = true
		b.served(now, m, w)
	}
}

func (b *Collector) served(now time.Duration, m *model.Message, w *Window) {
	took := now - m.FirstSubmitted
	b.Served++
	b.took += took.Seconds()
	w.Served++
	if took <= b.s.Classes[m.Class].Aim.D() {
		b.InAim++
	}
	us := max(took.Microseconds(), 1)
	_ = b.all.RecordValue(us) // within range: a deadline is a day at most, checked, and clipped below
	_ = b.now.RecordValue(min(us, longest))
	worth := Worth(&b.s.Classes[m.Class], took)
	b.span(m.FirstSubmitted).earned += worth
	b.classes[m.Class].earned += worth
}

// Worth is what a message earns that is delivered after a time: all of it within the aim, then half as much with each
// further aim, not under the late worth, and nothing after the deadline.
func Worth(c *scenario.Class, took time.Duration) float64 {
	switch {
	case took > c.Deadline.D():
		return 0
	case took <= c.Aim.D():
		return c.Worth
	}
	late := (took - c.Aim.D()).Seconds() / max(c.Aim.D().Seconds(), 1e-3)
	return c.Worth * max(c.LateWorth, math.Exp2(-late))
}

// Close reckons up the figures.
func (b *Collector) Finish() *Result {
	b.closeWindow()
	r := &b.Result
	r.WindowSeconds = b.step.Seconds()
	r.Recovery = -1
	if b.held.back > 0 {
		r.Recovery = (b.held.back - b.held.ended).Seconds()
	}
	var all span
	r.Worst, r.WorstClass = 1, 1
	for _, x := range b.spans {
		all.asked, all.earned = all.asked+x.asked, all.earned+x.earned
	}
	for _, x := range b.spans {
		if x.asked > 0.1*all.asked/float64(len(b.spans)) { // a stub of a span says nothing
			r.Worst = min(r.Worst, x.earned/x.asked)
		}
	}
	for _, x := range b.classes {
		if x.asked > 0 {
			r.WorstClass = min(r.WorstClass, x.earned/x.asked)
		}
	}
	r.Whole = 1
	if all.asked > 0 {
		r.Whole = all.earned / all.asked
	}
	g := b.s.Goal
	r.G = (g.Whole*r.Whole + g.Worst*r.Worst + g.Class*r.WorstClass) / (g.Whole + g.Worst + g.Class)
	if r.Submitted > 0 {
		r.G -= g.Refuse * float64(r.RefusedByLimit) / float64(r.Submitted)
	}
	if r.Served > 0 {
		r.Mean = 1000 * b.took / float64(r.Served)
	}
	r.P50, r.P90 = ms(b.all.ValueAtQuantile(50)), ms(b.all.ValueAtQuantile(90))
	r.P99, r.P999 = ms(b.all.ValueAtQuantile(99)), ms(b.all.ValueAtQuantile(99.9))
	return r
}
