// This file owns the stand-in for the platform: the list of endpoints and the notices, as PROTOCOL.md describes them.

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is one endpoint in the list.
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

// notice is one notice and when it came.
type notice struct {
	at     time.Time
	result string
}

// platform is discovery and the receiver of notices.
type platform struct {
	w  *world
	ln net.Listener

	mu      sync.Mutex
	seq     int
	entries []entry
	history map[int][]entry // what changed with a version
	changed chan struct{}
	notices map[string]notice // the first for each message
}

func (w *world) startPlatform(entries []entry) (*platform, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{w: w, ln: ln, seq: 1, entries: entries, history: map[int][]entry{},
		changed: make(chan struct{}), notices: map[string]notice{}}
	go http.Serve(ln, p)
	return p, nil
}

func (p *platform) addr() string { return p.ln.Addr().String() }

func (p *platform) list() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	return map[string]any{"seq": p.seq, "whole": true, "hosts": append([]entry{}, p.entries...)}
}

// ServeHTTP implements http.Handler.
func (p *platform) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	switch {
	case req.Method == "POST" && req.URL.Path == "/status":
		p.takeNotices(rw, req)
	case req.Method == "GET" && req.URL.Path == "/registry/instances":
		p.answerList(rw, req)
	default:
		rw.WriteHeader(404)
	}
}

func (p *platform) takeNotices(rw http.ResponseWriter, req *http.Request) {
	at := time.Now()
	sc := bufio.NewScanner(req.Body)
	for sc.Scan() {
		if len(bytes.TrimSpace(sc.Bytes())) == 0 {
			continue
		}
		var line struct{ Ref, Result string }
		if json.Unmarshal(sc.Bytes(), &line) != nil || line.Ref == "" {
			rw.WriteHeader(400)
			return
		}
		p.mu.Lock()
		if _, known := p.notices[line.Ref]; !known {
			p.notices[line.Ref] = notice{at, line.Result}
		}
		p.mu.Unlock()
		p.w.noteAt(at, "notice %s %s", line.Ref, line.Result)
	}
	rw.WriteHeader(204)
}

func (p *platform) noticeOf(id string) (notice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, known := p.notices[id]
	return n, known
}

func (p *platform) answerList(rw http.ResponseWriter, req *http.Request) {
	after, err := strconv.Atoi(req.URL.Query().Get("after"))
	if err != nil {
		json.NewEncoder(rw).Encode(p.list())
		return
	}
	waitMS, _ := strconv.Atoi(req.URL.Query().Get("wait_ms"))
	p.mu.Lock()
	upToDate, changed := after == p.seq, p.changed
	p.mu.Unlock()
	if upToDate {
		select {
		case <-changed:
		case <-time.After(time.Duration(waitMS) * time.Millisecond):
		}
	}
	p.mu.Lock()
	seq := p.seq
	hosts := []entry{}
	for v := after + 1; v <= seq; v++ {
		hosts = append(hosts, p.history[v]...)
	}
	p.mu.Unlock()
	if after > seq || after < 1 {
		json.NewEncoder(rw).Encode(p.list())
		return
	}
	json.NewEncoder(rw).Encode(map[string]any{"seq": seq, "whole": false, "hosts": hosts})
}
