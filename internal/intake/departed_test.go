package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"eiderhaven/internal/socket"
	"eiderhaven/internal/testkit"
)

// acceptAfter returns the server's side of a connection, on which the client has sent text and then ended it.
func acceptAfter(t *testing.T, text string, end func(*net.TCPConn)) (server net.Conn, c *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if server, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	nc.SetDeadline(time.Now().Add(5 * time.Second))
	t.Cleanup(func() { nc.Close(); server.Close() })
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
	end(nc.(*net.TCPConn))
	testkit.Eventually(t, "ended by the client", func() bool { return socket.Peer(server) != socket.PeerOpen })
	return server, nc.(*net.TCPConn)
}

// serveUnread serves what lies unread on a connection.
func (s *testServer) serveUnread(nc net.Conn) {
	c := &client{nc: nc, br: bufio.NewReaderSize(nc, readBufferBytes), connectedAt: time.Now()}
	for s.awaitRequest(c) && s.serveRequest(c) {
	}
}

// Guards against requests that are sent on after their client has left: it wrote many at once and closed its connection,
// in order or with a reset, before they were read.
func TestRequestsOfADepartedClientAreNotAccepted(t *testing.T) {
	var requests strings.Builder
	for i := range 60 {
		requests.WriteString(requestWithID(fmt.Sprint("m", i)))
	}
	for name, end := range map[string]func(*net.TCPConn){
		"closed": func(nc *net.TCPConn) { nc.Close() },
		"reset":  func(nc *net.TCPConn) { nc.SetLinger(0); nc.Close() },
	} {
		s := newTestServer(t, nil, nil)
		server, _ := acceptAfter(t, requests.String(), end)
		s.serveUnread(server)
		if n := s.exchange.Counts().Submitted; n != 0 {
			t.Errorf("%s: %d requests were passed on after the client had left", name, n)
		}
	}
}

// A client that ends its sending behind its requests and reads on gets an answer to each: one request is served; several
// at once, as no client of the protocol sends them, are refused, since most such clients have left.
func TestHalfClosedClientIsAnswered(t *testing.T) {
	halfClose := func(nc *net.TCPConn) { nc.CloseWrite() }
	for name, c := range map[string]struct {
		requests, status int
	}{
		"one request":    {1, 202},
		"three requests": {3, 503},
	} {
		s := newTestServer(t, nil, nil)
		var text strings.Builder
		for i := range c.requests {
			text.WriteString(requestWithID(fmt.Sprint("m", i)))
		}
		server, nc := acceptAfter(t, text.String(), halfClose)
		s.serveUnread(server)
		p := &testClient{nc, t, bufio.NewReader(nc)}
		for i := range c.requests {
			if r := p.readResponse(); r.Status != c.status {
				t.Errorf("%s: answer %d is %d, want %d", name, i, r.Status, c.status)
			}
		}
	}
}
