// This file owns a run: what is started in which order, the signals, and the end of it all.

package rig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"eiderhaven/lab/live"
	"eiderhaven/lab/process"
	"eiderhaven/lab/random"
	"eiderhaven/lab/scenario"
	"eiderhaven/standin/platform"
)

// Options are what a run is given beside its plan.
type Options struct {
	Program    string // the daemon
	Seed       uint64
	Log        func(line string)
	RecordsDir string // folder for the records of a run in which something broke; empty: none are kept

	started func(pid int, dir string) // told of each process that is ready; for tests
}

// Result is what came of a run.
type Result struct {
	Seed             uint64         `json:"seed"`
	Violations       []Violation    `json:"breaks"`
	Overloads        []fall         `json:"falls"`
	Outages          int            `json:"outages"`
	Margins          []float64      `json:"margins"` // of each cold return, see package margin
	Accepted         int            `json:"taken"`
	Submitted        int            `json:"handed"`
	Signals          map[string]int `json:"signals"`
	ReceiverCounts   live.Counts    `json:"receivers"`
	ClientDelayP99Ms float64        `json:"load_late_p99_ms"` // how late clients began: a busy machine's doing
	ReceiverLagMs    float64        `json:"receivers_lag_ms"` // the longest that a call waited for the receivers: likewise
}

// fleet is a run under way.
type fleet struct {
	plan    *Plan
	s       *scenario.Scenario
	o       Options
	dir     string
	run     int32 // number of the run in this process
	v       *live.Receivers
	w       *watcher
	daemons []*daemon
	signals []Signal

	mu      sync.Mutex
	handed  []live.RequestRecord
	sent    map[string]int
	failed  []Violation
	restful []net.Conn // connections that clients hold and use for nothing
}

// Run plays a plan with a seed. It ends every process that it started, also when the context ends, and leaves no folder. A run
// that the context ended after its start has a result without a verdict beside the error.
func Run(ctx context.Context, p *Plan, s *scenario.Scenario, o Options) (*Result, error) {
	if o.Log == nil {
		o.Log = func(string) {}
	}
	dir, err := os.MkdirTemp("", "eiderlab-rig-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	faults, signals := p.drawn(o.Seed)
	day := *s
	day.Troubles = faults
	f := &fleet{run: runs.Add(1), plan: p, s: &day, o: o, dir: dir, w: newWatcher(), signals: signals, sent: map[string]int{}}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := f.open(ctx); err != nil {
		return nil, err
	}
	defer f.close()
	return f.play(ctx)
}

// open listens for receivers and starts every sender.
func (f *fleet) open(ctx context.Context) (err error) {
	n := f.s.Senders.Count
	f.v, err = live.NewFleetReceivers(f.s, f.o.Seed, "127.0.0.1:0", live.FleetOptions{Senders: n, Watcher: f.w}, f.o.Log)
	if err != nil {
		return err
	}
	starter := process.NewStarter(ctx)
	for i := range n {
		d, err := f.daemon(i, starter)
		if err != nil {
			return err
		}
		f.daemons = append(f.daemons, d)
	}
	var wg sync.WaitGroup
	errs := make([]error, n)
	for i, d := range f.daemons {
		wg.Go(func() { errs[i] = d.start(ctx, firstStart) })
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		f.close()
		return err
	}
	for _, d := range f.daemons {
		if f.o.started != nil {
			f.o.started(d.cmd.Process.Pid, f.dir)
		}
	}
	return nil
}

// daemon writes a sender's configuration; it has not started.
func (f *fleet) daemon(i int, starter *process.Starter) (*daemon, error) {
	listen := address(f.run, i)
	d := &daemon{n: i, program: f.o.Program, dir: filepath.Join(f.dir, fmt.Sprint("n", i)), listen: listen, starter: starter}
	text, err := live.SeededConfig(f.s, fmt.Sprint("n", i), listen, f.v.DiscoveryAddrOf(i), f.o.Seed<<16+uint64(i)+1)
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(filepath.Join(d.dir, "state"), 0o755); err != nil {
		return nil, err
	}
	return d, os.WriteFile(filepath.Join(d.dir, "config.json"), text, 0o600)
}

// close ends every process and waits for its end.
func (f *fleet) close() {
	for _, nc := range f.restful {
		nc.Close()
	}
	var wg sync.WaitGroup
	for _, d := range f.daemons {
		wg.Go(d.kill)
	}
	wg.Wait()
}

// play hands the day in, sends the signals, waits for what is owed and judges.
func (f *fleet) play(ctx context.Context) (*Result, error) {
	var targets []string
	for _, d := range f.daemons {
		targets = append(targets, d.listen)
	}
	load, err := live.NewLoad(f.s, live.LoadOptions{Targets: targets, Seed: f.o.Seed, IDPrefix: fmt.Sprintf("r%d", f.o.Seed), BodyBytes: 100,
		Log: f.o.Log, OnRequestEnd: func(h live.RequestRecord) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.handed = append(f.handed, h)
		}})
	if err != nil {
		return nil, err
	}
	f.rest()
	receivers, stop := context.WithCancel(ctx)
	var playing sync.WaitGroup
	playing.Go(func() { f.v.Run(receivers) })
	defer playing.Wait()
	defer stop()
	begun := time.Now()
	var signalling sync.WaitGroup
	for i, x := range f.signals {
		signalling.Go(func() { f.signal(ctx, i, x, begun) })
	}
	loaded := load.Run(ctx)
	signalling.Wait()
	if err := f.settle(ctx); err != nil {
		return f.unfinished(), err
	}
	result := f.judge(loaded)
	return result, f.keep(result)
}

// rest opens the connections that clients hold and use for nothing.
func (f *fleet) rest() {
	for _, d := range f.daemons {
		for range f.plan.IdleConns {
			if nc, err := net.Dial("tcp", d.listen); err == nil { // a sender may have no room: that is the crowd's point
				f.restful = append(f.restful, nc)
			}
		}
	}
}

// signal does one thing to a part of the senders, one after another.
func (f *fleet) signal(ctx context.Context, i int, x Signal, begun time.Time) {
	r := random.Stream(f.o.Seed, "signal", i)
	order := r.Perm(len(f.daemons))
	n := max(1, int(x.Part*float64(len(order))+0.5))
	var wg sync.WaitGroup
	defer wg.Wait()
	for k, sender := range order[:min(n, len(order))] {
		if !sleep(ctx, time.Until(begun.Add(x.At.D()+time.Duration(k)*x.Gap.D()))) {
			return
		}
		d := f.daemons[sender]
		f.mu.Lock()
		f.sent[x.Kind]++
		f.mu.Unlock()
		wg.Go(func() { f.signalOne(ctx, d, x) })
	}
}

func (f *fleet) signalOne(ctx context.Context, d *daemon, x Signal) {
	switch x.Kind {
	case signalHangup:
		d.signal(syscall.SIGHUP)
		return
	case signalStop:
		d.signal(syscall.SIGSTOP)
		sleep(ctx, x.For.D())
		d.signal(syscall.SIGCONT)
		return
	}
	if !d.restarting.TryLock() { // another signal has its hands on it
		return
	}
	defer d.restarting.Unlock()
	if x.Kind == signalTerm {
		d.signal(syscall.SIGTERM)
		sleep(ctx, x.For.D())
	}
	d.kill()
	if !sleep(ctx, max(x.Down.D(), usualDown)) {
		return
	}
	if err := d.start(ctx, laterStart); err != nil && ctx.Err() == nil {
		f.mu.Lock()
		f.failed = append(f.failed, Violation{Rule: "start", At: time.Now(), Sender: d.n, Text: err.Error()})
		f.mu.Unlock()
	}
}

// sleep waits, unless the context ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// unfinished is what is known of a run that was interrupted: no verdict, and the margins of the returns so far.
func (f *fleet) unfinished() *Result {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	return &Result{Seed: f.o.Seed, Outages: len(f.w.all), Margins: f.w.margins()}
}

// settle waits until the time of every message that was taken on is up.
func (f *fleet) settle(ctx context.Context) error {
	f.mu.Lock()
	last := time.Now()
	for _, h := range f.handed {
		if taken(h) && h.Deadline.After(last) {
			last = h.Deadline
		}
	}
	f.mu.Unlock()
	if !sleep(ctx, time.Until(last.Add(lostAfter+f.plan.Settle.D()))) {
		return ctx.Err()
	}
	return nil
}

func (f *fleet) judge(loaded *live.LoadResult) *Result {
	rec := &records{s: f.s, w: f.w, ended: time.Now()}
	for i, d := range f.daemons {
		rec.notices = append(rec.notices, f.v.Notices(i))
		rec.lives = append(rec.lives, d.life())
		if d.crashed() {
			f.failed = append(f.failed, Violation{Rule: "crash", At: time.Now(), Sender: i, Text: "the process ended though nobody told it to"})
		}
	}
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	rec.handed = f.handed
	result := &Result{Seed: f.o.Seed, Violations: append(f.failed, rec.verdict()...), Overloads: f.w.falls, Outages: len(f.w.all), Margins: f.w.margins(), Submitted: len(f.handed),
		Signals: f.sent, ReceiverCounts: f.v.Counts(), ClientDelayP99Ms: loaded.StartDelayP99,
		ReceiverLagMs: float64(f.v.MaxLag().Microseconds()) / 1000}
	for _, h := range f.handed {
		if taken(h) {
			result.Accepted++
		}
	}
	return result
}

// keep writes the records of a run in which something broke.
func (f *fleet) keep(r *Result) error {
	if len(r.Violations) == 0 || f.o.RecordsDir == "" {
		return nil
	}
	dir := filepath.Join(f.o.RecordsDir, fmt.Sprint(f.plan.Name, "-seed-", f.o.Seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	notices := map[int][]platform.Notice{}
	for i, d := range f.daemons {
		notices[i] = f.v.Notices(i)
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprint("n", i, ".log")), []byte(d.text()), 0o644); err != nil {
			return err
		}
	}
	for name, v := range map[string]any{"result.json": r, "calls.json": f.w.calls, "handed.json": f.handed, "notices.json": notices} {
		text, err := json.MarshalIndent(v, "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o644); err != nil {
			return err
		}
	}
	f.o.Log("records kept in " + dir)
	return nil
}
