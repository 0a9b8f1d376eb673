// Package sender owns the simulated sender process around a policy: its inbox, steps at tick boundaries, slots,
// connections, timeouts, held messages and restarts. It executes the policy's actions exactly and must never decide
// anything itself; an action that cannot be executed is counted as invalid.
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

// Policy makes the decisions of one sender. *rules.Sender is a Policy; package baseline has others.
type Policy interface {
	Step(now time.Duration, events []rules.Event) []rules.Action
}

// Factory returns the policy of one sender process for the settings that it starts with.
type Factory func(set rules.Settings) Policy

// Environment holds the parts of the simulation that a sender uses.
type Environment struct {
	Scenario    *scenario.Scenario
	Queue       *clock.Queue
	Network     *network.Network
	Registry    *registry.Registry
	Judge       *judge.Judge
	Endpoints   map[rules.EndpointID]*receiver.Endpoint
	Factory     Factory
	RequestStep func(h *Host, at time.Duration) // requests a step at a tick
	Recorder    Recorder
	Clients     Clients
	Trace       func(format string, args ...any) // nil: none
}

// Recorder counts what a sender does.
type Recorder interface {
	CallSent(now time.Duration, c *model.Call, unit *receiver.Unit, opened bool)
	AttemptEnded(now time.Duration, sender int, o rules.Outcome)
	MessageEnded(now time.Duration, sender int, m *model.Message, end model.End)
}

// Clients are notified how their messages ended.
type Clients interface {
	MessageEnded(m *model.Message, end model.End, retryAfter time.Duration)
}

// Host runs one sender.
type Host struct {
	Number         int
	Zone           int
	Up             bool
	Settings       rules.Settings
	InvalidActions map[string]int // by description; also panics of the policy
	env            *Environment
	policy         Policy
	epoch          int // number of the process; events that an earlier process scheduled are ignored
	inbox          []rules.Event
	lastStep       time.Duration
	stepRequested  bool // a step is scheduled
	held           map[rules.MessageID]*heldMessage
	pools          map[rules.EndpointID]*pool
	inFlight       map[*call]bool
	attempts       map[attemptKey]*attempt // in flight
	slotsInUse     int
	transit        *clock.Scheduler // connects, calls and outcomes on their way
	timers         *clock.Scheduler // timeouts and wake-ups
	actions        []rules.Action

	transitions  []rules.Transition  // endpoint state changes of the last step
	limitedCalls []rules.LimitedCall // calls of the last step to endpoints that may be cold

	poolsCreated int
	retained     []*heldMessage                       // messages kept while the process is down
	hardStates   map[rules.EndpointID]rules.HardState // those that are not clean; kept across restarts with state
	PeakHeld     int                                  // largest number of messages held
	accepted     int                                  // number of messages accepted
}

// heldMessage is a message that is held, or has ended with attempts still in flight.
type heldMessage struct {
	message            *model.Message
	attemptCount       int
	recalledCount      int // of the attempts
	inFlight           []*attempt
	finished           bool
	mayHaveRunAt       time.Duration // send time of the earliest attempt that may have run
	mayHaveRunEndpoint rules.EndpointID
	mayHaveRun         bool
	cutOff             cutOffAttempt
	failedCount        int // failed attempts, reported to the next process
	seq                int // order of acceptance
}

// cutOffAttempt is the earliest attempt of a message that was in flight when its process was killed.
type cutOffAttempt struct {
	endpoint    rules.EndpointID // 0 for none
	sent        time.Duration
	inFlightFor time.Duration
}

// New returns a sender that is down.
func New(number, zone int, set rules.Settings, env *Environment) *Host {
	return &Host{
		Number:         number,
		Zone:           zone,
		Settings:       set,
		InvalidActions: map[string]int{},
		env:            env,
		transit:        env.Queue.NewScheduler(clock.Answer, number),
		timers:         env.Queue.NewScheduler(clock.Timer, number),
		hardStates:     map[rules.EndpointID]rules.HardState{},
	}
}

// Start starts a process. Messages kept by an earlier process are restored with what is known of their attempts.
func (h *Host) Start(seed uint64) {
	set := h.Settings
	set.Seed = seed
	h.Up, h.epoch = true, h.epoch+1
	h.policy = h.env.Factory(set)
	h.inbox, h.stepRequested, h.slotsInUse = nil, false, 0
	h.held, h.pools = map[rules.MessageID]*heldMessage{}, map[rules.EndpointID]*pool{}
	h.inFlight, h.attempts = map[*call]bool{}, map[attemptKey]*attempt{}
	h.enqueueEvent(h.recordListUpdate(h.env.Registry.SenderStarted(h.Number)))
	now := h.env.Queue.Now()
	for _, id := range slices.Sorted(maps.Keys(h.hardStates)) {
		h.enqueueEvent(rules.RestoredState{HardState: h.hardStates[id]})
	}
	for _, held := range h.retained {
		h.held[held.message.ID] = held
		arrived := h.arrivedEvent(held, now)
		arrived.Recovered = true
		held.cutOff = cutOffAttempt{}
		h.enqueueEvent(arrived)
	}
	h.retained = nil
}

// arrivedEvent returns the event that reports a held message to the policy.
func (h *Host) arrivedEvent(held *heldMessage, now time.Duration) rules.Arrived {
	m := held.message
	e := rules.Arrived{
		ID:          m.ID,
		Destination: m.Dest,
		Class:       m.Class,
		Tenant:      m.Tenant,
		OrderKey:    m.Key,
		TimeLeft:    m.Deadline - now,
		Prior:       rules.PriorAttempts{Count: held.attemptCount, Failed: held.failedCount},
	}
	if held.mayHaveRun {
		e.Prior.MayHaveRun, e.Prior.Age, e.Prior.Endpoint = true, now-held.mayHaveRunAt, held.mayHaveRunEndpoint
	}
	if held.cutOff.endpoint != 0 {
		e.Prior.CutOff = rules.CutOffAttempt{
			Endpoint: held.cutOff.endpoint, Age: now - held.cutOff.sent, InFlightFor: held.cutOff.inFlightFor,
		}
	}
	return e
}

// recordListUpdate reports to the judge which list the sender receives.
func (h *Host) recordListUpdate(e rules.ListUpdate) rules.ListUpdate {
	h.env.Judge.ListReceived(h.env.Queue.Now(), h.Number, e)
	return e
}

// UpdateList delivers an update of the endpoint list.
func (h *Host) UpdateList(e rules.ListUpdate) {
	if h.Up {
		h.enqueueEvent(h.recordListUpdate(e))
	}
}

// enqueueEvent puts an event into the inbox and requests a step at the next tick boundary.
func (h *Host) enqueueEvent(e rules.Event) {
	h.inbox = append(h.inbox, e)
	if h.stepRequested {
		return
	}
	h.stepRequested = true
	tick, now := h.Settings.Tick, h.env.Queue.Now()
	at := (now + tick - 1) / tick * tick
	if at <= h.lastStep && h.lastStep > 0 {
		at = h.lastStep + tick
	}
	h.env.RequestStep(h, at)
}

// Submit offers a message and reports whether it is accepted; it is not when the sender holds MaxHeld messages.
func (h *Host) Submit(m *model.Message) bool {
	if len(h.held) >= h.Settings.MaxHeld {
		return false
	}
	h.accepted++
	held := &heldMessage{message: m, seq: h.accepted}
	h.held[m.ID] = held
	h.PeakHeld = max(h.PeakHeld, len(h.held))
	now := h.env.Queue.Now()
	h.env.Judge.MessageAccepted(now, h.Number, m)
	h.trace(m.ID, "accepted by sender %d, destination %d", h.Number, m.Dest)
	h.enqueueEvent(h.arrivedEvent(held, now))
	return true
}

// Held returns the number of messages held.
func (h *Host) Held() int { return len(h.held) }

// SlotsInUse returns the number of slots in use.
func (h *Host) SlotsInUse() int { return h.slotsInUse }

// Decide runs the policy's step. It touches only the sender's own state, so several senders may decide concurrently.
func (h *Host) Decide(now time.Duration) {
	h.stepRequested = false
	if !h.Up {
		return
	}
	events := h.inbox
	h.inbox = nil
	h.lastStep = now
	h.actions = h.stepPolicy(now, events)
	h.observe()
}

// observer is a policy that reports the states of its endpoints.
type observer interface{ Observe() rules.Observations }

// observe records the hard states that the policy reports. Like the daemon's ledger, the record outlasts a restart with
// state.
func (h *Host) observe() {
	o, ok := h.policy.(observer)
	if !ok {
		return
	}
	observations := o.Observe()
	h.transitions, h.limitedCalls = observations.Transitions, observations.LimitedCalls
	for _, state := range observations.HardStates {
		if state.Clean() {
			delete(h.hardStates, state.Endpoint)
		} else {
			h.hardStates[state.Endpoint] = state
		}
	}
}

// stepPolicy runs the policy. After a panic in it, which is counted as an invalid action, the sender does nothing
// more.
func (h *Host) stepPolicy(now time.Duration, events []rules.Event) (actions []rules.Action) {
	defer func() {
		if p := recover(); p != nil {
			h.reportInvalid("the policy panicked: %v", p)
			h.policy, actions = noActions{}, nil
		}
	}()
	return h.policy.Step(now, events)
}

// noActions replaces a policy that panicked.
type noActions struct{}

func (noActions) Step(time.Duration, []rules.Event) []rules.Action { return nil }

// ExecuteActions executes the actions of the last step.
func (h *Host) ExecuteActions() {
	actions := h.actions
	h.actions = nil
	h.traceObservations()
	var newCalls []*call
	for _, a := range actions {
		switch a := a.(type) {
		case rules.Send:
			newCalls = h.send(newCalls, a)
		case rules.Refuse:
			h.endByPolicy(a.ID, model.Refused, a.RetryAfter)
		case rules.Fail:
			h.endByPolicy(a.ID, model.Failed, 0)
		case rules.Cancel:
			h.cancel(a)
		case rules.Recall:
			h.recall(a)
		case rules.CloseIdle:
			if p := h.pools[a.Endpoint]; p != nil {
				p.CloseIdle()
			}
		case rules.WakeAfter:
			h.scheduleWakeUp(a.After)
		case rules.Watch:
			h.watch()
		case rules.EndpointForgotten:
		default:
			h.reportInvalid("action %T is not known", a)
		}
	}
	for _, c := range newCalls {
		h.launch(c)
	}
}

// watch subscribes to list updates; a failure of the call is reported to the policy.
func (h *Host) watch() {
	epoch := h.epoch
	h.env.Registry.Watch(h.Number, func() {
		if h.epoch == epoch && h.Up {
			h.enqueueEvent(rules.DiscoveryFailed{})
		}
	})
}

// reportInvalid counts an action that cannot be executed.
func (h *Host) reportInvalid(format string, args ...any) {
	h.InvalidActions[fmt.Sprintf(format, args...)]++
}

// traceObservations traces the changes of endpoint states in the last step, and its calls to endpoints that may be cold.
func (h *Host) traceObservations() {
	if h.env.Trace == nil {
		return
	}
	for _, t := range h.transitions {
		h.env.Trace("sender %d: endpoint %d changes from %v to %v (%s), %d failures, failing for %v, next call in %v",
			h.Number, t.Endpoint, t.From, t.To, t.Cause, t.ConsecutiveFailures,
			(t.At - t.FailingSince).Round(time.Millisecond), t.CallInterval.Round(time.Millisecond))
	}
	for _, c := range h.limitedCalls {
		h.env.Trace("sender %d: calls endpoint %d (%v) by gate %s, failures %d, of the scope %d, refusals %d, "+
			"latest failed call %v ago, %d in flight", h.Number, c.Endpoint, c.State, c.Gate, c.Failures, c.ScopeFailures,
			c.Refusals, (c.At - c.LastFailedSent).Round(time.Millisecond), c.InFlight)
	}
}

func (h *Host) trace(id rules.MessageID, format string, args ...any) {
	if h.env.Trace != nil {
		h.env.Trace("%s: "+format, append([]any{id}, args...)...)
	}
}

// scheduleWakeUp schedules a wake-up. One in the past is moved to the next tick and counted as an invalid action.
func (h *Host) scheduleWakeUp(after time.Duration) {
	if after <= 0 {
		h.reportInvalid("a wake-up in the past was asked for")
		after = h.Settings.Tick
	}
	epoch := h.epoch
	h.timers.After(after, func() {
		if h.Up && h.epoch == epoch {
			h.enqueueEvent(rules.WakeUp{})
		}
	})
}

// endByPolicy ends a message as the policy decided. The judge also learns of an end of a message that is not held.
func (h *Host) endByPolicy(id rules.MessageID, end model.End, retryAfter time.Duration) {
	held := h.held[id]
	if held == nil {
		h.env.Judge.MessageEnded(h.env.Queue.Now(), h.Number, id, end)
		return
	}
	h.finishMessage(held, end, retryAfter)
}

// finishMessage records the end of a message and notifies its client.
func (h *Host) finishMessage(held *heldMessage, end model.End, retryAfter time.Duration) {
	now := h.env.Queue.Now()
	held.finished = true
	delete(h.held, held.message.ID)
	h.env.Judge.MessageEnded(now, h.Number, held.message.ID, end)
	h.env.Recorder.MessageEnded(now, h.Number, held.message, end)
	h.trace(held.message.ID, "%v%s", end, retryAfterSuffix(retryAfter))
	h.env.Clients.MessageEnded(held.message, end, retryAfter)
}

// retryAfterSuffix returns the end of a trace line for a Retry-After, empty for none.
func retryAfterSuffix(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return fmt.Sprintf(", retry after %v", d.Round(time.Millisecond))
}

// Stop kills the process. If its state is kept, the held messages are restored at the next start; otherwise they are
// returned for their clients to submit again, marked where they may have run.
func (h *Host) Stop(kept bool) (lost []*model.Message) {
	if !h.Up {
		return nil
	}
	h.Up, h.policy = false, nil
	h.epoch++
	h.env.Judge.SenderStopped(h.Number, kept)
	var all []*heldMessage
	for _, held := range h.held {
		all = append(all, held)
	}
	slices.SortFunc(all, func(a, b *heldMessage) int { return cmp.Compare(a.seq, b.seq) })
	for _, held := range all {
		held.abandonAttempts(h.env.Queue.Now())
	}
	for c := range h.inFlight { // also calls whose messages have all ended
		c.Abandoned = true
		if c.conn != nil {
			c.conn.Close()
		}
	}
	for _, p := range h.pools {
		p.CloseIdle()
	}
	h.held, h.inbox, h.inFlight, h.attempts = nil, nil, nil, nil
	if kept {
		h.retained = all
		return nil
	}
	clear(h.hardStates)
	for _, held := range all {
		held.message.MayHaveRun = held.mayHaveRun
		lost = append(lost, held.message)
	}
	return lost
}

// abandonAttempts ends the attempts in flight without an outcome as their process is killed; each of them may have run.
func (m *heldMessage) abandonAttempts(now time.Duration) {
	for _, att := range m.inFlight {
		m.noteMayHaveRun(att.call.Sent, att.call.pool.endpoint.ID)
		if m.cutOff.endpoint == 0 || att.call.Sent < m.cutOff.sent {
			m.cutOff = cutOffAttempt{att.call.pool.endpoint.ID, att.call.Sent, max(now-att.call.Sent, 1)}
		}
		att.done = true
	}
	m.inFlight = nil
}

// noteMayHaveRun records an attempt that may have run. Only the one that was sent first is kept.
func (m *heldMessage) noteMayHaveRun(sent time.Duration, ep rules.EndpointID) {
	if !m.mayHaveRun || sent < m.mayHaveRunAt {
		m.mayHaveRun, m.mayHaveRunAt, m.mayHaveRunEndpoint = true, sent, ep
	}
}
