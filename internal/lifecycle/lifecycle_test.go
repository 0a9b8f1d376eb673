package lifecycle

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// knownIDs is a history.
type knownIDs map[string]bool

func (k knownIDs) Knows(id string) bool { return k[id] }

func newGuard(log *bytes.Buffer) *Guard {
	return New(knownIDs{"ended": true}, slog.New(slog.NewTextHandler(log, nil)))
}

func TestMayStart(t *testing.T) {
	g := newGuard(&bytes.Buffer{})
	if g.MayStart("ended") || !g.MayStart("fresh") {
		t.Error("a known ID may start, or a fresh one may not")
	}
}

// Each state permits what the table says, and every denial is counted.
func TestWhatAStatePermits(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		reach func(*Message)
		left  time.Duration
		want  Denial
	}{
		"accepted":           {func(*Message) {}, time.Second, NotDenied},
		"accepted, late":     {func(*Message) {}, LateCallMargin - 1, DeniedLate},
		"unconfirmed":        {(*Message).Suspend, time.Second, DeniedUnconfirmed},
		"ending":             {func(m *Message) { m.BeginEnd() }, time.Second, DeniedEnded},
		"ended":              {func(m *Message) { m.BeginEnd(); m.End() }, time.Second, DeniedEnded},
		"ended, unconfirmed": {func(m *Message) { m.Suspend(); m.BeginEnd(); m.End(); m.Suspend() }, time.Second, DeniedEnded},
	} {
		var log bytes.Buffer
		g := newGuard(&log)
		m := g.Start("a", now.Add(c.left))
		c.reach(m)
		if got := m.MayCall(now); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
		if want := "denied_" + c.want.String() + "=1"; c.want != NotDenied && !strings.Contains(g.LogValue().String(), want) {
			t.Errorf("%s: %v, want %s", name, g.LogValue(), want)
		}
		if log.Len() > 0 {
			t.Errorf("%s: %s", name, &log)
		}
	}
}

// What the state forbids is counted and logged with ID and state.
func TestViolationsAreCountedAndLogged(t *testing.T) {
	for want, violate := range map[Violation]func(*Message){
		SentAfterEnd:   func(m *Message) { m.BeginEnd(); m.NoteCalled(); m.End(); m.NoteCalled() },
		ToldUnrecorded: func(m *Message) { m.BeginEnd(); m.MayTell() },
		EndedTwice:     func(m *Message) { m.BeginEnd(); m.BeginEnd() },
	} {
		var log bytes.Buffer
		g := newGuard(&log)
		violate(g.Start("a", time.Now().Add(time.Second)))
		for v := range violations {
			if n := g.Violations(v); (v == want) != (n == 1) {
				t.Errorf("%v: %v counted %d times", want, v, n)
			}
		}
		if !strings.Contains(log.String(), "rule="+want.String()+" id=a state=") {
			t.Errorf("%v: log %s", want, &log)
		}
	}
}
