package ledger

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"eiderhaven/internal/message"
)

const testLimit = 2 << 20

var (
	quiet = slog.New(slog.NewTextHandler(io.Discard, nil))
	noon  = time.UnixMilli(1_700_000_000_000)
)

func open(t testing.TB, dir string, limit int64) *Ledger {
	t.Helper()
	l, err := Open(dir, limit, quiet)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

func newMessage(id string, size int) *message.Message {
	return &message.Message{ID: id, Class: "stock", Dest: 7, Tenant: "till", IdempotencyKey: "k-" + id, Deadline: noon.Add(16 * time.Second),
		Body: bytes.Repeat([]byte("b"), size)}
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// onDisk is what the folder counts for, in whole blocks, as the platform counts it.
func onDisk(t testing.TB, dir string) int64 {
	t.Helper()
	files, err := os.ReadDir(dir)
	must(t, err)
	var sum int64
	for _, f := range files {
		info, err := f.Info()
		must(t, err)
		sum += (info.Size() + blockSize - 1) / blockSize * blockSize
	}
	return sum
}

// A process that is killed leaves the folder as it stands; another one takes it up.
func TestReopen(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir, testLimit)
	for _, id := range []string{"new", "out", "refused", "ran", "gone", "bounced", "dead", "told"} {
		must(t, l.RecordAccepted(newMessage(id, 3)))
	}
	must(t, l.RecordCall([]string{"out", "refused"}, []int{0, 0}, "s-1", noon))
	must(t, l.RecordOutcome("refused", 0, false, false))
	must(t, l.RecordCall([]string{"ran"}, []int{0}, "s-2", noon.Add(time.Second)))
	must(t, l.RecordOutcome("ran", 0, true, false))
	must(t, l.RecordCall([]string{"ran"}, []int{1}, "s-3", noon.Add(2*time.Second)))
	must(t, l.RecordOutcome("ran", 1, true, false))
	must(t, l.RecordEnd("gone"))
	must(t, l.RecordNotice(Notice{ID: "bounced", RetryAfter: 1500 * time.Millisecond}))
	must(t, l.RecordNotice(Notice{ID: "dead", Dead: true}))
	must(t, l.RecordNotice(Notice{ID: "told", Dead: true}))
	must(t, l.RecordEnd("told"))

	l = open(t, dir, testLimit)
	want := []PendingMessage{
		{Message: newMessage("new", 3)},
		{Message: newMessage("out", 3), Attempts: 1, MayHaveRun: true, MayHaveRunAt: noon, MayHaveRunHost: "s-1"},
		{Message: newMessage("refused", 3), Attempts: 1},
		{Message: newMessage("ran", 3), Attempts: 2, MayHaveRun: true, MayHaveRunAt: noon.Add(time.Second), MayHaveRunHost: "s-2"},
	}
	got := l.Pending()
	if len(got) != len(want) {
		t.Fatalf("%d messages owed, want %d: %+v", len(got), len(want), got)
	}
	for i, w := range want {
		g := got[i]
		if g.Message.ID != w.Message.ID || g.Attempts != w.Attempts || g.MayHaveRun != w.MayHaveRun || g.MayHaveRunHost != w.MayHaveRunHost ||
			w.MayHaveRun && !g.MayHaveRunAt.Equal(w.MayHaveRunAt) {
			t.Errorf("owed %d: got %+v, want %+v", i, g, w)
		}
		if m := g.Message; m.Class != "stock" || m.Dest != 7 || m.Tenant != "till" || m.IdempotencyKey != "k-"+m.ID || string(m.Body) != "bbb" ||
			!m.Deadline.Equal(w.Message.Deadline) {
			t.Errorf("message %s came back as %+v", m.ID, m)
		}
	}
	notices := l.Notices()
	if len(notices) != 2 || notices[0] != (Notice{ID: "bounced", RetryAfter: 1500 * time.Millisecond}) ||
		notices[1] != (Notice{ID: "dead", Dead: true}) {
		t.Errorf("notices: %+v", notices)
	}
}

// Killed at any byte, the ledger loses at most the record being written.
func TestTornTail(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir, testLimit)
	must(t, l.RecordAccepted(newMessage("a", 40)))
	must(t, l.RecordAccepted(newMessage("b", 40)))
	path := l.segments[len(l.segments)-1].path
	whole, err := os.ReadFile(path)
	must(t, err)
	first := len(whole) / 2 // both records have the same size
	for n := range len(whole) + 1 {
		torn := t.TempDir()
		must(t, os.WriteFile(filepath.Join(torn, filepath.Base(path)), whole[:n], 0o600))
		l := open(t, torn, testLimit)
		want := n / first
		if got := len(l.Pending()); got != want {
			t.Errorf("cut at %d of %d: %d owed, want %d", n, len(whole), got, want)
		}
		broken := 0
		if n%first != 0 {
			broken = 1
		}
		if l.Stats().BrokenRecords != broken {
			t.Errorf("cut at %d: %d broken, want %d", n, l.Stats().BrokenRecords, broken)
		}
		must(t, l.RecordAccepted(newMessage("c", 1)))
		must(t, l.Close())
		if got := len(open(t, torn, testLimit).Pending()); got != want+1 {
			t.Errorf("cut at %d, then written to: %d owed, want %d", n, got, want+1)
		}
	}
}

// One broken byte costs one record; those before and after it stand.
func TestBrokenRecordIsSkipped(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir, testLimit)
	for _, id := range []string{"a", "b", "c"} {
		must(t, l.RecordAccepted(newMessage(id, 40)))
	}
	path := l.segments[len(l.segments)-1].path
	whole, err := os.ReadFile(path)
	must(t, err)
	third := len(whole) / 3
	for n := third; n < 2*third; n++ {
		bad := bytes.Clone(whole)
		bad[n] ^= 0x5a
		broken := t.TempDir()
		must(t, os.WriteFile(filepath.Join(broken, filepath.Base(path)), bad, 0o600))
		l := open(t, broken, testLimit)
		owed := l.Pending()
		if len(owed) != 2 || owed[0].Message.ID != "a" || owed[1].Message.ID != "c" || l.Stats().BrokenRecords != 1 {
			t.Errorf("byte %d broken: %d owed, %d counted", n, len(owed), l.Stats().BrokenRecords)
		}
	}
}

// A long run through a small folder: it stays under its bound after every single write, those of a compaction
// among them, and loses nothing.
func TestBoundHoldsUnderChurn(t *testing.T) {
	const limit = 1 << 20
	dir := t.TempDir()
	l := open(t, dir, limit)
	rng := rand.New(rand.NewPCG(1, 2))
	live := map[string]int{} // attempts
	var order []string
	full, copied := 0, 0
	l.afterWrite = func() {
		if l.compacting {
			copied++
		}
		if used, real := l.usedBytes(), onDisk(t, dir); real > limit || used < real {
			t.Fatalf("the folder holds %d of %d bytes, counted as %d", real, limit, used)
		}
	}
	for i := range 6000 {
		switch id := fmt.Sprintf("m%d", i); {
		case rng.IntN(3) > 0:
			err := l.RecordAccepted(newMessage(id, rng.IntN(9000)))
			if errors.Is(err, ErrFull) {
				full++
				break
			}
			must(t, err)
			live[id] = 0
			order = append(order, id)
		case len(order) > 0 && rng.IntN(2) == 0:
			k := rng.IntN(len(order))
			must(t, l.RecordCall([]string{order[k]}, []int{live[order[k]]}, "s-1", noon))
			must(t, l.RecordOutcome(order[k], live[order[k]], false, false))
			live[order[k]]++
		}
		for len(order) > 400 || len(order) > 0 && rng.IntN(4) == 0 {
			k := rng.IntN(len(order))
			id := order[k]
			order = append(order[:k], order[k+1:]...)
			delete(live, id)
			if rng.IntN(2) == 0 {
				must(t, l.RecordNotice(Notice{ID: id, Dead: true}))
			}
			must(t, l.RecordEnd(id))
		}
	}
	if full == 0 || copied == 0 {
		t.Errorf("full %d times, %d records copied: the test shows nothing", full, copied)
	}
	owed := open(t, dir, limit).Pending()
	if len(owed) != len(live) {
		t.Fatalf("%d owed after all, want %d", len(owed), len(live))
	}
	for _, o := range owed {
		if n, known := live[o.Message.ID]; !known || n != o.Attempts || o.MayHaveRun {
			t.Errorf("owed: %+v, want %d attempts", o, n)
		}
	}
}

// A full folder refuses what is new, still records the ends of what it holds, and then has room again.
func TestFullFolder(t *testing.T) {
	const limit = 1 << 20
	l := open(t, t.TempDir(), limit)
	n := 0
	var err error
	for ; err == nil; n++ {
		err = l.RecordAccepted(newMessage(fmt.Sprint("m", n), 60<<10))
	}
	if !errors.Is(err, ErrFull) || n < 3 {
		t.Fatalf("after %d messages: %v, want ErrFull", n, err)
	}
	if got := len(l.Pending()); got != n-1 {
		t.Errorf("%d owed, want %d: the refused one must leave nothing", got, n-1)
	}
	for i := range n - 1 {
		must(t, l.RecordCall([]string{fmt.Sprint("m", i)}, []int{0}, "s-1", noon))
		must(t, l.RecordNotice(Notice{ID: fmt.Sprint("m", i), Dead: true}))
		must(t, l.RecordEnd(fmt.Sprint("m", i)))
	}
	must(t, l.RecordAccepted(newMessage("after", 60<<10)))
}

// Calls and outcomes of what is held always find room, however many come after the folder refuses new messages.
func TestFullFolderStillRecordsCalls(t *testing.T) {
	const limit = 1 << 20
	dir := t.TempDir()
	l := open(t, dir, limit)
	n := 0
	for l.RecordAccepted(newMessage(fmt.Sprint("m", n), 2000)) == nil {
		n++
	}
	for i := range 30000 {
		id := fmt.Sprint("m", i%n)
		must(t, l.RecordCall([]string{id}, []int{i / n}, "s-1", noon))
		must(t, l.RecordOutcome(id, i/n, false, false))
	}
	if real := onDisk(t, dir); real > limit {
		t.Errorf("%d bytes, bound %d", real, limit)
	}
	if got := len(open(t, dir, limit).Pending()); got != n {
		t.Errorf("%d owed, want %d", got, n)
	}
}

// Where no new segment can be started, the present one takes what comes, and the next try succeeds.
func TestNoNewSegment(t *testing.T) {
	const limit = 1 << 20
	dir := t.TempDir()
	l := open(t, dir, limit)
	blocked := filepath.Join(dir, fmt.Sprintf("%08d.seg", l.segments[len(l.segments)-1].number+1))
	must(t, os.Mkdir(blocked, 0o700))
	must(t, l.RecordAccepted(newMessage("a", 10)))
	for i := range 5000 {
		must(t, l.RecordCall([]string{"a"}, []int{i}, "s-1", noon))
		must(t, l.RecordOutcome("a", i, false, false))
	}
	if cur := l.segments[len(l.segments)-1]; !l.rotationFailed || cur.size <= l.segmentSize {
		t.Errorf("stuck %v with %d bytes: the test shows nothing", l.rotationFailed, cur.size)
	}
	must(t, os.Remove(blocked))
	must(t, l.RecordAccepted(newMessage("b", 10)))
	if cur := l.segments[len(l.segments)-1]; l.rotationFailed || cur.size > l.segmentSize {
		t.Errorf("afterwards: stuck %v, %d bytes in the newest segment", l.rotationFailed, cur.size)
	}
	if got := len(open(t, dir, limit).Pending()); got != 2 {
		t.Errorf("%d owed, want 2", got)
	}
}

// Files that are not the ledger's count towards the bound and are left alone.
func TestForeignFiles(t *testing.T) {
	dir := t.TempDir()
	other := filepath.Join(dir, "notes.txt")
	must(t, os.WriteFile(other, make([]byte, 1<<20), 0o600))
	l := open(t, dir, 1<<20)
	if err := l.RecordAccepted(newMessage("a", 1)); !errors.Is(err, ErrFull) {
		t.Errorf("got %v, want ErrFull", err)
	}
	if _, err := os.Stat(other); err != nil {
		t.Error(err)
	}
}

func TestNoFolder(t *testing.T) {
	if _, err := Open(filepath.Join(t.TempDir(), "none"), testLimit, quiet); err == nil {
		t.Error("no error for a folder that is not there")
	}
}

// A copy made by a compaction that was killed before it removed the original changes nothing.
func TestKilledBetweenCopyAndRemoval(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir, testLimit)
	must(t, l.RecordAccepted(newMessage("a", 10)))
	must(t, l.RecordCall([]string{"a"}, []int{0}, "s-1", noon))
	must(t, l.RecordOutcome("a", 0, false, false))
	must(t, l.RecordAccepted(newMessage("b", 10)))
	must(t, l.rotate())
	for _, e := range l.entriesIn(l.segments[len(l.segments)-2]) {
		must(t, l.appendAndApply(e.toRecord()))
	}
	must(t, l.RecordEnd("b"))
	owed := open(t, dir, testLimit).Pending()
	if len(owed) != 1 || owed[0].Message.ID != "a" || owed[0].Attempts != 1 || owed[0].MayHaveRun {
		t.Errorf("owed: %+v", owed)
	}
}

func FuzzSegment(f *testing.F) {
	good := appendRecord(nil, record{kind: kindAccepted, id: "a", message: newMessage("a", 5), openAttempts: []attempt{{number: 1, startedAt: noon, host: "s"}}})
	good = appendRecord(good, record{kind: kindCall, ids: []string{"a"}, attemptNumbers: []int{2}, attempt: attempt{startedAt: noon, host: "s"}})
	f.Add(good)
	f.Add(appendRecord(good, record{kind: kindNotice, id: "a", retryAfter: time.Second}))
	f.Fuzz(func(t *testing.T, text []byte) {
		dir := t.TempDir()
		must(t, os.WriteFile(filepath.Join(dir, "00000001.seg"), text, 0o600))
		l := open(t, dir, testLimit)
		l.Pending()
		l.Notices()
		if got := decodeAll(text); got > len(text) {
			t.Fatalf("%d records in %d bytes", got, len(text))
		}
	})
}

// decodeWhole decodes text as payloads of every kind, which must not panic, and counts the whole records in it.
func decodeAll(text []byte) (n int) {
	for k := kindAccepted; k <= kindEnd+1; k++ {
		decodeRecord(append([]byte{byte(k)}, text...))
	}
	scanRecords(text, func(payload []byte) bool { n++; return true })
	return n
}

// What is known of failures outlives the process, but for a copy forward: it is a hint.
func TestFailuresAreKept(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir, testLimit)
	for _, id := range []string{"full", "refused", "ran", "out"} {
		must(t, l.RecordAccepted(newMessage(id, 10)))
		must(t, l.RecordCall([]string{id}, []int{0}, "s-1", noon))
	}
	must(t, l.RecordOutcome("full", 0, false, false))
	must(t, l.RecordOutcome("refused", 0, false, true))
	must(t, l.RecordOutcome("ran", 0, true, true))
	must(t, l.Close())
	want := map[string]PendingMessage{"full": {}, "refused": {FailedAttempts: 1}, "ran": {FailedAttempts: 1, MayHaveRun: true}, "out": {MayHaveRun: true}}
	for _, o := range open(t, dir, testLimit).Pending() {
		if w := want[o.Message.ID]; o.FailedAttempts != w.FailedAttempts || o.MayHaveRun != w.MayHaveRun || o.Attempts != 1 {
			t.Errorf("%s: %+v, want failed %d, may have run %v", o.Message.ID, o, w.FailedAttempts, w.MayHaveRun)
		}
		delete(want, o.Message.ID)
	}
	if len(want) != 0 {
		t.Errorf("not owed any more: %v", want)
	}
}

// The room for the list of endpoints counts in the bound, is a quarter of it at most, and is granted only where what is kept for calls and
// ends stays free; the file of an earlier process counts from the start, whatever its size.
func TestRoomForTheList(t *testing.T) {
	dir := t.TempDir()
	must(t, os.WriteFile(filepath.Join(dir, ListFile), make([]byte, 100_000), 0o600))
	must(t, os.WriteFile(filepath.Join(dir, ListTempFile), make([]byte, 50_000), 0o600))
	l := open(t, dir, testLimit)
	if l.foreignBytes != 0 || l.listBytes < 150_000 {
		t.Errorf("%d bytes are foreign, %d the list's", l.foreignBytes, l.listBytes)
	}
	used := l.usedBytes()
	if !l.ReserveListSpace(10_000) || l.usedBytes() >= used {
		t.Error("a smaller list frees no room")
	}
	if l.ReserveListSpace(testLimit/4) || !l.ReserveListSpace(testLimit/4-4*blockSize) {
		t.Error("the most that is granted is not a quarter")
	}
	if !l.ReserveListSpace(0) {
		t.Error("no room for nothing")
	}
	for i := 0; ; i++ { // messages fill the folder up to the reserve
		if err := l.RecordAccepted(newMessage(fmt.Sprint("m", i), 1000)); errors.Is(err, ErrFull) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
	if l.ReserveListSpace(100_000) {
		t.Error("room is granted out of what is kept for calls and ends")
	}
	if !l.ReserveListSpace(0) || l.usedBytes() > l.maxBytes {
		t.Errorf("%d bytes used of %d", l.usedBytes(), l.maxBytes)
	}

	// With all the room granted, the folder stays within its bound whatever is recorded.
	dir = t.TempDir()
	l = open(t, dir, testLimit)
	if !l.ReserveListSpace(testLimit / 5) {
		t.Fatal("no room")
	}
	must(t, os.WriteFile(filepath.Join(dir, ListFile), make([]byte, testLimit/5), 0o600))
	for i := range 20_000 {
		id := fmt.Sprint("m", i)
		if err := l.RecordAccepted(newMessage(id, 300)); err != nil && !errors.Is(err, ErrFull) {
			t.Fatal(err)
		}
		if i%3 > 0 {
			must(t, l.RecordEnd(fmt.Sprint("m", i-1)))
		}
		if i%500 == 0 {
			if size := onDisk(t, dir); size > testLimit {
				t.Fatalf("%d bytes in the folder after %d messages", size, i)
			}
		}
	}
}

// Outages outlive the process, those that are over do not, and none is lost when its segment is dropped.
func TestOutagesAreKept(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir, testLimit)
	must(t, l.RecordOutage(Outage{Host: "s-1", At: noon, Rate: 1.25}))
	must(t, l.RecordOutage(Outage{Host: "s-2", At: noon.Add(time.Second)}))
	must(t, l.RecordOutage(Outage{Host: "s-3", At: noon.Add(2 * time.Second), Rate: 0.001}))
	must(t, l.RecordOutageEnd("s-2"))
	must(t, l.RecordOutageEnd("never out"))
	for i := range 4000 { // some hundred segments' worth
		id := fmt.Sprint("m", i)
		must(t, l.RecordAccepted(newMessage(id, 500)))
		must(t, l.RecordEnd(id))
	}
	want := []Outage{{"s-1", noon, 1.25}, {"s-3", noon.Add(2 * time.Second), 0.001}}
	for _, when := range []string{"while it is open", "after it was opened again"} {
		got := l.Outages()
		if len(got) != 2 || !got[0].At.Equal(want[0].At) || got[0].Host != "s-1" || got[0].Rate != 1.25 || got[1].Host != "s-3" || got[1].Rate != 0.001 {
			t.Errorf("%s: %+v, want %+v", when, got, want)
		}
		if owed, notices := l.Pending(), l.Notices(); len(owed)+len(notices) > 0 {
			t.Errorf("%s: owed %v, notices %v", when, owed, notices)
		}
		must(t, l.Close())
		l = open(t, dir, testLimit)
	}
	if stats := l.Stats(); stats.BrokenRecords > 0 {
		t.Errorf("%+v", stats)
	}
}

// A folder with no room but for calls and ends takes no outage: that is a hint.
func TestOutagesGiveWayToMessages(t *testing.T) {
	l := open(t, t.TempDir(), testLimit)
	for i := 0; ; i++ {
		if err := l.RecordAccepted(newMessage(fmt.Sprint("m", i), 4000)); errors.Is(err, ErrFull) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
	var err error
	for i := 0; i < 100 && err == nil; i++ {
		err = l.RecordOutage(Outage{Host: fmt.Sprint("s-", i), At: noon})
	}
	if !errors.Is(err, ErrFull) {
		t.Errorf("%v, want a full folder", err)
	}
	must(t, l.RecordCall([]string{"m0"}, []int{0}, "s-1", noon))
}
