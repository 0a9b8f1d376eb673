package rules

import (
	"fmt"
	"testing"
	"time"
)

// backlogSender drives a sender that holds many messages for one destination, half of them past their aim.
type backlogSender struct {
	s        *Sender
	now      time.Duration
	n        int     // messages so far
	held     int     // messages to be held, about
	outcome  Outcome // of all calls, in the step after the one that made them
	orderKey string
	events   []Event // for the next step
	attempts map[MessageID]int
}

const backlogDeadline = 1e6 * sec

// newBacklogSender returns one that is in a steady state. Its messages have the given order key; empty for none.
func newBacklogSender(held, maxHeld int, outcome Outcome, orderKey string) *backlogSender {
	set := testSettings()
	set.MaxHeld, set.Slots, set.MaxAttempts = maxHeld, 40, 1e6
	set.Classes[safe].KeepOrder = orderKey != ""
	set.Classes[safe].Aim, set.Classes[safe].Deadline = backlogDeadline/2, backlogDeadline
	l := &backlogSender{
		s:        New(set),
		now:      100 * sec,
		held:     held,
		outcome:  outcome,
		orderKey: orderKey,
		attempts: map[MessageID]int{},
	}
	l.step(ListUpdate{Whole: true, Entries: []Entry{{Endpoint: 1, Destination: 1}}})
	for i := range held {
		l.arrive(backlogDeadline/5 + time.Duration(i)*(backlogDeadline/5*3/time.Duration(held)))
	}
	l.step()
	for range 50 { // until as many messages leave as arrive, and outages are detected
		l.serve()
	}
	return l
}

// arrive adds a message to the events of the next step.
func (l *backlogSender) arrive(timeLeft time.Duration) {
	l.n++
	l.events = append(l.events, Arrived{
		ID:          MessageID(fmt.Sprintf("m%d", l.n)),
		Destination: 1,
		Class:       safe,
		OrderKey:    l.orderKey,
		TimeLeft:    timeLeft,
	})
}

// step makes a step. The calls that it makes end in the next one.
func (l *backlogSender) step(events ...Event) {
	l.now += 5 * ms
	next := append(l.events, events...)
	l.events = nil
	for _, a := range l.s.Step(l.now, next) {
		if a, ok := a.(Send); ok {
			l.events = append(l.events, AttemptEnded{
				ID:       a.ID,
				Attempt:  l.attempts[a.ID],
				Endpoint: a.Endpoint,
				Outcome:  l.outcome,
				Elapsed:  5 * ms,
				Finished: l.outcome == OK,
			})
			if l.attempts[a.ID]++; l.outcome == OK {
				delete(l.attempts, a.ID)
			}
		}
	}
}

// serve makes a step with one new message, or with as many as it takes to keep the number held. If calls fail and more
// messages are held than should be, one is withdrawn.
func (l *backlogSender) serve() {
	fresh := max(1, l.held-len(l.s.held))
	if l.outcome == OK {
		fresh = max(fresh, len(l.events))
	}
	for range fresh {
		l.arrive(backlogDeadline * 4 / 5)
	}
	for id := range l.s.held {
		if len(l.s.held) <= l.held || l.outcome == OK {
			break
		}
		l.events = append(l.events, Withdrawn{id})
		break
	}
	l.step()
}

// BenchmarkBacklog measures a step by the number of messages held for one destination: one that delivers as many calls
// as it may have, one that refuses connections, and one where each arrival evicts another message.
func BenchmarkBacklog(b *testing.B) {
	for _, x := range []struct {
		name    string
		maxHeld func(held int) int
		outcome Outcome
	}{
		{"healthy", func(held int) int { return 2*held + 1000 }, OK},
		{"down", func(held int) int { return 2*held + 1000 }, ConnectError},
		{"at capacity", func(held int) int { return held + held/15 }, ConnectError},
	} {
		for _, held := range []int{30, 1000, 10_000, 100_000} {
			b.Run(fmt.Sprintf("%s, %d held", x.name, held), func(b *testing.B) {
				l := newBacklogSender(held, x.maxHeld(held), x.outcome, "")
				for b.Loop() {
					l.serve()
				}
				if got := len(l.s.held); got < held-held/10-20 || got > held+held/10+20 {
					b.Errorf("%d messages held, want %d", got, held)
				}
			})
		}
	}
}

// TestStepTimeDoesNotGrowWithBacklog guards against choices that look at all messages of a destination, with or without
// an order key: they made a step with 20,000 messages take hundreds of times as long as one with 30. The limit leaves
// room for a noisy machine.
func TestStepTimeDoesNotGrowWithBacklog(t *testing.T) {
	for _, outcome := range []Outcome{OK, ConnectError, Reset} {
		for _, orderKey := range []string{"", "one"} {
			shortest := func(held int) time.Duration {
				l, best := newBacklogSender(held, 2*held+1000, outcome, orderKey), time.Hour
				for range 100 {
					start := time.Now()
					l.serve()
					best = min(best, time.Since(start))
				}
				if got := len(l.s.held); got < held*9/10 {
					t.Errorf("%d messages held, want at least %d: the steps had less to do", got, held*9/10)
				}
				return best
			}
			if small, large := shortest(30), shortest(20_000); large > 20*small {
				t.Errorf("outcome %d, order key %q: a step with 20,000 messages held takes %v, with 30 %v",
					outcome, orderKey, large, small)
			}
		}
	}
}
