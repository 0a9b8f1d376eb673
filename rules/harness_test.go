package rules

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// testSettings are plain settings: one kind with shared routes, one with routes apart, and one of each class.
func testSettings() Settings {
	return Settings{
		Seed: 7, Senders: 2, Tick: 5 * ms, Slots: 10, MaxHeld: 100, MaxAttempts: 6,
		ConnectTimeout: sec, KeepAlive: 10 * sec, MaxRetryAfter: 3 * sec, MaySendRetryAfter: true, MayCancel: true,
		AnswerGrace: 20 * ms, DrainGrace: sec, ColdShare: 0.2, WarmUp: 10 * sec,
		FallWindow: 2 * sec, OverloadFactor: 2, OrderPause: 500 * ms, LateHalving: true, OverShareWorth: 0.2,
		Kinds: []Kind{{Batch: 1}, {Batch: 1, RoutesApart: true}, {Batch: 4}},
		Classes: []Class{
			{Effect: Safe, Aim: 2 * sec, Deadline: 16 * sec, Worth: 1, LateWorth: 0.4},
			{Effect: AtMostOnce, Aim: 2 * sec, Deadline: 16 * sec, Worth: 1, LateWorth: 0.4},
			{Effect: Keyed, Window: 6 * sec, Aim: 2 * sec, Deadline: 16 * sec, Worth: 1, LateWorth: 0.4},
			{Effect: Safe, Aim: 2 * sec, Deadline: 16 * sec, Worth: 1, KeepOrder: true},
			{Effect: Keyed, Scope: DedupZone, Window: 6 * sec, Aim: 2 * sec, Deadline: 16 * sec, Worth: 1},
		},
	}
}

const (
	safe = iota
	once
	keyed
	ordered
	keyedZone
)

// bench drives one sender and keeps what it did.
type bench struct {
	t   *testing.T
	s   *Sender
	now time.Duration
	n   int
	log []Action
}

func newBench(t *testing.T, change func(*Settings), entries ...Entry) *bench {
	set := testSettings()
	if change != nil {
		change(&set)
	}
	b := &bench{t: t, s: New(set), now: 100 * sec}
	b.s.deactivateAfter = 1e6 * sec // tests hold on to what they look at
	if len(entries) == 0 {
		entries = []Entry{{Endpoint: 11, Destination: 1}}
	}
	b.step(ListUpdate{Whole: true, Entries: entries})
	return b
}

func (b *bench) step(events ...Event) []Action {
	b.t.Helper()
	out := b.s.Step(b.now, events)
	b.log = append(b.log, out...)
	return out
}

// wait lets time pass in steps of a tick and returns all that was done.
func (b *bench) wait(d time.Duration) []Action {
	var out []Action
	for end := b.now + d; b.now < end; {
		b.now += 5 * ms
		out = append(out, b.step(WakeUp{})...)
	}
	return out
}

func (b *bench) arrive(class int) MessageID {
	b.n++
	return MessageID(fmt.Sprintf("m%d", b.n))
}

// take hands in one message for destination 1 and returns its name and what was done.
func (b *bench) take(class int) (MessageID, []Action) {
	id := b.arrive(class)
	return id, b.step(Arrived{ID: id, Destination: 1, Class: class, TimeLeft: 16 * sec})
}

// reply is how a scripted endpoint takes an attempt: the outcome, and after how long.
type reply struct {
	o     Outcome
	after time.Duration
	wait  time.Duration

	noPlace bool
}

// run lets time pass while a script answers every attempt, and returns when calls arrived.
func (b *bench) run(d time.Duration, script func(ep EndpointID) reply) (arrived []time.Duration) {
	type due struct {
		at time.Duration
		e  Event
	}
	var pending []due
	tries := map[MessageID]int{}
	for _, m := range b.s.held {
		tries[m.id] = m.attemptCount
	}
	var before []attemptKey // out since before the run
	for key := range b.s.attempts {
		before = append(before, key)
	}
	slices.SortFunc(before, func(x, y attemptKey) int {
		return cmp.Or(cmp.Compare(x.id, y.id), cmp.Compare(x.number, y.number))
	})
	for _, key := range before {
		ep := b.s.attempts[key].call.endpoint.id
		r := script(ep)
		pending = append(pending, due{b.now + r.after, AttemptEnded{ID: key.id, Attempt: key.number, Endpoint: ep,
			Outcome: r.o, Elapsed: r.after, Finished: r.o == OK, RetryAfter: r.wait, ConnectionLimitReached: r.noPlace}})
	}
	for end := b.now + d; b.now < end; {
		b.now += 5 * ms
		events := []Event{WakeUp{}}
		rest := pending[:0:0]
		for _, p := range pending {
			if p.at <= b.now {
				events = append(events, p.e)
			} else {
				rest = append(rest, p)
			}
		}
		pending = rest
		for _, a := range b.step(events...) {
			switch a := a.(type) {
			case Send:
				r := script(a.Endpoint)
				if a.Timeout > 0 && r.after > a.Timeout {
					r.o, r.after = TimedOut, a.Timeout
				}
				pending = append(pending, due{b.now + r.after, AttemptEnded{ID: a.ID, Attempt: tries[a.ID], Endpoint: a.Endpoint,
					Outcome: r.o, Elapsed: r.after, Finished: r.o == OK, RetryAfter: r.wait, ConnectionLimitReached: r.noPlace}})
				tries[a.ID]++
				arrived = append(arrived, b.now)
			case Cancel:
				for i, p := range pending {
					if e, ok := p.e.(AttemptEnded); ok && e.ID == a.ID && e.Attempt == a.Attempt {
						e.Outcome, e.Finished = Cancelled, false
						pending[i] = due{b.now + 5*ms, e}
					}
				}
			}
		}
	}
	return arrived
}

// always is a script that gives every attempt the same reply.
func always(o Outcome, after time.Duration) func(EndpointID) reply {
	return func(EndpointID) reply { return reply{o: o, after: after} }
}

func (b *bench) end(id MessageID, attempt int, ep EndpointID, o Outcome, change ...func(*AttemptEnded)) []Action {
	e := AttemptEnded{ID: id, Attempt: attempt, Endpoint: ep, Outcome: o, Elapsed: 100 * ms, Finished: o == OK}
	for _, f := range change {
		f(&e)
	}
	return b.step(e)
}

// serve sends and answers n messages of a class one after another, so that the sender knows the endpoint.
func (b *bench) serve(n, class int, ep EndpointID) {
	b.t.Helper()
	for range n {
		id, out := b.take(class)
		if got := sends(out); len(got) != 1 {
			b.t.Fatalf("serving: %d sends, want 1", len(got))
		}
		b.wait(100 * ms)
		b.end(id, 0, ep, OK)
	}
}

// made is a call of the class that left at a time.
func (b *bench) made(ep EndpointID, class int, sent time.Duration) *call {
	return &call{endpoint: b.s.endpoint(ep), sentAt: sent, attempts: []*attempt{{message: &message{classIndex: class}}}}
}

// answered lets the sender learn of a call of the class that was answered after so long.
func (b *bench) answered(ep EndpointID, class int, took time.Duration) {
	b.s.onSuccess(b.made(ep, class, b.s.now-took), max(took, 100*ms))
}

func pick[T Action](actions []Action) []T {
	var out []T
	for _, a := range actions {
		if x, ok := a.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

func sends(actions []Action) []Send { return pick[Send](actions) }

func finals(actions []Action) int { return len(pick[Refuse](actions)) + len(pick[Fail](actions)) }
