// This file owns the environment of one step: discovery, destinations, real and simulated senders, changes and traffic.
// It must leave nothing running: everything that an environment starts has ended when close returns.

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

// addressBlock is a part of this machine's loopback addresses that no other run uses. Gateways, senders and
// destinations have an address each, so that outgoing connections never take one of their ports and a stopped listener
// can start again.
type addressBlock struct {
	claim                              net.Listener // held during the run to keep other runs off the block
	gatewayIP, senderIP, destinationIP string
	unusedIP                           string // nothing listens there
}

// claimPort is the port whose listener claims a block of addresses.
const claimPort = 19999

// maxClaims is how many blocks are tried.
const maxClaims = 100

// firstPort is the first port of the listeners on each address.
const firstPort = 20000

// claimAddresses claims a random block of addresses, 127.X.Y.*.
func claimAddresses(seed uint64) (*addressBlock, error) {
	rng := rand.New(rand.NewPCG(seed, uint64(time.Now().UnixNano())))
	var err error
	for range maxClaims {
		prefix := fmt.Sprintf("127.%d.%d.", 64+rng.IntN(128), 1+rng.IntN(254))
		var claim net.Listener
		if claim, err = net.Listen("tcp", fmt.Sprintf("%s1:%d", prefix, claimPort)); err == nil {
			return &addressBlock{
				claim: claim, gatewayIP: prefix + "2", senderIP: prefix + "3",
				destinationIP: prefix + "4", unusedIP: prefix + "5",
			}, nil
		}
	}
	return nil, fmt.Errorf("listening on a loopback address other than 127.0.0.1: %w", err)
}

// environment is everything that exists during a step.
type environment struct {
	plan         *Plan
	setup        setup
	addresses    *addressBlock
	dir          string // temporary, of the real senders
	discovery    *discovery
	destinations *destinations
	tracker      *tracker
	settings     *rules.Settings
	names        *settings.Names
	senders      []*realSender
	simulated    []*simulatedSender
	gateways     []*gateway // of the real senders, then of the simulated ones

	ctx    context.Context
	cancel context.CancelCauseFunc
	wg     sync.WaitGroup

	mu                sync.Mutex             // guards the fields below
	currentEndpoints  map[int]platform.Entry // by destination; only of destinations that have changed
	drainingEndpoints map[int]platform.Entry // by destination
	changeOrder       []int                  // destinations in the order in which they change, over and over
	nextChange        int                    // counts up; its place in changeOrder is the remainder
	stoppedZone       int                    // zone whose destinations do not change, as they are down; or noZone
	downDestinations  []int                  // destinations that are down all the time
}

// newEnvironment starts discovery and the destinations, and prepares the real senders.
func newEnvironment(ctx context.Context, r *run, s setup) (env *environment, err error) {
	env = &environment{
		plan: r.plan, setup: s, addresses: r.addresses, tracker: newTracker(), stoppedZone: noZone,
		currentEndpoints: map[int]platform.Entry{}, drainingEndpoints: map[int]platform.Entry{},
	}
	env.ctx, env.cancel = context.WithCancelCause(ctx)
	defer func() {
		if err != nil {
			env.close()
		}
	}()
	if env.dir, err = os.MkdirTemp("", "eiderlab-scale"); err != nil {
		return env, err
	}
	text, err := json.Marshal(senderSettings(r.plan, s))
	if err != nil {
		return env, err
	}
	if env.settings, env.names, err = settings.DecodeChecked(text, r.plan.Seed); err != nil {
		return env, err
	}
	env.destinations, err = newDestinations(r.addresses.destinationIP, r.addresses.unusedIP,
		r.plan.Base.ListedRate, env.tracker.recordCall)
	if err != nil {
		return env, err
	}
	env.discovery = newDiscovery(env.initialEntries(), env.tracker.recordNotice)
	for i := range s.real + s.simulated {
		g, err := newGateway(env.discovery, fmt.Sprintf("%s:%d", r.addresses.gatewayIP, firstPort+i))
		if err != nil {
			return env, err
		}
		env.gateways = append(env.gateways, g)
	}
	for i := range s.real {
		listen := fmt.Sprintf("%s:%d", r.addresses.senderIP, firstPort+i)
		sender, err := newRealSender(r.plan, s, i, r.starter, r.program, env.dir, listen, env.gateways[i])
		if err != nil {
			return env, err
		}
		env.senders = append(env.senders, sender)
	}
	return env, nil
}

// initialHost returns the name of a destination's first endpoint.
func initialHost(dest int) string { return fmt.Sprintf("s-%08x", dest) }

// Second seeds of random streams, beside the plan's seed.
const (
	changeOrderStream = 3    // of the order in which destinations change
	trafficStream     = 1000 // of the traffic of the first real sender; the others count up from it
)

// initialEntries returns the first list. Destinations that are down are spread evenly over it. The others are shuffled
// into the order in which they change.
func (env *environment) initialEntries() []platform.Entry {
	n := env.setup.destinations
	every := n
	if env.setup.down > 0 {
		every = n / env.setup.down
	}
	list := make([]platform.Entry, n)
	for i := range list {
		down := len(env.downDestinations) < env.setup.down && i%every == every-1
		if down {
			env.downDestinations = append(env.downDestinations, i)
		} else {
			env.changeOrder = append(env.changeOrder, i)
		}
		list[i] = env.destinations.entry(i, 0, initialHost(i), down)
	}
	rng := rand.New(rand.NewPCG(env.plan.Seed, changeOrderStream))
	order := env.changeOrder
	rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return list
}

// close ends everything that the environment has started.
func (env *environment) close() {
	env.cancel(errors.New("the step has ended"))
	for _, s := range env.senders {
		s.kill()
	}
	var wg sync.WaitGroup
	for _, sim := range env.simulated {
		wg.Go(sim.stop)
	}
	for _, g := range env.gateways {
		wg.Go(g.stop)
	}
	wg.Wait()
	env.wg.Wait()
	if env.destinations != nil {
		env.destinations.close()
	}
	if env.dir != "" {
		_ = os.RemoveAll(env.dir) // on failure the rest stays in the system's directory for temporary files
	}
}

// simulatedLifetime is the time from a simulated sender's message to its deadline.
const simulatedLifetime = 16 * time.Second

// startSimulated starts the simulated sender with a given index, in place of an earlier one if there was one.
func (env *environment) startSimulated(i int) {
	sim := startSimulated(i, env.gateways[env.setup.real+i], env.settings, env.names, env.plan.Seed,
		env.plan.Base.SimulatedMessages, simulatedLifetime,
		env.destinations.isAccepting, env.tracker.recordSimulatedAdoption)
	if i < len(env.simulated) {
		env.simulated[i] = sim
	} else {
		env.simulated = append(env.simulated, sim)
	}
}

// publishChange replaces a destination's endpoint by another. The old endpoint drains, and the one before it is
// removed.
func (env *environment) publishChange() *change {
	env.mu.Lock()
	defer env.mu.Unlock()
	dest := env.changeOrder[env.nextChange%len(env.changeOrder)]
	for env.nextChange++; dest%zoneCount == env.stoppedZone; env.nextChange++ {
		dest = env.changeOrder[env.nextChange%len(env.changeOrder)]
	}
	c := env.tracker.addChange(dest)
	old, changed := env.currentEndpoints[dest]
	if !changed {
		old = env.destinations.entry(dest, 0, initialHost(dest), false)
	}
	replacement := env.destinations.entry(dest, c.side, fmt.Sprint(changedHostPrefix, c.number), false)
	var entries []platform.Entry
	if gone, ok := env.drainingEndpoints[dest]; ok {
		gone.Health = "Gone"
		entries = append(entries, gone)
	}
	old.Health = "Terminating"
	env.currentEndpoints[dest] = replacement
	env.drainingEndpoints[dest] = old
	env.tracker.markPublished(c)
	for _, s := range env.senders {
		if s.unexpectedExit() == nil {
			env.tracker.markVisible(c, s.index, true, laterOf(s.startTime(), s.gateway.reachableSince()))
		}
	}
	for _, sim := range env.simulated {
		env.tracker.markVisible(c, sim.index, false, laterOf(sim.startedAt, sim.gateway.reachableSince()))
	}
	env.discovery.publish(append(entries, old, replacement)...)
	for _, s := range env.senders {
		env.wg.Go(func() { env.probe(c, s) })
	}
	return c
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Probes are messages that show whether a sender has adopted a change. The interval between them is the resolution of
// the measured delays.
const (
	probeInterval     = 10 * time.Millisecond
	slowProbeInterval = 200 * time.Millisecond // once a change has been probed for fastProbeTime
	fastProbeTime     = time.Second
	probeLifetime     = 2 * time.Second

	// Two probes after the adoption, the second of them more than staleGrace later, must not go to the old endpoint.
	staleProbes        = 2
	staleProbeInterval = staleGrace * 6 / 10
)

// probe submits probes for a changed destination until one goes to the new endpoint or the change is obsolete, and then
// some more that must not go to the old endpoint.
func (env *environment) probe(c *change, s *realSender) {
	started, n := time.Now(), 0
	submit := func() bool {
		n++
		s.submit(probeID(c.number, s.index, n), classSafe, c.dest, probeLifetime)
		pause := probeInterval
		if time.Since(started) > fastProbeTime {
			pause = slowProbeInterval
		}
		return env.sleep(pause)
	}
	for !env.tracker.adopted(c, s.index) {
		if env.tracker.obsolete(c, s.index) || !submit() {
			return
		}
	}
	for range staleProbes {
		if !env.sleep(staleProbeInterval) || !submit() {
			return
		}
	}
}

// sleep waits, and returns false if the environment ends meanwhile.
func (env *environment) sleep(d time.Duration) bool {
	select {
	case <-env.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// runChanges publishes changes at a constant rate until the context ends.
func (env *environment) runChanges(ctx context.Context, perMinute int) {
	if perMinute == 0 {
		return
	}
	interval := time.Duration(float64(time.Minute) / float64(perMinute))
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		env.publishChange()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// runTraffic submits messages to a sender at a constant rate until the context ends, however late the answers are, and
// waits for the answers. Every third message must not be delivered twice.
func (env *environment) runTraffic(ctx context.Context, s *realSender, rate float64, lifetime time.Duration) {
	if rate <= 0 {
		return
	}
	rng := rand.New(rand.NewPCG(env.plan.Seed, uint64(trafficStream+s.index)))
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	inFlight := make(chan struct{}, maxClientConns/2)
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		atMostOnce := n%3 == 2
		dest := rng.IntN(env.setup.destinations)
		id, class := trafficID(s.index, n, atMostOnce), classSafe
		if atMostOnce {
			class = classOnce
		}
		select {
		case inFlight <- struct{}{}:
		case <-ctx.Done():
			return
		}
		wg.Go(func() {
			defer func() { <-inFlight }()
			env.tracker.recordSubmission(id, message{
				sender: s.index, dest: dest, atMostOnce: atMostOnce, deadline: time.Now().Add(lifetime),
			})
			status := s.submit(id, class, dest, lifetime)
			env.tracker.recordAnswer(id, status == statusAccepted)
		})
	}
}

// heldRetryPause is the pause before a message that was not accepted is submitted again.
const heldRetryPause = 10 * time.Millisecond

// submitHeld submits messages that a sender will hold, as fast as it accepts them, and returns how many it accepted
// within the limit and how long that took.
func (env *environment) submitHeld(ctx context.Context, s *realSender, n int, limit time.Duration) (accepted int,
	took time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	started := time.Now()
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
					id := fmt.Sprintf("f-%d-%d", s.index, i)
					if s.submit(id, classHeld, env.downDestinations[0], holdTime) == statusAccepted {
						mu.Lock()
						accepted++
						mu.Unlock()
						break
					}
					time.Sleep(heldRetryPause)
				}
			}
		})
	}
	wg.Wait()
	return accepted, time.Since(started)
}

// waitForList waits until a sender accepts a message for a destination that only discovery's list has, and returns how
// long after the sender's start that was.
func (env *environment) waitForList(ctx context.Context, s *realSender, limit time.Duration) (time.Duration, error) {
	n := 0
	err := s.waitUntil(ctx, "no list from discovery", limit, func() bool {
		n++
		id := fmt.Sprintf("f-list-%d-%d-%d", s.index, n, time.Now().UnixNano())
		return s.submit(id, classSafe, env.changeOrder[0], probeLifetime) == statusAccepted
	})
	return time.Since(s.startTime()), err
}
