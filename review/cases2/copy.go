// This file plays case 7: an answer comes twice just before its endpoint hangs.

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases[7] = playCopyThenHang }

// Figures of case 7.
const (
	copyWarmUp   = 24 // messages before
	copyEvery    = 700 * time.Millisecond
	copyBehind   = 10 * time.Millisecond // on the way, by the proxy
	copyWork     = 50 * time.Millisecond
	copyDeadline = 16 * time.Second
)

// copier is an endpoint that answers each call, and that may send one answer twice and hang from then on.
type copier struct {
	h         *harness
	mu        sync.Mutex
	delivered map[string]bool
	answered  chan string // the message that was answered twice
	twice     string      // the message whose answer is sent twice
	hangs     bool
}

func (e *copier) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := r.Header.Get("Req-Id")
		r.Body.Close()
		e.mu.Lock()
		hangs, twice := e.hangs, e.twice == id
		e.mu.Unlock()
		e.h.note("endpoint: %s on connection %v", id, c.RemoteAddr())
		if hangs {
			continue // no answer; the connection stays open
		}
		time.Sleep(copyWork)
		answer := []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		e.mu.Lock()
		e.delivered[id] = true
		e.hangs = e.hangs || twice
		e.mu.Unlock()
		_, _ = c.Write(answer)
		e.h.note("endpoint: %s answered 200", id)
		if twice {
			e.answered <- id
			time.AfterFunc(copyBehind, func() {
				_, _ = c.Write(answer)
				e.h.note("proxy: the second copy of the answer to %s comes through", id)
			})
		}
	}
}

// playCopyThenHang hands in a message whose answer comes twice, and another one right behind the first answer, which the
// endpoint takes and never answers.
func playCopyThenHang(h *harness, trouble bool) (broken []string, err error) {
	e := &copier{h: h, delivered: map[string]bool{}, answered: make(chan string, 1)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h.onClose(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	p, err := h.newPlatform(false, entry{Host: "s-1", Dial: ln.Addr().String(), Site: "here", Class: "bulk", Block: 1, Health: "Ready", Share: 20})
	if err != nil {
		return nil, err
	}
	s, err := h.newSender("n1", p.address, p.whole(), depotSettings(1))
	if err != nil {
		return nil, err
	}
	if err := s.start(nil); err != nil {
		return nil, err
	}
	c := h.newClient()
	for n := range copyWarmUp {
		c.submit(s, "stock-status", "w"+strconv.Itoa(n), 1, copyDeadline, []byte("stock"))
		time.Sleep(copyEvery)
	}
	if trouble {
		e.mu.Lock()
		e.twice = "m1"
		e.mu.Unlock()
	}
	var taken []string
	if c.submit(s, "stock-status", "m1", 1, copyDeadline, []byte("stock")) == 202 {
		taken = append(taken, "m1")
	}
	if trouble {
		<-e.answered
	}
	if c.submit(s, "stock-status", "m2", 1, copyDeadline, []byte("stock")) == 202 {
		taken = append(taken, "m2")
	}
	time.Sleep(copyDeadline + 2*time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range taken {
		if !e.delivered[id] && p.noticeOf(id) == "" {
			broken = append(broken, fmt.Sprintf("%s was taken on, and 2 s after its time it is neither delivered nor ended by a notice", id))
		}
	}
	return broken, nil
}
