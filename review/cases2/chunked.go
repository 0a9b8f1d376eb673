// This file plays case 10: endpoints are replaced while discovery sends its lists in chunks.

package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases[10] = playChunkedList }

// Figures of case 10.
const (
	chunkedGrace = 500*time.Millisecond + 50*time.Millisecond // of a drain, with the slack of every time limit
	// chunkedTold is the latest time after a change at which it counts as told.
	chunkedTold     = 6 * time.Second
	chunkedMessages = 60
	chunkedEvery    = 400 * time.Millisecond
	chunkedChangeAt = 20 // messages
)

// callNoter is an endpoint that serves all calls and notes when they came.
type callNoter struct {
	h    *harness
	name string
	mu   sync.Mutex
	at   []time.Time
}

func (n *callNoter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	n.mu.Lock()
	n.at = append(n.at, time.Now())
	n.mu.Unlock()
	n.h.note("endpoint %s: %s, delivered", n.name, r.Header.Get("Req-Id"))
	w.Header().Set("Content-Length", "0")
}

// playChunkedList drains one of two endpoints and lists another one in its place.
func playChunkedList(h *harness, trouble bool) (broken []string, err error) {
	var noters []*callNoter
	var entries []entry
	for n := range 3 {
		noter := &callNoter{h: h, name: "s-" + strconv.Itoa(n)}
		address, err := h.serve(noter)
		if err != nil {
			return nil, err
		}
		noters = append(noters, noter)
		entries = append(entries, entry{Host: noter.name, Dial: address, Site: "here", Class: "bulk", Block: 1, Health: "Ready", Share: 20})
	}
	p, err := h.newPlatform(true, entries[:2]...)
	if err != nil {
		return nil, err
	}
	s, err := h.newSender("n1", p.address, p.whole(), depotSettings(1))
	if err != nil {
		return nil, err
	}
	if err := s.start(nil); err != nil {
		return nil, err
	}
	c := h.newClient()
	changedAt := time.Now().Add(time.Hour)
	for n := range chunkedMessages {
		if n == chunkedChangeAt && trouble {
			draining := entries[0]
			draining.Health = "Terminating"
			p.change(draining, entries[2])
			changedAt = time.Now()
		}
		c.submit(s, "stock-status", "m"+strconv.Itoa(n), 1, 16*time.Second, []byte("stock"))
		time.Sleep(chunkedEvery)
	}
	late := 0
	noters[0].mu.Lock()
	defer noters[0].mu.Unlock()
	for _, at := range noters[0].at {
		if at.Sub(changedAt) > chunkedTold+chunkedGrace {
			late++
		}
	}
	if late > 0 {
		broken = append(broken, fmt.Sprintf("%d new calls came to an endpoint later than %v after it was listed as draining", late, chunkedTold+chunkedGrace))
	}
	return broken, nil
}
