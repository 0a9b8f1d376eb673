package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"eiderhaven/internal/http1"
	"eiderhaven/internal/testkit"
	"eiderhaven/standin/platform"
)

// settleTime is how long a test waits for something that must not happen.
const settleTime = 300 * time.Millisecond

// limitFileSize sets the largest size of a file that a process may write to. What exceeds it fails, as on a folder that
// takes nothing. A negative size lifts the limit.
func limitFileSize(t *testing.T, pid int, bytes int64) {
	t.Helper()
	limit := syscall.Rlimit{Cur: uint64(bytes), Max: ^uint64(0)}
	if bytes < 0 {
		limit.Cur = ^uint64(0)
	}
	_, _, errno := syscall.Syscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_FSIZE,
		uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if errno != 0 {
		t.Fatalf("prlimit: %v", errno)
	}
}

// restart kills a process and starts another one on the same folder.
func (p *platformFixture) restart(proc *process) *process {
	p.t.Helper()
	proc.Process.Kill()
	proc.exit()
	return p.launch()
}

// refusingEndpoint returns a response function that refuses each call with a wait beyond any deadline until accept is
// closed, and answers 200 from then on.
func refusingEndpoint(delay time.Duration, accept <-chan struct{}) func(string, int) *http1.Response {
	return func(string, int) *http1.Response {
		select {
		case <-accept:
			return &http1.Response{Status: 200}
		default:
		}
		time.Sleep(delay)
		return &http1.Response{Status: 429, Header: http1.Header{{Name: "Wait-Ms", Value: "60000"}}}
	}
}

// Guards against a message that is called after its notice: the folder took no record of the end, and the next process
// found the message owed.
func TestNoticeStandsWhileTheFolderFails(t *testing.T) {
	accept := make(chan struct{})
	p := newPlatformFixture(t, refusingEndpoint(settleTime, accept))
	proc := p.launch()
	p.submit("a", "stock", 16000)
	testkit.Eventually(t, "called", func() bool { return p.callCount("a") == 1 })
	limitFileSize(t, proc.Process.Pid, 0)
	testkit.Eventually(t, "notified", func() bool { return p.noticeLine("a") != "" })
	close(accept)
	p.restart(proc)
	time.Sleep(settleTime)
	if n := p.callCount("a"); n != 1 {
		t.Errorf("%d calls, want none after the notice", n)
	}
}

// Guards against a message that is called after its 429: the record of its acceptance was written, that of its end was not.
func TestRefusalStandsWhileTheFolderFails(t *testing.T) {
	accept := make(chan struct{})
	p := newPlatformFixture(t, refusingEndpoint(0, accept))
	proc := p.launch()
	p.submit("first", "stock", 16000)
	testkit.Eventually(t, "notified", func() bool { return p.noticeLine("first") != "" })
	segments, err := filepath.Glob(filepath.Join(p.state, "*.seg"))
	if err != nil || len(segments) != 1 {
		t.Fatalf("%d segments, %v", len(segments), err)
	}
	refused := []string{}
	for extra := range int64(150) { // one of these limits lies between the two records of a message
		info, err := os.Stat(segments[0])
		if err != nil {
			t.Fatal(err)
		}
		limitFileSize(t, proc.Process.Pid, info.Size()+extra)
		id := fmt.Sprintf("m%03d", extra)
		if r, err := p.request(submitRequest(id, "stock", 16000)); err != nil || r.Status != 429 {
			t.Fatalf("%+v, %v, want 429", r, err)
		}
		refused = append(refused, id)
		limitFileSize(t, proc.Process.Pid, -1)
	}
	close(accept)
	limitFileSize(t, proc.Process.Pid, 0)
	p.restart(proc)
	time.Sleep(settleTime)
	for _, id := range refused {
		if p.callCount(id) > 0 {
			t.Errorf("%s was refused with 429 and is called after a restart", id)
		}
	}
}

// Guards against a payment that runs twice: its ID came again behind a restart.
func TestEndedIDIsKnownAfterARestart(t *testing.T) {
	p := newPlatformFixture(t, nil)
	proc := p.launch()
	p.submit("a", "payment", 16000)
	testkit.Eventually(t, "called", func() bool { return p.callCount("a") == 1 })
	testkit.Eventually(t, "delivered", func() bool {
		proc.Process.Signal(syscall.SIGUSR1)
		return strings.Contains(proc.logged(), "delivered=1")
	})
	for range 2 {
		proc = p.restart(proc)
		if r, err := p.request(submitRequest("a", "payment", 16000)); err != nil || r.Status == 202 {
			t.Errorf("%+v, %v, want the ended message not accepted again", r, err)
		}
	}
	time.Sleep(settleTime)
	if n := p.callCount("a"); n != 1 {
		t.Errorf("a delivered payment was called %d times", n)
	}
}

// Guards against an old process that is stopped, is taken for gone, and wakes while a new one works on the same folder.
func TestOneProcessToAFolder(t *testing.T) {
	p := newPlatformFixture(t, nil)
	old := p.launch()
	old.Process.Signal(syscall.SIGSTOP)
	second := *p
	second.listen = testkit.UniqueAddress()
	second.config = filepath.Join(t.TempDir(), "config.json")
	text, err := os.ReadFile(p.config)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(second.config, text, 0o600); err != nil {
		t.Fatal(err)
	}
	second.configure(func(c map[string]any) { c["listen"] = second.listen })
	second.startCommand(os.Args[0])
	isReady := func() bool {
		r, err := second.request("GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n")
		return err == nil && r.Status == 200
	}
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if isReady() {
			t.Fatal("a second process is ready on a folder that another one holds")
		}
	}
	old.Process.Kill()
	old.exit()
	testkit.Eventually(t, "ready once the old process is gone", isReady)
}

// delayingProxy forwards connections to an address and holds each chunk of bytes back, in both directions.
func delayingProxy(t *testing.T, to string, delay time.Duration) string {
	t.Helper()
	forward := func(dst, src net.Conn) {
		buf := make([]byte, 64<<10)
		for {
			n, err := src.Read(buf)
			if err != nil {
				dst.Close()
				return
			}
			time.Sleep(delay)
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
	}
	server, err := platform.ListenRaw("127.0.0.1:0", func(nc net.Conn) {
		onward, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		defer onward.Close()
		go forward(nc, onward)
		forward(onward, nc)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server.Addr()
}

// Guards against a call that is written so late that a slow way delivers it behind the notice of its message.
func TestNoCallIsUnderWayAsItsNoticeGoesOut(t *testing.T) {
	const delay, deadline = 45 * time.Millisecond, 40 * time.Millisecond
	p, ep := silentFixture(t)
	p.disc.SetList(platform.Entry{
		Host: "s-1", Dial: delayingProxy(t, ep.Addr(), delay), Site: "here", Class: "any", Block: 7, Health: "Ready",
	})
	p.configure(func(c map[string]any) { c["known"] = json.RawMessage(p.disc.ListJSON()) })
	p.launch()
	begun := time.Now()
	r, err := p.request(submitRequest("a", "stock", int(deadline.Milliseconds())))
	if err != nil {
		t.Fatal(err)
	}
	if r.Status == 202 {
		testkit.Eventually(t, "notified", func() bool { return p.noticeLine("a") != "" })
	}
	select {
	case <-ep.calls:
		t.Errorf("a call arrived %v after the message was handed in with %v, behind its notice", time.Since(begun), deadline)
	case <-time.After(settleTime):
	}
}
