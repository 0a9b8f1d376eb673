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
const maxUpdates = 100_000

// discovery is the list.
type discovery struct {
	onNotice func(id, result string)

	mu          sync.Mutex
	seq         int64
	entries     []string // the list's entries as they are told; "" for one that has gone
	index       map[string]int
	updates     []update // oldest first
	changed     chan struct{}
	fullList    []byte // of the version wholeAt
	fullListSeq int64

	openWatches, maxWatches atomic.Int64
}

type update struct {
	seq   int64
	entry string
}

func newDiscovery(entries []platform.Entry, noticed func(id, result string)) *discovery {
	d := &discovery{onNotice: noticed, index: map[string]int{}, changed: make(chan struct{})}
	d.publish(entries...)
	d.updates = nil
	return d
}

// publish tells of entries: new ones, changed ones, ones that have gone. All are of one version.
func (d *discovery) publish(entries ...platform.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for _, e := range entries {
		text, _ := json.Marshal(e) // plain values always encode
		at, listed := d.index[e.Host]
		switch {
		case e.Health == "Gone" && listed:
			d.entries[at] = ""
			delete(d.index, e.Host)
		case e.Health == "Gone":
		case listed:
			d.entries[at] = string(text)
		default:
			d.index[e.Host] = len(d.entries)
			d.entries = append(d.entries, string(text))
		}
		d.updates = append(d.updates, update{d.seq, string(text)})
	}
	if n := len(d.updates) - maxUpdates; n > 0 {
		for n < len(d.updates) && d.updates[n].seq == d.updates[n-1].seq { // a version is kept whole or not at all
			n++
		}
		d.updates = append([]update(nil), d.updates[n:]...)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// list is the whole list, made once for each version that somebody asks for.
func (d *discovery) fullListBody() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fullListSeq != d.seq {
		var b bytes.Buffer
		fmt.Fprintf(&b, `{"seq":%d,"whole":true,"hosts":[`, d.seq)
		first := true
		for _, text := range d.entries {
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
		d.fullList, d.fullListSeq = b.Bytes(), d.seq
	}
	return d.fullList
}

// since is what is new after a version; false if only the whole list tells it.
func (d *discovery) updatesSince(after int64) (body []byte, any, told bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if after > d.seq || after < d.seq && (len(d.updates) == 0 || d.updates[0].seq > after+1) {
		return nil, true, false
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"seq":%d,"whole":false,"hosts":[`, d.seq)
	from := len(d.updates)
	for from > 0 && d.updates[from-1].seq > after {
		from--
	}
	for i, n := range d.updates[from:] {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(n.entry)
	}
	b.WriteString("]}")
	return b.Bytes(), from < len(d.updates), true
}

func (d *discovery) nextChange() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// gateCounts is what passed a gate.
type gatewayCounts struct {
	calls, fullLists, notices int64 // requests; of them answered with the whole list; posts of notices
	received, sent            int64 // bytes from the sender, and to it
}

// gate is the way of one sender to discovery, at an address of its own.
type gateway struct {
	d    *discovery
	addr string

	calls, fullLists, notices, received, sent atomic.Int64

	mu      sync.Mutex
	srv     *platform.Server
	stopped chan struct{} // closed when the gate goes down
	cutOff  bool
	upSince time.Time // reachable since
}

func newGateway(d *discovery, addr string) (*gateway, error) {
	g := &gateway{d: d, addr: addr}
	return g, g.start()
}

func (g *gateway) counts() gatewayCounts {
	return gatewayCounts{g.calls.Load(), g.fullLists.Load(), g.notices.Load(), g.received.Load(), g.sent.Load()}
}

func (c gatewayCounts) minus(o gatewayCounts) gatewayCounts {
	return gatewayCounts{c.calls - o.calls, c.fullLists - o.fullLists, c.notices - o.notices, c.received - o.received, c.sent - o.sent}
}

// up lets discovery be reached.
func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = make(chan struct{})
	srv, err := platform.ListenRaw(g.addr, g.serve)
	if err != nil {
		return err
	}
	g.srv, g.upSince = srv, time.Now()
	return nil
}

// down is a discovery that has died: connections are reset and new ones refused.
func (g *gateway) stop() {
	g.mu.Lock()
	srv, stop := g.srv, g.stopped
	g.srv = nil
	g.mu.Unlock()
	if srv != nil {
		close(stop)
		srv.Close()
	}
}

// cut is a network that is cut: connections stay, nothing passes. What hung in it is broken once it is back.
func (g *gateway) setCutOff(on bool) {
	g.mu.Lock()
	g.cutOff = on
	if !on {
		g.upSince = time.Now()
	}
	srv := g.srv
	g.mu.Unlock()
	if !on && srv != nil {
		srv.CloseConnections()
	}
}

// drop breaks the connections once; new ones are answered at once.
func (g *gateway) closeConnections() {
	g.mu.Lock()
	srv := g.srv
	g.mu.Unlock()
	if srv != nil {
		srv.CloseConnections()
	}
}

func (g *gateway) reachableSince() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.upSince
}

func (g *gateway) isCutOff() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cutOff
}

// counted counts what passes a connection.
type countingConn struct {
	net.Conn
	gateway *gateway
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.gateway.received.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.gateway.sent.Add(int64(n))
	return n, err
}

// serve answers requests on one connection until it ends.
func (g *gateway) serve(nc net.Conn) {
	g.mu.Lock()
	stop := g.stopped
	g.mu.Unlock()
	c := countingConn{nc, g}
	br := bufio.NewReaderSize(c, 1024)
	for {
		req, body, err := platform.ReadRequest(br)
		if err != nil {
			return
		}
		var status int
		var answer []byte
		if !g.isCutOff() {
			status, answer = g.handle(req, body, stop)
		}
		if g.isCutOff() || status == 0 {
			_, _ = br.Peek(1) // until the sender ends the connection, or this side does
			return
		}
		if err := writeResponse(c, status, answer); err != nil || req.Close {
			return
		}
	}
}

// reply writes an answer without a copy of its body, which may be a whole list.
func writeResponse(c net.Conn, status int, body []byte) error {
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

func (g *gateway) handle(req *http1.Request, body []byte, stop <-chan struct{}) (int, []byte) {
	u, err := url.Parse(req.Target)
	switch {
	case err != nil:
		return 400, nil
	case u.Path == "/status" && req.Method == "POST":
		g.notices.Add(1)
		return g.handleNotices(body), nil
	case u.Path == "/registry/instances" && req.Method == "GET":
		g.calls.Add(1)
		return 200, g.handleWatch(u.Query(), stop)
	}
	return 404, nil
}

func (g *gateway) handleNotices(body []byte) int {
	for line := range bytes.Lines(body) {
		var n struct{ Ref, Result string }
		if json.Unmarshal(line, &n) != nil {
			return 400
		}
		g.d.onNotice(n.Ref, n.Result)
	}
	return 204
}

// watch answers at once if there is news, else when there is or the wait is over.
func (g *gateway) handleWatch(q url.Values, stop <-chan struct{}) []byte {
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		g.fullLists.Add(1)
		return g.d.fullListBody()
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms")) // none is 0
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	g.d.addOpenWatches(1)
	defer g.d.addOpenWatches(-1)
	for {
		next := g.d.nextChange()
		body, any, told := g.d.updatesSince(after)
		if !told {
			g.fullLists.Add(1)
			return g.d.fullListBody()
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

func (d *discovery) addOpenWatches(n int64) {
	if open := d.openWatches.Add(n); open > d.maxWatches.Load() {
		d.maxWatches.Store(open) // two at once may miss by one
	}
}

// changeOf reads the number of the change that brought an endpoint into being off its name.
func changeNumber(host string) (int, bool) {
	text, ok := strings.CutPrefix(host, "g-")
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(text)
	return n, err == nil
}
