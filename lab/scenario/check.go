// This file owns the validation of a scenario. It must never change a value, only report what is wrong with it.

package scenario

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"eiderhaven/lab/random"
)

// checker collects the problems of a scenario.
type checker struct{ problems Problems }

// add reports a problem with a key.
func (c *checker) add(key, format string, args ...any) {
	c.problems = append(c.problems, Problem{Key: key, Msg: fmt.Sprintf(format, args...)})
}

// within checks that a number lies in a range. NaN lies in none.
func (c *checker) within(key string, x, low, high float64) {
	if !(x >= low && x <= high) {
		c.add(key, "%v is out of range: expected %v to %v", x, low, high)
	}
}

// positive checks that a number is finite and above 0.
func (c *checker) positive(key string, x float64) {
	if !(x > 0) || math.IsInf(x, 0) {
		c.add(key, "%v is impossible: expected more than 0", x)
	}
}

// duration checks that a duration lies in a range.
func (c *checker) duration(key string, d, low, high Duration) {
	if d < low || d > high {
		c.add(key, "%v is out of range: expected %v to %v", d.D(), low.D(), high.D())
	}
}

// oneOf checks that a string is one of the allowed values.
func (c *checker) oneOf(key, x string, allowed ...string) {
	if !slices.Contains(allowed, x) {
		c.add(key, "%q is unknown: expected %s", x, strings.Join(allowed, ", "))
	}
}

const (
	second = Duration(1e9)
	hour   = 3600 * second
)

const (
	// Upper limits, well above any deployment: endpoints of one destination, and destinations of a scenario.
	maxEndpoints    = 1_000_000
	maxDestinations = 2_000_000

	// Upper limit of the coefficient of variation of a lognormal distribution.
	maxCV = 20
)

// distribution checks the parameters that the shape of a distribution uses.
func (c *checker) distribution(key string, t Distribution) {
	switch t.Dist {
	case random.Constant:
		c.duration(key+".mean", t.Mean, 0, hour)
	case random.Exponential:
		c.duration(key+".mean", t.Mean, 1, hour)
	case random.Lognormal:
		c.duration(key+".mean", t.Mean, 1, hour)
		if !(t.CV > 0 && t.CV <= maxCV) {
			c.add(key+".cv", "%v is out of range: a lognormal distribution needs more than 0 and at most %d", t.CV, maxCV)
		}
	case random.Uniform:
		if t.Low < 0 || t.High < t.Low || t.High == 0 {
			c.add(key, "low %v and high %v are not a range: expected 0 <= low <= high, high above 0",
				t.Low.D(), t.High.D())
		}
	case random.Histogram:
		c.histogram(key, t)
	default:
		c.add(key+".dist", "%q is unknown: expected constant, exponential, lognormal, uniform or histogram", t.Dist)
	}
}

func (c *checker) histogram(key string, t Distribution) {
	if len(t.Bounds) == 0 || len(t.Bounds) != len(t.Weights) {
		c.add(key, "%d bounds and %d weights: a histogram needs the same number of each, one at least",
			len(t.Bounds), len(t.Weights))
		return
	}
	sum := 0.0
	for i, w := range t.Weights {
		if !(w >= 0) || math.IsInf(w, 0) {
			c.add(key+".weights", "%v is not a weight: expected 0 or more", w)
		}
		sum += w
		if t.Bounds[i] <= 0 || i > 0 && t.Bounds[i] <= t.Bounds[i-1] {
			c.add(key+".bounds", "bounds must be above 0 and increasing, found %v", t.Bounds[i].D())
		}
	}
	if !(sum > 0) {
		c.add(key+".weights", "all weights are 0: expected one above 0")
	}
}

// check returns all problems of the scenario.
func (s *Scenario) check() Problems {
	c := &checker{}
	if s.Version != Version {
		c.add("version", "%d is not read by this program: expected %d", s.Version, Version)
	}
	if s.Name == "" || strings.ContainsAny(s.Name, "/\\ \t\n") {
		c.add("name", "%q cannot name a folder: expected letters, digits and dashes", s.Name)
	}
	c.duration("run.length", s.Run.Length, 0, 24*hour)
	if s.Run.MaxEvents == 0 {
		c.add("run.max_events", "0 would stop every run at once: expected 1 or more")
	}
	c.duration("run.window", s.Run.Window, second/100, hour)
	s.checkSenders(c)
	s.checkSurroundings(c)
	s.checkTraffic(c)
	s.checkClasses(c)
	s.checkKinds(c)
	for i, t := range s.Troubles {
		s.checkTrouble(c, fmt.Sprintf("trouble.%d", i), t)
	}
	return c.problems
}

func (s *Scenario) checkSenders(c *checker) {
	x := s.Senders
	c.within("senders.count", float64(x.Count), 1, 10_000)
	c.within("senders.skew", x.Skew, 0, 5)
	c.duration("senders.tick", x.Tick, second/10_000, second)
	c.within("senders.slots", float64(x.Slots), 1, 1e6)
	c.within("senders.max_held", float64(x.MaxHeld), 1, 1e7)
	c.within("senders.max_attempts", float64(x.MaxAttempts), 1, 1000)
	c.duration("senders.connect_timeout", x.ConnectTimeout, second/1000, hour)
	c.duration("senders.keep_alive", x.KeepAlive, 0, 24*hour)
	c.duration("senders.max_retry_after", x.MaxRetryAfter, 0, hour)
	c.oneOf("senders.rates_listed", x.RatesListed, "none", "exact", "rough")
	c.within("senders.zones", float64(x.Zones), 1, 100)
}

func (s *Scenario) checkSurroundings(c *checker) {
	c.distribution("network.one_way", s.Network.OneWay)
	c.duration("network.cross_zone", s.Network.CrossZone, 0, 60*second)
	c.within("network.handshakes", s.Network.Handshakes, 0, 100)
	c.oneOf("registry.mode", s.Registry.Mode, "push", "ask")
	c.distribution("registry.lag", s.Registry.Lag)
	if e := s.Registry.HealthEvery; e != 0 {
		c.duration("registry.health_every", e, second/100, hour)
	}
	r := s.Rules
	c.duration("rules.answer_grace", r.AnswerGrace, 0, hour)
	c.duration("rules.drain_grace", r.DrainGrace, 0, hour)
	if !(r.ColdShare > 0 && r.ColdShare <= 1) {
		c.add("rules.cold_share", "%v is out of range: expected more than 0 and at most 1", r.ColdShare)
	}
	c.duration("rules.warm_up", r.WarmUp, 0, hour)
	c.duration("rules.fall_window", r.FallWindow, second/100, hour)
	c.within("rules.overload_factor", r.OverloadFactor, 1, 1000)
	c.within("rules.fall_chance", r.FallChance, 0, 10)
	c.oneOf("rules.fall_term", r.FallTerm, "roots", "standing")
	c.duration("rules.order_pause", r.OrderPause, 0, hour)
	c.duration("rules.restart_grace", r.RestartGrace, 0, hour)
	g := s.Goal
	for key, w := range map[string]float64{"whole": g.Whole, "worst": g.Worst, "class": g.Class, "refuse": g.Refuse} {
		c.within("goal."+key, w, 0, 100)
	}
	if g.Whole+g.Worst+g.Class <= 0 {
		c.add("goal", "whole, worst and class are all 0: expected one above 0")
	}
}

func (s *Scenario) checkTraffic(c *checker) {
	t := s.Traffic
	c.within("traffic.rate", t.Rate, 0, 1e6)
	c.oneOf("traffic.arrivals", t.Arrivals, "poisson", "even")
	c.within("traffic.zipf", t.Zipf, 0, 5)
	c.within("traffic.clumps", t.Clumps, 0, 0.95)
	c.within("traffic.clump_size", float64(t.ClumpSize), 1, 1e5)
	c.within("traffic.keys", float64(t.Keys), 1, 1e6)
	c.within("traffic.retries", float64(t.Retries), 0, 100)
	c.within("traffic.follows", t.Follows, 0, 1)
	c.within("traffic.max_messages", float64(t.MaxMessages), 0, 1e9)
	c.distribution("traffic.retry_wait", t.RetryWait)
	c.distribution("traffic.rescue", t.Rescue)
}

func (s *Scenario) checkClasses(c *checker) {
	if len(s.Classes) == 0 {
		c.add("class", "there is none: expected at least one [[class]] table")
	}
	shares := 0.0
	for i, x := range s.Classes {
		key := fmt.Sprintf("class.%d", i)
		if x.Name == "" {
			c.add(key+".name", "a class needs a name")
		}
		c.within(key+".share", x.Share, 0, 1e6)
		shares += x.Share
		c.oneOf(key+".effect", x.Effect, "safe", "keyed", "once")
		c.oneOf(key+".scope", x.Scope, "destination", "zone", "endpoint")
		c.duration(key+".window", x.Window, 0, 24*hour)
		c.duration(key+".deadline", x.Deadline, 1, 24*hour)
		c.duration(key+".aim", x.Aim, 0, x.Deadline)
		c.within(key+".worth", x.Worth, 0, 1e6)
		c.within(key+".late_worth", x.LateWorth, 0, 1)
		c.positive(key+".work", x.Work)
	}
	if len(s.Classes) > 0 && shares <= 0 {
		c.add("class", "all shares are 0: expected one above 0")
	}
	for i, t := range s.Tenants {
		key := fmt.Sprintf("tenant.%d", i)
		c.within(key+".share", t.Share, 0, 1e6)
		c.within(key+".quota", t.Quota, 0, 1e9)
	}
}

func (s *Scenario) checkKinds(c *checker) {
	names := map[string]bool{}
	total := 0
	for i, k := range s.Kinds {
		key := fmt.Sprintf("kind.%d", i)
		if k.Name == "" || names[k.Name] {
			c.add(key+".name", "%q: a kind needs a name of its own", k.Name)
		}
		names[k.Name] = true
		total += k.Destinations
		c.within(key+".destinations", float64(k.Destinations), 1, 1e6)
		if !validEndpointRange(k.Endpoints) {
			c.add(key+".endpoints", "%v: expected [least, most] with 1 <= least <= most <= %d", k.Endpoints, maxEndpoints)
		}
		c.within(key+".weight", k.Weight, 0, 1e6)
		c.within(key+".batch", float64(k.Batch), 1, 1000)
		c.within(key+".batch_cost", k.BatchCost, 0, 10)
		c.within(key+".servers", float64(k.Servers), 1, 1e6)
		c.within(key+".queue", float64(k.Queue), 0, 1e6)
		c.distribution(key+".service", k.Service)
		c.within(key+".spread", k.Spread, 0, 10)
		c.within(key+".connections", float64(k.Connections), 0, 1e6)
		c.oneOf(key+".drops", k.Drops, "none", "queued", "all")
		s.checkLimit(c, key+".limit", k.Limit)
	}
	if total > maxDestinations {
		c.add("kind", "%d destinations in all: expected %d at most", total, maxDestinations)
	}
}

// validEndpointRange reports whether a list is the least and the most endpoints of a destination.
func validEndpointRange(list []int) bool {
	return len(list) == 2 && 1 <= list[0] && list[0] <= list[1] && list[1] <= maxEndpoints
}

func (s *Scenario) checkLimit(c *checker, key string, l Limit) {
	c.oneOf(key+".type", l.Type, "none", "rate", "window", "concurrent")
	c.within(key+".tells", l.Tells, 0, 1)
	c.within(key+".headroom", l.Headroom, 0, 1000)
	c.within(key+".least", l.Least, 0, 1e6)
	switch {
	case l.Headroom > 0 && l.Type == "concurrent":
		c.add(key+".headroom", "a concurrent limit has no rate to scale: expected type rate or window, or no headroom")
	case l.Headroom > 0:
	case l.Type == "rate":
		c.positive(key+".rate", l.Rate)
	case l.Type == "window" || l.Type == "concurrent":
		c.within(key+".count", float64(l.Count), 1, 1e6)
	}
	if l.Type == "rate" {
		c.within(key+".burst", l.Burst, 1, 1e6)
	}
	if l.Type == "window" {
		c.duration(key+".span", l.Span, second/100, hour)
	}
}

func (s *Scenario) checkTrouble(c *checker, key string, t Trouble) {
	if !slices.Contains(TroubleKinds(), t.Kind) {
		c.add(key+".kind", "%q is unknown: expected one of %s", t.Kind, strings.Join(TroubleKinds(), ", "))
	}
	c.duration(key+".at", t.At, 0, 24*hour)
	c.duration(key+".every", t.Every, 0, 24*hour)
	if t.Every > 0 && t.Every < second/10 {
		c.add(key+".every", "%v is too often: expected 100ms or more, or 0 for once", t.Every.D())
	}
	c.duration(key+".for", t.For, 0, 24*hour)
	if !(t.Part > 0 && t.Part <= 1) {
		c.add(key+".part", "%v is out of range: expected more than 0 and at most 1", t.Part)
	}
	c.oneOf(key+".by", t.By, "destination", "endpoint", "zone")
	if t.On != "" && !slices.ContainsFunc(s.Kinds, func(k Kind) bool { return k.Name == t.On }) {
		c.add(key+".on", "no kind is named %q", t.On)
	}
	c.within(key+".size", t.Size, 0, 1e6)
	c.duration(key+".extra", t.Extra, 0, 24*hour)
	if k := troubleKinds[t.Kind]; k.check != nil {
		if msg := k.check(t); msg != "" {
			c.add(key, "%s", msg)
		}
	}
}

// troubleKind is a registered kind of fault.
type troubleKind struct {
	about string               // what it does, and what size and extra mean
	check func(Trouble) string // returns what is wrong with a fault of this kind, or ""; may be nil
}

var troubleKinds = map[string]troubleKind{}

// RegisterTrouble adds a kind of fault to the format. about describes it; check returns what is wrong with a fault of
// the kind, or "". The file that implements the kind calls it before any scenario is read.
func RegisterTrouble(kind, about string, check func(Trouble) string) {
	troubleKinds[kind] = troubleKind{about: about, check: check}
}

// TroubleKinds returns the registered kinds of fault, sorted.
func TroubleKinds() []string {
	var names []string
	for name := range troubleKinds {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// AboutTrouble returns the description of a kind of fault.
func AboutTrouble(kind string) string { return troubleKinds[kind].about }
