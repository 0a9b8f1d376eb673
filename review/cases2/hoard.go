// This file plays case 9: clients that stop within a request and stay.

package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases[9] = playHoard }

// Figures of case 9.
const (
	hoardMemoryMB = 32 // the least that the pages name
	hoardSockets  = 1024
	hoardClients  = 340 // under a third of the descriptors
	hoardLines    = 60  // of a head, beside those of the protocol
	hoardLine     = 200 // characters
	hoardRounds   = 3
	hoardStay     = 3 * time.Second // by then such a client has its error or close
	hoardEvery    = 50 * time.Millisecond
	hoardMessages = 40
)

// playHoard runs a sender with little memory before clients that send all of a request but its last byte. The platform
// kills a sender that goes over its memory.
func playHoard(h *harness, trouble bool) (broken []string, err error) {
	k := newBodyKeeper(h)
	address, err := h.serve(k)
	if err != nil {
		return nil, err
	}
	p, err := h.newPlatform(false, entry{Host: "s-1", Dial: address, Site: "here", Class: "bulk", Block: 1, Health: "Ready", Share: 20})
	if err != nil {
		return nil, err
	}
	h.limits = map[string]any{"cores": 1.0, "memory_mb": hoardMemoryMB, "sockets": hoardSockets, "disk_mb": 3}
	s, err := h.newSender("n1", p.address, p.whole(), depotSettings(1))
	if err != nil {
		return nil, err
	}
	if err := s.start(nil); err != nil {
		return nil, err
	}
	over := make(chan string, 1)
	go guardMemory(s, over)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c := h.newClient()
		for n := range hoardMessages {
			c.submit(s, "stock-status", "m"+strconv.Itoa(n), 1, 16*time.Second, []byte("stock"))
			time.Sleep(250 * time.Millisecond)
		}
	}()
	time.Sleep(time.Second)
	for round := range hoardRounds {
		if trouble {
			hoard(h, s, round)
		}
	}
	<-done
	select {
	case what := <-over:
		return []string{what}, nil
	default:
		return nil, nil
	}
}

// hoard opens connections that each send a request but for its last byte, and waits until all have an answer or a close.
func hoard(h *harness, s *sender, round int) {
	var mu sync.Mutex
	ends := map[string]int{}
	var wg sync.WaitGroup
	for n := range hoardClients {
		wg.Go(func() {
			end := stopWithin(s.address, fmt.Sprintf("b%d-%d", round, n))
			mu.Lock()
			defer mu.Unlock()
			ends[end]++
		})
	}
	wg.Wait()
	h.note("round %d: %d clients stopped within a request; they got %v", round, hoardClients, ends)
}

// stopWithin sends a request but for its last byte and returns what it got.
func stopWithin(address, id string) string {
	c, err := net.DialTimeout("tcp", address, hoardStay)
	if err != nil {
		return "no connection"
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(hoardStay))
	request := "POST /stock-status HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: stock-status\r\n" +
		"Req-Deadline-Ms: 16000\r\nEnvelope: dest=1\r\nContent-Length: " + strconv.Itoa(maxBodyBytes) + "\r\n" +
		strings.Repeat("X-Filler: "+strings.Repeat("x", hoardLine)+"\r\n", hoardLines-8) + "\r\n" + strings.Repeat("x", maxBodyBytes-1)
	if _, err := c.Write([]byte(request)); err != nil {
		return "a close"
	}
	answer := make([]byte, len("HTTP/1.1 408"))
	if _, err := c.Read(answer); err != nil {
		return "a close"
	}
	return string(answer)
}

// guardMemory watches a sender's resident memory, and kills the sender if it goes over its limit, as the platform does.
func guardMemory(s *sender, over chan<- string) {
	const limit = hoardMemoryMB << 20 // bytes, by the larger of the two meanings of MB
	highest := 0
	for ; ; time.Sleep(hoardEvery) {
		if ended, _ := s.hasEnded(); ended {
			return
		}
		bytes := residentBytes(s.cmd.Process.Pid)
		if bytes > highest+highest/10 {
			s.h.note("sender %s: resident memory %.1f MiB", s.name, float64(bytes)/(1<<20))
			highest = bytes
		}
		if bytes > limit {
			over <- fmt.Sprintf("the sender went over its memory of %d MB: %.1f MiB; it was killed", hoardMemoryMB, float64(bytes)/(1<<20))
			s.signal(syscall.SIGKILL)
			return
		}
	}
}

// residentBytes returns the anonymous memory of a process that is resident: files that it maps do not count here.
func residentBytes(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kib, _ := strconv.Atoi(strings.Fields(value)[0])
			return kib << 10
		}
	}
	return 0
}
