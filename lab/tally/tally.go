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
	At       float64 `json:"at_s"`
	Asked    int     `json:"asked"`
	Served   int     `json:"served"`
	Refused  int     `json:"refused"` // by senders
	Failed   int     `json:"failed"`
	Turned   int     `json:"turned_away"`
	Calls    int     `json:"calls"`
	Limited  int     `json:"limited"` // calls turned away by a limit
	Full     int     `json:"full"`    // calls turned away otherwise
	Errors   int     `json:"errors"`  // errors, resets, failed connects
	TimedOut int     `json:"timed_out"`
	Held     float64 `json:"held"` // by all senders, the mean over the step
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	looked   int     // at what is held
}

// Lane is one of the busiest destinations over time: what it was sent, and what it took.
type Lane struct {
	Dest     int     `json:"destination"`
	Rate     float64 `json:"rate"` // calls a second that it takes at its best
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

	Asked   int `json:"asked"` // first tries
	Served  int `json:"served"`
	InAim   int `json:"in_aim"`
	Refused int `json:"refused"` // answers by senders, later tries counted
	Failed  int `json:"failed"`
	Turned  int `json:"turned_away"` // no room
	Again   int `json:"again"`       // later tries handed in

	Calls       int `json:"calls"`
	Attempts    int `json:"attempts"`
	Opened      int `json:"connections_opened"`
	Limited     int `json:"calls_limited"`
	Full        int `json:"calls_full"`
	Errors      int `json:"errors"`
	Resets      int `json:"resets"`
	NoConnect   int `json:"connects_failed"`
	TimedOut    int `json:"timed_out"`
	Cancelled   int `json:"cancelled"`
	NotSent     int `json:"not_sent"`
	Ran         int `json:"ran"`          // messages that took effect, repeats counted
	DoubledOnce int `json:"doubled_once"` // effects of what must not be repeated beyond the first
	Dropped     int `json:"repeats_dropped"`
	Outages     int `json:"outages"`
	Fallen      int `json:"units_fallen"`

	Margins []float64 `json:"margins,omitempty"` // of each cold return, see package margin

	// Recovery is how long after the end of the last outage what all senders hold was back at its level before the first:
	// one and a half times the mean there, and two messages more. -1 if it was not by the end, or there was no outage.
	Recovery float64 `json:"recovery_s"`

	Mean float64 `json:"mean_ms"` // of the time from first hand-in to delivery, as are the percentiles
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`

	Broken   int            `json:"rules_broken"` // breaks in all
	ByRule   map[string]int `json:"by_rule,omitempty"`
	Breaks   []judge.Break  `json:"breaks,omitempty"`
	Faults   map[string]int `json:"faults,omitempty"` // what a policy asked for that cannot be
	Stopped  string         `json:"stopped,omitempty"`
	Events   uint64         `json:"events"`
	ModelS   float64        `json:"model_s"`
	PeakHeld int            `json:"peak_held"`

	Step   float64  `json:"window_s"`
	Series []Window `json:"series,omitempty"`
	Lanes  []Lane   `json:"lanes,omitempty"`
	Log    []string `json:"log,omitempty"`
}

// Books keeps the figures while a run goes on.
type Books struct {
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
func New(s *scenario.Scenario) *Books {
	return &Books{s: s, step: s.Run.Window.D(), classes: make([]span, len(s.Classes)), lane: map[int]int{},
		all: hdrhistogram.New(1, longest, 3), now: hdrhistogram.New(1, longest, 2)}
}

// Watch adds a destination to the lanes that are kept over time, while there is room.
func (b *Books) Watch(dest int, rate float64) {
	if len(b.Lanes) < lanes {
		b.lane[dest] = len(b.Lanes)
		b.Lanes = append(b.Lanes, Lane{Dest: dest, Rate: rate})
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
func (b *Books) Outage(now time.Duration, begins bool) {
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
func (b *Books) Held(now time.Duration, n int) {
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
func (b *Books) window(now time.Duration) *Window {
	for i := int(now / b.step); len(b.Series) <= i; {
		b.closeWindow()
		b.Series = append(b.Series, Window{At: float64(len(b.Series)) * b.step.Seconds()})
		for l := range b.Lanes {
			b.Lanes[l].Calls = append(b.Lanes[l].Calls, 0)
			b.Lanes[l].Refusals = append(b.Lanes[l].Refusals, 0)
		}
	}
	return &b.Series[len(b.Series)-1]
}

func (b *Books) closeWindow() {
	if len(b.Series) == 0 || b.now.TotalCount() == 0 {
		return
	}
	w := &b.Series[len(b.Series)-1]
	w.P50, w.P99 = ms(b.now.ValueAtQuantile(50)), ms(b.now.ValueAtQuantile(99))
	b.now.Reset()
}

func ms(us int64) float64 { return float64(us) / 1000 }

// Asked books a first try.
func (b *Books) Asked(now time.Duration, m *model.Message) {
	b.Result.Asked++
	b.window(now).Asked++
	b.first, b.once = append(b.first, false), append(b.once, false)
	worth := b.s.Classes[m.Class].Worth
	b.span(now).asked += worth
	b.classes[m.Class].asked += worth
}

func (b *Books) span(at time.Duration) *span {
	for len(b.spans) <= int(at/worstSpan) {
		b.spans = append(b.spans, span{})
	}
	return &b.spans[at/worstSpan]
}

// TurnedOff books a message that found no room.
func (b *Books) TurnedOff(now time.Duration, _ *model.Message) {
	b.Turned++
	b.window(now).Turned++
}

// Again books a later try.
func (b *Books) Again(time.Duration, *model.Message) { b.Result.Again++ }

// Called books a call.
func (b *Books) Called(now time.Duration, c *model.Call, u *receiver.Unit, opened bool) {
	b.Calls++
	b.Attempts += len(c.Messages)
	if opened {
		b.Opened++
	}
	w := b.window(now)
	w.Calls++
	if i, kept := b.lane[u.Dest]; kept {
		b.Lanes[i].Calls[len(b.Series)-1]++
	}
}

// Outcome books how an attempt ended.
func (b *Books) Outcome(now time.Duration, _ int, o rules.Outcome) {
	w := b.window(now)
	switch o {
	case rules.Errored:
		b.Errors++
		w.Errors++
	case rules.Reset:
		b.Resets++
		w.Errors++
	case rules.ConnectError:
		b.NoConnect++
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
func (b *Books) Refusal(now time.Duration, u *receiver.Unit, limit bool) {
	w := b.window(now)
	if limit {
		b.Limited++
		w.Limited++
	} else {
		b.Full++
		w.Full++
	}
	if i, kept := b.lane[u.Dest]; kept {
		b.Lanes[i].Refusals[len(b.Series)-1]++
	}
}

// Ran books that a message took effect, or that a repeat was dropped by its key.
func (b *Books) RanEffect(m *model.Message, repeat bool) {
	if repeat {
		b.Dropped++
		return
	}
	b.Ran++
	if b.s.Classes[m.Class].Effect == "once" {
		if b.once[m.First] {
			b.DoubledOnce++
		}
		b.once[m.First] = true
	}
}

// Ended books the end of a message at a sender.
func (b *Books) Ended(now time.Duration, _ int, m *model.Message, end model.End) {
	w := b.window(now)
	switch end {
	case model.Refused:
		b.Refused++
		w.Refused++
	case model.Failed:
		b.Failed++
		w.Failed++
	case model.Served:
		if b.first[m.First] {
			return // a repeat of what was served before
		}
		b.first[m.First] = true
		b.served(now, m, w)
	}
}

func (b *Books) served(now time.Duration, m *model.Message, w *Window) {
	took := now - m.Born
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
	b.span(m.Born).earned += worth
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
func (b *Books) Close() *Result {
	b.closeWindow()
	r := &b.Result
	r.Step = b.step.Seconds()
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
	if r.Asked > 0 {
		r.G -= g.Refuse * float64(r.Limited) / float64(r.Asked)
	}
	if r.Served > 0 {
		r.Mean = 1000 * b.took / float64(r.Served)
	}
	r.P50, r.P90 = ms(b.all.ValueAtQuantile(50)), ms(b.all.ValueAtQuantile(90))
	r.P99, r.P999 = ms(b.all.ValueAtQuantile(99)), ms(b.all.ValueAtQuantile(99.9))
	return r
}
