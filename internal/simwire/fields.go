// This file defines the protocol's lines as structs: their fields, which of them are required, and the values of
// outcomes. It must never interpret them.

package simwire

import (
	"encoding/json"

	"eiderhaven/rules"
)

// eventFields holds the fields of all events together. A pointer distinguishes an absent field from a zero value.
type eventFields struct {
	Verb       string             `json:"verb"`
	Sender     *uint32            `json:"sender_id"` // the instance that the event is for
	Nonce      *uint64            `json:"nonce64"`   // seed of the instance's random numbers
	Env        json.RawMessage    `json:"env"`       // settings, decoded by package settings
	Kind       *string            `json:"kind"`      // of a list update: whole list, changes or failure
	Ref        *int               `json:"ref"`       // number of an endpoint list
	Txn        *string            `json:"txn"`       // message ID
	Dest       *uint64            `json:"dest"`
	Service    *uint32            `json:"service"`  // message class
	PathKey    string             `json:"path_key"` // order key
	Grace      *int64             `json:"grace_us"` // time left until the deadline
	Estimate   int64              `json:"estimate_us"`
	UserGroup  int                `json:"user_group"` // tenant
	Endpoint   *uint32            `json:"endpoint"`
	Round      *int               `json:"round_no"` // attempt number
	TimeTaken  *int64             `json:"time_taken_us"`
	Ending     *string            `json:"ending"`    // outcome of an attempt
	Closed     bool               `json:"closed"`    // the message has its final answer
	Note       int64              `json:"note"`      // QueueFull: retry-after in ms; Ignored: 1 if no slot was free
	Telemetry  map[string]float64 `json:"telemetry"` // x0: share of the limit left; x1: the limit (calls/s)
	KeyBack    *int64             `json:"key_back"`  // of the wake-up request
	PeerSender *int64             `json:"sender"`    // the sender of a hint
	Bytes      *string            `json:"bytes"`     // encoded hint

	// Defined by the protocol, but not used: the module does not depend on them.
	Rev   int64 `json:"rev"`
	Again bool  `json:"again"`
	Write bool  `json:"write"`
	Retry bool  `json:"retry"`
}

// requiredFields lists the required fields of each event, besides sender_id.
var requiredFields = map[string][]string{
	"power_on":         {"nonce64", "env"},                                         // an instance starts
	"directory_update": {"kind"},                                                   // list, changes, or failure
	"new_request":      {"txn", "dest", "service", "grace_us"},                     // a message arrives
	"vanished":         {"txn"},                                                    // a message is withdrawn
	"headers":          {"txn", "endpoint", "round_no", "time_taken_us"},           // a response has started
	"crash_now":        {},                                                         // the instance is killed
	"wakeup":           {"key_back"},                                               // a requested wake-up is due
	"answer":           {"txn", "round_no", "endpoint", "ending", "time_taken_us"}, // an attempt has ended
	"inbox":            {"sender", "bytes"},                                        // a hint of another sender
	"check_result":     {"endpoint", "ending", "time_taken_us"},                    // a health check has ended
}

// has reports whether the event has a required field.
func (f *eventFields) has(field string) bool {
	switch field {
	case "sender_id":
		return f.Sender != nil
	case "nonce64":
		return f.Nonce != nil
	case "env":
		return len(f.Env) > 0
	case "kind":
		return f.Kind != nil
	case "txn":
		return f.Txn != nil
	case "dest":
		return f.Dest != nil
	case "service":
		return f.Service != nil
	case "grace_us":
		return f.Grace != nil
	case "endpoint":
		return f.Endpoint != nil
	case "round_no":
		return f.Round != nil
	case "time_taken_us":
		return f.TimeTaken != nil
	case "ending":
		return f.Ending != nil
	case "key_back":
		return f.KeyBack != nil
	case "sender":
		return f.PeerSender != nil
	case "bytes":
		return f.Bytes != nil
	}
	return false
}

// outcomeByEnding maps the protocol's values of "ending" to outcomes.
var outcomeByEnding = map[string]rules.Outcome{
	"Ok":           rules.OK,
	"Failed":       rules.Errored,
	"QueueFull":    rules.Refused,
	"TimedOut":     rules.TimedOut,
	"ConnectError": rules.ConnectError,
	"ResetByPeer":  rules.Reset,
	"Canceled":     rules.Cancelled,
	"Ignored":      rules.NotSent,
}

// catalogFields holds the fields of one endpoint in a list.
type catalogFields struct {
	Born        int64   `json:"born_us"` // not used
	Campus      int     `json:"campus"`  // zone
	Endpoint    *uint32 `json:"endpoint"`
	Capacity    float64 `json:"capacity_hint"` // listed rate, in calls a second
	Flavor      int     `json:"flavor"`        // kind of the destination
	Destination *uint64 `json:"destination"`
	Readiness   *string `json:"readiness"`
}

// actionFields holds the fields of all actions together.
type actionFields struct {
	Verb      string            `json:"verb"`
	Sender    int               `json:"sender_id"`
	Txn       string            `json:"txn,omitempty"` // message ID
	Endpoint  *rules.EndpointID `json:"endpoint,omitempty"`
	Patience  int64             `json:"patience_us,omitempty"` // time limit of the call
	Wait      int64             `json:"wait_us,omitempty"`     // retry-after of a refusal
	Round     *int              `json:"round_no,omitempty"`    // attempt number
	After     *int64            `json:"after_us,omitempty"`
	KeyBack   *int              `json:"key_back,omitempty"`
	On        bool              `json:"on,omitempty"`
	Note      string            `json:"note_text,omitempty"` // text of a panic
	Recipient string            `json:"dst,omitempty"`       // recipient of a hint
	Bytes     string            `json:"bytes,omitempty"`     // encoded hint
}
