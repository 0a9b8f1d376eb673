// The decisions of a sender. The interface (settings, events, actions) is in api.go.
//
// The ordinary path is AIMD pacing per lane (type pace). Around it stand health (endpoint), the order of
// work (plan), one guard that every send passes (maySend) and one place that ends messages (end).
package rules

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Tuned values. Each holds for every deployment; what differs between them comes with the settings.
const (
	// Pace, as the design page gives it.
	cutFactor     = 0.7              // the design's DecreaseFactor; 0.8 loses where routes are apart
	cutCooldown   = time.Second      // the design's start value; 2 s lets refusals run on
	climbInterval = time.Second      // the design starts at 2 s; a limit is found again in half the time
	climbShare    = 0.1              // step as a share of the rate before the last cut; fixed by the design
	fewCalls      = 2.5              // a rate measured over fewer says little: a listed one is better
	minPace       = 1.0              // calls a second of one sender: traffic is not spread evenly over senders
	paceLapse     = 15 * time.Second // quiet time after which a pace no longer binds; 8 s brings bursts
	crowdMemory   = 12 * time.Second // the same in a crowd: one call is no third of a call a second
	sendMemory    = 3 * time.Second  // span of send and refusal rates; 1 s takes a clump for a rate

	// Health.
	deliveredMemory = 10 * time.Second        // span of delivered rates, shares and cures; an outage's length
	refusedCost     = 0.12                    // part of its worth once late that a refused message waits a try
	shunned         = 6 * time.Second         // first pause of a class at an endpoint that failed it
	toldMemory      = 5 * time.Second         // span over which what is told of an endpoint counts
	toldEnough      = 1.7                     // notes within it that make a class shun an endpoint
	retryPause      = 5 * time.Millisecond    // for each sender beyond a crowd: they must not retry at once
	maxRetryPause   = 200 * time.Millisecond  // longer ones bring the first retries of an outage to its end
	restPart        = 0.7                     // of what a budget would give; 1 serves less, 0.5 pushes over
	failStreak      = 4                       // failures in a row: an outage; 2 mistakes half the calls for one
	refusalStreak   = 3                       // refusals in a row without a success: shut rather than full
	refusalSpan     = 5 * time.Second         // and over at least this long; 1.5 s takes limits for outages
	silenceFactor   = 3                       // late-answer times of silence: an outage; 2 suspects slow ones
	leastPart       = 0.3                     // calls a second of a cold budget, for any sender
	briefTrouble    = 3 * time.Second         // trouble shorter than this leaves nothing cold
	longWait        = 2500 * time.Millisecond // a told wait beyond a limit's own: shut; 2 s takes limits for it
	maxTold         = 20 * time.Second        // longest wait believed from another sender

	// Latency.
	latGain     = 0.125                   // weight of a new latency sample; 1/4 is jumpy, 1/16 slow to follow
	firstLate   = 2 * time.Second         // late-answer time before any sample
	mostSlow    = 2                       // times that late grows where all calls are slow; 6 is even
	minLate     = 500 * time.Millisecond  // least late-answer time: service times have long tails
	maxLate     = 8 * time.Second         // most: a slow endpoint must still be found silent in time
	patience    = 5                       // time-out of a repeatable call, in late-answer times; 3 is wasteful
	haste       = 2                       // the same with all slots taken; 5 lets lost answers fill them
	minPatience = 1500 * time.Millisecond // least such time-out: a connect and a service time
	laneShare   = 0.4                     // of the slots that one lane may fill; 0.6 is even, all of them worse
	illShare    = 0.2                     // of the slots
	goneMemory  = 30 * time.Second        // an endpoint gone this long: nothing known of it counts any more
	lingerPart  = 4                       // of its aim, a message waits for others to share a call: 1/4
	roomMargin  = 16                      // part of the holding room kept free for newcomers: 1/16
	minHorizon  = 250 * time.Millisecond  // look-ahead for worth lost by waiting
	maxHorizon  = 3 * time.Second         // and at most: later losses count little; 10 s is worse in backlogs
	slack       = 1e-14                   // of a worth, that rounding may move a gain
	baseUrgency = 0.05                    // weight of a message's whole worth; 0.3 loses on even falls
	handshake   = 100 * time.Millisecond  // latency that a connection likely open saves; 250 ms is even
	tollTime    = 20.0                    // seconds of latency that a route's toll of 1 outweighs

	provenOpen = 60 // answers since a connect was turned away, after which connections stay open there again
	startOpen  = 5  // the same where none was turned away yet: holders never are, and 15 cost handshakes
	perPlace   = 4  // messages for each connection to a full table: it takes three calls' time to open
	crowd      = 12 // more senders than this can fill a table or push an endpoint by one call each

	pollEvery = 250 * time.Millisecond // wake-ups while anything waits
	never     = time.Duration(math.MaxInt64)
)

// onFull takes a refusal of a call sent at sentAt. A listed rate seeds the first cut, as the measured
// rate of a short burst may be far off it; half of this sender's part of it is a minimum, as is least.
// Guards against a chain of cuts while a limit was low; too much where the list is long out of date.
func (p *pace) onFull(now, sentAt time.Duration, listed float64, senders int, first, least float64) {
	span := rateSpan(senders)
	p.refused.add(now, span, 1)
	p.lastRefusal = now
	if p.rate > 0 && (now-p.lastCut < cutCooldown || sentAt <= p.lastCut) {
		return
	}
	before, gap := p.rate, 1.0
	if before == 0 {
		before = max(p.sent.perSecond(now, span), p.refused.perSecond(now, span))
		if part := listed / float64(max(senders, 1)); listed > 0 && before*span.Seconds() < fewCalls {
			before = part
		} else if listed > 0 {
			before = min(max(before, part), listed)
		}
		gap = first
	}
	p.step = climbShare * before
	p.rate = max(before*cutFactor, least, listed/float64(2*max(senders, 1)))
	p.lastCut, p.lastChange = now, now
	p.next = max(p.next, now+seconds(gap/p.rate))
}

// rateSpan is the span of send and refusal rates: longer in a crowd, whose senders each call seldom.
func rateSpan(senders int) time.Duration {
	if senders > crowd {
		return crowdMemory
	}
	return sendMemory
}

// onWait halts the lane for a told wait; the climb clock restarts at its end.
func (p *pace) onWait(until time.Duration) {
	p.haltUntil = max(p.haltUntil, until)
	p.lastChange = max(p.lastChange, p.haltUntil)
}

// onSuccess climbs one step if the interval has passed and a message waited.
func (p *pace) onSuccess(now time.Duration) {
	if p.rate > 0 && p.lastWaited > p.lastChange && now-p.lastChange >= climbInterval {
		p.rate += p.step
		p.lastChange = now
	}
}

// lapse unbinds a pace that has seen no refusal for long, as of the last step's time when next looked at. Not
// while messages wait for it: the backlog would leave in one burst; a limit grown far is found by climbing.
func (p *pace) lapse(now time.Duration) {
	if p.rate > 0 && now-max(p.lastRefusal, p.haltUntil, p.lastWaited) >= paceLapse {
		p.rate, p.next = 0, 0
	}
}

// onSend takes one call from the pace; an idle lane saves up one call and no more.
func (p *pace) onSend(now time.Duration, senders int) {
	p.sent.add(now, rateSpan(senders), 1)
	if p.rate > 0 {
		gap := seconds(1 / p.rate)
		p.next = max(p.next, now-gap) + gap
	}
}

// Step takes what has come in and returns what to do about it now.
func (s *Sender) Step(now time.Duration, events []Event) []Action {
	s.now, s.actions, s.stood = now, nil, now-s.wakeAt > minLate
	if now >= s.wakeAt {
		s.wakeAt = never
	}
	for _, e := range events {
		s.handle(e)
	}
	for _, e := range events {
		if a, arrived := e.(Arrived); arrived && a.Before.Failed > 0 {
			s.recall(a) // by all that has come: the first alone makes a rate that outlasts the others
		}
	}
	if s.now >= s.watchAt {
		s.watchAt = never
		s.act(Watch{})
	}
	s.callBack()
	s.endDue()
	s.findSilence()
	s.dispatch()
	s.handBack()
	s.yieldConnections()
	s.makeRoom()
	s.scheduleWake()
	s.restIdle()
	return s.actions
}

func (s *Sender) handle(e Event) {
	switch e := e.(type) {
	case Arrived:
		s.take(e)
	case Withdrawn:
		s.forget(s.held[e.ID])
	case Ending:
		s.endsAt = s.now + e.After
	case Ended:
		s.attemptEnded(e)
	case StreamStarted:
		s.streamStarted(e)
	case Listed:
		s.list(e)
	case Told:
		s.heard(e.Note)
	case ListFailed:
		if s.set.AskRegistry { // ask again soon, spread out: all senders may have failed at once
			s.watchAt = s.now + seconds(s.set.AskEvery.Seconds()/8*(0.5+s.rng.Float64()))
		}
	}
}

// end gives the final answer, the only place that does: a refusal where a new try is harmless, else a Fail.
func (s *Sender) end(m *message) {
	if s.mayRefuse(m) {
		s.act(Refuse{ID: m.id, RetryAfter: s.advice(m.dest)})
	} else {
		s.act(Fail{ID: m.id})
	}
	s.forget(m)
}

func (s *Sender) mayRefuse(m *message) bool {
	ran, c := m.mayRun != never || len(m.out) > 0, m.class
	return !ran || c.Effect == Safe || c.Effect == Keyed && c.Scope == ScopeDestination
}

// advice says when a refused client should come back: when the destination may be sent to again.
func (s *Sender) advice(d *destination) time.Duration {
	if !s.set.MayAdvise {
		return 0
	}
	return min(max(d.soonest(s.gate)-s.now, s.horizon(d)), s.set.MaxRetryAfter)
}

// endDue ends what can earn nothing more: out of time, out of attempts, or past its key's window.
func (s *Sender) endDue() {
	for _, m := range s.fallen() {
		if !m.ended() && (s.now >= s.due(m) || len(m.out) == 0 && s.spent(m)) {
			s.end(m)
		}
	}
}

// due is the last moment for the final answer: the deadline, or earlier where a step may come too late.
func (s *Sender) due(m *message) time.Duration {
	return m.deadline - max(0, 2*s.set.Tick-s.set.AnswerGrace)
}

// spent tells whether no further attempt can ever be allowed.
func (s *Sender) spent(m *message) bool {
	if m.tries >= s.set.MaxAttempts || m.mayRun == never || m.class.Effect == Safe {
		return m.tries >= s.set.MaxAttempts
	}
	return m.class.Effect != Keyed || s.now+s.set.Tick >= m.windowEnd()
}

// maySend is the guard that every send passes; it holds the rules, whatever the plan says.
func (s *Sender) maySend(m *message, ep *endpoint) bool {
	mayNow := s.now >= m.notBefore && !m.ended() && len(m.out) == 0 && s.now < s.due(m) && !s.spent(m)
	return mayNow && !s.closed(ep) && ep.dest == m.dest && keyHolds(m, ep) && (m.order == nil || s.hasTurn(m))
}

// closed tells whether nothing may reach an endpoint: it drains, is gone, or its lane was told to wait.
func (s *Sender) closed(ep *endpoint) bool { return !ep.listed || s.now < ep.lane.pace.haltUntil }

// callBack holds that for calls decided before, as far as they are not written yet: a connection may come up
// later than the slack of a drain or a wait. Costs those that come up for nothing.
func (s *Sender) callBack() {
	for _, c := range s.calls {
		if s.closed(c.ep) {
			s.turnBack(c)
		}
	}
}

// keyHolds tells whether a message that may have run is in the scope of its key at ep; spent has the window.
func keyHolds(m *message, ep *endpoint) bool {
	at, scope := m.mayRunAt, m.class.Scope // at is nil if a process before this one sent it and it is unlisted
	return m.class.Effect != Keyed || m.mayRun == never || scope == ScopeDestination || at == ep ||
		scope == ScopeZone && at != nil && at.zone == ep.zone
}

// hasTurn tells whether a message is first of its key, with nothing of an earlier one still about.
func (s *Sender) hasTurn(m *message) bool {
	t := m.order
	return t.queue[0] == m && t.out == len(m.out) && (s.now >= t.rest || t.restBy == m)
}

// send makes one call of the messages.
func (s *Sender) send(ep *endpoint, msgs []*message) {
	for _, a := range s.open(ep, msgs).attempts {
		s.act(Send{ID: a.id, Endpoint: ep.id, Timeout: s.timeout(a.msg, ep), Within: s.windowLeft(a.msg)})
	}
	ep.lane.pace.onSend(s.now, s.set.Senders)
	ep.charged = s.now
}

// timeout is how long to wait on a call. Only what may be sent again is timed out; freeSlot frees slots.
// A keyed one among it: its answer may be lost, and meanwhile it holds its key's turn and uses up its window.
func (s *Sender) timeout(m *message, ep *endpoint) time.Duration {
	if m.class.Effect == AtMostOnce {
		return 0
	}
	late := s.lateAfter(ep, m.classNo).Seconds()
	return max(seconds(late*patience*(1+float64(min(ep.fails, 4))/2)), minPatience)
}

// lateAfter is the time after which an answer of the endpoint to a call of the class is unusually late. Where
// all calls take longer than they did, it is no endpoint's fault, and later is usual.
func (s *Sender) lateAfter(ep *endpoint, class int) time.Duration {
	t := &ep.service(class).timing
	if !t.known {
		t = &ep.timing
	}
	if !t.known && s.set.Senders > crowd { // it sees little: go by what it sees elsewhere
		t = &s.usual[class]
	}
	if !t.known {
		return firstLate
	}
	return min(max(seconds((t.latency+4*t.spread)*min(max(s.slowness, 1), mostSlow)), minLate), maxLate)
}

func (t *timing) sample(elapsed time.Duration) {
	x := elapsed.Seconds()
	if !t.known {
		t.latency, t.spread, t.known = x, x/2, true
		return
	}
	t.spread += latGain * (math.Abs(x-t.latency) - t.spread)
	t.latency += latGain * (x - t.latency)
}

// attemptEnded takes an outcome: for its endpoint once a call, for the message always. A wait binds whoever
// it was told to, also by the later outcomes of one call.
func (s *Sender) attemptEnded(e Ended) {
	if ep := s.endpoint(e.Endpoint); ep != nil && e.Wait > 0 {
		ep.lane.pace.lapse(s.lapsedAt)
		ep.lane.pace.onWait(s.now + e.Wait)
	}
	a := s.close(e)
	if a == nil {
		return
	}
	if !a.call.judged {
		a.call.judged = true
		s.judge(a.call, e)
	}
	s.settle(a.msg, a, e)
}

// settle decides about a message after one of its attempts. In a crowd a refused one pauses before it goes
// anywhere. Guards against refusals that feed on each other where they use up the limit; may make it late.
func (s *Sender) settle(m *message, a *attempt, e Ended) {
	if m.over || e.Over {
		if !m.over && e.Outcome == OK {
			m.dest.served.add(s.now, deliveredMemory, 1)
		}
		s.forget(m)
		return
	}
	if e.Outcome == Full && s.set.Senders > crowd {
		m.notBefore = s.now + seconds(s.refusedPause(m.class)*float64(m.tries)*(0.5+s.rng.Float64()))
	}
	if e.Outcome.MayRun() && a.call.sent < m.mayRun {
		s.ranAt(m, a.call.ep, a.call.sent)
	}
	if len(m.out) == 0 && s.spent(m) {
		s.end(m)
		return
	}
	s.file(m)
}

// refusedPause is the seconds in which a late message of the class loses a set part of its worth. Where worth
// falls slowly, patience spares a limit that refused calls use up; where it halves, patience is dear.
func (s *Sender) refusedPause(c *Class) float64 {
	if s.set.LateHalving {
		return -math.Log2(1-refusedCost) * c.Aim.Seconds()
	}
	return refusedCost / max(1-c.LateWorth, refusedCost) * (c.Deadline - c.Aim).Seconds()
}

func (s *Sender) streamStarted(e StreamStarted) {
	if a := s.attempts[attemptKey{e.ID, e.Attempt}]; a != nil && !a.msg.over {
		a.msg.streamed = true
		s.succeeded(a.call, s.now-a.call.sent)
		a.call.judged = true
	}
}

// judge takes what a call's outcome says of its endpoint and lane.
func (s *Sender) judge(c *call, e Ended) {
	ep := c.ep
	s.idled = append(s.idled, ep)
	if e.Report.Limit > 0 {
		ep.lane.reported = e.Report.Limit
	}
	if e.Outcome == TimedOut || e.Outcome == Cancelled {
		s.act(CloseIdle{Endpoint: ep.id})
	}
	switch o := e.Outcome; {
	case o == OK:
		s.succeeded(c, e.Elapsed)
	case o == Full:
		s.refused(ep, c.sent, e.Wait)
	case e.NoPlace:
		s.turnedAway(ep)
	case o != Cancelled && o != NotSent:
		s.failed(ep, c.sent, o)
	}
	if e.Outcome == Errored || e.Outcome == TimedOut {
		s.shun(c)
		s.tell(c)
	}
}

// tell tells the other senders of a failed or overdue call, unless enough of them have said so already.
func (s *Sender) tell(c *call) {
	if c.told || !s.set.MayTell {
		return
	}
	c.told = true
	if !c.service().doubted(s.now) {
		s.act(Tell{Note{Endpoint: c.ep.id, Class: c.class()}})
	}
	s.believe(c.service())
}

// doubted tells whether enough is said of an endpoint: one call may be slow by itself, two make a class shun
// it.
func (v *service) doubted(now time.Duration) bool {
	return v.told.perSecond(now, toldMemory) >= toldEnough/toldMemory.Seconds()
}

// heard takes another sender's note. What it names may be unknown here.
func (s *Sender) heard(n Note) {
	ep := s.endpoint(n.Endpoint)
	switch {
	case ep == nil || n.Class < 0 || n.Class >= len(s.set.Classes):
	case n.Wait > 0:
		s.opensAt(ep, s.now+min(n.Wait, maxTold))
	default:
		s.believe(ep.service(n.Class))
	}
}

// believe counts what is said of an endpoint.
func (s *Sender) believe(v *service) {
	if v.told.add(s.now, toldMemory, 1); v.doubted(s.now) {
		v.retryAt = max(v.retryAt, s.now+seconds(shunned.Seconds()*(1+s.rng.Float64())))
	}
}

// shun holds a failed or overdue call of a class against its endpoint: while another one takes the class, it
// goes there, and here in ever sparser trials. Guards against an endpoint that swallows one class and serves
// others, whose answers hide it; where calls are merely slow the other endpoints get more than their part.
func (s *Sender) shun(c *call) {
	if v := c.service(); !c.overdue {
		c.overdue = true
		pause := min(shunned.Seconds()*math.Exp2(float64(v.ill)), paceLapse.Seconds())
		v.retryAt = s.now + seconds(pause*(0.5+s.rng.Float64()))
		v.ill++
	}
}

// shuns tells whether a class is to stay away from an endpoint, as another one takes it.
func (s *Sender) shuns(ep *endpoint, class int) bool {
	return s.now < ep.service(class).retryAt && slices.ContainsFunc(ep.dest.endpoints, func(o *endpoint) bool {
		return o.listed && o.health != probation && s.now >= o.service(class).retryAt
	})
}

// succeeded takes an answer. In probation only one to a call sent since it began starts the ramp: older ones
// may have been served before the outage.
func (s *Sender) succeeded(c *call, elapsed time.Duration) {
	ep, sent, v := c.ep, c.sent, c.service()
	s.proven[ep.kind]++
	if !s.stood { // else the answer may have lain here
		if v.known {
			s.slowness += latGain * (elapsed.Seconds()/max(v.latency, 1e-3) - s.slowness)
		}
		ep.sample(elapsed)
		v.sample(elapsed)
		s.usual[c.class()].sample(elapsed)
	}
	v.ill, v.retryAt = 0, 0
	ep.lastAnswer, ep.fails, ep.knocks, ep.knockAt = s.now, 0, 0, 0
	ep.delivered.add(s.now, deliveredMemory, 1)
	ep.lane.refusals, ep.lane.servedAt = 0, s.now
	ep.lane.pace.lapse(s.lapsedAt)
	ep.lane.pace.onSuccess(s.now)
	cures := ep.unanswered() || ep.symptom == Full // silence and refusals ended soon leave nothing cold
	switch {
	case ep.health == probation && sent >= ep.since && sent-ep.failing < briefTrouble && cures:
		ep.health, ep.since = healthy, s.now
		s.cured.add(s.now, deliveredMemory, 1)
	case ep.health == probation && sent >= ep.since:
		ep.health, ep.since, ep.charged = ramping, s.now, s.now
	case ep.health == ramping && s.now-ep.since >= s.set.WarmUp:
		ep.health, ep.since = healthy, s.now
	}
}

// failed takes a failure. In a crowd a pause follows that grows with each more; several start probation.
// Guards against any outage with a cold return, and a crowd each trying once more; a chance run costs a ramp.
func (s *Sender) failed(ep *endpoint, sent time.Duration, why Outcome) {
	if why == TimedOut && ep.lastAnswer > sent {
		return // one call lost where others are answered
	}
	if why == ConnectError && s.now-sent < s.set.ConnectTimeout/2 {
		s.proven[ep.kind] = startOpen - provenOpen
	}
	if ep.fails++; ep.fails == 1 && ep.health == healthy {
		ep.failing = sent
	}
	if s.set.Senders > crowd && (why == Reset || why == ConnectError) && s.now-sent > minLate {
		ep.fails = max(ep.fails, 2) // a hang or a silence may end for all at once: a brief pause spreads nothing
	}
	ep.dest.retryAt = s.now + s.pause(ep)
	if ep.health != probation && ep.fails >= failStreak {
		s.suspend(ep, why)
	}
}

// turnedAway takes the word that an endpoint holds all the connections it can, which is no failure: it serves
// who has one, and calls free places. Guards against a crowd that knocks all the time; may be late for one.
func (s *Sender) turnedAway(ep *endpoint) {
	s.proven[ep.kind] = startOpen - provenOpen
	ep.knocks = min(ep.knocks+1, failStreak)
	ep.knockAt = s.now + seconds(ep.usually()*math.Exp2(float64(ep.knocks))*(0.5+s.rng.Float64()))
}

// usually is the time to an answer, in seconds, a guess before the first.
func (t *timing) usually() float64 { return cmp.Or(t.latency, firstLate.Seconds()/4) }

// pause is how long a destination's failed endpoints are left alone: briefly at first, then up to the time in
// which this sender's own traffic there would use its part of a cold destination's budget.
func (s *Sender) pause(ep *endpoint) time.Duration {
	own := ep.dest.wanted.perSecond(s.now, deliveredMemory)
	if s.kind(ep).RoutesApart {
		own /= float64(ep.dest.width())
	}
	share := restPart / max(s.set.OverloadFactor*s.set.ColdShare*own, 1e-3)
	steps := 6 * min(ep.fails-1, failStreak)
	if slices.ContainsFunc(ep.dest.endpoints, func(o *endpoint) bool { return o.listed && o.fails == 0 }) {
		steps += 3 // others can serve meanwhile
	}
	first := min(retryPause*time.Duration(max(s.set.Senders-crowd, 0)), maxRetryPause)
	return seconds(min(first.Seconds()*math.Exp2(float64(steps)), share) * (0.5 + s.rng.Float64()))
}

// inherit gives a new endpoint its destination's failures, or a crowd's whole backlog goes there at once.
func (s *Sender) inherit(ep *endpoint) {
	for _, other := range ep.dest.endpoints {
		if s.set.Senders > crowd && other.lane == ep.lane {
			ep.fails = max(ep.fails, other.fails)
		}
	}
}

// recall takes over an earlier process's failures at a destination, or a crowd that restarts during an outage
// sends all that it owes as it ends; one may have gone unheard. Too careful where single attempts often fail.
func (s *Sender) recall(a Arrived) {
	d := s.destination(a.Destination)
	for _, ep := range d.endpoints {
		if fails := min(max(a.Before.Failed, 2), failStreak); s.set.Senders > crowd && fails > ep.fails {
			ep.fails = fails
			d.retryAt = max(d.retryAt, s.now+s.pause(ep))
		}
	}
}

// suspend puts an endpoint on probation.
func (s *Sender) suspend(ep *endpoint, why Outcome) {
	if ep.health == healthy {
		ep.base = ep.delivered.perSecond(ep.delivered.last, deliveredMemory)
	}
	ep.health, ep.since, ep.symptom = probation, s.now, why
	ep.charged = s.now
	if ep.unanswered() && s.set.Senders <= crowd { // a trial soon, on a fresh connection: the old may be dead
		ep.charged -= s.gap(ep)
		s.act(CloseIdle{Endpoint: ep.id})
	}
}

// unanswered tells whether an endpoint is on probation for silence, not for what it answered.
func (ep *endpoint) unanswered() bool { return ep.symptom == TimedOut || ep.symptom == ConnectError }

// refused takes a refusal as full: the pace's matter, unless it lasts, which a limit's refusals do not; then
// the destination is shut and comes back cold. In a crowd the first gap is any part of a whole one, so that
// not all resume together, and each refusal starts probation: one may be all that a sparse sender sees of a
// hang, late. The least pace holds for the first refusal in a row only: many at their least would push over
// what returns from a hang. Guards against a crowd refused all along that returns on a cold destination
// together (rule 4); costs a ramp where a limit refuses a sparse sender, whose messages handBack gives away.
func (s *Sender) refused(ep *endpoint, sent, wait time.Duration) {
	l, first := ep.lane, 1.0
	l.pace.lapse(s.lapsedAt)
	if s.set.Senders > crowd {
		first = s.rng.Float64()
	}
	least := minPace / float64(1+15*min(l.refusals, 1)) // a sixteenth after the first refusal in a row
	l.pace.onFull(s.now, sent, s.listedRate(ep), s.set.Senders, first, least)
	if l.refusals == 0 {
		l.refusedAt = sent
	}
	l.refusals++
	lasting := s.set.Senders > crowd || l.refusals >= refusalStreak && s.now-l.refusedAt >= refusalSpan
	if wait < longWait && !lasting {
		return
	}
	for _, other := range ep.dest.endpoints {
		if other.lane == l && other.health != probation {
			if other.health == healthy {
				other.failing = l.servedAt // trouble may be as old: a late refusal tells nothing of its age
			}
			s.suspend(other, Full)
		}
	}
	if wait < longWait {
		return
	}
	s.opensAt(ep, s.now+wait)
	if s.set.MayTell {
		s.act(Tell{Note{Endpoint: ep.id, Wait: wait}})
	}
}

// opensAt takes the word that a destination is shut until then: it needs no trials, and is cold from then on.
func (s *Sender) opensAt(ep *endpoint, at time.Duration) {
	ep.lane.pace.onWait(at)
	for _, o := range ep.dest.endpoints {
		if o.lane == ep.lane {
			if o.health == healthy {
				s.suspend(o, Full)
			}
			o.health, o.since = ramping, at
			o.charged = at - seconds(s.gap(o).Seconds()*s.rng.Float64())
		}
	}
}

// listedRate is what the registry or the destination itself told of the lane's limit, 0 if nothing.
func (s *Sender) listedRate(ep *endpoint) float64 { return cmp.Or(ep.lane.reported, ep.rate) }

// findSilence puts endpoints on probation that answer nothing of what they have. A hang never refuses.
// Fresh connections come first, as one answer may be lost, and sooner where they have lately cured silence.
func (s *Sender) findSilence() {
	dying := s.dying()
	s.lapsedAt, s.overdue = s.now, 0
	for _, c := range s.calls {
		out, late := s.now-c.sent, s.lateAfter(c.ep, c.class())
		if out > late {
			s.shun(c)
			s.overdue++
		}
		if out > haste*late {
			s.tell(c)
		}
	}
	for _, ep := range s.calling() {
		late, quiet := s.lateAfter(ep, ep.calls[0].class()), s.quiet(ep)
		if ep.health == probation || quiet <= late || quiet <= silenceFactor*late && !dying {
			continue
		}
		if ep.health == healthy {
			ep.failing = max(ep.lastAnswer, ep.calls[0].sent)
		}
		if ep.renewed <= ep.lastAnswer {
			ep.renewed = s.now
			s.withdraw(ep)
		} else if s.now-ep.renewed > late {
			s.withdraw(ep)
			s.suspend(ep, TimedOut)
		}
	}
}

// dying tells whether fresh connections have lately cured silence, so that old ones are not to be trusted.
func (s *Sender) dying() bool {
	return s.cured.perSecond(s.now, deliveredMemory) > 1/deliveredMemory.Seconds()
}

// yieldConnections closes connections as they fall idle in a crowd, until connects are proven at a kind: idle
// ones fill tables, and holders are never turned away. Costs handshakes. With calls out, one may be in use.
func (s *Sender) yieldConnections() {
	for _, ep := range s.idled {
		if s.crowded(ep) && len(ep.calls) == 0 {
			s.act(CloseIdle{Endpoint: ep.id})
		}
	}
	s.idled = s.idled[:0]
}

// withdraw calls off what an endpoint left unanswered and may be sent again, to go out on a fresh connection.
// Guards against connections that died unnoticed; where the endpoint is merely slow it wastes work begun.
func (s *Sender) withdraw(ep *endpoint) {
	for _, c := range ep.calls {
		if effect := c.attempts[0].msg.class.Effect; effect == Safe || effect == Keyed && s.dying() {
			s.cancel(c)
		}
	}
	s.act(CloseIdle{Endpoint: ep.id})
}

// gap is the time between calls to an endpoint on probation or on its ramp. A sender keeps to its own part of
// a cold destination's budget: what it delivered before, its part of a listed rate or a least part, as few of
// many senders have anything to send at once, times the share of capacity that must be back by now.
func (s *Sender) gap(ep *endpoint) time.Duration {
	peers, warm := float64(max(s.set.Senders, 1)), 0.0
	longest := s.set.FallWindow.Seconds() * peers / 2
	if !s.kind(ep).RoutesApart {
		peers *= float64(ep.dest.width())
		longest *= float64(ep.dest.width())
	}
	if ep.health == ramping {
		mid := (s.now + max(ep.charged, ep.since)) / 2 // as the rate rises evenly since the last call
		warm = min(1, max(0, mid-ep.since).Seconds()/max(s.set.WarmUp.Seconds(), 1e-3))
	}
	part := ep.rate / peers
	if !s.set.RatesExact {
		part /= 2 // it may be half too high
	}
	// no more than its own traffic: after a long outage all of a crowd's sparse senders have something to send
	least := min(leastPart, ep.dest.wanted.perSecond(s.now, deliveredMemory)/float64(ep.dest.width()))
	rate := s.set.OverloadFactor * max(ep.base, part, least) * (s.set.ColdShare + (1-s.set.ColdShare)*warm)
	gap := seconds(min(longest, 1/max(rate, 1e-3)))
	if ep.health == probation { // young trouble cannot have left anything cold
		gap = min(gap, max(s.now-ep.failing, minLate)*time.Duration(max(s.set.Senders, 3))/6)
		if ep.symptom == Full && s.now-ep.failing < briefTrouble {
			gap = 0 // what refuses answers: the pace spaces the trials
		}
	}
	return gap
}

// gate is the earliest time at which pace and health let a call go to an endpoint.
func (s *Sender) gate(ep *endpoint) time.Duration {
	ep.lane.pace.lapse(s.lapsedAt)
	at := max(ep.lane.pace.haltUntil, ep.lane.pace.next, ep.knockAt)
	if ep.health != healthy {
		at = max(at, ep.charged+s.gap(ep))
	}
	if ep.fails > 0 {
		at = max(at, ep.dest.retryAt)
	}
	return at
}

// hasRoom tells whether one more call to the endpoint leaves slots for other lanes. Where places are scarce a
// few messages share a connection, one by one: opening one takes as long as several calls.
func (s *Sender) hasRoom(ep *endpoint) bool {
	free := !s.crowded(ep) || len(ep.calls) <= ep.dest.held/perPlace
	return free && (ep.health == probation || ep.lane.inflight < max(2, int(laneShare*float64(s.set.Slots))))
}

// fits tells whether a message suits an endpoint's health: what may not be repeated stays away from one that
// answers late, or may swallow it, and waits for the next process if this one may end before the answer.
func (s *Sender) fits(m *message, ep *endpoint) bool {
	if ep.health == probation && m.tries+1 >= s.set.MaxAttempts || s.shuns(ep, m.classNo) {
		return false // its last attempt is for a better time
	}
	v, most := ep.service(m.classNo), max(1, int(illShare*float64(s.set.Slots)))
	if (v.ill > 0 || s.now < v.retryAt) && s.overdue >= most {
		return false // else calls that nobody answers fill every slot
	}
	if m.class.Effect == Safe || m.class.Effect == Keyed && s.now-ep.failing < briefTrouble {
		return true
	}
	late := s.lateAfter(ep, m.classNo)
	return s.now+late < s.endsAt && (ep.health == probation || s.quiet(ep) <= late)
}

// dispatch makes calls while there are slots, best first, and frees a slot if a good call finds none.
func (s *Sender) dispatch() {
	s.resume()
	s.plans = s.plans[:0]
	useful := len(s.calls) < s.set.Slots || s.stalest() != nil // else no plan comes to anything
	for _, d := range s.waiting {
		s.plans = append(s.plans, s.planFor(d, useful))
	}
	for {
		best := &plan{}
		for i := range s.plans {
			if p := &s.plans[i]; p.ep != nil && (best.ep == nil || p.score > best.score) {
				best = p
			}
		}
		if best.ep == nil {
			return
		}
		if len(s.calls) >= s.set.Slots {
			s.freeSlot()
			return
		}
		s.send(best.ep, best.msgs)
		*best = s.planFor(best.ep.dest, true) // a call changes nothing for the others
	}
}

// planFor finds a destination's best call now: the cheapest endpoint that is ready, and what gains most.
func (s *Sender) planFor(d *destination, useful bool) plan {
	var ready []*endpoint
	for _, ep := range d.endpoints {
		if !ep.listed {
			continue
		}
		if s.gate(ep) > s.now {
			if ep.lane.pace.next > s.now && d.anyWaits() {
				ep.lane.pace.lastWaited = s.now
			}
		} else if useful && s.hasRoom(ep) {
			ready = append(ready, ep)
		}
	}
	slices.SortStableFunc(ready, func(a, b *endpoint) int { return cmp.Compare(s.price(a), s.price(b)) })
	for _, ep := range ready {
		if p := s.fill(d, ep); p.ep != nil {
			return p
		}
	}
	return plan{}
}

// price orders endpoints: likely time to the answer, and a route's toll as time.
func (s *Sender) price(ep *endpoint) float64 {
	t := ep.usually() * (1 + float64(len(ep.calls))/2)
	if s.set.Senders > crowd {
		t *= 1 + float64(ep.fails) // one pause for all that failed: let them take turns
	}
	if s.now-ep.lastUse > s.set.KeepAlive || len(ep.calls) >= ep.peak {
		t += handshake.Seconds()
	}
	if s.kind(ep).RoutesApart && ep.zone < len(s.set.ZoneTolls) {
		t += tollTime * s.set.ZoneTolls[ep.zone]
	}
	return t
}

// fill picks the messages of one call to an endpoint: those that lose most by waiting.
func (s *Sender) fill(d *destination, ep *endpoint) plan {
	best, n, trial := []ranked(nil), max(1, s.kind(ep).Batch), ep.health == probation
	if best = s.rank(d, ep, n, func(e Effect) bool { return e == Safe || !trial }); len(best) == 0 && trial {
		n = 1 // a trial risks least with what may be repeated
		best = s.rank(d, ep, n, func(e Effect) bool { return e != Safe })
	}
	if len(best) < n && !slices.ContainsFunc(best, func(r ranked) bool { return s.ripe(r.m) }) {
		return plan{}
	}
	p := plan{ep: ep}
	for _, r := range best {
		p.msgs = append(p.msgs, r.m)
		p.score += r.value
	}
	p.score /= max(ep.latency, 0.05)
	return p
}

// rank returns the n messages, or as many as there are, of some effects that gain most at an endpoint.
func (s *Sender) rank(d *destination, ep *endpoint, n int, of func(Effect) bool) []ranked {
	r := ranking{n: n, parts: &s.parts, passes: func(m *message) bool { return s.maySend(m, ep) }}
	at := s.now + seconds(ep.latency)
	later := at + s.horizon(d)
	for _, g := range d.groups {
		if m := g.root; g.ready && of(m.class.Effect) && s.fits(m, ep) && keyHolds(m, ep) {
			weight := s.tenantWeight(m.tenant)
			r.add(g, func(m *message) float64 { return weight * s.gain(m, at, later) },
				slack*weight*m.class.Worth, append(breaks(m.class, at), breaks(m.class, later)...))
		}
	}
	return r.best
}

// ripe tells whether a message has waited its time for company, where calls hold several. Guards against
// small calls that use up a limit; where messages are rare it makes each a little later, at no loss of worth.
func (s *Sender) ripe(m *message) bool {
	return m.tries > 0 || s.now-(m.deadline-m.class.Deadline) >= m.class.Aim/lingerPart
}

// horizon is how long a destination's backlog takes, which is what a message not sent now waits.
func (s *Sender) horizon(d *destination) time.Duration {
	return min(max(seconds(s.backlog(d)), minHorizon), maxHorizon)
}

// gain is the worth lost if a message comes later and not at a time, plus a little of its whole worth.
func (s *Sender) gain(m *message, at, later time.Duration) float64 {
	v := s.worth(m, at)
	return v - s.worth(m, later) + baseUrgency*v
}

// breaks are the first deadlines at which messages of a class are alive, and in their aim, at a time. Between
// them worth stays, rises or falls with the deadline, and gain does: where worth meets its floor none turns.
func breaks(c *Class, at time.Duration) []time.Duration {
	return []time.Duration{at + 1, at + c.Deadline - c.Aim}
}

// worth is what a message earns if delivered at a time.
func (s *Sender) worth(m *message, at time.Duration) float64 {
	c := m.class
	age := c.Deadline - (m.deadline - at)
	switch {
	case at >= m.deadline:
		return 0
	case age <= c.Aim:
		return c.Worth
	case s.set.LateHalving:
		return c.Worth * max(c.LateWorth, math.Exp2(-(age-c.Aim).Seconds()/max(c.Aim.Seconds(), 1e-3)))
	}
	return c.Worth * (1 - (1-c.LateWorth)*(age-c.Aim).Seconds()/max((c.Deadline-c.Aim).Seconds(), 1e-3))
}

// tenantWeight discounts a tenant by what seems beyond its share, in proportion to the sender's own traffic.
func (s *Sender) tenantWeight(t int) float64 {
	if len(s.arrivals) == 0 || s.quotas <= 0 {
		return 1
	}
	within := 0.0
	if t < len(s.arrivals) { // else no tenant's: it has no share
		mine, all := s.arrivals[t].perSecond(s.now, deliveredMemory), s.total.perSecond(s.now, deliveredMemory)
		within = min(1, s.set.Tenants[t].Quota/s.quotas*all/max(mine, 1e-9))
	}
	return within + (1-within)*s.set.OverShareWorth
}

// freeSlot gives up the stalest call, if there is one. Guards against calls that are never answered filling
// every slot, each of which could carry ten others; where answers are merely slow, one may have been to come.
func (s *Sender) freeSlot() { s.cancel(s.stalest()) }

// stalest is the overdue call that has been out longest, nil while a slot is on the way.
func (s *Sender) stalest() (oldest *call) {
	for _, c := range s.calls {
		if c.cancelled {
			return nil
		}
		if s.now-c.sent > haste*s.lateAfter(c.ep, c.class()) && (oldest == nil || c.sent < oldest.sent) {
			oldest = c
		}
	}
	return oldest
}

// handBack answers at once, with when to come again, what cannot be sent in time: a told wait of all listed
// endpoints lasts longer or, in a crowd, all are on probation or ramp here: others may be well there.
// Guards against messages kept for nothing; loses what clients give up.
func (s *Sender) handBack() {
	halted := func(ep *endpoint) time.Duration { return ep.lane.pace.haltUntil }
	for _, d := range slices.Clone(s.waiting) {
		at := d.soonest(func(ep *endpoint) time.Duration {
			if ep.health != healthy && s.set.Senders > crowd && s.set.MayAdvise {
				return s.gate(ep)
			}
			return halted(ep)
		})
		if at <= d.firstDue || at == never {
			continue
		}
		shut := d.soonest(halted)
		for _, m := range s.dueBefore(d, func(like *message) time.Duration {
			if s.mayRefuse(like) {
				return max(at, shut)
			}
			return shut
		}) {
			s.end(m)
		}
	}
}

// makeRoom refuses messages of the most backed-up destination before newcomers for others find no room.
func (s *Sender) makeRoom() {
	for limit := s.set.MaxHeld - max(1, s.set.MaxHeld/roomMargin); len(s.held) > limit; {
		var worst *destination
		for _, d := range s.waiting {
			if s.cheapest(d) != nil && (worst == nil || s.backlog(d) > s.backlog(worst)) {
				worst = d
			}
		}
		if worst == nil {
			return
		}
		s.end(s.cheapest(worst))
	}
}

// cheapest is the waiting message of a destination that is worth least, among those that may be refused. Of
// equals it is the newest, which has most time left to come again.
func (s *Sender) cheapest(d *destination) *message {
	r := ranking{n: 1, last: true, parts: &s.parts}
	for _, g := range d.groups {
		if m := g.root; s.mayRefuse(m) {
			value := func(m *message) float64 { return -s.worth(m, s.now) }
			r.add(g, value, slack*m.class.Worth, breaks(m.class, s.now))
		}
	}
	return r.first()
}

// scheduleWake asks to be woken when the next thing falls due.
func (s *Sender) scheduleWake() {
	next := min(s.watchAt, s.earliestDue())
	for _, d := range s.waiting {
		next = min(next, s.now+pollEvery)
		for _, ep := range d.endpoints {
			if at := s.gate(ep); ep.listed && at > s.now {
				next = min(next, at)
			}
		}
	}
	if next < s.wakeAt {
		s.wakeAt = (max(next, s.now+s.set.Tick) + time.Microsecond - 1).Truncate(time.Microsecond)
		s.act(WakeAfter{After: s.wakeAt - s.now})
	}
}
