package registry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"eiderhaven/internal/exchange"
	"eiderhaven/internal/http1"
	"eiderhaven/internal/ledger"
	"eiderhaven/internal/settings"
	"eiderhaven/internal/testkit"
	"eiderhaven/standin/platform"
)

var (
	discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))
	names      = &settings.Names{Kinds: []string{"bulk", "all"}, Zones: []string{"here", "there"}}
)

// sink passes everything it receives to the test.
type sink struct {
	lists   chan exchange.Listing
	failed  chan struct{}
	noticed chan []string
}

func newSink() *sink {
	return &sink{make(chan exchange.Listing, 100), make(chan struct{}, 100), make(chan []string, 100)}
}

func (s *sink) ApplyListing(l exchange.Listing) { s.lists <- l }
func (s *sink) ListFailed()                     { s.failed <- struct{}{} }
func (s *sink) NoticesAccepted(ids []string)    { s.noticed <- ids }

// runInBackground runs f until the test ends.
func runInBackground(t *testing.T, f func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
}

func entryText(host, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":"127.0.0.1:9000","site":"there","class":"all","block":3,"health":%q,"share":2.5,"born_ms":0}`, host, health)
}

// A list may be indented.
func TestParseList(t *testing.T) {
	text := []byte(`{"seq":41,"whole":true,"hosts":[` + entryText("a", "Ready") + "," + entryText("b", "Terminating") +
		`,{"host":"c","health":"Gone"},{"host":"d","dial":"127.0.0.1:1","site":"x","class":"y","block":0,"health":"Ready"}],"more":1}`)
	var indented bytes.Buffer
	if err := json.Indent(&indented, text, "\t", "  "); err != nil {
		t.Fatal(err)
	}
	want := []exchange.Host{
		{Peer: exchange.Peer{Name: "a", Addr: "127.0.0.1:9000"}, Dest: 3, Kind: 1, Zone: 1, Rate: 2.5},
		{Peer: exchange.Peer{Name: "b", Addr: "127.0.0.1:9000"}, Dest: 3, Kind: 1, Zone: 1, Rate: 2.5, Draining: true},
		{Peer: exchange.Peer{Name: "c"}, Kind: 2, Zone: 2, Gone: true},
		{Peer: exchange.Peer{Name: "d", Addr: "127.0.0.1:1"}, Kind: 2, Zone: 2},
	}
	for _, text := range [][]byte{text, indented.Bytes()} {
		seq, l, err := ParseList(text, names)
		if err != nil {
			t.Fatal(err)
		}
		if seq != 41 || !l.Whole || len(l.Hosts) != len(want) {
			t.Fatalf("got seq %d, %+v", seq, l)
		}
		for i, w := range want {
			if l.Hosts[i] != w {
				t.Errorf("host %d: got %+v, want %+v", i, l.Hosts[i], w)
			}
		}
	}
}

var invalidLists = []string{"", "null", "[]", "{", `{"seq":1}`, `{"hosts":[]}`, `{"seq":"1","hosts":[]}`,
	`{"seq":1,"hosts":[{}]}`, `{"seq":1,"hosts":[{"host":"a","health":"Ready","block":1}]}`,
	`{"seq":1,"hosts":[{"host":"a","health":"Ready","dial":"127.0.0.1:9000"}]}`,
	`{"seq":1,"hosts":[{"host":"a","health":"Ready","dial":"127.0.0.1:0","block":1}]}`,
	`{"seq":1,"hosts":[{"host":"a","health":"Ready","dial":"nowhere:80","block":1}]}`,
	`{"seq":1,"hosts":[{"host":"a","health":"Odd","dial":"127.0.0.1:9000","block":1}]}`}

func TestParseInvalidLists(t *testing.T) {
	for _, text := range invalidLists {
		if _, l, err := ParseList([]byte(text), names); err == nil {
			t.Errorf("%s: got %+v, want an error", text, l)
		}
	}
}

func FuzzParseList(f *testing.F) {
	for _, text := range invalidLists {
		f.Add([]byte(text))
	}
	f.Add([]byte(`{"seq":41,"whole":true,"hosts":[` + entryText("a", "Ready") + `]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, l, err := ParseList(text, names)
		for _, h := range l.Hosts {
			if err == nil && (h.Name == "" || !h.Gone && h.Addr == "") {
				t.Fatalf("accepted %+v", h)
			}
		}
	})
}

func TestWatchFollowsChanges(t *testing.T) {
	d, err := platform.NewDiscovery("127.0.0.1:0", platform.Entry{Host: "a", Dial: "127.0.0.1:9000", Block: 3, Health: "Ready"})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	r, s := New(NewAddress(d.Addr()), names, discardLog), newSink()
	runInBackground(t, func(ctx context.Context) { r.Run(ctx, s) })
	if l := testkit.Receive(t, s.lists, "first list"); !l.Whole || len(l.Hosts) != 1 {
		t.Errorf("first list: %+v", l)
	}
	testkit.Receive(t, r.FirstList(), "signal of the first list")
	d.SetList(platform.Entry{Host: "a", Dial: "127.0.0.1:9000", Block: 3, Health: "Terminating"})
	if l := testkit.Receive(t, s.lists, "change"); len(l.Hosts) != 1 || !l.Hosts[0].Draining {
		t.Errorf("after the change: %+v", l)
	}
	if n := d.AcceptedConnections(); n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
}

// A watch names the held version, and the next one follows at once on the same connection.
func TestWatchNamesItsVersion(t *testing.T) {
	targets := make(chan string, 100)
	seq := 4
	srv, err := platform.Listen("127.0.0.1:0", func(req *http1.Request, _ []byte) *http1.Response {
		select {
		case targets <- req.Target:
		default: // the test has enough
		}
		if seq++; seq > 8 {
			seq = 8
			time.Sleep(10 * time.Millisecond) // no change: holds the request
		}
		return &http1.Response{Status: 200, Body: fmt.Appendf(nil, `{"seq":%d,"hosts":[]}`, seq)}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer srv.Close()
	s := newSink()
	runInBackground(t, func(ctx context.Context) { New(NewAddress(srv.Addr()), names, discardLog).Run(ctx, s) })
	if got := testkit.Receive(t, targets, "request"); got != "/registry/instances" {
		t.Errorf("first request: %s", got)
	}
	for seq := 5; seq <= 7; seq++ {
		if got := testkit.Receive(t, targets, "request"); !strings.Contains(got, fmt.Sprintf("after=%d&", seq)) || !strings.Contains(got, "wait_ms=") {
			t.Errorf("request with version %d: %s", seq, got)
		}
	}
}

// After invalid answers and broken connections the old list stays, each counts as a failure, and watching goes on.
func TestWatchSurvivesInvalidAnswers(t *testing.T) {
	answers := make(chan *http1.Response, len(invalidLists)+4)
	answers <- &http1.Response{Status: 200, Body: []byte(`{"seq":1,"whole":true,"hosts":[` + entryText("a", "Ready") + `]}`)}
	for _, text := range invalidLists {
		answers <- &http1.Response{Status: 200, Body: []byte(text)}
	}
	answers <- &http1.Response{Status: 500}
	answers <- nil
	answers <- &http1.Response{Status: 200, Body: []byte(`{"seq":2,"whole":true,"hosts":[]}`)}
	end := make(chan struct{})
	srv, err := platform.Listen("127.0.0.1:0", func(*http1.Request, []byte) *http1.Response {
		select {
		case a := <-answers:
			return a
		case <-end: // no further answers
			return nil
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer srv.Close()
	defer close(end)
	r, s := New(NewAddress(srv.Addr()), names, discardLog), newSink()
	runInBackground(t, func(ctx context.Context) { r.Run(ctx, s) })
	testkit.Receive(t, s.lists, "first list")
	for range len(invalidLists) + 2 {
		testkit.Receive(t, s.failed, "failure")
		r.RetryNow() // skips the backoff
	}
	if l := testkit.Receive(t, s.lists, "second list"); !l.Whole || len(l.Hosts) != 0 {
		t.Errorf("second list: %+v", l)
	}
	if n := r.Failed.Load(); n != int64(len(invalidLists)+2) {
		t.Errorf("%d failures counted, want %d", n, len(invalidLists)+2)
	}
}

// A notice is repeated until discovery answers 204, whatever kinds of failures come before.
func TestNoticesAreRetried(t *testing.T) {
	answers := make(chan *http1.Response, 3)
	answers <- &http1.Response{Status: 500}
	answers <- nil
	answers <- &http1.Response{Status: 200}
	bodies := make(chan string, 100)
	srv, err := platform.Listen("127.0.0.1:0", func(req *http1.Request, body []byte) *http1.Response {
		bodies <- req.Method + " " + req.Target + " " + string(body)
		select {
		case a := <-answers:
			return a
		default:
			return &http1.Response{Status: 204}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer srv.Close()
	n, s := NewNotices(NewAddress(srv.Addr()), discardLog), newSink()
	n.EnqueueNotice(ledger.Notice{ID: "a", Dead: true, RetryAfter: time.Second})
	n.EnqueueNotice(ledger.Notice{ID: "b", RetryAfter: 500 * time.Millisecond})
	runInBackground(t, func(ctx context.Context) { n.Run(ctx, s) })
	want := `POST /status {"ref":"a","result":"dead"}` + "\n" + `{"ref":"b","result":"bounced","wait_ms":500}` + "\n"
	for range 4 {
		if got := testkit.Receive(t, bodies, "post"); got != want {
			t.Errorf("posted %q, want %q", got, want)
		}
	}
	if ids := testkit.Receive(t, s.noticed, "acceptance"); len(ids) != 2 || ids[0] != "a" || ids[1] != "b" {
		t.Errorf("accepted: %v", ids)
	}
}

// A notice that discovery rejects with 400 does not hold up the others.
func TestUnreadableNotice(t *testing.T) {
	srv, err := platform.Listen("127.0.0.1:0", func(_ *http1.Request, body []byte) *http1.Response {
		if strings.Contains(string(body), `"bad"`) {
			return &http1.Response{Status: 400}
		}
		return &http1.Response{Status: 204}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer srv.Close()
	n, s := NewNotices(NewAddress(srv.Addr()), discardLog), newSink()
	for _, id := range []string{"bad", "x", "y"} {
		n.EnqueueNotice(ledger.Notice{ID: id})
	}
	runInBackground(t, func(ctx context.Context) { n.Run(ctx, s) })
	for _, want := range []string{"x", "y"} {
		if ids := testkit.Receive(t, s.noticed, "acceptance"); len(ids) != 1 || ids[0] != want {
			t.Errorf("accepted %v, want %s", ids, want)
		}
	}
}

// When the address of discovery changes, the watch at the old address is aborted and the whole list is fetched from the
// new one, as its version numbers are unrelated. This is no failure. The same holds for a move back.
func TestDiscoveryMoves(t *testing.T) {
	var discoveries [2]*platform.Discovery
	for i, host := range []string{"a", "b"} {
		d, err := platform.NewDiscovery("127.0.0.1:0", platform.Entry{Host: host, Dial: "127.0.0.1:9000", Block: 3, Health: "Ready"})
		if err != nil {
			t.Fatal(err)
		}
		defer d.Close()
		discoveries[i] = d
	}
	address, s := NewAddress(discoveries[0].Addr()), newSink()
	r := New(address, names, discardLog)
	runInBackground(t, func(ctx context.Context) { r.Run(ctx, s) })
	testkit.Receive(t, s.lists, "first list")
	for i, want := range []string{"b", "a"} {
		testkit.Eventually(t, "watching", func() bool { return discoveries[i].OpenConnections() == 1 })
		if !address.Move(discoveries[1-i].Addr()) {
			t.Fatal("Move reports that the address has not changed")
		}
		if l := testkit.Receive(t, s.lists, "list after the move"); !l.Whole || len(l.Hosts) != 1 || l.Hosts[0].Name != want {
			t.Errorf("after the move: %+v, want the whole list of %s", l, want)
		}
		testkit.Eventually(t, "disconnected from the old address", func() bool { return discoveries[i].OpenConnections() == 0 })
	}
	if n := len(s.failed) + int(r.Failed.Load()); n != 0 {
		t.Errorf("the move counts as %d failures", n)
	}
	if address.Move(discoveries[0].Addr()) {
		t.Error("Move to the same address reports a change")
	}
}

// A notice whose request waits at the old address is sent to the new one.
func TestNoticesMove(t *testing.T) {
	requests, release := make(chan string, 1), make(chan struct{})
	old, err := platform.Listen("127.0.0.1:0", func(*http1.Request, []byte) *http1.Response {
		requests <- "old"
		<-release
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	defer close(release)
	d, err := platform.NewDiscovery("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	address, s := NewAddress(old.Addr()), newSink()
	n := NewNotices(address, discardLog)
	n.EnqueueNotice(ledger.Notice{ID: "a"})
	runInBackground(t, func(ctx context.Context) { n.Run(ctx, s) })
	testkit.Receive(t, requests, "post to the old address")
	address.Move(d.Addr())
	if ids := testkit.Receive(t, s.noticed, "acceptance"); len(ids) != 1 || ids[0] != "a" || len(d.Notices()) != 1 {
		t.Errorf("accepted %v, sent to the new address: %v", ids, d.Notices())
	}
	if n.Failed.Load() != 0 {
		t.Error("the move counts as a failure")
	}
}

// A connection that no longer responds, and a discovery that is only slow, delay a notice by less than the 300 ms after
// which the platform counts the message as lost.
func TestNoticeOverUnresponsiveConnection(t *testing.T) {
	var posts atomic.Int32
	end := make(chan struct{})
	srv, err := platform.Listen("127.0.0.1:0", func(*http1.Request, []byte) *http1.Response {
		if posts.Add(1) == 1 {
			<-end
		}
		return &http1.Response{Status: 204}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer srv.Close()
	defer close(end)
	n, s := NewNotices(NewAddress(srv.Addr()), discardLog), newSink()
	due := time.Now()
	n.EnqueueNotice(ledger.Notice{ID: "a"})
	runInBackground(t, func(ctx context.Context) { n.Run(ctx, s) })
	awaitNotice(t, s, "a", due)
	if got := posts.Load(); got < 2 {
		t.Errorf("%d posts, want another one beside the first", got)
	}

	slow, err := platform.Listen("127.0.0.1:0", func(*http1.Request, []byte) *http1.Response {
		time.Sleep(225 * time.Millisecond)
		return &http1.Response{Status: 204}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	n, s = NewNotices(NewAddress(slow.Addr()), discardLog), newSink()
	due = time.Now()
	n.EnqueueNotice(ledger.Notice{ID: "b"})
	runInBackground(t, func(ctx context.Context) { n.Run(ctx, s) })
	awaitNotice(t, s, "b", due)
}

// answerFunc handles one request of a scriptedDiscovery.
type answerFunc func(nc net.Conn, end chan struct{})

// scriptedDiscovery answers each request by the next of its functions, and repeats the last one.
type scriptedDiscovery struct {
	*platform.Server
	targets  chan string
	received atomic.Int32
	end      chan struct{}
}

func newScriptedDiscovery(t *testing.T, answers ...answerFunc) *scriptedDiscovery {
	t.Helper()
	d := &scriptedDiscovery{targets: make(chan string, 1000), end: make(chan struct{})}
	var err error
	d.Server, err = platform.ListenRaw("127.0.0.1:0", func(nc net.Conn) {
		br := bufio.NewReader(nc)
		for {
			req, _, err := platform.ReadRequest(br)
			if err != nil {
				return
			}
			next := answers[min(int(d.received.Add(1)), len(answers))-1]
			d.targets <- req.Target
			next(nc, d.end)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { close(d.end); d.Close() })
	return d
}

// follow runs a registry client against a scripted discovery.
func follow(t *testing.T, answers ...answerFunc) (*scriptedDiscovery, *sink, *Registry) {
	t.Helper()
	d, s := newScriptedDiscovery(t, answers...), newSink()
	r := New(NewAddress(d.Addr()), names, discardLog)
	runInBackground(t, func(ctx context.Context) { r.Run(ctx, s) })
	return d, s, r
}

// answersWith answers with a body at once.
func answersWith(text string) answerFunc {
	return func(nc net.Conn, _ chan struct{}) {
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
}

// answersWithList answers with the list of these entries at once.
func answersWithList(seq int, whole bool, entries ...string) answerFunc {
	return answersWith(listText(seq, whole, entries...))
}

func listText(seq int, whole bool, entries ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, strings.Join(entries, ","))
}

func neverAnswers(_ net.Conn, end chan struct{}) { <-end }

// trickles begins an answer and sends one byte of it every 20 ms.
func trickles(nc net.Conn, end chan struct{}) {
	io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n")
	for {
		select {
		case <-end:
			return
		case <-time.After(20 * time.Millisecond):
			if _, err := nc.Write([]byte(" ")); err != nil {
				return
			}
		}
	}
}

// cutsOff closes the connection in the middle of an answer.
func cutsOff(nc net.Conn, _ chan struct{}) {
	io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{")
	nc.Close()
}

// A change arrives within 6 s of the moment in which discovery had it, also if a watch gets no answer and the request
// after it is lost, or if an answer never ends or stops halfway. The request after an unanswered one asks for changes
// without a long wait. After a closed connection it asks for the whole list if restarted version numbers could not be
// detected.
func TestChangeArrivesInTime(t *testing.T) {
	t.Parallel()
	const whole, resumed = "/registry/instances", "/registry/instances?after=1&wait_ms=1"
	first, long := listText(1, true, entryText("a", "Ready")), wideList(2)
	for name, c := range map[string]struct {
		failures   []answerFunc
		wantTarget string
	}{
		"one unanswered":                 {[]answerFunc{neverAnswers}, resumed},
		"two unanswered":                 {[]answerFunc{neverAnswers, neverAnswers}, resumed},
		"three unanswered":               {[]answerFunc{neverAnswers, neverAnswers, neverAnswers}, resumed},
		"trickles":                       {[]answerFunc{trickles}, resumed},
		"cut off":                        {[]answerFunc{cutsOff, cutsOff, cutsOff}, whole},
		"unanswered, then cut off":       {[]answerFunc{neverAnswers, cutsOff}, resumed},
		"stops halfway":                  {[]answerFunc{pacedAnswer(long, 100<<20, 3<<20)}, resumed},
		"unanswered, then stops halfway": {[]answerFunc{neverAnswers, pacedAnswer(long, 100<<20, 3<<20)}, resumed},
	} {
		for form, change := range map[string]string{
			"whole":       listText(2, true, entryText("a", "Terminating")),
			"as a change": listText(2, false, entryText("a", "Terminating")),
		} {
			t.Run(name+", "+form, func(t *testing.T) {
				t.Parallel()
				answers := slices.Concat([]answerFunc{answersWith(first)}, c.failures,
					[]answerFunc{answersWith(change), neverAnswers})
				d, s, _ := follow(t, answers...)
				testkit.Receive(t, s.lists, "first list")
				begun := time.Now() // the watch begins at once
				if l := testkit.Receive(t, s.lists, "change"); !l.Hosts[0].Draining {
					t.Errorf("got %+v", l)
				}
				if took := time.Since(begun); took > 6*time.Second {
					t.Errorf("the change arrived after %v", took)
				}
				targets := []string{
					testkit.Receive(t, d.targets, "request"),
					testkit.Receive(t, d.targets, "request"),
					testkit.Receive(t, d.targets, "request"),
				}
				if targets[0] != whole || !strings.Contains(targets[1], "after=1&wait_ms=1500") || targets[2] != c.wantTarget {
					t.Errorf("requested %q, want the whole list, a watch, and %s after the failure", targets, c.wantTarget)
				}
			})
		}
	}
}

// The request after a failure asks for the whole list if the version numbers have restarted or an answer could not be
// used. Otherwise it asks for changes, including the last known one again, which is not reported a second time.
func TestResume(t *testing.T) {
	t.Parallel()
	const whole = "/registry/instances"
	a, b, c, old := entryText("a", "Ready"), entryText("b", "Ready"), entryText("c", "Ready"), entryText("a", "Terminating")
	watch := func(seq int) string { return fmt.Sprintf("%s?after=%d&wait_ms=1500", whole, seq) }
	since := func(seq int) string { return fmt.Sprintf("%s?after=%d&wait_ms=1", whole, seq) }
	status := func(nc net.Conn, _ chan struct{}) {
		io.WriteString(nc, "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n")
	}
	for name, test := range map[string]struct {
		answers     []answerFunc
		wantTargets []string
		wantLists   string // the names in each reported list, in capitals if it is whole
	}{
		"changes": {
			[]answerFunc{
				answersWithList(5, true, a),
				neverAnswers,
				answersWithList(7, false, b),
				neverAnswers,
			},
			[]string{whole, watch(5), since(5), watch(7)},
			"A b",
		},
		"no changes": {
			[]answerFunc{
				answersWithList(5, true, a),
				neverAnswers,
				answersWithList(5, false),
				neverAnswers,
			},
			[]string{whole, watch(5), since(5), watch(5)},
			"A",
		},
		"the last change repeated": {
			[]answerFunc{
				answersWithList(5, true, a),
				answersWithList(6, false, b),
				cutsOff,
				answersWithList(6, false, b),
				neverAnswers,
			},
			[]string{whole, watch(5), watch(6), since(5), watch(6)},
			"A b",
		},
		"the last change repeated with more": {
			[]answerFunc{
				answersWithList(5, true, a),
				answersWithList(6, false, b),
				cutsOff,
				answersWithList(8, false, b, c),
				cutsOff,
				answersWithList(8, false, c),
				neverAnswers,
			},
			[]string{whole, watch(5), watch(6), since(5), watch(8), since(6), watch(8)},
			"A b c",
		},
		"a version without changes": {
			[]answerFunc{
				answersWithList(5, true, a),
				answersWithList(6, false, b),
				answersWithList(9, false),
				cutsOff,
				answersWithList(9, false, b),
				neverAnswers,
			},
			[]string{whole, watch(5), watch(6), watch(9), since(5), watch(9)},
			"A b",
		},
		"a whole list as the answer": {
			[]answerFunc{
				answersWithList(5, true, a),
				neverAnswers,
				answersWithList(9, true, b),
				neverAnswers,
			},
			[]string{whole, watch(5), since(5), watch(9)},
			"A B",
		},
		"an older whole list as the answer": {
			[]answerFunc{
				answersWithList(5, true, a),
				neverAnswers,
				answersWithList(2, true, b),
				neverAnswers,
			},
			[]string{whole, watch(5), since(5), watch(2)},
			"A B",
		},
		"an older version": {
			[]answerFunc{
				answersWithList(5, true, a),
				neverAnswers,
				answersWithList(3, false, c),
				answersWithList(3, true, b),
				neverAnswers,
			},
			[]string{whole, watch(5), since(5), whole, watch(3)},
			"A B",
		},
		"versions restarted at 0": {
			[]answerFunc{
				answersWithList(5, true, a),
				neverAnswers,
				answersWithList(0, false),
				answersWithList(0, true, b),
				neverAnswers,
			},
			[]string{whole, watch(5), since(5), whole, watch(0)},
			"A B",
		},
		"versions restarted and beyond the held one": {
			[]answerFunc{
				answersWithList(5, true, a),
				answersWithList(6, false, b),
				cutsOff,
				answersWithList(9, false, c),
				answersWithList(9, true, c),
				neverAnswers,
			},
			[]string{whole, watch(5), watch(6), since(5), whole, watch(9)},
			"A b C",
		},
		"versions restarted and equal to the held one": {
			[]answerFunc{
				answersWithList(5, true, a),
				answersWithList(6, false, old),
				neverAnswers,
				answersWithList(6, false, a),
				answersWithList(6, true, a),
				neverAnswers,
			},
			[]string{whole, watch(5), watch(6), since(5), whole, watch(6)},
			"A a A",
		},
		"connection closed, no last change known": {
			[]answerFunc{
				answersWithList(5, true, a),
				cutsOff,
				answersWithList(5, true, b),
				neverAnswers,
			},
			[]string{whole, watch(5), whole, watch(5)},
			"A B",
		},
		"version too old for discovery": {
			[]answerFunc{
				answersWithList(5, true, a),
				answersWithList(6, false, b),
				neverAnswers,
				status,
				answersWithList(9, true, c),
				neverAnswers,
			},
			[]string{whole, watch(5), watch(6), since(5), whole, watch(9)},
			"A b C",
		},
		"an invalid answer": {
			[]answerFunc{
				answersWithList(5, true, a),
				answersWithList(6, false, b),
				answersWith("{"),
				answersWithList(9, true, c),
				neverAnswers,
			},
			[]string{whole, watch(5), watch(6), whole, watch(9)},
			"A b C",
		},
		"no answer": {
			[]answerFunc{
				answersWithList(5, true, a),
				neverAnswers,
				neverAnswers,
				answersWithList(6, false, c),
				neverAnswers,
			},
			[]string{whole, watch(5), since(5), since(5), watch(6)},
			"A c",
		},
		"changes to unknown endpoints": {
			[]answerFunc{
				answersWithList(5, true, a),
				neverAnswers,
				answersWithList(6, false, entryText("x", "Gone"), entryText("y", "Terminating")),
				neverAnswers,
			},
			[]string{whole, watch(5), since(5), watch(6)},
			"A xy",
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, s, _ := follow(t, test.answers...)
			for i, want := range test.wantTargets {
				if got := testkit.Receive(t, d.targets, "request"); got != want {
					t.Errorf("request %d: %s, want %s", i, got, want)
				}
			}
			var lists []string
			for len(s.lists) > 0 {
				l, names := <-s.lists, ""
				for _, h := range l.Hosts {
					names += h.Name
				}
				if l.Whole {
					names = strings.ToUpper(names)
				}
				lists = append(lists, names)
			}
			if got := strings.Join(lists, " "); got != test.wantLists {
				t.Errorf("got lists %q, want %q", got, test.wantLists)
			}
		})
	}
}

// A list resumed from an earlier process is continued if it came from the present address of discovery. If the address
// changes before the first request, the whole list is fetched.
func TestResumeListOfEarlierProcess(t *testing.T) {
	for name, test := range map[string]struct {
		last  []exchange.Host
		moved bool
		want  string
	}{
		"no last change":           {nil, false, "/registry/instances?after=41&wait_ms=1"},
		"last change known":        {[]exchange.Host{{Peer: exchange.Peer{Name: "a"}, Gone: true}}, false, "/registry/instances?after=40&wait_ms=1"},
		"moved before the request": {nil, true, "/registry/instances"},
	} {
		d, s := newScriptedDiscovery(t, answersWithList(41, false, `{"host":"a","health":"Gone"}`), neverAnswers), newSink()
		address := NewAddress(d.Addr())
		if test.moved {
			address = NewAddress("127.0.0.1:1")
		}
		r := New(address, names, discardLog)
		for i := range test.last {
			test.last[i].Kind, test.last[i].Zone = len(names.Kinds), len(names.Zones)
		}
		r.Resume(41, 40, test.last)
		address.Move(d.Addr())
		runInBackground(t, func(ctx context.Context) { r.Run(ctx, s) })
		if got := testkit.Receive(t, d.targets, "request"); got != test.want {
			t.Errorf("%s: requested %s, want %s", name, got, test.want)
		}
		testkit.Receive(t, r.FirstList(), "signal of the first list")
	}
}

// After an outage of discovery the list arrives soon after discovery is back, however long the outage was and whenever
// the latest request began. The limits of unanswered requests and the backoff must add up to less than 6 s.
func TestListArrivesInTimeAfterOutage(t *testing.T) {
	t.Parallel()
	for name, sum := range map[string]time.Duration{
		"unanswered watch and two lost requests": watchWait + watchGrace + minFirstByteTimeout*5/2 + 3*initialBackoff,
		"the same, then restarted versions":      watchWait + watchGrace + minFirstByteTimeout*5/2 + 3*initialBackoff + emptyAnswerPause,
		"a watch whose answer trickles in":       watchWait + watchGrace + maxStallTimeout + initialBackoff,
		"after a long outage":                    maxFirstByteTimeout + maxBackoff,
	} {
		if sum > 5600*time.Millisecond {
			t.Errorf("%s: the limits add up to %v", name, sum)
		}
	}
	d, s, _ := follow(t,
		answersWithList(1, true),
		neverAnswers,
		neverAnswers,
		neverAnswers,
		answersWithList(5, true, entryText("a", "Ready")),
		neverAnswers,
	)
	testkit.Receive(t, s.lists, "first list")
	testkit.Eventually(t, "received the last request of the outage", func() bool { return d.received.Load() == 4 })
	back := time.Now() // discovery is back, but does not answer earlier requests
	testkit.Receive(t, s.lists, "list after the outage")
	if took := time.Since(back); took > maxFirstByteTimeout+maxBackoff+time.Second {
		t.Errorf("the list arrived %v after the outage", took)
	}
}

// A discovery that answers watches at once without changes is not asked in a tight loop. A watch that shows restarted
// version numbers is followed by a request for the whole list.
func TestUnusualWatchAnswers(t *testing.T) {
	t.Parallel()
	d, s, r := follow(t, answersWithList(3, true, entryText("a", "Ready")), answersWithList(3, false))
	testkit.Receive(t, s.lists, "first list")
	begun := time.Now()
	testkit.Eventually(t, "received ten requests", func() bool { return d.received.Load() >= 11 })
	if took := time.Since(begun); took < 9*emptyAnswerPause {
		t.Errorf("ten requests took %v, want pauses between them", took)
	}
	if r.Failed.Load() != 0 {
		t.Error("counted a failure, want none")
	}

	_, s, _ = follow(t,
		answersWithList(30, true, entryText("a", "Ready")),
		answersWithList(2, false, entryText("b", "Ready")),
		answersWithList(2, true, entryText("c", "Ready")),
		neverAnswers,
	)
	testkit.Receive(t, s.lists, "first list")
	if l := testkit.Receive(t, s.lists, "list with restarted versions"); !l.Whole || l.Hosts[0].Name != "c" {
		t.Errorf("got %+v, want the whole list", l)
	}
}

// A discovery that is slower than the initial limit for an answer is understood in the end, and from then on.
func TestSlowDiscovery(t *testing.T) {
	t.Parallel()
	slow := func(text string) answerFunc {
		return func(nc net.Conn, end chan struct{}) {
			select {
			case <-end:
			case <-time.After(initialFirstByteTimeout + minFirstByteTimeout/4):
				answersWith(text)(nc, end)
			}
		}
	}
	_, s, r := follow(t,
		slow(listText(1, true, entryText("a", "Ready"))),
		slow(listText(1, true, entryText("a", "Ready"))),
		slow(listText(2, false, entryText("a", "Terminating"))),
		neverAnswers,
	)
	testkit.Receive(t, s.lists, "first list")
	if l := testkit.Receive(t, s.lists, "change"); !l.Hosts[0].Draining || r.Failed.Load() != 1 {
		t.Errorf("got %+v after %d failures, want one failure", l, r.Failed.Load())
	}
}

// answersInChunks answers with a body in the chunked transfer coding, seven bytes to a chunk.
func answersInChunks(text string) answerFunc {
	return func(nc net.Conn, _ chan struct{}) {
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for chunk := range slices.Chunk([]byte(text), 7) {
			fmt.Fprintf(nc, "%x\r\n%s\r\n", len(chunk), chunk)
		}
		io.WriteString(nc, "0\r\n\r\n")
	}
}

// TestListsInChunksAreRead guards against a discovery that sends its lists in chunks and is never heard (review case 10): the
// sender keeps calling endpoints that have been drained. The list and the change behind it come on connections that are kept.
func TestListsInChunksAreRead(t *testing.T) {
	_, s, _ := follow(t,
		answersInChunks(listText(1, true, entryText("a", "Ready"))),
		answersInChunks(listText(2, false, entryText("a", "Terminating"))),
		neverAnswers)
	if l := testkit.Receive(t, s.lists, "first list"); !l.Whole || len(l.Hosts) != 1 || l.Hosts[0].Draining {
		t.Errorf("first list %+v", l)
	}
	if l := testkit.Receive(t, s.lists, "change"); l.Whole || len(l.Hosts) != 1 || !l.Hosts[0].Draining {
		t.Errorf("change %+v", l)
	}
	if n := len(s.failed); n > 0 {
		t.Errorf("%d lists failed", n)
	}
}
