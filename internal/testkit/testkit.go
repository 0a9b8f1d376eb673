// Package testkit holds what the tests of several packages share: waiting for what another goroutine brings about,
// with a limit that only a failure reaches. It owns nothing else and is imported by tests alone.
package testkit

import (
	"testing"
	"time"
)

const limit = 20 * time.Second

// Next receives from a channel.
func Next[T any](t testing.TB, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(limit):
		t.Fatalf("no %s", what)
		panic("unreachable")
	}
}

// Eventually waits until f holds.
func Eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never %s", what)
		}
	}
}
