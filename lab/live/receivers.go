// This file owns the receivers' side: a listener for each endpoint, discovery, and the faults that a scenario injects,
// in real time. It must never be more lenient than the model: what the model breaks is broken on the socket.

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

// SkippedTroubles returns the kinds of trouble in a scenario that Receivers do not play: troubles of clients, which
// Load plays, and troubles of senders, which are processes of their own.
func SkippedTroubles(s *scenario.Scenario) []string {
	var kinds []string
	for _, t := range s.Troubles {
		if !playedByReceivers(t) && !slices.Contains(kinds, t.Kind) {
			kinds = append(kinds, t.Kind)
		}
	}
	return kinds
}

func playedByReceivers(t scenario.Trouble) bool {
	switch t.Kind {
	case "surge", "hot", "clump", "restart":
		return false
	}
	return true
}

// Counts holds the totals of a run as receivers and discovery observed it.
type Counts struct {
	Connections        int            `json:"connections"`
	ConnectionsRefused int            `json:"connections_refused"`
	Calls              int            `json:"calls"`
	Outcomes           map[string]int `json:"outcomes"` // of calls, by outcomeName
	Messages           int            `json:"messages"` // messages that took effect, each counted once
	Repeats            int            `json:"repeats"`  // further times that such a message took effect
	DuplicateEffects   int            `json:"doubled"`  // repeats of messages that must not take effect twice
	Notices            int            `json:"notices"`  // to the platform, Dead and Bounced together
	Dead               int            `json:"dead"`     // notices with the result "dead"
	Bounced            int            `json:"bounced"`  // notices with any other result
	UnitsOverloaded    int            `json:"units_fallen"`
}

// Watcher observes what receivers see. The sender is 0 unless each sender has listeners of its own (NewFleetReceivers).
// Its methods are called on the loop's goroutine and must not block.
type Watcher interface {
	ConnectionOpened(sender int, ep *receiver.Endpoint, accepted bool)
	CallReceived(sender int, ep *receiver.Endpoint, c *model.Call, arrivedAt time.Time)
	CallAnswered(sender int, ep *receiver.Endpoint, c *model.Call, o model.Outcome)
	CallAbandoned(sender int, ep *receiver.Endpoint, c *model.Call) // c is nil if the call did not reach the model
	ConnectionEnded(last *model.Call)                               // the connection on which this call was the last has ended
	ListPublished(e rules.ListUpdate)
	Outage(u *receiver.Unit, begins bool)
	WindowMeasured(u *receiver.Unit, window []receiver.Arrival, allowed float64)
	UnitOverloaded(u *receiver.Unit, callsBySender map[int]float64)
}

// FleetOptions configure receivers that tell senders apart: each sender has its own discovery, which lists addresses
// that no other discovery lists.
type FleetOptions struct {
	Senders int
	Watcher Watcher // may be nil

	// AddressOf returns the address that a sender's discovery lists for an endpoint which listens at addr, for example
	// that of a proxy. Nil lists addr itself.
	AddressOf func(sender int, addr string) (string, error)
}

// Receivers play a scenario's receivers and its registry on sockets.
type Receivers struct {
	scenario    *scenario.Scenario
	loop        *Loop
	endpointSet *world.ReceiverSet
	registry    *registry.Registry
	discoveries []*platform.Discovery // by sender
	watcher     Watcher
	senderCount int
	listings    map[rules.EndpointID]platform.Entry // without the address, which differs by sender
	addrs       map[rules.EndpointID][]string       // by sender
	addressOf   func(sender int, addr string) (string, error)
	endpointIDs []rules.EndpointID // in the order of the lists
	wg          sync.WaitGroup
	log         func(string)

	mu         sync.Mutex
	counts     Counts
	tookEffect map[string]bool // IDs of messages
	maxLag     time.Duration   // longest wait of a call for the loop
	listeners  []net.Listener
	conns      map[net.Conn]bool
}

// Limits of what is played on sockets.
const (
	maxDestinations = 2000
	maxListeners    = 8000 // destinations times senders
)

// anyPort lets the system choose a free port.
const anyPort = "127.0.0.1:0"

// NewReceivers listens for discovery at the given address, and on a port for every endpoint. Run starts the troubles.
func NewReceivers(s *scenario.Scenario, seed uint64, discovery string, log func(string)) (*Receivers, error) {
	return NewFleetReceivers(s, seed, discovery, FleetOptions{Senders: 1}, log)
}

// NewFleetReceivers is NewReceivers for several senders that are told apart. The first sender's discovery listens at
// the given address, the others' on free ports.
func NewFleetReceivers(s *scenario.Scenario, seed uint64, discovery string, o FleetOptions,
	log func(string)) (*Receivers, error) {
	if n := s.DestinationCount(); n > maxDestinations || n*o.Senders > maxListeners {
		return nil, fmt.Errorf("%d destinations for %d senders: up to %d destinations and %d ports can be played on sockets",
			n, o.Senders, maxDestinations, maxListeners)
	}
	r := &Receivers{
		scenario: s, loop: NewLoop(), senderCount: o.Senders, watcher: o.Watcher, log: log, addressOf: o.AddressOf,
		listings: map[rules.EndpointID]platform.Entry{}, addrs: map[rules.EndpointID][]string{},
		tookEffect: map[string]bool{}, conns: map[net.Conn]bool{},
	}
	r.counts.Outcomes = map[string]int{}
	q := &r.loop.Queue
	r.registry = registry.New(1, false, s.Registry.Lag.Random(), q, random.Stream(seed, "registry", 0),
		func(_ int, e rules.ListUpdate) { r.updateList(e) })
	r.endpointSet = world.NewReceiverSet(s, seed, q, r.registry, (*observer)(r))
	for id := rules.EndpointID(1); int(id) <= len(r.endpointSet.Endpoints); id++ {
		if err := r.listenForEndpoint(r.endpointSet.Endpoints[id]); err != nil {
			r.closeAll()
			return nil, err
		}
	}
	for sender := range o.Senders {
		d, err := platform.NewDiscovery(discovery, r.entriesFor(sender)...)
		if err != nil {
			r.closeAll()
			return nil, err
		}
		// A sender that restarts with its state may hold a list version from receivers that ran before these: start
		// above it.
		d.RestartVersions(int(time.Now().UnixMilli()))
		r.discoveries = append(r.discoveries, d)
		discovery = anyPort
	}
	r.scheduleTroubles(seed)
	return r, nil
}

func (r *Receivers) scheduleTroubles(seed uint64) {
	playable := *r.scenario
	playable.Troubles = nil
	for _, t := range r.scenario.Troubles {
		if playedByReceivers(t) {
			playable.Troubles = append(playable.Troubles, t)
		}
	}
	env := &trouble.Environment{
		Scenario: &playable,
		Queue:    &r.loop.Queue,
		Registry: r.registry,
		Weights:  r.scenario.DestinationWeights(),
		Units:    func() []*receiver.Unit { return r.endpointSet.Units },
		Replace:  r.replaceEndpoint,
		Log: func(format string, args ...any) {
			// A trouble began or ended; this may have changed whether the registry is reachable.
			for _, d := range r.discoveries {
				d.DropListRequests(r.registry.Unreachable > 0)
			}
			r.log(fmt.Sprintf("%8.3fs ", r.loop.Queue.Now().Seconds()) + fmt.Sprintf(format, args...))
		},
	}
	env.Schedule(seed)
}

// replaceEndpoint creates an endpoint in place of an old one, with its listeners.
func (r *Receivers) replaceEndpoint(old *receiver.Endpoint) *receiver.Endpoint {
	replacement := r.endpointSet.Replace(old)
	if err := r.listenForEndpoint(replacement); err != nil {
		r.log("cannot listen for a replacement endpoint: " + err.Error())
	}
	return replacement
}

// listenForEndpoint listens on a port of the endpoint for each sender, and adds the endpoint to the lists.
func (r *Receivers) listenForEndpoint(ep *receiver.Endpoint) error {
	for sender := range r.senderCount {
		ln, err := net.Listen("tcp", anyPort)
		if err != nil {
			return fmt.Errorf("endpoint %d: %w", ep.ID, err)
		}
		r.mu.Lock()
		r.listeners = append(r.listeners, ln)
		r.mu.Unlock()
		addr, err := r.listedAddress(sender, ln.Addr().String())
		if err != nil {
			return fmt.Errorf("endpoint %d: %w", ep.ID, err)
		}
		r.addrs[ep.ID] = append(r.addrs[ep.ID], addr)
		r.wg.Go(func() { r.acceptConnections(ln, ep, sender) })
	}
	listing := platform.Entry{
		Host:   "r-" + strconv.Itoa(int(ep.ID)),
		Site:   ZoneName(ep.Zone),
		Class:  r.scenario.Kinds[ep.Unit.Kind].Name,
		Block:  ep.Unit.Dest,
		Health: "Ready",
	}
	if e, known := r.registry.Entry(ep.ID); known {
		listing.Share = e.ListedRate
	}
	r.listings[ep.ID] = listing
	r.endpointIDs = append(r.endpointIDs, ep.ID)
	return nil
}

// listedAddress returns the address that a sender's discovery lists for an endpoint which listens at addr.
func (r *Receivers) listedAddress(sender int, addr string) (string, error) {
	if r.addressOf == nil {
		return addr, nil
	}
	return r.addressOf(sender, addr)
}

// ZoneName returns the name of a zone in configurations and lists.
func ZoneName(zone int) string { return "z" + strconv.Itoa(zone) }

// updateList publishes a change of the registry through every discovery.
func (r *Receivers) updateList(e rules.ListUpdate) {
	for _, x := range e.Entries {
		listing := r.listings[x.Endpoint]
		listing.Share = x.ListedRate
		switch {
		case x.Gone:
			listing.Health = "Gone"
		case x.Draining:
			listing.Health = "Terminating"
		default:
			listing.Health = "Ready"
		}
		r.listings[x.Endpoint] = listing
	}
	if r.watcher != nil {
		r.watcher.ListPublished(e)
	}
	for sender, d := range r.discoveries {
		d.SetList(r.entriesFor(sender)...)
	}
}

// entriesFor returns the list that a sender's discovery publishes.
func (r *Receivers) entriesFor(sender int) []platform.Entry {
	var entries []platform.Entry
	for _, id := range r.endpointIDs {
		if e, listed := r.registry.Entry(id); listed && r.listings[id].Health != "Gone" && e.Endpoint == id {
			listing := r.listings[id]
			listing.Dial = r.addrs[id][sender]
			entries = append(entries, listing)
		}
	}
	return entries
}

// DiscoveryAddr returns the address of discovery; the first sender's if each sender has its own.
func (r *Receivers) DiscoveryAddr() string { return r.discoveries[0].Addr() }

// DiscoveryAddrOf returns the address of a sender's discovery.
func (r *Receivers) DiscoveryAddrOf(sender int) string { return r.discoveries[sender].Addr() }

// Notices returns a sender's notices so far, with their arrival times.
func (r *Receivers) Notices(sender int) []platform.Notice {
	return r.discoveries[sender].TimedNotices()
}

// noticeLines returns the encoded notices of all senders so far.
func (r *Receivers) noticeLines() (lines []string) {
	for _, d := range r.discoveries {
		lines = append(lines, d.Notices()...)
	}
	return lines
}

// ListenerCount returns the number of ports that endpoints listen on: one for each endpoint and sender.
func (r *Receivers) ListenerCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.listeners)
}

// Run plays the scenario's troubles until the context ends, then closes everything.
func (r *Receivers) Run(ctx context.Context) {
	r.loop.Run(ctx)
	r.closeAll()
	r.wg.Wait()
}

func (r *Receivers) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, ln := range r.listeners {
		ln.Close()
	}
	for nc := range r.conns {
		nc.Close()
	}
	for _, d := range r.discoveries {
		go d.Close() // not waited for: it waits for its connections, which may hold a watch that is still open
	}
}

// Counts returns the totals so far.
func (r *Receivers) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts
	c.Outcomes = map[string]int{}
	for k, n := range r.counts.Outcomes {
		c.Outcomes[k] = n
	}
	for _, line := range r.noticeLines() {
		var notice struct{ Result string }
		if json.Unmarshal([]byte(line), &notice) == nil {
			c.Notices++
			if notice.Result == "dead" {
				c.Dead++
			} else {
				c.Bounced++
			}
		}
	}
	return c
}

// FinishedIDs returns the IDs of the messages that took effect or had a notice.
func (r *Receivers) FinishedIDs() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	finished := map[string]bool{}
	for id := range r.tookEffect {
		finished[id] = true
	}
	for _, line := range r.noticeLines() {
		var notice struct{ Ref string }
		if json.Unmarshal([]byte(line), &notice) == nil {
			finished[notice.Ref] = true
		}
	}
	return finished
}

func (r *Receivers) updateCounts(f func(*Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.counts)
}
