package exchange

import (
	"fmt"
	"io"
	"log/slog"
	"os"
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

const ledgerLimit = 2 << 20 // bytes

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// endpointSide is a Caller that records what it is asked to do, and leaves it to the test to end the calls.
type endpointSide struct {
	started   chan *Call
	cancelled chan *Call
	recalled  chan *Call
	closed    chan Peer
	onStart   func(*Call)      // may be nil
	onRecall  func(*Call) bool // reports whether the recall succeeds; nil if it always does
}

// handle is the Handle of a call of endpointSide.
type handle struct {
	call *Call
	side *endpointSide
}

func (h handle) Cancel() { h.side.cancelled <- h.call }

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

// notices is a Platform that records the notices.
type notices struct{ enqueued chan ledger.Notice }

func (n *notices) EnqueueNotice(notice ledger.Notice) { n.enqueued <- notice }
func (n *notices) Watch()                             {}

// harness is an exchange between a recording endpoint side and a recording platform.
type harness struct {
	*Exchange
	t         *testing.T
	dir       string // state directory
	ledger    *ledger.Ledger
	endpoints *endpointSide
	platform  *notices
	stopped   bool
}

// testSettings has two kinds of destinations, of which the second takes calls of up to three messages, and two
// classes, of which the second must not be repeated.
func testSettings() *rules.Settings {
	return &rules.Settings{
		Seed:    7,
		Senders: 2,
		Tick:    time.Millisecond,

		Slots:       10,
		MaxHeld:     100,
		MaxAttempts: 4,

		ConnectTimeout:    time.Second,
		KeepAlive:         10 * time.Second,
		MaxRetryAfter:     3 * time.Second,
		MaySendRetryAfter: true,
		MayCancel:         true,

		AnswerGrace:    20 * time.Millisecond,
		DrainGrace:     time.Second,
		ColdShare:      0.2,
		WarmUp:         10 * time.Second,
		FallWindow:     2 * time.Second,
		OverloadFactor: 2,

		LateHalving: true,
		Kinds:       []rules.Kind{{Batch: 1}, {Batch: 3}},
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

// newHarness returns an exchange on a state directory. It is not started.
func newHarness(t *testing.T, dir string, change func(*rules.Settings)) *harness {
	t.Helper()
	settings := testSettings()
	if change != nil {
		change(settings)
	}
	led, err := ledger.Open(dir, ledgerLimit, minIDRetention, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{
		t:      t,
		dir:    dir,
		ledger: led,
		endpoints: &endpointSide{
			started:   make(chan *Call, 200),
			cancelled: make(chan *Call, 200),
			recalled:  make(chan *Call, 200),
			closed:    make(chan Peer, 200),
		},
		platform: &notices{make(chan ledger.Notice, 200)},
	}
	h.Exchange = New(Config{
		Settings:       settings,
		Classes:        []string{"stock", "payment"},
		InitialListing: knownEndpoints,
		Ledger:         led,
		Caller:         h.endpoints,
		Platform:       h.platform,
		Log:            discardLog,
	})
	return h
}

func (h *harness) start() *harness {
	h.Recover()
	go h.Run()
	h.t.Cleanup(h.stopAndClose)
	return h
}

// stopAndClose stops the exchange as a planned exit does.
func (h *harness) stopAndClose() {
	if !h.stopped {
		h.stopped = true
		h.Stop()
		h.ledger.Close()
	}
}

// startHarness starts an exchange on a new state directory.
func startHarness(t *testing.T, change func(*rules.Settings)) *harness {
	return newHarness(t, t.TempDir(), change).start()
}

func newMessage(id, class string, dest int) *message.Message {
	return &message.Message{
		ID:       id,
		Class:    class,
		Dest:     dest,
		Deadline: time.Now().Add(16 * time.Second),
		Body:     []byte("hi"),
	}
}

// mustAccept submits a message, which must be accepted.
func (h *harness) mustAccept(m *message.Message) {
	h.t.Helper()
	if a := h.Submit(m); a.Verdict != Accepted {
		h.t.Fatalf("message %s: verdict %v, want accepted", m.ID, a.Verdict)
	}
}

// finishCall ends a call that was written with the same outcome for all its messages.
func (h *harness) finishCall(c *Call, o rules.Outcome) {
	items := make([]ItemResult, len(c.Items))
	for i := range items {
		items[i].Outcome = o
	}
	h.Finish(c, Result{Written: true, Items: items})
}

// waitForCounts waits until the counters meet a condition, and checks their sums meanwhile.
func (h *harness) waitForCounts(what string, done func(Counts) bool) Counts {
	h.t.Helper()
	var c Counts
	testkit.Eventually(h.t, what, func() bool {
		c = h.Counts()
		h.checkSums(c)
		return done(c)
	})
	return c
}

// checkSums checks the sums that hold between the counters, see Counts.
func (h *harness) checkSums(c Counts) {
	h.t.Helper()
	unanswered := c.Submitted - (c.Unknown + c.Duplicate + c.Refused + c.Failed + c.Accepted)
	ended := c.Delivered + c.Bounced + c.Dead + c.Withdrawn + c.FinishedElsewhere
	if unanswered < 0 || c.Accepted+c.Recovered+unanswered != ended+c.Held {
		h.t.Errorf("messages do not add up: %+v", c)
	}
	sum := c.InFlight
	for _, n := range c.Outcomes {
		sum += n
	}
	if c.Attempts != sum {
		h.t.Errorf("attempts do not add up: %+v", c)
	}
}

// openCopy opens a ledger on a copy of the state directory, as another process would find it after a kill now.
func (h *harness) openCopy() *ledger.Ledger {
	h.t.Helper()
	dir := h.t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(h.dir)); err != nil {
		h.t.Fatal(err)
	}
	l, err := ledger.Open(dir, ledgerLimit, minIDRetention, discardLog)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { l.Close() })
	return l
}

// pendingOnDisk returns the messages that another process would find in the state directory now.
func (h *harness) pendingOnDisk() []ledger.PendingMessage {
	h.t.Helper()
	return h.openCopy().Pending()
}

// TestRecordedBeforeAnswerAndCall expects a message to be recorded before its client is answered, and a call before
// it starts.
func TestRecordedBeforeAnswerAndCall(t *testing.T) {
	h := newHarness(t, t.TempDir(), nil)
	var atStart []ledger.PendingMessage
	h.endpoints.onStart = func(*Call) { atStart = h.pendingOnDisk() }
	h.start()
	h.mustAccept(newMessage("a", "stock", 1))
	c := testkit.Receive(t, h.endpoints.started, "call")
	if c.To.Addr != "127.0.0.1:1001" || len(c.Items) != 1 || c.Items[0].ID != "a" {
		t.Errorf("call: %+v", c)
	}
	if len(atStart) != 1 || !atStart[0].MayHaveRun || atStart[0].MayHaveRunHost != "s-1" || atStart[0].Attempts != 1 {
		t.Errorf("in the ledger as the call starts: %+v", atStart)
	}
	h.finishCall(c, rules.OK)
	h.waitForCounts("delivered", func(c Counts) bool { return c.Delivered == 1 && c.Held == 0 })
	if got := h.pendingOnDisk(); len(got) != 0 {
		t.Errorf("pending after the delivery: %+v", got)
	}
}

// TestRefusedInTheAnswer expects a message that the module refuses in the step that passes it in to be refused in the
// answer, with a Retry-After, and to leave nothing behind.
func TestRefusedInTheAnswer(t *testing.T) {
	h := startHarness(t, func(s *rules.Settings) { s.MaxHeld, s.Slots = 8, 20 })
	refused := 0
	for i := range 30 { // all for one destination, which does not answer: the held messages reach MaxHeld
		a := h.Submit(newMessage(fmt.Sprint("m", i), "stock", 1))
		if a.Verdict != Refused {
			continue
		}
		refused++
		if a.RetryAfter <= 0 {
			t.Error("a refusal has no Retry-After")
		}
	}
	c := h.Counts()
	h.checkSums(c)
	bounced := len(h.platform.enqueued)
	if refused == 0 || refused+bounced != 30-c.Held || refused != c.Refused || bounced != c.Bounced {
		t.Errorf("%d refused, %d bounced of 30: %+v", refused, bounced, c)
	}
	if got := len(h.pendingOnDisk()); got != c.Held {
		t.Errorf("%d messages pending, %d held", got, c.Held)
	}
}

// TestEndsAfterAcceptance expects accepted messages that end undelivered to end with a notice.
func TestEndsAfterAcceptance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t, nil)
		h.mustAccept(newMessage("p", "payment", 1))
		// The message may have run, and its class must not be repeated.
		h.finishCall(testkit.Receive(t, h.endpoints.started, "call"), rules.Reset)
		if n := testkit.Receive(t, h.platform.enqueued, "notice"); n.ID != "p" || !n.Dead {
			t.Errorf("notice: %+v, want p dead", n)
		}
		late := newMessage("s", "stock", 1)
		late.Deadline = time.Now().Add(100 * time.Millisecond)
		h.mustAccept(late)
		if n := testkit.Receive(t, h.platform.enqueued, "notice"); n.ID != "s" || n.Dead || n.RetryAfter <= 0 {
			t.Errorf("notice: %+v, want s bounced with a Retry-After", n)
		}
		c := h.waitForCounts("both ended", func(c Counts) bool { return c.Held == 0 })
		if c.Bounced != 1 || c.Dead != 1 {
			t.Errorf("counters: %+v", c)
		}
		if got := h.openCopy().Notices(); len(got) != 2 {
			t.Errorf("notices not accepted yet: %+v, want two", got)
		}
	})
}

// TestNoticesEndWhenAccepted expects a notice that the platform has accepted not to be repeated after a restart.
func TestNoticesEndWhenAccepted(t *testing.T) {
	h := startHarness(t, nil)
	h.mustAccept(newMessage("p", "payment", 1))
	h.finishCall(testkit.Receive(t, h.endpoints.started, "call"), rules.Reset)
	testkit.Receive(t, h.platform.enqueued, "notice")
	h.NoticesAccepted([]string{"p"})
	h.waitForCounts("notice accepted", func(c Counts) bool { return c.NoticesAccepted == 1 })
	h.stopAndClose()
	next := newHarness(t, h.dir, nil).start()
	next.waitForCounts("recovered", func(c Counts) bool { return c.Recovered == 0 })
	if n := len(next.platform.enqueued); n != 0 {
		t.Errorf("%d notices after the restart, want none", n)
	}
}

// TestRestart starts an exchange on the ledger of a killed process. The unfinished messages go back to the module,
// which decides about each; notices that were not accepted are repeated.
func TestRestart(t *testing.T) {
	dir := t.TempDir()
	led, err := ledger.Open(dir, ledgerLimit, minIDRetention, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	late := newMessage("late", "stock", 1)
	late.Deadline = time.Now().Add(-time.Second)
	unknownClass := newMessage("unknown-class", "no such class", 1)
	for _, m := range []*message.Message{
		newMessage("once-ran", "payment", 1),
		newMessage("once-refused", "payment", 1),
		newMessage("safe-in-flight", "stock", 1),
		late,
		unknownClass,
	} {
		if err := led.RecordAccepted(m); err != nil {
			t.Fatal(err)
		}
	}
	for _, id := range []string{"once-ran", "once-refused", "safe-in-flight"} {
		if err := led.RecordCall([]string{id}, []int{0}, "s-1", time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	if err := led.RecordOutcome("once-refused", 0, false, false); err != nil {
		t.Fatal(err)
	}
	if err := led.RecordNotice(ledger.Notice{ID: "earlier-notice", Dead: true}); err != nil {
		t.Fatal(err)
	}
	led.Close()

	h := newHarness(t, dir, nil).start()
	notified := map[string]bool{}
	for range 4 {
		n := testkit.Receive(t, h.platform.enqueued, "notice")
		notified[n.ID] = n.Dead
	}
	if dead, ok := notified["once-ran"]; !ok || !dead {
		t.Errorf("an at-most-once message that may have run: %v, want dead at once", notified)
	}
	if dead, ok := notified["late"]; !ok || dead {
		t.Errorf("a message past its deadline: %v, want bounced at once", notified)
	}
	if dead, ok := notified["unknown-class"]; !ok || !dead {
		t.Errorf("a message of an unknown class: %v, want dead at once", notified)
	}
	if _, ok := notified["earlier-notice"]; !ok {
		t.Errorf("the notice that was not accepted was not repeated: %v", notified)
	}
	sent := map[string]bool{}
	for range 2 {
		c := testkit.Receive(t, h.endpoints.started, "call")
		sent[c.Items[0].ID] = true
		h.finishCall(c, rules.OK)
	}
	if !sent["once-refused"] || !sent["safe-in-flight"] {
		t.Errorf("sent after the restart: %v", sent)
	}
	c := h.waitForCounts("all ended", func(c Counts) bool { return c.Held == 0 })
	if c.Recovered != 5 || c.Delivered != 2 {
		t.Errorf("counters: %+v", c)
	}
}

// TestStopKeepsHeldMessages expects a planned exit to start no call in its last step and to answer every waiting
// client. The next process finds all held messages.
func TestStopKeepsHeldMessages(t *testing.T) {
	h := startHarness(t, func(s *rules.Settings) { s.Slots = 1 })
	h.mustAccept(newMessage("a", "stock", 1))
	testkit.Receive(t, h.endpoints.started, "call")
	h.mustAccept(newMessage("b", "stock", 1))
	answers := make(chan Answer, 1)
	go func() { answers <- h.Submit(newMessage("c", "stock", 1)) }()
	h.stopAndClose()
	a := testkit.Receive(t, answers, "answer")
	if n := len(h.endpoints.started); n != 0 {
		t.Errorf("%d calls started in the last step", n)
	}
	want := 2
	if a.Verdict == Accepted {
		want = 3
	} else if a.Verdict != Stopped {
		t.Errorf("verdict %v in the last step", a.Verdict)
	}
	if got := h.pendingOnDisk(); len(got) != want {
		t.Errorf("%d messages pending after the exit, want %d", len(got), want)
	}
	if a := h.Submit(newMessage("d", "stock", 1)); a.Verdict != Stopped {
		t.Errorf("after the exit: verdict %v", a.Verdict)
	}
}

// TestStopRecallsUnwrittenCalls expects a planned exit to recall a call that is not fully written. The next process
// then finds that its message has not run, and may try it whatever its class. A call that is written may have run.
func TestStopRecallsUnwrittenCalls(t *testing.T) {
	for _, written := range []bool{false, true} {
		h := startHarness(t, nil)
		h.endpoints.onRecall = func(*Call) bool { return !written }
		h.mustAccept(newMessage("a", "payment", 1))
		c := testkit.Receive(t, h.endpoints.started, "call")
		h.stopAndClose()
		if got := testkit.Receive(t, h.endpoints.recalled, "recall"); got != c {
			t.Errorf("written %v: recalled %+v, want %+v", written, got, c)
		}
		if pending := h.pendingOnDisk(); len(pending) != 1 || pending[0].MayHaveRun != written {
			t.Errorf("written %v: the next process finds %+v", written, pending)
		}
	}
}

// TestWithdrawn expects a message to end without a notice when it is withdrawn, and further withdrawals to do
// nothing.
func TestWithdrawn(t *testing.T) {
	h := startHarness(t, nil)
	h.mustAccept(newMessage("a", "stock", 1))
	c := testkit.Receive(t, h.endpoints.started, "call")
	h.Withdraw("a")
	h.Withdraw("a")
	h.Withdraw("unknown")
	h.finishCall(c, rules.Errored)
	got := h.waitForCounts("ended", func(c Counts) bool { return c.Held == 0 && c.InFlight == 0 })
	if got.Withdrawn != 1 || got.Attempts != 1 {
		t.Errorf("counters: %+v", got)
	}
	if n := len(h.platform.enqueued); n != 0 {
		t.Errorf("%d notices for a withdrawn message", n)
	}
	if got := h.pendingOnDisk(); len(got) != 0 {
		t.Errorf("pending: %+v", got)
	}
}

func TestUnknownAndDuplicate(t *testing.T) {
	h := startHarness(t, nil)
	for _, m := range []*message.Message{newMessage("a", "no such class", 1), newMessage("a", "stock", 3)} {
		if a := h.Submit(m); a.Verdict != Unknown {
			t.Errorf("class %s, destination %d: verdict %v", m.Class, m.Dest, a.Verdict)
		}
	}
	h.mustAccept(newMessage("a", "stock", 1))
	if a := h.Submit(newMessage("a", "stock", 1)); a.Verdict != Duplicate {
		t.Errorf("the same ID again: verdict %v", a.Verdict)
	}
	h.checkSums(h.Counts())
}

// TestFullLedgerRefuses expects a full ledger to refuse new messages while those held are still delivered.
func TestFullLedgerRefuses(t *testing.T) {
	h := startHarness(t, func(s *rules.Settings) { s.MaxHeld, s.Slots = 1000, 1 })
	n := 0
	for ; n < 100; n++ {
		m := newMessage(fmt.Sprint("m", n), "stock", 1)
		m.Body = make([]byte, 60<<10)
		a := h.Submit(m)
		if a.Verdict == Refused {
			if a.RetryAfter <= 0 {
				t.Error("a refusal has no Retry-After")
			}
			break
		}
	}
	if n == 100 {
		t.Fatal("6 MB accepted with a limit of 2 MB")
	}
	h.finishCall(testkit.Receive(t, h.endpoints.started, "call"), rules.OK)
	testkit.Receive(t, h.endpoints.started, "next call")
	h.checkSums(h.Counts())
}

// TestBatches expects messages that one step sends to an endpoint to share calls, up to the batch size.
func TestBatches(t *testing.T) {
	h := newHarness(t, t.TempDir(), nil)
	h.Recover()
	replies := make(chan Answer, 10)
	for i := range 7 {
		h.Exchange.accept(newMessage(fmt.Sprint("m", i), "stock", 2), replies)
	}
	h.step()
	sizes := []int{}
	for len(h.endpoints.started) > 0 {
		c := <-h.endpoints.started
		sizes = append(sizes, len(c.Items))
	}
	if fmt.Sprint(sizes) != "[3 3 1]" && fmt.Sprint(sizes) != "[3 3]" {
		t.Errorf("calls of %v messages, want full calls of 3", sizes)
	}
	h.ledger.Close()
}

// TestTimeout expects an attempt that times out to end its call. The outcome depends on whether the call was written:
// only then it may have run.
func TestTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, written := range []bool{true, false} {
			h := startHarness(t, func(s *rules.Settings) { s.MaxAttempts = 1 })
			m := newMessage("a", "payment", 1)
			m.Deadline = time.Now().Add(150 * time.Millisecond)
			h.mustAccept(m)
			c := testkit.Receive(t, h.endpoints.started, "call")
			if c.Timeout <= 0 || c.Timeout > 150*time.Millisecond {
				t.Errorf("the call times out after %v, want at most the time left to the deadline", c.Timeout)
			}
			if got := testkit.Receive(t, h.endpoints.cancelled, "cancellation"); got != c {
				t.Errorf("another call was cancelled")
			}
			h.Finish(c, Result{Written: written, Items: []ItemResult{{Outcome: rules.Cancelled}}})
			want := rules.ConnectError
			if written {
				want = rules.TimedOut
			}
			h.waitForCounts("attempt ended", func(c Counts) bool { return c.Outcomes[want] == 1 && c.Held == 0 })
		}
	})
}

// TestAnswerAfterTimeoutCounts expects an answer that arrives while the call is being cancelled to count.
func TestAnswerAfterTimeoutCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t, nil)
		m := newMessage("a", "payment", 1)
		m.Deadline = time.Now().Add(100 * time.Millisecond)
		h.mustAccept(m)
		c := testkit.Receive(t, h.endpoints.started, "call")
		testkit.Receive(t, h.endpoints.cancelled, "cancellation")
		h.finishCall(c, rules.OK)
		h.waitForCounts("answer counted", func(c Counts) bool { return c.Outcomes[rules.OK] == 1 && c.InFlight == 0 })
	})
}

// TestNoAttemptAtTheDeadline steps half a message's time after its submission. The module must count the time from
// the submission too, so that the message has ended when its call is abandoned, and is not sent again.
func TestNoAttemptAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, t.TempDir(), nil)
		h.Recover()
		m := newMessage("a", "stock", 1)
		m.Deadline = time.Now().Add(200 * time.Millisecond)
		h.Exchange.accept(m, make(chan Answer, 1))
		halfTime := func() bool { return time.Until(m.Deadline) < 100*time.Millisecond }
		testkit.Eventually(t, "half the time to the deadline", halfTime)
		h.step()
		c := testkit.Receive(t, h.endpoints.started, "call")
		testkit.Eventually(t, "the deadline", func() bool { return time.Until(m.Deadline) < 0 })
		h.step()
		h.onCallFinished(c.inFlight, Result{Written: true, Items: []ItemResult{{Outcome: rules.Cancelled}}})
		h.step()
		if n, notices := len(h.endpoints.started), len(h.platform.enqueued); n != 0 || notices != 1 {
			t.Errorf("%d calls after the deadline and %d notices, want none and one", n, notices)
		}
		h.ledger.Close()
	})
}

// TestDeliveryNearTheDeadline expects an endpoint's 200 to count as a delivery, also shortly before the deadline or
// after it and before the step that would abandon the call. In these cases it is followed by a notice; see
// onDelivered.
func TestDeliveryNearTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for left, wantNotices := range map[time.Duration]int{
			200 * time.Millisecond: 0,
			deadlineSlack / 2:      1,
			0:                      1,
			-3 * time.Millisecond:  1,
		} {
			h := newHarness(t, t.TempDir(), nil)
			h.Recover()
			m := newMessage("a", "payment", 1)
			h.Exchange.accept(m, make(chan Answer, 1))
			h.step()
			c := testkit.Receive(t, h.endpoints.started, "call")
			m.Deadline = time.Now().Add(left)
			h.onCallFinished(c.inFlight, Result{Written: true, Items: []ItemResult{{Outcome: rules.OK}}})
			h.step()
			got, notices := h.snapshot(), len(h.platform.enqueued)
			if notices != wantNotices || got.Delivered != 1 || got.Held != 0 || got.InFlight != 0 {
				t.Errorf("with %v left: %d notices, want %d; counters %+v", left, notices, wantNotices, got)
			}
			if recorded := len(h.pendingOnDisk()) + len(h.ledger.Notices()); recorded != wantNotices {
				t.Errorf("with %v left: %d messages and notices in the ledger, want %d", left, recorded, wantNotices)
			}
			h.checkSums(h.snapshot())
			h.ledger.Close()
		}
	})
}

// TestFinishedElsewhere expects no notice for a message that the endpoint reports as finished (410), and one for a
// message that has used up its attempts (504).
func TestFinishedElsewhere(t *testing.T) {
	h := startHarness(t, nil)
	h.mustAccept(newMessage("a", "stock", 1))
	c := testkit.Receive(t, h.endpoints.started, "call")
	h.Finish(c, Result{Written: true, Items: []ItemResult{{Outcome: rules.NotSent, Finished: true}}})
	got := h.waitForCounts("ended", func(c Counts) bool { return c.Held == 0 })
	if got.FinishedElsewhere != 1 || len(h.platform.enqueued) != 0 {
		t.Errorf("%d notices, counters %+v", len(h.platform.enqueued), got)
	}
	h.mustAccept(newMessage("b", "stock", 1))
	for range 4 {
		h.finishCall(testkit.Receive(t, h.endpoints.started, "call"), rules.NotSent)
	}
	if n := testkit.Receive(t, h.platform.enqueued, "notice"); n.ID != "b" {
		t.Errorf("notice: %+v", n)
	}
}

// TestNoCallToEndpointOfAnotherDestination lists an endpoint under another destination than before. A message for the
// old destination must not be sent to it.
func TestNoCallToEndpointOfAnotherDestination(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t, nil)
		h.ApplyListing(Listing{Whole: true, Hosts: []Host{{Peer: Peer{"s-1", "127.0.0.1:1001"}, Dest: 9}}})
		m := newMessage("a", "stock", 1)
		m.Deadline = time.Now().Add(200 * time.Millisecond)
		h.mustAccept(m)
		if n := testkit.Receive(t, h.platform.enqueued, "notice"); n.ID != "a" {
			t.Errorf("notice: %+v", n)
		}
		if n := len(h.endpoints.started); n != 0 {
			t.Errorf("%d calls to an endpoint of another destination", n)
		}
	})
}

// TestDrainRecallsUnwrittenCall expects a call that still waits for its connection to be recalled when its endpoint
// starts to drain or leaves the list. Its message is sent to another endpoint.
func TestDrainRecallsUnwrittenCall(t *testing.T) {
	other := Host{Peer: Peer{"s-3", "127.0.0.1:1003"}, Dest: 1}
	for name, list := range map[string]Listing{
		"draining":              {Hosts: []Host{{Peer: knownEndpoints.Hosts[0].Peer, Dest: 1, Draining: true}, other}},
		"gone":                  {Hosts: []Host{{Peer: knownEndpoints.Hosts[0].Peer, Gone: true}, other}},
		"not in the whole list": {Whole: true, Hosts: []Host{other}},
	} {
		h := startHarness(t, nil)
		h.mustAccept(newMessage("a", "stock", 1))
		c := testkit.Receive(t, h.endpoints.started, "call")
		h.ApplyListing(list)
		if got := testkit.Receive(t, h.endpoints.recalled, "recall"); got != c {
			t.Errorf("%s: recalled %+v, want %+v", name, got, c)
		}
		if got := testkit.Receive(t, h.endpoints.started, "call"); got.To != other.Peer {
			t.Errorf("%s: sent to %+v next", name, got.To)
		}
	}
}

// TestChangesOfUnlistedEndpoints applies changes of endpoints that were never listed: one that is gone is ignored,
// one that drains gets no calls, and one that is in service is new.
func TestChangesOfUnlistedEndpoints(t *testing.T) {
	h := startHarness(t, nil)
	h.ApplyListing(Listing{Hosts: []Host{
		{Peer: Peer{"s-7", "127.0.0.1:1007"}, Dest: 7, Gone: true},
		{Peer: Peer{"s-8", "127.0.0.1:1008"}, Dest: 1, Draining: true},
		{Peer: Peer{"s-9", "127.0.0.1:1009"}, Dest: 9},
	}})
	if a := h.Submit(newMessage("gone", "stock", 7)); a.Verdict != Unknown {
		t.Errorf("verdict %v for a destination of which only a removal was listed", a.Verdict)
	}
	h.mustAccept(newMessage("new", "stock", 9))
	if c := testkit.Receive(t, h.endpoints.started, "call"); c.To.Name != "s-9" {
		t.Errorf("sent to %v", c.To)
	}
	for i := range 5 {
		h.mustAccept(newMessage(fmt.Sprint("m", i), "stock", 1))
		c := testkit.Receive(t, h.endpoints.started, "call")
		if c.To.Name != "s-1" {
			t.Errorf("sent to %v", c.To)
		}
		h.finishCall(c, rules.OK)
	}
	removal := Host{Peer: Peer{Name: "s-9"}, Gone: true}
	h.ApplyListing(Listing{Hosts: []Host{removal, removal}}) // listed twice
	h.mustAccept(newMessage("after", "stock", 1))
	testkit.Receive(t, h.endpoints.started, "call")
}

// TestReserveListSpace expects the ledger to grant space for the list of endpoints, and an exchange that has stopped
// to refuse it at once.
func TestReserveListSpace(t *testing.T) {
	h := startHarness(t, nil)
	if !h.ReserveListSpace(100_000) || h.ReserveListSpace(2<<20) {
		t.Error("space is not granted as the ledger has it")
	}
	h.stopAndClose()
	if h.ReserveListSpace(1) {
		t.Error("space granted after the stop")
	}
}

// acceptBatch passes in n messages for the destination whose calls carry up to three, and steps. The first message
// ends after this time, sooner than the others.
func (h *harness) acceptBatch(n int, first time.Duration) {
	replies := make(chan Answer, n)
	for i := range n {
		m := newMessage(fmt.Sprint("m", i), "payment", 2) // attempts of this class do not time out before the deadline
		if i == 0 {
			m.Deadline = time.Now().Add(first)
		}
		h.Exchange.accept(m, replies)
	}
	h.step()
}

// recordAttempt records a message with one attempt that may have run, as an earlier process would.
func (h *harness) recordAttempt(m *message.Message, at time.Time) {
	h.t.Helper()
	for _, err := range []error{
		h.ledger.RecordAccepted(m),
		h.ledger.RecordCall([]string{m.ID}, []int{0}, "s-1", at),
		h.ledger.RecordOutcome(m.ID, 0, true, true),
	} {
		if err != nil {
			h.t.Fatal(err)
		}
	}
}

// TestRepeatHasWriteBy expects a repeat to have a time by which it must be written: the window of its class, counted
// from the first attempt, even if that was made by an earlier process.
func TestRepeatHasWriteBy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		window := 3 * time.Second
		h := newHarness(t, t.TempDir(), func(s *rules.Settings) {
			s.Classes[0].Effect, s.Classes[0].Window = rules.Keyed, window
		})
		earlier := time.Now().Add(-time.Second)
		h.recordAttempt(newMessage("before", "stock", 1), earlier)
		h.start()
		c := testkit.Receive(t, h.endpoints.started, "repeat")
		if latest := c.WriteBy.Sub(earlier); latest > window || latest < window-100*time.Millisecond {
			t.Errorf("the repeat may be written up to %v after the first attempt, the window is %v", latest, window)
		}
		h.mustAccept(newMessage("new", "stock", 1))
		if c := testkit.Receive(t, h.endpoints.started, "call"); !c.WriteBy.IsZero() {
			t.Errorf("a first attempt has to be written by %v", c.WriteBy)
		}
	})
}

// TestSlowRestartKeepsTheWindow expects that time to count from the first attempt, even if the first step comes long
// after the ledger was read.
func TestSlowRestartKeepsTheWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		window := 3 * time.Second
		h := newHarness(t, t.TempDir(), func(s *rules.Settings) {
			s.Classes[0].Effect, s.Classes[0].Window = rules.Keyed, window
		})
		earlier := time.Now()
		h.recordAttempt(newMessage("before", "stock", 1), earlier)
		time.Sleep(time.Second)
		h.applyListing(knownEndpoints)
		for _, p := range h.ledger.Pending() {
			h.restore(p)
		}
		time.Sleep(200 * time.Millisecond) // as when the rest of a large ledger is read on a busy machine
		h.step()
		c := testkit.Receive(t, h.endpoints.started, "repeat")
		if latest := c.WriteBy.Sub(earlier); latest > window || latest < window-100*time.Millisecond {
			t.Errorf("the repeat may be written up to %v after the first attempt, the window is %v", latest, window)
		}
		h.ledger.Close()
	})
}

// TestBatchedCallEndsAsAWhole checks what happens to a call of several messages on three events. If the call is not
// written, it is recalled as a whole in the same step, and that counts as no attempt: on a Retry-After in the answer
// to another call, at the deadline of one of its messages, and when one is withdrawn. The remaining messages are sent
// again together as soon as they may be. If the call is written, it goes on after a Retry-After and a withdrawal, but
// the end of one message abandons it as a whole, and no message is sent again while it may still be answered.
func TestBatchedCallEndsAsAWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answerOK := func(h *harness, c *Call) {
			h.onCallFinished(c.inFlight, Result{Written: true, Items: []ItemResult{{Outcome: rules.OK}}})
		}
		for _, c := range []struct {
			name      string
			event     func(h *harness, first, other *Call) // two calls to the destination, of three messages and of one
			wait      time.Duration                        // until the remaining messages may be sent again
			remaining int                                  // messages that are sent again
			abandoned bool                                 // a written call is abandoned
		}{
			{"Retry-After", func(h *harness, _, other *Call) {
				result := ItemResult{Outcome: rules.OK, RetryAfter: 4 * time.Second}
				h.onCallFinished(other.inFlight, Result{Written: true, Items: []ItemResult{result}})
			}, 4 * time.Second, 3, false},
			{"deadline of a message", func(h *harness, _, other *Call) {
				answerOK(h, other)
				h.advanceClock(14 * time.Second)
			}, 100 * time.Millisecond, 2, true},
			{"withdrawal", func(h *harness, first, other *Call) {
				answerOK(h, other)
				h.Withdraw(first.Items[1].ID)
				h.runQueuedTasks()
			}, 100 * time.Millisecond, 2, false},
		} {
			for _, written := range []bool{false, true} {
				h := newHarness(t, t.TempDir(), func(s *rules.Settings) { s.MaxAttempts = 1 })
				h.endpoints.onRecall = func(*Call) bool { return !written }
				h.Recover()
				h.acceptBatch(4, 15*time.Second)
				h.advanceClock(time.Second) // the last message has waited long enough for others to share its call
				h.step()
				first, other := <-h.endpoints.started, <-h.endpoints.started
				if first.Timeout > 15*time.Second {
					t.Errorf("the call times out after %v, want the first deadline of its messages", first.Timeout)
				}
				c.event(h, first, other)
				h.step()
				if n := len(h.endpoints.recalled); n == 0 || <-h.endpoints.recalled != first ||
					h.counts.Recalled > 1 || (h.counts.Recalled == 1) == written {
					t.Errorf("%s, written %v: %d recalls, counters %+v", c.name, written, n, h.counts)
				}
				h.advanceClock(c.wait - 10*time.Millisecond)
				h.step()
				if n := len(h.endpoints.started); n != 0 && c.remaining == 3 {
					t.Errorf("%s, written %v: %d calls before the wait is over", c.name, written, n)
				}
				h.advanceClock(500 * time.Millisecond)
				h.step()
				again := 0
				for len(h.endpoints.started) > 0 {
					if call := <-h.endpoints.started; len(call.Items) > 1 {
						again = len(call.Items)
					}
				}
				want := c.remaining
				if written {
					want = 0
				}
				if again != want {
					t.Errorf("%s, written %v: %d messages are sent again, want %d", c.name, written, again, want)
				}
				if n := len(h.endpoints.cancelled); n > 1 || (n == 1) != (written && c.abandoned) {
					t.Errorf("%s, written %v: %d calls cancelled, want one if it is abandoned", c.name, written, n)
				}
				if written {
					inFlight := h.snapshot().InFlight
					cancelled := slices.Repeat([]ItemResult{{Outcome: rules.Cancelled}}, 3)
					h.onCallFinished(first.inFlight, Result{Written: true, Items: cancelled})
					h.step()
					if inFlight != 3 || c.abandoned && h.snapshot().Outcomes[rules.TimedOut] != 3 {
						t.Errorf("%s: %d attempts in flight before the call has ended, counters %+v",
							c.name, inFlight, h.snapshot())
					}
				}
				h.checkSums(h.snapshot())
				h.ledger.Close()
			}
		}
	})
}

// TestFinalAnswerAbandonsTheCall uses a long tick, with which the module ends a message before its deadline. The
// message's call must then be abandoned.
func TestFinalAnswerAbandonsTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, t.TempDir(), func(s *rules.Settings) { s.Tick, s.AnswerGrace = time.Second, 0 })
		h.Recover()
		h.Exchange.accept(newMessage("a", "payment", 1), make(chan Answer, 1))
		h.step()
		c := testkit.Receive(t, h.endpoints.started, "call")
		h.advanceClock(14*time.Second + time.Millisecond)
		h.step()
		if n := testkit.Receive(t, h.platform.enqueued, "notice"); n.ID != "a" {
			t.Errorf("notice %+v", n)
		}
		if len(h.endpoints.cancelled) != 1 || <-h.endpoints.cancelled != c {
			t.Error("the call goes on after the final answer")
		}
		h.ledger.Close()
	})
}

// TestRetryAfterWithAnyOutcome expects a Retry-After to pause the destination with whatever outcome it comes.
func TestRetryAfterWithAnyOutcome(t *testing.T) {
	h := startHarness(t, nil)
	h.mustAccept(newMessage("a", "stock", 1))
	c := testkit.Receive(t, h.endpoints.started, "call")
	h.Finish(c, Result{Written: true, Items: []ItemResult{{Outcome: rules.OK, RetryAfter: time.Hour}}})
	h.waitForCounts("delivered", func(c Counts) bool { return c.Delivered == 1 })
	if a := h.Submit(newMessage("b", "stock", 1)); a.Verdict != Refused || a.RetryAfter != 3*time.Second {
		t.Errorf("submitted during a wait beyond its deadline: %+v, want refused with the longest Retry-After", a)
	}
	if n := len(h.endpoints.started); n != 0 {
		t.Errorf("%d calls during the wait", n)
	}
}

// TestUnknownTenant expects a tenant that is not configured to get an index of its own, not that of the first tenant.
func TestUnknownTenant(t *testing.T) {
	x := New(Config{Settings: testSettings(), Tenants: []string{"a", "b"}})
	for name, want := range map[string]int{"a": 0, "b": 1, "": 2, "c": 2} {
		if got := x.tenantIndex(name); got != want {
			t.Errorf("%q is tenant %d, want %d", name, got, want)
		}
	}
}

// TestCountersAreNamed expects the counters under their names in the log.
func TestCountersAreNamed(t *testing.T) {
	text := Counts{Submitted: 3, Outcomes: [rules.NotSent + 1]int{rules.Refused: 2}}.LogValue().String()
	for _, want := range []string{"in=3", "full=2", "delivered=0", "not_sent=0"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q not in %s", want, text)
		}
	}
}

// advanceClock advances the exchange's clock. It must not be called while the exchange runs.
func (h *harness) advanceClock(d time.Duration) { h.startedAt = h.startedAt.Add(-d) }

// TestChurn lets thousands of endpoints replace one another, some at an address used before, and delivers a message
// to each. Nothing may be left of them, and idle connections to removed endpoints are closed.
func TestChurn(t *testing.T) {
	h := newHarness(t, t.TempDir(), nil)
	h.Recover()
	replies := make(chan Answer, 10)
	for i := range 3000 {
		peer := Peer{fmt.Sprint("new-", i), fmt.Sprint("127.0.0.1:", 2000+i%5)}
		h.applyListing(Listing{Hosts: []Host{{Peer: peer, Dest: 1}}})
		if i > 0 {
			h.applyListing(Listing{Hosts: []Host{{Peer: Peer{Name: fmt.Sprint("new-", i-1)}, Gone: true}}})
			if peer := <-h.endpoints.closed; peer.Name != fmt.Sprint("new-", i-1) || peer.Addr == "" {
				t.Fatalf("idle connections to %v are closed", peer)
			}
		}
		h.Exchange.accept(newMessage(fmt.Sprint("m", i), "stock", 1), replies)
		h.step()
		if a := <-replies; a.Verdict != Accepted {
			t.Fatalf("message %d: %+v", i, a)
		}
		c := <-h.endpoints.started
		h.onCallFinished(c.inFlight, Result{Written: true, Items: []ItemResult{{Outcome: rules.OK}}})
		h.advanceClock(time.Second)
	}
	d := h.Exchange.directory
	n := d.byName.Len() + len(d.rows) - d.deadRows
	if n > 100 || len(d.rows) > 200 || len(d.arena.chunks) > 2 {
		t.Errorf("%d names and hosts kept of 3000 endpoints, in %d rows and %d chunks",
			n, len(d.rows), len(d.arena.chunks))
	}
	if n := len(h.held) + len(h.callsInFlight) + len(h.unanswered); n != 0 {
		t.Errorf("%d messages and calls kept", n)
	}
	h.ledger.Close()
}

// TestIDRetention expects IDs of ended messages to be known as long as a message of any class may live.
func TestIDRetention(t *testing.T) {
	classes := []rules.Class{{Deadline: time.Second}, {Deadline: 30 * time.Second}}
	if short, long := IDRetention(nil), IDRetention(classes); short != minIDRetention || long != 30*time.Second {
		t.Errorf("known for %v without classes and %v with one of 30 s", short, long)
	}
}

// TestEndedIDIsDuplicate expects the ID of a message that has ended, in whatever way, not to be accepted again,
// because the message may have run.
func TestEndedIDIsDuplicate(t *testing.T) {
	h := startHarness(t, func(s *rules.Settings) { s.MaxAttempts = 1 })
	for id, o := range map[string]rules.Outcome{"delivered": rules.OK, "failed": rules.Errored} {
		h.mustAccept(newMessage(id, "payment", 1))
		h.finishCall(testkit.Receive(t, h.endpoints.started, "call"), o)
		h.waitForCounts("ended", func(c Counts) bool { return c.Held == 0 })
		if a := h.Submit(newMessage(id, "payment", 1)); a.Verdict != Duplicate {
			t.Errorf("a %s message submitted again: verdict %v", id, a.Verdict)
		}
	}
	if n := len(h.endpoints.started); n != 0 {
		t.Errorf("%d calls for messages that had ended", n)
	}
}

// TestTaskFloodDoesNotStarveTheStep queues tasks that each queue the next. They must not keep the module from its
// step.
func TestTaskFloodDoesNotStarveTheStep(t *testing.T) {
	h := newHarness(t, t.TempDir(), nil)
	h.Recover()
	n := 0
	var again func()
	again = func() {
		if n++; n < 10000 {
			h.tasks <- again // each task queues the next
		}
	}
	h.tasks <- again
	h.runQueuedTasks()
	if n != 1 {
		t.Errorf("%d tasks run at once, want the one that was queued", n)
	}
	h.ledger.Close()
}

// TestIndicatesFailure expects only faults of an endpoint to count as failures: not refusals, its connection limit or
// calls that were never sent.
func TestIndicatesFailure(t *testing.T) {
	for _, c := range []struct {
		r    ItemResult
		want bool
	}{
		{ItemResult{Outcome: rules.ConnectError}, true},
		{ItemResult{Outcome: rules.ConnectError, ConnectionLimitReached: true}, false},
		{ItemResult{Outcome: rules.Refused}, false},
		{ItemResult{Outcome: rules.NotSent}, false},
		{ItemResult{Outcome: rules.Reset}, true},
		{ItemResult{Outcome: rules.TimedOut}, true},
		{ItemResult{Outcome: rules.Errored}, true},
	} {
		if got := indicatesFailure(c.r); got != c.want {
			t.Errorf("%+v: failure %v, want %v", c.r, got, c.want)
		}
	}
}

// TestLongMessagesTravelInSeveralCalls guards against a call over the longest body that the protocol allows, which is
// refused as a whole (review case 6): no more messages share a call than fit, and all are sent.
func TestLongMessagesTravelInSeveralCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, t.TempDir(), nil)
		h.Recover()
		for i := range 4 {
			m := newMessage(fmt.Sprint("m", i), "payment", 2)
			m.Body = make([]byte, 30<<10)
			h.Exchange.accept(m, make(chan Answer, 1))
		}
		h.step()
		h.advanceClock(time.Second) // the messages have waited long enough for others to share their call
		h.step()
		sent := 0
		for len(h.endpoints.started) > 0 {
			call := <-h.endpoints.started
			bytes := 0
			for _, m := range call.Items {
				bytes += BatchedBytes(m)
			}
			if sent += len(call.Items); bytes > rules.MaxCallBytes {
				t.Errorf("a call of %d messages has %d bytes, want at most %d", len(call.Items), bytes, rules.MaxCallBytes)
			}
		}
		if sent != 4 {
			t.Errorf("%d messages sent, want 4", sent)
		}
		h.ledger.Close()
	})
}
