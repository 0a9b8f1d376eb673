// This file owns the making of receivers from a scenario: for a run in virtual time, and for stand-ins on sockets. It must
// never ask who will call them.

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

// Site is all receivers of a scenario, as drawn from a seed.
type ReceiverSet struct {
	Units     []*receiver.Unit // by number
	Endpoints map[rules.EndpointID]*receiver.Endpoint
	s         *scenario.Scenario
	seed      uint64
	q         *clock.Queue
	reg       *registry.Registry
	obs       receiver.Observer
	number    int // endpoints made so far
}

// NewSite makes the receivers and lists them with a registry.
func NewReceiverSet(s *scenario.Scenario, seed uint64, q *clock.Queue, reg *registry.Registry, obs receiver.Observer) *ReceiverSet {
	w := &ReceiverSet{Endpoints: map[rules.EndpointID]*receiver.Endpoint{}, s: s, seed: seed, q: q, reg: reg, obs: obs}
	w.build()
	reg.SealInitial()
	return w
}

// buildReceivers makes every destination's endpoints and units, and lists them.
func (w *ReceiverSet) build() {
	weights := w.s.DestinationWeights()
	mean := 1 / float64(max(len(weights), 1))
	dest := 0
	for k := range w.s.Kinds {
		kind := &w.s.Kinds[k]
		for range kind.Destinations {
			w.buildDestination(dest, k, kind, weights[dest], mean)
			dest++
		}
	}
}

// Busiest lists up to n destinations, those with most traffic first.
func (w *ReceiverSet) Busiest(n int) []int {
	weights := w.s.DestinationWeights()
	order := make([]int, len(weights))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	return order[:min(n, len(order))]
}

// Rate is the calls a second that a destination takes at its best.
func (w *ReceiverSet) Capacity(dest int) float64 {
	rate := 0.0
	for _, u := range w.Units {
		if u.Dest == dest {
			rate += u.Capacity()
		}
	}
	return rate
}

func (w *ReceiverSet) buildDestination(dest, k int, kind *scenario.Kind, weight, mean float64) {
	r := random.Stream(w.seed, "destination", dest)
	spec := w.spec(kind)
	if kind.Spread > 0 {
		spec.ServiceTimeFactor = random.NewLognormal(time.Second, kind.Spread).Draw(r).Seconds()
	}
	n := kind.DrawEndpoints(r)
	var u *receiver.Unit
	for i := range n {
		if i == 0 || kind.RoutesApart {
			u = receiver.NewUnit(len(w.Units), dest, k, spec, r, w.obs)
			w.Units = append(w.Units, u)
			w.setLimit(u, kind.Limit, weight/float64(max(1, min(n, routes(kind, n)))), mean)
		}
		ep := w.newEndpoint(u, i%w.s.Senders.Zones, kind.Connections)
		w.reg.AddInitial(rules.Entry{Endpoint: ep.ID, Destination: dest, Kind: k, Zone: ep.Zone})
	}
	w.listRates(dest, r.Float64())
}

// routes is how many units share a destination's traffic.
func routes(kind *scenario.Kind, endpoints int) int {
	if kind.RoutesApart {
		return endpoints
	}
	return 1
}

// listRates fills in what the list tells of a destination's limits.
func (w *ReceiverSet) listRates(dest int, luck float64) {
	factor := 1.0
	switch w.s.Senders.RatesListed {
	case "none":
		return
	case "rough":
		factor = 0.5 + luck
	}
	for _, u := range w.Units {
		if u.Dest != dest {
			continue
		}
		for _, ep := range u.Endpoints {
			e, _ := w.reg.Entry(ep.ID)
			e.ListedRate = u.Capacity() * factor
			w.reg.UpdateInitial(e)
		}
	}
}

func (w *ReceiverSet) spec(kind *scenario.Kind) *receiver.Spec {
	r := w.s.Rules
	spec := &receiver.Spec{Servers: kind.Servers, MaxQueued: kind.Queue, ServiceTime: kind.Service.Random(), ServiceTimeFactor: 1,
		BatchCost: kind.BatchCost, MaxBatch: kind.Batch, DropAbandoned: kind.Drops, ReportsLimit: kind.Reports, RetryAfterShare: kind.Limit.Tells,
		ColdShare: r.ColdShare, WarmUp: r.WarmUp.D(), FallWindow: r.FallWindow.D(), OverloadFactor: r.OverloadFactor, FallChance: r.FallChance, StandingTerm: r.FallTerm == "standing"}
	for _, c := range w.s.Classes {
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

// setLimit gives a unit its limit: as stated, by its part of the traffic, or as a multiple of what it is sent.
func (w *ReceiverSet) setLimit(u *receiver.Unit, l scenario.Limit, weight, mean float64) {
	factor := 1.0
	if l.Scales {
		factor = weight / mean
	}
	sent := weight * w.s.Traffic.Rate / float64(max(1, u.Spec.MaxBatch))
	switch l.Type {
	case "rate":
		rate := l.Rate * factor
		if l.Headroom > 0 {
			rate = l.Headroom * sent
		}
		u.SetRateLimit(max(rate, l.Least, 0.01), l.Burst, l.UsesUp)
	case "window":
		count := float64(l.Count) * factor
		if l.Headroom > 0 {
			count = l.Headroom * sent * l.Span.D().Seconds()
		}
		u.SetWindowLimit(max(count, l.Least*l.Span.D().Seconds(), 1), l.Span.D(), l.UsesUp)
	case "concurrent":
		u.SetConcurrencyLimit(max(float64(l.Count)*factor, 1))
	}
}

func (w *ReceiverSet) newEndpoint(u *receiver.Unit, zone, cap int) *receiver.Endpoint {
	w.number++
	ep := receiver.NewEndpoint(rules.EndpointID(w.number), w.number, zone, u, cap, w.q, random.Stream(w.seed, "endpoint", w.number))
	w.Endpoints[ep.ID] = ep
	return ep
}

// Replace makes an endpoint that takes an old one's place; where routes are apart it is a route of its own.
func (w *ReceiverSet) Replace(old *receiver.Endpoint) *receiver.Endpoint {
	u := old.Unit
	if w.s.Kinds[u.Kind].RoutesApart {
		u = u.Replacement(len(w.Units))
		w.Units = append(w.Units, u)
	}
	return w.newEndpoint(u, old.Zone, old.Conns.MaxConns)
}
