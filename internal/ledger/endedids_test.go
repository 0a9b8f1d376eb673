package ledger

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// Guards against a payment that runs twice as its ID comes again: the ID was forgotten behind many others, or behind a
// restart. Where no more IDs can be kept, messages are refused.
func TestEndedIDsAreKnownForTheirTime(t *testing.T) {
	dir := t.TempDir()
	open := func() *Ledger {
		l, err := Open(dir, testLimit, time.Hour, discardLog)
		must(t, err)
		return l
	}
	l := open()
	limit, ended := l.ended.limit, 0
	for ; ended < 2*limit; ended++ {
		id := fmt.Sprint("m", ended)
		err := l.RecordAccepted(newMessage(id, 100))
		if errors.Is(err, ErrFull) {
			break
		}
		must(t, err)
		must(t, l.RecordCall([]string{id}, []int{0}, "s-1", testTime))
		if ended%7 == 0 {
			must(t, l.RecordNotice(Notice{ID: id, Dead: true}))
			must(t, l.RecordNoticesAccepted(id))
		} else {
			must(t, l.RecordEnd(id))
		}
		if onDisk := bytesOnDisk(t, dir); ended%500 == 0 && onDisk > testLimit {
			t.Fatalf("%d bytes on disk", onDisk)
		}
		if ended%10000 == 9999 {
			must(t, l.Close())
			l = open()
		}
	}
	if ended < 3*limit/4 || ended > limit {
		t.Errorf("%d messages ended before one was refused, want nearly the limit of %d", ended, limit)
	}
	must(t, l.Close())
	l = open()
	defer l.Close()
	for i := range ended {
		if !l.Knows(fmt.Sprint("m", i)) {
			t.Fatalf("m%d of %d has been forgotten", i, ended)
		}
	}
	if l.Knows("fresh") {
		t.Error("an ID that was never used is known")
	}
}

// An ID is forgotten after its time, and the room that it took is free again.
func TestEndedIDsExpire(t *testing.T) {
	e := newEndedIDs(time.Minute, 0)
	start := time.Now()
	for i := range 100 {
		e.add(idHash(i), start.Add(time.Duration(i)*time.Second))
	}
	e.add(idHash(50), start.Add(100*time.Second)) // it came again
	now := start.Add(110 * time.Second)
	for i := range 100 {
		if known, want := e.contains(idHash(i), now), i > 50 || i == 50; known != want {
			t.Errorf("ID %d known: %v, want %v", i, known, want)
		}
	}
	if e.expire(now.Add(time.Minute)); len(e.endedAt) != 0 || len(e.order) != 0 {
		t.Errorf("%d IDs kept past their time", len(e.endedAt))
	}
}
