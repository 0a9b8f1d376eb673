package outbound

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"

	"eiderhaven/internal/testkit"
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// lockedBuffer is a log that goroutines write and the test reads.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// Guards against an incident whose senders' logs did not tell that copies of answers had come, on which connections,
// and which answer a retry went by.
func TestUnaskedBytesAndClosesAreLogged(t *testing.T) {
	srv := listenRaw(t, func(call int) string {
		if call == 2 {
			return okResponse + okResponse
		}
		return okResponse
	})
	log := &lockedBuffer{}
	handler := slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug})
	p := newTestPool(t, func(c *Config) { c.Log = slog.New(handler) })
	for range 2 {
		p.deliverOne(srv.Addr())
		testkit.Eventually(t, "idle or closed", func() bool {
			return p.idleAt(srv.Addr()) == 1 || strings.Contains(log.String(), "connection closed")
		})
	}
	testkit.Eventually(t, "closed", func() bool { return p.Counts.closed[closedForUnaskedBytes].Load() == 1 })
	for _, want := range []string{
		`level=INFO msg="bytes that belong to no call; further ones are only counted" connection=1 endpoint=s calls=2 last_status=200`,
		`msg=response connection=1 endpoint=s calls=2 last_status=200`,
		`ids=[a] status=200 err=<nil>`,
		`msg="connection closed" connection=1 endpoint=s calls=2 last_status=200`,
		`reason=unasked_bytes`,
	} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("no %q in\n%s", want, log)
		}
	}
	if got := p.Counts.LogValue().String(); !strings.HasPrefix(got, "[opened=1 first_uses=1 later_uses=1 unasked=1 ") {
		t.Errorf("counters %s", got)
	}
}
