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

var update = flag.Bool("update", false, "record the module's actions again, after an intended change of them")

const recordedFile = "testdata/actions.txt"

// actionRecorder passes steps on to a policy and hashes its actions.
type actionRecorder struct {
	policy sender.Policy
	digest hash.Hash
}

func (r *actionRecorder) Step(now time.Duration, events []rules.Event) []rules.Action {
	actions := r.policy.Step(now, events)
	fmt.Fprintf(r.digest, "%d %d\n", now, len(events))
	for _, a := range actions {
		fmt.Fprintln(r.digest, recordedForm(a))
	}
	return actions
}

// recordedForm formats an action with all its fields, under the names that the recorded digests were made with.
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

// TestModuleActionsMatchRecording runs many kinds of scenarios and compares the digest of every action of every
// sender process with a recording. It guards against optimizations of the module that change its decisions.
func TestModuleActionsMatchRecording(t *testing.T) {
	var lines []string
	for _, row := range []struct {
		scenario string
		set      []string
	}{
		{"calm", nil}, {"mixed", nil}, {"outage", nil}, {"depot", nil}, {"fleet", nil},
		{"mixed", []string{"senders.count", "20", "traffic.rate", "150"}},
		{"mixed", []string{"senders.max_held", "25", "senders.slots", "6", "traffic.rate", "140"}},
		{"depot", []string{"trouble.restart.size", "1", "traffic.rate", "70"}},
		{"outage", []string{"trouble.crash.part", "1", "trouble.crash.for", "30s", "senders.count", "16"}},
		{"outage", []string{"kind.partners.reports", "true", "kind.partners.limit.rate", "4",
			"kind.partners.limit.type", "rate", "kind.partners.limit.tells", "0.5"}},
	} {
		for seed := uint64(1); seed <= 2; seed++ {
			s := load(t, "../scenarios/"+row.scenario+".toml", append([]string{"run.length", "40s"}, row.set...)...)
			var digests []hash.Hash // by sender process
			factory := func(set rules.Settings) sender.Policy {
				h := sha256.New()
				digests = append(digests, h)
				return &actionRecorder{rules.New(set), h}
			}
			if _, err := Run(s, Options{Seed: seed, Factory: factory, Workers: 1}); err != nil {
				t.Fatal(err)
			}
			sum := sha256.New()
			for _, h := range digests {
				sum.Write(h.Sum(nil))
			}
			digest := hex.EncodeToString(sum.Sum(nil))[:32]
			lines = append(lines, fmt.Sprintf("%s %s seed %d: %s", row.scenario, strings.Join(row.set, " "), seed, digest))
		}
	}
	got := strings.Join(lines, "\n") + "\n"
	if *update {
		if err := os.WriteFile(recordedFile, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(recordedFile)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("actions differ from the recording (use -update if that is intended):\n%s", diff)
	}
}
