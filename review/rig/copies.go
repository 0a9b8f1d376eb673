// This file owns the case of second copies of two answers.

package main

import (
	"math"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["copies"] = playCopies }

const (
	answerCopyDelay = 200 * time.Millisecond // a lost segment is sent again after that on a real network
	copiesWarmUp    = 8 * time.Second
	otherCalls      = 11 // of other senders, at once
)

// lognormal draws a time of the given mean and coefficient of variation.
func (w *world) lognormal(mean time.Duration, cv float64) time.Duration {
	sigma := math.Sqrt(math.Log(1 + cv*cv))
	w.mu.Lock()
	x := w.random.NormFloat64()
	w.mu.Unlock()
	return time.Duration(float64(mean) * math.Exp(sigma*x-sigma*sigma/2))
}

// playCopies: a hub answers two calls with 200 and a second copy directly behind each, which the network brings a little later.
// A payment that comes just then waits in the hub's queue, behind calls of other senders.
func playCopies(w *world) ([]string, error) {
	const (
		zone     = "north-hall"
		deadline = 16 * time.Second
		work     = 250 * time.Millisecond
	)
	serve := func(c *call) {
		time.Sleep(min(w.lognormal(work, 0.3), 2*work))
		c.deliver()
	}
	hub := newStation(3, 9)
	var copies atomic.Int32
	serveHub := func(c *call) {
		name := strings.Join(c.ids, ",")
		if !hub.enter() {
			c.refuse()
			return
		}
		if !hub.serve(work, c.gone, c.deliver) {
			w.note("endpoint %s conn %d: %s was given up while it waited, and is dropped", c.endpoint.name, c.connNo, name)
			return
		}
		if w.trouble != "0" && copies.Add(1) <= 2 {
			c.copyBehind(200, answerCopyDelay)
		}
	}
	var endpoints []*endpoint
	var entries []entry
	for i, s := range []func(*call){serve, serve, serve, serve, serveHub} {
		e, err := w.startEndpoint("e-"+string(rune('a'+i)), i+1, s)
		if err != nil {
			return nil, err
		}
		endpoints = append(endpoints, e)
		kind := "club"
		if i == 4 {
			kind = "hub"
		}
		entries = append(entries, e.entry(zone, kind, 1))
	}
	p, err := w.startPlatform(entries)
	if err != nil {
		return nil, err
	}
	s, err := w.addSender("n1", ljubljana(), p.addr(), p.list())
	if err != nil {
		return nil, err
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	clients := w.newClients(s.listen)
	handIn := func(length time.Duration) {
		// 20 a second, a quarter of them for each of the destinations 1 to 4.
		for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
			if w.draw() < 0.5 {
				clients.start("standings", 1+n%4, 6*time.Second, []byte("hello"))
			} else {
				clients.start("payment", 1+n%4, deadline, []byte("hello"))
			}
			time.Sleep(w.between(25*time.Millisecond, 75*time.Millisecond))
		}
	}
	handIn(copiesWarmUp)
	// These three have been handed in before, elsewhere, and have a little less of their time left. So they need not wait for
	// others to share a call with.
	clients.start("standings", 5, 5500*time.Millisecond, []byte("hello"))
	time.Sleep(30 * time.Millisecond)
	clients.start("standings", 5, 5500*time.Millisecond, []byte("hello"))
	time.Sleep(270 * time.Millisecond)
	w.note("%d calls of other senders come to endpoint e-e at once", otherCalls)
	for range otherCalls {
		if hub.enter() {
			go hub.serve(w.between(210*time.Millisecond, 360*time.Millisecond), nil, func() {})
		}
	}
	time.Sleep(30 * time.Millisecond)
	clients.start("payment", 5, 14*time.Second, []byte("pay"))
	handIn(5 * time.Second)
	clients.wg.Wait()
	time.Sleep(deadline + lostAfter + slack + 200*time.Millisecond)
	messages := clients.all()
	summary(w, messages, endpoints, p)
	for _, l := range s.logLines(`unasked|not reused|contradicted`) {
		w.note("sender's log: %s", l)
	}
	broken := lost(messages, endpoints, p, time.Time{})
	return append(broken, doubled(messages, "payment", endpoints)...), nil
}
