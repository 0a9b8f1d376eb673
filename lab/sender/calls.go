// This file owns what is out: slots, connections, time-outs, and what becomes of each call and its attempts.

package sender

import (
	"fmt"
	"slices"
	"time"

	"eiderhaven/lab/model"
	"eiderhaven/lab/network"
	"eiderhaven/lab/receiver"
	"eiderhaven/rules"
)

type pool struct {
	network.Pool
	ep  *receiver.Endpoint
	out int // calls
}

// flight is one attempt that is out.
type flight struct {
	h    *holding
	num  int
	call *call
	done bool
}

type flightKey struct {
	id  rules.MessageID
	num int
}

// call is what travels to an endpoint at once; it holds a slot.
type call struct {
	model.Call
	pool    *pool
	conn    *network.Conn
	flights []*flight
	open    int
}

// send books an attempt, in a call that this step makes to the same endpoint if there is room in it.
func (h *Host) send(fresh []*call, a rules.Send) []*call {
	now := h.w.Queue.Now()
	ep, k := h.w.Endpoints[a.Endpoint], h.held[a.ID]
	if ep == nil {
		h.fault("a send to an endpoint that does not exist")
		return fresh
	}
	num := 0
	if k != nil {
		num = k.attempts
	}
	h.w.Judge.AttemptStarted(now, h.Number, a.ID, num, a.Endpoint)
	if k == nil {
		return fresh
	}
	if ep.Unit.Dest != k.m.Dest {
		h.fault("a send to an endpoint of another destination")
		return fresh
	}
	k.attempts++
	f := &flight{h: k, num: num}
	if k.attempts-k.recalled > h.Settings.MaxAttempts || now >= k.m.Deadline {
		h.notSent(f, ep.ID, false)
		return fresh
	}
	var c *call
	for _, open := range fresh {
		if open.pool.ep == ep && len(open.flights) < ep.Unit.Spec.MaxBatch {
			c = open
		}
	}
	if c == nil {
		if h.busy >= h.Settings.Slots {
			h.notSent(f, ep.ID, true)
			return fresh
		}
		h.busy++
		c = &call{Call: model.Call{Sender: h.Number, Sent: now}, pool: h.pool(ep)}
		c.pool.out++
		fresh = append(fresh, c)
	}
	f.call = c
	c.flights, c.open = append(c.flights, f), c.open+1
	c.Messages, c.Attempts = append(c.Messages, k.m), append(c.Attempts, num)
	k.out = append(k.out, f)
	h.flights[flightKey{a.ID, num}] = f
	h.live[c] = true
	h.trace(a.ID, "attempt %d to endpoint %d of destination %d, time-out %v", num, ep.ID, k.m.Dest, a.Timeout)
	h.expire(f, a.Timeout)
	return fresh
}

// sweepPools is how many new pools come between two looks for those that have nothing left: with thousands of endpoints
// they would be most of a run's memory.
const sweepPools = 256

func (h *Host) pool(ep *receiver.Endpoint) *pool {
	p := h.calls[ep.ID]
	if p == nil {
		if h.pools++; h.pools%sweepPools == 0 {
			h.dropPools()
		}
		p = &pool{Pool: network.Pool{KeepAlive: h.Settings.KeepAlive}, ep: ep}
		h.calls[ep.ID] = p
	}
	return p
}

// dropPools closes connections that have been idle too long, and forgets pools without any.
func (h *Host) dropPools() {
	now := h.w.Queue.Now()
	for id, p := range h.calls {
		if p.CloseExpired(now); p.out == 0 && p.Empty() {
			delete(h.calls, id)
		}
	}
}

func (h *Host) notSent(f *flight, ep rules.EndpointID, noSlot bool) {
	h.report(f, ep, rules.AttemptEnded{Outcome: rules.NotSent, NoFreeSlot: noSlot})
}

// expire ends an attempt when its time-out or its message's time is up.
func (h *Host) expire(f *flight, timeout time.Duration) {
	at := f.h.m.Deadline
	if timeout != 0 {
		at = min(at, h.w.Queue.Now()+max(timeout, 0))
	}
	epoch := h.epoch
	h.timers.At(at, func() {
		if h.epoch == epoch && !f.done {
			h.giveUp(f, rules.TimedOut)
		}
	})
}

// giveUp ends an attempt from this side. A call with no attempt left gives its slot and its connection back.
func (h *Host) giveUp(f *flight, why rules.Outcome) {
	c := f.call
	h.finish(f, model.Outcome{Result: why})
	if c.open > 0 {
		return
	}
	c.Abandoned = true
	c.pool.ep.CallAbandoned(&c.Call)
	if c.conn != nil {
		c.conn.Close()
	}
}

func (h *Host) cancel(a rules.Cancel) {
	if !h.Settings.MayCancel {
		h.fault("a cancel, which the settings forbid")
		return
	}
	if f := h.flights[flightKey{a.ID, a.Attempt}]; f != nil {
		h.giveUp(f, rules.Cancelled)
	}
}

// recall ends a call whose connection is still being opened.
func (h *Host) recall(a rules.Recall) {
	f := h.flights[flightKey{a.ID, a.Attempt}]
	if f == nil || f.call.conn != nil {
		return
	}
	c := f.call
	c.Abandoned = true
	for _, f := range c.flights {
		if !f.done {
			f.h.recalled++
			h.finish(f, model.Outcome{Result: rules.NotSent, Recalled: true})
		}
	}
}

// launch opens a connection, if none is idle, and puts the call on its way.
func (h *Host) launch(c *call) {
	now, ep := h.w.Queue.Now(), c.pool.ep
	epoch := h.epoch
	c.Done = func(o model.Outcome) {
		if o.NoAnswer {
			return
		}
		h.line.After(h.w.Network.OneWayDelay(ep.Zone, h.Zone), func() {
			if h.epoch == epoch {
				h.answer(c, o)
			}
		})
	}
	if c.conn = c.pool.Get(now); c.conn != nil {
		h.w.Recorder.CallSent(now, &c.Call, ep.Unit, false)
		h.deliver(c)
		return
	}
	h.w.Recorder.CallSent(now, &c.Call, ep.Unit, true)
	h.line.After(h.w.Network.HandshakeDelay(h.Zone, ep.Zone), func() {
		if h.epoch != epoch || c.Abandoned {
			return
		}
		conn, full, silent := ep.Connect(&c.pool.Pool, h.w.Queue.Now())
		switch {
		case silent:
			h.line.At(max(now+h.Settings.ConnectTimeout, h.w.Queue.Now()), func() {
				if h.epoch == epoch {
					h.answer(c, model.Outcome{Result: rules.ConnectError})
				}
			})
		case conn == nil:
			h.answer(c, model.Outcome{Result: rules.ConnectError, ConnectionLimitReached: full})
		default:
			c.conn = conn
			h.deliver(c)
		}
	})
}

func (h *Host) deliver(c *call) {
	ep, conn := c.pool.ep, c.conn
	h.line.After(h.w.Network.OneWayDelay(h.Zone, ep.Zone), func() { ep.Receive(&c.Call, conn) })
}

// answer brings a call's outcome to all its attempts that have none yet.
func (h *Host) answer(c *call, o model.Outcome) {
	if c.open == 0 {
		return
	}
	for _, f := range c.flights {
		if !f.done {
			h.finish(f, o)
		}
	}
	if c.conn == nil {
		return
	}
	if o.Result == rules.Reset {
		c.conn.Close()
		return
	}
	c.pool.Put(c.conn, h.w.Queue.Now())
}

// finish books an attempt's outcome and tells the policy.
func (h *Host) finish(f *flight, o model.Outcome) {
	c := f.call
	delete(h.flights, flightKey{f.h.m.ID, f.num})
	if c.open--; c.open == 0 {
		h.busy--
		c.pool.out--
		delete(h.live, c)
	}
	f.h.out = slices.DeleteFunc(f.h.out, func(x *flight) bool { return x == f })
	h.report(f, c.pool.ep.ID, rules.AttemptEnded{Outcome: o.Result, Elapsed: h.w.Queue.Now() - c.Sent, RetryAfter: o.RetryAfter, ConnectionLimitReached: o.ConnectionLimitReached, Recalled: o.Recalled, Report: o.Report})
}

func (h *Host) report(f *flight, ep rules.EndpointID, e rules.AttemptEnded) {
	now, k := h.w.Queue.Now(), f.h
	f.done = true
	e.ID, e.Attempt, e.Endpoint = k.m.ID, f.num, ep
	if e.Outcome.MayHaveRun() || e.Outcome == rules.ConnectError && !e.ConnectionLimitReached {
		k.failed++
	}
	if e.Outcome.MayHaveRun() {
		if f.call != nil && (!k.mayRun || f.call.Sent < k.ran) {
			k.mayRun, k.ran, k.ranAt = true, f.call.Sent, ep
		}
	}
	h.w.Judge.AttemptEnded(now, h.Number, k.m.ID, f.num, ep, e.Outcome, e.RetryAfter)
	h.w.Recorder.AttemptEnded(now, h.Number, e.Outcome)
	h.trace(k.m.ID, "attempt %d at endpoint %d: %v after %v%s", f.num, ep, OutcomeName(e.Outcome), e.Elapsed.Round(time.Millisecond), waitText(e.RetryAfter))
	if e.Outcome == rules.OK && !k.over && now <= k.m.Deadline {
		h.over(k, model.Served, 0)
	}
	e.Finished = k.over
	h.tell(e)
}

func waitText(w time.Duration) string {
	if w == 0 {
		return ""
	}
	return fmt.Sprintf(", told to wait %v", w.Round(time.Millisecond))
}

var outcomeNames = [...]string{"delivered", "error", "turned away", "timed out", "connect failed", "reset", "cancelled", "not sent"}

// OutcomeName is an outcome in words.
func OutcomeName(o rules.Outcome) string { return outcomeNames[o] }
