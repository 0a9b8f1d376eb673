// This file owns the form of the file: records of length, checksum and payload, in an order that means something. It must never panic on
// what it reads, whatever a disk made of it.

package snapshot

import (
	"bufio"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"math"
	"os"
	"slices"
	"strings"

	"eiderhaven/internal/exchange"
)

// A file is a head, the parts of a whole list and its end, then the changes that have come since, each on top of the one before. What
// follows a record that is broken means nothing, as it would build on what is not known.
const (
	kindHead   = 'h' // form, address, names of kinds, names of zones
	kindPart   = 'p' // some endpoints
	kindEnd    = 'e' // version, number of endpoints, last change before it
	kindChange = 'c' // version, endpoints

	form     = 1
	headLen  = 8        // of a record
	partSize = 32 << 10 // bytes of a part, about
	mostLast = 64       // entries of a last change that an end tells
	usual    = 40       // bytes of an endpoint, about
)

var table = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends a record whose payload fill appends.
func appendRecord(buf []byte, fill func([]byte) []byte) []byte {
	at := len(buf)
	buf = fill(append(buf, make([]byte, headLen)...))
	payload := buf[at+headLen:]
	binary.BigEndian.PutUint32(buf[at:], uint32(len(payload)))
	binary.BigEndian.PutUint32(buf[at+4:], crc32.Checksum(payload, table))
	return buf
}

func appendText(buf []byte, s string) []byte {
	return append(binary.AppendUvarint(buf, uint64(len(s))), s...)
}

func appendTexts(buf []byte, list []string) []byte {
	buf = binary.AppendUvarint(buf, uint64(len(list)))
	for _, s := range list {
		buf = appendText(buf, s)
	}
	return buf
}

// The marks of an endpoint.
const (
	markDraining = 1 << iota
	markGone
	markRate
)

func appendHost(buf []byte, h exchange.Host) []byte {
	var marks byte
	if h.Draining {
		marks |= markDraining
	}
	if h.Gone {
		marks |= markGone
	}
	if h.Rate != 0 {
		marks |= markRate
	}
	buf = appendText(append(buf, marks), h.Name)
	buf = appendText(buf, h.Addr)
	buf = binary.AppendVarint(buf, int64(h.Dest))
	buf = binary.AppendUvarint(buf, uint64(h.Kind))
	buf = binary.AppendUvarint(buf, uint64(h.Zone))
	if h.Rate != 0 {
		buf = binary.BigEndian.AppendUint64(buf, math.Float64bits(h.Rate))
	}
	return buf
}

func appendHosts(buf []byte, hosts []exchange.Host) []byte {
	for _, h := range hosts {
		buf = appendHost(buf, h)
	}
	return buf
}

// encode writes a state as a file of its own, with no changes.
func encode(w io.Writer, s *State) error {
	buf := appendRecord(nil, func(b []byte) []byte {
		return appendTexts(appendTexts(appendText(append(b, kindHead, form), s.DiscoveryAddress), s.Kinds), s.Zones)
	})
	for rest := s.Hosts; len(rest) > 0; {
		buf = appendRecord(buf, func(b []byte) []byte {
			b = append(b, kindPart)
			for begun := len(b); len(rest) > 0 && len(b)-begun < partSize; rest = rest[1:] {
				b = appendHost(b, rest[0])
			}
			return b
		})
		if _, err := w.Write(buf); err != nil {
			return err
		}
		buf = buf[:0]
	}
	last := s.LastChange
	if len(last) > mostLast {
		last = nil
	}
	_, err := w.Write(appendRecord(buf, func(b []byte) []byte {
		b = binary.AppendVarint(append(b, kindEnd), s.Seq)
		b = binary.AppendUvarint(b, uint64(len(s.Hosts)))
		return appendHosts(binary.AppendVarint(b, s.PrevSeq), last)
	}))
	return err
}

// appendChange appends the record of a change.
func appendChange(buf []byte, seq int64, hosts []exchange.Host) []byte {
	return appendRecord(buf, func(b []byte) []byte {
		return appendHosts(binary.AppendVarint(append(b, kindChange), seq), hosts)
	})
}

// cursor reads a payload; after a fault everything reads as zero.
type cursor struct {
	text string
	bad  bool
}

func (c *cursor) cut(n int) string {
	if n < 0 || n > len(c.text) {
		c.bad, c.text = true, ""
		return ""
	}
	s := c.text[:n]
	c.text = c.text[n:]
	return s
}

func (c *cursor) byte() byte {
	if s := c.cut(1); s != "" {
		return s[0]
	}
	return 0
}

func (c *cursor) uint() (v uint64) {
	for shift := 0; shift < 64; shift += 7 {
		b := c.byte()
		v |= uint64(b&0x7f) << shift
		if b < 0x80 {
			return v
		}
	}
	c.bad = true
	return 0
}

func (c *cursor) int() int64 {
	u := c.uint()
	return int64(u>>1) ^ -int64(u&1)
}

// string shares the memory of the whole record: of a list, most endpoints stay as long as any.
func (c *cursor) string() string { return c.cut(int(min(c.uint(), math.MaxInt32))) }

func (c *cursor) strings() (list []string) {
	for n := c.uint(); n > 0 && !c.bad; n-- {
		list = append(list, c.string())
	}
	return list
}

func (c *cursor) host() (h exchange.Host) {
	marks := c.byte()
	h.Draining, h.Gone = marks&markDraining != 0, marks&markGone != 0
	h.Name, h.Addr, h.Dest, h.Kind, h.Zone = c.string(), c.string(), int(c.int()), int(c.uint()), int(c.uint())
	if rate := []byte(c.cut(int(marks&markRate) / markRate * 8)); len(rate) == 8 {
		h.Rate = math.Float64frombits(binary.BigEndian.Uint64(rate))
	}
	return h
}

func (c *cursor) hosts(to []exchange.Host) []exchange.Host {
	for len(c.text) > 0 {
		if h := c.host(); !c.bad {
			to = append(to, h)
		}
	}
	return to
}

var errForm = errors.New("no whole list in it")

// reader reads the records of a file as far as they are whole.
type reader struct {
	br   *bufio.Reader
	left int64 // bytes of the file
	buf  []byte
}

// next returns the payload of the next record, or nothing at the end or where it is broken.
func (r *reader) next() (kind byte, c *cursor) {
	var head [headLen]byte
	if _, err := io.ReadFull(r.br, head[:]); err != nil {
		return 0, nil
	}
	r.left -= headLen
	n := int64(binary.BigEndian.Uint32(head[:]))
	if n < 1 || n > r.left {
		return 0, nil
	}
	r.left -= n
	r.buf = slices.Grow(r.buf[:0], int(n))[:n]
	if _, err := io.ReadFull(r.br, r.buf); err != nil || crc32.Checksum(r.buf, table) != binary.BigEndian.Uint32(head[4:]) {
		return 0, nil
	}
	return r.buf[0], &cursor{text: string(r.buf[1:])}
}

// decode reads a file: the state that it ends in, how many bytes of it are whole, and how many of those are the list without the changes.
func decode(f *os.File) (s *State, size, base int64, err error) {
	info, err := f.Stat()
	if err != nil {
		return nil, 0, 0, err
	}
	r := &reader{br: bufio.NewReaderSize(f, 64<<10), left: info.Size()}
	total := r.left
	kind, c := r.next()
	if c == nil || kind != kindHead || c.byte() != form {
		return nil, 0, 0, errForm
	}
	s = &State{DiscoveryAddress: c.string(), Kinds: c.strings(), Zones: c.strings(), Hosts: make([]exchange.Host, 0, total/usual)}
	if c.bad {
		return nil, 0, 0, errForm
	}
	for {
		kind, c = r.next()
		if c == nil || kind != kindPart && kind != kindEnd {
			return nil, 0, 0, errForm
		}
		if kind == kindEnd {
			break
		}
		if s.Hosts = c.hosts(s.Hosts); c.bad {
			return nil, 0, 0, errForm
		}
	}
	s.Seq = c.int()
	count := c.uint()
	s.PrevSeq = c.int()
	if s.LastChange = c.hosts(nil); c.bad || count != uint64(len(s.Hosts)) {
		return nil, 0, 0, errForm
	}
	base = total - r.left
	changed := map[string]exchange.Host{}
	for size = base; ; size = total - r.left {
		kind, c = r.next()
		if c == nil || kind != kindChange {
			break
		}
		seq := c.int()
		hosts := c.hosts(nil)
		if c.bad {
			break
		}
		for _, h := range hosts {
			changed[h.Name] = h
		}
		if len(hosts) > 0 && seq != s.Seq {
			s.PrevSeq, s.LastChange = s.Seq, hosts
		}
		s.Seq = seq
	}
	s.apply(changed)
	return s, size, base, nil
}

// apply brings the list up to date: each endpoint by its name, what is new at the end.
func (s *State) apply(changed map[string]exchange.Host) {
	if len(changed) == 0 {
		return
	}
	kept := s.Hosts[:0]
	for _, h := range s.Hosts {
		if now, is := changed[h.Name]; is {
			delete(changed, h.Name)
			h = now
		}
		if !h.Gone {
			kept = append(kept, h)
		}
	}
	begun := len(kept)
	for _, h := range changed {
		if !h.Gone {
			kept = append(kept, h)
		}
	}
	slices.SortFunc(kept[begun:], func(a, b exchange.Host) int { return strings.Compare(a.Name, b.Name) }) // in an order that repeats
	s.Hosts = kept
}
