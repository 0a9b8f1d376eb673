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
type hollow struct {
	n        int
	gate     *gate
	registry *registry.Registry
	isOpen   func(addr string) bool
	heard    func(change, sender int)
	set      *rules.Settings
	rng      *rand.Rand
	makes    float64 // messages a second
	lasts    time.Duration
	begun    time.Time

	in     chan func()
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// The loop's own.
	module  *rules.Sender
	last    rules.EndpointID
	ids     map[string]rules.EndpointID
	hosts   map[rules.EndpointID]hollowHost
	dests   []int // known, for the choice of a message's
	known   map[int]bool
	events  []rules.Event
	fresh   []int // changes that the events tell of
	wakeAt  time.Duration
	number  int
	held    map[rules.MessageID]*hollowMessage
	answers []hollowAnswer // in order of time

	mu     sync.Mutex // for what follows
	steps  *hdrhistogram.Histogram
	counts hollowCounts
	firsts time.Duration // from the start to the first list
}

type hollowHost struct {
	name, dial string
	dest       int
	closed     bool // drains or has gone
}

type hollowMessage struct {
	due   time.Duration
	dest  int
	tries int
	out   bool
}

type hollowAnswer struct {
	at      time.Duration
	id      rules.MessageID
	ep      rules.EndpointID
	attempt int
	ok      bool
}

// hollowCounts are what a hollow sender did, and which rules its module broke by what the sender knew.
type hollowCounts struct {
	made, delivered, refused, failed int
	closed                           int // calls to an endpoint that its list has as draining or gone
	double                           int // calls for a message that is out or over
	late                             int // messages without an end past their time
}

const (
	hollowTick   = 5 * time.Millisecond
	hollowServes = 2 * time.Millisecond // a call takes
	hollowStart  = 24 * time.Hour       // of the module's clock
)

var silentLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// startHollow starts one.
func startHollow(n int, g *gate, set *rules.Settings, names *settings.Names, seed uint64, makes float64, lasts time.Duration,
	isOpen func(string) bool, heard func(change, sender int)) *hollow {
	own := *set
	own.Seed = seed*1_000_003 + uint64(n)
	h := &hollow{n: n, gate: g, registry: registry.New(registry.NewAddress(g.addr), names, silentLog), isOpen: isOpen, heard: heard, set: &own,
		rng: rand.New(rand.NewPCG(own.Seed, 7)), makes: makes, lasts: lasts, begun: time.Now(), in: make(chan func(), 64), module: rules.New(own),
		ids: map[string]rules.EndpointID{}, hosts: map[rules.EndpointID]hollowHost{}, known: map[int]bool{}, wakeAt: -1,
		held: map[rules.MessageID]*hollowMessage{}, steps: hdrhistogram.New(1, int64(10*time.Second), 3)}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.wg.Go(func() { h.registry.Run(ctx, hollowSink{h, ctx}) })
	h.wg.Go(func() { h.run(ctx) })
	return h
}

// stop ends it and waits; what it held dies with it.
func (h *hollow) stop() {
	h.cancel()
	h.wg.Wait()
}

// hollowSink hands what the registry tells to the loop.
type hollowSink struct {
	*hollow
	ctx context.Context
}

func (s hollowSink) post(f func()) {
	select {
	case s.in <- f:
	case <-s.ctx.Done():
	}
}

func (s hollowSink) ApplyListing(l exchange.Listing) { s.post(func() { s.listed(l) }) }
func (s hollowSink) ListFailed() {
	s.post(func() { s.events = append(s.events, rules.DiscoveryFailed{}) })
}
func (s hollowSink) NoticesAccepted([]string) {}

func (h *hollow) now() time.Duration { return hollowStart + time.Since(h.begun) }

// listed gives the list the module's numbers, as the exchange's directory does.
func (h *hollow) listed(l exchange.Listing) {
	h.mu.Lock()
	if h.firsts == 0 {
		h.firsts = time.Since(h.begun)
	}
	h.mu.Unlock()
	out := rules.ListUpdate{Whole: l.Whole, Entries: make([]rules.Entry, 0, len(l.Hosts))}
	named := map[rules.EndpointID]bool{}
	for _, e := range l.Hosts {
		id := h.ids[e.Name]
		if e.Gone && id == 0 {
			continue
		}
		if id == 0 {
			h.last++
			id = h.last
			h.ids[e.Name] = id
			if n, ok := changeOf(e.Name); ok {
				h.fresh = append(h.fresh, n)
			}
		}
		host := hollowHost{name: e.Name, dial: e.Addr, dest: e.Dest, closed: e.Draining || e.Gone}
		if e.Gone {
			old := h.hosts[id]
			host.dial, host.dest = old.dial, old.dest
		}
		h.hosts[id] = host
		if l.Whole {
			named[id] = true
		}
		if !h.known[host.dest] {
			h.known[host.dest] = true
			h.dests = append(h.dests, host.dest)
		}
		out.Entries = append(out.Entries, rules.Entry{Endpoint: id, Destination: host.dest, Kind: e.Kind, Zone: e.Zone, ListedRate: e.Rate, Draining: e.Draining, Gone: e.Gone})
	}
	if l.Whole {
		for id, host := range h.hosts {
			if !named[id] {
				host.closed = true
				h.hosts[id] = host
			}
		}
	}
	h.events = append(h.events, out)
}

// run steps the module until the context ends: at most once a tick, when something has come or it asked to be woken.
func (h *hollow) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := time.Duration(0) // message
	lastStep := time.Duration(0)
	for {
		select {
		case f := <-h.in:
			f()
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		for range len(h.in) {
			(<-h.in)()
		}
		now := h.now()
		if h.makes > 0 && len(h.dests) > 0 && now >= next {
			if next > 0 {
				h.make(now)
			}
			next = now + time.Duration(h.rng.ExpFloat64()/h.makes*float64(time.Second))
		}
		h.answer(now)
		if h.wakeAt >= 0 && now >= h.wakeAt {
			h.wakeAt = -1
			h.events = append(h.events, rules.WakeUp{})
		}
		if len(h.events) > 0 && now >= lastStep+hollowTick {
			h.step(now)
			lastStep = now
		}
		due := now + time.Second
		if len(h.events) > 0 {
			due = min(due, lastStep+hollowTick)
		}
		if h.wakeAt >= 0 {
			due = min(due, max(h.wakeAt, lastStep+hollowTick))
		}
		if h.makes > 0 && len(h.dests) > 0 {
			due = min(due, next)
		}
		if len(h.answers) > 0 {
			due = min(due, h.answers[0].at)
		}
		timer.Reset(max(0, due-h.now()))
	}
}

// make takes a message on.
func (h *hollow) make(now time.Duration) {
	h.number++
	id := rules.MessageID(fmt.Sprintf("h%d-%d", h.n, h.number))
	m := &hollowMessage{due: now + h.lasts, dest: h.dests[h.rng.IntN(len(h.dests))]}
	h.held[id] = m
	h.mu.Lock()
	h.counts.made++
	h.mu.Unlock()
	h.events = append(h.events, rules.Arrived{ID: id, Destination: m.dest, Class: h.number % 2, Tenant: 0, TimeLeft: h.lasts})
}

// answer ends the calls whose time has come. What is delivered is over.
func (h *hollow) answer(now time.Duration) {
	for len(h.answers) > 0 && h.answers[0].at <= now {
		a := h.answers[0]
		h.answers = h.answers[1:]
		m := h.held[a.id]
		e := rules.AttemptEnded{ID: a.id, Attempt: a.attempt, Endpoint: a.ep, Outcome: rules.ConnectError, Elapsed: hollowServes, Finished: m == nil}
		if a.ok {
			e.Outcome, e.Finished = rules.OK, true
		}
		if m != nil {
			m.out = false
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
func (h *hollow) step(now time.Duration) {
	events, fresh := h.events, h.fresh
	h.events, h.fresh = nil, nil
	for i, e := range events {
		if a, arrived := e.(rules.Arrived); arrived && h.held[a.ID] != nil {
			a.TimeLeft = h.held[a.ID].due - now
			events[i] = a
		}
	}
	begun := time.Now()
	actions := h.module.Step(now, events)
	took := time.Since(begun)
	for _, n := range fresh {
		h.heard(n, h.n)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.steps.RecordValue(min(max(int64(took), 1), int64(10*time.Second))) // within the histogram's range
	for _, a := range actions {
		switch a := a.(type) {
		case rules.Send:
			h.send(now, a)
		case rules.Refuse:
			h.end(a.ID, &h.counts.refused)
		case rules.Fail:
			h.end(a.ID, &h.counts.failed)
		case rules.EndpointForgotten:
			delete(h.ids, h.hosts[a.Endpoint].name)
			delete(h.hosts, a.Endpoint)
		case rules.WakeAfter:
			h.wakeAt = now + a.After
		case rules.Watch:
			h.registry.RetryNow()
		}
	}
	for id, m := range h.held {
		if now > m.due+endWithin {
			h.counts.late++
			delete(h.held, id)
		}
	}
}

func (h *hollow) send(now time.Duration, a rules.Send) {
	m, host := h.held[a.ID], h.hosts[a.Endpoint]
	if m == nil || m.out {
		h.counts.double++
	}
	if host.closed {
		h.counts.closed++
	}
	if m == nil {
		return
	}
	m.out = true
	h.answers = append(h.answers, hollowAnswer{at: now + hollowServes, id: a.ID, ep: a.Endpoint, attempt: m.tries, ok: h.isOpen(host.dial)})
	m.tries++
}

func (h *hollow) end(id rules.MessageID, n *int) {
	if h.held[id] != nil {
		delete(h.held, id)
		*n++
	}
}

// reset begins to count steps anew, and snapshot returns what was counted since.
func (h *hollow) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.steps.Reset()
}

func (h *hollow) snapshot(into *hdrhistogram.Histogram) (c hollowCounts, firstList time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	into.Merge(h.steps)
	return h.counts, h.firsts
}
