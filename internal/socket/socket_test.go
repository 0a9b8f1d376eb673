package socket

import (
	"io"
	"net"
	"testing"

	"eiderhaven/internal/testkit"
)

func pair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if client, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); server.Close() })
	return client, server
}

func TestSilent(t *testing.T) {
	client, server := pair(t)
	if !ReadWouldBlock(client) {
		t.Error("a connection on which nothing came is not silent")
	}
	if _, err := io.WriteString(server, "x"); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, "a byte seen", func() bool { return !ReadWouldBlock(client) })
	if n, err := client.Read(make([]byte, 2)); n != 1 || err != nil {
		t.Errorf("reading what was seen: %d bytes, %v", n, err)
	}
	if !ReadWouldBlock(client) {
		t.Error("not silent once all was read")
	}
	server.Close()
	testkit.Eventually(t, "the end seen", func() bool { return !ReadWouldBlock(client) })
	client.Close()
	if ReadWouldBlock(client) {
		t.Error("a closed connection is silent")
	}
	if a, _ := net.Pipe(); !ReadWouldBlock(a) {
		t.Error("what has no socket is not silent")
	}
}
