// Package baseline holds the policies that the decision module (package rules) is compared with. They are for the lab
// only and must never be linked into the daemon.
//
// All of them share one engine. It keeps the endpoint list and the messages, and follows the rules on final answers,
// draining endpoints, retry-after and repeats. The policies differ in when they send and whether they try again.
package baseline

import (
	"cmp"
	"slices"
	"time"

	"eiderhaven/rules"
)

const (
	// A message gets its final answer this many ticks before its deadline, so that the answer is in time.
	answerTicks = 2

	// While messages wait to be sent, a sender steps at least once in this many ticks.
	idleTicks = 10

	// A random wait is drawn between this share of its mean and 1 plus this share of it.
	minWaitShare = 0.5
)

// engine is the part of a policy that all baselines share.
type engine struct {
	settings     rules.Settings
	strategy     strategy
	now          time.Duration
	destinations map[int]*destination
	endpoints    map[rules.EndpointID]*endpoint
	messages     map[rules.MessageID]*message
	queue        []*message // held and not in flight, in order of arrival
	busySlots    int
	wakeAt       time.Duration // of the latest WakeAfter; negative before the first step
	actions      []rules.Action
	batchSizes   map[*endpoint]int      // messages in the latest call of this step, by its endpoint
	orderQueues  map[string]*orderQueue // by order key
	lastSeq      int
}

// orderQueue holds the messages of one order key, first accepted first. None of them is sent before pausedUntil, as an
// attempt may still run.
type orderQueue struct {
	messages    []*message
	pausedUntil time.Duration
}

// destination is a destination, or one endpoint of it that has a limit and outages of its own.
type destination struct {
	number        int
	endpoints     []*endpoint
	rotation      int           // for round robin over the endpoints
	notBefore     time.Duration // end of the latest retry-after
	strategyState any           // used by the strategy only
}

type endpoint struct {
	id          rules.EndpointID
	destination *destination
	limitScope  *destination // what shares its limit: the destination, or only itself if Kind.RoutesApart
	listed      bool
	batch       int // messages in one call at most
	inFlight    int // calls
}

type message struct {
	id               rules.MessageID
	destination      *destination
	class            *rules.Class
	deadline         time.Duration
	attempts         int
	inFlight         int // attempts
	mayHaveRun       bool
	mayHaveRunSince  time.Duration
	finished         bool
	notBefore        time.Duration
	seq              int // order of arrival
	orderQueue       *orderQueue
	lastEndpoint     *endpoint // of the latest attempt
	cancelledAttempt int       // number of the latest attempt that was cancelled, from 1
	leadsCall        bool      // first message of its call, for which the outcome of the call is counted
	strategyState    any       // used by the strategy only
}

// strategy is the part in which a baseline differs from the others.
type strategy interface {
	// maySend reports whether a call that starts with the message may be sent to the endpoint now.
	maySend(eng *engine, m *message, ep *endpoint) bool
	// onCallSent is called for each call that is sent.
	onCallSent(eng *engine, ep *endpoint)
	// onAttemptEnded is called with each outcome. It returns whether the message may be tried again, and after what time.
	onAttemptEnded(eng *engine, m *message, ep *endpoint, e rules.AttemptEnded) (again bool, after time.Duration)
	// timeout returns the timeout of an attempt; 0 means none but the deadline.
	timeout(m *message) time.Duration
}

// The following interfaces are optional for a strategy.

// canceller cancels attempts before their timeout, at the start of each step.
type canceller interface {
	cancelUnresponsive(eng *engine)
}

// prioritizer returns the queue in the order in which messages are sent.
type prioritizer interface {
	sendOrder(eng *engine, queue []*message) []*message
}

// endpointRanker returns the cost of a call to an endpoint; the cheapest is tried first.
type endpointRanker interface {
	callCost(ep *endpoint) float64
}

func newEngine(set rules.Settings, s strategy) *engine {
	return &engine{
		settings:     set,
		strategy:     s,
		destinations: map[int]*destination{},
		endpoints:    map[rules.EndpointID]*endpoint{},
		messages:     map[rules.MessageID]*message{},
		orderQueues:  map[string]*orderQueue{},
		wakeAt:       -1,
	}
}

// Step handles the events since the last step and returns the actions to take now.
func (eng *engine) Step(now time.Duration, events []rules.Event) []rules.Action {
	eng.now, eng.actions = now, nil
	for _, e := range events {
		eng.handleEvent(e)
	}
	if eng.settings.WatchesRegistry && eng.wakeAt < 0 {
		eng.actions = append(eng.actions, rules.Watch{})
	}
	if c, ok := eng.strategy.(canceller); ok {
		c.cancelUnresponsive(eng)
	}
	eng.finishDue()
	eng.dispatch()
	eng.scheduleWakeUp()
	return eng.actions
}

func (eng *engine) handleEvent(e rules.Event) {
	switch e := e.(type) {
	case rules.Arrived:
		m := &message{
			id:              e.ID,
			destination:     eng.destinationFor(e.Destination),
			class:           &eng.settings.Classes[e.Class],
			deadline:        eng.now + e.TimeLeft,
			attempts:        e.Prior.Count,
			mayHaveRun:      e.Prior.MayHaveRun,
			mayHaveRunSince: eng.now - e.Prior.Age,
		}
		eng.lastSeq++
		m.seq = eng.lastSeq
		if m.class.KeepOrder && e.OrderKey != "" {
			if m.orderQueue = eng.orderQueues[e.OrderKey]; m.orderQueue == nil {
				m.orderQueue = &orderQueue{}
				eng.orderQueues[e.OrderKey] = m.orderQueue
			}
			m.orderQueue.messages = append(m.orderQueue.messages, m)
		}
		eng.messages[m.id] = m
		eng.queue = append(eng.queue, m)
	case rules.AttemptEnded:
		eng.onAttemptEnded(e)
	case rules.ListUpdate:
		eng.onListUpdate(e)
	}
}

func (eng *engine) destinationFor(n int) *destination {
	d := eng.destinations[n]
	if d == nil {
		d = &destination{number: n}
		eng.destinations[n] = d
	}
	return d
}

func (eng *engine) onListUpdate(e rules.ListUpdate) {
	if e.Whole {
		for _, ep := range eng.endpoints {
			ep.listed = false
		}
	}
	for _, x := range e.Entries {
		ep := eng.endpoints[x.Endpoint]
		if ep == nil {
			d := eng.destinationFor(x.Destination)
			ep = &endpoint{id: x.Endpoint, destination: d, limitScope: d}
			if x.Kind < len(eng.settings.Kinds) {
				ep.batch = eng.settings.Kinds[x.Kind].Batch
				if eng.settings.Kinds[x.Kind].RoutesApart {
					ep.limitScope = &destination{number: d.number}
				}
			}
			eng.endpoints[x.Endpoint] = ep
			d.endpoints = append(d.endpoints, ep)
		}
		ep.listed = !x.Draining && !x.Gone
	}
}

func (eng *engine) onAttemptEnded(e rules.AttemptEnded) {
	ep, m := eng.endpoints[e.Endpoint], eng.messages[e.ID]
	if ep == nil || m == nil {
		return
	}
	m.inFlight--
	if m.leadsCall {
		eng.busySlots--
		ep.inFlight--
	}
	if e.RetryAfter > 0 {
		ep.limitScope.notBefore = max(ep.limitScope.notBefore, eng.now+e.RetryAfter)
	}
	switch e.Outcome {
	case rules.Refused, rules.ConnectError, rules.NotSent:
	default:
		if !m.mayHaveRun {
			m.mayHaveRun, m.mayHaveRunSince = true, eng.now-e.Elapsed
		}
	}
	if m.orderQueue != nil &&
		(e.Outcome == rules.TimedOut || e.Outcome == rules.Reset || e.Outcome == rules.Cancelled) {
		m.orderQueue.pausedUntil = eng.now + eng.settings.OrderPause
	}
	again, after := eng.strategy.onAttemptEnded(eng, m, ep, e)
	switch {
	case e.Finished || m.finished:
		m.finished = true
		eng.forget(m)
	case !again || !eng.mayRepeat(m) || m.attempts >= eng.settings.MaxAttempts:
		eng.finish(m)
	default:
		m.notBefore = eng.now + after
		eng.requeue(m)
	}
}

// requeue puts a message back into the queue, which stays in order of arrival.
func (eng *engine) requeue(m *message) {
	i, _ := slices.BinarySearchFunc(eng.queue, m, func(a, b *message) int { return cmp.Compare(a.seq, b.seq) })
	eng.queue = slices.Insert(eng.queue, i, m)
}

// mayRepeat reports whether the class of the message allows another attempt, given those that may have run.
func (eng *engine) mayRepeat(m *message) bool {
	switch {
	case !m.mayHaveRun || m.class.Effect == rules.Safe:
		return true
	case m.class.Effect == rules.Keyed && m.class.Scope == rules.DedupDestination:
		return eng.now+eng.settings.Tick < m.mayHaveRunSince+m.class.Window
	}
	return false
}

// finish gives a message its final answer: a refusal where a repeat by the client is harmless.
func (eng *engine) finish(m *message) {
	m.finished = true
	mayHaveRun := m.mayHaveRun || m.inFlight > 0
	deduplicated := m.class.Effect == rules.Keyed && m.class.Scope == rules.DedupDestination
	if !mayHaveRun || m.class.Effect == rules.Safe || deduplicated {
		eng.actions = append(eng.actions, rules.Refuse{ID: m.id})
	} else {
		eng.actions = append(eng.actions, rules.Fail{ID: m.id})
	}
	eng.forget(m)
}

// forget removes a finished message from the queue, and altogether once no attempt of it is in flight.
func (eng *engine) forget(m *message) {
	eng.queue = slices.DeleteFunc(eng.queue, func(x *message) bool { return x == m })
	if m.inFlight == 0 {
		delete(eng.messages, m.id)
		if m.orderQueue != nil {
			m.orderQueue.messages = slices.DeleteFunc(m.orderQueue.messages, func(x *message) bool { return x == m })
		}
	}
}

// answerDeadline returns the time by which a message must have its final answer.
func (eng *engine) answerDeadline(m *message) time.Duration {
	return m.deadline - answerTicks*eng.settings.Tick
}

// finishDue finishes messages that are out of time or must not be repeated.
func (eng *engine) finishDue() {
	var due []*message
	for _, m := range eng.messages {
		if !m.finished && (eng.now >= eng.answerDeadline(m) || m.inFlight == 0 && !eng.mayRepeat(m)) {
			due = append(due, m)
		}
	}
	slices.SortFunc(due, func(a, b *message) int {
		return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.id, b.id))
	})
	for _, m := range due {
		eng.finish(m)
	}
}

// dispatch sends all messages that may be sent, in order of arrival or in that of the strategy.
func (eng *engine) dispatch() {
	queue := eng.queue
	if p, ok := eng.strategy.(prioritizer); ok {
		queue = p.sendOrder(eng, queue)
	}
	eng.batchSizes = map[*endpoint]int{}
	sent := map[*message]bool{}
	for _, m := range queue {
		if m.orderQueue == nil || m.orderQueue.messages[0] == m && eng.now >= m.orderQueue.pausedUntil {
			sent[m] = eng.trySend(m)
		}
	}
	eng.queue = slices.DeleteFunc(eng.queue, func(m *message) bool { return sent[m] })
}

// trySend sends a message, if it may be sent now: in a call that this step already makes, if there is room in it, else
// in a new call to the first endpoint that may get one.
func (eng *engine) trySend(m *message) bool {
	if eng.now < m.notBefore || !eng.mayRepeat(m) {
		return false
	}
	d := m.destination
	for _, ep := range d.endpoints {
		if n := eng.batchSizes[ep]; n > 0 && n < ep.batch {
			eng.send(m, ep)
			eng.batchSizes[ep]++
			return true
		}
	}
	if eng.busySlots >= eng.settings.Slots {
		return false
	}
	d.rotation++
	for _, ep := range eng.endpointOrder(d) {
		if !ep.listed || eng.now < ep.limitScope.notBefore || !eng.strategy.maySend(eng, m, ep) {
			continue
		}
		eng.send(m, ep)
		eng.batchSizes[ep] = 1
		eng.strategy.onCallSent(eng, ep)
		return true
	}
	return false
}

// endpointOrder returns the endpoints of a destination in the order in which they are tried: round robin, or cheapest
// first if the strategy ranks them.
func (eng *engine) endpointOrder(d *destination) []*endpoint {
	if len(d.endpoints) < 2 {
		return d.endpoints
	}
	n := d.rotation % len(d.endpoints)
	list := append(slices.Clone(d.endpoints[n:]), d.endpoints[:n]...)
	if ranker, ok := eng.strategy.(endpointRanker); ok {
		slices.SortStableFunc(list, func(a, b *endpoint) int {
			return cmp.Compare(ranker.callCost(a), ranker.callCost(b))
		})
	}
	return list
}

// send adds the action that sends a message. The message starts a new call unless this step's latest call to the
// endpoint has room.
func (eng *engine) send(m *message, ep *endpoint) {
	m.attempts++
	m.inFlight++
	m.lastEndpoint = ep
	m.leadsCall = eng.batchSizes[ep] == 0 || eng.batchSizes[ep] >= ep.batch
	if m.leadsCall {
		eng.busySlots++
		ep.inFlight++
	}
	eng.actions = append(eng.actions, rules.Send{ID: m.id, Endpoint: ep.id, Timeout: eng.strategy.timeout(m)})
}

// scheduleWakeUp requests the next step while messages are held.
func (eng *engine) scheduleWakeUp() {
	next := time.Duration(-1)
	for _, m := range eng.messages {
		if !m.finished && (next < 0 || eng.answerDeadline(m) < next) {
			next = eng.answerDeadline(m)
		}
	}
	if len(eng.queue) > 0 {
		next = min(next, eng.now+idleTicks*eng.settings.Tick)
	}
	if next < 0 || eng.wakeAt > eng.now && eng.wakeAt <= next {
		eng.wakeAt = max(eng.wakeAt, 0) // no longer negative: Watch is sent once only
		return
	}
	eng.wakeAt = max(next, eng.now+eng.settings.Tick)
	eng.actions = append(eng.actions, rules.WakeAfter{After: eng.wakeAt - eng.now})
}
