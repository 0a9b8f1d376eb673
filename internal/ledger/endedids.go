// This file owns the IDs of messages that have ended: which of them must still be known, so that one that comes again is
// not accepted as a new message. It must never forget one before its time; where there is no room for more, messages are
// refused instead.

package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"
)

const (
	idHashBytes    = 8     // of an ID, as it is stored
	endedIDDivisor = 4     // the hashes of all ended IDs may use this part of the size limit
	minEndedIDs    = 16384 // known at the same time, whatever the size limit

	maxHashesPerRecord = 4096 // within maxRecordSize
)

// idHash stands for an ID that has ended. With a million of them, one new ID in 2*10^13 is taken for one of them.
type idHash uint64

func hashID(id string) idHash {
	sum := sha256.Sum256([]byte(id))
	return idHash(binary.BigEndian.Uint64(sum[:]))
}

// endedID is an ID that has ended, and when this process ended it or found it.
type endedID struct {
	hash idHash
	at   time.Time
}

// endedIDs are the IDs that have ended within the retention.
type endedIDs struct {
	retention time.Duration
	limit     int
	endedAt   map[idHash]time.Time
	order     []endedID // oldest first
}

func newEndedIDs(retention time.Duration, maxBytes int64) endedIDs {
	limit := max(minEndedIDs, int(maxBytes/endedIDDivisor/idHashBytes))
	return endedIDs{retention: retention, limit: limit, endedAt: map[idHash]time.Time{}}
}

// add adds an ID. The IDs of an earlier process are added as they are found: for how long that one knew them is not
// recorded, so that no step of the clock shortens it.
func (e *endedIDs) add(hash idHash, now time.Time) {
	e.expire(now)
	e.endedAt[hash] = now
	e.order = append(e.order, endedID{hash, now})
}

// expire forgets what has been known for the retention.
func (e *endedIDs) expire(now time.Time) {
	expired := 0
	for _, oldest := range e.order {
		if now.Sub(oldest.at) < e.retention {
			break
		}
		if e.endedAt[oldest.hash].Equal(oldest.at) { // else it was added again later
			delete(e.endedAt, oldest.hash)
		}
		expired++
	}
	e.order = e.order[expired:]
}

func (e *endedIDs) contains(hash idHash, now time.Time) bool {
	e.expire(now)
	_, known := e.endedAt[hash]
	return known
}

// stillKnown returns those of the hashes that have not expired.
func (e *endedIDs) stillKnown(hashes []idHash, now time.Time) []idHash {
	return slices.DeleteFunc(slices.Clone(hashes), func(h idHash) bool { return !e.contains(h, now) })
}

// Knows reports whether a message of this ID is held, waits for its notice to be accepted, or has ended within the
// retention.
func (l *Ledger) Knows(id string) bool {
	return l.entries[id] != nil || l.ended.contains(hashID(id), time.Now())
}

// mayForget reports whether nothing in a segment has to be known any more.
func (l *Ledger) mayForget(s *segment) bool {
	return s.liveEntries == 0 && len(l.ended.stillKnown(s.endedIDs, time.Now())) == 0
}

// copyEndedIDs copies the ended IDs of a segment that must still be known to the newest one.
func (l *Ledger) copyEndedIDs(s *segment) error {
	known := l.ended.stillKnown(s.endedIDs, time.Now())
	for hashes := range slices.Chunk(known, maxHashesPerRecord) {
		if err := l.appendAndApply(record{kind: kindEndedIDs, hashes: hashes}); err != nil {
			return err
		}
	}
	return nil
}

// noteEnded remembers that a message has ended by a record of segment s.
func (l *Ledger) noteEnded(hash idHash, s *segment) {
	if l.ended.retention <= 0 {
		return
	}
	if now := time.Now(); !l.ended.contains(hash, now) {
		l.ended.add(hash, now)
	}
	s.endedIDs = append(s.endedIDs, hash)
}

// hasRoomForEnds reports whether the IDs of all held messages and of one more can be known after their ends.
func (l *Ledger) hasRoomForEnds() bool {
	l.ended.expire(time.Now())
	return len(l.ended.endedAt)+len(l.entries) < l.ended.limit
}
