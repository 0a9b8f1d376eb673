// Package trouble injects faults into a run. Each kind of fault is one file that registers itself with its name, a
// description and a function that starts the fault and returns a function that ends it.
//
// A fault must never depend on a policy, and must undo all that it did when it ends, so that faults may overlap freely.
package trouble

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"eiderhaven/lab/client"
	"eiderhaven/lab/clock"
	"eiderhaven/lab/random"
	"eiderhaven/lab/receiver"
	"eiderhaven/lab/registry"
	"eiderhaven/lab/scenario"
)

// Environment holds the parts of a run that faults may change, and what they need to know of it.
type Environment struct {
	Scenario *scenario.Scenario
	Queue    *clock.Queue
	Registry *registry.Registry
	Clients  *client.LoadGenerator
	Units    func() []*receiver.Unit // by number, replacements included
	Weights  []float64               // traffic weight by destination
	Senders  int                     // number of senders
	// StopSender ends a sender's process at once; its state is lost unless kept is set. StartSender starts it again.
	StopSender  func(sender int, kept bool)
	StartSender func(sender int)
	// Replace adds an endpoint that takes the place of an old one.
	Replace func(old *receiver.Endpoint) *receiver.Endpoint
	// Log records an event, for timelines and charts.
	Log func(format string, args ...any)

	scheduler *clock.Scheduler
}

// startFunc starts a fault and returns a function that ends it. It draws random choices from r only.
type startFunc func(env *Environment, t scenario.Trouble, r *rand.Rand) (end func())

var startFuncs = map[string]startFunc{}

// register adds a kind of fault. about describes what it does and what size and extra mean; check returns what is wrong
// with a fault in a scenario file, or "".
func register(name, about string, check func(scenario.Trouble) string, start startFunc) {
	startFuncs[name] = start
	scenario.RegisterTrouble(name, about, check)
}

// Schedule schedules all faults of a run.
func (env *Environment) Schedule(seed uint64) {
	env.scheduler = env.Queue.NewScheduler(clock.Trouble, 0)
	seen := map[string]int{}
	for _, t := range env.Scenario.Troubles {
		// The random stream depends on the fault itself and not on its place in the list, so that leaving another fault out
		// does not change which endpoints this one affects.
		name := fmt.Sprintf("trouble %s %v %v %v %s", t.Kind, t.At.D(), t.For.D(), t.Part, t.On)
		seen[name]++
		r := random.Stream(seed, name, seen[name])
		if t.Every == 0 {
			env.schedule(t, t.At.D(), r)
			continue
		}
		for at := t.At.D(); ; {
			at += time.Duration(r.ExpFloat64() * float64(t.Every))
			if at >= env.Scenario.Run.Length.D() {
				break
			}
			env.schedule(t, at, r)
		}
	}
}

// schedule schedules one occurrence of a fault.
func (env *Environment) schedule(t scenario.Trouble, at time.Duration, r *rand.Rand) {
	env.scheduler.At(at, func() {
		end := startFuncs[t.Kind](env, t, r)
		env.Log("%s begins", t.Kind)
		env.scheduler.After(t.For.D(), func() {
			end()
			env.Log("%s ends", t.Kind)
		})
	})
}

// selectEndpoints returns the endpoints that a fault affects.
func (env *Environment) selectEndpoints(t scenario.Trouble, r *rand.Rand) []*receiver.Endpoint {
	var pool []*receiver.Endpoint
	for _, u := range env.Units() {
		if t.On != "" && env.Scenario.Kinds[u.Kind].Name != t.On {
			continue
		}
		for _, ep := range u.Endpoints {
			if !ep.Removed {
				pool = append(pool, ep)
			}
		}
	}
	group := func(ep *receiver.Endpoint) int { return ep.Unit.Dest }
	switch t.By {
	case "endpoint":
		group = func(ep *receiver.Endpoint) int { return ep.Number }
	case "zone":
		group = func(ep *receiver.Endpoint) int { return ep.Zone }
	}
	chosen := env.selectGroups(t, r, pool, group)
	return slices.DeleteFunc(pool, func(ep *receiver.Endpoint) bool { return !chosen[group(ep)] })
}

// selectGroups selects the fault's part of the groups that the endpoints form: the busiest, or a random choice.
func (env *Environment) selectGroups(
	t scenario.Trouble, r *rand.Rand, pool []*receiver.Endpoint, group func(*receiver.Endpoint) int,
) map[int]bool {
	var groups []int
	weight := map[int]float64{}
	for _, ep := range pool {
		g := group(ep)
		if _, seen := weight[g]; !seen {
			groups = append(groups, g)
		}
		weight[g] += env.Weights[ep.Unit.Dest]
	}
	r.Shuffle(len(groups), func(i, j int) { groups[i], groups[j] = groups[j], groups[i] })
	if t.Busy {
		slices.SortStableFunc(groups, func(a, b int) int {
			switch {
			case weight[a] > weight[b]:
				return -1
			case weight[a] < weight[b]:
				return 1
			}
			return a - b
		})
	}
	n := max(1, int(t.Part*float64(len(groups))+0.5))
	chosen := map[int]bool{}
	for _, g := range groups[:min(n, len(groups))] {
		chosen[g] = true
	}
	return chosen
}

// affectedUnits returns the units of the endpoints, and for each whether all of its endpoints are among them.
func affectedUnits(eps []*receiver.Endpoint) map[*receiver.Unit]bool {
	affected := map[*receiver.Unit]int{}
	for _, ep := range eps {
		affected[ep.Unit]++
	}
	whole := map[*receiver.Unit]bool{}
	for u, n := range affected {
		live := 0
		for _, ep := range u.Endpoints {
			if !ep.Removed {
				live++
			}
		}
		whole[u] = n >= live
	}
	return whole
}

// beginOutage begins an outage of each unit of which all endpoints are affected, and returns a function that ends it.
// The delivery rules concern a whole destination or route: one failed endpoint of several is no outage.
func (env *Environment) beginOutage(eps []*receiver.Endpoint) (end func()) {
	whole := affectedUnits(eps)
	each := func(f func(u *receiver.Unit)) {
		for _, u := range env.Units() { // not over the map, whose order is random
			if whole[u] {
				f(u)
			}
		}
	}
	each(func(u *receiver.Unit) { u.BeginOutage(env.Queue.Now()) })
	return func() { each(func(u *receiver.Unit) { u.EndOutage(env.Queue.Now()) }) }
}

// perEndpoint returns the start function of a fault that changes each affected endpoint, and undoes that when it ends.
// If isOutage holds, the fault is also an outage of each unit of which all endpoints are affected.
func perEndpoint(
	isOutage func(scenario.Trouble) bool, do, undo func(ep *receiver.Endpoint, t scenario.Trouble),
) startFunc {
	return func(env *Environment, t scenario.Trouble, r *rand.Rand) func() {
		eps := env.selectEndpoints(t, r)
		end := func() {}
		if isOutage(t) {
			end = env.beginOutage(eps)
		}
		for _, ep := range eps {
			do(ep, t)
		}
		return func() {
			for _, ep := range eps {
				undo(ep, t)
			}
			end()
		}
	}
}

// outageShare is the share of failing calls or lost answers from which on a fault counts as an outage.
const outageShare = 0.5

func sizeIsOutage(t scenario.Trouble) bool { return t.Size >= outageShare }

func always(scenario.Trouble) bool { return true }
func never(scenario.Trouble) bool  { return false }

// sizeWithin returns a check that the size lies in a range; message is returned if it does not.
func sizeWithin(low, high float64, message string) func(scenario.Trouble) string {
	return func(t scenario.Trouble) string {
		if t.Size < low || t.Size > high {
			return "size: " + message
		}
		return ""
	}
}
