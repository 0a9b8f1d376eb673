package snapshot

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"eiderhaven/internal/exchange"
	"eiderhaven/internal/ledger"
	"eiderhaven/internal/testkit"
)

var (
	discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))
	kinds      = []string{"bulk", "all"}
	zones      = []string{"here", "there"}
)

const discoveryAddr = "127.0.0.1:8500"

func grantAll(int64) bool { return true }

func testHost(i int) exchange.Host {
	return exchange.Host{
		Peer: exchange.Peer{
			Name: fmt.Sprintf("s-%08x", i),
			Addr: fmt.Sprintf("10.0.%d.%d:9000", i>>8&255, i&255),
		},
		Dest:     i - 3,
		Kind:     i % 3,
		Zone:     i % 2,
		Rate:     float64(i%4) / 2,
		Draining: i%5 == 0,
	}
}

func testHosts(from, to int) (list []exchange.Host) {
	for i := from; i < to; i++ {
		list = append(list, testHost(i))
	}
	return list
}

func goneHost(i int) exchange.Host {
	return exchange.Host{Peer: exchange.Peer{Name: testHost(i).Name}, Kind: 2, Zone: 2, Gone: true}
}

func wholeList(list ...exchange.Host) exchange.Listing {
	return exchange.Listing{Whole: true, Hosts: list}
}

func changeOf(list ...exchange.Host) exchange.Listing { return exchange.Listing{Hosts: list} }

// flushNow writes the queue as Run does, without its waits.
func (st *Store) flushNow(t testing.TB) {
	t.Helper()
	st.nextFullWrite = time.Time{}
	if _, err := st.flush(); err != nil {
		t.Fatal(err)
	}
}

// reopen opens the directory as the next process would.
func reopen(dir string) (*Store, *State) { return Open(dir, kinds, zones, grantAll, discardLog) }

func checkState(t testing.TB, what string, s *State, seq int64, list []exchange.Host) {
	t.Helper()
	if s == nil || s.DiscoveryAddress != discoveryAddr || s.Seq != seq || len(s.Hosts) != len(list) {
		t.Errorf("%s: got %.500v, want version %d with %d endpoints", what, s, seq, len(list))
		return
	}
	byName := func(a, b exchange.Host) int { return strings.Compare(a.Name, b.Name) }
	// The order of a list has no meaning.
	got := slices.SortedFunc(slices.Values(s.Hosts), byName)
	list = slices.SortedFunc(slices.Values(list), byName)
	for i, h := range list {
		if got[i] != h {
			t.Fatalf("%s: endpoint %d is %+v, want %+v", what, i, got[i], h)
		}
	}
}

func TestNextProcessFindsList(t *testing.T) {
	dir := t.TempDir()
	store, s := reopen(dir)
	if s != nil {
		t.Fatalf("opening an empty directory: got list %+v", s)
	}
	store.Save(discoveryAddr, 0, 41, wholeList(testHosts(0, 2000)...))
	store.flushNow(t)
	_, s = reopen(dir)
	checkState(t, "a whole list", s, 41, testHosts(0, 2000))
	if len(s.LastChange) != 0 {
		t.Errorf("last change %v after a whole list, want none", s.LastChange)
	}

	drained := testHost(7)
	drained.Draining = true
	store.Save(discoveryAddr, 41, 43, changeOf(drained, goneHost(9), testHost(5000), goneHost(6000)))
	store.Save(discoveryAddr, 43, 44, changeOf())
	store.flushNow(t)
	current := append(slices.Delete(testHosts(0, 2000), 9, 10), testHost(5000))
	current[7] = drained
	store, s = reopen(dir)
	checkState(t, "a whole list and a change", s, 44, current)
	if s.PrevSeq != 41 || !slices.Equal(s.LastChange, []exchange.Host{drained, goneHost(9), testHost(5000), goneHost(6000)}) {
		t.Errorf("last change: applied to version %d, hosts %v", s.PrevSeq, s.LastChange)
	}

	store.Save(discoveryAddr, 44, 45, changeOf(goneHost(5000))) // the next process continues the file
	store.Save(discoveryAddr, 45, 46, changeOf(testHost(9)))
	store.flushNow(t)
	_, s = reopen(dir)
	checkState(t, "changes of the next process", s, 46, append(current[:len(current)-1], testHost(9)))

	store.Save(discoveryAddr, 46, 3, wholeList(testHost(1))) // restarted version numbers
	store.flushNow(t)
	_, s = reopen(dir)
	checkState(t, "an older whole list", s, 3, []exchange.Host{testHost(1)})
}

// A change that does not build on the version in the file is never appended to it.
func TestUnrelatedChangesAreNotAppended(t *testing.T) {
	for name, c := range map[string]struct {
		at         string
		since, seq int64
		list       exchange.Listing
	}{
		"another version":  {discoveryAddr, 42, 43, changeOf(testHost(9))},
		"an older version": {discoveryAddr, 40, 43, changeOf(testHost(9))},
		"another address":  {"127.0.0.1:8501", 41, 43, changeOf(testHost(9))},
		"list unknown":     {"", 0, 0, exchange.Listing{}},
	} {
		dir := t.TempDir()
		store, _ := reopen(dir)
		store.Save(discoveryAddr, 0, 41, wholeList(testHost(1)))
		store.Save(c.at, c.since, c.seq, c.list)
		if name == "list unknown" { // a change to the last known version does not count either
			store.Save(discoveryAddr, 41, 42, changeOf(testHost(9)))
		}
		store.flushNow(t)
		if _, s := reopen(dir); s == nil && name == "list unknown" {
			continue // the whole list had not been written yet: having none is fine too
		} else {
			checkState(t, name, s, 41, []exchange.Host{testHost(1)})
		}
	}
}

// listWithChanges returns a file with a list and some changes, and the state of the list for each valid size of the
// file.
func listWithChanges(t *testing.T) (text []byte, states map[int]State) {
	dir := t.TempDir()
	store, _ := reopen(dir)
	states = map[int]State{}
	save := func(since, seq int64, l exchange.Listing) {
		store.Save(discoveryAddr, since, seq, l)
		store.flushNow(t)
		_, s := reopen(dir)
		states[int(store.size)] = *s
	}
	save(0, 41, wholeList(testHosts(0, 30)...))
	save(41, 42, changeOf(goneHost(3)))
	save(42, 50, changeOf(testHost(40), testHost(41), goneHost(4)))
	save(50, 51, changeOf())
	save(51, 60, changeOf(testHost(3), goneHost(40)))
	text, err := os.ReadFile(store.path)
	if err != nil || len(states) != 5 || len(text) != int(store.size) {
		t.Fatalf("%d states, %d bytes of %d, %v", len(states), len(text), store.size, err)
	}
	return text, states
}

// A file truncated at any byte, as a kill leaves it, yields the latest version that is complete in it. A change that
// the next process appends replaces the rest of the truncated record.
func TestTruncatedAtEachByte(t *testing.T) {
	text, states := listWithChanges(t)
	for n := range len(text) + 1 {
		dir := t.TempDir()
		path := filepath.Join(dir, ledger.ListFile)
		if err := os.WriteFile(path, text[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		var expected *State
		for size, s := range states {
			if size <= n && (expected == nil || s.Seq > expected.Seq) {
				expected = &s
			}
		}
		store, s := reopen(dir)
		if !reflect.DeepEqual(s, expected) {
			t.Fatalf("truncated to %d bytes: %+v, want %+v", n, s, expected)
		}
		if expected == nil {
			continue
		}
		store.Save(discoveryAddr, s.Seq, 70, changeOf(testHost(50)))
		store.flushNow(t)
		_, s = reopen(dir)
		checkState(t, fmt.Sprintf("a change appended after truncation to %d bytes", n), s, 70,
			append(slices.Clone(expected.Hosts), testHost(50)))
	}
}

// A corrupt byte costs the records from there on and no more.
func TestCorruptedAtEachByte(t *testing.T) {
	text, states := listWithChanges(t)
	for n := range text {
		dir := t.TempDir()
		corrupt := slices.Clone(text)
		corrupt[n] ^= 1 << (n % 8)
		if err := os.WriteFile(filepath.Join(dir, ledger.ListFile), corrupt, 0o600); err != nil {
			t.Fatal(err)
		}
		_, s := reopen(dir)
		known := s == nil
		for size, state := range states {
			known = known || size <= n && reflect.DeepEqual(*s, state)
		}
		if !known {
			t.Errorf("byte %d corrupt: %+v", n, s)
		}
	}
}

// Records after a corrupt one do not become valid again when another record of the same length is written in its place.
func TestRecordsAfterCorruptOneStayInvalid(t *testing.T) {
	dir := t.TempDir()
	store, _ := reopen(dir)
	store.Save(discoveryAddr, 0, 41, wholeList(testHosts(0, 30)...))
	store.flushNow(t)
	at := store.size
	store.Save(discoveryAddr, 41, 42, changeOf(goneHost(3)))
	store.Save(discoveryAddr, 42, 43, changeOf(goneHost(4)))
	store.flushNow(t)
	text, err := os.ReadFile(store.path)
	if err == nil {
		text[at+recordHeadBytes+2] ^= 1
		err = os.WriteFile(store.path, text, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	store, s := reopen(dir)
	checkState(t, "corrupt record", s, 41, testHosts(0, 30))
	store.Save(discoveryAddr, 41, 44, changeOf(goneHost(5)))
	store.flushNow(t)
	_, s = reopen(dir)
	checkState(t, "a change in place of the corrupt record", s, 44, slices.Delete(testHosts(0, 30), 5, 6))
}

func FuzzOpen(f *testing.F) {
	f.Add([]byte{}, uint16(0))
	f.Add([]byte("h\x01\x01a\x00\x00|p\x00\x01s\x01d\x00\x00\x00|e\x02\x01\x00|c\x04\x02\x01s\x00\x00\x00\x00|"), uint16('|'))
	f.Fuzz(func(t *testing.T, payload []byte, seed uint16) { // with valid checksums, so that the payloads are decoded
		var text []byte
		for _, part := range bytes.SplitAfter(payload, []byte{byte(seed)}) {
			text = appendRecord(text, func(b []byte) []byte { return append(b, part...) })
		}
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, ledger.ListFile), text, 0o600); err != nil {
			t.Fatal(err)
		}
		if store, s := reopen(dir); s != nil && (store.size > int64(len(text)) || store.listSize > store.size) {
			t.Fatalf("%d valid bytes in a file of %d, %d of them the list", store.size, len(text), store.listSize)
		}
	})
}

// A file written with other kinds or zones is not used, as its numbers would mean other names. An unfinished temporary
// file is removed.
func TestUnusableFiles(t *testing.T) {
	dir := t.TempDir()
	store, _ := reopen(dir)
	store.Save(discoveryAddr, 0, 41, wholeList(testHosts(0, 9)...))
	store.flushNow(t)
	if err := os.WriteFile(store.tempPath, []byte("half a list"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, names := range [][2][]string{{{"bulk"}, zones}, {kinds, {"there", "here"}}, {nil, nil}} {
		if _, s := Open(dir, names[0], names[1], grantAll, discardLog); s != nil {
			t.Errorf("with %v: %+v", names, s)
		}
	}
	if _, err := os.Stat(store.tempPath); !os.IsNotExist(err) {
		t.Error("the temporary file is still there")
	}
	_, s := reopen(dir)
	checkState(t, "with the names the file was written with", s, 41, testHosts(0, 9))
	store, _ = Open(dir, nil, nil, grantAll, discardLog)
	store.Save(discoveryAddr, 41, 42, changeOf(testHost(20))) // builds on the file that is not used
	store.flushNow(t)
	_, s = reopen(dir)
	checkState(t, "after a change with other names", s, 41, testHosts(0, 9))
}

// limitedFile is a file on a limitedDisk.
type limitedFile struct {
	*os.File
	disk *limitedDisk
}

type limitedDisk struct{ free atomic.Int64 }

func (f limitedFile) writable(p []byte) int {
	return int(min(int64(len(p)), max(0, f.disk.free.Load())))
}

func (f limitedFile) Write(p []byte) (int, error) {
	n, err := f.File.Write(p[:f.writable(p)])
	return f.finishWrite(n, len(p), err)
}

func (f limitedFile) WriteAt(p []byte, at int64) (int, error) {
	n, err := f.File.WriteAt(p[:f.writable(p)], at)
	return f.finishWrite(n, len(p), err)
}

func (f limitedFile) finishWrite(n, of int, err error) (int, error) {
	f.disk.free.Add(-int64(n))
	if err == nil && n < of {
		err = syscall.ENOSPC
	}
	return n, err
}

func (st *Store) useDisk(d *limitedDisk) {
	st.openFile = func(path string, flag int) (file, error) {
		f, err := os.OpenFile(path, flag, 0o600)
		return limitedFile{f, d}, err
	}
}

// Whatever byte the disk becomes full at, the file keeps its earlier content, no other file is left, and the failure is
// counted. Once there is space the queue is written.
func TestFullDisk(t *testing.T) {
	for space := int64(0); space < 400; space++ {
		dir := t.TempDir()
		store, _ := reopen(dir)
		store.Save(discoveryAddr, 0, 41, wholeList(testHost(1)))
		store.flushNow(t)
		d := &limitedDisk{}
		d.free.Store(space)
		store.useDisk(d)
		store.Save(discoveryAddr, 41, 42, changeOf(testHost(2)))
		store.Save(discoveryAddr, 42, 43, changeOf(testHost(3)))
		if space%2 == 0 {
			store.Save(discoveryAddr, 43, 44, wholeList(testHosts(0, 9)...))
		}
		store.nextFullWrite = time.Time{}
		_, err := store.flush()
		if files, _ := os.ReadDir(dir); len(files) != 1 {
			t.Errorf("with space for %d bytes: %d files, want 1", space, len(files))
		}
		store2, s := reopen(dir)
		if s == nil || s.Seq == 41 && len(s.Hosts) != 1 || s.Seq == 42 && len(s.Hosts) != 2 ||
			s.Seq == 43 && len(s.Hosts) != 3 || s.Seq == 44 && len(s.Hosts) != 9 {
			t.Fatalf("with space for %d bytes: %+v", space, s)
		}
		if full := err != nil; full != (store.Unwritten.Load() == 1) || full == (len(store.queue) == 0) {
			t.Errorf("with space for %d bytes: error %v, %d failures counted, %d updates queued",
				space, err, store.Unwritten.Load(), len(store.queue))
		}
		if info, err := os.Stat(store.path); err != nil || info.Size() != store2.size || info.Size() != store.size {
			t.Errorf("with space for %d bytes: the file has %d bytes, %d of them valid", space, info.Size(), store2.size)
		}
		d.free.Store(1 << 20)
		store.flushNow(t)
		if _, s := reopen(dir); s.Seq != 43+(1-space%2) {
			t.Errorf("with space again: version %d", s.Seq)
		}
	}
}

// Nothing is written without space granted by the ledger, and afterwards no more is reserved than the files take.
func TestNoSpaceGranted(t *testing.T) {
	dir := t.TempDir()
	var limit, reserved int64 = 1 << 20, 0
	store, _ := Open(dir, kinds, zones, func(bytes int64) bool {
		if bytes > limit {
			return false
		}
		reserved = bytes
		return true
	}, discardLog)
	onDisk := func() (sum int64) {
		files, _ := os.ReadDir(dir)
		for _, f := range files {
			info, _ := f.Info()
			sum += info.Size()
		}
		return sum
	}
	store.Save(discoveryAddr, 0, 41, wholeList(testHosts(0, 1000)...))
	store.flushNow(t)
	if size := onDisk(); reserved != size || size != store.BytesWritten.Load() {
		t.Errorf("%d bytes on disk, %d reserved, %d counted as written", size, reserved, store.BytesWritten.Load())
	}
	limit = reserved + 10
	store.Save(discoveryAddr, 41, 42, changeOf(testHosts(0, 50)...))
	if _, err := store.flush(); err == nil || onDisk() > limit {
		t.Errorf("error %v with %d bytes on disk", err, onDisk())
	}
	store.Save(discoveryAddr, 42, 43, wholeList(testHosts(0, 900)...))
	store.nextFullWrite = time.Time{}
	if _, err := store.flush(); err == nil || onDisk() > limit {
		t.Errorf("error %v with %d bytes on disk", err, onDisk())
	}
	limit = 1 << 20
	store.flushNow(t)
	if size := onDisk(); reserved != size {
		t.Errorf("%d bytes on disk, %d reserved", size, reserved)
	}
}

// Over random lists and changes, with reopening in between, the file yields the list and its version. Its size stays
// within twice the list plus minGrowth.
func TestRandomListsAndChanges(t *testing.T) {
	seed := rand.Uint64()
	rnd := rand.New(rand.NewPCG(seed, 1))
	dir := t.TempDir()
	store, _ := reopen(dir)
	known, seq, written := map[string]exchange.Host{}, int64(0), int64(0)
	for step := range 3000 {
		l := exchange.Listing{Whole: step == 0 || rnd.IntN(200) == 0}
		if l.Whole {
			known = map[string]exchange.Host{}
		}
		for range rnd.IntN(30) {
			h := testHost(rnd.IntN(500))
			h.Draining = rnd.IntN(4) == 0
			if !l.Whole && rnd.IntN(3) == 0 {
				h = goneHost(rnd.IntN(500))
			}
			if l.Whole && known[h.Name].Name != "" {
				continue
			}
			l.Hosts = append(l.Hosts, h)
			if known[h.Name] = h; h.Gone {
				delete(known, h.Name)
			}
		}
		since := seq
		seq += 1 + int64(rnd.IntN(3))
		store.Save(discoveryAddr, since, seq, l)
		if rnd.IntN(5) > 0 {
			continue
		}
		store.flushNow(t)
		if store.size > 2*store.listSize+minGrowth+64<<10 {
			t.Fatalf("seed %d, step %d: %d bytes, %d of them the list", seed, step, store.size, store.listSize)
		}
		next, s := reopen(dir)
		got := map[string]exchange.Host{}
		for _, h := range s.Hosts {
			got[h.Name] = h
		}
		if s.Seq != seq || len(got) != len(s.Hosts) || !reflect.DeepEqual(got, known) {
			t.Fatalf("seed %d, step %d: version %d with %d endpoints, want %d with %d",
				seed, step, s.Seq, len(s.Hosts), seq, len(known))
		}
		if rnd.IntN(3) == 0 {
			written += store.BytesWritten.Load()
			store = next
		}
	}
	if written < 1<<20 {
		t.Errorf("only %d bytes were written: the test covers too little", written)
	}
}

// A change to a long list costs only its own bytes, however many changes come. Whole lists in quick succession are
// written at a bounded rate, and the last of them is written in the end.
func TestWriteRateIsBounded(t *testing.T) {
	const n = 20_000
	dir := t.TempDir()
	store, _ := reopen(dir)
	store.Save(discoveryAddr, 0, 0, wholeList(testHosts(0, n)...))
	store.flushNow(t)
	list := store.BytesWritten.Load()
	for i := range int64(1000) {
		store.Save(discoveryAddr, i, i+1, changeOf(testHost(int(i))))
	}
	store.flushNow(t)
	if more := store.BytesWritten.Load() - list; more > 100*1000 {
		t.Errorf("%d bytes written for 1,000 changes of one endpoint", more)
	}

	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	store.nextFullWrite = time.Time{}
	wg.Go(func() { store.Run(ctx) })
	before, begun := store.BytesWritten.Load(), time.Now()
	for i := range int64(50) {
		store.Save(discoveryAddr, 0, 2000+i, wholeList(testHosts(0, n)...))
		time.Sleep(5 * time.Millisecond) // between lists as they arrive; the result does not depend on it
	}
	took := time.Since(begun)
	testkit.Eventually(t, "wrote the first list", func() bool { return store.BytesWritten.Load()-before >= list-100*1000 })
	if more := store.BytesWritten.Load() - before; more > int64(took.Seconds()*fullWriteRate)+2*list {
		t.Errorf("%d bytes written in %v", more, took)
	}
	cancel()
	wg.Wait()
	if _, s := reopen(dir); s.Seq != 2049 {
		t.Errorf("version %d at the end, want the last one, 2049", s.Seq)
	}
}

// While the disk accepts nothing the queue is bounded, and the file keeps its version.
func TestQueueIsBoundedWhileDiskIsFull(t *testing.T) {
	dir := t.TempDir()
	store, _ := reopen(dir)
	store.Save(discoveryAddr, 0, 0, wholeList(testHost(1)))
	store.flushNow(t)
	d := &limitedDisk{}
	store.useDisk(d)
	list := testHosts(0, 1000)
	for i := range int64(1000) {
		store.Save(discoveryAddr, i, i+1, changeOf(list...))
		if store.queuedHosts > maxQueuedHosts || len(store.queue) > maxQueuedHosts/1000+1 {
			t.Fatalf("%d entries queued in %d changes", store.queuedHosts, len(store.queue))
		}
	}
	d.free.Store(1 << 30)
	store.flushNow(t)
	_, s := reopen(dir)
	checkState(t, "after dropped changes", s, 0, []exchange.Host{testHost(1)})
	if store.Unwritten.Load() < 100 {
		t.Errorf("%d unwritten updates counted, want at least 100", store.Unwritten.Load())
	}
	store.Save(discoveryAddr, 1000, 1001, wholeList(testHost(2)))
	store.Save(discoveryAddr, 1001, 1002, changeOf(testHost(3)))
	store.flushNow(t)
	_, s = reopen(dir)
	checkState(t, "a whole list after dropped changes", s, 1002, []exchange.Host{testHost(2), testHost(3)})
}

// Another program that removes or truncates the file costs the saved list and nothing else.
func TestFileChangedByAnotherProgram(t *testing.T) {
	for name, do := range map[string]func(path string) error{
		"removed":   os.Remove,
		"truncated": func(path string) error { return os.Truncate(path, 20) },
	} {
		dir := t.TempDir()
		var log bytes.Buffer
		store, _ := Open(dir, kinds, zones, grantAll, slog.New(slog.NewTextHandler(&log, nil)))
		store.Save(discoveryAddr, 0, 41, wholeList(testHost(1)))
		store.flushNow(t)
		if err := do(store.path); err != nil {
			t.Fatal(err)
		}
		store.Save(discoveryAddr, 41, 42, changeOf(testHost(2)))
		store.flushNow(t)
		if _, s := reopen(dir); s != nil || store.Unwritten.Load() != 1 || strings.Contains(log.String(), "level=ERROR") {
			t.Errorf("%s: %+v, %d unwritten updates counted\n%s", name, s, store.Unwritten.Load(), log.String())
		}
		store.Save(discoveryAddr, 42, 43, wholeList(testHost(1), testHost(2)))
		store.flushNow(t)
		_, s := reopen(dir)
		checkState(t, name+", then a whole list", s, 43, testHosts(1, 3))
	}
}

func BenchmarkReplace(b *testing.B) {
	for _, n := range []int{30, 20_000, 210_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			store, _ := reopen(b.TempDir())
			list := testHosts(0, n)
			b.ReportAllocs()
			for b.Loop() {
				store.Save(discoveryAddr, 0, 1, wholeList(list...))
				store.flushNow(b)
			}
			b.ReportMetric(float64(store.size), "bytes")
		})
	}
}

func BenchmarkAppend(b *testing.B) {
	store, _ := reopen(b.TempDir())
	store.Save(discoveryAddr, 0, 0, wholeList(testHosts(0, 210_000)...))
	store.flushNow(b)
	before, seq := store.BytesWritten.Load(), int64(0)
	b.ReportAllocs()
	for b.Loop() {
		store.Save(discoveryAddr, seq, seq+1, changeOf(testHost(int(seq))))
		seq++
		store.flushNow(b)
	}
	b.ReportMetric(float64(store.BytesWritten.Load()-before)/float64(seq), "bytes/op")
}

func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{30, 20_000, 210_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir := b.TempDir()
			store, _ := reopen(dir)
			store.Save(discoveryAddr, 0, 1, wholeList(testHosts(0, n)...))
			store.flushNow(b)
			b.ReportAllocs()
			for b.Loop() {
				if _, s := reopen(dir); len(s.Hosts) != n {
					b.Fatalf("%d endpoints, want %d", len(s.Hosts), n)
				}
			}
		})
	}
}
