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
type decayingRate struct {
	sum  float64
	last time.Duration
}

func (m *decayingRate) add(now, span time.Duration, n float64) {
	m.sum = m.sum*math.Exp(-(now-m.last).Seconds()/span.Seconds()) + n
	m.last = now
}

func (m *decayingRate) perSecond(now, span time.Duration) float64 {
	return m.sum * math.Exp(-(now-m.last).Seconds()/span.Seconds()) / span.Seconds()
}

// lane is what has one limit: a destination, or an endpoint where routes are apart.
type limitScope struct {
	controller          rateController
	inFlight            int
	consecutiveRefusals int           // in a row, each of a call sent after the one before was refused
	firstRefusedAt      time.Duration // the first of them
	reportedLimit       float64       // limit that the destination told, shared by all senders
	lastAnsweredAt      time.Duration // the last answer, 0 for none
}

type health int

const (
	healthy   health = iota
	probation        // sparse trial calls only
	slowStart        // back from an outage, and cold
)

// timing is how long calls take, smoothed.
type timing struct {
	latency, spread float64 // seconds
	known           bool    // there is a sample
}

// service is how an endpoint treats one class: it may fail or swallow one and serve the others.
type classHealth struct {
	timing
	class               int
	next                *classHealth  // of the same endpoint
	consecutiveFailures int           // calls failed or overdue since the last answer
	openUntil           time.Duration // no call of the class before, if another endpoint takes it
	hints               decayingRate  // what other senders say of it
}

// endpoint is one place that takes calls, with what this sender has seen of it.
type endpointState struct {
	id              EndpointID
	seq             uint32 // in the order first heard of
	zone            int
	kind            int
	destination     *destinationState
	limitScope      *limitScope
	inService       bool
	gone            bool // from the list, not just draining
	goneAt          time.Duration
	departureNumber int     // the number of that, of all that left the list
	listedRate      float64 // listed rate
	calls           []*call // out, oldest first
	timing
	classes *classHealth // the first of those that were asked for

	health               health
	symptom              Outcome
	healthSince          time.Duration // when the present health began
	consecutiveFailures  int           // in a row
	failingSince         time.Duration // since when
	lastFailedSentAt     time.Duration // the last call known to have failed was made
	lastAnsweredAt       time.Duration
	lastAnsweredSentAt   time.Duration // the last call known to be answered was made
	deliveredRate        decayingRate
	preOutageRate        float64       // calls a second delivered before the outage
	lastCharged          time.Duration // the last call
	warmUpCredit         time.Duration // on slow start, what counts as warm-up at least
	probeInterval        time.Duration // on probation, from that to the next, as it was reckoned then
	connectionsRenewedAt time.Duration // when its connections were last renewed for silence

	connectRefusals  int           // connections turned away in a row, as the endpoint held all it can
	connectNotBefore time.Duration // no call before, after such a one

	peakCalls int // most calls out at once while connections stayed open
	lastUsed  time.Duration
}

type destinationState struct {
	number    int
	seq       uint32 // in the order first heard of
	pinned    bool   // an endpoint of it is told of in a message for another
	endpoints []*endpointState
	backlog
	servedRate     decayingRate
	arrivalRate    decayingRate  // arrivals
	retryNotBefore time.Duration // no call before at endpoints that failed
}

// call is what travels at once: the messages sent to one endpoint in one step.
type call struct {
	endpoint      *endpointState
	sentAt        time.Duration
	attempts      []*attempt
	openAttempts  int // attempts without an outcome
	assessed      bool
	openedBreaker bool // its class was held against the endpoint
	hintPublished bool // to the other senders
	recalled      bool // as far as it was not written yet
	cancelled     bool
}

type attempt struct {
	id      MessageID
	number  int
	call    *call
	message *message
}

type attemptKey struct {
	id     MessageID
	number int
}

type message struct {
	treeNode
	id              MessageID
	destination     *destinationState
	class           *Class
	classIndex      int
	tenant          int
	orderQueue      *orderQueue
	deadline        time.Duration
	attemptCount    int
	recalls         int // attempts called back, which are no tries but have numbers
	inFlight        []*attempt
	mayHaveRunSince time.Duration // send time of the earliest attempt that may have run; never if none
	mayHaveRunOn    *endpointState
	streamed        bool
	notBefore       time.Duration // no attempt before, after a refusal
	finished        bool
}

// turn keeps the order of one key.
type orderQueue struct {
	messages    []*message
	inFlight    int // attempts out, of all its messages
	pausedUntil time.Duration
	pausedBy    *message
}

// Sender decides for one sender; it knows only what its own events told it.
type Sender struct {
	dormantState

	settings                   Settings
	rng                        *rand.Rand
	now                        time.Duration
	endpoints                  map[EndpointID]*endpointState
	destinations               map[int]*destinationState
	backlogged                 []*destinationState    // those that have messages, in the order first heard of
	lastMessageSeq             int                    // messages taken so far
	deadlineTimers             timerHeap              // the due times of what is held
	windowTimers               timerHeap              // the ends of keys' windows, and what can be tried no more
	pauseTimers                timerHeap              // the ends of pauses after refusals
	mayHaveRunCounts           map[*endpointState]int // messages held that may have run there
	plans                      []plan                 // reused by dispatch
	subtrees                   []subtree              // reused by rankings
	expiryCheckedAt            time.Duration          // paces lapse as of then, whenever they are next looked at
	held                       map[MessageID]*message
	attempts                   map[attemptKey]*attempt
	departures                 []departure // oldest first
	orderQueues                map[string]*orderQueue
	orderQueuesKept            int      // when they were last looked through
	calls                      []*call  // out, oldest first; each holds a slot
	classTimings               []timing // of all endpoints, by class
	tenantArrivals             []decayingRate
	totalArrivals              decayingRate
	brokenConnections          decayingRate     // silences that a fresh connection ended
	totalQuota                 float64          // of all tenants
	slowness                   float64          // how long answers take lately, over what they took before at the same endpoint
	answersSinceConnectRefusal map[int]int      // by kind, answers since a connect was turned away; below startOpen connections are yielded
	endedCallEndpoints         []*endpointState // had a call end in this step
	callEndpoints              []*endpointState // reused by calling
	overdueCalls               int              // calls out that are unusually late
	lastSeq                    uint32           // endpoints and destinations heard of so far
	wakeAt                     time.Duration
	watchAt                    time.Duration
	shutdownAt                 time.Duration // of the process
	startedAt                  time.Duration // of the first step
	stalled                    bool          // the sender stood still: this step comes long after it was asked for
	actions                    []Action

	observations Observations
}

// New returns a sender that knows nothing but its settings.
func New(set Settings) *Sender {
	s := &Sender{dormantState: dormantState{records: newRecordTable(), deactivateAfter: deactivateAfter, absences: map[EndpointID]absence{}}, settings: set,
		rng: rand.New(rand.NewPCG(set.Seed, 0)), wakeAt: never, watchAt: never, shutdownAt: never, startedAt: never,
		endpoints: map[EndpointID]*endpointState{}, destinations: map[int]*destinationState{}, held: map[MessageID]*message{},
		attempts: map[attemptKey]*attempt{}, orderQueues: map[string]*orderQueue{}, answersSinceConnectRefusal: map[int]int{}, mayHaveRunCounts: map[*endpointState]int{}, tenantArrivals: make([]decayingRate, len(set.Tenants)),
		classTimings: make([]timing, len(set.Classes)), slowness: 1}
	for _, t := range set.Tenants {
		s.totalQuota += t.Quota
	}
	if set.WatchesRegistry {
		s.watchAt = 0
	}
	return s
}

func (s *Sender) emit(a Action) { s.actions = append(s.actions, a) }

// destination returns the destination of a number, awake, a new one if it is not known.
func (s *Sender) destination(n int) *destinationState {
	d := s.destinations[n]
	if d == nil && int(int32(n)) == n {
		d = s.activate(int32(n))
	}
	if d == nil {
		s.lastSeq++
		d = s.newDestination(n)
		d.seq = s.lastSeq
	}
	return d
}

func (s *Sender) kind(ep *endpointState) Kind {
	if ep.kind < len(s.settings.Kinds) {
		return s.settings.Kinds[ep.kind]
	}
	return Kind{Batch: 1}
}

// take accepts a message; from here on one final answer is owed.
func (s *Sender) accept(e Arrived) {
	s.lastMessageSeq++
	m := &message{treeNode: treeNode{seq: s.lastMessageSeq, priority: mixBits(s.lastMessageSeq)}, id: e.ID, destination: s.destination(e.Destination), class: &s.settings.Classes[e.Class], classIndex: e.Class, tenant: e.Tenant,
		deadline: s.now + e.TimeLeft, attemptCount: e.Prior.Count, mayHaveRunSince: never}
	if e.Prior.MayHaveRun {
		s.setMayHaveRun(m, s.endpoint(e.Prior.Endpoint), s.now-e.Prior.Age)
		if at := m.mayHaveRunOn; at != nil && at.destination != m.destination {
			at.destination.pinned = true
		}
	}
	if m.class.KeepOrder && e.OrderKey != "" {
		s.dropIdleOrderQueues()
		if m.orderQueue = s.orderQueues[e.OrderKey]; m.orderQueue == nil {
			m.orderQueue = &orderQueue{}
			s.orderQueues[e.OrderKey] = m.orderQueue
		}
		m.orderQueue.messages = append(m.orderQueue.messages, m)
	}
	s.held[m.id] = m
	if m.destination.held++; m.destination.held == 1 {
		i, _ := slices.BinarySearchFunc(s.backlogged, m.destination, compareDestinations)
		s.backlogged = slices.Insert(s.backlogged, i, m.destination)
	}
	s.addTimer(&s.deadlineTimers, m, s.answerDeadline(m))
	s.enqueue(m)
	m.destination.arrivalRate.add(s.now, trafficSpan, 1)
	s.totalArrivals.add(s.now, trafficSpan, 1)
	if e.Tenant < len(s.tenantArrivals) {
		s.tenantArrivals[e.Tenant].add(s.now, trafficSpan, 1)
	}
}

// forget drops a message that is over, nil for one not held; outcomes of its attempts may still come.
func (s *Sender) forget(m *message) {
	if m == nil {
		return
	}
	delete(s.held, m.id)
	if m.finished {
		return
	}
	m.finished = true
	if m.group != nil {
		s.dequeue(m)
	}
	if len(m.inFlight) > 0 {
		m.destination.inFlight--
	}
	s.releaseMayHaveRun(m)
	if m.destination.held--; m.destination.held == 0 {
		i, _ := slices.BinarySearchFunc(s.backlogged, m.destination, compareDestinations)
		s.backlogged = slices.Delete(s.backlogged, i, i+1)
	}
	if m.orderQueue != nil {
		s.leaveOrderQueue(m.orderQueue, m)
	}
}

// leave takes a message out of the queue of its key; the next one may be first from now on.
func (s *Sender) leaveOrderQueue(t *orderQueue, m *message) {
	i, _ := slices.BinarySearchFunc(t.messages, m, func(a, b *message) int { return a.seq - b.seq })
	if i > 0 {
		t.messages = slices.Delete(t.messages, i, i+1)
		return
	}
	t.messages[0], t.messages = nil, t.messages[1:] // which moves nothing
	if len(t.messages) > 0 && t.messages[0].group != nil {
		s.enqueue(t.messages[0])
	}
}

func compareDestinations(a, b *destinationState) int { return cmp.Compare(a.seq, b.seq) }

// endsNext is the next moment at which a message may have to be ended by the clock alone: its due time, or the end of its
// key's window. What is spent already is due at once.
func (s *Sender) nextEndCheck(m *message) time.Duration {
	switch {
	case m.streamed:
		return never
	case len(m.inFlight) == 0 && s.exhausted(m):
		return s.now
	case m.class.Effect == Keyed && m.mayHaveRunSince != never && len(m.inFlight) == 0:
		return min(s.answerDeadline(m), m.windowEnd()-s.settings.Tick)
	}
	return s.answerDeadline(m)
}

// windowEnd is when the destination may forget the key of a message that may have run.
func (m *message) windowEnd() time.Duration { return m.mayHaveRunSince + m.class.Window }

// windowLeft is what is left of the window of a keyed message that may have run, 0 for one that is bound to none.
func (s *Sender) windowLeft(m *message) time.Duration {
	if m.class.Effect != Keyed || m.mayHaveRunSince == never {
		return 0
	}
	return m.windowEnd() - s.now - s.settings.Tick
}

func (m *message) done() bool { return m.finished || m.streamed }

// earliestDue is the earliest due time of what is held and not streamed, never if there is none.
func (s *Sender) earliestDue() time.Duration {
	for len(s.deadlineTimers.timers) > 0 && s.deadlineTimers.timers[0].message.done() {
		s.deadlineTimers.pop()
	}
	return s.deadlineTimers.earliest()
}

// calling lists the endpoints that have calls out, in the order of the list.
func (s *Sender) endpointsWithCalls() []*endpointState {
	s.callEndpoints = s.callEndpoints[:0]
	for _, c := range s.calls {
		if c.endpoint.calls[0] == c {
			s.callEndpoints = append(s.callEndpoints, c.endpoint)
		}
	}
	slices.SortFunc(s.callEndpoints, compareEndpoints)
	return s.callEndpoints
}

// forgetGone drops endpoints that have long been gone, once nothing of them is out, no wait told by them lasts and no
// message may have run there, so that endpoints that are replaced all day long leave nothing behind. The last of a
// destination stays until another comes, as a new one takes its lane and its failures from those there.
func (s *Sender) forgetGoneEndpoints() {
	s.departures = slices.DeleteFunc(s.departures, func(g departure) bool {
		ep, d := g.endpoint, g.endpoint.destination
		if s.now-ep.goneAt < goneRetention || len(ep.calls) > 0 || s.now < ep.limitScope.controller.notBefore || len(d.endpoints) == 1 || s.mayHaveRunCounts[ep] > 0 {
			return false
		}
		d.endpoints = without(d.endpoints, ep)
		delete(s.endpoints, ep.id)
		s.emit(EndpointForgotten{Endpoint: ep.id})
		return true
	})
}

// soonest is the least of what is told of a destination's listed endpoints, never if there are none.
func (d *destinationState) earliestOf(at func(*endpointState) time.Duration) time.Duration {
	least := never
	for _, ep := range d.endpoints {
		if ep.inService {
			least = min(least, at(ep))
		}
	}
	return least
}

// width is how many endpoints a destination has, one at least.
func (d *destinationState) endpointCount() int {
	n := 0
	for _, ep := range d.endpoints {
		if !ep.gone {
			n++
		}
	}
	return max(n, 1)
}

// dropTurns forgets the keys of which nothing is about any more, each time their number has doubled.
func (s *Sender) dropIdleOrderQueues() {
	if len(s.orderQueues) < 2*s.orderQueuesKept+64 {
		return
	}
	maps.DeleteFunc(s.orderQueues, func(_ string, t *orderQueue) bool {
		return len(t.messages) == 0 && t.inFlight == 0 && s.now >= t.pausedUntil
	})
	s.orderQueuesKept = len(s.orderQueues)
}

func seconds(x float64) time.Duration { return time.Duration(min(x, 1e6) * float64(time.Second)) }

func without[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// anyWaits tells whether a destination has messages with no attempt out.
func (d *destinationState) hasWaiting() bool { return d.held > d.inFlight }

// pace is the design's AIMD limiter: calls a second for one lane, unbounded (rate 0) until a refusal.
type rateController struct {
	rate, increase           float64
	lastDecrease, lastChange time.Duration
	lastRefusal              time.Duration
	lastLimited              time.Duration // when a message last waited for the pace
	nextSend                 time.Duration // the next call may leave now
	notBefore                time.Duration // a told wait
	sentRate, refusedRate    decayingRate
}

// plan is a call that could be made now.
type plan struct {
	endpoint *endpointState
	messages []*message
	score    float64
}

// open books a call of the messages to an endpoint.
func (s *Sender) openCall(ep *endpointState, msgs []*message) *call {
	c := &call{endpoint: ep, sentAt: s.now, openAttempts: len(msgs)}
	for _, m := range msgs {
		a := &attempt{id: m.id, number: m.attemptCount + m.recalls, call: c, message: m}
		m.attemptCount++
		if m.group != nil {
			s.dequeue(m)
		}
		if m.inFlight = append(m.inFlight, a); len(m.inFlight) == 1 {
			m.destination.inFlight++
		}
		if m.orderQueue != nil {
			m.orderQueue.inFlight++
		}
		c.attempts = append(c.attempts, a)
		s.attempts[attemptKey{a.id, a.number}] = a
	}
	if s.now-ep.lastUsed > s.settings.KeepAlive {
		ep.peakCalls = 0
	}
	ep.calls = append(ep.calls, c)
	ep.limitScope.inFlight++
	s.calls = append(s.calls, c)
	ep.peakCalls, ep.lastUsed = max(ep.peakCalls, len(ep.calls)), s.now
	return c
}

// close books the outcome of an attempt and returns it, nil for one not known or told before.
func (s *Sender) closeAttempt(e AttemptEnded) *attempt {
	key := attemptKey{e.ID, e.Attempt}
	a := s.attempts[key]
	if a == nil {
		return nil
	}
	delete(s.attempts, key)
	m, c := a.message, a.call
	if m.inFlight = without(m.inFlight, a); len(m.inFlight) == 0 && !m.finished {
		m.destination.inFlight--
	}
	if e.Recalled {
		m.attemptCount--
		m.recalls++
	}
	if m.orderQueue != nil {
		m.orderQueue.inFlight--
		if e.Outcome == TimedOut || e.Outcome == Reset || e.Outcome == Cancelled {
			m.orderQueue.pausedUntil, m.orderQueue.pausedBy = s.now+s.settings.OrderPause, m
		}
	}
	if c.openAttempts--; c.openAttempts == 0 {
		c.endpoint.calls = without(c.endpoint.calls, c)
		c.endpoint.limitScope.inFlight--
		s.calls = without(s.calls, c)
	}
	return a
}

// class is that of a call's first message.
func (c *call) class() int { return c.attempts[0].message.classIndex }

// service is how the call's endpoint treats its class.
func (c *call) classHealth() *classHealth { return c.endpoint.classHealth(c.class()) }

// service is how an endpoint treats a class.
func (ep *endpointState) classHealth(class int) *classHealth {
	for v := ep.classes; v != nil; v = v.next {
		if v.class == class {
			return v
		}
	}
	ep.classes = &classHealth{class: class, next: ep.classes}
	return ep.classes
}

// cancel calls off what a call, if there is one, has out.
func (s *Sender) cancelCall(c *call) {
	if c == nil || c.cancelled || !s.settings.MayCancel {
		return
	}
	c.cancelled = true
	s.emitForOpenAttempts(c, func(id MessageID, num int) Action { return Cancel{ID: id, Attempt: num} })
}

// turnBack calls a call back, once.
func (s *Sender) recallCall(c *call) {
	if !c.recalled {
		c.recalled = true
		s.emitForOpenAttempts(c, func(id MessageID, num int) Action { return Recall{ID: id, Attempt: num} })
	}
}

// actOn does the same to each of a call's attempts that is still out and the sender's.
func (s *Sender) emitForOpenAttempts(c *call, action func(MessageID, int) Action) {
	for _, a := range c.attempts {
		if s.attempts[attemptKey{a.id, a.number}] == a && !a.message.streamed {
			s.emit(action(a.id, a.number))
		}
	}
}

// backlog is how many seconds a destination's held messages take at its recent rate.
func (s *Sender) backlogSeconds(d *destinationState) float64 {
	return float64(d.held) / max(d.servedRate.perSecond(s.now, trafficSpan), 1e-3)
}

// crowded tells whether the endpoint's connection table may be full: many share it, and it is not proven otherwise.
func (s *Sender) connectionsScarce(ep *endpointState) bool {
	return s.settings.Senders > smallFleet && s.answersSinceConnectRefusal[ep.kind] < keepOpenAnswers
}

// quiet is how long an endpoint with calls out has answered nothing.
func (s *Sender) unansweredFor(ep *endpointState) time.Duration {
	if len(ep.calls) == 0 {
		return 0
	}
	return s.now - max(ep.lastAnsweredAt, ep.calls[0].sentAt)
}
