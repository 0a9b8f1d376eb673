package world

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"eiderhaven/lab/margin"
	"eiderhaven/lab/scenario"
)

// smallRun is a run of a fleet with an outage of most of its small destinations, which then recover cold.
type smallRun struct {
	seed        uint64
	senders     int
	outageKind  string
	length      time.Duration // of the outage
	rate        int           // messages a second, over all senders
	slots       int
	effect      string // of the class that may wait longest
	ratesListed string
}

func (p smallRun) String() string {
	return fmt.Sprintf("seed %d: %d senders, %s for %v, %d messages a second, %d slots, effect %s, rates listed %s",
		p.seed, p.senders, p.outageKind, p.length, p.rate, p.slots, p.effect, p.ratesListed)
}

// scenario returns the run's scenario, which ends once the destinations must have warmed up.
func (p smallRun) scenario(t *testing.T) *scenario.Scenario {
	t.Helper()
	const at, afterReturn = 20 * time.Second, 16 * time.Second
	s := load(t, "../scenarios/cold-small.toml", "senders.count", strconv.Itoa(p.senders), "senders.slots", strconv.Itoa(p.slots),
		"traffic.rate", strconv.Itoa(p.rate), "class.order-confirm.effect", p.effect, "senders.rates_listed", p.ratesListed,
		"run.length", (at + p.length + afterReturn).String())
	s.Troubles = []scenario.Trouble{{
		Kind: p.outageKind,
		On:   "small",
		At:   scenario.Duration(at),
		For:  scenario.Duration(p.length),
		Part: 0.6,
		Size: 1, // of the calls
		By:   "destination",
	}}
	return s
}

// TestSmallDestinationsAfterAHang guards against a small destination that comes back cold and is pushed over by senders that saw
// its outage: those of a fleet of two to nine gave up calls there, took it for healthy, and sent it all that had waited as it
// came back. It plays the outages that a call given up is all the evidence of.
func TestSmallDestinationsAfterAHang(t *testing.T) {
	for _, kind := range []string{"hang", "vanish"} {
		for _, senders := range []int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 48} {
			t.Run(fmt.Sprint(senders, " senders, ", kind), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(4) {
					p := smallRun{seed: seed, senders: senders, outageKind: kind, length: 8 * time.Second, rate: 47, slots: 24,
						effect: "keyed", ratesListed: "none"}
					r, err := Run(p.scenario(t), Options{Seed: seed, Workers: 1})
					if err != nil {
						t.Fatal(err)
					}
					for _, b := range r.Violations {
						t.Errorf("%v: %v\n\t%s", p, b, strings.Join(b.Trail, "\n\t"))
					}
					if got := margin.Summarize(r.Margins); got.Max >= 1 {
						t.Errorf("%v: %v, want all below 1", p, got)
					}
				}
			})
		}
	}
}
