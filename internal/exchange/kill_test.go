package exchange

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"eiderhaven/internal/ledger"
	"eiderhaven/internal/testkit"
	"eiderhaven/rules"
)

// deed is something done towards the outside, with how much of the ledger was written by then.
type externalAction struct {
	kind       string // "taken", "called", "delivered", "told"
	id         string
	ledgerSize int64
}

// segment is the one file of a ledger that has not turned yet.
func onlySegment(t *testing.T, dir string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.seg"))
	if err != nil || len(files) != 1 {
		t.Fatalf("%d segments, want one (%v)", len(files), err)
	}
	return files[0]
}

// A sender killed at any byte of its ledger, between two records or within one, leaves the truth behind: what a client heard as taken on
// is held, told of (again, as no notice was accepted), or was delivered; a payment whose call had gone out and has no outcome is told as dead and not sent again; one
// whose call had not gone out is sent; and nothing that was delivered is.
func TestKilledAtEachRecord(t *testing.T) {
	w := newHarness(t, t.TempDir(), nil)
	path := onlySegment(t, w.dir)
	size := func() int64 {
		info, err := os.Stat(path)
		if err != nil {
			t.Fatal(err)
		}
		return info.Size()
	}
	var done []externalAction
	var stops []int64 // after each step: records stand before and behind each of these
	note := func(what, id string) { done = append(done, externalAction{what, id, size()}) }
	w.endpoints.onStart = func(c *Call) {
		for _, m := range c.Items {
			note("called", m.ID)
		}
	}
	w.Recover()
	step := func() {
		w.step()
		stops = append(stops, size())
	}
	for i, class := range []string{"payment", "stock", "payment", "payment", "stock"} {
		reply, id := make(chan Answer, 1), fmt.Sprint("m", i)
		w.Exchange.accept(newMessage(id, class, 1), reply)
		stops = append(stops, size())
		w.advanceClock(time.Second)
		step()
		if (<-reply).Verdict == Accepted {
			note("taken", id)
		}
	}
	for range 5 { // calls end, in the order in which they went out
		c, o := testkit.Receive(t, w.endpoints.started, "call"), rules.OK
		if c.Items[0].ID == "m2" || c.Items[0].ID == "m4" { // a payment, and one that goes out again
			o = rules.Reset
		}
		w.onCallFinished(c.inFlight, Result{Written: true, Items: slices.Repeat([]ItemResult{{Outcome: o}}, len(c.Items))})
		stops = append(stops, size())
		if o == rules.OK {
			note("delivered", c.Items[0].ID)
		}
		step()
		for len(w.platform.enqueued) > 0 {
			note("told", (<-w.platform.enqueued).ID)
		}
	}
	w.ledger.Close()
	if !slices.ContainsFunc(done, func(d externalAction) bool { return d.kind == "told" }) {
		t.Fatalf("no notice among %+v", done)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for cut := int64(0); cut <= int64(len(text)); cut += 7 { // within records
		stops = append(stops, cut)
	}
	for _, cut := range stops {
		checkRestartAfterKill(t, text[:cut], done)
	}
}

// killedAt starts a new process on the ledger as it stood, and compares what it does with what had been done by then.
func checkRestartAfterKill(t *testing.T, text []byte, done []externalAction) {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "00000001.seg"), text, 0o600); err != nil {
		t.Fatal(err)
	}
	by := func(what, id string) bool {
		return slices.ContainsFunc(done, func(d externalAction) bool { return d.kind == what && d.id == id && d.ledgerSize <= int64(len(text)) })
	}
	w := newHarness(t, dir, nil)
	owed := map[string]ledger.PendingMessage{}
	for _, o := range w.ledger.Pending() {
		owed[o.Message.ID] = o
	}
	w.Recover()
	w.advanceClock(time.Second)
	w.step()
	sent, told := map[string]bool{}, map[string]bool{}
	for len(w.endpoints.started) > 0 {
		for _, m := range (<-w.endpoints.started).Items {
			sent[m.ID] = true
		}
	}
	for len(w.platform.enqueued) > 0 {
		told[(<-w.platform.enqueued).ID] = true
	}
	for i, once := range []bool{true, false, true, true, false} {
		id := fmt.Sprint("m", i)
		o, held := owed[id]
		switch {
		case by("delivered", id) && (held || told[id]):
			t.Errorf("killed at %d: %s was delivered and is still owed", len(text), id)
		case by("told", id) && !told[id]:
			t.Errorf("killed at %d: the notice of %s was not accepted and is not repeated", len(text), id)
		case by("taken", id) && !held && !told[id] && !by("delivered", id):
			t.Errorf("killed at %d: %s was taken on and is forgotten", len(text), id)
		case held && once && by("called", id) && sent[id]:
			t.Errorf("killed at %d: %s may have run and is sent again (%+v)", len(text), id, o)
		case held && once && by("called", id) && !told[id]:
			t.Errorf("killed at %d: %s may have run and is not told of", len(text), id)
		case held && !o.MayHaveRun && !sent[id] && !told[id]:
			t.Errorf("killed at %d: %s is untried and not sent", len(text), id)
		case !held && sent[id]:
			t.Errorf("killed at %d: %s is over and sent", len(text), id)
		}
	}
	w.ledger.Close()
}
