// Package rules decides what a sender of notifications does with each message it has accepted: where and when it is
// sent, how long the sender waits for an answer, when it is retried, and how it ends.
//
// The package does no I/O, starts no goroutine and reads no clock. Its caller passes the current time and what has
// happened to Sender.Step, and carries out the actions that Step returns.
//
// This file owns the package's public interface: settings, events and actions. It must contain no decisions; those
// begin in rules.go.
package rules

import "time"

// MessageID identifies a message. It is unique among the messages of one sender that have no final answer yet.
type MessageID string

// EndpointID identifies an endpoint. Its value has no further meaning.
type EndpointID uint32

// Effect is what repeating a message of a class can cause at its destination.
type Effect int

// The effects. The zero value is Safe.
const (
	Safe       Effect = iota // a repeat only overwrites
	Keyed                    // a repeat is dropped as long as the destination remembers the message's key
	AtMostOnce               // a repeat could take effect twice, so a message that may have run is never repeated
)

// DedupScope is the set of endpoints that share the memory by which repeats of a Keyed message are dropped.
type DedupScope int

// The scopes of deduplication. The zero value is DedupDestination.
const (
	DedupDestination DedupScope = iota // all endpoints of the destination
	DedupZone                          // the endpoints of the destination in one zone
	DedupEndpoint                      // each endpoint for itself
)

// Class describes one class of messages. An event refers to it by its index in Settings.Classes.
type Class struct {
	Effect    Effect
	Scope     DedupScope    // used with Keyed only
	Window    time.Duration // used with Keyed only: how long a key is remembered
	Aim       time.Duration // age up to which a delivered message earns its full worth
	Deadline  time.Duration // age from which it earns nothing
	Worth     float64       // what a message delivered within Aim earns, in the units of the deployment
	LateWorth float64       // share of Worth that is left at Deadline, 0 to 1; with Settings.LateHalving the least share
	KeepOrder bool          // messages with the same order key are sent one at a time, in order of arrival
}

// Kind describes one kind of destination. An Entry refers to it by its index in Settings.Kinds.
type Kind struct {
	RoutesApart bool // each endpoint has its own rate limit, capacity and outages; else a destination's share them
	Batch       int  // messages that one call may carry; values below 1 count as 1
}

// Tenant describes one party that submits messages. An event refers to it by its index in Settings.Tenants.
type Tenant struct {
	Quota float64 // messages a second that are within its share, over all senders; 0 for no share
}

// Settings are what a sender knows when it starts. They do not change while it runs.
type Settings struct {
	Seed    uint64        // seed of all random choices; the same seed and events lead to the same actions
	Senders int           // number of senders in the fleet, this one included
	Zone    int           // zone of this sender
	Tick    time.Duration // shortest time between two steps

	Slots       int // limit on the calls in flight
	MaxHeld     int // limit on the messages held, in flight or waiting
	MaxAttempts int // limit on the attempts for one message, including those of earlier processes

	ConnectTimeout    time.Duration // a connection that is not established by then has failed
	KeepAlive         time.Duration // idle connections are closed after this time
	MaxRetryAfter     time.Duration // limit on Refuse.RetryAfter
	MaySendRetryAfter bool          // Refuse may carry a RetryAfter
	MayCancel         bool          // attempts may be cancelled

	AnswerGrace    time.Duration // a final answer still counts this long after the deadline
	DrainGrace     time.Duration // calls may reach an endpoint this long after the sender learns that it drains or is gone
	ColdShare      float64       // share of its capacity that an endpoint has when an outage ends, above 0 and up to 1
	WarmUp         time.Duration // time from there to full capacity
	FallWindow     time.Duration // time over which a cold endpoint counts the calls it is sent
	OverloadFactor float64       // multiple of its current capacity, at least 1, above which it collapses again
	OrderPause     time.Duration // pause of an order key after an attempt that may still be running

	MayShareHints bool // senders may exchange hints about endpoints

	WatchesRegistry bool          // discovery sends changes only to senders that ask for them with Watch
	WatchInterval   time.Duration // Watch follows DiscoveryFailed after 1/16 to 3/16 of this time, drawn at random

	RatesListed    bool    // Entry.ListedRate is meaningful
	RatesExact     bool    // it is exact; else it may be up to half too high or too low
	LateHalving    bool    // late worth halves with each further Class.Aim; else it decreases linearly until the deadline
	OverShareWorth float64 // factor on the worth of messages beyond a tenant's share, 0 to 1

	// ZoneCosts has, by zone, the points deducted from the result for each message that an endpoint there accepts, if its
	// kind has RoutesApart. Zones beyond its length cost nothing.
	ZoneCosts []float64

	Kinds   []Kind
	Classes []Class
	Tenants []Tenant
}

// Entry is one endpoint as discovery lists it.
type Entry struct {
	Endpoint    EndpointID
	Destination int // number of the destination that the endpoint belongs to
	Kind        int // index in Settings.Kinds
	Zone        int
	ListedRate  float64 // calls a second that the endpoint's rate limit allows; used only with Settings.RatesListed
	Draining    bool    // it takes no new calls
	Gone        bool    // it is no longer listed
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes. The zero value is OK.
const (
	OK           Outcome = iota // delivered
	Errored                     // the destination answered with an error; the message may have taken effect
	Refused                     // refused by a limit before it was processed; it never ran
	TimedOut                    // no answer in time; it may have taken effect or may still do so
	ConnectError                // no connection could be established; it never ran
	Reset                       // the connection broke; it may have taken effect
	Cancelled                   // cancelled by this sender; it may have taken effect
	NotSent                     // it never left this sender
)

// MayHaveRun reports whether an attempt with this outcome may have taken effect at its destination.
func (o Outcome) MayHaveRun() bool { return o != Refused && o != ConnectError && o != NotSent }

// Report is what a destination reports about its rate limit along with an answer. The zero value is no report.
type Report struct {
	Remaining float64 // share of the allowance that is left, 0 to 1
	Limit     float64 // calls a second that the limit allows, over all senders; 0 if not reported
}

// Event is an input to Sender.Step.
type Event interface{ event() }

// Arrived reports a message that was accepted from a client. From here on the sender has to answer it.
type Arrived struct {
	ID          MessageID
	Destination int           // number of the destination
	Class       int           // index in Settings.Classes
	Tenant      int           // index in Settings.Tenants; one beyond their number has no share
	Bytes       int           // its part of the body of a call with several messages; 0 if unknown
	OrderKey    string        // used with Class.KeepOrder; empty for no order
	Recovered   bool          // an earlier process of this sender accepted it
	TimeLeft    time.Duration // until its deadline
	Estimate    time.Duration // rough duration of the call; 0 if unknown
	Prior       PriorAttempts
}

// MaxCallBytes limits the Arrived.Bytes of the messages that one call carries together: the longest body that the
// protocol allows.
const MaxCallBytes = 64 << 10

// PriorAttempts is the history of a message that an earlier process of the same sender accepted and did not finish, or
// that was taken for delivered by a response that was not its own. The zero value is a new message.
type PriorAttempts struct {
	Count int // attempts made

	// Failed is the number of attempts known to have failed: errors, resets, timeouts and failed connects. Connects that
	// failed as the endpoint had reached its connection limit do not count.
	Failed int

	MayHaveRun bool          // at least one attempt may have run
	Answered   bool          // with MayHaveRun: that attempt was answered, and so indicates no outage
	Age        time.Duration // time since the earliest attempt that may have run
	Endpoint   EndpointID    // where that attempt was sent, if the endpoint is still listed

	CutOff CutOffAttempt // the earliest attempt without an outcome when its process ended; zero for none
}

// CutOffAttempt is an attempt that had no outcome when its process ended.
type CutOffAttempt struct {
	Endpoint    EndpointID    // 0 if it is not listed any more
	Age         time.Duration // time since it was sent
	InFlightFor time.Duration // how long it was surely in flight; above 0
}

// Withdrawn reports that the client no longer wants the message.
type Withdrawn struct{ ID MessageID }

// AttemptEnded reports the outcome of an attempt.
type AttemptEnded struct {
	ID                     MessageID
	Attempt                int // number of the attempt: PriorAttempts.Count for the first; recalled attempts count too
	Endpoint               EndpointID
	Outcome                Outcome
	Elapsed                time.Duration // time since it was sent
	Finished               bool          // the message has its final answer, by this outcome or an earlier one
	RetryAfter             time.Duration // with Refused: send nothing to this rate limit for so long; 0 if not given
	NoFreeSlot             bool          // with NotSent: no slot was free
	Recalled               bool          // with NotSent: withdrawn by Recall; Settings.MaxAttempts does not count it
	ConnectionLimitReached bool          // with ConnectError: the endpoint is up and has reached its connection limit
	Report                 Report

	// Unconfirmed means that the response may belong to another call, although it says that the message never ran. The
	// message is neither sent again nor refused until AttemptConfirmed follows.
	Unconfirmed bool
}

// AttemptConfirmed reports whether the response to an attempt was its own. It follows an AttemptEnded that was
// Unconfirmed; for any other attempt only RetryAfter counts.
type AttemptConfirmed struct {
	ID         MessageID
	Attempt    int // as in AttemptEnded
	Endpoint   EndpointID
	MayHaveRun bool          // the response was perhaps another call's
	RetryAfter time.Duration // what a response that belonged to no call asked for: send nothing to this limit for so long
}

// StreamStarted reports that the answer to an attempt has begun. From here on the attempt belongs to the client: the
// sender neither cancels it nor ends the message.
type StreamStarted struct {
	ID      MessageID
	Attempt int // as in AttemptEnded
}

// ListUpdate is the list of endpoints from discovery, or changes to it.
type ListUpdate struct {
	Whole   bool // Entries are the complete list: endpoints that it does not name are gone
	Entries []Entry
}

// ShuttingDown reports that the sender's process will end after a given time. A call that is in flight then may have
// run.
type ShuttingDown struct{ After time.Duration }

// DiscoveryFailed reports that a request to discovery failed or that its stream of changes broke.
type DiscoveryFailed struct{}

// WakeUp reports that the time asked for by WakeAfter has passed.
type WakeUp struct{}

// HintReceived is a hint from another sender. It may be late, duplicated or lost: no guarantee of this package depends
// on it.
type HintReceived struct{ Hint Hint }

// Hint is what one sender reports to the others about an endpoint. Without RetryAfter it means that the endpoint
// failed a call of a class or left it unanswered.
type Hint struct {
	Endpoint   EndpointID
	Class      int           // index in Settings.Classes
	RetryAfter time.Duration // the endpoint asked to be sent nothing for so long; 0 if it did not
}

func (Arrived) event()          {}
func (HintReceived) event()     {}
func (Withdrawn) event()        {}
func (AttemptEnded) event()     {}
func (AttemptConfirmed) event() {}
func (StreamStarted) event()    {}
func (ListUpdate) event()       {}
func (ShuttingDown) event()     {}
func (DiscoveryFailed) event()  {}
func (WakeUp) event()           {}

// Action is an instruction returned by Sender.Step.
type Action interface{ action() }

// Send makes an attempt. The Sends of one step to the same endpoint share a call as far as Kind.Batch allows.
type Send struct {
	ID       MessageID
	Endpoint EndpointID
	Timeout  time.Duration // 0 for none: the attempt waits until the client gives up

	// LastUse means that the connection is not needed after this attempt: CloseIdle would follow.
	LastUse bool

	// WriteWithin is the time in which the request must be written completely, else the attempt ends as NotSent with
	// Recalled set. 0 sets no limit.
	WriteWithin time.Duration
}

// Refuse ends a message and tells the client that submitting it again is harmless.
type Refuse struct {
	ID         MessageID
	RetryAfter time.Duration // after which time to submit it again; 0 if none is given
}

// Fail ends a message without that assurance: it may have taken effect.
type Fail struct{ ID MessageID }

// Cancel stops waiting for an attempt, which then ends as Cancelled.
type Cancel struct {
	ID      MessageID
	Attempt int // as in AttemptEnded
}

// Recall withdraws an attempt whose request cannot have reached its endpoint completely: it ends at once as NotSent
// with Recalled set. Any other attempt goes on.
type Recall struct {
	ID      MessageID
	Attempt int // as in AttemptEnded
}

// CloseIdle closes this sender's idle connections to an endpoint.
type CloseIdle struct{ Endpoint EndpointID }

// EndpointForgotten reports that nothing refers any more to an endpoint that is no longer listed. If discovery lists
// it again, it is a new endpoint.
type EndpointForgotten struct{ Endpoint EndpointID }

// WakeAfter requests a WakeUp event after a given time. It replaces an earlier request, which is always due later.
type WakeAfter struct{ After time.Duration }

// Watch asks discovery for all changes from now on.
type Watch struct{}

// PublishHint sends a hint to all other senders. It is emitted only with Settings.MayShareHints.
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
