// This file owns the oracle, the policy that marks the upper end of the comparison: it sees the true state of every
// receiver and the calls in transit from all senders, which no real sender can. It does not see the future, so its
// result is no proven upper bound, but hardly any policy exceeds it.

package baseline

import (
	"cmp"
	"slices"
	"time"

	"eiderhaven/lab/receiver"
	"eiderhaven/rules"
)

// OracleView is what the oracle sees. All senders of a run share one value, so their steps must not run concurrently.
type OracleView struct {
	Endpoints   map[rules.EndpointID]*receiver.Endpoint
	TransitTime time.Duration                      // how long a call counts as in transit after it is sent
	inTransit   map[*receiver.Unit][]time.Duration // send times of calls that may not have arrived
	inFlight    map[*receiver.Endpoint]int         // calls
}

// NewOracleView returns the view that the senders of a run share.
func NewOracleView(endpoints map[rules.EndpointID]*receiver.Endpoint, transitTime time.Duration) *OracleView {
	return &OracleView{
		Endpoints:   endpoints,
		TransitTime: transitTime,
		inTransit:   map[*receiver.Unit][]time.Duration{},
		inFlight:    map[*receiver.Endpoint]int{},
	}
}

// Oracle returns the policy that sees the true state of receivers.
func Oracle(set rules.Settings, view *OracleView) *engine {
	return newEngine(set, &oracle{OracleView: view})
}

type oracle struct {
	*OracleView
	waiting map[*destination]int // messages in the queue of this step, by destination
	cancels []rules.Cancel
}

const (
	// Calls in flight at an endpoint over its servers. It is above 1 so that the time in transit leaves no server idle.
	inFlightFactor = 1.3

	// An endpoint that is slower than usual by more than this factor gets calls only while at most half the slots are
	// busy.
	maxSlowdown = 2

	// Timeout of an attempt. It ends attempts on connections that broke unnoticed; the oracle sees unresponsive endpoints
	// itself.
	hungCallTimeout = 4 * time.Second

	// Where calls carry several messages and are scarce, a message waits up to this part of its aim for others.
	batchWaitDivisor = 4
)

func (o *oracle) maySend(eng *engine, m *message, ep *endpoint) bool {
	x := o.Endpoints[ep.id]
	if x == nil || !x.HasCapacity() || float64(o.inFlight[x]) >= inFlightFactor*float64(x.Unit.Spec.Servers)+1 {
		return false
	}
	if x.Slowdown > maxSlowdown && 2*eng.busySlots > eng.settings.Slots {
		return false // a call would occupy a slot for the time of several calls elsewhere
	}
	sent := o.inTransit[x.Unit]
	for len(sent) > 0 && sent[0] < eng.now-o.TransitTime {
		sent = sent[1:]
	}
	o.inTransit[x.Unit] = sent
	calls := float64(len(sent) + 1)
	if ep.batch > 1 && o.waiting[m.destination] < ep.batch && x.Unit.RemainingLimit(eng.now) < calls+1 &&
		eng.now-(m.deadline-m.class.Deadline) < m.class.Aim/batchWaitDivisor {
		return false // only one call is left, so it should be full
	}
	return x.Unit.RemainingLimit(eng.now) >= calls && x.Unit.RemainingColdBudget(eng.now) >= calls
}

func (o *oracle) onCallSent(eng *engine, ep *endpoint) {
	x := o.Endpoints[ep.id]
	o.inTransit[x.Unit] = append(o.inTransit[x.Unit], eng.now)
	o.inFlight[x]++
}

func (o *oracle) onAttemptEnded(_ *engine, m *message, ep *endpoint, _ rules.AttemptEnded) (bool, time.Duration) {
	if m.leadsCall {
		x := o.Endpoints[ep.id]
		o.inFlight[x] = max(0, o.inFlight[x]-1)
	}
	return true, 0
}

// sendOrder puts messages that can still earn their full worth first, then those that are late; within both, by worth
// and then by deadline.
func (o *oracle) sendOrder(eng *engine, queue []*message) []*message {
	sorted := slices.Clone(queue)
	o.waiting = map[*destination]int{}
	for _, m := range queue {
		o.waiting[m.destination]++
	}
	late := func(m *message) int {
		if eng.now > m.deadline-m.class.Deadline+m.class.Aim {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(sorted, func(a, b *message) int {
		return cmp.Or(
			cmp.Compare(late(a), late(b)),
			cmp.Compare(b.class.Worth, a.class.Worth),
			cmp.Compare(a.deadline, b.deadline),
		)
	})
	return sorted
}

func (o *oracle) timeout(m *message) time.Duration {
	if m.class.Effect == rules.AtMostOnce {
		return 0
	}
	return hungCallTimeout
}

// callCost returns roughly how long a call would take, as a multiple of the usual time.
func (o *oracle) callCost(ep *endpoint) float64 {
	x := o.Endpoints[ep.id]
	if x == nil {
		return 0
	}
	return (1 + float64(o.inFlight[x])/float64(x.Unit.Spec.Servers)) * x.Slowdown
}

// cancelUnresponsive cancels attempts at endpoints that answer nothing.
func (o *oracle) cancelUnresponsive(eng *engine) {
	if !eng.settings.MayCancel {
		return
	}
	for _, m := range eng.messages {
		if m.inFlight == 0 || m.cancelledAttempt == m.attempts {
			continue
		}
		if x := o.Endpoints[m.lastEndpoint.id]; x != nil && (x.Unresponsive > 0 || x.Hanging > 0) {
			m.cancelledAttempt = m.attempts
			o.cancels = append(o.cancels, rules.Cancel{ID: m.id, Attempt: m.attempts - 1})
		}
	}
	slices.SortFunc(o.cancels, func(a, b rules.Cancel) int { return cmp.Compare(a.ID, b.ID) })
	for _, c := range o.cancels {
		eng.actions = append(eng.actions, c)
	}
	o.cancels = o.cancels[:0]
}
