// Package world owns one run of the simulator: it builds every part from a scenario and a seed, runs the event queue
// and collects the result. It must hold no behaviour of a part, and nothing may depend on the number of workers that
// step the senders.
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

// Options are the settings of a run beside its scenario.
type Options struct {
	Seed    uint64
	Policy  string            // one of Policies; "rules" if empty
	Factory sender.Factory    // overrides Policy
	Workers int               // number of senders that step concurrently; GOMAXPROCS if 0
	Trace   func(line string) // receives each trace line; nil: no trace
	Stop    <-chan struct{}   // ends the run early when closed, which the result reports
}

// World is the state of one run.
type World struct {
	scenario       *scenario.Scenario
	queue          clock.Queue
	network        *network.Network
	registry       *registry.Registry
	judge          *judge.Judge
	collector      *tally.Collector
	clients        *client.LoadGenerator
	senders        []*sender.Host
	receivers      *ReceiverSet
	seed           uint64
	processStarts  []uint64                         // number of processes started, by sender
	roundMembers   map[time.Duration][]*sender.Host // senders that step, by time
	stepScheduler  *clock.Scheduler
	checkScheduler *clock.Scheduler
	serial         bool // step one sender after another
	workers        int
	trace          func(string)
	stop           <-chan struct{}
}

// namedPolicy is a policy that can be selected by name.
type namedPolicy struct {
	description string
	serial      bool // its senders share state, so they must step one after another
	make        func(w *World) sender.Factory
}

// oracleTransitFactor is the time that the oracle allows a call in transit, in mean one-way delays: a handshake of
// one round trip and the call itself.
const oracleTransitFactor = 3

var policies = map[string]namedPolicy{
	"rules": {
		description: "the project's decision module",
		make: func(*World) sender.Factory {
			return func(set rules.Settings) sender.Policy { return rules.New(set) }
		},
	},
	"once": {
		description: "one try for each message, in order of arrival",
		make: func(*World) sender.Factory {
			return func(set rules.Settings) sender.Policy { return baseline.Once(set) }
		},
	},
	"backoff": {
		description: "exponential backoff with a circuit breaker for each destination",
		make: func(*World) sender.Factory {
			return func(set rules.Settings) sender.Policy { return baseline.Backoff(set) }
		},
	},
	"adaptive": {
		description: "an adaptive rate limiter for each destination",
		make: func(*World) sender.Factory {
			return func(set rules.Settings) sender.Policy { return baseline.Adaptive(set) }
		},
	},
	"oracle": {
		description: "sees the true state of every receiver: a reference that no real sender can reach",
		serial:      true,
		make: func(w *World) sender.Factory {
			transit := oracleTransitFactor*w.scenario.Network.OneWay.Random().Mean() + time.Millisecond
			view := baseline.NewOracleView(w.receivers.Endpoints, transit)
			return func(set rules.Settings) sender.Policy { return baseline.Oracle(set, view) }
		},
	},
}

// Policies returns the sorted names of all policies.
func Policies() []string {
	var names []string
	for name := range policies {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// DescribePolicy returns the description of a policy, empty if the name is unknown.
func DescribePolicy(name string) string { return policies[name].description }

// Run runs a scenario once.
func Run(s *scenario.Scenario, o Options) (*tally.Result, error) {
	w, err := build(s, o)
	if err != nil {
		return nil, err
	}
	return w.run(), nil
}

// Bounds of what a result holds.
const (
	trackedDestinations = 16  // busiest destinations offered to the collector, which has room for fewer series
	maxLogLines         = 500 // lines in the log of a result
)

// build creates every part of a run.
func build(s *scenario.Scenario, o Options) (*World, error) {
	name := cmp.Or(o.Policy, "rules")
	p, known := policies[name]
	if !known && o.Factory == nil {
		return nil, fmt.Errorf("policy %q is unknown: expected one of %v", name, Policies())
	}
	w := &World{
		scenario:     s,
		seed:         o.Seed,
		collector:    tally.New(s),
		roundMembers: map[time.Duration][]*sender.Host{},
		serial:       p.serial,
		workers:      o.Workers,
		trace:        o.Trace,
		stop:         o.Stop,
	}
	if w.workers <= 0 {
		w.workers = runtime.GOMAXPROCS(0)
	}
	w.collector.Scenario = s.Name
	w.collector.Policy = name
	w.collector.Seed = o.Seed
	w.stepScheduler = w.queue.NewScheduler(clock.Step, 0)
	w.checkScheduler = w.queue.NewScheduler(clock.Check, 0)
	w.network = network.New(s.Network.OneWay.Random(), s.Network.CrossZone.D(), s.Network.Handshakes,
		random.Stream(o.Seed, "network", 0))
	w.judge = judge.New(s, w.unitAndZone)
	w.registry = registry.New(s.Senders.Count, s.Registry.Mode == "ask", s.Registry.Lag.Random(), &w.queue,
		random.Stream(o.Seed, "registry", 0), func(n int, e rules.ListUpdate) { w.senders[n].UpdateList(e) })
	w.receivers = NewReceiverSet(s, o.Seed, &w.queue, w.registry, (*receiverObserver)(w))
	for _, d := range w.receivers.Busiest(trackedDestinations) {
		w.collector.TrackDestination(d, w.receivers.Capacity(d))
	}
	w.clients = client.New(s, o.Seed, &w.queue, (*clientSenders)(w), w.collector)
	factory := o.Factory
	if factory == nil {
		factory = p.make(w)
	}
	w.buildSenders(factory)
	w.scheduleTroubles()
	return w, nil
}

// unitAndZone returns the unit and zone of an endpoint, -1 for one that does not exist.
func (w *World) unitAndZone(id rules.EndpointID) (unit, zone int) {
	if ep := w.receivers.Endpoints[id]; ep != nil {
		return ep.Unit.Number, ep.Zone
	}
	return -1, -1
}

// scopes and effects map the values of a scenario to those of the decision module.
var (
	scopes = map[string]rules.DedupScope{
		"destination": rules.DedupDestination,
		"zone":        rules.DedupZone,
		"endpoint":    rules.DedupEndpoint,
	}
	effects = map[string]rules.Effect{"safe": rules.Safe, "keyed": rules.Keyed, "once": rules.AtMostOnce}
)

// Settings of senders that a scenario does not state.
const (
	watchInterval  = 10 * time.Second
	overShareWorth = 0.2
)

// Settings returns the settings that a sender of a scenario starts with.
func Settings(s *scenario.Scenario, zone int) rules.Settings {
	x, r := s.Senders, s.Rules
	set := rules.Settings{
		Senders:           x.Count,
		Zone:              zone,
		Tick:              x.Tick.D(),
		Slots:             x.Slots,
		MaxHeld:           x.MaxHeld,
		MaxAttempts:       x.MaxAttempts,
		ConnectTimeout:    x.ConnectTimeout.D(),
		KeepAlive:         x.KeepAlive.D(),
		MaxRetryAfter:     x.MaxRetryAfter.D(),
		MaySendRetryAfter: x.MayAdvise,
		MayCancel:         x.MayCancel,
		AnswerGrace:       r.AnswerGrace.D(),
		DrainGrace:        r.DrainGrace.D(),
		ColdShare:         r.ColdShare,
		WarmUp:            r.WarmUp.D(),
		FallWindow:        r.FallWindow.D(),
		OverloadFactor:    r.OverloadFactor,
		OrderPause:        r.OrderPause.D(),
		WatchesRegistry:   s.Registry.Mode == "ask",
		WatchInterval:     watchInterval,
		RatesListed:       x.RatesListed != "none",
		RatesExact:        x.RatesListed == "exact",
		LateHalving:       true,
		OverShareWorth:    overShareWorth,
	}
	for _, k := range s.Kinds {
		set.Kinds = append(set.Kinds, rules.Kind{RoutesApart: k.RoutesApart, Batch: k.Batch})
	}
	for _, c := range s.Classes {
		set.Classes = append(set.Classes, rules.Class{
			Effect:    effects[c.Effect],
			Scope:     scopes[c.Scope],
			Window:    c.Window.D(),
			Aim:       c.Aim.D(),
			Deadline:  c.Deadline.D(),
			Worth:     c.Worth,
			LateWorth: c.LateWorth,
			KeepOrder: c.KeepOrder,
		})
	}
	for _, t := range s.Tenants {
		set.Tenants = append(set.Tenants, rules.Tenant{Quota: t.Quota})
	}
	return set
}

func (w *World) buildSenders(factory sender.Factory) {
	w.processStarts = make([]uint64, w.scenario.Senders.Count)
	for i := range w.scenario.Senders.Count {
		zone := i % w.scenario.Senders.Zones
		env := &sender.Environment{
			Scenario:    w.scenario,
			Queue:       &w.queue,
			Network:     w.network,
			Registry:    w.registry,
			Judge:       w.judge,
			Endpoints:   w.receivers.Endpoints,
			Factory:     factory,
			RequestStep: w.requestStep,
			Recorder:    w.collector,
			Clients:     senderClients{w, i},
		}
		if w.trace != nil {
			env.Trace = w.tracef
		}
		w.senders = append(w.senders, sender.New(i, zone, Settings(w.scenario, zone), env))
	}
}

// tracef writes a trace line with the model time.
func (w *World) tracef(format string, args ...any) {
	if w.trace != nil {
		w.trace(fmt.Sprintf("%9.3fs ", w.queue.Now().Seconds()) + fmt.Sprintf(format, args...))
	}
}

// log adds a line to the log of the result and to the trace.
func (w *World) log(format string, args ...any) {
	line := fmt.Sprintf("%.3fs ", w.queue.Now().Seconds()) + fmt.Sprintf(format, args...)
	if len(w.collector.Log) < maxLogLines {
		w.collector.Log = append(w.collector.Log, line)
	}
	w.tracef("== "+format, args...)
}

// scheduleTroubles schedules the scenario's faults and the registry's health checks.
func (w *World) scheduleTroubles() {
	env := &trouble.Environment{
		Scenario:    w.scenario,
		Queue:       &w.queue,
		Registry:    w.registry,
		Clients:     w.clients,
		Units:       func() []*receiver.Unit { return w.receivers.Units },
		Weights:     w.scenario.DestinationWeights(),
		Senders:     len(w.senders),
		Log:         w.log,
		StopSender:  w.stopSender,
		StartSender: w.startSender,
		Replace:     w.receivers.Replace,
	}
	env.Schedule(w.seed)
	if every := w.scenario.Registry.HealthEvery.D(); every > 0 {
		w.startHealthChecks(every)
	}
}

// maxFailedChecks is the number of failed health checks in a row after which an endpoint is listed as draining.
const maxFailedChecks = 2

// startHealthChecks makes the registry check the health of each endpoint at an interval. An endpoint that fails
// maxFailedChecks checks in a row is listed as draining, and as ready again after it passes one.
func (w *World) startHealthChecks(interval time.Duration) {
	failures := map[rules.EndpointID]int{} // in a row
	listedAsDraining := map[rules.EndpointID]bool{}
	scheduler := w.queue.NewScheduler(clock.Registry, 1)
	var check func()
	check = func() {
		for id := rules.EndpointID(1); int(id) <= w.receivers.endpointCount; id++ {
			ep := w.receivers.Endpoints[id]
			e, listed := w.registry.Entry(id)
			if !listed || ep.Draining || ep.Removed {
				continue
			}
			if ep.Healthy() {
				failures[id] = 0
			} else {
				failures[id]++
			}
			if unhealthy := failures[id] >= maxFailedChecks; unhealthy != listedAsDraining[id] {
				listedAsDraining[id] = unhealthy
				e.Draining = unhealthy
				w.registry.Set(e)
			}
		}
		scheduler.After(interval, check)
	}
	scheduler.After(interval, check)
}

// startSender starts a new process of a sender, with a seed of its own, unless the sender is up.
func (w *World) startSender(n int) {
	if w.senders[n].Up {
		return
	}
	w.processStarts[n]++
	w.judge.SenderStarted(w.queue.Now(), n)
	seed := random.Stream(w.seed, fmt.Sprintf("sender %d", n), int(w.processStarts[n])).Uint64()
	w.senders[n].Start(seed)
}

// stopSender kills a sender. Unless its state is kept, clients submit the messages that it held again where that is
// harmless.
func (w *World) stopSender(n int, kept bool) {
	for _, m := range w.senders[n].Stop(kept) {
		w.clients.Rescue(m, n)
	}
}

// requestStep schedules a sender's step at a tick boundary. All steps at the same time form one round.
func (w *World) requestStep(h *sender.Host, at time.Duration) {
	members, scheduled := w.roundMembers[at]
	w.roundMembers[at] = append(members, h)
	if !scheduled {
		w.stepScheduler.At(at, w.runRound)
	}
}

// runRound steps the senders that are due: they decide concurrently unless they share state, and their actions are
// executed in the order of their numbers.
func (w *World) runRound() {
	now := w.queue.Now()
	hosts := w.roundMembers[now]
	delete(w.roundMembers, now)
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

// minStepsPerWorker is the number of steps below which starting another goroutine does not pay.
const minStepsPerWorker = 4

// decide runs the steps of a round, on several goroutines if there are enough of them.
func (w *World) decide(hosts []*sender.Host, now time.Duration) {
	n := min(w.workers, len(hosts)/minStepsPerWorker)
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

// sweepInterval is the interval between two sweeps.
const sweepInterval = 100 * time.Millisecond

// sweep makes the judge look for overdue messages and samples the number of held messages.
func (w *World) sweep() {
	w.judge.Sweep(w.queue.Now())
	held := 0
	for _, h := range w.senders {
		held += h.Held()
	}
	w.collector.HeldSampled(w.queue.Now(), held)
	w.checkScheduler.After(sweepInterval, w.sweep)
}

// settleTime is added to the length of a run, for answers in transit and for steps that are rounded up to a tick.
const settleTime = time.Second

// stopCheckInterval is the model time between two checks of Options.Stop.
const stopCheckInterval = time.Second

// run fires events until every message must have ended.
func (w *World) run() *tally.Result {
	for i := range w.senders {
		w.startSender(i)
	}
	w.clients.Start()
	w.checkScheduler.After(sweepInterval, w.sweep)
	longestDeadline := time.Duration(0)
	for _, c := range w.scenario.Classes {
		longestDeadline = max(longestDeadline, c.Deadline.D())
	}
	end := w.scenario.Run.Length.D() + w.scenario.Rules.AnswerGrace.D() + w.scenario.Rules.RestartGrace.D() +
		settleTime + longestDeadline
	var err error
	for at := time.Duration(0); at < end && err == nil; {
		at = min(at+stopCheckInterval, end)
		err = w.queue.Run(at, w.scenario.Run.MaxEvents)
		select {
		case <-w.stop:
			err = fmt.Errorf("stopped from outside at %v of model time", w.queue.Now())
		default:
		}
	}
	return w.finish(err)
}

// finish completes the result of the run; err is why it ended early, nil if it did not.
func (w *World) finish(err error) *tally.Result {
	r := w.collector.Finish()
	r.Events = w.queue.Fired()
	r.ModelSeconds = w.queue.Now().Seconds()
	r.Violations = w.judge.Violations
	r.ByRule = map[string]int{}
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
	if late := w.queue.Late(); late > 0 {
		r.InvalidActions["the model asked for an event in the past"] = int(late)
	}
	if err != nil {
		r.Stopped = err.Error()
	}
	return r
}

// clientSenders implements client.Senders.
type clientSenders World

func (c *clientSenders) Submit(n int, m *model.Message) (accepted, up bool) {
	h := c.senders[n]
	if !h.Up {
		return false, false
	}
	return h.Submit(m), true
}

func (c *clientSenders) FindLive(n int) (int, bool) {
	for i := range c.senders {
		if k := (n + i) % len(c.senders); c.senders[k].Up {
			return k, true
		}
	}
	return 0, false
}

// senderClients implements sender.Clients for one sender.
type senderClients struct {
	world  *World
	sender int
}

func (c senderClients) MessageEnded(m *model.Message, end model.End, retryAfter time.Duration) {
	c.world.clients.MessageEnded(c.sender, m, end, retryAfter)
}

// receiverObserver implements receiver.Observer: it passes everything on to the collector and the judge.
type receiverObserver World

func (o *receiverObserver) CallArrived(*receiver.Unit, *model.Call) {}

func (o *receiverObserver) MessageTookEffect(_ *receiver.Unit, m *model.Message, repeat bool) {
	o.collector.MessageTookEffect(m, repeat)
}

func (o *receiverObserver) Outage(u *receiver.Unit, begins bool) {
	o.collector.Outage(o.queue.Now(), begins)
	o.judge.Outage(o.queue.Now(), u.Number, begins)
}

func (o *receiverObserver) WindowMeasured(u *receiver.Unit, window []receiver.Arrival, allowed float64) {
	o.judge.WindowMeasured(u.Number, window, allowed)
}

func (o *receiverObserver) UnitOverloaded(u *receiver.Unit, bySender map[int]float64) {
	o.collector.UnitsOverloaded++
	(*World)(o).log("unit %d of destination %d falls over", u.Number, u.Dest)
	o.judge.UnitOverloaded(o.queue.Now(), u.Number, bySender)
}

func (o *receiverObserver) CallRefused(u *receiver.Unit, _ *model.Call, limit bool) {
	o.collector.CallRefused(o.queue.Now(), u, limit)
}
