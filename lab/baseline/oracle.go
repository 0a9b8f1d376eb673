// This file owns the yardstick from above: a policy that sees the true state of every receiver, and what other senders have
// on the way. No real sender can. It does not see the future, so it is no proof of what is possible, but what hardly
// anything passes.

package baseline

import (
	"cmp"
	"slices"
	"time"

	"eiderhaven/lab/receiver"
	"eiderhaven/rules"
)

// Truth is what the oracle sees; one value is shared by all senders of a run, which therefore must not decide at once.
type OracleView struct {
	Endpoints   map[rules.EndpointID]*receiver.Endpoint
	TransitTime time.Duration // a call may be on the way for so long
	onWay       map[*receiver.Unit][]time.Duration
	out         map[*receiver.Endpoint]int
}

// NewTruth returns the shared view of a run.
func NewOracleView(endpoints map[rules.EndpointID]*receiver.Endpoint, way time.Duration) *OracleView {
	return &OracleView{Endpoints: endpoints, TransitTime: way, onWay: map[*receiver.Unit][]time.Duration{}, out: map[*receiver.Endpoint]int{}}
}

// Oracle returns the policy that sees the truth.
func Oracle(set rules.Settings, t *OracleView) *frame { return newFrame(set, &oracle{OracleView: t}) }

type oracle struct {
	*OracleView
	waiting map[*dest]int // messages of a destination, in this step
	cancels []rules.Cancel
}

const (
	ahead      = 1.3 // calls out at an endpoint over its servers: what is on the way must not leave one idle
	muchSlower = 2   // an endpoint this many times slower than it was gets work only while slots are plenty
	longCall   = 4 * time.Second
)

// company is the part of its aim that a message waits for others, where calls hold several and are scarce.
const company = 4

func (o *oracle) may(f *frame, m *msg, ep *endpoint) bool {
	x := o.Endpoints[ep.id]
	if x == nil || !x.HasCapacity() || float64(o.out[x]) >= ahead*float64(x.Unit.Spec.Servers)+1 {
		return false
	}
	if x.Slowdown > muchSlower && 2*f.busy > f.set.Slots {
		return false // each of its calls would hold a slot that serves several elsewhere
	}
	way := o.onWay[x.Unit]
	for len(way) > 0 && way[0] < f.now-o.TransitTime {
		way = way[1:]
	}
	o.onWay[x.Unit] = way
	n := float64(len(way) + 1)
	if ep.batch > 1 && o.waiting[m.dest] < ep.batch && x.Unit.RemainingLimit(f.now) < n+1 &&
		f.now-(m.deadline-m.class.Deadline) < m.class.Aim/company {
		return false // the last free call is better full
	}
	return x.Unit.RemainingLimit(f.now) >= n && x.Unit.RemainingColdBudget(f.now) >= n
}

func (o *oracle) sent(f *frame, ep *endpoint) {
	x := o.Endpoints[ep.id]
	o.onWay[x.Unit] = append(o.onWay[x.Unit], f.now)
	o.out[x]++
}

func (o *oracle) ended(_ *frame, m *msg, ep *endpoint, _ rules.AttemptEnded) (bool, time.Duration) {
	if m.leads {
		x := o.Endpoints[ep.id]
		o.out[x] = max(0, o.out[x]-1)
	}
	return true, 0
}

// order puts first what can still earn its full worth, the dearer the sooner, and last what is late already.
func (o *oracle) order(f *frame, queue []*msg) []*msg {
	out := slices.Clone(queue)
	o.waiting = map[*dest]int{}
	for _, m := range queue {
		o.waiting[m.dest]++
	}
	late := func(m *msg) int {
		if f.now > m.deadline-m.class.Deadline+m.class.Aim {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(out, func(a, b *msg) int {
		return cmp.Or(cmp.Compare(late(a), late(b)), cmp.Compare(b.class.Worth, a.class.Worth), cmp.Compare(a.deadline, b.deadline))
	})
	return out
}

// timeout ends what hangs on a connection that died unseen; endpoints that answer nothing are seen.
func (o *oracle) timeout(m *msg) time.Duration {
	if m.class.Effect == rules.AtMostOnce {
		return 0
	}
	return longCall
}

// price is about how long a call would take.
func (o *oracle) price(ep *endpoint) float64 {
	x := o.Endpoints[ep.id]
	if x == nil {
		return 0
	}
	return (1 + float64(o.out[x])/float64(x.Unit.Spec.Servers)) * x.Slowdown
}

// giveUp calls off what is out at endpoints that are seen to answer nothing.
func (o *oracle) giveUp(f *frame) {
	if !f.set.MayCancel {
		return
	}
	for _, m := range f.msgs {
		if m.out == 0 || m.gaveUp == m.tries {
			continue
		}
		if x := o.Endpoints[m.at.id]; x != nil && (x.Unresponsive > 0 || x.Hanging > 0) {
			m.gaveUp = m.tries
			o.cancels = append(o.cancels, rules.Cancel{ID: m.id, Attempt: m.tries - 1})
		}
	}
	slices.SortFunc(o.cancels, func(a, b rules.Cancel) int { return cmp.Compare(a.ID, b.ID) })
	for _, c := range o.cancels {
		f.out = append(f.out, c)
	}
	o.cancels = o.cancels[:0]
}
