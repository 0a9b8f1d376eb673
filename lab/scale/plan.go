// Package scale plays the daemon at the size that is planned for, on loopback addresses: real processes beside hollow senders,
// with a discovery, destinations and clients of its own. It owns what it starts and ends all of it. Its figures come from
// sockets and /proc; it must never report one that a run did not give.
package scale

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"eiderhaven/lab/scenario"
)

// Plan is a plan file. Keys not given have the value of Default.
type Plan struct {
	Name   string            `toml:"name"`
	Seed   uint64            `toml:"seed"`
	Settle scenario.Duration `toml:"settle"` // rest before a measurement
	Window scenario.Duration `toml:"window"` // length of a measurement
	Within scenario.Duration `toml:"within"` // a list not heard, or a sender not ready, by then makes a failed row

	Senders struct {
		Real     int `toml:"real"`      // processes
		Slots    int `toml:"slots"`     // calls out at once, each
		MemoryMB int `toml:"memory_mb"` // each may use
		DiskMB   int `toml:"disk_mb"`
	} `toml:"senders"`

	// Base is what holds where an axis does not vary it.
	Base struct {
		Destinations      int     `toml:"destinations"`
		Simulated         int     `toml:"hollow"`
		Changes           int     `toml:"changes"`         // a minute
		Messages          float64 `toml:"messages"`        // a second, to each real sender
		SimulatedMessages float64 `toml:"hollow_messages"` // a second, in each hollow sender
		ListedRate        float64 `toml:"listed_rate"`     // calls a second that discovery lists for each destination
	} `toml:"base"`

	Axes struct {
		Destinations []int `toml:"destinations"`
		Held         []int `toml:"held"`
		Simulated    []int `toml:"hollow"`
		Changes      []int `toml:"changes"`
		Down         []int `toml:"down"`
		Unfinished   []int `toml:"owed"`
	} `toml:"axes"`

	Events struct {
		Play         []string          `toml:"play"`
		Real         int               `toml:"real"`
		Simulated    int               `toml:"hollow"`
		Destinations int               `toml:"destinations"`
		DownShare    float64           `toml:"down_share"`
		Changes      int               `toml:"changes"`
		Deadline     scenario.Duration `toml:"deadline"` // of the messages
		Before       scenario.Duration `toml:"before"`   // traffic before the event, and after it
		Away         scenario.Duration `toml:"away"`
		Cut          scenario.Duration `toml:"cut"`
		Zone         scenario.Duration `toml:"zone"`
	} `toml:"events"`
}

// Names of the axes and events, in the order in which they are played. EventsAxis stands for all events.
const EventsAxis = "events"

var (
	axisNames  = []string{"destinations", "held", "hollow", "changes", "down", "owed"}
	eventNames = []string{"restart_half", "discovery_away", "cut_off", "zone_down"}
)

// Default is a plan without axes and events.
func Default() *Plan {
	p := &Plan{Name: "scale", Seed: 1, Settle: scenario.Duration(time.Second), Window: scenario.Duration(3 * time.Second),
		Within: scenario.Duration(10 * time.Second)}
	p.Senders.Real, p.Senders.Slots, p.Senders.MemoryMB, p.Senders.DiskMB = 2, 64, 2048, 256
	p.Base.Destinations, p.Base.Simulated, p.Base.Changes, p.Base.Messages, p.Base.SimulatedMessages, p.Base.ListedRate = 1000, 8, 60, 50, 1, 1
	p.Events.Real, p.Events.Simulated, p.Events.Destinations, p.Events.DownShare, p.Events.Changes = 4, 30, 1000, 0.015, 60
	p.Events.Deadline, p.Events.Before = scenario.Duration(5*time.Second), scenario.Duration(3*time.Second)
	p.Events.Away, p.Events.Cut, p.Events.Zone = scenario.Duration(30*time.Second), scenario.Duration(time.Minute), scenario.Duration(10*time.Second)
	return p
}

// Load reads a plan file strictly and checks it, but not against a machine.
func Load(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	return Parse(path, text)
}

// Parse reads a plan's text; name is used in errors.
func Parse(name string, text []byte) (*Plan, error) {
	p := Default()
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(p); err != nil {
		return nil, decodeError(name, err)
	}
	if err := p.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return p, nil
}

// decodeFault is one line with file, line, key and what is wrong with it; the first where there are several.
func decodeError(name string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		e := &strict.Errors[0]
		line, _ := e.Position()
		return scenario.Problem{File: name, Line: line, Key: strings.Join(e.Key(), "."), Msg: "unknown key"}
	}
	var one *toml.DecodeError
	if errors.As(err, &one) {
		line, _ := one.Position()
		return scenario.Problem{File: name, Line: line, Key: strings.Join(one.Key(), "."), Msg: strings.TrimPrefix(one.Error(), "toml: ")}
	}
	return scenario.Problem{File: name, Msg: strings.ReplaceAll(err.Error(), "\n", " ")}
}

// points are the values of an axis; nil if the plan does not play it.
func (p *Plan) axisValues(axis string) []int {
	switch axis {
	case "destinations":
		return p.Axes.Destinations
	case "held":
		return p.Axes.Held
	case "hollow":
		return p.Axes.Simulated
	case "changes":
		return p.Axes.Changes
	case "down":
		return p.Axes.Down
	case "owed":
		return p.Axes.Unfinished
	}
	return nil
}

// leastPoints of an axis: three to fit, one of them for a residual, and one held out.
const minAxisPoints = 4

func (p *Plan) validate() error {
	num := func(key string, v, least, most float64) error {
		if v >= least && v <= most {
			return nil
		}
		return fmt.Errorf("%s: %.10g, expected %.10g to %.10g", key, v, least, most)
	}
	span := func(key string, d scenario.Duration, least, most time.Duration) error {
		if d.D() >= least && d.D() <= most {
			return nil
		}
		return fmt.Errorf("%s: %v, expected %v to %v", key, d.D(), least, most)
	}
	const million = 1_000_000
	b, e := &p.Base, &p.Events
	for _, err := range []error{
		span("settle", p.Settle, 0, time.Minute), span("window", p.Window, 100*time.Millisecond, time.Minute),
		span("within", p.Within, time.Second, 5*time.Minute),
		num("senders.real", float64(p.Senders.Real), 1, million), num("senders.slots", float64(p.Senders.Slots), 1, 300),
		num("senders.memory_mb", float64(p.Senders.MemoryMB), 64, million), num("senders.disk_mb", float64(p.Senders.DiskMB), 1, float64(p.Senders.MemoryMB)/2),
		num("base.destinations", float64(b.Destinations), 10, million), num("base.hollow", float64(b.Simulated), 0, million),
		num("base.changes", float64(b.Changes), 0, 6000), num("base.messages", b.Messages, 0, 5000), num("base.hollow_messages", b.SimulatedMessages, 0, 1000),
		num("base.listed_rate", b.ListedRate, 0, million),
		num("events.real", float64(e.Real), 2, million), num("events.hollow", float64(e.Simulated), 0, million), num("events.destinations", float64(e.Destinations), 10, million),
		num("events.down_share", e.DownShare, 0, 0.5), num("events.changes", float64(e.Changes), 1, 6000),
		span("events.deadline", e.Deadline, 500*time.Millisecond, 16*time.Second), span("events.before", e.Before, 500*time.Millisecond, time.Minute),
		span("events.away", e.Away, 500*time.Millisecond, 5*time.Minute), span("events.cut", e.Cut, 500*time.Millisecond, 5*time.Minute),
		span("events.zone", e.Zone, 500*time.Millisecond, 5*time.Minute),
	} {
		if err != nil {
			return err
		}
	}
	return p.validateAxes()
}

func (p *Plan) validateAxes() error {
	any := len(p.Events.Play) > 0
	for _, axis := range axisNames {
		points := p.axisValues(axis)
		if points == nil {
			continue
		}
		any = true
		if len(points) < minAxisPoints {
			return fmt.Errorf("axes.%s: %v, expected %d points at least", axis, points, minAxisPoints)
		}
		for i, v := range points {
			if v < 1 || v > 1_000_000 || i > 0 && v <= points[i-1] {
				return fmt.Errorf("axes.%s: %d, expected rising points from 1 to 1000000", axis, v)
			}
		}
		if axis == "destinations" && points[0] < 10 {
			return fmt.Errorf("axes.destinations: %d, expected 10 at least", points[0])
		}
		if last := points[len(points)-1]; axis == "down" && last > p.Base.Destinations/2 {
			return fmt.Errorf("axes.down: %d, expected half of base.destinations (%d) at most", last, p.Base.Destinations)
		}
	}
	for _, name := range p.Events.Play {
		if !slices.Contains(eventNames, name) {
			return fmt.Errorf("events.play: %q, expected one of %s", name, strings.Join(eventNames, ", "))
		}
	}
	if !any {
		return errors.New("axes: no points and no events, nothing to play")
	}
	return nil
}

// played are the axes that the plan plays, with EventsAxis, in order.
func (p *Plan) playedAxes() []string {
	var out []string
	for _, axis := range axisNames {
		if p.axisValues(axis) != nil {
			out = append(out, axis)
		}
	}
	if len(p.Events.Play) > 0 {
		out = append(out, EventsAxis)
	}
	return out
}

// shape is what one step sets up.
type setup struct {
	real, simulated, destinations, down int
	held, unfinished                    int // messages, in each real sender
	changes                             int // a minute
}

// at is the shape of a point of an axis.
func (p *Plan) pointSetup(axis string, value int) setup {
	s := setup{real: p.Senders.Real, simulated: p.Base.Simulated, destinations: p.Base.Destinations, changes: p.Base.Changes}
	switch axis {
	case "destinations":
		s.destinations = value
	case "held":
		s.held = value
	case "hollow":
		s.simulated = value
	case "changes":
		s.changes = value
	case "down":
		s.down = value
	case "owed":
		s.unfinished = value
	}
	if s.held+s.unfinished > 0 {
		s.down, s.real = 1, 1 // where they are held; one process is enough
	}
	return s
}

// eventShape is that of the events.
func (p *Plan) eventSetup() setup {
	e := &p.Events
	return setup{real: e.Real, simulated: e.Simulated, destinations: e.Destinations, down: int(float64(e.Destinations) * e.DownShare), changes: e.Changes}
}

// room is how many messages a sender may hold: more than any step needs.
func (p *Plan) maxMessages() int {
	return min(1_000_000, max(slices.Max(append([]int{10_000}, p.Axes.Held...)), slices.Max(append([]int{0}, p.Axes.Unfinished...)))+10_000)
}
