// Package proxy relays connections between a client and a server that are both well, and spoils the responses on their
// way: it copies, splits, joins, delays, cuts and injects them, or lets a connection bring nothing, by seed. It owns its listener and connections. It must
// never change a request, nor open a connection to the server that no client asked for.
package proxy

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"eiderhaven/internal/http1"
)

// maxBodyBytes limits the body of a relayed response. It is the length of a long list.
const maxBodyBytes = 64 << 20

// Counts are the faults that proxies have played. Several proxies may share them.
type Counts struct {
	Responses, Copies, Splits, Joins, Delays, Cuts, Injections, Mutes atomic.Int64
}

// Config is what a proxy starts with.
type Config struct {
	Target string // address of the server
	Faults Faults
	Random func(conn int) *rand.Rand // randomness of each connection, numbered from 0 in the order of acceptance; -1: of the proxy
	Counts *Counts
}

// Proxy relays connections. Create it with Listen.
type Proxy struct {
	cfg       Config
	ln        net.Listener
	wg        sync.WaitGroup
	started   time.Time
	muteBegin float64 // of the spells, see Faults.drawMute

	mu    sync.Mutex
	open  map[net.Conn]bool // both sides
	ended bool
}

// Listen starts a proxy at an address.
func Listen(addr string, cfg Config) (*Proxy, error) {
	if err := cfg.Faults.Check(); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &Proxy{cfg: cfg, ln: ln, open: map[net.Conn]bool{}, started: time.Now()}
	if cfg.Faults.Mute > 0 {
		p.muteBegin = cfg.Random(-1).Float64()
	}
	p.wg.Go(p.accept)
	return p, nil
}

// Addr returns the address at which the proxy listens.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// Close ends the proxy and all its connections.
func (p *Proxy) Close() {
	p.ln.Close()
	p.mu.Lock()
	p.ended = true
	for nc := range p.open {
		nc.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

func (p *Proxy) accept() {
	for number := 0; ; number++ {
		client, err := p.ln.Accept()
		if err != nil {
			return
		}
		r := p.cfg.Random(number)
		if p.cfg.Faults.Mute > 0 && p.cfg.Faults.drawMute(r, p.muteBegin, time.Since(p.started)) {
			p.cfg.Counts.Mutes.Add(1)
			p.wg.Go(func() { p.swallow(client) })
			continue
		}
		p.wg.Go(func() { p.relay(client, r) })
	}
}

// track remembers an open connection, so that Close can end it. It returns false if the proxy has ended.
func (p *Proxy) track(nc net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return false
	}
	p.open[nc] = true
	return true
}

// untrack closes a connection and forgets it.
func (p *Proxy) untrack(nc net.Conn) {
	nc.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, nc)
}

// reset makes the next close of a connection a reset, as the kernel does for a process that died.
func reset(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the close is an orderly one
	}
}

// swallow reads what a client sends, and brings it nothing, until the client ends the connection.
func (p *Proxy) swallow(client net.Conn) {
	defer p.untrack(client)
	if p.track(client) {
		_, _ = io.Copy(io.Discard, client) // however it ends
	}
}

// relay relays one connection until either side ends it.
func (p *Proxy) relay(client net.Conn, r *rand.Rand) {
	defer p.untrack(client)
	if !p.track(client) {
		return
	}
	server, err := net.Dial("tcp", p.cfg.Target)
	if err != nil {
		reset(client)
		return
	}
	defer p.untrack(server)
	if !p.track(server) {
		return
	}
	var requests sync.WaitGroup
	defer requests.Wait()
	requests.Go(func() {
		if _, err := io.Copy(server, client); errors.Is(err, syscall.ECONNRESET) {
			reset(server)
		}
		server.Close() // a client that ends its sending has given up what is under way
	})
	w := &responseWriter{nc: client, cfg: &p.cfg}
	defer w.stop()
	if err := w.relayResponses(server, r); errors.Is(err, syscall.ECONNRESET) {
		reset(client)
	}
	client.Close()
}

// responseWriter writes the responses of one connection, and what is added to them.
type responseWriter struct {
	nc  net.Conn
	cfg *Config

	mu      sync.Mutex
	held    []byte // joined responses that wait for the next bytes
	stopped bool
}

// relayResponses relays responses until the server ends the connection, or a response is cut.
func (w *responseWriter) relayResponses(server net.Conn, r *rand.Rand) error {
	br := bufio.NewReader(server)
	for {
		response, err := http1.ReadOneResponse(br, maxBodyBytes)
		if err != nil {
			return err
		}
		w.cfg.Counts.Responses.Add(1)
		if more, err := w.play(response, w.cfg.Faults.draw(r, response.Header.Get("Wait-Ms") != "")); !more {
			return err
		}
	}
}

// play writes one response with its faults. It reports whether the connection goes on.
func (w *responseWriter) play(response *http1.Response, t treatment) (more bool, err error) {
	counts, faults := w.cfg.Counts, w.cfg.Faults
	text := appendResponse(nil, response.Status, response)
	position := int(t.position * float64(len(text)))
	if t.delay > 0 {
		counts.Delays.Add(1)
		time.Sleep(t.delay)
	}
	switch {
	case t.cuts:
		counts.Cuts.Add(1)
		return false, w.write(text[:position])
	case t.joins:
		counts.Joins.Add(1)
		w.hold(text, faults.JoinWait)
	case t.splits:
		counts.Splits.Add(1)
		err = w.writeInParts(text[:position], text[position:], t.splitPause)
	default:
		err = w.write(text)
	}
	if err != nil {
		return false, err
	}
	if t.copies {
		counts.Copies.Add(1)
		w.writeLater(faults.appendCopy(nil, response), t.copyAfter)
	}
	if t.injects {
		counts.Injections.Add(1)
		w.writeLater(http1.AppendResponse(nil, faults.InjectCode, nil, nil), t.copyAfter)
	}
	return !response.Close, nil
}

// write writes bytes behind those that are held back.
func (w *responseWriter) write(text []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.writeLocked(text)
}

func (w *responseWriter) writeLocked(text []byte) error {
	text = append(w.held, text...)
	w.held = nil
	if len(text) == 0 {
		return nil
	}
	_, err := w.nc.Write(text)
	return err
}

// writeInParts writes two parts with a pause between them, and nothing else between.
func (w *responseWriter) writeInParts(first, second []byte, pause time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.writeLocked(first); err != nil {
		return err
	}
	time.Sleep(pause)
	return w.writeLocked(second)
}

// hold keeps bytes back until the next ones are written, but no longer than the given time.
func (w *responseWriter) hold(text []byte, atMost time.Duration) {
	w.mu.Lock()
	w.held = append(w.held, text...)
	w.mu.Unlock()
	w.writeLater(nil, atMost)
}

// writeLater writes bytes after a time, unless the connection has ended by then. A time of 0 writes them at once.
func (w *responseWriter) writeLater(text []byte, after time.Duration) {
	if after <= 0 {
		_ = w.write(text) // the next response meets the same error
		return
	}
	time.AfterFunc(after, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.stopped {
			_ = w.writeLocked(text)
		}
	})
}

// stop drops what was to be written later.
func (w *responseWriter) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
}
