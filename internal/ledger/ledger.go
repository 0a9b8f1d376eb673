// Package ledger keeps what the sender owes in the folder that outlives its process: the messages taken on, the
// calls made for them, their ends, and the notices not yet accepted. It owns that folder and its bound in bytes.
// It must never decide what becomes of a message, exceed the bound, or be used by two goroutines at once.
//
// The folder holds numbered segments of checksummed records (record.go). Only the newest is written to. The
// oldest is dropped once nothing in it is owed any more, or copied forward first: what is left of it is written
// again, with what has been learned since, to the newest. Segments go in order of age only, so no record is ever
// left behind whose message is gone.
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

// ErrFull is returned where a record would not leave enough of the folder's bound.
var ErrFull = errors.New("ledger: folder is full")

// The list of endpoints lies in the ledger's folder, see package snapshot: the file, and another one while it is written anew.
const (
	ListFile     = "endpoints.list"
	ListTempFile = "endpoints.list.new"
)

const (
	block     = 512 // files count in whole blocks
	pieces    = 16  // segments that the bound allows
	maxRecord = 68 << 10
)

// Owed is a message that still has no end.
type PendingMessage struct {
	Message        *message.Message
	Attempts       int
	MayHaveRun     bool // an attempt may have run: At and Host tell of the earliest
	MayHaveRunAt   time.Time
	MayHaveRunHost string
	FailedAttempts int // attempts that failed, other than by being turned away; those before a copy forward are not counted
}

// Notice is an end that the platform has still to be told.
type Notice struct {
	ID         string
	Dead       bool
	RetryAfter time.Duration // for one that is not dead: when to come back
}

// Outage is an endpoint that the sender took for out, and had not yet seen warm again.
type Outage struct {
	Host string
	At   time.Time // when it was first taken for out
	Rate float64   // calls a second delivered to it before, kept in thousandths
}

// outageID is the entry of an outage: no message can have such an id, as none holds a zero byte.
func outageID(host string) string { return "\x00outage " + host }

// Stats counts what was found on opening.
type Stats struct{ BrokenRecords int }

type attempt struct {
	num  int
	at   time.Time
	host string
}

// entry is what is owed for one message: its end, or the notice of it.
type entry struct {
	seq      uint64
	msg      *message.Message
	attempts int
	open     []attempt // no outcome yet
	mayRun   bool
	failed   int     // attempts; a hint, which a copy forward drops
	ran      attempt // the earliest that may have run
	notice   *Notice
	outage   *Outage
	home     *segment // holds the newest whole record of it
	size     int64    // of that record
}

type segment struct {
	num  int
	path string
	size int64
	live int   // entries at home here
	held int64 // bytes of their records
}

// settleIn makes s the home of an entry whose record has this size.
func (s *segment) settleIn(e *entry, size int64) {
	e.home, e.size = s, size
	s.live++
	s.held += size
}

func (s *segment) cost() int64 { return cost(s.size) }

// cost is what a file of this size counts for.
func cost(size int64) int64 { return max(1, (size+block-1)/block) * block }

// Ledger is an open folder.
type Ledger struct {
	dir      string
	limit    int64
	segMax   int64
	log      *slog.Logger
	entries  map[string]*entry
	segments []*segment // oldest first; the last is written to
	file     *os.File
	foreign  int64 // files here that are not the ledger's
	aside    int64 // bytes that are set aside for the list of endpoints
	seq      uint64
	passing  bool // a compaction is under way
	stuck    bool // the last new segment could not be started
	buf      []byte
	stats    Stats
	wrote    func() // for tests: called after each write
}

// Open reads the folder and starts a new segment. Broken records are logged, counted and skipped.
func Open(dir string, limit int64, log *slog.Logger) (*Ledger, error) {
	l := &Ledger{dir: dir, limit: limit, segMax: limit / pieces, log: log, entries: map[string]*entry{}}
	files, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	for _, f := range files {
		if err := l.adopt(f); err != nil {
			return nil, fmt.Errorf("ledger: %w", err)
		}
	}
	slices.SortFunc(l.segments, func(a, b *segment) int { return cmp.Compare(a.num, b.num) })
	for _, s := range l.segments {
		if err := l.load(s); err != nil {
			return nil, fmt.Errorf("ledger: %w", err)
		}
	}
	l.dropDead()
	if err := l.rotate(); err != nil {
		return nil, err
	}
	l.compact()
	return l, nil
}

func (l *Ledger) adopt(f os.DirEntry) error {
	info, err := f.Info()
	if err != nil {
		return err
	}
	if f.Name() == ListFile || f.Name() == ListTempFile {
		l.aside += cost(info.Size())
		return nil
	}
	var num int
	if n, err := fmt.Sscanf(f.Name(), "%08d.seg", &num); err != nil || n != 1 || !info.Mode().IsRegular() {
		l.foreign += cost(info.Size())
		return nil
	}
	l.segments = append(l.segments, &segment{num: num, path: filepath.Join(l.dir, f.Name()), size: info.Size()})
	return nil
}

// load replays one segment.
func (l *Ledger) load(s *segment) error {
	text, err := os.ReadFile(s.path)
	if err != nil {
		return err
	}
	broken := scan(text, func(payload []byte) bool {
		r, ok := decodeRecord(payload)
		if ok {
			l.apply(r, s, int64(headLen+len(payload)))
		}
		return ok
	})
	if broken > 0 {
		l.stats.BrokenRecords += broken
		l.log.Warn("broken records in the ledger skipped", "segment", s.num, "count", broken)
	}
	return nil
}

// apply brings the state up to date with a record that stands in s with this size.
func (l *Ledger) apply(r record, s *segment, size int64) {
	e := l.entries[r.id]
	switch r.kind {
	case kindKeep:
		l.settle(r.id, e)
		e = &entry{seq: r.seq, msg: r.msg, attempts: r.attempts, open: r.open, mayRun: r.mayRun, ran: r.ran}
		l.seq = max(l.seq, r.seq)
		l.entries[r.id] = e
		s.settleIn(e, size)
	case kindNotice:
		l.settle(r.id, e)
		e = &entry{seq: r.seq, notice: &Notice{ID: r.id, Dead: r.dead, RetryAfter: r.wait}}
		l.seq = max(l.seq, r.seq)
		l.entries[r.id] = e
		s.settleIn(e, size)
	case kindOutage:
		id := outageID(r.ran.host)
		l.settle(id, l.entries[id])
		e = &entry{seq: r.seq, outage: &Outage{Host: r.ran.host, At: r.ran.at, Rate: r.rate}}
		l.seq = max(l.seq, r.seq)
		l.entries[id] = e
		s.settleIn(e, size)
	case kindCall:
		for i, id := range r.ids {
			if e := l.entries[id]; e != nil && e.msg != nil {
				e.open = append(e.open, attempt{num: r.nums[i], at: r.ran.at, host: r.ran.host})
				e.attempts = max(e.attempts, r.nums[i]+1)
			}
		}
	case kindOutcome:
		if e != nil {
			e.outcome(r.attempts, r.mayRun)
			if r.failed {
				e.failed++
			}
		}
	case kindEnd:
		for _, id := range r.ids {
			l.settle(id, l.entries[id])
		}
	}
}

// settle drops an entry.
func (l *Ledger) settle(id string, e *entry) {
	if e != nil {
		e.home.live--
		e.home.held -= e.size
		delete(l.entries, id)
	}
}

// outcome books how an attempt ended.
func (e *entry) outcome(num int, mayRun bool) {
	i := slices.IndexFunc(e.open, func(a attempt) bool { return a.num == num })
	if i < 0 {
		return
	}
	a := e.open[i]
	e.open = slices.Delete(e.open, i, i+1)
	if mayRun && (!e.mayRun || a.at.Before(e.ran.at)) {
		e.mayRun, e.ran = true, a
	}
}

// Stats tells what was found on opening.
func (l *Ledger) Stats() Stats { return l.stats }

// Owed returns the messages without an end, in the order in which they were taken on. An attempt without an
// outcome counts as one that may have run.
func (l *Ledger) Pending() []PendingMessage {
	var list []*entry
	for _, e := range l.entries {
		if e.msg != nil {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.seq, b.seq) })
	out := make([]PendingMessage, len(list))
	for i, e := range list {
		mayRun, ran := e.mayRun, e.ran
		for _, a := range e.open {
			if !mayRun || a.at.Before(ran.at) {
				mayRun, ran = true, a
			}
		}
		out[i] = PendingMessage{Message: e.msg, Attempts: e.attempts, MayHaveRun: mayRun, MayHaveRunAt: ran.at, MayHaveRunHost: ran.host, FailedAttempts: e.failed}
	}
	return out
}

// Notices returns the ends that the platform has not accepted yet, oldest first.
func (l *Ledger) Notices() []Notice {
	var list []*entry
	for _, e := range l.entries {
		if e.notice != nil {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.seq, b.seq) })
	out := make([]Notice, len(list))
	for i, e := range list {
		out[i] = *e.notice
	}
	return out
}

// Take records a message taken on. ErrFull leaves nothing behind.
func (l *Ledger) RecordAccepted(m *message.Message) error {
	need := int64(len(m.Body)+len(m.Tenant)+len(m.IdempotencyKey)) + 2*block + l.reserve()
	if l.used()+need > l.limit {
		l.compact()
	}
	if l.used()+need > l.limit {
		return ErrFull
	}
	l.seq++
	return l.write(record{kind: kindKeep, id: m.ID, seq: l.seq, msg: m})
}

// reserve is what is kept free of new messages, see compact: two segments wasted, one to copy to, one to spare.
func (l *Ledger) reserve() int64 { return 4 * max(l.segMax, maxRecord) }

// Call records that a call with these messages, each with the number of its attempt, is about to go out. Only
// then may its bytes be written.
func (l *Ledger) RecordCall(ids []string, nums []int, host string, at time.Time) error {
	return l.write(record{kind: kindCall, ids: ids, nums: nums, ran: attempt{at: at, host: host}})
}

// Outcome records how an attempt ended: whether it may have run, and whether it failed other than by being turned away.
func (l *Ledger) RecordOutcome(id string, num int, mayRun, failed bool) error {
	if l.entries[id] == nil {
		return nil
	}
	return l.write(record{kind: kindOutcome, id: id, attempts: num, mayRun: mayRun, failed: failed})
}

// End records that nothing more is owed for a message: it is over, or the notice of its end was accepted.
func (l *Ledger) RecordEnd(ids ...string) error { return l.write(record{kind: kindEnd, ids: ids}) }

// Tell records the end of a message of which the platform has to be told.
func (l *Ledger) RecordNotice(n Notice) error {
	l.seq++
	return l.write(record{kind: kindNotice, id: n.ID, seq: l.seq, dead: n.Dead, wait: n.RetryAfter})
}

// Outage records that the sender takes an endpoint for out. It is a hint, and gives way where room is short.
func (l *Ledger) RecordOutage(o Outage) error {
	if l.used()+int64(len(o.Host))+2*block+l.reserve() > l.limit {
		return ErrFull
	}
	l.seq++
	return l.write(record{kind: kindOutage, seq: l.seq, ran: attempt{at: o.At, host: o.Host}, rate: o.Rate})
}

// OutageOver records that an endpoint is well again.
func (l *Ledger) RecordOutageEnd(host string) error {
	if l.entries[outageID(host)] == nil {
		return nil
	}
	return l.RecordEnd(outageID(host))
}

// Outages returns the outages that are not over, oldest first.
func (l *Ledger) Outages() []Outage {
	var list []*entry
	for _, e := range l.entries {
		if e.outage != nil {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.seq, b.seq) })
	out := make([]Outage, len(list))
	for i, e := range list {
		out[i] = *e.outage
	}
	return out
}

// Close closes the folder. What is owed stays in it.
func (l *Ledger) Close() error { return l.file.Close() }

// SetAside makes this the room for the list of endpoints, all its files together. It is false, and changes nothing, if that is
// more than it has and over a quarter of the bound, or would not leave free what Take keeps for the calls and ends of what is held: a list
// can be had again.
func (l *Ledger) ReserveListSpace(bytes int64) bool {
	bytes = cost(bytes) + block // two files at most, in whole blocks each
	if more := bytes - l.aside; more > 0 && (bytes > l.limit/4 || l.used()+more+l.reserve() > l.limit) {
		return false
	}
	l.aside = bytes
	return true
}

// used is what the folder counts for.
func (l *Ledger) used() int64 {
	sum := l.foreign + l.aside
	for _, s := range l.segments {
		sum += s.cost()
	}
	return sum
}

// write appends a record to the newest segment and brings the state up to date.
func (l *Ledger) write(r record) error {
	l.buf = appendRecord(l.buf[:0], r)
	cur := l.segments[len(l.segments)-1]
	if cur.size > 0 && cur.size+int64(len(l.buf)) > l.segMax && l.turn() {
		l.buf = appendRecord(l.buf[:0], r) // compaction used the buffer
		cur = l.segments[len(l.segments)-1]
	}
	if l.used()+int64(len(l.buf))+block > l.limit {
		return ErrFull
	}
	if _, err := l.file.Write(l.buf); err != nil {
		if cut := l.file.Truncate(cur.size); cut != nil { // the rest of a record would be skipped as broken
			err = errors.Join(err, cut)
		}
		return fmt.Errorf("ledger: %w", err)
	}
	cur.size += int64(len(l.buf))
	l.apply(r, cur, int64(len(l.buf)))
	if l.wrote != nil {
		l.wrote()
	}
	return nil
}

// turn starts a new segment and drops what it can of the old ones. Where that fails, as without a free descriptor,
// the present one grows past its size meanwhile: what is held must still be recorded.
func (l *Ledger) turn() bool {
	if err := l.rotate(); err != nil {
		if !l.stuck {
			l.log.Warn("no new ledger segment; the present one grows", "err", err)
		}
		l.stuck = true
		return false
	}
	l.stuck = false
	if !l.passing {
		l.dropDead()
		l.compact()
	}
	return true
}

// rotate starts a new segment.
func (l *Ledger) rotate() error {
	num := 1
	if n := len(l.segments); n > 0 {
		num = l.segments[n-1].num + 1
	}
	path := filepath.Join(l.dir, fmt.Sprintf("%08d.seg", num))
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file = f
	l.segments = append(l.segments, &segment{num: num, path: path})
	return nil
}

// dropDead removes the oldest segments as long as nothing in them is owed.
func (l *Ledger) dropDead() {
	for len(l.segments) > 1 && l.segments[0].live == 0 {
		if !l.remove() {
			return
		}
	}
}

func (l *Ledger) remove() bool {
	if err := os.Remove(l.segments[0].path); err != nil {
		l.log.Warn("a ledger segment could not be removed", "segment", l.segments[0].num, "err", err)
		return false
	}
	l.segments = slices.Delete(l.segments, 0, 1)
	return true
}

// wasted is how many bytes hold nothing that is owed.
func (l *Ledger) wasted() int64 {
	sum := l.used() - l.foreign - l.aside
	for _, s := range l.segments {
		sum -= s.held
	}
	return sum
}

// compact copies what is owed out of the oldest segments, each of the present ones once at most, while the folder is
// more than half full and a pass gains two segments or more: below that it would copy much to win little, again and
// again. The folder stays within its bound, as Take leaves room for what may be wasted by then and for a copy.
func (l *Ledger) compact() {
	if l.wasted() < 2*l.segMax {
		return
	}
	l.passing = true
	defer func() { l.passing = false }()
	for n := len(l.segments) - 1; n > 0 && l.used() > l.limit/2 && l.wasted() > l.segMax; n-- {
		oldest := l.segments[0]
		for _, e := range l.homeAt(oldest) {
			if err := l.write(e.record()); err != nil {
				l.log.Warn("the ledger could not be compacted", "segment", oldest.num, "err", err)
				return
			}
		}
		if !l.remove() {
			return
		}
	}
}

// homeAt returns the entries whose newest whole record stands in s, in order.
func (l *Ledger) homeAt(s *segment) []*entry {
	var list []*entry
	for _, e := range l.entries {
		if e.home == s {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.seq, b.seq) })
	return list
}

// record is an entry as one whole record.
func (e *entry) record() record {
	if e.outage != nil {
		return record{kind: kindOutage, seq: e.seq, ran: attempt{at: e.outage.At, host: e.outage.Host}, rate: e.outage.Rate}
	}
	if e.notice != nil {
		return record{kind: kindNotice, id: e.notice.ID, seq: e.seq, dead: e.notice.Dead, wait: e.notice.RetryAfter}
	}
	return record{kind: kindKeep, id: e.msg.ID, seq: e.seq, msg: e.msg, attempts: e.attempts, open: e.open,
		mayRun: e.mayRun, ran: e.ran}
}
