// Package receiver owns the model of receivers: endpoints that serve calls, and units (a destination, or one of its
// endpoints where the kind has separate routes) that share a limit, a capacity and outages. It must never know which
// policy calls, nor assess it: it reports to an Observer what happened.
package receiver

import (
	"math/rand/v2"
	"time"

	"eiderhaven/lab/clock"
	"eiderhaven/lab/model"
	"eiderhaven/lab/network"
	"eiderhaven/lab/random"
	"eiderhaven/rules"
)

// Spec describes how the endpoints of a unit behave. Units of one kind differ only in ServiceTimeFactor and limit.
type Spec struct {
	Servers           int                 // calls that an endpoint serves at once
	MaxQueued         int                 // calls that may wait at an endpoint
	ServiceTime       random.Distribution // of a call with one message of a class whose work is 1
	ServiceTimeFactor float64             // service times are multiplied by it
	WorkByClass       []float64           // by class: service times are multiplied by it
	BatchCost         float64             // service time of each further message of a call, as a share of the first's
	MaxBatch          int                 // messages that one call may carry
	DropAbandoned     string              // which abandoned calls are dropped: none, queued or all
	ReportsLimit      bool                // answers state the limit and what is left of it
	RetryAfterShare   float64             // share of refusals with a Retry-After
	DedupWindows      []time.Duration     // by class: how long a key is remembered, 0 for classes without keys
	DedupScopes       []rules.DedupScope  // by class

	ColdShare      float64       // capacity just after an outage, as a share
	WarmUp         time.Duration // time until the capacity is back to full
	FallWindow     time.Duration // window over which a cold unit counts what it is sent
	OverloadFactor float64       // a cold unit collapses when sent more than this multiple of its present capacity
	FallChance     float64       // multiple of the square root of the budget that is put down to chance
	StandingTerm   bool          // allow for chance as the platform's standing test does, not by FallChance
}

// Observer is notified of what happens at receivers.
type Observer interface {
	// CallArrived reports a call that reached an endpoint.
	CallArrived(u *Unit, c *model.Call)
	// MessageTookEffect reports that a message was processed; repeat is set where it was recognized as a repeat and
	// dropped.
	MessageTookEffect(u *Unit, m *model.Message, repeat bool)
	// Outage reports that an outage began or ended.
	Outage(u *Unit, begins bool)
	// WindowMeasured reports what a cold unit was sent within the fall window up to now, and the weight above which
	// it collapses.
	WindowMeasured(u *Unit, window []Arrival, allowed float64)
	// UnitOverloaded reports that a cold unit was sent too much and stays down; senders maps each sender to the
	// weight it sent.
	UnitOverloaded(u *Unit, senders map[int]float64)
	// CallRefused reports that a unit refused a call; limit is set if its limit was the reason.
	CallRefused(u *Unit, c *model.Call, limit bool)
}

// Endpoint is one network address that serves calls.
type Endpoint struct {
	ID       rules.EndpointID
	Unit     *Unit
	Zone     int
	Number   int
	Conns    network.ConnTable
	Removed  bool // drained and gone
	Draining bool

	clock      *clock.Queue
	scheduler  *clock.Scheduler
	rng        *rand.Rand
	serving    int                      // calls in service
	waiting    []*job                   // queue of calls that wait for a server
	running    map[*job]bool            // calls in service
	unanswered []*job                   // accepted while hanging
	pauses     int                      // number of active faults that pause the endpoint
	effects    map[string]time.Duration // time of the last effect, by deduplication key
	created    time.Duration
	reopensAt  time.Duration // end of the Retry-After values returned while all calls are refused

	// Effects of active faults. The integers count the faults, so that faults may overlap.
	RefusingConnects int     // connects are refused
	Unresponsive     int     // nothing gets in or out
	Hanging          int     // calls are accepted and never answered
	RefusingCalls    int     // all calls are refused
	ErrorShare       float64 // share of calls that fail immediately
	RefusedShare     float64 // share of calls that are refused, whatever the load
	LostAnswerShare  float64 // share of answers that are lost
	Slowdown         float64 // service times are multiplied by it
}

// job is a call at an endpoint.
type job struct {
	call     *model.Call
	conn     *network.Conn
	admitted bool // by the limit
}

// NewEndpoint returns an endpoint and adds it to its unit.
func NewEndpoint(
	id rules.EndpointID, number, zone int, u *Unit, maxConns int, q *clock.Queue, rng *rand.Rand,
) *Endpoint {
	ep := &Endpoint{
		ID:        id,
		Number:    number,
		Unit:      u,
		Zone:      zone,
		Conns:     network.ConnTable{MaxConns: maxConns},
		clock:     q,
		scheduler: q.NewScheduler(clock.Receive, 2*number),
		rng:       rng,
		running:   map[*job]bool{},
		created:   q.Now(),
		Slowdown:  1,
	}
	u.Endpoints = append(u.Endpoints, ep)
	return ep
}

// Connect handles an attempt to open a connection. Without a connection, limitReached reports that the connection
// limit is reached, noAnswer that the attempt gets no answer at all; else the connect is refused.
func (ep *Endpoint) Connect(p *network.Pool, now time.Duration) (c *network.Conn, limitReached, noAnswer bool) {
	switch {
	case ep.Unresponsive > 0:
		return nil, false, true
	case ep.RefusingConnects > 0 || ep.Unit.Collapsed || ep.Removed:
		return nil, false, false
	}
	c = ep.Conns.Accept(p, now)
	return c, c == nil, false
}

// Receive handles a call that has arrived. The call's Done is called with the outcome now, later or never.
func (ep *Endpoint) Receive(c *model.Call, conn *network.Conn) {
	now := ep.clock.Now()
	u := ep.Unit
	if conn.Broken || ep.Unresponsive > 0 { // nobody reads the call
		return
	}
	u.observer.CallArrived(u, c)
	u.recordColdArrival(now, ep, c)
	if !c.Abandoned && !conn.Open() {
		c.Done(model.Outcome{Result: rules.Reset})
		return
	}
	if ep.Hanging > 0 {
		ep.unanswered = append(ep.unanswered, &job{call: c, conn: conn})
		return
	}
	if ep.RefusingCalls > 0 {
		ep.refuse(c, max(0, ep.reopensAt-now), false)
		return
	}
	if ep.ErrorShare > 0 && ep.rng.Float64() < ep.ErrorShare {
		c.Done(model.Outcome{Result: rules.Errored, Report: ep.limitReport(now)})
		return
	}
	if ep.RefusedShare > 0 && ep.rng.Float64() < ep.RefusedShare {
		ep.refuse(c, 0, false)
		return
	}
	if u.limit != nil {
		if ok, wait := u.limit.admit(now, u.CapacityShare(now)); !ok {
			ep.refuse(c, wait, true)
			return
		}
	}
	ep.enqueue(&job{call: c, conn: conn, admitted: true})
}

// refuse refuses a call; the spec decides how often the answer has a Retry-After.
func (ep *Endpoint) refuse(c *model.Call, wait time.Duration, byLimit bool) {
	u := ep.Unit
	u.Refusals++
	if wait > 0 && !(ep.rng.Float64() < u.Spec.RetryAfterShare) {
		wait = 0
	}
	u.observer.CallRefused(u, c, byLimit)
	c.Done(model.Outcome{Result: rules.Refused, RetryAfter: wait, Report: ep.limitReport(ep.clock.Now())})
}

func (ep *Endpoint) limitReport(now time.Duration) rules.Report {
	if !ep.Unit.Spec.ReportsLimit || ep.Unit.limit == nil {
		return rules.Report{}
	}
	return ep.Unit.limit.report(now)
}

// enqueue serves a call now, queues it, or refuses it when the queue is full.
func (ep *Endpoint) enqueue(j *job) {
	if ep.serving < ep.Unit.Spec.Servers && ep.pauses == 0 {
		ep.serve(j)
		return
	}
	if len(ep.waiting) >= ep.Unit.Spec.MaxQueued {
		ep.releaseLimit(j)
		ep.refuse(j.call, 0, false)
		return
	}
	ep.waiting = append(ep.waiting, j)
}

// serve starts the service of a call.
func (ep *Endpoint) serve(j *job) {
	ep.serving++
	ep.running[j] = true
	u := ep.Unit
	work := u.Spec.WorkByClass[j.call.Messages[0].Class]
	seconds := u.Spec.ServiceTime.Draw(ep.rng).Seconds() * u.Spec.ServiceTimeFactor *
		work * ep.Slowdown / ep.capacityShare()
	seconds *= 1 + u.Spec.BatchCost*float64(len(j.call.Messages)-1)
	ep.scheduler.After(time.Duration(seconds*float64(time.Second)), func() { ep.finishService(j) })
}

// capacityShare returns the share of its capacity that the endpoint has now; it is below 1 during the unit's warm-up.
func (ep *Endpoint) capacityShare() float64 {
	if ep.created > ep.Unit.coldSince {
		return 1
	}
	return ep.Unit.warmUpShare(ep.clock.Now())
}

// finishService ends the service of a call and answers it.
func (ep *Endpoint) finishService(j *job) {
	if !ep.running[j] { // the endpoint crashed or the call was dropped
		return
	}
	if ep.Hanging > 0 {
		delete(ep.running, j)
		ep.serving--
		ep.unanswered = append(ep.unanswered, j)
		return
	}
	delete(ep.running, j)
	ep.serving--
	ep.releaseLimit(j)
	for _, m := range j.call.Messages {
		ep.recordEffect(m)
	}
	outcome := model.Outcome{Result: rules.OK, Report: ep.limitReport(ep.clock.Now())}
	outcome.NoAnswer = ep.Unresponsive > 0 || j.conn.Broken ||
		ep.LostAnswerShare > 0 && ep.rng.Float64() < ep.LostAnswerShare
	j.call.Done(outcome)
	ep.serveWaiting()
}

// maxRememberedEffects is the size at which keys beyond their window are removed.
const maxRememberedEffects = 4096

// recordEffect reports that a message took effect, or that it was dropped as a repeat within the deduplication
// window.
func (ep *Endpoint) recordEffect(m *model.Message) {
	u, now := ep.Unit, ep.clock.Now()
	window := u.Spec.DedupWindows[m.Class]
	if window == 0 {
		u.observer.MessageTookEffect(u, m, false)
		return
	}
	holder := ep
	if u.Spec.DedupScopes[m.Class] == rules.DedupDestination {
		holder = u.Endpoints[0]
	}
	if holder.effects == nil {
		holder.effects = map[string]time.Duration{}
	}
	key := dedupKey(m, u.Spec.DedupScopes[m.Class], ep.Zone)
	at, before := holder.effects[key]
	if before && now-at < window {
		u.observer.MessageTookEffect(u, m, true)
		return
	}
	holder.effects[key] = now
	if len(holder.effects) > maxRememberedEffects {
		for k, at := range holder.effects {
			if now-at > window {
				delete(holder.effects, k)
			}
		}
	}
	u.observer.MessageTookEffect(u, m, false)
}

// dedupKey returns the key by which repeats of a message are recognized within a scope.
func dedupKey(m *model.Message, scope rules.DedupScope, zone int) string {
	key := []byte{byte(m.FirstTry), byte(m.FirstTry >> 8), byte(m.FirstTry >> 16), byte(m.FirstTry >> 24)}
	if scope == rules.DedupZone {
		key = append(key, byte(zone))
	}
	return string(key)
}

// serveWaiting starts waiting calls while servers are free.
func (ep *Endpoint) serveWaiting() {
	for ep.serving < ep.Unit.Spec.Servers && ep.pauses == 0 && len(ep.waiting) > 0 {
		j := ep.waiting[0]
		ep.waiting = ep.waiting[1:]
		ep.serve(j)
	}
}

// releaseLimit returns what a call holds of the limit.
func (ep *Endpoint) releaseLimit(j *job) {
	if ep.Unit.limit != nil && j.admitted {
		ep.Unit.limit.release()
	}
}

// CallAbandoned reports that the sender abandoned a call; the spec's DropAbandoned decides whether it is dropped.
func (ep *Endpoint) CallAbandoned(c *model.Call) {
	switch ep.Unit.Spec.DropAbandoned {
	case "none":
		return
	case "all":
		for j := range ep.running {
			if j.call == c {
				delete(ep.running, j)
				ep.serving--
				ep.releaseLimit(j)
				ep.serveWaiting()
				return
			}
		}
	}
	for i, j := range ep.waiting {
		if j.call == c {
			ep.waiting = append(ep.waiting[:i], ep.waiting[i+1:]...)
			ep.releaseLimit(j)
			return
		}
	}
}

// Healthy reports the result of a shallow health check: whether the process answers and accepts calls. It uses no
// server and no limit.
func (ep *Endpoint) Healthy() bool {
	return ep.RefusingConnects == 0 && ep.Unresponsive == 0 && ep.Hanging == 0 && ep.RefusingCalls == 0 &&
		!ep.Unit.Collapsed
}

const (
	// maxFreeErrorShare is the error share from which HasCapacity reports no capacity.
	maxFreeErrorShare = 0.5

	// HasCapacity requires more servers than this for each call that waits.
	serversPerWaiting = 3
)

// HasCapacity reports whether a call that arrives now would be served without a long wait, the limit aside: the queue
// has to be empty, or hold fewer calls than a third of the servers and have room for another.
func (ep *Endpoint) HasCapacity() bool {
	return ep.Healthy() && !ep.Removed && !ep.Draining && ep.ErrorShare < maxFreeErrorShare &&
		(len(ep.waiting) == 0 ||
			serversPerWaiting*len(ep.waiting) < ep.Unit.Spec.Servers && len(ep.waiting)+1 < ep.Unit.Spec.MaxQueued)
}

// Crash kills the process: its connections and calls are reset, and connects are refused until Restart.
func (ep *Endpoint) Crash() {
	ep.RefusingConnects++
	ep.resetAll()
}

// Restart ends one Crash.
func (ep *Endpoint) Restart() { ep.RefusingConnects-- }

// collapse kills the process for the rest of the run.
func (ep *Endpoint) collapse() {
	ep.RefusingConnects++
	ep.resetAll()
}

// resetAll closes every connection and resets all calls.
func (ep *Endpoint) resetAll() {
	jobs := ep.jobs()
	ep.waiting, ep.unanswered, ep.running, ep.serving = nil, nil, map[*job]bool{}, 0
	ep.Conns.CloseAll()
	for _, j := range jobs {
		ep.releaseLimit(j)
		if ep.Unresponsive == 0 {
			j.call.Done(model.Outcome{Result: rules.Reset})
		}
	}
}

// jobs returns all calls at the endpoint in a deterministic order.
func (ep *Endpoint) jobs() []*job {
	var jobs []*job
	for j := range ep.running {
		jobs = append(jobs, j)
	}
	sortJobs(jobs)
	jobs = append(jobs, ep.waiting...)
	return append(jobs, ep.unanswered...)
}

// Vanish cuts the endpoint off: open connections stay half-open, new ones get no answer.
func (ep *Endpoint) Vanish() {
	ep.Unresponsive++
	ep.Conns.BreakAll()
}

// Reappear ends one Vanish. The machine has lost its state; a call on an old connection gets no answer or is reset.
func (ep *Endpoint) Reappear() {
	if ep.Unresponsive--; ep.Unresponsive == 0 {
		for _, j := range ep.jobs() {
			ep.releaseLimit(j)
		}
		ep.waiting, ep.unanswered, ep.running, ep.serving = nil, nil, map[*job]bool{}, 0
	}
}

// AnnounceReopening sets the end of the Retry-After values that the endpoint returns while it refuses all calls.
func (ep *Endpoint) AnnounceReopening(d time.Duration) { ep.reopensAt = ep.clock.Now() + d }

// Hang makes the endpoint accept calls and answer none.
func (ep *Endpoint) Hang() { ep.Hanging++ }

// Unhang ends one Hang: the process is restarted, and its calls are reset.
func (ep *Endpoint) Unhang() {
	if ep.Hanging--; ep.Hanging == 0 {
		ep.resetAll()
	}
}

// Pause stops the endpoint from starting further calls until Resume.
func (ep *Endpoint) Pause() { ep.pauses++ }

// Resume ends one Pause.
func (ep *Endpoint) Resume() {
	ep.pauses--
	ep.serveWaiting()
}

// BreakConnections leaves the open connections half-open: calls on them get no answer.
func (ep *Endpoint) BreakConnections() { ep.Conns.BreakAll() }

// Load returns the number of calls in service and of calls that wait.
func (ep *Endpoint) Load() (serving, waiting int) { return ep.serving, len(ep.waiting) }

// Remove removes the endpoint for the rest of the run: its connections are reset, and it accepts no more.
func (ep *Endpoint) Remove() {
	ep.Removed = true
	ep.resetAll()
}
