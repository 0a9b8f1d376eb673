// This file owns a run: the order in which receivers, senders and clients are started, the signals, and the end of all
// of them. It must never leave a process or a temporary directory behind.

package rig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"eiderhaven/lab/live"
	"eiderhaven/lab/process"
	"eiderhaven/lab/random"
	"eiderhaven/lab/scenario"
	"eiderhaven/standin/platform"
)

// bodyBytes is the size of the messages that clients submit.
const bodyBytes = 100

// Options configure a run beside its plan.
type Options struct {
	Program    string // the daemon's executable
	Seed       uint64
	Log        func(line string) // may be nil
	RecordsDir string            // for the records of a run with violations; empty: none are written

	onReady func(pid int, dir string) // for tests: called for each process once all are ready
}

// Result holds the violations and totals of a run.
type Result struct {
	Seed             uint64            `json:"seed"`
	Senders          int               `json:"senders"`
	Violations       []Violation       `json:"breaks"`
	Overloads        []overload        `json:"falls"` // during recovery, also those that break no rule
	Outages          int               `json:"outages"`
	Margins          []float64         `json:"margins"` // of each outage that ended, see package margin
	Accepted         int               `json:"taken"`
	Submitted        int               `json:"handed"`
	Signals          map[string]int    `json:"signals"` // by kind
	ReceiverCounts   live.Counts       `json:"receivers"`
	ProxyCounts      ProxyCounts       `json:"proxies"`
	Disturbances     DisturbanceCounts `json:"disturbances"`
	IdleConns        int               `json:"crowd"`            // to each sender
	ClientDelayP99Ms float64           `json:"load_late_p99_ms"` // from planned to started requests; large on a busy machine
	ReceiverLagMs    float64           `json:"receivers_lag_ms"` // longest wait of a call for the receivers; likewise
}

// fleet is a run in progress.
type fleet struct {
	plan      *Plan
	scenario  *scenario.Scenario
	opts      Options
	dir       string
	runNumber int32 // from runCount
	receivers *live.Receivers
	watcher   *watcher
	daemons   []*daemon
	signals   []Signal
	idleConns []net.Conn // held open without being used
	parts     drawnParts
	proxies   *proxySet
	disturber *disturber

	mu              sync.Mutex
	requests        []live.RequestRecord
	signalsSent     map[string]int // by kind
	processFailures []Violation    // failed starts and crashes
}

// Run plays a plan with a seed. Before it returns it ends every process that it started and removes their directories,
// also when the context ends. If the context ends after all senders were ready, the result beside the error has the
// margins so far but no violations.
func Run(ctx context.Context, p *Plan, s *scenario.Scenario, o Options) (*Result, error) {
	if o.Log == nil {
		o.Log = func(string) {}
	}
	dir, err := os.MkdirTemp("", "eiderlab-rig-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	faults, signals := p.drawFaultsAndSignals(o.Seed)
	withFaults := p.drawScenario(s, o.Seed)
	withFaults.Troubles = faults
	f := &fleet{
		plan:        p,
		scenario:    withFaults,
		opts:        o,
		dir:         dir,
		runNumber:   runCount.Add(1),
		watcher:     newWatcher(),
		signals:     signals,
		signalsSent: map[string]int{},
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := f.start(ctx); err != nil {
		return nil, err
	}
	defer f.stop()
	return f.play(ctx)
}

// start listens for the receivers and starts all senders.
func (f *fleet) start(ctx context.Context) (err error) {
	n := f.scenario.Senders.Count
	f.parts = f.plan.drawParts(f.opts.Seed)
	f.proxies = newProxySet(f.parts.proxies, f.opts.Seed)
	options := live.FleetOptions{Senders: n, Watcher: f.watcher, AddressOf: f.proxies.beforeEndpoint}
	f.receivers, err = live.NewFleetReceivers(f.scenario, f.opts.Seed, "127.0.0.1:0", options, f.opts.Log)
	if err != nil {
		return err
	}
	starter := process.NewStarter(ctx)
	for i := range n {
		d, err := f.newDaemon(i, starter)
		if err != nil {
			return err
		}
		f.daemons = append(f.daemons, d)
	}
	var wg sync.WaitGroup
	errs := make([]error, n)
	for i, d := range f.daemons {
		wg.Go(func() { errs[i] = d.start(ctx, initialStartTimeout) })
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		f.stop()
		return err
	}
	for _, d := range f.daemons {
		if f.opts.onReady != nil {
			f.opts.onReady(d.cmd.Process.Pid, f.dir)
		}
	}
	return nil
}

// newDaemon creates a sender's directories and writes its configuration. It starts no process.
func (f *fleet) newDaemon(i int, starter *process.Starter) (*daemon, error) {
	name := fmt.Sprint("n", i)
	d := &daemon{
		index:   i,
		program: f.opts.Program,
		dir:     filepath.Join(f.dir, name),
		listen:  listenAddress(f.runNumber, i),
		starter: starter,
	}
	seed := f.opts.Seed<<16 + uint64(i) + 1 // differs between all senders of all seeds
	discovery, err := f.proxies.before(beforeDiscovery, i, f.receivers.DiscoveryAddrOf(i))
	if err != nil {
		return nil, err
	}
	text, err := live.SeededConfig(f.scenario, name, d.listen, discovery, seed)
	if err != nil {
		return nil, err
	}
	if d.clientAddr, err = f.proxies.before(beforeSenders, i, d.listen); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(filepath.Join(d.dir, "state"), 0o755); err != nil {
		return nil, err
	}
	return d, os.WriteFile(filepath.Join(d.dir, "config.json"), text, 0o600)
}

// stop closes the idle connections, kills every process and waits until all have exited.
func (f *fleet) stop() {
	for _, nc := range f.idleConns {
		nc.Close()
	}
	var wg sync.WaitGroup
	for _, d := range f.daemons {
		wg.Go(d.kill)
	}
	wg.Wait()
	f.proxies.close()
}

// play submits the scenario's messages and sends the signals, waits until every accepted message is due, and evaluates
// the run.
func (f *fleet) play(ctx context.Context) (*Result, error) {
	f.disturber = newDisturber(f)
	var targets []string
	for _, d := range f.daemons {
		targets = append(targets, d.clientAddr)
	}
	load, err := live.NewLoad(f.scenario, live.LoadOptions{
		Targets:   targets,
		Seed:      f.opts.Seed,
		IDPrefix:  fmt.Sprintf("r%d", f.opts.Seed),
		BodyBytes: bodyBytes,
		Log:       f.opts.Log,
		OnRequestEnd: func(r live.RequestRecord) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.requests = append(f.requests, r)
			f.disturber.onRequestEnd(ctx, r)
		},
	})
	if err != nil {
		return nil, err
	}
	f.openIdleConns()
	receiversCtx, stopReceivers := context.WithCancel(ctx)
	var receiversDone sync.WaitGroup
	receiversDone.Go(func() { f.receivers.Run(receiversCtx) })
	defer receiversDone.Wait()
	defer stopReceivers()
	started := time.Now()
	f.disturber.start(ctx, started)
	var signalsDone sync.WaitGroup
	for i, x := range f.signals {
		signalsDone.Go(func() { f.sendSignal(ctx, i, x, started) })
	}
	loadResult := load.Run(ctx)
	signalsDone.Wait()
	f.disturber.wg.Wait()
	if err := f.waitForDeadlines(ctx); err != nil {
		return f.partialResult(), err
	}
	result := f.evaluate(loadResult)
	return result, f.writeRecords(result)
}

// openIdleConns opens the connections that clients hold without using them.
func (f *fleet) openIdleConns() {
	for _, d := range f.daemons {
		for range f.parts.idleConns {
			nc, err := net.Dial("tcp", d.listen)
			if err != nil {
				continue // the sender may be at its limit of connections, which idle connections are meant to reach
			}
			f.idleConns = append(f.idleConns, nc)
		}
	}
}

// sendSignal sends one of the plan's signals to its share of the senders, one after another.
func (f *fleet) sendSignal(ctx context.Context, i int, x Signal, started time.Time) {
	r := random.Stream(f.opts.Seed, "signal", i)
	order := r.Perm(len(f.daemons))
	n := max(1, int(x.Part*float64(len(order))+0.5))
	var wg sync.WaitGroup
	defer wg.Wait()
	for k, sender := range order[:min(n, len(order))] {
		at := started.Add(x.At.D() + time.Duration(k)*x.Gap.D())
		if !sleepContext(ctx, time.Until(at)) {
			return
		}
		d := f.daemons[sender]
		f.mu.Lock()
		f.signalsSent[x.Kind]++
		f.mu.Unlock()
		wg.Go(func() { f.signalDaemon(ctx, d, x) })
	}
}

// signalDaemon sends a signal to one sender. After kill and term it starts the sender again.
func (f *fleet) signalDaemon(ctx context.Context, d *daemon, x Signal) {
	switch x.Kind {
	case signalHangup:
		d.signal(syscall.SIGHUP)
		return
	case signalStop:
		d.signal(syscall.SIGSTOP)
		sleepContext(ctx, x.For.D())
		d.signal(syscall.SIGCONT)
		return
	}
	if !d.restarting.TryLock() { // another signal is restarting it
		return
	}
	defer d.restarting.Unlock()
	if x.Kind == signalTerm {
		d.signal(syscall.SIGTERM)
		sleepContext(ctx, x.For.D())
	}
	down := max(x.Down.D(), minDown)
	d.kill()
	for _, span := range x.Series {
		if !sleepContext(ctx, down) {
			return
		}
		f.noteStart(ctx, d, d.runFor(ctx, span.D()))
		f.mu.Lock()
		f.signalsSent[signalKill]++
		f.mu.Unlock()
	}
	if sleepContext(ctx, down) {
		f.noteStart(ctx, d, d.start(ctx, restartTimeout))
	}
}

// noteStart records a failed start, unless the run has ended.
func (f *fleet) noteStart(ctx context.Context, d *daemon, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processFailures = append(f.processFailures, Violation{
		Rule: "start", At: time.Now(), Sender: d.index, Text: err.Error(),
	})
}

// sleepContext sleeps, and returns false if the context ended before.
func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// partialResult returns the result of an interrupted run: the outages and margins so far, without violations.
func (f *fleet) partialResult() *Result {
	f.watcher.mu.Lock()
	defer f.watcher.mu.Unlock()
	return &Result{Seed: f.opts.Seed, Outages: len(f.watcher.outages), Margins: f.watcher.margins()}
}

// waitForDeadlines waits until every accepted message is due, and the plan's Settle longer.
func (f *fleet) waitForDeadlines(ctx context.Context) error {
	f.mu.Lock()
	last := time.Now()
	for _, r := range f.requests {
		if accepted(r) && r.Deadline.After(last) {
			last = r.Deadline
		}
	}
	f.mu.Unlock()
	if !sleepContext(ctx, time.Until(last.Add(finishSlack+f.plan.Settle.D()))) {
		return ctx.Err()
	}
	return nil
}

// evaluate checks the rules and returns the result.
func (f *fleet) evaluate(load *live.LoadResult) *Result {
	rec := &records{scenario: f.scenario, watcher: f.watcher, proxies: f.parts.proxies, endedAt: time.Now()}
	for i, d := range f.daemons {
		rec.notices = append(rec.notices, f.receivers.Notices(i))
		rec.processes = append(rec.processes, d.processSpans())
		f.processFailures = append(f.processFailures, selfReported(i, d.logText())...)
		if d.crashed() {
			f.processFailures = append(f.processFailures, Violation{
				Rule: "crash", At: time.Now(), Sender: i, Text: "the process ended though nobody told it to",
			})
		}
	}
	f.watcher.mu.Lock()
	defer f.watcher.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	rec.requests = append(slices.Clone(f.requests), f.disturber.left...)
	broken := append(f.processFailures, rec.violations()...)
	broken = append(broken, f.disturber.checkRepeatedIDs()...)
	result := &Result{
		Seed:             f.opts.Seed,
		Senders:          len(f.daemons),
		Violations:       broken,
		Disturbances:     f.disturber.counts,
		Overloads:        f.watcher.overloads,
		Outages:          len(f.watcher.outages),
		Margins:          f.watcher.margins(),
		Submitted:        len(f.requests),
		Signals:          f.signalsSent,
		ReceiverCounts:   f.receivers.Counts(),
		ProxyCounts:      f.proxies.playedFaults(),
		IdleConns:        f.parts.idleConns,
		ClientDelayP99Ms: load.StartDelayP99,
		ReceiverLagMs:    float64(f.receivers.MaxLag().Microseconds()) / 1000,
	}
	for _, r := range f.requests {
		if accepted(r) {
			result.Accepted++
		}
	}
	return result
}

// writeRecords writes the records of a run with violations, if there is a directory for them.
func (f *fleet) writeRecords(r *Result) error {
	if len(r.Violations) == 0 || f.opts.RecordsDir == "" {
		return nil
	}
	dir := filepath.Join(f.opts.RecordsDir, fmt.Sprint(f.plan.Name, "-seed-", f.opts.Seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	notices := map[int][]platform.Notice{}
	for i, d := range f.daemons {
		notices[i] = f.receivers.Notices(i)
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprint("n", i, ".log")), []byte(d.logText()), 0o644); err != nil {
			return err
		}
	}
	for name, v := range map[string]any{
		"result.json":  r,
		"calls.json":   f.watcher.calls,
		"handed.json":  f.requests,
		"notices.json": notices,
	} {
		text, err := json.MarshalIndent(v, "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o644); err != nil {
			return err
		}
	}
	f.opts.Log("records written to " + dir)
	return nil
}
