// This file implements discovery and an endpoint. It must never check what the sender does: that is left to the tests.

package platform

import (
	"bytes"
	"encoding/json"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"eiderhaven/internal/http1"
)

// Entry is one endpoint in discovery's list.
type Entry struct {
	Host   string  `json:"host"`    // unique name of the endpoint
	Dial   string  `json:"dial"`    // address to connect to
	Site   string  `json:"site"`    // zone
	Class  string  `json:"class"`   // kind of the destination
	Block  int     `json:"block"`   // destination
	Health string  `json:"health"`  // "Ready", "Terminating" or "Gone"
	Share  float64 `json:"share"`   // listed rate, in calls a second
	Born   int64   `json:"born_ms"` // time of creation
}

// Discovery lists endpoints and receives notices about messages that ended undelivered. Each change of the list has a
// version number (seq). A client asks for the changes after the version it has, and may wait for the next change: such
// a request is a watch.
type Discovery struct {
	*Server
	mu                sync.Mutex // guards the fields below, except closing
	seq               int        // version of the list
	entries           []Entry
	changed           chan struct{} // closed and replaced by the next change; ends the wait of all watches
	closing           chan struct{} // closed by Close
	notices           []Notice
	dropsListRequests bool
	indent            string

	historyLimit    int           // number of versions to keep changes for
	history         []change      // the changes of the latest versions, oldest first
	encodedList     []byte        // encoded whole list; nil until requested
	lastChange      []byte        // encoded latest change, for clients one version behind; nil if no changes are kept
	watchesSilenced chan struct{} // closed and replaced by SilenceWatches
	listTargets     []string      // targets of the requests for the list so far
	listBytes       int64
}

// change holds the entries that changed with a version.
type change struct {
	seq     int
	entries []Entry
}

// KeepChanges makes discovery keep the changes of the given number of latest versions. A client that has one of these
// versions is sent the changes since then; all others are sent the whole list. Initially no changes are kept.
func (d *Discovery) KeepChanges(versions int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.historyLimit = versions
	d.trimHistory()
}

func (d *Discovery) trimHistory() { d.history = d.history[max(0, len(d.history)-d.historyLimit):] }

// RestartVersions sets the version number to seq and drops the kept changes, as a restart of discovery does that has
// lost its version number.
func (d *Discovery) RestartVersions(seq int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq, d.history, d.encodedList, d.lastChange = seq, nil, nil, nil
}

// SilenceWatches makes the watches that are waiting now hang: their connections stay open, but no response is sent.
func (d *Discovery) SilenceWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.watchesSilenced)
	d.watchesSilenced = make(chan struct{})
}

// ListRequestTargets returns the request targets (path and query) of the requests for the list so far, in order.
func (d *Discovery) ListRequestTargets() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.listTargets)
}

// ListBytes returns the size of all list requests and responses so far, in bytes, headers included.
func (d *Discovery) ListBytes() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listBytes
}

// SetIndent makes discovery indent the JSON of its lists with this string. The empty string gives compact JSON.
func (d *Discovery) SetIndent(indent string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.indent, d.encodedList, d.lastChange = indent, nil, nil
}

// DropListRequests makes discovery close the connection on each request for the list instead of answering it, or, with
// drop false, answer again. Notices are accepted in both cases.
func (d *Discovery) DropListRequests(drop bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropsListRequests = drop
	if drop { // end the watches that are waiting, too
		close(d.changed)
		d.changed = make(chan struct{})
	}
}

func (d *Discovery) listRequestsDropped() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dropsListRequests
}

// NewDiscovery starts discovery on an address with these entries as version 1 of the list.
func NewDiscovery(addr string, entries ...Entry) (*Discovery, error) {
	d := &Discovery{
		seq:             1,
		entries:         entries,
		changed:         make(chan struct{}),
		closing:         make(chan struct{}),
		watchesSilenced: make(chan struct{}),
	}
	var err error
	d.Server, err = Listen(addr, d.handle)
	return d, err
}

// Close stops discovery and closes all connections, also those of waiting watches.
func (d *Discovery) Close() {
	close(d.closing)
	d.Server.Close()
}

// SetList replaces the list. The change is computed and encoded once, without the lock: computing it for each request
// would delay the responses to a large change. Until it is ready, requests get the old list. Calls of SetList must not
// overlap.
func (d *Discovery) SetList(entries ...Entry) {
	d.mu.Lock()
	before := d.entries
	keepsChanges := d.historyLimit > 0
	seq := d.seq + 1
	d.mu.Unlock()
	var changed []Entry
	var encodedChange []byte
	if keepsChanges {
		changed = changedEntries(before, entries)
		encodedChange = d.encodeList(seq, changed, false)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq = seq
	if keepsChanges {
		d.history = append(d.history, change{seq, changed})
		d.trimHistory()
	}
	d.entries = entries
	d.encodedList = nil
	d.lastChange = encodedChange
	close(d.changed)
	d.changed = make(chan struct{})
}

// changedEntries returns the entries of one list that are new or differ from the other list, and those that were
// removed, with health "Gone".
func changedEntries(from, to []Entry) (changed []Entry) {
	remaining := make(map[string]Entry, len(from)) // entries of from that were not yet met in to, by host
	for _, e := range from {
		remaining[e.Host] = e
	}
	for _, e := range to {
		if old, listed := remaining[e.Host]; !listed || old != e {
			changed = append(changed, e)
		}
		delete(remaining, e.Host)
	}
	for _, e := range from {
		if _, removed := remaining[e.Host]; removed {
			e.Health = "Gone"
			changed = append(changed, e)
		}
	}
	return changed
}

// Notices returns the notices received so far, one line each.
func (d *Discovery) Notices() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var lines []string
	for _, notice := range d.notices {
		lines = append(lines, notice.Line)
	}
	return lines
}

// Notice is one notice and the time when it was received.
type Notice struct {
	At   time.Time
	Line string
}

// TimedNotices returns the notices received so far, with their times.
func (d *Discovery) TimedNotices() []Notice {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.notices)
}

// ListJSON returns the whole list as discovery sends it.
func (d *Discovery) ListJSON() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wholeList()
}

// wholeList returns the encoded whole list. d.mu must be held.
func (d *Discovery) wholeList() []byte {
	if d.encodedList == nil {
		d.encodedList = d.encodeList(d.seq, d.entries, true)
	}
	return d.encodedList
}

// changesSince returns the encoded changes after a version, with the latest state of each changed entry, or the whole
// list if these changes are not kept. d.mu must be held.
func (d *Discovery) changesSince(after int) []byte {
	switch {
	case after == d.seq:
		return d.encodeList(d.seq, nil, false)
	case after == d.seq-1 && d.lastChange != nil && len(d.history) > 0:
		return d.lastChange
	}
	if len(d.history) == 0 || after < d.history[0].seq-1 || after > d.seq {
		return d.wholeList()
	}
	latest := map[string]Entry{} // by host
	hosts := []string{}          // in the order of their first change
	for _, c := range d.history {
		if c.seq <= after {
			continue
		}
		for _, e := range c.entries {
			if _, known := latest[e.Host]; !known {
				hosts = append(hosts, e.Host)
			}
			latest[e.Host] = e
		}
	}
	entries := make([]Entry, len(hosts))
	for i, host := range hosts {
		entries[i] = latest[host]
	}
	return d.encodeList(d.seq, entries, false)
}

func (d *Discovery) encodeList(seq int, entries []Entry, whole bool) []byte {
	if entries == nil {
		entries = []Entry{}
	}
	list := map[string]any{"seq": seq, "whole": whole, "hosts": entries}
	text, _ := json.Marshal(list) // cannot fail for these types
	if d.indent != "" {
		text, _ = json.MarshalIndent(list, "", d.indent)
	}
	return text
}

func (d *Discovery) handle(req *http1.Request, body []byte) *http1.Response {
	u, err := url.Parse(req.Target)
	switch {
	case err != nil:
		return &http1.Response{Status: 400}
	case u.Path == "/status" && req.Method == "POST":
		return d.handleNotices(body)
	case u.Path == "/registry/instances" && req.Method == "GET":
		body := d.handleList(req, u.Query())
		if body == nil || d.listRequestsDropped() {
			return nil
		}
		emptyResponse := http1.AppendResponse(nil, 200, nil, nil)
		moreLengthDigits := len(strconv.Itoa(len(body))) - len("0") // an empty response has Content-Length: 0
		d.mu.Lock()
		d.listBytes += int64(len(emptyResponse) + moreLengthDigits + len(body))
		d.mu.Unlock()
		return &http1.Response{Status: 200, Body: body}
	}
	return &http1.Response{Status: 404}
}

// handleNotices stores the notices of a request: one JSON object per line.
func (d *Discovery) handleNotices(body []byte) *http1.Response {
	var lines []string
	for line := range bytes.Lines(body) {
		if !json.Valid(line) {
			return &http1.Response{Status: 400}
		}
		lines = append(lines, strings.TrimSpace(string(line)))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, line := range lines {
		d.notices = append(d.notices, Notice{time.Now(), line})
	}
	return &http1.Response{Status: 204}
}

// handleList returns the body of the response to a request for the list: the whole list if the request names no
// version, otherwise the changes since that version. If there are none, it waits for the next change, for at most the
// time that the request asks for. For a silenced watch it returns nil, and only after Close.
func (d *Discovery) handleList(req *http1.Request, query url.Values) []byte {
	after, err := strconv.Atoi(query.Get("after"))
	waitMS, _ := strconv.Atoi(query.Get("wait_ms")) // 0 if absent
	d.mu.Lock()
	// The target is recorded under the same lock that reads the channels to wait on: a test that sees it in
	// ListRequestTargets can be sure that SilenceWatches applies to this request.
	d.listTargets = append(d.listTargets, req.Target)
	d.listBytes += int64(len(http1.AppendRequest(nil, req.Method, req.Target, req.Header, nil)))
	changed, silenced := d.changed, d.watchesSilenced
	upToDate := d.seq == after
	d.mu.Unlock()
	if err != nil {
		return d.ListJSON()
	}
	if upToDate {
		select {
		case <-changed:
		case <-silenced:
			<-d.closing
			return nil
		case <-d.closing:
		case <-time.After(time.Duration(waitMS) * time.Millisecond):
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changesSince(after)
}

// Endpoint receives messages.
type Endpoint struct {
	*Server
	mu          sync.Mutex
	receivedIDs []string
	respond     func(id string, count int) *http1.Response
}

// NewEndpoint starts an endpoint. For each message it calls respond with the message's ID and the number of messages
// received so far, this one included. A nil respond accepts every message.
func NewEndpoint(addr string, respond func(id string, count int) *http1.Response) (*Endpoint, error) {
	e := &Endpoint{respond: respond}
	var err error
	e.Server, err = Listen(addr, e.handle)
	return e, err
}

// ReceivedIDs returns the IDs of the messages received so far, in order. A repeated message is listed again.
func (e *Endpoint) ReceivedIDs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.receivedIDs)
}

func (e *Endpoint) handle(req *http1.Request, body []byte) *http1.Response {
	switch {
	case req.Method == "POST" && req.Target == "/receive":
		return e.receive(req.Header.Get("Req-Id"))
	case req.Method == "POST" && req.Target == "/receive-many":
		return e.receiveBatch(body)
	}
	return &http1.Response{Status: 404}
}

// receive records one message and returns the response to it.
func (e *Endpoint) receive(id string) *http1.Response {
	e.mu.Lock()
	e.receivedIDs = append(e.receivedIDs, id)
	count := len(e.receivedIDs)
	e.mu.Unlock()
	if e.respond != nil {
		return e.respond(id, count)
	}
	return &http1.Response{Status: 200}
}

// receiveBatch parses a body with several messages: for each a line with ID, key and length, the message and a line
// end. The response has a line with the outcome of each message.
func (e *Endpoint) receiveBatch(body []byte) *http1.Response {
	const lineEnd = "\r\n"
	var outcomes []byte
	for len(body) > 0 {
		header, rest, ok := bytes.Cut(body, []byte(lineEnd))
		fields := strings.Fields(string(header))
		if !ok || len(fields) != 3 {
			return &http1.Response{Status: 400}
		}
		id := fields[0]
		length, err := strconv.Atoi(fields[2])
		if err != nil || length < 0 {
			return &http1.Response{Status: 400}
		}
		next := length + len(lineEnd)
		if next > len(rest) || string(rest[length:next]) != lineEnd {
			return &http1.Response{Status: 400}
		}
		body = rest[next:]
		outcome := "fault"
		if resp := e.receive(id); resp != nil && resp.Status == 200 {
			outcome = "accepted"
		}
		outcomes = append(outcomes, id+" "+outcome+lineEnd...)
	}
	if outcomes == nil {
		return &http1.Response{Status: 400}
	}
	return &http1.Response{Status: 200, Body: outcomes}
}
