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
	restAfter = 5 * time.Second // a destination is looked at this long after it woke, and again as often until it rests
	restMost  = 64              // as many in one step, so that none takes long
)

// record is one endpoint of a destination at rest.
type record struct {
	id    EndpointID
	seq   uint32
	dest  int32
	next  uint32 // the destination's next endpoint, in the order first heard of; after the last comes the first
	state uint32 // of the destination, among the states, at its last endpoint; 0 for none
	zone  uint16
	kind  uint8
	marks mark
	rate  float64
}

type mark uint8

const (
	used    mark = 1 << iota // else the record is free
	listed                   // and not draining
	missing                  // from the whole list that is just taken in
	absent                   // gone from the list; only the one endpoint of a destination is, as it stays until another comes
)

// atRest is the part of a sender that keeps what rests, and what is to.
type atRest struct {
	roster    *roster
	awake     []wakeful     // the first to be looked at first
	restAfter time.Duration // how soon a destination is looked at after it woke
	packed    []byte        // reused by rest
	missed    []departure   // of those that were at rest, in the whole list that is just taken in
	leaves    int           // of endpoints from the list so far
	absent    map[EndpointID]absence
}

// absence is when the list lost an endpoint at rest, and the number of that among all.
type absence struct {
	at time.Duration
	no int
}

// roster is all records, with the ways to find them.
type roster struct {
	list   []record
	free   []uint32
	states states
	byID   *index.Index[EndpointID]
	byDest *index.Index[int32] // the last endpoint of each
}

func newRoster() *roster {
	r := &roster{}
	r.byID = index.New(func(at uint32) EndpointID { return r.list[at].id })
	r.byDest = index.New(func(at uint32) int32 { return r.list[at].dest })
	return r
}

// fits tells whether an endpoint has a place in a record. What has none stays awake.
func fits(dest, kind, zone int) bool {
	return int(int32(dest)) == dest && int(uint8(kind)) == kind && int(uint16(zone)) == zone
}

// reserve makes room for so many records.
func (r *roster) reserve(n int) {
	if n -= len(r.list); n > 0 {
		r.list = slices.Grow(r.list, n)
		r.byID.Reserve(n)
		r.byDest.Reserve(n)
	}
}

// add appends an endpoint to a destination at rest, which may be new.
func (r *roster) add(x record) {
	at := uint32(len(r.list))
	if n := len(r.free); n > 0 {
		at, r.free = r.free[n-1], r.free[:n-1]
	} else {
		r.list = append(r.list, record{})
	}
	x.marks, x.next = x.marks|used, at
	if last, known := r.byDest.Find(x.dest); known {
		x.next, r.list[last].next = r.list[last].next, at
	}
	r.list[at] = x
	r.byID.Put(at)
	r.byDest.Put(at)
}

// take removes a destination and returns its endpoints in the order first heard of.
func (r *roster) take(last uint32) []record {
	var all []record
	r.byDest.Remove(r.list[last].dest)
	for at := r.list[last].next; ; at = r.list[at].next {
		all = append(all, r.list[at])
		r.byID.Remove(r.list[at].id)
		r.free = append(r.free, at)
		r.list[at].marks = 0
		if at == last {
			return all
		}
	}
}

// endpoint returns a listed endpoint, awake, nil for one not known.
func (s *Sender) endpoint(id EndpointID) *endpoint {
	ep := s.endpoints[id]
	if ep == nil {
		if at, known := s.roster.byID.Find(id); known {
			s.wake(s.roster.list[at].dest)
			ep = s.endpoints[id]
		}
	}
	return ep
}

// wake makes a destination at rest one with a state, the one that it had, and returns it, nil for one that is not at rest.
func (s *Sender) wake(dest int32) *destination {
	last, known := s.roster.byDest.Find(dest)
	if !known {
		return nil
	}
	d := s.newDestination(int(dest))
	all := s.roster.take(last)
	for _, r := range all {
		ep := s.join(d, r.id, r.seq, int(r.kind))
		ep.zone, ep.rate, ep.listed = int(r.zone), r.rate, r.marks&listed != 0
		if r.marks&absent != 0 {
			a := s.absent[ep.id]
			delete(s.absent, ep.id)
			ep.gone, ep.goneAt, ep.left = true, a.at, a.no
			s.gone = slices.Insert(s.gone, s.departed(a.no-1), departure{ep, a.no})
		} else if r.marks&missing != 0 {
			s.missed = append(s.missed, s.depart(ep))
		}
	}
	d.seq = d.endpoints[0].seq
	if state := all[len(all)-1].state; state != 0 {
		newPacker(s.roster.states.get(state), true).destination(d)
		s.roster.states.drop(state)
	}
	return d
}

// departed is how many of those gone left by a number.
func (s *Sender) departed(no int) int {
	i, _ := slices.BinarySearchFunc(s.gone, no+1, func(g departure, no int) int { return cmp.Compare(g.no, no) })
	return i
}

// rest lays a destination down, unless something of it is held, out, to be forgotten or cannot be told by a record.
func (s *Sender) rest(d *destination) bool {
	if d.held > 0 || len(d.endpoints) == 0 || d.pinned {
		return false
	}
	for i, ep := range d.endpoints {
		shared := i == 0 || !s.kind(ep).RoutesApart // what join makes of it
		if len(ep.calls) > 0 || ep.gone && len(d.endpoints) > 1 || !fits(d.number, ep.kind, ep.zone) || (ep.lane == d.endpoints[0].lane) != shared {
			return false
		}
	}
	p := newPacker(s.packed[:0], false)
	p.destination(d)
	s.packed = p.text
	state, room := s.roster.states.put(p.text)
	if !room {
		return false
	}
	for i, ep := range d.endpoints {
		r := record{id: ep.id, seq: ep.seq, dest: int32(d.number), zone: uint16(ep.zone), kind: uint8(ep.kind), rate: ep.rate}
		if ep.listed {
			r.marks = listed
		}
		if ep.gone {
			r.marks = absent
			s.absent[ep.id] = absence{ep.goneAt, ep.left}
			at := s.departed(ep.left - 1)
			s.gone = slices.Delete(s.gone, at, at+1)
		}
		if i == len(d.endpoints)-1 {
			r.state = state
		}
		s.roster.add(r)
		delete(s.endpoints, ep.id)
	}
	delete(s.dests, d.number)
	return true
}

// restIdle lays down what has come to rest, of what woke long enough ago.
func (s *Sender) restIdle() {
	for range min(restMost, len(s.awake)) {
		w := s.awake[0]
		if s.now < w.at {
			return
		}
		s.awake[0].d = nil
		s.awake = s.awake[1:]
		if !s.rest(w.d) {
			s.awake = append(s.awake, wakeful{w.d, s.now + s.restAfter})
		}
	}
}

// wakeful is a destination that is awake, and when to look at it.
type wakeful struct {
	d  *destination
	at time.Duration
}

// newDestination returns a destination that nothing is known of.
func (s *Sender) newDestination(n int) *destination {
	d := &destination{number: n, backlog: backlog{firstDue: never}}
	s.dests[n] = d
	s.awake = append(s.awake, wakeful{d, s.now + s.restAfter})
	return d
}

// join gives a destination one endpoint more, on the lane of the others unless its kind's routes are apart.
func (s *Sender) join(d *destination, id EndpointID, seq uint32, kind int) *endpoint {
	ep := &endpoint{id: id, seq: seq, dest: d, kind: kind}
	if !s.kind(ep).RoutesApart && len(d.endpoints) > 0 {
		ep.lane = d.endpoints[0].lane
	} else {
		ep.lane = &lane{}
	}
	s.endpoints[id] = ep
	d.endpoints = append(d.endpoints, ep)
	return ep
}

// note takes an entry of the list in without waking anything; it is false if that cannot be.
func (s *Sender) note(e Entry) bool {
	marks := used
	if !e.Draining {
		marks |= listed
	}
	if at, known := s.roster.byID.Find(e.Endpoint); known {
		r := &s.roster.list[at]
		if e.Gone && r.marks&absent == 0 || !fits(int(r.dest), int(r.kind), e.Zone) {
			return false
		}
		if e.Gone {
			marks = used | absent
		} else if r.marks&absent != 0 {
			delete(s.absent, e.Endpoint)
		}
		r.zone, r.rate, r.marks = uint16(e.Zone), s.rateOf(e), marks
		return true
	}
	if e.Gone || !fits(e.Destination, e.Kind, e.Zone) || s.dests[e.Destination] != nil || s.endpoints[e.Endpoint] != nil {
		return false
	}
	if last, known := s.roster.byDest.Find(int32(e.Destination)); known && (s.roster.list[last].state != 0 || s.roster.list[last].marks&absent != 0) {
		return false // it takes over what is known of the others, which may be forgotten then
	}
	s.epSeq++
	s.roster.add(record{id: e.Endpoint, seq: s.epSeq, dest: int32(e.Destination), zone: uint16(e.Zone), kind: uint8(e.Kind),
		rate: s.rateOf(e), marks: marks})
	return true
}

// rateOf is the rate that an entry lists, where that means something.
func (s *Sender) rateOf(e Entry) float64 {
	if s.set.RatesListed {
		return e.ListedRate
	}
	return 0
}

// departure is that the list has lost an endpoint. It is void if the endpoint has come back since.
type departure struct {
	ep *endpoint
	no int // of all departures
}

func (g departure) void() bool { return !g.ep.gone || g.ep.left != g.no }

// depart notes that the list has lost an endpoint.
func (s *Sender) depart(ep *endpoint) departure {
	s.leaves++
	ep.listed, ep.gone, ep.goneAt, ep.left = false, true, s.now, s.leaves
	return departure{ep, s.leaves}
}

// list brings the endpoints up to date. A drained or missing one gets nothing new from this step on.
func (s *Sender) list(e Listed) {
	before := s.leaves
	if e.Whole {
		for _, d := range s.dests {
			for _, ep := range d.endpoints {
				s.setGone(ep, true)
			}
		}
		for at := range s.roster.list {
			s.roster.list[at].marks |= missing
		}
		s.roster.reserve(len(e.Entries))
	}
	marked := s.leaves
	for _, entry := range e.Entries {
		if s.note(entry) {
			continue
		}
		ep := s.endpoint(entry.Endpoint)
		if ep == nil {
			d := s.destination(entry.Destination)
			s.epSeq++
			ep = s.join(d, entry.Endpoint, s.epSeq, entry.Kind)
			s.copyFailures(ep)
		}
		ep.zone, ep.rate, ep.listed = entry.Zone, s.rateOf(entry), !entry.Draining && !entry.Gone
		s.setGone(ep, entry.Gone)
	}
	if e.Whole {
		s.lose(before, marked)
	}
	if len(s.absent) == 0 {
		s.absent = map[EndpointID]absence{} // one that had all in it keeps its size
	}
	s.gone = slices.DeleteFunc(s.gone, departure.void)
	s.forgetGone()
}

// loss is an endpoint that a whole list does not name, awake or, by its number, at rest.
type loss struct {
	dest, seq uint32 // its place in the order of all
	ep        *endpoint
	id        EndpointID
}

// lose takes out what a whole list did not name, in the order of all, after what has been gone for longer and before what the list itself
// says is gone. The numbers are of the last departures before the list and before its entries.
func (s *Sender) lose(before, marked int) {
	var lost []loss
	for at := range s.roster.list {
		switch r := &s.roster.list[at]; {
		case r.marks&(used|missing) != used|missing:
		case r.marks&absent != 0:
			r.marks &^= missing
		case r.next == uint32(at):
			r.marks = used | absent
			lost = append(lost, loss{s.destSeq(r), r.seq, nil, r.id})
		default:
			s.wake(r.dest)
		}
	}
	old, later := s.departed(before), s.departed(marked)
	for _, g := range slices.Concat(s.gone[old:later], s.missed) {
		if !g.void() {
			lost = append(lost, loss{g.ep.dest.seq, g.ep.seq, g.ep, 0})
		}
	}
	slices.SortFunc(lost, func(a, b loss) int { return cmp.Or(cmp.Compare(a.dest, b.dest), cmp.Compare(a.seq, b.seq)) })
	last := slices.Clone(s.gone[later:])
	s.gone, s.missed = s.gone[:old], nil
	for _, l := range lost {
		s.leaves++
		if l.ep == nil {
			s.absent[l.id] = absence{s.now, s.leaves}
		} else {
			l.ep.left = s.leaves
			s.gone = append(s.gone, departure{l.ep, s.leaves})
		}
	}
	for _, g := range last {
		if !g.void() {
			s.leaves++
			g.ep.left = s.leaves
			s.gone = append(s.gone, departure{g.ep, s.leaves})
		}
	}
}

// destSeq is the place of a destination at rest, that has one endpoint, in the order of all.
func (s *Sender) destSeq(r *record) uint32 {
	seq := r.seq
	if r.state != 0 {
		newPacker(s.roster.states.get(r.state), true).destSeq(&seq, r.seq)
	}
	return seq
}

// inOrder is the order of all endpoints: that in which their destinations, and then they, were first heard of.
func inOrder(a, b *endpoint) int {
	return cmp.Or(bySeq(a.dest, b.dest), cmp.Compare(a.seq, b.seq))
}

// setGone notes whether the list has lost an endpoint.
func (s *Sender) setGone(ep *endpoint, gone bool) {
	if gone && !ep.gone {
		s.gone = append(s.gone, s.depart(ep))
	}
	ep.gone = gone
}

// states is what is known of destinations at rest, packed, by size: to 256 bytes in steps of eight, then doubling. A state's
// number is its size and its place among those of that size.
type states [64]struct {
	size int
	data []byte
	free []uint32
}

const placeBits = 24

// put keeps a state and returns its number, 0 for an empty one; it is false if there are no numbers left.
func (t *states) put(text []byte) (no uint32, room bool) {
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
	} else if place>>placeBits != 0 {
		return 0, false
	} else {
		c.data = append(c.data, make([]byte, size)...)
	}
	at := c.data[int(place)*size:][:size]
	clear(at[copy(at, text):]) // zeros mean nothing at the end
	return uint32(class)<<placeBits | place, true
}

// get is a state, with zeros at its end, until the next change.
func (t *states) get(no uint32) []byte {
	c := &t[no>>placeBits]
	return c.data[int(no&(1<<placeBits-1))*c.size:][:c.size]
}

func (t *states) drop(no uint32) {
	c := &t[no>>placeBits]
	c.free = append(c.free, no&(1<<placeBits-1))
}
