// This file owns the stand-in of discovery at size: one list with its changes, and a gate for each sender, by which it counts,
// goes away and cuts off. It answers a watch with what changed since, as the protocol has it, and must never judge a sender.

package scale

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"eiderhaven/internal/http1"
	"eiderhaven/standin/platform"
)

// keptChanges are told one by one; whoever names an older version gets the whole list.
const keptChanges = 100_000

// discovery is the list.
type discovery struct {
	noticed func(id, result string)

	mu      sync.Mutex
	seq     int64
	texts   []string // the list's entries as they are told; "" for one that has gone
	place   map[string]int
	news    []news // oldest first
	changed chan struct{}
	whole   []byte // of the version wholeAt
	wholeAt int64

	watches, mostWatches atomic.Int64
}

type news struct {
	seq  int64
	text string
}

func newDiscovery(entries []platform.Entry, noticed func(id, result string)) *discovery {
	d := &discovery{noticed: noticed, place: map[string]int{}, changed: make(chan struct{})}
	d.publish(entries...)
	d.news = nil
	return d
}

// publish tells of entries: new ones, changed ones, ones that have gone. All are of one version.
func (d *discovery) publish(entries ...platform.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for _, e := range entries {
		text, _ := json.Marshal(e) // plain values always encode
		at, listed := d.place[e.Host]
		switch {
		case e.Health == "Gone" && listed:
			d.texts[at] = ""
			delete(d.place, e.Host)
		case e.Health == "Gone":
		case listed:
			d.texts[at] = string(text)
		default:
			d.place[e.Host] = len(d.texts)
			d.texts = append(d.texts, string(text))
		}
		d.news = append(d.news, news{d.seq, string(text)})
	}
	if n := len(d.news) - keptChanges; n > 0 {
		for n < len(d.news) && d.news[n].seq == d.news[n-1].seq { // a version is kept whole or not at all
			n++
		}
		d.news = append([]news(nil), d.news[n:]...)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// list is the whole list, made once for each version that somebody asks for.
func (d *discovery) list() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.wholeAt != d.seq {
		var b bytes.Buffer
		fmt.Fprintf(&b, `{"seq":%d,"whole":true,"hosts":[`, d.seq)
		first := true
		for _, text := range d.texts {
			if text == "" {
				continue
			}
			if !first {
				b.WriteByte(',')
			}
			first = false
			b.WriteString(text)
		}
		b.WriteString("]}")
		d.whole, d.wholeAt = b.Bytes(), d.seq
	}
	return d.whole
}

// since is what is new after a version; false if only the whole list tells it.
func (d *discovery) since(after int64) (body []byte, any, told bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if after > d.seq || after < d.seq && (len(d.news) == 0 || d.news[0].seq > after+1) {
		return nil, true, false
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"seq":%d,"whole":false,"hosts":[`, d.seq)
	from := len(d.news)
	for from > 0 && d.news[from-1].seq > after {
		from--
	}
	for i, n := range d.news[from:] {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(n.text)
	}
	b.WriteString("]}")
	return b.Bytes(), from < len(d.news), true
}

func (d *discovery) next() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// gateCounts is what passed a gate.
type gateCounts struct {
	calls, wholes, notices int64 // requests; of them answered with the whole list; posts of notices
	in, out                int64 // bytes from the sender, and to it
}

// gate is the way of one sender to discovery, at an address of its own.
type gate struct {
	d    *discovery
	addr string

	calls, wholes, notices, in, out atomic.Int64

	mu     sync.Mutex
	srv    *platform.Server
	stop   chan struct{} // closed when the gate goes down
	silent bool
	back   time.Time // reachable since
}

func newGate(d *discovery, addr string) (*gate, error) {
	g := &gate{d: d, addr: addr}
	return g, g.up()
}

func (g *gate) counts() gateCounts {
	return gateCounts{g.calls.Load(), g.wholes.Load(), g.notices.Load(), g.in.Load(), g.out.Load()}
}

func (c gateCounts) less(o gateCounts) gateCounts {
	return gateCounts{c.calls - o.calls, c.wholes - o.wholes, c.notices - o.notices, c.in - o.in, c.out - o.out}
}

// up lets discovery be reached.
func (g *gate) up() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stop = make(chan struct{})
	srv, err := platform.ListenRaw(g.addr, g.serve)
	if err != nil {
		return err
	}
	g.srv, g.back = srv, time.Now()
	return nil
}

// down is a discovery that has died: connections are reset and new ones refused.
func (g *gate) down() {
	g.mu.Lock()
	srv, stop := g.srv, g.stop
	g.srv = nil
	g.mu.Unlock()
	if srv != nil {
		close(stop)
		srv.Close()
	}
}

// cut is a network that is cut: connections stay, nothing passes. What hung in it is broken once it is back.
func (g *gate) cut(on bool) {
	g.mu.Lock()
	g.silent = on
	if !on {
		g.back = time.Now()
	}
	srv := g.srv
	g.mu.Unlock()
	if !on && srv != nil {
		srv.CloseConnections()
	}
}

// drop breaks the connections once; new ones are answered at once.
func (g *gate) drop() {
	g.mu.Lock()
	srv := g.srv
	g.mu.Unlock()
	if srv != nil {
		srv.CloseConnections()
	}
}

func (g *gate) reachable() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.back
}

func (g *gate) isSilent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.silent
}

// counted counts what passes a connection.
type counted struct {
	net.Conn
	g *gate
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.g.in.Add(int64(n))
	return n, err
}

func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.g.out.Add(int64(n))
	return n, err
}

// serve answers requests on one connection until it ends.
func (g *gate) serve(nc net.Conn) {
	g.mu.Lock()
	stop := g.stop
	g.mu.Unlock()
	c := counted{nc, g}
	br := bufio.NewReaderSize(c, 1024)
	for {
		req, body, err := platform.ReadRequest(br)
		if err != nil {
			return
		}
		var status int
		var answer []byte
		if !g.isSilent() {
			status, answer = g.answer(req, body, stop)
		}
		if g.isSilent() || status == 0 {
			_, _ = br.Peek(1) // until the sender ends the connection, or this side does
			return
		}
		if err := reply(c, status, answer); err != nil || req.Close {
			return
		}
	}
}

// reply writes an answer without a copy of its body, which may be a whole list.
func reply(c net.Conn, status int, body []byte) error {
	if len(body) < 1<<16 {
		_, err := c.Write(http1.AppendResponse(nil, status, nil, body))
		return err
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n", status, len(body)); err != nil {
		return err
	}
	_, err := c.Write(body)
	return err
}

func (g *gate) answer(req *http1.Request, body []byte, stop <-chan struct{}) (int, []byte) {
	u, err := url.Parse(req.Target)
	switch {
	case err != nil:
		return 400, nil
	case u.Path == "/status" && req.Method == "POST":
		g.notices.Add(1)
		return g.notice(body), nil
	case u.Path == "/registry/instances" && req.Method == "GET":
		g.calls.Add(1)
		return 200, g.watch(u.Query(), stop)
	}
	return 404, nil
}

func (g *gate) notice(body []byte) int {
	for line := range bytes.Lines(body) {
		var n struct{ Ref, Result string }
		if json.Unmarshal(line, &n) != nil {
			return 400
		}
		g.d.noticed(n.Ref, n.Result)
	}
	return 204
}

// watch answers at once if there is news, else when there is or the wait is over.
func (g *gate) watch(q url.Values, stop <-chan struct{}) []byte {
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		g.wholes.Add(1)
		return g.d.list()
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms")) // none is 0
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	g.d.watching(1)
	defer g.d.watching(-1)
	for {
		next := g.d.next()
		body, any, told := g.d.since(after)
		if !told {
			g.wholes.Add(1)
			return g.d.list()
		}
		if any {
			return body
		}
		select {
		case <-next:
		case <-stop:
			return body
		case <-end.C:
			return body
		}
	}
}

func (d *discovery) watching(n int64) {
	if open := d.watches.Add(n); open > d.mostWatches.Load() {
		d.mostWatches.Store(open) // two at once may miss by one
	}
}

// changeOf reads the number of the change that brought an endpoint into being off its name.
func changeOf(host string) (int, bool) {
	text, ok := strings.CutPrefix(host, "g-")
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(text)
	return n, err == nil
}
