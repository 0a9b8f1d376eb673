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
	text  []byte
	back  bool     // it reads
	zeros int      // before the next value
	seen  []uint64 // other values, in the order first seen
	last  int64    // time among them
	prev  float64  // number among them
}

// What a byte says: up to mostZeros it is one less than a run of zeros, from isSeen on a place among the seen.
const (
	mostZeros = 127
	isTime    = 128 + iota // a varint follows: by how much it is after the last
	isCount                // a varint follows
	isNumber               // 8 bytes follow
	isSeconds              // a varint follows: nanoseconds
	isHalf                 // of the number before
	isSeen
)

func newPacker(text []byte, back bool) *packer {
	return &packer{text: text, back: back, seen: append(make([]uint64, 0, 32), 1, math.Float64bits(1))}
}

func (p *packer) time(x *time.Duration) { *x = time.Duration(p.value(uint64(*x), isTime)) }
func (p *packer) number(x *float64) {
	*x = math.Float64frombits(p.value(math.Float64bits(*x), isNumber))
}
func count[T ~int | ~uint32](p *packer, x *T) { *x = T(p.value(uint64(*x), isCount)) }

func (p *packer) flag(x *bool) {
	n := 0
	if *x {
		n = 1
	}
	count(p, &n)
	*x = n != 0
}

// value writes a value that is not known to be of a shorter form, or reads the next.
func (p *packer) value(v uint64, form byte) uint64 {
	switch {
	case p.back:
		return p.read()
	case v == 0:
		p.zeros++
		return v
	}
	for ; p.zeros > 0; p.zeros -= min(p.zeros, mostZeros+1) {
		p.text = append(p.text, byte(min(p.zeros, mostZeros+1)-1))
	}
	if i := slices.Index(p.seen, v); i >= 0 {
		p.text = append(p.text, byte(isSeen+i))
		return v
	}
	if form == isNumber {
		f := math.Float64frombits(v)
		ns := time.Duration(min(max(math.Round(f*1e9), -1e15), 1e15)) // NaN comes to something that is not it
		switch v {
		case math.Float64bits(p.prev / 2):
			form = isHalf
		case math.Float64bits(ns.Seconds()):
			form = isSeconds
			p.text = binary.AppendVarint(append(p.text, form), int64(ns))
		default:
			p.text = binary.LittleEndian.AppendUint64(append(p.text, form), v)
		}
	}
	switch form {
	case isTime:
		p.text = binary.AppendVarint(append(p.text, form), int64(v)-p.last)
	case isCount:
		p.text = binary.AppendVarint(append(p.text, form), int64(v))
	case isHalf:
		p.text = append(p.text, form)
	}
	p.learn(v, form)
	return v
}

func (p *packer) read() uint64 {
	if p.zeros > 0 || len(p.text) == 0 {
		p.zeros = max(p.zeros-1, 0)
		return 0
	}
	form := p.text[0]
	p.text = p.text[1:]
	var v uint64
	switch {
	case form <= mostZeros:
		p.zeros = int(form)
		return 0
	case form >= isSeen:
		return p.seen[form-isSeen]
	case form == isTime:
		v = uint64(p.varint() + p.last)
	case form == isCount:
		v = uint64(p.varint())
	case form == isNumber:
		v = binary.LittleEndian.Uint64(p.text)
		p.text = p.text[8:]
	case form == isSeconds:
		v = math.Float64bits(time.Duration(p.varint()).Seconds())
	case form == isHalf:
		v = math.Float64bits(p.prev / 2)
	}
	p.learn(v, form)
	return v
}

func (p *packer) varint() int64 {
	x, n := binary.Varint(p.text)
	p.text = p.text[n:]
	return x
}

func (p *packer) learn(v uint64, form byte) {
	if len(p.seen) <= math.MaxUint8-isSeen {
		p.seen = append(p.seen, v)
	}
	switch form {
	case isTime:
		p.last = int64(v)
	case isNumber, isSeconds, isHalf:
		p.prev = math.Float64frombits(v)
	}
}

// destination is all that is known of one, but for what the list says and what is held or out.
func (p *packer) destination(d *destination) {
	first := d.endpoints[0]
	p.destSeq(&d.seq, first.seq)
	p.time(&d.retryAt)
	p.meter(&d.wanted)
	p.meter(&d.served)
	for i, ep := range d.endpoints {
		if i == 0 || ep.lane != first.lane {
			p.lane(ep.lane)
		}
		p.endpoint(ep)
	}
}

// destSeq is the place of a destination among all, mostly that of its first endpoint.
func (p *packer) destSeq(seq *uint32, first uint32) {
	*seq -= first
	count(p, seq)
	*seq += first
}

func (p *packer) lane(l *lane) {
	p.pace(&l.pace)
	count(p, &l.refusals)
	p.time(&l.refusedAt)
	p.number(&l.reported)
	p.time(&l.servedAt)
}

func (p *packer) pace(x *pace) {
	p.meter(&x.sent)
	p.meter(&x.refused)
	p.number(&x.rate)
	p.number(&x.step)
	for _, t := range []*time.Duration{&x.lastCut, &x.lastChange, &x.lastRefusal, &x.lastWaited, &x.next, &x.haltUntil} {
		p.time(t)
	}
}

func (p *packer) endpoint(ep *endpoint) {
	p.meter(&ep.delivered)
	p.time(&ep.lastAnswer)
	p.time(&ep.answeredFrom)
	p.time(&ep.charged)
	p.time(&ep.probeGap)
	p.time(&ep.credit)
	p.time(&ep.lastUse)
	count(p, &ep.peak)
	p.timing(&ep.timing)
	count(p, &ep.health)
	count(p, &ep.symptom)
	count(p, &ep.fails)
	count(p, &ep.connectRefusals)
	for _, t := range []*time.Duration{&ep.since, &ep.failing, &ep.failedAt, &ep.renewed, &ep.connectNotBefore} {
		p.time(t)
	}
	p.number(&ep.base)
	p.services(ep)
}

// services is those that something is known of, and a zero after them.
func (p *packer) services(ep *endpoint) {
	if p.back {
		for v := new(service); p.service(v); v = new(service) {
			v.next, ep.services = ep.services, v
		}
		return
	}
	for v := ep.services; v != nil; v = v.next {
		if *v != (service{class: v.class, next: v.next}) {
			p.service(v)
		}
	}
	p.service(nil)
}

// service is false at the end.
func (p *packer) service(v *service) bool {
	no := 0
	if v != nil {
		no = v.class + 1
	}
	if count(p, &no); no == 0 {
		return false
	}
	v.class = no - 1
	p.timing(&v.timing)
	p.meter(&v.told)
	count(p, &v.ill)
	p.time(&v.retryAt)
	return true
}

func (p *packer) timing(t *timing) {
	p.flag(&t.known)
	p.number(&t.latency)
	p.number(&t.spread)
}

func (p *packer) meter(m *meter) {
	p.number(&m.sum)
	p.time(&m.last)
}
