package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"

	"eiderhaven/internal/http1"
	"eiderhaven/internal/testkit"
	"eiderhaven/standin/platform"
)

// silentEndpoint reads calls and leaves them to the test: what it reads comes on calls, and the end of a call's
// connection, as the endpoint sees it, on its channel. A call is answered by writing to its connection.
type silentEndpoint struct {
	*platform.Server
	calls chan *heardCall
}

type heardCall struct {
	net.Conn
	target, body string
	waiting      string        // milliseconds, as the sender tells them
	ended        chan struct{} // closed when the sender has ended the connection
}

func newSilentEndpoint(t *testing.T) *silentEndpoint {
	t.Helper()
	e := &silentEndpoint{calls: make(chan *heardCall, 100)}
	var err error
	if e.Server, err = platform.ListenRaw("127.0.0.1:0", e.serve); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

func (e *silentEndpoint) serve(nc net.Conn) {
	br, ended := bufio.NewReader(nc), make(chan struct{})
	defer close(ended)
	for {
		req, err := http1.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := http1.ReadBody(br, req.Length)
		if err != nil {
			return
		}
		e.calls <- &heardCall{nc, req.Target, string(body), req.Header.Get("Req-Deadline-Ms"), ended}
	}
}

// A call with several messages ends for all of them when the time of the first is up: the endpoint sees its connection
// closed, what may not be repeated is told as dead at once, and what may be repeated goes out on another connection. The
// endpoint would answer the rest in time; but a platform takes the call as given up with the first final answer in it.
func TestACallEndsWithTheFirstOfItsMessages(t *testing.T) {
	for class, repeated := range map[string]bool{"payment": false, "stock": true} {
		t.Run(class, func(t *testing.T) {
			ep := newSilentEndpoint(t)
			disc, err := platform.NewDiscovery("127.0.0.1:0",
				platform.Entry{Host: "s-1", Dial: ep.Addr(), Site: "here", Class: "any", Block: 7, Health: "Ready"})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(disc.Close)
			p := placeAt(t, disc)
			p.configure(func(c map[string]any) {
				c["settings"].(map[string]any)["extra"].(map[string]any)["batch_by_kind"] = []int{2}
			})
			p.launch()
			p.handIn("long", class, 60000) // waits for company: a quarter of its aim
			p.handIn("brief", class, 700)
			call := testkit.Next(t, ep.calls, "call")
			if call.target != "/receive-many" || !strings.Contains(call.body, "brief ") || !strings.Contains(call.body, "long ") {
				t.Fatalf("%s %q, want one call of both messages", call.target, call.body)
			}
			if ms, err := strconv.Atoi(call.waiting); err != nil || ms > 700 {
				t.Errorf("the call tells that it waits %q ms, want no more than its first message has", call.waiting)
			}
			testkit.Next(t, call.ended, "end of the call")
			testkit.Eventually(t, "told of the one out of time", func() bool { return p.notice("brief") != "" })
			if !repeated {
				testkit.Eventually(t, "told of the other", func() bool { return strings.Contains(p.notice("long"), "dead") })
				return
			}
			again := testkit.Next(t, ep.calls, "second call")
			if again.Conn == call.Conn || strings.Contains(again.body, "brief") || p.notice("long") != "" {
				t.Errorf("%s %q, notice %q, want the other alone on another connection", again.target, again.body, p.notice("long"))
			}
			fmt.Fprint(again, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			io.WriteString(call, "late") // to nobody
		})
	}
}
