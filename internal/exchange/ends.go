// This file owns the ends of messages: the order in which calls are stopped, an end is recorded and somebody hears of it.
// It must never let anybody hear of an end before it is recorded.

package exchange

import (
	"time"

	"eiderhaven/internal/ledger"
	"eiderhaven/rules"
)

// end ends a message: no call is made for it any more, and the next process will know. Calls must have been stopped, or
// be such that only their last byte is missing: those are recalled. cause is for the log.
func (x *Exchange) end(h *heldMessage, cause string, record func() error) {
	if !h.lifecycle.BeginEnd() {
		return
	}
	id := h.message.ID
	x.recallCalls(hasMessage(h.message)) // nothing may reach an endpoint from now on
	delete(x.held, id)
	delete(x.unconfirmed, id)
	err := x.countRecordError(record())
	if err == nil {
		h.lifecycle.End()
	}
	x.trace("end", func() []any {
		return []any{"id", id, "cause", cause, "recorded", err == nil, "left", time.Until(h.message.Deadline)}
	})
}

// finish ends a message that needs neither a delivery nor a notice any more.
func (x *Exchange) finish(h *heldMessage, cause string) {
	x.end(h, cause, func() error { return x.cfg.Ledger.RecordEnd(h.message.ID) })
}

// refuse ends a message that may safely be submitted again: with the answer if the client still waits for one, else
// with a notice.
func (x *Exchange) refuse(h *heldMessage, retryAfter time.Duration) {
	switch {
	case h == nil:
	case h.reply != nil:
		x.counts.Refused++
		x.finish(h, "refused")
		x.answer(h, Answer{Verdict: Refused, RetryAfter: retryAfter})
	default:
		x.counts.Bounced++
		x.notify(h, ledger.Notice{ID: h.message.ID, RetryAfter: retryAfter})
	}
}

// fail ends a message that may or may not have run.
func (x *Exchange) fail(h *heldMessage) {
	switch {
	case h == nil:
	case h.reply != nil:
		x.counts.Failed++
		x.finish(h, "failed")
		x.answer(h, Answer{Verdict: Failed})
	default:
		x.counts.Dead++
		x.notify(h, ledger.Notice{ID: h.message.ID, Dead: true})
	}
}

// notify ends a message with a notice to the platform.
func (x *Exchange) notify(h *heldMessage, n ledger.Notice) {
	n.Deadline = h.message.Deadline
	x.abandonCalls(rules.TimedOut, hasMessage(h.message))
	x.end(h, "notice", func() error { return x.cfg.Ledger.RecordNotice(n) })
	h.lifecycle.MayTell()
	x.cfg.Platform.EnqueueNotice(n)
}

// answer answers the client that submitted a message. Only the first answer is sent.
func (x *Exchange) answer(h *heldMessage, a Answer) {
	if h.reply == nil {
		return
	}
	if a.Verdict == Accepted {
		x.counts.Accepted++
	} else {
		h.lifecycle.MayTell()
	}
	h.reply <- a
	h.reply = nil
}

// Withdraw ends a message whose client disconnected before it was told that the message was accepted. The returned
// channel is closed once the end is recorded, or if there is nothing to end. The client's connection must stay open until
// then: its close tells the client that the message is its own again.
func (x *Exchange) Withdraw(id string) <-chan struct{} {
	done := make(chan struct{})
	if !x.post(func() { x.withdraw(id); close(done) }) {
		close(done)
	}
	return done
}

func (x *Exchange) withdraw(id string) {
	if h := x.held[id]; h != nil {
		x.counts.Withdrawn++
		x.finish(h, "withdrawn")
		x.events = append(x.events, rules.Withdrawn{ID: rules.MessageID(id)})
	} else if item := x.unconfirmed[id]; item != nil {
		x.counts.Withdrawn++
		x.finish(item.held, "withdrawn")
	}
}
