// Package tally collects the statistics of a run: messages submitted and the worth earned with them, calls and their
// outcomes, latencies, and the same as time series.
//
// It must never inspect a policy or read the wall clock: the same run gives the same bytes.
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

// Window is one window of the time series. Counts are of events in the window; latencies are of messages served in it.
type Window struct {
	At               float64 `json:"at_s"`
	Submitted        int     `json:"asked"` // first tries
	Served           int     `json:"served"`
	Refused          int     `json:"refused"` // by senders
	Failed           int     `json:"failed"`
	TurnedAway       int     `json:"turned_away"`
	Calls            int     `json:"calls"`
	RefusedByLimit   int     `json:"limited"` // calls refused because of the receiver's limit
	RefusedOtherwise int     `json:"full"`    // calls refused for another reason, such as a full queue
	Errors           int     `json:"errors"`  // errors, resets, failed connects
	TimedOut         int     `json:"timed_out"`
	Held             float64 `json:"held"` // messages held by all senders, mean over the window
	P50              float64 `json:"p50_ms"`
	P99              float64 `json:"p99_ms"`
	heldSamples      int     // samples in Held
}

// DestinationSeries is the time series of one of the busiest destinations. Calls and Refusals have a value for each
// window.
type DestinationSeries struct {
	Dest     int     `json:"destination"`
	Capacity float64 `json:"rate"` // calls a second at full capacity
	Calls    []int   `json:"calls"`
	Refusals []int   `json:"refusals"`
}

// Result holds the statistics of a run, as result files have them.
type Result struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`

	G          float64 `json:"g"`           // overall score: see Finish
	Whole      float64 `json:"whole"`       // worth earned over worth submitted
	Worst      float64 `json:"worst"`       // the same for the worst ten seconds
	WorstClass float64 `json:"worst_class"` // the same for the worst-served class

	Submitted   int `json:"asked"` // first tries
	Served      int `json:"served"`
	InAim       int `json:"in_aim"`
	Refused     int `json:"refused"` // by senders, later tries included
	Failed      int `json:"failed"`
	TurnedAway  int `json:"turned_away"` // by senders without room
	Resubmitted int `json:"again"`       // later tries submitted

	Calls             int `json:"calls"`
	Attempts          int `json:"attempts"`
	ConnectionsOpened int `json:"connections_opened"`
	RefusedByLimit    int `json:"calls_limited"` // as Window.RefusedByLimit
	RefusedOtherwise  int `json:"calls_full"`    // as Window.RefusedOtherwise
	Errors            int `json:"errors"`
	Resets            int `json:"resets"`
	ConnectsFailed    int `json:"connects_failed"`
	TimedOut          int `json:"timed_out"`
	Cancelled         int `json:"cancelled"`
	NotSent           int `json:"not_sent"`
	EffectsRun        int `json:"ran"`          // effects of messages; repeats that were dropped do not count
	DuplicateEffects  int `json:"doubled_once"` // further effects of messages whose class allows one
	RepeatsDropped    int `json:"repeats_dropped"`
	Outages           int `json:"outages"`
	UnitsOverloaded   int `json:"units_fallen"` // overloaded during recovery

	Margins []float64 `json:"margins,omitempty"` // of each recovery, see package margin

	// Recovery is the time from the end of the last outage until the senders together held no more than normal: 1.5 times
	// the mean before the first outage, plus two messages. It is -1 without an outage, or if that did not happen.
	Recovery float64 `json:"recovery_s"`

	Mean float64 `json:"mean_ms"` // from first submission to delivery; so are the percentiles
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`

	ViolationCount int               `json:"rules_broken"` // all of them, also those that Violations leaves out
	ByRule         map[string]int    `json:"by_rule,omitempty"`
	Violations     []judge.Violation `json:"breaks,omitempty"`
	InvalidActions map[string]int    `json:"faults,omitempty"`  // number of each kind of impossible action, by description
	Stopped        string            `json:"stopped,omitempty"` // why the run ended early
	Events         uint64            `json:"events"`
	ModelSeconds   float64           `json:"model_s"`
	PeakHeld       int               `json:"peak_held"`

	WindowSeconds       float64             `json:"window_s"`
	Series              []Window            `json:"series,omitempty"`
	BusiestDestinations []DestinationSeries `json:"lanes,omitempty"`
	Log                 []string            `json:"log,omitempty"`
}

// Collector collects the statistics while a run goes on. Its methods are called in the order of model time.
type Collector struct {
	Result
	scenario        *scenario.Scenario
	windowLength    time.Duration
	servedTries     []bool     // whether it was served, by first try
	ranOnce         []bool     // whether it took effect, by first try; set for at-most-once classes only
	spans           []worthSum // by the time of the first try, in steps of worstSpanLength
	classes         []worthSum // by class
	latencies       *hdrhistogram.Histogram
	windowLatencies *hdrhistogram.Histogram // of the current window
	tracked         map[int]int             // index in BusiestDestinations, by destination
	latencySeconds  float64                 // sum over all served messages
	recovery        recoveryTracker
}

// worthSum is the worth of submitted messages and how much of it was earned.
type worthSum struct{ submitted, earned float64 }

const (
	// Length of the spans of which Result.Worst is the worst one.
	worstSpanLength = 10 * time.Second

	// A span with less than this share of the mean worth submitted is ignored for Result.Worst: it is a fragment.
	minSpanShare = 0.1

	// Largest number of destinations with a time series.
	maxTracked = 6

	// Upper end of the latency histograms, in microseconds.
	maxLatencyMicros = int64(time.Hour / time.Microsecond)

	// Significant decimal digits of the latency histograms, of the whole run and of a window.
	runLatencyDigits    = 3
	windowLatencyDigits = 2

	// The senders have recovered when they hold no more than this factor times the mean before the first outage, plus the
	// given number of messages.
	recoveredFactor = 1.5
	recoveredSlack  = 2

	// Lower limit of the aim in seconds, so that an aim of zero can be divided by.
	minAimSeconds = 1e-3
)

// New returns a Collector for one run of a scenario.
func New(s *scenario.Scenario) *Collector {
	return &Collector{
		scenario:        s,
		windowLength:    s.Run.Window.D(),
		classes:         make([]worthSum, len(s.Classes)),
		tracked:         map[int]int{},
		latencies:       hdrhistogram.New(1, maxLatencyMicros, runLatencyDigits),
		windowLatencies: hdrhistogram.New(1, maxLatencyMicros, windowLatencyDigits),
	}
}

// TrackDestination keeps a time series of a destination, while there is room for one. capacity is in calls a second.
func (c *Collector) TrackDestination(dest int, capacity float64) {
	if len(c.BusiestDestinations) < maxTracked {
		c.tracked[dest] = len(c.BusiestDestinations)
		c.BusiestDestinations = append(c.BusiestDestinations, DestinationSeries{Dest: dest, Capacity: capacity})
	}
}

// recoveryTracker follows the number of held messages before, during and after outages, for Result.Recovery.
type recoveryTracker struct {
	heldSum, heldSamples float64 // before the first outage
	ongoing              int     // number of outages now
	anyOutage            bool
	lastEnded            time.Duration // end of the last outage
	recoveredAt          time.Duration // 0 until then
}

// Outage records that an outage began or ended.
func (c *Collector) Outage(now time.Duration, begins bool) {
	recovery := &c.recovery
	if begins {
		c.Outages++
		recovery.anyOutage = true
		recovery.ongoing++
		recovery.recoveredAt = 0
		return
	}
	recovery.ongoing--
	recovery.lastEnded = now
}

// HeldSampled records a sample of the number of messages that all senders hold.
func (c *Collector) HeldSampled(now time.Duration, held int) {
	w := c.window(now)
	recovery := &c.recovery
	if w.heldSamples++; w.heldSamples == 1 {
		w.Held = 0
	}
	w.Held += (float64(held) - w.Held) / float64(w.heldSamples)
	if !recovery.anyOutage {
		recovery.heldSum += float64(held)
		recovery.heldSamples++
		return
	}
	if recovery.ongoing > 0 || recovery.recoveredAt > 0 {
		return
	}
	if float64(held) <= recoveredFactor*recovery.heldSum/max(recovery.heldSamples, 1)+recoveredSlack {
		recovery.recoveredAt = now
	}
}

// window returns the current window of the time series, after closing those before it.
func (c *Collector) window(now time.Duration) *Window {
	for i := int(now / c.windowLength); len(c.Series) <= i; {
		c.closeWindow()
		c.Series = append(c.Series, Window{At: float64(len(c.Series)) * c.windowLength.Seconds()})
		for d := range c.BusiestDestinations {
			c.BusiestDestinations[d].Calls = append(c.BusiestDestinations[d].Calls, 0)
			c.BusiestDestinations[d].Refusals = append(c.BusiestDestinations[d].Refusals, 0)
		}
	}
	return &c.Series[len(c.Series)-1]
}

// closeWindow sets the latencies of the latest window.
func (c *Collector) closeWindow() {
	if len(c.Series) == 0 || c.windowLatencies.TotalCount() == 0 {
		return
	}
	w := &c.Series[len(c.Series)-1]
	w.P50, w.P99 = ms(c.windowLatencies.ValueAtQuantile(50)), ms(c.windowLatencies.ValueAtQuantile(99))
	c.windowLatencies.Reset()
}

// ms converts microseconds to milliseconds.
func ms(us int64) float64 { return float64(us) / 1000 }

// MessageSubmitted records a first try.
func (c *Collector) MessageSubmitted(now time.Duration, m *model.Message) {
	c.Submitted++
	c.window(now).Submitted++
	c.servedTries = append(c.servedTries, false)
	c.ranOnce = append(c.ranOnce, false)
	worth := c.scenario.Classes[m.Class].Worth
	c.spanAt(now).submitted += worth
	c.classes[m.Class].submitted += worth
}

// spanAt returns the sum of the span that a time lies in.
func (c *Collector) spanAt(at time.Duration) *worthSum {
	for len(c.spans) <= int(at/worstSpanLength) {
		c.spans = append(c.spans, worthSum{})
	}
	return &c.spans[at/worstSpanLength]
}

// MessageTurnedAway records a message that a sender had no room for.
func (c *Collector) MessageTurnedAway(now time.Duration, _ *model.Message) {
	c.TurnedAway++
	c.window(now).TurnedAway++
}

// MessageResubmitted records a later try.
func (c *Collector) MessageResubmitted(time.Duration, *model.Message) { c.Resubmitted++ }

// CallSent records a call; opened is set if a new connection is opened for it.
func (c *Collector) CallSent(now time.Duration, call *model.Call, u *receiver.Unit, opened bool) {
	c.Calls++
	c.Attempts += len(call.Messages)
	if opened {
		c.ConnectionsOpened++
	}
	w := c.window(now)
	w.Calls++
	if i, kept := c.tracked[u.Dest]; kept {
		c.BusiestDestinations[i].Calls[len(c.Series)-1]++
	}
}

// AttemptEnded records the outcome of an attempt.
func (c *Collector) AttemptEnded(now time.Duration, _ int, o rules.Outcome) {
	w := c.window(now)
	switch o {
	case rules.Errored:
		c.Errors++
		w.Errors++
	case rules.Reset:
		c.Resets++
		w.Errors++
	case rules.ConnectError:
		c.ConnectsFailed++
		w.Errors++
	case rules.TimedOut:
		c.TimedOut++
		w.TimedOut++
	case rules.Cancelled:
		c.Cancelled++
	case rules.NotSent:
		c.NotSent++
	}
}

// CallRefused records a call that a receiver refused; byLimit is set if its limit was the reason.
func (c *Collector) CallRefused(now time.Duration, u *receiver.Unit, byLimit bool) {
	w := c.window(now)
	if byLimit {
		c.RefusedByLimit++
		w.RefusedByLimit++
	} else {
		c.RefusedOtherwise++
		w.RefusedOtherwise++
	}
	if i, kept := c.tracked[u.Dest]; kept {
		c.BusiestDestinations[i].Refusals[len(c.Series)-1]++
	}
}

// MessageTookEffect records that a message took effect, or that the receiver dropped it as a repeat.
func (c *Collector) MessageTookEffect(m *model.Message, repeat bool) {
	if repeat {
		c.RepeatsDropped++
		return
	}
	c.EffectsRun++
	if c.scenario.Classes[m.Class].Effect == "once" {
		if c.ranOnce[m.FirstTry] {
			c.DuplicateEffects++
		}
		c.ranOnce[m.FirstTry] = true
	}
}

// MessageEnded records the end of a message at a sender.
func (c *Collector) MessageEnded(now time.Duration, _ int, m *model.Message, end model.End) {
	w := c.window(now)
	switch end {
	case model.Refused:
		c.Refused++
		w.Refused++
	case model.Failed:
		c.Failed++
		w.Failed++
	case model.Served:
		if c.servedTries[m.FirstTry] {
			return // an earlier delivery of the message counts
		}
		c.servedTries[m.FirstTry] = true
		c.recordDelivery(now, m, w)
	}
}

// recordDelivery records the first delivery of a message.
func (c *Collector) recordDelivery(now time.Duration, m *model.Message, w *Window) {
	took := now - m.FirstSubmitted
	c.Served++
	c.latencySeconds += took.Seconds()
	w.Served++
	if took <= c.scenario.Classes[m.Class].Aim.D() {
		c.InAim++
	}
	us := max(took.Microseconds(), 1)
	// An error means that the value is above the histogram's range. The histogram of the run leaves such values out: a
	// deadline may be up to a day. Those of windows count them as the highest value.
	_ = c.latencies.RecordValue(us)
	_ = c.windowLatencies.RecordValue(min(us, maxLatencyMicros))
	worth := Worth(&c.scenario.Classes[m.Class], took)
	c.spanAt(m.FirstSubmitted).earned += worth
	c.classes[m.Class].earned += worth
}

// Worth returns what a message earns that is delivered after the given time: its full worth within the aim. Beyond the
// aim, it halves with each further aim that passes, down to the late worth. After the deadline it is zero.
func Worth(c *scenario.Class, took time.Duration) float64 {
	switch {
	case took > c.Deadline.D():
		return 0
	case took <= c.Aim.D():
		return c.Worth
	}
	aimsLate := (took - c.Aim.D()).Seconds() / max(c.Aim.D().Seconds(), minAimSeconds)
	return c.Worth * max(c.LateWorth, math.Exp2(-aimsLate))
}

// Finish computes the derived statistics and returns the result. The overall score is the mean of Whole, Worst and
// WorstClass by the weights of the scenario's goal, less the goal's penalty for calls that limits refused.
func (c *Collector) Finish() *Result {
	c.closeWindow()
	r := &c.Result
	r.WindowSeconds = c.windowLength.Seconds()
	r.Recovery = -1
	if c.recovery.recoveredAt > 0 {
		r.Recovery = (c.recovery.recoveredAt - c.recovery.lastEnded).Seconds()
	}
	var all worthSum
	r.Worst, r.WorstClass = 1, 1
	for _, x := range c.spans {
		all.submitted += x.submitted
		all.earned += x.earned
	}
	for _, x := range c.spans {
		if x.submitted > minSpanShare*all.submitted/float64(len(c.spans)) {
			r.Worst = min(r.Worst, x.earned/x.submitted)
		}
	}
	for _, x := range c.classes {
		if x.submitted > 0 {
			r.WorstClass = min(r.WorstClass, x.earned/x.submitted)
		}
	}
	r.Whole = 1
	if all.submitted > 0 {
		r.Whole = all.earned / all.submitted
	}
	g := c.scenario.Goal
	r.G = (g.Whole*r.Whole + g.Worst*r.Worst + g.Class*r.WorstClass) / (g.Whole + g.Worst + g.Class)
	if r.Submitted > 0 {
		r.G -= g.Refuse * float64(r.RefusedByLimit) / float64(r.Submitted)
	}
	if r.Served > 0 {
		r.Mean = 1000 * c.latencySeconds / float64(r.Served)
	}
	r.P50, r.P90 = ms(c.latencies.ValueAtQuantile(50)), ms(c.latencies.ValueAtQuantile(90))
	r.P99, r.P999 = ms(c.latencies.ValueAtQuantile(99)), ms(c.latencies.ValueAtQuantile(99.9))
	return r
}
