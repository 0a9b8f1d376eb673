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

// example is the settings object of the example configuration.
func example(t *testing.T) string {
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
	s, names, err := Decode([]byte(example(t)), 42)
	if err != nil {
		t.Fatal(err)
	}
	if s.Seed != 42 || s.Slots != 10 || s.MaxHeld != 100 || s.Tick != 5*time.Millisecond || !s.MayAdvise || !s.LateHalving ||
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

func TestDecodeRefuses(t *testing.T) {
	good := example(t)
	for name, bad := range map[string]string{
		"no JSON":        good[1:],
		"unknown effect": strings.Replace(good, "idempotent", "sometimes", 1),
		"unknown scope":  strings.Replace(good, `"effect": "idempotent"`, `"effect": "idempotent", "dedup_scope": "town"`, 1),
		"wrong type":     strings.Replace(good, `"slots": 10`, `"slots": "ten"`, 1),
	} {
		if s, _, err := Decode([]byte(bad), 1); err == nil {
			t.Errorf("%s: got %+v", name, s)
		}
	}
}
