package rules

import (
	"encoding/binary"
	"errors"
	"math"
	"time"
)

// This file owns the stored form of a hard state: a version and the values in the order of HardState.values.
// It must make no decisions. A value that is added goes behind the others, and reads as zero from an older
// record.

// hardStateVersion is the first byte of a stored hard state.
const hardStateVersion = 1

// storedRateUnits are the units of stored rates in a call or message a second.
const storedRateUnits = 1e9

// ErrInvalidHardState is returned for bytes that are no hard state of this or an older version.
var ErrInvalidHardState = errors.New("rules: not a stored hard state")

// hardStateValues are pointers to the values of a hard state.
type hardStateValues struct {
	counts []*int
	times  []*time.Duration
	spans  []*time.Duration
	rates  []*float64
}

func (h *HardState) values() hardStateValues {
	return hardStateValues{
		counts: []*int{(*int)(&h.Health), (*int)(&h.Symptom), &h.Failures, &h.Scope.Failures, &h.Scope.Refusals},
		times: []*time.Duration{
			&h.At, &h.FailingSince, &h.HealthSince, &h.LastFailedSentAt, &h.LastCharged,
			&h.Scope.FailingSince, &h.Scope.LastFailedSentAt, &h.Scope.UnansweredSince, &h.Scope.FirstRefusedAt,
			&h.RetryNotBefore,
		},
		spans: []*time.Duration{&h.ProbeInterval, &h.WarmUpCredit},
		rates: []*float64{&h.Delivered, &h.Demand},
	}
}

// AppendTo appends the stored form, without the endpoint. Times are stored in microseconds by the wall clock;
// zero is the wall clock's time at the zero of the times of Sender.Step.
func (h HardState) AppendTo(buf []byte, zero time.Time) []byte {
	v := h.values()
	buf = append(buf, hardStateVersion)
	for _, n := range v.counts {
		buf = binary.AppendUvarint(buf, uint64(*n))
	}
	for _, t := range v.times {
		stored := int64(0)
		if *t != 0 {
			stored = zero.Add(*t).UnixMicro()
		}
		buf = binary.AppendVarint(buf, stored)
	}
	for _, span := range v.spans {
		buf = binary.AppendVarint(buf, span.Microseconds())
	}
	for _, rate := range v.rates {
		buf = binary.AppendUvarint(buf, uint64(math.Round(max(0, *rate)*storedRateUnits)))
	}
	return buf
}

// ParseHardState reads a stored hard state. Its times are those of a Sender whose zero is at the given time.
func ParseHardState(data []byte, zero time.Time) (HardState, error) {
	var h HardState
	if len(data) == 0 || data[0] != hardStateVersion {
		return h, ErrInvalidHardState
	}
	r := varintReader{data: data[1:]}
	v := h.values()
	for _, n := range v.counts {
		*n = int(r.unsigned())
	}
	for _, t := range v.times {
		if stored := r.signed(); stored != 0 {
			*t = max(1, time.UnixMicro(stored).Sub(zero))
		}
	}
	for _, span := range v.spans {
		*span = time.Duration(r.signed()) * time.Microsecond
	}
	for _, rate := range v.rates {
		*rate = float64(r.unsigned()) / storedRateUnits
	}
	if r.failed || h.Health < Healthy || h.Health > SlowStart || h.Symptom < OK || h.Symptom > NotSent {
		return HardState{}, ErrInvalidHardState
	}
	return h, nil
}

// varintReader reads numbers; all that are missing at the end are zero.
type varintReader struct {
	data   []byte
	failed bool
}

func (r *varintReader) unsigned() uint64 {
	x, n := binary.Uvarint(r.data)
	r.advance(n)
	return x
}

func (r *varintReader) signed() int64 {
	x, n := binary.Varint(r.data)
	r.advance(n)
	return x
}

func (r *varintReader) advance(n int) {
	if n < 0 || n == 0 && len(r.data) > 0 {
		r.failed, r.data = true, nil
		return
	}
	r.data = r.data[n:]
}
