// Package trouble owns what goes wrong in a run. A kind is one file that registers itself: its name, what it does, and a
// function that begins it and returns how to end it. A kind must never look at a policy, and must undo all it did, so
// that troubles may overlap freely.
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

// Stage is what troubles may touch.
type Environment struct {
	Scenario *scenario.Scenario
	Queue    *clock.Queue
	Registry *registry.Registry
	Clients  *client.LoadGenerator
	Units    func() []*receiver.Unit // by number; replacements add to them
	Weights  []float64               // traffic weight by destination
	Senders  int
	// StopSender ends a sender's process at once, StartSender brings it back.
	StopSender  func(sender int, kept bool)
	StartSender func(sender int)
	// Replace adds an endpoint that takes an old one's place.
	Replace func(old *receiver.Endpoint) *receiver.Endpoint
	// Log notes what happened, for timelines and charts.
	Log func(format string, args ...any)

	line *clock.Scheduler
}

// begin starts one trouble and returns what ends it.
type begin func(st *Environment, t scenario.Trouble, r *rand.Rand) (end func())

var kinds = map[string]begin{}

// register makes a kind known; about says what it does and what size and extra mean.
func register(name, about string, check func(scenario.Trouble) string, f begin) {
	kinds[name] = f
	scenario.RegisterTrouble(name, about, check)
}

// Schedule plans all troubles of a run.
func (st *Environment) Schedule(seed uint64) {
	st.line = st.Queue.NewScheduler(clock.Trouble, 0)
	seen := map[string]int{}
	for _, t := range st.Scenario.Troubles {
		// By what it is, not by its place: leaving another trouble out must not change whom this one strikes.
		name := fmt.Sprintf("trouble %s %v %v %v %s", t.Kind, t.At.D(), t.For.D(), t.Part, t.On)
		seen[name]++
		r := random.Stream(seed, name, seen[name])
		if t.Every == 0 {
			st.plan(t, t.At.D(), r)
			continue
		}
		for at := t.At.D(); ; {
			at += time.Duration(r.ExpFloat64() * float64(t.Every))
			if at >= st.Scenario.Run.Length.D() {
				break
			}
			st.plan(t, at, r)
		}
	}
}

func (st *Environment) plan(t scenario.Trouble, at time.Duration, r *rand.Rand) {
	st.line.At(at, func() {
		end := kinds[t.Kind](st, t, r)
		st.Log("%s begins", t.Kind)
		st.line.After(t.For.D(), func() {
			end()
			st.Log("%s ends", t.Kind)
		})
	})
}

// endpoints chooses the endpoints that a trouble strikes.
func (st *Environment) endpoints(t scenario.Trouble, r *rand.Rand) []*receiver.Endpoint {
	var pool []*receiver.Endpoint
	for _, u := range st.Units() {
		if t.On != "" && st.Scenario.Kinds[u.Kind].Name != t.On {
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
	chosen := st.choose(t, r, pool, group)
	return slices.DeleteFunc(pool, func(ep *receiver.Endpoint) bool { return !chosen[group(ep)] })
}

// choose picks a part of the groups, the busiest or any.
func (st *Environment) choose(t scenario.Trouble, r *rand.Rand, pool []*receiver.Endpoint, group func(*receiver.Endpoint) int) map[int]bool {
	var groups []int
	weight := map[int]float64{}
	for _, ep := range pool {
		g := group(ep)
		if _, seen := weight[g]; !seen {
			groups = append(groups, g)
		}
		weight[g] += st.Weights[ep.Unit.Dest]
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

// units returns the units of endpoints, each once, and whether all endpoints of each were struck.
func units(eps []*receiver.Endpoint) map[*receiver.Unit]bool {
	struck := map[*receiver.Unit]int{}
	for _, ep := range eps {
		struck[ep.Unit]++
	}
	whole := map[*receiver.Unit]bool{}
	for u, n := range struck {
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

// outage begins an outage of each unit that was struck as a whole, and returns what ends it. The rules speak of the
// destination or the route: one endpoint down of several is none.
func (st *Environment) outage(eps []*receiver.Endpoint) (end func()) {
	whole := units(eps)
	each := func(f func(u *receiver.Unit)) {
		for _, u := range st.Units() { // in order, as maps have none
			if whole[u] {
				f(u)
			}
		}
	}
	each(func(u *receiver.Unit) { u.BeginOutage(st.Queue.Now()) })
	return func() { each(func(u *receiver.Unit) { u.EndOutage(st.Queue.Now()) }) }
}

// onEndpoints is a kind that does something to each endpoint struck, and undoes it; an outage as a whole if asked.
func onEndpoints(isOutage func(scenario.Trouble) bool, do, undo func(ep *receiver.Endpoint, t scenario.Trouble)) begin {
	return func(st *Environment, t scenario.Trouble, r *rand.Rand) func() {
		eps := st.endpoints(t, r)
		end := func() {}
		if isOutage(t) {
			end = st.outage(eps)
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

func always(scenario.Trouble) bool { return true }
func never(scenario.Trouble) bool  { return false }

// sizeFrom checks that size lies in a range.
func sizeFrom(low, high float64, what string) func(scenario.Trouble) string {
	return func(t scenario.Trouble) string {
		if t.Size < low || t.Size > high {
			return "size: " + what
		}
		return ""
	}
}
