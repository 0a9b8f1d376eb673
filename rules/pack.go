package rules

import (
	"encoding/binary"
	"math"
	"slices"
	"time"
)

// This file writes the state of a destination as bytes and reads it back, each value to the last bit. It decides nothing.

// packer writes values, or reads them back in the same order. Most are zero, or a time or number that came before: runs of zeros and
// what was seen cost a byte, times what they differ by from the one before. What is missing at the end is zeros.
type packer struct {
	data       []byte
	reading    bool     // it reads
	zeroRun    int      // before the next value
	seen       []uint64 // other values, in the order first seen
	lastTime   int64    // time among them
	lastNumber float64  // number among them
}

// What a byte says: up to mostZeros it is one less than a run of zeros, from isSeen on a place among the seen.
const (
	maxZeroRun  = 127
	codeTime    = 128 + iota // a varint follows: by how much it is after the last
	codeCount                // a varint follows
	codeNumber               // 8 bytes follow
	codeSeconds              // a varint follows: nanoseconds
	codeHalf                 // of the number before
	codeSeen
)

func newPacker(text []byte, back bool) *packer {
	return &packer{data: text, reading: back, seen: append(make([]uint64, 0, 32), 1, math.Float64bits(1))}
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

// value writes a value that is not known to be of a shorter form, or reads the next.
func (p *packer) value(v uint64, form byte) uint64 {
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
	if form == codeNumber {
		f := math.Float64frombits(v)
		ns := time.Duration(min(max(math.Round(f*1e9), -1e15), 1e15)) // NaN comes to something that is not it
		switch v {
		case math.Float64bits(p.lastNumber / 2):
			form = codeHalf
		case math.Float64bits(ns.Seconds()):
			form = codeSeconds
			p.data = binary.AppendVarint(append(p.data, form), int64(ns))
		default:
			p.data = binary.LittleEndian.AppendUint64(append(p.data, form), v)
		}
	}
	switch form {
	case codeTime:
		p.data = binary.AppendVarint(append(p.data, form), int64(v)-p.lastTime)
	case codeCount:
		p.data = binary.AppendVarint(append(p.data, form), int64(v))
	case codeHalf:
		p.data = append(p.data, form)
	}
	p.remember(v, form)
	return v
}

func (p *packer) read() uint64 {
	if p.zeroRun > 0 || len(p.data) == 0 {
		p.zeroRun = max(p.zeroRun-1, 0)
		return 0
	}
	form := p.data[0]
	p.data = p.data[1:]
	var v uint64
	switch {
	case form <= maxZeroRun:
		p.zeroRun = int(form)
		return 0
	case form >= codeSeen:
		return p.seen[form-codeSeen]
	case form == codeTime:
		v = uint64(p.varint() + p.lastTime)
	case form == codeCount:
		v = uint64(p.varint())
	case form == codeNumber:
		v = binary.LittleEndian.Uint64(p.data)
		p.data = p.data[8:]
	case form == codeSeconds:
		v = math.Float64bits(time.Duration(p.varint()).Seconds())
	case form == codeHalf:
		v = math.Float64bits(p.lastNumber / 2)
	}
	p.remember(v, form)
	return v
}

func (p *packer) varint() int64 {
	x, n := binary.Varint(p.data)
	p.data = p.data[n:]
	return x
}

func (p *packer) remember(v uint64, form byte) {
	if len(p.seen) <= math.MaxUint8-codeSeen {
		p.seen = append(p.seen, v)
	}
	switch form {
	case codeTime:
		p.lastTime = int64(v)
	case codeNumber, codeSeconds, codeHalf:
		p.lastNumber = math.Float64frombits(v)
	}
}

// destination is all that is known of one, but for what the list says and what is held or out.
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

// destSeq is the place of a destination among all, mostly that of its first endpoint.
func (p *packer) destinationSeq(seq *uint32, first uint32) {
	*seq -= first
	packCount(p, seq)
	*seq += first
}

func (p *packer) limitScope(l *limitScope) {
	p.rateController(&l.controller)
	packCount(p, &l.consecutiveRefusals)
	p.time(&l.firstRefusedAt)
	p.number(&l.reportedLimit)
	p.time(&l.lastAnsweredAt)
}

func (p *packer) rateController(x *rateController) {
	p.decayingRate(&x.sentRate)
	p.decayingRate(&x.refusedRate)
	p.number(&x.rate)
	p.number(&x.increase)
	for _, t := range []*time.Duration{&x.lastDecrease, &x.lastChange, &x.lastRefusal, &x.lastLimited, &x.nextSend, &x.notBefore} {
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
	for _, t := range []*time.Duration{&ep.healthSince, &ep.failingSince, &ep.lastFailedSentAt, &ep.connectionsRenewedAt, &ep.connectNotBefore} {
		p.time(t)
	}
	p.number(&ep.preOutageRate)
	p.classes(ep)
}

// services is those that something is known of, and a zero after them.
func (p *packer) classes(ep *endpointState) {
	if p.reading {
		for v := new(classHealth); p.classHealth(v); v = new(classHealth) {
			v.next, ep.classes = ep.classes, v
		}
		return
	}
	for v := ep.classes; v != nil; v = v.next {
		if *v != (classHealth{class: v.class, next: v.next}) {
			p.classHealth(v)
		}
	}
	p.classHealth(nil)
}

// service is false at the end.
func (p *packer) classHealth(v *classHealth) bool {
	no := 0
	if v != nil {
		no = v.class + 1
	}
	if packCount(p, &no); no == 0 {
		return false
	}
	v.class = no - 1
	p.timing(&v.timing)
	p.decayingRate(&v.hints)
	packCount(p, &v.consecutiveFailures)
	p.time(&v.openUntil)
	return true
}

func (p *packer) timing(t *timing) {
	p.flag(&t.known)
	p.number(&t.latency)
	p.number(&t.spread)
}

func (p *packer) decayingRate(m *decayingRate) {
	p.number(&m.sum)
	p.time(&m.last)
}
