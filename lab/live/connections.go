// This file owns the connections that senders open to endpoints: it reads requests, passes them to the model and writes
// the model's outcomes as responses. It must never be more lenient than the model: a connection that the model breaks
// is reset on the socket, and a call that the model does not answer gets no response.

package live

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"eiderhaven/internal/http1"
	"eiderhaven/lab/model"
	"eiderhaven/lab/network"
	"eiderhaven/lab/receiver"
	"eiderhaven/rules"
)

// modelKeepAlive is longer than any run, so that the model never expires a connection: the sender closes it on the
// socket.
const modelKeepAlive = 24 * time.Hour

func (r *Receivers) acceptConnections(ln net.Listener, ep *receiver.Endpoint, sender int) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[nc] = true
		r.counts.Connections++
		r.mu.Unlock()
		r.wg.Go(func() {
			defer func() {
				nc.Close()
				r.mu.Lock()
				delete(r.conns, nc)
				r.mu.Unlock()
			}()
			r.serveConnection(nc, ep, sender)
		})
	}
}

// request is one request as read from a connection.
type request struct {
	head   *http1.Request
	body   []byte
	readAt time.Time // when its last byte was read
}

// serveConnection serves one connection until it ends. The model decides whether the connection is accepted, and the
// outcome of each call.
func (r *Receivers) serveConnection(nc net.Conn, ep *receiver.Endpoint, sender int) {
	pool := &network.Pool{KeepAlive: modelKeepAlive}
	var conn *network.Conn
	var limitReached, unresponsive bool
	reset := func() { // as the kernel does for a process that died
		if tc, ok := nc.(*net.TCPConn); ok {
			_ = tc.SetLinger(0) // makes the close a reset; without it the close is an orderly one
		}
		nc.Close()
	}
	ok := r.loop.Do(func() {
		conn, limitReached, unresponsive = ep.Connect(pool, r.loop.Queue.Now())
		if conn != nil {
			conn.OnClose = reset
		}
		if r.watcher != nil {
			r.watcher.ConnectionOpened(sender, ep, conn != nil || unresponsive)
		}
	})
	if !ok {
		return
	}
	if conn == nil && !limitReached && !unresponsive {
		r.updateCounts(func(c *Counts) { c.ConnectionsRefused++ })
		reset()
		return
	}
	requests := make(chan request)
	stop := make(chan struct{})
	defer close(stop)
	r.wg.Go(func() { readRequests(nc, requests, stop) })
	defer func() {
		if conn != nil {
			r.loop.Do(func() {
				conn.OnClose = nil
				conn.Close()
			})
		}
	}()
	var last *model.Call
	defer func() {
		if last != nil && r.watcher != nil {
			r.watcher.ConnectionEnded(last)
		}
	}()
	unread := false
	defer func() {
		if unread && r.watcher != nil {
			r.loop.Do(func() { r.watcher.CallAbandoned(sender, ep, nil) })
		}
	}()
	for req := range requests {
		if unresponsive { // the connection was opened while the endpoint was unresponsive: the model receives nothing
			unread = true
			continue
		}
		if limitReached {
			r.updateCounts(func(c *Counts) { c.ConnectionsRefused++ })
			closing := http1.Header{{Name: "Connection", Value: "close"}}
			_, _ = nc.Write(http1.AppendResponse(nil, http.StatusServiceUnavailable, closing, nil))
			return
		}
		response, call := r.handleRequest(ep, conn, sender, req, requests)
		if call != nil {
			last = call
		}
		if response == nil {
			continue
		}
		if len(response) == 0 {
			reset()
			return
		}
		if _, err := nc.Write(response); err != nil || req.head.Close {
			return
		}
	}
}

// readRequests reads requests from a connection until it ends, and then closes the channel, so that handleRequest
// notices a sender that closes its connection during a call.
func readRequests(nc net.Conn, requests chan<- request, stop <-chan struct{}) {
	defer close(requests)
	br := bufio.NewReader(nc)
	for {
		head, err := http1.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := http1.ReadBody(br, head.ContentLength)
		if err != nil {
			return
		}
		select {
		case requests <- request{head, body, time.Now()}:
		case <-stop:
			return
		}
	}
}

// handleRequest passes a call to the model, waits for its outcome and returns the response and the call. A nil response means that
// none is sent and the connection stays open; an empty one means that the connection is to be reset.
func (r *Receivers) handleRequest(ep *receiver.Endpoint, conn *network.Conn, sender int, req request,
	following <-chan request) (response []byte, c *model.Call) {
	if req.head.Method == "GET" && req.head.Target == "/health/live" {
		return r.healthResponse(ep), nil
	}
	c = r.parseCall(req)
	if c == nil {
		return emptyResponse(http.StatusBadRequest, nil), nil
	}
	c.Sender = sender
	outcome := make(chan model.Outcome, 1)
	c.Done = func(o model.Outcome) {
		if r.watcher != nil {
			r.watcher.CallAnswered(sender, ep, c, o)
		}
		outcome <- o
	}
	readAt := time.Now()
	if !r.loop.Do(func() {
		r.recordLag(time.Since(readAt))
		c.Sent = r.loop.Queue.Now()
		if r.watcher != nil {
			r.watcher.CallReceived(sender, ep, c, req.readAt)
		}
		ep.Receive(c, conn)
	}) {
		return []byte{}, c
	}
	r.updateCounts(func(n *Counts) { n.Calls++ })
	select {
	case o := <-outcome:
		return r.buildResponse(c, o), c
	case _, open := <-following: // the sender closed the connection, or sent a request before it had the response
		if !open {
			r.loop.Do(func() {
				c.Abandoned = true
				ep.CallAbandoned(c)
				if r.watcher != nil {
					r.watcher.CallAbandoned(sender, ep, c)
				}
			})
			r.updateCounts(func(n *Counts) { n.Outcomes["given up"]++ })
		}
		return []byte{}, c
	}
}

func (r *Receivers) healthResponse(ep *receiver.Endpoint) []byte {
	healthy := false
	r.loop.Do(func() { healthy = ep.Healthy() })
	if healthy {
		return emptyResponse(http.StatusOK, nil)
	}
	return emptyResponse(http.StatusServiceUnavailable, nil)
}

// recordLag records how long a call waited for the loop.
func (r *Receivers) recordLag(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maxLag = max(r.maxLag, d)
}

// MaxLag returns the longest time from a call's arrival until the model received it. A call that waits across the end
// of an outage counts as sent after it, so with a lag of many milliseconds a violation may be caused by this machine's
// load.
func (r *Receivers) MaxLag() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.maxLag
}

// parseCall reads the messages of a call, nil if it is malformed. An ID made by Load holds the message's class; any
// other message belongs to the first class.
func (r *Receivers) parseCall(req request) *model.Call {
	if req.head.Method != "POST" {
		return nil
	}
	c := &model.Call{}
	add := func(id string) {
		firstTry, class := parseMessageID(id)
		if class >= len(r.scenario.Classes) {
			class = 0
		}
		c.Messages = append(c.Messages, &model.Message{ID: rules.MessageID(id), FirstTry: firstTry, Class: class})
		c.Attempts = append(c.Attempts, 0)
	}
	switch req.head.Target {
	case "/receive":
		id := req.head.Header.Get("Req-Id")
		if id == "" {
			return nil
		}
		add(id)
	case "/receive-many":
		if !parseBatch(req.body, add) {
			return nil
		}
	}
	if len(c.Messages) == 0 {
		return nil
	}
	return c
}

// parseBatch calls add with the ID of each message of a batch. A message is a line of three words, the first its ID and
// the last the length of its body, then the body and CRLF. It returns false for a malformed batch.
func parseBatch(batch []byte, add func(id string)) bool {
	const lineEnd = "\r\n"
	for len(batch) > 0 {
		line, rest, ok := bytes.Cut(batch, []byte(lineEnd))
		words := strings.Fields(string(line))
		if !ok || len(words) != 3 {
			return false
		}
		length, err := strconv.Atoi(words[2])
		if err != nil || length < 0 || length+len(lineEnd) > len(rest) {
			return false
		}
		add(words[0])
		batch = rest[length+len(lineEnd):]
	}
	return true
}

// buildResponse returns the response for an outcome, in the form that handleRequest returns.
func (r *Receivers) buildResponse(c *model.Call, o model.Outcome) []byte {
	r.updateCounts(func(n *Counts) { n.Outcomes[outcomeName(o)]++ })
	if o.NoAnswer {
		return nil
	}
	var fields http1.Header
	if o.Report.Limit > 0 {
		load := map[string]float64{"x0": o.Report.Remaining, "x1": o.Report.Limit}
		text, _ := json.Marshal(load) // encoding finite numbers never fails
		fields = append(fields, http1.Field{Name: "Srv-Load", Value: string(text)})
	}
	switch o.Result {
	case rules.OK:
		var body []byte
		if len(c.Messages) > 1 {
			for _, m := range c.Messages {
				body = append(body, string(m.ID)+" accepted\r\n"...)
			}
		}
		return http1.AppendResponse(nil, http.StatusOK, fields, body)
	case rules.Errored:
		return emptyResponse(http.StatusInternalServerError, fields)
	case rules.Refused:
		if o.RetryAfter > 0 {
			waitMs := o.RetryAfter.Milliseconds() + 1 // rounded up, so that it is not shorter than the model's
			fields = append(fields, http1.Field{Name: "Wait-Ms", Value: strconv.FormatInt(waitMs, 10)})
			return emptyResponse(http.StatusTooManyRequests, fields)
		}
		return emptyResponse(http.StatusServiceUnavailable, fields)
	}
	return []byte{}
}

// outcomeName returns the key of an outcome in Counts.Outcomes.
func outcomeName(o model.Outcome) string {
	if o.NoAnswer {
		return "served, answer lost"
	}
	switch o.Result {
	case rules.OK:
		return "served"
	case rules.Errored:
		return "failed"
	case rules.Refused:
		return "turned away"
	}
	return "reset"
}

func emptyResponse(status int, fields http1.Header) []byte {
	return http1.AppendResponse(nil, status, fields, nil)
}
