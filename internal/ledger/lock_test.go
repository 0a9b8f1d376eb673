package ledger

import (
	"fmt"
	"testing"
)

// Guards against two processes that work on one folder: the lock holds while segments are started and removed, and whoever
// tries it does not keep the owner from starting one for good.
func TestLockHoldsOverRotations(t *testing.T) {
	dir := t.TempDir()
	l := openLedger(t, dir, testLimit)
	stop, tried := make(chan struct{}), make(chan int)
	go func() {
		n := 0
		for {
			select {
			case <-stop:
				tried <- n
				return
			default:
			}
			locks, err := tryLockDirectory(dir)
			if locks != nil || err != nil {
				t.Errorf("try %d: %d locks, %v on a directory in use", n, len(locks), err)
			}
			closeAll(locks)
			n++
		}
	}()
	rotations := 0
	for i := range 300 {
		id := fmt.Sprint("m", i)
		must(t, l.RecordAccepted(newMessage(id, 100)))
		if err := l.rotate(); err == nil {
			rotations++
		}
		must(t, l.RecordEnd(id))
		l.removeDeadSegments()
	}
	close(stop)
	if n := <-tried; n < 10 || rotations < 10 {
		t.Errorf("%d tries, %d rotations: the test proves nothing", n, rotations)
	}
	must(t, l.Close())
	locks, err := tryLockDirectory(dir)
	if len(locks) == 0 || err != nil {
		t.Errorf("%d locks, %v after the end of the owner", len(locks), err)
	}
	closeAll(locks)
}
