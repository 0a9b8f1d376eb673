package world

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"eiderhaven/lab/margin"
	"eiderhaven/lab/scenario"
	"eiderhaven/lab/tally"
)

// recoveryRun is a run of a fleet of senders with one outage of some destinations and their cold recovery.
type recoveryRun struct {
	senders      int
	destinations int
	loadFactor   float64 // traffic over the capacity of all destinations
	outageKind   string
	at, length   time.Duration // of the outage
	struckShare  float64       // share of the destinations that are struck
	ratesListed  string        // value of senders.rates_listed
	restartAt    time.Duration // when most senders are restarted; 0: never
	seed         uint64
}

func (p recoveryRun) String() string {
	return fmt.Sprintf("%d senders, %d destinations, load %.2g, %s at %v for %v, rates %s, restart %v, seed %d",
		p.senders, p.destinations, p.loadFactor, p.outageKind, p.at, p.length, p.ratesListed, p.restartAt, p.seed)
}

// run simulates the run. A single destination serves 20 calls per second, each of several 5.
func (p recoveryRun) run(t *testing.T) *tally.Result {
	t.Helper()
	service, rate := "50ms", 20.0
	if p.destinations > 1 {
		service, rate = "200ms", 5
	}
	s := load(t, "../scenarios/hundreds.toml", "senders.count", fmt.Sprint(p.senders),
		"kind.partner.destinations", fmt.Sprint(p.destinations), "kind.partner.servers", "1",
		"kind.partner.service", `{ dist = "exponential", mean = "`+service+`" }`,
		"traffic.rate", fmt.Sprint(p.loadFactor*rate*float64(p.destinations)), "rules.cold_share", "0.2", "rules.warm_up", "10s",
		"rules.fall_term", "standing", "senders.rates_listed", p.ratesListed, "run.length", (p.at + p.length + 15*time.Second).String())
	s.Troubles = []scenario.Trouble{{
		Kind: p.outageKind,
		At:   scenario.Duration(p.at),
		For:  scenario.Duration(p.length),
		Part: p.struckShare,
		Size: p.size(),
		By:   "destination",
	}}
	if p.restartAt > 0 {
		restart := restartMost
		restart.At = scenario.Duration(p.restartAt)
		s.Troubles = append(s.Troubles, restart)
	}
	r, err := Run(s, Options{Seed: p.seed, Workers: 1})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// size returns the size of the fault: every third outage of kind errors fails only some of the calls.
func (p recoveryRun) size() float64 {
	if p.outageKind == "errors" && p.seed%3 == 0 {
		return 0.6
	}
	return 1
}

// check simulates the run and fails the test for each violation.
func (p recoveryRun) check(t *testing.T) {
	t.Helper()
	for _, b := range p.run(t).Violations {
		t.Errorf("%v: %v\n\t%s", p, b, strings.Join(b.Trail, "\n\t"))
	}
}

// TestSlowStartOfManyDestinations simulates runs in the shape of an incident: a third of forty small destinations is
// out from second 4 on, while the sender processes are young, or hangs for 9 s from second 33 on.
func TestSlowStartOfManyDestinations(t *testing.T) {
	for seed := uint64(900); seed < 912; seed++ {
		for _, p := range []recoveryRun{
			{senders: 41, destinations: 40, loadFactor: 0.5, outageKind: "crash", at: 4 * time.Second,
				length: 7190 * time.Millisecond, struckShare: 0.33, ratesListed: "rough", seed: seed},
			{senders: 41, destinations: 40, loadFactor: 0.5, outageKind: "hang", at: 33 * time.Second,
				length: 9 * time.Second, struckShare: 0.33, ratesListed: "rough", seed: seed},
		} {
			t.Run(p.String(), func(t *testing.T) {
				t.Parallel()
				p.check(t)
			})
		}
	}
}

// TestHangsThatEndTogether guards against the overload that seed 1020 of the soak found: most destinations hang, the
// slots of most senders are full of calls to them, and all hangs end in the same millisecond. Eight of the nine
// senders whose calls then overloaded a destination within 10 ms had seen a single call fail there, up to 9 s before
// ("from=healthy to=probation failures=2 failing_for=10.9s" at the overload), because one failure left an endpoint
// healthy and outside slow start. No margin of a cold recovery may reach 1, at which rule 4 is broken.
func TestHangsThatEndTogether(t *testing.T) {
	for _, row := range []struct {
		senders    int
		loadFactor float64
	}{{41, 0.5}, {41, 1}, {120, 1}} {
		t.Run(fmt.Sprint(row.senders, " senders, load ", row.loadFactor), func(t *testing.T) {
			t.Parallel()
			var margins []float64
			for seed := uint64(900); seed < 924; seed++ {
				p := recoveryRun{senders: row.senders, destinations: 40, loadFactor: row.loadFactor, outageKind: "hang",
					at: 33 * time.Second, length: 8500 * time.Millisecond, struckShare: 0.6, ratesListed: "rough", seed: seed}
				r := p.run(t)
				margins = append(margins, r.Margins...)
				for _, b := range r.Violations {
					t.Errorf("%v: %v\n\t%s", p, b, strings.Join(b.Trail, "\n\t"))
				}
			}
			got := margin.Summarize(margins)
			t.Log(got)
			if got.Max >= 1 {
				t.Errorf("%v: want all margins below 1", got)
			}
		})
	}
}

// drawRecoveryRun draws the number of senders, the load, the outage, the age of the processes and what the list
// states.
func drawRecoveryRun(seed uint64) recoveryRun {
	r := rand.New(rand.NewPCG(seed, 45))
	oneOf := func(values ...string) string { return values[r.IntN(len(values))] }
	p := recoveryRun{
		seed:         seed,
		senders:      int(2 * math.Exp(r.Float64()*math.Log(500))),
		destinations: 1,
		struckShare:  1,
		loadFactor:   0.5 + r.Float64(),
		outageKind:   oneOf("crash", "errors", "shut", "hang", "vanish"),
		ratesListed:  oneOf("none", "rough", "exact"),
		at:           []time.Duration{4 * time.Second, 15 * time.Second, 33 * time.Second}[r.IntN(3)],
		length:       time.Duration((2 + 28*r.Float64()*r.Float64()) * float64(time.Second)),
	}
	if r.IntN(2) == 0 && p.senders <= 300 {
		p.destinations, p.struckShare = 40, 0.33
	}
	if r.IntN(3) == 0 { // before, during or after the outage
		p.restartAt = p.at + time.Duration((r.Float64()*1.6-0.3)*float64(p.length))
	}
	return p
}

// TestSlowStartKeepsTheBudget simulates random recovery runs, 150 by default; EIDERHAVEN_GRID sets another number.
func TestSlowStartKeepsTheBudget(t *testing.T) {
	runs, firstSeed := 150, uint64(1)
	if n, err := strconv.Atoi(os.Getenv("EIDERHAVEN_GRID")); err == nil {
		runs, firstSeed = n, 1000
	}
	var mu sync.Mutex
	broken, collapsed, served := 0, 0, 0.0
	var margins []float64
	t.Run("runs", func(t *testing.T) {
		for i := range uint64(runs) {
			p := drawRecoveryRun(firstSeed + i)
			t.Run(strconv.FormatUint(p.seed, 10), func(t *testing.T) {
				t.Parallel()
				r := p.run(t)
				mu.Lock()
				defer mu.Unlock()
				collapsed += min(r.UnitsOverloaded, 1)
				served += r.Whole
				margins = append(margins, r.Margins...)
				if len(r.Violations) > 0 {
					broken++
					t.Errorf("%v: %v", p, r.Violations[0])
				}
			})
		}
	})
	t.Logf("%d runs: rule 4 broken in %d, units collapsed in %d, mean served %.3f",
		runs, broken, collapsed, served/float64(runs))
	t.Log(margin.Summarize(margins))
}
