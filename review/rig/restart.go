// This file owns the case of a sender that is killed while endpoints hang.

package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

func init() { cases["restart"] = playRestart }

// playRestart: four in ten endpoints hang for 18 s. Nine seconds into that the sender is killed, and started again 0.6 s later.
func playRestart(w *world) ([]string, error) {
	const (
		deadline = 12 * time.Second
		hang     = 18 * time.Second
		killAt   = 9 * time.Second // after the hang began
		down     = 600 * time.Millisecond
		rate     = 28 // messages a second; full load is 24
	)
	var hangsTo atomic.Int64
	serve := func(c *call) {
		time.Sleep(w.workTime(c.ids[0]))
		c.deliver()
	}
	serveHung := func(c *call) {
		if until := time.Unix(0, hangsTo.Load()); c.at.Before(until) {
			time.Sleep(time.Until(until)) // a call that was given up may run on
		}
		serve(c)
	}
	var endpoints []*endpoint
	var entries []entry
	for i, s := range []func(*call){serveHung, serveHung, serve, serve, serve} {
		e, err := w.startEndpoint("e-"+string(rune('a'+i)), i+1, s)
		if err != nil {
			return nil, err
		}
		endpoints = append(endpoints, e)
		entries = append(entries, e.entry("brierley-hill", "all-partners", 12))
	}
	p, err := w.startPlatform(entries)
	if err != nil {
		return nil, err
	}
	s, err := w.addSender("n1", depot(deadline), p.addr(), p.list())
	if err != nil {
		return nil, err
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	clients := w.newClients(s.listen)
	handIn := func(length time.Duration) {
		for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
			clients.start(w.drawClass(), 1+n%5, deadline, []byte("hello"))
			time.Sleep(time.Second / rate)
		}
	}
	handIn(5 * time.Second)
	var killed, ready time.Time
	if w.trouble != "0" {
		hangsTo.Store(time.Now().Add(hang).UnixNano())
		w.note("endpoints e-a and e-b hang for %v", hang)
		handIn(killAt)
		killed = time.Now()
		s.kill()
		clients.closeIdle()
		time.Sleep(down)
		if err := s.start(); err != nil {
			return nil, err
		}
		ready = time.Now()
	} else {
		handIn(killAt)
	}
	handIn(hang - killAt + 4*time.Second)
	clients.wg.Wait()
	time.Sleep(deadline + time.Second)
	messages := clients.all()
	summary(w, messages, endpoints, p)
	var excused time.Time
	if w.trouble != "0" {
		excused = ready.Add(restartGrace)
	}
	broken := lost(messages, endpoints, p, excused)
	broken = append(broken, doubled(messages, "order-payment", endpoints)...)
	if w.trouble == "0" {
		return broken, nil
	}
	return append(broken, givenUpUntried(w, messages, endpoints, p, killed, ready)...), nil
}

// givenUpUntried checks the rule of STANDING.md on what a restart found untried. A message counts as given up early if its
// notice came before seven tenths of its time, with no call before.
func givenUpUntried(w *world, messages []*message, endpoints []*endpoint, p *platform, killed, ready time.Time) (broken []string) {
	type tally struct{ found, givenUp int }
	var all, unsafe tally
	for _, m := range messages {
		if !m.taken() || !m.over.Before(killed) || m.due().Sub(ready) < m.deadline/2 {
			continue
		}
		if end := endOf(m, endpoints, p); end.how != "" && end.at.Before(killed) {
			continue
		}
		var firstCall time.Time
		for _, e := range endpoints {
			e.mu.Lock()
			if c := e.calls[m.id]; len(c) > 0 && (firstCall.IsZero() || c[0].Before(firstCall)) {
				firstCall = c[0]
			}
			e.mu.Unlock()
		}
		if !firstCall.IsZero() && firstCall.Before(killed) {
			continue
		}
		n, noticed := p.noticeOf(m.id)
		age := n.at.Sub(m.sentAt)
		early := noticed && firstCall.IsZero() && age < m.deadline*7/10
		for _, t := range []*tally{&all, &unsafe} {
			if t == &unsafe && m.class != "order-payment" {
				continue
			}
			t.found++
			if early {
				t.givenUp++
			}
		}
		if early {
			w.note("%s (%s), found untried with %.1f s left: notice %s at an age of %.1f s of %v, no call", m.id, m.class,
				m.due().Sub(ready).Seconds(), n.result, age.Seconds(), m.deadline)
		}
	}
	for what, t := range map[string]tally{"all": all, "those that may not simply be repeated": unsafe} {
		text := fmt.Sprintf("%d of %d messages (%s) that the restart found untried, with half of their time left, were given up "+
			"early with no call", t.givenUp, t.found, what)
		w.note("%s", text)
		if 2*t.givenUp > t.found {
			broken = append(broken, text)
		}
	}
	return broken
}
