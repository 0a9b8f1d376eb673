// Tests the ends of messages: final answers, the reasons for them, and what is shed or evicted early.

package rules

import (
	"math"
	"slices"
	"testing"
)

func TestMessageGetsOneFinalAnswerByItsDeadline(t *testing.T) {
	for _, class := range []int{safe, atMostOnce, keyed, ordered} {
		b := newBench(t, nil)
		b.submit(class)
		out := b.wait(16*sec + 20*ms)
		if got := countFinalAnswers(out); got != 1 {
			t.Errorf("class %d: %d final answers by the end of the answer grace, want 1", class, got)
		}
		if got := b.wait(5 * sec); len(got) != 0 {
			t.Errorf("class %d: actions after the final answer: %v", class, got)
		}
	}
}

func TestFinalAnswerPrecedesDeadlineWithLongTick(t *testing.T) {
	b := newBench(t, func(s *Settings) { s.Tick = 100 * ms }, Entry{Endpoint: 11, Destination: 2})
	b.submit(safe)
	b.now += 16*sec - 150*ms
	if got := countFinalAnswers(b.step(WakeUp{})); got != 1 {
		t.Errorf("%d final answers in the last step before the deadline, want 1", got)
	}
}

func TestAllMessagesAreAnsweredAfterClockJump(t *testing.T) {
	b := newBench(t, nil, Entry{Endpoint: 11, Destination: 2})
	for range 5 {
		b.submit(safe)
	}
	b.now += 60 * sec
	if got := countFinalAnswers(b.step(WakeUp{})); got != 5 {
		t.Errorf("%d final answers after a clock jump, want 5", got)
	}
}

func TestWithdrawnMessageGetsNoFinalAnswer(t *testing.T) {
	b := newBench(t, nil)
	id, _ := b.submit(safe)
	b.step(Withdrawn{ID: id})
	b.step(Withdrawn{ID: id}) // a repeated event
	if got := countFinalAnswers(b.wait(17 * sec)); got != 0 {
		t.Errorf("%d final answers to a withdrawn message, want 0", got)
	}
}

func TestKeyedMessageEndsWithItsDedupWindow(t *testing.T) {
	b := newBench(t, nil)
	id, _ := b.submit(keyed)
	b.step(ListUpdate{Entries: []Entry{{Endpoint: 11, Destination: 1, Gone: true}}})
	b.endAttempt(id, 0, 11, Reset)
	if got := countFinalAnswers(b.wait(6*sec + 50*ms)); got != 1 {
		t.Errorf("%d final answers by the end of the deduplication window, want 1", got)
	}
}

func TestMessageIsRefusedAfterItsLastAttempt(t *testing.T) {
	b := newBench(t, func(s *Settings) { s.MaxAttempts = 1 })
	id, _ := b.submit(safe)
	if out := b.endAttempt(id, 0, 11, Errored); len(actionsOf[Refuse](out)) != 1 {
		t.Errorf("got %v, want a refusal at once", out)
	}
}

func TestRoomIsKeptForNewMessages(t *testing.T) {
	b := newBench(t, func(s *Settings) { s.MaxHeld = 32 }, Entry{Endpoint: 21, Destination: 2})
	refused := 0
	for range 40 {
		id, out := b.submit(safe)
		for _, r := range actionsOf[Refuse](out) {
			refused++
			if r.ID != id { // of messages of equal worth the newest has most time left to be submitted again
				t.Errorf("%s was evicted, want the newest, %s", r.ID, id)
			}
		}
	}
	if len(b.s.held) > 30 || refused != 40-len(b.s.held) {
		t.Errorf("%d of 40 messages held and %d refused, want up to 30 held and the rest refused",
			len(b.s.held), refused)
	}
}

func TestRefusalCarriesRetryAfter(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		b := newBench(t, func(s *Settings) { s.MaySendRetryAfter, s.MaxAttempts = allowed, 1 })
		id, _ := b.submit(safe)
		out := actionsOf[Refuse](b.endAttempt(id, 0, 11, Refused, withRetryAfter(1500*ms)))
		if len(out) != 1 {
			t.Fatal("no refusal")
		}
		if got := out[0].RetryAfter; allowed && (got < 1500*ms || got > 3*sec) || !allowed && got != 0 {
			t.Errorf("Retry-After is %v, with MaySendRetryAfter %v", got, allowed)
		}
	}
}

// Where refused calls use up a limit too, a large fleet that sends each refused message on to the next route
// would keep the limits of all routes exhausted.
func TestRefusedMessagePausesInLargeFleet(t *testing.T) {
	for _, c := range []struct {
		senders int
		want    bool // sent again within half of the pause
	}{{3, true}, {300, false}} {
		b := newBench(t, func(s *Settings) { s.Senders = c.senders },
			Entry{Endpoint: 11, Destination: 1, Kind: 1},
			Entry{Endpoint: 12, Destination: 1, Kind: 1},
			Entry{Endpoint: 13, Destination: 1, Kind: 1})
		id, _ := b.submit(safe)
		pause := seconds(b.s.refusalPause(&b.s.settings.Classes[safe]))
		out := append(b.endAttempt(id, 0, 11, Refused), b.wait(pause/2-5*ms)...)
		if got := len(sends(out)) > 0; got != c.want {
			t.Errorf("%d senders: sent again within half of the pause: %v, want %v", c.senders, got, c.want)
		}
		if !c.want && len(sends(b.wait(pause))) == 0 {
			t.Errorf("%d senders: not sent again after the pause", c.senders)
		}
	}
}

// What the pause after a refusal costs depends on how worth falls: by half with each further aim, or linearly up
// to the deadline.
func TestRefusalPauseCostsFixedShareOfWorth(t *testing.T) {
	for _, c := range []struct {
		halving   bool
		lateWorth float64
		want      float64 // worth left after a pause that starts at the aim
	}{
		{true, 0.4, 1 - refusalPauseCost},
		{false, 0.4, 1 - refusalPauseCost},
		{false, 1, 1},
	} {
		b := newBench(t, func(s *Settings) {
			s.LateHalving = c.halving
			s.Classes = []Class{{Aim: 4 * sec, Deadline: 24 * sec, Worth: 1, LateWorth: c.lateWorth}}
		})
		m := &message{class: &b.s.settings.Classes[0], deadline: 24 * sec}
		pause := min(b.s.refusalPause(m.class), 19.9)
		if got := b.s.worth(m, 4*sec+seconds(pause)); pause <= 0 || math.Abs(got-c.want) > 0.001 {
			t.Errorf("halving %v, late worth %v: worth %.3f after a pause of %.1f s, want %.3f",
				c.halving, c.lateWorth, got, pause, c.want)
		}
	}
}

// A sender of a large fleet that cannot call a destination before a message is due sheds the message at once with
// a Retry-After, as another sender may see the destination healthy. A sender of a small fleet keeps it.
func TestLargeFleetShedsWhatItCannotSendInTime(t *testing.T) {
	for _, senders := range []int{SmallFleet + 1, SmallFleet} {
		b := newBench(t, func(s *Settings) { s.Senders = senders })
		b.serve(1, safe, 11)
		ep := b.s.endpoint(11)
		b.s.startProbation(ep, Refused, CauseFailures)
		ep.failingSince, ep.lastCharged = b.now-10*sec, b.now+20*sec // an old outage, with a long probe interval
		id, out := b.submit(safe)
		refused := actionsOf[Refuse](append(out, b.wait(10*ms)...))
		shed := slices.ContainsFunc(refused, func(r Refuse) bool { return r.ID == id && r.RetryAfter > 0 })
		if want := senders > SmallFleet; shed != want {
			t.Errorf("%d senders: refused %v; %v shed with a Retry-After: %v, want %v",
				senders, refused, id, shed, want)
		}
	}
}
