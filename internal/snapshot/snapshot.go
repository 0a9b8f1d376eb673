// Package snapshot keeps the list of endpoints, as discovery last told it, in the folder that outlives the process, so that the next one
// asks discovery for what is new since and not for all of it. It owns one file there, and another while that is written anew. It
// must never hold up who hears the list, take room of the folder that the ledger has not granted, nor hand out a list that discovery has
// not told: a file that is torn counts as far as it is whole, to the version that it has there.
//
// A whole list is written aside and renamed; changes are appended, so that one costs its own bytes. Once the file has grown to twice the
// list it is written anew. Nothing is synced: what was written outlives the process, and an older version is as right as the newest,
// as discovery tells what came after it.
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

// State is a whole list, with where it came from and what its numbers mean.
type State struct {
	DiscoveryAddress string // discovery's address
	Kinds, Zones     []string
	Seq              int64
	PrevSeq          int64 // the version that the last change followed on
	LastChange       []exchange.Host
	Hosts            []exchange.Host
}

const (
	writeRate   = 256 << 10              // bytes a second of whole lists that are written, on average: 8.5 MB for 210,000 endpoints, each 33 s at most
	leastPause  = 100 * time.Millisecond // between two whole lists
	retryPause  = time.Second            // after a failure, doubled with each up to
	retryMost   = time.Minute
	mostWaiting = 100_000  // entries of changes that wait to be written
	leastGrowth = 64 << 10 // bytes of changes, whatever the size of the list, before the file is written anew
)

var (
	errNoRoom = errors.New("no room for it in the folder")
	errOther  = errors.New("the file is not the one that was left")
)

// note is a list or a change that is to be written.
type note struct {
	at         string // empty: what is in force is not known from here on
	since, seq int64
	list       exchange.Listing
}

// file is a file that is written.
type file interface {
	io.WriteCloser
	io.WriterAt
	Truncate(size int64) error
	Stat() (os.FileInfo, error)
}

// Keeper writes what is heard.
type Store struct {
	path, aside  string
	kinds, zones []string
	room         func(bytes int64) bool
	log          *slog.Logger
	open         func(path string, flag int) (file, error) // tests let a disk be full

	mu      sync.Mutex
	queue   []*note
	waiting int // entries of the changes in it
	more    chan struct{}

	// Of Run alone.
	at         string // of the list in the file, empty if it has none that may be gone on with
	seq        int64
	size, base int64     // bytes of the file, and of the list at its beginning
	next       time.Time // when a whole list may be written

	BytesWritten atomic.Int64 // bytes
	Unwritten    atomic.Int64 // lists and changes that could not be written at once, or at all
}

// Open returns the list in a folder, or nil if there is none that is whole, and what keeps it up to date. The list is of use only where
// the names of kinds and zones are the same. Room is asked for the bytes of all files here before any is written.
func Open(dir string, kinds, zones []string, room func(bytes int64) bool, log *slog.Logger) (*Store, *State) {
	k := &Store{path: filepath.Join(dir, ledger.ListFile), aside: filepath.Join(dir, ledger.ListTempFile), kinds: kinds, zones: zones, room: room,
		log: log, more: make(chan struct{}, 1), open: func(path string, flag int) (file, error) { return os.OpenFile(path, flag, 0o600) }}
	if err := os.Remove(k.aside); err != nil && !errors.Is(err, os.ErrNotExist) {
		log.Warn("half a list of endpoints could not be removed", "err", err)
	}
	s, err := k.load()
	switch {
	case errors.Is(err, os.ErrNotExist):
		return k, nil
	case errors.Is(err, errForm):
		log.Warn("the list of endpoints in the folder cannot be used and goes", "err", err)
		if err := os.Remove(k.path); err != nil {
			log.Warn("it could not be removed", "err", err)
		}
		return k, nil
	case err != nil:
		log.Warn("the list of endpoints in the folder cannot be read", "err", err)
		return k, nil
	case !slices.Equal(s.Kinds, kinds) || !slices.Equal(s.Zones, zones):
		log.Info("the list of endpoints in the folder is from before the settings changed")
		return k, nil
	}
	k.at, k.seq = s.DiscoveryAddress, s.Seq
	return k, s
}

// load reads the file.
func (k *Store) load() (*State, error) {
	f, err := os.Open(k.path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	s, size, base, err := decode(f)
	k.size, k.base = size, base
	return s, err
}

// Keep takes what was heard of discovery at an address: a whole list, or a change that follows on a version. An empty address tells that
// the list in force is not known whole from here on. It does not wait.
func (k *Store) Save(at string, since, seq int64, l exchange.Listing) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if l.Whole || at == "" { // what came before does not matter any more
		k.queue, k.waiting = nil, 0
	} else {
		k.waiting += len(l.Hosts)
	}
	if k.waiting > mostWaiting { // the disk does not take them: the file stays at its version
		k.Unwritten.Add(int64(len(k.queue)))
		k.queue, k.waiting, at, l = nil, 0, "", exchange.Listing{}
	}
	k.queue = append(k.queue, &note{at, since, seq, l})
	select {
	case k.more <- struct{}{}:
	default:
	}
}

// Run writes until the context ends, and then what waits.
func (k *Store) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	failed := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			k.next = time.Time{}
			k.flush()
			return
		case <-k.more:
			if failed > 0 { // the retry is on its way
				continue
			}
		case <-timer.C:
		}
		wait, err := k.flush()
		if err == nil {
			failed = 0
		} else {
			failed = min(max(2*failed, retryPause), retryMost)
			wait = failed
		}
		if wait > 0 {
			timer.Reset(wait)
		}
	}
}

// flush writes what waits, oldest first. It returns how long to wait before more can be written, if anything is left.
func (k *Store) flush() (wait time.Duration, err error) {
	for {
		k.mu.Lock()
		if len(k.queue) == 0 {
			k.mu.Unlock()
			return 0, nil
		}
		n := k.queue[0]
		k.mu.Unlock()
		if wait := time.Until(k.next); n.list.Whole && wait > 0 {
			return wait, nil
		}
		if err := k.write(n); err != nil && !errors.Is(err, errOther) {
			if k.Unwritten.Add(1) == 1 {
				k.log.Warn("the list of endpoints could not be kept; further failures are only counted", "err", err)
			}
			return 0, err
		}
		k.mu.Lock()
		if len(k.queue) > 0 && k.queue[0] == n { // else a whole list has come meanwhile
			k.queue = k.queue[1:]
			if !n.list.Whole {
				k.waiting -= len(n.list.Hosts)
			}
		}
		k.mu.Unlock()
	}
}

// write writes one note. A change that does not follow on what the file holds is none of its.
func (k *Store) write(n *note) error {
	switch {
	case n.at == "":
		k.at = ""
		return nil
	case n.list.Whole:
		return k.replace(&State{DiscoveryAddress: n.at, Kinds: k.kinds, Zones: k.zones, Seq: n.seq, Hosts: n.list.Hosts})
	case k.at != n.at || k.seq != n.since:
		return nil
	}
	if err := k.add(n); err != nil {
		return err
	}
	if k.size > 2*k.base+leastGrowth && time.Until(k.next) <= 0 {
		if err := k.compact(); err != nil { // the change is in the file: it only goes on growing
			k.Unwritten.Add(1)
			k.next = time.Now().Add(retryMost)
		}
	}
	return nil
}

// replace writes a whole list aside and puts it in the place of the file.
func (k *Store) replace(s *State) error {
	need := &counter{to: io.Discard}
	encode(need, s) // nothing can fail
	if !k.room(k.size + need.n) {
		return errNoRoom
	}
	f, err := k.open(k.aside, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
	if err != nil {
		k.room(k.size)
		return err
	}
	w := &counter{to: f}
	bw := bufio.NewWriterSize(w, 64<<10)
	if err = encode(bw, s); err == nil {
		err = bw.Flush()
	}
	k.BytesWritten.Add(w.n)
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(k.aside, k.path)
	}
	if err != nil {
		os.Remove(k.aside)
		k.room(k.size)
		return err
	}
	k.at, k.seq, k.size, k.base = s.DiscoveryAddress, s.Seq, w.n, w.n
	k.next = time.Now().Add(max(leastPause, time.Duration(w.n)*time.Second/writeRate))
	k.room(k.size)
	return nil
}

// add appends a change. What a failure or a kill left behind the last whole record goes first: it must not come to stand behind a new one.
func (k *Store) add(n *note) error {
	record := appendChange(nil, n.seq, n.list.Hosts)
	if !k.room(k.size + int64(len(record))) {
		return errNoRoom
	}
	f, err := k.open(k.path, os.O_WRONLY)
	if err != nil {
		return k.lose(err)
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil || info.Size() < k.size {
		return k.lose(err)
	}
	if info.Size() > k.size {
		if err := f.Truncate(k.size); err != nil {
			return err
		}
	}
	if _, err := f.WriteAt(record, k.size); err != nil {
		f.Truncate(k.size)
		return err
	}
	k.seq = n.seq
	k.size += int64(len(record))
	k.BytesWritten.Add(int64(len(record)))
	return nil
}

// lose gives the file up if it is gone or has shrunk: somebody else has been at it.
func (k *Store) lose(err error) error {
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	k.Unwritten.Add(1)
	k.at = ""
	return fmt.Errorf("%w: %v", errOther, err)
}

// compact writes the file anew as one list. It reads it for that, as nobody else here holds the whole of it: that claims the list's
// memory once more for a moment, when as much as the list itself has changed.
func (k *Store) compact() error {
	s, err := k.load()
	if err != nil {
		return err
	}
	return k.replace(s)
}

// counter counts what is written.
type counter struct {
	to io.Writer
	n  int64
}

func (c *counter) Write(p []byte) (int, error) {
	n, err := c.to.Write(p)
	c.n += int64(n)
	return n, err
}
