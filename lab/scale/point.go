// This file owns what is measured at a point of an axis, and in which order. A figure that could not be had is not in the row.

package scale

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat"
)

// figure says what a column holds.
type figure struct{ Name, Unit, Description string }

// Figures are the columns, in order.
var Figures = []figure{
	{"ready", "s", "from a process's start to its first 200 on /health/ready"},
	{"list", "s", "from the start until a message for a destination that only the list names is taken on; hollow: until the module's first list, p50"},
	{"list_max", "s", "hollow: the same, the slowest"},
	{"cpu_start", "s", "processor time until then"},
	{"start_control", "B", "bytes from discovery until then"},
	{"intake", "1/s", "messages taken on a second, from 128 connections, as held ones pile up"},
	{"held", "", "messages held at rest, by the sender's own count"},
	{"resident", "B", "resident bytes at rest"},
	{"resident_peak", "B", "most resident bytes so far"},
	{"heap", "B", "bytes in objects, garbage included; hollow: of one, after a collection"},
	{"heap_live", "B", "bytes in objects that the last collection found in use"},
	{"cpu_rest", "cores", "processor time a second without traffic and changes"},
	{"cpu_busy", "cores", "the same with traffic and changes"},
	{"control_rest", "B/s", "bytes from and to discovery a second without changes"},
	{"control_busy", "B/s", "the same with changes"},
	{"calls_rest", "1/s", "requests to discovery a second without changes"},
	{"calls_busy", "1/s", "the same with changes"},
	{"watches", "", "most watches open at once"},
	{"changes", "", "changes times senders that were timed"},
	{"force_p50", "ms", "from a change to the first call by it; hollow: to the step that had it"},
	{"force_p99", "ms", "the same, of 100 at most 1 took longer"},
	{"force_max", "ms", "the same, the longest"},
	{"force_late", "", "of them not in force after 13 s"},
	{"step_p50", "us", "hollow: a step of the module"},
	{"step_p99", "us", "the same"},
	{"step_max", "us", "the same, the longest"},
	{"failure_control", "B", "bytes from discovery until a watch stands again after the connection was broken"},
	{"restart_ready", "s", "as ready, after SIGKILL, with the folder as it was"},
	{"restart_list", "s", "as list, then"},
	{"restart_control", "B", "as start_control, then"},
	{"restart_resident", "B", "as resident, then"},
	{"handed", "", "messages handed in"},
	{"taken", "", "of them taken on"},
	{"delivered", "", "of those that reached their destination"},
	{"told", "", "of those that a notice told of"},
	{"lost", "", "taken on and without an end"},
	{"doubled", "", "ran twice and may not, or ran and were told of as harmless to hand in again"},
	{"ended_late", "", "ended past their time and the protocol's slack"},
	{"stale", "", "calls by an old list after one by the new"},
	{"hollow_broken", "", "breaks by modules of hollow senders: calls to what drains, two calls at once, no end in time"},
	{"event_bytes", "B", "bytes through discovery during the event"},
	{"event_wholes", "", "whole lists among its answers"},
	{"normal", "s", "from the end of the disturbance until every sender has all changes"},
	{"burst", "", "most calls at one destination within 2 s of a zone's return"},
}

// reading is a moment's state of a sender.
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

// sheet collects a step's rows.
type rowSet struct {
	axis      string
	value     int
	mu        sync.Mutex
	rows      []*Row
	bySubject map[string]*Row
}

func (sh *rowSet) row(who string) *Row {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if r := sh.bySubject[who]; r != nil {
		return r
	}
	r := &Row{Axis: sh.axis, Value: sh.value, Subject: who, Figures: map[string]float64{}}
	sh.rows, sh.bySubject[who] = append(sh.rows, r), r
	return r
}

func (sh *rowSet) all() []Row {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var out []Row
	for _, r := range sh.rows {
		out = append(out, *r)
	}
	slices.SortStableFunc(out, func(a, b Row) int { return subjectOrder(a.Subject) - subjectOrder(b.Subject) })
	return out
}

func subjectOrder(who string) int {
	return map[string]int{"hollow": 1, "discovery": 2}[who]
}

// fail notes why a row could not be measured, the first reason.
func (r *Row) fail(err error) {
	if err != nil && r.Failure == "" {
		r.Failure = err.Error()
	}
}

func senderSubject(s *realSender) string { return fmt.Sprint("r", s.index) }

// each does something with every sender that has not failed, all at once.
func (st *environment) forEachSender(sh *rowSet, f func(*realSender, *Row) error) {
	var wg sync.WaitGroup
	for _, s := range st.senders {
		row := sh.row(senderSubject(s))
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

// point plays one point of an axis.
func (r *run) playPoint(st *environment, axis string, value int) []Row {
	sh := &rowSet{axis: axis, value: value, bySubject: map[string]*Row{}}
	disc := sh.row("discovery")
	within, settle, window := r.plan.Within.D(), r.plan.Settle.D(), r.plan.Window.D()
	st.forEachSender(sh, func(s *realSender, row *Row) error { return r.startSender(st, s, row, "", within) })
	st.startAllSimulated(sh, within)
	if !slices.ContainsFunc(sh.rows, func(r *Row) bool { return r != disc && r.Failure == "" }) { // nobody is there to be measured
		disc.Failure = "no sender has the list"
		return sh.all()
	}
	if n := st.setup.held + st.setup.unfinished; n > 0 {
		st.forEachSender(sh, func(s *realSender, row *Row) error {
			taken, took := st.submitHeld(st.ctx, s, n, 12*within)
			row.Figures["intake"] = float64(taken) / took.Seconds()
			if taken < n && s.unexpectedExit() == nil {
				return fmt.Errorf("%d of %d messages were taken on within %v", taken, n, took.Round(time.Second))
			}
			return nil
		})
	}
	if axis == "destinations" || axis == "owed" {
		st.forEachSender(sh, func(s *realSender, row *Row) error { return r.restartSender(st, s, row, within) })
	}
	st.sleep(settle)
	st.measureWindow(sh, disc, "rest", window)
	st.forEachSender(sh, func(s *realSender, row *Row) error { return measureMemory(st, s, row) })
	if axis != "owed" {
		r.measureBusy(st, sh, disc, window)
	}
	if axis == "destinations" { // last: what it leaves to do is no part of the windows
		st.forEachSender(sh, func(s *realSender, row *Row) error { return st.measureDiscoveryFailure(s, row) })
	}
	disc.Figures["watches"] = float64(st.discovery.maxWatches.Load())
	if err := context.Cause(st.ctx); err != nil { // the step was given up
		for _, row := range sh.rows {
			row.fail(err)
		}
	}
	return sh.all()
}

// begin starts a process and waits until it is ready and has the list. The figures' names begin with a prefix.
func (r *run) startSender(st *environment, s *realSender, row *Row, prefix string, within time.Duration) error {
	before := s.gateway.counts()
	if err := s.start(st.ctx); err != nil {
		return err
	}
	took, err := s.waitReady(st.ctx, within)
	if err != nil {
		return err
	}
	row.Figures[prefix+"ready"] = took.Seconds()
	if r.options.onSenderReady != nil {
		r.options.onSenderReady(s)
	}
	took, err = st.waitForList(st.ctx, s, within)
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

// again kills the process and starts it with the folder it leaves.
func (r *run) restartSender(st *environment, s *realSender, row *Row, within time.Duration) error {
	s.kill()
	if err := r.startSender(st, s, row, "restart_", 3*within); err != nil {
		return fmt.Errorf("after a restart: %w", err)
	}
	row.Figures["restart_control"] = row.Figures["restart_start_control"]
	delete(row.Figures, "restart_start_control")
	line, err := s.requestCounters(st.ctx, within)
	if err != nil {
		return err
	}
	if n, _ := parseCounter(line, "exchange.recovered"); int(n) < st.setup.unfinished {
		return fmt.Errorf("%.0f of %d messages were found again after the restart", n, st.setup.unfinished)
	}
	if u, err := readUsage(s.pid()); err == nil {
		row.Figures["restart_resident"] = float64(u.resident)
	}
	return nil
}

// startAllHollow starts the hollow senders at once and waits until each has a list.
func (st *environment) startAllSimulated(sh *rowSet, within time.Duration) {
	n := st.setup.simulated
	if n == 0 {
		return
	}
	row := sh.row("hollow")
	before := liveHeap()
	for i := range n {
		st.startSimulated(i)
	}
	var firsts []float64
	end := time.Now().Add(within)
	for {
		firsts = firsts[:0]
		for _, h := range st.simulated {
			if _, first := h.snapshot(hdrhistogram.New(1, int64(10*time.Second), 3)); first > 0 {
				firsts = append(firsts, first.Seconds())
			}
		}
		if len(firsts) == n {
			break
		}
		if time.Now().After(end) {
			row.fail(fmt.Errorf("%d of %d hollow senders have not heard the list within %v", n-len(firsts), n, within))
			return
		}
		if !st.sleep(20 * time.Millisecond) {
			return
		}
	}
	slices.Sort(firsts)
	row.Figures["list"], row.Figures["list_max"] = stat.Quantile(0.5, stat.Empirical, firsts, nil), firsts[n-1]
	row.Figures["heap"] = max(0, liveHeap()-before) / float64(n)
}

// heapNow is what this process holds in objects that are in use.
func liveHeap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// window measures processor time and control over a while.
func (st *environment) measureWindow(sh *rowSet, disc *Row, kind string, length time.Duration) {
	all, own := totalCounts(st.gateways), totalCounts(st.gateways[st.setup.real:])
	begun := time.Now()
	st.forEachSender(sh, func(s *realSender, row *Row) error {
		a := takeReading(s)
		if !st.sleep(length) {
			return nil
		}
		b := takeReading(s)
		if !a.valid || !b.valid {
			return fmt.Errorf("process %d has ended", s.pid())
		}
		seconds, c := b.at.Sub(a.at).Seconds(), b.gateway.minus(a.gateway)
		row.Figures["cpu_"+kind] = (b.usage.cpu - a.usage.cpu).Seconds() / seconds
		row.Figures["control_"+kind] = float64(c.received+c.sent) / seconds
		row.Figures["calls_"+kind] = float64(c.calls+c.notices) / seconds
		return nil
	})
	if left := length - time.Since(begun); left > 0 { // no sender was there to be measured
		st.sleep(left)
	}
	seconds := time.Since(begun).Seconds()
	put := func(row *Row, c gatewayCounts, n float64) {
		row.Figures["control_"+kind], row.Figures["calls_"+kind] = float64(c.received+c.sent)/seconds/n, float64(c.calls+c.notices)/seconds/n
	}
	put(disc, totalCounts(st.gateways).minus(all), 1)
	if n := float64(len(st.simulated)); n > 0 { // the mean of one
		put(sh.row("hollow"), totalCounts(st.gateways[st.setup.real:]).minus(own), n)
	}
}

func totalCounts(gates []*gateway) (all gatewayCounts) {
	for _, g := range gates {
		all = all.plus(g.counts())
	}
	return all
}

func (c gatewayCounts) plus(o gatewayCounts) gatewayCounts {
	return gatewayCounts{c.calls + o.calls, c.fullLists + o.fullLists, c.notices + o.notices, c.received + o.received, c.sent + o.sent}
}

// memory reads what a process holds. What was to be held must be.
func measureMemory(st *environment, s *realSender, row *Row) error {
	line, err := s.requestCounters(st.ctx, 5*time.Second)
	if err != nil {
		return err
	}
	held, _ := parseCounter(line, "exchange.held")
	if n := st.setup.held + st.setup.unfinished; int(held) < n {
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
	row.Figures["resident"], row.Figures["resident_peak"] = float64(u.resident), float64(u.peak)
	return nil
}

// failure breaks a sender's connection to discovery once and counts what it takes to stand in a watch again.
func (st *environment) measureDiscoveryFailure(s *realSender, row *Row) error {
	before := s.gateway.counts()
	s.gateway.closeConnections()
	if err := s.waitUntil(st.ctx, "no watch after a failure", 10*time.Second, func() bool { return s.gateway.counts().calls >= before.calls+2 }); err != nil {
		return err
	}
	row.Figures["failure_control"] = float64(s.gateway.counts().minus(before).sent)
	return nil
}

// busy measures under traffic and changes, and how long changes take.
func (r *run) measureBusy(st *environment, sh *rowSet, disc *Row, window time.Duration) {
	ctx, stop := context.WithCancel(st.ctx)
	defer stop()
	var wg sync.WaitGroup
	for _, s := range st.senders {
		if sh.row(senderSubject(s)).Failure == "" {
			wg.Go(func() { st.runTraffic(ctx, s, r.plan.Base.Messages, 2*time.Second) })
		}
	}
	for _, h := range st.simulated {
		h.resetStepTimes()
	}
	wg.Go(func() { st.runChanges(ctx, st.setup.changes) })
	st.measureWindow(sh, disc, "busy", window)
	stop()
	wg.Wait()
	st.waitAdopted(maxChangeDelay)
	steps := hdrhistogram.New(1, int64(10*time.Second), 3)
	for _, h := range st.simulated {
		h.snapshot(steps)
	}
	if row := sh.row("hollow"); len(st.simulated) > 0 && row.Failure == "" {
		q := func(p float64) float64 { return float64(steps.ValueAtQuantile(p)) / 1000 }
		row.Figures["step_p50"], row.Figures["step_p99"], row.Figures["step_max"] = q(50), q(99), float64(steps.Max())/1000
		putDelays(row, st.tracker.changeDelays(0, false, -1, time.Now()))
	}
	st.forEachSender(sh, func(s *realSender, row *Row) error {
		putDelays(row, st.tracker.changeDelays(0, true, s.index, time.Now()))
		return nil
	})
}

// settled waits until every change is in force everywhere, for a time.
func (st *environment) waitAdopted(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		now := time.Now()
		if st.tracker.changeDelays(0, true, -1, now).pending+st.tracker.changeDelays(0, false, -1, now).pending == 0 {
			return true
		}
		if !st.sleep(10 * time.Millisecond) {
			return false
		}
	}
	return false
}

// put writes delays into a row.
func putDelays(row *Row, d delayStats) {
	row.Figures["changes"], row.Figures["force_late"] = float64(len(d.delaysMS)+d.missing), float64(d.late)
	if len(d.delaysMS) == 0 {
		return
	}
	slices.Sort(d.delaysMS)
	row.Figures["force_p50"] = stat.Quantile(0.5, stat.Empirical, d.delaysMS, nil)
	row.Figures["force_p99"] = stat.Quantile(0.99, stat.Empirical, d.delaysMS, nil)
	row.Figures["force_max"] = d.delaysMS[len(d.delaysMS)-1]
}
