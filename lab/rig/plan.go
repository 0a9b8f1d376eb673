// Package rig runs a fleet of real daemons as processes on loopback addresses and injects faults: receivers that fail
// as the lab's model does, clients that keep their connections, and signals. It checks all six rules by what clients
// and receivers observed. It owns every process that it starts, and ends it; it must never ask a sender whether a rule
// was kept.
package rig

import (
	"bytes"
	"errors"
	"fmt"
	"math"
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
	Name      string             `toml:"name"`     // used in the names of result directories
	Scenario  string             `toml:"scenario"` // file of the scenario, relative to the plan's
	Settle    scenario.Duration  `toml:"settle"`   // wait after the last deadline, for calls and notices still under way
	IdleConns int                `toml:"crowd"`    // connections that clients hold open to each sender without using them
	Set       map[string]string  `toml:"set"`      // keys of the scenario that the plan overrides
	Faults    []scenario.Trouble `toml:"fault"`    // troubles of receivers and clients
	Signals   []Signal           `toml:"signal"`
	Proxies   []Proxy            `toml:"proxy"`
	Draw      Draw               `toml:"draw"` // what each seed draws in addition to Faults and Signals
}

// Signal is sent to sender processes, or kills and restarts them.
type Signal struct {
	Kind string            `toml:"kind"` // kill, term, stop or hangup
	At   scenario.Duration `toml:"at"`
	Part float64           `toml:"part"` // share of the senders, rounded, but at least one sender
	Gap  scenario.Duration `toml:"gap"`  // from one sender to the next
	Down scenario.Duration `toml:"down"` // kill and term: from the kill to the next start
	For  scenario.Duration `toml:"for"`  // stop: until SIGCONT; term: until the kill

	// Series continues a kill or term: each value is the time from a start of the process to its next kill, whether or not
	// it is ready by then.
	Series []scenario.Duration `toml:"series"`
}

// Draw is what a seed draws: numbers of faults and signals, the kinds of the faults, and the ranges of their times.
type Draw struct {
	Faults   int               `toml:"faults"`
	Kinds    []string          `toml:"kinds"`
	Signals  int               `toml:"signals"`
	From     scenario.Duration `toml:"from"`
	To       scenario.Duration `toml:"to"`
	Shortest scenario.Duration `toml:"shortest"`
	Longest  scenario.Duration `toml:"longest"`
	Series   int               `toml:"series"`   // a kill or term that is drawn has up to so many further kills
	Restarts int               `toml:"restarts"` // series of kills of all senders, beside Signals

	Senders   []int               `toml:"senders"`   // numbers of senders, of which each seed takes one
	Deadlines []scenario.Duration `toml:"deadlines"` // deadlines of all classes, of which each seed takes one

	Crowd   int  `toml:"crowd"`   // every second seed, on average, has so many IdleConns more
	Proxies bool `toml:"proxies"` // the shares of the proxies' faults, each 0 to that of the plan

	FolderFailures int     `toml:"folder_failures"` // for a while a sender's folder takes nothing
	Repeats        float64 `toml:"repeats"`         // share of accepted messages whose ID is handed in once more
	Leavers        int     `toml:"leavers"`         // clients that write many requests and leave
}

// Values of Signal.Kind.
const (
	signalKill   = "kill"
	signalTerm   = "term"
	signalStop   = "stop"
	signalHangup = "hangup"
)

// signalKinds lists the kinds of signals. Draws depend on the order.
var signalKinds = []string{signalKill, signalTerm, signalStop, signalHangup}

// Limits of a plan. The protocol allows the kill 3.7 s after SIGTERM at the earliest, and the next start 0.6 s after a
// kill.
const (
	minTermToKill = 3700 * time.Millisecond
	minDown       = 600 * time.Millisecond
	maxStop       = 150 * time.Millisecond
	maxSenders    = 200
	defaultSettle = time.Second
)

// Estimated resources of a run, on the high side.
const (
	memoryPerSender      = 48 << 20 // bytes
	descriptorsPerSender = 80       // of this process, beside idle connections and listeners
	ownDescriptors       = 400
)

// Ranges of what a seed draws.
const (
	minSignalPart   = 0.05
	signalPartRange = 0.4
	maxSignalGap    = 200 * time.Millisecond
	minFaultPart    = 0.1
	faultPartRange  = 0.3
	minErrorShare   = 0.5 // of calls that fail, or of answers that are lost
	errorShareRange = 0.5
	minSeriesSpan   = 2 * time.Millisecond // from a start to the next kill
	maxSeriesSpan   = 3 * time.Second
	minSlowdown     = 5
	slowdownRange   = 10
)

// ErrInvalidPlan is wrapped by every error in a plan.
var ErrInvalidPlan = errors.New("bad plan")

func planError(key, format string, args ...any) error {
	return fmt.Errorf("%w: %s: %s", ErrInvalidPlan, key, fmt.Sprintf(format, args...))
}

// Load reads a plan and its scenario. It refuses unknown keys, values out of range and faults that do not end.
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
	var setErr *scenario.SetError
	if s, err = s.SetAll(p.Set); errors.As(err, &setErr) {
		return nil, nil, planError("set."+setErr.Key, "%v", err)
	} else if err != nil {
		return nil, nil, planError("set", "%v", err)
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
			return planError(key+".kind", "%q is not a kind that receivers or clients play", f.Kind)
		}
		if !isShare(f.Part) {
			return planError(key+".part", "%v: expected more than 0 and at most 1", f.Part)
		}
	}
	senderEnds := p.Draw.Signals > 0 || p.Draw.Restarts > 0 || slices.ContainsFunc(p.Signals, func(x Signal) bool {
		return x.Kind == signalKill || x.Kind == signalTerm
	})
	if err := checkProxies(p.Proxies, senderEnds); err != nil {
		return err
	}
	for i, x := range p.Signals {
		if err := x.check(fmt.Sprintf("signal.%d", i)); err != nil {
			return err
		}
	}
	if d := p.Draw; d.Faults > 0 && (len(d.Kinds) == 0 || d.Shortest <= 0 || d.Longest < d.Shortest) {
		return planError("draw", "faults need kinds, and shortest and longest above 0")
	}
	for _, n := range append([]int{s.Senders.Count}, p.Draw.Senders...) {
		if n < 1 || n > maxSenders {
			return planError("senders.count", "%d: expected 1 to %d processes", n, maxSenders)
		}
	}
	for _, deadline := range p.Draw.Deadlines {
		if deadline <= 0 {
			return planError("draw.deadlines", "%v: expected more than 0", deadline.D())
		}
	}
	return nil
}

// aimDivisor is the share of a drawn deadline that is its class's aim.
const aimDivisor = 3

// drawScenario returns the scenario of a seed: its number of senders, and the deadlines of its classes.
func (p *Plan) drawScenario(s *scenario.Scenario, seed uint64) *scenario.Scenario {
	drawn := *s
	r := random.Stream(seed, "rig scenario", 0)
	sizes, deadlines := p.Draw.Senders, p.Draw.Deadlines
	if len(sizes) > 0 {
		drawn.Senders.Count = sizes[int(seed)%len(sizes)] // each as often as the others
	}
	if len(deadlines) > 0 {
		deadline := deadlines[r.IntN(len(deadlines))]
		drawn.Classes = slices.Clone(s.Classes)
		for i := range drawn.Classes {
			drawn.Classes[i].Deadline, drawn.Classes[i].Aim = deadline, deadline/aimDivisor
		}
	}
	return &drawn
}

// isShare reports whether a part is above 0 and at most 1.
func isShare(part float64) bool { return part > 0 && part <= 1 }

func (x Signal) check(key string) error {
	switch {
	case !slices.Contains(signalKinds, x.Kind):
		return planError(key+".kind", "%q: expected kill, term, stop or hangup", x.Kind)
	case !isShare(x.Part):
		return planError(key+".part", "%v: expected more than 0 and at most 1", x.Part)
	case x.Kind == signalStop && (x.For <= 0 || x.For.D() > maxStop):
		return planError(key+".for", "%v: expected more than 0 and at most %v", x.For.D(), maxStop)
	case x.Kind == signalTerm && x.For.D() < minTermToKill:
		return planError(key+".for", "%v: expected at least %v from SIGTERM to the kill", x.For.D(), minTermToKill)
	case len(x.Series) > 0 && x.Kind != signalKill && x.Kind != signalTerm:
		return planError(key+".series", "expected none with %q", x.Kind)
	}
	return nil
}

// CheckResources returns an error if a machine lacks the memory or the file descriptors for a plan.
func (p *Plan) CheckResources(s *scenario.Scenario, m scale.Machine) error {
	n := slices.Max(append([]int{s.Senders.Count}, p.Draw.Senders...))
	if need := int64(n) * memoryPerSender; need > m.Memory/2 {
		return planError("senders.count", "%d, which needs about %d MB; half of this machine's memory is %d MB",
			n, need>>20, m.Memory/2>>20)
	}
	endpoints := 0
	for _, k := range s.Kinds {
		endpoints += k.Destinations * slices.Max(k.Endpoints)
	}
	if need := ownDescriptors + n*(descriptorsPerSender+p.IdleConns+p.Draw.Crowd+endpoints); need > m.Descriptors {
		return planError("senders.count", "%d with %d endpoints, which needs %d descriptors; the limit is %d (ulimit -n)",
			n, endpoints, need, m.Descriptors)
	}
	return nil
}

// drawFaultsAndSignals returns the plan's faults and signals and those that a seed draws.
func (p *Plan) drawFaultsAndSignals(seed uint64) (faults []scenario.Trouble, signals []Signal) {
	faults, signals = slices.Clone(p.Faults), slices.Clone(p.Signals)
	r := random.Stream(seed, "rig", 0)
	drawBetween := func(from, to scenario.Duration) scenario.Duration {
		return from + scenario.Duration(r.Float64()*float64(to-from))
	}
	for range p.Draw.Faults {
		kind := p.Draw.Kinds[r.IntN(len(p.Draw.Kinds))]
		at := drawBetween(p.Draw.From, p.Draw.To)
		length := drawBetween(p.Draw.Shortest, p.Draw.Longest)
		faults = append(faults, drawFault(r, kind, at, length))
	}
	for range p.Draw.Signals {
		x := Signal{
			Kind: signalKinds[r.IntN(len(signalKinds))],
			At:   drawBetween(p.Draw.From, p.Draw.To),
			Part: minSignalPart + signalPartRange*r.Float64(),
			Gap:  scenario.Duration(r.Float64() * float64(maxSignalGap)),
			Down: scenario.Duration(minDown),
		}
		switch x.Kind {
		case signalTerm:
			x.For = scenario.Duration(minTermToKill)
		case signalStop:
			x.For = scenario.Duration(maxStop)
		}
		signals = append(signals, x)
	}
	if p.Draw.Series > 0 || p.Draw.Restarts > 0 {
		signals = p.drawSeries(random.Stream(seed, "rig series", 0), signals)
	}
	return faults, signals
}

// drawSeries gives the kills and terms among the signals a series of further kills, and adds the series of kills of all
// senders. The time to the next kill lies between moments and seconds, each order of magnitude as often as the others.
func (p *Plan) drawSeries(r *rand.Rand, signals []Signal) []Signal {
	for range p.Draw.Restarts {
		at := p.Draw.From + scenario.Duration(r.Float64()*float64(p.Draw.To-p.Draw.From))
		signals = append(signals, Signal{Kind: signalKill, At: at, Part: 1, Down: scenario.Duration(minDown)})
	}
	for i := range signals {
		if x := &signals[i]; x.Kind == signalKill || x.Kind == signalTerm {
			for range r.IntN(p.Draw.Series + 1) {
				span := float64(minSeriesSpan) * math.Pow(float64(maxSeriesSpan)/float64(minSeriesSpan), r.Float64())
				x.Series = append(x.Series, scenario.Duration(span))
			}
		}
	}
	return signals
}

// crowdShare is the share of seeds with a crowd, where the plan has one to draw.
const crowdShare = 0.5

// drawnParts are what a seed draws beside faults and signals.
type drawnParts struct {
	idleConns int
	proxies   []Proxy
}

// drawParts returns the idle connections to each sender and the proxies of a seed.
func (p *Plan) drawParts(seed uint64) drawnParts {
	parts := drawnParts{idleConns: p.IdleConns, proxies: slices.Clone(p.Proxies)}
	if random.Stream(seed, "rig crowd", 0).Float64() < crowdShare {
		parts.idleConns += p.Draw.Crowd
	}
	if p.Draw.Proxies {
		r := random.Stream(seed, "rig proxies", 0)
		for i := range parts.proxies {
			parts.proxies[i].scaleShares(r)
		}
	}
	return parts
}

func drawFault(r *rand.Rand, kind string, at, length scenario.Duration) scenario.Trouble {
	f := scenario.Trouble{
		Kind: kind,
		At:   at,
		For:  length,
		Part: minFaultPart + faultPartRange*r.Float64(),
		By:   "destination",
	}
	switch kind {
	case "errors", "lost_answers", "refusals":
		f.Size = minErrorShare + errorShareRange*r.Float64()
	case "slow":
		f.Size = minSlowdown + slowdownRange*r.Float64()
	}
	return f
}
