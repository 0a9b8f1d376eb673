package world

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
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
	size        float64       // share of the calls that fail
	length      time.Duration // of the outage
	rate        int           // messages a second, over all senders
	slots       int
	effect      string // of the class that may wait longest
	ratesListed string
}

func (p smallRun) String() string {
	return fmt.Sprintf("seed %d: %d senders, %s of %v for %v, %d messages a second, %d slots, effect %s, rates listed %s",
		p.seed, p.senders, p.outageKind, p.size, p.length, p.rate, p.slots, p.effect, p.ratesListed)
}

// drawSmallRun draws the size of the fleet, the outage, the demand and the settings.
func drawSmallRun(seed uint64) smallRun {
	r := rand.New(rand.NewPCG(seed, 74))
	oneOf := func(values ...string) string { return values[r.IntN(len(values))] }
	p := smallRun{
		seed:        seed,
		senders:     2 + r.IntN(12),
		outageKind:  oneOf("hang", "hang", "vanish", "vanish", "crash", "errors", "refusals", "shut", "lost_answers"),
		size:        1,
		length:      time.Duration(6000+r.IntN(14001)) * time.Millisecond,
		rate:        25 + r.IntN(46),
		slots:       8 + r.IntN(53),
		effect:      oneOf("keyed", "once", "safe"),
		ratesListed: oneOf("none", "rough", "exact"),
	}
	if r.IntN(8) == 0 {
		p.senders = []int{1, 24, 48}[r.IntN(3)]
	}
	return p
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
		Size: p.size,
		By:   "destination",
	}}
	return s
}

// TestSmallDestinationsAreNotPushedOver guards against a small destination that comes back cold and is pushed over by
// senders that saw its outage: those of a fleet of two to nine gave up calls there, took it for healthy, and sent it all
// that had waited as it came back. It simulates 400 random runs; EIDERHAVEN_GRID sets another number.
func TestSmallDestinationsAreNotPushedOver(t *testing.T) {
	runs, firstSeed := 400, uint64(1)
	if n, err := strconv.Atoi(os.Getenv("EIDERHAVEN_GRID")); err == nil {
		runs, firstSeed = n, 10_000
	}
	var mu sync.Mutex
	broken, served := 0, 0.0
	var margins []float64
	t.Run("runs", func(t *testing.T) {
		for i := range uint64(runs) {
			p := drawSmallRun(firstSeed + i)
			t.Run(strconv.FormatUint(p.seed, 10), func(t *testing.T) {
				t.Parallel()
				r, err := Run(p.scenario(t), Options{Seed: p.seed, Workers: 1})
				if err != nil {
					t.Fatal(err)
				}
				mu.Lock()
				defer mu.Unlock()
				served += r.Whole
				margins = append(margins, r.Margins...)
				if len(r.Violations) > 0 {
					broken++
					t.Errorf("%v: %v\n\t%s", p, r.Violations[0], strings.Join(r.Violations[0].Trail, "\n\t"))
				}
			})
		}
	})
	got := margin.Summarize(margins)
	t.Logf("%d runs: rules broken in %d, mean served %.4f, %v", runs, broken, served/float64(runs), got)
	const maxMean = 0.5 // of the margins
	if got.Mean >= maxMean {
		t.Errorf("%v: want a mean below %v", got, maxMean)
	}
}

// TestSmallDestinationsAfterAHang makes the checks of TestSmallDestinationsAreNotPushedOver at each size of fleet, behind the
// outages that a call given up is all the evidence of.
func TestSmallDestinationsAfterAHang(t *testing.T) {
	for _, kind := range []string{"hang", "vanish"} {
		for _, senders := range []int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 48} {
			t.Run(fmt.Sprint(senders, " senders, ", kind), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(4) {
					p := smallRun{seed: seed, senders: senders, outageKind: kind, size: 1, length: 8 * time.Second, rate: 47,
						slots: 24, effect: "keyed", ratesListed: "none"}
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

// TestSmallDestinationsInHardCases guards against rule 4 being broken where a sender learns of an outage late or in part: a
// single sender that gives up its calls behind the return, and an outage in which two of five calls are answered.
func TestSmallDestinationsInHardCases(t *testing.T) {
	for name, p := range map[string]smallRun{
		"single-sender": {seed: 10138, senders: 1, outageKind: "vanish", size: 1, length: 13_668 * time.Millisecond, rate: 69,
			slots: 49, effect: "safe", ratesListed: "none"},
		"answers-lost-in-part": {seed: 3, senders: 2, outageKind: "lost_answers", size: 0.6, length: 8 * time.Second, rate: 47,
			slots: 24, effect: "keyed", ratesListed: "none"},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := Run(p.scenario(t), Options{Seed: p.seed, Workers: 1})
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range r.Violations {
				t.Errorf("%v: %v\n\t%s", p, b, strings.Join(b.Trail, "\n\t"))
			}
		})
	}
}
