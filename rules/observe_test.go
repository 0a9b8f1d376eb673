package rules

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
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

// TestLimitedCallsAreObserved guards against a call to an endpoint that may be cold of which nothing tells what its
// sender knew, and which limit let it through.
func TestLimitedCallsAreObserved(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(b *bench, ep *endpointState)
		want    []LimitedCall
	}{
		{"nothing wrong", func(*bench, *endpointState) {}, nil},
		{"failed once", func(b *bench, ep *endpointState) { b.s.onFailure(ep, b.now-sec, Errored) },
			[]LimitedCall{{Gate: GateConfirmation, Failures: 1, LastFailedSent: -sec}}},
		{"failed once, answered since", func(b *bench, ep *endpointState) {
			b.s.onFailure(ep, b.now-2*sec, Errored)
			b.processAnswer(11, safe, 100*ms)
		}, []LimitedCall{{Gate: GateNone, LastFailedSent: -2 * sec}}},
		{"refused", func(b *bench, ep *endpointState) { ep.limitScope.consecutiveRefusals = 2 },
			[]LimitedCall{{Gate: GateRate, Refusals: 2}}},
		{"on probation", func(_ *bench, ep *endpointState) { ep.health = probation },
			[]LimitedCall{{Gate: GateProbe, State: Probation}}},
		{"on slow start", func(_ *bench, ep *endpointState) { ep.health = slowStart },
			[]LimitedCall{{Gate: GateShare, State: SlowStart}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, nil)
			b.s.now = b.now
			began := b.now
			c.prepare(b, b.s.endpoint(11))
			b.now += 30 * ms
			b.submit(safe)
			b.wait(2 * sec)
			got := b.s.Observe().LimitedCalls
			for i := range c.want {
				c.want[i].Endpoint, c.want[i].InFlight = 11, 1
				if c.want[i].LastFailedSent != 0 {
					c.want[i].LastFailedSent += began
				}
			}
			for i := range got {
				got[i].At = 0
			}
			if diff := cmp.Diff(c.want, got, cmpopts.EquateEmpty()); diff != "" {
				t.Errorf("limited calls:\n%s", diff)
			}
		})
	}
}
