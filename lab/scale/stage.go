// This file owns what stands during one step: discovery, destinations, senders of both sorts, changes and traffic. Everything
// that a stage starts has ended when close returns.

package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"eiderhaven/internal/settings"
	"eiderhaven/rules"
	"eiderhaven/standin/platform"
)

// site is a part of this machine's loopback addresses that no other run uses: one address each for gates, senders and
// destinations, so that no port of theirs is taken by a connection that goes out, and a listener that ends can come back.
type site struct {
	claim                              net.Listener
	gates, senders, destinations, none string
}

const claimPort = 19999

func newSite(seed uint64) (*site, error) {
	rng := rand.New(rand.NewPCG(seed, uint64(time.Now().UnixNano())))
	var err error
	for range 100 {
		net24 := fmt.Sprintf("127.%d.%d.", 64+rng.IntN(128), 1+rng.IntN(254))
		var claim net.Listener
		if claim, err = net.Listen("tcp", fmt.Sprintf("%s1:%d", net24, claimPort)); err == nil {
			return &site{claim, net24 + "2", net24 + "3", net24 + "4", net24 + "5"}, nil
		}
	}
	return nil, fmt.Errorf("no loopback addresses beside 127.0.0.1 to listen on: %w", err)
}

// stage is what stands during a step.
type stage struct {
	plan    *Plan
	shape   shape
	site    *site
	dir     string
	disc    *discovery
	dests   *destinations
	book    *book
	set     *rules.Settings
	names   *settings.Names
	senders []*sender
	hollow  []*hollow
	gates   []*gate // the real senders' first

	ctx    context.Context
	cancel context.CancelCauseFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	current map[int]platform.Entry // by destination, where it is not the first endpoint
	leaving map[int]platform.Entry
	order   []int // destinations in the order in which they change
	next    int
	shut    int   // zone whose destinations do not change now, as they cannot be reached; negative for none
	down    []int // destinations that are down all along
}

func newStage(ctx context.Context, r *run, s shape) (st *stage, err error) {
	st = &stage{plan: r.plan, shape: s, site: r.site, book: newBook(), shut: -1, current: map[int]platform.Entry{}, leaving: map[int]platform.Entry{}}
	st.ctx, st.cancel = context.WithCancelCause(ctx)
	defer func() {
		if err != nil {
			st.close()
		}
	}()
	if st.dir, err = os.MkdirTemp("", "eiderlab-scale"); err != nil {
		return st, err
	}
	text, err := json.Marshal(settingsFor(r.plan, s))
	if err != nil {
		return st, err
	}
	if st.set, st.names, err = settings.DecodeChecked(text, r.plan.Seed); err != nil {
		return st, err
	}
	if st.dests, err = newDestinations(r.site.destinations, r.site.none, r.plan.Base.ListedRate, st.book.arrived); err != nil {
		return st, err
	}
	st.disc = newDiscovery(st.entries(), st.book.noticed)
	for i := range s.real + s.hollow {
		g, err := newGate(st.disc, fmt.Sprintf("%s:%d", r.site.gates, 20000+i))
		if err != nil {
			return st, err
		}
		st.gates = append(st.gates, g)
	}
	for i := range s.real {
		one, err := newSender(r.plan, s, i, r.starter, r.program, st.dir, fmt.Sprintf("%s:%d", r.site.senders, 20000+i), st.gates[i])
		if err != nil {
			return st, err
		}
		st.senders = append(st.senders, one)
	}
	return st, nil
}

// entries is the first list. Destinations that are down lie evenly among the others.
func (st *stage) entries() []platform.Entry {
	n := st.shape.destinations
	every := n
	if st.shape.down > 0 {
		every = n / st.shape.down
	}
	list := make([]platform.Entry, n)
	for i := range list {
		down := len(st.down) < st.shape.down && i%every == every-1
		if down {
			st.down = append(st.down, i)
		} else {
			st.order = append(st.order, i)
		}
		list[i] = st.dests.entry(i, 0, fmt.Sprintf("s-%08x", i), down)
	}
	rng := rand.New(rand.NewPCG(st.plan.Seed, 3))
	rng.Shuffle(len(st.order), func(i, j int) { st.order[i], st.order[j] = st.order[j], st.order[i] })
	return list
}

// close ends all of it.
func (st *stage) close() {
	st.cancel(errors.New("the step is over"))
	for _, s := range st.senders {
		s.kill()
	}
	var wg sync.WaitGroup
	for _, h := range st.hollow {
		wg.Go(h.stop)
	}
	for _, g := range st.gates {
		wg.Go(g.down)
	}
	wg.Wait()
	st.wg.Wait()
	if st.dests != nil {
		st.dests.close()
	}
	if st.dir != "" {
		_ = os.RemoveAll(st.dir) // what stays is in the system's folder for such
	}
}

// startHollow starts the hollow sender of a number, which may have been one before.
func (st *stage) startHollow(i int) {
	h := startHollow(i, st.gates[st.shape.real+i], st.set, st.names, st.plan.Seed, st.plan.Base.SimulatedMessages, 16*time.Second, st.dests.isOpen, st.book.heard)
	if i < len(st.hollow) {
		st.hollow[i] = h
	} else {
		st.hollow = append(st.hollow, h)
	}
}

// change puts another endpoint in the place of a destination's. The old one drains, the one before it goes.
func (st *stage) change() *change {
	st.mu.Lock()
	defer st.mu.Unlock()
	dest := st.order[st.next%len(st.order)]
	for st.next++; dest%zones == st.shut; st.next++ {
		dest = st.order[st.next%len(st.order)]
	}
	c := st.book.changing(dest)
	old, changed := st.current[dest]
	if !changed {
		old = st.dests.entry(dest, 0, fmt.Sprintf("s-%08x", dest), false)
	}
	fresh := st.dests.entry(dest, c.side, fmt.Sprint("g-", c.n), false)
	var list []platform.Entry
	if gone, ok := st.leaving[dest]; ok {
		gone.Health = "Gone"
		list = append(list, gone)
	}
	old.Health = "Terminating"
	st.current[dest], st.leaving[dest] = fresh, old
	st.book.publishing(c)
	for _, s := range st.senders {
		if s.died() == nil {
			st.book.could(c, s.n, true, later(s.since(), s.gate.reachable()))
		}
	}
	for _, h := range st.hollow {
		st.book.could(c, h.n, false, later(h.begun, h.gate.reachable()))
	}
	st.disc.publish(append(list, old, fresh)...)
	for _, s := range st.senders {
		st.wg.Go(func() { st.probe(c, s) })
	}
	return c
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// probeEvery is between two messages that are to show whether a change is in force: the grain of that measurement.
const (
	probeEvery  = 10 * time.Millisecond
	probeSlowly = 200 * time.Millisecond // after the first second
	probeLasts  = 2 * time.Second
)

// probe hands in messages for a changed destination until one goes by the change, or its time is over; and then two more,
// which must not go the old way.
func (st *stage) probe(c *change, s *sender) {
	begun, n := time.Now(), 0
	hand := func() bool {
		n++
		s.hand(probeName(c.n, s.n, n), classSafe, c.dest, probeLasts)
		pause := probeEvery
		if time.Since(begun) > time.Second {
			pause = probeSlowly
		}
		return st.sleep(pause)
	}
	for !st.book.inForce(c, s.n) {
		if st.book.over(c, s.n) || !hand() {
			return
		}
	}
	for range 2 {
		if !st.sleep(staleAfter*6/10) || !hand() {
			return
		}
	}
}

// sleep is false if the stage ends meanwhile.
func (st *stage) sleep(d time.Duration) bool {
	select {
	case <-st.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// changing makes changes at an even rate until the context ends.
func (st *stage) changing(ctx context.Context, aMinute int) {
	if aMinute == 0 {
		return
	}
	every := time.Duration(float64(time.Minute) / float64(aMinute))
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		st.change()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// traffic hands messages in to a sender at an even rate until the context ends, however late the answers are, and waits for those
// that are out. Every third may not run twice.
func (st *stage) traffic(ctx context.Context, s *sender, rate float64, lasts time.Duration) {
	if rate <= 0 {
		return
	}
	rng := rand.New(rand.NewPCG(st.plan.Seed, uint64(1000+s.n)))
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	room := make(chan struct{}, clientConns/2)
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		once, dest := n%3 == 2, rng.IntN(st.shape.destinations)
		id, class := trafficName(s.n, n, once), classSafe
		if once {
			class = classOnce
		}
		select {
		case room <- struct{}{}:
		case <-ctx.Done():
			return
		}
		wg.Go(func() {
			defer func() { <-room }()
			st.book.handing(id, message{sender: s.n, dest: dest, once: once, due: time.Now().Add(lasts)})
			st.book.answered(id, s.hand(id, class, dest, lasts) == 202)
		})
	}
}

// fill hands in messages that a sender will hold, as fast as it takes them, and returns how many it took and in what time.
func (st *stage) fill(ctx context.Context, s *sender, n int, limit time.Duration) (taken int, took time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	begun := time.Now()
	var mu sync.Mutex
	next := 0
	var wg sync.WaitGroup
	for range clientConns {
		wg.Go(func() {
			for ctx.Err() == nil {
				mu.Lock()
				i := next
				next++
				mu.Unlock()
				if i >= n {
					return
				}
				for ctx.Err() == nil && s.died() == nil {
					if s.hand(fmt.Sprintf("f-%d-%d", s.n, i), classHeld, st.down[0], holdFor) == 202 {
						mu.Lock()
						taken++
						mu.Unlock()
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	return taken, time.Since(begun)
}

// heard waits until a sender takes a message for a destination that only discovery's list names, and returns how long after
// its start that was.
func (st *stage) heard(ctx context.Context, s *sender, limit time.Duration) (time.Duration, error) {
	n := 0
	err := s.poll(ctx, "the list was not heard", limit, func() bool {
		n++
		return s.hand(fmt.Sprintf("f-list-%d-%d-%d", s.n, n, time.Now().UnixNano()), classSafe, st.order[0], probeLasts) == 202
	})
	return time.Since(s.since()), err
}
