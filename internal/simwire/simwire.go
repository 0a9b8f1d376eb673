// Package simwire is the codec of the simulator's wire: one JSON value a line, batches in, replies out.
// It translates the wire's words into the terms of package rules and decides nothing.
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

// Item is one event of a batch, for one instance.
type Item struct {
	Instance int
	Line     int
	Start    *rules.Settings // set if the instance starts here
	Killed   bool            // set if the instance is killed here
	Event    rules.Event     // nil for what the module is not told
}

// Batch is what one tick brings.
type Batch struct {
	Now   time.Duration
	Items []Item
}

// Error is a fault in the input, with the line that has it.
type Error struct {
	Line int
	Msg  string
}

func (e *Error) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Msg) }

// Decoder reads batches. It keeps the numbered lists that several events refer to.
type Decoder struct {
	r     *bufio.Reader
	line  int
	lists map[int][]rules.Entry

	// Unknown counts the fields of events that the wire's page does not name, as "verb.field". They are skipped:
	// a newer simulator may send more, and nothing is guessed from them.
	UnknownFields map[string]int
}

// NewDecoder reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: bufio.NewReaderSize(r, 1<<20), lists: map[int][]rules.Entry{}, UnknownFields: map[string]int{}}
}

func (d *Decoder) errorf(format string, args ...any) error {
	return &Error{Line: d.line, Msg: fmt.Sprintf(format, args...)}
}

// next returns the next line's verb and text; io.EOF at a clean end of input.
func (d *Decoder) next() (string, []byte, error) {
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

// Read returns the next batch, io.EOF at the end of input, or an *Error.
func (d *Decoder) ReadBatch() (*Batch, error) {
	verb, text, err := d.next()
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
	if err := d.decode(verb, text, &head); err != nil {
		return nil, err
	}
	if head.Moment == nil {
		return nil, d.errorf("batch: no moment_us")
	}
	b := &Batch{Now: micros(*head.Moment)}
	for {
		verb, text, err := d.next()
		if errors.Is(err, io.EOF) {
			return nil, d.errorf("input ends inside a batch")
		}
		if err != nil {
			return nil, err
		}
		if verb == "flush" {
			return b, nil
		}
		item, ok, err := d.item(verb, text)
		if err != nil {
			return nil, err
		}
		if ok {
			b.Items = append(b.Items, item)
		}
	}
}

// decode reads one line into its fields. A field that they lack is counted and skipped.
func (d *Decoder) decode(verb string, text []byte, into any) error {
	strict := json.NewDecoder(bytes.NewReader(text))
	strict.DisallowUnknownFields()
	err := strict.Decode(into)
	if err == nil {
		return nil
	}
	if field, unknown := strings.CutPrefix(err.Error(), "json: unknown field "); unknown {
		d.UnknownFields[verb+"."+strings.Trim(field, `"`)]++
		err = json.Unmarshal(text, into)
	}
	if err != nil {
		return d.errorf("%s: %v", verb, err)
	}
	return nil
}

// item translates one line; ok is false for a list, which no single instance owns.
func (d *Decoder) item(verb string, text []byte) (item Item, ok bool, err error) {
	if verb == "catalog" {
		return Item{}, false, d.catalog(text)
	}
	var f eventFields
	need, known := required[verb]
	if !known {
		return Item{}, false, d.errorf("unknown verb %q", verb)
	}
	if err := d.decode(verb, text, &f); err != nil {
		return Item{}, false, err
	}
	for _, field := range append([]string{"sender_id"}, need...) {
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
		event, err := d.event(verb, &f)
		if err != nil {
			return Item{}, false, err
		}
		item.Event = event
	}
	return item, true, nil
}

// event translates the events that the module itself is told of.
func (d *Decoder) event(verb string, f *eventFields) (rules.Event, error) {
	switch verb {
	case "directory_update":
		return d.listed(f)
	case "new_request":
		return rules.Arrived{ID: rules.MessageID(*f.Txn), Destination: int(*f.Dest), Class: int(*f.Service),
			Tenant: f.UserGroup, OrderKey: f.PathKey, TimeLeft: micros(*f.Grace), Estimate: micros(f.Estimate)}, nil
	case "vanished":
		return rules.Withdrawn{ID: rules.MessageID(*f.Txn)}, nil
	case "headers":
		return rules.StreamStarted{ID: rules.MessageID(*f.Txn), Attempt: *f.Round}, nil
	case "wakeup":
		return rules.WakeUp{}, nil
	case "inbox":
		if note, ok := readNote(*f.Bytes); ok {
			return rules.HintReceived{Hint: note}, nil
		}
		return nil, nil // not one of ours, or spoilt
	}
	outcome, known := outcomes[*f.Ending]
	if !known {
		return nil, d.errorf("%s: unknown ending %q", verb, *f.Ending)
	}
	if verb == "check_result" {
		return nil, nil // the module sends no probes
	}
	ended := rules.AttemptEnded{ID: rules.MessageID(*f.Txn), Attempt: *f.Round, Endpoint: rules.EndpointID(*f.Endpoint),
		Outcome: outcome, Elapsed: micros(*f.Taken), Finished: f.Closed,
		Report: rules.Report{Remaining: f.Telemetry["x0"], Limit: f.Telemetry["x1"]}}
	switch outcome {
	case rules.Refused:
		ended.RetryAfter = time.Duration(f.Note) * time.Millisecond
	case rules.NotSent:
		ended.NoFreeSlot = f.Note == 1
	}
	return ended, nil
}

func (d *Decoder) listed(f *eventFields) (rules.Event, error) {
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

func (d *Decoder) catalog(text []byte) error {
	var f struct {
		Verb     string           `json:"verb"`
		Ref      *int             `json:"ref"`
		Elements *[]catalogFields `json:"elements"`
	}
	if err := d.decode("catalog", text, &f); err != nil {
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
		entry := rules.Entry{Endpoint: rules.EndpointID(*e.Endpoint), Destination: int(*e.Destination),
			Kind: e.Flavor, Zone: e.Campus, ListedRate: e.Capacity}
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

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// Encoder writes replies.
type Encoder struct {
	w   *bufio.Writer
	enc *json.Encoder
}

// NewEncoder writes to w.
func NewEncoder(w io.Writer) *Encoder {
	bw := bufio.NewWriterSize(w, 1<<16)
	enc := json.NewEncoder(bw)
	enc.SetEscapeHTML(false)
	return &Encoder{w: bw, enc: enc}
}

// Write adds the actions of one instance to the reply. That an endpoint is forgotten concerns nobody on the wire, and a
// call is on its way there as soon as it is made, so that none can be called back.
func (e *Encoder) WriteActions(instance int, actions []rules.Action) error {
	for _, a := range actions {
		switch a.(type) {
		case rules.EndpointForgotten, rules.Recall:
			continue
		}
		out, err := encode(instance, a)
		if err != nil {
			return err
		}
		if err := e.enc.Encode(out); err != nil {
			return err
		}
	}
	return nil
}

// Die reports that an instance's decision code has failed.
func (e *Encoder) ReportCrash(instance int, text string) error {
	return e.enc.Encode(actionFields{Verb: "die", Sender: instance, Note: text})
}

// End closes the reply and flushes it.
func (e *Encoder) EndReply() error {
	if err := e.enc.Encode(struct {
		Verb string `json:"verb"`
	}{"yield"}); err != nil {
		return err
	}
	return e.w.Flush()
}

func encode(instance int, action rules.Action) (actionFields, error) {
	f := actionFields{Sender: instance}
	switch a := action.(type) {
	case rules.Send:
		f.Verb, f.Txn, f.Endpoint = "try", string(a.ID), ptr(a.Endpoint)
		f.Patience = a.Timeout.Microseconds()
	case rules.Refuse:
		f.Verb, f.Txn, f.Wait = "deny", string(a.ID), a.RetryAfter.Microseconds()
	case rules.Fail:
		f.Verb, f.Txn = "finish_error", string(a.ID)
	case rules.Cancel:
		f.Verb, f.Txn, f.Round = "undo_send", string(a.ID), ptr(a.Attempt)
	case rules.CloseIdle:
		f.Verb, f.Endpoint = "close_idle", ptr(a.Endpoint)
	case rules.WakeAfter:
		f.Verb, f.After, f.KeyBack = "wake_at", ptr(a.After.Microseconds()), ptr(0)
	case rules.PublishHint:
		f.Verb, f.To, f.Bytes = "memo_to", "*", writeNote(a.Hint)
	case rules.Watch:
		f.Verb, f.On = "stream_changes", true
	default:
		return f, fmt.Errorf("no wire form for %T", action)
	}
	return f, nil
}

// A note travels as endpoint, class and, if there is one, wait in milliseconds, all in base 36: every byte is paid for.
func writeNote(n rules.Hint) string {
	text := strconv.FormatUint(uint64(n.Endpoint), 36) + " " + strconv.FormatUint(uint64(n.Class), 36)
	if n.RetryAfter > 0 {
		text += " " + strconv.FormatInt(n.RetryAfter.Milliseconds(), 36)
	}
	return text
}

// readNote reads a note; ok is false for anything else, which is no fault: peers may be of another build.
func readNote(text string) (n rules.Hint, ok bool) {
	parts := strings.Split(text, " ")
	if len(parts) != 2 && len(parts) != 3 {
		return n, false
	}
	var values [3]uint64
	for i, bits := range []int{32, 15, 31}[:len(parts)] {
		v, err := strconv.ParseUint(parts[i], 36, bits)
		if err != nil {
			return n, false
		}
		values[i] = v
	}
	return rules.Hint{Endpoint: rules.EndpointID(values[0]), Class: int(values[1]),
		RetryAfter: time.Duration(values[2]) * time.Millisecond}, true
}

func ptr[T any](v T) *T { return &v }
