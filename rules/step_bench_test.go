package rules

import (
	"fmt"
	"testing"
)

// BenchmarkStep is the cost of a step of one sender that knows hundreds of destinations and holds a few messages
// for some of them. Every call is answered well at the next step; no endpoint is modelled beyond that.
func BenchmarkStep(b *testing.B) {
	for _, destinations := range []int{20, 250} {
		b.Run(fmt.Sprintf("%d destinations", destinations), func(b *testing.B) {
			set := testSettings()
			set.Senders, set.MaxHeld, set.Slots = 300, 30, 4
			s := New(set)
			var entries []Entry
			for d := range destinations {
				for e := range 2 {
					entries = append(entries, Entry{Endpoint: EndpointID(10*d + e), Destination: d, Kind: 1})
				}
			}
			now := 100 * sec
			s.Step(now, []Event{Listed{Whole: true, Entries: entries}})
			var events []Event
			for n := 0; b.Loop(); n++ {
				now += 50 * ms
				id := MessageID(fmt.Sprintf("m%d", n))
				events = append(events, Arrived{ID: id, Destination: n % destinations, Class: safe, TimeLeft: 16 * sec})
				actions := s.Step(now, events)
				events = events[:0]
				for _, a := range actions {
					if a, ok := a.(Send); ok {
						events = append(events, Ended{ID: a.ID, Endpoint: a.Endpoint, Outcome: OK,
							Elapsed: 50 * ms, Over: true})
					}
				}
			}
			if len(s.held) > set.MaxHeld {
				b.Errorf("%d messages held, more than the room", len(s.held))
			}
		})
	}
}
