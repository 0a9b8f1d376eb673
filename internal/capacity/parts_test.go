// This file measures the ledger and the client of discovery (package registry), each alone.

package capacity

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"eiderhaven/internal/exchange"
	"eiderhaven/internal/http1"
	"eiderhaven/internal/ledger"
	"eiderhaven/internal/message"
	"eiderhaven/internal/registry"
	"eiderhaven/internal/settings"
	"eiderhaven/standin/platform"
)

const maxLedgerBytes = 1e9

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// BenchmarkLedger measures what an unfinished message takes on disk and in memory, and the time to open a ledger, for
// two sizes of message bodies.
func BenchmarkLedger(b *testing.B) {
	for _, size := range []int{5, 1000} {
		b.Run(fmt.Sprintf("bodies of %d B", size), func(b *testing.B) {
			measure(b, 3, "messages owed", []int{10_000, 30_000, 60_000, 100_000}, func(n int) map[string]float64 {
				dir, err := os.MkdirTemp("", "capacity")
				if err != nil {
					b.Fatal(err)
				}
				defer os.RemoveAll(dir)
				led, err := ledger.Open(dir, maxLedgerBytes, exchange.IDRetention(nil), discardLog)
				if err != nil {
					b.Fatal(err)
				}
				before := liveHeapBytes()
				start := time.Now()
				for i := range n {
					m := &message.Message{
						ID:       fmt.Sprintf("m%09d", i),
						Class:    "stock",
						Dest:     7,
						Deadline: time.Now().Add(time.Hour),
						Body:     make([]byte, size),
					}
					if err := led.RecordAccepted(m); err != nil {
						b.Fatal(err)
					}
				}
				writeTime := time.Since(start)
				memory := liveHeapBytes() - before
				runtime.KeepAlive(led)
				led.Close()
				disk := fileBytes(dir)
				start = time.Now()
				led, err = ledger.Open(dir, maxLedgerBytes, exchange.IDRetention(nil), discardLog)
				if err != nil {
					b.Fatal(err)
				}
				pending := led.Pending()
				openTime := time.Since(start)
				led.Close()
				if len(pending) != n {
					b.Errorf("%d messages pending after reopening, want %d", len(pending), n)
				}
				return map[string]float64{
					"a: bytes on disk":                       disk,
					"b: bytes in memory, messages with them": memory,
					"c: us a record written":                 writeTime.Seconds() * 1e6 / float64(n),
					"d: ms to open and list":                 openTime.Seconds() * 1000,
				}
			})
		})
	}
}

// fileBytes returns the size of the files in a directory, in bytes.
func fileBytes(dir string) float64 {
	files, _ := filepath.Glob(filepath.Join(dir, "*"))
	sum := 0.0
	for _, f := range files {
		if info, err := os.Stat(f); err == nil {
			sum += float64(info.Size())
		}
	}
	return sum
}

// discovery is an outside discovery service. It answers with the whole list or the changes since a version, waits for a
// change if a request asks for that, and counts requests and bytes.
type discovery struct {
	*platform.Server
	addr             string
	mu               sync.Mutex // guards the fields from seq to maxOpenWatches
	seq              int        // version of the list
	entries          []byte     // the list of version 1, as a JSON array
	changes          [][]byte   // the changed entry of each version from 2 on
	changed          chan struct{}
	closesOnRequest  bool // requests for changes are not answered
	firstAnswerEmpty bool // a request for the whole list is answered with no changes instead
	openWatches      int  // requests that wait for a change
	maxOpenWatches   int

	requests          atomic.Int64
	wholeLists        atomic.Int64 // whole lists sent
	notices           atomic.Int64
	bytesIn, bytesOut atomic.Int64
	noticeRequests    atomic.Int64 // requests with notices
	noticeBytes       atomic.Int64 // size of their bodies and of the responses
}

// countingConn adds the bytes that pass on a connection to discovery's counters.
type countingConn struct {
	net.Conn
	d *discovery
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.d.bytesIn.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.d.bytesOut.Add(int64(n))
	return n, err
}

// encodeEntry returns the list entry of destination i with one endpoint at the address dial.
func encodeEntry(i int, dial, health string) []byte {
	const bornMS = 1764650000000 // any time in the past
	entry := platform.Entry{
		Host:   fmt.Sprintf("s-%08x", i),
		Dial:   dial,
		Site:   "here",
		Class:  "any",
		Block:  i,
		Health: health,
		Share:  1,
		Born:   bornMS,
	}
	text, _ := json.Marshal(entry) // cannot fail for these types
	return text
}

// encodeEntries returns a JSON array with entries of n destinations, which use the given addresses in rotation.
func encodeEntries(n int, dials ...string) []byte {
	out := []byte("[")
	for i := range n {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, encodeEntry(i, dials[i%len(dials)], "Ready")...)
	}
	return append(out, ']')
}

// newDiscovery starts discovery with these entries as version 1 of its list. It is closed at the end of the benchmark.
func newDiscovery(b *testing.B, entries []byte) *discovery {
	d := &discovery{seq: 1, entries: entries, changed: make(chan struct{})}
	d.listen(b, "127.0.0.1:0")
	b.Cleanup(func() { d.Close() })
	return d
}

func (d *discovery) listen(b *testing.B, addr string) {
	var err error
	if d.Server, err = platform.ListenRaw(addr, d.serve); err != nil {
		b.Fatal(err)
	}
	d.addr = d.Addr()
}

func (d *discovery) serve(nc net.Conn) {
	nc = countingConn{nc, d}
	br := bufio.NewReader(nc)
	for {
		req, body, err := platform.ReadRequest(br)
		if err != nil {
			return
		}
		d.requests.Add(1)
		resp := &http1.Response{Status: 200}
		if req.Method == "POST" {
			resp.Status = 204
			d.notices.Add(int64(bytes.Count(body, []byte("\n"))))
		} else if resp.Body = d.listResponse(req.Target); resp.Body == nil {
			return
		}
		text := http1.AppendResponse(nil, resp.Status, nil, resp.Body)
		if req.Method == "POST" {
			d.noticeRequests.Add(1)
			d.noticeBytes.Add(int64(len(body) + len(text)))
		}
		if _, err := nc.Write(text); err != nil {
			return
		}
	}
}

// totalBytes returns the number of bytes received and sent so far.
func (d *discovery) totalBytes() int64 { return d.bytesIn.Load() + d.bytesOut.Load() }

// listResponse returns the body of the response to a request for the list, or nil to close the connection.
func (d *discovery) listResponse(target string) []byte {
	u, err := url.Parse(target)
	if err != nil {
		return nil
	}
	after, err := strconv.Atoi(u.Query().Get("after"))
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil && d.firstAnswerEmpty {
		return fmt.Appendf(nil, `{"seq":%d,"whole":false,"hosts":[]}`, d.seq)
	}
	if err != nil {
		d.wholeLists.Add(1)
		return fmt.Appendf(nil, `{"seq":%d,"whole":true,"hosts":%s}`, d.seq, d.entries)
	}
	if after == d.seq {
		waitMS, _ := strconv.Atoi(u.Query().Get("wait_ms"))
		d.openWatches++
		d.maxOpenWatches = max(d.maxOpenWatches, d.openWatches)
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(waitMS) * time.Millisecond):
		}
		d.mu.Lock()
		d.openWatches--
	}
	if d.closesOnRequest {
		return nil
	}
	changes := bytes.Join(d.changes[max(0, after-1):], []byte(","))
	return fmt.Appendf(nil, `{"seq":%d,"whole":false,"hosts":[%s]}`, d.seq, changes)
}

// addChange adds a version of the list in which one entry has changed.
func (d *discovery) addChange(entry []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	d.changes = append(d.changes, entry)
	close(d.changed)
	d.changed = make(chan struct{})
}

// listTimes gets the times at which a client of discovery has decoded a list or a change.
type listTimes struct{ received chan time.Time }

func (t *listTimes) ApplyListing(exchange.Listing) { t.received <- time.Now() }
func (t *listTimes) ListFailed()                   {}
func (t *listTimes) NoticesAccepted([]string)      {}

// startClient starts a client of discovery, which runs until ctx ends.
func startClient(ctx context.Context, addr string, wg *sync.WaitGroup) *listTimes {
	const maxUnread = 10_000 // times; more than any benchmark receives
	times := &listTimes{make(chan time.Time, maxUnread)}
	names := &settings.Names{Kinds: []string{"any"}, Zones: []string{"here"}}
	r := registry.New(registry.NewAddress(addr), names, discardLog)
	wg.Go(func() { r.Run(ctx, times) })
	return times
}

// BenchmarkWholeList measures what a whole list costs, from the request until the client has decoded it.
func BenchmarkWholeList(b *testing.B) {
	measure(b, 3, "entries", []int{4000, 8000, 16_000, 30_000}, func(n int) map[string]float64 {
		d := newDiscovery(b, encodeEntries(n, endpointAddr))
		defer d.Close()
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		start := time.Now()
		received := <-startClient(ctx, d.addr, &wg).received
		runtime.ReadMemStats(&after)
		cancel()
		wg.Wait()
		return map[string]float64{
			"a: bytes on the wire":           float64(d.bytesOut.Load()),
			"b: ms from asking to read":      received.Sub(start).Seconds() * 1000,
			"c: bytes allocated, both sides": float64(after.TotalAlloc - before.TotalAlloc),
		}
	})
}

// BenchmarkChangeHeard measures the time from a change until each of 64 clients of discovery has received it, and the
// requests and bytes that this takes: for single changes, and for one made during an outage in which discovery refuses
// connections or accepts them and does not answer. After an outage the time counts from discovery's return.
func BenchmarkChangeHeard(b *testing.B) {
	const (
		clients    = 64
		runs       = 2
		changes    = 50              // single changes of a run
		halfOutage = 3 * time.Second // before and after the change
	)
	for b.Loop() {
		for _, how := range []string{"open watches", "discovery closed for 6 s", "discovery silent for 6 s"} {
			var delays []time.Duration
			var requests, sentBytes int64
			for range runs {
				d := newDiscovery(b, encodeEntries(1000, endpointAddr))
				ctx, cancel := context.WithCancel(context.Background())
				var wg sync.WaitGroup
				var all []*listTimes
				for range clients {
					all = append(all, startClient(ctx, d.addr, &wg))
				}
				for _, times := range all {
					<-times.received
				}
				time.Sleep(200 * time.Millisecond) // until all clients watch

				// measureChange publishes a change, waits until all clients have received it and then for the time
				// rest, and adds the delays, requests and bytes since the start.
				measureChange := func(publish func(), rest time.Duration) {
					start, requestsBefore, bytesBefore := time.Now(), d.requests.Load(), d.totalBytes()
					publish()
					for _, times := range all {
						delays = append(delays, (<-times.received).Sub(start))
					}
					time.Sleep(rest)
					requests += d.requests.Load() - requestsBefore
					sentBytes += d.totalBytes() - bytesBefore
				}
				switch how {
				case "open watches":
					for i := range changes {
						publish := func() { d.addChange(encodeEntry(i, changedAddr, "Ready")) }
						measureChange(publish, 20*time.Millisecond) // until all clients watch again
					}
				case "discovery closed for 6 s":
					d.Close()
					time.Sleep(halfOutage)
					d.addChange(encodeEntry(1, changedAddr, "Ready"))
					time.Sleep(halfOutage)
					measureChange(func() { d.listen(b, d.addr) }, 0)
				case "discovery silent for 6 s":
					addr := d.addr
					d.Close() // replaced by a server that reads requests and never answers
					silent, err := platform.ListenRaw(addr, func(nc net.Conn) { io.Copy(io.Discard, nc) })
					if err != nil {
						b.Fatal(err)
					}
					time.Sleep(halfOutage)
					d.addChange(encodeEntry(1, changedAddr, "Ready"))
					time.Sleep(halfOutage)
					measureChange(func() {
						silent.Close() // closes the connections made during the outage, too
						d.listen(b, addr)
					}, 0)
				}
				cancel()
				wg.Wait()
				d.Close()
			}
			n := float64(len(delays))
			printResult("%s, %d clients: %s; %.2f calls and %.0f bytes for each client and change\n",
				how, clients, formatQuantiles(delays), float64(requests)/n, float64(sentBytes)/n)
		}
	}
	b.ReportMetric(0, "ns/op")
}
