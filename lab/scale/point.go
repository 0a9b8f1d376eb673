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
	at    time.Time
	use   usage
	gate  gateCounts
	valid bool
}

func read(s *sender) reading {
	u, err := usageOf(s.pid())
	return reading{time.Now(), u, s.gate.counts(), err == nil}
}

// sheet collects a step's rows.
type sheet struct {
	axis  string
	value int
	mu    sync.Mutex
	rows  []*Row
	of    map[string]*Row
}

func (sh *sheet) row(who string) *Row {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if r := sh.of[who]; r != nil {
		return r
	}
	r := &Row{Axis: sh.axis, Value: sh.value, Subject: who, Figures: map[string]float64{}}
	sh.rows, sh.of[who] = append(sh.rows, r), r
	return r
}

func (sh *sheet) all() []Row {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var out []Row
	for _, r := range sh.rows {
		out = append(out, *r)
	}
	slices.SortStableFunc(out, func(a, b Row) int { return order(a.Subject) - order(b.Subject) })
	return out
}

func order(who string) int {
	return map[string]int{"hollow": 1, "discovery": 2}[who]
}

// fail notes why a row could not be measured, the first reason.
func (r *Row) fail(err error) {
	if err != nil && r.Failure == "" {
		r.Failure = err.Error()
	}
}

func name(s *sender) string { return fmt.Sprint("r", s.n) }

// each does something with every sender that has not failed, all at once.
func (st *stage) each(sh *sheet, f func(*sender, *Row) error) {
	var wg sync.WaitGroup
	for _, s := range st.senders {
		row := sh.row(name(s))
		if row.Failure != "" {
			continue
		}
		wg.Go(func() {
			err := f(s, row)
			if err == nil {
				err = s.died()
			}
			row.fail(err)
		})
	}
	wg.Wait()
}

// point plays one point of an axis.
func (r *run) point(st *stage, axis string, value int) []Row {
	sh := &sheet{axis: axis, value: value, of: map[string]*Row{}}
	disc := sh.row("discovery")
	within, settle, window := r.plan.Within.D(), r.plan.Settle.D(), r.plan.Window.D()
	st.each(sh, func(s *sender, row *Row) error { return r.begin(st, s, row, "", within) })
	st.startAllHollow(sh, within)
	if !slices.ContainsFunc(sh.rows, func(r *Row) bool { return r != disc && r.Failure == "" }) { // nobody is there to be measured
		disc.Failure = "no sender has the list"
		return sh.all()
	}
	if n := st.shape.held + st.shape.owed; n > 0 {
		st.each(sh, func(s *sender, row *Row) error {
			taken, took := st.fill(st.ctx, s, n, 12*within)
			row.Figures["intake"] = float64(taken) / took.Seconds()
			if taken < n && s.died() == nil {
				return fmt.Errorf("%d of %d messages were taken on within %v", taken, n, took.Round(time.Second))
			}
			return nil
		})
	}
	if axis == "destinations" || axis == "owed" {
		st.each(sh, func(s *sender, row *Row) error { return r.again(st, s, row, within) })
	}
	st.sleep(settle)
	st.window(sh, disc, "rest", window)
	st.each(sh, func(s *sender, row *Row) error { return memory(st, s, row) })
	if axis != "owed" {
		r.busy(st, sh, disc, window)
	}
	if axis == "destinations" { // last: what it leaves to do is no part of the windows
		st.each(sh, func(s *sender, row *Row) error { return st.failure(s, row) })
	}
	disc.Figures["watches"] = float64(st.disc.mostWatches.Load())
	if err := context.Cause(st.ctx); err != nil { // the step was given up
		for _, row := range sh.rows {
			row.fail(err)
		}
	}
	return sh.all()
}

// begin starts a process and waits until it is ready and has the list. The figures' names begin with a prefix.
func (r *run) begin(st *stage, s *sender, row *Row, prefix string, within time.Duration) error {
	before := s.gate.counts()
	if err := s.start(st.ctx); err != nil {
		return err
	}
	took, err := s.ready(st.ctx, within)
	if err != nil {
		return err
	}
	row.Figures[prefix+"ready"] = took.Seconds()
	if r.o.started != nil {
		r.o.started(s)
	}
	took, err = st.heard(st.ctx, s, within)
	row.Figures[prefix+"start_control"] = float64(s.gate.counts().less(before).out)
	if err != nil {
		return err
	}
	row.Figures[prefix+"list"] = took.Seconds()
	if prefix == "" {
		if u, err := usageOf(s.pid()); err == nil {
			row.Figures["cpu_start"] = u.cpu.Seconds()
		}
	}
	return nil
}

// again kills the process and starts it with the folder it leaves.
func (r *run) again(st *stage, s *sender, row *Row, within time.Duration) error {
	s.kill()
	if err := r.begin(st, s, row, "restart_", 3*within); err != nil {
		return fmt.Errorf("after a restart: %w", err)
	}
	row.Figures["restart_control"] = row.Figures["restart_start_control"]
	delete(row.Figures, "restart_start_control")
	line, err := s.counters(st.ctx, within)
	if err != nil {
		return err
	}
	if n, _ := counter(line, "exchange.recovered"); int(n) < st.shape.owed {
		return fmt.Errorf("%.0f of %d messages were found again after the restart", n, st.shape.owed)
	}
	if u, err := usageOf(s.pid()); err == nil {
		row.Figures["restart_resident"] = float64(u.resident)
	}
	return nil
}

// startAllHollow starts the hollow senders at once and waits until each has a list.
func (st *stage) startAllHollow(sh *sheet, within time.Duration) {
	n := st.shape.hollow
	if n == 0 {
		return
	}
	row := sh.row("hollow")
	before := heapNow()
	for i := range n {
		st.startHollow(i)
	}
	var firsts []float64
	end := time.Now().Add(within)
	for {
		firsts = firsts[:0]
		for _, h := range st.hollow {
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
	row.Figures["heap"] = max(0, heapNow()-before) / float64(n)
}

// heapNow is what this process holds in objects that are in use.
func heapNow() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// window measures processor time and control over a while.
func (st *stage) window(sh *sheet, disc *Row, kind string, length time.Duration) {
	all, own := sum(st.gates), sum(st.gates[st.shape.real:])
	begun := time.Now()
	st.each(sh, func(s *sender, row *Row) error {
		a := read(s)
		if !st.sleep(length) {
			return nil
		}
		b := read(s)
		if !a.valid || !b.valid {
			return fmt.Errorf("process %d has ended", s.pid())
		}
		seconds, c := b.at.Sub(a.at).Seconds(), b.gate.less(a.gate)
		row.Figures["cpu_"+kind] = (b.use.cpu - a.use.cpu).Seconds() / seconds
		row.Figures["control_"+kind] = float64(c.in+c.out) / seconds
		row.Figures["calls_"+kind] = float64(c.calls+c.notices) / seconds
		return nil
	})
	if left := length - time.Since(begun); left > 0 { // no sender was there to be measured
		st.sleep(left)
	}
	seconds := time.Since(begun).Seconds()
	put := func(row *Row, c gateCounts, n float64) {
		row.Figures["control_"+kind], row.Figures["calls_"+kind] = float64(c.in+c.out)/seconds/n, float64(c.calls+c.notices)/seconds/n
	}
	put(disc, sum(st.gates).less(all), 1)
	if n := float64(len(st.hollow)); n > 0 { // the mean of one
		put(sh.row("hollow"), sum(st.gates[st.shape.real:]).less(own), n)
	}
}

func sum(gates []*gate) (all gateCounts) {
	for _, g := range gates {
		all = all.plus(g.counts())
	}
	return all
}

func (c gateCounts) plus(o gateCounts) gateCounts {
	return gateCounts{c.calls + o.calls, c.wholes + o.wholes, c.notices + o.notices, c.in + o.in, c.out + o.out}
}

// memory reads what a process holds. What was to be held must be.
func memory(st *stage, s *sender, row *Row) error {
	line, err := s.counters(st.ctx, 5*time.Second)
	if err != nil {
		return err
	}
	held, _ := counter(line, "exchange.held")
	if n := st.shape.held + st.shape.owed; int(held) < n {
		return fmt.Errorf("%.0f of %d messages are held: %s", held, n, line)
	}
	row.Figures["held"] = held
	if x, ok := counter(line, "process.heap"); ok {
		row.Figures["heap"] = x
	}
	if x, ok := counter(line, "process.heap_live"); ok {
		row.Figures["heap_live"] = x
	}
	u, err := usageOf(s.pid())
	if err != nil {
		return err
	}
	row.Figures["resident"], row.Figures["resident_peak"] = float64(u.resident), float64(u.peak)
	return nil
}

// failure breaks a sender's connection to discovery once and counts what it takes to stand in a watch again.
func (st *stage) failure(s *sender, row *Row) error {
	before := s.gate.counts()
	s.gate.drop()
	if err := s.poll(st.ctx, "no watch after a failure", 10*time.Second, func() bool { return s.gate.counts().calls >= before.calls+2 }); err != nil {
		return err
	}
	row.Figures["failure_control"] = float64(s.gate.counts().less(before).out)
	return nil
}

// busy measures under traffic and changes, and how long changes take.
func (r *run) busy(st *stage, sh *sheet, disc *Row, window time.Duration) {
	ctx, stop := context.WithCancel(st.ctx)
	defer stop()
	var wg sync.WaitGroup
	for _, s := range st.senders {
		if sh.row(name(s)).Failure == "" {
			wg.Go(func() { st.traffic(ctx, s, r.plan.Base.Messages, 2*time.Second) })
		}
	}
	for _, h := range st.hollow {
		h.reset()
	}
	wg.Go(func() { st.changing(ctx, st.shape.changes) })
	st.window(sh, disc, "busy", window)
	stop()
	wg.Wait()
	st.settled(inForceWithin)
	steps := hdrhistogram.New(1, int64(10*time.Second), 3)
	for _, h := range st.hollow {
		h.snapshot(steps)
	}
	if row := sh.row("hollow"); len(st.hollow) > 0 && row.Failure == "" {
		q := func(p float64) float64 { return float64(steps.ValueAtQuantile(p)) / 1000 }
		row.Figures["step_p50"], row.Figures["step_p99"], row.Figures["step_max"] = q(50), q(99), float64(steps.Max())/1000
		put(row, st.book.delays(0, false, -1, time.Now()))
	}
	st.each(sh, func(s *sender, row *Row) error {
		put(row, st.book.delays(0, true, s.n, time.Now()))
		return nil
	})
}

// settled waits until every change is in force everywhere, for a time.
func (st *stage) settled(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		now := time.Now()
		if st.book.delays(0, true, -1, now).pending+st.book.delays(0, false, -1, now).pending == 0 {
			return true
		}
		if !st.sleep(10 * time.Millisecond) {
			return false
		}
	}
	return false
}

// put writes delays into a row.
func put(row *Row, d delays) {
	row.Figures["changes"], row.Figures["force_late"] = float64(len(d.took)+d.missing), float64(d.late)
	if len(d.took) == 0 {
		return
	}
	slices.Sort(d.took)
	row.Figures["force_p50"] = stat.Quantile(0.5, stat.Empirical, d.took, nil)
	row.Figures["force_p99"] = stat.Quantile(0.99, stat.Empirical, d.took, nil)
	row.Figures["force_max"] = d.took[len(d.took)-1]
}
