// Package message holds the one value that a notification is inside the sender: decoded once where it comes in,
// encoded once where it goes out. It owns no behaviour and must never grow any.
package message

import "time"

// Message is one notification that a client handed in.
type Message struct {
	ID             string
	Class          string // by the name that the settings give it
	Dest           int
	Tenant         string    // who hands it in, "" where that is not told
	IdempotencyKey string    // by which destinations drop repeats, "" for none
	Deadline       time.Time // when it may no longer be delivered
	Body           []byte
}
