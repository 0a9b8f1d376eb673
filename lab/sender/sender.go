// Package sender owns the process around a policy: inbox, steps on tick bounds, slots, connections, time-outs, what is
// held, and restarts. It carries out actions to the letter and must never decide anything for the policy; what a policy
// asks for that cannot be is counted as a fault.
package sender

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"eiderhaven/lab/clock"
	"eiderhaven/lab/judge"
	"eiderhaven/lab/model"
	"eiderhaven/lab/network"
	"eiderhaven/lab/receiver"
	"eiderhaven/lab/registry"
	"eiderhaven/lab/scenario"
	"eiderhaven/rules"
)

// Policy decides for one sender. *rules.Sender is one; package baseline has others.
type Policy interface {
	Step(now time.Duration, events []rules.Event) []rules.Action
}

// Factory makes the policy of one sender process from the settings that it starts with.
type Factory func(set rules.Settings) Policy

// Surroundings are the parts of the world that a sender meets.
type Environment struct {
	Scenario    *scenario.Scenario
	Queue       *clock.Queue
	Network     *network.Network
	Registry    *registry.Registry
	Judge       *judge.Judge
	Endpoints   map[rules.EndpointID]*receiver.Endpoint
	Factory     Factory
	RequestStep func(h *Host, at time.Duration) // asks for a step at a tick
	Recorder    Recorder
	Clients     Clients
	Trace       func(format string, args ...any) // nil: none
}

// Books counts what a sender does.
type Recorder interface {
	CallSent(now time.Duration, c *model.Call, unit *receiver.Unit, opened bool)
	AttemptEnded(now time.Duration, sender int, o rules.Outcome)
	MessageEnded(now time.Duration, sender int, m *model.Message, end model.End)
}

// Clients hear how their messages ended.
type Clients interface {
	MessageEnded(m *model.Message, end model.End, advice time.Duration)
}

// Host is one sender.
type Host struct {
	Number         int
	Zone           int
	Up             bool
	Settings       rules.Settings
	InvalidActions map[string]int
	w              *Environment
	policy         Policy
	epoch          int // of the process; what an earlier one had scheduled means nothing
	inbox          []rules.Event
	lastStep       time.Duration
	stepping       bool // a step is due
	held           map[rules.MessageID]*holding
	calls          map[rules.EndpointID]*pool
	live           map[*call]bool // out
	flights        map[flightKey]*flight
	busy           int // slots taken
	line           *clock.Scheduler
	timers         *clock.Scheduler
	actions        []rules.Action

	transitions []rules.Transition // of the last step

	pools    int
	kept     []*holding                  // what outlasts the process, while it is down
	outages  map[rules.EndpointID]outage // likewise: endpoints taken for out
	PeakHeld int                         // most messages held
	taken    int
}

// holding is a message that is held, or has ended with attempts still out.
type holding struct {
	m        *model.Message
	attempts int
	recalled int // of them
	out      []*flight
	over     bool
	ran      time.Duration // send time of the earliest attempt that may have run
	ranAt    rules.EndpointID
	mayRun   bool
	failed   int // attempts, for the next process
	seq      int // order of taking
}

// New returns a sender that is down.
func New(number, zone int, set rules.Settings, w *Environment) *Host {
	return &Host{outages: map[rules.EndpointID]outage{}, Number: number, Zone: zone, Settings: set, w: w, InvalidActions: map[string]int{},
		line: w.Queue.NewScheduler(clock.Answer, number), timers: w.Queue.NewScheduler(clock.Timer, number)}
}

// Start begins a process. What an earlier one kept comes back with what is known of its attempts.
func (h *Host) Start(seed uint64) {
	set := h.Settings
	set.Seed = seed
	h.Up, h.epoch = true, h.epoch+1
	h.policy = h.w.Factory(set)
	h.inbox, h.stepping, h.busy = nil, false, 0
	h.held, h.calls = map[rules.MessageID]*holding{}, map[rules.EndpointID]*pool{}
	h.live, h.flights = map[*call]bool{}, map[flightKey]*flight{}
	h.tell(h.hear(h.w.Registry.SenderStarted(h.Number)))
	now := h.w.Queue.Now()
	for _, id := range slices.Sorted(maps.Keys(h.outages)) {
		h.tell(rules.RememberedOutage{Endpoint: id, Age: now - h.outages[id].since, Rate: h.outages[id].rate})
	}
	for _, k := range h.kept {
		h.held[k.m.ID] = k
		h.tell(h.arrived(k, now))
	}
	h.kept = nil
}

func (h *Host) arrived(k *holding, now time.Duration) rules.Arrived {
	e := rules.Arrived{ID: k.m.ID, Destination: k.m.Dest, Class: k.m.Class, Tenant: k.m.Tenant, OrderKey: k.m.Key,
		TimeLeft: k.m.Deadline - now, Prior: rules.PriorAttempts{Count: k.attempts, Failed: k.failed}}
	if k.mayRun {
		e.Prior.MayHaveRun, e.Prior.Age, e.Prior.Endpoint = true, now-k.ran, k.ranAt
	}
	return e
}

// hear lets the judge know what the sender is told of the list.
func (h *Host) hear(e rules.ListUpdate) rules.ListUpdate {
	h.w.Judge.ListReceived(h.w.Queue.Now(), h.Number, e)
	return e
}

// Listed brings news of the list.
func (h *Host) UpdateList(e rules.ListUpdate) {
	if h.Up {
		h.tell(h.hear(e))
	}
}

// tell puts an event into the inbox and asks for a step at the next tick bound.
func (h *Host) tell(e rules.Event) {
	h.inbox = append(h.inbox, e)
	if h.stepping {
		return
	}
	h.stepping = true
	tick, now := h.Settings.Tick, h.w.Queue.Now()
	at := (now + tick - 1) / tick * tick
	if at <= h.lastStep && h.lastStep > 0 {
		at = h.lastStep + tick
	}
	h.w.RequestStep(h, at)
}

// Hand offers a message; false tells that there is no room.
func (h *Host) Submit(m *model.Message) bool {
	if len(h.held) >= h.Settings.MaxHeld {
		return false
	}
	h.taken++
	k := &holding{m: m, seq: h.taken}
	h.held[m.ID] = k
	h.PeakHeld = max(h.PeakHeld, len(h.held))
	now := h.w.Queue.Now()
	h.w.Judge.MessageAccepted(now, h.Number, m)
	h.trace(m.ID, "taken by sender %d, destination %d", h.Number, m.Dest)
	h.tell(h.arrived(k, now))
	return true
}

// Held is how many messages are held.
func (h *Host) Held() int { return len(h.held) }

// Busy is how many slots are taken.
func (h *Host) SlotsInUse() int { return h.busy }

// Decide runs the policy's step. It touches nothing but the sender's own, so steps of several senders may run at once.
func (h *Host) Decide(now time.Duration) {
	h.stepping = false
	if !h.Up {
		return
	}
	events := h.inbox
	h.inbox = nil
	h.lastStep = now
	h.actions = h.step(now, events)
	h.remember(now)
}

// outage is what is kept of an endpoint taken for out.
type outage struct {
	since time.Duration
	rate  float64 // calls a second delivered before
}

// observer is a policy that tells of its endpoints' states.
type observer interface{ Observe() rules.Observations }

// remember keeps what outlasts the process of a policy's view of its endpoints, as the daemon's ledger does.
func (h *Host) remember(now time.Duration) {
	o, ok := h.policy.(observer)
	if !ok {
		return
	}
	h.transitions = o.Observe().Transitions
	for _, t := range h.transitions {
		switch {
		case t.To == rules.Healthy:
			delete(h.outages, t.Endpoint)
		case t.From == rules.Healthy:
			h.outages[t.Endpoint] = outage{now, t.PreOutageRate}
		}
	}
}

// step runs the policy; a panic in it is a fault of this sender, which does nothing more.
func (h *Host) step(now time.Duration, events []rules.Event) (actions []rules.Action) {
	defer func() {
		if p := recover(); p != nil {
			h.fault("the policy panicked: %v", p)
			h.policy, actions = silent{}, nil
		}
	}()
	return h.policy.Step(now, events)
}

// silent is what is left of a policy that panicked.
type silent struct{}

func (silent) Step(time.Duration, []rules.Event) []rules.Action { return nil }

// CarryOut does what the last step asked for.
func (h *Host) ExecuteActions() {
	actions := h.actions
	h.actions = nil
	h.traceTransitions()
	var fresh []*call
	for _, a := range actions {
		switch a := a.(type) {
		case rules.Send:
			fresh = h.send(fresh, a)
		case rules.Refuse:
			h.end(a.ID, model.Refused, a.RetryAfter)
		case rules.Fail:
			h.end(a.ID, model.Failed, 0)
		case rules.Cancel:
			h.cancel(a)
		case rules.Recall:
			h.recall(a)
		case rules.CloseIdle:
			if p := h.calls[a.Endpoint]; p != nil {
				p.CloseIdle()
			}
		case rules.WakeAfter:
			h.wake(a.After)
		case rules.Watch:
			epoch := h.epoch
			h.w.Registry.Watch(h.Number, func() {
				if h.epoch == epoch && h.Up {
					h.tell(rules.DiscoveryFailed{})
				}
			})
		case rules.EndpointForgotten:
		default:
			h.fault("action %T is not known", a)
		}
	}
	for _, c := range fresh {
		h.launch(c)
	}
}

func (h *Host) fault(format string, args ...any) { h.InvalidActions[fmt.Sprintf(format, args...)]++ }

// traceTransitions tells of the changes of endpoints' states that the last step brought.
func (h *Host) traceTransitions() {
	if h.w.Trace == nil {
		return
	}
	for _, t := range h.transitions {
		h.w.Trace("sender %d: endpoint %d goes from %v to %v (%s), %d failures, failing for %v, next call in %v", h.Number, t.Endpoint,
			t.From, t.To, t.Cause, t.ConsecutiveFailures, (t.At - t.FailingSince).Round(time.Millisecond), t.CallInterval.Round(time.Millisecond))
	}
}

func (h *Host) trace(id rules.MessageID, format string, args ...any) {
	if h.w.Trace != nil {
		h.w.Trace("%s: "+format, append([]any{id}, args...)...)
	}
}

// wake schedules a wake-up. One in the past comes at the next tick, and is a fault.
func (h *Host) wake(after time.Duration) {
	if after <= 0 {
		h.fault("a wake-up in the past was asked for")
		after = h.Settings.Tick
	}
	epoch := h.epoch
	h.timers.After(after, func() {
		if h.Up && h.epoch == epoch {
			h.tell(rules.WakeUp{})
		}
	})
}

// end ends a message by the policy's word.
func (h *Host) end(id rules.MessageID, end model.End, advice time.Duration) {
	k := h.held[id]
	if k == nil {
		h.w.Judge.MessageEnded(h.w.Queue.Now(), h.Number, id, end)
		return
	}
	h.over(k, end, advice)
}

func (h *Host) over(k *holding, end model.End, advice time.Duration) {
	now := h.w.Queue.Now()
	k.over = true
	delete(h.held, k.m.ID)
	h.w.Judge.MessageEnded(now, h.Number, k.m.ID, end)
	h.w.Recorder.MessageEnded(now, h.Number, k.m, end)
	h.trace(k.m.ID, "%v%s", end, adviceText(advice))
	h.w.Clients.MessageEnded(k.m, end, advice)
}

func adviceText(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return fmt.Sprintf(", to come back in %v", d.Round(time.Millisecond))
}

// Stop ends the process at once. With its state kept, what it held comes back at the next start; else the messages are
// returned for their clients to hand in again, with those that may have run marked.
func (h *Host) Stop(kept bool) (lost []*model.Message) {
	if !h.Up {
		return nil
	}
	h.Up, h.policy = false, nil
	h.epoch++
	h.w.Judge.SenderStopped(h.Number, kept)
	var all []*holding
	for _, k := range h.held {
		all = append(all, k)
	}
	slices.SortFunc(all, func(a, b *holding) int { return cmp.Compare(a.seq, b.seq) })
	for _, k := range all {
		for _, f := range k.out {
			if !k.mayRun || f.call.Sent < k.ran {
				k.mayRun, k.ran, k.ranAt = true, f.call.Sent, f.call.pool.ep.ID
			}
			f.done = true
		}
		k.out = nil
	}
	for c := range h.live { // also those whose messages have ended
		c.Abandoned = true
		if c.conn != nil {
			c.conn.Close()
		}
	}
	for _, p := range h.calls {
		p.CloseIdle()
	}
	h.held, h.inbox, h.live, h.flights = nil, nil, nil, nil
	if !kept {
		clear(h.outages)
	}
	if kept {
		h.kept = all
		return nil
	}
	for _, k := range all {
		k.m.MayHaveRun = k.mayRun
		lost = append(lost, k.m)
	}
	return lost
}
