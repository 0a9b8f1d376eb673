// This file plays case 10: endpoints are replaced while discovery sends its lists in chunks.

package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases[10] = playChunkedList }

// Figures of case 10.
const (
	chunkedGrace = 500*time.Millisecond + 50*time.Millisecond // of a drain, with the slack of every time limit
	// chunkedTold is the latest time after a change at which it counts as told.
	chunkedTold     = 6 * time.Second
	chunkedMessages = 80
	chunkedEvery    = 400 * time.Millisecond
	chunkedDrainAt  = 15 // messages
	chunkedGoneAt   = 23 // messages: 3.2 s later
)

// tenancy is an address at which one endpoint after another stands. It serves all calls and notes for whom they were.
type tenancy struct {
	h    *harness
	name string
	mu   sync.Mutex
	at   []time.Time // of calls for destination 1
}

func (n *tenancy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("Req-Id")
	n.mu.Lock()
	if strings.HasPrefix(id, "d1-") {
		n.at = append(n.at, time.Now())
	}
	n.mu.Unlock()
	n.h.note("address %s: %s", n.name, id)
	w.Header().Set("Content-Length", "0")
}

// later counts the calls for destination 1 that came after a time.
func (n *tenancy) later(t time.Time) (count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, at := range n.at {
		if at.After(t) {
			count++
		}
	}
	return count
}

// playChunkedList drains one of the two endpoints of destination 1, ends it 3.2 s later, and lists an endpoint of destination
// 2 at its address and another one of destination 1 elsewhere.
func playChunkedList(h *harness, trouble bool) (broken []string, err error) {
	var addresses []*tenancy
	var entries []entry
	for n := range 3 {
		a := &tenancy{h: h, name: "a-" + strconv.Itoa(n)}
		dial, err := h.serve(a)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, a)
		entries = append(entries, entry{Host: "s-" + strconv.Itoa(n), Dial: dial, Site: "here", Class: "bulk", Block: 1, Health: "Ready", Share: 20})
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
	drainedAt, goneAt := time.Now().Add(time.Hour), time.Now().Add(time.Hour)
	for n := range chunkedMessages {
		switch {
		case n == chunkedDrainAt && trouble:
			draining := entries[0]
			draining.Health = "Terminating"
			p.change(draining, entries[2])
			drainedAt = time.Now()
		case n == chunkedGoneAt && trouble:
			gone, next := entries[0], entries[0]
			gone.Health, next.Host, next.Block = "Gone", "s-3", 2
			p.change(gone, next)
			goneAt = time.Now()
		}
		c.submit(s, "stock-status", "d1-"+strconv.Itoa(n), 1, 16*time.Second, []byte("stock of destination 1"))
		time.Sleep(chunkedEvery)
	}
	if late := addresses[0].later(drainedAt.Add(chunkedTold + chunkedGrace)); late > 0 {
		broken = append(broken, fmt.Sprintf("%d new calls came later than %v after the endpoint there was listed as draining", late, chunkedTold+chunkedGrace))
	}
	if foreign := addresses[0].later(goneAt.Add(chunkedTold + chunkedGrace)); foreign > 0 {
		broken = append(broken, fmt.Sprintf("%d messages of destination 1 came to the endpoint of destination 2, later than %v after it was listed", foreign, chunkedTold+chunkedGrace))
	}
	return broken, nil
}
