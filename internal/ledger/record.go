// This file owns the form of the records: a mark, the length and checksum of a payload, the payload. It must never
// panic on what it reads, whatever a disk made of it.

package ledger

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"time"

	"eiderhaven/internal/message"
)

type kind byte

const (
	kindKeep    kind = 1 + iota // a message with all that is known of its attempts
	kindCall                    // a call is about to go out
	kindOutcome                 // how an attempt ended
	kindNotice                  // a message's end, of which the platform has to be told
	kindEnd                     // nothing more is owed
	kindOutage                  // an endpoint is taken for out; a program from before it counts this as broken and goes on
)

// record is the content of any record; which fields count goes by the kind.
type record struct {
	kind     kind
	id       string
	ids      []string
	nums     []int // for a call: the attempt of each
	seq      uint64
	msg      *message.Message
	attempts int // made so far; for an outcome, its number
	open     []attempt
	mayRun   bool
	failed   bool    // for an outcome: the attempt failed, other than by being turned away; what may have run did
	ran      attempt // for a call: where and when
	dead     bool
	wait     time.Duration
	rate     float64 // of an outage
}

var (
	mark  = []byte("EHr1")
	table = crc32.MakeTable(crc32.Castagnoli)
)

const headLen = 12

func appendRecord(buf []byte, r record) []byte {
	start := len(buf)
	buf = append(buf, mark...)
	buf = append(buf, make([]byte, headLen-len(mark))...)
	buf = r.appendPayload(buf)
	payload := buf[start+headLen:]
	binary.BigEndian.PutUint32(buf[start+4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(buf[start+8:], crc32.Checksum(payload, table))
	return buf
}

func (r record) appendPayload(buf []byte) []byte {
	buf = append(buf, byte(r.kind))
	switch r.kind {
	case kindKeep:
		buf = appendText(buf, r.id)
		buf = binary.AppendUvarint(buf, r.seq)
		buf = appendText(buf, r.msg.Class)
		buf = appendText(buf, r.msg.Tenant)
		buf = appendText(buf, r.msg.IdempotencyKey)
		buf = binary.AppendVarint(buf, int64(r.msg.Dest))
		buf = binary.AppendVarint(buf, r.msg.Deadline.UnixMilli())
		buf = binary.AppendUvarint(buf, uint64(r.attempts))
		buf = append(buf, flag(r.mayRun))
		if r.mayRun {
			buf = appendAttempt(buf, r.ran)
		}
		buf = binary.AppendUvarint(buf, uint64(len(r.open)))
		for _, a := range r.open {
			buf = appendAttempt(buf, a)
		}
		buf = appendText(buf, string(r.msg.Body))
	case kindCall:
		buf = appendAttempt(buf, r.ran)
		buf = appendTexts(buf, r.ids)
		for _, n := range r.nums {
			buf = binary.AppendUvarint(buf, uint64(n))
		}
	case kindOutcome:
		buf = appendText(buf, r.id)
		buf = binary.AppendUvarint(buf, uint64(r.attempts))
		buf = append(buf, ending(r.mayRun, r.failed))
	case kindNotice:
		buf = appendText(buf, r.id)
		buf = binary.AppendUvarint(buf, r.seq)
		buf = append(buf, flag(r.dead))
		buf = binary.AppendUvarint(buf, uint64(r.wait.Milliseconds()))
	case kindEnd:
		buf = appendTexts(buf, r.ids)
	case kindOutage:
		buf = binary.AppendUvarint(buf, r.seq)
		buf = appendAttempt(buf, r.ran)
		buf = binary.AppendUvarint(buf, uint64(max(0, r.rate*1000)))
	}
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

func appendAttempt(buf []byte, a attempt) []byte {
	buf = binary.AppendUvarint(buf, uint64(a.num))
	buf = binary.AppendVarint(buf, a.at.UnixMilli())
	return appendText(buf, a.host)
}

func flag(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// ending is how an attempt ended: 1 if it may have run, 2 if it failed and never ran, else 0. A program from before the 2
// takes that for the 0, which is as safe.
func ending(mayRun, failed bool) byte {
	if !mayRun && failed {
		return 2
	}
	return flag(mayRun)
}

// scan calls each for every payload that is whole and returns how many records were broken. After one it goes on
// at the next mark. A torn tail, as a killed process leaves it, counts as one.
func scan(text []byte, each func(payload []byte) bool) (broken int) {
	for len(text) > 0 {
		if payload, ok := cutRecord(text); ok {
			if !each(payload) {
				broken++
			}
			text = text[headLen+len(payload):]
			continue
		}
		broken++
		next := bytes.Index(text[1:], mark)
		for next >= 0 {
			if _, ok := cutRecord(text[1+next:]); ok {
				break
			}
			more := bytes.Index(text[2+next:], mark)
			if more < 0 {
				next = -1
				break
			}
			next += 1 + more
		}
		if next < 0 {
			return broken
		}
		text = text[1+next:]
	}
	return broken
}

// cutRecord returns the payload of the record that text begins with, if it is whole.
func cutRecord(text []byte) ([]byte, bool) {
	if len(text) < headLen || !bytes.HasPrefix(text, mark) {
		return nil, false
	}
	n := binary.BigEndian.Uint32(text[4:])
	if uint64(n) > uint64(len(text)-headLen) {
		return nil, false
	}
	payload := text[headLen : headLen+int(n)]
	return payload, crc32.Checksum(payload, table) == binary.BigEndian.Uint32(text[8:])
}

// cursor reads a payload; after a fault everything reads as zero.
type cursor struct {
	text []byte
	bad  bool
}

func (c *cursor) uint() uint64 {
	v, n := binary.Uvarint(c.text)
	c.skip(n)
	return v
}

func (c *cursor) int() int64 {
	v, n := binary.Varint(c.text)
	c.skip(n)
	return v
}

// skip moves on by n bytes, a count that is not positive being a fault.
func (c *cursor) skip(n int) {
	if n <= 0 || n > len(c.text) {
		c.bad, c.text = true, nil
		return
	}
	c.text = c.text[n:]
}

// ended reads how an attempt ended, as ending writes it.
func (c *cursor) ended() (mayRun, failed bool) {
	if len(c.text) == 0 {
		c.bad = true
		return false, false
	}
	b := c.text[0]
	c.skip(1)
	return b == 1, b == 1 || b == 2
}

func (c *cursor) bool() bool {
	if len(c.text) == 0 {
		c.bad = true
		return false
	}
	b := c.text[0]
	c.skip(1)
	return b == 1
}

func (c *cursor) string() string {
	n := c.uint()
	if n > uint64(len(c.text)) {
		c.bad, c.text = true, nil
		return ""
	}
	s := string(c.text[:n])
	c.text = c.text[n:]
	return s
}

func (c *cursor) strings() []string {
	n := c.uint()
	var list []string
	for ; n > 0 && !c.bad; n-- {
		list = append(list, c.string())
	}
	return list
}

func (c *cursor) attempt() attempt {
	return attempt{num: int(c.uint()), at: time.UnixMilli(c.int()), host: c.string()}
}

// decodeRecord reads a payload.
func decodeRecord(payload []byte) (record, bool) {
	if len(payload) == 0 {
		return record{}, false
	}
	r, c := record{kind: kind(payload[0])}, &cursor{text: payload[1:]}
	switch r.kind {
	case kindKeep:
		r.id, r.seq = c.string(), c.uint()
		r.msg = &message.Message{ID: r.id, Class: c.string(), Tenant: c.string(), IdempotencyKey: c.string(), Dest: int(c.int()),
			Deadline: time.UnixMilli(c.int())}
		r.attempts = int(c.uint())
		if r.mayRun = c.bool(); r.mayRun {
			r.ran = c.attempt()
		}
		for n := c.uint(); n > 0 && !c.bad; n-- {
			r.open = append(r.open, c.attempt())
		}
		r.msg.Body = []byte(c.string())
	case kindCall:
		r.ran, r.ids = c.attempt(), c.strings()
		for range r.ids {
			r.nums = append(r.nums, int(c.uint()))
		}
	case kindOutcome:
		r.id, r.attempts = c.string(), int(c.uint())
		r.mayRun, r.failed = c.ended()
	case kindNotice:
		r.id, r.seq, r.dead = c.string(), c.uint(), c.bool()
		r.wait = time.Duration(c.uint()) * time.Millisecond
	case kindEnd:
		r.ids = c.strings()
	case kindOutage:
		r.seq, r.ran = c.uint(), c.attempt()
		r.rate = float64(c.uint()) / 1000
	default:
		return record{}, false
	}
	return r, !c.bad && len(c.text) == 0
}
