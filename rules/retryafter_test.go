// Tests that a Retry-After holds its limit scope, and that calls still being written there are recalled.

package rules

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func withRetryAfter(d time.Duration) func(*AttemptEnded) {
	return func(e *AttemptEnded) { e.RetryAfter = d }
}

func TestRetryAfterHoldsLimitScope(t *testing.T) {
	for _, c := range []struct {
		name string
		kind int
		want int // sends to the other endpoint before the Retry-After ends
	}{{"shared limit", 0, 0}, {"routes apart", 1, 1}} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, nil, Entry{Endpoint: 11, Destination: 1, Kind: c.kind},
				Entry{Endpoint: 12, Destination: 1, Kind: c.kind})
			id, out := b.submit(safe)
			refusing := sends(out)[0].Endpoint
			got := sends(b.endAttempt(id, 0, refusing, Refused, withRetryAfter(500*ms)))
			got = append(got, sends(b.wait(495*ms))...)
			if len(got) != c.want {
				t.Fatalf("%d sends before the Retry-After ends, want %d", len(got), c.want)
			}
			for _, a := range got {
				if a.Endpoint == refusing {
					t.Error("sent to the endpoint that returned the Retry-After")
				}
			}
			if c.want == 0 && len(sends(b.wait(6*sec))) == 0 {
				t.Error("not sent after the Retry-After")
			}
		})
	}
}

func TestRetryAfterInLaterOutcomeOfCallHolds(t *testing.T) {
	b := newBench(t, nil, Entry{Endpoint: 11, Destination: 1, Kind: 2})
	ids := []MessageID{"a", "b"}
	var events []Event
	for _, id := range ids {
		events = append(events, Arrived{ID: id, Destination: 1, TimeLeft: 16 * sec})
	}
	b.step(events...)
	b.endAttempt("a", 0, 11, Refused)
	b.endAttempt("b", 0, 11, Refused, withRetryAfter(sec))
	if got := sends(b.wait(995 * ms)); len(got) != 0 {
		t.Errorf("%d sends before the Retry-After ends, want none", len(got))
	}
}

// A Retry-After holds whatever outcome it came with: one call of several messages may return it along with
// accepted ones.
func TestRetryAfterWithAnswerHolds(t *testing.T) {
	b := newBench(t, nil)
	id, _ := b.submit(safe)
	b.endAttempt(id, 0, 11, OK, func(e *AttemptEnded) { e.RetryAfter = 2 * sec })
	_, out := b.submit(safe)
	if n := len(sends(append(out, b.wait(2*sec-10*ms)...))); n != 0 {
		t.Errorf("%d sends before the Retry-After ends, want none", n)
	}
	if n := len(sends(b.wait(sec))); n != 1 {
		t.Errorf("%d sends after the Retry-After, want 1", n)
	}
}

// A message whose call is recalled keeps its attempt, and the recall does not count against its endpoint. The message
// goes out at once by another route if there is one, else after the Retry-After.
func TestRecalledMessageIsSentAgain(t *testing.T) {
	for kind, elsewhere := range []int{0, 1} { // in kind 1 routes are apart
		b := newBench(t, func(s *Settings) { s.MaxAttempts = 2 }, Entry{Endpoint: 11, Destination: 1, Kind: kind})
		first, _ := b.submit(safe)
		id, _ := b.submit(safe)
		b.step(ListUpdate{Entries: []Entry{{Endpoint: 12, Destination: 1, Kind: kind}}})
		recalls := actionsOf[Recall](b.endAttempt(first, 0, 11, Refused, withRetryAfter(500*ms)))
		if len(recalls) != 1 || recalls[0] != (Recall{ID: id}) {
			t.Fatalf("kind %d: recalls %v, want one of %s", kind, recalls, id)
		}
		got := sends(b.endAttempt(id, 0, 11, NotSent, func(e *AttemptEnded) { e.Recalled = true }))
		got = append(got, sends(b.wait(495*ms))...)
		if len(got) != elsewhere || b.s.endpoint(11).consecutiveFailures != 0 {
			t.Errorf("kind %d: %d sends before the Retry-After ends, want %d; %d failures, want none",
				kind, len(got), elsewhere, b.s.endpoint(11).consecutiveFailures)
		}
		got = append(got, sends(b.wait(6*sec))...)
		if !slices.ContainsFunc(got, func(a Send) bool { return a.ID == id }) || b.s.held[id].attemptCount != 1 {
			t.Errorf("kind %d: sent %v, want %s among them; %d attempts counted, want 1",
				kind, got, id, b.s.held[id].attemptCount)
		}
	}
}

// expectedMessage is the state that TestRetryAfterHoldsOverRandomEvents expects of a message.
type expectedMessage struct {
	destination, attempts, recalls int // attempts includes the recalled ones
	due                            time.Duration
	endpoint                       EndpointID // of the latest attempt
	inFlight, recalled, finished   bool
}

// TestRetryAfterHoldsOverRandomEvents drives senders with random events: lists with drains, returns and
// replacements, Retry-Afters of all lengths with all outcomes, and stalls. After each step it checks that nothing was
// sent to a limit scope before its Retry-After ended; that whatever is in flight there, or to an endpoint that is no
// longer in service, was recalled, once and without counting as an attempt; and that messages due before every
// Retry-After ends were answered.
func TestRetryAfterHoldsOverRandomEvents(t *testing.T) {
	for seed := range uint64(120) {
		rng := rand.New(rand.NewPCG(seed, 1))
		kind, retryAfters, outlasted := int(seed%3), 0, 0
		b := newBench(t, func(s *Settings) {
			s.Senders, s.Seed, s.MaxAttempts = []int{2, 300}[seed/3%2], seed, 4
		})
		scope := func(ep EndpointID) EndpointID {
			if kind == 1 {
				return ep // routes apart
			}
			return ep % 2
		}
		notBefore := map[EndpointID]time.Duration{}
		inService := map[EndpointID]bool{}
		messages := map[MessageID]*expectedMessage{}
		// deliverable reports whether an endpoint may accept a message in time, or a later list may bring one.
		deliverable := func(m *expectedMessage) bool {
			anyInService := false
			for ep := range inService {
				if int(ep%2) == m.destination && inService[ep] {
					anyInService = true
					if notBefore[scope(ep)] <= m.due {
						return true
					}
				}
			}
			return !anyInService
		}
		b.step(ListUpdate{Whole: true})
		for range 4000 { // in fewer steps some seeds hardly get ten Retry-Afters
			b.now += time.Duration(rng.IntN(60)) * ms
			if rng.IntN(50) == 0 {
				b.now += time.Duration(rng.IntN(40)) * sec
			}
			events := []Event{WakeUp{}}
			if n := EndpointID(rng.IntN(6)); rng.IntN(4) == 0 {
				e := Entry{
					Endpoint:    10 + n,
					Destination: int(n % 2),
					Kind:        kind,
					Draining:    rng.IntN(4) == 0,
					Gone:        rng.IntN(4) == 0,
				}
				events = append(events, ListUpdate{Entries: []Entry{e}})
				inService[e.Endpoint] = !e.Draining && !e.Gone
			}
			for _, id := range slices.Sorted(maps.Keys(messages)) {
				m := messages[id]
				if !m.inFlight || rng.IntN(3) > 0 {
					continue
				}
				e := AttemptEnded{
					ID:       id,
					Attempt:  m.attempts - 1,
					Endpoint: m.endpoint,
					Outcome:  Outcome(rng.IntN(int(NotSent) + 1)),
					Recalled: m.recalled,
				}
				if m.recalled {
					e.Outcome = NotSent
					m.recalls++
				} else if rng.IntN(3) == 0 {
					e.RetryAfter = time.Duration(rng.IntN(3000)) * ms
					if rng.IntN(4) == 0 {
						e.RetryAfter *= 40
					}
					notBefore[scope(m.endpoint)] = max(notBefore[scope(m.endpoint)], b.now+e.RetryAfter)
					retryAfters++
				}
				m.inFlight, m.recalled, e.Finished = false, false, e.Outcome == OK
				if events = append(events, e); e.Finished || m.finished {
					delete(messages, id)
				}
			}
			for n := range rng.IntN(3) {
				id := b.newMessageID()
				messages[id] = &expectedMessage{destination: n, due: b.now + 16*sec}
				events = append(events, Arrived{ID: id, Destination: n, Class: rng.IntN(5), TimeLeft: 16 * sec})
			}
			for _, a := range b.step(events...) {
				switch a := a.(type) {
				case Send:
					if b.now < notBefore[scope(a.Endpoint)] || !inService[a.Endpoint] {
						t.Fatalf("seed %d, %v: sent to endpoint %d, with a Retry-After until %v, in service %v",
							seed, b.now, a.Endpoint, notBefore[scope(a.Endpoint)], inService[a.Endpoint])
					}
					m := messages[a.ID]
					m.inFlight, m.endpoint, m.attempts = true, a.Endpoint, m.attempts+1
				case Recall:
					m := messages[a.ID]
					if m == nil || !m.inFlight || m.recalled || a.Attempt != m.attempts-1 {
						t.Fatalf("seed %d, %v: unexpected recall %v, message %+v", seed, b.now, a, m)
					}
					m.recalled = true
				case Refuse:
					if !deliverable(messages[a.ID]) {
						outlasted++
					}
					messages[a.ID].finished = true
				case Fail:
					messages[a.ID].finished = true
				}
			}
			maps.DeleteFunc(messages, func(_ MessageID, m *expectedMessage) bool { return m.finished && !m.inFlight })
			for id, m := range messages {
				if m.inFlight && !m.recalled && (b.now < notBefore[scope(m.endpoint)] || !inService[m.endpoint]) {
					t.Fatalf("seed %d, %v: %s, in flight to endpoint %d, was not recalled", seed, b.now, id, m.endpoint)
				}
				if held := b.s.held[id]; held != nil && held.attemptCount != m.attempts-m.recalls {
					t.Fatalf("seed %d, %v: %d attempts counted, with %d made and %d recalled",
						seed, b.now, held.attemptCount, m.attempts, m.recalls)
				}
				if !m.inFlight && !deliverable(m) {
					t.Fatalf("seed %d, %v: %s is still held, though every Retry-After ends after it is due",
						seed, b.now, id)
				}
			}
		}
		if retryAfters < 10 || outlasted < 10 { // in fewer steps some seeds hardly get there
			t.Errorf("seed %d: %d Retry-Afters, %d messages due before they ended, want at least 10 of each",
				seed, retryAfters, outlasted)
		}
	}
}
