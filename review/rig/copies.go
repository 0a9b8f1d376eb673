// This file owns the case of a second copy of an answer before a silence.

package main

import (
	"sync/atomic"
	"time"
)

func init() { cases["copies"] = playCopies }

// Figures of the case.
const (
	copyDelay    = 200 * time.Millisecond // a lost segment is sent again after that on a real network
	silence      = 10 * time.Second       // of 8.2 to 14 s
	copiesWarmUp = 9 * time.Second
)

// strikes are the states of the endpoint that is struck.
const (
	usual  = iota
	struck // the next answer on a connection that has carried others is the last one before the silence
	silent // out of reach
	isBack
)

// playCopies: an endpoint answers a call with 200 and a second copy directly behind, which the network brings a little
// later; then it goes silent. The call that is written meanwhile on that connection never reaches it. With trouble "copy" the
// endpoint does not go silent, with "silence" there is no copy.
func playCopies(w *world) ([]string, error) {
	const deadline = 16 * time.Second
	var state atomic.Int32
	var silentFrom, silentTo atomic.Int64
	serve := func(c *call) {
		time.Sleep(w.workTime(c.ids[0]))
		c.deliver()
	}
	serveStruck := func(c *call) {
		if state.Load() == silent && c.at.UnixNano() >= silentFrom.Load() {
			// Out of reach: it has read nothing. The connection ends as the machine is back.
			w.note("endpoint %s conn %d: out of reach, the call of %v is not read there", c.endpoint.name, c.connNo, c.ids)
			c.rest(time.Until(time.Unix(0, silentTo.Load())))
			c.link.Close()
			return
		}
		time.Sleep(w.workTime(c.ids[0]))
		c.deliver()
		if c.first || !state.CompareAndSwap(struck, silent) {
			return
		}
		now := time.Now()
		if w.trouble != "copy" {
			silentFrom.Store(now.UnixNano())
			silentTo.Store(now.Add(silence).UnixNano())
			time.AfterFunc(silence, func() { state.Store(isBack) })
			w.note("endpoint %s is silent for %v from here on", c.endpoint.name, silence)
		} else {
			state.Store(isBack)
		}
		if w.trouble != "silence" {
			c.copyBehind(200, copyDelay)
		}
	}
	var endpoints []*endpoint
	var entries []entry
	for i, s := range []func(*call){serveStruck, serve, serve, serve} {
		e, err := w.startEndpoint("e-"+string(rune('a'+i)), i+1, s)
		if err != nil {
			return nil, err
		}
		endpoints = append(endpoints, e)
		entries = append(entries, e.entry("all-partners", 20))
	}
	p, err := w.startPlatform(entries)
	if err != nil {
		return nil, err
	}
	s, err := w.addSender("n1", setup{
		senders: 2, slots: 8, maxOpen: 140, attempts: 12, classes: depotClasses(deadline),
		kinds: []string{"bulk-partners", "all-partners"}, batch: []int{5, 1}, sockets: 1024, memoryMB: 192, diskMB: 3,
		weights: "rough", retry: true,
	}, p.addr(), p.list())
	if err != nil {
		return nil, err
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	clients := w.newClients(s.listen)
	handIn := func(length time.Duration) {
		// 20 a second, a quarter of them for each destination.
		for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
			clients.start(w.drawClass(), 1+n%4, deadline, []byte("hello"))
			time.Sleep(w.between(25*time.Millisecond, 75*time.Millisecond))
		}
	}
	handIn(copiesWarmUp)
	if w.trouble != "0" {
		state.Store(struck)
	}
	handIn(silence + 3*time.Second)
	clients.wg.Wait()
	time.Sleep(deadline + lostAfter + slack + 200*time.Millisecond)
	messages := clients.all()
	summary(w, messages, endpoints, p)
	for _, l := range s.logLines(`unasked|not reused|contradicted`) {
		w.note("sender's log: %s", l)
	}
	broken := lost(messages, endpoints, p, time.Time{})
	return append(broken, doubled(messages, "order-payment", endpoints)...), nil
}
