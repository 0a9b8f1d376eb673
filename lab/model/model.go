// Package model defines the values that the packages of the lab exchange: messages, calls and their outcomes.
//
// It must hold no behaviour, so that packages which do not import one another can share its types.
package model

import (
	"time"

	"eiderhaven/rules"
)

// Message is one message as a client submits it. When the client submits it again, that is a further Message with the
// same FirstTry.
type Message struct {
	ID             rules.MessageID
	FirstTry       int // number of the first try, counted over the run
	Try            int // 0 for the first try
	Dest           int
	Class          int
	Tenant         int
	Key            string        // order key, empty for none
	FirstSubmitted time.Duration // model time of the first try
	Deadline       time.Duration // model time after which delivery is worth nothing
	MayHaveRun     bool          // an attempt of an earlier sender, which has died, may have taken effect
}

// Call is one request to an endpoint. It carries one or more messages.
type Call struct {
	Sender    int
	Messages  []*Message
	Attempts  []int         // attempt number of each message, from 0
	Sent      time.Duration // model time
	Abandoned bool          // the sender cancelled it or died, so that nobody receives the answer

	// Done is called with the outcome when the receiver has it; the network delay to the sender comes on top.
	Done func(Outcome)
}

// Outcome is the result of a call and what the answer carried.
type Outcome struct {
	Result                 rules.Outcome
	RetryAfter             time.Duration
	ConnectionLimitReached bool // the reason for a failed connect
	Report                 rules.Report

	Recalled bool // the sender withdrew it before it was sent
	NoAnswer bool // it was served, but the answer is lost
}

// End is how a message ended at a sender. Its name is part of result files.
type End int

// The possible ends.
const (
	Served         End = iota // delivered, in time
	Refused                   // by the sender; submitting it again is harmless
	Failed                    // by the sender; an attempt may have taken effect
	Withdrawn                 // the client no longer wants it
	TurnedAway                // never accepted, for lack of room
	LostWithSender            // its sender died and its state was not kept
)

func (e End) String() string {
	return [...]string{"served", "refused", "failed", "withdrawn", "turned away", "lost with its sender"}[e]
}
