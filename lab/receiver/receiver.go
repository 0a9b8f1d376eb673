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
	Servers   int
	Queue     int
	Service   random.Times // of a call with one message of a class whose work is 1
	Pace      float64      // service times are multiplied by it
	Work      []float64    // by class
	BatchCost float64
	Batch     int
	Drops     string // none, queued or all
	Reports   bool
	Tells     float64
	Remembers []time.Duration    // by class: how long a key is remembered, 0 for classes without
	Scopes    []rules.DedupScope // by class

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
	Arrived(u *Unit, c *model.Call)
	// Ran tells that a message took effect; repeat tells that it had before, within what the class allows or not.
	Ran(u *Unit, m *model.Message, repeat bool)
	// Outage tells that an outage began or ended.
	Outage(u *Unit, begins bool)
	// Weighed tells what a cold unit was sent within the span up to now, and above how much it falls over.
	Weighed(u *Unit, window []Arrival, allowed float64)
	// Fell tells that a cold unit was sent too much and stays down; senders holds who sent how much of it.
	Fell(u *Unit, senders map[int]float64)
	// Refused tells that a unit turned a call away, for its limit if limit is set.
	Refused(u *Unit, c *model.Call, limit bool)
}

// Endpoint is one place that serves calls.
type Endpoint struct {
	ID      rules.EndpointID
	Unit    *Unit
	Zone    int
	Number  int
	Table   network.Table
	Removed bool // drained and gone
	Closing bool // drains

	q      *clock.Queue
	line   *clock.Line
	r      *rand.Rand
	busy   int
	queue  []*job
	run    map[*job]bool
	stuck  []*job // taken while hung
	paused int
	seen   map[string]time.Duration
	born   time.Duration
	opens  time.Duration // while it is shut, the wait that it tells lasts until then

	Refusing int     // connects are refused
	Dark     int     // silent: nothing gets in or out
	Hung     int     // takes calls, answers none
	Shut     int     // turns all away
	Failing  float64 // share of calls that fail at once
	Losing   float64 // share of answers that are lost
	Slow     float64 // service times are multiplied by it
}

type job struct {
	call     *model.Call
	conn     *network.Conn
	admitted bool // by the limit
}

// NewEndpoint returns an endpoint of a unit, which it joins.
func NewEndpoint(id rules.EndpointID, number, zone int, u *Unit, cap int, q *clock.Queue, r *rand.Rand) *Endpoint {
	ep := &Endpoint{ID: id, Number: number, Unit: u, Zone: zone, Table: network.Table{Cap: cap}, q: q,
		line: q.Line(clock.Receive, 2*number), r: r, run: map[*job]bool{}, born: q.Now(), Slow: 1}
	u.Endpoints = append(u.Endpoints, ep)
	return ep
}

// Connect answers an attempt to open a connection: a connection, a refusal, the word that it holds all it can (full), or
// nothing at all.
func (ep *Endpoint) Connect(p *network.Pool, now time.Duration) (c *network.Conn, full, silent bool) {
	switch {
	case ep.Dark > 0:
		return nil, false, true
	case ep.Refusing > 0 || ep.Unit.Fallen || ep.Removed:
		return nil, false, false
	}
	c = ep.Table.Accept(p, now)
	return c, c == nil, false
}

// Take takes a call that has arrived. Its Done is told the outcome, now or later, or never.
func (ep *Endpoint) Take(c *model.Call, conn *network.Conn) {
	now := ep.q.Now()
	u := ep.Unit
	if conn.Dead || ep.Dark > 0 { // the bytes reach nobody
		return
	}
	u.obs.Arrived(u, c)
	u.weigh(now, ep, c)
	if !c.Gone && !conn.Open() {
		c.Done(model.Outcome{What: rules.Reset})
		return
	}
	if ep.Hung > 0 {
		ep.stuck = append(ep.stuck, &job{call: c, conn: conn})
		return
	}
	if ep.Shut > 0 {
		ep.refuse(c, max(0, ep.opens-now), false)
		return
	}
	if ep.Failing > 0 && ep.r.Float64() < ep.Failing {
		c.Done(model.Outcome{What: rules.Errored, Report: ep.report(now)})
		return
	}
	if u.limit != nil {
		if ok, wait := u.limit.admit(now, u.Share(now)); !ok {
			ep.refuse(c, wait, true)
			return
		}
	}
	ep.enqueue(&job{call: c, conn: conn, admitted: true})
}

func (ep *Endpoint) refuse(c *model.Call, wait time.Duration, byLimit bool) {
	u := ep.Unit
	u.Refusals++
	if wait > 0 && !(ep.r.Float64() < u.Spec.Tells) {
		wait = 0
	}
	u.obs.Refused(u, c, byLimit)
	c.Done(model.Outcome{What: rules.Refused, Wait: wait, Report: ep.report(ep.q.Now())})
}

func (ep *Endpoint) report(now time.Duration) rules.Report {
	if !ep.Unit.Spec.Reports || ep.Unit.limit == nil {
		return rules.Report{}
	}
	return ep.Unit.limit.report(now)
}

func (ep *Endpoint) enqueue(j *job) {
	if ep.busy < ep.Unit.Spec.Servers && ep.paused == 0 {
		ep.serve(j)
		return
	}
	if len(ep.queue) >= ep.Unit.Spec.Queue {
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
	work := u.Spec.Work[j.call.Messages[0].Class]
	d := u.Spec.Service.Draw(ep.r).Seconds() * u.Spec.Pace * work * ep.Slow / ep.share()
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
	if ep.Hung > 0 {
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
	out := model.Outcome{What: rules.OK, Report: ep.report(ep.q.Now())}
	out.Silent = ep.Dark > 0 || j.conn.Dead || ep.Losing > 0 && ep.r.Float64() < ep.Losing
	j.call.Done(out)
	ep.next()
}

// effect books that a message ran, and whether it had before.
func (ep *Endpoint) effect(m *model.Message) {
	u, now := ep.Unit, ep.q.Now()
	window := u.Spec.Remembers[m.Class]
	if window == 0 {
		u.obs.Ran(u, m, false)
		return
	}
	holder := ep
	if u.Spec.Scopes[m.Class] == rules.DedupDestination {
		holder = u.Endpoints[0]
	}
	if holder.seen == nil {
		holder.seen = map[string]time.Duration{}
	}
	key := memory(m, u.Spec.Scopes[m.Class], ep.Zone)
	at, before := holder.seen[key]
	if before && now-at < window {
		u.obs.Ran(u, m, true)
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
	u.obs.Ran(u, m, false)
}

func memory(m *model.Message, scope rules.DedupScope, zone int) string {
	key := []byte{byte(m.First), byte(m.First >> 8), byte(m.First >> 16), byte(m.First >> 24)}
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
func (ep *Endpoint) CalledOff(c *model.Call) {
	switch ep.Unit.Spec.Drops {
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
func (ep *Endpoint) Health() bool {
	return ep.Refusing == 0 && ep.Dark == 0 && ep.Hung == 0 && ep.Shut == 0 && !ep.Unit.Fallen
}

// Free tells whether a call that arrived now would be admitted by all but the limit.
func (ep *Endpoint) Free() bool {
	return ep.Health() && !ep.Removed && !ep.Closing && ep.Failing < 0.5 &&
		(len(ep.queue) == 0 || 3*len(ep.queue) < ep.Unit.Spec.Servers && len(ep.queue)+1 < ep.Unit.Spec.Queue)
}

// Crash ends the process: all it had is reset, and connects are refused until Restart.
func (ep *Endpoint) Crash() {
	ep.Refusing++
	ep.resetAll()
}

// Restart ends one Crash.
func (ep *Endpoint) Restart() { ep.Refusing-- }

// fall ends the process for good.
func (ep *Endpoint) fall() {
	ep.Refusing++
	ep.resetAll()
}

// resetAll breaks every connection and forgets all calls.
func (ep *Endpoint) resetAll() {
	jobs := ep.jobs()
	ep.queue, ep.stuck, ep.run, ep.busy = nil, nil, map[*job]bool{}, 0
	ep.Table.Reset()
	for _, j := range jobs {
		ep.release(j)
		if ep.Dark == 0 {
			j.call.Done(model.Outcome{What: rules.Reset})
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
	ep.Dark++
	ep.Table.Kill()
}

// Reappear ends one Vanish. The machine has lost all it had; who uses an old connection hears nothing or is reset.
func (ep *Endpoint) Reappear() {
	if ep.Dark--; ep.Dark == 0 {
		for _, j := range ep.jobs() {
			ep.release(j)
		}
		ep.queue, ep.stuck, ep.run, ep.busy = nil, nil, map[*job]bool{}, 0
	}
}

// OpensIn sets the end of the waits that the endpoint tells while it is shut.
func (ep *Endpoint) OpensIn(d time.Duration) { ep.opens = ep.q.Now() + d }

// Hang makes the endpoint take calls and answer none.
func (ep *Endpoint) Hang() { ep.Hung++ }

// Unhang ends one Hang: the process is restarted, and resets what it had.
func (ep *Endpoint) Unhang() {
	if ep.Hung--; ep.Hung == 0 {
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
func (ep *Endpoint) BreakConnections() { ep.Table.Kill() }

// Load is how many calls are served, and how many wait.
func (ep *Endpoint) Load() (serving, waiting int) { return ep.busy, len(ep.queue) }

// Remove takes an endpoint away for good: its connections are reset, and it takes nothing more.
func (ep *Endpoint) Remove() {
	ep.Removed = true
	ep.resetAll()
}
