package ledger

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// failSegments makes every write to the segments fail, and returns a function that ends this.
func failSegments(t *testing.T, l *Ledger) (restore func()) {
	t.Helper()
	current := l.segments[len(l.segments)-1]
	working := l.file
	broken, err := os.Open(current.path) // not open for writing
	must(t, err)
	l.file = broken
	return func() {
		broken.Close()
		l.file = working
	}
}

// hasEnded reports whether a ledger that is opened on a copy of the directory owes the message nothing.
func hasEnded(t *testing.T, dir, id string) bool {
	t.Helper()
	copied := t.TempDir()
	must(t, os.CopyFS(copied, os.DirFS(dir)))
	for _, p := range openLedger(t, copied, testLimit).Pending() {
		if p.Message.ID == id {
			return false
		}
	}
	return true
}

// Guards against a message that is sent on after its end: the segments take nothing, and a kill comes at any moment.
func TestEndsAreKeptWhileTheSegmentsFail(t *testing.T) {
	dir := t.TempDir()
	l := openLedger(t, dir, testLimit)
	for i := range 20 {
		must(t, l.RecordAccepted(newMessage(fmt.Sprint("m", i), 100)))
	}
	must(t, l.RecordNotice(Notice{ID: "m19", Dead: true}))
	restore := failSegments(t, l)
	if err := l.RecordAccepted(newMessage("refused", 10)); err == nil {
		t.Fatal("a message is accepted although the segments fail")
	}
	for i := range 10 {
		must(t, l.RecordEnd(fmt.Sprint("m", i)))
		must(t, l.RecordNotice(Notice{ID: fmt.Sprint("m", 10+i%9), Dead: true}))
		if !hasEnded(t, dir, fmt.Sprint("m", i)) || !hasEnded(t, dir, fmt.Sprint("m", 10+i%9)) {
			t.Fatalf("m%d has not ended for the next process", i)
		}
	}
	if err := l.RecordNoticesAccepted("m19"); err == nil {
		t.Error("no error though the record could not be written")
	}
	restore()
	must(t, l.RecordAccepted(newMessage("next", 10)))
	if l.reserve.used != 0 || len(l.unwrittenEnds) != 0 {
		t.Errorf("%d bytes in the reserve, unwritten ends %v", l.reserve.used, l.unwrittenEnds)
	}
	must(t, l.Close())
	l = openLedger(t, dir, testLimit)
	if pending := l.Pending(); len(pending) != 1 || pending[0].Message.ID != "next" {
		t.Errorf("%d messages are pending, want the last one", len(pending))
	}
	if n := len(l.Notices()); n != 9 {
		t.Errorf("%d notices, want 9", n)
	}
}

// A message is accepted only if the reserve has room for its end beside those of all others.
func TestReserveRefusesWhatItCannotEnd(t *testing.T) {
	l := openLedger(t, t.TempDir(), 8<<20)
	limit := reserveSize(8<<20) / int64(endRecordSize("m000000"))
	accepted := int64(0)
	for ; accepted < 2*limit; accepted++ {
		if err := l.RecordAccepted(newMessage(fmt.Sprintf("m%06d", accepted), 0)); err != nil {
			if !errors.Is(err, ErrFull) {
				t.Fatal(err)
			}
			break
		}
	}
	if accepted != limit {
		t.Errorf("%d messages accepted, want %d", accepted, limit)
	}
	failSegments(t, l)
	for i := range accepted {
		must(t, l.RecordNotice(Notice{ID: fmt.Sprintf("m%06d", i), RetryAfter: 1<<40 + 1}))
	}
}

// A page that the reserve's file cannot provide any more is an error, not a crash.
func TestReserveWhoseFileIsCut(t *testing.T) {
	dir := t.TempDir()
	l := openLedger(t, dir, testLimit)
	must(t, l.RecordAccepted(newMessage("a", 10)))
	must(t, os.Truncate(filepath.Join(dir, ReserveFile), 0))
	failSegments(t, l)
	if err := l.RecordEnd("a"); err == nil {
		t.Error("no error though neither the segments nor the reserve took the record")
	}
	if len(l.Pending()) != 1 {
		t.Error("the message is taken for ended")
	}
}
