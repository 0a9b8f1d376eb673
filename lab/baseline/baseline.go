// Package baseline owns the policies that the decision module is compared with. They are for the lab alone and must never
// be linked into the daemon. All share one frame that keeps the list, the messages and the rules on ends, drains, waits and
// repeats; they differ in when they send and whether they try again.
package baseline

import (
	"cmp"
	"slices"
	"time"

	"eiderhaven/rules"
)

// frame is what all baselines share.
type frame struct {
	set    rules.Settings
	how    strategy
	now    time.Duration
	dests  map[int]*dest
	eps    map[rules.EndpointID]*endpoint
	msgs   map[rules.MessageID]*msg
	queue  []*msg // held and not out, in order of arrival
	busy   int
	wakeAt time.Duration
	out    []rules.Action
	fresh  map[*endpoint]int // messages in the last call that this step makes there
	turns  map[string]*turn
	seq    int
}

// turn is the messages of one order key, first taken first, and until when the key rests.
type turn struct {
	msgs []*msg
	rest time.Duration
}

type dest struct {
	number    int
	endpoints []*endpoint
	next      int
	until     time.Duration // a told wait
	state     any           // the strategy's
}

type endpoint struct {
	id     rules.EndpointID
	dest   *dest
	route  *dest // what waits and state belong to: the destination, or one of its own where routes are apart
	listed bool
	batch  int
	calls  int
}

type msg struct {
	id        rules.MessageID
	dest      *dest
	class     *rules.Class
	deadline  time.Duration
	tries     int
	out       int
	mayRun    bool
	ran       time.Duration
	over      bool
	notBefore time.Duration
	seq       int // order of arrival
	turn      *turn
	at        *endpoint // of the last attempt
	gaveUp    int       // the attempt that was called off last, from 1
	leads     bool      // first of the call that it is out with: the strategy hears of one outcome a call
	state     any       // the strategy's
}

// strategy is how a baseline differs from the others.
type strategy interface {
	// may tells whether a call may go to the endpoint now; sent tells that one does.
	may(f *frame, m *msg, ep *endpoint) bool
	sent(f *frame, ep *endpoint)
	// ended takes an outcome and returns after how long the message may be tried again, if it may at all.
	ended(f *frame, m *msg, ep *endpoint, e rules.AttemptEnded) (again bool, after time.Duration)
	timeout(m *msg) time.Duration
}

func newFrame(set rules.Settings, how strategy) *frame {
	return &frame{set: set, how: how, dests: map[int]*dest{}, eps: map[rules.EndpointID]*endpoint{},
		msgs: map[rules.MessageID]*msg{}, turns: map[string]*turn{}, wakeAt: -1}
}

// Step takes what has come in and returns what to do about it now.
func (f *frame) Step(now time.Duration, events []rules.Event) []rules.Action {
	f.now, f.out = now, nil
	for _, e := range events {
		f.handle(e)
	}
	if f.set.WatchesRegistry && f.wakeAt < 0 {
		f.out = append(f.out, rules.Watch{})
	}
	if own, ok := f.how.(interface{ giveUp(*frame) }); ok {
		own.giveUp(f)
	}
	f.endDue()
	f.dispatch()
	f.wake()
	return f.out
}

func (f *frame) handle(e rules.Event) {
	switch e := e.(type) {
	case rules.Arrived:
		m := &msg{id: e.ID, dest: f.dest(e.Destination), class: &f.set.Classes[e.Class], deadline: f.now + e.TimeLeft,
			tries: e.Prior.Count, mayRun: e.Prior.MayHaveRun, ran: f.now - e.Prior.Age}
		f.seq++
		m.seq = f.seq
		if m.class.KeepOrder && e.OrderKey != "" {
			if m.turn = f.turns[e.OrderKey]; m.turn == nil {
				m.turn = &turn{}
				f.turns[e.OrderKey] = m.turn
			}
			m.turn.msgs = append(m.turn.msgs, m)
		}
		f.msgs[m.id] = m
		f.queue = append(f.queue, m)
	case rules.AttemptEnded:
		f.ended(e)
	case rules.ListUpdate:
		f.listed(e)
	}
}

func (f *frame) dest(n int) *dest {
	d := f.dests[n]
	if d == nil {
		d = &dest{number: n}
		f.dests[n] = d
	}
	return d
}

func (f *frame) listed(e rules.ListUpdate) {
	if e.Whole {
		for _, ep := range f.eps {
			ep.listed = false
		}
	}
	for _, x := range e.Entries {
		ep := f.eps[x.Endpoint]
		if ep == nil {
			d := f.dest(x.Destination)
			ep = &endpoint{id: x.Endpoint, dest: d, route: d}
			if x.Kind < len(f.set.Kinds) {
				ep.batch = f.set.Kinds[x.Kind].Batch
				if f.set.Kinds[x.Kind].RoutesApart {
					ep.route = &dest{number: d.number}
				}
			}
			f.eps[x.Endpoint] = ep
			d.endpoints = append(d.endpoints, ep)
		}
		ep.listed = !x.Draining && !x.Gone
	}
}

func (f *frame) ended(e rules.AttemptEnded) {
	ep, m := f.eps[e.Endpoint], f.msgs[e.ID]
	if ep == nil || m == nil {
		return
	}
	m.out--
	if m.leads {
		f.busy--
		ep.calls--
	}
	if e.RetryAfter > 0 {
		ep.route.until = max(ep.route.until, f.now+e.RetryAfter)
	}
	switch e.Outcome {
	case rules.Refused, rules.ConnectError, rules.NotSent:
	default:
		if !m.mayRun {
			m.mayRun, m.ran = true, f.now-e.Elapsed
		}
	}
	if m.turn != nil && (e.Outcome == rules.TimedOut || e.Outcome == rules.Reset || e.Outcome == rules.Cancelled) {
		m.turn.rest = f.now + f.set.OrderPause
	}
	again, after := f.how.ended(f, m, ep, e)
	switch {
	case e.Finished || m.over:
		m.over = true
		f.drop(m)
	case !again || !f.mayRepeat(m) || m.tries >= f.set.MaxAttempts:
		f.end(m)
	default:
		m.notBefore = f.now + after
		f.requeue(m)
	}
}

// requeue keeps the order of arrival.
func (f *frame) requeue(m *msg) {
	i, _ := slices.BinarySearchFunc(f.queue, m, func(a, b *msg) int { return cmp.Compare(a.seq, b.seq) })
	f.queue = slices.Insert(f.queue, i, m)
}

// mayRepeat holds rule 2.
func (f *frame) mayRepeat(m *msg) bool {
	switch {
	case !m.mayRun || m.class.Effect == rules.Safe:
		return true
	case m.class.Effect == rules.Keyed && m.class.Scope == rules.DedupDestination:
		return f.now+f.set.Tick < m.ran+m.class.Window
	}
	return false
}

// end gives a message its final answer.
func (f *frame) end(m *msg) {
	m.over = true
	ran := m.mayRun || m.out > 0
	if !ran || m.class.Effect == rules.Safe || m.class.Effect == rules.Keyed && m.class.Scope == rules.DedupDestination {
		f.out = append(f.out, rules.Refuse{ID: m.id})
	} else {
		f.out = append(f.out, rules.Fail{ID: m.id})
	}
	f.drop(m)
}

func (f *frame) drop(m *msg) {
	f.queue = slices.DeleteFunc(f.queue, func(x *msg) bool { return x == m })
	if m.out == 0 {
		delete(f.msgs, m.id)
		if m.turn != nil {
			m.turn.msgs = slices.DeleteFunc(m.turn.msgs, func(x *msg) bool { return x == m })
		}
	}
}

func (f *frame) due(m *msg) time.Duration { return m.deadline - 2*f.set.Tick }

func (f *frame) endDue() {
	var due []*msg
	for _, m := range f.msgs {
		if !m.over && (f.now >= f.due(m) || m.out == 0 && !f.mayRepeat(m)) {
			due = append(due, m)
		}
	}
	slices.SortFunc(due, func(a, b *msg) int { return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.id, b.id)) })
	for _, m := range due {
		f.end(m)
	}
}

// dispatch sends what may go, in order of arrival or the strategy's own.
func (f *frame) dispatch() {
	queue := f.queue
	if own, ok := f.how.(interface{ order(*frame, []*msg) []*msg }); ok {
		queue = own.order(f, queue)
	}
	f.fresh = map[*endpoint]int{}
	sent := map[*msg]bool{}
	for _, m := range queue {
		if m.turn == nil || m.turn.msgs[0] == m && f.now >= m.turn.rest {
			sent[m] = f.try(m)
		}
	}
	f.queue = slices.DeleteFunc(f.queue, func(m *msg) bool { return sent[m] })
}

// try sends a message: with a call that this step makes already, if there is room in it, else to the next of its endpoints
// that may take a call.
func (f *frame) try(m *msg) bool {
	if f.now < m.notBefore || !f.mayRepeat(m) {
		return false
	}
	d := m.dest
	for _, ep := range d.endpoints {
		if n := f.fresh[ep]; n > 0 && n < ep.batch {
			f.send(m, ep)
			f.fresh[ep]++
			return true
		}
	}
	if f.busy >= f.set.Slots {
		return false
	}
	d.next++
	for _, ep := range f.inTurn(d) {
		if !ep.listed || f.now < ep.route.until || !f.how.may(f, m, ep) {
			continue
		}
		f.send(m, ep)
		f.fresh[ep] = 1
		f.how.sent(f, ep)
		return true
	}
	return false
}

// inTurn lists a destination's endpoints, another one first each time, or as the strategy likes them.
func (f *frame) inTurn(d *dest) []*endpoint {
	if len(d.endpoints) < 2 {
		return d.endpoints
	}
	n := d.next % len(d.endpoints)
	list := append(slices.Clone(d.endpoints[n:]), d.endpoints[:n]...)
	if own, ok := f.how.(interface{ price(*endpoint) float64 }); ok {
		slices.SortStableFunc(list, func(a, b *endpoint) int { return cmp.Compare(own.price(a), own.price(b)) })
	}
	return list
}

func (f *frame) send(m *msg, ep *endpoint) {
	m.tries++
	m.out++
	m.at = ep
	if f.fresh[ep] == 0 || f.fresh[ep] >= ep.batch {
		f.busy++
		ep.calls++
	}
	m.leads = f.fresh[ep] == 0 || f.fresh[ep] >= ep.batch
	f.out = append(f.out, rules.Send{ID: m.id, Endpoint: ep.id, Timeout: f.how.timeout(m)})
}

// wake asks for the next step while anything is held.
func (f *frame) wake() {
	next := time.Duration(-1)
	for _, m := range f.msgs {
		if !m.over && (next < 0 || f.due(m) < next) {
			next = f.due(m)
		}
	}
	if len(f.queue) > 0 {
		next = min(next, f.now+10*f.set.Tick)
	}
	if next < 0 || f.wakeAt > f.now && f.wakeAt <= next {
		f.wakeAt = max(f.wakeAt, 0) // so that the registry is asked once
		return
	}
	f.wakeAt = max(next, f.now+f.set.Tick)
	f.out = append(f.out, rules.WakeAfter{After: f.wakeAt - f.now})
}
