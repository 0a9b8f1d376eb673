// This file owns the numbers that the module knows endpoints by. It must never hand out a number twice, nor forget one
// before the module has: a call to an endpoint may end long after it left the list.

package exchange

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"strings"

	"eiderhaven/internal/index"
	"eiderhaven/rules"
)

// directory numbers the endpoints for the module and knows how to reach them. A list may have hundreds of thousands, most of which
// nothing is ever sent to: each costs a row of 24 bytes, a place in the index and the letters of its name and address.
type directory struct {
	last   rules.EndpointID
	rows   []row // in the order of their numbers
	dead   int   // of them
	byName *index.Index[string]
	text   text
	odd    map[rules.EndpointID]Host // what does not fit a row
	dests  map[int]uint64            // heard of at any time, 64 to a word
}

// row is one endpoint.
type row struct {
	id   rules.EndpointID
	at   uint32 // of its name and address in the text
	rate float64
	dest int32
	kind uint16 // or one of those below
	zone uint16
}

const (
	oddKind   = math.MaxUint16 - 1 // the host is among the odd
	forgotten = math.MaxUint16     // the row is dead
)

func newDirectory() *directory {
	d := &directory{odd: map[rules.EndpointID]Host{}, dests: map[int]uint64{}}
	d.byName = index.New(d.name)
	return d
}

// name is that of the endpoint in a row.
func (d *directory) name(at uint32) string {
	name, _ := d.text.get(d.rows[at].at)
	return name
}

// update takes in a listing and returns it in the module's terms, with the peers that are no longer to be reached.
func (d *directory) update(l Listing) (out rules.ListUpdate, left []Peer) {
	out = rules.ListUpdate{Whole: l.Whole, Entries: make([]rules.Entry, 0, len(l.Hosts))}
	if more := len(l.Hosts) - len(d.rows); l.Whole && more > 0 {
		d.rows = slices.Grow(d.rows, more)
		d.byName.Reserve(more)
	}
	var named []bool // by row
	if l.Whole {
		named = make([]bool, len(d.rows)+len(l.Hosts))
	}
	for _, h := range l.Hosts {
		at, known := d.byName.Find(h.Name)
		if known {
			old := d.at(at)
			if h.Gone {
				h = old
				h.Gone = true
			}
			if h.Gone || old.Addr != h.Addr {
				left = append(left, old.Peer)
			}
			d.set(at, old.Addr, h)
		} else if !h.Gone { // else gone before it was ever heard of, or long since
			at = d.add(h)
		} else {
			continue
		}
		if l.Whole {
			named[at] = true
		}
		d.dests[h.Dest>>6] |= 1 << (h.Dest & 63)
		out.Entries = append(out.Entries, rules.Entry{Endpoint: d.rows[at].id, Destination: h.Dest, Kind: h.Kind, Zone: h.Zone,
			ListedRate: h.Rate, Draining: h.Draining, Gone: h.Gone})
	}
	if l.Whole {
		for at, r := range d.rows {
			if !named[at] && r.kind != forgotten {
				left = append(left, d.at(uint32(at)).Peer)
			}
		}
	}
	d.tidy()
	return out, left
}

// add numbers an endpoint.
func (d *directory) add(h Host) (at uint32) {
	d.last++
	at = uint32(len(d.rows))
	d.rows = append(d.rows, row{id: d.last, at: d.text.add(h.Peer)})
	d.byName.Put(at)
	d.set(at, h.Addr, h)
	return at
}

// set puts a host into its row, whose endpoint stood at this address.
func (d *directory) set(at uint32, dial string, h Host) {
	r := &d.rows[at]
	if h.Addr != dial {
		d.text.drop(r.at)
		r.at = d.text.add(h.Peer)
	}
	delete(d.odd, r.id)
	if h.Kind < 0 || h.Kind >= oddKind || h.Zone < 0 || h.Zone > math.MaxUint16 || int(int32(h.Dest)) != h.Dest {
		h.Draining, h.Gone = false, false
		r.kind, d.odd[r.id] = oddKind, h
		return
	}
	r.rate, r.dest, r.kind, r.zone = h.Rate, int32(h.Dest), uint16(h.Kind), uint16(h.Zone)
}

// at is the host in a row. Whether it drains or is gone is the module's to know.
func (d *directory) at(at uint32) Host {
	r := d.rows[at]
	var h Host
	if r.kind == oddKind {
		h = d.odd[r.id]
	} else {
		h = Host{Dest: int(r.dest), Kind: int(r.kind), Zone: int(r.zone), Rate: r.rate}
	}
	h.Name, h.Addr = d.text.get(r.at)
	return h
}

// find is the row of a number. Where no number before it is missing, it is where the number says.
func (d *directory) find(id rules.EndpointID) (at uint32, known bool) {
	if len(d.rows) == 0 || id < d.rows[0].id {
		return 0, false
	}
	i := min(int(id-d.rows[0].id), len(d.rows)-1)
	if d.rows[i].id != id {
		i, known = slices.BinarySearchFunc(d.rows[:i], id, func(r row, id rules.EndpointID) int { return cmp.Compare(r.id, id) })
		if !known {
			return 0, false
		}
	}
	return uint32(i), d.rows[i].kind != forgotten
}

// host is the endpoint of a number, a zero Host for one not known.
func (d *directory) host(id rules.EndpointID) Host {
	if at, known := d.find(id); known {
		return d.at(at)
	}
	return Host{}
}

// id is the number of a name, 0 for one not known.
func (d *directory) id(name string) rules.EndpointID {
	if at, known := d.byName.Find(name); known {
		return d.rows[at].id
	}
	return 0
}

// knows tells whether a destination was heard of at any time.
func (d *directory) knows(dest int) bool { return d.dests[dest>>6]>>(dest&63)&1 != 0 }

// forget drops an endpoint that the module has forgotten.
func (d *directory) forget(id rules.EndpointID) {
	at, known := d.find(id)
	if !known {
		return
	}
	d.byName.Remove(d.name(at))
	d.text.drop(d.rows[at].at)
	d.rows[at].kind = forgotten
	d.dead++
	delete(d.odd, id)
	d.tidy()
}

// tidy moves what is alive together once most of the rows or of the text is dead, so that both stay bounded.
func (d *directory) tidy() {
	if 2*d.dead <= len(d.rows)+64 && 2*d.text.dead <= d.text.size+chunk {
		return
	}
	old := d.text
	d.text = text{}
	d.rows = slices.Clone(slices.DeleteFunc(d.rows, func(r row) bool { return r.kind == forgotten }))
	d.dead = 0
	d.byName = index.New(d.name)
	d.byName.Reserve(len(d.rows))
	for at := range d.rows {
		name, dial := old.get(d.rows[at].at)
		d.rows[at].at = d.text.add(Peer{name, dial})
		d.byName.Put(uint32(at))
	}
}

// text is the names and addresses, one after the other, each after its length, in chunks that are never moved: what is got from
// it stays valid. A place in it is the chunk's number times chunk, and the place there.
type text struct {
	chunks     []*strings.Builder
	size, dead int
}

const chunk = 16 << 10

func (t *text) add(p Peer) uint32 {
	head := binary.AppendUvarint(binary.AppendUvarint(nil, uint64(len(p.Name))), uint64(len(p.Addr)))
	n, last := len(head)+len(p.Name)+len(p.Addr), len(t.chunks)-1
	if last < 0 || t.chunks[last].Len()+n > chunk {
		b := &strings.Builder{}
		b.Grow(max(n, chunk))
		t.chunks = append(t.chunks, b)
		last++
	}
	b := t.chunks[last]
	at := last*chunk + b.Len()
	b.Write(head)
	b.WriteString(p.Name)
	b.WriteString(p.Addr)
	t.size += n
	return uint32(at)
}

// entry is where the name begins in a chunk, and the lengths of name and address.
func (t *text) entry(at uint32) (s string, name, dial int) {
	s = t.chunks[at/chunk].String()[at%chunk:]
	n, a := binary.Uvarint([]byte(s[:min(len(s), binary.MaxVarintLen64)]))
	s = s[a:]
	m, b := binary.Uvarint([]byte(s[:min(len(s), binary.MaxVarintLen64)]))
	return s[b:], int(n), int(m)
}

func (t *text) get(at uint32) (name, dial string) {
	s, n, m := t.entry(at)
	return s[:n], s[n : n+m]
}

// drop counts an entry that is of no more use.
func (t *text) drop(at uint32) {
	_, n, m := t.entry(at)
	t.dead += n + m + 2
}
