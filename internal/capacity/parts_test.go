// This file measures the ledger and the client of discovery, each by itself.

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

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// BenchmarkLedger is what an owed message takes on disk and in memory, and how long the folder takes to open, by the size of
// bodies.
func BenchmarkLedger(b *testing.B) {
	for _, size := range []int{5, 1000} {
		b.Run(fmt.Sprintf("bodies of %d B", size), func(b *testing.B) {
			measure(b, 3, "messages owed", []int{10_000, 30_000, 60_000, 100_000}, func(n int) map[string]float64 {
				dir, err := os.MkdirTemp("", "capacity")
				if err != nil {
					b.Fatal(err)
				}
				defer os.RemoveAll(dir)
				led, err := ledger.Open(dir, 1e9, quiet)
				if err != nil {
					b.Fatal(err)
				}
				before := heap()
				began := time.Now()
				for i := range n {
					m := &message.Message{ID: fmt.Sprintf("m%09d", i), Class: "stock", Dest: 7, Deadline: time.Now().Add(time.Hour), Body: make([]byte, size)}
					if err := led.RecordAccepted(m); err != nil {
						b.Fatal(err)
					}
				}
				took := time.Since(began)
				bytes := heap() - before
				runtime.KeepAlive(led)
				led.Close()
				files, _ := filepath.Glob(filepath.Join(dir, "*"))
				disk := 0.0
				for _, f := range files {
					if info, err := os.Stat(f); err == nil {
						disk += float64(info.Size())
					}
				}
				began = time.Now()
				led, err = ledger.Open(dir, 1e9, quiet)
				if err != nil {
					b.Fatal(err)
				}
				owed := led.Pending()
				opened := time.Since(began)
				led.Close()
				if len(owed) != n {
					b.Errorf("%d owed, want %d", len(owed), n)
				}
				return map[string]float64{"a: bytes on disk": disk, "b: bytes in memory, messages with them": bytes,
					"c: us a record written": took.Seconds() * 1e6 / float64(n), "d: ms to open and list": opened.Seconds() * 1000}
			})
		})
	}
}

// discovery hands out a list and the changes since, waits as it is asked to, and counts all that passes.
type discovery struct {
	*platform.Server
	addr     string
	mu       sync.Mutex
	seq      int
	whole    []byte
	changes  [][]byte // entries, one a version
	changed  chan struct{}
	muted    bool
	partial  bool // the first answer names nothing and is not the whole list
	open     int  // watches
	mostOpen int
	calls    atomic.Int64
	wholes   atomic.Int64
	notices  atomic.Int64
	in, out  atomic.Int64 // bytes
	posted   atomic.Int64 // requests with notices
	posts    atomic.Int64 // bytes of them and of the answers
}

type counted struct {
	net.Conn
	d *discovery
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.d.in.Add(int64(n))
	return n, err
}

func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.d.out.Add(int64(n))
	return n, err
}

func entry(i int, dial, health string) []byte {
	text, _ := json.Marshal(platform.Entry{Host: fmt.Sprintf("s-%08x", i), Dial: dial, Site: "here", Class: "any", Block: i, Health: health, Share: 1,
		Born: 1764650000000}) // plain values always encode
	return text
}

// entries is a list of so many destinations at these addresses in turn.
func entries(n int, dials ...string) []byte {
	out := []byte("[")
	for i := range n {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, entry(i, dials[i%len(dials)], "Ready")...)
	}
	return append(out, ']')
}

func newDiscovery(b *testing.B, whole []byte) *discovery {
	d := &discovery{seq: 1, whole: whole, changed: make(chan struct{})}
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
	nc = counted{nc, d}
	br := bufio.NewReader(nc)
	for {
		req, body, err := platform.ReadRequest(br)
		if err != nil {
			return
		}
		d.calls.Add(1)
		resp := &http1.Response{Status: 200}
		if req.Method == "POST" {
			resp.Status = 204
			d.notices.Add(int64(bytes.Count(body, []byte("\n"))))
		} else if resp.Body = d.answer(req.Target); resp.Body == nil {
			return
		}
		text := http1.AppendResponse(nil, resp.Status, nil, resp.Body)
		if req.Method == "POST" {
			d.posted.Add(1)
			d.posts.Add(int64(len(body) + len(text)))
		}
		if _, err := nc.Write(text); err != nil {
			return
		}
	}
}

func (d *discovery) answer(target string) []byte {
	u, err := url.Parse(target)
	if err != nil {
		return nil
	}
	after, err := strconv.Atoi(u.Query().Get("after"))
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil && d.partial {
		return fmt.Appendf(nil, `{"seq":%d,"whole":false,"hosts":[]}`, d.seq)
	}
	if err != nil {
		d.wholes.Add(1)
		return fmt.Appendf(nil, `{"seq":%d,"whole":true,"hosts":%s}`, d.seq, d.whole)
	}
	if after == d.seq {
		wait, _ := strconv.Atoi(u.Query().Get("wait_ms"))
		d.open++
		d.mostOpen = max(d.mostOpen, d.open)
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
		d.mu.Lock()
		d.open--
	}
	if d.muted {
		return nil
	}
	return fmt.Appendf(nil, `{"seq":%d,"whole":false,"hosts":[%s]}`, d.seq, bytes.Join(d.changes[max(0, after-1):], []byte(",")))
}

// change tells of one more version of an entry.
func (d *discovery) change(text []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	d.changes = append(d.changes, text)
	close(d.changed)
	d.changed = make(chan struct{})
}

// heard is what a client of discovery was told, and when.
type heard struct{ lists chan time.Time }

func (h *heard) ApplyListing(exchange.Listing) { h.lists <- time.Now() }
func (h *heard) ListFailed()                   {}
func (h *heard) NoticesAccepted([]string)      {}

// follow starts a client of discovery and returns what it hears.
func follow(ctx context.Context, addr string, wg *sync.WaitGroup) *heard {
	h := &heard{make(chan time.Time, 10_000)}
	r := registry.New(registry.NewAddress(addr), &settings.Names{Kinds: []string{"any"}, Zones: []string{"here"}}, quiet)
	wg.Go(func() { r.Run(ctx, h) })
	return h
}

// BenchmarkWholeList is what a whole list costs, from the asking to its being read.
func BenchmarkWholeList(b *testing.B) {
	measure(b, 3, "entries", []int{4000, 8000, 16_000, 30_000}, func(n int) map[string]float64 {
		d := newDiscovery(b, entries(n, "127.0.0.1:9000"))
		defer d.Close()
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		began := time.Now()
		at := <-follow(ctx, d.addr, &wg).lists
		runtime.ReadMemStats(&after)
		cancel()
		wg.Wait()
		return map[string]float64{"a: bytes on the wire": float64(d.out.Load()), "b: ms from asking to read": at.Sub(began).Seconds() * 1000,
			"c: bytes allocated, both sides": float64(after.TotalAlloc - before.TotalAlloc)}
	})
}

// BenchmarkChangeHeard is how long after a change each of 64 clients of discovery has heard of it, and what that takes: one at a
// time, and after an outage in which discovery refuses connections or says nothing.
func BenchmarkChangeHeard(b *testing.B) {
	const clients = 64
	for b.Loop() {
		for _, how := range []string{"open watches", "discovery closed for 6 s", "discovery silent for 6 s"} {
			var seen []time.Duration
			var calls, sent int64
			for range 2 {
				d := newDiscovery(b, entries(1000, "127.0.0.1:9000"))
				ctx, cancel := context.WithCancel(context.Background())
				var wg sync.WaitGroup
				var all []*heard
				for range clients {
					all = append(all, follow(ctx, d.addr, &wg))
				}
				for _, h := range all {
					<-h.lists
				}
				time.Sleep(200 * time.Millisecond)
				switch how {
				case "open watches":
					for i := range 50 {
						began, before, bytes := time.Now(), d.calls.Load(), d.in.Load()+d.out.Load()
						d.change(entry(i, "127.0.0.1:9001", "Ready"))
						for _, h := range all {
							seen = append(seen, (<-h.lists).Sub(began))
						}
						time.Sleep(20 * time.Millisecond) // until all watch again
						calls, sent = calls+d.calls.Load()-before, sent+d.in.Load()+d.out.Load()-bytes
					}
				case "discovery closed for 6 s":
					d.Close()
					time.Sleep(3 * time.Second)
					d.change(entry(1, "127.0.0.1:9001", "Ready"))
					time.Sleep(3 * time.Second)
					began, before, bytes := time.Now(), d.calls.Load(), d.in.Load()+d.out.Load()
					d.listen(b, d.addr)
					for _, h := range all {
						seen = append(seen, (<-h.lists).Sub(began))
					}
					calls, sent = calls+d.calls.Load()-before, sent+d.in.Load()+d.out.Load()-bytes
				case "discovery silent for 6 s":

					addr := d.addr
					d.Close() // its place is taken by one that reads and says nothing
					mute, err := platform.ListenRaw(addr, func(nc net.Conn) { io.Copy(io.Discard, nc) })
					if err != nil {
						b.Fatal(err)
					}
					time.Sleep(3 * time.Second)
					d.change(entry(1, "127.0.0.1:9001", "Ready"))
					time.Sleep(3 * time.Second)

					// What was opened stays silent: only its listener goes, as after a switch's return.
					began, before, bytes := time.Now(), d.calls.Load(), d.in.Load()+d.out.Load()
					mute.Close()
					d.listen(b, addr)
					for _, h := range all {
						seen = append(seen, (<-h.lists).Sub(began))
					}
					calls, sent = calls+d.calls.Load()-before, sent+d.in.Load()+d.out.Load()-bytes
				}
				cancel()
				wg.Wait()
				d.Close()
			}
			n := float64(len(seen))
			say("%s, %d clients: %s; %.2f calls and %.0f bytes for each client and change\n", how, clients, quantiles(seen), float64(calls)/n, float64(sent)/n)
		}
	}
	b.ReportMetric(0, "ns/op")
}
