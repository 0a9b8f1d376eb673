// This file owns the encoding of records: a magic number, the length and the checksum of a payload, and the payload.
// It must never panic on what it reads, however a disk has damaged it.

package ledger

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"time"

	"eiderhaven/internal/message"
)

// recordKind is the first byte of a payload.
type recordKind byte

// The kinds of records. Their numbers are part of the format.
const (
	kindAccepted  recordKind = 1 + iota // a message and everything known of its attempts
	kindCall                            // a call is about to be made
	kindOutcome                         // how an attempt ended
	kindNotice                          // a message's end, of which the platform has to be notified
	kindEnd                             // messages, notices or outages that need nothing more
	kindOutage                          // an endpoint's outage; older versions count it as broken and go on
	kindEndedIDs                        // IDs of ended messages, copied; older versions count it as broken and go on
	kindHardState                       // an endpoint's hard state; older versions count it as broken and go on
)

// record is the content of a record of any kind. The kind determines which fields are used.
type record struct {
	kind           recordKind
	id             string
	ids            []string
	attemptNumbers []int // in a call: the number of each message's attempt
	seq            uint64
	message        *message.Message
	attemptCount   int       // in a message: attempts made so far; in an outcome: the number of the attempt
	openAttempts   []attempt // in a message: attempts without an outcome
	mayHaveRun     bool
	failed         bool    // in an outcome: failed and not merely refused; true whenever mayHaveRun is
	attempt        attempt // in a call or an outage: when and where; in a message: the earliest that may have run
	dead           bool
	retryAfter     time.Duration
	rate           float64  // in an outage
	hashes         []idHash // of ended IDs
	state          []byte   // in a hard state, whose id is the endpoint's name
}

var (
	magic    = []byte("EHr1")
	crcTable = crc32.MakeTable(crc32.Castagnoli)
)

// The header of a record: the magic number, then length and checksum of the payload, 4 bytes each, big-endian.
const (
	lengthOffset   = 4
	checksumOffset = 8
	headerSize     = 12
)

// rateScale is the factor by which rates are stored, as whole numbers.
const rateScale = 1000

// How the outcome of an attempt is stored. Versions before outcomeFailedNotRun read it as outcomeNotRun, which is as
// safe.
const (
	outcomeNotRun       = 0
	outcomeMayHaveRun   = 1
	outcomeFailedNotRun = 2
)

// appendRecord appends an encoded record with its header.
func appendRecord(buf []byte, r record) []byte {
	start := len(buf)
	buf = append(buf, magic...)
	buf = append(buf, make([]byte, headerSize-len(magic))...)
	buf = r.appendPayload(buf)
	payload := buf[start+headerSize:]
	binary.BigEndian.PutUint32(buf[start+lengthOffset:], uint32(len(payload)))
	binary.BigEndian.PutUint32(buf[start+checksumOffset:], crc32.Checksum(payload, crcTable))
	return buf
}

func (r record) appendPayload(buf []byte) []byte {
	buf = append(buf, byte(r.kind))
	switch r.kind {
	case kindAccepted:
		buf = appendString(buf, r.id)
		buf = binary.AppendUvarint(buf, r.seq)
		buf = appendString(buf, r.message.Class)
		buf = appendString(buf, r.message.Tenant)
		buf = appendString(buf, r.message.IdempotencyKey)
		buf = binary.AppendVarint(buf, int64(r.message.Dest))
		buf = binary.AppendVarint(buf, r.message.Deadline.UnixMilli())
		buf = binary.AppendUvarint(buf, uint64(r.attemptCount))
		buf = append(buf, boolByte(r.mayHaveRun))
		if r.mayHaveRun {
			buf = appendAttempt(buf, r.attempt)
		}
		buf = binary.AppendUvarint(buf, uint64(len(r.openAttempts)))
		for _, a := range r.openAttempts {
			buf = appendAttempt(buf, a)
		}
		buf = appendString(buf, string(r.message.Body))
	case kindCall:
		buf = appendAttempt(buf, r.attempt)
		buf = appendStrings(buf, r.ids)
		for _, n := range r.attemptNumbers {
			buf = binary.AppendUvarint(buf, uint64(n))
		}
	case kindOutcome:
		buf = appendString(buf, r.id)
		buf = binary.AppendUvarint(buf, uint64(r.attemptCount))
		buf = append(buf, outcomeByte(r.mayHaveRun, r.failed))
	case kindNotice:
		buf = appendString(buf, r.id)
		buf = binary.AppendUvarint(buf, r.seq)
		buf = append(buf, boolByte(r.dead))
		buf = binary.AppendUvarint(buf, uint64(r.retryAfter.Milliseconds()))
	case kindEnd:
		buf = appendStrings(buf, r.ids)
	case kindOutage:
		buf = binary.AppendUvarint(buf, r.seq)
		buf = appendAttempt(buf, r.attempt)
		buf = binary.AppendUvarint(buf, uint64(max(0, r.rate*rateScale)))
	case kindHardState:
		buf = appendString(buf, r.id)
		buf = binary.AppendUvarint(buf, r.seq)
		buf = appendString(buf, string(r.state))
	case kindEndedIDs:
		for _, hash := range r.hashes {
			buf = binary.BigEndian.AppendUint64(buf, uint64(hash))
		}
	}
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

func appendAttempt(buf []byte, a attempt) []byte {
	buf = binary.AppendUvarint(buf, uint64(a.number))
	buf = binary.AppendVarint(buf, a.startedAt.UnixMilli())
	return appendString(buf, a.host)
}

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// outcomeByte encodes how an attempt ended.
func outcomeByte(mayHaveRun, failed bool) byte {
	switch {
	case mayHaveRun:
		return outcomeMayHaveRun
	case failed:
		return outcomeFailedNotRun
	}
	return outcomeNotRun
}

// scanRecords calls handle for the payload of every intact record. It returns the number of broken records, including
// those for which handle returns false. After a broken one it goes on at the next magic number that starts an intact
// record. A record cut off at the end, as a killed process leaves it, counts as one.
func scanRecords(data []byte, handle func(payload []byte) bool) (broken int) {
	for len(data) > 0 {
		if payload, ok := nextPayload(data); ok {
			if !handle(payload) {
				broken++
			}
			data = data[headerSize+len(payload):]
			continue
		}
		broken++
		next := bytes.Index(data[1:], magic)
		for next >= 0 {
			if _, ok := nextPayload(data[1+next:]); ok {
				break
			}
			more := bytes.Index(data[2+next:], magic)
			if more < 0 {
				next = -1
				break
			}
			next += 1 + more
		}
		if next < 0 {
			return broken
		}
		data = data[1+next:]
	}
	return broken
}

// nextPayload returns the payload of the record at the start of data, and whether that record is intact.
func nextPayload(data []byte) ([]byte, bool) {
	if len(data) < headerSize || !bytes.HasPrefix(data, magic) {
		return nil, false
	}
	n := binary.BigEndian.Uint32(data[lengthOffset:])
	if uint64(n) > uint64(len(data)-headerSize) {
		return nil, false
	}
	payload := data[headerSize : headerSize+int(n)]
	return payload, crc32.Checksum(payload, crcTable) == binary.BigEndian.Uint32(data[checksumOffset:])
}

// payloadReader reads the values of a payload. After an error every value reads as zero.
type payloadReader struct {
	data   []byte
	failed bool
}

func (p *payloadReader) uint() uint64 {
	v, n := binary.Uvarint(p.data)
	p.skip(n)
	return v
}

func (p *payloadReader) int() int64 {
	v, n := binary.Varint(p.data)
	p.skip(n)
	return v
}

// skip moves on by n bytes. An n that is not positive is an error, as the varint decoders return it for bad input.
func (p *payloadReader) skip(n int) {
	if n <= 0 || n > len(p.data) {
		p.failed, p.data = true, nil
		return
	}
	p.data = p.data[n:]
}

// outcome reads how an attempt ended, as outcomeByte encodes it.
func (p *payloadReader) outcome() (mayHaveRun, failed bool) {
	if len(p.data) == 0 {
		p.failed = true
		return false, false
	}
	b := p.data[0]
	p.skip(1)
	mayHaveRun = b == outcomeMayHaveRun
	return mayHaveRun, mayHaveRun || b == outcomeFailedNotRun
}

func (p *payloadReader) bool() bool {
	if len(p.data) == 0 {
		p.failed = true
		return false
	}
	b := p.data[0]
	p.skip(1)
	return b == 1
}

func (p *payloadReader) string() string {
	n := p.uint()
	if n > uint64(len(p.data)) {
		p.failed, p.data = true, nil
		return ""
	}
	s := string(p.data[:n])
	p.data = p.data[n:]
	return s
}

func (p *payloadReader) strings() []string {
	n := p.uint()
	var list []string
	for ; n > 0 && !p.failed; n-- {
		list = append(list, p.string())
	}
	return list
}

// hashes reads all hashes that are left.
func (p *payloadReader) hashes() []idHash {
	var list []idHash
	for ; len(p.data) >= idHashBytes; p.data = p.data[idHashBytes:] {
		list = append(list, idHash(binary.BigEndian.Uint64(p.data)))
	}
	return list
}

func (p *payloadReader) attempt() attempt {
	return attempt{number: int(p.uint()), startedAt: time.UnixMilli(p.int()), host: p.string()}
}

// decodeRecord decodes a payload. It returns false for a payload of an unknown kind, one that is cut short and one
// with trailing bytes.
func decodeRecord(payload []byte) (record, bool) {
	if len(payload) == 0 {
		return record{}, false
	}
	r := record{kind: recordKind(payload[0])}
	p := &payloadReader{data: payload[1:]}
	switch r.kind {
	case kindAccepted:
		r.id = p.string()
		r.seq = p.uint()
		// The fields are read in the order in which they are listed here.
		r.message = &message.Message{
			ID:             r.id,
			Class:          p.string(),
			Tenant:         p.string(),
			IdempotencyKey: p.string(),
			Dest:           int(p.int()),
			Deadline:       time.UnixMilli(p.int()),
		}
		r.attemptCount = int(p.uint())
		if r.mayHaveRun = p.bool(); r.mayHaveRun {
			r.attempt = p.attempt()
		}
		for n := p.uint(); n > 0 && !p.failed; n-- {
			r.openAttempts = append(r.openAttempts, p.attempt())
		}
		r.message.Body = []byte(p.string())
	case kindCall:
		r.attempt = p.attempt()
		r.ids = p.strings()
		for range r.ids {
			r.attemptNumbers = append(r.attemptNumbers, int(p.uint()))
		}
	case kindOutcome:
		r.id = p.string()
		r.attemptCount = int(p.uint())
		r.mayHaveRun, r.failed = p.outcome()
	case kindNotice:
		r.id = p.string()
		r.seq = p.uint()
		r.dead = p.bool()
		r.retryAfter = time.Duration(p.uint()) * time.Millisecond
	case kindEnd:
		r.ids = p.strings()
	case kindOutage:
		r.seq = p.uint()
		r.attempt = p.attempt()
		r.rate = float64(p.uint()) / rateScale
	case kindHardState:
		r.id = p.string()
		r.seq = p.uint()
		r.state = []byte(p.string())
	case kindEndedIDs:
		r.hashes = p.hashes()
	default:
		return record{}, false
	}
	return r, !p.failed && len(p.data) == 0
}
