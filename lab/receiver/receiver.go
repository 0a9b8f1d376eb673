// Package receiver owns the model of those that messages go to: endpoints that serve calls, and the units (a destination,
// or one of its endpoints where routes are apart) that share a limit, a capacity and outages. It must never know which
// policy calls, and never judge it: it tells an Observer what happened.
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

// Spec says how the endpoints of a unit behave; it is the same for all of a kind but for pace and limit.
type Spec struct {
	Servers           int
	MaxQueued         int
	ServiceTime       random.Distribution // of a call with one message of a class whose work is 1
	ServiceTimeFactor float64             // service times are multiplied by it
	WorkByClass       []float64           // by class
	BatchCost         float64
	MaxBatch          int
	DropAbandoned     string // none, queued or all
	ReportsLimit      bool
	RetryAfterShare   float64
	DedupWindows      []time.Duration    // by class: how long a key is remembered, 0 for classes without
	DedupScopes       []rules.DedupScope // by class

	ColdShare      float64
	WarmUp         time.Duration
	FallWindow     time.Duration
	OverloadFactor float64
	FallChance     float64
	StandingTerm   bool // chance is allowed for as the platform's standing test does, not by FallChance
}

// Observer is told what happens at receivers.
type Observer interface {
	// Arrived tells of a call that reached a unit which is cold, or is in an outage, or of one refused.
	CallArrived(u *Unit, c *model.Call)
	// Ran tells that a message took effect; repeat tells that it had before, within what the class allows or not.
	MessageTookEffect(u *Unit, m *model.Message, repeat bool)
	// Outage tells that an outage began or ended.
	Outage(u *Unit, begins bool)
	// Weighed tells what a cold unit was sent within the span up to now, and above how much it falls over.
	WindowMeasured(u *Unit, window []Arrival, allowed float64)
	// Fell tells that a cold unit was sent too much and stays down; senders holds who sent how much of it.
	UnitOverloaded(u *Unit, senders map[int]float64)
	// Refused tells that a unit turned a call away, for its limit if limit is set.
	CallRefused(u *Unit, c *model.Call, limit bool)
}

// Endpoint is one place that serves calls.
type Endpoint struct {
	ID       rules.EndpointID
	Unit     *Unit
	Zone     int
	Number   int
	Conns    network.ConnTable
	Removed  bool // drained and gone
	Draining bool // drains

	q      *clock.Queue
	line   *clock.Scheduler
	r      *rand.Rand
	busy   int
	queue  []*job
	run    map[*job]bool
	stuck  []*job // taken while hung
	paused int
	seen   map[string]time.Duration
	born   time.Duration
	opens  time.Duration // while it is shut, the wait that it tells lasts until then

	RefusingConnects int     // connects are refused
	Unresponsive     int     // silent: nothing gets in or out
	Hanging          int     // takes calls, answers none
	RefusingCalls    int     // turns all away
	ErrorShare       float64 // share of calls that fail at once
	LostAnswerShare  float64 // share of answers that are lost
	Slowdown         float64 // service times are multiplied by it
}

type job struct {
	call     *model.Call
	conn     *network.Conn
	admitted bool // by the limit
}

// NewEndpoint returns an endpoint of a unit, which it joins.
func NewEndpoint(id rules.EndpointID, number, zone int, u *Unit, cap int, q *clock.Queue, r *rand.Rand) *Endpoint {
	ep := &Endpoint{ID: id, Number: number, Unit: u, Zone: zone, Conns: network.ConnTable{MaxConns: cap}, q: q,
		line: q.NewScheduler(clock.Receive, 2*number), r: r, run: map[*job]bool{}, born: q.Now(), Slowdown: 1}
	u.Endpoints = append(u.Endpoints, ep)
	return ep
}

// Connect answers an attempt to open a connection: a connection, a refusal, the word that it holds all it can (full), or
// nothing at all.
func (ep *Endpoint) Connect(p *network.Pool, now time.Duration) (c *network.Conn, full, silent bool) {
	switch {
	case ep.Unresponsive > 0:
		return nil, false, true
	case ep.RefusingConnects > 0 || ep.Unit.Collapsed || ep.Removed:
		return nil, false, false
	}
	c = ep.Conns.Accept(p, now)
	return c, c == nil, false
}

// Take takes a call that has arrived. Its Done is told the outcome, now or later, or never.
func (ep *Endpoint) Receive(c *model.Call, conn *network.Conn) {
	now := ep.q.Now()
	u := ep.Unit
	if conn.Broken || ep.Unresponsive > 0 { // the bytes reach nobody
		return
	}
	u.obs.CallArrived(u, c)
	u.weigh(now, ep, c)
	if !c.Abandoned && !conn.Open() {
		c.Done(model.Outcome{Result: rules.Reset})
		return
	}
	if ep.Hanging > 0 {
		ep.stuck = append(ep.stuck, &job{call: c, conn: conn})
		return
	}
	if ep.RefusingCalls > 0 {
		ep.refuse(c, max(0, ep.opens-now), false)
		return
	}
	if ep.ErrorShare > 0 && ep.r.Float64() < ep.ErrorShare {
		c.Done(model.Outcome{Result: rules.Errored, Report: ep.report(now)})
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

func (ep *Endpoint) refuse(c *model.Call, wait time.Duration, byLimit bool) {
	u := ep.Unit
	u.Refusals++
	if wait > 0 && !(ep.r.Float64() < u.Spec.RetryAfterShare) {
		wait = 0
	}
	u.obs.CallRefused(u, c, byLimit)
	c.Done(model.Outcome{Result: rules.Refused, RetryAfter: wait, Report: ep.report(ep.q.Now())})
}

func (ep *Endpoint) report(now time.Duration) rules.Report {
	if !ep.Unit.Spec.ReportsLimit || ep.Unit.limit == nil {
		return rules.Report{}
	}
	return ep.Unit.limit.report(now)
}

func (ep *Endpoint) enqueue(j *job) {
	if ep.busy < ep.Unit.Spec.Servers && ep.paused == 0 {
		ep.serve(j)
		return
	}
	if len(ep.queue) >= ep.Unit.Spec.MaxQueued {
		ep.release(j)
		ep.refuse(j.call, 0, false)
		return
	}
	ep.queue = append(ep.queue, j)
}

// serve starts a call. What has been called off while it waited is dropped, where the kind does so.
func (ep *Endpoint) serve(j *job) {
	ep.busy++
	ep.run[j] = true
	u := ep.Unit
	work := u.Spec.WorkByClass[j.call.Messages[0].Class]
	d := u.Spec.ServiceTime.Draw(ep.r).Seconds() * u.Spec.ServiceTimeFactor * work * ep.Slowdown / ep.share()
	d *= 1 + u.Spec.BatchCost*float64(len(j.call.Messages)-1)
	ep.line.After(time.Duration(d*float64(time.Second)), func() { ep.served(j) })
}

// share is the part of its pace that the endpoint has now.
func (ep *Endpoint) share() float64 {
	if ep.born > ep.Unit.coldFrom {
		return 1
	}
	return ep.Unit.warmth(ep.q.Now())
}

func (ep *Endpoint) served(j *job) {
	if !ep.run[j] { // a crash, or it was dropped
		return
	}
	if ep.Hanging > 0 {
		delete(ep.run, j)
		ep.busy--
		ep.stuck = append(ep.stuck, j)
		return
	}
	delete(ep.run, j)
	ep.busy--
	ep.release(j)
	for _, m := range j.call.Messages {
		ep.effect(m)
	}
	out := model.Outcome{Result: rules.OK, Report: ep.report(ep.q.Now())}
	out.NoAnswer = ep.Unresponsive > 0 || j.conn.Broken || ep.LostAnswerShare > 0 && ep.r.Float64() < ep.LostAnswerShare
	j.call.Done(out)
	ep.next()
}

// effect books that a message ran, and whether it had before.
func (ep *Endpoint) effect(m *model.Message) {
	u, now := ep.Unit, ep.q.Now()
	window := u.Spec.DedupWindows[m.Class]
	if window == 0 {
		u.obs.MessageTookEffect(u, m, false)
		return
	}
	holder := ep
	if u.Spec.DedupScopes[m.Class] == rules.DedupDestination {
		holder = u.Endpoints[0]
	}
	if holder.seen == nil {
		holder.seen = map[string]time.Duration{}
	}
	key := memory(m, u.Spec.DedupScopes[m.Class], ep.Zone)
	at, before := holder.seen[key]
	if before && now-at < window {
		u.obs.MessageTookEffect(u, m, true)
		return
	}
	holder.seen[key] = now
	if len(holder.seen) > 4096 { // forget what is out of every window
		for k, at := range holder.seen {
			if now-at > window {
				delete(holder.seen, k)
			}
		}
	}
	u.obs.MessageTookEffect(u, m, false)
}

func memory(m *model.Message, scope rules.DedupScope, zone int) string {
	key := []byte{byte(m.FirstTry), byte(m.FirstTry >> 8), byte(m.FirstTry >> 16), byte(m.FirstTry >> 24)}
	if scope == rules.DedupZone {
		key = append(key, byte(zone))
	}
	return string(key)
}

func (ep *Endpoint) next() {
	for ep.busy < ep.Unit.Spec.Servers && ep.paused == 0 && len(ep.queue) > 0 {
		j := ep.queue[0]
		ep.queue = ep.queue[1:]
		ep.serve(j)
	}
}

// release gives back what a call holds of the limit.
func (ep *Endpoint) release(j *job) {
	if ep.Unit.limit != nil && j.admitted {
		ep.Unit.limit.done()
	}
}

// CalledOff tells that the sender gave up a call.
func (ep *Endpoint) CallAbandoned(c *model.Call) {
	switch ep.Unit.Spec.DropAbandoned {
	case "none":
		return
	case "all":
		for j := range ep.run {
			if j.call == c {
				delete(ep.run, j)
				ep.busy--
				ep.release(j)
				ep.next()
				return
			}
		}
	}
	for i, j := range ep.queue {
		if j.call == c {
			ep.queue = append(ep.queue[:i], ep.queue[i+1:]...)
			ep.release(j)
			return
		}
	}
}

// Health is a shallow health call: whether the process answers and takes calls. It costs no slot and no limit.
func (ep *Endpoint) Healthy() bool {
	return ep.RefusingConnects == 0 && ep.Unresponsive == 0 && ep.Hanging == 0 && ep.RefusingCalls == 0 && !ep.Unit.Collapsed
}

// Free tells whether a call that arrived now would be admitted by all but the limit.
func (ep *Endpoint) HasCapacity() bool {
	return ep.Healthy() && !ep.Removed && !ep.Draining && ep.ErrorShare < 0.5 &&
		(len(ep.queue) == 0 || 3*len(ep.queue) < ep.Unit.Spec.Servers && len(ep.queue)+1 < ep.Unit.Spec.MaxQueued)
}

// Crash ends the process: all it had is reset, and connects are refused until Restart.
func (ep *Endpoint) Crash() {
	ep.RefusingConnects++
	ep.resetAll()
}

// Restart ends one Crash.
func (ep *Endpoint) Restart() { ep.RefusingConnects-- }

// fall ends the process for good.
func (ep *Endpoint) fall() {
	ep.RefusingConnects++
	ep.resetAll()
}

// resetAll breaks every connection and forgets all calls.
func (ep *Endpoint) resetAll() {
	jobs := ep.jobs()
	ep.queue, ep.stuck, ep.run, ep.busy = nil, nil, map[*job]bool{}, 0
	ep.Conns.CloseAll()
	for _, j := range jobs {
		ep.release(j)
		if ep.Unresponsive == 0 {
			j.call.Done(model.Outcome{Result: rules.Reset})
		}
	}
}

// jobs returns all calls at the endpoint, in an order that does not depend on the map.
func (ep *Endpoint) jobs() []*job {
	var jobs []*job
	for j := range ep.run {
		jobs = append(jobs, j)
	}
	sortJobs(jobs)
	jobs = append(jobs, ep.queue...)
	return append(jobs, ep.stuck...)
}

// Vanish cuts the endpoint off: open connections stay open and silent, new ones never come up.
func (ep *Endpoint) Vanish() {
	ep.Unresponsive++
	ep.Conns.BreakAll()
}

// Reappear ends one Vanish. The machine has lost all it had; who uses an old connection hears nothing or is reset.
func (ep *Endpoint) Reappear() {
	if ep.Unresponsive--; ep.Unresponsive == 0 {
		for _, j := range ep.jobs() {
			ep.release(j)
		}
		ep.queue, ep.stuck, ep.run, ep.busy = nil, nil, map[*job]bool{}, 0
	}
}

// OpensIn sets the end of the waits that the endpoint tells while it is shut.
func (ep *Endpoint) AnnounceReopening(d time.Duration) { ep.opens = ep.q.Now() + d }

// Hang makes the endpoint take calls and answer none.
func (ep *Endpoint) Hang() { ep.Hanging++ }

// Unhang ends one Hang: the process is restarted, and resets what it had.
func (ep *Endpoint) Unhang() {
	if ep.Hanging--; ep.Hanging == 0 {
		ep.resetAll()
	}
}

// Pause stops the endpoint's serving of new work, and Resume lets it go on.
func (ep *Endpoint) Pause() { ep.paused++ }

// Resume ends one Pause.
func (ep *Endpoint) Resume() {
	ep.paused--
	ep.next()
}

// BreakConnections leaves open connections half-broken: they stay open, and calls on them reach nobody.
func (ep *Endpoint) BreakConnections() { ep.Conns.BreakAll() }

// Load is how many calls are served, and how many wait.
func (ep *Endpoint) Load() (serving, waiting int) { return ep.busy, len(ep.queue) }

// Remove takes an endpoint away for good: its connections are reset, and it takes nothing more.
func (ep *Endpoint) Remove() {
	ep.Removed = true
	ep.resetAll()
}
