package rules

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"eiderhaven/internal/index"
)

// This file owns the list of endpoints and the compact form of dormant destinations. A destination is active, with
// structs of its own, from the first message, hint or outcome for it until none of its messages is held and none of its
// calls is in flight. Otherwise it is dormant: one record for each endpoint, and its packed state if it has any. This
// file must make no decisions, and activating a destination must restore the state that it had, bit by bit.

const (
	deactivateAfter  = 5 * time.Second // an active destination is checked this often for whether it can be deactivated
	maxDeactivations = 64              // checks in one step, which limits the duration of a step
)

// record is one endpoint of a dormant destination.
type record struct {
	id          EndpointID
	seq         uint32 // as endpointState.seq
	destination int32
	next        uint32 // index of the destination's next endpoint by seq; the last one refers to the first
	state       uint32 // number of the destination's packed state, at its last endpoint only; 0 for none
	zone        uint16
	kind        uint8
	flags       recordFlags
	listedRate  float64
}

type recordFlags uint8

const (
	flagUsed      recordFlags = 1 << iota // unset: the record is free
	flagInService                         // listed and not draining
	flagMissing                           // not named so far by the complete list that is being processed
	flagGone                              // not listed any more; only the sole endpoint of a dormant destination can be
)

// dormantState is the part of a sender's state that has the dormant destinations, and the active ones to be checked.
type dormantState struct {
	records           *recordTable
	active            []activeDestination // in the order in which they are checked
	deactivateAfter   time.Duration       // the constant of that name, except in tests
	packBuffer        []byte              // reused by deactivate
	missingDepartures []departure         // endpoints that were activated with flagMissing set
	departureCount    int                 // departures so far
	absences          map[EndpointID]absence
}

// absence is the departure of a dormant endpoint.
type absence struct {
	at              time.Duration
	departureNumber int
}

// recordTable has the records of all dormant destinations, with indexes.
type recordTable struct {
	list   []record
	free   []uint32 // indexes of free records
	states packedStates
	byID   *index.Index[EndpointID]
	byDest *index.Index[int32] // the last endpoint of each destination
}

func newRecordTable() *recordTable {
	r := &recordTable{}
	r.byID = index.New(func(at uint32) EndpointID { return r.list[at].id })
	r.byDest = index.New(func(at uint32) int32 { return r.list[at].destination })
	return r
}

// fitsRecord reports whether the fields of a record can hold the given numbers. Destinations with others stay active.
func fitsRecord(dest, kind, zone int) bool {
	return int(int32(dest)) == dest && int(uint8(kind)) == kind && int(uint16(zone)) == zone
}

// reserve makes room for n records in all.
func (r *recordTable) reserve(n int) {
	if n -= len(r.list); n > 0 {
		r.list = slices.Grow(r.list, n)
		r.byID.Reserve(n)
		r.byDest.Reserve(n)
	}
}

// add appends an endpoint to a dormant destination, which may be new.
func (r *recordTable) add(added record) {
	at := uint32(len(r.list))
	if n := len(r.free); n > 0 {
		at, r.free = r.free[n-1], r.free[:n-1]
	} else {
		r.list = append(r.list, record{})
	}
	added.flags, added.next = added.flags|flagUsed, at
	if last, known := r.byDest.Find(added.destination); known {
		added.next, r.list[last].next = r.list[last].next, at
	}
	r.list[at] = added
	r.byID.Put(at)
	r.byDest.Put(at)
}

// removeDestination removes the destination with the given last endpoint and returns its endpoints by seq.
func (r *recordTable) removeDestination(last uint32) []record {
	var removed []record
	r.byDest.Remove(r.list[last].destination)
	for at := r.list[last].next; ; at = r.list[at].next {
		removed = append(removed, r.list[at])
		r.byID.Remove(r.list[at].id)
		r.free = append(r.free, at)
		r.list[at].flags = 0
		if at == last {
			return removed
		}
	}
}

// endpoint returns a listed endpoint, nil for one that is not known. If its destination is dormant, it is activated.
func (s *Sender) endpoint(id EndpointID) *endpointState {
	ep := s.endpoints[id]
	if ep == nil {
		if at, known := s.records.byID.Find(id); known {
			s.activate(s.records.list[at].destination)
			ep = s.endpoints[id]
		}
	}
	return ep
}

// activate restores a dormant destination and returns it, nil for one that is not dormant.
func (s *Sender) activate(dest int32) *destinationState {
	last, known := s.records.byDest.Find(dest)
	if !known {
		return nil
	}
	d := s.newDestination(int(dest))
	removed := s.records.removeDestination(last)
	for _, r := range removed {
		ep := s.addEndpoint(d, r.id, r.seq, int(r.kind))
		ep.zone, ep.listedRate, ep.inService = int(r.zone), r.listedRate, r.flags&flagInService != 0
		if r.flags&flagGone != 0 {
			a := s.absences[ep.id]
			delete(s.absences, ep.id)
			ep.gone, ep.goneAt, ep.departureNumber = true, a.at, a.departureNumber
			i := s.departureIndex(a.departureNumber - 1)
			s.departures = slices.Insert(s.departures, i, departure{ep, a.departureNumber})
		} else if r.flags&flagMissing != 0 {
			s.missingDepartures = append(s.missingDepartures, s.markGone(ep))
		}
	}
	d.seq = d.endpoints[0].seq
	if state := removed[len(removed)-1].state; state != 0 {
		newPacker(s.records.states.get(state), true).destination(d)
		s.records.states.drop(state)
	}
	return d
}

// departureIndex returns how many of s.departures have numbers up to the given one.
func (s *Sender) departureIndex(number int) int {
	i, _ := slices.BinarySearchFunc(s.departures, number+1,
		func(g departure, number int) int { return cmp.Compare(g.number, number) })
	return i
}

// deactivate makes a destination dormant. It reports false if the destination must stay active: it has messages, calls
// in flight, endpoints to be forgotten or something that a record cannot hold.
func (s *Sender) deactivate(d *destinationState) bool {
	if d.held > 0 || len(d.endpoints) == 0 || d.pinned {
		return false
	}
	for i, ep := range d.endpoints {
		shared := i == 0 || !s.kind(ep).RoutesApart // whether addEndpoint would give it the first one's limit scope
		if len(ep.calls) > 0 ||
			ep.gone && len(d.endpoints) > 1 ||
			!fitsRecord(d.number, ep.kind, ep.zone) ||
			(ep.limitScope == d.endpoints[0].limitScope) != shared {
			return false
		}
	}
	p := newPacker(s.packBuffer[:0], false)
	p.destination(d)
	s.packBuffer = p.data
	state, ok := s.records.states.put(p.data)
	if !ok {
		return false
	}
	for i, ep := range d.endpoints {
		r := record{
			id:          ep.id,
			seq:         ep.seq,
			destination: int32(d.number),
			zone:        uint16(ep.zone),
			kind:        uint8(ep.kind),
			listedRate:  ep.listedRate,
		}
		if ep.inService {
			r.flags = flagInService
		}
		if ep.gone {
			r.flags = flagGone
			s.absences[ep.id] = absence{ep.goneAt, ep.departureNumber}
			at := s.departureIndex(ep.departureNumber - 1)
			s.departures = slices.Delete(s.departures, at, at+1)
		}
		if i == len(d.endpoints)-1 {
			r.state = state
		}
		s.records.add(r)
		delete(s.endpoints, ep.id)
	}
	delete(s.destinations, d.number)
	return true
}

// deactivateIdle deactivates destinations whose check is due, as far as that is possible.
func (s *Sender) deactivateIdle() {
	for range min(maxDeactivations, len(s.active)) {
		a := s.active[0]
		if s.now < a.checkAt {
			return
		}
		s.active[0].destination = nil
		s.active = s.active[1:]
		if !s.deactivate(a.destination) {
			s.active = append(s.active, activeDestination{a.destination, s.now + s.deactivateAfter})
		}
	}
}

// activeDestination is an active destination and the time of its next check.
type activeDestination struct {
	destination *destinationState
	checkAt     time.Duration
}

// newDestination adds an active destination without endpoints.
func (s *Sender) newDestination(n int) *destinationState {
	d := &destinationState{number: n, backlog: backlog{firstDue: never}}
	s.destinations[n] = d
	s.active = append(s.active, activeDestination{d, s.now + s.deactivateAfter})
	return d
}

// addEndpoint adds an endpoint to a destination. It shares the limit scope of the others unless its kind has
// RoutesApart.
func (s *Sender) addEndpoint(d *destinationState, id EndpointID, seq uint32, kind int) *endpointState {
	ep := &endpointState{id: id, seq: seq, destination: d, kind: kind}
	if !s.kind(ep).RoutesApart && len(d.endpoints) > 0 {
		ep.limitScope = d.endpoints[0].limitScope
	} else {
		ep.limitScope = &limitScope{}
	}
	s.endpoints[id] = ep
	d.endpoints = append(d.endpoints, ep)
	return ep
}

// updateDormant applies an entry of the list without activating anything. It reports false if that is not possible.
func (s *Sender) updateDormant(e Entry) bool {
	flags := flagUsed
	if !e.Draining {
		flags |= flagInService
	}
	if at, known := s.records.byID.Find(e.Endpoint); known {
		r := &s.records.list[at]
		if e.Gone && r.flags&flagGone == 0 || !fitsRecord(int(r.destination), int(r.kind), e.Zone) {
			return false
		}
		if e.Gone {
			flags = flagUsed | flagGone
		} else if r.flags&flagGone != 0 {
			delete(s.absences, e.Endpoint)
		}
		r.zone, r.listedRate, r.flags = uint16(e.Zone), s.entryRate(e), flags
		return true
	}
	if e.Gone ||
		!fitsRecord(e.Destination, e.Kind, e.Zone) ||
		s.destinations[e.Destination] != nil ||
		s.endpoints[e.Endpoint] != nil {
		return false
	}
	last, known := s.records.byDest.Find(int32(e.Destination))
	if known && (s.records.list[last].state != 0 || s.records.list[last].flags&flagGone != 0) {
		return false // a new endpoint takes over the state of those there, which may be forgotten after that
	}
	s.lastSeq++
	s.records.add(record{
		id:          e.Endpoint,
		seq:         s.lastSeq,
		destination: int32(e.Destination),
		zone:        uint16(e.Zone),
		kind:        uint8(e.Kind),
		listedRate:  s.entryRate(e),
		flags:       flags,
	})
	return true
}

// entryRate returns the rate that an entry lists, 0 if listed rates are not meaningful.
func (s *Sender) entryRate(e Entry) float64 {
	if s.settings.RatesListed {
		return e.ListedRate
	}
	return 0
}

// departure is the removal of an endpoint from the list. It is obsolete once the endpoint is listed again.
type departure struct {
	endpoint *endpointState
	number   int // rank among all departures
}

func (g departure) obsolete() bool { return !g.endpoint.gone || g.endpoint.departureNumber != g.number }

// markGone records that an endpoint is not listed any more.
func (s *Sender) markGone(ep *endpointState) departure {
	s.departureCount++
	ep.inService, ep.gone, ep.goneAt, ep.departureNumber = false, true, s.now, s.departureCount
	return departure{ep, s.departureCount}
}

// onListUpdate applies a list of endpoints. One that drains or is gone gets nothing new from this step on.
func (s *Sender) onListUpdate(e ListUpdate) {
	before := s.departureCount
	if e.Whole {
		for _, d := range s.destinations {
			for _, ep := range d.endpoints {
				s.setGone(ep, true)
			}
		}
		for at := range s.records.list {
			s.records.list[at].flags |= flagMissing
		}
		s.records.reserve(len(e.Entries))
	}
	marked := s.departureCount
	for _, entry := range e.Entries {
		if s.updateDormant(entry) {
			continue
		}
		ep := s.endpoint(entry.Endpoint)
		if ep == nil {
			d := s.destination(entry.Destination)
			s.lastSeq++
			ep = s.addEndpoint(d, entry.Endpoint, s.lastSeq, entry.Kind)
			s.inheritFailures(ep)
		}
		ep.zone, ep.listedRate, ep.inService = entry.Zone, s.entryRate(entry), !entry.Draining && !entry.Gone
		s.setGone(ep, entry.Gone)
		s.touchScope(ep)
	}
	if e.Whole {
		s.removeUnlisted(before, marked)
	}
	if len(s.absences) == 0 {
		s.absences = map[EndpointID]absence{} // a map does not shrink, and this one may have held all endpoints
	}
	s.departures = slices.DeleteFunc(s.departures, departure.obsolete)
	s.forgetGoneEndpoints()
}

// lostEndpoint is an endpoint that a complete list does not name.
type lostEndpoint struct {
	destinationSeq, seq uint32         // as in compareEndpoints
	endpoint            *endpointState // nil if it is dormant
	id                  EndpointID     // if it is dormant
}

// removeUnlisted processes the endpoints that a complete list does not name. Their departures are ordered as by
// compareEndpoints, after those of earlier lists and before those that entries of this list report. before and marked
// are the departure counts before the list and before its first entry.
func (s *Sender) removeUnlisted(before, marked int) {
	var lost []lostEndpoint
	for at := range s.records.list {
		switch r := &s.records.list[at]; {
		case r.flags&(flagUsed|flagMissing) != flagUsed|flagMissing:
		case r.flags&flagGone != 0:
			r.flags &^= flagMissing
		case r.next == uint32(at):
			r.flags = flagUsed | flagGone
			lost = append(lost, lostEndpoint{s.destinationSeq(r), r.seq, nil, r.id})
		default:
			s.activate(r.destination)
		}
	}
	old, later := s.departureIndex(before), s.departureIndex(marked)
	for _, g := range slices.Concat(s.departures[old:later], s.missingDepartures) {
		if !g.obsolete() {
			lost = append(lost, lostEndpoint{g.endpoint.destination.seq, g.endpoint.seq, g.endpoint, 0})
		}
	}
	slices.SortFunc(lost, func(a, b lostEndpoint) int {
		return cmp.Or(cmp.Compare(a.destinationSeq, b.destinationSeq), cmp.Compare(a.seq, b.seq))
	})
	last := slices.Clone(s.departures[later:])
	s.departures, s.missingDepartures = s.departures[:old], nil
	for _, l := range lost {
		if l.endpoint != nil {
			s.touchScope(l.endpoint)
		}
		s.departureCount++
		if l.endpoint == nil {
			s.absences[l.id] = absence{s.now, s.departureCount}
		} else {
			l.endpoint.departureNumber = s.departureCount
			s.departures = append(s.departures, departure{l.endpoint, s.departureCount})
		}
	}
	for _, g := range last {
		if !g.obsolete() {
			s.departureCount++
			g.endpoint.departureNumber = s.departureCount
			s.departures = append(s.departures, departure{g.endpoint, s.departureCount})
		}
	}
}

// destinationSeq returns the seq of a dormant destination with one endpoint.
func (s *Sender) destinationSeq(r *record) uint32 {
	seq := r.seq
	if r.state != 0 {
		newPacker(s.records.states.get(r.state), true).destinationSeq(&seq, r.seq)
	}
	return seq
}

// setGone records whether an active endpoint is gone from the list.
func (s *Sender) setGone(ep *endpointState, gone bool) {
	if gone && !ep.gone {
		s.departures = append(s.departures, s.markGone(ep))
	}
	ep.gone = gone
}

// packedStates has the packed states of dormant destinations in classes by size: up to 256 bytes in steps of 8, then in
// powers of two. A state's number consists of its size class, above stateIndexBits, and its index in that class.
type packedStates [64]struct {
	size int // of each state of the class, in bytes
	data []byte
	free []uint32 // indexes of free places
}

const (
	stateIndexBits = 24
	sizeStep       = 8  // bytes
	linearSizes    = 32 // size classes in steps of sizeStep
)

// put stores a packed state and returns its number, 0 for an empty one. It reports false if there are no numbers left.
func (t *packedStates) put(packed []byte) (number uint32, ok bool) {
	if len(packed) == 0 {
		return 0, true
	}
	class := (len(packed) + sizeStep - 1) / sizeStep
	size := sizeStep * class
	if class > linearSizes {
		class = linearSizes + bits.Len(uint((len(packed)-1)/(linearSizes*sizeStep)))
		size = linearSizes * sizeStep << (class - linearSizes)
	}
	if class >= len(t) {
		return 0, false
	}
	c := &t[class]
	c.size = size
	i := uint32(len(c.data) / size)
	if n := len(c.free); n > 0 {
		i, c.free = c.free[n-1], c.free[:n-1]
	} else if i>>stateIndexBits != 0 {
		return 0, false
	} else {
		c.data = append(c.data, make([]byte, size)...)
	}
	stored := c.data[int(i)*size:][:size]
	clear(stored[copy(stored, packed):]) // the unpacker reads zero bytes at the end as zero values
	return uint32(class)<<stateIndexBits | i, true
}

// get returns a packed state, padded with zero bytes. The result is valid until the next change.
func (t *packedStates) get(number uint32) []byte {
	c := &t[number>>stateIndexBits]
	return c.data[int(number&(1<<stateIndexBits-1))*c.size:][:c.size]
}

func (t *packedStates) drop(number uint32) {
	c := &t[number>>stateIndexBits]
	c.free = append(c.free, number&(1<<stateIndexBits-1))
}
