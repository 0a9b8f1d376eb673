// Package scale measures the daemon at the size that it is planned for, on loopback addresses: real sender processes
// beside simulated senders, with a stand-in discovery, destinations and clients. A plan names axes (the number of
// destinations, messages held, changes of endpoints, ...) whose points are measured and fitted one by one, and events
// (a zone goes down, ...) that are played and judged. The package ends everything that it starts. Its figures come from
// sockets and /proc; it must never report one that was not measured in the run.
//
// This file owns the plan: its file, its limits and the setup of each step.
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

// Plan is the content of a plan file. Missing keys have the values of Default.
type Plan struct {
	Name   string            `toml:"name"`
	Seed   uint64            `toml:"seed"`
	Settle scenario.Duration `toml:"settle"` // pause before a measurement
	Window scenario.Duration `toml:"window"` // length of a measurement
	Within scenario.Duration `toml:"within"` // time limit for a sender to become ready and get the list

	Senders struct {
		Real     int `toml:"real"`      // processes
		Slots    int `toml:"slots"`     // calls in flight at once, of each
		MemoryMB int `toml:"memory_mb"` // limit of each
		DiskMB   int `toml:"disk_mb"`   // limit of each
	} `toml:"senders"`

	// Base has the values that apply where an axis does not vary them.
	Base struct {
		Destinations      int     `toml:"destinations"`
		Simulated         int     `toml:"hollow"`
		Changes           int     `toml:"changes"`         // a minute
		Messages          float64 `toml:"messages"`        // a second, to each real sender
		SimulatedMessages float64 `toml:"hollow_messages"` // a second, in each simulated sender
		ListedRate        float64 `toml:"listed_rate"`     // calls a second that discovery lists for each destination
	} `toml:"base"`

	// Axes has the points of each axis; the axes without points are not played.
	Axes struct {
		Destinations []int `toml:"destinations"`
		Held         []int `toml:"held"` // messages held by the real sender
		Simulated    []int `toml:"hollow"`
		Changes      []int `toml:"changes"` // a minute
		Down         []int `toml:"down"`    // destinations that cannot be reached
		Unfinished   []int `toml:"owed"`    // unfinished messages that a restarted sender recovers
	} `toml:"axes"`

	Events struct {
		Play         []string          `toml:"play"` // names of events
		Real         int               `toml:"real"`
		Simulated    int               `toml:"hollow"`
		Destinations int               `toml:"destinations"`
		DownShare    float64           `toml:"down_share"` // of the destinations, down all the time
		Changes      int               `toml:"changes"`
		Deadline     scenario.Duration `toml:"deadline"` // of a message, from its submission
		Before       scenario.Duration `toml:"before"`   // length of undisturbed traffic before and after the event
		Away         scenario.Duration `toml:"away"`     // how long discovery is down
		Cut          scenario.Duration `toml:"cut"`      // how long senders are cut off from discovery
		Zone         scenario.Duration `toml:"zone"`     // how long a zone is down
	} `toml:"events"`
}

// EventsAxis is the name under which all events are played, as if they were points of an axis.
const EventsAxis = "events"

// Names of the axes and events, in the order in which they are played.
var (
	axisNames  = []string{"destinations", "held", "hollow", "changes", "down", "owed"}
	eventNames = []string{"restart_half", "discovery_away", "cut_off", "zone_down"}
)

// Default returns the default plan, without axes and events.
func Default() *Plan {
	p := &Plan{
		Name:   "scale",
		Seed:   1,
		Settle: scenario.Duration(time.Second),
		Window: scenario.Duration(3 * time.Second),
		Within: scenario.Duration(10 * time.Second),
	}

	p.Senders.Real = 2
	p.Senders.Slots = 64
	p.Senders.MemoryMB = 2048
	p.Senders.DiskMB = 256

	p.Base.Destinations = 1000
	p.Base.Simulated = 8
	p.Base.Changes = 60
	p.Base.Messages = 50
	p.Base.SimulatedMessages = 1
	p.Base.ListedRate = 1

	p.Events.Real = 4
	p.Events.Simulated = 30
	p.Events.Destinations = 1000
	p.Events.DownShare = 0.015
	p.Events.Changes = 60
	p.Events.Deadline = scenario.Duration(5 * time.Second)
	p.Events.Before = scenario.Duration(3 * time.Second)
	p.Events.Away = scenario.Duration(30 * time.Second)
	p.Events.Cut = scenario.Duration(time.Minute)
	p.Events.Zone = scenario.Duration(10 * time.Second)
	return p
}

// Load reads and validates a plan file. Unknown keys are errors. Whether the plan fits a machine is not checked.
func Load(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	return Parse(path, text)
}

// Parse reads and validates the text of a plan file; name is used in errors.
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

// decodeError returns an error of one line with file, line, key and the fault; the first if there are several.
func decodeError(name string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		unknown := &strict.Errors[0]
		line, _ := unknown.Position()
		return scenario.Problem{File: name, Line: line, Key: strings.Join(unknown.Key(), "."), Msg: "unknown key"}
	}
	var invalid *toml.DecodeError
	if errors.As(err, &invalid) {
		line, _ := invalid.Position()
		return scenario.Problem{
			File: name, Line: line, Key: strings.Join(invalid.Key(), "."),
			Msg: strings.TrimPrefix(invalid.Error(), "toml: "),
		}
	}
	return scenario.Problem{File: name, Msg: strings.ReplaceAll(err.Error(), "\n", " ")}
}

// axisValues returns the points of an axis; nil if the plan does not play it.
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

// minAxisPoints is the least number of points of an axis: three to fit, so that there is a residual, and one held out.
const minAxisPoints = 4

// validate checks every value against its limits.
func (p *Plan) validate() error {
	checkNumber := func(key string, v, least, most float64) error {
		if v >= least && v <= most {
			return nil
		}
		return fmt.Errorf("%s: %.10g, expected %.10g to %.10g", key, v, least, most)
	}
	checkInt := func(key string, v, least, most int) error {
		return checkNumber(key, float64(v), float64(least), float64(most))
	}
	checkDuration := func(key string, d scenario.Duration, least, most time.Duration) error {
		if d.D() >= least && d.D() <= most {
			return nil
		}
		return fmt.Errorf("%s: %v, expected %v to %v", key, d.D(), least, most)
	}
	const million = 1_000_000
	b, e := &p.Base, &p.Events
	for _, err := range []error{
		checkDuration("settle", p.Settle, 0, time.Minute),
		checkDuration("window", p.Window, 100*time.Millisecond, time.Minute),
		checkDuration("within", p.Within, time.Second, 5*time.Minute),

		checkInt("senders.real", p.Senders.Real, 1, million),
		checkInt("senders.slots", p.Senders.Slots, 1, 300),
		checkInt("senders.memory_mb", p.Senders.MemoryMB, 64, million),
		checkNumber("senders.disk_mb", float64(p.Senders.DiskMB), 1, float64(p.Senders.MemoryMB)/2),

		checkInt("base.destinations", b.Destinations, 10, million),
		checkInt("base.hollow", b.Simulated, 0, million),
		checkInt("base.changes", b.Changes, 0, 6000),
		checkNumber("base.messages", b.Messages, 0, 5000),
		checkNumber("base.hollow_messages", b.SimulatedMessages, 0, 1000),
		checkNumber("base.listed_rate", b.ListedRate, 0, million),

		checkInt("events.real", e.Real, 2, million),
		checkInt("events.hollow", e.Simulated, 0, million),
		checkInt("events.destinations", e.Destinations, 10, million),
		checkNumber("events.down_share", e.DownShare, 0, 0.5),
		checkInt("events.changes", e.Changes, 1, 6000),
		checkDuration("events.deadline", e.Deadline, 500*time.Millisecond, 16*time.Second),
		checkDuration("events.before", e.Before, 500*time.Millisecond, time.Minute),
		checkDuration("events.away", e.Away, 500*time.Millisecond, maxOutage),
		checkDuration("events.cut", e.Cut, 500*time.Millisecond, maxOutage),
		checkDuration("events.zone", e.Zone, 500*time.Millisecond, maxOutage),
	} {
		if err != nil {
			return err
		}
	}
	return p.validateAxes()
}

// validateAxes checks the points of the axes and the names of the events.
func (p *Plan) validateAxes() error {
	anything := len(p.Events.Play) > 0
	for _, axis := range axisNames {
		points := p.axisValues(axis)
		if points == nil {
			continue
		}
		anything = true
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
			return fmt.Errorf("axes.down: %d, expected half of base.destinations (%d) at most",
				last, p.Base.Destinations)
		}
	}
	for _, name := range p.Events.Play {
		if !slices.Contains(eventNames, name) {
			return fmt.Errorf("events.play: %q, expected one of %s", name, strings.Join(eventNames, ", "))
		}
	}
	if !anything {
		return errors.New("axes: no points and no events, nothing to play")
	}
	return nil
}

// playedAxes returns the axes that the plan plays, EventsAxis included, in order.
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

// setup is the size of what one step starts.
type setup struct {
	real, simulated    int // senders
	destinations, down int // all destinations, and those of them that are down all the time
	held, unfinished   int // messages, in each real sender
	changes            int // a minute
}

// pointSetup returns the setup for a point of an axis.
func (p *Plan) pointSetup(axis string, value int) setup {
	s := setup{
		real: p.Senders.Real, simulated: p.Base.Simulated,
		destinations: p.Base.Destinations, changes: p.Base.Changes,
	}
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
		s.down = 1 // the destination for which the messages are held
		s.real = 1 // one process is enough
	}
	return s
}

// eventSetup returns the setup for the events.
func (p *Plan) eventSetup() setup {
	e := &p.Events
	return setup{
		real: e.Real, simulated: e.Simulated, destinations: e.Destinations,
		down: int(float64(e.Destinations) * e.DownShare), changes: e.Changes,
	}
}

// Limits of the messages that a sender may hold.
const (
	baseMessageLimit    = 10_000 // without the reserve
	messageLimitReserve = 10_000
	topMessageLimit     = 1_000_000
)

// maxMessages returns how many messages a sender may hold: more than any step needs.
func (p *Plan) maxMessages() int {
	needed := baseMessageLimit
	for _, n := range slices.Concat(p.Axes.Held, p.Axes.Unfinished) {
		needed = max(needed, n)
	}
	return min(topMessageLimit, needed+messageLimitReserve)
}
