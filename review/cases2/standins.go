// This file owns the stand-ins around a sender: the platform, endpoints and clients. They follow the protocol's page and
// behave like sound HTTP/1.1 peers where it is silent.

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxBodyBytes is the longest body by the protocol's page.
const maxBodyBytes = 64 << 10

// entry is one endpoint in discovery's list.
type entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// list is a list in discovery's form.
type list struct {
	Seq   int     `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []entry `json:"hosts"`
}

// platform is discovery, and takes notices.
type platform struct {
	h       *harness
	address string

	// chunked sends lists without a Content-Length, in chunks, as HTTP/1.1 servers do where they do not know the length
	// beforehand.
	chunked bool

	mu      sync.Mutex
	seq     int
	entries []entry
	changes map[int][]entry // by version
	changed chan struct{}
	notices map[string]string // result, by message
	at      map[string]time.Time
	waits   map[string]time.Duration // told by bounced notices
}

// newPlatform starts a platform whose list has these endpoints.
func (h *harness) newPlatform(chunked bool, entries ...entry) (*platform, error) {
	p := &platform{
		h: h, chunked: chunked, seq: 1, entries: entries, changes: map[int][]entry{}, changed: make(chan struct{}),
		notices: map[string]string{}, at: map[string]time.Time{}, waits: map[string]time.Duration{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", p.serveList)
	mux.HandleFunc("POST /status", p.takeNotices)
	var err error
	p.address, err = h.serve(mux)
	return p, err
}

// whole returns the whole list.
func (p *platform) whole() list {
	p.mu.Lock()
	defer p.mu.Unlock()
	return list{p.seq, true, append([]entry{}, p.entries...)}
}

// change makes a new version of the list, in which these entries have changed; one that is gone is removed.
func (p *platform) change(changed ...entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	p.changes[p.seq] = changed
	for _, c := range changed {
		kept := p.entries[:0:0]
		for _, e := range p.entries {
			if e.Host != c.Host {
				kept = append(kept, e)
			}
		}
		if p.entries = kept; c.Health != "Gone" {
			p.entries = append(p.entries, c)
		}
		p.h.note("list version %d: %s is %s", p.seq, c.Host, c.Health)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// since returns the changes after a version, and what is closed with the next change.
func (p *platform) since(after int) (l list, changed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l = list{p.seq, false, []entry{}}
	for seq := after + 1; seq <= p.seq; seq++ {
		l.Hosts = append(l.Hosts, p.changes[seq]...)
	}
	return l, p.changed
}

func (p *platform) serveList(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.FormValue("after"))
	answer := p.whole()
	if err == nil && after >= 1 && after <= answer.Seq {
		wait, _ := strconv.Atoi(r.FormValue("wait_ms")) // 0 if absent
		var changed chan struct{}
		if answer, changed = p.since(after); len(answer.Hosts) == 0 {
			select {
			case <-changed:
				answer, _ = p.since(after)
			case <-r.Context().Done():
				return
			case <-time.After(time.Duration(wait) * time.Millisecond):
			}
		}
	}
	text, _ := json.Marshal(answer) // cannot fail for this type
	w.Header().Set("Content-Type", "application/json")
	if !p.chunked {
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	}
	if len(answer.Hosts) > 0 {
		p.h.note("platform answers %s with version %d, whole %v, %d entries", r.URL, answer.Seq, answer.Whole, len(answer.Hosts))
	}
	_, _ = w.Write(text) // fails if the sender has gone
	if p.chunked {
		_ = http.NewResponseController(w).Flush() // fails if the sender has gone
	}
}

func (p *platform) takeNotices(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil || len(text) > maxBodyBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	type notice struct {
		Ref    string `json:"ref"`
		Result string `json:"result"`
		Wait   int    `json:"wait_ms"`
	}
	var all []notice
	for line := range bytes.Lines(text) {
		var n notice
		if json.Unmarshal(line, &n) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		all = append(all, n)
	}
	p.mu.Lock()
	for _, n := range all {
		if p.notices[n.Ref] == "" {
			p.notices[n.Ref], p.at[n.Ref] = n.Result, time.Now()
			p.waits[n.Ref] = time.Duration(n.Wait) * time.Millisecond
			p.h.note("notice for %s: %s, wait %d ms", n.Ref, n.Result, n.Wait)
		}
	}
	p.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// noticeOf returns the first notice of a message, "" if there is none.
func (p *platform) noticeOf(id string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notices[id]
}

// noticedBy reports whether a message had a notice by a time.
func (p *platform) noticedBy(id string, by time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, noticed := p.at[id]
	return noticed && !at.After(by)
}

// waitOf returns the wait that a message's notice told.
func (p *platform) waitOf(id string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waits[id]
}

// item is a message within a call.
type item struct {
	id   string
	body []byte
}

// parseBatch reads the body of a call with several messages.
func parseBatch(body []byte) ([]item, error) {
	var items []item
	for len(body) > 0 {
		head, rest, found := bytes.Cut(body, []byte("\r\n"))
		words := strings.Fields(string(head))
		if !found || len(words) != 3 {
			return nil, fmt.Errorf("bad line %q", head)
		}
		length, err := strconv.Atoi(words[2])
		if err != nil || length < 0 || length+2 > len(rest) || string(rest[length:length+2]) != "\r\n" {
			return nil, fmt.Errorf("bad length in line %q", head)
		}
		items = append(items, item{words[0], rest[:length]})
		body = rest[length+2:]
	}
	return items, nil
}

// client hands messages in to a sender.
type client struct {
	h    *harness
	http http.Client
}

// clientTimeout is how long a client waits for its answer, by the protocol's page.
const clientTimeout = 400 * time.Millisecond

func (h *harness) newClient() *client {
	c := &client{h: h, http: http.Client{
		Timeout:   clientTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 64},
	}}
	h.onClose(c.http.CloseIdleConnections)
	return c
}

// submit hands in a message and returns the status of the answer, 0 for none.
func (c *client) submit(s *sender, class, id string, dest int, deadline time.Duration, body []byte) int {
	req, err := http.NewRequest("POST", "http://"+s.address+"/"+class, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Req-Id", id)
	req.Header.Set("Req-Kind", class)
	req.Header.Set("Req-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Envelope", "dest="+strconv.Itoa(dest))
	resp, err := c.http.Do(req)
	if err != nil {
		c.h.note("client: %s for dest %d, no answer: %v", id, dest, err)
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // the body means nothing
	c.h.note("client: %s for dest %d, %d bytes, answered %d", id, dest, len(body), resp.StatusCode)
	if resp.StatusCode == http.StatusAccepted || resp.StatusCode == http.StatusOK {
		c.h.accepted.Add(1)
	}
	return resp.StatusCode
}
