// This file owns the IDs by which the decision module knows endpoints. It must never assign an ID twice, nor forget
// one before the module has: a call to an endpoint may end long after the endpoint left the list.

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

// directory assigns endpoint IDs for the module and stores how to reach the endpoints. A list may hold hundreds of
// thousands of endpoints, and most of them never get a call. Each costs a row of 24 bytes, an index entry and the
// bytes of its name and address.
type directory struct {
	lastID     rules.EndpointID
	rows       []row // ordered by ID
	deadRows   int   // rows with deadKind
	byName     *index.Index[string]
	arena      stringArena
	overflow   map[rules.EndpointID]Host // hosts whose values do not fit a row
	knownDests map[int]uint64            // every destination ever listed: a bitmap of 64 destinations per word
}

// row is one endpoint.
type row struct {
	id     rules.EndpointID
	offset uint32 // of its name and address in the arena
	rate   float64
	dest   int32
	kind   uint16 // kind of destination, or overflowKind or deadKind
	zone   uint16
}

// Values of row.kind that are not kinds of destinations.
const (
	overflowKind = math.MaxUint16 - 1 // the host is in directory.overflow
	deadKind     = math.MaxUint16     // the endpoint was forgotten
)

// compactSlackRows keeps small directories from being compacted again and again.
const compactSlackRows = 64

func newDirectory() *directory {
	d := &directory{overflow: map[rules.EndpointID]Host{}, knownDests: map[int]uint64{}}
	d.byName = index.New(d.nameAt)
	return d
}

// nameAt returns the name of the endpoint in a row.
func (d *directory) nameAt(pos uint32) string {
	name, _ := d.arena.get(d.rows[pos].offset)
	return name
}

// update applies a listing. It returns the listing in the module's terms and the peers that are no longer reachable:
// endpoints that left the list, and the old addresses of endpoints that moved.
func (d *directory) update(l Listing) (out rules.ListUpdate, unreachable []Peer) {
	out = rules.ListUpdate{Whole: l.Whole, Entries: make([]rules.Entry, 0, len(l.Hosts))}
	if more := len(l.Hosts) - len(d.rows); l.Whole && more > 0 {
		d.rows = slices.Grow(d.rows, more)
		d.byName.Reserve(more)
	}
	var listed []bool // by row, for a whole list
	if l.Whole {
		listed = make([]bool, len(d.rows)+len(l.Hosts))
	}
	for _, h := range l.Hosts {
		pos, known := d.byName.Find(h.Name)
		switch {
		case known:
			old := d.hostAt(pos)
			if h.Gone {
				h = old
				h.Gone = true
			}
			if h.Gone || old.Addr != h.Addr {
				unreachable = append(unreachable, old.Peer)
			}
			d.setRow(pos, old.Addr, h)
		case !h.Gone:
			pos = d.add(h)
		default: // removed before it was ever listed, or already forgotten
			continue
		}
		if l.Whole {
			listed[pos] = true
		}
		d.knownDests[h.Dest>>6] |= 1 << (h.Dest & 63)
		out.Entries = append(out.Entries, rules.Entry{
			Endpoint:    d.rows[pos].id,
			Destination: h.Dest,
			Kind:        h.Kind,
			Zone:        h.Zone,
			ListedRate:  h.Rate,
			Draining:    h.Draining,
			Gone:        h.Gone,
		})
	}
	if l.Whole {
		for pos, r := range d.rows {
			if !listed[pos] && r.kind != deadKind {
				unreachable = append(unreachable, d.hostAt(uint32(pos)).Peer)
			}
		}
	}
	d.compact()
	return out, unreachable
}

// add adds an endpoint under a new ID and returns its row.
func (d *directory) add(h Host) (pos uint32) {
	d.lastID++
	pos = uint32(len(d.rows))
	d.rows = append(d.rows, row{id: d.lastID, offset: d.arena.add(h.Peer)})
	d.byName.Put(pos)
	d.setRow(pos, h.Addr, h)
	return pos
}

// setRow stores a host in its row. oldAddr is the address that the row holds so far.
func (d *directory) setRow(pos uint32, oldAddr string, h Host) {
	r := &d.rows[pos]
	if h.Addr != oldAddr {
		d.arena.markDead(r.offset)
		r.offset = d.arena.add(h.Peer)
	}
	delete(d.overflow, r.id)
	fits := h.Kind >= 0 && h.Kind < overflowKind &&
		h.Zone >= 0 && h.Zone <= math.MaxUint16 &&
		int(int32(h.Dest)) == h.Dest
	if !fits {
		h.Draining, h.Gone = false, false
		r.kind = overflowKind
		d.overflow[r.id] = h
		return
	}
	r.rate = h.Rate
	r.dest = int32(h.Dest)
	r.kind = uint16(h.Kind)
	r.zone = uint16(h.Zone)
}

// hostAt returns the host in a row. Draining and Gone are not set: only the module keeps them.
func (d *directory) hostAt(pos uint32) Host {
	r := d.rows[pos]
	var h Host
	if r.kind == overflowKind {
		h = d.overflow[r.id]
	} else {
		h = Host{Dest: int(r.dest), Kind: int(r.kind), Zone: int(r.zone), Rate: r.rate}
	}
	h.Name, h.Addr = d.arena.get(r.offset)
	return h
}

// findRow returns the row of an ID. As long as no earlier ID is missing, the position follows from the ID itself;
// otherwise it is searched for below that position.
func (d *directory) findRow(id rules.EndpointID) (pos uint32, known bool) {
	if len(d.rows) == 0 || id < d.rows[0].id {
		return 0, false
	}
	i := min(int(id-d.rows[0].id), len(d.rows)-1)
	if d.rows[i].id != id {
		compareID := func(r row, id rules.EndpointID) int { return cmp.Compare(r.id, id) }
		i, known = slices.BinarySearchFunc(d.rows[:i], id, compareID)
		if !known {
			return 0, false
		}
	}
	return uint32(i), d.rows[i].kind != deadKind
}

// host returns the endpoint with an ID, or a zero Host if the ID is not known.
func (d *directory) host(id rules.EndpointID) Host {
	if pos, known := d.findRow(id); known {
		return d.hostAt(pos)
	}
	return Host{}
}

// idByName returns the ID of an endpoint, or 0 if the name is not known.
func (d *directory) idByName(name string) rules.EndpointID {
	if pos, known := d.byName.Find(name); known {
		return d.rows[pos].id
	}
	return 0
}

// knowsDest reports whether a destination has ever been listed.
func (d *directory) knowsDest(dest int) bool { return d.knownDests[dest>>6]>>(dest&63)&1 != 0 }

// forget removes an endpoint that the module has forgotten.
func (d *directory) forget(id rules.EndpointID) {
	pos, known := d.findRow(id)
	if !known {
		return
	}
	d.byName.Remove(d.nameAt(pos))
	d.arena.markDead(d.rows[pos].offset)
	d.rows[pos].kind = deadKind
	d.deadRows++
	delete(d.overflow, id)
	d.compact()
}

// compact rewrites rows and arena without the dead entries once more than half of either is dead, so that both stay
// bounded.
func (d *directory) compact() {
	if 2*d.deadRows <= len(d.rows)+compactSlackRows && 2*d.arena.deadBytes <= d.arena.size+chunkSize {
		return
	}
	old := d.arena
	d.arena = stringArena{}
	d.rows = slices.Clone(slices.DeleteFunc(d.rows, func(r row) bool { return r.kind == deadKind }))
	d.deadRows = 0
	d.byName = index.New(d.nameAt)
	d.byName.Reserve(len(d.rows))
	for pos := range d.rows {
		name, addr := old.get(d.rows[pos].offset)
		d.rows[pos].offset = d.arena.add(Peer{name, addr})
		d.byName.Put(uint32(pos))
	}
}

// stringArena stores names and addresses one after the other, each pair preceded by the two lengths. Its chunks are
// never moved, so strings returned from it stay valid. The offset of a pair is chunk number * chunkSize + position in
// the chunk.
type stringArena struct {
	chunks          []*strings.Builder
	size, deadBytes int
}

const chunkSize = 16 << 10 // bytes

// add stores a name and address and returns their offset.
func (a *stringArena) add(p Peer) uint32 {
	lengths := binary.AppendUvarint(nil, uint64(len(p.Name)))
	lengths = binary.AppendUvarint(lengths, uint64(len(p.Addr)))
	size := len(lengths) + len(p.Name) + len(p.Addr)
	last := len(a.chunks) - 1
	if last < 0 || a.chunks[last].Len()+size > chunkSize {
		b := &strings.Builder{}
		b.Grow(max(size, chunkSize))
		a.chunks = append(a.chunks, b)
		last++
	}
	b := a.chunks[last]
	offset := last*chunkSize + b.Len()
	b.Write(lengths)
	b.WriteString(p.Name)
	b.WriteString(p.Addr)
	a.size += size
	return uint32(offset)
}

// entry returns the chunk from where the name begins, and the lengths of the name and the address that follows it.
func (a *stringArena) entry(offset uint32) (s string, nameLen, addrLen int) {
	s = a.chunks[offset/chunkSize].String()[offset%chunkSize:]
	n, used := binary.Uvarint([]byte(s[:min(len(s), binary.MaxVarintLen64)]))
	s = s[used:]
	m, used := binary.Uvarint([]byte(s[:min(len(s), binary.MaxVarintLen64)]))
	return s[used:], int(n), int(m)
}

func (a *stringArena) get(offset uint32) (name, addr string) {
	s, nameLen, addrLen := a.entry(offset)
	return s[:nameLen], s[nameLen : nameLen+addrLen]
}

// markDead counts an entry that is no longer used, with one byte for each of its lengths.
func (a *stringArena) markDead(offset uint32) {
	_, nameLen, addrLen := a.entry(offset)
	const lengthBytes = 2 // of both lengths
	a.deadBytes += nameLen + addrLen + lengthBytes
}
