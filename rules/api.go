// Package rules decides what a sender of notifications does with each message it has taken.
//
// This file is the package's whole interface: the settings a sender starts with, the events it is told of
// and the actions it answers with. The decisions are in rules.go.
package rules

import "time"

// MessageID names a message for as long as the sender owes it an answer.
type MessageID string

// EndpointID names one endpoint; it carries no meaning of its own.
type EndpointID uint32

// Effect says what a repeated attempt of a class may do.
type Effect int

// The effect classes.
const (
	Safe       Effect = iota // a repeat only overwrites
	Keyed                    // a repeat is dropped while the destination remembers the key
	AtMostOnce               // a repeat could take effect twice
)

// Scope says which endpoints of a destination drop repeats of a keyed message.
type DedupScope int

// The scopes of a key.
const (
	DedupDestination DedupScope = iota
	DedupZone
	DedupEndpoint
)

// Class is one class of message.
type Class struct {
	Effect    Effect
	Scope     DedupScope
	Window    time.Duration // for Keyed: how long a destination remembers a key
	Aim       time.Duration // delivered within this time, a message earns its full worth
	Deadline  time.Duration
	Worth     float64
	LateWorth float64 // share of the worth left at the deadline
	KeepOrder bool
}

// Kind is one kind of destination.
type Kind struct {
	RoutesApart bool // each endpoint has a limit, pace and outages of its own
	Batch       int  // messages in one call at most
}

// Tenant is one party that hands in messages.
type Tenant struct {
	Quota float64 // messages a second within its share, over all senders
}

// Settings are what a sender knows when it starts.
type Settings struct {
	Seed    uint64
	Senders int // how many senders there are in all
	Zone    int
	Tick    time.Duration // the shortest gap between two steps

	Slots       int // calls out at once
	MaxHeld     int // messages held at once, sent or not
	MaxAttempts int

	ConnectTimeout    time.Duration
	KeepAlive         time.Duration
	MaxRetryAfter     time.Duration
	MaySendRetryAfter bool // a refusal may say when to come back
	MayCancel         bool

	AnswerGrace    time.Duration // a final answer still counts this long after the deadline
	DrainGrace     time.Duration
	ColdShare      float64 // capacity left just after an outage, as a share
	WarmUp         time.Duration
	FallWindow     time.Duration
	OverloadFactor float64
	OrderPause     time.Duration // rest of an order key after an attempt that may still run

	MayShareHints bool // senders may send each other notes

	WatchesRegistry bool // changes come only to a sender that watches
	WatchInterval   time.Duration

	RatesListed    bool // endpoints' listed rates mean something
	RatesExact     bool // and are true, not up to half too high or low
	LateHalving    bool // late worth halves with each further aim, else it falls evenly
	OverShareWorth float64
	ZoneCosts      []float64 // by zone: points off the result for each message that a route apart there takes on

	Kinds   []Kind
	Classes []Class
	Tenants []Tenant
}

// Entry is one endpoint as the registry lists it.
type Entry struct {
	Endpoint    EndpointID
	Destination int
	Kind        int
	Zone        int
	ListedRate  float64 // calls a second, where Settings.RatesListed
	Draining    bool
	Gone        bool
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes.
const (
	OK           Outcome = iota
	Errored              // the destination answered with an error; it may have taken effect
	Refused              // turned away unseen; it never ran
	TimedOut             // no answer in time; it may have taken effect or still do so
	ConnectError         // no connection; it never ran
	Reset                // the connection broke; it may have taken effect
	Cancelled            // called off; it may have taken effect
	NotSent              // it never left this sender
)

// MayRun tells whether an attempt with this outcome may have run, by the protocol's table.
func (o Outcome) MayHaveRun() bool { return o != Refused && o != ConnectError && o != NotSent }

// Report is what a destination tells of its limit with an answer.
type Report struct {
	Remaining float64 // share of the allowance that is left
	Limit     float64 // calls a second that the limit allows, 0 for none told
}

// Event is something a sender is told.
type Event interface{ event() }

// Arrived tells of a message taken from a client.
type Arrived struct {
	ID          MessageID
	Destination int
	Class       int
	Tenant      int
	OrderKey    string
	TimeLeft    time.Duration
	Estimate    time.Duration // rough cost of the call, 0 for none given
	Prior       PriorAttempts
}

// Before is what became of a message before this sender started, for one that an earlier process of the same
// sender had taken and still owes its end. The zero value is a new message.
type PriorAttempts struct {
	Count      int           // made so far
	Failed     int           // of them, as far as known: errors, resets, time-outs, connections not had but for a full table
	MayHaveRun bool          // one of them may have run
	Age        time.Duration // how long ago the earliest such attempt was made
	Endpoint   EndpointID    // where, as far as it is still listed
}

// Withdrawn tells that nobody wants the message any more.
type Withdrawn struct{ ID MessageID }

// Ended tells how an attempt ended.
type AttemptEnded struct {
	ID                     MessageID
	Attempt                int
	Endpoint               EndpointID
	Outcome                Outcome
	Elapsed                time.Duration
	Finished               bool          // the message has its final answer, by this outcome or before it
	RetryAfter             time.Duration // with Full: stay away this long
	NoFreeSlot             bool          // with NotSent: every slot was taken
	Recalled               bool          // with NotSent: by a Recall; it is no attempt
	ConnectionLimitReached bool          // with ConnectError: the endpoint is there, and says that it holds all the connections it can
	Report                 Report
}

// StreamStarted tells that an answer has begun; the attempt now belongs to the client.
type StreamStarted struct {
	ID      MessageID
	Attempt int
}

// Listed brings the registry's list, whole or as changes.
type ListUpdate struct {
	Whole   bool
	Entries []Entry
}

// Ending tells that the sender's process is to end in a while. A call that is out then may have run.
type ShuttingDown struct{ After time.Duration }

// ListFailed tells that a call to the registry failed or the watch broke.
type DiscoveryFailed struct{}

// Remembered tells that an earlier process of the same sender had seen an outage of an endpoint and had not yet seen it warm
// again. It is a hint: no rule rests on it.
type RememberedOutage struct {
	Endpoint EndpointID
	Age      time.Duration // since the process took it for out
	Rate     float64       // calls a second that it had delivered there before
}

// Woke tells that a wake-up asked for has come due.
type WakeUp struct{}

// Told brings a note of another sender. It may be late, come twice or never, and is taken as a hint: no rule rests on it.
type HintReceived struct{ Hint Hint }

// Note says that an endpoint left a call of a class unanswered or failed it or, with Wait, that it is shut for so long.
type Hint struct {
	Endpoint   EndpointID
	Class      int
	RetryAfter time.Duration
}

func (Arrived) event()          {}
func (HintReceived) event()     {}
func (Withdrawn) event()        {}
func (AttemptEnded) event()     {}
func (StreamStarted) event()    {}
func (ListUpdate) event()       {}
func (ShuttingDown) event()     {}
func (DiscoveryFailed) event()  {}
func (RememberedOutage) event() {}
func (WakeUp) event()           {}

// Action is something a sender does.
type Action interface{ action() }

// Send makes an attempt. Sends of one step to one endpoint share a call as far as its kind allows.
type Send struct {
	ID          MessageID
	Endpoint    EndpointID
	Timeout     time.Duration // 0: until the client gives up
	WriteWithin time.Duration // it leaves whole within this time, or ends as NotSent, Recalled; 0: whenever its connection is there
}

// Refuse ends a message with the promise that trying again is harmless.
type Refuse struct {
	ID         MessageID
	RetryAfter time.Duration // 0: no advice
}

// Fail ends a message with no promise.
type Fail struct{ ID MessageID }

// Cancel abandons the wait for one attempt.
type Cancel struct {
	ID      MessageID
	Attempt int
}

// Recall calls an attempt back if it cannot have reached its endpoint whole yet: it then ends as NotSent, Recalled, at
// once. Else it goes on.
type Recall struct {
	ID      MessageID
	Attempt int
}

// CloseIdle closes this sender's idle connections to an endpoint.
type CloseIdle struct{ Endpoint EndpointID }

// Forgot tells that an endpoint which the list no longer names is of no more concern: nothing refers to it, and should
// the list name it again, it is a new one.
type EndpointForgotten struct{ Endpoint EndpointID }

// WakeAfter asks for a Woke event.
type WakeAfter struct{ After time.Duration }

// Watch asks the registry for its changes from now on.
type Watch struct{}

// Tell sends a note to all other senders, where Settings.MayTell.
type PublishHint struct{ Hint Hint }

func (Send) action()              {}
func (PublishHint) action()       {}
func (Refuse) action()            {}
func (Fail) action()              {}
func (Cancel) action()            {}
func (Recall) action()            {}
func (CloseIdle) action()         {}
func (EndpointForgotten) action() {}
func (WakeAfter) action()         {}
func (Watch) action()             {}
