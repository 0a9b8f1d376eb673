// This file owns the stand-in discovery for many senders: one list with its changes, and a gateway for each sender,
// which counts the sender's traffic and can go down or be cut off. It answers a watch with the changes since a version,
// as the protocol defines it. It must never judge a sender.

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

// maxUpdates is how many updates of single entries are kept. A watch from a version before them gets the full list.
const maxUpdates = 100_000

// Buffer sizes of a connection, in bytes.
const (
	requestBuffer = 1 << 10
	maxCopiedBody = 1 << 16 // a response with a smaller body is assembled in memory and written at once
)

// discovery holds the list and its updates.
type discovery struct {
	onNotice func(id, result string)

	mu          sync.Mutex
	seq         int64
	entries     []string       // encoded; "" for one that has gone
	index       map[string]int // in entries, by host
	updates     []update       // oldest first
	changed     chan struct{}  // closed at the next version
	fullList    []byte         // encoded, of version fullListSeq
	fullListSeq int64

	openWatches, maxWatches atomic.Int64
}

// update is an encoded entry with the version in which it came.
type update struct {
	seq   int64
	entry string
}

func newDiscovery(entries []platform.Entry, onNotice func(id, result string)) *discovery {
	d := &discovery{onNotice: onNotice, index: map[string]int{}, changed: make(chan struct{})}
	d.publish(entries...)
	d.updates = nil
	return d
}

// publish adds, changes and removes entries as one new version.
func (d *discovery) publish(entries ...platform.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for _, e := range entries {
		encoded, _ := json.Marshal(e) // plain values always encode
		at, listed := d.index[e.Host]
		switch {
		case e.Health == "Gone" && listed:
			d.entries[at] = ""
			delete(d.index, e.Host)
		case e.Health == "Gone":
		case listed:
			d.entries[at] = string(encoded)
		default:
			d.index[e.Host] = len(d.entries)
			d.entries = append(d.entries, string(encoded))
		}
		d.updates = append(d.updates, update{d.seq, string(encoded)})
	}
	if excess := len(d.updates) - maxUpdates; excess > 0 {
		// A version is kept whole or not at all.
		for excess < len(d.updates) && d.updates[excess].seq == d.updates[excess-1].seq {
			excess++
		}
		d.updates = append([]update(nil), d.updates[excess:]...)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// fullListBody returns the encoded full list. It is encoded once for each version that is requested.
func (d *discovery) fullListBody() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fullListSeq != d.seq {
		var b bytes.Buffer
		fmt.Fprintf(&b, `{"seq":%d,"whole":true,"hosts":[`, d.seq)
		first := true
		for _, entry := range d.entries {
			if entry == "" {
				continue
			}
			if !first {
				b.WriteByte(',')
			}
			first = false
			b.WriteString(entry)
		}
		b.WriteString("]}")
		d.fullList, d.fullListSeq = b.Bytes(), d.seq
	}
	return d.fullList
}

// updatesSince returns the encoded updates after a version and whether there are any. known is false if the updates
// since that version are not kept, so that only the full list has them.
func (d *discovery) updatesSince(after int64) (body []byte, hasUpdates, known bool) {
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
	for i, u := range d.updates[from:] {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(u.entry)
	}
	b.WriteString("]}")
	return b.Bytes(), from < len(d.updates), true
}

// nextChange returns a channel that is closed at the next version.
func (d *discovery) nextChange() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// gatewayCounts is the traffic that has passed a gateway.
type gatewayCounts struct {
	calls     int64 // requests for the list
	fullLists int64 // of these, the ones answered with the full list
	notices   int64 // requests that deliver notices
	received  int64 // bytes from the sender
	sent      int64 // bytes to the sender
}

// gateway is the address at which one sender reaches discovery.
type gateway struct {
	discovery *discovery
	addr      string

	calls, fullLists, notices, received, sent atomic.Int64

	mu      sync.Mutex
	srv     *platform.Server
	stopped chan struct{} // closed when the gateway goes down
	cutOff  bool
	upSince time.Time // when it last started or stopped being cut off
}

func newGateway(d *discovery, addr string) (*gateway, error) {
	g := &gateway{discovery: d, addr: addr}
	return g, g.start()
}

func (g *gateway) counts() gatewayCounts {
	return gatewayCounts{
		calls:     g.calls.Load(),
		fullLists: g.fullLists.Load(),
		notices:   g.notices.Load(),
		received:  g.received.Load(),
		sent:      g.sent.Load(),
	}
}

func (c gatewayCounts) minus(o gatewayCounts) gatewayCounts {
	return gatewayCounts{
		calls:     c.calls - o.calls,
		fullLists: c.fullLists - o.fullLists,
		notices:   c.notices - o.notices,
		received:  c.received - o.received,
		sent:      c.sent - o.sent,
	}
}

// start makes discovery reachable.
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

// stop simulates a crashed discovery: connections are reset and new ones refused.
func (g *gateway) stop() {
	g.mu.Lock()
	srv, stopped := g.srv, g.stopped
	g.srv = nil
	g.mu.Unlock()
	if srv != nil {
		close(stopped)
		srv.Close()
	}
}

// setCutOff simulates a network partition: connections stay open, but no response passes. At its end the connections
// are closed, which breaks the calls that hung meanwhile.
func (g *gateway) setCutOff(cutOff bool) {
	g.mu.Lock()
	g.cutOff = cutOff
	if !cutOff {
		g.upSince = time.Now()
	}
	srv := g.srv
	g.mu.Unlock()
	if !cutOff && srv != nil {
		srv.CloseConnections()
	}
}

// closeConnections closes the open connections; new ones are accepted immediately.
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

// countingConn counts the bytes that pass a connection.
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
	stopped := g.stopped
	g.mu.Unlock()
	c := countingConn{nc, g}
	br := bufio.NewReaderSize(c, requestBuffer)
	for {
		req, body, err := platform.ReadRequest(br)
		if err != nil {
			return
		}
		var status int
		var response []byte
		if !g.isCutOff() {
			status, response = g.handle(req, body, stopped)
		}
		if g.isCutOff() || status == 0 {
			_, _ = br.Peek(1) // blocks until either side closes the connection
			return
		}
		if err := writeResponse(c, status, response); err != nil || req.Close {
			return
		}
	}
}

// writeResponse writes a response without copying a large body, which may be a full list.
func writeResponse(c net.Conn, status int, body []byte) error {
	if len(body) < maxCopiedBody {
		_, err := c.Write(http1.AppendResponse(nil, status, nil, body))
		return err
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n", status, len(body)); err != nil {
		return err
	}
	_, err := c.Write(body)
	return err
}

// handle answers one request with a status and a body.
func (g *gateway) handle(req *http1.Request, body []byte, stopped <-chan struct{}) (int, []byte) {
	u, err := url.Parse(req.Target)
	switch {
	case err != nil:
		return 400, nil
	case u.Path == "/status" && req.Method == "POST":
		g.notices.Add(1)
		return g.handleNotices(body), nil
	case u.Path == "/registry/instances" && req.Method == "GET":
		g.calls.Add(1)
		return 200, g.handleWatch(u.Query(), stopped)
	}
	return 404, nil
}

// handleNotices records notices, one JSON object a line, and returns the status.
func (g *gateway) handleNotices(body []byte) int {
	for line := range bytes.Lines(body) {
		var notice struct{ Ref, Result string }
		if json.Unmarshal(line, &notice) != nil {
			return 400
		}
		g.discovery.onNotice(notice.Ref, notice.Result)
	}
	return 204
}

// handleWatch returns the updates since the requested version: at once if there are any, otherwise when some come or
// the wait is over. A request without a version gets the full list.
func (g *gateway) handleWatch(q url.Values, stopped <-chan struct{}) []byte {
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		g.fullLists.Add(1)
		return g.discovery.fullListBody()
	}
	waitMS, _ := strconv.Atoi(q.Get("wait_ms")) // 0 if missing
	timeout := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timeout.Stop()
	g.discovery.addOpenWatches(1)
	defer g.discovery.addOpenWatches(-1)
	for {
		next := g.discovery.nextChange()
		body, hasUpdates, known := g.discovery.updatesSince(after)
		if !known {
			g.fullLists.Add(1)
			return g.discovery.fullListBody()
		}
		if hasUpdates {
			return body
		}
		select {
		case <-next:
		case <-stopped:
			return body
		case <-timeout.C:
			return body
		}
	}
}

// addOpenWatches counts open watches and their maximum.
func (d *discovery) addOpenWatches(n int64) {
	if open := d.openWatches.Add(n); open > d.maxWatches.Load() {
		d.maxWatches.Store(open) // two watches that begin at the same time may leave it one too low
	}
}

// changedHostPrefix begins the names of the endpoints that changes create; the number of the change follows.
const changedHostPrefix = "g-"

// changeNumber returns the number of the change that created an endpoint, from the endpoint's name; false for an
// endpoint of the initial list.
func changeNumber(host string) (int, bool) {
	digits, ok := strings.CutPrefix(host, changedHostPrefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(digits)
	return n, err == nil
}
