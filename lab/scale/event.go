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
func (r *run) event(st *stage, name string) []Row {
	sh := &sheet{axis: EventsAxis, of: map[string]*Row{}}
	row := sh.row(name)
	e, within := r.plan.Events, r.plan.Within.D()
	st.each(sh, func(s *sender, one *Row) error { return r.begin(st, s, one, "", within) })
	st.startAllHollow(sh, within)
	for _, one := range sh.rows {
		if one.Failure != "" {
			row.Failure = fmt.Sprintf("%s: %s", one.Subject, one.Failure)
			return []Row{*row}
		}
	}
	before := sum(st.gates)
	ctx, stop := context.WithCancel(st.ctx)
	defer stop()
	var wg sync.WaitGroup
	for _, s := range st.senders {
		wg.Go(func() { st.traffic(ctx, s, r.plan.Base.Messages, e.Deadline.D()) })
	}
	wg.Go(func() { st.changing(ctx, st.shape.changes) })
	d := &disturbance{run: r, stage: st, row: row, excused: map[int]time.Time{}}
	ok := st.sleep(e.Before.D())
	if ok {
		ok = map[string]func() bool{"restart_half": d.restartHalf, "discovery_away": d.discoveryAway, "cut_off": d.cutOff, "zone_down": d.zoneDown}[name]()
	}
	ok = ok && st.sleep(e.Before.D())
	stop()
	wg.Wait()
	if ok && st.settled(inForceWithin+time.Second) {
		row.Figures["normal"] = max(0, st.book.lastForced(d.lastOff).Sub(d.lastOff).Seconds())
	}
	// What is owed must have ended by its time; and a second copy of something may still come.
	for end := time.Now().Add(e.Deadline.D() + afterOutage); ok && st.book.owed() > 0 && time.Now().Before(end); {
		ok = st.sleep(20 * time.Millisecond)
	}
	if ok = ok && st.sleep(endWithin); !ok && row.Failure == "" {
		row.Failure = fmt.Sprint("broken off: ", context.Cause(st.ctx))
	}
	for _, s := range st.senders {
		if err := s.died(); err != nil {
			row.fail(fmt.Errorf("sender %d: %w", s.n, err))
		}
	}
	passed := sum(st.gates).less(before)
	row.Figures["event_bytes"], row.Figures["event_wholes"] = float64(passed.in+passed.out), float64(passed.wholes)
	row.Figures["watches"] = float64(st.disc.mostWatches.Load())
	d.judge()
	return []Row{*row}
}

// disturbance is what an event does, and from when on each real sender could end what it owed.
type disturbance struct {
	run     *run
	stage   *stage
	row     *Row
	excused map[int]time.Time
	lastOff time.Time // the end of the disturbance
	broken  hollowCounts
}

// restartHalf kills half of the senders at once and starts them again at once.
func (d *disturbance) restartHalf() bool {
	st := d.stage
	var wg sync.WaitGroup
	var mu sync.Mutex
	ok := true
	back := func(s *sender, f func() error) {
		if err := f(); err != nil {
			mu.Lock()
			defer mu.Unlock()
			d.row.fail(fmt.Errorf("sender %d did not come back: %w", s.n, err))
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
				st.book.returned(s.n, true, s.since())
				_, err := s.ready(st.ctx, 3*d.run.plan.Within.D())
				return err
			})
			mu.Lock()
			defer mu.Unlock()
			d.excused[s.n] = s.backAt()
		})
	}
	for i, h := range st.hollow[:len(st.hollow)/2] {
		wg.Go(func() {
			h.stop()
			mu.Lock()
			defer mu.Unlock()
			d.count(h)
			st.startHollow(i)
			st.book.returned(i, false, st.hollow[i].begun)
		})
	}
	wg.Wait()
	d.lastOff = time.Now()
	return ok
}

// discoveryAway takes discovery away from all, and brings it back.
func (d *disturbance) discoveryAway() bool {
	st := d.stage
	var wg sync.WaitGroup
	for _, g := range st.gates {
		wg.Go(g.down)
	}
	wg.Wait()
	if !st.sleep(d.run.plan.Events.Away.D()) {
		return false
	}
	for i, g := range st.gates {
		if err := g.up(); err != nil {
			d.row.fail(fmt.Errorf("the stand-in of discovery did not come back: %w", err))
			return false
		}
		d.returned(i)
	}
	d.lastOff = time.Now()
	return true
}

// cutOff lets nothing pass between discovery and a third of the senders: connections stay, silent.
func (d *disturbance) cutOff() bool {
	st := d.stage
	var cut []int
	for i := range st.gates {
		if i%3 == 0 {
			cut = append(cut, i)
			st.gates[i].cut(true)
		}
	}
	if !st.sleep(d.run.plan.Events.Cut.D()) {
		return false
	}
	for _, i := range cut {
		st.gates[i].cut(false)
		d.returned(i)
	}
	d.lastOff = time.Now()
	return true
}

// returned notes that the way of a sender to discovery is back.
func (d *disturbance) returned(i int) {
	st := d.stage
	back := st.gates[i].reachable()
	if i < st.shape.real {
		st.book.returned(i, true, back)
		d.excused[i] = back
		return
	}
	st.book.returned(i-st.shape.real, false, back)
}

// zoneDown takes the destinations of a zone down at once, and brings them back.
func (d *disturbance) zoneDown() bool {
	const zone = 2
	st := d.stage
	st.mu.Lock()
	st.shut = zone
	st.mu.Unlock()
	st.dests.down(zone)
	if !st.sleep(d.run.plan.Events.Zone.D()) {
		return false
	}
	st.book.zoneBack(zone)
	if err := st.dests.up(zone); err != nil {
		d.row.fail(fmt.Errorf("the destinations did not come back: %w", err))
		return false
	}
	d.lastOff = time.Now()
	if !st.sleep(burstSpan) {
		return false
	}
	d.row.Figures["burst"] = float64(st.book.mostCalls())
	st.mu.Lock()
	st.shut = -1
	st.mu.Unlock()
	return true
}

func (d *disturbance) count(h *hollow) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d.broken.closed += h.counts.closed
	d.broken.double += h.counts.double
	d.broken.late += h.counts.late
}

// judge writes the judge's figures and its verdict.
func (d *disturbance) judge() {
	st, row := d.stage, d.row
	v := st.book.judge(func(sender int) time.Time { return d.excused[sender] })
	now := time.Now()
	real, hollow := st.book.delays(0, true, -1, now), st.book.delays(0, false, -1, now)
	for _, h := range st.hollow {
		d.count(h)
	}
	both := delays{took: append(real.took, hollow.took...), late: real.late + hollow.late, missing: real.missing + hollow.missing}
	put(row, both)
	broken := d.broken.closed + d.broken.double + d.broken.late
	for name, n := range map[string]int{"handed": v.handed, "taken": v.taken, "delivered": v.delivered, "told": v.told, "lost": v.lost, "doubled": v.doubled,
		"ended_late": v.late, "stale": v.stale, "hollow_broken": broken} {
		row.Figures[name] = float64(n)
	}
	pending := real.pending + hollow.pending
	switch {
	case row.Failure != "":
		row.Verdict = "not judged"
	case v.first != "":
		row.Verdict = "broken: " + v.first
	case broken > 0:
		row.Verdict = fmt.Sprintf("broken: modules of hollow senders made %d calls to what drains and %d for what is out or over, and left %d messages without an end",
			d.broken.closed, d.broken.double, d.broken.late)
	case both.late > 0:
		row.Verdict = fmt.Sprintf("broken: %d changes were not in force within %v, the slowest after %v", both.late, inForceWithin,
			max(real.worst, hollow.worst).Round(time.Millisecond))
	case pending > 0:
		row.Verdict = fmt.Sprintf("broken: %d changes are not in force at the end", pending)
	case v.taken == 0 || len(both.took) == 0:
		row.Verdict = "broken: nothing was taken on or changed"
	default:
		row.Verdict = "kept"
	}
}
