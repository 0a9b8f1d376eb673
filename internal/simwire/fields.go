package simwire

import (
	"encoding/json"

	"eiderhaven/rules"
)

// eventFields holds the fields of every event; a pointer tells an absent field from a zero one.
type eventFields struct {
	Verb      string             `json:"verb"`
	Sender    *uint32            `json:"sender_id"`
	Nonce     *uint64            `json:"nonce64"`
	Env       json.RawMessage    `json:"env"`
	Kind      *string            `json:"kind"`
	Ref       *int               `json:"ref"`
	Txn       *string            `json:"txn"`
	Dest      *uint64            `json:"dest"`
	Service   *uint32            `json:"service"`
	PathKey   string             `json:"path_key"`
	Grace     *int64             `json:"grace_us"`
	Estimate  int64              `json:"estimate_us"`
	UserGroup int                `json:"user_group"`
	Endpoint  *uint32            `json:"endpoint"`
	Round     *int               `json:"round_no"`
	Taken     *int64             `json:"time_taken_us"`
	Ending    *string            `json:"ending"`
	Closed    bool               `json:"closed"`
	Note      int64              `json:"note"`
	Telemetry map[string]float64 `json:"telemetry"`
	KeyBack   *int64             `json:"key_back"`
	From      *int64             `json:"sender"`
	Bytes     *string            `json:"bytes"`

	// named by the wire's page and not read: the module does not go by them
	Rev   int64 `json:"rev"`
	Again bool  `json:"again"`
	Write bool  `json:"write"`
	Retry bool  `json:"retry"`
}

// required lists, for each event, the fields that it cannot do without.
var required = map[string][]string{
	"power_on":         {"nonce64", "env"},
	"directory_update": {"kind"},
	"new_request":      {"txn", "dest", "service", "grace_us"},
	"vanished":         {"txn"},
	"headers":          {"txn", "endpoint", "round_no", "time_taken_us"},
	"crash_now":        {},
	"wakeup":           {"key_back"},
	"answer":           {"txn", "round_no", "endpoint", "ending", "time_taken_us"},
	"inbox":            {"sender", "bytes"},
	"check_result":     {"endpoint", "ending", "time_taken_us"},
}

// has tells whether a required field was there.
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
		return f.Taken != nil
	case "ending":
		return f.Ending != nil
	case "key_back":
		return f.KeyBack != nil
	case "sender":
		return f.From != nil
	case "bytes":
		return f.Bytes != nil
	}
	return false
}

var outcomes = map[string]rules.Outcome{
	"Ok":           rules.OK,
	"Failed":       rules.Errored,
	"QueueFull":    rules.Refused,
	"TimedOut":     rules.TimedOut,
	"ConnectError": rules.ConnectError,
	"ResetByPeer":  rules.Reset,
	"Canceled":     rules.Cancelled,
	"Ignored":      rules.NotSent,
}

type catalogFields struct {
	Born        int64   `json:"born_us"` // not read
	Campus      int     `json:"campus"`
	Endpoint    *uint32 `json:"endpoint"`
	Capacity    float64 `json:"capacity_hint"`
	Flavor      int     `json:"flavor"`
	Destination *uint64 `json:"destination"`
	Readiness   *string `json:"readiness"`
}

// actionFields holds the fields of every action.
type actionFields struct {
	Verb     string            `json:"verb"`
	Sender   int               `json:"sender_id"`
	Txn      string            `json:"txn,omitempty"`
	Endpoint *rules.EndpointID `json:"endpoint,omitempty"`
	Patience int64             `json:"patience_us,omitempty"`
	Wait     int64             `json:"wait_us,omitempty"`
	Round    *int              `json:"round_no,omitempty"`
	After    *int64            `json:"after_us,omitempty"`
	KeyBack  *int              `json:"key_back,omitempty"`
	On       bool              `json:"on,omitempty"`
	Note     string            `json:"note_text,omitempty"`
	To       string            `json:"dst,omitempty"`
	Bytes    string            `json:"bytes,omitempty"`
}
