// This file owns the events: what is disturbed, for how long, and the judge's verdict. Traffic and changes go on
// throughout, and some destinations are down all the time. A verdict must never be given on an event that could not be
// played.

package scale

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// adoptionSlack is how much longer than the limit is waited for changes to be adopted, so that late ones are seen.
	adoptionSlack = time.Second

	// endPollInterval is how often the end of all messages is checked.
	endPollInterval = 20 * time.Millisecond

	// cutOffEvery is the distance between the senders that are cut off: every third.
	cutOffEvery = 3

	// eventZone is the zone that goes down.
	eventZone = 2

	// noZone is the value of environment.stoppedZone while no zone is down.
	noZone = -1
)

// playEvent plays one event between two spans of undisturbed traffic.
func (r *run) playEvent(env *environment, name string) []Row {
	set := &rowSet{axis: EventsAxis, bySubject: map[string]*Row{}}
	row := set.row(name)
	e, within := r.plan.Events, r.plan.Within.D()
	env.forEachSender(set, func(s *realSender, senderRow *Row) error {
		return r.startSender(env, s, senderRow, "", within)
	})
	env.startAllSimulated(set, within)
	for _, started := range set.rows {
		if started.Failure != "" {
			row.Failure = fmt.Sprintf("%s: %s", started.Subject, started.Failure)
			return []Row{*row}
		}
	}
	before := totalCounts(env.gateways)
	ctx, stop := context.WithCancel(env.ctx)
	defer stop()
	var wg sync.WaitGroup
	for _, s := range env.senders {
		wg.Go(func() { env.runTraffic(ctx, s, r.plan.Base.Messages, e.Deadline.D()) })
	}
	wg.Go(func() { env.runChanges(ctx, env.setup.changes) })
	d := &disturbance{run: r, env: env, row: row, excusedUntil: map[int]time.Time{}}
	ok := env.sleep(e.Before.D())
	if ok {
		play := map[string]func() bool{
			"restart_half":   d.restartHalf,
			"discovery_away": d.discoveryAway,
			"cut_off":        d.cutOff,
			"zone_down":      d.zoneDown,
		}
		ok = play[name]()
	}
	ok = ok && env.sleep(e.Before.D())
	stop()
	wg.Wait()
	if ok && env.waitAdopted(maxChangeDelay+adoptionSlack) {
		row.Figures["normal"] = max(0, env.tracker.lastAdoption(d.endedAt).Sub(d.endedAt).Seconds())
	}
	// Unfinished messages get until outageGrace after their deadline to end. After that, a duplicate of a message may
	// still arrive.
	latestEnd := time.Now().Add(e.Deadline.D() + outageGrace)
	for ok && env.tracker.unfinished() > 0 && time.Now().Before(latestEnd) {
		ok = env.sleep(endPollInterval)
	}
	if ok = ok && env.sleep(deadlineGrace); !ok && row.Failure == "" {
		row.Failure = fmt.Sprint("interrupted: ", context.Cause(env.ctx))
	}
	for _, s := range env.senders {
		if err := s.unexpectedExit(); err != nil {
			row.fail(fmt.Errorf("sender %d: %w", s.index, err))
		}
	}
	passed := totalCounts(env.gateways).minus(before)
	row.Figures["event_bytes"] = float64(passed.received + passed.sent)
	row.Figures["event_wholes"] = float64(passed.fullLists)
	row.Figures["watches"] = float64(env.discovery.maxWatches.Load())
	d.judge()
	return []Row{*row}
}

// disturbance is an event under way. Its methods named after events return false if the event could not be played.
type disturbance struct {
	run          *run
	env          *environment
	row          *Row
	excusedUntil map[int]time.Time // by real sender: when it could end messages again
	endedAt      time.Time
	violations   simulatedCounts // by the modules of simulated senders
}

// restartHalf kills half of the senders at the same time and restarts each at once.
func (d *disturbance) restartHalf() bool {
	env := d.env
	var wg sync.WaitGroup
	var mu sync.Mutex
	ok := true
	for _, s := range env.senders[:len(env.senders)/2] {
		wg.Go(func() {
			s.kill()
			err := d.restart(s)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				d.row.fail(fmt.Errorf("sender %d did not restart: %w", s.index, err))
				ok = false
			}
			d.excusedUntil[s.index] = s.readyTime()
		})
	}
	for i, sim := range env.simulated[:len(env.simulated)/2] {
		wg.Go(func() {
			sim.stop()
			mu.Lock()
			defer mu.Unlock()
			d.addViolations(sim)
			env.startSimulated(i)
			env.tracker.markReachable(i, false, env.simulated[i].startedAt)
		})
	}
	wg.Wait()
	d.endedAt = time.Now()
	return ok
}

// restart starts a killed sender and waits until it is ready.
func (d *disturbance) restart(s *realSender) error {
	if err := s.start(d.env.ctx); err != nil {
		return err
	}
	d.env.tracker.markReachable(s.index, true, s.startTime())
	_, err := s.waitReady(d.env.ctx, restartTimeoutFactor*d.run.plan.Within.D())
	return err
}

// discoveryAway takes discovery down for all senders, and brings it back.
func (d *disturbance) discoveryAway() bool {
	env := d.env
	var wg sync.WaitGroup
	for _, g := range env.gateways {
		wg.Go(g.stop)
	}
	wg.Wait()
	if !env.sleep(d.run.plan.Events.Away.D()) {
		return false
	}
	for i, g := range env.gateways {
		if err := g.start(); err != nil {
			d.row.fail(fmt.Errorf("restarting the stand-in discovery: %w", err))
			return false
		}
		d.markReachable(i)
	}
	d.endedAt = time.Now()
	return true
}

// cutOff simulates a network partition between discovery and a third of the senders: connections stay open, but nothing
// passes.
func (d *disturbance) cutOff() bool {
	env := d.env
	var cut []int
	for i := range env.gateways {
		if i%cutOffEvery == 0 {
			cut = append(cut, i)
			env.gateways[i].setCutOff(true)
		}
	}
	if !env.sleep(d.run.plan.Events.Cut.D()) {
		return false
	}
	for _, i := range cut {
		env.gateways[i].setCutOff(false)
		d.markReachable(i)
	}
	d.endedAt = time.Now()
	return true
}

// markReachable records that the gateway of a given index is back.
func (d *disturbance) markReachable(i int) {
	env := d.env
	back := env.gateways[i].reachableSince()
	if i < env.setup.real {
		env.tracker.markReachable(i, true, back)
		d.excusedUntil[i] = back
		return
	}
	env.tracker.markReachable(i-env.setup.real, false, back)
}

// zoneDown takes all destinations of a zone down at the same time, and brings them back.
func (d *disturbance) zoneDown() bool {
	env := d.env
	env.mu.Lock()
	env.stoppedZone = eventZone
	env.mu.Unlock()
	env.destinations.stopZone(eventZone)
	if !env.sleep(d.run.plan.Events.Zone.D()) {
		return false
	}
	env.tracker.startBurstCount(eventZone)
	if err := env.destinations.startZone(eventZone); err != nil {
		d.row.fail(fmt.Errorf("restarting the zone's destinations: %w", err))
		return false
	}
	d.endedAt = time.Now()
	if !env.sleep(burstWindow) {
		return false
	}
	d.row.Figures["burst"] = float64(env.tracker.maxBurstCalls())
	env.mu.Lock()
	env.stoppedZone = noZone
	env.mu.Unlock()
	return true
}

// addViolations adds the rule violations that a simulated sender counted.
func (d *disturbance) addViolations(sim *simulatedSender) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	d.violations.callsToUnavailable += sim.counts.callsToUnavailable
	d.violations.redundantCalls += sim.counts.redundantCalls
	d.violations.overdue += sim.counts.overdue
}

// judge writes the judge's figures and verdict into the row.
func (d *disturbance) judge() {
	env, row := d.env, d.row
	v := env.tracker.judge(func(sender int) time.Time { return d.excusedUntil[sender] })
	now := time.Now()
	real := env.tracker.changeDelays(0, true, allSenders, now)
	simulated := env.tracker.changeDelays(0, false, allSenders, now)
	for _, sim := range env.simulated {
		d.addViolations(sim)
	}
	both := delayStats{
		delaysMS: append(real.delaysMS, simulated.delaysMS...),
		late:     real.late + simulated.late,
		missing:  real.missing + simulated.missing,
	}
	putDelays(row, both)
	broken := d.violations.callsToUnavailable + d.violations.redundantCalls + d.violations.overdue
	for name, n := range map[string]int{
		"handed": v.submitted, "taken": v.accepted, "delivered": v.delivered, "told": v.notified,
		"lost": v.lost, "doubled": v.duplicated, "ended_late": v.late, "stale": v.stale, "hollow_broken": broken,
	} {
		row.Figures[name] = float64(n)
	}
	pending := real.pending + simulated.pending
	switch {
	case row.Failure != "":
		row.Verdict = "not judged"
	case v.firstViolation != "":
		row.Verdict = "broken: " + v.firstViolation
	case broken > 0:
		row.Verdict = fmt.Sprintf("broken: modules of hollow senders made %d calls to what drains"+
			" and %d for what is out or over, and left %d messages without an end",
			d.violations.callsToUnavailable, d.violations.redundantCalls, d.violations.overdue)
	case both.late > 0:
		row.Verdict = fmt.Sprintf("broken: %d changes were not in force within %v, the slowest after %v",
			both.late, maxChangeDelay, max(real.longest, simulated.longest).Round(time.Millisecond))
	case pending > 0:
		row.Verdict = fmt.Sprintf("broken: %d changes are not in force at the end", pending)
	case v.accepted == 0 || len(both.delaysMS) == 0:
		row.Verdict = "broken: nothing was taken on or changed"
	default:
		row.Verdict = "kept"
	}
}
