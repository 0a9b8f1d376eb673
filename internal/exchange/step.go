// This file performs one step: it passes the collected events to the module, records and carries out the actions that
// the module returns, and processes the results of calls. It owns the calls in flight. It must never start a call
// that the ledger has not recorded, nor choose between two actions.

package exchange

import (
	"slices"
	"strconv"
	"time"

	"eiderhaven/internal/ledger"
	"eiderhaven/internal/message"
	"eiderhaven/rules"
)

// deadlineSlack is how far the platform's clock for a message may be ahead of this sender's, which starts when the
// request is read. It is the slack that the protocol gives every time limit.
const deadlineSlack = 50 * time.Millisecond

// callInFlight is a call that has started and has no result yet. It is answered, recalled or abandoned as a whole,
// with all its messages.
type callInFlight struct {
	request     *Call
	handle      Handle
	endpoint    rules.EndpointID
	sentAt      time.Duration
	attempts    []attempt
	bytes       int           // of its body, if it has several messages
	timeoutAt   time.Duration // longest timeout of its attempts, but no later than its messages' first deadline
	abandoned   bool
	abandonedAs rules.Outcome // outcome of the call if it was abandoned after it was written
	unconfirmed []*unconfirmedItem
}

// attempt is one message's part in one call.
type attempt struct {
	message *message.Message
	number  int
}

// hasAttempt returns a predicate that matches the call with this attempt.
func hasAttempt(id rules.MessageID, number int) func(*callInFlight) bool {
	return func(call *callInFlight) bool {
		return slices.ContainsFunc(call.attempts, func(a attempt) bool {
			return a.message.ID == string(id) && a.number == number
		})
	}
}

// hasMessage returns a predicate that matches the calls with this message.
func hasMessage(m *message.Message) func(*callInFlight) bool {
	return func(call *callInFlight) bool {
		return slices.ContainsFunc(call.attempts, func(a attempt) bool { return a.message == m })
	}
}

// accept records and holds a submitted message and queues it for the module, unless it has to be rejected.
func (x *Exchange) accept(m *message.Message, reply chan Answer) {
	x.counts.Submitted++
	class, known := x.classes[m.Class]
	switch {
	case !known || !x.directory.knowsDest(m.Dest):
		x.counts.Unknown++
		reply <- Answer{Verdict: Unknown}
		return
	case !x.lifecycles.MayStart(m.ID):
		x.counts.Duplicate++
		reply <- Answer{Verdict: Duplicate}
		return
	case len(x.held) >= x.cfg.Settings.MaxHeld || x.countRecordError(x.cfg.Ledger.RecordAccepted(m)) != nil:
		x.counts.Refused++
		reply <- Answer{Verdict: Refused, RetryAfter: x.retryAfterHint(x.cfg.Settings.MaxRetryAfter)}
		return
	}
	x.trace("taken", func() []any {
		return []any{"id", m.ID, "class", m.Class, "dest", m.Dest, "left", time.Until(m.Deadline)}
	})
	h := &heldMessage{message: m, lifecycle: x.lifecycles.Start(m.ID, m.Deadline), reply: reply}
	x.held[m.ID] = h
	x.unanswered = append(x.unanswered, h)
	x.events = append(x.events, rules.Arrived{
		ID:          rules.MessageID(m.ID),
		Destination: m.Dest,
		Class:       class,
		Bytes:       BatchedBytes(m),
		Tenant:      x.tenantIndex(m.Tenant),
	})
}

// retryAfterHint returns d if refusals may give a Retry-After, else 0.
func (x *Exchange) retryAfterHint(d time.Duration) time.Duration {
	if !x.cfg.Settings.MaySendRetryAfter {
		return 0
	}
	return d
}

// step passes the collected events to the module and carries out its actions.
func (x *Exchange) step() {
	now := x.now()
	x.expireCalls(now)
	x.expireUnconfirmed(now)
	if x.wakeAt >= 0 && x.wakeAt <= now {
		x.wakeAt = -1
		x.events = append(x.events, rules.WakeUp{})
	}
	events := x.events
	x.events, x.firstEventAt = nil, -1
	for i, e := range events {
		if a, arrived := e.(rules.Arrived); arrived && x.held[string(a.ID)] != nil {
			events[i] = x.withCurrentTimes(a, now)
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
			x.abandonCalls(rules.Cancelled, hasAttempt(a.ID, a.Attempt))
		case rules.Recall:
			x.recallCalls(hasAttempt(a.ID, a.Attempt))
		case rules.CloseIdle:
			x.cfg.Caller.CloseIdle(x.directory.host(a.Endpoint).Peer)
		case rules.EndpointForgotten:
			x.directory.forget(a.Endpoint)
		case rules.WakeAfter:
			x.wakeAt = now + a.After
		case rules.Watch:
			x.cfg.Platform.Watch()
		}
	}
	x.startCalls(now, sends)
	for _, h := range x.unanswered {
		x.answer(h, Answer{Verdict: Accepted})
	}
	x.unanswered = x.unanswered[:0]
}

// withCurrentTimes sets a message's times as of this step, because the module counts from the step and time has
// passed since the message came. Otherwise the module would consider the message alive when its call has already been
// abandoned, and would send a repeat that much later than the window of its key allows.
func (x *Exchange) withCurrentTimes(a rules.Arrived, now time.Duration) rules.Arrived {
	h := x.held[string(a.ID)]
	a.TimeLeft = x.moduleTime(h.message.Deadline) - now
	if a.Prior.MayHaveRun {
		a.Prior.Age = max(0, time.Since(h.mayHaveRunAt))
	}
	return a
}

// The sender goes on without the record.
func (x *Exchange) countRecordError(err error) error {
	if err != nil {
		if x.counts.RecordsFailed == 0 {
			x.cfg.Log.Error("writing a ledger record failed; further failures are only counted", "err", err)
		}
		x.counts.RecordsFailed++
	}
	return err
}

// startCalls groups the sends of one step by endpoint, up to the batch size of the endpoint's kind and the longest body
// of a call, and starts a call for each group. The last step starts none, as nobody would process the answers.
func (x *Exchange) startCalls(now time.Duration, sends []rules.Send) {
	if x.stopping {
		return
	}
	var calls []*callInFlight
	open := map[rules.EndpointID]*callInFlight{} // the newest call to each endpoint
	for _, s := range sends {
		h := x.held[string(s.ID)]
		if h == nil {
			continue
		}
		host := x.directory.host(s.Endpoint)
		timeout := x.moduleTime(h.message.Deadline) - now
		if s.Timeout > 0 {
			timeout = min(timeout, s.Timeout)
		}
		a := attempt{message: h.message, number: h.attempts}
		h.attempts++
		x.counts.Attempts++
		call := open[s.Endpoint]
		bytes := BatchedBytes(h.message)
		if call == nil || len(call.attempts) >= x.batchSize(host.Kind) || call.bytes+bytes > rules.MaxCallBytes {
			call = &callInFlight{endpoint: s.Endpoint, sentAt: now, request: &Call{To: host.Peer}}
			call.request.inFlight = call
			open[s.Endpoint] = call
			calls = append(calls, call)
		}
		call.bytes += bytes
		call.attempts = append(call.attempts, a)
		call.request.lifecycles = append(call.request.lifecycles, h.lifecycle)
		call.request.LastUse = s.LastUse
		call.request.ConfirmSoon = call.request.ConfirmSoon || !x.repeatIsHarmless(h)
		call.request.Timeout = max(call.request.Timeout, timeout)
		by := x.wallTime(now + s.WriteWithin)
		if s.WriteWithin > 0 && (call.request.WriteBy.IsZero() || by.Before(call.request.WriteBy)) {
			call.request.WriteBy = by
		}
	}
	for _, call := range calls {
		x.startCall(call)
	}
}

// BatchedBytes returns the length of a message's part in the body of a call with several messages: a line with its ID,
// its idempotency key ("-" for none) and its length, then its bytes and a line end.
func BatchedBytes(m *message.Message) int {
	const spaces, lineEnds = 2, 4
	length := len(strconv.Itoa(len(m.Body)))
	return len(m.ID) + max(len(m.IdempotencyKey), len("-")) + length + len(m.Body) + spaces + lineEnds
}

// batchSize returns how many messages a call to an endpoint of this kind may carry.
func (x *Exchange) batchSize(kind int) int {
	if kind >= 0 && kind < len(x.cfg.Settings.Kinds) {
		return max(1, x.cfg.Settings.Kinds[kind].Batch)
	}
	return 1
}

// startCall records a call and passes it to the endpoint side. A call that must not or cannot be made ends at once as
// not sent.
func (x *Exchange) startCall(call *callInFlight) {
	host := x.directory.host(call.endpoint)
	var ids []string
	var numbers []int
	misrouted := host.Addr == ""
	for _, a := range call.attempts {
		call.request.Items = append(call.request.Items, a.message)
		call.request.Timeout = min(call.request.Timeout, x.moduleTime(a.message.Deadline)-call.sentAt)
		ids = append(ids, a.message.ID)
		numbers = append(numbers, a.number)
		misrouted = misrouted || a.message.Dest != host.Dest
	}
	call.timeoutAt = call.sentAt + call.request.Timeout
	if misrouted {
		x.cfg.Log.Error("call not sent: the endpoint is not known or belongs to another destination",
			"endpoint", host.Name)
	}
	denied := !call.request.MayWrite(time.Now())
	if misrouted || denied || x.countRecordError(x.cfg.Ledger.RecordCall(ids, numbers, host.Name, time.Now())) != nil {
		for i := range call.attempts {
			x.onAttemptEnded(call, i, ItemResult{Outcome: rules.NotSent, Recalled: denied}, false)
		}
		return
	}
	x.counts.Calls++
	x.callsInFlight = append(x.callsInFlight, call)
	x.trace("call", func() []any {
		return []any{"ids", ids, "attempts", numbers, "endpoint", host.Name, "dest", host.Dest}
	})
	call.handle = x.cfg.Caller.Start(call.request)
}

// expireCalls abandons the calls that have timed out.
func (x *Exchange) expireCalls(now time.Duration) {
	x.abandonCalls(rules.TimedOut, func(call *callInFlight) bool { return call.timeoutAt <= now })
}

// abandonCalls abandons the calls that match.
func (x *Exchange) abandonCalls(as rules.Outcome, matches func(*callInFlight) bool) {
	for _, call := range slices.Clone(x.callsInFlight) {
		if !call.abandoned && matches(call) {
			x.abandon(call, as)
		}
	}
}

// recallCalls recalls the calls that match and are not fully written.
func (x *Exchange) recallCalls(matches func(*callInFlight) bool) {
	for _, call := range slices.Clone(x.callsInFlight) {
		if !call.abandoned && matches(call) {
			x.tryRecall(call)
		}
	}
}

// tryRecall recalls a call if it is not fully written. Its attempts end as not sent, and its slot is free at once.
func (x *Exchange) tryRecall(call *callInFlight) bool {
	if !call.handle.Recall() {
		return false
	}
	x.counts.Recalled++
	recalled := ItemResult{Outcome: rules.NotSent, Recalled: true}
	x.onCallFinished(call, Result{Items: slices.Repeat([]ItemResult{recalled}, len(call.attempts))})
	return true
}

// abandon stops waiting for a call and all its messages. A call that carries several messages and is not fully
// written is recalled: those of its messages that have not ended go out again, and no attempt is counted against
// them. Otherwise the connection is closed, and the result shows whether the call was written.
//
// This guards against a call that stays in flight after one of its messages got its final answer or went to another
// endpoint. The peer may count the whole call as abandoned from then on, whatever it answers for the other messages,
// so that their next attempt would be a second copy. The cost falls on messages of the same call that must not be
// repeated and whose answer was still to come.
func (x *Exchange) abandon(call *callInFlight, as rules.Outcome) {
	if len(call.attempts) > 1 && x.tryRecall(call) {
		return
	}
	call.abandoned = true
	call.abandonedAs = as
	call.handle.Cancel()
}

// onCallFinished processes the result of a call. A result for a call that is no longer in flight is ignored.
func (x *Exchange) onCallFinished(call *callInFlight, r Result) {
	pos := slices.Index(x.callsInFlight, call)
	if pos < 0 {
		return
	}
	x.callsInFlight = slices.Delete(x.callsInFlight, pos, pos+1)
	for i := range call.attempts {
		item := ItemResult{Outcome: rules.Reset} // may have run, unless the result says otherwise
		if i < len(r.Items) {
			item = r.Items[i]
		}
		switch {
		case !call.abandoned || item.Outcome != rules.Cancelled:
		case r.Written:
			item.Outcome = call.abandonedAs
		case call.abandonedAs == rules.TimedOut:
			item.Outcome = rules.ConnectError
		default:
			item.Outcome = rules.NotSent
		}
		x.onAttemptEnded(call, i, item, r.Unconfirmed)
	}
}

// onAttemptEnded counts and records how an attempt ended, ends its message if that is finished, and queues the event
// for the module. What an unconfirmed response says only counts as far as it does no harm if it is another call's.
func (x *Exchange) onAttemptEnded(call *callInFlight, i int, r ItemResult, unconfirmed bool) {
	a := &call.attempts[i]
	x.counts.Outcomes[r.Outcome]++
	h := x.held[a.message.ID]
	ends := r.Outcome == rules.OK || r.Finished
	unconfirmed = unconfirmed && h != nil && (ends || !r.Outcome.MayHaveRun() && !x.repeatIsHarmless(h))
	switch {
	case h == nil:
	case ends && x.isDue(h):
		x.countEnd(r)
		x.endWhenDue(h, r, unconfirmed)
	case unconfirmed:
		x.addUnconfirmed(call, &unconfirmedItem{attempt: *a, held: h, result: r, ends: ends})
	case ends:
		x.countEnd(r)
		x.finish(h, endCause(r))
	default:
		mayHaveRun := r.Outcome.MayHaveRun()
		if mayHaveRun {
			h.noteMayHaveRun(x.wallTime(call.sentAt), call.endpoint)
		}
		x.countRecordError(x.cfg.Ledger.RecordOutcome(a.message.ID, a.number, mayHaveRun, indicatesFailure(r)))
	}
	finished := h == nil || ends
	x.trace("outcome", func() []any {
		return []any{
			"id", a.message.ID, "attempt", a.number, "endpoint", x.directory.host(call.endpoint).Name,
			"outcome", outcomeNames[r.Outcome], "elapsed", x.now() - call.sentAt,
			"wait", r.RetryAfter, "over", finished, "unconfirmed", unconfirmed,
		}
	})
	x.events = append(x.events, rules.AttemptEnded{
		ID:                     rules.MessageID(a.message.ID),
		Attempt:                a.number,
		Endpoint:               call.endpoint,
		Outcome:                r.Outcome,
		Elapsed:                x.now() - call.sentAt,
		Finished:               finished,
		RetryAfter:             r.RetryAfter,
		NoFreeSlot:             r.NoFreeSlot,
		ConnectionLimitReached: r.ConnectionLimitReached,
		Recalled:               r.Recalled,
		Report:                 r.Report,
		Unconfirmed:            unconfirmed && !ends,
	})
}

// endWhenDue ends a message that is over by the result of a call as its time runs out, or after it and before the step
// that would have abandoned the call. If an endpoint has accepted it, or the response is unconfirmed, it gets a notice.
// The platform counts the time from when the client sent the message, and does not accept an answer that was late by
// that clock as the message's end; a notice for a message that has ended does no harm. This guards against a message
// that the sender and the platform each consider ended by the other. It costs a notice, which reports to a client whose
// answer was just in time that its message may or may not have run.
func (x *Exchange) endWhenDue(h *heldMessage, r ItemResult, unconfirmed bool) {
	if r.Outcome == rules.OK || unconfirmed {
		x.notify(h, ledger.Notice{ID: h.message.ID, Dead: true})
		return
	}
	x.finish(h, endCause(r))
}

// isDue reports whether the message's time has run out, or does so at once.
func (x *Exchange) isDue(h *heldMessage) bool { return time.Until(h.message.Deadline) <= deadlineSlack }

// indicatesFailure reports whether a result indicates a fault of the endpoint, and not a rate limit or its connection
// limit.
func indicatesFailure(r ItemResult) bool {
	return r.Outcome.MayHaveRun() || r.Outcome == rules.ConnectError && !r.ConnectionLimitReached
}
