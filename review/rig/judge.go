// This file owns the checks of the rules, by what clients, endpoints and the platform saw.

package main

import (
	"fmt"
	"sort"
	"time"
)

// The slack of PROTOCOL.md, "The rules on sockets".
const (
	lostAfter    = 500 * time.Millisecond  // after a message's time is up: the longer of the two figures of the pages
	slack        = 50 * time.Millisecond   // every time limit is extended by that
	restartGrace = 1500 * time.Millisecond // after a restarted sender is ready
)

// ending is how a message ended, as seen from outside.
type ending struct {
	at  time.Time
	how string // empty: it has not
}

func endOf(m *message, endpoints []*endpoint, p *platform) ending {
	var end ending
	for _, e := range endpoints {
		e.mu.Lock()
		if at, ok := e.okAt[m.id]; ok && (end.how == "" || at.Before(end.at)) {
			end = ending{at, "delivered"}
		}
		e.mu.Unlock()
	}
	if n, ok := p.noticeOf(m.id); ok && (end.how == "" || n.at.Before(end.at)) {
		end = ending{n.at, "notice " + n.result}
	}
	return end
}

// lost returns the messages that were taken on and have neither been delivered nor ended by a notice in time. No notice is
// overdue before excusedUntil.
func lost(messages []*message, endpoints []*endpoint, p *platform, excusedUntil time.Time) (broken []string) {
	for _, m := range messages {
		if !m.taken() {
			continue
		}
		limit := m.due().Add(lostAfter + slack)
		if limit.Before(excusedUntil) {
			limit = excusedUntil
		}
		switch end := endOf(m, endpoints, p); {
		case end.how == "" && time.Now().After(limit):
			broken = append(broken, fmt.Sprintf("lost: %s (%s) was taken on and has neither been delivered nor ended by a notice; "+
				"its time was up %.2f s ago; calls: %s", m.id, m.class, time.Since(m.due()).Seconds(), callsOf(m, endpoints)))
		case end.how == "":
			broken = append(broken, fmt.Sprintf("case error: %s is not due yet", m.id))
		case end.at.After(limit):
			broken = append(broken, fmt.Sprintf("lost: %s (%s): %s came %.3f s after its time was up", m.id, m.class, end.how,
				end.at.Sub(m.due()).Seconds()))
		}
	}
	return broken
}

// callsOf tells which endpoints read a call for a message.
func callsOf(m *message, endpoints []*endpoint) string {
	text := ""
	for _, e := range endpoints {
		e.mu.Lock()
		if n := len(e.calls[m.id]); n > 0 {
			text += fmt.Sprintf("%d at %s ", n, e.name)
		}
		e.mu.Unlock()
	}
	if text == "" {
		return "none was read"
	}
	return text
}

// doubled returns the messages of a class that took effect more than once.
func doubled(messages []*message, class string, endpoints []*endpoint) (broken []string) {
	for _, m := range messages {
		if m.class != class {
			continue
		}
		var runs []time.Time
		text := ""
		for _, e := range endpoints {
			e.mu.Lock()
			for _, at := range e.runs[m.id] {
				runs = append(runs, at)
				text += fmt.Sprintf("%s at %.3f s; ", e.name, at.Sub(e.w.began).Seconds())
			}
			e.mu.Unlock()
		}
		if len(runs) > 1 {
			broken = append(broken, fmt.Sprintf("duplicate: %s (%s) took effect %d times: %s", m.id, m.class, len(runs), text))
		}
	}
	return broken
}

// summary notes how many messages ended in which way.
func summary(w *world, messages []*message, endpoints []*endpoint, p *platform) {
	count := map[string]int{}
	for _, m := range messages {
		switch {
		case m.taken():
			how := endOf(m, endpoints, p).how
			if how == "" {
				how = "no end"
			}
			count["taken, "+how]++
		case m.status != 0:
			count[fmt.Sprintf("answered %d", m.status)]++
		default:
			count["no answer"]++
		}
	}
	var keys []string
	for k := range count {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		w.note("summary: %s: %d", k, count[k])
	}
}
