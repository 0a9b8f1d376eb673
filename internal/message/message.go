// Package message defines the notification as the sender holds it: decoded once where it is accepted, encoded once
// where it is delivered. It owns no behaviour and must never grow any.
package message

import "time"

// Message is one notification submitted by a client.
type Message struct {
	ID             string
	Class          string // name of the class in the settings
	Dest           int
	Tenant         string    // party that submitted it, "" if the client named none
	IdempotencyKey string    // key by which destinations drop repeats, "" for none
	Deadline       time.Time // the message must not be delivered after this time
	Body           []byte
}
