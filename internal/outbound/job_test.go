package outbound

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"eiderhaven/internal/exchange"
	"eiderhaven/internal/message"
	"eiderhaven/internal/testkit"
)

// Guards against a call that is written after its end was told of: a thread that is held up between the check and the
// write holds up whoever ends the call.
func TestEndWaitsForAWriteUnderWay(t *testing.T) {
	j := &job{call: callTo("127.0.0.1:1", "a")}
	writing, proceed, cancelled := make(chan bool), make(chan bool), make(chan bool)
	go func() {
		rest := []byte("x")
		j.writeOnce(func(b []byte) (int, error) {
			writing <- true
			<-proceed
			return len(b), nil
		}, &rest)
	}()
	testkit.Receive(t, writing, "write")
	go func() {
		j.Cancel()
		close(cancelled)
	}()
	select {
	case <-cancelled:
		t.Fatal("the call has ended while its last byte is being written")
	case <-time.After(50 * time.Millisecond):
	}
	close(proceed)
	testkit.Receive(t, cancelled, "end of the call")
	if rest := []byte("x"); !j.committed || j.writeOnce(nil, &rest) != stopped {
		t.Error("the call is not written, or may be written after its end")
	}
}

// Short writes, full buffers and signals do not end a call.
func TestWriteOnceProgress(t *testing.T) {
	for _, c := range []struct {
		n    int
		err  error
		want progress
	}{
		{2, nil, written}, {1, nil, partial}, {-1, syscall.EAGAIN, blocked}, {-1, syscall.EINTR, partial}, {-1, syscall.EPIPE, stopped},
	} {
		j := &job{call: callTo("127.0.0.1:1", "a")}
		rest := []byte("xy")
		if got := j.writeOnce(func([]byte) (int, error) { return c.n, c.err }, &rest); got != c.want || j.committed != (c.want == written) {
			t.Errorf("%d, %v: %v, committed %v", c.n, c.err, got, j.committed)
		}
	}
}

// Guards against a call that arrives after its end: the kernel has taken it, but the other side's window is full or the
// way is cut. What has not arrived when the call is cancelled never does.
func TestCancelDropsWhatHasNotArrived(t *testing.T) {
	control := func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}
	ln, err := (&net.ListenConfig{Control: control}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	p := newTestPool(t, nil)
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := nc.(*net.TCPConn).SetWriteBuffer(1 << 20); err != nil {
		t.Fatal(err)
	}
	endpoint, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer endpoint.Close()
	const bodyBytes = 200 << 10
	call := &exchange.Call{To: exchange.Peer{Name: "s", Addr: ln.Addr().String()}, Timeout: time.Minute,
		Items: []*message.Message{{ID: "a", Body: make([]byte, bodyBytes)}}}
	j := &job{call: call}
	ended := make(chan bool)
	go func() {
		p.roundTrip(&conn{nc: nc, br: bufio.NewReader(nc)}, j)
		close(ended)
	}()
	testkit.Eventually(t, "written whole", func() bool {
		j.mu.Lock()
		defer j.mu.Unlock()
		return j.committed
	})
	j.Cancel()
	endpoint.SetReadDeadline(time.Now().Add(time.Second))
	got, err := io.ReadAll(endpoint)
	if len(got) >= bodyBytes || err == nil {
		t.Errorf("%d bytes arrived after the end of the call, %v", len(got), err)
	}
	testkit.Receive(t, ended, "result")
}
