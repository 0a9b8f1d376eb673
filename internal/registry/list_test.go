package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"eiderhaven/internal/exchange"
	"eiderhaven/internal/settings"
	"eiderhaven/internal/testkit"
	"eiderhaven/standin/platform"
)

// longList is a whole list of so many endpoints, each as long as discovery's usual ones.
func longList(seq, n int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"seq":%d,"whole":true,"hosts":[`, seq)
	for i := range n {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"host":"s-%08x","dial":"10.%d.%d.%d:9000","site":"there","class":"all","block":%d,"health":"Ready","share":1,"born_ms":0}`,
			i, i>>16, i>>8&255, i&255, i)
	}
	b.WriteString("]}")
	return b.Bytes()
}

// wholeParse is what reads a list in one go, as the text is held: what is taken of a list must not depend on how it is read.
func wholeParse(text []byte, names *settings.Names) (seq int64, l exchange.Listing, err error) {
	var f struct {
		Seq   *int64 `json:"seq"`
		Whole bool   `json:"whole"`
		Hosts *[]struct {
			Host   string  `json:"host"`
			Dial   string  `json:"dial"`
			Site   string  `json:"site"`
			Class  string  `json:"class"`
			Block  *int    `json:"block"`
			Health string  `json:"health"`
			Share  float64 `json:"share"`
		} `json:"hosts"`
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return 0, l, err
	}
	if f.Seq == nil || f.Hosts == nil {
		return 0, l, errors.New("no seq or no hosts")
	}
	l.Whole = f.Whole
	for _, e := range *f.Hosts {
		h := exchange.Host{Peer: exchange.Peer{Name: e.Host, Addr: e.Dial}, Kind: word(e.Class).position(names.Kinds),
			Zone: word(e.Site).position(names.Zones), Rate: e.Share, Draining: e.Health == "Terminating", Gone: e.Health == "Gone"}
		if e.Health != "Ready" && !h.Draining && !h.Gone || h.Name == "" || !h.Gone && (e.Block == nil || !validAddr(h.Addr)) {
			return 0, l, errors.New("a bad entry")
		}
		if e.Block != nil {
			h.Dest = *e.Block
		}
		l.Hosts = append(l.Hosts, h)
	}
	return *f.Seq, l, nil
}

// same tells whether a text is taken alike by both ways to read it.
func same(text []byte) error {
	seq, got, err := ParseList(text, names)
	wantSeq, want, wantErr := wholeParse(text, names)
	if (err == nil) != (wantErr == nil) {
		return fmt.Errorf("%.200q: %v, in one go %v", text, err, wantErr)
	}
	if err == nil && (seq != wantSeq || fmt.Sprint(got) != fmt.Sprint(want)) {
		return fmt.Errorf("%.200q: version %d %v, in one go %d %v", text, seq, got, wantSeq, want)
	}
	return nil
}

func TestAListIsReadAsInOneGo(t *testing.T) {
	whole := `{"seq":41,"whole":true,"hosts":[` + entry("a", "Ready") + "," + entry("b", "Gone") + `],"more":{"x":[1,{}]}}`
	var indented bytes.Buffer
	if err := json.Indent(&indented, []byte(whole), "", "\t"); err != nil {
		t.Fatal(err)
	}
	texts := append([]string{whole, indented.String(), whole + " \n", whole + "x", whole + whole, `{"hosts":null,"seq":1}`, `{"hosts":{},"seq":1}`,
		`{"SEQ":3,"Hosts":[` + entry("a", "Ready") + `]}`, `{"seq":null,"hosts":[]}`, `{"seq":1.5,"hosts":[]}`, `{"seq":1e3,"hosts":[]}`,
		`{"hosts":[],"whole":true,"seq":9007199254740993}`, `{"seq":1,"hosts":[null]}`, `{"seq":1,"hosts":[1]}`, `{"seq":1,"whole":"yes","hosts":[]}`,
		`{"seq":1,"hosts":[` + strings.Replace(entry("a", "Ready"), `"all"`, `"\u0061ll"`, 1) + `]}`,
		`{"seq":1,"hosts":[` + strings.Replace(entry("a", "Ready"), `"all"`, `null`, 1) + `]}`,
		`{"seq":1,"hosts":[` + strings.Replace(entry("a", "Ready"), `"all"`, `7`, 1) + `]}`,
		`{"seq":1,"hosts":[` + strings.Replace(entry("a", "Ready"), `:3,`, `:null,`, 1) + `]}`,
		`{"seq":1,"hosts":[` + strings.Replace(entry("a", "Ready"), `"block"`, `"BLOCK"`, 1) + `]}`,
		`{"seq":1,"hosts":[` + strings.Replace(entry("a", "Ready"), `"a"`, "\"\xff\"", 1) + `]}`,
		`{"seq":1,"hosts":[` + entry("a", "Ready") + `,]}`, `{"seq":1,,"hosts":[]}`, `{"seq":1 "hosts":[]}`, `{"seq":1,"hosts":[]`, `{"seq":1,"hosts":[}`}, garbage...)
	for _, text := range texts {
		if err := same([]byte(text)); err != nil {
			t.Error(err)
		}
	}
	for n := range len(whole) {
		if err := same([]byte(whole[:n])); err != nil {
			t.Errorf("cut: %v", err)
		}
	}
}

func FuzzAListIsReadAsInOneGo(f *testing.F) {
	for _, text := range garbage {
		f.Add([]byte(text))
	}
	f.Add([]byte(`{"seq":41,"whole":true,"hosts":[` + entry("a", "Ready") + "," + entry("b", "Gone") + `]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if low := bytes.ToLower(text); bytes.Count(low, []byte(`"hosts"`)) > 1 || bytes.Contains(low, []byte(`\u`)) {
			return // entries told twice over: in one go they would be read over those before
		}
		if err := same(text); err != nil {
			t.Fatal(err)
		}
	})
}

// spent is what a call allocates.
func spent(f func()) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return int64(after.TotalAlloc - before.TotalAlloc)
}

// endless yields a text, then a piece again and again.
type endless struct {
	head, piece string
	read        int64
}

func (e *endless) Read(p []byte) (int, error) {
	if e.head == "" {
		e.head = strings.Repeat(e.piece, max(1, len(p)/len(e.piece)))
	}
	n := copy(p, e.head)
	e.head = e.head[n:]
	e.read += int64(n)
	return n, nil
}

// What is no list is given up with little read and little claimed, however long it goes on; a list without end is given up at what it
// may take.
func TestBadListsAreBounded(t *testing.T) {
	const most = 1 << 20
	for name, c := range map[string]struct {
		text    endless
		length  int
		read    int64
		refused bool
	}{
		"a name without end":        {endless{`{"seq":1,"hosts":[{"host":"`, "x", 0}, -1, 4 * maxValue, false},
		"a key without end":         {endless{`{"`, "x", 0}, -1, 4 * maxValue, false},
		"space without end":         {endless{`{"seq":1,`, " ", 0}, -1, 4 * maxValue, false},
		"space between entries":     {endless{`{"seq":1,"hosts":[` + entry("a", "Ready"), "\n", 0}, -1, 4 * maxValue, false},
		"nested without end":        {endless{`{"more":`, "[", 0}, -1, 4 * maxValue, false},
		"nested in an entry":        {endless{`{"seq":1,"hosts":[{"x":`, `{"x":`, 0}, -1, 4 * maxValue, false},
		"fields without end":        {endless{`{"seq":1`, `,"more":1`, 0}, -1, 4 * maxValue, false},
		"entries without end":       {endless{`{"seq":1,"hosts":[` + entry("a", "Ready"), "," + entry("b", "Ready"), 0}, -1, 5 * most, true},
		"sparse entries":            {endless{`{"seq":1,"hosts":[` + entry("a", "Ready"), strings.Repeat(" ", 30<<10) + "," + entry("b", "Ready"), 0}, -1, 5 * most, true},
		"a length that is too much": {endless{`{"seq":1,"hosts":[`, " ", 0}, 5 * most, 0, true},
		"a long entry":              {endless{`{"seq":1,"hosts":[` + strings.Replace(entry("a", "Ready"), "{", `{"x":"`+strings.Repeat("x", 3*maxValue)+`",`, 1) + "]}", " ", 0}, -1, 4 * maxValue, false},
	} {
		var err error
		var l exchange.Listing
		claimed := spent(func() { _, l, err = readList(&c.text, int64(c.length), names, most) })
		var large *TooLargeError
		if err == nil || len(l.Hosts) > 0 || errors.As(err, &large) != c.refused || c.text.read > c.read || claimed > 8*most {
			t.Errorf("%s: %v after %d bytes, %d claimed", name, err, c.text.read, claimed)
		}
	}
	// A length alone claims nothing.
	if claimed := spent(func() { readList(strings.NewReader(`{"seq":1,"hosts":[`), 4*most, names, most) }); claimed > 64<<10 {
		t.Errorf("%d bytes claimed by a length of %d", claimed, 4*most)
	}
}

// A list of 210,000 endpoints is read with no copy of its text held: half of what the text alone would take twice over.
func TestALongListIsReadAsItComes(t *testing.T) {
	const n = 210_000
	text := longList(1, n)
	var l exchange.Listing
	var err error
	claimed := spent(func() { _, l, err = readList(bytes.NewReader(text), int64(len(text)), names, 64<<20) })
	if err != nil || len(l.Hosts) != n || l.Hosts[n-1].Dest != n-1 {
		t.Fatalf("%d entries, %v", len(l.Hosts), err)
	}
	t.Logf("%d bytes of text, %d allocated", len(text), claimed)
	if claimed > 2*int64(len(text)) {
		t.Errorf("%d bytes allocated for a text of %d", claimed, len(text))
	}
}

// A list that does not fit is refused, with its size in the log, and the old one stays; once it fits again it is heard. So is one that
// was beyond the bound of 4 MiB that there once was.
func TestAListThatDoesNotFitIsRefused(t *testing.T) {
	var mu sync.Mutex
	var log bytes.Buffer
	d, err := platform.NewDiscovery("127.0.0.1:0", platform.Entry{Host: "a", Dial: "127.0.0.1:9000", Block: 3, Health: "Ready"})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	hosts := func(n int) (list []platform.Entry) {
		for i := range n {
			list = append(list, platform.Entry{Host: fmt.Sprintf("s-%08x", i), Dial: "127.0.0.1:9000", Block: 3, Health: "Ready"})
		}
		return list
	}
	r, s := New(NewAddress(d.Addr()), names, slog.New(slog.NewTextHandler(writer(func(p []byte) (int, error) {
		mu.Lock()
		defer mu.Unlock()
		return log.Write(p)
	}), nil))), newSink()
	said := func() string {
		mu.Lock()
		defer mu.Unlock()
		return log.String()
	}
	r.MaxListBytes = 8 << 20 // 40,000 entries take 4 MB, 100,000 some 10
	start(t, func(ctx context.Context) { r.Run(ctx, s) })
	testkit.Receive(t, s.lists, "first list")
	d.SetList(hosts(100_000)...)
	testkit.Eventually(t, "word of the size", func() bool { return strings.Contains(said(), "does not fit") })
	if len(s.lists) != 0 {
		t.Error("a list that does not fit was taken")
	}
	d.SetList(hosts(40_000)...) // 4.5 MB of text
	if l := testkit.Receive(t, s.lists, "a list that fits"); len(l.Hosts) != 40_000 || r.Failed.Load() == 0 {
		t.Errorf("%d entries after %d failures", len(l.Hosts), r.Failed.Load())
	}
	if n := strings.Count(said(), "is refused; the old one stays"); n != 1 {
		t.Errorf("one size was logged %d times:\n%s", n, said())
	}
}

// A list of an earlier process, with more memory, is held against the same bound.
func TestAListFitsByTheSameBound(t *testing.T) {
	text := longList(1, 1000)
	_, l, err := ParseList(text, names)
	if err != nil {
		t.Fatal(err)
	}
	r := New(NewAddress("127.0.0.1:1"), names, quiet)
	for _, most := range []int64{1000, 90_000, 98_000, 100_000, 1 << 20} {
		r.MaxListBytes = most
		if _, _, err := readList(bytes.NewReader(text), int64(len(text)), names, most); r.Fits(l) != (err == nil) {
			t.Errorf("%d bytes: fits %v, read with %v", most, r.Fits(l), err)
		}
	}
	if r.MaxListBytes = 1 << 20; !r.Fits(l) {
		t.Error("100 kB do not fit into a megabyte")
	}
	if r.MaxListBytes = 1000; r.Fits(l) {
		t.Error("100 kB fit into a kilobyte")
	}
}

type writer func([]byte) (int, error)

func (w writer) Write(p []byte) (int, error) { return w(p) }

// paced sends a list at a rate, in bytes a second, up to some of it; then nothing more.
func paced(text []byte, rate, upTo int) line {
	return func(nc net.Conn, end chan struct{}) {
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(text))
		for begun, at := time.Now(), 0; at < upTo; {
			select {
			case <-end:
				return
			case <-time.After(10 * time.Millisecond):
			}
			due := min(int(time.Since(begun).Seconds()*float64(rate)), upTo)
			if _, err := nc.Write(text[at:due]); err != nil {
				return
			}
			at = due
		}
		if upTo < len(text) {
			<-end
		}
	}
}

// wideList is a whole list of 3.5 MB in few entries, with space between them: as long to send as one of 30,000, and quickly read, also under
// the race detector on a busy machine. What is measured with it is the waiting alone.
func wideList(seq int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"seq":%d,"whole":true,"hosts":[`, seq)
	for i := range 220 {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strings.Repeat(" ", 16<<10))
		b.WriteString(entry(fmt.Sprint("s-", i), "Ready"))
	}
	b.WriteString("]}")
	return b.Bytes()
}

// A long list over a link that takes its time is heard at the first go, also where that lasts longer than an answer may lag, and makes the
// limits of later calls no longer; one that falls silent on its way is given up soon, however fast it came before.
func TestALongListMayTakeItsTime(t *testing.T) {
	t.Parallel()
	text := longList(1, 30_000) // 3.5 MB
	_, s, r := follow(t, paced(text, 3*leastRate, len(text)), silence, silence, says(list(2, false, entry("a", "Ready"))), silence)
	begun := time.Now()
	if l := testkit.Receive(t, s.lists, "long list"); len(l.Hosts) != 30_000 || r.Failed.Load() > 0 {
		t.Errorf("%d entries after %d failures", len(l.Hosts), r.Failed.Load())
	}
	if took := time.Since(begun); took < leastRest {
		t.Errorf("it took %v only: the test shows nothing", took)
	}
	begun = time.Now()
	testkit.Receive(t, s.lists, "change")
	if took, most := time.Since(begun), watchWait+watchGrace+leastBegin+3*firstPause+time.Second; took > most { // a second for a busy machine
		t.Errorf("the change after a silent watch and a lost call was heard after %v, want %v", took, most)
	}

	d, s, _ := follow(t, paced(wideList(1), 100<<20, 3<<20), says(list(1, true)), silence)
	testkit.Eventually(t, "first call", func() bool { return d.at.Load() == 1 })
	begun = time.Now()
	testkit.Receive(t, s.lists, "list after the one that fell silent")
	if took := time.Since(begun); took > leastRest+2*time.Second { // of a busy machine
		t.Errorf("a list that fell silent was given up after %v", took)
	}
}

func BenchmarkReadList(b *testing.B) {
	for _, n := range []int{30, 20_000, 210_000} {
		text := longList(1, n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			for b.Loop() {
				if _, l, err := ParseList(text, names); err != nil || len(l.Hosts) != n {
					b.Fatal(err)
				}
			}
		})
	}
}
