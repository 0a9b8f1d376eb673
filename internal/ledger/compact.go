// This file owns the segments' coming and going: when a new one is started, and when an old one is copied forward and
// removed. It must never remove what is still needed.

package ledger

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// rotateAndCompact starts a new segment and then removes and compacts old ones. If no new segment can be started, for
// example for want of a file descriptor, it returns false and the current one grows beyond segmentSize for now:
// records of held messages must not be lost.
func (l *Ledger) rotateAndCompact() bool {
	if err := l.rotate(); err != nil {
		if !l.rotationFailed {
			l.log.Warn("starting a new ledger segment failed; the current one grows beyond its size", "err", err)
		}
		l.rotationFailed = true
		return false
	}
	l.rotationFailed = false
	if !l.compacting {
		l.removeDeadSegments()
		l.compact()
	}
	return true
}

// rotate starts a new segment.
func (l *Ledger) rotate() error {
	number := 1
	if n := len(l.segments); n > 0 {
		number = l.segments[n-1].number + 1
	}
	path := filepath.Join(l.dir, fmt.Sprintf("%08d.seg", number))
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	if !lockFile(f) { // a process that starts looks at it; the next attempt succeeds
		f.Close()
		return errors.Join(ErrInUse, os.Remove(path))
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file = f
	l.segments = append(l.segments, &segment{number: number, path: path})
	return nil
}

// removeDeadSegments removes the oldest segments as long as they hold no entry's newest record and no ended ID that must
// still be known.
func (l *Ledger) removeDeadSegments() {
	for len(l.segments) > 1 && l.mayForget(l.segments[0]) {
		if !l.removeOldest() {
			return
		}
	}
}

// removeOldest removes the oldest segment and reports whether that succeeded.
func (l *Ledger) removeOldest() bool {
	if err := os.Remove(l.segments[0].path); err != nil {
		l.log.Warn("removing a ledger segment failed", "segment", l.segments[0].number, "err", err)
		return false
	}
	l.segments = slices.Delete(l.segments, 0, 1)
	return true
}

// wastedBytes returns how many bytes of the segments a copy of the newest records of all entries, and of the ended IDs,
// would not use.
func (l *Ledger) wastedBytes() int64 {
	sum := l.usedBytes() - l.foreignBytes - l.listBytes - l.reserveBytes()
	for _, s := range l.segments {
		sum -= s.liveBytes
	}
	return sum - int64(len(l.ended.endedAt)*idHashBytes)
}

// compact copies the entries out of the oldest segments and removes those, each of the present segments at most once.
// It does so only while the directory is more than half full and a pass frees at least two segments: otherwise it
// would copy much to gain little, again and again. The directory stays within its limit, as RecordAccepted leaves
// space for what may be wasted until then and for a copy.
func (l *Ledger) compact() {
	if l.wastedBytes() < 2*l.segmentSize {
		return
	}
	l.compacting = true
	defer func() { l.compacting = false }()
	for n := len(l.segments) - 1; n > 0 && l.usedBytes() > l.maxBytes/2 && l.wastedBytes() > l.segmentSize; n-- {
		oldest := l.segments[0]
		for _, e := range l.entriesIn(oldest) {
			if err := l.appendAndApply(e.toRecord()); err != nil {
				l.log.Warn("compacting the ledger failed", "segment", oldest.number, "err", err)
				return
			}
		}
		if err := l.copyEndedIDs(oldest); err != nil {
			l.log.Warn("compacting the ledger failed", "segment", oldest.number, "err", err)
			return
		}
		if !l.removeOldest() {
			return
		}
	}
}

// entriesIn returns the entries whose newest full record is in s, oldest first.
func (l *Ledger) entriesIn(s *segment) []*entry {
	return l.selectEntries(func(e *entry) bool { return e.segment == s })
}
