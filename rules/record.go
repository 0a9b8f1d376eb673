package rules

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"eiderhaven/internal/index"
)

// This file keeps what is listed and at rest. A destination is awake, with structs of its own, from the first time that a message,
// a note or an outcome is about it until nothing of it is held or out; else it is a record for each endpoint. It decides nothing: what
// comes awake is, to the last bit, what went to rest.

const (
	deactivateAfter  = 5 * time.Second // a destination is looked at this long after it woke, and again as often until it rests
	maxDeactivations = 64              // as many in one step, so that none takes long
)

// record is one endpoint of a destination at rest.
type record struct {
	id          EndpointID
	seq         uint32
	destination int32
	next        uint32 // the destination's next endpoint, in the order first heard of; after the last comes the first
	state       uint32 // of the destination, among the states, at its last endpoint; 0 for none
	zone        uint16
	kind        uint8
	flags       recordFlags
	listedRate  float64
}

type recordFlags uint8

const (
	flagUsed      recordFlags = 1 << iota // else the record is free
	flagInService                         // and not draining
	flagMissing                           // from the whole list that is just taken in
	flagGone                              // gone from the list; only the one endpoint of a destination is, as it stays until another comes
)

// atRest is the part of a sender that keeps what rests, and what is to.
type dormantState struct {
	records           *recordTable
	active            []activeDestination // the first to be looked at first
	deactivateAfter   time.Duration       // how soon a destination is looked at after it woke
	packBuffer        []byte              // reused by rest
	missingDepartures []departure         // of those that were at rest, in the whole list that is just taken in
	departureCount    int                 // of endpoints from the list so far
	absences          map[EndpointID]absence
}

// absence is when the list lost an endpoint at rest, and the number of that among all.
type absence struct {
	at              time.Duration
	departureNumber int
}

// roster is all records, with the ways to find them.
type recordTable struct {
	list   []record
	free   []uint32
	states packedStates
	byID   *index.Index[EndpointID]
	byDest *index.Index[int32] // the last endpoint of each
}

func newRecordTable() *recordTable {
	r := &recordTable{}
	r.byID = index.New(func(at uint32) EndpointID { return r.list[at].id })
	r.byDest = index.New(func(at uint32) int32 { return r.list[at].destination })
	return r
}

// fits tells whether an endpoint has a place in a record. What has none stays awake.
func fitsRecord(dest, kind, zone int) bool {
	return int(int32(dest)) == dest && int(uint8(kind)) == kind && int(uint16(zone)) == zone
}

// reserve makes room for so many records.
func (r *recordTable) reserve(n int) {
	if n -= len(r.list); n > 0 {
		r.list = slices.Grow(r.list, n)
		r.byID.Reserve(n)
		r.byDest.Reserve(n)
	}
}

// add appends an endpoint to a destination at rest, which may be new.
func (r *recordTable) add(x record) {
	at := uint32(len(r.list))
	if n := len(r.free); n > 0 {
		at, r.free = r.free[n-1], r.free[:n-1]
	} else {
		r.list = append(r.list, record{})
	}
	x.flags, x.next = x.flags|flagUsed, at
	if last, known := r.byDest.Find(x.destination); known {
		x.next, r.list[last].next = r.list[last].next, at
	}
	r.list[at] = x
	r.byID.Put(at)
	r.byDest.Put(at)
}

// take removes a destination and returns its endpoints in the order first heard of.
func (r *recordTable) removeDestination(last uint32) []record {
	var all []record
	r.byDest.Remove(r.list[last].destination)
	for at := r.list[last].next; ; at = r.list[at].next {
		all = append(all, r.list[at])
		r.byID.Remove(r.list[at].id)
		r.free = append(r.free, at)
		r.list[at].flags = 0
		if at == last {
			return all
		}
	}
}

// endpoint returns a listed endpoint, awake, nil for one not known.
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

// wake makes a destination at rest one with a state, the one that it had, and returns it, nil for one that is not at rest.
func (s *Sender) activate(dest int32) *destinationState {
	last, known := s.records.byDest.Find(dest)
	if !known {
		return nil
	}
	d := s.newDestination(int(dest))
	all := s.records.removeDestination(last)
	for _, r := range all {
		ep := s.addEndpoint(d, r.id, r.seq, int(r.kind))
		ep.zone, ep.listedRate, ep.inService = int(r.zone), r.listedRate, r.flags&flagInService != 0
		if r.flags&flagGone != 0 {
			a := s.absences[ep.id]
			delete(s.absences, ep.id)
			ep.gone, ep.goneAt, ep.departureNumber = true, a.at, a.departureNumber
			s.departures = slices.Insert(s.departures, s.departureIndex(a.departureNumber-1), departure{ep, a.departureNumber})
		} else if r.flags&flagMissing != 0 {
			s.missingDepartures = append(s.missingDepartures, s.markGone(ep))
		}
	}
	d.seq = d.endpoints[0].seq
	if state := all[len(all)-1].state; state != 0 {
		newPacker(s.records.states.get(state), true).destination(d)
		s.records.states.drop(state)
	}
	return d
}

// departed is how many of those gone left by a number.
func (s *Sender) departureIndex(no int) int {
	i, _ := slices.BinarySearchFunc(s.departures, no+1, func(g departure, no int) int { return cmp.Compare(g.number, no) })
	return i
}

// rest lays a destination down, unless something of it is held, out, to be forgotten or cannot be told by a record.
func (s *Sender) deactivate(d *destinationState) bool {
	if d.held > 0 || len(d.endpoints) == 0 || d.pinned {
		return false
	}
	for i, ep := range d.endpoints {
		shared := i == 0 || !s.kind(ep).RoutesApart // what join makes of it
		if len(ep.calls) > 0 || ep.gone && len(d.endpoints) > 1 || !fitsRecord(d.number, ep.kind, ep.zone) || (ep.limitScope == d.endpoints[0].limitScope) != shared {
			return false
		}
	}
	p := newPacker(s.packBuffer[:0], false)
	p.destination(d)
	s.packBuffer = p.data
	state, room := s.records.states.put(p.data)
	if !room {
		return false
	}
	for i, ep := range d.endpoints {
		r := record{id: ep.id, seq: ep.seq, destination: int32(d.number), zone: uint16(ep.zone), kind: uint8(ep.kind), listedRate: ep.listedRate}
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

// restIdle lays down what has come to rest, of what woke long enough ago.
func (s *Sender) deactivateIdle() {
	for range min(maxDeactivations, len(s.active)) {
		w := s.active[0]
		if s.now < w.checkAt {
			return
		}
		s.active[0].destination = nil
		s.active = s.active[1:]
		if !s.deactivate(w.destination) {
			s.active = append(s.active, activeDestination{w.destination, s.now + s.deactivateAfter})
		}
	}
}

// wakeful is a destination that is awake, and when to look at it.
type activeDestination struct {
	destination *destinationState
	checkAt     time.Duration
}

// newDestination returns a destination that nothing is known of.
func (s *Sender) newDestination(n int) *destinationState {
	d := &destinationState{number: n, backlog: backlog{firstDue: never}}
	s.destinations[n] = d
	s.active = append(s.active, activeDestination{d, s.now + s.deactivateAfter})
	return d
}

// join gives a destination one endpoint more, on the lane of the others unless its kind's routes are apart.
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

// note takes an entry of the list in without waking anything; it is false if that cannot be.
func (s *Sender) updateDormant(e Entry) bool {
	marks := flagUsed
	if !e.Draining {
		marks |= flagInService
	}
	if at, known := s.records.byID.Find(e.Endpoint); known {
		r := &s.records.list[at]
		if e.Gone && r.flags&flagGone == 0 || !fitsRecord(int(r.destination), int(r.kind), e.Zone) {
			return false
		}
		if e.Gone {
			marks = flagUsed | flagGone
		} else if r.flags&flagGone != 0 {
			delete(s.absences, e.Endpoint)
		}
		r.zone, r.listedRate, r.flags = uint16(e.Zone), s.entryRate(e), marks
		return true
	}
	if e.Gone || !fitsRecord(e.Destination, e.Kind, e.Zone) || s.destinations[e.Destination] != nil || s.endpoints[e.Endpoint] != nil {
		return false
	}
	if last, known := s.records.byDest.Find(int32(e.Destination)); known && (s.records.list[last].state != 0 || s.records.list[last].flags&flagGone != 0) {
		return false // it takes over what is known of the others, which may be forgotten then
	}
	s.lastSeq++
	s.records.add(record{id: e.Endpoint, seq: s.lastSeq, destination: int32(e.Destination), zone: uint16(e.Zone), kind: uint8(e.Kind),
		listedRate: s.entryRate(e), flags: marks})
	return true
}

// rateOf is the rate that an entry lists, where that means something.
func (s *Sender) entryRate(e Entry) float64 {
	if s.settings.RatesListed {
		return e.ListedRate
	}
	return 0
}

// departure is that the list has lost an endpoint. It is void if the endpoint has come back since.
type departure struct {
	endpoint *endpointState
	number   int // of all departures
}

func (g departure) obsolete() bool { return !g.endpoint.gone || g.endpoint.departureNumber != g.number }

// depart notes that the list has lost an endpoint.
func (s *Sender) markGone(ep *endpointState) departure {
	s.departureCount++
	ep.inService, ep.gone, ep.goneAt, ep.departureNumber = false, true, s.now, s.departureCount
	return departure{ep, s.departureCount}
}

// list brings the endpoints up to date. A drained or missing one gets nothing new from this step on.
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
	}
	if e.Whole {
		s.removeUnlisted(before, marked)
	}
	if len(s.absences) == 0 {
		s.absences = map[EndpointID]absence{} // one that had all in it keeps its size
	}
	s.departures = slices.DeleteFunc(s.departures, departure.obsolete)
	s.forgetGoneEndpoints()
}

// loss is an endpoint that a whole list does not name, awake or, by its number, at rest.
type lostEndpoint struct {
	destinationSeq, seq uint32 // its place in the order of all
	endpoint            *endpointState
	id                  EndpointID
}

// lose takes out what a whole list did not name, in the order of all, after what has been gone for longer and before what the list itself
// says is gone. The numbers are of the last departures before the list and before its entries.
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

// destSeq is the place of a destination at rest, that has one endpoint, in the order of all.
func (s *Sender) destinationSeq(r *record) uint32 {
	seq := r.seq
	if r.state != 0 {
		newPacker(s.records.states.get(r.state), true).destinationSeq(&seq, r.seq)
	}
	return seq
}

// inOrder is the order of all endpoints: that in which their destinations, and then they, were first heard of.
func compareEndpoints(a, b *endpointState) int {
	return cmp.Or(compareDestinations(a.destination, b.destination), cmp.Compare(a.seq, b.seq))
}

// setGone notes whether the list has lost an endpoint.
func (s *Sender) setGone(ep *endpointState, gone bool) {
	if gone && !ep.gone {
		s.departures = append(s.departures, s.markGone(ep))
	}
	ep.gone = gone
}

// states is what is known of destinations at rest, packed, by size: to 256 bytes in steps of eight, then doubling. A state's
// number is its size and its place among those of that size.
type packedStates [64]struct {
	size int
	data []byte
	free []uint32
}

const stateIndexBits = 24

// put keeps a state and returns its number, 0 for an empty one; it is false if there are no numbers left.
func (t *packedStates) put(text []byte) (no uint32, room bool) {
	if len(text) == 0 {
		return 0, true
	}
	class := (len(text) + 7) / 8
	size := 8 * class
	if class > 32 {
		class = 32 + bits.Len(uint((len(text)-1)/256))
		size = 256 << (class - 32)
	}
	if class >= len(t) {
		return 0, false
	}
	c := &t[class]
	c.size = size
	place := uint32(len(c.data) / size)
	if n := len(c.free); n > 0 {
		place, c.free = c.free[n-1], c.free[:n-1]
	} else if place>>stateIndexBits != 0 {
		return 0, false
	} else {
		c.data = append(c.data, make([]byte, size)...)
	}
	at := c.data[int(place)*size:][:size]
	clear(at[copy(at, text):]) // zeros mean nothing at the end
	return uint32(class)<<stateIndexBits | place, true
}

// get is a state, with zeros at its end, until the next change.
func (t *packedStates) get(no uint32) []byte {
	c := &t[no>>stateIndexBits]
	return c.data[int(no&(1<<stateIndexBits-1))*c.size:][:c.size]
}

func (t *packedStates) drop(no uint32) {
	c := &t[no>>stateIndexBits]
	c.free = append(c.free, no&(1<<stateIndexBits-1))
}
