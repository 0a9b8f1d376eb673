// This file owns units: one limit, one capacity, outages of their own, and the cold return after each.

package receiver

import (
	"math"
	"math/rand/v2"
	"time"

	"eiderhaven/lab/model"
)

// Unit is what has one limit, one capacity and outages of its own.
type Unit struct {
	Number    int
	Dest      int
	Kind      int
	Spec      *Spec
	Endpoints []*Endpoint
	limit     limit
	r         *rand.Rand
	obs       Observer

	outages     int           // reasons for an outage that hold now
	OutageSince time.Duration // when the outage began
	cold        bool
	coldFrom    time.Duration
	Collapsed   bool
	recent      []Arrival // while cold
	Refusals    int
}

// Arrival is a call that reached a cold unit.
type Arrival struct {
	At     time.Duration
	Sender int
	Weight float64 // in calls
}

// NewUnit returns a unit without endpoints.
func NewUnit(number, dest, kind int, spec *Spec, r *rand.Rand, obs Observer) *Unit {
	return &Unit{Number: number, Dest: dest, Kind: kind, Spec: spec, r: r, obs: obs}
}

// LimitRate gives the unit a plain rate of calls.
func (u *Unit) SetRateLimit(perSecond, burst float64, usesUp bool) {
	u.limit = newRateLimit(perSecond, burst, usesUp)
}

// LimitWindow gives the unit a count of calls in each span.
func (u *Unit) SetWindowLimit(count float64, span time.Duration, usesUp bool) {
	u.limit = &windowLimit{first: count, part: 1, span: span, usesUp: usesUp, index: -1}
}

// LimitConcurrent gives the unit a count of calls at once.
func (u *Unit) SetConcurrencyLimit(count float64) { u.limit = &concurrentLimit{first: count, part: 1} }

// Sibling returns a unit like this one, for a route that takes this one's place: the same limit, and nothing of its past.
func (u *Unit) Replacement(number int) *Unit {
	s := NewUnit(number, u.Dest, u.Kind, u.Spec, u.r, u.obs)
	if u.limit != nil {
		s.limit = u.limit.fresh()
	}
	return s
}

// Listed is the calls a second that the unit takes at full share, from its limit and its servers.
func (u *Unit) Capacity() float64 {
	rate := u.serverRate()
	if u.limit != nil {
		if l := u.limit.perSecond(); l > 0 {
			rate = min(rate, l)
		}
	}
	return rate
}

func (u *Unit) serverRate() float64 {
	mean := 0.0
	for _, w := range u.Spec.WorkByClass {
		mean += w / float64(len(u.Spec.WorkByClass))
	}
	n := 0
	for _, ep := range u.Endpoints {
		if !ep.Removed {
			n++
		}
	}
	return float64(n*u.Spec.Servers) / max(u.Spec.ServiceTime.Mean().Seconds()*u.Spec.ServiceTimeFactor*mean, 1e-9)
}

// Share is the part of its capacity that the unit has at a time. Endpoints that joined since the outage are machines of
// their own and were never cold; the others warm up evenly.
func (u *Unit) CapacityShare(now time.Duration) float64 {
	share := u.warmth(now)
	if share == 1 {
		return 1
	}
	old, all := u.members()
	if all == 0 {
		return share
	}
	return 1 - (1-share)*float64(old)/float64(all)
}

// warmth is the share of an endpoint that was there in the outage.
func (u *Unit) warmth(now time.Duration) float64 {
	if !u.cold {
		return 1
	}
	if now-u.coldFrom >= u.Spec.WarmUp {
		u.cold, u.recent = false, nil
		return 1
	}
	return u.Spec.ColdShare + (1-u.Spec.ColdShare)*(now-u.coldFrom).Seconds()/u.Spec.WarmUp.Seconds()
}

// Down tells whether an outage lasts.
func (u *Unit) Down() bool { return u.outages > 0 || u.Collapsed }

// BeginOutage adds a reason for an outage.
func (u *Unit) BeginOutage(now time.Duration) {
	if u.outages++; u.outages == 1 && !u.Collapsed {
		u.OutageSince, u.cold, u.recent = now, false, nil
		u.obs.Outage(u, true)
	}
}

// EndOutage takes one away; with the last one the unit comes back cold.
func (u *Unit) EndOutage(now time.Duration) {
	if u.outages--; u.outages == 0 && !u.Collapsed {
		u.cold, u.coldFrom, u.recent = true, now, nil
		u.obs.Outage(u, false)
	}
}

// ScaleLimit cuts the limit to a part of what it was; 1 restores it.
func (u *Unit) ScaleLimit(now time.Duration, part float64) {
	if u.limit != nil {
		u.limit.scale(now, part)
	}
}

// weigh counts what reaches the endpoints of a unit that is cold, and lets it fall over when that is too much. Endpoints
// that joined since the outage neither count nor have a part in the budget.
func (u *Unit) weigh(now time.Duration, ep *Endpoint, c *model.Call) {
	warmth := u.warmth(now)
	if !u.cold || u.Collapsed || ep.born > u.coldFrom {
		return
	}
	weight := 1 + float64(len(c.Messages)-1)*u.Spec.BatchCost
	u.recent = append(u.recent, Arrival{now, c.Sender, weight})
	for len(u.recent) > 0 && u.recent[0].At <= now-u.Spec.FallWindow {
		u.recent = u.recent[1:]
	}
	sum := 0.0
	for _, a := range u.recent {
		sum += a.Weight
	}
	allowed := u.Spec.allowed(u.budget(warmth))
	u.obs.WindowMeasured(u, u.recent, allowed)
	if sum <= allowed {
		return
	}
	by := map[int]float64{}
	for _, a := range u.recent {
		by[a.Sender] += a.Weight
	}
	u.Collapsed, u.cold, u.recent = true, false, nil
	for _, ep := range u.Endpoints {
		ep.fall()
	}
	u.obs.UnitOverloaded(u, by)
}

// budget is what the endpoints that were in the outage may be sent within the span. The rule speaks of messages: a unit that
// takes several in a call takes as many times its calls, while a call weighs little more than one message.
func (u *Unit) budget(warmth float64) float64 {
	old, all := u.members()
	return u.Spec.OverloadFactor * u.Capacity() * float64(u.Spec.MaxBatch) * warmth * u.Spec.FallWindow.Seconds() * float64(old) / float64(max(all, 1))
}

// members counts the endpoints that were there in the outage, and all that are there.
func (u *Unit) members() (old, all int) {
	for _, ep := range u.Endpoints {
		if ep.Removed {
			continue
		}
		all++
		if ep.born <= u.coldFrom {
			old++
		}
	}
	return old, all
}

// smallBudget is the budget in calls below which the standing test allows more for chance.
const smallBudget = 30

// allowed is what a cold unit takes within the span without falling: its budget and what is put down to chance.
func (s *Spec) allowed(budget float64) float64 {
	root := math.Sqrt(budget)
	switch {
	case s.StandingTerm && budget < smallBudget:
		return budget + 3*root + 3
	case s.StandingTerm:
		return budget + 2*root + 2
	}
	return budget + s.FallChance*root + fallSlack
}

// fallSlack is what a cold unit takes beyond its budget: two calls that happen to meet must not fell a small one.
const fallSlack = 2

// Room is how many calls a unit's limit still admits, and how long until it admits one more; for policies that are
// allowed to see the true state.
func (u *Unit) RemainingLimit(now time.Duration) float64 {
	switch l := u.limit.(type) {
	case *rateLimit:
		if now < l.debt {
			return 0
		}
		return l.bucket.TokensAt(epoch.Add(now))
	case *windowLimit:
		if now/l.span != l.index {
			return max(l.first*l.part*u.CapacityShare(now), 1)
		}
		return max(l.first*l.part*u.CapacityShare(now), 1) - l.used
	case *concurrentLimit:
		return max(l.first*l.part*u.CapacityShare(now), 1) - float64(l.used)
	}
	return 1e9
}

// ColdRoom is how much more a cold unit may be sent now before it falls over; for policies that see the true state.
func (u *Unit) RemainingColdBudget(now time.Duration) float64 {
	warmth := u.warmth(now)
	if !u.cold {
		return 1e9
	}
	sum := 0.0
	for _, a := range u.recent {
		if a.At > now-u.Spec.FallWindow {
			sum += a.Weight
		}
	}
	return u.budget(warmth) - sum
}
