// This file plays case 6: messages that together are longer than a body may be.

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases[6] = playLongBatch }

// Figures of case 6.
const (
	batchLimit       = 5  // messages in a call, as for the kind bulk-partners
	clumpRate        = 5  // calls a second, as listed
	clumpMessages    = 10 // what it takes in 2 s
	clumps           = 3  // in a row
	clumpEvery       = 6 * time.Second
	longMessageBytes = 30 << 10 // less than half of what a body may hold
	longDeadline     = 16 * time.Second

	batchOthers   = 4
	otherMessages = 180 // so that a seventh of all messages comes in clumps
	otherEvery    = 110 * time.Millisecond

	maxTries   = 4 // "hand a message in again up to 3 times"
	minBackoff = 390 * time.Millisecond
	maxBackoff = 1400 * time.Millisecond
)

// bodyKeeper is an endpoint that serves what the protocol allows and turns away longer bodies.
type bodyKeeper struct {
	h         *harness
	mu        sync.Mutex
	delivered map[string]bool
	tooLong   map[string]int // calls with a body that is too long, by message
	returned  map[string]int // bounced notices, by message without the number of the try
	longest   int
}

func newBodyKeeper(h *harness) *bodyKeeper {
	return &bodyKeeper{h: h, delivered: map[string]bool{}, tooLong: map[string]int{}, returned: map[string]int{}}
}

func (k *bodyKeeper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	items := []item{{id: r.Header.Get("Req-Id")}}
	if r.URL.Path == "/receive-many" {
		if items, err = parseBatch(body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	var ids []string
	for _, i := range items {
		ids = append(ids, i.id)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.longest = max(k.longest, len(body))
	if len(body) > maxBodyBytes {
		for _, id := range ids {
			k.tooLong[id]++
		}
		k.h.note("endpoint: %s with %d messages and a body of %d bytes, answered 413: %v", r.URL.Path, len(ids), len(body), ids)
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	var answer strings.Builder
	for _, id := range ids {
		k.delivered[id] = true
		if r.URL.Path == "/receive-many" {
			fmt.Fprintf(&answer, "%s accepted\r\n", id)
		}
	}
	k.h.note("endpoint: %s with %d messages and a body of %d bytes, delivered: %v", r.URL.Path, len(ids), len(body), ids)
	w.Header().Set("Content-Length", strconv.Itoa(answer.Len()))
	_, _ = io.WriteString(w, answer.String()) // fails if the sender has gone
}

// playLongBatch hands in messages of 30 KiB, in clumps or, without the trouble, one after another. Clients hand in again
// what is refused or bounced, up to three times.
func playLongBatch(h *harness, trouble bool) (broken []string, err error) {
	k := newBodyKeeper(h)
	address, err := h.serve(k)
	if err != nil {
		return nil, err
	}
	entries := []entry{{Host: "s-1", Dial: address, Site: "here", Class: "bulk", Block: 1, Health: "Ready", Share: clumpRate}}
	for n := range batchOthers {
		name := "s-" + strconv.Itoa(2+n)
		dial, err := h.serve(&tenancy{h: h, name: name})
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry{Host: name, Dial: dial, Site: "here", Class: "all", Block: 2 + n, Health: "Ready", Share: 5})
	}
	p, err := h.newPlatform(false, entries...)
	if err != nil {
		return nil, err
	}
	set := depotSettings(2)
	set["flavors"] = []string{"bulk", "all"}
	set["extra"] = map[string]any{"batch_by_kind": []int{batchLimit, 1}, "late": "halving", "routes_apart": []bool{false, false}, "slots": 10}
	s, err := h.newSender("n1", p.address, p.whole(), set)
	if err != nil {
		return nil, err
	}
	if err := s.start(nil); err != nil {
		return nil, err
	}
	c := h.newClient()
	var all sync.WaitGroup
	all.Go(func() {
		for n := range otherMessages { // for other systems, one by one
			c.submit(s, "stock-status", "o"+strconv.Itoa(n), 2+n%batchOthers, longDeadline, []byte("stock"))
			time.Sleep(otherEvery)
		}
	})
	for clump := range clumps {
		for n := range clumpMessages {
			all.Go(func() { handInUntilDelivered(c, s, p, k, fmt.Sprintf("m%d-%d", clump, n)) })
			if !trouble {
				time.Sleep(800 * time.Millisecond) // longer than a message waits for others to share a call with
			}
		}
		if trouble {
			time.Sleep(clumpEvery)
		}
	}
	all.Wait()
	return k.undelivered(), nil
}

// handInUntilDelivered hands in a message, and again up to three times when it is refused or comes back with a notice.
func handInUntilDelivered(c *client, s *sender, p *platform, k *bodyKeeper, name string) {
	body := bytes.Repeat([]byte("x"), longMessageBytes)
	backoff := minBackoff
	for try := range maxTries {
		id := fmt.Sprintf("%s-%d", name, try)
		wait := time.Duration(0)
		status := c.submit(s, "order-payment", id, 1, longDeadline, body)
		if status == http.StatusAccepted || status == http.StatusOK {
			ended := time.Now().Add(longDeadline + time.Second)
			for p.noticeOf(id) == "" && !k.has(id) && time.Now().Before(ended) {
				time.Sleep(5 * time.Millisecond)
			}
			if p.noticeOf(id) != "bounced" {
				return
			}
			wait = p.waitOf(id)
			k.bounced(name)
		}
		time.Sleep(max(wait, backoff+time.Duration(chance.below(int(backoff)))))
		backoff = min(2*backoff, maxBackoff)
	}
}

// has reports whether a message has been delivered.
func (k *bodyKeeper) has(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.delivered[id]
}

// bounced counts a message that was taken on and came back with a notice.
func (k *bodyKeeper) bounced(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.returned[name]++
}

// undelivered returns what was broken: messages that never came in a call that keeps the limit.
func (k *bodyKeeper) undelivered() (broken []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	lost := 0
	for name, times := range k.returned {
		delivered := false
		calls := 0
		for try := range maxTries {
			id := fmt.Sprintf("%s-%d", name, try)
			delivered = delivered || k.delivered[id]
			calls += k.tooLong[id]
		}
		if !delivered && times == maxTries {
			lost++
			k.h.note("%s was taken on %d times and never delivered: %d calls, all with too long a body", name, times, calls)
		}
	}
	k.h.note("longest body of a call: %d bytes; messages: %d; returned at least once: %d; never delivered: %d",
		k.longest, clumps*clumpMessages, len(k.returned), lost)
	if lost > 0 {
		broken = append(broken, fmt.Sprintf("%d of %d messages were taken on and bounced %d times each and never delivered, as they "+
			"were sent only in calls with more than %d bytes (up to %d); %d came back at least once",
			lost, clumps*clumpMessages, maxTries, maxBodyBytes, k.longest, len(k.returned)))
	}
	return broken
}

// depotSettings returns settings like those of a small deployment, for so many senders.
func depotSettings(senders int) map[string]any {
	return map[string]any{
		"allowed": map[string]any{
			"connect_timeout_us": 1000000, "keepalive_us": 10000000, "max_attempts": 12, "max_open": 100,
			"max_retry_after_us": 3000000, "may_cancel": true, "peers": false, "retry_after": true,
		},
		"az": 0, "balancers": senders,
		"extra":   map[string]any{"batch_by_kind": []int{1}, "late": "halving", "routes_apart": []bool{false}, "slots": 10},
		"flavors": []string{"bulk"}, "over_share_worth": 0.1, "parties": []any{}, "registry_mode": "push",
		"request_classes": []any{
			map[string]any{"name": "stock-status", "effect": "idempotent", "goal_time_us": 2500000, "deadline_us": 16000000,
				"late_worth": 0.4, "worth": 2},
			map[string]any{"name": "order-payment", "effect": "at_most_once", "goal_time_us": 2500000, "deadline_us": 16000000,
				"late_worth": 0.4, "worth": 1},
		},
		"safety": map[string]any{"cold_share": 0.2, "drain_grace_us": 500000, "fall_us": 2000000, "grace_to_answer_us": 20000,
			"overload_factor": 2.0, "warm_up_us": 10000000},
		"tick_us": 5000, "weights": "rough", "zones": []string{"here"},
	}
}
