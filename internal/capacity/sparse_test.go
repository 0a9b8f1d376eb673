// This file measures in a simulation how many of a sender's calls go to endpoints of which it knows nothing yet.

package capacity

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"eiderhaven/lab/scenario"
	"eiderhaven/lab/sender"
	"eiderhaven/lab/world"
	"eiderhaven/rules"
)

// callCounts counts the calls of all senders by what a sender can know of the endpoint.
type callCounts struct {
	calls, firstCalls, withoutRecentCall, lostCalls atomic.Int64
}

// countingPolicy wraps a sender's policy. It counts its calls and records when it last called each endpoint.
type countingPolicy struct {
	sender.Policy
	counts   *callCounts
	lastCall map[rules.EndpointID]time.Duration
}

// limitExpiry has the value of the constant in package rules: what a sender has learned of a limit expires after it.
const limitExpiry = 15 * time.Second

func (p *countingPolicy) Step(now time.Duration, events []rules.Event) []rules.Action {
	for _, event := range events {
		ended, ok := event.(rules.AttemptEnded)
		if !ok {
			continue
		}
		switch ended.Outcome {
		case rules.TimedOut, rules.Reset, rules.ConnectError, rules.Cancelled:
			p.counts.lostCalls.Add(1)
		}
	}
	actions := p.Policy.Step(now, events)
	for _, action := range actions {
		send, ok := action.(rules.Send)
		if !ok {
			continue
		}
		last, known := p.lastCall[send.Endpoint]
		p.counts.calls.Add(1)
		if !known {
			p.counts.firstCalls.Add(1)
		}
		if !known || now-last >= limitExpiry {
			p.counts.withoutRecentCall.Add(1)
		}
		p.lastCall[send.Endpoint] = now
	}
	return actions
}

// BenchmarkSparse simulates lab/scenarios/sparse.toml with 480, 64, 8 and 1 senders for each destination. The settings
// either give the senders this number, or 480, as in a fleet of 480 where clients choose a few senders for each
// destination.
func BenchmarkSparse(b *testing.B) {
	const seeds = 4
	rows := []struct{ senders, configured int }{{480, 480}, {64, 64}, {8, 8}, {1, 1}, {64, 480}, {8, 480}, {1, 480}}
	for b.Loop() {
		for _, row := range rows {
			lines := make([]string, seeds)
			var wg sync.WaitGroup
			for i := range lines {
				wg.Go(func() { lines[i] = runSparse(b, row.senders, row.configured, uint64(i+1)) })
			}
			wg.Wait()
			for i, line := range lines {
				printResult("%3d meet, %3d told, seed %d: %s", row.senders, row.configured, i+1, line)
			}
		}
	}
	b.ReportMetric(0, "ns/op")
}

// runSparse runs the scenario with this number of senders, whose settings give another number, and returns the results
// as a line of text.
func runSparse(b *testing.B, senders, configured int, seed uint64) string {
	s, err := scenario.Load("../../lab/scenarios/sparse.toml")
	if err != nil {
		b.Error(err)
		return ""
	}
	s.Senders.Count = senders
	var counts callCounts
	newPolicy := func(settings rules.Settings) sender.Policy {
		settings.Senders = configured
		return &countingPolicy{
			Policy:   rules.New(settings),
			counts:   &counts,
			lastCall: map[rules.EndpointID]time.Duration{},
		}
	}
	r, err := world.Run(s, world.Options{Seed: seed, Workers: 1, Factory: newPolicy})
	if err != nil {
		b.Error(err)
		return ""
	}
	calls := float64(counts.calls.Load())
	return fmt.Sprintf("calls %.0f (%.3f a message), first %.3f, first within 15 s %.3f, handshakes %.3f, lost %.4f, "+
		"served %.4f, outages %d, fallen %d, rules broken %d",
		calls, calls/float64(r.Submitted), float64(counts.firstCalls.Load())/calls, float64(counts.withoutRecentCall.Load())/calls,
		float64(r.ConnectionsOpened)/float64(r.Calls), float64(counts.lostCalls.Load())/calls, float64(r.Served)/float64(r.Submitted),
		r.Outages, r.UnitsOverloaded, r.ViolationCount)
}
