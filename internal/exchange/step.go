// This file is one step: what has come in goes to the module, what the module wants is recorded and handed out, and
// outcomes are booked. It owns the calls that are out. It must never hand out what the ledger has not recorded, nor
// choose between two actions.

package exchange

import (
	"slices"
	"time"

	"eiderhaven/internal/ledger"
	"eiderhaven/internal/message"
	"eiderhaven/rules"
)

// flight is a call that is out. Its messages share one fate: it is answered, called back or given up whole.
type flight struct {
	call   *Call
	handle Handle
	ep     rules.EndpointID
	sent   time.Duration
	items  []item
	due    time.Duration // when waiting for it ends: with the first of its messages' time, or after its longest time-out
	quit   bool          // it is given up
	ends   rules.Outcome // and why
}

// item is one attempt of a call.
type item struct {
	msg *message.Message
	num int
}

// attempt means the call of one attempt by the module's names.
func attempt(id rules.MessageID, num int) func(*flight) bool {
	return func(f *flight) bool {
		return slices.ContainsFunc(f.items, func(it item) bool { return it.msg.ID == string(id) && it.num == num })
	}
}

// carries means the call that holds a message.
func carries(m *message.Message) func(*flight) bool {
	return func(f *flight) bool {
		return slices.ContainsFunc(f.items, func(it item) bool { return it.msg == m })
	}
}

// take takes in a message, unless it cannot be kept.
func (x *Exchange) take(m *message.Message, reply chan Answer) {
	x.counts.Submitted++
	class, known := x.classes[m.Class]
	switch {
	case !known || !x.dir.knows(m.Dest):
		x.counts.Unknown++
		reply <- Answer{Verdict: Unknown}
		return
	case x.held[m.ID] != nil || x.past.has(m.ID, time.Now()):
		x.counts.Duplicate++
		reply <- Answer{Verdict: Duplicate}
		return
	case len(x.held) >= x.cfg.Settings.MaxHeld || x.record(x.cfg.Ledger.RecordAccepted(m)) != nil:
		x.counts.Refused++
		reply <- Answer{Verdict: Refused, RetryAfter: x.retryAfter(x.cfg.Settings.MaxRetryAfter)}
		return
	}
	x.trace("taken", func() []any {
		return []any{"id", m.ID, "class", m.Class, "dest", m.Dest, "left", time.Until(m.Deadline)}
	})
	h := &held{msg: m, reply: reply}
	x.held[m.ID] = h
	x.fresh = append(x.fresh, h)
	x.events = append(x.events, rules.Arrived{ID: rules.MessageID(m.ID), Destination: m.Dest, Class: class,
		Tenant: x.tenant(m.Tenant)})
}

func (x *Exchange) retryAfter(d time.Duration) time.Duration {
	if !x.cfg.Settings.MaySendRetryAfter {
		return 0
	}
	return d
}

// step tells the module what has come in and does what it wants.
func (x *Exchange) step() {
	now := x.now()
	x.expire(now)
	if x.wakeAt >= 0 && x.wakeAt <= now {
		x.wakeAt = -1
		x.events = append(x.events, rules.WakeUp{})
	}
	events := x.events
	x.events, x.since = nil, -1
	for i, e := range events {
		if a, arrived := e.(rules.Arrived); arrived && x.held[string(a.ID)] != nil {
			events[i] = x.dated(a, now)
		}
	}
	actions := x.sender.Step(now, events)
	x.lastStep = now
	x.observe()
	var sends []rules.Send
	for _, a := range actions {
		switch a := a.(type) {
		case rules.Send:
			sends = append(sends, a)
		case rules.Refuse:
			x.refuse(x.held[string(a.ID)], a.RetryAfter)
		case rules.Fail:
			x.fail(x.held[string(a.ID)])
		case rules.Cancel:
			x.giveUpAll(rules.Cancelled, attempt(a.ID, a.Attempt))
		case rules.Recall:
			x.recall(attempt(a.ID, a.Attempt))
		case rules.CloseIdle:
			x.cfg.Caller.CloseIdle(x.dir.host(a.Endpoint).Peer)
		case rules.EndpointForgotten:
			x.dir.forget(a.Endpoint)
		case rules.WakeAfter:
			x.wakeAt = now + a.After
		case rules.Watch:
			x.cfg.Platform.Watch()
		}
	}
	x.send(now, sends)
	for _, h := range x.fresh {
		x.answer(h, Answer{Verdict: Accepted})
	}
	x.fresh = x.fresh[:0]
}

// dated counts a message's times from the step that tells of it, as the module does. Time has passed since it came: else the module takes
// it for alive when its call has been given up, and lets a repeat leave as much later than its key's window allows.
func (x *Exchange) dated(a rules.Arrived, now time.Duration) rules.Arrived {
	h := x.held[string(a.ID)]
	a.TimeLeft = x.moment(h.msg.Deadline) - now
	if a.Prior.MayHaveRun {
		a.Prior.Age = max(0, time.Since(h.mayRunAt))
	}
	return a
}

// answer tells the client, once.
func (x *Exchange) answer(h *held, a Answer) {
	if h.reply == nil {
		return
	}
	if a.Verdict == Accepted {
		x.counts.Accepted++
	}
	h.reply <- a
	h.reply = nil
}

// drop lets go of a message whose end is known.
func (x *Exchange) drop(h *held) {
	delete(x.held, h.msg.ID)
	x.past.add(h.msg.ID, time.Now())
}

// over drops a message of which nothing more is owed.
func (x *Exchange) over(h *held) {
	x.drop(h)
	x.record(x.cfg.Ledger.RecordEnd(h.msg.ID))
}

// refuse ends a message: in the answer if the client still waits for it, else by a notice.
func (x *Exchange) refuse(h *held, after time.Duration) {
	switch {
	case h == nil:
	case h.reply != nil:
		x.counts.Refused++
		x.answer(h, Answer{Verdict: Refused, RetryAfter: after})
		x.over(h)
	default:
		x.counts.Bounced++
		x.tell(h, ledger.Notice{ID: h.msg.ID, RetryAfter: after})
	}
}

// fail ends a message with no promise.
func (x *Exchange) fail(h *held) {
	switch {
	case h == nil:
	case h.reply != nil:
		x.counts.Failed++
		x.answer(h, Answer{Verdict: Failed})
		x.over(h)
	default:
		x.counts.Dead++
		x.tell(h, ledger.Notice{ID: h.msg.ID, Dead: true})
	}
}

func (x *Exchange) tell(h *held, n ledger.Notice) {
	x.giveUpAll(rules.TimedOut, carries(h.msg)) // nothing may reach an endpoint from now on
	x.drop(h)
	x.record(x.cfg.Ledger.RecordNotice(n))
	x.cfg.Platform.EnqueueNotice(n)
}

// record counts a record that the ledger could not write; the sender goes on without it.
func (x *Exchange) record(err error) error {
	if err != nil {
		if x.counts.RecordsFailed == 0 {
			x.cfg.Log.Error("a record could not be written; further ones are only counted", "err", err)
		}
		x.counts.RecordsFailed++
	}
	return err
}

// send groups the sends of one step by endpoint, as far as its kind allows, and starts a call for each group.
// In the last step none goes out: its answer would find nobody.
func (x *Exchange) send(now time.Duration, sends []rules.Send) {
	if x.stopping {
		return
	}
	var order []*flight
	open := map[rules.EndpointID]*flight{}
	for _, s := range sends {
		h := x.held[string(s.ID)]
		if h == nil {
			continue
		}
		host := x.dir.host(s.Endpoint)
		patience := x.moment(h.msg.Deadline) - now
		if s.Timeout > 0 {
			patience = min(patience, s.Timeout)
		}
		it := item{msg: h.msg, num: h.attempts}
		h.attempts++
		x.counts.Attempts++
		f := open[s.Endpoint]
		if f == nil || len(f.items) >= x.batch(host.Kind) {
			f = &flight{ep: s.Endpoint, sent: now, call: &Call{To: host.Peer}}
			f.call.flight = f
			open[s.Endpoint] = f
			order = append(order, f)
		}
		f.items = append(f.items, it)
		f.call.Timeout = max(f.call.Timeout, patience)
		if by := x.clock(now + s.WriteWithin); s.WriteWithin > 0 && (f.call.WriteBy.IsZero() || by.Before(f.call.WriteBy)) {
			f.call.WriteBy = by
		}
	}
	for _, f := range order {
		x.start(f)
	}
}

func (x *Exchange) batch(kind int) int {
	if kind >= 0 && kind < len(x.cfg.Settings.Kinds) {
		return max(1, x.cfg.Settings.Kinds[kind].Batch)
	}
	return 1
}

// start records a call and hands it out. One that must not or cannot go out ends at once as not sent.
func (x *Exchange) start(f *flight) {
	host := x.dir.host(f.ep)
	var ids []string
	var nums []int
	misrouted := host.Addr == ""
	for _, it := range f.items {
		f.call.Items = append(f.call.Items, it.msg)
		f.call.Timeout = min(f.call.Timeout, x.moment(it.msg.Deadline)-f.sent)
		ids, nums = append(ids, it.msg.ID), append(nums, it.num)
		misrouted = misrouted || it.msg.Dest != host.Dest
	}
	f.due = f.sent + f.call.Timeout
	if misrouted {
		x.cfg.Log.Error("a call to an endpoint of another destination was held back", "endpoint", host.Name)
	}
	if misrouted || x.record(x.cfg.Ledger.RecordCall(ids, nums, host.Name, time.Now())) != nil {
		for i := range f.items {
			x.ended(f, i, ItemResult{Outcome: rules.NotSent})
		}
		return
	}
	x.counts.Calls++
	x.flights = append(x.flights, f)
	x.trace("call", func() []any { return []any{"ids", ids, "attempts", nums, "endpoint", host.Name, "dest", host.Dest} })
	f.handle = x.cfg.Caller.Start(f.call)
}

// expire gives up the calls whose time is over.
func (x *Exchange) expire(now time.Duration) {
	x.giveUpAll(rules.TimedOut, func(f *flight) bool { return f.due <= now })
}

// giveUpAll gives up the calls that are meant.
func (x *Exchange) giveUpAll(why rules.Outcome, meant func(*flight) bool) {
	for _, f := range slices.Clone(x.flights) {
		if !f.quit && meant(f) {
			x.giveUp(f, why)
		}
	}
}

// recall calls back the call that is meant.
func (x *Exchange) recall(meant func(*flight) bool) {
	if i := slices.IndexFunc(x.flights, meant); i >= 0 {
		x.callBack(x.flights[i])
	}
}

// callBack ends a call if the endpoint side can still do so: none of its messages has been sent. Its slot is free at once.
func (x *Exchange) callBack(f *flight) bool {
	if !f.handle.Recall() {
		return false
	}
	x.counts.Recalled++
	x.finished(f, Result{Items: slices.Repeat([]ItemResult{{Outcome: rules.NotSent, Recalled: true}}, len(f.items))})
	return true
}

// giveUp ends the wait for a call, with all its messages. One that holds several and is not written yet is called back:
// what has not ended goes out again, at no cost of an attempt. Else the connection is closed, and the result tells whether
// it was written. Guards against a call that stays out when one of its messages has had its final answer, or goes elsewhere:
// a peer may count it as given up from then on, whatever it answers the others, and the next attempt would be a second copy.
// It hurts others that may not be repeated and whose answer was still to come.
func (x *Exchange) giveUp(f *flight, why rules.Outcome) {
	if len(f.items) > 1 && x.callBack(f) {
		return
	}
	f.quit, f.ends = true, why
	f.handle.Cancel()
}

// finished takes the result of a call.
func (x *Exchange) finished(f *flight, r Result) {
	i := slices.Index(x.flights, f)
	if i < 0 {
		return
	}
	x.flights = slices.Delete(x.flights, i, i+1)
	for i := range f.items {
		res := ItemResult{Outcome: rules.Reset}
		if i < len(r.Items) {
			res = r.Items[i]
		}
		switch {
		case !f.quit || res.Outcome != rules.Cancelled:
		case r.Written:
			res.Outcome = f.ends
		case f.ends == rules.TimedOut:
			res.Outcome = rules.ConnectError
		default:
			res.Outcome = rules.NotSent
		}
		x.ended(f, i, res)
	}
}

// ended tells the module how an attempt ended, and books it.
func (x *Exchange) ended(f *flight, i int, r ItemResult) {
	it := &f.items[i]
	x.counts.Outcomes[r.Outcome]++
	h := x.held[it.msg.ID]
	over := h == nil
	switch {
	case over:
	case r.Outcome == rules.OK:
		x.counts.Delivered++
		x.delivered(h)
		over = true
	case r.Finished:
		x.counts.FinishedElsewhere++
		x.over(h)
		over = true
	default:
		x.record(x.cfg.Ledger.RecordOutcome(it.msg.ID, it.num, r.Outcome.MayHaveRun(), failed(r)))
	}
	x.trace("outcome", func() []any {
		return []any{"id", it.msg.ID, "attempt", it.num, "endpoint", x.dir.host(f.ep).Name, "outcome", outcomeNames[r.Outcome],
			"elapsed", x.now() - f.sent, "wait", r.RetryAfter, "over", over}
	})
	x.events = append(x.events, rules.AttemptEnded{ID: rules.MessageID(it.msg.ID), Attempt: it.num, Endpoint: f.ep,
		Outcome: r.Outcome, Elapsed: x.now() - f.sent, Finished: over, RetryAfter: r.RetryAfter, NoFreeSlot: r.NoFreeSlot, ConnectionLimitReached: r.ConnectionLimitReached, Recalled: r.Recalled, Report: r.Report})
}

// delivered ends a message that an endpoint has accepted. One accepted as its time ran out, or after it and before the step that
// would have given it up, is told of as well: the platform counts its time from when the client sent it, and an answer that was
// late by that is no end; a notice of what is over does no harm. Guards against a message that each side takes for ended by
// the other; it costs a notice, and tells a client of doubt where the answer was just in time.
func (x *Exchange) delivered(h *held) {
	if time.Until(h.msg.Deadline) > lastMoment {
		x.over(h)
		return
	}
	x.tell(h, ledger.Notice{ID: h.msg.ID, Dead: true})
}

// lastMoment is how far the platform's clock for a message may be ahead of this one's, which starts as the request is read: the slack
// that the protocol gives every limit.
const lastMoment = 50 * time.Millisecond

// failed tells whether a result speaks of an endpoint in trouble rather than of a limit or a full table.
func failed(r ItemResult) bool {
	return r.Outcome.MayHaveRun() || r.Outcome == rules.ConnectError && !r.ConnectionLimitReached
}
