package rules

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// A model of many senders before one endpoint that is down for a while and returns cold, in virtual time: each sender steps at
// its own ticks and knows only its own calls. It counts what arrives within each span in which a cold endpoint can be
// pushed over, from all senders together.

// coldDay is one day of the model.
type coldDay struct {
	senders  int
	seed     uint64
	capacity float64 // calls a second when warm, of all senders
	load     float64 // of it, as arrivals
	outage   string  // how calls fail meanwhile
	listed   bool    // the list tells the capacity, up to half off
}

const (
	downAt   = 20 * sec
	downFor  = 8 * sec
	coldEnds = 24 * sec // after the return
)

// coldResult is the worst span after the return.
type coldResult struct {
	calls  int
	budget float64 // what the endpoint can bear then, by the settings
	told   float64 // share of the calls that came from senders which had seen the outage
	all    int     // calls after the return
}

// excess is by how much the span is over its budget and what is put down to chance, as a ratio.
func (r coldResult) excess() float64 {
	return float64(r.calls) / (r.budget + 2*math.Sqrt(r.budget) + 2)
}

type coldSender struct {
	s      *Sender
	events []Event
	wakeAt time.Duration
	next   time.Duration // arrival
	told   bool
	n      int
}

type coldEvent struct {
	at time.Duration
	to int
	e  Event
}

// play runs the day and returns the worst span.
func (d coldDay) play() (worst coldResult) {
	rng := rand.New(rand.NewPCG(d.seed, uint64(d.senders)))
	var senders []*coldSender
	hint := d.capacity * (0.5 + rng.Float64())
	gap := func() time.Duration {
		return seconds(rng.ExpFloat64() * float64(d.senders) / (d.load * d.capacity))
	}
	for i := range d.senders {
		set := testSettings()
		set.Senders, set.Seed, set.RatesListed, set.Slots = d.senders, d.seed*1000+uint64(i), d.listed, 6
		c := &coldSender{s: New(set), wakeAt: never, next: gap()}
		c.events = append(c.events, Listed{Whole: true, Entries: []Entry{{Endpoint: 1, Destination: 1, ListedRate: hint}}})
		senders = append(senders, c)
	}
	pending := map[time.Duration][]coldEvent{}
	type arrival struct {
		at   time.Duration
		told bool
	}
	var calls []arrival
	tick := 5 * ms
	for now := time.Duration(0); now < downAt+downFor+coldEnds; now += tick {
		for _, p := range pending[now] {
			senders[p.to].events = append(senders[p.to].events, p.e)
		}
		delete(pending, now)
		for i, c := range senders {
			for ; c.next <= now; c.next += gap() {
				c.n++
				c.events = append(c.events, Arrived{ID: MessageID(fmt.Sprint(i, "-", c.n)), Destination: 1, Class: c.n % 2, TimeLeft: 12 * sec})
			}
			if len(c.events) == 0 && now < c.wakeAt {
				continue
			}
			if now >= c.wakeAt {
				c.events, c.wakeAt = append(c.events, Woke{}), never
			}
			events := c.events
			c.events = nil
			for _, a := range c.s.Step(now+100*sec, events) {
				switch a := a.(type) {
				case WakeAfter:
					c.wakeAt = min(c.wakeAt, now+a.After)
				case Send:
					m := c.s.held[a.ID]
					num := m.tries - 1
					at := now + 20*ms
					end, took := OK, 60*ms+seconds(rng.ExpFloat64()*0.03)
					var wait time.Duration
					if at >= downAt && at < downAt+downFor {
						end, took, wait = d.fails(at, a.Timeout)
						c.told = true // it will have seen it fail by the return, or sees it late
					} else if at >= downAt+downFor {
						calls = append(calls, arrival{at, c.told})
					}
					due := (now + took).Truncate(tick) + tick
					pending[due] = append(pending[due], coldEvent{due, i, Ended{ID: a.ID, Attempt: num, Endpoint: 1, Outcome: end,
						Elapsed: due - now, Over: end == OK, Wait: wait}})
				}
			}
		}
	}
	set := testSettings()
	worst = coldResult{budget: 1, all: len(calls)}
	first := 0
	for i, c := range calls {
		for calls[first].at < c.at-set.FallWindow {
			first++
		}
		warm := (c.at - downAt - downFor).Seconds() / set.WarmUp.Seconds()
		if warm >= 1 {
			break // no longer cold
		}
		r := coldResult{calls: i - first + 1, budget: set.OverloadFactor * d.capacity * (set.ColdShare + (1-set.ColdShare)*warm) * set.FallWindow.Seconds()}
		for _, x := range calls[first : i+1] {
			if x.told {
				r.told += 1 / float64(r.calls)
			}
		}
		if r.excess() > worst.excess() {
			r.all = worst.all
			worst = r
		}
	}
	return worst
}

// fails is how a call ends during the outage.
func (d coldDay) fails(at, timeout time.Duration) (Outcome, time.Duration, time.Duration) {
	left := downAt + downFor - at
	switch d.outage {
	case "refused":
		return ConnectError, 40 * ms, 0
	case "errors":
		return Errored, 60 * ms, 0
	case "shut":
		return Full, 40 * ms, 0
	case "told":
		return Full, 40 * ms, left
	}
	if timeout == 0 || timeout > 12*sec {
		timeout = 12 * sec
	}
	return TimedOut, timeout, 0
}

// check plays some seeds: no span after the return over what is allowed, whoever sent it. Where whole is false the rule
// counts: no such span of which two thirds came from senders that had seen the outage.
func (d coldDay) check(t *testing.T, whole bool) {
	t.Helper()
	for seed := range uint64(6) {
		d.seed, d.listed = seed, seed%2 == 0
		r := d.play()
		if r.excess() > 1 && (whole || r.told > 2.0/3) {
			t.Errorf("%d senders, %s, seed %d: %d calls in a span of budget %.1f, %.2f times what is allowed, %.2f of them from senders that had seen it",
				d.senders, d.outage, seed, r.calls, r.budget, r.excess(), r.told)
		}
		if r.all < 40 { // of some 340 that are handed in
			t.Errorf("%d senders, %s, seed %d: %d calls after the return, the model does not serve", d.senders, d.outage, seed, r.all)
		}
	}
}

var outages = []string{"refused", "errors", "shut", "told", "silent"}

// What all senders together send to an endpoint that returns cold stays, in every span in which it could be pushed over, within
// its budget N and the 2 x root of N + 2 that the platform puts down to chance. With 300, each of which sees next to nothing, the
// fresh messages of those that saw no outage come near it, and the rule counts.
func TestColdRampOfAFleet(t *testing.T) {
	for _, n := range []int{2, 12, 13, 20, 30, 31, 45, 300} {
		for _, how := range outages {
			coldDay{senders: n, capacity: 20, load: 0.7, outage: how}.check(t, n < 300)
		}
	}
}

// The same for a hundred and for three hundred, under more load, and the sum whoever sent it.
func TestColdRampOfHundreds(t *testing.T) {
	for _, how := range outages {
		coldDay{senders: 300, capacity: 20, load: 0.7, outage: how}.check(t, true)
		coldDay{senders: 100, capacity: 20, load: 0.9, outage: how}.check(t, true)
		coldDay{senders: 300, capacity: 60, load: 0.9, outage: how}.check(t, true)
	}
}
