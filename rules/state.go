package rules

import (
	"cmp"
	"iter"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// This file owns the state of a sender: its types, how messages and calls are added to it and removed from it, and the
// helpers that read it. Destinations and endpoints are added and removed in record.go. It must make no decisions.

// decayingRate measures a rate, with exponentially decaying weights. Its methods take the time constant as span.
type decayingRate struct {
	sum  float64       // decayed count, as of last
	last time.Duration // time of the last addition
}

func (r *decayingRate) add(now, span time.Duration, n float64) {
	r.sum = r.sum*math.Exp(-(now-r.last).Seconds()/span.Seconds()) + n
	r.last = now
}

func (r *decayingRate) perSecond(now, span time.Duration) float64 {
	return r.sum * math.Exp(-(now-r.last).Seconds()/span.Seconds()) / span.Seconds()
}

// limitScope is what shares one rate limit: a destination, or a single endpoint if its kind has RoutesApart.
type limitScope struct {
	controller          rateController
	inFlight            int           // calls
	consecutiveRefusals int           // refusals since the last answer
	firstRefusedAt      time.Duration // send time of the first of them
	reportedLimit       float64       // calls a second over all senders, reported by the destination; 0 for none
	lastAnsweredAt      time.Duration // 0 for no answer yet
	lastAnsweredSentAt  time.Duration // send time of the latest call known to be answered

	// Calls that any of its endpoints left unanswered, as far as none has answered a later call. Only a large fleet
	// counts them.
	consecutiveFailures int
	failingSince        time.Duration // send time of the first of these calls
	lastFailedSentAt    time.Duration // send time of the latest call that was left unanswered, or refused in an outage
	lastFailureAt       time.Duration // when that was known to be unanswered

	// Of a limit scope that an earlier process saw trouble at; see hardstate.go.
	unproven        bool          // no call of this process was answered yet
	unansweredSince time.Duration // as ScopeHardState.UnansweredSince; 0 for no such call
	keptStates      int           // endpoints with hardStateKept
}

// rateController is the AIMD rate limiter of one limit scope. Until the first refusal it sets no limit.
type rateController struct {
	rate, increase           float64 // calls a second; 0 for no limit
	lastDecrease, lastChange time.Duration
	lastRefusal              time.Duration
	lastLimited              time.Duration // when a message last waited for the rate
	nextSend                 time.Duration // earliest time of the next call
	notBefore                time.Duration // end of the latest Retry-After
	sentRate, refusedRate    decayingRate
}

type health int

const (
	healthy   health = iota
	probation        // ejected: occasional probes only
	slowStart        // back from an outage and not warm yet
)

// timing is how long calls take to be answered, smoothed exponentially.
type timing struct {
	latency, deviation float64 // mean and mean deviation, in seconds
	known              bool    // at least one sample was taken
}

// classHealth is how an endpoint treats one class. It may fail or ignore calls of one class and serve the others.
type classHealth struct {
	timing
	class               int
	next                *classHealth  // next class of the same endpoint
	consecutiveFailures int           // calls failed or overdue since the last answer
	openUntil           time.Duration // circuit breaker: until then calls go to other endpoints, if one takes the class
	hints               decayingRate  // hints about it, those of this sender included
}

// endpointState is what this sender knows of one endpoint.
type endpointState struct {
	id              EndpointID
	seq             uint32 // rank by when it was first seen, see Sender.lastSeq
	zone            int
	kind            int
	destination     *destinationState
	limitScope      *limitScope
	inService       bool // listed and not draining
	gone            bool // no longer listed
	goneAt          time.Duration
	departureNumber int     // rank of its latest departure among all departures
	listedRate      float64 // calls a second; 0 if not listed
	calls           []*call // in flight, oldest first
	timing
	classes *classHealth // linked list of the classes accessed so far

	health               health
	symptom              Outcome       // the failure by which the latest outage was detected
	healthSince          time.Duration // start of the current health; may lie in the future
	consecutiveFailures  int
	failingSince         time.Duration // start of these failures, or of the latest outage
	lastFailedSentAt     time.Duration // send time of the latest call known to have failed
	lastAnsweredAt       time.Duration
	lastAnsweredSentAt   time.Duration // send time of the latest call known to be answered
	deliveredRate        decayingRate
	preOutageRate        float64       // calls a second delivered before the outage
	lastCharged          time.Duration // time of the last call, as the slow start budget counts it
	warmUpCredit         time.Duration // on slow start: time that counts as warm-up at least
	probeInterval        time.Duration // on probation: from lastCharged to the next probe, as computed at lastCharged
	connectionsRenewedAt time.Duration // when its connections were last renewed as it did not answer

	hardStateKept bool // its latest reported hard state is not clean

	connectRefusals  int           // connects in a row that failed at its connection limit
	connectNotBefore time.Duration // no call before, after such a connect

	peakCalls int           // most calls in flight at once while connections stayed open
	lastUsed  time.Duration // when the last call was made
}

// destinationState is what this sender knows of one destination.
type destinationState struct {
	number    int
	seq       uint32 // rank by when it was first seen, see Sender.lastSeq
	pinned    bool   // must stay active: a message for another destination refers to one of its endpoints
	endpoints []*endpointState
	backlog
	servedRate     decayingRate  // messages delivered
	arrivalRate    decayingRate  // messages accepted
	retryNotBefore time.Duration // no call before to endpoints that failed
}

// call is one request: the messages sent to one endpoint in one step.
type call struct {
	endpoint      *endpointState
	sentAt        time.Duration
	chargedBefore time.Duration // what the endpoint's lastCharged was until this call
	attempts      []*attempt
	openAttempts  int  // attempts without an outcome
	assessed      bool // its first outcome was counted for the endpoint
	openedBreaker bool // it was counted for the circuit breaker of its class
	hintPublished bool // it was counted for a hint to the other senders
	recalled      bool
	cancelled     bool
}

// attempt is one message's part in one call.
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

// unconfirmedAttempt is an attempt whose call has ended with a response that may be another call's.
type unconfirmedAttempt struct {
	attempt *attempt
	ended   AttemptEnded
}

// message is a message that was accepted. One with its final answer is kept only as long as it has attempts in flight.
type message struct {
	treeNode
	id              MessageID
	destination     *destinationState
	class           *Class
	classIndex      int
	tenant          int
	bytes           int         // of the body of a call with several messages
	orderQueue      *orderQueue // nil without an order key
	deadline        time.Duration
	recovered       bool // an earlier process accepted it
	attemptCount    int
	recalls         int // attempts recalled: they are numbered but not counted as attempts
	inFlight        []*attempt
	mayHaveRunSince time.Duration // send time of the earliest attempt that may have run; never if none
	mayHaveRunOn    *endpointState
	streamed        bool          // its answer has begun
	notBefore       time.Duration // no attempt before, after a refusal
	finished        bool
}

// orderQueue has the messages of one order key, which are sent one at a time.
type orderQueue struct {
	messages    []*message // in order of arrival
	inFlight    int        // attempts, of all messages of the key, those that left the queue included
	pausedUntil time.Duration
	pausedBy    *message // whose attempt caused the pause; the pause does not apply to it
}

// plan is a call that could be made now.
type plan struct {
	endpoint *endpointState // nil for no call
	messages []*message
	score    float64
}

// Sender makes the decisions of one sender. It knows only what the events passed to Step reported.
type Sender struct {
	dormantState

	settings   Settings
	totalQuota float64 // of all tenants
	rng        *rand.Rand
	now        time.Duration // of the current step
	startedAt  time.Duration // of the first step
	stalled    bool          // this step comes long after the requested wake-up
	shutdownAt time.Duration // when the process ends; never if it is not known

	// Active destinations and their endpoints. Dormant ones are in dormantState.
	endpoints    map[EndpointID]*endpointState
	destinations map[int]*destinationState
	lastSeq      uint32      // endpoints and destinations seen so far; the last one's seq
	departures   []departure // oldest first

	// Messages.
	held             map[MessageID]*message
	backlogged       []*destinationState    // those with messages, by seq
	lastMessageSeq   int                    // messages accepted so far
	deadlineTimers   timerHeap              // when messages must be answered
	windowTimers     timerHeap              // when messages can no longer be retried
	pauseTimers      timerHeap              // when pauses after refusals end
	mayHaveRunCounts map[*endpointState]int // messages held that may have run there
	orderQueues      map[string]*orderQueue
	orderQueuesKept  int // number of order queues after the last cleanup

	// Calls.
	calls              []*call                 // in flight, oldest first; each takes a slot
	attempts           map[attemptKey]*attempt // in flight
	unconfirmed        map[attemptKey]unconfirmedAttempt
	overdueCalls       int              // calls in flight that are unusually late
	endedCallEndpoints []*endpointState // had a call end in this step

	// Measurements.
	classTimings               []timing // of all endpoints, by class
	slowness                   float64  // recent latency over the earlier latency at the same endpoint, smoothed
	tenantArrivals             []decayingRate
	totalArrivals              decayingRate
	brokenConnections          decayingRate  // unresponsive spells that a fresh connection ended
	answersSinceConnectRefusal map[int]int   // by kind; below keepOpenAnswers idle connections are closed
	expiryCheckedAt            time.Duration // rate controllers expire as of then, whenever they are used next

	// Output.
	wakeAt       time.Duration // when the requested wake-up is due; never for none
	watchAt      time.Duration // when to emit Watch; never for not at all
	actions      []Action      // of the current step
	observations Observations
	touched      map[*endpointState]bool // whose hard state may have changed in this step

	// Buffers that are reused.
	plans         []plan           // reused by dispatch
	subtrees      []subtree        // reused by rankings
	callEndpoints []*endpointState // reused by endpointsWithCalls
}

// New returns a sender that knows nothing but its settings.
func New(settings Settings) *Sender {
	s := &Sender{
		dormantState: dormantState{
			records:         newRecordTable(),
			deactivateAfter: deactivateAfter,
			absences:        map[EndpointID]absence{},
		},
		settings:                   settings,
		rng:                        rand.New(rand.NewPCG(settings.Seed, 0)),
		wakeAt:                     never,
		watchAt:                    never,
		shutdownAt:                 never,
		startedAt:                  never,
		endpoints:                  map[EndpointID]*endpointState{},
		destinations:               map[int]*destinationState{},
		held:                       map[MessageID]*message{},
		attempts:                   map[attemptKey]*attempt{},
		unconfirmed:                map[attemptKey]unconfirmedAttempt{},
		orderQueues:                map[string]*orderQueue{},
		answersSinceConnectRefusal: map[int]int{},
		mayHaveRunCounts:           map[*endpointState]int{},
		touched:                    map[*endpointState]bool{},
		tenantArrivals:             make([]decayingRate, len(settings.Tenants)),
		classTimings:               make([]timing, len(settings.Classes)),
		slowness:                   1,
	}
	for _, t := range settings.Tenants {
		s.totalQuota += t.Quota
	}
	if settings.WatchesRegistry {
		s.watchAt = 0
	}
	return s
}

func (s *Sender) emit(a Action) { s.actions = append(s.actions, a) }

// destination returns the destination with a number. It is activated if it is dormant and created if it is not known.
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

// kind returns the settings of an endpoint's kind, or plain ones for a kind without settings.
func (s *Sender) kind(ep *endpointState) Kind {
	if ep.kind < len(s.settings.Kinds) {
		return s.settings.Kinds[ep.kind]
	}
	return Kind{Batch: 1}
}

func compareDestinations(a, b *destinationState) int { return cmp.Compare(a.seq, b.seq) }

// compareEndpoints orders endpoints by when their destinations, then the endpoints themselves, were first seen.
func compareEndpoints(a, b *endpointState) int {
	return cmp.Or(compareDestinations(a.destination, b.destination), cmp.Compare(a.seq, b.seq))
}

// forgetGoneEndpoints drops endpoints that have been gone for goneRetention, so that endpoints replaced all day long
// leave nothing behind. One stays as long as it has a call in flight, a Retry-After of its limit scope lasts or a
// message held may have run there. The last endpoint of a destination stays until another is listed, which takes over
// its limit scope and its failures.
func (s *Sender) forgetGoneEndpoints() {
	s.departures = slices.DeleteFunc(s.departures, func(g departure) bool {
		ep, d := g.endpoint, g.endpoint.destination
		if s.now-ep.goneAt < goneRetention || len(ep.calls) > 0 || s.now < ep.limitScope.controller.notBefore ||
			len(d.endpoints) == 1 || s.mayHaveRunCounts[ep] > 0 {
			return false
		}
		d.endpoints = without(d.endpoints, ep)
		s.forgetHardState(ep)
		delete(s.endpoints, ep.id)
		s.emit(EndpointForgotten{Endpoint: ep.id})
		return true
	})
}

// earliestOf returns the earliest of the given times of a destination's endpoints in service, never if there are none.
func (d *destinationState) earliestOf(at func(*endpointState) time.Duration) time.Duration {
	least := never
	for _, ep := range d.endpoints {
		if ep.inService {
			least = min(least, at(ep))
		}
	}
	return least
}

// endpointCount returns how many endpoints of a destination are listed, or 1 if there are none.
func (d *destinationState) endpointCount() int {
	n := 0
	for _, ep := range d.endpoints {
		if !ep.gone {
			n++
		}
	}
	return max(n, 1)
}

// hasWaiting reports whether a destination has messages with no attempt in flight.
func (d *destinationState) hasWaiting() bool { return d.held > d.inFlight }

// backlogSeconds returns how many seconds it takes to deliver a destination's messages at its recent rate.
func (s *Sender) backlogSeconds(d *destinationState) float64 {
	return float64(d.held) / max(d.servedRate.perSecond(s.now, trafficSpan), minDivisor)
}

// maxSeconds is the longest time that seconds returns, so that the conversion cannot overflow.
const maxSeconds = 1e6

// seconds converts x seconds, up to a limit of maxSeconds, to a Duration.
func seconds(x float64) time.Duration {
	return time.Duration(min(x, maxSeconds) * float64(time.Second))
}

// without removes the first x from a list, in place.
func without[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// accept adds a message. From here on the sender has to give it exactly one final answer.
func (s *Sender) accept(e Arrived) {
	s.lastMessageSeq++
	m := &message{
		treeNode:        treeNode{seq: s.lastMessageSeq, priority: mixBits(s.lastMessageSeq)},
		id:              e.ID,
		destination:     s.destination(e.Destination),
		class:           &s.settings.Classes[e.Class],
		classIndex:      e.Class,
		tenant:          e.Tenant,
		bytes:           e.Bytes,
		deadline:        s.now + e.TimeLeft,
		recovered:       e.Recovered,
		attemptCount:    e.Prior.Count,
		mayHaveRunSince: never,
	}
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
	s.touchDemand(m.destination)
	s.totalArrivals.add(s.now, trafficSpan, 1)
	if e.Tenant < len(s.tenantArrivals) {
		s.tenantArrivals[e.Tenant].add(s.now, trafficSpan, 1)
	}
}

// forget removes a finished message; m may be nil. Outcomes of its attempts may still follow.
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

// leaveOrderQueue removes a message from its order queue. The next one may become first and ready by that.
func (s *Sender) leaveOrderQueue(q *orderQueue, m *message) {
	i, _ := slices.BinarySearchFunc(q.messages, m, func(a, b *message) int { return a.seq - b.seq })
	if i > 0 {
		q.messages = slices.Delete(q.messages, i, i+1)
		return
	}
	q.messages[0], q.messages = nil, q.messages[1:] // unlike slices.Delete, this moves no elements
	if len(q.messages) > 0 && q.messages[0].group != nil {
		s.enqueue(q.messages[0])
	}
}

// dropIdleOrderQueues removes the order queues that have no effect any more. It does so each time their number has
// doubled.
func (s *Sender) dropIdleOrderQueues() {
	if len(s.orderQueues) < 2*s.orderQueuesKept+cleanupSlack {
		return
	}
	maps.DeleteFunc(s.orderQueues, func(_ string, q *orderQueue) bool {
		return len(q.messages) == 0 && q.inFlight == 0 && s.now >= q.pausedUntil
	})
	s.orderQueuesKept = len(s.orderQueues)
}

// nextEndCheck returns the next time at which a message may have to be ended without a further event: its answer
// deadline or the end of its deduplication window. For one that cannot be retried any more that is now.
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

// windowEnd returns when the destination may forget the key of a message that may have run.
func (m *message) windowEnd() time.Duration { return m.mayHaveRunSince + m.class.Window }

// windowLeft returns how much is left of the deduplication window of a keyed message that may have run, and 0 for any
// other message.
func (s *Sender) windowLeft(m *message) time.Duration {
	if m.class.Effect != Keyed || m.mayHaveRunSince == never {
		return 0
	}
	return m.windowEnd() - s.now - s.settings.Tick
}

// done reports whether the sender has nothing more to decide about a message.
func (m *message) done() bool { return m.finished || m.streamed }

// earliestDue returns the earliest answer deadline of the messages held, streamed ones excepted, or never.
func (s *Sender) earliestDue() time.Duration {
	for len(s.deadlineTimers.timers) > 0 && s.deadlineTimers.timers[0].message.done() {
		s.deadlineTimers.pop()
	}
	return s.deadlineTimers.earliest()
}

// scopeEndpoints returns the endpoints that share the endpoint's limit scope, itself included.
func (ep *endpointState) scopeEndpoints() iter.Seq[*endpointState] {
	return func(yield func(*endpointState) bool) {
		for _, other := range ep.destination.endpoints {
			if other.limitScope == ep.limitScope && !yield(other) {
				return
			}
		}
	}
}

// class returns the class of a call, which is that of its first message.
func (c *call) class() int { return c.attempts[0].message.classIndex }

// classHealth returns how the call's endpoint treats the call's class.
func (c *call) classHealth() *classHealth { return c.endpoint.classHealth(c.class()) }

// classHealth returns how an endpoint treats a class.
func (ep *endpointState) classHealth(class int) *classHealth {
	for h := ep.classes; h != nil; h = h.next {
		if h.class == class {
			return h
		}
	}
	ep.classes = &classHealth{class: class, next: ep.classes}
	return ep.classes
}

// connectionsScarce reports whether the endpoint may be at its connection limit: in a large fleet, until enough calls
// of its kind were answered since the last connect that was refused.
func (s *Sender) connectionsScarce(ep *endpointState) bool {
	return s.settings.Senders > SmallFleet && s.answersSinceConnectRefusal[ep.kind] < keepOpenAnswers
}
