package settings

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"encoding/json"

	"eiderhaven/rules"
)

// exampleSettings returns the settings object of the example configuration.
func exampleSettings(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var c struct{ Settings json.RawMessage }
	if err := json.Unmarshal(text, &c); err != nil {
		t.Fatal(err)
	}
	return string(c.Settings)
}

func TestDecode(t *testing.T) {
	s, names, err := Decode([]byte(exampleSettings(t)), 42)
	if err != nil {
		t.Fatal(err)
	}
	if s.Seed != 42 || s.Slots != 10 || s.MaxHeld != 100 || s.Tick != 5*time.Millisecond || !s.MaySendRetryAfter || !s.LateHalving ||
		s.KeepAlive != 10*time.Second || len(s.Kinds) != 1 || s.Kinds[0].Batch != 1 {
		t.Errorf("settings: %+v", s)
	}
	if len(s.Classes) != 2 || s.Classes[0].Effect != rules.Safe || s.Classes[1].Effect != rules.AtMostOnce ||
		s.Classes[1].Deadline != 16*time.Second {
		t.Errorf("classes: %+v", s.Classes)
	}
	if fmt.Sprint(*names) != "{[stock payment] [any] [here] []}" {
		t.Errorf("names: %v", *names)
	}
}

// Both Decode and DecodeChecked refuse what the format forbids. Only DecodeChecked refuses values out of range, and
// names every such key.
func TestInvalidSettings(t *testing.T) {
	good := exampleSettings(t)
	if _, _, err := DecodeChecked([]byte(good), 1); err != nil {
		t.Fatalf("the example: %v", err)
	}
	for _, c := range []struct {
		from, to string
		want     string // error of DecodeChecked; "" if both functions must return an error
	}{
		{"{", "", ""},
		{"idempotent", "sometimes", ""},
		{`"effect": "idempotent"`, `"effect": "idempotent", "dedup_scope": "town"`, ""},
		{`"slots": 10`, `"slots": "ten"`, ""},
		{`"peers": false`, `"peers": "yes"`, ""},
		{`"rough"`, `"exact"`, `weights is "exact", want one of ["silent" "nominal" "rough"]`},
		{`"push"`, `"pull"`, `registry_mode is "pull", want one of ["push" "ask"]`},
		{`"late": "halving"`, `"late": "never"`, `extra.late is "never", want one of ["linear" "halving"]`},
		{`"slots": 10`, `"slots": 0`, "extra.slots is 0, want 1 to 1000000"},
		{`"cold_share": 0.2`, `"cold_share": 1.2`, "safety.cold_share is 1.2, want 0 to 1"},
		{`"drain_grace_us": 500000`, `"drain_grace_us": -1`, "safety.drain_grace_us is -1, want 0 to 3600000000"},
		{`"fall_us": 2000000`, `"order_pause_us": -5, "fall_us": 2000000`, "safety.order_pause_us is -5, want 0 to 3600000000"},
		{`"late_worth": 0.4`, `"late_worth": 4`, "request_classes[0].late_worth is 4, want 0 to 1"},
		{`"goal_time_us": 2500000`, `"goal_time_us": 25000000`, "request_classes[0].goal_time_us is 25000000, want 0 to 16000000"},
		{`"request_classes"`, `"classes"`, "number of request_classes is 0, want 1 to 1000000"},
		{`"balancers": 1,`, `"balancers": 0, "tick_us": 0, "unread": {`, ""}, // also invalid JSON: that error comes first
		{`"warm_up_us": 10000000}`, `"warm_up_us": -1, "overload_factor": -1}`,
			"safety.overload_factor is -1, want 1 to 1000; safety.warm_up_us is -1, want 0 to 3600000000"},
		{`"overload_factor": 2.0`, `"overload_factor": 0.5`, "safety.overload_factor is 0.5, want 1 to 1000"},
		{`"grace_to_answer_us": 20000`, `"grace_to_answer_us": -20000`,
			"safety.grace_to_answer_us is -20000, want 0 to 3600000000"},
		{`"balancers": 1,`, `"balancers": 1000001,`, "balancers is 1000001, want 1 to 1000000"},
		{`"max_attempts": 12`, `"max_attempts": 0`, "allowed.max_attempts is 0, want 1 to 1000000"},
		{`"late_worth": 0.4, "worth": 2`, `"late_worth": 0.4, "worth": -2`, "request_classes[1].worth is -2, want 0 to 1000000"},
	} {
		bad := strings.Replace(good, c.from, c.to, 1)
		if bad == good {
			t.Fatalf("the example does not contain %s", c.from)
		}
		_, _, plainErr := Decode([]byte(bad), 1)
		_, _, checkedErr := DecodeChecked([]byte(bad), 1)
		if checkedErr == nil || c.want != "" && checkedErr.Error() != c.want || (plainErr == nil) != (c.want != "") {
			t.Errorf("%s: Decode returns %v; DecodeChecked\ngot  %v\nwant %s", c.to, plainErr, checkedErr, c.want)
		}
	}
}

// The weights key says whether listed rates are absent, rough or exact.
func TestWeights(t *testing.T) {
	for word, want := range map[string][2]bool{"silent": {false, false}, "rough": {true, false}, "nominal": {true, true}} {
		s, _, err := Decode([]byte(strings.Replace(exampleSettings(t), "rough", word, 1)), 1)
		if err != nil || [2]bool{s.RatesListed, s.RatesExact} != want {
			t.Errorf("%s: listed %v, exact %v, want %v; %v", word, s.RatesListed, s.RatesExact, want, err)
		}
	}
}

// The toll of a route is given for each zone.
func TestTolls(t *testing.T) {
	s, _, err := Decode([]byte(strings.Replace(exampleSettings(t), `"slots": 10`, `"slots": 10, "toll": [0.06, 0]`, 1)), 1)
	if err != nil || len(s.ZoneCosts) != 2 || s.ZoneCosts[0] != 0.06 || s.ZoneCosts[1] != 0 {
		t.Errorf("tolls %v, %v", s.ZoneCosts, err)
	}
}
