// This file owns what the ledger keeps of endpoints: their hard states, and outages that an earlier version recorded. It must
// never let these take the room that messages, calls and ends need.

package ledger

import (
	"bytes"
	"time"
)

// HardState is what the sender knows of one endpoint that must outlast the process. The ledger does not look into it.
type HardState struct {
	Host  string
	State []byte
}

// Outage is an endpoint that a version before hard states considered down and did not see recover fully. It is read, and
// never written anew but by compaction.
type Outage struct {
	Host string
	At   time.Time // when the sender first considered it down
	Rate float64   // calls per second delivered to it before the outage, stored in thousandths
}

// endpointKey returns the entry ID of an endpoint's hard state or outage. It cannot be a message ID, which never contains
// a zero byte.
func endpointKey(host string) string { return "\x00outage " + host }

// ofEndpoint reports whether an entry is about an endpoint, not a message.
func (e *entry) ofEndpoint() bool { return e.hardState != nil || e.outage != nil }

// replaceEndpointEntry sets the entry of an endpoint, whose record in segment s has the given size.
func (l *Ledger) replaceEndpointEntry(host string, e *entry, s *segment, size int64) {
	id := endpointKey(host)
	l.removeEntry(id, l.entries[id])
	l.lastSeq = max(l.lastSeq, e.seq)
	l.entries[id] = e
	s.addEntry(e, size)
}

// hardStateDivisor: hard states may use this part of the size limit. Messages leave it free.
const hardStateDivisor = 16

func (l *Ledger) hardStateLimit() int64 { return l.maxBytes / hardStateDivisor }

// RecordHardState records the hard state of an endpoint in place of an earlier one, and writes nothing if it is the same. It
// returns ErrFull, and keeps the earlier one, if the hard states would use more than their part of the size limit.
func (l *Ledger) RecordHardState(h HardState) error {
	var recorded int64
	if e := l.entries[endpointKey(h.Host)]; e != nil && e.hardState != nil {
		if bytes.Equal(e.hardState.State, h.State) {
			return nil
		}
		recorded = e.recordSize
	}
	r := hardStateRecord(h, l.lastSeq+1)
	if l.hardStateBytes-recorded+int64(len(appendRecord(nil, r))) > l.hardStateLimit() {
		return ErrFull
	}
	l.lastSeq++
	return l.appendAndApply(r)
}

// RecordHardStateEnd records that nothing of an endpoint's hard state must be kept any more.
func (l *Ledger) RecordHardStateEnd(host string) error {
	if l.entries[endpointKey(host)] == nil {
		return nil
	}
	return l.appendAndApply(record{kind: kindEnd, ids: []string{endpointKey(host)}})
}

// HardStates returns the hard states, in the order in which they were recorded.
func (l *Ledger) HardStates() []HardState {
	list := l.selectEntries(func(e *entry) bool { return e.hardState != nil })
	out := make([]HardState, len(list))
	for i, e := range list {
		out[i] = *e.hardState
	}
	return out
}

// Outages returns the outages that have not ended, oldest first.
func (l *Ledger) Outages() []Outage {
	list := l.selectEntries(func(e *entry) bool { return e.outage != nil })
	out := make([]Outage, len(list))
	for i, e := range list {
		out[i] = *e.outage
	}
	return out
}

func hardStateRecord(h HardState, seq uint64) record {
	return record{kind: kindHardState, id: h.Host, seq: seq, state: h.State}
}

func outageRecord(o Outage, seq uint64) record {
	return record{kind: kindOutage, seq: seq, attempt: attempt{startedAt: o.At, host: o.Host}, rate: o.Rate}
}
