// Package exchange is where the client side and the endpoint side meet. One goroutine owns the decision module,
// the messages held and the ledger: it takes events, steps the module at most once a tick, and hands out what the
// module wants done. It must never wait for a socket, and never decide what becomes of a message: that is the
// module's, in package rules.
package exchange

import (
	"log/slog"
	"slices"
	"time"

	"eiderhaven/internal/ledger"
	"eiderhaven/internal/message"
	"eiderhaven/rules"
)

// Verdict is what a client is told of a message.
type Verdict int

// The verdicts.
const (
	Accepted  Verdict = iota // the sender owes it an end
	Refused                  // handing it in again is harmless
	Failed                   // given up at once, with no promise
	Unknown                  // nobody has heard of its destination or class
	Duplicate                // a message of that name is held
	Stopped                  // the sender is at its end; as Refused
)

// Answer is the verdict on a message, with the time after which to come back if it was refused.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration
}

// Peer is an endpoint and where it is. A new endpoint may stand where another one was: it is another peer.
type Peer struct{ Name, Addr string }

// Call is one call to an endpoint. The endpoint side does it and hands its result to Exchange.Finish.
type Call struct {
	To      Peer
	Items   []*message.Message
	Timeout time.Duration // how long the sender will wait for it
	WriteBy time.Time     // when its last byte must be written at the latest, or never; zero for whenever
	flight  *flight
}

// Result is how a call ended.
type Result struct {
	Written bool // the last byte of the call was written, so it may have run unless the outcome denies it
	Items   []ItemResult
}

// ItemResult is how one message of a call fared.
type ItemResult struct {
	Outcome                rules.Outcome
	RetryAfter             time.Duration
	NoFreeSlot             bool
	ConnectionLimitReached bool // with ConnectError: the endpoint is there, and says that it holds all the connections it can
	Recalled               bool // with NotSent
	Finished               bool // the endpoint says that the message is over: nothing more is owed
	Report                 rules.Report
}

// Handle lets a call be ended from this side.
type Handle interface {
	// Cancel gives the call up, wherever it is. Its result is still handed in.
	Cancel()
	// Recall gives the call up unless its last byte is written or being written. True: it has not reached the endpoint and
	// never will, and a result still handed in means nothing. False: it goes on.
	Recall() bool
}

// Caller is the endpoint side. None of its methods may wait.
type Caller interface {
	Start(*Call) Handle
	CloseIdle(Peer)
}

// Platform is the side that lists the endpoints and takes notices. None of its methods may wait.
type Platform interface {
	EnqueueNotice(ledger.Notice)
	Watch()
}

// Host is one endpoint as the registry lists it.
type Host struct {
	Peer
	Dest, Kind, Zone int
	Rate             float64
	Draining, Gone   bool
}

// Listing is the registry's list, whole or as changes. Once it was handed in, nobody changes it: several read it.
type Listing struct {
	Whole bool
	Hosts []Host
}

// Config is what an exchange starts from.
type Config struct {
	Settings       *rules.Settings
	Classes        []string // names, in the order of the settings
	Tenants        []string // likewise
	InitialListing Listing  // as this sender last held it
	Ledger         *ledger.Ledger
	Caller         Caller
	Platform       Platform
	Log            *slog.Logger
}

// clockStart is the module's time at the start of the process, so that what an earlier process did lies after 0.
const clockStart = 24 * time.Hour

// Exchange is a running exchange.
type Exchange struct {
	cfg     Config
	in      chan func()
	halt    chan struct{} // closed to end Run
	done    chan struct{} // closed when Run has ended
	started time.Time
	classes map[string]int
	tenants map[string]int

	sender   *rules.Sender
	held     map[string]*held
	flights  []*flight // out, oldest first
	dir      *directory
	past     past
	events   []rules.Event
	fresh    []*held // taken in since the last step, not answered yet
	wakeAt   time.Duration
	since    time.Duration // when the oldest event not stepped yet was seen, negative if none waits
	lastStep time.Duration
	counts   Counts
	stopping bool // in the last step
}

// held is a message between its taking and its end.
type held struct {
	msg      *message.Message
	attempts int
	mayRunAt time.Time   // when an earlier process made the attempt that may have run, if one did
	reply    chan Answer // nil once answered
}

// New returns an exchange that has not started. It hands the module the known list and what the ledger owes.
func New(cfg Config) *Exchange {
	x := &Exchange{cfg: cfg, in: make(chan func(), 1024), halt: make(chan struct{}), done: make(chan struct{}),
		started: time.Now(), classes: map[string]int{}, tenants: map[string]int{}, sender: rules.New(*cfg.Settings), held: map[string]*held{},
		dir: newDirectory(), counts: Counts{Ended: map[rules.EndReason]int{}}, past: newPast(cfg.Settings.Classes), wakeAt: -1, since: -1}
	for i, name := range cfg.Classes {
		x.classes[name] = i
	}
	for i, name := range cfg.Tenants {
		x.tenants[name] = i
	}
	return x
}

// Recover tells the module of the known list, of any that has come since, and of what an earlier process left owed.
// Call it once, before Run.
func (x *Exchange) Recover() {
	x.listed(x.cfg.InitialListing)
	x.cfg.InitialListing = Listing{} // the directory has it
	x.drain()
	for _, o := range x.cfg.Ledger.Outages() {
		if id := x.dir.id(o.Host); id != 0 {
			x.events = append(x.events, rules.RememberedOutage{Endpoint: id, Age: time.Since(o.At), Rate: o.Rate})
		} else {
			x.record(x.cfg.Ledger.RecordOutageEnd(o.Host)) // it is listed no more
		}
	}
	for _, n := range x.cfg.Ledger.Notices() {
		x.cfg.Platform.EnqueueNotice(n)
	}
	owed := x.cfg.Ledger.Pending()
	for _, o := range owed {
		x.restore(o)
	}
	if len(owed) > 0 {
		x.cfg.Log.Info("recovered", "owed", len(owed))
	}
	x.step()
}

// restore hands the module a message that an earlier process had taken.
func (x *Exchange) restore(o ledger.PendingMessage) {
	x.counts.Recovered++
	m := o.Message
	h := &held{msg: m, attempts: o.Attempts}
	x.held[m.ID] = h
	class, known := x.classes[m.Class]
	if !known {
		x.cfg.Log.Warn("a message of a class that is no longer known is given up", "class", m.Class)
		x.fail(h)
		return
	}
	before := rules.PriorAttempts{Count: o.Attempts, Failed: o.FailedAttempts, MayHaveRun: o.MayHaveRun}
	if o.MayHaveRun {
		h.mayRunAt, before.Endpoint = o.MayHaveRunAt, x.dir.id(o.MayHaveRunHost)
	}
	x.events = append(x.events, rules.Arrived{ID: rules.MessageID(m.ID), Destination: m.Dest, Class: class,
		Tenant: x.tenant(m.Tenant), Prior: before})
}

// tenant is the module's number for a tenant: beyond all of them for a message that names none of the settings', which has no
// part in anybody's share.
func (x *Exchange) tenant(name string) int {
	if i, known := x.tenants[name]; known {
		return i
	}
	return len(x.cfg.Tenants)
}

// now is the module's clock.
func (x *Exchange) now() time.Duration { return clockStart + time.Since(x.started) }

// clock is a time of the module's on this machine's clock, and moment the other way round.
func (x *Exchange) clock(at time.Duration) time.Time  { return x.started.Add(at - clockStart) }
func (x *Exchange) moment(at time.Time) time.Duration { return clockStart + at.Sub(x.started) }

// post hands the exchange something to do; it is false if the exchange has ended.
func (x *Exchange) post(f func()) bool {
	select {
	case x.in <- f:
		return true
	case <-x.done:
		return false
	}
}

// Submit hands in a message. The answer comes after the step that takes it in, which is within two ticks.
func (x *Exchange) Submit(m *message.Message) Answer {
	reply := make(chan Answer, 1)
	if !x.post(func() { x.take(m, reply) }) {
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

// Withdraw tells that the client of a message has gone before it heard that the message was taken on.
func (x *Exchange) Withdraw(id string) {
	x.post(func() {
		if h := x.held[id]; h != nil {
			x.counts.Withdrawn++
			x.over(h)
			x.recall(carries(h.msg)) // nothing may reach an endpoint from now on
			x.events = append(x.events, rules.Withdrawn{ID: rules.MessageID(id)})
		}
	})
}

// Finish hands in the result of a call.
func (x *Exchange) Finish(c *Call, r Result) { x.post(func() { x.finished(c.flight, r) }) }

// List hands in what the registry told.
func (x *Exchange) ApplyListing(l Listing) { x.post(func() { x.listed(l) }) }

// listed takes in a list. Idle connections to endpoints that it has lost are closed.
func (x *Exchange) listed(l Listing) {
	e, left := x.dir.update(l)
	x.events = append(x.events, e)
	for _, p := range left {
		x.cfg.Caller.CloseIdle(p)
	}
}

// ListFailed tells that the registry could not be heard.
func (x *Exchange) ListFailed() {
	x.post(func() { x.events = append(x.events, rules.DiscoveryFailed{}) })
}

// SetAside asks for room in the ledger's folder for the list of endpoints, see [ledger.Ledger.SetAside]. It waits for the answer.
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

// Ending tells that Stop will be called after this time.
func (x *Exchange) AnnounceShutdown(after time.Duration) {
	x.post(func() { x.events = append(x.events, rules.ShuttingDown{After: after}) })
}

// Noticed tells that the platform has accepted the notices of these messages.
func (x *Exchange) NoticesAccepted(ids []string) {
	x.post(func() {
		x.counts.NoticesAccepted += len(ids)
		x.record(x.cfg.Ledger.RecordEnd(ids...))
	})
}

// Run steps the module until Stop. What is held then stays in the ledger.
func (x *Exchange) Run() {
	defer close(x.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case f := <-x.in:
			f()
		case <-timer.C:
		case <-x.halt:
			x.drain()
			x.stopping = true
			x.step()
			x.recallAll()
			return
		}
		x.drain()
		timer.Reset(x.advance())
	}
}

// Stop ends Run after one last step and waits for it.
func (x *Exchange) Stop() {
	close(x.halt)
	<-x.done
}

// recallAll calls back, at the end, what no endpoint has got whole yet: the ledger then says that it has not run, and the next
// process tries it again.
func (x *Exchange) recallAll() {
	for _, f := range slices.Clone(x.flights) {
		x.callBack(f)
	}
}

// drain takes in all that has come by now. What comes meanwhile waits for the next time, so that no flood keeps the
// module from its step.
func (x *Exchange) drain() {
	for range len(x.in) {
		(<-x.in)()
	}
}

// advance steps if there is anything to do and its tick is over, and returns when to look again. What comes within
// one tick is told at once, so that messages handed in together can share a call.
func (x *Exchange) advance() time.Duration {
	now := x.now()
	if due := x.nextStep(now); due < 0 || now < due {
		return untilStep(now, due)
	}
	x.step()
	return untilStep(x.now(), x.nextStep(now))
}

// nextStep is when to step next, negative if nothing is to come.
func (x *Exchange) nextStep(now time.Duration) time.Duration {
	tick := x.cfg.Settings.Tick
	due := x.nextDue()
	if len(x.events) > 0 {
		if x.since < 0 {
			x.since = now
		}
		if at := x.since.Truncate(tick) + tick; due < 0 || at < due {
			due = at
		}
	}
	if due < 0 {
		return due
	}
	return max(due, x.lastStep+tick)
}

// untilStep is how long to sleep before a step.
func untilStep(now, due time.Duration) time.Duration {
	const idle = time.Minute
	if due < 0 {
		return idle
	}
	return max(min(due-now, idle), 0)
}

// nextDue is the earliest wake-up or time-out, negative if there is none.
func (x *Exchange) nextDue() time.Duration {
	due := x.wakeAt
	for _, f := range x.flights {
		if !f.quit && (due < 0 || f.due < due) {
			due = f.due
		}
	}
	return due
}
