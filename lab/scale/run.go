// This file owns the run: which steps are played, in what order, what is kept of each, and when a run gives up. A step that
// cannot be measured leaves a failed row with the reason, never none.

package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"eiderhaven/lab/process"
)

// Row is what one step measured of one of those who took part.
type Row struct {
	Axis    string
	Value   int    // of the axis; 0 for events
	Subject string // r0, r1, ... for real senders, "hollow" for all hollow ones, "discovery"; or an event's name
	Failure string // why it could not be measured
	Verdict string // the judge's, of an event
	Figures map[string]float64
}

// Options are what a run is given beside its plan.
type Options struct {
	Program string   // the daemon
	Axes    []string // to play, of those of the plan; all if empty
	Log     func(line string)

	onSenderReady func(*realSender) // told of each process that is ready; for tests
}

// run is a run under way.
type run struct {
	plan      *Plan
	program   string
	addresses *addressBlock
	starter   *process.Starter
	machine   Machine
	options   Options
	rows      []Row
}

// Check tells whether a run can be played: one line that names what is wrong. It starts nothing.
func Check(p *Plan, o *Options, m Machine) error {
	played := p.playedAxes()
	for _, axis := range o.Axes {
		if !slices.Contains(played, axis) {
			return fmt.Errorf("axis %q: the plan plays %s", axis, strings.Join(played, ", "))
		}
	}
	if len(o.Axes) == 0 {
		o.Axes = played
	}
	if err := p.CheckResources(m, o.Axes); err != nil {
		return err
	}
	path, err := filepath.Abs(o.Program)
	if err != nil {
		return err
	}
	info, err := os.Stat(path)
	if err != nil {
		return fmt.Errorf("the daemon: %w; build it with: go build -o bin/ ./cmd/eiderhaven", err)
	}
	if info.IsDir() || info.Mode()&0o111 == 0 {
		return fmt.Errorf("the daemon: %s is no program", path)
	}
	o.Program = path
	return nil
}

// Run plays a plan that Check has passed and returns the rows of what was played, also with an error. It ends all that it
// started before it returns.
func Run(ctx context.Context, p *Plan, o Options, m Machine) ([]Row, error) {
	if o.Log == nil {
		o.Log = func(string) {}
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer debug.SetGCPercent(debug.SetGCPercent(100)) // what this process holds counts in the bound on memory
	site, err := claimAddresses(p.Seed)
	if err != nil {
		return nil, err
	}
	defer site.claim.Close()
	r := &run{plan: p, program: o.Program, addresses: site, starter: process.NewStarter(ctx), machine: m, options: o}
	for _, axis := range p.playedAxes() {
		if !slices.Contains(o.Axes, axis) {
			continue
		}
		if axis == EventsAxis {
			for _, name := range p.Events.Play {
				r.runStep(ctx, EventsAxis, 0, name, p.eventSetup(), func(st *environment) []Row { return r.playEvent(st, name) })
			}
			continue
		}
		for _, v := range p.axisValues(axis) {
			r.runStep(ctx, axis, v, "", p.pointSetup(axis, v), func(st *environment) []Row { return r.playPoint(st, axis, v) })
		}
	}
	if ctx.Err() != nil {
		return r.rows, ctx.Err()
	}
	return r.rows, nil
}

// step sets a stage up, plays on it and keeps the rows.
func (r *run) runStep(ctx context.Context, axis string, value int, event string, s setup, play func(*environment) []Row) {
	if ctx.Err() != nil {
		return
	}
	what := fmt.Sprintf("%s %d", axis, value)
	if event != "" {
		what = event
	}
	began := time.Now()
	rows, err := r.playStep(ctx, s, play)
	if err != nil && ctx.Err() == nil {
		r.options.Log(fmt.Sprintf("%s: failed: %v", what, err))
		who := event
		if who == "" {
			who = "step"
		}
		rows = append(rows, Row{Axis: axis, Value: value, Subject: who, Failure: err.Error()})
	}
	if ctx.Err() != nil { // a step that was broken off measured nothing
		return
	}
	r.rows = append(r.rows, rows...)
	failed := 0
	for _, row := range rows {
		if row.Failure != "" {
			failed++
		}
	}
	r.options.Log(fmt.Sprintf("%-22s %6.1f s  %d rows, %d failed", what, time.Since(began).Seconds(), len(rows), failed))
}

func (r *run) playStep(ctx context.Context, s setup, play func(*environment) []Row) ([]Row, error) {
	debug.FreeOSMemory()
	own, err := readUsage(os.Getpid())
	if err != nil {
		return nil, err
	}
	if need, half := own.resident+s.memoryEstimate(), r.machine.Memory/2; need > half {
		return nil, fmt.Errorf("given up: %d MB are resident and the step needs some %d MB; half of this machine's memory is %d MB",
			own.resident>>20, s.memoryEstimate()>>20, half>>20)
	}
	st, err := newEnvironment(ctx, r, s)
	if err != nil {
		return nil, err
	}
	defer st.close()
	st.wg.Go(func() { r.watchMemory(st) })
	return play(st), nil
}

// errMemory ends a step that has grown too large.
var errMemory = errors.New("given up: half of this machine's memory is resident")

// watch breaks a step off that takes more than half of the memory.
func (r *run) watchMemory(st *environment) {
	for st.sleep(300 * time.Millisecond) {
		var sum int64
		for _, pid := range st.processIDs() {
			if u, err := readUsage(pid); err == nil { // it may have ended
				sum += u.resident
			}
		}
		if sum > r.machine.Memory/2 {
			st.cancel(fmt.Errorf("%w: %d MB", errMemory, sum>>20))
			return
		}
	}
}

// pids are the processes of a stage, with this one.
func (st *environment) processIDs() []int {
	out := []int{os.Getpid()}
	for _, s := range st.senders {
		s.mu.Lock()
		if s.cmd != nil && s.exitErr == nil {
			out = append(out, s.cmd.Process.Pid)
		}
		s.mu.Unlock()
	}
	return out
}
