// This file owns the simulated senders. Each follows discovery through the real registry client and runs a real
// decision module, but creates its own messages and answers its own calls. It has no ledger, no clients and no
// connections to destinations. It shows the load on discovery, the module's time and memory, and when a list is
// adopted; it must never be used to judge delivery. Its loop is a reduced version of the exchange's.

package scale

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"eiderhaven/internal/exchange"
	"eiderhaven/internal/registry"
	"eiderhaven/internal/settings"
	"eiderhaven/rules"
)

// simulatedSender is a sender without a process of its own.
type simulatedSender struct {
	index       int
	gateway     *gateway
	registry    *registry.Registry
	isAccepting func(addr string) bool
	onChange    func(change, sender int) // called when the module has a change in its list
	settings    *rules.Settings
	rng         *rand.Rand
	messageRate float64       // messages a second
	lifetime    time.Duration // of a message, until its deadline
	startedAt   time.Time

	inbox  chan func() // run by the loop
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// Used by the loop alone.
	module            *rules.Sender
	lastEndpoint      rules.EndpointID
	endpointIDs       map[string]rules.EndpointID
	endpoints         map[rules.EndpointID]simulatedEndpoint
	destinations      []int // listed so far; messages go to a random one
	knownDestinations map[int]bool
	events            []rules.Event // for the next step
	newChanges        []int         // numbers of the changes in these events
	wakeAt            time.Duration // when the module asked to be woken; noWakeUp if it did not
	lastMessage       int
	held              map[rules.MessageID]*simulatedMessage
	pendingAnswers    []pendingAnswer // by rising time

	mu             sync.Mutex // guards the fields below
	stepTimes      *hdrhistogram.Histogram
	counts         simulatedCounts
	firstListAfter time.Duration // from the start to the first list
}

// simulatedEndpoint is an endpoint as the sender's list has it.
type simulatedEndpoint struct {
	name, dial  string
	destination int
	unavailable bool // draining or gone
}

// simulatedMessage is a message that a simulated sender holds.
type simulatedMessage struct {
	deadline    time.Duration // on the module's clock
	destination int
	attempts    int
	inFlight    bool
}

// pendingAnswer is the answer to a call in flight.
type pendingAnswer struct {
	at       time.Duration // on the module's clock
	id       rules.MessageID
	endpoint rules.EndpointID
	attempt  int
	ok       bool
}

// simulatedCounts counts what a simulated sender did, and the rules that its module broke given what the sender knew.
type simulatedCounts struct {
	created, delivered, refused, failed int
	callsToUnavailable                  int // calls to an endpoint that its list has as draining or gone
	redundantCalls                      int // calls for a message that is in flight or finished
	overdue                             int // messages that had not ended deadlineGrace after their deadline
}

const (
	simulatedTick        = 5 * time.Millisecond // shortest time between two steps of the module
	simulatedServiceTime = 2 * time.Millisecond // duration of a call
	simulatedClockStart  = 24 * time.Hour       // of the module's clock
	simulatedIdle        = time.Second          // longest time that the loop waits
	simulatedInbox       = 64                   // updates from the registry that may be queued
	simulatedClasses     = 2                    // messages alternate between the first classes of the settings

	// simulatedSeedFactor keeps the seeds of simulated senders of plans with different seeds apart.
	simulatedSeedFactor = 1_000_003

	// simulatedStream is the second seed of a sender's random stream, beside that of its settings.
	simulatedStream = 7

	// noWakeUp is the value of simulatedSender.wakeAt while the module has not asked to be woken.
	noWakeUp = -1
)

// Range of the histograms of step times, in nanoseconds, and the significant digits that they keep.
const (
	minStepTime    = 1
	maxStepTime    = int64(10 * time.Second)
	stepTimeDigits = 3
)

func newStepTimes() *hdrhistogram.Histogram {
	return hdrhistogram.New(minStepTime, maxStepTime, stepTimeDigits)
}

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// startSimulated starts a simulated sender. Its settings are the shared ones with a seed made from seed and index.
func startSimulated(index int, g *gateway, shared *rules.Settings, names *settings.Names, seed uint64,
	messageRate float64, lifetime time.Duration,
	isAccepting func(addr string) bool, onChange func(change, sender int)) *simulatedSender {
	own := *shared
	own.Seed = seed*simulatedSeedFactor + uint64(index)
	s := &simulatedSender{
		index:             index,
		gateway:           g,
		registry:          registry.New(registry.NewAddress(g.addr), names, discardLog),
		isAccepting:       isAccepting,
		onChange:          onChange,
		settings:          &own,
		rng:               rand.New(rand.NewPCG(own.Seed, simulatedStream)),
		messageRate:       messageRate,
		lifetime:          lifetime,
		startedAt:         time.Now(),
		inbox:             make(chan func(), simulatedInbox),
		module:            rules.New(own),
		endpointIDs:       map[string]rules.EndpointID{},
		endpoints:         map[rules.EndpointID]simulatedEndpoint{},
		knownDestinations: map[int]bool{},
		wakeAt:            noWakeUp,
		held:              map[rules.MessageID]*simulatedMessage{},
		stepTimes:         newStepTimes(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wg.Go(func() { s.registry.Run(ctx, registrySink{s, ctx}) })
	s.wg.Go(func() { s.run(ctx) })
	return s
}

// stop ends the sender and waits for its end. The messages that it holds are lost.
func (s *simulatedSender) stop() {
	s.cancel()
	s.wg.Wait()
}

// registrySink passes updates from the registry to the loop. It implements registry.Sink.
type registrySink struct {
	*simulatedSender
	ctx context.Context
}

func (sink registrySink) post(f func()) {
	select {
	case sink.inbox <- f:
	case <-sink.ctx.Done():
	}
}

func (sink registrySink) ApplyListing(l exchange.Listing) { sink.post(func() { sink.applyListing(l) }) }

func (sink registrySink) ListFailed() {
	sink.post(func() { sink.events = append(sink.events, rules.DiscoveryFailed{}) })
}

func (sink registrySink) NoticesAccepted([]string) {}

// now returns the time on the module's clock.
func (s *simulatedSender) now() time.Duration { return simulatedClockStart + time.Since(s.startedAt) }

// applyListing turns an update of the list into an event with endpoint IDs, as the exchange's directory does.
func (s *simulatedSender) applyListing(l exchange.Listing) {
	s.mu.Lock()
	if s.firstListAfter == 0 {
		s.firstListAfter = time.Since(s.startedAt)
	}
	s.mu.Unlock()
	event := rules.ListUpdate{Whole: l.Whole, Entries: make([]rules.Entry, 0, len(l.Hosts))}
	listed := map[rules.EndpointID]bool{}
	for _, e := range l.Hosts {
		id := s.endpointIDs[e.Name]
		if e.Gone && id == 0 {
			continue
		}
		if id == 0 {
			s.lastEndpoint++
			id = s.lastEndpoint
			s.endpointIDs[e.Name] = id
			if change, ok := changeNumber(e.Name); ok {
				s.newChanges = append(s.newChanges, change)
			}
		}
		host := simulatedEndpoint{name: e.Name, dial: e.Addr, destination: e.Dest, unavailable: e.Draining || e.Gone}
		if e.Gone {
			old := s.endpoints[id]
			host.dial, host.destination = old.dial, old.destination
		}
		s.endpoints[id] = host
		if l.Whole {
			listed[id] = true
		}
		if !s.knownDestinations[host.destination] {
			s.knownDestinations[host.destination] = true
			s.destinations = append(s.destinations, host.destination)
		}
		event.Entries = append(event.Entries, rules.Entry{
			Endpoint: id, Destination: host.destination, Kind: e.Kind, Zone: e.Zone,
			ListedRate: e.Rate, Draining: e.Draining, Gone: e.Gone,
		})
	}
	if l.Whole {
		for id, host := range s.endpoints {
			if !listed[id] {
				host.unavailable = true
				s.endpoints[id] = host
			}
		}
	}
	s.events = append(s.events, event)
}

// run is the loop: until the context ends it steps the module, at most once a tick, when there are events or the module
// asked to be woken.
func (s *simulatedSender) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	nextMessage := time.Duration(0) // 0 until the first destination is listed
	lastStep := time.Duration(0)
	for {
		select {
		case f := <-s.inbox:
			f()
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		for range len(s.inbox) {
			(<-s.inbox)()
		}
		now := s.now()
		if s.messageRate > 0 && len(s.destinations) > 0 && now >= nextMessage {
			if nextMessage > 0 {
				s.createMessage(now)
			}
			nextMessage = now + time.Duration(s.rng.ExpFloat64()/s.messageRate*float64(time.Second))
		}
		s.finishCalls(now)
		if s.wakeAt >= 0 && now >= s.wakeAt {
			s.wakeAt = noWakeUp
			s.events = append(s.events, rules.WakeUp{})
		}
		if len(s.events) > 0 && now >= lastStep+simulatedTick {
			s.step(now)
			lastStep = now
		}
		due := now + simulatedIdle
		if len(s.events) > 0 {
			due = min(due, lastStep+simulatedTick)
		}
		if s.wakeAt >= 0 {
			due = min(due, max(s.wakeAt, lastStep+simulatedTick))
		}
		if s.messageRate > 0 && len(s.destinations) > 0 {
			due = min(due, nextMessage)
		}
		if len(s.pendingAnswers) > 0 {
			due = min(due, s.pendingAnswers[0].at)
		}
		timer.Reset(max(0, due-s.now()))
	}
}

// createMessage submits a new message to the module.
func (s *simulatedSender) createMessage(now time.Duration) {
	s.lastMessage++
	id := rules.MessageID(fmt.Sprintf("h%d-%d", s.index, s.lastMessage))
	m := &simulatedMessage{deadline: now + s.lifetime, destination: s.destinations[s.rng.IntN(len(s.destinations))]}
	s.held[id] = m
	s.mu.Lock()
	s.counts.created++
	s.mu.Unlock()
	s.events = append(s.events, rules.Arrived{
		ID: id, Destination: m.destination, Class: s.lastMessage % simulatedClasses, Tenant: 0, TimeLeft: s.lifetime,
	})
}

// finishCalls ends the calls whose answers are due. A delivered message is finished.
func (s *simulatedSender) finishCalls(now time.Duration) {
	for len(s.pendingAnswers) > 0 && s.pendingAnswers[0].at <= now {
		a := s.pendingAnswers[0]
		s.pendingAnswers = s.pendingAnswers[1:]
		m := s.held[a.id]
		e := rules.AttemptEnded{
			ID: a.id, Attempt: a.attempt, Endpoint: a.endpoint,
			Outcome: rules.ConnectError, Elapsed: simulatedServiceTime, Finished: m == nil,
		}
		if a.ok {
			e.Outcome, e.Finished = rules.OK, true
		}
		if m != nil {
			m.inFlight = false
			if a.ok {
				delete(s.held, a.id)
				s.mu.Lock()
				s.counts.delivered++
				s.mu.Unlock()
			}
		}
		s.events = append(s.events, e)
	}
}

// step passes the collected events to the module and carries out its actions.
func (s *simulatedSender) step(now time.Duration) {
	events, newChanges := s.events, s.newChanges
	s.events, s.newChanges = nil, nil
	for i, e := range events {
		if arrived, ok := e.(rules.Arrived); ok && s.held[arrived.ID] != nil {
			arrived.TimeLeft = s.held[arrived.ID].deadline - now
			events[i] = arrived
		}
	}
	started := time.Now()
	actions := s.module.Step(now, events)
	took := time.Since(started)
	for _, change := range newChanges {
		s.onChange(change, s.index)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.stepTimes.RecordValue(min(max(int64(took), minStepTime), maxStepTime)) // within the histogram's range
	for _, a := range actions {
		switch a := a.(type) {
		case rules.Send:
			s.send(now, a)
		case rules.Refuse:
			s.finishMessage(a.ID, &s.counts.refused)
		case rules.Fail:
			s.finishMessage(a.ID, &s.counts.failed)
		case rules.EndpointForgotten:
			delete(s.endpointIDs, s.endpoints[a.Endpoint].name)
			delete(s.endpoints, a.Endpoint)
		case rules.WakeAfter:
			s.wakeAt = now + a.After
		case rules.Watch:
			s.registry.RetryNow()
		}
	}
	for id, m := range s.held {
		if now > m.deadline+deadlineGrace {
			s.counts.overdue++
			delete(s.held, id)
		}
	}
}

// send starts a call, and counts a violation if the module should not have asked for it. s.mu is held.
func (s *simulatedSender) send(now time.Duration, a rules.Send) {
	m, host := s.held[a.ID], s.endpoints[a.Endpoint]
	if m == nil || m.inFlight {
		s.counts.redundantCalls++
	}
	if host.unavailable {
		s.counts.callsToUnavailable++
	}
	if m == nil {
		return
	}
	m.inFlight = true
	s.pendingAnswers = append(s.pendingAnswers, pendingAnswer{
		at: now + simulatedServiceTime, id: a.ID, endpoint: a.Endpoint, attempt: m.attempts,
		ok: s.isAccepting(host.dial),
	})
	m.attempts++
}

// finishMessage removes a message that ended undelivered and counts it. s.mu is held.
func (s *simulatedSender) finishMessage(id rules.MessageID, counter *int) {
	if s.held[id] != nil {
		delete(s.held, id)
		*counter++
	}
}

// resetStepTimes discards the recorded step times.
func (s *simulatedSender) resetStepTimes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stepTimes.Reset()
}

// snapshot adds the step times recorded since the last reset to a histogram, and returns the counts and the time from
// the start to the first list, 0 if there was none yet.
func (s *simulatedSender) snapshot(into *hdrhistogram.Histogram) (c simulatedCounts, firstList time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	into.Merge(s.stepTimes)
	return s.counts, s.firstListAfter
}
