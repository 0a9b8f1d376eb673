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
	quiet = slog.New(slog.NewTextHandler(io.Discard, nil))
	kinds = []string{"bulk", "all"}
	zones = []string{"here", "there"}
)

const agent = "127.0.0.1:8500"

func anyRoom(int64) bool { return true }

func host(i int) exchange.Host {
	return exchange.Host{Peer: exchange.Peer{Name: fmt.Sprintf("s-%08x", i), Addr: fmt.Sprintf("10.0.%d.%d:9000", i>>8&255, i&255)}, Dest: i - 3, Kind: i % 3, Zone: i % 2,
		Rate: float64(i%4) / 2, Draining: i%5 == 0}
}

func hosts(from, to int) (list []exchange.Host) {
	for i := from; i < to; i++ {
		list = append(list, host(i))
	}
	return list
}

func gone(i int) exchange.Host {
	return exchange.Host{Peer: exchange.Peer{Name: host(i).Name}, Kind: 2, Zone: 2, Gone: true}
}

func whole(list ...exchange.Host) exchange.Listing { return exchange.Listing{Whole: true, Hosts: list} }

func change(list ...exchange.Host) exchange.Listing { return exchange.Listing{Hosts: list} }

// keep writes what waits, as Run does, without its pauses.
func (k *Store) keep(t testing.TB) {
	t.Helper()
	k.next = time.Time{}
	if _, err := k.flush(); err != nil {
		t.Fatal(err)
	}
}

// reopen is what the next process finds.
func reopen(dir string) (*Store, *State) { return Open(dir, kinds, zones, anyRoom, quiet) }

func want(t testing.TB, what string, s *State, seq int64, list []exchange.Host) {
	t.Helper()
	if s == nil || s.DiscoveryAddress != agent || s.Seq != seq || len(s.Hosts) != len(list) {
		t.Errorf("%s: got %.500v, want version %d with %d endpoints", what, s, seq, len(list))
		return
	}
	byName := func(a, b exchange.Host) int { return strings.Compare(a.Name, b.Name) }
	got, list := slices.SortedFunc(slices.Values(s.Hosts), byName), slices.SortedFunc(slices.Values(list), byName) // a list has no order
	for i, h := range list {
		if got[i] != h {
			t.Fatalf("%s: endpoint %d is %+v, want %+v", what, i, got[i], h)
		}
	}
}

func TestTheNextProcessFindsTheList(t *testing.T) {
	dir := t.TempDir()
	k, s := reopen(dir)
	if s != nil {
		t.Fatalf("a folder with no list in it: %+v", s)
	}
	k.Save(agent, 0, 41, whole(hosts(0, 2000)...))
	k.keep(t)
	_, s = reopen(dir)
	want(t, "a whole list", s, 41, hosts(0, 2000))
	if len(s.LastChange) != 0 {
		t.Errorf("a last change of a whole list: %v", s.LastChange)
	}

	drained := host(7)
	drained.Draining = true
	k.Save(agent, 41, 43, change(drained, gone(9), host(5000), gone(6000)))
	k.Save(agent, 43, 44, change())
	k.keep(t)
	now := append(slices.Delete(hosts(0, 2000), 9, 10), host(5000))
	now[7] = drained
	k, s = reopen(dir)
	want(t, "a change on it", s, 44, now)
	if s.PrevSeq != 41 || !slices.Equal(s.LastChange, []exchange.Host{drained, gone(9), host(5000), gone(6000)}) {
		t.Errorf("the last change: after %d %v", s.PrevSeq, s.LastChange)
	}

	k.Save(agent, 44, 45, change(gone(5000))) // the next process goes on with it
	k.Save(agent, 45, 46, change(host(9)))
	k.keep(t)
	_, s = reopen(dir)
	want(t, "changes of the next process", s, 46, append(now[:len(now)-1], host(9)))

	k.Save(agent, 46, 3, whole(host(1))) // counted anew
	k.keep(t)
	_, s = reopen(dir)
	want(t, "an older whole list", s, 3, []exchange.Host{host(1)})
}

// A change that does not follow on what the file holds never comes to stand behind it.
func TestOnlyWhatFollowsIsKept(t *testing.T) {
	for name, c := range map[string]struct {
		at         string
		since, seq int64
		list       exchange.Listing
	}{
		"another version":   {agent, 42, 43, change(host(9))},
		"an older version":  {agent, 40, 43, change(host(9))},
		"another discovery": {"127.0.0.1:8501", 41, 43, change(host(9))},
		"nothing is known":  {"", 0, 0, exchange.Listing{}},
	} {
		dir := t.TempDir()
		k, _ := reopen(dir)
		k.Save(agent, 0, 41, whole(host(1)))
		k.Save(c.at, c.since, c.seq, c.list)
		if name == "nothing is known" { // what would follow on the version does not
			k.Save(agent, 41, 42, change(host(9)))
		}
		k.keep(t)
		if _, s := reopen(dir); s == nil && name == "nothing is known" {
			continue // the list had not been written yet: none is as right
		} else {
			want(t, name, s, 41, []exchange.Host{host(1)})
		}
	}
}

// left is a file with a list and some changes, with the states that it goes through by its size.
func left(t *testing.T) (text []byte, states map[int]State) {
	dir := t.TempDir()
	k, _ := reopen(dir)
	states = map[int]State{}
	keep := func(since, seq int64, l exchange.Listing) {
		k.Save(agent, since, seq, l)
		k.keep(t)
		_, s := reopen(dir)
		states[int(k.size)] = *s
	}
	keep(0, 41, whole(hosts(0, 30)...))
	keep(41, 42, change(gone(3)))
	keep(42, 50, change(host(40), host(41), gone(4)))
	keep(50, 51, change())
	keep(51, 60, change(host(3), gone(40)))
	text, err := os.ReadFile(k.path)
	if err != nil || len(states) != 5 || len(text) != int(k.size) {
		t.Fatalf("%d states, %d bytes of %d, %v", len(states), len(text), k.size, err)
	}
	return text, states
}

// Torn at each byte, as a kill leaves it, the file means the version that is whole there; what the next process appends stands behind
// that, whatever the rest of the torn record was.
func TestTornAtEachByte(t *testing.T) {
	text, states := left(t)
	for n := range len(text) + 1 {
		dir := t.TempDir()
		path := filepath.Join(dir, ledger.ListFile)
		if err := os.WriteFile(path, text[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		var upTo *State
		for size, s := range states {
			if size <= n && (upTo == nil || s.Seq > upTo.Seq) {
				upTo = &s
			}
		}
		k, s := reopen(dir)
		if !reflect.DeepEqual(s, upTo) {
			t.Fatalf("cut at byte %d: %+v, want %+v", n, s, upTo)
		}
		if upTo == nil {
			continue
		}
		k.Save(agent, s.Seq, 70, change(host(50)))
		k.keep(t)
		_, s = reopen(dir)
		want(t, fmt.Sprintf("a change behind byte %d", n), s, 70, append(slices.Clone(upTo.Hosts), host(50)))
	}
}

// A byte that a disk has spoilt costs what stands behind it and no more.
func TestSpoiltAtEachByte(t *testing.T) {
	text, states := left(t)
	for n := range text {
		dir := t.TempDir()
		spoilt := slices.Clone(text)
		spoilt[n] ^= 1 << (n % 8)
		if err := os.WriteFile(filepath.Join(dir, ledger.ListFile), spoilt, 0o600); err != nil {
			t.Fatal(err)
		}
		_, s := reopen(dir)
		known := s == nil
		for size, state := range states {
			known = known || size <= n && reflect.DeepEqual(*s, state)
		}
		if !known {
			t.Errorf("byte %d spoilt: %+v", n, s)
		}
	}
}

// What stands behind a record that a disk has spoilt does not come back when another one of the same length is written in its place.
func TestNothingComesBackFromBehind(t *testing.T) {
	dir := t.TempDir()
	k, _ := reopen(dir)
	k.Save(agent, 0, 41, whole(hosts(0, 30)...))
	k.keep(t)
	at := k.size
	k.Save(agent, 41, 42, change(gone(3)))
	k.Save(agent, 42, 43, change(gone(4)))
	k.keep(t)
	text, err := os.ReadFile(k.path)
	if err == nil {
		text[at+headLen+2] ^= 1
		err = os.WriteFile(k.path, text, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	k, s := reopen(dir)
	want(t, "spoilt", s, 41, hosts(0, 30))
	k.Save(agent, 41, 44, change(gone(5)))
	k.keep(t)
	_, s = reopen(dir)
	want(t, "a change in its place", s, 44, slices.Delete(hosts(0, 30), 5, 6))
}

func FuzzAnyFile(f *testing.F) {
	f.Add([]byte{}, uint16(0))
	f.Add([]byte("h\x01\x01a\x00\x00|p\x00\x01s\x01d\x00\x00\x00|e\x02\x01\x00|c\x04\x02\x01s\x00\x00\x00\x00|"), uint16('|'))
	f.Fuzz(func(t *testing.T, payload []byte, seed uint16) { // checksums that fit, so that what stands behind them is read
		var text []byte
		for _, part := range bytes.SplitAfter(payload, []byte{byte(seed)}) {
			text = appendRecord(text, func(b []byte) []byte { return append(b, part...) })
		}
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, ledger.ListFile), text, 0o600); err != nil {
			t.Fatal(err)
		}
		if k, s := reopen(dir); s != nil && (k.size > int64(len(text)) || k.base > k.size) {
			t.Fatalf("%d bytes of %d, %d of them a list", k.size, len(text), k.base)
		}
	})
}

// A file of other kinds or zones counts for nothing, as its numbers would mean others; half a list that was being written goes.
func TestAFileThatIsNotOfUse(t *testing.T) {
	dir := t.TempDir()
	k, _ := reopen(dir)
	k.Save(agent, 0, 41, whole(hosts(0, 9)...))
	k.keep(t)
	if err := os.WriteFile(k.aside, []byte("half a list"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, names := range [][2][]string{{{"bulk"}, zones}, {kinds, {"there", "here"}}, {nil, nil}} {
		if _, s := Open(dir, names[0], names[1], anyRoom, quiet); s != nil {
			t.Errorf("with %v: %+v", names, s)
		}
	}
	if _, err := os.Stat(k.aside); !os.IsNotExist(err) {
		t.Error("half a list is still there")
	}
	_, s := reopen(dir)
	want(t, "with the names it was written under", s, 41, hosts(0, 9))
	k, _ = Open(dir, nil, nil, anyRoom, quiet)
	k.Save(agent, 41, 42, change(host(20))) // follows on what is of no use
	k.keep(t)
	_, s = reopen(dir)
	want(t, "after a change under other names", s, 41, hosts(0, 9))
}

// small is a disk with so much room.
type small struct {
	*os.File
	disk *disk
}

type disk struct{ room atomic.Int64 }

func (f small) take(p []byte) int { return int(min(int64(len(p)), max(0, f.disk.room.Load()))) }

func (f small) Write(p []byte) (int, error) {
	n, err := f.File.Write(p[:f.take(p)])
	return f.done(n, len(p), err)
}

func (f small) WriteAt(p []byte, at int64) (int, error) {
	n, err := f.File.WriteAt(p[:f.take(p)], at)
	return f.done(n, len(p), err)
}

func (f small) done(n, of int, err error) (int, error) {
	f.disk.room.Add(-int64(n))
	if err == nil && n < of {
		err = syscall.ENOSPC
	}
	return n, err
}

func (k *Store) on(d *disk) {
	k.open = func(path string, flag int) (file, error) {
		f, err := os.OpenFile(path, flag, 0o600)
		return small{f, d}, err
	}
}

// With a disk that is full after any byte, what was kept before stays, nothing else is left behind, and it is counted; once there is room
// what waits is written.
func TestFullDisk(t *testing.T) {
	for room := int64(0); room < 400; room++ {
		dir := t.TempDir()
		k, _ := reopen(dir)
		k.Save(agent, 0, 41, whole(host(1)))
		k.keep(t)
		d := &disk{}
		d.room.Store(room)
		k.on(d)
		k.Save(agent, 41, 42, change(host(2)))
		k.Save(agent, 42, 43, change(host(3)))
		if room%2 == 0 {
			k.Save(agent, 43, 44, whole(hosts(0, 9)...))
		}
		k.next = time.Time{}
		_, err := k.flush()
		if files, _ := os.ReadDir(dir); len(files) != 1 {
			t.Errorf("with room for %d bytes: %d files are left", room, len(files))
		}
		k2, s := reopen(dir)
		if s == nil || s.Seq == 41 && len(s.Hosts) != 1 || s.Seq == 42 && len(s.Hosts) != 2 || s.Seq == 43 && len(s.Hosts) != 3 || s.Seq == 44 && len(s.Hosts) != 9 {
			t.Fatalf("with room for %d bytes: %+v", room, s)
		}
		if full := err != nil; full != (k.Unwritten.Load() == 1) || full == (len(k.queue) == 0) {
			t.Errorf("with room for %d bytes: %v, %d counted, %d wait", room, err, k.Unwritten.Load(), len(k.queue))
		}
		if info, err := os.Stat(k.path); err != nil || info.Size() != k2.size || info.Size() != k.size {
			t.Errorf("with room for %d bytes: %d bytes of which %d are whole", room, info.Size(), k2.size)
		}
		d.room.Store(1 << 20)
		k.keep(t)
		if _, s := reopen(dir); s.Seq != 43+(1-room%2) {
			t.Errorf("with room again: version %d", s.Seq)
		}
	}
}

// Where the ledger grants no room nothing is written, and no more than the files take is held of it afterwards.
func TestNoRoomInTheFolder(t *testing.T) {
	dir := t.TempDir()
	var most, asked int64 = 1 << 20, 0
	k, _ := Open(dir, kinds, zones, func(bytes int64) bool {
		if bytes > most {
			return false
		}
		asked = bytes
		return true
	}, quiet)
	onDisk := func() (sum int64) {
		files, _ := os.ReadDir(dir)
		for _, f := range files {
			info, _ := f.Info()
			sum += info.Size()
		}
		return sum
	}
	k.Save(agent, 0, 41, whole(hosts(0, 1000)...))
	k.keep(t)
	if size := onDisk(); asked != size || size != k.BytesWritten.Load() {
		t.Errorf("%d bytes on the disk, room for %d, %d written", size, asked, k.BytesWritten.Load())
	}
	most = asked + 10
	k.Save(agent, 41, 42, change(hosts(0, 50)...))
	if _, err := k.flush(); err == nil || onDisk() > most {
		t.Errorf("%v with %d bytes on the disk", err, onDisk())
	}
	k.Save(agent, 42, 43, whole(hosts(0, 900)...))
	k.next = time.Time{}
	if _, err := k.flush(); err == nil || onDisk() > most {
		t.Errorf("%v with %d bytes on the disk", err, onDisk())
	}
	most = 1 << 20
	k.keep(t)
	if size := onDisk(); asked != size {
		t.Errorf("%d bytes on the disk, room for %d", size, asked)
	}
}

// Whatever comes in whatever order, killed and opened anew now and then, the file means the list at its version, and stays within twice
// the list and what is always granted.
func TestKeptAsHeard(t *testing.T) {
	seed := rand.Uint64()
	rnd := rand.New(rand.NewPCG(seed, 1))
	dir := t.TempDir()
	k, _ := reopen(dir)
	known, seq, written := map[string]exchange.Host{}, int64(0), int64(0)
	for step := range 3000 {
		l := exchange.Listing{Whole: step == 0 || rnd.IntN(200) == 0}
		if l.Whole {
			known = map[string]exchange.Host{}
		}
		for range rnd.IntN(30) {
			h := host(rnd.IntN(500))
			h.Draining = rnd.IntN(4) == 0
			if !l.Whole && rnd.IntN(3) == 0 {
				h = gone(rnd.IntN(500))
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
		k.Save(agent, since, seq, l)
		if rnd.IntN(5) > 0 {
			continue
		}
		k.keep(t)
		if k.size > 2*k.base+leastGrowth+64<<10 {
			t.Fatalf("seed %d, step %d: %d bytes, %d of them a list", seed, step, k.size, k.base)
		}
		next, s := reopen(dir)
		got := map[string]exchange.Host{}
		for _, h := range s.Hosts {
			got[h.Name] = h
		}
		if s.Seq != seq || len(got) != len(s.Hosts) || !reflect.DeepEqual(got, known) {
			t.Fatalf("seed %d, step %d: version %d with %d endpoints, want %d with %d", seed, step, s.Seq, len(s.Hosts), seq, len(known))
		}
		if rnd.IntN(3) == 0 {
			written += k.BytesWritten.Load()
			k = next
		}
	}
	if written < 1<<20 {
		t.Errorf("%d bytes were written: the test shows little", written)
	}
}

// A change of a long list costs its own bytes, however many come; whole lists one upon another are written at a bounded rate, the last
// of them in the end.
func TestWritingIsBounded(t *testing.T) {
	const n = 20_000
	dir := t.TempDir()
	k, _ := reopen(dir)
	k.Save(agent, 0, 0, whole(hosts(0, n)...))
	k.keep(t)
	list := k.BytesWritten.Load()
	for i := range int64(1000) {
		k.Save(agent, i, i+1, change(host(int(i))))
	}
	k.keep(t)
	if more := k.BytesWritten.Load() - list; more > 100*1000 {
		t.Errorf("%d bytes written for 1,000 changes of an endpoint", more)
	}

	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	k.next = time.Time{}
	wg.Go(func() { k.Run(ctx) })
	before, begun := k.BytesWritten.Load(), time.Now()
	for i := range int64(50) {
		k.Save(agent, 0, 2000+i, whole(hosts(0, n)...))
		time.Sleep(5 * time.Millisecond) // as lists come; nothing is decided by it
	}
	took := time.Since(begun)
	testkit.Eventually(t, "the first of them", func() bool { return k.BytesWritten.Load()-before >= list-100*1000 })
	if more := k.BytesWritten.Load() - before; more > int64(took.Seconds()*writeRate)+2*list {
		t.Errorf("%d bytes written in %v", more, took)
	}
	cancel()
	wg.Wait()
	if _, s := reopen(dir); s.Seq != 2049 {
		t.Errorf("version %d at the end, want the last", s.Seq)
	}
}

// What nobody takes off the queue is bounded, and the file keeps its version.
func TestADiskThatTakesNothing(t *testing.T) {
	dir := t.TempDir()
	k, _ := reopen(dir)
	k.Save(agent, 0, 0, whole(host(1)))
	k.keep(t)
	d := &disk{}
	k.on(d)
	list := hosts(0, 1000)
	for i := range int64(1000) {
		k.Save(agent, i, i+1, change(list...))
		if k.waiting > mostWaiting || len(k.queue) > mostWaiting/1000+1 {
			t.Fatalf("%d entries wait in %d changes", k.waiting, len(k.queue))
		}
	}
	d.room.Store(1 << 30)
	k.keep(t)
	_, s := reopen(dir)
	want(t, "changes dropped", s, 0, []exchange.Host{host(1)})
	if k.Unwritten.Load() < 100 {
		t.Errorf("%d counted", k.Unwritten.Load())
	}
	k.Save(agent, 1000, 1001, whole(host(2)))
	k.Save(agent, 1001, 1002, change(host(3)))
	k.keep(t)
	_, s = reopen(dir)
	want(t, "a whole list after that", s, 1002, []exchange.Host{host(2), host(3)})
}

// Somebody who removes the file, or a part of it, costs the list and nothing else.
func TestSomebodyAtTheFile(t *testing.T) {
	for name, do := range map[string]func(path string) error{"removed": os.Remove, "cut": func(path string) error { return os.Truncate(path, 20) }} {
		dir := t.TempDir()
		var log bytes.Buffer
		k, _ := Open(dir, kinds, zones, anyRoom, slog.New(slog.NewTextHandler(&log, nil)))
		k.Save(agent, 0, 41, whole(host(1)))
		k.keep(t)
		if err := do(k.path); err != nil {
			t.Fatal(err)
		}
		k.Save(agent, 41, 42, change(host(2)))
		k.keep(t)
		if _, s := reopen(dir); s != nil || k.Unwritten.Load() != 1 || strings.Contains(log.String(), "level=ERROR") {
			t.Errorf("%s: %+v, %d counted\n%s", name, s, k.Unwritten.Load(), log.String())
		}
		k.Save(agent, 42, 43, whole(host(1), host(2)))
		k.keep(t)
		_, s := reopen(dir)
		want(t, name+", then a whole list", s, 43, hosts(1, 3))
	}
}

func BenchmarkReplace(b *testing.B) {
	for _, n := range []int{30, 20_000, 210_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			k, _ := reopen(b.TempDir())
			list := hosts(0, n)
			b.ReportAllocs()
			for b.Loop() {
				k.Save(agent, 0, 1, whole(list...))
				k.keep(b)
			}
			b.ReportMetric(float64(k.size), "bytes")
		})
	}
}

func BenchmarkAppend(b *testing.B) {
	k, _ := reopen(b.TempDir())
	k.Save(agent, 0, 0, whole(hosts(0, 210_000)...))
	k.keep(b)
	before, seq := k.BytesWritten.Load(), int64(0)
	b.ReportAllocs()
	for b.Loop() {
		k.Save(agent, seq, seq+1, change(host(int(seq))))
		seq++
		k.keep(b)
	}
	b.ReportMetric(float64(k.BytesWritten.Load()-before)/float64(seq), "bytes/op")
}

func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{30, 20_000, 210_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir := b.TempDir()
			k, _ := reopen(dir)
			k.Save(agent, 0, 1, whole(hosts(0, n)...))
			k.keep(b)
			b.ReportAllocs()
			for b.Loop() {
				if _, s := reopen(dir); len(s.Hosts) != n {
					b.Fatal("not all of it")
				}
			}
		})
	}
}
