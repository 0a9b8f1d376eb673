// This file owns the case of a second copy of a refusal.

package main

import (
	"sync"
	"time"
)

func init() { cases["twice"] = playTwice }

const (
	refusalCopyDelay = 230 * time.Millisecond // a lost segment is sent again after 200 ms and a round trip, or later
	twiceWarmUp      = 9 * time.Second
	otherBurst       = 12 // calls of other senders
	sinceBurst       = 215 * time.Millisecond
)

// station is an endpoint that serves some calls at once and lets some wait, of this sender and of others.
type station struct {
	workers chan struct{}
	mu      sync.Mutex
	inside  int // calls served or waiting
	room    int
}

func newStation(workers, queue int) *station {
	return &station{workers: make(chan struct{}, workers), room: workers + queue}
}

// enter takes a place; false if the queue is full.
func (s *station) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inside >= s.room {
		return false
	}
	s.inside++
	return true
}

// serve waits for a worker and works. enter must have been called before. It returns false, without having begun, if gone is
// closed while the call waits.
func (s *station) serve(work time.Duration, gone <-chan struct{}, done func()) bool {
	defer func() {
		s.mu.Lock()
		s.inside--
		s.mu.Unlock()
	}()
	select {
	case <-gone:
		return false
	case s.workers <- struct{}{}:
	}
	time.Sleep(work)
	done()
	<-s.workers
	return true
}

// playTwice: a payment comes to a partner system whose queue is full, as other senders have just sent it a clump. It is turned
// away with 503 and a second copy directly behind, which the network brings a little later. It is sent again, waits in the
// queue, and runs.
func playTwice(w *world) ([]string, error) {
	const deadline = 16 * time.Second
	serve := func(c *call) {
		time.Sleep(w.workTime(c.ids[0]))
		c.deliver()
	}
	busy := newStation(3, 9)
	pace := func(id string) time.Duration { return w.workTime(id) * 3 / 2 } // a partner system of less than usual pace
	var once sync.Once
	serveBusy := func(c *call) {
		if !busy.enter() {
			c.refuse()
			if w.trouble != "0" {
				once.Do(func() { c.copyBehind(503, refusalCopyDelay) })
			}
			return
		}
		w.note("endpoint %s conn %d: %v waits in its queue", c.endpoint.name, c.connNo, c.ids)
		busy.serve(pace(c.ids[0]), nil, c.deliver) // a call that was given up runs on here
	}
	var endpoints []*endpoint
	var entries []entry
	for i, s := range []func(*call){serve, serve, serve, serve, serveBusy} {
		e, err := w.startEndpoint("e-"+string(rune('a'+i)), i+1, s)
		if err != nil {
			return nil, err
		}
		endpoints = append(endpoints, e)
		entries = append(entries, e.entry("brierley-hill", "all-partners", 20))
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
		// 20 a second, a quarter of them for each of the destinations 1 to 4.
		for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
			clients.start(w.drawClass(), 1+n%4, deadline, []byte("hello"))
			time.Sleep(w.between(25*time.Millisecond, 75*time.Millisecond))
		}
	}
	handIn(twiceWarmUp)
	w.note("%d calls of other senders come to endpoint e-e at once", otherBurst)
	for range otherBurst {
		if busy.enter() {
			go busy.serve(pace("p"), nil, func() {})
		}
	}
	time.Sleep(sinceBurst) // the queue is still full
	clients.start("order-payment", 5, deadline, []byte("pay once"))
	handIn(5 * time.Second)
	clients.wg.Wait()
	time.Sleep(deadline + lostAfter + slack + 200*time.Millisecond)
	messages := clients.all()
	summary(w, messages, endpoints, p)
	for _, l := range s.logLines(`unasked|not reused|contradicted`) {
		w.note("sender's log: %s", l)
	}
	broken := doubled(messages, "order-payment", endpoints)
	return append(broken, lost(messages, endpoints, p, time.Time{})...), nil
}
