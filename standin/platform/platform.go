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
	mu      sync.Mutex
	seq     int
	hosts   []Entry
	changed chan struct{} // closed with the next change
	ended   chan struct{} // closed at the end, so that nobody waits on
	notices []string
	muted   bool
	indent  string
}

// Indent makes the lists that follow come indented by this, as a person would write them, or plain by nothing.
func (d *Discovery) Indent(by string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.indent = by
}

// Mute makes discovery answer no question for the list, or lets it answer again; notices it takes all the time.
func (d *Discovery) Mute(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.muted = on
	if on { // watches that wait are broken off too
		close(d.changed)
		d.changed = make(chan struct{})
	}
}

func (d *Discovery) silent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.muted
}

// NewDiscovery starts a discovery with a first list.
func NewDiscovery(addr string, hosts ...Entry) (*Discovery, error) {
	d := &Discovery{seq: 1, hosts: hosts, changed: make(chan struct{}), ended: make(chan struct{})}
	var err error
	d.Server, err = Listen(addr, d.answer)
	return d, err
}

// Close ends discovery; a watch that waits is broken off.
func (d *Discovery) Close() {
	close(d.ended)
	d.Server.Close()
}

// Set replaces the list.
func (d *Discovery) Set(hosts ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	d.hosts = hosts
	close(d.changed)
	d.changed = make(chan struct{})
}

// Notices returns the lines of the notices so far.
func (d *Discovery) Notices() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.notices)
}

// List is the list as it stands, in discovery's form.
func (d *Discovery) List() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list(d.hosts, true)
}

func (d *Discovery) list(hosts []Entry, whole bool) []byte {
	if hosts == nil {
		hosts = []Entry{}
	}
	list := map[string]any{"seq": d.seq, "whole": whole, "hosts": hosts}
	text, _ := json.Marshal(list) // plain values always encode
	if d.indent != "" {
		text, _ = json.MarshalIndent(list, "", d.indent)
	}
	return text
}

func (d *Discovery) answer(req *http1.Request, body []byte) *http1.Response {
	u, err := url.Parse(req.Target)
	switch {
	case err != nil:
		return &http1.Response{Status: 400}
	case u.Path == "/status" && req.Method == "POST":
		return d.notice(body)
	case u.Path == "/registry/instances" && req.Method == "GET":
		body := d.watch(u.Query())
		if d.silent() {
			return nil
		}
		return &http1.Response{Status: 200, Body: body}
	}
	return &http1.Response{Status: 404}
}

func (d *Discovery) notice(body []byte) *http1.Response {
	var lines []string
	for line := range bytes.Lines(body) {
		if !json.Valid(line) {
			return &http1.Response{Status: 400}
		}
		lines = append(lines, strings.TrimSpace(string(line)))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notices = append(d.notices, lines...)
	return &http1.Response{Status: 204}
}

// watch answers at once if there is news, else when there is or the wait is over.
func (d *Discovery) watch(q url.Values) []byte {
	after, err := strconv.Atoi(q.Get("after"))
	if err != nil {
		return d.List()
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms")) // none is 0
	d.mu.Lock()
	changed, news := d.changed, d.seq != after
	d.mu.Unlock()
	if !news {
		select {
		case <-changed:
			news = true
		case <-d.ended:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
	}
	if news {
		return d.List()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list(nil, false)
}

// Endpoint takes messages. Answer, if set, says how: it is told the message's name, and which call this is.
type Endpoint struct {
	*Server
	mu       sync.Mutex
	received []string
	answer   func(id string, call int) *http1.Response
}

// NewEndpoint starts an endpoint. A nil answer delivers everything.
func NewEndpoint(addr string, answer func(id string, call int) *http1.Response) (*Endpoint, error) {
	e := &Endpoint{answer: answer}
	var err error
	e.Server, err = Listen(addr, e.take)
	return e, err
}

// Received returns the names of the messages that came, one for each call or line.
func (e *Endpoint) Received() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.received)
}

func (e *Endpoint) take(req *http1.Request, body []byte) *http1.Response {
	switch {
	case req.Method == "POST" && req.Target == "/receive":
		return e.one(req.Header.Get("Req-Id"))
	case req.Method == "POST" && req.Target == "/receive-many":
		return e.many(body)
	}
	return &http1.Response{Status: 404}
}

func (e *Endpoint) one(id string) *http1.Response {
	e.mu.Lock()
	e.received = append(e.received, id)
	n := len(e.received)
	e.mu.Unlock()
	if e.answer != nil {
		return e.answer(id, n)
	}
	return &http1.Response{Status: 200}
}

// many reads a body of several messages: for each a line with name, key and length, its bytes, a line end.
func (e *Endpoint) many(body []byte) *http1.Response {
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
		if resp := e.one(words[0]); resp != nil && resp.Status == 200 {
			end = "accepted"
		}
		out = append(out, words[0]+" "+end+"\r\n"...)
	}
	if out == nil {
		return &http1.Response{Status: 400}
	}
	return &http1.Response{Status: 200, Body: out}
}
