package rules

import (
	"encoding/binary"
	"math"
	"slices"
	"time"
)

// This file owns the packed form of a destination's state: it writes the state as bytes and reads it back. It must make
// no decisions, and each value must be restored bit by bit.

// packer writes values, or reads them back in the same order. As most values are zero or equal to an earlier one, a run
// of zeros or an earlier value takes one byte, and a time takes its difference from the time before. Zeros at the end
// are not written: the reader returns zero for all that is missing.
type packer struct {
	data       []byte   // written so far, or still to be read
	reading    bool     // else it writes
	zeroRun    int      // zeros pending before the next value
	seen       []uint64 // earlier values other than zero, in the order first seen
	lastTime   int64    // latest new time
	lastNumber float64  // latest new float
}

// The first byte of a value. A byte up to maxZeroRun is a run of zeros, one more than the byte. A byte from codeSeen on
// is an index in packer.seen.
const (
	maxZeroRun  = 127
	codeTime    = 128 + iota // followed by a varint: the difference from lastTime
	codeCount                // followed by a varint
	codeNumber               // followed by 8 bytes: a float
	codeSeconds              // followed by a varint: a float that is this many nanoseconds, in seconds
	codeHalf                 // a float that is half of lastNumber
	codeSeen
)

// maxPackedNanos limits what codeSeconds can stand for, in nanoseconds: up to here a float holds whole numbers exactly.
const maxPackedNanos = 1e15

// newPacker returns a packer that reads data or, if reading is not set, appends to it. The values 1 and 1.0 count as
// seen from the start.
func newPacker(data []byte, reading bool) *packer {
	return &packer{data: data, reading: reading, seen: append(make([]uint64, 0, 32), 1, math.Float64bits(1))}
}

func (p *packer) time(x *time.Duration) { *x = time.Duration(p.value(uint64(*x), codeTime)) }

func (p *packer) number(x *float64) {
	*x = math.Float64frombits(p.value(math.Float64bits(*x), codeNumber))
}

func packCount[T ~int | ~uint32](p *packer, x *T) { *x = T(p.value(uint64(*x), codeCount)) }

func (p *packer) flag(x *bool) {
	n := 0
	if *x {
		n = 1
	}
	packCount(p, &n)
	*x = n != 0
}

// value writes v and returns it or, if the packer reads, returns the next value. code is how to write v unless there is
// a shorter way.
func (p *packer) value(v uint64, code byte) uint64 {
	switch {
	case p.reading:
		return p.read()
	case v == 0:
		p.zeroRun++
		return v
	}
	for ; p.zeroRun > 0; p.zeroRun -= min(p.zeroRun, maxZeroRun+1) {
		p.data = append(p.data, byte(min(p.zeroRun, maxZeroRun+1)-1))
	}
	if i := slices.Index(p.seen, v); i >= 0 {
		p.data = append(p.data, byte(codeSeen+i))
		return v
	}
	if code == codeNumber {
		f := math.Float64frombits(v)
		// For a NaN the result is arbitrary and does not compare equal below.
		ns := time.Duration(min(max(math.Round(f*1e9), -maxPackedNanos), maxPackedNanos))
		switch v {
		case math.Float64bits(p.lastNumber / 2):
			code = codeHalf
		case math.Float64bits(ns.Seconds()):
			code = codeSeconds
			p.data = binary.AppendVarint(append(p.data, code), int64(ns))
		default:
			p.data = binary.LittleEndian.AppendUint64(append(p.data, code), v)
		}
	}
	switch code {
	case codeTime:
		p.data = binary.AppendVarint(append(p.data, code), int64(v)-p.lastTime)
	case codeCount:
		p.data = binary.AppendVarint(append(p.data, code), int64(v))
	case codeHalf:
		p.data = append(p.data, code)
	}
	p.remember(v, code)
	return v
}

// read returns the next value.
func (p *packer) read() uint64 {
	if p.zeroRun > 0 || len(p.data) == 0 {
		p.zeroRun = max(p.zeroRun-1, 0)
		return 0
	}
	code := p.data[0]
	p.data = p.data[1:]
	var v uint64
	switch {
	case code <= maxZeroRun:
		p.zeroRun = int(code)
		return 0
	case code >= codeSeen:
		return p.seen[code-codeSeen]
	case code == codeTime:
		v = uint64(p.varint() + p.lastTime)
	case code == codeCount:
		v = uint64(p.varint())
	case code == codeNumber:
		v = binary.LittleEndian.Uint64(p.data)
		p.data = p.data[8:]
	case code == codeSeconds:
		v = math.Float64bits(time.Duration(p.varint()).Seconds())
	case code == codeHalf:
		v = math.Float64bits(p.lastNumber / 2)
	}
	p.remember(v, code)
	return v
}

func (p *packer) varint() int64 {
	x, n := binary.Varint(p.data)
	p.data = p.data[n:]
	return x
}

// remember records a new value for later ones that refer to it. There are codes for a limited number of values.
func (p *packer) remember(v uint64, code byte) {
	if len(p.seen) <= math.MaxUint8-codeSeen {
		p.seen = append(p.seen, v)
	}
	switch code {
	case codeTime:
		p.lastTime = int64(v)
	case codeNumber, codeSeconds, codeHalf:
		p.lastNumber = math.Float64frombits(v)
	}
}

// destination packs the state of a destination, except for what records hold. Its messages and calls are not packed: a
// dormant destination has none.
func (p *packer) destination(d *destinationState) {
	first := d.endpoints[0]
	p.destinationSeq(&d.seq, first.seq)
	p.time(&d.retryNotBefore)
	p.decayingRate(&d.arrivalRate)
	p.decayingRate(&d.servedRate)
	for i, ep := range d.endpoints {
		if i == 0 || ep.limitScope != first.limitScope {
			p.limitScope(ep.limitScope)
		}
		p.endpoint(ep)
	}
}

// destinationSeq packs the seq of a destination as the difference from that of its first endpoint, which is mostly 0.
func (p *packer) destinationSeq(seq *uint32, firstEndpoint uint32) {
	*seq -= firstEndpoint
	packCount(p, seq)
	*seq += firstEndpoint
}

func (p *packer) limitScope(l *limitScope) {
	p.rateController(&l.controller)
	packCount(p, &l.consecutiveRefusals)
	p.time(&l.firstRefusedAt)
	p.number(&l.reportedLimit)
	p.time(&l.lastAnsweredAt)
	p.time(&l.lastAnsweredSentAt)
	packCount(p, &l.consecutiveFailures)
	p.time(&l.failingSince)
	p.time(&l.lastFailedSentAt)
	p.time(&l.lastFailureAt)
	p.flag(&l.unproven)
	p.time(&l.unansweredSince)
	packCount(p, &l.keptStates)
}

func (p *packer) rateController(x *rateController) {
	p.decayingRate(&x.sentRate)
	p.decayingRate(&x.refusedRate)
	p.number(&x.rate)
	p.number(&x.increase)
	for _, t := range []*time.Duration{
		&x.lastDecrease, &x.lastChange, &x.lastRefusal, &x.lastLimited, &x.nextSend, &x.notBefore,
	} {
		p.time(t)
	}
}

func (p *packer) endpoint(ep *endpointState) {
	p.decayingRate(&ep.deliveredRate)
	p.time(&ep.lastAnsweredAt)
	p.time(&ep.lastAnsweredSentAt)
	p.time(&ep.lastCharged)
	p.time(&ep.probeInterval)
	p.time(&ep.warmUpCredit)
	p.time(&ep.lastUsed)
	packCount(p, &ep.peakCalls)
	p.timing(&ep.timing)
	packCount(p, &ep.health)
	packCount(p, &ep.symptom)
	packCount(p, &ep.consecutiveFailures)
	packCount(p, &ep.connectRefusals)
	p.flag(&ep.hardStateKept)
	for _, t := range []*time.Duration{
		&ep.healthSince, &ep.failingSince, &ep.lastFailedSentAt, &ep.connectionsRenewedAt, &ep.connectNotBefore,
	} {
		p.time(t)
	}
	p.number(&ep.preOutageRate)
	p.classes(ep)
}

// classes packs the classes of an endpoint that have any state, then a zero.
func (p *packer) classes(ep *endpointState) {
	if p.reading {
		for h := new(classHealth); p.classHealth(h); h = new(classHealth) {
			h.next, ep.classes = ep.classes, h
		}
		return
	}
	for h := ep.classes; h != nil; h = h.next {
		if *h != (classHealth{class: h.class, next: h.next}) {
			p.classHealth(h)
		}
	}
	p.classHealth(nil)
}

// classHealth packs one class, or a zero for nil, and reports whether there was one.
func (p *packer) classHealth(h *classHealth) bool {
	number := 0 // of the class, plus 1
	if h != nil {
		number = h.class + 1
	}
	if packCount(p, &number); number == 0 {
		return false
	}
	h.class = number - 1
	p.timing(&h.timing)
	p.decayingRate(&h.hints)
	packCount(p, &h.consecutiveFailures)
	p.time(&h.openUntil)
	return true
}

func (p *packer) timing(t *timing) {
	p.flag(&t.known)
	p.number(&t.latency)
	p.number(&t.deviation)
}

func (p *packer) decayingRate(m *decayingRate) {
	p.number(&m.sum)
	p.time(&m.last)
}
