// This file owns the events at size: what is disturbed, for how long, and what the judge has to say. Traffic and changes go on
// throughout, and some destinations are down all along.

package scale

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// event plays one event between two spans of plain traffic.
func (r *run) playEvent(st *environment, name string) []Row {
	sh := &rowSet{axis: EventsAxis, bySubject: map[string]*Row{}}
	row := sh.row(name)
	e, within := r.plan.Events, r.plan.Within.D()
	st.forEachSender(sh, func(s *realSender, one *Row) error { return r.startSender(st, s, one, "", within) })
	st.startAllSimulated(sh, within)
	for _, one := range sh.rows {
		if one.Failure != "" {
			row.Failure = fmt.Sprintf("%s: %s", one.Subject, one.Failure)
			return []Row{*row}
		}
	}
	before := totalCounts(st.gateways)
	ctx, stop := context.WithCancel(st.ctx)
	defer stop()
	var wg sync.WaitGroup
	for _, s := range st.senders {
		wg.Go(func() { st.runTraffic(ctx, s, r.plan.Base.Messages, e.Deadline.D()) })
	}
	wg.Go(func() { st.runChanges(ctx, st.setup.changes) })
	d := &disturbance{run: r, env: st, row: row, excusedUntil: map[int]time.Time{}}
	ok := st.sleep(e.Before.D())
	if ok {
		ok = map[string]func() bool{"restart_half": d.restartHalf, "discovery_away": d.discoveryAway, "cut_off": d.cutOff, "zone_down": d.zoneDown}[name]()
	}
	ok = ok && st.sleep(e.Before.D())
	stop()
	wg.Wait()
	if ok && st.waitAdopted(maxChangeDelay+time.Second) {
		row.Figures["normal"] = max(0, st.tracker.lastAdoption(d.endedAt).Sub(d.endedAt).Seconds())
	}
	// What is owed must have ended by its time; and a second copy of something may still come.
	for end := time.Now().Add(e.Deadline.D() + outageGrace); ok && st.tracker.unfinished() > 0 && time.Now().Before(end); {
		ok = st.sleep(20 * time.Millisecond)
	}
	if ok = ok && st.sleep(deadlineGrace); !ok && row.Failure == "" {
		row.Failure = fmt.Sprint("broken off: ", context.Cause(st.ctx))
	}
	for _, s := range st.senders {
		if err := s.unexpectedExit(); err != nil {
			row.fail(fmt.Errorf("sender %d: %w", s.index, err))
		}
	}
	passed := totalCounts(st.gateways).minus(before)
	row.Figures["event_bytes"], row.Figures["event_wholes"] = float64(passed.received+passed.sent), float64(passed.fullLists)
	row.Figures["watches"] = float64(st.discovery.maxWatches.Load())
	d.judge()
	return []Row{*row}
}

// disturbance is what an event does, and from when on each real sender could end what it owed.
type disturbance struct {
	run          *run
	env          *environment
	row          *Row
	excusedUntil map[int]time.Time
	endedAt      time.Time // the end of the disturbance
	violations   simulatedCounts
}

// restartHalf kills half of the senders at once and starts them again at once.
func (d *disturbance) restartHalf() bool {
	st := d.env
	var wg sync.WaitGroup
	var mu sync.Mutex
	ok := true
	back := func(s *realSender, f func() error) {
		if err := f(); err != nil {
			mu.Lock()
			defer mu.Unlock()
			d.row.fail(fmt.Errorf("sender %d did not come back: %w", s.index, err))
			ok = false
		}
	}
	for _, s := range st.senders[:len(st.senders)/2] {
		wg.Go(func() {
			s.kill()
			back(s, func() error {
				if err := s.start(st.ctx); err != nil {
					return err
				}
				st.tracker.markReachable(s.index, true, s.startTime())
				_, err := s.waitReady(st.ctx, 3*d.run.plan.Within.D())
				return err
			})
			mu.Lock()
			defer mu.Unlock()
			d.excusedUntil[s.index] = s.readyTime()
		})
	}
	for i, h := range st.simulated[:len(st.simulated)/2] {
		wg.Go(func() {
			h.stop()
			mu.Lock()
			defer mu.Unlock()
			d.addViolations(h)
			st.startSimulated(i)
			st.tracker.markReachable(i, false, st.simulated[i].startedAt)
		})
	}
	wg.Wait()
	d.endedAt = time.Now()
	return ok
}

// discoveryAway takes discovery away from all, and brings it back.
func (d *disturbance) discoveryAway() bool {
	st := d.env
	var wg sync.WaitGroup
	for _, g := range st.gateways {
		wg.Go(g.stop)
	}
	wg.Wait()
	if !st.sleep(d.run.plan.Events.Away.D()) {
		return false
	}
	for i, g := range st.gateways {
		if err := g.start(); err != nil {
			d.row.fail(fmt.Errorf("the stand-in of discovery did not come back: %w", err))
			return false
		}
		d.markReachable(i)
	}
	d.endedAt = time.Now()
	return true
}

// cutOff lets nothing pass between discovery and a third of the senders: connections stay, silent.
func (d *disturbance) cutOff() bool {
	st := d.env
	var cut []int
	for i := range st.gateways {
		if i%3 == 0 {
			cut = append(cut, i)
			st.gateways[i].setCutOff(true)
		}
	}
	if !st.sleep(d.run.plan.Events.Cut.D()) {
		return false
	}
	for _, i := range cut {
		st.gateways[i].setCutOff(false)
		d.markReachable(i)
	}
	d.endedAt = time.Now()
	return true
}

// returned notes that the way of a sender to discovery is back.
func (d *disturbance) markReachable(i int) {
	st := d.env
	back := st.gateways[i].reachableSince()
	if i < st.setup.real {
		st.tracker.markReachable(i, true, back)
		d.excusedUntil[i] = back
		return
	}
	st.tracker.markReachable(i-st.setup.real, false, back)
}

// zoneDown takes the destinations of a zone down at once, and brings them back.
func (d *disturbance) zoneDown() bool {
	const zone = 2
	st := d.env
	st.mu.Lock()
	st.stoppedZone = zone
	st.mu.Unlock()
	st.destinations.stopZone(zone)
	if !st.sleep(d.run.plan.Events.Zone.D()) {
		return false
	}
	st.tracker.startBurstCount(zone)
	if err := st.destinations.startZone(zone); err != nil {
		d.row.fail(fmt.Errorf("the destinations did not come back: %w", err))
		return false
	}
	d.endedAt = time.Now()
	if !st.sleep(burstWindow) {
		return false
	}
	d.row.Figures["burst"] = float64(st.tracker.maxBurstCalls())
	st.mu.Lock()
	st.stoppedZone = -1
	st.mu.Unlock()
	return true
}

func (d *disturbance) addViolations(h *simulatedSender) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d.violations.callsToUnavailable += h.counts.callsToUnavailable
	d.violations.redundantCalls += h.counts.redundantCalls
	d.violations.overdue += h.counts.overdue
}

// judge writes the judge's figures and its verdict.
func (d *disturbance) judge() {
	st, row := d.env, d.row
	v := st.tracker.judge(func(sender int) time.Time { return d.excusedUntil[sender] })
	now := time.Now()
	real, hollow := st.tracker.changeDelays(0, true, -1, now), st.tracker.changeDelays(0, false, -1, now)
	for _, h := range st.simulated {
		d.addViolations(h)
	}
	both := delayStats{delaysMS: append(real.delaysMS, hollow.delaysMS...), late: real.late + hollow.late, missing: real.missing + hollow.missing}
	putDelays(row, both)
	broken := d.violations.callsToUnavailable + d.violations.redundantCalls + d.violations.overdue
	for name, n := range map[string]int{"handed": v.submitted, "taken": v.accepted, "delivered": v.delivered, "told": v.notified, "lost": v.lost, "doubled": v.duplicated,
		"ended_late": v.late, "stale": v.stale, "hollow_broken": broken} {
		row.Figures[name] = float64(n)
	}
	pending := real.pending + hollow.pending
	switch {
	case row.Failure != "":
		row.Verdict = "not judged"
	case v.firstViolation != "":
		row.Verdict = "broken: " + v.firstViolation
	case broken > 0:
		row.Verdict = fmt.Sprintf("broken: modules of hollow senders made %d calls to what drains and %d for what is out or over, and left %d messages without an end",
			d.violations.callsToUnavailable, d.violations.redundantCalls, d.violations.overdue)
	case both.late > 0:
		row.Verdict = fmt.Sprintf("broken: %d changes were not in force within %v, the slowest after %v", both.late, maxChangeDelay,
			max(real.longest, hollow.longest).Round(time.Millisecond))
	case pending > 0:
		row.Verdict = fmt.Sprintf("broken: %d changes are not in force at the end", pending)
	case v.accepted == 0 || len(both.delaysMS) == 0:
		row.Verdict = "broken: nothing was taken on or changed"
	default:
		row.Verdict = "kept"
	}
}
