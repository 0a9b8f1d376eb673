// This file owns the exclusive use of a state directory: one process at a time. It must never wait for a process that has
// ended, nor need a file descriptor beside those of the segments.
//
// A process holds a lock on the segment that it writes to, and takes that of the next one before it lets go. So whoever
// can lock the two newest segments is alone. The kernel releases the locks of a process that ends, however it ends.

package ledger

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

const (
	lockTimeout = 20 * time.Second // for the process that holds the directory to end
	lockPoll    = 10 * time.Millisecond

	lockedSegments = 2 // the newest ones, of which the owner holds at least one
)

// ErrInUse is returned by Open if another process has held the directory for lockTimeout.
var ErrInUse = errors.New("ledger: the state directory is in use by another process")

// lockFile takes the lock of a file. It reports whether the file is free; a file system without locks counts as free.
func lockFile(f *os.File) (free bool) {
	err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	return !errors.Is(err, syscall.EWOULDBLOCK)
}

// lockDirectory waits until no other process holds the directory. The caller must close the returned files once it has a
// segment of its own.
func lockDirectory(dir string, log *slog.Logger) (locks []*os.File, err error) {
	waits := false
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockPoll) {
		locks, err := tryLockDirectory(dir)
		if locks != nil || err != nil {
			return locks, err
		}
		if !waits {
			log.Warn("waiting for another process that holds the state directory", "for", lockTimeout)
			waits = true
		}
		if time.Now().After(deadline) {
			return nil, fmt.Errorf("%w: %s", ErrInUse, dir)
		}
	}
}

// tryLockDirectory returns the locked newest segments, or nil if another process holds the directory.
func tryLockDirectory(dir string) ([]*os.File, error) {
	paths, err := newestSegments(dir)
	if err != nil {
		return nil, err
	}
	locks := []*os.File{}
	for _, path := range paths {
		f, err := os.Open(path)
		if errors.Is(err, os.ErrNotExist) { // the owner has just removed it
			closeAll(locks)
			return nil, nil
		}
		if err != nil {
			closeAll(locks)
			return nil, err
		}
		locks = append(locks, f)
		if !lockFile(f) {
			closeAll(locks)
			return nil, nil
		}
	}
	if now, err := newestSegments(dir); err != nil || !slices.Equal(now, paths) { // the owner has started another one
		closeAll(locks)
		return nil, err
	}
	return locks, nil
}

// newestSegments returns the paths of the newest segments of a directory.
func newestSegments(dir string) ([]string, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.seg")) // in the order of their numbers, which have leading zeros
	if err != nil {
		return nil, err
	}
	return paths[max(0, len(paths)-lockedSegments):], nil
}

func closeAll(files []*os.File) {
	for _, f := range files {
		f.Close()
	}
}
