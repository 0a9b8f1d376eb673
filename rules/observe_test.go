package rules

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestObservations guards against observations that are missing, wrong or reported twice: an endpoint goes from
// probation through slow start to healthy, and a message is shed meanwhile.
func TestObservations(t *testing.T) {
	b := newBench(t, nil)
	b.serve(3, safe, 11)
	if o := b.s.Observe(); len(o.Transitions)+len(o.Undelivered)+o.Deferred > 0 {
		t.Fatalf("got observations of a healthy endpoint: %+v", o)
	}
	ep := b.s.endpoint(11)
	ep.failingSince = b.now - 5*sec
	b.s.startProbation(ep, Reset, CauseFailures)
	ep.limitScope.controller.notBefore = b.now + 20*sec // else the message would be sent as the probe
	late, _ := b.submit(atMostOnce)
	b.wait(30 * sec)
	ep.preOutageRate = 20
	b.processAnswer(11, safe, 0)
	b.wait(11 * sec)
	b.processAnswer(11, safe, 0)
	o := b.s.Observe()
	type change struct {
		From, To State
		Cause    Cause
	}
	var got []change
	for _, tr := range o.Transitions {
		got = append(got, change{tr.From, tr.To, tr.Cause})
	}
	want := []change{
		{Healthy, Probation, CauseFailures},
		{Probation, SlowStart, CauseAnswered},
		{SlowStart, Healthy, CauseWarm},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("transitions:\n%s", diff)
	}
	if diff := cmp.Diff([]Undelivered{{late, EndShed}}, o.Undelivered); diff != "" {
		t.Errorf("undelivered messages:\n%s", diff)
	}
	if o.Deferred == 0 {
		t.Error("nothing was deferred while a message waited for a probe")
	}
	if o = b.s.Observe(); len(o.Transitions)+len(o.Undelivered)+o.Deferred > 0 {
		t.Errorf("observations reported twice: %+v", o)
	}
}
