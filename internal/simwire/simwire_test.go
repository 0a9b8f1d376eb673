package simwire

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"eiderhaven/rules"
)

// decodeBatch decodes a batch of these lines at 5 ms. Its first line has the number 2.
func decodeBatch(t *testing.T, lines ...string) (*Batch, error) {
	t.Helper()
	text := "{\"verb\":\"batch\",\"moment_us\":5000}\n" + strings.Join(lines, "\n") + "\n{\"verb\":\"flush\"}\n"
	return NewDecoder(strings.NewReader(text)).ReadBatch()
}

func TestEvents(t *testing.T) {
	for _, c := range []struct {
		line string
		want rules.Event
	}{
		{`{"verb":"new_request","sender_id":3,"txn":"a","estimate_us":12000,"dest":57,"service":1,"path_key":"k","grace_us":240000,"user_group":2}`,
			rules.Arrived{ID: "a", Destination: 57, Class: 1, Tenant: 2, OrderKey: "k",
				TimeLeft: 240 * time.Millisecond, Estimate: 12 * time.Millisecond}},
		{`{"verb":"vanished","sender_id":3,"txn":"a"}`, rules.Withdrawn{ID: "a"}},
		{`{"verb":"headers","sender_id":3,"txn":"a","endpoint":7,"round_no":2,"time_taken_us":5}`,
			rules.StreamStarted{ID: "a", Attempt: 2}},
		{`{"verb":"wakeup","sender_id":3,"key_back":0}`, rules.WakeUp{}},
		{`{"verb":"directory_update","sender_id":3,"kind":"error"}`, rules.DiscoveryFailed{}},
		{`{"verb":"answer","sender_id":3,"txn":"a","round_no":1,"endpoint":7,"ending":"QueueFull","time_taken_us":18500,"note":250}`,
			rules.AttemptEnded{ID: "a", Attempt: 1, Endpoint: 7, Outcome: rules.Refused, Elapsed: 18500 * time.Microsecond,
				RetryAfter: 250 * time.Millisecond}},
		{`{"verb":"answer","sender_id":3,"txn":"a","round_no":0,"endpoint":7,"ending":"Ignored","time_taken_us":0,"note":1}`,
			rules.AttemptEnded{ID: "a", Endpoint: 7, Outcome: rules.NotSent, NoFreeSlot: true}},
		{`{"verb":"answer","sender_id":3,"txn":"a","round_no":0,"endpoint":7,"ending":"Ok","time_taken_us":1,"closed":true,"telemetry":{"x0":0.5,"x1":3}}`,
			rules.AttemptEnded{ID: "a", Endpoint: 7, Outcome: rules.OK, Elapsed: time.Microsecond, Finished: true,
				Report: rules.Report{Remaining: 0.5, Limit: 3}}},
		{`{"verb":"check_result","sender_id":3,"endpoint":7,"ending":"ConnectError","time_taken_us":1400}`,
			nil},
		{`{"verb":"inbox","sender_id":3,"sender":2,"bytes":"hi"}`, nil},
		{`{"verb":"inbox","sender_id":3,"sender":2,"bytes":"1z 1"}`, rules.HintReceived{Hint: rules.Hint{Endpoint: 71, Class: 1}}},
		{`{"verb":"inbox","sender_id":3,"sender":2,"bytes":"1z 0 7ps"}`, rules.HintReceived{Hint: rules.Hint{Endpoint: 71, RetryAfter: 10 * time.Second}}},
		{`{"verb":"inbox","sender_id":3,"sender":2,"bytes":"1z 1 1 1"}`, nil},
		{`{"verb":"inbox","sender_id":3,"sender":2,"bytes":"zzzzzzzzz 1"}`, nil},
		{`{"verb":"inbox","sender_id":3,"sender":2,"bytes":""}`, nil},
	} {
		b, err := decodeBatch(t, c.line)
		if err != nil {
			t.Errorf("%s: %v", c.line, err)
			continue
		}
		if b.Now != 5*time.Millisecond || len(b.Items) != 1 || b.Items[0].Instance != 3 || b.Items[0].Line != 2 {
			t.Errorf("%s: batch %+v", c.line, b)
		}
		if got := b.Items[0].Event; !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s:\ngot  %#v\nwant %#v", c.line, got, c.want)
		}
	}
}

// TestEveryOutcomeHasAnEnding checks that the protocol's endings cover all outcomes of package rules.
func TestEveryOutcomeHasAnEnding(t *testing.T) {
	if len(outcomeByEnding) != int(rules.NotSent)+1 {
		t.Errorf("%d endings for %d outcomes", len(outcomeByEnding), rules.NotSent+1)
	}
}

// TestListNumbersAreResolvedInOrder guards against resolving list numbers at the end of a batch: a number may be reused
// within a batch, and each update refers to the latest list before it.
func TestListNumbersAreResolvedInOrder(t *testing.T) {
	b, err := decodeBatch(t,
		`{"verb":"catalog","ref":0,"elements":[{"campus":1,"endpoint":1,"capacity_hint":1.5,"flavor":2,"destination":9,"readiness":"healthy"}]}`,
		`{"verb":"directory_update","sender_id":0,"kind":"snapshot","ref":0,"rev":1}`,
		`{"verb":"catalog","ref":0,"elements":[{"endpoint":2,"destination":9,"readiness":"cordoned"},{"endpoint":3,"destination":9,"readiness":"deregistered"}]}`,
		`{"verb":"directory_update","sender_id":0,"kind":"diff","ref":0,"rev":2}`)
	if err != nil {
		t.Fatal(err)
	}
	want := []rules.Event{
		rules.ListUpdate{Whole: true, Entries: []rules.Entry{{Endpoint: 1, Destination: 9, Kind: 2, Zone: 1, ListedRate: 1.5}}},
		rules.ListUpdate{Entries: []rules.Entry{{Endpoint: 2, Destination: 9, Draining: true}, {Endpoint: 3, Destination: 9, Gone: true}}},
	}
	if got := []rules.Event{b.Items[0].Event, b.Items[1].Event}; !reflect.DeepEqual(got, want) {
		t.Errorf("got %#v", got)
	}
}

func TestSettings(t *testing.T) {
	b, err := decodeBatch(t, `{"verb":"power_on","sender_id":0,"nonce64":5138197539985895,"env":{"allowed":{"connect_timeout_us":1000000,`+
		`"keepalive_us":10000000,"max_attempts":12,"max_open":186,"max_retry_after_us":3000000,"may_cancel":true,"peers":true,"probes":true,`+
		`"retry_after":true,"second_copies":true},"az":1,"balancers":2,"extra":{"batch_by_kind":[5,1],"late":"halving",`+
		`"routes_apart":[false,true],"slots":13,"toll":[0.5]},"flavors":["x","y"],"over_share_worth":0.1,"parties":[{"name":"p",`+
		`"quota_per_s":4.5,"fraction":1}],"registry_mode":"ask","request_classes":[{"deadline_us":16000000,"dedup_scope":"zone",`+
		`"effect":"deduplicated","goal_time_us":2500000,"late_worth":0.4,"keep_order":true,"window_us":5000000,"worth":2}],`+
		`"safety":{"ask_every_us":10000000,"cold_share":0.17,"drain_grace_us":500000,"fall_us":2000000,`+
		`"grace_to_answer_us":20000,"order_pause_us":700000,"overload_factor":2,"warm_up_us":9800000},"tariffs":{"cross_zone":0.03},`+
		`"tick_us":5000,"weights":"rough","unheard_of":{}}}`)
	if err != nil {
		t.Fatal(err)
	}
	s := time.Second
	want := &rules.Settings{Seed: 5138197539985895, Senders: 2, Zone: 1, Tick: 5 * time.Millisecond, Slots: 13, MaxHeld: 186,
		MaxAttempts: 12, ConnectTimeout: s, KeepAlive: 10 * s, MaxRetryAfter: 3 * s, MaySendRetryAfter: true, MayCancel: true, MayShareHints: true,
		AnswerGrace: 20 * time.Millisecond, DrainGrace: s / 2, ColdShare: 0.17,
		WarmUp: 9800 * time.Millisecond, FallWindow: 2 * s, OverloadFactor: 2, OrderPause: 700 * time.Millisecond,
		WatchesRegistry: true, WatchInterval: 10 * s, RatesListed: true, LateHalving: true, OverShareWorth: 0.1, ZoneCosts: []float64{0.5},
		Kinds: []rules.Kind{{Batch: 5}, {Batch: 1, RoutesApart: true}},
		Classes: []rules.Class{{Effect: rules.Keyed, Scope: rules.DedupZone, Window: 5 * s, Aim: 2500 * time.Millisecond,
			Deadline: 16 * s, Worth: 2, LateWorth: 0.4, KeepOrder: true}},
		Tenants: []rules.Tenant{{Quota: 4.5}}}
	if got := b.Items[0].Start; !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

func TestActions(t *testing.T) {
	var out bytes.Buffer
	enc := NewEncoder(&out)
	if err := enc.WriteActions(4, []rules.Action{
		rules.Send{ID: "a", Endpoint: 7, Timeout: 80 * time.Millisecond},
		rules.Send{ID: "b", Endpoint: 0},
		rules.Refuse{ID: "a", RetryAfter: 250 * time.Millisecond},
		rules.Fail{ID: "a"},
		rules.Cancel{ID: "a"},
		rules.CloseIdle{Endpoint: 7},
		rules.WakeAfter{After: time.Second},
		rules.Watch{},
		rules.Recall{ID: "a"},                // left out of the reply
		rules.EndpointForgotten{Endpoint: 7}, // left out of the reply
		rules.PublishHint{Hint: rules.Hint{Endpoint: 71, Class: 1}},
		rules.PublishHint{Hint: rules.Hint{Endpoint: 71, RetryAfter: 10 * time.Second}},
	}); err != nil {
		t.Fatal(err)
	}
	if err := enc.ReportCrash(4, "why"); err != nil {
		t.Fatal(err)
	}
	if err := enc.EndReply(); err != nil {
		t.Fatal(err)
	}
	want := `{"verb":"try","sender_id":4,"txn":"a","endpoint":7,"patience_us":80000}
{"verb":"try","sender_id":4,"txn":"b","endpoint":0}
{"verb":"deny","sender_id":4,"txn":"a","wait_us":250000}
{"verb":"finish_error","sender_id":4,"txn":"a"}
{"verb":"undo_send","sender_id":4,"txn":"a","round_no":0}
{"verb":"close_idle","sender_id":4,"endpoint":7}
{"verb":"wake_at","sender_id":4,"after_us":1000000,"key_back":0}
{"verb":"stream_changes","sender_id":4,"on":true}
{"verb":"memo_to","sender_id":4,"dst":"*","bytes":"1z 1"}
{"verb":"memo_to","sender_id":4,"dst":"*","bytes":"1z 0 7ps"}
{"verb":"die","sender_id":4,"note_text":"why"}
{"verb":"yield"}
`
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
}

func TestCleanEndOfInput(t *testing.T) {
	if _, err := NewDecoder(strings.NewReader("")).ReadBatch(); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want io.EOF", err)
	}
}

// TestUnknownFieldsAreCounted checks that a field that the protocol does not define is ignored and counted.
func TestUnknownFieldsAreCounted(t *testing.T) {
	text := "{\"verb\":\"batch\",\"moment_us\":5000}\n" +
		`{"verb":"vanished","sender_id":3,"txn":"a","colour":"blue"}` + "\n" +
		`{"verb":"vanished","sender_id":3,"txn":"b","colour":"red"}` + "\n" +
		`{"verb":"wakeup","sender_id":3,"key_back":0,"again":true}` + "\n{\"verb\":\"flush\"}\n"
	dec := NewDecoder(strings.NewReader(text))
	b, err := dec.ReadBatch()
	if err != nil {
		t.Fatal(err)
	}
	if len(b.Items) != 3 || b.Items[1].Event != (rules.Withdrawn{ID: "b"}) {
		t.Errorf("items %+v", b.Items)
	}
	if want := map[string]int{"vanished.colour": 2}; !reflect.DeepEqual(dec.UnknownFields, want) {
		t.Errorf("unknown fields %v, want %v", dec.UnknownFields, want)
	}
}
