// Package testkit holds helpers for the tests of several packages: waiting for another goroutine with a time limit,
// checking a socket option, and finding an address to listen on. It must be imported by tests only.
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

// waitLimit bounds every wait. With 20 s, tests failed without a fault under the race detector on a loaded machine.
const waitLimit = time.Minute

// Receive receives a value from a channel. It fails the test, naming what was missing, if none comes within waitLimit.
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

// Eventually polls condition until it is true. It fails the test, naming what never happened, after waitLimit.
func Eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	const pollInterval = time.Millisecond
	limit := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(limit) {
			t.Fatalf("never %s", what)
		}
		time.Sleep(pollInterval)
	}
}

// RequireNoDelay fails the test unless TCP_NODELAY is set on a connection, so that small writes are sent at once
// (RFC 9293, 3.7.4).
func RequireNoDelay(t testing.TB, nc net.Conn) {
	t.Helper()
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	noDelay := 0
	err = raw.Control(func(fd uintptr) {
		noDelay, _ = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
	})
	if err != nil || noDelay == 0 {
		t.Errorf("TCP_NODELAY is %d, want it set (error %v)", noDelay, err)
	}
}

// addressCount is the number of addresses returned by UniqueAddress.
var addressCount atomic.Int32

// UniqueAddress returns a loopback address for another process to listen on. Each call returns another IP address,
// which also depends on the process ID. The port is below the range of ephemeral ports: a free port of that range could
// be taken by an outgoing connection before the process listens on it.
func UniqueAddress() string {
	const valuesPerByte = 250 // of an IP address
	n := addressCount.Add(1)
	second := 2 + os.Getpid()%valuesPerByte
	third := n / valuesPerByte
	fourth := 1 + n%valuesPerByte
	return fmt.Sprintf("127.%d.%d.%d:9000", second, third, fourth)
}
