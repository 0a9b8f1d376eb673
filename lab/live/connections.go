// This file owns the connections that senders open to endpoints: what is read off them, what the model makes of it, and the
// answers. It must never be kinder than the model: what the model breaks is broken on the socket.

package live

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"eiderhaven/internal/http1"
	"eiderhaven/lab/model"
	"eiderhaven/lab/network"
	"eiderhaven/lab/receiver"
	"eiderhaven/rules"
)

func (v *Receivers) accept(ln net.Listener, ep *receiver.Endpoint, sender int) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		v.mu.Lock()
		v.conns[nc] = true
		v.counts.Connections++
		v.mu.Unlock()
		v.wg.Go(func() {
			defer func() {
				nc.Close()
				v.mu.Lock()
				delete(v.conns, nc)
				v.mu.Unlock()
			}()
			v.serve(nc, ep, sender)
		})
	}
}

// request is one call as it came off a connection.
type request struct {
	head *http1.Request
	body []byte
}

// serve plays one connection: the model says whether it is taken, and what becomes of each call.
func (v *Receivers) serve(nc net.Conn, ep *receiver.Endpoint, sender int) {
	pool := &network.Pool{KeepAlive: 24 * time.Hour}
	var conn *network.Conn
	var full, silent bool
	reset := func() { // as a process that dies does
		if tc, ok := nc.(*net.TCPConn); ok {
			_ = tc.SetLinger(0) // only makes the close abrupt
		}
		nc.Close()
	}
	ok := v.loop.Do(func() {
		if conn, full, silent = ep.Connect(pool, v.loop.Queue.Now()); conn != nil {
			conn.OnClose = reset
		}
		if v.watch != nil {
			v.watch.ConnectionOpened(sender, ep, conn != nil || silent)
		}
	})
	if !ok {
		return
	}
	if conn == nil && !full && !silent {
		v.count(func(c *Counts) { c.ConnectionsRefused++ })
		reset()
		return
	}
	requests := make(chan request)
	stop := make(chan struct{})
	defer close(stop)
	v.wg.Go(func() { read(nc, requests, stop) })
	defer func() {
		if conn != nil {
			v.loop.Do(func() { conn.OnClose = nil; conn.Close() })
		}
	}()
	unread := false
	defer func() {
		if unread && v.watch != nil {
			v.loop.Do(func() { v.watch.CallAbandoned(sender, ep, nil) })
		}
	}()
	for r := range requests {
		if silent { // it came up while the machine was away: nobody reads
			unread = true
			continue
		}
		if full {
			v.count(func(c *Counts) { c.ConnectionsRefused++ })
			_, _ = nc.Write(http1.AppendResponse(nil, 503, http1.Header{{Name: "Connection", Value: "close"}}, nil))
			return
		}
		answer := v.call(ep, conn, sender, r, requests)
		if answer == nil {
			continue
		}
		if len(answer) == 0 {
			reset()
			return
		}
		if _, err := nc.Write(answer); err != nil || r.head.Close {
			return
		}
	}
}

// read takes requests off a connection until it ends, and then closes the channel: so a caller that gives up is seen.
func read(nc net.Conn, requests chan<- request, stop <-chan struct{}) {
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
		case requests <- request{head, body}:
		case <-stop:
			return
		}
	}
}

// call hands a request to the model and waits for its outcome. nil: no answer, the connection stays; empty: break it.
func (v *Receivers) call(ep *receiver.Endpoint, conn *network.Conn, sender int, r request, more <-chan request) []byte {
	if r.head.Method == "GET" && r.head.Target == "/health/live" {
		healthy := false
		v.loop.Do(func() { healthy = ep.Healthy() })
		return status(map[bool]int{true: 200, false: 503}[healthy], nil)
	}
	c := v.parse(r)
	if c == nil {
		return status(400, nil)
	}
	c.Sender = sender
	outcome := make(chan model.Outcome, 1)
	c.Done = func(o model.Outcome) {
		if v.watch != nil {
			v.watch.CallAnswered(sender, ep, c, o)
		}
		outcome <- o
	}
	came := time.Now()
	if !v.loop.Do(func() {
		v.waited(time.Since(came))
		c.Sent = v.loop.Queue.Now()
		if v.watch != nil {
			v.watch.CallReceived(sender, ep, c)
		}
		ep.Receive(c, conn)
	}) {
		return []byte{}
	}
	v.count(func(n *Counts) { n.Calls++ })
	select {
	case o := <-outcome:
		return v.answer(ep, c, o)
	case _, open := <-more: // the caller closed, or sent what it must not
		if !open {
			v.loop.Do(func() {
				c.Abandoned = true
				ep.CallAbandoned(c)
				if v.watch != nil {
					v.watch.CallAbandoned(sender, ep, c)
				}
			})
			v.count(func(n *Counts) { n.Outcomes["given up"]++ })
		}
		return []byte{}
	}
}

// waited notes how long a call has waited for the loop.
func (v *Receivers) waited(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lag = max(v.lag, d)
}

// Lag is the longest that a call has waited until the receivers took it in. What waits across the end of an outage counts as
// sent after it: a break with a lag of many milliseconds may be this machine's doing.
func (v *Receivers) MaxLag() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lag
}

// parse reads the messages of a call. A name that load made tells the class; any other message counts as of the first.
func (v *Receivers) parse(r request) *model.Call {
	c := &model.Call{}
	add := func(id string) {
		first, class := identity(id)
		if class >= len(v.s.Classes) {
			class = 0
		}
		c.Messages = append(c.Messages, &model.Message{ID: rules.MessageID(id), FirstTry: first, Class: class})
		c.Attempts = append(c.Attempts, 0)
	}
	if r.head.Method != "POST" {
		return nil
	}
	switch r.head.Target {
	case "/receive":
		id := r.head.Header.Get("Req-Id")
		if id == "" {
			return nil
		}
		add(id)
	case "/receive-many":
		body := r.body
		for len(body) > 0 {
			line, rest, ok := bytes.Cut(body, []byte("\r\n"))
			words := strings.Fields(string(line))
			if !ok || len(words) != 3 {
				return nil
			}
			n, err := strconv.Atoi(words[2])
			if err != nil || n < 0 || n+2 > len(rest) {
				return nil
			}
			add(words[0])
			body = rest[n+2:]
		}
	}
	if len(c.Messages) == 0 {
		return nil
	}
	return c
}

func (v *Receivers) answer(ep *receiver.Endpoint, c *model.Call, o model.Outcome) []byte {
	v.count(func(n *Counts) { n.Outcomes[outcomeName(o)]++ })
	if o.NoAnswer {
		return nil
	}
	var fields http1.Header
	if o.Report.Limit > 0 {
		text, _ := json.Marshal(map[string]float64{"x0": o.Report.Remaining, "x1": o.Report.Limit}) // plain values always encode
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
		return http1.AppendResponse(nil, 200, fields, body)
	case rules.Errored:
		return status(500, fields)
	case rules.Refused:
		if o.RetryAfter > 0 {
			return status(429, append(fields, http1.Field{Name: "Wait-Ms", Value: strconv.FormatInt(o.RetryAfter.Milliseconds()+1, 10)}))
		}
		return status(503, fields)
	}
	return []byte{}
}

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

func status(code int, fields http1.Header) []byte {
	return http1.AppendResponse(nil, code, fields, nil)
}
