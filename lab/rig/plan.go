// Package rig plays faults against a fleet of real daemons on loopback addresses: processes, receivers that break as the
// lab's model does, clients that keep their connections, signals, and a judge that holds all six rules by what clients and
// receivers saw. It owns every process that it starts and ends it; it must never ask a sender whether a rule was kept.
package rig

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"eiderhaven/lab/random"
	"eiderhaven/lab/scale"
	"eiderhaven/lab/scenario"
)

// Plan is a plan file.
type Plan struct {
	Name      string             `toml:"name"`     // of the plan, for reports
	Scenario  string             `toml:"scenario"` // file of the scenario, relative to the plan's
	Settle    scenario.Duration  `toml:"settle"`   // wait after the last deadline, for what is still on its way
	IdleConns int                `toml:"crowd"`    // connections that clients hold open to each sender and use for nothing
	Set       map[string]string  `toml:"set"`      // keys of the scenario that the plan changes
	Faults    []scenario.Trouble `toml:"fault"`    // troubles of receivers and clients
	Signals   []Signal           `toml:"signal"`
	Draw      Draw               `toml:"draw"` // what each seed draws beside the stated faults and signals
}

// Signal is something done to sender processes.
type Signal struct {
	Kind string            `toml:"kind"` // kill, term, stop or hangup
	At   scenario.Duration `toml:"at"`
	Part float64           `toml:"part"` // share of the senders, at least one
	Gap  scenario.Duration `toml:"gap"`  // from one sender to the next
	Down scenario.Duration `toml:"down"` // kill and term: from the kill to the next start
	For  scenario.Duration `toml:"for"`  // stop: until the process may go on; term: until the kill
}

// Draw bounds what a seed draws.
type Draw struct {
	Faults   int               `toml:"faults"`
	Kinds    []string          `toml:"kinds"`
	Signals  int               `toml:"signals"`
	From     scenario.Duration `toml:"from"`
	To       scenario.Duration `toml:"to"`
	Shortest scenario.Duration `toml:"shortest"`
	Longest  scenario.Duration `toml:"longest"`
}

// Bounds of a plan. The protocol lets a kill follow SIGTERM after 3.7 s at the earliest, and a start a kill after 0.6 s.
const (
	earliestKill  = 3700 * time.Millisecond
	usualDown     = 600 * time.Millisecond
	longestStop   = 150 * time.Millisecond
	mostSenders   = 200
	senderMemory  = 48 << 20 // bytes, on the high side
	senderFiles   = 80       // descriptors of this process for one sender, beside its doors
	ownFiles      = 400
	signalKill    = "kill"
	signalTerm    = "term"
	signalStop    = "stop"
	signalHangup  = "hangup"
	defaultSettle = time.Second
)

// ErrPlan is wrapped by every fault of a plan.
var ErrInvalidPlan = errors.New("bad plan")

func planError(key, format string, args ...any) error {
	return fmt.Errorf("%w: %s: %s", ErrInvalidPlan, key, fmt.Sprintf(format, args...))
}

// Load reads a plan and its scenario. An unknown key, a fault without an end and an impossible value are refused.
func Load(path string) (*Plan, *scenario.Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	p := &Plan{Settle: scenario.Duration(defaultSettle)}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(p); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) && len(strict.Errors) > 0 {
			return nil, nil, planError(strings.Join(strict.Errors[0].Key(), "."), "no such key")
		}
		return nil, nil, fmt.Errorf("%w: %s: %w", ErrInvalidPlan, path, err)
	}
	s, err := scenario.Load(filepath.Join(filepath.Dir(path), p.Scenario))
	if err != nil {
		return nil, nil, planError("scenario", "%v", err)
	}
	for key, value := range p.Set {
		if s, err = s.Set(key, value); err != nil {
			return nil, nil, planError("set."+key, "%v", err)
		}
	}
	return p, s, p.check(s)
}

func (p *Plan) check(s *scenario.Scenario) error {
	for i, f := range p.Faults {
		key := fmt.Sprintf("fault.%d", i)
		if f.For <= 0 {
			return planError(key+".for", "%v: a fault needs an end", f.For.D())
		}
		if !slices.Contains(scenario.TroubleKinds(), f.Kind) || f.Kind == "restart" {
			return planError(key+".kind", "%q is none that receivers or clients play", f.Kind)
		}
		if !(f.Part > 0 && f.Part <= 1) {
			return planError(key+".part", "%v: more than 0 and at most 1 is expected", f.Part)
		}
	}
	for i, x := range p.Signals {
		if err := x.check(fmt.Sprintf("signal.%d", i)); err != nil {
			return err
		}
	}
	if d := p.Draw; d.Faults > 0 && (len(d.Kinds) == 0 || d.Shortest <= 0 || d.Longest < d.Shortest) {
		return planError("draw", "faults need kinds, and shortest and longest above 0")
	}
	if n := s.Senders.Count; n < 1 || n > mostSenders {
		return planError("senders.count", "%d: 1 to %d processes are expected", n, mostSenders)
	}
	return nil
}

func (x Signal) check(key string) error {
	switch {
	case !slices.Contains([]string{signalKill, signalTerm, signalStop, signalHangup}, x.Kind):
		return planError(key+".kind", "%q: kill, term, stop or hangup is expected", x.Kind)
	case !(x.Part > 0 && x.Part <= 1):
		return planError(key+".part", "%v: more than 0 and at most 1 is expected", x.Part)
	case x.Kind == signalStop && (x.For <= 0 || x.For.D() > longestStop):
		return planError(key+".for", "%v: more than 0 and at most %v is expected", x.For.D(), longestStop)
	case x.Kind == signalTerm && x.For.D() < earliestKill:
		return planError(key+".for", "%v: the kill comes %v after SIGTERM at the earliest", x.For.D(), earliestKill)
	}
	return nil
}

// Fits tells why a machine has no room for a plan, nil if it has.
func (p *Plan) CheckResources(s *scenario.Scenario, m scale.Machine) error {
	n := s.Senders.Count
	if need := int64(n) * senderMemory; need > m.Memory/2 {
		return planError("senders.count", "%d, which needs some %d MB; half of this machine's memory is %d MB", n, need>>20, m.Memory/2>>20)
	}
	endpoints := 0
	for _, k := range s.Kinds {
		endpoints += k.Destinations * slices.Max(k.Endpoints)
	}
	if need := ownFiles + n*(senderFiles+p.IdleConns+endpoints); need > m.Descriptors {
		return planError("senders.count", "%d before %d endpoints, which needs %d descriptors; the limit is %d (ulimit -n)", n, endpoints, need, m.Descriptors)
	}
	return nil
}

// drawn adds what a seed draws to the stated faults and signals.
func (p *Plan) drawn(seed uint64) (faults []scenario.Trouble, signals []Signal) {
	faults, signals = slices.Clone(p.Faults), slices.Clone(p.Signals)
	r := random.Stream(seed, "rig", 0)
	between := func(from, to scenario.Duration) scenario.Duration {
		return from + scenario.Duration(r.Float64()*float64(to-from))
	}
	for range p.Draw.Faults {
		faults = append(faults, drawFault(r, p.Draw.Kinds[r.IntN(len(p.Draw.Kinds))],
			between(p.Draw.From, p.Draw.To), between(p.Draw.Shortest, p.Draw.Longest)))
	}
	for range p.Draw.Signals {
		x := Signal{Kind: []string{signalKill, signalTerm, signalStop, signalHangup}[r.IntN(4)], At: between(p.Draw.From, p.Draw.To),
			Part: 0.05 + 0.4*r.Float64(), Gap: scenario.Duration(r.Float64() * float64(200*time.Millisecond)), Down: scenario.Duration(usualDown)}
		switch x.Kind {
		case signalTerm:
			x.For = scenario.Duration(earliestKill)
		case signalStop:
			x.For = scenario.Duration(longestStop)
		}
		signals = append(signals, x)
	}
	return faults, signals
}

func drawFault(r *rand.Rand, kind string, at, length scenario.Duration) scenario.Trouble {
	f := scenario.Trouble{Kind: kind, At: at, For: length, Part: 0.1 + 0.3*r.Float64(), By: "destination"}
	switch kind {
	case "errors", "lost_answers":
		f.Size = 0.5 + 0.5*r.Float64()
	case "slow":
		f.Size = 5 + 10*r.Float64()
	}
	return f
}
