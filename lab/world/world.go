// Package world owns one run: it builds every part from a scenario and a seed, lets time pass, and closes the books. It must
// hold no behaviour of a part, and nothing in it may depend on how many workers step the senders.
package world

import (
	"cmp"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"eiderhaven/lab/baseline"
	"eiderhaven/lab/client"
	"eiderhaven/lab/clock"
	"eiderhaven/lab/judge"
	"eiderhaven/lab/model"
	"eiderhaven/lab/network"
	"eiderhaven/lab/random"
	"eiderhaven/lab/receiver"
	"eiderhaven/lab/registry"
	"eiderhaven/lab/scenario"
	"eiderhaven/lab/sender"
	"eiderhaven/lab/tally"
	"eiderhaven/lab/trouble"
	"eiderhaven/rules"
)

// Options are what a run may be given beside its scenario.
type Options struct {
	Seed    uint64
	Policy  string         // a name of Policies; "rules" if empty
	Factory sender.Factory // in place of a named policy
	Workers int            // steps of senders at once; all cores if 0
	Trace   func(line string)
	Stop    <-chan struct{} // ends the run early; the result says so
}

// World is one run.
type World struct {
	s       *scenario.Scenario
	q       clock.Queue
	net     *network.Network
	reg     *registry.Registry
	judge   *judge.Judge
	books   *tally.Collector
	crowd   *client.LoadGenerator
	senders []*sender.Host
	site    *ReceiverSet
	seed    uint64
	starts  []uint64 // processes started, by sender
	rounds  map[time.Duration][]*sender.Host
	steps   *clock.Scheduler
	checks  *clock.Scheduler
	serial  bool
	workers int
	trace   func(string)
	stop    <-chan struct{}
}

// policy is one that can be named.
type policy struct {
	about  string
	serial bool // shares state among senders, so that they must step one after another
	make   func(w *World) sender.Factory
}

var policies = map[string]policy{
	"rules": {"the project's decision module", false, func(*World) sender.Factory {
		return func(set rules.Settings) sender.Policy { return rules.New(set) }
	}},
	"once": {"one try for each message, in order of arrival", false, func(*World) sender.Factory {
		return func(set rules.Settings) sender.Policy { return baseline.Once(set) }
	}},
	"backoff": {"exponential backoff with a circuit breaker for each destination", false, func(*World) sender.Factory {
		return func(set rules.Settings) sender.Policy { return baseline.Backoff(set) }
	}},
	"adaptive": {"an adaptive rate limiter for each destination", false, func(*World) sender.Factory {
		return func(set rules.Settings) sender.Policy { return baseline.Adaptive(set) }
	}},
	"oracle": {"sees the true state of every receiver: the yardstick from above", true, func(w *World) sender.Factory {
		truth := baseline.NewOracleView(w.site.Endpoints, 3*w.s.Network.OneWay.Random().Mean()+time.Millisecond)
		return func(set rules.Settings) sender.Policy { return baseline.Oracle(set, truth) }
	}},
}

// Policies lists the policies that can be named, sorted.
func Policies() []string {
	var names []string
	for name := range policies {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// AboutPolicy says what a named policy is.
func DescribePolicy(name string) string { return policies[name].about }

// Run plays a scenario once.
func Run(s *scenario.Scenario, o Options) (*tally.Result, error) {
	w, err := build(s, o)
	if err != nil {
		return nil, err
	}
	return w.play(), nil
}

func build(s *scenario.Scenario, o Options) (*World, error) {
	name := cmp.Or(o.Policy, "rules")
	p, known := policies[name]
	if !known && o.Factory == nil {
		return nil, fmt.Errorf("policy %q is unknown: expected one of %v", name, Policies())
	}
	w := &World{s: s, seed: o.Seed, books: tally.New(s),
		rounds: map[time.Duration][]*sender.Host{}, serial: p.serial, workers: o.Workers, trace: o.Trace, stop: o.Stop}
	if w.workers <= 0 {
		w.workers = runtime.GOMAXPROCS(0)
	}
	w.books.Scenario, w.books.Policy, w.books.Seed = s.Name, name, o.Seed
	w.steps, w.checks = w.q.NewScheduler(clock.Step, 0), w.q.NewScheduler(clock.Check, 0)
	w.net = network.New(s.Network.OneWay.Random(), s.Network.CrossZone.D(), s.Network.Handshakes, random.Stream(o.Seed, "network", 0))
	w.judge = judge.New(s, func(id rules.EndpointID) (int, int) {
		if ep := w.site.Endpoints[id]; ep != nil {
			return ep.Unit.Number, ep.Zone
		}
		return -1, -1
	})
	w.reg = registry.New(s.Senders.Count, s.Registry.Mode == "ask", s.Registry.Lag.Random(), &w.q,
		random.Stream(o.Seed, "registry", 0), func(n int, e rules.ListUpdate) { w.senders[n].UpdateList(e) })
	w.site = NewReceiverSet(s, o.Seed, &w.q, w.reg, (*watcher)(w))
	for _, d := range w.site.Busiest(16) {
		w.books.TrackDestination(d, w.site.Capacity(d))
	}
	w.crowd = client.New(s, o.Seed, &w.q, (*door)(w), w.books)
	factory := o.Factory
	if factory == nil {
		factory = p.make(w)
	}
	w.buildSenders(factory)
	w.buildTroubles()
	return w, nil
}

var scopes = map[string]rules.DedupScope{"destination": rules.DedupDestination, "zone": rules.DedupZone, "endpoint": rules.DedupEndpoint}
var effects = map[string]rules.Effect{"safe": rules.Safe, "keyed": rules.Keyed, "once": rules.AtMostOnce}

// Settings turns a scenario into the settings that a sender starts with.
func Settings(s *scenario.Scenario, zone int) rules.Settings {
	x, r := s.Senders, s.Rules
	set := rules.Settings{Senders: x.Count, Zone: zone, Tick: x.Tick.D(), Slots: x.Slots, MaxHeld: x.MaxHeld,
		MaxAttempts: x.MaxAttempts, ConnectTimeout: x.ConnectTimeout.D(), KeepAlive: x.KeepAlive.D(),
		MaxRetryAfter: x.MaxRetryAfter.D(), MaySendRetryAfter: x.MayAdvise, MayCancel: x.MayCancel, AnswerGrace: r.AnswerGrace.D(),
		DrainGrace: r.DrainGrace.D(), ColdShare: r.ColdShare, WarmUp: r.WarmUp.D(), FallWindow: r.FallWindow.D(),
		OverloadFactor: r.OverloadFactor, OrderPause: r.OrderPause.D(), WatchesRegistry: s.Registry.Mode == "ask",
		WatchInterval: 10 * time.Second, RatesListed: x.RatesListed != "none", RatesExact: x.RatesListed == "exact", LateHalving: true, OverShareWorth: 0.2}
	for _, k := range s.Kinds {
		set.Kinds = append(set.Kinds, rules.Kind{RoutesApart: k.RoutesApart, Batch: k.Batch})
	}
	for _, c := range s.Classes {
		set.Classes = append(set.Classes, rules.Class{Effect: effects[c.Effect], Scope: scopes[c.Scope], Window: c.Window.D(),
			Aim: c.Aim.D(), Deadline: c.Deadline.D(), Worth: c.Worth, LateWorth: c.LateWorth, KeepOrder: c.KeepOrder})
	}
	for _, t := range s.Tenants {
		set.Tenants = append(set.Tenants, rules.Tenant{Quota: t.Quota})
	}
	return set
}

func (w *World) buildSenders(factory sender.Factory) {
	w.starts = make([]uint64, w.s.Senders.Count)
	for i := range w.s.Senders.Count {
		zone := i % w.s.Senders.Zones
		around := &sender.Environment{Scenario: w.s, Queue: &w.q, Network: w.net, Registry: w.reg, Judge: w.judge,
			Endpoints: w.site.Endpoints, Factory: factory, RequestStep: w.due, Recorder: w.books, Clients: home{w, i}}
		if w.trace != nil {
			around.Trace = w.tracef
		}
		w.senders = append(w.senders, sender.New(i, zone, Settings(w.s, zone), around))
	}
}

func (w *World) tracef(format string, args ...any) {
	if w.trace != nil {
		w.trace(fmt.Sprintf("%9.3fs ", w.q.Now().Seconds()) + fmt.Sprintf(format, args...))
	}
}

func (w *World) log(format string, args ...any) {
	line := fmt.Sprintf("%.3fs ", w.q.Now().Seconds()) + fmt.Sprintf(format, args...)
	if len(w.books.Log) < 500 {
		w.books.Log = append(w.books.Log, line)
	}
	w.tracef("== "+format, args...)
}

func (w *World) buildTroubles() {
	st := &trouble.Environment{Scenario: w.s, Queue: &w.q, Registry: w.reg, Clients: w.crowd, Units: func() []*receiver.Unit { return w.site.Units },
		Weights: w.s.DestinationWeights(), Senders: len(w.senders), Log: w.log, StopSender: w.stopSender, StartSender: w.startSender,
		Replace: w.site.Replace}
	st.Schedule(w.seed)
	if every := w.s.Registry.HealthEvery.D(); every > 0 {
		w.watchHealth(every)
	}
}

// watchHealth lets the registry call each endpoint's health: one that fails twice in a row is listed as draining, and as
// ready again when it answers.
func (w *World) watchHealth(every time.Duration) {
	failed, out := map[rules.EndpointID]int{}, map[rules.EndpointID]bool{}
	line := w.q.NewScheduler(clock.Registry, 1)
	var look func()
	look = func() {
		for id := rules.EndpointID(1); int(id) <= w.site.number; id++ {
			ep := w.site.Endpoints[id]
			e, listed := w.reg.Entry(id)
			if !listed || ep.Draining || ep.Removed {
				continue
			}
			if ep.Healthy() {
				failed[id] = 0
			} else {
				failed[id]++
			}
			if bad := failed[id] >= 2; bad != out[id] {
				out[id], e.Draining = bad, bad
				w.reg.Set(e)
			}
		}
		line.After(every, look)
	}
	line.After(every, look)
}

func (w *World) startSender(n int) {
	if w.senders[n].Up {
		return
	}
	w.starts[n]++
	w.judge.SenderStarted(w.q.Now(), n)
	w.senders[n].Start(random.Stream(w.seed, fmt.Sprintf("sender %d", n), int(w.starts[n])).Uint64())
}

func (w *World) stopSender(n int, kept bool) {
	for _, m := range w.senders[n].Stop(kept) {
		w.crowd.Rescue(m, n)
	}
}

// due asks for a sender's step at a tick bound. All steps of one instant are one round.
func (w *World) due(h *sender.Host, at time.Duration) {
	round, planned := w.rounds[at]
	w.rounds[at] = append(round, h)
	if !planned {
		w.steps.At(at, w.round)
	}
}

// round lets every sender that is due decide, several at once where they share nothing, and carries their actions out one
// sender after another.
func (w *World) round() {
	now := w.q.Now()
	hosts := w.rounds[now]
	delete(w.rounds, now)
	slices.SortFunc(hosts, func(a, b *sender.Host) int { return cmp.Compare(a.Number, b.Number) })
	hosts = slices.Compact(hosts)
	if w.serial {
		for _, h := range hosts {
			h.Decide(now)
			h.ExecuteActions()
		}
		return
	}
	w.decide(hosts, now)
	for _, h := range hosts {
		h.ExecuteActions()
	}
}

// least is how many steps a worker must have to be worth waking.
const least = 4

func (w *World) decide(hosts []*sender.Host, now time.Duration) {
	n := min(w.workers, len(hosts)/least)
	if n < 2 {
		for _, h := range hosts {
			h.Decide(now)
		}
		return
	}
	var wg sync.WaitGroup
	for i := range n {
		part := hosts[i*len(hosts)/n : (i+1)*len(hosts)/n]
		wg.Go(func() {
			for _, h := range part {
				h.Decide(now)
			}
		})
	}
	wg.Wait()
}

// sweep lets the judge look for what is overdue, and notices a wish to stop.
func (w *World) sweep() {
	w.judge.Sweep(w.q.Now())
	held := 0
	for _, h := range w.senders {
		held += h.Held()
	}
	w.books.HeldSampled(w.q.Now(), held)
	w.checks.After(100*time.Millisecond, w.sweep)
}

// play lets time pass until every message must have ended.
func (w *World) play() *tally.Result {
	for i := range w.senders {
		w.startSender(i)
	}
	w.crowd.Start()
	w.checks.After(100*time.Millisecond, w.sweep)
	end := w.s.Run.Length.D() + w.s.Rules.AnswerGrace.D() + w.s.Rules.RestartGrace.D() + time.Second
	longest := time.Duration(0)
	for _, c := range w.s.Classes {
		longest = max(longest, c.Deadline.D())
	}
	var err error
	for at := time.Duration(0); at < end+longest && err == nil; {
		at = min(at+time.Second, end+longest)
		err = w.q.Run(at, w.s.Run.MaxEvents)
		select {
		case <-w.stop:
			err = fmt.Errorf("stopped from outside at %v of model time", w.q.Now())
		default:
		}
	}
	return w.close(err)
}

func (w *World) close(err error) *tally.Result {
	r := w.books.Finish()
	r.Events, r.ModelSeconds = w.q.Fired(), w.q.Now().Seconds()
	r.Violations, r.ByRule = w.judge.Violations, map[string]int{}
	for _, rule := range judge.Rules {
		if n := w.judge.Counts[rule]; n > 0 {
			r.ByRule[rule.String()] = n
			r.ViolationCount += n
		}
	}
	r.Margins = w.judge.Margins()
	r.InvalidActions = map[string]int{}
	for _, h := range w.senders {
		r.PeakHeld = max(r.PeakHeld, h.PeakHeld)
		for text, n := range h.InvalidActions {
			r.InvalidActions[text] += n
		}
	}
	if late := w.q.Late(); late > 0 {
		r.InvalidActions["the model asked for an event in the past"] = int(late)
	}
	if err != nil {
		r.Stopped = err.Error()
	}
	return r
}

// door is the senders as clients meet them.
type door World

func (d *door) Submit(n int, m *model.Message) (taken, up bool) {
	h := d.senders[n]
	if !h.Up {
		return false, false
	}
	return h.Submit(m), true
}

func (d *door) FindLive(n int) (int, bool) {
	for i := range d.senders {
		if k := (n + i) % len(d.senders); d.senders[k].Up {
			return k, true
		}
	}
	return 0, false
}

// home is the clients as one sender meets them.
type home struct {
	w      *World
	sender int
}

func (h home) MessageEnded(m *model.Message, end model.End, advice time.Duration) {
	h.w.crowd.MessageEnded(h.sender, m, end, advice)
}

// watcher passes on what happens at receivers.
type watcher World

func (x *watcher) CallArrived(*receiver.Unit, *model.Call) {}

func (x *watcher) MessageTookEffect(_ *receiver.Unit, m *model.Message, repeat bool) {
	x.books.MessageTookEffect(m, repeat)
}

func (x *watcher) Outage(u *receiver.Unit, begins bool) {
	x.books.Outage(x.q.Now(), begins)
	x.judge.Outage(x.q.Now(), u.Number, begins)
}

func (x *watcher) WindowMeasured(u *receiver.Unit, window []receiver.Arrival, allowed float64) {
	x.judge.WindowMeasured(u.Number, window, allowed)
}

func (x *watcher) UnitOverloaded(u *receiver.Unit, by map[int]float64) {
	x.books.UnitsOverloaded++
	(*World)(x).log("unit %d of destination %d falls over", u.Number, u.Dest)
	x.judge.UnitOverloaded(x.q.Now(), u.Number, by)
}

func (x *watcher) CallRefused(u *receiver.Unit, _ *model.Call, limit bool) {
	x.books.CallRefused(x.q.Now(), u, limit)
}
