// This file owns the run: which steps are played, in what order, which rows are kept of each, and when a step is given
// up. It must never drop a step that could not be measured: such a step leaves a failed row with the reason.

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

// Row holds what one step measured of one subject.
type Row struct {
	Axis    string
	Value   int    // point of the axis; 0 for events
	Subject string // r0, r1, ... for real senders, "hollow" for all simulated ones, "discovery", or an event's name
	Failure string // why it could not be measured; "" if it was
	Verdict string // the judge's, of an event
	Figures map[string]float64
}

// Options are the parameters of a run beside its plan.
type Options struct {
	Program string   // path of the daemon
	Axes    []string // those of the plan's axes to play; all if empty
	Log     func(line string)

	onSenderReady func(*realSender) // called for each process that has become ready; for tests
}

// run is the state of a run.
type run struct {
	plan      *Plan
	program   string
	addresses *addressBlock
	starter   *process.Starter
	machine   Machine
	options   Options
	rows      []Row
}

// Check returns an error of one line if a run cannot be played. It starts nothing. It completes the options: empty Axes
// become all axes of the plan, and Program becomes an absolute path.
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

// gcPercent is the garbage collector's setting during a run: the memory of this process counts towards the limit.
const gcPercent = 100

// Run plays a plan that Check has passed and returns the rows of what was played, also with an error. Everything that
// it started has ended when it returns.
func Run(ctx context.Context, p *Plan, o Options, m Machine) ([]Row, error) {
	if o.Log == nil {
		o.Log = func(string) {}
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	addresses, err := claimAddresses(p.Seed)
	if err != nil {
		return nil, err
	}
	defer addresses.claim.Close()
	r := &run{
		plan: p, program: o.Program, addresses: addresses,
		starter: process.NewStarter(ctx), machine: m, options: o,
	}
	for _, axis := range p.playedAxes() {
		if !slices.Contains(o.Axes, axis) {
			continue
		}
		if axis == EventsAxis {
			for _, name := range p.Events.Play {
				r.runStep(ctx, EventsAxis, 0, name, p.eventSetup(), func(env *environment) []Row {
					return r.playEvent(env, name)
				})
			}
			continue
		}
		for _, v := range p.axisValues(axis) {
			r.runStep(ctx, axis, v, "", p.pointSetup(axis, v), func(env *environment) []Row {
				return r.playPoint(env, axis, v)
			})
		}
	}
	if ctx.Err() != nil {
		return r.rows, ctx.Err()
	}
	return r.rows, nil
}

// runStep sets an environment up, plays a point of an axis or an event in it, and keeps the rows.
func (r *run) runStep(ctx context.Context, axis string, value int, event string, s setup,
	play func(*environment) []Row) {
	if ctx.Err() != nil {
		return
	}
	step := fmt.Sprintf("%s %d", axis, value)
	if event != "" {
		step = event
	}
	started := time.Now()
	rows, err := r.playStep(ctx, s, play)
	if err != nil && ctx.Err() == nil {
		r.options.Log(fmt.Sprintf("%s: failed: %v", step, err))
		subject := event
		if subject == "" {
			subject = "step"
		}
		rows = append(rows, Row{Axis: axis, Value: value, Subject: subject, Failure: err.Error()})
	}
	if ctx.Err() != nil { // a step that was interrupted measured nothing
		return
	}
	r.rows = append(r.rows, rows...)
	failed := 0
	for _, row := range rows {
		if row.Failure != "" {
			failed++
		}
	}
	took := time.Since(started).Seconds()
	r.options.Log(fmt.Sprintf("%-22s %6.1f s  %d rows, %d failed", step, took, len(rows), failed))
}

// playStep plays a step in a new environment, if there is enough memory for it.
func (r *run) playStep(ctx context.Context, s setup, play func(*environment) []Row) ([]Row, error) {
	debug.FreeOSMemory()
	own, err := readUsage(os.Getpid())
	if err != nil {
		return nil, err
	}
	if need, half := own.resident+s.memoryEstimate(), r.machine.Memory/2; need > half {
		return nil, fmt.Errorf("given up: %d MB are resident and the step needs some %d MB;"+
			" half of this machine's memory is %d MB",
			own.resident>>20, s.memoryEstimate()>>20, half>>20)
	}
	env, err := newEnvironment(ctx, r, s)
	if err != nil {
		return nil, err
	}
	defer env.close()
	env.wg.Go(func() { r.watchMemory(env) })
	return play(env), nil
}

// errMemory ends a step whose processes use too much memory.
var errMemory = errors.New("given up: half of this machine's memory is resident")

const memoryCheckInterval = 300 * time.Millisecond

// watchMemory cancels a step whose processes use more than half of the machine's memory.
func (r *run) watchMemory(env *environment) {
	for env.sleep(memoryCheckInterval) {
		var sum int64
		for _, pid := range env.processIDs() {
			if u, err := readUsage(pid); err == nil { // the process may have ended
				sum += u.resident
			}
		}
		if sum > r.machine.Memory/2 {
			env.cancel(fmt.Errorf("%w: %d MB", errMemory, sum>>20))
			return
		}
	}
}

// processIDs returns the IDs of the running sender processes and of this process.
func (env *environment) processIDs() []int {
	out := []int{os.Getpid()}
	for _, s := range env.senders {
		s.mu.Lock()
		if s.cmd != nil && s.exitErr == nil {
			out = append(out, s.cmd.Process.Pid)
		}
		s.mu.Unlock()
	}
	return out
}
