// This file owns the file format: records of length, checksum and payload, whose order has a meaning. It must never
// panic on what it reads, however corrupt the file is.

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

// The kinds of records. A file consists of a head, the parts of a whole list and their end, then the changes since,
// each applied to the result of the one before. Records after a broken one are ignored, as they build on something
// unknown.
const (
	kindHead   = 'h' // format version, address of discovery, names of kinds, names of zones
	kindPart   = 'p' // some endpoints
	kindEnd    = 'e' // version, number of endpoints, last change before it
	kindChange = 'c' // version, endpoints
)

const (
	formatVersion    = 1
	recordHeadBytes  = 8        // length and checksum of a record
	checksumOffset   = 4        // of the checksum in that head
	partBytes        = 32 << 10 // approximate size of a part
	maxLastChange    = 64       // entries of a last change; a larger one is not written
	typicalHostBytes = 40       // of an endpoint in the file
	readBufferBytes  = 64 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends a record whose payload is appended by fill.
func appendRecord(buf []byte, fill func([]byte) []byte) []byte {
	start := len(buf)
	buf = fill(append(buf, make([]byte, recordHeadBytes)...))
	payload := buf[start+recordHeadBytes:]
	binary.BigEndian.PutUint32(buf[start:], uint32(len(payload)))
	binary.BigEndian.PutUint32(buf[start+checksumOffset:], crc32.Checksum(payload, castagnoli))
	return buf
}

func appendString(buf []byte, s string) []byte {
	return append(binary.AppendUvarint(buf, uint64(len(s))), s...)
}

func appendStrings(buf []byte, list []string) []byte {
	buf = binary.AppendUvarint(buf, uint64(len(list)))
	for _, s := range list {
		buf = appendString(buf, s)
	}
	return buf
}

// The flags of an endpoint.
const (
	flagDraining = 1 << iota
	flagGone
	flagRate // a rate follows
)

const rateBytes = 8

func appendHost(buf []byte, h exchange.Host) []byte {
	var flags byte
	if h.Draining {
		flags |= flagDraining
	}
	if h.Gone {
		flags |= flagGone
	}
	if h.Rate != 0 {
		flags |= flagRate
	}
	buf = appendString(append(buf, flags), h.Name)
	buf = appendString(buf, h.Addr)
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

// encode writes a state as a complete file without changes.
func encode(w io.Writer, s *State) error {
	buf := appendRecord(nil, func(b []byte) []byte {
		b = append(b, kindHead, formatVersion)
		b = appendString(b, s.DiscoveryAddress)
		b = appendStrings(b, s.Kinds)
		return appendStrings(b, s.Zones)
	})
	for rest := s.Hosts; len(rest) > 0; {
		buf = appendRecord(buf, func(b []byte) []byte {
			b = append(b, kindPart)
			for start := len(b); len(rest) > 0 && len(b)-start < partBytes; rest = rest[1:] {
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
	if len(last) > maxLastChange {
		last = nil
	}
	_, err := w.Write(appendRecord(buf, func(b []byte) []byte {
		b = binary.AppendVarint(append(b, kindEnd), s.Seq)
		b = binary.AppendUvarint(b, uint64(len(s.Hosts)))
		b = binary.AppendVarint(b, s.PrevSeq)
		return appendHosts(b, last)
	}))
	return err
}

// appendChange appends the record of a change.
func appendChange(buf []byte, seq int64, hosts []exchange.Host) []byte {
	return appendRecord(buf, func(b []byte) []byte {
		b = binary.AppendVarint(append(b, kindChange), seq)
		return appendHosts(b, hosts)
	})
}

// payloadReader reads the values of a payload. After an invalid value it is failed, and every further value is zero.
type payloadReader struct {
	rest   string
	failed bool
}

// take returns the next n bytes.
func (r *payloadReader) take(n int) string {
	if n < 0 || n > len(r.rest) {
		r.failed, r.rest = true, ""
		return ""
	}
	s := r.rest[:n]
	r.rest = r.rest[n:]
	return s
}

func (r *payloadReader) byte() byte {
	if s := r.take(1); s != "" {
		return s[0]
	}
	return 0
}

func (r *payloadReader) uint() (v uint64) {
	for shift := 0; shift < 64; shift += 7 {
		b := r.byte()
		v |= uint64(b&0x7f) << shift
		if b < 0x80 {
			return v
		}
	}
	r.failed = true
	return 0
}

func (r *payloadReader) int() int64 {
	u := r.uint()
	return int64(u>>1) ^ -int64(u&1)
}

// string returns a string that shares the memory of the whole record. This wastes little, as most endpoints of a record
// stay on the list for equally long.
func (r *payloadReader) string() string { return r.take(int(min(r.uint(), math.MaxInt32))) }

func (r *payloadReader) strings() (list []string) {
	for n := r.uint(); n > 0 && !r.failed; n-- {
		list = append(list, r.string())
	}
	return list
}

func (r *payloadReader) host() (h exchange.Host) {
	flags := r.byte()
	h.Draining = flags&flagDraining != 0
	h.Gone = flags&flagGone != 0
	h.Name = r.string()
	h.Addr = r.string()
	h.Dest = int(r.int())
	h.Kind = int(r.uint())
	h.Zone = int(r.uint())
	if rate := []byte(r.take(int(flags&flagRate) / flagRate * rateBytes)); len(rate) == rateBytes {
		h.Rate = math.Float64frombits(binary.BigEndian.Uint64(rate))
	}
	return h
}

// hosts appends the endpoints in the rest of the payload.
func (r *payloadReader) hosts(to []exchange.Host) []exchange.Host {
	for len(r.rest) > 0 {
		if h := r.host(); !r.failed {
			to = append(to, h)
		}
	}
	return to
}

var errNoWholeList = errors.New("the file does not hold a complete endpoint list in a known format")

// recordReader reads the records of a file up to the first broken one.
type recordReader struct {
	br   *bufio.Reader
	left int64 // bytes of the file
	buf  []byte
}

// next returns the kind and payload of the next record, or nil at the end of the file or at a broken record.
func (r *recordReader) next() (kind byte, payload *payloadReader) {
	var head [recordHeadBytes]byte
	if _, err := io.ReadFull(r.br, head[:]); err != nil {
		return 0, nil
	}
	r.left -= recordHeadBytes
	n := int64(binary.BigEndian.Uint32(head[:]))
	if n < 1 || n > r.left {
		return 0, nil
	}
	r.left -= n
	r.buf = slices.Grow(r.buf[:0], int(n))[:n]
	if _, err := io.ReadFull(r.br, r.buf); err != nil {
		return 0, nil
	}
	if crc32.Checksum(r.buf, castagnoli) != binary.BigEndian.Uint32(head[checksumOffset:]) {
		return 0, nil
	}
	return r.buf[0], &payloadReader{rest: string(r.buf[1:])}
}

// decode reads a file. It returns the state after the last valid change, how many bytes of the file are valid, and how
// many of those are the whole list without the changes.
func decode(f *os.File) (s *State, size, listSize int64, err error) {
	info, err := f.Stat()
	if err != nil {
		return nil, 0, 0, err
	}
	r := &recordReader{br: bufio.NewReaderSize(f, readBufferBytes), left: info.Size()}
	total := r.left
	kind, payload := r.next()
	if payload == nil || kind != kindHead || payload.byte() != formatVersion {
		return nil, 0, 0, errNoWholeList
	}
	s = &State{
		DiscoveryAddress: payload.string(),
		Kinds:            payload.strings(),
		Zones:            payload.strings(),
		Hosts:            make([]exchange.Host, 0, total/typicalHostBytes),
	}
	if payload.failed {
		return nil, 0, 0, errNoWholeList
	}
	for {
		kind, payload = r.next()
		if payload == nil || kind != kindPart && kind != kindEnd {
			return nil, 0, 0, errNoWholeList
		}
		if kind == kindEnd {
			break
		}
		if s.Hosts = payload.hosts(s.Hosts); payload.failed {
			return nil, 0, 0, errNoWholeList
		}
	}
	s.Seq = payload.int()
	count := payload.uint()
	s.PrevSeq = payload.int()
	if s.LastChange = payload.hosts(nil); payload.failed || count != uint64(len(s.Hosts)) {
		return nil, 0, 0, errNoWholeList
	}
	listSize = total - r.left
	changed := map[string]exchange.Host{}
	for size = listSize; ; size = total - r.left {
		kind, payload = r.next()
		if payload == nil || kind != kindChange {
			break
		}
		seq := payload.int()
		hosts := payload.hosts(nil)
		if payload.failed {
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
	return s, size, listSize, nil
}

// apply brings the list up to date: it replaces or removes the changed endpoints by name, and appends new ones.
func (s *State) apply(changed map[string]exchange.Host) {
	if len(changed) == 0 {
		return
	}
	kept := s.Hosts[:0]
	for _, h := range s.Hosts {
		if update, found := changed[h.Name]; found {
			delete(changed, h.Name)
			h = update
		}
		if !h.Gone {
			kept = append(kept, h)
		}
	}
	firstNew := len(kept)
	for _, h := range changed {
		if !h.Gone {
			kept = append(kept, h)
		}
	}
	byName := func(a, b exchange.Host) int { return strings.Compare(a.Name, b.Name) }
	slices.SortFunc(kept[firstNew:], byName) // the order must not depend on the map
	s.Hosts = kept
}
