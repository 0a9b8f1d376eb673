// Package ledger keeps in the state directory what the sender must not lose when its process ends: the accepted
// messages, the calls made for them, their ends, and the notices that the platform has not accepted yet. It owns that
// directory and the limit on its size. It must never decide what becomes of a message, exceed the limit, or be used
// by two goroutines or processes at once.
//
// The directory holds numbered segments of checksummed records (see record.go). Only the newest segment is written
// to. The oldest is removed once nothing in it is needed any more. Compaction gets there by copying: it writes what
// is still needed of the oldest segment, updated with what was learned since, to the newest. Segments are only
// removed oldest first, so no later record refers to a message whose own record is gone.
package ledger

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"time"

	"eiderhaven/internal/message"
)

// ErrFull is returned if a record would leave too little of the directory's size limit.
var ErrFull = errors.New("ledger: state directory is full")

// The list of endpoints is kept in the same directory, by package snapshot: in ListFile, and in ListTempFile while a
// new one is written.
const (
	ListFile     = "endpoints.list"
	ListTempFile = "endpoints.list.new"
)

const (
	blockSize        = 512      // bytes; the size of a file is counted in whole blocks
	segmentsPerLimit = 16       // segments that fit in the size limit
	maxRecordSize    = 68 << 10 // bytes
)

// PendingMessage is a message that has not ended yet.
type PendingMessage struct {
	Message        *message.Message
	Attempts       int
	MayHaveRun     bool // an attempt may have run; the next two fields describe the earliest such attempt
	MayHaveRunAt   time.Time
	MayHaveRunHost string
	OpenSince      time.Time // when the earliest attempt without an outcome was made; zero for none
	OpenHost       string
	FailedAttempts int // attempts that failed and were not merely refused; those before a compaction are not counted
}

// Notice is a message's end of which the platform has to be notified.
type Notice struct {
	ID         string
	Dead       bool          // the message may or may not have run; else it has not
	RetryAfter time.Duration // if not Dead: how long to wait before submitting the message again

	// Deadline is the message's. It is not recorded, and zero in a notice of an earlier process.
	Deadline time.Time
}

// Stats describes what Open found.
type Stats struct{ BrokenRecords int }

// attempt is one attempt of a message.
type attempt struct {
	number    int
	startedAt time.Time
	host      string
}

// entry is an unfinished message, a notice, a hard state or an outage.
type entry struct {
	seq             uint64 // orders the entries by age
	message         *message.Message
	attemptCount    int
	openAttempts    []attempt // without an outcome yet
	mayHaveRun      bool
	failedAttempts  int     // a hint only: compaction drops it
	firstMayHaveRun attempt // the earliest attempt that may have run
	notice          *Notice
	hardState       *HardState
	outage          *Outage
	segment         *segment // holds the newest full record of this entry
	recordSize      int64    // bytes of that record
}

// segment is one file of records.
type segment struct {
	number      int
	path        string
	size        int64
	liveEntries int   // entries whose newest full record is here
	liveBytes   int64 // bytes of those records

	endedIDs []idHash // of the messages whose ends are recorded here
}

// addEntry notes that s holds the newest full record of an entry.
func (s *segment) addEntry(e *entry, recordSize int64) {
	e.segment, e.recordSize = s, recordSize
	s.liveEntries++
	s.liveBytes += recordSize
}

func (s *segment) diskUsage() int64 { return diskUsage(s.size) }

// diskUsage returns how many bytes a file of this size counts towards the limit: whole blocks, at least one.
func diskUsage(size int64) int64 { return max(1, (size+blockSize-1)/blockSize) * blockSize }

// Ledger is an open state directory.
type Ledger struct {
	dir            string
	maxBytes       int64
	segmentSize    int64 // a segment is closed before it exceeds this size
	log            *slog.Logger
	entries        map[string]*entry // by ID of the message, or endpointKey
	ended          endedIDs
	segments       []*segment // oldest first; the last one is written to
	file           *os.File
	foreignBytes   int64 // files in the directory that do not belong to the ledger
	listBytes      int64 // reserved for the list of endpoints
	reserve        *reserve
	reserveSegment *segment // stands for the reserve; it is none of segments
	hardStateBytes int64    // of the newest records of hard states
	owedEndBytes   int      // bytes that the ends of all held messages may need in the reserve
	unwrittenEnds  []string // IDs of accepted notices whose end could not be written yet
	flushing       bool     // a flush of the reserve is under way
	lastSeq        uint64
	compacting     bool // a compaction is under way
	rotationFailed bool // the last attempt to start a segment failed
	buf            []byte
	lastActivity   time.Time
	stats          Stats
	afterWrite     func() // for tests: called after each write
}

// Open reads the directory, whose files may use up to maxBytes, and starts a new segment. Broken records are logged,
// counted and skipped. The ID of a message is known for idRetention after its end, also to later processes; 0 means that
// it is forgotten at once. Open waits for another process that holds the directory to end, see ErrInUse.
func Open(dir string, maxBytes int64, idRetention time.Duration, log *slog.Logger) (*Ledger, error) {
	l := &Ledger{
		dir:         dir,
		maxBytes:    maxBytes,
		segmentSize: maxBytes / segmentsPerLimit,
		log:         log,
		entries:     map[string]*entry{},
		ended:       newEndedIDs(idRetention, maxBytes),

		reserveSegment: &segment{path: filepath.Join(dir, ReserveFile)},
	}
	locks, err := lockDirectory(dir, log)
	if err != nil {
		return nil, err
	}
	defer closeAll(locks)
	files, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	for _, f := range files {
		if err := l.addFile(f); err != nil {
			return nil, fmt.Errorf("ledger: %w", err)
		}
	}
	slices.SortFunc(l.segments, func(a, b *segment) int { return cmp.Compare(a.number, b.number) })
	for _, s := range l.segments {
		if err := l.replay(s); err != nil {
			return nil, fmt.Errorf("ledger: %w", err)
		}
	}
	if l.reserve, err = openReserve(dir, reserveSize(maxBytes)); err != nil {
		log.Warn("the ledger has no reserve: ends are lost while the state directory takes no records", "err", err)
	}
	l.replayReserve()
	l.removeDeadSegments()
	if err := l.rotate(); err != nil {
		return nil, err
	}
	l.compact()
	return l, nil
}

// addFile adds a file found in the directory to the segments, or counts its size.
func (l *Ledger) addFile(f os.DirEntry) error {
	info, err := f.Info()
	if err != nil {
		return err
	}
	if f.Name() == ReserveFile {
		return nil // counted by usedBytes
	}
	if f.Name() == ListFile || f.Name() == ListTempFile {
		l.listBytes += diskUsage(info.Size())
		return nil
	}
	var number int
	if n, err := fmt.Sscanf(f.Name(), "%08d.seg", &number); err != nil || n != 1 || !info.Mode().IsRegular() {
		l.foreignBytes += diskUsage(info.Size())
		return nil
	}
	l.segments = append(l.segments, &segment{number: number, path: filepath.Join(l.dir, f.Name()), size: info.Size()})
	if info.ModTime().After(l.lastActivity) && info.Size() > 0 {
		l.lastActivity = info.ModTime()
	}
	return nil
}

// replay applies the records of one segment.
func (l *Ledger) replay(s *segment) error {
	data, err := os.ReadFile(s.path)
	if err != nil {
		return err
	}
	broken := scanRecords(data, func(payload []byte) bool {
		r, ok := decodeRecord(payload)
		if ok {
			l.apply(r, s, int64(headerSize+len(payload)))
		}
		return ok
	})
	if broken > 0 {
		l.stats.BrokenRecords += broken
		l.log.Warn("broken records in the ledger skipped", "segment", s.number, "count", broken)
	}
	return nil
}

// apply updates the state with a record of segment s, which takes up size bytes there.
func (l *Ledger) apply(r record, s *segment, size int64) {
	e := l.entries[r.id]
	switch r.kind {
	case kindAccepted:
		l.removeEntry(r.id, e)
		e = &entry{
			seq:             r.seq,
			message:         r.message,
			attemptCount:    r.attemptCount,
			openAttempts:    r.openAttempts,
			mayHaveRun:      r.mayHaveRun,
			firstMayHaveRun: r.attempt,
		}
		l.lastSeq = max(l.lastSeq, r.seq)
		l.entries[r.id] = e
		l.owedEndBytes += endRecordSize(r.id)
		s.addEntry(e, size)
	case kindNotice:
		l.removeEntry(r.id, e)
		e = &entry{seq: r.seq, notice: &Notice{ID: r.id, Dead: r.dead, RetryAfter: r.retryAfter}}
		l.lastSeq = max(l.lastSeq, r.seq)
		l.entries[r.id] = e
		s.addEntry(e, size)
	case kindOutage:
		outage := &Outage{Host: r.attempt.host, At: r.attempt.startedAt, Rate: r.rate}
		l.replaceEndpointEntry(outage.Host, &entry{seq: r.seq, outage: outage}, s, size)
	case kindHardState:
		l.hardStateBytes += size
		l.replaceEndpointEntry(r.id, &entry{seq: r.seq, hardState: &HardState{Host: r.id, State: r.state}}, s, size)
	case kindCall:
		for i, id := range r.ids {
			if e := l.entries[id]; e != nil && e.message != nil {
				number := r.attemptNumbers[i]
				a := attempt{number: number, startedAt: r.attempt.startedAt, host: r.attempt.host}
				e.openAttempts = append(e.openAttempts, a)
				e.attemptCount = max(e.attemptCount, number+1)
			}
		}
	case kindOutcome:
		if e != nil {
			e.closeAttempt(r.attemptCount, r.mayHaveRun)
			if r.failed {
				e.failedAttempts++
			}
		}
	case kindEnd:
		for _, id := range r.ids {
			if e := l.entries[id]; e == nil || !e.ofEndpoint() {
				l.noteEnded(hashID(id), s)
			}
			l.removeEntry(id, l.entries[id])
		}
	case kindEndedIDs:
		for _, hash := range r.hashes {
			l.noteEnded(hash, s)
		}
	}
}

// removeEntry removes an entry, if it is not nil.
func (l *Ledger) removeEntry(id string, e *entry) {
	if e != nil {
		if e.message != nil {
			l.owedEndBytes -= endRecordSize(id)
		}
		if e.hardState != nil {
			l.hardStateBytes -= e.recordSize
		}
		e.segment.liveEntries--
		e.segment.liveBytes -= e.recordSize
		delete(l.entries, id)
	}
}

// closeAttempt applies the outcome of an attempt.
func (e *entry) closeAttempt(number int, mayHaveRun bool) {
	i := slices.IndexFunc(e.openAttempts, func(a attempt) bool { return a.number == number })
	if i < 0 {
		return
	}
	a := e.openAttempts[i]
	e.openAttempts = slices.Delete(e.openAttempts, i, i+1)
	if mayHaveRun && (!e.mayHaveRun || a.startedAt.Before(e.firstMayHaveRun.startedAt)) {
		e.mayHaveRun, e.firstMayHaveRun = true, a
	}
}

// LastActivity returns when the latest record of an earlier process was written; zero if there is none.
func (l *Ledger) LastActivity() time.Time { return l.lastActivity }

// Stats returns what Open found.
func (l *Ledger) Stats() Stats { return l.stats }

// selectEntries returns the entries for which keep returns true, oldest first.
func (l *Ledger) selectEntries(keep func(*entry) bool) []*entry {
	var list []*entry
	for _, e := range l.entries {
		if keep(e) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.seq, b.seq) })
	return list
}

// Pending returns the messages that have not ended, in the order in which they were accepted. An attempt without an
// outcome counts as one that may have run.
func (l *Ledger) Pending() []PendingMessage {
	list := l.selectEntries(func(e *entry) bool { return e.message != nil })
	out := make([]PendingMessage, len(list))
	for i, e := range list {
		mayHaveRun, first := e.mayHaveRun, e.firstMayHaveRun
		var open attempt
		for _, a := range e.openAttempts {
			if !mayHaveRun || a.startedAt.Before(first.startedAt) {
				mayHaveRun, first = true, a
			}
			if open.startedAt.IsZero() || a.startedAt.Before(open.startedAt) {
				open = a
			}
		}
		out[i] = PendingMessage{
			Message:        e.message,
			Attempts:       e.attemptCount,
			MayHaveRun:     mayHaveRun,
			MayHaveRunAt:   first.startedAt,
			MayHaveRunHost: first.host,
			OpenSince:      open.startedAt,
			OpenHost:       open.host,
			FailedAttempts: e.failedAttempts,
		}
	}
	return out
}

// Notices returns the notices that the platform has not accepted yet, oldest first.
func (l *Ledger) Notices() []Notice {
	list := l.selectEntries(func(e *entry) bool { return e.notice != nil })
	out := make([]Notice, len(list))
	for i, e := range list {
		out[i] = *e.notice
	}
	return out
}

// RecordAccepted records that a message was accepted. If it returns ErrFull, nothing was written.
func (l *Ledger) RecordAccepted(m *message.Message) error {
	need := int64(len(m.Body)+len(m.Tenant)+len(m.IdempotencyKey)) + 2*blockSize + l.reservedBytes()
	if l.usedBytes()+need > l.maxBytes {
		l.compact()
	}
	if err := l.flush(); err != nil {
		return err
	}
	if l.usedBytes()+need > l.maxBytes || !l.reserveHolds(m.ID) || !l.hasRoomForEnds() {
		return ErrFull
	}
	l.lastSeq++
	return l.appendAndApply(record{kind: kindAccepted, id: m.ID, seq: l.lastSeq, message: m})
}

// reservedBytes returns how much space new messages must leave free, see compact: two segments for waste, one to copy
// to and one to spare, and what hard states may still use.
func (l *Ledger) reservedBytes() int64 {
	const segments = 4
	return segments*max(l.segmentSize, maxRecordSize) + max(0, l.hardStateLimit()-l.hardStateBytes)
}

// RecordCall records that a call with these messages, each with the number of its attempt, is about to be made. No
// byte of the call may be written before that.
func (l *Ledger) RecordCall(ids []string, numbers []int, host string, at time.Time) error {
	call := attempt{startedAt: at, host: host}
	return l.appendAndApply(record{kind: kindCall, ids: ids, attemptNumbers: numbers, attempt: call})
}

// RecordOutcome records how an attempt ended: whether it may have run, and whether it failed and was not merely
// refused.
func (l *Ledger) RecordOutcome(id string, number int, mayHaveRun, failed bool) error {
	if l.entries[id] == nil {
		return nil
	}
	return l.appendAndApply(record{
		kind:         kindOutcome,
		id:           id,
		attemptCount: number,
		mayHaveRun:   mayHaveRun,
		failed:       failed,
	})
}

// RecordEnd records that a message needs nothing more: it has ended, and no notice of it is owed. It succeeds although
// the segments take nothing, as long as the reserve has room.
func (l *Ledger) RecordEnd(id string) error {
	return l.recordEnd(record{kind: kindEnd, ids: []string{id}})
}

// RecordNotice records the end of a message of which the platform has to be notified, like RecordEnd.
func (l *Ledger) RecordNotice(n Notice) error {
	l.lastSeq++
	return l.recordEnd(noticeRecord(n, l.lastSeq))
}

// RecordNoticesAccepted records that the platform has accepted notices. After an error it is written with the next
// record that can be; until then a restart repeats the notices, which does no harm.
func (l *Ledger) RecordNoticesAccepted(ids ...string) error {
	err := l.appendAndApply(record{kind: kindEnd, ids: ids})
	if err != nil {
		l.unwrittenEnds = append(l.unwrittenEnds, ids...)
	}
	return err
}

// Close closes the ledger. The files stay in the directory.
func (l *Ledger) Close() error {
	l.reserve.close()
	return l.file.Close()
}

// The list of endpoints may use up to maxBytes / listSpaceDivisor.
const listSpaceDivisor = 4

// ReserveListSpace changes the space reserved for all files of the list of endpoints together. It returns false and
// changes nothing if that is more space than before and either exceeds a quarter of the size limit or would not leave
// free what RecordAccepted keeps for the calls and ends of held messages. The list can be fetched again; those
// records cannot.
func (l *Ledger) ReserveListSpace(bytes int64) bool {
	bytes = diskUsage(bytes) + blockSize // up to two files, each rounded up to whole blocks
	more := bytes - l.listBytes
	if more > 0 && (bytes > l.maxBytes/listSpaceDivisor || l.usedBytes()+more+l.reservedBytes() > l.maxBytes) {
		return false
	}
	l.listBytes = bytes
	return true
}

// usedBytes returns how much of the size limit is used.
func (l *Ledger) usedBytes() int64 {
	sum := l.foreignBytes + l.listBytes + l.reserveBytes()
	for _, s := range l.segments {
		sum += s.diskUsage()
	}
	return sum
}

// reserveBytes returns how much of the size limit the reserve uses.
func (l *Ledger) reserveBytes() int64 {
	if l.reserve == nil || l.reserve.data == nil {
		return 0
	}
	return diskUsage(int64(len(l.reserve.data)))
}

// appendAndApply appends a record to the newest segment and updates the state with it.
func (l *Ledger) appendAndApply(r record) error {
	if err := l.flush(); err != nil {
		return err
	}
	l.buf = appendRecord(l.buf[:0], r)
	cur := l.segments[len(l.segments)-1]
	if cur.size > 0 && cur.size+int64(len(l.buf)) > l.segmentSize && l.rotateAndCompact() {
		l.buf = appendRecord(l.buf[:0], r) // again, as compaction uses the same buffer
		cur = l.segments[len(l.segments)-1]
	}
	if l.usedBytes()+int64(len(l.buf))+blockSize > l.maxBytes {
		return ErrFull
	}
	if _, err := l.file.Write(l.buf); err != nil {
		// Remove what was written of the record. If that fails too, it will be skipped as broken.
		if truncErr := l.file.Truncate(cur.size); truncErr != nil {
			err = errors.Join(err, truncErr)
		}
		return fmt.Errorf("ledger: %w", err)
	}
	cur.size += int64(len(l.buf))
	l.apply(r, cur, int64(len(l.buf)))
	if l.afterWrite != nil {
		l.afterWrite()
	}
	return nil
}

// toRecord returns an entry as one full record.
func (e *entry) toRecord() record {
	if e.hardState != nil {
		return hardStateRecord(*e.hardState, e.seq)
	}
	if e.outage != nil {
		return outageRecord(*e.outage, e.seq)
	}
	if e.notice != nil {
		return noticeRecord(*e.notice, e.seq)
	}
	return record{
		kind:         kindAccepted,
		id:           e.message.ID,
		seq:          e.seq,
		message:      e.message,
		attemptCount: e.attemptCount,
		openAttempts: e.openAttempts,
		mayHaveRun:   e.mayHaveRun,
		attempt:      e.firstMayHaveRun,
	}
}

func noticeRecord(n Notice, seq uint64) record {
	return record{kind: kindNotice, id: n.ID, seq: seq, dead: n.Dead, retryAfter: n.RetryAfter}
}
