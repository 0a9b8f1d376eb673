// This file owns what discovery and an endpoint answer. It must never judge the sender: the tests do that.

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
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// Discovery lists endpoints and takes notices.
type Discovery struct {
	*Server
	mu                sync.Mutex
	seq               int
	entries           []Entry
	changed           chan struct{} // closed with the next change
	closing           chan struct{} // closed at the end, so that nobody waits on
	notices           []Notice
	dropsListRequests bool
	indent            string

	historyLimit    int      // versions whose changes are told as such
	history         []change // of those, oldest first
	encodedList     []byte   // of the whole list as it stands, once it was asked for
	lastChange      []byte   // of the last change, for who has the version before it; nil if it is not told as such
	watchesSilenced chan struct{}
	listTargets     []string
	listBytes       int64
}

// change is what came with a version.
type change struct {
	seq     int
	entries []Entry
}

// Remember makes discovery answer who names one of the last versions, so many of them, with what has changed since. Without it, and
// before those versions, the answer is the whole list.
func (d *Discovery) KeepChanges(versions int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.historyLimit = versions
	d.trimHistory()
}

func (d *Discovery) trimHistory() { d.history = d.history[max(0, len(d.history)-d.historyLimit):] }

// Count makes the next version the one after this, as after a restart that has lost the count; what came before is forgotten.
func (d *Discovery) RestartVersions(seq int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq, d.history, d.encodedList, d.lastChange = seq, nil, nil, nil
}

// Lose makes the calls that wait now fall silent: their connections stay open, and nothing comes on them any more.
func (d *Discovery) SilenceWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.watchesSilenced)
	d.watchesSilenced = make(chan struct{})
}

// Asked returns the targets of the calls for the list so far, in the order in which they came.
func (d *Discovery) ListRequestTargets() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.listTargets)
}

// Bytes is how many have passed for the list so far, both ways and with their heads.
func (d *Discovery) ListBytes() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listBytes
}

// Indent makes the lists that follow come indented by this, as a person would write them, or plain by nothing.
func (d *Discovery) SetIndent(by string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.indent, d.encodedList, d.lastChange = by, nil, nil
}

// Mute makes discovery answer no question for the list, or lets it answer again; notices it takes all the time.
func (d *Discovery) DropListRequests(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropsListRequests = on
	if on { // watches that wait are broken off too
		close(d.changed)
		d.changed = make(chan struct{})
	}
}

func (d *Discovery) listRequestsDropped() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dropsListRequests
}

// NewDiscovery starts a discovery with a first list.
func NewDiscovery(addr string, hosts ...Entry) (*Discovery, error) {
	d := &Discovery{seq: 1, entries: hosts, changed: make(chan struct{}), closing: make(chan struct{}), watchesSilenced: make(chan struct{})}
	var err error
	d.Server, err = Listen(addr, d.handle)
	return d, err
}

// Close ends discovery; a watch that waits is broken off.
func (d *Discovery) Close() {
	close(d.closing)
	d.Server.Close()
}

// Set replaces the list. Calls are answered by the old one until the change is ready to be told: a discovery that made it anew for each
// call would keep those of a large change waiting. Only one Set may be under way.
func (d *Discovery) SetList(hosts ...Entry) {
	d.mu.Lock()
	before, remembers, seq := d.entries, d.historyLimit > 0, d.seq+1
	d.mu.Unlock()
	var differ []Entry
	var news []byte
	if remembers {
		differ = changedEntries(before, hosts)
		news = d.encodeList(seq, differ, false)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq = seq
	if remembers {
		d.history = append(d.history, change{seq, differ})
		d.trimHistory()
	}
	d.entries, d.encodedList, d.lastChange = hosts, nil, news
	close(d.changed)
	d.changed = make(chan struct{})
}

// differences are the entries that lead from one list to another.
func changedEntries(from, to []Entry) (list []Entry) {
	before := make(map[string]Entry, len(from))
	for _, e := range from {
		before[e.Host] = e
	}
	for _, e := range to {
		if old, was := before[e.Host]; !was || old != e {
			list = append(list, e)
		}
		delete(before, e.Host)
	}
	for _, e := range from {
		if _, left := before[e.Host]; left {
			e.Health = "Gone"
			list = append(list, e)
		}
	}
	return list
}

// Notices returns the lines of the notices so far.
func (d *Discovery) Notices() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var lines []string
	for _, n := range d.notices {
		lines = append(lines, n.Line)
	}
	return lines
}

// Notice is a line of a notice, and when it came.
type Notice struct {
	At   time.Time
	Line string
}

// TimedNotices returns the notices so far with their times.
func (d *Discovery) TimedNotices() []Notice {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.notices)
}

// List is the list as it stands, in discovery's form.
func (d *Discovery) ListJSON() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wholeList()
}

func (d *Discovery) wholeList() []byte {
	if d.encodedList == nil {
		d.encodedList = d.encodeList(d.seq, d.entries, true)
	}
	return d.encodedList
}

// since is what has changed after a version, each entry once as it stands, or the whole list.
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
	last, order := map[string]Entry{}, []string{}
	for _, c := range d.history {
		if c.seq <= after {
			continue
		}
		for _, e := range c.entries {
			if _, known := last[e.Host]; !known {
				order = append(order, e.Host)
			}
			last[e.Host] = e
		}
	}
	list := make([]Entry, len(order))
	for i, host := range order {
		list[i] = last[host]
	}
	return d.encodeList(d.seq, list, false)
}

func (d *Discovery) encodeList(seq int, hosts []Entry, whole bool) []byte {
	if hosts == nil {
		hosts = []Entry{}
	}
	list := map[string]any{"seq": seq, "whole": whole, "hosts": hosts}
	text, _ := json.Marshal(list) // plain values always encode
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
		d.mu.Lock()
		d.listBytes += int64(len(http1.AppendResponse(nil, 200, nil, nil)) + len(strconv.Itoa(len(body))) - 1 + len(body))
		d.mu.Unlock()
		return &http1.Response{Status: 200, Body: body}
	}
	return &http1.Response{Status: 404}
}

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

// watch answers at once if there is news, else when there is or the wait is over, or with nothing at the end of a silence.
func (d *Discovery) handleList(req *http1.Request, q url.Values) []byte {
	after, err := strconv.Atoi(q.Get("after"))
	wait, _ := strconv.Atoi(q.Get("wait_ms")) // none is 0
	d.mu.Lock()
	d.listTargets = append(d.listTargets, req.Target) // with what it waits for, so that who sees the call can have it lost
	d.listBytes += int64(len(http1.AppendRequest(nil, req.Method, req.Target, req.Header, nil)))
	changed, deaf, news := d.changed, d.watchesSilenced, d.seq != after
	d.mu.Unlock()
	if err != nil {
		return d.ListJSON()
	}
	if !news {
		select {
		case <-changed:
		case <-deaf:
			<-d.closing
			return nil
		case <-d.closing:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changesSince(after)
}

// Endpoint takes messages. Answer, if set, says how: it is told the message's name, and which call this is.
type Endpoint struct {
	*Server
	mu          sync.Mutex
	receivedIDs []string
	respond     func(id string, call int) *http1.Response
}

// NewEndpoint starts an endpoint. A nil answer delivers everything.
func NewEndpoint(addr string, answer func(id string, call int) *http1.Response) (*Endpoint, error) {
	e := &Endpoint{respond: answer}
	var err error
	e.Server, err = Listen(addr, e.handle)
	return e, err
}

// Received returns the names of the messages that came, one for each call or line.
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

func (e *Endpoint) receive(id string) *http1.Response {
	e.mu.Lock()
	e.receivedIDs = append(e.receivedIDs, id)
	n := len(e.receivedIDs)
	e.mu.Unlock()
	if e.respond != nil {
		return e.respond(id, n)
	}
	return &http1.Response{Status: 200}
}

// many reads a body of several messages: for each a line with name, key and length, its bytes, a line end.
func (e *Endpoint) receiveBatch(body []byte) *http1.Response {
	var out []byte
	for len(body) > 0 {
		line, rest, ok := bytes.Cut(body, []byte("\r\n"))
		words := strings.Fields(string(line))
		if !ok || len(words) != 3 {
			return &http1.Response{Status: 400}
		}
		n, err := strconv.Atoi(words[2])
		if err != nil || n < 0 || n+2 > len(rest) || string(rest[n:n+2]) != "\r\n" {
			return &http1.Response{Status: 400}
		}
		body = rest[n+2:]
		end := "fault"
		if resp := e.receive(words[0]); resp != nil && resp.Status == 200 {
			end = "accepted"
		}
		out = append(out, words[0]+" "+end+"\r\n"...)
	}
	if out == nil {
		return &http1.Response{Status: 400}
	}
	return &http1.Response{Status: 200, Body: out}
}
