// This file owns the calls in flight: slots, connections, timeouts, and the outcomes of calls and their attempts.

package sender

import (
	"slices"
	"time"

	"eiderhaven/lab/model"
	"eiderhaven/lab/network"
	"eiderhaven/lab/receiver"
	"eiderhaven/rules"
)

// pool is the sender's connection pool to one endpoint.
type pool struct {
	network.Pool
	endpoint      *receiver.Endpoint
	callsInFlight int
}

// attempt is one message's part in a call.
type attempt struct {
	held   *heldMessage
	number int   // from 0, per message
	call   *call // nil if the attempt was not sent
	done   bool  // the outcome has been reported
}

type attemptKey struct {
	id     rules.MessageID
	number int
}

// call is one request to an endpoint; it occupies a slot.
type call struct {
	model.Call
	pool         *pool
	conn         *network.Conn
	attempts     []*attempt
	openAttempts int // attempts without an outcome
}

// send starts an attempt. It joins a call that this step already makes to the same endpoint if the batch has room.
func (h *Host) send(newCalls []*call, a rules.Send) []*call {
	now := h.env.Queue.Now()
	ep, held := h.env.Endpoints[a.Endpoint], h.held[a.ID]
	if ep == nil {
		h.reportInvalid("a send to an endpoint that does not exist")
		return newCalls
	}
	number := 0
	if held != nil {
		number = held.attemptCount
	}
	h.env.Judge.AttemptStarted(now, h.Number, a.ID, number, a.Endpoint)
	if held == nil {
		return newCalls
	}
	if ep.Unit.Dest != held.message.Dest {
		h.reportInvalid("a send to an endpoint of another destination")
		return newCalls
	}
	held.attemptCount++
	att := &attempt{held: held, number: number}
	if held.attemptCount-held.recalledCount > h.Settings.MaxAttempts || now >= held.message.Deadline {
		h.notSent(att, ep.ID, false)
		return newCalls
	}
	var c *call
	for _, open := range newCalls {
		if open.pool.endpoint == ep && len(open.attempts) < ep.Unit.Spec.MaxBatch {
			c = open
		}
	}
	if c == nil {
		if h.slotsInUse >= h.Settings.Slots {
			h.notSent(att, ep.ID, true)
			return newCalls
		}
		h.slotsInUse++
		c = &call{Call: model.Call{Sender: h.Number, Sent: now}, pool: h.pool(ep)}
		c.pool.callsInFlight++
		newCalls = append(newCalls, c)
	}
	att.call = c
	c.attempts = append(c.attempts, att)
	c.openAttempts++
	c.Messages = append(c.Messages, held.message)
	c.Attempts = append(c.Attempts, number)
	held.inFlight = append(held.inFlight, att)
	h.attempts[attemptKey{a.ID, number}] = att
	h.inFlight[c] = true
	h.trace(a.ID, "attempt %d to endpoint %d of destination %d, timeout %v",
		number, ep.ID, held.message.Dest, a.Timeout)
	h.scheduleTimeout(att, a.Timeout)
	return newCalls
}

// poolSweepInterval is the number of new pools between two sweeps for unused ones; with thousands of endpoints unused
// pools would be most of a run's memory.
const poolSweepInterval = 256

// pool returns the connection pool to an endpoint, creating it if necessary.
func (h *Host) pool(ep *receiver.Endpoint) *pool {
	p := h.pools[ep.ID]
	if p == nil {
		if h.poolsCreated++; h.poolsCreated%poolSweepInterval == 0 {
			h.dropUnusedPools()
		}
		p = &pool{Pool: network.Pool{KeepAlive: h.Settings.KeepAlive}, endpoint: ep}
		h.pools[ep.ID] = p
	}
	return p
}

// dropUnusedPools closes expired connections and drops pools without connections.
func (h *Host) dropUnusedPools() {
	now := h.env.Queue.Now()
	for id, p := range h.pools {
		if p.CloseExpired(now); p.callsInFlight == 0 && p.Empty() {
			delete(h.pools, id)
		}
	}
}

// notSent reports an attempt that was not sent.
func (h *Host) notSent(att *attempt, ep rules.EndpointID, noSlot bool) {
	h.reportOutcome(att, ep, rules.AttemptEnded{Outcome: rules.NotSent, NoFreeSlot: noSlot})
}

// scheduleTimeout abandons an attempt at its timeout or its message's deadline, whichever is earlier.
func (h *Host) scheduleTimeout(att *attempt, timeout time.Duration) {
	at := att.held.message.Deadline
	if timeout != 0 {
		at = min(at, h.env.Queue.Now()+max(timeout, 0))
	}
	epoch := h.epoch
	h.timers.At(at, func() {
		if h.epoch == epoch && !att.done {
			h.abandon(att, rules.TimedOut)
		}
	})
}

// abandon ends an attempt from the sender's side. A call without open attempts releases its slot and closes its
// connection.
func (h *Host) abandon(att *attempt, outcome rules.Outcome) {
	c := att.call
	h.finishAttempt(att, model.Outcome{Result: outcome})
	if c.openAttempts > 0 {
		return
	}
	c.Abandoned = true
	c.pool.endpoint.CallAbandoned(&c.Call)
	if c.conn != nil {
		c.conn.Close()
	}
}

// cancel abandons an attempt in flight.
func (h *Host) cancel(a rules.Cancel) {
	if !h.Settings.MayCancel {
		h.reportInvalid("a cancel, which the settings forbid")
		return
	}
	if att := h.attempts[attemptKey{a.ID, a.Attempt}]; att != nil {
		h.abandon(att, rules.Cancelled)
	}
}

// recall withdraws a call whose connection is still being opened; all its attempts count as not sent.
func (h *Host) recall(a rules.Recall) {
	att := h.attempts[attemptKey{a.ID, a.Attempt}]
	if att == nil || att.call.conn != nil {
		return
	}
	c := att.call
	c.Abandoned = true
	for _, att := range c.attempts {
		if !att.done {
			att.held.recalledCount++
			h.finishAttempt(att, model.Outcome{Result: rules.NotSent, Recalled: true})
		}
	}
}

// launch sends a call over an idle connection, or opens one first.
func (h *Host) launch(c *call) {
	now, ep := h.env.Queue.Now(), c.pool.endpoint
	epoch := h.epoch
	c.Done = func(o model.Outcome) {
		if o.NoAnswer {
			return
		}
		h.transit.After(h.env.Network.OneWayDelay(ep.Zone, h.Zone), func() {
			if h.epoch == epoch {
				h.applyOutcome(c, o)
			}
		})
	}
	if c.conn = c.pool.Get(now); c.conn != nil {
		h.env.Recorder.CallSent(now, &c.Call, ep.Unit, false)
		h.deliver(c)
		return
	}
	h.env.Recorder.CallSent(now, &c.Call, ep.Unit, true)
	h.transit.After(h.env.Network.HandshakeDelay(h.Zone, ep.Zone), func() {
		if h.epoch == epoch && !c.Abandoned {
			h.connect(c, now)
		}
	})
}

// connect ends the handshake that a call started at the given time, and delivers the call if the endpoint accepts the
// connection. An endpoint that does not answer fails the call at the connect timeout.
func (h *Host) connect(c *call, started time.Duration) {
	epoch := h.epoch
	conn, limitReached, noAnswer := c.pool.endpoint.Connect(&c.pool.Pool, h.env.Queue.Now())
	switch {
	case noAnswer:
		h.transit.At(max(started+h.Settings.ConnectTimeout, h.env.Queue.Now()), func() {
			if h.epoch == epoch {
				h.applyOutcome(c, model.Outcome{Result: rules.ConnectError})
			}
		})
	case conn == nil:
		h.applyOutcome(c, model.Outcome{Result: rules.ConnectError, ConnectionLimitReached: limitReached})
	default:
		c.conn = conn
		h.deliver(c)
	}
}

// deliver brings a call to its endpoint after the transit time.
func (h *Host) deliver(c *call) {
	ep, conn := c.pool.endpoint, c.conn
	h.transit.After(h.env.Network.OneWayDelay(h.Zone, ep.Zone), func() { ep.Receive(&c.Call, conn) })
}

// applyOutcome ends all open attempts of a call and returns or closes its connection.
func (h *Host) applyOutcome(c *call, o model.Outcome) {
	if c.openAttempts == 0 {
		return
	}
	for _, att := range c.attempts {
		if !att.done {
			h.finishAttempt(att, o)
		}
	}
	if c.conn == nil {
		return
	}
	if o.Result == rules.Reset {
		c.conn.Close()
		return
	}
	c.pool.Put(c.conn, h.env.Queue.Now())
}

// finishAttempt records the outcome of an attempt in flight and reports it.
func (h *Host) finishAttempt(att *attempt, o model.Outcome) {
	c := att.call
	delete(h.attempts, attemptKey{att.held.message.ID, att.number})
	if c.openAttempts--; c.openAttempts == 0 {
		h.slotsInUse--
		c.pool.callsInFlight--
		delete(h.inFlight, c)
	}
	att.held.inFlight = slices.DeleteFunc(att.held.inFlight, func(x *attempt) bool { return x == att })
	h.reportOutcome(att, c.pool.endpoint.ID, rules.AttemptEnded{
		Outcome:                o.Result,
		Elapsed:                h.env.Queue.Now() - c.Sent,
		RetryAfter:             o.RetryAfter,
		ConnectionLimitReached: o.ConnectionLimitReached,
		Recalled:               o.Recalled,
		Report:                 o.Report,
	})
}

// reportOutcome reports an attempt's outcome to the policy, the judge and the recorder, and ends a delivered message.
func (h *Host) reportOutcome(att *attempt, ep rules.EndpointID, e rules.AttemptEnded) {
	now, held := h.env.Queue.Now(), att.held
	att.done = true
	e.ID, e.Attempt, e.Endpoint = held.message.ID, att.number, ep
	if e.Outcome.MayHaveRun() || e.Outcome == rules.ConnectError && !e.ConnectionLimitReached {
		held.failedCount++
	}
	if e.Outcome.MayHaveRun() && att.call != nil {
		held.noteMayHaveRun(att.call.Sent, ep)
	}
	h.env.Judge.AttemptEnded(now, h.Number, held.message.ID, att.number, ep, e.Outcome, e.RetryAfter)
	h.env.Recorder.AttemptEnded(now, h.Number, e.Outcome)
	h.trace(held.message.ID, "attempt %d at endpoint %d: %v after %v%s", att.number, ep, OutcomeName(e.Outcome),
		e.Elapsed.Round(time.Millisecond), retryAfterSuffix(e.RetryAfter))
	if e.Outcome == rules.OK && !held.finished && now <= held.message.Deadline {
		h.finishMessage(held, model.Served, 0)
	}
	e.Finished = held.finished
	h.enqueueEvent(e)
}

// outcomeNames holds the names of the outcomes in the order of their values.
var outcomeNames = [...]string{
	"delivered", "error", "refused", "timed out", "connect failed", "reset", "cancelled", "not sent",
}

// OutcomeName returns the name of an outcome in traces.
func OutcomeName(o rules.Outcome) string { return outcomeNames[o] }
