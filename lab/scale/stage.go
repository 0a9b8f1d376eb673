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
type addressBlock struct {
	claim                                        net.Listener
	gatewayIP, senderIP, destinationIP, unusedIP string
}

const claimPort = 19999

func claimAddresses(seed uint64) (*addressBlock, error) {
	rng := rand.New(rand.NewPCG(seed, uint64(time.Now().UnixNano())))
	var err error
	for range 100 {
		net24 := fmt.Sprintf("127.%d.%d.", 64+rng.IntN(128), 1+rng.IntN(254))
		var claim net.Listener
		if claim, err = net.Listen("tcp", fmt.Sprintf("%s1:%d", net24, claimPort)); err == nil {
			return &addressBlock{claim, net24 + "2", net24 + "3", net24 + "4", net24 + "5"}, nil
		}
	}
	return nil, fmt.Errorf("no loopback addresses beside 127.0.0.1 to listen on: %w", err)
}

// stage is what stands during a step.
type environment struct {
	plan         *Plan
	setup        setup
	addresses    *addressBlock
	dir          string
	discovery    *discovery
	destinations *destinations
	tracker      *tracker
	settings     *rules.Settings
	names        *settings.Names
	senders      []*realSender
	simulated    []*simulatedSender
	gateways     []*gateway // the real senders' first

	ctx    context.Context
	cancel context.CancelCauseFunc
	wg     sync.WaitGroup

	mu                sync.Mutex
	currentEndpoints  map[int]platform.Entry // by destination, where it is not the first endpoint
	drainingEndpoints map[int]platform.Entry
	changeOrder       []int // destinations in the order in which they change
	changesMade       int
	stoppedZone       int   // zone whose destinations do not change now, as they cannot be reached; negative for none
	downDestinations  []int // destinations that are down all along
}

func newEnvironment(ctx context.Context, r *run, s setup) (st *environment, err error) {
	st = &environment{plan: r.plan, setup: s, addresses: r.addresses, tracker: newTracker(), stoppedZone: -1, currentEndpoints: map[int]platform.Entry{}, drainingEndpoints: map[int]platform.Entry{}}
	st.ctx, st.cancel = context.WithCancelCause(ctx)
	defer func() {
		if err != nil {
			st.close()
		}
	}()
	if st.dir, err = os.MkdirTemp("", "eiderlab-scale"); err != nil {
		return st, err
	}
	text, err := json.Marshal(senderSettings(r.plan, s))
	if err != nil {
		return st, err
	}
	if st.settings, st.names, err = settings.DecodeChecked(text, r.plan.Seed); err != nil {
		return st, err
	}
	if st.destinations, err = newDestinations(r.addresses.destinationIP, r.addresses.unusedIP, r.plan.Base.ListedRate, st.tracker.recordCall); err != nil {
		return st, err
	}
	st.discovery = newDiscovery(st.initialEntries(), st.tracker.recordNotice)
	for i := range s.real + s.simulated {
		g, err := newGateway(st.discovery, fmt.Sprintf("%s:%d", r.addresses.gatewayIP, 20000+i))
		if err != nil {
			return st, err
		}
		st.gateways = append(st.gateways, g)
	}
	for i := range s.real {
		one, err := newRealSender(r.plan, s, i, r.starter, r.program, st.dir, fmt.Sprintf("%s:%d", r.addresses.senderIP, 20000+i), st.gateways[i])
		if err != nil {
			return st, err
		}
		st.senders = append(st.senders, one)
	}
	return st, nil
}

// entries is the first list. Destinations that are down lie evenly among the others.
func (st *environment) initialEntries() []platform.Entry {
	n := st.setup.destinations
	every := n
	if st.setup.down > 0 {
		every = n / st.setup.down
	}
	list := make([]platform.Entry, n)
	for i := range list {
		down := len(st.downDestinations) < st.setup.down && i%every == every-1
		if down {
			st.downDestinations = append(st.downDestinations, i)
		} else {
			st.changeOrder = append(st.changeOrder, i)
		}
		list[i] = st.destinations.entry(i, 0, fmt.Sprintf("s-%08x", i), down)
	}
	rng := rand.New(rand.NewPCG(st.plan.Seed, 3))
	rng.Shuffle(len(st.changeOrder), func(i, j int) { st.changeOrder[i], st.changeOrder[j] = st.changeOrder[j], st.changeOrder[i] })
	return list
}

// close ends all of it.
func (st *environment) close() {
	st.cancel(errors.New("the step is over"))
	for _, s := range st.senders {
		s.kill()
	}
	var wg sync.WaitGroup
	for _, h := range st.simulated {
		wg.Go(h.stop)
	}
	for _, g := range st.gateways {
		wg.Go(g.stop)
	}
	wg.Wait()
	st.wg.Wait()
	if st.destinations != nil {
		st.destinations.close()
	}
	if st.dir != "" {
		_ = os.RemoveAll(st.dir) // what stays is in the system's folder for such
	}
}

// startHollow starts the hollow sender of a number, which may have been one before.
func (st *environment) startSimulated(i int) {
	h := startSimulated(i, st.gateways[st.setup.real+i], st.settings, st.names, st.plan.Seed, st.plan.Base.SimulatedMessages, 16*time.Second, st.destinations.isAccepting, st.tracker.recordSimulatedAdoption)
	if i < len(st.simulated) {
		st.simulated[i] = h
	} else {
		st.simulated = append(st.simulated, h)
	}
}

// change puts another endpoint in the place of a destination's. The old one drains, the one before it goes.
func (st *environment) publishChange() *change {
	st.mu.Lock()
	defer st.mu.Unlock()
	dest := st.changeOrder[st.changesMade%len(st.changeOrder)]
	for st.changesMade++; dest%zoneCount == st.stoppedZone; st.changesMade++ {
		dest = st.changeOrder[st.changesMade%len(st.changeOrder)]
	}
	c := st.tracker.addChange(dest)
	old, changed := st.currentEndpoints[dest]
	if !changed {
		old = st.destinations.entry(dest, 0, fmt.Sprintf("s-%08x", dest), false)
	}
	fresh := st.destinations.entry(dest, c.side, fmt.Sprint("g-", c.number), false)
	var list []platform.Entry
	if gone, ok := st.drainingEndpoints[dest]; ok {
		gone.Health = "Gone"
		list = append(list, gone)
	}
	old.Health = "Terminating"
	st.currentEndpoints[dest], st.drainingEndpoints[dest] = fresh, old
	st.tracker.markPublished(c)
	for _, s := range st.senders {
		if s.unexpectedExit() == nil {
			st.tracker.markVisible(c, s.index, true, laterOf(s.startTime(), s.gateway.reachableSince()))
		}
	}
	for _, h := range st.simulated {
		st.tracker.markVisible(c, h.index, false, laterOf(h.startedAt, h.gateway.reachableSince()))
	}
	st.discovery.publish(append(list, old, fresh)...)
	for _, s := range st.senders {
		st.wg.Go(func() { st.probe(c, s) })
	}
	return c
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// probeEvery is between two messages that are to show whether a change is in force: the grain of that measurement.
const (
	probeInterval     = 10 * time.Millisecond
	slowProbeInterval = 200 * time.Millisecond // after the first second
	probeLifetime     = 2 * time.Second
)

// probe hands in messages for a changed destination until one goes by the change, or its time is over; and then two more,
// which must not go the old way.
func (st *environment) probe(c *change, s *realSender) {
	begun, n := time.Now(), 0
	hand := func() bool {
		n++
		s.submit(probeID(c.number, s.index, n), classSafe, c.dest, probeLifetime)
		pause := probeInterval
		if time.Since(begun) > time.Second {
			pause = slowProbeInterval
		}
		return st.sleep(pause)
	}
	for !st.tracker.adopted(c, s.index) {
		if st.tracker.obsolete(c, s.index) || !hand() {
			return
		}
	}
	for range 2 {
		if !st.sleep(staleGrace*6/10) || !hand() {
			return
		}
	}
}

// sleep is false if the stage ends meanwhile.
func (st *environment) sleep(d time.Duration) bool {
	select {
	case <-st.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// changing makes changes at an even rate until the context ends.
func (st *environment) runChanges(ctx context.Context, aMinute int) {
	if aMinute == 0 {
		return
	}
	every := time.Duration(float64(time.Minute) / float64(aMinute))
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		st.publishChange()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// traffic hands messages in to a sender at an even rate until the context ends, however late the answers are, and waits for those
// that are out. Every third may not run twice.
func (st *environment) runTraffic(ctx context.Context, s *realSender, rate float64, lasts time.Duration) {
	if rate <= 0 {
		return
	}
	rng := rand.New(rand.NewPCG(st.plan.Seed, uint64(1000+s.index)))
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	room := make(chan struct{}, maxClientConns/2)
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		once, dest := n%3 == 2, rng.IntN(st.setup.destinations)
		id, class := trafficID(s.index, n, once), classSafe
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
			st.tracker.recordSubmission(id, message{sender: s.index, dest: dest, atMostOnce: once, deadline: time.Now().Add(lasts)})
			st.tracker.recordAnswer(id, s.submit(id, class, dest, lasts) == 202)
		})
	}
}

// fill hands in messages that a sender will hold, as fast as it takes them, and returns how many it took and in what time.
func (st *environment) submitHeld(ctx context.Context, s *realSender, n int, limit time.Duration) (taken int, took time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	begun := time.Now()
	var mu sync.Mutex
	next := 0
	var wg sync.WaitGroup
	for range maxClientConns {
		wg.Go(func() {
			for ctx.Err() == nil {
				mu.Lock()
				i := next
				next++
				mu.Unlock()
				if i >= n {
					return
				}
				for ctx.Err() == nil && s.unexpectedExit() == nil {
					if s.submit(fmt.Sprintf("f-%d-%d", s.index, i), classHeld, st.downDestinations[0], holdTime) == 202 {
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
func (st *environment) waitForList(ctx context.Context, s *realSender, limit time.Duration) (time.Duration, error) {
	n := 0
	err := s.waitUntil(ctx, "the list was not heard", limit, func() bool {
		n++
		return s.submit(fmt.Sprintf("f-list-%d-%d-%d", s.index, n, time.Now().UnixNano()), classSafe, st.changeOrder[0], probeLifetime) == 202
	})
	return time.Since(s.startTime()), err
}
