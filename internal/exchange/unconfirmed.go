// This file owns the attempts whose response may be another call's: what is done at once, what waits until the response
// is confirmed, and what happens if it is not. It must never end a message by such a response without a notice, nor call a
// message again that is over by any response: it has been delivered, unless the response was another call's.

package exchange

import (
	"time"

	"eiderhaven/internal/ledger"
	"eiderhaven/rules"
)

// unconfirmedItem is a message's part in a call whose response may be another call's.
type unconfirmedItem struct {
	attempt attempt
	held    *heldMessage
	result  ItemResult
	ends    bool // by the response, the message is over
}

// addUnconfirmed keeps what a response says of a message until the response is confirmed. A message that is over by the
// response is no longer held. Its notice is recorded, so that a next process posts it and makes no further call.
func (x *Exchange) addUnconfirmed(call *callInFlight, item *unconfirmedItem) {
	call.unconfirmed = append(call.unconfirmed, item)
	if !item.ends {
		return
	}
	m := item.held.message
	item.held.lifecycle.Suspend()
	x.countRecordError(x.cfg.Ledger.RecordNotice(x.unconfirmedNotice(item.held)))
	delete(x.held, m.ID)
	x.unconfirmed[m.ID] = item
	if due := x.unconfirmedDue(item); x.firstUnconfirmedDue < 0 || due < x.firstUnconfirmedDue {
		x.firstUnconfirmedDue = due
	}
}

// unconfirmedDue returns when a message that is over by an unconfirmed response must have its end.
func (x *Exchange) unconfirmedDue(item *unconfirmedItem) time.Duration {
	return x.moduleTime(item.held.message.Deadline) - deadlineSlack
}

// Confirm reports whether the response to a call was its own. It follows a result that was Unconfirmed. retryAfter is
// what a response that belonged to no call asked for.
func (x *Exchange) Confirm(c *Call, confirmed bool, retryAfter time.Duration) {
	x.post(func() { x.onConfirmed(c.inFlight, confirmed, retryAfter) })
}

func (x *Exchange) onConfirmed(call *callInFlight, confirmed bool, retryAfter time.Duration) {
	if !confirmed {
		x.counts.Contradicted += len(call.unconfirmed)
	}
	if retryAfter > 0 {
		x.events = append(x.events, rules.AttemptConfirmed{Endpoint: call.endpoint, RetryAfter: retryAfter})
	}
	for _, item := range call.unconfirmed {
		if item.ends {
			x.confirmEnd(item, confirmed)
		} else {
			x.confirmAttempt(call, item, confirmed)
		}
	}
	call.unconfirmed = nil
}

// confirmAttempt reports to the module, and records, whether an attempt that a response turned away has surely not run.
func (x *Exchange) confirmAttempt(call *callInFlight, item *unconfirmedItem, confirmed bool) {
	id, number := item.attempt.message.ID, item.attempt.number
	if x.held[id] != item.held { // it has ended meanwhile
		return
	}
	mayHaveRun := !confirmed
	if mayHaveRun {
		item.held.noteMayHaveRun(x.wallTime(call.sentAt), call.endpoint)
	}
	x.countRecordError(x.cfg.Ledger.RecordOutcome(id, number, mayHaveRun, indicatesFailure(item.result)))
	x.events = append(x.events, rules.AttemptConfirmed{
		ID:         rules.MessageID(id),
		Attempt:    number,
		Endpoint:   call.endpoint,
		MayHaveRun: mayHaveRun,
	})
}

// confirmEnd ends a message that is over by a response. If the response was perhaps another call's, it gets a notice: it
// is not called again, as most such messages have been delivered.
func (x *Exchange) confirmEnd(item *unconfirmedItem, confirmed bool) {
	if x.unconfirmed[item.held.message.ID] != item { // it has ended meanwhile
		return
	}
	if confirmed {
		x.countEnd(item.result)
		x.finish(item.held, endCause(item.result))
		return
	}
	notice := x.unconfirmedNotice(item.held)
	if notice.Dead {
		x.counts.Dead++
	} else {
		x.counts.Bounced++
	}
	x.notify(item.held, notice)
}

// unconfirmedNotice returns the notice of a message that is over by a response which may be another call's. It does no harm
// to a delivered message. For one that was not delivered, the client may submit a repeatable message again.
func (x *Exchange) unconfirmedNotice(h *heldMessage) ledger.Notice {
	return ledger.Notice{ID: h.message.ID, Dead: !x.repeatIsHarmless(h)}
}

// endCause returns the log's word for the end of a message that is over by the result of a call.
func endCause(r ItemResult) string {
	if r.Outcome == rules.OK {
		return "delivered"
	}
	return "finished elsewhere"
}

// countEnd counts a message that is over by the result of a call.
func (x *Exchange) countEnd(r ItemResult) {
	if r.Outcome == rules.OK {
		x.counts.Delivered++
	} else {
		x.counts.FinishedElsewhere++
	}
}

// expireUnconfirmed gives messages that are over by an unconfirmed response a notice as their time runs out: later, a
// message that was not delivered could not get one in time. A notice for one that was delivered does no harm.
func (x *Exchange) expireUnconfirmed(now time.Duration) {
	if x.firstUnconfirmedDue < 0 || now < x.firstUnconfirmedDue {
		return
	}
	x.firstUnconfirmedDue = -1
	for id, item := range x.unconfirmed {
		due := x.unconfirmedDue(item)
		if due <= now {
			x.countEnd(item.result)
			x.notify(item.held, ledger.Notice{ID: id, Dead: true})
		} else if x.firstUnconfirmedDue < 0 || due < x.firstUnconfirmedDue {
			x.firstUnconfirmedDue = due
		}
	}
}

// noteMayHaveRun remembers the earliest attempt of a message that may have run.
func (h *heldMessage) noteMayHaveRun(at time.Time, on rules.EndpointID) {
	if h.mayHaveRunAt.IsZero() || at.Before(h.mayHaveRunAt) {
		h.mayHaveRunAt, h.mayHaveRunOn = at, on
	}
}

// repeatIsHarmless reports whether a message may be sent again although it may have run, anywhere and at any time.
func (x *Exchange) repeatIsHarmless(h *heldMessage) bool {
	class, known := x.classes[h.message.Class]
	return known && x.cfg.Settings.Classes[class].Effect == rules.Safe
}
