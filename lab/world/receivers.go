// This file owns the construction of receivers from a scenario, for a run in virtual time and for stand-ins on
// sockets. It must never depend on who will call them.

package world

import (
	"cmp"
	"slices"
	"time"

	"eiderhaven/lab/clock"
	"eiderhaven/lab/random"
	"eiderhaven/lab/receiver"
	"eiderhaven/lab/registry"
	"eiderhaven/lab/scenario"
	"eiderhaven/rules"
)

// ReceiverSet holds all receivers of a scenario, as drawn from a seed.
type ReceiverSet struct {
	Units         []*receiver.Unit // by number
	Endpoints     map[rules.EndpointID]*receiver.Endpoint
	scenario      *scenario.Scenario
	seed          uint64
	queue         *clock.Queue
	registry      *registry.Registry
	observer      receiver.Observer
	endpointCount int // endpoints created so far; their IDs count from 1
}

// NewReceiverSet creates the receivers of a scenario and lists them in a registry.
func NewReceiverSet(s *scenario.Scenario, seed uint64, q *clock.Queue, reg *registry.Registry,
	observer receiver.Observer) *ReceiverSet {
	rs := &ReceiverSet{
		Endpoints: map[rules.EndpointID]*receiver.Endpoint{},
		scenario:  s,
		seed:      seed,
		queue:     q,
		registry:  reg,
		observer:  observer,
	}
	rs.build()
	reg.SealInitial()
	return rs
}

// build creates the endpoints and units of every destination and lists them.
func (rs *ReceiverSet) build() {
	weights := rs.scenario.DestinationWeights()
	meanWeight := 1 / float64(max(len(weights), 1))
	dest := 0
	for k := range rs.scenario.Kinds {
		kind := &rs.scenario.Kinds[k]
		for range kind.Destinations {
			rs.buildDestination(dest, k, kind, weights[dest], meanWeight)
			dest++
		}
	}
}

// Busiest returns up to n destinations, ordered by falling traffic.
func (rs *ReceiverSet) Busiest(n int) []int {
	weights := rs.scenario.DestinationWeights()
	order := make([]int, len(weights))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	return order[:min(n, len(order))]
}

// Capacity returns the calls per second that a destination can serve when it is warm.
func (rs *ReceiverSet) Capacity(dest int) float64 {
	rate := 0.0
	for _, u := range rs.Units {
		if u.Dest == dest {
			rate += u.Capacity()
		}
	}
	return rate
}

// buildDestination creates one destination of kind number k. weight is its share of the traffic, meanWeight the mean
// share of all destinations.
func (rs *ReceiverSet) buildDestination(dest, k int, kind *scenario.Kind, weight, meanWeight float64) {
	r := random.Stream(rs.seed, "destination", dest)
	spec := rs.spec(kind)
	if kind.Spread > 0 {
		spec.ServiceTimeFactor = random.NewLognormal(time.Second, kind.Spread).Draw(r).Seconds()
	}
	n := kind.DrawEndpoints(r)
	var u *receiver.Unit
	for i := range n {
		if i == 0 || kind.RoutesApart {
			u = receiver.NewUnit(len(rs.Units), dest, k, spec, r, rs.observer)
			rs.Units = append(rs.Units, u)
			units := max(1, min(n, unitsOf(kind, n)))
			rs.setLimit(u, kind.Limit, weight/float64(units), meanWeight)
		}
		ep := rs.newEndpoint(u, i%rs.scenario.Senders.Zones, kind.Connections)
		rs.registry.AddInitial(rules.Entry{Endpoint: ep.ID, Destination: dest, Kind: k, Zone: ep.Zone})
	}
	rs.listRates(dest, r.Float64())
}

// unitsOf returns the number of units that share the traffic of a destination.
func unitsOf(kind *scenario.Kind, endpoints int) int {
	if kind.RoutesApart {
		return endpoints
	}
	return 1
}

// listRates fills in the listed rates of a destination, as exactly as the scenario states them. draw is a uniform value
// from 0 to 1; it makes a rough rate up to half too low or too high.
func (rs *ReceiverSet) listRates(dest int, draw float64) {
	factor := 1.0
	switch rs.scenario.Senders.RatesListed {
	case "none":
		return
	case "rough":
		factor = 0.5 + draw
	}
	for _, u := range rs.Units {
		if u.Dest != dest {
			continue
		}
		for _, ep := range u.Endpoints {
			e, _ := rs.registry.Entry(ep.ID)
			e.ListedRate = u.Capacity() * factor
			rs.registry.UpdateInitial(e)
		}
	}
}

// spec returns the behaviour of the units of a kind.
func (rs *ReceiverSet) spec(kind *scenario.Kind) *receiver.Spec {
	r := rs.scenario.Rules
	spec := &receiver.Spec{
		Servers:           kind.Servers,
		MaxQueued:         kind.Queue,
		ServiceTime:       kind.Service.Random(),
		ServiceTimeFactor: 1,
		BatchCost:         kind.BatchCost,
		MaxBatch:          kind.Batch,
		DropAbandoned:     kind.Drops,
		ReportsLimit:      kind.Reports,
		RetryAfterShare:   kind.Limit.Tells,
		ColdShare:         r.ColdShare,
		WarmUp:            r.WarmUp.D(),
		FallWindow:        r.FallWindow.D(),
		OverloadFactor:    r.OverloadFactor,
		FallChance:        r.FallChance,
		StandingTerm:      r.FallTerm == "standing",
	}
	for _, c := range rs.scenario.Classes {
		window := time.Duration(0)
		if c.Effect == "keyed" {
			window = c.Window.D()
		}
		spec.WorkByClass = append(spec.WorkByClass, c.Work)
		spec.DedupWindows = append(spec.DedupWindows, window)
		spec.DedupScopes = append(spec.DedupScopes, scopes[c.Scope])
	}
	return spec
}

// Smallest limits that a unit can have.
const (
	minLimitRate  = 0.01 // calls per second
	minLimitCalls = 1    // calls per window, or concurrent calls
)

// setLimit sets the limit of a unit: as stated, scaled by its traffic over the mean, or as a multiple of what it is
// sent.
func (rs *ReceiverSet) setLimit(u *receiver.Unit, l scenario.Limit, weight, meanWeight float64) {
	factor := 1.0
	if l.Scales {
		factor = weight / meanWeight
	}
	sent := weight * rs.scenario.Traffic.Rate / float64(max(1, u.Spec.MaxBatch))
	switch l.Type {
	case "rate":
		rate := l.Rate * factor
		if l.Headroom > 0 {
			rate = l.Headroom * sent
		}
		u.SetRateLimit(max(rate, l.Least, minLimitRate), l.Burst, l.UsesUp)
	case "window":
		count := float64(l.Count) * factor
		if l.Headroom > 0 {
			count = l.Headroom * sent * l.Span.D().Seconds()
		}
		u.SetWindowLimit(max(count, l.Least*l.Span.D().Seconds(), minLimitCalls), l.Span.D(), l.UsesUp)
	case "concurrent":
		u.SetConcurrencyLimit(max(float64(l.Count)*factor, minLimitCalls))
	}
}

// newEndpoint creates an endpoint of a unit with the next ID.
func (rs *ReceiverSet) newEndpoint(u *receiver.Unit, zone, maxConns int) *receiver.Endpoint {
	rs.endpointCount++
	rng := random.Stream(rs.seed, "endpoint", rs.endpointCount)
	ep := receiver.NewEndpoint(rules.EndpointID(rs.endpointCount), rs.endpointCount, zone, u, maxConns, rs.queue, rng)
	rs.Endpoints[ep.ID] = ep
	return ep
}

// Replace creates an endpoint that replaces an old one; where routes are apart it gets a unit of its own.
func (rs *ReceiverSet) Replace(old *receiver.Endpoint) *receiver.Endpoint {
	u := old.Unit
	if rs.scenario.Kinds[u.Kind].RoutesApart {
		u = u.Replacement(len(rs.Units))
		rs.Units = append(rs.Units, u)
	}
	return rs.newEndpoint(u, old.Zone, old.Conns.MaxConns)
}
