// Drives a single sender for the tests of this package: settings, a bench that steps the sender through time, and
// scripted endpoints.

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

// testSettings returns plain settings with three kinds of destination (with a shared limit, with routes apart, and with
// calls of up to four messages) and the classes that are numbered below.
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

// Classes of testSettings.
const (
	safe = iota
	atMostOnce
	keyed
	ordered
	keyedZone
)

// bench drives one sender and records its actions.
type bench struct {
	t            *testing.T
	s            *Sender
	now          time.Duration
	messageCount int
	actions      []Action
}

// newBench returns a bench whose sender has been given a list of entries, by default endpoint 11 of destination 1.
func newBench(t *testing.T, change func(*Settings), entries ...Entry) *bench {
	settings := testSettings()
	if change != nil {
		change(&settings)
	}
	b := &bench{t: t, s: New(settings), now: 100 * sec}
	b.s.deactivateAfter = 1e6 * sec // tests keep pointers to active destinations
	if len(entries) == 0 {
		entries = []Entry{{Endpoint: 11, Destination: 1}}
	}
	b.step(ListUpdate{Whole: true, Entries: entries})
	return b
}

func (b *bench) step(events ...Event) []Action {
	b.t.Helper()
	out := b.s.Step(b.now, events)
	b.actions = append(b.actions, out...)
	return out
}

// wait lets time pass in steps of a tick and returns all actions.
func (b *bench) wait(d time.Duration) []Action {
	var out []Action
	for end := b.now + d; b.now < end; {
		b.now += 5 * ms
		out = append(out, b.step(WakeUp{})...)
	}
	return out
}

// newMessageID returns the IDs m1, m2 and so on.
func (b *bench) newMessageID() MessageID {
	b.messageCount++
	return MessageID(fmt.Sprintf("m%d", b.messageCount))
}

// submit submits a message to destination 1 and returns its ID and the actions that follow.
func (b *bench) submit(class int) (MessageID, []Action) {
	id := b.newMessageID()
	return id, b.step(Arrived{ID: id, Destination: 1, Class: class, TimeLeft: 16 * sec})
}

// reply is how and when a scripted endpoint ends an attempt.
type reply struct {
	outcome    Outcome
	after      time.Duration
	retryAfter time.Duration

	connectionLimitReached bool
}

// ended returns the event of an attempt that ended with the reply.
func (r reply) ended(id MessageID, number int, endpoint EndpointID) AttemptEnded {
	return AttemptEnded{
		ID:                     id,
		Attempt:                number,
		Endpoint:               endpoint,
		Outcome:                r.outcome,
		Elapsed:                r.after,
		Finished:               r.outcome == OK,
		RetryAfter:             r.retryAfter,
		ConnectionLimitReached: r.connectionLimitReached,
	}
}

// run lets time pass while a script answers every attempt, and returns the times at which messages were sent. The
// script also answers attempts that were in flight before.
func (b *bench) run(d time.Duration, script func(endpoint EndpointID) reply) (sentAt []time.Duration) {
	var pending []pendingEvent
	attempts := map[MessageID]int{}
	for _, m := range b.s.held {
		attempts[m.id] = m.attemptCount
	}
	var inFlight []attemptKey
	for key := range b.s.attempts {
		inFlight = append(inFlight, key)
	}
	slices.SortFunc(inFlight, func(x, y attemptKey) int {
		return cmp.Or(cmp.Compare(x.id, y.id), cmp.Compare(x.number, y.number))
	})
	for _, key := range inFlight {
		endpoint := b.s.attempts[key].call.endpoint.id
		r := script(endpoint)
		pending = append(pending, pendingEvent{b.now + r.after, r.ended(key.id, key.number, endpoint)})
	}
	for end := b.now + d; b.now < end; {
		b.now += 5 * ms
		events := []Event{WakeUp{}}
		rest := pending[:0:0]
		for _, p := range pending {
			if p.at <= b.now {
				events = append(events, p.event)
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
					r.outcome, r.after = TimedOut, a.Timeout
				}
				pending = append(pending, pendingEvent{b.now + r.after, r.ended(a.ID, attempts[a.ID], a.Endpoint)})
				attempts[a.ID]++
				sentAt = append(sentAt, b.now)
			case Cancel:
				for i, p := range pending {
					if e, ok := p.event.(AttemptEnded); ok && e.ID == a.ID && e.Attempt == a.Attempt {
						e.Outcome, e.Finished = Cancelled, false
						pending[i] = pendingEvent{b.now + 5*ms, e}
					}
				}
			}
		}
	}
	return sentAt
}

// always returns a script that gives every attempt the same reply.
func always(o Outcome, after time.Duration) func(EndpointID) reply {
	return func(EndpointID) reply { return reply{outcome: o, after: after} }
}

// endAttempt ends an attempt after 100 ms with an outcome, and returns the actions that follow.
func (b *bench) endAttempt(id MessageID, attempt int, ep EndpointID, o Outcome,
	change ...func(*AttemptEnded)) []Action {
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
		id, out := b.submit(class)
		if got := sends(out); len(got) != 1 {
			b.t.Fatalf("serve: %d sends, want 1", len(got))
		}
		b.wait(100 * ms)
		b.endAttempt(id, 0, ep, OK)
	}
}

// callSentAt returns a call of one message of the class that was sent at the given time.
func (b *bench) callSentAt(ep EndpointID, class int, sentAt time.Duration) *call {
	return &call{
		endpoint: b.s.endpoint(ep),
		sentAt:   sentAt,
		attempts: []*attempt{{message: &message{classIndex: class}}},
	}
}

// processAnswer has the sender process the answer to a call of the class that took the given time.
func (b *bench) processAnswer(ep EndpointID, class int, elapsed time.Duration) {
	b.s.onSuccess(b.callSentAt(ep, class, b.s.now-elapsed), max(elapsed, 100*ms))
}

// actionsOf returns the actions of one type.
func actionsOf[T Action](actions []Action) []T {
	var out []T
	for _, a := range actions {
		if x, ok := a.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

func sends(actions []Action) []Send { return actionsOf[Send](actions) }

// countFinalAnswers returns the number of final answers among the actions.
func countFinalAnswers(actions []Action) int {
	return len(actionsOf[Refuse](actions)) + len(actionsOf[Fail](actions))
}
