// Package testkit holds what the tests of several packages share: waiting for what another goroutine brings about,
// with a limit that only a failure reaches, and a look at a socket. It owns nothing else and is imported by tests alone.
package testkit

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const waitLimit = time.Minute // under the race detector beside a loaded machine twenty seconds were reached without a failure

// Next receives from a channel.
func Receive[T any](t testing.TB, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(waitLimit):
		t.Fatalf("no %s", what)
		panic("unreachable")
	}
}

// Eventually waits until f holds.
func Eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never %s", what)
		}
	}
}

// NoDelay fails the test unless small writes to a connection leave at once (TCP_NODELAY, RFC 9293, 3.7.4).
func RequireNoDelay(t testing.TB, nc net.Conn) {
	t.Helper()
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	set := 0
	err = raw.Control(func(fd uintptr) { set, _ = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY) })
	if err != nil || set == 0 {
		t.Errorf("TCP_NODELAY is %d (%v)", set, err)
	}
}

var addressCount atomic.Int32

// Address returns a loopback address for a process to listen on that nobody else of this machine is given: one of its own with a
// port below those of outgoing connections. A port that is free now may be taken by a connection before the process listens.
func UniqueAddress() string {
	n := addressCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:9000", 2+os.Getpid()%250, n/250, 1+n%250)
}
