package registry

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"eiderhaven/internal/ledger"
	"eiderhaven/internal/testkit"
	"eiderhaven/standin/platform"
)

const accepted = "HTTP/1.1 204 No Content\r\n\r\n"

// Guards against a notice that is lost: a second copy of the answer to the notice before, taken for its own answer. The
// second notice of this test is answered by such a copy on any connection that was used before, and never read.
func TestCopiedAnswerDoesNotEndANotice(t *testing.T) {
	read := make(chan string, 10)
	srv, err := platform.ListenRaw("127.0.0.1:0", func(nc net.Conn) {
		buf := make([]byte, 4<<10)
		for first := true; ; first = false {
			n, err := nc.Read(buf)
			if err != nil {
				return
			}
			if first {
				read <- string(buf[:n])
			}
			io.WriteString(nc, accepted)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer srv.Close()
	n, s := NewNotices(NewAddress(srv.Addr()), discardLog), newSink()
	runInBackground(t, func(ctx context.Context) { n.Run(ctx, s) })
	for _, id := range []string{"a", "b", "c"} {
		n.EnqueueNotice(ledger.Notice{ID: id, Dead: true})
		if ids := testkit.Receive(t, s.noticed, "acceptance"); len(ids) != 1 || ids[0] != id {
			t.Errorf("accepted: %v, want %s", ids, id)
		}
		if got := testkit.Receive(t, read, "notice read"); !strings.Contains(got, `"`+id+`"`) {
			t.Errorf("discovery read %q, want the notice of %s", got, id)
		}
	}
	testkit.Eventually(t, "closed", func() bool { return srv.OpenConnections() == 0 })
}
