//go:build !race

// The race detector makes this test ten times slower and would find nothing: each run uses one goroutine. .ci/run
// runs it without the race detector.

package world

import (
	"fmt"
	"math"
	"testing"
	"time"

	"eiderhaven/lab/scenario"
	"eiderhaven/lab/sender"
	"eiderhaven/rules"
)

// passThrough is a policy that sends every message immediately, to the first listed endpoint of its destination, and
// refuses what is not delivered.
type passThrough struct{ endpoints map[int]rules.EndpointID }

func (p *passThrough) Step(_ time.Duration, events []rules.Event) (out []rules.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case rules.ListUpdate:
			for _, x := range e.Entries {
				if _, known := p.endpoints[x.Destination]; !known {
					p.endpoints[x.Destination] = x.Endpoint
				}
			}
		case rules.Arrived:
			out = append(out, rules.Send{ID: e.ID, Endpoint: p.endpoints[e.Destination]})
		case rules.AttemptEnded:
			if !e.Finished {
				out = append(out, rules.Refuse{ID: e.ID})
			}
		}
	}
	return out
}

func newPassThrough(rules.Settings) sender.Policy {
	return &passThrough{endpoints: map[int]rules.EndpointID{}}
}

// erlangB returns the loss probability of M/M/c/c at an offered load of a erlangs.
func erlangB(c int, a float64) float64 {
	b := 1.0
	for k := 1; k <= c; k++ {
		b = a * b / (float64(k) + a*b)
	}
	return b
}

// erlangC returns the probability of waiting in M/M/c at an offered load of a erlangs.
func erlangC(c int, a float64) float64 {
	b := erlangB(c, a)
	rho := a / float64(c)
	return b / (1 - rho + rho*b)
}

const theoryScenario = `
version = 1
name = "theory"
[run]
length = "%s"
window = "1h"
[senders]
count = 1
tick = "100us"
slots = 100000
max_held = 100000
[network]
one_way = { mean = "0s" }
handshakes = 0
[traffic]
rate = %g
retries = 0
[[class]]
name = "any"
aim = "60s"
deadline = "60s"
[[kind]]
name = "queue"
destinations = 1
servers = %d
queue = %d
service = { dist = "exponential", mean = "100ms" }
`

// TestTheModelMeetsTheory compares waiting times and losses of the simulator with queueing theory. Seeds are fixed;
// the tolerance of 2 % is several times the statistical error at the lengths simulated.
func TestTheModelMeetsTheory(t *testing.T) {
	const (
		tolerance = 0.02
		halfTick  = 0.05 // ms; a step waits for the next boundary of a tick of 0.1 ms
	)
	for _, row := range []struct {
		name    string
		servers int
		load    float64 // of each server
		loss    bool
		length  string
	}{
		{"M/M/1", 1, 0.4, false, "24h"}, {"M/M/1", 1, 0.5, false, "16h"}, {"M/M/1", 1, 0.7, false, "24h"},
		{"M/M/4", 4, 0.6, false, "10h"}, {"M/M/4", 4, 0.7, false, "6h"}, {"M/M/4", 4, 0.8, false, "9h"},
		{"M/M/8/8", 8, 0.5, true, "5h"}, {"M/M/8/8", 8, 0.8, true, "1h30m"}, {"M/M/8/8", 8, 1.2, true, "1h30m"},
	} {
		t.Run(fmt.Sprintf("%s at %.1f", row.name, row.load), func(t *testing.T) {
			t.Parallel()
			a := row.load * float64(row.servers)
			queue := 100_000
			if row.loss {
				queue = 0
			}
			s, err := scenario.Parse("theory", fmt.Appendf(nil, theoryScenario, row.length, 10*a, row.servers, queue))
			if err != nil {
				t.Fatal(err)
			}
			r, err := Run(s, Options{Seed: 5, Factory: newPassThrough, Workers: 1})
			if err != nil || r.Stopped != "" {
				t.Fatal(err, r.Stopped)
			}
			what, got, want := "wait, ms", r.Mean-100-halfTick, 100*erlangC(row.servers, a)/(float64(row.servers)-a)
			if row.loss {
				what, got, want = "loss", float64(r.RefusedOtherwise)/float64(r.Calls), erlangB(row.servers, a)
			}
			t.Logf("| %s | %.1f | %s | %.4f | %.4f | %+.1f %% | %d |",
				row.name, row.load, what, want, got, 100*(got/want-1), r.Submitted)
			if math.Abs(got/want-1) > tolerance {
				t.Errorf("%s %.4f, theory %.4f: off by %.1f %%", what, got, want, 100*(got/want-1))
			}
		})
	}
}
