package rules

import (
	"fmt"
	"testing"
	"time"
)

// pile is a sender that holds so many messages for one destination, as many of them late as not. Each step brings one more.
type pile struct {
	s      *Sender
	now    time.Duration
	n      int
	held   int
	why    Outcome // with which calls end, a step after they were made
	key    string
	events []Event
	tries  map[MessageID]int
}

const pileLife = 1e6 * sec

func newPile(held, room int, why Outcome) *pile { return newPileOf(held, room, why, "") }

// newPileOf is one whose messages keep the order of a key, if one is given.
func newPileOf(held, room int, why Outcome, key string) *pile {
	set := testSettings()
	set.MaxHeld, set.Slots, set.MaxAttempts = room, 40, 1e6
	set.Classes[safe].KeepOrder = key != ""
	set.Classes[safe].Aim, set.Classes[safe].Deadline = pileLife/2, pileLife
	p := &pile{s: New(set), now: 100 * sec, held: held, why: why, key: key, tries: map[MessageID]int{}}
	p.step(ListUpdate{Whole: true, Entries: []Entry{{Endpoint: 1, Destination: 1}}})
	for i := range held {
		p.arrive(pileLife/5 + time.Duration(i)*(pileLife/5*3/time.Duration(held)))
	}
	p.step()
	for range 50 { // until what comes is what goes, and what is down is seen to be
		p.serve()
	}
	return p
}

func (p *pile) arrive(left time.Duration) {
	p.n++
	p.events = append(p.events, Arrived{ID: MessageID(fmt.Sprintf("m%d", p.n)), Destination: 1, Class: safe, OrderKey: p.key, TimeLeft: left})
}

// step ends all calls that are out. Where it is more than is to be held, one that waits is withdrawn.
func (p *pile) step(events ...Event) {
	p.now += 5 * ms
	next := append(p.events, events...)
	p.events = nil
	for _, a := range p.s.Step(p.now, next) {
		if a, ok := a.(Send); ok {
			p.events = append(p.events, AttemptEnded{ID: a.ID, Attempt: p.tries[a.ID], Endpoint: a.Endpoint, Outcome: p.why,
				Elapsed: 5 * ms, Finished: p.why == OK})
			if p.tries[a.ID]++; p.why == OK {
				delete(p.tries, a.ID)
			}
		}
	}
}

// serve is one step with as many new messages as calls ended well, or one more and one withdrawn.
func (p *pile) serve() {
	fresh := max(1, p.held-len(p.s.held))
	if p.why == OK {
		fresh = max(fresh, len(p.events))
	}
	for range fresh {
		p.arrive(pileLife * 4 / 5)
	}
	for id := range p.s.held {
		if len(p.s.held) <= p.held || p.why == OK {
			break
		}
		p.events = append(p.events, Withdrawn{id})
		break
	}
	p.step()
}

var piles = []int{30, 1000, 10_000, 100_000}

// BenchmarkBacklog is the cost of a step over what is held for one destination: one that serves, with as many calls a step as it
// may have, one that refuses connections, and a full room, in which each arrival puts another message out.
func BenchmarkBacklog(b *testing.B) {
	for _, x := range []struct {
		name string
		room func(held int) int
		why  Outcome
	}{
		{"healthy", func(held int) int { return 2*held + 1000 }, OK},
		{"down", func(held int) int { return 2*held + 1000 }, ConnectError},
		{"full room", func(held int) int { return held + held/15 }, ConnectError},
	} {
		for _, held := range piles {
			b.Run(fmt.Sprintf("%s, %d held", x.name, held), func(b *testing.B) {
				p := newPile(held, x.room(held), x.why)
				for b.Loop() {
					p.serve()
				}
				if got := len(p.s.held); got < held-held/10-20 || got > held+held/10+20 {
					b.Errorf("%d messages held, want %d", got, held)
				}
			})
		}
	}
}

// TestWhatIsHeldForOneDestinationCostsLittle guards against choices that look at all of a destination's messages, also where
// they keep the order of one key: they made a step with 20,000 of them cost hundreds of times one with 30. The bound leaves room
// for a noisy machine.
func TestWhatIsHeldForOneDestinationCostsLittle(t *testing.T) {
	for _, why := range []Outcome{OK, ConnectError, Reset} {
		for _, key := range []string{"", "one"} {
			quickest := func(held int) time.Duration {
				p, best := newPileOf(held, 2*held+1000, why, key), time.Hour
				for range 100 {
					began := time.Now()
					p.serve()
					best = min(best, time.Since(began))
				}
				if got := len(p.s.held); got < held*9/10 {
					t.Errorf("%d messages held, want %d: the steps had less to do", got, held)
				}
				return best
			}
			if small, large := quickest(30), quickest(20_000); large > 20*small {
				t.Errorf("calls that end as %d, key %q: a step with 20,000 held takes %v, with 30 %v", why, key, large, small)
			}
		}
	}
}
