// Package simwire decodes and encodes the simulator's protocol: one JSON object per line, batches of events in,
// replies with actions out. It maps the protocol's verbs and fields to the types of package rules. It must never make
// a delivery decision.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"eiderhaven/internal/settings"
	"eiderhaven/rules"
)

const (
	readBufferBytes  = 1 << 20
	writeBufferBytes = 1 << 16
)

// Item is one event of a batch, addressed to one instance: one simulated sender, known by its sender_id.
type Item struct {
	Instance int
	Line     int             // line number in the input
	Start    *rules.Settings // set if the instance starts with this item
	Killed   bool            // set if the instance is killed with this item
	Event    rules.Event     // nil for an event that the decision module has no use for
}

// Batch holds the events of one tick.
type Batch struct {
	Now   time.Duration // simulated time
	Items []Item
}

// Error reports invalid input and the number of its line.
type Error struct {
	Line int
	Msg  string
}

func (e *Error) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Msg) }

// Decoder reads batches. It keeps the numbered endpoint lists ("catalog"), to which later events refer by number.
type Decoder struct {
	r     *bufio.Reader
	line  int
	lists map[int][]rules.Entry // by number

	// UnknownFields counts the fields of events that the protocol does not define, as "verb.field". They are ignored:
	// a newer simulator may send further ones, whose meaning cannot be guessed.
	UnknownFields map[string]int
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{
		r:             bufio.NewReaderSize(r, readBufferBytes),
		lists:         map[int][]rules.Entry{},
		UnknownFields: map[string]int{},
	}
}

func (d *Decoder) errorf(format string, args ...any) error {
	return &Error{Line: d.line, Msg: fmt.Sprintf(format, args...)}
}

// nextLine returns the verb and the text of the next line, or io.EOF if the input ends after a whole line.
func (d *Decoder) nextLine() (string, []byte, error) {
	text, err := d.r.ReadBytes('\n')
	if err != nil && !(errors.Is(err, io.EOF) && len(text) > 0) {
		return "", nil, err
	}
	d.line++
	text = bytes.TrimSpace(text)
	var head struct {
		Verb *string `json:"verb"`
	}
	if err := json.Unmarshal(text, &head); err != nil {
		return "", nil, d.errorf("not a JSON object: %v", err)
	}
	if head.Verb == nil {
		return "", nil, d.errorf("no verb")
	}
	return *head.Verb, text, nil
}

// ReadBatch returns the next batch, io.EOF at the end of input, or an *Error for invalid input.
func (d *Decoder) ReadBatch() (*Batch, error) {
	verb, text, err := d.nextLine()
	if err != nil {
		return nil, err
	}
	if verb != "batch" {
		return nil, d.errorf("%q outside a batch", verb)
	}
	var head struct {
		Verb   string `json:"verb"`
		Moment *int64 `json:"moment_us"`
	}
	if err := d.decodeFields(verb, text, &head); err != nil {
		return nil, err
	}
	if head.Moment == nil {
		return nil, d.errorf("batch: no moment_us")
	}
	b := &Batch{Now: microseconds(*head.Moment)}
	for {
		verb, text, err := d.nextLine()
		if errors.Is(err, io.EOF) {
			return nil, d.errorf("input ends inside a batch")
		}
		if err != nil {
			return nil, err
		}
		if verb == "flush" {
			return b, nil
		}
		item, hasInstance, err := d.decodeItem(verb, text)
		if err != nil {
			return nil, err
		}
		if hasInstance {
			b.Items = append(b.Items, item)
		}
	}
}

// decodeFields unmarshals one line into the struct that fields points to. If the line has fields that the struct lacks,
// the first of them is counted and all are ignored.
func (d *Decoder) decodeFields(verb string, text []byte, fields any) error {
	strict := json.NewDecoder(bytes.NewReader(text))
	strict.DisallowUnknownFields()
	err := strict.Decode(fields)
	if err == nil {
		return nil
	}
	if field, unknown := strings.CutPrefix(err.Error(), "json: unknown field "); unknown {
		d.UnknownFields[verb+"."+strings.Trim(field, `"`)]++
		err = json.Unmarshal(text, fields)
	}
	if err != nil {
		return d.errorf("%s: %v", verb, err)
	}
	return nil
}

// decodeItem decodes one line of a batch. hasInstance is false for an endpoint list, which belongs to no single
// instance.
func (d *Decoder) decodeItem(verb string, text []byte) (item Item, hasInstance bool, err error) {
	if verb == "catalog" {
		return Item{}, false, d.decodeCatalog(text)
	}
	var f eventFields
	required, known := requiredFields[verb]
	if !known {
		return Item{}, false, d.errorf("unknown verb %q", verb)
	}
	if err := d.decodeFields(verb, text, &f); err != nil {
		return Item{}, false, err
	}
	for _, field := range append([]string{"sender_id"}, required...) {
		if !f.has(field) {
			return Item{}, false, d.errorf("%s: no %s", verb, field)
		}
	}
	item = Item{Instance: int(*f.Sender), Line: d.line}
	switch verb {
	case "power_on":
		set, _, err := settings.Decode(f.Env, *f.Nonce)
		if err != nil {
			return Item{}, false, d.errorf("power_on: env: %v", err)
		}
		item.Start = set
	case "crash_now":
		item.Killed = true
	default:
		event, err := d.decodeEvent(verb, &f)
		if err != nil {
			return Item{}, false, err
		}
		item.Event = event
	}
	return item, true, nil
}

// decodeEvent converts a line into an event of package rules; nil if the module has no use for it.
func (d *Decoder) decodeEvent(verb string, f *eventFields) (rules.Event, error) {
	switch verb {
	case "directory_update":
		return d.decodeListUpdate(f)
	case "new_request":
		return rules.Arrived{
			ID:          rules.MessageID(*f.Txn),
			Destination: int(*f.Dest),
			Class:       int(*f.Service),
			Tenant:      f.UserGroup,
			OrderKey:    f.PathKey,
			TimeLeft:    microseconds(*f.Grace),
			Estimate:    microseconds(f.Estimate),
		}, nil
	case "vanished":
		return rules.Withdrawn{ID: rules.MessageID(*f.Txn)}, nil
	case "headers":
		return rules.StreamStarted{ID: rules.MessageID(*f.Txn), Attempt: *f.Round}, nil
	case "wakeup":
		return rules.WakeUp{}, nil
	case "inbox":
		if hint, ok := decodeHint(*f.Bytes); ok {
			return rules.HintReceived{Hint: hint}, nil
		}
		return nil, nil // in another format, or corrupted
	}
	outcome, known := outcomeByEnding[*f.Ending]
	if !known {
		return nil, d.errorf("%s: unknown ending %q", verb, *f.Ending)
	}
	if verb == "check_result" {
		return nil, nil // the result of a health check, which the module never asks for
	}
	ended := rules.AttemptEnded{
		ID:       rules.MessageID(*f.Txn),
		Attempt:  *f.Round,
		Endpoint: rules.EndpointID(*f.Endpoint),
		Outcome:  outcome,
		Elapsed:  microseconds(*f.TimeTaken),
		Finished: f.Closed,
		Report:   rules.Report{Remaining: f.Telemetry["x0"], Limit: f.Telemetry["x1"]},
	}
	switch outcome {
	case rules.Refused:
		ended.RetryAfter = time.Duration(f.Note) * time.Millisecond
	case rules.NotSent:
		ended.NoFreeSlot = f.Note == 1
	}
	return ended, nil
}

// decodeListUpdate resolves the number of the list that a directory_update refers to.
func (d *Decoder) decodeListUpdate(f *eventFields) (rules.Event, error) {
	switch *f.Kind {
	case "error":
		return rules.DiscoveryFailed{}, nil
	case "diff", "snapshot", "disk":
	default:
		return nil, d.errorf("directory_update: unknown kind %q", *f.Kind)
	}
	if f.Ref == nil {
		return nil, d.errorf("directory_update: no ref")
	}
	entries, known := d.lists[*f.Ref]
	if !known {
		return nil, d.errorf("directory_update: unknown list number %d", *f.Ref)
	}
	return rules.ListUpdate{Whole: *f.Kind != "diff", Entries: entries}, nil
}

// decodeCatalog stores an endpoint list under its number, replacing an earlier one with the same number.
func (d *Decoder) decodeCatalog(text []byte) error {
	var f struct {
		Verb     string           `json:"verb"`
		Ref      *int             `json:"ref"`
		Elements *[]catalogFields `json:"elements"`
	}
	if err := d.decodeFields("catalog", text, &f); err != nil {
		return err
	}
	if f.Ref == nil {
		return d.errorf("catalog: no ref")
	}
	if f.Elements == nil {
		return d.errorf("catalog: no elements")
	}
	entries := make([]rules.Entry, 0, len(*f.Elements))
	for i, e := range *f.Elements {
		if e.Endpoint == nil || e.Destination == nil || e.Readiness == nil {
			return d.errorf("catalog: element %d lacks endpoint, destination or readiness", i)
		}
		entry := rules.Entry{
			Endpoint:    rules.EndpointID(*e.Endpoint),
			Destination: int(*e.Destination),
			Kind:        e.Flavor,
			Zone:        e.Campus,
			ListedRate:  e.Capacity,
		}
		switch *e.Readiness {
		case "healthy":
		case "cordoned":
			entry.Draining = true
		case "deregistered":
			entry.Gone = true
		default:
			return d.errorf("catalog: element %d: unknown readiness %q", i, *e.Readiness)
		}
		entries = append(entries, entry)
	}
	d.lists[*f.Ref] = entries
	return nil
}

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// Encoder writes replies: for each batch the actions of its instances, then an end mark.
type Encoder struct {
	w   *bufio.Writer
	enc *json.Encoder
}

// NewEncoder returns an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder {
	buffered := bufio.NewWriterSize(w, writeBufferBytes)
	enc := json.NewEncoder(buffered)
	enc.SetEscapeHTML(false)
	return &Encoder{w: buffered, enc: enc}
}

// WriteActions adds the actions of one instance to the reply. Two kinds of action are left out, as the protocol has no
// verb for them: EndpointForgotten, which concerns this process alone, and Recall, because a simulated call is sent
// whole at once and can no longer be withdrawn.
func (e *Encoder) WriteActions(instance int, actions []rules.Action) error {
	for _, action := range actions {
		switch action.(type) {
		case rules.EndpointForgotten, rules.Recall:
			continue
		}
		fields, err := encodeAction(instance, action)
		if err != nil {
			return err
		}
		if err := e.enc.Encode(fields); err != nil {
			return err
		}
	}
	return nil
}

// ReportCrash adds to the reply that the decision code of an instance panicked with this text.
func (e *Encoder) ReportCrash(instance int, text string) error {
	return e.enc.Encode(actionFields{Verb: "die", Sender: instance, Note: text})
}

// EndReply writes the end mark of a reply and flushes the reply.
func (e *Encoder) EndReply() error {
	endMark := struct {
		Verb string `json:"verb"`
	}{"yield"}
	if err := e.enc.Encode(endMark); err != nil {
		return err
	}
	return e.w.Flush()
}

// encodeAction returns the fields of the reply line for one action.
func encodeAction(instance int, action rules.Action) (actionFields, error) {
	f := actionFields{Sender: instance}
	switch a := action.(type) {
	case rules.Send:
		f.Verb = "try"
		f.Txn = string(a.ID)
		f.Endpoint = ptr(a.Endpoint)
		f.Patience = a.Timeout.Microseconds()
	case rules.Refuse:
		f.Verb = "deny"
		f.Txn = string(a.ID)
		f.Wait = a.RetryAfter.Microseconds()
	case rules.Fail:
		f.Verb = "finish_error"
		f.Txn = string(a.ID)
	case rules.Cancel:
		f.Verb = "undo_send"
		f.Txn = string(a.ID)
		f.Round = ptr(a.Attempt)
	case rules.CloseIdle:
		f.Verb = "close_idle"
		f.Endpoint = ptr(a.Endpoint)
	case rules.WakeAfter:
		f.Verb = "wake_at"
		f.After = ptr(a.After.Microseconds())
		f.KeyBack = ptr(0) // wake-ups need no key: the module treats all alike
	case rules.PublishHint:
		f.Verb = "memo_to"
		f.Recipient = allSenders
		f.Bytes = encodeHint(a.Hint)
	case rules.Watch:
		f.Verb = "stream_changes"
		f.On = true
	default:
		return f, fmt.Errorf("the protocol has no verb for action %T", action)
	}
	return f, nil
}

// allSenders is the recipient of a message to every other sender.
const allSenders = "*"

// A hint is encoded as two or three numbers in base 36, separated by a space: endpoint, class and, if there is one,
// retry-after in milliseconds. The form is short because messages between senders are charged by the byte.
const (
	hintBase           = 36
	hintEndpointBits   = 32
	hintClassBits      = 15
	hintRetryAfterBits = 31
)

func encodeHint(hint rules.Hint) string {
	text := strconv.FormatUint(uint64(hint.Endpoint), hintBase) + " " + strconv.FormatUint(uint64(hint.Class), hintBase)
	if hint.RetryAfter > 0 {
		text += " " + strconv.FormatInt(hint.RetryAfter.Milliseconds(), hintBase)
	}
	return text
}

// decodeHint decodes a hint. ok is false for any other text, which is not an error: other senders may run another
// build.
func decodeHint(text string) (hint rules.Hint, ok bool) {
	parts := strings.Split(text, " ")
	if len(parts) != 2 && len(parts) != 3 {
		return hint, false
	}
	var values [3]uint64
	sizes := []int{hintEndpointBits, hintClassBits, hintRetryAfterBits}
	for i, bits := range sizes[:len(parts)] {
		v, err := strconv.ParseUint(parts[i], hintBase, bits)
		if err != nil {
			return hint, false
		}
		values[i] = v
	}
	return rules.Hint{
		Endpoint:   rules.EndpointID(values[0]),
		Class:      int(values[1]),
		RetryAfter: time.Duration(values[2]) * time.Millisecond,
	}, true
}

// ptr returns a pointer to a copy of v: an optional field is encoded if its pointer is set, even for a zero value.
func ptr[T any](v T) *T { return &v }
