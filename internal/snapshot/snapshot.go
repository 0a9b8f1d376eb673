// Package snapshot keeps the list of endpoints, as last received from discovery, in the state directory, so that the
// next process asks discovery only for what has changed since. It owns one file there, and a temporary one while that
// is rewritten. It must never delay the users of the list, use space of the directory that the ledger has not granted,
// nor return a list that discovery has not sent: a truncated file counts up to its last valid record, as the version
// that record has.
//
// A whole list is written to the temporary file and renamed. A change is appended, so that it costs its own bytes only.
// Once the file has grown to twice the list it is rewritten. Nothing is synced: what was written outlives the process,
// and an older version is as good as the newest, as discovery reports what came after it.
package snapshot

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"eiderhaven/internal/exchange"
	"eiderhaven/internal/ledger"
)

// State is a whole list, with where it came from and the names of its kinds and zones.
type State struct {
	DiscoveryAddress string
	Kinds, Zones     []string
	Seq              int64
	PrevSeq          int64 // the version that the last change was applied to
	LastChange       []exchange.Host
	Hosts            []exchange.Host
}

const (
	// fullWriteRate limits, on average, the bytes per second of whole lists that are written. A list of 210,000
	// endpoints has 8.5 MB, so it is written every 33 s at most.
	fullWriteRate = 256 << 10

	minFullWriteGap   = 100 * time.Millisecond // between two whole lists
	initialRetryDelay = time.Second            // doubled after each further failure, up to maxRetryDelay
	maxRetryDelay     = time.Minute
	maxQueuedHosts    = 100_000  // entries of changes that wait to be written
	minGrowth         = 64 << 10 // bytes of changes, however short the list, before the file is rewritten
	writeBufferBytes  = 64 << 10
	fileMode          = 0o600
)

var (
	errNoSpace      = errors.New("no space granted in the state directory for the endpoint list")
	errFileReplaced = errors.New("the file of the endpoint list was removed or truncated by another program")
)

// update is a list or a change that is to be written.
type update struct {
	addr       string // of discovery; empty: the list in force is not known as a whole from here on
	since, seq int64
	list       exchange.Listing
}

// file is a file open for writing.
type file interface {
	io.WriteCloser
	io.WriterAt
	Truncate(size int64) error
	Stat() (os.FileInfo, error)
}

// Store writes the lists and changes that it is given.
type Store struct {
	path, tempPath string
	kinds, zones   []string
	reserve        func(bytes int64) bool
	log            *slog.Logger
	openFile       func(path string, flag int) (file, error) // replaced in tests, for instance by a full disk

	mu          sync.Mutex
	queue       []*update
	queuedHosts int // entries of the changes in the queue
	queued      chan struct{}

	// Used by Run alone.
	addr          string // where the list in the file came from; empty if the file cannot be continued
	seq           int64
	size          int64     // bytes of the file
	listSize      int64     // bytes of the whole list at its beginning
	nextFullWrite time.Time // earliest time to write a whole list

	BytesWritten atomic.Int64
	Unwritten    atomic.Int64 // lists and changes that could not be written at once, or not at all
}

// Open returns the store of a directory and the list in it, or nil if there is no valid one. A list is of use only with
// the same names of kinds and zones. Before any file is written, reserve is asked for the total size of all files here.
func Open(dir string, kinds, zones []string, reserve func(bytes int64) bool, log *slog.Logger) (*Store, *State) {
	st := &Store{
		path:     filepath.Join(dir, ledger.ListFile),
		tempPath: filepath.Join(dir, ledger.ListTempFile),
		kinds:    kinds,
		zones:    zones,
		reserve:  reserve,
		log:      log,
		queued:   make(chan struct{}, 1),
		openFile: func(path string, flag int) (file, error) { return os.OpenFile(path, flag, fileMode) },
	}
	if err := os.Remove(st.tempPath); err != nil && !errors.Is(err, os.ErrNotExist) {
		log.Warn("cannot remove the temporary file of the endpoint list", "err", err)
	}
	s, err := st.load()
	switch {
	case errors.Is(err, os.ErrNotExist):
		return st, nil
	case errors.Is(err, errNoWholeList):
		log.Warn("the endpoint list in the state directory cannot be used and is removed", "err", err)
		if err := os.Remove(st.path); err != nil {
			log.Warn("cannot remove the unusable endpoint list", "err", err)
		}
		return st, nil
	case err != nil:
		log.Warn("cannot read the endpoint list in the state directory", "err", err)
		return st, nil
	case !slices.Equal(s.Kinds, kinds) || !slices.Equal(s.Zones, zones):
		log.Info("the endpoint list in the state directory is not used: it dates from before the settings changed")
		return st, nil
	}
	st.addr, st.seq = s.DiscoveryAddress, s.Seq
	return st, s
}

// load reads the file.
func (st *Store) load() (*State, error) {
	f, err := os.Open(st.path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	s, size, listSize, err := decode(f)
	st.size, st.listSize = size, listSize
	return s, err
}

// Save queues what was received from discovery at addr: a whole list, or a change that builds on version since. An
// empty addr means that the list in force is not known as a whole from here on. Save does not block.
func (st *Store) Save(addr string, since, seq int64, l exchange.Listing) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if l.Whole || addr == "" { // replaces all that is queued
		st.queue, st.queuedHosts = nil, 0
	} else {
		st.queuedHosts += len(l.Hosts)
	}
	if st.queuedHosts > maxQueuedHosts { // the disk is too slow or fails: the file stays at its version
		st.Unwritten.Add(int64(len(st.queue)))
		st.queue, st.queuedHosts = nil, 0
		addr, l = "", exchange.Listing{}
	}
	st.queue = append(st.queue, &update{addr, since, seq, l})
	select {
	case st.queued <- struct{}{}:
	default:
	}
}

// Run writes what is queued until the context ends, then the rest of the queue.
func (st *Store) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	retryDelay := time.Duration(0) // 0 unless the latest write failed
	for {
		select {
		case <-ctx.Done():
			st.nextFullWrite = time.Time{}
			st.flush()
			return
		case <-st.queued:
			if retryDelay > 0 { // the timer starts the retry
				continue
			}
		case <-timer.C:
		}
		wait, err := st.flush()
		if err == nil {
			retryDelay = 0
		} else {
			retryDelay = min(max(2*retryDelay, initialRetryDelay), maxRetryDelay)
			wait = retryDelay
		}
		if wait > 0 {
			timer.Reset(wait)
		}
	}
}

// flush writes the queue, oldest update first. If something is left because a whole list must not be written yet, it
// returns how long to wait.
func (st *Store) flush() (wait time.Duration, err error) {
	for {
		st.mu.Lock()
		if len(st.queue) == 0 {
			st.mu.Unlock()
			return 0, nil
		}
		u := st.queue[0]
		st.mu.Unlock()
		if wait := time.Until(st.nextFullWrite); u.list.Whole && wait > 0 {
			return wait, nil
		}
		if err := st.write(u); err != nil && !errors.Is(err, errFileReplaced) {
			if st.Unwritten.Add(1) == 1 {
				st.log.Warn("cannot write the endpoint list to the state directory; further failures are only counted",
					"err", err)
			}
			return 0, err
		}
		st.mu.Lock()
		if len(st.queue) > 0 && st.queue[0] == u { // else a whole list has replaced the queue meanwhile
			st.queue = st.queue[1:]
			if !u.list.Whole {
				st.queuedHosts -= len(u.list.Hosts)
			}
		}
		st.mu.Unlock()
	}
}

// write writes one update. It ignores a change that does not build on what the file holds.
func (st *Store) write(u *update) error {
	switch {
	case u.addr == "":
		st.addr = ""
		return nil
	case u.list.Whole:
		return st.replace(&State{
			DiscoveryAddress: u.addr,
			Kinds:            st.kinds,
			Zones:            st.zones,
			Seq:              u.seq,
			Hosts:            u.list.Hosts,
		})
	case st.addr != u.addr || st.seq != u.since:
		return nil
	}
	if err := st.appendUpdate(u); err != nil {
		return err
	}
	if st.size > 2*st.listSize+minGrowth && time.Until(st.nextFullWrite) <= 0 {
		if err := st.compact(); err != nil { // the change itself is written; the file only keeps growing
			st.Unwritten.Add(1)
			st.nextFullWrite = time.Now().Add(maxRetryDelay)
		}
	}
	return nil
}

// replace writes a whole list to the temporary file and renames that to the file.
func (st *Store) replace(s *State) error {
	needed := &countingWriter{to: io.Discard}
	encode(needed, s) // cannot fail
	if !st.reserve(st.size + needed.n) {
		return errNoSpace
	}
	f, err := st.openFile(st.tempPath, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
	if err != nil {
		st.reserve(st.size)
		return err
	}
	w := &countingWriter{to: f}
	bw := bufio.NewWriterSize(w, writeBufferBytes)
	if err = encode(bw, s); err == nil {
		err = bw.Flush()
	}
	st.BytesWritten.Add(w.n)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(st.tempPath, st.path)
	}
	if err != nil {
		os.Remove(st.tempPath)
		st.reserve(st.size)
		return err
	}
	st.addr, st.seq = s.DiscoveryAddress, s.Seq
	st.size, st.listSize = w.n, w.n
	st.nextFullWrite = time.Now().Add(max(minFullWriteGap, time.Duration(w.n)*time.Second/fullWriteRate))
	st.reserve(st.size)
	return nil
}

// appendUpdate appends a change to the file. It first cuts off what a failed write or a kill left after the last valid
// record, so that such a rest never stands after a new record.
func (st *Store) appendUpdate(u *update) error {
	record := appendChange(nil, u.seq, u.list.Hosts)
	if !st.reserve(st.size + int64(len(record))) {
		return errNoSpace
	}
	f, err := st.openFile(st.path, os.O_WRONLY)
	if err != nil {
		return st.abandonFile(err)
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil || info.Size() < st.size {
		return st.abandonFile(err)
	}
	if info.Size() > st.size {
		if err := f.Truncate(st.size); err != nil {
			return err
		}
	}
	if _, err := f.WriteAt(record, st.size); err != nil {
		f.Truncate(st.size)
		return err
	}
	st.seq = u.seq
	st.size += int64(len(record))
	st.BytesWritten.Add(int64(len(record)))
	return nil
}

// abandonFile stops continuing the file if it is gone (os.ErrNotExist) or has shrunk (nil): another program has changed
// it. It returns any other error as it is.
func (st *Store) abandonFile(err error) error {
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	st.Unwritten.Add(1)
	st.addr = ""
	return fmt.Errorf("%w: %v", errFileReplaced, err)
}

// compact rewrites the file as one whole list. It reads the list from the file, as this package does not hold it in
// memory. So for a moment the list takes its memory a second time, once for as many bytes of changes as the list has.
func (st *Store) compact() error {
	s, err := st.load()
	if err != nil {
		return err
	}
	return st.replace(s)
}

// countingWriter counts the bytes written.
type countingWriter struct {
	to io.Writer
	n  int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.to.Write(p)
	w.n += int64(n)
	return n, err
}
