package exchange

import (
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"eiderhaven/internal/ledger"
	"eiderhaven/internal/message"
	"eiderhaven/internal/testkit"
	"eiderhaven/rules"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// endpoints is the endpoint side as a script: it keeps what is started and lets the test end it.
type endpointSide struct {
	started   chan *Call
	cancelled chan *Call
	recalled  chan *Call
	closed    chan Peer
	onStart   func(*Call)
	onRecall  func(*Call) bool
}

type handle struct {
	call *Call
	side *endpointSide
}

func (h handle) Cancel() { h.side.cancelled <- h.call }

// Recall calls back what onRecall allows, all if there is none.
func (h handle) Recall() bool {
	h.side.recalled <- h.call
	return h.side.onRecall == nil || h.side.onRecall(h.call)
}

func (e *endpointSide) Start(c *Call) Handle {
	if e.onStart != nil {
		e.onStart(c)
	}
	e.started <- c
	return handle{c, e}
}

func (e *endpointSide) CloseIdle(to Peer) { e.closed <- to }

// notices keeps what the platform is told.
type notices struct{ enqueued chan ledger.Notice }

func (n *notices) EnqueueNotice(one ledger.Notice) { n.enqueued <- one }
func (n *notices) Watch()                          {}

// world is an exchange with scripted surroundings.
type harness struct {
	*Exchange
	t         *testing.T
	dir       string
	ledger    *ledger.Ledger
	endpoints *endpointSide
	platform  *notices
	stopped   bool
}

func testSettings() *rules.Settings {
	return &rules.Settings{
		Seed: 7, Senders: 2, Tick: time.Millisecond, Slots: 10, MaxHeld: 100, MaxAttempts: 4,
		ConnectTimeout: time.Second, KeepAlive: 10 * time.Second, MaxRetryAfter: 3 * time.Second, MaySendRetryAfter: true,
		MayCancel: true, AnswerGrace: 20 * time.Millisecond, DrainGrace: time.Second, ColdShare: 0.2,
		WarmUp: 10 * time.Second, FallWindow: 2 * time.Second, OverloadFactor: 2, LateHalving: true,
		Kinds: []rules.Kind{{Batch: 1}, {Batch: 3}},
		Classes: []rules.Class{
			{Effect: rules.Safe, Aim: 2 * time.Second, Deadline: 16 * time.Second, Worth: 1, LateWorth: 0.4},
			{Effect: rules.AtMostOnce, Aim: 2 * time.Second, Deadline: 16 * time.Second, Worth: 1, LateWorth: 0.4},
		},
	}
}

var knownEndpoints = Listing{Whole: true, Hosts: []Host{
	{Peer: Peer{"s-1", "127.0.0.1:1001"}, Dest: 1},
	{Peer: Peer{"s-2", "127.0.0.1:1002"}, Dest: 2, Kind: 1},
}}

// newWorld starts an exchange on a folder.
func newHarness(t *testing.T, dir string, change func(*rules.Settings)) *harness {
	t.Helper()
	set := testSettings()
	if change != nil {
		change(set)
	}
	led, err := ledger.Open(dir, 2<<20, quiet)
	if err != nil {
		t.Fatal(err)
	}
	w := &harness{t: t, dir: dir, ledger: led,
		endpoints: &endpointSide{started: make(chan *Call, 200), cancelled: make(chan *Call, 200),
			recalled: make(chan *Call, 200), closed: make(chan Peer, 200)},
		platform: &notices{make(chan ledger.Notice, 200)}}
	w.Exchange = New(Config{Settings: set, Classes: []string{"stock", "payment"}, InitialListing: knownEndpoints, Ledger: led,
		Caller: w.endpoints, Platform: w.platform, Log: quiet})
	return w
}

func (w *harness) start() *harness {
	w.Recover()
	go w.Run()
	w.t.Cleanup(w.stopAndClose)
	return w
}

// end stops the exchange as a planned exit does.
func (w *harness) stopAndClose() {
	if !w.stopped {
		w.stopped = true
		w.Stop()
		w.ledger.Close()
	}
}

func startHarness(t *testing.T, change func(*rules.Settings)) *harness {
	return newHarness(t, t.TempDir(), change).start()
}

func newMessage(id, class string, dest int) *message.Message {
	return &message.Message{ID: id, Class: class, Dest: dest, Deadline: time.Now().Add(16 * time.Second), Body: []byte("hi")}
}

// take hands in a message that must be taken on.
func (w *harness) mustAccept(m *message.Message) {
	w.t.Helper()
	if a := w.Submit(m); a.Verdict != Accepted {
		w.t.Fatalf("message %s: verdict %v, want taken", m.ID, a.Verdict)
	}
}

func (w *harness) finishCall(c *Call, o rules.Outcome) {
	items := make([]ItemResult, len(c.Items))
	for i := range items {
		items[i].Outcome = o
	}
	w.Finish(c, Result{Written: true, Items: items})
}

// settled waits until the counters say so, and checks their sums.
func (w *harness) waitForCounts(what string, done func(Counts) bool) Counts {
	w.t.Helper()
	var c Counts
	testkit.Eventually(w.t, what, func() bool {
		c = w.Counts()
		w.checkSums(c)
		return done(c)
	})
	return c
}

func (w *harness) checkSums(c Counts) {
	w.t.Helper()
	fresh := c.Submitted - (c.Unknown + c.Duplicate + c.Refused + c.Failed + c.Accepted) // being taken in just now
	if fresh < 0 || c.Accepted+c.Recovered+fresh != c.Delivered+c.Bounced+c.Dead+c.Withdrawn+c.FinishedElsewhere+c.Held {
		w.t.Errorf("messages do not add up: %+v", c)
	}
	sum := c.InFlight
	for _, n := range c.Outcomes {
		sum += n
	}
	if c.Attempts != sum {
		w.t.Errorf("attempts do not add up: %+v", c)
	}
}

// owed is what another process would find in the folder now.
func (w *harness) pendingOnDisk() []ledger.PendingMessage {
	w.t.Helper()
	l, err := ledger.Open(w.dir, 2<<20, quiet)
	if err != nil {
		w.t.Fatal(err)
	}
	defer l.Close()
	return l.Pending()
}

// The record stands before the client hears 202 and before a call starts, which is recorded first too.
func TestRecordsComeFirst(t *testing.T) {
	w := newHarness(t, t.TempDir(), nil)
	var atStart []ledger.PendingMessage
	w.endpoints.onStart = func(*Call) { atStart = w.pendingOnDisk() }
	w.start()
	w.mustAccept(newMessage("a", "stock", 1))
	c := testkit.Receive(t, w.endpoints.started, "call")
	if c.To.Addr != "127.0.0.1:1001" || len(c.Items) != 1 || c.Items[0].ID != "a" {
		t.Errorf("call: %+v", c)
	}
	if len(atStart) != 1 || !atStart[0].MayHaveRun || atStart[0].MayHaveRunHost != "s-1" || atStart[0].Attempts != 1 {
		t.Errorf("in the folder as the call starts: %+v", atStart)
	}
	w.finishCall(c, rules.OK)
	w.waitForCounts("delivered", func(c Counts) bool { return c.Delivered == 1 && c.Held == 0 })
	if got := w.pendingOnDisk(); len(got) != 0 {
		t.Errorf("owed after the delivery: %+v", got)
	}
}

// What the module refuses in the step that took it in is refused in the answer, with when to come back, and
// nothing is owed.
func TestRefusedAtOnce(t *testing.T) {
	w := startHarness(t, func(s *rules.Settings) { s.MaxHeld, s.Slots = 8, 20 })
	refused := 0
	for i := range 30 { // all for one destination, none answered: what is out fills the room
		a := w.Submit(newMessage(fmt.Sprint("m", i), "stock", 1))
		if a.Verdict != Refused {
			continue
		}
		refused++
		if a.RetryAfter <= 0 {
			t.Error("a refusal does not say when to come back")
		}
	}
	c := w.Counts()
	w.checkSums(c)
	if bounced := len(w.platform.enqueued); refused == 0 || refused+bounced != 30-c.Held || refused != c.Refused || bounced != c.Bounced {
		t.Errorf("%d refused, %d bounced of 30: %+v", refused, bounced, c)
	}
	if got := len(w.pendingOnDisk()); got != c.Held {
		t.Errorf("%d owed, %d held", got, c.Held)
	}
}

func TestLaterEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startHarness(t, nil)
		w.mustAccept(newMessage("p", "payment", 1))
		w.finishCall(testkit.Receive(t, w.endpoints.started, "call"), rules.Reset) // it may have run, and must not be sent again
		if n := testkit.Receive(t, w.platform.enqueued, "notice"); n.ID != "p" || !n.Dead {
			t.Errorf("notice: %+v, want p dead", n)
		}
		late := newMessage("s", "stock", 1)
		late.Deadline = time.Now().Add(100 * time.Millisecond)
		w.mustAccept(late)
		if n := testkit.Receive(t, w.platform.enqueued, "notice"); n.ID != "s" || n.Dead || n.RetryAfter <= 0 {
			t.Errorf("notice: %+v, want s bounced with a wait", n)
		}
		c := w.waitForCounts("both over", func(c Counts) bool { return c.Held == 0 })
		if c.Bounced != 1 || c.Dead != 1 {
			t.Errorf("counters: %+v", c)
		}
		l, err := ledger.Open(w.dir, 2<<20, quiet)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		if got := l.Notices(); len(got) != 2 {
			t.Errorf("notices not accepted yet: %+v, want both", got)
		}
	})
}

func TestNoticesEndWhenAccepted(t *testing.T) {
	w := startHarness(t, nil)
	w.mustAccept(newMessage("p", "payment", 1))
	w.finishCall(testkit.Receive(t, w.endpoints.started, "call"), rules.Reset)
	testkit.Receive(t, w.platform.enqueued, "notice")
	w.NoticesAccepted([]string{"p"})
	w.waitForCounts("noticed", func(c Counts) bool { return c.NoticesAccepted == 1 })
	w.stopAndClose()
	w2 := newHarness(t, w.dir, nil).start()
	w2.waitForCounts("recovered", func(c Counts) bool { return c.Recovered == 0 })
	if n := len(w2.platform.enqueued); n != 0 {
		t.Errorf("%d notices after the restart, want none", n)
	}
}

// After a process is killed, the next one returns to the module what is owed, and the module decides.
func TestRestart(t *testing.T) {
	dir := t.TempDir()
	led, err := ledger.Open(dir, 2<<20, quiet)
	if err != nil {
		t.Fatal(err)
	}
	late := newMessage("late", "stock", 1)
	late.Deadline = time.Now().Add(-time.Second)
	old := newMessage("old", "no such class", 1)
	for _, m := range []*message.Message{newMessage("once-ran", "payment", 1), newMessage("once-refused", "payment", 1), newMessage("safe-out", "stock", 1),
		late, old} {
		if err := led.RecordAccepted(m); err != nil {
			t.Fatal(err)
		}
	}
	for _, id := range []string{"once-ran", "once-refused", "safe-out"} {
		if err := led.RecordCall([]string{id}, []int{0}, "s-1", time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	if err := led.RecordOutcome("once-refused", 0, false, false); err != nil {
		t.Fatal(err)
	}
	if err := led.RecordNotice(ledger.Notice{ID: "told before", Dead: true}); err != nil {
		t.Fatal(err)
	}
	led.Close()

	w := newHarness(t, dir, nil).start()
	told := map[string]bool{}
	for range 4 {
		n := testkit.Receive(t, w.platform.enqueued, "notice")
		told[n.ID] = n.Dead
	}
	if dead, ok := told["once-ran"]; !ok || !dead {
		t.Errorf("an at-most-once message that may have run: %v, want dead at once", told)
	}
	if dead, ok := told["late"]; !ok || dead {
		t.Errorf("a message out of time: %v, want bounced at once", told)
	}
	if dead, ok := told["old"]; !ok || !dead {
		t.Errorf("a message of an unknown class: %v, want dead at once", told)
	}
	if _, ok := told["told before"]; !ok {
		t.Errorf("the notice still owed was not repeated: %v", told)
	}
	sent := map[string]bool{}
	for range 2 {
		c := testkit.Receive(t, w.endpoints.started, "call")
		sent[c.Items[0].ID] = true
		w.finishCall(c, rules.OK)
	}
	if !sent["once-refused"] || !sent["safe-out"] {
		t.Errorf("sent after the restart: %v", sent)
	}
	c := w.waitForCounts("all over", func(c Counts) bool { return c.Held == 0 })
	if c.Recovered != 5 || c.Delivered != 2 {
		t.Errorf("counters: %+v", c)
	}
}

// A planned exit starts nothing in its last step and answers whoever waits; all it holds is found again.
func TestStopKeepsWhatIsHeld(t *testing.T) {
	w := startHarness(t, func(s *rules.Settings) { s.Slots = 1 })
	w.mustAccept(newMessage("a", "stock", 1))
	testkit.Receive(t, w.endpoints.started, "call")
	w.mustAccept(newMessage("b", "stock", 1))
	answers := make(chan Answer, 1)
	go func() { answers <- w.Submit(newMessage("c", "stock", 1)) }()
	w.stopAndClose()
	a := testkit.Receive(t, answers, "answer")
	if n := len(w.endpoints.started); n != 0 {
		t.Errorf("%d calls started at the end", n)
	}
	want := 2
	if a.Verdict == Accepted {
		want = 3
	} else if a.Verdict != Stopped {
		t.Errorf("verdict %v at the end", a.Verdict)
	}
	if got := w.pendingOnDisk(); len(got) != want {
		t.Errorf("%d owed after the exit, want %d", len(got), want)
	}
	if a := w.Submit(newMessage("d", "stock", 1)); a.Verdict != Stopped {
		t.Errorf("after the exit: verdict %v", a.Verdict)
	}
}

// At the end a call that no endpoint has got whole yet is called back: the next process finds its message untried and may try it,
// whatever its class. One that is written may have run.
func TestStopCallsBackWhatIsNotWritten(t *testing.T) {
	for _, written := range []bool{false, true} {
		w := startHarness(t, nil)
		w.endpoints.onRecall = func(*Call) bool { return !written }
		w.mustAccept(newMessage("a", "payment", 1))
		c := testkit.Receive(t, w.endpoints.started, "call")
		w.stopAndClose()
		if got := testkit.Receive(t, w.endpoints.recalled, "call back"); got != c {
			t.Errorf("written %v: called back %+v, want %+v", written, got, c)
		}
		if owed := w.pendingOnDisk(); len(owed) != 1 || owed[0].MayHaveRun != written {
			t.Errorf("written %v: the next process finds %+v", written, owed)
		}
	}
}

func TestWithdrawn(t *testing.T) {
	w := startHarness(t, nil)
	w.mustAccept(newMessage("a", "stock", 1))
	c := testkit.Receive(t, w.endpoints.started, "call")
	w.Withdraw("a")
	w.Withdraw("a")
	w.Withdraw("never heard of")
	w.finishCall(c, rules.Errored)
	got := w.waitForCounts("over", func(c Counts) bool { return c.Held == 0 && c.InFlight == 0 })
	if got.Withdrawn != 1 || got.Attempts != 1 {
		t.Errorf("counters: %+v", got)
	}
	if n := len(w.platform.enqueued); n != 0 {
		t.Errorf("%d notices for a withdrawn message", n)
	}
	if got := w.pendingOnDisk(); len(got) != 0 {
		t.Errorf("owed: %+v", got)
	}
}

func TestUnknownAndDuplicate(t *testing.T) {
	w := startHarness(t, nil)
	for _, m := range []*message.Message{newMessage("a", "no such class", 1), newMessage("a", "stock", 3)} {
		if a := w.Submit(m); a.Verdict != Unknown {
			t.Errorf("class %s, destination %d: verdict %v", m.Class, m.Dest, a.Verdict)
		}
	}
	w.mustAccept(newMessage("a", "stock", 1))
	if a := w.Submit(newMessage("a", "stock", 1)); a.Verdict != Duplicate {
		t.Errorf("the same name again: verdict %v", a.Verdict)
	}
	w.checkSums(w.Counts())
}

// With the folder full nothing new is taken on, and what is held goes on.
func TestFullLedgerRefuses(t *testing.T) {
	w := startHarness(t, func(s *rules.Settings) { s.MaxHeld, s.Slots = 1000, 1 })
	n := 0
	for ; n < 100; n++ {
		m := newMessage(fmt.Sprint("m", n), "stock", 1)
		m.Body = make([]byte, 60<<10)
		a := w.Submit(m)
		if a.Verdict == Refused {
			if a.RetryAfter <= 0 {
				t.Error("a refusal does not say when to come back")
			}
			break
		}
	}
	if n == 100 {
		t.Fatal("6 MB taken on in a folder of 2")
	}
	w.finishCall(testkit.Receive(t, w.endpoints.started, "call"), rules.OK)
	testkit.Receive(t, w.endpoints.started, "call of the next")
	w.checkSums(w.Counts())
}

// One step's messages for an endpoint that takes several travel together, up to its number.
func TestBatches(t *testing.T) {
	w := newHarness(t, t.TempDir(), nil)
	w.Recover()
	replies := make(chan Answer, 10)
	for i := range 7 {
		w.Exchange.accept(newMessage(fmt.Sprint("m", i), "stock", 2), replies)
	}
	w.step()
	sizes := []int{}
	for len(w.endpoints.started) > 0 {
		c := <-w.endpoints.started
		sizes = append(sizes, len(c.Items))
	}
	if fmt.Sprint(sizes) != "[3 3 1]" && fmt.Sprint(sizes) != "[3 3]" {
		t.Errorf("calls of %v messages, want 3 at most and each filled", sizes)
	}
	w.ledger.Close()
}

// An attempt that times out ends its call; whether it may have run goes by what was written.
func TestTimeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, written := range []bool{true, false} {
			w := startHarness(t, func(s *rules.Settings) { s.MaxAttempts = 1 })
			m := newMessage("a", "payment", 1)
			m.Deadline = time.Now().Add(150 * time.Millisecond)
			w.mustAccept(m)
			c := testkit.Receive(t, w.endpoints.started, "call")
			if c.Timeout <= 0 || c.Timeout > 150*time.Millisecond {
				t.Errorf("the call waits %v, want the time that is left", c.Timeout)
			}
			if got := testkit.Receive(t, w.endpoints.cancelled, "end of the call"); got != c {
				t.Errorf("another call was given up")
			}
			w.Finish(c, Result{Written: written, Items: []ItemResult{{Outcome: rules.Cancelled}}})
			want := rules.ConnectError
			if written {
				want = rules.TimedOut
			}
			w.waitForCounts("told", func(c Counts) bool { return c.Outcomes[want] == 1 && c.Held == 0 })
		}
	})
}

// An answer that crosses the giving up counts.
func TestAnswerCrossesTimeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startHarness(t, nil)
		m := newMessage("a", "payment", 1)
		m.Deadline = time.Now().Add(100 * time.Millisecond)
		w.mustAccept(m)
		c := testkit.Receive(t, w.endpoints.started, "call")
		testkit.Receive(t, w.endpoints.cancelled, "end of the call")
		w.finishCall(c, rules.OK)
		w.waitForCounts("told", func(c Counts) bool { return c.Outcomes[rules.OK] == 1 && c.InFlight == 0 })
	})
}

// A message that waited for its step has that much less time by the module's clock too: as its call is given up it has ended, and
// does not go out once more.
func TestNothingGoesOutAsItsTimeEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newHarness(t, t.TempDir(), nil)
		w.Recover()
		m := newMessage("a", "stock", 1)
		m.Deadline = time.Now().Add(100 * time.Millisecond)
		w.Exchange.accept(m, make(chan Answer, 1))
		testkit.Eventually(t, "half its time", func() bool { return time.Until(m.Deadline) < 50*time.Millisecond })
		w.step()
		c := testkit.Receive(t, w.endpoints.started, "call")
		testkit.Eventually(t, "all of it", func() bool { return time.Until(m.Deadline) < 0 })
		w.step()
		w.onCallFinished(c.inFlight, Result{Written: true, Items: []ItemResult{{Outcome: rules.Cancelled}}})
		w.step()
		if n, told := len(w.endpoints.started), len(w.platform.enqueued); n != 0 || told != 1 {
			t.Errorf("%d calls after its time and %d notices, want none and one", n, told)
		}
		w.ledger.Close()
	})
}

// An endpoint's 200 that comes as the message's time runs out, or after it and before the step that would give it up, counts and is
// told of as well; one before that needs no notice.
func TestAcceptedInTheLastMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for left, told := range map[time.Duration]int{200 * time.Millisecond: 0, deadlineSlack / 2: 1, 0: 1, -3 * time.Millisecond: 1} {
			w := newHarness(t, t.TempDir(), nil)
			w.Recover()
			m := newMessage("a", "payment", 1)
			w.Exchange.accept(m, make(chan Answer, 1))
			w.step()
			c := testkit.Receive(t, w.endpoints.started, "call")
			m.Deadline = time.Now().Add(left)
			w.onCallFinished(c.inFlight, Result{Written: true, Items: []ItemResult{{Outcome: rules.OK}}})
			w.step()
			if got := w.snapshot(); len(w.platform.enqueued) != told || got.Delivered != 1 || got.Held != 0 || got.InFlight != 0 {
				t.Errorf("with %v left: %d notices, want %d; counters %+v", left, len(w.platform.enqueued), told, got)
			}
			if owed := len(w.pendingOnDisk()) + len(w.ledger.Notices()); owed != told {
				t.Errorf("with %v left: the ledger owes %d ends, want %d", left, owed, told)
			}
			w.checkSums(w.snapshot())
			w.ledger.Close()
		}
	})
}

// A message over by the endpoint's word (410) needs no notice; one past its attempts (504) does.
func TestOverElsewhere(t *testing.T) {
	w := startHarness(t, nil)
	w.mustAccept(newMessage("a", "stock", 1))
	c := testkit.Receive(t, w.endpoints.started, "call")
	w.Finish(c, Result{Written: true, Items: []ItemResult{{Outcome: rules.NotSent, Finished: true}}})
	got := w.waitForCounts("over", func(c Counts) bool { return c.Held == 0 })
	if got.FinishedElsewhere != 1 || len(w.platform.enqueued) != 0 {
		t.Errorf("%d notices, counters %+v", len(w.platform.enqueued), got)
	}
	w.mustAccept(newMessage("b", "stock", 1))
	for range 4 {
		w.finishCall(testkit.Receive(t, w.endpoints.started, "call"), rules.NotSent)
	}
	if n := testkit.Receive(t, w.platform.enqueued, "notice"); n.ID != "b" {
		t.Errorf("notice: %+v", n)
	}
}

// Whatever the list says later, a call never leaves for an endpoint of another destination.
func TestMovedEndpointGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startHarness(t, nil)
		w.ApplyListing(Listing{Whole: true, Hosts: []Host{{Peer: Peer{"s-1", "127.0.0.1:1001"}, Dest: 9}}})
		m := newMessage("a", "stock", 1)
		m.Deadline = time.Now().Add(200 * time.Millisecond)
		w.mustAccept(m)
		if n := testkit.Receive(t, w.platform.enqueued, "notice"); n.ID != "a" {
			t.Errorf("notice: %+v", n)
		}
		if n := len(w.endpoints.started); n != 0 {
			t.Errorf("%d calls to an endpoint of another destination", n)
		}
	})
}

// A call that waits for its connection must not leave for an endpoint that has come to drain meanwhile, or is gone. Its
// message is still held, and goes elsewhere.
func TestDrainCallsBackWhatWaitsForAConnection(t *testing.T) {
	other := Host{Peer: Peer{"s-3", "127.0.0.1:1003"}, Dest: 1}
	for name, list := range map[string]Listing{
		"drains":       {Hosts: []Host{{Peer: knownEndpoints.Hosts[0].Peer, Dest: 1, Draining: true}, other}},
		"gone":         {Hosts: []Host{{Peer: knownEndpoints.Hosts[0].Peer, Gone: true}, other}},
		"not in whole": {Whole: true, Hosts: []Host{other}},
	} {
		w := startHarness(t, nil)
		w.mustAccept(newMessage("a", "stock", 1))
		c := testkit.Receive(t, w.endpoints.started, "call")
		w.ApplyListing(list)
		if got := testkit.Receive(t, w.endpoints.recalled, "call back"); got != c {
			t.Errorf("%s: called back %+v, want %+v", name, got, c)
		}
		if got := testkit.Receive(t, w.endpoints.started, "call"); got.To != other.Peer {
			t.Errorf("%s: went on to %+v", name, got.To)
		}
	}
}

// A change of an endpoint that no list has named: one that has gone is none, one that drains gets nothing, one that is there is new.
func TestAChangeOfWhatWasNeverListed(t *testing.T) {
	w := startHarness(t, nil)
	w.ApplyListing(Listing{Hosts: []Host{{Peer: Peer{"s-7", "127.0.0.1:1007"}, Dest: 7, Gone: true}, {Peer: Peer{"s-8", "127.0.0.1:1008"}, Dest: 1, Draining: true},
		{Peer: Peer{"s-9", "127.0.0.1:1009"}, Dest: 9}}})
	if a := w.Submit(newMessage("gone", "stock", 7)); a.Verdict != Unknown {
		t.Errorf("verdict %v for a destination of which only a removal was told", a.Verdict)
	}
	w.mustAccept(newMessage("new", "stock", 9))
	if c := testkit.Receive(t, w.endpoints.started, "call"); c.To.Name != "s-9" {
		t.Errorf("went to %v", c.To)
	}
	for i := range 5 {
		w.mustAccept(newMessage(fmt.Sprint("m", i), "stock", 1))
		c := testkit.Receive(t, w.endpoints.started, "call")
		if c.To.Name != "s-1" {
			t.Errorf("went to %v", c.To)
		}
		w.finishCall(c, rules.OK)
	}
	w.ApplyListing(Listing{Hosts: []Host{{Peer: Peer{Name: "s-9"}, Gone: true}, {Peer: Peer{Name: "s-9"}, Gone: true}}}) // told twice
	w.mustAccept(newMessage("after", "stock", 1))
	testkit.Receive(t, w.endpoints.started, "call")
}

// Room for the list of endpoints is the ledger's to grant; an exchange that has ended grants none, and nobody waits for it.
func TestRoomForTheList(t *testing.T) {
	w := startHarness(t, nil)
	if !w.ReserveListSpace(100_000) || w.ReserveListSpace(2<<20) {
		t.Error("room is not granted as the ledger has it")
	}
	w.stopAndClose()
	if w.ReserveListSpace(1) {
		t.Error("room granted after the end")
	}
}

// offer takes in so many messages for the destination whose calls hold three, the first of them with less time, and steps.
func (w *harness) acceptBatch(n int, first time.Duration) {
	replies := make(chan Answer, n)
	for i := range n {
		m := newMessage(fmt.Sprint("m", i), "payment", 2) // which is not timed out before its end
		if i == 0 {
			m.Deadline = time.Now().Add(first)
		}
		w.Exchange.accept(m, replies)
	}
	w.step()
}

// A repeat tells the endpoint side by when it has to leave: the end of what the class allows, counted from the first attempt, also
// where a process before this one made that.
func TestARepeatTellsWhenItHasToLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		window := 3 * time.Second
		w := newHarness(t, t.TempDir(), func(s *rules.Settings) {
			s.Classes[0].Effect, s.Classes[0].Window = rules.Keyed, window
		})
		earlier := time.Now().Add(-time.Second)
		m := newMessage("before", "stock", 1)
		for _, err := range []error{w.ledger.RecordAccepted(m), w.ledger.RecordCall([]string{m.ID}, []int{0}, "s-1", earlier), w.ledger.RecordOutcome(m.ID, 0, true, true)} {
			if err != nil {
				t.Fatal(err)
			}
		}
		w.start()
		c := testkit.Receive(t, w.endpoints.started, "repeat")
		if late := c.WriteBy.Sub(earlier); late > window || late < window-100*time.Millisecond {
			t.Errorf("the repeat leaves up to %v after the first attempt, the window is %v", late, window)
		}
		w.mustAccept(newMessage("new", "stock", 1))
		if c := testkit.Receive(t, w.endpoints.started, "call"); !c.WriteBy.IsZero() {
			t.Errorf("a first attempt has to leave by %v", c.WriteBy)
		}
	})
}

// That end counts from the attempt, however long the module's step comes after the ledger was read.
func TestARestartThatTakesLongKeepsTheWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		window := 3 * time.Second
		w := newHarness(t, t.TempDir(), func(s *rules.Settings) {
			s.Classes[0].Effect, s.Classes[0].Window = rules.Keyed, window
		})
		earlier := time.Now()
		m := newMessage("before", "stock", 1)
		for _, err := range []error{w.ledger.RecordAccepted(m), w.ledger.RecordCall([]string{m.ID}, []int{0}, "s-1", earlier), w.ledger.RecordOutcome(m.ID, 0, true, true)} {
			if err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		w.applyListing(knownEndpoints)
		for _, o := range w.ledger.Pending() {
			w.restore(o)
		}
		time.Sleep(200 * time.Millisecond) // the rest of a large ledger, on a busy machine
		w.step()
		c := testkit.Receive(t, w.endpoints.started, "repeat")
		if late := c.WriteBy.Sub(earlier); late > window || late < window-100*time.Millisecond {
			t.Errorf("the repeat leaves up to %v after the first attempt, the window is %v", late, window)
		}
		w.ledger.Close()
	})
}

// A call of several messages has one fate. Not written, it is called back whole by a wait told beside it, as the time of one of
// its messages ends, and as one is withdrawn, in the same step and at no cost of an attempt; what is left goes out
// together as soon as it may. Written, it goes on over a wait and a withdrawal; with the end of a message it is given up whole,
// and none goes out again while it may still be answered.
func TestACallHasOneFate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ok := func(w *harness, other *Call) {
			w.onCallFinished(other.inFlight, Result{Written: true, Items: []ItemResult{{Outcome: rules.OK}}})
		}
		for _, c := range []struct {
			name   string
			strike func(w *harness, first, other *Call) // two calls to the destination, of three messages and of one
			after  time.Duration
			left   int  // messages that go out again
			ends   bool // a written call is given up
		}{
			{"a wait", func(w *harness, _, other *Call) {
				w.onCallFinished(other.inFlight, Result{Written: true, Items: []ItemResult{{Outcome: rules.Errored, RetryAfter: 4 * time.Second}}})
			}, 4 * time.Second, 3, false},
			{"the end of a message", func(w *harness, _, other *Call) { ok(w, other); w.advanceClock(14 * time.Second) }, 100 * time.Millisecond, 2, true},
			{"a withdrawal", func(w *harness, first, other *Call) { ok(w, other); w.Withdraw(first.Items[1].ID); w.runQueuedTasks() }, 100 * time.Millisecond, 2, false},
		} {
			for _, written := range []bool{false, true} {
				w := newHarness(t, t.TempDir(), func(s *rules.Settings) { s.MaxAttempts = 1 })
				w.endpoints.onRecall = func(*Call) bool { return !written }
				w.Recover()
				w.acceptBatch(4, 15*time.Second)
				w.advanceClock(time.Second) // the last one has waited its time for company
				w.step()
				first, other := <-w.endpoints.started, <-w.endpoints.started
				if first.Timeout > 15*time.Second {
					t.Errorf("the call waits %v, want until the first of its messages ends", first.Timeout)
				}
				c.strike(w, first, other)
				w.step()
				if n := len(w.endpoints.recalled); n == 0 || <-w.endpoints.recalled != first || w.counts.Recalled > 1 || (w.counts.Recalled == 1) == written {
					t.Errorf("%s, written %v: %d calls to be called back, counters %+v", c.name, written, n, w.counts)
				}
				w.advanceClock(c.after - 10*time.Millisecond)
				w.step()
				if n := len(w.endpoints.started); n != 0 && c.left == 3 {
					t.Errorf("%s, written %v: %d calls before the wait is over", c.name, written, n)
				}
				w.advanceClock(500 * time.Millisecond)
				w.step()
				again := 0
				for len(w.endpoints.started) > 0 {
					if call := <-w.endpoints.started; len(call.Items) > 1 {
						again = len(call.Items)
					}
				}
				if want := map[bool]int{false: c.left}[written]; again != want {
					t.Errorf("%s, written %v: %d messages go out again, want %d", c.name, written, again, want)
				}
				if n := len(w.endpoints.cancelled); n > 1 || (n == 1) != (written && c.ends) {
					t.Errorf("%s, written %v: %d calls given up, want one if it ends", c.name, written, n)
				}
				if written {
					out := w.snapshot().InFlight
					w.onCallFinished(first.inFlight, Result{Written: true, Items: slices.Repeat([]ItemResult{{Outcome: rules.Cancelled}}, 3)})
					if w.step(); out != 3 || c.ends && w.snapshot().Outcomes[rules.TimedOut] != 3 {
						t.Errorf("%s: %d attempts out before the call has ended, counters %+v", c.name, out, w.snapshot())
					}
				}
				w.checkSums(w.snapshot())
				w.ledger.Close()
			}
		}
	})
}

// Where steps are far apart the module answers before a message's time is over; the call that is out is given up with it.
func TestAFinalAnswerGivesUpTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newHarness(t, t.TempDir(), func(s *rules.Settings) { s.Tick, s.AnswerGrace = time.Second, 0 })
		w.Recover()
		w.Exchange.accept(newMessage("a", "payment", 1), make(chan Answer, 1))
		w.step()
		c := testkit.Receive(t, w.endpoints.started, "call")
		w.advanceClock(14*time.Second + time.Millisecond)
		w.step()
		if n := testkit.Receive(t, w.platform.enqueued, "notice"); n.ID != "a" {
			t.Errorf("notice %+v", n)
		}
		if len(w.endpoints.cancelled) != 1 || <-w.endpoints.cancelled != c {
			t.Error("the call goes on after the final answer")
		}
		w.ledger.Close()
	})
}

// A told wait halts the destination whatever outcome brought it.
func TestWaitWithAnyOutcome(t *testing.T) {
	w := startHarness(t, nil)
	w.mustAccept(newMessage("a", "stock", 1))
	c := testkit.Receive(t, w.endpoints.started, "call")
	w.Finish(c, Result{Written: true, Items: []ItemResult{{Outcome: rules.OK, RetryAfter: time.Hour}}})
	w.waitForCounts("delivered", func(c Counts) bool { return c.Delivered == 1 })
	if a := w.Submit(newMessage("b", "stock", 1)); a.Verdict != Refused || a.RetryAfter != 3*time.Second {
		t.Errorf("handed in during a wait that outlasts it: %+v, want refused with the longest advice", a)
	}
	if n := len(w.endpoints.started); n != 0 {
		t.Errorf("%d calls during the wait", n)
	}
}

// A message whose tenant the settings lack is nobody's, not the first one's.
func TestUnknownTenant(t *testing.T) {
	x := New(Config{Settings: testSettings(), Tenants: []string{"a", "b"}})
	for name, want := range map[string]int{"a": 0, "b": 1, "": 2, "c": 2} {
		if got := x.tenantIndex(name); got != want {
			t.Errorf("%q is tenant %d, want %d", name, got, want)
		}
	}
}

func TestCountersAreNamed(t *testing.T) {
	text := Counts{Submitted: 3, Outcomes: [rules.NotSent + 1]int{rules.Refused: 2}}.LogValue().String()
	for _, want := range []string{"in=3", "full=2", "delivered=0", "not_sent=0"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q not in %s", want, text)
		}
	}
}

// later moves the exchange's clock on. Call it only while the exchange does not run.
func (w *harness) advanceClock(d time.Duration) { w.startedAt = w.startedAt.Add(-d) }

// Thousands of endpoints that replace one another, some at an address used before, and thousands of messages leave
// nothing behind, and idle connections to those gone are closed.
func TestChurn(t *testing.T) {
	w := newHarness(t, t.TempDir(), nil)
	w.Recover()
	replies := make(chan Answer, 10)
	for i := range 3000 {
		peer := Peer{fmt.Sprint("new-", i), fmt.Sprint("127.0.0.1:", 2000+i%5)}
		w.applyListing(Listing{Hosts: []Host{{Peer: peer, Dest: 1}}})
		if i > 0 {
			w.applyListing(Listing{Hosts: []Host{{Peer: Peer{Name: fmt.Sprint("new-", i-1)}, Gone: true}}})
			if left := <-w.endpoints.closed; left.Name != fmt.Sprint("new-", i-1) || left.Addr == "" {
				t.Fatalf("idle connections to %v are closed", left)
			}
		}
		w.Exchange.accept(newMessage(fmt.Sprint("m", i), "stock", 1), replies)
		w.step()
		if a := <-replies; a.Verdict != Accepted {
			t.Fatalf("message %d: %+v", i, a)
		}
		c := <-w.endpoints.started
		w.onCallFinished(c.inFlight, Result{Written: true, Items: []ItemResult{{Outcome: rules.OK}}})
		w.advanceClock(time.Second)
	}
	dir := w.Exchange.directory
	if n := dir.byName.Len() + len(dir.rows) - dir.deadRows; n > 100 || len(dir.rows) > 200 || len(dir.arena.chunks) > 2 {
		t.Errorf("%d numbers and hosts kept of 3000 endpoints, in %d rows and %d chunks", n, len(dir.rows), len(dir.arena.chunks))
	}
	if n := len(w.held) + len(w.callsInFlight) + len(w.unanswered); n != 0 {
		t.Errorf("%d messages and calls kept", n)
	}
	w.ledger.Close()
}

// The names of ended messages are kept for a while and bounded in number.
func TestPast(t *testing.T) {
	p, now := newRecentIDs(nil), time.Now()
	if long := newRecentIDs([]rules.Class{{Deadline: time.Second}, {Deadline: 30 * time.Second}}); p.retention != minIDRetention || long.retention != 30*time.Second {
		t.Errorf("kept %v without classes and %v with one of 30 s", p.retention, long.retention)
	}
	for i := range 3 * maxRecentIDs {
		p.add(fmt.Sprint(i), now)
	}
	if len(p.endedAt) > maxRecentIDs || len(p.order) > maxRecentIDs {
		t.Errorf("%d names kept, %d in line; at most %d", len(p.endedAt), len(p.order), maxRecentIDs)
	}
	if last := fmt.Sprint(3*maxRecentIDs - 1); !p.contains(last, now) || p.contains(last, now.Add(minIDRetention)) || p.contains("0", now) {
		t.Error("the names kept are not those of the last while")
	}
	p.add("x", now.Add(minIDRetention))
	if len(p.endedAt) != 1 || len(p.order) != 1 {
		t.Errorf("%d names kept past their time", len(p.endedAt)-1)
	}
}

// A name whose message has ended, in whatever way, is not taken on again: its message may have run.
func TestEndedNameIsNotTakenAgain(t *testing.T) {
	w := startHarness(t, func(s *rules.Settings) { s.MaxAttempts = 1 })
	for id, o := range map[string]rules.Outcome{"delivered": rules.OK, "failed": rules.Errored} {
		w.mustAccept(newMessage(id, "payment", 1))
		w.finishCall(testkit.Receive(t, w.endpoints.started, "call"), o)
		w.waitForCounts("ended", func(c Counts) bool { return c.Held == 0 })
		if a := w.Submit(newMessage(id, "payment", 1)); a.Verdict != Duplicate {
			t.Errorf("a %s message handed in again: verdict %v", id, a.Verdict)
		}
	}
	if n := len(w.endpoints.started); n != 0 {
		t.Errorf("%d calls for messages that had ended", n)
	}
}

// What keeps coming does not keep the module from its step.
func TestFloodDoesNotStarveTheStep(t *testing.T) {
	w := newHarness(t, t.TempDir(), nil)
	w.Recover()
	n := 0
	var again func()
	again = func() {
		if n++; n < 10000 {
			w.tasks <- again // each event brings the next
		}
	}
	w.tasks <- again
	w.runQueuedTasks()
	if n != 1 {
		t.Errorf("%d events taken in at once, want the one that was there", n)
	}
	w.ledger.Close()
}

// Only what speaks of an endpoint in trouble counts as failed, not limits, full tables or what never left.
func TestWhatCountsAsFailed(t *testing.T) {
	for _, c := range []struct {
		r    ItemResult
		want bool
	}{{ItemResult{Outcome: rules.ConnectError}, true}, {ItemResult{Outcome: rules.ConnectError, ConnectionLimitReached: true}, false},
		{ItemResult{Outcome: rules.Refused}, false}, {ItemResult{Outcome: rules.NotSent}, false},
		{ItemResult{Outcome: rules.Reset}, true}, {ItemResult{Outcome: rules.TimedOut}, true}, {ItemResult{Outcome: rules.Errored}, true}} {
		if got := indicatesFailure(c.r); got != c.want {
			t.Errorf("%+v: failed %v, want %v", c.r, got, c.want)
		}
	}
}
