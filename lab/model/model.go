// Package model owns the values that pass between the parts of the lab: messages, calls and what becomes of them. It
// must hold no behaviour, so that parts which never import one another speak the same words.
package model

import (
	"time"

	"eiderhaven/rules"
)

// Message is one message as a client hands it in. A client's later tries of it are further messages with the same First.
type Message struct {
	ID             rules.MessageID
	FirstTry       int // number of the first try
	Try            int // 0 for the first try
	Dest           int
	Class          int
	Tenant         int
	Key            string        // order key, empty for none
	FirstSubmitted time.Duration // of the first try
	Deadline       time.Duration // model time at which it is worth nothing more
	MayHaveRun     bool          // an earlier sender that died may have had it run
}

// Call is what travels to an endpoint at once.
type Call struct {
	Sender    int
	Messages  []*Message
	Attempts  []int // of each message, from 0
	Sent      time.Duration
	Abandoned bool // the sender called it off, or died: nobody hears the answer
	// Done is told the outcome at the moment when the receiver has it; the way back is still to come.
	Done func(Outcome)
}

// Outcome is how an endpoint ended a call.
type Outcome struct {
	Result                 rules.Outcome
	RetryAfter             time.Duration
	ConnectionLimitReached bool // with a failed connect: the endpoint holds all the connections it can
	Report                 rules.Report

	Recalled bool // with not sent: by the sender
	NoAnswer bool // it was served, and no answer will come
}

// End is how a message ended at a sender.
type End int

// The ends.
const (
	Served         End = iota // delivered, in time
	Refused                   // by the sender; coming again is harmless
	Failed                    // by the sender, without a promise
	Withdrawn                 // nobody wants it any more
	TurnedAway                // no room: never taken
	LostWithSender            // its sender died without its state
)

func (e End) String() string {
	return [...]string{"served", "refused", "failed", "withdrawn", "turned away", "lost with its sender"}[e]
}
