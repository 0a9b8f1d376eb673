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
	batchLimit       = 5        // messages in a call, as for the kind bulk-partners
	clumpMessages    = 10       // "about as many as it takes in 1.2 to 3 s"
	clumps           = 3        // in a row
	longMessageBytes = 20 << 10 // under a third of what a body may hold
	longDeadline     = 16 * time.Second
)

// bodyKeeper is an endpoint that serves what the protocol allows and turns away longer bodies.
type bodyKeeper struct {
	h         *harness
	mu        sync.Mutex
	delivered map[string]bool
	tooLong   map[string]int // calls with a body that is too long, by message
	longest   int
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

// playLongBatch hands in messages of 20 KiB, in clumps or, without the trouble, one after another.
func playLongBatch(h *harness, trouble bool) (broken []string, err error) {
	k := &bodyKeeper{h: h, delivered: map[string]bool{}, tooLong: map[string]int{}}
	address, err := h.serve(k)
	if err != nil {
		return nil, err
	}
	p, err := h.newPlatform(false, entry{Host: "s-1", Dial: address, Site: "here", Class: "bulk", Block: 1, Health: "Ready", Share: 20})
	if err != nil {
		return nil, err
	}
	set := depotSettings(1)
	set["extra"].(map[string]any)["batch_by_kind"] = []int{batchLimit}
	s, err := h.newSender("n1", p.address, p.whole(), set)
	if err != nil {
		return nil, err
	}
	if err := s.start(nil); err != nil {
		return nil, err
	}
	c := h.newClient()
	taken := submitClumps(c, s, trouble)
	time.Sleep(longDeadline + time.Second)
	k.mu.Lock()
	defer k.mu.Unlock()
	h.note("longest body of a call: %d bytes; taken on: %d messages, delivered: %d", k.longest, len(taken), len(k.delivered))
	lost := 0
	for _, id := range taken {
		if !k.delivered[id] && k.tooLong[id] > 0 {
			lost++
			h.note("%s was taken on and never delivered: all of its %d calls had too long a body; notice: %q", id, k.tooLong[id], p.noticeOf(id))
		}
	}
	if lost > 0 {
		broken = append(broken, fmt.Sprintf("%d of %d messages that were taken on came only in calls with more than %d bytes "+
			"(up to %d) and were not delivered", lost, len(taken), maxBodyBytes, k.longest))
	}
	return broken, nil
}

// submitClumps hands in the messages and returns the IDs of those that were taken on.
func submitClumps(c *client, s *sender, together bool) (taken []string) {
	body := bytes.Repeat([]byte("x"), longMessageBytes)
	var mu sync.Mutex
	for clump := range clumps {
		var wg sync.WaitGroup
		for n := range clumpMessages {
			id := fmt.Sprintf("m%d-%d", clump, n)
			hand := func() {
				if status := c.submit(s, "order-payment", id, 1, longDeadline, body); status == http.StatusAccepted || status == http.StatusOK {
					mu.Lock()
					taken = append(taken, id)
					mu.Unlock()
				}
			}
			if together {
				wg.Go(hand)
				continue
			}
			hand()
			time.Sleep(800 * time.Millisecond) // longer than a message waits for others to share a call with
		}
		wg.Wait()
		if together {
			time.Sleep(2 * time.Second)
		}
	}
	return taken
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
