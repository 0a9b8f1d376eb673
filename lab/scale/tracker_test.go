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

// The judge reports a message without an end, one delivered twice or delivered and reported as undelivered, an end
// after the deadline and a call by the old list. It doesn't report messages that were not accepted, ends that were late
// because the sender was down, and repeats that are allowed.
func TestJudge(t *testing.T) {
	never := func(int) time.Time { return time.Time{} }
	now := time.Now()
	deliver := func(tr *tracker) { tr.recordCall("t-0-1-s", 0) }
	deliverLate := func(tr *tracker) {
		tr.messages["t-0-1-s"].deadline = now.Add(-time.Second)
		tr.recordCall("t-0-1-s", 0)
	}
	for name, c := range map[string]struct {
		play          func(tr *tracker)
		excusedUntil  func(int) time.Time
		want          verdict
		wantViolation string
	}{
		"delivered": {deliver, never, verdict{delivered: 1}, ""},
		"notified": {
			func(tr *tracker) { tr.recordNotice("t-0-1-s", "dead") }, never,
			verdict{notified: 1}, "",
		},
		"lost": {func(tr *tracker) {}, never, verdict{lost: 1}, "t-0-1-s was taken on and has no end"},
		"repeated": {
			func(tr *tracker) { deliver(tr); deliver(tr) }, never,
			verdict{delivered: 1}, "",
		},
		"late": {deliverLate, never, verdict{delivered: 1, late: 1}, "after its time"},
		"late as the sender was down": {
			deliverLate, func(int) time.Time { return now },
			verdict{delivered: 1}, "",
		},
	} {
		tr := newTracker()
		tr.recordSubmission("t-0-1-s", message{deadline: now.Add(time.Minute)})
		tr.recordAnswer("t-0-1-s", true)
		tr.recordSubmission("t-0-2-o", message{atMostOnce: true, deadline: now}) // not accepted
		c.play(tr)
		v := tr.judge(c.excusedUntil)
		v.longestDelay = 0
		first := v.firstViolation
		v.firstViolation = ""
		c.want.submitted, c.want.accepted = 2, 1
		if v != c.want || !strings.Contains(first, c.wantViolation) || (first == "") != (c.wantViolation == "") {
			t.Errorf("%s: %+v %q, want %+v %q", name, v, first, c.want, c.wantViolation)
		}
	}
	tr := newTracker()
	for _, id := range []string{"t-0-1-o", "t-0-2-o"} {
		tr.recordSubmission(id, message{atMostOnce: true, deadline: now.Add(time.Minute)})
		tr.recordAnswer(id, true)
	}
	tr.recordCall("t-0-1-o", 0)
	tr.recordCall("t-0-1-o", 0)
	tr.recordCall("t-0-2-o", 0)
	tr.recordNotice("t-0-2-o", "bounced")
	if v := tr.judge(never); v.duplicated != 2 || v.lost != 0 {
		t.Errorf("one delivered twice, one delivered and reported as safe to submit again: %+v", v)
	}
	if tr.unfinished() != 0 {
		t.Errorf("%d messages are unfinished, want none", tr.unfinished())
	}
}

// The delay of a change counts from when the sender could learn of it. A call to the old endpoint after the adoption is
// detected, unless it comes within the grace or a later change made that endpoint the new one again.
func TestChangeDelays(t *testing.T) {
	tr := newTracker()
	c := tr.addChange(5)
	tr.markPublished(c)
	for s := range 3 {
		tr.markVisible(c, s, true, time.Time{})
		tr.markVisible(c, s, false, time.Time{})
	}
	tr.recordCall(probeID(c.number, 0, 1), 1-c.side) // not adopted yet
	tr.recordCall(probeID(c.number, 0, 2), c.side)
	tr.recordCall(probeID(c.number, 0, 3), 1-c.side) // within the grace
	tr.recordSimulatedAdoption(c.number, 2)
	if d := tr.changeDelays(0, true, allSenders, time.Now()); len(d.delaysMS) != 1 || d.pending != 2 || d.late != 0 {
		t.Errorf("real: %+v", d)
	}
	if d := tr.changeDelays(0, false, 2, time.Now()); len(d.delaysMS) != 1 || d.pending != 0 {
		t.Errorf("simulated: %+v", d)
	}
	later := time.Now().Add(maxChangeDelay + time.Second)
	if d := tr.changeDelays(0, true, allSenders, later); d.late != 2 || d.missing != 2 || d.longest < maxChangeDelay {
		t.Errorf("after the limit: %+v", d)
	}
	tr.markReachable(1, true, later) // cut off until then
	if d := tr.changeDelays(0, true, allSenders, later); d.late != 1 || d.pending != 1 {
		t.Errorf("after the limit, one sender cut off until then: %+v", d)
	}
	tr.recordProbe(c.number, 0, 1-c.side, time.Now().Add(2*staleGrace))
	v := tr.judge(func(int) time.Time { return time.Time{} })
	if v.stale != 1 || !strings.Contains(v.firstViolation, "by the list before change 0") {
		t.Errorf("a call to the old endpoint: %+v", v)
	}
	again := tr.addChange(5)
	if again.side == c.side || c.latest || !tr.obsolete(c, 1) {
		t.Errorf("a later change of the same destination: %+v %+v", c, again)
	}
	if d := tr.changeDelays(0, true, 1, time.Now()); d.superseded != 1 || d.pending != 0 {
		t.Errorf("superseded: %+v", d)
	}
}

// get sends one request to a gateway and returns the body of its answer.
func get(t *testing.T, addr, target string) string {
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

// Discovery answers with the updates since a version, with the full list if the request names no version, an unknown
// one or one that is too old, and with no updates when the wait is over.
func TestDiscovery(t *testing.T) {
	entry := func(host, health string) platform.Entry {
		return platform.Entry{Host: host, Dial: "127.0.0.1:1", Health: health}
	}
	notices := map[string]string{}
	d := newDiscovery([]platform.Entry{entry("a", "Ready"), entry("b", "Ready")}, func(id, result string) {
		notices[id] = result
	})
	g, err := newGateway(d, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer g.stop()
	addr := g.srv.Addr()
	check := func(query, wantPrefix string, wantParts ...string) {
		t.Helper()
		body := get(t, addr, "/registry/instances"+query)
		if !strings.HasPrefix(body, wantPrefix) || strings.Count(body, `"host":`) != len(wantParts) {
			t.Errorf("%q: %s, want %s and %q", query, body, wantPrefix, wantParts)
		}
		for _, part := range wantParts {
			if !strings.Contains(body, part) {
				t.Errorf("%q: %s, want %s", query, body, part)
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
	check("?after=0&wait_ms=0", `{"seq":3,"whole":true`, `"host":"b"`, `"host":"c"`) // before the kept updates
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
	r, err := http1.ReadResponse(bufio.NewReader(nc), 1<<10)
	if err != nil || r.Status != 204 || notices["m"] != "dead" {
		t.Errorf("a notice: %+v, %v, %v", r, err, notices)
	}
}

// A gateway that is cut off answers nothing and closes the connections that hung when it is back. One that is down
// refuses connections, and starts again at its address.
func TestGateways(t *testing.T) {
	d := newDiscovery([]platform.Entry{{Host: "a", Health: "Ready"}}, func(string, string) {})
	addresses, err := claimAddresses(1)
	if err != nil {
		t.Fatal(err)
	}
	defer addresses.claim.Close()
	g, err := newGateway(d, addresses.gatewayIP+":20000")
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
		t.Errorf("after the end of the cut: %d bytes, %v, want the connection closed", n, err)
	}
	if !g.reachableSince().After(before) || !strings.Contains(get(t, g.addr, "/registry/instances"), `"whole":true`) {
		t.Error("the gateway is not reachable after the end of the cut")
	}
	g.stop()
	if nc, err := net.Dial("tcp", g.addr); err == nil {
		nc.Close()
		t.Error("a stopped gateway accepts a connection")
	}
	if err := g.start(); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, "full list", func() bool {
		return strings.Contains(get(t, g.addr, "/registry/instances"), `"whole":true`)
	})
	if g.counts().fullLists < 2 {
		t.Errorf("counted %+v", g.counts())
	}
}
