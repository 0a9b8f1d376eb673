// This file owns the hollow senders: each follows discovery by the real client and owns a real module, makes its own messages
// and answers its own calls. It has no ledger, no clients and no connections to destinations: what it shows is discovery's
// load, the module's time and memory, and when a list is in force. Its loop is the exchange's, cut down.

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

// hollow is one of them.
type simulatedSender struct {
	index       int
	gateway     *gateway
	registry    *registry.Registry
	isAccepting func(addr string) bool
	onChange    func(change, sender int)
	settings    *rules.Settings
	rng         *rand.Rand
	messageRate float64 // messages a second
	lifetime    time.Duration
	startedAt   time.Time

	inbox  chan func()
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// The loop's own.
	module            *rules.Sender
	lastEndpoint      rules.EndpointID
	endpointIDs       map[string]rules.EndpointID
	endpoints         map[rules.EndpointID]simulatedEndpoint
	destinations      []int // known, for the choice of a message's
	knownDestinations map[int]bool
	events            []rules.Event
	newChanges        []int // changes that the events tell of
	wakeAt            time.Duration
	lastMessage       int
	held              map[rules.MessageID]*simulatedMessage
	pendingAnswers    []pendingAnswer // in order of time

	mu             sync.Mutex // for what follows
	stepTimes      *hdrhistogram.Histogram
	counts         simulatedCounts
	firstListAfter time.Duration // from the start to the first list
}

type simulatedEndpoint struct {
	name, dial  string
	destination int
	unavailable bool // drains or has gone
}

type simulatedMessage struct {
	deadline    time.Duration
	destination int
	attempts    int
	inFlight    bool
}

type pendingAnswer struct {
	at       time.Duration
	id       rules.MessageID
	endpoint rules.EndpointID
	attempt  int
	ok       bool
}

// hollowCounts are what a hollow sender did, and which rules its module broke by what the sender knew.
type simulatedCounts struct {
	created, delivered, refused, failed int
	callsToUnavailable                  int // calls to an endpoint that its list has as draining or gone
	redundantCalls                      int // calls for a message that is out or over
	overdue                             int // messages without an end past their time
}

const (
	simulatedTick        = 5 * time.Millisecond
	simulatedServiceTime = 2 * time.Millisecond // a call takes
	simulatedClockStart  = 24 * time.Hour       // of the module's clock
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// startHollow starts one.
func startSimulated(n int, g *gateway, set *rules.Settings, names *settings.Names, seed uint64, makes float64, lasts time.Duration,
	isOpen func(string) bool, heard func(change, sender int)) *simulatedSender {
	own := *set
	own.Seed = seed*1_000_003 + uint64(n)
	h := &simulatedSender{index: n, gateway: g, registry: registry.New(registry.NewAddress(g.addr), names, discardLog), isAccepting: isOpen, onChange: heard, settings: &own,
		rng: rand.New(rand.NewPCG(own.Seed, 7)), messageRate: makes, lifetime: lasts, startedAt: time.Now(), inbox: make(chan func(), 64), module: rules.New(own),
		endpointIDs: map[string]rules.EndpointID{}, endpoints: map[rules.EndpointID]simulatedEndpoint{}, knownDestinations: map[int]bool{}, wakeAt: -1,
		held: map[rules.MessageID]*simulatedMessage{}, stepTimes: hdrhistogram.New(1, int64(10*time.Second), 3)}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.wg.Go(func() { h.registry.Run(ctx, registrySink{h, ctx}) })
	h.wg.Go(func() { h.run(ctx) })
	return h
}

// stop ends it and waits; what it held dies with it.
func (h *simulatedSender) stop() {
	h.cancel()
	h.wg.Wait()
}

// hollowSink hands what the registry tells to the loop.
type registrySink struct {
	*simulatedSender
	ctx context.Context
}

func (s registrySink) post(f func()) {
	select {
	case s.inbox <- f:
	case <-s.ctx.Done():
	}
}

func (s registrySink) ApplyListing(l exchange.Listing) { s.post(func() { s.applyListing(l) }) }
func (s registrySink) ListFailed() {
	s.post(func() { s.events = append(s.events, rules.DiscoveryFailed{}) })
}
func (s registrySink) NoticesAccepted([]string) {}

func (h *simulatedSender) now() time.Duration { return simulatedClockStart + time.Since(h.startedAt) }

// listed gives the list the module's numbers, as the exchange's directory does.
func (h *simulatedSender) applyListing(l exchange.Listing) {
	h.mu.Lock()
	if h.firstListAfter == 0 {
		h.firstListAfter = time.Since(h.startedAt)
	}
	h.mu.Unlock()
	out := rules.ListUpdate{Whole: l.Whole, Entries: make([]rules.Entry, 0, len(l.Hosts))}
	named := map[rules.EndpointID]bool{}
	for _, e := range l.Hosts {
		id := h.endpointIDs[e.Name]
		if e.Gone && id == 0 {
			continue
		}
		if id == 0 {
			h.lastEndpoint++
			id = h.lastEndpoint
			h.endpointIDs[e.Name] = id
			if n, ok := changeNumber(e.Name); ok {
				h.newChanges = append(h.newChanges, n)
			}
		}
		host := simulatedEndpoint{name: e.Name, dial: e.Addr, destination: e.Dest, unavailable: e.Draining || e.Gone}
		if e.Gone {
			old := h.endpoints[id]
			host.dial, host.destination = old.dial, old.destination
		}
		h.endpoints[id] = host
		if l.Whole {
			named[id] = true
		}
		if !h.knownDestinations[host.destination] {
			h.knownDestinations[host.destination] = true
			h.destinations = append(h.destinations, host.destination)
		}
		out.Entries = append(out.Entries, rules.Entry{Endpoint: id, Destination: host.destination, Kind: e.Kind, Zone: e.Zone, ListedRate: e.Rate, Draining: e.Draining, Gone: e.Gone})
	}
	if l.Whole {
		for id, host := range h.endpoints {
			if !named[id] {
				host.unavailable = true
				h.endpoints[id] = host
			}
		}
	}
	h.events = append(h.events, out)
}

// run steps the module until the context ends: at most once a tick, when something has come or it asked to be woken.
func (h *simulatedSender) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := time.Duration(0) // message
	lastStep := time.Duration(0)
	for {
		select {
		case f := <-h.inbox:
			f()
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		for range len(h.inbox) {
			(<-h.inbox)()
		}
		now := h.now()
		if h.messageRate > 0 && len(h.destinations) > 0 && now >= next {
			if next > 0 {
				h.createMessage(now)
			}
			next = now + time.Duration(h.rng.ExpFloat64()/h.messageRate*float64(time.Second))
		}
		h.finishCalls(now)
		if h.wakeAt >= 0 && now >= h.wakeAt {
			h.wakeAt = -1
			h.events = append(h.events, rules.WakeUp{})
		}
		if len(h.events) > 0 && now >= lastStep+simulatedTick {
			h.step(now)
			lastStep = now
		}
		due := now + time.Second
		if len(h.events) > 0 {
			due = min(due, lastStep+simulatedTick)
		}
		if h.wakeAt >= 0 {
			due = min(due, max(h.wakeAt, lastStep+simulatedTick))
		}
		if h.messageRate > 0 && len(h.destinations) > 0 {
			due = min(due, next)
		}
		if len(h.pendingAnswers) > 0 {
			due = min(due, h.pendingAnswers[0].at)
		}
		timer.Reset(max(0, due-h.now()))
	}
}

// make takes a message on.
func (h *simulatedSender) createMessage(now time.Duration) {
	h.lastMessage++
	id := rules.MessageID(fmt.Sprintf("h%d-%d", h.index, h.lastMessage))
	m := &simulatedMessage{deadline: now + h.lifetime, destination: h.destinations[h.rng.IntN(len(h.destinations))]}
	h.held[id] = m
	h.mu.Lock()
	h.counts.created++
	h.mu.Unlock()
	h.events = append(h.events, rules.Arrived{ID: id, Destination: m.destination, Class: h.lastMessage % 2, Tenant: 0, TimeLeft: h.lifetime})
}

// answer ends the calls whose time has come. What is delivered is over.
func (h *simulatedSender) finishCalls(now time.Duration) {
	for len(h.pendingAnswers) > 0 && h.pendingAnswers[0].at <= now {
		a := h.pendingAnswers[0]
		h.pendingAnswers = h.pendingAnswers[1:]
		m := h.held[a.id]
		e := rules.AttemptEnded{ID: a.id, Attempt: a.attempt, Endpoint: a.endpoint, Outcome: rules.ConnectError, Elapsed: simulatedServiceTime, Finished: m == nil}
		if a.ok {
			e.Outcome, e.Finished = rules.OK, true
		}
		if m != nil {
			m.inFlight = false
			if a.ok {
				delete(h.held, a.id)
				h.mu.Lock()
				h.counts.delivered++
				h.mu.Unlock()
			}
		}
		h.events = append(h.events, e)
	}
}

// step tells the module what has come and does what it wants.
func (h *simulatedSender) step(now time.Duration) {
	events, fresh := h.events, h.newChanges
	h.events, h.newChanges = nil, nil
	for i, e := range events {
		if a, arrived := e.(rules.Arrived); arrived && h.held[a.ID] != nil {
			a.TimeLeft = h.held[a.ID].deadline - now
			events[i] = a
		}
	}
	begun := time.Now()
	actions := h.module.Step(now, events)
	took := time.Since(begun)
	for _, n := range fresh {
		h.onChange(n, h.index)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.stepTimes.RecordValue(min(max(int64(took), 1), int64(10*time.Second))) // within the histogram's range
	for _, a := range actions {
		switch a := a.(type) {
		case rules.Send:
			h.send(now, a)
		case rules.Refuse:
			h.finishMessage(a.ID, &h.counts.refused)
		case rules.Fail:
			h.finishMessage(a.ID, &h.counts.failed)
		case rules.EndpointForgotten:
			delete(h.endpointIDs, h.endpoints[a.Endpoint].name)
			delete(h.endpoints, a.Endpoint)
		case rules.WakeAfter:
			h.wakeAt = now + a.After
		case rules.Watch:
			h.registry.RetryNow()
		}
	}
	for id, m := range h.held {
		if now > m.deadline+deadlineGrace {
			h.counts.overdue++
			delete(h.held, id)
		}
	}
}

func (h *simulatedSender) send(now time.Duration, a rules.Send) {
	m, host := h.held[a.ID], h.endpoints[a.Endpoint]
	if m == nil || m.inFlight {
		h.counts.redundantCalls++
	}
	if host.unavailable {
		h.counts.callsToUnavailable++
	}
	if m == nil {
		return
	}
	m.inFlight = true
	h.pendingAnswers = append(h.pendingAnswers, pendingAnswer{at: now + simulatedServiceTime, id: a.ID, endpoint: a.Endpoint, attempt: m.attempts, ok: h.isAccepting(host.dial)})
	m.attempts++
}

func (h *simulatedSender) finishMessage(id rules.MessageID, n *int) {
	if h.held[id] != nil {
		delete(h.held, id)
		*n++
	}
}

// reset begins to count steps anew, and snapshot returns what was counted since.
func (h *simulatedSender) resetStepTimes() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stepTimes.Reset()
}

func (h *simulatedSender) snapshot(into *hdrhistogram.Histogram) (c simulatedCounts, firstList time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	into.Merge(h.stepTimes)
	return h.counts, h.firstListAfter
}
