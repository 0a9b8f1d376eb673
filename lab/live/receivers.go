// This file owns the receivers' side: a listener for each endpoint, discovery, and the troubles of a scenario in real time.
// It must never be kinder than the model: what the model breaks is broken on the socket.

package live

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"eiderhaven/lab/model"
	"eiderhaven/lab/random"
	"eiderhaven/lab/receiver"
	"eiderhaven/lab/registry"
	"eiderhaven/lab/scenario"
	"eiderhaven/lab/trouble"
	"eiderhaven/lab/world"
	"eiderhaven/rules"
	"eiderhaven/standin/platform"
)

// Skipped lists the kinds of trouble of a scenario that receivers on sockets cannot play: those of clients, which load
// plays, and those of senders, which run outside.
func SkippedTroubles(s *scenario.Scenario) []string {
	var out []string
	for _, t := range s.Troubles {
		if !onReceivers(t) && !slices.Contains(out, t.Kind) {
			out = append(out, t.Kind)
		}
	}
	return out
}

func onReceivers(t scenario.Trouble) bool {
	switch t.Kind {
	case "surge", "hot", "clump", "restart":
		return false
	}
	return true
}

// Counts is what receivers saw.
type Counts struct {
	Connections        int            `json:"connections"`
	ConnectionsRefused int            `json:"connections_refused"`
	Calls              int            `json:"calls"`
	Outcomes           map[string]int `json:"outcomes"` // of calls
	Messages           int            `json:"messages"` // that took effect, each once
	Repeats            int            `json:"repeats"`  // further times that one took effect
	DuplicateEffects   int            `json:"doubled"`  // of those, such as must not be repeated
	Notices            int            `json:"notices"`
	Dead               int            `json:"dead"`
	Bounced            int            `json:"bounced"`
	UnitsOverloaded    int            `json:"units_fallen"`
}

// Watcher is told what receivers see, with the sender where each sender has doors of its own, else with 0. It is called on
// the goroutine that plays the receivers and must not wait.
type Watcher interface {
	ConnectionOpened(sender int, ep *receiver.Endpoint, taken bool)
	CallReceived(sender int, ep *receiver.Endpoint, c *model.Call)
	CallAnswered(sender int, ep *receiver.Endpoint, c *model.Call, o model.Outcome)
	CallAbandoned(sender int, ep *receiver.Endpoint, c *model.Call) // c is nil where nobody read it
	ListPublished(e rules.ListUpdate)
	Outage(u *receiver.Unit, begins bool)
	WindowMeasured(u *receiver.Unit, window []receiver.Arrival, allowed float64)
	UnitOverloaded(u *receiver.Unit, by map[int]float64)
}

// FleetOptions let receivers tell senders apart: each has a discovery of its own, which lists addresses that no other is told.
type FleetOptions struct {
	Senders int
	Watcher Watcher // nil: nobody is told
}

// Receivers play a scenario's receivers and its registry on sockets.
type Receivers struct {
	s     *scenario.Scenario
	loop  *Loop
	site  *world.ReceiverSet
	reg   *registry.Registry
	discs []*platform.Discovery // by sender
	watch Watcher
	doors int
	hosts map[rules.EndpointID]platform.Entry
	dials map[rules.EndpointID][]string // by sender
	order []rules.EndpointID
	wg    sync.WaitGroup
	log   func(string)

	mu     sync.Mutex
	counts Counts
	seen   map[string]bool
	lag    time.Duration // the longest that a call has waited for the loop
	lns    []net.Listener
	conns  map[net.Conn]bool
}

// NewReceivers listens for discovery and for every endpoint. Run starts the troubles.
func NewReceivers(s *scenario.Scenario, seed uint64, discovery string, log func(string)) (*Receivers, error) {
	return NewFleetReceivers(s, seed, discovery, FleetOptions{Senders: 1}, log)
}

// mostDoors bounds the listeners of all endpoints.
const mostDoors = 8000

// NewFleetReceivers is NewReceivers with senders told apart. The first sender's discovery listens at the address, the others'
// beside it on ports that are free.
func NewFleetReceivers(s *scenario.Scenario, seed uint64, discovery string, o FleetOptions, log func(string)) (*Receivers, error) {
	if n := s.DestinationCount(); n > 2000 || n*o.Senders > mostDoors {
		return nil, fmt.Errorf("%d destinations for %d senders: on sockets 2000 at most, and %d ports", n, o.Senders, mostDoors)
	}
	v := &Receivers{s: s, loop: NewLoop(), hosts: map[rules.EndpointID]platform.Entry{}, dials: map[rules.EndpointID][]string{},
		seen: map[string]bool{}, conns: map[net.Conn]bool{}, log: log, doors: o.Senders, watch: o.Watcher}
	v.counts.Outcomes = map[string]int{}
	q := &v.loop.Queue
	v.reg = registry.New(1, false, s.Registry.Lag.Random(), q, random.Stream(seed, "registry", 0), func(_ int, e rules.ListUpdate) { v.listed(e) })
	v.site = world.NewReceiverSet(s, seed, q, v.reg, (*observer)(v))
	for id := rules.EndpointID(1); int(id) <= len(v.site.Endpoints); id++ {
		if err := v.listen(v.site.Endpoints[id]); err != nil {
			v.closeAll()
			return nil, err
		}
	}
	for sender := range o.Senders {
		disc, err := platform.NewDiscovery(discovery, v.entries(sender)...)
		if err != nil {
			v.closeAll()
			return nil, err
		}
		disc.RestartVersions(int(time.Now().UnixMilli())) // a sender may come back with a version of receivers that ran before
		v.discs = append(v.discs, disc)
		discovery = "127.0.0.1:0"
	}
	v.schedule(seed)
	return v, nil
}

func (v *Receivers) schedule(seed uint64) {
	playable := *v.s
	playable.Troubles = nil
	for _, t := range v.s.Troubles {
		if onReceivers(t) {
			playable.Troubles = append(playable.Troubles, t)
		}
	}
	st := &trouble.Environment{Scenario: &playable, Queue: &v.loop.Queue, Registry: v.reg, Weights: v.s.DestinationWeights(),
		Units: func() []*receiver.Unit { return v.site.Units }, Replace: v.replace,
		Log: func(format string, args ...any) {
			for _, d := range v.discs {
				d.DropListRequests(v.reg.Unreachable > 0)
			}
			v.log(fmt.Sprintf("%8.3fs ", v.loop.Queue.Now().Seconds()) + fmt.Sprintf(format, args...))
		}}
	st.Schedule(seed)
}

// replace makes a new endpoint and its listener.
func (v *Receivers) replace(old *receiver.Endpoint) *receiver.Endpoint {
	fresh := v.site.Replace(old)
	if err := v.listen(fresh); err != nil {
		v.log("no listener for a new endpoint: " + err.Error())
	}
	return fresh
}

func (v *Receivers) listen(ep *receiver.Endpoint) error {
	for sender := range v.doors {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("endpoint %d: %w", ep.ID, err)
		}
		v.mu.Lock()
		v.lns = append(v.lns, ln)
		v.mu.Unlock()
		v.dials[ep.ID] = append(v.dials[ep.ID], ln.Addr().String())
		v.wg.Go(func() { v.accept(ln, ep, sender) })
	}
	kind := v.s.Kinds[ep.Unit.Kind].Name
	v.hosts[ep.ID] = platform.Entry{Host: "r-" + strconv.Itoa(int(ep.ID)), Site: ZoneName(ep.Zone),
		Class: kind, Block: ep.Unit.Dest, Health: "Ready"}
	if e, known := v.reg.Entry(ep.ID); known {
		h := v.hosts[ep.ID]
		h.Share = e.ListedRate
		v.hosts[ep.ID] = h
	}
	v.order = append(v.order, ep.ID)
	return nil
}

// ZoneName is how a zone is called on sockets.
func ZoneName(zone int) string { return "z" + strconv.Itoa(zone) }

// listed brings discovery up to date.
func (v *Receivers) listed(e rules.ListUpdate) {
	for _, x := range e.Entries {
		h := v.hosts[x.Endpoint]
		h.Share = x.ListedRate
		switch {
		case x.Gone:
			h.Health = "Gone"
		case x.Draining:
			h.Health = "Terminating"
		default:
			h.Health = "Ready"
		}
		v.hosts[x.Endpoint] = h
	}
	if v.watch != nil {
		v.watch.ListPublished(e)
	}
	for sender, d := range v.discs {
		d.SetList(v.entries(sender)...)
	}
}

// entries is the list as a sender is told it.
func (v *Receivers) entries(sender int) []platform.Entry {
	var out []platform.Entry
	for _, id := range v.order {
		if e, listed := v.reg.Entry(id); listed && v.hosts[id].Health != "Gone" && e.Endpoint == id {
			h := v.hosts[id]
			h.Dial = v.dials[id][sender]
			out = append(out, h)
		}
	}
	return out
}

// Discovery is where discovery listens, the first sender's where each has one.
func (v *Receivers) DiscoveryAddr() string { return v.discs[0].Addr() }

// DiscoveryOf is where a sender's discovery listens.
func (v *Receivers) DiscoveryAddrOf(sender int) string { return v.discs[sender].Addr() }

// Notices returns a sender's notices so far, with the times at which they came.
func (v *Receivers) Notices(sender int) []platform.Notice { return v.discs[sender].TimedNotices() }

// notices are the lines of all notices so far.
func (v *Receivers) notices() (lines []string) {
	for _, d := range v.discs {
		lines = append(lines, d.Notices()...)
	}
	return lines
}

// Endpoints is how many endpoints listen.
func (v *Receivers) ListenerCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.lns)
}

// Run plays the scenario's troubles until the context ends, then closes everything.
func (v *Receivers) Run(ctx context.Context) {
	v.loop.Run(ctx)
	v.closeAll()
	v.wg.Wait()
}

func (v *Receivers) closeAll() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, ln := range v.lns {
		ln.Close()
	}
	for nc := range v.conns {
		nc.Close()
	}
	for _, d := range v.discs {
		go d.Close() // it waits for its connections, which may wait for a watch to end
	}
}

// Counts returns what was seen so far.
func (v *Receivers) Counts() Counts {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.counts
	c.Outcomes = map[string]int{}
	for k, n := range v.counts.Outcomes {
		c.Outcomes[k] = n
	}
	for _, line := range v.notices() {
		var n struct{ Result string }
		if json.Unmarshal([]byte(line), &n) == nil {
			c.Notices++
			if n.Result == "dead" {
				c.Dead++
			} else {
				c.Bounced++
			}
		}
	}
	return c
}

// Ended returns the names of the messages that took effect or had a notice.
func (v *Receivers) FinishedIDs() map[string]bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := map[string]bool{}
	for id := range v.seen {
		out[id] = true
	}
	for _, line := range v.notices() {
		var n struct{ Ref string }
		if json.Unmarshal([]byte(line), &n) == nil {
			out[n.Ref] = true
		}
	}
	return out
}

func (v *Receivers) count(f func(*Counts)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f(&v.counts)
}
