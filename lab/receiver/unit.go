// This file owns units: what shares one limit, one capacity and its outages, and the cold recovery after each outage.

package receiver

import (
	"math"
	"math/rand/v2"
	"time"

	"eiderhaven/lab/model"
)

// Unit is a group of endpoints with a common limit, capacity and outages: a destination, or one of its endpoints
// where the kind has separate routes.
type Unit struct {
	Number    int
	Dest      int
	Kind      int
	Spec      *Spec
	Endpoints []*Endpoint
	limit     limit
	rng       *rand.Rand
	observer  Observer

	activeOutages  int           // number of active faults that cause an outage
	OutageSince    time.Duration // when the outage began
	cold           bool          // warming up after an outage
	coldSince      time.Duration // when the last outage ended
	Collapsed      bool          // overloaded during recovery; stays down for the rest of the run
	recentArrivals []Arrival     // while cold: the calls within the fall window
	Refusals       int
}

// Arrival is a call that reached a unit while it was cold.
type Arrival struct {
	At     time.Duration
	Sender int
	Weight float64 // in calls; a batch weighs more than one
}

// NewUnit returns a unit without endpoints.
func NewUnit(number, dest, kind int, spec *Spec, rng *rand.Rand, observer Observer) *Unit {
	return &Unit{Number: number, Dest: dest, Kind: kind, Spec: spec, rng: rng, observer: observer}
}

// SetRateLimit limits the unit to a rate of calls.
func (u *Unit) SetRateLimit(perSecond, burst float64, countsRefused bool) {
	u.limit = newRateLimit(perSecond, burst, countsRefused)
}

// SetWindowLimit limits the unit to a count of calls per window.
func (u *Unit) SetWindowLimit(count float64, span time.Duration, countsRefused bool) {
	u.limit = &windowLimit{base: count, factor: 1, span: span, countsRefused: countsRefused, index: noWindow}
}

// SetConcurrencyLimit limits the unit to a number of concurrent calls.
func (u *Unit) SetConcurrencyLimit(count float64) { u.limit = &concurrentLimit{base: count, factor: 1} }

// Replacement returns a unit for a route that replaces this one: it has the same limit and none of its state.
func (u *Unit) Replacement(number int) *Unit {
	replacement := NewUnit(number, u.Dest, u.Kind, u.Spec, u.rng, u.observer)
	if u.limit != nil {
		replacement.limit = u.limit.unusedCopy()
	}
	return replacement
}

// Capacity returns the calls per second that the unit can serve when warm, given its limit and its servers.
func (u *Unit) Capacity() float64 {
	rate := u.serverRate()
	if u.limit != nil {
		if l := u.limit.perSecond(); l > 0 {
			rate = min(rate, l)
		}
	}
	return rate
}

// minMeanServiceTime, in seconds, avoids a division by zero.
const minMeanServiceTime = 1e-9

// serverRate returns the calls per second that all servers of the unit complete.
func (u *Unit) serverRate() float64 {
	meanWork := 0.0
	for _, w := range u.Spec.WorkByClass {
		meanWork += w / float64(len(u.Spec.WorkByClass))
	}
	n := 0
	for _, ep := range u.Endpoints {
		if !ep.Removed {
			n++
		}
	}
	meanServiceTime := u.Spec.ServiceTime.Mean().Seconds() * u.Spec.ServiceTimeFactor * meanWork
	return float64(n*u.Spec.Servers) / max(meanServiceTime, minMeanServiceTime)
}

// CapacityShare returns the share of its capacity that the unit has at a time. Endpoints that joined after the outage
// are separate machines and were never cold; the others warm up linearly.
func (u *Unit) CapacityShare(now time.Duration) float64 {
	share := u.warmUpShare(now)
	if share == 1 {
		return 1
	}
	recovering, all := u.countEndpoints()
	if all == 0 {
		return share
	}
	return 1 - (1-share)*float64(recovering)/float64(all)
}

// warmUpShare returns the capacity share of an endpoint that went through the outage.
func (u *Unit) warmUpShare(now time.Duration) float64 {
	if !u.cold {
		return 1
	}
	if now-u.coldSince >= u.Spec.WarmUp {
		u.cold, u.recentArrivals = false, nil
		return 1
	}
	return u.Spec.ColdShare + (1-u.Spec.ColdShare)*(now-u.coldSince).Seconds()/u.Spec.WarmUp.Seconds()
}

// Down reports whether the unit is in an outage or has collapsed.
func (u *Unit) Down() bool { return u.activeOutages > 0 || u.Collapsed }

// BeginOutage adds a cause of an outage.
func (u *Unit) BeginOutage(now time.Duration) {
	if u.activeOutages++; u.activeOutages == 1 && !u.Collapsed {
		u.OutageSince, u.cold, u.recentArrivals = now, false, nil
		u.observer.Outage(u, true)
	}
}

// EndOutage removes a cause; after the last one the unit recovers cold.
func (u *Unit) EndOutage(now time.Duration) {
	if u.activeOutages--; u.activeOutages == 0 && !u.Collapsed {
		u.cold, u.coldSince, u.recentArrivals = true, now, nil
		u.observer.Outage(u, false)
	}
}

// ScaleLimit sets the limit to a multiple of its base value; 1 restores it.
func (u *Unit) ScaleLimit(now time.Duration, factor float64) {
	if u.limit != nil {
		u.limit.setFactor(now, factor)
	}
}

// recordColdArrival counts what the endpoints of a cold unit are sent, and makes the unit collapse when that is too
// much. Endpoints that joined after the outage neither count nor contribute to the budget.
func (u *Unit) recordColdArrival(now time.Duration, ep *Endpoint, c *model.Call) {
	share := u.warmUpShare(now) // ends the cold state when it is over
	if !u.cold || u.Collapsed || ep.created > u.coldSince {
		return
	}
	weight := 1 + float64(len(c.Messages)-1)*u.Spec.BatchCost
	u.recentArrivals = append(u.recentArrivals, Arrival{now, c.Sender, weight})
	for len(u.recentArrivals) > 0 && u.recentArrivals[0].At <= now-u.Spec.FallWindow {
		u.recentArrivals = u.recentArrivals[1:]
	}
	sum := 0.0
	for _, a := range u.recentArrivals {
		sum += a.Weight
	}
	allowed := u.Spec.collapseThreshold(u.coldBudget(share))
	u.observer.WindowMeasured(u, u.recentArrivals, allowed)
	if sum <= allowed {
		return
	}
	bySender := map[int]float64{}
	for _, a := range u.recentArrivals {
		bySender[a.Sender] += a.Weight
	}
	u.Collapsed, u.cold, u.recentArrivals = true, false, nil
	for _, ep := range u.Endpoints {
		ep.collapse()
	}
	u.observer.UnitOverloaded(u, bySender)
}

// coldBudget returns the weight that the endpoints that went through the outage may be sent within the fall window.
// The rule is about messages: a unit that takes batches has a budget of its calls times the batch size, although a
// batch weighs little more than one message.
func (u *Unit) coldBudget(share float64) float64 {
	recovering, all := u.countEndpoints()
	return u.Spec.OverloadFactor * u.Capacity() * float64(u.Spec.MaxBatch) * share *
		u.Spec.FallWindow.Seconds() * float64(recovering) / float64(max(all, 1))
}

// countEndpoints returns the number of endpoints that went through the last outage, and of all endpoints.
func (u *Unit) countEndpoints() (recovering, all int) {
	for _, ep := range u.Endpoints {
		if ep.Removed {
			continue
		}
		all++
		if ep.created <= u.coldSince {
			recovering++
		}
	}
	return recovering, all
}

// The standing test of the platform allows for chance by a multiple of the budget's square root and a number of
// calls, and for more below smallBudget, which is in calls.
const (
	smallBudget         = 30
	smallBudgetRoots    = 3
	smallBudgetCalls    = 3
	standingBudgetRoots = 2
	standingBudgetCalls = 2
)

// chanceCalls is added to the budget where FallChance applies: two calls that happen to coincide must not overload a
// small unit.
const chanceCalls = 2

// collapseThreshold returns the weight above which a cold unit collapses: the budget plus what is put down to chance.
func (s *Spec) collapseThreshold(budget float64) float64 {
	root := math.Sqrt(budget)
	switch {
	case s.StandingTerm && budget < smallBudget:
		return budget + smallBudgetRoots*root + smallBudgetCalls
	case s.StandingTerm:
		return budget + standingBudgetRoots*root + standingBudgetCalls
	}
	return budget + s.FallChance*root + chanceCalls
}

// unlimited stands for no limit in RemainingLimit and RemainingColdBudget, in calls.
const unlimited = 1e9

// RemainingLimit returns how many calls the unit's limit admits now; for policies that may see the true state.
func (u *Unit) RemainingLimit(now time.Duration) float64 {
	switch l := u.limit.(type) {
	case *rateLimit:
		if now < l.blockedUntil {
			return 0
		}
		return l.bucket.TokensAt(bucketEpoch.Add(now))
	case *windowLimit:
		if now/l.span != l.index {
			return max(l.base*l.factor*u.CapacityShare(now), 1)
		}
		return max(l.base*l.factor*u.CapacityShare(now), 1) - l.used
	case *concurrentLimit:
		return max(l.base*l.factor*u.CapacityShare(now), 1) - float64(l.used)
	}
	return unlimited
}

// RemainingColdBudget returns the weight that a cold unit may still be sent now without exceeding its budget; for
// policies that may see the true state.
func (u *Unit) RemainingColdBudget(now time.Duration) float64 {
	share := u.warmUpShare(now) // ends the cold state when it is over
	if !u.cold {
		return unlimited
	}
	sum := 0.0
	for _, a := range u.recentArrivals {
		if a.At > now-u.Spec.FallWindow {
			sum += a.Weight
		}
	}
	return u.coldBudget(share) - sum
}
