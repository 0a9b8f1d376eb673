package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"eiderhaven/internal/http1"
)

// peakMemory returns the most memory that a process has had resident, in bytes.
func peakMemory(t *testing.T, pid int) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	match := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(text)
	if match == nil {
		t.Fatalf("no peak in %s", text)
	}
	kilobytes, err := strconv.ParseInt(string(match[1]), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return kilobytes << 10
}

// dialClient opens a connection to the sender that is closed at the end of the test.
func (p *platformFixture) dialClient() net.Conn {
	p.t.Helper()
	nc, err := net.Dial("tcp", p.listen)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { nc.Close() })
	return nc
}

// flood sends requests under ever new IDs, half of them unsound, on one connection at full speed, and reads the answers.
func (p *platformFixture) flood(stop *atomic.Bool) {
	nc := p.dialClient()
	go io.Copy(io.Discard, nc)
	for i := 0; !stop.Load(); i++ {
		request := submitRequest(fmt.Sprint("flood-", i), "stock", 2000)
		if i%2 == 0 {
			request = strings.Replace(request, "dest=7", "dest=none", 1)
		}
		if _, err := io.WriteString(nc, request); err != nil {
			return
		}
	}
}

// Guards against a process that goes over its memory limit, or answers others late, beside hundreds of clients that stop
// half way through a large request or a head of many short fields, and one that sends at full speed under new IDs.
func TestCrowdOfSlowClientsAndAFlood(t *testing.T) {
	const memoryMB, slowClients, length = 64, 400, 4 * time.Second
	p := newPlatformFixture(t, nil)
	p.configure(func(c map[string]any) { c["limits"].(map[string]any)["memory_mb"] = memoryMB })
	program := filepath.Join(t.TempDir(), "eiderhaven") // the test's own program is larger, more so with the race detector
	if out, err := exec.Command("go", "build", "-o", program, "eiderhaven/cmd/eiderhaven").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	proc := p.launchCommand(program)
	large := strings.Replace(submitRequest("x", "stock", 2000), "Content-Length: 2", "Content-Length: 65536", 1) + strings.Repeat("b", 65000)
	manyFields := "POST /stock HTTP/1.1\r\n" + strings.Repeat("a: b\r\n", 60)
	for i := range slowClients {
		text := large
		if i%2 == 0 {
			text = manyFields
		}
		if _, err := io.WriteString(p.dialClient(), text); err != nil {
			t.Fatal(err)
		}
	}
	var stop atomic.Bool
	defer stop.Store(true)
	go p.flood(&stop)
	var worst time.Duration
	nc := p.dialClient()
	br := bufio.NewReader(nc)
	for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
		begun := time.Now()
		if _, err := io.WriteString(nc, submitRequest(fmt.Sprint("m", i), "payment", 16000)); err != nil {
			t.Fatal(err)
		}
		if _, err := http1.ReadResponse(br, 1<<16); err != nil {
			t.Fatalf("request %d got no answer: %v", i, err)
		}
		worst = max(worst, time.Since(begun))
		time.Sleep(20 * time.Millisecond)
	}
	const clientPatience = 400 * time.Millisecond // the protocol's clients leave then
	if worst > clientPatience {
		t.Errorf("an answer took %v", worst)
	}
	peak := peakMemory(t, proc.Process.Pid)
	if peak > memoryMB*megabyte {
		t.Errorf("%d MB resident, limit %d", peak/megabyte, memoryMB)
	}
	t.Logf("worst answer %v, peak %d MB", worst, peak/megabyte)
}
