package world

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"eiderhaven/lab/sender"
	"eiderhaven/rules"
)

var update = flag.Bool("update", false, "record the module's actions anew, after a change that is meant to change them")

const recorded = "testdata/actions.txt"

// recorder passes a module's steps on and digests its actions.
type recorder struct {
	p sender.Policy
	h hash.Hash
}

func (r *recorder) Step(now time.Duration, events []rules.Event) []rules.Action {
	actions := r.p.Step(now, events)
	fmt.Fprintf(r.h, "%d %d\n", now, len(events))
	for _, a := range actions {
		fmt.Fprintln(r.h, recordedForm(a))
	}
	return actions
}

// recordedForm prints an action with all its fields, under the names that the recorded digests were made with.
func recordedForm(a rules.Action) string {
	text := fmt.Sprintf("%T%+v", a, a)
	switch a.(type) {
	case rules.Send:
		return strings.Replace(text, " WriteWithin:", " Within:", 1)
	case rules.PublishHint:
		return strings.NewReplacer("rules.PublishHint{Hint:", "rules.Tell{Note:", " RetryAfter:", " Wait:").Replace(text)
	case rules.EndpointForgotten:
		return strings.Replace(text, "rules.EndpointForgotten{", "rules.Forgot{", 1)
	}
	return text
}

// TestTheModuleActsAsRecorded plays days of many kinds and compares every action of every sender process, by digest, with
// those recorded before the module's bookkeeping was changed: what is faster must not decide differently.
func TestTheModuleActsAsRecorded(t *testing.T) {
	var lines []string
	for _, row := range []struct {
		day string
		set []string
	}{
		{"calm", nil}, {"mixed", nil}, {"outage", nil}, {"depot", nil}, {"fleet", nil},
		{"mixed", []string{"senders.count", "20", "traffic.rate", "150"}},
		{"mixed", []string{"senders.max_held", "25", "senders.slots", "6", "traffic.rate", "140"}},
		{"depot", []string{"trouble.restart.size", "1", "traffic.rate", "70"}},
		{"outage", []string{"trouble.crash.part", "1", "trouble.crash.for", "30s", "senders.count", "16"}},
		{"outage", []string{"kind.partners.reports", "true", "kind.partners.limit.rate", "4", "kind.partners.limit.type", "rate", "kind.partners.limit.tells", "0.5"}},
	} {
		for seed := uint64(1); seed <= 2; seed++ {
			s := load(t, "../scenarios/"+row.day+".toml", append([]string{"run.length", "40s"}, row.set...)...)
			var all []hash.Hash
			factory := func(set rules.Settings) sender.Policy {
				h := sha256.New()
				all = append(all, h)
				return &recorder{rules.New(set), h}
			}
			if _, err := Run(s, Options{Seed: seed, Factory: factory, Workers: 1}); err != nil {
				t.Fatal(err)
			}
			sum := sha256.New()
			for _, h := range all {
				sum.Write(h.Sum(nil))
			}
			lines = append(lines, fmt.Sprintf("%s %s seed %d: %s", row.day, strings.Join(row.set, " "), seed, hex.EncodeToString(sum.Sum(nil))[:32]))
		}
	}
	got := strings.Join(lines, "\n") + "\n"
	if *update {
		if err := os.WriteFile(recorded, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(recorded)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("the module acts otherwise than recorded (-update, if that is meant):\n%s", diff)
	}
}
