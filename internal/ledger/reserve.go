// This file owns the reserve: room for the ends of all held messages that no failing system call can take away. It must
// never be used while the segments take records.
//
// The reserve is a file of fixed size in the state directory. Its blocks are allotted and it is mapped when the ledger is
// opened, so a record that is copied there outlives the process without a further system call. The records are moved to
// the segments as soon as these take records again. They follow everything in the segments.

package ledger

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"syscall"
)

// ReserveFile is the name of the file of the reserve.
const ReserveFile = "ends.reserve"

const (
	reserveDivisor  = 32       // the reserve has this part of the size limit
	minReserveBytes = 64 << 10 // ends of some 1,200 messages with short IDs

	// endRecordOverhead bounds the bytes of the record of a message's end beside its ID: header, kind, the lengths of a
	// list and of an ID, and the numbers of a notice.
	endRecordOverhead = headerSize + 1 + 4 + 10 + 1 + 10
)

// errReserveFull is returned if a record does not fit in the reserve, or there is none.
var errReserveFull = errors.New("ledger: the reserve is full")

// reserve is the mapped file. The zero value has no room.
type reserve struct {
	data []byte // the mapping; a record starts at 0, the next one behind it; zero bytes follow the last one
	used int
}

// reserveSize returns the size of the reserve for a size limit.
func reserveSize(maxBytes int64) int64 { return max(maxBytes/reserveDivisor, minReserveBytes) }

// openReserve allots and maps the reserve of a directory. It keeps what an earlier process has left there.
func openReserve(dir string, size int64) (*reserve, error) {
	f, err := os.OpenFile(filepath.Join(dir, ReserveFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return &reserve{}, err
	}
	defer f.Close() // the mapping outlasts it
	info, err := f.Stat()
	if err != nil {
		return &reserve{}, err
	}
	if missing := size - info.Size(); missing > 0 {
		// Written, not truncated to: a hole would need a block just when there may be none.
		if _, err := f.WriteAt(make([]byte, missing), info.Size()); err != nil {
			return &reserve{}, err
		}
	}
	size = max(size, info.Size())
	data, err := syscall.Mmap(int(f.Fd()), 0, int(size), syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return &reserve{}, fmt.Errorf("mapping the reserve: %w", err)
	}
	return &reserve{data: data}, nil
}

// close releases the mapping. What was written stays in the file.
func (r *reserve) close() {
	if r.data != nil {
		_ = syscall.Munmap(r.data) // fails only for a mapping that does not exist
	}
	*r = reserve{}
}

// append copies a record to the reserve. A page that the file cannot provide any more is an error, not a crash.
func (r *reserve) append(record []byte) (err error) {
	if len(record) > len(r.data)-r.used {
		return errReserveFull
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("ledger: writing the reserve: %v", fault)
		}
	}()
	// The header comes last: a record that is cut off by a kill has no magic number.
	copy(r.data[r.used+headerSize:], record[headerSize:])
	copy(r.data[r.used:], record[:headerSize])
	r.used += len(record)
	return nil
}

// scan calls handle for the payload of each record in the reserve until handle fails. It returns the end of the last
// record that was handled.
func (r *reserve) scan(handle func(payload []byte) error) (end int, err error) {
	for {
		payload, ok := nextPayload(r.data[end:])
		if !ok {
			return end, nil
		}
		if err := handle(payload); err != nil {
			return end, err
		}
		end += headerSize + len(payload)
	}
}

// clear empties the reserve. A kill in between leaves records that are in the segments already.
func (r *reserve) clear() {
	clear(r.data)
	r.used = 0
}

// recordEnd appends a record of a message's end, to the reserve if the segments do not take it.
func (l *Ledger) recordEnd(r record) error {
	err := l.appendAndApply(r)
	if err == nil {
		return nil
	}
	encoded := appendRecord(nil, r)
	if reserveErr := l.reserve.append(encoded); reserveErr != nil {
		return errors.Join(err, reserveErr)
	}
	l.apply(r, l.reserveSegment, int64(len(encoded)))
	return nil
}

// replayReserve applies what an earlier process has left in the reserve.
func (l *Ledger) replayReserve() {
	l.reserve.used, _ = l.reserve.scan(func(payload []byte) error { // the function returns no error
		if r, ok := decodeRecord(payload); ok {
			l.apply(r, l.reserveSegment, int64(headerSize+len(payload)))
		}
		return nil
	})
}

// flush moves the records of the reserve, and the ends of notices that could not be written, to the segments. Records
// that are moved twice, as a later one failed, mean the same.
func (l *Ledger) flush() error {
	if l.flushing || l.reserve.used == 0 && len(l.unwrittenEnds) == 0 {
		return nil
	}
	l.flushing = true
	defer func() { l.flushing = false }()
	_, err := l.reserve.scan(func(payload []byte) error {
		r, ok := decodeRecord(payload)
		if !ok {
			return nil
		}
		return l.appendAndApply(r)
	})
	if err != nil {
		return err
	}
	l.reserve.clear()
	l.reserveSegment.endedIDs = nil
	if len(l.unwrittenEnds) > 0 {
		if err := l.appendAndApply(record{kind: kindEnd, ids: l.unwrittenEnds}); err != nil {
			return err
		}
		l.unwrittenEnds = nil
	}
	return nil
}

// reserveHolds reports whether the reserve has room for the ends of all held messages and of one more.
func (l *Ledger) reserveHolds(id string) bool {
	return l.reserve.data == nil || l.reserve.used+l.owedEndBytes+endRecordSize(id) <= len(l.reserve.data)
}

// endRecordSize returns an upper bound of the size of the record of a message's end.
func endRecordSize(id string) int { return endRecordOverhead + len(id) }
