package rules

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// This file holds what a sender keeps in mind and how it is booked. It decides nothing.

// meter measures a rate over a fading span.
type meter struct {
	sum  float64
	last time.Duration
}

func (m *meter) add(now, span time.Duration, n float64) {
	m.sum = m.sum*math.Exp(-(now-m.last).Seconds()/span.Seconds()) + n
	m.last = now
}

func (m *meter) perSecond(now, span time.Duration) float64 {
	return m.sum * math.Exp(-(now-m.last).Seconds()/span.Seconds()) / span.Seconds()
}

// lane is what has one limit: a destination, or an endpoint where routes are apart.
type lane struct {
	pace      pace
	inflight  int
	refusals  int           // in a row, each of a call sent after the one before was refused
	refusedAt time.Duration // the first of them
	reported  float64       // limit that the destination told, shared by all senders
	servedAt  time.Duration // the last answer, 0 for none
}

type health int

const (
	healthy   health = iota
	probation        // sparse trial calls only
	ramping          // back from an outage, and cold
)

// timing is how long calls take, smoothed.
type timing struct {
	latency, spread float64 // seconds
	known           bool    // there is a sample
}

// service is how an endpoint treats one class: it may fail or swallow one and serve the others.
type service struct {
	timing
	class   int
	next    *service      // of the same endpoint
	ill     int           // calls failed or overdue since the last answer
	retryAt time.Duration // no call of the class before, if another endpoint takes it
	told    meter         // what other senders say of it
}

// endpoint is one place that takes calls, with what this sender has seen of it.
type endpoint struct {
	id     EndpointID
	seq    uint32 // in the order first heard of
	zone   int
	kind   int
	dest   *destination
	lane   *lane
	listed bool
	gone   bool // from the list, not just draining
	goneAt time.Duration
	left   int     // the number of that, of all that left the list
	rate   float64 // listed rate
	calls  []*call // out, oldest first
	timing
	services *service // the first of those that were asked for

	health       health
	symptom      Outcome
	since        time.Duration // when the present health began
	fails        int           // in a row
	failing      time.Duration // since when
	failedAt     time.Duration // the last call known to have failed was made
	lastAnswer   time.Duration
	answeredFrom time.Duration // the last call known to be answered was made
	delivered    meter
	base         float64       // calls a second delivered before the outage
	charged      time.Duration // the last call
	credit       time.Duration // on slow start, what counts as warm-up at least
	probeGap     time.Duration // on probation, from that to the next, as it was reckoned then
	renewed      time.Duration // when its connections were last renewed for silence

	connectRefusals  int           // connections turned away in a row, as the endpoint held all it can
	connectNotBefore time.Duration // no call before, after such a one

	peak    int // most calls out at once while connections stayed open
	lastUse time.Duration
}

type destination struct {
	number    int
	seq       uint32 // in the order first heard of
	pinned    bool   // an endpoint of it is told of in a message for another
	endpoints []*endpoint
	backlog
	served  meter
	wanted  meter         // arrivals
	retryAt time.Duration // no call before at endpoints that failed
}

// call is what travels at once: the messages sent to one endpoint in one step.
type call struct {
	ep        *endpoint
	sent      time.Duration
	attempts  []*attempt
	open      int // attempts without an outcome
	judged    bool
	overdue   bool // its class was held against the endpoint
	told      bool // to the other senders
	recalled  bool // as far as it was not written yet
	cancelled bool
}

type attempt struct {
	id   MessageID
	num  int
	call *call
	msg  *message
}

type attemptKey struct {
	id  MessageID
	num int
}

type message struct {
	node
	id        MessageID
	dest      *destination
	class     *Class
	classNo   int
	tenant    int
	order     *turn
	deadline  time.Duration
	tries     int
	back      int // attempts called back, which are no tries but have numbers
	out       []*attempt
	mayRun    time.Duration // send time of the earliest attempt that may have run; never if none
	mayRunAt  *endpoint
	streamed  bool
	notBefore time.Duration // no attempt before, after a refusal
	over      bool
}

// turn keeps the order of one key.
type turn struct {
	queue  []*message
	out    int // attempts out, of all its messages
	rest   time.Duration
	restBy *message
}

// Sender decides for one sender; it knows only what its own events told it.
type Sender struct {
	atRest

	set       Settings
	rng       *rand.Rand
	now       time.Duration
	endpoints map[EndpointID]*endpoint
	dests     map[int]*destination
	waiting   []*destination    // those that have messages, in the order first heard of
	msgSeq    int               // messages taken so far
	dues      alarms            // the due times of what is held
	windows   alarms            // the ends of keys' windows, and what can be tried no more
	paused    alarms            // the ends of pauses after refusals
	ran       map[*endpoint]int // messages held that may have run there
	plans     []plan            // reused by dispatch
	parts     []part            // reused by rankings
	lapsedAt  time.Duration     // paces lapse as of then, whenever they are next looked at
	held      map[MessageID]*message
	attempts  map[attemptKey]*attempt
	gone      []departure // oldest first
	turns     map[string]*turn
	turnsLeft int      // when they were last looked through
	calls     []*call  // out, oldest first; each holds a slot
	usual     []timing // of all endpoints, by class
	arrivals  []meter
	total     meter
	cured     meter       // silences that a fresh connection ended
	quotas    float64     // of all tenants
	slowness  float64     // how long answers take lately, over what they took before at the same endpoint
	proven    map[int]int // by kind, answers since a connect was turned away; below startOpen connections are yielded
	idled     []*endpoint // had a call end in this step
	callers   []*endpoint // reused by calling
	overdue   int         // calls out that are unusually late
	epSeq     uint32      // endpoints and destinations heard of so far
	wakeAt    time.Duration
	watchAt   time.Duration
	endsAt    time.Duration // of the process
	startedAt time.Duration // of the first step
	stood     bool          // the sender stood still: this step comes long after it was asked for
	actions   []Action

	observations Observations
}

// New returns a sender that knows nothing but its settings.
func New(set Settings) *Sender {
	s := &Sender{atRest: atRest{roster: newRoster(), restAfter: restAfter, absent: map[EndpointID]absence{}}, set: set,
		rng: rand.New(rand.NewPCG(set.Seed, 0)), wakeAt: never, watchAt: never, endsAt: never, startedAt: never,
		endpoints: map[EndpointID]*endpoint{}, dests: map[int]*destination{}, held: map[MessageID]*message{},
		attempts: map[attemptKey]*attempt{}, turns: map[string]*turn{}, proven: map[int]int{}, ran: map[*endpoint]int{}, arrivals: make([]meter, len(set.Tenants)),
		usual: make([]timing, len(set.Classes)), slowness: 1}
	for _, t := range set.Tenants {
		s.quotas += t.Quota
	}
	if set.AskRegistry {
		s.watchAt = 0
	}
	return s
}

func (s *Sender) act(a Action) { s.actions = append(s.actions, a) }

// destination returns the destination of a number, awake, a new one if it is not known.
func (s *Sender) destination(n int) *destination {
	d := s.dests[n]
	if d == nil && int(int32(n)) == n {
		d = s.wake(int32(n))
	}
	if d == nil {
		s.epSeq++
		d = s.newDestination(n)
		d.seq = s.epSeq
	}
	return d
}

func (s *Sender) kind(ep *endpoint) Kind {
	if ep.kind < len(s.set.Kinds) {
		return s.set.Kinds[ep.kind]
	}
	return Kind{Batch: 1}
}

// take accepts a message; from here on one final answer is owed.
func (s *Sender) take(e Arrived) {
	s.msgSeq++
	m := &message{node: node{seq: s.msgSeq, weight: mix(s.msgSeq)}, id: e.ID, dest: s.destination(e.Destination), class: &s.set.Classes[e.Class], classNo: e.Class, tenant: e.Tenant,
		deadline: s.now + e.TimeLeft, tries: e.Before.Attempts, mayRun: never}
	if e.Before.MayRun {
		s.ranAt(m, s.endpoint(e.Before.At), s.now-e.Before.Ago)
		if at := m.mayRunAt; at != nil && at.dest != m.dest {
			at.dest.pinned = true
		}
	}
	if m.class.KeepOrder && e.OrderKey != "" {
		s.dropTurns()
		if m.order = s.turns[e.OrderKey]; m.order == nil {
			m.order = &turn{}
			s.turns[e.OrderKey] = m.order
		}
		m.order.queue = append(m.order.queue, m)
	}
	s.held[m.id] = m
	if m.dest.held++; m.dest.held == 1 {
		i, _ := slices.BinarySearchFunc(s.waiting, m.dest, bySeq)
		s.waiting = slices.Insert(s.waiting, i, m.dest)
	}
	s.alarm(&s.dues, m, s.due(m))
	s.file(m)
	m.dest.wanted.add(s.now, deliveredMemory, 1)
	s.total.add(s.now, deliveredMemory, 1)
	if e.Tenant < len(s.arrivals) {
		s.arrivals[e.Tenant].add(s.now, deliveredMemory, 1)
	}
}

// forget drops a message that is over, nil for one not held; outcomes of its attempts may still come.
func (s *Sender) forget(m *message) {
	if m == nil {
		return
	}
	delete(s.held, m.id)
	if m.over {
		return
	}
	m.over = true
	if m.group != nil {
		s.unfile(m)
	}
	if len(m.out) > 0 {
		m.dest.out--
	}
	s.unran(m)
	if m.dest.held--; m.dest.held == 0 {
		i, _ := slices.BinarySearchFunc(s.waiting, m.dest, bySeq)
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	if m.order != nil {
		s.leave(m.order, m)
	}
}

// leave takes a message out of the queue of its key; the next one may be first from now on.
func (s *Sender) leave(t *turn, m *message) {
	i, _ := slices.BinarySearchFunc(t.queue, m, func(a, b *message) int { return a.seq - b.seq })
	if i > 0 {
		t.queue = slices.Delete(t.queue, i, i+1)
		return
	}
	t.queue[0], t.queue = nil, t.queue[1:] // which moves nothing
	if len(t.queue) > 0 && t.queue[0].group != nil {
		s.file(t.queue[0])
	}
}

func bySeq(a, b *destination) int { return cmp.Compare(a.seq, b.seq) }

// endsNext is the next moment at which a message may have to be ended by the clock alone: its due time, or the end of its
// key's window. What is spent already is due at once.
func (s *Sender) endsNext(m *message) time.Duration {
	switch {
	case m.streamed:
		return never
	case len(m.out) == 0 && s.spent(m):
		return s.now
	case m.class.Effect == Keyed && m.mayRun != never && len(m.out) == 0:
		return min(s.due(m), m.windowEnd()-s.set.Tick)
	}
	return s.due(m)
}

// windowEnd is when the destination may forget the key of a message that may have run.
func (m *message) windowEnd() time.Duration { return m.mayRun + m.class.Window }

// windowLeft is what is left of the window of a keyed message that may have run, 0 for one that is bound to none.
func (s *Sender) windowLeft(m *message) time.Duration {
	if m.class.Effect != Keyed || m.mayRun == never {
		return 0
	}
	return m.windowEnd() - s.now - s.set.Tick
}

func (m *message) ended() bool { return m.over || m.streamed }

// earliestDue is the earliest due time of what is held and not streamed, never if there is none.
func (s *Sender) earliestDue() time.Duration {
	for len(s.dues.heap) > 0 && s.dues.heap[0].m.ended() {
		s.dues.pop()
	}
	return s.dues.next()
}

// calling lists the endpoints that have calls out, in the order of the list.
func (s *Sender) calling() []*endpoint {
	s.callers = s.callers[:0]
	for _, c := range s.calls {
		if c.ep.calls[0] == c {
			s.callers = append(s.callers, c.ep)
		}
	}
	slices.SortFunc(s.callers, inOrder)
	return s.callers
}

// forgetGone drops endpoints that have long been gone, once nothing of them is out, no wait told by them lasts and no
// message may have run there, so that endpoints that are replaced all day long leave nothing behind. The last of a
// destination stays until another comes, as a new one takes its lane and its failures from those there.
func (s *Sender) forgetGone() {
	s.gone = slices.DeleteFunc(s.gone, func(g departure) bool {
		ep, d := g.ep, g.ep.dest
		if s.now-ep.goneAt < goneMemory || len(ep.calls) > 0 || s.now < ep.lane.pace.haltUntil || len(d.endpoints) == 1 || s.ran[ep] > 0 {
			return false
		}
		d.endpoints = without(d.endpoints, ep)
		delete(s.endpoints, ep.id)
		s.act(Forgot{Endpoint: ep.id})
		return true
	})
}

// soonest is the least of what is told of a destination's listed endpoints, never if there are none.
func (d *destination) soonest(at func(*endpoint) time.Duration) time.Duration {
	least := never
	for _, ep := range d.endpoints {
		if ep.listed {
			least = min(least, at(ep))
		}
	}
	return least
}

// width is how many endpoints a destination has, one at least.
func (d *destination) width() int {
	n := 0
	for _, ep := range d.endpoints {
		if !ep.gone {
			n++
		}
	}
	return max(n, 1)
}

// dropTurns forgets the keys of which nothing is about any more, each time their number has doubled.
func (s *Sender) dropTurns() {
	if len(s.turns) < 2*s.turnsLeft+64 {
		return
	}
	maps.DeleteFunc(s.turns, func(_ string, t *turn) bool { return len(t.queue) == 0 && t.out == 0 && s.now >= t.rest })
	s.turnsLeft = len(s.turns)
}

func seconds(x float64) time.Duration { return time.Duration(min(x, 1e6) * float64(time.Second)) }

func without[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// anyWaits tells whether a destination has messages with no attempt out.
func (d *destination) anyWaits() bool { return d.held > d.out }

// pace is the design's AIMD limiter: calls a second for one lane, unbounded (rate 0) until a refusal.
type pace struct {
	rate, step          float64
	lastCut, lastChange time.Duration
	lastRefusal         time.Duration
	lastWaited          time.Duration // when a message last waited for the pace
	next                time.Duration // the next call may leave now
	haltUntil           time.Duration // a told wait
	sent, refused       meter
}

// plan is a call that could be made now.
type plan struct {
	ep    *endpoint
	msgs  []*message
	score float64
}

// open books a call of the messages to an endpoint.
func (s *Sender) open(ep *endpoint, msgs []*message) *call {
	c := &call{ep: ep, sent: s.now, open: len(msgs)}
	for _, m := range msgs {
		a := &attempt{id: m.id, num: m.tries + m.back, call: c, msg: m}
		m.tries++
		if m.group != nil {
			s.unfile(m)
		}
		if m.out = append(m.out, a); len(m.out) == 1 {
			m.dest.out++
		}
		if m.order != nil {
			m.order.out++
		}
		c.attempts = append(c.attempts, a)
		s.attempts[attemptKey{a.id, a.num}] = a
	}
	if s.now-ep.lastUse > s.set.KeepAlive {
		ep.peak = 0
	}
	ep.calls = append(ep.calls, c)
	ep.lane.inflight++
	s.calls = append(s.calls, c)
	ep.peak, ep.lastUse = max(ep.peak, len(ep.calls)), s.now
	return c
}

// close books the outcome of an attempt and returns it, nil for one not known or told before.
func (s *Sender) close(e Ended) *attempt {
	key := attemptKey{e.ID, e.Attempt}
	a := s.attempts[key]
	if a == nil {
		return nil
	}
	delete(s.attempts, key)
	m, c := a.msg, a.call
	if m.out = without(m.out, a); len(m.out) == 0 && !m.over {
		m.dest.out--
	}
	if e.Recalled {
		m.tries--
		m.back++
	}
	if m.order != nil {
		m.order.out--
		if e.Outcome == TimedOut || e.Outcome == Reset || e.Outcome == Cancelled {
			m.order.rest, m.order.restBy = s.now+s.set.OrderPause, m
		}
	}
	if c.open--; c.open == 0 {
		c.ep.calls = without(c.ep.calls, c)
		c.ep.lane.inflight--
		s.calls = without(s.calls, c)
	}
	return a
}

// class is that of a call's first message.
func (c *call) class() int { return c.attempts[0].msg.classNo }

// service is how the call's endpoint treats its class.
func (c *call) service() *service { return c.ep.service(c.class()) }

// service is how an endpoint treats a class.
func (ep *endpoint) service(class int) *service {
	for v := ep.services; v != nil; v = v.next {
		if v.class == class {
			return v
		}
	}
	ep.services = &service{class: class, next: ep.services}
	return ep.services
}

// cancel calls off what a call, if there is one, has out.
func (s *Sender) cancel(c *call) {
	if c == nil || c.cancelled || !s.set.MayCancel {
		return
	}
	c.cancelled = true
	s.actOn(c, func(id MessageID, num int) Action { return Cancel{ID: id, Attempt: num} })
}

// turnBack calls a call back, once.
func (s *Sender) turnBack(c *call) {
	if !c.recalled {
		c.recalled = true
		s.actOn(c, func(id MessageID, num int) Action { return Recall{ID: id, Attempt: num} })
	}
}

// actOn does the same to each of a call's attempts that is still out and the sender's.
func (s *Sender) actOn(c *call, action func(MessageID, int) Action) {
	for _, a := range c.attempts {
		if s.attempts[attemptKey{a.id, a.num}] == a && !a.msg.streamed {
			s.act(action(a.id, a.num))
		}
	}
}

// backlog is how many seconds a destination's held messages take at its recent rate.
func (s *Sender) backlog(d *destination) float64 {
	return float64(d.held) / max(d.served.perSecond(s.now, deliveredMemory), 1e-3)
}

// crowded tells whether the endpoint's connection table may be full: many share it, and it is not proven otherwise.
func (s *Sender) crowded(ep *endpoint) bool {
	return s.set.Senders > fewSenders && s.proven[ep.kind] < startOpen
}

// quiet is how long an endpoint with calls out has answered nothing.
func (s *Sender) quiet(ep *endpoint) time.Duration {
	if len(ep.calls) == 0 {
		return 0
	}
	return s.now - max(ep.lastAnswer, ep.calls[0].sent)
}
