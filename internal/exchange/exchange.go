// Package exchange connects the client side, which accepts messages, with the endpoint side, which delivers them. One
// goroutine owns the decision module, the held messages and the ledger: it collects events, steps the module at most
// once a tick, and carries out the actions that the module returns. It must never wait for a socket, and must never
// decide what becomes of a message: that is up to the module, package rules.
package exchange

import (
	"log/slog"
	"slices"
	"time"

	"eiderhaven/internal/ledger"
	"eiderhaven/internal/lifecycle"
	"eiderhaven/internal/message"
	"eiderhaven/rules"
)

// Verdict is the answer to a client that submitted a message.
type Verdict int

// The verdicts.
const (
	Accepted  Verdict = iota // the sender is now responsible for the message until it ends
	Refused                  // not accepted; submitting it again is harmless
	Failed                   // abandoned at once; it may or may not have run
	Unknown                  // its class is not configured, or its destination was never listed
	Duplicate                // a message with this ID is held or has ended recently
	Stopped                  // the exchange has stopped; otherwise like Refused
)

// Answer is the verdict on a message. If the message was refused, RetryAfter is how long the client should wait
// before it submits the message again, or 0 if that is not given.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration
}

// Peer is an endpoint's name and address. If another endpoint later uses the same address, it is a different peer.
type Peer struct{ Name, Addr string }

// Call is one call to an endpoint. The endpoint side makes it and passes its result to Exchange.Finish.
type Call struct {
	To      Peer
	Items   []*message.Message
	Timeout time.Duration // how long the sender waits for the answer
	WriteBy time.Time     // the last byte must be written by then, or not at all; zero for no limit

	// ConfirmSoon means that a refusal holds a message up until it is confirmed.
	ConfirmSoon bool

	// LastUse means that the connection is to be closed after the call, unless it carries no other.
	LastUse bool

	inFlight   *callInFlight
	lifecycles []*lifecycle.Message // of Items
}

// MayWrite reports whether the last byte of the call may be written now: all of its messages may be called. The endpoint
// side asks right before it writes that byte, while it holds off Cancel and Recall.
func (c *Call) MayWrite(now time.Time) bool {
	for _, l := range c.lifecycles {
		if l.MayCall(now) != lifecycle.NotDenied {
			return false
		}
	}
	return true
}

// NoteWritten checks, right after the last byte was written, that this was allowed.
func (c *Call) NoteWritten() {
	for _, l := range c.lifecycles {
		l.NoteCalled()
	}
}

// Result is how a call ended.
type Result struct {
	Written bool // the last byte of the call was written, so it may have run unless the outcome rules that out
	Items   []ItemResult

	// Unconfirmed means that the response came on a connection that had carried calls before and does not name this call:
	// it may belong to an earlier one. Exchange.Confirm follows.
	Unconfirmed bool
}

// ItemResult is how a call ended for one of its messages.
type ItemResult struct {
	Outcome                rules.Outcome
	RetryAfter             time.Duration // wait requested by the endpoint
	NoFreeSlot             bool          // with NotSent: every slot was taken
	ConnectionLimitReached bool          // with ConnectError: the endpoint is up, but holds all the connections it can
	Recalled               bool          // with NotSent: the call was recalled
	Finished               bool          // the endpoint reports that the message has already reached its end
	Report                 rules.Report
}

// Handle ends a call from the sender's side.
type Handle interface {
	// Cancel abandons the call, whatever its progress. Its result is still passed to Exchange.Finish.
	Cancel()
	// Recall withdraws the call unless its last byte has been written or is being written. If it returns true, the
	// call has not reached the endpoint completely and never will, and a result that is still passed in is ignored. If it
	// returns false, the call goes on.
	Recall() bool
}

// Caller is the endpoint side. None of its methods may block.
type Caller interface {
	Start(*Call) Handle
	CloseIdle(Peer)
}

// Platform is the outside service that lists the endpoints and accepts notices. None of its methods may block.
type Platform interface {
	EnqueueNotice(ledger.Notice)
	Watch()
}

// Host is one endpoint as the registry lists it.
type Host struct {
	Peer
	Dest, Kind, Zone int
	Rate             float64 // listed rate, in calls per second
	Draining, Gone   bool
}

// Listing is the registry's list: the whole list or changes to it. It must not be modified after it was passed to the
// exchange, because several goroutines read it.
type Listing struct {
	Whole bool
	Hosts []Host
}

// Config is what an exchange starts with.
type Config struct {
	Settings       *rules.Settings
	Classes        []string // class names, in the order of the settings
	Tenants        []string // tenant names, in the order of the settings
	InitialListing Listing  // the list as an earlier process of this sender kept it
	Ledger         *ledger.Ledger
	Caller         Caller
	Platform       Platform
	Log            *slog.Logger
}

// clockStart is the module's time when the process starts. It is not 0, so that what an earlier process did lies at
// positive times.
const clockStart = 24 * time.Hour

// taskQueueSize is how many tasks can wait for the goroutine of Run before post blocks.
const taskQueueSize = 1024

// Exchange runs the decision module between the client side and the endpoint side.
type Exchange struct {
	cfg       Config
	tasks     chan func()
	stop      chan struct{} // closed to end Run
	done      chan struct{} // closed when Run has ended
	startedAt time.Time
	classes   map[string]int // index in the settings, by name
	tenants   map[string]int // index in the settings, by name

	lifecycles    *lifecycle.Guard
	sender        *rules.Sender
	held          map[string]*heldMessage     // by ID
	unconfirmed   map[string]*unconfirmedItem // messages that are over by a response that may be another call's, by ID
	callsInFlight []*callInFlight             // oldest first
	directory     *directory
	events        []rules.Event    // for the next step
	restoring     []restoringState // hard states of an earlier process whose endpoints are not listed yet
	unanswered    []*heldMessage   // accepted since the last step, their clients not answered yet
	wakeAt        time.Duration    // when the module wants to be woken, negative for not at all
	firstEventAt  time.Duration    // when the oldest of events was noticed, negative if there are none

	firstUnconfirmedDue time.Duration // no message in unconfirmed is due before; negative if there are none

	unrecordedStates map[string]rules.HardState // by endpoint name: what the ledger has not taken yet

	lastStep time.Duration
	counts   Counts
	stopping bool // the last step is in progress

	noticesRecovered bool
	recovered        bool // Recover has returned
}

// heldMessage is a message between its acceptance and its end.
type heldMessage struct {
	message      *message.Message
	lifecycle    *lifecycle.Message
	attempts     int
	mayHaveRunAt time.Time // when the earliest attempt that may have run was made; zero if there was none
	mayHaveRunOn rules.EndpointID
	reply        chan Answer // nil once answered
}

// New returns an exchange that has not started. Call Recover before Run.
func New(cfg Config) *Exchange {
	x := &Exchange{
		cfg:              cfg,
		tasks:            make(chan func(), taskQueueSize),
		stop:             make(chan struct{}),
		done:             make(chan struct{}),
		startedAt:        time.Now(),
		classes:          map[string]int{},
		tenants:          map[string]int{},
		lifecycles:       lifecycle.New(cfg.Ledger, cfg.Log),
		sender:           rules.New(*cfg.Settings),
		held:             map[string]*heldMessage{},
		unconfirmed:      map[string]*unconfirmedItem{},
		directory:        newDirectory(),
		unrecordedStates: map[string]rules.HardState{},
		counts:           Counts{Ended: map[rules.EndReason]int{}},
		wakeAt:           -1,
		firstEventAt:     -1,

		firstUnconfirmedDue: -1,
	}
	for i, name := range cfg.Classes {
		x.classes[name] = i
	}
	for i, name := range cfg.Tenants {
		x.tenants[name] = i
	}
	return x
}

// RecoverNotices passes on the notices that an earlier process recorded and the platform has not accepted. Recover does so
// too; call it before, once, where Recover has to wait.
func (x *Exchange) RecoverNotices() {
	if x.noticesRecovered {
		return
	}
	x.noticesRecovered = true
	notices := x.cfg.Ledger.Notices()
	for _, n := range notices {
		x.cfg.Platform.EnqueueNotice(n)
	}
	if len(notices) > 0 {
		x.cfg.Log.Info("notices recovered", "owed", len(notices))
	}
}

// Recover passes the module the initial list, any list that has come since, and the unfinished messages and hard states
// that an earlier process recorded. Call it once, before Run.
func (x *Exchange) Recover() {
	x.applyListing(x.cfg.InitialListing)
	x.cfg.InitialListing = Listing{} // free the memory: the directory has its own copy
	x.runQueuedTasks()
	x.recoverHardStates()
	x.RecoverNotices()
	pending := x.cfg.Ledger.Pending()
	for _, p := range pending {
		x.restore(p)
	}
	if len(pending) > 0 {
		overdue := 0
		for _, p := range pending {
			if !time.Now().Before(p.Message.Deadline) {
				overdue++
			}
		}
		x.cfg.Log.Info("recovered", "owed", len(pending), "out_of_time", overdue)
	}
	x.recovered = true
	x.step()
}

// restore passes the module a message that an earlier process had accepted.
func (x *Exchange) restore(p ledger.PendingMessage) {
	x.counts.Recovered++
	m := p.Message
	h := &heldMessage{message: m, lifecycle: x.lifecycles.Start(m.ID, m.Deadline), attempts: p.Attempts}
	x.held[m.ID] = h
	class, known := x.classes[m.Class]
	if !known {
		x.cfg.Log.Warn("recovered message failed: its class is no longer configured", "class", m.Class)
		x.fail(h)
		return
	}
	prior := rules.PriorAttempts{Count: p.Attempts, Failed: p.FailedAttempts, MayHaveRun: p.MayHaveRun}
	if !p.OpenSince.IsZero() {
		prior.CutOff = rules.CutOffAttempt{
			Endpoint:    x.directory.idByName(p.OpenHost),
			Age:         max(0, time.Since(p.OpenSince)),
			InFlightFor: max(x.cfg.Ledger.LastActivity().Sub(p.OpenSince), time.Nanosecond),
		}
	}
	if p.MayHaveRun {
		h.mayHaveRunAt, h.mayHaveRunOn = p.MayHaveRunAt, x.directory.idByName(p.MayHaveRunHost)
		prior.Endpoint = h.mayHaveRunOn
	}
	x.events = append(x.events, rules.Arrived{
		ID:          rules.MessageID(m.ID),
		Destination: m.Dest,
		Class:       class,
		Bytes:       BatchedBytes(m),
		Tenant:      x.tenantIndex(m.Tenant),
		Recovered:   true,
		Prior:       prior,
	})
}

// tenantIndex returns the module's index of a tenant. A message whose tenant is not configured gets the index after
// the last one, so that it does not count towards any tenant's quota.
func (x *Exchange) tenantIndex(name string) int {
	if i, known := x.tenants[name]; known {
		return i
	}
	return len(x.cfg.Tenants)
}

// now returns the module's time.
func (x *Exchange) now() time.Duration { return clockStart + time.Since(x.startedAt) }

// wallTime converts a time of the module's clock to this machine's clock.
func (x *Exchange) wallTime(at time.Duration) time.Time { return x.startedAt.Add(at - clockStart) }

// moduleTime converts a time of this machine's clock to the module's clock.
func (x *Exchange) moduleTime(at time.Time) time.Duration { return clockStart + at.Sub(x.startedAt) }

// post queues a task for the goroutine of Run. It returns false if the exchange has stopped.
func (x *Exchange) post(task func()) bool {
	select {
	case x.tasks <- task:
		return true
	case <-x.done:
		return false
	}
}

// Submit submits a message and waits for the answer. The answer comes after the step that handles the message, which is
// within two ticks.
func (x *Exchange) Submit(m *message.Message) Answer {
	reply := make(chan Answer, 1)
	if !x.post(func() { x.accept(m, reply) }) {
		return Answer{Verdict: Stopped}
	}
	select {
	case a := <-reply:
		return a
	case <-x.done:
	}
	select { // it may have been answered in the last step
	case a := <-reply:
		return a
	default:
		return Answer{Verdict: Stopped}
	}
}

// Lifecycles returns the guard that decides what may happen to messages. Its counters may be read at any time.
func (x *Exchange) Lifecycles() *lifecycle.Guard { return x.lifecycles }

// Finish reports the result of a call.
func (x *Exchange) Finish(c *Call, r Result) { x.post(func() { x.onCallFinished(c.inFlight, r) }) }

// ApplyListing passes on a list, or changes to it, from the registry.
func (x *Exchange) ApplyListing(l Listing) {
	x.post(func() {
		x.applyListing(l)
		if l.Whole && x.recovered {
			x.dropUnlisted()
		}
	})
}

// applyListing updates the directory. It closes idle connections to endpoints that left the list or moved, and recalls
// calls to them that are not written.
func (x *Exchange) applyListing(l Listing) {
	update, unreachable := x.directory.update(l)
	x.events = append(x.events, update)
	x.restoreListed()
	for _, p := range unreachable {
		x.cfg.Caller.CloseIdle(p)
		// Another process may listen at the address by now.
		x.recallCalls(func(call *callInFlight) bool { return call.request.To == p })
	}
}

// ListFailed reports that the registry could not reach discovery.
func (x *Exchange) ListFailed() {
	x.post(func() { x.events = append(x.events, rules.DiscoveryFailed{}) })
}

// ReserveListSpace asks the ledger to reserve space in the state directory for the list of endpoints, and waits for
// the answer. See [ledger.Ledger.ReserveListSpace].
func (x *Exchange) ReserveListSpace(bytes int64) bool {
	reply := make(chan bool, 1)
	if !x.post(func() { reply <- x.cfg.Ledger.ReserveListSpace(bytes) }) {
		return false
	}
	select {
	case granted := <-reply:
		return granted
	case <-x.done:
		return false
	}
}

// AnnounceShutdown tells the module that Stop will be called after this time.
func (x *Exchange) AnnounceShutdown(after time.Duration) {
	x.post(func() { x.events = append(x.events, rules.ShuttingDown{After: after}) })
}

// NoticesAccepted reports that the platform has accepted the notices of these messages.
func (x *Exchange) NoticesAccepted(ids []string) {
	x.post(func() {
		x.counts.NoticesAccepted += len(ids)
		x.trace("notices accepted", func() []any { return []any{"ids", ids} })
		x.countRecordError(x.cfg.Ledger.RecordNoticesAccepted(ids...))
	})
}

// Run steps the module until Stop is called. Messages that are still held then stay in the ledger.
func (x *Exchange) Run() {
	defer close(x.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case task := <-x.tasks:
			task()
		case <-timer.C:
		case <-x.stop:
			x.runQueuedTasks()
			x.stopping = true
			x.step()
			x.recallAll()
			return
		}
		x.runQueuedTasks()
		timer.Reset(x.stepIfDue())
	}
}

// Stop ends Run after one last step and waits for it to return.
func (x *Exchange) Stop() {
	close(x.stop)
	<-x.done
}

// recallAll recalls, at shutdown, every call that is not fully written. The ledger then shows that its messages have
// not run in this attempt, and the next process tries them again.
func (x *Exchange) recallAll() {
	for _, call := range slices.Clone(x.callsInFlight) {
		x.tryRecall(call)
	}
}

// runQueuedTasks runs the tasks that are queued by now. Tasks that are queued meanwhile wait for the next time, so
// that a flood of tasks cannot keep the module from its step.
func (x *Exchange) runQueuedTasks() {
	for range len(x.tasks) {
		(<-x.tasks)()
	}
}

// stepIfDue steps the module if there is something to do and the tick is over. It returns how long to sleep until the
// next check. Events of one tick are passed to the module together, so that messages submitted together can share a
// call.
func (x *Exchange) stepIfDue() time.Duration {
	now := x.now()
	if due := x.nextStepAt(now); due < 0 || now < due {
		return sleepUntilStep(now, due)
	}
	x.step()
	return sleepUntilStep(x.now(), x.nextStepAt(now))
}

// nextStepAt returns when the next step is due, or a negative time if there is nothing to do.
func (x *Exchange) nextStepAt(now time.Duration) time.Duration {
	tick := x.cfg.Settings.Tick
	due := x.nextTimer()
	if len(x.events) > 0 {
		if x.firstEventAt < 0 {
			x.firstEventAt = now
		}
		if at := x.firstEventAt.Truncate(tick) + tick; due < 0 || at < due {
			due = at
		}
	}
	if due < 0 {
		return due
	}
	return max(due, x.lastStep+tick)
}

// sleepUntilStep returns how long to sleep before a step that is due at this time.
func sleepUntilStep(now, due time.Duration) time.Duration {
	const idle = time.Minute
	if due < 0 {
		return idle
	}
	return max(min(due-now, idle), 0)
}

// nextTimer returns the earliest wake-up or call timeout, or a negative time if there is none.
func (x *Exchange) nextTimer() time.Duration {
	due := x.wakeAt
	if x.firstUnconfirmedDue >= 0 && (due < 0 || x.firstUnconfirmedDue < due) {
		due = x.firstUnconfirmedDue
	}
	for _, call := range x.callsInFlight {
		if !call.abandoned && (due < 0 || call.timeoutAt < due) {
			due = call.timeoutAt
		}
	}
	return due
}
