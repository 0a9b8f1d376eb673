// This file counts, in the lab, how much of its traffic a sender meets for the first time.

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

// met counts calls of a sender by what it can know of their endpoint.
type met struct {
	sends, first, lapsed, lost atomic.Int64
}

// watcher is a policy that notes when its sender last called an endpoint.
type watcher struct {
	sender.Policy
	met  *met
	last map[rules.EndpointID]time.Duration
}

const paceLapse = 15 * time.Second // as in the module: what is known of a pace then no longer holds

func (w *watcher) Step(now time.Duration, events []rules.Event) []rules.Action {
	for _, e := range events {
		if e, ok := e.(rules.AttemptEnded); ok && (e.Outcome == rules.TimedOut || e.Outcome == rules.Reset || e.Outcome == rules.ConnectError || e.Outcome == rules.Cancelled) {
			w.met.lost.Add(1)
		}
	}
	actions := w.Policy.Step(now, events)
	for _, a := range actions {
		if a, ok := a.(rules.Send); ok {
			last, known := w.last[a.Endpoint]
			w.met.sends.Add(1)
			if !known {
				w.met.first.Add(1)
			}
			if !known || now-last >= paceLapse {
				w.met.lapsed.Add(1)
			}
			w.last[a.Endpoint] = now
		}
	}
	return actions
}

// BenchmarkSparse plays lab/scenarios/sparse.toml for 480, 64, 8 and 1 senders of each destination: as many as the settings tell,
// and, where clients choose a few of the 480 for each destination, with settings that still tell 480. Simulated.
func BenchmarkSparse(b *testing.B) {
	for b.Loop() {
		for _, row := range []struct{ meet, told int }{{480, 480}, {64, 64}, {8, 8}, {1, 1}, {64, 480}, {8, 480}, {1, 480}} {
			lines := make([]string, 4)
			var wg sync.WaitGroup
			for seed := range lines {
				wg.Go(func() { lines[seed] = sparse(b, row.meet, row.told, uint64(seed+1)) })
			}
			wg.Wait()
			for seed, line := range lines {
				say("%3d meet, %3d told, seed %d: %s", row.meet, row.told, seed+1, line)
			}
		}
	}
	b.ReportMetric(0, "ns/op")
}

func sparse(b *testing.B, meet, told int, seed uint64) string {
	s, err := scenario.Load("../../lab/scenarios/sparse.toml")
	if err != nil {
		b.Error(err)
		return ""
	}
	s.Senders.Count = meet
	var m met
	r, err := world.Run(s, world.Options{Seed: seed, Workers: 1, Factory: func(set rules.Settings) sender.Policy {
		set.Senders = told
		return &watcher{Policy: rules.New(set), met: &m, last: map[rules.EndpointID]time.Duration{}}
	}})
	if err != nil {
		b.Error(err)
		return ""
	}
	n := float64(m.sends.Load())
	return fmt.Sprintf("calls %.0f (%.3f a message), first %.3f, first within 15 s %.3f, handshakes %.3f, lost %.4f, served %.4f, outages %d, fallen %d, rules broken %d",
		n, n/float64(r.Asked), float64(m.first.Load())/n, float64(m.lapsed.Load())/n, float64(r.Opened)/float64(r.Calls),
		float64(m.lost.Load())/n, float64(r.Served)/float64(r.Asked), r.Outages, r.Fallen, r.Broken)
}
