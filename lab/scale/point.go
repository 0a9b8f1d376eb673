// This file owns what is measured at a point of an axis, and in which order. A figure that could not be measured must
// never be in a row.

package scale

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"
)

// figure describes a column of the results. An empty unit is a number of things.
type figure struct{ Name, Unit, Description string }

// Figures are the columns, in order. Descriptions that begin with "simulated" are of the row of all simulated senders.
var Figures = []figure{
	{"ready", "s", "time from a process's start to its first 200 on /health/ready"},
	{"list", "s", "time from the start until a message is accepted for a destination that only discovery's list has;" +
		" simulated: until the module's first list, median of the senders"},
	{"list_max", "s", "simulated: the same, the slowest sender"},
	{"cpu_start", "s", "processor time until the list"},
	{"start_control", "B", "bytes from discovery until the list"},
	{"intake", "1/s", "messages accepted a second, over 128 connections, while the messages to be held are submitted"},
	{"held", "", "messages held while idle, as the sender's own counter reports"},
	{"resident", "B", "resident memory while idle"},
	{"resident_peak", "B", "largest resident memory so far"},
	{"heap", "B", "bytes in heap objects, garbage included; simulated: of one sender, after a collection"},
	{"heap_live", "B", "bytes in heap objects that the last collection found in use"},
	{"cpu_rest", "cores", "processor time a second without traffic and changes"},
	{"cpu_busy", "cores", "processor time a second with traffic and changes"},
	{"control_rest", "B/s", "bytes from and to discovery a second without changes"},
	{"control_busy", "B/s", "bytes from and to discovery a second with changes"},
	{"calls_rest", "1/s", "requests to discovery a second without changes"},
	{"calls_busy", "1/s", "requests to discovery a second with changes"},
	{"watches", "", "largest number of watches open at once"},
	{"changes", "", "changes times senders that were timed"},
	{"force_p50", "ms", "time from a change to the first call by it, median; simulated: to the step that had it"},
	{"force_p99", "ms", "the same, 99th percentile"},
	{"force_max", "ms", "the same, the longest"},
	{"force_late", "", "of the timed changes, those not adopted within 13 s"},
	{"step_p50", "us", "simulated: time of a step of the module, median"},
	{"step_p99", "us", "simulated: the same, 99th percentile"},
	{"step_max", "us", "simulated: the same, the longest"},
	{"failure_control", "B", "bytes from discovery until a watch is open again after the connection was closed"},
	{"restart_ready", "s", "as ready, after SIGKILL and a restart with the same state directory"},
	{"restart_list", "s", "as list, after that restart"},
	{"restart_control", "B", "as start_control, after that restart"},
	{"restart_resident", "B", "as resident, after that restart"},
	{"handed", "", "messages submitted"},
	{"taken", "", "messages accepted"},
	{"delivered", "", "accepted messages that reached their destination"},
	{"told", "", "accepted messages that a notice reported as undelivered"},
	{"lost", "", "accepted messages without a delivery or notice"},
	{"doubled", "", "at-most-once messages delivered twice, or delivered and reported as safe to submit again"},
	{"ended_late", "", "messages that ended after their deadline and the protocol's slack"},
	{"stale", "", "calls by an old list after one by the new list"},
	{"hollow_broken", "", "rules broken by modules of simulated senders: calls to draining endpoints, two calls" +
		" at once, no end in time"},
	{"event_bytes", "B", "bytes from and to discovery during the event"},
	{"event_wholes", "", "full lists among discovery's answers"},
	{"normal", "s", "time from the end of the disturbance until every sender has adopted all changes"},
	{"burst", "", "largest number of calls at one destination within 2 s of a zone's return"},
}

const (
	// restartTimeoutFactor and heldTimeoutFactor multiply the plan's time limit where a sender has more to do than at a
	// first start: after a restart with state, and while it accepts the messages to be held.
	restartTimeoutFactor = 3
	heldTimeoutFactor    = 12

	countersTimeout = 5 * time.Second  // until a process has logged its counters
	watchTimeout    = 10 * time.Second // until a watch is open again after a failure
	busyDeadline    = 2 * time.Second  // of the messages of the traffic at a point

	listPollInterval     = 20 * time.Millisecond
	adoptionPollInterval = 10 * time.Millisecond
)

// reading is the state of a sender at one moment.
type reading struct {
	at      time.Time
	usage   processUsage
	gateway gatewayCounts
	valid   bool
}

func takeReading(s *realSender) reading {
	u, err := readUsage(s.pid())
	return reading{time.Now(), u, s.gateway.counts(), err == nil}
}

// rowSet collects the rows of a step.
type rowSet struct {
	axis      string
	value     int
	mu        sync.Mutex
	rows      []*Row
	bySubject map[string]*Row
}

// row returns the row of a subject, which it creates if necessary.
func (rs *rowSet) row(subject string) *Row {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if r := rs.bySubject[subject]; r != nil {
		return r
	}
	r := &Row{Axis: rs.axis, Value: rs.value, Subject: subject, Figures: map[string]float64{}}
	rs.rows = append(rs.rows, r)
	rs.bySubject[subject] = r
	return r
}

// all returns the rows: those of real senders first, then those of the simulated senders and of discovery.
func (rs *rowSet) all() []Row {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var out []Row
	for _, r := range rs.rows {
		out = append(out, *r)
	}
	slices.SortStableFunc(out, func(a, b Row) int { return subjectOrder(a.Subject) - subjectOrder(b.Subject) })
	return out
}

func subjectOrder(subject string) int {
	return map[string]int{simulatedSubject: 1, discoverySubject: 2}[subject]
}

// fail records why a row could not be measured. The first reason is kept.
func (r *Row) fail(err error) {
	if err != nil && r.Failure == "" {
		r.Failure = err.Error()
	}
}

func senderSubject(s *realSender) string { return fmt.Sprint("r", s.index) }

// forEachSender calls f for every real sender whose row has not failed, concurrently, and records errors and unexpected
// exits in the rows.
func (env *environment) forEachSender(set *rowSet, f func(*realSender, *Row) error) {
	var wg sync.WaitGroup
	for _, s := range env.senders {
		row := set.row(senderSubject(s))
		if row.Failure != "" {
			continue
		}
		wg.Go(func() {
			err := f(s, row)
			if err == nil {
				err = s.unexpectedExit()
			}
			row.fail(err)
		})
	}
	wg.Wait()
}

// playPoint plays one point of an axis.
func (r *run) playPoint(env *environment, axis string, value int) []Row {
	set := &rowSet{axis: axis, value: value, bySubject: map[string]*Row{}}
	discoveryRow := set.row(discoverySubject)
	within, settle, window := r.plan.Within.D(), r.plan.Settle.D(), r.plan.Window.D()
	env.forEachSender(set, func(s *realSender, row *Row) error {
		return r.startSender(env, s, row, "", within)
	})
	env.startAllSimulated(set, within)
	isMeasurable := func(r *Row) bool { return r != discoveryRow && r.Failure == "" }
	if !slices.ContainsFunc(set.rows, isMeasurable) {
		discoveryRow.Failure = "no sender has the list"
		return set.all()
	}
	if n := env.setup.held + env.setup.unfinished; n > 0 {
		env.forEachSender(set, func(s *realSender, row *Row) error {
			accepted, took := env.submitHeld(env.ctx, s, n, heldTimeoutFactor*within)
			row.Figures["intake"] = float64(accepted) / took.Seconds()
			if accepted < n && s.unexpectedExit() == nil {
				return fmt.Errorf("%d of %d messages were accepted within %v", accepted, n, took.Round(time.Second))
			}
			return nil
		})
	}
	if axis == "destinations" || axis == "owed" {
		env.forEachSender(set, func(s *realSender, row *Row) error {
			return r.restartSender(env, s, row, within)
		})
	}
	env.sleep(settle)
	env.measureWindow(set, discoveryRow, "rest", window)
	env.forEachSender(set, func(s *realSender, row *Row) error {
		return measureMemory(env, s, row)
	})
	if axis != "owed" {
		r.measureBusy(env, set, discoveryRow, window)
	}
	if axis == "destinations" { // last, so that its aftermath is not measured in the windows
		env.forEachSender(set, func(s *realSender, row *Row) error {
			return env.measureDiscoveryFailure(s, row)
		})
	}
	discoveryRow.Figures["watches"] = float64(env.discovery.maxWatches.Load())
	if err := context.Cause(env.ctx); err != nil { // the step was given up
		for _, row := range set.rows {
			row.fail(err)
		}
	}
	return set.all()
}

// startSender starts a process and waits until it is ready and has the list. prefix comes before the names of its
// figures.
func (r *run) startSender(env *environment, s *realSender, row *Row, prefix string, within time.Duration) error {
	before := s.gateway.counts()
	if err := s.start(env.ctx); err != nil {
		return err
	}
	took, err := s.waitReady(env.ctx, within)
	if err != nil {
		return err
	}
	row.Figures[prefix+"ready"] = took.Seconds()
	if r.options.onSenderReady != nil {
		r.options.onSenderReady(s)
	}
	took, err = env.waitForList(env.ctx, s, within)
	row.Figures[prefix+"start_control"] = float64(s.gateway.counts().minus(before).sent)
	if err != nil {
		return err
	}
	row.Figures[prefix+"list"] = took.Seconds()
	if prefix == "" {
		if u, err := readUsage(s.pid()); err == nil {
			row.Figures["cpu_start"] = u.cpu.Seconds()
		}
	}
	return nil
}

// restartSender kills the process and starts it again with its state directory.
func (r *run) restartSender(env *environment, s *realSender, row *Row, within time.Duration) error {
	s.kill()
	if err := r.startSender(env, s, row, "restart_", restartTimeoutFactor*within); err != nil {
		return fmt.Errorf("after a restart: %w", err)
	}
	row.Figures["restart_control"] = row.Figures["restart_start_control"]
	delete(row.Figures, "restart_start_control")
	line, err := s.requestCounters(env.ctx, within)
	if err != nil {
		return err
	}
	if n, _ := parseCounter(line, "exchange.recovered"); int(n) < env.setup.unfinished {
		return fmt.Errorf("%.0f of %d messages were recovered after the restart", n, env.setup.unfinished)
	}
	if u, err := readUsage(s.pid()); err == nil {
		row.Figures["restart_resident"] = float64(u.resident)
	}
	return nil
}

// startAllSimulated starts the simulated senders and waits until each has a list.
func (env *environment) startAllSimulated(set *rowSet, within time.Duration) {
	n := env.setup.simulated
	if n == 0 {
		return
	}
	row := set.row(simulatedSubject)
	before := liveHeap()
	for i := range n {
		env.startSimulated(i)
	}
	var seconds []float64 // until the first list, of those that have one
	end := time.Now().Add(within)
	for {
		seconds = seconds[:0]
		for _, sim := range env.simulated {
			if _, first := sim.snapshot(newStepTimes()); first > 0 {
				seconds = append(seconds, first.Seconds())
			}
		}
		if len(seconds) == n {
			break
		}
		if time.Now().After(end) {
			row.fail(fmt.Errorf("%d of %d simulated senders did not get the list within %v", n-len(seconds), n, within))
			return
		}
		if !env.sleep(listPollInterval) {
			return
		}
	}
	slices.Sort(seconds)
	row.Figures["list"] = stat.Quantile(0.5, stat.Empirical, seconds, nil)
	row.Figures["list_max"] = seconds[n-1]
	row.Figures["heap"] = max(0, liveHeap()-before) / float64(n)
}

// liveHeap returns the bytes in heap objects of this process that are in use.
func liveHeap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measureWindow measures processor time and control traffic over a window. phase is the last part of the figures'
// names.
func (env *environment) measureWindow(set *rowSet, discoveryRow *Row, phase string, length time.Duration) {
	allBefore := totalCounts(env.gateways)
	simulatedBefore := totalCounts(env.gateways[env.setup.real:])
	started := time.Now()
	env.forEachSender(set, func(s *realSender, row *Row) error {
		before := takeReading(s)
		if !env.sleep(length) {
			return nil
		}
		after := takeReading(s)
		if !before.valid || !after.valid {
			return fmt.Errorf("process %d has ended", s.pid())
		}
		seconds := after.at.Sub(before.at).Seconds()
		counts := after.gateway.minus(before.gateway)
		row.Figures["cpu_"+phase] = (after.usage.cpu - before.usage.cpu).Seconds() / seconds
		row.Figures["control_"+phase] = float64(counts.received+counts.sent) / seconds
		row.Figures["calls_"+phase] = float64(counts.calls+counts.notices) / seconds
		return nil
	})
	if left := length - time.Since(started); left > 0 { // there was no real sender to measure
		env.sleep(left)
	}
	seconds := time.Since(started).Seconds()
	putMean := func(row *Row, c gatewayCounts, senders float64) {
		row.Figures["control_"+phase] = float64(c.received+c.sent) / seconds / senders
		row.Figures["calls_"+phase] = float64(c.calls+c.notices) / seconds / senders
	}
	putMean(discoveryRow, totalCounts(env.gateways).minus(allBefore), 1)
	if n := float64(len(env.simulated)); n > 0 {
		putMean(set.row(simulatedSubject), totalCounts(env.gateways[env.setup.real:]).minus(simulatedBefore), n)
	}
}

// totalCounts returns the sum of the counts of gateways.
func totalCounts(gateways []*gateway) (total gatewayCounts) {
	for _, g := range gateways {
		total = total.plus(g.counts())
	}
	return total
}

func (c gatewayCounts) plus(o gatewayCounts) gatewayCounts {
	return gatewayCounts{
		calls:     c.calls + o.calls,
		fullLists: c.fullLists + o.fullLists,
		notices:   c.notices + o.notices,
		received:  c.received + o.received,
		sent:      c.sent + o.sent,
	}
}

// measureMemory measures the memory of a process. It is an error if the process does not hold the messages that it
// should.
func measureMemory(env *environment, s *realSender, row *Row) error {
	line, err := s.requestCounters(env.ctx, countersTimeout)
	if err != nil {
		return err
	}
	held, _ := parseCounter(line, "exchange.held")
	if n := env.setup.held + env.setup.unfinished; int(held) < n {
		return fmt.Errorf("%.0f of %d messages are held: %s", held, n, line)
	}
	row.Figures["held"] = held
	if x, ok := parseCounter(line, "process.heap"); ok {
		row.Figures["heap"] = x
	}
	if x, ok := parseCounter(line, "process.heap_live"); ok {
		row.Figures["heap_live"] = x
	}
	u, err := readUsage(s.pid())
	if err != nil {
		return err
	}
	row.Figures["resident"] = float64(u.resident)
	row.Figures["resident_peak"] = float64(u.peak)
	return nil
}

// measureDiscoveryFailure closes a sender's connections to discovery once and counts the bytes until it watches again.
func (env *environment) measureDiscoveryFailure(s *realSender, row *Row) error {
	before := s.gateway.counts()
	s.gateway.closeConnections()
	// The first call after the failure returns at once with what was missed; the second one is a watch.
	watches := func() bool { return s.gateway.counts().calls >= before.calls+2 }
	if err := s.waitUntil(env.ctx, "no watch after a failure", watchTimeout, watches); err != nil {
		return err
	}
	row.Figures["failure_control"] = float64(s.gateway.counts().minus(before).sent)
	return nil
}

// measureBusy measures a window with traffic and changes, and how long the changes take to be adopted.
func (r *run) measureBusy(env *environment, set *rowSet, discoveryRow *Row, window time.Duration) {
	ctx, stop := context.WithCancel(env.ctx)
	defer stop()
	var wg sync.WaitGroup
	for _, s := range env.senders {
		if set.row(senderSubject(s)).Failure == "" {
			wg.Go(func() { env.runTraffic(ctx, s, r.plan.Base.Messages, busyDeadline) })
		}
	}
	for _, sim := range env.simulated {
		sim.resetStepTimes()
	}
	wg.Go(func() { env.runChanges(ctx, env.setup.changes) })
	env.measureWindow(set, discoveryRow, "busy", window)
	stop()
	wg.Wait()
	env.waitAdopted(maxChangeDelay)
	stepTimes := newStepTimes()
	for _, sim := range env.simulated {
		sim.snapshot(stepTimes)
	}
	if row := set.row(simulatedSubject); len(env.simulated) > 0 && row.Failure == "" {
		microseconds := func(nanoseconds int64) float64 { return float64(nanoseconds) / 1000 }
		row.Figures["step_p50"] = microseconds(stepTimes.ValueAtQuantile(50))
		row.Figures["step_p99"] = microseconds(stepTimes.ValueAtQuantile(99))
		row.Figures["step_max"] = microseconds(stepTimes.Max())
		putDelays(row, env.tracker.changeDelays(0, false, allSenders, time.Now()))
	}
	env.forEachSender(set, func(s *realSender, row *Row) error {
		putDelays(row, env.tracker.changeDelays(0, true, s.index, time.Now()))
		return nil
	})
}

// waitAdopted waits until every sender has adopted every change, and reports whether that was so within the limit.
func (env *environment) waitAdopted(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		now := time.Now()
		real := env.tracker.changeDelays(0, true, allSenders, now)
		simulated := env.tracker.changeDelays(0, false, allSenders, now)
		if real.pending+simulated.pending == 0 {
			return true
		}
		if !env.sleep(adoptionPollInterval) {
			return false
		}
	}
	return false
}

// putDelays writes the delays of changes into a row.
func putDelays(row *Row, d delayStats) {
	row.Figures["changes"] = float64(len(d.delaysMS) + d.missing)
	row.Figures["force_late"] = float64(d.late)
	if len(d.delaysMS) == 0 {
		return
	}
	slices.Sort(d.delaysMS)
	row.Figures["force_p50"] = stat.Quantile(0.5, stat.Empirical, d.delaysMS, nil)
	row.Figures["force_p99"] = stat.Quantile(0.99, stat.Empirical, d.delaysMS, nil)
	row.Figures["force_max"] = d.delaysMS[len(d.delaysMS)-1]
}
