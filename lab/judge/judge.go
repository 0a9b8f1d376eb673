// Package judge checks the six delivery rules of a simulated run from the outside. It observes every message, attempt,
// outcome and endpoint list, and records each violation with its time, sender, message and the events that led to it.
//
// It must share no code with the decision module (package rules) except the types of its interface, use no state that
// a policy reports about itself, and change nothing in a run.
package judge

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"eiderhaven/lab/margin"
	"eiderhaven/lab/model"
	"eiderhaven/lab/receiver"
	"eiderhaven/lab/scenario"
	"eiderhaven/rules"
)

// Rule is one of the six delivery rules. The numbers are those of the project's documentation and are part of result
// files.
type Rule int

// The rules.
const (
	LostMessage       Rule = 1 + iota // a message did not get exactly one final answer in time
	DoubleEffect                      // a repeat or a refusal risked a second effect that the class does not allow
	DrainIgnored                      // a new attempt to an endpoint that is draining, removed or was never listed
	RecoveryOverload                  // a destination was overloaded while it recovered from an outage
	OutOfOrder                        // messages of one order key were not sent one at a time and in order
	RetryAfterIgnored                 // an attempt before the end of a retry-after
)

// Rules lists all rules by number.
var Rules = []Rule{LostMessage, DoubleEffect, DrainIgnored, RecoveryOverload, OutOfOrder, RetryAfterIgnored}

func (r Rule) String() string {
	return [...]string{"", "1 lost message", "2 double effect", "3 drain", "4 pushed over", "5 order", "6 wait"}[r]
}

// Violation is one breach of a rule. Its fields are written to result files under their Go names.
type Violation struct {
	Rule    Rule
	At      time.Duration
	Sender  int
	Message rules.MessageID // empty for RecoveryOverload, which concerns many messages
	Text    string
	Trail   []string // the events that led to it, oldest first
}

func (v Violation) String() string {
	message := cmp.Or(string(v.Message), "-")
	return fmt.Sprintf("%.3fs rule %v, sender %d, message %s: %s", v.At.Seconds(), v.Rule, v.Sender, message, v.Text)
}

const (
	// Number of violations that are kept in full; the rest are only counted.
	maxKeptViolations = 50

	// Messages are grouped by the time when they must have ended into intervals of this length. Sweep handles whole
	// intervals.
	sweepInterval = 100 * time.Millisecond

	// Number of senders listed in the trail of a RecoveryOverload, those with the most calls first.
	maxListedSenders = 8
)

// Names of scenario.Class.Effect and scenario.Class.Scope as scenario files have them.
const (
	effectSafe  = "safe"
	effectKeyed = "keyed"
	effectOnce  = "once"

	scopeDestination = "destination"
	scopeZone        = "zone"
	scopeEndpoint    = "endpoint"
)

// Judge observes one run. Its methods are called in the order of model time. A unit is what shares one limit and one
// state of health: a destination, or one endpoint of it if its kind has routes_apart (receiver.Unit).
type Judge struct {
	scenario       *scenario.Scenario
	senders        []*senderState
	latestOutage   map[int]*outage // by unit
	outages        []*outage       // all so far
	unitOf         func(rules.EndpointID) (unit, zone int)
	Violations     []Violation               // the first maxKeptViolations
	Counts         map[Rule]int              // number of all violations
	deadlines      map[int64][]deadlineEntry // by sweep interval
	sweptIntervals int64                     // number of intervals that Sweep has handled
}

// deadlineEntry is a message that must have its final answer when its sweep interval is handled.
type deadlineEntry struct {
	sender  int
	message *trackedMessage
}

// senderState is what was observed of one sender.
type senderState struct {
	messages      map[rules.MessageID]*trackedMessage
	endedAt       map[rules.MessageID]time.Duration  // kept until the sweep after the deadline
	drainListedAt map[rules.EndpointID]time.Duration // when the sender first received it as draining or gone
	listed        map[rules.EndpointID]bool
	retryAfter    map[int]retryAfterSpan       // latest, by unit
	orderQueues   map[string][]*trackedMessage // by order key, first accepted first
	accepted      int                          // messages so far
	down          bool                         // the process has ended and its state is kept
	graceUntil    time.Duration                // after a restart with state, final answers up to this time are not late
}

// retryAfterSpan is the time in which a unit asked a sender not to send to it.
type retryAfterSpan struct{ receivedAt, until time.Duration }

// outage is an outage of one unit and what followed it.
type outage struct {
	beganAt, endedAt time.Duration
	ongoing          bool
	informed         map[int]bool // senders that sent an attempt before its end and saw it fail or be refused
	margin           float64      // of the worst window since the end, see package margin
}

// trackedMessage is an accepted message, until it has its final answer and no attempt of it is in flight.
type trackedMessage struct {
	message        *model.Message
	class          *scenario.Class
	attempts       []attempt
	finished       bool
	keyPausedUntil time.Duration // its order key must not be used before, as an attempt may still run
	seq            int           // order of acceptance
	trail          []trailEvent
}

type attempt struct {
	at       time.Duration
	endpoint rules.EndpointID
	unit     int
	zone     int
	done     bool
	outcome  rules.Outcome
}

// trailEvent is one event of a message, kept for the trail of a violation.
type trailEvent struct {
	at       time.Duration
	kind     trailKind
	attempt  int
	endpoint rules.EndpointID
	outcome  rules.Outcome
	end      model.End
}

type trailKind int

const (
	trailAccepted trailKind = iota
	trailAttempt
	trailOutcome
	trailEnd
)

// outcomeNames are the names in result files of the rules.Outcome values.
var outcomeNames = [...]string{"ok", "error", "full", "timed out", "connect failed", "reset", "cancelled", "not sent"}

func (e trailEvent) String() string {
	at := fmt.Sprintf("%.3fs ", e.at.Seconds())
	switch e.kind {
	case trailAccepted:
		return at + "taken"
	case trailAttempt:
		return fmt.Sprintf("%sattempt %d to endpoint %d", at, e.attempt, e.endpoint)
	case trailOutcome:
		return fmt.Sprintf("%sattempt %d ended: %s", at, e.attempt, outcomeNames[e.outcome])
	}
	return at + e.end.String()
}

// New returns a Judge for one run of a scenario; unitOf returns the unit and the zone of an endpoint.
func New(s *scenario.Scenario, unitOf func(rules.EndpointID) (unit, zone int)) *Judge {
	j := &Judge{
		scenario:     s,
		unitOf:       unitOf,
		latestOutage: map[int]*outage{},
		Counts:       map[Rule]int{},
		deadlines:    map[int64][]deadlineEntry{},
	}
	for range s.Senders.Count {
		j.senders = append(j.senders, newSenderState())
	}
	return j
}

func newSenderState() *senderState {
	return &senderState{
		messages:      map[rules.MessageID]*trackedMessage{},
		endedAt:       map[rules.MessageID]time.Duration{},
		drainListedAt: map[rules.EndpointID]time.Duration{},
		listed:        map[rules.EndpointID]bool{},
		retryAfter:    map[int]retryAfterSpan{},
		orderQueues:   map[string][]*trackedMessage{},
	}
}

// addViolation counts a violation and keeps it in full while there is room. msg is nil if the violation concerns no
// single message, else its trail is appended to the given one.
func (j *Judge) addViolation(
	rule Rule, at time.Duration, sender int, msg *trackedMessage, trail []string, format string, args ...any,
) {
	j.Counts[rule]++
	if len(j.Violations) >= maxKeptViolations {
		return
	}
	v := Violation{Rule: rule, At: at, Sender: sender, Text: fmt.Sprintf(format, args...), Trail: trail}
	if msg != nil {
		v.Message = msg.message.ID
		for _, e := range msg.trail {
			v.Trail = append(v.Trail, e.String())
		}
	}
	j.Violations = append(j.Violations, v)
}

// MessageAccepted records that a sender accepted a message and now has to give it a final answer.
func (j *Judge) MessageAccepted(now time.Duration, sender int, m *model.Message) {
	state := j.senders[sender]
	msg := &trackedMessage{
		message: m,
		class:   &j.scenario.Classes[m.Class],
		trail:   []trailEvent{{at: now, kind: trailAccepted}},
	}
	state.accepted++
	msg.seq = state.accepted
	state.messages[m.ID] = msg
	if msg.class.KeepOrder && m.Key != "" {
		state.orderQueues[m.Key] = append(state.orderQueues[m.Key], msg)
	}
	interval := int64((m.Deadline+j.scenario.Rules.AnswerGrace.D())/sweepInterval) + 1
	j.deadlines[interval] = append(j.deadlines[interval], deadlineEntry{sender, msg})
}

// AttemptStarted records that a sender starts an attempt, and checks the rules on when and where it may.
func (j *Judge) AttemptStarted(now time.Duration, sender int, id rules.MessageID, num int, ep rules.EndpointID) {
	state := j.senders[sender]
	unit, zone := j.unitOf(ep)
	msg := state.messages[id]
	if msg == nil {
		unknown := &trackedMessage{message: &model.Message{ID: id}}
		j.addViolation(LostMessage, now, sender, unknown, nil,
			"sent to endpoint %d, though it has ended or was never taken", ep)
		return
	}
	j.checkRepeat(now, sender, msg, ep, zone)
	j.checkDrain(now, sender, state, msg, ep)
	if span, received := state.retryAfter[unit]; received && now > span.receivedAt && now < span.until {
		j.addViolation(RetryAfterIgnored, now, sender, msg, nil,
			"sent to endpoint %d, which asked at %.3fs for a wait until %.3fs",
			ep, span.receivedAt.Seconds(), span.until.Seconds())
	}
	j.checkOrder(now, sender, state, msg)
	msg.attempts = append(msg.attempts, attempt{at: now, endpoint: ep, unit: unit, zone: zone})
	msg.trail = append(msg.trail, trailEvent{at: now, kind: trailAttempt, attempt: num, endpoint: ep})
}

// mayHaveRun reports whether the attempt may have taken effect: it is in flight, or its outcome does not exclude it.
func (a *attempt) mayHaveRun() bool {
	if !a.done {
		return true
	}
	return a.outcome != rules.Refused && a.outcome != rules.ConnectError && a.outcome != rules.NotSent
}

// inFlight reports whether an attempt of the message has no outcome yet.
func (msg *trackedMessage) inFlight() bool {
	return slices.ContainsFunc(msg.attempts, func(a attempt) bool { return !a.done })
}

// firstThatMayHaveRun returns the earliest attempt that may have taken effect, or nil.
func (msg *trackedMessage) firstThatMayHaveRun() *attempt {
	for i := range msg.attempts {
		if msg.attempts[i].mayHaveRun() {
			return &msg.attempts[i]
		}
	}
	return nil
}

// checkRepeat checks DoubleEffect for an attempt: a message that may have run may be sent again only if its class is
// safe, or keyed and the endpoint still remembers the key.
func (j *Judge) checkRepeat(now time.Duration, sender int, msg *trackedMessage, ep rules.EndpointID, zone int) {
	first := msg.firstThatMayHaveRun()
	if first == nil || msg.class.Effect == effectSafe {
		return
	}
	if msg.class.Effect == effectOnce {
		j.addViolation(DoubleEffect, now, sender, msg, nil,
			"sent again to endpoint %d, though an attempt of %.3fs may have run", ep, first.at.Seconds())
		return
	}
	if now-first.at > msg.class.Window.D() {
		j.addViolation(DoubleEffect, now, sender, msg, nil,
			"sent again %v after an attempt that may have run; its key is remembered for %v",
			now-first.at, msg.class.Window.D())
		return
	}
	otherZone := msg.class.Scope == scopeZone && zone != first.zone
	otherEndpoint := msg.class.Scope == scopeEndpoint && ep != first.endpoint
	if otherZone || otherEndpoint {
		j.addViolation(DoubleEffect, now, sender, msg, nil,
			"sent again to endpoint %d, outside the %s that remembers its key", ep, msg.class.Scope)
	}
}

// checkDrain checks DrainIgnored for an attempt.
func (j *Judge) checkDrain(
	now time.Duration, sender int, state *senderState, msg *trackedMessage, ep rules.EndpointID,
) {
	listedAt, drained := state.drainListedAt[ep]
	switch {
	case drained && now > listedAt+j.scenario.Rules.DrainGrace.D():
		j.addViolation(DrainIgnored, now, sender, msg, nil,
			"sent to endpoint %d %v after the sender was told that it drains or is gone", ep, now-listedAt)
	case !drained && !state.listed[ep]:
		j.addViolation(DrainIgnored, now, sender, msg, nil, "sent to endpoint %d, which no list has named", ep)
	}
}

// checkOrder checks OutOfOrder for an attempt.
func (j *Judge) checkOrder(now time.Duration, sender int, state *senderState, msg *trackedMessage) {
	if !msg.class.KeepOrder || msg.message.Key == "" {
		return
	}
	queue := state.orderQueues[msg.message.Key]
	for _, earlier := range queue {
		if earlier == msg {
			break
		}
		switch {
		case !earlier.finished:
			j.addViolation(OutOfOrder, now, sender, msg, nil,
				"sent while message %s of the same key, taken before it, is not over", earlier.message.ID)
		case earlier.inFlight():
			j.addViolation(OutOfOrder, now, sender, msg, nil,
				"sent while an attempt of message %s of the same key is out", earlier.message.ID)
		case now < earlier.keyPausedUntil:
			j.addViolation(OutOfOrder, now, sender, msg, nil,
				"sent at once after an attempt of message %s that may still run", earlier.message.ID)
		default:
			continue
		}
		return
	}
}

// trimOrderQueue removes the messages at the head of an order queue that no longer delay those behind them.
func (state *senderState) trimOrderQueue(now time.Duration, key string) {
	queue := state.orderQueues[key]
	for len(queue) > 0 && queue[0].finished && now >= queue[0].keyPausedUntil && !queue[0].inFlight() {
		queue = queue[1:]
	}
	if len(queue) == 0 {
		delete(state.orderQueues, key)
		return
	}
	state.orderQueues[key] = queue
}

// AttemptEnded records that a sender learned the outcome of an attempt, and the retry-after that came with it, if any.
func (j *Judge) AttemptEnded(
	now time.Duration, sender int, id rules.MessageID, num int, ep rules.EndpointID,
	o rules.Outcome, retryAfter time.Duration,
) {
	state := j.senders[sender]
	unit, _ := j.unitOf(ep)
	sent := now
	if msg := state.messages[id]; msg != nil {
		for i := range msg.attempts {
			if a := &msg.attempts[i]; i == num && !a.done {
				a.done, a.outcome, sent = true, o, a.at
			}
		}
		if o == rules.TimedOut || o == rules.Reset || o == rules.Cancelled {
			msg.keyPausedUntil = now + j.scenario.Rules.OrderPause.D()
		}
		msg.trail = append(msg.trail, trailEvent{at: now, kind: trailOutcome, attempt: num, endpoint: ep, outcome: o})
		if msg.finished {
			j.forgetSettled(now, state, msg)
		}
	}
	if o == rules.Refused && retryAfter > 0 {
		if old := state.retryAfter[unit]; now+retryAfter > old.until {
			state.retryAfter[unit] = retryAfterSpan{receivedAt: now, until: now + retryAfter}
		}
	}
	if o != rules.OK && o != rules.NotSent {
		if latest := j.latestOutage[unit]; latest != nil && (latest.ongoing || sent <= latest.endedAt) {
			latest.informed[sender] = true
		}
	}
}

// MessageEnded records that a sender gave a message its final answer, or that it was delivered.
func (j *Judge) MessageEnded(now time.Duration, sender int, id rules.MessageID, end model.End) {
	state := j.senders[sender]
	msg := state.messages[id]
	if msg == nil || msg.finished {
		if at, ended := state.endedAt[id]; ended && end != model.Served && at < now {
			j.addViolation(LostMessage, now, sender, &trackedMessage{message: &model.Message{ID: id}},
				[]string{fmt.Sprintf("%.3fs it ended", at.Seconds()), fmt.Sprintf("%.3fs %v", now.Seconds(), end)},
				"%v, though it had ended at %.3fs", end, at.Seconds())
		}
		return
	}
	msg.trail = append(msg.trail, trailEvent{at: now, kind: trailEnd, end: end})
	due := max(msg.message.Deadline+j.scenario.Rules.AnswerGrace.D(), state.graceUntil)
	if late := now - due; late > 0 && end != model.Withdrawn {
		j.addViolation(LostMessage, now, sender, msg, nil, "%v %v after its time was up", end, late)
	}
	if end == model.Refused {
		j.checkRefusal(now, sender, msg)
	}
	msg.finished = true
	state.endedAt[id] = now
	j.forgetSettled(now, state, msg)
}

// checkRefusal checks DoubleEffect for a refusal, which promises that a repeat of the message is harmless.
func (j *Judge) checkRefusal(now time.Duration, sender int, msg *trackedMessage) {
	first := msg.firstThatMayHaveRun()
	deduplicated := msg.class.Effect == effectKeyed && msg.class.Scope == scopeDestination
	if first == nil || msg.class.Effect == effectSafe || deduplicated {
		return
	}
	j.addViolation(DoubleEffect, now, sender, msg, nil,
		"refused, though an attempt of %.3fs may have run", first.at.Seconds())
}

// forgetSettled removes a finished message, unless an attempt of it is in flight.
func (j *Judge) forgetSettled(now time.Duration, state *senderState, msg *trackedMessage) {
	if msg.inFlight() {
		return
	}
	delete(state.messages, msg.message.ID)
	if msg.class.KeepOrder && msg.message.Key != "" {
		state.trimOrderQueue(now, msg.message.Key)
	}
}

// ListReceived records an update of the endpoint list that a sender received.
func (j *Judge) ListReceived(now time.Duration, sender int, e rules.ListUpdate) {
	state := j.senders[sender]
	named := map[rules.EndpointID]bool{}
	for _, entry := range e.Entries {
		named[entry.Endpoint] = true
		if entry.Draining || entry.Gone {
			if _, known := state.drainListedAt[entry.Endpoint]; !known {
				state.drainListedAt[entry.Endpoint] = now
			}
			continue
		}
		state.listed[entry.Endpoint] = true
		delete(state.drainListedAt, entry.Endpoint)
	}
	if !e.Whole {
		return
	}
	for ep := range state.listed {
		if !named[ep] {
			if _, known := state.drainListedAt[ep]; !known {
				state.drainListedAt[ep] = now
			}
		}
	}
}

// SenderStopped records that a sender's process ended. If its state was not kept, it no longer has to answer the
// messages that it held.
func (j *Judge) SenderStopped(sender int, kept bool) {
	state := j.senders[sender]
	if !kept {
		for _, msg := range state.messages {
			msg.finished = true
		}
		j.senders[sender] = newSenderState()
		return
	}
	// Attempts in flight when the process ended may have run, and their outcomes are lost.
	for _, msg := range state.messages {
		for i := range msg.attempts {
			if !msg.attempts[i].done {
				msg.attempts[i].done, msg.attempts[i].outcome = true, rules.Reset
			}
		}
		if msg.finished {
			delete(state.messages, msg.message.ID)
		}
	}
	state.drainListedAt = map[rules.EndpointID]time.Duration{}
	state.listed = map[rules.EndpointID]bool{}
	state.retryAfter = map[int]retryAfterSpan{}
	state.orderQueues = map[string][]*trackedMessage{}
	state.down = true
	// The next process restores the messages in the order in which this one accepted them.
	var ordered []*trackedMessage
	for _, msg := range state.messages {
		if msg.class.KeepOrder && msg.message.Key != "" {
			ordered = append(ordered, msg)
		}
	}
	slices.SortFunc(ordered, func(a, b *trackedMessage) int { return cmp.Compare(a.seq, b.seq) })
	for _, msg := range ordered {
		state.orderQueues[msg.message.Key] = append(state.orderQueues[msg.message.Key], msg)
	}
}

// SenderStarted records that a sender's process runs again.
func (j *Judge) SenderStarted(now time.Duration, sender int) {
	state := j.senders[sender]
	state.down = false
	state.graceUntil = now + j.scenario.Rules.RestartGrace.D()
}

// Sweep looks for messages that are past their deadline without a final answer.
func (j *Judge) Sweep(now time.Duration) {
	for currentInterval := int64(now / sweepInterval); j.sweptIntervals < currentInterval; j.sweptIntervals++ {
		for _, entry := range j.deadlines[j.sweptIntervals] {
			state, msg := j.senders[entry.sender], entry.message
			id, deadline := msg.message.ID, msg.message.Deadline
			if msg.finished {
				delete(state.endedAt, id)
				continue
			}
			if state.down || state.graceUntil >= now && state.graceUntil > deadline {
				interval := max(int64(state.graceUntil/sweepInterval), int64(now/sweepInterval)) + 1
				j.deadlines[interval] = append(j.deadlines[interval], entry)
				continue
			}
			j.addViolation(LostMessage, now, entry.sender, msg, nil,
				"its time was up at %.3fs and it has no end", deadline.Seconds())
			msg.finished = true
			delete(state.messages, id)
		}
		delete(j.deadlines, j.sweptIntervals)
	}
}

// Unfinished returns the number of messages without a final answer.
func (j *Judge) Unfinished() int {
	n := 0
	for _, entries := range j.deadlines {
		for _, entry := range entries {
			if !entry.message.finished {
				n++
			}
		}
	}
	return n
}

// Outage records that an outage of a unit began or ended.
func (j *Judge) Outage(now time.Duration, unit int, begins bool) {
	if begins {
		j.latestOutage[unit] = &outage{beganAt: now, ongoing: true, informed: map[int]bool{}}
		j.outages = append(j.outages, j.latestOutage[unit])
	} else if latest := j.latestOutage[unit]; latest != nil {
		latest.ongoing, latest.endedAt = false, now
	}
}

// WindowMeasured records the calls in a time window that a recovering unit was sent, and the number of calls above
// which it is overloaded.
func (j *Judge) WindowMeasured(unit int, window []receiver.Arrival, allowed float64) {
	if latest := j.latestOutage[unit]; latest != nil {
		isInformed := func(sender int) bool { return latest.informed[sender] }
		latest.margin = max(latest.margin, margin.Of(window, allowed, isInformed))
	}
}

// Margins returns, for each outage that has ended, the margin of the worst window since.
func (j *Judge) Margins() (margins []float64) {
	for _, o := range j.outages {
		if !o.ongoing {
			margins = append(margins, o.margin)
		}
	}
	return margins
}

// UnitOverloaded records that a recovering unit was overloaded; sent holds the calls of each sender in the window. It
// is a violation if enough of them came from informed senders.
func (j *Judge) UnitOverloaded(now time.Duration, unit int, sent map[int]float64) {
	latest := j.latestOutage[unit]
	if latest == nil {
		return
	}
	var all, fromInformed float64
	var senders []int
	for s, calls := range sent {
		all += calls
		senders = append(senders, s)
		if latest.informed[s] {
			fromInformed += calls
		}
	}
	if fromInformed < all*margin.InformedShare {
		return
	}
	slices.SortFunc(senders, func(a, b int) int { return cmp.Or(cmp.Compare(sent[b], sent[a]), cmp.Compare(a, b)) })
	trail := []string{
		fmt.Sprintf("%.3fs outage of unit %d began", latest.beganAt.Seconds(), unit),
		fmt.Sprintf("%.3fs it ended", latest.endedAt.Seconds()),
	}
	for _, s := range senders[:min(len(senders), maxListedSenders)] {
		trail = append(trail, fmt.Sprintf("sender %d sent %.1f, had seen the outage: %v", s, sent[s], latest.informed[s]))
	}
	j.addViolation(RecoveryOverload, now, senders[0], nil, trail,
		"unit %d, back %v ago, was sent %.1f calls within the span and fell over; "+
			"%.0f%% came from senders that had seen its outage",
		unit, now-latest.endedAt, all, 100*fromInformed/all)
}
