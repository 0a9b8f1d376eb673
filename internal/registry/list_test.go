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

// longList returns a whole list of n endpoints with entries of the usual length.
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

// parseWithUnmarshal parses a list by a single json.Unmarshal. The incremental reader must give the same results.
func parseWithUnmarshal(text []byte, names *settings.Names) (seq int64, l exchange.Listing, err error) {
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
		h := exchange.Host{Peer: exchange.Peer{Name: e.Host, Addr: e.Dial}, Kind: scratchString(e.Class).indexIn(names.Kinds),
			Zone: scratchString(e.Site).indexIn(names.Zones), Rate: e.Share, Draining: e.Health == "Terminating", Gone: e.Health == "Gone"}
		if e.Health != "Ready" && !h.Draining && !h.Gone || h.Name == "" || !h.Gone && (e.Block == nil || !validAddr(h.Addr)) {
			return 0, l, errors.New("invalid entry")
		}
		if e.Block != nil {
			h.Dest = *e.Block
		}
		l.Hosts = append(l.Hosts, h)
	}
	return *f.Seq, l, nil
}

// compareParsers returns an error unless ParseList and parseWithUnmarshal agree on a text.
func compareParsers(text []byte) error {
	seq, got, err := ParseList(text, names)
	wantSeq, want, wantErr := parseWithUnmarshal(text, names)
	if (err == nil) != (wantErr == nil) {
		return fmt.Errorf("%.200q: got error %v, Unmarshal gives %v", text, err, wantErr)
	}
	if err == nil && (seq != wantSeq || fmt.Sprint(got) != fmt.Sprint(want)) {
		return fmt.Errorf("%.200q: got version %d %v, Unmarshal gives %d %v", text, seq, got, wantSeq, want)
	}
	return nil
}

func TestParseListMatchesUnmarshal(t *testing.T) {
	whole := `{"seq":41,"whole":true,"hosts":[` + entryText("a", "Ready") + "," + entryText("b", "Gone") + `],"more":{"x":[1,{}]}}`
	var indented bytes.Buffer
	if err := json.Indent(&indented, []byte(whole), "", "\t"); err != nil {
		t.Fatal(err)
	}
	texts := append([]string{whole, indented.String(), whole + " \n", whole + "x", whole + whole, `{"hosts":null,"seq":1}`, `{"hosts":{},"seq":1}`,
		`{"SEQ":3,"Hosts":[` + entryText("a", "Ready") + `]}`, `{"seq":null,"hosts":[]}`, `{"seq":1.5,"hosts":[]}`, `{"seq":1e3,"hosts":[]}`,
		`{"hosts":[],"whole":true,"seq":9007199254740993}`, `{"seq":1,"hosts":[null]}`, `{"seq":1,"hosts":[1]}`, `{"seq":1,"whole":"yes","hosts":[]}`,
		`{"seq":1,"hosts":[` + strings.Replace(entryText("a", "Ready"), `"all"`, `"\u0061ll"`, 1) + `]}`,
		`{"seq":1,"hosts":[` + strings.Replace(entryText("a", "Ready"), `"all"`, `null`, 1) + `]}`,
		`{"seq":1,"hosts":[` + strings.Replace(entryText("a", "Ready"), `"all"`, `7`, 1) + `]}`,
		`{"seq":1,"hosts":[` + strings.Replace(entryText("a", "Ready"), `:3,`, `:null,`, 1) + `]}`,
		`{"seq":1,"hosts":[` + strings.Replace(entryText("a", "Ready"), `"block"`, `"BLOCK"`, 1) + `]}`,
		`{"seq":1,"hosts":[` + strings.Replace(entryText("a", "Ready"), `"a"`, "\"\xff\"", 1) + `]}`,
		`{"seq":1,"hosts":[` + entryText("a", "Ready") + `,]}`, `{"seq":1,,"hosts":[]}`, `{"seq":1 "hosts":[]}`, `{"seq":1,"hosts":[]`, `{"seq":1,"hosts":[}`}, invalidLists...)
	for _, text := range texts {
		if err := compareParsers([]byte(text)); err != nil {
			t.Error(err)
		}
	}
	for n := range len(whole) {
		if err := compareParsers([]byte(whole[:n])); err != nil {
			t.Errorf("truncated text: %v", err)
		}
	}
}

func FuzzParseListMatchesUnmarshal(f *testing.F) {
	for _, text := range invalidLists {
		f.Add([]byte(text))
	}
	f.Add([]byte(`{"seq":41,"whole":true,"hosts":[` + entryText("a", "Ready") + "," + entryText("b", "Gone") + `]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if lower := bytes.ToLower(text); bytes.Count(lower, []byte(`"hosts"`)) > 1 || bytes.Contains(lower, []byte(`\u`)) {
			return // Unmarshal merges repeated fields into the entries it has; an escape could hide such a field
		}
		if err := compareParsers(text); err != nil {
			t.Fatal(err)
		}
	})
}

// allocatedBy returns how many bytes a call allocates.
func allocatedBy(f func()) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return int64(after.TotalAlloc - before.TotalAlloc)
}

// endlessReader returns a text, then repeats a piece without end.
type endlessReader struct {
	pending, piece string
	read           int64
}

func (e *endlessReader) Read(p []byte) (int, error) {
	if e.pending == "" {
		e.pending = strings.Repeat(e.piece, max(1, len(p)/len(e.piece)))
	}
	n := copy(p, e.pending)
	e.pending = e.pending[n:]
	e.read += int64(n)
	return n, nil
}

// Guards against invalid input that never ends: reading stops after a bounded number of bytes and allocations, and at
// the memory limit if the input looks like a list.
func TestBadListsAreBounded(t *testing.T) {
	const maxBytes = 1 << 20
	for name, c := range map[string]struct {
		text    endlessReader
		length  int
		maxRead int64
		refused bool
	}{
		"a name without end":         {endlessReader{`{"seq":1,"hosts":[{"host":"`, "x", 0}, -1, 4 * maxValueBytes, false},
		"a key without end":          {endlessReader{`{"`, "x", 0}, -1, 4 * maxValueBytes, false},
		"space without end":          {endlessReader{`{"seq":1,`, " ", 0}, -1, 4 * maxValueBytes, false},
		"space between entries":      {endlessReader{`{"seq":1,"hosts":[` + entryText("a", "Ready"), "\n", 0}, -1, 4 * maxValueBytes, false},
		"nested without end":         {endlessReader{`{"more":`, "[", 0}, -1, 4 * maxValueBytes, false},
		"nested in an entry":         {endlessReader{`{"seq":1,"hosts":[{"x":`, `{"x":`, 0}, -1, 4 * maxValueBytes, false},
		"fields without end":         {endlessReader{`{"seq":1`, `,"more":1`, 0}, -1, 4 * maxValueBytes, false},
		"entries without end":        {endlessReader{`{"seq":1,"hosts":[` + entryText("a", "Ready"), "," + entryText("b", "Ready"), 0}, -1, 5 * maxBytes, true},
		"sparse entries":             {endlessReader{`{"seq":1,"hosts":[` + entryText("a", "Ready"), strings.Repeat(" ", 30<<10) + "," + entryText("b", "Ready"), 0}, -1, 5 * maxBytes, true},
		"a too large Content-Length": {endlessReader{`{"seq":1,"hosts":[`, " ", 0}, 5 * maxBytes, 0, true},
		"a long entry":               {endlessReader{`{"seq":1,"hosts":[` + strings.Replace(entryText("a", "Ready"), "{", `{"x":"`+strings.Repeat("x", 3*maxValueBytes)+`",`, 1) + "]}", " ", 0}, -1, 4 * maxValueBytes, false},
	} {
		var err error
		var l exchange.Listing
		allocated := allocatedBy(func() { _, l, err = readList(&c.text, int64(c.length), names, maxBytes) })
		var tooLarge *TooLargeError
		if err == nil || len(l.Hosts) > 0 || errors.As(err, &tooLarge) != c.refused || c.text.read > c.maxRead || allocated > 8*maxBytes {
			t.Errorf("%s: %v after %d bytes read, %d allocated", name, err, c.text.read, allocated)
		}
	}
	// A Content-Length alone must not cause an allocation.
	if allocated := allocatedBy(func() { readList(strings.NewReader(`{"seq":1,"hosts":[`), 4*maxBytes, names, maxBytes) }); allocated > 64<<10 {
		t.Errorf("%d bytes allocated for a Content-Length of %d", allocated, 4*maxBytes)
	}
}

// A list of 210,000 endpoints is read without holding a copy of its text. The limit is half of what holding the text
// alone would allocate, as a growing buffer allocates it about twice over.
func TestLongListIsStreamed(t *testing.T) {
	const n = 210_000
	text := longList(1, n)
	var l exchange.Listing
	var err error
	allocated := allocatedBy(func() { _, l, err = readList(bytes.NewReader(text), int64(len(text)), names, 64<<20) })
	if err != nil || len(l.Hosts) != n || l.Hosts[n-1].Dest != n-1 {
		t.Fatalf("%d entries, %v", len(l.Hosts), err)
	}
	t.Logf("%d bytes of text, %d allocated", len(text), allocated)
	if allocated > 2*int64(len(text)) {
		t.Errorf("%d bytes allocated for a text of %d", allocated, len(text))
	}
}

// A list that is too large is refused and logged with its size, once for one size, and the old list stays. A later list
// that fits is accepted, also if its text is longer than the fixed limit of 4 MiB of earlier versions.
func TestTooLargeListIsRefused(t *testing.T) {
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
	r, s := New(NewAddress(d.Addr()), names, slog.New(slog.NewTextHandler(writerFunc(func(p []byte) (int, error) {
		mu.Lock()
		defer mu.Unlock()
		return log.Write(p)
	}), nil))), newSink()
	logged := func() string {
		mu.Lock()
		defer mu.Unlock()
		return log.String()
	}
	r.MaxListBytes = 8 << 20 // 40,000 entries take 4 MB, 100,000 some 10
	runInBackground(t, func(ctx context.Context) { r.Run(ctx, s) })
	testkit.Receive(t, s.lists, "first list")
	d.SetList(hosts(100_000)...)
	testkit.Eventually(t, "logged the size", func() bool { return strings.Contains(logged(), "list too large") })
	if len(s.lists) != 0 {
		t.Error("a list that is too large was accepted")
	}
	d.SetList(hosts(40_000)...) // 4.5 MB of text
	if l := testkit.Receive(t, s.lists, "a list that fits"); len(l.Hosts) != 40_000 || r.Failed.Load() == 0 {
		t.Errorf("%d entries after %d failures", len(l.Hosts), r.Failed.Load())
	}
	if n := strings.Count(logged(), "refused the list from discovery; the old one stays in force"); n != 1 {
		t.Errorf("the refusal was logged %d times, want once:\n%s", n, logged())
	}
}

// The saved list of an earlier process, which may have had more memory, must pass Fits. Fits applies the same limit as
// reading the list does.
func TestFitsAppliesTheReadLimit(t *testing.T) {
	text := longList(1, 1000)
	_, l, err := ParseList(text, names)
	if err != nil {
		t.Fatal(err)
	}
	r := New(NewAddress("127.0.0.1:1"), names, discardLog)
	for _, maxBytes := range []int64{1000, 90_000, 98_000, 100_000, 1 << 20} {
		r.MaxListBytes = maxBytes
		if _, _, err := readList(bytes.NewReader(text), int64(len(text)), names, maxBytes); r.Fits(l) != (err == nil) {
			t.Errorf("limit of %d bytes: Fits reports %v, reading returns %v", maxBytes, r.Fits(l), err)
		}
	}
	if r.MaxListBytes = 1 << 20; !r.Fits(l) {
		t.Error("a list of 100 kB exceeds a limit of 1 MiB")
	}
	if r.MaxListBytes = 1000; r.Fits(l) {
		t.Error("a list of 100 kB is within a limit of 1 kB")
	}
}

type writerFunc func([]byte) (int, error)

func (w writerFunc) Write(p []byte) (int, error) { return w(p) }

// pacedAnswer sends a list at a rate in bytes per second. It stops after the first upTo bytes.
func pacedAnswer(text []byte, rate, upTo int) answerFunc {
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

// wideList returns a whole list of 3.5 MB with few entries and white space between them. It takes as long to send as a
// list of 30,000 entries, but little time to parse, even under the race detector on a busy machine, so that tests
// measure the waiting alone.
func wideList(seq int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"seq":%d,"whole":true,"hosts":[`, seq)
	for i := range 220 {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strings.Repeat(" ", 16<<10))
		b.WriteString(entryText(fmt.Sprint("s-", i), "Ready"))
	}
	b.WriteString("]}")
	return b.Bytes()
}

// A long list over a slow link arrives with the first request, although that takes longer than the stall limit, and
// does not raise the limits of later requests. An answer that stops halfway is given up soon, however fast it came
// before.
func TestLongListOverSlowLink(t *testing.T) {
	t.Parallel()
	text := longList(1, 30_000) // 3.5 MB
	_, s, r := follow(t, pacedAnswer(text, 3*minBodyRate, len(text)), neverAnswers, neverAnswers,
		answersWithList(2, false, entryText("a", "Ready")), neverAnswers)
	begun := time.Now()
	if l := testkit.Receive(t, s.lists, "long list"); len(l.Hosts) != 30_000 || r.Failed.Load() > 0 {
		t.Errorf("%d entries after %d failures", len(l.Hosts), r.Failed.Load())
	}
	if took := time.Since(begun); took < minStallTimeout {
		t.Errorf("it took only %v: the stall limit was not tested", took)
	}
	begun = time.Now()
	testkit.Receive(t, s.lists, "change")
	const allowance = time.Second // for a busy machine
	limit := watchWait + watchGrace + minFirstByteTimeout + 3*initialBackoff + allowance
	if took := time.Since(begun); took > limit {
		t.Errorf("the change after an unanswered watch and a lost request came after %v, want up to %v", took, limit)
	}

	d, s, _ := follow(t, pacedAnswer(wideList(1), 100<<20, 3<<20), answersWithList(1, true), neverAnswers)
	testkit.Eventually(t, "received the first request", func() bool { return d.received.Load() == 1 })
	begun = time.Now()
	testkit.Receive(t, s.lists, "list after the one that stopped halfway")
	if took := time.Since(begun); took > minStallTimeout+2*time.Second { // two seconds for a busy machine
		t.Errorf("a list that stopped halfway was given up after %v", took)
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
