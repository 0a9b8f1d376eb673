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
		play    func(b *tracker)
		excused func(int) time.Time
		want    verdict
		says    string
	}{
		"delivered":    {func(b *tracker) { b.recordCall("t-0-1-s", 0) }, never, verdict{delivered: 1}, ""},
		"told":         {func(b *tracker) { b.recordNotice("t-0-1-s", "dead") }, never, verdict{notified: 1}, ""},
		"lost":         {func(b *tracker) {}, never, verdict{lost: 1}, "t-0-1-s was taken on and has no end"},
		"repeated":     {func(b *tracker) { b.recordCall("t-0-1-s", 0); b.recordCall("t-0-1-s", 0) }, never, verdict{delivered: 1}, ""},
		"late":         {func(b *tracker) { b.messages["t-0-1-s"].deadline = now.Add(-time.Second); b.recordCall("t-0-1-s", 0) }, never, verdict{delivered: 1, late: 1}, "after its time"},
		"late by kill": {func(b *tracker) { b.messages["t-0-1-s"].deadline = now.Add(-time.Second); b.recordCall("t-0-1-s", 0) }, func(int) time.Time { return now }, verdict{delivered: 1}, ""},
	} {
		b := newTracker()
		b.recordSubmission("t-0-1-s", message{deadline: now.Add(time.Minute)})
		b.recordAnswer("t-0-1-s", true)
		b.recordSubmission("t-0-2-o", message{atMostOnce: true, deadline: now}) // not taken on: nothing is owed
		c.play(b)
		v := b.judge(c.excused)
		v.longestDelay = 0
		first := v.firstViolation
		v.firstViolation = ""
		c.want.submitted, c.want.accepted = 2, 1
		if v != c.want || !strings.Contains(first, c.says) || (first == "") != (c.says == "") {
			t.Errorf("%s: %+v %q, want %+v %q", name, v, first, c.want, c.says)
		}
	}
	b := newTracker()
	for _, id := range []string{"t-0-1-o", "t-0-2-o"} {
		b.recordSubmission(id, message{atMostOnce: true, deadline: now.Add(time.Minute)})
		b.recordAnswer(id, true)
	}
	b.recordCall("t-0-1-o", 0)
	b.recordCall("t-0-1-o", 0)
	b.recordCall("t-0-2-o", 0)
	b.recordNotice("t-0-2-o", "bounced")
	if v := b.judge(never); v.duplicated != 2 || v.lost != 0 {
		t.Errorf("ran twice, and ran and was told of as harmless: %+v", v)
	}
	if b.unfinished() != 0 {
		t.Error("nothing is owed")
	}
}

// A change is timed from when its sender could hear of it; a call the old way after one by it is seen, unless it just crossed or a
// later change made the old place the new one.
func TestChangesAreTimed(t *testing.T) {
	b := newTracker()
	c := b.addChange(5)
	b.markPublished(c)
	for s := range 3 {
		b.markVisible(c, s, true, time.Time{})
		b.markVisible(c, s, false, time.Time{})
	}
	b.recordCall(probeID(c.number, 0, 1), 1-c.side) // not by it yet
	b.recordCall(probeID(c.number, 0, 2), c.side)
	b.recordCall(probeID(c.number, 0, 3), 1-c.side) // crossed
	b.recordSimulatedAdoption(c.number, 2)
	if d := b.changeDelays(0, true, -1, time.Now()); len(d.delaysMS) != 1 || d.pending != 2 || d.late != 0 {
		t.Errorf("real: %+v", d)
	}
	if d := b.changeDelays(0, false, 2, time.Now()); len(d.delaysMS) != 1 || d.pending != 0 {
		t.Errorf("hollow: %+v", d)
	}
	later := time.Now().Add(maxChangeDelay + time.Second)
	if d := b.changeDelays(0, true, -1, later); d.late != 2 || d.missing != 2 || d.longest < maxChangeDelay {
		t.Errorf("past their time: %+v", d)
	}
	b.markReachable(1, true, later) // cut off until then
	if d := b.changeDelays(0, true, -1, later); d.late != 1 || d.pending != 1 {
		t.Errorf("past their time, one of them cut off: %+v", d)
	}
	b.recordProbe(c.number, 0, 1-c.side, time.Now().Add(2*staleGrace))
	if v := b.judge(func(int) time.Time { return time.Time{} }); v.stale != 1 || !strings.Contains(v.firstViolation, "by the list before change 0") {
		t.Errorf("the old way: %+v", v)
	}
	again := b.addChange(5)
	if again.side == c.side || c.latest || !b.obsolete(c, 1) {
		t.Errorf("a later change of the same destination: %+v %+v", c, again)
	}
	if d := b.changeDelays(0, true, 1, time.Now()); d.superseded != 1 || d.pending != 0 {
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
	g, err := newGateway(d, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer g.stop()
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
	if c := g.counts(); c.calls != 7 || c.fullLists != 4 || c.sent == 0 || c.received == 0 {
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
	site, err := claimAddresses(1)
	if err != nil {
		t.Fatal(err)
	}
	defer site.claim.Close()
	g, err := newGateway(d, site.gatewayIP+":20000")
	if err != nil {
		t.Fatal(err)
	}
	defer g.stop()
	g.setCutOff(true)
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
	before := g.reachableSince()
	g.setCutOff(false)
	nc.SetReadDeadline(time.Now().Add(10 * time.Second))
	if n, err := nc.Read(make([]byte, 1)); n > 0 || err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("back after a cut: %d bytes, %v, want the end", n, err)
	}
	if !g.reachableSince().After(before) || !strings.Contains(ask(t, g.addr, "/registry/instances"), `"whole":true`) {
		t.Error("it cannot be reached after the cut")
	}
	g.stop()
	if nc, err := net.Dial("tcp", g.addr); err == nil {
		nc.Close()
		t.Error("a discovery that is away takes a connection")
	}
	if err := g.start(); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, "whole list", func() bool { return strings.Contains(ask(t, g.addr, "/registry/instances"), `"whole":true`) })
	if g.counts().fullLists < 2 {
		t.Errorf("counted %+v", g.counts())
	}
}
