package scale

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"eiderhaven/internal/http1"
	"eiderhaven/internal/testkit"
	"eiderhaven/lab/scenario"
	"eiderhaven/standin/platform"
)

func duration(d time.Duration) scenario.Duration { return scenario.Duration(d) }

// The judge sees what it is there for: a message without an end, one that ran twice or ran and is said not to have, an end past its
// time, a call by the old list. What was not taken on, what a killed sender could not tell in time, and a repeat that is allowed are no break.
func TestTheJudge(t *testing.T) {
	never := func(int) time.Time { return time.Time{} }
	now := time.Now()
	for name, c := range map[string]struct {
		play    func(b *book)
		excused func(int) time.Time
		want    verdict
		says    string
	}{
		"delivered":    {func(b *book) { b.arrived("t-0-1-s", 0) }, never, verdict{delivered: 1}, ""},
		"told":         {func(b *book) { b.noticed("t-0-1-s", "dead") }, never, verdict{told: 1}, ""},
		"lost":         {func(b *book) {}, never, verdict{lost: 1}, "t-0-1-s was taken on and has no end"},
		"repeated":     {func(b *book) { b.arrived("t-0-1-s", 0); b.arrived("t-0-1-s", 0) }, never, verdict{delivered: 1}, ""},
		"late":         {func(b *book) { b.msgs["t-0-1-s"].due = now.Add(-time.Second); b.arrived("t-0-1-s", 0) }, never, verdict{delivered: 1, late: 1}, "after its time"},
		"late by kill": {func(b *book) { b.msgs["t-0-1-s"].due = now.Add(-time.Second); b.arrived("t-0-1-s", 0) }, func(int) time.Time { return now }, verdict{delivered: 1}, ""},
	} {
		b := newBook()
		b.handing("t-0-1-s", message{due: now.Add(time.Minute)})
		b.answered("t-0-1-s", true)
		b.handing("t-0-2-o", message{once: true, due: now}) // not taken on: nothing is owed
		c.play(b)
		v := b.judge(c.excused)
		v.worstLate = 0
		first := v.first
		v.first = ""
		c.want.handed, c.want.taken = 2, 1
		if v != c.want || !strings.Contains(first, c.says) || (first == "") != (c.says == "") {
			t.Errorf("%s: %+v %q, want %+v %q", name, v, first, c.want, c.says)
		}
	}
	b := newBook()
	for _, id := range []string{"t-0-1-o", "t-0-2-o"} {
		b.handing(id, message{once: true, due: now.Add(time.Minute)})
		b.answered(id, true)
	}
	b.arrived("t-0-1-o", 0)
	b.arrived("t-0-1-o", 0)
	b.arrived("t-0-2-o", 0)
	b.noticed("t-0-2-o", "bounced")
	if v := b.judge(never); v.doubled != 2 || v.lost != 0 {
		t.Errorf("ran twice, and ran and was told of as harmless: %+v", v)
	}
	if b.owed() != 0 {
		t.Error("nothing is owed")
	}
}

// A change is timed from when its sender could hear of it; a call the old way after one by it is seen, unless it just crossed or a
// later change made the old place the new one.
func TestChangesAreTimed(t *testing.T) {
	b := newBook()
	c := b.changing(5)
	b.publishing(c)
	for s := range 3 {
		b.could(c, s, true, time.Time{})
		b.could(c, s, false, time.Time{})
	}
	b.arrived(probeName(c.n, 0, 1), 1-c.side) // not by it yet
	b.arrived(probeName(c.n, 0, 2), c.side)
	b.arrived(probeName(c.n, 0, 3), 1-c.side) // crossed
	b.heard(c.n, 2)
	if d := b.delays(0, true, -1, time.Now()); len(d.took) != 1 || d.pending != 2 || d.late != 0 {
		t.Errorf("real: %+v", d)
	}
	if d := b.delays(0, false, 2, time.Now()); len(d.took) != 1 || d.pending != 0 {
		t.Errorf("hollow: %+v", d)
	}
	later := time.Now().Add(inForceWithin + time.Second)
	if d := b.delays(0, true, -1, later); d.late != 2 || d.missing != 2 || d.worst < inForceWithin {
		t.Errorf("past their time: %+v", d)
	}
	b.returned(1, true, later) // cut off until then
	if d := b.delays(0, true, -1, later); d.late != 1 || d.pending != 1 {
		t.Errorf("past their time, one of them cut off: %+v", d)
	}
	b.probed(c.n, 0, 1-c.side, time.Now().Add(2*staleAfter))
	if v := b.judge(func(int) time.Time { return time.Time{} }); v.stale != 1 || !strings.Contains(v.first, "by the list before change 0") {
		t.Errorf("the old way: %+v", v)
	}
	again := b.changing(5)
	if again.side == c.side || c.last || !b.over(c, 1) {
		t.Errorf("a later change of the same destination: %+v %+v", c, again)
	}
	if d := b.delays(0, true, 1, time.Now()); d.moot != 1 || d.pending != 0 {
		t.Errorf("overtaken: %+v", d)
	}
}

// ask makes one request of a gate and returns its answer's body.
func ask(t *testing.T, addr, target string) string {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	fmt.Fprintf(nc, "GET %s HTTP/1.1\r\n\r\n", target)
	r, err := http1.ReadResponse(bufio.NewReader(nc), 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	return string(r.Body)
}

// Discovery tells what is new after a version; the whole list to who names none, one that is not known or one too old; and nothing
// once the wait is over.
func TestDiscovery(t *testing.T) {
	entry := func(host, health string) platform.Entry {
		return platform.Entry{Host: host, Dial: "127.0.0.1:1", Health: health}
	}
	told := map[string]string{}
	d := newDiscovery([]platform.Entry{entry("a", "Ready"), entry("b", "Ready")}, func(id, result string) { told[id] = result })
	g, err := newGate(d, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer g.down()
	addr := g.srv.Addr()
	check := func(after, wantSeq string, wantHosts ...string) {
		t.Helper()
		body := ask(t, addr, "/registry/instances"+after)
		if !strings.HasPrefix(body, wantSeq) || strings.Count(body, `"host":`) != len(wantHosts) {
			t.Errorf("%q: %s, want %s and %q", after, body, wantSeq, wantHosts)
		}
		for _, h := range wantHosts {
			if !strings.Contains(body, h) {
				t.Errorf("%q: %s, want %s", after, body, h)
			}
		}
	}
	check("", `{"seq":1,"whole":true`, `"host":"a"`, `"host":"b"`)
	d.publish(entry("a", "Gone"), entry("c", "Ready"))
	d.publish(entry("b", "Terminating"))
	check("", `{"seq":3,"whole":true`, `"health":"Terminating"`, `"host":"c"`)
	check("?after=1&wait_ms=0", `{"seq":3,"whole":false`, `"host":"a"`, `"host":"c"`, `"host":"b"`)
	check("?after=2&wait_ms=0", `{"seq":3,"whole":false`, `"host":"b"`)
	check("?after=3&wait_ms=1", `{"seq":3,"whole":false`)
	check("?after=0&wait_ms=0", `{"seq":3,"whole":true`, `"host":"b"`, `"host":"c"`) // before the changes kept
	check("?after=9&wait_ms=0", `{"seq":3,"whole":true`, `"host":"b"`, `"host":"c"`)
	if c := g.counts(); c.calls != 7 || c.wholes != 4 || c.out == 0 || c.in == 0 {
		t.Errorf("counted %+v", c)
	}
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	body := `{"ref":"m","result":"dead"}` + "\n"
	fmt.Fprintf(nc, "POST /status HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if r, err := http1.ReadResponse(bufio.NewReader(nc), 1<<10); err != nil || r.Status != 204 || told["m"] != "dead" {
		t.Errorf("a notice: %+v, %v, %v", r, err, told)
	}
}

// A gate that is cut says nothing and breaks what hung in it once it is back; one that is down refuses, and comes back at its address.
func TestGates(t *testing.T) {
	d := newDiscovery([]platform.Entry{{Host: "a", Health: "Ready"}}, func(string, string) {})
	site, err := newSite(1)
	if err != nil {
		t.Fatal(err)
	}
	defer site.claim.Close()
	g, err := newGate(d, site.gates+":20000")
	if err != nil {
		t.Fatal(err)
	}
	defer g.down()
	g.cut(true)
	nc, err := net.Dial("tcp", g.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	io.WriteString(nc, "GET /registry/instances HTTP/1.1\r\n\r\n")
	nc.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	if n, err := nc.Read(make([]byte, 1)); n > 0 || !strings.Contains(fmt.Sprint(err), "timeout") {
		t.Errorf("cut off: %d bytes, %v", n, err)
	}
	before := g.reachable()
	g.cut(false)
	nc.SetReadDeadline(time.Now().Add(10 * time.Second))
	if n, err := nc.Read(make([]byte, 1)); n > 0 || err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("back after a cut: %d bytes, %v, want the end", n, err)
	}
	if !g.reachable().After(before) || !strings.Contains(ask(t, g.addr, "/registry/instances"), `"whole":true`) {
		t.Error("it cannot be reached after the cut")
	}
	g.down()
	if nc, err := net.Dial("tcp", g.addr); err == nil {
		nc.Close()
		t.Error("a discovery that is away takes a connection")
	}
	if err := g.up(); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, "whole list", func() bool { return strings.Contains(ask(t, g.addr, "/registry/instances"), `"whole":true`) })
	if g.counts().wholes < 2 {
		t.Errorf("counted %+v", g.counts())
	}
}
