package socket

import (
	"io"
	"net"
	"testing"

	"eiderhaven/internal/testkit"
)

func connPair(t *testing.T) (client, server net.Conn) {
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

func TestReadWouldBlock(t *testing.T) {
	client, server := connPair(t)
	if !ReadWouldBlock(client) {
		t.Error("with nothing received, want true")
	}
	if _, err := io.WriteString(server, "x"); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, "a received byte noticed", func() bool { return !ReadWouldBlock(client) })
	if n, err := client.Read(make([]byte, 2)); n != 1 || err != nil {
		t.Errorf("the owner's read after the check: %d bytes, error %v; want 1 byte", n, err)
	}
	if !ReadWouldBlock(client) {
		t.Error("with everything read, want true")
	}
	server.Close()
	testkit.Eventually(t, "the end of the stream noticed", func() bool { return !ReadWouldBlock(client) })
	client.Close()
	if ReadWouldBlock(client) {
		t.Error("on a closed connection, want false")
	}
	if a, _ := net.Pipe(); !ReadWouldBlock(a) {
		t.Error("on a connection without a socket, want true")
	}
}
